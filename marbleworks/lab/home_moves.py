"""Exploration of home leases of table groups without sockets.

A region's granter and two cells with a leader and routers each follow plans that change. The network loses,
duplicates and delays messages arbitrarily, and clocks run at different rates.

The module owns the true time and the loads that really run at the engines. It raises InvariantViolation if
two cells may take loads of one table group, or if one cell may while the other's loads still run. The
decisions are the routers' own.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from functools import partial

from marbleworks.cells.home_leases import (
    CellHomeLeases,
    HomeLeaseGranter,
    LeaseAnswer,
    LeaseRequest,
    RouterHomeLease,
    StartPermit,
)
from marbleworks.lab.explore import InvariantViolation, every_order
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT

LEASE, SETTLE = 1.0, 0.8
DOUBT = 0.3  # seconds that an engine may go on with a load whose end is in doubt
GROUPS = 2


@dataclass(frozen=True)
class Homes:
    """The part of a plan that concerns homes.

    Attributes:
        number: Number of the plan.
        cells: Home cell of each table group.
    """

    number: int
    cells: tuple[int, ...]

    def home(self, group: int) -> int:
        """Returns the home cell of a table group."""
        return self.cells[group]


@dataclass
class Running:
    """A load that runs at the engines.

    Attributes:
        cell: Cell of the load.
        group: Table group of the load.
        ends: Latest true time at which it ends.
        owner: Node of the router that awaits its end; -1 if there is none.
        start: Generation of that router.
        permit: Lease under which the load began.
    """

    cell: int
    group: int
    ends: float
    owner: int
    start: int
    permit: StartPermit


@dataclass
class World:
    """The nodes, their messages and the running loads.

    Nodes are numbered: 0 is the region's granter, 1 and 2 are the leaders of the cells, and the others are
    routers of the two cells in turn.

    Attributes:
        clock_rates: Clock rate of each node.
        now: True time in seconds.
        newest_plan: The newest plan.
        plans: The plan that each node knows.
        starts: Generation of each node.
        region: The region's granter.
        leaders: Leaders of the cells.
        routers: Routers of the cells.
        running: Loads at the engines.
        in_flight: Messages in transit: sender, receiver and message.
        acts: The last actions, for the error message.
    """

    clock_rates: list[float]
    now: float = 0.0
    newest_plan: Homes = Homes(1, (0,) * GROUPS)
    plans: list[Homes] = field(default_factory=list)
    starts: list[int] = field(default_factory=list)
    region: HomeLeaseGranter = field(default_factory=lambda: HomeLeaseGranter(1, 0.0, LEASE, SETTLE))
    leaders: list[CellHomeLeases] = field(default_factory=list)
    routers: list[RouterHomeLease] = field(default_factory=list)
    running: list[Running] = field(default_factory=list)
    in_flight: list[tuple[int, int, LeaseRequest | LeaseAnswer]] = field(default_factory=list)
    acts: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        self.plans = [self.newest_plan] * len(self.clock_rates)
        self.starts = [1] * len(self.clock_rates)
        self.region = HomeLeaseGranter(1, self.clock(0), LEASE, SETTLE)
        self.leaders = [self._leader(node) for node in (1, 2)]
        self.routers = [self._router(node) for node in range(3, len(self.clock_rates))]

    def clock(self, node: int) -> float:
        """Returns the time of a node's clock in seconds."""
        return 100.0 + self.now * self.clock_rates[node]

    def cell(self, node: int) -> int:
        """Returns the cell of a node."""
        return (node + 1) % 2

    def _leader(self, node: int) -> CellHomeLeases:
        return CellHomeLeases(
            self.cell(node), self.starts[node], self.plans[node], self.clock(node), LEASE, SETTLE
        )

    def _router(self, node: int) -> RouterHomeLease:
        router = RouterHomeLease(self.cell(node), self.starts[node], LEASE, SETTLE)
        router.adopt_plan(self.plans[node], self.clock(node))
        return router

    def check(self) -> None:
        """Raises InvariantViolation if two cells hold a table group or run loads of it."""
        self.running = [load for load in self.running if load.ends > self.now]
        for group in range(GROUPS):
            holders = {
                router.cell
                for node, router in enumerate(self.routers, 3)
                if router.holds(group, self.clock(node))
            }
            running_in = {load.cell for load in self.running if load.group == group}
            if len(holders | running_in) > 1:
                raise InvariantViolation(
                    f"group {group}: held by {holders}, runs in {running_in} after {', '.join(self.acts)}"
                )

    def perform(self, act: str, action: Callable[[World], None]) -> None:
        """Takes an action and checks the invariant."""
        self.acts = (*self.acts[-40:], act)
        action(self)
        self.check()

    # Actions.

    def advance(self, step: float) -> None:
        """Lets time pass, in seconds."""
        self.now += step

    def make_plan(self, cells: tuple[int, ...]) -> None:
        """Makes a new plan."""
        self.newest_plan = Homes(self.newest_plan.number + 1, cells)

    def learn_plan(self, node: int) -> None:
        """Gives a node the newest plan. The node may have missed earlier ones."""
        plan, now = self.newest_plan, self.clock(node)
        self.plans[node] = plan
        if node == 0:
            self.region.note_plan(plan.number)
        elif node < 3:
            self.leaders[node - 1].adopt_plan(plan, now)
        else:
            self.routers[node - 3].adopt_plan(plan, now)

    def send_lease_request(self, node: int) -> None:
        """Sends a lease request from a node to the one above it."""
        if node < 3:
            self.in_flight.append((node, 0, self.leaders[node - 1].next_request(self.clock(node))))
        else:
            leader = 1 + self.cell(node)
            self.in_flight.append((node, leader, self.routers[node - 3].next_request(self.clock(node))))

    def deliver(self, i: int, keep: bool) -> None:
        """Delivers a message.

        Args:
            i: Index of the message.
            keep: Whether the message stays in transit, to be delivered once more.
        """
        sender, receiver, message = self.in_flight[i] if keep else self.in_flight.pop(i)
        now = self.clock(receiver)
        if isinstance(message, LeaseAnswer):
            holder = self.leaders[receiver - 1] if receiver < 3 else self.routers[receiver - 3]
            holder.handle_answer(message, now)
        elif receiver == 0:
            self.in_flight.append((0, sender, self.region.handle_request(sender, message, now)))
        else:
            self.in_flight.append(
                (receiver, sender, self.leaders[receiver - 1].handle_request(sender, message, now))
            )

    def restart(self, node: int) -> None:
        """Replaces a node by one without state: another leader, or a restarted process. Its loads run on."""
        self.starts[node] += 1
        if node == 0:
            self.region = HomeLeaseGranter(self.plans[0].number, self.clock(0), LEASE, SETTLE)
        elif node < 3:
            self.leaders[node - 1] = self._leader(node)
        else:
            self.routers[node - 3] = self._router(node)

    def begin_load(self, node: int, group: int) -> None:
        """Starts a load at a router if the router may take it."""
        router = self.routers[node - 3]
        lease = router.begin_load(group, SETTLE, self.clock(node))
        if isinstance(lease, StartPermit):
            ends = self.now + SETTLE / self.clock_rates[node]
            self.running.append(Running(router.cell, group, ends, node, self.starts[node], lease))

    def end_load(self, load: int, doubt: bool) -> None:
        """Ends a load.

        Args:
            load: Index of the load.
            doubt: Whether the router does not know that the load has ended; the engine may go on with it for
                `DOUBT` seconds.
        """
        running = self.running[load]
        router, node = self.routers[running.owner - 3], running.owner
        if running.start == self.starts[node]:
            router.end_load(running.group, running.permit, self.clock(node), DOUBT if doubt else 0.0)
        if doubt:
            running.ends, running.owner = min(running.ends, self.now + DOUBT / self.clock_rates[node]), -1
        else:
            self.running.pop(load)

    def possible_acts(self, step: float) -> Iterator[tuple[str, Callable[[World], None]]]:
        """Yields the name and function of each action that is possible now."""
        yield f"time {step}", lambda w: w.advance(step)
        for cells in ((1, 0), (0, 0)):
            if cells != self.newest_plan.cells:
                yield f"plan {cells}", lambda w, cells=cells: w.make_plan(cells)  # type: ignore[misc]
        for node in range(len(self.clock_rates)):
            if self.plans[node].number < self.newest_plan.number:
                yield f"{node} learns", lambda w, node=node: w.learn_plan(node)  # type: ignore[misc]
            if node and len(self.in_flight) < 6:
                yield f"{node} asks", lambda w, node=node: w.send_lease_request(node)  # type: ignore[misc]
            yield f"{node} restart", lambda w, node=node: w.restart(node)  # type: ignore[misc]
        for node, router in enumerate(self.routers, 3):
            for group in range(GROUPS):
                if router.holds(group, self.clock(node)) and len(self.running) < 3:
                    yield f"{node} begins {group}", partial(World.begin_load, node=node, group=group)
        for i, load in enumerate(self.running):
            if load.owner >= 0:
                yield f"{load.owner} ends {load.group}", partial(World.end_load, load=i, doubt=False)
                yield f"{load.owner} ends {load.group} in doubt", partial(World.end_load, load=i, doubt=True)
        for i, (sender, receiver, message) in enumerate(self.in_flight):
            name = f"{sender}>{receiver} {type(message).__name__}"
            yield name, partial(World.deliver, i=i, keep=False)
            yield name + " again", partial(World.deliver, i=i, keep=True)
            yield name + " lost", lambda w, i=i: w.in_flight.pop(i) and None  # type: ignore[misc]


WEIGHTS = {
    "restart": 0.04,
    "plan": 0.1,
    "learns": 0.6,
    "again": 0.15,
    "lost": 0.1,
    "doubt": 0.5,
    "begins": 2.0,
    ">": 2.0,
    "time": 1.0,
}


def clock_rates(routers: int) -> list[float]:
    """Returns clock rates that differ by the largest drift, for granter, leaders and routers of each cell."""
    slow, fast = 1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2
    return [fast, slow, fast] + [slow if i % 2 == 0 else fast for i in range(2 * routers)]


def settle(
    world: World,
    rounds: int = 12,
    step: float = 0.35,
    without: Collection[int] = (),
    deaf: Collection[int] = (),
) -> None:
    """Lets time pass while nodes learn the newest plan, ask, and are answered.

    Messages that were in transit before stay there.

    Args:
        world: The state to change.
        rounds: Number of rounds.
        step: Seconds of a round.
        without: Nodes that neither learn nor ask.
        deaf: Nodes that ask but do not learn the plan.
    """
    in_transit, world.in_flight = world.in_flight, []
    for _ in range(rounds):
        world.perform(f"time {step}", lambda w: w.advance(step))
        for node in range(len(world.clock_rates)):
            if node in without:
                continue
            if node not in deaf and world.plans[node].number < world.newest_plan.number:
                world.perform(f"{node} learns", lambda w, node=node: w.learn_plan(node))  # type: ignore[misc]
            if node:
                world.perform(f"{node} asks", lambda w, node=node: w.send_lease_request(node))  # type: ignore[misc]
            while world.in_flight:
                world.perform("answered", lambda w: w.deliver(0, False))
    world.in_flight = in_transit


def stroll(seed: int, acts: int, routers: int = 1) -> int:
    """Takes a random walk.

    The weights of the actions change every 100 actions. In some spells all nodes but a few work without
    faults.

    Args:
        seed: Seed of the walk.
        acts: Number of actions.
        routers: Number of routers in each cell.

    Returns:
        The number of loads that began.

    Raises:
        InvariantViolation: The invariant does not hold.
    """
    rng, loads_begun = random.Random(seed), 0
    world = World(clock_rates(routers))
    settle(world)
    weights: dict[str, float] = {}
    for act in range(acts):
        if act % 100 == 0:
            weights = {word: weight * rng.choice([0.1, 1.0, 4.0]) for word, weight in WEIGHTS.items()}
        if rng.random() < 0.06:
            without = rng.sample(range(len(world.clock_rates)), rng.choice([0, 1, 1, 2]))
            deaf = rng.sample(range(len(world.clock_rates)), rng.choice([0, 0, 1, 2, 3]))
            settle(world, rng.choice([1, 3, 8]), rng.choice([0.05, 0.1, 0.3]), without, deaf)
        moves = list(world.possible_acts(rng.choice([0.01, 0.03, 0.1, 0.3, 0.8])))
        action_weights = [next((w for word, w in weights.items() if word in name), 1.0) for name, _ in moves]
        name, action = rng.choices(moves, action_weights)[0]
        loads_begun += "begins" in name
        world.perform(name, action)
    return loads_begun


def exhaust(depth: int, step: float = 0.5) -> int:
    """Tries every order of actions up to a depth.

    The cells hold their homes at the start, a load is running, and no node has learnt a new plan that moves
    one home.

    Returns:
        The number of states.

    Raises:
        InvariantViolation: The invariant does not hold.
    """
    world = World(clock_rates(1))
    settle(world)
    world.begin_load(3, 0)
    world.make_plan((1, 0))
    return every_order(world, depth, lambda state: state.possible_acts(step))
