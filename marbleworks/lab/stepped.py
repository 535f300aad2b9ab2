"""A router whose clock for `time.time` steps when it is told to: at SIGUSR1, by MARBLEWORKS_LAB_STEP seconds.

It owns that one step and changes nothing else of the program it runs.
"""

from __future__ import annotations

import os
import runpy
import signal
import time
from typing import Any


def main() -> None:
    true, stepped = time.time, [0.0]
    time.time = lambda: true() + stepped[0]

    def step(number: int, frame: Any) -> None:
        stepped[0] += float(os.environ["MARBLEWORKS_LAB_STEP"])

    signal.signal(signal.SIGUSR1, step)
    runpy.run_module("marbleworks", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
