"""What the drill does with misuse: one plain line and a non-zero exit."""

import subprocess
import sys

import pytest


def drill(text: str, *args: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "marbleworks.drill", *args]
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


def test_an_argument_is_misuse() -> None:
    assert drill("", "--help").returncode == 2
