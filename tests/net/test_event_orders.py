"""Rare orders: what comes between two lines is made to come there every time, on real connections.

The table in docs/design/attempts.md names, for each wait in the life of a command, the test here.
"""

from __future__ import annotations

import json
import os
import resource
import signal
from collections.abc import Callable
from typing import Any

import gevent
import msgpack
import pytest
from gevent import socket
from gevent.event import Event
from gevent.lock import BoundedSemaphore

import marbleworks.net.connection_pool as connection_pool
from marbleworks.lab.standins import HOST, RpcClient, SqlEngine, answer, configuration, dns_answer
from marbleworks.model import AttemptOutcome
from marbleworks.net.actor import clock
from marbleworks.net.client_session import ClientSession
from marbleworks.net.discovery import EngineDiscovery
from marbleworks.net.engine_client import EngineClient
from marbleworks.net.engine_connection import EngineConnection
from marbleworks.net.messages import AttemptCall
from marbleworks.net.stream import CloseReason, StreamClosedError
from tests.net.test_router import GOOD, Outcomes, Router, bounded, closed_port, command, row, until
from tests.support.stand_ins import DEPLOYMENT, SETTINGS, Listener

__all__ = ["bounded"]


def good(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
    return answer(204) if "DELETE" in call else GOOD


class Held:
    """An engine that answers once it is let go, and a router with one descriptor for it."""

    def __init__(self, clients: int = 20) -> None:
        self.go = Event()
        self.sql = SqlEngine(lambda call, fields, body: self.go.wait() and good(call, fields, body))
        self.router = Router(self.sql.address, descriptors=1, clients=clients)
        self.desk = self.router.desk
        until(lambda: self.desk.engine_clients)
        self.engine = self.desk.engine_clients[0]

    def still(self) -> Event:
        """The desk reads no mail until this is set."""
        go = Event()
        self.desk.post(go.wait)
        gevent.sleep(0)
        return go

    def starts(self) -> list[str]:
        return [fields["X-Hop-Id"] for call, fields, _ in self.sql.calls if call.startswith("POST")]


@pytest.mark.parametrize("leaves", ["close", "cancel", "reset"])
def test_a_client_that_left_while_its_command_was_in_the_mail_is_not_sent_on(leaves: str) -> None:
    """Found by reading: its leaving stood behind the command in the desk's backlog."""
    held, other = Held(), "b" * 16
    held.go.set()
    still, client = held.still(), held.router.client()
    client.ask("look", ref="a" * 16)
    until(lambda: any(c.calls for c in held.router.listener.sessions))
    leave(client, leaves)
    until(lambda: all(a.abandoned for c in held.router.listener.sessions for a in c.calls.values()))
    still.set()
    last = held.router.client()
    last.ask("load", ref=other)
    assert last.hear()[3] and held.starts() == [other] and not held.desk.open_requests


def leave(client: RpcClient, how: str) -> None:
    if how == "cancel":
        client.send(2, "cancel", [client.last])
        return
    if how == "reset":
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    client.sock.close()


@pytest.mark.parametrize("leaves", ["close", "cancel", "reset"])
def test_a_client_that_left_while_its_send_waited_is_not_sent_on(leaves: str) -> None:
    """Found by reading: what had been decided began all the same once a connection was free."""
    held = Held()
    held.engine.pool.descriptor_quota.acquire()  # so the send waits for a descriptor
    client = held.router.client()
    client.ask("look")
    until(lambda: held.engine.pool.waiters)
    still = held.still()  # the desk does not hear that it left
    leave(client, leaves)
    until(lambda: all(a.abandoned for c in held.router.listener.sessions for a in c.calls.values()))
    held.engine.pool.descriptor_quota.release()
    held.engine.serve_waiters()
    until(lambda: not held.engine.attempts)
    still.set()
    until(lambda: not held.desk.open_requests)
    assert not held.starts()


def test_what_a_client_asked_before_it_left_the_queue_of_the_machine_is_not_sent_on() -> None:
    """Found by reading: it was read, and sent on before the end behind it was."""
    held = Held()
    held.go.set()
    share = held.router.listener.descriptors
    gevent.sleep(0)  # the one place that the listener has is taken by the first client
    first = held.router.client()
    first.ask("load", ref="a" * 16)
    assert first.hear()[3]
    taken = [share.acquire(blocking=False) for _ in range(share.counter)]
    held.router.listener.sessions.clear()  # none of them may go for a new one
    gone, last = held.router.client(), held.router.client()
    gone.ask("look", ref="b" * 16)
    gone.sock.close()
    last.ask("look", ref="c" * 16)
    for _ in taken:
        share.release()
    assert last.hear()[3] and held.starts() == ["a" * 16, "c" * 16]


def test_a_cancel_of_a_call_under_an_open_id_leaves_the_first_alone() -> None:
    """Found by reading: the desk took the one that has the id for the one that was cancelled."""
    held = Held()
    client = held.router.client()
    client.ask("load", ref="a" * 16)
    until(held.starts)
    still = held.still()
    second = client.ask("load", ref="a" * 16)
    client.send(2, "cancel", [second])
    until(lambda: any(a.abandoned for c in held.router.listener.sessions for a in c.calls.values()))
    still.set()
    held.go.set()
    assert client.hear()[:2] == [1, 1]


def test_a_client_that_is_held_back_is_heard_to_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    """Found by reading: the reader waited for its errors to be written, and for nothing else."""
    held, wrote = Held(), Event()
    monkeypatch.setattr(ClientSession, "_write", lambda self, message, until: wrote.wait())
    client = held.router.client()
    client.ask("look", wait="8000")
    until(held.starts)
    for _ in range(40):
        client.ask("no-such-profile")
    until(lambda: any(c.mailbox.qsize() > 32 for c in held.router.listener.sessions))
    client.sock.shutdown(socket.SHUT_WR)
    until(lambda: not held.desk.open_requests)
    wrote.set()


def test_a_connection_that_comes_to_rest_makes_room_for_one_that_waits() -> None:
    """Found by reading: the listener looked for one once, and then waited for any to end by itself."""
    held = Held(clients=2)
    clients = [held.router.client() for _ in range(3)]
    for n, client in enumerate(clients):
        client.ask("load", ref=f"{n:016x}")
    until(lambda: held.router.listener.descriptors.locked() and held.starts())
    held.go.set()
    assert all(client.hear()[3] for client in clients)


class Crossing:
    """One send whose connection comes up just after something else has happened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, meanwhile: Callable[[Crossing], None]) -> None:
        self.sql, self.outcomes, connect = SqlEngine(good), Outcomes(), connection_pool.connect
        self.engine = EngineClient(self.outcomes, "s-0", self.sql.address, DEPLOYMENT, BoundedSemaphore(5))  # type: ignore[arg-type]
        self.send = AttemptCall("0" * 16, 0, "load", b"", 0, clock() + 3)

        def late(*args: Any) -> Any:
            stream = connect(*args)
            meanwhile(self)
            return stream

        monkeypatch.setattr(connection_pool, "connect", late)
        self.engine.post(self.engine.start_attempt, self.send)
        until(lambda: self.outcomes.ends)


@pytest.mark.parametrize(
    ("meanwhile", "end"),
    [
        (lambda at: at.engine.update_entry(False, 0.0), AttemptOutcome.WITHHELD),  # it drains
        (lambda at: at.engine.retire(), AttemptOutcome.WITHHELD),  # its address may be another's by now
        (lambda at: setattr(at.send, "begin_by", 0.0), AttemptOutcome.WITHHELD),  # what allowed it is over
        (lambda at: setattr(at.send, "deadline", clock()), AttemptOutcome.UNSENT),
        (lambda at: setattr(at.send, "is_wanted", lambda: False), AttemptOutcome.UNSENT),
        (lambda at: at.engine.cancel_attempt(at.send.ref, 0), AttemptOutcome.UNSENT),
    ],
)
def test_what_happens_while_a_connection_comes_up_keeps_the_send_back(
    meanwhile: Callable[[Crossing], None], end: AttemptOutcome, monkeypatch: pytest.MonkeyPatch
) -> None:
    at = Crossing(monkeypatch, meanwhile)
    assert at.outcomes.ends == [end] and end.never_ran and not at.sql.calls


def test_a_try_on_a_second_connection_is_asked_the_same_again(monkeypatch: pytest.MonkeyPatch) -> None:
    def breaks(line: EngineConnection, request: bytes, until: float) -> None:
        sends[0].begin_by = 0.0
        raise StreamClosedError(CloseReason.RESET)

    monkeypatch.setattr(EngineConnection, "send_request", breaks)
    sends = list[AttemptCall]()
    at = Crossing(monkeypatch, lambda at: sends.append(at.send))
    assert at.outcomes.ends == [AttemptOutcome.WITHHELD] and not at.sql.calls


def test_a_second_answer_that_comes_after_the_next_call_is_not_its_result() -> None:
    """Found by reading: between a connection's idle check and its next answer a late copy could come."""
    results, of = {b"one": row("1"), b"two": row("2")}, dict[str, bytes]()

    class Twice(SqlEngine):
        def _talk(self, sock: Any) -> None:
            self.last = sock
            super()._talk(sock)

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes:
        ref = fields.get("X-Hop-Id") or call[7:23]
        said = answer(200, results[of.setdefault(ref, body)], X_Sheets=1, X_Toil=len(of))
        if body == b"two":  # the call is here, and so the connection was found idle
            sql.last.sendall(answer(200, results[b"one"], X_Sheets=1, X_Toil=1))
        return said

    sql = Twice(reply)
    client = Router(sql.address).client()
    for text, result in results.items():
        client.ask("load", text.decode())
        assert client.hear()[3] == [result, {}]
    assert len(sql.asked("POST")) == 2 and sql.connections == 2


def name_server() -> socket.socket:
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.bind((HOST, 0))
    return sock


KNOWN = json.loads(configuration(1, 2, (HOST, 3), {"s-a": (HOST, 1000)}, SETTINGS))["known"]


def test_an_answer_of_the_directory_counts_however_many_were_asked_after_it() -> None:
    """Found by reading: one that took over a second matched none of the last four questions, for ever."""
    server, desk = name_server(), Listener()
    directory = EngineDiscovery(desk, DEPLOYMENT, KNOWN, server.getsockname())  # type: ignore[arg-type]
    asked = [server.recvfrom(4096) for _ in range(7)]
    question, sender = asked[0]
    server.sendto(dns_answer(question, 2, {"s-b": (HOST, 2000)}), sender)
    until(lambda: len(desk.lists) == 2)
    server.sendto(dns_answer(asked[1][0], 1, {}), sender)  # and one that is old tells nothing
    server.sendto(dns_answer(asked[2][0], 3, {}), sender)
    until(lambda: len(desk.lists) == 3)
    assert [len(engines) for engines, _ in desk.lists] == [1, 1, 0]
    directory.greenlet.kill()


def test_another_name_server_needs_no_descriptor(monkeypatch: pytest.MonkeyPatch) -> None:
    """Found by reading: with none left, the move left a router with no list for good."""
    old, new, desk = name_server(), name_server(), Listener()
    directory = EngineDiscovery(desk, DEPLOYMENT, KNOWN, old.getsockname())  # type: ignore[arg-type]
    question, sender = old.recvfrom(4096)
    with monkeypatch.context() as patch:
        patch.setattr(socket, "socket", lambda *args, **kwargs: exec("raise OSError(24, 'no descriptor')"))
        directory.post(directory.set_nameserver, new.getsockname())
        old.sendto(dns_answer(question, 9, {}), sender)
        question, sender = new.recvfrom(4096)
    old.sendto(dns_answer(question, 9, {}), sender)
    new.sendto(dns_answer(question, 2, {"s-b": (HOST, 2000)}), sender)
    until(lambda: len(desk.lists) == 2)
    assert [entry.name for entry, _ in desk.lists[1][0]] == ["s-b"]
    directory.greenlet.kill()


def test_what_comes_with_the_close_is_not_sent_on_and_destroys_no_answer() -> None:
    """Found by reading: a request that met the close reset the connection and what was on its way."""
    big = b"".join(row(f"{n:05}" * 20) for n in range(19))
    pages = [answer(200, big, X_Sheets=8), *(answer(200, big, X_Sheet=n) for n in range(1, 8))]
    sql = SqlEngine(lambda call, fields, body: pages[0] if "POST" in call else pages[int(call[-1])])
    router = Router(sql.address)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)  # most of it waits at the router's end
    sock.connect(router.listener.sock.getsockname())
    client = RpcClient.__new__(RpcClient)
    client.sock, client.unpacker, client.last = sock, msgpack.Unpacker(), 0
    client.ask("load")
    until(lambda: any(c.has_written and c.is_idle() for c in router.listener.sessions))
    assert not router.listener.close_idle_sessions()
    client.ask("load", ref="b" * 16)
    until(lambda: not router.listener.sessions)
    assert client.hear()[3] == [big * 8, {}] and client.hear() is None
    assert len(sql.asked("POST")) == 1


def test_what_the_machine_has_accepted_before_the_listener_ends_is_answered() -> None:
    held = Held()
    held.go.set()
    listener, address = held.router.listener, held.router.listener.sock.getsockname()
    gevent.sleep(0)
    listener.accept_greenlet.kill()
    clients = [held.router.client() for _ in range(3)]
    for n, client in enumerate(clients):
        client.ask("load", ref=f"{n:016x}")
    listener.stop_accepting(clock() + 1.0)
    assert all(client.hear()[3] for client in clients)
    with pytest.raises(ConnectionRefusedError):
        RpcClient(address)


def reader_of(pipe: Any) -> int:
    """The pipe's other end, once somebody reads it."""
    with gevent.Timeout(10):
        while True:
            try:
                return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                gevent.sleep(0.005)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_before_anybody_can_act_on_it_is_kept(number: int, tmp_path: Any) -> None:
    """The configuration is a pipe, so that the router stands still before it is wired."""
    (_, listen), (_, peer), moved = closed_port(), closed_port(), name_server()
    pipe, after = tmp_path / "config.json", tmp_path / "after.json"
    text = configuration(listen, peer, closed_port(), {}, SETTINGS)
    after.write_text(configuration(listen, peer, moved.getsockname(), {}, SETTINGS))
    os.mkfifo(pipe)
    router = command("serve", config=str(pipe))
    try:
        with open(reader_of(pipe), "w") as config:
            os.replace(after, pipe)
            router.send_signal(number)
            config.write(text)
        if number == signal.SIGTERM:
            assert router.wait(10) == 0 and "serving" not in router.stdout.read()
        else:
            assert moved.recv(4096)
            router.send_signal(signal.SIGTERM)
            assert router.wait(10) == 0
    finally:
        router.kill()
        router.communicate()


def test_idle_clients_that_fill_the_descriptors_leave_list_engines_and_log_theirs(tmp_path: Any) -> None:
    """The name server says nothing until they have come, and the only engine is one that it tells of then."""
    (_, listen), (_, peer), server = closed_port(), closed_port(), name_server()
    sql, path, sockets = SqlEngine(good), tmp_path / "config.json", 112
    path.write_text(configuration(listen, peer, server.getsockname(), {}, SETTINGS, sockets=sockets))

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

    router = command("serve", config=str(path), before=limit)
    try:
        until(lambda: socket.socket().connect_ex((HOST, listen)) == 0, 10)
        idle = [socket.create_connection((HOST, listen)) for _ in range(2 * sockets)]
        held = f"/proc/{router.pid}/fd"
        until(lambda: len(os.listdir(held)) > sockets // 3 + 16)
        assert server.recvfrom(4096)
        for _ in range(4):  # what was asked before they came is still there to be read
            question, sender = server.recvfrom(4096)
            server.sendto(dns_answer(question, 2, {"s-a": sql.address}, started=0), sender)
        client = RpcClient((HOST, listen))
        client.ask("load")
        assert client.hear()[3] and sql.asked("POST")
        assert len(os.listdir(held)) < sockets and len(idle) == 2 * sockets
        router.send_signal(signal.SIGTERM)
        assert router.wait(10) == 0 and '"stopped"' in router.stdout.read()
    finally:
        router.kill()
        router.communicate()
