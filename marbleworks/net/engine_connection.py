"""One HTTP connection to an engine: writes a request, reads the response, and checks that it is valid.

Engines may send malformed, duplicate or excess bytes. A complete response is returned even if it is not
valid; one that cannot be parsed raises `StreamClosedError` with the reason for closing the connection.
"""

from __future__ import annotations

import re
import zlib
from http import HTTPStatus
from typing import Any, NamedTuple

import httptools

from marbleworks.net import engine_protocol as protocol
from marbleworks.net.messages import AttemptKey
from marbleworks.net.stream import CloseReason, Stream, StreamClosedError

_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0b-\x1f\x7f]")
_COLUMN_COUNT = 3  # in each row of a result; columns are separated by tabs
_POLL_STATUSES = (HTTPStatus.ACCEPTED, HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


class HttpResponse:
    """One HTTP response.

    Attributes:
        status: Status code; 0 until the response is complete.
        fields: Header fields, keyed by name in lower case.
        body: Body received so far, without what a page may not have.
        has_excess_bytes: Whether more bytes arrived than belong to the response. Its length may be wrong
            instead; the two cases cannot be told apart.
    """

    def __init__(self) -> None:
        self.status = 0
        self.fields = dict[str, str]()
        self.body = bytearray()
        self.has_excess_bytes = False

    def is_valid_for_page(self, page: int) -> bool:
        """Whether this is a valid response to a request for the page; a request for page 0 is also a poll."""
        if self.status != HTTPStatus.OK:
            return self.status == HTTPStatus.INTERNAL_SERVER_ERROR or (
                page == 0 and self.status in _POLL_STATUSES
            )
        pages = protocol.page_count(self.fields)
        if page == 0:
            matches_page = pages is not None and pages <= protocol.MAX_RESULT_BYTES
        else:
            matches_page = protocol.has_page_number(self.fields, page)
        if not matches_page or self.has_excess_bytes or len(self.body) > protocol.MAX_PAGE_BYTES:
            return False
        may_be_empty = page == 0 and pages == 1  # a whole result may be empty, one of several pages may not
        return self._has_whole_rows(may_be_empty)

    def _has_whole_rows(self, may_be_empty: bool) -> bool:
        if _CONTROL_CHARACTER.search(self.body):
            return False
        try:
            rows = self.body.decode().split("\n")
        except UnicodeDecodeError:
            return False
        after_last_row = rows.pop()
        if after_last_row or not (rows or may_be_empty):
            return False
        return all(row.count("\t") == _COLUMN_COUNT - 1 for row in rows)


class TooManyFieldsError(Exception):
    """Raised if a response's header has too many fields, which would take many times their size in memory."""


class _ResultFingerprint(NamedTuple):
    """Identifies the last result that was read, so that a duplicate of it is recognized.

    Attributes:
        ref: Id of its request; empty if no result was read.
        checksum: CRC-32 of its header fields and body.
    """

    ref: str
    checksum: int


class EngineConnection:
    """A connection to an engine, for one request and response at a time.

    Its parser calls the `on_...` methods. The connection and its parser refer to each other until `close`.

    Attributes:
        stream: The TCP connection.
        parser: Parser of HTTP responses; None once closed.
        response: The response that is being read, or the last one.
        is_response_complete: Whether the response to the last request is complete.
        keep_alive: Whether the connection may be used for another request.
        idle_since: Unix time in seconds at which it was last returned to the pool.
        user: The attempt that the connection is used for, or was used for last.
    """

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.parser: Any = httptools.HttpResponseParser(self)
        self.response = HttpResponse()
        self.is_response_complete = True
        self.keep_alive = True
        self.idle_since = 0.0
        self.user: AttemptKey = ("", 0)
        self._last_result = _ResultFingerprint("", 0)

    def on_message_begin(self) -> None:
        """Called when a status line begins."""
        if self.is_response_complete:
            self.response.has_excess_bytes = True  # a second response, which was not requested
        else:
            self.response = HttpResponse()  # any response before this one was provisional

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called when a header field is complete.

        Raises:
            TooManyFieldsError: The header has more fields than a valid one; it ends the parsing.
        """
        if not self.is_response_complete:
            if len(self.response.fields) >= protocol.MAX_RESPONSE_FIELDS:
                raise TooManyFieldsError
            # Whitespace around a value is not part of it (RFC 9112, 5.1), but the parser keeps it at the end.
            self.response.fields[name.decode("latin-1").lower()] = value.decode("latin-1").strip(" \t")

    def on_body(self, body: bytes) -> None:
        """Called when a part of the body has arrived."""
        if not self.is_response_complete:  # one byte too many is enough to see that it is invalid
            free_bytes = protocol.MAX_PAGE_BYTES + 1 - len(self.response.body)
            self.response.body += body[:free_bytes]

    def on_message_complete(self) -> None:
        """Called when a response is complete; responses with a status below 200 are provisional."""
        status = self.parser.get_status_code()
        if not self.is_response_complete and status >= HTTPStatus.OK:
            self.is_response_complete = True
            self.keep_alive = self.parser.should_keep_alive()
            self.response.status = status

    def send_request(self, request: bytes, deadline: float) -> None:
        """Writes a request.

        Args:
            request: The encoded request.
            deadline: Unix time in seconds by which it has to be written.

        Raises:
            StreamClosedError: It could not be written.
        """
        self.response = HttpResponse()
        self.is_response_complete = False
        self.stream.write(request, deadline)

    def read_response(self, deadline: float) -> HttpResponse:
        """Reads the response to the last request.

        Args:
            deadline: Unix time in seconds by which the response has to arrive.

        Raises:
            StreamClosedError: The response did not arrive, cannot be parsed, or is too long.
        """
        bytes_read = 0
        while not self.is_response_complete:
            self.stream.fill(deadline)
            with self.stream.unread() as view:
                bytes_read += len(view)
                try:
                    self.parser.feed_data(view)
                except httptools.HttpParserError:
                    if not self.is_response_complete:
                        raise StreamClosedError(CloseReason.MALFORMED) from None
                    self.response.has_excess_bytes = True
                self.stream.consume(len(view))
            body_bytes = min(len(self.response.body), protocol.MAX_PAGE_BYTES)
            if bytes_read > protocol.MAX_RESPONSE_BYTES + protocol.CHUNK_OVERHEAD_BYTES * body_bytes:
                raise StreamClosedError(CloseReason.TOO_LONG)
        self.response.has_excess_bytes |= bool(self.stream.peek())
        self.keep_alive &= not self.response.has_excess_bytes
        return self.response

    def is_duplicate(self) -> bool:
        """Whether the response is a duplicate of an earlier request's result.

        This has to be called once for each response. It guards against a second copy of a valid response that
        arrives after the next request was sent. Nothing else tells that copy from the response to the next
        request.
        """
        response = self.response
        if response.status != HTTPStatus.OK:
            return False
        previous = self._last_result
        checksum = zlib.crc32(repr(response.fields).encode(), zlib.crc32(response.body))
        ref, _ = self.user
        self._last_result = _ResultFingerprint(ref, checksum)
        return previous.ref not in ("", ref) and previous.checksum == checksum

    def close(self, reason: CloseReason) -> None:
        """Closes the connection and releases its descriptor."""
        self.stream.close(reason)
        self.parser = None  # breaks the reference cycle, which would stay until the next garbage collection
