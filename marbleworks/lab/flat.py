"""Measures what a flat group of routers costs by its size, in simulated time.

Bytes, datagrams and processor time are counted for each router. A router's processor time is the time spent
in its events: timers and received datagrams, with decoding, decisions and encoding. The simulated network
takes the place of the socket when a router sends, and costs less than a socket does. The cost of sockets and
actors is measured with hollow routers.
"""

from __future__ import annotations

import heapq
import random
import statistics
import time
from collections.abc import Callable, Sequence
from typing import Any

from marbleworks.lab.group import NetworkFaults, Router, SimulatedGroup
from marbleworks.lab.meter import MEASUREMENT_OVERHEAD_S, PACE, collection_disabled, state_bytes
from marbleworks.membership.messages import MemberState

# Seconds between checks of a group's state, and between those of a starting group.
CHECK_INTERVAL_S, START_CHECK_INTERVAL_S = 0.02, 0.002
TIMEOUT_S = 30.0  # seconds in which a group must reach the state that is waited for
SETTLING_S = 1.2  # seconds that a settled group runs before it is measured
WINDOW_S = 1.2  # seconds over which processor time is counted; two rounds of votes
WINDOW_COUNT = 7  # number of these, of which the median counts
# Routers of the group with restarts, and of the group that loses datagrams.
RESTARTED_GROUP_SIZE, LOSSY_GROUP_SIZE = 48, 24


class MeasuredGroup(SimulatedGroup):
    """A group that counts the work of each router.

    Attributes:
        sent_datagrams: Datagrams sent, by router.
        received_bytes: Bytes received, by router.
        yardsticks: Processor time in yardsticks, by router.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.sent_datagrams, self.received_bytes, self.yardsticks = [0] * count, [0] * count, [0.0] * count
        super().__init__(count, seed)

    def send(self, sender: int, to: int, data: bytes) -> None:
        """Counts and sends a datagram."""
        self.sent_datagrams[sender] += 1
        super().send(sender, to, data)

    def run_measured(self, seconds: float) -> None:
        """Runs the group like `run` and adds the processor time of each event to its router."""
        end, events, process_time = self.now + seconds, self.events, time.process_time
        while events and events[0][0] <= end:
            when, _, what, args = heapq.heappop(events)
            self.now = max(self.now, when)
            number = self._router_of(what, args)
            began = process_time()
            what(*args)
            self.yardsticks[number] += PACE.to_yardsticks(
                max(process_time() - began - MEASUREMENT_OVERHEAD_S, 0.0)
            )
        self.now = end

    def _router_of(self, what: Any, args: Any) -> int:
        router = getattr(what, "__self__", None)
        if isinstance(router, Router):
            return router.number
        to: int = args[1]
        if self.routers[to].alive:
            self.received_bytes[to] += len(args[2])
        return to

    def run_until(self, condition: Callable[[], bool], step: float = CHECK_INTERVAL_S) -> float:
        """Runs the group until a condition holds.

        Args:
            condition: The condition.
            step: Seconds between checks of the condition.

        Returns:
            Seconds until the condition held.

        Raises:
            RuntimeError: The condition did not hold in time.
        """
        began = self.now
        while not condition():
            if self.now > began + TIMEOUT_S:
                raise RuntimeError(f"a group of {self.count} did not reach the state in {TIMEOUT_S:.0f} s")
            self.run_measured(step)
        return self.now - began

    def leader(self) -> int:
        """Returns the leader, -1 if there is none."""
        return next(iter(self.leaders()), -1)

    def is_divided(self) -> bool:
        """Returns whether a leader has divided the quota among all live routers, in an active division."""
        number = self.leader()
        election = self.routers[number].election if number >= 0 else None
        live_routers = {router.number for router in self.live_routers()}
        return (
            election is not None
            and election.is_division_active
            and not election.is_division_pending
            and set(election.index_by_router) == live_routers
        )


def start_group(count: int, seed: int) -> tuple[MeasuredGroup, float, float]:
    """Starts all routers of a group at once.

    Returns:
        The group, the processor time of all routers in yardsticks, and the seconds until all agreed.
    """
    PACE.yardstick()
    group = MeasuredGroup(count, seed)
    duration = group.run_until(group.views_agree, START_CHECK_INTERVAL_S)
    return group, sum(group.yardsticks), duration


def settle_group(group: MeasuredGroup) -> None:
    """Brings a group into the state of one that started long ago.

    Gossip about the start of all routers goes on for seconds that grow with the group size and its logarithm
    (some 45 s at 200 routers), and views count as different until each pair of routers has exchanged a
    message. All routers agree by now, so this function ends both.
    """
    group.run_until(lambda: group.views_agree() and group.is_divided())
    for router in group.routers:
        router.failure_detector.gossip.transmissions.clear()
        for member in router.failure_detector.view.members.values():
            member.differs_since = None
    group.run(SETTLING_S)


def measure_window(group: MeasuredGroup) -> tuple[float, float]:
    """Runs a group for a window without events.

    Returns:
        Yardsticks per second, the mean of all routers and that of the leader.
    """
    PACE.yardstick()
    yardsticks_before, leader = list(group.yardsticks), group.leader()
    group.run_measured(WINDOW_S)
    each = [(a - b) / WINDOW_S for a, b in zip(group.yardsticks, yardsticks_before, strict=True)]
    return sum(each) / group.count, each[leader]


def measure_idle(groups: Sequence[MeasuredGroup]) -> dict[str, list[float]]:
    """Measures groups without events.

    The groups run in turn, one window each, several times over. For processor time the median of a group's
    windows counts.

    Returns:
        Values by name, one for each group.
    """
    before = [(group.now, list(group.sent_bytes), list(group.sent_datagrams)) for group in groups]
    windows = [[measure_window(group) for group in groups] for _ in range(WINDOW_COUNT)]
    values_by_name: dict[str, list[float]] = {}
    for i, group in enumerate(groups):
        began, sent_bytes_before, sent_datagrams_before = before[i]
        span, leader = group.now - began, group.leader()
        byte_rates = [(a - b) / span for a, b in zip(group.sent_bytes, sent_bytes_before, strict=True)]
        datagram_rates = [
            (a - b) / span for a, b in zip(group.sent_datagrams, sent_datagrams_before, strict=True)
        ]
        states = [state_bytes(r.node) for r in group.routers if r.number != leader]
        for name, value in (
            ("member_cpu", PACE.best * statistics.median(row[i][0] for row in windows)),
            ("divider_cpu", PACE.best * statistics.median(row[i][1] for row in windows)),
            ("member_bytes", sum(byte_rates) / group.count),
            ("divider_bytes", max(byte_rates)),
            ("member_datagrams", sum(datagram_rates) / group.count),
            ("divider_datagrams", max(datagram_rates)),
            ("member_state", statistics.median(states)),
        ):
            values_by_name.setdefault(name, []).append(value)
    return values_by_name


def measure_deaths(group: MeasuredGroup, rounds: int, seed: int) -> dict[str, float]:
    """Kills one router after the other, and restarts it once all know and the quota has been divided again.

    The leader is not killed: its death costs a term of its lease in addition, whatever the group size.

    Returns:
        Values by name: the medians of all rounds.
    """
    chance, detection_seconds = random.Random(seed), list[float]()
    division_seconds, start_bytes = list[float](), list[float]()
    for _ in range(rounds):
        number = chance.choice([r.number for r in group.routers if r.number != group.leader()])
        group.changes.clear()
        at = group.now
        group.kill(number)
        group.run_until(group.views_agree)
        detected_after: dict[int, float] = {}
        for when, by, change in group.changes:
            if change.router == number and change.state is MemberState.DEAD:
                detected_after.setdefault(by, when - at)
        detection_seconds.append(statistics.median(detected_after.values()))
        group.run_until(group.is_divided)
        division_seconds.append(group.now - at)
        sent_before, received_before = group.sent_bytes[number], group.received_bytes[number]
        group.start(number)
        router, everyone = group.routers[number], list(range(group.count))

        def sees_everyone(router: Router = router, everyone: list[int] = everyone) -> bool:
            return router.failure_detector.view.alive_routers() == everyone

        group.run_until(sees_everyone)
        start_bytes.append(
            group.sent_bytes[number] - sent_before + group.received_bytes[number] - received_before
        )
        group.run_until(lambda: group.views_agree() and group.is_divided())
    return {
        "death_seconds": statistics.median(detection_seconds),
        "divide_seconds": statistics.median(division_seconds),
        "start_bytes": statistics.median(start_bytes),
    }


def measure_sizes(
    counts: Sequence[int], starts: Sequence[int], kills: Sequence[int], seed: int
) -> dict[str, list[float]]:
    """Measures groups of several sizes; the starts of all sizes take turns.

    Args:
        counts: Routers of each group.
        starts: Starts to measure, for each group.
        kills: Deaths to measure, for each group.
        seed: Seed of all random choices.

    Returns:
        Values by name, in the order of the counts.
    """
    groups: dict[int, MeasuredGroup] = {}
    yardsticks: dict[int, list[float]] = {count: [] for count in counts}
    durations: dict[int, list[float]] = {count: [] for count in counts}
    with collection_disabled():
        for n in range(max(starts)):
            for count, rounds in zip(counts, starts, strict=True):
                if n < rounds:
                    groups[count], start_yardsticks, seconds = start_group(count, seed + n)
                    yardsticks[count].append(start_yardsticks)
                    durations[count].append(seconds)
        for group in groups.values():
            settle_group(group)
        values_by_name = {
            "start_cpu": [PACE.best * statistics.median(yardsticks[count]) for count in counts],
            "start_seconds": [statistics.median(durations[count]) for count in counts],
        } | measure_idle([groups[count] for count in counts])
        for count, rounds in zip(counts, kills, strict=True):
            for name, value in measure_deaths(groups[count], rounds, seed).items():
                values_by_name.setdefault(name, []).append(value)
    return values_by_name


def measure_restarts(
    rates: Sequence[float], seed: int, count: int = RESTARTED_GROUP_SIZE, seconds: float = 8.0
) -> list[float]:
    """Measures a group while routers are killed and restarted at once, as a process manager does.

    Args:
        rates: Restarts per second.
        seed: Seed of all random choices.
        count: Routers in the group.
        seconds: Duration of each rate.

    Returns:
        Mean bytes per second sent by one router, for each rate.
    """
    group, _, _ = start_group(count, seed)
    chance, mean_rates = random.Random(seed), list[float]()
    for rate in rates:
        settle_group(group)
        sent_before, restarts = sum(group.sent_bytes), round(rate * seconds)
        for _ in range(restarts):
            group.run(seconds / restarts)
            number = chance.randrange(count)
            group.kill(number)
            group.start(number)
        mean_rates.append((sum(group.sent_bytes) - sent_before) / seconds / count)
    return mean_rates


def measure_losses(
    percents: Sequence[float], seed: int, count: int = LOSSY_GROUP_SIZE, seconds: float = 8.0
) -> list[float]:
    """Measures a group while datagrams are lost.

    Args:
        percents: Lost datagrams in percent.
        seed: Seed of all random choices.
        count: Routers in the group.
        seconds: Duration of each loss.

    Returns:
        Mean bytes per second sent by one router, for each loss.
    """
    group, _, _ = start_group(count, seed)
    mean_rates = list[float]()
    for percent in percents:
        settle_group(group)
        group.network_faults = NetworkFaults(loss=percent / 100.0)
        sent_before = sum(group.sent_bytes)
        group.run(seconds)
        mean_rates.append((sum(group.sent_bytes) - sent_before) / seconds / count)
        group.network_faults = NetworkFaults()
    return mean_rates
