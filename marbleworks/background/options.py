"""The section `background` of the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marbleworks.operator_config.value_types import Section, Setting, ValueType

BACKGROUND_SECTION = Section(
    "background",
    "background tasks: expiry, compaction, checkpoints, scrubbing",
    (
        Setting(
            "core",
            ValueType.SHARE,
            "Share of the core that background tasks may use.",
            0.1,
            0.01,
            0.5,
            reloadable=True,
        ),
        Setting(
            "bytes",
            ValueType.RATE,
            "Bytes that background tasks may read and write per second.",
            20e6,
            1e5,
            2e9,
            reloadable=True,
        ),
        Setting(
            "patience",
            ValueType.DURATION,
            "Longest wait of a background task; after it the task runs although the router is backlogged.",
            10.0,
            0.1,
            600.0,
            reloadable=True,
        ),
    ),
)


@dataclass(frozen=True, slots=True)
class BackgroundOptions:
    """The operator's limits for background tasks.

    Attributes:
        core_share: share of the router's core that tasks may use.
        bytes_per_s: bytes that tasks may read and write per second.
        max_wait_s: seconds after which a waiting task runs although the router is backlogged.
    """

    core_share: float
    bytes_per_s: float
    max_wait_s: float

    @classmethod
    def from_section(cls, values: Mapping[str, Any]) -> BackgroundOptions:
        """Creates the options from the checked values of the section `background`."""
        return cls(core_share=values["core"], bytes_per_s=values["bytes"], max_wait_s=values["patience"])
