"""Retry promises: places that are reserved for requests that were shed with a Retry-After.

Time is divided into slots; each promise takes a part of the work that the slots from its time on can hold.
It does no I/O and reads no clock. It owns the promises, bounded in number, and must never promise more work
for a time than will be free then, nor keep a place for one request at the cost of another's.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field

SLOT_S = 0.1
PROMISABLE_SHARE = 0.7  # part of a slot's work; the rest is left for requests without a promise
MAX_EARLY_S = 0.05  # tolerance for retries that come before their time
CLAIM_WINDOW_S = 1.0  # a place is kept for this long after its time
MAX_WORK_GROWTH = 1.1  # factor by which a retry may exceed the work that was promised


@dataclass(eq=False, slots=True)
class RetryPromise:
    """A place reserved for one request.

    Attributes:
        flow: Key of the request's flow.
        fingerprint: Equal for each retry of a request.
        work: Seconds on one thread.
        due_at: When the client was told to retry, in seconds on a monotonic clock.
        work_by_slot: Reserved work by slot number.
    """

    flow: int
    fingerprint: int
    work: float
    due_at: float
    work_by_slot: dict[int, float] = field(default_factory=dict)


class RetryPromises:
    """The open promises and the work that they reserve in each slot.

    Args:
        max_retry_after_s: The longest Retry-After that clients comply with; 0 if none may be named.
        max_open: Promises that may be open at a time.

    Attributes:
        work_by_slot: Reserved work by slot number.
        work_by_slot_and_flow: The same for each flow.
        open: Open promises by flow and fingerprint.
        expiry_heap: Promises by time; may hold closed ones.
        made_count: Promises that were made.
        kept_count: Promises whose request was admitted on its retry.
        expired_count: Promises whose request did not come in time.
        broken_count: Promises whose request came in time and was not served.
        refused_count: Requests that were shed without a promise, though promises may be made.
    """

    def __init__(self, max_retry_after_s: float, max_open: int) -> None:
        self.max_retry_after_s, self.max_open = max_retry_after_s, max_open
        self.work_by_slot: dict[int, float] = {}
        self.work_by_slot_and_flow: dict[tuple[int, int], float] = {}
        self.open: dict[tuple[int, int], RetryPromise] = {}
        self.expiry_heap: list[tuple[float, int, RetryPromise]] = []
        self.made_count = self.kept_count = self.expired_count = self.broken_count = self.refused_count = 0

    def make(
        self,
        flow: int,
        fingerprint: int,
        work: float,
        now: float,
        rate: float,
        backlog: float,
        max_share: float = 0.5,
    ) -> float:
        """Reserves a place for a request that is shed.

        Args:
            flow: Key of the request's flow.
            fingerprint: Equal for each retry of the request.
            work: Seconds on one thread.
            now: Seconds on a monotonic clock.
            rate: Work done a second.
            backlog: Work that waits already.
            max_share: Part of a slot's promisable work that one flow may take.

        Returns:
            Seconds until the reserved place; infinite where there is none within `max_retry_after_s`.
        """
        if self.max_retry_after_s <= 0:
            return math.inf
        if len(self.open) >= self.max_open or rate <= 0:
            self.refused_count += 1
            return math.inf
        first_slot = int((now + backlog / rate) / SLOT_S) + 1
        last_slot = int((now + self.max_retry_after_s) / SLOT_S)
        slot_room, flow_room = rate * SLOT_S * PROMISABLE_SHARE, rate * SLOT_S * PROMISABLE_SHARE * max_share
        remaining, taken = work, dict[int, float]()
        for slot in range(first_slot, last_slot + 1):
            free = min(
                slot_room - self.work_by_slot.get(slot, 0.0),
                flow_room - self.work_by_slot_and_flow.get((slot, flow), 0.0),
            )
            if free > 1e-9:
                taken[slot] = min(free, remaining)
                remaining -= taken[slot]
                if remaining <= 1e-9:
                    break
            elif taken:  # a place is contiguous: work larger than a slot takes those that follow
                remaining, taken = work, {}
        if remaining > 1e-9:
            self.refused_count += 1
            return math.inf
        if (flow, fingerprint) in self.open:
            self._close(self.open[flow, fingerprint])
        start_slot = min(taken)
        promise = RetryPromise(flow, fingerprint, work, start_slot * SLOT_S, taken)
        for slot, part in taken.items():
            self.work_by_slot[slot] = self.work_by_slot.get(slot, 0.0) + part
            self.work_by_slot_and_flow[slot, flow] = self.work_by_slot_and_flow.get((slot, flow), 0.0) + part
        self.open[flow, fingerprint] = promise
        self.made_count += 1
        heapq.heappush(self.expiry_heap, (promise.due_at, self.made_count, promise))
        return max(promise.due_at - now, 0.0)

    def find(self, flow: int, fingerprint: int) -> RetryPromise | None:
        """Returns the open promise of a request, None if it has none."""
        return self.open.get((flow, fingerprint))

    def claim(self, promise: RetryPromise, work: float, now: float) -> bool:
        """Closes a promise as kept, if its request comes in time and with no more work than was promised.

        Returns:
            Whether the promise was closed; False if the time or the work does not fit it.
        """
        if not promise.due_at - MAX_EARLY_S <= now <= promise.due_at + CLAIM_WINDOW_S:
            return False
        if work > MAX_WORK_GROWTH * promise.work + 1e-9:
            return False
        self._close(promise)
        self.kept_count += 1
        return True

    def record_broken(self) -> None:
        """Counts a kept promise as broken, since its request came in time but was not served."""
        self.kept_count -= 1
        self.broken_count += 1

    def expire(self, now: float) -> None:
        """Closes the promises whose request did not come in time, which frees their places."""
        while self.expiry_heap and (
            self.expiry_heap[0][0] + CLAIM_WINDOW_S < now or self._is_closed(self.expiry_heap[0][2])
        ):
            _, _, promise = heapq.heappop(self.expiry_heap)
            if not self._is_closed(promise):
                self._close(promise)
                self.expired_count += 1
        if len(self.expiry_heap) > 2 * self.max_open:
            self.expiry_heap = [entry for entry in self.expiry_heap if not self._is_closed(entry[2])]
            heapq.heapify(self.expiry_heap)

    def _is_closed(self, promise: RetryPromise) -> bool:
        return self.open.get((promise.flow, promise.fingerprint)) is not promise

    def _close(self, promise: RetryPromise) -> None:
        del self.open[promise.flow, promise.fingerprint]
        for slot, part in promise.work_by_slot.items():
            self._subtract(self.work_by_slot, slot, part)
            self._subtract(self.work_by_slot_and_flow, (slot, promise.flow), part)

    @staticmethod
    def _subtract(table: dict, key: object, part: float) -> None:  # type: ignore[type-arg]
        difference = table.get(key, 0.0) - part
        if difference > 1e-9:
            table[key] = difference
        else:
            table.pop(key, None)
