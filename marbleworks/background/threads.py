"""Threads for work that would hold up the hub.

It owns its threads, and must never print what fails there: the error goes to whoever asked.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gevent.threadpool import ThreadPool


class Threads:
    def __init__(self, size: int) -> None:
        self.pool = ThreadPool(size)

    def call(self, work: Callable[..., Any], *args: Any) -> Any:
        """Waits for the work on a thread while other greenlets go on; gives or raises what it does."""
        value, err = self.pool.apply(_caught, (work, args))
        if err is not None:
            raise err
        return value


def _caught(work: Callable[..., Any], args: tuple[Any, ...]) -> tuple[Any, Exception | None]:
    try:
        return work(*args), None
    except Exception as err:
        return None, err
