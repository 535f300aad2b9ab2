"""Homes of table groups without sockets: a region's granter, two cells with a leader and routers each, plans
that change, on a network that loses, doubles and delays at will, with clocks that run unevenly.

It owns the true time and what truly runs at the engines, and objects when two cells may take loads of one
table group, or one may while the other's still run. The decisions are the routers' own.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from functools import partial

from marbleworks.cells.home_leases import Ask, Grant, Granter, Here, Leader, Router
from marbleworks.lab.explore import Broken, every_order
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT

LEASE, SETTLE = 1.0, 0.8
DOUBT = 0.3  # seconds for which an engine may go on with a load that ended in doubt
GROUPS = 2


@dataclass(frozen=True)
class Homes:
    """A plan, as far as homes go."""

    number: int
    cells: tuple[int, ...]  # by table group

    def home(self, group: int) -> int:
        return self.cells[group]


@dataclass
class Running:
    """A load at the engines. ends: by true time, at the latest. owner: the router that awaits its end, and
    its start; -1: none."""

    cell: int
    group: int
    ends: float
    owner: int
    start: int
    here: Here


@dataclass
class World:
    """Nodes by number: 0 the region's granter, 1 and 2 the cells' leaders, then the routers, each cell's in
    turn. paces: of their clocks."""

    paces: list[float]
    now: float = 0.0
    newest: Homes = Homes(1, (0,) * GROUPS)
    plans: list[Homes] = field(default_factory=list)  # by node
    starts: list[int] = field(default_factory=list)
    region: Granter = field(default_factory=lambda: Granter(1, 0.0, LEASE, SETTLE))
    leaders: list[Leader] = field(default_factory=list)
    routers: list[Router] = field(default_factory=list)
    running: list[Running] = field(default_factory=list)
    flying: list[tuple[int, int, Ask | Grant]] = field(default_factory=list)
    acts: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        self.plans = [self.newest] * len(self.paces)
        self.starts = [1] * len(self.paces)
        self.region = Granter(1, self.clock(0), LEASE, SETTLE)
        self.leaders = [self._leader(node) for node in (1, 2)]
        self.routers = [self._router(node) for node in range(3, len(self.paces))]

    def clock(self, node: int) -> float:
        return 100.0 + self.now * self.paces[node]

    def cell(self, node: int) -> int:
        return (node + 1) % 2

    def _leader(self, node: int) -> Leader:
        return Leader(self.cell(node), self.starts[node], self.plans[node], self.clock(node), LEASE, SETTLE)

    def _router(self, node: int) -> Router:
        router = Router(self.cell(node), self.starts[node], LEASE, SETTLE)
        router.adopted(self.plans[node], self.clock(node))
        return router

    def check(self) -> None:
        self.running = [load for load in self.running if load.ends > self.now]
        for group in range(GROUPS):
            hold = {r.cell for n, r in enumerate(self.routers, 3) if r.holds(group, self.clock(n))}
            runs = {load.cell for load in self.running if load.group == group}
            if len(hold | runs) > 1:
                raise Broken(f"group {group}: {hold} take loads, {runs} run after {', '.join(self.acts)}")

    def does(self, act: str, do: Callable[[World], None]) -> None:
        self.acts = (*self.acts[-40:], act)
        do(self)
        self.check()

    # Acts.

    def passes(self, step: float) -> None:
        self.now += step

    def planned(self, cells: tuple[int, ...]) -> None:
        self.newest = Homes(self.newest.number + 1, cells)

    def learns(self, node: int) -> None:
        """The newest plan; those between it may have missed."""
        plan, now = self.newest, self.clock(node)
        self.plans[node] = plan
        if node == 0:
            self.region.adopted(plan.number)
        elif node < 3:
            self.leaders[node - 1].adopted(plan, now)
        else:
            self.routers[node - 3].adopted(plan, now)

    def asks(self, node: int) -> None:
        if node < 3:
            self.flying.append((node, 0, self.leaders[node - 1].next_ask(self.clock(node))))
        else:
            to = 1 + self.cell(node)
            self.flying.append((node, to, self.routers[node - 3].next_ask(self.clock(node))))

    def comes(self, i: int, keep: bool) -> None:
        sender, to, said = self.flying[i] if keep else self.flying.pop(i)
        now = self.clock(to)
        if isinstance(said, Grant):
            holder = self.leaders[to - 1] if to < 3 else self.routers[to - 3]
            holder.granted(said, now)
        elif to == 0:
            self.flying.append((0, sender, self.region.asked(sender, said, now)))
        else:
            self.flying.append((to, sender, self.leaders[to - 1].asked(sender, said, now)))

    def anew(self, node: int) -> None:
        """Another has the right, or the process was killed and started; what it had out runs on."""
        self.starts[node] += 1
        if node == 0:
            self.region = Granter(self.plans[0].number, self.clock(0), LEASE, SETTLE)
        elif node < 3:
            self.leaders[node - 1] = self._leader(node)
        else:
            self.routers[node - 3] = self._router(node)

    def begins(self, node: int, group: int) -> None:
        router = self.routers[node - 3]
        told = router.begin(group, SETTLE, self.clock(node))
        if isinstance(told, Here):
            ends = self.now + SETTLE / self.paces[node]
            self.running.append(Running(router.cell, group, ends, node, self.starts[node], told))

    def ends(self, load: int, doubt: bool) -> None:
        running = self.running[load]
        router, node = self.routers[running.owner - 3], running.owner
        if running.start == self.starts[node]:
            router.end(running.group, running.here, self.clock(node), DOUBT if doubt else 0.0)
        if doubt:
            running.ends, running.owner = min(running.ends, self.now + DOUBT / self.paces[node]), -1
        else:
            self.running.pop(load)

    def moves(self, step: float) -> Iterator[tuple[str, Callable[[World], None]]]:
        yield f"time {step}", lambda w: w.passes(step)
        for cells in ((1, 0), (0, 0)):
            if cells != self.newest.cells:
                yield f"plan {cells}", lambda w, cells=cells: w.planned(cells)  # type: ignore[misc]
        for node in range(len(self.paces)):
            if self.plans[node].number < self.newest.number:
                yield f"{node} learns", lambda w, node=node: w.learns(node)  # type: ignore[misc]
            if node and len(self.flying) < 6:
                yield f"{node} asks", lambda w, node=node: w.asks(node)  # type: ignore[misc]
            yield f"{node} anew", lambda w, node=node: w.anew(node)  # type: ignore[misc]
        for node, router in enumerate(self.routers, 3):
            for group in range(GROUPS):
                if router.holds(group, self.clock(node)) and len(self.running) < 3:
                    yield f"{node} begins {group}", partial(World.begins, node=node, group=group)
        for i, load in enumerate(self.running):
            if load.owner >= 0:
                yield f"{load.owner} ends {load.group}", partial(World.ends, load=i, doubt=False)
                yield f"{load.owner} ends {load.group} in doubt", partial(World.ends, load=i, doubt=True)
        for i, (sender, to, said) in enumerate(self.flying):
            name = f"{sender}>{to} {type(said).__name__}"
            yield name, partial(World.comes, i=i, keep=False)
            yield name + " again", partial(World.comes, i=i, keep=True)
            yield name + " lost", lambda w, i=i: w.flying.pop(i) and None  # type: ignore[misc]


WEIGHTS = {
    "anew": 0.04,
    "plan": 0.1,
    "learns": 0.6,
    "again": 0.15,
    "lost": 0.1,
    "doubt": 0.5,
    "begins": 2.0,
    ">": 2.0,
    "time": 1.0,
}


def paces(routers: int) -> list[float]:
    """Of the region's granter, two leaders and so many routers in each cell, as uneven as they may be."""
    slow, fast = 1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2
    return [fast, slow, fast] + [slow if i % 2 == 0 else fast for i in range(2 * routers)]


def settled(
    world: World,
    rounds: int = 12,
    step: float = 0.35,
    without: Collection[int] = (),
    deaf: Collection[int] = (),
) -> None:
    """Time passes, all but some nodes learn the newest plan (nor do the deaf), and their asks and answers
    arrive. What was on its way before stays there."""
    late, world.flying = world.flying, []
    for _ in range(rounds):
        world.does(f"time {step}", lambda w: w.passes(step))
        for node in range(len(world.paces)):
            if node in without:
                continue
            if node not in deaf and world.plans[node].number < world.newest.number:
                world.does(f"{node} learns", lambda w, node=node: w.learns(node))  # type: ignore[misc]
            if node:
                world.does(f"{node} asks", lambda w, node=node: w.asks(node))  # type: ignore[misc]
            while world.flying:
                world.does("answered", lambda w: w.comes(0, False))
    world.flying = late


def stroll(seed: int, acts: int, routers: int = 1) -> int:
    """A random walk of so many acts: now this, now that comes more often, with spells in which all is well
    but for a node or two; how many loads began. Raises Broken."""
    chance, began = random.Random(seed), 0
    world = World(paces(routers))
    settled(world)
    weights: dict[str, float] = {}
    for act in range(acts):
        if act % 100 == 0:
            weights = {word: weight * chance.choice([0.1, 1.0, 4.0]) for word, weight in WEIGHTS.items()}
        if chance.random() < 0.06:
            without = chance.sample(range(len(world.paces)), chance.choice([0, 1, 1, 2]))
            deaf = chance.sample(range(len(world.paces)), chance.choice([0, 0, 1, 2, 3]))
            settled(world, chance.choice([1, 3, 8]), chance.choice([0.05, 0.1, 0.3]), without, deaf)
        moves = list(world.moves(chance.choice([0.01, 0.03, 0.1, 0.3, 0.8])))
        likely = [next((w for word, w in weights.items() if word in name), 1.0) for name, _ in moves]
        name, do = chance.choices(moves, likely)[0]
        began += "begins" in name
        world.does(name, do)
    return began


def exhaust(depth: int, step: float = 0.5) -> int:
    """Every order of acts to that depth, from cells that hold their homes, a load out, and a plan that moves
    one which nobody has learnt; the number of states. Raises Broken."""
    world = World(paces(1))
    settled(world)
    world.begins(3, 0)
    world.planned((1, 0))
    return every_order(world, depth, lambda one: one.moves(step))
