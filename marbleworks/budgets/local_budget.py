"""All budgets at one router: acquired units, reports to the granter, and grants from it.

A router always has its guaranteed units, and beyond those the units of a lease until that expires by the
router's own clock. A unit is in use from its acquisition until the request has certainly ended. A router
never acquires more units than it has at that moment, and it ignores outdated grants. docs/design/budgets.md
has the proof that the total is never exceeded. The module does no I/O and reads no clock; times are seconds
on one clock.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import replace
from typing import NamedTuple

from marbleworks.budgets.budget_catalog import ABANDONED_ATTEMPT_TIMEOUT_S, Budget
from marbleworks.budgets.codec import BudgetAnswer, BudgetReport, BudgetUsage, encode_report, split_usages
from marbleworks.budgets.local_budget_state import NO_GRANTER, GranterRef, LeaseOrigin, LocalBudget
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT

MAX_OPEN_REPORTS = 64  # reports without an answer that are remembered
LAST_TOKEN = 0xFFFF << 24 | 0xFFFFFF


class OpenReport(NamedTuple):
    """A report that may still be answered.

    Attributes:
        sent_at: Time of sending, in seconds.
        held_units: Held units in the report, keyed by budget id.
    """

    sent_at: float
    held_units: dict[int, int]


class LocalBudgets:
    """State of all budgets at this router.

    Args:
        router_index: Index of this router among `router_count`, by the settings.
        router_count: Number of routers, by the settings.
        guaranteed_ratio: Part of each total that is guaranteed; each router has an even share of it. None if
            routers do not know each other; each then has an even share of the total permanently.
        lease_s: Duration of a lease, in seconds.
        started_at: Start of this process, in seconds. The units of an earlier process become free a limited
            time after it.
        share_count: Number of the even shares, if it exceeds the number of routers.
    """

    BUDGET_TYPE: type[LocalBudget] = LocalBudget

    def __init__(
        self,
        router_index: int,
        router_count: int,
        guaranteed_ratio: float | None,
        lease_s: float,
        started_at: float,
        share_count: int | None = None,
    ) -> None:
        self.router_index = router_index
        self.router_count = router_count
        self.guaranteed_ratio = guaranteed_ratio
        self.lease_s = lease_s
        self.started_at = started_at
        self.share_count = share_count or router_count
        self.joined_at = started_at  # time of joining the current group
        self.budgets: dict[int, LocalBudget] = {}  # keyed by budget id
        self.last_token = 0
        self.open_reports: dict[int, OpenReport] = {}  # keyed by token
        self.granter = NO_GRANTER
        self.granter_term = 0  # 0 until it is known
        self.is_closed = False
        self.reported_at = started_at
        self.config_version = 0
        self.config_digest = 0

    def set_budgets(self, budgets: list[Budget], now: float) -> None:
        """Replaces the configured budgets.

        If a total changes, the guaranteed units shrink at once but grow only when the granter reports that
        all members know the larger total.
        """
        by_id = {budget.budget_id: budget for budget in budgets}
        removed_ids = [n for n, local in self.budgets.items() if n not in by_id and not local.used_units(now)]
        for budget_id in removed_ids:
            del self.budgets[budget_id]
        for budget_id, budget in by_id.items():
            local = self.budgets.get(budget_id)
            if local is None:
                guaranteed = self._guaranteed_units(budget, budget.units)
                guaranteed_from = self.started_at + budget.orphan_timeout_s * (1 + MAX_CLOCK_DRIFT)
                self.budgets[budget_id] = self.BUDGET_TYPE(budget, budget.units, guaranteed, guaranteed_from)
            elif local.budget != budget:
                local.budget = budget
                local.agreed_total = min(local.agreed_total, budget.units)
                total = budget.units if self.guaranteed_ratio is None else local.agreed_total
                local.guaranteed_units = self._guaranteed_units(budget, total)

    def _guaranteed_units(self, budget: Budget, total: int) -> int:
        agreed_budget = replace(budget, units=total)
        if self.guaranteed_ratio is None:
            return agreed_budget.even_share(self.router_index, self.router_count)
        return agreed_budget.guaranteed_units(self.guaranteed_ratio, self.share_count)

    # Units of requests.

    def acquire(self, local: LocalBudget, now: float, units: int = 1) -> float:
        """Acquires units for which there is room; of a concurrency budget always one.

        Args:
            local: State of the budget.
            now: Current time, in seconds.
            units: Number of units of a rate budget.

        Returns:
            The time by which the request has to start. A unit of a lease must not be used after it, even if
            the process was suspended in between.
        """
        guaranteed = local.guaranteed_units if now >= local.guaranteed_from else 0
        begin_by = math.inf if local.used_units(now) < guaranteed else local.lease_expires_at
        window_s = local.budget.window_s
        if window_s:
            for _ in range(units):
                heapq.heappush(local.release_times, now + window_s * (1 + MAX_CLOCK_DRIFT))
                local.recent_releases.append(now + window_s)
        else:
            local.in_flight += 1
        return begin_by

    def release(self, local: LocalBudget, now: float, may_still_run: bool) -> None:
        """Releases a unit of a concurrency budget.

        Args:
            local: State of the budget.
            now: Current time, in seconds.
            may_still_run: Whether the engine may still be executing the attempt; it ends the attempt within
                ABANDONED_ATTEMPT_TIMEOUT_S.
        """
        local.in_flight -= 1
        local.recent_releases.append(now)
        if may_still_run:
            heapq.heappush(local.release_times, now + ABANDONED_ATTEMPT_TIMEOUT_S)

    def find_overdue(self, now: float) -> list[tuple[LocalBudget, int]]:
        """Finds units in flight that have outlived their lease and its grace time.

        Returns:
            Concurrency budgets with such units, each with the number of attempts to cancel.
        """
        if self.guaranteed_ratio is None:
            return []
        overdue_budgets = []
        for local in self.budgets.values():
            excess = local.in_flight - local.guaranteed_units
            grace_s = (local.budget.settle_s - ABANDONED_ATTEMPT_TIMEOUT_S) * (1 - 2 * MAX_CLOCK_DRIFT)
            if excess > 0 and not local.budget.window_s and now >= local.lease_expires_at + grace_s:
                overdue_budgets.append((local, excess))
        return overdue_budgets

    # Reports to the granter and its answers.

    def make_reports(
        self,
        granter: int,
        granter_incarnation: int,
        incarnation: int,
        now: float,
        engine_count: int = 1,
        is_leaving: bool = False,
    ) -> list[BudgetReport]:
        """Makes reports about all units that this router holds, uses or wants.

        Args:
            granter: Index of the member that grants units.
            granter_incarnation: Incarnation of that member.
            incarnation: Incarnation of this process.
            now: Current time, in seconds.
            engine_count: Number of engines over which a waiting request is spread, because it may wait for
                several at the same time.
            is_leaving: Whether this router is leaving and wants no more units.
        """
        if (granter, granter_incarnation) != self.granter:
            self.follow_granter(granter, granter_incarnation, 0)
        usages = []
        for budget_id, local in self.budgets.items():
            local.belongs_to_former_group = local.belongs_to_former_group and local.held_units(now) > 0
            if local.belongs_to_former_group:
                local.arrivals = 0.0
            else:
                usage = self._make_usage(budget_id, local, now, engine_count, is_leaving)
                if usage is not None:
                    usages.append(usage)
            local.reset_waiting()
        self.reported_at = now
        # A report without usages whose header is as long as that of any of these reports can be.
        oldest_ms = max(LocalBudgets.age_ms(self, (), now), 1)
        widest_empty = self._report(incarnation, LAST_TOKEN, is_leaving, oldest_ms, ())
        parts = split_usages(usages, len(encode_report(0, widest_empty))) if usages else [()]
        reports = []
        for part in parts:
            age_ms = self.age_ms(part, now)
            self.last_token += 1
            token = (incarnation & 0xFFFF) << 24 | self.last_token & 0xFFFFFF
            self.open_reports[token] = OpenReport(now, {usage.budget_id: usage.held_units for usage in part})
            reports.append(self._report(incarnation, token, is_leaving, age_ms, part))
        while len(self.open_reports) > MAX_OPEN_REPORTS:
            del self.open_reports[next(iter(self.open_reports))]
        return reports

    def _report(
        self, incarnation: int, token: int, is_leaving: bool, age_ms: int, usages: tuple[BudgetUsage, ...]
    ) -> BudgetReport:
        return BudgetReport(
            incarnation=incarnation,
            leader_incarnation=self.granter.incarnation,
            leader_term=self.granter_term,
            token=token,
            config_version=self.config_version,
            config_digest=self.config_digest,
            is_leaving=is_leaving,
            age_ms=age_ms,
            usages=usages,
        )

    def _make_usage(
        self, budget_id: int, local: LocalBudget, now: float, engine_count: int, is_leaving: bool
    ) -> BudgetUsage | None:
        """Makes the usage of one budget; returns None if there is nothing to report."""
        if now >= local.lease_expires_at and local.leased_units:
            # A late answer cannot revive an expired lease; only a new grant can. If the granter of the lease
            # is still the current one, it learns from this report that the lease has expired, and grants the
            # units to others.
            is_from_current_granter = local.lease_origin == (self.granter, self.granter_term)
            local.lapsed_units = 0 if is_from_current_granter else local.leased_units
            local.leased_units = 0
        used = local.used_units(now)
        held = local.held_units(now)
        if not local.must_report(held, used):
            return None
        weight = local.waiting_weight / len(local.waiting) if local.waiting else 1.0
        wanted = 0 if is_leaving else local.estimate_demand(now, now - self.reported_at, engine_count)
        # An earlier granter counted an expired lease for at least this long.
        is_still_counted = now < local.lease_expires_at + local.budget.settle_s * (1 - 2 * MAX_CLOCK_DRIFT)
        lapsed = local.lapsed_units if is_still_counted and not local.leased_units else 0
        return BudgetUsage(
            budget_id=budget_id,
            grant_serial=local.grant_serial,
            held_units=held,
            used_units=used,
            wanted_units=wanted,
            priority_weight=weight,
            total_units=local.budget.units,
            guaranteed_units=local.guaranteed_units,
            held_or_lapsed_units=max(held, lapsed),
        )

    def age_ms(self, usages: tuple[BudgetUsage, ...], now: float) -> int:
        """Time since this router started or joined its group, for a report of these usages."""
        return max(int(1000.0 * (now - self.joined_at)), 0)

    def follow_granter(self, granter: int, incarnation: int, term: int) -> None:
        """Directs later reports to another granter or another term of the same granter.

        Args:
            granter: Index of the member that grants units.
            incarnation: Incarnation of that member.
            term: Term of the granter; 0 if it is not known yet.
        """
        self.granter = GranterRef(granter, incarnation)
        self.granter_term = term
        self._reset_grants()

    def _reset_grants(self) -> None:
        """Resets grant serials, which belong to one term of one granter, and drops unanswered reports.

        Held units stay held.
        """
        for local in self.budgets.values():
            local.grant_serial = 0
            local.report_required = True
        self.open_reports.clear()

    def handle_answer(self, sender: int, answer: BudgetAnswer, now: float) -> bool:
        """Applies the grants of an answer.

        An answer of a later term only makes that term the current one.

        Args:
            sender: Index of the member that sent the answer.
            answer: The answer.
            now: Current time, in seconds.

        Returns:
            Whether the answer is to a report of this router and from the current granter in its current term
            or a later one.
        """
        if (sender, answer.leader_incarnation) != self.granter:
            return False
        if answer.token not in self.open_reports or answer.leader_term < self.granter_term:
            return False
        sent_at, held_units = self.open_reports[answer.token]
        if answer.leader_term > self.granter_term:
            self.granter_term = answer.leader_term
            self._reset_grants()
            return True
        expires_at = sent_at + self.lease_s * (1 - MAX_CLOCK_DRIFT)
        for grant in answer.grants:
            local = self.budgets.get(grant.budget_id)
            if local is None or grant.serial < local.grant_serial:
                continue  # the budget was removed, or the grant is outdated
            if grant.serial == local.grant_serial:
                local.lease_expires_at = max(local.lease_expires_at, expires_at)
            else:
                local.grant_serial = grant.serial
                local.leased_units = 0 if self.is_closed else grant.leased_units
                local.lease_expires_at = expires_at
                local.lease_origin = LeaseOrigin(self.granter, self.granter_term)
                local.lapsed_units = 0
            local.confirmed_held_units = held_units.get(grant.budget_id, 0)
            local.report_required = False
            local.agreed_total = min(grant.agreed_total, local.budget.units)
            local.guaranteed_units = self._guaranteed_units(local.budget, local.agreed_total)
        return True

    def move_to_group(self, router_index: int, now: float) -> None:
        """Joins another group, which does not know the units that this router holds.

        All leases end now. A budget is reported to the new granter once all its units in use beyond the
        guaranteed ones are free. The guaranteed units stay with this router.

        Args:
            router_index: Index of this router in the new group.
            now: Current time, in seconds.
        """
        self.router_index = router_index
        self.joined_at = now
        for local in self.budgets.values():
            local.leased_units = 0
            local.lapsed_units = 0
            local.confirmed_held_units = 0
            local.belongs_to_former_group = True
        self.follow_granter(NO_GRANTER.member, NO_GRANTER.incarnation, 0)

    def close(self) -> None:
        """Ends all leases permanently, because this router stops or another process has its identity."""
        self.is_closed = True
        for local in self.budgets.values():
            local.leased_units = 0
            local.lease_expires_at = -math.inf
