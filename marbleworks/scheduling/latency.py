"""Pace, by engine and over the fleet: how many times its time alone a request takes."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from marbleworks.scheduling.history import HISTORY_S, MAX_SAMPLES, TIME_MARGIN_S, TimedValue, drop_until

if TYPE_CHECKING:
    from marbleworks.scheduling.engine_state import Attempt, EnginePool

SLOW_PACE = 1.6  # an engine above it is under pressure
STRAINED_RATIO = 0.25  # close calls among the answers from which on the fleet is strained
MIN_PACE_SAMPLES = 3
MIN_ANSWERS = 4  # an idle fleet is not strained by the few answers that it gives


def observed_pace(
    slowdowns: deque[TimedValue], in_flight: list[Attempt], now: float, default: float
) -> float:
    """Returns the median of recent slowdowns and of attempts that are late by now, at least 1.

    Returns the default where there are too few of both.
    """
    drop_until(slowdowns, now - HISTORY_S)
    running = [
        (now - attempt.started_at) / (attempt.request.solo_time_s() + TIME_MARGIN_S)
        for attempt in in_flight
        if not attempt.is_stalled
    ]
    paces = sorted([pace for _, pace in slowdowns] + [pace for pace in running if pace > SLOW_PACE])
    return max(paces[len(paces) // 2], 1.0) if len(paces) >= MIN_PACE_SAMPLES else default


class LatencyMonitor:
    """The paces of the fleet and of its engines, and whether the fleet is strained."""

    def __init__(self, pool: EnginePool) -> None:
        self._pool = pool
        self.slowdowns: deque[TimedValue] = deque(maxlen=MAX_SAMPLES)
        self.close_calls: deque[TimedValue] = deque(maxlen=MAX_SAMPLES)  # 1 for each close call, else 0
        self.fleet_pace = 1.0
        self.slow_quartile_pace = 1.0  # of the slower quarter of the last answers
        self.is_strained = False

    def record_answer(self, attempt: Attempt, finished_at: float, solo_time_s: float) -> None:
        """Adds the pace of an attempt that was answered."""
        self.close_calls.append((finished_at, attempt.request.close_call(finished_at)))
        pace = (finished_at - attempt.started_at) / (solo_time_s + TIME_MARGIN_S)
        attempt.engine.slowdowns.append((finished_at, pace))
        self.slowdowns.append((finished_at, pace))

    def record_rejection(self, now: float) -> None:
        """Adds an attempt that a full engine rejected: a close call."""
        self.close_calls.append((now, 1.0))

    def refresh(self, now: float) -> None:
        """Works the paces out anew."""
        in_flight = self._pool.in_flight
        self.fleet_pace = observed_pace(self.slowdowns, in_flight, now, 1.0)
        for engine in self._pool.up:
            engine.pace = observed_pace(engine.slowdowns, engine.in_flight, now, self.fleet_pace)
        paces = sorted([pace for _, pace in self.slowdowns] or [1.0])
        self.slow_quartile_pace = paces[3 * len(self.slowdowns) // 4]
        close = sum(was_close for _, was_close in drop_until(self.close_calls, now - HISTORY_S))
        close += sum(attempt.request.close_call(now) for attempt in in_flight)
        answers = max(len(self.close_calls) + len(in_flight), MIN_ANSWERS)
        self.is_strained = close > STRAINED_RATIO * answers
