"""Catalog of the budgets that the operator's file defines: names, totals and times.

Amounts are whole numbers of units. A unit is a request in flight, a connection, a request within the window
of a rate, or a part of the work of an engine that is warming up. The catalog does not know who holds how many
units. The module does no I/O and reads no clock.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from marbleworks.budgets.options import BudgetOptions, ScopedBudgetOptions

# An engine ends a request within 2 s after nobody waits for its result, and checks every 0.1 s.
ABANDONED_ATTEMPT_TIMEOUT_S = 2.3
MAX_BUDGET_UNITS = 1 << 24
SLOW_START_UNITS = 64  # units of the slow-start budget of one engine


@dataclass(frozen=True, slots=True)
class Budget:
    """One budget of the fleet.

    Attributes:
        name: Name of the budget, unique within the fleet.
        units: Total of the budget.
        window_s: Time for which a unit of a rate budget is in use, which also limits the size of a burst;
            0 for a concurrency budget, whose units are in use until their requests have ended.
        settle_s: Time after the end of a lease by which all use beyond the guaranteed units has ended.
    """

    name: str
    units: int
    window_s: float
    settle_s: float

    @property
    def budget_id(self) -> int:
        """Number that identifies the budget in datagrams."""
        return zlib.crc32(self.name.encode())

    @property
    def orphan_timeout_s(self) -> float:
        """Time after the end of a process by which its units are no longer in use."""
        return self.window_s or ABANDONED_ATTEMPT_TIMEOUT_S

    def guaranteed_units(self, guaranteed_ratio: float, router_count: int) -> int:
        """Units that each router may always use: an even share of the guaranteed part of the total."""
        return int(guaranteed_ratio * self.units) // router_count

    def even_share(self, router_index: int, router_count: int) -> int:
        """Units of a router without peers; the remainder goes to the routers with the lowest indices."""
        return self.units // router_count + (router_index < self.units % router_count)


@dataclass(frozen=True, slots=True)
class ScopedBudget:
    """A budget for a request class, a tenant or both.

    Attributes:
        budget: The budget.
        class_index: Index of the request class; None for every class.
        tenant_index: Index of the tenant; None for every tenant.
    """

    budget: Budget
    class_index: int | None
    tenant_index: int | None

    def covers(self, class_index: int, tenant_index: int) -> bool:
        """Whether requests of that class and tenant count against the budget."""
        return self.class_index in (None, class_index) and self.tenant_index in (None, tenant_index)


class BudgetCatalog:
    """All budgets that the operator's file defines.

    Args:
        options: Options from the section `budgets`.
        class_index: Indices of request classes, keyed by name.
        tenant_index: Indices of tenants, keyed by name.
        tenant_rates_per_s: Quotas of tenants in requests a second, by tenant index; 0 for no quota.
    """

    def __init__(
        self,
        options: BudgetOptions,
        class_index: Mapping[str, int],
        tenant_index: Mapping[str, int],
        tenant_rates_per_s: Iterable[float] = (),
    ) -> None:
        self.config_version = options.version
        self.max_in_flight_per_core = options.max_in_flight_per_core
        self.max_connections_per_core = options.max_connections_per_core
        self.divides_slow_start = options.divides_slow_start
        self.rate_window_s = options.rate_window_s
        self.settle_s = options.settle_s
        self.retry_budget: Budget | None = None
        if options.retries_per_s:
            self.retry_budget = self._rate_budget("further sends", options.retries_per_s)
        self.scoped_budgets: list[ScopedBudget] = []
        self.unmatched_names: list[str] = []  # budgets whose request class or tenant is not in the settings
        for name, scoped in options.scoped_budgets.items():
            self._add_scoped(name, scoped, class_index, tenant_index)
        self.tenant_budgets: dict[int, Budget] = {}
        if options.divides_tenant_rates:
            tenant_names = {index: name for name, index in tenant_index.items()}
            for index, rate_per_s in enumerate(tenant_rates_per_s):
                if rate_per_s > 0:
                    name = f"tenant {tenant_names[index]}"
                    self.tenant_budgets[index] = self._rate_budget(name, rate_per_s)

    def _add_scoped(
        self,
        name: str,
        options: ScopedBudgetOptions,
        class_index: Mapping[str, int],
        tenant_index: Mapping[str, int],
    ) -> None:
        class_ = class_index.get(options.request_class)
        tenant = tenant_index.get(options.tenant)
        if (options.request_class and class_ is None) or (options.tenant and tenant is None):
            self.unmatched_names.append(name)
            return
        if options.max_in_flight:
            budget = self._concurrency_budget(f"named {name}", options.max_in_flight)
        else:
            budget = self._rate_budget(f"named {name}", options.rate_per_s)
        self.scoped_budgets.append(ScopedBudget(budget, class_, tenant))

    def _concurrency_budget(self, name: str, units: int) -> Budget:
        return Budget(name, units, 0.0, self.settle_s + ABANDONED_ATTEMPT_TIMEOUT_S)

    def _rate_budget(self, name: str, rate_per_s: float) -> Budget:
        window_s = self.rate_window_s
        while rate_per_s * window_s < 1.0:  # one unit per window must not exceed the rate
            window_s *= 2.0
        return Budget(
            name, min(math.floor(rate_per_s * window_s + 1e-9), MAX_BUDGET_UNITS), window_s, window_s
        )

    def engine_budget(self, engine: str, cores: int) -> Budget | None:
        """Budget of requests in flight at one engine; None if they are not limited."""
        if not self.max_in_flight_per_core:
            return None
        return self._concurrency_budget(
            f"engine {engine}", max(round(self.max_in_flight_per_core * cores), 1)
        )

    def connection_budget(self, engine: str, cores: int) -> Budget | None:
        """Budget of connections to one engine; None if they are not limited."""
        if not self.max_connections_per_core:
            return None
        return self._concurrency_budget(
            f"lines {engine}", max(round(self.max_connections_per_core * cores), 1)
        )

    def slow_start_budget(self, engine: str, started_at: float, window_s: float) -> Budget:
        """Budget of the work that an engine in slow start may receive within the window."""
        return Budget(f"cold {engine}/{started_at:.3f}", SLOW_START_UNITS, window_s, window_s)

    def static_budgets(self) -> list[Budget]:
        """Budgets that do not belong to an engine and so exist all the time."""
        budgets = [scoped.budget for scoped in self.scoped_budgets]
        budgets += self.tenant_budgets.values()
        if self.retry_budget is not None:
            budgets.append(self.retry_budget)
        return budgets

    @property
    def config_digest(self) -> int:
        """Checksum of all totals in the file.

        Routers with the same version and different digests have different files.
        """
        facts = sorted((budget.name, budget.units, budget.window_s) for budget in self.static_budgets())
        per_core = (self.max_in_flight_per_core, self.max_connections_per_core)
        return zlib.crc32(repr((self.config_version, *per_core, facts)).encode())
