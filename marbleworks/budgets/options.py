"""What the operator may say of budgets."""

from __future__ import annotations

from typing import Any

from marbleworks.operator_config.value_types import Section, Setting, ValueType


def _check_scope(budget: dict[str, Any]) -> str | None:
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
