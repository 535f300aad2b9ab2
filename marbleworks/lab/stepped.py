"""Runs a router whose wall clock (`time.time`) steps by MARBLEWORKS_LAB_STEP seconds at each SIGUSR1.

Nothing else of the program is changed.
"""

from __future__ import annotations

import os
import runpy
import signal
import time
from typing import Any


def main() -> None:
    """Replaces `time.time`, installs the signal handler and runs the router."""
    real_time, offset = time.time, [0.0]
    time.time = lambda: real_time() + offset[0]

    def step(signal_number: int, frame: Any) -> None:
        offset[0] += float(os.environ["MARBLEWORKS_LAB_STEP"])

    signal.signal(signal.SIGUSR1, step)
    runpy.run_module("marbleworks", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
