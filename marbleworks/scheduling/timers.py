"""Requests wake-ups from the platform for the next review and the next expiry."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marbleworks.scheduling.history import TICK_S

if TYPE_CHECKING:
    from marbleworks.ports import SchedulerPort

TIMER_EARLINESS_S = 0.002  # how much too early a platform may call on_timer
MIN_REVIEW_INTERVAL_S = 0.01
WATCH_INTERVAL_S = 4.0 * TICK_S
ROUNDING_S = 1e-6


class Timers:
    """The times of the next review and the next expiry.

    A platform may keep only the earliest wake-up that was requested, so the later one is requested again
    after each call.
    """

    def __init__(self, port: SchedulerPort) -> None:
        self._port = port
        self.next_review_at = math.inf
        self.next_expiry_at = math.inf  # earliest attempts_deadline of the pending requests
        self.reviewed_at = -math.inf  # start of the minimum interval before the next review
        self._watched_at = -math.inf

    def request_review(self, at: float) -> None:
        """Requests a review by the given time."""
        if at < self.next_review_at:
            self.next_review_at = at
            self._port.schedule_wakeup(at)

    def request_expiry(self, at: float) -> None:
        """Requests a check for expired requests by the given time."""
        if at < self.next_expiry_at:
            self.next_expiry_at = at
            if at < self.next_review_at:
                self._port.schedule_wakeup(at)

    def rearm(self) -> None:
        """Requests the earliest outstanding wake-up again."""
        wakeup_at = min(self.next_expiry_at, self.next_review_at)
        if wakeup_at < math.inf:
            self._port.schedule_wakeup(wakeup_at)

    def is_expiry_due(self, now: float) -> bool:
        """Returns whether a pending request has expired."""
        return now >= self.next_expiry_at - TIMER_EARLINESS_S / 2

    def consume_due_review(self, now: float) -> bool:
        """Returns whether a review is due, and if so clears it.

        If none is due, the wake-up belongs to an earlier request for a review that already took place.
        """
        if now < self.next_review_at - ROUNDING_S:
            return False
        self.next_review_at = math.inf
        return True

    def may_review(self, now: float) -> bool:
        """Returns whether the minimum interval since the last review has passed."""
        return now >= self.reviewed_at + MIN_REVIEW_INTERVAL_S - ROUNDING_S

    def consume_due_watch(self, now: float) -> bool:
        """Returns whether a check of attempts in flight is due, and if so starts the next interval."""
        if now < self._watched_at + WATCH_INTERVAL_S - MIN_REVIEW_INTERVAL_S:
            return False
        self._watched_at = now
        return True
