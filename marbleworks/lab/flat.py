"""What a flat group of routers costs by its size: the group in simulated time, with bytes, datagrams and
processor time counted for each router.

It owns the counting alone. A router's processor time is all that is done at its events: its timers, and
datagrams that come, with decoding, decisions and encoding; where it sends, the simulated network stands in
for the socket, and takes less. What a socket and an actor cost besides, hollow routers show.
"""

from __future__ import annotations

import heapq
import random
import statistics
import time
from collections.abc import Callable, Sequence
from typing import Any

from marbleworks.lab.group import Group, Router, Weather
from marbleworks.lab.meter import OWN, PACE, state, uncollected
from marbleworks.membership.messages import MemberState

LOOK, SOON = 0.02, 0.002  # seconds between looks at whether a group has come to something, or has started
WITHIN = 30.0  # seconds in which it must
SETTLES = 1.2  # seconds that a group is left alone before it is measured
WINDOW = 1.2  # seconds of a window over which processor time is counted, two rounds of votes ...
WINDOWS = 7  # ... of which the middle one counts
CHURNED, LOSSY = 48, 24  # routers of the group that is restarted, and of that which loses datagrams


class Counted(Group):
    """A group that counts, by router: bytes and datagrams sent, bytes heard, processor time in yardsticks."""

    def __init__(self, count: int, seed: int) -> None:
        self.sent_datagrams, self.heard_bytes, self.spent = [0] * count, [0] * count, [0.0] * count
        super().__init__(count, seed)

    def send(self, sender: int, to: int, data: bytes) -> None:
        self.sent_datagrams[sender] += 1
        super().send(sender, to, data)

    def passes(self, seconds: float) -> None:
        """As `run`, with each event's processor time on the account of its router."""
        end, line, measure = self.now + seconds, self.line, time.process_time
        while line and line[0][0] <= end:
            when, _, what, args = heapq.heappop(line)
            self.now = max(self.now, when)
            number = self._whose(what, args)
            began = measure()
            what(*args)
            self.spent[number] += PACE.held(max(measure() - began - OWN, 0.0))
        self.now = end

    def _whose(self, what: Any, args: Any) -> int:
        owner = getattr(what, "__self__", None)
        if isinstance(owner, Router):
            return owner.number
        to: int = args[1]
        if self.routers[to].alive:
            self.heard_bytes[to] += len(args[2])
        return to

    def until(self, true: Callable[[], bool], step: float = LOOK) -> float:
        """Seconds until it is, looked at in such steps. RuntimeError where it does not come to be."""
        began = self.now
        while not true():
            if self.now > began + WITHIN:
                raise RuntimeError(f"a group of {self.count} did not come to it in {WITHIN:.0f} s")
            self.passes(step)
        return self.now - began

    def divider(self) -> int:
        return next(iter(self.dividers()), -1)

    def divided(self) -> bool:
        """Whether one divides among all that live, and its division may be used."""
        number = self.divider()
        rights = self.routers[number].rights if number >= 0 else None
        there = {router.number for router in self.living()}
        return (
            rights is not None
            and rights.division_active
            and not rights.division_pending
            and set(rights.index_by_router) == there
        )


def started(count: int, seed: int) -> tuple[Counted, float, float]:
    """A group whose routers start all at once, from nothing; yardsticks of all, and seconds."""
    PACE.yardstick()
    group = Counted(count, seed)
    took = group.until(group.agreed, SOON)
    return group, sum(group.spent), took


def settled(group: Counted) -> None:
    """As a group is that started long ago. News of a start of all is told on for seconds that grow with the
    group and its logarithm (some 45 at 200 routers), and views count as different until each two have spoken;
    all agree by now, and here both count as over."""
    group.until(lambda: group.agreed() and group.divided())
    for router in group.routers:
        router.members.gossip.transmissions.clear()
        for member in router.members.view.members.values():
            member.differs_since = None
    group.run(SETTLES)


def window(group: Counted) -> tuple[float, float]:
    """Yardsticks a second, mean and the divider's, while nothing happens."""
    PACE.yardstick()
    spent, divider = list(group.spent), group.divider()
    group.passes(WINDOW)
    each = [(a - b) / WINDOW for a, b in zip(group.spent, spent, strict=True)]
    return sum(each) / group.count, each[divider]


def steady(groups: Sequence[Counted]) -> dict[str, list[float]]:
    """Nothing happens. Windows of all groups in turn: for processor time the middle one of each group."""
    before = [(group.now, list(group.sent_bytes), list(group.sent_datagrams)) for group in groups]
    seen = [[window(group) for group in groups] for _ in range(WINDOWS)]
    found: dict[str, list[float]] = {}
    for i, group in enumerate(groups):
        began, sent, datagrams = before[i]
        span, divider = group.now - began, group.divider()
        in_bytes = [(a - b) / span for a, b in zip(group.sent_bytes, sent, strict=True)]
        in_datagrams = [(a - b) / span for a, b in zip(group.sent_datagrams, datagrams, strict=True)]
        states = [state(r.fellow) for r in group.routers if r.number != divider]
        for name, value in (
            ("member_cpu", PACE.best * statistics.median(row[i][0] for row in seen)),
            ("divider_cpu", PACE.best * statistics.median(row[i][1] for row in seen)),
            ("member_bytes", sum(in_bytes) / group.count),
            ("divider_bytes", max(in_bytes)),
            ("member_datagrams", sum(in_datagrams) / group.count),
            ("divider_datagrams", max(in_datagrams)),
            ("member_state", statistics.median(states)),
        ):
            found.setdefault(name, []).append(value)
    return found


def deaths(group: Counted, rounds: int, seed: int) -> dict[str, float]:
    """One router after the other is killed, and started anew once all know and the division has followed. Not
    the divider: its death costs a term of its right besides, whatever the size."""
    chance, known = random.Random(seed), list[float]()
    divides, starts = list[float](), list[float]()
    for _ in range(rounds):
        number = chance.choice([r.number for r in group.routers if r.number != group.divider()])
        group.changes.clear()
        at = group.now
        group.kill(number)
        group.until(group.agreed)
        gone: dict[int, float] = {}
        for when, by, change in group.changes:
            if change.router == number and change.state is MemberState.DEAD:
                gone.setdefault(by, when - at)
        known.append(statistics.median(gone.values()))
        group.until(group.divided)
        divides.append(group.now - at)
        sent, heard = group.sent_bytes[number], group.heard_bytes[number]
        group.start(number)
        router, everyone = group.routers[number], list(range(group.count))

        def knows_all(router: Router = router, everyone: list[int] = everyone) -> bool:
            return router.members.view.alive_routers() == everyone

        group.until(knows_all)
        starts.append(group.sent_bytes[number] - sent + group.heard_bytes[number] - heard)
        group.until(lambda: group.agreed() and group.divided())
    return {
        "death_seconds": statistics.median(known),
        "divide_seconds": statistics.median(divides),
        "start_bytes": statistics.median(starts),
    }


def sizes(
    counts: Sequence[int], starts: Sequence[int], kills: Sequence[int], seed: int
) -> dict[str, list[float]]:
    """Values by name, in the order of the counts; starts, kills: of each. Starts of all sizes in turn."""
    groups: dict[int, Counted] = {}
    spent: dict[int, list[float]] = {count: [] for count in counts}
    took: dict[int, list[float]] = {count: [] for count in counts}
    with uncollected():
        for n in range(max(starts)):
            for count, times in zip(counts, starts, strict=True):
                if n < times:
                    groups[count], cpu, seconds = started(count, seed + n)
                    spent[count].append(cpu)
                    took[count].append(seconds)
        for group in groups.values():
            settled(group)
        found = {
            "start_cpu": [PACE.best * statistics.median(spent[count]) for count in counts],
            "start_seconds": [statistics.median(took[count]) for count in counts],
        } | steady([groups[count] for count in counts])
        for count, times in zip(counts, kills, strict=True):
            for name, value in deaths(groups[count], times, seed).items():
                found.setdefault(name, []).append(value)
    return found


def churned(rates: Sequence[float], seed: int, count: int = CHURNED, seconds: float = 8.0) -> list[float]:
    """Bytes a second of one router, mean, while so many routers a second are killed and started anew at
    once, as a manager of processes does."""
    group, _, _ = started(count, seed)
    chance, out = random.Random(seed), list[float]()
    for rate in rates:
        settled(group)
        sent, times = sum(group.sent_bytes), round(rate * seconds)
        for _ in range(times):
            group.run(seconds / times)
            number = chance.randrange(count)
            group.kill(number)
            group.start(number)
        out.append((sum(group.sent_bytes) - sent) / seconds / count)
    return out


def lossy(percents: Sequence[float], seed: int, count: int = LOSSY, seconds: float = 8.0) -> list[float]:
    """Bytes a second of one router, mean, while so many of a hundred datagrams are lost."""
    group, _, _ = started(count, seed)
    out = list[float]()
    for percent in percents:
        settled(group)
        group.weather = Weather(loss=percent / 100.0)
        sent = sum(group.sent_bytes)
        group.run(seconds)
        out.append((sum(group.sent_bytes) - sent) / seconds / count)
        group.weather = Weather()
    return out
