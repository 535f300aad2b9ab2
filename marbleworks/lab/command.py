"""The lab's part of the command line. Imported only by its own sub-commands."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from marbleworks.lab import budgets, capacity, door, peers, spool, trial
from marbleworks.lab.report import Report

Experiment = Callable[[Report, int, bool], None]
EXPERIMENTS: dict[str, tuple[str, Experiment]] = {
    "spool": ("large results kept on disk, slow readers, a full spool, kills; against no spool", spool.run),
    "peers": (
        "routers that know each other: deaths, pauses, cuts, one right; against settings alone",
        peers.run,
    ),
    "budgets": (
        "budgets of the whole fleet, skew, shifts, kills, pauses, cuts; against even parts",
        budgets.run,
    ),
    "door": ("one member that floods beside fifty quiet ones, times told; against no door", door.run),
    "capacity": (
        "how each cost grows with routers, engines, budgets, clients; what that is at 4,600 routers",
        capacity.run,
    ),
}


def listed() -> list[str]:
    return [f"{name}: {meaning}" for name, (meaning, _) in EXPERIMENTS.items()]


def tried(seconds: float, seed: int) -> Report:
    return trial.run(seconds, seed)


def run(name: str, seed: int, quick: bool, out: Path) -> Report:
    """Plays an experiment and writes its files; KeyError where there is none of that name."""
    _, experiment = EXPERIMENTS[name]
    report, began = Report(name), time.monotonic()
    report.figures["seed"], report.figures["quick"] = seed, float(quick)
    experiment(report, seed, quick)
    report.figures["seconds"] = time.monotonic() - began
    report.write(out)
    return report
