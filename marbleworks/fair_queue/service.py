"""Connects admission control with the dispatcher, in the dispatcher's own greenlet.

It owns what is needed to admit a request later, and the timer for the waiting requests. It must never decide
(`admission.py` does), answer a client, or hold back a request that admission control admits.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import gevent
import xxhash
from gevent.event import Event

from marbleworks.fair_queue.admission import (
    AdmissionBounds,
    AdmissionController,
    AdmissionReason,
    IncomingRequest,
)
from marbleworks.fair_queue.flow_classifier import FlowClassifier
from marbleworks.fair_queue.peer_usage import MAGIC, MAX_DATAGRAM_BYTES, SUMMARY_INTERVAL_S
from marbleworks.net.actor import LOG, clock, spawn
from marbleworks.net.datagrams import DatagramKind, DatagramTransport
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.messages import OpenRequest
from marbleworks.scheduling.request_state import NEAR_TARGET_RATIO
from marbleworks.settings import Settings

TICK_INTERVAL_S = 0.05  # time between checks of the waiting requests
EXPECTED_SLOWDOWN = 1.5  # time from admission to the answer over the time on an idle engine
# What `Dispatcher.admit` takes after the ref: request, table group, idempotency key, estimate and tenant.
HeldRequest = tuple[OpenRequest, int, str, tuple[float, float], int]


class FairQueueService:
    """Admission control of one router: the dispatcher's `RequestAdmission`.

    Args:
        section: Settings of the section `door` of the operator's file.
        dispatcher: Takes the decisions.
        settings: The deployment's settings.
        peers: Transport to the other routers of the group; None if there are none.

    Attributes:
        held_requests: Requests that are not decided on yet, by ref.
        idle_engine_s: Seconds that each request takes on an idle engine, by ref, until it ends.
    """

    def __init__(
        self,
        section: dict[str, Any],
        dispatcher: Dispatcher,
        settings: Settings,
        peers: DatagramTransport | None = None,
    ) -> None:
        self.section, self.dispatcher, self.scheduler, self.settings = (
            section,
            dispatcher,
            dispatcher.scheduler,
            settings,
        )
        self.tenant_names = list(settings.tenant_index)
        self.peer_sender: Callable[[bytes], None] = lambda data: None
        self.held_requests: dict[str, HeldRequest] = {}
        self.idle_engine_s: dict[str, float] = {}
        rules = settings.rules
        self.controller = AdmissionController(
            self, self._make_classifier(), self._make_bounds(), self._cores(), rules.max_retry_after_s
        )
        if peers is not None:
            self.peer_sender = peers.register(
                DatagramKind("door", MAGIC, 2.0 * MAX_DATAGRAM_BYTES / SUMMARY_INTERVAL_S),
                lambda peer, data: dispatcher.post(self.heard, peer, data),
            )
        self.tick_needed = Event()
        self.greenlet = spawn(self._run)

    def _make_classifier(self) -> FlowClassifier:
        section = self.section
        return FlowClassifier(
            section["queues"], self.scheduler.seed & 0xFFFFFFFF, section["weight"], section["network"]
        )

    def _make_bounds(self) -> AdmissionBounds:
        section, shares_usage = (
            self.section,
            self.section["peers"] and self.settings.rules.allows_peer_messages,
        )
        return AdmissionBounds(
            section["waiting"], section["memory"], section["bookings"], shares_usage, section["trace"]
        )

    def _cores(self) -> float:
        """Returns this router's part of the engines' cores."""
        return self.scheduler.cores / self.scheduler.capacity_divisor

    def reload(self, section: dict[str, Any]) -> None:
        """Applies reloaded settings; those that the section does not name stay."""
        self.section = {**self.section, **section}
        self.controller.classifier, self.controller.bounds = self._make_classifier(), self._make_bounds()
        self.controller.promises.max_open = self.section["bookings"]

    # Called by the dispatcher.

    def enqueue(
        self,
        ref: str,
        request: OpenRequest,
        table_group: int,
        ordering_key: str,
        estimate: tuple[float, float],
        tenant: int,
    ) -> None:
        """Takes a new request, which is admitted, queued or shed.

        Args:
            ref: Reference of the request.
            request: The request.
            table_group: Index of its table group.
            ordering_key: Its ordering key, empty if it has none.
            estimate: Work (seconds) and memory (MB) that the client declares.
            tenant: Index of its tenant, negative if it has none.
        """
        request_class_index = self.settings.class_index[request.class_name]
        profile, now = self.settings.request_classes[request_class_index], clock()
        work = estimate[0] * self.scheduler.estimate_correction[request_class_index][
            0
        ] or self.scheduler.mean_work(request_class_index)
        idle_engine_s, waited_s, time_left_s = (
            work / profile.threads,
            now - request.received_at,
            request.deadline - now,
        )
        self.held_requests[ref] = request, table_group, ordering_key, estimate, tenant
        self.idle_engine_s[ref] = idle_engine_s
        tenant_name = self.tenant_names[tenant] if tenant >= 0 else ""
        address = request.client.host
        self._apply_budget_limit()
        answer_target_s = min(
            profile.latency_target_s + profile.latency_target_growth * idle_engine_s,
            request.deadline - request.received_at,
        )
        # The scheduler sheds requests that reach it later than this.
        max_useful_wait_s = NEAR_TARGET_RATIO * answer_target_s - waited_s
        self.controller.submit(
            IncomingRequest(
                ref=ref,
                tenant_name=tenant_name,
                address=address,
                order_key=ordering_key or request.client,  # requests with one ordering key keep their order
                work=work,
                threads=profile.threads,
                size_bytes=len(request.statement),
                max_wait_s=min(
                    answer_target_s - waited_s - EXPECTED_SLOWDOWN * idle_engine_s, max_useful_wait_s
                ),
                time_left_s=min(time_left_s - TICK_INTERVAL_S - idle_engine_s, max_useful_wait_s),
                fingerprint=xxhash.xxh3_64_intdigest(
                    request.statement, xxhash.xxh32_intdigest(address.encode())
                ),
            ),
            now,
        )
        if self.controller.queue.count or self.controller.peer_usage.unreported_work:
            self.tick_needed.set()

    def on_client_disconnect(self, ref: str) -> bool:
        """Drops a waiting request; False if it does not wait."""
        if not self.controller.on_client_disconnect(ref):
            return False
        self._forget(ref)
        return True

    def on_answer(self, ref: str, usage: tuple[float, float] | None) -> None:
        """An engine answered an admitted request; usage: its work (s) and memory (MB), where reported."""
        if ref in self.idle_engine_s:
            self.controller.on_answer(
                ref, usage[0] if usage is not None else None, self.idle_engine_s.pop(ref), clock()
            )

    def on_final_answer(self, ref: str, shed: bool) -> None:
        """An admitted request is settled; shed: without having been answered for want of capacity."""
        if ref in self.idle_engine_s and ref not in self.held_requests:
            del self.idle_engine_s[ref]
            self.controller.on_end_without_answer(ref, shed, clock())

    def engines_changed(self) -> None:
        """The list of engines changed."""
        self.controller.resize(self._cores(), clock())

    def heard(self, peer: int, data: bytes) -> None:
        """Takes a peer's summary."""
        self.controller.on_peer_summary(peer, data, clock())

    def stop(self) -> None:
        """Sheds all that waits: the router stops."""
        self.controller.stop(clock())

    # Called by admission control.

    def admit(self, ref: str) -> None:
        """Hands an admitted request on to the scheduler."""
        self.dispatcher.admit(ref, *self.held_requests.pop(ref))

    def shed(self, ref: str, retry_after_s: float) -> None:
        """Hands a shed request on to the scheduler, which rejects it."""
        held_request = self.held_requests.pop(ref)
        self.idle_engine_s.pop(ref, None)
        self.dispatcher.admit(ref, *held_request, retry_after_s=retry_after_s)

    def send_to_peers(self, data: bytes) -> None:
        """Sends a summary to all peers."""
        self.peer_sender(data)

    def trace_decision(
        self, ref: str, tenant_or_network: str, reason: AdmissionReason, duration_s: float
    ) -> None:
        """Logs a decision."""
        rounded_s = None if math.isinf(duration_s) else round(duration_s, 3)
        LOG.info("door", ref=ref, member=tenant_or_network, why=reason.value, seconds=rounded_s)

    def on_promise_broken(self, ref: str, tenant_or_network: str, cause: str) -> None:
        """Logs a broken retry promise."""
        LOG.warning("promise broken", member=tenant_or_network, cause=cause)

    def _forget(self, ref: str) -> None:
        self.held_requests.pop(ref, None)
        self.idle_engine_s.pop(ref, None)

    def _run(self) -> None:
        """Posts ticks to the dispatcher while requests wait."""
        while True:
            self.tick_needed.wait()
            gevent.sleep(TICK_INTERVAL_S)
            self.tick_needed.clear()
            self.dispatcher.post(self._tick)

    def _apply_budget_limit(self) -> None:
        """Makes the shared budgets' limit bind at admission, where the order of requests is fair."""
        if self.scheduler.shared_budgets is not None:
            self.controller.concurrency_limit.budget_limit = self.scheduler.shared_budgets.max_in_flight()

    def _tick(self) -> None:
        self._apply_budget_limit()
        if self.controller.tick(clock()) is not None:
            self.tick_needed.set()
