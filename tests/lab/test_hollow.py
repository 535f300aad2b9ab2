"""Tests that the controller of hollow routers starts, kills, cuts and counts what happens on the sockets."""

import json
import os
import signal
import subprocess
import sys
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

import pytest
from gevent import socket

from marbleworks.lab.faultnet import FaultyNetwork
from marbleworks.lab.group import SimulatedGroup
from marbleworks.lab.hollow import (
    GroupResults,
    GroupUsage,
    HollowGroup,
    Process,
    RunResults,
    answer_bytes,
    fit_slopes,
    make_engines,
    max_listed_engines,
    measure_oversized_list,
    measure_simulated_death,
)
from marbleworks.lab.hollow_process import KINDS, CountingSocket
from marbleworks.lab.stage import free_port, lab_settings, wait_until
from marbleworks.lab.standins import HOST, router_configuration
from marbleworks.membership.failure_detector import MemberChange
from marbleworks.membership.messages import MemberState

FAST = "(peers (period 100 ms) (suspicion 400 ms) (term 1 s) (lease 600 ms)) (budgets)"
COUNT, TIMEOUT_S = 5, 30.0  # routers; seconds to wait for any condition, long enough for a busy machine


@pytest.fixture(scope="module")
def group() -> Iterator[HollowGroup]:
    with HollowGroup(COUNT, 2, operator=FAST, seconds=120) as hollow_group:
        hollow_group.start()
        assert wait_until(hollow_group.is_divided, TIMEOUT_S)
        yield hollow_group


def test_two_processes_of_hollow_routers_are_one_group(group: HollowGroup) -> None:
    assert group.parts == [[0], [1, 2, 3, 4]]
    rights = [view[2] for _, view in sorted(group.views().items())]
    assert rights == ["divides"] + ["has a part"] * (COUNT - 1)
    counts: list[GroupUsage] = []

    def is_idle() -> bool:  # on a busy machine a router may be suspected for a moment
        counts.append(group.measure_usage(0.5))
        return counts[-1].changes == 0

    assert wait_until(is_idle, TIMEOUT_S)
    counted = counts[-1]
    assert set(counted.sent) == {"peers", "budgets"} and counted.cpu > 0.0
    assert counted.first["budgets"][0] > counted.sent["budgets"][0]  # the leader answers all the others


def test_routers_that_are_cut_apart_are_two_groups_until_the_cut_ends(group: HollowGroup) -> None:
    def cut(_: float) -> None:
        group.part([0, 1, 2], [3, 4])
        assert wait_until(lambda: group.agreed([0, 1, 2]) and group.agreed([3, 4]), TIMEOUT_S)

    # The changes show that the group was not idle.
    assert group.measure_usage(0.0, wait=cut).changes >= 2 * 3 + 3 * 2
    assert all(router["cut"] for said in group.counts() for router in said["routers"].values())
    group.part()
    assert wait_until(group.is_divided, TIMEOUT_S)


def test_a_configuration_is_in_force_once_every_router_asks_the_new_list(group: HollowGroup) -> None:
    seconds, cpu = group.reconfigure()
    assert 0.0 < cpu < seconds < TIMEOUT_S
    assert len(group.lists[0].query_counts) == COUNT  # each router queries from its own socket


@pytest.mark.parametrize(
    "line", [b"{", b"[]", b"{}", b'{"no": 1}', b'{"kill": [4, 99]}', b'{"start": [["nowhere", ""]]}', b"\xff"]
)
def test_an_invalid_command_is_refused_and_the_process_goes_on(group: HollowGroup, line: bytes) -> None:
    with pytest.raises(RuntimeError):
        group.processes[1].ask_raw(line)
    assert sorted(group.processes[1].ask("views")["views"]) == ["1", "2", "3", "4"]


def test_a_second_router_of_the_same_number_is_refused_and_the_first_goes_on(group: HollowGroup) -> None:
    path, operator = group.configure(3, group.lists[0].address, group.lists[0].engines)
    config = json.loads(Path(path).read_text())
    Path(path).write_text(json.dumps(config | {"peer_listen": f"{HOST}:{free_port(socket.SOCK_DGRAM)}"}))
    with pytest.raises(RuntimeError, match="there already"):
        group.processes[1].ask("start", [[path, operator]])
    assert wait_until(group.agreed, TIMEOUT_S) and group.views()[3][0] == COUNT


def test_a_death_is_known_to_all_and_frees_the_address(group: HollowGroup) -> None:
    group.kill(3)
    rest = [0, 1, 2, 4]
    assert wait_until(lambda: group.agreed(rest) and len(group.detection_seconds(3)) == len(rest), TIMEOUT_S)
    assert min(group.detection_seconds(3)) > 0.0
    host, port = group.addresses()[3]
    with socket.socket(type=socket.SOCK_DGRAM) as new_socket:
        new_socket.bind((host, port))  # its address is free again
    assert all(process.failures() == 0 for process in group.processes)


def test_what_a_router_counts_is_what_the_network_between_them_carried(tmp_path: Path) -> None:
    network, seen = FaultyNetwork(3, 1), defaultdict[tuple[int, str], list[int]](lambda: [0, 0])

    def count_datagram(sender: int, to: int, data: bytes) -> None:
        counted = seen[sender, KINDS[data[0]]]
        counted[0] += 1
        counted[1] += len(data)

    network.on_send = count_datagram
    ports = [free_port(socket.SOCK_DGRAM) for _ in range(3)]
    network.set_ports(ports)
    (tmp_path / "operator.lisp").write_text(FAST)
    files = []
    for me, port in enumerate(ports):
        text = router_configuration(
            1,
            port,
            (HOST, 9),
            make_engines(1),
            lab_settings(8, routers=3, router_index=me),
            group=network.addresses_for(me),
        )
        (tmp_path / f"{me}.json").write_text(text)
        files.append([str(tmp_path / f"{me}.json"), str(tmp_path / "operator.lisp")])
    process = Process(tmp_path, "three", 120)
    process.ask("start", files)
    assert wait_until(
        lambda: all(seen[n, kind][0] > 5 for n in range(3) for kind in KINDS.values()), TIMEOUT_S
    )
    counters = process.ask("kill", [0, 1, 2])["killed"]
    process.end()
    sent = {(int(n), kind): c for n, router in counters.items() for kind, c in router["sent"].items()}
    assert wait_until(lambda: sent == dict(seen), TIMEOUT_S), (sent, dict(seen))
    received = sum(c[0] for router in counters.values() for c in router["heard"].values())
    assert 0 < received <= network.delivered
    network.close()


def test_a_list_too_large_for_an_answer_is_never_taken_over() -> None:
    largest = max_listed_engines()
    assert answer_bytes(largest) <= 8000 < answer_bytes(largest + 1)
    assert measure_oversized_list(largest)[1:] == (largest, 0)
    size, listed, lines = measure_oversized_list(largest + 1)
    assert size > 8000 and listed == largest and lines > 0  # the router keeps its list


def has_ended(pid: int) -> bool:
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0] == "Z"
    except OSError:
        return True


def test_a_process_ends_with_its_input_or_after_its_seconds(tmp_path: Path) -> None:
    one, two = Process(tmp_path, "one", 120), Process(tmp_path, "two", 1)
    one.process.stdin.close()
    assert wait_until(lambda: one.process.poll() == 0, TIMEOUT_S)
    assert wait_until(lambda: two.process.poll() == -signal.SIGALRM, TIMEOUT_S)


def test_a_process_ends_when_its_controller_is_killed(tmp_path: Path) -> None:
    text = (
        "import sys, pathlib\nfrom marbleworks.lab.hollow import HollowGroup\n"
        "h = HollowGroup(2, 2, operator='', seconds=120).__enter__()\nh.start()\n"
        "print([p.pid for p in h.processes], flush=True)\nsys.stdin.read()\n"
    )
    environment = os.environ | {"TMPDIR": str(tmp_path)}
    controller = subprocess.Popen(
        [sys.executable, "-c", text], stdin=subprocess.PIPE, stdout=subprocess.PIPE, env=environment
    )
    assert controller.stdin is not None and controller.stdout is not None
    pids = json.loads(controller.stdout.readline())
    assert len(pids) == 2 and not any(has_ended(pid) for pid in pids)
    controller.kill()
    controller.wait()
    assert wait_until(lambda: all(has_ended(pid) for pid in pids), TIMEOUT_S)


def test_a_simulated_death_is_known_to_all_live_routers_before_the_restart() -> None:
    group = SimulatedGroup(6, 1)
    group.run(6.0)
    foreign_change = MemberChange(4, 1, MemberState.DEAD, "another's")
    group.schedule(group.now + 0.01, group.record_change, 0, foreign_change)
    known = measure_simulated_death(group, 2)
    assert len(known) == 5 and 0.1 < min(known) <= max(known) < 8.0
    assert group.views_agree() and len(group.live_routers()) == 6


def make_results(count: int, factor: float) -> GroupResults:
    counted = GroupUsage(
        3.0,
        0.01 * factor,
        0.02 * factor,
        {"peers": [2.0, 5.0 * factor]},
        {"peers": [9.0, 7.0 * factor]},
        0,
        0,
    )
    return GroupResults(
        count, counted, 1e5 * factor, [2], [1.0, 9.0, 3.0 * factor], [0.01, 0.02 * factor, 0.9], 3.0, 0
    )


def test_slopes_have_their_names_and_come_from_the_counters() -> None:
    sizes = [4, 8, 16, 32, 64, 128]
    counts = [(size, 0.001 * size) for size in sizes]
    made = {
        slope.name: slope
        for slope in fit_slopes(RunResults([make_results(n, n / 4) for n in sizes], counts, counts), 7)
    }
    assert set(made) == {
        "hollow_cpu",
        "hollow_bytes",
        "hollow_datagrams",
        "hollow_divider_bytes",
        "hollow_divider_cpu",
        "hollow_state",
        "hollow_death_seconds",
        "hollow_config_seconds",
        "hollow_list_cpu",
        "hollow_config_cpu",
    }
    assert made["hollow_bytes"].ys == tuple(5.0 * n / 4 for n in sizes)
    assert made["hollow_datagrams"].ys == (2.0,) * 6
    assert made["hollow_divider_bytes"].ys[1] == 14.0 and made["hollow_death_seconds"].ys[0] == 3.0
    assert all(slope.how == "processes" and slope.seed == 7 for slope in made.values())
    assert made["hollow_divider_cpu"].exponent == pytest.approx(1.0) and made["hollow_list_cpu"].error < 1e-3


class RecordingSocket:
    """A socket that records what is sent."""

    def __init__(self) -> None:
        self.sent_datagrams: list[bytes] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        """Records a datagram."""
        self.sent_datagrams.append(data)
        return len(data)


def test_a_dead_router_sends_and_counts_nothing() -> None:
    socket_stub = RecordingSocket()
    counting_socket = CountingSocket(socket_stub)
    counting_socket.sendto(b"\xd1 one", (HOST, 9))
    counting_socket.dead = True
    counting_socket.sendto(b"\xd1 two", (HOST, 9))
    assert socket_stub.sent_datagrams == [b"\xd1 one"] and counting_socket.sent == {"peers": [1, 5]}
