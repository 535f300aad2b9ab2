"""Lowers the priority weight of requests from tenants that exceed their quota."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from marbleworks.scheduling.history import HISTORY_S

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules
    from marbleworks.ports import SharedBudgets


class TenantQuotas:
    """The times of each tenant's recent requests, as many as this router's share of its quota allows."""

    def __init__(self, rules: DeploymentRules, divisor: float) -> None:
        self._rules = rules
        self.shared_budgets: SharedBudgets | None = None
        limits = (math.ceil(HISTORY_S * rate / divisor) for rate in rules.tenant_rates_per_s)
        self.request_times: list[deque[float]] = [deque(maxlen=limit) for limit in limits]

    def resize(self, share: float) -> None:
        """Applies a new share of the tenants' quotas."""
        limits = [math.ceil(HISTORY_S * rate * share) for rate in self._rules.tenant_rates_per_s]
        self.request_times = [
            deque(times, maxlen=limit) for times, limit in zip(self.request_times, limits, strict=True)
        ]

    def weight(self, ref: str, tenant: int, now: float) -> float:
        """Counts a request and returns the factor on its priority weight, below 1 beyond the quota."""
        within = None
        if self.shared_budgets is not None:
            within = self.shared_budgets.is_within_quota(ref, tenant)
        if within is None:
            within = self._count(tenant, now)
        return 1.0 if within else self._rules.over_quota_weight

    def _count(self, tenant: int, now: float) -> bool:
        """Counts a request and returns whether the tenant is within its quota."""
        if not 0 <= tenant < len(self.request_times):
            return True
        times = self.request_times[tenant]
        is_over = 0 < len(times) == times.maxlen and times[0] > now - HISTORY_S
        times.append(now)
        return not is_over
