"""The bytes of a datagram between routers, and back. No I/O, no clock.

It owns the format: a head of ten bytes (mark, version, group, check) and a msgpack map with small numbers for
keys. What a later version adds is passed over; what is not whole, not of this group, older than what we read
or out of range is Unreadable and costs its sender alone.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

MARK, VERSION, OLDEST = 0xD1, 2, 2
HEAD = struct.Struct("<BBII")  # mark, version, group, check of the body
MOST = 256  # bytes of a datagram
MOST_ROUTERS = 4096
HIGHEST = 1 << 40  # of any number that counts up


@dataclass(frozen=True)
class Format:
    """The first byte of a kind of datagram, the version that is written and the oldest that is read."""

    mark: int
    version: int
    oldest: int


FORMAT = Format(MARK, VERSION, OLDEST)


class DatagramDecodeError(Exception):
    """Why a datagram is not taken."""


class MessageType(IntEnum):
    JOIN = 1  # what did you last see of me?
    SEEN = 2  # that; also said to a process that has been followed by another
    PING = 3
    ACK = 4
    ASK_ROUND = 5  # ping that one for me
    ROUND = 6  # it answered
    LEAVE = 7
    VOTE = 8  # may I hold the group's exclusive right, and what I divide
    VOTED = 9


class State(IntEnum):
    """Of one start of a router. Of two news about one incarnation the greater state holds."""

    UP = 0
    SUSPECTED = 1
    GONE = 2
    LEFT = 3


@dataclass(frozen=True, order=True, slots=True)
class News:
    """What is said of a router; the greater of two holds."""

    start: int
    incarnation: int
    state: State
    number: int


@dataclass(frozen=True, slots=True)
class Division:
    """How the group's whole is divided: among how many, and the receiver's place among them, from 0; -1: it
    has none. active: whether it may be used yet. span: milliseconds from when the receiver gave the token
    that comes with it for which it may be; by then the right of whoever divides has ended."""

    serial: int
    among: int
    place: int
    active: bool
    span: int = 0


@dataclass(frozen=True, slots=True)
class Message:
    """start: the sender's. no: of a probe or a vote, echoed by its answer. about: the router that it is
    about. digest: of the sender's view. token: echoed to whom it came from, which knows when it was sent."""

    what: MessageType
    start: int
    no: int = 0
    about: int = -1
    digest: int = 0
    token: int = 0
    held: int = 0  # serial of the division that the sender holds
    granted: bool = False
    division: Division | None = None
    wait: int = 0  # milliseconds until a vote that was refused is free
    news: tuple[News, ...] = ()


def group_of(text: str) -> int:
    return zlib.crc32(text.encode())


def encode(group: int, message: Message) -> bytes:
    """As many of the news as fit."""
    m = message
    fields: dict[int, Any] = {0: int(m.what), 1: m.start}
    for key, value, usual in (
        (2, m.no, 0),
        (3, m.about, -1),
        (4, m.digest, 0),
        (5, m.token, 0),
        (6, m.held, 0),
        (7, int(m.granted), 0),
        (10, m.wait, 0),
    ):
        if value != usual:
            fields[key] = value
    if m.division is not None:
        d = m.division
        fields[8] = [d.serial, d.among, d.place, int(d.active), d.span]
    rows = [[n.number, n.start, n.incarnation, int(n.state)] for n in m.news]
    while True:
        data = seal(FORMAT, group, {**fields, 9: rows} if rows else fields)
        if len(data) <= MOST or not rows:
            return data
        rows.pop()


def seal(format_: Format, group: int, fields: dict[int, Any]) -> bytes:
    body: bytes = msgpack.packb(fields)
    return HEAD.pack(format_.mark, format_.version, group, zlib.crc32(body, format_.version)) + body


def unseal(format_: Format, group: int, data: bytes) -> dict[int, Any]:
    """The fields; raises Unreadable."""
    if not HEAD.size < len(data) <= MOST:
        raise DatagramDecodeError("cut")
    mark, version, of, check = HEAD.unpack_from(data)
    if mark != format_.mark:
        raise DatagramDecodeError("garbage")
    if version < format_.oldest:
        raise DatagramDecodeError("an older version")
    if of != group:
        raise DatagramDecodeError("another group")
    body = data[HEAD.size :]
    if zlib.crc32(body, version) != check:
        raise DatagramDecodeError("garbage")
    with read_strictly():
        fields = msgpack.unpackb(body, strict_map_key=False, max_map_len=64, max_array_len=64)
        if not isinstance(fields, dict):
            raise TypeError
        return fields


@contextmanager
def read_strictly() -> Iterator[None]:
    """Whatever msgpack, a number or a shape objects to is Unreadable."""
    try:
        yield
    except DatagramDecodeError:
        raise
    except Exception as err:
        raise DatagramDecodeError(
            "out of range" if isinstance(err, ValueError | TypeError) else "garbage"
        ) from None


def decode(group: int, routers: int, data: bytes) -> Message:
    """Raises Unreadable."""
    fields = unseal(FORMAT, group, data)
    with read_strictly():
        rows, divided = fields.get(9, ()), fields.get(8)
        return Message(
            MessageType(fields[0]),
            count(fields[1]),
            count(fields.get(2, 0)),
            number_below(fields.get(3, -1), routers, -1),
            count(fields.get(4, 0)),
            count(fields.get(5, 0)),
            count(fields.get(6, 0)),
            bool(fields.get(7, 0)),
            None if divided is None else _division(divided, routers),
            count(fields.get(10, 0)),
            tuple(
                News(count(start), count(incarnation), State(state), number_below(number, routers, 0))
                for number, start, incarnation, state, *_ in rows
            ),
        )


def _division(row: Any, routers: int) -> Division:
    serial, among, place, active, span, *_ = row
    if number_below(among, routers + 1, 1) <= number_below(place, routers, -1):
        raise DatagramDecodeError("out of range")
    return Division(count(serial), among, place, bool(active), count(span))


def count(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < HIGHEST:
        raise DatagramDecodeError("out of range")
    return value


def number_below(value: Any, below: int, least: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not least <= value < below:
        raise DatagramDecodeError("out of range")
    return value
