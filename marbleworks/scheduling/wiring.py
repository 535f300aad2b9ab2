"""Creates the components of one router's scheduler and connects them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marbleworks.scheduling.attempt_start import AttemptStarter
from marbleworks.scheduling.attempt_watch import AttemptWatch
from marbleworks.scheduling.engine_state import EnginePool
from marbleworks.scheduling.history import TIME_MARGIN_S
from marbleworks.scheduling.key_order import KeyOrder
from marbleworks.scheduling.latency import LatencyMonitor
from marbleworks.scheduling.load_reports import LoadProbes, LoadReports
from marbleworks.scheduling.load_shedding import LoadShedder
from marbleworks.scheduling.outcomes import OutcomeRecorder
from marbleworks.scheduling.outlier_detection import OutlierDetector
from marbleworks.scheduling.placement import Placement
from marbleworks.scheduling.retry_budget import RetryBudget
from marbleworks.scheduling.router_share import RouterShare
from marbleworks.scheduling.slow_start import SlowStart
from marbleworks.scheduling.table_groups import TableGroups
from marbleworks.scheduling.tenant_quotas import TenantQuotas
from marbleworks.scheduling.timers import Timers
from marbleworks.scheduling.work_estimates import WorkEstimates

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules, FleetInfo, RequestClass
    from marbleworks.ports import SchedulerPort, SharedBudgets


class SchedulerComponents:
    """The components of a scheduler.

    Only `Scheduler` uses this object; each component is given only those that it needs.

    Attributes:
        start_slack_s: the longest time (s) between the decision to start an attempt and its first byte.
    """

    def __init__(
        self,
        port: SchedulerPort,
        seed: int,
        request_classes: list[RequestClass],
        rules: DeploymentRules,
        fleet: FleetInfo,
    ) -> None:
        start_slack_s = rules.connect_timeout_s + TIME_MARGIN_S  # an attempt starts within it or not at all
        self.start_slack_s = start_slack_s
        self.share = RouterShare(fleet)
        self.estimates = WorkEstimates(len(request_classes))
        self.pool = EnginePool(request_classes, fleet.cores_by_kind)
        self.latency = LatencyMonitor(self.pool)
        self.outliers = OutlierDetector(port, self.latency)
        self.load_reports = LoadReports(port, rules, self.pool)
        self.load_probes = LoadProbes(port, rules, self.estimates)
        self.load_shedder = LoadShedder(port, rules, self.latency)
        self.tenant_quotas = TenantQuotas(rules, self.share.divisor)
        self.retry_budget = RetryBudget(rules, start_slack_s)
        self.slow_start = SlowStart(rules, self.share, self.estimates, start_slack_s, port.now())
        self.table_groups = TableGroups()
        self.key_order = KeyOrder()
        self.timers = Timers(port)
        self.placement = Placement(
            seed,
            rules,
            fleet,
            self.pool,
            self.share,
            self.slow_start,
            self.latency,
            self.estimates,
            self.outliers,
        )
        self.attempt_starter = AttemptStarter(
            port,
            rules,
            self.pool,
            self.placement,
            self.retry_budget,
            self.slow_start,
            self.estimates,
            self.key_order,
            start_slack_s,
        )
        self.outcomes = OutcomeRecorder(
            port,
            rules,
            self.pool,
            self.estimates,
            self.latency,
            self.outliers,
            self.load_reports,
            self.retry_budget,
            self.slow_start,
        )
        self.attempt_watch = AttemptWatch(
            port,
            rules,
            self.pool,
            self.placement,
            self.retry_budget,
            self.outliers,
            self.attempt_starter.start,
        )

    def use_shared_budgets(self, budgets: SharedBudgets | None) -> None:
        """Passes the budgets shared among routers to each component that uses them."""
        self.placement.shared_budgets = budgets
        self.retry_budget.shared_budgets = budgets
        self.slow_start.shared_budgets = budgets
        self.tenant_quotas.shared_budgets = budgets
        self.attempt_starter.shared_budgets = budgets
        self.outcomes.shared_budgets = budgets

    def refresh(self, now: float) -> None:
        """Recomputes the figures that the components derive from their measurements."""
        self.latency.refresh(now)
        self.estimates.refresh()
        self.table_groups.prune()
        self.key_order.prune(now)
        self.placement.refresh()

    def assign_share(self, share: float, sender_count: int, sender_index: int | None) -> bool:
        """Sets this router's share and its role in slow start; returns whether anything changed."""
        if not self.share.assign(share, sender_count, sender_index):
            return False
        for engine in self.pool.engines.values():
            engine.slow_start_rank = self.share.slow_start_rank(engine.entry)
        self.tenant_quotas.resize(share)
        return True
