"""MessagePack-RPC: framing and typed messages, without I/O.

A `MessageDecoder` decodes the messages in received bytes, and a `Response` encodes one answer. The caller
interprets the methods and checks whether a call id is in use. Messages are not frozen dataclasses, since
those cost several times as much to create, and a client's request needs two messages.
"""

from __future__ import annotations

from copy import copy
from dataclasses import dataclass
from typing import Any

import msgpack

from marbleworks.net import protocol
from marbleworks.net.message_scanner import MalformedMessageError, MessageScanner

_REQUEST, _RESPONSE, _NOTIFICATION = 0, 1, 2  # message types
_MAX_CALL_HEAD_BYTES = 64  # more than the type and the id of a call take in any form
_MAX_ELEMENTS = 64  # maximum length of an array or a map
# Without these limits, a short message could make the decoder allocate memory out of proportion to its size.
_UNPACKER_LIMITS: dict[str, Any] = {
    "max_str_len": protocol.MAX_MESSAGE_BYTES,
    "max_bin_len": protocol.MAX_MESSAGE_BYTES,
    "max_array_len": _MAX_ELEMENTS,
    "max_map_len": _MAX_ELEMENTS,
    "max_ext_len": 0,
}
_PACKER = msgpack.Packer()  # one for all, since each allocates a buffer of 256 KiB


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
        data: bytes = _PACKER.pack([_RESPONSE, self.call_id, error, self.result])
        return data


@dataclass(slots=True)
class DiscardedRequest:
    """A call of which only the id was kept, for lack of memory."""

    call_id: int


Message = Request | CancelNotification | UnknownNotification | DiscardedRequest


class MessageDecoder:
    """Decodes one message after the other from bytes that arrive in pieces.

    Attributes:
        consumed: Number of bytes at the begin of the last data that are not needed any more.
    """

    def __init__(self) -> None:
        self.consumed = 0
        self._scanner = MessageScanner(protocol.MAX_MESSAGE_BYTES)
        self._discarded: DiscardedRequest | UnknownNotification | None = None

    @property
    def is_discarding(self) -> bool:
        """Whether the present message is discarded as it arrives."""
        return self._discarded is not None

    def decode(self, data: memoryview) -> Message | None:
        """Returns the message at the begin of the data; None if it is incomplete.

        Args:
            data: The received bytes, without those that an earlier call has consumed.

        Raises:
            MalformedMessageError: The bytes are not a message.
        """
        self.consumed = 0
        is_complete = self._scanner.scan(data)
        if self._discarded is not None:
            self.consumed = self._scanner.drop_scanned(len(data))
            return self._end_discarding() if is_complete else None
        if not is_complete:
            return None
        size = self._scanner.position
        message = decode_message(data[:size])
        self._scanner.reset()
        self.consumed = size
        return message

    def discard(self, data: memoryview) -> None:
        """Discards the incomplete message at the begin of the data, also what has not arrived yet.

        Raises:
            MalformedMessageError: It is neither a call nor a notification.
        """
        self._discarded = _message_to_discard(data[:_MAX_CALL_HEAD_BYTES])
        self.consumed = self._scanner.drop_scanned(len(data))

    def next_message_offset(self, data: bytes) -> int | None:
        """Returns where the first message begins that is not being discarded.

        Args:
            data: The received bytes, without those that an earlier call has consumed.

        Returns:
            Offset in the data; None if the discarded message does not end in it, or is malformed.
        """
        if self._discarded is None:
            return 0
        scanner = copy(self._scanner)
        try:
            is_complete = scanner.scan(memoryview(data))
        except MalformedMessageError:
            return None
        return scanner.position if is_complete else None

    def _end_discarding(self) -> Message | None:
        message = self._discarded
        self._discarded = None
        self._scanner.reset()
        return message


def decode_message(data: memoryview) -> Message:
    """Decodes one complete message.

    Raises:
        MalformedMessageError: The bytes are not a message.
    """
    return _typed(_unpack(data))


def _message_to_discard(head: memoryview) -> DiscardedRequest | UnknownNotification:
    unpacker = msgpack.Unpacker(max_buffer_size=_MAX_CALL_HEAD_BYTES)
    unpacker.feed(head)
    try:
        unpacker.read_array_header()
        message_type = unpacker.unpack()
        if message_type == _NOTIFICATION:
            return UnknownNotification("")
        call_id = unpacker.unpack()
    except (ValueError, TypeError, msgpack.UnpackException):
        raise MalformedMessageError from None
    if message_type != _REQUEST or not isinstance(call_id, int):
        raise MalformedMessageError
    return DiscardedRequest(call_id)


def _unpack(data: memoryview) -> Any:
    try:
        return msgpack.unpackb(data, **_UNPACKER_LIMITS)
    except (ValueError, TypeError, msgpack.UnpackException, RecursionError):
        raise MalformedMessageError from None


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
