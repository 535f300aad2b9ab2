"""Allocates the spool's room: who may reserve how much, what sizes to expect, and when room will be free.

It does no I/O and reads no clock: times are float Unix seconds and sizes are bytes. It owns reservations and
retry promises. It must never evict a live result for a new one, or answer a request: the scheduler sheds what
has no room, and is given the time after which to retry.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

MAX_LEARNED_SIZES = 32  # sizes remembered for each profile
MIN_LEARNED_SIZES = 4  # below this count the operator's setting is a lower bound of the expected size
SIZE_QUANTILE = 0.95  # share of the learned sizes that a reservation covers
SAFETY_FACTOR = 1.1  # applied to learned sizes and compression ratios
GROWTH_STEP_BYTES = 64_000  # growth of a reservation whose result needs more, if there is room
MAX_PROMISES = 4096  # maximum number of open retry promises
PROMISE_WINDOW_S = 2.0  # time for which promised room is kept after the promised time
EARLY_TOLERANCE_S = 0.05  # time by which a promised request may be early
MIN_DELETION_DELAY_S = 0.25  # lower bound on what is added to an expiry for deleting the expired files
MAX_DELETION_DELAYS = 16  # number of measured deletion delays remembered
DELETION_DELAY_FACTOR = 1.5  # applied to the longest of the remembered delays
BACKOFF_S = (
    0.5,
    8.0,
)  # seconds without new results after a disk failure: first value, and upper bound of its doubling

UpcomingExpiries = Callable[[float, float], list[tuple[float, int, str]]]
UpcomingDeletions = Callable[[float, float], list[tuple[float, int]]]


@dataclass(eq=False, slots=True)
class RetryPromise:
    """Room reserved for a request that was shed with a Retry-After.

    Attributes:
        tenant: the request's tenant.
        fingerprint: hash of the statement. A retry has a new request id and is recognized by this.
        size: bytes promised.
        due_at: time at which the client was told to retry.
    """

    tenant: str
    fingerprint: int
    size: float
    due_at: float


@dataclass(eq=False, slots=True)
class Reservation:
    """Room for a result that is not committed yet.

    Attributes:
        allocator: the allocator that granted it.
        tenant: the tenant that it is charged to.
        profile: profile of the request.
        size: bytes reserved.
        used: reserved bytes that are assigned to pages.
        written: reserved bytes that are on disk.
        released: whether the reservation has ended.
    """

    allocator: SpaceAllocator
    tenant: str
    profile: str
    size: int
    used: int = 0
    written: int = 0
    released: bool = False

    def take(self, count: int, now: float) -> bool:
        """Assigns bytes to a page, growing the reservation where it is too small.

        Returns:
            False where neither the reservation nor free room has that many bytes.
        """
        shortfall = self.used + count - self.size
        if shortfall > 0 and not self.allocator.grow(self, shortfall, now):
            return False
        self.used += count
        return True

    def add_written(self, count: int) -> None:
        """Notes that so many more bytes of the result are on disk."""
        if not self.released:
            self.written += count
            self.allocator.written += count

    def give_back(self, taken: int, written: int) -> None:
        """Returns the bytes of a discarded attempt.

        Args:
            taken: bytes that were assigned to the attempt's pages.
            written: bytes of the attempt on disk, which are dead now.
        """
        self.used -= taken
        self.add_written(-written)

    def commit_result(self, stored_bytes: int, raw_bytes: int) -> None:
        """Replaces the reservation by the committed result's true size.

        Args:
            stored_bytes: bytes that the result takes on disk.
            raw_bytes: bytes of the result before compression.
        """
        if not self.released:
            self.release()
            self.allocator.adjust_held(self.tenant, stored_bytes)
            self.allocator.learn(self.profile, stored_bytes, raw_bytes)

    def release(self) -> None:
        """Returns everything that is reserved; without effect the second time."""
        if not self.released:
            self.released = True
            self.allocator.result_count -= 1
            self.allocator.reserved[self.tenant] -= self.size
            self.allocator.written -= self.written


class SpaceAllocator:
    """Divides the room among tenants, and promises room to requests that find none.

    Attributes:
        room: maximum bytes of all results.
        default_size: expected size of a result of a profile with few learned sizes.
        tenant_share: share of the room that one tenant may use.
        tenant_quotas: share of the room that single tenants may use, by name.
        max_retry_after_s: longest Retry-After that may be given, in seconds; 0 if none may be.
        max_results: bound on the number of results.
        upcoming_expiries: given two times, returns time, bytes and tenant of each result that expires between
            them if it is not read before.
        writable_bytes: returns how many bytes may be written before the folder is full; the folder also holds
            dead bytes that are not deleted yet.
        upcoming_deletions: given two times, returns time and bytes of each file that can be deleted between
            them.
        held: bytes of live results, by the tenant's name in the deployment.
        reserved: bytes reserved, by tenant.
        written: reserved bytes that are already on disk.
        result_count: number of results, reserved ones included.
        learned_sizes: stored sizes of the last results, by profile.
        compression_ratios: stored over raw size of the last results, by profile.
        promises: the retry promises that are open.
        closed_until: time before which no reservation is granted, because the disk failed.
        backoff_s: seconds for which the next disk failure closes the spool.
        deletion_delays: seconds from the end of a file's last result to its deletion, for the last deletions.
        shed_count: number of requests that got no room.
        promised_count: number of retry promises given.
        kept_count: number of promises whose request got its room.
        broken_count: number of promises whose request came back at its time and found no room.
        outgrown_count: number of results that needed more than their reservation and found no free room.
    """

    def __init__(
        self,
        room: float,
        default_size: float,
        tenant_share: float,
        tenant_quotas: dict[str, float],
        max_retry_after_s: float,
        upcoming_expiries: UpcomingExpiries,
        max_results: float = math.inf,
        writable_bytes: Callable[[], float] = lambda: math.inf,
        upcoming_deletions: UpcomingDeletions = lambda now, until: [],
    ) -> None:
        (
            self.upcoming_expiries,
            self.max_retry_after_s,
            self.max_results,
            self.writable_bytes,
            self.upcoming_deletions,
        ) = (upcoming_expiries, max_retry_after_s, max_results, writable_bytes, upcoming_deletions)
        self.set_limits(room, default_size, tenant_share, tenant_quotas)
        self.held: dict[str, float] = {}
        self.reserved: dict[str, int] = {}
        self.written = 0
        self.result_count = 0
        self.learned_sizes: dict[str, deque[float]] = {}
        self.compression_ratios: dict[str, deque[float]] = {}
        self.promises: list[RetryPromise] = []
        self.closed_until, self.backoff_s = -math.inf, BACKOFF_S[0]
        self.deletion_delays: deque[float] = deque(maxlen=MAX_DELETION_DELAYS)
        self.shed_count = self.promised_count = self.kept_count = self.broken_count = self.outgrown_count = 0

    def set_limits(
        self, room: float, default_size: float, tenant_share: float, tenant_quotas: dict[str, float]
    ) -> None:
        """Replaces the limits that a reload may change."""
        self.room, self.default_size, self.tenant_share, self.tenant_quotas = (
            room,
            default_size,
            tenant_share,
            tenant_quotas,
        )

    def expected_size(self, profile: str) -> int:
        """Returns the bytes to reserve for a result of the profile.

        This is the SIZE_QUANTILE of the learned sizes, times a safety factor. While few sizes are known it is
        the largest of them, times the same factor, and at least the default.
        """
        sizes = sorted(self.learned_sizes.get(profile, ()))
        if len(sizes) < MIN_LEARNED_SIZES:
            return math.ceil(max([self.default_size, *(SAFETY_FACTOR * size for size in sizes)]))
        return math.ceil(SAFETY_FACTOR * sizes[min(math.ceil(SIZE_QUANTILE * len(sizes)), len(sizes)) - 1])

    def learn(self, profile: str, stored_bytes: float, raw_bytes: float = 0.0) -> None:
        """Remembers the size of a committed result.

        Args:
            profile: profile of the request.
            stored_bytes: bytes that the result takes on disk.
            raw_bytes: bytes of it before compression; 0 if not known, which counts as not compressible.
        """
        self.learned_sizes.setdefault(profile, deque(maxlen=MAX_LEARNED_SIZES)).append(stored_bytes)
        self.compression_ratios.setdefault(profile, deque(maxlen=MAX_LEARNED_SIZES)).append(
            stored_bytes / raw_bytes if raw_bytes else 1.0
        )

    def expected_ratio(self, profile: str) -> float:
        """Returns the compression ratio to expect of a page, from the worst of the last results."""
        return min(SAFETY_FACTOR * max(self.compression_ratios.get(profile, (1.0,))), 1.0)

    def adjust_held(self, tenant: str, count: float) -> None:
        """Counts one more live result of so many bytes; one less if the count is negative."""
        self.result_count += 1 if count > 0 else -1
        self.held[tenant] = self.held.get(tenant, 0.0) + count

    def quota(self, tenant: str) -> float:
        """Returns the bytes that the tenant may use."""
        return self.room * self.tenant_quotas.get(tenant, self.tenant_share)

    def _remaining(self) -> tuple[float, float]:
        """Returns the bytes that results may still take, and those that the folder may still take."""
        reserved = sum(self.reserved.values())
        return (
            self.room - sum(self.held.values()) - reserved,
            self.writable_bytes() + self.written - reserved,
        )

    def free_bytes(self) -> float:
        """Returns the bytes that can still be reserved, promises disregarded."""
        return min(self._remaining())

    def _upcoming(self, now: float) -> list[tuple[float, float, float, str]]:
        """Returns what becomes free while a client could still wait for it.

        Returns:
            Time, bytes of results, bytes of the folder, and the tenant of a result.
        """
        expiries = [
            (at, float(count), 0.0, owner)
            for at, count, owner in self.upcoming_expiries(now, now + self.max_retry_after_s)
        ]
        deletions = [
            (at, 0.0, float(count), "")
            for at, count in self.upcoming_deletions(now, now + self.max_retry_after_s)
        ]
        return sorted(expiries + deletions)

    def tenant_remaining(self, tenant: str) -> float:
        """Returns the bytes of its quota that the tenant may still use."""
        return self.quota(tenant) - self.held.get(tenant, 0.0) - self.reserved.get(tenant, 0.0)

    def reserve(self, tenant: str, profile: str, fingerprint: int, now: float) -> Reservation | float:
        """Reserves room for a result.

        Promised room is kept free for the promised requests until their window is over.

        Args:
            tenant: the request's tenant.
            profile: the request's profile.
            fingerprint: the same for a request and its retries, and different for nearly all others.
            now: the present time.

        Returns:
            The reservation, or the seconds until room is expected; infinite where that is not known.
        """
        self.promises = [p for p in self.promises if now <= p.due_at + PROMISE_WINDOW_S]
        size: float = self.expected_size(profile)
        if now < self.closed_until:
            self.shed_count += 1
            return self.closed_until - now
        own_promise = next(
            (p for p in self.promises if p.tenant == tenant and p.fingerprint == fingerprint), None
        )
        if own_promise is not None and now < own_promise.due_at - EARLY_TOLERANCE_S:
            return own_promise.due_at - now  # too early: the promise stays
        if own_promise is not None:
            # What was promised to it is enough, even if larger sizes have been learned since. What is
            # promised to others and due by now stays theirs. Files that are being deleted count as deleted:
            # the pages of a promised request wait for the deletion, so that its admission need not.
            size = min(size, own_promise.size)
            results, folder = self._remaining()
            folder += sum(count for _, count in self.upcoming_deletions(now, now))
            spare = min(results, folder) - sum(
                p.size for p in self.promises if p is not own_promise and p.due_at <= now
            )
        else:
            spare = self._unpromised(now)
        if size <= spare and size <= self.tenant_remaining(tenant) and self.result_count < self.max_results:
            if own_promise is not None:
                self.promises.remove(own_promise)
                self.kept_count += 1
            self.result_count += 1
            self.reserved[tenant] = self.reserved.get(tenant, 0) + int(size)
            return Reservation(self, tenant, profile, int(size))
        self.shed_count += 1
        if own_promise is not None:  # the room is not free in time; it is promised again below
            self.promises.remove(own_promise)
            self.broken_count += 1
        wait = self._expected_wait(tenant, size, now)
        if wait <= self.max_retry_after_s and len(self.promises) < MAX_PROMISES:
            self.promises.append(RetryPromise(tenant, fingerprint, size, now + wait))
            self.promised_count += 1
        return wait

    def _unpromised(self, now: float) -> float:
        """Returns the bytes that can be given away so that every promise can still be kept at its time.

        Expiries and deletions that are known to come before a promise are counted in its favour.
        """
        results, folder = self._remaining()
        lowest = min(results, folder)
        if not self.promises:
            return lowest
        events = [(max(p.due_at, now), 1, -p.size, -p.size) for p in self.promises]
        events += [(at, 0, expired, deleted) for at, expired, deleted, _ in self._upcoming(now)]
        for _, is_promise, expired, deleted in sorted(events):
            results, folder = results + expired, folder + deleted
            lowest = min(lowest, results, folder) if is_promise else lowest
        return lowest

    def _expected_wait(self, tenant: str, size: float, now: float) -> float:
        """Returns the seconds until expiries have made room for this size, after all promises.

        Returns:
            Infinite where that depends on results that are not committed yet, or takes longer than clients
            wait.
        """
        if size > min(self.room, self.quota(tenant)):
            return math.inf
        results, folder = (left - sum(p.size for p in self.promises) for left in self._remaining())
        own = self.tenant_remaining(tenant) - sum(p.size for p in self.promises if p.tenant == tenant)
        result_count = self.result_count
        for at, expired, deleted, owner in self._upcoming(now):
            results, folder, result_count = results + expired, folder + deleted, result_count - (expired > 0)
            own += expired if owner == tenant else 0.0
            if min(results, folder, own) >= size and result_count < self.max_results:
                return max(at - now, 0.0) + max(
                    MIN_DELETION_DELAY_S, DELETION_DELAY_FACTOR * max(self.deletion_delays, default=0.0)
                )
        return math.inf

    def record_deletion(self, delay_s: float) -> None:
        """Remembers how many seconds after the end of its last result a file was deleted."""
        self.deletion_delays.append(delay_s)

    def grow(self, reservation: Reservation, shortfall: int, now: float) -> bool:
        """Grows a reservation by free room that is promised to no one.

        Args:
            reservation: a reservation whose result is larger than expected.
            shortfall: minimum number of bytes that it needs.
            now: the present time.

        Returns:
            False where there is not enough room.
        """
        spare = min(self._unpromised(now), self.tenant_remaining(reservation.tenant))
        for step in (max(shortfall, GROWTH_STEP_BYTES), shortfall):
            if step <= spare:
                self.reserved[reservation.tenant] += step
                reservation.size += step
                return True
        self.outgrown_count += 1
        return False

    def on_disk_failure(self, now: float) -> float:
        """Grants no reservation for a while, which doubles with each failure after it.

        Returns:
            Seconds until reservations are granted again.
        """
        if now >= self.closed_until:
            self.closed_until, self.backoff_s = now + self.backoff_s, min(2.0 * self.backoff_s, BACKOFF_S[1])
        return self.closed_until - now

    def on_disk_success(self, now: float) -> None:
        """Resets the backoff, unless the spool is still closed by a failure."""
        if now >= self.closed_until:
            self.backoff_s = BACKOFF_S[0]
