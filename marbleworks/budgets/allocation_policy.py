"""What differs from one level of a fleet to the next: who the members are and what there is to divide.

The classes here are those of a ledger whose members are routers and which divides the totals of the
operator's file. `cells/budget_leases.py` has those of other levels. No I/O, no clock; times are seconds of
one clock.
"""

from __future__ import annotations

from marbleworks.budgets.allocation import BudgetAllocation, MemberAccount
from marbleworks.budgets.codec import BudgetReport, BudgetUsage
from marbleworks.budgets.fair_division import Demand
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT


class MemberPolicy:
    """Members that are processes of routers.

    A process that another of its name has followed is dead, and engines end what it had in flight within the
    budget's `orphan_timeout_s`; its account lasts that long beside the new one's.

    Args:
        member_count: by the settings.
        guaranteed_ratio: the part of each total of which each member always has an even share.
        share_count: of those shares, if there are more than members here.
    """

    def __init__(self, member_count: int, guaranteed_ratio: float, share_count: int | None = None) -> None:
        self.member_count = member_count
        self.guaranteed_ratio = guaranteed_ratio
        self.share_count = share_count or member_count

    def guaranteed_units(self, total: int) -> int:
        """Units that one router always may use."""
        return int(self.guaranteed_ratio * total) // self.share_count

    def max_unreported_guarantee(self, allocation: BudgetAllocation) -> int:
        """The most guaranteed units that a member may have which has not reported."""
        return max(self.guaranteed_units(total) for total in allocation.known_totals)

    def all_guaranteed_units(self, allocation: BudgetAllocation) -> int:
        """Guaranteed units of all members: as reported, and the most possible for those that have not."""
        reported = sum(account.guaranteed_units for account in allocation.accounts.values())
        missing = self.member_count - len(allocation.accounts)
        return reported + self.max_unreported_guarantee(allocation) * missing

    def leasable_units(self, total: int) -> int:
        """Units of a total beyond all guaranteed ones."""
        return total - self.share_count * self.guaranteed_units(total)

    def observed_use(self, usage: BudgetUsage) -> tuple[int, int]:
        """Units that a member was seen to use, and the guaranteed units that count among them."""
        return usage.used_units, usage.guaranteed_units

    def is_use_unknown(self, report: BudgetReport) -> bool:
        """Whether the member itself does not know what it may have in use."""
        return False

    def predecessor_settled_at(self, allocation: BudgetAllocation, lease_s: float, now: float) -> float:
        """When all has ended that a member had which another follows `now`."""
        return now + allocation.orphan_timeout_s * (1 + MAX_CLOCK_DRIFT)

    def predecessors_settled_at(
        self, allocation: BudgetAllocation, lease_s: float, age_s: float, now: float
    ) -> float:
        """When all has ended that the predecessors of a member had which is that old."""
        return self.predecessor_settled_at(allocation, lease_s, now) - age_s * (1 - MAX_CLOCK_DRIFT)

    def on_new_incarnation(
        self,
        allocation: BudgetAllocation,
        account: MemberAccount,
        has_reported: bool,
        lease_s: float,
        now: float,
    ) -> None:
        """Follows the process of an account by another of its name.

        Args:
            allocation: the budget.
            account: of the earlier process; becomes that of the new one.
            has_reported: whether the earlier process has reported in this term.
            lease_s: of this ledger.
            now: seconds.
        """
        if has_reported and account.max_units and now < account.expires_at:
            former = MemberAccount(account.held_units, dict(account.unconfirmed_grants))
            settled_at = self.predecessor_settled_at(allocation, lease_s, now)
            former.expires_at = min(account.expires_at, settled_at)
            allocation.former_accounts.append(former)
        account.clear()
        account.report_token = None
        account.demand = Demand()


class BudgetSource:
    """What there is to divide: the totals of the operator's file."""

    def leasable_units(self, allocation: BudgetAllocation, now: float) -> int:
        """Units beyond all guaranteed ones."""
        return allocation.total_units - allocation.guaranteed_units

    def agreed_total(self, allocation: BudgetAllocation) -> int:
        """The total that guaranteed units may follow."""
        return allocation.total_units

    def can_renew(self, allocation: BudgetAllocation, now: float) -> bool:
        """Whether units may be granted, or granted for longer."""
        return True

    def max_earlier_grants(self, allocation: BudgetAllocation, members: MemberPolicy) -> int:
        """The most that earlier granters may have granted."""
        return max(members.leasable_units(total) for total in allocation.known_totals)
