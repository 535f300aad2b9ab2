"""Wholes of budgets leased from one level of the fleet to the next: from the level above to a cell, and from
the cell's leader to its routers. No I/O, no clock.

The same books serve each level (`budgets/allocation_ledger.py`). A `BudgetLeaseGranter` keeps those whose
members are cells; a `BudgetLeaseHolder` is a cell's leader towards the level above: a purse whose use is what
its own books may have out, and
the backing of those books. It must never let more be given out in a cell than the cell holds, or a part be
held for longer than the cell's lease bears. docs/design/cell-leases.md has the proof. Times are float seconds
of one clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType

from marbleworks.budgets.allocation import AllocationSummary, BudgetAllocation, MemberAccount
from marbleworks.budgets.allocation_ledger import AllocationLedger
from marbleworks.budgets.allocation_policy import BudgetSource, MemberPolicy
from marbleworks.budgets.budget_catalog import MAX_BUDGET_UNITS, Budget
from marbleworks.budgets.codec import FORMAT, BudgetAnswer, BudgetReport, BudgetUsage
from marbleworks.budgets.codec import decode as decode_budgets
from marbleworks.budgets.local_budget import LocalBudgets
from marbleworks.budgets.local_budget_state import LocalBudget
from marbleworks.membership.codec import checked_counter, seal, unseal, wrap_decode_errors
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT

SILENT = 1.2  # seconds without an answer after which a leader looks for whoever has the right above
ASKS = 0.2  # seconds between its questions for that


@dataclass(frozen=True, slots=True)
class Hello:
    """Of a cell's leader to a machine of the level above. router, start, reign: who leads the cell, and which
    right of it; token: echoed by the answer."""

    cell: int
    router: int
    start: int
    reign: int
    token: int


@dataclass(frozen=True, slots=True)
class Welcome:
    """start, reign: of whoever has the right above. epoch: under which this leader tells it of its cell; one
    given later, to another leader, ends it."""

    start: int
    reign: int
    token: int
    epoch: int


Said = Hello | Welcome | BudgetReport | BudgetAnswer


def encode_hello(group: int, h: Hello) -> bytes:
    return seal(FORMAT, group, {0: 2, 1: h.start, 2: h.token, 3: h.cell, 4: h.router, 6: h.reign})


def encode_welcome(group: int, w: Welcome) -> bytes:
    return seal(FORMAT, group, {0: 3, 1: w.start, 2: w.token, 5: w.epoch, 6: w.reign})


def decode(group: int, data: bytes) -> Said:
    """Also what is told of budgets as it is among routers. Raises Unreadable."""
    fields = unseal(FORMAT, group, data)
    with wrap_decode_errors():
        if fields[0] == 2:
            return Hello(*(checked_counter(fields[key]) for key in (3, 4, 1, 6, 2)))
        if fields[0] == 3:
            return Welcome(*(checked_counter(fields[key]) for key in (1, 6, 2, 5)))
    return decode_budgets(group, data)


def lifted(whole: Budget, lease: float) -> Budget:
    """A budget as the level above has it. lease: of the level below, whose parts may be given until a cell's
    own lease ends, and so hold for another of theirs, and what is out beyond them for `settle` more."""
    return replace(whole, settle_s=whole.settle_s + lease)


class Places(MemberPolicy):
    """Routers in the places of one cell. shares: routers that the fleet may have at the most; each has an
    even share of what is kept, in whichever cell it is, so that no plan moves a base.

    One that is followed in its place may live on in another cell: its parts run out by their leases."""

    def predecessor_settled_at(self, book: BudgetAllocation, lease: float, now: float) -> float:
        return now + (lease + book.settle_s) * (1 + MAX_CLOCK_DRIFT)


class Cells(MemberPolicy):
    """Cells, or regions: they tell what is beyond the bases of their routers, and the largest of these."""

    def all_guaranteed_units(self, book: BudgetAllocation) -> int:
        told = [account.guaranteed_units for account in book.accounts.values()]
        unknown = self.max_unreported_guarantee(book) if len(told) < self.member_count else 0
        return self.share_count * max([unknown, *told])

    def observed_use(self, entry: BudgetUsage) -> tuple[int, int]:
        """What a cell wants is what its books believe of its routers. To doubt it by what is used, again,
        makes parts swing: a cell needs a while until its routers use what it is given."""
        return max(entry.used_units, entry.wanted_units), 0

    def is_use_unknown(self, report: BudgetReport) -> bool:
        return report.age_ms == 0

    def predecessors_settled_at(self, book: BudgetAllocation, lease: float, age: float, now: float) -> float:
        return now  # who tells for a cell tells for all that were ever in it

    def on_new_incarnation(
        self, book: BudgetAllocation, account: MemberAccount, before: bool, lease: float, now: float
    ) -> None:
        """Another leader, the same cell: what it was given, its routers may have."""
        account.report_token = None


class BudgetLeaseGranter:
    """Made anew each time that this machine gains the right of its level. count: cells that there may be.
    shares: routers of the fleet at the most. backing: what there is to divide, if it is leased itself."""

    def __init__(
        self,
        me: int,
        count: int,
        shares: int,
        start: int,
        reign: int,
        kept: float,
        lease: float,
        now: float,
        seen: Mapping[int, set[int]] = MappingProxyType({}),
        backing: BudgetSource | None = None,
    ) -> None:
        members = Cells(count, kept, shares)
        self.ledger = AllocationLedger(me, count, start, reign, kept, lease, now, seen, members, backing)
        self.leaders: dict[int, tuple[int, int, int]] = {}  # by cell: a router, its start, which right of it
        self.epochs: dict[int, int] = {}

    def hello(self, h: Hello) -> Welcome | None:
        """The one that asked last is a cell's leader. One that is late has lost its cell's right, and does
        nothing with what it hears; the leader that there is asks again."""
        if not 0 <= h.cell < self.ledger.member_count:
            return None
        leader = (h.router, h.start, h.reign)
        if self.leaders.get(h.cell) != leader:
            self.leaders[h.cell] = leader
            self.epochs[h.cell] = self.epochs.get(h.cell, 0) + 1
        return Welcome(self.ledger.incarnation, self.ledger.term, h.token, self.epochs[h.cell])

    def reported(self, cell: int, report: BudgetReport, now: float) -> BudgetAnswer | None:
        """None to a leader that another has followed: what it says of its cell is old."""
        if report.incarnation != self.epochs.get(cell):
            return None
        return self.ledger.handle_report(cell, report, now)


@dataclass(eq=False, slots=True)
class Lease(LocalBudget):
    """One budget as a cell has it, beyond its routers' bases. out: what its books may have given out; sure:
    whether that is all that may be out."""

    sure: bool = False
    uses: int = 0
    wants: int = 0

    def used_units(self, now: float) -> int:
        return self.uses

    def held_units(self, now: float) -> int:
        return max(self.valid_lease_units(now), self.in_flight)

    def estimate_demand(self, now: float, since: float, share: int) -> int:
        return self.wants


class BudgetLeaseHolder(LocalBudgets, BudgetSource):
    """Made with each right over a cell. leader: us, as `Hello` says it. asked: the machines of the level
    above. lease: of that level; below: of our own parts."""

    BUDGET_TYPE = Lease

    def __init__(self, cell: int, leader: tuple[int, int, int], above: int, lease: float, now: float) -> None:
        LocalBudgets.__init__(self, cell, 1, 0.0, lease, now)
        self.leader, self.above = leader, above
        self.books: AllocationLedger | None = None  # ours, which divide what we hold
        self.left: dict[int, int] = {}  # by budget: units that the leaders before us may have given out
        self.epoch, self.nonce, self.asked_at, self.heard_at, self.turn = 0, 0, now - ASKS, now, leader[0]

    # As our own books see it.

    def leasable_units(self, book: BudgetAllocation, now: float) -> int:
        pocket = self.budgets.get(book.budget_id)
        return pocket.valid_lease_units(now) if pocket is not None else 0

    def agreed_total(self, book: BudgetAllocation) -> int:
        pocket = self.budgets.get(book.budget_id)
        return min(book.total_units, pocket.agreed_total) if pocket is not None else book.total_units

    def can_renew(self, book: BudgetAllocation, now: float) -> bool:
        """Not beyond our own lease: what is out by then ends before the level above counts on it."""
        pocket = self.budgets.get(book.budget_id)
        return pocket is not None and now < pocket.lease_expires_at

    def max_earlier_grants(self, book: BudgetAllocation, members: MemberPolicy) -> int:
        """All that the cell was leased may be out, until its routers have told what they hold."""
        return self.left.get(book.budget_id, MAX_BUDGET_UNITS)

    # As the level above sees it.

    def tells(self, now: float) -> list[tuple[int, Hello | BudgetReport]]:
        """What is said, and to which machine: reports to the one with the right, or a question for it to each
        in turn."""
        if not self.epoch or now >= self.heard_at + SILENT:
            if now < self.asked_at + ASKS:
                return []
            self.asked_at, self.turn, self.nonce = now, (self.turn + 1) % self.above, self.nonce + 1
            return [(self.turn, Hello(self.router_index, *self.leader, self._nonce()))]
        self._sum(now)
        return [(self.granter[0], r) for r in self.make_reports(*self.granter, self.epoch, now)]

    def _nonce(self) -> int:
        """What no answer to an earlier right of ours carries."""
        _, start, reign = self.leader
        return (start & 0xFFF) << 28 | (reign & 0xFFF) << 16 | self.nonce & 0xFFFF

    def _sum(self, now: float) -> None:
        """What our books have, beyond bases; of budgets that our file has."""
        if self.books is None:
            return
        told = dict[int, AllocationSummary]()
        for number, book in self.books.allocations.items():
            if number in self.books.budgets:
                told[number] = self.books.summarize(book, now)
        wholes = [replace(self.books.budgets[n], units=self.books.allocations[n].total_units) for n in told]
        self.set_budgets([lifted(whole, self.books.lease_s) for whole in wholes], now)
        for number, sums in told.items():
            pocket = self.budgets[number]
            assert isinstance(pocket, Lease)
            # What leaders before us gave out is in the cell's account, or in that of nobody above yet.
            pocket.sure = number in self.left or sums.unreported_units == 0
            pocket.in_flight = sums.committed_units + (sums.unreported_units if pocket.sure else 0)
            pocket.uses, pocket.wants, pocket.guaranteed_units = (
                sums.used_units,
                sums.wanted_units,
                sums.max_guaranteed_units,
            )
            pocket.waiting, pocket.waiting_weight = {""} if sums.wanted_units else set(), sums.priority_weight

    def age_ms(self, usages: tuple[BudgetUsage, ...], now: float) -> int:
        """0: we don't know what leaders before us gave out, and what the cell was leased is to stand."""
        leases = [self.budgets[entry.budget_id] for entry in usages]
        sure = all(isinstance(lease, Lease) and lease.sure for lease in leases)
        return max(LocalBudgets.age_ms(self, usages, now), 1) if sure else 0

    def heard(self, by: int, said: Welcome | BudgetAnswer, now: float) -> bool:
        """Whether it was meant for us."""
        if isinstance(said, Welcome):
            if not self.nonce or said.token != self._nonce():
                return False
            if (by, said.start, said.reign, said.epoch) != (*self.granter, self.granter_term, self.epoch):
                self.follow_granter(by, said.start, said.reign)
                self.epoch = said.epoch
            self.heard_at = now
            return True
        reign = self.granter_term
        if not self.handle_answer(by, said, now):
            return False
        if said.leader_term != reign:
            self.epoch = 0  # another time that it has the right: it knows no leaders
            return True
        self.heard_at = now
        for grant in said.grants:
            self.left.setdefault(grant.budget_id, grant.leased_units)
        return True
