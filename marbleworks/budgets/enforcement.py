"""Enforcement of budgets at a router: checks before each attempt, and accounting of the units in use.

A `BudgetEnforcer` runs in the dispatcher's greenlet. It does not decide how many units a router gets. It
cancels requests only if a lease expired and was not renewed in time.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from gevent.lock import BoundedSemaphore

from marbleworks.budgets.budget_catalog import SLOW_START_UNITS, Budget, BudgetCatalog
from marbleworks.budgets.codec import BudgetAnswer, BudgetReport
from marbleworks.budgets.local_budget import LocalBudgets
from marbleworks.budgets.local_budget_state import MAX_TRACKED_WAITERS, LocalBudget
from marbleworks.net.actor import LOG, clock
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.scheduling.slow_start import SLOW_START_FLOOR_USAGE

GRANT_ROUND_TRIP_S = 0.4  # a lease that is requested usually arrives within this time
MAX_RETRY_AFTER_S = 60.0
CONNECTION_WAITER = "line"  # one entry in `LocalBudget.waiting` for all waiters for a connection


@dataclass(frozen=True, slots=True)
class EngineBudgets:
    """Budgets of one engine.

    Attributes:
        in_flight: Budget of requests in flight at the engine; None if there is none.
        slow_start: Budget of work sent to the engine while it is warming up; None if there is none.
        work_per_unit: Work per unit of the slow-start budget, in seconds on one thread.
    """

    in_flight: LocalBudget | None = None
    slow_start: LocalBudget | None = None
    work_per_unit: float = 1.0


NO_ENGINE_BUDGETS = EngineBudgets()


@dataclass(eq=False, slots=True)
class AcquiredUnits:
    """The concurrency budgets of which an attempt holds a unit, and the time at which it acquired them."""

    budgets: list[LocalBudget]
    acquired_at: float


class BudgetEnforcer:
    """Enforces the budgets at this router; implements `ports.SharedBudgets`.

    Args:
        dispatcher: Dispatcher of this router; all methods run in its greenlet.
        catalog: Budgets of the operator's file.
        local_budgets: State of the budgets at this router.
        request_report: Called when a request or connection waits for units.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        catalog: BudgetCatalog,
        local_budgets: LocalBudgets,
        request_report: Callable[[], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.scheduler = dispatcher.scheduler
        self.local_budgets = local_budgets
        self.request_report = request_report
        self.begin_by = math.inf
        self.acquired: dict[tuple[str, int], AcquiredUnits] = {}  # keyed by request and attempt
        self.arrivals = 0  # requests since the last report; counted evenly for all engines
        self.waiting_by_budget: dict[int, set[str]] = {}  # refs of requests that wait, keyed by budget id
        self.engine_budgets: dict[int, EngineBudgets] = {}  # keyed by engine id
        self.connection_budgets: dict[str, LocalBudget] = {}  # keyed by engine name
        self.scoped_budgets: dict[tuple[int, int], list[LocalBudget]] = {}  # cache, keyed by class and tenant
        self.refused_count = 0
        self.cancelled_count = 0
        self.is_leaving = False
        self.set_catalog(catalog)

    def set_catalog(self, catalog: BudgetCatalog) -> None:
        """Replaces the catalog after a reload of the operator's file."""
        self.catalog = catalog
        self.local_budgets.config_version = catalog.config_version
        self.local_budgets.config_digest = catalog.config_digest
        self.engines_changed()

    def engines_changed(self) -> None:
        """Updates the budgets of engines after a change of the engine list."""
        engines = self.scheduler.engines
        window_s = self.scheduler.rules.overload_window_s
        budgets = self.catalog.static_budgets()
        in_flight: dict[int, Budget] = {}
        slow_start: dict[int, Budget] = {}
        connections: dict[str, Budget] = {}
        for engine_id, engine in engines.items():
            entry = engine.entry
            budget = self.catalog.engine_budget(entry.name, engine.cores)
            if budget is not None:
                in_flight[engine_id] = budget
                budgets.append(budget)
            if entry.started_at > 0 and self.catalog.divides_slow_start:
                budget = self.catalog.slow_start_budget(entry.name, entry.started_at, window_s)
                slow_start[engine_id] = budget
                budgets.append(budget)
            budget = self.catalog.connection_budget(entry.name, engine.cores)
            if budget is not None:
                connections[entry.name] = budget
                budgets.append(budget)
        self.local_budgets.set_budgets(budgets, clock())
        self.engine_budgets = {
            engine_id: EngineBudgets(
                self._local(in_flight.get(engine_id)),
                self._local(slow_start.get(engine_id)),
                self._work_per_unit(engine.cores),
            )
            for engine_id, engine in engines.items()
        }
        local_by_id = self.local_budgets.budgets
        self.connection_budgets = {
            name: local_by_id[budget.budget_id] for name, budget in connections.items()
        }
        self.scoped_budgets.clear()
        self.waiting_by_budget = {
            budget_id: waiting
            for budget_id, waiting in self.waiting_by_budget.items()
            if budget_id in local_by_id
        }

    def _local(self, budget: Budget | None) -> LocalBudget | None:
        return None if budget is None else self.local_budgets.budgets.get(budget.budget_id)

    def _work_per_unit(self, cores: int) -> float:
        """Work of one unit of an engine's slow-start budget."""
        rules = self.scheduler.rules
        work = rules.slow_start_floor * cores * rules.overload_multiple * rules.overload_window_s
        return SLOW_START_FLOOR_USAGE * work / SLOW_START_UNITS

    def budgets(self) -> list[Budget]:
        """All budgets by this router's own configuration."""
        return [local.budget for local in self.local_budgets.budgets.values()]

    # Calls from the scheduler.

    def _budgets_covering(self, class_index: int, tenant_index: int) -> list[LocalBudget]:
        covering = self.scoped_budgets.get((class_index, tenant_index))
        if covering is None:
            covering = [
                self.local_budgets.budgets[scoped.budget.budget_id]
                for scoped in self.catalog.scoped_budgets
                if scoped.covers(class_index, tenant_index)
            ]
            self.scoped_budgets[class_index, tenant_index] = covering
        return covering

    def _record_waiter(self, local: LocalBudget, ref: str, class_index: int) -> None:
        if ref not in local.waiting and len(local.waiting) < MAX_TRACKED_WAITERS:
            local.waiting.add(ref)
            local.waiting_weight += self.scheduler.request_classes[class_index].priority_weight
            self.request_report()

    def admission_wait(self, ref: str, class_index: int, tenant: int, wait_budget_s: float) -> float | None:
        """Counts a request that has arrived and estimates how long it has to wait.

        Args:
            ref: Ref of the request.
            class_index: Index of its request class.
            tenant: Index of its tenant.
            wait_budget_s: Maximum time that the request may wait, in seconds.

        Returns:
            None if the request may be sent or wait; otherwise the seconds after which to retry.
        """
        now = clock()
        self.arrivals += 1
        for local in self._budgets_covering(class_index, tenant):
            local.arrivals += 1.0
            waiting = self.waiting_by_budget.setdefault(local.budget.budget_id, set())
            if not waiting and local.has_room(now):
                continue
            self._record_waiter(local, ref, class_index)
            releases_per_s = local.releases_per_s(now)
            position = len(waiting) + 1
            expected_s = position / releases_per_s if releases_per_s else GRANT_ROUND_TRIP_S * position
            if expected_s > wait_budget_s:
                self.refused_count += 1
                self.stop_waiting(ref)
                return min(expected_s, MAX_RETRY_AFTER_S)
            waiting.add(ref)
        return None

    def is_within_quota(self, ref: str, tenant: int) -> bool | None:
        """Acquires a unit of the tenant's rate.

        Returns:
            Whether there was a unit; None if the tenant has no budget.
        """
        budget = self.catalog.tenant_budgets.get(tenant)
        if budget is None:
            return None
        now = clock()
        local = self.local_budgets.budgets[budget.budget_id]
        local.arrivals += 1.0
        if local.has_room(now):
            self.local_budgets.acquire(local, now)
            return True
        if len(local.waiting) < MAX_TRACKED_WAITERS:
            local.waiting.add(ref)
            local.waiting_weight += 1.0
            self.request_report()
        return False

    def has_room(self, ref: str, class_index: int, tenant: int, engine_id: int) -> bool:
        """Whether all budgets of an attempt at an engine have room.

        The request is recorded as a waiter of the first budget without room.
        """
        now = clock()
        for local in self._budgets_covering(class_index, tenant):
            if not local.has_room(now):
                self._record_waiter(local, ref, class_index)
                return False
        engine = self.engine_budgets.get(engine_id, NO_ENGINE_BUDGETS)
        if engine.in_flight is not None and not engine.in_flight.has_room(now):
            self._record_waiter(engine.in_flight, ref, class_index)
            return False
        if engine.slow_start is not None and self._is_in_slow_start(engine_id, now):
            units = self._slow_start_units(class_index, engine.work_per_unit)
            if not engine.slow_start.has_room(now, units):
                self._record_waiter(engine.slow_start, ref, class_index)
                return False
        return True

    def max_in_flight(self) -> float:
        """Number of requests that may be in flight at all engines together."""
        now = clock()
        budgets = [
            engine.in_flight for engine in self.engine_budgets.values() if engine.in_flight is not None
        ]
        return sum(local.max_units(now) for local in budgets) if budgets else math.inf

    def _is_in_slow_start(self, engine_id: int, now: float) -> bool:
        started_at = self.scheduler.engines[engine_id].entry.started_at
        return now - started_at < self.scheduler.rules.slow_start_s

    def _slow_start_units(self, class_index: int, work_per_unit: float) -> int:
        return max(math.ceil(self.scheduler.mean_work(class_index) / work_per_unit), 1)

    def retry_allowance(self, budget_factor: float, earned_retries: float) -> float:
        """Number of retries that are allowed now.

        Args:
            budget_factor: Units of the retry budget that have to be free.
            earned_retries: Retries that this router earned by itself.

        Returns:
            `earned_retries` without a fleet-wide retry budget; otherwise infinity if that budget has room,
            and a negative number if it has none.
        """
        if self.catalog.retry_budget is None:
            return earned_retries
        local = self.local_budgets.budgets[self.catalog.retry_budget.budget_id]
        if local.has_room(clock(), math.ceil(budget_factor)):
            return math.inf
        if len(local.waiting) < MAX_TRACKED_WAITERS:
            local.waiting.add(str(len(local.waiting)))
            self.request_report()
        return -1.0

    def slow_start_share(self, engine_id: int) -> float | None:
        """This router's share of an engine's slow-start load; None if that load has no budget."""
        slow_start = self.engine_budgets.get(engine_id, NO_ENGINE_BUDGETS).slow_start
        return None if slow_start is None else slow_start.max_units(clock()) / SLOW_START_UNITS

    def acquire(self, ref: str, attempt_no: int, class_index: int, tenant: int, engine_id: int) -> None:
        """Acquires units of all budgets of an attempt and sets `begin_by`, the latest time of its start."""
        now = clock()
        self.begin_by = math.inf
        engine = self.engine_budgets.get(engine_id, NO_ENGINE_BUDGETS)
        concurrent = []
        for local in [*self._budgets_covering(class_index, tenant), engine.in_flight]:
            if local is not None:
                self.begin_by = min(self.begin_by, self.local_budgets.acquire(local, now))
                if not local.budget.window_s:
                    concurrent.append(local)
        if engine.slow_start is not None and self._is_in_slow_start(engine_id, now):
            units = self._slow_start_units(class_index, engine.work_per_unit)
            begin_by = self.local_budgets.acquire(engine.slow_start, now, units)
            self.begin_by = min(self.begin_by, begin_by)
        if attempt_no and self.catalog.retry_budget is not None:
            self.local_budgets.acquire(self.local_budgets.budgets[self.catalog.retry_budget.budget_id], now)
        if concurrent:
            self.acquired[ref, attempt_no] = AcquiredUnits(concurrent, now)
        self.stop_waiting(ref)

    def release(self, ref: str, attempt_no: int, may_still_run: bool) -> None:
        """Releases the units of an attempt that has ended.

        Args:
            ref: Ref of the request.
            attempt_no: Number of the attempt.
            may_still_run: Whether the engine may still be executing the attempt.
        """
        acquired = self.acquired.pop((ref, attempt_no), None)
        if acquired is None:
            return
        now = clock()
        for local in acquired.budgets:
            local.record_hold(now - acquired.acquired_at)
            self.local_budgets.release(local, now, may_still_run)

    def stop_waiting(self, ref: str) -> None:
        """Removes a request from the waiters of all budgets."""
        for waiting in self.waiting_by_budget.values():
            waiting.discard(ref)

    # Calls from the engine clients, for connections.

    def acquire_connection(self, engine: str) -> bool:
        """Acquires a unit for one more connection to an engine; returns False if there is none."""
        local = self.connection_budgets.get(engine)
        if local is None:
            return True
        now = clock()
        if not local.has_room(now):
            local.waiting.add(CONNECTION_WAITER)
            self.request_report()
            return False
        self.local_budgets.acquire(local, now)
        return True

    def release_connection(self, engine: str) -> None:
        """Releases the unit of a closed connection."""
        local = self.connection_budgets.get(engine)
        if local is not None and local.in_flight:
            self.local_budgets.release(local, clock(), False)

    # Reports to the granter and its answers.

    def make_reports(self, granter: int, granter_incarnation: int, incarnation: int) -> list[BudgetReport]:
        """Cancels overdue requests and makes the reports to the granter.

        Args:
            granter: Index of the member that grants units.
            granter_incarnation: Incarnation of that member.
            incarnation: Incarnation of this process.
        """
        self._cancel_overdue()
        engine_count = max(len(self.scheduler.available_engines), 1)
        for engine in self.engine_budgets.values():
            if engine.in_flight is not None:
                engine.in_flight.arrivals += self.arrivals / engine_count
        self.arrivals = 0
        return self.local_budgets.make_reports(
            granter, granter_incarnation, incarnation, clock(), engine_count, self.is_leaving
        )

    def handle_answer(self, sender: int, answer: BudgetAnswer) -> None:
        """Applies the grants of an answer, and retries waiting requests and connections."""
        if not self.local_budgets.handle_answer(sender, answer, clock()):
            return
        if self.connection_budgets:
            for engine in self.dispatcher.engine_clients.values():
                engine.post(engine.serve_waiters)
        if self.scheduler.pending:
            self.scheduler.review()

    def _cancel_overdue(self) -> None:
        """Cancels requests beyond the guaranteed units whose lease expired and was not renewed in time."""
        for local, excess in self.local_budgets.find_overdue(clock()):
            attempts = [key for key, acquired in self.acquired.items() if local in acquired.budgets]
            for ref, _ in attempts[-excess:]:
                request = self.dispatcher.open_requests.get(ref)
                if request is not None and request.handle is not None and not request.completed:
                    self.cancelled_count += 1
                    LOG.warning("request cancelled over budget", ref=ref, budget=local.budget.name)
                    self.scheduler.give_up(request.handle)

    def leave(self) -> None:
        """Gives up all leases for a planned stop, or because another process has this router's identity."""
        self.is_leaving = True
        self.local_budgets.close()

    def table_rows(self) -> list[list[str]]:
        """One row for each budget: name, total, guaranteed, leased, used, remaining time of the lease."""
        now = clock()
        rows = []
        for local in sorted(self.local_budgets.budgets.values(), key=lambda item: item.budget.name):
            leased = local.valid_lease_units(now)
            lease_left = f"{local.lease_expires_at - now:.1f} s" if leased else "-"
            figures = (local.budget.units, local.guaranteed_units, leased, local.used_units(now))
            rows.append([local.budget.name, *map(str, figures), lease_left])
        return rows


class BudgetedConnectionLimit:
    """A semaphore for connections to one engine that also counts them in the engine's budget.

    Args:
        limit: Semaphore that limits the number of descriptors.
        enforcer: Enforcer of the budgets.
        engine_name: Name of the engine.
    """

    def __init__(self, limit: BoundedSemaphore, enforcer: BudgetEnforcer, engine_name: str) -> None:
        self.limit = limit
        self.enforcer = enforcer
        self.engine_name = engine_name

    def acquire(self, blocking: bool = True) -> bool:
        """Acquires a descriptor and a unit of the budget, or neither."""
        if not self.limit.acquire(blocking=blocking):
            return False
        if self.enforcer.acquire_connection(self.engine_name):
            return True
        self.limit.release()
        return False

    def release(self) -> None:
        """Releases the descriptor and the unit."""
        self.limit.release()
        self.enforcer.release_connection(self.engine_name)
