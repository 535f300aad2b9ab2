"""Budgets of the fleet: what is told, who gets how much, what may be used; every order of a few acts and long
walks, with guards taken out; and what the decisions are asked."""

import math
import random
import zlib
from typing import Any

import pytest
from gevent.lock import BoundedSemaphore
from hypothesis import example, given, settings
from hypothesis import strategies as st

from marbleworks.budgets import allocation_ledger as ledger_module
from marbleworks.budgets import local_budget as local_budget_module
from marbleworks.budgets.allocation import BudgetAllocation
from marbleworks.budgets.allocation_ledger import AllocationLedger
from marbleworks.budgets.budget_catalog import ABANDONED_ATTEMPT_TIMEOUT_S, Budget, BudgetCatalog
from marbleworks.budgets.codec import (
    TYPICAL_HEAD_BYTES,
    BudgetAnswer,
    BudgetGrant,
    BudgetReport,
    BudgetUsage,
    decode,
    encode_answer,
    encode_report,
    split_usages,
)
from marbleworks.budgets.enforcement import BudgetedConnectionLimit, BudgetEnforcer
from marbleworks.budgets.fair_division import Demand, divide
from marbleworks.budgets.local_budget import LocalBudgets
from marbleworks.budgets.local_budget_state import LocalBudget
from marbleworks.budgets.options import BudgetOptions
from marbleworks.lab.explore import Broken
from marbleworks.lab.purses import World, exhaust, stroll
from marbleworks.membership.codec import MAX_DATAGRAM_BYTES, DatagramDecodeError
from marbleworks.model import AttemptOutcome, EngineEntry, EngineStatus
from marbleworks.operator_config.sexpr import ConfigSyntaxError
from marbleworks.scheduling.scheduler import Scheduler
from marbleworks.settings import Settings
from marbleworks.subsystems.registry import parse_sections
from tests.support.stand_ins import SETTINGS

COUNT, UNITS = st.integers(0, (1 << 40) - 1), st.integers(0, 1 << 24)
ENTRIES = st.builds(
    BudgetUsage,
    st.integers(0, 2**32 - 1),
    COUNT,
    UNITS,
    UNITS,
    UNITS,
    st.integers(0, 10**6).map(lambda n: n / 100),
    UNITS,
    UNITS,
    UNITS,
)
WIDEST = BudgetUsage(2**32 - 1, (1 << 40) - 1, 1 << 24, 1 << 24, 1 << 24, 1e6, 1 << 24, 1 << 24, 1 << 24)
FILLS_184_BYTES = BudgetUsage(1 << 31, 1 << 20, 200, 200, 200, 2.0, 200, 1, 1)  # eight of 23 bytes


# What is told.


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(ENTRIES, max_size=40), COUNT, st.booleans())
@example([BudgetUsage(0, 0, 0, 0, 0, 0.0, 0, 0, 0)] * 14 + [WIDEST] * 40, (1 << 40) - 1, True)
@example([FILLS_184_BYTES] * 8, (1 << 40) - 1, True)
def test_reports_come_back_as_they_were_in_datagrams_that_fit(
    entries: list[BudgetUsage], n: int, leaving: bool
) -> None:
    head = len(encode_report(7, BudgetReport(n, n, n, n, n, n, leaving, n, ())))
    told = list(split_usages(entries, head))
    assert [entry for some in told for entry in some] == entries
    for some in told:
        report = BudgetReport(n, n, n, n, n, n, leaving, n, some)
        data = encode_report(7, report)
        assert len(data) <= MAX_DATAGRAM_BYTES and decode(7, data) == report
        answer = BudgetAnswer(
            n,
            n,
            n,
            tuple(BudgetGrant(e.budget_id, e.grant_serial, e.used_units, e.total_units) for e in some),
        )
        assert (
            len(encode_answer(7, answer)) <= MAX_DATAGRAM_BYTES
            and decode(7, encode_answer(7, answer)) == answer
        )


@pytest.mark.parametrize("entry", [WIDEST, FILLS_184_BYTES])
def test_the_longest_head_of_a_report_leaves_its_entries_less_room(entry: BudgetUsage) -> None:
    """Every number of the head as wide as it is read: 87 bytes, where ordinary ones take 72 at most."""
    most = (1 << 40) - 1
    router = LocalBudgets(0, 2, 0.25, 1.0, -10.0)
    router.set_budgets(
        [Budget(f"w{n}", 1 << 24 if entry is WIDEST else 200, 0.0, 1.0) for n in range(40)], 0.0
    )
    router.follow_granter(0, most, most)
    router.config_version = router.config_digest = most
    for one in router.budgets.values():
        one.grant_serial, one.leased_units, one.lease_expires_at, one.in_flight = (
            entry.grant_serial,
            entry.held_units,
            math.inf,
            entry.used_units,
        )
    told = router.make_reports(0, most, most, most / 1000.0, 1, True)
    assert sum(len(report.usages) for report in told) == 40
    assert max(report.age_ms for report in told) >= 1 << 32
    assert all(len(encode_report(7, report)) <= MAX_DATAGRAM_BYTES for report in told)


def test_the_entries_of_an_ordinary_report_have_the_room_that_they_had() -> None:
    ordinary = BudgetReport(
        1_022_000_000_123, 1_022_000_000_456, 9, 0xFFFF << 24, 4, 2**32 - 1, True, 2**31, ()
    )
    assert len(encode_report(7, ordinary)) <= TYPICAL_HEAD_BYTES == 72
    entries = [BudgetUsage(zlib.crc32(b"%d" % n), n, n, n // 2, n, 1.0, 200, 9, n) for n in range(100)]
    assert list(split_usages(entries, len(encode_report(7, ordinary)))) == list(split_usages(entries))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 400), st.integers(1, 255), st.lists(ENTRIES, max_size=4))
def test_nothing_unreadable_is_more_than_unreadable(
    noise: bytes, at: int, flip: int, entries: list[BudgetUsage]
) -> None:
    data = bytearray(encode_report(7, BudgetReport(1, 1, 1, 1, 1, 1, False, 1, tuple(entries))))
    data[at % len(data)] ^= flip
    for bad in (noise, bytes(data), bytes(data[: at % len(data)])):
        with pytest.raises(DatagramDecodeError):
            decode(7, bad)
            pytest.fail(f"{bad!r} was read")


# Who gets how much.

NEEDS = st.dictionaries(
    st.integers(0, 9),
    st.builds(Demand, st.floats(0, 50), st.floats(0, 50), st.integers(0, 3), st.floats(0.1, 8)),
    min_size=1,
    max_size=8,
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.integers(0, 60), NEEDS, st.integers(0, 99), st.dictionaries(st.integers(0, 9), st.integers(0, 30)))
def test_parts_are_the_whole_and_nobody_starves(whole: int, needs: Any, salt: int, old: Any) -> None:
    shares = divide(whole, needs, salt, old)
    assert sum(shares.values()) == whole and min(shares.values()) >= 0 and shares.keys() == needs.keys()
    wanted = {n: max(need.units - need.guaranteed_units, 0.0) for n, need in needs.items()}
    needy = [n for n, units in wanted.items() if units > 0]
    for n in needy:
        assert shares[n] >= math.floor(min(wanted[n], 0.25 * whole / len(needy))) - 1


def test_what_two_want_goes_by_need_and_worth_and_parts_stay_where_little_changed() -> None:
    def need(units: float, worth: float = 1.0) -> Demand:
        return Demand(units, units, 0, worth)

    assert divide(12, {0: need(30), 1: need(30)}) == {0: 6, 1: 6}
    by_need = divide(40, {0: need(100), 1: need(10)})
    assert by_need[0] > 3 * by_need[1] >= 12
    by_worth = divide(12, {0: need(30, 8.0), 1: need(30, 1.0)})
    assert by_worth[0] > by_worth[1] >= 1
    spread = [divide(2, {n: need(9) for n in range(3)}, salt) for salt in range(60)]
    assert all(15 <= sum(share[n] for share in spread) <= 65 for n in range(3))  # not the same two each time
    old = divide(11, {0: need(20), 1: need(21), 2: need(22)})
    assert divide(11, {0: need(20.3), 1: need(20.8), 2: need(22)}, previous=old) == old


def test_one_that_asks_for_all_and_uses_little_is_believed_little() -> None:
    hoarder, busy = Demand(), Demand()
    for n in range(20):
        hoarder.update(1, 0, 20, 1000, 1.0, 0.2 * n)
        busy.update(20, 0, 20, 60, 1.0, 0.2 * n)
    assert hoarder.units <= 4.0 and busy.units == 60.0
    shares = divide(40, {0: hoarder, 1: busy})
    assert shares[1] >= 8 * shares[0]


def test_a_need_that_is_over_is_forgotten_within_a_second_or_so() -> None:
    need = Demand()
    need.update(50, 0, 50, 80, 1.0, 0.0)
    assert need.units == 80.0
    need.update(0, 0, 50, 0, 1.0, 1.5)
    assert need.units < 5.0


# What may be used.


def pair(
    units: int = 8, kept: float = 0.25, span: float = 0.0
) -> tuple[AllocationLedger, list[LocalBudgets], Budget]:
    whole = Budget("w", units, span, span or 1.0 + ABANDONED_ATTEMPT_TIMEOUT_S)
    routers = [LocalBudgets(n, 2, kept, 1.0, -10.0) for n in range(2)]
    for router in routers:
        router.set_budgets([whole], 0.0)
    ledger = AllocationLedger(0, 2, 1, 1, kept, 1.0, 0.0)
    ledger.set_budgets([whole])
    return ledger, routers, whole


def only_budget(router: LocalBudgets) -> LocalBudget:
    return next(iter(router.budgets.values()))


def tell(ledger: AllocationLedger, routers: list[LocalBudgets], now: float, who: Any = (0, 1)) -> None:
    for n in who:
        for report in routers[n].make_reports(0, 1, 1, now):
            answer = ledger.handle_report(n, report, now)
            if answer is not None:
                routers[n].handle_answer(0, answer, now)


def test_all_of_a_whole_can_be_used_and_not_one_unit_more() -> None:
    ledger, routers, _ = pair()
    for n in range(1, 12):
        only_budget(routers[0]).waiting.update(map(str, range(9)))
        tell(ledger, routers, 0.2 * n)
        while only_budget(routers[0]).has_room(0.2 * n):
            routers[0].acquire(only_budget(routers[0]), 0.2 * n)
    used = [only_budget(p).used_units(2.2) for p in routers]
    assert sum(only_budget(p).max_units(2.2) for p in routers) == 8 and used[0] >= 6
    assert ledger.free_units(next(iter(ledger.allocations.values())), 2.2) == 0


def test_a_part_ends_with_its_lease_and_its_commands_go_on_until_they_are_called_off() -> None:
    ledger, routers, whole = pair()
    for n in range(1, 6):
        only_budget(routers[1]).waiting.update(map(str, range(9)))
        tell(ledger, routers, 0.2 * n)
        while only_budget(routers[1]).has_room(0.2 * n):
            routers[1].acquire(only_budget(routers[1]), 0.2 * n)
    mine = only_budget(routers[1])
    out = mine.used_units(1.0)
    assert out > 1 and routers[1].overdue(1.0) == []
    assert (
        mine.max_units(2.1) == mine.guaranteed_units == 1
        and mine.used_units(2.1) == out
        and not mine.has_room(2.1)
    )
    assert routers[1].overdue(2.5) == []
    late = 2.0 + whole.settle_s
    assert routers[1].overdue(late) == [(mine, out - 1)]
    tell(ledger, routers, late, who=[0])  # what it held is free by then
    for n in range(1, 8):
        only_budget(routers[0]).waiting.update(map(str, range(9)))
        tell(ledger, routers, late + 0.2 * n, who=[0])
    assert only_budget(routers[0]).max_units(late + 1.4) == 7


def test_a_unit_whose_command_may_run_on_is_not_free_for_a_while() -> None:
    _, routers, _ = pair()
    mine = only_budget(routers[0])
    assert routers[0].acquire(mine, 0.0) == math.inf  # of its base
    routers[0].release(mine, 0.5, True)
    assert (
        mine.used_units(0.5) == mine.used_units(0.5 + ABANDONED_ATTEMPT_TIMEOUT_S - 0.01) == 1
        and mine.used_units(0.5 + ABANDONED_ATTEMPT_TIMEOUT_S + 0.01) == 0
    )


def test_a_rate_is_no_more_than_its_burst_in_any_window() -> None:
    router = LocalBudgets(0, 1, None, 1.0, -10.0)
    router.set_budgets([Budget("r", 5, 1.0, 1.0)], 0.0)
    mine, times, now = only_budget(router), list[float](), 0.0
    while now < 20.0:
        if mine.has_room(now):
            router.acquire(mine, now)
            times.append(now)
        now += 0.01
    assert len(times) > 90
    assert all(sum(t <= other < t + 1.0 for other in times) <= 5 for t in times)


def wanted(ledger: AllocationLedger, routers: list[LocalBudgets], now: float) -> None:
    for router in routers:
        only_budget(router).waiting.update(map(str, range(20)))
    tell(ledger, routers, now)


def test_a_smaller_whole_holds_once_one_tells_it_and_a_larger_once_all_do() -> None:
    ledger, routers, whole = pair(16)
    for n in range(1, 5):
        wanted(ledger, routers, 0.2 * n)
    assert sum(only_budget(p).max_units(0.8) for p in routers) == 16
    routers[1].set_budgets([Budget("w", 8, 0.0, whole.settle_s)], 0.8)  # its file was changed first
    for n in range(5, 10):
        wanted(ledger, routers, 0.2 * n)
    assert sum(only_budget(p).max_units(1.8) for p in routers) == 8
    routers[0].set_budgets([Budget("w", 8, 0.0, whole.settle_s)], 1.8)
    ledger.set_budgets([Budget("w", 8, 0.0, whole.settle_s)])
    routers[0].set_budgets([Budget("w", 24, 0.0, whole.settle_s)], 1.9)  # and up again, at one of them
    ledger.set_budgets([Budget("w", 24, 0.0, whole.settle_s)])
    for n in range(10, 14):
        wanted(ledger, routers, 0.2 * n)
    assert sum(only_budget(p).max_units(2.6) for p in routers) == 8
    routers[1].set_budgets([Budget("w", 24, 0.0, whole.settle_s)], 2.6)
    for n in range(14, 19):
        wanted(ledger, routers, 0.2 * n)
    assert sum(only_budget(p).max_units(3.6) for p in routers) == 24


def test_files_that_disagree_are_found() -> None:
    ledger = AllocationLedger(0, 3, 1, 1, 0.25, 1.0, 0.0)
    ledger.set_budgets([Budget("w", 8, 0.0, 1.0)])
    for n, digest in enumerate([5, 5, 6]):
        ledger.handle_report(n, BudgetReport(1, 1, 1, 1, 3, digest, False, 0, ()), 0.1)
    assert ledger.disagreeing_members() == [2]


def test_forged_entries_and_numbers_cost_nothing() -> None:
    ledger, routers, _ = pair()
    wanted(ledger, routers, 0.1)
    wanted(ledger, routers, 0.2)
    before = next(iter(ledger.snapshots(0.3).values()))
    huge = BudgetUsage(3, 1, 1 << 30, 1 << 30, 1 << 30, 1.0, 1 << 30, 1 << 30, 0)
    ledger.handle_report(1, BudgetReport(1, 1, 1, 99, 1, 1, False, 0, (huge,)), 0.3)
    ledger.handle_report(9, BudgetReport(1, 1, 1, 99, 1, 1, False, 0, ()), 0.3)
    ledger.handle_report(1, BudgetReport(1, 77, 1, 99, 1, 1, False, 0, (huge,)), 0.3)
    assert next(iter(ledger.snapshots(0.3).values())) == before and len(ledger.allocations) == 1


def test_budgets_of_engines_that_have_gone_are_forgotten() -> None:
    ledger = AllocationLedger(0, 2, 1, 1, 0.25, 1.0, 0.0)
    ledger.set_budgets([Budget("w", 8, 0.0, 1.0)])
    for n in range(500):
        entry = BudgetUsage(1000 + n, 0, 0, 0, 0, 1.0, 8, 1, 0)
        ledger.handle_report(1, BudgetReport(1, 1, 1, n + 1, 1, 1, False, 0, (entry,)), 0.01 * n)
    assert len(ledger.allocations) <= 68


# The explorer.


def test_every_order_of_a_few_acts_keeps_within_the_whole() -> None:
    assert exhaust(3) > 300 and exhaust(3, 2, 1.0) > 300 and exhaust(3, 3) > 600


@pytest.mark.parametrize("seed", range(4))
def test_long_walks_with_every_fault_keep_within_the_whole(seed: int) -> None:
    for n in range(30):
        stroll(1000 * seed + n, 600, 2 + n % 4, (0.0, 1.0, 0.0, 4.0)[n % 4], (3, 7, 20)[n % 3])


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.integers(0, 10**6), min_size=50, max_size=250), st.sampled_from([0.0, 1.0]))
def test_whatever_is_drawn_the_engines_never_bear_more_than_a_ledger_that_sees_all(
    draws: list[int], span: float
) -> None:
    world = World([Budget("w", 5, span, span or 0.5 + ABANDONED_ATTEMPT_TIMEOUT_S)] * 3, [0.99, 1.01, 1.0])
    world.moves_right(0)
    for draw in draws:
        moves = list(world.moves((0.05, 0.3, 0.9)[draw % 3]))
        world.does(*moves[draw // 3 % len(moves)])  # raises Broken where more is in use than there is


def walks() -> None:
    for seed in range(400):
        stroll(seed, 600, 2 + seed % 4, (0.0, 1.0, 0.0, 4.0)[seed % 4], (3, 7, 20)[seed % 3])


def nothing_unknown(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(AllocationLedger, "_unreported_units", lambda self, book, now: 0)


def told_is_forgotten(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ledger_module.MemberAccount, "max_units", property(lambda self: self.held_units))


def free_at_once(patch: pytest.MonkeyPatch) -> None:
    begin = BudgetAllocation.__init__

    def made(self: BudgetAllocation, settle: float, quiet: float, seen: Any) -> None:
        begin(self, 0.0, 0.0, seen)

    patch.setattr(BudgetAllocation, "__init__", made)


def lease_from_arrival(patch: pytest.MonkeyPatch) -> None:
    answered = LocalBudgets.handle_answer

    def late(self: LocalBudgets, by: int, answer: BudgetAnswer, now: float) -> bool:
        self.open_reports = {token: (now, said) for token, (_, said) in self.open_reports.items()}
        return answered(self, by, answer, now)

    patch.setattr(LocalBudgets, "handle_answer", late)


def older_grants_count(patch: pytest.MonkeyPatch) -> None:
    answered = LocalBudgets.handle_answer

    def anyhow(self: LocalBudgets, by: int, answer: BudgetAnswer, now: float) -> bool:
        for one in self.budgets.values():
            one.grant_serial = 0
        return answered(self, by, answer, now)

    patch.setattr(LocalBudgets, "handle_answer", anyhow)


def base_at_once(patch: pytest.MonkeyPatch) -> None:
    planned = LocalBudgets.set_budgets

    def at_once(self: LocalBudgets, wholes: list[Budget], now: float) -> None:
        self.started_at = -100.0
        planned(self, wholes, now)

    patch.setattr(LocalBudgets, "set_budgets", at_once)


def no_doubt(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(local_budget_module, "ABANDONED_ATTEMPT_TIMEOUT_S", 0.0)


def any_reign(patch: pytest.MonkeyPatch) -> None:
    reported = AllocationLedger.handle_report

    def anyway(self: AllocationLedger, by: int, report: BudgetReport, now: float) -> Any:
        self.term = report.leader_term
        return reported(self, by, report, now)

    patch.setattr(AllocationLedger, "handle_report", anyway)


@pytest.mark.parametrize(
    "guard",
    [
        nothing_unknown,
        told_is_forgotten,
        free_at_once,
        lease_from_arrival,
        older_grants_count,
        base_at_once,
        no_doubt,
        any_reign,
    ],
)
def test_a_guard_that_is_taken_out_is_missed(guard: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    guard(monkeypatch)
    with pytest.raises(Broken):
        walks()


# What the operator says.


def test_a_budget_of_ones_own_is_read_and_what_does_not_fit_is_one_plain_line() -> None:
    text = """(budgets (version 4) (budget "month-end" (profile "report") (out 40))
        (budget "acme" (tenant "acme") (rate 5)))"""
    terms = parse_sections(text)["budgets"]
    plan = BudgetCatalog(BudgetOptions.from_section(terms), {"look": 0, "report": 1}, {"acme": 0}, [12.0])
    assert [(n.budget.name, n.budget.units, n.budget.window_s) for n in plan.scoped_budgets] == [
        ("named month-end", 40, 0.0),
        ("named acme", 5, 1.0),
    ]
    assert (
        plan.scoped_budgets[0].covers(1, 0)
        and not plan.scoped_budgets[0].covers(0, 0)
        and plan.scoped_budgets[1].covers(0, 0)
    )
    assert plan.tenant_budgets[0].units == 12 and plan.config_version == 4
    for bad, what in (
        ('(budgets (budget "x" (out 4)))', "'profile', 'tenant' or both"),
        ('(budgets (budget "x" (profile "y")))', "either 'out' or 'rate'"),
        ('(budgets (budget "x" (profile "y") (out 4) (rate 3)))', "either 'out' or 'rate'"),
        ('(budgets (budget "x" (colour "y")))', "a setting of profile, tenant, out, rate"),
        ('(budgets (budget "x" (profile "y") (out -1)))', "expected"),
        ('(budgets (budget (profile "y") (out 4)))', "a budget in quotes"),
    ):
        with pytest.raises(ConfigSyntaxError, match=what) as err:
            parse_sections(bad)
        assert err.value.line == 1 and err.value.column > 1
    assert BudgetCatalog(
        BudgetOptions.from_section(
            parse_sections('(budgets (budget "x" (profile "no") (out 4)))')["budgets"]
        ),
        {},
        {},
    ).unmatched_names == ["x"]


def test_a_rate_below_one_in_its_window_is_counted_over_a_longer_one() -> None:
    plan = BudgetCatalog(
        BudgetOptions.from_section(
            parse_sections('(budgets (budget "x" (tenant "a") (rate 0.3)))')["budgets"]
        ),
        {},
        {"a": 0},
    )
    whole = plan.scoped_budgets[0].budget
    assert whole.units == 1 and whole.units / whole.window_s <= 0.3


# What the decisions ask.


class StandInDispatcher:
    """In place of the dispatcher: what the scheduler ask of a platform, written down."""

    current: "StandInDispatcher"

    def __init__(self, terms: str, engines: int = 2, **rules: Any) -> None:
        deployment = Settings(
            SETTINGS | {"orgs": [{"name": "acme", "quota_per_s": 3.0}], "instances": 1, "me": 0}
        )
        StandInDispatcher.current = self
        self.clock, self.open_requests, self.engine_clients = 1000.0, dict[str, Any](), dict[int, Any]()
        self.sent: list[tuple[str, int]] = []
        self.over: list[tuple[str, float]] = []
        self.scheduler = Scheduler(self, 1, deployment.request_classes, deployment.rules, deployment.fleet)  # type: ignore[arg-type]
        plan = BudgetCatalog(
            BudgetOptions.from_section(parse_sections(terms)["budgets"]),
            deployment.class_index,
            deployment.tenant_index,
            deployment.rules.tenant_rates_per_s,
        )
        self.local_budgets = LocalBudgets(0, 1, None, 1.0, -10.0)
        self.enforcer = BudgetEnforcer(self, plan, self.local_budgets, lambda: None)  # type: ignore[arg-type]
        self.scheduler.shared_budgets = self.enforcer
        entries = [EngineEntry(n, f"s-{n}", 0, 0, 0, EngineStatus.UP, 0.0) for n in range(engines)]
        self.scheduler.update_engines(entries, True)
        self.enforcer.engines_changed()

    def now(self) -> float:
        return self.clock

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        self.sent.append((ref, engine_id))

    def shed(self, ref: str, retry_after_s: float) -> None:
        self.over.append((ref, retry_after_s))

    def fail(self, ref: str) -> None:
        self.over.append((ref, -1.0))

    def take(self, ref: str, profile: int = 0, left: float = 2.0) -> Any:
        return self.scheduler.submit(ref, profile, 0, "", (0.05, 9.0), 0, self.clock, left)

    def __getattr__(self, name: str) -> Any:
        return lambda *args: None


@pytest.fixture
def still(monkeypatch: pytest.MonkeyPatch) -> None:
    """Time passes only where a test says so."""
    monkeypatch.setattr("marbleworks.budgets.enforcement.clock", lambda: StandInDispatcher.current.clock)


def test_no_engine_is_sent_more_than_its_budget_and_the_rest_waits(still: None) -> None:
    cores = Settings(SETTINGS).fleet.cores_by_kind[0]
    dispatcher = StandInDispatcher(f"(budgets (out-per-core {2 / cores}))")
    cmds = [dispatcher.take(f"{n:x}") for n in range(6)]
    assert (
        sorted(be for _, be in dispatcher.sent) == [0, 0, 1, 1]
        and len(dispatcher.scheduler.pending) == 2
        and not dispatcher.over
    )
    first = next(cmd for cmd in cmds if cmd.ref == dispatcher.sent[0][0])
    first.on_answer(0, None, None)
    assert len(dispatcher.sent) == 5 and dispatcher.sent[4][1] == dispatcher.sent[0][1]


def test_what_finds_no_room_in_time_is_given_up_at_once_with_the_time(still: None) -> None:
    dispatcher = StandInDispatcher('(budgets (budget "looks" (tenant "acme") (rate 4)))')
    for n in range(12):
        dispatcher.take(f"{n:x}")
    assert len(dispatcher.sent) == 4
    shed = [wait for _, wait in dispatcher.over]
    assert shed and all(
        0.0 < wait <= dispatcher.scheduler.rules.max_retry_after_s
        or dispatcher.scheduler.rules.max_retry_after_s == 0
        for wait in shed
    )
    assert len(dispatcher.sent) + len(dispatcher.over) + len(dispatcher.scheduler.pending) == 12
    assert dispatcher.enforcer.refused_count == len(dispatcher.over)


def test_a_tenants_share_is_what_its_budget_says(still: None) -> None:
    dispatcher = StandInDispatcher("(budgets (window 1 s))")
    cmds = [dispatcher.take(f"{n:x}") for n in range(5)]
    worth = [cmd.priority_weight for cmd in cmds]
    usual = dispatcher.scheduler.request_classes[0].priority_weight
    assert (
        worth[:3] == [usual] * 3 and worth[3:] == [usual * dispatcher.scheduler.rules.over_quota_weight] * 2
    )


def test_further_sends_come_from_the_fleets_budget(still: None) -> None:
    dispatcher = StandInDispatcher("(budgets (further 2) (tenants off))", engines=4)
    cmds = [dispatcher.take(f"{n:x}") for n in range(6)]
    for cmd in cmds:
        cmd.on_attempt_end(0, AttemptOutcome.UNREACHABLE, False, None)
    again = [cmd for cmd in cmds if cmd.attempt_count == 2]
    assert len(again) == 2 and len(dispatcher.sent) == 8
    dispatcher.clock += 1.1
    late = dispatcher.take("f")
    late.on_attempt_end(0, AttemptOutcome.UNREACHABLE, False, None)
    assert late.attempt_count == 2


def test_what_a_fresh_engine_bears_is_divided_and_no_lottery(still: None) -> None:
    dispatcher = StandInDispatcher("(budgets (cold on) (tenants off))", engines=0)
    dispatcher.scheduler.parts.slow_start.router_started_at = 0.0
    dispatcher.scheduler.update_engines(
        [EngineEntry(0, "s-0", 0, 0, 0, EngineStatus.UP, dispatcher.clock - 0.1)], True
    )
    dispatcher.enforcer.engines_changed()
    assert dispatcher.enforcer.slow_start_share(0) == 1.0  # alone it has all of it
    for n in range(200):
        dispatcher.take(f"{n:x}")
    rules, engine = dispatcher.scheduler.rules, dispatcher.scheduler.engines[0]
    most = rules.slow_start_floor * engine.cores * rules.overload_multiple * rules.overload_window_s
    assert 0 < len(dispatcher.sent) * dispatcher.scheduler.mean_work(0) <= most


def test_connections_to_an_engine_are_counted_with_its_descriptors(still: None) -> None:
    cores = Settings(SETTINGS).fleet.cores_by_kind[0]
    dispatcher = StandInDispatcher(f"(budgets (lines-per-core {2 / cores}) (tenants off))", engines=1)
    share = BoundedSemaphore(8)
    counted = BudgetedConnectionLimit(share, dispatcher.enforcer, "s-0")
    assert counted.acquire(blocking=False) and counted.acquire(blocking=False)
    assert not counted.acquire(blocking=False) and share.counter == 6  # nothing is kept of one that failed
    counted.release()
    assert share.counter == 7 and counted.acquire(blocking=False)


def test_random_ends_leave_no_unit_behind(still: None) -> None:
    dispatcher, chance = (
        StandInDispatcher('(budgets (out-per-core 1) (budget "all" (tenant "acme") (out 9)))'),
        random.Random(3),
    )
    cmds: list[Any] = []
    for n in range(400):
        dispatcher.clock += chance.random() * 0.05
        cmds.append(dispatcher.take(f"{n:x}", left=chance.choice([0.2, 2.0])))
        for cmd in [c for c in cmds if c.in_flight and chance.random() < 0.3]:
            send = cmd.in_flight[0]
            how = chance.choice(list(AttemptOutcome))
            if chance.random() < 0.7:
                cmd.on_answer(send.number, None, None)
            else:
                cmd.on_attempt_end(send.number, how, False, None)
        dispatcher.scheduler.on_timer()
        now = dispatcher.clock
        assert all(p.used_units(now) <= p.max_units(now) for p in dispatcher.local_budgets.budgets.values())
    for cmd in cmds:
        for send in list(cmd.in_flight):
            cmd.on_attempt_end(send.number, AttemptOutcome.ERROR, True, None)
        cmd.on_client_disconnect()
    dispatcher.clock += 10.0
    assert all(p.used_units(dispatcher.clock) == 0 for p in dispatcher.local_budgets.budgets.values())
    assert not dispatcher.enforcer.acquired and not any(dispatcher.enforcer.waiting_by_budget.values())
