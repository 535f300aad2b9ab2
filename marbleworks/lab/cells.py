"""A fleet that is divided into cells, simulated in simulated time with the routers' own code.

Each cell runs membership and budgets; its leader leases units of the fleet-wide budget from a level above,
which consists of seven machines. Leaders die, cells are cut off from the level above, and routers move to
another cell.

The module simulates time and traffic and counts the units that are truly in use at the engines. All decisions
are made by the routers' code. In a large fleet only some cells are simulated in full. For each other cell
only its leader is simulated, with the demand of one router in its allocation ledger: it sends the level above
what any leader sends, and the work inside a cell is the same in each cell.
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
from marbleworks.budgets.codec import BudgetReport as UsageReport
from marbleworks.budgets.local_budget import LocalBudgets
from marbleworks.cells.budget_leases import (
    BudgetLeaseGranter,
    BudgetLeaseHolder,
    CellRouterPolicy,
    Hello,
    LevelMessage,
    Welcome,
    budget_for_level_above,
    decode,
    encode_hello,
    encode_welcome,
)
from marbleworks.lab.budget_model import ABANDONED_ATTEMPT_END_S
from marbleworks.lab.group import SimulatedGroup
from marbleworks.lab.report import Report, percentile
from marbleworks.lab.slopes import Slope, fit
from marbleworks.membership.messages import MemberState

CELL_SIZE, SPARE_SLOTS = 20, 2  # routers in a cell, and free slots for routers that move there
MACHINES = 7  # machines of the level above
# Guaranteed part of the budget; seconds of a router's lease, of settling, and of a cell's lease.
GUARANTEED_RATIO, LEASE_S, SETTLE_S, CELL_LEASE_S = 0.25, 3.0, 4.0 + ABANDONED_ATTEMPT_TIMEOUT_S, 6.0
# Seconds of a step of the simulation, between reports of a router, and between reports of a cell.
STEP_S, REPORT_INTERVAL_S, CELL_REPORT_INTERVAL_S = 0.02, 0.2, 0.4
REQUEST_S, LONG_REQUEST_S = 0.05, 1.5  # seconds of an ordinary request, and of a long one
START_S = 14.0  # seconds until a starting fleet has divided its budget
UNITS_PER_ROUTER = 8  # units of the fleet-wide budget for each router
DEMAND_RATIO = 1.25  # demand as a multiple of the budget
FULL_CELL_COUNT = 4  # fully simulated cells of a large fleet
# Limits for the control work of a router: part of a core, bytes of state, bytes per second.
MAX_CPU, MAX_STATE_BYTES, MAX_BYTES_PER_S = 0.018, 32e6, 6000.0
GROUP_NUMBER = 9  # group number in the messages


def object_bytes(root: Any, seen: set[int] | None = None) -> int:
    """Returns the bytes of an object and of all objects reachable from it that are not in `seen`."""
    seen = set() if seen is None else seen
    if id(root) in seen or isinstance(root, type) or callable(root):
        return 0
    seen.add(id(root))
    total = sys.getsizeof(root)
    if isinstance(root, dict):
        total += sum(object_bytes(key, seen) + object_bytes(value, seen) for key, value in root.items())
    elif isinstance(root, list | tuple | set | frozenset) or hasattr(root, "popleft"):
        total += sum(object_bytes(item, seen) for item in root)
    elif isinstance(root, random.Random):
        return total
    else:
        names = [name for kind in type(root).__mro__ for name in getattr(kind, "__slots__", ())]
        total += sum(object_bytes(getattr(root, name), seen) for name in names if hasattr(root, name))
        total += object_bytes(root.__dict__, seen) if hasattr(root, "__dict__") else 0
    return total


def encode_message(message: LevelMessage) -> bytes:
    """Encodes a message between a cell's leader and the level above."""
    if isinstance(message, Hello):
        return encode_hello(GROUP_NUMBER, message)
    if isinstance(message, Welcome):
        return encode_welcome(GROUP_NUMBER, message)
    return (
        encode_report(GROUP_NUMBER, message)
        if isinstance(message, UsageReport)
        else encode_answer(GROUP_NUMBER, message)
    )


@dataclass
class ControlCost:
    """Cost of one router or machine of the level above.

    Attributes:
        cpu_s: Processor seconds of control work.
        budget_bytes: Bytes that were sent for budgets.
    """

    cpu_s: float = 0.0
    budget_bytes: int = 0

    @contextmanager
    def measure_cpu(self) -> Iterator[None]:
        """Adds the processor time of the `with` block."""
        began = time.process_time()
        yield
        self.cpu_s += time.process_time() - began


def measure_membership(group: SimulatedGroup, costs: dict[int, ControlCost]) -> None:
    """Adds the processor time of the group's membership handlers to the costs, from now on."""
    for peer in group.routers:
        for name in ("run_timers", "receive"):
            setattr(peer, name, _timed(getattr(peer, name), costs, peer.number))


def _timed(handler: Callable[..., None], costs: dict[int, ControlCost], number: int) -> Callable[..., None]:
    def timed(*args: Any) -> None:
        with costs[number].measure_cpu():
            handler(*args)

    return timed


@dataclass(eq=False)
class Router:
    """One router process.

    Attributes:
        number: Number in the fleet, which selects its traffic.
        local_budgets: Its part of the budget.
        slot: Index in its cell.
        request_ends: Times at which its in-flight requests end.
        queue: Requests that wait for a unit.
        cost: Its control cost.
        ledger: The cell's allocation ledger, while it is the leader.
        lease_holder: The cell's leases from the level above, while it is the leader.
        term: The last term in which it was the leader.
        moved: Unused.
    """

    number: int
    local_budgets: LocalBudgets
    slot: int = 0
    request_ends: list[float] = field(default_factory=list)
    queue: int = 0
    cost: ControlCost = field(default_factory=ControlCost)
    ledger: AllocationLedger | None = None
    lease_holder: BudgetLeaseHolder | None = None
    term: int = 0
    moved: float = 0.0


class Fleet:
    """A simulated fleet.

    Attributes:
        cell_count: Cells of the fleet.
        cell_size: Routers of a cell at the start.
        slot_count: Slots for routers in a cell, some of them free.
        groups: The membership groups of the fully simulated cells.
        routers_by_slot: Routers by slot, for each fully simulated cell.
        cut_cells: Cells that are cut off from the level above.
        deliveries: Messages that arrive in the next step.
        orphan_ends: Times at which the units of processes that no longer run become free.
        usage_samples: Time and units in use, for each step.
        overuse_count: Steps in which more than the whole budget was in use.
    """

    def __init__(
        self, cell_count: int, cell_size: int, seed: int, full_cell_count: int, long_ratio: float = 0.0
    ) -> None:
        """Starts a fleet.

        Args:
            cell_count: Cells of the fleet.
            cell_size: Routers of a cell.
            seed: Seed of all random choices.
            full_cell_count: Cells that are simulated in full, at most.
            long_ratio: Part of the requests that take LONG_REQUEST_S.
        """
        self.long_ratio = long_ratio
        self.cell_count, self.cell_size, self.seed, self.now = cell_count, cell_size, seed, 0.0
        self.chance, self.slot_count = random.Random(seed), cell_size + SPARE_SLOTS
        self.share_count = cell_count * self.slot_count
        self.budget = Budget("w", UNITS_PER_ROUTER * cell_count * cell_size, 0.0, SETTLE_S)
        self.groups = [
            SimulatedGroup(self.slot_count, seed + cell_index, without_timers=True)
            for cell_index in range(min(cell_count, full_cell_count))
        ]
        self.level_above = SimulatedGroup(MACHINES, seed + 7919)
        self.lease_granters: dict[int, BudgetLeaseGranter] = {}
        self.machine_costs = {m: ControlCost() for m in range(MACHINES)}
        measure_membership(self.level_above, self.machine_costs)
        self.routers_by_slot: list[dict[int, Router]] = [{} for _ in self.groups]
        self.costs = [{p: ControlCost() for p in range(self.slot_count)} for _ in self.groups]
        self.orphan_ends: list[float] = []
        self.cut_cells: set[int] = set()
        self.deliveries: list[Callable[[], None]] = []
        count = len(self.groups) * cell_size
        self.traffic_ranks = list(range(count))
        harmonic = [1.0 / (n + 1) for n in range(count)]
        unit_count = self.budget.units * len(self.groups) / cell_count
        rate_unit = (
            DEMAND_RATIO
            * unit_count
            / (REQUEST_S * (1.0 - long_ratio) + LONG_REQUEST_S * long_ratio)
            / sum(harmonic)
        )
        self.rates = [rate_unit * part for part in harmonic]
        self.usage_samples: list[tuple[float, int]] = []
        self.overuse_count = 0
        for cell_index, group in enumerate(self.groups):
            measure_membership(group, self.costs[cell_index])
            for p in range(cell_size):
                self.routers_by_slot[cell_index][p] = self._new_router(cell_index * cell_size + p, p, -60.0)
                group.schedule(0.2 * self.chance.random(), group.routers[p].run_timers)
        self.leader_only_cells = [
            LeaderOnlyCell(self, cell_index) for cell_index in range(len(self.groups), cell_count)
        ]

    def clock(self) -> float:
        """Returns the routers' time in seconds."""
        return 1000.0 + self.now

    def _new_router(self, number: int, slot: int, began: float) -> Router:
        local_budgets = LocalBudgets(
            slot, self.slot_count, GUARANTEED_RATIO, LEASE_S, self.clock() + began, self.share_count
        )
        local_budgets.set_budgets([self.budget], self.clock())
        return Router(number, local_budgets, slot)

    # Simulation.

    def run(self, seconds: float, each: Callable[[], None] | None = None) -> None:
        """Simulates so many seconds and calls `each` after every step."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            deliveries, self.deliveries = self.deliveries, []
            for deliver in deliveries:
                deliver()
            self.level_above.run(self.now - self.level_above.now)
            tick = round(self.now / STEP_S)
            for cell_index, group in enumerate(self.groups):
                group.run(self.now - group.now)
                for slot, router in list(self.routers_by_slot[cell_index].items()):
                    self._simulate_traffic(router)
                    self._run_control(cell_index, slot, router, tick)
            for leader_only_cell in self.leader_only_cells:
                leader_only_cell.run_control(tick)
            self._update_granters()
            used = self.used()
            self.overuse_count += used > self.budget.units
            self.usage_samples.append((self.now, used))
            if each is not None:
                each()

    def used(self) -> int:
        """Returns the units in use at the engines."""
        self.orphan_ends = [end for end in self.orphan_ends if end > self.now]
        return sum(len(r.request_ends) for routers in self.routers_by_slot for r in routers.values()) + len(
            self.orphan_ends
        )

    def _simulate_traffic(self, router: Router) -> None:
        now, local_budget = self.clock(), next(iter(router.local_budgets.budgets.values()))
        ended = sum(end <= now for end in router.request_ends)
        for _ in range(ended):
            router.local_budgets.release(local_budget, now, False)
            local_budget.record_hold(REQUEST_S)
        router.request_ends = [end for end in router.request_ends if end > now]
        for _, excess in router.local_budgets.find_overdue(now):
            for end in sorted(router.request_ends)[-excess:]:
                router.request_ends.remove(end)
                router.local_budgets.release(local_budget, now, True)
                self.orphan_ends.append(self.now + ABANDONED_ATTEMPT_END_S)
        rate = self.rates[self.traffic_ranks[router.number]] * STEP_S
        new_requests = int(rate) + (self.chance.random() < rate % 1.0)
        local_budget.arrivals += new_requests
        router.queue = min(router.queue + new_requests, int(30 * rate) + 2)
        while router.queue and local_budget.has_room(now):
            router.local_budgets.acquire(local_budget, now)
            router.request_ends.append(
                now + (LONG_REQUEST_S if self.chance.random() < self.long_ratio else REQUEST_S)
            )
            router.queue -= 1
        local_budget.waiting.update(str(i) for i in range(min(router.queue, 64)))

    def _run_control(self, cell_index: int, slot: int, router: Router, tick: int) -> None:
        """Does what a router's budget service does at this moment: reports, and leads the cell."""
        report_ticks, cell_report_ticks = (
            round(REPORT_INTERVAL_S / STEP_S),
            round(CELL_REPORT_INTERVAL_S / STEP_S),
        )
        if (
            tick % report_ticks != slot % report_ticks
            and tick % cell_report_ticks != slot % cell_report_ticks
        ):
            return
        peer, cost = self.groups[cell_index].routers[slot], self.costs[cell_index][slot]
        if not peer.alive:
            return
        now = self.clock()
        with cost.measure_cpu():
            leader_info = peer.node.leader_ref(peer.clock())
            if leader_info.leader_until <= peer.clock():
                router.ledger = router.lease_holder = None
            elif router.ledger is None or leader_info.term != router.term:
                self._start_leading(cell_index, slot, router, leader_info.generation, leader_info.term)
            if tick % cell_report_ticks == slot % cell_report_ticks and router.lease_holder is not None:
                for machine, message in router.lease_holder.make_messages(now):
                    data = encode_message(message)
                    cost.budget_bytes += len(data)
                    self._send_up(
                        cell_index,
                        machine,
                        data,
                        partial(self._handle_level_answer, cell_index, slot, router),
                    )
        if (
            tick % report_ticks == slot % report_ticks
            and leader_info.generation
            and leader_info.leader >= 0
            and not leader_info.is_superseded
        ):
            with cost.measure_cpu():
                reports = router.local_budgets.make_reports(
                    leader_info.leader, leader_info.leader_generation, leader_info.generation, now
                )
                encoded_reports = [encode_report(GROUP_NUMBER, report) for report in reports]
            cost.budget_bytes += sum(map(len, encoded_reports)) if leader_info.leader != slot else 0
            for data in encoded_reports:
                self.deliveries.append(
                    partial(self._handle_report, cell_index, slot, leader_info.leader, data)
                )

    def _start_leading(self, cell_index: int, slot: int, router: Router, start: int, term: int) -> None:
        now, router.term = self.clock(), term
        router.lease_holder = BudgetLeaseHolder(
            cell_index, (router.number, start, term), MACHINES, CELL_LEASE_S, now
        )
        router.ledger = AllocationLedger(
            slot,
            self.slot_count,
            start,
            term,
            GUARANTEED_RATIO,
            LEASE_S,
            now,
            {self.budget.budget_id: {self.budget.units}},
            CellRouterPolicy(self.slot_count, GUARANTEED_RATIO, self.share_count),
            router.lease_holder,
        )
        router.ledger.set_budgets([self.budget])
        router.lease_holder.ledger = router.ledger

    def _handle_report(self, cell_index: int, slot: int, leader_slot: int, data: bytes) -> None:
        leader, peer = (
            self.routers_by_slot[cell_index].get(leader_slot),
            self.groups[cell_index].routers[leader_slot],
        )
        if leader is None or leader.ledger is None or not peer.alive or not peer.partition_status().is_leader:
            return
        cost = self.costs[cell_index][leader_slot]
        with cost.measure_cpu():
            report = decode(GROUP_NUMBER, data)
            assert isinstance(report, UsageReport)
            answer = leader.ledger.handle_report(slot, report, self.clock())
            encoded_answer = encode_answer(GROUP_NUMBER, answer) if answer is not None else b""
        if encoded_answer:
            cost.budget_bytes += len(encoded_answer) if slot != leader_slot else 0
            self.deliveries.append(
                partial(self._handle_answer, cell_index, slot, leader_slot, encoded_answer)
            )

    def _handle_answer(self, cell_index: int, slot: int, leader_slot: int, data: bytes) -> None:
        router = self.routers_by_slot[cell_index].get(slot)
        if router is not None and self.groups[cell_index].routers[slot].alive:
            with self.costs[cell_index][slot].measure_cpu():
                answer = decode(GROUP_NUMBER, data)
                assert isinstance(answer, BudgetAnswer)
                router.local_budgets.handle_answer(leader_slot, answer, self.clock())

    # The level above.

    def _send_up(
        self, cell_index: int, machine: int, data: bytes, on_answer: Callable[[bytes, int], None]
    ) -> None:
        if cell_index not in self.cut_cells:
            self.deliveries.append(partial(self._handle_level_message, cell_index, machine, data, on_answer))

    def _handle_level_message(
        self, cell_index: int, machine: int, data: bytes, on_answer: Callable[[bytes, int], None]
    ) -> None:
        granter, peer = self.lease_granters.get(machine), self.level_above.routers[machine]
        if (
            granter is None
            or not peer.alive
            or not peer.partition_status().is_leader
            or cell_index in self.cut_cells
        ):
            return
        cost = self.machine_costs[machine]
        with cost.measure_cpu():
            message, answer = decode(GROUP_NUMBER, data), None
            if isinstance(message, Hello):
                answer = granter.handle_hello(message)
            elif isinstance(message, UsageReport):
                answer = granter.handle_report(cell_index, message, self.clock())  # type: ignore[assignment]
            encoded_answer = encode_message(answer) if answer is not None else b""
        if encoded_answer:
            cost.budget_bytes += len(encoded_answer)
            self.deliveries.append(partial(on_answer, encoded_answer, machine))

    def _handle_level_answer(self, cell_index: int, slot: int, router: Router, data: bytes, by: int) -> None:
        peer = self.groups[cell_index].routers[slot]
        if (
            router.lease_holder is not None
            and peer.alive
            and peer.partition_status().is_leader
            and cell_index not in self.cut_cells
        ):
            with self.costs[cell_index][slot].measure_cpu():
                message = decode(GROUP_NUMBER, data)
                assert isinstance(message, Welcome | BudgetAnswer)
                router.lease_holder.handle_message(by, message, self.clock())

    def _update_granters(self) -> None:
        for machine, peer in enumerate(self.level_above.routers):
            leader_info = peer.node.leader_ref(peer.clock())
            if not peer.alive or leader_info.leader_until <= peer.clock():
                self.lease_granters.pop(machine, None)
            elif (
                machine not in self.lease_granters
                or self.lease_granters[machine].ledger.term != leader_info.term
            ):
                seen = {self.budget.budget_id: {self.budget.units}}
                self.lease_granters[machine] = granter = BudgetLeaseGranter(
                    machine,
                    self.cell_count,
                    self.share_count,
                    leader_info.generation,
                    leader_info.term,
                    GUARANTEED_RATIO,
                    CELL_LEASE_S,
                    self.clock(),
                    seen,
                )
                granter.ledger.set_budgets([budget_for_level_above(self.budget, LEASE_S)])

    # Faults.

    def leader(self, cell_index: int) -> int:
        """Returns the slot of the cell's leader, -1 if it has none."""
        return next(
            (
                p
                for p, r in self.routers_by_slot[cell_index].items()
                if r.lease_holder is not None and self.is_leader(cell_index, p)
            ),
            -1,
        )

    def is_leader(self, cell_index: int, slot: int) -> bool:
        """Returns whether the router in this slot runs and is the leader of its cell."""
        peer = self.groups[cell_index].routers[slot]
        return peer.alive and peer.partition_status().is_leader

    def kill(self, cell_index: int, slot: int) -> Router:
        """Kills a router; its units stay in use until the engines end them."""
        self.groups[cell_index].kill(slot)
        router = self.routers_by_slot[cell_index].pop(slot)
        self.orphan_ends += [self.now + ABANDONED_ATTEMPT_END_S for _ in router.request_ends]
        return router

    def start(self, cell_index: int, slot: int, number: int) -> None:
        """Starts a router in a free slot."""
        self.routers_by_slot[cell_index][slot] = self._new_router(number, slot, 0.0)
        self.groups[cell_index].start(slot)

    def move(self, cell_index: int, slot: int, target_cell: int) -> int:
        """Moves a router to another cell, as a new plan does, and returns its new slot."""
        self.groups[cell_index].kill(slot)
        router = self.routers_by_slot[cell_index].pop(slot)
        router.slot = next(p for p in range(self.slot_count) if p not in self.routers_by_slot[target_cell])
        router.ledger = router.lease_holder = None
        router.local_budgets.move_to_group(router.slot, self.clock())
        self.routers_by_slot[target_cell][router.slot] = router
        self.groups[target_cell].start(router.slot)
        return router.slot

    # Observation.

    def mean_usage(self, start: float, end: float, of: float = 0.0) -> float:
        """Returns the mean units in use between two times, as a part of `of` units or of the whole budget."""
        seen = [used for at, used in self.usage_samples if start <= at < end]
        return sum(seen) / max(len(seen), 1) / (of or self.budget.units)

    def cell_usage(self, cell_index: int) -> int:
        """Returns the units in use by the routers of one cell."""
        return sum(len(router.request_ends) for router in self.routers_by_slot[cell_index].values())


class LeaderOnlyCell:
    """A cell of which only the leader is simulated, with the demand of one router in its ledger."""

    def __init__(self, fleet: Fleet, cell_index: int) -> None:
        self.fleet, self.cell_index, now = fleet, cell_index, fleet.clock()
        self.lease_holder = BudgetLeaseHolder(
            cell_index, (cell_index * fleet.cell_size, 1, 1), MACHINES, CELL_LEASE_S, now
        )
        router_policy = CellRouterPolicy(fleet.slot_count, GUARANTEED_RATIO, fleet.share_count)
        budget = fleet.budget
        seen = {budget.budget_id: {budget.units}}
        self.ledger = AllocationLedger(
            0, fleet.slot_count, 1, 1, GUARANTEED_RATIO, LEASE_S, now, seen, router_policy, self.lease_holder
        )
        self.ledger.set_budgets([budget])
        self.lease_holder.ledger, self.token = self.ledger, 0
        self.usage = BudgetUsage(budget.budget_id, 0, 0, 0, 5 * fleet.cell_size, 1.0, budget.units, 1, 0)

    def run_control(self, tick: int) -> None:
        """Does what the leader does at this tick: handles a report, and reports to the level above."""
        fleet, now = self.fleet, self.fleet.clock()
        if tick % round(REPORT_INTERVAL_S / STEP_S) == self.cell_index % round(REPORT_INTERVAL_S / STEP_S):
            self.token += 1
            report = UsageReport(1, 1, 1, self.token, 1, 1, False, 60_000, (self.usage,))
            answer = self.ledger.handle_report(0, report, now)
            for grant in answer.grants if answer is not None else ():
                usage, units = self.usage, grant.leased_units
                self.usage = BudgetUsage(
                    usage.budget_id,
                    grant.serial,
                    units,
                    units,
                    5 * fleet.cell_size,
                    1.0,
                    usage.total_units,
                    1,
                    0,
                )
        if tick % round(CELL_REPORT_INTERVAL_S / STEP_S) == self.cell_index % round(
            CELL_REPORT_INTERVAL_S / STEP_S
        ):
            for machine, message in self.lease_holder.make_messages(now):
                fleet._send_up(self.cell_index, machine, encode_message(message), self._handle_level_answer)

    def _handle_level_answer(self, data: bytes, by: int) -> None:
        message = decode(GROUP_NUMBER, data)
        assert isinstance(message, Welcome | BudgetAnswer)
        self.lease_holder.handle_message(by, message, self.fleet.clock())


# Costs of control.

MEASUREMENTS = {
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


def measure_costs(fleet: Fleet, seconds: float) -> dict[str, float]:
    """Measures the costs of control over a time.

    Returns:
        Figures by name. `use` is the mean part of the budget in use while demand exceeds the budget; it has a
        meaning only where all cells are simulated in full. `over` is the number of steps in which more than
        the whole budget was in use.
    """
    for costs in [*fleet.costs, fleet.machine_costs]:
        for cost in costs.values():
            cost.cpu_s, cost.budget_bytes = 0.0, 0
    for group in [*fleet.groups, fleet.level_above]:
        group.sent_bytes = [0] * group.count
    began = fleet.now
    fleet.run(seconds)
    cpu_values, byte_values, state_values = list[float](), list[float](), list[float]()
    for cell_index, group in enumerate(fleet.groups):
        for slot, router in fleet.routers_by_slot[cell_index].items():
            cost = fleet.costs[cell_index][slot]
            cpu_values.append(cost.cpu_s / seconds)
            byte_values.append((cost.budget_bytes + group.sent_bytes[slot]) / seconds)
            router_objects = [
                group.routers[slot].node,
                router.local_budgets,
                router.ledger,
                router.lease_holder,
            ]
            state_values.append(float(object_bytes(router_objects)))
    machine_cpu_values = [m.cpu_s / seconds for m in fleet.machine_costs.values()]
    machine_bytes = [
        (m.budget_bytes + fleet.level_above.sent_bytes[n]) / seconds for n, m in fleet.machine_costs.items()
    ]
    machine_state_values = [
        float(object_bytes([peer.node, fleet.lease_granters.get(n)]))
        for n, peer in enumerate(fleet.level_above.routers)
    ]
    return {
        "cell_cpu": sum(cpu_values) / len(cpu_values),
        "cell_bytes": sum(byte_values) / len(byte_values),
        "cell_state": sum(state_values) / len(state_values),
        "cell_leader_cpu": max(cpu_values),
        "cell_leader_bytes": max(byte_values),
        "cell_leader_state": max(state_values),
        "level_cpu": max(machine_cpu_values),
        "level_bytes": max(machine_bytes),
        "level_state": max(machine_state_values),
        "use": fleet.mean_usage(began, fleet.now),
        "over": float(fleet.overuse_count),
    }


def measure_flat_group(routers: int, seed: int, seconds: float = 6.0) -> tuple[float, float]:
    """Measures the busiest router of one flat group, for membership alone.

    Returns:
        Processor seconds per second, and bytes per second.
    """
    group, costs = SimulatedGroup(routers, seed), {n: ControlCost() for n in range(routers)}
    group.run(12.0)
    measure_membership(group, costs)
    group.sent_bytes = [0] * routers
    group.run(seconds)
    return max(s.cpu_s for s in costs.values()) / seconds, max(group.sent_bytes) / seconds


def flat_death_seconds(routers: int, kill_count: int, seed: int) -> float:
    """Returns the median seconds until a death is known in a flat group whose routers are killed in turn."""
    group, chance, detection_seconds = SimulatedGroup(routers, seed), random.Random(seed), list[float]()
    group.run(15.0)
    for _ in range(kill_count):
        number, at = chance.randrange(routers), group.now
        group.changes.clear()
        group.kill(number)
        group.run(8.0)
        detection_seconds += _detection_seconds(group, number, at, [r.number for r in group.live_routers()])
        group.start(number)
        group.run(8.0)
    return percentile(detection_seconds, 50)


def _detection_seconds(
    group: SimulatedGroup, number: int, killed_at: float, observers: list[int]
) -> list[float]:
    """Returns the seconds until each of the given routers knew of a death.

    Args:
        group: The group, whose changes were cleared before the death.
        number: The router that died.
        killed_at: Time of the death.
        observers: Routers that are asked.

    Returns:
        Seconds by observer; 10 for one that does not know of the death.
    """
    detected_after: dict[int, float] = {}
    for when, by, change in group.changes:
        if change.router == number and change.state is MemberState.DEAD:
            detected_after.setdefault(by, when - killed_at)
    return [detected_after.get(n, 10.0) for n in observers]


FLEET_SIZES = (100, 200, 400, 800, 1600, 2400, 3200, 4600)
QUICK_FLEET_SIZES = (40, 60, 80, 100, 120, 200)


def measure(seed: int, quick: bool) -> dict[int, dict[str, float]]:
    """Measures fleets of several sizes.

    All fleets run in turn for a short time, several times over. The minimum of the processor times counts,
    since other work on the machine makes the same work take up to half as long again.

    Returns:
        Figures by name, keyed by the number of routers in the fleet.
    """
    sizes, full_cell_count = (QUICK_FLEET_SIZES, 2) if quick else (FLEET_SIZES, FULL_CELL_COUNT)
    fleets = {size: Fleet(size // CELL_SIZE, CELL_SIZE, seed, full_cell_count) for size in sizes}
    for fleet in fleets.values():
        fleet.run(START_S)
    turns = [
        {size: measure_costs(fleet, 2.0) for size, fleet in fleets.items()} for _ in range(2 if quick else 5)
    ]
    out = dict[int, dict[str, float]]()
    for size in fleets:
        found = [turn[size] for turn in turns]
        means = {name: sum(f[name] for f in found) / len(found) for name in found[0]}
        out[size] = means | {name: min(f[name] for f in found) for name in means if name.endswith("cpu")}
    return out


def fit_slopes(figures_by_size: dict[int, dict[str, float]], seed: int) -> list[Slope]:
    """Fits a slope through the measured values of each figure."""
    return [
        fit(
            name,
            what,
            "routers in the fleet",
            "simulated",
            list(figures_by_size),
            [found[name] for found in figures_by_size.values()],
            seed,
        )
        for name, what in MEASUREMENTS.items()
    ]


def measure_slopes(seed: int, quick: bool) -> list[Slope]:
    """Measures and fits all slopes of this module; `quick` measures small fleets only."""
    return fit_slopes(measure(seed, quick), seed)


# Faults.


@dataclass
class FaultResults:
    """Results of a simulation with faults.

    Attributes:
        detection_s: Seconds until a death was known, for each router of the cell.
        usage_after_death: Use of the budget in each second after a leader's death, as a part of the use
            before it.
        leased_again_s: Seconds until the cell of a dead leader had a lease again.
        usage_while_leased: Use by a cut-off cell while its lease was valid, as a part of the use before.
        usage_on_guarantee: The same after the lease expired, when only guaranteed units are left.
        recovery_s: Seconds until a cell that was cut off had four fifths of its former use again.
        deaths: Leaders that were killed.
        cuts: Times that a cell was cut off.
        plans: Changes of the plan.
        overuse_count: Steps in which more than the whole budget was in use.
        step_count: Steps of the simulation.
    """

    detection_s: list[float] = field(default_factory=list)
    usage_after_death: list[list[float]] = field(default_factory=list)
    leased_again_s: list[float] = field(default_factory=list)
    usage_while_leased: list[float] = field(default_factory=list)
    usage_on_guarantee: list[float] = field(default_factory=list)
    recovery_s: list[float] = field(default_factory=list)
    deaths: int = 0
    cuts: int = 0
    plans: int = 0
    overuse_count: int = 0
    step_count: int = 0


def mean_units_in_use(fleet: Fleet, seconds: float, cell_index: int = -1) -> float:
    """Runs the fleet and returns the mean units in use, in one cell or (-1) in all."""
    seen = list[int]()
    fleet.run(seconds, lambda: seen.append(fleet.cell_usage(cell_index) if cell_index >= 0 else fleet.used()))
    return sum(seen) / max(len(seen), 1)


def kill_leader(fleet: Fleet, cell_index: int, results: FaultResults) -> None:
    """Kills the leader of a cell, records the recovery, and starts the router again."""
    slot = fleet.leader(cell_index)
    if slot < 0:
        return
    before, group = mean_units_in_use(fleet, 1.0), fleet.groups[cell_index]
    group.changes.clear()
    at, router = fleet.now, fleet.kill(cell_index, slot)
    results.deaths += 1
    after, leased_again_s = list[float](), -1.0
    for _ in range(10):
        after.append(mean_units_in_use(fleet, 1.0) / max(before, 1.0))
        leader = fleet.leader(cell_index)
        lease_holder = fleet.routers_by_slot[cell_index][leader].lease_holder if leader >= 0 else None
        if (
            leased_again_s < 0
            and lease_holder is not None
            and any(p.valid_lease_units(fleet.clock()) for p in lease_holder.budgets.values())
        ):
            leased_again_s = fleet.now - at
    results.usage_after_death.append(after)
    results.leased_again_s.append(leased_again_s if leased_again_s >= 0 else 10.0)
    results.detection_s += _detection_seconds(group, slot, at, sorted(fleet.routers_by_slot[cell_index]))
    fleet.start(cell_index, slot, router.number)
    fleet.run(4.0)


def cut_off_cell(fleet: Fleet, cell_index: int, results: FaultResults) -> None:
    """Cuts a cell off from the level above and records what it uses until it has recovered."""
    before = max(mean_units_in_use(fleet, 1.0, cell_index), 1.0)
    fleet.cut_cells.add(cell_index)
    results.cuts += 1
    results.usage_while_leased.append(mean_units_in_use(fleet, CELL_LEASE_S - 1.0, cell_index) / before)
    fleet.run(LEASE_S + 3.0)
    results.usage_on_guarantee.append(mean_units_in_use(fleet, 3.0, cell_index) / before)
    fleet.cut_cells.discard(cell_index)
    at, ends = fleet.now, fleet.now + 12.0
    while fleet.now < ends and mean_units_in_use(fleet, 0.5, cell_index) < 0.8 * before:
        pass
    results.recovery_s.append(fleet.now - at)


def change_plan(fleet: Fleet, cell_index: int, results: FaultResults, chance: random.Random) -> None:
    """Moves some routers of a cell, sometimes its leader among them, to the next cell and back again."""
    target_cell = (cell_index + 1) % len(fleet.groups)
    slots = chance.sample(
        sorted(fleet.routers_by_slot[cell_index]), min(SPARE_SLOTS, len(fleet.routers_by_slot[cell_index]))
    )
    if chance.random() < 0.3 and fleet.leader(cell_index) >= 0:
        slots[0] = fleet.leader(cell_index)
    results.plans += 1
    moved = [fleet.move(cell_index, slot, target_cell) for slot in dict.fromkeys(slots)]
    fleet.run(chance.choice([1.0, 5.0]))
    for slot in moved:
        fleet.move(target_cell, slot, cell_index)
    fleet.run(5.0)


def simulate_faults(seed: int, cell_count: int, cell_size: int, rounds: int) -> FaultResults:
    """Simulates leaders' deaths, cuts from the level above and changes of the plan in turn.

    Some requests are long.

    Args:
        seed: Seed of all random choices.
        cell_count: Cells of the fleet.
        cell_size: Routers of a cell.
        rounds: Faults of each kind.
    """
    fleet, results, chance = (
        Fleet(cell_count, cell_size, seed, cell_count, 0.02),
        FaultResults(),
        random.Random(seed),
    )
    fleet.run(START_S + 4.0)
    for n in range(rounds):
        kill_leader(fleet, n % cell_count, results)
        cut_off_cell(fleet, (n + 1) % cell_count, results)
        change_plan(fleet, (n + 2) % cell_count, results, chance)
    results.overuse_count, results.step_count = fleet.overuse_count, len(fleet.usage_samples)
    return results


def measure_shift(seed: int, cell_count: int, cell_size: int) -> tuple[float, float]:
    """Moves the heaviest traffic to a router of another cell.

    Returns:
        Seconds until that router may use four fifths of the units that it has in the end, and the part of the
        budget that was in use before.
    """
    fleet = Fleet(cell_count, cell_size, seed, cell_count)
    fleet.run(START_S + 6.0)
    usage, half_count = fleet.mean_usage(fleet.now - 4.0, fleet.now), cell_count * cell_size // 2
    fleet.traffic_ranks = fleet.traffic_ranks[half_count:] + fleet.traffic_ranks[:half_count]
    busiest = fleet.routers_by_slot[half_count // cell_size][half_count % cell_size]
    local_budget, unit_limits = next(iter(busiest.local_budgets.budgets.values())), list[int]()
    fleet.run(8.0, lambda: unit_limits.append(local_budget.max_units(fleet.clock())))
    final_limit = sum(unit_limits[-50:]) / 50
    return next(
        (STEP_S * i for i, unit_limit in enumerate(unit_limits) if unit_limit >= 0.8 * final_limit), 8.0
    ), usage


def run(report: Report, seed: int, quick: bool) -> None:
    """Runs the experiment and adds its rows, figures, claims and chart to the report."""
    figures_by_size = measure(seed, quick)
    for size, found in figures_by_size.items():
        report.rows.append({"fleet": f"{size} routers in cells of {CELL_SIZE}"} | _report_row(found))
        report.figures |= {f"{size}_{name}": value for name, value in found.items()}
    report.claim(
        "processor time of the busiest router, of a core, at every size",
        max(found["cell_leader_cpu"] for found in figures_by_size.values()),
        MAX_CPU,
    )
    report.claim(
        "bytes a second of the busiest router, at every size",
        max(found["cell_leader_bytes"] for found in figures_by_size.values()),
        MAX_BYTES_PER_S,
    )
    report.claim(
        "bytes of state of the largest router, at every size",
        max(found["cell_leader_state"] for found in figures_by_size.values()),
        MAX_STATE_BYTES,
    )
    report.claim(
        "processor time of the busiest machine above, of a core, at every size",
        max(found["level_cpu"] for found in figures_by_size.values()),
        1.0,
    )
    report.claim(
        "bytes of state of the largest machine above, at every size",
        max(found["level_state"] for found in figures_by_size.values()),
        MAX_STATE_BYTES,
    )
    for slope in fit_slopes(figures_by_size, seed):
        for end, value in (("exponent", slope.exponent), ("low", slope.low), ("high", slope.high)):
            report.figures[f"{slope.name}_{end}"] = value
        report.figures[f"{slope.name}_held_out"] = slope.error
        if slope.name.startswith("cell_"):
            exponent_claim = 0.0 if slope.low <= 0.0 <= slope.high else slope.exponent
            report.claim(
                f"{slope.name}: exponent against the fleet's size, 0 where its interval holds 0",
                exponent_claim,
                MAX_LOGARITHMIC_EXPONENT,
            )
            growth = slope.ys[-1] / slope.ys[0]
            report.claim(
                f"{slope.name}: times its value at {slope.xs[0]:.0f} routers at {slope.xs[-1]:.0f}",
                growth,
                MAX_GROWTH,
            )
    for count in (48,) if quick else (48, 96):
        cpu, sent = measure_flat_group(count, seed)
        row = {"busiest router, of a core": f"{cpu:.4f}", "its bytes a second": round(sent)}
        report.rows.append({"fleet": f"{count} routers in one group, membership alone"} | row)
        report.figures |= {f"flat_{count}_cpu": cpu, f"flat_{count}_bytes": sent}
    for count in (CELL_SIZE,) if quick else (7, CELL_SIZE, 48):
        detection_seconds = flat_death_seconds(count, 3 if quick else 10, seed)
        report.figures[f"flat_{count}_death_known_p50_s"] = detection_seconds
    results = simulate_faults(seed, 2, CELL_SIZE, 2) if quick else simulate_faults(seed, 4, CELL_SIZE, 20)
    after = [sum(values) / len(values) for values in zip(*results.usage_after_death, strict=True)]
    report.figures |= {
        "moments": results.step_count,
        "leader_deaths": results.deaths,
        "cuts": results.cuts,
        "plans": results.plans,
        "death_known_p50_s": percentile(results.detection_s, 50),
        "death_known_p99_s": percentile(results.detection_s, 99),
        "least_use_after_a_leaders_death": min(after),
        "leased_again_p50_s": percentile(results.leased_again_s, 50),
        "leased_again_most_s": max(results.leased_again_s),
        "cut_use_leased": sum(results.usage_while_leased) / len(results.usage_while_leased),
        "cut_use_bases": sum(results.usage_on_guarantee) / len(results.usage_on_guarantee),
        "cut_back_p50_s": percentile(results.recovery_s, 50),
    }
    report.claim(
        "moments above the whole, through deaths of leaders, cuts and plans", results.overuse_count, 0
    )
    report.claim(
        "seconds until a death is known in its cell, median", percentile(results.detection_s, 50), 1.6
    )
    report.claim(
        "leaders' deaths, cuts and plans, the fewest",
        min(results.deaths, results.cuts, results.plans),
        2 if quick else 20,
        is_minimum=True,
    )
    shift_seconds, usage = measure_shift(seed, 2 if quick else 6, CELL_SIZE)
    report.figures |= {"shift_between_cells_s": shift_seconds}
    report.claim("use of the whole while more is wanted", usage, 0.85, is_minimum=True)
    report.charts.append(
        (
            "use of the whole after a leader's death",
            "seconds",
            "part of what it was before",
            {"all cells": ([n + 0.5 for n in range(len(after))], after)},
        )
    )


# Over these sizes, a figure with an exponent below this grows no faster than the logarithm.
MAX_LOGARITHMIC_EXPONENT = 0.05
# Allowed ratio of a router's figure in the largest fleet to that in the smallest.
MAX_GROWTH = 1.15


def _report_row(found: dict[str, float]) -> dict[str, Any]:
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
