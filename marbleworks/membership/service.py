"""The group membership actor: transports the datagrams of a `MembershipNode` and reports changes."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from marbleworks.membership.codec import MAGIC, DatagramDecodeError, decode, encode, group_hash
from marbleworks.membership.member_view import MemberChange
from marbleworks.membership.messages import MemberState, OutgoingMessage
from marbleworks.membership.node import LeaderRef, MembershipNode
from marbleworks.membership.options import MembershipOptions
from marbleworks.membership.report import render_view
from marbleworks.membership.status import PartitionStatus, QuorumStatus, QuotaRole
from marbleworks.net.actor import LOG, Actor, clock
from marbleworks.net.datagrams import DatagramKind, DatagramTransport

INVALID_DATAGRAM_LOG_INTERVAL_S = 10.0  # minimum time between such log lines about one peer
MIN_TICK_INTERVAL_S = 0.01
STATE_EVENTS = {
    MemberState.ALIVE: "member alive",
    MemberState.SUSPECT: "member suspected",
    MemberState.DEAD: "member dead",
    MemberState.LEFT: "member left",
}


@dataclass(frozen=True)
class QuotaShare:
    """The share of each quota that this router may use.

    Attributes:
        share: share of the quota, from 0 to 1.
        divisor: number of routers in the division.
        index: index of this router among them; -1 if it may only use its reserved share.
        valid_until: time from which only the reserved share may be used, in seconds of the actors' clock.
        reserved_share: share of the quota that this router may always use, from 0 to 1.
    """

    share: float
    divisor: int
    index: int
    valid_until: float
    reserved_share: float


class MembershipService(Actor):
    """Membership of this router in its group.

    Listeners are called in this actor's greenlet: `leader_listeners` with the leader to follow,
    `view_listeners` with the generations of the live routers, keyed by router index.

    Args:
        options: settings of the operator.
        peers: transport to the other routers.
        seed: seed of the random choice of probe targets.
        on_share: called with this router's share of each quota when that changes.
    """

    def __init__(
        self,
        options: MembershipOptions,
        peers: DatagramTransport,
        seed: int,
        on_share: Callable[[QuotaShare], None],
    ) -> None:
        self.router_index = peers.own_index
        self.router_count = len(peers.peer_addresses)
        self.group = group_hash(f"{options.group} {self.router_count}")
        self.node = MembershipNode(self.router_index, self.router_count, seed, time.monotonic(), options)
        self.failure_detector = self.node.failure_detector
        self.leader_listeners: list[Callable[[LeaderRef], None]] = []
        self.view_listeners: list[Callable[[dict[int, int]], None]] = []
        self.quorum: QuorumStatus | None = None
        self.role: QuotaRole | None = None
        self.invalid_datagrams: dict[int, dict[str, int]] = {}  # keyed by peer and cause
        self._reserved_share = options.reserved_share / self.router_count
        self._on_share = on_share
        # `valid_until` is by the node's clock. The router starts with an even share that does not expire.
        self._share = self._quota_share(
            1.0 / self.router_count, self.router_count, self.router_index, math.inf
        )
        self._leader: LeaderRef | None = None
        self._invalid_logged_at: dict[int, float] = {}
        super().__init__()
        kind = DatagramKind("peers", MAGIC, options.max_bytes_per_s)
        self._send_datagram = peers.register(kind, self._on_datagram)
        self.post(self.on_timer)

    def _on_datagram(self, peer: int, data: bytes) -> None:
        self.post(self.receive, peer, data)

    def receive(self, peer: int, data: bytes) -> None:
        """Handles a datagram; an invalid one is counted for its sender."""
        try:
            message = decode(self.group, self.router_count, data)
        except DatagramDecodeError as err:
            self._on_invalid_datagram(peer, str(err))
            return
        now = time.monotonic()
        self._send(self.node.receive(peer, message, now))
        self._report(now)

    def _on_invalid_datagram(self, peer: int, cause: str) -> None:
        causes = self.invalid_datagrams.setdefault(peer, {})
        causes[cause] = causes.get(cause, 0) + 1
        if clock() > self._invalid_logged_at.get(peer, 0.0) + INVALID_DATAGRAM_LOG_INTERVAL_S:
            self._invalid_logged_at[peer] = clock()
            LOG.warning("member datagram invalid", router=peer, cause=cause, count=causes[cause])

    def on_timer(self) -> None:
        """Processes what is due in the node."""
        now = time.monotonic()
        self._send(self.node.tick(now))
        self._report(now)

    def leave(self) -> None:
        """Starts a planned stop: notifies the other routers at once."""
        now = time.monotonic()
        self._send(self.node.leave(now))
        self._report(now)

    def health_view(self) -> dict[str, Any]:
        """Returns the view that `health` returns and `peers show` prints: strings and lists of strings."""
        invalid = sum(sum(causes.values()) for causes in self.invalid_datagrams.values())
        return render_view(self.node, self.role, invalid, time.monotonic())

    def _send(self, outgoing: Iterable[OutgoingMessage]) -> None:
        for to, message in outgoing:
            self._send_datagram(encode(self.group, message), to)

    def _report(self, now: float) -> None:
        """Logs changes, notifies listeners of them and sets the timer."""
        changes = self.node.take_changes()
        for change in changes:
            self._log_change(change)
        if changes:
            self._notify_view_listeners()
        status = self.node.partition_status(now)
        self._report_status(status)
        self._report_share(status, now)
        self._report_leader(now)
        due = min(self.node.next_due(), status.valid_until)
        self.next_timer_at = clock() + max(due - now, MIN_TICK_INTERVAL_S)

    def _log_change(self, change: MemberChange) -> None:
        if change.router == self.router_index and change.state is MemberState.DEAD:
            LOG.error(
                "member superseded", router=change.router, generation=change.generation, cause=change.cause
            )
            return
        view = self.failure_detector.view
        LOG.info(
            STATE_EVENTS[change.state],
            router=change.router,
            generation=change.generation,
            cause=change.cause,
            view_version=view.version,
            view_digest=f"{view.digest:08x}",
        )

    def _notify_view_listeners(self) -> None:
        view = self.failure_detector.view
        generations = {router: view.members[router].update.generation for router in view.alive_routers()}
        for listener in self.view_listeners:
            listener(generations)

    def _report_status(self, status: PartitionStatus) -> None:
        if status.quorum is self.quorum and status.role is self.role:
            return
        self.quorum = status.quorum
        self.role = status.role
        LOG.info(
            "quorum status changed",
            quorum=status.quorum.value,
            role=status.role.value,
            confirmed_share=round(status.confirmed_share, 2),
            quota_share=round(status.quota_share, 4),
            divisor=status.divisor,
        )

    def _report_share(self, status: PartitionStatus, now: float) -> None:
        share = self._quota_share(status.quota_share, status.divisor, status.index, status.valid_until)
        if share != self._share:
            self._share = share
            self._on_share(replace(share, valid_until=clock() + (status.valid_until - now)))

    def _quota_share(self, share: float, divisor: int, index: int, valid_until: float) -> QuotaShare:
        return QuotaShare(share, divisor, index, valid_until, self._reserved_share)

    def _report_leader(self, now: float) -> None:
        leader = self.node.leader_ref(now)
        if leader == self._leader:
            return
        self._leader = leader
        leader_by_actor_clock = replace(leader, leader_until=clock() + (leader.leader_until - now))
        for listener in self.leader_listeners:
            listener(leader_by_actor_clock)
