"""Records signals that arrive while a router is still being imported and wired.

Without it SIGHUP would end the process, and SIGTERM would end it without a planned stop. Nothing slow may be
imported here: until this module is imported, signals have their default effect.
"""

from __future__ import annotations

import signal
from types import FrameType

RECORDED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class StartupSignals:
    """Records signals from its creation until other handlers are set.

    Attributes:
        received: the numbers of the signals that arrived.
    """

    def __init__(self) -> None:
        self.received: set[int] = set()
        for number in RECORDED_SIGNALS:
            signal.signal(number, self._record)

    def _record(self, number: int, frame: FrameType | None) -> None:
        self.received.add(number)

    @property
    def stop_requested(self) -> bool:
        """Whether a signal asked the process to stop."""
        return bool(self.received & {signal.SIGTERM, signal.SIGINT})

    @property
    def reload_requested(self) -> bool:
        """Whether a signal asked for the configuration to be read again."""
        return signal.SIGHUP in self.received
