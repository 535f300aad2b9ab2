"""Slow start: what a warming engine bears, and this router's share of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marbleworks.scheduling.history import drop_until

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules
    from marbleworks.ports import SharedBudgets
    from marbleworks.scheduling.engine_state import Attempt, EngineState
    from marbleworks.scheduling.request_state import RequestState
    from marbleworks.scheduling.router_share import RouterShare
    from marbleworks.scheduling.work_estimates import WorkEstimates

SLOW_START_TRUST = 0.7  # part of a warming engine's nominal floor that is relied on
SLOW_START_SENDERS = 4  # routers that send to an engine at its start: each share holds one request


class SlowStart:
    """Limits the attempts sent to engines that are warming up.

    start_slack_s: how long after its decision an attempt may leave. router_started_at: attempts of an earlier
    router process of our number, before it, are not known.
    """

    def __init__(
        self,
        rules: DeploymentRules,
        share: RouterShare,
        estimates: WorkEstimates,
        start_slack_s: float,
        router_started_at: float,
    ) -> None:
        self._rules = rules
        self._share = share
        self._estimates = estimates
        self._start_slack_s = start_slack_s
        self.router_started_at = router_started_at
        self.shared_budgets: SharedBudgets | None = None

    def is_warming(self, engine: EngineState, now: float) -> bool:
        """Returns whether the engine started a short while ago."""
        started_at = engine.entry.started_at
        return started_at > 0 and now - started_at < self._rules.slow_start_s

    def capacity(self, engine: EngineState, now: float) -> float:
        """Returns its cores; while warming, as far as warm, times the routers that one sender stands for."""
        if not self.is_warming(engine, now):
            return engine.cores
        stands_for = self._share.sender_count * self.share_of(engine, now) / self._growth(engine, now)
        return engine.cores * self._warmth(engine, now) * stands_for

    def share_of(self, engine: EngineState, now: float) -> float:
        """Returns our share of what an engine bears at its start.

        As it warms up senders are added, each with the same share; once all routers send, the shares grow.
        """
        share = self._budgeted_share(engine)
        if share is not None:
            return share
        if not self._share.is_sender:
            return 0.0
        growth = self._growth(engine, now)
        if self._share.sender_index is None or SLOW_START_SENDERS * growth >= self._share.sender_count:
            return growth / self._share.sender_count
        return (engine.slow_start_rank + 1 <= SLOW_START_SENDERS * growth) / SLOW_START_SENDERS

    def admits(self, request: RequestState, engine: EngineState, now: float) -> bool:
        """Returns whether a warming engine may be sent the request.

        It has no more in flight than its floor and its answers so far, and a budget of work.
        """
        rules = self._rules
        floor = rules.slow_start_floor * engine.cores * self.share_of(engine, now)
        threads = request.request_class.threads
        max_threads = max(threads, rules.overload_multiple * floor + engine.answer_count)
        if not floor or engine.threads_in_use + threads > max_threads:
            return False
        if now < self.router_started_at + rules.overload_window_s:
            return False
        budget = floor * SLOW_START_TRUST * rules.overload_multiple * rules.overload_window_s
        start = now - rules.overload_window_s - self._start_slack_s
        sent = sum(work for _, work in drop_until(engine.slow_start_work, start))
        return sent + self._cost(request) <= budget

    def record(self, attempt: Attempt) -> None:
        """Counts an attempt in its engine's budget."""
        attempt.slow_start_cost = self._cost(attempt.request)
        attempt.engine.slow_start_work.append((attempt.started_at, attempt.slow_start_cost))

    def forget(self, attempt: Attempt) -> None:
        """Counts an attempt no longer: it never left."""
        counted = (attempt.started_at, attempt.slow_start_cost)
        if attempt.slow_start_cost and counted in attempt.engine.slow_start_work:
            attempt.engine.slow_start_work.remove(counted)

    def _cost(self, request: RequestState) -> float:
        """Returns the mean work of the class, as engines' limits count, or its own where that is more."""
        return max(request.work, self._estimates.mean_work(request.class_index))

    def _budgeted_share(self, engine: EngineState) -> float | None:
        if self.shared_budgets is None:
            return None
        return self.shared_budgets.slow_start_share(engine.entry.engine_id)

    def _warmth(self, engine: EngineState, now: float) -> float:
        floor = self._rules.slow_start_floor
        age = max((now - engine.entry.started_at) / self._rules.slow_start_s, 0.0)
        return floor + (1.0 - floor) * age

    def _growth(self, engine: EngineState, now: float) -> float:
        """Returns how many times its floor it bore when the oldest attempt that counts now may have left."""
        if self._budgeted_share(engine) is not None:
            return 1.0
        oldest = now - self._rules.overload_window_s - self._start_slack_s
        return self._warmth(engine, oldest) / max(self._rules.slow_start_floor, 1e-9)
