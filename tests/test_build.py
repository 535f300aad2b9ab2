"""The build leaves a complete environment, or the one that was there before.

The tests replace the installer, and force unfavourable orders of two builds by lines on pipes. The test that
runs pip itself needs no index.
"""

import fcntl
import importlib.util
import shutil
import subprocess
import sys
import venv
import zipfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

BUILD = Path(__file__).parent.parent / "deploy" / "build.py"
SPEC = importlib.util.spec_from_file_location("deploy_build", BUILD)
assert SPEC and SPEC.loader
build: Any = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(build)


def add(env: Path, name: str, version: str, needs: str = "", halfway: Callable[[], Any] = int) -> None:
    """Installs a module and its metadata in pip's order, with the RECORD file last.

    Args:
        env: the environment.
        name: name of the package and of its module.
        version: version of the package.
        needs: a requirement of the package, if any.
        halfway: called before the RECORD file is written.
    """
    site = next(env.glob("lib/python*/site-packages"))
    info = site / f"{name}-{version}.dist-info"
    info.mkdir()
    needs = needs and f"Requires-Dist: {needs}\n"
    (info / "METADATA").write_text(f"Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n{needs}")
    (site / f"{name}.py").write_text("value = 1\n")
    halfway()
    (info / "RECORD").write_text(f"{name}.py,,10\n{info.name}/RECORD,,\n")


class Repository:
    """A repository with one requirement, whose installations are counted.

    Args:
        root: folder of the repository.
        halfway: called by the installer before it completes the package.
    """

    def __init__(self, root: Path, halfway: Callable[[], Any] = int) -> None:
        self.root, self.env, self.halfway = root, root / ".venv", halfway
        self.satisfied, self.fails = True, False

    def require(self, version: str) -> None:
        """Writes the version into requirements.txt."""
        (self.root / "requirements.txt").write_text(f"# One.\nthing=={version}\n")

    def install(self, root: Path, new: Path) -> None:
        """Replaces the installer of the build; fails at the end if `fails` is set."""
        with (self.root / "installs").open("a") as log:
            log.write("one\n")
        venv.create(new, symlinks=True)
        (new / "bin" / "script").write_text(f"#!{new}/bin/python\n")
        version = (root / "requirements.txt").read_text().split("==")[1].strip()
        add(new, "thing", version, halfway=self.halfway)
        if self.fails:
            raise subprocess.CalledProcessError(1, "pip")

    def build(self) -> int:
        """Runs a build and checks that it leaves everything complete.

        Returns:
            The number of installations so far.
        """
        build.Build(self.root, self.install, lambda *_: self.satisfied).run()
        version = (self.root / "requirements.txt").read_text().split("==")[1].strip()
        assert self.version() == version and (self.env / build.MARKER_FILE).is_file()
        assert (self.env / "bin" / "script").read_text() == f"#!{self.env}/bin/python\n"
        assert list(self.root.glob(".venv*")) == [self.env]
        assert list(self.root.glob("marbleworks/__pycache__/one.*.pyc"))
        return len((self.root / "installs").read_text().splitlines())

    def version(self) -> str:
        """Returns the version of the package in the environment."""
        script_text = "import thing, importlib.metadata as m; print(m.version('thing'))"
        return subprocess.check_output([self.env / "bin" / "python", "-c", script_text], text=True).strip()


@pytest.fixture
def repository(tmp_path: Path) -> Repository:
    (tmp_path / "marbleworks").mkdir()
    (tmp_path / "marbleworks" / "one.py").write_text("one = 1\n")
    created = Repository(tmp_path)
    created.require("1.0")
    return created


def run_pausing_build(root: str) -> None:
    """Runs a build that reports its progress and stops during the installation until it reads a line.

    It prints "half" at that stop, and "waits" when it has to wait for the lock.
    """
    system_flock = fcntl.flock

    def flock(file: Any, operation: int) -> None:
        try:
            system_flock(file, operation | fcntl.LOCK_NB)
        except BlockingIOError:
            print("waits", flush=True)
            system_flock(file, operation)

    fcntl.flock = flock
    Repository(Path(root), lambda: (print("half", flush=True), sys.stdin.readline())).build()


def start_build(repository: Repository, expected_line: str) -> subprocess.Popen[str]:
    """Runs `run_pausing_build` in a process and waits for the expected line."""
    script = f"import sys; sys.path.insert(0, {str(BUILD.parent.parent / 'tests')!r}); import test_build\n"
    script += f"test_build.run_pausing_build({str(repository.root)!r})"
    pipe = subprocess.PIPE
    process = subprocess.Popen([sys.executable, "-c", script], stdin=pipe, stdout=pipe, text=True)
    assert process.stdout and process.stdout.readline() == f"{expected_line}\n"
    return process


@pytest.mark.parametrize("has_earlier", [False, True])
def test_an_interrupted_build_keeps_the_earlier_environment_and_the_next_completes(
    repository: Repository, has_earlier: bool
) -> None:
    if has_earlier:
        repository.build()
        repository.require("2.0")
    interrupted = start_build(repository, "half")
    interrupted.kill()
    interrupted.communicate()
    assert repository.version() == "1.0" if has_earlier else not repository.env.exists()
    assert list(repository.root.glob(".venv.new-*"))
    assert repository.build() == 2 + has_earlier


def test_of_two_concurrent_builds_the_second_waits_and_installs_nothing(repository: Repository) -> None:
    first = start_build(repository, "half")
    second = start_build(repository, "waits")
    first.communicate("go on\n")
    second.communicate()
    assert (first.returncode, second.returncode) == (0, 0)
    assert repository.build() == 1


def test_a_complete_environment_is_not_touched(repository: Repository) -> None:
    repository.build()
    before = repository.env.stat().st_ino, (repository.env / build.MARKER_FILE).stat().st_mtime_ns
    repository.satisfied = False  # pip does not check a marked environment
    assert repository.build() == 1
    assert (repository.env.stat().st_ino, (repository.env / build.MARKER_FILE).stat().st_mtime_ns) == before


@pytest.mark.parametrize("change", ["2.0", "1.0"])
def test_changed_requirements_replace_the_environment(repository: Repository, change: str) -> None:
    repository.build()
    (repository.env / "old").touch()
    (repository.root / "requirements.txt").write_text(
        f"thing=={change}"
    )  # both lack the comment, so the digest changes
    assert repository.build() == 2
    assert not (repository.env / "old").exists()


@pytest.mark.parametrize("marked", [False, True])
def test_another_python_replaces_the_environment(
    repository: Repository, marked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    repository.build()
    if not marked:
        (repository.env / build.MARKER_FILE).unlink()
    other_python = repository.root / "python"
    other_python.write_text("#!/bin/sh\necho other\n")
    other_python.chmod(0o755)
    monkeypatch.setattr(sys, "executable", str(other_python))
    assert repository.build() == 2


@pytest.mark.parametrize("marker_removed", [False, True])
def test_a_build_interrupted_in_the_swap_is_completed_by_the_next(
    repository: Repository, marker_removed: bool
) -> None:
    repository.build()
    repository.env.rename(repository.root / ".venv.new-cut")
    shutil.copytree(repository.root / ".venv.new-cut", repository.root / ".venv.old-cut", symlinks=True)
    if marker_removed:  # a removal deletes the marker first
        (repository.root / ".venv.new-cut" / build.MARKER_FILE).unlink()
    assert repository.build() == 1 + marker_removed


def test_a_failed_installation_leaves_the_earlier_environment(repository: Repository) -> None:
    repository.build()
    repository.require("2.0")
    repository.fails = True
    with pytest.raises(subprocess.CalledProcessError):
        repository.build()
    assert repository.version() == "1.0" and list(repository.root.glob(".venv*")) == [repository.env]


def test_the_script_exits_with_1_when_pip_fails(repository: Repository) -> None:
    (repository.root / "deploy").mkdir()
    script = shutil.copy(BUILD, repository.root / "deploy")
    (repository.root / "requirements.txt").write_text("-r absent.txt\n")
    completed = subprocess.run([sys.executable, script], capture_output=True, text=True)
    assert (
        completed.returncode == 1 and "build: failed" in completed.stderr and "absent.txt" in completed.stderr
    )
    assert not list(repository.root.glob(".venv*"))


def break_python_link(site: Path) -> None:
    python = site.parents[2] / "bin" / "python"
    python.unlink()
    python.symlink_to("gone")


def set_version(site: Path) -> None:
    (site / "thing-1.0.dist-info" / "METADATA").write_text("Name: thing\nVersion: 1.1\n")


DAMAGES: dict[str, Callable[[Path], object]] = {
    "no package": lambda site: shutil.rmtree(site / "thing-1.0.dist-info"),
    "no record": lambda site: (site / "thing-1.0.dist-info" / "RECORD").unlink(),
    "no file": lambda site: (site / "thing.py").unlink(),
    "file cut short": lambda site: (site / "thing.py").write_text(""),
    "other version": set_version,
    "no python": break_python_link,
}


@pytest.mark.parametrize("marked", [False, True])
@pytest.mark.parametrize("damage", DAMAGES)
def test_a_damaged_environment_is_replaced(repository: Repository, damage: str, marked: bool) -> None:
    repository.build()
    if not marked:
        (repository.env / build.MARKER_FILE).unlink()
    DAMAGES[damage](next(repository.env.glob("lib/python*/site-packages")))
    assert repository.build() == 2


@pytest.mark.parametrize("satisfied", [False, True])
def test_an_unmarked_environment_is_kept_only_if_it_satisfies_all_requirements(
    repository: Repository, satisfied: bool
) -> None:
    repository.build()
    (repository.env / build.MARKER_FILE).unlink()
    (repository.env / "tool").touch()
    repository.satisfied = satisfied
    assert repository.build() == 2 - satisfied
    assert (repository.env / "tool").exists() == satisfied


def test_pip_checks_indirect_requirements(repository: Repository, monkeypatch: pytest.MonkeyPatch) -> None:
    venv.create(repository.env, symlinks=True, with_pip=True)
    with zipfile.ZipFile(repository.root / "thing-1.0-py3-none-any.whl", "w") as wheel:
        wheel.writestr("thing-1.0.dist-info/METADATA", "Metadata-Version: 2.1\nName: thing\nVersion: 1.0\n")
        wheel.writestr("thing-1.0.dist-info/WHEEL", "Wheel-Version: 1.0\nTag: py3-none-any\n")
        wheel.writestr("thing-1.0.dist-info/RECORD", "")
    with monkeypatch.context() as patch:  # pip finds the wheel without an index, so thing is left to install
        patch.setenv("PIP_FIND_LINKS", str(repository.root))
        assert not build.is_satisfied(repository.root, repository.env)
    add(repository.env, "thing", "1.0", needs="other>=2")
    assert not build.is_satisfied(repository.root, repository.env)
    add(repository.env, "other", "2.0")
    assert build.is_satisfied(repository.root, repository.env)
