"""A group of routers in simulated time: the decisions of `peers/`, datagrams that get lost, late and doubled,
clocks that run unevenly. No socket and no clock of the machine's.

It owns the simulated time. The decisions are the router's own; nothing here decides, but for what the network
does, which is drawn from a seed.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from marbleworks.membership.codec import decode, encode
from marbleworks.membership.messages import OutgoingMessage
from marbleworks.membership.node import MembershipNode
from marbleworks.membership.options import MembershipOptions
from marbleworks.membership.status import PartitionStatus

GROUP = 7


@dataclass
class Terms:
    period: float = 0.2
    suspicion: float = 1.0
    term: float = 2.4
    lease: float = 1.6
    kept: float = 0.25

    def options(self) -> MembershipOptions:
        return MembershipOptions.from_section({"group": "lab", "pace": 1e6} | asdict(self))


@dataclass
class Weather:
    """What the network does: parts lost and doubled, seconds of delay and of its spread."""

    loss: float = 0.0
    doubled: float = 0.0
    delay: float = 0.001
    jitter: float = 0.002
    cut: Callable[[int, int], bool] = field(default=lambda sender, to: False)


class Router:
    def __init__(self, group: Group, number: int, pace: float) -> None:
        self.group, self.number, self.pace, self.born = group, number, pace, group.now
        self.alive, self.paused_until, self.slow = True, 0.0, 0.0
        self.begin()

    def begin(self) -> None:
        seed, options = self.group.chance.getrandbits(32), self.group.terms.options()
        self.fellow = MembershipNode(self.number, self.group.count, seed, self.clock(), options)
        self.members, self.rights = self.fellow.failure_detector, self.fellow.election
        self.wake = 0

    def clock(self) -> float:
        return 1000.0 + self.group.now * self.pace

    def ring(self) -> None:
        self.say(self.fellow.tick(self.clock()))
        self.settle()

    def heard(self, peer: int, data: bytes) -> None:
        self.say(self.fellow.receive(peer, decode(GROUP, self.group.count, data), self.clock()))
        self.settle()

    def settle(self) -> None:
        for change in self.fellow.take_changes():
            self.group.changed(self.number, change)
        due = self.fellow.next_due()
        self.wake += 1
        at = max((due - 1000.0) / self.pace, self.group.now + 0.005) + self.slow * self.group.chance.random()
        self.group.at(max(at, self.paused_until), self._rung, self.wake)

    def _rung(self, wake: int) -> None:
        if self.alive and wake == self.wake:
            self.ring()

    def say(self, out: list[OutgoingMessage]) -> None:
        for to, message in out:
            self.group.send(self.number, to, encode(GROUP, message))

    def part(self) -> float:
        """What it may use of the whole, at this moment."""
        return self.standing().quota_share if self.alive else 0.0

    def standing(self) -> PartitionStatus:
        return self.fellow.partition_status(self.clock())


class Group:
    """uneven: how far clocks run from true, at most, as a part."""

    def __init__(
        self, count: int, seed: int, terms: Terms | None = None, uneven: float = 0.0, hold: bool = False
    ) -> None:
        self.count, self.terms, self.chance = count, terms or Terms(), random.Random(seed)
        self.now, self.weather, self.line = (
            0.0,
            Weather(),
            list[tuple[float, int, Callable[..., None], Any]](),
        )
        self.numbered, self.sent_bytes, self.sent = 0, [0] * count, 0
        self.changes: list[tuple[float, int, Any]] = []
        self.routers: list[Router] = []
        for number in range(count):
            pace = 1.0 + uneven * self.chance.uniform(-1.0, 1.0)
            self.routers.append(Router(self, number, pace))
            if not hold:
                self.at(self.chance.random() * 0.2, self.routers[-1].ring)

    def changed(self, by: int, change: Any) -> None:
        self.changes.append((self.now, by, change))

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        self.numbered += 1
        heapq.heappush(self.line, (when, self.numbered, what, args))

    def send(self, sender: int, to: int, data: bytes) -> None:
        self.sent_bytes[sender] += len(data)
        self.sent += 1
        weather = self.weather
        if weather.cut(sender, to):
            return
        for _ in range(1 + (self.chance.random() < weather.doubled)):
            if self.chance.random() >= weather.loss:
                self.at(
                    self.now + weather.delay + weather.jitter * self.chance.random(),
                    self._arrive,
                    sender,
                    to,
                    data,
                )

    def _arrive(self, sender: int, to: int, data: bytes) -> None:
        router = self.routers[to]
        if not router.alive:
            return
        if self.now < router.paused_until:
            self.at(router.paused_until + 0.001, self._arrive, sender, to, data)
        elif router.slow:
            self.at(self.now + router.slow * self.chance.random(), self._heard, sender, to, data)
        else:
            router.heard(sender, data)

    def _heard(self, sender: int, to: int, data: bytes) -> None:
        if self.routers[to].alive:
            self.routers[to].heard(sender, data)

    def run(self, seconds: float, each: Callable[[], None] | None = None) -> None:
        """Lets time pass; each: called after each event."""
        end = self.now + seconds
        while self.line and self.line[0][0] <= end:
            when, _, what, args = heapq.heappop(self.line)
            self.now = max(self.now, when)
            what(*args)
            if each is not None:
                each()
        self.now = end

    # Faults.

    def kill(self, number: int) -> None:
        self.routers[number].alive = False

    def start(self, number: int) -> None:
        """Anew, from nothing."""
        router = self.routers[number]
        router.alive, router.paused_until = True, 0.0
        router.begin()
        router.ring()

    def pause(self, number: int, seconds: float) -> None:
        self.routers[number].paused_until = self.now + seconds
        self.routers[number].settle()

    # What holds.

    def living(self) -> list[Router]:
        return [r for r in self.routers if r.alive]

    def agreed(self) -> bool:
        """All that live have all that live in their view, and no other."""
        there = [r.number for r in self.living()]
        return all(r.members.view.alive_routers() == there for r in self.living())

    def used(self) -> float:
        """Of the whole, by all routers together, at this moment."""
        return sum(r.part() for r in self.routers if r.alive)

    def dividers(self) -> list[int]:
        return [r.number for r in self.routers if r.alive and r.standing().is_leader]
