"""Choice of probe targets, and the probes in flight. This module does no I/O and reads no clock."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from marbleworks.membership.member_view import MemberView
from marbleworks.membership.messages import MemberState

INDIRECT_PROBE_HELPERS = 3  # routers that are asked to probe a target indirectly
ACK_TIMEOUT_PERIODS = 0.4  # in probe intervals, stretched by local health; then indirect probes start
PROBE_TIMEOUT_PERIODS = 0.95  # in probe intervals, stretched by local health; then the probe fails
DEAD_PROBE_PERIODS = 4  # probe intervals between probes of a dead or unknown router
RELAY_TIMEOUT_PERIODS = 4  # in probe intervals
MAX_RELAYS = 64  # indirect probes in flight for other routers
MAX_PRIORITY_TARGETS = 64


@dataclass(eq=False, slots=True)
class Probe:
    """A probe that has not been answered yet. Times are in seconds.

    Attributes:
        target: index of the probed router.
        sequence: number of the probe, which its answer echoes.
        sent_at: time at which the ping was sent.
        indirect_at: time at which indirect probes are requested.
        expires_at: time at which the probe fails.
        indirect: whether indirect probes have been requested.
    """

    target: int
    sequence: int
    sent_at: float
    indirect_at: float
    expires_at: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """An indirect probe that this router sends for another one.

    Attributes:
        requester: index of the router that requested it.
        sequence: number of the requester's own probe.
        expires_at: time at which the relay is dropped, in seconds.
    """

    requester: int
    sequence: int
    expires_at: float


class Prober:
    """Chooses probe targets in a new random order each round and tracks the probes and relays in flight.

    Args:
        view: members of the group.
        router_count: number of configured routers.
        seed: seed of the random choices.
        probe_interval_s: time between probes, in seconds.
    """

    def __init__(self, view: MemberView, router_count: int, seed: int, probe_interval_s: float) -> None:
        self.view = view
        self.router_index = view.router_index
        self.router_count = router_count
        self.seed = seed
        self.probe_interval_s = probe_interval_s
        self.probes: dict[int, Probe] = {}  # keyed by sequence
        self.relays: dict[int, Relay] = {}  # keyed by the sequence of the ping that this router sent
        self.priority_targets: deque[int] = deque(maxlen=MAX_PRIORITY_TARGETS)
        self._round: list[int] = []  # routers not yet probed in this round
        self._sequence = 0
        self._draws = 0
        self._periods = 0

    def others(self) -> Iterator[int]:
        """Yields the indexes of all configured routers except this one."""
        return (router for router in range(self.router_count) if router != self.router_index)

    def start_probes(self, now: float, local_health: int) -> list[Probe]:
        """Starts the probes of a new probe interval.

        One live router is probed, and every `DEAD_PROBE_PERIODS` intervals also one that is dead or unknown,
        so that it is noticed when it comes back.

        Args:
            now: current time, in seconds.
            local_health: local health counter; timeouts are stretched by one more than it.

        Returns:
            The probes to send.
        """
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
        """Returns the next router to probe, if any: a priority target, else the next one of the round."""
        while self.priority_targets:
            target = self.priority_targets.popleft()
            if target != self.router_index:
                return [target]
        if not self._round:
            others = [router for router in self.view.alive_routers() if router != self.router_index]
            self._round = sorted(others, key=self._random)
        return [self._round.pop()] if self._round else []

    def helpers(self, target: int) -> list[int]:
        """Returns randomly chosen routers to ask for an indirect probe of the target."""
        candidates = [
            router for router in self.view.alive_routers() if router not in (self.router_index, target)
        ]
        return sorted(candidates, key=self._random)[:INDIRECT_PROBE_HELPERS]

    def add_relay(self, requester: int, sequence: int, now: float) -> int | None:
        """Adds an indirect probe for another router.

        Args:
            requester: index of the router that requested the probe.
            sequence: number of the requester's own probe.
            now: current time, in seconds.

        Returns:
            The sequence for the ping to send; None if too many are in flight.
        """
        if len(self.relays) >= MAX_RELAYS:
            return None
        self._sequence += 1
        expires_at = now + RELAY_TIMEOUT_PERIODS * self.probe_interval_s
        self.relays[self._sequence] = Relay(requester, sequence, expires_at)
        return self._sequence

    def expire_relays(self, now: float) -> None:
        """Drops the indirect probes for other routers that have expired."""
        self.relays = {sequence: relay for sequence, relay in self.relays.items() if now < relay.expires_at}

    def cancel_probes_of(self, target: int) -> None:
        """Drops the probes of a router that is dead or has left."""
        self.probes = {sequence: probe for sequence, probe in self.probes.items() if probe.target != target}

    def deadlines(self) -> list[float]:
        """Returns the time of the next timeout of each probe in flight."""
        return [probe.expires_at if probe.indirect else probe.indirect_at for probe in self.probes.values()]

    def _random(self, salt: int) -> float:
        """Returns the next reproducible pseudo-random number, from 0 (inclusive) to 1 (exclusive).

        Args:
            salt: distinguishes draws, such as the index of the router that is drawn for.
        """
        self._draws += 1
        text = f"{self.seed}/{self.router_index}/{self._draws}/{salt}"
        return zlib.crc32(str(zlib.crc32(text.encode())).encode()) / 2**32
