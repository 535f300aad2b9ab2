"""Plays batches from standard input: `python -m marbleworks.simulation`."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import TextIO

from marbleworks.simulation.adapter import Simulation
from marbleworks.simulation.wire import WireError, read_batches


def run(source: Iterable[str], sink: TextIO) -> None:
    """Answers each batch as soon as it is whole."""
    simulation = Simulation()
    for batch in read_batches(source):
        sink.write("\n".join(simulation.handle(batch)) + "\n")
        sink.flush()


def main(argv: list[str]) -> int:
    """Runs until the input ends; returns the exit code."""
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
