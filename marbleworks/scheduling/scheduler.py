"""The scheduler of a router: what runs, where, when and on what terms.

A platform makes one `Scheduler` for each router and calls `update_engines`, `submit` (which returns the
handle that takes later events of the request) and `on_timer`. The scheduler asks the platform through
`SchedulerPort`.
The ordinary path of a request is `Scheduler.try_schedule`; docs/design.md says what is kept of the paper.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marbleworks.model import AttemptOutcome
from marbleworks.scheduling.history import TICK_S
from marbleworks.scheduling.request_state import RequestState
from marbleworks.scheduling.timers import MIN_REVIEW_INTERVAL_S, TIMER_EARLINESS_S, WATCH_INTERVAL_S
from marbleworks.scheduling.wiring import SchedulerParts

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules, EngineEntry, FleetInfo, LoadReport, RequestClass
    from marbleworks.ports import SchedulerPort, SharedBudgets
    from marbleworks.scheduling.engine_state import Attempt, EngineState
    from marbleworks.scheduling.work_estimates import Cost

LAG_DECAY = 0.999  # of the longest recent lag, with each request


class Scheduler:
    """The scheduler of one router. seed: of its draws among equal engines."""

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
        self.parts = parts = SchedulerParts(port, seed, request_classes, rules, fleet)
        self.engines = parts.pool.engines
        self._placement = parts.placement
        self._estimates = parts.estimates
        self._retry_budget = parts.retry_budget
        self._table_groups = parts.table_groups
        self._key_order = parts.key_order
        self._load_shedder = parts.load_shedder
        self._timers = parts.timers
        self.pending: dict[int, RequestState] = {}  # by sequence
        self._shared_budgets: SharedBudgets | None = None
        self._kinds_without_room = set[tuple[int, bool]]()  # class index and cheapness, since the last review
        self._submitted_count = 0
        self._recent_lag_s = 0.0  # for which requests lately waited to be submitted
        self._refreshed_at = -math.inf

    @property
    def up(self) -> list[EngineState]:
        """The engines that may be used."""
        return self.parts.pool.up

    @property
    def cores(self) -> int:
        """The cores of the engines that may be used."""
        return self.parts.pool.cores

    @property
    def routers(self) -> float:
        """What the fleet's capacity is divided by for our share."""
        return self.parts.share.divisor

    @property
    def estimate_bias(self) -> list[Cost]:
        """By class index: what requests took over their estimates."""
        return self._estimates.bias

    @property
    def shared_budgets(self) -> SharedBudgets | None:
        """The budgets shared with other routers, where there are any."""
        return self._shared_budgets

    @shared_budgets.setter
    def shared_budgets(self, budgets: SharedBudgets | None) -> None:
        self._shared_budgets = budgets
        self.parts.use_shared_budgets(budgets)

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
        """Applies the engine list; complete: engines that are not among the entries are gone."""
        self._placement.home_sets.clear()
        self.parts.pool.update(entries, complete, self.parts.share.slow_start_rank)
        self.review()

    def set_router_share(
        self,
        share: float,
        router_count: int,
        router_index: int,
        until: float = math.inf,
        guaranteed: float = 1.0,
    ) -> None:
        """Sets our share of what all routers have together and our place among the slow-start senders.

        router_index: -1 for no place, for now. guaranteed: the share from `until` on, notified or not.
        """
        self.parts.share.valid_until = until
        self.parts.share.guaranteed = guaranteed
        if self.parts.assign_share(share, router_count, router_index if router_index >= 0 else None):
            self._schedule_review()

    def submit(  # noqa: PLR0913 - a request has these parts, and an object for them would cost on each
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
        """Takes a request that the router received at that time; an estimate of 0 is none.

        tenant: -1 if not known. retry_after_s: seconds until there is room for its result, None if there is.
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
        request.priority_weight *= self.parts.tenant_quotas.weight(ref, tenant, received_at)
        if retry_after_s is None and self._shared_budgets is not None:
            wait_budget_s = request.target_at - now - request.solo_time_s()
            retry_after_s = self._shared_budgets.admission_wait(ref, class_index, tenant, wait_budget_s)
        self._estimates.record_request(class_index, request.work)
        self._retry_budget.record_request(now)
        if request.request_class.ordered_by_key and ordering_key:
            self._key_order.add(request, ordering_key)
        self.pending[request.sequence] = request
        # In a router short of CPU a request may have spent most of the time to its target waiting in it.
        if retry_after_s is not None or request.close_call(now):
            self.give_up(request, retry_after_s)
        else:
            self.try_schedule(request)
        self._schedule_review()
        return request

    def try_schedule(self, request: RequestState) -> None:
        """The ordinary path of a pending request to an engine."""
        now = self.port.now()
        self._refresh(now)
        if self._load_shedder.is_too_late(request, now):
            self.give_up(request)
            return
        self._timers.request_expiry(request.answer_by)
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
        two = [e for e in request.probed_engines if e in preferred]
        two = two or self._placement.two_choices(request, preferred, now)
        if self.parts.load_probes.awaits_answer(request, two, now):
            return
        engine = self._placement.less_loaded(two, now)
        if not self._placement.has_room(request, engine, now):
            self._kinds_without_room.add(kind)
        elif self.parts.attempt_starter.start(request, engine, now):
            self.pending.pop(request.sequence, None)

    def on_attempt_answered(
        self, request: RequestState, attempt: Attempt, cost: Cost | None, report: LoadReport | None
    ) -> None:
        """Learns from an answer and completes the request."""
        self.parts.outcomes.record_answer(attempt, cost, report)
        self.complete(request)
        self.review()

    def on_attempt_failed(
        self, request: RequestState, attempt: Attempt, outcome: AttemptOutcome, already_completed: bool
    ) -> None:
        """Learns from an attempt without an answer; tries again or gives up."""
        now = self.port.now()
        self.parts.outcomes.record_failure(attempt, outcome, now)
        if already_completed:
            self.complete(request)
        elif not request.completed and not request.in_flight:
            if outcome is not AttemptOutcome.UNSENT and self._retry_budget.may_retry(request, now):
                self.pending[request.sequence] = request
                self.try_schedule(request)
            else:
                self.give_up(request)
        self.review()

    def give_up(self, request: RequestState, retry_after_s: float | None = None) -> None:
        """Answers finally, at once; retry_after_s: when another try may find what this one lacked."""
        self._load_shedder.answer(request, retry_after_s)
        self.complete(request)

    def complete(self, request: RequestState) -> None:
        """Cancels the attempts of a request that has its final answer: they no longer matter."""
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
        """Applies the answer to a probe of an engine, which may be gone meanwhile."""
        engine = self.engines.get(engine_id)
        if engine is not None and not is_reachable:
            self.parts.outliers.on_failure(engine, AttemptOutcome.UNREACHABLE, self.port.now())
        elif engine is not None and report is not None:
            self.parts.load_reports.on_report(engine, report, self.port.now())
        self.review()

    def receive_load_update(self, peer: int, data: bytes) -> None:
        """Applies a load update of another router."""
        self.parts.load_reports.on_peer_update(data, self.port.now())

    def review(self) -> None:
        """Tries to schedule all pending requests: cheapest per priority weight first, with ageing."""
        now = self.port.now()
        if self.pending and self._timers.may_review(now):
            self._kinds_without_room.clear()
            for request in sorted(self.pending.values(), key=lambda r: r.queue_rank(now)):
                if request.sequence in self.pending:
                    self.try_schedule(request)
            # A long review leaves as much time to all else.
            self._timers.reviewed_at = 2.0 * self.port.now() - now
        elif self.pending:
            if self._shared_budgets is not None:  # what was just released is used at once
                self.try_schedule(min(self.pending.values(), key=lambda r: r.queue_rank(now)))
            self._timers.request_review(self._timers.reviewed_at + MIN_REVIEW_INTERVAL_S)
        self._schedule_review()

    def on_timer(self) -> None:
        """Gives up what has expired, reviews what is pending and watches what is in flight."""
        now = self.port.now()
        if self._timers.is_expiry_due(now):
            self._expire_pending(now)
        if self._timers.take_review(now):
            self._refresh(self.port.now())
            now = self.port.now()
            if self._timers.take_watch(now):
                self.parts.attempt_watch.check(now)
            self.review()
        self._timers.repeat()

    def _expire_pending(self, now: float) -> None:
        for request in [r for r in self.pending.values() if now >= r.answer_by - TIMER_EARLINESS_S / 2]:
            self.give_up(request)
        self._timers.next_expiry_at = min((r.answer_by for r in self.pending.values()), default=math.inf)

    def _refresh(self, now: float) -> None:
        """Works derived figures out anew, once in a tick."""
        share = self.parts.share
        if now >= share.valid_until:  # others may have our share by now
            self.set_router_share(share.guaranteed, share.sender_count, -1, guaranteed=share.guaranteed)
        if now < self._refreshed_at + TICK_S:
            return
        self._refreshed_at = now
        self.parts.refresh(now)

    def _schedule_review(self) -> None:
        if self.pending:
            self._timers.request_review(self.port.now() + TICK_S)
        elif self.parts.pool.in_flight:
            self._timers.request_review(self.port.now() + WATCH_INTERVAL_S)
