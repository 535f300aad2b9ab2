"""Each message of clients and engines in every form that its protocol allows, whole and a byte at a time."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

import pytest
from gevent import socket

from marbleworks.lab.standins import RpcClient, SqlEngine, answer
from marbleworks.net.actor import clock
from marbleworks.net.engine_connection import EngineConnection
from marbleworks.net.engine_protocol import MAX_RESPONSE_BYTES
from marbleworks.net.messages import AttemptResult
from marbleworks.net.stream import CloseReason, StreamClosedError, connect
from tests.net.test_router import Router, bounded, row

__all__ = ["bounded"]

ASKED = {"wait": "3000", "tenant": "acme", "cost": "50", "need_mb": "9"}


@pytest.fixture(params=["as they come", "a byte at a time"])
def pieces(request: Any, monkeypatch: pytest.MonkeyPatch) -> bool:
    """Whether a read takes one byte of what has come, and not all."""
    read, pieces = socket.socket.recv_into, request.param == "a byte at a time"
    if pieces:
        monkeypatch.setattr(socket.socket, "recv_into", lambda sock, into, *_: read(sock, into, 1))
    return pieces


def result(call: str, fields: dict[str, str], body: bytes) -> bytes:
    """Each another, since a router takes what it has heard before for a copy."""
    return (
        answer(204) if "DELETE" in call else answer(200, row(fields.get("X-Hop-Id", call[7:23])), X_Sheets=1)
    )


WIDE = {8: "B", 16: "H", 32: "I", 64: "Q"}
CODES = {
    str: {8: 0xD9, 16: 0xDA, 32: 0xDB},
    bytes: {8: 0xC4, 16: 0xC5, 32: 0xC6},
    list: {16: 0xDC, 32: 0xDD},
    dict: {16: 0xDE, 32: 0xDF},
    int: {8: 0xCC, 16: 0xCD, 32: 0xCE, 64: 0xCF},
}
SHORT = {str: (0xA0, 31), list: (0x90, 15), dict: (0x80, 15), int: (0, 127), bytes: (0, -1)}


def packed(value: Any, bits: int, signed: bool = False) -> bytes:
    """MessagePack with lengths and figures of that many bits, or the next that the type has; 0: in short."""
    if value is None:
        return b"\xc0"
    kind, size = type(value), value if isinstance(value, int) else len(value)
    short, most = SHORT[kind]
    if not bits and size <= most:
        head = bytes([short + size])
    else:
        wide = min(bits, max(CODES[kind]))
        wide = min(n for n in CODES[kind] if n >= wide and size < 1 << (n - (kind is int and signed)))
        code = CODES[kind][wide] + (4 if kind is int and signed else 0)
        head = struct.pack(f">B{WIDE[wide]}", code, size)
    if kind in (str, bytes):
        return head + (value.encode() if kind is str else value)
    parts = [part for pair in value.items() for part in pair] if kind is dict else value if size else []
    return head + b"".join(packed(part, bits, signed) for part in ([] if kind is int else parts))


@pytest.mark.parametrize("signed", [False, True])
@pytest.mark.parametrize("bits", [0, 8, 16, 32, 64])
def test_a_call_is_the_same_in_every_form(bits: int, signed: bool, pieces: bool) -> None:
    engine = SqlEngine(result)
    client = Router(engine.address).client()

    def say(*messages: list[Any]) -> None:
        client.sock.sendall(b"".join(packed(message, bits, signed) for message in messages))

    def ask(call: int, body: Any = b"select 1", **fields: str) -> list[Any]:
        return [0, call, "look", [{"id": f"{call:016x}"} | ASKED | fields, body]]

    def served(call: int) -> list[Any]:
        return [1, call, None, [row(f"{call:016x}"), {}]]

    say([0, 1, "health", [{}]], ask(2, rack="unknown"))
    assert client.hear() == [1, 1, None, [True, {}]] and client.hear() == served(2)
    for call in (3, 4):  # with its cancel
        say(ask(call, b"gone"), [2, "cancel", [call]], [0, call + 100, "health", [{}]])
        assert client.hear() == [1, call + 100, None, [True, {}]]
    say(*(ask(call) for call in range(5, 37)))
    assert sorted(client.hear() for _ in range(32)) == [served(call) for call in range(5, 37)]
    say(ask(37, "text, not bin"), ask(38))
    assert client.hear() == [1, 37, ["Invalid", {"why": "the body is not a single value of type bin"}], None]
    assert client.hear() == served(38)
    seen = [(fields["X-Hop-Id"], body) for call, fields, body in engine.calls if "POST" in call]
    assert pieces or all(
        body != b"gone" for _, body in seen
    )  # where the cancel came later, it may have begun
    kept = [2, *range(5, 37), 38]
    assert sorted(one for one in seen if one[1] != b"gone") == [
        (f"{call:016x}", b"select 1") for call in kept
    ]


@pytest.mark.parametrize(("size", "bits"), [(255, 8), (256, 16), (48_000, 16), (48_000, 32), (65_000, 32)])
def test_a_long_statement_goes_on_whole(size: int, bits: int, pieces: bool) -> None:
    engine = SqlEngine(result)
    client, text = Router(engine.address).client(), b"-" * size
    client.sock.sendall(packed([0, 1, "look", [{"id": "0" * 16} | ASKED, text]], bits))
    assert client.hear()[3] == [row("0" * 16), {}] and [body for _, _, body in engine.calls] == [text]


Fields = list[tuple[str, str]]
Form = Callable[[str, Fields, bytes], bytes]


def http(first: str, fields: Fields, body: bytes, colon: str = ": ", behind: str = "") -> bytes:
    lines = "".join(f"{name}{colon}{value}{behind}\r\n" for name, value in fields)
    return f"{first}\r\n{lines}\r\n".encode() + body


def chunked(size: int, head: str = "{:x}", trailer: str = "") -> Form:
    def form(first: str, fields: Fields, body: bytes) -> bytes:
        parts = [body[at : at + size] for at in range(0, len(body), size)]
        chunks = b"".join(head.format(len(part)).encode() + b"\r\n" + part + b"\r\n" for part in parts)
        chunks += f"0\r\n{trailer}\r\n".encode()
        return http(first, [*fields[:-1], ("Transfer-Encoding", "chunked")], chunks)

    return form


FORMS: dict[str, Form] = {
    "plain": http,
    "names in capitals": lambda first, fields, body: http(first, [(k.upper(), v) for k, v in fields], body),
    "names in small": lambda first, fields, body: http(first, [(k.lower(), v) for k, v in fields], body),
    "no space before values": lambda first, fields, body: http(first, fields, body, ":"),
    "much space before values": lambda first, fields, body: http(first, fields, body, ": \t "),
    "space behind values": lambda first, fields, body: http(first, fields, body, behind=" \t"),
    "fields in the other order": lambda first, fields, body: http(first, fields[::-1], body),
    "further fields": lambda first, fields, body: http(first, [("X-None", ""), ("Via", "a"), *fields], body),
    "no phrase": lambda first, fields, body: http(first[:13], fields, body),
    "the last there": lambda first, fields, body: http(first, [("Connection", "close"), *fields], body),
    "one chunk": chunked(1 << 14),
    "chunks with notes": chunked(100, '{:04X};note="a"', "X-Late: 1\r\n"),
    "chunks of a byte": chunked(1),
}


def formed(form: Form, said: bytes) -> bytes:
    head, _, body = said.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    return form(first, [(name, value) for name, _, value in (line.partition(": ") for line in lines)], body)


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
def test_an_answer_is_the_same_in_every_form(form: Form, pieces: bool) -> None:
    full = row("x" * 1999)
    first = answer(200, row("a"), X_Sheets=3, X_Toil=40, X_Room=8, X_Report="queue:7;x0:0.2")
    pages = [answer(200, full, X_Sheet=1)], [answer(200, row("é"), X_Sheet=2)]
    said = {"POST": [answer(202)], "/0": [answer(202), first], "/1": pages[0], "/2": pages[1]}
    engine = SqlEngine(
        lambda call, fields, body: formed(form, said["POST" if "POST" in call else call[-2:]].pop(0))
    )
    router, goods = Router(engine.address), list[AttemptResult]()
    answered = router.desk.on_answer

    def heard(ref: str, no: int, good: AttemptResult) -> None:
        goods.append(good)
        answered(ref, no, good)

    router.desk.on_answer = heard  # type: ignore[method-assign]
    client: RpcClient = router.client()
    client.ask("load")
    assert client.hear() == [1, 1, None, [row("a") + full + row("é"), {}]]
    [good] = goods
    assert good.usage == (0.04, 8.0) and good.load_report is not None
    assert (good.load_report.waiting_for_memory, good.load_report.memory_granted) == (7.0, 0.2)
    assert [call[:4] for call, _, _ in engine.calls] == ["POST", *["GET "] * 4]  # nothing was asked for twice


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
def test_that_a_command_never_ran_is_read_in_every_form(form: Form, pieces: bool) -> None:
    said = [answer(503, X_No_Effect=1), answer(200, row("a"), X_Sheets=1)]
    engine = SqlEngine(lambda call, fields, body: formed(form, said.pop(0)))
    client = Router(engine.address).client()
    client.ask("load")
    assert client.hear()[3] == [row("a"), {}] and len(engine.asked("POST")) == 2


@pytest.mark.parametrize("form", [http, chunked(1)])
def test_an_answer_that_does_not_end_is_read_only_so_far(form: Form) -> None:
    engine = SqlEngine(lambda call, fields, body: formed(form, answer(200, b"x" * 100_000)))
    stream = connect(engine.address, "engine", "s-0", MAX_RESPONSE_BYTES, 1.0, lambda: None)
    connection = EngineConnection(stream)
    connection.send_request(b"GET /o/0/1 HTTP/1.1\r\n\r\n", clock() + 5)
    with pytest.raises(StreamClosedError, match="too-long"):
        connection.read_response(clock() + 5)
    assert len(connection.response.body) <= 4 * MAX_RESPONSE_BYTES
    connection.close(CloseReason.TOO_LONG)
