"""Segment files: records are appended in order, synced in groups, read by location and scanned at a start.

It owns the folder's files. Calls that write must come one at a time from one thread; `read` and `delete` may
come from any thread. It must never report something as durable before its sync has returned, or return a byte
whose checksum is wrong.
"""

from __future__ import annotations

import contextlib
import errno
import re
import secrets
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from marbleworks.spool.catalog import Result, pack_location, unpack_location
from marbleworks.spool.disk import Disk
from marbleworks.spool.record_codec import (
    CorruptRecordError,
    Record,
    RecordKind,
    ScannedRecord,
    decode_record,
    decompress_payload,
    scan_records,
)
from marbleworks.spool.recovery import Checkpoint, IndexRebuild

LOCK_FILE, CHECKPOINT_FILE, NEW_CHECKPOINT_FILE = "lock", "checkpoint", "checkpoint.new"
SEGMENT_FILE_NAME = re.compile(r"segment-(\d{8})-([0-9a-f]{16})\.log")  # number and salt
RecordSpan = tuple[int, int]  # packed location and length in bytes


@dataclass
class OpenedFolder:
    """What a folder held when it was opened.

    Attributes:
        results: the results that were recovered.
        lost: results that had been committed and lack records.
        segments: size in bytes of each segment, by number.
        unreadable: numbers of the segments in which a read failed.
        faults: faults found, each as a log event with its details.
    """

    results: list[Result]
    lost: list[Result]
    segments: dict[int, int]
    unreadable: set[int]
    faults: list[tuple[str, dict[str, object]]] = field(default_factory=list)


class SegmentStore:
    """The segments of one folder.

    Attributes:
        disk: the file system calls.
        segment_size: bytes at which a segment is closed.
        room: bytes that the folder may hold.
        file_names: file name of each segment, by number.
        salts: salt of each segment, by number.
        sizes: bytes of each segment, by number.
        write_fd: descriptor of the segment that is written; None if there is none.
        current: number of the segment that is, or was last, written.
        dirty: whether the written segment has records that are not synced.
        folder_dirty: whether a segment file was created since the folder was last synced.
        lock_fd: descriptor of the lock file; None if the folder is not locked.
        write_epoch: number of write errors so far. What was not synced before an error may be lost, so a
            result that was begun in an earlier epoch must not be committed.
    """

    def __init__(self, disk: Disk, segment_size: float, room: float) -> None:
        self.disk, self.segment_size, self.room = disk, segment_size, room
        self.file_names: dict[int, str] = {}
        self.salts: dict[int, int] = {}
        self.sizes: dict[int, int] = {}
        self.write_fd: int | None = None
        self.current = 0
        self.dirty = self.folder_dirty = False
        self.lock_fd: int | None = None
        self.write_epoch = 0

    # Opening and closing.

    def open(self, now: float, lock: bool = True) -> OpenedFolder:
        """Locks the folder and recovers what it holds.

        Args:
            now: the present time, in Unix seconds.
            lock: False to read the folder without locking or creating it.

        Raises:
            BlockingIOError: Another router has locked the folder.
            OSError: The folder can't be used.
        """
        if lock:
            self.disk.prepare()
            self.lock_fd = self.disk.lock(LOCK_FILE)
        files = self.disk.list_files()
        for name, size in files.items():
            if match := SEGMENT_FILE_NAME.fullmatch(name):
                number = int(match[1])
                self.file_names[number], self.salts[number], self.sizes[number] = (
                    name,
                    int(match[2], 16),
                    size,
                )
        notes: list[tuple[str, dict[str, object]]] = []
        state = self._read_checkpoint(notes) if CHECKPOINT_FILE in files else None
        self.current = max([*self.file_names, state.segment if state else 0])
        rebuild, unreadable = IndexRebuild(state), set[int]()
        for number in sorted(self.file_names):
            if state is None or number >= state.segment:
                start = state.offset if state is not None and number == state.segment else 0
                self._recover_segment(rebuild, number, start, notes, unreadable)
        results, lost = rebuild.recover(self.sizes, now)
        for result in lost:
            notes.append(
                ("spool result lost", {"profile": result.profile, "made": round(result.committed_at, 3)})
            )
        return OpenedFolder(results, lost, dict(self.sizes), unreadable, notes)

    def _read_checkpoint(self, notes: list[tuple[str, dict[str, object]]]) -> Checkpoint | None:
        try:
            size = self.disk.list_files()[CHECKPOINT_FILE]
            return Checkpoint.decode(self.disk.read(CHECKPOINT_FILE, 0, size))
        except (OSError, CorruptRecordError) as err:
            notes.append(("spool checkpoint unusable", {"error": str(err)}))
            return None

    def _recover_segment(
        self,
        rebuild: IndexRebuild,
        number: int,
        start: int,
        notes: list[tuple[str, dict[str, object]]],
        unreadable: set[int],
    ) -> None:
        """Adds a segment's records from an offset on to the rebuild, and its faults to the notes."""
        gap_bytes = corrupt_records = 0
        try:
            for scanned in self.scan_segment(number, start):
                if isinstance(scanned, int):
                    gap_bytes += scanned
                elif scanned.record is None:
                    corrupt_records += 1
                else:
                    rebuild.add_record(number, scanned)
        except OSError as err:
            unreadable.add(number)
            notes.append(("spool segment unreadable", {"segment": number, "error": str(err)}))
        if gap_bytes or corrupt_records:
            notes.append(
                ("spool segment torn", {"segment": number, "bytes": gap_bytes, "records": corrupt_records})
            )

    def scan_segment(self, number: int, start: int = 0) -> Iterator[ScannedRecord | int]:
        """Scans a segment from an offset on, as `record_codec.scan_records` does."""
        name = self.file_names[number]
        return scan_records(
            lambda offset, count: self.disk.read(name, offset, count),
            self.sizes[number],
            self.salts[number],
            start,
        )

    def close(self) -> None:
        """Closes the files and unlocks the folder; syncs nothing."""
        for fd in (self.write_fd, self.lock_fd):
            if fd is not None:
                with contextlib.suppress(OSError):
                    self.disk.close(fd)
        self.write_fd = self.lock_fd = None

    # Writing.

    def append(self, records: list[Record], sync: bool) -> list[RecordSpan]:
        """Appends records in order.

        Args:
            records: what to write.
            sync: whether everything appended so far is durable on return.

        Returns:
            The span of each record.

        Raises:
            OSError: Nothing of this group counts as written, nor anything that was appended before and not
                yet synced.
        """
        spans = []
        try:
            for record in records:
                data = self._roll_and_encode(record)
                spans.append((pack_location(self.current, self.sizes[self.current]), len(data)))
                assert self.write_fd is not None
                self.dirty = True
                self.disk.write(self.write_fd, data)
                self.sizes[self.current] += len(data)
            if sync:
                self._sync()
        except OSError:
            self._abandon_segment()
            raise
        return spans

    def _roll_and_encode(self, record: Record) -> bytes:
        """Begins a new segment if the current one is full, and encodes the record for the current one."""
        if record.kind is RecordKind.PAGE and sum(list(self.sizes.values())) + record.stored_size > self.room:
            raise OSError(errno.ENOSPC, "the spool folder has used up its setting `room`")
        if self.write_fd is None or self.sizes[self.current] + record.stored_size > self.segment_size:
            if self.write_fd is not None:
                self._sync()
                fd, self.write_fd = self.write_fd, None
                self.disk.close(fd)
            salt, self.current = secrets.randbits(64), self.current + 1
            name = f"segment-{self.current:08d}-{salt:016x}.log"
            self.write_fd = self.disk.create(name)
            self.folder_dirty = True
            self.file_names[self.current], self.salts[self.current], self.sizes[self.current] = name, salt, 0
        return record.encode(self.salts[self.current])

    def _sync(self) -> None:
        if self.dirty and self.write_fd is not None:
            self.disk.sync(self.write_fd)
            self.dirty = False
        if self.folder_dirty:
            self.disk.sync_folder()
            self.folder_dirty = False

    def _abandon_segment(self) -> None:
        """Closes the current segment after an error: it is unknown what a failed sync left in it."""
        self.write_epoch, self.dirty = self.write_epoch + 1, False
        if self.write_fd is not None:
            fd, self.write_fd = self.write_fd, None
            with contextlib.suppress(OSError):
                self.disk.close(fd)
            with contextlib.suppress(OSError):
                # The file may end with a part of a record.
                file_size = self.disk.list_files().get(self.file_names[self.current], 0)
                self.sizes[self.current] = max(file_size, self.sizes[self.current])

    @property
    def position(self) -> tuple[int, int]:
        """Segment and offset of the end of everything appended."""
        return self.current, self.sizes.get(self.current, 0)

    def write_checkpoint(self, data: bytes, obsolete: Sequence[int] = ()) -> None:
        """Replaces the checkpoint atomically, after everything appended has been made durable.

        Args:
            data: the encoded checkpoint.
            obsolete: segments that the checkpoint no longer refers to, which are deleted once it is durable.

        Raises:
            OSError: The checkpoint may not have been replaced, or not every obsolete segment deleted.
        """
        try:
            self._sync()
        except OSError:
            self._abandon_segment()
            raise
        self.disk.unlink(NEW_CHECKPOINT_FILE)
        fd = self.disk.create(NEW_CHECKPOINT_FILE)
        try:
            self.disk.write(fd, data)
            self.disk.sync(fd)
        finally:
            self.disk.close(fd)
        self.disk.rename(NEW_CHECKPOINT_FILE, CHECKPOINT_FILE)
        self.disk.sync_folder()
        self.delete(*obsolete)

    def delete(self, *numbers: int) -> None:
        """Deletes closed segments. May be called from any thread."""
        for number in numbers:
            self.disk.unlink(self.file_names[number])
            for table in (self.file_names, self.salts, self.sizes):
                table.pop(number, None)

    # Reading, from any thread.

    def read(self, span: RecordSpan, number: int, page: int) -> bytes:
        """Returns the rows of a page exactly as they were written.

        Args:
            span: location and length of the page's record.
            number: number of the result.
            page: page of the result, from 0.

        Raises:
            OSError: The file can't be read.
            CorruptRecordError: The record is not the one that was written.
            KeyError: The segment has been compacted, and the index refers to another location by now;
                FileNotFoundError means the same.
        """
        segment, offset = unpack_location(span[0])
        record = decode_record(self.disk.read(self.file_names[segment], offset, span[1]), self.salts[segment])
        if (record.number, record.page) != (number, page):
            raise CorruptRecordError("the location holds a record of another result or page")
        return decompress_payload(record)
