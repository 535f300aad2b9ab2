"""What a router may do at a moment: quorum, leadership and its part of the quota."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class QuorumStatus(Enum):
    """Which partition of the group a router is in, by its view."""

    COMPLETE = "complete"
    MAJORITY = "majority"
    MINORITY = "minority"
    ISOLATED = "isolated"

    @classmethod
    def of(cls, alive: int, router_count: int) -> QuorumStatus:
        """The status where so many of the configured routers are alive, ourselves among them."""
        if alive >= router_count:
            return cls.COMPLETE
        if 2 * alive > router_count:
            return cls.MAJORITY
        return cls.MINORITY if alive > 1 else cls.ISOLATED


class QuotaRole(Enum):
    """How a router takes part in the division of the quota."""

    LEADER = "leader"  # it divides
    HOLDER = "holder"  # it holds a part besides its reserved share
    RESERVED_ONLY = "reserved only"


@dataclass(frozen=True)
class PartitionStatus:
    """What holds at a moment.

    Attributes:
        quorum: the partition that the router is in.
        confirmed_share: part of its routers that have answered a probe within the last vote duration.
        is_leader: whether this router leads the group; at most one does.
        quota_share: part of the quota that this router may use.
        divisor: number of routers that the division in force counts; of configured ones where there is none.
        index: this router's index among them; -1 where it may only use its reserved share.
        valid_until: when that ends unless it is renewed; infinite where index is -1.
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
        """The role by leadership and by the part held."""
        if self.is_leader:
            return QuotaRole.LEADER
        return QuotaRole.HOLDER if self.index >= 0 else QuotaRole.RESERVED_ONLY
