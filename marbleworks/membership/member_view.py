"""One router's view of its group: the believed state of each member. No I/O, no clock."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field

from marbleworks.membership.messages import MemberState, MemberUpdate


@dataclass(frozen=True)
class MemberChange:
    """A change of a router's believed state, and its cause."""

    router: int
    generation: int
    state: MemberState
    cause: str


@dataclass(eq=False, slots=True)
class Member:
    """What is known of one router. Times are seconds of the local clock.

    Attributes:
        router: its index.
        update: the latest accepted update.
        state_since: when its state last changed.
        suspicion_deadline: when an unrefuted suspicion ends; infinite where it is not suspected.
        accused_by: routers that reported it dead or left.
        claimed_generations: higher generations that other routers report, by reporter.
        probe_failed: whether our own probe failed and it has not answered since.
        last_answered_probe_at: when the latest probe that it answered was sent.
        view_digest: digest of its view, as last received.
        differs_since: since when that digest has differed from ours; None where they agree.
    """

    router: int
    update: MemberUpdate
    state_since: float
    suspicion_deadline: float = math.inf
    accused_by: set[int] = field(default_factory=set)
    claimed_generations: dict[int, int] = field(default_factory=dict)
    probe_failed: bool = False
    last_answered_probe_at: float = -math.inf
    view_digest: int = 0
    differs_since: float | None = None

    @property
    def is_alive(self) -> bool:
        """Whether it counts as a live member: alive, or suspected and not yet declared dead."""
        return self.update.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def update_with(self, state: MemberState) -> MemberUpdate:
        """Its latest update, with another state."""
        return MemberUpdate(self.update.generation, self.update.incarnation, state, self.router)

    def observe_digest(self, received: int, local: int, now: float) -> None:
        """Notes the digest that it sent, and since when it has differed from the local one."""
        self.view_digest = received
        if received == local:
            self.differs_since = None
        elif self.differs_since is None:
            self.differs_since = now


@dataclass(frozen=True, slots=True)
class Transition:
    """What an accepted update did. previous: the state before, None for a member that is new."""

    previous: MemberState | None
    is_change: bool


class MemberView:
    """The members known so far, ourselves among them, and the changes not yet reported."""

    def __init__(self, router_index: int) -> None:
        self.router_index = router_index
        self.members: dict[int, Member] = {}
        self.version = 0
        self.changes: list[MemberChange] = []

    def alive_routers(self) -> list[int]:
        """Indexes of the live members, ascending."""
        return sorted(router for router, member in self.members.items() if member.is_alive)

    def suspected_routers(self) -> list[int]:
        """Indexes of the suspected members."""
        return [
            router for router, member in self.members.items() if member.update.state is MemberState.SUSPECT
        ]

    @property
    def digest(self) -> int:
        """Checksum of the live members and their generations."""
        alive = [(router, self.members[router].update.generation) for router in self.alive_routers()]
        return zlib.crc32(repr(alive).encode())

    def answered_since(self, since: float) -> int:
        """Number of live members, ourselves among them, that answered a probe sent since then."""
        return sum(
            member.last_answered_probe_at >= since or router == self.router_index
            for router, member in self.members.items()
            if member.is_alive
        )

    def was_ever_answered(self) -> bool:
        """Whether any member has answered a probe of ours."""
        return any(member.last_answered_probe_at > -math.inf for member in self.members.values())

    def apply(self, update: MemberUpdate, cause: str, now: float) -> Transition | None:
        """Accepts an update that supersedes what is known of its router; None where it does not."""
        member = self.members.get(update.router)
        if member is None:
            previous = None
            restarted = False
            member = self.members[update.router] = Member(update.router, update, now)
        elif update <= member.update:
            return None
        else:
            previous = member.update.state
            restarted = update.generation > member.update.generation
            member.update = update
        if update.state is MemberState.ALIVE:
            member.accused_by.clear()
            member.probe_failed = False
        if restarted:
            member.claimed_generations.clear()
        is_change = previous is not update.state or restarted
        if is_change:
            self.version += 1
            member.state_since = now
            self.changes.append(MemberChange(update.router, update.generation, update.state, cause))
        return Transition(previous, is_change)
