"""Datagrams between the routers of a tier, of several kinds, each with one owner.

This owns the one socket for them and the limits on what each kind may send and receive. It knows nothing of
what a datagram means, and passes on nothing from an address that is no peer's.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from gevent import socket

from marbleworks.net.actor import LOG, Actor, clock, spawn
from marbleworks.net.addresses import SocketAddress

MAX_DATAGRAM_BYTES = 256  # by the protocol
BURST_S = 2.0  # seconds of a kind's rate that may be saved up
DROP_LOG_INTERVAL_S = 10.0  # between log lines on what is dropped
# Reasons to drop a datagram that are counted and never logged, since strangers could fill the log with them.
UNKNOWN_SENDER = "no peer's"
UNKNOWN_KIND = "not registered"

DatagramHandler = Callable[[int, bytes], None]  # takes the index of the sending peer and the datagram


class DatagramSender(Protocol):
    """Sends a datagram of one kind."""

    def __call__(self, data: bytes, to: int | None = None, /) -> None:
        """Posts it to one peer, by index, or to all."""


@dataclass(frozen=True)
class DatagramKind:
    """One kind of datagrams, named after its owner.

    first_byte: of each datagram of the kind; None: the kind is that of `size_bytes` bytes, which begin with
    anything. max_bytes_per_s: what the kind may send, and what each peer may send of it.
    """

    name: str
    first_byte: int | None
    max_bytes_per_s: float = math.inf
    size_bytes: int = 0

    def matches(self, data: bytes) -> bool:
        """Whether a datagram, of one byte at least, is of this kind."""
        if self.first_byte is not None:
            return data[0] == self.first_byte
        return len(data) == self.size_bytes


LOAD_UPDATE = DatagramKind("news", None, size_bytes=5)  # of an engine, from a scheduler to the others


class RateLimit:
    """Allows so many bytes a second, some seconds of which may be saved up."""

    def __init__(self, max_bytes_per_s: float) -> None:
        self.max_bytes_per_s = max_bytes_per_s
        self.max_saved_bytes = BURST_S * max_bytes_per_s
        self.available_bytes = self.max_saved_bytes
        self.updated_at = 0.0

    def allows(self, size_bytes: int, now: float) -> bool:
        """Whether a datagram may pass; takes its bytes if so."""
        if math.isinf(self.max_bytes_per_s):
            return True
        earned_bytes = self.max_bytes_per_s * (now - self.updated_at)
        self.available_bytes = min(self.available_bytes + earned_bytes, self.max_saved_bytes)
        self.updated_at = now
        if self.available_bytes < size_bytes:
            return False
        self.available_bytes -= size_bytes
        return True


@dataclass(frozen=True)
class _Registration:
    kind: DatagramKind
    handler: DatagramHandler
    receive_limits: dict[int, RateLimit] = field(default_factory=dict)  # by peer


class DatagramTransport(Actor):
    """The socket for datagrams between routers.

    listen: where it is bound. peers: the addresses of all routers by index, ours among them. broadcast: sends
    to all of them. own_index: ours.
    """

    def __init__(
        self, listen: SocketAddress, peers: list[SocketAddress], broadcast: SocketAddress, own_index: int
    ) -> None:
        super().__init__()
        self.peer_addresses = peers
        self.broadcast_address = broadcast
        self.own_index = own_index
        self.peer_indices = {address: index for index, address in enumerate(peers)}
        self.registrations: list[_Registration] = []
        self.dropped_counts: dict[str, int] = {}  # by reason; a handful of them
        self.drop_logged_at = -math.inf
        self.sent_bytes: dict[str, int] = {}  # by name of the kind
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(listen)

    def register(self, kind: DatagramKind, handler: DatagramHandler) -> DatagramSender:
        """Has datagrams of a kind given to a handler, which must only post. Returns what sends them.

        Kinds are tried in the order in which they are registered.
        """
        self.registrations.append(_Registration(kind, handler))
        send_limit = RateLimit(kind.max_bytes_per_s)

        def post_datagram(data: bytes, to: int | None = None, /) -> None:
            self.post(self._send, kind, send_limit, data, to)

        return post_datagram

    def listen(self) -> None:
        """Starts to receive; kinds that are registered later count from then on."""
        spawn(self._listen)

    def _send(self, kind: DatagramKind, limit: RateLimit, data: bytes, to: int | None) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            LOG.error("datagram too long", bytes=len(data))
            return
        if not limit.allows(len(data), clock()):
            self._drop(f"{kind.name} over its pace")
            return
        self.sent_bytes[kind.name] = self.sent_bytes.get(kind.name, 0) + len(data)
        try:
            self.sock.sendto(data, self.broadcast_address if to is None else self.peer_addresses[to])
        except OSError as err:  # as good as lost, which datagrams may be
            LOG.warning("datagram not sent", error=str(err))

    def _listen(self) -> None:
        while True:
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
        for registration in self.registrations:  # load updates first: their first byte is anything
            kind = registration.kind
            if kind.matches(data):
                limit = registration.receive_limits.get(peer)
                if limit is None:
                    limit = registration.receive_limits[peer] = RateLimit(kind.max_bytes_per_s)
                if limit.allows(len(data), clock()):
                    registration.handler(peer, data)
                else:
                    self._drop(f"{kind.name} of a peer over its pace")
                return
        self._drop(UNKNOWN_KIND)

    def _drop(self, reason: str) -> None:
        self.dropped_counts[reason] = self.dropped_counts.get(reason, 0) + 1
        if reason in (UNKNOWN_KIND, UNKNOWN_SENDER):
            return
        if clock() > self.drop_logged_at + DROP_LOG_INTERVAL_S:
            self.drop_logged_at = clock()
            LOG.warning("datagrams dropped", reason=reason, count=self.dropped_counts[reason])
