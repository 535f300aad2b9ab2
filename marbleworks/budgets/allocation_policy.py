"""Policies of an allocation ledger that differ between the levels of a fleet.

They define who the members are and how many units there are to divide. The classes here are for a ledger
whose members are routers and which divides the totals in the operator's file; `cells/budget_leases.py` has
those of other levels. The module does no I/O and reads no clock; times are seconds on one clock.
"""

from __future__ import annotations

from marbleworks.budgets.allocation import BudgetAllocation, MemberAccount
from marbleworks.budgets.codec import BudgetReport, BudgetUsage
from marbleworks.budgets.fair_division import Demand
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT


class MemberPolicy:
    """Policy for members that are router processes.

    A process that was replaced by a newer process of the same router is dead, and engines end its in-flight
    requests within the budget's `orphan_timeout_s`. Until then its account is kept beside the new one.

    Args:
        member_count: Number of members, by the settings.
        guaranteed_ratio: Part of each total that is guaranteed; each member has an even share of it.
        share_count: Number of those even shares, if it exceeds the number of members of this ledger.
    """

    def __init__(self, member_count: int, guaranteed_ratio: float, share_count: int | None = None) -> None:
        self.member_count = member_count
        self.guaranteed_ratio = guaranteed_ratio
        self.share_count = share_count or member_count

    def guaranteed_units(self, total: int) -> int:
        """Number of units of a total that one router may always use."""
        return int(self.guaranteed_ratio * total) // self.share_count

    def max_unreported_guarantee(self, allocation: BudgetAllocation) -> int:
        """Maximum number of guaranteed units of a member that has not reported."""
        return max(self.guaranteed_units(total) for total in allocation.known_totals)

    def all_guaranteed_units(self, allocation: BudgetAllocation) -> int:
        """Guaranteed units of all members.

        The maximum is assumed for members that have not reported.
        """
        reported = sum(account.guaranteed_units for account in allocation.accounts.values())
        missing = self.member_count - len(allocation.accounts)
        return reported + self.max_unreported_guarantee(allocation) * missing

    def leasable_units(self, total: int) -> int:
        """Units of a total that are left after all guaranteed ones."""
        return total - self.share_count * self.guaranteed_units(total)

    def observed_use(self, usage: BudgetUsage) -> tuple[int, int]:
        """Returns the units that a member was observed to use and the guaranteed units among them."""
        return usage.used_units, usage.guaranteed_units

    def is_use_unknown(self, report: BudgetReport) -> bool:
        """Whether the member itself does not know how many units it has in use."""
        return False

    def replaced_process_settled_at(self, allocation: BudgetAllocation, lease_s: float, now: float) -> float:
        """Time by which all units are free of a member that is replaced at `now`."""
        return now + allocation.orphan_timeout_s * (1 + MAX_CLOCK_DRIFT)

    def earlier_processes_settled_at(
        self, allocation: BudgetAllocation, lease_s: float, age_s: float, now: float
    ) -> float:
        """Time by which all units of the predecessors of a member are free.

        Args:
            allocation: Allocation of the budget.
            lease_s: Lease duration of this ledger, in seconds.
            age_s: Time since the member started or joined the group, in seconds.
            now: Current time, in seconds.
        """
        return self.replaced_process_settled_at(allocation, lease_s, now) - age_s * (1 - MAX_CLOCK_DRIFT)

    def on_new_incarnation(
        self,
        allocation: BudgetAllocation,
        account: MemberAccount,
        has_reported: bool,
        lease_s: float,
        now: float,
    ) -> None:
        """Hands the account of a member over to a newer process of the same member.

        Args:
            allocation: Allocation of the budget.
            account: Account of the earlier process; it becomes that of the new one.
            has_reported: Whether the earlier process has reported in this term.
            lease_s: Lease duration of this ledger, in seconds.
            now: Current time, in seconds.
        """
        if has_reported and account.max_units and now < account.expires_at:
            former = MemberAccount(account.held_units, dict(account.unconfirmed_grants))
            settled_at = self.replaced_process_settled_at(allocation, lease_s, now)
            former.expires_at = min(account.expires_at, settled_at)
            allocation.former_accounts.append(former)
        account.clear()
        account.report_token = None
        account.demand = Demand()


class BudgetSource:
    """Source of the units that a ledger divides: the totals in the operator's file."""

    def leasable_units(self, allocation: BudgetAllocation, now: float) -> int:
        """Units that may be leased: the total less all guaranteed units."""
        return allocation.total_units - allocation.guaranteed_units

    def agreed_total(self, allocation: BudgetAllocation) -> int:
        """Total from which members may calculate their guaranteed units."""
        return allocation.total_units

    def can_renew(self, allocation: BudgetAllocation, now: float) -> bool:
        """Whether units may be granted and leases renewed."""
        return True

    def max_earlier_grants(self, allocation: BudgetAllocation, members: MemberPolicy) -> int:
        """Maximum number of units that earlier granters may have granted."""
        return max(members.leasable_units(total) for total in allocation.known_totals)
