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

DOUBT = (
    2.3  # seconds after which an engine has surely ended what nobody asks for (2 s, and looks 0.1 s apart)
)
HIGHEST = 1 << 24  # units of a whole
COLD_UNITS = 64  # into which what a fresh engine bears is divided


@dataclass(frozen=True, slots=True)
class Budget:
    """One budget. span: seconds for which a unit of a rate is in use, which is also how long a burst may be
    saved up; 0: a unit is in use until its command has ended. settle: seconds after a part ran out at its
    holder by which all that was out beyond it has ended for sure."""

    name: str
    units: int
    span: float
    settle: float

    @property
    def number(self) -> int:
        """By which routers call it."""
        return zlib.crc32(self.name.encode())

    @property
    def quiet(self) -> float:
        """Seconds after the end of a process in which what it had in use is over."""
        return self.span or DOUBT

    def base(self, kept: float, count: int) -> int:
        """Units that each of the routers always may use: its even share of the part that is kept."""
        return int(kept * self.units) // count

    def even(self, me: int, count: int) -> int:
        """The part of a router that knows no other: an even one, the rest of the division to the lowest."""
        return self.units // count + (me < self.units % count)


@dataclass(frozen=True, slots=True)
class Named:
    """A budget that the operator names: for a profile or a tenant, by index; -1: any."""

    whole: Budget
    profile: int
    tenant: int

    def covers(self, profile: int, tenant: int) -> bool:
        return self.profile in (-1, profile) and self.tenant in (-1, tenant)


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
        self.version, self.per_core = int(terms["version"]), float(terms["out-per-core"])
        self.lines_per_core, self.divides_cold = float(terms["lines-per-core"]), bool(terms["cold"])
        self.window, self.settle = float(terms["window"]), float(terms["settle"])
        self.further = self._rate("further sends", terms["further"]) if terms["further"] else None
        self.named: list[Named] = []
        self.unknown: list[str] = []  # names of budgets whose profile or tenant the deployment lacks
        for name, told in terms["budget"].items():
            profile = profiles.get(told["profile"], -1)
            tenant = tenants.get(told["tenant"], -1)
            if (told["profile"] and profile < 0) or (told["tenant"] and tenant < 0):
                self.unknown.append(name)
                continue
            level = Budget(f"named {name}", int(told["out"]), 0.0, self.settle + DOUBT)
            whole = level if told["out"] else self._rate(f"named {name}", told["rate"])
            self.named.append(Named(whole, profile, tenant))
        self.tenants: dict[int, Budget] = {}
        if terms["tenants"]:
            named = {index: name for name, index in tenants.items()}
            for index, rate in enumerate(rates):
                if rate > 0:
                    self.tenants[index] = self._rate(f"tenant {named[index]}", rate)

    def _rate(self, name: str, rate: float) -> Budget:
        span = self.window
        while rate * span < 1.0:  # so that one unit is at most what the rate gives in its span
            span *= 2.0
        return Budget(name, min(math.floor(rate * span + 1e-9), HIGHEST), span, span)

    def engine(self, name: str, cores: int) -> Budget | None:
        """Commands out at one engine."""
        if not self.per_core:
            return None
        return Budget(f"engine {name}", max(round(self.per_core * cores), 1), 0.0, self.settle + DOUBT)

    def line(self, name: str, cores: int) -> Budget | None:
        """Connections to one engine."""
        if not self.lines_per_core:
            return None
        return Budget(f"lines {name}", max(round(self.lines_per_core * cores), 1), 0.0, self.settle + DOUBT)

    def cold(self, name: str, started: float, span: float) -> Budget:
        """What a fresh engine bears in the time that the rules name, in parts of it."""
        return Budget(f"cold {name}/{started:.3f}", COLD_UNITS, span, span)

    def fixed(self) -> list[Budget]:
        """All that do not come and go with engines."""
        out = [named.whole for named in self.named] + list(self.tenants.values())
        return out + ([self.further] if self.further is not None else [])

    @property
    def digest(self) -> int:
        """Of what a file says of wholes: two routers with one version and two digests disagree."""
        facts = [(w.name, w.units, w.span) for w in self.fixed()]
        return zlib.crc32(repr((self.version, self.per_core, self.lines_per_core, sorted(facts))).encode())
