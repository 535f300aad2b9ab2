"""What the operator may say of background work."""

from marbleworks.operator_config.value_types import Section, Setting, ValueType

BACKGROUND = Section(
    "background",
    "chores beside the commands: expiry, compaction, checkpoints, scrubbing",
    (
        Setting(
            "core", ValueType.SHARE, "The part of the core that chores may use.", 0.1, 0.01, 0.5, live=True
        ),
        Setting("bytes", ValueType.PACE, "Bytes that chores may read and write.", 20e6, 1e5, 2e9, live=True),
        Setting(
            "patience",
            ValueType.SPAN,
            "After this long a chore goes although the desk is behind.",
            10.0,
            0.1,
            600.0,
            live=True,
        ),
    ),
)
