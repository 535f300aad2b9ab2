"""The desk's side of budgets: what the decisions ask before a send, and what is told and heard of it.

It owns the router's `Purse` and which units each send took; all of it runs in the desk's greenlet. It must
never decide who gets what, or give up a command but for what is called off in a cut.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from marbleworks.budgets.budget_catalog import COLD_UNITS, Budget, BudgetCatalog
from marbleworks.budgets.codec import Answer, Report
from marbleworks.budgets.local_budget import WAITS, LocalBudget, LocalBudgets
from marbleworks.net.actor import LOG, clock
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.scheduling.slow_start import SLOW_START_TRUST

ROUND = 0.4  # seconds within which a part that is asked for comes, mostly
LONGEST = 60.0  # seconds that anyone is told to stay away


class BudgetEnforcer:
    """purse: ours, planned at once by `plan`. hurry: called where something waits for a part."""

    def __init__(
        self, desk: Dispatcher, plan: BudgetCatalog, purse: LocalBudgets, hurry: Callable[[], None]
    ) -> None:
        self.desk, self.gateway, self.purse, self.hurry = desk, desk.scheduler, purse, hurry
        self.begin_by = math.inf
        self.taken: dict[
            tuple[str, int], tuple[list[LocalBudget], float]
        ] = {}  # by send: its levels, and when
        self.came = 0  # commands since the last report, of which each engine has its part
        self.queues: dict[int, set[str]] = {}  # by budget: commands that wait for it here
        # By engine: commands out there, what it bears while cold, and the work of one unit of that.
        self.at: dict[int, tuple[LocalBudget | None, LocalBudget | None, float]] = {}
        self.lines: dict[str, LocalBudget] = {}  # by engine: connections
        self.named: dict[tuple[int, int], list[LocalBudget]] = {}
        self.refused = self.called_off = 0
        self.leaving = False
        self.replan(plan)

    def replan(self, plan: BudgetCatalog) -> None:
        """The operator's file says so from now on."""
        self.plan = plan
        self.purse.version, self.purse.digest = plan.version, plan.digest
        self.engines_changed()

    def engines_changed(self) -> None:
        """Engines came or went: what is budgeted for each of them comes and goes too."""
        pockets, engines, rules = self.purse.pockets, self.gateway.engines, self.gateway.rules
        wholes = self.plan.fixed()
        of_each: dict[int, list[Budget | None]] = {}
        lines: dict[str, Budget] = {}
        for be, engine in engines.items():
            entry = engine.entry
            cold = None
            if entry.started_at > 0 and self.plan.divides_cold:
                cold = self.plan.cold(entry.name, entry.started_at, rules.overload_window_s)
            of_each[be] = [self.plan.engine(entry.name, engine.cores), cold]
            line = self.plan.line(entry.name, engine.cores)
            if line is not None:
                lines[entry.name] = line
            wholes += [whole for whole in [*of_each[be], line] if whole is not None]
        self.purse.planned(wholes, clock())
        self.at = {}
        for be, (level, cold) in of_each.items():
            work = (
                rules.slow_start_floor * engines[be].cores * rules.overload_multiple * rules.overload_window_s
            )
            self.at[be] = (
                pockets.get(level.number) if level is not None else None,
                pockets.get(cold.number) if cold is not None else None,
                SLOW_START_TRUST * work / COLD_UNITS,
            )
        self.lines = {name: pockets[whole.number] for name, whole in lines.items()}
        self.named.clear()
        self.queues = {number: queue for number, queue in self.queues.items() if number in pockets}

    def wholes(self) -> list[Budget]:
        return [pocket.whole for pocket in self.purse.pockets.values()]

    # What the decisions ask.

    def _named(self, profile: int, tenant: int) -> list[LocalBudget]:
        found = self.named.get((profile, tenant))
        if found is None:
            wholes = [named.whole for named in self.plan.named if named.covers(profile, tenant)]
            found = self.named[profile, tenant] = [self.purse.pockets[whole.number] for whole in wholes]
        return found

    def _wanted(self, pocket: LocalBudget, ref: str, profile: int) -> None:
        if ref not in pocket.waiting and len(pocket.waiting) < WAITS:
            pocket.waiting.add(ref)
            pocket.worth += self.gateway.request_classes[profile].priority_weight
            self.hurry()

    def admission_wait(self, ref: str, class_index: int, tenant: int, wait_budget_s: float) -> float | None:
        now = clock()
        self.came += 1
        for pocket in self._named(class_index, tenant):
            pocket.asked += 1.0
            queue = self.queues.setdefault(pocket.whole.number, set())
            if not queue and pocket.room(now):
                continue
            self._wanted(pocket, ref, class_index)
            pace = pocket.pace(now)
            expected = (len(queue) + 1) / pace if pace else ROUND * (len(queue) + 1)
            if expected > wait_budget_s:
                self.refused += 1
                self.stop_waiting(ref)
                return min(expected, LONGEST)
            queue.add(ref)
        return None

    def is_within_quota(self, ref: str, tenant: int) -> bool | None:
        whole = self.plan.tenants.get(tenant)
        if whole is None:
            return None
        pocket, now = self.purse.pockets[whole.number], clock()
        pocket.asked += 1.0
        if pocket.room(now):
            self.purse.take(pocket, now)
            return True
        if len(pocket.waiting) < WAITS:
            pocket.waiting.add(ref)
            pocket.worth += 1.0
            self.hurry()
        return False

    def has_room(self, ref: str, class_index: int, tenant: int, engine_id: int) -> bool:
        now = clock()
        for pocket in self._named(class_index, tenant):
            if not pocket.room(now):
                self._wanted(pocket, ref, class_index)
                return False
        level, cold, unit = self.at.get(engine_id, (None, None, 1.0))
        if level is not None and not level.room(now):
            self._wanted(level, ref, class_index)
            return False
        if (
            cold is not None
            and self._fresh(engine_id, now)
            and not cold.room(now, self._cold_units(class_index, unit))
        ):
            self._wanted(cold, ref, class_index)
            return False
        return True

    def max_in_flight(self) -> float:
        now = clock()
        levels = [level for level, _, _ in self.at.values() if level is not None]
        return sum(level.most(now) for level in levels) if levels else math.inf

    def _fresh(self, be: int, now: float) -> bool:
        return now - self.gateway.engines[be].entry.started_at < self.gateway.rules.slow_start_s

    def _cold_units(self, profile: int, unit: float) -> int:
        return max(math.ceil(self.gateway.mean_work(profile) / unit), 1)

    def retry_allowance(self, spare: float, earned: float) -> float:
        if self.plan.further is None:
            return earned
        pocket = self.purse.pockets[self.plan.further.number]
        if pocket.room(clock(), math.ceil(spare)):
            return math.inf
        if len(pocket.waiting) < WAITS:
            pocket.waiting.add(str(len(pocket.waiting)))
            self.hurry()
        return -1.0

    def slow_start_share(self, engine_id: int) -> float | None:
        cold = self.at.get(engine_id, (None, None, 1.0))[1]
        return None if cold is None else cold.most(clock()) / COLD_UNITS

    def acquire(self, ref: str, attempt_no: int, class_index: int, tenant: int, engine_id: int) -> None:
        now = clock()
        self.begin_by = math.inf
        levels = []
        for pocket in [*self._named(class_index, tenant), self.at.get(engine_id, (None, None, 1.0))[0]]:
            if pocket is not None:
                self.begin_by = min(self.begin_by, self.purse.take(pocket, now))
                if not pocket.whole.span:
                    levels.append(pocket)
        _, cold, unit = self.at.get(engine_id, (None, None, 1.0))
        if cold is not None and self._fresh(engine_id, now):
            self.begin_by = min(
                self.begin_by, self.purse.take(cold, now, self._cold_units(class_index, unit))
            )
        if attempt_no and self.plan.further is not None:
            self.purse.take(self.purse.pockets[self.plan.further.number], now)
        if levels:
            self.taken[ref, attempt_no] = levels, now
        self.stop_waiting(ref)

    def release(self, ref: str, attempt_no: int, may_still_run: bool) -> None:
        now = clock()
        levels, since = self.taken.pop((ref, attempt_no), ([], now))
        for pocket in levels:
            pocket.held_for(now - since)
            self.purse.give_back(pocket, now, may_still_run)

    def stop_waiting(self, ref: str) -> None:
        for queue in self.queues.values():
            queue.discard(ref)

    # Connections, as the engines' actors ask for them.

    def line(self, name: str) -> bool:
        """Whether one more may be made to an engine; it is counted then."""
        pocket, now = self.lines.get(name), clock()
        if pocket is None:
            return True
        if not pocket.room(now):
            pocket.waiting.add("line")
            self.hurry()
            return False
        self.purse.take(pocket, now)
        return True

    def line_ended(self, name: str) -> None:
        pocket = self.lines.get(name)
        if pocket is not None and pocket.out:
            self.purse.give_back(pocket, clock(), False)

    # What goes to the divider, and comes.

    def report(self, to: int, to_start: int, start: int) -> list[Report]:
        self._call_off()
        engines = max(len(self.gateway.up), 1)
        for level, _, _ in self.at.values():
            if level is not None:
                level.asked += self.came / engines
        self.came = 0
        return self.purse.reports(to, to_start, start, clock(), engines, self.leaving)

    def answered(self, by: int, answer: Answer) -> None:
        if self.purse.answered(by, answer, clock()):
            for engine in self.desk.engine_clients.values() if self.lines else ():
                engine.post(engine.try_again)
            if self.gateway.pending:
                self.gateway.review()

    def _call_off(self) -> None:
        """In a cut, or where what divides is gone: what is out beyond the base for longer than is settled."""
        for pocket, beyond in self.purse.overdue(clock()):
            sends = [key for key, (levels, _) in self.taken.items() if pocket in levels][-beyond:]
            for ref, _ in sends:
                command = self.desk.open_requests.get(ref)
                if command is not None and command.handle is not None and not command.over:
                    self.called_off += 1
                    LOG.warning("called off for want of a part", ref=ref, budget=pocket.whole.name)
                    self.gateway.give_up(command.handle)

    def leave(self) -> None:
        """A planned stop, or another process has our name: our parts end now, bases stay."""
        self.leaving = True
        self.purse.void()

    def shown(self) -> list[list[str]]:
        """A row for each budget: name, whole, base, part, used, seconds that the part still holds."""
        now, rows = clock(), []
        for pocket in sorted(self.purse.pockets.values(), key=lambda p: p.whole.name):
            left = f"{pocket.until - now:.1f} s" if pocket.part(now) else "-"
            figures = [pocket.whole.units, pocket.base, pocket.part(now), pocket.used(now)]
            rows.append([pocket.whole.name, *map(str, figures), left])
        return rows


class Counted:
    """The share of descriptors of one engine's connections, each of which is counted in its budget too."""

    def __init__(self, share: Any, holder: BudgetEnforcer, name: str) -> None:
        self.share, self.holder, self.name = share, holder, name

    def acquire(self, blocking: bool = True) -> bool:
        if not self.share.acquire(blocking=blocking):
            return False
        if self.holder.line(self.name):
            return True
        self.share.release()
        return False

    def release(self) -> None:
        self.share.release()
        self.holder.line_ended(self.name)


def told_of(shown: dict[int, dict[str, int]], wholes: list[Budget]) -> list[list[Any]]:
    """The divider's books as rows: name, whole, held, used, free, unreachable, by router."""
    names = {whole.number: whole.name for whole in wholes}
    rows = []
    for number, row in sorted(shown.items(), key=lambda item: names.get(item[0], "")):
        by = " ".join(f"{key[5:]}:{units}" for key, units in row.items() if key.startswith("held ") and units)
        figures = [row["whole"], row["bases"] + row["held"], row["used"], row["free"]]
        rows.append([names.get(number, f"{number:08x}"), *map(str, figures), str(row["unreachable"]), by])
    return rows
