"""Status of a router at one time: quorum, leadership and its share of the quota."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class QuorumStatus(Enum):
    """Kind of the network partition that a router is in, according to its view."""

    COMPLETE = "complete"
    MAJORITY = "majority"
    MINORITY = "minority"
    ISOLATED = "isolated"

    @classmethod
    def from_alive_count(cls, alive: int, router_count: int) -> QuorumStatus:
        """Returns the status for a number of live routers.

        Args:
            alive: number of live routers, including this one.
            router_count: number of configured routers.
        """
        if alive >= router_count:
            return cls.COMPLETE
        if 2 * alive > router_count:
            return cls.MAJORITY
        return cls.MINORITY if alive > 1 else cls.ISOLATED


class QuotaRole(Enum):
    """Role of a router in the division of the quota."""

    LEADER = "leader"  # divides the quota
    HOLDER = "holder"  # holds a leased share besides its reserved one
    RESERVED_ONLY = "reserved only"


@dataclass(frozen=True)
class PartitionStatus:
    """Status of a router at one time.

    Attributes:
        quorum: kind of the partition that the router is in.
        confirmed_share: fraction of the live routers that answered a probe within the last vote duration.
        is_leader: whether this router leads the group; at most one router does.
        quota_share: share of the quota that this router may use, from 0 to 1.
        divisor: number of routers in the division in force; number of configured routers if there is none.
        index: index of this router among them; -1 if it may only use its reserved share.
        valid_until: time at which the leased share expires unless it is renewed, in seconds; infinite if
            index is -1.
    """

    quorum: QuorumStatus
    confirmed_share: float
    is_leader: bool
    quota_share: float
    divisor: int
    index: int
    valid_until: float

    @property
    def role(self) -> QuotaRole:
        """Role that follows from the leadership and the held share."""
        if self.is_leader:
            return QuotaRole.LEADER
        return QuotaRole.HOLDER if self.index >= 0 else QuotaRole.RESERVED_ONLY
