"""Tests of budgets: datagrams, division, ledger and local state, configuration, and enforcement.

The ledger and the local state are also explored with the simulated network of `lab/budget_model.py`: every
order of a few events, long random walks, and the same walks with one safeguard removed, which have to fail.
"""

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
from marbleworks.lab.budget_model import World, exhaust, stroll
from marbleworks.lab.explore import InvariantViolation
from marbleworks.membership.codec import MAX_DATAGRAM_BYTES, DatagramDecodeError
from marbleworks.model import AttemptOutcome, EngineEntry, EngineStatus
from marbleworks.operator_config.sexpr import ConfigSyntaxError
from marbleworks.scheduling.scheduler import Scheduler
from marbleworks.settings import Settings
from marbleworks.subsystems.registry import parse_sections
from tests.support.stand_ins import SETTINGS

COUNT, UNITS = st.integers(0, (1 << 40) - 1), st.integers(0, 1 << 24)
USAGES = st.builds(
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
LARGEST_USAGE = BudgetUsage(
    2**32 - 1, (1 << 40) - 1, 1 << 24, 1 << 24, 1 << 24, 1e6, 1 << 24, 1 << 24, 1 << 24
)
# A row of 23 bytes; eight of them fill the 184 bytes that a typical head leaves in a datagram.
USAGE_OF_23_BYTES = BudgetUsage(1 << 31, 1 << 20, 200, 200, 200, 2.0, 200, 1, 1)


# Datagrams.


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(USAGES, max_size=40), COUNT, st.booleans())
@example([BudgetUsage(0, 0, 0, 0, 0, 0.0, 0, 0, 0)] * 14 + [LARGEST_USAGE] * 40, (1 << 40) - 1, True)
@example([USAGE_OF_23_BYTES] * 8, (1 << 40) - 1, True)
def test_reports_and_answers_round_trip_in_datagrams_within_the_size_limit(
    all_usages: list[BudgetUsage], n: int, is_leaving: bool
) -> None:
    head_bytes = len(encode_report(7, BudgetReport(n, n, n, n, n, n, is_leaving, n, ())))
    reported = list(split_usages(all_usages, head_bytes))
    assert [usage for usages in reported for usage in usages] == all_usages
    for usages in reported:
        report = BudgetReport(n, n, n, n, n, n, is_leaving, n, usages)
        data = encode_report(7, report)
        assert len(data) <= MAX_DATAGRAM_BYTES and decode(7, data) == report
        answer = BudgetAnswer(
            n,
            n,
            n,
            tuple(
                BudgetGrant(usage.budget_id, usage.grant_serial, usage.used_units, usage.total_units)
                for usage in usages
            ),
        )
        assert (
            len(encode_answer(7, answer)) <= MAX_DATAGRAM_BYTES
            and decode(7, encode_answer(7, answer)) == answer
        )


@pytest.mark.parametrize("usage", [LARGEST_USAGE, USAGE_OF_23_BYTES])
def test_largest_head_of_a_report_leaves_less_room_for_usages(usage: BudgetUsage) -> None:
    """Guards against datagrams that are too long because the head of a report is larger than usual.

    With all numbers at their largest the head takes 87 bytes; a typical one takes no more than 72.
    """
    largest = (1 << 40) - 1
    router = LocalBudgets(0, 2, 0.25, 1.0, -10.0)
    router.set_budgets(
        [Budget(f"w{n}", 1 << 24 if usage is LARGEST_USAGE else 200, 0.0, 1.0) for n in range(40)], 0.0
    )
    router.follow_granter(0, largest, largest)
    router.config_version = router.config_digest = largest
    for local in router.budgets.values():
        local.grant_serial, local.leased_units, local.lease_expires_at, local.in_flight = (
            usage.grant_serial,
            usage.held_units,
            math.inf,
            usage.used_units,
        )
    reports = router.make_reports(0, largest, largest, largest / 1000.0, 1, True)
    assert sum(len(report.usages) for report in reports) == 40
    assert max(report.age_ms for report in reports) >= 1 << 32
    assert all(len(encode_report(7, report)) <= MAX_DATAGRAM_BYTES for report in reports)


def test_head_of_a_typical_report_does_not_reduce_the_room_for_usages() -> None:
    typical = BudgetReport(
        1_022_000_000_123, 1_022_000_000_456, 9, 0xFFFF << 24, 4, 2**32 - 1, True, 2**31, ()
    )
    assert len(encode_report(7, typical)) <= TYPICAL_HEAD_BYTES == 72
    usages = [BudgetUsage(zlib.crc32(b"%d" % n), n, n, n // 2, n, 1.0, 200, 9, n) for n in range(100)]
    assert list(split_usages(usages, len(encode_report(7, typical)))) == list(split_usages(usages))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 400), st.integers(1, 255), st.lists(USAGES, max_size=4))
def test_malformed_datagrams_raise_a_decode_error(
    noise: bytes, position: int, flip: int, usages: list[BudgetUsage]
) -> None:
    data = bytearray(encode_report(7, BudgetReport(1, 1, 1, 1, 1, 1, False, 1, tuple(usages))))
    data[position % len(data)] ^= flip
    for malformed in (noise, bytes(data), bytes(data[: position % len(data)])):
        with pytest.raises(DatagramDecodeError):
            decode(7, malformed)
            pytest.fail(f"{malformed!r} was decoded")


# Division by demand.

DEMANDS = st.dictionaries(
    st.integers(0, 9),
    st.builds(Demand, st.floats(0, 50), st.floats(0, 50), st.integers(0, 3), st.floats(0.1, 8)),
    min_size=1,
    max_size=8,
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    st.integers(0, 60), DEMANDS, st.integers(0, 99), st.dictionaries(st.integers(0, 9), st.integers(0, 30))
)
def test_shares_add_up_to_the_total_and_no_member_with_demand_starves(
    total: int, demands: Any, salt: int, previous: Any
) -> None:
    shares = divide(total, demands, salt, previous)
    assert sum(shares.values()) == total and min(shares.values()) >= 0 and shares.keys() == demands.keys()
    wanted = {n: max(demand.units - demand.guaranteed_units, 0.0) for n, demand in demands.items()}
    demanding = [n for n, units in wanted.items() if units > 0]
    for n in demanding:
        assert shares[n] >= math.floor(min(wanted[n], 0.25 * total / len(demanding))) - 1


def test_contended_units_go_by_demand_and_weight_and_shares_stay_after_small_changes() -> None:
    def demand(units: float, priority_weight: float = 1.0) -> Demand:
        return Demand(units, units, 0, priority_weight)

    assert divide(12, {0: demand(30), 1: demand(30)}) == {0: 6, 1: 6}
    by_demand = divide(40, {0: demand(100), 1: demand(10)})
    assert by_demand[0] > 3 * by_demand[1] >= 12
    by_weight = divide(12, {0: demand(30, 8.0), 1: demand(30, 1.0)})
    assert by_weight[0] > by_weight[1] >= 1
    divisions = [divide(2, {n: demand(9) for n in range(3)}, salt) for salt in range(60)]
    # The remainders go to different members.
    assert all(15 <= sum(share[n] for share in divisions) <= 65 for n in range(3))
    previous = divide(11, {0: demand(20), 1: demand(21), 2: demand(22)})
    assert divide(11, {0: demand(20.3), 1: demand(20.8), 2: demand(22)}, previous=previous) == previous


def test_demand_of_a_member_that_wants_much_and_uses_little_is_limited() -> None:
    hoarder, busy = Demand(), Demand()
    for n in range(20):
        hoarder.update(1, 0, 20, 1000, 1.0, 0.2 * n)
        busy.update(20, 0, 20, 60, 1.0, 0.2 * n)
    assert hoarder.units <= 4.0 and busy.units == 60.0
    shares = divide(40, {0: hoarder, 1: busy})
    assert shares[1] >= 8 * shares[0]


def test_past_demand_decays_within_one_and_a_half_seconds() -> None:
    demand = Demand()
    demand.update(50, 0, 50, 80, 1.0, 0.0)
    assert demand.units == 80.0
    demand.update(0, 0, 50, 0, 1.0, 1.5)
    assert demand.units < 5.0


# Ledger and local budgets.


def make_ledger_and_routers(
    units: int = 8, guaranteed_ratio: float = 0.25, window_s: float = 0.0
) -> tuple[AllocationLedger, list[LocalBudgets], Budget]:
    budget = Budget("w", units, window_s, window_s or 1.0 + ABANDONED_ATTEMPT_TIMEOUT_S)
    routers = [LocalBudgets(n, 2, guaranteed_ratio, 1.0, -10.0) for n in range(2)]
    for router in routers:
        router.set_budgets([budget], 0.0)
    ledger = AllocationLedger(0, 2, 1, 1, guaranteed_ratio, 1.0, 0.0)
    ledger.set_budgets([budget])
    return ledger, routers, budget


def only_budget(router: LocalBudgets) -> LocalBudget:
    return next(iter(router.budgets.values()))


def exchange_reports(
    ledger: AllocationLedger, routers: list[LocalBudgets], now: float, members: Any = (0, 1)
) -> None:
    for n in members:
        for report in routers[n].make_reports(0, 1, 1, now):
            answer = ledger.handle_report(n, report, now)
            if answer is not None:
                routers[n].handle_answer(0, answer, now)


def test_all_units_of_a_budget_can_be_used_and_no_more() -> None:
    ledger, routers, _ = make_ledger_and_routers()
    for n in range(1, 12):
        only_budget(routers[0]).waiting.update(map(str, range(9)))
        exchange_reports(ledger, routers, 0.2 * n)
        while only_budget(routers[0]).has_room(0.2 * n):
            routers[0].acquire(only_budget(routers[0]), 0.2 * n)
    used = [only_budget(router).used_units(2.2) for router in routers]
    assert sum(only_budget(router).max_units(2.2) for router in routers) == 8 and used[0] >= 6
    assert ledger.free_units(next(iter(ledger.allocations.values())), 2.2) == 0


def test_leased_units_end_with_the_lease_and_their_requests_run_on_until_cancelled() -> None:
    ledger, routers, budget = make_ledger_and_routers()
    for n in range(1, 6):
        only_budget(routers[1]).waiting.update(map(str, range(9)))
        exchange_reports(ledger, routers, 0.2 * n)
        while only_budget(routers[1]).has_room(0.2 * n):
            routers[1].acquire(only_budget(routers[1]), 0.2 * n)
    local = only_budget(routers[1])
    used = local.used_units(1.0)
    assert used > 1 and routers[1].find_overdue(1.0) == []
    assert (
        local.max_units(2.1) == local.guaranteed_units == 1
        and local.used_units(2.1) == used
        and not local.has_room(2.1)
    )
    assert routers[1].find_overdue(2.5) == []
    late = 2.0 + budget.settle_s
    assert routers[1].find_overdue(late) == [(local, used - 1)]
    exchange_reports(ledger, routers, late, members=[0])  # the units that router 1 held are free by now
    for n in range(1, 8):
        only_budget(routers[0]).waiting.update(map(str, range(9)))
        exchange_reports(ledger, routers, late + 0.2 * n, members=[0])
    assert only_budget(routers[0]).max_units(late + 1.4) == 7


def test_unit_of_an_attempt_that_may_still_run_stays_in_use_until_the_timeout() -> None:
    _, routers, _ = make_ledger_and_routers()
    local = only_budget(routers[0])
    assert routers[0].acquire(local, 0.0) == math.inf  # a guaranteed unit
    routers[0].release(local, 0.5, True)
    assert (
        local.used_units(0.5) == local.used_units(0.5 + ABANDONED_ATTEMPT_TIMEOUT_S - 0.01) == 1
        and local.used_units(0.5 + ABANDONED_ATTEMPT_TIMEOUT_S + 0.01) == 0
    )


def test_rate_budget_allows_no_more_than_its_burst_in_any_window() -> None:
    router = LocalBudgets(0, 1, None, 1.0, -10.0)
    router.set_budgets([Budget("r", 5, 1.0, 1.0)], 0.0)
    local, times, now = only_budget(router), list[float](), 0.0
    while now < 20.0:
        if local.has_room(now):
            router.acquire(local, now)
            times.append(now)
        now += 0.01
    assert len(times) > 90
    assert all(sum(t <= other < t + 1.0 for other in times) <= 5 for t in times)


def request_units(ledger: AllocationLedger, routers: list[LocalBudgets], now: float) -> None:
    for router in routers:
        only_budget(router).waiting.update(map(str, range(20)))
    exchange_reports(ledger, routers, now)


def test_smaller_total_applies_once_one_member_reports_it_and_larger_once_all_do() -> None:
    ledger, routers, budget = make_ledger_and_routers(16)
    for n in range(1, 5):
        request_units(ledger, routers, 0.2 * n)
    assert sum(only_budget(router).max_units(0.8) for router in routers) == 16
    # Router 1 reloads its configuration first.
    routers[1].set_budgets([Budget("w", 8, 0.0, budget.settle_s)], 0.8)
    for n in range(5, 10):
        request_units(ledger, routers, 0.2 * n)
    assert sum(only_budget(router).max_units(1.8) for router in routers) == 8
    routers[0].set_budgets([Budget("w", 8, 0.0, budget.settle_s)], 1.8)
    ledger.set_budgets([Budget("w", 8, 0.0, budget.settle_s)])
    routers[0].set_budgets([Budget("w", 24, 0.0, budget.settle_s)], 1.9)  # raised again, at one router only
    ledger.set_budgets([Budget("w", 24, 0.0, budget.settle_s)])
    for n in range(10, 14):
        request_units(ledger, routers, 0.2 * n)
    assert sum(only_budget(router).max_units(2.6) for router in routers) == 8
    routers[1].set_budgets([Budget("w", 24, 0.0, budget.settle_s)], 2.6)
    for n in range(14, 19):
        request_units(ledger, routers, 0.2 * n)
    assert sum(only_budget(router).max_units(3.6) for router in routers) == 24


def test_members_with_a_different_configuration_are_found() -> None:
    ledger = AllocationLedger(0, 3, 1, 1, 0.25, 1.0, 0.0)
    ledger.set_budgets([Budget("w", 8, 0.0, 1.0)])
    for n, digest in enumerate([5, 5, 6]):
        ledger.handle_report(n, BudgetReport(1, 1, 1, 1, 3, digest, False, 0, ()), 0.1)
    assert ledger.disagreeing_members() == [2]


def test_forged_usages_and_member_numbers_change_nothing() -> None:
    ledger, routers, _ = make_ledger_and_routers()
    request_units(ledger, routers, 0.1)
    request_units(ledger, routers, 0.2)
    before = next(iter(ledger.snapshots(0.3).values()))
    huge = BudgetUsage(3, 1, 1 << 30, 1 << 30, 1 << 30, 1.0, 1 << 30, 1 << 30, 0)
    ledger.handle_report(1, BudgetReport(1, 1, 1, 99, 1, 1, False, 0, (huge,)), 0.3)
    ledger.handle_report(9, BudgetReport(1, 1, 1, 99, 1, 1, False, 0, ()), 0.3)
    ledger.handle_report(1, BudgetReport(1, 77, 1, 99, 1, 1, False, 0, (huge,)), 0.3)
    assert next(iter(ledger.snapshots(0.3).values())) == before and len(ledger.allocations) == 1


def test_allocations_of_removed_engines_are_dropped() -> None:
    ledger = AllocationLedger(0, 2, 1, 1, 0.25, 1.0, 0.0)
    ledger.set_budgets([Budget("w", 8, 0.0, 1.0)])
    for n in range(500):
        usage = BudgetUsage(1000 + n, 0, 0, 0, 0, 1.0, 8, 1, 0)
        ledger.handle_report(1, BudgetReport(1, 1, 1, n + 1, 1, 1, False, 0, (usage,)), 0.01 * n)
    assert len(ledger.allocations) <= 68


# Exploration of event orders.


def test_every_order_of_a_few_events_stays_within_the_total() -> None:
    assert exhaust(3) > 300 and exhaust(3, 2, 1.0) > 300 and exhaust(3, 3) > 600


@pytest.mark.parametrize("seed", range(4))
def test_long_random_walks_with_faults_stay_within_the_total(seed: int) -> None:
    for n in range(30):
        stroll(1000 * seed + n, 600, 2 + n % 4, (0.0, 1.0, 0.0, 4.0)[n % 4], (3, 7, 20)[n % 3])


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.integers(0, 10**6), min_size=50, max_size=250), st.sampled_from([0.0, 1.0]))
def test_arbitrary_event_sequences_never_use_more_units_than_the_total(
    draws: list[int], window_s: float
) -> None:
    world = World(
        [Budget("w", 5, window_s, window_s or 0.5 + ABANDONED_ATTEMPT_TIMEOUT_S)] * 3, [0.99, 1.01, 1.0]
    )
    world.set_leader(0)
    for draw in draws:
        moves = list(world.possible_acts((0.05, 0.3, 0.9)[draw % 3]))
        # Raises InvariantViolation if more units are in use than the total.
        world.perform(*moves[draw // 3 % len(moves)])


def run_random_walks() -> None:
    for seed in range(400):
        stroll(seed, 600, 2 + seed % 4, (0.0, 1.0, 0.0, 4.0)[seed % 4], (3, 7, 20)[seed % 3])


def ignore_unreported_units(patch: pytest.MonkeyPatch) -> None:
    """Has units count as free that members may hold that have not reported."""
    patch.setattr(AllocationLedger, "_unreported_units", lambda self, allocation, now: 0)


def ignore_unconfirmed_grants(patch: pytest.MonkeyPatch) -> None:
    """Has grants not count that the reports of a member have not shown yet."""
    patch.setattr(ledger_module.MemberAccount, "max_units", property(lambda self: self.held_units))


def skip_settle_times(patch: pytest.MonkeyPatch) -> None:
    """Has units of expired leases and ended processes count as free before their requests have ended."""
    original_init = BudgetAllocation.__init__

    def init_without_timeouts(
        self: BudgetAllocation, settle_s: float, orphan_timeout_s: float, known_totals: Any
    ) -> None:
        original_init(self, 0.0, 0.0, known_totals)

    patch.setattr(BudgetAllocation, "__init__", init_without_timeouts)


def count_lease_from_arrival_of_answer(patch: pytest.MonkeyPatch) -> None:
    """Has a lease start when the answer arrives rather than when the report was sent."""
    original_handle_answer = LocalBudgets.handle_answer

    def handle_answer(self: LocalBudgets, sender: int, answer: BudgetAnswer, now: float) -> bool:
        self.open_reports = {token: (now, held_units) for token, (_, held_units) in self.open_reports.items()}
        return original_handle_answer(self, sender, answer, now)

    patch.setattr(LocalBudgets, "handle_answer", handle_answer)


def accept_older_grants(patch: pytest.MonkeyPatch) -> None:
    """Has an older grant that arrives late replace a newer one."""
    original_handle_answer = LocalBudgets.handle_answer

    def handle_answer(self: LocalBudgets, sender: int, answer: BudgetAnswer, now: float) -> bool:
        for local in self.budgets.values():
            local.grant_serial = 0
        return original_handle_answer(self, sender, answer, now)

    patch.setattr(LocalBudgets, "handle_answer", handle_answer)


def allow_guaranteed_units_at_start(patch: pytest.MonkeyPatch) -> None:
    """Has a new process use its guaranteed units while requests of its predecessor may still run."""
    original_set_budgets = LocalBudgets.set_budgets

    def set_budgets(self: LocalBudgets, budgets: list[Budget], now: float) -> None:
        self.started_at = -100.0
        original_set_budgets(self, budgets, now)

    patch.setattr(LocalBudgets, "set_budgets", set_budgets)


def skip_abandoned_attempt_timeout(patch: pytest.MonkeyPatch) -> None:
    """Has a unit count as free while its attempt may still run at the engine."""
    patch.setattr(local_budget_module, "ABANDONED_ATTEMPT_TIMEOUT_S", 0.0)


def accept_reports_of_any_term(patch: pytest.MonkeyPatch) -> None:
    """Has the ledger accept reports that were made for another term."""
    original_handle_report = AllocationLedger.handle_report

    def handle_report(self: AllocationLedger, member: int, report: BudgetReport, now: float) -> Any:
        self.term = report.leader_term
        return original_handle_report(self, member, report, now)

    patch.setattr(AllocationLedger, "handle_report", handle_report)


@pytest.mark.parametrize(
    "remove_safeguard",
    [
        ignore_unreported_units,
        ignore_unconfirmed_grants,
        skip_settle_times,
        count_lease_from_arrival_of_answer,
        accept_older_grants,
        allow_guaranteed_units_at_start,
        skip_abandoned_attempt_timeout,
        accept_reports_of_any_term,
    ],
)
def test_random_walks_fail_without_any_one_of_the_safeguards(
    remove_safeguard: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    remove_safeguard(monkeypatch)
    with pytest.raises(InvariantViolation):
        run_random_walks()


# Configuration.


def test_scoped_budgets_are_parsed_and_errors_name_the_problem_and_its_position() -> None:
    text = """(budgets (version 4) (budget "month-end" (profile "report") (out 40))
        (budget "acme" (tenant "acme") (rate 5)))"""
    terms = parse_sections(text)["budgets"]
    catalog = BudgetCatalog(BudgetOptions.from_section(terms), {"look": 0, "report": 1}, {"acme": 0}, [12.0])
    assert [
        (scoped.budget.name, scoped.budget.units, scoped.budget.window_s) for scoped in catalog.scoped_budgets
    ] == [("named month-end", 40, 0.0), ("named acme", 5, 1.0)]
    assert (
        catalog.scoped_budgets[0].covers(1, 0)
        and not catalog.scoped_budgets[0].covers(0, 0)
        and catalog.scoped_budgets[1].covers(0, 0)
    )
    assert catalog.tenant_budgets[0].units == 12 and catalog.config_version == 4
    for section, message in (
        ('(budgets (budget "x" (out 4)))', "'profile', 'tenant' or both"),
        ('(budgets (budget "x" (profile "y")))', "either 'out' or 'rate'"),
        ('(budgets (budget "x" (profile "y") (out 4) (rate 3)))', "either 'out' or 'rate'"),
        ('(budgets (budget "x" (colour "y")))', "a setting of profile, tenant, out, rate"),
        ('(budgets (budget "x" (profile "y") (out -1)))', "expected"),
        ('(budgets (budget (profile "y") (out 4)))', "a budget in quotes"),
    ):
        with pytest.raises(ConfigSyntaxError, match=message) as error:
            parse_sections(section)
        assert error.value.line == 1 and error.value.column > 1
    assert BudgetCatalog(
        BudgetOptions.from_section(
            parse_sections('(budgets (budget "x" (profile "no") (out 4)))')["budgets"]
        ),
        {},
        {},
    ).unmatched_names == ["x"]


def test_rate_below_one_request_per_window_gets_a_longer_window() -> None:
    catalog = BudgetCatalog(
        BudgetOptions.from_section(
            parse_sections('(budgets (budget "x" (tenant "a") (rate 0.3)))')["budgets"]
        ),
        {},
        {"a": 0},
    )
    budget = catalog.scoped_budgets[0].budget
    assert budget.units == 1 and budget.units / budget.window_s <= 0.3


# Enforcement.


class StandInDispatcher:
    """Stand-in for the dispatcher that records the calls of the scheduler."""

    current: "StandInDispatcher"

    def __init__(self, section: str, engines: int = 2, **rules: Any) -> None:
        deployment = Settings(
            SETTINGS | {"orgs": [{"name": "acme", "quota_per_s": 3.0}], "instances": 1, "me": 0}
        )
        StandInDispatcher.current = self
        self.clock, self.open_requests, self.engine_clients = 1000.0, dict[str, Any](), dict[int, Any]()
        self.sent: list[tuple[str, int]] = []
        self.shed_or_failed: list[tuple[str, float]] = []
        self.scheduler = Scheduler(self, 1, deployment.request_classes, deployment.rules, deployment.fleet)  # type: ignore[arg-type]
        catalog = BudgetCatalog(
            BudgetOptions.from_section(parse_sections(section)["budgets"]),
            deployment.class_index,
            deployment.tenant_index,
            deployment.rules.tenant_rates_per_s,
        )
        self.local_budgets = LocalBudgets(0, 1, None, 1.0, -10.0)
        self.enforcer = BudgetEnforcer(self, catalog, self.local_budgets, lambda: None)  # type: ignore[arg-type]
        self.scheduler.shared_budgets = self.enforcer
        entries = [EngineEntry(n, f"s-{n}", 0, 0, 0, EngineStatus.UP, 0.0) for n in range(engines)]
        self.scheduler.update_engines(entries, True)
        self.enforcer.engines_changed()

    def now(self) -> float:
        return self.clock

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        self.sent.append((ref, engine_id))

    def shed(self, ref: str, retry_after_s: float) -> None:
        self.shed_or_failed.append((ref, retry_after_s))

    def fail(self, ref: str) -> None:
        self.shed_or_failed.append((ref, -1.0))

    def submit_request(self, ref: str, class_index: int = 0, time_left_s: float = 2.0) -> Any:
        return self.scheduler.submit(ref, class_index, 0, "", (0.05, 9.0), 0, self.clock, time_left_s)

    def __getattr__(self, name: str) -> Any:
        return lambda *args: None


@pytest.fixture
def manual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replaces the clock of the enforcer by that of the stand-in dispatcher, which only tests advance."""
    monkeypatch.setattr("marbleworks.budgets.enforcement.clock", lambda: StandInDispatcher.current.clock)


def test_no_engine_is_sent_more_than_its_budget_and_the_rest_waits(manual_clock: None) -> None:
    cores = Settings(SETTINGS).fleet.cores_by_kind[0]
    dispatcher = StandInDispatcher(f"(budgets (out-per-core {2 / cores}))")
    requests = [dispatcher.submit_request(f"{n:x}") for n in range(6)]
    assert (
        sorted(engine_id for _, engine_id in dispatcher.sent) == [0, 0, 1, 1]
        and len(dispatcher.scheduler.pending) == 2
        and not dispatcher.shed_or_failed
    )
    first = next(request for request in requests if request.ref == dispatcher.sent[0][0])
    first.on_answer(0, None, None)
    assert len(dispatcher.sent) == 5 and dispatcher.sent[4][1] == dispatcher.sent[0][1]


def test_request_without_room_in_time_is_shed_with_a_retry_after(manual_clock: None) -> None:
    dispatcher = StandInDispatcher('(budgets (budget "looks" (tenant "acme") (rate 4)))')
    for n in range(12):
        dispatcher.submit_request(f"{n:x}")
    assert len(dispatcher.sent) == 4
    retry_times_s = [retry_after_s for _, retry_after_s in dispatcher.shed_or_failed]
    assert retry_times_s and all(
        0.0 < retry_after_s <= dispatcher.scheduler.rules.max_retry_after_s
        or dispatcher.scheduler.rules.max_retry_after_s == 0
        for retry_after_s in retry_times_s
    )
    assert len(dispatcher.sent) + len(dispatcher.shed_or_failed) + len(dispatcher.scheduler.pending) == 12
    assert dispatcher.enforcer.refused_count == len(dispatcher.shed_or_failed)


def test_requests_beyond_the_tenant_budget_get_the_over_quota_weight(manual_clock: None) -> None:
    dispatcher = StandInDispatcher("(budgets (window 1 s))")
    requests = [dispatcher.submit_request(f"{n:x}") for n in range(5)]
    weights = [request.priority_weight for request in requests]
    class_weight = dispatcher.scheduler.request_classes[0].priority_weight
    assert (
        weights[:3] == [class_weight] * 3
        and weights[3:] == [class_weight * dispatcher.scheduler.rules.over_quota_weight] * 2
    )


def test_retries_come_from_the_retry_budget_of_the_fleet(manual_clock: None) -> None:
    dispatcher = StandInDispatcher("(budgets (further 2) (tenants off))", engines=4)
    requests = [dispatcher.submit_request(f"{n:x}") for n in range(6)]
    for request in requests:
        request.on_attempt_end(0, AttemptOutcome.UNREACHABLE, False, None)
    retried = [request for request in requests if request.attempt_count == 2]
    assert len(retried) == 2 and len(dispatcher.sent) == 8
    dispatcher.clock += 1.1
    late = dispatcher.submit_request("f")
    late.on_attempt_end(0, AttemptOutcome.UNREACHABLE, False, None)
    assert late.attempt_count == 2


def test_slow_start_load_of_an_engine_stays_within_its_budget(manual_clock: None) -> None:
    dispatcher = StandInDispatcher("(budgets (cold on) (tenants off))", engines=0)
    dispatcher.scheduler.components.slow_start.router_started_at = 0.0
    dispatcher.scheduler.update_engines(
        [EngineEntry(0, "s-0", 0, 0, 0, EngineStatus.UP, dispatcher.clock - 0.1)], True
    )
    dispatcher.enforcer.engines_changed()
    assert dispatcher.enforcer.slow_start_share(0) == 1.0  # a router without peers has the whole load
    for n in range(200):
        dispatcher.submit_request(f"{n:x}")
    rules, engine = dispatcher.scheduler.rules, dispatcher.scheduler.engines[0]
    max_work = rules.slow_start_floor * engine.cores * rules.overload_multiple * rules.overload_window_s
    assert 0 < len(dispatcher.sent) * dispatcher.scheduler.mean_work(0) <= max_work


def test_connections_count_against_the_budget_and_the_descriptor_limit(manual_clock: None) -> None:
    cores = Settings(SETTINGS).fleet.cores_by_kind[0]
    dispatcher = StandInDispatcher(f"(budgets (lines-per-core {2 / cores}) (tenants off))", engines=1)
    descriptors = BoundedSemaphore(8)
    limit = BudgetedConnectionLimit(descriptors, dispatcher.enforcer, "s-0")
    assert limit.acquire(blocking=False) and limit.acquire(blocking=False)
    # A failed acquire keeps no descriptor.
    assert not limit.acquire(blocking=False) and descriptors.counter == 6
    limit.release()
    assert descriptors.counter == 7 and limit.acquire(blocking=False)


def test_random_attempt_endings_release_every_unit(manual_clock: None) -> None:
    dispatcher, rng = (
        StandInDispatcher('(budgets (out-per-core 1) (budget "all" (tenant "acme") (out 9)))'),
        random.Random(3),
    )
    requests: list[Any] = []
    for n in range(400):
        dispatcher.clock += rng.random() * 0.05
        requests.append(dispatcher.submit_request(f"{n:x}", time_left_s=rng.choice([0.2, 2.0])))
        for request in [candidate for candidate in requests if candidate.in_flight and rng.random() < 0.3]:
            attempt = request.in_flight[0]
            outcome = rng.choice(list(AttemptOutcome))
            if rng.random() < 0.7:
                request.on_answer(attempt.number, None, None)
            else:
                request.on_attempt_end(attempt.number, outcome, False, None)
        dispatcher.scheduler.on_timer()
        now = dispatcher.clock
        assert all(
            local.used_units(now) <= local.max_units(now)
            for local in dispatcher.local_budgets.budgets.values()
        )
    for request in requests:
        for attempt in list(request.in_flight):
            request.on_attempt_end(attempt.number, AttemptOutcome.ERROR, True, None)
        request.on_client_disconnect()
    dispatcher.clock += 10.0
    assert all(local.used_units(dispatcher.clock) == 0 for local in dispatcher.local_budgets.budgets.values())
    assert not dispatcher.enforcer.acquired and not any(dispatcher.enforcer.waiting_by_budget.values())
