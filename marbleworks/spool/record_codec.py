"""Records of a segment: bytes in, records out, and back. No I/O.

A record is a head of 40 bytes and a payload. The head has a check of its own, so that a spoilt payload does
not hide what follows. Both checks are seeded by the segment's salt, which stands in the file's name: bytes of
another segment, or such as a client had stored, are never taken for a record.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum

import xxhash
import zstandard

MAGIC = b"mW\x01"
HEAD = struct.Struct("<3sBQIIIQ")  # magic, kind, number, page, raw length, payload length, payload check
CHECK = struct.Struct("<Q")
HEAD_SIZE = HEAD.size + CHECK.size
MOST_PAYLOAD = 1 << 20  # bytes; no record is longer
LEVEL = 1  # of compression: 3 took 1.6 times as long for 4% less on rows of text
WINDOW = 1 << 18  # bytes read at a time by a scan


class Kind(IntEnum):
    """What a record says."""

    PAGE = 1  # rows of one page of a result
    END = 2  # a result is whole; the payload describes it
    DROP = 3  # a result is no more; page: the last segment that may hold records of it


class CorruptRecordError(Exception):
    """Bytes that are not what was written."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A record before it has a place. frame: the payload as stored; size: of what it holds unpacked."""

    kind: Kind
    number: int
    page: int
    frame: bytes
    size: int

    def encode(self, salt: int) -> bytes:
        check = xxhash.xxh3_64_intdigest(self.frame, salt)
        args = MAGIC, self.kind, self.number, self.page, self.size, len(self.frame), check
        head = HEAD.pack(*args)
        return head + CHECK.pack(xxhash.xxh3_64_intdigest(head, salt)) + self.frame

    @property
    def stored(self) -> int:
        """Bytes that it takes in a segment."""
        return HEAD_SIZE + len(self.frame)


def packed(kind: Kind, number: int, page: int, data: bytes) -> Entry:
    frame = zstandard.ZstdCompressor(level=LEVEL, write_checksum=True).compress(data) if data else b""
    return Entry(kind, number, page, frame, len(data))


def unpacked(entry: Entry) -> bytes:
    """What an entry holds; raises Spoilt. Takes no more memory than the head says."""
    if not entry.frame:
        return b""
    try:
        data = zstandard.ZstdDecompressor().decompress(entry.frame, max_output_size=entry.size)
    except zstandard.ZstdError as err:
        raise CorruptRecordError(str(err)) from None
    if len(data) != entry.size:
        raise CorruptRecordError("not the length that the head says")
    return data


def decode(data: bytes, salt: int) -> Entry:
    """The record that the bytes are, whole; raises Spoilt."""
    entry, size = _head(data, 0, salt)
    if entry is None or len(data) != size:
        raise CorruptRecordError("no record")
    return _checked(entry, data[HEAD_SIZE:], salt)


def _head(data: bytes, at: int, salt: int) -> tuple[tuple[Kind, int, int, int, int] | None, int]:
    if len(data) < at + HEAD_SIZE or data[at : at + len(MAGIC)] != MAGIC:
        return None, 0
    head = data[at : at + HEAD.size]
    (check,) = CHECK.unpack_from(data, at + HEAD.size)
    if check != xxhash.xxh3_64_intdigest(head, salt):
        return None, 0
    _, kind, number, page, size, length, payload = HEAD.unpack(head)
    if kind not in Kind._value2member_map_ or length > MOST_PAYLOAD or size > MOST_PAYLOAD:
        return None, 0
    return (Kind(kind), number, page, size, payload), HEAD_SIZE + length


def _checked(head: tuple[Kind, int, int, int, int], frame: bytes, salt: int) -> Entry:
    kind, number, page, size, check = head
    if check != xxhash.xxh3_64_intdigest(frame, salt):
        raise CorruptRecordError("the payload is not what was written")
    return Entry(kind, number, page, frame, size)


@dataclass(frozen=True, slots=True)
class Found:
    """A record in its place; entry is None where its payload is spoilt."""

    offset: int
    length: int
    number: int
    entry: Entry | None


def scan(read: Callable[[int, int], bytes], size: int, salt: int, start: int = 0) -> Iterator[Found | int]:
    """All records of a segment from an offset on; ints are counts of bytes that are no record.

    read: gives so many bytes from an offset. Where a head is spoilt, the next one that is whole is looked
    for.
    """
    at, held, window = start, b"", start  # held: bytes from window on
    while at < size:
        if at + HEAD_SIZE > window + len(held):
            held, window = read(at, min(WINDOW, size - at)), at
        head, length = _head(held, at - window, salt)
        if head is None or at + length > size:
            skip = _next_magic(read, at + 1, size, salt)
            yield skip - at
            at = skip
            continue
        if at + length > window + len(held):
            held, window = read(at, min(max(WINDOW, length), size - at)), at
        frame = held[at - window + HEAD_SIZE : at - window + length]
        try:
            yield Found(at, length, head[1], _checked(head, frame, salt))
        except CorruptRecordError:
            yield Found(at, length, head[1], None)
        at += length


def _next_magic(read: Callable[[int, int], bytes], at: int, size: int, salt: int) -> int:
    """Where the next sound head is, or the end."""
    while at < size:
        held = read(at, min(WINDOW + HEAD_SIZE, size - at))
        if not held:
            return size
        found = held.find(MAGIC)
        while found >= 0:
            if _head(held, found, salt)[0] is not None:
                return at + found
            found = held.find(MAGIC, found + 1)
        if len(held) <= HEAD_SIZE:
            return size
        at += len(held) - HEAD_SIZE
    return size
