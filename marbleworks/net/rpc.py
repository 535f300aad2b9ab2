"""MessagePack-RPC: framing and typed messages, without I/O.

A `MessageDecoder` splits received bytes into messages; a `Response` encodes one answer. What the methods
mean, and whether a call number is in use, is decided by the caller. Messages are not frozen: that would make
them several times as costly to create, and there are two for each request of a client.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgpack

from marbleworks.net import protocol

_RESPONSE = 1  # the type of a message; 0 is a request and 2 a notification
_MAX_ELEMENTS = 64  # of an array or a map
# Without these limits a short message could claim memory out of proportion to its size.
_UNPACKER_LIMITS: dict[str, Any] = {
    "max_buffer_size": protocol.MAX_MESSAGE_BYTES,
    "max_str_len": protocol.MAX_MESSAGE_BYTES,
    "max_bin_len": protocol.MAX_MESSAGE_BYTES,
    "max_array_len": _MAX_ELEMENTS,
    "max_map_len": _MAX_ELEMENTS,
    "max_ext_len": 0,
}


class MalformedMessageError(Exception):
    """The received bytes are not a MessagePack-RPC message that a client may send."""


@dataclass(slots=True)
class Request:
    """A call; `params` of the wire are the fields followed by the body."""

    call_id: int
    method: str
    fields: dict[Any, Any]
    body: list[Any]


@dataclass(slots=True)
class CancelNotification:
    """The client no longer waits for the answer to a call."""

    call_id: int


@dataclass(slots=True)
class UnknownNotification:
    """A notification of any other method; it needs no answer."""

    method: str


@dataclass(slots=True)
class Response:
    """The answer to a call: an error or a result, the other is None."""

    call_id: int
    error: protocol.CallError | None
    result: list[Any] | None

    def encode(self) -> bytes:
        """Returns the message as it is sent."""
        error = None if self.error is None else [self.error.name.value, self.error.fields]
        data: bytes = msgpack.packb([_RESPONSE, self.call_id, error, self.result])
        return data


Message = Request | CancelNotification | UnknownNotification


class MessageDecoder:
    """Iterates over the complete messages in `data`, which may end within one.

    Attributes:
        consumed: Length in bytes of the messages yielded so far.
    """

    def __init__(self, data: memoryview) -> None:
        self.consumed = 0
        self._unpacker = msgpack.Unpacker(**_UNPACKER_LIMITS)
        self._unpacker.feed(data)

    def __iter__(self) -> Iterator[Message]:
        """Yields messages in order.

        Raises:
            MalformedMessageError: The next bytes are no message; those before were yielded.
        """
        while True:
            try:
                value = self._unpacker.unpack()
            except msgpack.OutOfData:
                return
            except (ValueError, TypeError, msgpack.UnpackException, RecursionError):
                raise MalformedMessageError from None
            message = _typed(value)
            self.consumed = self._unpacker.tell()
            yield message


def _typed(value: Any) -> Message:
    match value:
        case [0, int(call_id), str(method), [dict(fields), *body]]:
            return Request(call_id, method, fields, body)
        case [2, protocol.METHOD_CANCEL, [int(call_id)]]:
            return CancelNotification(call_id)
        case [2, str(method), list()]:
            return UnknownNotification(method)
        case _:
            raise MalformedMessageError
