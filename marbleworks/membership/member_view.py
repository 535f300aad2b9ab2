"""One router's view of its group: the state of each member. This module does no I/O and reads no clock."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field

from marbleworks.membership.messages import MemberState, MemberUpdate


@dataclass(frozen=True)
class MemberChange:
    """A change of a router's state in the view, and its cause as logged."""

    router: int
    generation: int
    state: MemberState
    cause: str


@dataclass(eq=False, slots=True)
class Member:
    """State of one router as known to this one. Times are seconds of the local clock.

    Attributes:
        router: index of the router.
        update: latest accepted update.
        state_since: time of the last change of state.
        suspicion_deadline: time at which an unrefuted suspicion ends; infinite if there is none.
        death_reporters: indexes of the routers that reported it dead or left.
        claimed_generations: higher generations that other routers report, keyed by reporter.
        probe_failed: whether a direct probe failed and the router has not answered since.
        last_answered_probe_at: time at which the latest answered probe was sent.
        view_digest: digest of the router's own view, as last received.
        differs_since: time since which that digest has differed from the local one; None if they agree.
    """

    router: int
    update: MemberUpdate
    state_since: float
    suspicion_deadline: float = math.inf
    death_reporters: set[int] = field(default_factory=set)
    claimed_generations: dict[int, int] = field(default_factory=dict)
    probe_failed: bool = False
    last_answered_probe_at: float = -math.inf
    view_digest: int = 0
    differs_since: float | None = None

    @property
    def is_alive(self) -> bool:
        """Whether the router counts as live: alive, or suspected and not yet declared dead."""
        return self.update.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def update_with(self, state: MemberState) -> MemberUpdate:
        """Returns the latest update with its state replaced."""
        return MemberUpdate(self.update.generation, self.update.incarnation, state, self.router)

    def observe_digest(self, received: int, local: int, now: float) -> None:
        """Records the digest that the router sent and since when it has differed from the local one.

        Args:
            received: digest of the router's view.
            local: digest of the local view.
            now: current time, in seconds.
        """
        self.view_digest = received
        if received == local:
            self.differs_since = None
        elif self.differs_since is None:
            self.differs_since = now


@dataclass(frozen=True, slots=True)
class Transition:
    """Effect of an accepted update.

    Attributes:
        previous: state before the update; None for a new member.
        is_change: whether the state changed or the router restarted.
    """

    previous: MemberState | None
    is_change: bool


class MemberView:
    """The members known so far, including this router, and the changes not yet reported."""

    def __init__(self, router_index: int) -> None:
        self.router_index = router_index
        self.members: dict[int, Member] = {}
        self.version = 0
        self.changes: list[MemberChange] = []

    def alive_routers(self) -> list[int]:
        """Returns the indexes of the live members in ascending order."""
        return sorted(router for router, member in self.members.items() if member.is_alive)

    def suspected_routers(self) -> list[int]:
        """Returns the indexes of the suspected members."""
        return [
            router for router, member in self.members.items() if member.update.state is MemberState.SUSPECT
        ]

    @property
    def digest(self) -> int:
        """Checksum of the live members and their generations."""
        alive = [(router, self.members[router].update.generation) for router in self.alive_routers()]
        return zlib.crc32(repr(alive).encode())

    def answered_since(self, sent_since: float) -> int:
        """Counts the live members, including this router, that answered a recent probe.

        Args:
            sent_since: only probes sent at this time or later count, in seconds.
        """
        return sum(
            member.last_answered_probe_at >= sent_since or router == self.router_index
            for router, member in self.members.items()
            if member.is_alive
        )

    def was_ever_answered(self) -> bool:
        """Whether any member has answered a probe of this router."""
        return any(member.last_answered_probe_at > -math.inf for member in self.members.values())

    def apply(self, update: MemberUpdate, cause: str, now: float) -> Transition | None:
        """Applies an update if it supersedes the known one of its router.

        Args:
            update: the update to apply.
            cause: reason for the update, for the log.
            now: current time, in seconds.

        Returns:
            The effect of the update; None if it does not supersede the known one.
        """
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
            member.death_reporters.clear()
            member.probe_failed = False
        if restarted:
            member.claimed_generations.clear()
        is_change = previous is not update.state or restarted
        if is_change:
            self.version += 1
            member.state_since = now
            self.changes.append(MemberChange(update.router, update.generation, update.state, cause))
        return Transition(previous, is_change)
