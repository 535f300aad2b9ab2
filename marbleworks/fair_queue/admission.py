"""Admission control: which requests are admitted at once, which wait, and which are shed with a Retry-After.

It does no I/O and reads no clock. It owns the queues, the concurrency limit and the retry promises, and must
never choose an engine, answer a client, or hold back a request that it could admit. A request is known by its
ref; its figures are those that the dispatcher was given.

A tenant is, in this module, the name of a tenant or the network of a client without one. Several tenants may
share a flow. Work is seconds on one thread. Pace is work a second per unit of weight that waiting flows get.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from marbleworks.fair_queue.admitted_work import AdmittedWork
from marbleworks.fair_queue.concurrency_limit import ConcurrencyLimit
from marbleworks.fair_queue.flow_classifier import FlowClassifier
from marbleworks.fair_queue.peer_usage import SUMMARY_INTERVAL_S, PeerUsage, name_hash
from marbleworks.fair_queue.retry_promises import MAX_EARLY_S, RetryPromises
from marbleworks.fair_queue.start_time_fair_queue import StartTimeFairQueue, Ticket

WAITING_OVERHEAD_BYTES = 2000  # memory that a waiting request takes besides its statement
RATE_WINDOW_S = 1.0  # the rate of completed work is measured over this time
# BIAS_SMOOTHING is the weight of the newest answer in the moving average of a flow's estimate bias. A single
# sample lies between 1 / MAX_BIAS and MAX_BIAS.
BIAS_SMOOTHING, MAX_BIAS = 0.2, 20.0
HEADROOM = 1.3  # factor on the concurrency limit for flows that have had less than their share
ENGINE_LOSS_WINDOW_S = 10.0  # a promise that breaks this soon after engines were lost is put down to that
MIN_PEER_RATE_RATIO = 0.02  # relative to the local rate; a flow that peers give less is treated as local only
PACE_SAMPLES = 10  # summary intervals over which the pace is taken
# Bounds of the part of a slot's promisable work that one flow may take.
MIN_PROMISE_SHARE, MAX_PROMISE_SHARE = 0.1, 0.5


class AdmissionReason(Enum):
    """What admission control decided on a request, for the trace."""

    ADMITTED_AT_ONCE = "passed"
    QUEUED = "queued"
    ADMITTED_IN_TURN = "let in"
    PROMISE_KEPT = "kept"  # it claimed its retry promise and is queued ahead of all flows
    TOO_LATE = "too late"  # it could not be admitted within its time
    FULL = "full"  # the queues are full and its flow is the heaviest
    EARLY = "early"  # its client retried before the promised time
    CLIENT_LEFT = "left"
    TIMED_OUT = "timed out"
    STOPPING = "stopping"


class AdmissionPort(Protocol):
    """What admission control asks of its surroundings."""

    def admit(self, ref: str) -> None:
        """Hands an admitted request on to the dispatcher."""
        ...

    def shed(self, ref: str, retry_after_s: float) -> None:
        """Sheds a request; retry_after_s is infinite where no retry was promised."""

    def send_to_peers(self, data: bytes) -> None:
        """Sends a summary to all peers."""
        ...

    def trace_decision(self, ref: str, tenant: str, reason: AdmissionReason, duration_s: float) -> None:
        """Logs a decision.

        Args:
            ref: Reference of the request.
            tenant: Name of its tenant, or its client's network.
            reason: The decision.
            duration_s: How long an admitted request has waited, or after which time a shed one may be
                retried; infinite where no retry was promised.
        """
        ...

    def on_promise_broken(self, ref: str, tenant: str, cause: str) -> None:
        """Reports that a request that claimed its retry promise was not served."""


@dataclass(slots=True)
class IncomingRequest:
    """A new request.

    Attributes:
        ref: Reference of the request.
        tenant_name: Empty for a client without a tenant.
        address: IP address of the client.
        order_key: Requests of a flow with the same key keep their order.
        work: Estimated seconds on one thread.
        threads: Threads that it runs on.
        size_bytes: Size of the statement.
        max_wait_s: How long it may wait here and still meet its latency target.
        time_left_s: Seconds after which it is too late to admit it.
        fingerprint: Equal for each retry of the request.
    """

    ref: str
    tenant_name: str
    address: str
    order_key: object
    work: float
    threads: int
    size_bytes: int
    max_wait_s: float
    time_left_s: float
    fingerprint: int


@dataclass(frozen=True)
class AdmissionBounds:
    """Bounds and switches of admission control.

    Attributes:
        max_waiting: Requests that may wait.
        max_waiting_bytes: Bytes of memory that waiting requests may take.
        max_promises: Retry promises that may be open at a time.
        shares_usage: Whether summaries are sent to peers and taken from them.
        traces: Whether each decision is logged.
    """

    max_waiting: int
    max_waiting_bytes: float
    max_promises: int
    shares_usage: bool
    traces: bool


@dataclass(eq=False, slots=True)
class AdmittedRequest:
    """A request that is admitted and has not ended.

    Attributes:
        flow: Key of its flow.
        tenant: Name of its tenant, or its client's network.
        work: Estimated seconds on one thread.
        threads: Threads that it runs on.
        admitted_at: Seconds on a monotonic clock.
        was_promised: Whether it claimed a retry promise.
    """

    flow: int
    tenant: str
    work: float
    threads: int
    admitted_at: float
    was_promised: bool = False


class AdmissionController:
    """Decides when each request is admitted, and sheds those that can't be admitted in time.

    Args:
        port: Takes the decisions.
        classifier: Finds tenants, weights and queues.
        bounds: Bounds and switches.
        cores: This router's part of the engines' cores.
        max_retry_after_s: The longest Retry-After that clients comply with; 0 if none may be named.

    Attributes:
        waiting: Ticket, tenant and arrival time of the waiting requests, by ref.
        flow_by_tenant: The flow of each tenant that has waiting requests.
        waiting_counts: Number of waiting requests by tenant.
        admitted: Admitted requests that have not ended, by ref.
        admitted_work: Their work by flow.
        estimate_bias: Moving average of actual over estimated work by flow; at most one entry per
            queue.
        deadlines: A heap of tickets by the time until which they may be admitted, some of which no longer
            wait.
        completed: Time and work of the requests that ended in the last `RATE_WINDOW_S`.
        bypassed: Time and work of the requests that were admitted at once in that time while others waited.
        pace_samples: Time and virtual time of the latest summary intervals.
        promised_refs: Waiting requests that claimed a retry promise.
        engines_lost_at: When engines were lost last, in seconds on a monotonic clock.
        peak_waiting_bytes: The most memory that waiting requests have taken so far.
    """

    def __init__(
        self,
        port: AdmissionPort,
        classifier: FlowClassifier,
        bounds: AdmissionBounds,
        cores: float,
        max_retry_after_s: float,
    ) -> None:
        self.port, self.classifier, self.bounds = port, classifier, bounds
        self.queue, self.concurrency_limit = StartTimeFairQueue(), ConcurrencyLimit(cores)
        self.promises, self.peer_usage = RetryPromises(max_retry_after_s, bounds.max_promises), PeerUsage()
        self.waiting: dict[str, tuple[Ticket, str, float]] = {}
        self.flow_by_tenant: dict[str, int] = {}
        self.waiting_counts: dict[str, int] = {}
        self.admitted: dict[str, AdmittedRequest] = {}
        self.admitted_work = AdmittedWork()
        self.estimate_bias: dict[int, float] = {}
        self.deadlines: list[tuple[float, int, Ticket]] = []
        self.completed: deque[tuple[float, float]] = deque()
        self.completed_work, self.ticket_count = 0.0, 0
        self.bypassed: deque[tuple[float, float]] = deque()
        self.bypassed_work = 0.0
        self.summary_sent_at = -math.inf
        self.pace = 0.0
        self.pace_samples: deque[tuple[float, float]] = deque(maxlen=PACE_SAMPLES)
        self.promised_refs: set[str] = set()
        self.engines_lost_at = -math.inf
        self.peak_waiting_bytes = 0

    # New requests.

    def submit(self, request: IncomingRequest, now: float) -> None:
        """Admits, queues or sheds a new request before it returns, with a bounded amount of computation."""
        self.promises.expire(now)
        tenant, weight = self.classifier.classify(request.tenant_name, request.address)
        flow = self._flow_for(tenant)
        request.work *= self.estimate_bias.get(flow, 1.0)
        promise = self.promises.find(flow, request.fingerprint)
        if promise is not None and now < promise.due_at - MAX_EARLY_S:
            if self.queue.count or not self.concurrency_limit.has_room(request.threads):
                self._shed(request.ref, tenant, promise.due_at - now, AdmissionReason.EARLY)
                return
            # There is room now: the promise is claimed as if in time, which frees its place.
            self.promises.claim(promise, request.work, promise.due_at)
        elif promise is not None and self.promises.claim(promise, request.work, now):
            self.queue.correct(flow, request.work)  # charged to its own flow, though ahead of its turn
            self._enqueue(request, tenant, flow, weight, now, AdmissionReason.PROMISE_KEPT)
            return
        if not self.queue.count and self.concurrency_limit.has_room(request.threads):
            self._admit(
                request.ref,
                AdmittedRequest(flow, tenant, request.work, request.threads, now),
                AdmissionReason.ADMITTED_AT_ONCE,
                0.0,
            )
            return
        if (
            self.queue.count
            and self.concurrency_limit.has_room(request.threads, HEADROOM)
            and self.queue.has_credit(flow)
        ):
            # Its flow would be served next, so it need not wait for another request to end.
            self.queue.charge_admitted(flow, weight, request.work)
            self.bypassed.append((now, request.work))
            self.bypassed_work += request.work
            self._admit(
                request.ref,
                AdmittedRequest(flow, tenant, request.work, request.threads, now),
                AdmissionReason.ADMITTED_AT_ONCE,
                0.0,
            )
            return
        if self._expected_wait(flow, weight, request.work, now) > request.max_wait_s:
            self._shed_with_promise(request, tenant, flow, weight, now, AdmissionReason.TOO_LATE)
            return
        while (
            self.queue.count >= self.bounds.max_waiting
            or self.queue.size_bytes + request.size_bytes + WAITING_OVERHEAD_BYTES
            > self.bounds.max_waiting_bytes
        ):
            heaviest = self.queue.heaviest()
            if (
                heaviest is None
                or heaviest.key == flow
                or self._is_no_heavier(heaviest.work, heaviest.weight, flow, weight)
            ):
                self._shed_with_promise(request, tenant, flow, weight, now, AdmissionReason.FULL)
                return
            self._evict(self.queue.last_of(heaviest), now)
        self._enqueue(request, tenant, flow, weight, now, AdmissionReason.QUEUED)

    def _is_no_heavier(self, work: float, weight: float, flow: int, own_weight: float) -> bool:
        """Returns whether work over weight is at most that of the flow's waiting work."""
        own_flow = self.queue.flows.get(flow)
        return work / weight <= (own_flow.work if own_flow is not None else 0.0) / own_weight

    def _flow_for(self, tenant: str) -> int:
        """Returns the flow for a tenant's new request.

        A tenant with waiting requests keeps its flow, so that its requests keep their order.
        """
        flow = self.flow_by_tenant.get(tenant)
        if flow is not None:
            return flow
        return (
            self.classifier.least_loaded_queue(tenant, self._backlog_of)
            if self.queue.count
            else self.classifier.hand(tenant)[0]
        )

    def _backlog_of(self, key: int) -> float:
        flow = self.queue.flows.get(key)
        return flow.work if flow is not None else 0.0

    def _expected_wait(self, key: int, weight: float, work: float, now: float) -> float:
        """Estimates how long a request would wait, in seconds, from the shares and the rate."""
        flow = self.queue.flows.get(key)
        own_work = flow.work if flow is not None and flow.count else 0.0
        peer_rate = flow.current_peer_rate(now) if flow is not None and self.pace else 0.0
        if flow is not None and peer_rate > MIN_PEER_RATE_RATIO * self.rate():
            # The flow gets here what peers leave of its share.
            return (own_work + self.queue.debt(flow)) / max(
                weight * self.pace - peer_rate, MIN_PEER_RATE_RATIO * self.rate()
            )
        total_weight = self.queue.weight + (0.0 if own_work else weight)
        work_ahead = min((own_work + work) * total_weight / weight, self.queue.work + work)
        return max(work_ahead - work, 0.0) / self.rate()

    def rate(self) -> float:
        """Returns the work a second that gets done: that of the last second, but at least half of the cores.

        Before anything is measured it is taken to be 0.8 of the cores.
        """
        measured = self.completed_work / RATE_WINDOW_S
        return (
            max(measured, 0.5 * self.concurrency_limit.cores)
            if measured
            else 0.8 * self.concurrency_limit.cores
        )

    def _promisable_rate(self, now: float) -> float:
        """Returns the rate without the work of flows that need not wait: promises may not delay those."""
        while self.bypassed and self.bypassed[0][0] < now - RATE_WINDOW_S:
            self.bypassed_work -= self.bypassed.popleft()[1]
        return max(self.rate() - self.bypassed_work / RATE_WINDOW_S, 0.2 * self.rate())

    def _enqueue(
        self,
        request: IncomingRequest,
        tenant: str,
        flow: int,
        weight: float,
        now: float,
        reason: AdmissionReason,
    ) -> None:
        admit_by = now + max(request.time_left_s, 0.0)
        ticket = Ticket(
            request.ref,
            flow,
            request.order_key,
            request.work,
            request.size_bytes + WAITING_OVERHEAD_BYTES,
            admit_by,
            request.threads,
        )
        if reason is AdmissionReason.PROMISE_KEPT:
            self.queue.push_priority(ticket)
            self.promised_refs.add(request.ref)
        else:
            self.queue.push(ticket, weight, self.admitted_work.of_flow(flow))
        self.peak_waiting_bytes = max(self.peak_waiting_bytes, self.queue.size_bytes)
        self.waiting[request.ref] = ticket, tenant, now
        self.ticket_count += 1
        heapq.heappush(self.deadlines, (admit_by, self.ticket_count, ticket))
        self.flow_by_tenant[tenant] = flow
        self.waiting_counts[tenant] = self.waiting_counts.get(tenant, 0) + 1
        self._trace(request.ref, tenant, reason, 0.0)
        self.admit_waiting(now)

    def _shed_with_promise(
        self,
        request: IncomingRequest,
        tenant: str,
        flow: int,
        weight: float,
        now: float,
        reason: AdmissionReason,
    ) -> None:
        own_flow = self.queue.flows.get(flow)
        other_weight = self.queue.weight - (
            own_flow.weight if own_flow is not None and own_flow.count else 0.0
        )
        max_share = min(max(weight / (other_weight + weight), MIN_PROMISE_SHARE), MAX_PROMISE_SHARE)
        retry_after_s = self.promises.make(
            flow,
            request.fingerprint,
            request.work,
            now,
            self._promisable_rate(now),
            self.queue.work,
            max_share,
        )
        self._shed(request.ref, tenant, retry_after_s, reason)

    def _shed(self, ref: str, tenant: str, retry_after_s: float, reason: AdmissionReason) -> None:
        self._trace(ref, tenant, reason, retry_after_s)
        self.port.shed(ref, retry_after_s)

    def _evict(self, ticket: Ticket, now: float) -> None:
        """Sheds a waiting request to make room for one of a lighter flow."""
        tenant = self._remove(ticket)
        self.promises.refused_count += 1
        self._shed(ticket.ref, tenant, math.inf, AdmissionReason.FULL)

    def _remove(self, ticket: Ticket) -> str:
        """Removes a waiting request from the queues and returns its tenant."""
        self.queue.remove(ticket)
        return self._forget(ticket)

    def _forget(self, ticket: Ticket) -> str:
        """Forgets a request that waits no longer and returns its tenant."""
        self.promised_refs.discard(ticket.ref)
        _, tenant, _ = self.waiting.pop(ticket.ref)
        self.waiting_counts[tenant] -= 1
        if not self.waiting_counts[tenant]:
            del self.waiting_counts[tenant]
            self.flow_by_tenant.pop(tenant, None)
        return tenant

    # Admission.

    def admit_waiting(self, now: float) -> None:
        """Admits waiting requests in their order while the concurrency limit has room."""
        while (ticket := self.queue.first()) is not None and self.concurrency_limit.has_room(ticket.threads):
            if ticket.admit_by <= now:
                self._time_out(ticket, now)
                continue
            self.queue.pop()
            _, _, arrived_at = self.waiting[ticket.ref]
            was_promised, tenant = ticket.ref in self.promised_refs, self._forget(ticket)
            admitted = AdmittedRequest(ticket.flow, tenant, ticket.work, ticket.threads, now, was_promised)
            self._admit(ticket.ref, admitted, AdmissionReason.ADMITTED_IN_TURN, now - arrived_at)

    def _admit(self, ref: str, admitted: AdmittedRequest, reason: AdmissionReason, waited_s: float) -> None:
        self.admitted[ref] = admitted
        self.concurrency_limit.in_flight += admitted.threads
        self.admitted_work.add(admitted.flow, admitted.work)
        if self.bounds.shares_usage:
            self.peer_usage.add(name_hash(admitted.tenant), admitted.work)
        if self.bounds.traces:
            self.port.trace_decision(ref, admitted.tenant, reason, waited_s)
        self.port.admit(ref)

    # Ends of requests.

    def on_answer(self, ref: str, work: float | None, idle_engine_s: float, now: float) -> None:
        """An engine answered an admitted request.

        Args:
            ref: Reference of the request.
            work: Work that it took, None where the engine does not report it.
            idle_engine_s: Seconds that it takes on an idle engine.
            now: Seconds on a monotonic clock.
        """
        admitted = self.admitted.get(ref)
        if admitted is None:
            return
        if work is not None:
            self.queue.correct(admitted.flow, work - admitted.work)
            bias = work / max(admitted.work, 1e-3) * self.estimate_bias.get(admitted.flow, 1.0)
            bias = BIAS_SMOOTHING * min(max(bias, 1 / MAX_BIAS), MAX_BIAS) + (
                1 - BIAS_SMOOTHING
            ) * self.estimate_bias.get(admitted.flow, 1.0)
            self.estimate_bias[admitted.flow] = bias
        work_done = work if work is not None else admitted.work
        self.completed.append((now, work_done))
        self.completed_work += work_done
        self.concurrency_limit.record_answer((now - admitted.admitted_at) / (idle_engine_s + 0.02), now)
        self._release(ref, now)

    def on_end_without_answer(self, ref: str, shed: bool, now: float) -> None:
        """An admitted request ended without an answer; shed: because the scheduler shed it."""
        if ref in self.admitted:
            admitted = self.admitted[ref]
            if shed:
                self.concurrency_limit.record_shed(now)
            if shed and admitted.was_promised:
                self._break_promise(ref, admitted.tenant, "shed by the decisions", now)
            self._release(ref, now)

    def _release(self, ref: str, now: float) -> None:
        """Frees the place of an admitted request that ended, and admits others."""
        admitted = self.admitted.pop(ref)
        self.concurrency_limit.in_flight -= admitted.threads
        self.admitted_work.remove(admitted.flow, admitted.work)
        while self.completed and self.completed[0][0] < now - RATE_WINDOW_S:
            self.completed_work -= self.completed.popleft()[1]
        self.admit_waiting(now)

    def on_client_disconnect(self, ref: str) -> bool:
        """Drops a waiting request whose client disconnected or cancelled it; False if it does not wait."""
        if ref not in self.waiting:
            return False
        ticket, _, _ = self.waiting[ref]
        self._trace(ref, self._remove(ticket), AdmissionReason.CLIENT_LEFT, 0.0)
        return True

    def resize(self, cores: float, now: float) -> None:
        """Engines were added or removed; cores: this router's part of their cores."""
        if cores < self.concurrency_limit.cores:
            self.engines_lost_at = now
        self.concurrency_limit.resize(cores)
        self.admit_waiting(now)

    def tick(self, now: float) -> float | None:
        """Sheds requests that ran out of time and sends the summary to peers when it is due.

        Returns:
            When to call it next, in seconds on a monotonic clock; None if there is no need to.
        """
        self.promises.expire(now)
        while self.deadlines and (self.deadlines[0][0] <= now or not self._is_waiting(self.deadlines[0][2])):
            _, _, ticket = heapq.heappop(self.deadlines)
            if self._is_waiting(ticket):
                self._time_out(ticket, now)
        if len(self.deadlines) > 2 * self.queue.count + 64:
            self.deadlines = [entry for entry in self.deadlines if self._is_waiting(entry[2])]
            heapq.heapify(self.deadlines)
        self.admit_waiting(now)
        if self.bounds.shares_usage and now >= self.summary_sent_at + SUMMARY_INTERVAL_S:
            self.summary_sent_at = now
            self.pace = self._measure_pace(now)
            self.concurrency_limit.balance(self.peer_usage.pace_ratio(self.pace, now) if self.pace else 1.0)
            summary = self.peer_usage.encode_summary(self.pace)
            if summary is not None:
                self.port.send_to_peers(summary)
        return (
            now + SUMMARY_INTERVAL_S / 2
            if self.queue.count or (self.bounds.shares_usage and self.peer_usage.unreported_work)
            else None
        )

    def _measure_pace(self, now: float) -> float:
        """Returns the pace of the waiting flows, with the work that peers gave them; 0 where none waits."""
        if not self.queue.count:
            self.pace_samples.clear()
            return 0.0
        self.pace_samples.append((now, self.queue.order.virtual_time))
        since, virtual_time = self.pace_samples[0]
        return (self.queue.order.virtual_time - virtual_time) / (now - since) if now > since else 0.0

    def _time_out(self, ticket: Ticket, now: float) -> None:
        """Sheds a waiting request that would be too late if it were admitted now."""
        was_promised, tenant = ticket.ref in self.promised_refs, self._remove(ticket)
        if was_promised:
            self._break_promise(ticket.ref, tenant, "no room in its time", now)
        self._shed(ticket.ref, tenant, math.inf, AdmissionReason.TIMED_OUT)

    def _break_promise(self, ref: str, tenant: str, cause: str, now: float) -> None:
        """Records a broken promise; those made before engines were lost may not hold, whatever the cause."""
        self.promises.record_broken()
        is_recent_loss = now < self.engines_lost_at + ENGINE_LOSS_WINDOW_S
        self.port.on_promise_broken(ref, tenant, "engines were lost" if is_recent_loss else cause)

    def _is_waiting(self, ticket: Ticket) -> bool:
        return ticket.ref in self.waiting and self.waiting[ticket.ref][0] is ticket

    def on_peer_summary(self, peer: int, data: bytes, now: float) -> None:
        """Takes a peer's summary: the work that it admitted is charged to the flows that wait here."""
        if not self.bounds.shares_usage:
            return
        work_by_tenant = self.peer_usage.decode_summary(peer, data, self.rate(), now)
        if work_by_tenant:
            for tenant, flow in self.flow_by_tenant.items():
                work = work_by_tenant.get(name_hash(tenant))
                if work:
                    self.queue.charge_peer_work(flow, work, now)

    def stop(self, now: float) -> None:
        """The router stops: sheds all that waits."""
        for ticket in list(self.queue.tickets()):
            self._shed(ticket.ref, self._remove(ticket), math.inf, AdmissionReason.STOPPING)

    def _trace(self, ref: str, tenant: str, reason: AdmissionReason, duration_s: float) -> None:
        if self.bounds.traces:
            self.port.trace_decision(ref, tenant, reason, duration_s)
