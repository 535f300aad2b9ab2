"""The budgets that a deployment has by the operator's file: names, totals and times. No I/O, no clock.

An amount is a whole number of units: a request in flight, a connection, a request within a rate's window, or
a part of the work of a warming engine. Who holds how many units is not known here.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from marbleworks.budgets.options import BudgetOptions, ScopedBudgetOptions

# An engine ends a request within 2 s after nobody waits for it, and checks every 0.1 s.
ABANDONED_ATTEMPT_TIMEOUT_S = 2.3
MAX_BUDGET_UNITS = 1 << 24
SLOW_START_UNITS = 64  # into which the slow-start load of an engine is divided


@dataclass(frozen=True, slots=True)
class Budget:
    """One budget of the fleet.

    Attributes:
        name: unique within the fleet.
        units: the total.
        window_s: how long a unit of a rate is in use, which is also how long a burst may be saved up;
            0: a concurrency budget, whose unit is in use until its request has ended.
        settle_s: time after a lease expired by which everything beyond it has ended.
    """

    name: str
    units: int
    window_s: float
    settle_s: float

    @property
    def budget_id(self) -> int:
        """The number that stands for the budget in datagrams."""
        return zlib.crc32(self.name.encode())

    @property
    def orphan_timeout_s(self) -> float:
        """Time after the end of a process by which its units are no longer in use."""
        return self.window_s or ABANDONED_ATTEMPT_TIMEOUT_S

    def guaranteed_units(self, guaranteed_ratio: float, router_count: int) -> int:
        """Units that each router always may use: an even share of the guaranteed part."""
        return int(guaranteed_ratio * self.units) // router_count

    def even_share(self, router_index: int, router_count: int) -> int:
        """Units of a router that has no peers; the remainder goes to the lowest indices."""
        return self.units // router_count + (router_index < self.units % router_count)


@dataclass(frozen=True, slots=True)
class ScopedBudget:
    """A budget for a request class, a tenant or both, by index; None: any."""

    budget: Budget
    class_index: int | None
    tenant_index: int | None

    def covers(self, class_index: int, tenant_index: int) -> bool:
        """Whether requests of that class and tenant count against it."""
        return self.class_index in (None, class_index) and self.tenant_index in (None, tenant_index)


class BudgetCatalog:
    """All budgets by the operator's file.

    Args:
        options: the section `budgets`.
        class_index: indices of request classes by name.
        tenant_index: indices of tenants by name.
        tenant_rates_per_s: requests a second within each tenant's quota, by index; 0: no quota.
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
        self.unmatched_names: list[str] = []  # budgets whose class or tenant the deployment lacks
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
        while rate_per_s * window_s < 1.0:  # one unit must not be more than the rate gives in its window
            window_s *= 2.0
        return Budget(
            name, min(math.floor(rate_per_s * window_s + 1e-9), MAX_BUDGET_UNITS), window_s, window_s
        )

    def engine_budget(self, engine: str, cores: int) -> Budget | None:
        """Requests in flight at one engine; None where they have no budget."""
        if not self.max_in_flight_per_core:
            return None
        return self._concurrency_budget(
            f"engine {engine}", max(round(self.max_in_flight_per_core * cores), 1)
        )

    def connection_budget(self, engine: str, cores: int) -> Budget | None:
        """Connections to one engine; None where they have no budget."""
        if not self.max_connections_per_core:
            return None
        return self._concurrency_budget(
            f"lines {engine}", max(round(self.max_connections_per_core * cores), 1)
        )

    def slow_start_budget(self, engine: str, started_at: float, window_s: float) -> Budget:
        """The work that a warming engine bears within the window, in parts of it."""
        return Budget(f"cold {engine}/{started_at:.3f}", SLOW_START_UNITS, window_s, window_s)

    def static_budgets(self) -> list[Budget]:
        """All that do not come and go with engines."""
        budgets = [scoped.budget for scoped in self.scoped_budgets]
        budgets += self.tenant_budgets.values()
        if self.retry_budget is not None:
            budgets.append(self.retry_budget)
        return budgets

    @property
    def config_digest(self) -> int:
        """Of all totals that the file names; routers with one version and two digests disagree."""
        facts = sorted((budget.name, budget.units, budget.window_s) for budget in self.static_budgets())
        per_core = (self.max_in_flight_per_core, self.max_connections_per_core)
        return zlib.crc32(repr((self.config_version, *per_core, facts)).encode())
