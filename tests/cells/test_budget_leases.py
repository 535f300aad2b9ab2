"""Wholes leased from level to level: what is told, leaders that follow each other, routers that move; every
order of a few acts and long walks over two cells, with guards taken out."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.budgets.allocation_ledger import AllocationLedger
from marbleworks.budgets.allocation_policy import MemberPolicy
from marbleworks.budgets.budget_catalog import ABANDONED_ATTEMPT_TIMEOUT_S, MAX_BUDGET_UNITS, Budget
from marbleworks.budgets.codec import BudgetAnswer, BudgetGrant, BudgetReport, BudgetUsage, encode_report
from marbleworks.budgets.local_budget import LocalBudgets
from marbleworks.cells import budget_leases as level_module
from marbleworks.cells.budget_leases import (
    BudgetLeaseGranter,
    BudgetLeaseHolder,
    Cells,
    Hello,
    Lease,
    Places,
    Welcome,
    decode,
    encode_hello,
    encode_welcome,
    lifted,
)
from marbleworks.lab import levels
from marbleworks.lab.explore import Broken
from marbleworks.lab.levels import World, begun, exhaust, stroll, warm
from marbleworks.membership.codec import MAX_DATAGRAM_BYTES, DatagramDecodeError

WALKS, ACTS = 400, 300


def walks(often: dict[str, float], most: int = WALKS) -> None:
    for seed in range(most):
        stroll(seed, ACTS, (0.0, 1.0, 0.0)[seed % 3], (3, 9, 40)[seed % 3], often)


# Guards taken out, one at a time.


def older_epochs_count(patch: pytest.MonkeyPatch) -> None:
    def anyhow(self: BudgetLeaseGranter, cell: int, report: BudgetReport, now: float) -> BudgetAnswer | None:
        if report.incarnation != self.ledger.incarnations.get(cell):
            self.ledger._on_new_incarnation(cell, report.incarnation, now)
        return self.ledger.handle_report(cell, report, now)

    patch.setattr(BudgetLeaseGranter, "reported", anyhow)


def account_ends_with_its_leader(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Cells, "on_new_incarnation", MemberPolicy.on_new_incarnation)


def new_leader_is_believed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Cells, "is_use_unknown", lambda self, report: False)


def new_leader_knows_nothing_out(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(BudgetLeaseHolder, "max_earlier_grants", lambda self, book, members: 0)


def beyond_the_cells_lease(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(BudgetLeaseHolder, "can_renew", lambda self, book, now: True)


def routers_leases_not_counted_above(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(levels, "lifted", lambda whole, lease: whole)
    patch.setattr(level_module, "lifted", lambda whole, lease: whole)


def paused_leader_goes_on(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(World, "may", lambda self, cell, number: number in self.cells[cell].desks)


def moved_with_its_part(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LocalBudgets, "move_to_group", lambda self, me, now: self.follow_granter(-1, 0, 0))


def moved_and_heard_at_once(patch: pytest.MonkeyPatch) -> None:
    moved = LocalBudgets.move_to_group

    def at_once(self: LocalBudgets, me: int, now: float) -> None:
        moved(self, me, now)
        for pocket in self.budgets.values():
            pocket.is_left_behind = False

    patch.setattr(LocalBudgets, "move_to_group", at_once)


def followed_is_dead(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Places, "predecessor_settled_at", MemberPolicy.predecessor_settled_at)


def tells_only_its_part(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Lease, "held_units", lambda self, now: self.valid_lease_units(now))


def nothing_unknown(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(AllocationLedger, "_unreported_units", lambda self, book, now: 0)


def bases_by_places(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(levels, "SHARES", levels.PLACES)


def bases_not_counted_above(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Cells, "all_guaranteed_units", lambda self, book: 0)


MOVES = {"moved": 0.15, "cut": 0.2, "fills": 2.0}
# A guard, and what a walk does often that is to find it gone.
GUARDS: list[tuple[Any, dict[str, float]]] = [
    (account_ends_with_its_leader, {}),
    (new_leader_is_believed, {}),
    (new_leader_knows_nothing_out, {}),
    (beyond_the_cells_lease, {}),
    (routers_leases_not_counted_above, {"cut": 0.3, "fills": 2.0}),
    (paused_leader_goes_on, {"stale": 0.3, "hears": 0.1, "right": 0.1, "fills": 2.0}),
    (followed_is_dead, MOVES),
    (tells_only_its_part, {}),
    (nothing_unknown, {}),
    (bases_by_places, {}),
    (bases_not_counted_above, {}),
]


@pytest.mark.parametrize(("guard", "often"), GUARDS)
def test_a_guard_that_is_taken_out_is_missed(
    guard: Any, often: dict[str, float], monkeypatch: pytest.MonkeyPatch
) -> None:
    guard(monkeypatch)
    with pytest.raises(Broken):
        walks(often)


# The explorer, with all guards in place.


def test_every_order_of_a_few_acts_keeps_within_the_whole() -> None:
    assert exhaust(2) > 700 and exhaust(2, 1.0) > 700 and exhaust(2, step=0.3) > 700


@pytest.mark.parametrize("seed", range(3))
def test_long_walks_with_every_fault_keep_within_the_whole(seed: int) -> None:
    for n in range(60):
        stroll(10_000 * (seed + 1) + n, 300, (0.0, 1.0, 0.0, 4.0)[n % 4], (3, 9, 40)[n % 3])
    for often in (MOVES, {"stale": 0.3, "hears": 0.1, "right": 0.1, "fills": 2.0}):
        for n in range(20):
            stroll(20_000 * (seed + 1) + n, 300, (0.0, 1.0)[n % 2], (9, 40)[n % 2], often)


# One thing at a time.


def fleet(units: int = 9, kept: float = 0.0, settle: float = 0.3) -> World:
    return begun(Budget("w", units, 0.0, settle + ABANDONED_ATTEMPT_TIMEOUT_S), kept)


def lease(world: World, cell: int) -> Any:
    desk = world.cells[cell].desks[world.cells[cell].leader]
    return next(iter(desk.lessee.budgets.values()))


def account(world: World, cell: int) -> Any:
    assert world.lessor is not None
    return next(iter(world.lessor.ledger.allocations.values())).accounts[cell]


def parts(world: World, cell: int) -> int:
    return sum(world.pocket(n).max_units(world.clock(n)) for n, (c, _) in world.home.items() if c == cell)


def test_a_whole_follows_need_from_one_cell_to_the_other() -> None:
    world = fleet(40, 0.2)
    warm(world, 100, (0, 2, 4))
    assert world.used() >= 32 and parts(world, 0) >= 30
    for n in (0, 2, 4):
        while world.routers[n].out:
            world.end(n, False)
    warm(world, 60, (1, 3, 5))
    assert parts(world, 1) > parts(world, 0) and world.used() >= 20


def older_report(world: World) -> None:
    """The report of a leader that another followed comes while its cell has more out than its part; whoever
    has room fills it."""
    warm(world, 70, ())
    world.leader_tells(0, 0)
    old = world.flying.pop()
    warm(world, 30, (0, 2, 4))
    warm(world, 10, (0, 1, 2, 3, 4, 5))
    world.leads(0, 2)
    warm(world, 12, (0, 1, 2, 3, 4, 5))
    assert account(world, 0).max_units > lease(world, 0).leased_units
    world.flying.append(old)
    world.comes(0, False)
    world.leader_tells(1, 1)
    while world.flying:
        world.comes(0, False)
    for n in (1, 3, 5, 1, 3, 5):
        world.passes(0.05)
        world.tells(n)
        while world.flying:
            world.comes(0, False)
        world.fills(n)
    world.check()


def test_a_report_of_an_older_leader_counts_for_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    older_report(fleet())
    older_epochs_count(monkeypatch)
    with pytest.raises(Broken):
        older_report(fleet())


def moved_while_cut(world: World) -> None:
    """A router moves with commands out beyond its base to a cell that is cut off; its old cell has need."""
    warm(world, 90, (4,))
    world.cuts(1)
    world.moves_to(4, 1, 3)
    warm(world, 80, (0, 2))


@pytest.mark.parametrize("guard", [moved_with_its_part, moved_and_heard_at_once])
def test_what_a_moved_router_has_out_is_never_renewed(guard: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    moved_while_cut(fleet(40))
    guard(monkeypatch)
    with pytest.raises(Broken):
        moved_while_cut(fleet(40))


def test_a_new_leader_finds_the_cells_account_as_it_stands_and_all_parts_go_on() -> None:
    world = fleet(40)
    warm(world, 90, (0, 2, 4))
    before, held = account(world, 0).max_units, parts(world, 0)
    world.leads(0, 2)
    world.tells(4)
    assert lease_of(world) is None  # nothing is divided before the level above has answered
    warm(world, 12, (0, 2, 4))
    assert world.cells[0].desks[2].lessee.left != {} and account(world, 0).max_units >= before - 1
    assert parts(world, 0) >= held - 1


def lease_of(world: World) -> Any:
    return next(iter(world.cells[0].desks[2].lessee.budgets.values()), None)


def test_a_late_hello_of_an_older_leader_costs_the_newer_one_a_question_and_no_more() -> None:
    world = fleet(40)
    warm(world, 90, (0, 2, 4))
    old = world.cells[0].desks[0].lessee
    world.leads(0, 2)
    warm(world, 12, (0,))
    before, epoch = account(world, 0).max_units, world.cells[0].desks[2].lessee.epoch
    assert world.lessor is not None
    world.lessor.hello(Hello(0, *old.leader, 99))
    assert account(world, 0).max_units == before
    warm(world, 25, (0,))
    assert world.cells[0].desks[2].lessee.epoch == epoch + 2 and parts(world, 0) >= before - 1


def test_a_cell_cut_off_lives_on_what_it_was_leased_and_then_on_its_bases() -> None:
    world = fleet(40, 0.4)
    warm(world, 100, (0, 2, 4))
    held = parts(world, 0)
    world.cuts(0)
    warm(world, 12, (0, 2, 4))
    assert parts(world, 0) >= held - 3
    warm(world, 14, (0, 2, 4))  # the cell's lease is over, and its routers' after that
    assert parts(world, 0) == 3 * 2 and not lease(world, 0).valid_lease_units(world.clock(0))
    warm(world, 60, (1, 3, 5))  # meanwhile what it had is free, and used
    assert parts(world, 1) > 25
    world.cuts(0)
    for n in (1, 3, 5):
        while world.routers[n].out:
            world.end(n, False)
    warm(world, 40, (0, 2, 4))
    assert parts(world, 0) > 10


def test_a_router_that_moves_tells_its_new_cell_when_all_it_had_of_the_old_is_over() -> None:
    world = fleet(40, 0.2)
    warm(world, 90, (4,))
    mine = world.pocket(4)
    assert world.routers[4].out > mine.guaranteed_units == 1
    world.moves_to(4, 1, 3)
    assert mine.max_units(world.clock(4)) == 1
    told = world.routers[4].purse.make_reports(0, 1, 1, world.clock(4))
    assert [report.usages for report in told] == [()]
    warm(world, 60, ())  # called off, and ended at the engines
    assert world.used() <= 1
    warm(world, 10, (4,))
    assert mine.max_units(world.clock(4)) > 1


def test_a_base_grows_in_no_cell_before_all_cells_know_the_larger_whole() -> None:
    world = fleet(16, 0.5)
    warm(world, 80, ())
    assert {world.pocket(n).guaranteed_units for n in range(6)} == {1}
    world.rewritten(-1, 32)
    for n in (0, 2, 4):
        world.rewritten(n, 32)
    warm(world, 20, ())
    assert {world.pocket(n).guaranteed_units for n in range(6)} == {1}
    for n in (1, 3, 5):
        world.rewritten(n, 32)
    warm(world, 20, ())
    assert {world.pocket(n).guaranteed_units for n in range(6)} == {2}
    world.rewritten(1, 16)
    warm(world, 20, ())
    assert {world.pocket(n).guaranteed_units for n in range(6)} == {1}


# What is told.

COUNT = st.integers(0, (1 << 40) - 1)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(COUNT, COUNT, st.integers(0, 400), st.integers(1, 255), st.binary(max_size=80))
def test_what_is_told_comes_back_and_nothing_unreadable_is_more_than_that(
    n: int, m: int, at: int, flip: int, noise: bytes
) -> None:
    hello, welcome = Hello(n, m, n, m, n), Welcome(m, n, m, n)
    report = BudgetReport(n, m, n, m, n, m, False, n, ())
    for said, data in (
        (hello, encode_hello(7, hello)),
        (welcome, encode_welcome(7, welcome)),
        (report, encode_report(7, report)),
    ):
        assert decode(7, data) == said and len(data) <= MAX_DATAGRAM_BYTES
        torn = bytearray(data)
        torn[at % len(data)] ^= flip
        for bad in (bytes(torn), data[: at % len(data)], noise):
            with pytest.raises(DatagramDecodeError):
                decode(7, bad)
                pytest.fail(f"{bad!r} was read")


def test_forged_cells_epochs_and_answers_change_nothing() -> None:
    world = fleet(40)
    warm(world, 90, (0, 2, 4))
    assert world.lessor is not None
    before, now = account(world, 0).max_units, world.above(0)
    huge = BudgetUsage(
        lease(world, 0).budget.budget_id, 1, MAX_BUDGET_UNITS + 1, 0, MAX_BUDGET_UNITS + 1, 1.0, 40, 0, 0
    )
    for cell, epoch in ((0, 9), (0, 0), (7, 1), (-1, 1)):
        report = BudgetReport(epoch, 1, 1, 99, 1, 1, False, 5, (huge,))
        assert world.lessor.reported(cell, report, now) is None
    assert world.lessor.hello(Hello(CELLS_BEYOND, 0, 1, 1, 1)) is None
    assert account(world, 0).max_units == before
    lessee, units = world.cells[0].desks[0].lessee, lease(world, 0).leased_units
    grants = (BudgetGrant(huge.budget_id, 1 << 30, 1000, 40),)
    for by, answer in (
        (1, BudgetAnswer(1, 1, 1, grants)),
        (0, BudgetAnswer(2, 1, 1, grants)),
        (0, BudgetAnswer(1, 1, 77, grants)),
    ):
        assert not lessee.heard(by, answer, world.clock(0))
    assert (
        not lessee.heard(0, Welcome(1, 1, 12345, 9), world.clock(0)) and lease(world, 0).leased_units == units
    )


CELLS_BEYOND = levels.CELLS


def test_the_level_above_may_be_leased_its_whole_itself() -> None:
    """The same classes, one level up: a region's books divide what its own lease is, and no more."""
    whole = Budget("w", 40, 0.0, 1.0 + ABANDONED_ATTEMPT_TIMEOUT_S)
    fleet_wide = BudgetLeaseGranter(0, 2, 8, 1, 1, 0.0, 9.0, 0.0)
    fleet_wide.ledger.set_budgets([lifted(lifted(whole, 1.0), 3.0)])
    lessee = BudgetLeaseHolder(0, (0, 1, 1), 1, 9.0, 0.0)
    region = BudgetLeaseGranter(0, 2, 8, 1, 1, 0.0, 3.0, 0.0, backing=lessee)
    region.ledger.set_budgets([lifted(whole, 1.0)])
    lessee.books = region.ledger
    entry = BudgetUsage(whole.budget_id, 0, 0, 30, 30, 1.0, 40, 0, 0)
    given, now = 0, 0.0
    welcome = region.hello(Hello(1, 5, 1, 1, 1))
    assert welcome is not None
    for n in range(1, 300):
        now = 0.1 * n
        for _, said in lessee.tells(now):
            heard = fleet_wide.hello(said) if isinstance(said, Hello) else fleet_wide.reported(0, said, now)
            if heard is not None:
                lessee.heard(0, heard, now)
        answer = region.reported(1, BudgetReport(1, 1, 1, n, 1, 1, False, 5, (entry,)), now)
        for grant in answer.grants if answer is not None else ():
            given = grant.leased_units
            entry = BudgetUsage(whole.budget_id, grant.serial, given, min(given, 30), 30, 1.0, 40, 0, 0)
        part = next((p.valid_lease_units(now) for p in lessee.budgets.values()), 0)
        assert given <= part
    assert given >= 30
