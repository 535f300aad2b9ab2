"""One router of a group: failure detector and leader election together. No I/O, no clock.

Messages to send are returned. The service on sockets and the group in simulated time both run this.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from marbleworks.membership.failure_detector import FailureDetector
from marbleworks.membership.leader_election import LeaderElection
from marbleworks.membership.member_view import MemberChange
from marbleworks.membership.messages import MemberState, Message, MessageType, OutgoingMessage
from marbleworks.membership.options import MembershipOptions
from marbleworks.membership.status import PartitionStatus


@dataclass(frozen=True)
class LeaderRef:
    """The group's leader, as subsystems see it.

    Attributes:
        leader: index of the router that has our vote; -1 where none has.
        leader_generation: the leader's generation; 0 where there is none.
        generation: our own; 0 until we have joined.
        term: how often we became leader.
        leader_until: until when we lead, by our clock; the past where we don't.
        superseded: whether a later process has our index.
    """

    leader: int
    leader_generation: int
    generation: int
    term: int
    leader_until: float
    superseded: bool


class MembershipNode:
    """One router's part in the group.

    Args:
        router_index: index of this router among the configured ones.
        router_count: number of configured routers.
        seed: of the random choices of probe targets.
        now: the present, in seconds of the clock that all calls use.
        options: the operator's settings.
    """

    def __init__(
        self, router_index: int, router_count: int, seed: int, now: float, options: MembershipOptions
    ) -> None:
        self.router_index = router_index
        self.vote_duration_s = options.vote_duration_s
        self.failure_detector = FailureDetector(
            router_index, router_count, seed, now, options.probe_interval_s, options.suspicion_timeout_s
        )
        self.election = LeaderElection(
            router_index, router_count, now, options.vote_duration_s, options.lease_s, options.reserved_share
        )

    @property
    def is_member(self) -> bool:
        """Whether it takes part in the group: it has joined, and no later process has its index."""
        return self.failure_detector.joined and not self.failure_detector.superseded

    def receive(self, sender: int, message: Message, now: float) -> list[OutgoingMessage]:
        """Handles a message; returns the answers."""
        detector = self.failure_detector
        if message.message_type not in (MessageType.VOTE_REQUEST, MessageType.VOTE_RESPONSE):
            return detector.receive(sender, message, now)
        known = detector.view.members.get(sender)
        if known is not None and message.generation != known.update.generation:
            return []
        return self.election.receive(sender, message, detector.generation, now)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Does what is due."""
        detector = self.failure_detector
        outgoing = detector.tick(now) if now >= detector.next_due() else []
        if self.is_member and now >= self.election.next_due():
            view = detector.view
            outgoing = outgoing + self.election.tick(
                view.alive_routers(), detector.generation, now, view.suspected_routers()
            )
        return outgoing

    def next_due(self) -> float:
        """When `tick` is to be called next."""
        election_due = self.election.next_due() if self.failure_detector.joined else math.inf
        return min(self.failure_detector.next_due(), election_due)

    def take_changes(self) -> list[MemberChange]:
        """Changes of members since the last call, which the election takes into account."""
        view = self.failure_detector.view
        changes = view.changes
        view.changes = []
        for change in changes:
            if change.state is MemberState.LEFT:
                self.election.on_member_left(change.router)
            if change.state is not MemberState.ALIVE:
                self.election.expedite()
        return changes

    def partition_status(self, now: float) -> PartitionStatus:
        """What this router may do now."""
        view = self.failure_detector.view
        alive = len(view.alive_routers()) if self.is_member else 1
        confirmed = view.answered_since(now - self.vote_duration_s)
        return self.election.partition_status(alive, confirmed, now)

    def leader_ref(self, now: float) -> LeaderRef:
        """Whom subsystems are to follow now."""
        election = self.election
        detector = self.failure_detector
        voted_for = election.voted_for if now < election.voted_until else None
        return LeaderRef(
            leader=voted_for.router if voted_for is not None else -1,
            leader_generation=voted_for.generation if voted_for is not None else 0,
            generation=detector.generation if detector.joined else 0,
            term=election.term,
            leader_until=election.leader_until() if election.is_leader else -math.inf,
            superseded=detector.superseded,
        )

    def leave(self, now: float) -> list[OutgoingMessage]:
        """A planned stop: gives up its part of the quota, then tells the others."""
        self.election.leave()
        return self.failure_detector.leave(now)
