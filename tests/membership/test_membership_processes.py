"""Tests of group membership with several router processes.

Routers are killed, suspended, restarted, duplicated, partitioned from each other and sent false reports; the
network between them is simulated by `FaultyNetwork`. The texts in the assertions are those of `health`.
"""

import random
import signal
import time
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest

from marbleworks.lab.faultnet import FaultyNetwork
from marbleworks.lab.load import LoadClient
from marbleworks.lab.stage import LabCluster
from marbleworks.lab.standins import RpcClient
from marbleworks.membership.codec import MemberState, MemberUpdate, Message, MessageType, encode, group_hash
from marbleworks.membership.report import format_view

ROUTER_COUNT, ALL_ROUTERS = 5, range(5)
OPERATOR = "(peers (period 100 ms) (suspicion 600 ms) (term 1500 ms) (lease 1 s))"
CONDITION_TIMEOUT_S = 40.0  # long, since a busy machine only delays the result


class Group:
    """Five router processes that share one group and a simulated network."""

    def __init__(self) -> None:
        self.network = FaultyNetwork(ROUTER_COUNT, 7)
        self.cluster = LabCluster(
            2, 4, OPERATOR, routers=ROUTER_COUNT, network=self.network, connection_relays=True
        )
        self.cluster.routers[2].module = "marbleworks.lab.stepped"
        for router in self.cluster.routers:
            router.start()
        self.wait_until(self.is_complete)

    def view(self, number: int) -> dict[str, Any]:
        """Returns the section `peers` of the `health` response of a router."""
        client = RpcClient(self.cluster.routers[number].address)
        client.send(0, 1, "health", [{"about": "peers"}])
        view: dict[str, Any] = client.receive(10.0)[3][1]
        client.sock.close()
        return view

    def live_routers(self, number: int) -> list[int]:
        """Returns the live routers in the view of a router, including the suspected ones."""
        return [int(row[0]) for row in self.view(number)["rows"] if row[3] in ("up", "suspected")]

    def unsuspected_routers(self, number: int) -> list[int]:
        """Returns the routers in the view of a router that are alive and not suspected."""
        return [int(row[0]) for row in self.view(number)["rows"] if row[3] == "up"]

    def agree_on(self, among: Any) -> bool:
        """Whether each of the routers sees exactly these routers alive."""
        return all(self.unsuspected_routers(number) == list(among) for number in among)

    def total_share(self, among: Any = ALL_ROUTERS) -> float:
        """Returns the sum of the quota shares of the routers."""
        return sum(float(self.view(number)["part"]) for number in among)

    def is_complete(self) -> bool:
        """Whether all routers see each other alive and each holds a leased share or leads."""
        return self.agree_on(ALL_ROUTERS) and all(
            self.view(number)["right"] != "keeps" for number in ALL_ROUTERS
        )

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition; raises `gevent.Timeout` if it does not become true in time."""
        with gevent.Timeout(CONDITION_TIMEOUT_S):
            while not condition():
                gevent.sleep(0.05)

    def close(self) -> None:
        self.cluster._end()
        self.network.close()


@pytest.fixture(scope="module")
def group() -> Iterator[Group]:
    processes = Group()
    yield processes
    processes.close()


def test_group_finds_its_members_and_shows_its_view(group: Group) -> None:
    lines = format_view(group.view(2))
    assert lines[0].startswith("router 2: whole") and len(lines) == 5 + ROUTER_COUNT
    assert sum(group.view(number)["right"] == "divides" for number in range(ROUTER_COUNT)) == 1
    assert all(group.view(number)["among"] == "5" for number in range(ROUTER_COUNT))


def test_killed_router_returns_with_a_new_generation(group: Group) -> None:
    group.cluster.routers[3].stop(signal.SIGKILL)
    others = [0, 1, 2, 4]
    group.wait_until(lambda: group.agree_on(others))
    group.wait_until(lambda: group.total_share(others) == pytest.approx(0.75 + 0.25 * 4 / 5, abs=1e-3))
    group.cluster.routers[3].start()
    group.wait_until(group.is_complete)
    # The second start of router 3 has generation 2.
    assert group.view(0)["rows"][3][1] == "2" and group.view(3)["rows"][3][1] == "2"


def test_router_suspended_for_five_seconds_removes_nobody_when_it_resumes(group: Group) -> None:
    before = len(group.cluster.routers[1].read_log())
    group.cluster.routers[1].send_signal(signal.SIGSTOP)
    group.wait_until(lambda: group.agree_on([0, 2, 3, 4]))
    gevent.sleep(5.0)  # duration of the suspension
    group.cluster.routers[1].send_signal(signal.SIGCONT)
    group.wait_until(lambda: group.agree_on(range(ROUTER_COUNT)))
    assert "member dead" not in group.cluster.routers[1].read_log()[before:]
    assert group.view(1)["rows"][1][1] == "1"  # still the first process, which has refuted


@pytest.mark.parametrize("partitions", [((0, 1), (2, 3, 4)), ((0, 1), (2, 3), (4,))])
def test_partition_leaves_leadership_to_the_majority(partitions: Any, group: Group) -> None:
    group.network.partition(*partitions)
    for members in partitions:
        group.wait_until(lambda members=members: group.agree_on(members))
    majority = [members for members in partitions if len(members) > ROUTER_COUNT / 2]
    minorities = [number for members in partitions if members not in majority for number in members]
    group.wait_until(lambda: all(group.view(number)["right"] == "keeps" for number in minorities))
    group.wait_until(
        lambda: not majority or group.total_share(majority[0]) == pytest.approx(0.75 + 0.15, abs=1e-3)
    )
    assert sum(group.view(number)["right"] == "divides" for number in range(ROUTER_COUNT)) == len(majority)
    assert group.total_share() <= 1.0 + 1e-3
    group.network.partition()
    group.wait_until(group.is_complete)


def test_planned_stop_is_known_at_once(group: Group) -> None:
    router = group.cluster.routers[2]
    router.send_signal(signal.SIGTERM)
    group.wait_until(lambda: all(group.view(number)["rows"][2][3] == "left" for number in (0, 1, 3, 4)))
    router.stop()
    assert "planned stop" in group.cluster.routers[0].read_log()
    router.start()
    group.wait_until(group.is_complete)


@pytest.mark.parametrize(("loss", "jitter"), [(0.1, 0.05), (0.3, 0.2)])
def test_loss_jitter_and_false_reports_remove_no_healthy_router_for_good(
    loss: float, jitter: float, group: Group
) -> None:
    rng, group_number = random.Random(5), group_hash("routers 5")
    group.network.loss, group.network.jitter, group.network.duplication = loss, jitter, 0.2
    log_starts = [len(router.read_log()) for router in group.cluster.routers]
    end = time.monotonic() + 4.0  # the faults last this long; nothing is waited for
    while time.monotonic() < end:
        to, subject = rng.randrange(4), rng.randrange(4)
        update = MemberUpdate(
            rng.choice([1, 2, 3, 1 << 30]), rng.choice([0, 9, 1 << 30]), MemberState.DEAD, subject
        )
        group.network.send(
            4, to, encode(group_number, Message(MessageType.PING, 1, view_digest=9, updates=(update,)))
        )
        group.network.send(4, to, rng.randbytes(rng.randrange(1, 256)))
        group.network.send(4, to, b"\xd1" + rng.randbytes(60))
        gevent.sleep(0.02)
    group.network.loss = group.network.jitter = group.network.duplication = 0.0
    group.wait_until(lambda: group.agree_on(range(ROUTER_COUNT)))
    for router, log_start in zip(group.cluster.routers[:4], log_starts, strict=False):
        assert (
            '"event": "failed"' not in router.read_log()
            and "member superseded" not in router.read_log()[log_start:]
        )
    assert int(group.view(0)["unreadable"]) > 0


def test_rolling_restart_of_all_routers(group: Group) -> None:
    for number, router in enumerate(group.cluster.routers):
        assert router.stop() == 0
        router.start()
        group.wait_until(
            lambda number=number: number in group.unsuspected_routers((number + 1) % ROUTER_COUNT)
        )
    group.wait_until(group.is_complete)


def test_second_process_with_the_same_index_supersedes_the_older_one(group: Group) -> None:
    newer = group.cluster.duplicate_router(3, group.network)
    generation = int(group.view(3)["rows"][3][1])
    newer.start()
    try:
        group.wait_until(lambda: group.view(3)["yielded"] == "yes")
        group.wait_until(
            lambda: all(group.view(number)["rows"][3][1] == str(generation + 1) for number in (0, 1, 2, 4))
        )
        assert group.cluster.routers[3].read_log().count("member superseded") == 1
        assert "member superseded" not in newer.read_log()
    finally:
        del group.network.duplicate_ports[3]
        newer.stop(signal.SIGKILL)
    group.cluster.routers[3].stop(signal.SIGKILL)
    group.cluster.routers[3].start()
    group.wait_until(group.is_complete)
    assert group.view(3)["rows"][3][1] == str(generation + 2)


@pytest.mark.parametrize("step", [3600.0, -7200.0])
def test_a_clock_that_steps_changes_nothing(step: float, group: Group) -> None:
    """The wall clock of router 2 jumps by `step` seconds; membership has to use the monotonic clock."""
    router = group.cluster.routers[2]
    router.stop()
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv("MARBLEWORKS_LAB_STEP", str(step))
        router.start()
    group.wait_until(group.is_complete)
    views, log_starts = (
        [group.live_routers(number) for number in ALL_ROUTERS],
        [len(process.read_log()) for process in group.cluster.routers],
    )
    router.send_signal(signal.SIGUSR1)
    passed_before = group.network.delivered
    group.wait_until(lambda: group.network.delivered > passed_before + 600)  # some rounds of probes and votes
    assert [group.live_routers(number) for number in ALL_ROUTERS] == views
    new_lines = [
        line
        for process, log_start in zip(group.cluster.routers, log_starts, strict=True)
        for line in process.read_log()[log_start:].splitlines()
    ]
    assert [
        line for line in new_lines if '"event": "member dead"' in line or '"event": "member alive"' in line
    ] == []


def test_router_cut_off_from_its_engines_answers_requests_and_stays_a_member(group: Group) -> None:
    lines, views = group.cluster.connection_relays[1], [group.live_routers(number) for number in ALL_ROUTERS]
    lines.hold_back("engines", True, False)
    client_of_cut_off, client_of_other = (
        LoadClient(lines.client_address, "oslo", 1),
        LoadClient(group.cluster.connection_relays[0].client_address, "oslo", 2),
    )
    assert client_of_cut_off.send_request("date-lookup", 20, 600).outcome in ("shed", "failed")
    assert client_of_other.send_request("date-lookup", 20, 600).outcome == "answered"
    lines.hold_back("engines")
    group.wait_until(lambda: client_of_cut_off.send_request("date-lookup", 20, 600).outcome == "answered")
    lines.reset("engines")
    group.wait_until(lambda: client_of_cut_off.send_request("date-lookup", 20, 600).outcome == "answered")
    assert [group.live_routers(number) for number in ALL_ROUTERS] == views


def test_death_of_the_center_of_a_star_isolates_the_others(group: Group) -> None:
    """All datagrams between routers other than router 0 are lost, until router 0 is killed."""
    log_starts = [len(router.read_log()) for router in group.cluster.routers]
    group.network.is_cut = lambda sender, to: 0 not in (sender, to)
    passed_before = group.network.delivered
    group.wait_until(lambda: group.network.delivered > passed_before + 800)
    assert group.agree_on(range(ROUTER_COUNT)) and group.total_share() == pytest.approx(1.0, abs=1e-3)
    assert not any(
        "member dead" in router.read_log()[log_start:]
        for router, log_start in zip(group.cluster.routers, log_starts, strict=True)
    )
    group.cluster.routers[0].stop(signal.SIGKILL)
    group.wait_until(lambda: all(group.view(number)["cut"] == "alone" for number in (1, 2, 3, 4)))
    assert group.total_share([1, 2, 3, 4]) == pytest.approx(0.2, abs=1e-3)
    group.network.partition()
    group.cluster.routers[0].start()
    group.wait_until(group.is_complete)


def test_sole_survivor_uses_only_its_reserved_share(group: Group) -> None:
    for number in (0, 2, 3, 4):
        group.cluster.routers[number].stop(signal.SIGKILL)
    group.wait_until(lambda: group.view(1)["cut"] == "alone" and group.view(1)["right"] == "keeps")
    assert float(group.view(1)["part"]) == pytest.approx(0.05, abs=1e-3)
