"""The section `cells` of the operator's file, and its check against the zones of the settings.

The keys of the section are part of the file's format.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from marbleworks.operator_config.value_types import Section, Setting, ValueType

MAX_SHARE_SUM_ERROR = 0.001  # largest difference of the sum of the regions' shares from 1
MIN_BOUNDS_RATIO = 2.5  # lower bound of `routers` / `least`: cells after a split have `routers` / 2.5 or more


def _check_region(region: dict[str, Any]) -> str | None:
    return None if region["zones"].split() else "'zones' with at least one zone"


CELLS_SECTION = Section(
    "cells",
    "assignment of routers and engines to cells by a numbered plan",
    (
        Setting(
            "region",
            ValueType.GROUP,
            "A region: its zones, and its share of the homes of all table groups.",
            key_kind="region",
            check_group=_check_region,
            group=(
                Setting("zones", ValueType.TEXT, "", ""),  # names separated by spaces
                Setting("share", ValueType.SHARE, "", 0.0, 0.0, 1.0),
            ),
        ),
        Setting(
            "routers",
            ValueType.COUNT,
            "Most routers of a cell; guaranteed quotas are divided by it.",
            None,
            3,
            4096,
        ),
        Setting("engines", ValueType.COUNT, "Most engines of a cell.", None, 1, 4096),
        Setting(
            "least",
            ValueType.COUNT,
            "Fewest routers of a cell; with fewer it is merged into others.",
            5,
            1,
            4096,
        ),
        Setting(
            "step",
            ValueType.SHARE,
            "Largest part of a region's routers, and of its engines, that one plan moves.",
            0.05,
            0.001,
            1.0,
        ),
        Setting(
            "rest",
            ValueType.COUNT,
            "Fewest plans between a merge and a split of one region's cells.",
            20,
            1,
            100_000,
        ),
        Setting(
            "jump",
            ValueType.COUNT,
            "Most by which a new plan's number may exceed that of the present plan.",
            1000,
            1,
            1 << 30,
            reloadable=True,
        ),
        Setting(
            "lease",
            ValueType.DURATION,
            "Time for which a cell keeps its homes without an answer from its region.",
            10.0,
            1.0,
            600.0,
        ),
        Setting(
            "settle",
            ValueType.DURATION,
            "Time after its start by which a load has ended in any case, at its engine too.",
            60.0,
            3.0,
            3600.0,
        ),
        Setting("key", ValueType.TEXT, "File with the key of the MAC of plans.", None),
        Setting("other-key", ValueType.TEXT, "File with the second key while keys are being changed.", ""),
    ),
)


def check_cells_section(values: dict[str, Any], zones: Collection[str]) -> str | None:
    """Checks that the section agrees with itself and with the settings.

    Args:
        values: Values of the section, by key.
        zones: Names of all zones in the settings.

    Returns:
        The fault in one line, or None if the section is valid.
    """
    region_by_zone: dict[str, str] = {}
    if not values["region"]:
        return "cells: no region is configured; at least one is required"
    for name, region in values["region"].items():
        for zone in region["zones"].split():
            if zone in region_by_zone:
                return f"cells: zone '{zone}' is in region '{region_by_zone[zone]}' and in '{name}'"
            if zone not in zones:
                return f"cells: zone '{zone}' of region '{name}' is not in the settings"
            region_by_zone[zone] = name
    if missing := sorted(set(zones) - set(region_by_zone)):
        return f"cells: zone '{missing[0]}' of the settings is in no region"
    share_sum = sum(region["share"] for region in values["region"].values())
    if share_sum and abs(share_sum - 1.0) > MAX_SHARE_SUM_ERROR:
        return f"cells: the regions' shares add up to {100 * share_sum:g} %, not 100 %"
    if MIN_BOUNDS_RATIO * values["least"] > values["routers"]:
        # A cell that has just been split would be merged at once, and split again.
        max_least = int(values["routers"] / MIN_BOUNDS_RATIO)
        return f"cells: 'least' may be at most {max_least} where 'routers' is {values['routers']}"
    return None
