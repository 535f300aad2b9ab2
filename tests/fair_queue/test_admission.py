"""The door's decisions beside plain, slow models of them: shares, bounds, promises, the window, peers."""

import itertools
import math
import random
import tracemalloc
from collections import defaultdict, deque
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marbleworks.fair_queue.admission import AdmissionController, AdmissionReason, Arrival, Bounds
from marbleworks.fair_queue.concurrency_limit import BUSY, FALLS, LEAST, ConcurrencyLimit
from marbleworks.fair_queue.concurrency_limit import MOST as MOST_WIDTH
from marbleworks.fair_queue.flow_classifier import HAND, FlowClassifier
from marbleworks.fair_queue.peer_usage import HEAVIEST, MOST, PeerUsage, name_hash
from marbleworks.fair_queue.retry_promises import EARLY, PART, SLOT, WINDOW, RetryPromises
from marbleworks.fair_queue.start_time_fair_queue import StartTimeFairQueue, Ticket
from marbleworks.lab.door import Yard, arrival

BOUNDS = Bounds(count=200, size=1e6, bookings=1000, share=False, trace=True)


def ticket(n: int, flow: int = 0, line: object = 0, work: float = 1.0) -> Ticket:
    return Ticket(str(n), flow, line, work, 10, math.inf)


# Shares.


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 2), st.floats(0.01, 3.0)), min_size=30, max_size=120
    ),
    st.lists(st.sampled_from([0.1, 0.5, 1.0, 2.0, 10.0]), min_size=5, max_size=5),
)
def test_backlogged_flows_get_work_by_weight_within_the_stated_bound(
    commands: list[tuple[int, int, float]], weights: list[float]
) -> None:
    fair, largest, lines = (
        StartTimeFairQueue(),
        defaultdict[int, float](float),
        defaultdict[tuple[int, int], list[str]](list),
    )
    for n, (flow, line, work) in enumerate(commands):
        fair.push(ticket(n, flow, line, work), weights[flow], 0.0)
        largest[flow] = max(largest[flow], work)
        lines[flow, line].append(str(n))
    given_to, came, left = defaultdict[int, float](float), list[Ticket](), defaultdict[int, int](int)
    for flow, _, _ in commands:
        left[flow] += 1
    while min(left.values()) > 0 and (one := fair.pop()) is not None:
        given_to[one.flow] += one.work
        left[one.flow] -= 1
        came.append(one)
        for a, b in itertools.combinations(left, 2):
            if left[a] and left[b]:
                apart = abs(given_to[a] / weights[a] - given_to[b] / weights[b])
                assert apart <= largest[a] / weights[a] + largest[b] / weights[b] + 1e-6
    while (one := fair.pop()) is not None:
        came.append(one)
    assert len(came) == len(commands) and fair.count == fair.size == 0 and fair.work == 0
    for (flow, line), refs in lines.items():
        assert [
            t.ref for t in came if (t.flow, t.line) == (flow, line)
        ] == refs  # each connection in its order


def test_one_member_with_many_connections_gets_no_more_than_one_with_one() -> None:
    fair = StartTimeFairQueue()
    for n in range(320):
        fair.push(ticket(n, 1, n % 32), 1.0, 0.0)
        fair.push(ticket(n, 2, "one"), 1.0, 0.0)
    flows = [fair.pop().flow for _ in range(100)]  # type: ignore[union-attr]
    assert 49 <= flows.count(1) <= 51
    first = [t for t in (fair.pop() for _ in range(128)) if t is not None and t.flow == 1]
    counts = [sum(t.line == line for t in first) for line in range(32)]
    assert max(counts) - min(counts) <= 1  # and its connections share alike


def test_costly_and_cheap_commands_do_not_starve_each_other() -> None:
    fair = StartTimeFairQueue()
    for n in range(400):
        fair.push(ticket(n, 1, 0, 0.05), 1.0, 0.0)
        if n < 20:
            fair.push(ticket(n, 2, 0, 2.0), 1.0, 0.0)
    done = defaultdict[int, float](float)
    for _ in range(200):
        one = fair.pop()
        assert one is not None
        done[one.flow] += one.work
    assert abs(done[1] - done[2]) <= 2.05


def test_idle_time_gives_no_credit_and_what_is_past_the_door_counts() -> None:
    fair = StartTimeFairQueue()
    for n in range(50):
        fair.push(ticket(n, 1), 1.0, 0.0)
    for _ in range(20):
        fair.pop()
    for n in range(50):
        fair.push(ticket(n, 2), 1.0, 0.0)  # was idle all the while
    flows = [fair.pop().flow for _ in range(20)]  # type: ignore[union-attr]
    assert 9 <= flows.count(2) <= 11
    fair = StartTimeFairQueue()
    fair.push(ticket(1, 1), 1.0, owed=5.0)
    fair.push(ticket(2, 1), 1.0, owed=5.0)
    for n in range(8):
        fair.push(ticket(n, 2), 1.0, owed=0.0)
    flows = [fair.pop().flow for _ in range(7)]  # type: ignore[union-attr]
    assert flows.count(2) >= 5


def test_work_that_turns_out_otherwise_is_made_up_for_within_a_bound() -> None:
    fair = StartTimeFairQueue()
    for n in range(100):
        fair.push(ticket(n, 1, 0, 0.1), 1.0, 0.0)
        fair.push(ticket(n, 2, 0, 1.0), 1.0, 0.0)
    truly = defaultdict[int, float](float)
    for _ in range(60):
        one = fair.pop()
        assert one is not None
        truly[one.flow] += 1.0
        if one.flow == 1:  # says a tenth of what it takes
            fair.correct(1, 0.9)
    assert abs(truly[1] - truly[2]) <= 2.0
    fair.correct(1, 1e9)  # and no mistake locks a member out for good
    flows = [one.flow for one in (fair.pop() for _ in range(100)) if one is not None]
    assert flows.count(1) >= 1


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["push", "pop", "remove", "correct"]), st.integers(0, 5), st.floats(0.0, 2.0)
        ),
        max_size=80,
    )
)
def test_sums_agree_with_a_plain_model_whatever_comes(acts: list[tuple[str, int, float]]) -> None:
    fair, there, n = StartTimeFairQueue(), dict[str, Ticket](), 0
    for what, which, work in acts:
        if what == "push":
            n += 1
            one = ticket(n, which % 3, which, work)
            there[one.ref] = one
            fair.push(one, 0.5 + which, work)
        elif what == "pop":
            first, popped = fair.first(), fair.pop()
            assert first is popped and (popped is None) == (not there)
            if popped is not None:
                del there[popped.ref]
        elif what == "remove" and there:
            fair.remove(there.pop(list(there)[which % len(there)]))
        else:
            fair.correct(which % 3, work - 1.0)
        assert fair.count == len(there) and fair.size == 10 * len(there)
        assert fair.work == pytest.approx(sum(t.work for t in there.values()))
        assert set(fair.tickets()) == set(there.values())
        weights = {f.key: f.weight for f in fair.flows.values() if f.count}
        assert fair.weight == pytest.approx(sum(weights.values()))


# Members.


def test_a_flood_shares_at_most_a_few_queues_with_a_quiet_member() -> None:
    members = FlowClassifier(512, 7, {}, {})
    flood = set(members.hand("flood"))
    shared = [len(flood & set(members.hand(f"quiet-{n}"))) for n in range(5000)]
    assert len(flood) == HAND and sum(s >= 2 for s in shared) < 10 and max(shared) < HAND
    drawn = [queue for n in range(5000) for queue in members.hand(f"m{n}")]
    counts = [drawn.count(q) for q in range(0, 512, 16)]
    assert (
        all(len(set(members.hand(f"m{n}"))) == HAND for n in range(200))
        and 15 < min(counts) < max(counts) < 70
    )
    other = FlowClassifier(512, 8, {}, {})
    assert (
        sum(members.hand(f"m{n}") != other.hand(f"m{n}") for n in range(50)) > 45
    )  # another router's differ


def test_clients_without_a_member_count_by_the_longest_network() -> None:
    members = FlowClassifier(
        64, 7, {"big": 4.0}, {"10.0.0.0/8": 2.0, "10.1.0.0/16": 0.5, "2001:db8::/32": 3.0}
    )
    assert members.of("big", "") == ("big", 4.0) and members.of("other", "") == ("other", 1.0)
    assert members.of("", "10.1.2.3") == ("10.1.0.0/16", 0.5) and members.of("", "10.2.2.3") == (
        "10.0.0.0/8",
        2.0,
    )
    assert members.of("", "192.0.2.77") == ("192.0.2.0/24", 1.0) == members.of("", "192.0.2.1")
    assert members.of("", "2001:db8::1")[1] == 3.0 and members.of("", "2001:db9::1") == ("2001:db9::/64", 1.0)


# Promises.


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(["book", "claim", "pass"]), st.integers(0, 6), st.floats(0.01, 4.0)),
        max_size=60,
    ),
    st.floats(1.0, 20.0),
)
def test_promises_never_exceed_room_and_unused_ones_flow_back(
    acts: list[tuple[str, int, float]], rate: float
) -> None:
    bookings, now, marks = RetryPromises(3.0, 40), 100.0, itertools.count()
    plain: list[tuple[int, int, float]] = []
    for what, which, size in acts:
        if what == "pass":
            now += size / 4
        elif what == "book":
            mark = next(marks)
            wait = bookings.book(which, mark, size, now, rate, size)
            if wait < math.inf:
                assert size / rate - SLOT <= wait <= 3.0 + SLOT
                plain.append((which, mark, size))
        elif plain:
            flow, mark, work = plain[which % len(plain)]
            booking = bookings.find(flow, mark)
            if booking is not None:
                due = booking.at - EARLY <= now <= booking.at + WINDOW
                assert bookings.claim(booking, work, now) == due
        bookings.expire(now)
        room = rate * SLOT * PART
        assert all(work <= room + 1e-6 for work in bookings.slots.values())
        sums = defaultdict[int, float](float)
        for booking in bookings.waiting.values():
            for slot, part in booking.slots.items():
                sums[slot] += part
        assert {s: pytest.approx(w) for s, w in sums.items() if w > 1e-6} == {
            s: w for s, w in bookings.slots.items() if w > 1e-6
        }
        assert len(bookings.waiting) <= 40 and len(bookings.line) <= 2 * 40 + 1
    bookings.expire(now + 100)
    assert not bookings.waiting and not bookings.slots and not bookings.by_flow


def test_promised_times_are_spread_so_that_no_wave_comes() -> None:
    bookings = RetryPromises(5.0, 10_000)
    waits = [bookings.book(n % 40, n, 0.1, 10.0, 20.0, 0.0) for n in range(600)]
    told = [wait for wait in waits if wait < math.inf]
    per_slot = defaultdict[int, int](int)
    for wait in told:
        per_slot[round(wait / SLOT)] += 1
    assert len(told) > 500 and max(per_slot.values()) <= 20.0 * SLOT * PART / 0.1 + 1
    assert RetryPromises(0.0, 9).book(1, 1, 0.1, 0.0, 9.0, 0.0) == math.inf  # no time may be named


# The window.


def test_the_window_falls_quickly_and_recovers_without_swinging() -> None:
    window, now = ConcurrencyLimit(10.0), 0.0
    first = window.width
    for _ in range(40):
        now += 0.05
        window.answered(BUSY * 2, now)
    assert window.width == pytest.approx(LEAST * 10) and 0.6 * first >= LEAST * 10
    window.width, widths = 40.0, list[float]()
    for _ in range(4000):  # an engine room that is at ease up to 30 threads and slows beyond
        now += 0.01
        window.out = int(window.width)
        window.answered(max(window.width / 25.0, 1.0), now)
        widths.append(window.width)
    late = widths[2000:]
    assert max(late) - min(late) <= 0.25 * max(late) and 25 <= min(late) <= max(late) <= 60


def test_the_window_follows_engines_that_come_and_go_and_never_closes() -> None:
    window = ConcurrencyLimit(8.0)
    width = window.width
    window.resize(4.0)
    assert window.width == width / 2
    for n in range(100):
        window.was_shed(float(n))
    assert window.width == LEAST * 4.0 and window.has_room(99)  # with nothing out, anything may go
    window.out = 1
    assert not window.has_room(99) and FALLS < 1


# Peers.


def test_summaries_fit_a_datagram_and_lost_late_double_or_lying_ones_do_little() -> None:
    mine, theirs = PeerUsage(), PeerUsage()
    for n in range(500):
        theirs.add(name_hash(f"m{n}"), 0.02 + n / 100)
    first = theirs.summary()
    assert first is not None and len(first) <= MOST and first[1] == HEAVIEST
    told = mine.heard(2, first, 1e9, 10.0)
    assert len(told) == HEAVIEST and told[name_hash("m499")] == pytest.approx(5.01, abs=0.01)
    assert mine.heard(2, first, 1e9, 10.1) == {}  # double
    later = [theirs.summary() for _ in range(3)]
    assert (
        mine.heard(2, later[2] or b"", 1e9, 10.2) and mine.heard(2, later[0] or b"", 1e9, 10.3) == {}
    )  # late
    for junk in (
        b"",
        b"\xd0",
        b"\xd0\xff\x00\x00",
        first[:-1],
        first + b"x",
        b"\xd1" + first[1:],
        b"\xd0" * 256,
    ):
        assert mine.heard(3, junk, 1e9, 10.0) == {}
    liar = PeerUsage()
    liar.add(1, 600.0)
    lie = mine.heard(4, liar.summary() or b"", 10.0, 20.0)
    assert sum(lie.values()) <= 1.5 * 10.0 * 0.1 + 1e-6
    for n in range(100_000):
        mine.add(n, 0.001)
    assert len(mine.let_in) <= 1024


# The whole door.


class Room:
    """What stands behind a door: so many cores that work off what is let in; and clients that may come
    back."""

    def __init__(
        self, cores: float = 8.0, heed: float = 5.0, bounds: Bounds = BOUNDS, **weights: float
    ) -> None:
        self.now, self.cores = 100.0, cores
        self.door = AdmissionController(self, FlowClassifier(512, 3, weights, {}), bounds, cores, heed)
        self.running: deque[list[object]] = deque()
        self.done, self.away = defaultdict[str, float](float), list[tuple[str, float, float]]()
        self.in_order: list[str] = []
        self.why: dict[str, list[AdmissionReason]] = defaultdict(list)
        self.says: dict[str, tuple[float, float]] = {}  # by ref: work said, work true
        self.numbers = itertools.count()
        self.ended, self.causes = set[str](), list[str]()

    def let_in(self, ref: str) -> None:
        assert ref not in self.ended
        self.in_order.append(ref)
        self.running.append([ref, self.says[ref][1], self.now])

    def turn_away(self, ref: str, after: float) -> None:
        assert ref not in self.ended and ref not in self.in_order
        self.ended.add(ref)
        self.away.append((ref, self.now, after))

    def tell_peers(self, data: bytes) -> None: ...

    def trace(self, ref: str, member: str, why: AdmissionReason, seconds: float) -> None:
        self.why[ref].append(why)

    def broke(self, ref: str, member: str, cause: str) -> None:
        self.causes.append(cause)

    def come(
        self,
        name: str,
        work: float = 0.1,
        said: float | None = None,
        line: object = 0,
        mark: int | None = None,
        patience: float = 2.0,
        left: float = 4.0,
        size: int = 100,
    ) -> str:
        number = next(self.numbers)
        ref = f"{name}/{number}"
        self.says[ref] = said if said is not None else work, work
        new = Arrival(
            ref, name, "", line, self.says[ref][0], 1, size, patience, left, number if mark is None else mark
        )
        self.door.arrive(new, self.now)
        return ref

    def work(self, seconds: float, step: float = 0.02) -> None:
        """The cores share what runs, as processors do."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            part = min(self.cores / max(len(self.running), 1), 1.0) * step
            for one in list(self.running):
                one[1] -= part  # type: ignore[operator]
                if one[1] <= 0:  # type: ignore[operator]
                    self.running.remove(one)
                    ref = str(one[0])
                    self.ended.add(ref)
                    self.done[ref.partition("/")[0]] += self.says[ref][1]
                    self.door.answered(ref, self.says[ref][1], self.says[ref][1], self.now)
            self.door.tick(self.now)


def test_nothing_is_held_while_nothing_contends() -> None:
    room = Room()
    refs = [room.come("a") for _ in range(10)]
    assert (
        room.in_order == refs
        and not room.door.waiting
        and all(w == [AdmissionReason.PASSED] for w in room.why.values())
    )


def flooded(room: Room, seconds: float, members: int = 5, flood: float = 400.0, quiet: float = 8.0) -> None:
    """Quiet members ask so often a second each, one floods."""
    chance = random.Random(2)
    end = room.now + seconds
    while room.now < end:
        for _ in range(int(flood * 0.02)):
            room.come("flood", line=chance.randrange(32))
        for n in range(members):
            if chance.random() < quiet * 0.02:
                room.come(f"quiet{n}")
        room.work(0.02)


def test_a_flood_costs_only_itself() -> None:
    room = Room()
    flooded(room, 10.0)
    quiet = [ref for ref, why in room.why.items() if ref.startswith("quiet")]
    turned = [ref for ref, _, _ in room.away if ref.startswith("quiet")]
    assert len(quiet) > 300 and len(turned) <= 0.01 * len(quiet)
    assert sum(room.done.values()) >= 0.9 * 8.0 * 10.0  # and no core idles for it
    assert room.done["flood"] >= 0.3 * 8.0 * 10.0  # the flood gets what is left


def test_members_that_stay_backlogged_share_by_weight_whatever_they_say_of_their_work() -> None:
    room = Room(bounds=replace(BOUNDS, count=2000, size=1e7), big=10.0, small=0.1)
    for _ in range(300):
        room.come("big", 0.2, left=100, patience=1e9)
        room.come("plain", 0.2, left=100, patience=1e9)
        room.come("liar", 0.2, said=0.02, left=100, patience=1e9)
        room.come("small", 0.2, left=100, patience=1e9)
    room.work(5.0)
    done = room.done
    assert 6.0 < done["big"] / done["plain"] < 14.0
    assert done["liar"] < 2.0 * done["plain"]
    assert done["small"] <= done["plain"] * 0.3 + 0.5 and sum(done.values()) > 30.0


@pytest.mark.parametrize(("at", "let_in"), [(-0.1, False), (0.0, True), (0.5, True), (28.0, False)])
def test_a_client_that_was_told_a_time_is_let_in_then_and_not_at_other_times(at: float, let_in: bool) -> None:
    room = Room(bounds=replace(BOUNDS, count=400, size=1e7))
    for n in range(60):
        room.come(("told" if n % 10 == 9 else f"m{n % 20}"), 0.5, left=30, patience=30)
    room.work(2.0)
    room.come("told", 0.5, mark=7, patience=0.1)
    [(_, told_at, after)] = room.away
    assert 0.5 <= after <= 5.0
    end = told_at + after + at
    while room.now < end - 0.01:
        room.work(min(0.1, end - room.now), 0.01)
        for n in range(2):
            room.come(f"n{n}", 0.5, left=30, patience=30)
    before = len(room.in_order)
    ref = room.come("told", 0.5, mark=7, left=30, patience=0.1)
    assert (AdmissionReason.KEPT in room.why[ref]) == let_in
    if let_in:
        room.work(2.0)
        assert room.in_order[before] == ref  # ahead of all that wait
    elif at < 0:
        assert room.why[ref] == [AdmissionReason.EARLY] and 0.05 <= room.away[-1][2] <= 0.15
        room.work(0.11, 0.01)
        assert (
            AdmissionReason.KEPT in room.why[room.come("told", 0.5, mark=7, patience=0.1)]
        )  # it has kept its place


def test_a_promise_that_fails_is_counted_with_its_cause() -> None:
    for lost, cause in ((False, "shed by the decisions"), (True, "engines were lost")):
        room = Room(bounds=replace(BOUNDS, count=400, size=1e7))
        for n in range(60):
            room.come(("told" if n % 10 == 9 else f"m{n % 20}"), 0.5, left=30, patience=30)
        room.work(2.0)
        room.come("told", 0.5, mark=7, patience=0.1)
        room.work(room.away[-1][2])
        if lost:
            room.door.resize(4.0, room.now)
        ref = room.come("told", 0.5, mark=7, left=30, patience=0.1)
        while ref not in room.in_order:
            room.work(0.1)
        room.running = deque(one for one in room.running if one[0] != ref)
        room.door.over(ref, True, room.now)
        assert room.causes == [cause] and (room.door.bookings.broken, room.door.bookings.kept) == (1, 0)


def test_engines_that_go_shrink_the_window_at_once() -> None:
    room = Room()
    flooded(room, 2.0)
    width = room.door.window.width
    room.cores = 2.0
    room.door.resize(2.0, room.now)
    assert room.door.window.width == pytest.approx(width / 4)
    flooded(room, 2.0)
    room.work(8.0)
    assert room.done["quiet0"] > 0 and not room.door.inside  # and all that was let in came to its end


def test_memory_stays_within_its_bound_and_the_heaviest_make_room() -> None:
    room = Room(bounds=replace(BOUNDS, count=10_000, size=3e5))
    for _ in range(500):
        room.come("flood", 0.1, left=1e3, patience=1e3, size=1000)
    for n in range(50):
        room.come(f"quiet{n}", 0.1, left=1e3, patience=1e3, size=1000)
    assert room.door.fair.size <= 300_000 and room.door.most_size <= 300_000
    assert not [ref for ref, _, _ in room.away if ref.startswith("quiet")]


def test_the_memory_that_is_counted_is_no_less_than_what_is_taken() -> None:
    room = Room(bounds=replace(BOUNDS, count=10_000, size=1e8, trace=False))
    arrivals = [
        Arrival(f"{n:016x}", f"m{n}", "", object(), 0.1, 1, 0, 1e3, 1e3, n) for n in range(3000)
    ]  # each of another member and connection, the dearest there is
    for new in arrivals:
        room.says[new.ref] = 0.1, 0.1
    tracemalloc.start()
    for new in arrivals:
        room.door.arrive(new, room.now)
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(room.door.waiting) > 2900 and taken < room.door.fair.size


def test_five_thousand_members_at_once_stay_bounded_and_each_gets_one_end() -> None:
    room = Room(bounds=replace(BOUNDS, count=1000, size=1e7))
    refs = [room.come(f"m{n}", 0.01, left=2.0) for n in range(5000)]
    assert room.door.fair.count <= 1000 and len(room.door.fair.flows) <= 513 and len(room.door.counts) <= 1000
    room.work(4.0)
    assert room.ended >= set(refs) and not room.door.waiting and not room.door.inside and not room.door.owed


def test_clients_that_leave_or_run_out_of_time_free_their_place_at_once() -> None:
    room = Room(cores=1.0)
    for _ in range(20):
        room.come("a", 1.0, left=100, patience=100)
    waiting = list(room.door.waiting)
    assert room.door.left(waiting[0]) and not room.door.left(waiting[0]) and not room.door.left("none")
    short = room.come("b", 1.0, left=0.3, patience=100)
    room.work(0.4)
    assert short in room.ended and AdmissionReason.TIMED_OUT in room.why[short]
    room.door.stop(room.now)
    assert not room.door.waiting and not room.door.counts and not room.door.standing


@settings(max_examples=80, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["come", "come", "come", "back", "work", "leave", "shed", "resize", "jump"]),
            st.integers(0, 7),
            st.floats(0.01, 1.0),
        ),
        max_size=80,
    )
)
def test_each_command_has_one_end_and_all_sums_agree_whatever_goes_wrong(
    acts: list[tuple[str, int, float]],
) -> None:
    room, refs, left = Room(cores=2.0, bounds=Bounds(12, 15_000.0, 8, True, True)), list[str](), set[str]()
    for what, which, size in acts:
        door = room.door
        if what == "come":
            refs.append(
                room.come(f"m{which}", size, said=size * (0.1 if which == 1 else 1.0), patience=3 * size)
            )
        elif what == "back" and room.away:
            ref, _, _ = room.away[which % len(room.away)]
            refs.append(room.come(ref.partition("/")[0], size, mark=int(ref.partition("/")[2])))
        elif what == "work":
            room.work(size, 0.05)
        elif what == "leave" and door.waiting:
            ref = list(door.waiting)[which % len(door.waiting)]
            assert door.left(ref)
            left.add(ref)
        elif what == "shed" and room.running:
            one = room.running.popleft()
            room.ended.add(str(one[0]))
            door.over(str(one[0]), True, room.now)
        elif what == "resize":
            room.cores = 1.0 + which
            door.resize(room.cores, room.now)
        elif what == "jump":
            room.now += 10 * size
            door.tick(room.now)
        assert door.fair.count == len(door.waiting) <= 12 and door.fair.size <= 15_000
        assert door.window.out == len(door.inside) == len(room.running)
        assert sum(door.owed.values()) == pytest.approx(sum(i.work for i in door.inside.values()))
        assert sum(door.counts.values()) == len(door.waiting) and len(door.bookings.waiting) <= 8
        assert set(door.standing) <= set(door.counts)
    room.work(40.0, 0.1)
    assert room.ended | left == set(refs) and not room.door.waiting


def test_a_peer_that_began_anew_is_heard_at_once_and_one_that_has_gone_no_more() -> None:
    ours, theirs, again = PeerUsage(), PeerUsage(), PeerUsage()
    ours.viewed({0: 1, 1: 1})
    for n in range(20):
        theirs.add(7, 1.0)
        summary = theirs.summary()
        assert summary is not None and ours.heard(1, summary, 100.0, n * 0.1) == {7: 1.0}
    again.add(7, 1.0)
    first = again.summary()
    assert first is not None and ours.heard(1, first, 100.0, 2.0) == {}  # by its number it is old
    ours.viewed({0: 1, 1: 2})
    assert ours.heard(1, first, 100.0, 2.1) == {7: 1.0}
    ours.viewed({0: 1})
    again.add(7, 1.0)
    second = again.summary()
    assert second is not None and ours.heard(1, second, 100.0, 2.2) == {} and ours.refused == 1


def test_a_ticket_whose_time_is_over_is_not_let_in_when_its_turn_comes() -> None:
    yard = Yard(1.0, replace(BOUNDS, count=50))
    for n in range(6):
        yard.gates[0].come(replace(arrival(n), work=0.4, patience=30.0, left=0.3))
    assert len(yard.running) == 1 and yard.door.fair.count == 5
    yard.now = 0.45
    yard.door.answered("0", 0.4, 0.4, yard.now)  # before any tick
    assert yard.away == 5 and not yard.door.waiting


@pytest.mark.parametrize("seed", range(3))
def test_a_member_at_two_of_three_doors_has_what_one_at_all_has(seed: int) -> None:
    """Also when the doors' windows have drifted apart."""
    yard, chance, had = Yard(12.0, Bounds(4000, 16e6, 1000, True, False), 3), random.Random(seed), [0.0, 0.0]
    yard.gates[2].door.window.width *= 2.5
    for step in range(4_000):
        for at, names in enumerate((["a", "b"], ["a", "b"], ["a"])):
            for name in names:
                if chance.random() < 0.3:
                    work = chance.uniform(0.02, 0.12)
                    new = replace(arrival(len(yard.ended) + len(yard.running) + 10_000 * step), name=name)
                    ref = f"{name}{step}.{at}"
                    yard.gates[at].come(replace(new, ref=ref, work=work, patience=0.3, left=0.3))
        before = dict(yard.running)
        yard.work(0.0025)
        if yard.now > 2.0:
            for ref in before.keys() - yard.running.keys():
                had[ref[0] == "b"] += before[ref][1][1]
    assert had[1] / sum(had) == pytest.approx(0.5, rel=0.15)


class Doors(RuleBasedStateMachine):
    """Three doors with peers that are killed, come back, and don't hear each other."""

    def __init__(self) -> None:
        super().__init__()
        self.yard = Yard(3.0, Bounds(30, 1e5, 40, True, False), 3)
        self.yard.passes = lambda sender, to: (sender, to) not in self.deaf
        self.deaf: set[tuple[int, int]] = set()
        self.here: dict[str, int] = {}  # commands of doors that live, by ref
        self.count, self.starts = 0, [1, 1, 1]

    @rule(
        at=st.integers(0, 2),
        member=st.sampled_from("abcd"),
        work=st.floats(0.01, 0.5),
        burst=st.integers(1, 12),
    )
    def come(self, at: int, member: str, work: float, burst: int) -> None:
        for _ in range(burst):
            self.count += 1
            new = replace(arrival(self.count), name=member, work=work, patience=1.0, left=1.0)
            self.here[new.ref] = at
            self.yard.gates[at].come(new)

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.2, 1.0]))
    def passes(self, seconds: float) -> None:
        self.yard.work(seconds)

    @rule(at=st.integers(0, 2))
    def killed(self, at: int) -> None:
        self.yard.restart(at)
        self.starts[at] += 1
        self.here = {ref: where for ref, where in self.here.items() if where != at}
        for gate in self.yard.gates:
            gate.door.shares.viewed(dict(enumerate(self.starts)))

    @rule(sender=st.integers(0, 2), to=st.integers(0, 2), hears=st.booleans())
    def cut(self, sender: int, to: int, hears: bool) -> None:
        (self.deaf.discard if hears else self.deaf.add)((sender, to))

    @invariant()
    def each_has_one_place_or_one_end(self) -> None:
        yard = self.yard
        for gate in yard.gates:
            door = gate.door
            assert door.window.out == sum(inside.threads for inside in door.inside.values())
            assert door.fair.count == len(door.waiting) <= door.bounds.count
            assert all(flow.elsewhere >= 0.0 for flow in door.fair.flows.values())
            assert len(door.shares.last) <= 2 and len(door.shares.paces) <= 2
            assert (
                LEAST * door.window.cores - 1e-9 <= door.window.width <= MOST_WIDTH * door.window.cores + 1e-9
            )
        for ref, at in self.here.items():
            door = yard.gates[at].door
            places = (ref in door.waiting) + (ref in door.inside) + yard.ended.get(ref, 0)
            assert places == 1, ref

    def teardown(self) -> None:
        for _ in range(60):
            self.yard.work(0.5)
        assert all(self.yard.ended.get(ref) == 1 for ref in self.here)


TestDoors = Doors.TestCase
TestDoors.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
