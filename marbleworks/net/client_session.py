"""One client's connection: its MessagePack-RPC calls, their answers, and its close.

A session is an actor: its own greenlet writes, and a second one reads. It never answers a call twice, answers
what it has no memory for at once, and closes a connection with open calls only if the client violates the
protocol, the client has disconnected, or the router stops.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, Protocol

import gevent
from gevent.event import Event

from marbleworks.net import protocol
from marbleworks.net.actor import OnDemandActor, clock, spawn
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.memory_plan import OPEN_REQUEST_BYTES
from marbleworks.net.message_reader import MessageReader
from marbleworks.net.message_scanner import MalformedMessageError, MessageTooLongError
from marbleworks.net.messages import NewRequest, OpenRequest
from marbleworks.net.protocol import InvalidCallError, PageCall, QueryCall
from marbleworks.net.request_memory import MemoryAccount, MemoryReservation
from marbleworks.net.rpc import CancelNotification, DiscardedRequest, Message, Request, Response
from marbleworks.net.statement_parser import table_group
from marbleworks.net.stream import CloseReason, Stream, StreamClosedError
from marbleworks.net.time_slices import SharedTimeSlices
from marbleworks.net.unread_cancellations import UnreadCancellations
from marbleworks.ports import PageUnavailable, ResultStore
from marbleworks.settings import Settings

_MAX_OPEN_PAGE_CALLS = 4  # for each session, since each call holds a page in memory
_BLOCKED_WRITE_S = 0.1  # a write that takes longer waits for its client to read
_WRITE_TIMEOUT_S = 1.0  # minimum time for a write, also for an answer whose call has no time left
_CLIENT_GONE_POLL_INTERVAL_S = 0.5  # how often to check for a disconnect while a page is being delivered
_DRAIN_TIMEOUT_S = 0.25  # how long a graceful close discards received bytes
_MAX_DRAIN_BYTES = 1 << 18
# Reasons for which the router, not the client, closes the connection.
_CLOSED_BY_ROUTER = (CloseReason.TIMEOUT, CloseReason.MALFORMED, CloseReason.TOO_LONG)
_BUSY_RETRY_AFTER_S = 1.0


class RouterBusyError(Exception):
    """Raised for a call that is rejected because the router has no memory for it."""


class SessionHost(Protocol):
    """The listener that accepted the sessions, and the state that they share.

    Attributes:
        dispatcher: Actor that takes the clients' requests.
        settings: Settings of the deployment.
        healthy: The answer to `health`; False while the router stops.
        result_store: Store of query results; None where results are not stored.
        health_details: Returns the details that answer a `health` call about a subsystem, by its name.
        sessions: Sessions that are not closed, in the order of their connections; a session adds and removes
            itself.
        reading_slices: Time slices in which the sessions handle what they have received.
    """

    dispatcher: Dispatcher
    settings: Settings
    healthy: bool
    result_store: ResultStore | None
    health_details: Callable[[str], dict[str, Any]] | None
    sessions: dict[ClientSession, None]
    reading_slices: SharedTimeSlices

    def close_blocked_session(self) -> None:
        """Closes the session that holds the most memory among those whose clients do not read."""


@dataclass(eq=False)
class PendingCall:
    """An open call, kept until it is answered or, if it is abandoned, until its last attempt has ended.

    Attributes:
        deadline: Unix time in seconds until which the client waits.
        request: The request passed to the dispatcher; None for a call for a page.
        abandoned: Whether the client cancelled the call or disconnected; nothing more is sent for it.
    """

    deadline: float
    request: OpenRequest | None = None
    abandoned: bool = False


class ClientSession(OnDemandActor):
    """A client's connection, from its first byte to its close.

    Attributes:
        memory: What the connection holds of the memory for received bytes and open requests.
        calls: Open calls by the call ids that the client gave them.
        last_used_at: Unix time in seconds of the last message or answer; None before the first message.
        has_requested: Whether a valid request has arrived.
        has_written: Whether a write to the client has begun since the connection was opened.
        closing_reason: Set once a graceful close has begun; received bytes are discarded from then on.
    """

    def __init__(self, listener: SessionHost, stream: Stream, memory: MemoryAccount) -> None:
        super().__init__()
        self.listener = listener
        self.dispatcher = listener.dispatcher
        self.settings = listener.settings
        self.stream = stream
        self.memory = memory
        self.calls: dict[int, PendingCall] = {}
        self.last_used_at: float | None = None
        self.has_requested = False
        self.has_written = False
        self._write_began_at: float | None = None  # Unix time in seconds; None while nothing is written
        self.closing_reason: CloseReason | None = None
        self._reader = MessageReader(self, stream, listener.reading_slices)
        self._unread_cancellations = UnreadCancellations(stream, self._reader.decoder)
        listener.sessions[self] = None
        spawn(self._read)

    # Answers. The dispatcher calls `put_answer`; it and the reading greenlet post the other methods.

    def put_answer(self, call_id: int, result: bytearray, result_fields: dict[str, str]) -> None:
        """Queues a query's result and its metadata.

        If there is no memory for it, a client that does not read its results is disconnected.
        """
        if self.finished:
            return
        data = Response(call_id, None, [result, result_fields]).encode()
        if not self.memory.reserve(len(data)):
            self.memory.take(len(data))
            self.listener.close_blocked_session()
        self.post(self._write_result, call_id, data, MemoryReservation(self.memory, len(data)))

    def is_write_blocked(self) -> bool:
        """Whether the client has not read for so long that an answer could not be written completely."""
        return self._write_began_at is not None and clock() > self._write_began_at + _BLOCKED_WRITE_S

    def _write_result(self, call_id: int, data: bytes, memory: MemoryReservation) -> None:
        try:
            self._finish_call(call_id, data)
        finally:
            memory.release()

    def shed(self, call_id: int, retry_after_s: float) -> None:
        """Rejects a query.

        Args:
            call_id: The client's id of the call.
            retry_after_s: Seconds after which the client may retry; 0 if the answer gives no time.
        """
        self._finish_call(call_id, Response(call_id, protocol.rejected_error(retry_after_s), None).encode())

    def fail(self, call_id: int, reason: str) -> None:
        """Answers a query with a permanent error."""
        self._finish_call(call_id, Response(call_id, protocol.failed_error(reason), None).encode())

    def on_abandoned_request_settled(self, request: OpenRequest) -> None:
        """Removes an abandoned call, whose call id may be in use again."""
        call = self.calls.get(request.call_id)
        if call is not None and call.request is request:
            del self.calls[request.call_id]

    def _deliver_page(self, response: Response, timeout_s: float, delivered: Event) -> None:
        call = self.calls.get(response.call_id)
        if call is not None and not call.abandoned:
            self._write(response.encode(), clock() + timeout_s)
        self.calls.pop(response.call_id, None)
        delivered.set()

    def _finish_call(self, call_id: int, data: bytes) -> None:
        call = self.calls.get(call_id)
        if call is not None and not call.abandoned:
            self._write(data, call.deadline)
        if call is not None and (call.request is None or not call.abandoned):
            self.calls.pop(call_id, None)  # the reader may have removed it during the write

    def _post_response(self, response: Response) -> None:
        """Sends through the mailbox, because two greenlets that write at once would mix their bytes."""
        self.post(self._write, response.encode(), 0.0)

    def _post_error(self, call_id: int, error: protocol.CallError) -> None:
        self._post_response(Response(call_id, error, None))

    def _write(self, data: bytes, deadline: float) -> None:
        """Sends an encoded message; a client that does not read delays only its own answers."""
        self._write_began_at = clock()
        self.has_written = True
        try:
            self.stream.write(data, max(deadline, self._write_began_at + _WRITE_TIMEOUT_S))
        except StreamClosedError as err:
            self.stream.close(err.reason)
        finally:
            self._write_began_at = None
            if self.last_used_at is not None:
                self.last_used_at = clock()

    @property
    def host(self) -> str:
        """Host of the client's address."""
        return self.stream.peer.rpartition(":")[0]

    # Departures that may not be read yet. Attempts ask for them right before their first byte.

    def awaits_answer(self, call_id: int) -> bool:
        """Whether the client waits for an answer; a cancellation that has arrived takes effect at once."""
        if self.stream.is_gone():
            return False
        if self._unread_cancellations.contains(call_id):
            self._abandon(call_id)
            return False
        return True

    def may_hide_departure(self) -> bool:
        """Whether so much is unread that it may hide that the client has gone or cancelled a call."""
        if not (self.stream.unread_end or self.stream.count_arrived()):
            return False
        return self.stream.may_hide_end() or self._unread_cancellations.may_miss_any()

    # Closing.

    def is_unused(self) -> bool:
        """Whether no call is open and nothing is waiting to be written; there may be unread bytes."""
        is_writing = self._write_began_at is not None
        return self.closing_reason is None and not (self.calls or is_writing or self.mailbox.qsize())

    def is_idle(self) -> bool:
        """Whether the session is unused and has no unread bytes."""
        return self.is_unused() and not self.has_unread

    @property
    def opened_at(self) -> float:
        """Unix time in seconds at which the connection was accepted."""
        return self.stream.opened_at

    @property
    def partial_since(self) -> float | None:
        """Unix time in seconds since which a message is incomplete; None if there is none."""
        return self._reader.partial_since

    @property
    def has_unhandled(self) -> bool:
        """Whether bytes have arrived that were not looked at yet, or the connection has ended."""
        is_looked_at = self._reader.partial_since is not None or not self.stream.unread_end
        return not is_looked_at or self.stream.peek() is not None

    @property
    def has_unread(self) -> bool:
        """Whether there is a part of a message, or the connection has ended."""
        return self._reader.has_partial_message or self.stream.has_unread

    def close_gracefully(self, reason: CloseReason) -> None:
        """Closes the connection in such a way that data just written still arrives.

        After a plain close, bytes sent by the client would reset the connection and destroy that data. So
        only the sending direction is shut down, and received bytes are discarded for `_DRAIN_TIMEOUT_S`.
        """
        self.closing_reason = reason
        self.stream.shutdown_write()
        gevent.spawn_later(_DRAIN_TIMEOUT_S, self.stream.close, reason)

    def _drain(self, reason: CloseReason) -> None:
        """Discards received bytes until a graceful close ends, then closes the stream."""
        remaining_bytes = _MAX_DRAIN_BYTES
        with suppress(StreamClosedError):
            while remaining_bytes > 0:
                unread = self.stream.buffered_bytes
                remaining_bytes -= unread
                self.stream.consume(unread)
                # Within this time all answers are written and a posted `close_gracefully` has run.
                self.stream.fill(clock() + _WRITE_TIMEOUT_S)
                gevent.sleep(0)
        self.stream.close(reason)

    # Reading.

    def _read(self) -> None:
        reason = CloseReason.INTERNAL_ERROR
        try:
            self._reader.read()
        except StreamClosedError as err:
            reason = err.reason
        except MessageTooLongError:
            reason = CloseReason.TOO_LONG
        except MalformedMessageError:
            reason = CloseReason.MALFORMED
        finally:
            self._end(reason)

    def _end(self, reason: CloseReason) -> None:
        if reason is CloseReason.CLOSED and self.calls:
            reason = CloseReason.CLOSED_EARLY
        for call_id in list(self.calls):
            self._abandon(call_id)
        self.calls.clear()
        may_have_unsent = self.has_written or self.mailbox.qsize()
        if self.closing_reason is None and reason in _CLOSED_BY_ROUTER and may_have_unsent:
            self.closing_reason = reason
            self.post(self.close_gracefully, reason)  # runs after the writes that are still in the mailbox
        if self.closing_reason is not None:
            self._drain(self.closing_reason)
        self.stream.close(reason)
        self.memory.close()
        self.listener.sessions.pop(self, None)
        self.post(self.finish)

    def on_call_made(self) -> None:
        """Continues the reading once few answers are left to be written."""
        self._reader.on_answer_written()

    # Calls. The reader calls the first four methods.

    def has_calls(self) -> bool:
        """Whether there are calls, also cancelled ones whose attempts have not ended."""
        return bool(self.calls)

    def has_open_call(self) -> bool:
        """Whether the client waits for an answer."""
        return any(not call.abandoned for call in self.calls.values())

    def count_waiting_answers(self) -> int:
        """Returns the number of answers that wait to be written."""
        return self.mailbox.qsize()

    def handle_message(self, message: Message) -> None:
        """Handles a message.

        Raises:
            MalformedMessageError: It uses the id of an open call.
        """
        if isinstance(message, Request):
            if message.call_id in self.calls:
                raise MalformedMessageError
            try:
                self._handle_request(message)
            except InvalidCallError as err:
                self._post_error(message.call_id, protocol.invalid_error(str(err)))
            except RouterBusyError:
                self._reject(message.call_id)
        elif isinstance(message, CancelNotification):
            self._abandon(message.call_id)
        elif isinstance(message, DiscardedRequest):
            if message.call_id in self.calls:
                raise MalformedMessageError
            self._reject(message.call_id)

    def _reject(self, call_id: int) -> None:
        retry_after_s = min(_BUSY_RETRY_AFTER_S, self.settings.rules.max_retry_after_s)
        self._post_error(call_id, protocol.rejected_error(retry_after_s))

    def _abandon(self, call_id: int) -> None:
        """Removes a call that its client cancelled or left, or has the dispatcher end it."""
        call = self.calls.get(call_id)
        if call is None or call.abandoned:
            return
        call.abandoned = True
        if call.request is None:
            return
        call.request.client_gone = True
        if self.dispatcher.withdraw_request(call.request):
            del self.calls[call_id]
        else:
            self.dispatcher.post(self.dispatcher.on_client_disconnect, call.request)

    def _handle_request(self, request: Request) -> None:
        store = self.listener.result_store
        if request.method == protocol.METHOD_HEALTH:
            self._handle_health(request)
        elif request.method == protocol.METHOD_PAGE and store is not None:
            self._handle_page(request, store)
        elif request.method == protocol.METHOD_RELEASE and store is not None:
            self._handle_release(request, store)
        else:
            self._handle_query(request)

    def _handle_health(self, request: Request) -> None:
        topic = protocol.health_topic(request.fields)
        details_of = self.listener.health_details
        details = details_of(topic) if details_of is not None and topic is not None else {}
        self._post_response(Response(request.call_id, None, [self.listener.healthy, details]))

    def _handle_query(self, request: Request) -> None:
        if request.method not in self.settings.class_index:
            raise InvalidCallError("unknown method")
        if sum(not call.abandoned for call in self.calls.values()) >= protocol.MAX_OPEN_CALLS:
            raise InvalidCallError("too many open calls")
        query = protocol.decode_query(request.method, request.fields, request.body, self.settings)
        self.has_requested = True
        memory = self._reserve_memory(query)
        now = clock()
        deadline = now + query.timeout_s
        group = table_group(query.statement.decode("utf-8", "replace"))
        store = self.listener.result_store if query.stores_result else None
        reservation = None
        if store is not None:
            reservation = store.reserve(query.tenant, query.class_name, query.statement)
        open_request = OpenRequest(
            query.request_id,
            self,
            request.call_id,
            query.class_name,
            query.statement,
            now,
            deadline,
            reservation=reservation,
            memory=memory,
        )
        self.calls[request.call_id] = PendingCall(deadline, open_request)
        self.dispatcher.put_request(
            NewRequest(
                open_request,
                table_group=group,
                ordering_key="",
                estimate=(query.estimated_work_s, query.estimated_memory_mb),
                tenant=self.settings.tenant_index.get(query.tenant, -1),
                wait_began_at=deadline - self.settings.client_timeouts_s[query.class_index],
            )
        )

    def _reserve_memory(self, query: QueryCall) -> MemoryReservation:
        """Reserves the memory for a request until it is settled.

        Raises:
            RouterBusyError: There is none, or too many cancelled requests of the client have not ended.
        """
        size_bytes = OPEN_REQUEST_BYTES + len(query.statement)
        if len(self.calls) >= 2 * protocol.MAX_OPEN_CALLS or not self.memory.reserve(size_bytes):
            raise RouterBusyError
        return MemoryReservation(self.memory, size_bytes)

    def _handle_release(self, request: Request, store: ResultStore) -> None:
        call = protocol.decode_release_call(request.fields, self.settings)
        if store.release(call.token, call.tenant):
            self._post_response(Response(request.call_id, None, [b"", {}]))
        else:
            self._post_error(request.call_id, protocol.failed_error(PageUnavailable.UNKNOWN_RESULT.value))

    def _handle_page(self, request: Request, store: ResultStore) -> None:
        page_call = protocol.decode_page_call(request.fields, self.settings)
        if sum(call.request is None for call in self.calls.values()) >= _MAX_OPEN_PAGE_CALLS:
            raise InvalidCallError("too many open calls for pages")
        self.calls[request.call_id] = PendingCall(clock() + store.page_timeout_s)
        spawn(self._read_page, store, request.call_id, page_call)

    def _read_page(self, store: ResultStore, call_id: int, page_call: PageCall) -> None:
        """Runs in its own greenlet until the page has been written or the client has disconnected."""
        page = store.read_page(page_call.token, page_call.tenant, page_call.number)
        if isinstance(page, PageUnavailable):
            if page is PageUnavailable.BUSY:
                error = protocol.rejected_error(_BUSY_RETRY_AFTER_S)
            else:
                error = protocol.failed_error(page.value)
            self.post(self._finish_call, call_id, Response(call_id, error, None).encode())
            return
        try:
            delivered = Event()
            response = Response(call_id, None, [page.rows, page.fields])
            self.post(self._deliver_page, response, store.page_timeout_s, delivered)
            while not delivered.wait(_CLIENT_GONE_POLL_INTERVAL_S) and not self.finished:
                pass
        finally:
            store.page_delivered()
