"""Golden bytes: what routers tell each other and keep on disk, byte for byte as commit 90fb536 wrote it.

Names in the code may change; these bytes may not, unless a format's version goes up with them. GOLD holds
them as hex. The folder data/spool-90fb536 was written by `make_folder` below with the code of that commit:

    PYTHONPATH=. python tests/test_golden_bytes.py tests/data
"""

import hashlib
import json
import shutil
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import zstandard

from marbleworks.background.options import BackgroundOptions
from marbleworks.background.task_runner import TaskRunner
from marbleworks.budgets import codec as budgets
from marbleworks.cells import budget_leases
from marbleworks.cells.plan import Cell, Loan, Part, Plan
from marbleworks.fair_queue.peer_usage import PeerUsage, name_hash
from marbleworks.membership import codec as peers
from marbleworks.model import LoadReport
from marbleworks.spool import record_codec as record
from marbleworks.spool.catalog import Catalog, Lifetimes, Result, digest
from marbleworks.spool.disk import Disk
from marbleworks.spool.maintenance import checked, listed
from marbleworks.spool.options import SPOOL_SECTION
from marbleworks.spool.recovery import State, end_of
from marbleworks.spool.segment_store import SegmentStore
from marbleworks.spool.service import SpoolService
from tests.support.stand_ins import RULES, Stage

GROUP, ROUTERS = 0xC0FFEE12, 40
KEY = b"a key of 24 bytes, plain"
SALT, NUMBER = 0x0123456789ABCDEF, 0xFEDCBA9876543210
ROWS = b"1\tvan\tpiano\n2\tvan\torgan\n" * 8
DATA = Path(__file__).parent / "data"
FOLDER = DATA / "spool-90fb536"
WHOLE_FOLDER_LIVES = 1e12  # seconds: no result of the kept folder ever ends

GOLD: dict[str, str] = {
    "membership 1": (
        "d10212eeffc0c5fea1b58b000101cf000000edf3f26c0002cd0201030c04cedeadbeef05cf000000ffffffffff062a07"
        "010accfa08952b282701cd05dc09949403cf000000edf3f26c7b00009427cf000000edf3f26dc80101940005ce000111"
        "70029411060203"
    ),
    "membership 2": (
        "d10212eeffc02a443b2e8b000201cf000000edf3f26c0002cd0201030c04cedeadbeef05cf000000ffffffffff062a07"
        "010accfa08952b282701cd05dc09949403cf000000edf3f26c7b00009427cf000000edf3f26dc80101940005ce000111"
        "70029411060203"
    ),
    "membership 3": (
        "d10212eeffc0b02f62ee8b000301cf000000edf3f26c0002cd0201030c04cedeadbeef05cf000000ffffffffff062a07"
        "010accfa08952b282701cd05dc09949403cf000000edf3f26c7b00009427cf000000edf3f26dc80101940005ce000111"
        "70029411060203"
    ),
    "membership 4": (
        "d10212eeffc0b5377fc28b000401cf000000edf3f26c0002cd0201030c04cedeadbeef05cf000000ffffffffff062a07"
        "010accfa08952b282701cd05dc09949403cf000000edf3f26c7b00009427cf000000edf3f26dc80101940005ce000111"
        "70029411060203"
    ),
    "membership 5": (
        "d10212eeffc02f5c26028b000501cf000000edf3f26c0002cd0201030c04cedeadbeef05cf000000ffffffffff062a07"
        "010accfa08952b282701cd05dc09949403cf000000edf3f26c7b00009427cf000000edf3f26dc80101940005ce000111"
        "70029411060203"
    ),
    "membership 6": (
        "d10212eeffc0c0e6bc998b000601cf000000edf3f26c0002cd0201030c04cedeadbeef05cf000000ffffffffff062a07"
        "010accfa08952b282701cd05dc09949403cf000000edf3f26c7b00009427cf000000edf3f26dc80101940005ce000111"
        "70029411060203"
    ),
    "membership 7": (
        "d10212eeffc05a8de5598b000701cf000000edf3f26c0002cd0201030c04cedeadbeef05cf000000ffffffffff062a07"
        "010accfa08952b282701cd05dc09949403cf000000edf3f26c7b00009427cf000000edf3f26dc80101940005ce000111"
        "70029411060203"
    ),
    "membership 8": (
        "d10212eeffc0cad686c18b000801cf000000edf3f26c0002cd0201030c04cedeadbeef05cf000000ffffffffff062a07"
        "010accfa08952b282701cd05dc09949403cf000000edf3f26c7b00009427cf000000edf3f26dc80101940005ce000111"
        "70029411060203"
    ),
    "membership 9": (
        "d10212eeffc050bddf018b000901cf000000edf3f26c0002cd0201030c04cedeadbeef05cf000000ffffffffff062a07"
        "010accfa08952b282701cd05dc09949403cf000000edf3f26c7b00009427cf000000edf3f26dc80101940005ce000111"
        "70029411060203"
    ),
    "membership bare": "d10212eeffc0345dfdf28200030107",
    "budgets report": (
        "d20112eeffc0a4301a068a08ccfa000001cf000000edf3f26c0002ce0001000003cf000000edf3f26c7b040405cedead"
        "beef060909929900077850cd012ccce1cd0fa064cc8c99050000000100cd1b5809000701"
    ),
    "budgets answer": (
        "d20112eeffc029c5e16885000101cf000000edf3f26c7b02ce0001000006090992940008cc82cd0fa094050100ce0001"
        "1170"
    ),
    "door summary": "d0030201410157dac272ffffa8aee1bbee027394ae6d7d00",
    "engine news": "4362bffe34",
    "engine news, full": "4362bffeff",
    "plan": (
        "84000101c420370ba7bfc997cdeb03a4d7cbfd159c45d58cda6b307f3d89c77fefd9bc43afde02c46986000701cedead"
        "beef021403cd012d049295a46561737492a26531a26532cd17709392000492010092cd012c03c410fc072462470cce08"
        "e3b1b141a6812f6f95a47765737491a27731cd0fa091920204c4106ff1642601a38aea45843d91758afe1a0591920ecd"
        "012c0382a465617374c47e880092a26531a265320193930092000101930191010093cd012c91000102939300a0930400"
        "029300a56c61726765930400cdffff9301a0930401040392920091a8726f757465722d32920192a8726f757465722d31"
        "a8726f757465722d33049192cd012c91a8656e67696e652d3905919300a67265706f72740206060703a477657374c419"
        "880091a2773101919302910001029003900490059006000700"
    ),
    "plan, excerpt": (
        "84000101c420370ba7bfc997cdeb03a4d7cbfd159c45d58cda6b307f3d89c77fefd9bc43afde02c46986000701cedead"
        "beef021403cd012d049295a46561737492a26531a26532cd17709392000492010092cd012c03c410fc072462470cce08"
        "e3b1b141a6812f6f95a47765737491a27731cd0fa091920204c4106ff1642601a38aea45843d91758afe1a0591920ecd"
        "012c0381a477657374c419880091a2773101919302910001029003900490059006000700"
    ),
    "record page": (
        "6d5701011032547698badcfe01000000c00000002c00000017c72a42ccd1bebaf2879a1ea44b620328b52ffd24c0fd00"
        "00a0310976616e097069616e6f0a326f7267616e0a3103009f9d0440332e942fd1de42f5"
    ),
    "record empty page": ("6d5701011032547698badcfe0000000000000000000000005c9c081b5aa31cccb2fccb25938d4cc8"),
    "record end": (
        "6d5701021032547698badcfe020000002a000000370000001d94b783f1600a20a175f3981f0e291528b52ffd242a5101"
        "0097c410000102030405060708090a0b0c0d0e0fa461636d65a46c6f6f6bcb41d9a8e8a010000010ccc002499e7bba"
    ),
    "record drop": ("6d5701031032547698badcfe0400000000000000000000005c9c081b5aa31ccc6db84adb9e6a42dd"),
    "checkpoint": (
        "6d5763015681b9df0704018f28b52ffd20cfd50300b40695010450929acffedcba9876543210c4100001020304050607"
        "08090a0b0c0d0e0fa461636d65a46c6f6f6bcb41d9a8e8a010000010ccc002c41828000000030000008c04000000c40c"
        "640000005a000000500000009a08919209929300cf289301cf00000004000000503c04007a10865b01192c18e61633"
    ),
}
GROUP_OF_TEXT = 0x5E6D2102
ACME, GLOBEX, INITECH = 0x6DAE9473, 0xBBE1AEA8, 0x72C2DA57
PLAN_DIGEST = "1e18be06ae5e35e25d1708f2f2f15242"
HOMES = [2, 300, 2, 300, 2, 300, 0, 0, 300, 300, 300, 2]
ROUTER_CELLS = [300, 1, 0, 1, 300, 0, 0, 0, 0, 0, 0, 300]
ENGINE_CELLS = [300, 300, 300, 300, 300, 300, 300, 300, 300, 300, 300, 300]
END_HOLDS = bytes.fromhex(
    "97c410000102030405060708090a0b0c0d0e0fa461636d65a46c6f6f6bcb41d9a8e8a010000010ccc002"
)
CHECKPOINT_HOLDS = (
    "95010450929acffedcba9876543210c410000102030405060708090a0b0c0d0e0fa461636d65a46c6f6f6bcb41d9a8e8"
    "a010000010ccc002c41828000000030000008c000000030000000000000004000000c40c640000005a00000050000000"
    "9a08c410000102030405060708090a0b0c0d0e0fa461636d65a46c6f6f6bcb41d9a8e8a010000010ccc002c418280000"
    "00030000008c000000030000000000000004000000c40c640000005a00000050000000919209929300cf000000030000"
    "0000289301cf00000004000000503c"
)
FILES = {  # of the kept folder: what their SHA-256 begins with
    "checkpoint": "692d8130c5381a3d",
    "lock": "e3b0c44298fc1c14",
    "segment-00000001-089239d2f76c75d4.log": "50ed648abd346704",
    "segment-00000002-723c253e705c747c.log": "42891ecdd05f1b28",
}
CHECKED = (["22 records, 4 results, 0 spoilt, 0 lost"], True)
LISTED = "4 results, 33931 bytes in 2 segments"


# What the bytes say.


def message(what: int) -> peers.Message:
    """With a value other than the usual one in each field."""
    news = (
        peers.MemberUpdate(1_022_000_000_123, 0, peers.MemberState(0), 3),
        peers.MemberUpdate(1_022_000_000_456, 1, peers.MemberState(1), 39),
        peers.MemberUpdate(5, 70_000, peers.MemberState(2), 0),
        peers.MemberUpdate(6, 2, peers.MemberState(3), 17),
    )
    return peers.Message(
        peers.MessageType(what),
        1_022_000_000_000,
        513,
        12,
        0xDEADBEEF,
        1_099_511_627_775,
        42,
        True,
        peers.QuotaDivision(43, 40, 39, True, 1500),
        250,
        news,
    )


BARE = peers.Message(peers.MessageType(3), 7)
REPORT = budgets.BudgetReport(
    1_022_000_000_000,
    1_022_000_000_123,
    9,
    65_536,
    4,
    0xDEADBEEF,
    True,
    250,
    (
        budgets.BudgetUsage(0, 7, 120, 80, 300, 2.25, 4000, 100, 140),
        budgets.BudgetUsage(5, 0, 0, 0, 1, 0.0, 7000, 9, 0),
    ),
)
ANSWER = budgets.BudgetAnswer(
    1_022_000_000_123, 9, 65_536, (budgets.BudgetGrant(0, 8, 130, 4000), budgets.BudgetGrant(5, 1, 0, 70_000))
)


def summary() -> bytes:
    shares = PeerUsage()
    for name, work in (("acme", 1.25), ("globex", 7.5), ("", 0.005), ("initech", 1e6)):
        shares.add(name_hash(name), work)
    shares.number = 0x0101
    return shares.summary(3.21) or b""


def engine_news(report: LoadReport) -> bytes:
    """What a router tells its peers of engine-1 after this report."""
    stage = Stage(rules=replace(RULES, allows_peer_messages=True))
    stage.gateway.on_probe_result(1, True, report)
    [told] = [asked[1] for asked in stage.port.asked if asked[0] == "tell"]
    assert isinstance(told, bytes)
    return told


def plan() -> Plan:
    east = Part(
        (Cell(0, ("e1", "e2")), Cell(1, ("e2",), False), Cell(300, ("e1",))),
        {("e1", ""): (4, 0, 2), ("e1", "large"): (4, 0, 65_535), ("e2", ""): (4, 1, 4)},
        {"router-1": 1, "router-2": 0, "router-3": 1},
        {"engine-9": 300},
        (Loan(0, "report", 2),),
        6,
        3,
    )
    west = Part((Cell(2, ("w1",)),), {}, {}, {})
    rows = [
        ("west", ("w1",), 4000, ((2, 4),), west),
        ("east", ("e2", "e1"), 6000, ((0, 4), (1, 0), (300, 3)), east),
    ]
    return Plan.made(7, 0xDEADBEEF, 20, 301, rows, {PINNED: HOME})


PINNED, HOME = 14, 300  # a table group, and a cell of the region that has its home


def result(number: int = NUMBER) -> Result:
    kept = Result(number, bytes(range(16)), "acme", "look", 1_722_000_000.25, 16, 192, 2)
    kept.lies([(3 << 32 | 40, 100), (3 << 32 | 140, 90), (4 << 32, 80)])
    return kept


def facts(kept: Result) -> tuple[Any, ...]:
    lie = list(kept.places), list(kept.lengths)
    return kept.number, kept.key, kept.tenant, kept.profile, kept.made, kept.rows, kept.size, kept.pages, lie


RECORDS = {
    "page": record.packed(record.Kind(1), NUMBER, 1, ROWS),
    "empty page": record.packed(record.Kind(1), NUMBER, 0, b""),
    "end": end_of(result()),
    "drop": record.Entry(record.Kind(3), NUMBER, 4, b"", 0),
}
CHECKPOINT = State(4, 80, [result(), result(8)], {9: [(0, 3 << 32, 40), (1, 4 << 32 | 80, 60)]})


def written() -> dict[str, bytes]:
    """Everything in GOLD, as the present code writes it."""
    return {
        **{f"membership {what}": peers.encode(GROUP, message(what)) for what in range(1, 10)},
        "membership bare": peers.encode(GROUP, BARE),
        "budgets report": budgets.encode_report(GROUP, REPORT),
        "budgets answer": budgets.encode_answer(GROUP, ANSWER),
        "door summary": summary(),
        "engine news": engine_news(LoadReport(6.0, 0.25, 0.5, 0.125)),
        "engine news, full": engine_news(LoadReport(80.0, 3.0, 0.99, 1.0)),
        "plan": plan().write(KEY),
        "plan, excerpt": plan().excerpt("west").write(KEY),
        **{f"record {name}": entry.encode(SALT) for name, entry in RECORDS.items()},
        "checkpoint": CHECKPOINT.encode(),
    }


def golden(name: str) -> bytes:
    return bytes.fromhex(GOLD[name])


# Datagrams and records.


def test_nothing_golden_is_left_out() -> None:
    assert list(written()) == list(GOLD)
    assert [int(what) for what in peers.MessageType] == list(range(1, 10))
    assert [int(state) for state in peers.MemberState] == [0, 1, 2, 3]
    assert [int(kind) for kind in record.Kind] == [1, 2, 3]


@pytest.mark.parametrize("name", GOLD)
def test_bytes_are_written_as_ever(name: str) -> None:
    assert written()[name].hex() == GOLD[name]


def test_membership_is_read_as_ever() -> None:
    for what in range(1, 10):
        assert peers.decode(GROUP, ROUTERS, golden(f"membership {what}")) == message(what)
    assert peers.decode(GROUP, ROUTERS, golden("membership bare")) == BARE
    assert peers.group_hash("hall-a 7") == GROUP_OF_TEXT


def test_budgets_are_read_as_ever() -> None:
    assert budgets.decode(GROUP, golden("budgets report")) == REPORT
    assert budgets.decode(GROUP, golden("budgets answer")) == ANSWER


def test_the_first_messages_between_levels_are_written_and_read_as_ever() -> None:
    """Bytes written by 90fb536."""
    hello = budget_leases.Hello(3, 2, 1000000000001, 7, 65537)
    welcome = budget_leases.Welcome(1000000000002, 8, 65537, 5)
    hello_bytes = bytes.fromhex("d2012900000095fb45f086000201cf000000e8d4a5100102ce00010001030304020607")
    welcome_bytes = bytes.fromhex("d201290000005dc04f5185000301cf000000e8d4a5100202ce0001000105050608")
    assert budget_leases.encode_hello(41, hello) == hello_bytes
    assert budget_leases.encode_welcome(41, welcome) == welcome_bytes
    assert budget_leases.decode(41, hello_bytes) == hello
    assert budget_leases.decode(41, welcome_bytes) == welcome


def test_a_door_summary_is_read_as_ever() -> None:
    shares = PeerUsage()
    told = shares.heard(2, golden("door summary"), 1e9, 10.0)
    assert told == {ACME: pytest.approx(1.25), GLOBEX: pytest.approx(7.5), INITECH: pytest.approx(655.35)}
    assert shares.last[2] == (0x0102, 10.0) and shares.paces[2] == (pytest.approx(3.21), 10.0)


def test_engine_news_is_read_as_ever() -> None:
    stage = Stage(rules=replace(RULES, allows_peer_messages=True))
    known = stage.gateway.engines[1]
    stage.gateway.receive_load_update(1, golden("engine news"))
    assert (known.reported_load, known.reported_full, known.reported_at) == (1.625, False, stage.port.clock)
    stage.gateway.receive_load_update(1, golden("engine news, full"))
    assert (known.reported_load, known.reported_full) == (127 / 32, True)


def test_a_plan_is_read_as_ever() -> None:
    read, excerpt = (Plan.read(golden(name), [KEY]) for name in ("plan", "plan, excerpt"))
    assert read == plan() and read.digest.hex() == PLAN_DIGEST
    assert excerpt == plan().excerpt("west") and excerpt.digest == read.digest
    assert [read.home(group) for group in range(12)] == HOMES
    assert [read.cell_of(f"router-{i}", "e1", None) for i in range(12)] == ROUTER_CELLS
    assert [read.cell_of(f"engine-{i}", "e1", "large") for i in range(12)] == ENGINE_CELLS


@pytest.mark.parametrize("name", RECORDS)
def test_a_record_is_read_as_ever(name: str) -> None:
    data, entry = golden(f"record {name}"), RECORDS[name]
    read = record.decode(data, SALT)
    assert read == entry and len(data) == entry.stored
    held = {"page": ROWS, "end": END_HOLDS}.get(name, b"")
    assert record.unpacked(read) == held and read.size == len(held)
    found = list(record.scan(lambda at, count: data[at : at + count], len(data), SALT))
    assert found == [record.Found(0, len(data), NUMBER, entry)]


def test_a_checkpoint_is_read_as_ever() -> None:
    data = golden("checkpoint")
    read = State.decode(data)
    assert (read.segment, read.offset, read.loose) == (4, 80, CHECKPOINT.loose)
    assert [facts(kept) for kept in read.results] == [facts(result()), facts(result(8))]
    plain = zstandard.ZstdDecompressor().decompress(data[12:])
    assert plain.hex() == CHECKPOINT_HOLDS


# A folder of results.


def row(name: str, i: int) -> bytes:
    return b"%05d\t%s\n" % (i, hashlib.sha256(f"{name} {i}".encode()).hexdigest()[:40].encode())


def rows_of(name: str, count: int) -> bytes:
    return b"".join(row(name, i) for i in range(count))


def keeper_of(folder: Path) -> SpoolService:
    """As a router's start makes it, but no chore runs and no result ever ends."""
    chores = TaskRunner(BackgroundOptions(0.5, 1e9, 1.0), lambda: False)
    chores.stop()
    terms: dict[str, Any] = {setting.name: setting.default for setting in SPOOL_SECTION.settings}
    terms |= {name: WHOLE_FOLDER_LIVES for name in ("keep", "unread", "longest")}
    terms |= {"folder": str(folder), "room": 640e3, "segment": 20e3, "page": 6e3, "expect": 1e4, "quota": {}}
    return SpoolService(terms, 2.0, chores)


def make_folder(data: Path) -> None:
    """Writes spool-90fb536 and the list of what was answered from it. Two results are whole before the
    checkpoint and one is begun; behind it that one ends, one more is kept, and one of either side is
    released."""
    work = data / "work"
    keeper = keeper_of(work)
    answered: list[dict[str, Any]] = []

    def begun(name: str, tenant: str, count: int) -> Any:
        sheet = keeper.reserve(tenant, "look", name.encode()).open_writer()
        for i in range(count):
            sheet.write(row(name, i), 1e12)
        return sheet

    def ended(sheet: Any, name: str, tenant: str, count: int) -> None:
        _, told = sheet.finish(1e12)
        kept = keeper.catalogue.find(told["spool"], tenant, 0.0)
        assert kept is not None
        answered.append(
            {
                "name": name,
                "tenant": tenant,
                "token": told["spool"],
                "number": f"{kept.number:016x}",
                "made": kept.made,
                "rows": count,
                "pages": int(told["pages"]),
                "bytes": int(told["bytes"]),
                "released": False,
            }
        )

    def kept(name: str, tenant: str, count: int) -> None:
        ended(begun(name, tenant, count), name, tenant, count)

    kept("first", "acme", 500)
    kept("second", "globex", 300)
    kept("gone early", "acme", 100)
    slow = begun("slow", "globex", 400)
    keeper.submit(list, True).get()
    keeper.writing.call(keeper.store.checkpoint, keeper.state().encode())
    ended(slow, "slow", "globex", 400)
    kept("gone late", "globex", 100)
    kept("last", "acme", 1)
    for told in answered:
        if told["name"].startswith("gone"):
            told["released"] = keeper.release(told["token"], told["tenant"])
    keeper.submit(list, True).get()
    shutil.copytree(work, data / "spool-90fb536")  # before the end, which would write another checkpoint
    keeper.close()
    shutil.rmtree(work)
    (data / "spool-90fb536.json").write_text(json.dumps(answered, indent=1) + "\n")


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    return Path(shutil.copytree(FOLDER, tmp_path / "spool"))


def answers(released: bool) -> list[dict[str, Any]]:
    told = json.loads((DATA / "spool-90fb536.json").read_text())
    return [answer for answer in told if answer["released"] is released]


def test_the_kept_folder_is_what_it_was() -> None:
    held = {path.name: hashlib.sha256(path.read_bytes()).hexdigest()[:16] for path in FOLDER.iterdir()}
    assert held == FILES
    state = State.decode((FOLDER / "checkpoint").read_bytes())
    assert len(state.results) == 3 and len(state.loose) == 1  # and there is more behind it:
    assert [(answer["name"], answer["tenant"], answer["pages"]) for answer in answers(False)] == [
        ("first", "acme", 4),
        ("second", "globex", 3),
        ("slow", "globex", 4),
        ("last", "acme", 1),
    ]
    assert [answer["name"] for answer in answers(True)] == ["gone early", "gone late"]


@pytest.mark.parametrize("checkpoint", [True, False])
def test_the_index_of_a_kept_folder_is_built_anew(folder: Path, checkpoint: bool) -> None:
    if not checkpoint:
        (folder / "checkpoint").unlink()  # then from the records alone
    now = max(answer["made"] for answer in answers(False)) + 60.0
    store = SegmentStore(Disk(str(folder)), 20e3, 640e3)
    found = store.open(now)
    assert (found.lost, found.spoilt, found.notes) == ([], set(), [])
    catalogue = Catalog(Lifetimes(600.0, 300.0, 3600.0))
    catalogue.wrote(found.segments)
    for kept in found.results:
        catalogue.add(kept)
    for answer in answers(False):
        kept = catalogue.find(answer["token"], answer["tenant"], now)
        assert kept is not None and kept.key == digest(answer["token"], answer["tenant"])
        assert (f"{kept.number:016x}", kept.tenant) == (answer["number"], answer["tenant"])
        assert kept.profile == "look"
        assert (kept.made, kept.rows, kept.size, kept.pages) == tuple(
            answer[name] for name in ("made", "rows", "bytes", "pages")
        )
        spots = list(zip(kept.places, kept.lengths, strict=True))[:-1]
        pages = [store.read(spot, kept.number, page) for page, spot in enumerate(spots)]
        assert b"".join(pages) == rows_of(answer["name"], answer["rows"])
        assert catalogue.find(answer["token"], "initech", now) is None
        assert catalogue.find(answer["token"], answer["tenant"], now + 600.0) is None  # it ends in its time
    assert len(found.results) == len(answers(False))
    store.close()


def test_a_router_started_on_a_kept_folder_gives_every_page(folder: Path) -> None:
    for start in range(2):  # the second start reads what the present code wrote there
        keeper = keeper_of(folder)
        assert len(keeper.catalogue.results) == len(answers(False)) + start
        for answer in answers(False):
            pages = []
            for number in range(1, answer["pages"] + 1):
                said = keeper.read_page(answer["token"], answer["tenant"], number)
                assert isinstance(said, tuple), said
                keeper.page_delivered()
                assert said[1]["page"] == str(number) and said[1]["pages"] == str(answer["pages"])
                pages.append(said[0])
            assert b"".join(pages) == rows_of(answer["name"], answer["rows"])
            assert keeper.read_page(answer["token"], "initech", 1) == "no such result"
        for answer in answers(True):
            assert keeper.read_page(answer["token"], answer["tenant"], 1) == "no such result"
        sheet = keeper.reserve("acme", "look", b"new").open_writer()
        sheet.write(ROWS, 1e12)
        assert sheet.commit(1e12)[0] == ROWS
        keeper.close()
    assert checked(str(folder))[1]


def test_the_tool_lists_and_checks_a_kept_folder(folder: Path) -> None:
    assert checked(str(folder)) == CHECKED
    lines = list(listed(str(folder)))
    assert lines[0] == LISTED
    assert [line.rpartition("  ")[0] for line in lines[1:]] == [  # without the age
        f"{a['number']}  {a['tenant']}  look  {a['pages']} pages  {a['rows']} rows  {a['bytes']} bytes"
        for a in sorted(answers(False), key=lambda answer: answer["made"])
    ]
    assert {path.name for path in folder.iterdir()} == set(FILES)


if __name__ == "__main__":
    make_folder(Path(sys.argv[1]))
