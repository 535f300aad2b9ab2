"""Promises: who was told which time, how much work that time has left, and what became of it.

It does no I/O and reads no clock. It owns the bookings, bounded in number, and must never promise more work
for a time than will be free then, or keep a place for one at the cost of another's.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field

SLOT = 0.1  # seconds
PART = 0.7  # of a slot's work that may be promised; newcomers have the rest
EARLY = 0.05  # seconds that one may be early
WINDOW = 1.0  # seconds for which a place is kept
GROWN = 1.1  # times the work that was promised that one may come back with


@dataclass(eq=False, slots=True)
class RetryPromise:
    flow: int
    mark: int
    work: float
    at: float
    slots: dict[int, float] = field(default_factory=dict)


class RetryPromises:
    """heed: the longest time that clients heed, in seconds; 0: none may be named. most: bookings at a
    time."""

    def __init__(self, heed: float, most: int) -> None:
        self.heed, self.most = heed, most
        self.slots: dict[int, float] = {}  # work that is promised in each
        self.by_flow: dict[tuple[int, int], float] = {}  # slot and flow: the same
        self.waiting: dict[tuple[int, int], RetryPromise] = {}  # by flow and mark
        self.line: list[tuple[float, int, RetryPromise]] = []  # a heap by time, to be dropped
        self.booked = self.kept = self.lapsed = self.broken = self.unpromised = 0

    def book(
        self, flow: int, mark: int, work: float, now: float, rate: float, backlog: float, part: float = 0.5
    ) -> float:
        """The seconds until there is room for so much work, which is kept from then on; infinite where none
        is in the time that clients heed. rate: work done a second; backlog: work that waits already. part: of
        what may be promised of a time, for one flow."""
        if self.heed <= 0:
            return math.inf
        if len(self.waiting) >= self.most or rate <= 0:
            self.unpromised += 1
            return math.inf
        start = int((now + backlog / rate) / SLOT) + 1
        last = int((now + self.heed) / SLOT)
        room, own = rate * SLOT * PART, rate * SLOT * PART * part
        left, taken = work, dict[int, float]()
        for slot in range(start, last + 1):
            free = min(room - self.slots.get(slot, 0.0), own - self.by_flow.get((slot, flow), 0.0))
            if free > 1e-9:
                taken[slot] = min(free, left)
                left -= taken[slot]
                if left <= 1e-9:
                    break
            elif taken:  # a place is in one piece: what is larger than a slot takes those that follow
                left, taken = work, {}
        if left > 1e-9:
            self.unpromised += 1
            return math.inf
        if (flow, mark) in self.waiting:
            self._drop(self.waiting[flow, mark])
        first = min(taken)
        booking = RetryPromise(flow, mark, work, first * SLOT, taken)
        for slot, share in taken.items():
            self.slots[slot] = self.slots.get(slot, 0.0) + share
            self.by_flow[slot, flow] = self.by_flow.get((slot, flow), 0.0) + share
        self.waiting[flow, mark] = booking
        self.booked += 1
        heapq.heappush(self.line, (booking.at, self.booked, booking))
        return max(booking.at - now, 0.0)

    def find(self, flow: int, mark: int) -> RetryPromise | None:
        return self.waiting.get((flow, mark))

    def claim(self, booking: RetryPromise, work: float, now: float) -> bool:
        """Who was told this time is here; False where it is not the time, or it brings more than was
        promised."""
        if not booking.at - EARLY <= now <= booking.at + WINDOW:
            return False
        if work > GROWN * booking.work + 1e-9:
            return False
        self._drop(booking)
        self.kept += 1
        return True

    def break_one(self) -> None:
        """One that was kept by its coming in time came to nothing after all."""
        self.kept -= 1
        self.broken += 1

    def expire(self, now: float) -> None:
        """Unused places flow back."""
        while self.line and (self.line[0][0] + WINDOW < now or self._dropped(self.line[0][2])):
            _, _, booking = heapq.heappop(self.line)
            if not self._dropped(booking):
                self._drop(booking)
                self.lapsed += 1
        if len(self.line) > 2 * self.most:
            self.line = [entry for entry in self.line if not self._dropped(entry[2])]
            heapq.heapify(self.line)

    def _dropped(self, booking: RetryPromise) -> bool:
        return self.waiting.get((booking.flow, booking.mark)) is not booking

    def _drop(self, booking: RetryPromise) -> None:
        del self.waiting[booking.flow, booking.mark]
        for slot, part in booking.slots.items():
            self._less(self.slots, slot, part)
            self._less(self.by_flow, (slot, booking.flow), part)

    @staticmethod
    def _less(table: dict, key: object, part: float) -> None:  # type: ignore[type-arg]
        left = table.get(key, 0.0) - part
        if left > 1e-9:
            table[key] = left
        else:
            table.pop(key, None)
