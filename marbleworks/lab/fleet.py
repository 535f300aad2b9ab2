"""Stand-in engines and their directory in a process of their own, controlled by JSON lines on standard input.

An engine has cores and memory. A statement names its work in milliseconds and the size of its result in bytes
in a comment: `/* work=200 size=400000 */`. With ` errs` after the numbers, the engine answers with an error.
A statement runs on one core. It keeps the core and its memory until its result was read completely or
released, or until 2 s passed since the last request for it. The rows are derived from the request id alone,
so that a reader who knows the id can check each byte.

Commands:

    {"stats": true}          changes nothing
    {"kill": 0}              closes the listener and connections of an engine; its runs are lost
    {"peers": [7001, 7002]}  sets the ports on which routers listen for peers; datagrams are relayed to them
    {"spoil": [0, 3]}        truncates the next three pages of an engine

Each command is answered with one line. It holds, for each engine, the runs started, the time that cores were
held and the largest number of statements in flight since the last command; and for each profile the start
times and the largest number in flight at all engines together.
"""

from __future__ import annotations

import hashlib
import json
import re
import sys
import time
import zlib
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.fileobject import FileObjectThread
from gevent.lock import BoundedSemaphore

from marbleworks.lab.standins import HOST, dns_answer, http_response

MAX_PAGE_BYTES = 6_000  # limit of the protocol
POLL_TIMEOUT_S = 0.25  # seconds that a request waits for a result that is not ready
ABANDONED_RUN_TIMEOUT_S = 2.0  # seconds without a request after which a run is released
FILLER = "moved by van from bergen to oslo on a wet tuesday, piano and all; " * 4
STATEMENT_MARK = re.compile(rb"/\* work=(\d+) size=(\d+)( errs)? \*/")


def page_count(size: int) -> int:
    """Returns the number of pages of a result; at least one."""
    return max(-(-size // MAX_PAGE_BYTES), 1)


def rows_of(ref: str, number: int, size: int) -> bytes:
    """Returns one page of a result: whole rows of three columns, the same for each run of a request.

    Args:
        ref: Id of the request.
        number: Page number, from 0.
        size: Size of the whole result in bytes.
    """
    remaining = min(size - number * MAX_PAGE_BYTES, MAX_PAGE_BYTES)
    checksum = zlib.crc32(f"{ref}/{number}".encode())
    rows, row, digits = [], 0, hashlib.shake_128(f"{ref}/{number}".encode()).hexdigest(MAX_PAGE_BYTES // 4)
    while remaining >= 60:
        length = 60 if remaining < 180 else 60 + (checksum + 7 * row) % 60
        offset = 24 * row % len(digits)
        columns, filler = (
            f"{ref}\t{number}.{row}\t{digits[offset : offset + 24]}",
            FILLER[(checksum + row) % 50 :],
        )
        rows.append(columns + filler[: length - len(columns) - 1] + "\n")
        remaining -= len(rows[-1])
        row += 1
    return "".join(rows).encode()


def result_of(ref: str, size: int) -> bytes:
    """Returns a whole result."""
    return b"".join(rows_of(ref, number, size) for number in range(page_count(size)))


@dataclass(eq=False)
class Gauge:
    """Statements in flight, and what changed since the last reading.

    Attributes:
        in_flight: Statements in flight.
        max_in_flight: Largest number in flight since the last reading.
        refs: Ids of all requests, however often they were sent.
        start_times: Start times since the last reading, by the monotonic clock.
    """

    in_flight: int = 0
    max_in_flight: int = 0
    refs: set[str] = field(default_factory=set)
    start_times: list[float] = field(default_factory=list)

    def record_start(self, ref: str) -> None:
        """Records the start of a statement."""
        self.in_flight += 1
        self.refs.add(ref)
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self.start_times.append(time.monotonic())

    def read(self) -> dict[str, Any]:
        """Returns the current values and starts a new period."""
        reading = {
            "out": self.in_flight,
            "most": self.max_in_flight,
            "began": self.start_times,
            "commands": len(self.refs),
        }
        self.max_in_flight, self.start_times = self.in_flight, []
        return reading


@dataclass(eq=False)
class Run:
    """A statement that runs at an engine, and its result.

    Attributes:
        ref: Id of the request.
        size: Size of the result in bytes.
        work: Work in seconds.
        core_acquired_at: Time at which it got its core.
        done: Set when the result is ready.
        completed_at: Time at which the last page was sent; 0 before.
        last_request_at: Time of the last request for it.
        released: Whether its core and memory were released.
        gauges: The gauges that count it.
    """

    ref: str
    size: int
    work: float
    core_acquired_at: float
    done: Event = field(default_factory=Event)
    completed_at: float = 0.0
    last_request_at: float = 0.0
    released: bool = False
    gauges: tuple[Gauge, ...] = ()


class Engine:
    """A stand-in engine with a listener on a port of its own.

    Attributes:
        gauge: Statements in flight at this engine.
        by_profile: Statements in flight at all engines, keyed by profile.
        max_connections: Largest number of connections at one time.
        cores: Free cores.
        runs: Statements and results, keyed by request id.
        started_runs: Number of statements started.
        completed_results: Number of results sent completely.
        held_s: Seconds for which cores were held.
        large_held_s: The same for results of more than one page.
        freed_after: Seconds from the last page of a result to its release, for results of more than one page.
        pages_to_truncate: Number of pages still to be truncated.
        dead: Whether the engine was killed.
        starts_by_ref: Number of starts, keyed by request id.
        socks: Open connections.
        sock: The listener.
    """

    def __init__(self, cores: int, by_profile: dict[str, Gauge]) -> None:
        self.gauge, self.by_profile, self.max_connections = Gauge(), by_profile, 0
        self.cores, self.runs = BoundedSemaphore(cores), dict[str, Run]()
        self.started_runs = self.completed_results = 0
        self.held_s, self.large_held_s, self.freed_after = 0.0, 0.0, list[float]()
        self.pages_to_truncate, self.dead = 0, False
        self.starts_by_ref: dict[str, int] = {}
        self.socks: set[Any] = set()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((HOST, 0))
        self.sock.listen(256)
        gevent.spawn(self._accept)
        gevent.spawn(self._expire_runs)

    def _accept(self) -> None:
        while not self.dead:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            gevent.spawn(self._serve_connection, sock)

    def _serve_connection(self, sock: Any) -> None:
        self.socks.add(sock)
        self.max_connections = max(self.max_connections, len(self.socks))
        buffer = b""
        try:
            while True:
                while (end := buffer.find(b"\r\n\r\n")) < 0:
                    data = sock.recv(65536)
                    if not data:
                        return
                    buffer += data
                head, buffer = buffer[:end].decode("latin-1").split("\r\n"), buffer[end + 4 :]
                fields = dict(line.split(": ", 1) for line in head[1:])
                length = int(fields.get("Content-Length", 0))
                while len(buffer) < length:
                    buffer += sock.recv(65536)
                body, buffer = buffer[:length], buffer[length:]
                verb, path, _ = head[0].split(" ")
                response = self._respond(verb, path, fields, body)
                sock.sendall(response)
        except (OSError, ValueError):
            pass
        finally:
            self.socks.discard(sock)
            sock.close()

    def _respond(self, verb: str, path: str, fields: dict[str, str], body: bytes) -> bytes:
        """Returns the response to a request."""
        if verb == "POST":
            return self._start_run(fields["X-Hop-Id"], fields["X-Sort"], body)
        _, _, ref, *page = path.split("/")
        run = self.runs.get(ref)
        if run is not None:
            run.last_request_at = time.monotonic()
        if verb == "DELETE":
            if run is not None:
                self._release(run)
            return http_response(204)
        if run is None:
            return http_response(500)
        number = int(page[0])
        if number == 0:
            return self._poll(run)
        if not run.done.is_set() or number >= page_count(run.size):
            return http_response(500)
        response = http_response(200, rows_of(ref, number, run.size), X_Sheet=number)
        if self.pages_to_truncate:
            self.pages_to_truncate -= 1
            return response[: len(response) // 2]
        self._page_sent(run, number)
        return response

    def _start_run(self, ref: str, profile: str, body: bytes) -> bytes:
        """Starts a statement, and waits a short time for its result."""
        mark = STATEMENT_MARK.search(body)
        if mark is None:
            return http_response(500)
        run = self.runs[ref] = Run(
            ref, int(mark[2]), int(mark[1]) / 1000.0, time.monotonic(), last_request_at=time.monotonic()
        )
        run.gauges = self.gauge, self.by_profile.setdefault(profile, Gauge())
        for gauge in run.gauges:
            gauge.record_start(ref)
        self.started_runs += 1
        self.starts_by_ref[ref] = self.starts_by_ref.get(ref, 0) + 1
        if mark[3]:
            self._release(run)
            return http_response(500)
        gevent.spawn(self._execute, run)
        return self._poll(run)

    def _execute(self, run: Run) -> None:
        """Runs a statement on a core."""
        self.cores.acquire()
        if run.released:
            self.cores.release()
            return
        run.core_acquired_at = time.monotonic()
        gevent.sleep(run.work)
        run.done.set()

    def _poll(self, run: Run) -> bytes:
        """Returns the first page of a result, or status 202 if it is not ready in time."""
        if not run.done.wait(POLL_TIMEOUT_S):
            return http_response(202)
        pages, report = (
            page_count(run.size),
            f"inflight:{sum(not other.released for other in self.runs.values())}",
        )
        self._page_sent(run, 0)
        return http_response(
            200,
            rows_of(run.ref, 0, run.size),
            X_Sheets=pages,
            X_Toil=round(1000 * run.work),
            X_Room=20,
            X_Report=report,
        )

    def _page_sent(self, run: Run, number: int) -> None:
        """Records that a page was sent; releases a result of one page."""
        if number == page_count(run.size) - 1 and not run.completed_at:
            run.completed_at = time.monotonic()
            self.completed_results += 1
            if number == 0:
                self._release(run)

    def _release(self, run: Run) -> None:
        """Releases the core and the memory of a statement."""
        if run.released:
            return
        run.released = True
        for gauge in run.gauges:
            gauge.in_flight -= 1
        if run.done.is_set():
            now = time.monotonic()
            self.held_s += now - run.core_acquired_at
            self.large_held_s += now - run.core_acquired_at if run.size > MAX_PAGE_BYTES else 0.0
            if run.completed_at and run.size > MAX_PAGE_BYTES:
                self.freed_after.append(now - run.completed_at)
            self.cores.release()
        if run.size > MAX_PAGE_BYTES:
            self.runs.pop(run.ref, None)

    def _expire_runs(self) -> None:
        """Releases statements for which no request came within `FORGOTTEN` seconds."""
        while not self.dead:
            gevent.sleep(0.1)
            for run in [
                other
                for other in self.runs.values()
                if time.monotonic() > other.last_request_at + ABANDONED_RUN_TIMEOUT_S
            ]:
                self._release(run)
                self.runs.pop(run.ref, None)

    def kill(self) -> None:
        """Closes the listener and all connections."""
        self.dead = True
        self.sock.close()
        for sock in list(self.socks):
            sock.close()

    def stats(self) -> dict[str, Any]:
        """Returns the counters of this engine."""
        restarts = sum(count - 1 for count in self.starts_by_ref.values())
        counters = {
            "ran": self.started_runs,
            "handed": self.completed_results,
            "held": self.held_s,
            "again": restarts,
            "held_large": self.large_held_s,
        }
        counters |= {"most_lines": self.max_connections}
        return {**counters, "freed_after": self.freed_after, **self.gauge.read()}


class Fleet:
    """The engines, their directory, and the relays for datagrams between routers.

    Attributes:
        by_profile: Statements in flight at all engines, keyed by profile.
        engines: The engines.
        directory: Socket that answers directory queries.
        serial: Version of the directory's list.
        relays: For each router, the socket to which it sends its broadcasts and the socket from which the
            others receive them.
        peer_ports: Ports on which the routers listen for peers.
    """

    def __init__(self, engines: int, cores: int, routers: int) -> None:
        self.by_profile: dict[str, Gauge] = {}
        self.engines = [Engine(cores, self.by_profile) for _ in range(engines)]
        self.directory = _datagram_socket()
        self.serial = 1
        self.relays = [(_datagram_socket(), _datagram_socket()) for _ in range(routers)]
        self.peer_ports: list[int] = []
        for number in range(routers):
            gevent.spawn(self._relay_broadcasts, number)
        gevent.spawn(self._serve_directory)

    def _serve_directory(self) -> None:
        """Answers directory queries with the engines that were not killed."""
        while True:
            query, sender = self.directory.recvfrom(4096)
            live_engines = {
                f"s-{number}": engine.sock.getsockname()
                for number, engine in enumerate(self.engines)
                if not engine.dead
            }
            self.directory.sendto(dns_answer(query, self.serial, live_engines, started=0), sender)

    def _relay_broadcasts(self, number: int) -> None:
        """Relays the broadcasts of a router to each of the others."""
        while True:
            data, _ = self.relays[number][0].recvfrom(2048)
            for other, port in enumerate(self.peer_ports):
                if other != number:
                    self.relays[number][1].sendto(data, (HOST, port))

    def addresses(self) -> dict[str, Any]:
        """Returns the addresses of engines, directory and relays."""
        engines = {f"s-{number}": engine.sock.getsockname() for number, engine in enumerate(self.engines)}
        relays = [(inbound.getsockname(), outbound.getsockname()) for inbound, outbound in self.relays]
        return {"engines": engines, "directory": self.directory.getsockname(), "relays": relays}

    def handle_command(self, command: dict[str, Any]) -> dict[str, Any]:
        """Executes a command, and returns the counters of engines and profiles."""
        if "kill" in command:
            self.engines[command["kill"]].kill()
            self.serial += 1
        self.peer_ports = command.get("peers", self.peer_ports)
        if "spoil" in command:
            engine, count = command["spoil"]
            self.engines[engine].pages_to_truncate = count
        profiles = {name: gauge.read() for name, gauge in self.by_profile.items()}
        return {"engines": [engine.stats() for engine in self.engines], "profiles": profiles}


def _datagram_socket() -> Any:
    """Returns a datagram socket that is bound to a free port."""
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.bind((HOST, 0))
    return sock


def main() -> None:
    """Runs the fleet until standard input ends. Arguments: engines, cores of an engine, routers."""
    fleet = Fleet(*(int(text) for text in sys.argv[1:4]))
    print(json.dumps(fleet.addresses()), flush=True)
    for line in FileObjectThread(0, "rb"):
        print(json.dumps(fleet.handle_command(json.loads(line))), flush=True)


if __name__ == "__main__":
    main()
