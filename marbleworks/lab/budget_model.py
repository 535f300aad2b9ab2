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

# Seconds after which an engine ends an abandoned attempt.
ABANDONED_ATTEMPT_END_S = ABANDONED_ATTEMPT_TIMEOUT_S - 0.3
LEASE = 1.0


@dataclass
class Process:
    """One router.

    Attributes:
        local_budgets: Its local budgets.
        start: Generation of the process.
        term: Number of its latest term as leader.
        ledger: Its allocation ledger, if it has been leader.
        units_in_use: Units in use by attempts of this process.
        begin_deadlines: For each acquired unit whose attempt has not begun, the latest time to begin by
            its clock.
    """

    local_budgets: LocalBudgets
    start: int = 1
    term: int = 0
    ledger: AllocationLedger | None = None
    units_in_use: int = 0
    begin_deadlines: list[float] = field(default_factory=list)


@dataclass
class BudgetModel:
    """Routers that acquire units, begin attempts and end them.

    Attributes:
        budgets: The budget in each router's file.
        clock_rates: Clock rate of each router.
        guaranteed_ratio: Fraction of the budget that is guaranteed to the routers.
        now: True time in seconds.
        routers: The routers.
        abandoned_ends: True end time of each unit in use that no process owns any more.
        max_units: Largest budget of any file, recently or now. Whoever changes a file sets it.
        acts: The last actions, for the error message.
    """

    budgets: list[Budget]
    clock_rates: list[float]
    guaranteed_ratio: float = 0.25
    now: float = 0.0
    routers: list[Process] = field(default_factory=list)
    abandoned_ends: list[float] = field(default_factory=list)
    max_units: int = 0
    acts: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        self.max_units = max(budget.units for budget in self.budgets)
        self.routers = [Process(self._make_local_budgets(n)) for n in range(len(self.clock_rates))]

    def _make_local_budgets(self, number: int) -> LocalBudgets:
        """Returns fresh local budgets of a router."""
        began = self.clock(number) if self.now else 0.0  # 0 at the start: no process ran before
        local_budgets = LocalBudgets(number, len(self.clock_rates), self.guaranteed_ratio, LEASE, began)
        local_budgets.set_budgets([self.budgets[number]], self.clock(number))
        return local_budgets

    def clock(self, number: int) -> float:
        """Returns the time of a router's clock in seconds."""
        return 100.0 + self.now * self.clock_rates[number]

    def budget(self, number: int) -> LocalBudget:
        """Returns the only local budget of a router."""
        return next(iter(self.routers[number].local_budgets.budgets.values()))

    def used(self) -> int:
        """Returns the units in use at the engines, by true time."""
        self.abandoned_ends = [end for end in self.abandoned_ends if end > self.now]
        return sum(router.units_in_use for router in self.routers) + len(self.abandoned_ends)

    def check(self) -> None:
        """Raises InvariantViolation if more units are in use than the largest budget has."""
        if self.used() > self.max_units:
            raise InvariantViolation(
                f"{self.used()} of {self.max_units} units in use after {', '.join(self.acts)}"
            )

    def perform(self, act: str, action: Callable[[Any], None]) -> None:
        """Takes an action and checks the invariant."""
        self.acts = (*self.acts[-40:], act)
        action(self)
        self.check()

    # Actions.

    def advance(self, step: float) -> None:
        """Lets time pass, in seconds; routers call off overdue attempts."""
        self.now += step
        for number in range(len(self.routers)):
            self._call_off(number)

    def _call_off(self, number: int) -> None:
        """Calls off the attempts of a router that exceed its budgets."""
        router = self.routers[number]
        for local_budget, excess in router.local_budgets.find_overdue(self.clock(number)):
            for _ in range(min(excess, router.units_in_use)):
                router.units_in_use -= 1
                router.local_budgets.release(local_budget, self.clock(number), True)
                self.abandoned_ends.append(self.now + ABANDONED_ATTEMPT_END_S)

    def take(self, number: int) -> None:
        """Acquires a unit.

        For a level (no window), the attempt begins by another action or never. For a rate, the unit counts as
        used now, because the decision is made here.
        """
        router, local_budget, now = self.routers[number], self.budget(number), self.clock(number)
        begin_by = router.local_budgets.acquire(local_budget, now)
        if local_budget.budget.window_s:
            self.abandoned_ends.append(self.now + local_budget.budget.window_s)
        else:
            router.begin_deadlines.append(begin_by)

    def begin(self, number: int) -> None:
        """Begins the attempt of the oldest acquired unit; releases the unit if it is too late."""
        router, local_budget = self.routers[number], self.budget(number)
        begin_by = router.begin_deadlines.pop(0)
        if self.clock(number) <= begin_by:
            router.units_in_use += 1
        else:
            router.local_budgets.release(local_budget, self.clock(number), False)

    def end(self, number: int, doubt: bool) -> None:
        """Ends an attempt.

        Args:
            number: The router.
            doubt: Whether the end at the engine is not known; the engine may go on for
                `ABANDONED_ATTEMPT_END_S` seconds.
        """
        router = self.routers[number]
        router.units_in_use -= 1
        router.local_budgets.release(self.budget(number), self.clock(number), doubt)
        if doubt:
            self.abandoned_ends.append(self.now + ABANDONED_ATTEMPT_END_S)

    def add_waiting(self, number: int) -> None:
        """Lets some requests wait for a unit."""
        self.budget(number).waiting.update(str(n) for n in range(3))

    def restart(self, number: int) -> None:
        """Kills and restarts a router; engines end its attempts within `ABANDONED_ATTEMPT_END_S` seconds."""
        router = self.routers[number]
        self.abandoned_ends += [self.now + ABANDONED_ATTEMPT_END_S] * router.units_in_use
        self.routers[number] = Process(self._make_local_budgets(number), router.start + 1)

    def request_actions(self, number: int) -> Iterator[tuple[str, Callable[[Any], None]]]:
        """Yields the name and function of each action that requests may cause at a router."""
        router, n = self.routers[number], number
        if self.budget(n).has_room(self.clock(n)):
            yield f"{n} takes", lambda w: w.take(n)
        if router.begin_deadlines:
            yield f"{n} begins", lambda w: w.begin(n)
        if router.units_in_use:
            yield f"{n} ends", lambda w: w.end(n, False)
            yield f"{n} ends in doubt", lambda w: w.end(n, True)


@dataclass
class World(BudgetModel):
    """Routers of one group, of which at most one is the leader.

    Attributes:
        leader: Number of the leader, or -1.
        in_flight: Messages in transit: sender, receiver and message.
    """

    leader: int = -1
    in_flight: list[tuple[int, int, BudgetReport | BudgetAnswer]] = field(default_factory=list)

    def send_reports(self, number: int) -> None:
        """Sends the reports of a router to the leader."""
        if self.leader < 0:
            return
        router, leader = self.routers[number], self.leader
        self.add_waiting(number)
        start = self.routers[leader].start
        reports = router.local_budgets.make_reports(leader, start, router.start, self.clock(number))
        self.in_flight += [(number, leader, report) for report in reports]

    def deliver(self, i: int, keep: bool) -> None:
        """Delivers a message.

        Args:
            i: Index of the message.
            keep: Whether the message stays in transit, to be delivered once more.
        """
        sender, receiver, message = self.in_flight[i] if keep else self.in_flight.pop(i)
        router, now = self.routers[receiver], self.clock(receiver)
        if isinstance(message, BudgetAnswer):
            router.local_budgets.handle_answer(sender, message, now)
        elif router.ledger is not None and self.leader == receiver:
            answer = router.ledger.handle_report(sender, message, now)
            if answer is not None:
                self.in_flight.append((receiver, sender, answer))

    def set_leader(self, to: int) -> None:
        """Makes a router the leader, with a fresh ledger, or none if the number is -1."""
        self.leader = to
        if to >= 0:
            router = self.routers[to]
            router.term += 1
            known_units = {budget.budget_id: {budget.units} for budget in [self.budgets[to]]}
            args = (
                to,
                len(self.clock_rates),
                router.start,
                router.term,
                self.guaranteed_ratio,
                LEASE,
                self.clock(to),
            )
            router.ledger = AllocationLedger(*args, known_units)
            router.ledger.set_budgets([self.budgets[to]])

    def restart(self, number: int) -> None:
        super().restart(number)
        if self.leader == number:
            self.leader = -1

    def change_units(self, number: int, units: int) -> None:
        """Changes the size of the budget in a router's file."""
        old = self.budgets[number]
        self.budgets[number] = Budget(old.name, units, old.window_s, old.settle_s)
        router = self.routers[number]
        router.local_budgets.set_budgets([self.budgets[number]], self.clock(number))
        if router.ledger is not None:
            router.ledger.set_budgets([self.budgets[number]])

    def possible_acts(self, step: float) -> Iterator[tuple[str, Callable[[World], None]]]:
        """Yields the name and function of each action that is possible now."""
        yield f"time {step}", lambda w: w.advance(step)
        for n in range(len(self.routers)):
            if len(self.in_flight) < 6 and self.leader >= 0:
                yield f"{n} tells", lambda w, n=n: w.send_reports(n)  # type: ignore[misc]
            yield from self.request_actions(n)
            if self.leader != n:
                yield f"right to {n}", lambda w, n=n: w.set_leader(n)  # type: ignore[misc]
            yield f"{n} restart", lambda w, n=n: w.restart(n)  # type: ignore[misc]
        if self.leader >= 0:
            yield f"right again to {self.leader}", lambda w: w.set_leader(w.leader)
        for i, (sender, receiver, message) in enumerate(self.in_flight):
            name = f"{sender}>{receiver} {type(message).__name__}"
            yield name, partial(World.deliver, i=i, keep=False)
            yield name + " again", partial(World.deliver, i=i, keep=True)
            yield f"{sender}>{receiver} lost", lambda w, i=i: w.in_flight.pop(i) and None  # type: ignore[misc]


WEIGHTS = {
    "restart": 0.03,
    "right": 0.05,
    "lost": 0.15,
    "again": 0.15,
    "takes": 2.0,
    "begins": 3.0,
    "doubt": 0.3,
}


def draw_action(
    rng: random.Random, moves: list[tuple[str, Any]], weights: dict[str, float]
) -> tuple[str, Any]:
    """Draws an action.

    Args:
        rng: Random generator.
        moves: Names and functions of the actions.
        weights: Weight by a word in the action's name; 1 for others.
    """
    weighed = [next((w for word, w in weights.items() if word in name), 1.0) for name, _ in moves]
    return rng.choices(moves, weighed)[0]


def stroll(seed: int, acts: int, count: int = 3, window_s: float = 0.0, units: int = 7) -> int:
    """Takes a random walk that favours actions which use up the budget.

    Args:
        seed: Seed of the walk.
        acts: Number of actions.
        count: Number of routers, at most 5.
        window_s: Window of a rate in seconds; 0 for a level.
        units: Units of the budget.

    Returns:
        The number of actions.

    Raises:
        InvariantViolation: The invariant does not hold.
    """
    rng = random.Random(seed)
    settle = window_s if window_s else rng.choice([0.5, 1.5]) + ABANDONED_ATTEMPT_TIMEOUT_S
    clock_rates = [1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2, 1.0, 1.0, 1.0][:count]
    world = World([Budget("w", units, window_s, settle)] * count, clock_rates, rng.choice([0.0, 0.25, 0.5]))
    for _ in range(acts):
        moves = list(world.possible_acts(rng.choice([0.02, 0.1, 0.3, 0.9])))
        world.perform(*draw_action(rng, moves, WEIGHTS))
    return acts


def exhaust(depth: int, count: int = 2, window_s: float = 0.0) -> int:
    """Tries every order of actions up to a depth, starting from a group that has a leader and units in use.

    Args:
        depth: Number of actions.
        count: Number of routers, at most 3.
        window_s: Window of a rate in seconds; 0 for a level.

    Returns:
        The number of states.

    Raises:
        InvariantViolation: The invariant does not hold.
    """
    settle = window_s if window_s else 0.5 + ABANDONED_ATTEMPT_TIMEOUT_S
    world = World(
        [Budget("w", 3, window_s, settle)] * count,
        [1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2, 1.0][:count],
        0.0,
    )
    world.set_leader(0)
    for _ in range(4):
        for n in range(count):
            world.advance(0.12)
            world.send_reports(n)
            while world.in_flight:
                world.deliver(0, False)
            if world.budget(n).has_room(world.clock(n)):
                world.take(n)
    return every_order(world, depth, lambda state: state.possible_acts(0.9))
