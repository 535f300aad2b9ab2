"""When the scheduler asks the platform to be called: for the next review and the next expiry."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marbleworks.scheduling.history import TICK_S

if TYPE_CHECKING:
    from marbleworks.ports import SchedulerPort

TIMER_EARLINESS_S = 0.002  # by which a platform may call on_timer too early
MIN_REVIEW_INTERVAL_S = 0.01
WATCH_INTERVAL_S = 4.0 * TICK_S
ROUNDING_S = 1e-6


class Timers:
    """A platform keeps the earliest wish only, so the later one is repeated after each call."""

    def __init__(self, port: SchedulerPort) -> None:
        self._port = port
        self.next_review_at = math.inf
        self.next_expiry_at = math.inf  # the earliest answer_by among the pending requests
        self.reviewed_at = -math.inf  # when the next interval began
        self._watched_at = -math.inf

    def request_review(self, at: float) -> None:
        """Has a review take place by then."""
        if at < self.next_review_at:
            self.next_review_at = at
            self._port.schedule_wakeup(at)

    def request_expiry(self, at: float) -> None:
        """Has a request expire by then."""
        if at < self.next_expiry_at:
            self.next_expiry_at = at
            if at < self.next_review_at:
                self._port.schedule_wakeup(at)

    def repeat(self) -> None:
        """Asks for the earliest wish again."""
        wakeup_at = min(self.next_expiry_at, self.next_review_at)
        if wakeup_at < math.inf:
            self._port.schedule_wakeup(wakeup_at)

    def is_expiry_due(self, now: float) -> bool:
        """Returns whether a pending request has expired."""
        return now >= self.next_expiry_at - TIMER_EARLINESS_S / 2

    def take_review(self, now: float) -> bool:
        """Returns whether a review is due, once: else the timer is that of an earlier wish, overtaken."""
        if now < self.next_review_at - ROUNDING_S:
            return False
        self.next_review_at = math.inf
        return True

    def may_review(self, now: float) -> bool:
        """Returns whether the last review is long enough ago."""
        return now >= self.reviewed_at + MIN_REVIEW_INTERVAL_S - ROUNDING_S

    def take_watch(self, now: float) -> bool:
        """Returns whether attempts in flight are to be looked at, once in each interval."""
        if now < self._watched_at + WATCH_INTERVAL_S - MIN_REVIEW_INTERVAL_S:
            return False
        self._watched_at = now
        return True
