"""Simulation of a router group: the membership decisions of `membership/` in simulated time.

Datagrams are lost, delayed and duplicated, and clocks run at different rates. Neither a socket nor the
machine's clock is used. The module owns the simulated time. The decisions are the router's own; only the
behaviour of the network is decided here, drawn from a seed.
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
class GroupTimes:
    """Times of the group in seconds. The field names are options of the operator's file.

    Attributes:
        period: Interval between probes.
        suspicion: Time from suspicion to death of a member.
        term: Length of a leader's term.
        lease: Length of a lease.
        kept: Fraction of the quota that is divided by the number of configured routers and always usable.
    """

    period: float = 0.2
    suspicion: float = 1.0
    term: float = 2.4
    lease: float = 1.6
    kept: float = 0.25

    def options(self) -> MembershipOptions:
        """Returns the membership options for these times."""
        return MembershipOptions.from_section({"group": "lab", "pace": 1e6} | asdict(self))


@dataclass
class NetworkFaults:
    """Behaviour of the simulated network.

    Attributes:
        loss: Fraction of datagrams that are lost.
        duplication: Fraction of datagrams that are duplicated.
        delay: Delay in seconds.
        jitter: Largest random addition to the delay in seconds.
        is_cut: Whether nothing passes from a sender to a receiver, by router number.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.001
    jitter: float = 0.002
    is_cut: Callable[[int, int], bool] = field(default=lambda sender, to: False)


class Router:
    """A simulated router: a membership node with a clock of its own.

    Attributes:
        group: The group.
        number: Number of the router.
        clock_rate: Rate of its clock, where 1 is true time.
        born: Simulated time at which the router was first created.
        alive: Whether the process runs.
        paused_until: Simulated time until which the process is paused.
        slow: Largest random delay in seconds of its timers and of datagrams to it.
        node: The membership node.
        failure_detector: Failure detector of the node.
        election: Leader election of the node.
        timer_number: Sequence number of the latest timer; older timers have no effect.
    """

    def __init__(self, group: SimulatedGroup, number: int, clock_rate: float) -> None:
        self.group, self.number, self.clock_rate, self.born = group, number, clock_rate, group.now
        self.alive, self.paused_until, self.slow = True, 0.0, 0.0
        self.begin()

    def begin(self) -> None:
        """Creates the membership node, as a process start does."""
        seed, options = self.group.rng.getrandbits(32), self.group.terms.options()
        self.node = MembershipNode(self.number, self.group.count, seed, self.clock(), options)
        self.failure_detector, self.election = self.node.failure_detector, self.node.election
        self.timer_number = 0

    def clock(self) -> float:
        """Returns the time of the router's own clock in seconds."""
        return 1000.0 + self.group.now * self.clock_rate

    def run_timers(self) -> None:
        """Runs the node's timers."""
        self.send_all(self.node.tick(self.clock()))
        self.schedule_next()

    def receive(self, peer: int, data: bytes) -> None:
        """Passes a datagram to the node."""
        self.send_all(self.node.receive(peer, decode(GROUP, self.group.count, data), self.clock()))
        self.schedule_next()

    def schedule_next(self) -> None:
        """Records the node's changes and sets the next timer."""
        for change in self.node.take_changes():
            self.group.record_change(self.number, change)
        due = self.node.next_due()
        self.timer_number += 1
        at = (
            max((due - 1000.0) / self.clock_rate, self.group.now + 0.005)
            + self.slow * self.group.rng.random()
        )
        self.group.schedule(max(at, self.paused_until), self._on_timer, self.timer_number)

    def _on_timer(self, timer_number: int) -> None:
        if self.alive and timer_number == self.timer_number:
            self.run_timers()

    def send_all(self, messages: list[OutgoingMessage]) -> None:
        """Sends the node's messages."""
        for receiver, message in messages:
            self.group.send(self.number, receiver, encode(GROUP, message))

    def quota_share(self) -> float:
        """Returns the fraction of the whole quota that the router may use now."""
        return self.partition_status().quota_share if self.alive else 0.0

    def partition_status(self) -> PartitionStatus:
        """Returns what the node knows of leader and quota."""
        return self.node.partition_status(self.clock())


class SimulatedGroup:
    """The simulated routers, their network and the simulated time.

    Attributes:
        count: Number of routers.
        terms: Times of the group.
        rng: Random generator of the simulation.
        now: Simulated time in seconds.
        network_faults: Behaviour of the network.
        events: Heap of pending events: time, sequence number, function and arguments.
        event_count: Number of events so far.
        sent_bytes: Bytes sent, by router number.
        sent: Number of datagrams sent.
        changes: Time, observing router and member change of each change.
        routers: The routers by number.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        terms: GroupTimes | None = None,
        max_clock_drift: float = 0.0,
        without_timers: bool = False,
    ) -> None:
        """Creates the routers and their first timers.

        Args:
            count: Number of routers.
            seed: Seed of all random draws.
            terms: Times of the group; the defaults if not given.
            max_clock_drift: Largest deviation of a clock's rate from 1.
            without_timers: Whether routers get no first timer, so that the caller starts them.
        """
        self.count, self.terms, self.rng = count, terms or GroupTimes(), random.Random(seed)
        self.now, self.network_faults, self.events = (
            0.0,
            NetworkFaults(),
            list[tuple[float, int, Callable[..., None], Any]](),
        )
        self.event_count, self.sent_bytes, self.sent = 0, [0] * count, 0
        self.changes: list[tuple[float, int, Any]] = []
        self.routers: list[Router] = []
        for number in range(count):
            clock_rate = 1.0 + max_clock_drift * self.rng.uniform(-1.0, 1.0)
            self.routers.append(Router(self, number, clock_rate))
            if not without_timers:
                self.schedule(self.rng.random() * 0.2, self.routers[-1].run_timers)

    def record_change(self, by: int, change: Any) -> None:
        """Records a change of a member as a router observed it."""
        self.changes.append((self.now, by, change))

    def schedule(self, when: float, what: Callable[..., None], *args: Any) -> None:
        """Schedules a call at a simulated time."""
        self.event_count += 1
        heapq.heappush(self.events, (when, self.event_count, what, args))

    def send(self, sender: int, to: int, data: bytes) -> None:
        """Sends a datagram over the simulated network."""
        self.sent_bytes[sender] += len(data)
        self.sent += 1
        faults = self.network_faults
        if faults.is_cut(sender, to):
            return
        for _ in range(1 + (self.rng.random() < faults.duplication)):
            if self.rng.random() >= faults.loss:
                self.schedule(
                    self.now + faults.delay + faults.jitter * self.rng.random(),
                    self._deliver,
                    sender,
                    to,
                    data,
                )

    def _deliver(self, sender: int, to: int, data: bytes) -> None:
        router = self.routers[to]
        if not router.alive:
            return
        if self.now < router.paused_until:
            self.schedule(router.paused_until + 0.001, self._deliver, sender, to, data)
        elif router.slow:
            self.schedule(self.now + router.slow * self.rng.random(), self._deliver_late, sender, to, data)
        else:
            router.receive(sender, data)

    def _deliver_late(self, sender: int, to: int, data: bytes) -> None:
        if self.routers[to].alive:
            self.routers[to].receive(sender, data)

    def run(self, seconds: float, each: Callable[[], None] | None = None) -> None:
        """Advances the simulated time.

        Args:
            seconds: Time to advance by.
            each: Called after each event.
        """
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            when, _, what, args = heapq.heappop(self.events)
            self.now = max(self.now, when)
            what(*args)
            if each is not None:
                each()
        self.now = end

    # Faults.

    def kill(self, number: int) -> None:
        """Kills a router."""
        self.routers[number].alive = False

    def start(self, number: int) -> None:
        """Starts a router again without any of its former state."""
        router = self.routers[number]
        router.alive, router.paused_until = True, 0.0
        router.begin()
        router.run_timers()

    def pause(self, number: int, seconds: float) -> None:
        """Pauses a router's process for a number of seconds."""
        self.routers[number].paused_until = self.now + seconds
        self.routers[number].schedule_next()

    # State of the group.

    def live_routers(self) -> list[Router]:
        """Returns the routers that are alive."""
        return [router for router in self.routers if router.alive]

    def views_agree(self) -> bool:
        """Returns whether each live router sees exactly the live routers as alive."""
        live_numbers = [router.number for router in self.live_routers()]
        return all(
            router.failure_detector.view.alive_routers() == live_numbers for router in self.live_routers()
        )

    def used_quota(self) -> float:
        """Returns the fraction of the whole quota that all routers together may use now."""
        return sum(router.quota_share() for router in self.routers if router.alive)

    def leaders(self) -> list[int]:
        """Returns the numbers of the routers that act as leader."""
        return [
            router.number for router in self.routers if router.alive and router.partition_status().is_leader
        ]
