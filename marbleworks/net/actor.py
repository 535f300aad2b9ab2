"""What all actors share: a mailbox, and one greenlet that reads it.

An actor owns its state alone; others only post to it. It must never end for an exception: that is logged and
the next mail is read. Nothing here knows what any mail means.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import gevent
import structlog
from gevent.queue import Empty, PriorityQueue

LOG = structlog.get_logger()
TURN_S = 0.002  # seconds that an actor may go on with its mail while others wait
Mail = tuple[int, float, int, Callable[..., Any], tuple[Any, ...]]  # rank, place, number, what to call
_BEGAN = time.time() - time.monotonic()


def clock() -> float:
    """The system's Unix time, which here never goes back."""
    return _BEGAN + time.monotonic()


def spawn(work: Callable[..., Any], *args: Any) -> gevent.Greenlet[..., Any]:
    """A greenlet whose failure is logged by us and harms no other."""
    return gevent.spawn(_guarded, work, *args)


def _guarded(work: Callable[..., Any], *args: Any) -> None:
    try:
        work(*args)
    except Exception:
        LOG.exception("failed", work=getattr(work, "__qualname__", repr(work)))


class Actor:
    def __init__(self) -> None:
        self.mailbox: PriorityQueue[Mail] = PriorityQueue()
        self.post_count, self.finished = 0, False
        self.wake_at: float | None = None  # when `rung` is wanted, at the latest
        self.greenlet = gevent.spawn(self._run)

    def post(self, what: Callable[..., Any], *args: Any) -> None:
        """Has this actor's greenlet call one of its methods, after all that was posted before."""
        self.post_count += 1
        self.mailbox.put((0, 0.0, self.post_count, what, args))

    def post_new_work(self, place: float, what: Callable[..., Any], *args: Any) -> None:
        """The same for new work, which comes after all that concerns work already begun, by place."""
        self.post_count += 1
        self.mailbox.put((1, place, self.post_count, what, args))

    def finish(self) -> None:
        """Posted last. A greenlet that is killed would keep its frame, and all that it knows, in a cycle."""
        self.finished = True

    def on_timer(self) -> None:
        """The one timer is due."""

    def _run(self) -> None:
        ran = 0.0
        while not self.finished:
            try:
                now = clock()
                if now > ran + TURN_S:  # a full mailbox keeps no other greenlet waiting
                    gevent.sleep(0)
                    ran = now = clock()
                left = None if self.wake_at is None else self.wake_at - now
                if left is not None and left <= 0:
                    what, args = self.on_timer, ()
                else:
                    _, _, _, what, args = self.mailbox.get(timeout=left)
            except Empty:
                what, args = self.on_timer, ()
            if what == self.on_timer:
                self.wake_at = None
            _guarded(what, *args)
            del what, args  # an answer of many pages, perhaps, while the next mail is long in coming
