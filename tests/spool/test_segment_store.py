"""Results on a disk that fails: what was answered is there, whole and unchanged; a wrong byte never."""

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
from marbleworks.spool import service as keeper_module
from marbleworks.spool.record_codec import (
    CorruptRecordError,
    Entry,
    Found,
    Kind,
    decode,
    packed,
    scan,
    unpacked,
)
from marbleworks.spool.recovery import State
from marbleworks.spool.service import SpoolService
from marbleworks.subsystems.registry import parse_sections
from tests.support.faulty_disk import ByHand, FaultyDisk, InStep

TERMS = parse_sections(
    '(spool (folder "/x") (room 4 MB) (segment 100 KB) (page 6 KB) (share 100 %) (keep 20 s) (unread 20 s)'
    "(longest 60 s) (expect 20 KB))"
)["spool"] | {"segment": 1500.0}
Act = tuple[str, int, int]


class Clock:
    now = 1000.0


class Dice:
    """In place of secrets, so that each run is the same."""

    def __init__(self) -> None:
        self.chance = random.Random(3)

    def randbits(self, count: int) -> int:
        return self.chance.getrandbits(count)

    def token_urlsafe(self, count: int) -> str:
        return self.chance.randbytes(count).hex()


@pytest.fixture(autouse=True)
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    Clock.now = 1000.0
    monkeypatch.setattr(keeper_module, "clock", lambda: Clock.now)
    monkeypatch.setattr(keeper_module.LOG, "error", lambda *args, **facts: None)
    monkeypatch.setattr(keeper_module.LOG, "warning", lambda *args, **facts: None)
    monkeypatch.setattr(keeper_module.LOG, "info", lambda *args, **facts: None)
    with gevent.Timeout(60):
        yield


class Day:
    """A keeper, and beside it a plain dict of what its clients were answered."""

    def __init__(self, disk: FaultyDisk) -> None:
        self.disk, self.chance, dice = disk, random.Random(5), Dice()
        store_module.secrets = keeper_module.secrets = dice  # type: ignore[assignment]
        self.answered: dict[
            str, tuple[list[bytes], float]
        ] = {}  # token: pages, when it may end at the soonest
        self.gone: dict[str, list[bytes]] = {}  # released, but perhaps not on disk yet
        self.gone_for_good = set[str]()
        self.under_way: list[tuple[Any, Any, list[bytes]]] = []
        self.start()

    def start(self) -> None:
        self.gone = {token: self.gone[token] for token in self.gone_for_good}  # the others may have come back
        self.chores = ByHand()
        self.keeper = SpoolService(TERMS, 5.0, self.chores, self.disk, InStep)  # type: ignore[arg-type]

    def act(self, what: str, which: int, count: int) -> None:
        if what == "put":
            self.begin(1 + count % 4)
            self.end(-1)
        elif what == "begin":
            self.begin(1 + count % 4)
        elif what == "end":
            if self.under_way:
                self.end(which % len(self.under_way))
        elif what == "pass":
            Clock.now += count
        elif what in ("checkpoint", "compaction", "expiry", "scrub"):
            self.chores.run(what)
        elif self.answered:
            token = list(self.answered)[which % len(self.answered)]
            pages, ends = self.answered[token]
            if what == "release":
                self.gone[token] = pages
                del self.answered[token]
                self.keeper.release(token, "oslo")
            else:
                said = self.keeper.read_page(token, "oslo", 1 + count % len(pages))
                if isinstance(said, tuple):
                    assert said[0] == pages[count % len(pages)]
                    self.keeper.page_delivered()
                    self.answered[token] = pages, min(Clock.now + 20, ends + 40)
                else:
                    assert Clock.now >= ends, (said, Clock.now, ends)

    def put(self, count: int) -> None:
        self.act("put", 0, count - 1)

    def begin(self, count: int) -> None:
        pages = [self.chance.randbytes(300).hex().encode() + b"\ta\tb\n" for _ in range(count)]
        tray = self.keeper.reserve("oslo", "report", b"")
        if tray.retry_after_s is not None:
            return
        sheet = tray.open_writer()
        try:
            for page in pages:
                sheet.write(page * 9, Clock.now + 5)
            gevent.sleep(0)  # what was submitted is written
            self.under_way.append((tray, sheet, [page * 9 for page in pages]))
        except ResultNotStoredError:
            tray.release()

    def end(self, which: int) -> None:
        if not self.under_way:
            return
        tray, sheet, pages = self.under_way.pop(which)
        try:
            first, told = sheet.commit(Clock.now + 5)
        except ResultNotStoredError:
            return
        finally:
            sheet.discard()
            tray.release()
        assert first == pages[0] and told["pages"] == str(len(pages))
        self.answered[told["spool"]] = pages, Clock.now + 20
        self.gone_for_good |= self.gone.keys()  # they were written before, and made durable with this

    def holds(self) -> None:
        """All that was answered reads as it was; what is over is unknown or, after a cut, still right."""
        for token, (pages, ends) in self.answered.items():
            if Clock.now < ends:
                for number, page in enumerate(pages, 1):
                    said = self.keeper.read_page(token, "oslo", number)
                    assert isinstance(said, tuple) and said[0] == page, (said, number)
                    self.keeper.page_delivered()
        for token, pages in self.gone.items():
            said = self.keeper.read_page(token, "oslo", 1)
            assert said == "no such result" or said[0] == pages[0] and token not in self.gone_for_good
        held = sum(r.stored for r in self.keeper.catalogue.results.values())
        assert sum(self.keeper.ledger.held.values()) == held
        if not self.under_way:
            assert sum(self.keeper.ledger.reserved.values()) == 0
        for number, segment in self.keeper.catalogue.segments.items():
            assert 0 <= segment.live <= segment.size, number


RECORDED: list[Act] = [
    ("begin", 0, 3),
    ("put", 0, 3),
    ("put", 0, 1),
    ("read", 0, 0),
    ("checkpoint", 0, 0),
    ("end", 0, 0),
    ("put", 0, 2),
    ("begin", 0, 2),
    ("release", 1, 0),
    ("put", 0, 3),
    ("compaction", 0, 0),
    ("end", 0, 0),
    ("put", 0, 0),
    ("begin", 0, 3),
    ("release", 0, 0),
    ("release", 0, 0),
    ("compaction", 0, 0),
    ("read", 0, 1),
    ("pass", 0, 5),
    ("put", 0, 2),
    ("compaction", 0, 0),
    ("checkpoint", 0, 0),
    ("release", 2, 0),
    ("put", 0, 1),
    ("compaction", 0, 0),
    ("compaction", 0, 0),
    ("pass", 0, 18),
    ("expiry", 0, 0),
    ("compaction", 0, 0),
    ("put", 0, 1),
    ("checkpoint", 0, 0),
    ("read", 0, 0),
    ("scrub", 0, 0),
    ("end", 0, 0),
]


def play(acts: list[Act], disk: FaultyDisk) -> Day:
    day = Day(disk)
    for act in acts:
        if disk.cut:
            break
        day.act(*act)
    return day


def changes_of(acts: list[Act]) -> int:
    disk = FaultyDisk()
    play(acts, disk).holds()
    return disk.changes


def cut_and_come_back(acts: list[Act], cut_at: int, seed: int) -> None:
    Clock.now = 1000.0
    day = play(acts, FaultyDisk(cut_at=cut_at))
    day.disk, day.under_way = day.disk.survivor(random.Random(seed)), []
    if seed % 2:  # and the checkpoint is gone
        day.disk.files.pop("checkpoint", None)
        day.disk.files.pop("checkpoint.new", None)
    day.start()
    day.holds()
    before = len(day.answered)
    day.put(3)
    assert len(day.answered) == before + 1  # and it goes on
    day.holds()


def test_a_cut_at_every_change_of_a_recorded_run_loses_nothing_answered() -> None:
    total = changes_of(RECORDED)
    assert total > 80  # writes, syncs, renames and all
    for cut_at in range(1, total + 1):
        for seed in (2 * cut_at, 2 * cut_at + 1):
            cut_and_come_back(RECORDED, cut_at, seed)


@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC])
def test_an_error_at_every_change_of_a_recorded_run_costs_only_what_was_under_way(error: int) -> None:
    for fail_at in range(1, changes_of(RECORDED) + 1):
        Clock.now = 1000.0
        day = play(RECORDED, FaultyDisk(fail_at, error))
        Clock.now += 10
        day.holds()
        day.disk = day.disk.survivor(random.Random(fail_at))  # and the power goes as well
        day.start()
        day.holds()


ACTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "put",
                "put",
                "begin",
                "end",
                "read",
                "release",
                "pass",
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
@given(acts=ACTS, part=st.floats(0, 1), seed=st.integers(0, 99))
def test_a_cut_at_any_change_of_any_run_loses_nothing_answered(
    acts: list[Act], part: float, seed: int
) -> None:
    Clock.now = 1000.0
    cut_and_come_back(acts, max(round(part * changes_of(acts)), 1), seed)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    acts=ACTS,
    flips=st.lists(st.tuples(st.floats(0, 1), st.integers(0, 7)), min_size=1, max_size=4),
    old=st.booleans(),
)
def test_flipped_bits_cost_the_results_they_hit_and_never_give_a_wrong_byte(
    acts: list[Act], flips: list[tuple[float, int]], old: bool
) -> None:
    Clock.now = 1000.0
    day = play(acts, FaultyDisk())
    if not old:
        day.disk = day.disk.survivor(random.Random(1))
        day.start()
    for where, bit in flips:
        for file in day.disk.files.values():
            if file.data:
                file.data[int(where * (len(file.data) - 1))] ^= 1 << bit
    if old:
        day.start()
    for token, (pages, _) in day.answered.items():
        for number, page in enumerate(pages, 1):
            said = day.keeper.read_page(token, "oslo", number)
            if isinstance(said, tuple):
                assert said[0] == page
                day.keeper.page_delivered()


def test_a_segment_that_is_missing_costs_its_results_alone() -> None:
    day = Day(FaultyDisk())
    for _ in range(4):
        day.put(4)
    names = sorted(name for name in day.disk.files if name.startswith("segment"))
    assert len(names) >= 4
    day.chores.run("checkpoint")
    del day.disk.files[names[1]]
    day.start()
    said = [day.keeper.read_page(token, "oslo", 1) for token in day.answered]
    assert 1 <= sum(one == "no such result" for one in said) < 4
    assert sum(isinstance(one, tuple) for one in said) >= 2


@pytest.mark.parametrize("kind", ["older", "newer", "torn", "none"])
def test_a_checkpoint_that_does_not_fit_its_segments_is_no_harm(kind: str) -> None:
    day = Day(FaultyDisk())
    day.put(2)
    day.chores.run("checkpoint")
    older = bytes(day.disk.files["checkpoint"].data)
    day.put(3)
    day.chores.run("checkpoint")
    files = day.disk.files
    if kind == "older":
        files["checkpoint"].data[:] = older
    elif kind == "torn":
        del files["checkpoint"].data[-9:]
    elif kind == "none":
        del files["checkpoint"]
    else:  # the last segment is as it was before what the checkpoint knows
        last = max(name for name in files if name.startswith("segment"))
        del files[last].data[-100:]
        day.start()
        firsts = [day.keeper.read_page(token, "oslo", 1) for token in day.answered]
        assert sorted(isinstance(one, tuple) for one in firsts) == [False, True]
        return
    day.start()
    day.holds()
    assert len(day.keeper.catalogue.results) == 2


def test_emptied_segments_give_their_bytes_back_and_drops_outlast_them() -> None:
    day = Day(FaultyDisk())
    for _ in range(12):
        day.put(4)
    for _ in range(9):
        day.act("release", 0, 0)
    most = day.keeper.catalogue.used
    for _ in range(20):
        day.chores.run("compaction")
    day.chores.run("checkpoint")
    assert day.keeper.catalogue.used < 0.5 * most
    assert (
        sum(len(f.data) for n, f in day.disk.files.items() if n.startswith("segment"))
        == day.keeper.catalogue.used
    )
    day.holds()
    del day.disk.files["checkpoint"]  # from the segments alone, what was released stays so
    day.start()
    day.holds()
    assert len(day.keeper.catalogue.results) == 3


def test_a_read_error_costs_that_result_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    day = Day(FaultyDisk())
    day.put(2)
    day.put(2)
    one, other = day.answered
    bad = day.keeper.catalogue.find(one, "oslo", Clock.now)
    assert bad is not None
    good_read = day.disk.read

    def read(name: str, offset: int, count: int) -> bytes:
        if offset == bad.places[0] & 0xFFFFFFFF and day.keeper.store.names[bad.places[0] >> 32] == name:
            raise OSError(errno.EIO, "a bad sector")
        return good_read(name, offset, count)

    monkeypatch.setattr(day.disk, "read", read)
    assert day.keeper.read_page(one, "oslo", 1) == "the result is lost"
    assert day.keeper.read_page(one, "oslo", 2) == "no such result"
    assert isinstance(day.keeper.read_page(other, "oslo", 2), tuple)


def test_scrubbing_finds_what_is_spoilt_before_its_reader_does() -> None:
    day = Day(FaultyDisk())
    for _ in range(4):
        day.put(4)
    token = next(iter(day.answered))
    result = day.keeper.catalogue.find(token, "oslo", Clock.now)
    assert result is not None
    name = day.keeper.store.names[result.places[0] >> 32]
    day.disk.files[name].data[(result.places[0] & 0xFFFFFFFF) + 60] ^= 1
    day.keeper.terms = {**day.keeper.terms, "scrub": 1.0}
    for _ in range(20):
        day.chores.run("scrub")
    assert day.keeper.catalogue.find(token, "oslo", Clock.now) is None
    assert len(day.keeper.catalogue.results) == 3


def test_a_record_is_read_in_its_place_only() -> None:
    entries = [packed(Kind.PAGE, 7, page, b"x\ty\tz\n" * 50) for page in range(3)]
    data = b"".join(entry.encode(11) for entry in entries)
    found = list(scan(lambda at, count: data[at : at + count], len(data), 11))
    assert [f.entry.page for f in found if isinstance(f, Found) and f.entry] == [0, 1, 2]
    assert not [
        f for f in scan(lambda at, count: data[at : at + count], len(data), 12) if isinstance(f, Found)
    ]
    with pytest.raises(CorruptRecordError):
        decode(entries[0].encode(11), 12)
    with pytest.raises(CorruptRecordError):
        unpacked(Entry(Kind.PAGE, 7, 0, entries[0].frame, 10))  # a head that lies about the size
    with pytest.raises(CorruptRecordError):
        State.decode(b"mWc\x01" + b"\0" * 40)
    torn = data[: len(data) // 2] + b"mW\x01" + data[len(data) // 2 + 3 :]
    kinds: list[Any] = list(scan(lambda at, count: torn[at : at + count], len(torn), 11))
    assert sum(isinstance(f, Found) and f.entry is not None for f in kinds) == 2


def test_a_drop_outlasts_its_own_segment_while_what_it_drops_may_still_be_found() -> None:
    day = Day(FaultyDisk())
    for _ in range(3):
        day.put(1)
    first = next(iter(day.answered))
    day.act("release", 0, 0)
    for _ in range(3):
        day.put(1)
    for _ in range(3):
        day.act("release", 2, 0)
    for _ in range(3):
        day.put(1)
    segment = day.keeper.store.names[2]
    for _ in range(4):
        day.chores.run("compaction")
    day.chores.run("checkpoint")
    assert segment not in day.disk.files and day.keeper.store.names[1] in day.disk.files
    del day.disk.files["checkpoint"]
    day.start()
    assert day.keeper.read_page(first, "oslo", 1) == "no such result"
    day.holds()
