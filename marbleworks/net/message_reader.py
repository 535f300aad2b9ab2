"""Reads the messages of one client's connection, in turns that all connections share.

A session gives a reader its stream and gets each message back. The reader knows how long a client may take
for a message, waits for its turn before it handles messages, and pauses while the client's answers pile up.
"""

from __future__ import annotations

import weakref
from collections.abc import Iterator
from typing import Protocol

import gevent
from gevent.event import Event

from marbleworks.net import protocol
from marbleworks.net.actor import clock
from marbleworks.net.rpc import Message, MessageDecoder
from marbleworks.net.stream import BufferMemoryError, CloseReason, Stream, StreamClosedError
from marbleworks.net.time_slices import Lane, SharedTimeSlices

MAX_WAITING_ANSWERS = 8  # for errors and answers to `health`; reading pauses beyond it
_RESTED_S = 0.02  # since the last message or answer of a client that has no open call
_DISCONNECT_CHECK_INTERVAL_S = 0.05  # while reading pauses


class ReadingSession(Protocol):
    """The session whose messages are read.

    Attributes:
        last_used_at: Unix time in seconds of the last message or answer; None before the first message.
        has_requested: Whether a valid request has arrived.
        has_written: Whether a write to the client has begun since the connection was opened.
        closing_reason: Set once a graceful close has begun.
    """

    last_used_at: float | None
    has_requested: bool
    has_written: bool
    closing_reason: CloseReason | None

    def handle_message(self, message: Message) -> None:
        """Handles a message; raises MalformedMessageError if it violates the protocol."""

    def has_calls(self) -> bool:
        """Whether there are calls, also cancelled ones whose attempts have not ended."""

    def has_open_call(self) -> bool:
        """Whether the client waits for an answer."""

    def count_waiting_answers(self) -> int:
        """Returns the number of answers that wait to be written."""


class MessageReader:
    """Reads messages until the connection ends or its session closes it.

    Args:
        session: The session.
        stream: The connection.
        slices: Time slices in which all sessions handle what they have received.

    Attributes:
        decoder: Decodes the received messages.
        partial_since: Unix time in seconds since which a message is incomplete; None if there is none.
    """

    def __init__(self, session: ReadingSession, stream: Stream, slices: SharedTimeSlices) -> None:
        # A weak reference, since a reference cycle would keep both alive until the next garbage collection.
        self._session: ReadingSession = weakref.proxy(session)
        self._stream = stream
        self._slices = slices
        self._answers_written: Event | None = None  # set when few are left, while reading pauses
        self.decoder = MessageDecoder()
        self.partial_since: float | None = None

    @property
    def has_partial_message(self) -> bool:
        """Whether a part of a message has been received."""
        return bool(self._stream.unread_end) or self.decoder.is_discarding

    def read(self) -> None:
        """Handles messages until a graceful close begins.

        Raises:
            StreamClosedError: The connection has ended or has to be closed.
            MalformedMessageError: A message is malformed.
        """
        session = self._session
        while session.closing_reason is None:
            deadline = self._deadline()
            try:
                self._receive(deadline)
            except StreamClosedError as err:
                if err.reason is not CloseReason.TIMEOUT or self._deadline() == deadline:
                    raise
                continue
            if session.closing_reason is not None:
                return
            self._handle_messages()
            gevent.sleep(0)  # one busy client must not starve the others

    def on_answer_written(self) -> None:
        """Continues the reading once few answers are left to be written."""
        if self._answers_written is not None and not self._must_pause():
            self._answers_written.set()

    def _deadline(self) -> float | None:
        """Returns the Unix time in seconds until which to wait for more bytes; None for no limit.

        It ends the connection if it is the same once it has passed. A client with an open call may write the
        next one slowly, and has its time for the rest of it after the answer: what it has sent stays within
        the memory of its connection, and each call has a deadline.
        """
        session = self._session
        has_partial = self.has_partial_message
        if session.has_open_call() or (session.has_calls() and not has_partial):
            return clock() + protocol.MESSAGE_TIMEOUT_S if has_partial or not session.has_written else None
        if session.last_used_at is None:
            return self._stream.opened_at + protocol.MESSAGE_TIMEOUT_S
        if has_partial:
            return max(session.last_used_at, self.partial_since or 0.0) + protocol.MESSAGE_TIMEOUT_S
        return None if session.has_written else session.last_used_at + protocol.MESSAGE_TIMEOUT_S

    def _receive(self, deadline: float | None) -> None:
        """Waits for more bytes; a message for which there is no memory is discarded as it arrives."""
        try:
            self._stream.fill(deadline)
        except BufferMemoryError:
            with self._stream.unread() as view:
                self.decoder.discard(view)
            self._stream.consume(self.decoder.consumed)
            self._stream.fill(deadline)

    def _handle_messages(self) -> None:
        """Handles all complete messages in the buffer.

        What a client has sent before it disconnected is not handled if it had to wait for its turn.

        Raises:
            StreamClosedError: The client has disconnected.
            MalformedMessageError: A message is malformed.
        """
        handled_any = False
        partial_since = self.partial_since
        self.partial_since = None
        lane = Lane.RESTED if self._has_rested() else Lane.BEGINNING
        with self._slices.turn(lane) as has_waited:
            if has_waited:
                self._check_connected()
            for message in self._messages():
                handled_any = True
                self._session.last_used_at = clock()
                self._session.handle_message(message)
                self._apply_backpressure()
                if self._slices.renew():
                    self._check_connected()
        if self.has_partial_message:
            self.partial_since = clock() if handled_any or partial_since is None else partial_since

    def _has_rested(self) -> bool:
        """Whether the client sends valid requests, one after the other."""
        session = self._session
        if session.last_used_at is None or session.has_calls() or not session.has_requested:
            return False
        return clock() > session.last_used_at + _RESTED_S

    def _check_connected(self) -> None:
        if self._stream.is_gone():
            raise StreamClosedError(CloseReason.CLOSED)

    def _messages(self) -> Iterator[Message]:
        """Yields complete messages; the rest of an incomplete one stays in the buffer.

        Raises:
            MalformedMessageError: The next bytes are not a message.
        """
        while self._stream.unread_end:
            with self._stream.unread() as view:
                message = self.decoder.decode(view)
            self._stream.consume(self.decoder.consumed)
            if message is None:
                return
            yield message

    def _must_pause(self) -> bool:
        return self._session.count_waiting_answers() > MAX_WAITING_ANSWERS

    def _apply_backpressure(self) -> None:
        """Pauses reading while answers of the client wait to be written.

        A client that closes its connection meanwhile has answers that it did not read. That resets the
        connection, so a disconnect is noticed although its bytes are not read.
        """
        if not self._must_pause():
            return
        with self._slices.suspended():
            while self._must_pause():
                self._answers_written = Event()
                self._answers_written.wait(_DISCONNECT_CHECK_INTERVAL_S)
                self._check_connected()
        self._answers_written = None
