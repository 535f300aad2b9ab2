"""Probes of the other routers: whom to probe next, and the probes in flight. No I/O, no clock."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from marbleworks.membership.member_view import MemberView
from marbleworks.membership.messages import MemberState

INDIRECT_PROBE_HELPERS = 3  # routers that are asked to probe for us
ACK_TIMEOUT_PERIODS = 0.4  # of the stretched probe interval: then others are asked to probe for us
PROBE_TIMEOUT_PERIODS = 0.95  # of the stretched probe interval: then the probe has failed
DEAD_PROBE_PERIODS = 4  # a dead or unknown router is probed once in so many periods
RELAY_TIMEOUT_PERIODS = 4
MAX_RELAYS = 64
MAX_PRIORITY_TARGETS = 64


@dataclass(eq=False, slots=True)
class Probe:
    """A probe without an answer so far. indirect: whether others have been asked to probe for us."""

    target: int
    sequence: int
    sent_at: float
    indirect_at: float
    expires_at: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """An indirect probe that we send for another router. sequence: of the requester's own probe."""

    requester: int
    sequence: int
    expires_at: float


class Prober:
    """Chooses targets in a fresh random order each round and keeps the probes and relays in flight."""

    def __init__(self, view: MemberView, router_count: int, seed: int, probe_interval_s: float) -> None:
        self.view = view
        self.router_index = view.router_index
        self.router_count = router_count
        self.seed = seed
        self.probe_interval_s = probe_interval_s
        self.probes: dict[int, Probe] = {}  # by sequence
        self.relays: dict[int, Relay] = {}  # by the sequence of our own ping
        self.priority_targets: deque[int] = deque(maxlen=MAX_PRIORITY_TARGETS)
        self._round: list[int] = []  # routers that are still to be probed in this round
        self._sequence = 0
        self._draws = 0
        self._periods = 0

    def others(self) -> Iterator[int]:
        """Indexes of all configured routers but ours."""
        return (router for router in range(self.router_count) if router != self.router_index)

    def start_probes(self, now: float, local_health: int) -> list[Probe]:
        """The probes of a new period: of one router, and at times of one that is dead or unknown."""
        self._periods += 1
        targets = self._next_target()
        members = self.view.members
        absent = [
            router
            for router in self.others()
            if router not in members or members[router].update.state is MemberState.DEAD
        ]
        if absent and (self._periods % DEAD_PROBE_PERIODS == 0 or not targets):
            targets.append(absent[int(self._random(0) * len(absent))])
        started = []
        for target in targets:
            if any(probe.target == target for probe in self.probes.values()):
                continue
            self._sequence += 1
            interval = self.probe_interval_s * (1 + local_health)
            probe = Probe(
                target,
                self._sequence,
                now,
                now + ACK_TIMEOUT_PERIODS * interval,
                now + PROBE_TIMEOUT_PERIODS * interval,
            )
            self.probes[self._sequence] = probe
            started.append(probe)
        return started

    def _next_target(self) -> list[int]:
        """The next router to probe, or none: a priority target, else the next one of the round."""
        while self.priority_targets:
            target = self.priority_targets.popleft()
            if target != self.router_index:
                return [target]
        if not self._round:
            others = [router for router in self.view.alive_routers() if router != self.router_index]
            self._round = sorted(others, key=self._random)
        return [self._round.pop()] if self._round else []

    def helpers(self, target: int) -> list[int]:
        """Routers to ask for an indirect probe of the target, drawn at random."""
        candidates = [
            router for router in self.view.alive_routers() if router not in (self.router_index, target)
        ]
        return sorted(candidates, key=self._random)[:INDIRECT_PROBE_HELPERS]

    def add_relay(self, requester: int, sequence: int, now: float) -> int | None:
        """Sequence of the ping that we send for another router; None where too many are in flight."""
        if len(self.relays) >= MAX_RELAYS:
            return None
        self._sequence += 1
        expires_at = now + RELAY_TIMEOUT_PERIODS * self.probe_interval_s
        self.relays[self._sequence] = Relay(requester, sequence, expires_at)
        return self._sequence

    def expire_relays(self, now: float) -> None:
        """Forgets the indirect probes whose time is over."""
        self.relays = {sequence: relay for sequence, relay in self.relays.items() if now < relay.expires_at}

    def cancel_probes_of(self, target: int) -> None:
        """Forgets the probes of a router that is dead or has left."""
        self.probes = {sequence: probe for sequence, probe in self.probes.items() if probe.target != target}

    def deadlines(self) -> list[float]:
        """When each probe in flight needs attention."""
        return [probe.expires_at if probe.indirect else probe.indirect_at for probe in self.probes.values()]

    def _random(self, salt: int) -> float:
        """A reproducible number from 0 to below 1; each call draws another."""
        self._draws += 1
        text = f"{self.seed}/{self.router_index}/{self._draws}/{salt}"
        return zlib.crc32(str(zlib.crc32(text.encode())).encode()) / 2**32
