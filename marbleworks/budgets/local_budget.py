"""What one router may use of each budget: its base, its part, and what it has in use. No I/O, no clock.

It owns the parts that were given and the units in use. A unit is in use from when a command takes it until it
is surely over; a part is void once its lease has run out by our own clock. It must never let more units be
taken than base and part are at that moment, or believe an older grant. docs/design/budgets.md has the proof.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field, replace

from marbleworks.budgets.budget_catalog import ABANDONED_ATTEMPT_TIMEOUT_S, Budget
from marbleworks.budgets.codec import BudgetAnswer, BudgetReport, BudgetUsage, encode_report, split_usages
from marbleworks.membership.leader_election import DRIFT

RELEASE_RATE_WINDOW_S = 2.0  # seconds over which the pace of ends is counted
ARRIVAL_RATE_WINDOW_S = 0.3  # seconds over which what comes is counted
DEFAULT_HOLD_S = 0.1  # seconds for which a unit is in use, before any was
HOLD_SMOOTHING = 0.05  # part of the last in what is learned of that
MAX_TRACKED_WAITERS = 64  # commands that are told apart as waiting for one budget
MAX_OPEN_REPORTS = 64  # reports that may still be answered


@dataclass(eq=False, slots=True)
class LocalBudget:
    """One budget as this router has it."""

    budget: Budget
    agreed_total: int  # units of the smallest whole that any router told, where we know; our base is of it
    guaranteed_units: int
    guaranteed_from: float = -math.inf  # what an earlier process of our name took is over by then
    leased_units: int = 0  # of our part
    lease_expires_at: float = -math.inf
    lease_origin: tuple[int, int, int] = (
        -1,
        0,
        0,
    )  # whose part it is: a divider, its start and which right of it
    lapsed_units: int = 0  # of a part that ran out last, if that divider has not heard so
    grant_serial: int = 0
    confirmed_held_units: int = 0  # held, by our last report that was answered
    owes_report: bool = True  # a report to the present divider, whatever there is to say
    is_left_behind: bool = False  # what we had of the group that we were in is in use yet, and counted there
    in_flight: int = 0  # taken and not given back
    release_times: list[float] = field(default_factory=list)  # when each of the others is over, a heap
    arrivals: float = 0.0  # commands that came for it since the last report, and ...
    arrivals_per_s: float = 0.0  # ... a second, of late
    mean_hold_s: float = DEFAULT_HOLD_S  # seconds for which a unit is in use, of late
    waiting: set[str] = field(default_factory=set)  # refused since the last report
    waiting_weight: float = 0.0  # of those, together
    recent_releases: deque[float] = field(default_factory=lambda: deque(maxlen=256))

    def used_units(self, now: float) -> int:
        while self.release_times and self.release_times[0] <= now:
            heapq.heappop(self.release_times)
        return self.in_flight + len(self.release_times)

    def valid_lease_units(self, now: float) -> int:
        return self.leased_units if now < self.lease_expires_at else 0

    def max_units(self, now: float) -> int:
        """Units that may be in use."""
        return (self.guaranteed_units if now >= self.guaranteed_from else 0) + self.valid_lease_units(now)

    def has_room(self, now: float, units: int = 1) -> bool:
        return self.used_units(now) + units <= self.max_units(now)

    def held_units(self, now: float) -> int:
        """Beyond the base: what may be used, or still is."""
        return max(self.valid_lease_units(now), self.used_units(now) - self.guaranteed_units, 0)

    def estimate_demand(self, now: float, since: float, share: int) -> int:
        """What would be in use if all that comes found room: how much comes times how long it stays. Where
        that is not counted, what is in use and what waits."""
        used = self.used_units(now)
        if not self.arrivals and not self.arrivals_per_s:
            return used + math.ceil(len(self.waiting) / share)
        memory = math.exp(-since / ARRIVAL_RATE_WINDOW_S)
        self.arrivals_per_s = self.arrivals_per_s * memory + self.arrivals / max(since, 1e-3) * (1.0 - memory)
        self.arrivals_per_s, self.arrivals = (self.arrivals_per_s if self.arrivals_per_s > 1e-2 else 0.0), 0.0
        return max(
            math.ceil(self.arrivals_per_s * (self.budget.window_s or self.mean_hold_s) - 0.05),
            used + bool(self.waiting),
        )

    def record_hold(self, seconds: float) -> None:
        self.mean_hold_s += HOLD_SMOOTHING * (seconds - self.mean_hold_s)

    def releases_per_s(self, now: float) -> float:
        """Units a second that have come free lately; of a rate no less than what it gives."""
        while self.recent_releases and self.recent_releases[0] < now - RELEASE_RATE_WINDOW_S:
            self.recent_releases.popleft()
        least = self.max_units(now) / self.budget.window_s if self.budget.window_s else 0.0
        return max(len(self.recent_releases) / RELEASE_RATE_WINDOW_S, least)


class LocalBudgets:
    """me: our number of `count`, by the settings. Where routers don't know each other (kept None) each has an
    even part for good. began: when our process did; what one before it had out is over a while after that.
    shares: even shares in what is kept, if more than count."""

    BUDGET_TYPE: type[LocalBudget] = LocalBudget

    def __init__(
        self, me: int, count: int, kept: float | None, lease: float, began: float, shares: int = 0
    ) -> None:
        self.router_index, self.router_count, self.guaranteed_ratio, self.lease_s, self.started_at = (
            me,
            count,
            kept,
            lease,
            began,
        )
        self.share_count, self.joined_at = shares or count, began  # joined: the group that we are in
        self.budgets: dict[int, LocalBudget] = {}
        self.last_token = 0
        self.open_reports: dict[
            int, tuple[float, dict[int, int]]
        ] = {}  # when each was told, and held by budget
        self.granter, self.granter_term = (
            (-1, 0),
            0,
        )  # the divider that we tell, its start, and which right of it
        self.is_closed, self.reported_at = False, began
        self.config_version = self.config_digest = 0

    def set_budgets(self, wholes: list[Budget], now: float) -> None:
        """The budgets there are from now on. Of one that is there already the whole changes: a base shrinks
        at once, and grows when the divider says that all know the larger whole."""
        there = {whole.budget_id: whole for whole in wholes}
        for number in [n for n, p in self.budgets.items() if n not in there and not p.used_units(now)]:
            del self.budgets[number]
        for number, whole in there.items():
            pocket = self.budgets.get(number)
            if pocket is None:
                base = self._guaranteed_units(whole, whole.units)
                self.budgets[number] = self.BUDGET_TYPE(
                    whole, whole.units, base, self.started_at + whole.orphan_timeout_s * (1 + DRIFT)
                )
            elif pocket.budget != whole:
                pocket.budget, pocket.agreed_total = whole, min(pocket.agreed_total, whole.units)
                pocket.guaranteed_units = self._guaranteed_units(
                    whole, whole.units if self.guaranteed_ratio is None else pocket.agreed_total
                )

    def _guaranteed_units(self, whole: Budget, units: int) -> int:
        agreed = replace(whole, units=units)
        return (
            agreed.even_share(self.router_index, self.router_count)
            if self.guaranteed_ratio is None
            else agreed.guaranteed_units(self.guaranteed_ratio, self.share_count)
        )

    # What commands take.

    def acquire(self, pocket: LocalBudget, now: float, units: int = 1) -> float:
        """So many units, where there is room; of a level one. Until when what took it may begin: with its
        lease ends the right to a part, also for one that stands still in between."""
        own = pocket.guaranteed_units if now >= pocket.guaranteed_from else 0
        begin_by = math.inf if pocket.used_units(now) < own else pocket.lease_expires_at
        if pocket.budget.window_s:
            for _ in range(units):
                heapq.heappush(pocket.release_times, now + pocket.budget.window_s * (1 + DRIFT))
                pocket.recent_releases.append(now + pocket.budget.window_s)
        else:
            pocket.in_flight += 1
        return begin_by

    def release(self, pocket: LocalBudget, now: float, doubt: bool) -> None:
        """Of a level: its command is over. doubt: it may run on at its engine, which ends it within DOUBT."""
        pocket.in_flight -= 1
        pocket.recent_releases.append(now)
        if doubt:
            heapq.heappush(pocket.release_times, now + ABANDONED_ATTEMPT_TIMEOUT_S)

    def overdue(self, now: float) -> list[tuple[LocalBudget, int]]:
        """Levels whose lease ran out so long ago that what is out beyond the base has to be called off, and
        how many of those."""
        found = []
        for pocket in self.budgets.values() if self.guaranteed_ratio is not None else ():
            beyond = pocket.in_flight - pocket.guaranteed_units
            ends = pocket.lease_expires_at + (pocket.budget.settle_s - ABANDONED_ATTEMPT_TIMEOUT_S) * (
                1 - 2 * DRIFT
            )
            if beyond > 0 and not pocket.budget.window_s and now >= ends:
                found.append((pocket, beyond))
        return found

    # What is told to the divider, and what it answers.

    def make_reports(
        self, to: int, to_start: int, start: int, now: float, share: int = 1, leaving: bool = False
    ) -> list[BudgetReport]:
        """All that we have, use or want. share: budgets over which one that waits for several is counted.
        leaving: nothing more is wanted."""
        if (to, to_start) != self.granter:
            self.follow_granter(to, to_start, 0)
        entries = []
        for number, pocket in self.budgets.items():
            pocket.is_left_behind = pocket.is_left_behind and pocket.held_units(now) > 0
            if pocket.is_left_behind:
                pocket.waiting.clear()
                pocket.waiting_weight, pocket.arrivals = 0.0, 0.0
                continue
            if now >= pocket.lease_expires_at and pocket.leased_units:
                # A late answer can't bring it back, a grant can. Who gave it hears so now, and gives it away.
                pocket.lapsed_units = (
                    pocket.leased_units if pocket.lease_origin != (*self.granter, self.granter_term) else 0
                )
                pocket.leased_units = 0
            used, waits, held = pocket.used_units(now), len(pocket.waiting), pocket.held_units(now)
            if (
                held
                or used
                or waits
                or pocket.confirmed_held_units
                or pocket.owes_report
                or pocket.arrivals
                or pocket.arrivals_per_s
            ):
                worth = pocket.waiting_weight / waits if waits else 1.0
                want = 0 if leaving else pocket.estimate_demand(now, now - self.reported_at, share)
                # Whoever divided before counted a part that ran out for so long at least.
                counted = now < pocket.lease_expires_at + pocket.budget.settle_s * (1 - 2 * DRIFT)
                had = max(held, pocket.lapsed_units if counted and not pocket.leased_units else 0)
                whole, base = pocket.budget.units, pocket.guaranteed_units
                entries.append(
                    BudgetUsage(number, pocket.grant_serial, held, used, want, worth, whole, base, had)
                )
            pocket.waiting.clear()
            pocket.waiting_weight = 0.0
        self.reported_at, told = now, []
        oldest = max(LocalBudgets.age_ms(self, (), now), 1)
        empty = BudgetReport(
            start,
            to_start,
            self.granter_term,
            0xFFFF << 24,
            self.config_version,
            self.config_digest,
            leaving,
            oldest,
            (),
        )
        for some in split_usages(entries, len(encode_report(0, empty))) if entries else [()]:
            age = self.age_ms(some, now)
            self.last_token += 1
            token = (start & 0xFFFF) << 24 | self.last_token & 0xFFFFFF
            self.open_reports[token] = now, {entry.budget_id: entry.held_units for entry in some}
            told.append(
                BudgetReport(
                    start,
                    to_start,
                    self.granter_term,
                    token,
                    self.config_version,
                    self.config_digest,
                    leaving,
                    age,
                    some,
                )
            )
        while len(self.open_reports) > MAX_OPEN_REPORTS:
            del self.open_reports[next(iter(self.open_reports))]
        return told

    def age_ms(self, entries: tuple[BudgetUsage, ...], now: float) -> int:
        """Milliseconds since we began or joined, as whoever divides is told."""
        return max(int(1000.0 * (now - self.joined_at)), 0)

    def follow_granter(self, to: int, to_start: int, reign: int) -> None:
        """We tell another divider from now on, in this time that it has the right; 0: we don't know which."""
        self.granter, self.granter_term = (to, to_start), reign
        self._reset_grants()

    def _reset_grants(self) -> None:
        """Another divider, or another right of the same: its numbers are its own, and what an older one still
        says counts no more. What we hold we go on holding."""
        for pocket in self.budgets.values():
            pocket.grant_serial, pocket.owes_report = 0, True
        self.open_reports.clear()

    def handle_answer(self, by: int, answer: BudgetAnswer, now: float) -> bool:
        """Whether it was an answer to us, of the divider that we tell now and in its present right."""
        if (
            (by, answer.leader_incarnation) != self.granter
            or answer.token not in self.open_reports
            or answer.leader_term < self.granter_term
        ):
            return False
        told_at, said = self.open_reports[answer.token]
        if answer.leader_term > self.granter_term:
            self.granter_term = answer.leader_term
            self._reset_grants()
            return True
        until = told_at + self.lease_s * (1 - DRIFT)
        for grant in answer.grants:
            pocket = self.budgets.get(grant.budget_id)
            if pocket is None or grant.serial < pocket.grant_serial:
                continue  # late
            if grant.serial == pocket.grant_serial:
                pocket.lease_expires_at = max(pocket.lease_expires_at, until)
            else:
                units = 0 if self.is_closed else grant.leased_units
                pocket.grant_serial, pocket.leased_units, pocket.lease_expires_at = grant.serial, units, until
                pocket.lease_origin, pocket.lapsed_units = (*self.granter, self.granter_term), 0
            pocket.confirmed_held_units, pocket.owes_report = said.get(grant.budget_id, 0), False
            pocket.agreed_total = min(grant.agreed_total, pocket.budget.units)
            pocket.guaranteed_units = self._guaranteed_units(pocket.budget, pocket.agreed_total)
        return True

    def move_to_group(self, me: int, now: float) -> None:
        """To that place of another group, which knows nothing of what we have of ours: our parts end now, and
        it hears of a budget when all that we had out beyond our base is over. Our bases go with us."""
        self.router_index, self.joined_at = me, now
        for pocket in self.budgets.values():
            pocket.leased_units = pocket.lapsed_units = pocket.confirmed_held_units = 0
            pocket.is_left_behind = True
        self.follow_granter(-1, 0, 0)

    def close(self) -> None:
        """Another process has our name, or we stop: our parts end now, and none is taken again."""
        self.is_closed = True
        for pocket in self.budgets.values():
            pocket.leased_units, pocket.lease_expires_at = 0, -math.inf
