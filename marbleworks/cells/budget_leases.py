"""Totals of budgets leased from one level of the fleet to the next: to a cell, and by it to its routers.

The same ledger serves each level (`budgets/allocation_ledger.py`). A `BudgetLeaseGranter` keeps the one whose
members are cells. A `BudgetLeaseHolder` belongs to a cell's leader: it reports to the level above what the
leader's own ledger may have granted, and is the source of what that ledger divides. Routers of a cell are
never granted more than the cell holds, nor for longer than the cell's lease allows.
docs/design/cell-leases.md has the proof. No I/O, no clock; times are float seconds of one clock.
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

ANSWER_TIMEOUT_S = 1.2  # without an answer a cell's leader looks for the granter again after it
HELLO_INTERVAL_S = 0.2  # interval between two messages that look for the granter


@dataclass(frozen=True, slots=True)
class Hello:
    """Asks a machine of the level above whether it is the granter, and registers the cell's leader there.

    Attributes:
        cell: Number of the cell that is led.
        router: Index of the router that leads it.
        incarnation: Incarnation of that router's process.
        term: Number of that incarnation's term as the cell's leader.
        token: Value that the answer repeats.
    """

    cell: int
    router: int
    incarnation: int
    term: int
    token: int


@dataclass(frozen=True, slots=True)
class Welcome:
    """The granter's answer to a `Hello`.

    Attributes:
        incarnation: Incarnation of the granter's process.
        term: Number of that incarnation's term as the granter.
        token: Token of the `Hello`.
        epoch: Epoch under which this leader reports for its cell. It ends when another leader is given a
            later one.
    """

    incarnation: int
    term: int
    token: int
    epoch: int


LevelMessage = Hello | Welcome | BudgetReport | BudgetAnswer


def encode_hello(group: int, hello: Hello) -> bytes:
    """Encodes a Hello for a group."""
    return seal(
        FORMAT,
        group,
        {0: 2, 1: hello.incarnation, 2: hello.token, 3: hello.cell, 4: hello.router, 6: hello.term},
    )


def encode_welcome(group: int, welcome: Welcome) -> bytes:
    """Encodes a Welcome for a group."""
    return seal(
        FORMAT, group, {0: 3, 1: welcome.incarnation, 2: welcome.token, 5: welcome.epoch, 6: welcome.term}
    )


def decode(group: int, data: bytes) -> LevelMessage:
    """Decodes a datagram between levels; reports and answers have the same form as between routers.

    Raises:
        DatagramDecodeError: The datagram is damaged, of another group or not of this kind.
    """
    fields = unseal(FORMAT, group, data)
    with wrap_decode_errors():
        if fields[0] == 2:
            return Hello(*(checked_counter(fields[key]) for key in (3, 4, 1, 6, 2)))
        if fields[0] == 3:
            return Welcome(*(checked_counter(fields[key]) for key in (1, 6, 2, 5)))
    return decode_budgets(group, data)


def budget_for_level_above(budget: Budget, lease_s: float) -> Budget:
    """Returns a budget as the level above a cell has it, with a longer time to settle.

    A cell may grant leases until its own ends. The last of them then lasts for one more lease of the cell's
    level, and what is in use beyond it for the budget's own `settle_s`.

    Args:
        budget: The budget as the cell has it.
        lease_s: Duration of a lease that the cell grants, in seconds.
    """
    return replace(budget, settle_s=budget.settle_s + lease_s)


class CellRouterPolicy(MemberPolicy):
    """Members that are routers in the places of one cell.

    `share_count` is the most routers that the fleet may have. Each has an even share of the guaranteed units
    in whichever cell it is, so that no plan changes a router's guaranteed units.
    """

    def replaced_process_settled_at(self, allocation: BudgetAllocation, lease_s: float, now: float) -> float:
        """Returns when everything that the former router of a place had has ended.

        It may have moved to another cell rather than have died; then only its leases' expiry ends what it
        had.
        """
        return now + (lease_s + allocation.settle_s) * (1 + MAX_CLOCK_DRIFT)


class CellPolicy(MemberPolicy):
    """Members that are cells or regions.

    They report units beyond the guaranteed ones of their routers, and the most guaranteed units of any one
    router.
    """

    def all_guaranteed_units(self, allocation: BudgetAllocation) -> int:
        """Guaranteed units of all routers of the fleet, each with the most that any cell reports."""
        guarantees = [account.guaranteed_units for account in allocation.accounts.values()]
        unreported = self.max_unreported_guarantee(allocation) if len(guarantees) < self.member_count else 0
        return self.share_count * max([unreported, *guarantees])

    def observed_use(self, usage: BudgetUsage) -> tuple[int, int]:
        """Units that count as used by a cell: the units wanted if these are more than the units used.

        A cell's demand is what its ledger estimates for its routers. To estimate it a second time from what
        is used makes shares oscillate, for it takes a while until routers use what their cell is granted.
        """
        return max(usage.used_units, usage.wanted_units), 0

    def is_use_unknown(self, report: BudgetReport) -> bool:
        """Whether the leader does not know yet what leaders before it granted."""
        return report.age_ms == 0

    def earlier_processes_settled_at(
        self, allocation: BudgetAllocation, lease_s: float, age_s: float, now: float
    ) -> float:
        """Returns the present time: a cell's leader reports for all routers that were ever in the cell."""
        return now

    def on_new_incarnation(
        self,
        allocation: BudgetAllocation,
        account: MemberAccount,
        has_reported: bool,
        lease_s: float,
        now: float,
    ) -> None:
        """Keeps the account for another leader of the cell: routers may have what the cell was granted."""
        account.report_token = None


class BudgetLeaseGranter:
    """Leases budgets to cells for one term of this machine as the granter of its level.

    Args:
        machine_index: Index of this machine among those of its level.
        cell_count: Maximum number of cells.
        share_count: Maximum number of routers in the fleet.
        incarnation: Incarnation of this process.
        term: Number of the term within this incarnation, from 1.
        guaranteed_ratio: Part of each total of which each router always has an even share.
        lease_s: Duration of a grant, in seconds.
        now: Time at which the term began.
        known_totals: Totals of each budget that this machine's configuration had lately, by budget id.
        source: Source of the units to divide, where another level leases them to this one; by default the
            totals.
    """

    def __init__(
        self,
        machine_index: int,
        cell_count: int,
        share_count: int,
        incarnation: int,
        term: int,
        guaranteed_ratio: float,
        lease_s: float,
        now: float,
        known_totals: Mapping[int, set[int]] = MappingProxyType({}),
        source: BudgetSource | None = None,
    ) -> None:
        policy = CellPolicy(cell_count, guaranteed_ratio, share_count)
        self.ledger = AllocationLedger(
            machine_index,
            cell_count,
            incarnation,
            term,
            guaranteed_ratio,
            lease_s,
            now,
            known_totals,
            policy,
            source,
        )
        self.leaders: dict[int, tuple[int, int, int]] = {}  # router, incarnation and term, by cell
        self.epochs: dict[int, int] = {}  # epoch of the present leader, by cell

    def handle_hello(self, hello: Hello) -> Welcome | None:
        """Registers a cell's leader; the one that asked last counts.

        A late Hello of a former leader is registered too. That leader does nothing with the answer, and the
        present one asks again.

        Returns:
            The answer, or None where there is no such cell.
        """
        if not 0 <= hello.cell < self.ledger.member_count:
            return None
        leader = (hello.router, hello.incarnation, hello.term)
        if self.leaders.get(hello.cell) != leader:
            self.leaders[hello.cell] = leader
            self.epochs[hello.cell] = self.epochs.get(hello.cell, 0) + 1
        return Welcome(self.ledger.incarnation, self.ledger.term, hello.token, self.epochs[hello.cell])

    def handle_report(self, cell: int, report: BudgetReport, now: float) -> BudgetAnswer | None:
        """Answers a cell's report; None where another leader has followed its sender, whose data are old."""
        if report.incarnation != self.epochs.get(cell):
            return None
        return self.ledger.handle_report(cell, report, now)


@dataclass(eq=False, slots=True)
class CellBudget(LocalBudget):
    """One budget as a cell has it, beyond the guaranteed units of its routers.

    `in_flight` is what the cell's ledger may have granted to its routers.

    Attributes:
        is_in_flight_known: Whether the cell's routers can hold no more than `in_flight`.
        routers_used_units: Units used by the cell's routers.
        routers_wanted_units: Units wanted by the cell's routers.
    """

    is_in_flight_known: bool = False
    routers_used_units: int = 0
    routers_wanted_units: int = 0

    def used_units(self, now: float) -> int:
        """Units that the cell's routers use."""
        return self.routers_used_units

    def held_units(self, now: float) -> int:
        """Units that are leased to the cell, or that its routers may have if these are more."""
        return max(self.valid_lease_units(now), self.in_flight)

    def estimate_demand(self, now: float, interval_s: float, engine_count: int) -> int:
        """Units that the cell's routers want."""
        return self.routers_wanted_units


class BudgetLeaseHolder(LocalBudgets, BudgetSource):
    """Leases budgets for a cell, for one term of this router as the cell's leader.

    Args:
        cell: Number of the cell that this router leads.
        leader: This router, its incarnation and its term, as in `Hello`.
        machine_count: Number of machines of the level above, one of which is the granter.
        lease_s: Duration of a lease of that level, in seconds.
        now: Time at which the term began.

    Attributes:
        ledger: This router's ledger, which divides what the cell holds among the cell's routers.
        predecessor_units: Units that earlier leaders may have granted, by budget id.
        epoch: Epoch of the granter's `Welcome`; 0 if the granter is not known.
        hello_count: Number of Hellos sent in this term.
        hello_machine: Index of the machine that the last Hello went to.
    """

    BUDGET_TYPE = CellBudget

    def __init__(
        self, cell: int, leader: tuple[int, int, int], machine_count: int, lease_s: float, now: float
    ) -> None:
        LocalBudgets.__init__(self, cell, 1, 0.0, lease_s, now)
        self.leader, self.machine_count = leader, machine_count
        self.ledger: AllocationLedger | None = None
        self.predecessor_units: dict[int, int] = {}
        self.epoch, self.hello_count, self.last_hello_at, self.last_answer_at, self.hello_machine = (
            0,
            0,
            now - HELLO_INTERVAL_S,
            now,
            leader[0],
        )

    # The source of what this router's ledger divides.

    def leasable_units(self, allocation: BudgetAllocation, now: float) -> int:
        """Units that are leased to the cell."""
        local = self.budgets.get(allocation.budget_id)
        return local.valid_lease_units(now) if local is not None else 0

    def agreed_total(self, allocation: BudgetAllocation) -> int:
        """The smaller of the cell's total and the one agreed with the level above."""
        local = self.budgets.get(allocation.budget_id)
        return (
            min(allocation.total_units, local.agreed_total) if local is not None else allocation.total_units
        )

    def can_renew(self, allocation: BudgetAllocation, now: float) -> bool:
        """Whether the cell's own lease is in force.

        After its end nothing is granted, so that all grants end before the level above counts the units as
        free.
        """
        local = self.budgets.get(allocation.budget_id)
        return local is not None and now < local.lease_expires_at

    def max_earlier_grants(self, allocation: BudgetAllocation, members: MemberPolicy) -> int:
        """Returns all that the cell was leased: earlier leaders may have granted it.

        The ledger counts these units until the cell's routers have reported what they hold.
        """
        return self.predecessor_units.get(allocation.budget_id, MAX_BUDGET_UNITS)

    # Reports to the level above.

    def make_messages(self, now: float) -> list[tuple[int, Hello | BudgetReport]]:
        """Returns the messages to send, each with the index of the machine that it is for.

        These are reports to the granter or, while it is not known, a Hello to each machine in turn.
        """
        if not self.epoch or now >= self.last_answer_at + ANSWER_TIMEOUT_S:
            if now < self.last_hello_at + HELLO_INTERVAL_S:
                return []
            self.last_hello_at, self.hello_machine, self.hello_count = (
                now,
                (self.hello_machine + 1) % self.machine_count,
                self.hello_count + 1,
            )
            return [(self.hello_machine, Hello(self.router_index, *self.leader, self._hello_token()))]
        self._refresh(now)
        return [(self.granter[0], r) for r in self.make_reports(*self.granter, self.epoch, now)]

    def _hello_token(self) -> int:
        """The token of the last Hello, which no answer to a Hello of an earlier term has."""
        _, incarnation, term = self.leader
        return (incarnation & 0xFFF) << 28 | (term & 0xFFF) << 16 | self.hello_count & 0xFFFF

    def _refresh(self, now: float) -> None:
        """Takes over the ledger's sums, beyond guaranteed units, for the budgets configured here."""
        if self.ledger is None:
            return
        summaries = dict[int, AllocationSummary]()
        for budget_id, allocation in self.ledger.allocations.items():
            if budget_id in self.ledger.budgets:
                summaries[budget_id] = self.ledger.summarize(allocation, now)
        budgets = [
            replace(self.ledger.budgets[n], units=self.ledger.allocations[n].total_units) for n in summaries
        ]
        self.set_budgets([budget_for_level_above(budget, self.ledger.lease_s) for budget in budgets], now)
        for budget_id, summary in summaries.items():
            local = self.budgets[budget_id]
            assert isinstance(local, CellBudget)
            # What earlier leaders granted is in the cell's account above, or in no account there yet.
            local.is_in_flight_known = budget_id in self.predecessor_units or summary.unreported_units == 0
            local.in_flight = summary.committed_units + (
                summary.unreported_units if local.is_in_flight_known else 0
            )
            local.routers_used_units, local.routers_wanted_units, local.guaranteed_units = (
                summary.used_units,
                summary.wanted_units,
                summary.max_guaranteed_units,
            )
            local.waiting, local.waiting_weight = (
                {""} if summary.wanted_units else set(),
                summary.priority_weight,
            )

    def age_ms(self, usages: tuple[BudgetUsage, ...], now: float) -> int:
        """Returns the time since this term began, as a report of these usages states it.

        Returns:
            Milliseconds, 1 or more; 0 where it is not known what earlier leaders granted, and the cell's
            account is to stay as it is.
        """
        budgets = [self.budgets[usage.budget_id] for usage in usages]
        is_known = all(isinstance(local, CellBudget) and local.is_in_flight_known for local in budgets)
        return max(LocalBudgets.age_ms(self, usages, now), 1) if is_known else 0

    def handle_message(self, sender: int, message: Welcome | BudgetAnswer, now: float) -> bool:
        """Handles a message of the level above.

        Args:
            sender: Index of the machine that sent it.
            message: The answer to a Hello or to a report.
            now: The present time.

        Returns:
            Whether it was an answer to this router.
        """
        if isinstance(message, Welcome):
            if not self.hello_count or message.token != self._hello_token():
                return False
            if (sender, message.incarnation, message.term, message.epoch) != (
                *self.granter,
                self.granter_term,
                self.epoch,
            ):
                self.follow_granter(sender, message.incarnation, message.term)
                self.epoch = message.epoch
            self.last_answer_at = now
            return True
        term_before = self.granter_term
        if not self.handle_answer(sender, message, now):
            return False
        if message.leader_term != term_before:
            self.epoch = 0  # in its new term the granter knows no leaders of cells
            return True
        self.last_answer_at = now
        for grant in message.grants:
            self.predecessor_units.setdefault(grant.budget_id, grant.leased_units)
        return True
