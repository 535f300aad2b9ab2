"""Tests of rare event orders, on real connections.

Each test forces an event between two steps of the code, where it would otherwise come only now and then. The
table in docs/design/attempts.md lists the waits of a request and the test here for each of them.
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
from marbleworks.lab.standins import (
    HOST,
    RpcClient,
    SqlEngine,
    dns_answer,
    http_response,
    router_configuration,
)
from marbleworks.model import AttemptOutcome
from marbleworks.net.actor import clock
from marbleworks.net.client_session import ClientSession
from marbleworks.net.discovery import EngineDiscovery
from marbleworks.net.engine_client import EngineClient
from marbleworks.net.engine_connection import EngineConnection
from marbleworks.net.message_reader import MAX_WAITING_ANSWERS
from marbleworks.net.messages import AttemptCall
from marbleworks.net.stream import CloseReason, StreamClosedError
from tests.net.test_router import (
    GOOD,
    OutcomeRecorder,
    Router,
    closed_port,
    row,
    start_command,
    time_limit,
    until,
)
from tests.support.stand_ins import DEPLOYMENT, SETTINGS, EngineListRecorder

__all__ = ["time_limit"]


def reply_good(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
    """Returns an engine's response to any call: a valid result, or the confirmation of a cancellation."""
    return http_response(204) if "DELETE" in call else GOOD


class BlockedEngineSetup:
    """An engine that does not answer until it is released, and a router with one descriptor for engines.

    Attributes:
        release_answers: Event that lets the engine answer.
        sql: The engine.
        router: The router.
        dispatcher: The router's dispatcher.
        engine: The router's client of the engine.
    """

    def __init__(self, clients: int = 20) -> None:
        self.release_answers = Event()
        self.sql = SqlEngine(
            lambda call, fields, body: self.release_answers.wait() and reply_good(call, fields, body)
        )
        self.router = Router(self.sql.address, descriptors=1, clients=clients)
        self.dispatcher = self.router.dispatcher
        until(lambda: self.dispatcher.engine_clients)
        self.engine = self.dispatcher.engine_clients[0]

    def pause_dispatcher(self) -> Event:
        """Blocks the dispatcher until the returned event is set."""
        resume = Event()
        self.dispatcher.post(resume.wait)
        gevent.sleep(0)
        return resume

    def starts(self) -> list[str]:
        """Returns the ids of the requests that were started at the engine."""
        return [fields["X-Hop-Id"] for call, fields, _ in self.sql.calls if call.startswith("POST")]


@pytest.mark.parametrize("departure", ["close", "cancel", "reset"])
def test_a_request_in_the_mailbox_is_dropped_if_its_client_disconnects(departure: str) -> None:
    """Guards against sending a request whose client's disconnect was queued after it in the mailbox."""
    setup, other_ref = BlockedEngineSetup(), "b" * 16
    setup.release_answers.set()
    resume, client = setup.pause_dispatcher(), setup.router.client()
    client.send_request("look", ref="a" * 16)
    until(lambda: any(c.calls for c in setup.router.listener.sessions))
    disconnect(client, departure)
    until(lambda: all(a.abandoned for c in setup.router.listener.sessions for a in c.calls.values()))
    resume.set()
    last_client = setup.router.client()
    last_client.send_request("load", ref=other_ref)
    assert last_client.receive()[3] and setup.starts() == [other_ref] and not setup.dispatcher.open_requests


def disconnect(client: RpcClient, departure: str) -> None:
    """Ends the client's last call by "cancel", or its connection by "close" or "reset"."""
    if departure == "cancel":
        client.send(2, "cancel", [client.last_message_number])
        return
    if departure == "reset":
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    client.sock.close()


@pytest.mark.parametrize("departure", ["close", "cancel", "reset"])
def test_a_waiting_attempt_is_not_sent_if_its_client_disconnects(departure: str) -> None:
    """Guards against sending an attempt that waited for a connection while its client disconnected."""
    setup = BlockedEngineSetup()
    setup.engine.pool.descriptor_quota.acquire()  # makes the attempt wait for a descriptor
    client = setup.router.client()
    client.send_request("look")
    until(lambda: setup.engine.pool.waiters)
    resume = setup.pause_dispatcher()  # the dispatcher does not learn of the disconnect
    disconnect(client, departure)
    until(lambda: all(a.abandoned for c in setup.router.listener.sessions for a in c.calls.values()))
    setup.engine.pool.descriptor_quota.release()
    setup.engine.serve_waiters()
    until(lambda: not setup.engine.attempts)
    resume.set()
    until(lambda: not setup.dispatcher.open_requests)
    assert not setup.starts()


def test_a_request_of_a_connection_that_ended_in_the_backlog_is_not_sent() -> None:
    """Guards against sending a request whose connection ended in the backlog, before its end was read."""
    setup = BlockedEngineSetup()
    setup.release_answers.set()
    quota = setup.router.listener.descriptors
    gevent.sleep(0)  # the listener blocks in accept, which the first client completes
    first_client = setup.router.client()
    first_client.send_request("load", ref="a" * 16)
    assert first_client.receive()[3]
    taken = [quota.acquire(blocking=False) for _ in range(quota.counter)]
    setup.router.listener.sessions.clear()  # so no session is closed for a new connection
    closed_client, last_client = setup.router.client(), setup.router.client()
    closed_client.send_request("look", ref="b" * 16)
    closed_client.sock.close()
    last_client.send_request("look", ref="c" * 16)
    for _ in taken:
        quota.release()
    assert last_client.receive()[3] and setup.starts() == ["a" * 16, "c" * 16]


@pytest.mark.parametrize("is_taken", [False, True])
def test_cancelling_a_call_with_a_used_id_does_not_cancel_the_open_request(is_taken: bool) -> None:
    """Guards against cancelling the open request that has the same id as the cancelled call.

    The cancelled call has been taken by the dispatcher, and is refused there, or still waits for it.
    """
    setup = BlockedEngineSetup()
    client = setup.router.client()
    client.send_request("load", ref="a" * 16)
    until(setup.starts)
    (session,) = (session for session in setup.router.listener.sessions if session.calls)
    resume_session = Event()
    if is_taken:
        session.post(resume_session.wait)  # the refusal is not written before the cancellation is read
        resume = Event()
        second_call = client.send_request("load", ref="a" * 16)
        until(lambda: session.mailbox.qsize())
    else:
        resume = setup.pause_dispatcher()
        second_call = client.send_request("load", ref="a" * 16)
        until(lambda: second_call in session.calls)
    client.send(2, "cancel", [second_call])
    until(lambda: second_call not in session.calls or session.calls[second_call].abandoned)
    resume.set()
    resume_session.set()
    until(lambda: list(session.calls) == [1])
    setup.release_answers.set()
    assert client.receive()[:2] == [1, 1]


def test_a_disconnect_is_noticed_while_reading_is_paused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against missing a disconnect while reading is paused until error answers are written."""
    setup, written = BlockedEngineSetup(), Event()
    monkeypatch.setattr(ClientSession, "_write", lambda self, message, until: written.wait())
    client = setup.router.client()
    client.send_request("look", wait="8000")
    until(setup.starts)
    for _ in range(40):
        client.send_request("no-such-profile")
    until(lambda: any(c.mailbox.qsize() > MAX_WAITING_ANSWERS for c in setup.router.listener.sessions))
    client.sock.shutdown(socket.SHUT_WR)
    until(lambda: not setup.dispatcher.open_requests)
    written.set()


def test_a_connection_that_becomes_idle_is_closed_for_a_pending_one() -> None:
    """Guards against a listener that looks for an unused session once, and then waits for one to close."""
    setup = BlockedEngineSetup(clients=2)
    clients = [setup.router.client() for _ in range(3)]
    for n, client in enumerate(clients):
        client.send_request("load", ref=f"{n:016x}")
    until(lambda: setup.router.listener.descriptors.locked() and setup.starts())
    setup.release_answers.set()
    assert all(client.receive()[3] for client in clients)


class ConnectRace:
    """An attempt whose connection is established right after an interfering event.

    Attributes:
        sql: The engine.
        recorder: Recorder of the attempt's outcome.
        engine: Client of the engine.
        attempt: The attempt.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, interfere: Callable[[ConnectRace], None]) -> None:
        self.sql, self.recorder, connect = SqlEngine(reply_good), OutcomeRecorder(), connection_pool.connect
        self.engine = EngineClient(self.recorder, "s-0", self.sql.address, DEPLOYMENT, BoundedSemaphore(5))  # type: ignore[arg-type]
        self.attempt = AttemptCall("0" * 16, 0, "load", b"", 0, clock() + 3)

        def connect_and_interfere(*args: Any) -> Any:
            stream = connect(*args)
            interfere(self)
            return stream

        monkeypatch.setattr(connection_pool, "connect", connect_and_interfere)
        self.engine.post(self.engine.start_attempt, self.attempt)
        until(lambda: self.recorder.outcomes)


@pytest.mark.parametrize(
    ("interfere", "outcome"),
    [
        (lambda race: race.engine.update_listing(False, 0.0), AttemptOutcome.WITHHELD),  # the engine drains
        (lambda race: race.engine.retire(), AttemptOutcome.WITHHELD),  # another engine may have its address
        # The scheduler's time limit has passed.
        (lambda race: setattr(race.attempt, "begin_by", 0.0), AttemptOutcome.WITHHELD),
        (lambda race: setattr(race.attempt, "deadline", clock()), AttemptOutcome.UNSENT),
        (lambda race: setattr(race.attempt, "is_wanted", lambda: False), AttemptOutcome.UNSENT),
        (lambda race: race.engine.cancel_attempt(race.attempt.ref, 0), AttemptOutcome.UNSENT),
    ],
)
def test_events_during_connect_prevent_the_attempt_from_being_sent(
    interfere: Callable[[ConnectRace], None], outcome: AttemptOutcome, monkeypatch: pytest.MonkeyPatch
) -> None:
    race = ConnectRace(monkeypatch, interfere)
    assert race.recorder.outcomes == [outcome] and outcome.never_ran and not race.sql.calls


def test_the_conditions_are_checked_again_for_a_second_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail_to_send(connection: EngineConnection, request: bytes, deadline: float) -> None:
        recorded_attempts[0].begin_by = 0.0
        raise StreamClosedError(CloseReason.RESET)

    monkeypatch.setattr(EngineConnection, "send_request", fail_to_send)
    recorded_attempts = list[AttemptCall]()
    race = ConnectRace(monkeypatch, lambda race: recorded_attempts.append(race.attempt))
    assert race.recorder.outcomes == [AttemptOutcome.WITHHELD] and not race.sql.calls


def test_a_duplicate_response_is_not_the_result_of_the_next_request() -> None:
    """Guards against a duplicate response that arrives after a connection was checked for unread bytes."""
    results, statements = {b"one": row("1"), b"two": row("2")}, dict[str, bytes]()
    duplicates_sent = []

    class SocketRecordingEngine(SqlEngine):
        def _serve_connection(self, sock: Any) -> None:
            self.last = sock
            super()._serve_connection(sock)

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes:
        ref = fields.get("X-Hop-Id") or call[7:23]
        response = http_response(
            200, results[statements.setdefault(ref, body)], X_Sheets=1, X_Toil=len(statements)
        )
        if body == b"two":  # the call has arrived, so the connection was already checked
            duplicate = http_response(200, results[b"one"], X_Sheets=1, X_Toil=1)
            sql_engine.last.sendall(duplicate)
            duplicates_sent.append(duplicate)
        return response

    sql_engine = SocketRecordingEngine(reply)
    client = Router(sql_engine.address).client()
    for text, result in results.items():
        client.send_request("load", text.decode())
        assert client.receive()[3] == [result, {}]
        gevent.sleep(1.5 * connection_pool.REST_S)  # so that the next request uses the same connection
    assert len(duplicates_sent) == 1
    assert len(sql_engine.calls_of("POST")) == 2 and sql_engine.connections == 2


def name_server() -> socket.socket:
    """Returns the socket of a name server, which the test answers for."""
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.bind((HOST, 0))
    return sock


INITIAL_ENGINES = json.loads(router_configuration(1, 2, (HOST, 3), {"s-a": (HOST, 1000)}, SETTINGS))["known"]


def test_a_slow_dns_response_is_applied_after_later_queries() -> None:
    """Guards against ignoring every response of a name server that takes over 1 s to answer.

    Responses were compared with the last four queries only, so that a slow one never matched.
    """
    server, dispatcher = name_server(), EngineListRecorder()
    discovery = EngineDiscovery(dispatcher, DEPLOYMENT, INITIAL_ENGINES, server.getsockname())  # type: ignore[arg-type]
    queries = [server.recvfrom(4096) for _ in range(7)]
    question, sender = queries[0]
    server.sendto(dns_answer(question, 2, {"s-b": (HOST, 2000)}), sender)
    until(lambda: len(dispatcher.published_lists) == 2)
    server.sendto(dns_answer(queries[1][0], 1, {}), sender)  # an outdated response is ignored
    server.sendto(dns_answer(queries[2][0], 3, {}), sender)
    until(lambda: len(dispatcher.published_lists) == 3)
    assert [len(engines) for engines, _ in dispatcher.published_lists] == [1, 1, 0]
    discovery.greenlet.kill()


def test_changing_the_name_server_needs_no_descriptor(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against losing the engine list for good if the name server changes and no descriptor is free."""
    old_server, new_server, dispatcher = name_server(), name_server(), EngineListRecorder()
    discovery = EngineDiscovery(dispatcher, DEPLOYMENT, INITIAL_ENGINES, old_server.getsockname())  # type: ignore[arg-type]
    question, sender = old_server.recvfrom(4096)
    with monkeypatch.context() as patch:
        patch.setattr(socket, "socket", lambda *args, **kwargs: exec("raise OSError(24, 'no descriptor')"))
        discovery.post(discovery.set_nameserver, new_server.getsockname())
        old_server.sendto(dns_answer(question, 9, {}), sender)
        question, sender = new_server.recvfrom(4096)
    old_server.sendto(dns_answer(question, 9, {}), sender)
    new_server.sendto(dns_answer(question, 2, {"s-b": (HOST, 2000)}), sender)
    until(lambda: len(dispatcher.published_lists) == 2)
    assert [entry.name for entry, _ in dispatcher.published_lists[1][0]] == ["s-b"]
    discovery.greenlet.kill()


def test_a_request_during_the_close_is_not_sent_and_does_not_destroy_an_answer() -> None:
    """Guards against a request that arrives during the close resetting the connection and its last answer."""
    page = b"".join(row(f"{n:05}" * 20) for n in range(19))
    pages = [
        http_response(200, page, X_Sheets=8),
        *(http_response(200, page, X_Sheet=n) for n in range(1, 8)),
    ]
    sql_engine = SqlEngine(lambda call, fields, body: pages[0] if "POST" in call else pages[int(call[-1])])
    router = Router(sql_engine.address)
    sock = socket.socket()
    # Most of the answer stays in the router's send buffer.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
    sock.connect(router.listener.sock.getsockname())
    client = RpcClient.__new__(RpcClient)
    client.sock, client.unpacker, client.last_message_number = sock, msgpack.Unpacker(), 0
    client.send_request("load")
    until(lambda: any(c.has_written and c.is_idle() for c in router.listener.sessions))
    assert not router.listener.close_idle_sessions()
    client.send_request("load", ref="b" * 16)
    until(lambda: not router.listener.sessions)
    assert client.receive()[3] == [page * 8, {}] and client.receive() is None
    assert len(sql_engine.calls_of("POST")) == 1


def test_connections_in_the_backlog_are_answered_when_the_listener_closes() -> None:
    setup = BlockedEngineSetup()
    setup.release_answers.set()
    listener, address = setup.router.listener, setup.router.listener.sock.getsockname()
    gevent.sleep(0)
    listener.accept_greenlet.kill()
    clients = [setup.router.client() for _ in range(3)]
    for n, client in enumerate(clients):
        client.send_request("load", ref=f"{n:016x}")
    listener.stop_accepting(clock() + 1.0)
    assert all(client.receive()[3] for client in clients)
    with pytest.raises(ConnectionRefusedError):
        RpcClient(address)


def open_for_writing(pipe: Any) -> int:
    """Opens a pipe for writing, once another process has opened it for reading."""
    with gevent.Timeout(10):
        while True:
            try:
                return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                gevent.sleep(0.005)


@pytest.mark.parametrize("signal_number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_during_startup_is_not_lost(signal_number: int, tmp_path: Any) -> None:
    """The configuration is a pipe, so that the router blocks before its actors are connected."""
    (_, listen), (_, peer), new_name_server = closed_port(), closed_port(), name_server()
    pipe, changed_config = tmp_path / "config.json", tmp_path / "after.json"
    config_text = router_configuration(listen, peer, closed_port(), {}, SETTINGS)
    changed_config.write_text(router_configuration(listen, peer, new_name_server.getsockname(), {}, SETTINGS))
    os.mkfifo(pipe)
    router = start_command("serve", config=str(pipe))
    try:
        with open(open_for_writing(pipe), "w") as config:
            os.replace(changed_config, pipe)
            router.send_signal(signal_number)
            config.write(config_text)
        if signal_number == signal.SIGTERM:
            assert router.wait(10) == 0, router.stderr.read()
            assert "serving" not in router.stdout.read()
        else:
            assert new_name_server.recv(4096)
            router.send_signal(signal.SIGTERM)
            assert router.wait(10) == 0, router.stderr.read()
    finally:
        router.kill()
        router.communicate()


def test_a_router_that_is_stopped_during_its_start_needs_no_address(tmp_path: Any) -> None:
    """Guards against exit code 1 after SIGTERM during a start, here since both addresses are in use."""
    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)
    with socket.socket() as listener, name_server() as datagrams:
        listener.bind((HOST, 0))
        listener.listen()
        listen, peer = listener.getsockname()[1], datagrams.getsockname()[1]
        router = start_command("serve", config=str(pipe))
        try:
            with open(open_for_writing(pipe), "w") as config:
                router.send_signal(signal.SIGTERM)
                config.write(router_configuration(listen, peer, closed_port(), {}, SETTINGS))
            assert router.wait(10) == 0, router.stderr.read()
        finally:
            router.kill()
            router.communicate()


def test_idle_clients_do_not_use_the_descriptors_of_dns_engines_and_log(tmp_path: Any) -> None:
    """The name server answers only after they have connected, and its response lists the only engine."""
    (_, listen), (_, peer), server = closed_port(), closed_port(), name_server()
    sql_engine, path, sockets = SqlEngine(reply_good), tmp_path / "config.json", 112
    path.write_text(router_configuration(listen, peer, server.getsockname(), {}, SETTINGS, sockets=sockets))

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

    router = start_command("serve", config=str(path), preexec=limit_descriptors)
    try:
        until(lambda: socket.socket().connect_ex((HOST, listen)) == 0, 10)
        idle_clients = [socket.create_connection((HOST, listen)) for _ in range(2 * sockets)]
        fd_folder = f"/proc/{router.pid}/fd"
        until(lambda: len(os.listdir(fd_folder)) > sockets // 3 + 16)
        assert server.recvfrom(4096)
        for _ in range(4):  # earlier queries are still in the socket's buffer
            question, sender = server.recvfrom(4096)
            server.sendto(dns_answer(question, 2, {"s-a": sql_engine.address}, started=0), sender)
        client = RpcClient((HOST, listen))
        client.send_request("load")
        assert client.receive()[3] and sql_engine.calls_of("POST")
        assert len(os.listdir(fd_folder)) < sockets and len(idle_clients) == 2 * sockets
        router.send_signal(signal.SIGTERM)
        assert router.wait(10) == 0 and '"stopped"' in router.stdout.read()
    finally:
        router.kill()
        router.communicate()
