"""Slow start: the capacity of an engine that is warming up, and this router's share of it."""

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

SLOW_START_FLOOR_USAGE = 0.7  # share of a warming engine's nominal floor that routers use
SLOW_START_SENDERS = 4  # routers that send to a starting engine: few enough that each share fits a request


class SlowStart:
    """Limits the attempts sent to engines that are warming up.

    Args:
        start_slack_s: the longest time (s) between the decision to start an attempt and its first byte.
        router_started_at: start of this router process (s); attempts that an earlier process of the same
            router sent before are unknown.
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
        """Returns whether the engine is still within its slow-start time."""
        started_at = engine.entry.started_at
        return started_at > 0 and now - started_at < self._rules.slow_start_s

    def capacity(self, engine: EngineState, now: float) -> float:
        """Returns the capacity of an engine, in cores, for the comparison with other engines.

        Only some routers send to an engine that is warming up. Its present capacity is multiplied by the
        number of routers that each of those senders stands for.
        """
        if not self.is_warming(engine, now):
            return engine.cores
        routers_per_sender = (
            self._share.sender_count * self.slow_start_share(engine, now) / self._capacity_growth(engine, now)
        )
        return engine.cores * self._capacity_ratio(engine, now) * routers_per_sender

    def slow_start_share(self, engine: EngineState, now: float) -> float:
        """Returns this router's share of the floor of an engine that is warming up.

        Senders with equal shares are added as the engine warms up. Once all routers send, their shares grow.
        """
        share = self._budgeted_share(engine)
        if share is not None:
            return share
        if not self._share.is_sender:
            return 0.0
        capacity_growth = self._capacity_growth(engine, now)
        if (
            self._share.sender_index is None
            or SLOW_START_SENDERS * capacity_growth >= self._share.sender_count
        ):
            return capacity_growth / self._share.sender_count
        return (engine.slow_start_rank + 1 <= SLOW_START_SENDERS * capacity_growth) / SLOW_START_SENDERS

    def admits(self, request: RequestState, engine: EngineState, now: float) -> bool:
        """Returns whether the request may be sent to an engine that is warming up.

        This router's threads there are limited by the floor and by the answers so far, and the work that it
        sends in each overload window is limited by a budget. Nothing is sent until the attempts of an earlier
        router process have left the window.
        """
        rules = self._rules
        floor = rules.slow_start_floor * engine.cores * self.slow_start_share(engine, now)
        threads = request.request_class.threads
        max_threads = max(threads, rules.overload_multiple * floor + engine.answer_count)
        if not floor or engine.threads_in_use + threads > max_threads:
            return False
        if now < self.router_started_at + rules.overload_window_s:
            return False
        work_budget = floor * SLOW_START_FLOOR_USAGE * rules.overload_multiple * rules.overload_window_s
        window_start = now - rules.overload_window_s - self._start_slack_s
        sent_work = sum(work for _, work in drop_until(engine.slow_start_work, window_start))
        return sent_work + self._cost(request) <= work_budget

    def record(self, attempt: Attempt) -> None:
        """Counts an attempt in the budget of its engine."""
        attempt.slow_start_cost = self._cost(attempt.request)
        attempt.engine.slow_start_work.append((attempt.started_at, attempt.slow_start_cost))

    def refund(self, attempt: Attempt) -> None:
        """Removes an attempt of which nothing was sent from the budget of its engine."""
        counted = (attempt.started_at, attempt.slow_start_cost)
        if attempt.slow_start_cost and counted in attempt.engine.slow_start_work:
            attempt.engine.slow_start_work.remove(counted)

    def _cost(self, request: RequestState) -> float:
        """Returns the work that a request counts as: the mean of its class, or its own if that is more.

        The limits of engines count the mean work of the class.
        """
        return max(request.work, self._estimates.mean_work(request.class_index))

    def _budgeted_share(self, engine: EngineState) -> float | None:
        """Returns the share assigned by shared budgets; None if they do not divide it."""
        if self.shared_budgets is None:
            return None
        return self.shared_budgets.slow_start_share(engine.entry.engine_id)

    def _capacity_ratio(self, engine: EngineState, now: float) -> float:
        """Returns the engine's capacity at the given time, as a share of its whole capacity."""
        floor = self._rules.slow_start_floor
        age = max((now - engine.entry.started_at) / self._rules.slow_start_s, 0.0)
        return floor + (1.0 - floor) * age

    def _capacity_growth(self, engine: EngineState, now: float) -> float:
        """Returns the engine's past capacity as a multiple of its floor.

        The time is the earliest at which an attempt that still counts may have started.
        """
        if self._budgeted_share(engine) is not None:
            return 1.0
        oldest_counted_at = now - self._rules.overload_window_s - self._start_slack_s
        return self._capacity_ratio(engine, oldest_counted_at) / max(self._rules.slow_start_floor, 1e-9)
