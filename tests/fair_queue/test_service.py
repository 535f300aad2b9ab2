"""Tests of admission control in a router, on sockets: queues, cancels, timeouts, stops and faults."""

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
from marbleworks.fair_queue.trace_report import explain_decisions
from marbleworks.lab.standins import HOST, RpcClient, SqlEngine, http_response
from marbleworks.model import EngineEntry, EngineStatus
from marbleworks.net.actor import clock
from marbleworks.net.client_listener import ClientListener
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.engine_client import engine_client_factory
from marbleworks.scheduling.request_state import NEAR_TARGET_RATIO
from marbleworks.settings import Settings
from marbleworks.subsystems.registry import parse_sections
from tests.support.stand_ins import SETTINGS

SPECIFICS = {**SETTINGS["specifics"], "cores_by_kind": [2]}
SMALL_DEPLOYMENT = Settings(
    SETTINGS | {"specifics": SPECIFICS, "orgs": [{"name": n, "quota_per_s": 0} for n in ("acme", "big")]}
)


@pytest.fixture(autouse=True)
def time_limit() -> Iterator[None]:
    with gevent.Timeout(30):
        yield


class Router:
    """A router with admission control and one engine of two cores.

    Args:
        seconds: What the engine takes for each request.
        section_text: Settings of the section `door`, in the syntax of the operator's file.
        deployment: The deployment's settings.
    """

    def __init__(
        self, seconds: float = 0.1, section_text: str = "", deployment: Settings = SMALL_DEPLOYMENT
    ) -> None:
        def reply(call: str, fields: dict[str, str], body: bytes) -> bytes:
            if call.startswith("POST"):
                gevent.sleep(seconds)
            return http_response(200, b"a\tb\tc\n", X_Sheets=1, X_Toil=1000 * seconds, X_Room=8)

        self.engine = SqlEngine(reply)
        self.dispatcher = Dispatcher(
            deployment, 7, engine_client_factory(deployment, BoundedSemaphore(200)), lambda data: None
        )
        self.dispatcher.admission = self.admission = FairQueueService(
            parse_sections(f"(door {section_text})")["door"], self.dispatcher, deployment
        )
        listings = [(EngineEntry(0, "s-0", 0, 0, 0, EngineStatus.UP, 0.0), self.engine.address)]
        self.dispatcher.post(self.dispatcher.update_engines, listings, True)
        self.listener = ClientListener((HOST, 0), self.dispatcher, deployment, BoundedSemaphore(200))
        gevent.sleep(0.05)

    def client(self) -> RpcClient:
        return RpcClient(self.listener.sock.getsockname())

    def is_idle(self) -> bool:
        controller = self.admission.controller
        is_empty = not (
            controller.waiting
            or controller.admitted
            or controller.admitted_work
            or controller.waiting_counts
            or self.admission.held_requests
        )
        return (
            is_empty
            and not (self.admission.idle_engine_s or self.dispatcher.open_requests)
            and controller.concurrency_limit.in_flight == 0
        )


def wait_until(condition: Any, timeout_s: float = 5.0) -> None:
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.005)


def send_request(client: RpcClient, n: int, profile: str = "look", **fields: str) -> int:
    return client.send_request(
        profile, f"select {n} from t", ref=f"{id(client) & 0xFFFFFFFF:08x}{n:08x}", **fields
    )


def test_a_request_without_contention_is_admitted_at_once_and_leaves_no_state() -> None:
    router = Router(0.0)
    client = router.client()
    for n in range(20):
        send_request(client, n)
        assert client.receive()[3]
    wait_until(router.is_idle)
    assert router.admission.controller.peak_waiting_bytes == 0  # nothing ever waited


def test_a_flood_waits_or_is_shed_with_a_retry_after_and_a_quiet_tenant_is_served() -> None:
    router = Router(0.1)
    flooding, quiet = [router.client() for _ in range(6)], router.client()
    for n in range(30):
        for client in flooding:
            send_request(client, n, tenant="big", cost="100")
    gevent.sleep(0.2)
    longest = 0.0
    for n in range(8):
        started_at = time.monotonic()
        send_request(quiet, n, tenant="acme", cost="100")
        assert quiet.receive()[3]
        longest = max(longest, time.monotonic() - started_at)
    assert longest < 0.6
    answers = [client.receive() for client in flooding for _ in range(30)]
    shed = [err for _, _, err, _ in answers if err is not None]
    assert shed and all(err[0] == "Rejected" and 0 < int(err[1]["after"]) <= 2000 for err in shed)
    assert sum(err is None for _, _, err, _ in answers) + len(shed) == 180
    wait_until(router.is_idle)


def test_a_retry_at_its_promised_time_is_admitted_ahead_of_new_requests() -> None:
    router = Router(0.1)
    client, others = router.client(), [router.client() for _ in range(2)]
    for n in range(14):
        for other in others:
            send_request(other, n, tenant="big", cost="100")
    n, retry_after_s = 100, 2.0
    # Until the queues are short enough, no retry is promised within the longest Retry-After.
    while retry_after_s >= 2.0:
        n += 1
        gevent.sleep(0.05)
        send_request(client, n, tenant="big", cost="100", wait="400")  # too short to wait for its turn
        err = client.receive()[2]
        assert err is not None and err[0] == "Rejected", "admitted before any retry was promised"
        retry_after_s = int(err[1]["after"]) / 1000
    gevent.sleep(retry_after_s)
    client.send_request("look", f"select {n} from t", ref="f" * 16, tenant="big", cost="100", wait="3000")
    assert client.receive()[3] and router.admission.controller.promises.kept_count == 1
    wait_until(router.is_idle, 8.0)


def test_cancels_disconnects_and_timeouts_of_waiting_requests_free_the_place_at_once() -> None:
    router = Router(0.5)
    busy, client, leaving = router.client(), router.client(), router.client()
    for n in range(8):
        send_request(busy, n, tenant="big", cost="100", wait="4000")
    call_ids = [send_request(client, n, cost="100", wait="4000") for n in range(3)]
    short_id = client.send_request("look", "select 9 from t", ref="e" * 16, cost="1", wait="250")
    for n in range(3):
        send_request(leaving, n, cost="100", wait="4000")
    wait_until(lambda: len(router.admission.controller.waiting) >= 8)
    started_at = clock()
    client.send(2, "cancel", [call_ids[1]])
    leaving.sock.close()
    answer_message = client.receive()
    assert answer_message[1] == short_id and answer_message[2][0] == "Rejected" and clock() - started_at < 0.4
    wait_until(lambda: len(router.admission.held_requests) <= 7, 0.5)
    assert {client.receive()[1] for _ in range(2)} == {call_ids[0], call_ids[2]}
    wait_until(router.is_idle, 8.0)


def test_requests_that_wait_when_the_router_stops_are_answered_before_its_end() -> None:
    router = Router(1.0)
    clients = [router.client() for _ in range(3)]
    for client in clients:
        for n in range(6):
            send_request(client, n, tenant="big", cost="100", wait="4000")
    gevent.sleep(0.1)
    router.dispatcher.post(router.dispatcher.stop, clock() + 0.5)
    started_at = time.monotonic()
    answers = [client.receive() for client in clients for _ in range(6)]
    assert len(answers) == 18 and time.monotonic() - started_at < 0.8
    wait_until(lambda: not router.admission.held_requests)


def test_an_exception_in_admission_fails_only_that_request(monkeypatch: pytest.MonkeyPatch) -> None:
    router = Router(0.0)
    client, submit = router.client(), router.admission.controller.submit

    def failing_submit(request: Any, now: float) -> None:
        if request.work > 1.0:
            raise RuntimeError("on purpose")
        submit(request, now)

    monkeypatch.setattr(router.admission.controller, "submit", failing_submit)
    send_request(client, 1, cost="2000")
    assert client.receive()[2] == ["Failed", {"why": "failed"}]
    send_request(client, 2)
    assert client.receive()[3]


def test_a_draining_engine_gets_no_request_when_a_promise_is_due() -> None:
    router = Router(0.1)
    client = router.client()
    for n in range(30):
        send_request(client, n, tenant="big", cost="100")
    gevent.sleep(0.15)
    draining = [(EngineEntry(0, "s-0", 0, 0, 0, EngineStatus.DRAINING, 0.0), router.engine.address)]
    router.dispatcher.post(router.dispatcher.update_engines, draining, True)
    gevent.sleep(0.05)
    sent_count = len(router.engine.calls_of("POST"))
    answers = [client.receive() for _ in range(30)]
    assert len(answers) == 30 and len(router.engine.calls_of("POST")) == sent_count
    wait_until(router.is_idle)


def test_work_admitted_by_peers_is_charged() -> None:
    router = Router(0.05)
    client = router.client()
    for n in range(12):
        send_request(client, n, tenant="big", cost="50", wait="4000")
        send_request(client, 100 + n, tenant="acme", cost="50", wait="4000")
    wait_until(lambda: len(router.admission.controller.waiting) > 3)
    controller, peer = router.admission.controller, PeerUsage()
    peer.add(name_hash("big"), 3.0)
    before = {key: flow.finish_tag for key, flow in controller.queue.flows.items()}
    router.dispatcher.post(router.admission.heard, 1, peer.encode_summary())
    gevent.sleep(0.05)
    flow_key = controller.flow_by_tenant["big"]
    assert controller.queue.flows[flow_key].finish_tag > before[flow_key]
    for _ in range(24):
        client.receive()
    wait_until(router.is_idle, 8.0)


def test_no_request_waits_so_long_that_the_scheduler_would_shed_it() -> None:
    router = Router(0.02)
    controller, requests = router.admission.controller, list[Any]()
    submit = controller.submit
    controller.submit = lambda request, now: (  # type: ignore[method-assign]
        requests.append(request),
        submit(request, now),
    )[1]
    client = router.client()
    send_request(client, 1, cost="20", wait="4000")
    assert client.receive()[2] is None
    profile = SMALL_DEPLOYMENT.request_classes[0]
    max_useful_wait_s = NEAR_TARGET_RATIO * (profile.latency_target_s + profile.latency_target_growth * 0.02)
    assert requests[0].max_wait_s <= max_useful_wait_s and requests[0].time_left_s <= max_useful_wait_s < 4.0


def test_a_reload_changes_bounds_and_weights(monkeypatch: pytest.MonkeyPatch) -> None:
    router = Router(0.0)
    router.admission.reload({"waiting": 3, "weight": {"acme": 5.0}})
    assert (
        router.admission.controller.bounds.max_waiting == 3
        and router.admission.controller.classifier.classify("acme", "") == ("acme", 5.0)
    )


def test_decisions_are_explained_from_a_log(tmp_path: Path) -> None:
    lines = [
        {"event": "door", "ref": "a", "member": "m1", "why": "queued", "seconds": 0.0, "timestamp": "t1"},
        {"event": "door", "ref": "a", "member": "m1", "why": "let in", "seconds": 0.4, "timestamp": "t2"},
        {"event": "door", "ref": "b", "member": "m2", "why": "too late", "seconds": 1.5, "timestamp": "t3"},
        {"event": "door", "ref": "c", "member": "m2", "why": "full", "seconds": None, "timestamp": "t4"},
        {"event": "ended"},
    ]
    text = [*map(json.dumps, lines), "no json", "[1]"]
    assert list(explain_decisions(text)) == [
        "m1: 1 queued, 1 let in, longest wait 0.400 s",
        "m2: 1 too late, 1 full, longest wait 0.000 s, 1 promised, 1.5 to 1.5 s",
    ]
    assert [line.split(": ")[1] for line in explain_decisions(text, "b")] == [
        "would have missed its latency target behind the waiting requests; retry promised after 1.5 s"
    ]
    (tmp_path / "log").write_text("\n".join(text))
    cli_result = CliRunner().invoke(app, ["door", "explain", str(tmp_path / "log"), "--ref", "a"])
    assert cli_result.exit_code == 0 and "admitted in its turn after 0.4 s" in cli_result.output
    assert CliRunner().invoke(app, ["door", "explain", str(tmp_path / "none")]).exit_code == 1
