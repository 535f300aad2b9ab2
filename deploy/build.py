"""Leaves `.venv` and the compiled modules as `run` and `sim` need them: whole, or as they were before.

It owns `.venv` and all beside it that is named `.venv.new-*` or `.venv.old-*`. An environment is made in a
folder of its own, marked when it is complete, and only then renamed into place; the mark is a digest of
requirements.txt and of the Python. So it must never install into `.venv`, never touch one that is whole and
marked for what is asked (a router may be running from it), and never mark what it has not made or looked
through.

One build runs at a time, by a lock on the repository's folder. The kernel drops that lock with its process,
however that ends, so there is no owner to be found dead, and the lock needs no file; flock(1) and a lock
folder lack the one or the other. An installer that outlives its killed build holds no lock: the folder it
writes into has a name that no other build uses, and the next build that finds the folder removes it.

An environment without a mark (made by hand, by .ci/run or by an earlier way to build) is asked itself: if
every pinned requirement and what it needs is there, each file at its recorded size, and pip would install
nothing more, it is only marked, and a developer keeps their tools. Else it is replaced. One with another mark
is always replaced, since what was dropped from requirements.txt must go too. One with the right mark is
looked through the same way, but for pip: its Python may be gone, or someone may have installed into it by
hand. No guard is made against a loss of power.
"""

import fcntl
import hashlib
import json
import os
import secrets
import shutil
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

MARK = "whole"
TELL_PYTHON = """
import os, sys
print(sys.version, sys.implementation.name, os.uname().machine)
"""
LOOK_THROUGH = r"""
import csv, re, sys
from importlib.metadata import PackageNotFoundError, distribution

def name(line):
    return re.sub(r"[-_.]+", "-", re.match(r"[\w.-]*", line)[0]).lower()

pins = [line.split("#")[0].strip() for line in open(sys.argv[1], encoding="utf-8")]
pins = {name(pin): pin.partition("==")[2] for pin in pins if pin}
queue, seen = list(pins), set()
while queue:
    package = queue.pop()
    if package in seen:
        continue
    seen.add(package)
    try:
        found = distribution(package)
    except PackageNotFoundError:
        if package in pins:
            sys.exit(f"{package} is not installed")
        continue  # It may be for another system; pip is asked about these.
    if pins.get(package) not in (None, "", found.version):
        sys.exit(f"{package} is {found.version}, not {pins[package]}")
    record = found.read_text("RECORD")
    if not record:  # An installer writes it last.
        sys.exit(f"{package} has no record")
    for path, _, size in csv.reader(record.splitlines()):
        file = found.locate_file(path)
        # Scripts change when an environment is moved; what has no size may be made again at any time.
        if size and not (file.is_file() and (path.startswith("..") or file.stat().st_size == int(size))):
            sys.exit(f"{package} lacks {path}")
    queue += [name(line) for line in found.requires or () if "extra ==" not in line]
"""


def say(line: str) -> None:
    print(f"build: {line}", file=sys.stderr, flush=True)


def answer(python: Path | str, script: str, *args: str) -> str | None:
    """What the script prints in that Python, or nothing if it can't be run or fails."""
    try:
        done = subprocess.run([str(python), "-I", "-c", script, *args], capture_output=True, text=True)
    except OSError:
        return None
    if done.returncode and done.stderr:
        say(done.stderr.strip().splitlines()[-1])
    return None if done.returncode else done.stdout


def pip(venv: Path) -> list[str]:
    return [str(venv / "bin" / "python"), "-m", "pip", "-q", "--disable-pip-version-check", "--no-input"]


def install(root: Path, new: Path) -> None:
    """Makes an environment with all of requirements.txt at a path that does not exist yet."""
    subprocess.run([sys.executable, "-m", "venv", "--prompt", ".venv", str(new)], check=True)
    subprocess.run([*pip(new), "install", "-r", "requirements.txt"], cwd=root, check=True)


def satisfied(root: Path, venv: Path) -> bool:
    """Whether pip, without an index, finds nothing left to install: what is needed in turn counts too."""
    asked = "install --dry-run --no-index --only-binary :all: --report - -r requirements.txt".split()
    done = subprocess.run([*pip(venv), *asked], cwd=root, capture_output=True, text=True)
    try:
        return done.returncode == 0 and json.loads(done.stdout)["install"] == []
    except (ValueError, KeyError):
        return False


class Build:
    """One build of the repository at `root`; `install` and `satisfied` may be replaced by stand-ins."""

    def __init__(
        self,
        root: Path,
        install: Callable[[Path, Path], None] = install,
        satisfied: Callable[[Path, Path], bool] = satisfied,
    ) -> None:
        self.root, self.venv = root, root / ".venv"
        self.install, self.satisfied = install, satisfied

    def run(self) -> None:
        folder = os.open(self.root, os.O_RDONLY)
        try:
            fcntl.flock(folder, fcntl.LOCK_EX)
            # Both are read under the lock: a build that waited takes what is there now.
            self.python = answer(sys.executable, TELL_PYTHON)
            if self.python is None:
                raise OSError(f"{sys.executable} does not run")
            asked = (self.root / "requirements.txt").read_bytes()
            self.mark = hashlib.sha256(f"{self.python}\n".encode() + asked).hexdigest()
            self.finish_swap()
            for left in [*self.root.glob(".venv.new-*"), *self.root.glob(".venv.old-*")]:
                self.discard(left)
            if not self.whole():
                self.make()
            compiled = [str(self.venv / "bin" / "python"), "-m", "compileall", "-q", "marbleworks"]
            subprocess.run(compiled, cwd=self.root, check=True)
        finally:
            os.close(folder)

    def marked(self, venv: Path) -> str | None:
        try:
            return (venv / MARK).read_text()
        except OSError:
            return None

    def whole(self) -> bool:
        """Whether `.venv` is what is asked for. Marks it if that is found out only now."""
        mark, python = self.marked(self.venv), self.venv / "bin" / "python"
        if mark not in (None, self.mark) or not python.exists():
            return False
        if answer(python, TELL_PYTHON + LOOK_THROUGH, str(self.root / "requirements.txt")) != self.python:
            return False
        if mark is None:
            if not self.satisfied(self.root, self.venv):
                return False
            self.set_mark(self.venv)
            say("the environment was whole, and is marked now")
        return True

    def make(self) -> None:
        token = secrets.token_hex(8)
        new, old = self.root / f".venv.new-{token}", self.root / f".venv.old-{token}"
        say("making the environment")
        try:
            self.install(self.root, new)
            self.move_paths(new)
            self.set_mark(new)
            if os.path.lexists(self.venv):
                self.venv.rename(old)
            new.rename(self.venv)
        except BaseException:
            if not os.path.lexists(self.venv) and os.path.lexists(old):
                old.rename(self.venv)
            self.discard(new)
            raise
        self.discard(old)

    def finish_swap(self) -> None:
        """Guards against a cut between the two renames of `make`: the new one is whole but not in place."""
        for new in self.root.glob(".venv.new-*"):
            if not os.path.lexists(self.venv) and self.marked(new) == self.mark:
                new.rename(self.venv)

    def move_paths(self, new: Path) -> None:
        """Guards against scripts that name the folder they were made in; .ci/run calls pip by its script."""
        for file in [new / "pyvenv.cfg", *new.glob("bin/*")]:
            if file.is_file() and not file.is_symlink():
                held = file.read_bytes()
                moved = held.replace(os.fsencode(new), os.fsencode(self.venv))
                if moved != held:
                    file.write_bytes(moved)

    def set_mark(self, venv: Path) -> None:
        # In two steps: a mark cut short would be a wrong one, and have a whole environment replaced.
        (venv / f"{MARK}.new").write_text(self.mark)
        (venv / f"{MARK}.new").rename(venv / MARK)

    def discard(self, venv: Path) -> None:
        """The mark goes first, so that what is half removed is not taken for whole if this is cut short."""
        if venv.is_symlink() or venv.is_file():
            venv.unlink()
            return
        (venv / MARK).unlink(missing_ok=True)
        # An installer that outlived its build may still write there; what stays, the next build removes.
        shutil.rmtree(venv, ignore_errors=True)


def main() -> None:
    try:
        Build(Path(__file__).resolve().parent.parent).run()
    except (subprocess.CalledProcessError, OSError) as wrong:
        say(f"failed: {wrong}")
        sys.exit(1)


if __name__ == "__main__":
    main()
