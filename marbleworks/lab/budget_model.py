"""Exploration of fleet-wide budgets without sockets: local budgets and the allocation ledger of the leader.

The network loses, duplicates and delays messages arbitrarily. Clocks run at different rates, processes stop
and restart, and the leadership moves.

The module owns the true number of units in use at the engines, and raises InvariantViolation if it exceeds
the whole budget. The decisions are the router's own.
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
from marbleworks.budgets.local_budget_state import LocalBudget
from marbleworks.lab.explore import InvariantViolation, every_order
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT

ENDS = ABANDONED_ATTEMPT_TIMEOUT_S - 0.3  # seconds after which an engine ends an abandoned attempt
LEASE = 1.0


@dataclass
class Process:
    """One router.

    Attributes:
        purse: Its local budgets.
        start: Generation of the process.
        reign: Number of its latest term as leader.
        ledger: Its allocation ledger, if it has been leader.
        out: Units in use by attempts of this process.
        begins: For each acquired unit whose attempt has not begun, the latest time by its clock to begin.
    """

    purse: LocalBudgets
    start: int = 1
    reign: int = 0
    ledger: AllocationLedger | None = None
    out: int = 0
    begins: list[float] = field(default_factory=list)


@dataclass
class Fleet:
    """Routers that acquire units, begin attempts and end them.

    Attributes:
        wholes: The budget in each router's file.
        paces: Clock rate of each router.
        kept: Fraction of the budget that is guaranteed to the routers.
        now: True time in seconds.
        routers: The routers.
        engine: True end time of each unit in use that no process owns any more.
        bound: Largest budget of any file, recently or now. Whoever changes a file sets it.
        acts: The last actions, for the error message.
    """

    wholes: list[Budget]
    paces: list[float]
    kept: float = 0.25
    now: float = 0.0
    routers: list[Process] = field(default_factory=list)
    engine: list[float] = field(default_factory=list)
    bound: int = 0
    acts: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        self.bound = max(whole.units for whole in self.wholes)
        self.routers = [Process(self._purse(n)) for n in range(len(self.paces))]

    def _purse(self, number: int) -> LocalBudgets:
        """Returns fresh local budgets of a router."""
        began = self.clock(number) if self.now else 0.0  # 0 at the start: no process ran before
        purse = LocalBudgets(number, len(self.paces), self.kept, LEASE, began)
        purse.set_budgets([self.wholes[number]], self.clock(number))
        return purse

    def clock(self, number: int) -> float:
        """Returns the time of a router's clock in seconds."""
        return 100.0 + self.now * self.paces[number]

    def pocket(self, number: int) -> LocalBudget:
        """Returns the only local budget of a router."""
        return next(iter(self.routers[number].purse.budgets.values()))

    def used(self) -> int:
        """Returns the units in use at the engines, by true time."""
        self.engine = [end for end in self.engine if end > self.now]
        return sum(router.out for router in self.routers) + len(self.engine)

    def check(self) -> None:
        """Raises InvariantViolation if more units are in use than the largest budget has."""
        if self.used() > self.bound:
            raise InvariantViolation(
                f"{self.used()} of {self.bound} units in use after {', '.join(self.acts)}"
            )

    def does(self, act: str, action: Callable[[Any], None]) -> None:
        """Takes an action and checks the invariant."""
        self.acts = (*self.acts[-40:], act)
        action(self)
        self.check()

    # Actions.

    def passes(self, step: float) -> None:
        """Lets time pass, in seconds; routers call off overdue attempts."""
        self.now += step
        for number in range(len(self.routers)):
            self._call_off(number)

    def _call_off(self, number: int) -> None:
        """Calls off the attempts of a router that exceed its budgets."""
        router = self.routers[number]
        for pocket, excess in router.purse.find_overdue(self.clock(number)):
            for _ in range(min(excess, router.out)):
                router.out -= 1
                router.purse.release(pocket, self.clock(number), True)
                self.engine.append(self.now + ENDS)

    def take(self, number: int) -> None:
        """Acquires a unit.

        For a level (no window), the attempt begins by another action or never. For a rate, the unit counts as
        used now, because the decision is made here.
        """
        router, pocket, now = self.routers[number], self.pocket(number), self.clock(number)
        begin_by = router.purse.acquire(pocket, now)
        if pocket.budget.window_s:
            self.engine.append(self.now + pocket.budget.window_s)
        else:
            router.begins.append(begin_by)

    def begin(self, number: int) -> None:
        """Begins the attempt of the oldest acquired unit; releases the unit if it is too late."""
        router, pocket = self.routers[number], self.pocket(number)
        begin_by = router.begins.pop(0)
        if self.clock(number) <= begin_by:
            router.out += 1
        else:
            router.purse.release(pocket, self.clock(number), False)

    def end(self, number: int, doubt: bool) -> None:
        """Ends an attempt.

        Args:
            number: The router.
            doubt: Whether the end at the engine is not known; the engine may go on for `ENDS` seconds.
        """
        router = self.routers[number]
        router.out -= 1
        router.purse.release(self.pocket(number), self.clock(number), doubt)
        if doubt:
            self.engine.append(self.now + ENDS)

    def wants(self, number: int) -> None:
        """Lets some requests wait for a unit."""
        self.pocket(number).waiting.update(str(n) for n in range(3))

    def anew(self, number: int) -> None:
        """Kills and restarts a router; engines end its attempts within `ENDS` seconds."""
        router = self.routers[number]
        self.engine += [self.now + ENDS] * router.out
        self.routers[number] = Process(self._purse(number), router.start + 1)

    def traffic(self, number: int) -> Iterator[tuple[str, Callable[[Any], None]]]:
        """Yields the name and function of each action that requests may cause at a router."""
        router, n = self.routers[number], number
        if self.pocket(n).has_room(self.clock(n)):
            yield f"{n} takes", lambda w: w.take(n)
        if router.begins:
            yield f"{n} begins", lambda w: w.begin(n)
        if router.out:
            yield f"{n} ends", lambda w: w.end(n, False)
            yield f"{n} ends in doubt", lambda w: w.end(n, True)


@dataclass
class World(Fleet):
    """Routers of one group, of which at most one is the leader.

    Attributes:
        divider: Number of the leader, or -1.
        flying: Messages in transit: sender, receiver and message.
    """

    divider: int = -1
    flying: list[tuple[int, int, BudgetReport | BudgetAnswer]] = field(default_factory=list)

    def tells(self, number: int) -> None:
        """Sends the reports of a router to the leader."""
        if self.divider < 0:
            return
        router, leader = self.routers[number], self.divider
        self.wants(number)
        start = self.routers[leader].start
        reports = router.purse.make_reports(leader, start, router.start, self.clock(number))
        self.flying += [(number, leader, report) for report in reports]

    def comes(self, i: int, keep: bool) -> None:
        """Delivers a message.

        Args:
            i: Index of the message.
            keep: Whether the message stays in transit, to be delivered once more.
        """
        sender, receiver, message = self.flying[i] if keep else self.flying.pop(i)
        router, now = self.routers[receiver], self.clock(receiver)
        if isinstance(message, BudgetAnswer):
            router.purse.handle_answer(sender, message, now)
        elif router.ledger is not None and self.divider == receiver:
            answer = router.ledger.handle_report(sender, message, now)
            if answer is not None:
                self.flying.append((receiver, sender, answer))

    def moves_right(self, to: int) -> None:
        """Makes a router the leader, with a fresh ledger, or none if the number is -1."""
        self.divider = to
        if to >= 0:
            router = self.routers[to]
            router.reign += 1
            known_units = {budget.budget_id: {budget.units} for budget in [self.wholes[to]]}
            args = (to, len(self.paces), router.start, router.reign, self.kept, LEASE, self.clock(to))
            router.ledger = AllocationLedger(*args, known_units)
            router.ledger.set_budgets([self.wholes[to]])

    def anew(self, number: int) -> None:
        super().anew(number)
        if self.divider == number:
            self.divider = -1

    def rewritten(self, number: int, units: int) -> None:
        """Changes the size of the budget in a router's file."""
        old = self.wholes[number]
        self.wholes[number] = Budget(old.name, units, old.window_s, old.settle_s)
        router = self.routers[number]
        router.purse.set_budgets([self.wholes[number]], self.clock(number))
        if router.ledger is not None:
            router.ledger.set_budgets([self.wholes[number]])

    def moves(self, step: float) -> Iterator[tuple[str, Callable[[World], None]]]:
        """Yields the name and function of each action that is possible now."""
        yield f"time {step}", lambda w: w.passes(step)
        for n in range(len(self.routers)):
            if len(self.flying) < 6 and self.divider >= 0:
                yield f"{n} tells", lambda w, n=n: w.tells(n)  # type: ignore[misc]
            yield from self.traffic(n)
            if self.divider != n:
                yield f"right to {n}", lambda w, n=n: w.moves_right(n)  # type: ignore[misc]
            yield f"{n} anew", lambda w, n=n: w.anew(n)  # type: ignore[misc]
        if self.divider >= 0:
            yield f"right again to {self.divider}", lambda w: w.moves_right(w.divider)
        for i, (sender, receiver, message) in enumerate(self.flying):
            name = f"{sender}>{receiver} {type(message).__name__}"
            yield name, partial(World.comes, i=i, keep=False)
            yield name + " again", partial(World.comes, i=i, keep=True)
            yield f"{sender}>{receiver} lost", lambda w, i=i: w.flying.pop(i) and None  # type: ignore[misc]


WEIGHTS = {
    "anew": 0.03,
    "right": 0.05,
    "lost": 0.15,
    "again": 0.15,
    "takes": 2.0,
    "begins": 3.0,
    "doubt": 0.3,
}


def drawn(chance: random.Random, moves: list[tuple[str, Any]], weights: dict[str, float]) -> tuple[str, Any]:
    """Draws an action.

    Args:
        chance: Random generator.
        moves: Names and functions of the actions.
        weights: Weight by a word in the action's name; 1 for others.
    """
    weighed = [next((w for word, w in weights.items() if word in name), 1.0) for name, _ in moves]
    return chance.choices(moves, weighed)[0]


def stroll(seed: int, acts: int, count: int = 3, span: float = 0.0, units: int = 7) -> int:
    """Takes a random walk that favours actions which use up the budget.

    Args:
        seed: Seed of the walk.
        acts: Number of actions.
        count: Number of routers, at most 5.
        span: Window of a rate in seconds; 0 for a level.
        units: Units of the budget.

    Returns:
        The number of actions.

    Raises:
        InvariantViolation: The invariant does not hold.
    """
    rng = random.Random(seed)
    settle = span if span else rng.choice([0.5, 1.5]) + ABANDONED_ATTEMPT_TIMEOUT_S
    paces = [1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2, 1.0, 1.0, 1.0][:count]
    world = World([Budget("w", units, span, settle)] * count, paces, rng.choice([0.0, 0.25, 0.5]))
    for _ in range(acts):
        moves = list(world.moves(rng.choice([0.02, 0.1, 0.3, 0.9])))
        world.does(*drawn(rng, moves, WEIGHTS))
    return acts


def exhaust(depth: int, count: int = 2, span: float = 0.0) -> int:
    """Tries every order of actions up to a depth, starting from a group that has a leader and units in use.

    Args:
        depth: Number of actions.
        count: Number of routers, at most 3.
        span: Window of a rate in seconds; 0 for a level.

    Returns:
        The number of states.

    Raises:
        InvariantViolation: The invariant does not hold.
    """
    settle = span if span else 0.5 + ABANDONED_ATTEMPT_TIMEOUT_S
    world = World(
        [Budget("w", 3, span, settle)] * count,
        [1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2, 1.0][:count],
        0.0,
    )
    world.moves_right(0)
    for _ in range(4):
        for n in range(count):
            world.passes(0.12)
            world.tells(n)
            while world.flying:
                world.comes(0, False)
            if world.pocket(n).has_room(world.clock(n)):
                world.take(n)
    return every_order(world, depth, lambda state: state.moves(0.9))
