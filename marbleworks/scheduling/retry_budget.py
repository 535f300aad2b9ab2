"""Decides whether a request may be sent again: by its idempotency, its attempts and the retry budget."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from marbleworks.scheduling.history import TimedValue, drop_until
from marbleworks.scheduling.idempotency import may_repeat

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules
    from marbleworks.ports import SharedBudgets
    from marbleworks.scheduling.engine_state import Attempt
    from marbleworks.scheduling.request_state import RequestState


class RetryBudget:
    """Counts the requests and the retries in the window of the retry budget.

    Args:
        start_slack_s: the longest time (s) between the decision to start an attempt and its first byte.
    """

    def __init__(self, rules: DeploymentRules, start_slack_s: float) -> None:
        self._rules = rules
        self._start_slack_s = start_slack_s
        self.shared_budgets: SharedBudgets | None = None
        self.requests = deque[TimedValue]()
        self.retries = deque[TimedValue]()

    def record_request(self, now: float) -> None:
        """Counts a request, which earns a fraction of a retry."""
        drop_until(self.requests, now - self._rules.retry_budget_window_s).append((now, 1.0))

    def record_retry(self, attempt: Attempt) -> None:
        """Counts an attempt as a retry."""
        attempt.retry_cost = 1.0
        self.retries.append((attempt.started_at, attempt.retry_cost))

    def refund(self, attempt: Attempt) -> None:
        """Removes an attempt of which nothing was sent from the count of retries."""
        counted = (attempt.started_at, attempt.retry_cost)
        if attempt.retry_cost and counted in self.retries:
            self.retries.remove(counted)

    def may_retry(self, request: RequestState, now: float, budget_factor: float = 1.0) -> bool:
        """Returns whether one more attempt is allowed; the first one needs no budget.

        Args:
            request: the request.
            now: the current time (s).
            budget_factor: the budget has to cover this multiple of the retries made and the new one.
        """
        if request.in_flight and not self._rules.allows_hedging:
            return False
        return self.may_retry_later(request, now, budget_factor)

    def may_retry_later(self, request: RequestState, now: float, budget_factor: float = 1.0) -> bool:
        """Returns whether one more attempt is allowed as soon as none is in flight; see `may_retry`."""
        rules = self._rules
        if request.counted_attempts >= rules.max_attempts or not may_repeat(request, now):
            return False
        # Each attempt may start late by up to the slack, so both windows assume the worst case.
        window = rules.retry_budget_window_s
        spent = len(drop_until(self.retries, now - window - self._start_slack_s))
        requests = len(drop_until(self.requests, now - window + self._start_slack_s))
        earned_retries = math.inf
        if rules.retry_budget_ratio is not None:
            earned_retries = rules.retry_budget_floor + rules.retry_budget_ratio * requests
        if self.shared_budgets is not None:
            earned_retries = self.shared_budgets.retry_allowance(budget_factor, earned_retries)
        return not request.counted_attempts or budget_factor * (spent + 1) <= earned_retries
