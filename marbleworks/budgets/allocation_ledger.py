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

from marbleworks.budgets.budget_catalog import MAX_BUDGET_UNITS, Budget
from marbleworks.budgets.codec import BudgetAnswer, BudgetGrant, BudgetReport, BudgetUsage
from marbleworks.budgets.fair_division import Demand, divide
from marbleworks.membership.leader_election import DRIFT

DIVISION_INTERVAL_S = 0.1  # seconds between divisions of one budget
REPORT_TIMEOUT_S = 1.0  # seconds without a report after which a router's need counts no more
MAX_BUDGETS = 4096
MAX_FOREIGN_BUDGETS = 64  # beyond twice our own; then those are forgotten of which nothing is held
MAX_KNOWN_TOTALS = 7  # different wholes of one budget that are remembered
UNKNOWN_BUDGET_SETTLE_S = 60.0  # seconds in which what a budget that we don't have has out ends for sure


@dataclass(eq=False, slots=True)
class MemberAccount:
    """What one member has of one budget, beyond its base."""

    held_units: int = 0  # by its last report
    unconfirmed_grants: dict[int, int] = field(
        default_factory=dict
    )  # grants by serial that it may not have owned up to
    grant_serial: int = 0  # of the last grant, and ...
    granted_units: int = 0  # ... what it was
    expires_at: float = -math.inf  # it holds nothing from then on
    report_token: int = -1  # of its last report
    used_units: int = 0
    guaranteed_units: int = 0
    reported_total: int = 0
    demand: Demand = field(default_factory=Demand)
    reported_at: float = -math.inf

    @property
    def max_units(self) -> int:
        return (
            max(self.held_units, *self.unconfirmed_grants.values())
            if self.unconfirmed_grants
            else self.held_units
        )


@dataclass(eq=False, slots=True)
class BudgetAllocation:
    """One budget. settle: seconds after a lease in which what was out beyond a base ends; quiet: seconds
    after the end of a process in which what it had in use does. What is derived (whole, bases, total, shares)
    is worked out anew ten times a second, and when a report changes it."""

    settle_s: float
    orphan_timeout_s: float
    known_totals: set[int]  # wholes that any router told
    budget_id: int = 0
    total_units: int = 0
    guaranteed_units: int = 0
    committed_units: int = 0  # of all accounts
    accounts: dict[int, MemberAccount] = field(default_factory=dict)
    former_accounts: list[MemberAccount] = field(default_factory=list)  # of processes that have been followed
    initially_held_units: int = 0  # held by those who reported for the first time, of whom ...
    predecessors_settled_at: float = (
        -math.inf
    )  # ... all that processes had which they have followed is over then
    shares: dict[int, int] = field(default_factory=dict)
    divided_at: float = -math.inf


class MemberPolicy:
    """Whose accounts these are: processes of routers, each with a base that it always may use. count: of them
    by the settings; kept: part of a whole of which each has an even share; shares: of those, if more than
    there are members here.

    A process that is followed by another of its name is dead, and its engines end what it had within the
    book's `quiet`; its account lasts that long beside the new one's."""

    def __init__(self, count: int, kept: float, shares: int = 0) -> None:
        self.member_count, self.guaranteed_ratio, self.share_count = count, kept, shares or count

    def guaranteed_units(self, whole: int) -> int:
        """Units that one router always may use."""
        return int(self.guaranteed_ratio * whole) // self.share_count

    def max_unreported_guarantee(self, book: BudgetAllocation) -> int:
        """The largest base that one of those may have who have not told theirs."""
        return max(self.guaranteed_units(whole) for whole in book.known_totals)

    def all_guaranteed_units(self, book: BudgetAllocation) -> int:
        """Units of all bases: as told, and for those that have not told theirs the most that it may be."""
        told = sum(account.guaranteed_units for account in book.accounts.values())
        return told + self.max_unreported_guarantee(book) * (self.member_count - len(book.accounts))

    def leasable_units(self, whole: int) -> int:
        """Units of a whole that are divided beyond all bases."""
        return whole - self.share_count * self.guaranteed_units(whole)

    def observed_use(self, entry: BudgetUsage) -> tuple[int, int]:
        """Units that a member was seen to use, and those of them that its base covers."""
        return entry.used_units, entry.guaranteed_units

    def is_use_unknown(self, report: BudgetReport) -> bool:
        """Whether the member doesn't know itself what it may have out."""
        return False

    def predecessor_settled_at(self, book: BudgetAllocation, lease: float, now: float) -> float:
        """When all is over that a member had which is followed by another at `now`."""
        return now + book.orphan_timeout_s * (1 + DRIFT)

    def predecessors_settled_at(self, book: BudgetAllocation, lease: float, age: float, now: float) -> float:
        """When all is over that those had whom a member has followed which is that old."""
        return self.predecessor_settled_at(book, lease, now) - age * (1 - DRIFT)

    def on_new_incarnation(
        self, book: BudgetAllocation, account: MemberAccount, before: bool, lease: float, now: float
    ) -> None:
        """Another of a name begins. before: the earlier one has told us of itself."""
        if before and account.max_units and now < account.expires_at:
            gone = MemberAccount(account.held_units, dict(account.unconfirmed_grants))
            gone.expires_at = min(account.expires_at, self.predecessor_settled_at(book, lease, now))
            book.former_accounts.append(gone)
        account.held_units = account.granted_units = account.grant_serial = 0
        account.unconfirmed_grants.clear()
        account.report_token, account.demand = -1, Demand()


class BudgetSource:
    """What there is to divide: the whole, by the operator's file."""

    def leasable_units(self, book: BudgetAllocation, now: float) -> int:
        """Beyond all bases."""
        return book.total_units - book.guaranteed_units

    def agreed_total(self, book: BudgetAllocation) -> int:
        """The whole that no base may be larger for."""
        return book.total_units

    def can_renew(self, book: BudgetAllocation, now: float) -> bool:
        """Whether a part may be given, or given for longer."""
        return True

    def max_earlier_grants(self, book: BudgetAllocation, members: MemberPolicy) -> int:
        """The most that whoever divided before us may have given out."""
        return max(members.leasable_units(whole) for whole in book.known_totals)


@dataclass(frozen=True, slots=True)
class AllocationSummary:
    """One budget, all members together, as the level above is told of it. total: units beyond bases by all
    accounts; unknown: that those may have besides who have not told; used, wanted: beyond bases; worth: of a
    unit that is wanted, the mean; base: the largest that one router of them may have."""

    committed_units: int
    unreported_units: int
    used_units: int
    wanted_units: int
    priority_weight: float
    max_guaranteed_units: int


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
        members: MemberPolicy | None = None,
        backing: BudgetSource | None = None,
    ) -> None:
        self.member_index, self.member_count, self.incarnation, self.term = me, count, start, reign
        self.lease_s, self.started_at, self.known_totals = lease, now, seen
        self.member_policy, self.source = members or MemberPolicy(count, kept), backing or BudgetSource()
        self.allocations: dict[int, BudgetAllocation] = {}
        self.budgets: dict[int, Budget] = {}
        self.incarnations: dict[int, int] = {}
        self.config_versions: dict[int, tuple[int, int]] = {}  # by router: of its file
        self.leaving_members: set[int] = set()
        self.last_serial = 0

    def set_budgets(self, wholes: list[Budget]) -> None:
        """By our own file, now."""
        self.budgets = {whole.budget_id: whole for whole in wholes}
        for number, book in self.allocations.items():
            if number in self.budgets:
                own = self.budgets[number]
                book.known_totals.add(own.units)
                book.settle_s, book.orphan_timeout_s = own.settle_s, own.orphan_timeout_s
            book.divided_at = -math.inf

    # What is free.

    def _refresh(self, number: int, book: BudgetAllocation, now: float) -> None:
        """Forgets what has run out. The whole is the smallest that any router tells that is there: a smaller
        one holds as soon as one tells it, a larger once all do."""
        book.former_accounts = [a for a in book.former_accounts if now < a.expires_at]
        for account in book.accounts.values():
            if now >= account.expires_at:
                account.held_units = account.granted_units = account.grant_serial = 0
                account.unconfirmed_grants.clear()
        wholes = [a.reported_total for a in book.accounts.values() if now < a.reported_at + REPORT_TIMEOUT_S]
        own = self.budgets.get(number)
        book.total_units = min([*wholes, own.units] if own is not None else wholes, default=book.total_units)
        book.guaranteed_units = self.member_policy.all_guaranteed_units(book)
        book.committed_units = sum(a.max_units for a in book.accounts.values()) + sum(
            a.max_units for a in book.former_accounts
        )

    def _unreported_units(self, book: BudgetAllocation, now: float) -> int:
        """What those may hold who have not reported since we began: no more than the one before us divided,
        less what the others own up to; nothing once it must have run out."""
        if now >= self._settled_at(book, self.started_at):
            return 0
        if len(book.accounts) == self.member_count and now >= book.predecessors_settled_at:
            return 0  # all have told, for themselves and for those that they have followed
        return max(self.source.max_earlier_grants(book, self.member_policy) - book.initially_held_units, 0)

    def _settled_at(self, book: BudgetAllocation, now: float) -> float:
        """When all has ended that is given by then and not renewed."""
        return now + (self.lease_s + book.settle_s) * (1 + DRIFT)

    def free_units(self, book: BudgetAllocation, now: float) -> int:
        return (
            self.source.leasable_units(book, now) - self._unreported_units(book, now) - book.committed_units
        )

    def summarize(self, book: BudgetAllocation, now: float) -> AllocationSummary:
        self._refresh(book.budget_id, book, now)
        there = [a for a in book.accounts.values() if now < a.reported_at + REPORT_TIMEOUT_S]
        wants = [
            (max(a.demand.units - a.demand.guaranteed_units, 0.0), a.demand.priority_weight) for a in there
        ]
        wanted = sum(units for units, _ in wants)
        worth = sum(units * worth for units, worth in wants) / wanted if wanted else 1.0
        agreed = self.member_policy.guaranteed_units(self.source.agreed_total(book))
        absent = (
            self.member_policy.max_unreported_guarantee(book) if len(book.accounts) < self.member_count else 0
        )
        base = max([agreed, absent, *(a.guaranteed_units for a in book.accounts.values())])
        used = sum(max(a.used_units - a.demand.guaranteed_units, 0) for a in there)
        return AllocationSummary(
            book.committed_units, self._unreported_units(book, now), used, math.ceil(wanted), worth, base
        )

    # What is heard, and said.

    def handle_report(self, by: int, report: BudgetReport, now: float) -> BudgetAnswer | None:
        """What is given to a router; None where nothing is said, to one that is old or not meant for us."""
        if not 0 <= by < self.member_count or report.incarnation < max(self.incarnations.get(by, 0), 1):
            return None
        if not self.budgets:
            return None  # we don't know yet how long anything takes to end
        if report.leader_incarnation != self.incarnation or report.leader_term != self.term:
            # It learns which right this is, and hears no older answer from then on; then it counts.
            return (
                BudgetAnswer(self.incarnation, self.term, report.token, ())
                if report.leader_incarnation == self.incarnation
                else None
            )
        if report.incarnation > self.incarnations.get(by, 0):
            self._on_new_incarnation(by, report.incarnation, now)
        self.config_versions[by] = report.config_version, report.config_digest
        grants = [self._entry(by, report, entry, now) for entry in report.usages]
        told = tuple(grant for grant in grants if grant is not None)
        return BudgetAnswer(self.incarnation, self.term, report.token, told)

    def _on_new_incarnation(self, by: int, start: int, now: float) -> None:
        """Another process of its name: what the one before has out ends without it."""
        before, self.incarnations[by] = by in self.incarnations, start
        self.leaving_members.discard(by)
        for book in self.allocations.values():
            account = book.accounts.get(by)
            if account is not None:
                self.member_policy.on_new_incarnation(book, account, before, self.lease_s, now)

    def _entry(self, by: int, report: BudgetReport, e: BudgetUsage, now: float) -> BudgetGrant | None:
        token = report.token
        if (
            not 0 < e.total_units <= MAX_BUDGET_UNITS
            or max(e.held_units, e.used_units, e.wanted_units, e.guaranteed_units, e.held_or_lapsed_units)
            > MAX_BUDGET_UNITS
        ):
            return None
        book = self.allocations.get(e.budget_id)
        if book is None:
            if len(self.allocations) > MAX_FOREIGN_BUDGETS + 2 * len(
                self.budgets
            ):  # of engines that have gone, mostly
                self.allocations = {
                    n: b for n, b in self.allocations.items() if n in self.budgets or b.committed_units
                }
            if len(self.allocations) >= MAX_BUDGETS:
                return None
            own = self.budgets.get(e.budget_id)
            seen = {
                e.total_units,
                *self.known_totals.get(e.budget_id, ()),
                *([own.units] if own is not None else ()),
            }
            times = (
                (own.settle_s, own.orphan_timeout_s)
                if own is not None
                else (UNKNOWN_BUDGET_SETTLE_S, UNKNOWN_BUDGET_SETTLE_S)
            )
            book = self.allocations[e.budget_id] = BudgetAllocation(*times, seen)
            book.budget_id = e.budget_id
        account, unsure, members = (
            book.accounts.get(by),
            self.member_policy.is_use_unknown(report),
            self.member_policy,
        )
        if account is None:
            if unsure and now < self._settled_at(book, self.started_at):
                return None  # neither of us knows what it may have out
            account = book.accounts[by] = MemberAccount()
            account.expires_at = self._settled_at(book, now)
            book.initially_held_units += max(e.held_units, e.held_or_lapsed_units)
            over_at = members.predecessors_settled_at(book, self.lease_s, report.age_ms / 1000.0, now)
            book.predecessors_settled_at = max(book.predecessors_settled_at, over_at)
            book.divided_at = -math.inf
        elif account.report_token >= 0 and not 0 < (token - account.report_token) & 0xFFFFFF < 1 << 23:
            return None  # late or double
        if (e.total_units, e.guaranteed_units) != (
            account.reported_total,
            account.guaranteed_units,
        ) or e.total_units not in book.known_totals:
            book.known_totals = {*sorted(book.known_totals)[-MAX_KNOWN_TOTALS:], e.total_units}
            book.divided_at = -math.inf
        renews = self.source.can_renew(book, now)
        if not renews and now >= account.expires_at:
            account.granted_units = account.grant_serial = 0
            account.unconfirmed_grants.clear()
        if renews or now >= account.expires_at:
            account.expires_at = self._settled_at(book, now)
        before = account.max_units
        account.report_token, account.reported_at = token, now
        account.used_units, account.guaranteed_units, account.reported_total = (
            e.used_units,
            e.guaranteed_units,
            e.total_units,
        )
        account.held_units = max(e.held_units, before) if unsure else e.held_units
        account.unconfirmed_grants = {
            serial: units for serial, units in account.unconfirmed_grants.items() if serial > e.grant_serial
        }
        used, covered = members.observed_use(e)
        account.demand.update(used, covered, e.held_units, e.wanted_units, e.priority_weight, now)
        book.committed_units += account.max_units - before
        if now >= book.divided_at + DIVISION_INTERVAL_S:
            self._divide(e.budget_id, book, now)
        if not renews:
            return None  # its part runs out, and so do its commands beyond its base
        before = account.max_units
        units = (
            max(min(book.shares.get(by, 0), self.free_units(book, now) + before), 0) if not unsure else before
        )
        lapsed = (
            e.grant_serial == account.grant_serial and e.held_units < account.granted_units
        )  # it has given up what we gave
        if units != account.granted_units or not account.grant_serial or lapsed:
            self.last_serial += 1
            account.grant_serial, account.granted_units = self.last_serial, units
        account.unconfirmed_grants[account.grant_serial] = units
        agreed = self.source.agreed_total(book)
        base = members.guaranteed_units(min(agreed, e.total_units))
        if base > account.guaranteed_units:
            account.guaranteed_units = base  # it may use that as soon as it hears us
            book.guaranteed_units = members.all_guaranteed_units(book)
        book.committed_units += account.max_units - before
        return BudgetGrant(e.budget_id, account.grant_serial, units, agreed)

    def _divide(self, number: int, book: BudgetAllocation, now: float) -> None:
        self._refresh(number, book, now)
        needs = {
            n: a.demand
            for n, a in book.accounts.items()
            if now < a.reported_at + REPORT_TIMEOUT_S and n not in self.leaving_members
        }
        book.shares = divide(max(self.source.leasable_units(book, now), 0), needs, number, book.shares)
        book.divided_at = now

    # For whoever looks.

    def disagreeing_members(self) -> list[int]:
        """Routers whose file says something else than most files do, or has another version."""
        told = list(self.config_versions.values())
        usual = max(sorted(set(told)), key=told.count, default=(0, 0))
        return sorted(n for n, version in self.config_versions.items() if version != usual)

    def snapshots(self, now: float) -> dict[int, dict[str, int]]:
        """By budget: whole, bases, held, used, free, not known, unreachable, and what each member has."""
        rows = {}
        for number, book in self.allocations.items():
            self._refresh(number, book, now)
            quiet = [a for a in book.accounts.values() if now >= a.reported_at + REPORT_TIMEOUT_S]
            row = {
                "whole": book.total_units,
                "bases": book.guaranteed_units,
                "held": book.committed_units,
                "used": sum(
                    a.used_units for a in book.accounts.values() if now < a.reported_at + REPORT_TIMEOUT_S
                ),
                "free": self.free_units(book, now),
                "unknown": self._unreported_units(book, now),
                "unreachable": sum(a.max_units for a in [*quiet, *book.former_accounts]),
            }
            rows[number] = row | {f"held {n}": a.max_units for n, a in sorted(book.accounts.items())}
        return rows
