"""The books of whoever divides: what each member has of each budget, at most. No I/O, no clock.

It owns, for as long as its router has the group's exclusive right, an account for each member and budget. An
account is the most that the member may believe it has: what it said, and each grant since that it may have
got. It must never grant so much that all accounts together, with what is not known, are more than is divided.
docs/design/budgets.md has the proof. Times are float seconds of one clock.

Two things differ from one level of a fleet to the next, and are given: who the `Members` are (routers'
processes, here; cells in `cells/`), and what is divided, the `Backing` (the whole, here; what is leased from
the level above in `cells/`).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from marbleworks.budgets.budget_catalog import HIGHEST, Budget
from marbleworks.budgets.codec import Answer, Entry, Grant, Report
from marbleworks.budgets.fair_division import Need, divided
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT

EVERY = 0.1  # seconds between divisions of one budget
QUIET = 1.0  # seconds without a report after which a router's need counts no more
MOST_BUDGETS = 4096
SPARE_BUDGETS = 64  # beyond twice our own; then those are forgotten of which nothing is held
MOST_SEEN = 7  # different wholes of one budget that are remembered
LONG = 60.0  # seconds in which what a budget that we don't have has out ends for sure


@dataclass(eq=False, slots=True)
class MemberAccount:
    """What one member has of one budget, beyond its base."""

    held: int = 0  # by its last report
    told: dict[int, int] = field(default_factory=dict)  # grants by serial that it may not have owned up to
    serial: int = 0  # of the last grant, and ...
    units: int = 0  # ... what it was
    until: float = -math.inf  # it holds nothing from then on
    token: int = -1  # of its last report
    used: int = 0
    base: int = 0
    whole: int = 0
    need: Need = field(default_factory=Need)
    heard: float = -math.inf

    @property
    def most(self) -> int:
        return max(self.held, *self.told.values()) if self.told else self.held


@dataclass(eq=False, slots=True)
class BudgetAllocation:
    """One budget. settle: seconds after a lease in which what was out beyond a base ends; quiet: seconds
    after the end of a process in which what it had in use does. What is derived (whole, bases, total, shares)
    is worked out anew ten times a second, and when a report changes it."""

    settle: float
    quiet: float
    seen: set[int]  # wholes that any router told
    number: int = 0
    whole: int = 0
    bases: int = 0
    total: int = 0  # of all accounts
    accounts: dict[int, MemberAccount] = field(default_factory=dict)
    old: list[MemberAccount] = field(default_factory=list)  # of processes that have been followed
    owned_up: int = 0  # held by those who reported for the first time, of whom ...
    over_at: float = -math.inf  # ... all that processes had which they have followed is over then
    shares: dict[int, int] = field(default_factory=dict)
    divided_at: float = -math.inf


class Members:
    """Whose accounts these are: processes of routers, each with a base that it always may use. count: of them
    by the settings; kept: part of a whole of which each has an even share; shares: of those, if more than
    there are members here.

    A process that is followed by another of its name is dead, and its engines end what it had within the
    book's `quiet`; its account lasts that long beside the new one's."""

    def __init__(self, count: int, kept: float, shares: int = 0) -> None:
        self.count, self.kept, self.shares = count, kept, shares or count

    def base(self, whole: int) -> int:
        """Units that one router always may use."""
        return int(self.kept * whole) // self.shares

    def largest(self, book: BudgetAllocation) -> int:
        """The largest base that one of those may have who have not told theirs."""
        return max(self.base(whole) for whole in book.seen)

    def bases(self, book: BudgetAllocation) -> int:
        """Units of all bases: as told, and for those that have not told theirs the most that it may be."""
        told = sum(account.base for account in book.accounts.values())
        return told + self.largest(book) * (self.count - len(book.accounts))

    def beyond(self, whole: int) -> int:
        """Units of a whole that are divided beyond all bases."""
        return whole - self.shares * self.base(whole)

    def seen(self, entry: Entry) -> tuple[int, int]:
        """Units that a member was seen to use, and those of them that its base covers."""
        return entry.used, entry.base

    def unsure(self, report: Report) -> bool:
        """Whether the member doesn't know itself what it may have out."""
        return False

    def ended(self, book: BudgetAllocation, lease: float, now: float) -> float:
        """When all is over that a member had which is followed by another at `now`."""
        return now + book.quiet * (1 + MAX_CLOCK_DRIFT)

    def over_at(self, book: BudgetAllocation, lease: float, age: float, now: float) -> float:
        """When all is over that those had whom a member has followed which is that old."""
        return self.ended(book, lease, now) - age * (1 - MAX_CLOCK_DRIFT)

    def follow(
        self, book: BudgetAllocation, account: MemberAccount, before: bool, lease: float, now: float
    ) -> None:
        """Another of a name begins. before: the earlier one has told us of itself."""
        if before and account.most and now < account.until:
            gone = MemberAccount(account.held, dict(account.told))
            gone.until = min(account.until, self.ended(book, lease, now))
            book.old.append(gone)
        account.held = account.units = account.serial = 0
        account.told.clear()
        account.token, account.need = -1, Need()


class Backing:
    """What there is to divide: the whole, by the operator's file."""

    def units(self, book: BudgetAllocation, now: float) -> int:
        """Beyond all bases."""
        return book.whole - book.bases

    def agreed(self, book: BudgetAllocation) -> int:
        """The whole that no base may be larger for."""
        return book.whole

    def renews(self, book: BudgetAllocation, now: float) -> bool:
        """Whether a part may be given, or given for longer."""
        return True

    def before(self, book: BudgetAllocation, members: Members) -> int:
        """The most that whoever divided before us may have given out."""
        return max(members.beyond(whole) for whole in book.seen)


@dataclass(frozen=True, slots=True)
class Sums:
    """One budget, all members together, as the level above is told of it. total: units beyond bases by all
    accounts; unknown: that those may have besides who have not told; used, wanted: beyond bases; worth: of a
    unit that is wanted, the mean; base: the largest that one router of them may have."""

    total: int
    unknown: int
    used: int
    wanted: int
    worth: float
    base: int


class AllocationLedger:
    """Made anew each time that our router gains the right, at `now`; reign counts those times. start: ours.
    seen: wholes of each budget that our file had lately."""

    def __init__(
        self,
        me: int,
        count: int,
        start: int,
        reign: int,
        kept: float,
        lease: float,
        now: float,
        seen: Mapping[int, set[int]] = MappingProxyType({}),
        members: Members | None = None,
        backing: Backing | None = None,
    ) -> None:
        self.me, self.count, self.start, self.reign = me, count, start, reign
        self.lease, self.began, self.seen = lease, now, seen
        self.members, self.backing = members or Members(count, kept), backing or Backing()
        self.books: dict[int, BudgetAllocation] = {}
        self.wholes: dict[int, Budget] = {}
        self.starts: dict[int, int] = {}
        self.versions: dict[int, tuple[int, int]] = {}  # by router: of its file
        self.leaving: set[int] = set()
        self.serials = 0

    def planned(self, wholes: list[Budget]) -> None:
        """By our own file, now."""
        self.wholes = {whole.number: whole for whole in wholes}
        for number, book in self.books.items():
            if number in self.wholes:
                own = self.wholes[number]
                book.seen.add(own.units)
                book.settle, book.quiet = own.settle, own.quiet
            book.divided_at = -math.inf

    # What is free.

    def _work_out(self, number: int, book: BudgetAllocation, now: float) -> None:
        """Forgets what has run out. The whole is the smallest that any router tells that is there: a smaller
        one holds as soon as one tells it, a larger once all do."""
        book.old = [a for a in book.old if now < a.until]
        for account in book.accounts.values():
            if now >= account.until:
                account.held = account.units = account.serial = 0
                account.told.clear()
        wholes = [a.whole for a in book.accounts.values() if now < a.heard + QUIET]
        own = self.wholes.get(number)
        book.whole = min([*wholes, own.units] if own is not None else wholes, default=book.whole)
        book.bases = self.members.bases(book)
        book.total = sum(a.most for a in book.accounts.values()) + sum(a.most for a in book.old)

    def _unknown(self, book: BudgetAllocation, now: float) -> int:
        """What those may hold who have not reported since we began: no more than the one before us divided,
        less what the others own up to; nothing once it must have run out."""
        if now >= self._settled(book, self.began):
            return 0
        if len(book.accounts) == self.count and now >= book.over_at:
            return 0  # all have told, for themselves and for those that they have followed
        return max(self.backing.before(book, self.members) - book.owned_up, 0)

    def _settled(self, book: BudgetAllocation, now: float) -> float:
        """When all has ended that is given by then and not renewed."""
        return now + (self.lease + book.settle) * (1 + MAX_CLOCK_DRIFT)

    def free(self, book: BudgetAllocation, now: float) -> int:
        return self.backing.units(book, now) - self._unknown(book, now) - book.total

    def sums(self, book: BudgetAllocation, now: float) -> Sums:
        self._work_out(book.number, book, now)
        there = [a for a in book.accounts.values() if now < a.heard + QUIET]
        wants = [(max(a.need.units - a.need.base, 0.0), a.need.worth) for a in there]
        wanted = sum(units for units, _ in wants)
        worth = sum(units * worth for units, worth in wants) / wanted if wanted else 1.0
        agreed = self.members.base(self.backing.agreed(book))
        absent = self.members.largest(book) if len(book.accounts) < self.count else 0
        base = max([agreed, absent, *(a.base for a in book.accounts.values())])
        used = sum(max(a.used - a.need.base, 0) for a in there)
        return Sums(book.total, self._unknown(book, now), used, math.ceil(wanted), worth, base)

    # What is heard, and said.

    def reported(self, by: int, report: Report, now: float) -> Answer | None:
        """What is given to a router; None where nothing is said, to one that is old or not meant for us."""
        if not 0 <= by < self.count or report.start < max(self.starts.get(by, 0), 1):
            return None
        if not self.wholes:
            return None  # we don't know yet how long anything takes to end
        if report.to_start != self.start or report.reign != self.reign:
            # It learns which right this is, and hears no older answer from then on; then it counts.
            return Answer(self.start, self.reign, report.token, ()) if report.to_start == self.start else None
        if report.start > self.starts.get(by, 0):
            self._began_anew(by, report.start, now)
        self.versions[by] = report.version, report.digest
        grants = [self._entry(by, report, entry, now) for entry in report.entries]
        told = tuple(grant for grant in grants if grant is not None)
        return Answer(self.start, self.reign, report.token, told)

    def _began_anew(self, by: int, start: int, now: float) -> None:
        """Another process of its name: what the one before has out ends without it."""
        before, self.starts[by] = by in self.starts, start
        self.leaving.discard(by)
        for book in self.books.values():
            account = book.accounts.get(by)
            if account is not None:
                self.members.follow(book, account, before, self.lease, now)

    def _entry(self, by: int, report: Report, e: Entry, now: float) -> Grant | None:
        token = report.token
        if not 0 < e.whole <= HIGHEST or max(e.held, e.used, e.want, e.base, e.had) > HIGHEST:
            return None
        book = self.books.get(e.number)
        if book is None:
            if len(self.books) > SPARE_BUDGETS + 2 * len(self.wholes):  # of engines that have gone, mostly
                self.books = {n: b for n, b in self.books.items() if n in self.wholes or b.total}
            if len(self.books) >= MOST_BUDGETS:
                return None
            own = self.wholes.get(e.number)
            seen = {e.whole, *self.seen.get(e.number, ()), *([own.units] if own is not None else ())}
            times = (own.settle, own.quiet) if own is not None else (LONG, LONG)
            book = self.books[e.number] = BudgetAllocation(*times, seen)
            book.number = e.number
        account, unsure, members = book.accounts.get(by), self.members.unsure(report), self.members
        if account is None:
            if unsure and now < self._settled(book, self.began):
                return None  # neither of us knows what it may have out
            account = book.accounts[by] = MemberAccount()
            account.until = self._settled(book, now)
            book.owned_up += max(e.held, e.had)
            over_at = members.over_at(book, self.lease, report.age / 1000.0, now)
            book.over_at = max(book.over_at, over_at)
            book.divided_at = -math.inf
        elif account.token >= 0 and not 0 < (token - account.token) & 0xFFFFFF < 1 << 23:
            return None  # late or double
        if (e.whole, e.base) != (account.whole, account.base) or e.whole not in book.seen:
            book.seen = {*sorted(book.seen)[-MOST_SEEN:], e.whole}
            book.divided_at = -math.inf
        renews = self.backing.renews(book, now)
        if not renews and now >= account.until:
            account.units = account.serial = 0
            account.told.clear()
        if renews or now >= account.until:
            account.until = self._settled(book, now)
        before = account.most
        account.token, account.heard = token, now
        account.used, account.base, account.whole = e.used, e.base, e.whole
        account.held = max(e.held, before) if unsure else e.held
        account.told = {serial: units for serial, units in account.told.items() if serial > e.serial}
        used, covered = members.seen(e)
        account.need.heard(used, covered, e.held, e.want, e.worth, now)
        book.total += account.most - before
        if now >= book.divided_at + EVERY:
            self._divide(e.number, book, now)
        if not renews:
            return None  # its part runs out, and so do its commands beyond its base
        before = account.most
        units = max(min(book.shares.get(by, 0), self.free(book, now) + before), 0) if not unsure else before
        lapsed = e.serial == account.serial and e.held < account.units  # it has given up what we gave
        if units != account.units or not account.serial or lapsed:
            self.serials += 1
            account.serial, account.units = self.serials, units
        account.told[account.serial] = units
        agreed = self.backing.agreed(book)
        base = members.base(min(agreed, e.whole))
        if base > account.base:
            account.base = base  # it may use that as soon as it hears us
            book.bases = members.bases(book)
        book.total += account.most - before
        return Grant(e.number, account.serial, units, agreed)

    def _divide(self, number: int, book: BudgetAllocation, now: float) -> None:
        self._work_out(number, book, now)
        needs = {
            n: a.need for n, a in book.accounts.items() if now < a.heard + QUIET and n not in self.leaving
        }
        book.shares = divided(max(self.backing.units(book, now), 0), needs, number, book.shares)
        book.divided_at = now

    # For whoever looks.

    def disagree(self) -> list[int]:
        """Routers whose file says something else than most files do, or has another version."""
        told = list(self.versions.values())
        usual = max(sorted(set(told)), key=told.count, default=(0, 0))
        return sorted(n for n, version in self.versions.items() if version != usual)

    def shown(self, now: float) -> dict[int, dict[str, int]]:
        """By budget: whole, bases, held, used, free, not known, unreachable, and what each member has."""
        rows = {}
        for number, book in self.books.items():
            self._work_out(number, book, now)
            quiet = [a for a in book.accounts.values() if now >= a.heard + QUIET]
            row = {
                "whole": book.whole,
                "bases": book.bases,
                "held": book.total,
                "used": sum(a.used for a in book.accounts.values() if now < a.heard + QUIET),
                "free": self.free(book, now),
                "unknown": self._unknown(book, now),
                "unreachable": sum(a.most for a in [*quiet, *book.old]),
            }
            rows[number] = row | {f"held {n}": a.most for n, a in sorted(book.accounts.items())}
        return rows
