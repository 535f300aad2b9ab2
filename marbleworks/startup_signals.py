"""Records signals that arrive while a router is still importing modules and starting up.

Without this module, SIGHUP would end the process, and SIGTERM would end it without an orderly shutdown. This
module must not import anything slow: signals have their default effect until it is imported.
"""

from __future__ import annotations

import signal
from types import FrameType

RECORDED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class StartupSignals:
    """Records signals from its creation until other handlers are installed.

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
