"""The section `budgets` of the operator's file, and the typed options that it is converted to.

The keys of the section are part of the file format; no other module uses them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marbleworks.operator_config.value_types import Section, Setting, ValueType


@dataclass(frozen=True, slots=True)
class ScopedBudgetOptions:
    """A budget for a request class, a tenant or both; exactly one of the two limits is not 0.

    Attributes:
        request_class: Request class that the budget applies to; empty for every class.
        tenant: Tenant that the budget applies to; empty for every tenant.
        max_in_flight: Maximum number of requests in flight at the same time.
        rate_per_s: Maximum number of requests a second.
    """

    request_class: str
    tenant: str
    max_in_flight: int
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class BudgetOptions:
    """Options from the section `budgets`, with defaults for values that the file does not have.

    Attributes:
        version: Version of the totals; the operator raises it at each change.
        guaranteed_ratio: Part of each total that is guaranteed; each router has an even share of it.
        lease_s: Duration of a lease that is not renewed, in seconds.
        settle_s: Time after the end of a lease, in seconds, after which requests beyond the guaranteed units
            are cancelled.
        rate_window_s: Window of rate budgets, in seconds; a burst is limited to what the rate gives in it.
        max_in_flight_per_core: Requests in flight at one engine per core; 0 for no budget.
        max_connections_per_core: Connections to one engine per core; 0 for no budget.
        retries_per_s: Retries and hedged attempts a second of the whole fleet; 0 for no budget, so that each
            router earns its own.
        divides_tenant_rates: Whether the rates of tenants are divided among routers by demand.
        divides_slow_start: Whether the slow-start load of a new engine is divided among routers by demand.
        scoped_budgets: Budgets of request classes and tenants, keyed by name.
        max_bytes_per_s: Rate limit of budget datagrams that this router sends, and of those from each peer.
    """

    version: int
    guaranteed_ratio: float
    lease_s: float
    settle_s: float
    rate_window_s: float
    max_in_flight_per_core: float
    max_connections_per_core: float
    retries_per_s: float
    divides_tenant_rates: bool
    divides_slow_start: bool
    scoped_budgets: Mapping[str, ScopedBudgetOptions]
    max_bytes_per_s: float

    @classmethod
    def from_section(cls, values: Mapping[str, Any]) -> BudgetOptions:
        """Converts the values of the section.

        Args:
            values: Values keyed by setting name, already validated by the parser of the file.
        """
        scoped = {
            name: ScopedBudgetOptions(
                request_class=budget["profile"],
                tenant=budget["tenant"],
                max_in_flight=int(budget["out"]),
                rate_per_s=budget["rate"],
            )
            for name, budget in values["budget"].items()
        }
        return cls(
            version=int(values["version"]),
            guaranteed_ratio=values["kept"],
            lease_s=values["lease"],
            settle_s=float(values["settle"]),
            rate_window_s=float(values["window"]),
            max_in_flight_per_core=float(values["out-per-core"]),
            max_connections_per_core=float(values["lines-per-core"]),
            retries_per_s=values["further"],
            divides_tenant_rates=bool(values["tenants"]),
            divides_slow_start=bool(values["cold"]),
            scoped_budgets=scoped,
            max_bytes_per_s=values["pace"],
        )


def _check_scope(budget: dict[str, Any]) -> str | None:
    """Returns what a `budget` of the section was expected to have; None if it is valid."""
    if bool(budget["out"]) == bool(budget["rate"]):
        return "either 'out' or 'rate'"
    if not budget["profile"] and not budget["tenant"]:
        return "'profile', 'tenant' or both"
    return None


BUDGETS_SECTION = Section(
    "budgets",
    "fleet-wide budgets, divided among routers by demand",
    (
        Setting(
            "version",
            ValueType.COUNT,
            "Version of the totals; raise it at each change.",
            1,
            0,
            1 << 30,
            reloadable=True,
        ),
        Setting(
            "kept",
            ValueType.SHARE,
            "Guaranteed part of each total, divided evenly among all routers.",
            0.25,
            0.0,
            1.0,
        ),
        Setting(
            "lease",
            ValueType.DURATION,
            "How long a router keeps leased units without a renewal by the granter.",
            3.0,
            0.5,
            60.0,
        ),
        Setting(
            "settle",
            ValueType.DURATION,
            "Time after an expired lease until requests beyond the guaranteed units are cancelled.",
            4.0,
            0.1,
            120.0,
        ),
        Setting(
            "window",
            ValueType.DURATION,
            "Window of a rate; a burst is limited to what the rate gives in it.",
            1.0,
            0.1,
            60.0,
        ),
        Setting(
            "out-per-core",
            ValueType.NUMBER,
            "Maximum requests in flight at one engine, for each of its cores; 0: no limit.",
            0.0,
            0.0,
            1000.0,
            reloadable=True,
        ),
        Setting(
            "lines-per-core",
            ValueType.NUMBER,
            "Maximum connections to one engine, for each of its cores; 0: no limit.",
            0.0,
            0.0,
            1000.0,
        ),
        Setting(
            "further",
            ValueType.NUMBER,
            "Retries and hedged attempts a second, whole fleet; 0: each router has a retry budget.",
            0.0,
            0.0,
            1e6,
            reloadable=True,
        ),
        Setting("tenants", ValueType.BOOLEAN, "Whether the rates of tenants are divided by demand.", True),
        Setting(
            "cold",
            ValueType.BOOLEAN,
            "Whether the slow-start load of a new engine is divided by demand.",
            False,
        ),
        Setting(
            "budget",
            ValueType.GROUP,
            "Maximum requests in flight, or requests a second, of a profile, a tenant or both.",
            reloadable=True,
            key_kind="budget",
            check_group=_check_scope,
            group=(
                Setting("profile", ValueType.TEXT, "", ""),
                Setting("tenant", ValueType.TEXT, "", ""),
                Setting("out", ValueType.COUNT, "", 0, 0, 1 << 20),
                Setting("rate", ValueType.NUMBER, "", 0.0, 0.0, 1e6),
            ),
        ),
        Setting(
            "pace",
            ValueType.RATE,
            "Rate limit of budget datagrams that this router sends, and of those from each peer.",
            32000.0,
            500.0,
            1e7,
        ),
    ),
)
