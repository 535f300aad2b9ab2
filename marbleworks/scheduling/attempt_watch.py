"""Looks at attempts in flight: silent engines, runaway plans, answers that will come too late."""

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

OVERDUE_RATIO = 3.0  # times its expected time after which an attempt is overdue ...
OVERDUE_S = 0.7  # ... and so much more
MIN_OVERDUE_GROUPS = 2  # an engine is silent when attempts of so many table groups are overdue there ...
SILENCE_S = 1.0  # ... and it was not heard for so long
RUNAWAY_RATIO = 5.0  # times its expected time that an attempt may still need before it is moved
RUNAWAY_S = 1.0  # and so much more
UNREPORTED_RATIO = 2.0  # times what it ran that an attempt is thought to need without a progress note ...
UNREPORTED_RATIO_READER = 1.0  # ... and where it may wait for a load
MOVE_SPARE = 2.0  # moves leave half of the retry budget


class AttemptWatch:
    """Moves attempts that hang to other engines."""

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
        """Ejects silent engines and moves their overdue attempts, and those that run away."""
        self._move_from_silent_engines(now)
        for attempt in [a for a in self._pool.in_flight if not a.is_stalled and not a.is_cancelled]:
            # A runaway plan is drawn anew for each attempt; if the next runs away too, the estimate is off.
            request = attempt.request
            max_ratio = RUNAWAY_RATIO * 2.0**request.runaway_count
            longest = max_ratio * request.solo_time_s() * attempt.engine.pace + RUNAWAY_S
            if _remaining_time(attempt, now) > longest and self._move(attempt, now):
                request.runaway_count += 1

    def _move_from_silent_engines(self, now: float) -> None:
        overdue = [
            a
            for a in self._pool.in_flight
            if now - a.started_at > OVERDUE_RATIO * a.request.solo_time_s() * a.engine.pace + OVERDUE_S
        ]
        for attempt in overdue:
            engine = attempt.engine
            groups = {a.request.table_group for a in overdue if a.engine is engine}
            if len(groups) >= MIN_OVERDUE_GROUPS and now - engine.last_contact_at > SILENCE_S:
                self._outliers.eject(engine, now, "silent")
                self._move(attempt, now)

    def _move(self, attempt: Attempt, now: float) -> bool:
        """Starts another attempt elsewhere and cancels this one, where effect and budget allow that."""
        request = attempt.request
        if request.completed or attempt.is_cancelled or len(request.in_flight) > 1:
            return False
        if not self._rules.allows_cancel or not self._retry_budget.may_retry(request, now):
            return False
        # A shared retry budget learns from each question how much is wanted: it is asked for every engine.
        alternatives = [
            e
            for e in self._placement.candidates(request, now)
            if e is not attempt.engine and self._retry_budget.may_retry(request, now, MOVE_SPARE)
        ]
        if not alternatives:
            return False
        self._start_attempt(request, self._placement.two_choices(request, alternatives, now)[0], now)
        attempt.is_cancelled = True
        self._port.cancel_attempt(request.ref, attempt.number)
        return True


def _remaining_time(attempt: Attempt, now: float) -> float:
    ran = now - attempt.started_at
    if attempt.progress:
        return ran * ((1.0 - attempt.progress) / attempt.progress)
    waits = attempt.request.request_class.waits_for_loads
    return ran * (UNREPORTED_RATIO_READER if waits else UNREPORTED_RATIO)
