"""The index built anew at a start, from a checkpoint and from the records behind it. No I/O, no clock.

It is told what was found, in the order of the segments, and says what stands. It must never let a result
stand that lacks a page, or that was dropped.
"""

from __future__ import annotations

from array import array
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgpack
import xxhash
import zstandard

from marbleworks.spool.catalog import Result, place, where
from marbleworks.spool.record_codec import CorruptRecordError, Entry, Found, Kind, packed, unpacked

VERSION = 1
MOST_STATE = 1 << 30  # bytes of a checkpoint, unpacked
HEADER = b"mWc\x01"


@dataclass
class State:
    """What a checkpoint holds: the results that are whole, the pages of others, and up to where that is
    all."""

    segment: int  # of the place up to which nothing need be read again
    offset: int
    results: list[Result] = field(default_factory=list)
    loose: dict[int, list[tuple[int, int, int]]] = field(default_factory=dict)  # number: page, place, length

    def encode(self) -> bytes:
        rows = [(*_facts(r), r.places.tobytes(), r.lengths.tobytes()) for r in self.results]
        data = msgpack.packb((VERSION, self.segment, self.offset, rows, list(self.loose.items())))
        frame = zstandard.ZstdCompressor(level=1).compress(data)
        return HEADER + xxhash.xxh3_64_digest(frame) + frame

    @classmethod
    def decode(cls, data: bytes) -> State:
        """Raises Spoilt where the bytes are not a whole checkpoint of this version."""
        head = len(HEADER)
        frame = data[head + 8 :]
        if data[:head] != HEADER or data[head : head + 8] != xxhash.xxh3_64_digest(frame):
            raise CorruptRecordError("no whole checkpoint")
        try:
            plain = zstandard.ZstdDecompressor().decompress(frame, max_output_size=MOST_STATE)
            _, segment, offset, rows, loose = msgpack.unpackb(plain, strict_map_key=False)
            results = []
            for *facts, places, lengths in rows:
                result = Result(*facts)
                result.places.frombytes(places)
                result.lengths.frombytes(lengths)
                results.append(result)
            pages = {number: [tuple(spot) for spot in found] for number, found in loose}
        except (zstandard.ZstdError, ValueError, TypeError) as err:
            raise CorruptRecordError(str(err)) from None
        return cls(segment, offset, results, pages)


def end_of(result: Result) -> Entry:
    """The record that makes a result whole."""
    return packed(Kind.END, result.number, result.pages, msgpack.packb(_facts(result)[1:]))


def _facts(r: Result) -> tuple[object, ...]:
    return r.number, r.key, r.tenant, r.profile, r.made, r.rows, r.size, r.pages


class Rebuild:
    """Told `found` for each record behind the checkpoint; `stands` gives what is left of it all."""

    def __init__(self, state: State | None) -> None:
        self.ends: dict[int, Result] = {}
        self.pages: dict[int, dict[int, tuple[int, int]]] = {}  # number: page: place, length
        self.dropped: set[int] = set()
        for result in state.results if state else ():
            self.ends[result.number] = result
            spots = zip(result.places, result.lengths, strict=True)
            self.pages[result.number] = dict(enumerate(spots))
        for number, loose in (state.loose if state else {}).items():
            self.pages[number] = {page: (at, length) for page, at, length in loose}

    def found(self, segment: int, record: Found) -> None:
        entry, spot = record.entry, (place(segment, record.offset), record.length)
        if entry is None:
            return
        if entry.kind is Kind.DROP:
            self.dropped.add(entry.number)
            return
        if entry.kind is Kind.END:
            try:
                self.ends[entry.number] = Result(entry.number, *msgpack.unpackb(unpacked(entry)))
            except (CorruptRecordError, ValueError, TypeError):
                return
        self.pages.setdefault(entry.number, {})[entry.page] = (
            spot  # a later copy takes the place of an earlier
        )

    def stands(self, there: Mapping[int, int], now: float) -> tuple[list[Result], list[Result]]:
        """The whole results, and those that had been answered and lack something. there: sizes of segments. A
        file goes only when all that lay in it is over: what lacks nothing but pages in files that are not
        there has ended, though its drop was not yet on the disk.

        Nobody could read while no router ran: a result counts as read now if its time would else be over, so
        that its reader finds it, up to its longest time."""
        whole, lost = list[Result](), list[Result]()
        for number, result in self.ends.items():
            if number in self.dropped:
                continue
            spots = self.pages.get(number, {})
            lacking = [p for p in range(result.pages + 1) if p not in spots or not _within(there, *spots[p])]
            if lacking:
                if not all(p in spots and where(spots[p][0])[0] not in there for p in lacking):
                    lost.append(result)
                continue
            result.places, result.lengths, result.stored = array("Q"), array("I"), 0
            result.lies([spots[p] for p in range(result.pages + 1)])
            result.made, result.read = min(result.made, now), now
            whole.append(result)
        return whole, lost


def _within(there: Mapping[int, int], packed_place: int, length: int) -> bool:
    segment, offset = where(packed_place)
    return offset + length <= there.get(segment, 0)
