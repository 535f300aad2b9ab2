"""Tests of the fits, of the measurement of time and memory, and of what each measurement counts."""

import gc
import math
import random
import sys
import tracemalloc
from pathlib import Path
from typing import Any

import pytest

from marbleworks.lab import capacity, flat, meter, sizes
from marbleworks.lab.group import GROUP
from marbleworks.lab.meter import SHARED_TYPES, medians, processor_seconds, state_bytes
from marbleworks.lab.report import Report
from marbleworks.lab.slopes import Slopes, fit
from marbleworks.membership.codec import decode

SIZES = (10.0, 20.0, 40.0, 80.0, 160.0, 320.0, 640.0)


def slope(values: list[float], sizes: tuple[float, ...] = SIZES, name: str = "s") -> Any:
    return fit(name, "what", "against", "in process", sizes, values)


# Fits.


@pytest.mark.parametrize("exponent", [0.5, 1.0, 2.0, 3.0])
@pytest.mark.parametrize("base", [0.0, 50.0])
def test_a_fit_finds_the_exponent_and_the_base_again(exponent: float, base: float) -> None:
    found = slope([base + 3.0 * x**exponent for x in SIZES])
    assert found.exponent == pytest.approx(exponent, abs=0.01) and found.error < 0.01
    assert found.base == pytest.approx(base, abs=0.5)
    assert found.value_at(10_000) == pytest.approx(base + 3.0 * 10_000**exponent, rel=0.02)


@pytest.mark.parametrize("base", [0.0, 100.0])
def test_the_interval_holds_the_exponent_about_as_often_as_its_confidence(base: float) -> None:
    """With a noise of 3% in each value, 95 of 100 intervals should hold the exponent; at least 85 must."""
    chance, held = random.Random(5), 0
    for _ in range(100):
        found = slope([(base + 2.0 * x) * math.exp(chance.gauss(0, 0.03)) for x in SIZES])
        held += found.low <= 1.0 <= found.high
    assert held >= 85


def test_what_does_not_grow_has_an_exponent_of_zero() -> None:
    chance = random.Random(7)
    found = slope([4.0 * math.exp(chance.gauss(0, 0.05)) for _ in SIZES])
    assert found.low <= 0.0 <= found.high and abs(found.exponent) < 0.1
    assert found.value_at(100_000) == pytest.approx(4.0, rel=0.6)


def test_the_largest_size_is_no_part_of_its_own_prediction() -> None:
    """A deviation at the largest size alone must not change the prediction, but its error."""
    straight, bent = [2.0 * x for x in SIZES], [2.0 * x for x in SIZES[:-1]] + [9000.0]
    assert slope(straight).predicted == slope(bent).predicted == pytest.approx(1280.0)
    assert slope(straight).error < 1e-6 and slope(bent).error == pytest.approx(1 - 1280 / 9000)


def test_a_base_that_the_noise_hides_is_not_fitted() -> None:
    """A fit with a base through values that hardly grow once had an exponent of 4 with a useless interval."""
    found = slope([2.04, 2.1, 2.06, 2.0, 2.02, 2.24, 2.42])
    assert found.base == 0.0 and found.exponent < 0.3 and found.high < 0.5


def test_the_range_of_a_worked_out_value_widens_with_the_distance() -> None:
    chance = random.Random(3)
    found = slope([2.0 * x * math.exp(chance.gauss(0, 0.05)) for x in SIZES])
    near, far = found.range_at(1000.0), found.range_at(100_000.0)
    assert near[0] < found.value_at(1000.0) < near[1] and far[0] < found.value_at(100_000.0) < far[1]
    assert far[1] / far[0] > 1.05 * near[1] / near[0]
    assert found.extrapolation_ratio(6400.0) == 10.0


@pytest.mark.parametrize(
    ("xs", "ys"),
    [
        ((1, 2, 3, 4, 5), (1, 2, 3, 4, 5)),  # too few
        ((1, 2, 3, 4, 5, 6), (1, 2, 3, 4, 5)),
        ((1, 2, 3, 3, 5, 6), (1, 2, 3, 4, 5, 6)),
        ((6, 5, 4, 3, 2, 1), (1, 2, 3, 4, 5, 6)),
        ((1, 2, 3, 4, 5, 6), (1, 2, 3, 0, 5, 6)),
        ((0, 2, 3, 4, 5, 6), (1, 2, 3, 4, 5, 6)),
        ((1, 2, 3, 4, 5, 6), (1, 2, 3, 4, 5, math.nan)),
        ((1, 2, 3, 4, 5, math.inf), (1, 2, 3, 4, 5, 6)),
    ],
)
def test_invalid_sizes_and_values_are_refused(xs: tuple[float, ...], ys: tuple[float, ...]) -> None:
    with pytest.raises(ValueError, match="s: "):
        fit("s", "what", "against", "in process", xs, ys)


def test_slopes_are_stored_and_read_back_under_unique_names() -> None:
    slopes = Slopes()
    slopes.add(slope([2.0 * x for x in SIZES]))
    assert Slopes.from_dict(slopes.to_dict())["s"] == slopes["s"]
    with pytest.raises(ValueError, match="there already"):
        slopes.add(slope([3.0 * x for x in SIZES]))
    with pytest.raises((KeyError, TypeError)):
        Slopes.from_dict({"s": {"name": "s"}})


# Measurement of time and memory.


def test_the_state_of_an_object_is_what_its_creation_allocated() -> None:
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        ledger_load = sizes.LedgerLoad(30, 10, 1)
        for _ in range(3):
            ledger_load.run_round()
        gc.collect()
        allocated = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert 0.85 < state_bytes(ledger_load) / allocated < 1.15


def test_state_counts_each_object_once_and_no_shared_types() -> None:
    one = ["a" * 1000]
    assert state_bytes([one, one]) - state_bytes([one]) == 8
    shared = [len, sizes, int, math.sin, SHARED_TYPES[0]]
    assert state_bytes(shared) == sys.getsizeof(shared)
    assert state_bytes([one], without=one) < 300


def test_state_includes_attribute_dictionaries_and_string_keys() -> None:
    class Plain:
        def __init__(self) -> None:
            self.one = self.two = None

    plain = Plain()
    assert state_bytes(plain) == sum(map(sys.getsizeof, [plain, plain.__dict__, None]))
    keyed = {"a key that is text " + str(n): n for n in range(3)}
    assert state_bytes(keyed) == sum(map(sys.getsizeof, [keyed, *keyed, *keyed.values()]))


def test_processor_time_is_of_the_work_and_not_of_waiting() -> None:
    import time

    assert processor_seconds(lambda: time.sleep(0.2)) < 0.05
    began = time.process_time()
    took = processor_seconds(lambda: sum(range(300_000)))
    assert 0 < took <= time.process_time() - began


def test_samples_are_taken_in_turn_without_collections_and_the_median_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    order, values = list[int](), iter([5.0, 1.0, 1.0, 2.0, 9.0, 3.0])

    def sample(n: int) -> float:
        assert not gc.isenabled()
        order.append(n)
        return next(values)

    monkeypatch.setattr(meter, "PACE", pace := ScriptedPace([1.0]))
    pace.yardstick()
    assert medians([lambda: sample(0), lambda: sample(1)], 3) == [5.0, 2.0]
    assert order == [0, 1] * 3 and gc.isenabled()


class ScriptedPace(meter.Pace):
    """A machine whose yardstick takes the given times, one after the other."""

    def __init__(self, yardstick_times: list[float]) -> None:
        super().__init__()
        self.yardstick_times = yardstick_times

    def _time_yardstick(self) -> float:
        return self.yardstick_times.pop(0)


def test_a_sample_on_a_slow_machine_is_given_at_the_best_pace(monkeypatch: pytest.MonkeyPatch) -> None:
    took = iter([8.0, 4.0, 12.0])
    monkeypatch.setattr(meter, "processor_seconds", lambda do: next(took))
    monkeypatch.setattr(meter, "PACE", pace := ScriptedPace([4.0, 4.0, 2.0, 2.0, 4.0, 8.0]))
    assert medians([lambda: meter.yardsticks_of(int)], 3) == [4.0]  # each sample is 4 at a pace of 2
    assert not pace.yardstick_times and pace.best == 2.0


def test_a_long_measurement_is_compared_with_the_pace_of_each_part() -> None:
    pace, piece = ScriptedPace([1.0, 2.0, 4.0]), 0.6 * meter.YARDSTICK_INTERVAL_S
    yardsticks = [pace.to_yardsticks(piece * slow) for slow in (1.0, 1.0, 2.0, 4.0)]
    # The yardstick is timed again after the second and the third piece.
    assert yardsticks == pytest.approx([piece] * 4)
    assert not pace.yardstick_times and pace.best == 1.0


def test_the_yardstick_takes_some_milliseconds_of_processor_time() -> None:
    pace = meter.Pace()
    took = [pace.yardstick() for _ in range(5)]
    assert pace.best == min(took) > 1e-4 and pace.latest == took[-1]


# Each measurement, with small sizes.


def settled_group(count: int = 6) -> flat.MeasuredGroup:
    group, start_yardsticks, duration = flat.start_group(count, 3)
    assert group.views_agree() and start_yardsticks > 0 and 0 < duration < flat.TIMEOUT_S
    return group


def test_a_group_counts_each_byte_and_datagram_sent_and_received() -> None:
    group, datagrams_seen, send = settled_group(), list[tuple[int, int, int]](), flat.SimulatedGroup.send
    sent_before, received_before = list(group.sent_bytes), list(group.received_bytes)
    datagrams_before = list(group.sent_datagrams)
    arrivals_before = sum(what.__name__ == "_deliver" for _, _, what, _ in group.events)
    bytes_in_flight = {n: 0 for n in range(6)}
    for _, _, what, args in group.events:
        if what.__name__ == "_deliver":
            bytes_in_flight[args[1]] += len(args[2])

    def record_and_send(sender: int, to: int, data: bytes) -> None:
        datagrams_seen.append((sender, to, len(data)))
        send(group, sender, to, data)
        group.sent_datagrams[sender] += 1

    group.send = record_and_send  # type: ignore[method-assign]
    group.run_measured(3.0)
    while any(what.__name__ == "_deliver" for _, _, what, _ in group.events):
        group.run_measured(0.0005)
    assert len(datagrams_seen) > 100 and arrivals_before < len(datagrams_seen)
    for n in range(6):
        assert group.sent_bytes[n] - sent_before[n] == sum(size for by, _, size in datagrams_seen if by == n)
        assert group.sent_datagrams[n] - datagrams_before[n] == sum(by == n for by, _, _ in datagrams_seen)
        received = sum(size for _, to, size in datagrams_seen if to == n)
        assert group.received_bytes[n] - received_before[n] == received + bytes_in_flight[n]


def test_processor_time_of_a_group_is_attributed_to_its_routers(monkeypatch: pytest.MonkeyPatch) -> None:
    import time

    monkeypatch.setattr(flat.PACE, "to_yardsticks", lambda seconds: seconds)

    group = settled_group()
    spent, began = sum(group.yardsticks), time.process_time()
    group.run_measured(5.0)
    whole = time.process_time() - began
    assert all(each > 0 for each in group.yardsticks)
    assert 0.5 * whole < sum(group.yardsticks) - spent <= whole


def test_a_flat_group_is_measured_by_its_size() -> None:
    counts = (4, 8, 16)
    found = flat.measure_sizes(counts, (2, 2, 1), (1, 1, 1), seed=2)
    assert set(found) == {
        name for name, (_, against) in capacity.MEASUREMENTS.items() if against == capacity.GROUP_ROUTERS
    }
    assert all(len(values) == 3 and min(values) > 0 for values in found.values())
    # The leader sends to each of the others, so its traffic grows with the group; theirs hardly does.
    assert found["divider_datagrams"][2] > 2 * found["divider_datagrams"][0]
    assert found["member_datagrams"][2] < 1.3 * found["member_datagrams"][0]
    assert found["start_cpu"][2] > 4 * found["start_cpu"][0]


def test_a_death_is_known_and_the_quota_divided_again_no_sooner_than_possible() -> None:
    group = settled_group(7)
    flat.settle_group(group)
    found = flat.measure_deaths(group, 2, seed=1)
    assert 1.0 < found["death_seconds"] < found["divide_seconds"] < 8.0  # the suspicion alone is 1.0 s
    assert group.views_agree() and group.is_divided() and len(group.live_routers()) == 7


def test_in_a_settled_group_no_datagram_carries_gossip() -> None:
    """Gossip about the start must have ended before an idle group is measured.

    In a full run, routers in a group of 96 once sent more than those in a group of 200, since gossip about
    the start was still sent while processor time and bytes of the idle group were counted.
    """
    group, datagrams_seen, send = settled_group(40), list[bytes](), flat.SimulatedGroup.send

    def record_and_send(sender: int, to: int, data: bytes) -> None:
        datagrams_seen.append(data)
        send(group, sender, to, data)

    group.send = record_and_send  # type: ignore[method-assign]
    group.run(0.5)
    gossip = [decode(GROUP, 40, data).updates for data in datagrams_seen]
    assert any(gossip)  # just after the start there is gossip
    flat.settle_group(group)
    datagrams_seen.clear()
    group.run(2.0)
    assert len(datagrams_seen) > 40 and not any(decode(GROUP, 40, data).updates for data in datagrams_seen)


def test_a_division_that_includes_a_dead_router_does_not_count() -> None:
    group = settled_group(7)
    flat.settle_group(group)
    assert group.is_divided()
    group.kill(6)
    assert group.leader() >= 0 and not group.is_divided()


def test_restarts_and_losses_cost_bytes() -> None:
    restarts = flat.measure_restarts((0.5, 6.0), seed=1, count=8, seconds=4.0)
    losses = flat.measure_losses((0.5, 30.0), seed=1, count=8, seconds=4.0)
    assert restarts[1] > 1.2 * restarts[0] and losses[1] > 1.2 * losses[0]


def test_decisions_are_measured_on_their_ordinary_path() -> None:
    found = sizes.measure_decisions((20, 200), 3, seed=1)
    assert all(values[1] > 2 * values[0] for values in found.values())
    load = sizes.SchedulerLoad(20)
    load.warm()
    load.port.ended = 1  # a request that was shed must not be measured
    with pytest.raises(RuntimeError, match="not sent"):
        load.time_known_group()


def test_a_new_table_group_finds_its_homes_and_a_known_one_has_them() -> None:
    load = sizes.SchedulerLoad(30)
    load.warm()
    homes = dict(load.scheduler.components.placement.home_sets)
    assert len(homes) == sizes.TABLE_GROUP_COUNT
    load.time_known_group()
    assert load.scheduler.components.placement.home_sets == homes
    load.time_new_group()
    assert (
        len(load.scheduler.components.placement.home_sets) == sizes.BATCH_SIZE
        and not load.scheduler.components.placement.home_sets.keys() & homes.keys()
    )


def test_a_review_takes_longer_with_more_waiting_requests() -> None:
    found = sizes.measure_reviews((10, 640), 5, seed=1)["decide_held"]
    assert found[1] > 3 * found[0]


def test_what_does_not_depend_on_tenants_or_table_groups_is_seen_so() -> None:
    assert len(sizes.measure_table_groups((16, 64), 3, seed=1)["decide_groups"]) == 2
    found = sizes.measure_tenants((10, 400), 3, seed=1)
    assert found["config_cpu"][1] > 3 * found["config_cpu"][0]
    assert found["decide_tenants"][1] < 3 * found["decide_tenants"][0]


def test_an_answer_of_the_list_is_read_whole_however_long() -> None:
    found = sizes.measure_lists((10, 700), 1, seed=1)  # the second is longer than a datagram may be
    assert found["list_bytes"][1] > 65_535 and found["list_cpu"][1] > 5 * found["list_cpu"][0]


def test_an_answer_that_the_directory_ignores_is_not_measured(monkeypatch: pytest.MonkeyPatch) -> None:
    full = sizes.encode_list_answer
    monkeypatch.setattr(sizes, "encode_list_answer", lambda question, serial, count: full(question, 0, count))
    with pytest.raises(RuntimeError, match="not read"):
        sizes.measure_lists((3,), 1, seed=1)


def test_the_ledger_receives_five_reports_a_second_from_each_router() -> None:
    ledger_load = sizes.LedgerLoad(8, sizes.SINGLE_DATAGRAM_BUDGETS, 1)
    ledger_load.settle()
    before, reports_before = ledger_load.datagrams, ledger_load.report_count
    ledger_load.run_round()
    # A report and an answer for each router.
    assert (ledger_load.report_count - reports_before, ledger_load.datagrams - before) == (8, 16)
    budgets = [budget for local in ledger_load.local_budgets for budget in local.budgets.values()]
    assert all(
        budget.leased_units > 0 and budget.used_units(ledger_load.now) <= budget.max_units(ledger_load.now)
        for budget in budgets
    )
    assert sizes.measure_ledgers((4, 8), 1, seed=1)["ledger_datagrams"] == pytest.approx([40.0, 80.0])


def test_ledger_local_budgets_reports_and_admission_grow_with_their_sizes() -> None:
    ledger_states = sizes.measure_ledger_states(((4, 4), (8, 16)), 1, seed=1)["ledger_state"]
    assert ledger_states[1] > 4 * ledger_states[0]
    found = sizes.measure_local_budgets((10, 80), 1, seed=1)
    assert found["purse_state"][1] > 4 * found["purse_state"][0]
    assert 6 < found["report_bytes"][1] / found["report_bytes"][0] < 9
    doors = sizes.measure_admission((20, 200), 1, seed=1)["door_state"]
    assert doors[1] > 4 * doors[0]


def test_idle_clients_are_measured_at_a_router_in_its_own_process(tmp_path: Path) -> None:
    found = sizes.measure_clients((20, 120), 1)
    # Each connection has an actor and a buffer.
    assert found["client_state"][1] > found["client_state"][0] + 100 * 2000
    assert all(0 < cpu < 1 for cpu in found["client_cpu"])


# The experiment.


def linear_slopes() -> Slopes:
    slopes = Slopes()
    for name, (what, against) in capacity.MEASUREMENTS.items():
        slopes.add(fit(name, what, against, "in process", SIZES, [0.001 * x for x in SIZES]))
    return slopes


def test_extrapolations_state_their_distance_and_the_largest_excess_first(tmp_path: Path) -> None:
    report, slopes = Report("capacity"), linear_slopes()
    capacity.add_extrapolations(report, slopes)
    capacity.add_slopes(report, slopes)
    assert report.figures["flat_member_cpu"] == pytest.approx(4.6)
    assert report.figures["flat_member_cpu_of_allowed"] == pytest.approx(4.6 / 0.018)
    assert report.figures["flat_member_cpu_sizes_beyond"] == pytest.approx(4600 / 640)
    missing = [name for name in report.figures if name.startswith("missing_")]
    values = [report.figures[name] for name in missing]
    assert len(missing) == 5 and values == sorted(values, reverse=True)
    assert len(report.rows) == len(report.claims) == len(capacity.MEASUREMENTS) and report.holds
    report.write(tmp_path)
    import json

    stored = json.loads((tmp_path / "capacity.json").read_text())
    assert Slopes.from_dict(stored["slopes"]).by_name == slopes.by_name
    assert (tmp_path / "capacity.svg").stat().st_size > 1000


def test_a_prediction_that_fails_is_a_claim_that_fails() -> None:
    report, slopes = Report("capacity"), linear_slopes()
    bent = [0.001 * x for x in SIZES[:-1]] + [0.8]
    slopes.by_name["member_cpu"] = fit("member_cpu", "", "", "simulated", SIZES, bent)
    capacity.add_slopes(report, slopes)
    failed = [claim["name"] for claim in report.claims if not claim["holds"]]
    assert len(failed) == 1 and failed[0].startswith("member_cpu at 640")


def test_simulated_and_hollow_routers_are_compared_where_both_were_measured() -> None:
    report, slopes = Report("capacity"), linear_slopes()
    capacity.compare_with_hollow(report, slopes)
    assert not report.claims  # without hollow routers there is nothing to compare
    hollow = (50.0, 100.0, 200.0, 400.0, 800.0, 1600.0)
    for name, times in (("hollow_bytes", 1.1), ("hollow_datagrams", 1.3)):
        slopes.add(fit(name, "", "", "processes", hollow, [0.001 * times * x for x in hollow]))
    capacity.compare_with_hollow(report, slopes)
    assert [claim["holds"] for claim in report.claims] == [True, False]
    assert "at 400" in report.claims[0]["name"]  # the largest size within both ranges
