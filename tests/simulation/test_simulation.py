"""The simulation: invalid input ends it with one line and a non-zero exit; timers do not multiply."""

import json
import subprocess
import sys

import pytest

from marbleworks.simulation.adapter import Simulation
from marbleworks.simulation.wire import read_batches
from tests.support.stand_ins import SETTINGS


def run_simulation(text: str, *args: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "marbleworks.simulation", *args]
    return subprocess.run(command, input=text, capture_output=True, text=True, timeout=30, check=False)


def test_an_empty_batch_is_acknowledged() -> None:
    completed = run_simulation("batch\tsim_time_ms=8412.25\tframe=1\nflush\n")
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, "ack\tframe=1\n", "")


@pytest.mark.parametrize(
    ("body", "fragments"),
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
def test_an_invalid_line_is_named_in_the_error(body: str, fragments: list[str]) -> None:
    completed = run_simulation(f"batch\tsim_time_ms=1.0\tframe=7\n{body}flush\n")
    assert completed.returncode == 1 and completed.stderr.count("\n") == 1
    assert all(fragment in completed.stderr for fragment in fragments), completed.stderr


@pytest.mark.parametrize("text", ["batch\tsim_time_ms=nan\tframe=1\nflush\n", "flush\n", "batch\tframe=1\n"])
def test_an_invalid_batch_ends_the_simulation(text: str) -> None:
    completed = run_simulation(text)
    assert completed.returncode == 1 and completed.stderr.count("\n") == 1


def test_timers_that_cannot_be_cancelled_do_not_multiply() -> None:
    """Guards against a growing number of timers.

    Each request for a timer is a separate timer in the simulator, and none can be cancelled. If each one that
    fires requested another, they would add up.
    """
    simulation, timers, fired = Simulation(), list[float](), 0

    def run_batch(now_s: float, body: str) -> None:
        text = f"batch\tsim_time_ms={1000.0 * now_s}\tframe=1\ncontext\trouter=0\n{body}flush\n"
        for batch in read_batches(text.splitlines(keepends=True)):
            answer = simulation.handle(batch)
            requested = [line.split("due_at_ms=")[1] for line in answer if line.startswith("wake_me")]
            timers.extend(float(due) / 1000.0 for due in requested)

    run_batch(0.0, f"provision\tsalt=1\tprofile_data={json.dumps(SETTINGS)}\n")
    for index in range(20):  # the requests wait, as there is no engine
        remaining_ms = 3000 + 7 * index
        run_batch(
            0.001 * index,
            f"work_item\thandle=t/{index}\tcls=look\tremaining_ms={remaining_ms}\test_cost_ms=1\n",
        )
    while timers and min(timers) < 2.0:
        now_s = min(timers)
        timers.remove(now_s)
        run_batch(now_s, "timer\tctx=0\n")
        fired += 1
    assert 30 < fired < 60 and len(timers) < 5  # the scheduler reviews its requests every 50 ms


def test_an_argument_is_a_usage_error() -> None:
    assert run_simulation("", "--help").returncode == 2
