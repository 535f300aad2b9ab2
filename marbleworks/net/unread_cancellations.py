"""Finds the cancellations in bytes of a client that have arrived and that its session has not handled yet.

A session handles messages in its turn, which may come late when many clients send much. An attempt of a call
must not begin when the client's cancellation has already arrived. So the arrived bytes are examined right
before, without changing the order in which the session handles them. Each message is examined once.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgpack

from marbleworks.net.message_scanner import MalformedMessageError
from marbleworks.net.protocol import MAX_MESSAGE_BYTES
from marbleworks.net.rpc import CancelNotification, MessageDecoder, decode_message
from marbleworks.net.stream import Stream

MAX_FOUND = 64  # call ids kept for a connection; reading has to go on before more are looked for
_MAX_CANCELLATION_BYTES = 64  # more than a cancellation takes in any form


class UnreadCancellations:
    """The cancellations among the unhandled bytes of one connection.

    Args:
        stream: The connection.
        decoder: Decoder of the connection's messages.
    """

    def __init__(self, stream: Stream, decoder: MessageDecoder) -> None:
        self._stream = stream
        self._decoder = decoder
        self._is_complete = True  # whether the last examination covered all bytes that had arrived
        # Positions count all bytes that the connection has received.
        self._examined_end = 0  # end of the last message that was examined
        self._covered_end = 0  # end of the bytes that the last examination looked at
        self._found: dict[int, int] = {}  # end of the last cancellation of a call, by call id

    def contains(self, call_id: int) -> bool:
        """Examines what has arrived, and returns whether a cancellation of the call is in it."""
        self._examine()
        return call_id in self._found

    def may_miss_any(self) -> bool:
        """Examines what has arrived, and returns whether it has more cancellations than can be kept."""
        self._examine()
        return not self._is_complete

    def _examine(self) -> None:
        stream = self._stream
        handled_end = stream.consumed_bytes
        if self._found:
            self._found = {call_id: end for call_id, end in self._found.items() if end > handled_end}
        arrived_end = handled_end + stream.buffered_bytes + stream.count_arrived()
        if arrived_end == handled_end:
            self._is_complete = True
        elif arrived_end != self._covered_end or not self._is_complete:
            data = stream.copy_unread(MAX_MESSAGE_BYTES)
            self._is_complete = self._examine_unhandled(data, handled_end)
            self._covered_end = handled_end + len(data)

    def _examine_unhandled(self, data: bytes, handled_end: int) -> bool:
        """Examines the messages after the last examined one, and returns whether there was room for all."""
        first_message = self._decoder.next_message_offset(data)
        if first_message is None:  # all of it belongs to a message that the session discards
            return True
        self._examined_end = max(self._examined_end, handled_end + first_message)
        for end, cancellation in _messages(data, self._examined_end - handled_end):
            if len(self._found) >= MAX_FOUND:
                return False
            self._examined_end = handled_end + end
            if cancellation is not None:
                self._found[cancellation.call_id] = self._examined_end
        return True


def _messages(data: bytes, begin: int) -> Iterator[tuple[int, CancelNotification | None]]:
    """Yields the end offset of each complete message from `begin` on, and the cancellation if it is one.

    It stops at malformed bytes, since the session closes the connection when it gets there.
    """
    if begin >= len(data):
        return
    unpacker = msgpack.Unpacker(max_buffer_size=len(data))
    unpacker.feed(memoryview(data)[begin:])
    start = begin
    while True:
        try:
            unpacker.skip()
        except (ValueError, msgpack.UnpackException):  # also raised if the message is incomplete
            return
        end = begin + unpacker.tell()
        yield end, _as_cancellation(data, start, end)
        start = end


def _as_cancellation(data: bytes, start: int, end: int) -> CancelNotification | None:
    if end - start > _MAX_CANCELLATION_BYTES:
        return None
    try:
        message = decode_message(memoryview(data)[start:end])
    except MalformedMessageError:
        return None
    return message if isinstance(message, CancelNotification) else None
