"""The actor for budgets at a router; it exchanges reports and answers with the granter.

If this router leads its group, it is the granter and keeps the `AllocationLedger` of the current term. It
never answers a report after the end of that term. It accesses the state of the dispatcher only by posting
calls to it.
"""

from __future__ import annotations

from typing import Any

from marbleworks.budgets.allocation import AllocationSnapshot
from marbleworks.budgets.allocation_ledger import AllocationLedger
from marbleworks.budgets.budget_catalog import Budget, BudgetCatalog
from marbleworks.budgets.codec import FORMAT, BudgetAnswer, BudgetReport, decode, encode_answer, encode_report
from marbleworks.budgets.enforcement import BudgetEnforcer
from marbleworks.budgets.local_budget import LocalBudgets
from marbleworks.budgets.options import BudgetOptions
from marbleworks.membership.codec import DatagramDecodeError, group_hash
from marbleworks.membership.node import LeaderRef
from marbleworks.net.actor import LOG, Actor, clock
from marbleworks.net.datagrams import DatagramKind, DatagramTransport
from marbleworks.net.dispatcher import Dispatcher

REPORT_INTERVAL_S = 0.2
MIN_REPORT_INTERVAL_S = 0.05  # while a request or connection waits for units
WARNING_INTERVAL_S = 10.0  # between two log lines of the same kind


class BudgetService(Actor):
    """Budgets of one router.

    Args:
        options: Options from the section `budgets`.
        catalog: Budgets of the operator's file.
        dispatcher: Dispatcher of this router.
        peers: Transport to the other routers; None if routers do not know each other, and each permanently
            has an even share.
        router_index: Index of this router, by the settings.
        router_count: Number of routers, by the settings.
    """

    def __init__(
        self,
        options: BudgetOptions,
        catalog: BudgetCatalog,
        dispatcher: Dispatcher,
        peers: DatagramTransport | None,
        router_index: int,
        router_count: int,
    ) -> None:
        self.options = options
        self.dispatcher = dispatcher
        self.router_index = max(router_index, 0)
        self.router_count = max(router_count, 1)
        self.leader = LeaderRef(-1, 0, 0, 0, 0.0, False)
        self.ledger: AllocationLedger | None = None
        self.ledger_count = 0
        self.known_totals: dict[int, set[int]] = {}  # recently configured totals, keyed by budget id
        self.budgets: list[Budget] = []
        self.reported_at = 0.0
        self.warned_at = 0.0
        self.unreadable_count = 0
        local_budgets = LocalBudgets(
            self.router_index,
            self.router_count,
            options.guaranteed_ratio if peers is not None else None,
            options.lease_s,
            clock(),
        )
        super().__init__()
        self.enforcer = BudgetEnforcer(dispatcher, catalog, local_budgets, self._request_report)
        if peers is None:
            return
        self.group = group_hash(f"budgets {self.router_count}")
        kind = DatagramKind("budgets", FORMAT.magic, options.max_bytes_per_s)
        self.send_datagram = peers.register(kind, self._on_datagram)
        self.post(self.on_timer)

    def _on_datagram(self, peer: int, data: bytes) -> None:
        self.post(self.handle_datagram, peer, data)

    def _request_report(self) -> None:
        """Has the next report sent sooner; called in the dispatcher's greenlet."""
        if self.next_timer_at is not None and self.next_timer_at > self.reported_at + MIN_REPORT_INTERVAL_S:
            self.post(self._report_sooner)

    def _report_sooner(self) -> None:
        self.next_timer_at = min(self.next_timer_at or clock(), self.reported_at + MIN_REPORT_INTERVAL_S)

    def set_leader(self, leader: LeaderRef) -> None:
        """Updates the leader of the group, which is the granter; keeps a ledger while that is this router."""
        if leader.leader_until <= clock():
            self.ledger = None
        elif self.ledger is None or leader.term != self.leader.term:
            self.ledger_count += 1  # the term number of the new ledger
            self.ledger = AllocationLedger(
                self.router_index,
                self.router_count,
                leader.generation,
                self.ledger_count,
                self.options.guaranteed_ratio,
                self.options.lease_s,
                clock(),
                self.known_totals,
            )
            self.ledger.set_budgets(self.budgets)
        if leader.is_superseded and not self.leader.is_superseded:
            self.dispatcher.post(self.enforcer.leave)
        self.leader = leader

    def on_timer(self) -> None:
        """Sends the next reports and sets the timer for those after them."""
        self.reported_at = clock()
        self.next_timer_at = self.reported_at + REPORT_INTERVAL_S
        self.dispatcher.post(self._send_reports, self.leader)

    # In the dispatcher's greenlet.

    def _send_reports(self, leader: LeaderRef) -> None:
        if leader.generation == 0 or leader.leader < 0 or leader.is_superseded:
            return
        self.post(self._set_budgets, self.enforcer.budgets())
        for report in self.enforcer.make_reports(leader.leader, leader.leader_generation, leader.generation):
            if leader.leader == self.router_index:
                self.post(self._handle_report, self.router_index, report)
            else:
                self.send_datagram(encode_report(self.group, report), leader.leader)

    # In this actor's greenlet.

    def _set_budgets(self, budgets: list[Budget]) -> None:
        if budgets == self.budgets:
            return
        self.budgets = budgets
        for budget in budgets:
            self.known_totals.setdefault(budget.budget_id, set()).add(budget.units)
        present = {budget.budget_id for budget in budgets}
        self.known_totals = {
            budget_id: totals for budget_id, totals in self.known_totals.items() if budget_id in present
        }
        if self.ledger is not None:
            self.ledger.set_budgets(budgets)

    def handle_datagram(self, peer: int, data: bytes) -> None:
        """Handles a report or an answer from a peer."""
        try:
            message = decode(self.group, data)
        except DatagramDecodeError as err:
            self.unreadable_count += 1
            if clock() > self.warned_at + WARNING_INTERVAL_S:
                self.warned_at = clock()
                LOG.warning("peer unreadable", peer=peer, why=f"budgets: {err}", count=self.unreadable_count)
            return
        if isinstance(message, BudgetReport):
            self._handle_report(peer, message)
        else:
            self.dispatcher.post(self.enforcer.handle_answer, peer, message)

    def _handle_report(self, peer: int, report: BudgetReport) -> None:
        now = clock()
        if self.ledger is None or now >= self.leader.leader_until:
            return
        answer = self.ledger.handle_report(peer, report, now)
        if answer is not None:
            self._send_answer(peer, answer)
        if now > self.warned_at + WARNING_INTERVAL_S:
            self._warn_of_disagreement(self.ledger, now)

    def _warn_of_disagreement(self, ledger: AllocationLedger, now: float) -> None:
        routers = ledger.disagreeing_members()
        if not routers:
            return
        self.warned_at = now
        versions = {
            str(member): f"{version}/{digest:08x}"
            for member, (version, digest) in sorted(ledger.config_versions.items())
        }
        LOG.warning("budgets disagree", routers=routers, versions=versions)

    def _send_answer(self, peer: int, answer: BudgetAnswer) -> None:
        if peer == self.router_index:
            self.dispatcher.post(self.enforcer.handle_answer, peer, answer)
        else:
            self.send_datagram(encode_answer(self.group, answer), peer)

    def leave(self) -> None:
        """Gives up all leases and reports that, for a planned stop."""
        self.dispatcher.post(self.enforcer.leave)
        self.post(self.on_timer)

    def snapshot(self) -> dict[str, Any]:
        """State for `health` and `budgets show`, as strings and lists of strings."""
        leader = self.leader
        ledger = self.ledger if clock() < leader.leader_until else None
        snapshots = ledger.snapshots(clock()) if ledger is not None else {}
        return {
            "me": str(self.router_index),
            "divider": str(leader.leader),
            "divides": "yes" if ledger is not None else "no",
            "version": str(self.enforcer.catalog.config_version),
            "refused": str(self.enforcer.refused_count),
            "called off": str(self.enforcer.cancelled_count),
            "rows": self.enforcer.table_rows(),
            "books": allocation_rows(snapshots, self.budgets),
        }


def allocation_rows(snapshots: dict[int, AllocationSnapshot], budgets: list[Budget]) -> list[list[str]]:
    """Formats a ledger as rows of name, total, held, used, free, unreachable, and units by member.

    Args:
        snapshots: States of the budgets, keyed by budget id.
        budgets: Budgets of this router's own configuration; others are shown by their id.
    """
    names = {budget.budget_id: budget.name for budget in budgets}
    rows = []
    for budget_id, allocation in sorted(snapshots.items(), key=lambda item: names.get(item[0], "")):
        by_member = " ".join(
            f"{member}:{units}" for member, units in allocation.member_units.items() if units
        )
        figures = (
            allocation.total_units,
            allocation.guaranteed_units + allocation.committed_units,
            allocation.used_units,
            allocation.free_units,
            allocation.unreachable_units,
        )
        rows.append([names.get(budget_id, f"{budget_id:08x}"), *map(str, figures), by_member])
    return rows
