"""Encoding and decoding of membership datagrams. This module does no I/O and reads no clock.

A datagram is a ten-byte header (magic, version, group, checksum) followed by a msgpack map whose keys are
small integers. Unknown keys and additional elements of a row are ignored, since a later version may add them.
A datagram that is truncated, corrupt, too old, of another group, or has a value out of range raises
`DatagramDecodeError`.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import msgpack

from marbleworks.membership.messages import MemberState, MemberUpdate, Message, MessageType, QuotaDivision

MAGIC = 0xD1
FORMAT_VERSION = 2
MIN_FORMAT_VERSION = 2
HEADER = struct.Struct("<BBII")  # magic, version, group, checksum of the body
MAX_DATAGRAM_BYTES = 256
MAX_ROUTERS = 4096
MAX_COUNTER = 1 << 40  # exclusive upper bound of generations, sequences, tokens and serials


@dataclass(frozen=True)
class DatagramFormat:
    """Header values of one kind of datagram.

    Attributes:
        magic: first byte of each datagram of this kind.
        version: format version that is written.
        min_version: oldest format version that is accepted.
    """

    magic: int
    version: int
    min_version: int


FORMAT = DatagramFormat(MAGIC, FORMAT_VERSION, MIN_FORMAT_VERSION)


class DatagramDecodeError(Exception):
    """A datagram cannot be decoded.

    The text is one of a few fixed reasons, since invalid datagrams are counted by it.
    """


# Keys of the map in the body.
_MESSAGE_TYPE = 0
_GENERATION = 1
_SEQUENCE = 2
_SUBJECT = 3
_VIEW_DIGEST = 4
_TOKEN = 5
_HELD_SERIAL = 6
_GRANTED = 7
_DIVISION = 8
_UPDATES = 9
_RETRY_AFTER_MS = 10


def group_hash(text: str) -> int:
    """Returns the number that identifies the group in the header.

    Args:
        text: the group's name and number of routers, which is the same on all its routers.
    """
    return zlib.crc32(text.encode())


def encode(group: int, message: Message) -> bytes:
    """Encodes a message, dropping updates from the end until it fits into `MAX_DATAGRAM_BYTES`.

    Args:
        group: result of `group_hash`.
        message: the message to encode.
    """
    fields: dict[int, Any] = {_MESSAGE_TYPE: int(message.message_type), _GENERATION: message.generation}
    optional = (
        (_SEQUENCE, message.sequence, 0),
        (_SUBJECT, message.subject, -1),
        (_VIEW_DIGEST, message.view_digest, 0),
        (_TOKEN, message.token, 0),
        (_HELD_SERIAL, message.held_serial, 0),
        (_GRANTED, int(message.granted), 0),
        (_RETRY_AFTER_MS, message.retry_after_ms, 0),
    )
    fields |= {key: value for key, value, default in optional if value != default}
    if message.division is not None:
        division = message.division
        fields[_DIVISION] = [
            division.serial,
            division.divisor,
            division.index,
            int(division.active),
            division.validity_ms,
        ]
    rows = [
        [update.router, update.generation, update.incarnation, int(update.state)]
        for update in message.updates
    ]
    while True:
        data = seal(FORMAT, group, {**fields, _UPDATES: rows} if rows else fields)
        if len(data) <= MAX_DATAGRAM_BYTES or not rows:
            return data
        rows.pop()


def seal(datagram_format: DatagramFormat, group: int, fields: dict[int, Any]) -> bytes:
    """Packs the fields and prepends the header with their checksum."""
    body: bytes = msgpack.packb(fields)
    checksum = zlib.crc32(body, datagram_format.version)
    return HEADER.pack(datagram_format.magic, datagram_format.version, group, checksum) + body


def unseal(datagram_format: DatagramFormat, group: int, data: bytes) -> dict[int, Any]:
    """Verifies the header and returns the fields.

    Raises:
        DatagramDecodeError: The datagram is truncated, too long, corrupt, too old or of another group.
    """
    if not HEADER.size < len(data) <= MAX_DATAGRAM_BYTES:
        raise DatagramDecodeError("cut")
    magic, version, sender_group, checksum = HEADER.unpack_from(data)
    if magic != datagram_format.magic:
        raise DatagramDecodeError("garbage")
    if version < datagram_format.min_version:
        raise DatagramDecodeError("format version too old")
    if sender_group != group:
        raise DatagramDecodeError("sent by another group")
    body = data[HEADER.size :]
    if zlib.crc32(body, version) != checksum:
        raise DatagramDecodeError("garbage")
    with wrap_decode_errors():
        fields = msgpack.unpackb(body, strict_map_key=False, max_map_len=64, max_array_len=64)
        if not isinstance(fields, dict):
            raise TypeError
        return fields


@contextmanager
def wrap_decode_errors() -> Iterator[None]:
    """Converts any exception from msgpack or from a malformed field to a `DatagramDecodeError`."""
    try:
        yield
    except DatagramDecodeError:
        raise
    except Exception as err:  # noqa: BLE001 - msgpack raises errors of unrelated types on corrupt input
        raise DatagramDecodeError(
            "out of range" if isinstance(err, ValueError | TypeError) else "garbage"
        ) from None


def decode(group: int, router_count: int, data: bytes) -> Message:
    """Decodes a membership datagram.

    Args:
        group: result of `group_hash` for this router's group.
        router_count: number of configured routers; router indexes have to be below it.
        data: the datagram as received.

    Raises:
        DatagramDecodeError: The datagram is not of this group, or a field is missing or out of range.
    """
    fields = unseal(FORMAT, group, data)
    with wrap_decode_errors():
        rows = fields.get(_UPDATES, ())
        division = fields.get(_DIVISION)
        return Message(
            MessageType(fields[_MESSAGE_TYPE]),
            checked_counter(fields[_GENERATION]),
            checked_counter(fields.get(_SEQUENCE, 0)),
            checked_range(fields.get(_SUBJECT, -1), router_count, -1),
            checked_counter(fields.get(_VIEW_DIGEST, 0)),
            checked_counter(fields.get(_TOKEN, 0)),
            checked_counter(fields.get(_HELD_SERIAL, 0)),
            bool(fields.get(_GRANTED, 0)),
            None if division is None else _decode_division(division, router_count),
            checked_counter(fields.get(_RETRY_AFTER_MS, 0)),
            tuple(
                MemberUpdate(
                    checked_counter(generation),
                    checked_counter(incarnation),
                    MemberState(state),
                    checked_range(router, router_count, 0),
                )
                for router, generation, incarnation, state, *_ in rows
            ),
        )


def _decode_division(row: Any, router_count: int) -> QuotaDivision:
    serial, divisor, index, active, validity_ms, *_ = row
    if checked_range(divisor, router_count + 1, 1) <= checked_range(index, router_count, -1):
        raise DatagramDecodeError("out of range")
    return QuotaDivision(checked_counter(serial), divisor, index, bool(active), checked_counter(validity_ms))


def checked_counter(value: Any) -> int:
    """Returns the value if it is an integer in the range 0 <= value < MAX_COUNTER.

    Raises:
        DatagramDecodeError: The value is not an integer or is out of range.
    """
    # Does not delegate to `checked_range`, to save one call for each field of a datagram.
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < MAX_COUNTER:
        raise DatagramDecodeError("out of range")
    return value


def checked_range(value: Any, end: int, minimum: int) -> int:
    """Returns the value if it is an integer in the range minimum <= value < end.

    Raises:
        DatagramDecodeError: The value is not an integer or is out of range.
    """
    if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value < end:
        raise DatagramDecodeError("out of range")
    return value
