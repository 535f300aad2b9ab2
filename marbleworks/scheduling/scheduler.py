"""The scheduler of a router: what runs, where, when and on what terms.

A platform makes one `Scheduler` for each router and calls `update_engines`, `submit` (which returns the
handle that takes later events of the request) and `on_timer`. The scheduler asks the platform through
`SchedulerPort`.
The ordinary path of a request is `Scheduler.try_schedule`; docs/design.md says what is kept of the paper.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marbleworks.model import AttemptOutcome, Idempotency
from marbleworks.scheduling.attempt_watch import AttemptWatch
from marbleworks.scheduling.engine_state import Attempt, EnginePool
from marbleworks.scheduling.history import TICK_S, TIME_MARGIN_S
from marbleworks.scheduling.key_order import KeyOrder
from marbleworks.scheduling.latency import LatencyMonitor
from marbleworks.scheduling.load_reports import LoadReports
from marbleworks.scheduling.load_shedding import LoadShedder
from marbleworks.scheduling.outlier_detection import OutlierDetector
from marbleworks.scheduling.placement import Placement
from marbleworks.scheduling.request_state import RequestState
from marbleworks.scheduling.retry_budget import RetryBudget
from marbleworks.scheduling.router_share import RouterShare
from marbleworks.scheduling.slow_start import SlowStart
from marbleworks.scheduling.table_groups import TableGroups
from marbleworks.scheduling.tenant_quotas import TenantQuotas
from marbleworks.scheduling.work_estimates import Cost, WorkEstimates

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules, EngineEntry, FleetInfo, LoadReport, RequestClass
    from marbleworks.ports import SchedulerPort, SharedBudgets
    from marbleworks.scheduling.engine_state import EngineState

MIN_REVIEW_INTERVAL_S = 0.01
WATCH_INTERVAL_S = 4.0 * TICK_S
TIMER_EARLINESS_S = 0.002  # by which a platform may call on_timer too early
MAX_DELAY_RATIO = 0.15  # part of its time to the latency target for which LOW may delay a request
LAG_DECAY = 0.999  # of the longest recent lag, with each request
CHEAP_PRIORITY, LOAD_PRIORITY, NORMAL_PRIORITY = 3, 2, 1
MEMORY_GRANT_RATIO = 1.15  # of the estimate


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
        self.start_slack_s = rules.connect_timeout_s + TIME_MARGIN_S  # an attempt may leave so much later
        self.share = RouterShare(fleet)
        self.estimates = WorkEstimates(len(request_classes))
        self.pool = EnginePool(request_classes, fleet.cores_by_kind)
        self.engines = self.pool.engines
        self.latency = LatencyMonitor(self.pool)
        self.outliers = OutlierDetector(port, self.latency)
        self.load_reports = LoadReports(port, rules, self.pool)
        self.load_shedder = LoadShedder(port, rules, self.latency)
        self.tenant_quotas = TenantQuotas(rules, self.share.divisor)
        self.retry_budget = RetryBudget(rules, self.start_slack_s)
        self.slow_start = SlowStart(rules, self.share, self.estimates, self.start_slack_s, port.now())
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
        self.attempt_watch = AttemptWatch(
            port, rules, self.pool, self.placement, self.retry_budget, self.outliers, self._start_attempt
        )
        self.table_groups = TableGroups()
        self.key_order = KeyOrder()
        self.pending: dict[int, RequestState] = {}  # by sequence
        self.next_review_at = math.inf  # the timer that was asked for
        self.next_expiry_at = math.inf  # the earliest answer_by among the pending
        self.reviewed_at = -math.inf
        self._shared_budgets: SharedBudgets | None = None
        self._kinds_without_room = set[tuple[int, bool]]()  # class index and cheapness, since the last review
        self._submitted_count = 0
        self._recent_lag_s = 0.0  # for which requests lately waited to be submitted
        self._refreshed_at = -math.inf
        self._watched_at = -math.inf

    @property
    def up(self) -> list[EngineState]:
        """The engines that may be used."""
        return self.pool.up

    @property
    def cores(self) -> int:
        """The cores of the engines that may be used."""
        return self.pool.cores

    @property
    def routers(self) -> float:
        """What the fleet's capacity is divided by for our share."""
        return self.share.divisor

    @property
    def estimate_bias(self) -> list[Cost]:
        """By class index: what requests took over their estimates."""
        return self.estimates.bias

    @property
    def shared_budgets(self) -> SharedBudgets | None:
        """The budgets shared with other routers, where there are any."""
        return self._shared_budgets

    @shared_budgets.setter
    def shared_budgets(self, budgets: SharedBudgets | None) -> None:
        self._shared_budgets = budgets
        for part in (self.placement, self.retry_budget, self.slow_start, self.tenant_quotas):
            part.shared_budgets = budgets

    def now(self) -> float:
        """Returns the time in seconds."""
        return self.port.now()

    def mean_work(self, class_index: int) -> float:
        """Returns the mean work of recent requests of the class."""
        return self.estimates.mean_work(class_index)

    def may_retry(self, request: RequestState, now: float) -> bool:
        """Returns whether one more attempt of the request is allowed."""
        return self.retry_budget.may_retry(request, now)

    def update_engines(self, entries: list[EngineEntry], complete: bool) -> None:
        """Applies the engine list; complete: engines that are not among the entries are gone."""
        self.placement.home_sets.clear()
        self.pool.update(entries, complete, self.share.slow_start_rank)
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
        self.share.valid_until = until
        self.share.guaranteed = guaranteed
        if not self.share.assign(share, router_count, router_index if router_index >= 0 else None):
            return
        for engine in self.engines.values():
            engine.slow_start_rank = self.share.slow_start_rank(engine.entry)
        self.tenant_quotas.resize(share)
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
            self.estimates.estimate(class_index, estimate),
            received_at,
            now + time_left_s,
            self.rules.max_attempts,
        )
        request.reserve_answer_time(time_left_s, self._recent_lag_s)
        request.priority_weight *= self.tenant_quotas.weight(ref, tenant, received_at)
        if retry_after_s is None and self._shared_budgets is not None:
            wait_budget_s = request.target_at - now - request.solo_time_s()
            retry_after_s = self._shared_budgets.admission_wait(ref, class_index, tenant, wait_budget_s)
        self.estimates.record_request(class_index, request.work)
        self.retry_budget.record_request(now)
        if request.request_class.ordered_by_key and ordering_key:
            self.key_order.add(request, ordering_key)
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
        if self.load_shedder.is_too_late(request, now):
            self.give_up(request)
            return
        self._schedule_expiry(request)
        kind = (request.class_index, request.work <= self.estimates.cheap_threshold)
        if kind in self._kinds_without_room or not self.key_order.has_turn(request, now):
            return
        if not self.retry_budget.may_retry(request, now):
            return
        candidates = self.placement.candidates(request, now)
        if not candidates:
            return
        preferred = self._apply_low(request, self.placement.prefer_by_home(request, candidates), now)
        if not preferred:
            return
        preferred = self.placement.prefer_zone(request, preferred)
        two = [e for e in request.probed_engines if e in preferred]
        two = two or self.placement.two_choices(request, preferred, now)
        if self._awaits_probes(request, two, now):
            return
        engine = self.placement.less_loaded(two, now)
        if self.placement.has_room(request, engine, now):
            self._start_attempt(request, engine, now)
        else:
            self._kinds_without_room.add(kind)

    def _apply_low(self, request: RequestState, engines: list[EngineState], now: float) -> list[EngineState]:
        """Returns the engines that LOW grants a request of a group with loads; none if it has to wait.

        It goes where none of our loads is, when E says that this hurts no rival more than letting the rival
        go first. Having waited its part of the time it goes anywhere, even to stand behind a load of ours.
        """
        request_class, table_group = request.request_class, request.table_group
        if not request_class.is_load and not (
            request_class.waits_for_loads and self.table_groups.has_load(table_group)
        ):
            return engines
        self.table_groups.join(request)
        free = [e for e in engines if table_group not in e.loading_groups]
        max_delay_s = MAX_DELAY_RATIO * (request.target_at - request.received_at)
        is_granted = request.in_graph and free and self.table_groups.has_least_e(request, now)
        if not is_granted and not now - request.received_at > max_delay_s:
            return []
        return free or engines

    def _awaits_probes(self, request: RequestState, two: list[EngineState], now: float) -> bool:
        """Probes the load of two engines for a costly request; returns whether to wait for their answers."""
        if not self.rules.allows_probes or request.work <= self.estimates.cheap_threshold:
            return False
        if not request.probed_engines:
            request.probed_at = now
            request.probed_engines = two
            for engine in two:
                self.port.probe_load(engine.entry.engine_id)
        has_answers = all(e.reported_at >= request.probed_at for e in request.probed_engines)
        return now < request.probed_at + TICK_S and not has_answers

    def _start_attempt(self, request: RequestState, engine: EngineState, now: float) -> None:
        """Sends the request to the engine, unless a rule forbids it: the last check."""
        if request.completed or not self.placement.allows(request, engine, now):
            return
        if not self.retry_budget.may_retry(request, now) or not self.key_order.has_turn(request, now):
            return
        self.pending.pop(request.sequence, None)
        self._set_terms(request)
        if self._shared_budgets is not None:
            self._shared_budgets.acquire(
                request.ref,
                request.attempt_count,
                request.class_index,
                request.tenant,
                engine.entry.engine_id,
            )
        attempt = Attempt(request, request.attempt_count, engine, now)
        begin_by = self._begin_by(request, engine, now)
        if request.counted_attempts:
            self.retry_budget.record_retry(attempt)
        if self.slow_start.is_warming(engine, now):
            self.slow_start.record(attempt)
        request.attempt_count += 1
        request.in_flight.append(attempt)
        request.tried_engines.append(engine)
        self.pool.add_attempt(attempt)
        self.port.start_attempt(request.ref, engine.entry.engine_id, request.answer_by, begin_by)

    def _set_terms(self, request: RequestState) -> None:
        if request.work <= self.estimates.cheap_threshold:
            priority = CHEAP_PRIORITY
        else:
            priority = LOAD_PRIORITY if request.request_class.is_load else NORMAL_PRIORITY
        is_known = self.rules.accepts_memory_grants and self.estimates.has_learned(request.class_index)
        memory_mb = MEMORY_GRANT_RATIO * request.memory_mb if is_known else 0.0
        self.port.set_attempt_terms(request.ref, priority, memory_mb)

    def _begin_by(self, request: RequestState, engine: EngineState, now: float) -> float:
        """Returns the latest moment for an attempt's first byte: until then all rules still allow it.

        Descriptors and connections may keep it waiting.
        """
        begin_by = request.answer_by
        if self._shared_budgets is not None:
            begin_by = min(begin_by, self._shared_budgets.begin_by)
        if request.counted_attempts or self.slow_start.is_warming(engine, now):
            begin_by = min(begin_by, now + self.start_slack_s)
        has_key = request.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        if has_key and (request.may_have_run is not None or request.in_flight):
            begin_by = min(begin_by, self.retry_budget.repeat_by(request))
        return begin_by

    def on_attempt_answered(
        self, request: RequestState, attempt: Attempt, cost: Cost | None, report: LoadReport | None
    ) -> None:
        """Learns from an answer and completes the request."""
        self.pool.remove_attempt(attempt)
        if cost is not None:
            self.estimates.record_cost(request.class_index, request.estimate, cost)
        self._release(attempt, may_still_run=False)
        now = self.port.now()
        work = cost[0] if cost is not None else request.work
        solo_time_s = work / request.request_class.threads
        self.latency.record_answer(attempt, attempt.finished_at or now, solo_time_s)
        self.outliers.on_answer(attempt.engine, now)
        if report is not None:
            self.load_reports.on_report(attempt.engine, report, now)
        self.complete(request)
        self.review()

    def on_attempt_failed(
        self, request: RequestState, attempt: Attempt, outcome: AttemptOutcome, already_completed: bool
    ) -> None:
        """Learns from an attempt without an answer; tries again or gives up."""
        now = self.port.now()
        self.pool.remove_attempt(attempt)
        self._release(attempt, outcome.may_still_run)
        if outcome.never_sent:
            request.unsent_count += 1
            self.retry_budget.forget(attempt)
            self.slow_start.forget(attempt)
        if outcome.may_still_run:
            request.may_run_until = now + self.rules.key_settle_s
        self.outliers.on_failure(attempt.engine, outcome, now, request)
        if already_completed:
            self.complete(request)
        elif not request.completed and not request.in_flight:
            if outcome is not AttemptOutcome.UNSENT and self.retry_budget.may_retry(request, now):
                self.pending[request.sequence] = request
                self.try_schedule(request)
            else:
                self.give_up(request)
        self.review()

    def _release(self, attempt: Attempt, may_still_run: bool) -> None:
        if self._shared_budgets is not None:
            self._shared_budgets.release(attempt.request.ref, attempt.number, may_still_run)

    def give_up(self, request: RequestState, retry_after_s: float | None = None) -> None:
        """Answers finally, at once; retry_after_s: when another try may find what this one lacked."""
        self.load_shedder.answer(request, retry_after_s)
        self.complete(request)

    def complete(self, request: RequestState) -> None:
        """Cancels the attempts of a request that has its final answer: they no longer matter."""
        request.completed = True
        self.pending.pop(request.sequence, None)
        if self._shared_budgets is not None:
            self._shared_budgets.stop_waiting(request.ref)
        self.table_groups.leave(request)
        if not self.rules.allows_cancel:
            return
        for attempt in [a for a in request.in_flight if not a.is_cancelled]:
            attempt.is_cancelled = True
            self.port.cancel_attempt(request.ref, attempt.number)

    def on_probe_result(self, engine_id: int, is_reachable: bool, report: LoadReport | None) -> None:
        """Applies the answer to a probe of an engine, which may be gone meanwhile."""
        engine = self.engines.get(engine_id)
        if engine is not None and not is_reachable:
            self.outliers.on_failure(engine, AttemptOutcome.UNREACHABLE, self.port.now())
        elif engine is not None and report is not None:
            self.load_reports.on_report(engine, report, self.port.now())
        self.review()

    def receive_load_update(self, peer: int, data: bytes) -> None:
        """Applies a load update of another router."""
        self.load_reports.on_peer_update(data, self.port.now())

    def review(self) -> None:
        """Tries to schedule all pending requests: cheapest per priority weight first, with ageing."""
        now = self.port.now()
        if self.pending and now >= self.reviewed_at + MIN_REVIEW_INTERVAL_S - 1e-6:
            self._kinds_without_room.clear()
            for request in sorted(self.pending.values(), key=lambda r: r.queue_rank(now)):
                if request.sequence in self.pending:
                    self.try_schedule(request)
            self.reviewed_at = 2.0 * self.port.now() - now  # a long review leaves as much time to all else
        elif self.pending:
            if self._shared_budgets is not None:  # what was just released is used at once
                self.try_schedule(min(self.pending.values(), key=lambda r: r.queue_rank(now)))
            self._request_wakeup(self.reviewed_at + MIN_REVIEW_INTERVAL_S)
        self._schedule_review()

    def on_timer(self) -> None:
        """Gives up what has expired, reviews what is pending and watches what is in flight."""
        now = self.port.now()
        if now >= self.next_expiry_at - TIMER_EARLINESS_S / 2:
            self._expire_pending(now)
        if now >= self.next_review_at - 1e-6:  # else an earlier wish, overtaken
            self.next_review_at = math.inf
            self._refresh(self.port.now())
            now = self.port.now()
            if now >= self._watched_at + WATCH_INTERVAL_S - MIN_REVIEW_INTERVAL_S:
                self._watched_at = now
                self.attempt_watch.check(now)
            self.review()
        wakeup_at = min(self.next_expiry_at, self.next_review_at)
        if wakeup_at < math.inf:  # a platform keeps the earliest wish only
            self.port.schedule_wakeup(wakeup_at)

    def _expire_pending(self, now: float) -> None:
        for request in [r for r in self.pending.values() if now >= r.answer_by - TIMER_EARLINESS_S / 2]:
            self.give_up(request)
        self.next_expiry_at = min((r.answer_by for r in self.pending.values()), default=math.inf)

    def _refresh(self, now: float) -> None:
        """Works derived figures out anew, once in a tick."""
        if now >= self.share.valid_until:  # others may have our share by now
            guaranteed = self.share.guaranteed
            self.set_router_share(guaranteed, self.share.sender_count, -1, guaranteed=guaranteed)
        if now < self._refreshed_at + TICK_S:
            return
        self._refreshed_at = now
        self.latency.refresh(now)
        self.estimates.refresh()
        self.table_groups.prune()
        self.key_order.prune(now)
        self.placement.refresh()

    def _schedule_expiry(self, request: RequestState) -> None:
        if request.answer_by < self.next_expiry_at:
            self.next_expiry_at = request.answer_by
            if request.answer_by < self.next_review_at:
                self.port.schedule_wakeup(request.answer_by)

    def _schedule_review(self) -> None:
        if self.pending:
            self._request_wakeup(self.port.now() + TICK_S)
        elif self.pool.in_flight:
            self._request_wakeup(self.port.now() + WATCH_INTERVAL_S)

    def _request_wakeup(self, at: float) -> None:
        if at < self.next_review_at:
            self.next_review_at = at
            self.port.schedule_wakeup(at)
