"""Prints `budgets show`: what routers have of each budget and what the granter has allocated.

It asks each router's `health` and changes nothing there.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from marbleworks.membership.report import HealthQueryError, format_table, query_health

ROUTER_COLUMNS = ("budget", "whole", "base", "part", "used", "holds for")
LEDGER_COLUMNS = ("budget", "whole", "held", "used", "free", "unreachable", "by router")


def render(addresses: list[str]) -> Iterator[str]:
    """Lines for each router, those of the ledger last.

    Raises:
        HealthQueryError: no router answers.
    """
    views: list[dict[str, Any]] = []
    for address in addresses:
        try:
            views.append(query_health(address, "budgets"))
        except HealthQueryError as err:
            yield f"{address}: {err}"
    if not views:
        raise HealthQueryError("no router answers")
    for view in views:
        yield (
            f"router {view['me']}: version {view['version']}, asks router {view['divider']};"
            f" refused {view['refused']}, called off {view['called off']}"
        )
        yield from format_table(ROUTER_COLUMNS, view["rows"])
        yield ""
    granters = [view for view in views if view["divides"] == "yes"]
    for view in granters:
        yield f"the books of router {view['me']}:"
        yield from format_table(LEDGER_COLUMNS, view["books"])
    if not granters:
        yield f"none of these divides; router {views[0]['divider']} does, or nobody"
