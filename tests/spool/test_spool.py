"""Spooled results over sockets, with failures of disks, engines, readers and router processes."""

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
from marbleworks.lab.stage import LabCluster
from marbleworks.lab.standins import HOST, Reply, RpcClient, SqlEngine, http_response, router_configuration
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
UNKNOWN_RESULT = ["Failed", {"why": "no such result"}]


@pytest.fixture(autouse=True)
def time_limit() -> Iterator[None]:
    with gevent.Timeout(90):
        yield


def paged_result(pages: list[bytes], override: Reply | None = None) -> Reply:
    """Returns an engine's replies: these pages for every request, unless `override` returns another reply."""

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        if override is not None and (response := override(call, fields, body)) is not None:
            return response
        if call.startswith("DELETE"):
            return http_response(204)
        number = 0 if "POST" in call else int(call.rpartition("/")[2])
        page_fields = {"X_Sheets": len(pages)} if number == 0 else {"X_Sheet": number}
        return http_response(200, pages[number], X_Toil=40, X_Room=8, **page_fields)

    return reply


class Router:
    """A router with a spool in a folder, in this process and without a name server or peers."""

    def __init__(self, folder: Path, *replies: Reply, disk: Disk | None = None, **overrides: Any) -> None:
        self.engines = [SqlEngine(reply) for reply in replies]
        self.dispatcher = Dispatcher(
            DEPLOYMENT, 7, engine_client_factory(DEPLOYMENT, BoundedSemaphore(40)), lambda data: None
        )
        engine_list = [
            (EngineEntry(engine_id, f"s-{engine_id}", 0, 0, 0, EngineStatus.UP, 0.0), engine.address)
            for engine_id, engine in enumerate(self.engines)
        ]
        self.dispatcher.post(self.dispatcher.update_engines, engine_list, True)
        self.listener = ClientListener((HOST, 0), self.dispatcher, DEPLOYMENT, BoundedSemaphore(400))
        settings = (
            parse_sections(f'(spool (folder "{folder}") (room 20 MB) (share 100 %))')["spool"] | overrides
        )
        self.task_runner = TaskRunner(BackgroundOptions(0.5, 1e9, 1.0), lambda: False)
        self.service = SpoolService(settings, 2.0, self.task_runner, disk)
        self.listener.result_store = self.service

    def client(self) -> RpcClient:
        return RpcClient(self.listener.sock.getsockname())

    def close(self) -> None:
        self.task_runner.stop()
        self.service.close()


def call_page(client: RpcClient, token: Any, number: Any, tenant: str = "acme", method: str = "page") -> Any:
    client.last_message_number += 1
    client.send(
        0, client.last_message_number, method, [{"spool": token, "page": str(number), "tenant": tenant}]
    )
    return client.receive()


def ask_spooled(client: RpcClient, profile: str = "look", text: str = "select 1", **fields: str) -> Any:
    client.send_request(profile, text, spool="1", **fields)
    return client.receive()


def read_all_pages(client: RpcClient, result_fields: dict[str, str]) -> bytes:
    return b"".join(
        call_page(client, result_fields["spool"], k)[3][0] for k in range(1, int(result_fields["pages"]) + 1)
    )


def test_a_large_result_is_served_page_by_page_after_its_engine_is_free(tmp_path: Path) -> None:
    router = Router(tmp_path, paged_result(PAGES))
    client = router.client()
    before = time.time() * 1000
    first_page, result_fields = ask_spooled(client)[3]
    assert first_page.startswith(PAGES[0]) and len(first_page) <= 24_000
    assert result_fields["bytes"] == str(sum(map(len, PAGES))) and result_fields["rows"] == "6000"
    assert (
        before + 299_000 < int(result_fields["until"]) < before + 310_000
        and len(result_fields["spool"]) >= 22
    )
    assert read_all_pages(client, result_fields) == b"".join(PAGES)
    # On another connection as well.
    assert call_page(router.client(), result_fields["spool"], 2)[3][1]["page"] == "2"
    assert len(router.engines[0].calls_of("POST")) == 1 and len(router.engines[0].calls_of("DELETE")) == 1
    assert len(router.engines[0].calls_of("GET")) == len(PAGES) - 1  # no call for a page reached the engine
    assert call_page(client, result_fields["spool"], 1, method="release")[3] == [b"", {}]
    assert call_page(client, result_fields["spool"], 1)[2] == UNKNOWN_RESULT
    router.close()


def test_unknown_released_foreign_and_expired_tokens_get_the_same_error(
    tmp_path: Path, monkeypatch: Any
) -> None:
    router = Router(tmp_path, paged_result(PAGES[:2]), unread=0.4, keep=0.4)
    client = router.client()
    monkeypatch.setitem(router.listener.settings.tenant_index, "other", 1)
    released_token, expired_token = ask_spooled(client)[3][1]["spool"], ask_spooled(client)[3][1]["spool"]
    call_page(client, released_token, 1, method="release")
    errors = [
        call_page(client, token, 1, tenant)[2]
        for token, tenant in (("x", "acme"), (released_token, "acme"), (expired_token, "other"))
    ]
    gevent.sleep(0.5)
    errors += [
        call_page(client, expired_token, 1)[2],
        call_page(client, expired_token, 1, method="release")[2],
    ]
    assert errors == [UNKNOWN_RESULT] * 5
    monkeypatch.delitem(router.listener.settings.tenant_index, "other")
    assert sum(router.service.allocator.held.values()) == 0
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
def test_an_invalid_page_call_fails_at_once(fields: dict[str, Any], tmp_path: Path) -> None:
    router = Router(tmp_path, paged_result(PAGES[:2]))
    client = router.client()
    client.send(0, 1, "page", [{"tenant": "acme", **fields}])
    assert client.receive(0.5)[2][0] == "Invalid"
    router.close()


def test_pages_beyond_the_result_and_too_many_calls_at_once_are_rejected(tmp_path: Path) -> None:
    router = Router(tmp_path, paged_result(PAGES))
    client = router.client()
    result_fields = ask_spooled(client)[3][1]
    assert call_page(client, result_fields["spool"], int(result_fields["pages"]) + 1)[2] == [
        "Failed",
        {"why": "no such page"},
    ]
    for number in range(100, 120):
        client.send(0, number, "page", [{"spool": result_fields["spool"], "page": "1", "tenant": "acme"}])
    responses = [client.receive() for _ in range(20)]
    assert {call for _, call, _, _ in responses} == set(range(100, 120))
    assert sum(err is None for _, _, err, _ in responses) >= 4
    assert all(err is None or err[0] == "Invalid" for _, _, err, _ in responses)
    router.close()


def test_a_truncated_page_is_requested_again_and_a_lost_engine_costs_another_attempt(tmp_path: Path) -> None:
    remaining = {"truncate": 2, "fail": 1}

    def fail_some(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        if call.endswith("/3") and remaining["truncate"]:
            remaining["truncate"] -= 1
            return http_response(200, PAGES[3], X_Sheet=3)[:-40]
        if call.endswith("/9") and remaining["fail"]:
            remaining["fail"] -= 1
            return http_response(500)  # the engine no longer knows the request
        return None

    router = Router(tmp_path, paged_result(PAGES, fail_some), paged_result(PAGES, fail_some))
    client = router.client()
    result_fields = ask_spooled(client)[3][1]
    assert read_all_pages(client, result_fields) == b"".join(PAGES)
    assert sum(len(engine.calls_of("POST")) for engine in router.engines) == 2
    assert sum(engine.calls_of("GET").count(f"GET /o/{1:016x}/3") for engine in router.engines) == 4
    held = sum(router.service.allocator.held.values())
    assert held == sum(r.stored_bytes for r in router.service.catalog.results.values())
    assert len(router.service.catalog.results) == 1 and not router.service.open_writers
    router.close()


def test_a_load_whose_engine_fails_at_a_later_page_fails_without_a_partial_result(tmp_path: Path) -> None:
    def fail_late_pages(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        return http_response(500) if call.endswith("/9") else None

    router = Router(tmp_path, paged_result(PAGES, fail_late_pages), paged_result(PAGES, fail_late_pages))
    client = router.client()
    assert ask_spooled(client, "load")[2] == ["Failed", {"why": "failed"}]
    assert sum(len(engine.calls_of("POST")) for engine in router.engines) == 1
    wait_until(
        lambda: not router.service.open_writers and sum(router.service.allocator.reserved.values()) == 0
    )
    assert not router.service.catalog.results
    router.close()


def wait_until(condition: Any, timeout_s: float = 3.0) -> None:
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.005)


def incompressible_pages(pages: int) -> list[bytes]:
    """Pages of rows that hardly compress."""
    cells = [hashlib.sha256(str(i).encode()).hexdigest() for i in range(80 * pages)]
    return ["".join(f"{a}\t\t\n" for a in cells[80 * k : 80 * k + 80]).encode() for k in range(pages)]


def test_a_full_spool_sheds_only_new_results_and_admits_promised_retries(tmp_path: Path) -> None:
    router = Router(
        tmp_path, paged_result(incompressible_pages(30)), room=600e3 / 0.8, expect=100e3, keep=1.0, unread=1.0
    )
    client = router.client()
    answered_count, promised_retries = 0, []
    for n in range(10):
        response = ask_spooled(client, text=f"select {n}")
        if response[2] is None:
            answered_count += 1
        else:
            assert response[2][0] == "Rejected"
            promised_retries.append((n, time.time(), int(response[2][1]["after"]) / 1000))
    assert answered_count >= 3 and len(promised_retries) >= 3
    assert all(0 < wait <= 2.0 for _, _, wait in promised_retries)
    posts = len(router.engines[0].calls_of("POST"))
    assert posts == answered_count  # no engine got a request that was shed
    client.send_request("look")  # requests without a stored result are not affected
    client.receive()
    assert len(router.engines[0].calls_of("POST")) > posts
    for n, shed_at, wait in promised_retries[:3]:
        gevent.sleep(max(shed_at + wait - time.time(), 0))
        assert ask_spooled(client, text=f"select {n}")[2] is None
    assert router.service.allocator.kept_count == 3 and router.service.allocator.broken_count == 0
    router.close()


@pytest.mark.parametrize(("profile", "expected_error"), [("look", "Rejected"), ("load", "Failed")])
def test_a_result_that_outgrows_the_room_fails_and_is_not_run_again(
    profile: str, expected_error: str, tmp_path: Path
) -> None:
    router = Router(
        tmp_path,
        paged_result(incompressible_pages(80)),
        paged_result(incompressible_pages(80)),
        room=150e3 / 0.8,
        expect=20e3,
    )
    client = router.client()
    assert ask_spooled(client, profile)[2][0] == expected_error
    assert sum(len(engine.calls_of("POST")) for engine in router.engines) == 1
    wait_until(lambda: sum(router.service.allocator.reserved.values()) == 0)
    assert router.service.allocator.outgrown_count == 1 and not router.service.catalog.results
    router.close()


def test_a_result_over_the_size_limit_fails_at_once(tmp_path: Path) -> None:
    router = Router(tmp_path, paged_result(PAGES), largest=50_000)
    assert ask_spooled(router.client())[2][0] == "Rejected"
    assert len(router.engines[0].calls_of("GET")) < len(PAGES) - 1
    router.close()


class FailingDisk(Disk):
    """A disk whose calls fail or hang when the test asks for it.

    Attributes:
        error_numbers: errno with which each call fails; 0 if it does not.
        sync_delay_s: how long a sync takes.
    """

    def __init__(self, folder: str) -> None:
        super().__init__(folder)
        self.error_numbers = {"write": 0, "sync": 0, "read": 0}
        self.sync_delay_s = 0.0

    def _raise_if_set(self, call: str) -> None:
        if self.error_numbers[call]:
            raise OSError(self.error_numbers[call], os.strerror(self.error_numbers[call]))

    def write(self, fd: int, data: bytes) -> None:
        self._raise_if_set("write")
        super().write(fd, data)

    def sync(self, fd: int) -> None:
        time.sleep(self.sync_delay_s)  # blocks the writing thread alone
        self._raise_if_set("sync")
        super().sync(fd)

    def read(self, name: str, offset: int, count: int) -> bytes:
        self._raise_if_set("read")
        return super().read(name, offset, count)


@pytest.mark.parametrize(
    ("call", "error"),
    [("write", errno.ENOSPC), ("write", errno.EIO), ("sync", errno.EIO), ("sync", errno.ENOSPC)],
)
def test_a_failing_disk_costs_only_new_results(call: str, error: int, tmp_path: Path) -> None:
    disk = FailingDisk(str(tmp_path))
    router = Router(tmp_path, paged_result(PAGES[:8]), paged_result(PAGES[:8]), disk=disk)
    client = router.client()
    old_fields = ask_spooled(client)[3][1]
    disk.error_numbers[call] = error
    first_shed = ask_spooled(client)
    assert first_shed[2][0] == "Rejected" and int(first_shed[2][1]["after"]) <= 2000
    second_shed = ask_spooled(client)  # during the backoff it is shed before any engine gets it
    assert second_shed[2][0] == "Rejected" and sum(len(e.calls_of("POST")) for e in router.engines) == 2
    assert read_all_pages(client, old_fields) == b"".join(PAGES[:8])
    client.send_request("look", ref="b" * 16)
    assert client.receive()[3][0] == b"".join(PAGES[:8])
    disk.error_numbers[call] = 0
    gevent.sleep(0.6)
    assert read_all_pages(client, ask_spooled(client)[3][1]) == b"".join(PAGES[:8])
    assert len(router.service.catalog.results) == 2
    router.close()


def test_a_hanging_disk_delays_no_other_request_and_no_answer_beyond_its_deadline(tmp_path: Path) -> None:
    disk = FailingDisk(str(tmp_path))
    router = Router(tmp_path, paged_result(PAGES[:8]), disk=disk)
    blocked, live = router.client(), router.client()
    ask_spooled(blocked)
    disk.sync_delay_s = 1.5
    started_at = time.monotonic()
    blocked.send_request("look", spool="1", wait="800")
    longest = 0.0
    while time.monotonic() < started_at + 0.7:
        asked_at = time.monotonic()
        live.send_request("look", ref=f"{live.last_message_number + 1000:016x}")
        assert live.receive()[3]
        longest = max(longest, time.monotonic() - asked_at)
    assert blocked.receive()[2][0] == "Rejected" and 0.5 < time.monotonic() - started_at < 0.85
    assert longest < 0.2
    gevent.sleep(1.5)
    assert len(router.service.catalog.results) == 1  # the result that was durable too late has been removed
    router.close()


def test_a_read_error_is_reported_once_and_loses_only_that_result(tmp_path: Path) -> None:
    disk = FailingDisk(str(tmp_path))
    router = Router(tmp_path, paged_result(PAGES), disk=disk)
    client = router.client()
    lost, intact = ask_spooled(client)[3][1], ask_spooled(client)[3][1]
    disk.error_numbers["read"] = errno.EIO
    assert call_page(client, lost["spool"], 2)[2] == ["Failed", {"why": "the result is lost"}]
    disk.error_numbers["read"] = 0
    assert call_page(client, lost["spool"], 2)[2] == UNKNOWN_RESULT
    assert read_all_pages(client, intact) == b"".join(PAGES)
    router.close()


def test_a_client_that_disconnects_before_its_answer_leaves_no_result(tmp_path: Path) -> None:
    def slow(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        if call.endswith("/5"):
            gevent.sleep(0.3)
        return None

    router = Router(tmp_path, paged_result(PAGES, slow))
    client = router.client()
    client.send_request("look", spool="1")
    gevent.sleep(0.15)
    client.sock.close()
    wait_until(
        lambda: not router.service.open_writers and sum(router.service.allocator.reserved.values()) == 0
    )
    assert not router.service.catalog.results and router.engines[0].calls_of("DELETE")
    router.close()


def test_slow_or_stuck_readers_hold_few_pages_and_delay_no_one(tmp_path: Path) -> None:
    router = Router(
        tmp_path, paged_result(incompressible_pages(40)), **{"least-pace": 24e3, "in-hand": 4 * 24e3}
    )
    client = router.client()
    result_fields = ask_spooled(client)[3][1]
    stuck_clients = []
    for _ in range(6):
        stuck_client = router.client()
        stuck_client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        for number in range(1, 5):
            stuck_client.send(
                0, number, "page", [{"spool": result_fields["spool"], "page": str(number), "tenant": "acme"}]
            )
        stuck_clients.append(stuck_client)
    gevent.sleep(0.1)
    longest = 0.0
    for i in range(40):
        asked_at = time.monotonic()
        client.send_request("look", ref=f"{i + 500:016x}", spool="0", wait="1000")
        client.receive()
        longest = max(longest, time.monotonic() - asked_at)
    assert longest < 0.3
    # A reader that does read gets its pages.
    assert len(read_all_pages(client, result_fields)) == int(result_fields["bytes"])
    for stuck_client in stuck_clients:
        stuck_client.sock.close()
    # The slots of the stuck clients become free.
    wait_until(lambda: router.service.page_slots.counter == 4, 8.0)
    router.close()


def test_a_reader_cut_off_within_a_page_continues_on_another_connection(tmp_path: Path) -> None:
    router = Router(tmp_path, paged_result(PAGES))
    first_client = router.client()
    result_fields = ask_spooled(first_client)[3][1]
    first_client.send(0, 50, "page", [{"spool": result_fields["spool"], "page": "2", "tenant": "acme"}])
    assert len(first_client.sock.recv(1000)) == 1000
    first_client.sock.close()
    assert read_all_pages(router.client(), result_fields) == b"".join(PAGES)
    router.close()


def test_release_and_expiry_while_others_read_return_a_complete_page_or_the_same_error(
    tmp_path: Path,
) -> None:
    router = Router(tmp_path, paged_result(PAGES), keep=0.5, unread=0.5, longest=1.0)
    for removal in ("release", "expiry"):
        owner = router.client()
        result_fields = ask_spooled(owner)[3][1]
        responses: list[Any] = []

        def reader(result_fields: dict[str, str] = result_fields, responses: list[Any] = responses) -> None:
            client, number = router.client(), 0
            while True:
                number = number % int(result_fields["pages"]) + 1
                response = call_page(client, result_fields["spool"], number)
                responses.append(response[2] if response[2] else (number, response[3][0]))
                if response[2]:
                    return

        readers = [gevent.spawn(reader) for _ in range(8)]
        gevent.sleep(0.2)
        if removal == "release":
            call_page(owner, result_fields["spool"], 1, method="release")
        gevent.joinall(readers, timeout=5, raise_error=True)
        expected = received = b"".join(PAGES)
        pages_read = {response for response in responses if isinstance(response, tuple)}
        assert [response for response in responses if not isinstance(response, tuple)] == [UNKNOWN_RESULT] * 8
        assert len(pages_read) == int(result_fields["pages"])  # every read of a page returned the same rows
        received = b"".join(text for _, text in sorted(pages_read))
        assert received == expected
    router.close()


def test_hundreds_that_page_at_once_are_all_served_and_live_commands_go_on(tmp_path: Path) -> None:
    router = Router(tmp_path, paged_result(PAGES))
    owner = router.client()
    result_fields = ask_spooled(owner)[3][1]
    all_served: list[bool] = []

    def reader() -> None:
        client = router.client()
        responses = [
            call_page(client, result_fields["spool"], 1 + i % int(result_fields["pages"])) for i in range(4)
        ]
        all_served.append(all(response[2] is None or response[2][0] == "Rejected" for response in responses))

    readers = [gevent.spawn(reader) for _ in range(200)]
    asked_at = time.monotonic()
    owner.send_request("look", ref="c" * 16)
    owner.receive()
    live = time.monotonic() - asked_at
    gevent.joinall(readers, timeout=30, raise_error=True)
    assert len(all_served) == 200 and all(all_served) and live < 1.0
    assert router.service.page_slots.counter == int(8e6 // 24e3)
    router.close()


def test_one_folder_has_one_router_and_the_next_takes_it_over(tmp_path: Path) -> None:
    router = Router(tmp_path, paged_result(PAGES))
    client = router.client()
    result_fields = ask_spooled(client)[3][1]
    with pytest.raises(FolderLockedError, match="another router uses this folder"):
        Router(tmp_path, paged_result(PAGES), **{"hand-over": 0.1})
    gevent.spawn_later(0.3, router.close)
    later = Router(tmp_path, paged_result(PAGES), **{"hand-over": 3.0})
    assert read_all_pages(later.client(), result_fields) == b"".join(PAGES)
    later.close()


def test_twenty_kills_lose_no_answered_result_and_serve_no_wrong_byte() -> None:
    figures = rounds(20, 1)
    assert figures["started"] == 20 and figures["answered"] > 60
    assert figures["lost"] == figures["wrong"] == 0


# The process and its command line.


def run_python(*args: str, **env: str) -> Any:
    return subprocess.run(
        [sys.executable, *args], env=os.environ | env, capture_output=True, text=True, timeout=20
    )


def run_marbleworks(*args: str, **env: str) -> Any:
    return run_python("-m", "marbleworks", *args, **env)


def test_without_an_operator_file_the_spool_field_is_ignored_and_no_subsystem_is_imported(
    tmp_path: Path,
) -> None:
    engine = SqlEngine(paged_result(PAGES[:2]))
    dispatcher = Dispatcher(
        DEPLOYMENT, 7, engine_client_factory(DEPLOYMENT, BoundedSemaphore(20)), lambda data: None
    )
    dispatcher.post(
        dispatcher.update_engines,
        [(EngineEntry(0, "s-0", 0, 0, 0, EngineStatus.UP, 0.0), engine.address)],
        True,
    )
    listener = ClientListener((HOST, 0), dispatcher, DEPLOYMENT, BoundedSemaphore(20))
    client = RpcClient(listener.sock.getsockname())
    assert ask_spooled(client) == [1, 1, None, [b"".join(PAGES[:2]), {}]] and not engine.calls_of("DELETE")
    for call, method in enumerate(("page", "release"), 90):
        client.send(0, call, method, [{"spool": "x", "page": "1", "tenant": "acme"}])
        assert client.receive() == [1, call, ["Invalid", {"why": "unknown method"}], None]
    code = (
        "import sys, marbleworks.__main__, marbleworks.net.server\n"
        "ours = tuple('marbleworks.' + part for part in ('operator', 'spool', 'background', 'door', 'lab'))\n"
        "theirs = 'lark', 'zstandard', 'xxhash', 'pytricia', 'numpy'\n"
        "print([m for m in sys.modules if m.startswith((*ours, *theirs))])"
    )
    completed = run_python("-c", code)
    assert completed.stdout.strip() == "[]", completed


def test_an_operator_file_without_the_section_starts_no_spool(tmp_path: Path) -> None:
    path = tmp_path / "operator.lisp"
    path.write_text("(background (core 5 %))")
    subsystems = Subsystems(read_operator_config(str(path)))
    subsystems.start(None, DEPLOYMENT, None, "n1")  # type: ignore[arg-type]
    assert subsystems.spool is None and subsystems.task_runner is None
    subsystems.close()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('(spool (folder "/nowhere") (room 2 GX))', "operator.lisp:1:36: expected a unit of B, KB"),
        ("(", "operator.lisp:1:2: expected"),
        (None, "operator.lisp: No such file"),
    ],
)
def test_an_invalid_operator_file_is_reported_in_one_line_and_nothing_starts(
    text: str | None, message: str, tmp_path: Path
) -> None:
    path, config = tmp_path / "operator.lisp", tmp_path / "config.json"
    config.write_text(router_configuration(1, 2, (HOST, 3), {}, SETTINGS))
    if text is not None:
        path.write_text(text)
    for subcommand in ("check", "serve"):
        completed = run_marbleworks(subcommand, "--config", str(config), MARBLEWORKS_OPERATOR=str(path))
        assert (
            completed.returncode == 1
            and completed.stderr.count("\n") == 1
            and message in completed.stderr
            and not completed.stdout
        )


def test_an_unusable_folder_is_reported_in_one_line(tmp_path: Path) -> None:
    with LabCluster(engines=1) as cluster:
        cluster.router.stop(signal.SIGKILL)
        config = str(cluster.router.config)
        (tmp_path / "file").write_text("x")
        path = tmp_path / "operator.lisp"
        path.write_text(f'(spool (folder "{tmp_path}/file") (room 2 GB))')
        completed = run_marbleworks("serve", "--config", config, "--operator", str(path))
        assert (
            completed.returncode == 1
            and "File exists" in completed.stderr
            and completed.stderr.count("\n") == 1
        )


def test_a_folder_is_listed_checked_and_dropped_from_without_a_router(tmp_path: Path) -> None:
    router = Router(tmp_path, paged_result(PAGES))
    client = router.client()
    for _ in range(2):
        ask_spooled(client)
    completed = run_marbleworks("spool", "drop", str(tmp_path), "0" * 16)
    assert completed.returncode == 1 and "a router uses this folder" in completed.stderr
    router.close()
    listed = run_marbleworks("spool", "list", str(tmp_path))
    numbers = re.findall(r"^([0-9a-f]{16})  acme  look  4 pages  6000 rows", listed.stdout, re.MULTILINE)
    assert listed.returncode == 0 and len(numbers) == 2 and "2 results" in listed.stdout
    assert run_marbleworks("spool", "check", str(tmp_path)).returncode == 0
    assert run_marbleworks("spool", "drop", str(tmp_path), "zz").returncode == 1
    assert run_marbleworks("spool", "drop", str(tmp_path), numbers[0]).stdout == "1 dropped\n"
    assert numbers[0] not in run_marbleworks("spool", "list", str(tmp_path)).stdout
    segment = next(tmp_path.glob("segment-*"))
    data = bytearray(segment.read_bytes())
    data[len(data) // 2] ^= 1
    segment.write_bytes(data)
    (tmp_path / "checkpoint").unlink()
    checked = run_marbleworks("spool", "check", str(tmp_path))
    assert checked.returncode == 1 and "torn" in checked.stdout
    assert run_marbleworks("spool", "list", str(tmp_path / "none")).returncode == 1


def test_reload_and_planned_restart_of_a_process_keep_stored_results(tmp_path: Path) -> None:
    text = '(spool (folder "FOLDER") (room 50 MB) (keep 5 min))'
    with LabCluster(engines=2, operator=text) as cluster:
        client = RpcClient(cluster.router.address)
        client.send_request(
            "market-report", "select /* work=5 size=60000 */", tenant="oslo", wait="5000", spool="1"
        )
        result_fields = client.receive()[3][1]
        path = cluster.router.operator
        valid_text = path.read_text()
        for new_text in ("(", valid_text.replace("5 min", "2 min").replace("50 MB)", "60 MB) (page 12 KB)")):
            path.write_text(new_text)
            cluster.router.send_signal(signal.SIGHUP)
            gevent.sleep(0.2)
        lines = [json.loads(line) for line in cluster.router.read_log().splitlines()]
        assert [line for line in lines if line["event"] == "operator file not reloaded"]
        [line] = [line for line in lines if line["event"] == "operator file reloaded"]
        assert line["changed"] == ["spool room", "spool keep"] and line["needs_restart"] == ["spool page"]
        remaining_s = (
            int(call_page(client, result_fields["spool"], 1, "oslo")[3][1]["until"]) / 1000 - time.time()
        )
        assert 100 < remaining_s < 121
        assert cluster.router.stop() == 0
        cluster.router.start()
        assert (
            len(call_page(RpcClient(cluster.router.address), result_fields["spool"], 2, "oslo")[3][0])
            > 10_000
        )
