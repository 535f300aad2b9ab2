"""This router's share of what all routers have together, and its role in slow start."""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marbleworks.model import EngineEntry, FleetInfo


class RouterShare:
    """The share, from the fleet's description until the membership says otherwise."""

    def __init__(self, fleet: FleetInfo) -> None:
        self.divisor: float = max(fleet.router_count, 1)  # what the fleet's capacity is divided by
        self.sender_count = max(fleet.router_count, 1)  # routers that may send to a warming engine
        self.is_sender = fleet.router_count > 0  # a router that doesn't know how many there are sends none
        is_known = self.is_sender and fleet.router_index >= 0
        self.sender_index = fleet.router_index if is_known else None  # None: not known
        self.valid_until = math.inf
        self.guaranteed = 1.0  # the share from valid_until on

    def assign(self, share: float, sender_count: int, sender_index: int | None) -> bool:
        """Sets the share and the role in slow start; None: no role. Returns whether anything changed."""
        is_sender = sender_index is not None
        before = self.divisor, self.sender_count, self.is_sender, self.sender_index
        if (1.0 / share, sender_count, is_sender, sender_index) == before:
            return False
        self.divisor = 1.0 / share
        self.sender_count = sender_count
        self.is_sender = is_sender
        self.sender_index = sender_index
        return True

    def slow_start_rank(self, entry: EngineEntry) -> int:
        """Returns our rank among an engine's slow-start senders.

        All routers agree on the order by the engine's start alone, without a message.
        """
        drawn = zlib.crc32(f"{entry.name}/{entry.started_at:.3f}".encode())
        return ((self.sender_index or 0) - drawn) % self.sender_count
