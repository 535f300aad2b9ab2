"""The router on loopback, against stand-ins written from the protocol."""

import gc
import json
import os
import signal
import sys
import time
import weakref
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import msgpack
import pytest
from gevent import socket, subprocess
from gevent.lock import BoundedSemaphore

from marbleworks.lab.standins import HOST, Reply, RpcClient, SqlEngine, answer, configuration, dns_answer
from marbleworks.model import AttemptOutcome, EngineEntry, EngineStatus
from marbleworks.net.client_listener import ClientListener
from marbleworks.net.datagrams import LOAD_UPDATE, DatagramKind, DatagramTransport
from marbleworks.net.discovery import EngineDiscovery
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.engine_client import EngineClient, engine_client_factory
from marbleworks.net.messages import AttemptCall
from marbleworks.net.statement_parser import table_group
from marbleworks.net.stream import StreamClosedError, connect
from tests.support.stand_ins import DEPLOYMENT, SETTINGS, Listener


def row(text: str) -> bytes:
    return f"{text}\t{text}\t{text}\n".encode()


GOOD = answer(200, b"a\tb\tc\n", X_Sheets=1, X_Toil=40, X_Room=8, X_Report="queue:0;x0:0.2")


def until(true: Callable[[], object], wait: float = 3.0) -> None:
    with gevent.Timeout(wait):
        while not true():
            gevent.sleep(0.005)


@pytest.fixture(autouse=True)
def bounded() -> Iterator[None]:
    with gevent.Timeout(20):
        yield


class Router:
    """All of a router but the process, the directory and the peers."""

    def __init__(self, *engines: tuple[str, int], descriptors: int = 20, clients: int = 20) -> None:
        self.desk = Dispatcher(
            DEPLOYMENT, 7, engine_client_factory(DEPLOYMENT, BoundedSemaphore(descriptors)), lambda data: None
        )
        listing = [
            (EngineEntry(be, f"s-{be}", 0, 0, 0, EngineStatus.UP, 0.0), address)
            for be, address in enumerate(engines)
        ]
        self.desk.post(self.desk.update_engines, listing, True)
        self.listener = ClientListener((HOST, 0), self.desk, DEPLOYMENT, BoundedSemaphore(clients))

    def client(self) -> RpcClient:
        return RpcClient(self.listener.sock.getsockname())


def played(reply: Reply) -> tuple[SqlEngine, RpcClient]:
    engine = SqlEngine(reply)
    return engine, Router(engine.address).client()


def answered_once() -> tuple[SqlEngine, Router, RpcClient]:
    engine = SqlEngine(lambda call, fields, body: GOOD)
    router = Router(engine.address)
    client = router.client()
    client.ask("load")
    assert client.hear()[3]
    return engine, router, client


def closed_port() -> tuple[str, int]:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        address: tuple[str, int] = sock.getsockname()
        return address


def test_a_command_goes_on_unchanged_and_its_pages_come_back_in_order() -> None:
    pages = {"POST": answer(202), "0": answer(200, row("a"), X_Sheets=3)}
    pages |= {str(n): answer(200, row(text), X_Sheet=n) for n, text in ((1, "b"), (2, "c"))}
    engine, client = played(
        lambda call, fields, body: pages[call.split()[0 if "POST" in call else 1][-4:][-1:]]
        if "GET" in call
        else pages["POST"]
    )
    client.ask("look", "select 'é' from sales_17.orders", ref="9b1f03aa5c7e2d41")
    assert client.hear() == [1, 1, None, [row("a") + row("b") + row("c"), {}]]
    call, fields, body = engine.calls[0]
    assert (call, fields["X-Hop-Id"], fields["X-Sort"]) == ("POST /o", "9b1f03aa5c7e2d41", "look")
    assert body.decode() == "select 'é' from sales_17.orders" and 0 < int(fields["X-Budget"]) <= 3000
    assert [c for c, _, _ in engine.calls[1:]] == [f"GET /o/9b1f03aa5c7e2d41/{n}" for n in (0, 1, 2)]
    assert engine.connections == 1


@pytest.mark.parametrize(
    ("said", "error", "sends"),
    [
        (answer(503, X_No_Effect=1), "Rejected", 3),  # never ran: goes again, and may be shed
        (answer(503), "Failed", 1),  # full, but without the proof
        (answer(500), "Failed", 1),
        (answer(504, X_No_Effect=1), "Rejected", 1),
        (answer(200, row("a")), "Failed", 1),  # no number of pages
        (answer(200, row("a"), X_Sheets="1e3"), "Failed", 1),
        (GOOD + b"\n" + row("a"), "Failed", 1),  # its length is wrong
        (b"", "Failed", 1),  # cut off, also when asked for news
        (b"HTTP/9.x what\r\n\r\n", "Failed", 1),
        (b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 9000, "Failed", 1),
    ],
)
def test_an_end_promises_no_more_than_it_proves(said: bytes, error: str, sends: int) -> None:
    engine, client = played(lambda call, fields, body: said)
    client.ask("load")
    assert client.hear()[2][0] == error
    assert len(engine.asked("POST")) == sends


SPOILT = [
    answer(200, row("b"), X_Sheet=2),
    answer(200, row("b") * 1001, X_Sheet=1),
    answer(200, b"", X_Sheet=1),
    answer(200, b"\xff" + row("b"), X_Sheet=1),
    answer(200, b"b\x00" + row("b"), X_Sheet=1),
    answer(200, row("b")[:-1], X_Sheet=1),
    answer(200, b"b\tb\n", X_Sheet=1),
    answer(203, row("b"), X_Sheet=1),
    answer(200, row("b"), X_Sheet=1).replace(b"Length: 6", b"Length: 3000000000"),
    answer(200, row("b"), X_Sheet=1).replace(b"Length: 6", b"Length: 9"),
    answer(200, row("b") + row("c"), X_Sheet=1).replace(b"Length: 12", b"Length: 6"),
    b"HTTP/1.1 200 OK\r\nX-She",
    b"\x00\xffnoise\r\n\r\n",
    b"",
    answer(202),
]


@pytest.mark.parametrize("page", [answer(500), *SPOILT], ids=lambda page: page[:60])
def test_a_result_that_is_not_whole_is_not_passed_on(page: bytes) -> None:
    first = answer(200, row("a"), X_Sheets=2)
    _, client = played(lambda call, fields, body: page if call.endswith("/1") else first)
    client.ask("load", wait="1200")
    assert client.hear()[2][0] == "Failed"


@pytest.mark.parametrize("spoilt", [*SPOILT, None], ids=lambda page: (page or b"nothing")[:60])
@pytest.mark.parametrize("verb", ["POST", "/0", "/1"])
def test_what_was_spoilt_is_asked_for_again_on_another_connection(spoilt: bytes | None, verb: str) -> None:
    """Found on sockets: one spoilt page failed a command whose result its engine still had."""
    good = {"/0": answer(200, row("a"), X_Sheets=2), "/1": answer(200, row("b"), X_Sheet=1)}
    seen = set[str]()

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        asked = "POST" if "POST" in call else call[-2:]
        if asked == verb and asked not in seen:
            seen.add(asked)
            return spoilt
        return good.get(asked, answer(202))

    engine, client = played(reply)
    client.ask("load")
    assert client.hear()[3] == [row("a") + row("b"), {}]
    assert len(engine.asked("POST")) == 1


def test_a_page_that_does_not_come_is_asked_for_again_at_once() -> None:
    """Found on a recorded day: where answers were lost, half a second for each made look-ups late."""
    pages = [None, None, answer(200, row("b"), X_Sheet=1)]
    _, client = played(
        lambda call, fields, body: pages.pop(0) if "/1" in call else answer(200, row("a"), X_Sheets=2)
    )
    client.ask("look")
    began = time.monotonic()
    assert client.hear()[3] == [row("a") + row("b"), {}] and time.monotonic() - began < 0.3


@pytest.mark.parametrize(
    ("before", "behind"),
    [
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX-Sheets: 7\r\n\r\n", b""),
        (b"", GOOD),
        (b"", b"\x00noise"),
        (b"", b"HTTP/1.1 503 Full\r\nX-No-Effect: 1\r\n"),
    ],
)
def test_more_than_a_good_answer_spoils_neither_it_nor_the_next(before: bytes, behind: bytes) -> None:
    """Found on sockets: the second copy of an answer was passed on as the result of the next command."""
    results = {b"1": row("one"), b"2": row("two")}
    of: dict[str, bytes] = {}

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes:
        ref = fields.get("X-Hop-Id", call[7:23])
        first = of.setdefault(ref, body) is body and "POST" in call
        return before + answer(200, results[of[ref]], X_Sheets=1) + (behind if first else b"")

    engine, client = played(reply)
    for text, result in results.items():
        client.ask("load", text.decode())
        assert client.hear()[3] == [result, {}]
    assert len(engine.asked("POST")) == 2


def test_a_broken_connection_does_not_end_a_command() -> None:
    engine, client = played(lambda call, fields, body: GOOD if call.startswith("GET") else b"")
    client.ask("load")
    assert client.hear()[3] == [b"a\tb\tc\n", {}]
    assert len(engine.asked("POST")) == 1


def test_a_refused_connection_proves_that_nothing_ran() -> None:
    client = Router(closed_port()).client()
    client.ask("load")
    assert client.hear()[2] == ["Rejected", {"after": "2000"}]


def test_a_pooled_connection_that_the_engine_closed_is_not_used_for_a_start() -> None:
    engine, router, client = answered_once()
    line = router.desk.engine_clients[0].pool.idle[0]
    line.stream.sock.shutdown(socket.SHUT_RD)
    client.ask("load")
    assert client.hear()[3] and engine.connections == 2


def test_a_cancelled_command_is_given_up_at_its_engine_and_not_answered() -> None:
    engine, client = played(lambda call, fields, body: answer(204) if "DELETE" in call else None)
    call = client.ask("look")
    until(lambda: engine.asked("POST"))
    client.send(2, "cancel", [call])
    until(lambda: engine.asked("DELETE"))
    client.send(0, 99, "health", [{}])
    assert client.hear() == [1, 99, None, [True, {}]]


def test_silence_is_answered_in_time_and_given_up_at_the_engine() -> None:
    engine, client = played(lambda call, fields, body: answer(204) if "DELETE" in call else None)
    began = time.monotonic()
    client.ask("load", wait="400")
    assert client.hear()[2][0] == "Failed" and time.monotonic() - began < 0.4
    until(lambda: engine.asked("DELETE"))


def test_a_client_that_ends_its_connection_has_given_its_commands_up() -> None:
    engine, client = played(lambda call, fields, body: answer(204) if "DELETE" in call else None)
    client.ask("look")
    until(lambda: engine.asked("POST"))
    client.sock.close()
    until(lambda: engine.asked("DELETE"))


BAD_FIELDS: list[dict[str, Any]] = [
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


@pytest.mark.parametrize("fields", BAD_FIELDS)
def test_fields_that_cannot_be_used_get_an_error(fields: dict[str, str]) -> None:
    engine, client = played(lambda call, fields, body: GOOD)
    client.ask("look", **fields)
    assert client.hear()[2][0] == "Invalid"
    client.ask("no-such-profile")
    assert client.hear()[2][0] == "Invalid"
    client.send(0, 50, "look", [{"id": "0" * 16, "wait": "100"}, "text, not bin"])
    assert client.hear()[2][0] == "Invalid" and not engine.calls


@pytest.mark.parametrize(
    "junk",
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
def test_what_is_not_the_protocol_ends_that_connection_alone(junk: bytes) -> None:
    engine = SqlEngine(lambda call, fields, body: GOOD)
    router = Router(engine.address)
    bad = router.client()
    try:
        bad.sock.sendall(junk)
        assert bad.hear() is None
    except ConnectionError:
        pass
    good = router.client()
    good.ask("look")
    assert good.hear()[3]


def test_answers_come_in_any_order_and_bytes_in_any_pieces() -> None:
    slow = gevent.event.Event()

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes:
        if body == b"slow":
            slow.wait(3)
        return GOOD

    _, client = played(reply)
    client.ask("look", "slow")
    told = {"id": "f" * 16, "wait": "3000", "tenant": "acme", "cost": "5", "need_mb": "1"}
    for byte in msgpack.packb([0, 7, "look", [told, b"fast"]]):
        client.sock.sendall(bytes([byte]))
    assert client.hear()[1] == 7
    slow.set()
    assert client.hear()[1] == 1


def test_what_has_gone_is_forgotten_without_a_search_for_garbage() -> None:
    """Found by reading: each engine that had gone kept its actor, and each connection its parser."""
    gc.collect()
    gc.disable()
    try:
        sql, router, client = answered_once()
        engine = router.desk.engine_clients[0]
        kept = [weakref.ref(thing) for thing in (engine, engine.pool.idle[0], *router.listener.sessions)]
        router.desk.post(router.desk.update_engines, [], True)
        until(lambda: not router.desk.engine_clients and not router.desk.scheduler.engines)
        client.ask("look", wait="300")
        assert client.hear()[2][0] == "Rejected"
        client.sock.close()
        del engine
        until(lambda: not any(thing() for thing in kept))
    finally:
        gc.enable()


def test_connections_that_say_nothing_neither_last_nor_keep_others_out() -> None:
    router = Router(SqlEngine(lambda call, fields, body: GOOD).address)
    asked_once = [router.client() for _ in range(15)]
    for client in asked_once:
        client.ask("look", ref=f"{id(client):016x}")
        assert client.hear()[3]
    silent = [router.client() for _ in range(30)]
    last = router.client()
    last.ask("look", ref="f" * 16)
    assert last.hear()[3]
    half = router.client()
    half.sock.sendall(b"\x94\x00")
    began = time.monotonic()
    assert all(client.hear(3.0) is None for client in [*silent, half])
    assert time.monotonic() - began < 3.0
    last.ask("look", ref="e" * 16)
    assert last.hear()[3]


def test_what_came_while_the_router_was_late_is_no_silence() -> None:
    """Found by reading: a timer that rings late ended connections whose bytes had long come."""
    listener = socket.socket()
    listener.bind((HOST, 0))
    listener.listen()
    stream = connect(listener.getsockname(), "engine", "s-0", 4096, 1.0, lambda: None)
    theirs, _ = listener.accept()
    theirs.sendall(b"here")
    stream.fill(time.time() - 1.0)
    assert bytes(stream.unread()) == b"here"
    stream.consume(4)
    with pytest.raises(StreamClosedError, match="silent"):
        stream.fill(time.time() - 1.0)
    theirs.close()


def test_a_command_that_the_module_stumbles_on_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    _, router, client = answered_once()
    with monkeypatch.context() as patch:
        patch.setattr(router.desk.scheduler, "submit", lambda *args: 1 / 0)
        client.ask("look")
        assert client.hear()[2][0] == "Failed" and not router.desk.open_requests
    client.ask("look")
    assert client.hear()[3]


def test_calls_beyond_the_bound_and_calls_taken_back_at_full_speed() -> None:
    engine, client = played(lambda call, fields, body: answer(204) if "DELETE" in call else None)
    for _ in range(40):
        client.ask("look", wait="900")
    assert [client.hear()[2][0] for _ in range(8)] == ["Invalid"] * 8
    for call in range(1, 33):
        client.send(2, "cancel", [call])
    for _ in range(300):
        client.send(2, "cancel", [client.ask("look", wait="900")])
    client.send(0, 9999, "health", [{}])
    assert client.hear() == [1, 9999, None, [True, {}]]


def test_a_connection_whose_calls_were_all_taken_back_ends_but_not_one_that_waits() -> None:
    engine = SqlEngine(lambda call, fields, body: answer(204) if "DELETE" in call else answer(202))
    router = Router(engine.address)
    patient, fickle = router.client(), router.client()
    patient.ask("look", ref="a" * 16, wait="2600")
    fickle.send(2, "cancel", [fickle.ask("look", ref="b" * 16)])
    assert fickle.hear(2.5) is None
    assert patient.hear()[2][0] == "Rejected"


def test_one_descriptor_serves_many_commands_at_two_engines() -> None:
    engines = [SqlEngine(lambda call, fields, body: GOOD) for _ in range(2)]
    client = Router(*(engine.address for engine in engines), descriptors=1).client()
    for _ in range(12):
        client.ask("look")
    heard = [client.hear() for _ in range(12)]
    assert all(result for _, _, _, result in heard), heard
    assert all(engine.calls for engine in engines)


def test_new_commands_are_taken_by_how_long_their_clients_wait_and_after_outcomes() -> None:
    """Found on sockets in a burst: retries with little time left waited behind all that came before them."""
    desk, done = (
        Dispatcher(DEPLOYMENT, 7, engine_client_factory(DEPLOYMENT, BoundedSemaphore(5)), lambda data: None),
        list[str](),
    )
    for place, name in ((5.0, "first try"), (4.2, "retry"), (5.0, "first try given up")):
        desk.post_new_work(place, done.append, name)
    desk.post(done.append, "outcome")
    until(lambda: len(done) == 4)
    assert done == ["outcome", "retry", "first try", "first try given up"]


class Outcomes(Listener):
    """In place of the desk of an engine's actor."""

    def __init__(self) -> None:
        super().__init__()
        self.ends: list[AttemptOutcome] = []

    def on_attempt_end(self, ref: str, no: int, how: AttemptOutcome, report: object) -> None:
        self.ends.append(how)

    def on_descriptor_shortage(self, engine: EngineClient) -> None:
        pass

    def on_attempt_alive(self, ref: str, no: int) -> None:
        pass


def test_a_send_that_waits_does_not_go_out_once_its_engine_drains() -> None:
    sql, desk, share = SqlEngine(lambda call, fields, body: GOOD), Outcomes(), BoundedSemaphore(1)
    share.acquire()  # so the send waits for a descriptor
    engine = EngineClient(desk, "s-0", sql.address, DEPLOYMENT, share)  # type: ignore[arg-type]
    engine.post(engine.start_attempt, AttemptCall("0" * 16, 0, "load", b"", 0, time.time() + 3))
    gevent.sleep(0.02)
    engine.post(engine.update_entry, False, 0.0)
    until(lambda: desk.ends)
    assert desk.ends[0].never_ran and not sql.calls


@pytest.mark.parametrize("tell", ["drain", "cancel"])
def test_a_send_stopped_before_its_first_step_still_has_an_end(tell: str) -> None:
    sql, desk = SqlEngine(lambda call, fields, body: GOOD), Outcomes()
    engine = EngineClient(desk, "s-0", sql.address, DEPLOYMENT, BoundedSemaphore(1))  # type: ignore[arg-type]
    engine.post(engine.start_attempt, AttemptCall("0" * 16, 0, "load", b"", 0, time.time() + 3))
    if tell == "drain":
        engine.post(engine.update_entry, False, 0.0)
    else:
        engine.post(engine.cancel_attempt, "0" * 16, 0)
    until(lambda: desk.ends)
    gevent.sleep(0.02)
    assert len(desk.ends) == 1 and (desk.ends[0].never_ran or sql.calls)


def test_a_draining_engine_is_asked_for_news_on_the_connection_there_is() -> None:
    sql, desk = SqlEngine(lambda call, fields, body: gevent.sleep(0.02) or answer(202)), Outcomes()
    engine = EngineClient(desk, "s-0", sql.address, DEPLOYMENT, BoundedSemaphore(5))  # type: ignore[arg-type]
    engine.post(engine.start_attempt, AttemptCall("0" * 16, 0, "load", b"", 0, time.time() + 0.5))
    until(lambda: sql.calls)
    engine.post(engine.update_entry, False, 0.0)
    until(lambda: desk.ends)
    assert len(sql.asked("GET")) > 5 and sql.connections <= 2  # a second one gives it up


def test_a_new_process_has_nothing_of_the_old_one() -> None:
    sql, desk = SqlEngine(lambda call, fields, body: None), Outcomes()
    engine = EngineClient(desk, "s-0", sql.address, DEPLOYMENT, BoundedSemaphore(5))  # type: ignore[arg-type]
    engine.post(engine.start_attempt, AttemptCall("0" * 16, 0, "load", b"", 0, time.time() + 9))
    until(lambda: sql.calls)
    engine.post(engine.update_entry, True, time.time() + 1)
    until(lambda: desk.ends)
    assert desk.ends == [AttemptOutcome.CONNECTION_LOST]


def test_the_list_follows_the_directory_and_nothing_else() -> None:
    name_server, desk = socket.socket(type=socket.SOCK_DGRAM), Listener()
    name_server.bind((HOST, 0))
    known = json.loads(configuration(1, 2, (HOST, 3), {"s-a": (HOST, 1000)}, SETTINGS))["known"]
    directory = EngineDiscovery(desk, DEPLOYMENT, known, name_server.getsockname())  # type: ignore[arg-type]
    [(entry, address)], whole = desk.lists[0]
    assert (entry.name, entry.status, address, whole) == ("s-a", EngineStatus.UP, (HOST, 1000), True)
    engines = {"s-b": (HOST, 2000), "s-a": (HOST, 1000)}
    began = time.monotonic()
    for junk in (b"", b"\x00" * 12, b"\xc0\x0c" * 40):
        question, sender = name_server.recvfrom(4096)
        name_server.sendto(junk, sender)
        for wrong in (
            dns_answer(question, 9, engines, cut=True),
            dns_answer(b"\xff\xff" + question[2:], 9, engines),
        ):
            name_server.sendto(wrong, sender)
        name_server.sendto(dns_answer(question, 0, {}), sender)
    assert len(desk.lists) == 1 and time.monotonic() - began < 1.0  # asked sooner where nothing good came
    name_server, old = socket.socket(type=socket.SOCK_DGRAM), name_server
    name_server.bind((HOST, 0))
    directory.post(directory.set_nameserver, name_server.getsockname())
    question, sender = name_server.recvfrom(4096)
    old.sendto(dns_answer(question, 8, {}), sender)
    name_server.sendto(dns_answer(question, 2, engines), sender)
    until(lambda: len(desk.lists) == 2)
    listing, whole = desk.lists[1]
    assert whole and [(e.engine_id, e.name, e.started_at, a) for e, a in listing] == [
        (1, "s-b", 5.0, (HOST, 2000)),
        (0, "s-a", 5.0, (HOST, 1000)),
    ]
    directory.greenlet.kill()


def test_peers_are_known_by_their_address_and_each_kind_by_its_owner() -> None:
    mate, stranger = socket.socket(type=socket.SOCK_DGRAM), socket.socket(type=socket.SOCK_DGRAM)
    mate.bind((HOST, 0))
    stranger.bind((HOST, 0))
    peers = DatagramTransport((HOST, 0), [(HOST, 1), mate.getsockname()], mate.getsockname(), 0)
    heard, address = list[tuple[str, int, bytes]](), peers.sock.getsockname()
    peers.register(LOAD_UPDATE, lambda peer, data: heard.append(("news", peer, data)))
    tell = peers.register(
        DatagramKind("own", 0xDD, 100.0), lambda peer, data: heard.append(("own", peer, data))
    )
    peers.listen()
    own = b"\xdd" + b"o" * 49
    for sock, data in ((stranger, b"stray"), (mate, b"x" * 257), (mate, b"nobody's"), (mate, b"\xddnews")):
        sock.sendto(data, address)
    for _ in range(9):  # two seconds' worth of its pace, and the rest is dropped
        mate.sendto(own, address)
    mate.sendto(b"after", address)
    until(lambda: heard and heard[-1][2] == b"after")
    assert heard[0] == ("news", 1, b"\xddnews")  # five bytes are news, whatever they begin with
    assert heard[1:] == [("own", 1, own)] * 4 + [("news", 1, b"after")]
    assert peers.dropped_counts == {
        "unknown sender": 2,
        "unknown kind": 1,
        "own of a peer over its rate limit": 5,
    }
    tell(b"y" * 257)
    for _ in range(6):
        tell(own, 1)
    tell(b"\xddlast")  # to all; there is room for no more of the kind
    peers.post(peers.sock.sendto, b"end", mate.getsockname())
    assert [mate.recv(300) for _ in range(5)] == [own] * 4 + [b"end"]


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


def command(*args: str, config: str = "", before: Any = None) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "marbleworks", *args],
        env=os.environ | {"RELAY_CONFIG": config},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=before,
    )


def test_sighup_asks_elsewhere_and_sigterm_answers_what_was_taken_and_still_comes(tmp_path: Any) -> None:
    begun = dict[str, float]()

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes:
        ref = fields.get("X-Hop-Id") or call[7:23]
        gevent.sleep(0.2)
        return GOOD if time.monotonic() > begun.setdefault(ref, time.monotonic()) + 1.0 else answer(202)

    engine = SqlEngine(reply)
    (_, listen), (_, peer) = closed_port(), closed_port()
    path, nowhere, moved = tmp_path / "config.json", closed_port(), socket.socket(type=socket.SOCK_DGRAM)
    moved.bind((HOST, 0))
    good = configuration(listen, peer, nowhere, {"s-a": engine.address}, SETTINGS)
    path.write_text(good)
    router = command("serve", config=str(path))
    try:
        until(lambda: socket.socket().connect_ex((HOST, listen)) == 0, 10)
        before = RpcClient((HOST, listen))
        before.ask("look", wait="3000")
        until(lambda: engine.calls)
        for text in ("{", good.replace(f":{nowhere[1]}", f":{moved.getsockname()[1]}")):
            path.write_text(text)
            router.send_signal(signal.SIGHUP)
            gevent.sleep(0.1)
        assert moved.recv(4096)
        router.send_signal(signal.SIGTERM)
        gevent.sleep(0.3)
        router.send_signal(signal.SIGHUP)
        after = RpcClient((HOST, listen))
        after.send(0, 1, "health", [{}])
        assert after.hear() == [1, 1, None, [False, {}]]
        after.ask("look", ref="a" * 16)
        assert before.hear()[3] and after.hear()[3]
        assert router.wait(5) == 0
    finally:
        router.kill()
        router.communicate()


@pytest.mark.parametrize("text", ["", "{", "{}", json.dumps({"name": "n", "seed": "zz"})])
def test_a_wrong_configuration_is_said_in_a_line(text: str, tmp_path: Any) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    for verb in ("check", "serve"):
        done = command(verb, config=str(path))
        out, err = done.communicate(timeout=10)
        assert done.returncode == 1 and not out and err.count("\n") == 1 and "config.json" in err


def test_the_command_line_says_what_is_wrong(tmp_path: Any) -> None:
    taken = socket.socket()
    taken.bind((HOST, 0))
    taken.listen()
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    text = configuration(taken.getsockname()[1], closed_port()[1], closed_port(), {}, SETTINGS)
    good.write_text(text)
    bad.write_text(text.replace('"kinds"', '"sorts"'))
    for args, config, code, words in (
        (["version"], "", 0, "0.1"),
        (["check"], str(good), 0, "fit to serve"),
        (["check"], str(bad), 1, "kinds is missing"),
        (["serve"], str(good), 1, "in use"),
        (["check"], "", 1, "RELAY_CONFIG"),
        (["no-such"], "", 2, "No such"),
    ):
        done = command(*args, config=config)
        out, err = done.communicate(timeout=10)
        assert done.returncode == code and words in out + err, (args, out, err)
    assert SETTINGS["kinds"]
