"""Finds the end of a MessagePack message in bytes that arrive in pieces, without decoding them.

Each byte is looked at once, however small the pieces are, and a scan holds no more than some counters. The
limits hold before a message is complete, so that no message is kept that could not be accepted.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_ELEMENTS = 256  # of one message, over all levels; a request with all 64 fields has about 140


class MalformedMessageError(Exception):
    """Raised if received bytes are not a MessagePack-RPC message that a client may send."""


class MessageTooLongError(MalformedMessageError):
    """Raised if a message is longer than allowed, as soon as its begin shows it."""


class _Header(NamedTuple):
    """What the first byte of an element says.

    Attributes:
        length_bytes: Size of the length that follows the first byte; 0 if none follows.
        payload_bytes: Number of bytes that follow, if there is no length.
        items: Number of elements inside, if there is no length.
        items_per_length: Elements inside for each unit of the length; 0 if the length counts bytes.
    """

    length_bytes: int = 0
    payload_bytes: int = 0
    items: int = 0
    items_per_length: int = 0


def _headers() -> list[_Header | None]:
    """Returns the header for each first byte; None for those that no message may have."""
    headers: list[_Header | None] = [_Header()] * 256
    for size in range(16):
        headers[0x80 + size] = _Header(items=2 * size)
        headers[0x90 + size] = _Header(items=size)
    for size in range(32):
        headers[0xA0 + size] = _Header(payload_bytes=size)
    headers[0xC1] = None
    for extension_type in (0xC7, 0xC8, 0xC9, 0xD4, 0xD5, 0xD6, 0xD7, 0xD8):
        headers[extension_type] = None
    for number_type, size in ((0xCA, 4), (0xCB, 8), (0xCC, 1), (0xCD, 2), (0xCE, 4), (0xCF, 8)):
        headers[number_type] = _Header(payload_bytes=size)
    for exponent in range(4):
        headers[0xD0 + exponent] = _Header(payload_bytes=1 << exponent)
    for exponent in range(3):
        headers[0xC4 + exponent] = headers[0xD9 + exponent] = _Header(length_bytes=1 << exponent)
    for exponent in (1, 2):
        headers[0xDB + exponent] = _Header(length_bytes=1 << exponent, items_per_length=1)
        headers[0xDD + exponent] = _Header(length_bytes=1 << exponent, items_per_length=2)
    return headers


_HEADERS = _headers()


class MessageScanner:
    """The scan of one message after the other.

    Args:
        max_bytes: Maximum size of a message.

    Attributes:
        position: Offset of the next element from the first byte that is kept of the message; it is beyond the
            received bytes if a string is incomplete.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.position = 0
        self._dropped_bytes = 0
        self._items_left = 1
        self._elements = 0

    def reset(self) -> None:
        """Begins with the next message."""
        self.position = 0
        self._dropped_bytes = 0
        self._items_left = 1
        self._elements = 0

    def scan(self, data: memoryview) -> bool:
        """Continues the scan, and returns whether the message is complete.

        Args:
            data: The received bytes from the first one that is kept of the message; it then ends at
                `position`.

        Raises:
            MalformedMessageError: These bytes cannot become a message.
        """
        end = len(data)
        position = self.position
        items_left = self._items_left
        while items_left and position < end:
            header = _HEADERS[data[position]]
            if header is None:
                raise MalformedMessageError
            length_bytes, payload_bytes, items, items_per_length = header
            payload_at = position + 1 + length_bytes
            if length_bytes:
                if payload_at > end:
                    break
                length = int.from_bytes(data[position + 1 : payload_at])
                if items_per_length:
                    items = length * items_per_length
                else:
                    payload_bytes = length
            position = payload_at + payload_bytes
            items_left += items - 1
            self._elements += 1
            if self._elements + items_left > MAX_ELEMENTS:
                raise MalformedMessageError
        self.position = position
        self._items_left = items_left
        if self._dropped_bytes + position + items_left > self._max_bytes:
            raise MessageTooLongError
        return not items_left and position <= end

    def drop_scanned(self, received_bytes: int) -> int:
        """Forgets the bytes that have been scanned and returns their number.

        Args:
            received_bytes: Size of the data of the last scan.
        """
        count = min(self.position, received_bytes)
        self.position -= count
        self._dropped_bytes += count
        return count
