"""Hollow routers, many to a process: all of a router but its front, so that no client ever comes.

A hollow router is what `net/server.py` wires: configuration, datagrams among peers, desk and decisions, the
list, and what the operator's file turns on (membership, budgets), on sockets of its own. The process is told
what to do by lines of JSON on standard input, answers each by a line, and ends with its input or when its
seconds are over. It owns its routers and their sockets, and must never decide what is measured or send a
datagram that the router's own code does not send.

    {"start": [["config.json", "operator.lisp"], ...]}  -> who began: their numbers
    {"kill": [3]}        at once, as if its process were killed -> when, and all that it had counted by then
    {"part": [[0, 1], [2]]}  none of one part hears any of another; []: all hear all
    {"reload": [3]}      what SIGHUP does -> processor seconds that it took, by number
    {"views": true}      -> by number: routers that live, a check over them, its right, news to be told still,
                         changes of its view so far
    {"count": true}      -> the process's own processor time and memory; by number all that was counted
"""

from __future__ import annotations

import gc
import json
import logging
import os
import resource
import signal
import sys
import time
import zlib
from collections.abc import Callable
from typing import Any

import gevent
import structlog
from gevent.fileobject import FileObjectThread
from gevent.lock import BoundedSemaphore

# Whatever a router imports late is here before the first begins, so that memory grows by routers alone.
from marbleworks.budgets import service as _treasurer  # noqa: F401
from marbleworks.budgets.codec import FORMAT as BUDGETS
from marbleworks.membership.codec import MAGIC
from marbleworks.membership.report import ROLE_TEXTS
from marbleworks.net import server as serve
from marbleworks.net.datagrams import LOAD_UPDATE, DatagramTransport
from marbleworks.net.discovery import EngineDiscovery
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.engine_client import engine_client_factory
from marbleworks.net.protocol import RouterConfig
from marbleworks.subsystems.registry import read_operator_config
from marbleworks.subsystems.wiring import Subsystems

MOST_ROUTERS = 200  # in one process
MOST_MEMORY = 2 << 30  # bytes of one process; six of them are half of a machine of 24 GB
KINDS = {MAGIC: "peers", BUDGETS.magic: "budgets"}


class Wire:
    """The socket of a router's datagrams, with what passed it counted by kind, and a cut.

    A cut is made here, where datagrams come in: to the code under test it is the same as one between the
    routers. What is sent is taken by the system as ever, nothing comes, and neither side is told. A relay for
    each pair, as `faultnet.py` has, would be 40,000 sockets among 200.
    """

    def __init__(self, sock: Any) -> None:
        self.sock, self.dead = sock, False
        self.sent: dict[str, list[int]] = {}  # by kind: datagrams and bytes that the system took
        self.heard: dict[str, list[int]] = {}
        self.deaf_to: set[tuple[str, int]] = set()
        self.cut = 0

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        if self.dead:
            return len(data)
        taken: int = self.sock.sendto(data, address)
        _count(self.sent, data)
        return taken

    def recvfrom(self, size: int) -> tuple[bytes, tuple[str, int]]:
        while True:
            data, sender = self.sock.recvfrom(size)
            if sender in self.deaf_to:
                self.cut += 1
                continue
            _count(self.heard, data)
            return data, sender


def _count(counts: dict[str, list[int]], data: bytes) -> None:
    counted = counts.setdefault(KINDS.get(data[0], "news") if data else "news", [0, 0])
    counted[0] += 1
    counted[1] += len(data)


class _Heeded:
    """Keeps the greenlet that listens, which is to end with its router."""

    listener: Any = None
    over = False

    def _listen(self) -> None:
        if self.over:  # killed before it had its first turn
            return
        self.listener = gevent.getcurrent()
        super()._listen()  # type: ignore[misc]


class _Peers(_Heeded, DatagramTransport):
    pass


class _Directory(_Heeded, EngineDiscovery):
    pass


class Router:
    """One hollow router; raises what a router's start raises."""

    def __init__(self, path: str, operator: str) -> None:
        station, self.path = RouterConfig.read(path), path
        deployment = station.settings
        self.number, self.addresses = deployment.fleet.router_index, station.peers
        self.fitted = Subsystems(read_operator_config(operator)) if operator else None
        self.peers = _Peers(station.peer_listen, station.peers, station.peer_broadcast, self.number)
        self.wire: Any = Wire(self.peers.sock)
        self.peers.sock = self.wire
        tell = self.peers.register(LOAD_UPDATE, self._heard)
        share = BoundedSemaphore(station.max_sockets)
        self.desk = Dispatcher(deployment, station.seed, engine_client_factory(deployment, share), tell)
        self.peers.listen()
        self.directory = _Directory(self.desk, deployment, station.initial_engines, station.nameserver)
        if self.fitted is not None:
            self.fitted.join(self.desk, deployment, self.peers, station.name)
        self.living: dict[int, int] = {}  # as the view has them, with their starts
        self.removed: list[tuple[int, float]] = []  # who left the view, and when by the machine's clock
        steward = self.fitted.membership if self.fitted is not None else None
        self.steward = steward
        if steward is not None:
            steward.view_listeners.append(self._viewed)

    def _heard(self, peer: int, data: bytes) -> None:
        self.desk.post(self.desk.scheduler.receive_load_update, peer, data)

    def _viewed(self, living: dict[int, int]) -> None:
        now = time.monotonic()
        self.removed += [(number, now) for number in self.living if number not in living]
        self.living = living

    def part(self, sides: dict[int, int]) -> None:
        own = sides.get(self.number)
        others = enumerate(self.addresses)
        self.wire.deaf_to = {address for n, address in others if sides and sides.get(n) != own}

    def reload(self) -> float:
        """Processor seconds of this thread: nothing else runs until it is done."""
        began = time.thread_time()
        serve._reload(self.path, self.directory, self.fitted)  # what SIGHUP calls, and nothing else does
        return time.thread_time() - began

    def view(self) -> list[Any]:
        check = zlib.crc32(repr(sorted(self.living.items())).encode())
        untold = len(self.steward.failure_detector.gossip.transmissions) if self.steward is not None else 0
        changes = self.steward.failure_detector.view.version if self.steward is not None else 0
        right = ROLE_TEXTS[self.steward.role] if self.steward is not None else ""
        return [len(self.living), check, right, untold, changes]

    def counted(self) -> dict[str, Any]:
        return {
            "sent": self.wire.sent,
            "heard": self.wire.heard,
            "cut": self.wire.cut,
            "dropped": self.peers.dropped_counts,
            "removed": self.removed,
            "list": [self.directory.revision, len(self.directory.engine_ids)],
        }

    def kill(self) -> dict[str, Any]:
        self.wire.dead = True  # from here on nothing of it reaches anyone
        at = time.monotonic()
        told = {"at": at, **self.counted()}
        actors: list[Any] = [self.peers, self.directory, self.desk, *self.desk.engine_clients.values()]
        if self.fitted is not None:
            actors += [a for a in (self.fitted.membership, self.fitted.budgets) if a is not None]
        going = [actor.greenlet for actor in actors]
        for heeded in (self.peers, self.directory):
            heeded.over = True
            going += [heeded.listener] if heeded.listener is not None else []
        gevent.killall(going)
        self.wire.sock.close()
        self.directory.sock.close()
        return told


class House:
    """The routers of this process, by number."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def told(self, line: bytes) -> dict[str, Any]:
        """What a line asks for; one that can't be done costs itself alone."""
        try:
            ((what, told),) = json.loads(line).items()
            does: dict[str, Callable[[Any], dict[str, Any]]] = {
                "start": self._start,
                "kill": self._kill,
                "part": self._part,
                "reload": self._reload,
                "views": lambda _: {"views": {n: r.view() for n, r in self.routers.items()}},
                "count": self._count,
            }
            return does[what](told)
        except Exception as err:
            return {"error": repr(err)}

    def _start(self, told: list[list[str]]) -> dict[str, Any]:
        if len(self.routers) + len(told) > MOST_ROUTERS:
            raise ValueError(f"{MOST_ROUTERS} routers at most")
        began = []
        for path, operator in told:
            router = Router(path, operator)
            if router.number in self.routers:
                router.kill()
                raise ValueError(f"router {router.number} is there already")
            self.routers[router.number] = router
            began.append(router.number)
        gc.collect()
        gc.freeze()  # as a router does
        gc.set_threshold(50_000, 10, 10)
        return {"started": began}

    def _kill(self, told: list[int]) -> dict[str, Any]:
        going = {number: self.routers[number] for number in told}  # KeyError before any is killed
        for number in going:
            del self.routers[number]
        return {"killed": {number: router.kill() for number, router in going.items()}}

    def _part(self, told: list[list[int]]) -> dict[str, Any]:
        sides = {number: side for side, part in enumerate(told) for number in part}
        for router in self.routers.values():
            router.part(sides)
        return {"parted": len(told)}

    def _reload(self, told: list[int]) -> dict[str, Any]:
        going = {number: self.routers[number] for number in told}
        return {"reloaded": {number: router.reload() for number, router in going.items()}}

    def _count(self, _: Any) -> dict[str, Any]:
        facts = {"at": time.monotonic(), "cpu": time.process_time(), "resident": resident()}
        return {**facts, "routers": {number: router.counted() for number, router in self.routers.items()}}


def resident() -> int:
    """Bytes of memory that this process has of its own."""
    with open("/proc/self/statm") as file:
        pages, shared = (int(text) for text in file.read().split()[1:3])
    return (pages - shared) * resource.getpagesize()


def main() -> None:
    """Arguments: the file for the router's log, and the seconds after which this ends in any case."""
    log, seconds = sys.argv[1], int(sys.argv[2])
    signal.alarm(seconds)  # ends the process whatever it is at
    resource.setrlimit(resource.RLIMIT_AS, (MOST_MEMORY, MOST_MEMORY))
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(open(log, "a")),  # noqa: SIM115
    )
    house = House()
    print(json.dumps({"ready": os.getpid()}), flush=True)
    for line in FileObjectThread(0, "rb"):
        print(json.dumps(house.told(line)), flush=True)
    os._exit(0)  # with its controller, whatever the routers are at


if __name__ == "__main__":
    main()
