"""What one router may use of all budgets: units taken, reports, and grants applied. No I/O, no clock.

A router always has its guaranteed units, and beyond those the units of a lease while that lasts by its own
clock. A unit is in use from when a request takes it until the request has surely ended. No more units are
taken than the router has at that moment, and no older grant is believed. docs/design/budgets.md has the
proof. Times are seconds of one clock.
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

MAX_OPEN_REPORTS = 64  # that may still be answered
LAST_TOKEN = 0xFFFF << 24 | 0xFFFFFF


class OpenReport(NamedTuple):
    """A report that may still be answered.

    Attributes:
        sent_at: seconds.
        held_units: that it reported, by budget id.
    """

    sent_at: float
    held_units: dict[int, int]


class LocalBudgets:
    """All budgets as this router has them.

    Args:
        router_index: ours among `router_count`, by the settings.
        router_count: by the settings.
        guaranteed_ratio: the part of each total of which each router always has an even share; None: routers
            do not know each other, and each has an even share of the total for good.
        lease_s: how long a grant lasts.
        started_at: of our process; what one before it had in use ends a while after that.
        share_count: of the even shares, if there are more than routers here.
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
        self.joined_at = started_at  # the group that we are in
        self.budgets: dict[int, LocalBudget] = {}  # by budget id
        self.last_token = 0
        self.open_reports: dict[int, OpenReport] = {}  # by token
        self.granter = NO_GRANTER
        self.granter_term = 0  # 0: not known yet
        self.is_closed = False
        self.reported_at = started_at
        self.config_version = 0
        self.config_digest = 0

    def set_budgets(self, budgets: list[Budget], now: float) -> None:
        """Takes over the budgets that there are from now on.

        Where a total changes, guaranteed units shrink at once, and grow when the granter says that all
        members know the larger total.
        """
        by_id = {budget.budget_id: budget for budget in budgets}
        gone = [n for n, local in self.budgets.items() if n not in by_id and not local.used_units(now)]
        for budget_id in gone:
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
        agreed = replace(budget, units=total)
        if self.guaranteed_ratio is None:
            return agreed.even_share(self.router_index, self.router_count)
        return agreed.guaranteed_units(self.guaranteed_ratio, self.share_count)

    # What requests take.

    def acquire(self, local: LocalBudget, now: float, units: int = 1) -> float:
        """Takes units for which there is room; one of a concurrency budget.

        Returns:
            The time by which the request has to begin: a unit of a lease may not be used after it, even if
            the process stands still in between.
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
        """Gives back a unit of a concurrency budget.

        Args:
            local: the budget.
            now: seconds.
            may_still_run: its engine may go on, and ends it within ABANDONED_ATTEMPT_TIMEOUT_S.
        """
        local.in_flight -= 1
        local.recent_releases.append(now)
        if may_still_run:
            heapq.heappush(local.release_times, now + ABANDONED_ATTEMPT_TIMEOUT_S)

    def overdue(self, now: float) -> list[tuple[LocalBudget, int]]:
        """Concurrency budgets with units in flight long after their lease, and how many to cancel."""
        if self.guaranteed_ratio is None:
            return []
        found = []
        for local in self.budgets.values():
            excess = local.in_flight - local.guaranteed_units
            grace_s = (local.budget.settle_s - ABANDONED_ATTEMPT_TIMEOUT_S) * (1 - 2 * MAX_CLOCK_DRIFT)
            if excess > 0 and not local.budget.window_s and now >= local.lease_expires_at + grace_s:
                found.append((local, excess))
        return found

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
        """Reports all that we hold, use or want.

        Args:
            granter: the member that grants.
            granter_incarnation: of that member.
            incarnation: ours.
            now: seconds.
            engine_count: engines over which a request that waits for several is counted.
            is_leaving: nothing more is wanted.
        """
        if (granter, granter_incarnation) != self.granter:
            self.follow_granter(granter, granter_incarnation, 0)
        usages = []
        for budget_id, local in self.budgets.items():
            local.is_left_behind = local.is_left_behind and local.held_units(now) > 0
            if local.is_left_behind:
                local.arrivals = 0.0
            else:
                usage = self._make_usage(budget_id, local, now, engine_count, is_leaving)
                if usage is not None:
                    usages.append(usage)
            local.forget_waiting()
        self.reported_at = now
        # The widest head that any of these reports can have.
        oldest_ms = max(LocalBudgets.age_ms(self, (), now), 1)
        empty = self._report(incarnation, LAST_TOKEN, is_leaving, oldest_ms, ())
        parts = split_usages(usages, len(encode_report(0, empty))) if usages else [()]
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
        """None where there is nothing to report."""
        if now >= local.lease_expires_at and local.leased_units:
            # A late answer can't bring the lease back, a new grant can. Its own granter learns so from this
            # report and grants the units to others.
            is_of_present = local.lease_origin == (self.granter, self.granter_term)
            local.lapsed_units = 0 if is_of_present else local.leased_units
            local.leased_units = 0
        used = local.used_units(now)
        held = local.held_units(now)
        if not local.has_changed(held, used):
            return None
        weight = local.waiting_weight / len(local.waiting) if local.waiting else 1.0
        wanted = 0 if is_leaving else local.estimate_demand(now, now - self.reported_at, engine_count)
        # An earlier granter counted an expired lease for that long at least.
        is_counted = now < local.lease_expires_at + local.budget.settle_s * (1 - 2 * MAX_CLOCK_DRIFT)
        lapsed = local.lapsed_units if is_counted and not local.leased_units else 0
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
        """Time since we began or joined, as a report of these usages says it."""
        return max(int(1000.0 * (now - self.joined_at)), 0)

    def follow_granter(self, granter: int, incarnation: int, term: int) -> None:
        """Reports to another granter, or in another of its terms, from now on; term 0: not known yet."""
        self.granter = GranterRef(granter, incarnation)
        self.granter_term = term
        self._reset_grants()

    def _reset_grants(self) -> None:
        """Forgets serials, which are a granter's own within a term, and reports that are not answered.

        What we hold we go on holding.
        """
        for local in self.budgets.values():
            local.grant_serial = 0
            local.owes_report = True
        self.open_reports.clear()

    def handle_answer(self, sender: int, answer: BudgetAnswer, now: float) -> bool:
        """Returns whether it was an answer to us, of the present granter in its present term."""
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
                continue  # of a budget that has gone, or an older grant
            if grant.serial == local.grant_serial:
                local.lease_expires_at = max(local.lease_expires_at, expires_at)
            else:
                local.grant_serial = grant.serial
                local.leased_units = 0 if self.is_closed else grant.leased_units
                local.lease_expires_at = expires_at
                local.lease_origin = LeaseOrigin(self.granter, self.granter_term)
                local.lapsed_units = 0
            local.confirmed_held_units = held_units.get(grant.budget_id, 0)
            local.owes_report = False
            local.agreed_total = min(grant.agreed_total, local.budget.units)
            local.guaranteed_units = self._guaranteed_units(local.budget, local.agreed_total)
        return True

    def move_to_group(self, router_index: int, now: float) -> None:
        """Joins another group, which knows nothing of what we hold.

        Our leases end now, and the new granter hears of a budget when all that we had in use beyond our
        guaranteed units has ended. Guaranteed units move with us.
        """
        self.router_index = router_index
        self.joined_at = now
        for local in self.budgets.values():
            local.leased_units = 0
            local.lapsed_units = 0
            local.confirmed_held_units = 0
            local.is_left_behind = True
        self.follow_granter(NO_GRANTER.member, NO_GRANTER.incarnation, 0)

    def close(self) -> None:
        """Ends our leases for good, where another process has our name or we stop."""
        self.is_closed = True
        for local in self.budgets.values():
            local.leased_units = 0
            local.lease_expires_at = -math.inf
