"""Room in the spool: who may reserve how much, what is learned of sizes, and when room is expected.

It does no I/O and reads no clock. It owns reservations and promises, and must never throw out a live result
for a new one, or answer a command: what has no room is shed by the decision module, which is told the time.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

LEARNED = 32  # sizes kept of each profile
ENOUGH = 4  # from so many on they count instead of what the operator expects
HIGH = 0.95  # the part of the learned sizes that a reservation covers
SPARE = 1.1  # and so much more
STEP = 64_000  # bytes that a result which outgrows its reservation takes at a time
MOST_PROMISES = 4096  # there are as many at once
WINDOW = 2.0  # seconds for which room that was promised is kept for who comes back
EARLY = 0.05  # seconds that one may be early
LATER = 0.25  # seconds added to an expected time, in which what ended then is deleted; at least
CLEARED = 16  # times that deleting took are kept
SLACK = 1.5  # times the worst of them is added, where that is more
REST = (0.5, 8.0)  # seconds without new results after the disk failed: first, and doubling up to

Frees = Callable[[float, float], list[tuple[float, int, str]]]
Clears = Callable[[float, float], list[tuple[float, int]]]


@dataclass(eq=False, slots=True)
class Promise:
    tenant: str
    mark: int  # of what was asked, by which who comes back is known: a further try has a new id
    size: float
    at: float


@dataclass(eq=False, slots=True)
class Reservation:
    """Room for one result on its way. used: bytes of it that are given to pages; over: nothing is held any
    more."""

    ledger: SpaceAllocator
    tenant: str
    profile: str
    size: int
    used: int = 0
    written: int = 0
    over: bool = False

    def take(self, count: int, now: float) -> bool:
        """So many bytes more are to be written; False: neither its own room nor free room has them."""
        short = self.used + count - self.size
        if short > 0 and not self.ledger.grow(self, short, now):
            return False
        self.used += count
        return True

    def wrote(self, count: int) -> None:
        """So many bytes of it lie on the disk now."""
        if not self.over:
            self.written += count
            self.ledger.written += count

    def took_back(self, taken: int, written: int) -> None:
        """So much counts no more; what was written of it is dead."""
        self.used -= taken
        self.wrote(-written)

    def kept(self, stored: int, plain: int) -> None:
        """The result is whole, and now takes its true size; plain: before it was packed."""
        if not self.over:
            self.free()
            self.ledger.hold(self.tenant, stored)
            self.ledger.learn(self.profile, stored, plain)

    def free(self) -> None:
        """Nothing came of it."""
        if not self.over:
            self.over = True
            self.ledger.count -= 1
            self.ledger.reserved[self.tenant] -= self.size
            self.ledger.written -= self.written


class SpaceAllocator:
    """room: bytes that results may fill. share: the part of it that one tenant may have, quotas: the same for
    some by name. most: results at a time. heed: the longest time to come back that clients heed; 0: none may
    be named. frees: what ends between two moments, and when, by the results' own times. empty: bytes that may
    be written before the folder is full, which also holds what is no more and not yet deleted; clears: files
    that go between two moments, and when."""

    def __init__(
        self,
        room: float,
        expect: float,
        share: float,
        quotas: dict[str, float],
        heed: float,
        frees: Frees,
        most: float = math.inf,
        empty: Callable[[], float] = lambda: math.inf,
        clears: Clears = lambda now, until: [],
    ) -> None:
        self.frees, self.heed, self.most, self.empty, self.clears = frees, heed, most, empty, clears
        self.change(room, expect, share, quotas)
        self.held: dict[str, float] = {}  # by tenant, as the deployment names them
        self.reserved: dict[str, int] = {}
        self.written = 0  # of what is reserved
        self.count = 0  # results, those on their way among them
        self.sizes: dict[str, deque[float]] = {}  # by profile
        self.packing: dict[str, deque[float]] = {}  # stored over plain, by profile
        self.promises: list[Promise] = []
        self.closed_until, self.rest = -math.inf, REST[0]
        self.clearings: deque[float] = deque(maxlen=CLEARED)
        self.turned_away = self.promised = self.kept_word = self.broken = self.outgrown = 0

    def change(self, room: float, expect: float, share: float, quotas: dict[str, float]) -> None:
        self.room, self.expect, self.share, self.quotas = room, expect, share, quotas

    def expected(self, profile: str) -> int:
        """The room that a result of the profile is given: what nine in ten of the last needed."""
        sizes = sorted(self.sizes.get(profile, ()))
        if len(sizes) < ENOUGH:
            return math.ceil(max([self.expect, *(SPARE * size for size in sizes)]))
        return math.ceil(SPARE * sizes[min(math.ceil(HIGH * len(sizes)), len(sizes)) - 1])

    def learn(self, profile: str, size: float, plain: float = 0.0) -> None:
        self.sizes.setdefault(profile, deque(maxlen=LEARNED)).append(size)
        self.packing.setdefault(profile, deque(maxlen=LEARNED)).append(size / plain if plain else 1.0)

    def packs(self, profile: str) -> float:
        """To what part of its plain size a page is thought to be packed, by the worst of the last results."""
        return min(SPARE * max(self.packing.get(profile, (1.0,))), 1.0)

    def hold(self, tenant: str, count: float) -> None:
        """A result more is live, of so many bytes; one less where they are below 0."""
        self.count += 1 if count > 0 else -1
        self.held[tenant] = self.held.get(tenant, 0.0) + count

    def quota(self, tenant: str) -> float:
        return self.room * self.quotas.get(tenant, self.share)

    def _left(self) -> tuple[float, float]:
        """What results may still have, and what the folder may still take."""
        reserved = sum(self.reserved.values())
        return self.room - sum(self.held.values()) - reserved, self.empty() + self.written - reserved

    def free(self) -> float:
        return min(self._left())

    def _to_come(self, now: float) -> list[tuple[float, float, float, str]]:
        """What comes free while a client could still wait for it: time, bytes of results, bytes of the
        folder, whose."""
        ends = [(at, float(count), 0.0, whose) for at, count, whose in self.frees(now, now + self.heed)]
        goes = [(at, 0.0, float(count), "") for at, count in self.clears(now, now + self.heed)]
        return sorted(ends + goes)

    def own(self, tenant: str) -> float:
        """What the tenant may still have."""
        return self.quota(tenant) - self.held.get(tenant, 0.0) - self.reserved.get(tenant, 0.0)

    def reserve(self, tenant: str, profile: str, mark: int, now: float) -> Reservation | float:
        """Room, or the seconds until it is expected; infinite where that can't be said.

        mark: the same for a command and its further tries, and hardly for others. What was promised is kept
        free for those it was promised to, until its window is over."""
        self.promises = [p for p in self.promises if now <= p.at + WINDOW]
        size: float = self.expected(profile)
        if now < self.closed_until:
            self.turned_away += 1
            return self.closed_until - now
        mine = next((p for p in self.promises if p.tenant == tenant and p.mark == mark), None)
        if mine is not None and now < mine.at - EARLY:
            return mine.at - now  # it came too early, and keeps its place
        if mine is not None:  # what others were promised for now stays theirs; what it was itself is enough
            # Files that are being deleted count as gone: the pages of who was told to come wait for that, not
            # the word that was given.
            size = min(size, mine.size)
            results, folder = self._left()
            folder += sum(count for _, count in self.clears(now, now))
            spare = min(results, folder) - sum(p.size for p in self.promises if p is not mine and p.at <= now)
        else:
            spare = self._spare(now)
        if size <= spare and size <= self.own(tenant) and self.count < self.most:
            if mine is not None:
                self.promises.remove(mine)
                self.kept_word += 1
            self.count += 1
            self.reserved[tenant] = self.reserved.get(tenant, 0) + int(size)
            return Reservation(self, tenant, profile, int(size))
        self.turned_away += 1
        if mine is not None:  # the room is late; it is promised again
            self.promises.remove(mine)
            self.broken += 1
        wait = self._wait(tenant, size, now)
        if wait <= self.heed and len(self.promises) < MOST_PROMISES:
            self.promises.append(Promise(tenant, mark, size, now + wait))
            self.promised += 1
        return wait

    def _spare(self, now: float) -> float:
        """The room that can be given away with every promise kept in its time, as far as what ends is
        known."""
        results, folder = self._left()
        lowest = min(results, folder)
        if not self.promises:
            return lowest
        events = [(max(p.at, now), 1, -p.size, -p.size) for p in self.promises]
        events += [(at, 0, ended, gone) for at, ended, gone, _ in self._to_come(now)]
        for _, promise, ended, gone in sorted(events):
            results, folder = results + ended, folder + gone
            lowest = min(lowest, results, folder) if promise else lowest
        return lowest

    def _wait(self, tenant: str, size: float, now: float) -> float:
        """Until what ends has made room for this one behind all that is promised; infinite where it hangs on
        what is under way, or on more than a client waits for."""
        if size > min(self.room, self.quota(tenant)):
            return math.inf
        results, folder = (left - sum(p.size for p in self.promises) for left in self._left())
        own = self.own(tenant) - sum(p.size for p in self.promises if p.tenant == tenant)
        count = self.count
        for at, ended, gone, whose in self._to_come(now):
            results, folder, count = results + ended, folder + gone, count - (ended > 0)
            own += ended if whose == tenant else 0.0
            if min(results, folder, own) >= size and count < self.most:
                return max(at - now, 0.0) + max(LATER, SLACK * max(self.clearings, default=0.0))
        return math.inf

    def cleared(self, took: float) -> None:
        """What was no more has been deleted, so many seconds after its end."""
        self.clearings.append(took)

    def grow(self, reservation: Reservation, short: int, now: float) -> bool:
        """Free room that nobody was promised, for a result that is larger than expected."""
        spare = min(self._spare(now), self.own(reservation.tenant))
        for step in (max(short, STEP), short):
            if step <= spare:
                self.reserved[reservation.tenant] += step
                reservation.size += step
                return True
        self.outgrown += 1
        return False

    def failed(self, now: float) -> float:
        """The disk failed: nothing new for a while, which doubles while it does. The seconds until then."""
        if now >= self.closed_until:
            self.closed_until, self.rest = now + self.rest, min(2.0 * self.rest, REST[1])
        return self.closed_until - now

    def worked(self, now: float) -> None:
        if now >= self.closed_until:
            self.rest = REST[0]
