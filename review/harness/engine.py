"""A SQL engine on a loopback socket, as the protocol page describes it.

A statement says in a comment how long it runs, as in `/* 400 ms */`. The result has one row, which names the
request and the engine. The engine runs at most a given number of queries at a time and refuses more.
"""

from __future__ import annotations

import re
import struct
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import BinaryIO

import gevent
from gevent import socket
from gevent.event import Event

from harness.record import Record

HOST = "127.0.0.1"
POLL_WAIT_S = 0.25  # a poll of a running query is answered after this time
UNPOLLED_LIFETIME_S = 2.0  # a query that is not asked for ends after this time
STEP_S = 0.02  # a query's time is counted in steps of this length
_RUN_TIME = re.compile(rb"/\* (\d+) ms \*/")
_REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 500: "Error", 503: "Full"}
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER without a wait


@dataclass(frozen=True, slots=True)
class Call:
    """One call of a router."""

    method: str
    path: str
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one call.

    Attributes:
        request_id: Id of the request that it is about.
    """

    status: int
    request_id: str
    body: bytes = b""
    fields: tuple[tuple[str, str], ...] = ()

    def encode(self) -> bytes:
        """Returns the bytes of the answer."""
        lines = [f"HTTP/1.1 {self.status} {_REASONS[self.status]}"]
        lines += [f"{name}: {value}" for name, value in self.fields]
        if self.status != 204:
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


@dataclass(eq=False)
class Query:
    """A query that the engine has accepted.

    Attributes:
        request_id: The client's id.
        class_name: Class of the request.
        run_s: Seconds that it runs.
        asked_at: Unix time in seconds of the last call for it.
        ended: Set when it has run, or was given up.
        succeeded: Whether it has run to its end.
    """

    request_id: str
    class_name: str
    run_s: float
    asked_at: float
    ended: Event = field(default_factory=Event)
    succeeded: bool = False


class Engine:
    """One engine: its listening socket, its connections and its queries.

    Attributes:
        name: Id in the engine list.
        zone: Zone in the engine list.
        max_queries: Number of queries that may run at a time.
        running: Cleared while the engine hangs: it neither works, nor reads, nor answers.
        resets_connections: Whether each connection is reset as soon as a call arrives on it.
        copy_delay_s: Returns after how many seconds a second copy of an answer follows; None for no copy.
    """

    def __init__(self, name: str, zone: str, max_queries: int, record: Record) -> None:
        self.name = name
        self.zone = zone
        self.max_queries = max_queries
        self.record = record
        self.queries: dict[str, Query] = {}
        self.running = Event()
        self.running.set()
        self.resets_connections = False
        self.copy_delay_s: Callable[[Answer], float | None] = lambda answer: None
        self.sock = socket.socket()
        self.sock.bind((HOST, 0))
        self.sock.listen(1024)
        self.address: tuple[str, int] = self.sock.getsockname()
        self._connections: set[socket.socket] = set()
        self._running_count = 0
        gevent.spawn(self._accept)

    def hang(self) -> None:
        """Stops all work and all answers; the host goes on accepting connections."""
        self.record.add(self.name, "hangs")
        self.running.clear()

    def go_on(self) -> None:
        """Ends a hang."""
        self.record.add(self.name, "goes-on")
        self.running.set()

    def begin_resets(self) -> None:
        """Resets all connections now, and each later one when a call arrives on it."""
        self.record.add(self.name, "resets-begin")
        self.resets_connections = True
        for sock in list(self._connections):
            _reset(sock)

    def end_resets(self) -> None:
        """Ends the resets."""
        self.record.add(self.name, "resets-end")
        self.resets_connections = False

    # Connections.

    def _accept(self) -> None:
        while True:
            sock, _ = self.sock.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        self._connections.add(sock)
        try:
            with suppress(OSError), sock.makefile("rb") as received:
                while (call := _read_call(received)) is not None:
                    self.running.wait()
                    if self.resets_connections:
                        self.record.add(self.name, "reset", call.fields.get("x-hop-id", ""), call.path)
                        _reset(sock)
                        return
                    answer = self._answer(call)
                    self.running.wait()
                    sock.sendall(answer.encode())
                    delay_s = self.copy_delay_s(answer)
                    if delay_s is not None:
                        gevent.spawn_later(delay_s, self._send_copy, sock, answer)
        finally:
            self._connections.discard(sock)
            sock.close()

    def _send_copy(self, sock: socket.socket, answer: Answer) -> None:
        """Sends an answer a second time, unless the connection has ended by then."""
        with suppress(OSError):
            sock.sendall(answer.encode())
            self.record.add(self.name, "second-copy", answer.request_id, str(answer.status))

    # Calls.

    def _answer(self, call: Call) -> Answer:
        if call.method == "POST":
            return self._start_query(call)
        _, _, request_id, *page = call.path.split("/")
        query = self.queries.get(request_id)
        if call.method == "DELETE":
            return self._give_up(request_id, query)
        if query is None or page != ["0"]:
            self.record.add(self.name, "asked-unknown", request_id)
            return Answer(500, request_id)
        return self._news(query)

    def _start_query(self, call: Call) -> Answer:
        request_id = call.fields["x-hop-id"]
        class_name = call.fields["x-sort"]
        self.record.add(self.name, "received", request_id, class_name)
        if self._running_count >= self.max_queries:
            self.record.add(self.name, "full", request_id, class_name)
            return Answer(503, request_id, fields=(("X-No-Effect", "1"),))
        run_time = _RUN_TIME.search(call.body)
        run_s = int(run_time[1]) / 1000.0 if run_time is not None else 0.0
        query = Query(request_id, class_name, run_s, time.time())
        self.queries[request_id] = query
        self._running_count += 1
        self.record.add(self.name, "begun", request_id, class_name)
        gevent.spawn(self._run, query, int(call.fields["x-budget"]) / 1000.0)
        return self._news(query)

    def _run(self, query: Query, budget_s: float) -> None:
        """Runs a query to its end, unless it is given up, is not asked for, or its time is over."""
        ends_at = time.time() + budget_s
        remaining_s = query.run_s
        while remaining_s > 0 and not query.ended.is_set():
            step_s = min(remaining_s, STEP_S)
            gevent.sleep(step_s)
            self.running.wait()
            remaining_s -= step_s
            if time.time() > min(query.asked_at + UNPOLLED_LIFETIME_S, ends_at):
                self.record.add(self.name, "abandoned", query.request_id, query.class_name)
                query.ended.set()
        self._running_count -= 1
        if not query.ended.is_set():
            query.succeeded = True
            self.record.add(self.name, "applied", query.request_id, query.class_name)
            query.ended.set()

    def _news(self, query: Query) -> Answer:
        query.asked_at = time.time()
        query.ended.wait(POLL_WAIT_S)
        if not query.ended.is_set():
            return Answer(202, query.request_id)
        if not query.succeeded:
            return Answer(500, query.request_id)
        row = f"{query.request_id}\t{self.name}\t1\n".encode()
        fields = (("X-Sheets", "1"), ("X-Toil", f"{query.run_s * 1000:.0f}"), ("X-Room", "10"))
        return Answer(200, query.request_id, row, fields)

    def _give_up(self, request_id: str, query: Query | None) -> Answer:
        if query is not None and not query.ended.is_set():
            self.record.add(self.name, "given-up", request_id, query.class_name)
            query.ended.set()
        return Answer(204, request_id)


def _reset(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    sock.close()


def _read_call(received: BinaryIO) -> Call | None:
    """Reads one call; returns None at the end of the connection."""
    first = received.readline()
    if not first:
        return None
    method, path, _ = first.decode("latin-1").split(" ", 2)
    fields = {}
    while (line := received.readline().decode("latin-1").strip()) != "":
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    body = received.read(int(fields.get("content-length", 0)))
    return Call(method, path, fields, body)
