"""A process of many hollow routers: complete routers without a listener for clients.

A hollow router consists of what `net/server.py` wires: configuration, datagrams among the routers, dispatcher
and scheduler, the engine list, and the subsystems of the operator's file (membership, budgets), on sockets of
its own. The process reads commands as lines of JSON from standard input and answers each with a line. It ends
with its input or after its lifetime. It owns its routers and their sockets. It does not decide what is
measured, and sends no datagram that the routers' code does not send.

    {"start": [["config.json", "operator.lisp"], ...]}  starts routers -> their numbers
    {"kill": [3]}            ends routers at once, as if their process were killed -> time of death, counters
    {"part": [[0, 1], [2]]}  routers of one part receive nothing from another; []: ends the cut
    {"reload": [3]}          does what SIGHUP does -> processor seconds by number
    {"views": true}          -> by number: live routers, a checksum of them, the router's role, updates that
                             are still gossiped, changes of its view so far
    {"count": true}          -> processor time and memory of the process, and the counters by number
"""

from __future__ import annotations

import gc
import json
import os
import resource
import signal
import sys
import time
import zlib
from collections.abc import Callable
from typing import Any

import gevent
from gevent.fileobject import FileObjectThread
from gevent.lock import BoundedSemaphore

# Modules that a router imports late are imported here, so that memory grows only by the routers.
from marbleworks.budgets import service as _budget_service  # noqa: F401
from marbleworks.budgets.codec import FORMAT as BUDGETS
from marbleworks.membership.codec import MAGIC
from marbleworks.membership.report import ROLE_TEXTS
from marbleworks.net import server as serve
from marbleworks.net.datagrams import LOAD_UPDATE, DatagramTransport
from marbleworks.net.discovery import EngineDiscovery
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.engine_client import engine_client_factory
from marbleworks.net.log import configure_logging
from marbleworks.net.protocol import RouterConfig
from marbleworks.subsystems.registry import read_operator_config
from marbleworks.subsystems.wiring import Subsystems

MAX_ROUTERS = 200  # in one process
MAX_MEMORY_BYTES = 2 << 30  # bytes of one process; six processes use half of a machine of 24 GB
KINDS = {MAGIC: "peers", BUDGETS.magic: "budgets"}


class CountingSocket:
    """The socket of a router's datagrams, which counts them by kind and can cut senders off.

    Received datagrams of cut-off senders are dropped here. To the code under test this is the same as a cut
    between the routers: the system accepts what is sent, nothing arrives, and neither side is notified. A
    relay for each pair of routers, as in `faultnet.py`, would need 40,000 sockets among 200 routers.

    Attributes:
        dead: Whether the router was killed; then nothing is sent or counted.
        sent: Datagrams and bytes that the system accepted, by kind.
        received: Datagrams and bytes received, by kind.
        cut_off_senders: Addresses that are cut off.
        dropped_by_cut: Datagrams that were dropped by a cut.
    """

    def __init__(self, sock: Any) -> None:
        self.sock, self.dead = sock, False
        self.sent: dict[str, list[int]] = {}
        self.received: dict[str, list[int]] = {}
        self.cut_off_senders: set[tuple[str, int]] = set()
        self.dropped_by_cut = 0

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        """Sends and counts a datagram, unless the router is dead."""
        if self.dead:
            return len(data)
        sent_bytes: int = self.sock.sendto(data, address)
        _count(self.sent, data)
        return sent_bytes

    def recvfrom(self, size: int) -> tuple[bytes, tuple[str, int]]:
        """Receives and counts the next datagram from a sender that is not cut off."""
        while True:
            data, sender = self.sock.recvfrom(size)
            if sender in self.cut_off_senders:
                self.dropped_by_cut += 1
                continue
            _count(self.received, data)
            return data, sender


def _count(counts: dict[str, list[int]], data: bytes) -> None:
    counter = counts.setdefault(KINDS.get(data[0], "news") if data else "news", [0, 0])
    counter[0] += 1
    counter[1] += len(data)


class _TrackedListener:
    """Keeps the greenlet that receives datagrams, so that it can be ended with its router.

    Attributes:
        listener: The greenlet.
        is_over: Whether the router was killed.
    """

    listener: Any = None
    is_over = False

    def _listen(self) -> None:
        if self.is_over:  # the router was killed before this greenlet ran
            return
        self.listener = gevent.getcurrent()
        super()._listen()  # type: ignore[misc]


class _PeerTransport(_TrackedListener, DatagramTransport):
    pass


class _EngineDirectory(_TrackedListener, EngineDiscovery):
    pass


class Router:
    """One hollow router; its creation raises what a router's start raises.

    Attributes:
        number: Its number in the group.
        addresses: Addresses of all routers.
        live_routers: Live routers in its view, with their generations.
        removed: Routers that left the view, with the time by the machine's clock.
    """

    def __init__(self, path: str, operator: str) -> None:
        config, self.path = RouterConfig.read(path), path
        settings = config.settings
        self.number, self.addresses = settings.fleet.router_index, config.peers
        self.subsystems = Subsystems(read_operator_config(operator)) if operator else None
        self.peers = _PeerTransport(config.peer_listen, config.peers, config.peer_broadcast, self.number)
        self.counting_socket: Any = CountingSocket(self.peers.sock)
        self.peers.sock = self.counting_socket
        send_load_update = self.peers.register(LOAD_UPDATE, self._on_load_update)
        socket_limit = BoundedSemaphore(config.max_descriptors)
        self.dispatcher = Dispatcher(
            settings, config.seed, engine_client_factory(settings, socket_limit), send_load_update
        )
        self.peers.listen()
        self.directory = _EngineDirectory(
            self.dispatcher, settings, config.initial_engines, config.nameserver
        )
        if self.subsystems is not None:
            self.subsystems.start(self.dispatcher, settings, self.peers, config.name)
        self.live_routers: dict[int, int] = {}
        self.removed: list[tuple[int, float]] = []
        membership = self.subsystems.membership if self.subsystems is not None else None
        self.membership = membership
        if membership is not None:
            membership.view_listeners.append(self._on_view)

    def _on_load_update(self, peer: int, data: bytes) -> None:
        self.dispatcher.post(self.dispatcher.scheduler.receive_load_update, peer, data)

    def _on_view(self, live_routers: dict[int, int]) -> None:
        now = time.monotonic()
        self.removed += [(number, now) for number in self.live_routers if number not in live_routers]
        self.live_routers = live_routers

    def cut_off(self, part_by_router: dict[int, int]) -> None:
        """Cuts off the routers of other parts.

        Args:
            part_by_router: The part of each router; empty to end the cut.
        """
        own_part = part_by_router.get(self.number)
        other_routers = enumerate(self.addresses)
        self.counting_socket.cut_off_senders = {
            address for n, address in other_routers if part_by_router and part_by_router.get(n) != own_part
        }

    def reload(self) -> float:
        """Reloads the configuration as SIGHUP does.

        Returns:
            Processor seconds of this thread; nothing else runs until the reload is done.
        """
        began = time.thread_time()
        serve._reload(self.path, self.directory, self.subsystems)  # only SIGHUP calls this otherwise
        return time.thread_time() - began

    def view(self) -> list[Any]:
        """Returns the router's view.

        Returns:
            The number of live routers, a checksum of these and their generations, the router's role, the
            number of updates that are still gossiped, and the number of changes of the view so far.
        """
        checksum = zlib.crc32(repr(sorted(self.live_routers.items())).encode())
        pending_updates = (
            len(self.membership.failure_detector.gossip.transmissions) if self.membership is not None else 0
        )
        changes = self.membership.failure_detector.view.version if self.membership is not None else 0
        role = ROLE_TEXTS[self.membership.role] if self.membership is not None else ""
        return [len(self.live_routers), checksum, role, pending_updates, changes]

    def counters(self) -> dict[str, Any]:
        """Returns the router's counters."""
        return {
            "sent": self.counting_socket.sent,
            "heard": self.counting_socket.received,
            "cut": self.counting_socket.dropped_by_cut,
            "dropped": self.peers.dropped_counts,
            "removed": self.removed,
            "list": [self.directory.revision, len(self.directory.engine_ids)],
        }

    def kill(self) -> dict[str, Any]:
        """Ends the router at once and returns the time of death and its counters."""
        self.counting_socket.dead = True  # from now on it sends nothing
        at = time.monotonic()
        counters = {"at": at, **self.counters()}
        actors: list[Any] = [
            self.peers,
            self.directory,
            self.dispatcher,
            *self.dispatcher.engine_clients.values(),
        ]
        if self.subsystems is not None:
            actors += [a for a in (self.subsystems.membership, self.subsystems.budgets) if a is not None]
        greenlets = [actor.greenlet for actor in actors]
        for tracked in (self.peers, self.directory):
            tracked.is_over = True
            greenlets += [tracked.listener] if tracked.listener is not None else []
        gevent.killall(greenlets)
        self.counting_socket.sock.close()
        self.directory.sock.close()
        return counters


class RouterHost:
    """The routers of this process.

    Attributes:
        routers: Routers by number.
    """

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def handle(self, line: bytes) -> dict[str, Any]:
        """Carries out a command and returns the answer.

        A command that can't be carried out is answered with an error, and the process goes on.
        """
        try:
            ((command, argument),) = json.loads(line).items()
            handlers: dict[str, Callable[[Any], dict[str, Any]]] = {
                "start": self._start,
                "kill": self._kill,
                "part": self._part,
                "reload": self._reload,
                "views": lambda _: {"views": {n: r.view() for n, r in self.routers.items()}},
                "count": self._count,
            }
            return handlers[command](argument)
        except Exception as err:
            return {"error": repr(err)}

    def _start(self, argument: list[list[str]]) -> dict[str, Any]:
        if len(self.routers) + len(argument) > MAX_ROUTERS:
            raise ValueError(f"a process runs {MAX_ROUTERS} routers at most")
        started = []
        for path, operator in argument:
            router = Router(path, operator)
            if router.number in self.routers:
                router.kill()
                raise ValueError(f"router {router.number} is there already")
            self.routers[router.number] = router
            started.append(router.number)
        gc.collect()
        gc.freeze()  # as a router does after its start
        gc.set_threshold(50_000, 10, 10)
        return {"started": started}

    def _kill(self, argument: list[int]) -> dict[str, Any]:
        # An unknown number raises KeyError before any router is killed.
        selected = {number: self.routers[number] for number in argument}
        for number in selected:
            del self.routers[number]
        return {"killed": {number: router.kill() for number, router in selected.items()}}

    def _part(self, argument: list[list[int]]) -> dict[str, Any]:
        part_by_router = {number: side for side, part in enumerate(argument) for number in part}
        for router in self.routers.values():
            router.cut_off(part_by_router)
        return {"parted": len(argument)}

    def _reload(self, argument: list[int]) -> dict[str, Any]:
        selected = {number: self.routers[number] for number in argument}
        return {"reloaded": {number: router.reload() for number, router in selected.items()}}

    def _count(self, _: Any) -> dict[str, Any]:
        totals = {"at": time.monotonic(), "cpu": time.process_time(), "resident": resident_bytes()}
        return {**totals, "routers": {number: router.counters() for number, router in self.routers.items()}}


def resident_bytes() -> int:
    """Returns the bytes of resident memory that this process does not share."""
    with open("/proc/self/statm") as file:
        pages, shared = (int(field) for field in file.read().split()[1:3])
    return (pages - shared) * resource.getpagesize()


def main() -> None:
    """Runs the process.

    Command line arguments are the file for the routers' log, and the seconds after which the process ends in
    any case.
    """
    log, seconds = sys.argv[1], int(sys.argv[2])
    signal.alarm(seconds)  # ends the process, whatever it is doing
    resource.setrlimit(resource.RLIMIT_AS, (MAX_MEMORY_BYTES, MAX_MEMORY_BYTES))
    configure_logging(open(log, "a"))  # noqa: SIM115
    host = RouterHost()
    print(json.dumps({"ready": os.getpid()}), flush=True)
    for line in FileObjectThread(0, "rb"):
        print(json.dumps(host.handle(line)), flush=True)
    os._exit(0)  # the controller has ended, so end whatever the routers are doing


if __name__ == "__main__":
    main()
