"""The budgets at work among routers: an actor that carries reports to whoever divides and, where that is our
router, keeps the books.

It owns the `Ledger` of our present right, and one timer. It must never answer a report when the right is
over, or touch what the desk owns but by mail.
"""

from __future__ import annotations

from typing import Any

from marbleworks.budgets.allocation_ledger import AllocationLedger
from marbleworks.budgets.budget_catalog import Budget, BudgetCatalog
from marbleworks.budgets.codec import FORMAT, BudgetAnswer, BudgetReport, decode, encode_answer, encode_report
from marbleworks.budgets.enforcement import BudgetEnforcer, allocation_rows
from marbleworks.budgets.local_budget import LocalBudgets
from marbleworks.membership.codec import DatagramDecodeError, group_of
from marbleworks.membership.node import LeaderRef
from marbleworks.net.actor import LOG, Actor, clock
from marbleworks.net.datagrams import DatagramKind, DatagramTransport
from marbleworks.net.dispatcher import Dispatcher

REPORT_INTERVAL_S = 0.2  # seconds between reports
MIN_REPORT_INTERVAL_S = 0.05  # and where something waits
WARNING_INTERVAL_S = 10.0  # seconds between log lines on files that disagree


class BudgetService(Actor):
    """peers: None where routers don't know each other; each then has an even part for good."""

    def __init__(
        self,
        terms: dict[str, Any],
        plan: BudgetCatalog,
        desk: Dispatcher,
        peers: DatagramTransport | None,
        me: int,
        count: int,
    ) -> None:
        self.options, self.dispatcher, self.router_index, self.router_count = (
            terms,
            desk,
            max(me, 0),
            max(count, 1),
        )
        self.leader = LeaderRef(-1, 0, 0, 0, 0.0, False)
        self.ledger: AllocationLedger | None = None
        self.ledger_count = 0
        self.known_totals: dict[int, set[int]] = {}  # wholes of our file, as long as it may matter
        self.budgets: list[Budget] = []
        self.reported_at, self.warned_at, self.unreadable_count = 0.0, 0.0, 0
        self.kept = terms["kept"] if peers is not None else None
        purse = LocalBudgets(self.router_index, self.router_count, self.kept, terms["lease"], clock())
        super().__init__()
        self.enforcer = BudgetEnforcer(desk, plan, purse, self._request_report)
        if peers is None:
            return
        self.group = group_of(f"budgets {self.router_count}")
        self.send_datagram = peers.register(
            DatagramKind("budgets", FORMAT.mark, terms["pace"]), self._on_datagram
        )
        self.post(self.on_timer)

    def _on_datagram(self, peer: int, data: bytes) -> None:
        self.post(self.handle_datagram, peer, data)

    def _request_report(self) -> None:
        """Called by the desk: something waits for a part."""
        if self.wake_at is not None and self.wake_at > self.reported_at + MIN_REPORT_INTERVAL_S:
            self.post(self._report_sooner)

    def _report_sooner(self) -> None:
        self.wake_at = min(self.wake_at or clock(), self.reported_at + MIN_REPORT_INTERVAL_S)

    def set_leader(self, heed: LeaderRef) -> None:
        """Whom the group's divider is, and whether we are it; posted by the steward."""
        if heed.right_until <= clock():
            self.ledger = None
        elif self.ledger is None or heed.reign != self.leader.reign:
            self.ledger_count += 1  # routers tell one from the next by this number
            kept, lease = self.options["kept"], self.options["lease"]
            self.ledger = AllocationLedger(
                self.router_index,
                self.router_count,
                heed.start,
                self.ledger_count,
                kept,
                lease,
                clock(),
                self.known_totals,
            )
            self.ledger.set_budgets(self.budgets)
        if heed.yielded and not self.leader.yielded:
            self.dispatcher.post(self.enforcer.leave)
        self.leader = heed

    def on_timer(self) -> None:
        self.wake_at, self.reported_at = clock() + REPORT_INTERVAL_S, clock()
        self.dispatcher.post(self._send_reports, self.leader)

    # In the desk's greenlet.

    def _send_reports(self, heed: LeaderRef) -> None:
        if heed.start == 0 or heed.divider < 0 or heed.yielded:
            return
        self.post(self._set_budgets, self.enforcer.budgets())
        for report in self.enforcer.make_reports(heed.divider, heed.divider_start, heed.start):
            if heed.divider == self.router_index:
                self.post(self._handle_report, self.router_index, report)
            else:
                self.send_datagram(encode_report(self.group, report), heed.divider)

    # In ours again.

    def _set_budgets(self, wholes: list[Budget]) -> None:
        if wholes != self.budgets:
            self.budgets = wholes
            for whole in wholes:
                self.known_totals.setdefault(whole.budget_id, set()).add(whole.units)
            there = {whole.budget_id for whole in wholes}
            self.known_totals = {
                number: seen for number, seen in self.known_totals.items() if number in there
            }
            if self.ledger is not None:
                self.ledger.set_budgets(wholes)

    def handle_datagram(self, peer: int, data: bytes) -> None:
        try:
            said = decode(self.group, data)
        except DatagramDecodeError as err:
            self.unreadable_count += 1
            if clock() > self.warned_at + WARNING_INTERVAL_S:
                self.warned_at = clock()
                LOG.warning("peer unreadable", peer=peer, why=f"budgets: {err}", count=self.unreadable_count)
            return
        if isinstance(said, BudgetReport):
            self._handle_report(peer, said)
        else:
            self.dispatcher.post(self.enforcer.handle_answer, peer, said)

    def _handle_report(self, peer: int, report: BudgetReport) -> None:
        now = clock()
        if self.ledger is None or now >= self.leader.right_until:
            return
        answer = self.ledger.handle_report(peer, report, now)
        if answer is not None:
            self._send_answer(peer, answer)
        if now > self.warned_at + WARNING_INTERVAL_S and (differ := self.ledger.disagreeing_members()):
            self.warned_at = now
            versions = {
                str(n): f"{v}/{digest:08x}" for n, (v, digest) in sorted(self.ledger.config_versions.items())
            }
            LOG.warning("budgets disagree", routers=differ, versions=versions)

    def _send_answer(self, peer: int, answer: BudgetAnswer) -> None:
        if peer == self.router_index:
            self.dispatcher.post(self.enforcer.handle_answer, peer, answer)
        else:
            self.send_datagram(encode_answer(self.group, answer), peer)

    def leave(self) -> None:
        self.dispatcher.post(self.enforcer.leave)
        self.post(self.on_timer)

    def snapshot(self) -> dict[str, Any]:
        """As `budgets show` prints it: texts and lists of texts."""
        heed = self.leader
        divides = self.ledger is not None and clock() < heed.right_until
        shown = self.ledger.snapshots(clock()) if divides and self.ledger is not None else {}
        return {
            "me": str(self.router_index),
            "divider": str(heed.divider),
            "divides": "yes" if divides else "no",
            "version": str(self.enforcer.catalog.config_version),
            "refused": str(self.enforcer.refused_count),
            "called off": str(self.enforcer.cancelled_count),
            "rows": self.enforcer.table_rows(),
            "books": allocation_rows(shown, self.budgets),
        }
