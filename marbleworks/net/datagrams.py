"""Transport of datagrams between routers; each kind of datagram has one owner.

This module owns the socket and the rate limits of each kind for sending and receiving. It does not interpret
datagrams, and drops those from addresses that are not a peer's.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import gevent
from gevent import socket

from marbleworks.net.actor import LOG, TIME_SLICE_S, Actor, clock, spawn
from marbleworks.net.addresses import SocketAddress

MAX_DATAGRAM_BYTES = 256  # set by the protocol
BURST_S = 2.0  # capacity of a rate limit, in seconds of its rate
DROP_LOG_INTERVAL_S = 10.0  # minimum time between log lines about dropped datagrams
# Datagrams dropped for these reasons are counted but not logged, since anyone could fill the log with them.
UNKNOWN_SENDER = "unknown sender"  # or a datagram of an invalid size
UNKNOWN_KIND = "unknown kind"

DatagramHandler = Callable[[int, bytes], None]  # called with the index of the sending peer and the datagram


class DatagramSender(Protocol):
    """Sends datagrams of one kind."""

    def __call__(self, data: bytes, to: int | None = None, /) -> None:
        """Queues a datagram to one peer, by index, or to all peers if that is None."""


@dataclass(frozen=True)
class DatagramKind:
    """One kind of datagrams, named after its owner.

    Attributes:
        name: Name in logs and counters.
        first_byte: First byte of each datagram of the kind; None if the kind is recognized by its size.
        max_bytes_per_s: Rate limit for sending the kind, and for receiving it from each peer.
        size_bytes: Size of each datagram of a kind without a `first_byte`.
    """

    name: str
    first_byte: int | None
    max_bytes_per_s: float = math.inf
    size_bytes: int = 0

    def matches(self, data: bytes) -> bool:
        """Whether a datagram, which must not be empty, is of this kind."""
        if self.first_byte is not None:
            return data[0] == self.first_byte
        return len(data) == self.size_bytes


LOAD_UPDATE = DatagramKind("news", None, size_bytes=5)  # an engine's load, sent between schedulers


class RateLimit:
    """A token bucket of bytes, which holds at most `BURST_S` seconds of its rate.

    Attributes:
        max_bytes_per_s: Rate at which the bucket is refilled; infinite for no limit.
        capacity_bytes: Maximum number of bytes in the bucket.
        available_bytes: Bytes in the bucket at `updated_at`.
        updated_at: Unix time in seconds of the last refill.
    """

    def __init__(self, max_bytes_per_s: float) -> None:
        self.max_bytes_per_s = max_bytes_per_s
        self.capacity_bytes = BURST_S * max_bytes_per_s
        self.available_bytes = self.capacity_bytes
        self.updated_at = 0.0

    def allows(self, size_bytes: int, now: float) -> bool:
        """Returns whether a datagram is within the limit, and takes its bytes from the bucket if so."""
        if math.isinf(self.max_bytes_per_s):
            return True
        refilled_bytes = self.max_bytes_per_s * (now - self.updated_at)
        self.available_bytes = min(self.available_bytes + refilled_bytes, self.capacity_bytes)
        self.updated_at = now
        if self.available_bytes < size_bytes:
            return False
        self.available_bytes -= size_bytes
        return True


@dataclass(frozen=True)
class _Registration:
    kind: DatagramKind
    handler: DatagramHandler
    receive_limits: dict[int, RateLimit] = field(default_factory=dict)  # keyed by peer index


class DatagramTransport(Actor):
    """The actor that owns the socket for datagrams between routers.

    Attributes:
        peer_addresses: Addresses of all routers by index, including this router's.
        broadcast_address: Address that reaches all routers.
        own_index: Index of this router.
        peer_indices: Index of each router, keyed by address.
        registrations: Registered kinds with their handlers, in the order in which they are matched.
        dropped_counts: Number of dropped datagrams, keyed by one of a few fixed reasons.
        drop_logged_at: Unix time in seconds of the last log line about dropped datagrams.
        sent_bytes: Bytes sent, keyed by the name of the kind.
    """

    def __init__(
        self, listen: SocketAddress, peers: list[SocketAddress], broadcast: SocketAddress, own_index: int
    ) -> None:
        """Binds the socket; datagrams are received after `listen`.

        Args:
            listen: Address to bind the socket to.
            peers: Addresses of all routers by index, including this router's.
            broadcast: Address that reaches all routers.
            own_index: Index of this router.
        """
        super().__init__()
        self.peer_addresses = peers
        self.broadcast_address = broadcast
        self.own_index = own_index
        self.peer_indices = {address: index for index, address in enumerate(peers)}
        self.registrations: list[_Registration] = []
        self.dropped_counts: dict[str, int] = {}
        self.drop_logged_at = -math.inf
        self.sent_bytes: dict[str, int] = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(listen)

    def register(self, kind: DatagramKind, handler: DatagramHandler) -> DatagramSender:
        """Registers a kind of datagrams. Kinds are matched in the order of their registration.

        Args:
            kind: The kind.
            handler: Called with each received datagram of the kind; it must do no more than post a call.

        Returns:
            A function that sends datagrams of the kind.
        """
        self.registrations.append(_Registration(kind, handler))
        send_limit = RateLimit(kind.max_bytes_per_s)

        def post_datagram(data: bytes, to: int | None = None, /) -> None:
            self.post(self._send, kind, send_limit, data, to)

        return post_datagram

    def listen(self) -> None:
        """Starts to receive; a kind that is registered later is delivered from its registration on."""
        spawn(self._listen)

    def _send(self, kind: DatagramKind, limit: RateLimit, data: bytes, to: int | None) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            LOG.error("datagram too long", bytes=len(data))
            return
        if not limit.allows(len(data), clock()):
            self._drop(f"{kind.name} over its rate limit")
            return
        self.sent_bytes[kind.name] = self.sent_bytes.get(kind.name, 0) + len(data)
        try:
            self.sock.sendto(data, self.broadcast_address if to is None else self.peer_addresses[to])
        except OSError as err:  # like a lost datagram, which the protocols have to tolerate
            LOG.warning("datagram not sent", error=str(err))

    def _listen(self) -> None:
        slice_ends_at = 0.0
        while True:
            if clock() > slice_ends_at:
                gevent.sleep(0)  # `recvfrom` lets no other greenlet run as long as datagrams are there
                slice_ends_at = clock() + TIME_SLICE_S
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError as err:
                LOG.warning("datagram not received", error=str(err))
                continue
            peer = self.peer_indices.get(sender)
            if peer is None or peer == self.own_index or not 0 < len(data) <= MAX_DATAGRAM_BYTES:
                self._drop(UNKNOWN_SENDER)
            else:
                self._deliver(peer, data)

    def _deliver(self, peer: int, data: bytes) -> None:
        for registration in self.registrations:  # load updates come first, since they may begin with any byte
            kind = registration.kind
            if kind.matches(data):
                limit = registration.receive_limits.get(peer)
                if limit is None:
                    limit = registration.receive_limits[peer] = RateLimit(kind.max_bytes_per_s)
                if limit.allows(len(data), clock()):
                    registration.handler(peer, data)
                else:
                    self._drop(f"{kind.name} of a peer over its rate limit")
                return
        self._drop(UNKNOWN_KIND)

    def _drop(self, reason: str) -> None:
        self.dropped_counts[reason] = self.dropped_counts.get(reason, 0) + 1
        if reason in (UNKNOWN_KIND, UNKNOWN_SENDER):
            return
        if clock() > self.drop_logged_at + DROP_LOG_INTERVAL_S:
            self.drop_logged_at = clock()
            LOG.warning("datagrams dropped", reason=reason, count=self.dropped_counts[reason])
