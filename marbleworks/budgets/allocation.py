"""What a ledger records of each budget: one account for each member. No I/O, no clock.

Units are whole numbers, times are seconds of one clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from marbleworks.budgets.fair_division import Demand


@dataclass(eq=False, slots=True)
class MemberAccount:
    """What one member has of one budget, beyond its guaranteed units.

    Attributes:
        held_units: by its last report.
        unconfirmed_grants: units by serial of grants that its reports have not shown yet.
        grant_serial: of the last grant; 0: none.
        granted_units: by the last grant.
        expires_at: from then on it holds nothing.
        report_token: of its last report; None: none of this incarnation.
        used_units: by its last report.
        guaranteed_units: that it may count on.
        reported_total: the budget's total by its configuration.
        demand: by its reports.
        reported_at: time of its last report.
    """

    held_units: int = 0
    unconfirmed_grants: dict[int, int] = field(default_factory=dict)
    grant_serial: int = 0
    granted_units: int = 0
    expires_at: float = -math.inf
    report_token: int | None = None
    used_units: int = 0
    guaranteed_units: int = 0
    reported_total: int = 0
    demand: Demand = field(default_factory=Demand)
    reported_at: float = -math.inf

    @property
    def max_units(self) -> int:
        """The most that the member may believe it holds."""
        if not self.unconfirmed_grants:
            return self.held_units
        return max(self.held_units, *self.unconfirmed_grants.values())

    def clear(self) -> None:
        """Ends all that it held."""
        self.held_units = 0
        self.clear_grants()

    def clear_grants(self) -> None:
        """Ends what it was granted; what it reports to hold stays."""
        self.granted_units = 0
        self.grant_serial = 0
        self.unconfirmed_grants.clear()


@dataclass(eq=False, slots=True)
class BudgetAllocation:
    """One budget of a ledger; derived figures are refreshed at each division and by reports that change them.

    Attributes:
        settle_s: time after a lease by which everything beyond the guaranteed units has ended.
        orphan_timeout_s: time after the end of a process by which its units are no longer in use.
        known_totals: totals that any member reported lately.
        budget_id: of the budget.
        total_units: the smallest total that any member reports; derived.
        guaranteed_units: of all members together; derived.
        committed_units: by all accounts together; derived.
        accounts: by member.
        former_accounts: of processes that another of their name has followed.
        initially_held_units: reported as held by all members in their first reports of this term.
        predecessors_settled_at: when everything has ended that the processes before those had.
        shares: units by member, by the last division.
        divided_at: time of the last division.
    """

    settle_s: float
    orphan_timeout_s: float
    known_totals: set[int]
    budget_id: int = 0
    total_units: int = 0
    guaranteed_units: int = 0
    committed_units: int = 0
    accounts: dict[int, MemberAccount] = field(default_factory=dict)
    former_accounts: list[MemberAccount] = field(default_factory=list)
    initially_held_units: int = 0
    predecessors_settled_at: float = -math.inf
    shares: dict[int, int] = field(default_factory=dict)
    divided_at: float = -math.inf


@dataclass(frozen=True, slots=True)
class AllocationSummary:
    """One budget, all members together, as the level above is told of it.

    Attributes:
        committed_units: beyond the guaranteed ones, by all accounts.
        unreported_units: that members may hold besides which have not reported.
        used_units: beyond the guaranteed ones.
        wanted_units: beyond the guaranteed ones.
        priority_weight: the mean of the units that are wanted.
        max_guaranteed_units: the most that one member may have.
    """

    committed_units: int
    unreported_units: int
    used_units: int
    wanted_units: int
    priority_weight: float
    max_guaranteed_units: int


@dataclass(frozen=True, slots=True)
class AllocationSnapshot:
    """One budget for an operator who looks at the ledger.

    Attributes:
        total_units: of the budget.
        guaranteed_units: of all members together.
        committed_units: beyond those, by all accounts.
        used_units: by members that report.
        free_units: that may be granted.
        unreported_units: that members may hold which have not reported.
        unreachable_units: held by members that do not report and by processes that have ended.
        member_units: the most that each member may hold, by member.
    """

    total_units: int
    guaranteed_units: int
    committed_units: int
    used_units: int
    free_units: int
    unreported_units: int
    unreachable_units: int
    member_units: dict[int, int]
