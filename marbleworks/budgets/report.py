"""`budgets show`: what routers have of each budget, and the books of whichever divides; by `health`.

It owns one connection at a time, and must never change anything at a router.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from marbleworks.membership.report import HealthQueryError, format_table, query_health

OWN = ("budget", "whole", "base", "part", "used", "holds for")
BOOKS = ("budget", "whole", "held", "used", "free", "unreachable", "by router")


def shown(addresses: list[str]) -> Iterator[str]:
    """Lines for each router asked, the books last; raises Unasked where none answers."""
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
        yield from format_table(OWN, view["rows"])
        yield ""
    books = [view for view in views if view["divides"] == "yes"]
    for view in books:
        yield f"the books of router {view['me']}:"
        yield from format_table(BOOKS, view["books"])
    if not books:
        yield f"none of these divides; router {views[0]['divider']} does, or nobody"
