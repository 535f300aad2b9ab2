"""The router's log: structlog, writing one JSON object a line to standard output."""

from __future__ import annotations

import logging
import sys
from types import ModuleType
from typing import TextIO


def _import_structlog() -> ModuleType:
    """Imports structlog without rich, which only its output for consoles needs and which takes 5 MB."""
    hidden = "rich" not in sys.modules
    if hidden:
        sys.modules["rich"] = None  # type: ignore[assignment]  # an import of it raises ImportError
    try:
        import structlog
    finally:
        if hidden:
            del sys.modules["rich"]
    return structlog


structlog = _import_structlog()
LOG = structlog.get_logger()


def configure_logging(file: TextIO | None = None) -> None:
    """Sets the form of the lines.

    Args:
        file: Where to write them; standard output by default.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(file or sys.stdout),
    )
