"""The spool service: stores results page by page, serves pages by token, and runs background tasks.

It owns the catalog, the space allocator and the one greenlet that writes. It must never answer a request or
choose what is shed (the scheduler does), hold more of a result than a few pages in memory, or block gevent's
hub on a file.
"""

from __future__ import annotations

import secrets
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import gevent
import xxhash
from gevent.event import AsyncResult, Event
from gevent.lock import BoundedSemaphore

from marbleworks.background.task_runner import AwaitedResult, OffloadedCall, TaskRunner, TaskSteps
from marbleworks.background.threads import WorkerThreads
from marbleworks.net.actor import LOG, clock, spawn
from marbleworks.ports import PageUnavailable, ResultNotStoredError, StoredPage, StoredResult
from marbleworks.spool.catalog import USABLE_SHARE, Catalog, Lifetimes, Result, digest, pack_location
from marbleworks.spool.disk import Disk
from marbleworks.spool.record_codec import (
    HEADER_SIZE,
    CorruptRecordError,
    Record,
    RecordKind,
    ScannedRecord,
    compress_record,
)
from marbleworks.spool.recovery import Checkpoint, end_record
from marbleworks.spool.segment_store import RecordSpan, SegmentStore
from marbleworks.spool.space_allocator import Reservation, SpaceAllocator

MAX_PENDING_PAGES = 2  # maximum number of pages of one result that are being written
GROUP_COMMIT_BYTES = 1 << 20  # approximate size of a group that is written and synced together
READER_THREADS = 2
PAGE_SLOT_TIMEOUT_S = 1.0  # longest wait of a call for a page for memory to hold it
SCAN_BATCH_RECORDS = 32  # records that a background task handles in one step
MAX_COMPACTED_SEGMENTS = 16  # maximum in one run of the compaction task
COPY_SHARE = 0.1  # share of the folder's room that is reserved for the copies of a compaction
TIGHT_SHARE = 0.5  # used share of the folder's room from which on dead files are deleted at once
MAX_EXPIRY_INTERVAL_S = 0.25  # longest interval between two runs of the expiry task
ANSWER_MARGIN_S = 0.02  # subtracted from a deadline, to leave time for sending the answer
WriteJob = tuple[
    "AsyncResult[list[RecordSpan]]",
    Callable[[], list[Record]],
    bool,
    int | None,
    Callable[[list[RecordSpan]], None],
]


COMPLETED: AsyncResult[None] = AsyncResult()
COMPLETED.set(None)


class FolderLockedError(Exception):
    """Another router has locked the folder."""


class SpoolService:
    """Stores results in a folder and serves their pages; implements `ports.ResultStore`.

    Attributes:
        settings: values of the section `spool`, by setting name.
        task_runner: runs the background tasks.
        store: the segment files.
        catalog: the index of stored results.
        allocator: the room that results take and may take.
        page_timeout_s: seconds that a client may take to read a page.
        page_slots: one for each page that may be in memory on its way to a client.
        writer_thread: the thread that writes.
        reader_threads: the threads that read pages.
        write_queue: write jobs that the writer greenlet has not taken yet.
        work_available: set when there is a write job, or when the writer greenlet has to stop.
        open_writers: writers of results that are not committed yet, by result number.
        position: segment and offset of the end of what the catalog has taken over.
        stopped: whether the service has been closed.
        obsolete_segments: segments to delete with the next checkpoint.
        compacting: the segment that is being compacted, and those that hold copies from it.
        deleting: segments whose files are being deleted.
        room_freed: set when a deletion has ended.
        dead_since: when each segment was first seen without live records, while room is tight.
        checkpoint_count: checkpoints begun so far.
        scrub_position: segment and offset up to which records have been scrubbed.
        writer_greenlet: takes write jobs and has them written.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        max_retry_after_s: float,
        task_runner: TaskRunner,
        disk: Disk | None = None,
        make_threads: Callable[[int], Any] = WorkerThreads,
    ) -> None:
        """Opens the folder and starts the writer and the background tasks.

        Args:
            settings: values of the section `spool`, by setting name.
            max_retry_after_s: longest Retry-After that may be given, in seconds; 0 if none may be.
            task_runner: runs the background tasks.
            disk: file system calls; those of the folder in the settings by default.
            make_threads: returns a pool of so many threads.

        Raises:
            FolderLockedError: Another router has locked the folder and did not unlock it in time.
            OSError: The folder can't be used.
        """
        self.settings, self.task_runner = settings, task_runner
        self.store = SegmentStore(disk or Disk(settings["folder"]), _segment_size(settings), settings["room"])
        self.catalog = Catalog(_lifetimes(settings))
        self.allocator = SpaceAllocator(
            *_allocator_limits(settings),
            max_retry_after_s=max_retry_after_s,
            upcoming_expiries=self.catalog.upcoming_expiries,
            max_results=settings["most"],
            writable_bytes=self._writable_bytes,
            upcoming_deletions=self.catalog.upcoming_deletions,
        )
        self.page_timeout_s = settings["page"] / settings["least-pace"] + PAGE_SLOT_TIMEOUT_S
        self.page_slots = BoundedSemaphore(max(int(settings["in-hand"] // settings["page"]), 1))
        self.writer_thread, self.reader_threads = make_threads(1), make_threads(READER_THREADS)
        self.write_queue, self.work_available = deque[WriteJob](), Event()
        self.open_writers: dict[int, SpoolResultWriter] = {}
        self.position, self.stopped = (0, 0), False
        self.obsolete_segments: list[int] = []
        self.compacting = set[int]()
        self.deleting, self.room_freed = set[int](), Event()
        self.dead_since: dict[int, float] = {}
        self.checkpoint_count = 0
        self.scrub_position = (0, 0)
        self._open(settings["hand-over"])
        self.writer_greenlet = spawn(self._write_loop)
        task_runner.add_periodic_task(
            "expiry", 0, self._next_expiry_delay, self._expiry_task, 0.0, dedicated=True
        )
        task_runner.add_periodic_task(
            "checkpoint", 1, lambda: self.settings["checkpoint"], self._checkpoint_task, 10.0
        )
        task_runner.add_periodic_task("compaction", 2, lambda: 0.5, self._compaction_task, 60.0)
        task_runner.add_periodic_task("scrub", 3, lambda: 1.0, self._scrub_task, 3600.0)

    def _open(self, timeout_s: float) -> None:
        """Opens the folder, waiting for the previous router to unlock it.

        Raises:
            FolderLockedError: It was still locked after the timeout.
            OSError: The folder can't be used.
        """
        started_at = clock()
        while True:
            try:
                found = self.writer_thread.call(self.store.open, clock())
                break
            except BlockingIOError:
                if clock() >= started_at + timeout_s:
                    raise FolderLockedError(
                        f"{self.settings['folder']}: another router uses this folder"
                    ) from None
                gevent.sleep(0.05)
        for event, details in found.faults:
            LOG.warning(event, **details)
        self.catalog.update_segment_sizes(found.segments)
        for number, segment in self.catalog.segments.items():
            segment.closed, segment.drops, segment.unreadable = True, None, number in found.unreadable
        for result in found.results:
            self.catalog.add(result)
            self.allocator.adjust_held(result.tenant, result.stored_bytes)
        self.position = self.store.position
        LOG.info(
            "spool open",
            results=len(found.results),
            lost=len(found.lost),
            bytes=self.catalog.used_bytes,
            after=round(clock() - started_at, 3),
        )

    def _writable_bytes(self) -> float:
        return float((1.0 - COPY_SHARE) * self.settings["room"] - self.catalog.used_bytes)

    # Storing results.

    def reserve(self, tenant: str, class_name: str, statement: bytes) -> SpoolReservation:
        """Reserves room for the result of a statement, as far as there is any."""
        self._remove_expired()
        space = self.allocator.reserve(tenant, class_name, xxhash.xxh3_64_intdigest(statement), clock())
        if isinstance(space, Reservation):
            return SpoolReservation(self, tenant, class_name, space)
        return SpoolReservation(self, tenant, class_name, retry_after_s=space)

    def on_disk_failure(self, err: Exception) -> None:
        """Stops taking results for a while after a write, sync or deletion failed."""
        backoff_s = self.allocator.on_disk_failure(clock())
        LOG.error("spool write failed", error=str(err), rests=round(backoff_s, 1))

    # Reading results.

    def read_page(self, token: str, tenant: str, number: int) -> StoredPage | PageUnavailable:
        """Returns a page (numbered from 1), or the reason why there is none.

        May block. A page that is returned takes a slot until `page_delivered`.
        """
        if not self.page_slots.acquire(timeout=PAGE_SLOT_TIMEOUT_S):
            return PageUnavailable.BUSY
        stored_page = self._read_page(token, tenant, number)
        if isinstance(stored_page, PageUnavailable):
            self.page_slots.release()
        return stored_page

    def page_delivered(self) -> None:
        """Frees the slot of a page that `read_page` returned."""
        self.page_slots.release()

    def _read_page(self, token: str, tenant: str, number: int) -> StoredPage | PageUnavailable:
        result = self.catalog.find(token, tenant, clock())
        if result is None:
            return PageUnavailable.UNKNOWN_RESULT
        if not 1 <= number <= result.page_count:
            return PageUnavailable.UNKNOWN_PAGE
        for is_last_try in (False, True):
            span = result.locations[number - 1], result.lengths[number - 1]
            try:
                rows = self.reader_threads.call(self.store.read, span, result.result_id, number - 1)
                break
            except (OSError, CorruptRecordError, KeyError) as err:
                if self.catalog.by_number.get(result.result_id) is not result:
                    return PageUnavailable.UNKNOWN_RESULT  # the result was removed during the read
                if is_last_try or span[0] == result.locations[number - 1]:
                    self._remove_lost(result, err)
                    return PageUnavailable.LOST
        now = clock()
        if self.catalog.by_number.get(result.result_id) is not result:
            return PageUnavailable.UNKNOWN_RESULT
        self.catalog.touch(result, now)
        fields = {
            "page": str(number),
            "pages": str(result.page_count),
            "until": _unix_ms(self.catalog.expires_at(result)),
        }
        return StoredPage(rows, fields)

    def release(self, token: str, tenant: str) -> bool:
        """Removes a result; False where the tenant has none under this token."""
        result = self.catalog.find(token, tenant, clock())
        if result is None:
            return False
        self._remove([result])
        return True

    def _remove_lost(self, result: Result, err: Exception) -> None:
        LOG.error(
            "spool result lost", profile=result.profile, made=round(result.committed_at, 3), error=repr(err)
        )
        self._remove([result])

    def _remove(self, results: list[Result]) -> None:
        """Removes results at once, and has DROP records written so that a restart does not recover them."""
        for result in results:
            if result.result_id in self.catalog.by_number:
                self.catalog.remove(result)
                self.allocator.adjust_held(result.tenant, -result.stored_bytes)
        if results and not self.stopped:
            # Copies that a compaction is making may still be written to the segment after the current one.
            drops = [
                (r.result_id, self.store.current + 1 if r.segments & self.compacting else max(r.segments))
                for r in results
            ]
            records = [Record(RecordKind.DROP, number, last, b"", 0) for number, last in drops]
            self.submit(partial(list, records), False, None, partial(self._note_drops, drops))
            if self.catalog.used_bytes > TIGHT_SHARE * self.settings["room"]:
                self.task_runner.run_now("expiry")
                self.task_runner.run_now("compaction")

    def _note_drops(self, drops: list[tuple[int, int]], spans: list[RecordSpan]) -> None:
        """Notes which DROP records each segment holds.

        Args:
            drops: result number and last segment of each record.
            spans: where the same records were written.
        """
        for drop, (location, _) in zip(drops, spans, strict=True):
            segment_drops = self.catalog.segments[location >> 32].drops
            if segment_drops is not None:
                segment_drops.append(drop)

    def _remove_expired(self) -> None:
        self._remove(self.catalog.pop_expired(clock()))

    # Writing.

    def submit(
        self,
        make_records: Callable[[], list[Record]],
        sync: bool,
        write_epoch: int | None = None,
        on_written: Callable[[list[RecordSpan]], None] = lambda spans: None,
    ) -> AsyncResult[list[RecordSpan]]:
        """Queues records to be written after all that were submitted before.

        Args:
            make_records: returns the records; called on the writing thread.
            sync: whether the result is set only once the records are durable.
            write_epoch: the store's epoch that the write depends on; it fails if an error has begun another.
            on_written: called with the records' spans before anything else is written or a checkpoint made.

        Returns:
            Set to the spans of the records, or failed with the error.
        """
        done: AsyncResult[list[RecordSpan]] = AsyncResult()
        self.write_queue.append((done, make_records, sync, write_epoch, on_written))
        self.work_available.set()
        return done

    def _write_loop(self) -> None:
        """Runs in the writer greenlet: writes what is queued in groups, until the service is closed."""
        while not self.stopped or self.write_queue:
            if not self.write_queue:
                self.work_available.clear()
                self.work_available.wait()
                continue
            jobs = [
                self.write_queue.popleft()
                for _ in range(min(len(self.write_queue), GROUP_COMMIT_BYTES // int(self.settings["page"])))
            ]
            try:
                outcomes = self.writer_thread.call(self._append_group, jobs)
            except Exception as err:
                if isinstance(err, OSError):
                    self.on_disk_failure(err)
                outcomes = [err] * len(jobs)
            else:
                self.allocator.on_disk_success(clock())
            self.catalog.update_segment_sizes(self.store.sizes)
            self.position = self.store.position
            for (done, _, _, _, on_written), outcome in zip(jobs, outcomes, strict=True):
                if isinstance(outcome, Exception):
                    done.set_exception(outcome)
                else:
                    on_written(outcome)
                    done.set(outcome)

    def _run_on_writing_thread(self, work: Callable[..., None], *args: Any) -> AsyncResult[None]:
        """Calls `work` on the writing thread, between two groups of records."""
        done: AsyncResult[None] = AsyncResult()

        def run() -> None:
            try:
                done.set(self.writer_thread.call(work, *args))
            except Exception as err:
                done.set_exception(err)

        spawn(run)
        return done

    def _append_group(self, jobs: list[WriteJob]) -> list[list[RecordSpan] | Exception]:
        """Writes a group on the writing thread, with one sync if any of the jobs asks for it.

        Returns:
            The spans of each job's records, or an error for a job that depends on an earlier write epoch.
        """
        outcomes: list[list[RecordSpan] | Exception] = []
        groups: list[list[Record]] = []
        for _, make_records, _, write_epoch, _ in jobs:
            is_stale = write_epoch is not None and write_epoch != self.store.write_epoch
            groups.append([] if is_stale else make_records())
            outcomes.append(
                OSError("an earlier write failed, and records that this one depends on may be lost")
                if is_stale
                else []
            )
        spans = self.store.append(
            [record for group in groups for record in group], any(job[2] for job in jobs)
        )
        start = 0
        for i, group in enumerate(groups):
            if not isinstance(outcomes[i], Exception):
                outcomes[i] = spans[start : start + len(group)]
            start += len(group)
        return outcomes

    # Background tasks.

    def checkpoint_state(self) -> Checkpoint:
        """Returns the contents of a checkpoint made now."""
        uncommitted_pages = {
            number: writer.page_spans() for number, writer in self.open_writers.items() if writer.spans
        }
        return Checkpoint(*self.position, list(self.catalog.results.values()), uncommitted_pages)

    def _expiry_task(self) -> TaskSteps:
        """Removes expired results and, while room is tight, deletes at once the files without live records.

        Retry promises rely on that room, so this task waits neither for other tasks nor for a sync. A
        checkpoint may then refer to files that are missing; every result in them had ended.
        """
        self._remove_expired()
        dead, now = self.catalog.deletable_segments(self._pinned_segments()), clock()
        if not dead or self.catalog.used_bytes <= TIGHT_SHARE * self.settings["room"]:
            self.dead_since.clear()
            return
        self.dead_since = {number: self.dead_since.get(number, now) for number in dead}
        self.deleting.update(dead)
        try:
            yield OffloadedCall(partial(self.store.delete, *dead))
        except OSError as err:
            self.on_disk_failure(err)
        self._finish_deletion(dead)

    def _finish_deletion(self, numbers: list[int]) -> None:
        """Forgets segments whose deletion was tried; those that still exist go with the next checkpoint."""
        self.deleting.difference_update(numbers)
        for number in numbers:
            if number in self.store.file_names:
                self.obsolete_segments.append(number)
                continue
            self.catalog.segments.pop(number, None)
            if number in self.dead_since:
                self.allocator.record_deletion(clock() - self.dead_since.pop(number))
        self.room_freed.set()

    def _next_expiry_delay(self) -> float:
        return max(min(self.catalog.next_expiry() - clock(), MAX_EXPIRY_INTERVAL_S), 0.001)

    def wait_for_room(self, count: int, deadline: float) -> None:
        """Waits until files that are being deleted have made room for so many bytes.

        A request with a retry promise is admitted while such files are still there, and its pages wait here.
        Returns at the deadline, too, or when nothing is being deleted.

        Args:
            count: bytes needed, not counting the room reserved for the copies of a compaction.
            deadline: Unix seconds.
        """
        while self._writable_bytes() < count and clock() < deadline - ANSWER_MARGIN_S and self.deleting:
            self.room_freed.clear()
            self.room_freed.wait(MAX_EXPIRY_INTERVAL_S)

    def _pinned_segments(self) -> set[int]:
        """Returns the segments that must be neither compacted nor deleted now.

        These hold pages of uncommitted results, take part in a compaction, or are to be deleted anyway.
        """
        uncommitted_segments = {
            span[0] >> 32 for writer in self.open_writers.values() for span in writer.spans
        }
        return uncommitted_segments | set(self.obsolete_segments) | self.deleting | self.compacting

    def _checkpoint_task(self) -> TaskSteps:
        """Writes a checkpoint, then deletes the obsolete segments."""
        obsolete = list(self.obsolete_segments)
        self.checkpoint_count = own_count = self.checkpoint_count + 1
        # The thread may read a location before or after a compaction changes it. Either is right: both copies
        # exist until a later checkpoint is written.
        data = yield OffloadedCall(self.checkpoint_state().encode)
        if own_count < self.checkpoint_count:
            # A newer checkpoint is being written. This one, written after it, would refer to deleted files.
            return
        # Another run may have taken some of them.
        deletable = [number for number in obsolete if number in self.obsolete_segments]
        self.obsolete_segments = [number for number in self.obsolete_segments if number not in deletable]
        self.deleting.update(deletable)
        try:
            yield AwaitedResult(
                self._run_on_writing_thread(self.store.write_checkpoint, data, deletable), len(data)
            )
        except OSError as err:
            self.on_disk_failure(err)
        finally:
            self._finish_deletion(deletable)

    def _compaction_task(self) -> TaskSteps:
        """Compacts the segments with the smallest live shares; checkpoints delete them afterwards."""
        copied_bytes = 0
        for _ in range(MAX_COMPACTED_SEGMENTS):
            number = self.catalog.next_to_compact(self.settings["room"], self._pinned_segments())
            if number is None:
                break
            if self.catalog.segments[number].live_bytes or self.catalog.segments[number].drops != []:
                copied_bytes += self.catalog.segments[number].live_bytes
                self.compacting.add(number)
                try:
                    yield from self._compact_segment(number)
                finally:
                    self.compacting.clear()
                # The originals have to be deleted before more is copied.
                if copied_bytes > COPY_SHARE / 2 * self.settings["room"]:
                    copied_bytes = 0
                    yield from self._checkpoint_task()
            else:
                self.obsolete_segments.append(number)
        obsolete_bytes = sum(self.catalog.segments[number].size for number in self.obsolete_segments)
        if (
            obsolete_bytes
            > (0.02 if self.catalog.used_bytes > TIGHT_SHARE * self.settings["room"] else 0.2)
            * self.settings["room"]
        ):
            yield from self._checkpoint_task()

    def _compact_segment(self, number: int) -> TaskSteps:
        """Copies the live records and the needed DROP records of a segment to the end of the log."""
        oldest = min((n for n in self.catalog.segments if n != number), default=number)
        write_epoch = self.store.write_epoch
        moves: list[tuple[int, int, int]] = []
        scan = self.store.scan_segment(number)
        while True:
            try:
                batch = yield OffloadedCall(partial(_next_batch, scan))
            except OSError as err:
                self.catalog.segments[number].unreadable = True
                LOG.error("spool segment unreadable", segment=number, error=str(err))
                return
            if not batch:
                break
            yield AwaitedResult(COMPLETED, sum(scanned.length for scanned in batch))
            needed = [
                (pack_location(number, scanned.offset), scanned.record)
                for scanned in batch
                if self._is_needed(number, scanned, oldest)
            ]
            if needed:
                records = [record for _, record in needed]
                count = sum(record.stored_size for record in records)
                try:
                    spans = yield AwaitedResult(
                        self.submit(partial(list, records), False, write_epoch, self._pin_copies), count
                    )
                except OSError:
                    return
                drops = [
                    (r.number, r.page, location)
                    for r, (location, _) in zip(records, spans, strict=True)
                    if r.kind is RecordKind.DROP
                ]
                self._note_drops([drop[:2] for drop in drops], [(location, 0) for _, _, location in drops])
                moves += [(r.number, old, new) for (old, r), (new, _) in zip(needed, spans, strict=True)]
        try:
            yield AwaitedResult(self.submit(list, True, write_epoch))
        except OSError:
            return
        for result_number, old, new in moves:
            self.catalog.relocate(result_number, old, new)
        # What is still live there could not be read, so its results are lost.
        if self.catalog.segments[number].live_bytes > 0:
            for result in list(self.catalog.results.values()):
                if any(location >> 32 == number for location in result.locations):
                    self._remove_lost(result, CorruptRecordError("compaction found a corrupt record"))
        self.obsolete_segments.append(number)

    def _pin_copies(self, spans: list[RecordSpan]) -> None:
        """Pins the segments that hold copies: these do not count as live until the index refers to them."""
        self.compacting.update(location >> 32 for location, _ in spans)

    def _is_needed(self, segment: int, scanned: ScannedRecord, oldest: int) -> bool:
        """Returns whether a compaction has to copy a record.

        Args:
            segment: the segment that is compacted.
            scanned: a record of it.
            oldest: number of the oldest other segment.
        """
        record = scanned.record
        if record is None:
            return False
        if record.kind is RecordKind.DROP:
            return oldest <= record.page
        result = self.catalog.by_number.get(record.number)
        page = record.page
        return (
            result is not None
            and page <= result.page_count
            and result.locations[page] == pack_location(segment, scanned.offset)
        )

    def _scrub_task(self) -> TaskSteps:
        """Verifies one second's part of all records, at the rate that the setting `scrub` asks for.

        A result with a corrupt record is then lost at once, not only when it is read.
        """
        budget = self.catalog.used_bytes / self.settings["scrub"]  # bytes for this second
        while budget > 0:
            segment, offset = self.scrub_position
            remaining = [
                n for n, s in self.catalog.segments.items() if s.closed and n >= segment and s.live_bytes
            ]
            if not remaining:
                self.scrub_position = 0, 0
                return
            if min(remaining) != segment:
                segment, offset = min(remaining), 0
            try:
                batch = yield OffloadedCall(
                    partial(_next_batch, self.store.scan_segment(segment, offset)), int(min(budget, 1e6))
                )
            except (OSError, KeyError) as err:
                if segment in self.store.file_names:
                    LOG.error("spool segment unreadable", segment=segment, error=repr(err))
                self.scrub_position = segment + 1, 0
                return
            if not batch:
                self.scrub_position = segment + 1, 0
                continue
            for scanned in batch:
                result = self.catalog.by_number.get(scanned.number)
                if (
                    scanned.record is None
                    and result
                    and pack_location(segment, scanned.offset) in result.locations
                ):
                    self._remove_lost(result, CorruptRecordError("scrubbing found a corrupt record"))
            self.scrub_position = segment, batch[-1].offset + batch[-1].length
            budget -= sum(scanned.length for scanned in batch)

    # Reconfiguration and shutdown.

    def reconfigure(self, settings: dict[str, Any]) -> None:
        """Takes over the reloadable settings given."""
        self.settings = {**self.settings, **settings}
        self.catalog.set_lifetimes(_lifetimes(self.settings))
        self.allocator.set_limits(*_allocator_limits(self.settings))
        self.allocator.max_results = self.settings["most"]
        self.store.room, self.store.segment_size = self.settings["room"], _segment_size(self.settings)
        self.page_timeout_s = self.settings["page"] / self.settings["least-pace"] + PAGE_SLOT_TIMEOUT_S

    def close(self) -> None:
        """Writes what is queued and a checkpoint, and unlocks the folder for the next router."""
        self.stopped = True
        self.work_available.set()
        self.writer_greenlet.join(5.0)
        try:
            self.writer_thread.call(self.store.write_checkpoint, self.checkpoint_state().encode())
        except OSError as err:
            LOG.error("spool write failed", error=str(err), rests=0.0)
        self.store.close()
        LOG.info("spool closed", results=len(self.catalog.results))


@dataclass(eq=False)
class SpoolReservation:
    """Room for the result of one request, if there is any; implements `ports.ResultReservation`.

    Attributes:
        service: the spool.
        tenant: the request's tenant.
        profile: the request's profile.
        space: the reserved room; None if there was none.
        retry_after_s: None if room was reserved, or the seconds until there is some.
    """

    service: SpoolService
    tenant: str
    profile: str
    space: Reservation | None = None
    retry_after_s: float | None = None

    def open_writer(self) -> SpoolResultWriter:
        """Returns the writer for one attempt's result."""
        return SpoolResultWriter(self.service, self)

    def release(self) -> None:
        """Returns the room that no committed result has taken."""
        if self.space is not None:
            self.space.release()

    def discard_result(self, result_fields: dict[str, str]) -> None:
        """Removes the committed result that these fields describe."""
        self.service.release(result_fields["spool"], self.tenant)


@dataclass(eq=False)
class SpoolResultWriter:
    """Writes the result of one attempt; implements `ports.ResultWriter`.

    Attributes:
        service: the spool.
        reservation: the request's reservation.
        number: the result's number.
        rows: number of rows so far.
        size: bytes so far, before compression.
        pages: number of pages so far.
        first_page: rows of the first page.
        taken: bytes taken from the reservation.
        finished: whether the result was committed or discarded.
        is_out_of_room: whether the last page compressed worse than expected and no room was left for the
            difference.
        buffer: rows of the next page.
        spans: location and length of each page that has been written.
        pending: pages that are being written.
        write_epoch: the store's write epoch when the result was begun.
    """

    service: SpoolService
    reservation: SpoolReservation
    number: int = field(default_factory=lambda: secrets.randbits(64))
    rows: int = 0
    size: int = 0
    pages: int = 0
    first_page: bytes = b""
    taken: int = 0
    finished: bool = False
    is_out_of_room: bool = False

    def __post_init__(self) -> None:
        self.buffer, self.spans = bytearray(), list[RecordSpan]()
        self.pending: deque[AsyncResult[list[RecordSpan]]] = deque()
        self.write_epoch = self.service.store.write_epoch
        self.service.open_writers[self.number] = self

    def page_spans(self) -> list[tuple[int, int, int]]:
        """Returns page, location and length of each page that has been written."""
        return [(page, location, length) for page, (location, length) in enumerate(self.spans)]

    def write(self, rows: bytes, deadline: float) -> None:
        """Appends whole rows; may block until the deadline (Unix seconds).

        Raises:
            ResultNotStoredError: The result is too large, has no room or could not be written in time.
        """
        self.rows += rows.count(b"\n")
        self.size += len(rows)
        if self.size > self.service.settings["largest"]:
            self._fail(float("inf"), "the result is larger than the setting `largest` allows")
        if self.buffer and len(self.buffer) + len(rows) > self.service.settings["page"]:
            self._write_page(deadline)
        self.buffer += rows

    def _write_page(self, deadline: float) -> None:
        """Queues the buffered rows as a page, with room for the compressed size that is expected."""
        data, page = bytes(self.buffer), self.pages
        self.buffer.clear()
        self.first_page = data if not page else self.first_page
        self.pages += 1
        if self.is_out_of_room:
            self._fail(self._retry_after_s(), "the spool has no room for the rest of the result")
        count = HEADER_SIZE + round(
            len(data) * self.service.allocator.expected_ratio(self.reservation.profile)
        )
        if (
            self.reservation.space is None
            or self.reservation.space.released
            or not self.reservation.space.take(count, clock())
        ):
            self._fail(self._retry_after_s(), "the spool has no room for the rest of the result")
        self.taken += count
        while len(self.pending) >= MAX_PENDING_PAGES:
            self._await_write(self.pending.popleft(), deadline)
        self.service.wait_for_room(count, deadline)
        make_records = partial(_compressed_records, RecordKind.PAGE, self.number, page, data)
        self.pending.append(
            self.service.submit(make_records, False, self.write_epoch, partial(self._on_page_written, count))
        )

    def _on_page_written(self, expected: int, spans: list[RecordSpan]) -> None:
        """Corrects the room taken for a page from the expected bytes to those written."""
        self.spans += spans
        excess = spans[0][1] - expected  # usually negative: pages mostly compress better than expected
        if self.reservation.space is not None and not self.finished:
            self.reservation.space.add_written(spans[0][1])
        if self.reservation.space is None or not self.reservation.space.take(excess, clock()):
            self.is_out_of_room = True  # this page was written nevertheless, but is the last
        else:
            self.taken += excess

    def commit(self, deadline: float) -> StoredResult:
        """Writes the remaining rows and the END record, and returns once everything is durable.

        Raises:
            ResultNotStoredError: The result had no room or was not durable by the deadline (Unix seconds).
        """
        self._write_page(deadline)
        while self.pending:
            self._await_write(self.pending.popleft(), deadline)
        token, now = secrets.token_urlsafe(18), clock()
        reservation, service = self.reservation, self.service
        key = digest(token, reservation.tenant)
        result = Result(
            self.number, key, reservation.tenant, reservation.profile, now, self.rows, self.size, self.pages
        )
        make_records = partial(lambda: [end_record(result)])
        self._await_write(
            service.submit(make_records, True, self.write_epoch, partial(self._on_committed, result)),
            deadline,
        )
        fields = {
            "spool": token,
            "pages": str(self.pages),
            "bytes": str(self.size),
            "rows": str(self.rows),
            "until": _unix_ms(service.catalog.expires_at(result)),
        }
        return StoredResult(self.first_page, fields)

    def _on_committed(self, result: Result, spans: list[RecordSpan]) -> None:
        """Adds the result to the catalog: its END record is durable.

        Called before anything else is written.
        """
        was_discarded = self.finished
        self._finish()
        result.append_spans([*self.spans, *spans])
        if self.reservation.space is not None and not was_discarded:
            if self.reservation.space.released:
                self.service.allocator.adjust_held(result.tenant, result.stored_bytes)
            self.reservation.space.commit_result(result.stored_bytes, result.raw_bytes)
        elif was_discarded:
            self.service.allocator.adjust_held(result.tenant, result.stored_bytes)
        self.service.catalog.add(result)
        if was_discarded:  # the request has been answered without the result
            self.service._remove([result])

    def _await_write(self, outcome: AsyncResult[list[RecordSpan]], deadline: float) -> None:
        try:
            outcome.get(timeout=max(deadline - ANSWER_MARGIN_S - clock(), 0.0))
        except gevent.Timeout:
            self._fail(self._retry_after_s(), "the disk did not store the result before the deadline")
        except OSError as err:
            self._fail(
                max(self.service.allocator.closed_until - clock(), 0.05),
                f"the disk failed while the result was stored: {err}",
            )

    def _retry_after_s(self) -> float:
        return self.service.allocator.max_retry_after_s or float("inf")

    def _fail(self, retry_after_s: float, reason: str) -> None:
        self.discard()
        raise ResultNotStoredError(retry_after_s, reason)

    def _finish(self) -> None:
        self.finished = True
        self.service.open_writers.pop(self.number, None)

    def discard(self) -> None:
        """Drops what was written; without effect once the result is committed."""
        if not self.finished:
            self._finish()
            self.buffer, self.first_page = bytearray(), b""
            if self.reservation.space is not None:
                self.reservation.space.give_back(self.taken, sum(length for _, length in self.spans))


def _compressed_records(kind: RecordKind, number: int, page: int, data: bytes) -> list[Record]:
    return [compress_record(kind, number, page, data)]


def _next_batch(scan: Any) -> list[ScannedRecord]:
    """Returns the next records of a scan, at most SCAN_BATCH_RECORDS; none at its end. Called on a thread."""
    batch: list[ScannedRecord] = []
    for scanned in scan:
        if isinstance(scanned, ScannedRecord):
            batch.append(scanned)
            if len(batch) >= SCAN_BATCH_RECORDS:
                break
    return batch


def _lifetimes(settings: dict[str, Any]) -> Lifetimes:
    return Lifetimes(settings["keep"], settings["unread"], settings["longest"])


def _allocator_limits(settings: dict[str, Any]) -> tuple[float, float, float, dict[str, float]]:
    return settings["room"] * USABLE_SHARE, settings["expect"], settings["share"], settings["quota"]


def _segment_size(settings: dict[str, Any]) -> float:
    """Returns the bytes at which a segment is closed.

    The room always holds some dozens of segments: with fewer, a compaction would need too much of the room.
    """
    return float(min(settings["segment"], settings["room"] / 32))


def _unix_ms(at: float) -> str:
    return str(int(at * 1000))
