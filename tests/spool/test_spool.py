"""Spooled results on sockets, and what is to go wrong with them: disks, engines, readers, restarts."""

import errno
import hashlib
import json
import os
import re
import signal
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket, subprocess
from gevent.lock import BoundedSemaphore

from marbleworks.background.options import BackgroundOptions
from marbleworks.background.task_runner import TaskRunner
from marbleworks.lab.kills import rounds
from marbleworks.lab.stage import Stage
from marbleworks.lab.standins import HOST, Reply, RpcClient, SqlEngine, answer, configuration
from marbleworks.model import EngineEntry, EngineStatus
from marbleworks.net.client_listener import ClientListener
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.engine_client import engine_client_factory
from marbleworks.spool.disk import Disk
from marbleworks.spool.service import FolderLockedError, SpoolService
from marbleworks.subsystems.registry import parse_sections, read_operator_config
from marbleworks.subsystems.wiring import Subsystems
from tests.support.stand_ins import DEPLOYMENT, SETTINGS

ROW = b"%05d\tvan\tpiano\n"
PAGES = [b"".join(ROW % (300 * page + i) for i in range(300)) for page in range(20)]  # 4,800 bytes each
UNKNOWN = ["Failed", {"why": "no such result"}]


@pytest.fixture(autouse=True)
def bounded() -> Iterator[None]:
    with gevent.Timeout(90):
        yield


def serving(pages: list[bytes], spoil: Reply | None = None) -> Reply:
    """An engine that has this result for everyone; spoil may say something else first."""

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        if spoil is not None and (said := spoil(call, fields, body)) is not None:
            return said
        if call.startswith("DELETE"):
            return answer(204)
        number = 0 if "POST" in call else int(call.rpartition("/")[2])
        named = {"X_Sheets": len(pages)} if number == 0 else {"X_Sheet": number}
        return answer(200, pages[number], X_Toil=40, X_Room=8, **named)

    return reply


class Router:
    """A router with a spool in a folder, but no process, directory or peers."""

    def __init__(self, folder: Path, *replies: Reply, disk: Disk | None = None, **terms: Any) -> None:
        self.engines = [SqlEngine(reply) for reply in replies]
        self.desk = Dispatcher(
            DEPLOYMENT, 7, engine_client_factory(DEPLOYMENT, BoundedSemaphore(40)), lambda data: None
        )
        listing = [
            (EngineEntry(be, f"s-{be}", 0, 0, 0, EngineStatus.UP, 0.0), engine.address)
            for be, engine in enumerate(self.engines)
        ]
        self.desk.post(self.desk.update_engines, listing, True)
        self.listener = ClientListener((HOST, 0), self.desk, DEPLOYMENT, BoundedSemaphore(400))
        given = parse_sections(f'(spool (folder "{folder}") (room 20 MB) (share 100 %))')["spool"] | terms
        self.chores = TaskRunner(BackgroundOptions(0.5, 1e9, 1.0), lambda: False)
        self.keeper = SpoolService(given, 2.0, self.chores, disk)
        self.listener.result_store = self.keeper

    def client(self) -> RpcClient:
        return RpcClient(self.listener.sock.getsockname())

    def close(self) -> None:
        self.chores.stop()
        self.keeper.close()


def page(client: RpcClient, token: Any, number: Any, tenant: str = "acme", method: str = "page") -> Any:
    client.last += 1
    client.send(0, client.last, method, [{"spool": token, "page": str(number), "tenant": tenant}])
    return client.hear()


def spooled(client: RpcClient, profile: str = "look", text: str = "select 1", **fields: str) -> Any:
    client.ask(profile, text, spool="1", **fields)
    return client.hear()


def read(client: RpcClient, told: dict[str, str]) -> bytes:
    return b"".join(page(client, told["spool"], k)[3][0] for k in range(1, int(told["pages"]) + 1))


def test_a_large_result_is_given_page_by_page_and_its_engine_is_let_go(tmp_path: Path) -> None:
    router = Router(tmp_path, serving(PAGES))
    client = router.client()
    before = time.time() * 1000
    first, told = spooled(client)[3]
    assert first.startswith(PAGES[0]) and len(first) <= 24_000
    assert told["bytes"] == str(sum(map(len, PAGES))) and told["rows"] == "6000"
    assert before + 299_000 < int(told["until"]) < before + 310_000 and len(told["spool"]) >= 22
    assert read(client, told) == b"".join(PAGES)
    assert page(router.client(), told["spool"], 2)[3][1]["page"] == "2"  # again, on another connection
    assert len(router.engines[0].asked("POST")) == 1 and len(router.engines[0].asked("DELETE")) == 1
    assert len(router.engines[0].asked("GET")) == len(PAGES) - 1  # no page call reached it
    assert page(client, told["spool"], 1, method="release")[3] == [b"", {}]
    assert page(client, told["spool"], 1)[2] == UNKNOWN
    router.close()


def test_unknown_released_foreign_and_expired_tokens_get_one_error(tmp_path: Path, monkeypatch: Any) -> None:
    router = Router(tmp_path, serving(PAGES[:2]), unread=0.4, keep=0.4)
    client = router.client()
    monkeypatch.setitem(router.listener.settings.tenant_index, "other", 1)
    gone, kept = spooled(client)[3][1]["spool"], spooled(client)[3][1]["spool"]
    page(client, gone, 1, method="release")
    errors = [
        page(client, token, 1, tenant)[2]
        for token, tenant in (("x", "acme"), (gone, "acme"), (kept, "other"))
    ]
    gevent.sleep(0.5)
    errors += [page(client, kept, 1)[2], page(client, kept, 1, method="release")[2]]
    assert errors == [UNKNOWN] * 5
    monkeypatch.delitem(router.listener.settings.tenant_index, "other")
    assert sum(router.keeper.ledger.held.values()) == 0
    router.close()


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"spool": 7},
        {"spool": ""},
        {"spool": "x" * 65, "page": "1"},
        {"spool": "x", "page": "0"},
        {"spool": "x", "page": "-1"},
        {"spool": "x", "page": "1e9"},
        {"spool": "x", "page": 1},
        {"spool": "x", "page": "9" * 40},
        {"spool": "x", "page": "1", "tenant": "nobody"},
    ],
)
def test_a_bad_page_call_is_an_error_at_once(fields: dict[str, Any], tmp_path: Path) -> None:
    router = Router(tmp_path, serving(PAGES[:2]))
    client = router.client()
    client.send(0, 1, "page", [{"tenant": "acme", **fields}])
    assert client.hear(0.5)[2][0] == "Invalid"
    router.close()


def test_pages_beyond_the_result_and_too_many_at_once_are_refused(tmp_path: Path) -> None:
    router = Router(tmp_path, serving(PAGES))
    client = router.client()
    told = spooled(client)[3][1]
    assert page(client, told["spool"], int(told["pages"]) + 1)[2] == ["Failed", {"why": "no such page"}]
    for number in range(100, 120):
        client.send(0, number, "page", [{"spool": told["spool"], "page": "1", "tenant": "acme"}])
    said = [client.hear() for _ in range(20)]
    assert {call for _, call, _, _ in said} == set(range(100, 120))
    assert sum(err is None for _, _, err, _ in said) >= 4
    assert all(err is None or err[0] == "Invalid" for _, _, err, _ in said)
    router.close()


def test_a_spoilt_page_is_asked_for_again_and_a_lost_engine_costs_a_further_send(tmp_path: Path) -> None:
    left = {"spoil": 2, "die": 1}

    def spoil(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        if call.endswith("/3") and left["spoil"]:
            left["spoil"] -= 1
            return answer(200, PAGES[3], X_Sheet=3)[:-40]
        if call.endswith("/9") and left["die"]:
            left["die"] -= 1
            return answer(500)  # it no longer knows the command
        return None

    router = Router(tmp_path, serving(PAGES, spoil), serving(PAGES, spoil))
    client = router.client()
    told = spooled(client)[3][1]
    assert read(client, told) == b"".join(PAGES)
    assert sum(len(engine.asked("POST")) for engine in router.engines) == 2
    assert sum(engine.asked("GET").count(f"GET /o/{1:016x}/3") for engine in router.engines) == 4
    held = sum(router.keeper.ledger.held.values())
    assert held == sum(r.stored for r in router.keeper.catalogue.results.values())
    assert len(router.keeper.catalogue.results) == 1 and not router.keeper.sheets
    router.close()


def test_a_load_whose_engine_is_lost_at_page_k_fails_and_no_part_is_served(tmp_path: Path) -> None:
    def spoil(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        return answer(500) if call.endswith("/9") else None

    router = Router(tmp_path, serving(PAGES, spoil), serving(PAGES, spoil))
    client = router.client()
    assert spooled(client, "load")[2] == ["Failed", {"why": "failed"}]
    assert sum(len(engine.asked("POST")) for engine in router.engines) == 1
    until(lambda: not router.keeper.sheets and sum(router.keeper.ledger.reserved.values()) == 0)
    assert not router.keeper.catalogue.results
    router.close()


def until(true: Any, wait: float = 3.0) -> None:
    with gevent.Timeout(wait):
        while not true():
            gevent.sleep(0.005)


def noise(pages: int) -> list[bytes]:
    """Rows that do not compress."""
    chunk = [hashlib.sha256(str(i).encode()).hexdigest() for i in range(80 * pages)]
    return ["".join(f"{a}\t\t\n" for a in chunk[80 * k : 80 * k + 80]).encode() for k in range(pages)]


def test_a_full_spool_sheds_new_results_alone_and_those_told_to_come_back_are_let_in(tmp_path: Path) -> None:
    router = Router(tmp_path, serving(noise(30)), room=600e3 / 0.8, expect=100e3, keep=1.0, unread=1.0)
    client = router.client()
    answered, told_to_wait = 0, []
    for n in range(10):
        said = spooled(client, text=f"select {n}")
        if said[2] is None:
            answered += 1
        else:
            assert said[2][0] == "Rejected"
            told_to_wait.append((n, time.time(), int(said[2][1]["after"]) / 1000))
    assert answered >= 3 and len(told_to_wait) >= 3
    assert all(0 < wait <= 2.0 for _, _, wait in told_to_wait)
    posts = len(router.engines[0].asked("POST"))
    assert posts == answered  # no engine heard of what was shed
    client.ask("look")  # what is not to be kept goes on as ever
    client.hear()
    assert len(router.engines[0].asked("POST")) > posts
    for n, at, wait in told_to_wait[:3]:
        gevent.sleep(max(at + wait - time.time(), 0))
        assert spooled(client, text=f"select {n}")[2] is None
    assert router.keeper.ledger.kept_word == 3 and router.keeper.ledger.broken == 0
    router.close()


@pytest.mark.parametrize(("profile", "said"), [("look", "Rejected"), ("load", "Failed")])
def test_a_result_that_outgrows_all_room_ends_honestly_and_is_not_run_again(
    profile: str, said: str, tmp_path: Path
) -> None:
    router = Router(tmp_path, serving(noise(80)), serving(noise(80)), room=150e3 / 0.8, expect=20e3)
    client = router.client()
    assert spooled(client, profile)[2][0] == said
    assert sum(len(engine.asked("POST")) for engine in router.engines) == 1
    until(lambda: sum(router.keeper.ledger.reserved.values()) == 0)
    assert router.keeper.ledger.outgrown == 1 and not router.keeper.catalogue.results
    router.close()


def test_a_result_over_the_largest_ends_at_once(tmp_path: Path) -> None:
    router = Router(tmp_path, serving(PAGES), largest=50_000)
    assert spooled(router.client())[2][0] == "Rejected"
    assert len(router.engines[0].asked("GET")) < len(PAGES) - 1
    router.close()


class Ailing(Disk):
    """A disk that fails or hangs when told."""

    def __init__(self, folder: str) -> None:
        super().__init__(folder)
        self.error = {"write": 0, "sync": 0, "read": 0}
        self.hangs = 0.0

    def _perhaps(self, what: str) -> None:
        if self.error[what]:
            raise OSError(self.error[what], os.strerror(self.error[what]))

    def write(self, fd: int, data: bytes) -> None:
        self._perhaps("write")
        super().write(fd, data)

    def sync(self, fd: int) -> None:
        time.sleep(self.hangs)  # on the writing thread
        self._perhaps("sync")
        super().sync(fd)

    def read(self, name: str, offset: int, count: int) -> bytes:
        self._perhaps("read")
        return super().read(name, offset, count)


@pytest.mark.parametrize(
    ("call", "error"),
    [("write", errno.ENOSPC), ("write", errno.EIO), ("sync", errno.EIO), ("sync", errno.ENOSPC)],
)
def test_a_disk_that_fails_costs_new_results_and_nothing_else(call: str, error: int, tmp_path: Path) -> None:
    disk = Ailing(str(tmp_path))
    router = Router(tmp_path, serving(PAGES[:8]), serving(PAGES[:8]), disk=disk)
    client = router.client()
    old = spooled(client)[3][1]
    disk.error[call] = error
    shed = spooled(client)
    assert shed[2][0] == "Rejected" and int(shed[2][1]["after"]) <= 2000
    again = spooled(client)  # the disk rests: it is shed before any engine hears of it
    assert again[2][0] == "Rejected" and sum(len(e.asked("POST")) for e in router.engines) == 2
    assert read(client, old) == b"".join(PAGES[:8])
    client.ask("look", ref="b" * 16)
    assert client.hear()[3][0] == b"".join(PAGES[:8])
    disk.error[call] = 0
    gevent.sleep(0.6)
    assert read(client, spooled(client)[3][1]) == b"".join(PAGES[:8])
    assert len(router.keeper.catalogue.results) == 2
    router.close()


def test_a_disk_that_hangs_delays_no_live_command_and_no_answer_beyond_its_time(tmp_path: Path) -> None:
    disk = Ailing(str(tmp_path))
    router = Router(tmp_path, serving(PAGES[:8]), disk=disk)
    hanging, live = router.client(), router.client()
    spooled(hanging)
    disk.hangs = 1.5
    began = time.monotonic()
    hanging.ask("look", spool="1", wait="800")
    longest = 0.0
    while time.monotonic() < began + 0.7:
        asked = time.monotonic()
        live.ask("look", ref=f"{live.last + 1000:016x}")
        assert live.hear()[3]
        longest = max(longest, time.monotonic() - asked)
    assert hanging.hear()[2][0] == "Rejected" and 0.5 < time.monotonic() - began < 0.85
    assert longest < 0.2
    gevent.sleep(1.5)
    assert len(router.keeper.catalogue.results) == 1  # what came too late is kept for nobody
    router.close()


def test_a_read_error_is_said_once_and_costs_that_result_alone(tmp_path: Path) -> None:
    disk = Ailing(str(tmp_path))
    router = Router(tmp_path, serving(PAGES), disk=disk)
    client = router.client()
    one, other = spooled(client)[3][1], spooled(client)[3][1]
    disk.error["read"] = errno.EIO
    assert page(client, one["spool"], 2)[2] == ["Failed", {"why": "the result is lost"}]
    disk.error["read"] = 0
    assert page(client, one["spool"], 2)[2] == UNKNOWN
    assert read(client, other) == b"".join(PAGES)
    router.close()


def test_a_client_that_leaves_before_its_answer_leaves_no_result(tmp_path: Path) -> None:
    def slow(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        if call.endswith("/5"):
            gevent.sleep(0.3)
        return None

    router = Router(tmp_path, serving(PAGES, slow))
    client = router.client()
    client.ask("look", spool="1")
    gevent.sleep(0.15)
    client.sock.close()
    until(lambda: not router.keeper.sheets and sum(router.keeper.ledger.reserved.values()) == 0)
    assert not router.keeper.catalogue.results and router.engines[0].asked("DELETE")
    router.close()


def test_readers_that_take_little_or_nothing_hold_little_and_delay_no_one(tmp_path: Path) -> None:
    router = Router(tmp_path, serving(noise(40)), **{"least-pace": 24e3, "in-hand": 4 * 24e3})
    client = router.client()
    told = spooled(client)[3][1]
    stuck = []
    for _ in range(6):
        one = router.client()
        one.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        for k in range(1, 5):
            one.send(0, k, "page", [{"spool": told["spool"], "page": str(k), "tenant": "acme"}])
        stuck.append(one)
    gevent.sleep(0.1)
    longest = 0.0
    for n in range(40):
        asked = time.monotonic()
        client.ask("look", ref=f"{n + 500:016x}", spool="0", wait="1000")
        client.hear()
        longest = max(longest, time.monotonic() - asked)
    assert longest < 0.3
    assert len(read(client, told)) == int(
        told["bytes"]
    )  # a reader that does read is given its pages meanwhile
    for one in stuck:
        one.sock.close()
    until(lambda: router.keeper.in_hand.counter == 4, 8.0)  # what the stuck ones held is free
    router.close()


def test_a_reader_that_breaks_off_in_the_middle_of_a_page_goes_on_elsewhere(tmp_path: Path) -> None:
    router = Router(tmp_path, serving(PAGES))
    first = router.client()
    told = spooled(first)[3][1]
    first.send(0, 50, "page", [{"spool": told["spool"], "page": "2", "tenant": "acme"}])
    assert len(first.sock.recv(1000)) == 1000
    first.sock.close()
    assert read(router.client(), told) == b"".join(PAGES)
    router.close()


def test_release_and_expiry_while_others_read_give_a_whole_page_or_the_one_error(tmp_path: Path) -> None:
    router = Router(tmp_path, serving(PAGES), keep=0.5, unread=0.5, longest=1.0)
    for ends in ("release", "expiry"):
        owner = router.client()
        told = spooled(owner)[3][1]
        seen: list[Any] = []

        def reader(told: dict[str, str] = told, seen: list[Any] = seen) -> None:
            client, k = router.client(), 0
            while True:
                k = k % int(told["pages"]) + 1
                said = page(client, told["spool"], k)
                seen.append(said[2] if said[2] else (k, said[3][0]))
                if said[2]:
                    return

        readers = [gevent.spawn(reader) for _ in range(8)]
        gevent.sleep(0.2)
        if ends == "release":
            page(owner, told["spool"], 1, method="release")
        gevent.joinall(readers, timeout=5, raise_error=True)
        whole = read_all = b"".join(PAGES)
        good = {one for one in seen if isinstance(one, tuple)}
        assert [one for one in seen if not isinstance(one, tuple)] == [UNKNOWN] * 8
        assert len(good) == int(told["pages"])  # each page was always the same
        read_all = b"".join(text for _, text in sorted(good))
        assert read_all == whole
    router.close()


def test_hundreds_that_page_at_once_are_all_served_and_live_commands_go_on(tmp_path: Path) -> None:
    router = Router(tmp_path, serving(PAGES))
    owner = router.client()
    told = spooled(owner)[3][1]
    right: list[bool] = []

    def reader() -> None:
        client = router.client()
        said = [page(client, told["spool"], 1 + k % int(told["pages"])) for k in range(4)]
        right.append(all(one[2] is None or one[2][0] == "Rejected" for one in said))

    readers = [gevent.spawn(reader) for _ in range(200)]
    asked = time.monotonic()
    owner.ask("look", ref="c" * 16)
    owner.hear()
    live = time.monotonic() - asked
    gevent.joinall(readers, timeout=30, raise_error=True)
    assert len(right) == 200 and all(right) and live < 1.0
    assert router.keeper.in_hand.counter == int(8e6 // 24e3)
    router.close()


def test_one_folder_has_one_router_and_the_next_takes_it_over(tmp_path: Path) -> None:
    router = Router(tmp_path, serving(PAGES))
    client = router.client()
    told = spooled(client)[3][1]
    with pytest.raises(FolderLockedError, match="another router has this folder"):
        Router(tmp_path, serving(PAGES), **{"hand-over": 0.1})
    gevent.spawn_later(0.3, router.close)
    later = Router(tmp_path, serving(PAGES), **{"hand-over": 3.0})
    assert read(later.client(), told) == b"".join(PAGES)
    later.close()


def test_twenty_kills_lose_nothing_answered_and_serve_nothing_wrong() -> None:
    figures = rounds(20, 1)
    assert figures["started"] == 20 and figures["answered"] > 60
    assert figures["lost"] == figures["wrong"] == 0


# The process and its command line.


def run(*args: str, **env: str) -> Any:
    return subprocess.run(
        [sys.executable, *args], env=os.environ | env, capture_output=True, text=True, timeout=20
    )


def command(*args: str, **env: str) -> Any:
    return run("-m", "marbleworks", *args, **env)


def test_without_the_file_the_field_is_ignored_and_nothing_new_is_imported(tmp_path: Path) -> None:
    engine = SqlEngine(serving(PAGES[:2]))
    desk = Dispatcher(
        DEPLOYMENT, 7, engine_client_factory(DEPLOYMENT, BoundedSemaphore(20)), lambda data: None
    )
    desk.post(
        desk.update_engines, [(EngineEntry(0, "s-0", 0, 0, 0, EngineStatus.UP, 0.0), engine.address)], True
    )
    front = ClientListener((HOST, 0), desk, DEPLOYMENT, BoundedSemaphore(20))
    client = RpcClient(front.sock.getsockname())
    assert spooled(client) == [1, 1, None, [b"".join(PAGES[:2]), {}]] and not engine.asked("DELETE")
    for call, method in enumerate(("page", "release"), 90):
        client.send(0, call, method, [{"spool": "x", "page": "1", "tenant": "acme"}])
        assert client.hear() == [1, call, ["Invalid", {"why": "unknown method"}], None]
    code = (
        "import sys, marbleworks.__main__, marbleworks.net.server\n"
        "ours = tuple('marbleworks.' + part for part in ('operator', 'spool', 'background', 'door', 'lab'))\n"
        "theirs = 'lark', 'zstandard', 'xxhash', 'pytricia', 'numpy'\n"
        "print([m for m in sys.modules if m.startswith((*ours, *theirs))])"
    )
    done = run("-c", code)
    assert done.stdout.strip() == "[]", done


def test_a_file_without_the_section_starts_no_spool(tmp_path: Path) -> None:
    path = tmp_path / "operator.lisp"
    path.write_text("(background (core 5 %))")
    fitted = Subsystems(read_operator_config(str(path)))
    fitted.join(None, DEPLOYMENT, None, "n1")  # type: ignore[arg-type]
    assert fitted.spool is None and fitted.task_runner is None
    fitted.close()


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('(spool (folder "/nowhere") (room 2 GX))', "operator.lisp:1:36: expected a unit of B, KB"),
        ("(", "operator.lisp:1:2: expected"),
        (None, "operator.lisp: No such file"),
    ],
)
def test_an_unfit_file_is_said_in_a_line_and_nothing_starts(
    text: str | None, said: str, tmp_path: Path
) -> None:
    path, config = tmp_path / "operator.lisp", tmp_path / "config.json"
    config.write_text(configuration(1, 2, (HOST, 3), {}, SETTINGS))
    if text is not None:
        path.write_text(text)
    for verb in ("check", "serve"):
        done = command(verb, "--config", str(config), MARBLEWORKS_OPERATOR=str(path))
        assert (
            done.returncode == 1 and done.stderr.count("\n") == 1 and said in done.stderr and not done.stdout
        )


def test_a_folder_that_cannot_be_used_is_said_in_a_line(tmp_path: Path) -> None:
    with Stage(engines=1) as stage:
        stage.router.end(signal.SIGKILL)
        config = str(stage.router.config)
        (tmp_path / "file").write_text("x")
        path = tmp_path / "operator.lisp"
        path.write_text(f'(spool (folder "{tmp_path}/file") (room 2 GB))')
        done = command("serve", "--config", config, "--operator", str(path))
        assert done.returncode == 1 and "File exists" in done.stderr and done.stderr.count("\n") == 1


def test_a_folder_is_listed_checked_and_mended_without_a_router(tmp_path: Path) -> None:
    router = Router(tmp_path, serving(PAGES))
    client = router.client()
    for _ in range(2):
        spooled(client)
    done = command("spool", "drop", str(tmp_path), "0" * 16)
    assert done.returncode == 1 and "a router has this folder" in done.stderr
    router.close()
    listed = command("spool", "list", str(tmp_path))
    numbers = re.findall(r"^([0-9a-f]{16})  acme  look  4 pages  6000 rows", listed.stdout, re.MULTILINE)
    assert listed.returncode == 0 and len(numbers) == 2 and "2 results" in listed.stdout
    assert command("spool", "check", str(tmp_path)).returncode == 0
    assert command("spool", "drop", str(tmp_path), "zz").returncode == 1
    assert command("spool", "drop", str(tmp_path), numbers[0]).stdout == "1 dropped\n"
    assert numbers[0] not in command("spool", "list", str(tmp_path)).stdout
    segment = next(tmp_path.glob("segment-*"))
    data = bytearray(segment.read_bytes())
    data[len(data) // 2] ^= 1
    segment.write_bytes(data)
    (tmp_path / "checkpoint").unlink()
    spoilt = command("spool", "check", str(tmp_path))
    assert spoilt.returncode == 1 and "torn" in spoilt.stdout
    assert command("spool", "list", str(tmp_path / "none")).returncode == 1


def test_reload_and_planned_restart_of_a_process_keep_what_is_spooled(tmp_path: Path) -> None:
    text = '(spool (folder "FOLDER") (room 50 MB) (keep 5 min))'
    with Stage(engines=2, operator=text) as stage:
        client = RpcClient(stage.router.address)
        client.ask("market-report", "select /* work=5 size=60000 */", tenant="oslo", wait="5000", spool="1")
        told = client.hear()[3][1]
        path = stage.router.operator
        good = path.read_text()
        for new in ("(", good.replace("5 min", "2 min").replace("50 MB)", "60 MB) (page 12 KB)")):
            path.write_text(new)
            stage.router.tell(signal.SIGHUP)
            gevent.sleep(0.2)
        lines = [json.loads(line) for line in stage.router.log().splitlines()]
        assert [line for line in lines if line["event"] == "operator file not reloaded"]
        [line] = [line for line in lines if line["event"] == "operator file reloaded"]
        assert line["changed"] == ["spool room", "spool keep"] and line["needs_restart"] == ["spool page"]
        until_now = int(page(client, told["spool"], 1, "oslo")[3][1]["until"]) / 1000 - time.time()
        assert 100 < until_now < 121
        assert stage.router.end() == 0
        stage.router.start()
        assert len(page(RpcClient(stage.router.address), told["spool"], 2, "oslo")[3][0]) > 10_000
