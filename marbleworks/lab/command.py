"""Implementation of the `lab` sub-commands. Only those sub-commands import it."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from marbleworks.lab import budgets, capacity, door, peers, spool, trial
from marbleworks.lab.report import Report

Experiment = Callable[[Report, int, bool], None]
EXPERIMENTS: dict[str, tuple[str, Experiment]] = {
    "spool": (
        "large results on disk, slow readers, a full spool, router kills; compared with no spool",
        spool.run,
    ),
    "peers": (
        "group membership: deaths, pauses, partitions, a single leader; compared with fixed settings",
        peers.run,
    ),
    "budgets": (
        "fleet-wide budgets: skew, shifts, kills, pauses, partitions; compared with even shares",
        budgets.run,
    ),
    "door": (
        "one flooding tenant beside fifty quiet ones, retry promises; compared with no admission control",
        door.run,
    ),
    "capacity": (
        "how each cost grows with routers, engines, budgets and clients; its value at 4,600 routers",
        capacity.run,
    ),
}


def describe_experiments() -> list[str]:
    """Returns one line for each experiment: its name and what it measures."""
    return [f"{name}: {meaning}" for name, (meaning, _) in EXPERIMENTS.items()]


def try_fleet(seconds: float, seed: int) -> Report:
    """Runs the trial of `lab try`: a mixed load for a number of seconds."""
    return trial.run(seconds, seed)


def run(name: str, seed: int, quick: bool, out: Path) -> Report:
    """Runs an experiment and writes its result files to a folder.

    Args:
        name: Name of the experiment.
        seed: Seed of all random draws.
        quick: Whether to run a short version.
        out: Folder of the result files.

    Raises:
        KeyError: There is no experiment of that name.
    """
    _, experiment = EXPERIMENTS[name]
    report, began = Report(name), time.monotonic()
    report.figures["seed"], report.figures["quick"] = seed, float(quick)
    experiment(report, seed, quick)
    report.figures["seconds"] = time.monotonic() - began
    report.write(out)
    return report
