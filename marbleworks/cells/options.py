"""What the operator may say of cells, and whether it goes together with the settings."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from marbleworks.operator_config.value_types import Section, Setting, ValueType

EXACT = 0.001  # by which the regions' shares may miss the whole
SPLITS = 2.5  # a cell that splits leaves two of at least 1 / SPLITS of the most that it may have


def _fit(region: dict[str, Any]) -> str | None:
    return None if region["zones"].split() else "'zones' with at least one zone"


CELLS = Section(
    "cells",
    "cells: small groups of routers and engines, by a numbered plan",
    (
        Setting(
            "region",
            ValueType.GROUP,
            "Its zones, and its share of all homes of table groups.",
            keyed_by="region",
            check_group=_fit,
            group=(
                Setting("zones", ValueType.TEXT, "", ""),  # split at spaces
                Setting("share", ValueType.SHARE, "", 0.0, 0.0, 1.0),
            ),
        ),
        Setting(
            "routers", ValueType.COUNT, "Routers that a cell bears; bases are divided by it.", None, 3, 4096
        ),
        Setting("engines", ValueType.COUNT, "Engines that a cell bears.", None, 1, 4096),
        Setting("least", ValueType.COUNT, "Routers of a cell below which it is merged.", 5, 1, 4096),
        Setting("step", ValueType.SHARE, "Of a region's members, moved by one plan.", 0.05, 0.001, 1.0),
        Setting("rest", ValueType.COUNT, "Plans between a merge and a split of one region.", 20, 1, 100_000),
        Setting(
            "jump",
            ValueType.COUNT,
            "By which a plan's number may be ahead of ours.",
            1000,
            1,
            1 << 30,
            reloadable=True,
        ),
        Setting("lease", ValueType.DURATION, "For which a cell keeps its homes unheard.", 10.0, 1.0, 600.0),
        Setting(
            "settle",
            ValueType.DURATION,
            "After which a load that was begun is surely over.",
            60.0,
            3.0,
            3600.0,
        ),
        Setting("key", ValueType.TEXT, "File with the key of the plans' MAC.", None),
        Setting("other-key", ValueType.TEXT, "File with the second key while keys are being changed.", ""),
    ),
)


def unfit(terms: dict[str, Any], zones: Collection[str]) -> str | None:
    """Why the section's levels don't add up: one plain line. zones: of the settings."""
    seen: dict[str, str] = {}
    if not terms["region"]:
        return "cells: no region"
    for name, region in terms["region"].items():
        for zone in region["zones"].split():
            if zone in seen:
                return f"cells: zone '{zone}' is in region '{seen[zone]}' and in '{name}'"
            if zone not in zones:
                return f"cells: zone '{zone}' of region '{name}' is not in the settings"
            seen[zone] = name
    if missing := sorted(set(zones) - set(seen)):
        return f"cells: zone '{missing[0]}' of the settings is in no region"
    shares = sum(region["share"] for region in terms["region"].values())
    if shares and abs(shares - 1.0) > EXACT:
        return f"cells: the regions' shares add up to {100 * shares:g} %, not 100 %"
    if SPLITS * terms["least"] > terms["routers"]:
        # A cell that has just been split would be merged at once, and split again.
        most = int(terms["routers"] / SPLITS)
        return f"cells: 'least' may be at most {most} where 'routers' is {terms['routers']}"
    return None
