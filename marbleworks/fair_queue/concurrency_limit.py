"""Limits how much work may be admitted at a time, by how quickly the engines answer.

It does no I/O and reads no clock. The limit shrinks quickly, by a factor, once answers take clearly longer
than on an idle engine or the scheduler sheds. It grows slowly, by a fixed step, while it is used up and the
engines are not slowed down. Between the two it stays. Its unit is threads: a request counts as many as it
runs on.
"""

from __future__ import annotations

import math
from collections import deque

# Slowdown: the time that a request takes over the time that it takes on an idle engine. Below the first
# value the limit grows, above the second it shrinks.
GROW_BELOW_SLOWDOWN, SHRINK_ABOVE_SLOWDOWN = 1.1, 1.4
SHRINK_FACTOR = 0.8
SHRINK_INTERVAL_S = 0.3  # minimum; until then, the requests in flight were admitted under the old limit
GROWTH_STEP_RATIO = 0.05  # relative to the initial limit
GROWTH_INTERVAL_S = 0.1
GROWTH_PAUSE_S = 0.6  # minimum time from shrinking to growing
# Threads per core of this router's part of the engines.
MIN_THREADS_PER_CORE, INITIAL_THREADS_PER_CORE, MAX_THREADS_PER_CORE = 0.9, 1.5, 6.0
BALANCE_EXPONENT = 0.1  # exponent applied to the ratio of this router's pace to the mean pace of all routers
MAX_BALANCE_STEP = 0.05  # relative change of the limit by one call of `balance`
SLOWDOWN_SAMPLES = 16  # answers whose median slowdown is judged
JUDGE_INTERVAL_ANSWERS = 4


class ConcurrencyLimit:
    """The number of threads that admitted requests may occupy.

    Args:
        cores: All cores of the engines divided by the number of routers that share them.

    Attributes:
        in_flight: Threads of the requests that are admitted and not ended.
        limit: Threads that may be in flight.
        budget_limit: The most that shared budgets let be in flight; infinite where engines have none.
        slowdowns: The latest requests' time since admission over their time on an idle engine.
    """

    def __init__(self, cores: float) -> None:
        self.cores, self.in_flight = max(cores, 1.0), 0
        self.limit, self.budget_limit = INITIAL_THREADS_PER_CORE * self.cores, math.inf
        self.slowdowns: deque[float] = deque(maxlen=SLOWDOWN_SAMPLES)
        self.shrunk_at = self.grown_at = -1e9
        self.shed_count = self.answer_count = 0

    def resize(self, cores: float) -> None:
        """Engines were added or removed: scales the limit at once."""
        cores = max(cores, 1.0)
        self.limit *= cores / self.cores
        self.cores = cores

    def has_room(self, threads: int, headroom: float = 1.0) -> bool:
        """Returns whether a request may be admitted now; always if nothing is in flight.

        Args:
            threads: Threads that the request runs on.
            headroom: Factor on the limit, above 1 for requests that need not wait behind others.
        """
        return self.in_flight == 0 or self.in_flight + threads <= min(
            headroom * self.limit, self.budget_limit
        )

    def record_answer(self, slowdown: float, now: float) -> None:
        """Adapts the limit to an answer.

        Args:
            slowdown: Time from admission to the answer over the time on an idle engine.
            now: Seconds on a monotonic clock.
        """
        self.slowdowns.append(slowdown)
        self.answer_count += 1
        if len(self.slowdowns) < SLOWDOWN_SAMPLES // 2 or self.answer_count % JUDGE_INTERVAL_ANSWERS:
            return
        median = sorted(self.slowdowns)[len(self.slowdowns) // 2]
        if median > SHRINK_ABOVE_SLOWDOWN:
            self._shrink(now)
        elif (
            median < GROW_BELOW_SLOWDOWN
            and self.in_flight >= 0.8 * self.limit
            and now >= max(self.shrunk_at + GROWTH_PAUSE_S, self.grown_at + GROWTH_INTERVAL_S)
        ):
            self.grown_at = now
            self.limit = min(
                self.limit + GROWTH_STEP_RATIO * INITIAL_THREADS_PER_CORE * self.cores,
                MAX_THREADS_PER_CORE * self.cores,
            )

    def record_shed(self, now: float) -> None:
        """The scheduler shed an admitted request: counts as much as a late answer."""
        self.shed_count += 1
        self._shrink(now)

    def balance(self, pace_ratio: float) -> None:
        """Moves the limit towards what all routers together would have.

        Args:
            pace_ratio: Pace of the requests that wait here over the mean of all routers where some wait.
        """
        factor = min(max(pace_ratio**-BALANCE_EXPONENT, 1.0 - MAX_BALANCE_STEP), 1.0 + MAX_BALANCE_STEP)
        self.limit = min(
            max(self.limit * factor, MIN_THREADS_PER_CORE * self.cores), MAX_THREADS_PER_CORE * self.cores
        )

    def _shrink(self, now: float) -> None:
        if now >= self.shrunk_at + SHRINK_INTERVAL_S:
            self.shrunk_at = now
            self.limit = max(SHRINK_FACTOR * self.limit, MIN_THREADS_PER_CORE * self.cores)
            self.slowdowns.clear()
