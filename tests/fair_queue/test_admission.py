"""Tests of admission control against plain, slow models: shares, bounds, promises, the limit, peers."""

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

from marbleworks.fair_queue.admission import (
    AdmissionBounds,
    AdmissionController,
    AdmissionReason,
    IncomingRequest,
)
from marbleworks.fair_queue.concurrency_limit import MAX_THREADS_PER_CORE as MAX_LIMIT_PER_CORE
from marbleworks.fair_queue.concurrency_limit import (
    MIN_THREADS_PER_CORE,
    SHRINK_ABOVE_SLOWDOWN,
    SHRINK_FACTOR,
    ConcurrencyLimit,
)
from marbleworks.fair_queue.flow_classifier import HAND_SIZE, FlowClassifier
from marbleworks.fair_queue.peer_usage import MAX_DATAGRAM_BYTES, MAX_ENTRIES, PeerUsage, name_hash
from marbleworks.fair_queue.retry_promises import (
    CLAIM_WINDOW_S,
    MAX_EARLY_S,
    PROMISABLE_SHARE,
    SLOT_S,
    RetryPromises,
)
from marbleworks.fair_queue.start_time_fair_queue import StartTimeFairQueue, Ticket
from marbleworks.lab.door import AdmissionModel, make_request

BOUNDS = AdmissionBounds(
    max_waiting=200, max_waiting_bytes=1e6, max_promises=1000, shares_usage=False, traces=True
)


def ticket(n: int, flow: int = 0, order_key: object = 0, work: float = 1.0) -> Ticket:
    return Ticket(str(n), flow, order_key, work, 10, math.inf)


# Fair queueing.


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 2), st.floats(0.01, 3.0)), min_size=30, max_size=120
    ),
    st.lists(st.sampled_from([0.1, 0.5, 1.0, 2.0, 10.0]), min_size=5, max_size=5),
)
def test_backlogged_flows_get_work_by_weight_within_the_stated_bound(
    requests: list[tuple[int, int, float]], weights: list[float]
) -> None:
    fair, largest, pushed_refs = (
        StartTimeFairQueue(),
        defaultdict[int, float](float),
        defaultdict[tuple[int, int], list[str]](list),
    )
    for n, (flow, order_key, work) in enumerate(requests):
        fair.push(ticket(n, flow, order_key, work), weights[flow], 0.0)
        largest[flow] = max(largest[flow], work)
        pushed_refs[flow, order_key].append(str(n))
    given_work, popped, backlog = defaultdict[int, float](float), list[Ticket](), defaultdict[int, int](int)
    for flow, _, _ in requests:
        backlog[flow] += 1
    while min(backlog.values()) > 0 and (one := fair.pop()) is not None:
        given_work[one.flow] += one.work
        backlog[one.flow] -= 1
        popped.append(one)
        for a, b in itertools.combinations(backlog, 2):
            if backlog[a] and backlog[b]:
                difference = abs(given_work[a] / weights[a] - given_work[b] / weights[b])
                assert difference <= largest[a] / weights[a] + largest[b] / weights[b] + 1e-6
    while (one := fair.pop()) is not None:
        popped.append(one)
    assert len(popped) == len(requests) and fair.count == fair.size_bytes == 0 and fair.work == 0
    for (flow, order_key), refs in pushed_refs.items():
        # Requests with one order key keep their order.
        assert [t.ref for t in popped if (t.flow, t.order_key) == (flow, order_key)] == refs


def test_a_tenant_with_many_connections_gets_no_more_than_one_with_a_single_connection() -> None:
    fair = StartTimeFairQueue()
    for n in range(320):
        fair.push(ticket(n, 1, n % 32), 1.0, 0.0)
        fair.push(ticket(n, 2, "one"), 1.0, 0.0)
    flows = [fair.pop().flow for _ in range(100)]  # type: ignore[union-attr]
    assert 49 <= flows.count(1) <= 51
    first = [t for t in (fair.pop() for _ in range(128)) if t is not None and t.flow == 1]
    counts = [sum(t.order_key == order_key for t in first) for order_key in range(32)]
    assert max(counts) - min(counts) <= 1  # the connections of one tenant get equal shares


def test_costly_and_cheap_requests_do_not_starve_each_other() -> None:
    fair = StartTimeFairQueue()
    for n in range(400):
        fair.push(ticket(n, 1, 0, 0.05), 1.0, 0.0)
        if n < 20:
            fair.push(ticket(n, 2, 0, 2.0), 1.0, 0.0)
    work_done = defaultdict[int, float](float)
    for _ in range(200):
        one = fair.pop()
        assert one is not None
        work_done[one.flow] += one.work
    assert abs(work_done[1] - work_done[2]) <= 2.05


def test_idle_time_gives_no_credit_and_admitted_work_counts() -> None:
    fair = StartTimeFairQueue()
    for n in range(50):
        fair.push(ticket(n, 1), 1.0, 0.0)
    for _ in range(20):
        fair.pop()
    for n in range(50):
        fair.push(ticket(n, 2), 1.0, 0.0)  # was idle until now
    flows = [fair.pop().flow for _ in range(20)]  # type: ignore[union-attr]
    assert 9 <= flows.count(2) <= 11
    fair = StartTimeFairQueue()
    fair.push(ticket(1, 1), 1.0, admitted_work=5.0)
    fair.push(ticket(2, 1), 1.0, admitted_work=5.0)
    for n in range(8):
        fair.push(ticket(n, 2), 1.0, admitted_work=0.0)
    flows = [fair.pop().flow for _ in range(7)]  # type: ignore[union-attr]
    assert flows.count(2) >= 5


def test_wrong_work_estimates_are_corrected_within_a_bound() -> None:
    fair = StartTimeFairQueue()
    for n in range(100):
        fair.push(ticket(n, 1, 0, 0.1), 1.0, 0.0)
        fair.push(ticket(n, 2, 0, 1.0), 1.0, 0.0)
    actual_work = defaultdict[int, float](float)
    for _ in range(60):
        one = fair.pop()
        assert one is not None
        actual_work[one.flow] += 1.0
        if one.flow == 1:  # its estimate is a tenth of the actual work
            fair.correct(1, 0.9)
    assert abs(actual_work[1] - actual_work[2]) <= 2.0
    fair.correct(1, 1e9)  # a gross error must not lock a flow out for good
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
def test_totals_agree_with_a_plain_model_after_any_operations(
    operations: list[tuple[str, int, float]],
) -> None:
    fair, expected, n = StartTimeFairQueue(), dict[str, Ticket](), 0
    for operation, index, work in operations:
        if operation == "push":
            n += 1
            one = ticket(n, index % 3, index, work)
            expected[one.ref] = one
            fair.push(one, 0.5 + index, work)
        elif operation == "pop":
            first, popped = fair.first(), fair.pop()
            assert first is popped and (popped is None) == (not expected)
            if popped is not None:
                del expected[popped.ref]
        elif operation == "remove" and expected:
            fair.remove(expected.pop(list(expected)[index % len(expected)]))
        else:
            fair.correct(index % 3, work - 1.0)
        assert fair.count == len(expected) and fair.size_bytes == 10 * len(expected)
        assert fair.work == pytest.approx(sum(t.work for t in expected.values()))
        assert set(fair.tickets()) == set(expected.values())
        weights = {f.key: f.weight for f in fair.flows.values() if f.count}
        assert fair.weight == pytest.approx(sum(weights.values()))


# Tenants.


def test_a_flood_shares_at_most_a_few_queues_with_another_tenant() -> None:
    classifier = FlowClassifier(512, 7, {}, {})
    flood = set(classifier.hand("flood"))
    shared = [len(flood & set(classifier.hand(f"quiet-{n}"))) for n in range(5000)]
    assert len(flood) == HAND_SIZE and sum(s >= 2 for s in shared) < 10 and max(shared) < HAND_SIZE
    drawn = [queue for n in range(5000) for queue in classifier.hand(f"m{n}")]
    counts = [drawn.count(q) for q in range(0, 512, 16)]
    assert (
        all(len(set(classifier.hand(f"m{n}"))) == HAND_SIZE for n in range(200))
        and 15 < min(counts) < max(counts) < 70
    )
    other = FlowClassifier(512, 8, {}, {})
    assert (
        sum(classifier.hand(f"m{n}") != other.hand(f"m{n}") for n in range(50)) > 45
    )  # a router with another seed has other hands


def test_clients_without_a_tenant_count_by_the_longest_matching_network() -> None:
    classifier = FlowClassifier(
        64, 7, {"big": 4.0}, {"10.0.0.0/8": 2.0, "10.1.0.0/16": 0.5, "2001:db8::/32": 3.0}
    )
    assert classifier.classify("big", "") == ("big", 4.0) and classifier.classify("other", "") == (
        "other",
        1.0,
    )
    assert classifier.classify("", "10.1.2.3") == ("10.1.0.0/16", 0.5) and classifier.classify(
        "", "10.2.2.3"
    ) == ("10.0.0.0/8", 2.0)
    assert (
        classifier.classify("", "192.0.2.77") == ("192.0.2.0/24", 1.0) == classifier.classify("", "192.0.2.1")
    )
    assert classifier.classify("", "2001:db8::1")[1] == 3.0 and classifier.classify("", "2001:db9::1") == (
        "2001:db9::/64",
        1.0,
    )


# Retry promises.


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(["make", "claim", "pass"]), st.integers(0, 6), st.floats(0.01, 4.0)),
        max_size=60,
    ),
    st.floats(1.0, 20.0),
)
def test_promises_never_exceed_slot_capacity_and_expired_ones_free_it(
    operations: list[tuple[str, int, float]], rate: float
) -> None:
    promises, now, fingerprints = RetryPromises(3.0, 40), 100.0, itertools.count()
    made: list[tuple[int, int, float]] = []
    for operation, index, amount in operations:
        if operation == "pass":
            now += amount / 4
        elif operation == "make":
            fingerprint = next(fingerprints)
            retry_after_s = promises.make(index, fingerprint, amount, now, rate, amount)
            if retry_after_s < math.inf:
                assert amount / rate - SLOT_S <= retry_after_s <= 3.0 + SLOT_S
                made.append((index, fingerprint, amount))
        elif made:
            flow, fingerprint, work = made[index % len(made)]
            promise = promises.find(flow, fingerprint)
            if promise is not None:
                is_due = promise.due_at - MAX_EARLY_S <= now <= promise.due_at + CLAIM_WINDOW_S
                assert promises.claim(promise, work, now) == is_due
        promises.expire(now)
        slot_room = rate * SLOT_S * PROMISABLE_SHARE
        assert all(work <= slot_room + 1e-6 for work in promises.work_by_slot.values())
        sums = defaultdict[int, float](float)
        for promise in promises.open.values():
            for slot, part in promise.work_by_slot.items():
                sums[slot] += part
        assert {s: pytest.approx(w) for s, w in sums.items() if w > 1e-6} == {
            s: w for s, w in promises.work_by_slot.items() if w > 1e-6
        }
        assert len(promises.open) <= 40 and len(promises.expiry_heap) <= 2 * 40 + 1
    promises.expire(now + 100)
    assert not promises.open and not promises.work_by_slot and not promises.work_by_slot_and_flow


def test_promised_times_are_spread_so_that_retries_do_not_coincide() -> None:
    promises = RetryPromises(5.0, 10_000)
    waits = [promises.make(n % 40, n, 0.1, 10.0, 20.0, 0.0) for n in range(600)]
    promised = [wait for wait in waits if wait < math.inf]
    per_slot = defaultdict[int, int](int)
    for wait in promised:
        per_slot[round(wait / SLOT_S)] += 1
    assert len(promised) > 500 and max(per_slot.values()) <= 20.0 * SLOT_S * PROMISABLE_SHARE / 0.1 + 1
    assert RetryPromises(0.0, 9).make(1, 1, 0.1, 0.0, 9.0, 0.0) == math.inf  # no Retry-After may be named


# The concurrency limit.


def test_the_limit_shrinks_quickly_and_recovers_without_oscillating() -> None:
    limit, now = ConcurrencyLimit(10.0), 0.0
    initial = limit.limit
    for _ in range(40):
        now += 0.05
        limit.record_answer(SHRINK_ABOVE_SLOWDOWN * 2, now)
    assert limit.limit == pytest.approx(MIN_THREADS_PER_CORE * 10) and 0.6 * initial >= (
        MIN_THREADS_PER_CORE * 10
    )
    limit.limit, history = 40.0, list[float]()
    for _ in range(4000):  # engines that slow down beyond 25 threads in flight
        now += 0.01
        limit.in_flight = int(limit.limit)
        limit.record_answer(max(limit.limit / 25.0, 1.0), now)
        history.append(limit.limit)
    settled = history[2000:]
    assert max(settled) - min(settled) <= 0.25 * max(settled) and 25 <= min(settled) <= max(settled) <= 60


def test_the_limit_follows_the_engines_and_never_blocks_all_requests() -> None:
    limit = ConcurrencyLimit(8.0)
    initial = limit.limit
    limit.resize(4.0)
    assert limit.limit == initial / 2
    for n in range(100):
        limit.record_shed(float(n))
    assert limit.limit == MIN_THREADS_PER_CORE * 4.0 and limit.has_room(99)  # always, if nothing is in flight
    limit.in_flight = 1
    assert not limit.has_room(99) and SHRINK_FACTOR < 1


# Peers.


def test_summaries_fit_a_datagram_and_late_duplicate_malformed_or_false_ones_do_little() -> None:
    receiver, sender = PeerUsage(), PeerUsage()
    for n in range(500):
        sender.add(name_hash(f"m{n}"), 0.02 + n / 100)
    first = sender.encode_summary()
    assert first is not None and len(first) <= MAX_DATAGRAM_BYTES and first[1] == MAX_ENTRIES
    work_by_tenant = receiver.decode_summary(2, first, 1e9, 10.0)
    assert len(work_by_tenant) == MAX_ENTRIES and work_by_tenant[name_hash("m499")] == pytest.approx(
        5.01, abs=0.01
    )
    assert receiver.decode_summary(2, first, 1e9, 10.1) == {}  # a duplicate
    later = [sender.encode_summary() for _ in range(3)]
    assert (
        receiver.decode_summary(2, later[2] or b"", 1e9, 10.2)
        and receiver.decode_summary(2, later[0] or b"", 1e9, 10.3) == {}
    )  # the second one arrives late
    for malformed in (
        b"",
        b"\xd0",
        b"\xd0\xff\x00\x00",
        first[:-1],
        first + b"x",
        b"\xd1" + first[1:],
        b"\xd0" * 256,
    ):
        assert receiver.decode_summary(3, malformed, 1e9, 10.0) == {}
    liar = PeerUsage()
    liar.add(1, 600.0)
    accepted = receiver.decode_summary(4, liar.encode_summary() or b"", 10.0, 20.0)
    assert sum(accepted.values()) <= 1.5 * 10.0 * 0.1 + 1e-6
    for n in range(100_000):
        receiver.add(n, 0.001)
    assert len(receiver.unreported_work) <= 1024


# The admission controller.


class SimulatedEngines:
    """The port of an admission controller, engines that work off what it admits, and clients that retry.

    Attributes:
        shed_requests: Ref, time and Retry-After of the requests that were shed.
        admitted_refs: In the order of admission.
        works: Declared and actual work by ref.
    """

    def __init__(
        self,
        cores: float = 8.0,
        max_retry_after_s: float = 5.0,
        bounds: AdmissionBounds = BOUNDS,
        **weights: float,
    ) -> None:
        self.now, self.cores = 100.0, cores
        self.controller = AdmissionController(
            self, FlowClassifier(512, 3, weights, {}), bounds, cores, max_retry_after_s
        )
        self.running: deque[list[object]] = deque()
        self.work_done, self.shed_requests = defaultdict[str, float](float), list[tuple[str, float, float]]()
        self.admitted_refs: list[str] = []
        self.reasons: dict[str, list[AdmissionReason]] = defaultdict(list)
        self.works: dict[str, tuple[float, float]] = {}
        self.numbers = itertools.count()
        self.ended, self.causes = set[str](), list[str]()

    def admit(self, ref: str) -> None:
        assert ref not in self.ended
        self.admitted_refs.append(ref)
        self.running.append([ref, self.works[ref][1], self.now])

    def shed(self, ref: str, retry_after_s: float) -> None:
        assert ref not in self.ended and ref not in self.admitted_refs
        self.ended.add(ref)
        self.shed_requests.append((ref, self.now, retry_after_s))

    def send_to_peers(self, data: bytes) -> None: ...

    def trace_decision(self, ref: str, tenant: str, reason: AdmissionReason, duration_s: float) -> None:
        self.reasons[ref].append(reason)

    def on_promise_broken(self, ref: str, tenant: str, cause: str) -> None:
        self.causes.append(cause)

    def submit(
        self,
        tenant_name: str,
        work: float = 0.1,
        declared_work: float | None = None,
        order_key: object = 0,
        fingerprint: int | None = None,
        max_wait_s: float = 2.0,
        time_left_s: float = 4.0,
        size_bytes: int = 100,
    ) -> str:
        """Submits a request of the work given, which the client declares to be `declared_work`."""
        number = next(self.numbers)
        ref = f"{tenant_name}/{number}"
        self.works[ref] = declared_work if declared_work is not None else work, work
        new = IncomingRequest(
            ref,
            tenant_name,
            "",
            order_key,
            self.works[ref][0],
            1,
            size_bytes,
            max_wait_s,
            time_left_s,
            number if fingerprint is None else fingerprint,
        )
        self.controller.submit(new, self.now)
        return ref

    def advance(self, seconds: float, step: float = 0.02) -> None:
        """Lets time pass; the cores are shared evenly by all running requests."""
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
                    self.work_done[ref.partition("/")[0]] += self.works[ref][1]
                    self.controller.on_answer(ref, self.works[ref][1], self.works[ref][1], self.now)
            self.controller.tick(self.now)


def test_nothing_waits_while_there_is_room() -> None:
    engines = SimulatedEngines()
    refs = [engines.submit("a") for _ in range(10)]
    assert (
        engines.admitted_refs == refs
        and not engines.controller.waiting
        and all(r == [AdmissionReason.ADMITTED_AT_ONCE] for r in engines.reasons.values())
    )


def run_flood(
    engines: SimulatedEngines,
    seconds: float,
    quiet_tenants: int = 5,
    flood_rate: float = 400.0,
    quiet_rate: float = 8.0,
) -> None:
    """Runs one tenant that floods and some quiet ones; the rates are requests a second of each tenant."""
    rng = random.Random(2)
    end = engines.now + seconds
    while engines.now < end:
        for _ in range(int(flood_rate * 0.02)):
            engines.submit("flood", order_key=rng.randrange(32))
        for n in range(quiet_tenants):
            if rng.random() < quiet_rate * 0.02:
                engines.submit(f"quiet{n}")
        engines.advance(0.02)


def test_a_flood_delays_only_its_own_tenant() -> None:
    engines = SimulatedEngines()
    run_flood(engines, 10.0)
    quiet_refs = [ref for ref, reasons in engines.reasons.items() if ref.startswith("quiet")]
    shed_refs = [ref for ref, _, _ in engines.shed_requests if ref.startswith("quiet")]
    assert len(quiet_refs) > 300 and len(shed_refs) <= 0.01 * len(quiet_refs)
    assert sum(engines.work_done.values()) >= 0.9 * 8.0 * 10.0  # the cores stay busy
    assert engines.work_done["flood"] >= 0.3 * 8.0 * 10.0  # the flood gets what the others leave


def test_backlogged_tenants_share_by_weight_whatever_work_they_declare() -> None:
    engines = SimulatedEngines(
        bounds=replace(BOUNDS, max_waiting=2000, max_waiting_bytes=1e7), big=10.0, small=0.1
    )
    for _ in range(300):
        engines.submit("big", 0.2, time_left_s=100, max_wait_s=1e9)
        engines.submit("plain", 0.2, time_left_s=100, max_wait_s=1e9)
        engines.submit("liar", 0.2, declared_work=0.02, time_left_s=100, max_wait_s=1e9)
        engines.submit("small", 0.2, time_left_s=100, max_wait_s=1e9)
    engines.advance(5.0)
    work_done = engines.work_done
    assert 6.0 < work_done["big"] / work_done["plain"] < 14.0
    assert work_done["liar"] < 2.0 * work_done["plain"]
    assert work_done["small"] <= work_done["plain"] * 0.3 + 0.5 and sum(work_done.values()) > 30.0


@pytest.mark.parametrize(("offset", "is_admitted"), [(-0.1, False), (0.0, True), (0.5, True), (28.0, False)])
def test_a_retry_is_admitted_at_its_promised_time_and_not_at_other_times(
    offset: float, is_admitted: bool
) -> None:
    engines = SimulatedEngines(bounds=replace(BOUNDS, max_waiting=400, max_waiting_bytes=1e7))
    for n in range(60):
        engines.submit(("told" if n % 10 == 9 else f"m{n % 20}"), 0.5, time_left_s=30, max_wait_s=30)
    engines.advance(2.0)
    engines.submit("told", 0.5, fingerprint=7, max_wait_s=0.1)
    [(_, shed_at, retry_after_s)] = engines.shed_requests
    assert 0.5 <= retry_after_s <= 5.0
    end = shed_at + retry_after_s + offset
    while engines.now < end - 0.01:
        engines.advance(min(0.1, end - engines.now), 0.01)
        for n in range(2):
            engines.submit(f"n{n}", 0.5, time_left_s=30, max_wait_s=30)
    before = len(engines.admitted_refs)
    ref = engines.submit("told", 0.5, fingerprint=7, time_left_s=30, max_wait_s=0.1)
    assert (AdmissionReason.PROMISE_KEPT in engines.reasons[ref]) == is_admitted
    if is_admitted:
        engines.advance(2.0)
        assert engines.admitted_refs[before] == ref  # ahead of all that wait
    elif offset < 0:
        assert (
            engines.reasons[ref] == [AdmissionReason.EARLY] and 0.05 <= engines.shed_requests[-1][2] <= 0.15
        )
        engines.advance(0.11, 0.01)
        # A retry that came too early does not lose its place.
        assert (
            AdmissionReason.PROMISE_KEPT
            in engines.reasons[engines.submit("told", 0.5, fingerprint=7, max_wait_s=0.1)]
        )


def test_a_broken_promise_is_counted_with_its_cause() -> None:
    for loses_engines, cause in ((False, "shed by the decisions"), (True, "engines were lost")):
        engines = SimulatedEngines(bounds=replace(BOUNDS, max_waiting=400, max_waiting_bytes=1e7))
        for n in range(60):
            engines.submit(("told" if n % 10 == 9 else f"m{n % 20}"), 0.5, time_left_s=30, max_wait_s=30)
        engines.advance(2.0)
        engines.submit("told", 0.5, fingerprint=7, max_wait_s=0.1)
        engines.advance(engines.shed_requests[-1][2])
        if loses_engines:
            engines.controller.resize(4.0, engines.now)
        ref = engines.submit("told", 0.5, fingerprint=7, time_left_s=30, max_wait_s=0.1)
        while ref not in engines.admitted_refs:
            engines.advance(0.1)
        engines.running = deque(one for one in engines.running if one[0] != ref)
        engines.controller.on_end_without_answer(ref, True, engines.now)
        assert engines.causes == [cause] and (
            engines.controller.promises.broken_count,
            engines.controller.promises.kept_count,
        ) == (1, 0)


def test_lost_engines_shrink_the_limit_at_once() -> None:
    engines = SimulatedEngines()
    run_flood(engines, 2.0)
    limit = engines.controller.concurrency_limit.limit
    engines.cores = 2.0
    engines.controller.resize(2.0, engines.now)
    assert engines.controller.concurrency_limit.limit == pytest.approx(limit / 4)
    run_flood(engines, 2.0)
    engines.advance(8.0)
    assert engines.work_done["quiet0"] > 0 and not engines.controller.admitted  # all admitted requests ended


def test_memory_stays_within_its_bound_and_the_heaviest_tenant_is_evicted() -> None:
    engines = SimulatedEngines(bounds=replace(BOUNDS, max_waiting=10_000, max_waiting_bytes=3e5))
    for _ in range(500):
        engines.submit("flood", 0.1, time_left_s=1e3, max_wait_s=1e3, size_bytes=1000)
    for n in range(50):
        engines.submit(f"quiet{n}", 0.1, time_left_s=1e3, max_wait_s=1e3, size_bytes=1000)
    assert engines.controller.queue.size_bytes <= 300_000 and engines.controller.peak_waiting_bytes <= 300_000
    assert not [ref for ref, _, _ in engines.shed_requests if ref.startswith("quiet")]


def test_the_memory_that_is_counted_is_no_less_than_what_is_taken() -> None:
    engines = SimulatedEngines(
        bounds=replace(BOUNDS, max_waiting=10_000, max_waiting_bytes=1e8, traces=False)
    )
    # The most expensive case: each request is of another tenant and another connection.
    requests = [
        IncomingRequest(f"{n:016x}", f"m{n}", "", object(), 0.1, 1, 0, 1e3, 1e3, n) for n in range(3000)
    ]
    for new in requests:
        engines.works[new.ref] = 0.1, 0.1
    tracemalloc.start()
    for new in requests:
        engines.controller.submit(new, engines.now)
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(engines.controller.waiting) > 2900 and taken < engines.controller.queue.size_bytes


def test_five_thousand_tenants_at_once_stay_bounded_and_each_request_ends_once() -> None:
    engines = SimulatedEngines(bounds=replace(BOUNDS, max_waiting=1000, max_waiting_bytes=1e7))
    refs = [engines.submit(f"m{n}", 0.01, time_left_s=2.0) for n in range(5000)]
    assert (
        engines.controller.queue.count <= 1000
        and len(engines.controller.queue.flows) <= 513
        and len(engines.controller.waiting_counts) <= 1000
    )
    engines.advance(4.0)
    assert (
        engines.ended >= set(refs)
        and not engines.controller.waiting
        and not engines.controller.admitted
        and not engines.controller.admitted_work
    )


def test_disconnects_and_timeouts_free_the_place_at_once() -> None:
    engines = SimulatedEngines(cores=1.0)
    for _ in range(20):
        engines.submit("a", 1.0, time_left_s=100, max_wait_s=100)
    waiting = list(engines.controller.waiting)
    assert (
        engines.controller.on_client_disconnect(waiting[0])
        and not engines.controller.on_client_disconnect(waiting[0])
        and not engines.controller.on_client_disconnect("none")
    )
    short = engines.submit("b", 1.0, time_left_s=0.3, max_wait_s=100)
    engines.advance(0.4)
    assert short in engines.ended and AdmissionReason.TIMED_OUT in engines.reasons[short]
    engines.controller.stop(engines.now)
    assert (
        not engines.controller.waiting
        and not engines.controller.waiting_counts
        and not engines.controller.flow_by_tenant
    )


@settings(max_examples=80, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                ["submit", "submit", "submit", "retry", "advance", "leave", "shed", "resize", "jump"]
            ),
            st.integers(0, 7),
            st.floats(0.01, 1.0),
        ),
        max_size=80,
    )
)
def test_each_request_ends_once_and_all_totals_agree_whatever_fails(
    operations: list[tuple[str, int, float]],
) -> None:
    engines, refs, left = (
        SimulatedEngines(cores=2.0, bounds=AdmissionBounds(12, 15_000.0, 8, True, True)),
        list[str](),
        set[str](),
    )
    for operation, index, amount in operations:
        controller = engines.controller
        if operation == "submit":
            refs.append(
                engines.submit(
                    f"m{index}",
                    amount,
                    declared_work=amount * (0.1 if index == 1 else 1.0),
                    max_wait_s=3 * amount,
                )
            )
        elif operation == "retry" and engines.shed_requests:
            ref, _, _ = engines.shed_requests[index % len(engines.shed_requests)]
            refs.append(engines.submit(ref.partition("/")[0], amount, fingerprint=int(ref.partition("/")[2])))
        elif operation == "advance":
            engines.advance(amount, 0.05)
        elif operation == "leave" and controller.waiting:
            ref = list(controller.waiting)[index % len(controller.waiting)]
            assert controller.on_client_disconnect(ref)
            left.add(ref)
        elif operation == "shed" and engines.running:
            one = engines.running.popleft()
            engines.ended.add(str(one[0]))
            controller.on_end_without_answer(str(one[0]), True, engines.now)
        elif operation == "resize":
            engines.cores = 1.0 + index
            controller.resize(engines.cores, engines.now)
        elif operation == "jump":
            engines.now += 10 * amount
            controller.tick(engines.now)
        assert (
            controller.queue.count == len(controller.waiting) <= 12 and controller.queue.size_bytes <= 15_000
        )
        assert controller.concurrency_limit.in_flight == len(controller.admitted) == len(engines.running)
        assert sum(controller.admitted_work.values()) == pytest.approx(
            sum(admitted.work for admitted in controller.admitted.values())
        )
        assert (
            sum(controller.waiting_counts.values()) == len(controller.waiting)
            and len(controller.promises.open) <= 8
        )
        assert set(controller.flow_by_tenant) <= set(controller.waiting_counts)
    engines.advance(40.0, 0.1)
    assert engines.ended | left == set(refs) and not engines.controller.waiting


def test_summaries_of_a_restarted_peer_count_at_once_and_those_of_a_departed_one_do_not() -> None:
    receiver, sender, restarted = PeerUsage(), PeerUsage(), PeerUsage()
    receiver.update_generations({0: 1, 1: 1})
    for n in range(20):
        sender.add(7, 1.0)
        summary = sender.encode_summary()
        assert summary is not None and receiver.decode_summary(1, summary, 100.0, n * 0.1) == {7: 1.0}
    restarted.add(7, 1.0)
    first = restarted.encode_summary()
    assert first is not None and receiver.decode_summary(1, first, 100.0, 2.0) == {}  # its number looks old
    receiver.update_generations({0: 1, 1: 2})
    assert receiver.decode_summary(1, first, 100.0, 2.1) == {7: 1.0}
    receiver.update_generations({0: 1})
    restarted.add(7, 1.0)
    second = restarted.encode_summary()
    assert (
        second is not None
        and receiver.decode_summary(1, second, 100.0, 2.2) == {}
        and receiver.rejected_count == 1
    )


def test_an_expired_ticket_is_not_admitted_when_its_turn_comes() -> None:
    model = AdmissionModel(1.0, replace(BOUNDS, max_waiting=50))
    for n in range(6):
        model.controllers[0].submit(replace(make_request(n), work=0.4, max_wait_s=30.0, time_left_s=0.3))
    assert len(model.running) == 1 and model.controller.queue.count == 5
    model.now = 0.45
    model.controller.on_answer("0", 0.4, 0.4, model.now)  # before any tick
    assert model.shed_count == 5 and not model.controller.waiting


@pytest.mark.parametrize("seed", range(3))
def test_a_tenant_at_two_of_three_routers_gets_as_much_as_one_at_all_three(seed: int) -> None:
    """Also when the concurrency limits of the routers have drifted apart."""
    model, rng, work_done = (
        AdmissionModel(12.0, AdmissionBounds(4000, 16e6, 1000, True, False), 3),
        random.Random(seed),
        [0.0, 0.0],
    )
    model.controllers[2].controller.concurrency_limit.limit *= 2.5
    for step in range(4_000):
        for router, names in enumerate((["a", "b"], ["a", "b"], ["a"])):
            for name in names:
                if rng.random() < 0.3:
                    work = rng.uniform(0.02, 0.12)
                    new = replace(
                        make_request(len(model.ended) + len(model.running) + 10_000 * step), tenant_name=name
                    )
                    ref = f"{name}{step}.{router}"
                    model.controllers[router].submit(
                        replace(new, ref=ref, work=work, max_wait_s=0.3, time_left_s=0.3)
                    )
        before = dict(model.running)
        model.advance(0.0025)
        if model.now > 2.0:
            for ref in before.keys() - model.running.keys():
                work_done[ref[0] == "b"] += before[ref][1][1]
    assert work_done[1] / sum(work_done) == pytest.approx(0.5, rel=0.15)


class ControllerGroup(RuleBasedStateMachine):
    """Admission controllers of three routers that are killed, restart and lose each other's summaries."""

    def __init__(self) -> None:
        super().__init__()
        self.model = AdmissionModel(3.0, AdmissionBounds(30, 1e5, 40, True, False), 3)
        self.model.is_delivered = lambda sender, receiver: (sender, receiver) not in self.cut_links
        self.cut_links: set[tuple[int, int]] = set()
        self.router_by_ref: dict[str, int] = {}  # router of each request, unless it was killed
        self.count, self.generations = 0, [1, 1, 1]

    @rule(
        router=st.integers(0, 2),
        tenant=st.sampled_from("abcd"),
        work=st.floats(0.01, 0.5),
        burst=st.integers(1, 12),
    )
    def submit(self, router: int, tenant: str, work: float, burst: int) -> None:
        for _ in range(burst):
            self.count += 1
            new = replace(
                make_request(self.count), tenant_name=tenant, work=work, max_wait_s=1.0, time_left_s=1.0
            )
            self.router_by_ref[new.ref] = router
            self.model.controllers[router].submit(new)

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.2, 1.0]))
    def advance(self, seconds: float) -> None:
        self.model.advance(seconds)

    @rule(router=st.integers(0, 2))
    def restart(self, router: int) -> None:
        self.model.restart(router)
        self.generations[router] += 1
        self.router_by_ref = {ref: number for ref, number in self.router_by_ref.items() if number != router}
        for modelled in self.model.controllers:
            modelled.controller.peer_usage.update_generations(dict(enumerate(self.generations)))

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2), is_connected=st.booleans())
    def set_link(self, sender: int, receiver: int, is_connected: bool) -> None:
        (self.cut_links.discard if is_connected else self.cut_links.add)((sender, receiver))

    @invariant()
    def each_request_waits_runs_or_has_ended(self) -> None:
        model = self.model
        for modelled in model.controllers:
            controller = modelled.controller
            assert controller.concurrency_limit.in_flight == sum(
                admitted.threads for admitted in controller.admitted.values()
            )
            assert controller.queue.count == len(controller.waiting) <= controller.bounds.max_waiting
            assert all(flow.peer_rate >= 0.0 for flow in controller.queue.flows.values())
            assert len(controller.peer_usage.last_received) <= 2 and len(controller.peer_usage.paces) <= 2
            assert (
                MIN_THREADS_PER_CORE * controller.concurrency_limit.cores - 1e-9
                <= controller.concurrency_limit.limit
                <= MAX_LIMIT_PER_CORE * controller.concurrency_limit.cores + 1e-9
            )
        for ref, router in self.router_by_ref.items():
            controller = model.controllers[router].controller
            places = (ref in controller.waiting) + (ref in controller.admitted) + model.ended.get(ref, 0)
            assert places == 1, ref

    def teardown(self) -> None:
        for _ in range(60):
            self.model.advance(0.5)
        assert all(self.model.ended.get(ref) == 1 for ref in self.router_by_ref)


TestControllerGroup = ControllerGroup.TestCase
TestControllerGroup.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
