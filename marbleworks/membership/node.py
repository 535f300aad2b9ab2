"""One router of a group: its view and its rights together. No I/O, no clock.

It owns which of the two hears a message and when each is wanted next, and must never send: what is to be sent
is returned. The actor on sockets and the group in simulated time both run this.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from marbleworks.membership.codec import Message, MessageType, State
from marbleworks.membership.failure_detector import Change, FailureDetector, Out
from marbleworks.membership.leader_election import LeaderElection, Standing


@dataclass(frozen=True)
class LeaderRef:
    """Whom to ask for parts, as subsystems are told: the divider that has our vote and its start (-1, 0:
    none), our own start (0: none yet), and how long and for which time we have the right ourselves."""

    divider: int
    divider_start: int
    start: int
    reign: int
    right_until: float  # by our clock; the past where we have it not
    yielded: bool


class MembershipNode:
    """terms: seconds by `period`, `suspicion`, `term` and `lease`, and the part `kept`."""

    def __init__(self, me: int, count: int, seed: int, now: float, terms: dict[str, Any]) -> None:
        self.me, self.term = me, float(terms["term"])
        self.members = FailureDetector(me, count, seed, now, terms["period"], terms["suspicion"])
        self.rights = LeaderElection(me, count, now, terms["term"], terms["lease"], terms["kept"])

    @property
    def there(self) -> bool:
        """Whether it is one of the group: begun, and not followed by another of its name."""
        return self.members.joined and not self.members.yielded

    def heard(self, peer: int, message: Message, now: float) -> Out:
        if message.what not in (MessageType.VOTE, MessageType.VOTED):
            return self.members.heard(peer, message, now)
        known = self.members.members.get(peer)
        if known is not None and message.start != known.news.start:
            return []
        return self.rights.heard(peer, message, self.members.start, now)

    def tick(self, now: float) -> Out:
        out = self.members.tick(now) if now >= self.members.due() else []
        if self.there and now >= self.rights.due():
            members = self.members
            out = out + self.rights.tick(members.living(), members.start, now, members.suspected())
        return out

    def due(self) -> float:
        return min(self.members.due(), self.rights.due() if self.members.joined else math.inf)

    def changes(self) -> list[Change]:
        """What changed since the last call; who has left gives its part back."""
        changes, self.members.changes = self.members.changes, []
        for change in changes:
            if change.state is State.LEFT:
                self.rights.stopped(change.number)
            if change.state is not State.UP:
                self.rights.hurry()
        return changes

    def standing(self, now: float) -> Standing:
        living = self.members.living() if self.there else [self.me]
        return self.rights.standing(len(living), self.members.reached_since(now - self.term), now)

    def heed(self, now: float) -> LeaderRef:
        rights, members = self.rights, self.members
        divider, start = rights.bound_to if now < rights.bound_until else (-1, 0)
        until = rights.until() if rights.reigning else -math.inf
        own = members.start if members.joined else 0
        return LeaderRef(divider, start, own, rights.reigns, until, members.yielded)

    def leave(self, now: float) -> Out:
        """A planned stop: it uses its part no longer, and then says so."""
        self.rights.leave()
        return self.members.leave(now)
