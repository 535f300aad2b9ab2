"""One router of a group: its failure detector and leader election. It does no I/O and reads no clock.

Messages to send are returned to the caller. Both the service on sockets and the group in simulated time use
this module.
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
    """The group's leader, as passed to subsystems.

    Attributes:
        leader: index of the router that has the vote of this one; -1 if there is none.
        leader_generation: generation of the leader; 0 if there is none.
        generation: generation of this router; 0 until it has joined.
        term: number of times this router became leader.
        leader_until: time until which this router leads, by its clock; in the past if it does not lead.
        is_superseded: whether a later process has the index of this router.
    """

    leader: int
    leader_generation: int
    generation: int
    term: int
    leader_until: float
    is_superseded: bool


class MembershipNode:
    """Participation of one router in its group.

    Args:
        router_index: index of this router among the configured ones.
        router_count: number of configured routers.
        seed: seed of the random choice of probe targets.
        now: current time, in seconds of the clock that all calls use.
        options: settings of the operator.
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
        """Whether the router participates: it has joined, and no later process has its index."""
        return self.failure_detector.has_joined and not self.failure_detector.is_superseded

    def receive(self, sender: int, message: Message, now: float) -> list[OutgoingMessage]:
        """Handles a message and returns the answers to send."""
        detector = self.failure_detector
        if message.message_type not in (MessageType.VOTE_REQUEST, MessageType.VOTE_RESPONSE):
            return detector.receive(sender, message, now)
        known = detector.view.members.get(sender)
        if known is not None and message.generation != known.update.generation:
            return []
        return self.election.receive(sender, message, detector.generation, now)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Processes what is due and returns the messages to send."""
        detector = self.failure_detector
        outgoing = detector.tick(now) if now >= detector.next_due() else []
        if self.is_member and now >= self.election.next_due():
            view = detector.view
            outgoing = outgoing + self.election.tick(
                view.alive_routers(), detector.generation, now, view.suspected_routers()
            )
        return outgoing

    def next_due(self) -> float:
        """Time at which `tick` has to be called next."""
        election_due = self.election.next_due() if self.failure_detector.has_joined else math.inf
        return min(self.failure_detector.next_due(), election_due)

    def take_changes(self) -> list[MemberChange]:
        """Returns the changes of members since the last call, after applying them to the election."""
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
        """Returns what this router may do now."""
        view = self.failure_detector.view
        alive = len(view.alive_routers()) if self.is_member else 1
        confirmed = view.answered_since(now - self.vote_duration_s)
        return self.election.partition_status(alive, confirmed, now)

    def leader_ref(self, now: float) -> LeaderRef:
        """Returns the leader that subsystems have to follow now."""
        election = self.election
        detector = self.failure_detector
        voted_for = election.voted_for if now < election.voted_until else None
        return LeaderRef(
            leader=voted_for.router if voted_for is not None else -1,
            leader_generation=voted_for.generation if voted_for is not None else 0,
            generation=detector.generation if detector.has_joined else 0,
            term=election.term,
            leader_until=election.leader_until() if election.is_leader else -math.inf,
            is_superseded=detector.is_superseded,
        )

    def leave(self, now: float) -> list[OutgoingMessage]:
        """Starts a planned stop: gives up the leased quota and returns the notifications to the others."""
        self.election.leave()
        return self.failure_detector.leave(now)
