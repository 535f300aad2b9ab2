"""Which budgets a deployment has by the operator's file, and what each counts. No I/O, no clock.

It owns their names, wholes and times, and must never know who holds what. An amount is a whole number of
units: a command out, a command of a window, a millisecond of work.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

ABANDONED_ATTEMPT_TIMEOUT_S = (
    2.3  # seconds after which an engine has surely ended what nobody asks for (2 s, and looks 0.1 s apart)
)
MAX_BUDGET_UNITS = 1 << 24  # units of a whole
SLOW_START_UNITS = 64  # into which what a fresh engine bears is divided


@dataclass(frozen=True, slots=True)
class Budget:
    """One budget. span: seconds for which a unit of a rate is in use, which is also how long a burst may be
    saved up; 0: a unit is in use until its command has ended. settle: seconds after a part ran out at its
    holder by which all that was out beyond it has ended for sure."""

    name: str
    units: int
    window_s: float
    settle_s: float

    @property
    def budget_id(self) -> int:
        """By which routers call it."""
        return zlib.crc32(self.name.encode())

    @property
    def orphan_timeout_s(self) -> float:
        """Seconds after the end of a process in which what it had in use is over."""
        return self.window_s or ABANDONED_ATTEMPT_TIMEOUT_S

    def guaranteed_units(self, kept: float, count: int) -> int:
        """Units that each of the routers always may use: its even share of the part that is kept."""
        return int(kept * self.units) // count

    def even_share(self, me: int, count: int) -> int:
        """The part of a router that knows no other: an even one, the rest of the division to the lowest."""
        return self.units // count + (me < self.units % count)


@dataclass(frozen=True, slots=True)
class ScopedBudget:
    """A budget that the operator names: for a profile or a tenant, by index; -1: any."""

    budget: Budget
    class_index: int
    tenant_index: int

    def covers(self, profile: int, tenant: int) -> bool:
        return self.class_index in (-1, profile) and self.tenant_index in (-1, tenant)


class BudgetCatalog:
    """terms: the section budgets. profiles, tenants: names to indices; rates: commands a second within each
    tenant's share, by index."""

    def __init__(
        self,
        terms: dict[str, Any],
        profiles: dict[str, int],
        tenants: dict[str, int],
        rates: Iterable[float] = (),
    ) -> None:
        self.config_version, self.max_in_flight_per_core = int(terms["version"]), float(terms["out-per-core"])
        self.max_connections_per_core, self.divides_slow_start = (
            float(terms["lines-per-core"]),
            bool(terms["cold"]),
        )
        self.rate_window_s, self.settle_s = float(terms["window"]), float(terms["settle"])
        self.retry_budget = self._rate_budget("further sends", terms["further"]) if terms["further"] else None
        self.scoped_budgets: list[ScopedBudget] = []
        self.unmatched_names: list[str] = []  # names of budgets whose profile or tenant the deployment lacks
        for name, told in terms["budget"].items():
            profile = profiles.get(told["profile"], -1)
            tenant = tenants.get(told["tenant"], -1)
            if (told["profile"] and profile < 0) or (told["tenant"] and tenant < 0):
                self.unmatched_names.append(name)
                continue
            level = Budget(
                f"named {name}", int(told["out"]), 0.0, self.settle_s + ABANDONED_ATTEMPT_TIMEOUT_S
            )
            whole = level if told["out"] else self._rate_budget(f"named {name}", told["rate"])
            self.scoped_budgets.append(ScopedBudget(whole, profile, tenant))
        self.tenant_budgets: dict[int, Budget] = {}
        if terms["tenants"]:
            named = {index: name for name, index in tenants.items()}
            for index, rate in enumerate(rates):
                if rate > 0:
                    self.tenant_budgets[index] = self._rate_budget(f"tenant {named[index]}", rate)

    def _rate_budget(self, name: str, rate: float) -> Budget:
        span = self.rate_window_s
        while rate * span < 1.0:  # so that one unit is at most what the rate gives in its span
            span *= 2.0
        return Budget(name, min(math.floor(rate * span + 1e-9), MAX_BUDGET_UNITS), span, span)

    def engine_budget(self, name: str, cores: int) -> Budget | None:
        """Commands out at one engine."""
        if not self.max_in_flight_per_core:
            return None
        return Budget(
            f"engine {name}",
            max(round(self.max_in_flight_per_core * cores), 1),
            0.0,
            self.settle_s + ABANDONED_ATTEMPT_TIMEOUT_S,
        )

    def connection_budget(self, name: str, cores: int) -> Budget | None:
        """Connections to one engine."""
        if not self.max_connections_per_core:
            return None
        return Budget(
            f"lines {name}",
            max(round(self.max_connections_per_core * cores), 1),
            0.0,
            self.settle_s + ABANDONED_ATTEMPT_TIMEOUT_S,
        )

    def slow_start_budget(self, name: str, started: float, span: float) -> Budget:
        """What a fresh engine bears in the time that the rules name, in parts of it."""
        return Budget(f"cold {name}/{started:.3f}", SLOW_START_UNITS, span, span)

    def static_budgets(self) -> list[Budget]:
        """All that do not come and go with engines."""
        out = [named.budget for named in self.scoped_budgets] + list(self.tenant_budgets.values())
        return out + ([self.retry_budget] if self.retry_budget is not None else [])

    @property
    def config_digest(self) -> int:
        """Of what a file says of wholes: two routers with one version and two digests disagree."""
        facts = [(w.name, w.units, w.window_s) for w in self.static_budgets()]
        return zlib.crc32(
            repr(
                (
                    self.config_version,
                    self.max_in_flight_per_core,
                    self.max_connections_per_core,
                    sorted(facts),
                )
            ).encode()
        )
