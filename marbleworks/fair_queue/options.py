"""The section `door` of the operator's file: the settings of admission control."""

import ipaddress

from marbleworks.operator_config.value_types import Section, Setting, ValueType


def _network(text: str) -> str | None:
    """Returns what is expected in place of the text if it is no IP network, else None."""
    try:
        ipaddress.ip_network(text)
    except ValueError:
        return "a network such as 10.1.0.0/16"
    return None


FAIR_QUEUE_SECTION = Section(
    "door",
    "fair queues in front of the scheduler, and retry promises to clients that are shed",
    (
        Setting("queues", ValueType.COUNT, "Queues that all tenants are mapped to.", 512, 8, 65_536),
        Setting(
            "waiting",
            ValueType.COUNT,
            "Requests that may wait in all queues together.",
            4_000,
            1,
            1_000_000,
            reloadable=True,
        ),
        Setting(
            "memory",
            ValueType.SIZE,
            "Bytes that the waiting requests may take.",
            16e6,
            1e4,
            1e9,
            reloadable=True,
        ),
        Setting(
            "bookings",
            ValueType.COUNT,
            "Retry promises that may be open at a time.",
            10_000,
            1,
            1_000_000,
            reloadable=True,
        ),
        Setting(
            "weight",
            ValueType.NUMBER,
            "Weight of a tenant; others have 1.",
            None,
            0.01,
            100.0,
            reloadable=True,
            key_kind="member",
        ),
        Setting(
            "network",
            ValueType.NUMBER,
            "Weight of clients without a tenant that connect from a network; others count by /24 or /64.",
            None,
            0.01,
            100.0,
            reloadable=True,
            key_kind="network",
            check_text=_network,
        ),
        Setting(
            "peers",
            ValueType.BOOLEAN,
            "Tell the other routers of the group how much work of the heaviest tenants was admitted.",
            True,
        ),
        Setting(
            "trace",
            ValueType.BOOLEAN,
            "Write one log line for each decision, for `door explain`.",
            False,
            reloadable=True,
        ),
    ),
)
