"""The share of the group's quota that a router holds. This module does no I/O and reads no clock.

The holder issues tokens, which the leader echoes with a division. The validity of a share is counted from
when the token was issued, by the holder's own clock, so that network delay can only shorten it.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from marbleworks.membership.messages import QuotaDivision


class ProcessRef(NamedTuple):
    """One process of a router, identified by its index and generation."""

    router: int
    generation: int


def generation_scoped_number(number: int, generation: int) -> int:
    """Combines a counter with the generation, so that answers to an earlier process of this router differ."""
    return (generation & 0xFFFF) << 24 | number & 0xFFFFFF


class QuotaHolder:
    """The division that this router holds, the leader that made it, and the tokens that are still valid.

    Attributes:
        lease_s: time for which a token is valid, in seconds.
        division: the held division; None if there is none.
        leader: process that made it.
        held_until: time at which it expires, in seconds.
        token_issued_at: time of issue of each valid token, in seconds.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.division: QuotaDivision | None = None
        self.leader: ProcessRef | None = None
        self.held_until = -math.inf
        self.token_issued_at: dict[int, float] = {}
        self._last_token = 0
        self._released = False

    def division_in_force(self, now: float) -> QuotaDivision | None:
        """Returns the division whose share may be used now; None if there is none."""
        division = self.division
        if division is None or not division.active or now >= self.held_until or division.index < 0:
            return None
        return division

    def issue_token(self, generation: int, now: float) -> int:
        """Issues a new token and drops those older than a lease."""
        self._last_token += 1
        token = generation_scoped_number(self._last_token, generation)
        self.token_issued_at[token] = now
        self.token_issued_at = {
            issued: at for issued, at in self.token_issued_at.items() if at > now - self.lease_s
        }
        return token

    def held_serial(self, leader: ProcessRef) -> int:
        """Returns the serial of the held division if it is the given leader's, else 0."""
        return self.division.serial if self.division is not None and leader == self.leader else 0

    def hold(self, division: QuotaDivision | None, leader: ProcessRef, until: float, now: float) -> None:
        """Replaces the held division, unless the new one is older or has already expired.

        An older division of the same leader is refused even after the held one has expired, since this router
        has confirmed to that leader that it gave up the earlier ones. A division of another leader is
        accepted at once, since the shares of the previous leader expired with its term.

        Args:
            division: the new division; None is ignored.
            leader: process that made it.
            until: time at which it expires, in seconds.
            now: current time, in seconds.
        """
        if division is None or until <= now or self._released:
            return
        held = self.division if leader == self.leader else None
        if held is not None:
            offered_version = (division.serial, division.active)
            held_version = (held.serial, held.active)
            if offered_version < held_version:
                return
            if offered_version == held_version:
                until = max(self.held_until, until)
        self.division = division
        self.leader = leader
        self.held_until = until

    def release(self) -> None:
        """Gives up the held division and accepts no other."""
        self._released = True
        self.division = None
        self.held_until = -math.inf
