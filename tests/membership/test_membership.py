"""Who is there and what may be done: the decisions in simulated time, and every order of a few acts."""

import math
import random
from dataclasses import replace
from functools import partial
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.lab import explore
from marbleworks.lab.explore import Broken, exhaust, object_to, stroll, walk
from marbleworks.lab.group import GROUP, Group, Weather
from marbleworks.membership import leader_election as rights_module
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

COUNT = st.integers(0, (1 << 40) - 1)
NEWS = st.builds(MemberUpdate, COUNT, COUNT, st.sampled_from(MemberState), st.integers(0, 6))
MESSAGES = st.builds(
    Message,
    st.sampled_from(MessageType),
    COUNT,
    COUNT,
    st.integers(-1, 6),
    st.integers(0, 2**32 - 1),
    COUNT,
    COUNT,
    st.booleans(),
    st.none() | st.builds(QuotaDivision, COUNT, st.just(7), st.integers(-1, 6), st.booleans(), COUNT),
    COUNT,
    st.lists(NEWS, max_size=12).map(tuple),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(MESSAGES)
def test_a_message_comes_back_as_it_was_but_for_the_news_that_did_not_fit(message: Message) -> None:
    data = encode(GROUP, message)
    back = decode(GROUP, 7, data)
    assert len(data) <= MAX_DATAGRAM_BYTES and back.updates == message.updates[: len(back.updates)]
    assert len(back.updates) == len(message.updates) or len(data) > MAX_DATAGRAM_BYTES - 30
    assert encode(GROUP, back) == data


@settings(derandomize=True, max_examples=400, deadline=None)
@given(MESSAGES, st.binary(max_size=300), st.integers(0, 255), st.integers(1, 255))
def test_nothing_unreadable_is_more_than_unreadable(m: Message, noise: bytes, at: int, flip: int) -> None:
    data = bytearray(encode(GROUP, m))
    data[at % len(data)] ^= flip
    for bad in (bytes(data), noise, encode(GROUP + 1, m), encode(GROUP, m)[:-1], b"\xd1\x01" + noise):
        try:
            decode(GROUP, 7, bad)
        except DatagramDecodeError:
            continue
        pytest.fail(f"{bad!r} was read")  # its check holds for none of them


def test_what_a_later_version_adds_is_passed_over_and_an_older_one_is_not_read() -> None:
    import struct
    import zlib

    import msgpack

    def sealed(version: int, fields: Any) -> bytes:
        body = msgpack.packb(fields)
        return struct.pack("<BBII", 0xD1, version, GROUP, zlib.crc32(body, version)) + body

    later = decode(GROUP, 7, sealed(9, {0: 3, 1: 5, 9: [[2, 1, 0, 1, "more"]], 77: {"new": 1}}))
    assert later == Message(MessageType.PING, 5, updates=(MemberUpdate(1, 0, MemberState.SUSPECT, 2),))
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
            decode(GROUP, 7, sealed(version, fields))


def group(count: int = 7, seed: int = 1, **weather: Any) -> Group:
    """One that knows itself."""
    made = Group(count, seed)
    made.weather = Weather(**weather)
    made.run(9.0)
    assert made.agreed()
    return made


def gone(g: Group, since: float, number: int) -> dict[int, float]:
    """When each router believed first that it is gone, after that moment."""
    found: dict[int, float] = {}
    for at, by, change in g.changes:
        if at > since and change.router == number and change.state in (MemberState.DEAD, MemberState.LEFT):
            found.setdefault(by, at - since)
    return found


def test_a_whole_group_is_divided_evenly_by_one_and_costs_little() -> None:
    g = group()
    assert g.dividers() == [0] and g.used() == pytest.approx(1.0)
    assert {r.standing().quorum for r in g.routers} == {QuorumStatus.COMPLETE}
    before = list(g.sent_bytes)
    g.run(10.0)
    assert not [c for c in g.changes if c[2].state is not MemberState.ALIVE]
    assert max(b - a for a, b in zip(before, g.sent_bytes, strict=True)) < 8_000  # in ten seconds


@pytest.mark.parametrize("seed", range(5))
def test_a_death_is_known_by_all_within_three_seconds_and_its_part_is_divided(seed: int) -> None:
    g = group(seed=seed)
    at = g.now
    g.kill(3)
    g.run(8.0, lambda: object_to(g))
    found = gone(g, at, 3)
    assert set(found) == {0, 1, 2, 4, 5, 6} and max(found.values()) < 3.0
    assert g.used() == pytest.approx(0.75 + 0.25 * 6 / 7) and g.agreed()


def test_a_planned_stop_is_known_at_once_and_its_part_at_once_too() -> None:
    g = group()
    at, router = g.now, g.routers[4]
    router.say(router.fellow.leave(router.clock()))
    router.settle()
    g.run(0.3, lambda: object_to(g))  # it still answers what it took, with what is kept
    assert set(gone(g, at, 4)) >= {0, 1, 2, 3, 5, 6}
    g.run(2.0, lambda: object_to(g))
    assert g.used() == pytest.approx(1.0) and router.part() == pytest.approx(0.25 / 7)
    g.kill(4)
    assert g.used() == pytest.approx(0.75 + 0.25 * 6 / 7)


@pytest.mark.parametrize("seed", range(5))
def test_when_the_divider_dies_another_divides_within_three_seconds_and_never_before(seed: int) -> None:
    g = group(seed=seed)
    g.kill(0)
    g.run(2.95, lambda: object_to(g))
    assert g.dividers() == [1] and g.used() == pytest.approx(0.75 + 0.25 * 6 / 7)


def test_all_but_one_die_and_it_keeps_its_kept_part_alone() -> None:
    g = group()
    for number in range(1, 7):
        g.kill(number)
    g.run(12.0, lambda: object_to(g))
    stands = g.routers[0].standing()
    assert (
        stands.quorum is QuorumStatus.ISOLATED
        and not stands.is_leader
        and stands.quota_share == pytest.approx(0.25 / 7)
    )


def test_one_that_stood_still_doubts_itself_and_removes_nobody() -> None:
    for seconds in (0.9, 5.0):
        g = group()
        g.pause(5, seconds)
        at = g.now
        g.run(seconds + 4.0, partial(object_to, g))
        by_it = [c for c in g.changes if c[1] == 5 and c[0] > at and c[2].state is MemberState.DEAD]
        assert not by_it and g.agreed(), by_it
        assert g.routers[5].members.generation == 1  # it is the same one, and refuted


@pytest.mark.parametrize(
    ("parts", "divides"),
    [(((0, 1), (2, 3, 4, 5, 6)), [2]), (((0, 1, 2), (3, 4, 5, 6)), [3]), (((0, 1), (2, 3), (4, 5, 6)), [])],
)
def test_a_cut_leaves_the_right_to_most_of_the_group_or_to_nobody(parts: Any, divides: list[int]) -> None:
    g = group()
    side = {n: i for i, part in enumerate(parts) for n in part}
    g.weather.cut = lambda a, b: side[a] != side[b]
    g.run(15.0, lambda: object_to(g))
    assert g.dividers() == divides
    for part in parts:
        for n in part:
            assert g.routers[n].members.view.alive_routers() == list(part)
            stands = g.routers[n].standing()
            assert stands.quorum is (QuorumStatus.MAJORITY if len(part) > 3 else QuorumStatus.MINORITY)
            assert (stands.index >= 0) == (len(part) > 3)
    g.weather.cut = lambda a, b: False
    g.run(6.0, lambda: object_to(g))
    assert g.agreed()
    g.run(8.0, lambda: object_to(g))
    assert g.used() == pytest.approx(1.0)


def test_a_star_whose_middle_dies_leaves_each_alone_with_what_is_kept() -> None:
    g = group()
    g.weather.cut = lambda a, b: 0 not in (a, b)
    g.run(20.0, lambda: object_to(g))
    g.kill(0)
    g.run(15.0, lambda: object_to(g))
    assert all(
        r.standing().quorum is QuorumStatus.ISOLATED for r in g.living()
    ) and g.used() == pytest.approx(0.25 * 6 / 7)
    g.weather.cut = lambda a, b: False
    g.run(20.0, lambda: object_to(g))
    assert g.agreed() and g.used() == pytest.approx(0.75 + 0.25 * 6 / 7)


def test_two_equal_parts_hold_no_right_between_them() -> None:
    g = group(6)
    g.weather.cut = lambda a, b: (a < 3) != (b < 3)
    g.run(15.0, lambda: object_to(g))
    assert g.dividers() == [] and g.used() == pytest.approx(0.25)


def test_one_deaf_way_between_two_removes_nobody() -> None:
    g = group()
    at = g.now
    g.weather.cut = lambda a, b: (a, b) == (1, 2)  # 2 never hears 1
    g.run(30.0, lambda: object_to(g))
    assert not [c for c in g.changes if c[0] > at and c[2].state is MemberState.DEAD] and g.agreed()


def test_one_that_hears_all_and_is_heard_by_nobody_is_out_and_says_so_no_more_than_it_must() -> None:
    g = group()
    at = g.now
    g.weather.cut = lambda a, b: a == 6
    g.run(30.0, lambda: object_to(g))
    assert all(r.members.view.alive_routers() == [0, 1, 2, 3, 4, 5] for r in g.routers[:6])
    assert not g.routers[6].standing().is_leader and g.routers[6].part() == pytest.approx(0.25 / 7)
    assert sum(c[0] > at and c[2].router == 6 for c in g.changes if c[1] < 6) <= 12  # no ping-pong
    g.weather.cut = lambda a, b: False
    g.run(12.0)
    assert g.agreed()


def test_one_whom_a_single_router_does_not_hear_stays() -> None:
    g = group()
    at = g.now
    g.weather.cut = lambda a, b: {a, b} == {2, 5}
    g.run(30.0)
    assert not [c for c in g.changes if c[0] > at and c[2].state is MemberState.DEAD]


def test_a_refutation_that_got_lost_is_told_again() -> None:
    g = group()
    accused, accuser = g.routers[4].members, g.routers[1].members
    accuser._record(MemberUpdate(1, 0, MemberState.SUSPECT, 4), "by hand", g.routers[1].clock())
    accuser.gossip.transmissions.clear()  # nobody hears of it
    accused._on_accused(MemberUpdate(1, 0, MemberState.SUSPECT, 4), g.routers[4].clock())
    accused.gossip.transmissions.clear()  # nor of the answer, which was lost
    g.run(6.0)
    assert all(
        r.members.view.members[4].update == MemberUpdate(1, 1, MemberState.ALIVE, 4) for r in g.routers
    )


def test_news_of_a_router_that_went_and_came_back_twice_since_change_nothing() -> None:
    g = group()
    for _ in range(2):
        g.kill(4)
        g.run(4.0)
        g.start(4)
        g.run(4.0)
    assert g.agreed() and g.routers[4].members.generation == 3
    for old in (
        MemberUpdate(1, 0, MemberState.DEAD, 4),
        MemberUpdate(2, 9, MemberState.LEFT, 4),
        MemberUpdate(1, 5, MemberState.ALIVE, 4),
    ):
        g.routers[1].members._apply_update(old, 2, g.routers[1].clock())
    assert g.agreed() and g.routers[1].members.view.members[4].update.generation == 3


def test_a_start_without_a_disk_takes_a_higher_number_and_an_older_process_of_the_name_yields() -> None:
    g = group(5)
    zombie = g.routers[2]
    g.pause(2, 6.0)
    twin = g.routers[2] = type(zombie)(g, 2, 1.0)  # started beside it, under its name
    twin.ring()
    g.run(5.0)
    assert twin.members.generation == 2 and not twin.members.superseded
    zombie.paused_until = 0.0
    for other in (0, 1):  # what it says is answered by what others have seen
        for to, said in g.routers[other].members.receive(
            2, Message(MessageType.PING, 1, sequence=5), g.routers[other].clock()
        ):
            zombie.members.receive(other, said, zombie.clock())
            assert to == 2 and said.message_type is MessageType.JOIN_REPLY
    assert zombie.members.superseded and zombie.members.tick(zombie.clock()) == []
    assert g.agreed()


def test_one_that_began_while_it_could_ask_nobody_takes_the_next_number_and_does_not_yield() -> None:
    g = group()
    for _ in range(2):
        g.kill(3)
        g.run(4.0)
        g.start(3)
        g.run(6.0)
    assert g.agreed() and g.routers[3].members.generation == 3
    g.weather.cut = lambda a, b: 3 in (a, b)
    g.kill(3)
    g.start(3)
    g.run(10.0, lambda: object_to(g))
    assert g.routers[3].members.generation == 1 and g.routers[3].standing().quorum is QuorumStatus.ISOLATED
    g.weather.cut = lambda a, b: False
    g.run(12.0, lambda: object_to(g))
    assert g.agreed() and g.routers[3].members.generation == 4 and not g.routers[3].members.superseded


def test_a_liar_costs_itself_alone() -> None:
    g = group()
    chance, at = random.Random(3), g.now

    def lie() -> None:
        to, about = chance.randrange(6), chance.randrange(6)
        start, inc = (
            chance.choice([1, 1, 1, 7, MAX_COUNTER_JUMP * 3]),
            chance.choice([0, 1, 5, MAX_COUNTER_JUMP * 2]),
        )
        news = MemberUpdate(
            start, inc, chance.choice([MemberState.DEAD, MemberState.SUSPECT, MemberState.LEFT]), about
        )
        said = Message(MessageType.PING, 1, sequence=9, view_digest=chance.getrandbits(32), updates=(news,))
        g.routers[to].heard(6, encode(GROUP, said))
        g.at(g.now + 0.05, lie)

    g.at(g.now, lie)
    g.run(20.0, lambda: object_to(g))
    removed = [
        c
        for c in g.changes
        if c[0] > at and c[2].state in (MemberState.DEAD, MemberState.LEFT) and c[2].router != 6
    ]
    assert not removed
    assert (
        all(not r.members.superseded for r in g.routers) or sum(r.members.superseded for r in g.routers) == 0
    )


@pytest.mark.parametrize("loss", [0.05, 0.3])
def test_loss_and_spread_remove_no_healthy_router_for_long(loss: float) -> None:
    g = group()
    g.weather = Weather(loss=loss, delay=0.005, jitter=0.2 if loss > 0.1 else 0.02)
    at = g.now
    g.run(60.0, lambda: object_to(g))
    removed = [c for c in g.changes if c[0] > at and c[2].state is MemberState.DEAD]
    assert loss > 0.1 or not removed
    g.weather = Weather()
    g.run(10.0)
    assert g.agreed()


def test_the_cost_of_a_router_does_not_grow_with_the_group() -> None:
    spent, count = {}, 50
    for n in (7, count):
        g = Group(n, 1)
        g.run(30.0)
        assert g.agreed()
        before = sum(g.sent_bytes)
        g.run(5.0)
        spent[n] = (sum(g.sent_bytes) - before) / n / 5.0
    assert spent[count] <= 1.2 * spent[7]


# The explorer.


def test_every_order_of_a_few_acts_holds_the_right_once_and_no_more_than_the_whole() -> None:
    assert exhaust(5, 2) > 2_000 and exhaust(5, 2, warm=10) > 2_000 and exhaust(4, 3, warm=10) > 2_000


@pytest.mark.parametrize("seed", range(4))
def test_long_walks_with_every_fault_hold_it_too(seed: int) -> None:
    assert walk(seed, 8_000) >= 8_000
    assert all(stroll(100 * seed + n, 400, 2 + n % 4) for n in range(20))


def no_wait_at_start(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = LeaderElection.__init__

    def made(self: LeaderElection, *args: Any) -> None:
        begin(self, *args)
        self.voted_until = -math.inf

    monkeypatch.setattr(LeaderElection, "__init__", made)


def parts_outlive_the_right(monkeypatch: pytest.MonkeyPatch) -> None:
    told = LeaderElection._division_for

    def longer(self: LeaderElection, number: int) -> QuotaDivision | None:
        division = told(self, number)
        return replace(division, validity_ms=round(1000 * self.lease_s)) if division else None

    monkeypatch.setattr(LeaderElection, "_division_for", longer)


def a_start_is_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    grants = LeaderElection._grant_vote
    monkeypatch.setattr(
        LeaderElection, "_grant_vote", lambda self, who, start, now: grants(self, who, 0, now)
    )


def active_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = LeaderElection._start_division

    def active(self: LeaderElection, living: list[int]) -> None:
        begin(self, living)
        self.division_active = True

    monkeypatch.setattr(LeaderElection, "_start_division", active)


def lease_from_arrival(monkeypatch: pytest.MonkeyPatch) -> None:
    heard = LeaderElection.receive

    def late(self: LeaderElection, peer: int, m: Message, start: int, now: float) -> Any:
        self.holder.token_issued_at[m.token] = now
        return heard(self, peer, m, start, now)

    monkeypatch.setattr(LeaderElection, "receive", late)


def fewer_than_most(monkeypatch: pytest.MonkeyPatch) -> None:
    def until(self: LeaderElection) -> float:
        votes = sorted(self.votes.values(), reverse=True)
        most = max(self.router_count // 2, 1)
        return votes[most - 1] + self.vote_duration_s if len(votes) >= most else -math.inf

    monkeypatch.setattr(LeaderElection, "leader_until", until)


def two_candidates(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(LeaderElection, "_grant_vote", lambda self, candidate, start, now: True)


@pytest.mark.parametrize(
    "guard",
    [
        no_wait_at_start,
        parts_outlive_the_right,
        a_start_is_no_other,
        active_at_once,
        lease_from_arrival,
        fewer_than_most,
        two_candidates,
    ],
)
def test_a_guard_that_is_taken_out_is_missed(guard: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    guard(monkeypatch)
    with pytest.raises(Broken):
        for seed in range(200):
            stroll(seed, 500, 3 + 2 * (seed % 2))


def test_clocks_that_run_more_unevenly_than_is_stated_are_missed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        rights_module, "MAX_CLOCK_DRIFT", -0.3
    )  # as if they ran evenly, and the margins the wrong way
    with pytest.raises(Broken):
        for seed in range(200):
            stroll(seed, 400)


def test_members_alone_know_when_they_are_wanted_next() -> None:
    members = FailureDetector(0, 3, 1, 0.0, 0.2, 1.0)
    assert members.next_due() == 0.0 and len(members.tick(0.0)) == 2 and not members.joined
    members.tick(0.7)
    assert members.joined and members.generation == 1 and members.view.alive_routers() == [0]
    assert explore.MAX_CLOCK_DRIFT == rights_module.MAX_CLOCK_DRIFT
