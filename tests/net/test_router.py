"""Tests of the router on loopback sockets, with test doubles for clients, engines and name servers."""

import gc
import json
import os
import random
import signal
import sys
import time
import weakref
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Any

import gevent
import msgpack
import pytest
from gevent import socket, subprocess
from gevent.lock import BoundedSemaphore

from marbleworks.lab.standins import (
    HOST,
    Reply,
    RpcClient,
    SqlEngine,
    dns_answer,
    http_response,
    router_configuration,
)
from marbleworks.model import AttemptOutcome, EngineEntry, EngineStatus
from marbleworks.net.client_listener import ClientListener
from marbleworks.net.datagrams import LOAD_UPDATE, DatagramKind, DatagramTransport
from marbleworks.net.discovery import EngineDiscovery
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.engine_client import EngineClient, engine_client_factory
from marbleworks.net.messages import AttemptCall
from marbleworks.net.statement_parser import table_group
from marbleworks.net.stream import StreamClosedError, connect
from marbleworks.settings import Settings
from tests.support.stand_ins import DEPLOYMENT, SETTINGS, EngineListRecorder

TEST_PORTS = range(20_000, 32_000)  # below those of outgoing connections


def row(text: str) -> bytes:
    """Returns a row of a result with the text in each of its three columns."""
    return f"{text}\t{text}\t{text}\n".encode()


GOOD = http_response(200, b"a\tb\tc\n", X_Sheets=1, X_Toil=40, X_Room=8, X_Report="queue:0;x0:0.2")


def until(condition: Callable[[], object], timeout_s: float = 3.0) -> None:
    """Waits until a condition holds; raises gevent.Timeout if it does not within the time-out."""
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.005)


@pytest.fixture(autouse=True)
def time_limit() -> Iterator[None]:
    """Limits each test to 20 s."""
    with gevent.Timeout(20):
        yield


class Router:
    """A router without its process, engine discovery and peers.

    Attributes:
        dispatcher: Its dispatcher.
        listener: Its listener for clients.
    """

    def __init__(
        self,
        *engines: tuple[str, int],
        descriptors: int = 20,
        clients: int = 20,
        deployment: Settings = DEPLOYMENT,
    ) -> None:
        self.dispatcher = Dispatcher(
            deployment, 7, engine_client_factory(deployment, BoundedSemaphore(descriptors)), lambda data: None
        )
        listing = [
            (EngineEntry(engine_id, f"s-{engine_id}", 0, 0, 0, EngineStatus.UP, 0.0), address)
            for engine_id, address in enumerate(engines)
        ]
        self.dispatcher.post(self.dispatcher.update_engines, listing, True)
        self.listener = ClientListener((HOST, 0), self.dispatcher, deployment, BoundedSemaphore(clients))

    def client(self) -> RpcClient:
        """Connects a client."""
        return RpcClient(self.listener.sock.getsockname())


def engine_and_client(reply: Reply) -> tuple[SqlEngine, RpcClient]:
    """Starts an engine with these replies and a router, and connects a client."""
    engine = SqlEngine(reply)
    return engine, Router(engine.address).client()


def router_after_one_answer() -> tuple[SqlEngine, Router, RpcClient]:
    """Returns an engine, a router and a client after one request was answered."""
    engine = SqlEngine(lambda call, fields, body: GOOD)
    router = Router(engine.address)
    client = router.client()
    client.send_request("load")
    assert client.receive()[3]
    return engine, router, client


def closed_port() -> tuple[str, int]:
    """Returns an address at which nothing listens, neither for connections nor for datagrams.

    The host gives its port to no outgoing connection, so that it stays free until a test uses it.
    """
    while True:
        port = random.choice(TEST_PORTS)
        with (
            suppress(OSError),
            socket.socket() as connections,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
        ):
            connections.bind((HOST, port))
            datagrams.bind((HOST, port))
            return HOST, port


def test_a_query_is_forwarded_unchanged_and_its_pages_are_returned_in_order() -> None:
    pages = {"POST": http_response(202), "0": http_response(200, row("a"), X_Sheets=3)}
    pages |= {str(n): http_response(200, row(text), X_Sheet=n) for n, text in ((1, "b"), (2, "c"))}
    engine, client = engine_and_client(
        lambda call, fields, body: pages[call.split()[0 if "POST" in call else 1][-4:][-1:]]
        if "GET" in call
        else pages["POST"]
    )
    client.send_request("look", "select 'é' from sales_17.orders", ref="9b1f03aa5c7e2d41")
    assert client.receive() == [1, 1, None, [row("a") + row("b") + row("c"), {}]]
    call, fields, body = engine.calls[0]
    assert (call, fields["X-Hop-Id"], fields["X-Sort"]) == ("POST /o", "9b1f03aa5c7e2d41", "look")
    assert body.decode() == "select 'é' from sales_17.orders" and 0 < int(fields["X-Budget"]) <= 3000
    assert [c for c, _, _ in engine.calls[1:]] == [f"GET /o/9b1f03aa5c7e2d41/{n}" for n in (0, 1, 2)]
    assert engine.connections == 1


@pytest.mark.parametrize(
    ("response", "error", "attempt_count"),
    [
        (http_response(503, X_No_Effect=1), "Rejected", 3),  # never ran: retried, then shed
        (http_response(503), "Failed", 1),  # rejected, but without the proof that it never ran
        (http_response(500), "Failed", 1),
        (http_response(504, X_No_Effect=1), "Rejected", 1),
        (http_response(200, row("a")), "Failed", 1),  # no page count
        (http_response(200, row("a"), X_Sheets="1e3"), "Failed", 1),
        (GOOD + b"\n" + row("a"), "Failed", 1),  # its length is wrong
        (b"", "Failed", 1),  # the connection is closed, also for each poll
        (b"HTTP/9.x what\r\n\r\n", "Failed", 1),
        (b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 9000, "Failed", 1),
    ],
)
def test_an_outcome_claims_only_what_the_response_proves(
    response: bytes, error: str, attempt_count: int
) -> None:
    engine, client = engine_and_client(lambda call, fields, body: response)
    client.send_request("load")
    assert client.receive()[2][0] == error
    assert len(engine.calls_of("POST")) == attempt_count


DAMAGED_PAGES = [
    http_response(200, row("b"), X_Sheet=2),
    http_response(200, row("b") * 1001, X_Sheet=1),
    http_response(200, b"", X_Sheet=1),
    http_response(200, b"\xff" + row("b"), X_Sheet=1),
    http_response(200, b"b\x00" + row("b"), X_Sheet=1),
    http_response(200, row("b")[:-1], X_Sheet=1),
    http_response(200, b"b\tb\n", X_Sheet=1),
    http_response(203, row("b"), X_Sheet=1),
    http_response(200, row("b"), X_Sheet=1).replace(b"Length: 6", b"Length: 3000000000"),
    http_response(200, row("b"), X_Sheet=1).replace(b"Length: 6", b"Length: 9"),
    http_response(200, row("b") + row("c"), X_Sheet=1).replace(b"Length: 12", b"Length: 6"),
    b"HTTP/1.1 200 OK\r\nX-She",
    b"\x00\xffnoise\r\n\r\n",
    http_response(200, row("b"), X_Sheet=1, **{f"f{number}": "" for number in range(40)}),
    b"",
    http_response(202),
]


@pytest.mark.parametrize("page", [http_response(500), *DAMAGED_PAGES], ids=lambda page: page[:60])
def test_an_invalid_result_is_not_returned(page: bytes) -> None:
    first = http_response(200, row("a"), X_Sheets=2)
    _, client = engine_and_client(lambda call, fields, body: page if call.endswith("/1") else first)
    client.send_request("load", wait="1200")
    assert client.receive()[2][0] == "Failed"


@pytest.mark.parametrize("damaged", [*DAMAGED_PAGES, None], ids=lambda page: (page or b"nothing")[:60])
@pytest.mark.parametrize("damaged_call", ["POST", "/0", "/1"])
def test_an_invalid_response_is_fetched_again_on_another_connection(
    damaged: bytes | None, damaged_call: str
) -> None:
    """Guards against one invalid response failing a request whose result the engine can still return."""
    good = {"/0": http_response(200, row("a"), X_Sheets=2), "/1": http_response(200, row("b"), X_Sheet=1)}
    damaged_calls = set[str]()

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        current_call = "POST" if "POST" in call else call[-2:]
        if current_call == damaged_call and current_call not in damaged_calls:
            damaged_calls.add(current_call)
            return damaged
        return good.get(current_call, http_response(202))

    engine, client = engine_and_client(reply)
    client.send_request("load")
    assert client.receive()[3] == [row("a") + row("b"), {}]
    assert len(engine.calls_of("POST")) == 1


def test_a_page_that_does_not_arrive_is_fetched_again_at_once() -> None:
    """Guards against late answers: with lost responses, a wait of 0.5 s for each made short queries late."""
    pages = [None, None, http_response(200, row("b"), X_Sheet=1)]
    _, client = engine_and_client(
        lambda call, fields, body: pages.pop(0) if "/1" in call else http_response(200, row("a"), X_Sheets=2)
    )
    client.send_request("look")
    start_time = time.monotonic()
    assert client.receive()[3] == [row("a") + row("b"), {}] and time.monotonic() - start_time < 0.3


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX-Sheets: 7\r\n\r\n", b""),
        (b"", GOOD),
        (b"", b"\x00noise"),
        (b"", b"HTTP/1.1 503 Full\r\nX-No-Effect: 1\r\n"),
    ],
)
def test_excess_bytes_around_a_response_affect_neither_it_nor_the_next(before: bytes, after: bytes) -> None:
    """Guards against returning a duplicate of a response as the result of the next request."""
    results = {b"1": row("one"), b"2": row("two")}
    statements: dict[str, bytes] = {}

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes:
        ref = fields.get("X-Hop-Id", call[7:23])
        is_first = statements.setdefault(ref, body) is body and "POST" in call
        return (
            before + http_response(200, results[statements[ref]], X_Sheets=1) + (after if is_first else b"")
        )

    engine, client = engine_and_client(reply)
    for text, result in results.items():
        client.send_request("load", text.decode())
        assert client.receive()[3] == [result, {}]
    assert len(engine.calls_of("POST")) == 2


def test_a_broken_connection_does_not_end_a_request() -> None:
    engine, client = engine_and_client(lambda call, fields, body: GOOD if call.startswith("GET") else b"")
    client.send_request("load")
    assert client.receive()[3] == [b"a\tb\tc\n", {}]
    assert len(engine.calls_of("POST")) == 1


def test_a_refused_connection_proves_that_nothing_ran() -> None:
    client = Router(closed_port()).client()
    client.send_request("load")
    assert client.receive()[2] == ["Rejected", {"after": "2000"}]


def test_a_pooled_connection_that_the_engine_closed_is_not_used_for_a_start() -> None:
    engine, router, client = router_after_one_answer()
    connection = router.dispatcher.engine_clients[0].pool.idle[0]
    connection.stream.sock.shutdown(socket.SHUT_RD)
    client.send_request("load")
    assert client.receive()[3] and engine.connections == 2


def test_a_cancelled_request_is_cancelled_at_its_engine_and_not_answered() -> None:
    engine, client = engine_and_client(
        lambda call, fields, body: http_response(204) if "DELETE" in call else None
    )
    call = client.send_request("look")
    until(lambda: engine.calls_of("POST"))
    client.send(2, "cancel", [call])
    until(lambda: engine.calls_of("DELETE"))
    client.send(0, 99, "health", [{}])
    assert client.receive() == [1, 99, None, [True, {}]]


def test_a_request_to_a_silent_engine_is_answered_in_time_and_cancelled() -> None:
    engine, client = engine_and_client(
        lambda call, fields, body: http_response(204) if "DELETE" in call else None
    )
    start_time = time.monotonic()
    client.send_request("load", wait="400")
    assert client.receive()[2][0] == "Failed" and time.monotonic() - start_time < 0.4
    until(lambda: engine.calls_of("DELETE"))


def test_a_disconnect_cancels_the_requests_of_the_client() -> None:
    engine, client = engine_and_client(
        lambda call, fields, body: http_response(204) if "DELETE" in call else None
    )
    client.send_request("look")
    until(lambda: engine.calls_of("POST"))
    client.sock.close()
    until(lambda: engine.calls_of("DELETE"))


INVALID_FIELDS: list[dict[str, Any]] = [
    {"ref": "xyz"},
    {"wait": "0"},
    {"wait": "nan"},
    {"tenant": "nobody"},
    {"cost": "-1"},
    {"need_mb": "much"},
    {"wait": "9" * 30},
    {"wait": "9e9"},
    {"wait": 3000},
    {"cost": "1e300"},
    {"cost": "9" * 400},
    {"cost": ""},
    {"need_mb": "999999"},
    {"need_mb": "\u0661"},
    {"tenant": ["acme"]},
    {"tenant": ""},
    {"ref": "A" * 16},
]


@pytest.mark.parametrize("fields", INVALID_FIELDS)
def test_invalid_fields_get_an_error(fields: dict[str, str]) -> None:
    engine, client = engine_and_client(lambda call, fields, body: GOOD)
    client.send_request("look", **fields)
    assert client.receive()[2][0] == "Invalid"
    client.send_request("no-such-profile")
    assert client.receive()[2][0] == "Invalid"
    client.send(0, 50, "look", [{"id": "0" * 16, "wait": "100"}, "text, not bin"])
    assert client.receive()[2][0] == "Invalid" and not engine.calls


@pytest.mark.parametrize(
    "invalid_bytes",
    [
        b"\xc1",
        b"\x91" * 3000 + b"\x00",
        msgpack.packb("hello"),
        msgpack.packb([1, 2, None, None]),
        msgpack.packb([0, 1, "look"]),
        b"\xc6\x00\x0f\xff\xff" + b"x" * (1 << 20),
        b"\xdd\x00\x10\x00\x00" + b"\x90" * 9000,
        b"\x94\x00\x01\xa4look\x91\x81\x90\x00",
        b"\xc7\x01\x05x",
        b"\xdb\xff\xff\xff\xff",
        b"\x94\x00\x01",
    ],
)
def test_a_protocol_violation_closes_only_that_connection(invalid_bytes: bytes) -> None:
    engine = SqlEngine(lambda call, fields, body: GOOD)
    router = Router(engine.address)
    invalid_client = router.client()
    try:
        invalid_client.sock.sendall(invalid_bytes)
        assert invalid_client.receive() is None
    except ConnectionError:
        pass
    valid_client = router.client()
    valid_client.send_request("look")
    assert valid_client.receive()[3]


def test_answers_may_be_out_of_order_and_messages_may_arrive_in_pieces() -> None:
    release_slow = gevent.event.Event()

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes:
        if body == b"slow":
            release_slow.wait(3)
        return GOOD

    _, client = engine_and_client(reply)
    client.send_request("look", "slow")
    query_fields = {"id": "f" * 16, "wait": "3000", "tenant": "acme", "cost": "5", "need_mb": "1"}
    for byte in msgpack.packb([0, 7, "look", [query_fields, b"fast"]]):
        client.sock.sendall(bytes([byte]))
    assert client.receive()[1] == 7
    release_slow.set()
    assert client.receive()[1] == 1


def test_closed_objects_are_freed_without_a_garbage_collection() -> None:
    """Guards against reference cycles, which kept the actors of removed engines and connections' parsers."""
    gc.collect()
    gc.disable()
    try:
        sql_engine, router, client = router_after_one_answer()
        engine_client = router.dispatcher.engine_clients[0]
        references = [
            weakref.ref(obj) for obj in (engine_client, engine_client.pool.idle[0], *router.listener.sessions)
        ]
        router.dispatcher.post(router.dispatcher.update_engines, [], True)
        until(lambda: not router.dispatcher.engine_clients and not router.dispatcher.scheduler.engines)
        client.send_request("look", wait="300")
        assert client.receive()[2][0] == "Rejected"
        client.sock.close()
        del engine_client
        until(lambda: not any(obj() for obj in references))
    finally:
        gc.enable()


def test_silent_connections_are_closed_and_do_not_block_new_ones() -> None:
    router = Router(SqlEngine(lambda call, fields, body: GOOD).address)
    used_clients = [router.client() for _ in range(15)]
    for client in used_clients:
        client.send_request("look", ref=f"{id(client):016x}")
        assert client.receive()[3]
    silent_clients = [router.client() for _ in range(30)]
    last_client = router.client()
    last_client.send_request("look", ref="f" * 16)
    assert last_client.receive()[3]
    partial_client = router.client()
    partial_client.sock.sendall(b"\x94\x00")
    start_time = time.monotonic()
    assert all(client.receive(3.0) is None for client in [*silent_clients, partial_client])
    assert time.monotonic() - start_time < 3.0
    last_client.send_request("look", ref="e" * 16)
    assert last_client.receive()[3]


def test_bytes_that_arrived_before_a_late_timeout_are_read() -> None:
    """Guards against a late time-out closing a connection whose bytes have already arrived."""
    listener = socket.socket()
    listener.bind((HOST, 0))
    listener.listen()
    stream = connect(listener.getsockname(), "engine", "s-0", 4096, 1.0, lambda: None)
    peer_sock, _ = listener.accept()
    peer_sock.sendall(b"here")
    stream.fill(time.time() - 1.0)
    assert bytes(stream.unread()) == b"here"
    stream.consume(4)
    with pytest.raises(StreamClosedError, match="silent"):
        stream.fill(time.time() - 1.0)
    peer_sock.close()


def test_a_request_is_answered_if_the_scheduler_raises(monkeypatch: pytest.MonkeyPatch) -> None:
    _, router, client = router_after_one_answer()
    with monkeypatch.context() as patch:
        patch.setattr(router.dispatcher.scheduler, "submit", lambda *args: 1 / 0)
        client.send_request("look")
        assert client.receive()[2][0] == "Failed" and not router.dispatcher.open_requests
    client.send_request("look")
    assert client.receive()[3]


def test_calls_over_the_limit_and_calls_cancelled_at_full_speed() -> None:
    engine, client = engine_and_client(
        lambda call, fields, body: http_response(204) if "DELETE" in call else None
    )
    for _ in range(40):
        client.send_request("look", wait="900")
    assert [client.receive()[2][0] for _ in range(8)] == ["Invalid"] * 8
    for call in range(1, 33):
        client.send(2, "cancel", [call])
    for _ in range(300):
        client.send(2, "cancel", [client.send_request("look", wait="900")])
    client.send(0, 9999, "health", [{}])
    assert client.receive() == [1, 9999, None, [True, {}]]


def test_a_connection_is_closed_if_all_its_calls_were_cancelled_but_not_if_one_is_open() -> None:
    engine = SqlEngine(
        lambda call, fields, body: http_response(204) if "DELETE" in call else http_response(202)
    )
    router = Router(engine.address)
    waiting_client, cancelling_client = router.client(), router.client()
    waiting_client.send_request("look", ref="a" * 16, wait="2600")
    cancelling_client.send(2, "cancel", [cancelling_client.send_request("look", ref="b" * 16)])
    assert cancelling_client.receive(2.5) is None
    assert waiting_client.receive()[2][0] == "Rejected"


def test_one_descriptor_serves_many_requests_to_two_engines() -> None:
    engines = [SqlEngine(lambda call, fields, body: GOOD) for _ in range(2)]
    client = Router(*(engine.address for engine in engines), descriptors=1).client()
    for _ in range(12):
        client.send_request("look")
    received = [client.receive() for _ in range(12)]
    assert all(result for _, _, _, result in received), received
    assert all(engine.calls for engine in engines)


class OutcomeRecorder(EngineListRecorder):
    """Replacement for the dispatcher that records the outcomes of attempts.

    Attributes:
        outcomes: Outcomes in the order in which they were reported.
    """

    def __init__(self) -> None:
        super().__init__()
        self.outcomes: list[AttemptOutcome] = []

    def on_attempt_end(self, ref: str, attempt_no: int, outcome: AttemptOutcome, report: object) -> None:
        """Records an outcome."""
        self.outcomes.append(outcome)

    def on_descriptor_shortage(self, engine: EngineClient) -> None:
        pass

    def on_attempt_alive(self, ref: str, attempt_no: int) -> None:
        pass


def test_a_waiting_attempt_is_not_sent_once_its_engine_drains() -> None:
    sql_engine, dispatcher, quota = (
        SqlEngine(lambda call, fields, body: GOOD),
        OutcomeRecorder(),
        BoundedSemaphore(1),
    )
    quota.acquire()  # makes the attempt wait for a descriptor
    engine_client = EngineClient(dispatcher, "s-0", sql_engine.address, DEPLOYMENT, quota)  # type: ignore[arg-type]
    engine_client.post(engine_client.start_attempt, AttemptCall("0" * 16, 0, "load", b"", 0, time.time() + 3))
    gevent.sleep(0.02)
    engine_client.post(engine_client.update_listing, False, 0.0)
    until(lambda: dispatcher.outcomes)
    assert dispatcher.outcomes[0].never_ran and not sql_engine.calls


@pytest.mark.parametrize("stop_cause", ["drain", "cancel"])
def test_an_attempt_stopped_before_its_greenlet_runs_still_reports_an_outcome(stop_cause: str) -> None:
    sql_engine, dispatcher = SqlEngine(lambda call, fields, body: GOOD), OutcomeRecorder()
    engine_client = EngineClient(dispatcher, "s-0", sql_engine.address, DEPLOYMENT, BoundedSemaphore(1))  # type: ignore[arg-type]
    engine_client.post(engine_client.start_attempt, AttemptCall("0" * 16, 0, "load", b"", 0, time.time() + 3))
    if stop_cause == "drain":
        engine_client.post(engine_client.update_listing, False, 0.0)
    else:
        engine_client.post(engine_client.cancel_attempt, "0" * 16, 0)
    until(lambda: dispatcher.outcomes)
    gevent.sleep(0.02)
    assert len(dispatcher.outcomes) == 1 and (dispatcher.outcomes[0].never_ran or sql_engine.calls)


def test_a_draining_engine_is_polled_on_an_existing_connection() -> None:
    sql_engine, dispatcher = (
        SqlEngine(lambda call, fields, body: gevent.sleep(0.02) or http_response(202)),
        OutcomeRecorder(),
    )
    engine_client = EngineClient(dispatcher, "s-0", sql_engine.address, DEPLOYMENT, BoundedSemaphore(5))  # type: ignore[arg-type]
    engine_client.post(
        engine_client.start_attempt, AttemptCall("0" * 16, 0, "load", b"", 0, time.time() + 0.5)
    )
    until(lambda: sql_engine.calls)
    engine_client.post(engine_client.update_listing, False, 0.0)
    until(lambda: dispatcher.outcomes)
    assert len(sql_engine.calls_of("GET")) > 5 and sql_engine.connections <= 2  # a second one cancels it


def test_attempts_at_the_old_process_of_an_engine_are_lost() -> None:
    sql_engine, dispatcher = SqlEngine(lambda call, fields, body: None), OutcomeRecorder()
    engine_client = EngineClient(dispatcher, "s-0", sql_engine.address, DEPLOYMENT, BoundedSemaphore(5))  # type: ignore[arg-type]
    engine_client.post(engine_client.start_attempt, AttemptCall("0" * 16, 0, "load", b"", 0, time.time() + 9))
    until(lambda: sql_engine.calls)
    engine_client.post(engine_client.update_listing, True, time.time() + 1)
    until(lambda: dispatcher.outcomes)
    assert dispatcher.outcomes == [AttemptOutcome.CONNECTION_LOST]


def test_the_engine_list_follows_only_valid_responses_of_the_name_server() -> None:
    name_server, dispatcher = socket.socket(type=socket.SOCK_DGRAM), EngineListRecorder()
    name_server.bind((HOST, 0))
    initial_engines = json.loads(router_configuration(1, 2, (HOST, 3), {"s-a": (HOST, 1000)}, SETTINGS))[
        "known"
    ]
    discovery = EngineDiscovery(dispatcher, DEPLOYMENT, initial_engines, name_server.getsockname())  # type: ignore[arg-type]
    [(entry, address)], is_complete = dispatcher.published_lists[0]
    assert (entry.name, entry.status, address, is_complete) == ("s-a", EngineStatus.UP, (HOST, 1000), True)
    engines = {"s-b": (HOST, 2000), "s-a": (HOST, 1000)}
    start_time = time.monotonic()
    for invalid_bytes in (b"", b"\x00" * 12, b"\xc0\x0c" * 40):
        question, sender = name_server.recvfrom(4096)
        name_server.sendto(invalid_bytes, sender)
        for invalid_response in (
            dns_answer(question, 9, engines, cut=True),
            dns_answer(b"\xff\xff" + question[2:], 9, engines),
        ):
            name_server.sendto(invalid_response, sender)
        name_server.sendto(dns_answer(question, 0, {}), sender)
    # Queries are sent sooner while no valid response arrives.
    assert len(dispatcher.published_lists) == 1 and time.monotonic() - start_time < 1.0
    name_server, old_name_server = socket.socket(type=socket.SOCK_DGRAM), name_server
    name_server.bind((HOST, 0))
    discovery.post(discovery.set_nameserver, name_server.getsockname())
    question, sender = name_server.recvfrom(4096)
    old_name_server.sendto(dns_answer(question, 8, {}), sender)
    name_server.sendto(dns_answer(question, 2, engines), sender)
    until(lambda: len(dispatcher.published_lists) == 2)
    listing, is_complete = dispatcher.published_lists[1]
    assert is_complete and [(e.engine_id, e.name, e.started_at, a) for e, a in listing] == [
        (1, "s-b", 5.0, (HOST, 2000)),
        (0, "s-a", 5.0, (HOST, 1000)),
    ]
    discovery.greenlet.kill()


def test_datagrams_are_matched_by_peer_address_and_kind() -> None:
    peer_sock, unknown_sock = socket.socket(type=socket.SOCK_DGRAM), socket.socket(type=socket.SOCK_DGRAM)
    peer_sock.bind((HOST, 0))
    unknown_sock.bind((HOST, 0))
    transport = DatagramTransport((HOST, 0), [(HOST, 1), peer_sock.getsockname()], peer_sock.getsockname(), 0)
    received, address = list[tuple[str, int, bytes]](), transport.sock.getsockname()
    transport.register(LOAD_UPDATE, lambda peer, data: received.append(("news", peer, data)))
    send_datagram = transport.register(
        DatagramKind("own", 0xDD, 100.0), lambda peer, data: received.append(("own", peer, data))
    )
    transport.listen()
    datagram = b"\xdd" + b"o" * 49
    for sock, data in (
        (unknown_sock, b"stray"),
        (peer_sock, b"x" * 257),
        (peer_sock, b"nobody's"),
        (peer_sock, b"\xddnews"),
    ):
        sock.sendto(data, address)
    for _ in range(9):  # only two seconds of its rate are accepted, the rest is dropped
        peer_sock.sendto(datagram, address)
    peer_sock.sendto(b"after", address)
    until(lambda: received and received[-1][2] == b"after")
    assert received[0] == ("news", 1, b"\xddnews")  # five bytes are a load update, whatever the first byte
    assert received[1:] == [("own", 1, datagram)] * 4 + [("news", 1, b"after")]
    assert transport.dropped_counts == {
        "unknown sender": 2,
        "unknown kind": 1,
        "own of a peer over its rate limit": 5,
    }
    send_datagram(b"y" * 257)
    for _ in range(6):
        send_datagram(datagram, 1)
    send_datagram(b"\xddlast")  # to all peers; dropped, since the kind's rate limit is used up
    transport.post(transport.sock.sendto, b"end", peer_sock.getsockname())
    assert [peer_sock.recv(300) for _ in range(5)] == [datagram] * 4 + [b"end"]


@pytest.mark.parametrize(
    ("text", "group"),
    [
        ("select * from sales_17.orders", 17),
        ("select 'it''s x_1.y', E'\\' x_2.y' from a_3.b", 3),
        ('-- x_4.y\nselect 1 from "s_5" . t', 5),
        ("/* a /* x_1.y */ x_2.z */ update s_6.t set a = 1", 6),
        ("select $q$ x_3.y $q$ from staging.t_9 join q_9.r on true", 9),
        ("insert into staging.x_3 select o.a_1 from s_8.o", 8),
        ("select 1.5 from t_3", 0),
        ("/* never closed x_3.y", 0),
    ],
)
def test_the_table_group_of_a_statement(text: str, group: int) -> None:
    assert table_group(text) == group


def start_command(*args: str, config: str = "", preexec: Any = None) -> subprocess.Popen[str]:
    """Starts a marbleworks command.

    Args:
        *args: Arguments of the command.
        config: Path of the configuration file.
        preexec: Called in the new process before the command starts.
    """
    return subprocess.Popen(
        [sys.executable, "-m", "marbleworks", *args],
        env=os.environ | {"RELAY_CONFIG": config},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=preexec,
    )


def test_sighup_changes_the_name_server_and_sigterm_answers_open_and_late_requests(tmp_path: Any) -> None:
    first_called_at = dict[str, float]()

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes:
        ref = fields.get("X-Hop-Id") or call[7:23]
        gevent.sleep(0.2)
        return (
            GOOD
            if time.monotonic() > first_called_at.setdefault(ref, time.monotonic()) + 1.0
            else http_response(202)
        )

    engine = SqlEngine(reply)
    (_, listen), (_, peer) = closed_port(), closed_port()
    path, unused_address, new_name_server = (
        tmp_path / "config.json",
        closed_port(),
        socket.socket(type=socket.SOCK_DGRAM),
    )
    new_name_server.bind((HOST, 0))
    config_text = router_configuration(listen, peer, unused_address, {"s-a": engine.address}, SETTINGS)
    path.write_text(config_text)
    router = start_command("serve", config=str(path))
    try:
        until(lambda: socket.socket().connect_ex((HOST, listen)) == 0, 10)
        early_client = RpcClient((HOST, listen))
        early_client.send_request("look", wait="3000")
        until(lambda: engine.calls)
        for text in (
            "{",
            config_text.replace(f":{unused_address[1]}", f":{new_name_server.getsockname()[1]}"),
        ):
            path.write_text(text)
            router.send_signal(signal.SIGHUP)
            gevent.sleep(0.1)
        assert new_name_server.recv(4096)
        router.send_signal(signal.SIGTERM)
        gevent.sleep(0.3)
        router.send_signal(signal.SIGHUP)
        late_client = RpcClient((HOST, listen))
        late_client.send(0, 1, "health", [{}])
        assert late_client.receive() == [1, 1, None, [False, {}]]
        late_client.send_request("look", ref="a" * 16)
        assert early_client.receive()[3] and late_client.receive()[3]
        assert router.wait(5) == 0
    finally:
        router.kill()
        router.communicate()


@pytest.mark.parametrize("text", ["", "{", "{}", json.dumps({"name": "n", "seed": "zz"})])
def test_an_invalid_configuration_is_reported_in_one_line(text: str, tmp_path: Any) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    for subcommand in ("check", "serve"):
        process = start_command(subcommand, config=str(path))
        out, err = process.communicate(timeout=10)
        assert process.returncode == 1 and not out and err.count("\n") == 1 and "config.json" in err


def test_the_command_line_reports_what_is_wrong(tmp_path: Any) -> None:
    used_sock = socket.socket()
    used_sock.bind((HOST, 0))
    used_sock.listen()
    valid_path, invalid_path = tmp_path / "good.json", tmp_path / "bad.json"
    text = router_configuration(used_sock.getsockname()[1], closed_port()[1], closed_port(), {}, SETTINGS)
    valid_path.write_text(text)
    invalid_path.write_text(text.replace('"kinds"', '"sorts"'))
    for args, config, exit_code, expected_text in (
        (["version"], "", 0, "0.1"),
        (["check"], str(valid_path), 0, "fit to serve"),
        (["check"], str(invalid_path), 1, "kinds is missing"),
        (["serve"], str(valid_path), 1, "in use"),
        (["check"], "", 1, "RELAY_CONFIG"),
        (["no-such"], "", 2, "No such"),
    ):
        process = start_command(*args, config=config)
        out, err = process.communicate(timeout=10)
        assert process.returncode == exit_code and expected_text in out + err, (args, out, err)
    assert SETTINGS["kinds"]
