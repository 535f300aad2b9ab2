"""Segments on disk: records appended in order, made durable in groups, read by place, found again at a start.

It owns the folder's files. Calls that write come one at a time from one thread; `read` and `delete` may come
from any. It must never say that something is durable before its sync has returned, or give a byte whose check
does not hold.
"""

from __future__ import annotations

import contextlib
import errno
import re
import secrets
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from marbleworks.spool.catalog import Result, place, where
from marbleworks.spool.disk import Disk
from marbleworks.spool.record_codec import CorruptRecordError, Entry, Found, Kind, decode, scan, unpacked
from marbleworks.spool.recovery import Rebuild, State

LOCK, CHECKPOINT, FRESH = "lock", "checkpoint", "checkpoint.new"
NAME = re.compile(r"segment-(\d{8})-([0-9a-f]{16})\.log")
Spot = tuple[int, int]  # place and length


@dataclass
class Opened:
    """What a folder held. notes: what was wrong with it, each with its facts."""

    results: list[Result]
    lost: list[Result]
    segments: dict[int, int]  # sizes
    spoilt: set[int]
    notes: list[tuple[str, dict[str, object]]] = field(default_factory=list)


class SegmentStore:
    def __init__(self, disk: Disk, segment_size: float, room: float) -> None:
        self.disk, self.segment_size, self.room = disk, segment_size, room
        self.names: dict[int, str] = {}  # of each segment
        self.salts: dict[int, int] = {}
        self.sizes: dict[int, int] = {}
        self.fd: int | None = None  # of the segment that is written
        self.current = 0
        self.dirty = self.folder_dirty = False
        self.held: int | None = None
        self.generation = 0  # one more with each error, after which what was not yet synced does not count

    # The start and the end.

    def open(self, now: float, lock: bool = True) -> Opened:
        """Takes the folder and finds what it holds. Raises BlockingIOError where another router has it."""
        if lock:
            self.disk.prepare()
            self.held = self.disk.lock(LOCK)
        found = self.disk.names()
        for name, size in found.items():
            if match := NAME.fullmatch(name):
                number = int(match[1])
                self.names[number], self.salts[number], self.sizes[number] = name, int(match[2], 16), size
        notes: list[tuple[str, dict[str, object]]] = []
        state = self._state(notes) if CHECKPOINT in found else None
        self.current = max([*self.names, state.segment if state else 0])
        rebuild, spoilt = Rebuild(state), set[int]()
        for number in sorted(self.names):
            if state is None or number >= state.segment:
                start = state.offset if state is not None and number == state.segment else 0
                self._rebuild(rebuild, number, start, notes, spoilt)
        results, lost = rebuild.stands(self.sizes, now)
        for result in lost:
            notes.append(("spool result lost", {"profile": result.profile, "made": round(result.made, 3)}))
        return Opened(results, lost, dict(self.sizes), spoilt, notes)

    def _state(self, notes: list[tuple[str, dict[str, object]]]) -> State | None:
        try:
            size = self.disk.names()[CHECKPOINT]
            return State.decode(self.disk.read(CHECKPOINT, 0, size))
        except (OSError, CorruptRecordError) as err:
            notes.append(("spool checkpoint unusable", {"error": str(err)}))
            return None

    def _rebuild(
        self,
        rebuild: Rebuild,
        number: int,
        start: int,
        notes: list[tuple[str, dict[str, object]]],
        spoilt: set[int],
    ) -> None:
        gaps = bad = 0
        try:
            for found in self.records(number, start):
                if isinstance(found, int):
                    gaps += found
                elif found.entry is None:
                    bad += 1
                else:
                    rebuild.found(number, found)
        except OSError as err:
            spoilt.add(number)
            notes.append(("spool segment unreadable", {"segment": number, "error": str(err)}))
        if gaps or bad:
            notes.append(("spool segment torn", {"segment": number, "bytes": gaps, "records": bad}))

    def records(self, number: int, start: int = 0) -> Iterator[Found | int]:
        """What a segment holds from an offset on; see `record.scan`."""
        name = self.names[number]
        return scan(
            lambda at, count: self.disk.read(name, at, count), self.sizes[number], self.salts[number], start
        )

    def close(self) -> None:
        for fd in (self.fd, self.held):
            if fd is not None:
                with contextlib.suppress(OSError):
                    self.disk.close(fd)
        self.fd = self.held = None

    # Writing.

    def append(self, entries: list[Entry], sync: bool) -> list[Spot]:
        """Writes in this order; with sync, all that was ever appended is durable on return.

        Raises OSError; then nothing of the group counts, nor anything appended before and not yet synced."""
        spots = []
        try:
            for entry in entries:
                data = self._encoded(entry)
                spots.append((place(self.current, self.sizes[self.current]), len(data)))
                assert self.fd is not None
                self.dirty = True
                self.disk.write(self.fd, data)
                self.sizes[self.current] += len(data)
            if sync:
                self._sync()
        except OSError:
            self._abandon()
            raise
        return spots

    def _encoded(self, entry: Entry) -> bytes:
        """The record as the segment that it goes to has it; a full segment is closed before."""
        if entry.kind is Kind.PAGE and sum(list(self.sizes.values())) + entry.stored > self.room:
            raise OSError(errno.ENOSPC, "the folder's room is used up")
        if self.fd is None or self.sizes[self.current] + entry.stored > self.segment_size:
            if self.fd is not None:
                self._sync()
                fd, self.fd = self.fd, None
                self.disk.close(fd)
            salt, self.current = secrets.randbits(64), self.current + 1
            name = f"segment-{self.current:08d}-{salt:016x}.log"
            self.fd = self.disk.create(name)
            self.folder_dirty = True
            self.names[self.current], self.salts[self.current], self.sizes[self.current] = name, salt, 0
        return entry.encode(self.salts[self.current])

    def _sync(self) -> None:
        if self.dirty and self.fd is not None:
            self.disk.sync(self.fd)
            self.dirty = False
        if self.folder_dirty:
            self.disk.sync_folder()
            self.folder_dirty = False

    def _abandon(self) -> None:
        """After an error nothing more is written to a segment: what a failed sync left behind is not
        known."""
        self.generation, self.dirty = self.generation + 1, False
        if self.fd is not None:
            fd, self.fd = self.fd, None
            with contextlib.suppress(OSError):
                self.disk.close(fd)
            with contextlib.suppress(OSError):
                left = self.disk.names().get(self.names[self.current], 0)  # a part of a record, perhaps
                self.sizes[self.current] = max(left, self.sizes[self.current])

    @property
    def position(self) -> tuple[int, int]:
        """Segment and offset behind all that was appended."""
        return self.current, self.sizes.get(self.current, 0)

    def checkpoint(self, data: bytes, going: Sequence[int] = ()) -> None:
        """Takes the place of the last one, whole or not at all. All that was appended is durable before.
        going: segments that it does not name any more, which are deleted once it is there."""
        try:
            self._sync()
        except OSError:
            self._abandon()
            raise
        self.disk.unlink(FRESH)
        fd = self.disk.create(FRESH)
        try:
            self.disk.write(fd, data)
            self.disk.sync(fd)
        finally:
            self.disk.close(fd)
        self.disk.rename(FRESH, CHECKPOINT)
        self.disk.sync_folder()
        self.delete(*going)

    def delete(self, *numbers: int) -> None:
        """Of closed segments. May come from any thread."""
        for number in numbers:
            self.disk.unlink(self.names[number])
            for table in (self.names, self.salts, self.sizes):
                table.pop(number, None)

    # Reading, from any thread.

    def read(self, spot: Spot, number: int, page: int) -> bytes:
        """The rows of a page, just as they were written. Raises OSError or Spoilt.

        KeyError, FileNotFoundError: the segment has been emptied, and the index names another place by
        now."""
        segment, offset = where(spot[0])
        entry = decode(self.disk.read(self.names[segment], offset, spot[1]), self.salts[segment])
        if (entry.number, entry.page) != (number, page):
            raise CorruptRecordError("another record stands there")
        return unpacked(entry)
