"""Watches attempts in flight for silent engines and for runaway plans, and moves them to other engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from marbleworks.model import DeploymentRules
    from marbleworks.ports import SchedulerPort
    from marbleworks.scheduling.engine_state import Attempt, EnginePool, EngineState
    from marbleworks.scheduling.outlier_detection import OutlierDetector
    from marbleworks.scheduling.placement import Placement
    from marbleworks.scheduling.request_state import RequestState
    from marbleworks.scheduling.retry_budget import RetryBudget

OVERDUE_RATIO = 3.0  # multiple of its expected time in an attempt's overdue limit
OVERDUE_S = 0.7  # fixed part of an attempt's overdue limit
MIN_OVERDUE_GROUPS = 2  # table groups with overdue attempts before an engine counts as silent
SILENCE_S = 1.0  # time without contact before an engine counts as silent
RUNAWAY_RATIO = 5.0  # multiple of its expected time in the limit on an attempt's remaining time
RUNAWAY_S = 1.0  # fixed part of the limit on an attempt's remaining time
UNREPORTED_RATIO = 2.0  # remaining over elapsed time, assumed without a progress report
UNREPORTED_RATIO_READER = 1.0  # remaining over elapsed time, assumed for a reader that may wait for a load
MOVE_BUDGET_FACTOR = 2.0  # moves may use half of the retry budget, the rest is for other retries


class AttemptWatch:
    """Moves attempts that hang or run away to other engines."""

    def __init__(
        self,
        port: SchedulerPort,
        rules: DeploymentRules,
        pool: EnginePool,
        placement: Placement,
        retry_budget: RetryBudget,
        outliers: OutlierDetector,
        start_attempt: Callable[[RequestState, EngineState, float], bool],
    ) -> None:
        self._port = port
        self._rules = rules
        self._pool = pool
        self._placement = placement
        self._retry_budget = retry_budget
        self._outliers = outliers
        self._start_attempt = start_attempt

    def check(self, now: float) -> None:
        """Ejects silent engines and moves their overdue attempts; moves runaway attempts."""
        self._move_from_silent_engines(now)
        for attempt in [a for a in self._pool.in_flight if not a.is_stalled and not a.is_cancelled]:
            # Each attempt gets a new query plan. If the next one runs away too, the estimate is wrong rather
            # than the plan, so the limit doubles with each move.
            request = attempt.request
            max_ratio = RUNAWAY_RATIO * 2.0**request.runaway_count
            max_remaining_s = max_ratio * request.service_time_s() * attempt.engine.slowdown + RUNAWAY_S
            if _remaining_time_s(attempt, now) > max_remaining_s and self._move(attempt, now):
                request.runaway_count += 1

    def _move_from_silent_engines(self, now: float) -> None:
        overdue = [
            a
            for a in self._pool.in_flight
            if now - a.started_at > OVERDUE_RATIO * a.request.service_time_s() * a.engine.slowdown + OVERDUE_S
        ]
        for attempt in overdue:
            engine = attempt.engine
            groups = {a.request.table_group for a in overdue if a.engine is engine}
            if len(groups) >= MIN_OVERDUE_GROUPS and now - engine.last_contact_at > SILENCE_S:
                self._outliers.eject(engine, now, "silent")
                self._move(attempt, now)

    def _move(self, attempt: Attempt, now: float) -> bool:
        """Starts another attempt elsewhere and cancels this one, if idempotency and retry budget allow it."""
        request = attempt.request
        if request.completed or attempt.is_cancelled or len(request.in_flight) > 1:
            return False
        if not self._rules.allows_cancel or not self._retry_budget.may_retry(request, now):
            return False
        # The shared retry budget measures demand by these calls, so it is asked for every engine.
        alternatives = [
            e
            for e in self._placement.candidates(request, now)
            if e is not attempt.engine and self._retry_budget.may_retry(request, now, MOVE_BUDGET_FACTOR)
        ]
        if not alternatives:
            return False
        engine = self._placement.two_choices(request, alternatives, now)[0]
        if not self._start_attempt(request, engine, now):
            return False
        attempt.is_cancelled = True
        self._port.cancel_attempt(request.ref, attempt.number)
        return True


def _remaining_time_s(attempt: Attempt, now: float) -> float:
    """Returns the estimated remaining time of an attempt."""
    ran = now - attempt.started_at
    if attempt.progress:
        return ran * ((1.0 - attempt.progress) / attempt.progress)
    may_wait = attempt.request.request_class.waits_for_loads
    return ran * (UNREPORTED_RATIO_READER if may_wait else UNREPORTED_RATIO)
