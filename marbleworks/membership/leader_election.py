"""Leader election by votes that bind for a time, and the leader's division of the quota. No I/O, no clock.

At no moment do two routers lead, or do all routers together use more than the whole quota:
docs/design/peers.md has the proof, which needs the votes and the division together. Times are float seconds
of one monotonic clock whose pace differs from others' by at most `MAX_CLOCK_DRIFT`.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from marbleworks.membership.messages import Message, MessageType, OutgoingMessage, QuotaDivision
from marbleworks.membership.quota_holder import ProcessRef, QuotaHolder, qualified_number
from marbleworks.membership.status import PartitionStatus, QuorumStatus

MAX_CLOCK_DRIFT = 0.02  # bound on how much faster or slower than another's a router's clock may run
ROUNDS_PER_VOTE = 4  # vote requests sent within the duration of a vote
MIN_ROUND_INTERVAL_S = 0.1  # also the interval while a division is pending


@dataclass(slots=True)
class MemberLease:
    """What the leader knows of one router's part.

    Attributes:
        token: the latest that it issued.
        token_received_at: when that arrived.
        held_serial: it holds no division that is older than this.
        expires_at: when it can use none of our divisions any more, unless that is renewed.
    """

    token: int = 0
    token_received_at: float = -math.inf
    held_serial: int = 0
    expires_at: float = -math.inf


class LeaderElection:
    """One router's vote, its candidacy and, while it leads, the division of the quota.

    Args:
        router_index: index of this router among the configured ones.
        router_count: number of configured routers, of which a majority elects.
        now: the present.
        vote_duration_s: time for which a vote binds its voter.
        lease_s: time for which a part of the quota may be used.
        reserved_share: part of the quota that is divided among all configured routers for good.
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
        # There is no disk: an earlier process of ours may have voted, and until its vote is over we don't.
        self.voted_for: ProcessRef | None = None
        self.voted_until = now + vote_duration_s * (1 + MAX_CLOCK_DRIFT)
        self.votes: dict[int, float] = {}  # by voter: when the request that it granted was sent
        self._vote_free_at: dict[int, float] = {}  # by router that refused: when its vote is free
        self._request_number = 0
        self._request_sent_at: dict[int, float] = {}  # by sequence
        self.term = 0  # how often we became leader
        self.is_leader = False
        self.division_active = False
        self.division_pending = False
        self.index_by_router: dict[int, int] = {}  # the division that we made
        self.member_leases: dict[int, MemberLease] = {}
        self._division_serial = 0  # 0: we have made none in this term
        self._last_serial = 0
        self.holder = QuotaHolder(lease_s)

    def leader_until(self) -> float:
        """Until when we lead; the past where we don't.

        A majority has granted requests that were sent no earlier than its oldest vote, and each voter is
        bound from a later moment for the duration of a vote by its own clock.
        """
        votes = sorted(self.votes.values(), reverse=True)
        majority = self.router_count // 2 + 1
        if len(votes) < majority:
            return -math.inf
        return votes[majority - 1] + self.vote_duration_s * (1 - MAX_CLOCK_DRIFT)

    def partition_status(self, alive: int, confirmed: int, now: float) -> PartitionStatus:
        """What we may do now.

        Args:
            alive: number of live routers by the view, ourselves among them.
            confirmed: number of those that have answered within the last vote duration, and ourselves.
            now: the present.
        """
        share = self.reserved_share / self.router_count
        divisor = self.router_count
        index = -1
        valid_until = math.inf
        division = self.holder.part_in_force(now)
        if division is not None:
            share += (1.0 - self.reserved_share) / division.divisor
            divisor = division.divisor
            index = division.index
            valid_until = self.holder.held_until
        return PartitionStatus(
            QuorumStatus.of(alive, self.router_count),
            confirmed / max(alive, 1),
            now < self.leader_until(),
            share,
            divisor,
            index,
            valid_until,
        )

    def next_due(self) -> float:
        """When `tick` is to be called next."""
        return min(self.next_round_at, self.leader_until() if self.votes else math.inf)

    def expedite(self) -> None:
        """Holds the next round as soon as it may be, since the view has changed."""
        self.next_round_at = min(self.next_round_at, self._last_round_at + MIN_ROUND_INTERVAL_S)

    def tick(
        self, alive: list[int], generation: int, now: float, suspected: Collection[int] = ()
    ) -> list[OutgoingMessage]:
        """Requests votes if we are the candidate: of a majority the lowest index that nobody suspects."""
        if now >= self.leader_until() and self.is_leader:
            self._step_down()
        if now < self.next_round_at:
            return []
        self.next_round_at = now + self.vote_duration_s / ROUNDS_PER_VOTE
        self._last_round_at = now
        candidate = min((router for router in alive if router not in suspected), default=self.router_index)
        if candidate != self.router_index or 2 * len(alive) <= self.router_count:
            return []
        sequence = self._next_request(generation, now)
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
        if self.division_pending:
            self.next_round_at = now + MIN_ROUND_INTERVAL_S
        return outgoing

    def _next_request(self, generation: int, now: float) -> int:
        self._request_number += 1
        sequence = qualified_number(self._request_number, generation)
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
        self.votes.clear()
        self.member_leases.clear()
        self._division_serial = 0
        self.division_active = False
        self.division_pending = False
        self.index_by_router = {}
        self.is_leader = False

    def _record_vote(self, voter: int, sent_at: float, now: float) -> None:
        """Counts a vote from when its request was sent, and forgets those that are over."""
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
        """Puts the next round to when a majority may be free, without rounds in vain until then."""
        self._vote_free_at[voter] = now + min(retry_after_s, self.vote_duration_s * (1 + MAX_CLOCK_DRIFT))
        granted = [now for router in self.votes if router not in self._vote_free_at]
        free_at = sorted([*self._vote_free_at.values(), *granted])
        majority = self.router_count // 2
        if now >= self.leader_until() and len(free_at) > majority:
            self.next_round_at = max(free_at[majority], self._last_round_at + MIN_ROUND_INTERVAL_S)

    # The leader's division of the quota.

    def _update_division(self, alive: list[int], now: float) -> None:
        """Starts a new division when the group has changed, and activates it when the old one is given up."""
        if not self.division_pending and self._needs_division(alive, now):
            self._start_division(alive)
        if self.division_pending and self._is_old_division_over(now):
            self.division_active = True
            self.division_pending = False
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
        # A router that is gone may still use its part until its lease has expired by its own clock.
        removed = counted - set(alive)
        return all(
            now >= self.member_leases[router].expires_at for router in removed if router in self.member_leases
        )

    def _is_old_division_over(self, now: float) -> bool:
        """Whether each router with a lease has taken the new division, or its lease is over."""
        return all(
            lease.held_serial >= self._division_serial or now >= lease.expires_at
            for router, lease in self.member_leases.items()
            if router != self.router_index
        )

    def _start_division(self, alive: list[int]) -> None:
        """Makes a new division, which is not active before all have given up the old one."""
        self._last_serial += 1
        self._division_serial = self._last_serial
        self.index_by_router = {router: index for index, router in enumerate(sorted(alive))}
        self.division_active = False
        self.division_pending = True
        for router in alive:
            self.member_leases.setdefault(router, MemberLease())

    def _division_for(self, router: int) -> QuotaDivision | None:
        """Our division as sent to the router; None where there is none."""
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
            self.division_active,
            max(int(1000.0 * validity_s), 0),
        )

    # Received messages.

    def receive(self, sender: int, message: Message, generation: int, now: float) -> list[OutgoingMessage]:
        """Handles a vote request or response. generation: our own."""
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
        """Holds a division until its validity, counted from when we issued the token, is over."""
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
            # A division that we send with this token binds it, at the longest, from when it issued the token.
            lease.expires_at = now + self.lease_s * (1 + MAX_CLOCK_DRIFT)

    def _grant_vote(self, candidate: int, generation: int, now: float) -> bool:
        """Votes for one process at a time; a repeated request renews the vote.

        A process that started anew is another candidate, since it does not know what it has divided.
        """
        process = ProcessRef(candidate, generation)
        if now < self.voted_until and process != self.voted_for:
            return False
        self.voted_for = process
        self.voted_until = now + self.vote_duration_s * (1 + MAX_CLOCK_DRIFT)
        return True

    def leave(self) -> None:
        """Uses no part but the reserved one from now on, so that others can divide it at once."""
        self.holder.release()

    def on_member_left(self, router: int) -> None:
        """Ends the lease of a router that has left, which uses its part no longer."""
        self.member_leases.pop(router, None)
