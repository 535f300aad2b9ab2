"""Mailboxes of actors: the calls that an actor's greenlet has to make.

A mailbox has no limit of its own. `docs/design/queues.md` lists what bounds the calls posted to each.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from gevent.event import Event

Call = tuple[Callable[..., Any], tuple[Any, ...]]  # a plain tuple, since a router creates one for each event


class Mailbox:
    """Calls in the order in which they were posted."""

    def __init__(self) -> None:
        self._calls: deque[Call] = deque()
        self._not_empty = Event()

    def put(self, action: Callable[..., Any], *args: Any) -> None:
        """Adds a call."""
        self._calls.append((action, args))
        self._not_empty.set()

    def take(self, timeout_s: float | None) -> Call | None:
        """Removes the next call, and waits for one if there is none.

        Args:
            timeout_s: Maximum wait in seconds; None for no limit.

        Returns:
            The call; None if there is still none, which may be before the timeout.
        """
        if not self.qsize():
            self._not_empty.clear()
            self._not_empty.wait(timeout_s)
        return self._next_call() if self.qsize() else None

    def take_now(self) -> Call | None:
        """Removes and returns the next call; returns None if there is none."""
        return self._next_call() if self.qsize() else None

    def qsize(self) -> int:
        """Returns the number of calls."""
        return len(self._calls)

    def _next_call(self) -> Call:
        return self._calls.popleft()
