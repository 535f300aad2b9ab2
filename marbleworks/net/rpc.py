"""MessagePack-RPC: framing and typed messages, without I/O.

A `MessageDecoder` splits received bytes into messages, and a `Response` encodes one answer. The caller
interprets the methods and checks whether a call id is in use. Messages are not frozen dataclasses, since
those cost several times as much to create, and a client's request needs two messages.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgpack

from marbleworks.net import protocol

_RESPONSE = 1  # message type of a response; 0 is a request and 2 a notification
_MAX_ELEMENTS = 64  # maximum length of an array or a map
# Without these limits, a short message could make the decoder allocate memory out of proportion to its size.
_UNPACKER_LIMITS: dict[str, Any] = {
    "max_buffer_size": protocol.MAX_MESSAGE_BYTES,
    "max_str_len": protocol.MAX_MESSAGE_BYTES,
    "max_bin_len": protocol.MAX_MESSAGE_BYTES,
    "max_array_len": _MAX_ELEMENTS,
    "max_map_len": _MAX_ELEMENTS,
    "max_ext_len": 0,
}


class MalformedMessageError(Exception):
    """Raised if received bytes are not a MessagePack-RPC message that a client may send."""


@dataclass(slots=True)
class Request:
    """A call. On the wire, `params` holds the fields followed by the body.

    Attributes:
        call_id: The client's id of the call.
        method: Name of the method.
        fields: Named parameters.
        body: Parameters after the fields.
    """

    call_id: int
    method: str
    fields: dict[Any, Any]
    body: list[Any]


@dataclass(slots=True)
class CancelNotification:
    """A notification that the client no longer waits for the answer to a call."""

    call_id: int


@dataclass(slots=True)
class UnknownNotification:
    """A notification with any other method; it needs no answer."""

    method: str


@dataclass(slots=True)
class Response:
    """The answer to a call: either an error or a result; the other one is None."""

    call_id: int
    error: protocol.CallError | None
    result: list[Any] | None

    def encode(self) -> bytes:
        """Returns the encoded message."""
        error = None if self.error is None else [self.error.name.value, self.error.fields]
        data: bytes = msgpack.packb([_RESPONSE, self.call_id, error, self.result])
        return data


Message = Request | CancelNotification | UnknownNotification


class MessageDecoder:
    """Iterates over the complete messages in `data`, which may end with an incomplete one.

    Attributes:
        consumed: Total size in bytes of the messages yielded so far.
    """

    def __init__(self, data: memoryview) -> None:
        self.consumed = 0
        self._unpacker = msgpack.Unpacker(**_UNPACKER_LIMITS)
        self._unpacker.feed(data)

    def __iter__(self) -> Iterator[Message]:
        """Yields messages in order.

        Raises:
            MalformedMessageError: The next bytes are not a message; the messages before them were yielded.
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
