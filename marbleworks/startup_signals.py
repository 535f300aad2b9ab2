"""Signals that come before anybody can act on them: while a router is still imported and wired.

It owns what has come. Without it SIGHUP would end the process, and SIGTERM end it by itself. It must never
import anything that is slow, or act.
"""

from __future__ import annotations

import signal
from types import FrameType

KEPT = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Early:
    """From when it is made until others handle these signals."""

    def __init__(self) -> None:
        self.seen: set[int] = set()
        for number in KEPT:
            signal.signal(number, self._note)

    def _note(self, number: int, frame: FrameType | None) -> None:
        self.seen.add(number)

    @property
    def stop(self) -> bool:
        return bool(self.seen & {signal.SIGTERM, signal.SIGINT})

    @property
    def reload(self) -> bool:
        return signal.SIGHUP in self.seen
