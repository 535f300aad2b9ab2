"""Network fault injection between router processes.

The datagrams of each pair of routers pass a relay of their own, which can drop, delay, duplicate, reorder or
cut them. The connections of a router's clients and engines can pass relays too.

The module owns the sockets of the relays and the datagrams in transit. The faults of a datagram are drawn
from a seed and the pair's own counter, so that a pair sees the same faults whatever the other pairs send.
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


class FaultyNetwork:
    """Relays for the datagrams between routers.

    Attributes:
        routers: Number of routers.
        seed: Seed of all random faults.
        loss: Fraction of datagrams that are dropped.
        duplication: Fraction of datagrams that are delivered twice.
        delay: Delay of each datagram in seconds.
        jitter: Largest random addition to the delay in seconds.
        is_cut: Whether nothing passes from a sender to a receiver, by router number.
        ports: Ports on which the routers listen, by router number.
        duplicate_ports: Port of a second process with the same router name, keyed by router number.
        delivered: Number of datagrams delivered.
        dropped: Number of datagrams dropped when they were sent.
        bytes: Bytes sent, by router number.
        counters: Number of datagrams sent, keyed by sender and receiver.
        on_send: Called with sender, receiver and data for each datagram sent.
        pair_sockets: Sockets keyed by (router, peer). A socket's address is that of the peer as the router
            sees it.
        broadcast_sockets: Sockets whose addresses reach all peers, by router number.
        greenlets: The running relays.
    """

    def __init__(self, routers: int, seed: int) -> None:
        self.routers, self.seed = routers, seed
        self.loss = self.duplication = self.delay = self.jitter = 0.0
        self.is_cut: Callable[[int, int], bool] = lambda sender, receiver: False
        self.ports: list[int] = []
        self.duplicate_ports: dict[int, int] = {}
        self.delivered, self.dropped, self.bytes = 0, 0, [0] * routers
        self.counters: dict[tuple[int, int], int] = {}
        self.on_send: Callable[[int, int, bytes], None] = lambda sender, receiver, data: None
        self.pair_sockets = {
            (i, j): _datagram_socket() for i in range(routers) for j in range(routers) if i != j
        }
        self.broadcast_sockets = [_datagram_socket() for _ in range(routers)]
        self.greenlets: list[gevent.Greenlet[..., None]] = []
        self.greenlets += [gevent.spawn(self._relay_pair, i, j) for i, j in self.pair_sockets]
        self.greenlets += [gevent.spawn(self._relay_broadcasts, i) for i in range(routers)]

    def addresses_for(self, router: int) -> tuple[list[tuple[str, int]], tuple[str, int]]:
        """Returns the addresses that a router needs.

        Args:
            router: Number of the router.

        Returns:
            The addresses of all routers as this one sees them, and the address that reaches all of them.
        """
        own = (HOST, self.ports[router])
        seen = [
            own if j == router else self.pair_sockets[router, j].getsockname() for j in range(self.routers)
        ]
        return seen, self.broadcast_sockets[router].getsockname()

    def set_ports(self, ports: list[int]) -> None:
        """Sets the ports on which the routers listen."""
        self.ports = ports

    def partition(self, *parts: Iterable[int]) -> None:
        """Partitions the group into these parts. Without arguments, removes the partition."""
        side = {router: index for index, part in enumerate(parts) for router in part}
        self.is_cut = lambda sender, receiver: side.get(sender) != side.get(receiver)

    def send(self, sender: int, receiver: int, data: bytes) -> None:
        """Sends a datagram in the name of a router."""
        self._forward(sender, receiver, data)

    def close(self) -> None:
        """Stops the relays and closes their sockets."""
        gevent.killall(self.greenlets)
        for sock in [*self.pair_sockets.values(), *self.broadcast_sockets]:
            sock.close()

    def _relay_pair(self, sender: int, receiver: int) -> None:
        while True:
            data, _ = self.pair_sockets[sender, receiver].recvfrom(2048)
            self._forward(sender, receiver, data)

    def _relay_broadcasts(self, sender: int) -> None:
        while True:
            data, _ = self.broadcast_sockets[sender].recvfrom(2048)
            for receiver in range(self.routers):
                if receiver != sender:
                    self._forward(sender, receiver, data)

    def _forward(self, sender: int, receiver: int, data: bytes) -> None:
        self.bytes[sender] += len(data)
        self.on_send(sender, receiver, data)
        sequence = self.counters[sender, receiver] = self.counters.get((sender, receiver), 0) + 1
        rng = random.Random(struct.pack("<QIII", self.seed, sender, receiver, sequence))
        if self.is_cut(sender, receiver) or rng.random() < self.loss:
            self.dropped += 1
            return
        for _ in range(1 + (rng.random() < self.duplication)):
            delay_s = self.delay + self.jitter * rng.random()
            if delay_s:
                gevent.spawn_later(delay_s, self._deliver, sender, receiver, data)
            else:
                self._deliver(sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        if not self.is_cut(sender, receiver):
            self.delivered += 1
            for port in [
                self.ports[receiver],
                *[twin_port for router, twin_port in self.duplicate_ports.items() if router == receiver],
            ]:
                self.pair_sockets[receiver, sender].sendto(data, (HOST, port))


class ConnectionRelays:
    """Relays for one router's connections with clients and engines, and for its engine directory.

    Directory responses are rewritten, so that the router connects to the relays of its engines.

    Attributes:
        held: Pairs of connection kind ("clients" or "engines") and direction (True is towards the router)
            whose bytes are held back, as in a network partition.
        changed: Set when `held` changes, then replaced.
        delay: Delay of each piece of data in seconds.
        socks: Open sockets, keyed by connection kind.
        greenlets: The running relays.
        client_address: Address to which clients connect.
        engines: Relay address of each engine, keyed by name.
        ports: Relay port of each engine, keyed by its real port.
        directory_socket: Socket that receives the router's directory queries.
        directory: Address of that socket.
    """

    def __init__(self, client_address: Address, directory: Address, engines: dict[str, Address]) -> None:
        self.held, self.changed, self.delay = set[tuple[str, bool]](), Event(), 0.0
        self.socks: dict[str, set[Any]] = {"clients": set(), "engines": set()}
        self.greenlets: list[gevent.Greenlet[..., None]] = []
        self.client_address = self._listen("clients", client_address)
        self.engines = {name: self._listen("engines", address) for name, address in engines.items()}
        self.ports = {port: self.engines[name][1] for name, (_, port) in engines.items()}
        self.directory_socket = _datagram_socket()
        self.directory: Address = self.directory_socket.getsockname()
        self.greenlets.append(gevent.spawn(self._relay_directory, directory))

    def hold_back(self, kind: str, *directions: bool) -> None:
        """Sets the directions in which bytes of connections of a kind are held back.

        Args:
            kind: "clients" or "engines".
            *directions: True for bytes towards the router, False for bytes from it. Without any, all bytes
                pass.
        """
        self.held = {entry for entry in self.held if entry[0] != kind} | {
            (kind, direction) for direction in directions
        }
        self.changed.set()
        self.changed = Event()

    def reset(self, kind: str) -> None:
        """Closes all connections of a kind."""
        for sock in list(self.socks[kind]):
            sock.close()

    def close(self) -> None:
        """Stops the relays and closes all sockets."""
        gevent.killall(self.greenlets)
        for kind in self.socks:
            self.reset(kind)
        self.directory_socket.close()

    def _listen(self, kind: str, target: Address) -> Address:
        sock = socket.socket()
        sock.bind((HOST, 0))
        sock.listen(1024)
        self.greenlets.append(gevent.spawn(self._accept, kind, sock, target))
        address: Address = sock.getsockname()
        return address

    def _accept(self, kind: str, sock: Any, target: Address) -> None:
        with sock:
            while True:
                accepted, _ = sock.accept()
                self.greenlets = [greenlet for greenlet in self.greenlets if not greenlet.dead]
                self.greenlets.append(gevent.spawn(self._connect, kind, accepted, target))

    def _connect(self, kind: str, accepted: Any, target: Address) -> None:
        try:
            upstream = socket.create_connection(target, timeout=5)
        except OSError:
            accepted.close()
            return
        directions = [(accepted, upstream, kind == "clients"), (upstream, accepted, kind != "clients")]
        for sock in (accepted, upstream):
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socks[kind].add(sock)
        gevent.joinall([gevent.spawn(self._copy, kind, *direction) for direction in directions])

    def _copy(self, kind: str, source: Any, sink: Any, towards_router: bool) -> None:
        try:
            while data := source.recv(65536):
                if self.delay:
                    gevent.sleep(self.delay)
                while (kind, towards_router) in self.held:
                    self.changed.wait()
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            self.socks[kind].discard(sock)
            sock.close()

    def _relay_directory(self, directory: Address) -> None:
        """Relays directory queries, each in a greenlet of its own."""
        while True:
            query, sender = self.directory_socket.recvfrom(4096)
            gevent.spawn(self._answer_query, query, sender, directory)

    def _answer_query(self, query: bytes, sender: Address, directory: Address) -> None:
        """Forwards a query to the directory and returns the response with the ports of the relays."""
        with _datagram_socket() as sock:
            sock.settimeout(2.0)
            sock.sendto(query, directory)
            try:
                response = dns.message.from_wire(sock.recv(8192))
            except OSError:
                return
        for index, rrset in enumerate(response.answer):
            if rrset.rdtype == dns.rdatatype.SRV:
                records = [record.replace(port=self.ports.get(record.port, record.port)) for record in rrset]
                response.answer[index] = dns.rrset.from_rdata_list(rrset.name, rrset.ttl, records)
        self.directory_socket.sendto(response.to_wire(), sender)


def _datagram_socket() -> Any:
    """Returns a datagram socket that is bound to a free port."""
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.bind((HOST, 0))
    return sock
