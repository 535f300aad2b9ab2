"""Tests of the direct start of a router, and of what it loads."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from marbleworks.router_command import RouterFiles, parse_arguments

LIST_MODULES = """
import sys
from marbleworks import __main__, router_command
try:
    router_command.run_router(router_command.RouterFiles("", ""))
except Exception as error:
    assert "no configuration" in str(error), error
print(*sys.modules)
"""


@pytest.mark.parametrize(
    ("arguments", "files"),
    [
        ([], None),
        (["serve"], RouterFiles("c", "o")),
        (["serve", "--config", "x"], RouterFiles("x", "o")),
        (["serve", "--config=x", "--operator", "y"], RouterFiles("x", "y")),
        (["serve", "--operator="], RouterFiles("c", "")),
        (["serve", "--config"], None),
        (["serve", "--config", "--operator"], None),
        (["serve", "--help"], None),
        (["serve", "x"], None),
        (["check"], None),
        (["version"], None),
    ],
)
def test_only_a_usual_start_passes_by_the_command_line(
    arguments: list[str], files: RouterFiles | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("RELAY_CONFIG", "c")
    monkeypatch.setenv("MARBLEWORKS_OPERATOR", "o")
    assert parse_arguments(arguments) == files


def test_a_router_loads_neither_the_command_line_nor_console_output() -> None:
    """Guards against a third of the least memory limit being taken by libraries that a router never uses."""
    output = subprocess.run([sys.executable, "-c", LIST_MODULES], capture_output=True, text=True, check=True)
    loaded = {name.partition(".")[0] for name in output.stdout.split()}
    assert "structlog" in loaded and not loaded & {"typer", "click", "pydantic", "rich", "pygments", "lark"}


@pytest.mark.parametrize(
    ("config", "reason"),
    [("", "no configuration: set --config or RELAY_CONFIG"), ("missing", "No such file or directory")],
)
def test_a_start_that_fails_prints_one_line_and_exits_with_1(
    config: str, reason: str, tmp_path: Path
) -> None:
    path = str(tmp_path / config) if config else ""
    environment = os.environ | {"RELAY_CONFIG": path, "MARBLEWORKS_OPERATOR": ""}
    process = subprocess.run(
        [sys.executable, "-m", "marbleworks", "serve"], env=environment, capture_output=True, text=True
    )
    assert process.returncode == 1 and not process.stdout
    assert process.stderr.startswith("marbleworks: ") and process.stderr.endswith(f"{reason}\n")
    assert process.stderr.count("\n") == 1
