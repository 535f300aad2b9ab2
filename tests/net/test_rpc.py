"""Tests of MessagePack-RPC framing and of the decoding of calls, without sockets."""

from __future__ import annotations

from typing import Any

import msgpack
import pytest

from marbleworks.net import protocol
from marbleworks.net.message_scanner import MalformedMessageError, MessageTooLongError
from marbleworks.net.rpc import (
    CancelNotification,
    DiscardedRequest,
    Message,
    MessageDecoder,
    Request,
    Response,
    UnknownNotification,
)
from tests.net.test_router import DEPLOYMENT

QUERY = {"id": "0123456789abcdef", "wait": "1500", "tenant": "acme", "cost": "50", "need_mb": "9"}
SENT: list[list[Any]] = [
    [0, 7, "look", [QUERY, b"select 1"]],
    [2, "cancel", [7]],
    [2, "cancel", ["seven"]],
    [2, "progress", []],
    [0, 8, "health", [{}]],
]
RECEIVED: list[Message] = [
    Request(7, "look", QUERY, [b"select 1"]),
    CancelNotification(7),
    UnknownNotification("cancel"),
    UnknownNotification("progress"),
    Request(8, "health", {}, []),
]


class Receiver:
    """Receives pieces of data as a session does.

    Attributes:
        data: Bytes that are kept.
        messages: Complete messages.
        consumed: Number of bytes that were not kept any more.
    """

    def __init__(self) -> None:
        self.decoder = MessageDecoder()
        self.data = bytearray()
        self.messages: list[Message] = []
        self.consumed = 0

    def receive(self, piece: bytes) -> None:
        """Adds bytes and decodes the messages that are complete."""
        self.data += piece
        message: Message | None = None
        while self.data:
            with memoryview(self.data) as view:
                message = self.decoder.decode(view)
            self.consume()
            if message is None:
                return
            self.messages.append(message)

    def discard(self) -> None:
        """Discards the incomplete message."""
        with memoryview(self.data) as view:
            self.decoder.discard(view)
        self.consume()

    def consume(self) -> None:
        """Drops the bytes that the decoder does not need any more."""
        self.consumed += self.decoder.consumed
        del self.data[: self.decoder.consumed]


def received(*pieces: bytes) -> tuple[list[Message], int]:
    """Returns the complete messages in the pieces and their total size in bytes."""
    receiver = Receiver()
    for piece in pieces:
        receiver.receive(piece)
    return receiver.messages, receiver.consumed


def test_a_cut_at_any_byte_yields_the_complete_messages_and_their_length() -> None:
    parts = [msgpack.packb(message) for message in SENT]
    data = b"".join(parts)
    ends = [sum(map(len, parts[: n + 1])) for n in range(len(parts))]
    for cut in range(len(data) + 1):
        complete = sum(end <= cut for end in ends)
        assert received(data[:cut]) == (RECEIVED[:complete], ends[complete - 1] if complete else 0)
        assert received(data[:cut], data[cut:]) == (RECEIVED, len(data))
    assert received(*(data[at : at + 1] for at in range(len(data)))) == (RECEIVED, len(data))


LARGE_REQUEST = msgpack.packb([0, 300, "look", [QUERY, b"x" * 5000]])


@pytest.mark.parametrize("discard_at", [100, 150, 151, 200, 5000])
@pytest.mark.parametrize("piece_bytes", [1, 7, 10_000])
def test_of_a_request_that_is_discarded_only_the_call_id_is_kept(discard_at: int, piece_bytes: int) -> None:
    """Guards against a large request that is lost without an answer for lack of memory."""
    after = msgpack.packb(SENT[0])
    receiver = Receiver()
    receiver.receive(LARGE_REQUEST[:discard_at])
    receiver.discard()
    rest = LARGE_REQUEST[discard_at:] + after
    for at in range(0, len(rest), piece_bytes):
        receiver.receive(rest[at : at + piece_bytes])
        assert len(receiver.data) <= max(piece_bytes, len(after))
    assert receiver.messages == [DiscardedRequest(300), RECEIVED[0]] and not receiver.data
    assert receiver.consumed == len(LARGE_REQUEST) + len(after)


def test_a_notification_may_be_discarded_and_needs_no_answer() -> None:
    receiver = Receiver()
    receiver.receive(msgpack.packb([2, "x" * 5000, []])[:300])
    receiver.discard()
    receiver.receive(msgpack.packb([2, "x" * 5000, []])[300:])
    assert receiver.messages == [UnknownNotification("")]


@pytest.mark.parametrize("message", [[1, 7, None, [b"x" * 500]], [0, "7" * 500, "look", []], {1: "x" * 500}])
def test_what_is_neither_a_call_nor_a_notification_cannot_be_discarded(message: Any) -> None:
    receiver = Receiver()
    receiver.receive(msgpack.packb(message)[:100])
    with pytest.raises(MalformedMessageError):
        receiver.discard()


@pytest.mark.parametrize(
    "head",
    [
        b"\x94\x00\x07\xa4look\x92\x80\xc6\x00\x01\x00\x00",  # a body of 64 KiB
        b"\x94\x00\x07\xdb\xff\xff\xff\xff",
        b"\x94\x00\x07\xd9\xff" + b"x" * 255 + b"\xc5\xff\x00",
    ],
)
def test_a_message_that_will_be_too_long_is_refused_by_its_begin(head: bytes) -> None:
    """Guards against keeping what arrives of a message that cannot be accepted."""
    receiver = Receiver()
    receiver.receive(head[:-1])
    with pytest.raises(MessageTooLongError):
        receiver.receive(head[-1:])


def test_a_discarded_message_may_not_be_longer_than_one_that_is_kept() -> None:
    receiver = Receiver()
    receiver.receive(b"\x94\x00\x07\xc5\xff\x00" + b"x" * 600)
    receiver.discard()
    receiver.receive(b"x" * (0xFF00 - 600))
    with pytest.raises(MessageTooLongError):
        receiver.receive(b"\xc5\x01\x00")


@pytest.mark.parametrize("nested", [[[[]] * 60] * 10, [{"a": 1, "b": 2}] * 64, [[0] * 64] * 5])
def test_a_message_of_very_many_short_elements_is_refused_by_its_begin(nested: Any) -> None:
    """Guards against a message that takes many times its size once it is decoded."""
    data = msgpack.packb([0, 7, "look", [QUERY, nested]])
    receiver = Receiver()
    with pytest.raises(MalformedMessageError):
        for at in range(len(data) - 1):
            receiver.receive(data[at : at + 1])


@pytest.mark.parametrize(
    "message",
    [
        b"\xc1",
        b"\x07",
        msgpack.packb([0, "7", "look", [{}, b""]]),
        msgpack.packb([0, 7, b"look", [{}, b""]]),
        msgpack.packb([0, 7, "look", []]),
        msgpack.packb([0, 7, "look", [b"", {}]]),
        msgpack.packb([0, 7, "look"]),
        msgpack.packb([1, 7, None, [b"", {}]]),
        msgpack.packb([2, "cancel", {}]),
        msgpack.packb([2, "cancel"]),
        msgpack.packb({0: 7}),
        msgpack.packb([2, "cancel", list(range(65))]),
        msgpack.packb(msgpack.ExtType(1, b"x")),
    ],
)
def test_invalid_bytes_end_the_decoding_after_the_messages_before_them(message: bytes) -> None:
    good = msgpack.packb(SENT[0])
    receiver = Receiver()
    with pytest.raises(MalformedMessageError):
        receiver.receive(good + message)
    assert receiver.messages == RECEIVED[:1]
    assert receiver.consumed == len(good)


@pytest.mark.parametrize(
    ("response", "message"),
    [
        (Response(7, None, [b"a\tb\tc\n", {"pages": "1"}]), [1, 7, None, [b"a\tb\tc\n", {"pages": "1"}]]),
        (Response(7, protocol.rejected_error(0.0), None), [1, 7, ["Rejected", {}], None]),
        (Response(7, protocol.rejected_error(1.2344), None), [1, 7, ["Rejected", {"after": "1234"}], None]),
        (Response(7, protocol.failed_error("lost"), None), [1, 7, ["Failed", {"why": "lost"}], None]),
        (Response(7, protocol.invalid_error("no"), None), [1, 7, ["Invalid", {"why": "no"}], None]),
    ],
)
def test_responses_are_encoded(response: Response, message: list[Any]) -> None:
    assert response.encode() == msgpack.packb(message)


def test_a_query_is_decoded_into_seconds_and_megabytes() -> None:
    call = protocol.decode_query("look", {**QUERY, "spool": "1"}, [b"select 1"], DEPLOYMENT)
    assert call == protocol.QueryCall(
        class_index=DEPLOYMENT.class_index["look"],
        class_name="look",
        request_id="0123456789abcdef",
        tenant="acme" if DEPLOYMENT.tenant_index else "",
        timeout_s=1.5,
        estimated_work_s=0.05,
        estimated_memory_mb=9.0,
        statement=b"select 1",
        stores_result=True,
    )
    assert not protocol.decode_query("look", QUERY, [b"select 1"], DEPLOYMENT).stores_result


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"id": "0123456789ABCDEF"}, "id is not 16 hex digits"),
        ({"id": 7}, "id is not 16 hex digits"),
        ({"wait": "0"}, "wait is not greater than 0"),
        ({"wait": "-1"}, "wait is not a number in range"),
        ({"wait": 1500}, "wait is not a number in range"),
        ({"wait": "1e3"}, "wait is not a number in range"),
        ({"cost": "999999999999999"}, "cost is not a number in range"),
        ({"need_mb": None}, "need_mb is not a number in range"),
    ],
)
def test_an_error_for_a_query_names_its_invalid_field(fields: dict[str, Any], reason: str) -> None:
    with pytest.raises(protocol.InvalidCallError) as err:
        protocol.decode_query("look", {**QUERY, **fields}, [b"select 1"], DEPLOYMENT)
    assert str(err.value) == reason


def test_calls_for_stored_results_are_decoded_and_checked() -> None:
    tenant = "acme" if DEPLOYMENT.tenant_index else ""
    fields = {"spool": "t" * 64, "page": "12", "tenant": "acme"}
    assert protocol.decode_page_call(fields, DEPLOYMENT) == protocol.PageCall("t" * 64, tenant, 12)
    assert protocol.decode_release_call(fields, DEPLOYMENT) == protocol.ReleaseCall("t" * 64, tenant)
    for invalid_fields in (
        {"spool": ""},
        {"spool": "t" * 65},
        {"spool": 1},
        {"page": "0"},
        {"page": "٣"},
        {"page": 1},
    ):
        with pytest.raises(protocol.InvalidCallError):
            protocol.decode_page_call(fields | invalid_fields, DEPLOYMENT)
