"""Runs batches from standard input: `python -m marbleworks.simulation`."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import TextIO

from marbleworks.simulation.adapter import Simulation
from marbleworks.simulation.wire import WireError, read_batches


def run(source: Iterable[str], sink: TextIO) -> None:
    """Answers each batch as soon as its last line is read.

    Args:
        source: lines of the simulator.
        sink: receives the lines of the answers and is flushed after each batch.

    Raises:
        WireError: a batch is invalid.
    """
    simulation = Simulation()
    for batch in read_batches(source):
        sink.write("\n".join(simulation.handle(batch)) + "\n")
        sink.flush()


def main(argv: list[str]) -> int:
    """Runs until the input ends.

    Args:
        argv: command-line arguments; none is allowed.

    Returns:
        The exit code: 0; 1 if the input is invalid; 2 if there are arguments.
    """
    if argv:
        usage = f"usage: python -m marbleworks.simulation  (reads batches, takes no argument {argv[0]!r})"
        print(usage, file=sys.stderr)
        return 2
    try:
        run(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"marbleworks.simulation: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
