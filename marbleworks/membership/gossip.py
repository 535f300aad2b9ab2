"""Dissemination of member updates by piggybacking. This module does no I/O and reads no clock."""

from __future__ import annotations

import math

from marbleworks.membership.member_view import Member, MemberView
from marbleworks.membership.messages import MemberState, MemberUpdate

RETRANSMIT_MULTIPLIER = 3.0  # transmissions of an update, per binary logarithm of the group's size
MAX_UPDATES_PER_MESSAGE = 8
FULL_SYNC_AFTER_S = 1.0  # two views that differ for longer are synchronized member by member


class GossipQueue:
    """Members whose updates are being disseminated, with the number of transmissions so far."""

    def __init__(self, view: MemberView) -> None:
        self.view = view
        self.transmissions: dict[int, int] = {}  # keyed by router index
        self._full_sync_position = 0

    def enqueue(self, router: int) -> None:
        """Starts to disseminate the current update of the router."""
        self.transmissions[router] = 0

    def select(self, receiver: int | None, now: float) -> tuple[MemberUpdate, ...]:
        """Returns the updates to send with the next message.

        First comes the receiver's own state if it is not alive, so that the receiver can refute it. Then, if
        the two views have differed for longer than `FULL_SYNC_AFTER_S`, come members in turn. The rest are
        the queued updates with the fewest transmissions.

        Args:
            receiver: index of the receiving router; None if the updates are not for a particular one.
            now: current time, in seconds.
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
        for router in sorted(self.transmissions, key=lambda index: (self.transmissions[index], index)):
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
