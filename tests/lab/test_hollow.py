"""Hollow routers: what the controller starts, kills, cuts and counts is what happens on the sockets."""

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

from marbleworks.lab.faultnet import FaultNet
from marbleworks.lab.group import Group
from marbleworks.lab.hollow import (
    Counted,
    Hollows,
    Measured,
    Process,
    Run,
    answer_bytes,
    beyond_bound,
    engines_of,
    most_listed,
    simulated_death,
    slopes_of,
)
from marbleworks.lab.hollow_process import KINDS, Wire
from marbleworks.lab.stage import free_port, settings, until
from marbleworks.lab.standins import HOST, configuration
from marbleworks.membership.failure_detector import MemberChange
from marbleworks.membership.messages import MemberState

FAST = "(peers (period 100 ms) (suspicion 400 ms) (term 1 s) (lease 600 ms)) (budgets)"
COUNT, WITHIN = 5, 30.0  # seconds for anything: a busy machine is slow, and the verdict is the same


@pytest.fixture(scope="module")
def group() -> Iterator[Hollows]:
    with Hollows(COUNT, 2, operator=FAST, seconds=120) as hollows:
        hollows.start()
        assert until(hollows.divided, WITHIN)
        yield hollows


def test_two_processes_of_hollow_routers_are_one_group(group: Hollows) -> None:
    assert group.parts == [[0], [1, 2, 3, 4]]
    rights = [view[2] for _, view in sorted(group.views().items())]
    assert rights == ["divides"] + ["has a part"] * (COUNT - 1)
    counts: list[Counted] = []

    def quiet() -> bool:  # a busy machine may have one suspected for a moment
        counts.append(group.between(0.5))
        return counts[-1].changes == 0

    assert until(quiet, WITHIN)
    counted = counts[-1]
    assert set(counted.sent) == {"peers", "budgets"} and counted.cpu > 0.0
    assert counted.first["budgets"][0] > counted.sent["budgets"][0]  # it answers all the others


def test_those_who_cannot_hear_each_other_are_two_groups_until_they_can(group: Hollows) -> None:
    def cut(_: float) -> None:
        group.part([0, 1, 2], [3, 4])
        assert until(lambda: group.agreed([0, 1, 2]) and group.agreed([3, 4]), WITHIN)

    assert group.between(0.0, meanwhile=cut).changes >= 2 * 3 + 3 * 2  # so this is known as no quiet time
    assert all(router["cut"] for said in group.counts() for router in said["routers"].values())
    group.part()
    assert until(group.divided, WITHIN)


def test_a_configuration_is_in_force_once_every_router_asks_the_new_list(group: Hollows) -> None:
    seconds, cpu = group.reconfigure()
    assert 0.0 < cpu < seconds < WITHIN
    assert len(group.lists[0].asked) == COUNT  # by as many sockets


@pytest.mark.parametrize(
    "line", [b"{", b"[]", b"{}", b'{"no": 1}', b'{"kill": [4, 99]}', b'{"start": [["nowhere", ""]]}', b"\xff"]
)
def test_a_bad_line_costs_that_line_alone(group: Hollows, line: bytes) -> None:
    with pytest.raises(RuntimeError):
        group.processes[1].ask_raw(line)
    assert sorted(group.processes[1].ask("views")["views"]) == ["1", "2", "3", "4"]


def test_a_second_router_of_a_number_is_refused_and_the_first_lives_on(group: Hollows) -> None:
    path, operator = group.configure(3, group.lists[0].address, group.lists[0].engines)
    told = json.loads(Path(path).read_text())
    Path(path).write_text(json.dumps(told | {"peer_listen": f"{HOST}:{free_port(socket.SOCK_DGRAM)}"}))
    with pytest.raises(RuntimeError, match="there already"):
        group.processes[1].ask("start", [[path, operator]])
    assert until(group.agreed, WITHIN) and group.views()[3][0] == COUNT


def test_a_kill_is_known_to_all_and_nothing_of_the_dead_is_sent(group: Hollows) -> None:
    group.kill(3)
    rest = [0, 1, 2, 4]
    assert until(lambda: group.agreed(rest) and len(group.known(3)) == len(rest), WITHIN)
    assert min(group.known(3)) > 0.0
    host, port = group.addresses()[3]
    with socket.socket(type=socket.SOCK_DGRAM) as again:
        again.bind((host, port))  # its address is free again
    assert all(process.failures() == 0 for process in group.processes)


def test_what_a_router_counts_is_what_the_network_between_them_carried(tmp_path: Path) -> None:
    net, seen = FaultNet(3, 1), defaultdict[tuple[int, str], list[int]](lambda: [0, 0])

    def spy(sender: int, to: int, data: bytes) -> None:
        counted = seen[sender, KINDS[data[0]]]
        counted[0] += 1
        counted[1] += len(data)

    net.spy = spy
    ports = [free_port(socket.SOCK_DGRAM) for _ in range(3)]
    net.listen(ports)
    (tmp_path / "operator.lisp").write_text(FAST)
    files = []
    for me, port in enumerate(ports):
        text = configuration(
            1, port, (HOST, 9), engines_of(1), settings(8, routers=3, me=me), group=net.of(me)
        )
        (tmp_path / f"{me}.json").write_text(text)
        files.append([str(tmp_path / f"{me}.json"), str(tmp_path / "operator.lisp")])
    process = Process(tmp_path, "three", 120)
    process.ask("start", files)
    assert until(lambda: all(seen[n, kind][0] > 5 for n in range(3) for kind in KINDS.values()), WITHIN)
    told = process.ask("kill", [0, 1, 2])["killed"]
    process.end()
    sent = {(int(n), kind): c for n, router in told.items() for kind, c in router["sent"].items()}
    assert until(lambda: sent == dict(seen), WITHIN), (sent, dict(seen))
    heard = sum(c[0] for router in told.values() for c in router["heard"].values())
    assert 0 < heard <= net.passed
    net.close()


def test_a_list_that_has_no_room_in_an_answer_is_never_taken() -> None:
    most = most_listed()
    assert answer_bytes(most) <= 8000 < answer_bytes(most + 1)
    assert beyond_bound(most)[1:] == (most, 0)
    size, listed, lines = beyond_bound(most + 1)
    assert size > 8000 and listed == most and lines > 0  # it goes on with what it had


def gone(pid: int) -> bool:
    try:
        with open(f"/proc/{pid}/stat") as file:
            return file.read().rpartition(")")[2].split()[0] == "Z"
    except OSError:
        return True


def test_a_process_ends_with_its_input_or_after_its_seconds(tmp_path: Path) -> None:
    one, two = Process(tmp_path, "one", 120), Process(tmp_path, "two", 1)
    one.process.stdin.close()
    assert until(lambda: one.process.poll() == 0, WITHIN)
    assert until(lambda: two.process.poll() == -signal.SIGALRM, WITHIN)


def test_a_process_ends_when_its_controller_is_killed(tmp_path: Path) -> None:
    text = (
        "import sys, pathlib\nfrom marbleworks.lab.hollow import Hollows\n"
        "h = Hollows(2, 2, operator='', seconds=120).__enter__()\nh.start()\n"
        "print([p.pid for p in h.processes], flush=True)\nsys.stdin.read()\n"
    )
    environment = os.environ | {"TMPDIR": str(tmp_path)}
    controller = subprocess.Popen(
        [sys.executable, "-c", text], stdin=subprocess.PIPE, stdout=subprocess.PIPE, env=environment
    )
    assert controller.stdin is not None and controller.stdout is not None
    pids = json.loads(controller.stdout.readline())
    assert len(pids) == 2 and not any(gone(pid) for pid in pids)
    controller.kill()
    controller.wait()
    assert until(lambda: all(gone(pid) for pid in pids), WITHIN)


def test_a_simulated_death_is_known_to_all_the_living_and_then_undone() -> None:
    group = Group(6, 1)
    group.run(6.0)
    another = MemberChange(4, 1, MemberState.DEAD, "another's")
    group.at(group.now + 0.01, group.changed, 0, another)
    known = simulated_death(group, 2)
    assert len(known) == 5 and 0.1 < min(known) <= max(known) < 8.0
    assert group.agreed() and len(group.living()) == 6


def told(count: int, by: float) -> Measured:
    counted = Counted(3.0, 0.01 * by, 0.02 * by, {"peers": [2.0, 5.0 * by]}, {"peers": [9.0, 7.0 * by]}, 0, 0)
    return Measured(count, counted, 1e5 * by, [2], [1.0, 9.0, 3.0 * by], [0.01, 0.02 * by, 0.9], 3.0, 0)


def test_slopes_have_their_names_and_come_from_what_was_counted() -> None:
    sizes = [4, 8, 16, 32, 64, 128]
    counts = [(size, 0.001 * size) for size in sizes]
    made = {slope.name: slope for slope in slopes_of(Run([told(n, n / 4) for n in sizes], counts, counts), 7)}
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


class Sink:
    """In place of a socket: what it was given."""

    def __init__(self) -> None:
        self.taken: list[bytes] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        self.taken.append(data)
        return len(data)


def test_from_its_death_on_nothing_of_a_router_is_sent_or_counted() -> None:
    sink = Sink()
    wire = Wire(sink)
    wire.sendto(b"\xd1 one", (HOST, 9))
    wire.dead = True
    wire.sendto(b"\xd1 two", (HOST, 9))
    assert sink.taken == [b"\xd1 one"] and wire.sent == {"peers": [1, 5]}
