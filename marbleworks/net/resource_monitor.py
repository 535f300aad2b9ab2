"""Logs when the router's memory approaches its limit, and what the router holds at that time.

The platform kills a router that passes its limit without a word to it. The last line of this module then
tells what the memory was used for.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

import gevent

from marbleworks.net.actor import LOG, spawn

CHECK_INTERVAL_S = 0.25
HIGH_USE_RATIO = 0.7  # of the limit; memory above it is logged
NORMAL_USE_RATIO = 0.6  # below it, high use has ended
_GROWTH_LOG_RATIO = 0.05  # of the limit; while use is high, each further growth by this much is logged
_STATM_PATH = Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class ResourceCounts:
    """What a router holds.

    Attributes:
        clients: Connections of clients.
        engine_connections: Connections to engines.
        open_requests: Requests without a final answer, or with an attempt in flight.
        waiting_calls: Calls in the dispatcher's mailbox.
        request_kb: Kilobytes reserved for received bytes and open requests.
    """

    clients: int
    engine_connections: int
    open_requests: int
    waiting_calls: int
    request_kb: int


def anonymous_memory_bytes() -> int:
    """Returns the bytes of this process that no file backs; 0 if the host does not tell."""
    try:
        fields = _STATM_PATH.read_text("ascii").split()
        resident_pages, file_pages = int(fields[1]), int(fields[2])
    except (OSError, ValueError, IndexError):
        return 0
    return (resident_pages - file_pages) * _PAGE_BYTES


class ResourceMonitor:
    """Compares the process's memory with its limit at regular intervals.

    Args:
        limit_bytes: The limit.
        count: Returns what the router holds.
        measure: Returns the process's memory in bytes.

    Attributes:
        is_high: Whether memory is near the limit.
    """

    def __init__(
        self,
        limit_bytes: int,
        count: Callable[[], ResourceCounts],
        measure: Callable[[], int] = anonymous_memory_bytes,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.is_high = False
        self._count = count
        self._measure = measure
        self._logged_bytes = 0

    def start(self) -> None:
        """Starts to check, in a greenlet of its own."""
        spawn(self._run)

    def check(self) -> None:
        """Measures once, and logs a change."""
        used_bytes = self._measure()
        if used_bytes >= HIGH_USE_RATIO * self.limit_bytes:
            has_grown = used_bytes >= self._logged_bytes + _GROWTH_LOG_RATIO * self.limit_bytes
            if not self.is_high or has_grown:
                self._log("memory high", used_bytes)
            self.is_high = True
        elif self.is_high and used_bytes < NORMAL_USE_RATIO * self.limit_bytes:
            self.is_high = False
            self._log("memory normal", used_bytes)

    def _log(self, event: str, used_bytes: int) -> None:
        self._logged_bytes = used_bytes
        used_mb, limit_mb = round(used_bytes / 1e6, 1), round(self.limit_bytes / 1e6, 1)
        LOG.warning(event, used_mb=used_mb, limit_mb=limit_mb, **asdict(self._count()))

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            self.check()
