"""Wholes of budgets leased from one level of the fleet to the next: from the level above to a cell, and from
the cell's leader to its routers. No I/O, no clock.

The same books serve each level (`budgets/allocation_ledger.py`). A `BudgetLeaseGranter` keeps those whose
members are cells; a `BudgetLeaseHolder` is a cell's leader towards the level above: a purse whose use is what its own books may have out, and
the backing of those books. It must never let more be given out in a cell than the cell holds, or a part be
held for longer than the cell's lease bears. docs/design/cell-leases.md has the proof. Times are float seconds
of one clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType

from marbleworks.budgets.allocation_ledger import (
    AllocationLedger,
    Backing,
    BudgetAllocation,
    MemberAccount,
    Members,
    Sums,
)
from marbleworks.budgets.budget_catalog import HIGHEST, Budget
from marbleworks.budgets.codec import FORMAT, Answer, Entry, Report
from marbleworks.budgets.codec import decode as decode_budgets
from marbleworks.budgets.local_budget import LocalBudget, LocalBudgets
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


Said = Hello | Welcome | Report | Answer


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
    return replace(whole, settle=whole.settle + lease)


class Places(Members):
    """Routers in the places of one cell. shares: routers that the fleet may have at the most; each has an
    even share of what is kept, in whichever cell it is, so that no plan moves a base.

    One that is followed in its place may live on in another cell: its parts run out by their leases."""

    def ended(self, book: BudgetAllocation, lease: float, now: float) -> float:
        return now + (lease + book.settle) * (1 + MAX_CLOCK_DRIFT)


class Cells(Members):
    """Cells, or regions: they tell what is beyond the bases of their routers, and the largest of these."""

    def bases(self, book: BudgetAllocation) -> int:
        told = [account.base for account in book.accounts.values()]
        unknown = self.largest(book) if len(told) < self.count else 0
        return self.shares * max([unknown, *told])

    def seen(self, entry: Entry) -> tuple[int, int]:
        """What a cell wants is what its books believe of its routers. To doubt it by what is used, again,
        makes parts swing: a cell needs a while until its routers use what it is given."""
        return max(entry.used, entry.want), 0

    def unsure(self, report: Report) -> bool:
        return report.age == 0

    def over_at(self, book: BudgetAllocation, lease: float, age: float, now: float) -> float:
        return now  # who tells for a cell tells for all that were ever in it

    def follow(
        self, book: BudgetAllocation, account: MemberAccount, before: bool, lease: float, now: float
    ) -> None:
        """Another leader, the same cell: what it was given, its routers may have."""
        account.token = -1


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
        backing: Backing | None = None,
    ) -> None:
        members = Cells(count, kept, shares)
        self.ledger = AllocationLedger(me, count, start, reign, kept, lease, now, seen, members, backing)
        self.leaders: dict[int, tuple[int, int, int]] = {}  # by cell: a router, its start, which right of it
        self.epochs: dict[int, int] = {}

    def hello(self, h: Hello) -> Welcome | None:
        """The one that asked last is a cell's leader. One that is late has lost its cell's right, and does
        nothing with what it hears; the leader that there is asks again."""
        if not 0 <= h.cell < self.ledger.count:
            return None
        leader = (h.router, h.start, h.reign)
        if self.leaders.get(h.cell) != leader:
            self.leaders[h.cell] = leader
            self.epochs[h.cell] = self.epochs.get(h.cell, 0) + 1
        return Welcome(self.ledger.start, self.ledger.reign, h.token, self.epochs[h.cell])

    def reported(self, cell: int, report: Report, now: float) -> Answer | None:
        """None to a leader that another has followed: what it says of its cell is old."""
        if report.start != self.epochs.get(cell):
            return None
        return self.ledger.reported(cell, report, now)


@dataclass(eq=False, slots=True)
class Lease(LocalBudget):
    """One budget as a cell has it, beyond its routers' bases. out: what its books may have given out; sure:
    whether that is all that may be out."""

    sure: bool = False
    uses: int = 0
    wants: int = 0

    def used(self, now: float) -> int:
        return self.uses

    def held(self, now: float) -> int:
        return max(self.part(now), self.out)

    def wanted(self, now: float, since: float, share: int) -> int:
        return self.wants


class BudgetLeaseHolder(LocalBudgets, Backing):
    """Made with each right over a cell. leader: us, as `Hello` says it. asked: the machines of the level
    above. lease: of that level; below: of our own parts."""

    POCKET = Lease

    def __init__(self, cell: int, leader: tuple[int, int, int], above: int, lease: float, now: float) -> None:
        LocalBudgets.__init__(self, cell, 1, 0.0, lease, now)
        self.leader, self.above = leader, above
        self.books: AllocationLedger | None = None  # ours, which divide what we hold
        self.left: dict[int, int] = {}  # by budget: units that the leaders before us may have given out
        self.epoch, self.nonce, self.asked_at, self.heard_at, self.turn = 0, 0, now - ASKS, now, leader[0]

    # As our own books see it.

    def units(self, book: BudgetAllocation, now: float) -> int:
        pocket = self.pockets.get(book.number)
        return pocket.part(now) if pocket is not None else 0

    def agreed(self, book: BudgetAllocation) -> int:
        pocket = self.pockets.get(book.number)
        return min(book.whole, pocket.agreed) if pocket is not None else book.whole

    def renews(self, book: BudgetAllocation, now: float) -> bool:
        """Not beyond our own lease: what is out by then ends before the level above counts on it."""
        pocket = self.pockets.get(book.number)
        return pocket is not None and now < pocket.until

    def before(self, book: BudgetAllocation, members: Members) -> int:
        """All that the cell was leased may be out, until its routers have told what they hold."""
        return self.left.get(book.number, HIGHEST)

    # As the level above sees it.

    def tells(self, now: float) -> list[tuple[int, Hello | Report]]:
        """What is said, and to which machine: reports to the one with the right, or a question for it to each
        in turn."""
        if not self.epoch or now >= self.heard_at + SILENT:
            if now < self.asked_at + ASKS:
                return []
            self.asked_at, self.turn, self.nonce = now, (self.turn + 1) % self.above, self.nonce + 1
            return [(self.turn, Hello(self.me, *self.leader, self._nonce()))]
        self._sum(now)
        return [(self.heeded[0], r) for r in self.reports(*self.heeded, self.epoch, now)]

    def _nonce(self) -> int:
        """What no answer to an earlier right of ours carries."""
        _, start, reign = self.leader
        return (start & 0xFFF) << 28 | (reign & 0xFFF) << 16 | self.nonce & 0xFFFF

    def _sum(self, now: float) -> None:
        """What our books have, beyond bases; of budgets that our file has."""
        if self.books is None:
            return
        told = dict[int, Sums]()
        for number, book in self.books.books.items():
            if number in self.books.wholes:
                told[number] = self.books.sums(book, now)
        wholes = [replace(self.books.wholes[n], units=self.books.books[n].whole) for n in told]
        self.planned([lifted(whole, self.books.lease) for whole in wholes], now)
        for number, sums in told.items():
            pocket = self.pockets[number]
            assert isinstance(pocket, Lease)
            # What leaders before us gave out is in the cell's account, or in that of nobody above yet.
            pocket.sure = number in self.left or sums.unknown == 0
            pocket.out = sums.total + (sums.unknown if pocket.sure else 0)
            pocket.uses, pocket.wants, pocket.base = sums.used, sums.wanted, sums.base
            pocket.waiting, pocket.worth = {""} if sums.wanted else set(), sums.worth

    def age(self, entries: tuple[Entry, ...], now: float) -> int:
        """0: we don't know what leaders before us gave out, and what the cell was leased is to stand."""
        leases = [self.pockets[entry.number] for entry in entries]
        sure = all(isinstance(lease, Lease) and lease.sure for lease in leases)
        return max(LocalBudgets.age(self, entries, now), 1) if sure else 0

    def heard(self, by: int, said: Welcome | Answer, now: float) -> bool:
        """Whether it was meant for us."""
        if isinstance(said, Welcome):
            if not self.nonce or said.token != self._nonce():
                return False
            if (by, said.start, said.reign, said.epoch) != (*self.heeded, self.reign, self.epoch):
                self.heed(by, said.start, said.reign)
                self.epoch = said.epoch
            self.heard_at = now
            return True
        reign = self.reign
        if not self.answered(by, said, now):
            return False
        if said.reign != reign:
            self.epoch = 0  # another time that it has the right: it knows no leaders
            return True
        self.heard_at = now
        for grant in said.grants:
            self.left.setdefault(grant.number, grant.units)
        return True
