"""What the operator may say of the spool."""

from marbleworks.operator_config.value_types import Section, Setting, ValueType


def _folder(text: str) -> str | None:
    return None if text.startswith("/") and "\0" not in text else "a path that begins with '/'"


SPOOL_SECTION = Section(
    "spool",
    "results kept on disk and read page by page",
    (
        Setting(
            "folder", ValueType.TEXT, "Where the segments lie; one router at a time.", check_text=_folder
        ),
        Setting("room", ValueType.SIZE, "All that the folder may hold.", None, 4e6, 1e13, reloadable=True),
        Setting(
            "keep",
            ValueType.DURATION,
            "A result lives so long after its last page was read.",
            600.0,
            1.0,
            7 * 86400.0,
            reloadable=True,
        ),
        Setting(
            "unread",
            ValueType.DURATION,
            "And so long if none ever was.",
            300.0,
            1.0,
            7 * 86400.0,
            reloadable=True,
        ),
        Setting(
            "longest", ValueType.DURATION, "And so long in all.", 3600.0, 1.0, 30 * 86400.0, reloadable=True
        ),
        Setting(
            "largest",
            ValueType.SIZE,
            "The largest result; one that is larger fails.",
            64e6,
            1e5,
            1e9,
            reloadable=True,
        ),
        Setting(
            "expect",
            ValueType.SIZE,
            "Room for a first result of a profile, before sizes are learned.",
            1e6,
            1e4,
            1e9,
            reloadable=True,
        ),
        Setting("most", ValueType.COUNT, "Results at a time.", 20_000, 1, 200_000, reloadable=True),
        Setting(
            "share",
            ValueType.SHARE,
            "The part of the room that one tenant may hold.",
            0.5,
            0.01,
            1.0,
            reloadable=True,
        ),
        Setting(
            "quota",
            ValueType.SHARE,
            "The same for one tenant by name.",
            None,
            0.0,
            1.0,
            reloadable=True,
            keyed_by="tenant",
        ),
        Setting("page", ValueType.SIZE, "Rows of one page that clients are given.", 24e3, 6e3, 48e3),
        Setting(
            "least-pace",
            ValueType.RATE,
            "A client that takes a page more slowly is ended.",
            4e3,
            100.0,
            1e6,
            reloadable=True,
        ),
        Setting("in-hand", ValueType.SIZE, "Pages on their way to clients, all together.", 8e6, 1e5, 1e9),
        Setting("segment", ValueType.SIZE, "A file of the folder is closed at this size.", 16e6, 1e5, 1e9),
        Setting(
            "checkpoint",
            ValueType.DURATION,
            "Between checkpoints of the index, at most.",
            30.0,
            0.2,
            3600.0,
            reloadable=True,
        ),
        Setting(
            "scrub",
            ValueType.DURATION,
            "Each record is read again and checked once in this time.",
            86400.0,
            1.0,
            30 * 86400.0,
            reloadable=True,
        ),
        Setting(
            "hand-over",
            ValueType.DURATION,
            "How long a start waits for the router before it to leave the folder.",
            5.0,
            0.0,
            60.0,
        ),
    ),
)
