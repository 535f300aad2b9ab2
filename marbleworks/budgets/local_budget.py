"""What one router may use of each budget: its base, its part, and what it has in use. No I/O, no clock.

It owns the parts that were given and the units in use. A unit is in use from when a command takes it until it
is surely over; a part is void once its lease has run out by our own clock. It must never let more units be
taken than base and part are at that moment, or believe an older grant. docs/design/budgets.md has the proof.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field, replace

from marbleworks.budgets.budget_catalog import DOUBT, Budget
from marbleworks.budgets.codec import Answer, Entry, Report, parts
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT

PACE_OVER = 2.0  # seconds over which the pace of ends is counted
FLOWS_OVER = 0.3  # seconds over which what comes is counted
USUAL_HOLD = 0.1  # seconds for which a unit is in use, before any was
LEARNS = 0.05  # part of the last in what is learned of that
WAITS = 64  # commands that are told apart as waiting for one budget
TOKENS = 64  # reports that may still be answered


@dataclass(eq=False, slots=True)
class LocalBudget:
    """One budget as this router has it."""

    whole: Budget
    agreed: int  # units of the smallest whole that any router told, where we know; our base is of it
    base: int
    base_from: float = -math.inf  # what an earlier process of our name took is over by then
    units: int = 0  # of our part
    until: float = -math.inf
    of: tuple[int, int, int] = (-1, 0, 0)  # whose part it is: a divider, its start and which right of it
    lost: int = 0  # of a part that ran out last, if that divider has not heard so
    serial: int = 0
    said: int = 0  # held, by our last report that was answered
    owes: bool = True  # a report to the present divider, whatever there is to say
    leaves: bool = False  # what we had of the group that we were in is in use yet, and counted there
    out: int = 0  # taken and not given back
    leaving: list[float] = field(default_factory=list)  # when each of the others is over, a heap
    asked: float = 0.0  # commands that came for it since the last report, and ...
    flow: float = 0.0  # ... a second, of late
    hold: float = USUAL_HOLD  # seconds for which a unit is in use, of late
    waiting: set[str] = field(default_factory=set)  # refused since the last report
    worth: float = 0.0  # of those, together
    ends: deque[float] = field(default_factory=lambda: deque(maxlen=256))

    def used(self, now: float) -> int:
        while self.leaving and self.leaving[0] <= now:
            heapq.heappop(self.leaving)
        return self.out + len(self.leaving)

    def part(self, now: float) -> int:
        return self.units if now < self.until else 0

    def most(self, now: float) -> int:
        """Units that may be in use."""
        return (self.base if now >= self.base_from else 0) + self.part(now)

    def room(self, now: float, units: int = 1) -> bool:
        return self.used(now) + units <= self.most(now)

    def held(self, now: float) -> int:
        """Beyond the base: what may be used, or still is."""
        return max(self.part(now), self.used(now) - self.base, 0)

    def wanted(self, now: float, since: float, share: int) -> int:
        """What would be in use if all that comes found room: how much comes times how long it stays. Where
        that is not counted, what is in use and what waits."""
        used = self.used(now)
        if not self.asked and not self.flow:
            return used + math.ceil(len(self.waiting) / share)
        memory = math.exp(-since / FLOWS_OVER)
        self.flow = self.flow * memory + self.asked / max(since, 1e-3) * (1.0 - memory)
        self.flow, self.asked = (self.flow if self.flow > 1e-2 else 0.0), 0.0
        return max(math.ceil(self.flow * (self.whole.span or self.hold) - 0.05), used + bool(self.waiting))

    def held_for(self, seconds: float) -> None:
        self.hold += LEARNS * (seconds - self.hold)

    def pace(self, now: float) -> float:
        """Units a second that have come free lately; of a rate no less than what it gives."""
        while self.ends and self.ends[0] < now - PACE_OVER:
            self.ends.popleft()
        least = self.most(now) / self.whole.span if self.whole.span else 0.0
        return max(len(self.ends) / PACE_OVER, least)


class LocalBudgets:
    """me: our number of `count`, by the settings. Where routers don't know each other (kept None) each has an
    even part for good. began: when our process did; what one before it had out is over a while after that.
    shares: even shares in what is kept, if more than count."""

    POCKET: type[LocalBudget] = LocalBudget

    def __init__(
        self, me: int, count: int, kept: float | None, lease: float, began: float, shares: int = 0
    ) -> None:
        self.me, self.count, self.kept, self.lease, self.began = me, count, kept, lease, began
        self.shares, self.joined = shares or count, began  # joined: the group that we are in
        self.pockets: dict[int, LocalBudget] = {}
        self.token = 0
        self.tokens: dict[int, tuple[float, dict[int, int]]] = {}  # when each was told, and held by budget
        self.heeded, self.reign = (-1, 0), 0  # the divider that we tell, its start, and which right of it
        self.closed, self.told_at = False, began
        self.version = self.digest = 0

    def planned(self, wholes: list[Budget], now: float) -> None:
        """The budgets there are from now on. Of one that is there already the whole changes: a base shrinks
        at once, and grows when the divider says that all know the larger whole."""
        there = {whole.number: whole for whole in wholes}
        for number in [n for n, p in self.pockets.items() if n not in there and not p.used(now)]:
            del self.pockets[number]
        for number, whole in there.items():
            pocket = self.pockets.get(number)
            if pocket is None:
                base = self._base(whole, whole.units)
                self.pockets[number] = self.POCKET(
                    whole, whole.units, base, self.began + whole.quiet * (1 + MAX_CLOCK_DRIFT)
                )
            elif pocket.whole != whole:
                pocket.whole, pocket.agreed = whole, min(pocket.agreed, whole.units)
                pocket.base = self._base(whole, whole.units if self.kept is None else pocket.agreed)

    def _base(self, whole: Budget, units: int) -> int:
        agreed = replace(whole, units=units)
        return agreed.even(self.me, self.count) if self.kept is None else agreed.base(self.kept, self.shares)

    # What commands take.

    def take(self, pocket: LocalBudget, now: float, units: int = 1) -> float:
        """So many units, where there is room; of a level one. Until when what took it may begin: with its
        lease ends the right to a part, also for one that stands still in between."""
        own = pocket.base if now >= pocket.base_from else 0
        begin_by = math.inf if pocket.used(now) < own else pocket.until
        if pocket.whole.span:
            for _ in range(units):
                heapq.heappush(pocket.leaving, now + pocket.whole.span * (1 + MAX_CLOCK_DRIFT))
                pocket.ends.append(now + pocket.whole.span)
        else:
            pocket.out += 1
        return begin_by

    def give_back(self, pocket: LocalBudget, now: float, doubt: bool) -> None:
        """Of a level: its command is over. doubt: it may run on at its engine, which ends it within DOUBT."""
        pocket.out -= 1
        pocket.ends.append(now)
        if doubt:
            heapq.heappush(pocket.leaving, now + DOUBT)

    def overdue(self, now: float) -> list[tuple[LocalBudget, int]]:
        """Levels whose lease ran out so long ago that what is out beyond the base has to be called off, and
        how many of those."""
        found = []
        for pocket in self.pockets.values() if self.kept is not None else ():
            beyond = pocket.out - pocket.base
            ends = pocket.until + (pocket.whole.settle - DOUBT) * (1 - 2 * MAX_CLOCK_DRIFT)
            if beyond > 0 and not pocket.whole.span and now >= ends:
                found.append((pocket, beyond))
        return found

    # What is told to the divider, and what it answers.

    def reports(
        self, to: int, to_start: int, start: int, now: float, share: int = 1, leaving: bool = False
    ) -> list[Report]:
        """All that we have, use or want. share: budgets over which one that waits for several is counted.
        leaving: nothing more is wanted."""
        if (to, to_start) != self.heeded:
            self.heed(to, to_start, 0)
        entries = []
        for number, pocket in self.pockets.items():
            pocket.leaves = pocket.leaves and pocket.held(now) > 0
            if pocket.leaves:
                pocket.waiting.clear()
                pocket.worth, pocket.asked = 0.0, 0.0
                continue
            if now >= pocket.until and pocket.units:
                # A late answer can't bring it back, a grant can. Who gave it hears so now, and gives it away.
                pocket.lost = pocket.units if pocket.of != (*self.heeded, self.reign) else 0
                pocket.units = 0
            used, waits, held = pocket.used(now), len(pocket.waiting), pocket.held(now)
            if held or used or waits or pocket.said or pocket.owes or pocket.asked or pocket.flow:
                worth = pocket.worth / waits if waits else 1.0
                want = 0 if leaving else pocket.wanted(now, now - self.told_at, share)
                # Whoever divided before counted a part that ran out for so long at least.
                counted = now < pocket.until + pocket.whole.settle * (1 - 2 * MAX_CLOCK_DRIFT)
                had = max(held, pocket.lost if counted and not pocket.units else 0)
                whole, base = pocket.whole.units, pocket.base
                entries.append(Entry(number, pocket.serial, held, used, want, worth, whole, base, had))
            pocket.waiting.clear()
            pocket.worth = 0.0
        self.told_at, told = now, []
        for some in parts(entries) if entries else [()]:
            age = self.age(some, now)
            self.token += 1
            token = (start & 0xFFFF) << 24 | self.token & 0xFFFFFF
            self.tokens[token] = now, {entry.number: entry.held for entry in some}
            told.append(
                Report(start, to_start, self.reign, token, self.version, self.digest, leaving, age, some)
            )
        while len(self.tokens) > TOKENS:
            del self.tokens[next(iter(self.tokens))]
        return told

    def age(self, entries: tuple[Entry, ...], now: float) -> int:
        """Milliseconds since we began or joined, as whoever divides is told."""
        return max(int(1000.0 * (now - self.joined)), 0)

    def heed(self, to: int, to_start: int, reign: int) -> None:
        """We tell another divider from now on, in this time that it has the right; 0: we don't know which."""
        self.heeded, self.reign = (to, to_start), reign
        self._anew()

    def _anew(self) -> None:
        """Another divider, or another right of the same: its numbers are its own, and what an older one still
        says counts no more. What we hold we go on holding."""
        for pocket in self.pockets.values():
            pocket.serial, pocket.owes = 0, True
        self.tokens.clear()

    def answered(self, by: int, answer: Answer, now: float) -> bool:
        """Whether it was an answer to us, of the divider that we tell now and in its present right."""
        if (by, answer.start) != self.heeded or answer.token not in self.tokens or answer.reign < self.reign:
            return False
        told_at, said = self.tokens[answer.token]
        if answer.reign > self.reign:
            self.reign = answer.reign
            self._anew()
            return True
        until = told_at + self.lease * (1 - MAX_CLOCK_DRIFT)
        for grant in answer.grants:
            pocket = self.pockets.get(grant.number)
            if pocket is None or grant.serial < pocket.serial:
                continue  # late
            if grant.serial == pocket.serial:
                pocket.until = max(pocket.until, until)
            else:
                units = 0 if self.closed else grant.units
                pocket.serial, pocket.units, pocket.until = grant.serial, units, until
                pocket.of, pocket.lost = (*self.heeded, self.reign), 0
            pocket.said, pocket.owes = said.get(grant.number, 0), False
            pocket.agreed = min(grant.whole, pocket.whole.units)
            pocket.base = self._base(pocket.whole, pocket.agreed)
        return True

    def moved(self, me: int, now: float) -> None:
        """To that place of another group, which knows nothing of what we have of ours: our parts end now, and
        it hears of a budget when all that we had out beyond our base is over. Our bases go with us."""
        self.me, self.joined = me, now
        for pocket in self.pockets.values():
            pocket.units = pocket.lost = pocket.said = 0
            pocket.leaves = True
        self.heed(-1, 0, 0)

    def void(self) -> None:
        """Another process has our name, or we stop: our parts end now, and none is taken again."""
        self.closed = True
        for pocket in self.pockets.values():
            pocket.units, pocket.until = 0, -math.inf
