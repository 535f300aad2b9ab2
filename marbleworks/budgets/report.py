"""Output of `budgets show`: the units of each router and the granter's allocation ledger.

It reads the `health` of each router and changes nothing there.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from marbleworks.membership.report import HealthQueryError, format_table, query_health

ROUTER_COLUMNS = ("budget", "whole", "base", "part", "used", "holds for")
LEDGER_COLUMNS = ("budget", "whole", "held", "used", "free", "unreachable", "by router")


def render(addresses: list[str]) -> Iterator[str]:
    """Renders the state of each router, and then the allocation ledger.

    Args:
        addresses: Addresses of the routers to query.

    Yields:
        Lines of text.

    Raises:
        HealthQueryError: No router answered.
    """
    views: list[dict[str, Any]] = []
    for address in addresses:
        try:
            views.append(query_health(address, "budgets"))
        except HealthQueryError as err:
            yield f"{address}: {err}"
    if not views:
        raise HealthQueryError("no router answered")
    for view in views:
        yield (
            f"router {view['me']}: version {view['version']}, granter: router {view['divider']};"
            f" refused {view['refused']}, called off {view['called off']}"
        )
        yield from format_table(ROUTER_COLUMNS, view["rows"])
        yield ""
    granters = [view for view in views if view["divides"] == "yes"]
    for view in granters:
        yield f"allocation ledger of router {view['me']}:"
        yield from format_table(LEDGER_COLUMNS, view["books"])
    if not granters:
        yield f"none of these routers is the granter; it is router {views[0]['divider']}, or there is none"
