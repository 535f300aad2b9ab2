"""Threads for calls that would block the hub."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gevent.threadpool import ThreadPool


class WorkerThreads:
    """A pool of threads that greenlets hand blocking calls to.

    Args:
        size: how many threads there are at most.
    """

    def __init__(self, size: int) -> None:
        self.pool = ThreadPool(size)

    def call(self, work: Callable[..., Any], *args: Any) -> Any:
        """Calls `work` on a thread while other greenlets go on; returns or raises what it does."""
        value, error = self.pool.apply(_call_and_catch, (work, args))
        if error is not None:
            raise error
        return value


def _call_and_catch(work: Callable[..., Any], args: tuple[Any, ...]) -> tuple[Any, Exception | None]:
    """Returns the error as a value: the pool would print a traceback of one that is raised."""
    try:
        return work(*args), None
    except Exception as error:  # noqa: BLE001 - it is raised again where the call was made
        return None, error
