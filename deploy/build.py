"""Builds `.venv` and compiles the modules for `run` and `sim`; a failed build leaves `.venv` as it was.

The build owns `.venv` and everything beside it that is named `.venv.new-*` or `.venv.old-*`. It creates an
environment in a separate folder, writes a marker file into it when it is complete, and only then renames it
to `.venv`. The marker holds a digest of requirements.txt and of the Python. Therefore the build never
installs into `.venv`, never changes an environment that is complete and has the expected marker (a router may
be running from it), and never marks an environment that it has neither created nor verified.

Only one build runs at a time: it holds a lock on the repository's folder. The kernel releases the lock when
the process ends, however it ends, so no lock can become stale; and the lock needs no file. flock(1) and a
lock folder each lack one of these properties. An installer that outlives its killed build holds no lock: the
folder that it writes into has a name that no other build uses, and the next build that finds the folder
removes it.

An environment without a marker (created by hand, by .ci/run or by an earlier version of the build) is
verified: if every pinned requirement and its dependencies are there, each file has its recorded size, and pip
would install nothing more, the build only adds the marker, so that developers keep their tools. Otherwise it
replaces the environment. An environment with another marker is always replaced, since packages that were
dropped from requirements.txt have to go too. One with the expected marker is verified in the same way but
without pip: its Python may be missing, or someone may have installed into it by hand. The build does not
guard against a power failure.
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

# File that marks a complete environment; it holds a digest of what the environment was built for.
MARKER_FILE = "whole"
DESCRIBE_PYTHON_SCRIPT = """
import os, sys
print(sys.version, sys.implementation.name, os.uname().machine)
"""
VERIFY_PACKAGES_SCRIPT = r"""
import csv, re, sys
from importlib.metadata import PackageNotFoundError, distribution

def normalized_name(line):
    return re.sub(r"[-_.]+", "-", re.match(r"[\w.-]*", line)[0]).lower()

pins = [line.split("#")[0].strip() for line in open(sys.argv[1], encoding="utf-8")]
pins = {normalized_name(pin): pin.partition("==")[2] for pin in pins if pin}
queue, seen = list(pins), set()
while queue:
    package = queue.pop()
    if package in seen:
        continue
    seen.add(package)
    try:
        installed = distribution(package)
    except PackageNotFoundError:
        if package in pins:
            sys.exit(f"{package} is not installed")
        continue  # It may be needed only on other systems; pip checks these.
    if pins.get(package) not in (None, "", installed.version):
        sys.exit(f"{package} has version {installed.version}, expected {pins[package]}")
    record = installed.read_text("RECORD")
    if not record:  # Installers write it last.
        sys.exit(f"{package} has no RECORD file")
    for path, _, size in csv.reader(record.splitlines()):
        file = installed.locate_file(path)
        # Scripts change size when an environment is moved; files without a size may be generated again.
        if size and not (file.is_file() and (path.startswith("..") or file.stat().st_size == int(size))):
            sys.exit(f"{package}: {path} is missing or has another size than recorded")
    queue += [normalized_name(line) for line in installed.requires or () if "extra ==" not in line]
"""


def log(line: str) -> None:
    """Prints a line on standard error."""
    print(f"build: {line}", file=sys.stderr, flush=True)


def run_script(python: Path | str, script: str, *args: str) -> str | None:
    """Runs a script in that Python; the last line of its standard error is printed if it fails.

    Returns:
        The script's standard output; None if it cannot be run or fails.
    """
    try:
        completed = subprocess.run([str(python), "-I", "-c", script, *args], capture_output=True, text=True)
    except OSError:
        return None
    if completed.returncode and completed.stderr:
        log(completed.stderr.strip().splitlines()[-1])
    return None if completed.returncode else completed.stdout


def pip(venv: Path) -> list[str]:
    """Returns the command that runs the environment's pip."""
    return [str(venv / "bin" / "python"), "-m", "pip", "-q", "--disable-pip-version-check", "--no-input"]


def install(root: Path, new: Path) -> None:
    """Creates an environment with all of requirements.txt at a path that does not exist yet."""
    subprocess.run([sys.executable, "-m", "venv", "--prompt", ".venv", str(new)], check=True)
    subprocess.run([*pip(new), "install", "-r", "requirements.txt"], cwd=root, check=True)


def is_satisfied(root: Path, venv: Path) -> bool:
    """Returns whether pip finds nothing left to install, without an index; dependencies count too."""
    arguments = "install --dry-run --no-index --only-binary :all: --report - -r requirements.txt".split()
    completed = subprocess.run([*pip(venv), *arguments], cwd=root, capture_output=True, text=True)
    try:
        return completed.returncode == 0 and json.loads(completed.stdout)["install"] == []
    except (ValueError, KeyError):
        return False


class Build:
    """One build of a repository.

    Args:
        root: folder of the repository.
        install: creates an environment for the repository at the given path; tests replace it.
        is_satisfied: returns whether an environment needs no further installation; tests replace it.

    Attributes:
        python: description of the Python that runs the build: version, implementation and machine.
        marker: the digest that the marker file of a complete environment holds.
    """

    def __init__(
        self,
        root: Path,
        install: Callable[[Path, Path], None] = install,
        is_satisfied: Callable[[Path, Path], bool] = is_satisfied,
    ) -> None:
        self.root, self.venv = root, root / ".venv"
        self.install, self.is_satisfied = install, is_satisfied

    def run(self) -> None:
        """Builds the environment if necessary and compiles the modules.

        Raises:
            OSError: Python cannot be run, or a file operation fails.
            subprocess.CalledProcessError: the installation or the compilation fails.
        """
        root_descriptor = os.open(self.root, os.O_RDONLY)
        try:
            fcntl.flock(root_descriptor, fcntl.LOCK_EX)
            # Python and requirements.txt are read under the lock: a waiting build uses their current state.
            self.python = run_script(sys.executable, DESCRIBE_PYTHON_SCRIPT)
            if self.python is None:
                raise OSError(f"{sys.executable} cannot be run")
            requirements = (self.root / "requirements.txt").read_bytes()
            self.marker = hashlib.sha256(f"{self.python}\n".encode() + requirements).hexdigest()
            self.finish_interrupted_swap()
            for leftover in [*self.root.glob(".venv.new-*"), *self.root.glob(".venv.old-*")]:
                self.remove_environment(leftover)
            if not self.is_complete():
                self.replace_environment()
            compile_command = [str(self.venv / "bin" / "python"), "-m", "compileall", "-q", "marbleworks"]
            subprocess.run(compile_command, cwd=self.root, check=True)
        finally:
            os.close(root_descriptor)

    def read_marker(self, venv: Path) -> str | None:
        """Returns the contents of the environment's marker file; None if there is none."""
        try:
            return (venv / MARKER_FILE).read_text()
        except OSError:
            return None

    def is_complete(self) -> bool:
        """Returns whether `.venv` is complete for the current requirements and Python.

        A complete environment that has no marker gets one.
        """
        marker, python = self.read_marker(self.venv), self.venv / "bin" / "python"
        if marker not in (None, self.marker) or not python.exists():
            return False
        if (
            run_script(
                python, DESCRIBE_PYTHON_SCRIPT + VERIFY_PACKAGES_SCRIPT, str(self.root / "requirements.txt")
            )
            != self.python
        ):
            return False
        if marker is None:
            if not self.is_satisfied(self.root, self.venv):
                return False
            self.write_marker(self.venv)
            log("the existing environment is complete and is marked now")
        return True

    def replace_environment(self) -> None:
        """Creates an environment and swaps it for `.venv`; on failure the earlier `.venv` stays."""
        token = secrets.token_hex(8)
        new, old = self.root / f".venv.new-{token}", self.root / f".venv.old-{token}"
        log("creating the environment")
        try:
            self.install(self.root, new)
            self.rewrite_paths(new)
            self.write_marker(new)
            if os.path.lexists(self.venv):
                self.venv.rename(old)
            new.rename(self.venv)
        except BaseException:
            if not os.path.lexists(self.venv) and os.path.lexists(old):
                old.rename(self.venv)
            self.remove_environment(new)
            raise
        self.remove_environment(old)

    def finish_interrupted_swap(self) -> None:
        """Puts the new environment in place if a build was interrupted between its two renames.

        The new environment is complete then, but there is no `.venv`.
        """
        for new in self.root.glob(".venv.new-*"):
            if not os.path.lexists(self.venv) and self.read_marker(new) == self.marker:
                new.rename(self.venv)

    def rewrite_paths(self, new: Path) -> None:
        """Replaces the path of the new folder by that of `.venv` in scripts and in pyvenv.cfg.

        Scripts name the folder they were created in, and .ci/run calls pip by its script.
        """
        for file in [new / "pyvenv.cfg", *new.glob("bin/*")]:
            if file.is_file() and not file.is_symlink():
                original = file.read_bytes()
                rewritten = original.replace(os.fsencode(new), os.fsencode(self.venv))
                if rewritten != original:
                    file.write_bytes(rewritten)

    def write_marker(self, venv: Path) -> None:
        """Writes the marker file of an environment."""
        # Written in two steps: a truncated marker would have a complete environment replaced.
        (venv / f"{MARKER_FILE}.new").write_text(self.marker)
        (venv / f"{MARKER_FILE}.new").rename(venv / MARKER_FILE)

    def remove_environment(self, venv: Path) -> None:
        """Removes an environment.

        The marker goes first, so that an interrupted removal leaves no environment that seems complete.
        """
        if venv.is_symlink() or venv.is_file():
            venv.unlink()
            return
        (venv / MARKER_FILE).unlink(missing_ok=True)
        # An installer that outlived its build may still write there; the next build removes what remains.
        shutil.rmtree(venv, ignore_errors=True)


def main() -> None:
    """Builds the repository that contains this file; exits with 1 on failure."""
    try:
        Build(Path(__file__).resolve().parent.parent).run()
    except (subprocess.CalledProcessError, OSError) as error:
        log(f"failed: {error}")
        sys.exit(1)


if __name__ == "__main__":
    main()
