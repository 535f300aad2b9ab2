"""The budgets at work among routers: an actor that carries reports to whoever divides and, where that is our
router, keeps the books.

It owns the `Ledger` of our present right, and one timer. It must never answer a report when the right is
over, or touch what the desk owns but by mail.
"""

from __future__ import annotations

from typing import Any

from marbleworks.budgets.allocation_ledger import AllocationLedger
from marbleworks.budgets.budget_catalog import Budget, BudgetCatalog
from marbleworks.budgets.codec import FORMAT, Answer, Report, decode, encode_answer, encode_report
from marbleworks.budgets.enforcement import BudgetEnforcer, told_of
from marbleworks.budgets.local_budget import LocalBudgets
from marbleworks.membership.codec import DatagramDecodeError, group_hash
from marbleworks.membership.node import LeaderRef
from marbleworks.net.actor import LOG, Actor, clock
from marbleworks.net.datagrams import DatagramKind, DatagramTransport
from marbleworks.net.dispatcher import Dispatcher

EVERY = 0.2  # seconds between reports
SOONEST = 0.05  # and where something waits
SAID = 10.0  # seconds between log lines on files that disagree


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
        self.terms, self.desk, self.me, self.count = terms, desk, max(me, 0), max(count, 1)
        self.heed = LeaderRef(-1, 0, 0, 0, 0.0, False)
        self.ledger: AllocationLedger | None = None
        self.ledgers = 0
        self.seen: dict[int, set[int]] = {}  # wholes of our file, as long as it may matter
        self.wholes: list[Budget] = []
        self.reported_at, self.said, self.unreadable = 0.0, 0.0, 0
        self.kept = terms["kept"] if peers is not None else None
        purse = LocalBudgets(self.me, self.count, self.kept, terms["lease"], clock())
        super().__init__()
        self.holder = BudgetEnforcer(desk, plan, purse, self._hurry)
        if peers is None:
            return
        self.group = group_hash(f"budgets {self.count}")
        self.tell = peers.register(DatagramKind("budgets", FORMAT.magic, terms["pace"]), self._came)
        self.post(self.on_timer)

    def _came(self, peer: int, data: bytes) -> None:
        self.post(self.heard, peer, data)

    def _hurry(self) -> None:
        """Called by the desk: something waits for a part."""
        if self.wake_at is not None and self.wake_at > self.reported_at + SOONEST:
            self.post(self._sooner)

    def _sooner(self) -> None:
        self.wake_at = min(self.wake_at or clock(), self.reported_at + SOONEST)

    def heeds(self, heed: LeaderRef) -> None:
        """Whom the group's divider is, and whether we are it; posted by the steward."""
        if heed.leader_until <= clock():
            self.ledger = None
        elif self.ledger is None or heed.term != self.heed.term:
            self.ledgers += 1  # routers tell one from the next by this number
            kept, lease = self.terms["kept"], self.terms["lease"]
            self.ledger = AllocationLedger(
                self.me, self.count, heed.generation, self.ledgers, kept, lease, clock(), self.seen
            )
            self.ledger.planned(self.wholes)
        if heed.superseded and not self.heed.superseded:
            self.desk.post(self.holder.leave)
        self.heed = heed

    def on_timer(self) -> None:
        self.wake_at, self.reported_at = clock() + EVERY, clock()
        self.desk.post(self._report, self.heed)

    # In the desk's greenlet.

    def _report(self, heed: LeaderRef) -> None:
        if heed.generation == 0 or heed.leader < 0 or heed.superseded:
            return
        self.post(self._planned, self.holder.wholes())
        for report in self.holder.report(heed.leader, heed.leader_generation, heed.generation):
            if heed.leader == self.me:
                self.post(self._reported, self.me, report)
            else:
                self.tell(encode_report(self.group, report), heed.leader)

    # In ours again.

    def _planned(self, wholes: list[Budget]) -> None:
        if wholes != self.wholes:
            self.wholes = wholes
            for whole in wholes:
                self.seen.setdefault(whole.number, set()).add(whole.units)
            there = {whole.number for whole in wholes}
            self.seen = {number: seen for number, seen in self.seen.items() if number in there}
            if self.ledger is not None:
                self.ledger.planned(wholes)

    def heard(self, peer: int, data: bytes) -> None:
        try:
            said = decode(self.group, data)
        except DatagramDecodeError as err:
            self.unreadable += 1
            if clock() > self.said + SAID:
                self.said = clock()
                LOG.warning("peer unreadable", peer=peer, why=f"budgets: {err}", count=self.unreadable)
            return
        if isinstance(said, Report):
            self._reported(peer, said)
        else:
            self.desk.post(self.holder.answered, peer, said)

    def _reported(self, peer: int, report: Report) -> None:
        now = clock()
        if self.ledger is None or now >= self.heed.leader_until:
            return
        answer = self.ledger.reported(peer, report, now)
        if answer is not None:
            self._answer(peer, answer)
        if now > self.said + SAID and (differ := self.ledger.disagree()):
            self.said = now
            versions = {
                str(n): f"{v}/{digest:08x}" for n, (v, digest) in sorted(self.ledger.versions.items())
            }
            LOG.warning("budgets disagree", routers=differ, versions=versions)

    def _answer(self, peer: int, answer: Answer) -> None:
        if peer == self.me:
            self.desk.post(self.holder.answered, peer, answer)
        else:
            self.tell(encode_answer(self.group, answer), peer)

    def leave(self) -> None:
        self.desk.post(self.holder.leave)
        self.post(self.on_timer)

    def shown(self) -> dict[str, Any]:
        """As `budgets show` prints it: texts and lists of texts."""
        heed = self.heed
        divides = self.ledger is not None and clock() < heed.leader_until
        shown = self.ledger.shown(clock()) if divides and self.ledger is not None else {}
        return {
            "me": str(self.me),
            "divider": str(heed.leader),
            "divides": "yes" if divides else "no",
            "version": str(self.holder.plan.version),
            "refused": str(self.holder.refused),
            "called off": str(self.holder.called_off),
            "rows": self.holder.shown(),
            "books": told_of(shown, self.wholes),
        }
