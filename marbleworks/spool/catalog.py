"""What is kept: results by token, where their pages lie, when they end, and which segment to empty next.

It does no I/O and reads no clock. It owns the index that `store.py` writes and `recovery.py` builds anew, and
must never hold a row of a result. Times are float Unix seconds.
"""

from __future__ import annotations

import bisect
import hashlib
import heapq
import math
from array import array
from dataclasses import dataclass, field

OFFSET = 32  # bits of a place that are the offset in its segment
# A closed segment is emptied when no more than such a part of it is live: the first while the folder uses up
# to the first part of its room, the second from the second on, in between in proportion.
EMPTIES_AT, AS_USED = (0.5, 0.85), (0.5, 0.8)
USABLE = 0.8  # part of the room that results may fill; the rest is for copies and for what is no more


def digest(token: str, tenant: str) -> bytes:
    """By what a result is known: its token as one tenant has it. The folder never holds a token."""
    return hashlib.blake2b(f"{len(tenant)}:{tenant}{token}".encode(), digest_size=16).digest()


def place(segment: int, offset: int) -> int:
    return segment << OFFSET | offset


def where(packed: int) -> tuple[int, int]:
    """Segment and offset."""
    return packed >> OFFSET, packed & ((1 << OFFSET) - 1)


@dataclass(frozen=True)
class Lifetimes:
    """The one rule of expiry, in seconds: so long after the last page was read (keep); so long if none ever
    was (unread); so long in all (longest)."""

    keep: float
    unread: float
    longest: float

    def ends(self, made: float, read: float | None) -> float:
        return min(made + self.longest, made + self.unread if read is None else read + self.keep)


@dataclass(eq=False, slots=True)
class Result:
    """One result that is whole. stored: bytes in segments; places and lengths: of each page and of its
    end."""

    number: int
    key: bytes
    tenant: str
    profile: str
    made: float
    rows: int
    size: int
    pages: int
    places: array[int] = field(default_factory=lambda: array("Q"))
    lengths: array[int] = field(default_factory=lambda: array("I"))
    read: float | None = None  # when a page last was
    stored: int = 0  # the sum of the lengths
    segments: set[int] = field(default_factory=set)  # that hold any of it

    def lies(self, spots: list[tuple[int, int]]) -> None:
        """Place and length of each page, and of the end."""
        for at, length in spots:
            self.places.append(at)
            self.lengths.append(length)
            self.stored += length
            self.segments.add(where(at)[0])


@dataclass(slots=True)
class Segment:
    """One file: its size, the bytes of it that are live, and whether it is still written."""

    size: int = 0
    live: int = 0
    # What its records say is no more: a result's number and the last segment that may hold any of it. None
    # where that is not known, after a start.
    drops: list[tuple[int, int]] | None = field(default_factory=list)
    closed: bool = False
    copied: bool = False  # records of it lie elsewhere by now, which an older checkpoint may not know
    spoilt: bool = False  # it could not be read through: what is live there stays there
    until: float = -math.inf  # nothing in it is live from then on, as far as is known


class Catalog:
    def __init__(self, lifetimes: Lifetimes) -> None:
        self.lifetimes = lifetimes
        self.results: dict[bytes, Result] = {}
        self.numbers: dict[int, Result] = {}
        self.segments: dict[int, Segment] = {}
        self.to_free: list[tuple[float, int, str]] = []  # when a result ends, its bytes and tenant; sorted
        self.line: list[tuple[float, int]] = []  # (when it may end, number); late entries are put back

    # Results.

    def add(self, result: Result) -> None:
        self.results[result.key] = self.numbers[result.number] = result
        for packed, length in zip(result.places, result.lengths, strict=True):
            self.segments[where(packed)[0]].live += length
        heapq.heappush(self.line, (self.ends(result), result.number))
        self._frees_at_its_end(result)

    def _frees_at_its_end(self, result: Result) -> None:
        ends = self.ends(result)
        bisect.insort(self.to_free, (ends, result.stored, result.tenant))
        for number in result.segments & self.segments.keys():
            self.segments[number].until = max(self.segments[number].until, ends)

    def _frees_not(self, result: Result) -> None:
        at = bisect.bisect_left(self.to_free, (self.ends(result), result.stored, result.tenant))
        del self.to_free[at]

    def ends(self, result: Result) -> float:
        return self.lifetimes.ends(result.made, result.read)

    def find(self, token: str, tenant: str, now: float) -> Result | None:
        """A live result by what its reader has; unknown, ended and others' are all None."""
        result = self.results.get(digest(token, tenant))
        return result if result is not None and now < self.ends(result) else None

    def touch(self, result: Result, now: float) -> None:
        self._frees_not(result)
        result.read = now
        self._frees_at_its_end(result)

    def remove(self, result: Result) -> None:
        if self.numbers.pop(result.number, None) is None:
            return
        del self.results[result.key]
        self._frees_not(result)
        for packed, length in zip(result.places, result.lengths, strict=True):
            segment = self.segments.get(where(packed)[0])
            if segment is not None:
                segment.live -= length

    def ended(self, now: float) -> list[Result]:
        """Results whose time is over; each is to be removed."""
        over = []
        while self.line and self.line[0][0] <= now:
            _, number = heapq.heappop(self.line)
            result = self.numbers.get(number)
            if result is None:
                continue
            ends = self.ends(result)
            if ends <= now:
                over.append(result)
            else:
                heapq.heappush(self.line, (ends, number))
        return over

    def frees(self, now: float, until: float = math.inf) -> list[tuple[float, int, str]]:
        """What ends by then when, if nobody reads it meanwhile: time, bytes, tenant; soonest first."""
        first, last = (bisect.bisect_right(self.to_free, at, key=lambda free: free[0]) for at in (now, until))
        return self.to_free[first:last]

    def clears(self, now: float, until: float = math.inf) -> list[tuple[float, int]]:
        """Files that go by then because nothing in them is live any more: time and bytes, soonest first."""
        may_go = (s for s in self.segments.values() if s.closed and not s.spoilt and s.drops is not None)
        return sorted((max(s.until, now), s.size) for s in may_go if s.until <= until)

    def next_end(self) -> float:
        """When the next result ends at the soonest; infinite without one."""
        return self.line[0][0] if self.line else math.inf

    def change(self, lifetimes: Lifetimes) -> None:
        """Another rule, which holds for what is there as well."""
        self.lifetimes = lifetimes
        self.line = [(self.ends(r), r.number) for r in self.numbers.values()]
        heapq.heapify(self.line)
        self.to_free.clear()
        for segment in self.segments.values():
            segment.until = -math.inf
        for result in self.numbers.values():
            self._frees_at_its_end(result)

    def moved(self, number: int, old: int, new: int) -> bool:
        """A page or end of a result has a copy elsewhere; False where nobody needs it any more."""
        result = self.numbers.get(number)
        if result is None or old not in result.places:
            return False
        at = result.places.index(old)
        result.places[at] = new
        self.segments[where(old)[0]].live -= result.lengths[at]
        self.segments[where(old)[0]].copied = True
        self.segments[where(new)[0]].live += result.lengths[at]
        result.segments.add(where(new)[0])
        self.segments[where(new)[0]].until = max(self.segments[where(new)[0]].until, self.ends(result))
        return True

    # Segments.

    def wrote(self, sizes: dict[int, int]) -> None:
        """The segments' sizes by now; all but the last are closed."""
        last = max(sizes, default=0)
        for number, size in list(sizes.items()):
            segment = self.segments.setdefault(number, Segment())
            segment.size, segment.closed = size, segment.closed or number < last

    @property
    def used(self) -> int:
        """Bytes of the folder's segments."""
        return sum(segment.size for segment in self.segments.values())

    def over(self, pinned: set[int]) -> list[int]:
        """Segments whose files may go at once: closed, nothing live in them and nothing ever copied from
        them, and no drop in them that speaks of records in what stays."""
        going = {
            n
            for n, s in self.segments.items()
            if s.closed and not (s.live or s.copied or s.spoilt or s.drops is None or n in pinned)
        }
        while True:
            oldest = min(self.segments.keys() - going, default=math.inf)
            stay = {n for n in going if any(last >= oldest for _, last in self.segments[n].drops or ())}
            if not stay:
                return sorted(going)
            going -= stay

    def to_empty(self, room: float, pinned: set[int]) -> int | None:
        """The closed segment to copy the live records from and delete: the least live one, if it is worth it.

        pinned: segments with pages of results that are not whole yet, which stay as they are."""
        closed = {n: s for n, s in self.segments.items() if s.closed and not s.spoilt and n not in pinned}
        if not closed:
            return None
        least = min(closed, key=lambda n: (closed[n].live / max(closed[n].size, 1), n))
        part = closed[least].live / max(closed[least].size, 1)
        pressed = min(max((self.used / room - AS_USED[0]) / (AS_USED[1] - AS_USED[0]), 0.0), 1.0)
        return least if part <= EMPTIES_AT[0] + pressed * (EMPTIES_AT[1] - EMPTIES_AT[0]) else None
