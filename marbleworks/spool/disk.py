"""All that the spool asks of a file system, in one place, so that a test can put another in its stead.

It owns nothing but the calls. It must never retry or hide an error: OSError goes up as it came.
"""

from __future__ import annotations

import contextlib
import fcntl
import os


class Disk:
    """Files of one folder, by name."""

    def __init__(self, folder: str) -> None:
        self.folder = folder

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def prepare(self) -> None:
        os.makedirs(self.folder, mode=0o700, exist_ok=True)

    def lock(self, name: str) -> int:
        """A descriptor that holds the folder; raises BlockingIOError where another process does."""
        fd = os.open(self._path(name), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise
        return fd

    def names(self) -> dict[str, int]:
        """The files and their sizes."""
        with os.scandir(self.folder) as found:
            return {entry.name: entry.stat().st_size for entry in found if entry.is_file()}

    def create(self, name: str) -> int:
        return os.open(self._path(name), os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)

    def write(self, fd: int, data: bytes) -> None:
        with memoryview(data) as view:
            at = 0
            while at < len(view):
                at += os.write(fd, view[at:])

    def sync(self, fd: int) -> None:
        os.fdatasync(fd)

    def close(self, fd: int) -> None:
        os.close(fd)

    def sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def read(self, name: str, offset: int, count: int) -> bytes:
        """So many bytes, fewer at the end of the file."""
        fd = os.open(self._path(name), os.O_RDONLY | os.O_CLOEXEC)
        try:
            return os.pread(fd, count, offset)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        os.rename(self._path(old), self._path(new))

    def unlink(self, name: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path(name))
