"""Tests that nothing is sent for a client that has left behind much that has not been read."""

from __future__ import annotations

import msgpack
from gevent import socket

from marbleworks.lab.standins import HOST
from marbleworks.net.stream import Stream
from tests.net.test_event_orders import BlockedEngineSetup
from tests.net.test_router import time_limit, until

__all__ = ["time_limit"]

MUCH = 400_000  # bytes; more than the host receives for a connection of which nothing is read


def requests_and_much_more(count: int) -> bytes:
    """Returns so many requests, and then many messages that need no answer."""
    data = bytearray()
    for number in range(1, count + 1):
        fields = {"id": f"{number:016x}", "wait": "3000", "tenant": "acme", "cost": "50", "need_mb": "9"}
        data += msgpack.packb([0, number, "look", [fields, b"select 1"]])
    data += msgpack.packb([2, "progress", [b"x" * 20_000]]) * (MUCH // 20_000)
    return bytes(data)


def test_a_request_is_not_sent_if_its_client_closed_with_much_unread() -> None:
    """Guards against an end of a connection that the host receives only after what precedes it."""
    setup = BlockedEngineSetup()
    setup.release_answers.set()
    setup.engine.pool.descriptor_quota.acquire()  # makes the attempts wait for a descriptor
    client = setup.router.client()
    until(lambda: setup.router.listener.sessions)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * MUCH)
    data = requests_and_much_more(3)
    client.sock.sendall(data[:600])
    until(lambda: len(setup.engine.pool.waiters) == 3)
    with setup.router.listener.reading_slices:  # the session does not read on
        client.sock.sendall(data[600:])
        client.sock.close()
        setup.engine.pool.descriptor_quota.release()
        setup.engine.serve_waiters()
        until(lambda: not setup.engine.attempts)
    until(lambda: not setup.router.listener.sessions and not setup.dispatcher.open_requests)
    assert not setup.starts()


def test_a_client_that_sends_much_and_stays_gets_its_answers() -> None:
    """Guards against taking a client for gone only because its bytes have not been read yet."""
    setup = BlockedEngineSetup()
    setup.release_answers.set()
    client = setup.router.client()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * MUCH)
    client.sock.sendall(requests_and_much_more(3))
    assert [bool(client.receive()[3]) for _ in range(3)] == [True] * 3


def test_the_end_of_a_connection_is_hidden_only_by_much_unread() -> None:
    """Guards against a threshold above what the host holds back."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen()
        for size in (0, 10_000, 60_000, 100_000, 200_000, MUCH):
            client = socket.create_connection(listener.getsockname())
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * MUCH)
            sock, _ = listener.accept()
            stream = Stream(sock, "client", "peer", 1 << 16, lambda: None)
            assert not stream.may_hide_end()
            client.sendall(b"x" * size)
            client.close()
            until(lambda stream=stream: stream.is_gone() or stream.may_hide_end())
            assert size > 60_000 or stream.is_gone()
            sock.close()
