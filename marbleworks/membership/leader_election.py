"""Leader election by time-limited votes, and the leader's division of the quota among the routers.

At no time do two routers lead, nor do all routers together use more than the whole quota.
docs/design/membership.md has the proof, which covers the votes and the division together. Times are float
seconds of one monotonic clock, whose rate differs from those of other routers by at most `MAX_CLOCK_DRIFT`.
This module does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from marbleworks.membership.messages import Message, MessageType, OutgoingMessage, QuotaDivision
from marbleworks.membership.quota_holder import ProcessRef, QuotaHolder, generation_scoped_number
from marbleworks.membership.status import PartitionStatus, QuorumStatus

MAX_CLOCK_DRIFT = 0.02  # bound on the relative rate difference of the clocks of two routers
ROUNDS_PER_VOTE = 4  # vote requests sent within the duration of a vote
MIN_ROUND_INTERVAL_S = 0.1  # between rounds of vote requests; used while a division is pending


@dataclass(slots=True)
class MemberLease:
    """Lease of one router on its share of the quota, as known to the leader.

    Attributes:
        token: latest token that the router issued.
        token_received_at: time at which that token arrived, in seconds.
        held_serial: the router no longer holds a division with a lower serial.
        expires_at: time from which the router cannot use any division of this leader unless it is renewed.
    """

    token: int = 0
    token_received_at: float = -math.inf
    held_serial: int = 0
    expires_at: float = -math.inf


class LeaderElection:
    """Vote and candidacy of one router and, while it leads, its division of the quota.

    Args:
        router_index: index of this router among the configured ones.
        router_count: number of configured routers; a majority of them elects the leader.
        now: current time, in seconds.
        vote_duration_s: time for which a vote binds its voter, in seconds.
        lease_s: time for which a leased share of the quota may be used, in seconds.
        reserved_share: part of the quota, from 0 to 1, that is permanently divided among all configured
            routers.
    """

    def __init__(
        self,
        router_index: int,
        router_count: int,
        now: float,
        vote_duration_s: float,
        lease_s: float,
        reserved_share: float,
    ) -> None:
        self.router_index = router_index
        self.router_count = router_count
        self.vote_duration_s = vote_duration_s
        self.lease_s = lease_s
        self.reserved_share = reserved_share
        self.next_round_at = now
        self._last_round_at = -math.inf
        # Votes are not stored on disk. An earlier process of this router may have voted, so this one does not
        # vote until such a vote has expired.
        self.voted_for: ProcessRef | None = None
        self.voted_until = now + vote_duration_s * (1 + MAX_CLOCK_DRIFT)
        self.votes: dict[int, float] = {}  # keyed by voter: time at which the granted request was sent
        self._vote_free_at: dict[
            int, float
        ] = {}  # keyed by router that refused: time at which its vote is free
        self._request_number = 0
        self._request_sent_at: dict[int, float] = {}  # keyed by sequence
        self.term = 0  # number of times this router became leader
        self.is_leader = False
        self.is_division_active = False
        self.is_division_pending = False
        self.index_by_router: dict[int, int] = {}  # the division made by this leader
        self.member_leases: dict[int, MemberLease] = {}
        self._division_serial = 0  # 0 if no division has been made in this term
        self._last_serial = 0
        self.holder = QuotaHolder(lease_s)

    def leader_until(self) -> float:
        """Returns the time until which this router leads; a time in the past if it does not lead.

        It is counted from the oldest of the newest votes that form a majority. Each of these voters granted
        a request that was sent no earlier, and its vote binds it from a later moment, for the duration of a
        vote by its own clock.
        """
        votes = sorted(self.votes.values(), reverse=True)
        majority = self.router_count // 2 + 1
        if len(votes) < majority:
            return -math.inf
        return votes[majority - 1] + self.vote_duration_s * (1 - MAX_CLOCK_DRIFT)

    def partition_status(self, alive: int, confirmed: int, now: float) -> PartitionStatus:
        """Returns what this router may do now.

        Args:
            alive: number of live routers in the view, including this one.
            confirmed: number of those that have answered within the last vote duration, including this one.
            now: current time, in seconds.
        """
        share = self.reserved_share / self.router_count
        divisor = self.router_count
        index = -1
        valid_until = math.inf
        division = self.holder.division_in_force(now)
        if division is not None:
            share += (1.0 - self.reserved_share) / division.divisor
            divisor = division.divisor
            index = division.index
            valid_until = self.holder.held_until
        return PartitionStatus(
            QuorumStatus.from_alive_count(alive, self.router_count),
            confirmed / max(alive, 1),
            now < self.leader_until(),
            share,
            divisor,
            index,
            valid_until,
        )

    def next_due(self) -> float:
        """Time at which `tick` has to be called next."""
        return min(self.next_round_at, self.leader_until() if self.votes else math.inf)

    def expedite(self) -> None:
        """Moves the next round of vote requests to the earliest allowed time, after a change of the view."""
        self.next_round_at = min(self.next_round_at, self._last_round_at + MIN_ROUND_INTERVAL_S)

    def tick(
        self, alive: list[int], generation: int, now: float, suspected: Collection[int] = ()
    ) -> list[OutgoingMessage]:
        """Requests votes if this router is the candidate, and updates the division while it leads.

        The candidate is the live router with the lowest index that is not suspected, provided that a majority
        of the configured routers is alive.

        Args:
            alive: indexes of the live routers in the view.
            generation: generation of this router.
            now: current time, in seconds.
            suspected: indexes of the suspected routers in the view.

        Returns:
            The vote requests to send.
        """
        if now >= self.leader_until() and self.is_leader:
            self._step_down()
        if now < self.next_round_at:
            return []
        self.next_round_at = now + self.vote_duration_s / ROUNDS_PER_VOTE
        self._last_round_at = now
        candidate = min((router for router in alive if router not in suspected), default=self.router_index)
        if candidate != self.router_index or 2 * len(alive) <= self.router_count:
            return []
        sequence = self._next_request_sequence(generation, now)
        if self._grant_vote(self.router_index, generation, now):
            self._record_vote(self.router_index, now, now)
        if now < self.leader_until():
            self._update_division(alive, now)
            own = ProcessRef(self.router_index, generation)
            until = min(now + self.lease_s, self.leader_until())
            self.holder.hold(self._division_for(self.router_index), own, until, now)
        outgoing = [
            OutgoingMessage(router, self._vote_request(router, generation, sequence))
            for router in range(self.router_count)
            if router != self.router_index and (router in alive or router in self.member_leases)
        ]
        if self.is_division_pending:
            self.next_round_at = now + MIN_ROUND_INTERVAL_S
        return outgoing

    def _next_request_sequence(self, generation: int, now: float) -> int:
        self._request_number += 1
        sequence = generation_scoped_number(self._request_number, generation)
        self._request_sent_at[sequence] = now
        self._request_sent_at = {
            request: at for request, at in self._request_sent_at.items() if at > now - self.vote_duration_s
        }
        return sequence

    def _vote_request(self, router: int, generation: int, sequence: int) -> Message:
        lease = self.member_leases.get(router)
        return Message(
            MessageType.VOTE_REQUEST,
            generation,
            sequence=sequence,
            token=lease.token if lease else 0,
            division=self._division_for(router),
        )

    def _step_down(self) -> None:
        """Ends this router's term: drops the votes, the division and the leases of the others."""
        self.votes.clear()
        self.member_leases.clear()
        self._division_serial = 0
        self.is_division_active = False
        self.is_division_pending = False
        self.index_by_router = {}
        self.is_leader = False

    def _record_vote(self, voter: int, sent_at: float, now: float) -> None:
        """Records a vote as of the time at which its request was sent, and drops expired votes."""
        self.votes[voter] = max(self.votes.get(voter, -math.inf), sent_at)
        self.votes = {
            router: at
            for router, at in self.votes.items()
            if at + self.vote_duration_s * (1 - MAX_CLOCK_DRIFT) > now
        }
        self._vote_free_at.pop(voter, None)
        if now < self.leader_until() and not self.is_leader:
            self.term += 1
            self.is_leader = True
            self.expedite()

    def _record_refusal(self, voter: int, retry_after_s: float, now: float) -> None:
        """Postpones the next round until a majority can be free to vote; earlier rounds cannot succeed."""
        self._vote_free_at[voter] = now + min(retry_after_s, self.vote_duration_s * (1 + MAX_CLOCK_DRIFT))
        granted = [now for router in self.votes if router not in self._vote_free_at]
        free_at = sorted([*self._vote_free_at.values(), *granted])
        majority = self.router_count // 2
        if now >= self.leader_until() and len(free_at) > majority:
            self.next_round_at = max(free_at[majority], self._last_round_at + MIN_ROUND_INTERVAL_S)

    # Division of the quota by the leader.

    def _update_division(self, alive: list[int], now: float) -> None:
        """Starts a new division if the group has changed; activates it once all gave up the previous one."""
        if not self.is_division_pending and self._needs_division(alive, now):
            self._start_division(alive)
        if self.is_division_pending and self._is_old_division_over(now):
            self.is_division_active = True
            self.is_division_pending = False
            self.member_leases = {
                router: lease
                for router, lease in self.member_leases.items()
                if router in self.index_by_router
            }

    def _needs_division(self, alive: list[int], now: float) -> bool:
        if not self.index_by_router:
            return True
        counted = set(self.index_by_router)
        if counted == set(alive):
            return False
        # A removed router may still use its share until its lease has expired by its own clock.
        removed = counted - set(alive)
        return all(
            now >= self.member_leases[router].expires_at for router in removed if router in self.member_leases
        )

    def _is_old_division_over(self, now: float) -> bool:
        """Whether each router with a lease holds the new division or its lease has expired."""
        return all(
            lease.held_serial >= self._division_serial or now >= lease.expires_at
            for router, lease in self.member_leases.items()
            if router != self.router_index
        )

    def _start_division(self, alive: list[int]) -> None:
        """Creates a new division. It stays inactive until all routers have given up the previous one."""
        self._last_serial += 1
        self._division_serial = self._last_serial
        self.index_by_router = {router: index for index, router in enumerate(sorted(alive))}
        self.is_division_active = False
        self.is_division_pending = True
        for router in alive:
            self.member_leases.setdefault(router, MemberLease())

    def _division_for(self, router: int) -> QuotaDivision | None:
        """Returns this leader's division as sent to the router; None if there is none."""
        if not self._division_serial or not self.index_by_router:
            return None
        lease = self.member_leases.get(router)
        validity_s = 0.0
        if lease is not None:
            validity_s = min(self.lease_s, self.leader_until() - lease.token_received_at)
        return QuotaDivision(
            self._division_serial,
            len(self.index_by_router),
            self.index_by_router.get(router, -1),
            self.is_division_active,
            max(int(1000.0 * validity_s), 0),
        )

    # Received messages.

    def receive(self, sender: int, message: Message, generation: int, now: float) -> list[OutgoingMessage]:
        """Handles a vote request or a vote response and returns the answers to send.

        Args:
            sender: index of the router that sent the message.
            message: the received message; other types are ignored.
            generation: generation of this router.
            now: current time, in seconds.
        """
        if message.message_type is MessageType.VOTE_REQUEST:
            return [OutgoingMessage(sender, self._on_vote_request(sender, message, generation, now))]
        if message.message_type is MessageType.VOTE_RESPONSE:
            self._on_vote_response(sender, message, now)
        return []

    def _on_vote_request(self, sender: int, message: Message, generation: int, now: float) -> Message:
        candidate = ProcessRef(sender, message.generation)
        granted = self._grant_vote(sender, message.generation, now)
        if granted and message.division is not None:
            self._accept_division(message.division, candidate, message.token, now)
        token = self.holder.issue_token(generation, now)
        return Message(
            MessageType.VOTE_RESPONSE,
            generation,
            sequence=message.sequence,
            token=token,
            held_serial=self.holder.held_serial(candidate),
            granted=granted,
            retry_after_ms=0 if granted else math.ceil(1000.0 * (self.voted_until - now)),
        )

    def _accept_division(self, division: QuotaDivision, leader: ProcessRef, token: int, now: float) -> None:
        """Holds a division for its validity, counted from the time at which this router issued the token."""
        issued_at = self.holder.token_issued_at.get(token)
        if issued_at is None:
            return
        validity_s = min(self.lease_s, division.validity_ms / 1000.0)
        self.holder.hold(division, leader, issued_at + validity_s * (1 - MAX_CLOCK_DRIFT), now)

    def _on_vote_response(self, sender: int, message: Message, now: float) -> None:
        sent_at = self._request_sent_at.get(message.sequence)
        if sent_at is None:
            return
        if not message.granted:
            self._record_refusal(sender, message.retry_after_ms / 1000.0, now)
            return
        self._record_vote(sender, sent_at, now)
        lease = self.member_leases.get(sender)
        if lease is not None:
            lease.token = message.token
            lease.token_received_at = now
            lease.held_serial = max(lease.held_serial, message.held_serial)
            # The router counts the validity of a division sent with this token from when it issued the token,
            # which was earlier, so it cannot use the division for longer than this.
            lease.expires_at = now + self.lease_s * (1 + MAX_CLOCK_DRIFT)

    def _grant_vote(self, candidate: int, generation: int, now: float) -> bool:
        """Votes for one process at a time; a repeated request of that process renews the vote.

        A restarted process counts as another candidate, since it does not know how its predecessor divided
        the quota.

        Returns:
            Whether the vote is granted.
        """
        process = ProcessRef(candidate, generation)
        if now < self.voted_until and process != self.voted_for:
            return False
        self.voted_for = process
        self.voted_until = now + self.vote_duration_s * (1 + MAX_CLOCK_DRIFT)
        return True

    def leave(self) -> None:
        """Gives up the leased share, so that others can divide it at once, and keeps the reserved one."""
        self.holder.release()

    def on_member_left(self, router: int) -> None:
        """Ends the lease of a router that has left, since it no longer uses its leased share."""
        self.member_leases.pop(router, None)
