"""A fleet in cells, in simulated time with the real code: membership and budgets in each cell, wholes leased
from a level above of seven machines; leaders that die, cells that are cut off, routers that move.

It owns the simulated time, the traffic, and the true count of what is in use at the engines. The decisions
are the routers' own. Of a large fleet some cells are whole; of the others the leader tells the level above as
theirs do, with one router's need in its books, since what a cell does among its own is the same in each.
"""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from marbleworks.budgets.allocation_ledger import AllocationLedger
from marbleworks.budgets.budget_catalog import ABANDONED_ATTEMPT_TIMEOUT_S, Budget
from marbleworks.budgets.codec import BudgetAnswer, BudgetUsage, encode_answer, encode_report
from marbleworks.budgets.codec import BudgetReport as Told
from marbleworks.budgets.local_budget import LocalBudgets
from marbleworks.cells.budget_leases import (
    BudgetLeaseGranter,
    BudgetLeaseHolder,
    Hello,
    Places,
    Said,
    Welcome,
    decode,
    encode_hello,
    encode_welcome,
    lifted,
)
from marbleworks.lab.group import Group
from marbleworks.lab.purses import ENDS
from marbleworks.lab.report import Report, percentile
from marbleworks.lab.slopes import Slope, fitted
from marbleworks.membership.messages import MemberState

CELL, SPARE = 20, 2  # routers in a cell, and places for more
MACHINES = 7
KEPT, LEASE, SETTLE, ABOVE = 0.25, 3.0, 4.0 + ABANDONED_ATTEMPT_TIMEOUT_S, 6.0
STEP, EVERY, UP = 0.02, 0.2, 0.4  # seconds: of the simulation, between reports, and between those of a cell
TOOK, LONG = 0.05, 1.5  # seconds of a command, and of one in many
STARTS = 14.0  # seconds until a fleet that begins has divided its wholes
EACH = 8  # units of the whole for each router
PRESSED = 1.25  # times the whole that would be in use if there were room
WHOLE_CELLS = 4  # in a large fleet
MOST_CPU, MOST_STATE, MOST_BYTES = 0.018, 32e6, 6000.0  # allowed a router for control
NUMBER = 9  # of the groups on the wire


def weight(thing: Any, seen: set[int] | None = None) -> int:
    """Bytes of an object and of all that it alone leads to."""
    seen = set() if seen is None else seen
    if id(thing) in seen or isinstance(thing, type) or callable(thing):
        return 0
    seen.add(id(thing))
    total = sys.getsizeof(thing)
    if isinstance(thing, dict):
        total += sum(weight(key, seen) + weight(value, seen) for key, value in thing.items())
    elif isinstance(thing, list | tuple | set | frozenset) or hasattr(thing, "popleft"):
        total += sum(weight(item, seen) for item in thing)
    elif isinstance(thing, random.Random):
        return total
    else:
        names = [name for kind in type(thing).__mro__ for name in getattr(kind, "__slots__", ())]
        total += sum(weight(getattr(thing, name), seen) for name in names if hasattr(thing, name))
        total += weight(thing.__dict__, seen) if hasattr(thing, "__dict__") else 0
    return total


def encoded(said: Said) -> bytes:
    if isinstance(said, Hello):
        return encode_hello(NUMBER, said)
    if isinstance(said, Welcome):
        return encode_welcome(NUMBER, said)
    return encode_report(NUMBER, said) if isinstance(said, Told) else encode_answer(NUMBER, said)


@dataclass
class Spent:
    """By one router or machine: processor seconds, and bytes sent for budgets."""

    cpu: float = 0.0
    sent: int = 0

    @contextmanager
    def counted(self) -> Iterator[None]:
        began = time.process_time()
        yield
        self.cpu += time.process_time() - began


def counted(group: Group, spents: dict[int, Spent]) -> None:
    """What its routers' handlers of membership cost, from now on."""
    for peer in group.routers:
        for name in ("ring", "heard"):
            setattr(peer, name, _timed(getattr(peer, name), spents, peer.number))


def _timed(handler: Callable[..., None], spents: dict[int, Spent], number: int) -> Callable[..., None]:
    def timed(*args: Any) -> None:
        with spents[number].counted():
            handler(*args)

    return timed


@dataclass(eq=False)
class Router:
    """One process: where it is, and the commands that it has out."""

    number: int  # in the fleet, for its traffic
    purse: LocalBudgets
    place: int = 0
    ends: list[float] = field(default_factory=list)
    queue: int = 0
    spent: Spent = field(default_factory=Spent)
    ledger: AllocationLedger | None = None
    lessee: BudgetLeaseHolder | None = None
    reign: int = 0
    moved: float = 0.0


class Fleet:
    """cells: in all, of which so many are whole. size: routers of a cell. long: part of commands that take
    LONG."""

    def __init__(self, cells: int, size: int, seed: int, whole_cells: int, long: float = 0.0) -> None:
        self.long = long
        self.cells, self.size, self.seed, self.now = cells, size, seed, 0.0
        self.chance, self.places = random.Random(seed), size + SPARE
        self.shares = cells * self.places
        self.whole = Budget("w", EACH * cells * size, 0.0, SETTLE)
        self.groups = [Group(self.places, seed + c, hold=True) for c in range(min(cells, whole_cells))]
        self.level = Group(MACHINES, seed + 7919)
        self.lessors: dict[int, BudgetLeaseGranter] = {}
        self.machines = {m: Spent() for m in range(MACHINES)}
        counted(self.level, self.machines)
        self.at: list[dict[int, Router]] = [{} for _ in self.groups]  # routers by place
        self.spents = [{p: Spent() for p in range(self.places)} for _ in self.groups]
        self.orphans: list[float] = []  # ends of units of processes that are no more
        self.cut: set[int] = set()
        self.mail: list[Callable[[], None]] = []
        count = len(self.groups) * size
        self.ranks = list(range(count))
        harmonic = [1.0 / (n + 1) for n in range(count)]
        there = self.whole.units * len(self.groups) / cells
        unit = PRESSED * there / (TOOK * (1.0 - long) + LONG * long) / sum(harmonic)
        self.rates = [unit * part for part in harmonic]
        self.uses: list[tuple[float, int]] = []
        self.over = 0
        for c, group in enumerate(self.groups):
            counted(group, self.spents[c])
            for p in range(size):
                self.at[c][p] = self._router(c * size + p, p, -60.0)
                group.at(0.2 * self.chance.random(), group.routers[p].ring)
        self.light = [Light(self, c) for c in range(len(self.groups), cells)]

    def clock(self) -> float:
        return 1000.0 + self.now

    def _router(self, number: int, place: int, began: float) -> Router:
        purse = LocalBudgets(place, self.places, KEPT, LEASE, self.clock() + began, self.shares)
        purse.set_budgets([self.whole], self.clock())
        return Router(number, purse, place)

    # Time passes.

    def run(self, seconds: float, each: Callable[[], None] | None = None) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            mail, self.mail = self.mail, []
            for comes in mail:
                comes()
            self.level.run(self.now - self.level.now)
            turn = round(self.now / STEP)
            for c, group in enumerate(self.groups):
                group.run(self.now - group.now)
                for place, router in list(self.at[c].items()):
                    self._traffic(router)
                    self._control(c, place, router, turn)
            for light in self.light:
                light.control(turn)
            self._machines()
            used = self.used()
            self.over += used > self.whole.units
            self.uses.append((self.now, used))
            if each is not None:
                each()

    def used(self) -> int:
        self.orphans = [end for end in self.orphans if end > self.now]
        return sum(len(r.ends) for at in self.at for r in at.values()) + len(self.orphans)

    def _traffic(self, router: Router) -> None:
        now, pocket = self.clock(), next(iter(router.purse.budgets.values()))
        ended = sum(end <= now for end in router.ends)
        for _ in range(ended):
            router.purse.release(pocket, now, False)
            pocket.record_hold(TOOK)
        router.ends = [end for end in router.ends if end > now]
        for _, beyond in router.purse.overdue(now):
            for end in sorted(router.ends)[-beyond:]:
                router.ends.remove(end)
                router.purse.release(pocket, now, True)
                self.orphans.append(self.now + ENDS)
        rate = self.rates[self.ranks[router.number]] * STEP
        comes = int(rate) + (self.chance.random() < rate % 1.0)
        pocket.arrivals += comes
        router.queue = min(router.queue + comes, int(30 * rate) + 2)
        while router.queue and pocket.has_room(now):
            router.purse.acquire(pocket, now)
            router.ends.append(now + (LONG if self.chance.random() < self.long else TOOK))
            router.queue -= 1
        pocket.waiting.update(str(i) for i in range(min(router.queue, 64)))

    def _control(self, c: int, place: int, router: Router, turn: int) -> None:
        """What the treasurer does, at this moment."""
        every, up = round(EVERY / STEP), round(UP / STEP)
        if turn % every != place % every and turn % up != place % up:
            return
        peer, spent = self.groups[c].routers[place], self.spents[c][place]
        if not peer.alive:
            return
        now = self.clock()
        with spent.counted():
            heed = peer.fellow.leader_ref(peer.clock())
            if heed.leader_until <= peer.clock():
                router.ledger = router.lessee = None
            elif router.ledger is None or heed.term != router.reign:
                self._leads(c, place, router, heed.generation, heed.term)
            if turn % up == place % up and router.lessee is not None:
                for machine, said in router.lessee.tells(now):
                    data = encoded(said)
                    spent.sent += len(data)
                    self._up(c, machine, data, partial(self._heard_above, c, place, router))
        if turn % every == place % every and heed.generation and heed.leader >= 0 and not heed.superseded:
            with spent.counted():
                reports = router.purse.make_reports(heed.leader, heed.leader_generation, heed.generation, now)
                told = [encode_report(NUMBER, report) for report in reports]
            spent.sent += sum(map(len, told)) if heed.leader != place else 0
            for data in told:
                self.mail.append(partial(self._reported, c, place, heed.leader, data))

    def _leads(self, c: int, place: int, router: Router, start: int, reign: int) -> None:
        now, router.reign = self.clock(), reign
        router.lessee = BudgetLeaseHolder(c, (router.number, start, reign), MACHINES, ABOVE, now)
        router.ledger = AllocationLedger(
            place,
            self.places,
            start,
            reign,
            KEPT,
            LEASE,
            now,
            {self.whole.budget_id: {self.whole.units}},
            Places(self.places, KEPT, self.shares),
            router.lessee,
        )
        router.ledger.set_budgets([self.whole])
        router.lessee.books = router.ledger

    def _reported(self, c: int, place: int, to: int, data: bytes) -> None:
        leader, peer = self.at[c].get(to), self.groups[c].routers[to]
        if leader is None or leader.ledger is None or not peer.alive or not peer.standing().is_leader:
            return
        spent = self.spents[c][to]
        with spent.counted():
            report = decode(NUMBER, data)
            assert isinstance(report, Told)
            answer = leader.ledger.handle_report(place, report, self.clock())
            back = encode_answer(NUMBER, answer) if answer is not None else b""
        if back:
            spent.sent += len(back) if place != to else 0
            self.mail.append(partial(self._answered, c, place, to, back))

    def _answered(self, c: int, place: int, by: int, data: bytes) -> None:
        router = self.at[c].get(place)
        if router is not None and self.groups[c].routers[place].alive:
            with self.spents[c][place].counted():
                answer = decode(NUMBER, data)
                assert isinstance(answer, BudgetAnswer)
                router.purse.handle_answer(by, answer, self.clock())

    # The level above.

    def _up(self, c: int, machine: int, data: bytes, back: Callable[[bytes, int], None]) -> None:
        if c not in self.cut:
            self.mail.append(partial(self._comes_up, c, machine, data, back))

    def _comes_up(self, c: int, machine: int, data: bytes, back: Callable[[bytes, int], None]) -> None:
        lessor, peer = self.lessors.get(machine), self.level.routers[machine]
        if lessor is None or not peer.alive or not peer.standing().is_leader or c in self.cut:
            return
        spent = self.machines[machine]
        with spent.counted():
            said, answer = decode(NUMBER, data), None
            if isinstance(said, Hello):
                answer = lessor.hello(said)
            elif isinstance(said, Told):
                answer = lessor.reported(c, said, self.clock())  # type: ignore[assignment]
            answered = encoded(answer) if answer is not None else b""
        if answered:
            spent.sent += len(answered)
            self.mail.append(partial(back, answered, machine))

    def _heard_above(self, c: int, place: int, router: Router, data: bytes, by: int) -> None:
        peer = self.groups[c].routers[place]
        if router.lessee is not None and peer.alive and peer.standing().is_leader and c not in self.cut:
            with self.spents[c][place].counted():
                said = decode(NUMBER, data)
                assert isinstance(said, Welcome | BudgetAnswer)
                router.lessee.heard(by, said, self.clock())

    def _machines(self) -> None:
        for machine, peer in enumerate(self.level.routers):
            heed = peer.fellow.leader_ref(peer.clock())
            if not peer.alive or heed.leader_until <= peer.clock():
                self.lessors.pop(machine, None)
            elif machine not in self.lessors or self.lessors[machine].ledger.term != heed.term:
                seen = {self.whole.budget_id: {self.whole.units}}
                self.lessors[machine] = lessor = BudgetLeaseGranter(
                    machine,
                    self.cells,
                    self.shares,
                    heed.generation,
                    heed.term,
                    KEPT,
                    ABOVE,
                    self.clock(),
                    seen,
                )
                lessor.ledger.set_budgets([lifted(self.whole, LEASE)])

    # Faults.

    def leader(self, c: int) -> int:
        """Its place; -1: there is none."""
        return next((p for p, r in self.at[c].items() if r.lessee is not None and self.alive(c, p)), -1)

    def alive(self, c: int, place: int) -> bool:
        peer = self.groups[c].routers[place]
        return peer.alive and peer.standing().is_leader

    def kill(self, c: int, place: int) -> Router:
        self.groups[c].kill(place)
        router = self.at[c].pop(place)
        self.orphans += [self.now + ENDS for _ in router.ends]
        return router

    def start(self, c: int, place: int, number: int) -> None:
        self.at[c][place] = self._router(number, place, 0.0)
        self.groups[c].start(place)

    def move(self, c: int, place: int, to: int) -> int:
        """A router to another cell, by another plan; its new place."""
        self.groups[c].kill(place)
        router = self.at[c].pop(place)
        router.place = next(p for p in range(self.places) if p not in self.at[to])
        router.ledger = router.lessee = None
        router.purse.move_to_group(router.place, self.clock())
        self.at[to][router.place] = router
        self.groups[to].start(router.place)
        return router.place

    # What is seen.

    def use(self, start: float, end: float, of: float = 0.0) -> float:
        seen = [used for at, used in self.uses if start <= at < end]
        return sum(seen) / max(len(seen), 1) / (of or self.whole.units)

    def cell_use(self, c: int) -> int:
        return sum(len(router.ends) for router in self.at[c].values())


class Light:
    """A cell of which only its leader is seen, with one router's need in its books."""

    def __init__(self, fleet: Fleet, cell: int) -> None:
        self.fleet, self.cell, now = fleet, cell, fleet.clock()
        self.lessee = BudgetLeaseHolder(cell, (cell * fleet.size, 1, 1), MACHINES, ABOVE, now)
        kept = Places(fleet.places, KEPT, fleet.shares)
        whole = fleet.whole
        seen = {whole.budget_id: {whole.units}}
        self.ledger = AllocationLedger(0, fleet.places, 1, 1, KEPT, LEASE, now, seen, kept, self.lessee)
        self.ledger.set_budgets([whole])
        self.lessee.books, self.token = self.ledger, 0
        self.entry = BudgetUsage(whole.budget_id, 0, 0, 0, 5 * fleet.size, 1.0, whole.units, 1, 0)

    def control(self, turn: int) -> None:
        fleet, now = self.fleet, self.fleet.clock()
        if turn % round(EVERY / STEP) == self.cell % round(EVERY / STEP):
            self.token += 1
            told = Told(1, 1, 1, self.token, 1, 1, False, 60_000, (self.entry,))
            answer = self.ledger.handle_report(0, told, now)
            for grant in answer.grants if answer is not None else ():
                e, units = self.entry, grant.leased_units
                self.entry = BudgetUsage(
                    e.budget_id, grant.serial, units, units, 5 * fleet.size, 1.0, e.total_units, 1, 0
                )
        if turn % round(UP / STEP) == self.cell % round(UP / STEP):
            for machine, said in self.lessee.tells(now):
                fleet._up(self.cell, machine, encoded(said), self._heard)

    def _heard(self, data: bytes, by: int) -> None:
        said = decode(NUMBER, data)
        assert isinstance(said, Welcome | BudgetAnswer)
        self.lessee.heard(by, said, self.fleet.clock())


# What it costs.

NAMES = {
    "cell_cpu": "processor seconds a second of one router for control (mean)",
    "cell_bytes": "bytes a second sent by one router for control (mean)",
    "cell_state": "bytes of state of one router for control (mean)",
    "cell_leader_cpu": "processor seconds a second of the busiest router, a cell's leader",
    "cell_leader_bytes": "bytes a second sent by the busiest router, a cell's leader",
    "cell_leader_state": "bytes of state of the largest router, a cell's leader",
    "level_cpu": "processor seconds a second of the busiest machine of the level above",
    "level_bytes": "bytes a second sent by the busiest machine of the level above",
    "level_state": "bytes of state of the largest machine of the level above",
}


def cost(fleet: Fleet, seconds: float) -> dict[str, float]:
    """Figures by name of so many seconds; `use`: of the whole, while more is wanted, where all cells are
    whole; `over`: moments above the whole."""
    for spents in [*fleet.spents, fleet.machines]:
        for spent in spents.values():
            spent.cpu, spent.sent = 0.0, 0
    for group in [*fleet.groups, fleet.level]:
        group.sent_bytes = [0] * group.count
    began = fleet.now
    fleet.run(seconds)
    cpu, sent, state = list[float](), list[float](), list[float]()
    for c, group in enumerate(fleet.groups):
        for place, router in fleet.at[c].items():
            spent = fleet.spents[c][place]
            cpu.append(spent.cpu / seconds)
            sent.append((spent.sent + group.sent_bytes[place]) / seconds)
            held = [group.routers[place].fellow, router.purse, router.ledger, router.lessee]
            state.append(float(weight(held)))
    machines = [m.cpu / seconds for m in fleet.machines.values()]
    told = [(m.sent + fleet.level.sent_bytes[n]) / seconds for n, m in fleet.machines.items()]
    kept = [float(weight([peer.fellow, fleet.lessors.get(n)])) for n, peer in enumerate(fleet.level.routers)]
    return {
        "cell_cpu": sum(cpu) / len(cpu),
        "cell_bytes": sum(sent) / len(sent),
        "cell_state": sum(state) / len(state),
        "cell_leader_cpu": max(cpu),
        "cell_leader_bytes": max(sent),
        "cell_leader_state": max(state),
        "level_cpu": max(machines),
        "level_bytes": max(told),
        "level_state": max(kept),
        "use": fleet.use(began, fleet.now),
        "over": float(fleet.over),
    }


def flat(routers: int, seed: int, seconds: float = 6.0) -> tuple[float, float]:
    """Processor time and bytes a second of the busiest router of one flat group, for membership alone."""
    group, spents = Group(routers, seed), {n: Spent() for n in range(routers)}
    group.run(12.0)
    counted(group, spents)
    group.sent_bytes = [0] * routers
    group.run(seconds)
    return max(s.cpu for s in spents.values()) / seconds, max(group.sent_bytes) / seconds


def flat_deaths(routers: int, kills: int, seed: int) -> float:
    """Median seconds until a death is known in one flat group of that size, of routers killed in turn."""
    group, chance, known = Group(routers, seed), random.Random(seed), list[float]()
    group.run(15.0)
    for _ in range(kills):
        number, at = chance.randrange(routers), group.now
        group.changes.clear()
        group.kill(number)
        group.run(8.0)
        known += _known(group, number, at, [r.number for r in group.living()])
        group.start(number)
        group.run(8.0)
    return percentile(known, 50)


def _known(group: Group, number: int, at: float, there: list[int]) -> list[float]:
    """Seconds since then until each of those knew that router to be gone; 10 for one that does not."""
    first: dict[int, float] = {}
    for when, by, change in group.changes:
        if change.router == number and change.state is MemberState.DEAD:
            first.setdefault(by, when - at)
    return [first.get(n, 10.0) for n in there]


SIZES = (100, 200, 400, 800, 1600, 2400, 3200, 4600)
QUICK = (40, 60, 80, 100, 120, 200)


def measured(seed: int, quick: bool) -> dict[int, dict[str, float]]:
    """Figures by fleet size. All sizes run in turn, a little each time: of processor time the least of these
    turns counts, since what else a machine does makes the same work take up to half as much again."""
    sizes, whole = (QUICK, 2) if quick else (SIZES, WHOLE_CELLS)
    fleets = {size: Fleet(size // CELL, CELL, seed, whole) for size in sizes}
    for fleet in fleets.values():
        fleet.run(STARTS)
    turns = [{size: cost(fleet, 2.0) for size, fleet in fleets.items()} for _ in range(2 if quick else 5)]
    out = dict[int, dict[str, float]]()
    for size in fleets:
        found = [turn[size] for turn in turns]
        means = {name: sum(f[name] for f in found) / len(found) for name in found[0]}
        out[size] = means | {name: min(f[name] for f in found) for name in means if name.endswith("cpu")}
    return out


def fits(by_size: dict[int, dict[str, float]], seed: int) -> list[Slope]:
    return [
        fitted(
            name,
            what,
            "routers in the fleet",
            "simulated",
            list(by_size),
            [found[name] for found in by_size.values()],
            seed,
        )
        for name, what in NAMES.items()
    ]


def slopes(seed: int, quick: bool) -> list[Slope]:
    return fits(measured(seed, quick), seed)


# Days with faults.


@dataclass
class Day:
    """known: seconds until a death was known at a router of its cell. after: use of the whole by seconds
    after a leader's death, as a part of what it was before; led: seconds until its cell was leased again.
    kept, based: what a cell that is cut off used while its lease held and later, as a part of what it was;
    back: seconds until it had four fifths of that again."""

    known: list[float] = field(default_factory=list)
    after: list[list[float]] = field(default_factory=list)
    led: list[float] = field(default_factory=list)
    kept: list[float] = field(default_factory=list)
    based: list[float] = field(default_factory=list)
    back: list[float] = field(default_factory=list)
    deaths: int = 0
    cuts: int = 0
    plans: int = 0
    over: int = 0
    moments: int = 0


def mean_use(fleet: Fleet, seconds: float, c: int = -1) -> float:
    """Units in use over that time, of one cell or of all."""
    seen = list[int]()
    fleet.run(seconds, lambda: seen.append(fleet.cell_use(c) if c >= 0 else fleet.used()))
    return sum(seen) / max(len(seen), 1)


def leader_dies(fleet: Fleet, c: int, day: Day) -> None:
    place = fleet.leader(c)
    if place < 0:
        return
    before, group = mean_use(fleet, 1.0), fleet.groups[c]
    group.changes.clear()
    at, router = fleet.now, fleet.kill(c, place)
    day.deaths += 1
    after, led = list[float](), -1.0
    for _ in range(10):
        after.append(mean_use(fleet, 1.0) / max(before, 1.0))
        leader = fleet.leader(c)
        lessee = fleet.at[c][leader].lessee if leader >= 0 else None
        if (
            led < 0
            and lessee is not None
            and any(p.valid_lease_units(fleet.clock()) for p in lessee.budgets.values())
        ):
            led = fleet.now - at
    day.after.append(after)
    day.led.append(led if led >= 0 else 10.0)
    day.known += _known(group, place, at, sorted(fleet.at[c]))
    fleet.start(c, place, router.number)
    fleet.run(4.0)


def is_cut(fleet: Fleet, c: int, day: Day) -> None:
    before = max(mean_use(fleet, 1.0, c), 1.0)
    fleet.cut.add(c)
    day.cuts += 1
    day.kept.append(mean_use(fleet, ABOVE - 1.0, c) / before)
    fleet.run(LEASE + 3.0)
    day.based.append(mean_use(fleet, 3.0, c) / before)
    fleet.cut.discard(c)
    at, ends = fleet.now, fleet.now + 12.0
    while fleet.now < ends and mean_use(fleet, 0.5, c) < 0.8 * before:
        pass
    day.back.append(fleet.now - at)


def plan_changes(fleet: Fleet, c: int, day: Day, chance: random.Random) -> None:
    """Some routers of a cell are of the next one from now on, and later of this one again; leaders too."""
    to = (c + 1) % len(fleet.groups)
    places = chance.sample(sorted(fleet.at[c]), min(SPARE, len(fleet.at[c])))
    if chance.random() < 0.3 and fleet.leader(c) >= 0:
        places[0] = fleet.leader(c)
    day.plans += 1
    moved = [fleet.move(c, place, to) for place in dict.fromkeys(places)]
    fleet.run(chance.choice([1.0, 5.0]))
    for place in moved:
        fleet.move(to, place, c)
    fleet.run(5.0)


def faults(seed: int, cells: int, size: int, times: int) -> Day:
    """So many leaders' deaths, cuts from above and plans each, in turn, with commands some of which are
    long."""
    fleet, day, chance = Fleet(cells, size, seed, cells, 0.02), Day(), random.Random(seed)
    fleet.run(STARTS + 4.0)
    for n in range(times):
        leader_dies(fleet, n % cells, day)
        is_cut(fleet, (n + 1) % cells, day)
        plan_changes(fleet, (n + 2) % cells, day, chance)
    day.over, day.moments = fleet.over, len(fleet.uses)
    return day


def shift(seed: int, cells: int, size: int) -> tuple[float, float]:
    """Seconds until the router that all come to now, in another cell, has most of what it gets in the end;
    use of the whole before."""
    fleet = Fleet(cells, size, seed, cells)
    fleet.run(STARTS + 6.0)
    use, half = fleet.use(fleet.now - 4.0, fleet.now), cells * size // 2
    fleet.ranks = fleet.ranks[half:] + fleet.ranks[:half]
    hot = fleet.at[half // size][half % size]
    pocket, tops = next(iter(hot.purse.budgets.values())), list[int]()
    fleet.run(8.0, lambda: tops.append(pocket.max_units(fleet.clock())))
    later = sum(tops[-50:]) / 50
    return next((STEP * i for i, top in enumerate(tops) if top >= 0.8 * later), 8.0), use


def run(report: Report, seed: int, quick: bool) -> None:
    by_size = measured(seed, quick)
    for size, found in by_size.items():
        report.rows.append({"fleet": f"{size} routers in cells of {CELL}"} | _row(found))
        report.figures |= {f"{size}_{name}": value for name, value in found.items()}
    report.claim(
        "processor time of the busiest router, of a core, at every size",
        max(found["cell_leader_cpu"] for found in by_size.values()),
        MOST_CPU,
    )
    report.claim(
        "bytes a second of the busiest router, at every size",
        max(found["cell_leader_bytes"] for found in by_size.values()),
        MOST_BYTES,
    )
    report.claim(
        "bytes of state of the largest router, at every size",
        max(found["cell_leader_state"] for found in by_size.values()),
        MOST_STATE,
    )
    report.claim(
        "processor time of the busiest machine above, of a core, at every size",
        max(found["level_cpu"] for found in by_size.values()),
        1.0,
    )
    report.claim(
        "bytes of state of the largest machine above, at every size",
        max(found["level_state"] for found in by_size.values()),
        MOST_STATE,
    )
    for slope in fits(by_size, seed):
        for end, value in (("exponent", slope.exponent), ("low", slope.low), ("high", slope.high)):
            report.figures[f"{slope.name}_{end}"] = value
        report.figures[f"{slope.name}_held_out"] = slope.error
        if slope.name.startswith("cell_"):
            rises = 0.0 if slope.low <= 0.0 <= slope.high else slope.exponent
            report.claim(
                f"{slope.name}: exponent against the fleet's size, 0 where its interval holds 0",
                rises,
                LOGARITHMIC,
            )
            grown = slope.ys[-1] / slope.ys[0]
            report.claim(
                f"{slope.name}: times its value at {slope.xs[0]:.0f} routers at {slope.xs[-1]:.0f}",
                grown,
                GROWN,
            )
    for count in (48,) if quick else (48, 96):
        cpu, sent = flat(count, seed)
        row = {"busiest router, of a core": f"{cpu:.4f}", "its bytes a second": round(sent)}
        report.rows.append({"fleet": f"{count} routers in one group, membership alone"} | row)
        report.figures |= {f"flat_{count}_cpu": cpu, f"flat_{count}_bytes": sent}
    for count in (CELL,) if quick else (7, CELL, 48):
        known = flat_deaths(count, 3 if quick else 10, seed)
        report.figures[f"flat_{count}_death_known_p50_s"] = known
    day = faults(seed, 2, CELL, 2) if quick else faults(seed, 4, CELL, 20)
    after = [sum(values) / len(values) for values in zip(*day.after, strict=True)]
    report.figures |= {
        "moments": day.moments,
        "leader_deaths": day.deaths,
        "cuts": day.cuts,
        "plans": day.plans,
        "death_known_p50_s": percentile(day.known, 50),
        "death_known_p99_s": percentile(day.known, 99),
        "least_use_after_a_leaders_death": min(after),
        "leased_again_p50_s": percentile(day.led, 50),
        "leased_again_most_s": max(day.led),
        "cut_use_leased": sum(day.kept) / len(day.kept),
        "cut_use_bases": sum(day.based) / len(day.based),
        "cut_back_p50_s": percentile(day.back, 50),
    }
    report.claim("moments above the whole, through deaths of leaders, cuts and plans", day.over, 0)
    report.claim("seconds until a death is known in its cell, median", percentile(day.known, 50), 1.6)
    report.claim(
        "leaders' deaths, cuts and plans, the fewest",
        min(day.deaths, day.cuts, day.plans),
        2 if quick else 20,
        least=True,
    )
    follows, use = shift(seed, 2 if quick else 6, CELL)
    report.figures |= {"shift_between_cells_s": follows}
    report.claim("use of the whole while more is wanted", use, 0.85, least=True)
    report.charts.append(
        (
            "use of the whole after a leader's death",
            "seconds",
            "part of what it was before",
            {"all cells": ([n + 0.5 for n in range(len(after))], after)},
        )
    )


LOGARITHMIC = 0.05  # an exponent below which a figure grows no faster than with the logarithm, here
GROWN = 1.15  # times, from the smallest fleet to the largest, that a router's figure may differ


def _row(found: dict[str, float]) -> dict[str, Any]:
    return {
        "a router, of a core": f"{found['cell_cpu']:.4f}",
        "bytes a second": round(found["cell_bytes"]),
        "busiest router, of a core": f"{found['cell_leader_cpu']:.4f}",
        "its bytes a second": round(found["cell_leader_bytes"]),
        "its state": round(found["cell_leader_state"]),
        "busiest machine above, of a core": f"{found['level_cpu']:.4f}",
        "machine's bytes a second": round(found["level_bytes"]),
        "machine's state": round(found["level_state"]),
    }
