"""Records of the allocation ledger: one account per member for each budget.

The module does no I/O and reads no clock. Units are whole numbers; times are seconds on one clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from marbleworks.budgets.fair_division import Demand


@dataclass(eq=False, slots=True)
class MemberAccount:
    """Units of one budget that one member has beyond its guaranteed units.

    Attributes:
        held_units: Units beyond the guaranteed ones that its last report showed as held.
        unconfirmed_grants: Units of the grants that its reports have not shown yet, keyed by grant serial.
        grant_serial: Serial of the last grant; 0 if there was none.
        granted_units: Units of the last grant.
        expires_at: Time from which the member holds no units.
        report_token: Token of its last report; None if this incarnation has not reported.
        used_units: Units in use by its last report.
        guaranteed_units: Units that the member may use without a grant.
        reported_total: Total of the budget in the member's configuration.
        demand: Estimate of its demand, from its reports.
        reported_at: Time of its last report.
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
        """Maximum number of units that the member may believe it holds."""
        if not self.unconfirmed_grants:
            return self.held_units
        return max(self.held_units, *self.unconfirmed_grants.values())

    def clear(self) -> None:
        """Removes the held units and all grants."""
        self.held_units = 0
        self.clear_grants()

    def clear_grants(self) -> None:
        """Removes all grants; units that the member reported as held stay."""
        self.granted_units = 0
        self.grant_serial = 0
        self.unconfirmed_grants.clear()


@dataclass(eq=False, slots=True)
class BudgetAllocation:
    """One budget in a ledger.

    Derived values are recalculated at each division and by reports that change them.

    Attributes:
        settle_s: Time after the end of a lease by which all use beyond the guaranteed units has ended.
        orphan_timeout_s: Time after the end of a process by which its units are no longer in use.
        known_totals: Totals that members reported recently.
        budget_id: Identifier of the budget.
        total_units: Smallest total that any member reports; derived.
        guaranteed_units: Guaranteed units of all members together; derived.
        committed_units: Sum of the maximum units of all accounts, former ones included; derived.
        accounts: Accounts keyed by member.
        former_accounts: Accounts of processes that were replaced by a newer process of the same member.
        initially_held_units: Sum of the units that members held by their first reports of this term.
        earlier_processes_settled_at: Time by which all units of the members' earlier processes are free.
        shares: Units by member, from the last division.
        divided_at: Time of the last division.
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
    earlier_processes_settled_at: float = -math.inf
    shares: dict[int, int] = field(default_factory=dict)
    divided_at: float = -math.inf


@dataclass(frozen=True, slots=True)
class AllocationSummary:
    """One budget summed over all members, as reported to the level above.

    Attributes:
        committed_units: Units beyond the guaranteed ones that all accounts together may hold.
        unreported_units: Further units that members may hold that have not reported.
        used_units: Units in use beyond the guaranteed ones.
        wanted_units: Units wanted beyond the guaranteed ones.
        priority_weight: Mean priority weight of the wanted units.
        max_guaranteed_units: Largest number of guaranteed units that one member may have.
    """

    committed_units: int
    unreported_units: int
    used_units: int
    wanted_units: int
    priority_weight: float
    max_guaranteed_units: int


@dataclass(frozen=True, slots=True)
class AllocationSnapshot:
    """State of one budget in the ledger, as shown to operators.

    Attributes:
        total_units: Total of the budget.
        guaranteed_units: Guaranteed units of all members together.
        committed_units: Units beyond the guaranteed ones that all accounts together may hold.
        used_units: Units in use by members that report.
        free_units: Units that may be granted.
        unreported_units: Units that members may hold that have not reported.
        unreachable_units: Units held by members that no longer report and by processes that have ended.
        member_units: Maximum number of units that each member may hold, keyed by member.
    """

    total_units: int
    guaranteed_units: int
    committed_units: int
    used_units: int
    free_units: int
    unreported_units: int
    unreachable_units: int
    member_units: dict[int, int]
