"""A thread pool for calls that would block the gevent hub."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gevent.threadpool import ThreadPool


class WorkerThreads:
    """A pool of threads on which greenlets run blocking calls.

    Args:
        size: maximum number of threads.
    """

    def __init__(self, size: int) -> None:
        self.pool = ThreadPool(size)

    def call(self, call: Callable[..., Any], *args: Any) -> Any:
        """Makes `call` on a thread while other greenlets run; returns its result or raises its exception."""
        value, error = self.pool.apply(_call_and_catch, (call, args))
        if error is not None:
            raise error
        return value


def _call_and_catch(call: Callable[..., Any], args: tuple[Any, ...]) -> tuple[Any, Exception | None]:
    """Returns an exception as a value, since the pool prints a traceback of one that is raised."""
    try:
        return call(*args), None
    except Exception as error:  # noqa: BLE001 - `WorkerThreads.call` raises it again
        return None, error
