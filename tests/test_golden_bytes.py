"""Tests that wire and disk formats are byte for byte those that commit 90fb536 wrote.

Names in the code may change; these bytes must not, unless the format's version is raised with them.
`GOLDEN_HEX` has them as hex. The folder data/spool-90fb536 was written by `write_golden_folder` below with
the code of that commit:

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
from marbleworks.budgets import codec as budgets_codec
from marbleworks.cells import budget_leases
from marbleworks.cells.plan import Cell, Loan, Part, Plan
from marbleworks.fair_queue.peer_usage import PeerUsage, name_hash
from marbleworks.membership import codec as membership_codec
from marbleworks.model import LoadReport
from marbleworks.spool import record_codec
from marbleworks.spool.catalog import Catalog, Lifetimes, Result, digest
from marbleworks.spool.disk import Disk
from marbleworks.spool.maintenance import check_folder, list_results
from marbleworks.spool.options import SPOOL_SECTION
from marbleworks.spool.recovery import Checkpoint, end_record
from marbleworks.spool.segment_store import SegmentStore
from marbleworks.spool.service import SpoolService
from tests.support.stand_ins import RULES, SchedulerHarness

GROUP, ROUTER_COUNT = 0xC0FFEE12, 40
KEY = b"a key of 24 bytes, plain"
SALT, NUMBER = 0x0123456789ABCDEF, 0xFEDCBA9876543210
ROWS = b"1\tvan\tpiano\n2\tvan\torgan\n" * 8
DATA_FOLDER = Path(__file__).parent / "data"
SPOOL_FOLDER = DATA_FOLDER / "spool-90fb536"
UNLIMITED_LIFETIME_S = 1e12  # no result of the golden folder expires

GOLDEN_HEX: dict[str, str] = {
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
    "usage summary": "d0030201410157dac272ffffa8aee1bbee027394ae6d7d00",
    "load update": "4362bffe34",
    "load update, full": "4362bffeff",
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
END_CONTENT = bytes.fromhex(
    "97c410000102030405060708090a0b0c0d0e0fa461636d65a46c6f6f6bcb41d9a8e8a010000010ccc002"
)
CHECKPOINT_CONTENT = (
    "95010450929acffedcba9876543210c410000102030405060708090a0b0c0d0e0fa461636d65a46c6f6f6bcb41d9a8e8"
    "a010000010ccc002c41828000000030000008c000000030000000000000004000000c40c640000005a00000050000000"
    "9a08c410000102030405060708090a0b0c0d0e0fa461636d65a46c6f6f6bcb41d9a8e8a010000010ccc002c418280000"
    "00030000008c000000030000000000000004000000c40c640000005a00000050000000919209929300cf000000030000"
    "0000289301cf00000004000000503c"
)
FILE_DIGESTS = {  # first 16 hex digits of the SHA-256 of each file in the golden folder
    "checkpoint": "692d8130c5381a3d",
    "lock": "e3b0c44298fc1c14",
    "segment-00000001-089239d2f76c75d4.log": "50ed648abd346704",
    "segment-00000002-723c253e705c747c.log": "42891ecdd05f1b28",
}
CHECK_RESULT = (["22 records, 4 results, 0 spoilt, 0 lost"], True)
LIST_SUMMARY = "4 results, 33931 bytes in 2 segments"


# The values that the golden bytes encode.


def message(message_type: int) -> membership_codec.Message:
    """Returns a message of a type in which no field has its default value."""
    updates = (
        membership_codec.MemberUpdate(1_022_000_000_123, 0, membership_codec.MemberState(0), 3),
        membership_codec.MemberUpdate(1_022_000_000_456, 1, membership_codec.MemberState(1), 39),
        membership_codec.MemberUpdate(5, 70_000, membership_codec.MemberState(2), 0),
        membership_codec.MemberUpdate(6, 2, membership_codec.MemberState(3), 17),
    )
    return membership_codec.Message(
        membership_codec.MessageType(message_type),
        1_022_000_000_000,
        513,
        12,
        0xDEADBEEF,
        1_099_511_627_775,
        42,
        True,
        membership_codec.QuotaDivision(43, 40, 39, True, 1500),
        250,
        updates,
    )


MINIMAL_MESSAGE = membership_codec.Message(membership_codec.MessageType(3), 7)
REPORT = budgets_codec.BudgetReport(
    1_022_000_000_000,
    1_022_000_000_123,
    9,
    65_536,
    4,
    0xDEADBEEF,
    True,
    250,
    (
        budgets_codec.BudgetUsage(0, 7, 120, 80, 300, 2.25, 4000, 100, 140),
        budgets_codec.BudgetUsage(5, 0, 0, 0, 1, 0.0, 7000, 9, 0),
    ),
)
ANSWER = budgets_codec.BudgetAnswer(
    1_022_000_000_123,
    9,
    65_536,
    (budgets_codec.BudgetGrant(0, 8, 130, 4000), budgets_codec.BudgetGrant(5, 1, 0, 70_000)),
)


def usage_summary() -> bytes:
    """Returns the summary of tenant usage that a router sends to its peers."""
    usage = PeerUsage()
    for name, work in (("acme", 1.25), ("globex", 7.5), ("", 0.005), ("initech", 1e6)):
        usage.add(name_hash(name), work)
    usage.sequence_number = 0x0101
    return usage.encode_summary(3.21) or b""


def load_update(report: LoadReport) -> bytes:
    """Returns the datagram that a router sends to its peers after this load report of engine-1."""
    harness = SchedulerHarness(rules=replace(RULES, allows_peer_messages=True))
    harness.scheduler.on_probe_result(1, True, report)
    [datagram] = [call[1] for call in harness.port.calls if call[0] == "tell"]
    assert isinstance(datagram, bytes)
    return datagram


def plan() -> Plan:
    """Returns a plan of two regions with cells, routers, engines, a loan and a pinned table group."""
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
    return Plan.build(7, 0xDEADBEEF, 20, 301, rows, {PINNED_TABLE_GROUP: HOME_CELL})


PINNED_TABLE_GROUP, HOME_CELL = 14, 300  # a table group, and a cell of its home region


def result(number: int = NUMBER) -> Result:
    """Returns a spooled result of two pages."""
    stored = Result(number, bytes(range(16)), "acme", "look", 1_722_000_000.25, 16, 192, 2)
    stored.append_spans([(3 << 32 | 40, 100), (3 << 32 | 140, 90), (4 << 32, 80)])
    return stored


def stored_fields(stored: Result) -> tuple[Any, ...]:
    """Returns the fields of a result that a checkpoint contains."""
    location = list(stored.locations), list(stored.lengths)
    return (
        stored.result_id,
        stored.key,
        stored.tenant,
        stored.profile,
        stored.committed_at,
        stored.row_count,
        stored.raw_bytes,
        stored.page_count,
        location,
    )


RECORDS = {
    "page": record_codec.compress_record(record_codec.RecordKind(1), NUMBER, 1, ROWS),
    "empty page": record_codec.compress_record(record_codec.RecordKind(1), NUMBER, 0, b""),
    "end": end_record(result()),
    "drop": record_codec.Record(record_codec.RecordKind(3), NUMBER, 4, b"", 0),
}
CHECKPOINT = Checkpoint(4, 80, [result(), result(8)], {9: [(0, 3 << 32, 40), (1, 4 << 32 | 80, 60)]})


def encoded_entries() -> dict[str, bytes]:
    """Returns every entry of `GOLDEN_HEX` as the current code encodes it."""
    return {
        **{
            f"membership {number}": membership_codec.encode(GROUP, message(number)) for number in range(1, 10)
        },
        "membership bare": membership_codec.encode(GROUP, MINIMAL_MESSAGE),
        "budgets report": budgets_codec.encode_report(GROUP, REPORT),
        "budgets answer": budgets_codec.encode_answer(GROUP, ANSWER),
        "usage summary": usage_summary(),
        "load update": load_update(LoadReport(6.0, 0.25, 0.5, 0.125)),
        "load update, full": load_update(LoadReport(80.0, 3.0, 0.99, 1.0)),
        "plan": plan().encode(KEY),
        "plan, excerpt": plan().excerpt("west").encode(KEY),
        **{f"record {name}": entry.encode(SALT) for name, entry in RECORDS.items()},
        "checkpoint": CHECKPOINT.encode(),
    }


def golden_bytes(name: str) -> bytes:
    return bytes.fromhex(GOLDEN_HEX[name])


# Datagrams and records.


def test_all_golden_entries_and_enum_values_are_covered() -> None:
    assert list(encoded_entries()) == list(GOLDEN_HEX)
    assert [int(message_type) for message_type in membership_codec.MessageType] == list(range(1, 10))
    assert [int(state) for state in membership_codec.MemberState] == [0, 1, 2, 3]
    assert [int(kind) for kind in record_codec.RecordKind] == [1, 2, 3]


@pytest.mark.parametrize("name", GOLDEN_HEX)
def test_encoding_matches_golden_bytes(name: str) -> None:
    assert encoded_entries()[name].hex() == GOLDEN_HEX[name]


def test_golden_membership_messages_are_decoded() -> None:
    for number in range(1, 10):
        assert membership_codec.decode(GROUP, ROUTER_COUNT, golden_bytes(f"membership {number}")) == message(
            number
        )
    assert membership_codec.decode(GROUP, ROUTER_COUNT, golden_bytes("membership bare")) == MINIMAL_MESSAGE
    assert membership_codec.group_hash("hall-a 7") == GROUP_OF_TEXT


def test_golden_budget_messages_are_decoded() -> None:
    assert budgets_codec.decode(GROUP, golden_bytes("budgets report")) == REPORT
    assert budgets_codec.decode(GROUP, golden_bytes("budgets answer")) == ANSWER


def test_golden_budget_lease_handshake_is_encoded_and_decoded() -> None:
    """The bytes were written by commit 90fb536."""
    hello = budget_leases.Hello(3, 2, 1000000000001, 7, 65537)
    welcome = budget_leases.Welcome(1000000000002, 8, 65537, 5)
    hello_bytes = bytes.fromhex("d2012900000095fb45f086000201cf000000e8d4a5100102ce00010001030304020607")
    welcome_bytes = bytes.fromhex("d201290000005dc04f5185000301cf000000e8d4a5100202ce0001000105050608")
    assert budget_leases.encode_hello(41, hello) == hello_bytes
    assert budget_leases.encode_welcome(41, welcome) == welcome_bytes
    assert budget_leases.decode(41, hello_bytes) == hello
    assert budget_leases.decode(41, welcome_bytes) == welcome


def test_golden_usage_summary_is_decoded() -> None:
    usage = PeerUsage()
    usage_by_tenant = usage.decode_summary(2, golden_bytes("usage summary"), 1e9, 10.0)
    assert usage_by_tenant == {
        ACME: pytest.approx(1.25),
        GLOBEX: pytest.approx(7.5),
        INITECH: pytest.approx(655.35),
    }
    assert usage.last_received[2] == (0x0102, 10.0) and usage.paces[2] == (pytest.approx(3.21), 10.0)


def test_golden_load_update_is_decoded() -> None:
    harness = SchedulerHarness(rules=replace(RULES, allows_peer_messages=True))
    engine = harness.scheduler.engines[1]
    harness.scheduler.receive_load_update(1, golden_bytes("load update"))
    assert (engine.reported_load, engine.reported_full, engine.reported_at) == (
        1.625,
        False,
        harness.port.clock,
    )
    harness.scheduler.receive_load_update(1, golden_bytes("load update, full"))
    assert (engine.reported_load, engine.reported_full) == (127 / 32, True)


def test_golden_plan_is_decoded() -> None:
    decoded, excerpt = (Plan.decode(golden_bytes(name), [KEY]) for name in ("plan", "plan, excerpt"))
    assert decoded == plan() and decoded.digest.hex() == PLAN_DIGEST
    assert excerpt == plan().excerpt("west") and excerpt.digest == decoded.digest
    assert [decoded.home(table_group) for table_group in range(12)] == HOMES
    assert [decoded.cell_of(f"router-{i}", "e1", None) for i in range(12)] == ROUTER_CELLS
    assert [decoded.cell_of(f"engine-{i}", "e1", "large") for i in range(12)] == ENGINE_CELLS


@pytest.mark.parametrize("name", RECORDS)
def test_golden_record_is_decoded(name: str) -> None:
    data, entry = golden_bytes(f"record {name}"), RECORDS[name]
    decoded = record_codec.decode_record(data, SALT)
    assert decoded == entry and len(data) == entry.stored_size
    content = {"page": ROWS, "end": END_CONTENT}.get(name, b"")
    assert record_codec.decompress_payload(decoded) == content and decoded.raw_size == len(content)
    found = list(record_codec.scan_records(lambda at, count: data[at : at + count], len(data), SALT))
    assert found == [record_codec.ScannedRecord(0, len(data), NUMBER, entry)]


def test_golden_checkpoint_is_decoded() -> None:
    data = golden_bytes("checkpoint")
    decoded = Checkpoint.decode(data)
    assert (decoded.segment, decoded.offset, decoded.uncommitted_pages) == (
        4,
        80,
        CHECKPOINT.uncommitted_pages,
    )
    assert [stored_fields(stored) for stored in decoded.results] == [
        stored_fields(result()),
        stored_fields(result(8)),
    ]
    content = zstandard.ZstdDecompressor().decompress(data[12:])
    assert content.hex() == CHECKPOINT_CONTENT


# A spool folder with results.


def row(name: str, i: int) -> bytes:
    return b"%05d\t%s\n" % (i, hashlib.sha256(f"{name} {i}".encode()).hexdigest()[:40].encode())


def rows_of(name: str, count: int) -> bytes:
    return b"".join(row(name, i) for i in range(count))


def open_spool(folder: Path) -> SpoolService:
    """Opens a spool as a router does at its start, but without background tasks and expiry of results."""
    task_runner = TaskRunner(BackgroundOptions(0.5, 1e9, 1.0), lambda: False)
    task_runner.stop()
    values: dict[str, Any] = {setting.name: setting.default for setting in SPOOL_SECTION.settings}
    values |= {name: UNLIMITED_LIFETIME_S for name in ("keep", "unread", "longest")}
    values |= {"folder": str(folder), "room": 640e3, "segment": 20e3, "page": 6e3, "expect": 1e4, "quota": {}}
    return SpoolService(values, 2.0, task_runner)


def write_golden_folder(data: Path) -> None:
    """Writes the folder spool-90fb536 and the list of its results, spool-90fb536.json.

    Before the checkpoint three results are complete and one is being written. After it that one is completed,
    two more are written, and then one result of each side is released.
    """
    work = data / "work"
    spool = open_spool(work)
    answers: list[dict[str, Any]] = []

    def begin(name: str, tenant: str, count: int) -> Any:
        writer = spool.reserve(tenant, "look", name.encode()).open_writer()
        for i in range(count):
            writer.write(row(name, i), 1e12)
        return writer

    def finish(writer: Any, name: str, tenant: str, count: int) -> None:
        _, answer = writer.commit(1e12)
        stored = spool.catalog.find(answer["spool"], tenant, 0.0)
        assert stored is not None
        answers.append(
            {
                "name": name,
                "tenant": tenant,
                "token": answer["spool"],
                "number": f"{stored.result_id:016x}",
                "made": stored.committed_at,
                "rows": count,
                "pages": int(answer["pages"]),
                "bytes": int(answer["bytes"]),
                "released": False,
            }
        )

    def write(name: str, tenant: str, count: int) -> None:
        finish(begin(name, tenant, count), name, tenant, count)

    write("first", "acme", 500)
    write("second", "globex", 300)
    write("gone early", "acme", 100)
    slow = begin("slow", "globex", 400)
    spool.submit(list, True).get()
    spool.writer_thread.call(spool.store.write_checkpoint, spool.checkpoint_state().encode())
    finish(slow, "slow", "globex", 400)
    write("gone late", "globex", 100)
    write("last", "acme", 1)
    for answer in answers:
        if answer["name"].startswith("gone"):
            answer["released"] = spool.release(answer["token"], answer["tenant"])
    spool.submit(list, True).get()
    shutil.copytree(work, data / "spool-90fb536")  # before close(), which writes another checkpoint
    spool.close()
    shutil.rmtree(work)
    (data / "spool-90fb536.json").write_text(json.dumps(answers, indent=1) + "\n")


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    return Path(shutil.copytree(SPOOL_FOLDER, tmp_path / "spool"))


def golden_answers(released: bool) -> list[dict[str, Any]]:
    """Returns the listed results of the golden folder that have, or have not, been released."""
    listed_answers = json.loads((DATA_FOLDER / "spool-90fb536.json").read_text())
    return [answer for answer in listed_answers if answer["released"] is released]


def test_golden_folder_is_unchanged() -> None:
    digests = {
        path.name: hashlib.sha256(path.read_bytes()).hexdigest()[:16] for path in SPOOL_FOLDER.iterdir()
    }
    assert digests == FILE_DIGESTS
    state = Checkpoint.decode((SPOOL_FOLDER / "checkpoint").read_bytes())
    # The segments have more records after the checkpoint.
    assert len(state.results) == 3 and len(state.uncommitted_pages) == 1
    assert [(answer["name"], answer["tenant"], answer["pages"]) for answer in golden_answers(False)] == [
        ("first", "acme", 4),
        ("second", "globex", 3),
        ("slow", "globex", 4),
        ("last", "acme", 1),
    ]
    assert [answer["name"] for answer in golden_answers(True)] == ["gone early", "gone late"]


@pytest.mark.parametrize("checkpoint", [True, False])
def test_index_of_golden_folder_is_rebuilt(folder: Path, checkpoint: bool) -> None:
    if not checkpoint:
        (folder / "checkpoint").unlink()  # the index then has to be rebuilt from the records alone
    now = max(answer["made"] for answer in golden_answers(False)) + 60.0
    store = SegmentStore(Disk(str(folder)), 20e3, 640e3)
    found = store.open(now)
    assert (found.lost, found.unreadable, found.faults) == ([], set(), [])
    catalog = Catalog(Lifetimes(600.0, 300.0, 3600.0))
    catalog.update_segment_sizes(found.segments)
    for stored in found.results:
        catalog.add(stored)
    for answer in golden_answers(False):
        stored = catalog.find(answer["token"], answer["tenant"], now)
        assert stored is not None and stored.key == digest(answer["token"], answer["tenant"])
        assert (f"{stored.result_id:016x}", stored.tenant) == (answer["number"], answer["tenant"])
        assert stored.profile == "look"
        assert (stored.committed_at, stored.row_count, stored.raw_bytes, stored.page_count) == tuple(
            answer[name] for name in ("made", "rows", "bytes", "pages")
        )
        locations = list(zip(stored.locations, stored.lengths, strict=True))[:-1]
        pages = [store.read(location, stored.result_id, page) for page, location in enumerate(locations)]
        assert b"".join(pages) == rows_of(answer["name"], answer["rows"])
        assert catalog.find(answer["token"], "initech", now) is None
        assert catalog.find(answer["token"], answer["tenant"], now + 600.0) is None  # expired
    assert len(found.results) == len(golden_answers(False))
    store.close()


def test_router_started_on_golden_folder_returns_every_page(folder: Path) -> None:
    for start in range(2):  # the second start also reads what the current code has written
        spool = open_spool(folder)
        assert len(spool.catalog.results) == len(golden_answers(False)) + start
        for answer in golden_answers(False):
            pages = []
            for number in range(1, answer["pages"] + 1):
                page = spool.read_page(answer["token"], answer["tenant"], number)
                assert isinstance(page, tuple), page
                spool.page_delivered()
                assert page[1]["page"] == str(number) and page[1]["pages"] == str(answer["pages"])
                pages.append(page[0])
            assert b"".join(pages) == rows_of(answer["name"], answer["rows"])
            assert spool.read_page(answer["token"], "initech", 1) == "no such result"
        for answer in golden_answers(True):
            assert spool.read_page(answer["token"], answer["tenant"], 1) == "no such result"
        writer = spool.reserve("acme", "look", b"new").open_writer()
        writer.write(ROWS, 1e12)
        assert writer.commit(1e12)[0] == ROWS
        spool.close()
    assert check_folder(str(folder))[1]


def test_maintenance_tool_lists_and_checks_golden_folder(folder: Path) -> None:
    assert check_folder(str(folder)) == CHECK_RESULT
    lines = list(list_results(str(folder)))
    assert lines[0] == LIST_SUMMARY
    assert (
        [line.rpartition("  ")[0] for line in lines[1:]]
        == [  # the last column, the age, is left out
            f"{answer['number']}  {answer['tenant']}  look  {answer['pages']} pages  {answer['rows']} rows"
            f"  {answer['bytes']} bytes"
            for answer in sorted(golden_answers(False), key=lambda answer: answer["made"])
        ]
    )
    assert {path.name for path in folder.iterdir()} == set(FILE_DIGESTS)


if __name__ == "__main__":
    write_golden_folder(Path(sys.argv[1]))
