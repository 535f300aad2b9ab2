"""The granter's allocation ledger: the maximum that each member may hold of each budget.

A ledger lasts for one term of its router as the group's leader and has one account per member and budget.
An account is an upper bound on what the member may believe it holds: the units it reported and each later
grant that it may have received. The sum of all accounts and of the units that members may hold that have not
reported never exceeds the units that are divided; docs/design/budgets.md has the proof. The module does no
I/O and reads no clock; times are seconds on one clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from types import MappingProxyType

from marbleworks.budgets.allocation import (
    AllocationSnapshot,
    AllocationSummary,
    BudgetAllocation,
    MemberAccount,
)
from marbleworks.budgets.allocation_policy import BudgetSource, MemberPolicy
from marbleworks.budgets.budget_catalog import MAX_BUDGET_UNITS, Budget
from marbleworks.budgets.codec import BudgetAnswer, BudgetGrant, BudgetReport, BudgetUsage
from marbleworks.budgets.fair_division import divide
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT

DIVISION_INTERVAL_S = 0.1  # minimum time between two divisions of one budget
REPORT_TIMEOUT_S = 1.0  # a member without a report for this long no longer counts as present
MAX_BUDGETS = 4096
# Allocations above twice the number of configured budgets that are kept before the ones without committed
# units that are not configured here are dropped.
MAX_FOREIGN_BUDGETS = 64
MAX_KNOWN_TOTALS = 7  # earlier totals of one budget that are remembered; the largest are kept
UNKNOWN_BUDGET_SETTLE_S = 60.0  # settle time of a budget that is not configured at this router
TOKEN_MASK = 0xFFFFFF  # bits of a report's token that hold its sequence number
MAX_TOKEN_STEP = 1 << 23  # a token that is ahead by this many steps or more counts as an older one


class AllocationLedger:
    """Accounts of one term of a granter.

    Args:
        member_index: Index of this router among the members.
        member_count: Number of members, by the settings.
        incarnation: Incarnation of this process.
        term: Number of the term within this incarnation, counted from 1.
        guaranteed_ratio: Part of each total that is guaranteed; each member has an even share of it.
        lease_s: Duration of a lease, in seconds.
        now: Start of the term, in seconds.
        known_totals: Totals that this router's configuration had recently, keyed by budget id.
        member_policy: Policy for the members; by default that for routers.
        source: Source of the units that are divided; by default the totals of the operator's file.
    """

    def __init__(  # noqa: PLR0913 - all of them describe one term; no caller has an object that groups them
        self,
        member_index: int,
        member_count: int,
        incarnation: int,
        term: int,
        guaranteed_ratio: float,
        lease_s: float,
        now: float,
        known_totals: Mapping[int, set[int]] = MappingProxyType({}),
        member_policy: MemberPolicy | None = None,
        source: BudgetSource | None = None,
    ) -> None:
        self.member_index = member_index
        self.member_count = member_count
        self.incarnation = incarnation
        self.term = term
        self.lease_s = lease_s
        self.started_at = now
        self.known_totals = known_totals
        self.member_policy = member_policy or MemberPolicy(member_count, guaranteed_ratio)
        self.source = source or BudgetSource()
        self.allocations: dict[int, BudgetAllocation] = {}
        self.budgets: dict[int, Budget] = {}
        self.incarnations: dict[int, int] = {}  # keyed by member
        self.config_versions: dict[int, tuple[int, int]] = {}  # version and digest, keyed by member
        self.last_serial = 0

    def set_budgets(self, budgets: list[Budget]) -> None:
        """Replaces the configured budgets of this router."""
        self.budgets = {budget.budget_id: budget for budget in budgets}
        for budget_id, allocation in self.allocations.items():
            budget = self.budgets.get(budget_id)
            if budget is not None:
                allocation.known_totals.add(budget.units)
                allocation.settle_s = budget.settle_s
                allocation.orphan_timeout_s = budget.orphan_timeout_s
            allocation.divided_at = -math.inf

    # Free units.

    def _refresh(self, allocation: BudgetAllocation, now: float) -> None:
        """Removes expired units and recalculates the derived values.

        The total is the smallest one that any present member reports, so a smaller total applies as soon as
        one member has it and a larger one once all members have it.
        """
        allocation.former_accounts = [a for a in allocation.former_accounts if now < a.expires_at]
        accounts = allocation.accounts.values()
        for account in accounts:
            if now >= account.expires_at:
                account.clear()
        totals = [a.reported_total for a in accounts if now < a.reported_at + REPORT_TIMEOUT_S]
        own_budget = self.budgets.get(allocation.budget_id)
        if own_budget is not None:
            totals.append(own_budget.units)
        allocation.total_units = min(totals, default=allocation.total_units)
        allocation.guaranteed_units = self.member_policy.all_guaranteed_units(allocation)
        former_units = sum(a.max_units for a in allocation.former_accounts)
        allocation.committed_units = sum(a.max_units for a in accounts) + former_units

    def _unreported_units(self, allocation: BudgetAllocation, now: float) -> int:
        """Maximum number of units held by members that have not reported in this term.

        This is what earlier granters may have granted, less the units that the other members reported as
        held. It is 0 once all earlier grants must have expired.
        """
        if now >= self._settled_at(allocation, self.started_at):
            return 0
        if len(allocation.accounts) == self.member_count and now >= allocation.earlier_processes_settled_at:
            return 0  # all members have reported, and the units of their earlier processes are free
        earlier_grants = self.source.max_earlier_grants(allocation, self.member_policy)
        return max(earlier_grants - allocation.initially_held_units, 0)

    def _settled_at(self, allocation: BudgetAllocation, now: float) -> float:
        """Time by which all units granted up to `now` are free unless they are renewed."""
        return now + (self.lease_s + allocation.settle_s) * (1 + MAX_CLOCK_DRIFT)

    def free_units(self, allocation: BudgetAllocation, now: float) -> int:
        """Units that may be granted; negative after the total was reduced."""
        leasable = self.source.leasable_units(allocation, now)
        return leasable - self._unreported_units(allocation, now) - allocation.committed_units

    def summarize(self, allocation: BudgetAllocation, now: float) -> AllocationSummary:
        """Sums up one budget over all members, for the level above."""
        self._refresh(allocation, now)
        accounts = allocation.accounts.values()
        present = [a for a in accounts if now < a.reported_at + REPORT_TIMEOUT_S]
        weighted_demands = [
            (max(a.demand.units - a.demand.guaranteed_units, 0.0), a.demand.priority_weight) for a in present
        ]
        wanted = sum(units for units, _ in weighted_demands)
        mean_weight = sum(units * weight for units, weight in weighted_demands) / wanted if wanted else 1.0
        guarantees = [self.member_policy.guaranteed_units(self.source.agreed_total(allocation))]
        if len(accounts) < self.member_count:
            guarantees.append(self.member_policy.max_unreported_guarantee(allocation))
        guarantees += [a.guaranteed_units for a in accounts]
        return AllocationSummary(
            committed_units=allocation.committed_units,
            unreported_units=self._unreported_units(allocation, now),
            used_units=sum(max(a.used_units - a.demand.guaranteed_units, 0) for a in present),
            wanted_units=math.ceil(wanted),
            priority_weight=mean_weight,
            max_guaranteed_units=max(0, *guarantees),
        )

    # Reports and grants.

    def handle_report(self, member: int, report: BudgetReport, now: float) -> BudgetAnswer | None:
        """Updates a member's accounts from its report and grants it units.

        Args:
            member: Index of the member that sent the report.
            report: The report.
            now: Current time, in seconds.

        Returns:
            The answer with the grants; None if the report is outdated or not meant for this granter, or if
            the budgets of this router are not known yet.
        """
        known_incarnation = self.incarnations.get(member, 0)
        if not 0 <= member < self.member_count or report.incarnation < max(known_incarnation, 1):
            return None
        if not self.budgets:
            return None  # the settle times of the budgets are not known yet
        if report.leader_incarnation != self.incarnation:
            return None
        if report.leader_term != self.term:
            # The answer tells the member the current term. It then rejects answers of older terms, and its
            # next report is accepted.
            return BudgetAnswer(self.incarnation, self.term, report.token, ())
        if report.incarnation > known_incarnation:
            self._on_new_incarnation(member, report.incarnation, now)
        self.config_versions[member] = report.config_version, report.config_digest
        grants = [self._handle_usage(member, report, usage, now) for usage in report.usages]
        known_grants = tuple(grant for grant in grants if grant is not None)
        return BudgetAnswer(self.incarnation, self.term, report.token, known_grants)

    def _on_new_incarnation(self, member: int, incarnation: int, now: float) -> None:
        """Hands the accounts of a member over to its newer process.

        The units that the earlier process had in use become free without further reports.
        """
        has_reported = member in self.incarnations
        self.incarnations[member] = incarnation
        for allocation in self.allocations.values():
            account = allocation.accounts.get(member)
            if account is not None:
                self.member_policy.on_new_incarnation(allocation, account, has_reported, self.lease_s, now)

    def _handle_usage(
        self, member: int, report: BudgetReport, usage: BudgetUsage, now: float
    ) -> BudgetGrant | None:
        if not _is_plausible(usage):
            return None
        allocation = self.allocations.get(usage.budget_id) or self._add_allocation(usage)
        if allocation is None:
            return None
        is_use_unknown = self.member_policy.is_use_unknown(report)
        account = allocation.accounts.get(member)
        if account is None:
            if is_use_unknown and now < self._settled_at(allocation, self.started_at):
                return None  # neither the member nor this ledger knows how many units it has in use
            account = self._add_account(member, report, usage, allocation, now)
        elif not _is_newer(report.token, account.report_token):
            return None
        can_renew = self.source.can_renew(allocation, now)
        self._extend(account, allocation, can_renew, now)
        self._apply_usage(account, allocation, report.token, usage, is_use_unknown, now)
        if now >= allocation.divided_at + DIVISION_INTERVAL_S:
            self._divide(allocation, now)
        if not can_renew:
            return None  # the lease expires, and requests beyond the guaranteed units are cancelled
        return self._grant(member, account, allocation, usage, is_use_unknown, now)

    def _add_allocation(self, usage: BudgetUsage) -> BudgetAllocation | None:
        """Adds an allocation for the budget of a usage; returns None if there are too many budgets."""
        if len(self.allocations) > MAX_FOREIGN_BUDGETS + 2 * len(self.budgets):
            # Most of these are budgets of engines that were removed.
            self.allocations = {
                budget_id: allocation
                for budget_id, allocation in self.allocations.items()
                if budget_id in self.budgets or allocation.committed_units
            }
        if len(self.allocations) >= MAX_BUDGETS:
            return None
        known_totals = {usage.total_units, *self.known_totals.get(usage.budget_id, ())}
        budget = self.budgets.get(usage.budget_id)
        if budget is None:
            allocation = BudgetAllocation(UNKNOWN_BUDGET_SETTLE_S, UNKNOWN_BUDGET_SETTLE_S, known_totals)
        else:
            known_totals.add(budget.units)
            allocation = BudgetAllocation(budget.settle_s, budget.orphan_timeout_s, known_totals)
        allocation.budget_id = usage.budget_id
        self.allocations[usage.budget_id] = allocation
        return allocation

    def _add_account(
        self, member: int, report: BudgetReport, usage: BudgetUsage, allocation: BudgetAllocation, now: float
    ) -> MemberAccount:
        account = MemberAccount()
        allocation.accounts[member] = account
        account.expires_at = self._settled_at(allocation, now)
        allocation.initially_held_units += max(usage.held_units, usage.held_or_lapsed_units)
        settled_at = self.member_policy.earlier_processes_settled_at(
            allocation, self.lease_s, report.age_ms / 1000.0, now
        )
        allocation.earlier_processes_settled_at = max(allocation.earlier_processes_settled_at, settled_at)
        allocation.divided_at = -math.inf
        return account

    def _extend(
        self, account: MemberAccount, allocation: BudgetAllocation, can_renew: bool, now: float
    ) -> None:
        """Extends an account until a lease granted now must have ended; restarts an expired account."""
        is_expired = now >= account.expires_at
        if is_expired and not can_renew:
            account.clear_grants()
        if is_expired or can_renew:
            account.expires_at = self._settled_at(allocation, now)

    def _apply_usage(
        self,
        account: MemberAccount,
        allocation: BudgetAllocation,
        token: int,
        usage: BudgetUsage,
        is_use_unknown: bool,
        now: float,
    ) -> None:
        """Updates a member's account from its reported usage."""
        reported = (usage.total_units, usage.guaranteed_units)
        if (
            reported != (account.reported_total, account.guaranteed_units)
            or usage.total_units not in allocation.known_totals
        ):
            largest_totals = sorted(allocation.known_totals)[-MAX_KNOWN_TOTALS:]
            allocation.known_totals = {*largest_totals, usage.total_units}
            allocation.divided_at = -math.inf
        units_before = account.max_units
        account.report_token = token
        account.reported_at = now
        account.used_units = usage.used_units
        account.guaranteed_units = usage.guaranteed_units
        account.reported_total = usage.total_units
        account.held_units = max(usage.held_units, units_before) if is_use_unknown else usage.held_units
        account.unconfirmed_grants = {
            serial: units
            for serial, units in account.unconfirmed_grants.items()
            if serial > usage.grant_serial
        }
        used, guaranteed = self.member_policy.observed_use(usage)
        account.demand.update(
            used, guaranteed, usage.held_units, usage.wanted_units, usage.priority_weight, now
        )
        allocation.committed_units += account.max_units - units_before

    def _grant(
        self,
        member: int,
        account: MemberAccount,
        allocation: BudgetAllocation,
        usage: BudgetUsage,
        is_use_unknown: bool,
        now: float,
    ) -> BudgetGrant:
        """Grants a member its share, limited to the free units."""
        units_before = account.max_units
        units = units_before
        if not is_use_unknown:
            free = self.free_units(allocation, now) + units_before
            units = max(min(allocation.shares.get(member, 0), free), 0)
        has_given_up = usage.grant_serial == account.grant_serial and usage.held_units < account.granted_units
        if units != account.granted_units or not account.grant_serial or has_given_up:
            self.last_serial += 1
            account.grant_serial = self.last_serial
            account.granted_units = units
        account.unconfirmed_grants[account.grant_serial] = units
        agreed_total = self.source.agreed_total(allocation)
        guaranteed = self.member_policy.guaranteed_units(min(agreed_total, usage.total_units))
        if guaranteed > account.guaranteed_units:
            # The member may use them as soon as the answer arrives.
            account.guaranteed_units = guaranteed
            allocation.guaranteed_units = self.member_policy.all_guaranteed_units(allocation)
        allocation.committed_units += account.max_units - units_before
        return BudgetGrant(allocation.budget_id, account.grant_serial, units, agreed_total)

    def _divide(self, allocation: BudgetAllocation, now: float) -> None:
        self._refresh(allocation, now)
        demands = {
            member: account.demand
            for member, account in allocation.accounts.items()
            if now < account.reported_at + REPORT_TIMEOUT_S
        }
        leasable = max(self.source.leasable_units(allocation, now), 0)
        allocation.shares = divide(leasable, demands, allocation.budget_id, allocation.shares)
        allocation.divided_at = now

    # For operators.

    def disagreeing_members(self) -> list[int]:
        """Members whose configuration version or digest differs from the most common one."""
        versions = list(self.config_versions.values())
        most_common = max(sorted(set(versions)), key=versions.count, default=(0, 0))
        return sorted(member for member, version in self.config_versions.items() if version != most_common)

    def snapshots(self, now: float) -> dict[int, AllocationSnapshot]:
        """State of each budget, keyed by budget id."""
        return {
            budget_id: self._snapshot(allocation, now) for budget_id, allocation in self.allocations.items()
        }

    def _snapshot(self, allocation: BudgetAllocation, now: float) -> AllocationSnapshot:
        self._refresh(allocation, now)
        accounts = allocation.accounts.values()
        unreachable = [a for a in accounts if now >= a.reported_at + REPORT_TIMEOUT_S]
        present = [a for a in accounts if now < a.reported_at + REPORT_TIMEOUT_S]
        return AllocationSnapshot(
            total_units=allocation.total_units,
            guaranteed_units=allocation.guaranteed_units,
            committed_units=allocation.committed_units,
            used_units=sum(a.used_units for a in present),
            free_units=self.free_units(allocation, now),
            unreported_units=self._unreported_units(allocation, now),
            unreachable_units=sum(a.max_units for a in [*unreachable, *allocation.former_accounts]),
            member_units={member: a.max_units for member, a in sorted(allocation.accounts.items())},
        )


def _is_plausible(usage: BudgetUsage) -> bool:
    """Whether all numbers of a usage are within the limits of a budget."""
    largest = max(
        usage.held_units,
        usage.used_units,
        usage.wanted_units,
        usage.guaranteed_units,
        usage.held_or_lapsed_units,
    )
    return 0 < usage.total_units <= MAX_BUDGET_UNITS and largest <= MAX_BUDGET_UNITS


def _is_newer(token: int, last_token: int | None) -> bool:
    """Whether a report was sent after the last one; the sequence numbers in tokens wrap around."""
    return last_token is None or 0 < (token - last_token) & TOKEN_MASK < MAX_TOKEN_STEP
