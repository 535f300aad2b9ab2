"""Time slices that greenlets with the same kind of work share, so that their number does not starve others.

The hub runs all greenlets that are ready in turn. If each of a hundred client sessions reads messages for
some milliseconds, an answer waits for all of them at each step of its way. With shared slices, it waits for
one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from gevent.event import Event

from marbleworks.net.actor import clock


class SharedTimeSlices:
    """A context in which one greenlet at a time works; all others run after each slice.

    A greenlet whose work takes longer than the rest of a slice waits for another one. Such greenlets and
    those that begin get every other slice, so that neither kind starves the other.

    Args:
        slice_s: How long greenlets work, in seconds, before all others run.
    """

    def __init__(self, slice_s: float) -> None:
        self._slice_s = slice_s
        self._ends_at = 0.0  # Unix time in seconds at which the current slice is used up
        self._is_taken = False
        self._beginning: deque[Event] = deque()  # set to let a greenlet have its turn
        self._continuing: deque[Event] = deque()
        self._last_was_beginning = False

    def __enter__(self) -> bool:
        """Waits for the first turn, and returns whether it had to wait."""
        return self._acquire(self._beginning)

    def __exit__(self, *_: object) -> None:
        """Ends the turn."""
        self._release()

    def renew(self) -> bool:
        """Lets others run if the slice is used up, waits for another turn, and returns whether it did so."""
        if clock() <= self._ends_at:
            return False
        self._release()
        self._acquire(self._continuing)
        return True

    @contextmanager
    def suspended(self) -> Iterator[None]:
        """Ends the turn for the time of a wait, and waits for another one after it."""
        self._release()
        try:
            yield
        finally:
            self._acquire(self._continuing)

    def _acquire(self, queue: deque[Event]) -> bool:
        if self._is_taken:  # it stays so when a turn is passed on
            turn = Event()
            queue.append(turn)
            turn.wait()
            return True
        self._is_taken = True
        if clock() > self._ends_at:
            self._ends_at = clock() + self._slice_s
        return False

    def _release(self) -> None:
        if clock() > self._ends_at:
            gevent.sleep(0)  # before the next turn, since that may begin at once
            self._ends_at = clock() + self._slice_s
        queues = [self._beginning, self._continuing]
        if self._last_was_beginning:
            queues.reverse()
        queue = queues[0] or queues[1]
        if queue:
            self._last_was_beginning = queue is self._beginning
            queue.popleft().set()
        else:
            self._is_taken = False
