"""Settings of group membership: section `peers` of the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marbleworks.operator_config.value_types import Section, Setting, ValueType

MEMBERSHIP_SECTION = Section(
    "peers",
    "group membership: routers detect which of them are alive and divide the quota among those",
    (
        Setting(
            "group", ValueType.TEXT, "Name of the group; datagrams of other groups are rejected.", "routers"
        ),
        Setting("period", ValueType.DURATION, "Time between two probes.", 0.2, 0.05, 10.0),
        Setting(
            "suspicion", ValueType.DURATION, "Time in which a suspected peer has to refute.", 1.0, 0.2, 60.0
        ),
        Setting(
            "term", ValueType.DURATION, "Time for which a vote for a leader is binding.", 2.4, 0.5, 120.0
        ),
        Setting("lease", ValueType.DURATION, "Time for which a leased share may be used.", 1.6, 0.5, 120.0),
        Setting(
            "kept",
            ValueType.SHARE,
            "Part of each quota in fixed equal shares, which also an isolated router may use.",
            0.25,
            0.01,
            1.0,
        ),
        Setting(
            "pace",
            ValueType.RATE,
            "Bytes a second that this router may send, and each peer.",
            16000.0,
            500.0,
            1e6,
        ),
    ),
)


@dataclass(frozen=True)
class MembershipOptions:
    """Values of section `peers` under the names that the code uses.

    Attributes:
        group: name of the group; datagrams of another group are rejected.
        probe_interval_s: time between two probes, in seconds.
        suspicion_timeout_s: time in which a suspected router has to refute in a group of ten or fewer, in
            seconds; it is longer in larger groups.
        vote_duration_s: time for which a vote binds its voter, in seconds.
        lease_s: time for which a leased share of the quota may be used without renewal, in seconds.
        reserved_share: part of the quota, from 0 to 1, that is divided evenly among the configured routers
            and that each of them may always use.
        max_bytes_per_s: limit on the bytes sent a second by this router, and by each peer.
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
        """Creates the options from the values of the section.

        Args:
            values: values by setting name, validated when the operator's file was read.
        """
        return cls(
            group=values["group"],
            probe_interval_s=values["period"],
            suspicion_timeout_s=values["suspicion"],
            vote_duration_s=values["term"],
            lease_s=values["lease"],
            reserved_share=values["kept"],
            max_bytes_per_s=values["pace"],
        )
