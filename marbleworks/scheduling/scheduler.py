"""The scheduler of a router: decides what runs, where, when and on which terms.

A platform creates one `Scheduler` for each router and calls `update_engines`, `submit` (which returns the
handle for later events of the request) and `on_timer`. The scheduler calls the platform through
`SchedulerPort`. `Scheduler.try_schedule` is the path of a request in the ordinary case; docs/design.md
describes what is taken from the paper.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marbleworks.model import AttemptOutcome
from marbleworks.scheduling.history import TICK_S
from marbleworks.scheduling.request_state import RequestState
from marbleworks.scheduling.timers import MIN_REVIEW_INTERVAL_S, TIMER_EARLINESS_S, WATCH_INTERVAL_S
from marbleworks.scheduling.wiring import SchedulerComponents

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules, EngineEntry, FleetInfo, LoadReport, RequestClass
    from marbleworks.ports import SchedulerPort, SharedBudgets
    from marbleworks.scheduling.engine_state import Attempt, EngineState
    from marbleworks.scheduling.work_estimates import Cost

LAG_DECAY = 0.999  # decay of the longest recent submission lag on each request


class Scheduler:
    """The scheduler of one router.

    Args:
        seed: seed of the pseudo-random choice among equally loaded engines.

    Attributes:
        components: the components of the scheduler.
        engines: the listed engines, keyed by engine id.
        pending: requests that wait for an attempt, keyed by sequence number.
    """

    def __init__(
        self,
        port: SchedulerPort,
        seed: int,
        request_classes: list[RequestClass],
        rules: DeploymentRules,
        fleet: FleetInfo,
    ) -> None:
        self.port = port
        self.seed = seed
        self.request_classes = request_classes
        self.rules = rules
        self.fleet = fleet
        self.components = components = SchedulerComponents(port, seed, request_classes, rules, fleet)
        self.engines = components.pool.engines
        self._placement = components.placement
        self._estimates = components.estimates
        self._retry_budget = components.retry_budget
        self._table_groups = components.table_groups
        self._key_order = components.key_order
        self._load_shedder = components.load_shedder
        self._timers = components.timers
        self.pending: dict[int, RequestState] = {}  # by sequence
        self._shared_budgets: SharedBudgets | None = None
        self._kinds_without_room = set[tuple[int, bool]]()  # (class index, is cheap), since the last review
        self._submitted_count = 0
        self._recent_lag_s = 0.0  # longest recent time from receipt to submission, decaying
        self._refreshed_at = -math.inf

    @property
    def available_engines(self) -> list[EngineState]:
        """The engines that take requests, ordered by name."""
        return self.components.pool.available_engines

    @property
    def cores(self) -> int:
        """The total cores of the engines that take requests."""
        return self.components.pool.cores

    @property
    def capacity_divisor(self) -> float:
        """The number that the fleet's capacity is divided by for this router's share."""
        return self.components.share.divisor

    @property
    def estimate_correction(self) -> list[Cost]:
        """The ratios of measured to estimated cost, by class index."""
        return self._estimates.estimate_correction

    @property
    def shared_budgets(self) -> SharedBudgets | None:
        """The budgets shared with other routers; None if there are none."""
        return self._shared_budgets

    @shared_budgets.setter
    def shared_budgets(self, budgets: SharedBudgets | None) -> None:
        self._shared_budgets = budgets
        self.components.use_shared_budgets(budgets)

    def now(self) -> float:
        """Returns the time in seconds."""
        return self.port.now()

    def mean_work(self, class_index: int) -> float:
        """Returns the mean work of recent requests of the class."""
        return self._estimates.mean_work(class_index)

    def may_retry(self, request: RequestState, now: float) -> bool:
        """Returns whether one more attempt of the request is allowed."""
        return self._retry_budget.may_retry(request, now)

    def update_engines(self, entries: list[EngineEntry], complete: bool) -> None:
        """Applies the engine list or a change of it.

        Args:
            entries: the entries of the list, or those that changed.
            complete: whether engines that are not among the entries have left the fleet.
        """
        self._placement.home_sets.clear()
        self.components.pool.update(entries, complete, self.components.share.slow_start_rank)
        self.review()

    def set_router_share(
        self,
        share: float,
        router_count: int,
        router_index: int,
        valid_until: float = math.inf,
        guaranteed_share: float = 1.0,
    ) -> None:
        """Sets this router's share of the fleet and its place among the slow-start senders.

        Args:
            share: this router's share, above 0 and at most 1.
            router_count: number of routers that may send to an engine that is warming up.
            router_index: this router's index among them; -1 if it is not one of them for now.
            valid_until: time (s) until which the share holds.
            guaranteed_share: the share after that time, even if no notice of the change arrives.
        """
        self.components.share.valid_until = valid_until
        self.components.share.guaranteed_share = guaranteed_share
        if self.components.assign_share(share, router_count, router_index if router_index >= 0 else None):
            self._schedule_review()

    def submit(  # noqa: PLR0913 - a parameter object would cost time on each request
        self,
        ref: str,
        class_index: int,
        table_group: int,
        ordering_key: str,
        estimate: Cost,
        tenant: int,
        received_at: float,
        time_left_s: float,
        retry_after_s: float | None = None,
    ) -> RequestState:
        """Takes a request from the router and tries to start it.

        Args:
            ref: reference of the request towards the platform.
            class_index: index of its request class.
            table_group: the table group that it reads or loads.
            ordering_key: its ordering key; empty if it has none.
            estimate: work and memory as estimated by the client; a work of 0 means no estimate.
            tenant: index of its tenant; -1 if unknown.
            received_at: time (s) at which the router received it.
            time_left_s: seconds until its deadline.
            retry_after_s: seconds until there is room for its result; None if there is room now.

        Returns:
            The handle for later events of the request.
        """
        now = self.port.now()
        self._submitted_count += 1
        self._recent_lag_s = max(now - received_at, LAG_DECAY * self._recent_lag_s)
        request = RequestState(
            self,
            ref,
            self._submitted_count,
            class_index,
            self.request_classes[class_index],
            table_group,
            tenant,
            estimate,
            self._estimates.estimate(class_index, estimate),
            received_at,
            now + time_left_s,
            self.rules.max_attempts,
        )
        request.reserve_answer_time(time_left_s, self._recent_lag_s)
        request.priority_weight *= self.components.tenant_quotas.weight(ref, tenant, received_at)
        if retry_after_s is None and self._shared_budgets is not None:
            wait_budget_s = request.target_at - now - request.service_time_s()
            retry_after_s = self._shared_budgets.admission_wait(ref, class_index, tenant, wait_budget_s)
        self._estimates.record_request(class_index, request.work)
        self._retry_budget.record_request(now)
        if request.request_class.ordered_by_key and ordering_key:
            self._key_order.add(request, ordering_key)
        self.pending[request.sequence] = request
        # In a router short of CPU, a request may have waited for most of the time to its latency target.
        if retry_after_s is not None or request.near_target(now):
            self.give_up(request, retry_after_s)
        else:
            self.try_schedule(request)
        self._schedule_review()
        return request

    def try_schedule(self, request: RequestState) -> None:
        """Starts an attempt of a pending request if an engine may run it now.

        Gives the request up if it can no longer be answered in time.
        """
        now = self.port.now()
        self._refresh(now)
        if self._load_shedder.is_too_late(request, now):
            self.give_up(request)
            return
        self._timers.request_expiry(request.attempts_deadline)
        kind = (request.class_index, request.work <= self._estimates.cheap_threshold)
        if kind in self._kinds_without_room or not self._key_order.has_turn(request, now):
            return
        if not self._retry_budget.may_retry(request, now):
            return
        candidates = self._placement.candidates(request, now)
        if not candidates:
            return
        preferred = self._table_groups.grant(
            request, self._placement.prefer_by_home(request, candidates), now
        )
        if not preferred:
            return
        preferred = self._placement.prefer_zone(request, preferred)
        choices = [e for e in request.probed_engines if e in preferred]
        choices = choices or self._placement.two_choices(request, preferred, now)
        if self.components.load_probes.awaits_load_reports(request, choices, now):
            return
        engine = self._placement.less_loaded(choices, now)
        if not self._placement.has_room(request, engine, now):
            self._kinds_without_room.add(kind)
        elif self.components.attempt_starter.start(request, engine, now):
            self.pending.pop(request.sequence, None)

    def on_attempt_answered(
        self, request: RequestState, attempt: Attempt, cost: Cost | None, report: LoadReport | None
    ) -> None:
        """Records the outcome of an answered attempt and completes its request."""
        self.components.outcomes.record_answer(attempt, cost, report)
        self.complete(request)
        self.review()

    def on_attempt_failed(
        self, request: RequestState, attempt: Attempt, outcome: AttemptOutcome, already_completed: bool
    ) -> None:
        """Records the outcome of an attempt without an answer, then retries or gives up."""
        now = self.port.now()
        self.components.outcomes.record_failure(attempt, outcome, now)
        if already_completed:
            self.complete(request)
        elif not request.completed and not request.in_flight:
            if outcome is not AttemptOutcome.UNSENT and self._retry_budget.may_retry(request, now):
                self.pending[request.sequence] = request
                self.try_schedule(request)
            else:
                self.give_up(request)
        self.review()

    def on_contact_lost(self, request: RequestState, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Records the engine's failure, and gives up a request that may not be retried after the attempt."""
        now = self.port.now()
        self.components.outcomes.record_contact_lost(attempt, outcome, now)
        has_lost_all = all(a.has_lost_contact for a in request.in_flight)
        if not request.completed and has_lost_all and not self._retry_budget.may_retry_later(request, now):
            self.give_up(request)
        self.review()

    def give_up(self, request: RequestState, retry_after_s: float | None = None) -> None:
        """Gives the request its final answer without a result.

        Args:
            request: the request.
            retry_after_s: seconds until what it lacked may be available; None if that is not known.
        """
        self._load_shedder.shed_or_fail(request, retry_after_s)
        self.complete(request)

    def complete(self, request: RequestState) -> None:
        """Cancels the remaining attempts of a request that has its final answer."""
        request.completed = True
        self.pending.pop(request.sequence, None)
        if self._shared_budgets is not None:
            self._shared_budgets.stop_waiting(request.ref)
        self._table_groups.leave(request)
        if not self.rules.allows_cancel:
            return
        for attempt in [a for a in request.in_flight if not a.is_cancelled]:
            attempt.is_cancelled = True
            self.port.cancel_attempt(request.ref, attempt.number)

    def on_probe_result(self, engine_id: int, is_reachable: bool, report: LoadReport | None) -> None:
        """Applies the result of a probe; the engine may have left the list since."""
        engine = self.engines.get(engine_id)
        if engine is not None and not is_reachable:
            self.components.outliers.on_failure(engine, AttemptOutcome.UNREACHABLE, self.port.now())
        elif engine is not None and report is not None:
            self.components.load_reports.on_report(engine, report, self.port.now())
        self.review()

    def receive_load_update(self, peer: int, data: bytes) -> None:
        """Applies a load update from another router."""
        self.components.load_reports.on_peer_update(data, self.port.now())

    def review(self) -> None:
        """Tries to start all pending requests in the order of their queue rank.

        The rank is the work per priority weight, reduced with waiting time so that no request starves.
        """
        now = self.port.now()
        if self.pending and self._timers.may_review(now):
            self._kinds_without_room.clear()
            for request in sorted(self.pending.values(), key=lambda r: r.queue_rank(now)):
                if request.sequence in self.pending:
                    self.try_schedule(request)
            # After a long review, as much time is left to other work before the next one.
            self._timers.reviewed_at = 2.0 * self.port.now() - now
        elif self.pending:
            if self._shared_budgets is not None:  # a budget unit that was just released is used at once
                self.try_schedule(min(self.pending.values(), key=lambda r: r.queue_rank(now)))
            self._timers.request_review(self._timers.reviewed_at + MIN_REVIEW_INTERVAL_S)
        self._schedule_review()

    def on_timer(self) -> None:
        """Gives up expired requests, reviews pending ones and checks attempts in flight."""
        now = self.port.now()
        if self._timers.is_expiry_due(now):
            self._expire_pending(now)
        if self._timers.consume_due_review(now):
            self._refresh(self.port.now())
            now = self.port.now()
            if self._timers.consume_due_watch(now):
                self.components.attempt_watch.check(now)
            self.review()
        self._timers.rearm()

    def _expire_pending(self, now: float) -> None:
        for request in [
            r for r in self.pending.values() if now >= r.attempts_deadline - TIMER_EARLINESS_S / 2
        ]:
            self.give_up(request)
        self._timers.next_expiry_at = min(
            (r.attempts_deadline for r in self.pending.values()), default=math.inf
        )

    def _refresh(self, now: float) -> None:
        """Recomputes derived figures, at most once in each tick."""
        share = self.components.share
        if now >= share.valid_until:  # other routers may have this share by now
            self.set_router_share(
                share.guaranteed_share, share.sender_count, -1, guaranteed_share=share.guaranteed_share
            )
        if now < self._refreshed_at + TICK_S:
            return
        self._refreshed_at = now
        self.components.refresh(now)

    def _schedule_review(self) -> None:
        if self.pending:
            self._timers.request_review(self.port.now() + TICK_S)
        elif self.components.pool.in_flight:
            self._timers.request_review(self.port.now() + WATCH_INTERVAL_S)
