"""Encodes and decodes the records of a segment. No I/O.

A record is a header of 40 bytes and a payload. The header has a checksum of its own, so that a corrupt
payload does not hide the records after it. Both checksums are seeded with the segment's salt, which is in the
file's name: bytes of another segment, or bytes that a client had stored, are never taken for a record.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum

import xxhash
import zstandard

MAGIC = b"mW\x01"
# Magic bytes, kind, result number, page, raw size, payload size, payload checksum.
HEADER_STRUCT = struct.Struct("<3sBQIIIQ")
CHECKSUM_STRUCT = struct.Struct("<Q")
HEADER_SIZE = HEADER_STRUCT.size + CHECKSUM_STRUCT.size
MAX_PAYLOAD_BYTES = 1 << 20  # bound on a payload, compressed and raw
COMPRESSION_LEVEL = 1  # level 3 took 1.6 times as long for 4% less on rows of text
SCAN_WINDOW_BYTES = 1 << 18  # bytes that a scan reads at a time


class RecordKind(IntEnum):
    """What a record states."""

    PAGE = 1  # the payload is the rows of one page of a result
    END = 2  # the result is complete; the payload describes it
    DROP = 3  # the result was removed; `page` is the last segment that may hold records of it


class CorruptRecordError(Exception):
    """The bytes read are not those that were written."""


@dataclass(frozen=True, slots=True)
class Record:
    """A record, regardless of where it is stored.

    Attributes:
        kind: what it states.
        number: number of its result.
        page: page of the result, from 0; the number of pages for END; a segment for DROP.
        payload: the payload as stored, compressed.
        raw_size: bytes of the payload before compression.
    """

    kind: RecordKind
    number: int
    page: int
    payload: bytes
    raw_size: int

    def encode(self, salt: int) -> bytes:
        """Returns the record as bytes for the segment with this salt."""
        checksum = xxhash.xxh3_64_intdigest(self.payload, salt)
        fields = MAGIC, self.kind, self.number, self.page, self.raw_size, len(self.payload), checksum
        header = HEADER_STRUCT.pack(*fields)
        return header + CHECKSUM_STRUCT.pack(xxhash.xxh3_64_intdigest(header, salt)) + self.payload

    @property
    def stored_size(self) -> int:
        """Bytes that the record takes in a segment."""
        return HEADER_SIZE + len(self.payload)


def compress_record(kind: RecordKind, number: int, page: int, data: bytes) -> Record:
    """Returns a record whose payload is the compressed data."""
    payload = (
        zstandard.ZstdCompressor(level=COMPRESSION_LEVEL, write_checksum=True).compress(data) if data else b""
    )
    return Record(kind, number, page, payload, len(data))


def decompress_payload(record: Record) -> bytes:
    """Returns a record's data, using no more memory than the raw size in its header.

    Raises:
        CorruptRecordError: The payload can't be decompressed or has another size than the header states.
    """
    if not record.payload:
        return b""
    try:
        data = zstandard.ZstdDecompressor().decompress(record.payload, max_output_size=record.raw_size)
    except zstandard.ZstdError as err:
        raise CorruptRecordError(str(err)) from None
    if len(data) != record.raw_size:
        raise CorruptRecordError("decompressed payload has another size than the record's header states")
    return data


def decode_record(data: bytes, salt: int) -> Record:
    """Decodes bytes that are exactly one record.

    Raises:
        CorruptRecordError: They are not, or a checksum is wrong.
    """
    header, size = _parse_header(data, 0, salt)
    if header is None or len(data) != size:
        raise CorruptRecordError("the bytes are not one record with a valid header")
    return _verified_record(header, data[HEADER_SIZE:], salt)


def _parse_header(
    data: bytes, index: int, salt: int
) -> tuple[tuple[RecordKind, int, int, int, int] | None, int]:
    """Parses the header at an offset of the data.

    Returns:
        Kind, number, page, raw size and payload checksum, and the size of the whole record; None and 0 where
        there is no valid header.
    """
    if len(data) < index + HEADER_SIZE or data[index : index + len(MAGIC)] != MAGIC:
        return None, 0
    header = data[index : index + HEADER_STRUCT.size]
    (checksum,) = CHECKSUM_STRUCT.unpack_from(data, index + HEADER_STRUCT.size)
    if checksum != xxhash.xxh3_64_intdigest(header, salt):
        return None, 0
    _, kind, number, page, raw_size, payload_size, payload_checksum = HEADER_STRUCT.unpack(header)
    if (
        kind not in RecordKind._value2member_map_
        or payload_size > MAX_PAYLOAD_BYTES
        or raw_size > MAX_PAYLOAD_BYTES
    ):
        return None, 0
    return (RecordKind(kind), number, page, raw_size, payload_checksum), HEADER_SIZE + payload_size


def _verified_record(header: tuple[RecordKind, int, int, int, int], payload: bytes, salt: int) -> Record:
    kind, number, page, raw_size, checksum = header
    if checksum != xxhash.xxh3_64_intdigest(payload, salt):
        raise CorruptRecordError("wrong checksum of a record's payload")
    return Record(kind, number, page, payload, raw_size)


@dataclass(frozen=True, slots=True)
class ScannedRecord:
    """A record found by a scan.

    Attributes:
        offset: where it begins in its segment.
        length: bytes that it takes there.
        number: number of its result.
        record: the record; None where its payload is corrupt.
    """

    offset: int
    length: int
    number: int
    record: Record | None


def scan_records(
    read: Callable[[int, int], bytes], size: int, salt: int, start: int = 0
) -> Iterator[ScannedRecord | int]:
    """Yields all records of a segment from an offset on, and an int for each gap: its bytes are no record.

    After a corrupt header the scan goes on at the next valid one.

    Args:
        read: called with an offset and a count, returns that many bytes of the segment.
        size: bytes of the segment.
        salt: the segment's salt.
        start: offset of the first record.
    """
    offset, buffered, window_start = start, b"", start  # buffered: bytes from window_start on
    while offset < size:
        if offset + HEADER_SIZE > window_start + len(buffered):
            buffered, window_start = read(offset, min(SCAN_WINDOW_BYTES, size - offset)), offset
        header, length = _parse_header(buffered, offset - window_start, salt)
        if header is None or offset + length > size:
            next_offset = _find_next_header(read, offset + 1, size, salt)
            yield next_offset - offset
            offset = next_offset
            continue
        if offset + length > window_start + len(buffered):
            buffered, window_start = read(offset, min(max(SCAN_WINDOW_BYTES, length), size - offset)), offset
        payload = buffered[offset - window_start + HEADER_SIZE : offset - window_start + length]
        try:
            yield ScannedRecord(offset, length, header[1], _verified_record(header, payload, salt))
        except CorruptRecordError:
            yield ScannedRecord(offset, length, header[1], None)
        offset += length


def _find_next_header(read: Callable[[int, int], bytes], offset: int, size: int, salt: int) -> int:
    """Returns the offset of the next valid header, or the segment's size where there is none."""
    while offset < size:
        buffered = read(offset, min(SCAN_WINDOW_BYTES + HEADER_SIZE, size - offset))
        if not buffered:
            return size
        index = buffered.find(MAGIC)
        while index >= 0:
            if _parse_header(buffered, index, salt)[0] is not None:
                return offset + index
            index = buffered.find(MAGIC, index + 1)
        if len(buffered) <= HEADER_SIZE:
            return size
        offset += len(buffered) - HEADER_SIZE
    return size
