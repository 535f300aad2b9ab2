"""Starts attempts: checks the rules a last time, sets the terms and updates all counts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marbleworks.scheduling.engine_state import Attempt
from marbleworks.scheduling.idempotency import repeat_deadline

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules
    from marbleworks.ports import SchedulerPort, SharedBudgets
    from marbleworks.scheduling.engine_state import EnginePool, EngineState
    from marbleworks.scheduling.key_order import KeyOrder
    from marbleworks.scheduling.placement import Placement
    from marbleworks.scheduling.request_state import RequestState
    from marbleworks.scheduling.retry_budget import RetryBudget
    from marbleworks.scheduling.slow_start import SlowStart
    from marbleworks.scheduling.work_estimates import WorkEstimates

CHEAP_PRIORITY = 3
LOAD_PRIORITY = 2
NORMAL_PRIORITY = 1
MEMORY_GRANT_RATIO = 1.15  # memory granted, as a multiple of the corrected estimate


class AttemptStarter:
    """Sends requests to engines.

    Args:
        start_slack_s: the longest time (s) between the decision to start an attempt and its first byte.
    """

    def __init__(  # noqa: PLR0913 - each of these parts checks or counts attempts
        self,
        port: SchedulerPort,
        rules: DeploymentRules,
        pool: EnginePool,
        placement: Placement,
        retry_budget: RetryBudget,
        slow_start: SlowStart,
        estimates: WorkEstimates,
        key_order: KeyOrder,
        start_slack_s: float,
    ) -> None:
        self._port = port
        self._rules = rules
        self._pool = pool
        self._placement = placement
        self._retry_budget = retry_budget
        self._slow_start = slow_start
        self._estimates = estimates
        self._key_order = key_order
        self._start_slack_s = start_slack_s
        self.shared_budgets: SharedBudgets | None = None

    def start(self, request: RequestState, engine: EngineState, now: float) -> bool:
        """Sends the request to the engine; returns False if a rule forbids it."""
        if request.completed or not self._placement.allows(request, engine, now):
            return False
        if not self._retry_budget.may_retry(request, now) or not self._key_order.has_turn(request, now):
            return False
        engine_id = engine.entry.engine_id
        self._set_terms(request)
        if self.shared_budgets is not None:
            self.shared_budgets.acquire(
                request.ref, request.attempt_count, request.class_index, request.tenant, engine_id
            )
        attempt = Attempt(request, request.attempt_count, engine, now)
        begin_by = self._begin_by(request, engine, now)
        if request.counted_attempts:
            self._retry_budget.record_retry(attempt)
        if self._slow_start.is_warming(engine, now):
            self._slow_start.record(attempt)
        request.attempt_count += 1
        request.in_flight.append(attempt)
        request.tried_engines.append(engine)
        self._pool.add_attempt(attempt)
        self._port.start_attempt(request.ref, engine_id, request.attempts_deadline, begin_by)
        return True

    def _set_terms(self, request: RequestState) -> None:
        """Sets the priority and the memory grant of the request's next attempt."""
        if request.work <= self._estimates.cheap_threshold:
            priority = CHEAP_PRIORITY
        else:
            priority = LOAD_PRIORITY if request.request_class.is_load else NORMAL_PRIORITY
        is_known = self._rules.accepts_memory_grants and self._estimates.has_learned(request.class_index)
        memory_mb = MEMORY_GRANT_RATIO * request.memory_mb if is_known else 0.0
        self._port.set_attempt_terms(request.ref, priority, memory_mb)

    def _begin_by(self, request: RequestState, engine: EngineState, now: float) -> float:
        """Returns the time until which all rules still allow the attempt to start.

        The first byte may leave later than the decision, because the attempt may wait for a file descriptor
        or a connection.
        """
        begin_by = min(request.attempts_deadline, repeat_deadline(request))
        if self.shared_budgets is not None:
            begin_by = min(begin_by, self.shared_budgets.begin_by)
        if request.counted_attempts or self._slow_start.is_warming(engine, now):
            begin_by = min(begin_by, now + self._start_slack_s)
        return begin_by
