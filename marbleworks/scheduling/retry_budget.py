"""Whether a request may be sent once more: by its effect, its number of attempts and the retry budget."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from marbleworks.model import Idempotency
from marbleworks.scheduling.history import TIME_MARGIN_S, TimedValue, drop_until

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules
    from marbleworks.ports import SharedBudgets
    from marbleworks.scheduling.engine_state import Attempt
    from marbleworks.scheduling.request_state import RequestState


class RetryBudget:
    """The requests and the retries of the budget's window.

    start_slack_s: how long after its decision an attempt may leave.
    """

    def __init__(self, rules: DeploymentRules, start_slack_s: float) -> None:
        self._rules = rules
        self._start_slack_s = start_slack_s
        self.shared_budgets: SharedBudgets | None = None
        self.requests = deque[TimedValue]()
        self.retries = deque[TimedValue]()

    def record_request(self, now: float) -> None:
        """Counts a request: it earns a part of a retry."""
        drop_until(self.requests, now - self._rules.retry_budget_window_s).append((now, 1.0))

    def record_retry(self, attempt: Attempt) -> None:
        """Counts an attempt as a retry."""
        attempt.retry_cost = 1.0
        self.retries.append((attempt.started_at, attempt.retry_cost))

    def forget(self, attempt: Attempt) -> None:
        """Counts an attempt no longer: it never left."""
        counted = (attempt.started_at, attempt.retry_cost)
        if attempt.retry_cost and counted in self.retries:
            self.retries.remove(counted)

    def may_retry(self, request: RequestState, now: float, spare: float = 1.0) -> bool:
        """Returns whether one more attempt is allowed; a first one needs no budget.

        spare: how many times the budget has to allow it.
        """
        rules = self._rules
        if request.counted_attempts >= rules.max_attempts or (request.in_flight and not rules.allows_hedging):
            return False
        if not self._may_run_again(request, now):
            return False
        # An earlier retry may have left late and this one may too: each counts at its worst.
        window = rules.retry_budget_window_s
        spent = len(drop_until(self.retries, now - window - self._start_slack_s))
        requests = len(drop_until(self.requests, now - window + self._start_slack_s))
        earned = math.inf
        if rules.retry_budget_ratio is not None:
            earned = rules.retry_budget_floor + rules.retry_budget_ratio * requests
        if self.shared_budgets is not None:
            earned = self.shared_budgets.retry_allowance(spare, earned)
        return not request.counted_attempts or spare * (spent + 1) <= earned

    def _may_run_again(self, request: RequestState, now: float) -> bool:
        if request.may_have_run is None and not request.in_flight:
            return True
        idempotency = request.request_class.idempotency
        if idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return idempotency is not Idempotency.IDEMPOTENCY_KEY or now < self.repeat_by(request)

    def repeat_by(self, request: RequestState) -> float:
        """Returns when engines may begin to forget the first attempt that may have run."""
        attempts = [request.may_have_run, *request.in_flight]
        first = min(attempt.started_at for attempt in attempts if attempt)
        return first + request.request_class.idempotency_window_s - TIME_MARGIN_S
