"""Tests of membership, leader election and quota division in simulated time, and of the datagram codec.

Networks of the simulation lose, delay, duplicate and block datagrams; clocks run at different rates. During a
run `check_invariants` raises if two routers lead or if more than the whole quota is used. The last tests
explore orders of events exhaustively or at random, and check that the explorer notices a missing safeguard.
"""

import math
import random
from dataclasses import replace
from functools import partial
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.lab import explore
from marbleworks.lab.explore import (
    InvariantViolation,
    check_invariants,
    explore_all_orders,
    random_group_walk,
    random_walk,
)
from marbleworks.lab.group import GROUP, NetworkFaults, SimulatedGroup
from marbleworks.membership import leader_election
from marbleworks.membership.codec import (
    MAX_DATAGRAM_BYTES,
    DatagramDecodeError,
    MemberState,
    MemberUpdate,
    Message,
    MessageType,
    QuotaDivision,
    decode,
    encode,
)
from marbleworks.membership.evidence import MAX_COUNTER_JUMP
from marbleworks.membership.failure_detector import FailureDetector
from marbleworks.membership.leader_election import LeaderElection
from marbleworks.membership.status import QuorumStatus

COUNTERS = st.integers(0, (1 << 40) - 1)
UPDATES = st.builds(MemberUpdate, COUNTERS, COUNTERS, st.sampled_from(MemberState), st.integers(0, 6))
MESSAGES = st.builds(
    Message,
    st.sampled_from(MessageType),
    COUNTERS,
    COUNTERS,
    st.integers(-1, 6),
    st.integers(0, 2**32 - 1),
    COUNTERS,
    COUNTERS,
    st.booleans(),
    st.none() | st.builds(QuotaDivision, COUNTERS, st.just(7), st.integers(-1, 6), st.booleans(), COUNTERS),
    COUNTERS,
    st.lists(UPDATES, max_size=12).map(tuple),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(MESSAGES)
def test_message_round_trips_except_for_updates_that_do_not_fit(message: Message) -> None:
    data = encode(GROUP, message)
    decoded = decode(GROUP, 7, data)
    assert len(data) <= MAX_DATAGRAM_BYTES and decoded.updates == message.updates[: len(decoded.updates)]
    assert len(decoded.updates) == len(message.updates) or len(data) > MAX_DATAGRAM_BYTES - 30
    assert encode(GROUP, decoded) == data


@settings(derandomize=True, max_examples=400, deadline=None)
@given(MESSAGES, st.binary(max_size=300), st.integers(0, 255), st.integers(1, 255))
def test_corrupt_datagrams_raise_only_decode_errors(
    message: Message, noise: bytes, position: int, flipped_bits: int
) -> None:
    """Each of them has a wrong magic, version, group, length or checksum."""
    data = bytearray(encode(GROUP, message))
    data[position % len(data)] ^= flipped_bits
    for corrupt in (
        bytes(data),
        noise,
        encode(GROUP + 1, message),
        encode(GROUP, message)[:-1],
        b"\xd1\x01" + noise,
    ):
        try:
            decode(GROUP, 7, corrupt)
        except DatagramDecodeError:
            continue
        pytest.fail(f"corrupt datagram was decoded: {corrupt!r}")


def test_additions_of_later_versions_are_ignored_and_older_versions_rejected() -> None:
    import struct
    import zlib

    import msgpack

    def datagram(version: int, fields: Any) -> bytes:
        body = msgpack.packb(fields)
        return struct.pack("<BBII", 0xD1, version, GROUP, zlib.crc32(body, version)) + body

    decoded = decode(GROUP, 7, datagram(9, {0: 3, 1: 5, 9: [[2, 1, 0, 1, "more"]], 77: {"new": 1}}))
    assert decoded == Message(MessageType.PING, 5, updates=(MemberUpdate(1, 0, MemberState.SUSPECT, 2),))
    for version, fields in (
        (0, {0: 3, 1: 5}),
        (1, {0: 99, 1: 5}),
        (1, {0: 3}),
        (1, [3, 5]),
        (1, {0: 3, 1: -1}),
        (1, {0: 3, 1: 1 << 50}),
        (1, {0: 3, 1: 5, 9: [[9, 1, 0, 0]]}),
        (1, {0: 8, 1: 5, 8: [1, 2, 2, 1]}),
    ):
        with pytest.raises(DatagramDecodeError):
            decode(GROUP, 7, datagram(version, fields))


def started_group(count: int = 7, seed: int = 1, **network_faults: Any) -> SimulatedGroup:
    """Returns a group whose members have found each other.

    Args:
        count: number of routers.
        seed: seed of the simulated network.
        network_faults: faults of the network, as fields of `NetworkFaults`.
    """
    started = SimulatedGroup(count, seed)
    started.network_faults = NetworkFaults(**network_faults)
    started.run(9.0)
    assert started.views_agree()
    return started


def detection_times(group: SimulatedGroup, since: float, number: int) -> dict[int, float]:
    """Returns how long after `since` each router first considered a router dead or left.

    Args:
        group: the group.
        since: start of the measurement, in simulated seconds.
        number: index of the router that died or left.

    Returns:
        Seconds after `since`, keyed by the index of the observing router.
    """
    delays: dict[int, float] = {}
    for at, observer, change in group.changes:
        if at > since and change.router == number and change.state in (MemberState.DEAD, MemberState.LEFT):
            delays.setdefault(observer, at - since)
    return delays


def test_complete_group_has_one_leader_even_shares_and_low_traffic() -> None:
    group = started_group()
    assert group.leaders() == [0] and group.used_quota() == pytest.approx(1.0)
    assert {router.partition_status().quorum for router in group.routers} == {QuorumStatus.COMPLETE}
    before = list(group.sent_bytes)
    group.run(10.0)
    assert not [change for change in group.changes if change[2].state is not MemberState.ALIVE]
    # Bytes that a router sends within ten seconds.
    assert max(after - earlier for earlier, after in zip(before, group.sent_bytes, strict=True)) < 8_000


@pytest.mark.parametrize("seed", range(5))
def test_death_is_detected_by_all_within_three_seconds_and_its_share_divided(seed: int) -> None:
    group = started_group(seed=seed)
    at = group.now
    group.kill(3)
    group.run(8.0, lambda: check_invariants(group))
    delays = detection_times(group, at, 3)
    assert set(delays) == {0, 1, 2, 4, 5, 6} and max(delays.values()) < 3.0
    assert group.used_quota() == pytest.approx(0.75 + 0.25 * 6 / 7) and group.views_agree()


def test_planned_stop_is_known_and_its_share_divided_at_once() -> None:
    group = started_group()
    at, router = group.now, group.routers[4]
    router.send_all(router.node.leave(router.clock()))
    router.schedule_next()
    # The router still answers the requests that it accepted, with its reserved share.
    group.run(0.3, lambda: check_invariants(group))
    assert set(detection_times(group, at, 4)) >= {0, 1, 2, 3, 5, 6}
    group.run(2.0, lambda: check_invariants(group))
    assert group.used_quota() == pytest.approx(1.0) and router.quota_share() == pytest.approx(0.25 / 7)
    group.kill(4)
    assert group.used_quota() == pytest.approx(0.75 + 0.25 * 6 / 7)


@pytest.mark.parametrize("seed", range(5))
def test_dead_leader_is_replaced_within_three_seconds_without_overlap(seed: int) -> None:
    group = started_group(seed=seed)
    group.kill(0)
    group.run(2.95, lambda: check_invariants(group))
    assert group.leaders() == [1] and group.used_quota() == pytest.approx(0.75 + 0.25 * 6 / 7)


def test_sole_survivor_uses_only_its_reserved_share() -> None:
    group = started_group()
    for number in range(1, 7):
        group.kill(number)
    group.run(12.0, lambda: check_invariants(group))
    status = group.routers[0].partition_status()
    assert (
        status.quorum is QuorumStatus.ISOLATED
        and not status.is_leader
        and status.quota_share == pytest.approx(0.25 / 7)
    )


def test_paused_router_removes_nobody() -> None:
    """A paused process finds all its deadlines passed when it runs again, though the others were alive."""
    for seconds in (0.9, 5.0):
        group = started_group()
        group.pause(5, seconds)
        at = group.now
        group.run(seconds + 4.0, partial(check_invariants, group))
        declared_dead = [
            change
            for change in group.changes
            if change[1] == 5 and change[0] > at and change[2].state is MemberState.DEAD
        ]
        assert not declared_dead and group.views_agree(), declared_dead
        # The router is the same process, which has refuted.
        assert group.routers[5].failure_detector.generation == 1


@pytest.mark.parametrize(
    ("partitions", "leaders"),
    [(((0, 1), (2, 3, 4, 5, 6)), [2]), (((0, 1, 2), (3, 4, 5, 6)), [3]), (((0, 1), (2, 3), (4, 5, 6)), [])],
)
def test_partition_leaves_leadership_to_the_majority_or_to_nobody(
    partitions: Any, leaders: list[int]
) -> None:
    group = started_group()
    partition_of = {number: index for index, members in enumerate(partitions) for number in members}
    group.network_faults.is_cut = lambda sender, to: partition_of[sender] != partition_of[to]
    group.run(15.0, lambda: check_invariants(group))
    assert group.leaders() == leaders
    for members in partitions:
        for number in members:
            assert group.routers[number].failure_detector.view.alive_routers() == list(members)
            status = group.routers[number].partition_status()
            assert status.quorum is (QuorumStatus.MAJORITY if len(members) > 3 else QuorumStatus.MINORITY)
            assert (status.index >= 0) == (len(members) > 3)
    group.network_faults.is_cut = lambda sender, to: False
    group.run(6.0, lambda: check_invariants(group))
    assert group.views_agree()
    group.run(8.0, lambda: check_invariants(group))
    assert group.used_quota() == pytest.approx(1.0)


def test_death_of_the_center_of_a_star_leaves_each_other_its_reserved_share() -> None:
    group = started_group()
    group.network_faults.is_cut = lambda sender, to: 0 not in (sender, to)
    group.run(20.0, lambda: check_invariants(group))
    group.kill(0)
    group.run(15.0, lambda: check_invariants(group))
    assert all(
        router.partition_status().quorum is QuorumStatus.ISOLATED for router in group.live_routers()
    ) and group.used_quota() == pytest.approx(0.25 * 6 / 7)
    group.network_faults.is_cut = lambda sender, to: False
    group.run(20.0, lambda: check_invariants(group))
    assert group.views_agree() and group.used_quota() == pytest.approx(0.75 + 0.25 * 6 / 7)


def test_two_equal_partitions_have_no_leader() -> None:
    group = started_group(6)
    group.network_faults.is_cut = lambda sender, to: (sender < 3) != (to < 3)
    group.run(15.0, lambda: check_invariants(group))
    assert group.leaders() == [] and group.used_quota() == pytest.approx(0.25)


def test_one_way_loss_between_two_routers_removes_nobody() -> None:
    """Router 2 receives nothing from router 1; indirect probes have to show that both are alive."""
    group = started_group()
    at = group.now
    group.network_faults.is_cut = lambda sender, to: (sender, to) == (1, 2)
    group.run(30.0, lambda: check_invariants(group))
    assert (
        not [change for change in group.changes if change[0] > at and change[2].state is MemberState.DEAD]
        and group.views_agree()
    )


def test_router_that_only_receives_is_removed_without_flapping() -> None:
    """A router whose datagrams are all lost cannot refute; its removal must not be repeated."""
    group = started_group()
    at = group.now
    group.network_faults.is_cut = lambda sender, to: sender == 6
    group.run(30.0, lambda: check_invariants(group))
    assert all(
        router.failure_detector.view.alive_routers() == [0, 1, 2, 3, 4, 5] for router in group.routers[:6]
    )
    assert not group.routers[6].partition_status().is_leader and group.routers[
        6
    ].quota_share() == pytest.approx(0.25 / 7)
    # Each of the six others sees the router at most suspected and then dead.
    assert sum(change[0] > at and change[2].router == 6 for change in group.changes if change[1] < 6) <= 12
    group.network_faults.is_cut = lambda sender, to: False
    group.run(12.0)
    assert group.views_agree()


def test_router_unreachable_from_a_single_other_stays() -> None:
    group = started_group()
    at = group.now
    group.network_faults.is_cut = lambda sender, to: {sender, to} == {2, 5}
    group.run(30.0)
    assert not [change for change in group.changes if change[0] > at and change[2].state is MemberState.DEAD]


def test_lost_refutation_is_sent_again() -> None:
    group = started_group()
    accused, accuser = group.routers[4].failure_detector, group.routers[1].failure_detector
    accuser._record(
        MemberUpdate(1, 0, MemberState.SUSPECT, 4), "injected by the test", group.routers[1].clock()
    )
    accuser.gossip.transmissions.clear()  # the suspicion is not gossiped
    accused._on_accused(MemberUpdate(1, 0, MemberState.SUSPECT, 4), group.routers[4].clock())
    accused.gossip.transmissions.clear()  # the refutation is lost
    group.run(6.0)
    assert all(
        router.failure_detector.view.members[4].update == MemberUpdate(1, 1, MemberState.ALIVE, 4)
        for router in group.routers
    )


def test_updates_of_earlier_generations_change_nothing() -> None:
    group = started_group()
    for _ in range(2):
        group.kill(4)
        group.run(4.0)
        group.start(4)
        group.run(4.0)
    assert group.views_agree() and group.routers[4].failure_detector.generation == 3
    for outdated in (
        MemberUpdate(1, 0, MemberState.DEAD, 4),
        MemberUpdate(2, 9, MemberState.LEFT, 4),
        MemberUpdate(1, 5, MemberState.ALIVE, 4),
    ):
        group.routers[1].failure_detector._apply_update(outdated, 2, group.routers[1].clock())
    assert group.views_agree() and group.routers[1].failure_detector.view.members[4].update.generation == 3


def test_restart_takes_a_higher_generation_and_supersedes_the_older_process() -> None:
    group = started_group(5)
    older = group.routers[2]
    group.pause(2, 6.0)
    newer = group.routers[2] = type(older)(group, 2, 1.0)  # a second process with the same index
    newer.run_timers()
    group.run(5.0)
    assert newer.failure_detector.generation == 2 and not newer.failure_detector.is_superseded
    older.paused_until = 0.0
    for other in (0, 1):  # others answer its outdated generation with the one that they have seen
        for to, reply in group.routers[other].failure_detector.receive(
            2, Message(MessageType.PING, 1, sequence=5), group.routers[other].clock()
        ):
            older.failure_detector.receive(other, reply, older.clock())
            assert to == 2 and reply.message_type is MessageType.JOIN_REPLY
    assert older.failure_detector.is_superseded and older.failure_detector.tick(older.clock()) == []
    assert group.views_agree()


def test_router_started_while_isolated_takes_the_next_generation_afterwards() -> None:
    """A router that can reach no other at its start reuses a generation of an earlier process.

    The reports of that process's generations, which arrive later, must not make it stop as superseded.
    """
    group = started_group()
    for _ in range(2):
        group.kill(3)
        group.run(4.0)
        group.start(3)
        group.run(6.0)
    assert group.views_agree() and group.routers[3].failure_detector.generation == 3
    group.network_faults.is_cut = lambda sender, to: 3 in (sender, to)
    group.kill(3)
    group.start(3)
    group.run(10.0, lambda: check_invariants(group))
    assert (
        group.routers[3].failure_detector.generation == 1
        and group.routers[3].partition_status().quorum is QuorumStatus.ISOLATED
    )
    group.network_faults.is_cut = lambda sender, to: False
    group.run(12.0, lambda: check_invariants(group))
    assert (
        group.views_agree()
        and group.routers[3].failure_detector.generation == 4
        and not group.routers[3].failure_detector.is_superseded
    )


def test_false_reports_of_one_router_remove_no_other() -> None:
    """Router 6 reports random states, generations and incarnations of the others."""
    group = started_group()
    rng, at = random.Random(3), group.now

    def send_false_report() -> None:
        to, subject = rng.randrange(6), rng.randrange(6)
        generation, incarnation = (
            rng.choice([1, 1, 1, 7, MAX_COUNTER_JUMP * 3]),
            rng.choice([0, 1, 5, MAX_COUNTER_JUMP * 2]),
        )
        update = MemberUpdate(
            generation,
            incarnation,
            rng.choice([MemberState.DEAD, MemberState.SUSPECT, MemberState.LEFT]),
            subject,
        )
        ping = Message(MessageType.PING, 1, sequence=9, view_digest=rng.getrandbits(32), updates=(update,))
        group.routers[to].receive(6, encode(GROUP, ping))
        group.schedule(group.now + 0.05, send_false_report)

    group.schedule(group.now, send_false_report)
    group.run(20.0, lambda: check_invariants(group))
    removed = [
        change
        for change in group.changes
        if change[0] > at
        and change[2].state in (MemberState.DEAD, MemberState.LEFT)
        and change[2].router != 6
    ]
    assert not removed
    assert (
        all(not router.failure_detector.is_superseded for router in group.routers)
        or sum(router.failure_detector.is_superseded for router in group.routers) == 0
    )


@pytest.mark.parametrize("loss", [0.05, 0.3])
def test_loss_and_jitter_remove_no_healthy_router_for_long(loss: float) -> None:
    group = started_group()
    group.network_faults = NetworkFaults(loss=loss, delay=0.005, jitter=0.2 if loss > 0.1 else 0.02)
    at = group.now
    group.run(60.0, lambda: check_invariants(group))
    removed = [change for change in group.changes if change[0] > at and change[2].state is MemberState.DEAD]
    assert loss > 0.1 or not removed
    group.network_faults = NetworkFaults()
    group.run(10.0)
    assert group.views_agree()


def test_traffic_of_a_router_does_not_grow_with_the_group() -> None:
    bytes_per_s, large = {}, 50
    for count in (7, large):
        group = SimulatedGroup(count, 1)
        group.run(30.0)
        assert group.views_agree()
        before = sum(group.sent_bytes)
        group.run(5.0)
        bytes_per_s[count] = (sum(group.sent_bytes) - before) / count / 5.0
    assert bytes_per_s[large] <= 1.2 * bytes_per_s[7]


# Exploration of the orders of events. `explore.InvariantViolation` is raised where an invariant does
# not hold.


def test_every_order_of_a_few_events_keeps_one_leader_and_the_quota() -> None:
    assert (
        explore_all_orders(5, 2) > 2_000
        and explore_all_orders(5, 2, warm=10) > 2_000
        and explore_all_orders(4, 3, warm=10) > 2_000
    )


@pytest.mark.parametrize("seed", range(4))
def test_long_random_walks_with_all_faults_keep_one_leader_and_the_quota(seed: int) -> None:
    assert random_group_walk(seed, 8_000) >= 8_000
    assert all(random_walk(100 * seed + i, 400, 2 + i % 4) for i in range(20))


def vote_immediately_after_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """Skips the wait for the possible vote of an earlier process."""
    init = LeaderElection.__init__

    def init_without_wait(self: LeaderElection, *args: Any) -> None:
        init(self, *args)
        self.voted_until = -math.inf

    monkeypatch.setattr(LeaderElection, "__init__", init_without_wait)


def shares_outlive_leadership(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sends divisions that are valid for a whole lease, even if the leader's term ends before."""
    division_for = LeaderElection._division_for

    def division_for_whole_lease(self: LeaderElection, router: int) -> QuotaDivision | None:
        division = division_for(self, router)
        return replace(division, validity_ms=round(1000 * self.lease_s)) if division else None

    monkeypatch.setattr(LeaderElection, "_division_for", division_for_whole_lease)


def restart_is_the_same_candidate(monkeypatch: pytest.MonkeyPatch) -> None:
    """Votes for a restarted process as for the one before, though it does not know the division."""
    grant_vote = LeaderElection._grant_vote
    monkeypatch.setattr(
        LeaderElection,
        "_grant_vote",
        lambda self, candidate, generation, now: grant_vote(self, candidate, 0, now),
    )


def activate_division_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Activates a division before the previous one has been given up."""
    start_division = LeaderElection._start_division

    def start_active_division(self: LeaderElection, alive: list[int]) -> None:
        start_division(self, alive)
        self.is_division_active = True

    monkeypatch.setattr(LeaderElection, "_start_division", start_active_division)


def count_lease_from_arrival(monkeypatch: pytest.MonkeyPatch) -> None:
    """Counts a lease from the arrival of the division, not from the issue of its token."""
    receive = LeaderElection.receive

    def receive_with_new_token(
        self: LeaderElection, sender: int, message: Message, generation: int, now: float
    ) -> Any:
        self.holder.token_issued_at[message.token] = now
        return receive(self, sender, message, generation, now)

    monkeypatch.setattr(LeaderElection, "receive", receive_with_new_token)


def elect_without_majority(monkeypatch: pytest.MonkeyPatch) -> None:
    """Has half of the routers elect a leader, and ignores clock drift."""

    def leader_until(self: LeaderElection) -> float:
        votes = sorted(self.votes.values(), reverse=True)
        required = max(self.router_count // 2, 1)
        return votes[required - 1] + self.vote_duration_s if len(votes) >= required else -math.inf

    monkeypatch.setattr(LeaderElection, "leader_until", leader_until)


def vote_for_several_candidates(monkeypatch: pytest.MonkeyPatch) -> None:
    """Grants every vote request, also while another vote is binding."""
    monkeypatch.setattr(LeaderElection, "_grant_vote", lambda self, candidate, generation, now: True)


@pytest.mark.parametrize(
    "remove_safeguard",
    [
        vote_immediately_after_start,
        shares_outlive_leadership,
        restart_is_the_same_candidate,
        activate_division_at_once,
        count_lease_from_arrival,
        elect_without_majority,
        vote_for_several_candidates,
    ],
)
def test_explorer_detects_each_removed_safeguard(
    remove_safeguard: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    remove_safeguard(monkeypatch)
    with pytest.raises(InvariantViolation):
        for seed in range(200):
            random_walk(seed, 500, 3 + 2 * (seed % 2))


def test_explorer_detects_clock_drift_beyond_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    # A negative drift turns the safety margins of the election around.
    monkeypatch.setattr(leader_election, "MAX_CLOCK_DRIFT", -0.3)
    with pytest.raises(InvariantViolation):
        for seed in range(200):
            random_walk(seed, 400)


def test_failure_detector_reports_its_next_due_time_while_joining() -> None:
    detector = FailureDetector(0, 3, 1, 0.0, 0.2, 1.0)
    assert detector.next_due() == 0.0 and len(detector.tick(0.0)) == 2 and not detector.has_joined
    detector.tick(0.7)
    assert detector.has_joined and detector.generation == 1 and detector.view.alive_routers() == [0]
    assert explore.MAX_CLOCK_DRIFT == leader_election.MAX_CLOCK_DRIFT
