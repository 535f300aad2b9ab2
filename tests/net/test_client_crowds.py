"""Tests that crowds of clients neither kill a router for its memory nor cost others an answer.

Each test starts a router process with the least memory that the operators' pages name, or the least that
their days gave it, and 1,024 descriptors. The crowd is larger than the number of connections that the router
accepts.
"""

from __future__ import annotations

import json
import os
import signal
import sys
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
import msgpack
import pytest
from gevent import socket, subprocess

from marbleworks.lab.standins import HOST, RpcClient, SqlEngine, http_response, router_configuration
from tests.net.test_router import GOOD, closed_port, row, until
from tests.support.stand_ins import SETTINGS

LEAST_MEMORY_MB = 32  # of the operators' pages, for any day
LEAST_MEMORY_PLAYED_MB = 64  # in a day of the operators
DESCRIPTORS = 1024
CROWD = 400
CROWD_S = 3.0
PIECE_INTERVAL_S = 0.02
USUAL_CLIENTS = 6
USUAL_WAIT_S = 2.0
LATE_ANSWER_ALLOWANCE_S = 0.5
USUAL_PAUSE_S = 0.05
CLOSE_CROSSED_S = 0.05  # a request that crosses the close of an unused connection is sent again, once
MEMORY_CHECK_INTERVAL_S = 0.01
WHOLE = 1 << 16


def fields_of(number: int, wait_ms: int = 3000) -> dict[str, str]:
    """Returns the fields of a valid request."""
    return {"id": f"{number:016x}", "wait": str(wait_ms), "tenant": "acme", "cost": "50", "need_mb": "9"}


def request(number: int, statement: bytes, method: str = "look", call_id: int = 1) -> bytes:
    """Returns the bytes of a valid request."""
    return msgpack.packb([0, call_id, method, [fields_of(number), statement]])


def half_of_a_large_request(number: int) -> bytes:
    """Returns a request of 60 KB without its last bytes."""
    return request(number, b"x" * 60_000)[:59_000]


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


def nothing(number: int) -> bytes:
    """Returns no bytes."""
    return b""


LARGE_PAGE = row("abcdefghijkl" * 12) * 13
LARGE_RESULT_PAGES = 8


def engine_reply(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
    """Returns an engine's response; a statement says what becomes of it."""
    if call.startswith("DELETE"):
        return http_response(204)
    page = int(call.rpartition("/")[2]) if call.startswith("GET") else 0
    if page:
        return http_response(200, LARGE_PAGE, X_Sheet=page)
    if body.startswith(b"large"):
        return http_response(200, LARGE_PAGE, X_Sheets=LARGE_RESULT_PAGES)
    if body.startswith(b"hang") or call.startswith("GET"):
        gevent.sleep(0.25)
        return http_response(202)
    return GOOD


@dataclass
class RouterProcess:
    """A router in a process of its own, whose memory is watched.

    Attributes:
        peak_mb: Most memory that no file backed.
        rest_mb: Such memory before there were clients.
    """

    process: subprocess.Popen[bytes]
    address: tuple[str, int]
    log_path: Path
    peak_mb: float = 0.0
    rest_mb: float = 0.0

    def memory_mb(self) -> float:
        """Returns the process's memory in megabytes that no file backs."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text("ascii").splitlines():
            if line.startswith("RssAnon"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def watch_memory(self) -> None:
        """Measures the memory until the process ends."""
        while self.process.poll() is None:
            with suppress(OSError):
                self.peak_mb = max(self.peak_mb, self.memory_mb())
            gevent.sleep(MEMORY_CHECK_INTERVAL_S)

    def is_healthy(self) -> bool:
        """Whether the router answers `health` with true."""
        try:
            client = RpcClient(self.address)
        except OSError:
            return False
        client.send(0, 1, "health", [{}])
        answer = client.receive()
        client.sock.close()
        return bool(answer and answer[3][0])


@pytest.fixture
def start_router(tmp_path: Path) -> Iterator[Callable[[int], RouterProcess]]:
    """Returns a function that starts a router with a memory limit in megabytes; it ends after the test."""
    started: list[RouterProcess] = []

    def start(memory_mb: int) -> RouterProcess:
        engines = {f"s-{number}": SqlEngine(engine_reply).address for number in range(3)}
        (_, listen), (_, peer) = closed_port(), closed_port()
        text = router_configuration(listen, peer, closed_port(), engines, SETTINGS, sockets=DESCRIPTORS)
        config = json.loads(text)
        config["limits"]["memory_mb"] = memory_mb
        config_path, log_path = tmp_path / "config.json", tmp_path / "log"
        config_path.write_text(json.dumps(config))
        with log_path.open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "marbleworks", "serve"],
                env=os.environ | {"RELAY_CONFIG": str(config_path)},
                stdout=log,
                stderr=log,
            )
        router = RouterProcess(process, (HOST, listen), log_path)
        started.append(router)
        until(router.is_healthy, 15)
        router.rest_mb = router.memory_mb()
        gevent.spawn(router.watch_memory)
        return router

    with gevent.Timeout(45):
        yield start
    for router in started:
        router.process.kill()
        router.process.wait()


@dataclass
class UsualClients:
    """Clients that keep to the protocol.

    Attributes:
        served: Number of results.
        other: Number of other final answers.
        lost: What became of requests that have no answer.
    """

    address: tuple[str, int]
    served: int = 0
    other: int = 0
    lost: list[str] = field(default_factory=list)

    def run(self, index: int, seconds: float) -> None:
        """Sends one request after the other."""
        ends_at = gevent.get_hub().loop.now() + seconds
        number = index << 40
        client = RpcClient(self.address)
        while gevent.get_hub().loop.now() < ends_at:
            number += 1
            client = self.send(client, number)
            gevent.sleep(USUAL_PAUSE_S)
        client.sock.close()

    def send(self, client: RpcClient, number: int) -> RpcClient:
        """Sends one request, on a new connection if the router has closed or then closes the present one."""
        answer = self.ask(client, number)
        if answer is None:
            client = RpcClient(self.address)
            answer = self.ask(client, number)
        if answer is None:
            self.lost.append("connection closed")
            return RpcClient(self.address)
        if answer[3]:
            self.served += 1
        else:
            self.other += 1
        return client

    def ask(self, client: RpcClient, number: int) -> Any:
        """Returns the answer; None if the router closed the connection within the time of a crossing."""
        wait_ms = round(USUAL_WAIT_S * 1000)
        sent_at = gevent.get_hub().loop.now()
        try:
            client.sock.sendall(
                msgpack.packb([0, number & 0xFFFF, "look", [fields_of(number, wait_ms), b"select 1"]])
            )
            answer = client.receive(USUAL_WAIT_S + LATE_ANSWER_ALLOWANCE_S)
        except OSError:
            answer = None
        except gevent.Timeout:
            self.lost.append("no answer in time")
            return [1, 0, ["Late"], None]
        if answer is None and gevent.get_hub().loop.now() - sent_at > CLOSE_CROSSED_S:
            self.lost.append("connection closed with an open request")
        return answer


def be_bad(address: tuple[str, int], data: bytes, piece_bytes: int, seconds: float) -> None:
    """Writes the data again and again, in pieces, and reads nothing."""
    ends_at = gevent.get_hub().loop.now() + seconds
    while gevent.get_hub().loop.now() < ends_at:
        sock = socket.socket()
        sock.settimeout(0.5)
        with sock, suppress(OSError):
            sock.connect(address)
            for offset in range(0, len(data), piece_bytes):
                sock.sendall(data[offset : offset + piece_bytes])
                if piece_bytes < WHOLE:
                    gevent.sleep(PIECE_INTERVAL_S)
            is_closed = False
            while not is_closed and gevent.get_hub().loop.now() < ends_at:
                gevent.sleep(PIECE_INTERVAL_S * 5)
                sock.settimeout(0.0)
                try:
                    is_closed = sock.recv(1, socket.MSG_PEEK) == b""
                except BlockingIOError:
                    is_closed = False


@pytest.mark.parametrize("memory_mb", [LEAST_MEMORY_MB, LEAST_MEMORY_PLAYED_MB])
@pytest.mark.parametrize(
    ("data_of", "piece_bytes"),
    [
        (nothing, WHOLE),
        (half_of_a_large_request, WHOLE),
        (half_of_a_large_request, 1500),
        (very_many_short_fields, WHOLE),
        (very_many_short_fields, 1500),
        (invalid_requests, WHOLE),
        (health_calls, WHOLE),
        (small_requests, WHOLE),
        (large_requests, WHOLE),
        (requests_with_large_results, WHOLE),
    ],
    ids=lambda value: getattr(value, "__name__", "whole" if value == WHOLE else "in-pieces"),
)
def test_a_crowd_neither_kills_the_router_for_memory_nor_costs_others_an_answer(
    start_router: Callable[[int], RouterProcess],
    data_of: Callable[[int], bytes],
    piece_bytes: int,
    memory_mb: int,
) -> None:
    """Guards against a sum of buffers, decoders and requests that is bounded for each connection alone."""
    router = start_router(memory_mb)
    usual = UsualClients(router.address)
    greenlets = [gevent.spawn(usual.run, index, CROWD_S + 1.0) for index in range(1, USUAL_CLIENTS + 1)]
    gevent.sleep(0.3)
    crowd = [
        gevent.spawn(be_bad, router.address, data_of(number << 20), piece_bytes, CROWD_S)
        for number in range(1, CROWD + 1)
    ]
    gevent.joinall([*crowd, *greenlets])
    outcome = f"peak {router.peak_mb:.1f} MB, rest {router.rest_mb:.1f} MB, {usual}"
    assert router.process.poll() is None, outcome
    assert router.peak_mb <= memory_mb, outcome
    assert not usual.lost and usual.served > 0, outcome
    router.process.send_signal(signal.SIGTERM)
    assert router.process.wait(10) == 0
