"""The operator's settings of group membership: section `peers` of the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marbleworks.operator_config.value_types import Section, Setting, ValueType

MEMBERSHIP_SECTION = Section(
    "peers",
    "routers that know who of them is there, and divide among those",
    (
        Setting("group", ValueType.TEXT, "Routers of another group are not heard.", "routers"),
        Setting("period", ValueType.DURATION, "Between probes of one peer.", 0.2, 0.05, 10.0),
        Setting(
            "suspicion", ValueType.DURATION, "Within which a suspected peer must refute.", 1.0, 0.2, 60.0
        ),
        Setting(
            "term", ValueType.DURATION, "For which a vote for the router that divides binds.", 2.4, 0.5, 120.0
        ),
        Setting("lease", ValueType.DURATION, "For which a part that was given may be used.", 1.6, 0.5, 120.0),
        Setting(
            "kept",
            ValueType.SHARE,
            "Of each whole what is never divided anew: a router that is cut off has its share.",
            0.25,
            0.01,
            1.0,
        ),
        Setting(
            "pace", ValueType.RATE, "Bytes a second that this may send, and each peer.", 16000.0, 500.0, 1e6
        ),
    ),
)


@dataclass(frozen=True)
class MembershipOptions:
    """Section `peers` with the names that the code uses.

    Attributes:
        group: name of the group; datagrams of another group are rejected.
        probe_interval_s: time between two probes.
        suspicion_timeout_s: time in which a suspected router has to refute, in a group of ten or fewer.
        vote_duration_s: time for which a vote binds its voter.
        lease_s: time for which a part of the quota may be used without renewal.
        reserved_share: part of the quota that is divided by the number of configured routers and that each
            of them may always use.
        max_bytes_per_s: bound on what is sent, and on what each peer sends.
    """

    group: str
    probe_interval_s: float
    suspicion_timeout_s: float
    vote_duration_s: float
    lease_s: float
    reserved_share: float
    max_bytes_per_s: float

    @classmethod
    def from_section(cls, values: Mapping[str, Any]) -> MembershipOptions:
        """Options from the section's values, which the operator's file has checked."""
        return cls(
            group=values["group"],
            probe_interval_s=values["period"],
            suspicion_timeout_s=values["suspicion"],
            vote_duration_s=values["term"],
            lease_s=values["lease"],
            reserved_share=values["kept"],
            max_bytes_per_s=values["pace"],
        )
