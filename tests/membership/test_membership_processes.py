"""Several routers as processes, and faults between them: killed, stopped, cut off, followed, lied to."""

import random
import signal
import time
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest

from marbleworks.lab.faultnet import FaultNet
from marbleworks.lab.load import Caller
from marbleworks.lab.stage import Stage
from marbleworks.lab.standins import RpcClient
from marbleworks.membership.codec import MemberState, MemberUpdate, Message, MessageType, encode, group_hash
from marbleworks.membership.report import format_view

ROUTERS, ALL = 5, range(5)
OPERATOR = "(peers (period 100 ms) (suspicion 600 ms) (term 1500 ms) (lease 1 s))"
WITHIN = 40.0  # seconds for anything: a busy machine is slow, and the verdict is the same


class Group:
    def __init__(self) -> None:
        self.net = FaultNet(ROUTERS, 7)
        self.stage = Stage(2, 4, OPERATOR, routers=ROUTERS, net=self.net, lines=True)
        self.stage.routers[2].module = "marbleworks.lab.stepped"
        for router in self.stage.routers:
            router.start()
        self.until(self.whole)

    def view(self, number: int) -> dict[str, Any]:
        client = RpcClient(self.stage.routers[number].address)
        client.send(0, 1, "health", [{"about": "peers"}])
        said: dict[str, Any] = client.hear(10.0)[3][1]
        client.sock.close()
        return said

    def living(self, number: int) -> list[int]:
        return [int(row[0]) for row in self.view(number)["rows"] if row[3] in ("up", "suspected")]

    def up(self, number: int) -> list[int]:
        return [int(row[0]) for row in self.view(number)["rows"] if row[3] == "up"]

    def agreed(self, among: Any) -> bool:
        return all(self.up(n) == list(among) for n in among)

    def parts(self, among: Any = ALL) -> float:
        return sum(float(self.view(n)["part"]) for n in among)

    def whole(self) -> bool:
        """All agree on all, and each has its part."""
        return self.agreed(ALL) and all(self.view(n)["right"] != "keeps" for n in ALL)

    def until(self, true: Callable[[], bool]) -> None:
        with gevent.Timeout(WITHIN):
            while not true():
                gevent.sleep(0.05)

    def close(self) -> None:
        self.stage._end()
        self.net.close()


@pytest.fixture(scope="module")
def group() -> Iterator[Group]:
    made = Group()
    yield made
    made.close()


def test_a_group_knows_itself_and_shows_it(group: Group) -> None:
    lines = format_view(group.view(2))
    assert lines[0].startswith("router 2: whole") and len(lines) == 5 + ROUTERS
    assert sum(group.view(n)["right"] == "divides" for n in range(ROUTERS)) == 1
    assert all(group.view(n)["among"] == "5" for n in range(ROUTERS))


def test_one_is_killed_and_comes_back_as_another(group: Group) -> None:
    group.stage.routers[3].end(signal.SIGKILL)
    rest = [0, 1, 2, 4]
    group.until(lambda: group.agreed(rest))
    group.until(lambda: group.parts(rest) == pytest.approx(0.75 + 0.25 * 4 / 5, abs=1e-3))
    group.stage.routers[3].start()
    group.until(group.whole)
    assert group.view(0)["rows"][3][1] == "2" and group.view(3)["rows"][3][1] == "2"  # its second start


def test_one_that_is_stopped_for_five_seconds_removes_nobody_when_it_goes_on(group: Group) -> None:
    before = len(group.stage.routers[1].log())
    group.stage.routers[1].tell(signal.SIGSTOP)
    group.until(lambda: group.agreed([0, 2, 3, 4]))
    gevent.sleep(5.0)  # the fault itself
    group.stage.routers[1].tell(signal.SIGCONT)
    group.until(lambda: group.agreed(range(ROUTERS)))
    assert "member dead" not in group.stage.routers[1].log()[before:]
    assert group.view(1)["rows"][1][1] == "1"  # the same one, which refuted


@pytest.mark.parametrize("parts", [((0, 1), (2, 3, 4)), ((0, 1), (2, 3), (4,))])
def test_a_cut_leaves_the_right_to_most_of_the_group(parts: Any, group: Group) -> None:
    group.net.part(*parts)
    for part in parts:
        group.until(lambda part=part: group.agreed(part))
    most = [part for part in parts if len(part) > ROUTERS / 2]
    few = [n for part in parts if part not in most for n in part]
    group.until(lambda: all(group.view(n)["right"] == "keeps" for n in few))
    group.until(lambda: not most or group.parts(most[0]) == pytest.approx(0.75 + 0.15, abs=1e-3))
    assert sum(group.view(n)["right"] == "divides" for n in range(ROUTERS)) == len(most)
    assert group.parts() <= 1.0 + 1e-3
    group.net.part()
    group.until(group.whole)


def test_a_planned_stop_is_known_at_once(group: Group) -> None:
    router = group.stage.routers[2]
    router.tell(signal.SIGTERM)
    group.until(lambda: all(group.view(n)["rows"][2][3] == "left" for n in (0, 1, 3, 4)))
    router.end()
    assert "planned stop" in group.stage.routers[0].log()
    router.start()
    group.until(group.whole)


@pytest.mark.parametrize(("loss", "jitter"), [(0.1, 0.05), (0.3, 0.2)])
def test_loss_and_spread_and_a_liar_remove_no_healthy_router_for_good(
    loss: float, jitter: float, group: Group
) -> None:
    chance, sealed = random.Random(5), group_hash("routers 5")
    group.net.loss, group.net.jitter, group.net.doubled = loss, jitter, 0.2
    logs = [len(router.log()) for router in group.stage.routers]
    until = time.monotonic() + 4.0  # of load, not of waiting
    while time.monotonic() < until:
        to, about = chance.randrange(4), chance.randrange(4)
        news = MemberUpdate(
            chance.choice([1, 2, 3, 1 << 30]), chance.choice([0, 9, 1 << 30]), MemberState.DEAD, about
        )
        group.net.send(4, to, encode(sealed, Message(MessageType.PING, 1, view_digest=9, updates=(news,))))
        group.net.send(4, to, chance.randbytes(chance.randrange(1, 256)))
        group.net.send(4, to, b"\xd1" + chance.randbytes(60))
        gevent.sleep(0.02)
    group.net.loss = group.net.jitter = group.net.doubled = 0.0
    group.until(lambda: group.agreed(range(ROUTERS)))
    for router, start in zip(group.stage.routers[:4], logs, strict=False):
        assert '"event": "failed"' not in router.log() and "member superseded" not in router.log()[start:]
    assert int(group.view(0)["unreadable"]) > 0


def test_all_are_started_anew_one_after_the_other(group: Group) -> None:
    for number, router in enumerate(group.stage.routers):
        assert router.end() == 0
        router.start()
        group.until(lambda number=number: number in group.up((number + 1) % ROUTERS))
    group.until(group.whole)


def test_a_second_process_of_a_name_is_noticed_by_both_and_the_older_yields(group: Group) -> None:
    twin = group.stage.twin(3, group.net)
    start = int(group.view(3)["rows"][3][1])
    twin.start()
    try:
        group.until(lambda: group.view(3)["yielded"] == "yes")
        group.until(lambda: all(group.view(n)["rows"][3][1] == str(start + 1) for n in (0, 1, 2, 4)))
        assert group.stage.routers[3].log().count("member superseded") == 1
        assert "member superseded" not in twin.log()
    finally:
        del group.net.twins[3]
        twin.end(signal.SIGKILL)
    group.stage.routers[3].end(signal.SIGKILL)
    group.stage.routers[3].start()
    group.until(group.whole)
    assert group.view(3)["rows"][3][1] == str(start + 2)


@pytest.mark.parametrize("step", [3600.0, -7200.0])
def test_a_clock_that_steps_changes_nothing(step: float, group: Group) -> None:
    router = group.stage.routers[2]
    router.end()
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv("MARBLEWORKS_LAB_STEP", str(step))
        router.start()
    group.until(group.whole)
    views, logs = [group.living(n) for n in ALL], [len(r.log()) for r in group.stage.routers]
    router.tell(signal.SIGUSR1)
    serial = group.net.passed
    group.until(lambda: group.net.passed > serial + 600)  # some rounds of probes and votes
    assert [group.living(n) for n in ALL] == views
    told = [
        line for r, at in zip(group.stage.routers, logs, strict=True) for line in r.log()[at:].splitlines()
    ]
    assert [
        line for line in told if '"event": "member dead"' in line or '"event": "member alive"' in line
    ] == []


def test_a_router_cut_from_its_engines_answers_each_command_and_stays_in_the_group(group: Group) -> None:
    lines, views = group.stage.lines[1], [group.living(n) for n in ALL]
    lines.hold("engines", True, False)
    near, far = Caller(lines.front, "oslo", 1), Caller(group.stage.lines[0].front, "oslo", 2)
    assert near.ask("date-lookup", 20, 600).end in ("shed", "failed")
    assert far.ask("date-lookup", 20, 600).end == "answered"
    lines.hold("engines")
    group.until(lambda: near.ask("date-lookup", 20, 600).end == "answered")
    lines.reset("engines")
    group.until(lambda: near.ask("date-lookup", 20, 600).end == "answered")
    assert [group.living(n) for n in ALL] == views


def test_a_star_whose_middle_dies_leaves_each_alone(group: Group) -> None:
    logs = [len(router.log()) for router in group.stage.routers]
    group.net.cut = lambda sender, to: 0 not in (sender, to)
    before = group.net.passed
    group.until(lambda: group.net.passed > before + 800)
    assert group.agreed(range(ROUTERS)) and group.parts() == pytest.approx(1.0, abs=1e-3)
    assert not any("member dead" in r.log()[at:] for r, at in zip(group.stage.routers, logs, strict=True))
    group.stage.routers[0].end(signal.SIGKILL)
    group.until(lambda: all(group.view(n)["cut"] == "alone" for n in (1, 2, 3, 4)))
    assert group.parts([1, 2, 3, 4]) == pytest.approx(0.2, abs=1e-3)
    group.net.part()
    group.stage.routers[0].start()
    group.until(group.whole)


def test_all_but_one_are_killed_and_it_only_keeps_its_own(group: Group) -> None:
    for number in (0, 2, 3, 4):
        group.stage.routers[number].end(signal.SIGKILL)
    group.until(lambda: group.view(1)["cut"] == "alone" and group.view(1)["right"] == "keeps")
    assert float(group.view(1)["part"]) == pytest.approx(0.05, abs=1e-3)
