"""Tests each rule of the scheduler and each failure that was met, without the rest of the router."""

import math
import random
from dataclasses import replace
from typing import Any

import pytest

from marbleworks.model import AttemptOutcome, EngineStatus, FleetInfo, LoadReport
from marbleworks.scheduling.request_state import RequestState
from tests.support.stand_ins import (
    LOAD,
    LOAD_ORDERED_BY_KEY,
    LOAD_WITH_IDEMPOTENCY_KEY,
    READ_IGNORING_LOADS,
    READ_ON_ONE_MACHINE_KIND,
    RULES,
    SchedulerHarness,
    engine_entry,
)


def test_a_request_that_no_engine_may_run_is_shed_before_its_deadline() -> None:
    harness = SchedulerHarness(engines=0)
    request = harness.submit(time_left_s=1.0)
    harness.advance(0.99)
    assert harness.port.final_answers(request.ref) == ["shed"] and request.settled


def test_an_idempotent_request_is_retried_elsewhere_after_an_error() -> None:
    harness = SchedulerHarness()
    request = harness.submit()
    request.on_attempt_end(0, AttemptOutcome.ERROR, False, None)
    assert len(set(harness.port.started_engine_ids(request.ref))) == 2


def test_a_non_idempotent_request_that_may_have_run_fails_at_once() -> None:
    harness = SchedulerHarness()
    request = harness.submit(LOAD)
    request.on_attempt_end(0, AttemptOutcome.CONNECTION_LOST, False, None)
    assert len(harness.port.started_engine_ids(request.ref)) == 1 and harness.port.final_answers(
        request.ref
    ) == ["fail"]


def test_a_non_idempotent_request_that_never_ran_is_retried() -> None:
    harness = SchedulerHarness()
    request = harness.submit(LOAD)
    request.on_attempt_end(0, AttemptOutcome.UNREACHABLE, False, None)
    assert len(harness.port.started_engine_ids(request.ref)) == 2


def test_a_request_with_a_key_is_retried_only_within_its_idempotency_window() -> None:
    harness = SchedulerHarness()
    early, late = (
        harness.submit(LOAD_WITH_IDEMPOTENCY_KEY, time_left_s=25.0),
        harness.submit(LOAD_WITH_IDEMPOTENCY_KEY, time_left_s=25.0, table_group=2),
    )
    harness.port.clock += 1.0
    early.on_attempt_end(0, AttemptOutcome.CONNECTION_LOST, False, None)
    harness.port.clock += 4.5
    late.on_attempt_end(0, AttemptOutcome.CONNECTION_LOST, False, None)
    assert (
        len(harness.port.started_engine_ids(early.ref)) == 2
        and len(harness.port.started_engine_ids(late.ref)) == 1
    )


def test_the_idempotency_window_starts_with_the_first_attempt_whichever_ends_first() -> None:
    """Guards against a repeat outside the idempotency window.

    The second of two attempts had ended first, and the window was counted from its start.
    """
    harness = SchedulerHarness(engines=6, rules=replace(RULES, retry_budget_ratio=None, max_attempts=4))
    request = harness.submit(LOAD_WITH_IDEMPOTENCY_KEY, time_left_s=25.0)
    harness.advance(4.0)  # a second attempt has started by then
    assert [attempt.number for attempt in request.in_flight] == [0, 1]
    harness.port.clock += LOAD_WITH_IDEMPOTENCY_KEY.idempotency_window_s - 4.0
    request.on_attempt_end(1, AttemptOutcome.ERROR, False, None)
    request.on_attempt_end(0, AttemptOutcome.ERROR, False, None)
    assert len(harness.port.started_engine_ids(request.ref)) == 2 and harness.port.final_answers(
        request.ref
    ) == ["shed"]


def test_an_attempt_has_a_latest_start() -> None:
    """Guards against attempts that start after the rules that allowed them no longer hold.

    Waiting messages, file descriptors and connections can delay the start of an attempt.
    """
    harness, start_delays = (
        SchedulerHarness(rules=replace(RULES, retry_budget_ratio=None, max_attempts=4)),
        list[float](),
    )
    harness.port.start_attempt = lambda ref, engine_id, deadline, begin_by: start_delays.append(  # type: ignore[method-assign]
        begin_by - harness.port.clock
    )
    # A first attempt on an engine that is warm may start as long as it can be answered.
    harness.submit(time_left_s=9.0)
    request = harness.submit(LOAD_WITH_IDEMPOTENCY_KEY, time_left_s=9.0, table_group=2)
    harness.port.clock += 0.5
    # A retry counts in the budget from now on.
    request.on_attempt_end(0, AttemptOutcome.UNREACHABLE, False, None)
    harness.port.clock += 0.5
    request.on_attempt_end(1, AttemptOutcome.CONNECTION_LOST, False, None)
    harness.port.clock += LOAD_WITH_IDEMPOTENCY_KEY.idempotency_window_s - 0.6
    # Only the rest of the idempotency window remains, although connecting may take longer.
    request.on_attempt_end(2, AttemptOutcome.WITHHELD, False, None)
    assert start_delays == pytest.approx(
        [8.97, 8.97, RULES.connect_timeout_s + 0.02, RULES.connect_timeout_s + 0.02, 0.08]
    )


def test_a_request_that_fails_everywhere_counts_against_one_engine_only() -> None:
    """Guards against the ejection of healthy engines.

    A request that no engine can process failed on three engines and counted against each of them.
    """
    harness = SchedulerHarness(engines=3, rules=replace(RULES, retry_budget_ratio=None))
    for n in range(2):
        request = harness.submit(READ_IGNORING_LOADS, table_group=n)
        for attempt_no in range(3):
            request.on_attempt_end(attempt_no, AttemptOutcome.ERROR, False, None)
    assert len(harness.port.started_engine_ids()) == 6
    assert sum(sum(e.recent_failures) for e in harness.scheduler.engines.values()) == 2
    assert not any(a[0] == "log" for a in harness.port.calls)


def test_a_withheld_attempt_never_ran_and_counts_against_no_engine() -> None:
    harness = SchedulerHarness()
    request = harness.submit(LOAD)
    first = harness.port.started_engine_ids(request.ref)[0]
    request.on_attempt_end(0, AttemptOutcome.WITHHELD, False, None)
    assert len(harness.port.started_engine_ids(request.ref)) == 2 and not request.earliest_possible_run
    engine = harness.scheduler.engines[first]
    assert not engine.recent_failures and engine.ejected_until < harness.port.clock


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.CONNECTION_REFUSED, AttemptOutcome.CONNECT_TIMEOUT, AttemptOutcome.WITHHELD]
)
def test_an_attempt_that_was_never_sent_counts_in_no_budget(outcome: AttemptOutcome) -> None:
    """Guards against dead engines that use up the retries of requests which no engine has received."""
    rules = replace(RULES, retry_budget_ratio=0.0, retry_budget_floor=1.0, max_attempts=2)
    harness = SchedulerHarness(8, rules)
    request = harness.submit(READ_IGNORING_LOADS)
    request.on_attempt_end(0, outcome, False, None)
    request.on_attempt_end(1, AttemptOutcome.ERROR, False, None)  # was sent, so the next one is a retry
    assert (
        len(harness.port.started_engine_ids(request.ref)) == 3
        and len(harness.scheduler.components.retry_budget.retries) == 1
    )
    request.on_attempt_end(2, outcome, False, None)  # the retry was never sent and does not count
    assert (
        len(harness.port.started_engine_ids(request.ref)) == 4
        and len(harness.scheduler.components.retry_budget.retries) == 1
    )
    request.on_attempt_end(3, AttemptOutcome.ERROR, False, None)
    assert harness.port.final_answers(request.ref) == ["shed"]
    over_budget_request = harness.submit(READ_IGNORING_LOADS)
    over_budget_request.on_attempt_end(0, AttemptOutcome.ERROR, False, None)
    assert len(harness.port.started_engine_ids(over_budget_request.ref)) == 1 and harness.port.final_answers(
        over_budget_request.ref
    ) == ["shed"]


def test_a_request_whose_connections_are_all_refused_ends() -> None:
    """Guards against trying dead engines without end, since refusals arrive at once."""
    harness = SchedulerHarness(2)
    request = harness.submit(READ_IGNORING_LOADS)
    for attempt_no in range(2 * RULES.max_attempts):
        request.on_attempt_end(attempt_no, AttemptOutcome.CONNECTION_REFUSED, False, None)
    assert len(
        harness.port.started_engine_ids(request.ref)
    ) == 2 * RULES.max_attempts and harness.port.final_answers(request.ref) == ["shed"]


def test_an_attempt_that_was_never_sent_is_not_charged_to_a_warming_engine() -> None:
    harness = SchedulerHarness(0)
    harness.scheduler.update_engines([engine_entry(0, started_at=harness.port.clock)], complete=False)
    harness.advance(RULES.overload_window_s)
    request = harness.submit(READ_IGNORING_LOADS)
    assert len(harness.scheduler.engines[0].slow_start_work) == 1
    request.on_attempt_end(0, AttemptOutcome.CONNECT_TIMEOUT, True, None)
    assert not harness.scheduler.engines[0].slow_start_work


def test_engines_that_refuse_connections_are_avoided_even_if_most_warm_ones_do() -> None:
    """Guards against sending requests to dead engines again and again after a series of crashes.

    All engines were used if fewer than half were trusted, including those that refused connections.
    """
    harness = SchedulerHarness(5)
    for engine_id in range(3):
        for _ in range(2):
            harness.scheduler.components.outliers.on_failure(
                harness.scheduler.engines[engine_id], AttemptOutcome.CONNECTION_REFUSED, harness.port.clock
            )
    for n in range(12):
        answer_request(harness, harness.submit(READ_IGNORING_LOADS, table_group=n))
    assert set(harness.port.started_engine_ids()) == {3, 4}
    for engine_id in (3, 4):
        harness.scheduler.components.outliers.on_failure(
            harness.scheduler.engines[engine_id], AttemptOutcome.CONNECTION_REFUSED, harness.port.clock
        )
    # With no engine left, an engine is tried all the same.
    assert harness.submit(READ_IGNORING_LOADS).in_flight


@pytest.mark.parametrize(("contact_age_s", "ejected"), [(0.5, False), (1.5, True)])
def test_a_connect_timeout_does_not_eject_an_engine_with_recent_contact(
    contact_age_s: float, ejected: bool
) -> None:
    harness = SchedulerHarness(1)
    request, engine_state = harness.submit(READ_IGNORING_LOADS), harness.scheduler.engines[0]
    engine_state.last_contact_at = harness.port.clock - contact_age_s
    request.on_attempt_end(0, AttemptOutcome.CONNECT_TIMEOUT, False, None)
    assert (engine_state.ejected_until > harness.port.clock) is ejected


def test_an_expiry_before_the_next_review_does_not_cancel_that_review() -> None:
    """Guards against pending requests that are never answered.

    A platform keeps only the earliest requested wake-up. After an expiry before the next review nothing woke
    the scheduler, and 37 requests pending in routers without other traffic were never answered.
    """
    harness = SchedulerHarness(engines=0)
    waiting_requests = [harness.submit(time_left_s=3.0)]
    harness.advance(0.06)  # reviews take place every 50 ms
    harness.submit(work_s=0.001, time_left_s=0.035)  # expires 15 ms before the next review
    harness.advance(0.1)
    waiting_requests += [harness.submit(time_left_s=2.0, table_group=n) for n in range(3)]
    harness.advance(2.9)
    assert [harness.port.final_answers(request.ref) for request in waiting_requests] == [["shed"]] * 4


def test_a_second_outcome_of_an_attempt_changes_nothing() -> None:
    harness = SchedulerHarness()
    request = harness.submit()
    request.on_answer(0, (0.2, 10.0), None)
    before = list(harness.port.calls)
    request.on_attempt_end(0, AttemptOutcome.TIMED_OUT, False, None)
    request.on_answer(0, None, None)
    assert harness.port.calls == before


def test_nothing_is_sent_to_an_engine_that_drains_or_has_left_the_list() -> None:
    harness = SchedulerHarness()
    harness.scheduler.update_engines(
        [engine_entry(0, EngineStatus.DRAINING), engine_entry(1, EngineStatus.REMOVED, machine_kind=1)],
        complete=False,
    )
    harness.scheduler.update_engines([engine_entry(0, EngineStatus.DRAINING), engine_entry(2)], complete=True)
    for _ in range(10):
        harness.submit()
    assert set(harness.port.started_engine_ids()) == {2}


def test_a_warming_engine_gets_no_more_work_than_its_floor() -> None:
    harness = SchedulerHarness(engines=0)
    harness.advance(RULES.overload_window_s)
    harness.scheduler.update_engines([engine_entry(0, started_at=101.9)], complete=True)
    for n in range(60):
        request = harness.submit(table_group=n)
        if request.in_flight:
            request.on_answer(0, (0.2, 10.0), None)
    floor = RULES.slow_start_floor * RULES.overload_multiple * RULES.overload_window_s * 8 / 2
    assert 0 < 0.2 * len(harness.port.started_engine_ids()) <= floor


def test_requests_of_a_key_wait_for_the_previous_one_and_its_settle_time() -> None:
    harness = SchedulerHarness()
    first, second = (
        harness.submit(LOAD_ORDERED_BY_KEY, key="k", time_left_s=20.0),
        harness.submit(LOAD_ORDERED_BY_KEY, key="k", time_left_s=20.0, table_group=2),
    )
    harness.advance(1.0)
    assert not second.in_flight
    first.on_attempt_end(0, AttemptOutcome.CONNECTION_LOST, False, None)
    harness.advance(0.4)
    assert first.completed and not second.in_flight
    harness.advance(0.2)
    assert second.in_flight


def test_a_restricted_class_runs_on_its_machine_kind_at_every_attempt() -> None:
    harness = SchedulerHarness()
    request = harness.submit(READ_ON_ONE_MACHINE_KIND)
    request.on_attempt_end(0, AttemptOutcome.ERROR, False, None)
    assert set(harness.port.started_engine_ids(request.ref)) <= {1, 3} and harness.port.started_engine_ids(
        request.ref
    )
    harness = SchedulerHarness(engines=1)
    assert harness.submit(READ_ON_ONE_MACHINE_KIND, time_left_s=1.0) and not harness.port.started_engine_ids()


def test_retries_stay_within_their_budget() -> None:
    harness = SchedulerHarness()
    for _ in range(10):
        request = harness.submit()
        request.on_attempt_end(0, AttemptOutcome.ERROR, False, None)
    retries = len(harness.port.started_engine_ids()) - 10
    assert retries == RULES.retry_budget_floor + int(RULES.retry_budget_ratio * 10)


def test_a_full_engine_gets_no_requests_for_a_short_time() -> None:
    """Guards against sending rejected requests straight back to engines that are still full."""
    harness = SchedulerHarness(engines=3, rules=replace(RULES, retry_budget_ratio=None, max_attempts=9))
    request = harness.submit()
    full_engine_id = harness.port.started_engine_ids()[0]
    request.on_attempt_end(0, AttemptOutcome.REJECTED, False, None)
    for _ in range(6):
        harness.submit()
    assert harness.port.started_engine_ids().count(full_engine_id) == 1


def test_readers_avoid_the_homes_of_their_table_group() -> None:
    """Guards against readers that wait behind loads sent by other routers."""
    harness = SchedulerHarness(engines=8)
    for n in range(6):
        load = harness.submit(LOAD, table_group=n)
        loads = {harness.port.started_engine_ids(load.ref)[0]}
        load.on_answer(0, None, None)
        homes = {e.entry.engine_id for e in harness.scheduler.components.placement.homes(n)}
        readers = {harness.port.started_engine_ids(harness.submit(table_group=n).ref)[0] for _ in range(3)}
        assert loads <= homes and not readers & homes


def test_a_runaway_attempt_is_moved_and_the_next_has_a_higher_limit() -> None:
    """Guards against moving a request again and again because a wrong estimate looks like a bad plan."""
    harness = SchedulerHarness(rules=replace(RULES, retry_budget_ratio=None))
    request = harness.submit(READ_ON_ONE_MACHINE_KIND, work_s=1.0, time_left_s=25.0)
    harness.advance(2.0)
    request.on_progress(0, 0.3)
    harness.advance(0.1)
    assert ("cancel", request.ref, 0) in harness.port.calls and len(
        harness.port.started_engine_ids(request.ref)
    ) == 2
    request.on_attempt_end(0, AttemptOutcome.CANCELLED, False, None)
    harness.advance(2.0)
    request.on_progress(1, 0.3)
    harness.advance(0.1)
    assert len(harness.port.started_engine_ids(request.ref)) == 2


def test_fast_failures_do_not_look_like_low_load() -> None:
    harness = SchedulerHarness(rules=replace(RULES, retry_budget_ratio=None))
    for n in range(40):
        request = harness.submit(table_group=n)
        while request.in_flight:
            attempt = request.in_flight[0]
            if attempt.engine.entry.engine_id == 0:
                request.on_attempt_end(attempt.number, AttemptOutcome.ERROR, False, None)
            else:
                request.on_answer(attempt.number, (0.2, 10.0), None)
    assert harness.port.started_engine_ids().count(0) <= 4


def test_memory_in_use_on_a_swapping_engine_is_bounded() -> None:
    """Guards against engines that swap long before their answer times show any pressure."""
    harness = SchedulerHarness(engines=1)
    for n in range(40):
        harness.scheduler.submit(f"m{n}", 0, n, "", (0.2, 1000.0), -1, harness.port.clock, 6.0)
    assert 1 < len(harness.port.started_engine_ids()) <= 16384 * 0.9 / 2 / 1000


def one_router_of_many(routers: int = 200, engines: int = 24, **rules: Any) -> SchedulerHarness:
    """Returns one router of many, which sees little of the traffic of the others."""
    return SchedulerHarness(
        engines,
        replace(RULES, retry_budget_ratio=None, engines_swap=False, **rules),
        FleetInfo(
            router_count=routers,
            router_index=3,
            zone=0,
            cores_by_kind=(8, 12),
            memory_mb_by_kind=(16384.0, 16384.0),
        ),
    )


def answer_request(harness: SchedulerHarness, request: RequestState, delay_s: float = 0.0) -> None:
    """Answers a request after a delay in seconds."""
    harness.port.clock += delay_s
    request.on_answer(request.in_flight[0].number, None, None)


def test_idle_engines_are_used_in_proportion_to_their_cores() -> None:
    """Guards against an uneven use of idle engines.

    Ties went to the largest machine kind, and in the same order at every router.
    """
    harness = one_router_of_many()
    for n in range(1200):
        answer_request(harness, harness.submit(READ_IGNORING_LOADS, table_group=n))
    counts = [harness.port.started_engine_ids().count(engine_id) for engine_id in range(24)]
    small, large = sum(counts[0::2]), sum(counts[1::2])
    assert min(counts) > 15 and 1.3 < large / small < 1.7


def test_unrestricted_requests_leave_engines_to_the_classes_restricted_to_them() -> None:
    """Guards against cheap lookups that fill the only machine kind that reports may run on."""
    harness = one_router_of_many()
    for n in range(400):
        answer_request(harness, harness.submit(READ_IGNORING_LOADS, table_group=n), delay_s=0.1)
        answer_request(harness, harness.submit(READ_ON_ONE_MACHINE_KIND, table_group=n), delay_s=0.1)
    unrestricted_engine_ids = [a[2] for a in harness.port.calls if a[0] == "send" and int(a[1][1:]) % 2][200:]
    assert unrestricted_engine_ids and sum(
        engine_id % 2 for engine_id in unrestricted_engine_ids
    ) < 0.3 * len(unrestricted_engine_ids)


def test_no_share_is_reserved_once_no_class_is_restricted() -> None:
    """Guards against a stale share for unrestricted classes.

    When the other machine kind had left, new engines would have attracted every unrestricted request.
    """
    harness = one_router_of_many()
    for n in range(200):
        answer_request(harness, harness.submit(READ_IGNORING_LOADS, table_group=n), delay_s=0.1)
        answer_request(harness, harness.submit(READ_ON_ONE_MACHINE_KIND, table_group=n), delay_s=0.1)
    harness.scheduler.update_engines(
        [engine_entry(engine_id, machine_kind=1) for engine_id in [*range(1, 24, 2), 30]], complete=True
    )
    before = len(harness.port.started_engine_ids())
    for n in range(260):
        answer_request(harness, harness.submit(READ_IGNORING_LOADS, table_group=n), delay_s=0.1)
    assert harness.port.started_engine_ids()[before:].count(30) < 50


def test_overload_is_detected_over_the_fleet_and_costly_requests_are_shed() -> None:
    """Guards against overload that no router detects.

    In a large fleet no engine ever gave one router three samples, so nothing was shed.
    """
    harness = one_router_of_many()
    for n in range(12):
        answer_request(harness, harness.submit(READ_IGNORING_LOADS, table_group=n), delay_s=1.5)
    costly, cheap = (
        harness.submit(READ_ON_ONE_MACHINE_KIND, work_s=9.0, time_left_s=20.0),
        harness.submit(READ_IGNORING_LOADS, work_s=0.01),
    )
    assert harness.port.final_answers(costly.ref) == ["shed"] and cheap.in_flight


def test_one_unreachable_outcome_ejects_an_engine() -> None:
    harness = one_router_of_many(engines=4)
    request = harness.submit(READ_IGNORING_LOADS)
    dead_engine_id = harness.port.started_engine_ids(request.ref)[0]
    request.on_attempt_end(0, AttemptOutcome.UNREACHABLE, False, None)
    for n in range(30):
        answer_request(harness, harness.submit(READ_IGNORING_LOADS, table_group=n))
    assert harness.port.started_engine_ids().count(dead_engine_id) == 1


def test_a_costly_request_probes_two_engines_and_uses_the_less_loaded_one() -> None:
    harness = one_router_of_many(allows_probes=True)
    harness.submit(READ_IGNORING_LOADS, work_s=0.1)
    request = harness.submit(READ_IGNORING_LOADS, work_s=9.0, time_left_s=30.0)
    probed_engine_ids = [a[1] for a in harness.port.calls if a[0] == "probe"]
    assert len(probed_engine_ids) == 2 and not request.in_flight
    harness.scheduler.on_probe_result(probed_engine_ids[0], True, LoadReport(in_flight=40.0))
    harness.scheduler.on_probe_result(probed_engine_ids[1], True, LoadReport(in_flight=4.0))
    harness.advance(0.011)
    assert harness.port.started_engine_ids(request.ref) == [probed_engine_ids[1]]


def test_a_costly_request_does_not_wait_for_reports_that_do_not_come() -> None:
    harness = one_router_of_many(allows_probes=True)
    harness.submit(READ_IGNORING_LOADS, work_s=0.1)
    request = harness.submit(READ_IGNORING_LOADS, work_s=9.0, time_left_s=30.0)
    harness.advance(0.2)
    assert request.in_flight


def test_load_updates_of_peers_are_applied_and_malformed_ones_ignored() -> None:
    harness, other = one_router_of_many(engines=2), one_router_of_many(engines=2)
    request = other.submit(READ_IGNORING_LOADS)
    busy_engine_id = other.port.started_engine_ids(request.ref)[0]
    request.on_answer(0, None, LoadReport(waiting_for_memory=2.0, memory_granted=0.9, disks_busy=0.5))
    load_updates = [a[1] for a in other.port.calls if a[0] == "tell"]
    assert len(load_updates) == 1
    for data in (b"", b"x", b"none!", load_updates[0] * 60, load_updates[0][:4], load_updates[0]):
        harness.scheduler.receive_load_update(1, data)
    idle_engine = next(e for e in harness.scheduler.available_engines if e.entry.engine_id != busy_engine_id)
    harness.scheduler.receive_load_update(1, idle_engine.wire_id + b"\x00")
    for n in range(20):
        answer_request(harness, harness.submit(READ_IGNORING_LOADS, table_group=n))
    assert harness.port.started_engine_ids().count(busy_engine_id) == 0


def capacity_share_at_start_of_window(end: float, started: float = 102.5) -> float:
    """Returns the share of its capacity that a warming engine has when the window ending at `end` starts."""
    age = max(end - RULES.overload_window_s - started, 0.0) / RULES.slow_start_s
    return min(RULES.slow_start_floor + (1.0 - RULES.slow_start_floor) * age, 1.0)


@pytest.mark.parametrize("routers", [1, 3, 7, 250])
def test_all_routers_together_keep_a_warming_engine_under_its_limit(routers: int) -> None:
    """Each router sends all it may to one warming engine; every other router lists it a second late."""
    rules = replace(RULES, retry_budget_ratio=None, engines_swap=False)
    fleets = [
        FleetInfo(routers, router_index, 0, (8, 8), (16384.0, 16384.0)) for router_index in range(routers)
    ]
    harnesses = [SchedulerHarness(0, rules, fleet) for fleet in fleets]
    sent_work: list[tuple[float, float]] = []
    for tick in range(80):
        for router_index, harness in enumerate(harnesses):
            harness.advance(0.1)
            if tick == 30 + 10 * (router_index % 2):
                harness.scheduler.update_engines([engine_entry(0, started_at=102.5)], complete=True)
            before = len(harness.port.started_engine_ids())
            request = harness.submit(READ_IGNORING_LOADS, table_group=tick)
            sent_work += [(harness.port.clock, 0.2)] * (len(harness.port.started_engine_ids()) - before)
            if request.in_flight:
                answer_request(harness, request)
    limit = 8 * rules.overload_multiple * rules.overload_window_s
    work_per_window = [
        sum(work for at, work in sent_work if end - rules.overload_window_s <= at <= end)
        for end, _ in sent_work
    ]
    assert 0 < max(work_per_window) <= limit
    assert all(
        work_in_window <= limit * capacity_share_at_start_of_window(end)
        for work_in_window, (end, _) in zip(work_per_window, sent_work, strict=True)
    )


@pytest.mark.parametrize("routers", [20, 30, 200])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_warming_engine_is_not_overloaded_by_routers_that_restart_lag_or_lack_an_index(
    routers: int, seed: int
) -> None:
    """Adds up the work sent to a warming engine under adverse conditions.

    Work is random and estimates are exact; attempts start as late as they may; engines return errors, and
    requests are retried; at each of two moments of the warm-up, 70 % of the routers restart; lists arrive up
    to a second apart; every tenth router has no index. The sum stays below the limit plus a margin for random
    variation.
    """
    rng, rules = random.Random(seed), replace(RULES, engines_swap=False)
    sent_work: list[tuple[float, float]] = []

    def start_router(router_index: int, at: float) -> SchedulerHarness:
        harness = SchedulerHarness(
            0,
            rules,
            FleetInfo(routers, -1 if router_index % 10 == 9 else router_index, 0, (8, 8), (16384.0, 16384.0)),
        )
        harness.port.clock = at
        harness.scheduler.components.slow_start.router_started_at = at
        harness.scheduler.components.placement.seed = seed * 1000 + router_index
        return harness

    harnesses = [start_router(router_index, 100.0) for router_index in range(routers)]
    for tick in range(110):
        for router_index, harness in enumerate(harnesses):
            if tick in (45, 60) and rng.random() < 0.7:
                harness = harnesses[router_index] = start_router(router_index, harness.port.clock)
                harness.scheduler.update_engines(
                    [engine_entry(0, started_at=102.5), engine_entry(1)], complete=True
                )
            harness.advance(0.1)
            if tick == 30 + router_index % 10:
                harness.scheduler.update_engines(
                    [engine_entry(0, started_at=102.5), engine_entry(1)], complete=True
                )
            for _ in range(max(60 // routers, 1)):
                work = rng.lognormvariate(-2.1, 1.0)
                request = harness.submit(READ_IGNORING_LOADS, work_s=work, time_left_s=20.0)
                for attempt_no, engine_id in enumerate(harness.port.started_engine_ids(request.ref)):
                    if engine_id == 0:
                        sent_work.append(
                            (
                                harness.port.clock
                                + rng.choice((0.0, harness.scheduler.components.start_slack_s)),
                                work,
                            )
                        )
                    if rng.random() < 0.3:
                        request.on_attempt_end(attempt_no, AttemptOutcome.ERROR, False, None)
                        sent_work += [
                            (harness.port.clock, work)
                            for b in harness.port.started_engine_ids(request.ref)[attempt_no + 1 :]
                            if b == 0
                        ]
                for attempt in list(request.in_flight):
                    request.on_answer(attempt.number, (work, 10.0), None)
    mean = math.exp(-2.1 + 0.5)
    for end, _ in sent_work:
        n = (
            capacity_share_at_start_of_window(end)
            * 8
            * rules.overload_multiple
            * rules.overload_window_s
            / mean
        )
        work_in_window = (
            sum(work for at, work in sent_work if end - rules.overload_window_s <= at <= end) / mean
        )
        assert 0 < work_in_window <= n + 2.0 * math.sqrt(n) + 2.0


@pytest.mark.parametrize("routers", [1, 3, 5, 30, 200])
def test_senders_are_added_as_an_engine_warms_up(routers: int) -> None:
    """The sum of all shares follows the capacity one window before and never exceeds it."""
    harnesses = [
        SchedulerHarness(0, RULES, FleetInfo(routers, router_index, 0, (8, 8), (16384.0, 16384.0)))
        for router_index in range(routers)
    ]
    sender_counts: list[int] = []
    for harness in harnesses:
        harness.scheduler.update_engines([engine_entry(0, started_at=100.0)], complete=True)
    for at in range(101, 110):
        shares = [
            harness.scheduler.components.slow_start.slow_start_share(harness.scheduler.engines[0], float(at))
            for harness in harnesses
        ]
        capacity_growth = (
            capacity_share_at_start_of_window(at - harnesses[0].scheduler.components.start_slack_s, 100.0)
            / RULES.slow_start_floor
        )
        assert capacity_growth - 0.25 <= sum(shares) <= capacity_growth + 1e-9
        sender_counts.append(sum(share > 0 for share in shares))
    assert (
        sender_counts == sorted(sender_counts)
        and sender_counts[0] == min(4, routers)
        and sender_counts[-1] == min(10, routers)
    )


@pytest.mark.parametrize("sender_routers", [[0, 1, 2, 3, 4, 5, 6], [0, 1, 3, 6], [2, 5]])
def test_all_senders_of_a_warming_engine_are_routers_with_an_index(sender_routers: list[int]) -> None:
    """Guards against a cold engine that no router uses.

    If senders were chosen by the index in the settings alone, all four of an engine's senders could be dead.
    """
    harnesses = [
        SchedulerHarness(0, RULES, FleetInfo(7, router_index, 0, (8, 8), (16384.0, 16384.0)))
        for router_index in range(7)
    ]
    for harness in harnesses:
        harness.scheduler.update_engines(
            [engine_entry(engine_id, started_at=99.0) for engine_id in range(50)], complete=True
        )
        sender_index = (
            sender_routers.index(harness.scheduler.fleet.router_index)
            if harness.scheduler.fleet.router_index in sender_routers
            else -1
        )
        harness.scheduler.set_router_share(
            0.25 / 7 + (0.75 / len(sender_routers) if sender_index >= 0 else 0.0),
            len(sender_routers),
            sender_index,
        )
        # Engines listed later use the assigned index as well.
        harness.scheduler.update_engines(
            [engine_entry(engine_id, started_at=99.5) for engine_id in range(50, 100)], complete=False
        )
    for engine_id in range(100):
        shares = [
            s.scheduler.components.slow_start.slow_start_share(s.scheduler.engines[engine_id], s.port.clock)
            for s in harnesses
        ]
        assert sum(shares) == pytest.approx(1.0) and sum(share > 0 for share in shares) == min(
            4, len(sender_routers)
        )
        assert not any(
            share for router_index, share in enumerate(shares) if router_index not in sender_routers
        )


def test_shares_of_threads_memory_and_rates_follow_the_router_share() -> None:
    rules = replace(RULES, tenant_rates_per_s=(8.0,), retry_budget_ratio=None)
    scheduler = SchedulerHarness(1, rules, FleetInfo(4, 1, 0, (8, 8), (16384.0, 16384.0))).scheduler
    assert scheduler.components.tenant_quotas.request_times[0].maxlen == 20
    scheduler.components.tenant_quotas.request_times[0].extend([1.0, 2.0, 3.0])
    scheduler.set_router_share(0.5, 2, 0)
    assert scheduler.components.tenant_quotas.request_times[0].maxlen == 40 and list(
        scheduler.components.tenant_quotas.request_times[0]
    ) == [1.0, 2.0, 3.0]
    assert scheduler.capacity_divisor == pytest.approx(2.0)
    scheduler.set_router_share(0.25 / 4, 4, -1)
    assert scheduler.components.tenant_quotas.request_times[
        0
    ].maxlen == 5 and scheduler.capacity_divisor == pytest.approx(16.0)


def test_a_share_ends_at_its_time_without_a_notice() -> None:
    """Guards against the use of a share that has expired.

    In a router that was suspended, the notice of the change is queued behind requests that it must not send.
    """
    harness = SchedulerHarness(4)
    harness.scheduler.set_router_share(0.5, 2, 0, valid_until=harness.port.clock + 1.0, guaranteed_share=0.1)
    harness.scheduler.update_engines([engine_entry(9, started_at=harness.port.clock - 5.0)], complete=False)
    warming_engine = harness.scheduler.engines[9]
    assert harness.scheduler.components.slow_start.slow_start_share(
        warming_engine, 95.0
    ) == 0.5 and harness.scheduler.capacity_divisor == pytest.approx(2.0)
    harness.port.clock += 0.9
    # The same share is assigned for one more second.
    harness.scheduler.set_router_share(0.5, 2, 0, valid_until=harness.port.clock + 1.0, guaranteed_share=0.1)
    harness.port.clock += 0.9
    harness.submit(READ_IGNORING_LOADS)
    assert harness.scheduler.capacity_divisor == pytest.approx(2.0)
    harness.port.clock += 0.2
    harness.submit(READ_IGNORING_LOADS)
    assert harness.scheduler.components.slow_start.slow_start_share(
        warming_engine, 95.0
    ) == 0.0 and harness.scheduler.capacity_divisor == pytest.approx(10.0)


@pytest.mark.parametrize("fleet", [(0, -1), (0, 0), (1, 0), (1, 9), (5, -1), (5, 99)])
def test_unusual_router_counts_and_indices_are_handled(fleet: tuple[int, int]) -> None:
    harness = SchedulerHarness(
        1, RULES, FleetInfo(*fleet, zone=-1, cores_by_kind=(8,), memory_mb_by_kind=(16384.0,))
    )
    harness.scheduler.update_engines(
        [engine_entry(engine_id, started_at=99.0) for engine_id in range(400)], complete=False
    )
    now, scheduler = harness.port.clock, harness.scheduler
    assert all(
        0 <= scheduler.components.slow_start.slow_start_share(e, now) <= 1 for e in scheduler.engines.values()
    )
    harness.port.clock += 1e6
    assert harness.submit(READ_IGNORING_LOADS).in_flight
    harness.scheduler.update_engines([], complete=True)
    harness.advance(7.0)
    assert not harness.scheduler.available_engines


def test_a_request_that_waited_most_of_its_time_in_the_router_is_shed_at_once() -> None:
    """Guards against a router short of CPU that keeps new requests until their deadline has passed."""
    harness = SchedulerHarness()
    in_time, late = harness.submit(waited_s=0.5), harness.submit(waited_s=1.2)  # the latency target is 1.4 s
    assert harness.port.started_engine_ids(in_time.ref) and not harness.port.final_answers(in_time.ref)
    assert not harness.port.started_engine_ids(late.ref) and harness.port.final_answers(late.ref) == ["shed"]


def test_an_attempt_leaves_time_to_answer_the_client() -> None:
    """Guards against late answers on a busy CPU core.

    Outcomes that arrived at the very end of an attempt's time reached the client after its deadline.
    """
    harness, deadlines = SchedulerHarness(), list[float]()
    harness.port.start_attempt = lambda ref, engine_id, deadline, begin_by: deadlines.append(  # type: ignore[method-assign]
        deadline - harness.port.clock
    )
    for time_left_s in (0.5, 20.0):
        harness.submit(time_left_s=time_left_s)
    assert deadlines == pytest.approx([0.47, 19.97])


@pytest.mark.parametrize(("contact_age_s", "ejected"), [(0.5, False), (1.5, True)])
def test_a_timeout_does_not_eject_an_engine_with_recent_contact(contact_age_s: float, ejected: bool) -> None:
    """Guards against the ejection of healthy engines.

    Loads of a table group with many requests timed out, and every engine was ejected.
    """
    harness = SchedulerHarness(engines=1)
    request = harness.submit(LOAD)
    request.on_progress(0, None)
    harness.port.clock += contact_age_s
    request.on_attempt_end(0, AttemptOutcome.TIMED_OUT, False, None)
    assert any(a[0] == "log" for a in harness.port.calls) == ejected


def test_reviews_in_quick_succession_are_merged_and_none_is_lost() -> None:
    """Guards against a review of all pending requests on each of 900 outcomes a second."""
    harness = SchedulerHarness(engines=1)
    first, *rest = [harness.submit(LOAD, work_s=1.0) for _ in range(3)]
    harness.scheduler.review()
    first.on_answer(0, None, None)
    assert not any(request.in_flight for request in rest)
    harness.advance(0.011)
    assert any(request.in_flight for request in rest)


def test_requests_with_short_deadlines_run_if_their_service_time_fits() -> None:
    """Guards against shedding on idle engines.

    Requests whose clients wait 1.3 times the service time were shed.
    """
    harness = SchedulerHarness()
    harness.submit(READ_IGNORING_LOADS, work_s=0.05, time_left_s=0.065)
    assert harness.port.started_engine_ids("c1") and not harness.port.final_answers("c1")
    harness.submit(READ_IGNORING_LOADS, work_s=0.05, time_left_s=0.045)
    assert harness.port.final_answers("c2") == ["shed"] and not harness.port.started_engine_ids("c2")


def test_groups_and_keys_without_requests_are_removed() -> None:
    """Guards against keeping every table group that was ever loaded and every key that was ever used."""
    harness = SchedulerHarness()
    for number in range(20):
        request = harness.submit(LOAD_ORDERED_BY_KEY, key=f"k{number}", table_group=number)
        harness.port.clock += 0.1
        request.on_answer(0, None, None)
    harness.advance(RULES.key_settle_s + 1.0)
    harness.submit()
    assert (
        len(harness.scheduler.components.key_order.queues) <= 1
        and len(harness.scheduler.components.table_groups.requests_by_group) <= 1
    )


def test_an_attempt_that_hangs_without_progress_is_moved_while_half_of_the_budget_is_left() -> None:
    """Guards against attempts that hang until their deadline.

    Reports hung on engines that answered all other requests.
    """
    harness = SchedulerHarness()
    bound_requests = [
        harness.submit(READ_ON_ONE_MACHINE_KIND, work_s=0.4, time_left_s=12.0) for _ in range(2)
    ]
    for seconds, expected_moves in ((0.9, 0), (0.5, 1), (4.0, 1)):  # half of 2 + 0.2 * 2 retries
        harness.advance(seconds)
        assert (
            sum(len(harness.port.started_engine_ids(request.ref)) - 1 for request in bound_requests)
            == expected_moves
        )
    harness = SchedulerHarness()
    load = harness.submit(LOAD, work_s=0.4, time_left_s=12.0)
    harness.advance(5.0)
    assert harness.port.started_engine_ids(load.ref) and ("cancel", load.ref, 0) not in harness.port.calls


def test_readers_do_not_overload_the_only_engine_outside_the_homes() -> None:
    """Guards against sending all readers of a table group to one engine.

    One engine was ejected, and a single one was left outside the group's homes.
    """
    harness = SchedulerHarness(engines=4)
    other_engines = [
        e
        for e in harness.scheduler.available_engines
        if e not in harness.scheduler.components.placement.homes(1)
    ]
    for _ in range(8):
        harness.submit(work_s=0.05)
    assert set(harness.port.started_engine_ids()) <= {e.entry.engine_id for e in other_engines}
    harness.scheduler.components.outliers.on_failure(
        other_engines[0], AttemptOutcome.UNREACHABLE, harness.port.clock
    )
    before = len(harness.port.started_engine_ids())
    for _ in range(8):
        harness.submit(work_s=0.05)
    assert set(harness.port.started_engine_ids()[before:]) - {e.entry.engine_id for e in other_engines}


def test_a_router_short_of_cpu_reserves_more_time_for_answering() -> None:
    """Guards against late answers from a router short of CPU.

    At 900 requests a second, 33 of 63,000 outcomes reached their clients too late.
    """
    harness, deadlines = SchedulerHarness(), list[float]()
    harness.port.start_attempt = lambda ref, engine_id, deadline, begin_by: deadlines.append(  # type: ignore[method-assign]
        deadline - harness.port.clock
    )
    harness.submit(time_left_s=6.0)
    harness.submit(time_left_s=6.0, waited_s=0.1)
    harness.submit(time_left_s=6.0)
    assert deadlines == pytest.approx([5.97, 5.8, 5.8], abs=0.01)
