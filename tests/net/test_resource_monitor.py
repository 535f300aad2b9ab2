"""Tests of the log of the router's memory."""

from __future__ import annotations

from typing import Any

import pytest
from structlog.testing import capture_logs

from marbleworks.net.resource_monitor import ResourceCounts, ResourceMonitor, anonymous_memory_bytes

COUNTS = ResourceCounts(clients=3, engine_connections=2, open_requests=1, waiting_calls=0, request_kb=12)


@pytest.mark.parametrize(
    ("used", "events"),
    [
        ([10, 69], []),
        ([70, 72, 74], ["memory high"]),
        ([70, 76, 90], ["memory high"] * 3),
        ([70, 65, 70, 59, 70], ["memory high", "memory normal", "memory high"]),
    ],
)
def test_memory_near_the_limit_is_logged_with_what_the_router_holds(
    used: list[int], events: list[str]
) -> None:
    """Guards against a kill for memory of which the log says nothing."""
    values = iter(used)
    monitor = ResourceMonitor(100, lambda: COUNTS, lambda: next(values))
    lines: list[Any]
    with capture_logs() as lines:
        for _ in used:
            monitor.check()
    assert [line["event"] for line in lines] == events
    assert all(line["clients"] == 3 and line["request_kb"] == 12 for line in lines)


def test_the_memory_of_this_process_is_measured() -> None:
    before = anonymous_memory_bytes()
    data = bytearray(b"x" * 40_000_000)
    assert anonymous_memory_bytes() >= before + 0.9 * len(data) > 0
