"""What the drill does with misuse: one plain line and a non-zero exit."""

import json
import subprocess
import sys

import pytest

from marbleworks.simulation.adapter import Simulation
from marbleworks.simulation.wire import read_batches
from tests.support.stand_ins import SETTINGS


def drill(text: str, *args: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "marbleworks.simulation", *args]
    return subprocess.run(command, input=text, capture_output=True, text=True, timeout=30, check=False)


def test_an_empty_batch_is_acknowledged() -> None:
    done = drill("batch\tsim_time_ms=8412.25\tframe=1\nflush\n")
    assert (done.returncode, done.stdout, done.stderr) == (0, "ack\tframe=1\n", "")


@pytest.mark.parametrize(
    ("body", "names"),
    [
        ("work_item\thandle=t/a\n", ["batch 7", "work_item", "context"]),
        ("context\trouter=0\nwork_item\thandle=t/a\n", ["batch 7", "work_item", "provisioned"]),
        ("context\trouter=x\n", ["batch 7", "context", "router"]),
        ("context\n", ["batch 7", "context", "router is missing"]),
        ("snapshot_rows\troster_id=0\tmembers=2\nitem\tengine=a\n", ["batch 7", "snapshot_rows", "items"]),
        ("context\trouter=0\nprovision\tsalt=1\tprofile_data={}\n", ["batch 7", "provision", "zones"]),
        ("context\trouter\n", ["batch 7", "context", "name=value"]),
    ],
)
def test_a_line_that_cannot_be_read_is_named(body: str, names: list[str]) -> None:
    done = drill(f"batch\tsim_time_ms=1.0\tframe=7\n{body}flush\n")
    assert done.returncode == 1 and done.stderr.count("\n") == 1
    assert all(name in done.stderr for name in names), done.stderr


@pytest.mark.parametrize("text", ["batch\tsim_time_ms=nan\tframe=1\nflush\n", "flush\n", "batch\tframe=1\n"])
def test_a_bad_frame_ends_the_drill(text: str) -> None:
    done = drill(text)
    assert done.returncode == 1 and done.stderr.count("\n") == 1


def test_timers_that_cannot_be_called_off_do_not_multiply() -> None:
    """Each wish of the module is a timer of its own there, and each that rang would bring another."""
    router, timers, rang = Simulation(), list[float](), 0

    def play(at: float, body: str) -> None:
        text = f"batch\tsim_time_ms={1000.0 * at}\tframe=1\ncontext\trouter=0\n{body}flush\n"
        for batch in read_batches(text.splitlines(keepends=True)):
            said = router.handle(batch)
            asked = [line.split("due_at_ms=")[1] for line in said if line.startswith("wake_me")]
            timers.extend(float(due) / 1000.0 for due in asked)

    play(0.0, f"provision\tsalt=1\tprofile_data={json.dumps(SETTINGS)}\n")
    for n in range(20):  # held, as there is no engine
        left = 3000 + 7 * n
        play(0.001 * n, f"work_item\thandle=t/{n}\tcls=look\tremaining_ms={left}\test_cost_ms=1\n")
    while timers and min(timers) < 2.0:
        at = min(timers)
        timers.remove(at)
        play(at, "timer\tctx=0\n")
        rang += 1
    assert 30 < rang < 60 and len(timers) < 5  # a review each 50 ms


def test_an_argument_is_misuse() -> None:
    assert drill("", "--help").returncode == 2
