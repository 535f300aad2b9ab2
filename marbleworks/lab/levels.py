"""An explorer of budget leases between a level above and its cells, without sockets.

It simulates two cells of three routers and one level above. The network loses, duplicates and delays
datagrams, clocks drift, leaders and machines of the level above are replaced, cells are cut off from the
level above, and routers move between cells.

The module counts the units that are truly in use at all engines and raises InvariantViolation when they
exceed the budget. All decisions are made by the routers' code.
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
    CellRouterPolicy,
    Hello,
    LevelMessage,
    Welcome,
    budget_for_level_above,
)
from marbleworks.lab.budget_model import LEASE, WEIGHTS, BudgetModel, draw_action
from marbleworks.lab.explore import every_order
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT

CELL_LEASE_S = 1.5  # seconds of a cell's lease
# Cells, and places of a cell, one of which is free for a router that moves there.
CELL_COUNT, SLOTS_PER_CELL = 2, 4
SHARE_COUNT = CELL_COUNT * SLOTS_PER_CELL
MACHINES = 2  # machines of the level above
MAX_IN_FLIGHT = 12  # datagrams in flight
OVERDUE_CHECK_INTERVAL_S = 0.1  # seconds between a router's checks for overdue requests


@dataclass
class LeaderState:
    """State of a router as the leader of a cell.

    Attributes:
        ledger: The cell's allocation ledger.
        lease_holder: The cell's leases from the level above.
    """

    ledger: AllocationLedger
    lease_holder: BudgetLeaseHolder


@dataclass
class Cell:
    """One cell.

    Attributes:
        leader: The router that is the leader; -1 if there is none.
        members: Routers by place.
        generations: Generation of the last router in each place.
        leader_states: Leader state by router, also of former leaders that have not noticed their replacement.
    """

    leader: int = -1
    members: dict[int, int] = field(default_factory=dict)
    generations: dict[int, int] = field(default_factory=dict)
    leader_states: dict[int, LeaderState] = field(default_factory=dict)


@dataclass(frozen=True)
class Datagram:
    """A datagram in flight.

    Attributes:
        sender: The router or machine that sent it.
        receiver: The router or machine that it is sent to.
        cell: The cell that it belongs to.
        place: Place of the router that reports to its leader or is answered; -1 between the leader and the
            level above.
        is_above: Whether it is exchanged with the level above.
        message: Its content.
    """

    sender: int
    receiver: int
    cell: int
    place: int
    is_above: bool
    message: LevelMessage

    def name(self) -> str:
        """Returns a name for the log of acts."""
        return f"{self.sender}>{self.receiver}{'^' if self.is_above else ''} {type(self.message).__name__}"


@dataclass
class LeaseModel(BudgetModel):
    """A fleet in cells, with the level above and the network.

    Attributes:
        machine_paces: Paces of the clocks of the machines above.
        top_machine: The machine that leads the level above; -1 if there is none.
        lease_granter: The leases that the level above grants.
        machine_starts: Generations of the machines above.
        top_term: Term of the level above.
        top_budget: The budget by the file of the machines above.
        cells: The cells.
        cell_and_place: Cell and place by router.
        cut_cells: Cells that are cut off from the level above.
        muted_routers: Routers whose datagrams get lost.
        stale_routers: Routers that do not hear of a new leader.
        followed_leaders: The leader that each router reports to.
        in_flight: Datagrams in flight.
    """

    machine_paces: list[float] = field(
        default_factory=lambda: [1.0 + MAX_CLOCK_DRIFT / 2, 1.0 - MAX_CLOCK_DRIFT / 2]
    )
    top_machine: int = -1
    lease_granter: BudgetLeaseGranter | None = None
    machine_starts: list[int] = field(default_factory=lambda: [1] * MACHINES)
    top_term: int = 0
    top_budget: Budget | None = None
    cells: list[Cell] = field(default_factory=list)
    cell_and_place: dict[int, tuple[int, int]] = field(default_factory=dict)
    cut_cells: set[int] = field(default_factory=set)
    muted_routers: set[int] = field(default_factory=set)
    stale_routers: set[int] = field(default_factory=set)
    followed_leaders: dict[int, int] = field(default_factory=dict)
    in_flight: list[Datagram] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.top_budget = self.budgets[0]
        self.cells = [Cell() for _ in range(CELL_COUNT)]
        for n in range(len(self.routers)):
            cell, place = n % CELL_COUNT, n // CELL_COUNT
            self.cells[cell].members[place], self.cell_and_place[n] = n, (cell, place)
            self.cells[cell].generations[place] = 1

    def _make_local_budgets(self, number: int) -> LocalBudgets:
        began = self.clock(number) if self.now else 0.0
        local_budgets = LocalBudgets(number, SLOTS_PER_CELL, self.guaranteed_ratio, LEASE, began, SHARE_COUNT)
        local_budgets.set_budgets([self.budgets[number]], self.clock(number))
        return local_budgets

    def machine_clock(self, machine: int) -> float:
        """Returns the time by the clock of a machine of the level above."""
        return 500.0 + self.now * self.machine_paces[machine]

    def is_leader(self, cell: int, number: int) -> bool:
        """Returns whether a router leads the cell by its own clock.

        A leader checks this before it acts, also after its process stood still.
        """
        return self.cells[cell].leader == number

    # Acts.

    def advance(self, step: float) -> None:
        """Lets time pass in steps, with a check for overdue requests after each."""
        while step > 1e-9:
            super().advance(min(step, OVERDUE_CHECK_INTERVAL_S))
            step -= OVERDUE_CHECK_INTERVAL_S

    def send_reports(self, number: int) -> None:
        """Sends a router's reports to the leader that it follows."""
        cell, place = self.cell_and_place[number]
        if number not in self.stale_routers:
            self.followed_leaders[number] = self.cells[cell].leader
        leader = self.followed_leaders.get(number, -1)
        if leader < 0 or self.cell_and_place[leader][0] != cell:
            return
        self.add_waiting(number)
        router, (_, leader_place) = self.routers[number], self.cell_and_place[leader]
        start = self.cells[cell].generations[leader_place]
        for report in router.local_budgets.make_reports(
            leader_place, start, self.cells[cell].generations[place], self.clock(number)
        ):
            self.in_flight.append(Datagram(number, leader, cell, place, False, report))

    def send_leader_messages(self, cell: int, number: int) -> None:
        """Sends a leader's messages to the level above."""
        lease_holder = self.cells[cell].leader_states[number].lease_holder
        for machine, message in lease_holder.make_messages(self.clock(number)):
            self.in_flight.append(Datagram(number, machine, cell, -1, True, message))

    def deliver(self, i: int, keep: bool) -> None:
        """Delivers the datagram at an index.

        Args:
            i: Index in `in_flight`.
            keep: Whether it stays in flight, to be delivered again.
        """
        datagram = self.in_flight[i] if keep else self.in_flight.pop(i)
        message, cell = datagram.message, datagram.cell
        if datagram.is_above and cell in self.cut_cells:
            return
        if (
            datagram.place >= 0
            and datagram.sender != datagram.receiver
            and self.muted_routers & {datagram.sender, datagram.receiver}
        ):
            return
        if datagram.is_above and isinstance(message, Hello | BudgetReport):
            self._deliver_to_level_above(datagram)
        elif datagram.is_above and isinstance(message, Welcome | BudgetAnswer):
            if self.is_leader(cell, datagram.receiver):
                self.cells[cell].leader_states[datagram.receiver].lease_holder.handle_message(
                    datagram.sender, message, self.clock(datagram.receiver)
                )
        elif isinstance(message, BudgetReport):
            if self.is_leader(cell, datagram.receiver):
                now, ledger = (
                    self.clock(datagram.receiver),
                    self.cells[cell].leader_states[datagram.receiver].ledger,
                )
                answer = ledger.handle_report(datagram.place, message, now)
                if answer is not None:
                    reply = Datagram(datagram.receiver, datagram.sender, cell, datagram.place, False, answer)
                    self.in_flight.append(reply)
        elif isinstance(message, BudgetAnswer) and self.cell_and_place[datagram.receiver] == (
            cell,
            datagram.place,
        ):
            sender_place = next((p for p, n in self.cells[cell].members.items() if n == datagram.sender), -1)
            self.routers[datagram.receiver].local_budgets.handle_answer(
                sender_place, message, self.clock(datagram.receiver)
            )

    def _deliver_to_level_above(self, datagram: Datagram) -> None:
        if self.lease_granter is None or datagram.receiver != self.top_machine:
            return
        message, answer = datagram.message, None
        if isinstance(message, Hello):
            answer = self.lease_granter.handle_hello(message)
        elif isinstance(message, BudgetReport):
            answer = self.lease_granter.handle_report(
                datagram.cell, message, self.machine_clock(self.top_machine)
            )  # type: ignore[assignment]
        if answer is not None:
            self.in_flight.append(
                Datagram(self.top_machine, datagram.sender, datagram.cell, -1, True, answer)
            )

    def elect_leader(self, cell: int, number: int) -> None:
        """Makes a router the leader of its cell.

        The lease of the former leader is over by its own clock; its datagrams may still arrive.
        """
        cell_state, router, now = self.cells[cell], self.routers[number], self.clock(number)
        cell_state.leader = number
        router.term += 1
        place = self.cell_and_place[number][1]
        start = cell_state.generations[place]
        lease_holder = BudgetLeaseHolder(cell, (number, start, router.term), MACHINES, CELL_LEASE_S, now)
        ledger = AllocationLedger(
            place,
            SLOTS_PER_CELL,
            start,
            router.term,
            self.guaranteed_ratio,
            LEASE,
            now,
            {self.budgets[number].budget_id: {self.budgets[number].units}},
            CellRouterPolicy(SLOTS_PER_CELL, self.guaranteed_ratio, SHARE_COUNT),
            lease_holder,
        )
        ledger.set_budgets([self.budgets[number]])
        lease_holder.ledger = ledger
        cell_state.leader_states[number] = LeaderState(ledger, lease_holder)

    def elect_machine(self, machine: int, restart: bool = False) -> None:
        """Makes a machine the leader of the level above.

        Args:
            machine: The machine.
            restart: Whether its process has just started.
        """
        assert self.top_budget is not None
        self.machine_starts[machine] += restart
        self.top_machine, self.top_term = machine, self.top_term + 1
        start = self.machine_starts[machine]
        seen = {self.top_budget.budget_id: {self.top_budget.units}}
        self.lease_granter = BudgetLeaseGranter(
            machine,
            CELL_COUNT,
            SHARE_COUNT,
            start,
            self.top_term,
            self.guaranteed_ratio,
            CELL_LEASE_S,
            self.machine_clock(machine),
            seen,
        )
        self.lease_granter.ledger.set_budgets([budget_for_level_above(self.top_budget, LEASE)])

    def restart(self, number: int) -> None:
        """Kills a router and starts it again."""
        cell, place = self.cell_and_place[number]
        self._leave_cell(number)
        super().restart(number)
        self.cells[cell].generations[place] += 1

    def _leave_cell(self, number: int) -> None:
        cell = self.cells[self.cell_and_place[number][0]]
        cell.leader_states.pop(number, None)
        if cell.leader == number:
            cell.leader = -1

    def move_router(self, number: int, cell: int, place: int) -> None:
        """Moves a router to a place of another cell, as a new plan does."""
        self._leave_cell(number)
        old_cell, old_place = self.cell_and_place[number]
        del self.cells[old_cell].members[old_place]
        new_cell = self.cells[cell]
        new_cell.members[place], self.cell_and_place[number] = number, (cell, place)
        new_cell.generations[place] = new_cell.generations.get(place, 0) + 1
        self.routers[number].local_budgets.move_to_group(place, self.clock(number))

    def change_units(self, number: int, units: int) -> None:
        """Changes the units of the budget in a configuration file.

        Args:
            number: The router whose file changes; -1 for the file of the machines above.
            units: The new units.
        """
        old_budget = self.budgets[max(number, 0)]
        budget = Budget(old_budget.name, units, old_budget.window_s, old_budget.settle_s)
        if number < 0:
            self.top_budget = budget
            if self.lease_granter is not None:
                self.lease_granter.ledger.set_budgets([budget_for_level_above(budget, LEASE)])
            return
        self.budgets[number] = budget
        self.routers[number].local_budgets.set_budgets([budget], self.clock(number))
        for cell in self.cells:
            if number in cell.leader_states:
                cell.leader_states[number].ledger.set_budgets([budget])

    def toggle_cut(self, cell: int) -> None:
        """Cuts a cell off from the level above, or ends the cut."""
        self.cut_cells ^= {cell}

    def lose(self, i: int) -> None:
        """Loses the datagram at an index."""
        self.in_flight.pop(i)

    def toggle_mute(self, number: int) -> None:
        """Cuts a router off from all others, or ends the cut."""
        self.muted_routers ^= {number}

    def toggle_stale(self, number: int) -> None:
        """Stops a router from hearing of new leaders, or ends that."""
        self.stale_routers ^= {number}

    def run_round(self, step: float, twice: bool = False) -> None:
        """Runs one round of reports: time passes, routers and leaders report, and their datagrams arrive.

        Datagrams that were in flight before stay in flight.

        Args:
            step: Seconds that pass.
            twice: Whether the leaders' datagrams to the level above stay in flight to arrive once more.
        """
        self.advance(step)
        earlier_datagrams, self.in_flight = self.in_flight, []
        for n in range(len(self.routers)):
            self.send_reports(n)
        for cell_index, cell_state in enumerate(self.cells):
            if cell_state.leader >= 0:
                self.send_leader_messages(cell_index, cell_state.leader)
        earlier_datagrams += [datagram for datagram in self.in_flight if twice and datagram.is_above]
        while self.in_flight:
            self.deliver(0, False)
        self.in_flight = earlier_datagrams[-MAX_IN_FLIGHT:]

    def use_all_units(self, number: int) -> None:
        """Lets a router take all units that it may and start requests with them."""
        while self.budget(number).has_room(self.clock(number)):
            self.take(number)
        while self.routers[number].begin_deadlines:
            self.begin(number)

    def possible_acts(
        self, step: float, file_units: tuple[int, ...] = (), who: tuple[int, ...] = ()
    ) -> Iterator[tuple[str, Callable[[Any], None]]]:
        """Yields the acts that are possible, by name.

        Args:
            step: Seconds that pass in an act of time.
            file_units: Units that a configuration file may change to.
            who: Routers that act by themselves; all if empty.
        """
        yield f"time {step}", partial(LeaseModel.advance, step=step)
        yield f"round {step}", partial(LeaseModel.run_round, step=min(step, 0.2))
        yield "round twice", partial(LeaseModel.run_round, step=0.1, twice=True)
        room = len(self.in_flight) < MAX_IN_FLIGHT
        for n in who or range(len(self.routers)):
            cell, _ = self.cell_and_place[n]
            if room and self.cells[cell].leader >= 0:
                yield f"{n} tells", partial(LeaseModel.send_reports, number=n)
            yield from self.request_actions(n)
            if self.budget(n).has_room(self.clock(n)):
                yield f"{n} fills", partial(LeaseModel.use_all_units, number=n)
            if self.cells[cell].leader != n:
                yield f"right of {cell} to {n}", partial(LeaseModel.elect_leader, cell=cell, number=n)
            else:
                yield f"right of {cell} again", partial(LeaseModel.elect_leader, cell=cell, number=n)
            yield f"{n} restart", partial(LeaseModel.restart, number=n)
            yield (
                f"{n} {'is heard' if n in self.muted_routers else 'mute'}",
                partial(LeaseModel.toggle_mute, number=n),
            )
            yield (
                f"{n} {'hears' if n in self.stale_routers else 'stale'}",
                partial(LeaseModel.toggle_stale, number=n),
            )
            for to, other in enumerate(self.cells):
                free_places = [place for place in range(SLOTS_PER_CELL) if place not in other.members]
                if to != cell and free_places:
                    yield (
                        f"{n} moved",
                        partial(LeaseModel.move_router, number=n, cell=to, place=free_places[0]),
                    )
            for units in file_units:
                if units != self.budgets[n].units:
                    yield f"{n} file {units}", partial(LeaseModel.change_units, number=n, units=units)
        for cell_index, cell_state in enumerate(self.cells):
            for n in cell_state.leader_states:
                if room and self.is_leader(cell_index, n):
                    yield (
                        f"leader {n} up",
                        partial(LeaseModel.send_leader_messages, cell=cell_index, number=n),
                    )
            yield f"cut {cell_index}", partial(LeaseModel.toggle_cut, cell=cell_index)
        for units in file_units:
            if self.top_budget is not None and units != self.top_budget.units:
                yield f"above file {units}", partial(LeaseModel.change_units, number=-1, units=units)
        for machine in range(MACHINES):
            yield f"above to {machine}", partial(LeaseModel.elect_machine, machine=machine)
            yield f"above restart {machine}", partial(LeaseModel.elect_machine, machine=machine, restart=True)
        for i, datagram in enumerate(self.in_flight):
            yield datagram.name(), partial(LeaseModel.deliver, i=i, keep=False)
            yield f"{datagram.name()} again", partial(LeaseModel.deliver, i=i, keep=True)
            yield f"{datagram.name()} lost", partial(LeaseModel.lose, i=i)


# Weights of acts in a random walk, by the first of these words in their name.
ACT_WEIGHTS = {
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
# Paces of the routers' clocks.
PACES = [
    1.0 - MAX_CLOCK_DRIFT / 2,
    1.0 + MAX_CLOCK_DRIFT / 2,
    1.0,
    1.0,
    1.0 + MAX_CLOCK_DRIFT / 2,
    1.0 - MAX_CLOCK_DRIFT / 2,
]


def stroll(
    seed: int, acts: int, window_s: float = 0.0, units: int = 9, weights: dict[str, float] | None = None
) -> int:
    """Takes a random walk that favours acts which use the budget up.

    With an odd seed, the units of the budget change during the walk.

    Args:
        seed: Seed of all random choices.
        acts: Number of acts.
        window_s: Seconds of the window of a rate budget; 0 for a concurrency budget.
        units: Units of the budget.
        weights: Weights of acts that replace the usual ones.

    Returns:
        The number of acts.

    Raises:
        InvariantViolation: More than the budget is in use.
    """
    act_weights = (weights or {}) | {
        word: weight for word, weight in ACT_WEIGHTS.items() if word not in (weights or {})
    }
    rng = random.Random(seed)
    settle = window_s if window_s else rng.choice([0.3, 1.0]) + ABANDONED_ATTEMPT_TIMEOUT_S
    world = start_model(Budget("w", units, window_s, settle), rng.choice([0.0, 0.25, 0.9]))
    file_units = (units, 2 * units) if seed % 2 else ()
    world.max_units = max([units, *file_units])
    run_rounds(world, rng.choice([0, 70]), (rng.randrange(6),))
    for _ in range(acts):
        moves = list(world.possible_acts(rng.choice([0.02, 0.1, 0.3, 0.9]), file_units))
        world.perform(*draw_action(rng, moves, act_weights))
    return acts


def start_model(budget: Budget, guaranteed_ratio: float) -> LeaseModel:
    """Returns a fleet in which the level above and each cell have a leader."""
    world = LeaseModel([budget] * len(PACES), list(PACES), guaranteed_ratio)
    world.elect_machine(0)
    for cell in range(CELL_COUNT):
        world.elect_leader(cell, cell)
    return world


def run_rounds(world: LeaseModel, rounds: int, busy: tuple[int, ...]) -> None:
    """Runs rounds of reports in which the busy routers take all units that they can."""
    for _ in range(rounds):
        world.run_round(0.1)
        for n in busy:
            world.use_all_units(n)
        world.check()


def exhaust(depth: int, window_s: float = 0.0, step: float = 1.2, rounds: int = 80) -> int:
    """Tries every order of acts to a depth, from a fleet in which one cell has the whole budget.

    Two routers of that cell act, and one of the other cell.

    Args:
        depth: Acts in a row.
        window_s: Seconds of the window of a rate budget; 0 for a concurrency budget.
        step: Seconds that pass in an act of time.
        rounds: Rounds of reports before the first act.

    Returns:
        The number of states that were checked.

    Raises:
        InvariantViolation: More than the budget is in use.
    """
    world = start_model(
        Budget("w", 3, window_s, window_s if window_s else 0.3 + ABANDONED_ATTEMPT_TIMEOUT_S), 0.0
    )
    run_rounds(world, rounds, (0,))
    return every_order(world, depth, lambda one: one.possible_acts(step, (), (0, 1, 2)))
