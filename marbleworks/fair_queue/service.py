"""The door at work: what stands between the desk and the decisions, in the desk's own greenlet.

It owns what a command needs to be admitted later, and the timer of what waits. It must never decide
(`door.py` does), answer a client, or hold a command that the door lets in.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import gevent
import xxhash
from gevent.event import Event

from marbleworks.fair_queue.admission import AdmissionController, AdmissionReason, Arrival, Bounds
from marbleworks.fair_queue.flow_classifier import FlowClassifier
from marbleworks.fair_queue.peer_usage import EVERY, MAGIC, MOST
from marbleworks.net.actor import LOG, clock, spawn
from marbleworks.net.datagrams import DatagramKind, DatagramTransport
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.messages import OpenRequest
from marbleworks.scheduling.request_state import CLOSE_CALL_RATIO
from marbleworks.settings import Settings

TICK = 0.05  # seconds between looks at what waits
AT_EASE = 1.5  # times its time alone that a command is thought to take past the door
Held = tuple[OpenRequest, int, str, tuple[float, float], int]


class FairQueueService:
    def __init__(
        self,
        terms: dict[str, Any],
        desk: Dispatcher,
        deployment: Settings,
        peers: DatagramTransport | None = None,
    ) -> None:
        self.terms, self.desk, self.gateway, self.deployment = terms, desk, desk.scheduler, deployment
        self.names = list(deployment.tenant_index)
        self.tell: Callable[[bytes], None] = lambda data: None
        self.held: dict[str, Held] = {}
        self.alone: dict[str, float] = {}  # of what is past the door
        rules = deployment.rules
        self.door = AdmissionController(
            self, self._members(), self._bounds(), self._cores(), rules.max_retry_after_s
        )
        if peers is not None:
            self.tell = peers.register(
                DatagramKind("door", MAGIC, 2.0 * MOST / EVERY),
                lambda peer, data: desk.post(self.heard, peer, data),
            )
        self.woken = Event()
        self.greenlet = spawn(self._run)

    def _members(self) -> FlowClassifier:
        terms = self.terms
        return FlowClassifier(
            terms["queues"], self.gateway.seed & 0xFFFFFFFF, terms["weight"], terms["network"]
        )

    def _bounds(self) -> Bounds:
        terms, share = self.terms, self.terms["peers"] and self.deployment.rules.allows_peer_messages
        return Bounds(terms["waiting"], terms["memory"], terms["bookings"], share, terms["trace"])

    def _cores(self) -> float:
        return self.gateway.cores / self.gateway.routers

    def change(self, terms: dict[str, Any]) -> None:
        self.terms = {**self.terms, **terms}
        self.door.members, self.door.bounds = self._members(), self._bounds()
        self.door.bookings.most = self.terms["bookings"]

    # What the desk tells.

    def enqueue(
        self, ref: str, new: OpenRequest, group: int, key: str, estimate: tuple[float, float], tenant: int
    ) -> None:
        index = self.deployment.class_index[new.class_name]
        profile, now = self.deployment.request_classes[index], clock()
        work = estimate[0] * self.gateway.estimate_bias[index][0] or self.gateway.mean_work(index)
        alone, waited, left = work / profile.threads, now - new.received_at, new.deadline - now
        self.held[ref] = new, group, key, estimate, tenant
        self.alone[ref] = alone
        name = self.names[tenant] if tenant >= 0 else ""
        address = new.client.stream.peer.rpartition(":")[0]
        self._bound()
        target = min(
            profile.latency_target_s + profile.latency_target_growth * alone, new.deadline - new.received_at
        )
        latest = CLOSE_CALL_RATIO * target - waited  # whoever comes to the decisions later is given up there
        self.door.arrive(
            Arrival(
                ref=ref,
                name=name,
                address=address,
                line=key or new.client,  # commands of one key keep their order
                work=work,
                threads=profile.threads,
                size=len(new.statement),
                patience=min(target - waited - AT_EASE * alone, latest),
                left=min(left - TICK - alone, latest),
                mark=xxhash.xxh3_64_intdigest(new.statement, xxhash.xxh32_intdigest(address.encode())),
            ),
            now,
        )
        if self.door.fair.count or self.door.shares.let_in:
            self.woken.set()

    def on_client_disconnect(self, ref: str) -> bool:
        if not self.door.left(ref):
            return False
        self._forget(ref)
        return True

    def on_answer(self, ref: str, need: tuple[float, float] | None) -> None:
        if ref in self.alone:
            self.door.answered(ref, need[0] if need is not None else None, self.alone.pop(ref), clock())

    def on_final_answer(self, ref: str, shed: bool) -> None:
        if ref in self.alone and ref not in self.held:
            del self.alone[ref]
            self.door.over(ref, shed, clock())

    def engines_changed(self) -> None:
        self.door.resize(self._cores(), clock())

    def heard(self, peer: int, data: bytes) -> None:
        self.door.heard(peer, data, clock())

    def stop(self) -> None:
        self.door.stop(clock())

    # What the door asks.

    def let_in(self, ref: str) -> None:
        self.desk.admit(ref, *self.held.pop(ref))

    def turn_away(self, ref: str, after: float) -> None:
        held = self.held.pop(ref)
        self.alone.pop(ref, None)
        self.desk.admit(ref, *held, wait=after)

    def tell_peers(self, data: bytes) -> None:
        self.tell(data)

    def trace(self, ref: str, member: str, why: AdmissionReason, seconds: float) -> None:
        after = None if math.isinf(seconds) else round(seconds, 3)
        LOG.info("door", ref=ref, member=member, why=why.value, seconds=after)

    def broke(self, ref: str, member: str, cause: str) -> None:
        LOG.warning("promise broken", member=member, cause=cause)

    def _forget(self, ref: str) -> None:
        self.held.pop(ref, None)
        self.alone.pop(ref, None)

    def _run(self) -> None:
        """Has the desk look at the door while something waits there."""
        while True:
            self.woken.wait()
            gevent.sleep(TICK)
            self.woken.clear()
            self.desk.post(self._tick)

    def _bound(self) -> None:
        """What budgets let out there binds at the door, where turns are fair."""
        if self.gateway.shared_budgets is not None:
            self.door.window.bound = self.gateway.shared_budgets.max_in_flight()

    def _tick(self) -> None:
        self._bound()
        if self.door.tick(clock()) is not None:
            self.woken.set()
