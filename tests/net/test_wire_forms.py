"""Tests of client and engine messages in every encoding that the protocols allow.

Each encoding is received as it arrives and one byte at a time.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

import pytest
from gevent import socket

from marbleworks.lab.standins import RpcClient, SqlEngine, http_response
from marbleworks.net.actor import clock
from marbleworks.net.engine_connection import EngineConnection
from marbleworks.net.engine_protocol import MAX_RESPONSE_BYTES
from marbleworks.net.messages import AttemptResult
from marbleworks.net.stream import CloseReason, StreamClosedError, connect
from tests.net.test_router import Router, row, time_limit

__all__ = ["time_limit"]

QUERY_FIELDS = {"wait": "3000", "tenant": "acme", "cost": "50", "need_mb": "9"}


@pytest.fixture(params=["as they come", "a byte at a time"])
def byte_by_byte(request: Any, monkeypatch: pytest.MonkeyPatch) -> bool:
    """Whether each read from a socket returns only one byte."""
    recv_into, byte_by_byte = socket.socket.recv_into, request.param == "a byte at a time"
    if byte_by_byte:
        monkeypatch.setattr(socket.socket, "recv_into", lambda sock, buffer, *_: recv_into(sock, buffer, 1))
    return byte_by_byte


def valid_response(call: str, fields: dict[str, str], body: bytes) -> bytes:
    """Returns a different result for each request, since a router treats a repeated result as a duplicate."""
    return (
        http_response(204)
        if "DELETE" in call
        else http_response(200, row(fields.get("X-Hop-Id", call[7:23])), X_Sheets=1)
    )


INT_FORMATS = {8: "B", 16: "H", 32: "I", 64: "Q"}
TYPE_CODES = {
    str: {8: 0xD9, 16: 0xDA, 32: 0xDB},
    bytes: {8: 0xC4, 16: 0xC5, 32: 0xC6},
    list: {16: 0xDC, 32: 0xDD},
    dict: {16: 0xDE, 32: 0xDF},
    int: {8: 0xCC, 16: 0xCD, 32: 0xCE, 64: 0xCF},
}
SHORT_FORMS = {str: (0xA0, 31), list: (0x90, 15), dict: (0x80, 15), int: (0, 127), bytes: (0, -1)}


def packed(value: Any, bits: int, signed: bool = False) -> bytes:
    """Encodes a value as MessagePack.

    Args:
        value: The value.
        bits: Width of lengths and numbers, or else the next greater width that the type has; 0 for the
            shortest form.
        signed: Whether numbers are encoded as signed ones.
    """
    if value is None:
        return b"\xc0"
    value_type, size = type(value), value if isinstance(value, int) else len(value)
    short_base, max_short_size = SHORT_FORMS[value_type]
    if not bits and size <= max_short_size:
        head = bytes([short_base + size])
    else:
        width = min(bits, max(TYPE_CODES[value_type]))
        width = min(
            candidate
            for candidate in TYPE_CODES[value_type]
            if candidate >= width and size < 1 << (candidate - (value_type is int and signed))
        )
        code = TYPE_CODES[value_type][width] + (4 if value_type is int and signed else 0)
        head = struct.pack(f">B{INT_FORMATS[width]}", code, size)
    if value_type in (str, bytes):
        return head + (value.encode() if value_type is str else value)
    parts = [part for pair in value.items() for part in pair] if value_type is dict else value if size else []
    return head + b"".join(packed(part, bits, signed) for part in ([] if value_type is int else parts))


@pytest.mark.parametrize("signed", [False, True])
@pytest.mark.parametrize("bits", [0, 8, 16, 32, 64])
def test_a_call_is_decoded_the_same_in_every_form(bits: int, signed: bool, byte_by_byte: bool) -> None:
    engine = SqlEngine(valid_response)
    client = Router(engine.address).client()

    def send_messages(*messages: list[Any]) -> None:
        client.sock.sendall(b"".join(packed(message, bits, signed) for message in messages))

    def query(call: int, body: Any = b"select 1", **fields: str) -> list[Any]:
        return [0, call, "look", [{"id": f"{call:016x}"} | QUERY_FIELDS | fields, body]]

    def response_to(call: int) -> list[Any]:
        return [1, call, None, [row(f"{call:016x}"), {}]]

    send_messages([0, 1, "health", [{}]], query(2, rack="unknown"))
    assert client.receive() == [1, 1, None, [True, {}]] and client.receive() == response_to(2)
    for call in (3, 4):  # together with its cancellation
        send_messages(query(call, b"gone"), [2, "cancel", [call]], [0, call + 100, "health", [{}]])
        assert client.receive() == [1, call + 100, None, [True, {}]]
    send_messages(*(query(call) for call in range(5, 37)))
    assert sorted(client.receive() for _ in range(32)) == [response_to(call) for call in range(5, 37)]
    send_messages(query(37, "text, not bin"), query(38))
    assert client.receive() == [
        1,
        37,
        ["Invalid", {"why": "the body is not a single value of type bin"}],
        None,
    ]
    assert client.receive() == response_to(38)
    received = [(fields["X-Hop-Id"], body) for call, fields, body in engine.calls if "POST" in call]
    # If the cancellation arrives later, the request may have been started.
    assert byte_by_byte or all(body != b"gone" for _, body in received)
    answered = [2, *range(5, 37), 38]
    assert sorted(entry for entry in received if entry[1] != b"gone") == [
        (f"{call:016x}", b"select 1") for call in answered
    ]


@pytest.mark.parametrize(("size", "bits"), [(255, 8), (256, 16), (48_000, 16), (48_000, 32), (65_000, 32)])
def test_a_long_statement_is_forwarded_completely(size: int, bits: int, byte_by_byte: bool) -> None:
    engine = SqlEngine(valid_response)
    client, text = Router(engine.address).client(), b"-" * size
    client.sock.sendall(packed([0, 1, "look", [{"id": "0" * 16} | QUERY_FIELDS, text]], bits))
    assert client.receive()[3] == [row("0" * 16), {}] and [body for _, _, body in engine.calls] == [text]


Fields = list[tuple[str, str]]
Form = Callable[[str, Fields, bytes], bytes]


def http(start_line: str, fields: Fields, body: bytes, colon: str = ": ", suffix: str = "") -> bytes:
    """Encodes an HTTP message, with a separator before each field value and a suffix after it."""
    lines = "".join(f"{name}{colon}{value}{suffix}\r\n" for name, value in fields)
    return f"{start_line}\r\n{lines}\r\n".encode() + body


def chunked(size: int, head: str = "{:x}", trailer: str = "") -> Form:
    """Returns a form that sends the body in chunks.

    Args:
        size: Maximum size of a chunk in bytes.
        head: Format of the chunk header, which takes the size.
        trailer: Fields after the last chunk.
    """

    def form(start_line: str, fields: Fields, body: bytes) -> bytes:
        parts = [body[at : at + size] for at in range(0, len(body), size)]
        chunks = b"".join(head.format(len(part)).encode() + b"\r\n" + part + b"\r\n" for part in parts)
        chunks += f"0\r\n{trailer}\r\n".encode()
        return http(start_line, [*fields[:-1], ("Transfer-Encoding", "chunked")], chunks)

    return form


FORMS: dict[str, Form] = {
    "plain": http,
    "names in capitals": lambda start_line, fields, body: http(
        start_line, [(k.upper(), v) for k, v in fields], body
    ),
    "names in lower case": lambda start_line, fields, body: http(
        start_line, [(k.lower(), v) for k, v in fields], body
    ),
    "no space before values": lambda start_line, fields, body: http(start_line, fields, body, ":"),
    "much space before values": lambda start_line, fields, body: http(start_line, fields, body, ": \t "),
    "space behind values": lambda start_line, fields, body: http(start_line, fields, body, suffix=" \t"),
    "fields in the other order": lambda start_line, fields, body: http(start_line, fields[::-1], body),
    "further fields": lambda start_line, fields, body: http(
        start_line, [("X-None", ""), ("Via", "a"), *fields], body
    ),
    "no phrase": lambda start_line, fields, body: http(start_line[:13], fields, body),
    "last on its connection": lambda start_line, fields, body: http(
        start_line, [("Connection", "close"), *fields], body
    ),
    "one chunk": chunked(1 << 14),
    "chunks with extensions": chunked(100, '{:04X};note="a"', "X-Late: 1\r\n"),
    "chunks of a byte": chunked(1),
}


def reformat(form: Form, raw_response: bytes) -> bytes:
    head, _, body = raw_response.partition(b"\r\n\r\n")
    start_line, *lines = head.decode().split("\r\n")
    return form(
        start_line, [(name, value) for name, _, value in (line.partition(": ") for line in lines)], body
    )


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
def test_a_response_is_decoded_the_same_in_every_form(form: Form, byte_by_byte: bool) -> None:
    full_page = row("x" * 1999)
    first = http_response(200, row("a"), X_Sheets=3, X_Toil=40, X_Room=8, X_Report="queue:7;x0:0.2")
    pages = [http_response(200, full_page, X_Sheet=1)], [http_response(200, row("é"), X_Sheet=2)]
    responses = {
        "POST": [http_response(202)],
        "/0": [http_response(202), first],
        "/1": pages[0],
        "/2": pages[1],
    }
    engine = SqlEngine(
        lambda call, fields, body: reformat(form, responses["POST" if "POST" in call else call[-2:]].pop(0))
    )
    router, results = Router(engine.address), list[AttemptResult]()
    on_answer = router.dispatcher.on_answer

    def record_result(ref: str, attempt_no: int, result: AttemptResult) -> None:
        results.append(result)
        on_answer(ref, attempt_no, result)

    router.dispatcher.on_answer = record_result  # type: ignore[method-assign]
    client: RpcClient = router.client()
    client.send_request("load")
    assert client.receive() == [1, 1, None, [row("a") + full_page + row("é"), {}]]
    [result] = results
    assert result.usage == (0.04, 8.0) and result.load_report is not None
    assert (result.load_report.waiting_for_memory, result.load_report.memory_granted) == (7.0, 0.2)
    assert [call[:4] for call, _, _ in engine.calls] == ["POST", *["GET "] * 4]  # no call was repeated


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
def test_the_proof_that_a_request_never_ran_is_read_in_every_form(form: Form, byte_by_byte: bool) -> None:
    responses = [http_response(503, X_No_Effect=1), http_response(200, row("a"), X_Sheets=1)]
    engine = SqlEngine(lambda call, fields, body: reformat(form, responses.pop(0)))
    client = Router(engine.address).client()
    client.send_request("load")
    assert client.receive()[3] == [row("a"), {}] and len(engine.calls_of("POST")) == 2


@pytest.mark.parametrize("form", [http, chunked(1)])
def test_an_endless_response_is_read_up_to_the_limit(form: Form) -> None:
    engine = SqlEngine(lambda call, fields, body: reformat(form, http_response(200, b"x" * 100_000)))
    stream = connect(engine.address, "engine", "s-0", MAX_RESPONSE_BYTES, 1.0, lambda: None)
    connection = EngineConnection(stream)
    connection.send_request(b"GET /o/0/1 HTTP/1.1\r\n\r\n", clock() + 5)
    with pytest.raises(StreamClosedError, match="too-long"):
        connection.read_response(clock() + 5)
    assert len(connection.response.body) <= 4 * MAX_RESPONSE_BYTES
    connection.close(CloseReason.TOO_LONG)
