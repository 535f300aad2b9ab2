"""The frame of a case: its temporary folder, its record, and the exit code that `run.sh` understands."""

from __future__ import annotations

import os
import sys
import tempfile
import traceback
from collections.abc import Callable
from pathlib import Path

from harness.record import Record

EXIT_HELD = 0
EXIT_NOT_RUN = 2
EXIT_BROKEN = 3  # not 1, which the interpreter uses for an error


class NotRunError(Exception):
    """The case could not run as intended."""


def has_trouble() -> bool:
    """Returns whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(script: str, scenario: Callable[[Record, Path], list[str]]) -> None:
    """Runs a scenario, writes its record and exits.

    Args:
        script: Path of the scenario's script; the record is written beside it.
        scenario: Gets the record and an empty folder, and returns one line for each time the rule was broken.
    """
    record = Record()
    exit_code = EXIT_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            violations = scenario(record, Path(folder))
        for violation in violations:
            record.add("check", "violation", detail=violation)
        record.add("check", "result", detail=f"{len(violations)} violations")
        print(f"{len(violations)} violations", *violations[:5], sep="\n")
        exit_code = EXIT_BROKEN if violations else EXIT_HELD
    except NotRunError as error:
        print(f"the case could not run: {error}")
    except Exception:  # noqa: BLE001 - whatever it is, the case could not run
        traceback.print_exc()
    finally:
        record.write(Path(script).with_name("record.txt"))
    sys.exit(exit_code)
