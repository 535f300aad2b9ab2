"""The index of stored results: where their pages are, when they expire, and which segment to compact next.

It does no I/O and reads no clock, and must never hold a row of a result. `segment_store.py` writes it to
disk, and `recovery.py` rebuilds it at a start. Times are float Unix seconds.
"""

from __future__ import annotations

import bisect
import hashlib
import heapq
import math
from array import array
from dataclasses import dataclass, field

OFFSET_BITS = 32  # low bits of a packed location that hold the offset within the segment
# A closed segment is compacted when at most a certain share of it is live. That share is the first value of
# COMPACTION_LIVE_SHARE while the folder uses up to the first value of COMPACTION_USED_SHARE of its room, the
# second value from the second on, and interpolated linearly in between.
COMPACTION_LIVE_SHARE, COMPACTION_USED_SHARE = (0.5, 0.85), (0.5, 0.8)
USABLE_SHARE = 0.8  # share of the room that results may fill; the rest is for copies and for dead bytes


def digest(token: str, tenant: str) -> bytes:
    """Returns the key of a result, a digest of its token and tenant: the folder never holds a token."""
    return hashlib.blake2b(f"{len(tenant)}:{tenant}{token}".encode(), digest_size=16).digest()


def pack_location(segment: int, offset: int) -> int:
    """Packs a segment number and an offset within the segment into one location."""
    return segment << OFFSET_BITS | offset


def unpack_location(location: int) -> tuple[int, int]:
    """Returns the segment number and the offset of a location."""
    return location >> OFFSET_BITS, location & ((1 << OFFSET_BITS) - 1)


@dataclass(frozen=True)
class Lifetimes:
    """How long results live: the only rule of expiry.

    Attributes:
        since_read_s: seconds that a result lives after a page of it was last read.
        unread_s: seconds that a result lives while no page has been read.
        max_age_s: seconds that a result lives at most.
    """

    since_read_s: float
    unread_s: float
    max_age_s: float

    def expires_at(self, made: float, last_read_at: float | None) -> float:
        """Returns when a result expires.

        Args:
            made: time at which the result was committed.
            last_read_at: time at which a page was last read; None if none was.
        """
        return min(
            made + self.max_age_s,
            made + self.unread_s if last_read_at is None else last_read_at + self.since_read_s,
        )


@dataclass(eq=False, slots=True)
class Result:
    """A committed result.

    Attributes:
        result_id: random 64-bit number, which its records carry.
        key: digest of the result's token and tenant.
        tenant: the tenant that owns it.
        profile: profile of the request that produced it.
        committed_at: time at which it was committed.
        row_count: number of rows.
        raw_bytes: bytes before compression.
        page_count: number of pages.
        locations: location of each page's record, then that of the end record.
        lengths: bytes of each of these records on disk.
        last_read_at: time at which a page was last read; None if none was.
        stored_bytes: bytes on disk, the sum of the lengths.
        segments: numbers of the segments that hold any of its records.
    """

    result_id: int
    key: bytes
    tenant: str
    profile: str
    committed_at: float
    row_count: int
    raw_bytes: int
    page_count: int
    locations: array[int] = field(default_factory=lambda: array("Q"))
    lengths: array[int] = field(default_factory=lambda: array("I"))
    last_read_at: float | None = None
    stored_bytes: int = 0
    segments: set[int] = field(default_factory=set)

    def append_spans(self, spans: list[tuple[int, int]]) -> None:
        """Adds the location and length of each page's record, and of the end record."""
        for location, length in spans:
            self.locations.append(location)
            self.lengths.append(length)
            self.stored_bytes += length
            self.segments.add(unpack_location(location)[0])


@dataclass(slots=True)
class Segment:
    """One segment file.

    Attributes:
        size: bytes of the file.
        live_bytes: bytes of records that the index refers to.
        drops: the drop records in it, each as the dropped result's number and the last segment that may hold
            records of that result. None where they are not known, as after a start.
        closed: whether the segment is no longer written.
        has_moved_records: whether records were copied from it to other segments. An older checkpoint may
            still refer to the originals.
        unreadable: whether a read of the file failed. Its live records are then left where they are.
        live_until: time from which on nothing in it is live, as far as is known.
    """

    size: int = 0
    live_bytes: int = 0
    drops: list[tuple[int, int]] | None = field(default_factory=list)
    closed: bool = False
    has_moved_records: bool = False
    unreadable: bool = False
    live_until: float = -math.inf


class Catalog:
    """The results that are stored and the segments that hold them.

    Attributes:
        lifetimes: the rule of expiry.
        results: stored results, by key.
        by_number: the same results by number.
        segments: segment files, by number.
        sorted_expiries: expiry time, stored bytes and tenant of each result, sorted.
        expiry_heap: heap of (time, result number). An entry's time may be earlier than the expiry: the entry
            is then pushed back with the later time when it is popped.
    """

    def __init__(self, lifetimes: Lifetimes) -> None:
        self.lifetimes = lifetimes
        self.results: dict[bytes, Result] = {}
        self.by_number: dict[int, Result] = {}
        self.segments: dict[int, Segment] = {}
        self.sorted_expiries: list[tuple[float, int, str]] = []
        self.expiry_heap: list[tuple[float, int]] = []

    # Results.

    def add(self, result: Result) -> None:
        """Adds a committed result, whose segments must be known already."""
        self.results[result.key] = self.by_number[result.result_id] = result
        for location, length in zip(result.locations, result.lengths, strict=True):
            self.segments[unpack_location(location)[0]].live_bytes += length
        heapq.heappush(self.expiry_heap, (self.expires_at(result), result.result_id))
        self._schedule_expiry(result)

    def _schedule_expiry(self, result: Result) -> None:
        expires_at = self.expires_at(result)
        bisect.insort(self.sorted_expiries, (expires_at, result.stored_bytes, result.tenant))
        for number in result.segments & self.segments.keys():
            self.segments[number].live_until = max(self.segments[number].live_until, expires_at)

    def _unschedule_expiry(self, result: Result) -> None:
        index = bisect.bisect_left(
            self.sorted_expiries, (self.expires_at(result), result.stored_bytes, result.tenant)
        )
        del self.sorted_expiries[index]

    def expires_at(self, result: Result) -> float:
        """Returns when a result expires if it is not read again."""
        return self.lifetimes.expires_at(result.committed_at, result.last_read_at)

    def find(self, token: str, tenant: str, now: float) -> Result | None:
        """Returns a live result by its token; None alike if it is unknown, expired or another tenant's."""
        result = self.results.get(digest(token, tenant))
        return result if result is not None and now < self.expires_at(result) else None

    def touch(self, result: Result, now: float) -> None:
        """Notes that a page of the result was read."""
        self._unschedule_expiry(result)
        result.last_read_at = now
        self._schedule_expiry(result)

    def remove(self, result: Result) -> None:
        """Removes a result; without effect if it has been removed already."""
        if self.by_number.pop(result.result_id, None) is None:
            return
        del self.results[result.key]
        self._unschedule_expiry(result)
        for location, length in zip(result.locations, result.lengths, strict=True):
            segment = self.segments.get(unpack_location(location)[0])
            if segment is not None:
                segment.live_bytes -= length

    def pop_expired(self, now: float) -> list[Result]:
        """Returns the results that have expired, each only once. The caller has to remove them."""
        expired = []
        while self.expiry_heap and self.expiry_heap[0][0] <= now:
            _, number = heapq.heappop(self.expiry_heap)
            result = self.by_number.get(number)
            if result is None:
                continue
            expires_at = self.expires_at(result)
            if expires_at <= now:
                expired.append(result)
            else:
                heapq.heappush(self.expiry_heap, (expires_at, number))
        return expired

    def upcoming_expiries(self, now: float, until: float = math.inf) -> list[tuple[float, int, str]]:
        """Returns what expires after `now` and up to `until` if it is not read before.

        Returns:
            Time, stored bytes and tenant of each result, soonest first.
        """
        first, last = (
            bisect.bisect_right(self.sorted_expiries, bound, key=lambda expiry: expiry[0])
            for bound in (now, until)
        )
        return self.sorted_expiries[first:last]

    def upcoming_deletions(self, now: float, until: float = math.inf) -> list[tuple[float, int]]:
        """Returns the segment files that can be deleted by `until` because nothing in them is live any more.

        Returns:
            Time and bytes of each file, soonest first.
        """
        candidates = (
            s for s in self.segments.values() if s.closed and not s.unreadable and s.drops is not None
        )
        return sorted((max(s.live_until, now), s.size) for s in candidates if s.live_until <= until)

    def next_expiry(self) -> float:
        """Returns the earliest time at which a result may expire; infinite without results."""
        return self.expiry_heap[0][0] if self.expiry_heap else math.inf

    def set_lifetimes(self, lifetimes: Lifetimes) -> None:
        """Replaces the rule of expiry, for the present results as well."""
        self.lifetimes = lifetimes
        self.expiry_heap = [(self.expires_at(r), r.result_id) for r in self.by_number.values()]
        heapq.heapify(self.expiry_heap)
        self.sorted_expiries.clear()
        for segment in self.segments.values():
            segment.live_until = -math.inf
        for result in self.by_number.values():
            self._schedule_expiry(result)

    def relocate(self, number: int, old: int, new: int) -> bool:
        """Has a result refer to the copy of one of its records.

        Args:
            number: number of the result.
            old: location of the record so far.
            new: location of the copy.

        Returns:
            False where the result was removed or does not refer to the old location.
        """
        result = self.by_number.get(number)
        if result is None or old not in result.locations:
            return False
        index = result.locations.index(old)
        result.locations[index] = new
        self.segments[unpack_location(old)[0]].live_bytes -= result.lengths[index]
        self.segments[unpack_location(old)[0]].has_moved_records = True
        self.segments[unpack_location(new)[0]].live_bytes += result.lengths[index]
        result.segments.add(unpack_location(new)[0])
        self.segments[unpack_location(new)[0]].live_until = max(
            self.segments[unpack_location(new)[0]].live_until, self.expires_at(result)
        )
        return True

    # Segments.

    def update_segment_sizes(self, sizes: dict[int, int]) -> None:
        """Takes over the present sizes of the segments; all but the last one are closed."""
        last = max(sizes, default=0)
        for number, size in list(sizes.items()):
            segment = self.segments.setdefault(number, Segment())
            segment.size, segment.closed = size, segment.closed or number < last

    @property
    def used_bytes(self) -> int:
        """Bytes of all segment files."""
        return sum(segment.size for segment in self.segments.values())

    def deletable_segments(self, pinned: set[int]) -> list[int]:
        """Returns the segments whose files may be deleted at once.

        They are closed, hold nothing live, had no records moved from them, and hold no drop record that is
        still needed for records in a segment that remains.

        Args:
            pinned: segments that must not be deleted.
        """
        deletable = {
            n
            for n, s in self.segments.items()
            if s.closed
            and not (s.live_bytes or s.has_moved_records or s.unreadable or s.drops is None or n in pinned)
        }
        while True:
            oldest = min(self.segments.keys() - deletable, default=math.inf)
            needed = {n for n in deletable if any(last >= oldest for _, last in self.segments[n].drops or ())}
            if not needed:
                return sorted(deletable)
            deletable -= needed

    def next_to_compact(self, room: float, pinned: set[int]) -> int | None:
        """Returns the closed segment with the smallest live share; None if even that share is too large.

        Args:
            room: bytes that the folder may hold.
            pinned: segments that must stay, such as those with pages of uncommitted results.
        """
        closed = {n: s for n, s in self.segments.items() if s.closed and not s.unreadable and n not in pinned}
        if not closed:
            return None
        candidate = min(closed, key=lambda n: (closed[n].live_bytes / max(closed[n].size, 1), n))
        live_share = closed[candidate].live_bytes / max(closed[candidate].size, 1)
        pressure = min(
            max(
                (self.used_bytes / room - COMPACTION_USED_SHARE[0])
                / (COMPACTION_USED_SHARE[1] - COMPACTION_USED_SHARE[0]),
                0.0,
            ),
            1.0,
        )
        return (
            candidate
            if live_share
            <= COMPACTION_LIVE_SHARE[0] + pressure * (COMPACTION_LIVE_SHARE[1] - COMPACTION_LIVE_SHARE[0])
            else None
        )
