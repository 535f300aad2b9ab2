"""Signals that come before anybody can act on them: while a router is still imported and wired.

It owns what has come. Without it SIGHUP would end the process, and SIGTERM end it by itself. It must never
import anything that is slow, or act.
"""

from __future__ import annotations

import signal
from types import FrameType

RECORDED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class StartupSignals:
    """From when it is made until others handle these signals."""

    def __init__(self) -> None:
        self.received: set[int] = set()
        for number in RECORDED_SIGNALS:
            signal.signal(number, self._record)

    def _record(self, number: int, frame: FrameType | None) -> None:
        self.received.add(number)

    @property
    def stop_requested(self) -> bool:
        return bool(self.received & {signal.SIGTERM, signal.SIGINT})

    @property
    def reload_requested(self) -> bool:
        return signal.SIGHUP in self.received
