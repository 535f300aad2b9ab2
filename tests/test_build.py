"""The build leaves an environment that is whole, or what was there before. Installers here are stand-ins; bad
orders are forced by lines on pipes. What asks pip itself needs no index."""

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
    """Installs a module and its metadata in pip's order, the record last."""
    site = next(env.glob("lib/python*/site-packages"))
    info = site / f"{name}-{version}.dist-info"
    info.mkdir()
    needs = needs and f"Requires-Dist: {needs}\n"
    (info / "METADATA").write_text(f"Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n{needs}")
    (site / f"{name}.py").write_text("value = 1\n")
    halfway()
    (info / "RECORD").write_text(f"{name}.py,,10\n{info.name}/RECORD,,\n")


class Stand:
    """A repository of one requirement; counts what is installed into it."""

    def __init__(self, root: Path, halfway: Callable[[], Any] = int) -> None:
        self.root, self.env, self.halfway = root, root / ".venv", halfway
        self.satisfied, self.fails = True, False

    def require(self, version: str) -> None:
        (self.root / "requirements.txt").write_text(f"# One.\nthing=={version}\n")

    def install(self, root: Path, new: Path) -> None:
        with (self.root / "installs").open("a") as log:
            log.write("one\n")
        venv.create(new, symlinks=True)
        (new / "bin" / "script").write_text(f"#!{new}/bin/python\n")
        version = (root / "requirements.txt").read_text().split("==")[1].strip()
        add(new, "thing", version, halfway=self.halfway)
        if self.fails:
            raise subprocess.CalledProcessError(1, "pip")

    def build(self) -> int:
        """How many installs there were up to now, after one more build that must leave all whole."""
        build.Build(self.root, self.install, lambda *_: self.satisfied).run()
        version = (self.root / "requirements.txt").read_text().split("==")[1].strip()
        assert self.version() == version and (self.env / build.MARK).is_file()
        assert (self.env / "bin" / "script").read_text() == f"#!{self.env}/bin/python\n"
        assert list(self.root.glob(".venv*")) == [self.env]
        assert list(self.root.glob("marbleworks/__pycache__/one.*.pyc"))
        return len((self.root / "installs").read_text().splitlines())

    def version(self) -> str:
        asks = "import thing, importlib.metadata as m; print(m.version('thing'))"
        return subprocess.check_output([self.env / "bin" / "python", "-c", asks], text=True).strip()


@pytest.fixture
def stand(tmp_path: Path) -> Stand:
    (tmp_path / "marbleworks").mkdir()
    (tmp_path / "marbleworks" / "one.py").write_text("one = 1\n")
    made = Stand(tmp_path)
    made.require("1.0")
    return made


def child(root: str) -> None:
    """A build that says where it is and stops half way through its install until it reads a line."""
    real = fcntl.flock

    def flock(file: Any, how: int) -> None:
        try:
            real(file, how | fcntl.LOCK_NB)
        except BlockingIOError:
            print("waits", flush=True)
            real(file, how)

    fcntl.flock = flock
    Stand(Path(root), lambda: (print("half", flush=True), sys.stdin.readline())).build()


def start(stand: Stand, says: str) -> subprocess.Popen[str]:
    script = f"import sys; sys.path.insert(0, {str(BUILD.parent.parent / 'tests')!r}); import test_build\n"
    script += f"test_build.child({str(stand.root)!r})"
    pipe = subprocess.PIPE
    process = subprocess.Popen([sys.executable, "-c", script], stdin=pipe, stdout=pipe, text=True)
    assert process.stdout and process.stdout.readline() == f"{says}\n"
    return process


@pytest.mark.parametrize("earlier", [False, True])
def test_a_build_cut_short_leaves_what_was_there_and_the_next_makes_it_whole(
    stand: Stand, earlier: bool
) -> None:
    if earlier:
        stand.build()
        stand.require("2.0")
    cut = start(stand, "half")
    cut.kill()
    cut.communicate()
    assert stand.version() == "1.0" if earlier else not stand.env.exists()
    assert list(stand.root.glob(".venv.new-*"))
    assert stand.build() == 2 + earlier


def test_of_two_builds_at_once_the_second_waits_and_finds_it_done(stand: Stand) -> None:
    first = start(stand, "half")
    second = start(stand, "waits")
    first.communicate("go on\n")
    second.communicate()
    assert (first.returncode, second.returncode) == (0, 0)
    assert stand.build() == 1


def test_with_nothing_to_do_nothing_is_touched(stand: Stand) -> None:
    stand.build()
    before = stand.env.stat().st_ino, (stand.env / build.MARK).stat().st_mtime_ns
    stand.satisfied = False  # A marked environment is not put to pip.
    assert stand.build() == 1
    assert (stand.env.stat().st_ino, (stand.env / build.MARK).stat().st_mtime_ns) == before


@pytest.mark.parametrize("change", ["2.0", "1.0"])
def test_changed_requirements_make_a_new_environment_and_the_old_one_goes(stand: Stand, change: str) -> None:
    stand.build()
    (stand.env / "old").touch()
    (stand.root / "requirements.txt").write_text(f"thing=={change}")  # The comment is dropped in both.
    assert stand.build() == 2
    assert not (stand.env / "old").exists()


@pytest.mark.parametrize("marked", [False, True])
def test_another_python_makes_a_new_environment(
    stand: Stand, marked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    stand.build()
    if not marked:
        (stand.env / build.MARK).unlink()
    other = stand.root / "python"
    other.write_text("#!/bin/sh\necho other\n")
    other.chmod(0o755)
    monkeypatch.setattr(sys, "executable", str(other))
    assert stand.build() == 2


@pytest.mark.parametrize("broken", [False, True])
def test_a_build_cut_in_the_swap_is_finished_by_the_next(stand: Stand, broken: bool) -> None:
    stand.build()
    stand.env.rename(stand.root / ".venv.new-cut")
    shutil.copytree(stand.root / ".venv.new-cut", stand.root / ".venv.old-cut", symlinks=True)
    if broken:  # Removal takes the mark first.
        (stand.root / ".venv.new-cut" / build.MARK).unlink()
    assert stand.build() == 1 + broken


def test_a_failed_install_leaves_the_earlier_environment(stand: Stand) -> None:
    stand.build()
    stand.require("2.0")
    stand.fails = True
    with pytest.raises(subprocess.CalledProcessError):
        stand.build()
    assert stand.version() == "1.0" and list(stand.root.glob(".venv*")) == [stand.env]


def test_when_pip_fails_the_script_exits_with_1(stand: Stand) -> None:
    (stand.root / "deploy").mkdir()
    script = shutil.copy(BUILD, stand.root / "deploy")
    (stand.root / "requirements.txt").write_text("-r absent.txt\n")
    done = subprocess.run([sys.executable, script], capture_output=True, text=True)
    assert done.returncode == 1 and "build: failed" in done.stderr and "absent.txt" in done.stderr
    assert not list(stand.root.glob(".venv*"))


def lose_python(site: Path) -> None:
    python = site.parents[2] / "bin" / "python"
    python.unlink()
    python.symlink_to("gone")


def set_version(site: Path) -> None:
    (site / "thing-1.0.dist-info" / "METADATA").write_text("Name: thing\nVersion: 1.1\n")


HARMS: dict[str, Callable[[Path], object]] = {
    "no package": lambda site: shutil.rmtree(site / "thing-1.0.dist-info"),
    "no record": lambda site: (site / "thing-1.0.dist-info" / "RECORD").unlink(),
    "no file": lambda site: (site / "thing.py").unlink(),
    "file cut short": lambda site: (site / "thing.py").write_text(""),
    "other version": set_version,
    "no python": lose_python,
}


@pytest.mark.parametrize("marked", [False, True])
@pytest.mark.parametrize("how", HARMS)
def test_an_environment_that_lacks_something_is_made_anew(stand: Stand, how: str, marked: bool) -> None:
    stand.build()
    if not marked:
        (stand.env / build.MARK).unlink()
    HARMS[how](next(stand.env.glob("lib/python*/site-packages")))
    assert stand.build() == 2


@pytest.mark.parametrize("satisfied", [False, True])
def test_an_unmarked_environment_is_kept_only_if_all_needs_are_met(stand: Stand, satisfied: bool) -> None:
    stand.build()
    (stand.env / build.MARK).unlink()
    (stand.env / "tool").touch()
    stand.satisfied = satisfied
    assert stand.build() == 2 - satisfied
    assert (stand.env / "tool").exists() == satisfied


def test_pip_is_asked_for_what_a_requirement_needs_in_turn(
    stand: Stand, monkeypatch: pytest.MonkeyPatch
) -> None:
    venv.create(stand.env, symlinks=True, with_pip=True)
    with zipfile.ZipFile(stand.root / "thing-1.0-py3-none-any.whl", "w") as wheel:
        wheel.writestr("thing-1.0.dist-info/METADATA", "Metadata-Version: 2.1\nName: thing\nVersion: 1.0\n")
        wheel.writestr("thing-1.0.dist-info/WHEEL", "Wheel-Version: 1.0\nTag: py3-none-any\n")
        wheel.writestr("thing-1.0.dist-info/RECORD", "")
    with monkeypatch.context() as patch:  # What pip could install without an index isn't there yet.
        patch.setenv("PIP_FIND_LINKS", str(stand.root))
        assert not build.satisfied(stand.root, stand.env)
    add(stand.env, "thing", "1.0", needs="other>=2")
    assert not build.satisfied(stand.root, stand.env)
    add(stand.env, "other", "2.0")
    assert build.satisfied(stand.root, stand.env)
