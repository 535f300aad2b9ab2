"""A fleet of stand-in engines and their directory, as a process of its own, told by lines on standard input.

An engine has cores and memory. A statement names its work and the size of its result in a comment: `/*
work=200 size=400000 */`, in milliseconds and bytes; with ` errs` behind them it is answered by an error. It
runs on one core for its work, and keeps the core and its memory until its result has been read to the end or
given up, or 2 s after it was last asked for. Rows
come from the command's id alone, so that whoever knows that can check each byte.

    {"stats": true}      -> one line: for each engine what it ran, held and let go, and the most that was out
                            there at once; by profile what began when, and the most out at all of them
    {"kill": 0}          ends an engine's listener and connections; its runs are lost
    {"peers": [7001, 7002]}  the ports where routers listen for their peers, to whom datagrams are passed on
    {"spoil": [0, 3]}    the next three pages of an engine are cut off in the middle
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

from marbleworks.lab.standins import HOST, answer, dns_answer

PAGE = 6_000  # bytes of a page at most, by the protocol
NEWS = 0.25  # seconds after which news is told, if only that there is none
FORGOTTEN = 2.0  # seconds after which a run that nobody asks for ends
WORDS = "moved by van from bergen to oslo on a wet tuesday, piano and all; " * 4
MARK = re.compile(rb"/\* work=(\d+) size=(\d+)( errs)? \*/")


def page_count(size: int) -> int:
    return max(-(-size // PAGE), 1)


def rows_of(ref: str, number: int, size: int) -> bytes:
    """Page number (from 0) of a result: whole rows of three columns, the same at every run of the command."""
    left = min(size - number * PAGE, PAGE)
    seed = zlib.crc32(f"{ref}/{number}".encode())
    rows, row, digits = [], 0, hashlib.shake_128(f"{ref}/{number}".encode()).hexdigest(PAGE // 4)
    while left >= 60:
        length = 60 if left < 180 else 60 + (seed + 7 * row) % 60
        at = 24 * row % len(digits)
        head, words = f"{ref}\t{number}.{row}\t{digits[at : at + 24]}", WORDS[(seed + row) % 50 :]
        rows.append(head + words[: length - len(head) - 1] + "\n")
        left -= len(rows[-1])
        row += 1
    return "".join(rows).encode()


def result_of(ref: str, size: int) -> bytes:
    return b"".join(rows_of(ref, number, size) for number in range(page_count(size)))


@dataclass(eq=False)
class Gauge:
    """What is out, and the most that ever was since it was last read; when each began."""

    out: int = 0
    most: int = 0
    refs: set[str] = field(default_factory=set)  # of commands, however often they were sent
    began: list[float] = field(default_factory=list)

    def begins(self, ref: str) -> None:
        self.out += 1
        self.refs.add(ref)
        self.most = max(self.most, self.out)
        self.began.append(time.monotonic())

    def read(self) -> dict[str, Any]:
        facts = {"out": self.out, "most": self.most, "began": self.began, "commands": len(self.refs)}
        self.most, self.began = self.out, []
        return facts


@dataclass(eq=False)
class Run:
    ref: str
    size: int
    work: float  # seconds
    taken: float
    done: Event = field(default_factory=Event)
    complete: float = 0.0  # when its last page was handed over
    asked: float = 0.0
    freed: bool = False
    gauges: tuple[Gauge, ...] = ()


class Engine:
    def __init__(self, cores: int, by_profile: dict[str, Gauge]) -> None:
        self.gauge, self.by_profile, self.most_lines = Gauge(), by_profile, 0
        self.cores, self.runs = BoundedSemaphore(cores), dict[str, Run]()
        self.ran = self.handed = 0
        self.held, self.held_large, self.freed_after = 0.0, 0.0, list[float]()
        self.spoil, self.dead = 0, False
        self.again: dict[str, int] = {}  # how often a command was started here
        self.socks: set[Any] = set()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((HOST, 0))
        self.sock.listen(256)
        gevent.spawn(self._accept)
        gevent.spawn(self._forget)

    def _accept(self) -> None:
        while not self.dead:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            gevent.spawn(self._talk, sock)

    def _talk(self, sock: Any) -> None:
        self.socks.add(sock)
        self.most_lines = max(self.most_lines, len(self.socks))
        held = b""
        try:
            while True:
                while (end := held.find(b"\r\n\r\n")) < 0:
                    data = sock.recv(65536)
                    if not data:
                        return
                    held += data
                head, held = held[:end].decode("latin-1").split("\r\n"), held[end + 4 :]
                fields = dict(line.split(": ", 1) for line in head[1:])
                length = int(fields.get("Content-Length", 0))
                while len(held) < length:
                    held += sock.recv(65536)
                body, held = held[:length], held[length:]
                verb, path, _ = head[0].split(" ")
                said = self._said(verb, path, fields, body)
                sock.sendall(said)
        except (OSError, ValueError):
            pass
        finally:
            self.socks.discard(sock)
            sock.close()

    def _said(self, verb: str, path: str, fields: dict[str, str], body: bytes) -> bytes:
        if verb == "POST":
            return self._begin(fields["X-Hop-Id"], fields["X-Sort"], body)
        _, _, ref, *page = path.split("/")
        run = self.runs.get(ref)
        if run is not None:
            run.asked = time.monotonic()
        if verb == "DELETE":
            if run is not None:
                self._free(run)
            return answer(204)
        if run is None:
            return answer(500)
        number = int(page[0])
        if number == 0:
            return self._news(run)
        if not run.done.is_set() or number >= page_count(run.size):
            return answer(500)
        said = answer(200, rows_of(ref, number, run.size), X_Sheet=number)
        if self.spoil:
            self.spoil -= 1
            return said[: len(said) // 2]
        self._handed(run, number)
        return said

    def _begin(self, ref: str, profile: str, body: bytes) -> bytes:
        mark = MARK.search(body)
        if mark is None:
            return answer(500)
        run = self.runs[ref] = Run(
            ref, int(mark[2]), int(mark[1]) / 1000.0, time.monotonic(), asked=time.monotonic()
        )
        run.gauges = self.gauge, self.by_profile.setdefault(profile, Gauge())
        for gauge in run.gauges:
            gauge.begins(ref)
        self.ran += 1
        self.again[ref] = self.again.get(ref, 0) + 1
        if mark[3]:
            self._free(run)
            return answer(500)
        gevent.spawn(self._work, run)
        return self._news(run)

    def _work(self, run: Run) -> None:
        self.cores.acquire()
        if run.freed:
            self.cores.release()
            return
        run.taken = time.monotonic()
        gevent.sleep(run.work)
        run.done.set()

    def _news(self, run: Run) -> bytes:
        if not run.done.wait(NEWS):
            return answer(202)
        pages, report = page_count(run.size), f"inflight:{sum(not r.freed for r in self.runs.values())}"
        self._handed(run, 0)
        return answer(
            200,
            rows_of(run.ref, 0, run.size),
            X_Sheets=pages,
            X_Toil=round(1000 * run.work),
            X_Room=20,
            X_Report=report,
        )

    def _handed(self, run: Run, number: int) -> None:
        if number == page_count(run.size) - 1 and not run.complete:
            run.complete = time.monotonic()
            self.handed += 1
            if number == 0:
                self._free(run)

    def _free(self, run: Run) -> None:
        """Its core and its memory are another's from now on."""
        if run.freed:
            return
        run.freed = True
        for gauge in run.gauges:
            gauge.out -= 1
        if run.done.is_set():
            now = time.monotonic()
            self.held += now - run.taken
            self.held_large += now - run.taken if run.size > PAGE else 0.0
            if run.complete and run.size > PAGE:
                self.freed_after.append(now - run.complete)
            self.cores.release()
        if run.size > PAGE:
            self.runs.pop(run.ref, None)

    def _forget(self) -> None:
        while not self.dead:
            gevent.sleep(0.1)
            for run in [r for r in self.runs.values() if time.monotonic() > r.asked + FORGOTTEN]:
                self._free(run)
                self.runs.pop(run.ref, None)

    def kill(self) -> None:
        self.dead = True
        self.sock.close()
        for sock in list(self.socks):
            sock.close()

    def stats(self) -> dict[str, Any]:
        again = sum(count - 1 for count in self.again.values())
        facts = {
            "ran": self.ran,
            "handed": self.handed,
            "held": self.held,
            "again": again,
            "held_large": self.held_large,
        }
        facts |= {"most_lines": self.most_lines}
        return {**facts, "freed_after": self.freed_after, **self.gauge.read()}


class Fleet:
    def __init__(self, engines: int, cores: int, routers: int) -> None:
        self.by_profile: dict[str, Gauge] = {}
        self.engines = [Engine(cores, self.by_profile) for _ in range(engines)]
        self.directory = _datagrams()
        self.serial = 1
        self.relays = [
            (_datagrams(), _datagrams()) for _ in range(routers)
        ]  # where it sends, and what it seems
        self.listen: list[int] = []
        for number in range(routers):
            gevent.spawn(self._relay, number)
        gevent.spawn(self._tell)

    def _tell(self) -> None:
        while True:
            question, sender = self.directory.recvfrom(4096)
            there = {f"s-{i}": e.sock.getsockname() for i, e in enumerate(self.engines) if not e.dead}
            self.directory.sendto(dns_answer(question, self.serial, there, started=0), sender)

    def _relay(self, number: int) -> None:
        """What a router sends to all comes to each of the others from its address."""
        while True:
            data, _ = self.relays[number][0].recvfrom(2048)
            for other, port in enumerate(self.listen):
                if other != number:
                    self.relays[number][1].sendto(data, (HOST, port))

    def addresses(self) -> dict[str, Any]:
        engines = {f"s-{i}": e.sock.getsockname() for i, e in enumerate(self.engines)}
        relays = [(to.getsockname(), seen.getsockname()) for to, seen in self.relays]
        return {"engines": engines, "directory": self.directory.getsockname(), "relays": relays}

    def told(self, what: dict[str, Any]) -> dict[str, Any]:
        if "kill" in what:
            self.engines[what["kill"]].kill()
            self.serial += 1
        self.listen = what.get("peers", self.listen)
        if "spoil" in what:
            engine, count = what["spoil"]
            self.engines[engine].spoil = count
        profiles = {name: gauge.read() for name, gauge in self.by_profile.items()}
        return {"engines": [engine.stats() for engine in self.engines], "profiles": profiles}


def _datagrams() -> Any:
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.bind((HOST, 0))
    return sock


def main() -> None:
    fleet = Fleet(*(int(text) for text in sys.argv[1:4]))
    print(json.dumps(fleet.addresses()), flush=True)
    for line in FileObjectThread(0, "rb"):
        print(json.dumps(fleet.told(json.loads(line))), flush=True)


if __name__ == "__main__":
    main()
