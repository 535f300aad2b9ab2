"""Dissemination of member updates: which of them ride on the next message. No I/O, no clock."""

from __future__ import annotations

import math

from marbleworks.membership.member_view import Member, MemberView
from marbleworks.membership.messages import MemberState, MemberUpdate

RETRANSMIT_MULTIPLIER = 3.0  # an update is sent this many times the logarithm of the group's size
MAX_UPDATES_PER_MESSAGE = 8
FULL_SYNC_AFTER_S = 1.0  # disagreement of two views after which all members are sent in turn


class GossipQueue:
    """Members whose update is still to be disseminated, with how often it has been sent."""

    def __init__(self, view: MemberView) -> None:
        self.view = view
        self.transmissions: dict[int, int] = {}  # by router
        self._full_sync_position = 0

    def enqueue(self, router: int) -> None:
        """Disseminates the router's update from the beginning."""
        self.transmissions[router] = 0

    def select(self, receiver: int | None, now: float) -> tuple[MemberUpdate, ...]:
        """Updates for the next message.

        First comes what is known of the receiver itself where it is not alive, which lets it refute; then,
        where the two views have differed for long, all members in turn; then the updates sent least often.
        """
        members = self.view.members
        chosen: list[int] = []
        member = members.get(receiver) if receiver is not None else None
        if member is not None:
            if member.update.state is not MemberState.ALIVE:
                chosen.append(member.router)
            if member.differs_since is not None and now > member.differs_since + FULL_SYNC_AFTER_S:
                chosen += self._next_of_all(members)
        max_transmissions = math.ceil(RETRANSMIT_MULTIPLIER * math.log2(len(members) + 2))
        for router in sorted(self.transmissions, key=lambda n: (self.transmissions[n], n)):
            if len(chosen) >= MAX_UPDATES_PER_MESSAGE:
                break
            if router not in chosen:
                chosen.append(router)
                self.transmissions[router] += 1
                if self.transmissions[router] > max_transmissions:
                    del self.transmissions[router]
        return tuple(members[router].update for router in dict.fromkeys(chosen))

    def _next_of_all(self, members: dict[int, Member]) -> list[int]:
        known = sorted(members)
        chosen = []
        for _ in range(min(MAX_UPDATES_PER_MESSAGE - 1, len(known))):
            self._full_sync_position += 1
            chosen.append(known[self._full_sync_position % len(known)])
        return chosen
