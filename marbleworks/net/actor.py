"""Actors: a mailbox, and one greenlet that calls what is posted to it.

Only an actor's own greenlet changes its state; others post calls. A call that raises is logged, and the actor
goes on with the next. The module knows nothing of what the calls mean.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import IntEnum
from typing import Any

import gevent
import structlog
from gevent.queue import Empty, PriorityQueue

LOG = structlog.get_logger()
TURN_S = 0.002  # for which an actor may go on with its mail while other greenlets are ready
_CLOCK_OFFSET_S = time.time() - time.monotonic()


class MailPriority(IntEnum):
    """Which mail an actor handles first."""

    WORK_IN_PROGRESS = 0
    NEW_WORK = 1


# Priority, place among new work, number of the post, and the call; the queue compares the first three.
# A plain tuple, since a router makes one for each event.
Mail = tuple[MailPriority, float, int, Callable[..., Any], tuple[Any, ...]]


def clock() -> float:
    """Returns Unix time in seconds; unlike the system's clock it never goes back."""
    return _CLOCK_OFFSET_S + time.monotonic()


def spawn(work: Callable[..., Any], *args: Any) -> gevent.Greenlet[..., Any]:
    """Starts a greenlet; an exception that ends it is logged."""
    return gevent.spawn(_call_and_log, work, *args)


def _call_and_log(work: Callable[..., Any], *args: Any) -> None:
    try:
        work(*args)
    except Exception:
        LOG.exception("failed", work=getattr(work, "__qualname__", repr(work)))


class Actor:
    """Owns a mailbox, the greenlet that empties it, and one timer.

    Attributes:
        wake_at: When `on_timer` is to be called; None for never. The timer is cleared before the call.
    """

    def __init__(self) -> None:
        self.mailbox: PriorityQueue[Mail] = PriorityQueue()
        self.post_count = 0
        self.finished = False
        self.wake_at: float | None = None
        self.greenlet = gevent.spawn(self._run)

    def post(self, action: Callable[..., Any], *args: Any) -> None:
        """Has this actor's greenlet call one of its methods, after everything posted before."""
        self.post_count += 1
        self.mailbox.put((MailPriority.WORK_IN_PROGRESS, 0.0, self.post_count, action, args))

    def post_new_work(self, place: float, action: Callable[..., Any], *args: Any) -> None:
        """Posts a call for new work: after all that concerns work in progress, then by place."""
        self.post_count += 1
        self.mailbox.put((MailPriority.NEW_WORK, place, self.post_count, action, args))

    def finish(self) -> None:
        """Ends the greenlet; posted last.

        A greenlet that is killed would keep its frame, and all that it refers to, in a reference cycle.
        """
        self.finished = True

    def on_timer(self) -> None:
        """Called when `wake_at` has come."""

    def _run(self) -> None:
        turn_began = 0.0
        while not self.finished:
            try:
                now = clock()
                if now > turn_began + TURN_S:  # a full mailbox must not starve other greenlets
                    gevent.sleep(0)
                    turn_began = now = clock()
                timeout_s = None if self.wake_at is None else self.wake_at - now
                if timeout_s is not None and timeout_s <= 0:
                    action, args = self.on_timer, ()
                else:
                    _, _, _, action, args = self.mailbox.get(timeout=timeout_s)
            except Empty:
                action, args = self.on_timer, ()
            if action == self.on_timer:
                self.wake_at = None
            _call_and_log(action, *args)
            del action, args  # they may hold a large result, and the next mail may be long in coming
