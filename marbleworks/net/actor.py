"""Actors: a mailbox and one greenlet that makes the calls posted to it.

Only an actor's own greenlet changes its state; other greenlets post calls. A call that raises is logged, and
the actor continues with the next one. This module does not interpret the calls.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import gevent

from marbleworks.net.log import LOG
from marbleworks.net.mailbox import Mailbox

__all__ = ["LOG", "Actor", "clock", "spawn"]

TIME_SLICE_S = 0.002  # how long an actor may process its mailbox before it yields to other greenlets
_CLOCK_OFFSET_S = time.time() - time.monotonic()


def clock() -> float:
    """Returns Unix time in seconds; unlike the system clock, it never goes backwards."""
    return _CLOCK_OFFSET_S + time.monotonic()


def spawn(work: Callable[..., Any], *args: Any) -> gevent.Greenlet[..., Any]:
    """Starts a greenlet that makes the call; an exception that ends it is logged."""
    return gevent.spawn(_call_and_log, work, *args)


def _call_and_log(work: Callable[..., Any], *args: Any) -> None:
    try:
        work(*args)
    except Exception:
        LOG.exception("failed", work=getattr(work, "__qualname__", repr(work)))


class Actor:
    """Owns a mailbox, the greenlet that processes it, and one timer.

    Attributes:
        mailbox: The calls that the greenlet has to make.
        finished: Whether the greenlet ends after the current call.
        next_timer_at: Unix time in seconds at which `on_timer` is called; None for never. The timer is
            cleared before the call.
    """

    def __init__(self, mailbox: Mailbox | None = None) -> None:
        self.mailbox = Mailbox() if mailbox is None else mailbox
        self.finished = False
        self.next_timer_at: float | None = None
        self.greenlet = gevent.spawn(self._run)

    def post(self, action: Callable[..., Any], *args: Any) -> None:
        """Queues a call that this actor's greenlet makes after all calls posted here before."""
        self.mailbox.put(action, *args)

    def finish(self) -> None:
        """Ends the greenlet; this has to be the last call posted.

        The greenlet is not killed instead, because a killed greenlet keeps its frame, and all objects that
        the frame refers to, in a reference cycle.
        """
        self.finished = True

    def on_timer(self) -> None:
        """Called once `next_timer_at` has passed."""

    def _run(self) -> None:
        slice_began_at = 0.0
        while not self.finished:
            now = clock()
            if now > slice_began_at + TIME_SLICE_S:  # a full mailbox must not starve other greenlets
                gevent.sleep(0)
                slice_began_at = now = clock()
            timeout_s = None if self.next_timer_at is None else self.next_timer_at - now
            if timeout_s is not None and timeout_s <= 0:
                self.next_timer_at = None
                _call_and_log(self.on_timer)
                continue
            call = self.mailbox.take(timeout_s)
            if call is None:
                continue
            action, args = call
            _call_and_log(action, *args)
            # They may refer to a large result, and the next call may not come for a long time.
            del call, action, args


class OnDemandActor:
    """An actor without a timer, whose greenlet exists only while there are calls to make.

    For actors that are many and mostly idle.

    Attributes:
        mailbox: The calls that the greenlet has to make.
        finished: Whether no further call is made.
    """

    def __init__(self) -> None:
        self.mailbox = Mailbox()
        self.finished = False
        self._is_running = False

    def post(self, action: Callable[..., Any], *args: Any) -> None:
        """Queues a call that this actor's greenlet makes after all calls posted here before."""
        if self.finished:
            return
        self.mailbox.put(action, *args)
        if not self._is_running:
            self._is_running = True
            gevent.spawn(self._run)

    def finish(self) -> None:
        """Ends the actor; this has to be the last call posted."""
        self.finished = True

    def on_call_made(self) -> None:
        """Called after each call."""

    def _run(self) -> None:
        slice_began_at = clock()
        while not self.finished and (call := self.mailbox.take_now()) is not None:
            action, args = call
            _call_and_log(action, *args)
            del call, action, args  # they may refer to a large result
            self.on_call_made()
            if clock() > slice_began_at + TIME_SLICE_S:  # a full mailbox must not starve other greenlets
                gevent.sleep(0)
                slice_began_at = clock()
        self._is_running = False
