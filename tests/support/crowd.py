"""Clients that misbehave, and engines that follow what a statement says, in processes of their own.

`python -m tests.support.crowd clients HOST PORT KIND PIECE_BYTES CLIENTS SECONDS` runs clients, and
`python -m tests.support.crowd engine` prints the port of an engine and runs it.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from contextlib import suppress

import gevent
import msgpack
from gevent import socket

from marbleworks.lab.standins import SqlEngine, http_response

PIECE_INTERVAL_S = 0.02
CLOSE_CHECK_INTERVAL_S = 0.1
WRITE_TIMEOUT_S = 0.5
WHOLE = 1 << 17  # more than each of the texts below
LARGE_PAGE = ("\t".join(["abcdefghijkl" * 12] * 3) + "\n").encode() * 13
LARGE_RESULT_PAGES = 8
SPOILT_HEAD = b"HTTP/1.1 200 OK\r\n" + b"".join(
    b"%x:\r\n" % field for field in range(1 << 12, (1 << 12) + 2300)
)
ENDLESS_ANSWER = b"HTTP/1.1 200 OK\r\nX-Sheets: 1\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 40_000
NEWS_INTERVAL_S = 0.25
USAGE = {"X_Toil": "5", "X_Room": "8", "X_Report": "queue:0;x0:0.2"}


def fields_of(number: int, wait_ms: int = 3000) -> dict[str, str]:
    """Returns the fields of a valid request."""
    return {"id": f"{number:016x}", "wait": str(wait_ms), "tenant": "acme", "cost": "50", "need_mb": "9"}


def request(number: int, statement: bytes, method: str = "look", call_id: int = 1) -> bytes:
    """Returns the bytes of a valid request."""
    return msgpack.packb([0, call_id, method, [fields_of(number), statement]])


def half_of_a_large_request(number: int) -> bytes:
    """Returns a request of 60 KB without its last bytes."""
    return request(number, b"x" * 60_000)[:59_000]


def half_of_a_large_request_behind_another(number: int) -> bytes:
    """Returns a request that the engine does not answer, and one of 60 KB without its last bytes."""
    return request(number, b"hang") + request(number + 1, b"x" * 60_000, call_id=2)[:59_000]


def very_many_short_fields(number: int) -> bytes:
    """Returns the begin of a request whose fields hold some 60,000 empty arrays, none longer than 64."""
    leaf = b"\xdc\x00\x40" + b"\x90" * 64
    branch = b"\xdc\x00\x0e" + leaf * 14
    head = b"\x94\x00\x01\xa4look\x92\xde\x00\x40"
    return (head + b"".join(b"\xa2%02d" % entry + branch for entry in range(64)))[:64_000]


def invalid_requests(number: int) -> bytes:
    """Returns requests without an id, each with a new method."""
    return b"".join(msgpack.packb([0, call, f"m{call}", [{"id": ""}, b"x"]]) for call in range(1, 2500))


def health_calls(number: int) -> bytes:
    """Returns many calls that are answered at once."""
    return b"".join(msgpack.packb([0, call, "health", [{}]]) for call in range(1, 4500))


def large_requests(number: int) -> bytes:
    """Returns as many large requests as a connection may have open; the engine does not answer them."""
    return b"".join(
        request(number * 100 + call, b"hang" + b"x" * 30_000, call_id=call) for call in range(1, 33)
    )


def small_requests(number: int) -> bytes:
    """Returns as many small requests as a connection may have open; the engine does not answer them."""
    return b"".join(request(number * 100 + call, b"hang", call_id=call) for call in range(1, 33))


def requests_with_large_results(number: int) -> bytes:
    """Returns as many requests as a connection may have open; each result has 45 KB."""
    return b"".join(request(number * 100 + call, b"large", call_id=call) for call in range(1, 33))


def requests_with_spoilt_answers(number: int) -> bytes:
    """Returns as many requests as a connection may have open; the heads of their answers never end."""
    return b"".join(request(number * 100 + call, b"spoil", call_id=call) for call in range(1, 33))


def requests_with_endless_answers(number: int) -> bytes:
    """Returns as many requests as a connection may have open; their answers are too long and never end."""
    return b"".join(request(number * 100 + call, b"endless", call_id=call) for call in range(1, 33))


def nothing(number: int) -> bytes:
    """Returns no bytes."""
    return b""


KINDS: dict[str, Callable[[int], bytes]] = {
    function.__name__: function
    for function in (
        nothing,
        half_of_a_large_request,
        half_of_a_large_request_behind_another,
        very_many_short_fields,
        invalid_requests,
        health_calls,
        small_requests,
        large_requests,
        requests_with_large_results,
        requests_with_spoilt_answers,
        requests_with_endless_answers,
    )
}


def be_bad(address: tuple[str, int], data: bytes, piece_bytes: int, ends_at: float) -> None:
    """Writes the data again and again, each time on a new connection and in pieces, and reads nothing."""
    while time.monotonic() < ends_at:
        sock = socket.socket()
        sock.settimeout(WRITE_TIMEOUT_S)
        with sock, suppress(OSError):
            sock.connect(address)
            for offset in range(0, len(data), piece_bytes):
                sock.sendall(data[offset : offset + piece_bytes])
                if piece_bytes < WHOLE:
                    gevent.sleep(PIECE_INTERVAL_S)
            wait_for_close(sock, ends_at)


def wait_for_close(sock: socket.socket, ends_at: float) -> None:
    """Waits until the router has closed the connection; raises OSError if it has reset it."""
    sock.settimeout(0.0)
    while time.monotonic() < ends_at:
        gevent.sleep(CLOSE_CHECK_INTERVAL_S)
        with suppress(BlockingIOError):
            if sock.recv(1, socket.MSG_PEEK) == b"":
                return


class ScriptedEngine:
    """Answers calls as the protocol page says; a statement says what becomes of it.

    Attributes:
        statements: Statements of the requests, by request id.
    """

    def __init__(self) -> None:
        self.statements: dict[str, bytes] = {}
        self.address: tuple[str, int] = SqlEngine(self.reply).address

    def reply(self, call: str, fields: dict[str, str], body: bytes) -> bytes:
        """Returns the response to a call."""
        verb, path = call.split(" ")
        _, _, *rest = path.split("/")
        ref = fields.get("X-Hop-Id") or rest[0]
        if verb == "DELETE":
            self.statements.pop(ref, None)
            return http_response(204)
        if verb == "POST":
            self.statements[ref] = body
        page = int(rest[1]) if verb == "GET" else 0
        statement = self.statements.get(ref)
        if statement is None:
            return http_response(500)
        if statement.startswith(b"spoil"):
            return SPOILT_HEAD
        if statement.startswith(b"endless"):
            return ENDLESS_ANSWER
        if statement.startswith(b"hang"):
            gevent.sleep(NEWS_INTERVAL_S)
            return http_response(202)
        rows = f"{ref}\t{page}\tx\n".encode()
        if not statement.startswith(b"large"):
            return http_response(200, rows, X_Sheets=1, **USAGE)
        rows += LARGE_PAGE
        if page:
            return http_response(200, rows, X_Sheet=page)
        return http_response(200, rows, X_Sheets=LARGE_RESULT_PAGES, **USAGE)


def main(arguments: list[str]) -> None:
    """Runs the clients or the engine."""
    if arguments[0] == "engine":
        print(ScriptedEngine().address[1], flush=True)
        gevent.get_hub().join()
        return
    host, port, kind, piece_bytes, clients, seconds = arguments[1:]
    ends_at = time.monotonic() + float(seconds)
    gevent.joinall(
        [
            gevent.spawn(be_bad, (host, int(port)), KINDS[kind](number << 20), int(piece_bytes), ends_at)
            for number in range(1, int(clients) + 1)
        ]
    )


if __name__ == "__main__":
    main(sys.argv[1:])
