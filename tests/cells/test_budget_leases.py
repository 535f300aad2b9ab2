"""Tests that budgets leased from level to level are never exceeded, whatever fails.

The lab's explorer runs every order of a few actions, and long random walks, over two cells whose leaders,
routers and connections change. The same walks have to detect the removal of each guard. Further tests check
single cases and the encoding.
"""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.budgets.allocation_ledger import AllocationLedger
from marbleworks.budgets.allocation_policy import MemberPolicy
from marbleworks.budgets.budget_catalog import ABANDONED_ATTEMPT_TIMEOUT_S, MAX_BUDGET_UNITS, Budget
from marbleworks.budgets.codec import BudgetAnswer, BudgetGrant, BudgetReport, BudgetUsage, encode_report
from marbleworks.budgets.local_budget import LocalBudgets
from marbleworks.cells import budget_leases
from marbleworks.cells.budget_leases import (
    BudgetLeaseGranter,
    BudgetLeaseHolder,
    CellBudget,
    CellPolicy,
    CellRouterPolicy,
    Hello,
    Welcome,
    budget_for_level_above,
    decode,
    encode_hello,
    encode_welcome,
)
from marbleworks.lab import levels
from marbleworks.lab.explore import InvariantViolation
from marbleworks.lab.levels import LeaseModel, exhaust, run_rounds, start_model, stroll
from marbleworks.membership.codec import MAX_DATAGRAM_BYTES, DatagramDecodeError

WALK_COUNT, ACTS_PER_WALK = 400, 300


def run_walks(act_weights: dict[str, float], walk_count: int = WALK_COUNT) -> None:
    for seed in range(walk_count):
        stroll(seed, ACTS_PER_WALK, (0.0, 1.0, 0.0)[seed % 3], (3, 9, 40)[seed % 3], act_weights)


# Guards that are removed one at a time.


def older_epochs_are_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    def handle_report(
        self: BudgetLeaseGranter, cell: int, report: BudgetReport, now: float
    ) -> BudgetAnswer | None:
        if report.incarnation != self.ledger.incarnations.get(cell):
            self.ledger._on_new_incarnation(cell, report.incarnation, now)
        return self.ledger.handle_report(cell, report, now)

    monkeypatch.setattr(BudgetLeaseGranter, "handle_report", handle_report)


def account_ends_with_its_leader(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CellPolicy, "on_new_incarnation", MemberPolicy.on_new_incarnation)


def new_leader_claims_to_know_its_use(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CellPolicy, "is_use_unknown", lambda self, report: False)


def new_leader_assumes_no_earlier_grants(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(BudgetLeaseHolder, "max_earlier_grants", lambda self, allocation, members: 0)


def grants_outlast_the_cells_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(BudgetLeaseHolder, "can_renew", lambda self, allocation, now: True)


def routers_leases_are_not_counted_above(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(levels, "budget_for_level_above", lambda budget, lease_s: budget)
    monkeypatch.setattr(budget_leases, "budget_for_level_above", lambda budget, lease_s: budget)


def paused_leader_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        LeaseModel, "is_leader", lambda self, cell, number: number in self.cells[cell].leader_states
    )


def moved_router_keeps_its_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        LocalBudgets, "move_to_group", lambda self, router_index, now: self.follow_granter(-1, 0, 0)
    )


def moved_router_reports_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    original = LocalBudgets.move_to_group

    def move_to_group(self: LocalBudgets, router_index: int, now: float) -> None:
        original(self, router_index, now)
        for local in self.budgets.values():
            local.belongs_to_former_group = False

    monkeypatch.setattr(LocalBudgets, "move_to_group", move_to_group)


def replaced_router_is_assumed_dead(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        CellRouterPolicy, "replaced_process_settled_at", MemberPolicy.replaced_process_settled_at
    )


def cell_reports_only_its_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CellBudget, "held_units", lambda self, now: self.valid_lease_units(now))


def unreported_units_are_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(AllocationLedger, "_unreported_units", lambda self, allocation, now: 0)


def guarantees_are_divided_by_places(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(levels, "SHARE_COUNT", levels.SLOTS_PER_CELL)


def guarantees_are_not_counted_above(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CellPolicy, "all_guaranteed_units", lambda self, allocation: 0)


MOVE_WEIGHTS = {"moved": 0.15, "cut": 0.2, "fills": 2.0}
# A guard, and the weights of actions with which walks detect that it is missing.
GUARDS: list[tuple[Any, dict[str, float]]] = [
    (account_ends_with_its_leader, {}),
    (new_leader_claims_to_know_its_use, {}),
    (new_leader_assumes_no_earlier_grants, {}),
    (grants_outlast_the_cells_lease, {}),
    (routers_leases_are_not_counted_above, {"cut": 0.3, "fills": 2.0}),
    (paused_leader_goes_on, {"stale": 0.3, "hears": 0.1, "right": 0.1, "fills": 2.0}),
    (replaced_router_is_assumed_dead, MOVE_WEIGHTS),
    (cell_reports_only_its_lease, {}),
    (unreported_units_are_ignored, {}),
    (guarantees_are_divided_by_places, {}),
    (guarantees_are_not_counted_above, {}),
]


@pytest.mark.parametrize(("guard", "act_weights"), GUARDS)
def test_a_removed_guard_is_found(
    guard: Any, act_weights: dict[str, float], monkeypatch: pytest.MonkeyPatch
) -> None:
    guard(monkeypatch)
    with pytest.raises(InvariantViolation):
        run_walks(act_weights)


# The explorer, with all guards in place.


def test_every_order_of_a_few_acts_keeps_within_the_total() -> None:
    assert exhaust(2) > 700 and exhaust(2, 1.0) > 700 and exhaust(2, step=0.3) > 700


@pytest.mark.parametrize("seed", range(3))
def test_long_walks_with_every_fault_keep_within_the_total(seed: int) -> None:
    for n in range(60):
        stroll(10_000 * (seed + 1) + n, 300, (0.0, 1.0, 0.0, 4.0)[n % 4], (3, 9, 40)[n % 3])
    for act_weights in (MOVE_WEIGHTS, {"stale": 0.3, "hears": 0.1, "right": 0.1, "fills": 2.0}):
        for n in range(20):
            stroll(20_000 * (seed + 1) + n, 300, (0.0, 1.0)[n % 2], (9, 40)[n % 2], act_weights)


# Single cases.


def start_fleet(units: int = 9, guaranteed_ratio: float = 0.0, settle_s: float = 0.3) -> LeaseModel:
    return start_model(Budget("w", units, 0.0, settle_s + ABANDONED_ATTEMPT_TIMEOUT_S), guaranteed_ratio)


def cell_budget(world: LeaseModel, cell: int) -> Any:
    leader = world.cells[cell].leader_states[world.cells[cell].leader]
    return next(iter(leader.lease_holder.budgets.values()))


def account(world: LeaseModel, cell: int) -> Any:
    assert world.lease_granter is not None
    return next(iter(world.lease_granter.ledger.allocations.values())).accounts[cell]


def max_units(world: LeaseModel, cell: int) -> int:
    """Returns the units that the routers of a cell may have in use."""
    return sum(
        world.budget(n).max_units(world.clock(n)) for n, (c, _) in world.cell_and_place.items() if c == cell
    )


def test_units_follow_demand_from_one_cell_to_the_other() -> None:
    world = start_fleet(40, 0.2)
    run_rounds(world, 100, (0, 2, 4))
    assert world.used() >= 32 and max_units(world, 0) >= 30
    for n in (0, 2, 4):
        while world.routers[n].units_in_use:
            world.end(n, False)
    run_rounds(world, 60, (1, 3, 5))
    assert max_units(world, 1) > max_units(world, 0) and world.used() >= 20


def deliver_report_of_an_older_leader(world: LeaseModel) -> None:
    """Delivers a former leader's report while its cell's routers may hold more than the cell is leased.

    Then the routers of the other cell use all units that they may.
    """
    run_rounds(world, 70, ())
    world.send_leader_messages(0, 0)
    old_report = world.in_flight.pop()
    run_rounds(world, 30, (0, 2, 4))
    run_rounds(world, 10, (0, 1, 2, 3, 4, 5))
    world.elect_leader(0, 2)
    run_rounds(world, 12, (0, 1, 2, 3, 4, 5))
    assert account(world, 0).max_units > cell_budget(world, 0).leased_units
    world.in_flight.append(old_report)
    world.deliver(0, False)
    world.send_leader_messages(1, 1)
    while world.in_flight:
        world.deliver(0, False)
    for n in (1, 3, 5, 1, 3, 5):
        world.advance(0.05)
        world.send_reports(n)
        while world.in_flight:
            world.deliver(0, False)
        world.use_all_units(n)
    world.check()


def test_a_report_of_an_older_leader_is_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    deliver_report_of_an_older_leader(start_fleet())
    older_epochs_are_accepted(monkeypatch)
    with pytest.raises(InvariantViolation):
        deliver_report_of_an_older_leader(start_fleet())


def move_router_to_a_cut_off_cell(world: LeaseModel) -> None:
    """Moves a router with requests beyond its guaranteed units to a cell that is cut off.

    Its old cell needs the units.
    """
    run_rounds(world, 90, (4,))
    world.toggle_cut(1)
    world.move_router(4, 1, 3)
    run_rounds(world, 80, (0, 2))


@pytest.mark.parametrize("guard", [moved_router_keeps_its_lease, moved_router_reports_at_once])
def test_units_that_a_moved_router_has_in_use_are_never_renewed(
    guard: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    move_router_to_a_cut_off_cell(start_fleet(40))
    guard(monkeypatch)
    with pytest.raises(InvariantViolation):
        move_router_to_a_cut_off_cell(start_fleet(40))


def test_a_new_leader_keeps_the_cells_account_and_its_routers_leases() -> None:
    world = start_fleet(40)
    run_rounds(world, 90, (0, 2, 4))
    account_units, router_units = account(world, 0).max_units, max_units(world, 0)
    world.elect_leader(0, 2)
    world.send_reports(4)
    assert new_leaders_budget(world) is None  # it grants nothing before the level above has answered
    run_rounds(world, 12, (0, 2, 4))
    assert (
        world.cells[0].leader_states[2].lease_holder.predecessor_units != {}
        and account(world, 0).max_units >= account_units - 1
    )
    assert max_units(world, 0) >= router_units - 1


def new_leaders_budget(world: LeaseModel) -> Any:
    return next(iter(world.cells[0].leader_states[2].lease_holder.budgets.values()), None)


def test_a_late_hello_of_an_older_leader_costs_the_newer_one_a_hello_and_no_more() -> None:
    world = start_fleet(40)
    run_rounds(world, 90, (0, 2, 4))
    old_holder = world.cells[0].leader_states[0].lease_holder
    world.elect_leader(0, 2)
    run_rounds(world, 12, (0,))
    before, epoch = account(world, 0).max_units, world.cells[0].leader_states[2].lease_holder.epoch
    assert world.lease_granter is not None
    world.lease_granter.handle_hello(Hello(0, *old_holder.leader, 99))
    assert account(world, 0).max_units == before
    run_rounds(world, 25, (0,))
    assert (
        world.cells[0].leader_states[2].lease_holder.epoch == epoch + 2 and max_units(world, 0) >= before - 1
    )


def test_a_cell_that_is_cut_off_keeps_its_lease_until_it_expires_and_then_its_guaranteed_units() -> None:
    world = start_fleet(40, 0.4)
    run_rounds(world, 100, (0, 2, 4))
    units_before = max_units(world, 0)
    world.toggle_cut(0)
    run_rounds(world, 12, (0, 2, 4))
    assert max_units(world, 0) >= units_before - 3
    run_rounds(world, 14, (0, 2, 4))  # the cell's lease expires, and its routers' after that
    assert max_units(world, 0) == 3 * 2 and not cell_budget(world, 0).valid_lease_units(world.clock(0))
    run_rounds(world, 60, (1, 3, 5))  # its units are free, and the other cell uses them
    assert max_units(world, 1) > 25
    world.toggle_cut(0)
    for n in (1, 3, 5):
        while world.routers[n].units_in_use:
            world.end(n, False)
    run_rounds(world, 40, (0, 2, 4))
    assert max_units(world, 0) > 10


def test_a_router_that_moves_reports_a_budget_once_all_that_it_had_in_its_old_cell_has_ended() -> None:
    world = start_fleet(40, 0.2)
    run_rounds(world, 90, (4,))
    local = world.budget(4)
    assert world.routers[4].units_in_use > local.guaranteed_units == 1
    world.move_router(4, 1, 3)
    assert local.max_units(world.clock(4)) == 1
    reports = world.routers[4].local_budgets.make_reports(0, 1, 1, world.clock(4))
    assert [report.usages for report in reports] == [()]
    run_rounds(world, 60, ())  # its requests are cancelled, and end at the engines
    assert world.used() <= 1
    run_rounds(world, 10, (4,))
    assert local.max_units(world.clock(4)) > 1


def test_guaranteed_units_grow_in_no_cell_before_all_cells_know_the_larger_total() -> None:
    world = start_fleet(16, 0.5)
    run_rounds(world, 80, ())
    assert {world.budget(n).guaranteed_units for n in range(6)} == {1}
    world.change_units(-1, 32)
    for n in (0, 2, 4):
        world.change_units(n, 32)
    run_rounds(world, 20, ())
    assert {world.budget(n).guaranteed_units for n in range(6)} == {1}
    for n in (1, 3, 5):
        world.change_units(n, 32)
    run_rounds(world, 20, ())
    assert {world.budget(n).guaranteed_units for n in range(6)} == {2}
    world.change_units(1, 16)
    run_rounds(world, 20, ())
    assert {world.budget(n).guaranteed_units for n in range(6)} == {1}


# The encoding.

COUNT = st.integers(0, (1 << 40) - 1)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(COUNT, COUNT, st.integers(0, 400), st.integers(1, 255), st.binary(max_size=80))
def test_messages_round_trip_and_damaged_ones_raise_a_decode_error(
    n: int, m: int, position: int, flipped_bits: int, noise: bytes
) -> None:
    hello, welcome = Hello(n, m, n, m, n), Welcome(m, n, m, n)
    report = BudgetReport(n, m, n, m, n, m, False, n, ())
    for message, data in (
        (hello, encode_hello(7, hello)),
        (welcome, encode_welcome(7, welcome)),
        (report, encode_report(7, report)),
    ):
        assert decode(7, data) == message and len(data) <= MAX_DATAGRAM_BYTES
        damaged = bytearray(data)
        damaged[position % len(data)] ^= flipped_bits
        for bad in (bytes(damaged), data[: position % len(data)], noise):
            with pytest.raises(DatagramDecodeError):
                decode(7, bad)
                pytest.fail(f"{bad!r} was read")


def test_forged_cells_epochs_and_answers_change_nothing() -> None:
    world = start_fleet(40)
    run_rounds(world, 90, (0, 2, 4))
    assert world.lease_granter is not None
    units_before, now = account(world, 0).max_units, world.machine_clock(0)
    huge_usage = BudgetUsage(
        cell_budget(world, 0).budget.budget_id,
        1,
        MAX_BUDGET_UNITS + 1,
        0,
        MAX_BUDGET_UNITS + 1,
        1.0,
        40,
        0,
        0,
    )
    for cell, epoch in ((0, 9), (0, 0), (7, 1), (-1, 1)):
        report = BudgetReport(epoch, 1, 1, 99, 1, 1, False, 5, (huge_usage,))
        assert world.lease_granter.handle_report(cell, report, now) is None
    assert world.lease_granter.handle_hello(Hello(CELL_OUT_OF_RANGE, 0, 1, 1, 1)) is None
    assert account(world, 0).max_units == units_before
    holder, units = world.cells[0].leader_states[0].lease_holder, cell_budget(world, 0).leased_units
    grants = (BudgetGrant(huge_usage.budget_id, 1 << 30, 1000, 40),)
    for sender, answer in (
        (1, BudgetAnswer(1, 1, 1, grants)),
        (0, BudgetAnswer(2, 1, 1, grants)),
        (0, BudgetAnswer(1, 1, 77, grants)),
    ):
        assert not holder.handle_message(sender, answer, world.clock(0))
    assert (
        not holder.handle_message(0, Welcome(1, 1, 12345, 9), world.clock(0))
        and cell_budget(world, 0).leased_units == units
    )


CELL_OUT_OF_RANGE = levels.CELL_COUNT


def test_the_level_above_may_lease_its_budgets_itself() -> None:
    """A region's ledger divides what the region is leased, and no more. The classes are the same."""
    budget = Budget("w", 40, 0.0, 1.0 + ABANDONED_ATTEMPT_TIMEOUT_S)
    fleet_granter = BudgetLeaseGranter(0, 2, 8, 1, 1, 0.0, 9.0, 0.0)
    fleet_granter.ledger.set_budgets([budget_for_level_above(budget_for_level_above(budget, 1.0), 3.0)])
    holder = BudgetLeaseHolder(0, (0, 1, 1), 1, 9.0, 0.0)
    region_granter = BudgetLeaseGranter(0, 2, 8, 1, 1, 0.0, 3.0, 0.0, source=holder)
    region_granter.ledger.set_budgets([budget_for_level_above(budget, 1.0)])
    holder.ledger = region_granter.ledger
    usage = BudgetUsage(budget.budget_id, 0, 0, 30, 30, 1.0, 40, 0, 0)
    granted_units, now = 0, 0.0
    welcome = region_granter.handle_hello(Hello(1, 5, 1, 1, 1))
    assert welcome is not None
    for n in range(1, 300):
        now = 0.1 * n
        for _, message in holder.make_messages(now):
            reply = (
                fleet_granter.handle_hello(message)
                if isinstance(message, Hello)
                else fleet_granter.handle_report(0, message, now)
            )
            if reply is not None:
                holder.handle_message(0, reply, now)
        answer = region_granter.handle_report(1, BudgetReport(1, 1, 1, n, 1, 1, False, 5, (usage,)), now)
        for grant in answer.grants if answer is not None else ():
            granted_units = grant.leased_units
            usage = BudgetUsage(
                budget.budget_id, grant.serial, granted_units, min(granted_units, 30), 30, 1.0, 40, 0, 0
            )
        leased_units = next((p.valid_lease_units(now) for p in holder.budgets.values()), 0)
        assert granted_units <= leased_units
    assert granted_units >= 30
