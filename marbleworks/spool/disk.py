"""All file system calls of the spool, in one class that a test can replace.

It must never retry a call or hide an error: OSError reaches the caller unchanged.
"""

from __future__ import annotations

import contextlib
import fcntl
import os


class Disk:
    """The files of one folder, by name.

    Attributes:
        folder: path of the folder.
    """

    def __init__(self, folder: str) -> None:
        self.folder = folder

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def prepare(self) -> None:
        """Creates the folder if it does not exist."""
        os.makedirs(self.folder, mode=0o700, exist_ok=True)

    def lock(self, name: str) -> int:
        """Locks the folder until the descriptor that is returned is closed.

        Raises:
            BlockingIOError: Another process holds the lock.
        """
        fd = os.open(self._path(name), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise
        return fd

    def list_files(self) -> dict[str, int]:
        """Returns the size in bytes of each file, by name."""
        with os.scandir(self.folder) as entries:
            return {entry.name: entry.stat().st_size for entry in entries if entry.is_file()}

    def create(self, name: str) -> int:
        """Creates a file that must not exist yet, and returns its descriptor for writing."""
        return os.open(self._path(name), os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)

    def write(self, fd: int, data: bytes) -> None:
        """Writes all of the data."""
        with memoryview(data) as view:
            written = 0
            while written < len(view):
                written += os.write(fd, view[written:])

    def sync(self, fd: int) -> None:
        """Makes the file's contents durable."""
        os.fdatasync(fd)

    def close(self, fd: int) -> None:
        """Closes a descriptor."""
        os.close(fd)

    def sync_folder(self) -> None:
        """Makes the folder's entries durable: files created, renamed and deleted."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def read(self, name: str, offset: int, count: int) -> bytes:
        """Reads `count` bytes from an offset, or fewer at the end of the file."""
        fd = os.open(self._path(name), os.O_RDONLY | os.O_CLOEXEC)
        try:
            return os.pread(fd, count, offset)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing one that has the new name."""
        os.rename(self._path(old), self._path(new))

    def unlink(self, name: str) -> None:
        """Deletes a file; without effect if it does not exist."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path(name))
