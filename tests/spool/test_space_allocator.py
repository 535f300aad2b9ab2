"""Allocation of the spool's room: limits, retry promises, and results that differ from the learned sizes."""

import itertools
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.spool.catalog import Catalog, Lifetimes, Result, digest
from marbleworks.spool.space_allocator import EARLY_TOLERANCE_S, PROMISE_WINDOW_S, Reservation, SpaceAllocator


class AllocatorScenario:
    """An allocator with the results that it counts.

    Attributes:
        expiries: expiry time, bytes and tenant of each result.
    """

    def __init__(
        self, room: float = 1e6, share: float = 1.0, max_retry_after_s: float = 5.0, **quotas: float
    ) -> None:
        self.fingerprints = itertools.count(1000)
        self.now, self.expiries = 0.0, list[tuple[float, int, str]]()
        self.allocator = SpaceAllocator(
            room,
            1e5,
            share,
            quotas,
            max_retry_after_s,
            lambda now, until: sorted(e for e in self.expiries if now < e[0] <= until),
        )

    def reserve(
        self, tenant: str = "a", profile: str = "report", fingerprint: int = 0
    ) -> Reservation | float:
        return self.allocator.reserve(tenant, profile, fingerprint or next(self.fingerprints), self.now)

    def store_result(self, size: int, expires_at: float, tenant: str = "a", profile: str = "report") -> bool:
        reservation = self.reserve(tenant, profile)
        if not isinstance(reservation, Reservation) or not reservation.take(size, self.now):
            return False
        reservation.commit_result(size, size)
        self.expiries.append((expires_at, size, tenant))
        return True

    def add_held(self, size: int, expires_at: float, tenant: str = "a") -> None:
        self.allocator.adjust_held(tenant, size)
        self.expiries.append((expires_at, size, tenant))

    def advance_to(self, now: float) -> None:
        self.now = now
        for expires_at, size, tenant in [e for e in self.expiries if e[0] <= now]:
            self.expiries.remove((expires_at, size, tenant))
            self.allocator.adjust_held(tenant, -size)


def test_a_first_result_reserves_the_default_size_and_later_ones_a_learned_size() -> None:
    scenario = AllocatorScenario()
    assert scenario.allocator.expected_size("report") == 1e5
    for size in (2e4, 3e4, 2e4, 3e4):
        scenario.allocator.learn("report", size)
    assert (
        3e4 <= scenario.allocator.expected_size("report") <= 3.5e4
        and scenario.allocator.expected_size("other") == 1e5
    )
    scenario.allocator.learn("big", 9e5)
    assert scenario.allocator.expected_size("big") > 9e5  # a single large result counts at once


def test_results_ten_times_larger_than_expected_take_free_room_and_fail_without_it() -> None:
    scenario = AllocatorScenario()
    for _ in range(8):
        scenario.allocator.learn("report", 2e4)
    first, second = scenario.reserve(), scenario.reserve()
    assert isinstance(first, Reservation) and isinstance(second, Reservation)
    assert first.take(200_000, 0.0) and second.take(200_000, 0.0)  # ten times what was expected
    assert not first.take(700_000, 0.0) and scenario.allocator.outgrown_count == 1
    assert first.take(300_000, 0.0) and scenario.allocator.free_bytes() >= 0
    first.commit_result(500_000, 900_000)
    second.release()
    assert scenario.allocator.held == {"a": 500_000} and scenario.allocator.free_bytes() == 500_000


def test_results_ten_times_smaller_than_expected_return_the_unused_room() -> None:
    scenario = AllocatorScenario()
    for _ in range(9):
        assert scenario.store_result(10_000, 100.0)
    assert (
        scenario.allocator.free_bytes() == 1e6 - 9e4 and scenario.allocator.expected_size("report") <= 1.2e4
    )


def test_every_request_that_retries_at_its_promised_time_gets_room() -> None:
    scenario = AllocatorScenario()
    for i in range(10):
        scenario.add_held(100_000, 1.0 + 0.3 * i)
    waits = [scenario.reserve(fingerprint=1 + i) for i in range(6)]
    assert all(isinstance(wait, float) for wait in waits)
    assert sorted(waits) == waits and len(set(waits)) == len(waits)  # all different  # type: ignore[type-var]
    for i, wait in enumerate(waits):
        assert isinstance(wait, float)
        scenario.advance_to(wait - 0.2)
        assert scenario.reserve(fingerprint=1 + i) == pytest.approx(0.2)  # too early: the promise stays
        scenario.advance_to(wait)
        assert isinstance(scenario.reserve(fingerprint=1 + i), Reservation)
        assert isinstance(scenario.reserve(), float)  # a new request waits behind all promises
    assert scenario.allocator.kept_count == 6 and scenario.allocator.broken_count == 0


def test_new_requests_do_not_take_promised_room_until_its_window_is_over() -> None:
    scenario = AllocatorScenario(share=0.9)
    for i in range(10):
        scenario.add_held(100_000, 1.0 if i else 3.0, "ab"[i % 2])
    wait = scenario.reserve("a", fingerprint=1)
    assert isinstance(wait, float) and 1.0 <= wait <= 1.3
    scenario.advance_to(wait)
    for tenant in "bbbbbbbb":
        assert isinstance(scenario.reserve(tenant), Reservation)
    assert isinstance(scenario.reserve("b"), float)  # the rest is promised
    assert isinstance(scenario.reserve("a", fingerprint=1), Reservation)
    scenario.expiries.clear()
    assert isinstance(scenario.reserve("b"), float)


def test_room_of_a_promise_whose_client_does_not_return_becomes_free() -> None:
    scenario = AllocatorScenario(share=1.0)
    assert scenario.store_result(950_000, 1.0)
    wait = scenario.reserve("a")
    assert isinstance(wait, float)
    scenario.allocator.learned_sizes.clear()
    scenario.advance_to(wait + PROMISE_WINDOW_S + EARLY_TOLERANCE_S)
    for _ in range(10):
        assert isinstance(scenario.reserve("b"), Reservation)


def test_a_tenant_gets_its_quota_and_no_more() -> None:
    scenario = AllocatorScenario(share=0.3, big=0.6, none=0.0)
    reservation_counts = {tenant: 0 for tenant in ("a", "big", "none")}
    for tenant in reservation_counts:
        while isinstance(scenario.reserve(tenant), Reservation):
            reservation_counts[tenant] += 1
    assert reservation_counts == {"a": 3, "big": 6, "none": 0}
    assert scenario.reserve("none") == math.inf  # it can never get room, so nothing is promised


def test_no_promise_beyond_the_longest_retry_after() -> None:
    for max_retry_after_s in (0.0, 2.0):
        scenario = AllocatorScenario(max_retry_after_s=max_retry_after_s)
        while scenario.store_result(100_000, 30.0):
            pass
        assert isinstance(scenario.reserve(), float) and not scenario.allocator.promises


def test_disk_failures_close_the_spool_with_a_doubling_backoff() -> None:
    scenario = AllocatorScenario()
    assert scenario.allocator.on_disk_failure(0.0) == 0.5
    assert scenario.allocator.on_disk_failure(0.1) == 0.4  # the same failure, reported again
    assert scenario.reserve() == 0.5
    scenario.now = 0.6
    assert isinstance(scenario.reserve(), Reservation) and scenario.allocator.on_disk_failure(0.6) == 1.0
    scenario.allocator.on_disk_success(2.0)
    assert scenario.allocator.on_disk_failure(2.0) == 0.5


def test_expiry_follows_the_lifetimes() -> None:
    lifetimes = Lifetimes(since_read_s=10.0, unread_s=5.0, max_age_s=30.0)
    assert [lifetimes.expires_at(100.0, read) for read in (None, 100.0, 112.0, 125.0)] == [
        105.0,
        110.0,
        122.0,
        130.0,
    ]
    catalog = Catalog(lifetimes)
    catalog.update_segment_sizes({1: 1000})
    for i in range(3):
        result = Result(i, digest(f"t{i}", "a"), "a", "report", 100.0, 1, 10, 1)
        result.append_spans([(1 << 32 | 100 * i, 100)])
        catalog.add(result)
    found = catalog.find("t1", "a", 104.0)
    assert found is not None and catalog.find("t1", "b", 104.0) is None
    catalog.touch(found, 104.0)
    expired = catalog.pop_expired(105.0)
    assert [r.result_id for r in expired] == [0, 2] and catalog.find("t0", "a", 105.0) is None
    for result in expired:
        catalog.remove(result)
    assert catalog.pop_expired(113.0) == [] and catalog.upcoming_expiries(113.0)[-1] == (114.0, 100, "a")
    catalog.set_lifetimes(Lifetimes(1.0, 1.0, 1.0))
    assert [r.result_id for r in catalog.pop_expired(105.0)] == [1]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["reserve", "grow", "commit", "release", "advance"]),
            st.integers(0, 5),
            st.integers(1, 300_000),
        ),
        max_size=60,
    )
)
def test_never_more_room_is_reserved_than_there_is(actions: list[tuple[str, int, int]]) -> None:
    scenario, reservations = AllocatorScenario(share=0.6, b=0.3), list[Reservation]()
    for action, index, size in actions:
        if action == "reserve":
            reservation = scenario.reserve("abc"[index % 3], "xy"[index % 2], index % 4)
            if isinstance(reservation, Reservation):
                reservations.append(reservation)
            else:
                assert reservation > 0
        elif action == "advance":
            scenario.advance_to(scenario.now + size / 1e5)
        elif reservations:
            reservation = reservations[index % len(reservations)]
            if action == "grow":
                before = reservation.used
                assert reservation.take(size, scenario.now) or reservation.used == before
            else:
                reservations.remove(reservation)
                if action == "commit":
                    stored = max(reservation.used, 1)
                    reservation.commit_result(stored, stored)
                    scenario.expiries.append((scenario.now + size / 1e4, stored, reservation.tenant))
                else:
                    reservation.release()
        allocator = scenario.allocator
        assert allocator.free_bytes() >= -1e-6
        for tenant in "abc":
            assert allocator.tenant_remaining(tenant) >= -1e-6
        assert sum(allocator.reserved.values()) >= -1e-6
        assert len(allocator.promises) <= len(actions)


def test_the_number_of_results_is_bounded_and_the_next_expiry_is_promised() -> None:
    scenario = AllocatorScenario()
    scenario.allocator.max_results = 3
    assert all(scenario.store_result(10, 2.0 + i) for i in range(2)) and isinstance(
        scenario.reserve(), Reservation
    )
    wait = scenario.reserve(fingerprint=1)
    assert isinstance(wait, float) and 2.0 < wait < 2.5
    scenario.advance_to(wait)
    assert isinstance(scenario.reserve(fingerprint=1), Reservation) and isinstance(scenario.reserve(), float)


def add_result(catalog: Catalog, number: int, made: float, *spans: tuple[int, int]) -> Result:
    result = Result(number, digest(f"t{number}", "a"), "a", "report", made, 1, 10, 1)
    result.append_spans([(segment << 32 | number, length) for segment, length in spans])
    catalog.add(result)
    return result


def test_upcoming_expiries_follow_every_add_read_and_removal() -> None:
    catalog = Catalog(Lifetimes(since_read_s=10.0, unread_s=5.0, max_age_s=30.0))
    catalog.update_segment_sizes({1: 300, 2: 300})
    assert catalog.upcoming_expiries(0.0) == []
    first, second = add_result(catalog, 1, 0.0, (1, 100)), add_result(catalog, 2, 1.0, (1, 50))
    assert catalog.upcoming_expiries(0.0) == [(5.0, 100, "a"), (6.0, 50, "a")]
    assert catalog.upcoming_expiries(0.0, 5.5) == [(5.0, 100, "a")] and catalog.next_expiry() == 5.0
    catalog.touch(first, 2.0)
    assert catalog.upcoming_expiries(0.0) == [(6.0, 50, "a"), (12.0, 100, "a")]
    catalog.remove(second)
    assert catalog.upcoming_expiries(0.0) == [(12.0, 100, "a")]


def test_a_file_is_deletable_when_its_last_result_ends_and_no_drop_in_it_is_needed() -> None:
    catalog = Catalog(Lifetimes(since_read_s=10.0, unread_s=5.0, max_age_s=30.0))
    catalog.update_segment_sizes({1: 300, 2: 200, 3: 100})
    first, second = add_result(catalog, 1, 0.0, (1, 100), (2, 100)), add_result(catalog, 2, 3.0, (2, 100))
    assert catalog.upcoming_deletions(0.0) == [(5.0, 300), (8.0, 200)]  # the third segment is still written
    catalog.remove(first)
    assert catalog.deletable_segments(set()) == [1] and catalog.deletable_segments({1}) == []
    drops = catalog.segments[1].drops
    assert drops is not None
    drops.append((9, 2))  # the second file may hold a record of result 9
    assert catalog.deletable_segments(set()) == []
    catalog.remove(second)
    assert catalog.deletable_segments(set()) == [1, 2]
    catalog.segments[2].has_moved_records = True  # an older checkpoint may refer to the moved records
    assert catalog.deletable_segments(set()) == []


def test_a_promise_waits_for_the_deletion_of_the_file_and_is_then_kept() -> None:
    scenario, files = AllocatorScenario(room=1000.0), [(1.0, 400), (2.0, 600)]
    scenario.allocator.default_size, used_bytes = 100.0, 1000.0
    scenario.allocator.upcoming_deletions = lambda now, until: [f for f in files if f[0] <= until]
    scenario.allocator.writable_bytes = lambda: 1000.0 - used_bytes
    scenario.add_held(1000, 0.5)
    first_wait = scenario.reserve(fingerprint=1)
    # The result expires at 0.5, but its file is deletable only at 1.
    assert isinstance(first_wait, float) and 1.0 < first_wait < 1.5
    later_waits = [scenario.reserve(fingerprint=2 + i) for i in range(4)]
    assert all(isinstance(wait, float) for wait in later_waits) and 2.0 < later_waits[3] < 2.5  # type: ignore[operator]
    scenario.advance_to(first_wait)
    assert isinstance(scenario.reserve(), float)  # nothing is deleted yet, and a new request has no promise
    assert isinstance(scenario.reserve(fingerprint=1), Reservation) and scenario.allocator.broken_count == 0


def test_slow_deletions_delay_the_promised_times() -> None:
    scenario = AllocatorScenario()
    scenario.add_held(1_000_000, 1.0)
    quick_wait = scenario.reserve(fingerprint=1)
    scenario.allocator.promises.clear()
    scenario.allocator.record_deletion(0.6)
    slow_wait = scenario.reserve(fingerprint=1)
    assert (
        isinstance(quick_wait, float)
        and isinstance(slow_wait, float)
        and slow_wait == quick_wait - 0.25 + 0.9
    )


def test_a_promised_request_gets_the_promised_size_although_sizes_have_grown() -> None:
    scenario = AllocatorScenario()
    scenario.add_held(1_000_000, 1.0)
    wait = scenario.reserve(fingerprint=1)
    assert isinstance(wait, float)
    for _ in range(8):
        scenario.allocator.learn("report", 990_000.0)
    scenario.advance_to(wait)
    retried = scenario.reserve(fingerprint=1)
    assert isinstance(retried, Reservation) and retried.size == 100_000
