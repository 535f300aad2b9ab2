"""An in-memory disk that injects faults, and replacements for the task runner and threads.

The disk can fail a write, lose power, and lose writes that were not synced. The replacements run tasks and
calls synchronously, so that a test controls their order.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from marbleworks.background.task_runner import TaskSteps, run_all_steps
from marbleworks.spool.disk import Disk


@dataclass
class File:
    """A file of the disk.

    Attributes:
        data: Content as a reader sees it.
        synced: Content at the last sync.
        unsynced: Offset and bytes of each write since the last sync.
    """

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""
    unsynced: list[tuple[int, bytes]] = field(default_factory=list)

    def after_power_failure(self, rng: random.Random) -> File:
        """Returns a possible state after a power failure.

        Any of the writes since the last sync may be there, in any order, and each may be incomplete.
        """
        data = bytearray(self.synced)
        for offset, written in rng.sample(self.unsynced, len(self.unsynced)):
            part = written[: rng.choice((0, len(written), rng.randrange(len(written) + 1)))]
            if part:
                data.extend(bytes(max(offset + len(part) - len(data), 0)))
                data[offset : offset + len(part)] = part
        return File(data, bytes(data))


class FaultyDisk(Disk):
    """A disk in memory that counts changes, can fail one of them, and can lose power.

    Attributes:
        files: Files as a reader sees them, keyed by name.
        synced_names: Files by the names that the last sync of the folder made durable.
        open: Open files, keyed by file descriptor.
        changes: Number of changes tried so far.
        fail_at: Number of the change that fails; -1 for none.
        error: Error number of the failure.
        power_lost_at: Number of the first change that fails because the power is lost; -1 for none.
        before_sync: Called before each sync; None for nothing.
    """

    def __init__(self, fail_at: int = -1, error: int = errno.EIO, power_lost_at: int = -1) -> None:
        super().__init__("nowhere")
        self.files, self.synced_names = dict[str, File](), dict[str, File]()
        self.open: dict[int, File] = {}
        self.changes, self.fail_at, self.error, self.power_lost_at = 0, fail_at, error, power_lost_at
        self.before_sync: Callable[[], object] | None = None

    @property
    def power_lost(self) -> bool:
        """Whether the power is lost."""
        return 0 <= self.power_lost_at <= self.changes

    def _change(self) -> None:
        self.changes += 1
        if self.power_lost:
            raise OSError(errno.EIO, "simulated power failure")
        if self.changes == self.fail_at:
            raise OSError(self.error, "injected fault")

    def after_power_failure(self, rng: random.Random) -> FaultyDisk:
        """Returns a possible state of the disk after a power failure."""
        disk_after_failure = FaultyDisk()
        names = dict(self.synced_names)
        if rng.random() < 0.5:  # the host wrote the whole folder without a sync
            names = dict(self.files)
        disk_after_failure.files = {name: file.after_power_failure(rng) for name, file in names.items()}
        disk_after_failure.synced_names = dict(disk_after_failure.files)
        return disk_after_failure

    def prepare(self) -> None: ...

    def lock(self, name: str) -> int:
        return -1

    def list_files(self) -> dict[str, int]:
        return {name: len(file.data) for name, file in self.files.items()}

    def create(self, name: str) -> int:
        self._change()
        assert name not in self.files
        self.files[name] = file = File()
        fd = len(self.open) + 1
        self.open[fd] = file
        return fd

    def write(self, fd: int, data: bytes) -> None:
        file = self.open[fd]
        try:
            self._change()
        except OSError:
            part = data[: len(data) // 2]  # a failed write may have written a part
            file.unsynced.append((len(file.data), part))
            file.data += part
            raise
        file.unsynced.append((len(file.data), data))
        file.data += data

    def sync(self, fd: int) -> None:
        if self.before_sync is not None:
            self.before_sync()
        file = self.open[fd]
        try:
            self._change()
        except OSError:
            # A failed sync may lose writes that can still be read.
            file.unsynced = file.unsynced[: len(file.unsynced) // 2]
            raise
        file.synced, file.unsynced = bytes(file.data), []

    def close(self, fd: int) -> None: ...

    def sync_folder(self) -> None:
        self._change()
        self.synced_names = dict(self.files)

    def read(self, name: str, offset: int, count: int) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, name)
        return bytes(self.files[name].data[offset : offset + count])

    def rename(self, old: str, new: str) -> None:
        self._change()
        self.files[new] = self.files.pop(old)

    def unlink(self, name: str) -> None:
        self._change()
        self.files.pop(name, None)


class SynchronousThreadPool:
    """Replacement for the thread pool: makes each call at once in the caller's greenlet."""

    def __init__(self, size: int) -> None: ...

    def call(self, call: Callable[..., Any], *args: Any) -> Any:
        return call(*args)


class ManualTaskRunner:
    """Replacement for the runner of background tasks: a task runs to its end when the test calls `run`.

    Attributes:
        tasks: Functions that start the registered tasks, keyed by name.
    """

    def __init__(self) -> None:
        self.tasks: dict[str, Callable[[], TaskSteps]] = {}

    def add_periodic_task(
        self,
        name: str,
        priority: int,
        period: object,
        start: Callable[[], TaskSteps],
        start_within_s: float,
        dedicated: bool = False,
    ) -> None:
        self.tasks[name] = start

    def run_now(self, name: str) -> None: ...

    def run(self, name: str) -> None:
        run_all_steps(self.tasks[name](), SynchronousThreadPool(1))  # type: ignore[arg-type]
