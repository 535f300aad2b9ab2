"""Short histories of measurements, and the time scales that the scheduler's parts share."""

from __future__ import annotations

from collections import deque

TimedValue = tuple[float, float]  # when it was measured, and the value

MAX_SAMPLES = 16  # measurements that a history keeps
HISTORY_S = 10.0  # how long paces, loads and the rates of tenants are remembered
TICK_S = 0.05  # between reviews while requests are pending, and between two updates of derived figures
TIME_MARGIN_S = 0.02  # kept free before a limit in time


def drop_until(history: deque[TimedValue], start: float) -> deque[TimedValue]:
    """Removes what was measured up to `start` and returns the history."""
    while history and history[0][0] <= start:
        history.popleft()
    return history
