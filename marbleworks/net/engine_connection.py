"""One HTTP connection to an engine: writes a request, reads its response, and judges whether that is sound.

Engines may send broken, repeated or excess bytes. A response that arrived whole is passed on with what is
wrong with it; one that can't be read raises `StreamClosedError` with the reason to close the connection for.
"""

from __future__ import annotations

import re
import zlib
from http import HTTPStatus
from typing import Any, NamedTuple

import httptools

from marbleworks.net import engine_protocol as protocol
from marbleworks.net.stream import CloseReason, Stream, StreamClosedError

_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0b-\x1f\x7f]")
_COLUMNS = 3  # of each row of a result, separated by tabs
_STATUSES_OF_A_POLL = (HTTPStatus.ACCEPTED, HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


class HttpResponse:
    """One HTTP response."""

    def __init__(self) -> None:
        self.status = 0  # until it has arrived whole
        self.fields = dict[str, str]()  # by name in lower case
        self.body = bytearray()
        self.has_surplus = False  # more came than was its own, or its length is wrong: which, can't be told

    def is_sound(self, page: int) -> bool:
        """Whether it can be the response to a request for this page, where page 0 is also polled for."""
        if self.status != HTTPStatus.OK:
            return self.status == HTTPStatus.INTERNAL_SERVER_ERROR or (
                page == 0 and self.status in _STATUSES_OF_A_POLL
            )
        pages = protocol.page_count(self.fields)
        if page == 0:
            is_this_page = pages is not None and pages <= protocol.MAX_RESULT_BYTES
        else:
            is_this_page = protocol.has_page_number(self.fields, page)
        if not is_this_page or self.has_surplus or len(self.body) > protocol.MAX_PAGE_BYTES:
            return False
        may_be_empty = page == 0 and pages == 1  # a result may be empty, a page of several may not
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
        return all(row.count("\t") == _COLUMNS - 1 for row in rows)


class _ResultMark(NamedTuple):
    """Marks the last result that was read, so that a second copy of it is recognized."""

    ref: str
    checksum: int


class EngineConnection:
    """A connection to an engine, for one request and response at a time.

    Its parser calls the `on_...` methods. The two refer to each other until `close`.
    """

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.parser: Any = httptools.HttpResponseParser(self)
        self.response = HttpResponse()
        self.is_response_complete = True
        self.keep_alive = True
        self.idle_since = 0.0  # set when it is released
        self.ref = ""  # of the request that it is acquired for
        self._last_result = _ResultMark("", 0)

    def on_message_begin(self) -> None:
        """A status line begins."""
        if self.is_response_complete:
            self.response.has_surplus = True  # a second response, that nobody asked for
        else:
            self.response = HttpResponse()  # what went before it was provisional

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header field is complete."""
        if not self.is_response_complete:
            # Space about a value is no part of it (RFC 9112, 5.1), and the parser leaves what is behind it.
            self.response.fields[name.decode("latin-1").lower()] = value.decode("latin-1").strip(" \t")

    def on_body(self, body: bytes) -> None:
        """A part of the body has arrived."""
        if not self.is_response_complete:
            self.response.body += body

    def on_message_complete(self) -> None:
        """A response is complete; those below 200 are provisional."""
        status = self.parser.get_status_code()
        if not self.is_response_complete and status >= HTTPStatus.OK:
            self.is_response_complete = True
            self.keep_alive = self.parser.should_keep_alive()
            self.response.status = status

    def send_request(self, request: bytes, deadline: float) -> None:
        """Writes a request. Raises StreamClosedError."""
        self.response = HttpResponse()
        self.is_response_complete = False
        self.stream.write(request, deadline)

    def read_response(self, deadline: float) -> HttpResponse:
        """Reads the response to the last request; raises StreamClosedError, also where it is not sound."""
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
                    self.response.has_surplus = True
                self.stream.consume(len(view))
            body_bytes = min(len(self.response.body), protocol.MAX_PAGE_BYTES)
            if bytes_read > protocol.MAX_RESPONSE_BYTES + protocol.CHUNK_OVERHEAD_BYTES * body_bytes:
                raise StreamClosedError(CloseReason.TOO_LONG)
        self.response.has_surplus |= bool(self.stream.peek())
        self.keep_alive &= not self.response.has_surplus
        return self.response

    def is_repeat(self) -> bool:
        """Whether the response repeats the result of an earlier request.

        To be called once for each response. Guards against a second copy of a good response that arrives
        after the next request was sent, which nothing else tells from the response to that.
        """
        response = self.response
        if response.status != HTTPStatus.OK:
            return False
        earlier = self._last_result
        checksum = zlib.crc32(repr(response.fields).encode(), zlib.crc32(response.body))
        self._last_result = _ResultMark(self.ref, checksum)
        return earlier.ref not in ("", self.ref) and earlier.checksum == checksum

    def close(self, reason: CloseReason) -> None:
        """Closes the connection, and gives its descriptor back."""
        self.stream.close(reason)
        self.parser = None  # each refers to the other, and would stay until garbage is looked for
