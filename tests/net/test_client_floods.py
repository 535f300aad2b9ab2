"""Tests that clients which send much, or take much back, do not delay or lose the requests of others.

Orders of events are forced by events: the dispatcher is blocked, or work takes longer than a time slice.
"""

from __future__ import annotations

import time
from contextlib import nullcontext
from typing import Any

import gevent
import msgpack
import pytest
from gevent import socket
from gevent.event import Event

from marbleworks.lab.standins import SqlEngine
from marbleworks.net import protocol
from marbleworks.net.client_session import ClientSession
from marbleworks.net.engine_client import EngineClient
from marbleworks.scheduling.placement import Placement
from tests.net.test_event_orders import BlockedEngineSetup, reply_good
from tests.net.test_router import Router, time_limit, until

__all__ = ["time_limit"]

LONG_WAIT = "3900"  # of SETTINGS, in milliseconds


def calls_taken_back(count: int) -> bytes:
    """Returns the bytes of so many requests, each followed by its cancellation."""
    data = bytearray()
    for number in range(1, count + 1):
        fields = {"id": f"{number:016x}", "wait": LONG_WAIT, "tenant": "acme", "cost": "50", "need_mb": "9"}
        data += msgpack.packb([0, number, "look", [fields, b"select 1"]])
        data += msgpack.packb([2, "cancel", [number]])
    return bytes(data)


def count_handled_messages(monkeypatch: pytest.MonkeyPatch, work_s: float = 0.0) -> list[Any]:
    """Returns a list to which each handled message is added; handling one takes `work_s` more seconds."""
    handled: list[Any] = []
    handle = ClientSession.handle_message

    def handle_and_count(self: ClientSession, message: Any) -> None:
        handle(self, message)
        handled.append(message)
        time.sleep(work_s)

    monkeypatch.setattr(ClientSession, "handle_message", handle_and_count)
    return handled


def test_requests_taken_back_do_not_stay_in_the_dispatchers_mailbox(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a mailbox that grows without a limit by requests that their clients took back."""
    setup, handled = BlockedEngineSetup(), count_handled_messages(monkeypatch)
    resume = setup.pause_dispatcher()
    client = setup.router.client()
    client.sock.sendall(calls_taken_back(300))
    until(lambda: len(handled) == 600 or setup.dispatcher.mailbox.qsize() > 2 * protocol.MAX_OPEN_CALLS)
    assert len(handled) == 600 and setup.dispatcher.mailbox.qsize() == 0
    assert not any(session.calls for session in setup.router.listener.sessions)
    resume.set()
    setup.release_answers.set()
    client.send_request("look", ref="f" * 16)
    assert client.receive()[3] and setup.starts() == ["f" * 16]


def test_requests_of_a_closed_connection_do_not_stay_in_the_dispatchers_mailbox() -> None:
    """Guards against requests that wait for the dispatcher although their connection has ended."""
    setup = BlockedEngineSetup()
    resume = setup.pause_dispatcher()
    client = setup.router.client()
    for _ in range(20):
        client.send_request("look")
    until(lambda: setup.dispatcher.mailbox.qsize() >= 20)
    client.sock.close()
    until(lambda: not setup.router.listener.sessions)
    assert setup.dispatcher.mailbox.qsize() == 0
    resume.set()


def test_new_requests_are_taken_while_work_in_progress_never_ends() -> None:
    """Guards against new requests that wait as long as calls about work in progress keep coming."""
    router, is_answered = Router(SqlEngine(reply_good).address), Event()

    def post_again() -> None:
        if not is_answered.is_set():
            router.dispatcher.post(post_again)

    router.dispatcher.post(post_again)
    client = router.client()
    client.send_request("look")
    try:
        assert client.receive()[3]
    finally:
        is_answered.set()


def test_a_client_with_many_requests_does_not_delay_the_request_of_another() -> None:
    """Guards against requests that wait until all earlier ones of other clients are taken."""
    setup, taken = BlockedEngineSetup(), list[Any]()
    resume = setup.pause_dispatcher()
    busy, usual = setup.router.client(), setup.router.client()
    for _ in range(30):
        busy.send_request("look", wait=LONG_WAIT)
    until(lambda: len(setup.dispatcher.mailbox.requests) == 30)
    usual.send_request("look", ref="f" * 16, wait="4100")  # it claims to have begun to wait last
    until(lambda: len(setup.dispatcher.mailbox.requests) == 31)
    submit = setup.dispatcher.scheduler.submit
    setup.dispatcher.scheduler.submit = lambda ref, *args: taken.append(ref) or submit(ref, *args)  # type: ignore
    resume.set()
    until(lambda: len(taken) == 31)
    assert taken.index("f" * 16) <= 2


def test_answers_do_not_wait_for_the_messages_of_many_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a core that is used up by reading, so that each step of an answer takes 0.2 s."""
    router = Router(SqlEngine(reply_good).address)
    clients = [router.client() for _ in range(15)]
    until(lambda: len(router.listener.sessions) == 15)
    handled = count_handled_messages(monkeypatch, work_s=0.001)  # longer than a slice
    for client in clients:
        client.sock.sendall(calls_taken_back(15))
    handled_between, handled_before = list[int](), 0
    while len(handled) < 15 * 30:
        gevent.sleep(0)
        handled_between.append(len(handled) - handled_before)
        handled_before = len(handled)
    assert max(handled_between) <= 2, handled_between


def test_messages_of_a_client_that_left_are_not_handled(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against reading all that a client sent before it left, while others wait for their turn."""
    setup, handled = BlockedEngineSetup(), count_handled_messages(monkeypatch)
    client = setup.router.client()
    until(lambda: setup.router.listener.sessions)
    with setup.router.listener.reading_slices:
        client.sock.sendall(calls_taken_back(100))
        until(lambda: any(session.stream.unread_end for session in setup.router.listener.sessions))
        client.sock.shutdown(socket.SHUT_WR)
        until(lambda: all(session.stream.is_gone() for session in setup.router.listener.sessions))
    until(lambda: not setup.router.listener.sessions)
    assert not handled


@pytest.mark.parametrize("is_whole", [True, False])
def test_a_connection_with_bytes_in_its_own_buffer_is_not_closed_for_another(is_whole: bool) -> None:
    """Guards against losing a request that was received, but not yet handled, when descriptors are short."""
    setup = BlockedEngineSetup(clients=2)
    setup.release_answers.set()
    clients = [setup.router.client() for _ in range(2)]
    data = msgpack.packb(
        [
            0,
            1,
            "look",
            [{"id": "a" * 16, "wait": "3000", "tenant": "acme", "cost": "5", "need_mb": "9"}, b"x"],
        ]
    )
    until(lambda: setup.router.listener.descriptors.locked())
    turn = setup.router.listener.reading_slices if is_whole else nullcontext()
    turn.__enter__()  # whole messages are not handled before the turn of their session
    for client in clients:
        client.sock.sendall(data if is_whole else data[:20])
    until(lambda: all(session.stream.unread_end for session in setup.router.listener.sessions))
    waiting = setup.router.client()
    until(lambda: setup.router.listener.pending_connection)
    gevent.sleep(0.3)  # beyond the time in which a connection without a message is kept
    turn.__exit__(None, None, None)
    for client in clients:
        client.sock.sendall(b"" if is_whole else data[20:])
    assert sorted(bool(client.receive()[3]) for client in clients) == [False, True]  # they have the same id
    waiting.sock.close()


def test_requests_are_rejected_while_too_many_cancelled_attempts_have_not_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against attempts without a limit, for a client that takes back each request once it started."""
    never = Event()
    monkeypatch.setattr(EngineClient, "_cancel", lambda self, attempt: never.wait())
    monkeypatch.setattr(EngineClient, "_perform", lambda self, attempt: never.wait())
    monkeypatch.setattr(Placement, "has_room", lambda *args: True)
    router = Router(SqlEngine(reply_good).address)
    client, max_abandoned = router.client(), 2 * protocol.MAX_OPEN_CALLS
    for number in range(1, max_abandoned + 1):
        client.send_request("look", wait=LONG_WAIT)
        until(lambda number=number: len(router.dispatcher.open_requests) == number)
        client.send(2, "cancel", [number])
    (session,) = router.listener.sessions
    until(lambda: all(call.abandoned for call in session.calls.values()))
    for _ in range(2):
        client.send_request("look", wait=LONG_WAIT)
        assert client.receive()[1:3] == [client.last_message_number, ["Rejected", {"after": "1000"}]]
    assert len(router.dispatcher.open_requests) == max_abandoned
    client.sock.close()  # noticed at once, since the session went on reading
    until(lambda: not router.listener.sessions)
