"""Updates the scheduler's components with the outcome of each attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marbleworks.model import AttemptOutcome, DeploymentRules, LoadReport
    from marbleworks.ports import SchedulerPort, SharedBudgets
    from marbleworks.scheduling.engine_state import Attempt, EnginePool
    from marbleworks.scheduling.latency import LatencyMonitor
    from marbleworks.scheduling.load_reports import LoadReports
    from marbleworks.scheduling.outlier_detection import OutlierDetector
    from marbleworks.scheduling.retry_budget import RetryBudget
    from marbleworks.scheduling.slow_start import SlowStart
    from marbleworks.scheduling.work_estimates import Cost, WorkEstimates


class OutcomeRecorder:
    """Passes the outcome of an attempt to the components that count it."""

    def __init__(  # noqa: PLR0913 - each of these components counts outcomes
        self,
        port: SchedulerPort,
        rules: DeploymentRules,
        pool: EnginePool,
        estimates: WorkEstimates,
        latency: LatencyMonitor,
        outliers: OutlierDetector,
        load_reports: LoadReports,
        retry_budget: RetryBudget,
        slow_start: SlowStart,
    ) -> None:
        self._port = port
        self._rules = rules
        self._pool = pool
        self._estimates = estimates
        self._latency = latency
        self._outliers = outliers
        self._load_reports = load_reports
        self._retry_budget = retry_budget
        self._slow_start = slow_start
        self.shared_budgets: SharedBudgets | None = None

    def record_answer(self, attempt: Attempt, cost: Cost | None, report: LoadReport | None) -> None:
        """Records an attempt that was answered.

        Args:
            attempt: the attempt.
            cost: the work and memory that it took; None if the engine does not report them.
            report: the engine's load report; None if there is none.
        """
        request = attempt.request
        self._pool.remove_attempt(attempt)
        if cost is not None:
            self._estimates.record_cost(request.class_index, request.estimate, cost)
        self._release(attempt, may_still_run=False)
        now = self._port.now()
        work = cost[0] if cost is not None else request.work
        service_time_s = work / request.request_class.threads
        self._latency.record_answer(attempt, attempt.finished_at or now, service_time_s)
        self._outliers.on_answer(attempt.engine, now)
        if report is not None:
            self._load_reports.on_report(attempt.engine, report, now)

    def record_contact_lost(self, attempt: Attempt, outcome: AttemptOutcome, now: float) -> None:
        """Records the failure of an engine that may still be running the attempt."""
        if not attempt.has_lost_contact:
            attempt.has_lost_contact = True
            self._outliers.on_failure(attempt.engine, outcome, now, attempt.request)

    def record_failure(self, attempt: Attempt, outcome: AttemptOutcome, now: float) -> None:
        """Records an attempt that ended without an answer."""
        request = attempt.request
        self._pool.remove_attempt(attempt)
        self._release(attempt, outcome.may_still_run)
        if outcome.never_sent:
            request.unsent_count += 1
            self._retry_budget.refund(attempt)
            self._slow_start.refund(attempt)
        if outcome.may_still_run:
            request.may_run_until = now + self._rules.key_settle_s
        if not attempt.has_lost_contact:
            self._outliers.on_failure(attempt.engine, outcome, now, request)

    def _release(self, attempt: Attempt, may_still_run: bool) -> None:
        if self.shared_budgets is not None:
            self.shared_budgets.release(attempt.request.ref, attempt.number, may_still_run)
