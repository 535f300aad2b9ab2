"""The desk's side of budgets: what the decisions ask before a send, and what is told and heard of it.

It owns the router's `Purse` and which units each send took; all of it runs in the desk's greenlet. It must
never decide who gets what, or give up a command but for what is called off in a cut.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from marbleworks.budgets.budget_catalog import SLOW_START_UNITS, Budget, BudgetCatalog
from marbleworks.budgets.codec import BudgetAnswer, BudgetReport
from marbleworks.budgets.local_budget import MAX_TRACKED_WAITERS, LocalBudget, LocalBudgets
from marbleworks.net.actor import LOG, clock
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.scheduling.scheduler import SLOW_START_TRUST

GRANT_ROUND_TRIP_S = 0.4  # seconds within which a part that is asked for comes, mostly
MAX_RETRY_AFTER_S = 60.0  # seconds that anyone is told to stay away


class BudgetEnforcer:
    """purse: ours, planned at once by `plan`. hurry: called where something waits for a part."""

    def __init__(
        self, desk: Dispatcher, plan: BudgetCatalog, purse: LocalBudgets, hurry: Callable[[], None]
    ) -> None:
        self.dispatcher, self.scheduler, self.local_budgets, self.request_report = (
            desk,
            desk.scheduler,
            purse,
            hurry,
        )
        self.begin_by = math.inf
        self.acquired: dict[
            tuple[str, int], tuple[list[LocalBudget], float]
        ] = {}  # by send: its levels, and when
        self.arrivals = 0  # commands since the last report, of which each engine has its part
        self.waiting_by_budget: dict[int, set[str]] = {}  # by budget: commands that wait for it here
        # By engine: commands out there, what it bears while cold, and the work of one unit of that.
        self.engine_budgets: dict[int, tuple[LocalBudget | None, LocalBudget | None, float]] = {}
        self.connection_budgets: dict[str, LocalBudget] = {}  # by engine: connections
        self.scoped_budgets: dict[tuple[int, int], list[LocalBudget]] = {}
        self.refused_count = self.cancelled_count = 0
        self.is_leaving = False
        self.set_catalog(plan)

    def set_catalog(self, plan: BudgetCatalog) -> None:
        """The operator's file says so from now on."""
        self.catalog = plan
        self.local_budgets.config_version, self.local_budgets.config_digest = (
            plan.config_version,
            plan.config_digest,
        )
        self.listed()

    def listed(self) -> None:
        """Engines came or went: what is budgeted for each of them comes and goes too."""
        pockets, engines, rules = self.local_budgets.budgets, self.scheduler.engines, self.scheduler.rules
        wholes = self.catalog.static_budgets()
        of_each: dict[int, list[Budget | None]] = {}
        lines: dict[str, Budget] = {}
        for be, engine in engines.items():
            entry = engine.entry
            cold = None
            if entry.started_at > 0 and self.catalog.divides_slow_start:
                cold = self.catalog.slow_start_budget(entry.name, entry.started_at, rules.overload_window_s)
            of_each[be] = [self.catalog.engine_budget(entry.name, engine.cores), cold]
            line = self.catalog.connection_budget(entry.name, engine.cores)
            if line is not None:
                lines[entry.name] = line
            wholes += [whole for whole in [*of_each[be], line] if whole is not None]
        self.local_budgets.set_budgets(wholes, clock())
        self.engine_budgets = {}
        for be, (level, cold) in of_each.items():
            work = (
                rules.slow_start_floor * engines[be].cores * rules.overload_multiple * rules.overload_window_s
            )
            self.engine_budgets[be] = (
                pockets.get(level.budget_id) if level is not None else None,
                pockets.get(cold.budget_id) if cold is not None else None,
                SLOW_START_TRUST * work / SLOW_START_UNITS,
            )
        self.connection_budgets = {name: pockets[whole.budget_id] for name, whole in lines.items()}
        self.scoped_budgets.clear()
        self.waiting_by_budget = {
            number: queue for number, queue in self.waiting_by_budget.items() if number in pockets
        }

    def budgets(self) -> list[Budget]:
        return [pocket.budget for pocket in self.local_budgets.budgets.values()]

    # What the decisions ask.

    def _budgets_covering(self, profile: int, tenant: int) -> list[LocalBudget]:
        found = self.scoped_budgets.get((profile, tenant))
        if found is None:
            wholes = [named.budget for named in self.catalog.scoped_budgets if named.covers(profile, tenant)]
            found = self.scoped_budgets[profile, tenant] = [
                self.local_budgets.budgets[whole.budget_id] for whole in wholes
            ]
        return found

    def _record_waiter(self, pocket: LocalBudget, ref: str, profile: int) -> None:
        if ref not in pocket.waiting and len(pocket.waiting) < MAX_TRACKED_WAITERS:
            pocket.waiting.add(ref)
            pocket.waiting_weight += self.scheduler.request_classes[profile].priority_weight
            self.request_report()

    def wait(self, ref: str, profile: int, tenant: int, patience: float) -> float | None:
        now = clock()
        self.arrivals += 1
        for pocket in self._budgets_covering(profile, tenant):
            pocket.arrivals += 1.0
            queue = self.waiting_by_budget.setdefault(pocket.budget.budget_id, set())
            if not queue and pocket.has_room(now):
                continue
            self._record_waiter(pocket, ref, profile)
            pace = pocket.releases_per_s(now)
            expected = (len(queue) + 1) / pace if pace else GRANT_ROUND_TRIP_S * (len(queue) + 1)
            if expected > patience:
                self.refused_count += 1
                self.over(ref)
                return min(expected, MAX_RETRY_AFTER_S)
            queue.add(ref)
        return None

    def within(self, ref: str, tenant: int) -> bool | None:
        whole = self.catalog.tenant_budgets.get(tenant)
        if whole is None:
            return None
        pocket, now = self.local_budgets.budgets[whole.budget_id], clock()
        pocket.arrivals += 1.0
        if pocket.has_room(now):
            self.local_budgets.acquire(pocket, now)
            return True
        if len(pocket.waiting) < MAX_TRACKED_WAITERS:
            pocket.waiting.add(ref)
            pocket.waiting_weight += 1.0
            self.request_report()
        return False

    def room(self, ref: str, profile: int, tenant: int, be: int) -> bool:
        now = clock()
        for pocket in self._budgets_covering(profile, tenant):
            if not pocket.has_room(now):
                self._record_waiter(pocket, ref, profile)
                return False
        level, cold, unit = self.engine_budgets.get(be, (None, None, 1.0))
        if level is not None and not level.has_room(now):
            self._record_waiter(level, ref, profile)
            return False
        if (
            cold is not None
            and self._is_in_slow_start(be, now)
            and not cold.has_room(now, self._slow_start_units(profile, unit))
        ):
            self._record_waiter(cold, ref, profile)
            return False
        return True

    def out(self) -> float:
        now = clock()
        levels = [level for level, _, _ in self.engine_budgets.values() if level is not None]
        return sum(level.max_units(now) for level in levels) if levels else math.inf

    def _is_in_slow_start(self, be: int, now: float) -> bool:
        return now - self.scheduler.engines[be].entry.started_at < self.scheduler.rules.slow_start_s

    def _slow_start_units(self, profile: int, unit: float) -> int:
        return max(math.ceil(self.scheduler.mean_work(profile) / unit), 1)

    def further(self, spare: float, earned: float) -> float:
        if self.catalog.retry_budget is None:
            return earned
        pocket = self.local_budgets.budgets[self.catalog.retry_budget.budget_id]
        if pocket.has_room(clock(), math.ceil(spare)):
            return math.inf
        if len(pocket.waiting) < MAX_TRACKED_WAITERS:
            pocket.waiting.add(str(len(pocket.waiting)))
            self.request_report()
        return -1.0

    def cold(self, be: int) -> float | None:
        cold = self.engine_budgets.get(be, (None, None, 1.0))[1]
        return None if cold is None else cold.max_units(clock()) / SLOW_START_UNITS

    def take(self, ref: str, send_no: int, profile: int, tenant: int, be: int) -> None:
        now = clock()
        self.begin_by = math.inf
        levels = []
        for pocket in [
            *self._budgets_covering(profile, tenant),
            self.engine_budgets.get(be, (None, None, 1.0))[0],
        ]:
            if pocket is not None:
                self.begin_by = min(self.begin_by, self.local_budgets.acquire(pocket, now))
                if not pocket.budget.window_s:
                    levels.append(pocket)
        _, cold, unit = self.engine_budgets.get(be, (None, None, 1.0))
        if cold is not None and self._is_in_slow_start(be, now):
            self.begin_by = min(
                self.begin_by, self.local_budgets.acquire(cold, now, self._slow_start_units(profile, unit))
            )
        if send_no and self.catalog.retry_budget is not None:
            self.local_budgets.acquire(self.local_budgets.budgets[self.catalog.retry_budget.budget_id], now)
        if levels:
            self.acquired[ref, send_no] = levels, now
        self.over(ref)

    def give_back(self, ref: str, send_no: int, doubt: bool) -> None:
        now = clock()
        levels, since = self.acquired.pop((ref, send_no), ([], now))
        for pocket in levels:
            pocket.record_hold(now - since)
            self.local_budgets.release(pocket, now, doubt)

    def over(self, ref: str) -> None:
        for queue in self.waiting_by_budget.values():
            queue.discard(ref)

    # Connections, as the engines' actors ask for them.

    def acquire_connection(self, name: str) -> bool:
        """Whether one more may be made to an engine; it is counted then."""
        pocket, now = self.connection_budgets.get(name), clock()
        if pocket is None:
            return True
        if not pocket.has_room(now):
            pocket.waiting.add("line")
            self.request_report()
            return False
        self.local_budgets.acquire(pocket, now)
        return True

    def release_connection(self, name: str) -> None:
        pocket = self.connection_budgets.get(name)
        if pocket is not None and pocket.in_flight:
            self.local_budgets.release(pocket, clock(), False)

    # What goes to the divider, and comes.

    def make_reports(self, to: int, to_start: int, start: int) -> list[BudgetReport]:
        self._cancel_overdue()
        engines = max(len(self.scheduler.up), 1)
        for level, _, _ in self.engine_budgets.values():
            if level is not None:
                level.arrivals += self.arrivals / engines
        self.arrivals = 0
        return self.local_budgets.make_reports(to, to_start, start, clock(), engines, self.is_leaving)

    def handle_answer(self, by: int, answer: BudgetAnswer) -> None:
        if self.local_budgets.handle_answer(by, answer, clock()):
            for engine in self.dispatcher.engine_clients.values() if self.connection_budgets else ():
                engine.post(engine.try_again)
            if self.scheduler.pending:
                self.scheduler.review()

    def _cancel_overdue(self) -> None:
        """In a cut, or where what divides is gone: what is out beyond the base for longer than is settled."""
        for pocket, beyond in self.local_budgets.overdue(clock()):
            sends = [key for key, (levels, _) in self.acquired.items() if pocket in levels][-beyond:]
            for ref, _ in sends:
                command = self.dispatcher.open_requests.get(ref)
                if command is not None and command.handle is not None and not command.over:
                    self.cancelled_count += 1
                    LOG.warning("called off for want of a part", ref=ref, budget=pocket.budget.name)
                    self.scheduler.give_up(command.handle)

    def leave(self) -> None:
        """A planned stop, or another process has our name: our parts end now, bases stay."""
        self.is_leaving = True
        self.local_budgets.close()

    def table_rows(self) -> list[list[str]]:
        """A row for each budget: name, whole, base, part, used, seconds that the part still holds."""
        now, rows = clock(), []
        for pocket in sorted(self.local_budgets.budgets.values(), key=lambda p: p.budget.name):
            left = f"{pocket.lease_expires_at - now:.1f} s" if pocket.valid_lease_units(now) else "-"
            figures = [
                pocket.budget.units,
                pocket.guaranteed_units,
                pocket.valid_lease_units(now),
                pocket.used_units(now),
            ]
            rows.append([pocket.budget.name, *map(str, figures), left])
        return rows


class BudgetedConnectionLimit:
    """The share of descriptors of one engine's connections, each of which is counted in its budget too."""

    def __init__(self, share: Any, holder: BudgetEnforcer, name: str) -> None:
        self.limit, self.enforcer, self.engine_name = share, holder, name

    def acquire(self, blocking: bool = True) -> bool:
        if not self.limit.acquire(blocking=blocking):
            return False
        if self.enforcer.acquire_connection(self.engine_name):
            return True
        self.limit.release()
        return False

    def release(self) -> None:
        self.limit.release()
        self.enforcer.release_connection(self.engine_name)


def allocation_rows(shown: dict[int, dict[str, int]], wholes: list[Budget]) -> list[list[Any]]:
    """The divider's books as rows: name, whole, held, used, free, unreachable, by router."""
    names = {whole.budget_id: whole.name for whole in wholes}
    rows = []
    for number, row in sorted(shown.items(), key=lambda item: names.get(item[0], "")):
        by = " ".join(f"{key[5:]}:{units}" for key, units in row.items() if key.startswith("held ") and units)
        figures = [row["whole"], row["bases"] + row["held"], row["used"], row["free"]]
        rows.append([names.get(number, f"{number:08x}"), *map(str, figures), str(row["unreachable"]), by])
    return rows
