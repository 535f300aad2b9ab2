"""Tests of clients that write slowly: with a request open the connection stays, without one it does not."""

from __future__ import annotations

import gevent
import pytest

from marbleworks.lab.standins import RpcClient
from marbleworks.net import protocol
from marbleworks.net.actor import clock
from tests.net.test_event_orders import BlockedEngineSetup
from tests.net.test_router import time_limit, until
from tests.net.test_unread_cancellations import cancellation, request

__all__ = ["time_limit"]

TIMEOUT_S = 0.3  # in place of the program's, so that the tests are short
TOLERANCE_S = 0.2


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shortens the time that a client has for the rest of a message."""
    monkeypatch.setattr(protocol, "MESSAGE_TIMEOUT_S", TIMEOUT_S)


def wait_for_close(client: RpcClient) -> float:
    """Returns the seconds until the router has closed the connection, without a message before that."""
    began_at = clock()
    assert client.receive() is None
    return clock() - began_at


def test_a_connection_with_an_open_request_stays_while_the_next_one_is_written_slowly() -> None:
    """Guards against losing an open request because its client writes the next one slowly (review/9)."""
    setup = BlockedEngineSetup()
    client = setup.router.client()
    client.sock.sendall(request(1))
    until(setup.starts)
    data = request(2)
    step = len(data) // 12
    for offset in range(0, len(data), step):
        client.sock.sendall(data[offset : offset + step])
        gevent.sleep(TIMEOUT_S / 4)
    setup.release_answers.set()
    assert sorted(client.receive()[1] for _ in range(2)) == [1, 2]


def test_a_client_that_stops_in_a_message_gets_its_open_request_answered_and_is_then_closed() -> None:
    """Guards against both a lost request and a connection that is kept for good by half a message."""
    setup = BlockedEngineSetup()
    client = setup.router.client()
    client.sock.sendall(request(1) + request(2)[:40])
    gevent.sleep(3.5 * TIMEOUT_S)
    setup.release_answers.set()
    assert client.receive()[1] == 1
    assert TIMEOUT_S / 2 < wait_for_close(client) < TIMEOUT_S + TOLERANCE_S


@pytest.mark.parametrize("before", [b"", cancellation(9)])
def test_half_a_request_alone_is_closed_in_time(before: bytes) -> None:
    """Guards against clients that hold a place, and memory, with half a message."""
    client = BlockedEngineSetup().router.client()
    client.sock.sendall(before + request(1)[:40])
    assert wait_for_close(client) < TIMEOUT_S + TOLERANCE_S


def test_half_a_request_beside_a_cancelled_one_is_closed_in_time() -> None:
    """Guards against a connection that stays although its client waits for nothing."""
    setup = BlockedEngineSetup()
    client = setup.router.client()
    client.sock.sendall(request(1))
    until(setup.starts)
    client.sock.sendall(cancellation(1) + request(2)[:40])
    assert wait_for_close(client) < TIMEOUT_S + TOLERANCE_S


def test_pieces_of_one_message_do_not_prolong_its_time() -> None:
    """Guards against a client that sends a byte now and then and keeps its place for it."""
    client = BlockedEngineSetup().router.client()
    data = request(1)
    writer = gevent.spawn(
        lambda: [(client.sock.sendall(data[i : i + 1]), gevent.sleep(TIMEOUT_S / 5)) for i in range(40)]
    )
    assert wait_for_close(client) < TIMEOUT_S + TOLERANCE_S
    writer.kill()


def test_half_a_request_has_no_more_time_than_its_connection() -> None:
    """Guards against a client that is silent at first and then has the time of a message in addition."""
    client = BlockedEngineSetup().router.client()
    began_at = clock()
    gevent.sleep(0.7 * TIMEOUT_S)
    client.sock.sendall(request(1)[:40])
    wait_for_close(client)
    assert clock() - began_at < TIMEOUT_S + TOLERANCE_S


def test_a_message_has_its_own_time_on_a_connection_without_an_answer_so_far() -> None:
    """Guards against one clock for the wait for a first answer and for the rest of a message."""
    setup = BlockedEngineSetup()
    setup.release_answers.set()
    client = setup.router.client()
    client.sock.sendall(cancellation(9))
    gevent.sleep(0.7 * TIMEOUT_S)
    client.sock.sendall(request(1)[:40])
    gevent.sleep(0.7 * TIMEOUT_S)
    client.sock.sendall(request(1)[40:])
    assert client.receive()[3]
