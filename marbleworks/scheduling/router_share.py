"""This router's share of what all routers may use together, and its role in slow start."""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marbleworks.model import EngineEntry, FleetInfo


class RouterShare:
    """The share, taken from the fleet's description until the membership assigns another.

    Attributes:
        divisor: the number that the fleet's capacity is divided by for this router's share.
        sender_count: number of routers that may send to an engine that is warming up.
        is_sender: whether this router may send to an engine that is warming up.
        sender_index: this router's index among the senders; None if it is not known.
        valid_until: time (s) until which the share holds.
        guaranteed_share: the share after that time.
    """

    def __init__(self, fleet: FleetInfo) -> None:
        self.divisor: float = max(fleet.router_count, 1)
        self.sender_count = max(fleet.router_count, 1)
        self.is_sender = fleet.router_count > 0  # a router that does not know their number is no sender
        is_known = self.is_sender and fleet.router_index >= 0
        self.sender_index = fleet.router_index if is_known else None
        self.valid_until = math.inf
        self.guaranteed_share = 1.0

    def assign(self, share: float, sender_count: int, sender_index: int | None) -> bool:
        """Sets the share and the role in slow start.

        Args:
            share: this router's share, above 0 and at most 1.
            sender_count: number of routers that may send to an engine that is warming up.
            sender_index: this router's index among them; None if it is not one of them.

        Returns:
            Whether anything changed.
        """
        is_sender = sender_index is not None
        previous = self.divisor, self.sender_count, self.is_sender, self.sender_index
        if (1.0 / share, sender_count, is_sender, sender_index) == previous:
            return False
        self.divisor = 1.0 / share
        self.sender_count = sender_count
        self.is_sender = is_sender
        self.sender_index = sender_index
        return True

    def slow_start_rank(self, entry: EngineEntry) -> int:
        """Returns this router's rank among an engine's slow-start senders.

        The rank depends only on the engine's name and start time, so all routers agree on the order without a
        message.
        """
        offset = zlib.crc32(f"{entry.name}/{entry.started_at:.3f}".encode())
        return ((self.sender_index or 0) - offset) % self.sender_count
