"""What the operator may say of routers that know each other."""

from marbleworks.operator_config.value_types import Section, Setting, ValueType

PEERS = Section(
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
