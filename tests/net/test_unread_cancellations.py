"""Tests that no attempt begins once its client's cancellation has arrived, even if it has not been read."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import msgpack
import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.lab.standins import HOST, RpcClient
from marbleworks.net.message_scanner import MalformedMessageError
from marbleworks.net.rpc import MessageDecoder
from marbleworks.net.stream import Stream
from marbleworks.net.unread_cancellations import MAX_FOUND, UnreadCancellations
from tests.net.test_event_orders import BlockedEngineSetup
from tests.net.test_router import time_limit, until

__all__ = ["time_limit"]

MAX_BUFFER_BYTES = 1 << 16


def request(call_id: int, statement: bytes = b"select 1") -> bytes:
    """Returns a valid request."""
    fields = {"id": f"{call_id:016x}", "wait": "3000", "tenant": "acme", "cost": "50", "need_mb": "9"}
    return msgpack.packb([0, call_id, "look", [fields, statement]])


def cancellation(call_id: int) -> bytes:
    """Returns the cancellation of a call in its shortest form."""
    return msgpack.packb([2, "cancel", [call_id]])


def long_cancellation(call_id: int) -> bytes:
    """Returns the cancellation of a call in its longest form."""
    method = b"\xdb" + struct.pack(">I", 6) + b"cancel"
    params = b"\xdd" + struct.pack(">I", 1) + b"\xd3" + struct.pack(">q", call_id)
    return b"\xdd" + struct.pack(">I", 3) + b"\xd3" + struct.pack(">q", 2) + method + params


@dataclass
class WaitingAttempt:
    """A request whose attempt waits for a descriptor."""

    setup: BlockedEngineSetup = field(default_factory=BlockedEngineSetup)
    client: RpcClient = field(init=False)

    def __post_init__(self) -> None:
        self.setup.release_answers.set()
        self.setup.engine.pool.descriptor_quota.acquire()
        self.client = self.setup.router.client()
        self.client.send_request("look", ref="a" * 16)
        until(lambda: self.setup.engine.pool.waiters)

    def let_begin(self) -> None:
        """Gives the attempt a descriptor, and waits until it has ended."""
        self.setup.engine.pool.descriptor_quota.release()
        self.setup.engine.serve_waiters()
        until(lambda: not self.setup.engine.attempts)


@pytest.mark.parametrize(
    "pieces",
    [
        [cancellation(1)],
        [long_cancellation(1)],
        [cancellation(2)[:3], cancellation(2)[3:] + cancellation(1)],  # in the buffer, then in the socket
        [request(2), cancellation(1)],
        [request(2, b"x" * 3000), request(3, b"x" * 3000) + cancellation(1) + request(4)],
        [b"".join(map(request, range(2, 33))) + cancellation(2) + cancellation(1)],
    ],
)
def test_an_attempt_does_not_begin_after_a_cancellation_that_waits_for_its_turn(pieces: list[bytes]) -> None:
    """Guards against attempts of cancelled calls while the session waits for its turn to read (review/7)."""
    waiting = WaitingAttempt()
    (session,) = waiting.setup.router.listener.sessions
    with waiting.setup.router.listener.reading_slices:
        sent_bytes = session.stream.consumed_bytes
        for piece in pieces:
            waiting.client.sock.sendall(piece)
            sent_bytes += len(piece)
            until(lambda: _received_bytes(session.stream) == sent_bytes)  # noqa: B023
            until(lambda: session.stream.unread_end)
        waiting.let_begin()
        assert not waiting.setup.starts()
    until(lambda: not any(call.abandoned for call in session.calls.values()))
    waiting.client.send(0, 100, "health", [{}])
    call_ids = []
    while 100 not in call_ids:
        call_ids.append(waiting.client.receive()[1])
    assert 1 not in call_ids


def _received_bytes(stream: Stream) -> int:
    return stream.consumed_bytes + stream.buffered_bytes + stream.count_arrived()


@pytest.mark.parametrize("following", [request(2), request(2)[:50], cancellation(2), request(2, b"x" * 9000)])
def test_an_attempt_begins_although_other_messages_wait_for_their_turn(following: bytes) -> None:
    """Guards against taking a client for gone because of what it has sent besides."""
    waiting = WaitingAttempt()
    (session,) = waiting.setup.router.listener.sessions
    with waiting.setup.router.listener.reading_slices:
        waiting.client.sock.sendall(following)
        until(lambda: session.stream.has_unread)
        waiting.let_begin()
        assert waiting.setup.starts() == ["a" * 16]


def test_a_call_is_cancelled_by_a_cancellation_that_was_found_before_the_call_was_handled() -> None:
    """Guards against forgetting a cancellation that was examined while its request was unread as well."""
    peer, stream, decoder = connected_stream()
    unread = UnreadCancellations(stream, decoder)
    peer.sendall(request(1) + cancellation(1) + cancellation(7))
    until(lambda: stream.count_arrived() > len(request(1)))
    assert unread.contains(7)
    stream.fill(None)
    handle_next(stream, decoder)
    assert unread.contains(1) and unread.contains(7)
    handle_next(stream, decoder)
    assert not unread.contains(1) and unread.contains(7)
    handle_next(stream, decoder)
    assert not unread.contains(7)


def test_more_cancellations_than_can_be_kept_are_reported() -> None:
    """Guards against memory without a bound for cancellations, and against missing those beyond it."""
    peer, stream, decoder = connected_stream()
    unread = UnreadCancellations(stream, decoder)
    peer.sendall(b"".join(map(cancellation, range(1, MAX_FOUND + 3))))
    until(lambda: stream.count_arrived())
    assert unread.contains(MAX_FOUND) and not unread.contains(MAX_FOUND + 2) and unread.may_miss_any()
    stream.fill(None)
    for _ in range(2):
        handle_next(stream, decoder)
    assert unread.contains(MAX_FOUND + 2) and not unread.may_miss_any() and not unread.contains(1)


def connected_stream() -> tuple[socket.socket, Stream, MessageDecoder]:
    """Returns a client's socket, and the router's stream and decoder for it."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen()
        peer = socket.create_connection(listener.getsockname())
        peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock, _ = listener.accept()
    return peer, Stream(sock, "client", "peer:1", MAX_BUFFER_BYTES, lambda: None), MessageDecoder()


def handle_next(stream: Stream, decoder: MessageDecoder) -> None:
    """Handles the next message of the buffer, as a session does."""
    with stream.unread() as view:
        decoder.decode(view)
    stream.consume(decoder.consumed)


def discard_next(stream: Stream, decoder: MessageDecoder) -> None:
    """Begins to discard the incomplete message in the buffer, as a session does without memory for it."""
    with stream.unread() as view:
        if decoder.decode(view) is None:
            decoder.discard(view)
    stream.consume(decoder.consumed)


MESSAGES = st.one_of(
    st.integers(1, 40).map(cancellation),
    st.integers(1, 40).map(long_cancellation),
    st.builds(request, st.integers(1, 40), st.sampled_from([b"x", b"x" * 200, b"x" * 3000])),
    st.just(msgpack.packb([2, "progress", [b"x" * 10]])),
    st.just(msgpack.packb([0, 3, "health", [{}]])),
)
ACTIONS = st.one_of(
    st.tuples(st.just("arrive"), st.integers(1, 4000)),
    st.tuples(st.just("receive"), st.just(0)),
    st.tuples(st.just("handle"), st.just(0)),
    st.tuples(st.just("discard"), st.just(0)),
    st.tuples(st.just("look"), st.just(0)),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(MESSAGES, max_size=30), st.lists(ACTIONS, max_size=40))
def test_the_cancellations_found_are_those_that_have_arrived_and_are_not_handled(
    messages: list[bytes], actions: list[tuple[str, int]]
) -> None:
    """Guards against cancellations that are missed or kept for too long, however messages arrive."""
    peer, stream, decoder = connected_stream()
    unread = UnreadCancellations(stream, decoder)
    data = b"".join(messages)
    sent_bytes = 0
    try:
        for action, size in actions:
            if action == "arrive":
                peer.sendall(data[sent_bytes : sent_bytes + size])
                sent_bytes = min(sent_bytes + size, len(data))
                until(lambda: _received_bytes(stream) == sent_bytes)  # noqa: B023
            elif action == "receive" and stream.count_arrived():
                stream.fill(None)
            elif action == "handle" and stream.unread_end:
                handle_next(stream, decoder)
            elif action == "discard" and stream.buffered_bytes > 200 and not decoder.is_discarding:
                discard_next(stream, decoder)
            elif action == "look":
                expected = expected_call_ids(messages, stream.consumed_bytes, sent_bytes)
                assert {call_id for call_id in range(1, 41) if unread.contains(call_id)} == expected
    except MalformedMessageError:
        pytest.fail("the model sent a malformed message")
    finally:
        peer.close()
        stream.sock.close()


def expected_call_ids(messages: list[bytes], handled_bytes: int, arrived_bytes: int) -> set[int]:
    """Returns the call ids of the cancellations that end in the unhandled bytes that have arrived."""
    call_ids = set()
    end = 0
    for message in messages:
        end += len(message)
        kind, second, params = msgpack.unpackb(message)[:3]
        if (kind, second) == (2, "cancel") and handled_bytes < end <= arrived_bytes:
            call_ids.add(params[0])
    return call_ids
