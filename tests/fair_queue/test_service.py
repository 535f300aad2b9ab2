"""The door between a front and the decisions, on sockets: queues, cancels, timeouts, stops, faults."""

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent.lock import BoundedSemaphore
from typer.testing import CliRunner

from marbleworks.cli import app
from marbleworks.fair_queue.peer_usage import PeerUsage, name_hash
from marbleworks.fair_queue.service import FairQueueService
from marbleworks.fair_queue.trace_report import explained
from marbleworks.lab.standins import HOST, RpcClient, SqlEngine, answer
from marbleworks.model import EngineEntry, EngineStatus
from marbleworks.net.actor import clock
from marbleworks.net.client_listener import ClientListener
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.engine_client import engine_client_factory
from marbleworks.scheduling.request_state import CLOSE_CALL_RATIO
from marbleworks.settings import Settings
from marbleworks.subsystems.registry import parse_sections
from tests.support.stand_ins import SETTINGS

KINDS = {**SETTINGS["specifics"], "cores_by_kind": [2]}
SMALL = Settings(
    SETTINGS | {"specifics": KINDS, "orgs": [{"name": n, "quota_per_s": 0} for n in ("acme", "big")]}
)


@pytest.fixture(autouse=True)
def bounded() -> Iterator[None]:
    with gevent.Timeout(30):
        yield


class Router:
    """Two cores behind a door; an engine that takes so long for each command."""

    def __init__(self, seconds: float = 0.1, terms: str = "", deployment: Settings = SMALL) -> None:
        def reply(call: str, fields: dict[str, str], body: bytes) -> bytes:
            if call.startswith("POST"):
                gevent.sleep(seconds)
            return answer(200, b"a\tb\tc\n", X_Sheets=1, X_Toil=1000 * seconds, X_Room=8)

        self.engine = SqlEngine(reply)
        self.desk = Dispatcher(
            deployment, 7, engine_client_factory(deployment, BoundedSemaphore(200)), lambda data: None
        )
        self.desk.admission = self.porter = FairQueueService(
            parse_sections(f"(door {terms})")["door"], self.desk, deployment
        )
        listing = [(EngineEntry(0, "s-0", 0, 0, 0, EngineStatus.UP, 0.0), self.engine.address)]
        self.desk.post(self.desk.update_engines, listing, True)
        self.listener = ClientListener((HOST, 0), self.desk, deployment, BoundedSemaphore(200))
        gevent.sleep(0.05)

    def client(self) -> RpcClient:
        return RpcClient(self.listener.sock.getsockname())

    def at_rest(self) -> bool:
        door = self.porter.door
        empty = not (door.waiting or door.inside or door.owed or door.counts or self.porter.held)
        return empty and not (self.porter.alone or self.desk.open_requests) and door.window.out == 0


def until(true: Any, wait: float = 5.0) -> None:
    with gevent.Timeout(wait):
        while not true():
            gevent.sleep(0.005)


def ask(client: RpcClient, n: int, profile: str = "look", **fields: str) -> int:
    return client.ask(profile, f"select {n} from t", ref=f"{id(client) & 0xFFFFFFFF:08x}{n:08x}", **fields)


def test_alone_a_command_goes_straight_through_and_leaves_nothing_behind() -> None:
    router = Router(0.0)
    client = router.client()
    for n in range(20):
        ask(client, n)
        assert client.hear()[3]
    until(router.at_rest)
    assert router.porter.door.most_size == 0  # nothing ever waited


def test_a_flood_waits_or_is_turned_away_with_a_time_and_a_quiet_member_is_served() -> None:
    router = Router(0.1)
    floods, quiet = [router.client() for _ in range(6)], router.client()
    for n in range(30):
        for client in floods:
            ask(client, n, tenant="big", cost="100")
    gevent.sleep(0.2)
    longest = 0.0
    for n in range(8):
        began = time.monotonic()
        ask(quiet, n, tenant="acme", cost="100")
        assert quiet.hear()[3]
        longest = max(longest, time.monotonic() - began)
    assert longest < 0.6
    said = [client.hear() for client in floods for _ in range(30)]
    shed = [err for _, _, err, _ in said if err is not None]
    assert shed and all(err[0] == "Rejected" and 0 < int(err[1]["after"]) <= 2000 for err in shed)
    assert sum(err is None for _, _, err, _ in said) + len(shed) == 180
    until(router.at_rest)


def test_one_who_comes_back_when_told_is_let_in_ahead_of_newcomers() -> None:
    router = Router(0.1)
    client, others = router.client(), [router.client() for _ in range(2)]
    for n in range(14):
        for other in others:
            ask(other, n, tenant="big", cost="100")
    n, after = 100, 2.0
    while after >= 2.0:  # as the queues empty, a time comes within what clients heed
        n += 1
        gevent.sleep(0.05)
        ask(client, n, tenant="big", cost="100", wait="400")  # it can not wait for its turn
        err = client.hear()[2]
        assert err is not None and err[0] == "Rejected", "let in before any time was promised"
        after = int(err[1]["after"]) / 1000
    gevent.sleep(after)
    client.ask("look", f"select {n} from t", ref="f" * 16, tenant="big", cost="100", wait="3000")
    assert client.hear()[3] and router.porter.door.bookings.kept == 1
    until(router.at_rest, 8.0)


def test_cancels_hang_ups_and_timeouts_at_the_door_free_the_place_at_once() -> None:
    router = Router(0.5)
    busy, client, gone = router.client(), router.client(), router.client()
    for n in range(8):
        ask(busy, n, tenant="big", cost="100", wait="4000")
    calls = [ask(client, n, cost="100", wait="4000") for n in range(3)]
    short = client.ask("look", "select 9 from t", ref="e" * 16, cost="1", wait="250")
    for n in range(3):
        ask(gone, n, cost="100", wait="4000")
    until(lambda: len(router.porter.door.waiting) >= 8)
    began = clock()
    client.send(2, "cancel", [calls[1]])
    gone.sock.close()
    said = client.hear()
    assert said[1] == short and said[2][0] == "Rejected" and clock() - began < 0.4
    until(lambda: len(router.porter.held) <= 7, 0.5)
    assert {client.hear()[1] for _ in range(2)} == {calls[0], calls[2]}
    until(router.at_rest, 8.0)


def test_what_waits_when_the_router_stops_has_its_answer_by_then() -> None:
    router = Router(1.0)
    clients = [router.client() for _ in range(3)]
    for client in clients:
        for n in range(6):
            ask(client, n, tenant="big", cost="100", wait="4000")
    gevent.sleep(0.1)
    router.desk.post(router.desk.stop, clock() + 0.5)
    began = time.monotonic()
    said = [client.hear() for client in clients for _ in range(6)]
    assert len(said) == 18 and time.monotonic() - began < 0.8
    until(lambda: not router.porter.held)


def test_a_mistake_at_the_door_costs_that_command_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    router = Router(0.0)
    client, arrive = router.client(), router.porter.door.arrive

    def broken(new: Any, now: float) -> None:
        if new.work > 1.0:
            raise RuntimeError("on purpose")
        arrive(new, now)

    monkeypatch.setattr(router.porter.door, "arrive", broken)
    ask(client, 1, cost="2000")
    assert client.hear()[2] == ["Failed", {"why": "failed"}]
    ask(client, 2)
    assert client.hear()[3]


def test_an_engine_that_drains_when_a_promise_is_due_breaks_no_rule() -> None:
    router = Router(0.1)
    client = router.client()
    for n in range(30):
        ask(client, n, tenant="big", cost="100")
    gevent.sleep(0.15)
    gone = [(EngineEntry(0, "s-0", 0, 0, 0, EngineStatus.DRAINING, 0.0), router.engine.address)]
    router.desk.post(router.desk.update_engines, gone, True)
    gevent.sleep(0.05)
    sent = len(router.engine.asked("POST"))
    said = [client.hear() for _ in range(30)]
    assert len(said) == 30 and len(router.engine.asked("POST")) == sent
    until(router.at_rest)


def test_what_peers_let_in_counts() -> None:
    router = Router(0.05)
    client = router.client()
    for n in range(12):
        ask(client, n, tenant="big", cost="50", wait="4000")
        ask(client, 100 + n, tenant="acme", cost="50", wait="4000")
    until(lambda: len(router.porter.door.waiting) > 3)
    door, peer = router.porter.door, PeerUsage()
    peer.add(name_hash("big"), 3.0)
    before = {key: flow.finish for key, flow in door.fair.flows.items()}
    router.desk.post(router.porter.heard, 1, peer.summary())
    gevent.sleep(0.05)
    big = door.standing["big"]
    assert door.fair.flows[big].finish > before[big]
    for _ in range(24):
        client.hear()
    until(router.at_rest, 8.0)


def test_nothing_waits_so_long_at_the_door_that_the_decisions_would_give_it_up() -> None:
    router = Router(0.02)
    door, seen = router.porter.door, list[Any]()
    arrive = door.arrive
    door.arrive = lambda new, now: (seen.append(new), arrive(new, now))[1]  # type: ignore[method-assign]
    client = router.client()
    ask(client, 1, cost="20", wait="4000")
    assert client.hear()[2] is None
    profile = SMALL.request_classes[0]
    latest = CLOSE_CALL_RATIO * (profile.latency_target_s + profile.latency_target_growth * 0.02)
    assert seen[0].patience <= latest and seen[0].left <= latest < 4.0


def test_a_reload_changes_bounds_and_weights(monkeypatch: pytest.MonkeyPatch) -> None:
    router = Router(0.0)
    router.porter.change({"waiting": 3, "weight": {"acme": 5.0}})
    assert router.porter.door.bounds.count == 3 and router.porter.door.members.of("acme", "") == ("acme", 5.0)


def test_decisions_are_explained_from_a_log(tmp_path: Path) -> None:
    lines = [
        {"event": "door", "ref": "a", "member": "m1", "why": "queued", "seconds": 0.0, "timestamp": "t1"},
        {"event": "door", "ref": "a", "member": "m1", "why": "let in", "seconds": 0.4, "timestamp": "t2"},
        {"event": "door", "ref": "b", "member": "m2", "why": "too late", "seconds": 1.5, "timestamp": "t3"},
        {"event": "door", "ref": "c", "member": "m2", "why": "full", "seconds": None, "timestamp": "t4"},
        {"event": "ended"},
    ]
    text = [*map(json.dumps, lines), "no json", "[1]"]
    assert list(explained(text)) == [
        "m1: 1 queued, 1 let in, longest wait 0.400 s",
        "m2: 1 too late, 1 full, longest wait 0.000 s, 1 promised, 1.5 to 1.5 s",
    ]
    assert [line.split(": ")[1] for line in explained(text, "b")] == [
        "would have missed its latency target behind the waiting requests; retry promised after 1.5 s"
    ]
    (tmp_path / "log").write_text("\n".join(text))
    done = CliRunner().invoke(app, ["door", "explain", str(tmp_path / "log"), "--ref", "a"])
    assert done.exit_code == 0 and "admitted in its turn after 0.4 s" in done.output
    assert CliRunner().invoke(app, ["door", "explain", str(tmp_path / "none")]).exit_code == 1
