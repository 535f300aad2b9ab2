"""Rebuilds the index at a start, from a checkpoint and the records written after it. No I/O, no clock.

It is given the records in the order of the segments. It must never recover a result that lacks a page or that
was dropped.
"""

from __future__ import annotations

from array import array
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgpack
import xxhash
import zstandard

from marbleworks.spool.catalog import Result, pack_location, unpack_location
from marbleworks.spool.record_codec import (
    CorruptRecordError,
    Record,
    RecordKind,
    ScannedRecord,
    compress_record,
    decompress_payload,
)

CHECKPOINT_VERSION = 1
MAX_CHECKPOINT_BYTES = 1 << 30  # bound on a decompressed checkpoint
CHECKPOINT_MAGIC = b"mWc\x01"


@dataclass
class Checkpoint:
    """The contents of a checkpoint: the index up to a position in the segments.

    Attributes:
        segment: segment of the position; what comes before the position need not be read again.
        offset: offset of the position in that segment.
        results: the committed results.
        uncommitted_pages: pages of results that are not committed yet, by result number: page, location and
            length.
    """

    segment: int
    offset: int
    results: list[Result] = field(default_factory=list)
    uncommitted_pages: dict[int, list[tuple[int, int, int]]] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Returns the checkpoint's bytes."""
        rows = [(*_result_fields(r), r.locations.tobytes(), r.lengths.tobytes()) for r in self.results]
        data = msgpack.packb(
            (CHECKPOINT_VERSION, self.segment, self.offset, rows, list(self.uncommitted_pages.items()))
        )
        frame = zstandard.ZstdCompressor(level=1).compress(data)
        return CHECKPOINT_MAGIC + xxhash.xxh3_64_digest(frame) + frame

    @classmethod
    def decode(cls, data: bytes) -> Checkpoint:
        """Decodes a checkpoint.

        Raises:
            CorruptRecordError: The bytes are not a complete checkpoint of this version.
        """
        magic_size = len(CHECKPOINT_MAGIC)
        frame = data[magic_size + 8 :]
        if data[:magic_size] != CHECKPOINT_MAGIC or data[
            magic_size : magic_size + 8
        ] != xxhash.xxh3_64_digest(frame):
            raise CorruptRecordError("wrong magic bytes or checksum of the checkpoint")
        try:
            plain = zstandard.ZstdDecompressor().decompress(frame, max_output_size=MAX_CHECKPOINT_BYTES)
            _, segment, offset, rows, loose = msgpack.unpackb(plain, strict_map_key=False)
            results = []
            for *fields, places, lengths in rows:
                result = Result(*fields)
                result.locations.frombytes(places)
                result.lengths.frombytes(lengths)
                results.append(result)
            pages = {number: [tuple(entry) for entry in entries] for number, entries in loose}
        except (zstandard.ZstdError, ValueError, TypeError) as err:
            raise CorruptRecordError(str(err)) from None
        return cls(segment, offset, results, pages)


def end_record(result: Result) -> Record:
    """Returns the END record that commits a result."""
    return compress_record(
        RecordKind.END, result.result_id, result.page_count, msgpack.packb(_result_fields(result)[1:])
    )


def _result_fields(r: Result) -> tuple[object, ...]:
    return r.result_id, r.key, r.tenant, r.profile, r.committed_at, r.row_count, r.raw_bytes, r.page_count


class IndexRebuild:
    """Collects the checkpoint and the records after it, then decides which results are recovered.

    Attributes:
        committed: the results with an END record, by number.
        record_spans: location and length of each record, by result number and page.
        dropped: numbers of the results with a DROP record.
    """

    def __init__(self, state: Checkpoint | None) -> None:
        self.committed: dict[int, Result] = {}
        self.record_spans: dict[int, dict[int, tuple[int, int]]] = {}
        self.dropped: set[int] = set()
        for result in state.results if state else ():
            self.committed[result.result_id] = result
            spans = zip(result.locations, result.lengths, strict=True)
            self.record_spans[result.result_id] = dict(enumerate(spans))
        for number, loose in (state.uncommitted_pages if state else {}).items():
            self.record_spans[number] = {page: (location, length) for page, location, length in loose}

    def add_record(self, segment: int, scanned: ScannedRecord) -> None:
        """Takes a record after the checkpoint; one with a corrupt payload is ignored."""
        record, span = scanned.record, (pack_location(segment, scanned.offset), scanned.length)
        if record is None:
            return
        if record.kind is RecordKind.DROP:
            self.dropped.add(record.number)
            return
        if record.kind is RecordKind.END:
            try:
                self.committed[record.number] = Result(
                    record.number, *msgpack.unpackb(decompress_payload(record))
                )
            except (CorruptRecordError, ValueError, TypeError):
                return
        # A later copy of a record replaces an earlier one.
        self.record_spans.setdefault(record.number, {})[record.page] = span

    def recover(self, segment_sizes: Mapping[int, int], now: float) -> tuple[list[Result], list[Result]]:
        """Returns the results that are complete, and those that were committed but are lost.

        A segment file is deleted only once everything in it has expired or been dropped. A result that lacks
        only records in missing files has therefore ended, even if its DROP record was not yet on disk: it is
        neither complete nor lost.

        Nobody could read while no router ran, so a recovered result counts as read now: a reader still finds
        it, unless its maximum age is reached.

        Args:
            segment_sizes: bytes of each segment file, by number.
            now: the present time, in Unix seconds.
        """
        complete, lost = list[Result](), list[Result]()
        for number, result in self.committed.items():
            if number in self.dropped:
                continue
            spans = self.record_spans.get(number, {})
            missing = [
                p
                for p in range(result.page_count + 1)
                if p not in spans or not _is_present(segment_sizes, *spans[p])
            ]
            if missing:
                if not all(
                    p in spans and unpack_location(spans[p][0])[0] not in segment_sizes for p in missing
                ):
                    lost.append(result)
                continue
            result.locations, result.lengths, result.stored_bytes = array("Q"), array("I"), 0
            result.append_spans([spans[p] for p in range(result.page_count + 1)])
            result.committed_at, result.last_read_at = min(result.committed_at, now), now
            complete.append(result)
        return complete, lost


def _is_present(segment_sizes: Mapping[int, int], location: int, length: int) -> bool:
    segment, offset = unpack_location(location)
    return offset + length <= segment_sizes.get(segment, 0)
