"""The spool at work: results taken in page by page, given out by token, and kept in order by chores.

It owns the catalogue, the ledger and the one greenlet that writes. It must never answer a command or choose
what is shed (the decision module does), hold more of a result than a few pages, or wait for a file on the
hub.
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

from marbleworks.background.task_runner import OffloadedCall, TaskRunner, TaskSteps, Wait
from marbleworks.background.threads import WorkerThreads
from marbleworks.net.actor import LOG, clock, spawn
from marbleworks.ports import PageUnavailable, ResultNotStoredError, StoredPage, StoredResult
from marbleworks.spool.catalog import USABLE, Catalog, Lifetimes, Result, digest, place
from marbleworks.spool.disk import Disk
from marbleworks.spool.record_codec import HEAD_SIZE, CorruptRecordError, Entry, Found, Kind, packed
from marbleworks.spool.recovery import State, end_of
from marbleworks.spool.segment_store import SegmentStore, Spot
from marbleworks.spool.space_allocator import Reservation, SpaceAllocator

PENDING = 2  # pages of one result that are written at a time
GROUP = 1 << 20  # bytes that are written and made durable together, about
READERS = 2  # threads that read pages
GIVEN_WITHIN = 1.0  # seconds that a page call waits for its turn
BATCH = 32  # records that a chore looks at in one step
MOST_EMPTIED = 16  # segments in one round of the chore
FOR_COPIES = 0.1  # part of the folder's room that emptying a segment may need
TIGHT = 0.5  # part of the folder's room from which on what is no more is deleted at once
LOOKS = 0.25  # seconds after which what has ended is looked for at the latest
SPARE_TIME = 0.02  # seconds kept for telling the client
Job = tuple[
    "AsyncResult[list[Spot]]", Callable[[], list[Entry]], bool, int | None, Callable[[list[Spot]], None]
]


DONE: AsyncResult[None] = AsyncResult()
DONE.set(None)


class FolderLockedError(Exception):
    """Another router has the folder."""


class SpoolService:
    """What joins the front (`Shelf`) and the desk (`Tray`) to a folder."""

    def __init__(
        self,
        terms: dict[str, Any],
        heed: float,
        chores: TaskRunner,
        disk: Disk | None = None,
        threads: Callable[[int], Any] = WorkerThreads,
    ) -> None:
        """heed: the longest time to come back that clients heed. threads: makes so many of them."""
        self.terms, self.chores = terms, chores
        self.store = SegmentStore(disk or Disk(terms["folder"]), _segment(terms), terms["room"])
        self.catalogue = Catalog(_lifetimes(terms))
        self.ledger = SpaceAllocator(
            *_limits(terms),
            heed=heed,
            frees=self.catalogue.frees,
            most=terms["most"],
            empty=self._empty,
            clears=self.catalogue.clears,
        )
        self.page_timeout_s = terms["page"] / terms["least-pace"] + GIVEN_WITHIN
        self.in_hand = BoundedSemaphore(max(int(terms["in-hand"] // terms["page"]), 1))
        self.writing, self.reading = threads(1), threads(READERS)
        self.jobs, self.work = deque[Job](), Event()
        self.sheets: dict[int, SpoolResultWriter] = {}  # by number: results that are not whole yet
        self.position, self.stopped = (0, 0), False
        self.doomed: list[int] = []  # segments that go with the next checkpoint
        self.emptying = set[int]()  # the segment that is emptied, and those that hold copies from it
        self.going, self.room_made = set[int](), Event()
        self.dead_since: dict[int, float] = {}  # segments in which nothing is live, while room is tight
        self.states = 0  # how many were taken for checkpoints
        self.scrubbed = (0, 0)  # segment and offset
        self._open(terms["hand-over"])
        self.greenlet = spawn(self._write)
        chores.add_periodic("expiry", 0, self._next_look, self._expiry, 0.0, dedicated=True)
        chores.add_periodic("checkpoint", 1, lambda: self.terms["checkpoint"], self._checkpoint, 10.0)
        chores.add_periodic("compaction", 2, lambda: 0.5, self._compaction, 60.0)
        chores.add_periodic("scrub", 3, lambda: 1.0, self._scrub, 3600.0)

    def _open(self, patience: float) -> None:
        """Takes the folder, from the router before us if there is one. Raises FolderHeld or OSError."""
        began = clock()
        while True:
            try:
                found = self.writing.call(self.store.open, clock())
                break
            except BlockingIOError:
                if clock() >= began + patience:
                    raise FolderLockedError(
                        f"{self.terms['folder']}: another router has this folder"
                    ) from None
                gevent.sleep(0.05)
        for event, facts in found.notes:
            LOG.warning(event, **facts)
        self.catalogue.wrote(found.segments)
        for number, segment in self.catalogue.segments.items():
            segment.closed, segment.drops, segment.spoilt = True, None, number in found.spoilt
        for result in found.results:
            self.catalogue.add(result)
            self.ledger.hold(result.tenant, result.stored)
        self.position = self.store.position
        LOG.info(
            "spool open",
            results=len(found.results),
            lost=len(found.lost),
            bytes=self.catalogue.used,
            after=round(clock() - began, 3),
        )

    def _empty(self) -> float:
        return float((1.0 - FOR_COPIES) * self.terms["room"] - self.catalogue.used)

    # What the desk and the engines ask.

    def reserve(self, tenant: str, profile: str, statement: bytes) -> SpoolReservation:
        self._expire()
        room = self.ledger.reserve(tenant, profile, xxhash.xxh3_64_intdigest(statement), clock())
        if isinstance(room, Reservation):
            return SpoolReservation(self, tenant, profile, room)
        return SpoolReservation(self, tenant, profile, retry_after_s=room)

    def failed(self, err: Exception) -> None:
        wait = self.ledger.failed(clock())
        LOG.error("spool write failed", error=str(err), rests=round(wait, 1))

    # What a front asks.

    def read_page(self, token: str, tenant: str, number: int) -> StoredPage | PageUnavailable:
        if not self.in_hand.acquire(timeout=GIVEN_WITHIN):
            return PageUnavailable.BUSY
        said = self._page(token, tenant, number)
        if isinstance(said, PageUnavailable):
            self.in_hand.release()
        return said

    def page_delivered(self) -> None:
        self.in_hand.release()

    def _page(self, token: str, tenant: str, number: int) -> StoredPage | PageUnavailable:
        result = self.catalogue.find(token, tenant, clock())
        if result is None:
            return PageUnavailable.UNKNOWN_RESULT
        if not 1 <= number <= result.pages:
            return PageUnavailable.UNKNOWN_PAGE
        for last in (False, True):
            spot = result.places[number - 1], result.lengths[number - 1]
            try:
                rows = self.reading.call(self.store.read, spot, result.number, number - 1)
                break
            except (OSError, CorruptRecordError, KeyError) as err:
                if self.catalogue.numbers.get(result.number) is not result:
                    return PageUnavailable.UNKNOWN_RESULT  # it ended meanwhile
                if last or spot[0] == result.places[number - 1]:
                    self._lost(result, err)
                    return PageUnavailable.LOST
        now = clock()
        if self.catalogue.numbers.get(result.number) is not result:
            return PageUnavailable.UNKNOWN_RESULT
        self.catalogue.touch(result, now)
        told = {
            "page": str(number),
            "pages": str(result.pages),
            "until": _unix_ms(self.catalogue.ends(result)),
        }
        return StoredPage(rows, told)

    def release(self, token: str, tenant: str) -> bool:
        result = self.catalogue.find(token, tenant, clock())
        if result is None:
            return False
        self._remove([result])
        return True

    def _lost(self, result: Result, err: Exception) -> None:
        LOG.error("spool result lost", profile=result.profile, made=round(result.made, 3), error=repr(err))
        self._remove([result])

    def _remove(self, results: list[Result]) -> None:
        """They are no more, from now on and after a start; their room is free."""
        for result in results:
            if result.number in self.catalogue.numbers:
                self.catalogue.remove(result)
                self.ledger.hold(result.tenant, -result.stored)
        if results and not self.stopped:
            # Copies that are made now may come to lie in the segment after the current one.
            drops = [
                (r.number, self.store.current + 1 if r.segments & self.emptying else max(r.segments))
                for r in results
            ]
            entries = [Entry(Kind.DROP, number, last, b"", 0) for number, last in drops]
            self.submit(partial(list, entries), False, None, partial(self._dropped, drops))
            if self.catalogue.used > TIGHT * self.terms["room"]:
                self.chores.run_soon("expiry")
                self.chores.run_soon("compaction")

    def _dropped(self, drops: list[tuple[int, int]], spots: list[Spot]) -> None:
        for drop, (at, _) in zip(drops, spots, strict=True):
            there = self.catalogue.segments[at >> 32].drops
            if there is not None:
                there.append(drop)

    def _expire(self) -> None:
        self._remove(self.catalogue.ended(clock()))

    # The one greenlet that writes.

    def submit(
        self,
        make: Callable[[], list[Entry]],
        sync: bool,
        generation: int | None = None,
        then: Callable[[list[Spot]], None] = lambda spots: None,
    ) -> AsyncResult[list[Spot]]:
        """Has records written behind all that were submitted before. make: called on the writing thread.

        generation: the write is refused where an error has come since. then: called with the places before
        anything else is written or a checkpoint made."""
        done: AsyncResult[list[Spot]] = AsyncResult()
        self.jobs.append((done, make, sync, generation, then))
        self.work.set()
        return done

    def _write(self) -> None:
        while not self.stopped or self.jobs:
            if not self.jobs:
                self.work.clear()
                self.work.wait()
                continue
            jobs = [self.jobs.popleft() for _ in range(min(len(self.jobs), GROUP // int(self.terms["page"])))]
            try:
                outcomes = self.writing.call(self._written, jobs)
            except Exception as err:
                if isinstance(err, OSError):
                    self.failed(err)
                outcomes = [err] * len(jobs)
            else:
                self.ledger.worked(clock())
            self.catalogue.wrote(self.store.sizes)
            self.position = self.store.position
            for (done, _, _, _, then), outcome in zip(jobs, outcomes, strict=True):
                if isinstance(outcome, Exception):
                    done.set_exception(outcome)
                else:
                    then(outcome)
                    done.set(outcome)

    def _on_writer(self, work: Callable[..., None], *args: Any) -> AsyncResult[None]:
        """Has the writing thread do something between two groups."""
        done: AsyncResult[None] = AsyncResult()

        def run() -> None:
            try:
                done.set(self.writing.call(work, *args))
            except Exception as err:
                done.set_exception(err)

        spawn(run)
        return done

    def _written(self, jobs: list[Job]) -> list[list[Spot] | Exception]:
        """On the writing thread: one group, made durable once if any of it asks for that."""
        outcomes: list[list[Spot] | Exception] = []
        groups: list[list[Entry]] = []
        for _, make, _, generation, _ in jobs:
            stale = generation is not None and generation != self.store.generation
            groups.append([] if stale else make())
            outcomes.append(OSError("the disk failed since this result began") if stale else [])
        spots = self.store.append([entry for group in groups for entry in group], any(job[2] for job in jobs))
        at = 0
        for i, group in enumerate(groups):
            if not isinstance(outcomes[i], Exception):
                outcomes[i] = spots[at : at + len(group)]
            at += len(group)
        return outcomes

    # Chores.

    def state(self) -> State:
        loose = {number: sheet.placed() for number, sheet in self.sheets.items() if sheet.spots}
        return State(*self.position, list(self.catalogue.results.values()), loose)

    def _expiry(self) -> TaskSteps:
        """Ends results in their time and, while room is tight, deletes at once the files in which nothing is
        live: promises rest on that, so it waits neither for other chores nor for a sync. A checkpoint may
        then name files that have gone; what lay in them was over."""
        self._expire()
        over, now = self.catalogue.over(self._pinned()), clock()
        if not over or self.catalogue.used <= TIGHT * self.terms["room"]:
            self.dead_since.clear()
            return
        self.dead_since = {number: self.dead_since.get(number, now) for number in over}
        self.going.update(over)
        try:
            yield OffloadedCall(partial(self.store.delete, *over))
        except OSError as err:
            self.failed(err)
        self._gone(over)

    def _gone(self, going: list[int]) -> None:
        """These were to be deleted; what is still there stays doomed."""
        self.going.difference_update(going)
        for number in going:
            if number in self.store.names:
                self.doomed.append(number)
                continue
            self.catalogue.segments.pop(number, None)
            if number in self.dead_since:
                self.ledger.cleared(clock() - self.dead_since.pop(number))
        self.room_made.set()

    def _next_look(self) -> float:
        return max(min(self.catalogue.next_end() - clock(), LOOKS), 0.001)

    def wait_for_room(self, count: int, until: float) -> None:
        """Until so much fits in the folder beside what is kept for copies, or the time is over: who was told
        to come is let in while the last files still go."""
        while self._empty() < count and clock() < until - SPARE_TIME and self.going:
            self.room_made.clear()
            self.room_made.wait(LOOKS)

    def _pinned(self) -> set[int]:
        """Segments that stay: of results that are not whole yet, one that is being emptied, and those that go
        anyhow."""
        placed = {spot[0] >> 32 for sheet in self.sheets.values() for spot in sheet.spots}
        return placed | set(self.doomed) | self.going | self.emptying

    def _checkpoint(self) -> TaskSteps:
        doomed = list(self.doomed)
        self.states = mine = self.states + 1
        # On the thread a place may be read before or after a segment is emptied: either copy is there until a
        # later checkpoint is.
        data = yield OffloadedCall(self.state().encode)
        if mine < self.states:
            return  # a newer one is on its way; this one after it would name files that have gone
        going = [number for number in doomed if number in self.doomed]  # another may have taken some
        self.doomed = [number for number in self.doomed if number not in going]
        self.going.update(going)
        try:
            yield Wait(self._on_writer(self.store.checkpoint, data, going), len(data))
        except OSError as err:
            self.failed(err)
        finally:
            self._gone(going)

    def _compaction(self) -> TaskSteps:
        """Empties the segments that are least worth keeping, and has them go with a checkpoint."""
        copied = 0
        for _ in range(MOST_EMPTIED):
            number = self.catalogue.to_empty(self.terms["room"], self._pinned())
            if number is None:
                break
            if self.catalogue.segments[number].live or self.catalogue.segments[number].drops != []:
                copied += self.catalogue.segments[number].live
                self.emptying.add(number)
                try:
                    yield from self._emptied(number)
                finally:
                    self.emptying.clear()
                if copied > FOR_COPIES / 2 * self.terms["room"]:  # what was copied must go before more is
                    copied = 0
                    yield from self._checkpoint()
            else:
                self.doomed.append(number)
        dead = sum(self.catalogue.segments[number].size for number in self.doomed)
        if dead > (0.02 if self.catalogue.used > TIGHT * self.terms["room"] else 0.2) * self.terms["room"]:
            yield from self._checkpoint()

    def _emptied(self, number: int) -> TaskSteps:
        """Copies what is live in a segment, and the drops that are still needed, to the end."""
        oldest = min((n for n in self.catalogue.segments if n != number), default=number)
        generation = self.store.generation
        moves: list[tuple[int, int, int]] = []
        records = self.store.records(number)
        while True:
            try:
                batch = yield OffloadedCall(partial(_some, records))
            except OSError as err:
                self.catalogue.segments[number].spoilt = True
                LOG.error("spool segment unreadable", segment=number, error=str(err))
                return
            if not batch:
                break
            yield Wait(DONE, sum(found.length for found in batch))
            keep = [(place(number, f.offset), f.entry) for f in batch if self._needed(number, f, oldest)]
            if keep:
                entries = [entry for _, entry in keep]
                count = sum(entry.stored for entry in entries)
                try:
                    spots = yield Wait(
                        self.submit(partial(list, entries), False, generation, self._copied_to), count
                    )
                except OSError:
                    return
                drops = [
                    (e.number, e.page, at)
                    for e, (at, _) in zip(entries, spots, strict=True)
                    if e.kind is Kind.DROP
                ]
                self._dropped([drop[:2] for drop in drops], [(at, 0) for _, _, at in drops])
                moves += [(e.number, old, new) for (old, e), (new, _) in zip(keep, spots, strict=True)]
        try:
            yield Wait(self.submit(list, True, generation))
        except OSError:
            return
        for moved, old, new in moves:
            self.catalogue.moved(moved, old, new)
        if self.catalogue.segments[number].live > 0:  # records there can't be read: their results are lost
            for result in list(self.catalogue.results.values()):
                if any(packed_place >> 32 == number for packed_place in result.places):
                    self._lost(result, CorruptRecordError("a record of it is spoilt"))
        self.doomed.append(number)

    def _copied_to(self, spots: list[Spot]) -> None:
        """What holds a copy stays, though nothing in it counts as live until the index has moved."""
        self.emptying.update(at >> 32 for at, _ in spots)

    def _needed(self, segment: int, found: Found, oldest: int) -> bool:
        entry = found.entry
        if entry is None:
            return False
        if entry.kind is Kind.DROP:
            return oldest <= entry.page
        result = self.catalogue.numbers.get(entry.number)
        at = entry.page
        return result is not None and at <= result.pages and result.places[at] == place(segment, found.offset)

    def _scrub(self) -> TaskSteps:
        """Reads each record again once in the time for that; a result with a spoilt one is lost at once, not
        when its reader comes."""
        budget = self.catalogue.used / self.terms["scrub"]  # bytes for this second
        while budget > 0:
            segment, offset = self.scrubbed
            left = [n for n, s in self.catalogue.segments.items() if s.closed and n >= segment and s.live]
            if not left:
                self.scrubbed = 0, 0
                return
            if min(left) != segment:
                segment, offset = min(left), 0
            try:
                batch = yield OffloadedCall(
                    partial(_some, self.store.records(segment, offset)), int(min(budget, 1e6))
                )
            except (OSError, KeyError) as err:
                if segment in self.store.names:
                    LOG.error("spool segment unreadable", segment=segment, error=repr(err))
                self.scrubbed = segment + 1, 0
                return
            if not batch:
                self.scrubbed = segment + 1, 0
                continue
            for found in batch:
                result = self.catalogue.numbers.get(found.number)
                if found.entry is None and result and place(segment, found.offset) in result.places:
                    self._lost(result, CorruptRecordError("found by scrubbing"))
            self.scrubbed = segment, batch[-1].offset + batch[-1].length
            budget -= sum(found.length for found in batch)

    # Changes and the end.

    def change(self, terms: dict[str, Any]) -> None:
        """Other terms from now on, of those that may change while running."""
        self.terms = {**self.terms, **terms}
        self.catalogue.change(_lifetimes(self.terms))
        self.ledger.change(*_limits(self.terms))
        self.ledger.most = self.terms["most"]
        self.store.room, self.store.segment_size = self.terms["room"], _segment(self.terms)
        self.page_timeout_s = self.terms["page"] / self.terms["least-pace"] + GIVEN_WITHIN

    def close(self) -> None:
        """All is written and the folder is free for the next router."""
        self.stopped = True
        self.work.set()
        self.greenlet.join(5.0)
        try:
            self.writing.call(self.store.checkpoint, self.state().encode())
        except OSError as err:
            LOG.error("spool write failed", error=str(err), rests=0.0)
        self.store.close()
        LOG.info("spool closed", results=len(self.catalogue.results))


@dataclass(eq=False)
class SpoolReservation:
    keeper: SpoolService
    tenant: str
    profile: str
    room: Reservation | None = None
    retry_after_s: float | None = None

    def open_writer(self) -> SpoolResultWriter:
        return SpoolResultWriter(self.keeper, self)

    def release(self) -> None:
        if self.room is not None:
            self.room.free()

    def discard_result(self, result_fields: dict[str, str]) -> None:
        self.keeper.release(result_fields["spool"], self.tenant)


@dataclass(eq=False)
class SpoolResultWriter:
    """A result that is not whole yet."""

    keeper: SpoolService
    tray: SpoolReservation
    number: int = field(default_factory=lambda: secrets.randbits(64))
    rows: int = 0
    size: int = 0
    pages: int = 0
    first: bytes = b""
    taken: int = 0  # bytes of the reservation
    over: bool = False
    short: bool = False  # the last page was larger than the room that is left

    def __post_init__(self) -> None:
        self.buffer, self.spots = bytearray(), list[Spot]()
        self.pending: deque[AsyncResult[list[Spot]]] = deque()
        self.generation = self.keeper.store.generation
        self.keeper.sheets[self.number] = self

    def placed(self) -> list[tuple[int, int, int]]:
        return [(page, at, length) for page, (at, length) in enumerate(self.spots)]

    def write(self, rows: bytes, deadline: float) -> None:
        self.rows += rows.count(b"\n")
        self.size += len(rows)
        if self.size > self.keeper.terms["largest"]:
            self._refuse(float("inf"), "larger than any that is kept")
        if self.buffer and len(self.buffer) + len(rows) > self.keeper.terms["page"]:
            self._page(deadline)
        self.buffer += rows

    def _page(self, until: float) -> None:
        data, page = bytes(self.buffer), self.pages
        self.buffer.clear()
        self.first = data if not page else self.first
        self.pages += 1
        if self.short:
            self._refuse(self._later(), "no room")
        count = HEAD_SIZE + round(len(data) * self.keeper.ledger.packs(self.tray.profile))
        if self.tray.room is None or self.tray.room.over or not self.tray.room.take(count, clock()):
            self._refuse(self._later(), "no room")
        self.taken += count
        while len(self.pending) >= PENDING:
            self._wait(self.pending.popleft(), until)
        self.keeper.wait_for_room(count, until)
        make = partial(_entries, Kind.PAGE, self.number, page, data)
        self.pending.append(self.keeper.submit(make, False, self.generation, partial(self._placed, count)))

    def _placed(self, count: int, spots: list[Spot]) -> None:
        self.spots += spots
        more = spots[0][1] - count  # than was thought; less, mostly
        if self.tray.room is not None and not self.over:
            self.tray.room.wrote(spots[0][1])
        if self.tray.room is None or not self.tray.room.take(more, clock()):
            self.short = True  # it has been written all the same, and is the last
        else:
            self.taken += more

    def commit(self, deadline: float) -> StoredResult:
        self._page(deadline)
        while self.pending:
            self._wait(self.pending.popleft(), deadline)
        token, now = secrets.token_urlsafe(18), clock()
        tray, keeper = self.tray, self.keeper
        key = digest(token, tray.tenant)
        result = Result(self.number, key, tray.tenant, tray.profile, now, self.rows, self.size, self.pages)
        make = partial(lambda: [end_of(result)])
        self._wait(keeper.submit(make, True, self.generation, partial(self._whole, result)), deadline)
        told = {
            "spool": token,
            "pages": str(self.pages),
            "bytes": str(self.size),
            "rows": str(self.rows),
            "until": _unix_ms(keeper.catalogue.ends(result)),
        }
        return StoredResult(self.first, told)

    def _whole(self, result: Result, spots: list[Spot]) -> None:
        """The end is durable. Called before anything else is written."""
        late = self.over
        self._leave()
        result.lies([*self.spots, *spots])
        if self.tray.room is not None and not late:
            if self.tray.room.over:
                self.keeper.ledger.hold(result.tenant, result.stored)
            self.tray.room.kept(result.stored, result.size)
        elif late:
            self.keeper.ledger.hold(result.tenant, result.stored)
        self.keeper.catalogue.add(result)
        if late:  # nobody waits for it any more
            self.keeper._remove([result])

    def _wait(self, outcome: AsyncResult[list[Spot]], until: float) -> None:
        try:
            outcome.get(timeout=max(until - SPARE_TIME - clock(), 0.0))
        except gevent.Timeout:
            self._refuse(self._later(), "the disk did not take it in time")
        except OSError as err:
            self._refuse(max(self.keeper.ledger.closed_until - clock(), 0.05), f"the disk failed: {err}")

    def _later(self) -> float:
        return self.keeper.ledger.heed or float("inf")

    def _refuse(self, wait: float, why: str) -> None:
        self.discard()
        raise ResultNotStoredError(wait, why)

    def _leave(self) -> None:
        self.over = True
        self.keeper.sheets.pop(self.number, None)

    def discard(self) -> None:
        if not self.over:
            self._leave()
            self.buffer, self.first = bytearray(), b""
            if self.tray.room is not None:
                self.tray.room.took_back(self.taken, sum(length for _, length in self.spots))


def _entries(kind: Kind, number: int, page: int, data: bytes) -> list[Entry]:
    return [packed(kind, number, page, data)]


def _some(records: Any) -> list[Found]:
    """The next records of a scan, a bounded number of them; none at its end. On a thread."""
    batch: list[Found] = []
    for found in records:
        if isinstance(found, Found):
            batch.append(found)
            if len(batch) >= BATCH:
                break
    return batch


def _lifetimes(terms: dict[str, Any]) -> Lifetimes:
    return Lifetimes(terms["keep"], terms["unread"], terms["longest"])


def _limits(terms: dict[str, Any]) -> tuple[float, float, float, dict[str, float]]:
    return terms["room"] * USABLE, terms["expect"], terms["share"], terms["quota"]


def _segment(terms: dict[str, Any]) -> float:
    """The size of a segment: with fewer than some dozens in the room, emptying one would take too much of
    it."""
    return float(min(terms["segment"], terms["room"] / 32))


def _unix_ms(at: float) -> str:
    return str(int(at * 1000))
