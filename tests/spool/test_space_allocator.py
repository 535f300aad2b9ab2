"""Room in the spool: never more than there is, told times that hold, sizes that mislead."""

import itertools
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.spool.catalog import Catalog, Lifetimes, Result, digest
from marbleworks.spool.space_allocator import EARLY, WINDOW, Reservation, SpaceAllocator


class World:
    """A ledger, and the results that it speaks for."""

    def __init__(self, room: float = 1e6, share: float = 1.0, heed: float = 5.0, **quotas: float) -> None:
        self.marks = itertools.count(1000)
        self.now, self.kept = 0.0, list[tuple[float, int, str]]()
        self.ledger = SpaceAllocator(
            room,
            1e5,
            share,
            quotas,
            heed,
            lambda now, until: sorted(k for k in self.kept if now < k[0] <= until),
        )

    def ask(self, tenant: str = "a", profile: str = "report", mark: int = 0) -> Reservation | float:
        return self.ledger.reserve(tenant, profile, mark or next(self.marks), self.now)

    def keep(self, size: int, ends: float, tenant: str = "a", profile: str = "report") -> bool:
        room = self.ask(tenant, profile)
        if not isinstance(room, Reservation) or not room.take(size, self.now):
            return False
        room.kept(size, size)
        self.kept.append((ends, size, tenant))
        return True

    def fill(self, size: int, ends: float, tenant: str = "a") -> None:
        self.ledger.hold(tenant, size)
        self.kept.append((ends, size, tenant))

    def go_to(self, now: float) -> None:
        self.now = now
        for ends, size, tenant in [k for k in self.kept if k[0] <= now]:
            self.kept.remove((ends, size, tenant))
            self.ledger.hold(tenant, -size)


def test_a_first_result_has_what_the_operator_expects_and_later_ones_what_was_learned() -> None:
    world = World()
    assert world.ledger.expected("report") == 1e5
    for size in (2e4, 3e4, 2e4, 3e4):
        world.ledger.learn("report", size)
    assert 3e4 <= world.ledger.expected("report") <= 3.5e4 and world.ledger.expected("other") == 1e5
    world.ledger.learn("big", 9e5)
    assert world.ledger.expected("big") > 9e5  # one large one is believed at once


def test_sizes_ten_times_larger_take_free_room_and_end_honestly_without_it() -> None:
    world = World()
    for _ in range(8):
        world.ledger.learn("report", 2e4)
    one, other = world.ask(), world.ask()
    assert isinstance(one, Reservation) and isinstance(other, Reservation)
    assert one.take(200_000, 0.0) and other.take(200_000, 0.0)  # ten times what was expected
    assert not one.take(700_000, 0.0) and world.ledger.outgrown == 1
    assert one.take(300_000, 0.0) and world.ledger.free() >= 0
    one.kept(500_000, 900_000)
    other.free()
    assert world.ledger.held == {"a": 500_000} and world.ledger.free() == 500_000


def test_sizes_ten_times_smaller_give_back_what_they_do_not_use() -> None:
    world = World()
    for _ in range(9):
        assert world.keep(10_000, 100.0)
    assert world.ledger.free() == 1e6 - 9e4 and world.ledger.expected("report") <= 1.2e4


def test_the_told_time_holds_for_each_that_comes_back() -> None:
    world = World()
    for i in range(10):
        world.fill(100_000, 1.0 + 0.3 * i)
    told = [world.ask(mark=1 + i) for i in range(6)]
    assert all(isinstance(wait, float) for wait in told)
    assert sorted(told) == told and len(set(told)) == len(told)  # each its own time  # type: ignore[type-var]
    for i, wait in enumerate(told):
        assert isinstance(wait, float)
        world.go_to(wait - 0.2)
        assert world.ask(mark=1 + i) == pytest.approx(0.2)  # too early: it keeps its place
        world.go_to(wait)
        assert isinstance(world.ask(mark=1 + i), Reservation)
        assert isinstance(world.ask(), float)  # and a newcomer waits behind all of them
    assert world.ledger.kept_word == 6 and world.ledger.broken == 0


def test_newcomers_do_not_take_what_was_promised_until_its_window_is_over() -> None:
    world = World(share=0.9)
    for i in range(10):
        world.fill(100_000, 1.0 if i else 3.0, "ab"[i % 2])
    wait = world.ask("a", mark=1)
    assert isinstance(wait, float) and 1.0 <= wait <= 1.3
    world.go_to(wait)
    for tenant in "bbbbbbbb":
        assert isinstance(world.ask(tenant), Reservation)
    assert isinstance(world.ask("b"), float)  # the rest is promised
    assert isinstance(world.ask("a", mark=1), Reservation)
    world.kept.clear()
    assert isinstance(world.ask("b"), float)


def test_a_promise_that_nobody_keeps_flows_back() -> None:
    world = World(share=1.0)
    assert world.keep(950_000, 1.0)
    wait = world.ask("a")
    assert isinstance(wait, float)
    world.ledger.sizes.clear()
    world.go_to(wait + WINDOW + EARLY)
    for _ in range(10):
        assert isinstance(world.ask("b"), Reservation)


def test_one_tenant_has_its_quota_and_no_more() -> None:
    world = World(share=0.3, big=0.6, none=0.0)
    taken = {tenant: 0 for tenant in ("a", "big", "none")}
    for tenant in taken:
        while isinstance(world.ask(tenant), Reservation):
            taken[tenant] += 1
    assert taken == {"a": 3, "big": 6, "none": 0}
    assert world.ask("none") == math.inf  # never: so nothing is promised


def test_no_promise_beyond_what_clients_heed_or_where_none_may_be_named() -> None:
    for heed in (0.0, 2.0):
        world = World(heed=heed)
        while world.keep(100_000, 30.0):
            pass
        assert isinstance(world.ask(), float) and not world.ledger.promises


def test_a_disk_that_fails_closes_the_spool_for_a_while_that_doubles() -> None:
    world = World()
    assert world.ledger.failed(0.0) == 0.5
    assert world.ledger.failed(0.1) == 0.4  # the same failure, seen again
    assert world.ask() == 0.5
    world.now = 0.6
    assert isinstance(world.ask(), Reservation) and world.ledger.failed(0.6) == 1.0
    world.ledger.worked(2.0)
    assert world.ledger.failed(2.0) == 0.5


def test_the_one_rule_of_expiry() -> None:
    rule = Lifetimes(keep=10.0, unread=5.0, longest=30.0)
    assert [rule.ends(100.0, read) for read in (None, 100.0, 112.0, 125.0)] == [105.0, 110.0, 122.0, 130.0]
    catalogue = Catalog(rule)
    catalogue.wrote({1: 1000})
    for i in range(3):
        result = Result(i, digest(f"t{i}", "a"), "a", "report", 100.0, 1, 10, 1)
        result.lies([(1 << 32 | 100 * i, 100)])
        catalogue.add(result)
    found = catalogue.find("t1", "a", 104.0)
    assert found is not None and catalogue.find("t1", "b", 104.0) is None
    catalogue.touch(found, 104.0)
    over = catalogue.ended(105.0)
    assert [r.number for r in over] == [0, 2] and catalogue.find("t0", "a", 105.0) is None
    for result in over:
        catalogue.remove(result)
    assert catalogue.ended(113.0) == [] and catalogue.frees(113.0)[-1] == (114.0, 100, "a")
    catalogue.change(Lifetimes(1.0, 1.0, 1.0))
    assert [r.number for r in catalogue.ended(105.0)] == [1]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "grow", "keep", "free", "pass"]),
            st.integers(0, 5),
            st.integers(1, 300_000),
        ),
        max_size=60,
    )
)
def test_never_more_is_given_than_there_is(acts: list[tuple[str, int, int]]) -> None:
    world, open_ones = World(share=0.6, b=0.3), list[Reservation]()
    for what, which, size in acts:
        if what == "ask":
            room = world.ask("abc"[which % 3], "xy"[which % 2], which % 4)
            if isinstance(room, Reservation):
                open_ones.append(room)
            else:
                assert room > 0
        elif what == "pass":
            world.go_to(world.now + size / 1e5)
        elif open_ones:
            room = open_ones[which % len(open_ones)]
            if what == "grow":
                before = room.used
                assert room.take(size, world.now) or room.used == before
            else:
                open_ones.remove(room)
                if what == "keep":
                    stored = max(room.used, 1)
                    room.kept(stored, stored)
                    world.kept.append((world.now + size / 1e4, stored, room.tenant))
                else:
                    room.free()
        ledger = world.ledger
        assert ledger.free() >= -1e-6
        for tenant in "abc":
            assert ledger.own(tenant) >= -1e-6
        assert sum(ledger.reserved.values()) >= -1e-6
        assert len(ledger.promises) <= len(acts)


def test_the_number_of_results_is_bounded_and_the_next_end_is_told() -> None:
    world = World()
    world.ledger.most = 3
    assert all(world.keep(10, 2.0 + i) for i in range(2)) and isinstance(world.ask(), Reservation)
    wait = world.ask(mark=1)
    assert isinstance(wait, float) and 2.0 < wait < 2.5
    world.go_to(wait)
    assert isinstance(world.ask(mark=1), Reservation) and isinstance(world.ask(), float)


def kept(catalogue: Catalog, number: int, made: float, *spots: tuple[int, int]) -> Result:
    result = Result(number, digest(f"t{number}", "a"), "a", "report", made, 1, 10, 1)
    result.lies([(segment << 32 | number, length) for segment, length in spots])
    catalogue.add(result)
    return result


def test_what_comes_free_is_known_at_once_when_a_result_comes_is_read_or_goes() -> None:
    catalogue = Catalog(Lifetimes(keep=10.0, unread=5.0, longest=30.0))
    catalogue.wrote({1: 300, 2: 300})
    assert catalogue.frees(0.0) == []
    one, two = kept(catalogue, 1, 0.0, (1, 100)), kept(catalogue, 2, 1.0, (1, 50))
    assert catalogue.frees(0.0) == [(5.0, 100, "a"), (6.0, 50, "a")]
    assert catalogue.frees(0.0, 5.5) == [(5.0, 100, "a")] and catalogue.next_end() == 5.0
    catalogue.touch(one, 2.0)
    assert catalogue.frees(0.0) == [(6.0, 50, "a"), (12.0, 100, "a")]
    catalogue.remove(two)
    assert catalogue.frees(0.0) == [(12.0, 100, "a")]


def test_a_file_goes_when_the_last_of_it_ends_and_not_while_a_drop_in_it_is_needed() -> None:
    catalogue = Catalog(Lifetimes(keep=10.0, unread=5.0, longest=30.0))
    catalogue.wrote({1: 300, 2: 200, 3: 100})
    one, two = kept(catalogue, 1, 0.0, (1, 100), (2, 100)), kept(catalogue, 2, 3.0, (2, 100))
    assert catalogue.clears(0.0) == [(5.0, 300), (8.0, 200)]  # the third is still written
    catalogue.remove(one)
    assert catalogue.over(set()) == [1] and catalogue.over({1}) == []
    drops = catalogue.segments[1].drops
    assert drops is not None
    drops.append((9, 2))  # something of the ninth may lie in the second file
    assert catalogue.over(set()) == []
    catalogue.remove(two)
    assert catalogue.over(set()) == [1, 2]
    catalogue.segments[2].copied = True  # an older checkpoint may name what lay there
    assert catalogue.over(set()) == []


def test_a_told_time_waits_for_the_file_as_well_as_for_the_result_and_then_holds() -> None:
    world, files = World(room=1000.0), [(1.0, 400), (2.0, 600)]
    world.ledger.expect, used = 100.0, 1000.0
    world.ledger.clears = lambda now, until: [f for f in files if f[0] <= until]
    world.ledger.empty = lambda: 1000.0 - used
    world.fill(1000, 0.5)
    first = world.ask(mark=1)
    assert isinstance(first, float) and 1.0 < first < 1.5  # its bytes end at 0.5, and their file goes at 1
    later = [world.ask(mark=2 + i) for i in range(4)]
    assert all(isinstance(wait, float) for wait in later) and 2.0 < later[3] < 2.5  # type: ignore[operator]
    world.go_to(first)
    assert isinstance(world.ask(), float)  # nothing is deleted yet, and a newcomer has no word
    assert isinstance(world.ask(mark=1), Reservation) and world.ledger.broken == 0


def test_deleting_that_is_slow_moves_the_told_times() -> None:
    world = World()
    world.fill(1_000_000, 1.0)
    quick = world.ask(mark=1)
    world.ledger.promises.clear()
    world.ledger.cleared(0.6)
    slow = world.ask(mark=1)
    assert isinstance(quick, float) and isinstance(slow, float) and slow == quick - 0.25 + 0.9


def test_who_was_told_is_let_in_with_what_it_was_promised_though_sizes_grew() -> None:
    world = World()
    world.fill(1_000_000, 1.0)
    wait = world.ask(mark=1)
    assert isinstance(wait, float)
    for _ in range(8):
        world.ledger.learn("report", 990_000.0)
    world.go_to(wait)
    said = world.ask(mark=1)
    assert isinstance(said, Reservation) and said.size == 100_000
