"""Datagrams between the routers of a tier, of several kinds, each with one owner.

It owns the one socket for them and the bounds on what each kind may send and be sent. It must never send more
than the protocol allows in one, pass on what came from an address that is no peer's or what nobody
registered, or know what a datagram means.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from gevent import socket

from marbleworks.net.actor import LOG, Actor, clock, spawn

MAX_DATAGRAM_BYTES = 256  # bytes of a datagram, by the protocol
BURST = 2.0  # seconds of a kind's pace that may be saved up
SAID = 10.0  # seconds between log lines on what is dropped
DatagramHandler = Callable[[int, bytes], None]


@dataclass(frozen=True)
class DatagramKind:
    """name: of its owner. mark: the first byte of each; None: those of `length` bytes, which begin with
    anything. pace: bytes a second that the kind may send, and that each peer may send of it."""

    name: str
    mark: int | None
    max_bytes_per_s: float = math.inf
    length: int = 0

    def matches(self, data: bytes) -> bool:
        return data[0] == self.mark if self.mark is not None else len(data) == self.length


LOAD_UPDATE = DatagramKind("news", None, length=5)  # of an engine, from one decision module to the others


class RateLimit:
    """So many bytes a second, some seconds of them saved up."""

    def __init__(self, pace: float) -> None:
        self.pace, self.left, self.at = pace, BURST * pace, 0.0

    def allows(self, count: int, now: float) -> bool:
        if math.isinf(self.pace):
            return True
        self.left, self.at = min(self.left + self.pace * (now - self.at), BURST * self.pace), now
        if self.left < count:
            return False
        self.left -= count
        return True


class DatagramTransport(Actor):
    def __init__(
        self, listen: tuple[str, int], peers: list[tuple[str, int]], everyone: tuple[str, int], me: int
    ) -> None:
        super().__init__()
        self.addresses, self.everyone, self.me = peers, everyone, me
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.kinds: list[tuple[DatagramKind, DatagramHandler, RateLimit]] = []
        self.from_each: dict[
            tuple[str, int], RateLimit
        ] = {}  # by kind and peer, of those that are registered
        self.dropped: dict[str, int] = {}  # by why; a handful of them
        self.said = -math.inf
        self.sent_bytes: dict[str, int] = {}  # by kind
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(listen)

    def register(self, kind: DatagramKind, heard: DatagramHandler) -> Callable[..., None]:
        """What of that kind comes is given to `heard`, which must only post. Returns what tells: (data) all
        peers, (data, number) one."""
        self.kinds.append((kind, heard, RateLimit(kind.max_bytes_per_s)))
        pace = self.kinds[-1][2]
        return lambda data, to=None: self.post(self._tell, kind, pace, data, to)

    def listen(self) -> None:
        spawn(self._listen)

    def _tell(self, kind: DatagramKind, pace: RateLimit, data: bytes, to: int | None) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            LOG.error("datagram too long", bytes=len(data))
            return
        if not pace.allows(len(data), clock()):
            self._drop(f"{kind.name} over its pace")
            return
        self.sent_bytes[kind.name] = self.sent_bytes.get(kind.name, 0) + len(data)
        try:
            self.sock.sendto(data, self.everyone if to is None else self.addresses[to])
        except OSError as err:  # as good as lost, which datagrams may be
            LOG.warning("datagram not sent", error=str(err))

    def _listen(self) -> None:
        while True:
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError as err:
                LOG.warning("datagram not read", error=str(err))
                continue
            number = self.numbers.get(sender)
            if number is None or number == self.me or not 0 < len(data) <= MAX_DATAGRAM_BYTES:
                self._drop("no peer's")
                continue
            for kind, heard, _ in self.kinds:  # the news first: its first byte is anything
                if kind.matches(data):
                    pace = self.from_each.setdefault((kind.name, number), RateLimit(kind.max_bytes_per_s))
                    if pace.allows(len(data), clock()):
                        heard(number, data)
                    else:
                        self._drop(f"{kind.name} of a peer over its pace")
                    break
            else:
                self._drop("not registered")

    def _drop(self, why: str) -> None:
        self.dropped[why] = self.dropped.get(why, 0) + 1
        if why not in ("not registered", "no peer's") and clock() > self.said + SAID:
            self.said = clock()
            LOG.warning("datagrams dropped", why=why, count=self.dropped[why])
