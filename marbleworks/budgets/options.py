"""The section `budgets` of the operator's file and the typed options that it becomes.

The keys of the section are part of the file's format; no other module knows them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marbleworks.operator_config.value_types import Section, Setting, ValueType


@dataclass(frozen=True, slots=True)
class ScopedBudgetOptions:
    """A budget for a request class, a tenant or both; exactly one of the two amounts is not 0.

    Attributes:
        request_class: the class it applies to; empty: every class.
        tenant: the tenant it applies to; empty: every tenant.
        max_in_flight: requests in flight at the same time.
        rate_per_s: requests a second.
    """

    request_class: str
    tenant: str
    max_in_flight: int
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class BudgetOptions:
    """The section `budgets` with the default where the file has no value.

    Attributes:
        version: of the totals; the operator raises it at each change.
        guaranteed_ratio: the part of each total that all routers together always have.
        lease_s: how long a lease lasts without being renewed.
        settle_s: how long requests beyond an expired lease may go on before they are cancelled.
        rate_window_s: a rate's burst is what it gives in that time.
        max_in_flight_per_core: requests in flight at one engine for each of its cores; 0: no budget.
        max_connections_per_core: connections to one engine for each of its cores; 0: no budget.
        retries_per_s: of the whole fleet; 0: no budget, each router earns its own.
        divides_tenant_rates: whether tenants' rates are divided by demand.
        divides_slow_start: whether the slow-start load of a new engine is divided by demand.
        scoped_budgets: by name.
        max_bytes_per_s: of budget datagrams, sent and accepted from each peer.
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
    def from_section(cls, terms: Mapping[str, Any]) -> BudgetOptions:
        """Converts the values of the section, which the file's reader has checked."""
        scoped = {
            name: ScopedBudgetOptions(
                request_class=budget["profile"],
                tenant=budget["tenant"],
                max_in_flight=int(budget["out"]),
                rate_per_s=budget["rate"],
            )
            for name, budget in terms["budget"].items()
        }
        return cls(
            version=int(terms["version"]),
            guaranteed_ratio=terms["kept"],
            lease_s=terms["lease"],
            settle_s=float(terms["settle"]),
            rate_window_s=float(terms["window"]),
            max_in_flight_per_core=float(terms["out-per-core"]),
            max_connections_per_core=float(terms["lines-per-core"]),
            retries_per_s=terms["further"],
            divides_tenant_rates=bool(terms["tenants"]),
            divides_slow_start=bool(terms["cold"]),
            scoped_budgets=scoped,
            max_bytes_per_s=terms["pace"],
        )


def _check_scope(budget: dict[str, Any]) -> str | None:
    """Says what is wrong with a `budget` of the section; None where nothing is."""
    if bool(budget["out"]) == bool(budget["rate"]):
        return "either 'out' or 'rate'"
    if not budget["profile"] and not budget["tenant"]:
        return "'profile', 'tenant' or both"
    return None


BUDGETS_SECTION = Section(
    "budgets",
    "budgets of the whole fleet, divided among routers by need",
    (
        Setting(
            "version",
            ValueType.COUNT,
            "Of these wholes: raise it at each change.",
            1,
            0,
            1 << 30,
            reloadable=True,
        ),
        Setting(
            "kept", ValueType.SHARE, "Of each whole what every router has an even part of.", 0.25, 0.0, 1.0
        ),
        Setting(
            "lease",
            ValueType.DURATION,
            "For which a part holds without the one that divides.",
            3.0,
            0.5,
            60.0,
        ),
        Setting(
            "settle",
            ValueType.DURATION,
            "After which what is out beyond a part that ran out is called off.",
            4.0,
            0.1,
            120.0,
        ),
        Setting(
            "window",
            ValueType.DURATION,
            "Of a rate: as much as it gives so long may come at once.",
            1.0,
            0.1,
            60.0,
        ),
        Setting(
            "out-per-core",
            ValueType.NUMBER,
            "Commands out at one engine for each of its cores; 0: any.",
            0.0,
            0.0,
            1000.0,
            reloadable=True,
        ),
        Setting(
            "lines-per-core",
            ValueType.NUMBER,
            "Connections to one engine for each of its cores; 0: any.",
            0.0,
            0.0,
            1000.0,
        ),
        Setting(
            "further",
            ValueType.NUMBER,
            "Further sends a second; 0: as the rules say.",
            0.0,
            0.0,
            1e6,
            reloadable=True,
        ),
        Setting("tenants", ValueType.SWITCH, "Whether tenants' rates are divided by need.", True),
        Setting("cold", ValueType.SWITCH, "Whether what a fresh engine bears is divided by need.", False),
        Setting(
            "budget",
            ValueType.GROUP,
            "Commands out, or commands a second, of a profile or a tenant.",
            reloadable=True,
            keyed_by="budget",
            check_group=_check_scope,
            group=(
                Setting("profile", ValueType.TEXT, "", ""),
                Setting("tenant", ValueType.TEXT, "", ""),
                Setting("out", ValueType.COUNT, "", 0, 0, 1 << 20),
                Setting("rate", ValueType.NUMBER, "", 0.0, 0.0, 1e6),
            ),
        ),
        Setting(
            "pace", ValueType.RATE, "Bytes a second that this may send, and each peer.", 32000.0, 500.0, 1e7
        ),
    ),
)
