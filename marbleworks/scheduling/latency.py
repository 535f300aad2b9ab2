"""Measures the slowdown of each engine and of the fleet.

The slowdown of a request is its elapsed time divided by its service time, which is the time that it takes on
an idle engine.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from marbleworks.scheduling.history import HISTORY_S, MAX_SAMPLES, TIME_MARGIN_S, TimedValue, drop_until

if TYPE_CHECKING:
    from marbleworks.scheduling.engine_state import Attempt, EnginePool

PRESSURE_SLOWDOWN = 1.6  # slowdown above which an engine is under pressure
OVERLOAD_RATIO = 0.25  # share of answers near their target above which the fleet is overloaded
MIN_SLOWDOWN_SAMPLES = 3
MIN_OVERLOAD_SAMPLES = 4  # minimum sample count, so that few answers of an idle fleet do not signal overload


def observed_slowdown(
    slowdowns: deque[TimedValue], in_flight: list[Attempt], now: float, default: float
) -> float:
    """Returns the median slowdown of recent answers and of attempts that are already late.

    Args:
        slowdowns: measured slowdowns; those older than HISTORY_S are removed.
        in_flight: attempts in flight, of which those slower than PRESSURE_SLOWDOWN count.
        now: the current time (s).
        default: the result if there are too few measurements.

    Returns:
        The median, but not less than 1.
    """
    drop_until(slowdowns, now - HISTORY_S)
    running = [
        (now - attempt.started_at) / (attempt.request.service_time_s() + TIME_MARGIN_S)
        for attempt in in_flight
        if not attempt.is_stalled
    ]
    sorted_slowdowns = sorted(
        [slowdown for _, slowdown in slowdowns]
        + [slowdown for slowdown in running if slowdown > PRESSURE_SLOWDOWN]
    )
    return (
        max(sorted_slowdowns[len(sorted_slowdowns) // 2], 1.0)
        if len(sorted_slowdowns) >= MIN_SLOWDOWN_SAMPLES
        else default
    )


class LatencyMonitor:
    """The slowdowns of the fleet and of its engines, and whether the fleet is overloaded."""

    def __init__(self, pool: EnginePool) -> None:
        self._pool = pool
        self.slowdowns: deque[TimedValue] = deque(maxlen=MAX_SAMPLES)
        # 1 for each answer near its target, else 0.
        self.near_target_answers: deque[TimedValue] = deque(maxlen=MAX_SAMPLES)
        self.fleet_slowdown = 1.0
        self.upper_quartile_slowdown = 1.0  # 75th percentile over recent answers
        self.is_overloaded = False

    def record_answer(self, attempt: Attempt, finished_at: float, service_time_s: float) -> None:
        """Records the slowdown of an attempt that was answered."""
        self.near_target_answers.append((finished_at, attempt.request.near_target(finished_at)))
        slowdown = (finished_at - attempt.started_at) / (service_time_s + TIME_MARGIN_S)
        attempt.engine.slowdowns.append((finished_at, slowdown))
        self.slowdowns.append((finished_at, slowdown))

    def record_rejection(self, now: float) -> None:
        """Records that a full engine rejected an attempt, which counts as an answer near its target."""
        self.near_target_answers.append((now, 1.0))

    def refresh(self, now: float) -> None:
        """Recomputes all slowdowns and whether the fleet is overloaded."""
        in_flight = self._pool.in_flight
        self.fleet_slowdown = observed_slowdown(self.slowdowns, in_flight, now, 1.0)
        for engine in self._pool.available_engines:
            engine.slowdown = observed_slowdown(engine.slowdowns, engine.in_flight, now, self.fleet_slowdown)
        sorted_slowdowns = sorted([slowdown for _, slowdown in self.slowdowns] or [1.0])
        self.upper_quartile_slowdown = sorted_slowdowns[3 * len(self.slowdowns) // 4]
        near_target_count = sum(
            is_near_target for _, is_near_target in drop_until(self.near_target_answers, now - HISTORY_S)
        )
        near_target_count += sum(attempt.request.near_target(now) for attempt in in_flight)
        sample_count = max(len(self.near_target_answers) + len(in_flight), MIN_OVERLOAD_SAMPLES)
        self.is_overloaded = near_target_count > OVERLOAD_RATIO * sample_count
