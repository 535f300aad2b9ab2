"""Short histories of measurements, and the time constants shared by the scheduler's parts."""

from __future__ import annotations

from collections import deque

TimedValue = tuple[float, float]  # (time of the measurement, value)

MAX_SAMPLES = 16  # measurements kept in one history
HISTORY_S = 10.0  # how long slowdowns, load reports and request times of tenants are used
TICK_S = 0.05  # review interval while requests are pending; also refresh interval of derived figures
TIME_MARGIN_S = 0.02  # safety margin before a time limit


def drop_until(history: deque[TimedValue], start: float) -> deque[TimedValue]:
    """Removes measurements taken at or before `start` and returns the history."""
    while history and history[0][0] <= start:
        history.popleft()
    return history
