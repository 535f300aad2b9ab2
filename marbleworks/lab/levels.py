"""Leases between levels without sockets: two cells of three routers and one level above, on a network that
loses, doubles and delays at will, with clocks that run unevenly, leaders and machines that are followed by
others, cells cut off from above, and routers that move between cells.

It owns the true count of what is in use at the engines of the whole fleet, and objects when that is more than
the whole. The decisions are the router's own.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from marbleworks.budgets.allocation_ledger import AllocationLedger
from marbleworks.budgets.budget_catalog import ABANDONED_ATTEMPT_TIMEOUT_S, Budget
from marbleworks.budgets.codec import BudgetAnswer, BudgetReport
from marbleworks.budgets.local_budget import LocalBudgets
from marbleworks.cells.budget_leases import (
    BudgetLeaseGranter,
    BudgetLeaseHolder,
    Hello,
    Places,
    Said,
    Welcome,
    lifted,
)
from marbleworks.lab.explore import every_order
from marbleworks.lab.purses import LEASE, WEIGHTS, Fleet, drawn
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT

ABOVE = 1.5  # seconds of a cell's lease
CELLS, PLACES = 2, 4  # routers leave a place free, to move to
SHARES = CELLS * PLACES
MACHINES = 2
MOST_LATE = 12  # datagrams on their way
LOOKS = 0.1  # seconds between a router's looks for what has to be called off


@dataclass
class Desk:
    """What a router has as the leader of a cell."""

    ledger: AllocationLedger
    lessee: BudgetLeaseHolder


@dataclass
class Cell:
    """leader: who has the right; -1: nobody. desks: of all who had it and don't know better."""

    leader: int = -1
    members: dict[int, int] = field(default_factory=dict)  # a router by place
    starts: dict[int, int] = field(default_factory=dict)  # of the last one in a place
    desks: dict[int, Desk] = field(default_factory=dict)


@dataclass(frozen=True)
class Letter:
    """said: by a router (or a machine above, where `above`) to another. cell: whose it is; place: of the
    router that is not its leader."""

    sender: int
    to: int
    cell: int
    place: int
    above: bool
    said: Said

    def name(self) -> str:
        return f"{self.sender}>{self.to}{'^' if self.above else ''} {type(self.said).__name__}"


@dataclass
class World(Fleet):
    """tops: paces of the clocks of the machines above."""

    tops: list[float] = field(default_factory=lambda: [1.0 + MAX_CLOCK_DRIFT / 2, 1.0 - MAX_CLOCK_DRIFT / 2])
    top: int = -1
    lessor: BudgetLeaseGranter | None = None
    top_starts: list[int] = field(default_factory=lambda: [1] * MACHINES)
    reigns: int = 0
    top_whole: Budget | None = None
    cells: list[Cell] = field(default_factory=list)
    home: dict[int, tuple[int, int]] = field(default_factory=dict)  # cell and place, by router
    cut: set[int] = field(default_factory=set)  # cells that are cut off from above
    mute: set[int] = field(default_factory=set)  # routers whose datagrams get lost
    stale: set[int] = field(default_factory=set)  # routers that don't hear of a new leader
    heeds: dict[int, int] = field(default_factory=dict)  # whom a router tells
    flying: list[Letter] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.top_whole = self.wholes[0]
        self.cells = [Cell() for _ in range(CELLS)]
        for n in range(len(self.routers)):
            cell, place = n % CELLS, n // CELLS
            self.cells[cell].members[place], self.home[n] = n, (cell, place)
            self.cells[cell].starts[place] = 1

    def _purse(self, number: int) -> LocalBudgets:
        began = self.clock(number) if self.now else 0.0
        purse = LocalBudgets(number, PLACES, self.kept, LEASE, began, SHARES)
        purse.set_budgets([self.wholes[number]], self.clock(number))
        return purse

    def above(self, machine: int) -> float:
        """A machine's clock."""
        return 500.0 + self.now * self.tops[machine]

    def may(self, cell: int, number: int) -> bool:
        """Whether it leads, by its own clock: also one that stood still asks that before it acts."""
        return self.cells[cell].leader == number

    # Acts.

    def passes(self, step: float) -> None:
        while step > 1e-9:
            super().passes(min(step, LOOKS))
            step -= LOOKS

    def tells(self, number: int) -> None:
        cell, place = self.home[number]
        if number not in self.stale:
            self.heeds[number] = self.cells[cell].leader
        leader = self.heeds.get(number, -1)
        if leader < 0 or self.home[leader][0] != cell:
            return
        self.wants(number)
        router, (_, at) = self.routers[number], self.home[leader]
        start = self.cells[cell].starts[at]
        for report in router.purse.make_reports(
            at, start, self.cells[cell].starts[place], self.clock(number)
        ):
            self.flying.append(Letter(number, leader, cell, place, False, report))

    def leader_tells(self, cell: int, number: int) -> None:
        lessee = self.cells[cell].desks[number].lessee
        for machine, said in lessee.tells(self.clock(number)):
            self.flying.append(Letter(number, machine, cell, -1, True, said))

    def comes(self, i: int, keep: bool) -> None:
        letter = self.flying[i] if keep else self.flying.pop(i)
        said, cell = letter.said, letter.cell
        if letter.above and cell in self.cut:
            return
        if letter.place >= 0 and letter.sender != letter.to and self.mute & {letter.sender, letter.to}:
            return
        if letter.above and isinstance(said, Hello | BudgetReport):
            self._comes_up(letter)
        elif letter.above and isinstance(said, Welcome | BudgetAnswer):
            if self.may(cell, letter.to):
                self.cells[cell].desks[letter.to].lessee.heard(letter.sender, said, self.clock(letter.to))
        elif isinstance(said, BudgetReport):
            if self.may(cell, letter.to):
                now, ledger = self.clock(letter.to), self.cells[cell].desks[letter.to].ledger
                answer = ledger.handle_report(letter.place, said, now)
                if answer is not None:
                    back = Letter(letter.to, letter.sender, cell, letter.place, False, answer)
                    self.flying.append(back)
        elif isinstance(said, BudgetAnswer) and self.home[letter.to] == (cell, letter.place):
            by = next((p for p, n in self.cells[cell].members.items() if n == letter.sender), -1)
            self.routers[letter.to].purse.handle_answer(by, said, self.clock(letter.to))

    def _comes_up(self, letter: Letter) -> None:
        if self.lessor is None or letter.to != self.top:
            return
        said, answer = letter.said, None
        if isinstance(said, Hello):
            answer = self.lessor.hello(said)
        elif isinstance(said, BudgetReport):
            answer = self.lessor.reported(letter.cell, said, self.above(self.top))  # type: ignore[assignment]
        if answer is not None:
            self.flying.append(Letter(self.top, letter.sender, letter.cell, -1, True, answer))

    def leads(self, cell: int, number: int) -> None:
        """The cell's right moves: that of the one before is over by its own clock, and its letters may come
        yet."""
        at, router, now = self.cells[cell], self.routers[number], self.clock(number)
        at.leader = number
        router.reign += 1
        place = self.home[number][1]
        start = at.starts[place]
        lessee = BudgetLeaseHolder(cell, (number, start, router.reign), MACHINES, ABOVE, now)
        ledger = AllocationLedger(
            place,
            PLACES,
            start,
            router.reign,
            self.kept,
            LEASE,
            now,
            {self.wholes[number].budget_id: {self.wholes[number].units}},
            Places(PLACES, self.kept, SHARES),
            lessee,
        )
        ledger.set_budgets([self.wholes[number]])
        lessee.books = ledger
        at.desks[number] = Desk(ledger, lessee)

    def rules(self, machine: int, anew: bool = False) -> None:
        """The right of the level above moves; anew: to one that has just begun."""
        assert self.top_whole is not None
        self.top_starts[machine] += anew
        self.top, self.reigns = machine, self.reigns + 1
        start = self.top_starts[machine]
        seen = {self.top_whole.budget_id: {self.top_whole.units}}
        self.lessor = BudgetLeaseGranter(
            machine, CELLS, SHARES, start, self.reigns, self.kept, ABOVE, self.above(machine), seen
        )
        self.lessor.ledger.set_budgets([lifted(self.top_whole, LEASE)])

    def anew(self, number: int) -> None:
        cell, place = self.home[number]
        self._leaves(number)
        super().anew(number)
        self.cells[cell].starts[place] += 1

    def _leaves(self, number: int) -> None:
        cell = self.cells[self.home[number][0]]
        cell.desks.pop(number, None)
        if cell.leader == number:
            cell.leader = -1

    def moves_to(self, number: int, cell: int, place: int) -> None:
        """By another plan."""
        self._leaves(number)
        was, at = self.home[number]
        del self.cells[was].members[at]
        to = self.cells[cell]
        to.members[place], self.home[number] = number, (cell, place)
        to.starts[place] = to.starts.get(place, 0) + 1
        self.routers[number].purse.move_to_group(place, self.clock(number))

    def rewritten(self, number: int, units: int) -> None:
        """A file has another whole; the router -1: that of the machines above."""
        old = self.wholes[max(number, 0)]
        whole = Budget(old.name, units, old.window_s, old.settle_s)
        if number < 0:
            self.top_whole = whole
            if self.lessor is not None:
                self.lessor.ledger.set_budgets([lifted(whole, LEASE)])
            return
        self.wholes[number] = whole
        self.routers[number].purse.set_budgets([whole], self.clock(number))
        for cell in self.cells:
            if number in cell.desks:
                cell.desks[number].ledger.set_budgets([whole])

    def cuts(self, cell: int) -> None:
        self.cut ^= {cell}

    def lost(self, i: int) -> None:
        self.flying.pop(i)

    def mutes(self, number: int) -> None:
        self.mute ^= {number}

    def ages(self, number: int) -> None:
        self.stale ^= {number}

    def round(self, step: float, twice: bool = False) -> None:
        """Time passes, all that lead and all others tell, and all comes but for what is on its way. twice:
        what leaders tell comes once more, some time."""
        self.passes(step)
        late, self.flying = self.flying, []
        for n in range(len(self.routers)):
            self.tells(n)
        for c, at in enumerate(self.cells):
            if at.leader >= 0:
                self.leader_tells(c, at.leader)
        late += [letter for letter in self.flying if twice and letter.above]
        while self.flying:
            self.comes(0, False)
        self.flying = late[-MOST_LATE:]

    def fills(self, number: int) -> None:
        """It takes and begins all that it may."""
        while self.pocket(number).has_room(self.clock(number)):
            self.take(number)
        while self.routers[number].begins:
            self.begin(number)

    def moves(
        self, step: float, wholes: tuple[int, ...] = (), who: tuple[int, ...] = ()
    ) -> Iterator[tuple[str, Callable[[Any], None]]]:
        """who: routers that act by themselves; none: all."""
        yield f"time {step}", partial(World.passes, step=step)
        yield f"round {step}", partial(World.round, step=min(step, 0.2))
        yield "round twice", partial(World.round, step=0.1, twice=True)
        room = len(self.flying) < MOST_LATE
        for n in who or range(len(self.routers)):
            cell, _ = self.home[n]
            if room and self.cells[cell].leader >= 0:
                yield f"{n} tells", partial(World.tells, number=n)
            yield from self.traffic(n)
            if self.pocket(n).has_room(self.clock(n)):
                yield f"{n} fills", partial(World.fills, number=n)
            if self.cells[cell].leader != n:
                yield f"right of {cell} to {n}", partial(World.leads, cell=cell, number=n)
            else:
                yield f"right of {cell} again", partial(World.leads, cell=cell, number=n)
            yield f"{n} anew", partial(World.anew, number=n)
            yield f"{n} {'is heard' if n in self.mute else 'mute'}", partial(World.mutes, number=n)
            yield f"{n} {'hears' if n in self.stale else 'stale'}", partial(World.ages, number=n)
            for to, other in enumerate(self.cells):
                free = [place for place in range(PLACES) if place not in other.members]
                if to != cell and free:
                    yield f"{n} moved", partial(World.moves_to, number=n, cell=to, place=free[0])
            for units in wholes:
                if units != self.wholes[n].units:
                    yield f"{n} file {units}", partial(World.rewritten, number=n, units=units)
        for c, at in enumerate(self.cells):
            for n in at.desks:
                if room and self.may(c, n):
                    yield f"leader {n} up", partial(World.leader_tells, cell=c, number=n)
            yield f"cut {c}", partial(World.cuts, cell=c)
        for units in wholes:
            if self.top_whole is not None and units != self.top_whole.units:
                yield f"above file {units}", partial(World.rewritten, number=-1, units=units)
        for machine in range(MACHINES):
            yield f"above to {machine}", partial(World.rules, machine=machine)
            yield f"above anew {machine}", partial(World.rules, machine=machine, anew=True)
        for i, letter in enumerate(self.flying):
            yield letter.name(), partial(World.comes, i=i, keep=False)
            yield f"{letter.name()} again", partial(World.comes, i=i, keep=True)
            yield f"{letter.name()} lost", partial(World.lost, i=i)


WEIGHTED = {
    "round twice": 1.0,
    "round": 8.0,
    "time": 1.0,
    "lost": 0.1,
    "again": 0.1,
    "cut": 0.1,
    "above": 0.02,
    "right": 0.04,
    "file": 0.02,
    "moved": 0.04,
    "mute": 0.04,
    "is heard": 0.3,
    "stale": 0.04,
    "hears": 0.3,
    " up": 0.3,
    ">": 0.7,
    "fills": 1.0,
    "ends": 0.1,
    " tells": 0.3,
    **WEIGHTS,
}
PACES = [
    1.0 - MAX_CLOCK_DRIFT / 2,
    1.0 + MAX_CLOCK_DRIFT / 2,
    1.0,
    1.0,
    1.0 + MAX_CLOCK_DRIFT / 2,
    1.0 - MAX_CLOCK_DRIFT / 2,
]


def stroll(
    seed: int, acts: int, span: float = 0.0, units: int = 9, often: dict[str, float] | None = None
) -> int:
    """A random walk of so many acts, which favours what uses the budget up; every second one with wholes that
    change. often: other weights of acts. Raises Broken."""
    weights = (often or {}) | {word: w for word, w in WEIGHTED.items() if word not in (often or {})}
    chance = random.Random(seed)
    settle = span if span else chance.choice([0.3, 1.0]) + ABANDONED_ATTEMPT_TIMEOUT_S
    world = begun(Budget("w", units, span, settle), chance.choice([0.0, 0.25, 0.9]))
    wholes = (units, 2 * units) if seed % 2 else ()
    world.bound = max([units, *wholes])
    warm(world, chance.choice([0, 70]), (chance.randrange(6),))
    for _ in range(acts):
        moves = list(world.moves(chance.choice([0.02, 0.1, 0.3, 0.9]), wholes))
        world.does(*drawn(chance, moves, weights))
    return acts


def begun(whole: Budget, kept: float) -> World:
    world = World([whole] * len(PACES), list(PACES), kept)
    world.rules(0)
    for cell in range(CELLS):
        world.leads(cell, cell)
    return world


def warm(world: World, rounds: int, busy: tuple[int, ...]) -> None:
    """All is told and comes, and the busy ones take what they can."""
    for _ in range(rounds):
        world.round(0.1)
        for n in busy:
            world.fills(n)
        world.check()


def exhaust(depth: int, span: float = 0.0, step: float = 1.2, rounds: int = 80) -> int:
    """Every order of acts to that depth from a fleet of which one cell has all there is to have; the number
    of states. Two routers of the one cell act and one of the other. Raises Broken."""
    world = begun(Budget("w", 3, span, span if span else 0.3 + ABANDONED_ATTEMPT_TIMEOUT_S), 0.0)
    warm(world, rounds, (0,))
    return every_order(world, depth, lambda one: one.moves(step, (), (0, 1, 2)))
