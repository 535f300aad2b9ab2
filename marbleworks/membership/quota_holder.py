"""The part of the group's quota that a router holds. No I/O, no clock.

The holder issues tokens, which the leader echoes with a division. A part's validity is counted from when the
token was issued, by the holder's own clock, so that the time a datagram takes only shortens it.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from marbleworks.membership.messages import QuotaDivision


class ProcessRef(NamedTuple):
    """One process of a router: its index and generation."""

    router: int
    generation: int


def qualified_number(number: int, generation: int) -> int:
    """A number on the wire that an answer to an earlier process of this router does not carry."""
    return (generation & 0xFFFF) << 24 | number & 0xFFFFFF


class QuotaHolder:
    """The division that this router holds, whose it is, and the tokens that are still valid."""

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.division: QuotaDivision | None = None
        self.leader: ProcessRef | None = None
        self.held_until = -math.inf
        self.token_issued_at: dict[int, float] = {}
        self._last_token = 0
        self._released = False

    def part_in_force(self, now: float) -> QuotaDivision | None:
        """The division whose part may be used now; None where there is none."""
        division = self.division
        if division is None or not division.active or now >= self.held_until or division.index < 0:
            return None
        return division

    def issue_token(self, generation: int, now: float) -> int:
        """A new token; those older than a lease are forgotten."""
        self._last_token += 1
        token = qualified_number(self._last_token, generation)
        self.token_issued_at[token] = now
        self.token_issued_at = {
            issued: at for issued, at in self.token_issued_at.items() if at > now - self.lease_s
        }
        return token

    def held_serial(self, leader: ProcessRef) -> int:
        """Serial of the leader's division that is held; 0 where none of it is."""
        return self.division.serial if self.division is not None and leader == self.leader else 0

    def hold(self, division: QuotaDivision | None, leader: ProcessRef, until: float, now: float) -> None:
        """Takes a division in place of the one held, unless it is older or over.

        Within one leader's term an older division is refused also when the one held is over, since we have
        confirmed to have given up those before it. One of another leader is taken at once: the parts of the
        one before ended with its right.
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
        """Gives up the part held, and takes no other."""
        self._released = True
        self.division = None
        self.held_until = -math.inf
