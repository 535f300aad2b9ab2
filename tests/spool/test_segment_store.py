"""Results on a failing disk: committed results stay complete and unchanged, and no wrong byte is returned."""

import errno
import random
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.ports import ResultNotStoredError
from marbleworks.spool import segment_store as store_module
from marbleworks.spool import service as service_module
from marbleworks.spool.record_codec import (
    CorruptRecordError,
    Record,
    RecordKind,
    ScannedRecord,
    compress_record,
    decode_record,
    decompress_payload,
    scan_records,
)
from marbleworks.spool.recovery import Checkpoint
from marbleworks.spool.service import SpoolService
from marbleworks.subsystems.registry import parse_sections
from tests.support.faulty_disk import FaultyDisk, ManualTaskRunner, SynchronousThreadPool

SETTINGS = parse_sections(
    '(spool (folder "/x") (room 4 MB) (segment 100 KB) (page 6 KB) (share 100 %) (keep 20 s) (unread 20 s)'
    "(longest 60 s) (expect 20 KB))"
)["spool"] | {"segment": 1500.0}
Action = tuple[str, int, int]


class Clock:
    now = 1000.0


class SeededSecrets:
    """Replaces `secrets`, so that each run is the same."""

    def __init__(self) -> None:
        self.rng = random.Random(3)

    def randbits(self, count: int) -> int:
        return self.rng.getrandbits(count)

    def token_urlsafe(self, count: int) -> str:
        return self.rng.randbytes(count).hex()


@pytest.fixture(autouse=True)
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    Clock.now = 1000.0
    monkeypatch.setattr(service_module, "clock", lambda: Clock.now)
    monkeypatch.setattr(service_module.LOG, "error", lambda *args, **details: None)
    monkeypatch.setattr(service_module.LOG, "warning", lambda *args, **details: None)
    monkeypatch.setattr(service_module.LOG, "info", lambda *args, **details: None)
    with gevent.Timeout(60):
        yield


class SpoolScenario:
    """A spool service, and the state it must have, in plain dicts.

    Attributes:
        disk: the disk in memory that the service uses.
        rng: makes the pages.
        committed: pages of each committed result and the earliest time at which it may expire, by token.
        released: pages of released results by token. A power cut may undo a release that is not on disk yet.
        durably_released: tokens whose release is on disk.
        open_writers: reservation, writer and pages of each result that is not committed yet.
    """

    def __init__(self, disk: FaultyDisk) -> None:
        self.disk, self.rng, seeded_secrets = disk, random.Random(5), SeededSecrets()
        store_module.secrets = service_module.secrets = seeded_secrets  # type: ignore[assignment]
        self.committed: dict[str, tuple[list[bytes], float]] = {}
        self.released: dict[str, list[bytes]] = {}
        self.durably_released = set[str]()
        self.open_writers: list[tuple[Any, Any, list[bytes]]] = []
        self.start()

    def start(self) -> None:
        """Starts the service, as a restart of the router does."""
        # The other releases may have been lost with a power cut.
        self.released = {token: self.released[token] for token in self.durably_released}
        self.tasks = ManualTaskRunner()
        self.service = SpoolService(SETTINGS, 5.0, self.tasks, self.disk, SynchronousThreadPool)  # type: ignore[arg-type]

    def perform(self, action_kind: str, index: int, count: int) -> None:
        if action_kind == "store":
            self.begin_writer(1 + count % 4)
            self.finish_writer(-1)
        elif action_kind == "begin":
            self.begin_writer(1 + count % 4)
        elif action_kind == "end":
            if self.open_writers:
                self.finish_writer(index % len(self.open_writers))
        elif action_kind == "advance":
            Clock.now += count
        elif action_kind in ("checkpoint", "compaction", "expiry", "scrub"):
            self.tasks.run(action_kind)
        elif self.committed:
            token = list(self.committed)[index % len(self.committed)]
            pages, min_expiry = self.committed[token]
            if action_kind == "release":
                self.released[token] = pages
                del self.committed[token]
                self.service.release(token, "oslo")
            else:
                answer = self.service.read_page(token, "oslo", 1 + count % len(pages))
                if isinstance(answer, tuple):
                    assert answer[0] == pages[count % len(pages)]
                    self.service.page_delivered()
                    self.committed[token] = pages, min(Clock.now + 20, min_expiry + 40)
                else:
                    assert Clock.now >= min_expiry, (answer, Clock.now, min_expiry)

    def store_result(self, count: int) -> None:
        self.perform("store", 0, count - 1)

    def begin_writer(self, count: int) -> None:
        pages = [self.rng.randbytes(300).hex().encode() + b"\ta\tb\n" for _ in range(count)]
        reservation = self.service.reserve("oslo", "report", b"")
        if reservation.retry_after_s is not None:
            return
        writer = reservation.open_writer()
        try:
            for page in pages:
                writer.write(page * 9, Clock.now + 5)
            gevent.sleep(0)  # lets the writer greenlet write what was submitted
            self.open_writers.append((reservation, writer, [page * 9 for page in pages]))
        except ResultNotStoredError:
            reservation.release()

    def finish_writer(self, index: int) -> None:
        if not self.open_writers:
            return
        reservation, writer, pages = self.open_writers.pop(index)
        try:
            first_page, fields = writer.commit(Clock.now + 5)
        except ResultNotStoredError:
            return
        finally:
            writer.discard()
            reservation.release()
        assert first_page == pages[0] and fields["pages"] == str(len(pages))
        self.committed[fields["spool"]] = pages, Clock.now + 20
        self.durably_released |= self.released.keys()  # written before the commit and synced with it

    def check(self) -> None:
        """Checks that every committed result reads back unchanged, and that the space accounting adds up.

        A released result must be unknown or, after a power cut that undid the release, unchanged.
        """
        for token, (pages, min_expiry) in self.committed.items():
            if Clock.now < min_expiry:
                for number, page in enumerate(pages, 1):
                    answer = self.service.read_page(token, "oslo", number)
                    assert isinstance(answer, tuple) and answer[0] == page, (answer, number)
                    self.service.page_delivered()
        for token, pages in self.released.items():
            answer = self.service.read_page(token, "oslo", 1)
            assert answer == "no such result" or answer[0] == pages[0] and token not in self.durably_released
        held = sum(r.stored_bytes for r in self.service.catalog.results.values())
        assert sum(self.service.allocator.held.values()) == held
        if not self.open_writers:
            assert sum(self.service.allocator.reserved.values()) == 0
        for number, segment in self.service.catalog.segments.items():
            assert 0 <= segment.live_bytes <= segment.size, number


RECORDED_ACTIONS: list[Action] = [
    ("begin", 0, 3),
    ("store", 0, 3),
    ("store", 0, 1),
    ("read", 0, 0),
    ("checkpoint", 0, 0),
    ("end", 0, 0),
    ("store", 0, 2),
    ("begin", 0, 2),
    ("release", 1, 0),
    ("store", 0, 3),
    ("compaction", 0, 0),
    ("end", 0, 0),
    ("store", 0, 0),
    ("begin", 0, 3),
    ("release", 0, 0),
    ("release", 0, 0),
    ("compaction", 0, 0),
    ("read", 0, 1),
    ("advance", 0, 5),
    ("store", 0, 2),
    ("compaction", 0, 0),
    ("checkpoint", 0, 0),
    ("release", 2, 0),
    ("store", 0, 1),
    ("compaction", 0, 0),
    ("compaction", 0, 0),
    ("advance", 0, 18),
    ("expiry", 0, 0),
    ("compaction", 0, 0),
    ("store", 0, 1),
    ("checkpoint", 0, 0),
    ("read", 0, 0),
    ("scrub", 0, 0),
    ("end", 0, 0),
]


def run_actions(actions: list[Action], disk: FaultyDisk) -> SpoolScenario:
    scenario = SpoolScenario(disk)
    for action in actions:
        if disk.power_lost:
            break
        scenario.perform(*action)
    return scenario


def count_disk_changes(actions: list[Action]) -> int:
    disk = FaultyDisk()
    run_actions(actions, disk).check()
    return disk.changes


def cut_power_and_restart(actions: list[Action], power_lost_at: int, seed: int) -> None:
    Clock.now = 1000.0
    scenario = run_actions(actions, FaultyDisk(power_lost_at=power_lost_at))
    scenario.disk, scenario.open_writers = scenario.disk.after_power_failure(random.Random(seed)), []
    if seed % 2:  # the checkpoint is lost as well
        scenario.disk.files.pop("checkpoint", None)
        scenario.disk.files.pop("checkpoint.new", None)
    scenario.start()
    scenario.check()
    before = len(scenario.committed)
    scenario.store_result(3)
    assert len(scenario.committed) == before + 1  # the service still takes results
    scenario.check()


def test_power_cut_at_every_disk_change_of_a_recorded_run_loses_no_committed_result() -> None:
    total = count_disk_changes(RECORDED_ACTIONS)
    assert total > 80  # writes, syncs, renames and deletions
    for power_lost_at in range(1, total + 1):
        for seed in (2 * power_lost_at, 2 * power_lost_at + 1):
            cut_power_and_restart(RECORDED_ACTIONS, power_lost_at, seed)


@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC])
def test_disk_error_at_every_change_of_a_recorded_run_loses_only_uncommitted_results(error: int) -> None:
    for fail_at in range(1, count_disk_changes(RECORDED_ACTIONS) + 1):
        Clock.now = 1000.0
        scenario = run_actions(RECORDED_ACTIONS, FaultyDisk(fail_at, error))
        Clock.now += 10
        scenario.check()
        # A power cut after the error.
        scenario.disk = scenario.disk.after_power_failure(random.Random(fail_at))
        scenario.start()
        scenario.check()


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "store",
                "store",
                "begin",
                "end",
                "read",
                "release",
                "advance",
                "checkpoint",
                "compaction",
                "expiry",
                "scrub",
            ]
        ),
        st.integers(0, 9),
        st.integers(0, 9),
    ),
    max_size=25,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(actions=ACTIONS, cut_share=st.floats(0, 1), seed=st.integers(0, 99))
def test_power_cut_at_any_disk_change_of_any_run_loses_no_committed_result(
    actions: list[Action], cut_share: float, seed: int
) -> None:
    Clock.now = 1000.0
    cut_power_and_restart(actions, max(round(cut_share * count_disk_changes(actions)), 1), seed)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    actions=ACTIONS,
    flips=st.lists(st.tuples(st.floats(0, 1), st.integers(0, 7)), min_size=1, max_size=4),
    restart_after=st.booleans(),
)
def test_flipped_bits_never_return_a_wrong_byte(
    actions: list[Action], flips: list[tuple[float, int]], restart_after: bool
) -> None:
    Clock.now = 1000.0
    scenario = run_actions(actions, FaultyDisk())
    if not restart_after:
        scenario.disk = scenario.disk.after_power_failure(random.Random(1))
        scenario.start()
    for position, bit in flips:
        for file in scenario.disk.files.values():
            if file.data:
                file.data[int(position * (len(file.data) - 1))] ^= 1 << bit
    if restart_after:
        scenario.start()
    for token, (pages, _) in scenario.committed.items():
        for number, page in enumerate(pages, 1):
            answer = scenario.service.read_page(token, "oslo", number)
            if isinstance(answer, tuple):
                assert answer[0] == page
                scenario.service.page_delivered()


def test_a_missing_segment_loses_only_its_own_results() -> None:
    scenario = SpoolScenario(FaultyDisk())
    for _ in range(4):
        scenario.store_result(4)
    names = sorted(name for name in scenario.disk.files if name.startswith("segment"))
    assert len(names) >= 4
    scenario.tasks.run("checkpoint")
    del scenario.disk.files[names[1]]
    scenario.start()
    answers = [scenario.service.read_page(token, "oslo", 1) for token in scenario.committed]
    assert 1 <= sum(answer == "no such result" for answer in answers) < 4
    assert sum(isinstance(answer, tuple) for answer in answers) >= 2


@pytest.mark.parametrize("kind", ["older", "newer", "torn", "none"])
def test_a_checkpoint_that_does_not_match_its_segments_does_no_harm(kind: str) -> None:
    scenario = SpoolScenario(FaultyDisk())
    scenario.store_result(2)
    scenario.tasks.run("checkpoint")
    older = bytes(scenario.disk.files["checkpoint"].data)
    scenario.store_result(3)
    scenario.tasks.run("checkpoint")
    files = scenario.disk.files
    if kind == "older":
        files["checkpoint"].data[:] = older
    elif kind == "torn":
        del files["checkpoint"].data[-9:]
    elif kind == "none":
        del files["checkpoint"]
    else:  # the last segment ends before the checkpoint's position
        last = max(name for name in files if name.startswith("segment"))
        del files[last].data[-100:]
        scenario.start()
        answers = [scenario.service.read_page(token, "oslo", 1) for token in scenario.committed]
        assert sorted(isinstance(answer, tuple) for answer in answers) == [False, True]
        return
    scenario.start()
    scenario.check()
    assert len(scenario.service.catalog.results) == 2


def test_compaction_frees_bytes_and_keeps_drop_records() -> None:
    scenario = SpoolScenario(FaultyDisk())
    for _ in range(12):
        scenario.store_result(4)
    for _ in range(9):
        scenario.perform("release", 0, 0)
    used_before = scenario.service.catalog.used_bytes
    for _ in range(20):
        scenario.tasks.run("compaction")
    scenario.tasks.run("checkpoint")
    assert scenario.service.catalog.used_bytes < 0.5 * used_before
    assert (
        sum(len(f.data) for n, f in scenario.disk.files.items() if n.startswith("segment"))
        == scenario.service.catalog.used_bytes
    )
    scenario.check()
    del scenario.disk.files["checkpoint"]  # a restart has to find the drops in the segments alone
    scenario.start()
    scenario.check()
    assert len(scenario.service.catalog.results) == 3


def test_a_read_error_loses_only_that_result(monkeypatch: pytest.MonkeyPatch) -> None:
    scenario = SpoolScenario(FaultyDisk())
    scenario.store_result(2)
    scenario.store_result(2)
    first_token, second_token = scenario.committed
    damaged = scenario.service.catalog.find(first_token, "oslo", Clock.now)
    assert damaged is not None
    original_read = scenario.disk.read

    def read(name: str, offset: int, count: int) -> bytes:
        if (
            offset == damaged.locations[0] & 0xFFFFFFFF
            and scenario.service.store.file_names[damaged.locations[0] >> 32] == name
        ):
            raise OSError(errno.EIO, "unreadable sector")
        return original_read(name, offset, count)

    monkeypatch.setattr(scenario.disk, "read", read)
    assert scenario.service.read_page(first_token, "oslo", 1) == "the result is lost"
    assert scenario.service.read_page(first_token, "oslo", 2) == "no such result"
    assert isinstance(scenario.service.read_page(second_token, "oslo", 2), tuple)


def test_scrubbing_finds_a_corrupt_page_before_a_reader_does() -> None:
    scenario = SpoolScenario(FaultyDisk())
    for _ in range(4):
        scenario.store_result(4)
    token = next(iter(scenario.committed))
    result = scenario.service.catalog.find(token, "oslo", Clock.now)
    assert result is not None
    name = scenario.service.store.file_names[result.locations[0] >> 32]
    scenario.disk.files[name].data[(result.locations[0] & 0xFFFFFFFF) + 60] ^= 1
    scenario.service.settings = {**scenario.service.settings, "scrub": 1.0}
    for _ in range(20):
        scenario.tasks.run("scrub")
    assert scenario.service.catalog.find(token, "oslo", Clock.now) is None
    assert len(scenario.service.catalog.results) == 3


def test_a_record_is_accepted_only_whole_and_in_its_own_segment() -> None:
    records = [compress_record(RecordKind.PAGE, 7, page, b"x\ty\tz\n" * 50) for page in range(3)]
    data = b"".join(record.encode(11) for record in records)
    found = list(scan_records(lambda offset, count: data[offset : offset + count], len(data), 11))
    assert [f.record.page for f in found if isinstance(f, ScannedRecord) and f.record] == [0, 1, 2]
    assert not [
        f
        for f in scan_records(lambda offset, count: data[offset : offset + count], len(data), 12)
        if isinstance(f, ScannedRecord)
    ]
    with pytest.raises(CorruptRecordError):
        decode_record(records[0].encode(11), 12)
    with pytest.raises(CorruptRecordError):
        # The header states a raw size that is too small.
        decompress_payload(Record(RecordKind.PAGE, 7, 0, records[0].payload, 10))
    with pytest.raises(CorruptRecordError):
        Checkpoint.decode(b"mWc\x01" + b"\0" * 40)
    torn = data[: len(data) // 2] + b"mW\x01" + data[len(data) // 2 + 3 :]
    scanned: list[Any] = list(
        scan_records(lambda offset, count: torn[offset : offset + count], len(torn), 11)
    )
    assert sum(isinstance(f, ScannedRecord) and f.record is not None for f in scanned) == 2


def test_a_drop_record_is_kept_while_records_of_its_result_may_remain() -> None:
    scenario = SpoolScenario(FaultyDisk())
    for _ in range(3):
        scenario.store_result(1)
    first_token = next(iter(scenario.committed))
    scenario.perform("release", 0, 0)
    for _ in range(3):
        scenario.store_result(1)
    for _ in range(3):
        scenario.perform("release", 2, 0)
    for _ in range(3):
        scenario.store_result(1)
    segment = scenario.service.store.file_names[2]
    for _ in range(4):
        scenario.tasks.run("compaction")
    scenario.tasks.run("checkpoint")
    assert segment not in scenario.disk.files and scenario.service.store.file_names[1] in scenario.disk.files
    del scenario.disk.files["checkpoint"]
    scenario.start()
    assert scenario.service.read_page(first_token, "oslo", 1) == "no such result"
    scenario.check()
