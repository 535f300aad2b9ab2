"""Time slices that greenlets with the same kind of work share, so that their number does not starve others.

The hub runs all greenlets that are ready in turn. If each of a hundred client sessions reads messages for
some milliseconds, an answer waits for all of them at each step of its way. With shared slices, it waits for
one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum

import gevent
from gevent.event import Event

from marbleworks.net.actor import LOG, clock

LONG_WAIT_S = 0.25  # waits for a turn from this length on are logged
_LOG_INTERVAL_S = 1.0


class Lane(IntEnum):
    """What a greenlet that waits for a turn has done before."""

    RESTED = 0
    """It has had no work for a while, so that it needs little."""
    BEGINNING = 1
    """It begins a piece of work."""
    CONTINUING = 2
    """It has used up a slice with the piece of work."""


class SharedTimeSlices:
    """A context in which one greenlet at a time works; all others run after each slice.

    A greenlet whose work takes longer than the rest of a slice waits for another one. The lanes get a slice
    in turn, so that no lane starves another.

    Args:
        slice_s: How long greenlets work, in seconds, before all others run.
    """

    def __init__(self, slice_s: float) -> None:
        self._slice_s = slice_s
        self._ends_at = 0.0  # Unix time in seconds at which the current slice is used up
        self._is_taken = False
        # By lane; an event is set to let a greenlet have its turn.
        self._waiting: list[deque[Event]] = [deque() for _ in Lane]
        self._last_lane = Lane.CONTINUING
        self._longest_wait_s = 0.0  # for a turn, since the last line of the log
        self._next_log_at = 0.0  # Unix time in seconds

    def __enter__(self) -> bool:
        """Waits for the first turn, and returns whether it had to wait."""
        return self._acquire(Lane.BEGINNING)

    def __exit__(self, *_: object) -> None:
        """Ends the turn."""
        self._release()

    @contextmanager
    def turn(self, lane: Lane) -> Iterator[bool]:
        """Waits for the first turn in a lane, and gives whether it had to wait."""
        has_waited = self._acquire(lane)
        try:
            yield has_waited
        finally:
            self._release()

    def renew(self) -> bool:
        """Lets others run if the slice is used up, waits for another turn, and returns whether it did so."""
        if clock() <= self._ends_at:
            return False
        self._release()
        self._acquire(Lane.CONTINUING)
        return True

    @contextmanager
    def suspended(self) -> Iterator[None]:
        """Ends the turn for the time of a wait, and waits for another one after it."""
        self._release()
        try:
            yield
        finally:
            self._acquire(Lane.CONTINUING)

    def _acquire(self, lane: Lane) -> bool:
        if self._is_taken:  # it stays so when a turn is passed on
            turn = Event()
            self._waiting[lane].append(turn)
            began_at = clock()
            turn.wait()
            self._record_wait(clock() - began_at)
            return True
        self._is_taken = True
        if clock() > self._ends_at:
            self._ends_at = clock() + self._slice_s
        return False

    def _record_wait(self, wait_s: float) -> None:
        self._longest_wait_s = max(self._longest_wait_s, wait_s)
        now = clock()
        if self._longest_wait_s < LONG_WAIT_S or now < self._next_log_at:
            return
        waiting = sum(len(lane) for lane in self._waiting)
        LOG.warning("reading delayed", longest_wait_s=round(self._longest_wait_s, 3), waiting=waiting)
        self._longest_wait_s = 0.0
        self._next_log_at = now + _LOG_INTERVAL_S

    def _release(self) -> None:
        if clock() > self._ends_at:
            gevent.sleep(0)  # before the next turn, since that may begin at once
            self._ends_at = clock() + self._slice_s
        for step in range(1, len(Lane) + 1):
            lane = Lane((self._last_lane + step) % len(Lane))
            if self._waiting[lane]:
                self._last_lane = lane
                self._waiting[lane].popleft().set()
                return
        self._is_taken = False
