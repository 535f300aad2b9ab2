"""What the operator may say of the door."""

import ipaddress

from marbleworks.operator_config.value_types import Section, Setting, ValueType


def _network(text: str) -> str | None:
    try:
        ipaddress.ip_network(text)
    except ValueError:
        return "a network such as 10.1.0.0/16"
    return None


FAIR_QUEUE_SECTION = Section(
    "door",
    "fair queues in front of the decisions, and times to come back that are kept",
    (
        Setting("queues", ValueType.COUNT, "Queues that all members fold into.", 512, 8, 65_536),
        Setting(
            "waiting",
            ValueType.COUNT,
            "Commands that may wait, all together.",
            4_000,
            1,
            1_000_000,
            reloadable=True,
        ),
        Setting("memory", ValueType.SIZE, "Bytes of them.", 16e6, 1e4, 1e9, reloadable=True),
        Setting("bookings", ValueType.COUNT, "Promises at a time.", 10_000, 1, 1_000_000, reloadable=True),
        Setting(
            "weight",
            ValueType.NUMBER,
            "A member's weight; others have 1.",
            None,
            0.01,
            100.0,
            reloadable=True,
            keyed_by="member",
        ),
        Setting(
            "network",
            ValueType.NUMBER,
            "The weight of clients without a member that come from a network; others count by /24 or /64.",
            None,
            0.01,
            100.0,
            reloadable=True,
            keyed_by="network",
            check_text=_network,
        ),
        Setting("peers", ValueType.SWITCH, "Tell the group's routers what the heaviest were let in.", True),
        Setting(
            "trace",
            ValueType.SWITCH,
            "One log line for each decision, for `door explain`.",
            False,
            reloadable=True,
        ),
    ),
)
