"""A fault net between router processes: each pair's datagrams pass a relay of their own, which loses, delays,
doubles, reorders and cuts them as it is told; each router's clients and engines may pass one too.

It owns the relays' sockets and what is on its way. What it does to a datagram is drawn from a seed and the
pair's own counter, so that the same script has the same weather for each pair whatever the others send.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Callable, Iterable
from typing import Any

import dns.message
import dns.rdatatype
import dns.rrset
import gevent
from gevent import socket
from gevent.event import Event

from marbleworks.lab.standins import HOST

Address = tuple[str, int]


class FaultNet:
    """loss, doubled: parts of the datagrams; delay and jitter in seconds. cut: pairs (sender, receiver)
    between which nothing passes."""

    def __init__(self, routers: int, seed: int) -> None:
        self.routers, self.seed = routers, seed
        self.loss = self.doubled = self.delay = self.jitter = 0.0
        self.cut: Callable[[int, int], bool] = lambda sender, to: False
        self.ports: list[int] = []
        self.twins: dict[int, int] = {}  # by router: the port of a second process of its name
        self.passed, self.dropped, self.bytes = 0, 0, [0] * routers
        self.counters: dict[tuple[int, int], int] = {}
        self.spy: Callable[[int, int, bytes], None] = lambda sender, to, data: None
        # What router i sees as the address of router j, and the address by which it reaches all.
        self.pairs = {(i, j): _datagrams() for i in range(routers) for j in range(routers) if i != j}
        self.to_all = [_datagrams() for _ in range(routers)]
        self.greenlets: list[gevent.Greenlet[..., None]] = []
        self.greenlets += [gevent.spawn(self._pair, i, j) for i, j in self.pairs]
        self.greenlets += [gevent.spawn(self._all, i) for i in range(routers)]

    def of(self, me: int) -> tuple[list[tuple[str, int]], tuple[str, int]]:
        """The addresses of all routers as that one has them, and the one for all."""
        own = (HOST, self.ports[me])
        seen = [own if j == me else self.pairs[me, j].getsockname() for j in range(self.routers)]
        return seen, self.to_all[me].getsockname()

    def listen(self, ports: list[int]) -> None:
        self.ports = ports

    def part(self, *parts: Iterable[int]) -> None:
        """Cuts the group into these parts; without any it is whole."""
        side = {n: i for i, part in enumerate(parts) for n in part}
        self.cut = lambda sender, to: side.get(sender) != side.get(to)

    def send(self, sender: int, to: int, data: bytes) -> None:
        """As if that router had sent it."""
        self._pass(sender, to, data)

    def close(self) -> None:
        gevent.killall(self.greenlets)
        for sock in [*self.pairs.values(), *self.to_all]:
            sock.close()

    def _pair(self, sender: int, to: int) -> None:
        while True:
            data, _ = self.pairs[sender, to].recvfrom(2048)
            self._pass(sender, to, data)

    def _all(self, sender: int) -> None:
        while True:
            data, _ = self.to_all[sender].recvfrom(2048)
            for to in range(self.routers):
                if to != sender:
                    self._pass(sender, to, data)

    def _pass(self, sender: int, to: int, data: bytes) -> None:
        self.bytes[sender] += len(data)
        self.spy(sender, to, data)
        number = self.counters[sender, to] = self.counters.get((sender, to), 0) + 1
        chance = random.Random(struct.pack("<QIII", self.seed, sender, to, number))
        if self.cut(sender, to) or chance.random() < self.loss:
            self.dropped += 1
            return
        for _ in range(1 + (chance.random() < self.doubled)):
            late = self.delay + self.jitter * chance.random()
            if late:
                gevent.spawn_later(late, self._arrive, sender, to, data)
            else:
                self._arrive(sender, to, data)

    def _arrive(self, sender: int, to: int, data: bytes) -> None:
        if not self.cut(sender, to):
            self.passed += 1
            for port in [self.ports[to], *[p for n, p in self.twins.items() if n == to]]:
                self.pairs[to, sender].sendto(data, (HOST, port))


class Lines:
    """The connections of one router: its clients' and those to its engines, and the directory that tells it
    the engines' addresses as they are here.

    held: ("clients" or "engines", whether towards the router) whose bytes stay where they are, as in a cut.
    delay: seconds for each piece on its way."""

    def __init__(self, front: Address, directory: Address, engines: dict[str, Address]) -> None:
        self.held, self.changed, self.delay = set[tuple[str, bool]](), Event(), 0.0
        self.socks: dict[str, set[Any]] = {"clients": set(), "engines": set()}
        self.greenlets: list[gevent.Greenlet[..., None]] = []
        self.front = self._listen("clients", front)
        self.engines = {name: self._listen("engines", address) for name, address in engines.items()}
        self.ports = {port: self.engines[name][1] for name, (_, port) in engines.items()}
        self.asked = _datagrams()
        self.directory: Address = self.asked.getsockname()
        self.greenlets.append(gevent.spawn(self._told, directory))

    def hold(self, kind: str, *ways: bool) -> None:
        """Bytes of that kind stay where they are, towards the router (True), from it (False); none: they go
        on."""
        self.held = {h for h in self.held if h[0] != kind} | {(kind, way) for way in ways}
        self.changed.set()
        self.changed = Event()

    def reset(self, kind: str) -> None:
        """Ends all connections of that kind."""
        for sock in list(self.socks[kind]):
            sock.close()

    def close(self) -> None:
        gevent.killall(self.greenlets)
        for kind in self.socks:
            self.reset(kind)
        self.asked.close()

    def _listen(self, kind: str, to: Address) -> Address:
        sock = socket.socket()
        sock.bind((HOST, 0))
        sock.listen(1024)
        self.greenlets.append(gevent.spawn(self._accept, kind, sock, to))
        address: Address = sock.getsockname()
        return address

    def _accept(self, kind: str, sock: Any, to: Address) -> None:
        with sock:
            while True:
                near, _ = sock.accept()
                self.greenlets = [g for g in self.greenlets if not g.dead]
                self.greenlets.append(gevent.spawn(self._join, kind, near, to))

    def _join(self, kind: str, near: Any, to: Address) -> None:
        try:
            far = socket.create_connection(to, timeout=5)
        except OSError:
            near.close()
            return
        ways = [(near, far, kind == "clients"), (far, near, kind != "clients")]
        for sock in (near, far):
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socks[kind].add(sock)
        gevent.joinall([gevent.spawn(self._pump, kind, *way) for way in ways])

    def _pump(self, kind: str, source: Any, sink: Any, inward: bool) -> None:
        try:
            while data := source.recv(65536):
                if self.delay:
                    gevent.sleep(self.delay)
                while (kind, inward) in self.held:
                    self.changed.wait()
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            self.socks[kind].discard(sock)
            sock.close()

    def _told(self, directory: Address) -> None:
        """Questions go to the directory, and its answers come back with our ports."""
        while True:
            question, asker = self.asked.recvfrom(4096)
            gevent.spawn(self._ask, question, asker, directory)

    def _ask(self, question: bytes, asker: Address, directory: Address) -> None:
        with _datagrams() as sock:
            sock.settimeout(2.0)
            sock.sendto(question, directory)
            try:
                said = dns.message.from_wire(sock.recv(8192))
            except OSError:
                return
        for at, rrset in enumerate(said.answer):
            if rrset.rdtype == dns.rdatatype.SRV:
                ours = [record.replace(port=self.ports.get(record.port, record.port)) for record in rrset]
                said.answer[at] = dns.rrset.from_rdata_list(rrset.name, rrset.ttl, ours)
        self.asked.sendto(said.to_wire(), asker)


def _datagrams() -> Any:
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.bind((HOST, 0))
    return sock
