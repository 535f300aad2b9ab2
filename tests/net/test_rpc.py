"""Tests of MessagePack-RPC framing and of the decoding of calls, without sockets."""

from __future__ import annotations

from typing import Any

import msgpack
import pytest

from marbleworks.net import protocol
from marbleworks.net.rpc import (
    CancelNotification,
    MalformedMessageError,
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


def decoded(data: bytes) -> tuple[list[Message], int]:
    """Returns the complete messages in the data and their total size in bytes."""
    decoder = MessageDecoder(memoryview(data))
    return list(decoder), decoder.consumed


def test_a_cut_at_any_byte_yields_the_complete_messages_and_their_length() -> None:
    parts = [msgpack.packb(message) for message in SENT]
    data = b"".join(parts)
    ends = [sum(map(len, parts[: n + 1])) for n in range(len(parts))]
    for cut in range(len(data) + 1):
        complete = sum(end <= cut for end in ends)
        assert decoded(data[:cut]) == (RECEIVED[:complete], ends[complete - 1] if complete else 0)


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
    decoder = MessageDecoder(memoryview(good + message))
    messages = iter(decoder)
    assert next(messages) == RECEIVED[0]
    with pytest.raises(MalformedMessageError):
        next(messages)
    assert decoder.consumed == len(good)


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
