"""A disk in memory that fails, cuts and forgets as disks do, and chores and threads that run in step with a
test."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from marbleworks.background.task_runner import TaskSteps, run_to_end
from marbleworks.spool.disk import Disk


@dataclass
class File:
    data: bytearray = field(default_factory=bytearray)  # as a reader sees it
    synced: bytes = b""
    unsynced: list[tuple[int, bytes]] = field(default_factory=list)  # offset and bytes, since the last sync

    def survivor(self, chance: random.Random) -> File:
        """What a machine that lost its power may find: any of the writes, in any order, each perhaps in
        part."""
        data = bytearray(self.synced)
        for offset, written in chance.sample(self.unsynced, len(self.unsynced)):
            part = written[: chance.choice((0, len(written), chance.randrange(len(written) + 1)))]
            if part:
                data.extend(bytes(max(offset + len(part) - len(data), 0)))
                data[offset : offset + len(part)] = part
        return File(data, bytes(data))


class FaultyDisk(Disk):
    """Counts its changes; one of them may fail, and after `cut` no more happen."""

    def __init__(self, fail_at: int = -1, error: int = errno.EIO, cut_at: int = -1) -> None:
        super().__init__("nowhere")
        self.files, self.lasting = dict[str, File](), dict[str, File]()  # lasting: names that a sync has kept
        self.open: dict[int, File] = {}
        self.changes, self.fail_at, self.error, self.cut_at = 0, fail_at, error, cut_at
        self.stalled: Callable[[], object] | None = None  # called before each sync

    @property
    def cut(self) -> bool:
        return 0 <= self.cut_at <= self.changes

    def _change(self) -> None:
        self.changes += 1
        if self.cut:
            raise OSError(errno.EIO, "the power is gone")
        if self.changes == self.fail_at:
            raise OSError(self.error, "as told")

    def survivor(self, chance: random.Random) -> FaultyDisk:
        left = FaultyDisk()
        names = dict(self.lasting)
        if chance.random() < 0.5:  # the folder was written by itself, whole
            names = dict(self.files)
        left.files = {name: file.survivor(chance) for name, file in names.items()}
        left.lasting = dict(left.files)
        return left

    def prepare(self) -> None: ...

    def lock(self, name: str) -> int:
        return -1

    def names(self) -> dict[str, int]:
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
            part = data[: len(data) // 2]  # a part of it may have come to lie there
            file.unsynced.append((len(file.data), part))
            file.data += part
            raise
        file.unsynced.append((len(file.data), data))
        file.data += data

    def sync(self, fd: int) -> None:
        if self.stalled is not None:
            self.stalled()
        file = self.open[fd]
        try:
            self._change()
        except OSError:
            file.unsynced = file.unsynced[
                : len(file.unsynced) // 2
            ]  # the rest is forgotten, though it reads well
            raise
        file.synced, file.unsynced = bytes(file.data), []

    def close(self, fd: int) -> None: ...

    def sync_folder(self) -> None:
        self._change()
        self.lasting = dict(self.files)

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


class InStep:
    """In place of threads: the call is made at once."""

    def __init__(self, size: int) -> None: ...

    def call(self, work: Callable[..., Any], *args: Any) -> Any:
        return work(*args)


class ByHand:
    """In place of the scheduler: a chore runs from start to end when the test says so."""

    def __init__(self) -> None:
        self.steps: dict[str, Callable[[], TaskSteps]] = {}

    def add_periodic(
        self,
        name: str,
        priority: int,
        period: object,
        start: Callable[[], TaskSteps],
        start_within_s: float,
        dedicated: bool = False,
    ) -> None:
        self.steps[name] = start

    def run_soon(self, name: str) -> None: ...

    def run(self, name: str) -> None:
        run_to_end(self.steps[name](), InStep(1))  # type: ignore[arg-type]
