"""Engine client: an actor for each engine that executes the attempts sent to it.

It carries out the dispatcher's calls and reports how each attempt ended and what that proves. It does not
choose engines, never starts a request again that may have run, and reports that an attempt never ran only if
that is certain.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
from gevent.lock import BoundedSemaphore

from marbleworks.model import AttemptOutcome, LoadReport
from marbleworks.net import engine_protocol as protocol
from marbleworks.net.actor import LOG, Actor, clock, spawn
from marbleworks.net.addresses import SocketAddress
from marbleworks.net.connection_pool import ConnectionPool, DescriptorQuota
from marbleworks.net.engine_connection import EngineConnection, HttpResponse
from marbleworks.net.messages import (
    AttemptCall,
    AttemptEnd,
    AttemptFailure,
    AttemptResult,
    EnginePort,
    ResultNotStored,
)
from marbleworks.net.stream import CloseReason, StreamClosedError
from marbleworks.ports import ResultNotStoredError, ResultWriter
from marbleworks.settings import Settings

if TYPE_CHECKING:
    from marbleworks.net.dispatcher import Dispatcher

MAX_CONNECTION_TRIES = (
    6  # connections tried for one response, so that immediate failures do not loop for ever
)
MAX_RESULT_READS = 4  # of an engine; more would use up the core, so that other requests get no turn
MAX_LATER_ATTEMPTS = 8  # of a request that may be in flight while an earlier one is cancelled
MAX_READING_WAIT_S = 0.05  # for a client's session to read what may precede the client's disconnect
READING_CHECK_INTERVAL_S = 0.005
# Interval between reports to the dispatcher that a result is being read into the store.
READING_NOTICE_INTERVAL_S = protocol.POLL_TIMEOUT_S


class AttemptCancelledError(Exception):
    """Raised in the greenlet of an attempt to stop it.

    Attributes:
        reason: Why the attempt is stopped.
    """

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class AttemptWithheldError(Exception):
    """Raised when an attempt must not be sent because the conditions for it no longer hold.

    Attributes:
        outcome: Outcome of the attempt.
    """

    def __init__(self, outcome: AttemptOutcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


def engine_client_factory(
    settings: Settings, descriptor_quota: DescriptorQuota
) -> Callable[[Dispatcher, str, SocketAddress], EngineClient]:
    """Returns a function that creates an engine's client from its name and address.

    Args:
        settings: Settings of the deployment.
        descriptor_quota: Descriptors that the connections of all engines may hold together.
    """
    return lambda dispatcher, name, address: EngineClient(
        dispatcher, name, address, settings, descriptor_quota
    )


class EngineClient(Actor):
    """The client of an engine, across restarts of its process under the same name and address.

    Attributes:
        dispatcher: Actor that starts the attempts and receives their results.
        name: Name of the engine.
        address: Address of the engine.
        settings: Settings of the deployment.
        pool: Connections to the engine.
        requests: Encoder of HTTP requests to the engine.
        is_up: Whether new attempts may be sent to the engine.
        started_at: Unix time in seconds at which the engine's process started; 0 if it is long ago.
        is_retired: Whether the engine has left the engine list; the actor ends after its last attempt.
        is_replaced: Whether another engine has its address.
        attempts: Attempts that have not ended, keyed by request id and attempt number.
        result_reads: Limits the number of results of several pages that are read at a time.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        name: str,
        address: SocketAddress,
        settings: Settings,
        descriptor_quota: DescriptorQuota,
    ) -> None:
        super().__init__()
        self.dispatcher = dispatcher
        self.name = name
        self.address = address
        self.settings = settings
        self.pool = ConnectionPool(self, name, address, settings, descriptor_quota)
        self.requests = protocol.RequestEncoder(address)
        self.is_up = True
        self.started_at = 0.0
        self.is_retired = False
        self.is_replaced = False
        self.attempts: dict[tuple[str, int], AttemptCall] = {}
        self.result_reads = BoundedSemaphore(MAX_RESULT_READS)

    @property
    def open_connections(self) -> int:
        """Number of connections to the engine, also those that are being opened."""
        return self.pool.open_count

    # Calls from the dispatcher.

    def start_attempt(self, attempt: AttemptCall) -> None:
        """Runs an attempt in a greenlet of its own, which posts its outcome to the dispatcher."""
        self.attempts[attempt.ref, attempt.attempt_no] = attempt
        attempt.greenlet = spawn(self._run_attempt, attempt)

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        """Cancels an attempt, and also its request at the engine if that has been sent."""
        attempt = self.attempts.get((ref, attempt_no))
        if attempt is not None and not attempt.cancelled:
            attempt.cancelled = True
            spawn(self._cancel, attempt)

    def update_listing(self, is_up: bool, started_at: float) -> None:
        """Applies a change of the engine's entry in the list.

        Once the engine drains, attempts that have not been sent are stopped. After a restart, attempts sent
        to the previous process are lost.

        Args:
            is_up: Whether new attempts may be sent to the engine.
            started_at: Unix time in seconds at which the engine's process started.
        """
        for attempt in list(self.attempts.values()):
            if is_up:
                is_lost = attempt.sent_at is not None and attempt.sent_at < started_at
            else:
                is_lost = attempt.sent_at is None
            if is_lost:
                self._stop(attempt, CloseReason.REPLACED)
        if started_at > self.started_at or not is_up:
            self.pool.close_idle(CloseReason.REPLACED)
        self.is_up = is_up
        self.started_at = started_at

    def retire(self) -> None:
        """Handles that the engine has left the list; this actor ends after its last attempt."""
        self.is_retired = True
        self.update_listing(False, self.started_at)
        self._finish_if_retired()

    def replace(self) -> None:
        """Handles that another engine has the address of this one, which has left the engine list.

        Its attempts are lost, and nothing more is sent: the other engine would take a poll or a cancellation
        for one of its own requests with the same id.
        """
        self.is_replaced = True
        for attempt in list(self.attempts.values()):
            self._stop(attempt, CloseReason.REPLACED)
        self.pool.close_idle(CloseReason.REPLACED)

    def hand_over_descriptor(self, recipient: EnginePort) -> None:
        """Gives a descriptor to another engine's client, which has none."""
        self.pool.hand_over_descriptor(recipient)

    def serve_waiters(self) -> None:
        """Gives free descriptors, if there are any, to the requests that wait for one."""
        self.pool.serve_waiters()

    def on_timer(self) -> None:
        """Closes connections that were idle for too long."""
        self.next_timer_at = self.pool.close_expired()

    # Calls from the connection pool.

    def on_descriptor_shortage(self) -> None:
        """Asks the dispatcher for a descriptor of another engine's client."""
        self.dispatcher.post(self.dispatcher.on_descriptor_shortage, self)

    # Attempts.

    def _run_attempt(self, attempt: AttemptCall) -> None:
        end: AttemptEnd = AttemptFailure(AttemptOutcome.UNSENT)
        attempt.has_started = True
        try:
            if attempt.stop_reason is not None:
                raise AttemptCancelledError(attempt.stop_reason)
            end = self._perform(attempt)
        except AttemptCancelledError as err:
            end = AttemptFailure(_outcome_of_stop(attempt, err.reason))
        except AttemptWithheldError as err:
            end = AttemptFailure(err.outcome)
        except ResultNotStoredError as err:
            end = ResultNotStored(err.retry_after_s)
        except StreamClosedError as err:
            end = AttemptFailure(_outcome_of_lost_connection(attempt, err.reason))
            if attempt.sent_at is not None:
                spawn(self._cancel_at_engine, attempt)
        except Exception:
            if attempt.sent_at is not None:
                end = AttemptFailure(AttemptOutcome.ERROR)
            raise
        finally:
            self.attempts.pop((attempt.ref, attempt.attempt_no), None)
            self._finish_if_retired()
            self._report_end(attempt, end)

    def _report_end(self, attempt: AttemptCall, end: AttemptEnd) -> None:
        dispatcher = self.dispatcher
        ref = attempt.ref
        attempt_no = attempt.attempt_no
        if isinstance(end, AttemptResult):
            dispatcher.post(dispatcher.on_answer, ref, attempt_no, end)
        elif isinstance(end, ResultNotStored):
            dispatcher.post(dispatcher.on_result_not_stored, ref, attempt_no, end.retry_after_s)
        else:
            was_cancelled = attempt.cancelled and attempt.sent_at is not None
            outcome = AttemptOutcome.CANCELLED if was_cancelled else end.outcome
            dispatcher.post(dispatcher.on_attempt_end, ref, attempt_no, outcome, end.load_report)

    def _perform(self, attempt: AttemptCall) -> AttemptResult | AttemptFailure:
        """Starts the request on the engine, polls until it has ended, and reads its result."""
        response = self._start_request(attempt)
        while response.status == HTTPStatus.ACCEPTED:
            self.dispatcher.post(self.dispatcher.on_attempt_alive, attempt.ref, attempt.attempt_no)
            response = self._fetch(attempt, 0)
        load_report = self._load_report(response)
        if protocol.proves_never_ran(response.fields):
            if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
                return AttemptFailure(AttemptOutcome.REJECTED, load_report)
            if response.status == HTTPStatus.GATEWAY_TIMEOUT:
                return AttemptFailure(AttemptOutcome.UNSENT, load_report)
        if response.status != HTTPStatus.OK:
            return AttemptFailure(AttemptOutcome.ERROR, load_report)
        pages = protocol.page_count(response.fields) or 0
        result = AttemptResult(response.body, protocol.resource_usage(response.fields), load_report)
        if attempt.reservation is not None:
            return self._store_result(attempt, result, pages, attempt.reservation.open_writer())
        return self._read_pages(attempt, result, pages)

    def _read_pages(
        self, attempt: AttemptCall, result: AttemptResult, pages: int
    ) -> AttemptResult | AttemptFailure:
        """Reads the pages after the first into memory."""
        if pages <= 1:
            return result
        with self._turn_to_read(attempt):
            for number in range(1, pages):
                page = self._fetch(attempt, number)
                if page.status != HTTPStatus.OK:
                    return AttemptFailure(AttemptOutcome.ERROR, result.load_report)
                result.body += page.body
                if len(result.body) > protocol.MAX_RESULT_BYTES:
                    return AttemptFailure(AttemptOutcome.ERROR, result.load_report)
        return result

    @contextmanager
    def _turn_to_read(self, attempt: AttemptCall) -> Iterator[None]:
        """Waits until few enough results are read, but at most to the deadline or the result's expiry.

        Raises:
            StreamClosedError: The turn did not come in time.
        """
        timeout_s = min(attempt.deadline - clock(), protocol.UNPOLLED_LIFETIME_S)
        if not self.result_reads.acquire(timeout=max(timeout_s, 0.0)):
            raise StreamClosedError(CloseReason.TIMEOUT)
        try:
            yield
        finally:
            self.result_reads.release()

    def _store_result(
        self, attempt: AttemptCall, result: AttemptResult, pages: int, writer: ResultWriter
    ) -> AttemptResult | AttemptFailure:
        """Reads a result of any size into the store, and releases it at the engine after its last page.

        Raises:
            ResultNotStoredError: The result store could not take the result.
        """
        notified_at = 0.0
        try:
            writer.write(result.body, attempt.deadline)
            for number in range(1, pages):
                if clock() > notified_at + READING_NOTICE_INTERVAL_S:
                    notified_at = clock()
                    self._notify_reading(attempt)
                page = self._fetch(attempt, number)
                if page.status != HTTPStatus.OK:
                    return AttemptFailure(AttemptOutcome.ERROR, result.load_report)
                writer.write(page.body, attempt.deadline)
            self._notify_reading(attempt)
            spawn(self._cancel_at_engine, attempt)
            first_page, result.metadata = writer.commit(attempt.deadline)
        except ResultNotStoredError:
            spawn(self._cancel_at_engine, attempt)
            raise
        finally:
            writer.discard()  # has no effect after a commit
        result.body = bytearray(first_page)
        return result

    def _notify_reading(self, attempt: AttemptCall) -> None:
        self.dispatcher.post(self.dispatcher.on_result_reading, attempt.ref, attempt.attempt_no)

    def _cancel(self, attempt: AttemptCall) -> None:
        """Cancels the request at the engine, then stops the attempt if it is still waiting for a response."""
        if attempt.sent_at is not None:
            self._cancel_at_engine(attempt)
            attempt.greenlet.join(self.pool.connect_timeout_s)
        self._stop(attempt, CloseReason.ATTEMPT_CANCELLED)

    def _stop(self, attempt: AttemptCall, reason: CloseReason) -> None:
        if attempt.has_started:
            attempt.greenlet.kill(AttemptCancelledError(reason), block=False)
        else:  # a greenlet that is killed before it runs would never report to the dispatcher
            attempt.stop_reason = reason

    def _finish_if_retired(self) -> None:
        if self.is_retired and not self.attempts:
            self.pool.close_idle(CloseReason.REPLACED)
            self.post(self.finish)

    # Requests and responses.

    def _start_request(self, attempt: AttemptCall) -> HttpResponse:
        """Sends the request and returns the first response.

        If a connection was lost before the request was fully written, the request is sent on another one.
        """
        tries_left = MAX_CONNECTION_TRIES
        withheld: AttemptOutcome | None = None
        self._await_reading(attempt)
        while True:
            connection = self.pool.acquire(
                attempt.ref, min(attempt.deadline, attempt.begin_by), self.pool.connect_timeout_s
            )
            try:
                with self._in_use(connection):
                    # No other greenlet runs between this check and the first byte.
                    withheld = self._reason_to_withhold(attempt)
                    if withheld is None:
                        connection.send_request(self._encode_start(attempt), attempt.deadline)
                        attempt.sent_at = clock()
                        return self._read_valid_response(
                            connection, 0, attempt.deadline, protocol.POLL_TIMEOUT_S
                        )
            except StreamClosedError as err:
                if attempt.sent_at is None and (err.reason is CloseReason.TIMEOUT or tries_left <= 0):
                    raise
            if withheld is not None:
                raise AttemptWithheldError(withheld)
            if attempt.sent_at is not None:  # a request is not tied to its connection: poll on another one
                return self._fetch(attempt, 0)
            tries_left -= 1  # the connection was lost, and the engine did not get the complete request

    def _await_reading(self, attempt: AttemptCall) -> None:
        """Gives the client's session time to read on if a disconnect may be hidden behind unread bytes."""
        ends_at = clock() + MAX_READING_WAIT_S
        while attempt.may_hide_disconnect() and clock() < ends_at:
            gevent.sleep(READING_CHECK_INTERVAL_S)

    def _reason_to_withhold(self, attempt: AttemptCall) -> AttemptOutcome | None:
        """Checks right before the first byte whether the attempt may still be sent.

        Conditions may have changed while the attempt waited in a mailbox, or for its greenlet, a descriptor,
        a connection or a retry.

        Returns:
            The outcome if the attempt must not be sent; None if it may be sent.
        """
        now = clock()
        is_late = now >= attempt.deadline - protocol.MIN_TIME_BUDGET_S
        if attempt.cancelled or is_late or not attempt.is_wanted() or attempt.may_hide_disconnect():
            return AttemptOutcome.UNSENT  # another attempt would be of no use either
        if not self.is_up or now >= attempt.begin_by:
            return AttemptOutcome.WITHHELD
        return None

    def _encode_start(self, attempt: AttemptCall) -> bytes:
        return self.requests.start(
            attempt.ref, attempt.class_name, attempt.deadline - clock(), attempt.memory_mb, attempt.statement
        )

    def _fetch(self, attempt: AttemptCall, page: int) -> HttpResponse:
        """Polls for the first page, or fetches another page.

        Repeats the call on another connection if the response is malformed, truncated or late, until the
        engine must have ended the request because it was not polled for.

        Raises:
            StreamClosedError: No valid response arrived in time.
        """
        request = self.requests.fetch(attempt.ref, page)
        started_at = clock()
        tries_left = MAX_CONNECTION_TRIES
        # Pages after the first are ready at the engine.
        timeout_s = protocol.LATENESS_ALLOWANCE_S if page else protocol.POLL_TIMEOUT_S
        while True:
            if self.is_replaced:
                raise AttemptCancelledError(CloseReason.REPLACED)
            try:
                connection = self.pool.acquire(attempt.ref, attempt.deadline)
                with self._in_use(connection):
                    connection.send_request(request, attempt.deadline)
                    return self._read_valid_response(connection, page, attempt.deadline, timeout_s)
            except StreamClosedError as err:
                if err.reason is CloseReason.TIMEOUT:  # the response may just be late
                    timeout_s = min(2.0 * timeout_s, protocol.POLL_TIMEOUT_S)
                else:
                    tries_left -= 1
                has_expired = clock() >= min(started_at + protocol.UNPOLLED_LIFETIME_S, attempt.deadline)
                if has_expired or tries_left <= 0 or err.reason is CloseReason.REFUSED:
                    raise

    def _cancel_at_engine(self, attempt: AttemptCall) -> None:
        # If the engine does not respond or has gone, nothing more can be done to cancel the request there.
        with suppress(StreamClosedError):
            deadline = clock() + self.pool.connect_timeout_s
            if not self._may_cancel(attempt):
                return
            connection = self.pool.acquire(attempt.ref, deadline)
            with self._in_use(connection):
                if not self._may_cancel(attempt):  # it may have waited for the connection
                    return
                connection.send_request(self.requests.cancel(attempt.ref), deadline)
                self._read_valid_response(connection, None, deadline, protocol.POLL_TIMEOUT_S)

    def _may_cancel(self, attempt: AttemptCall) -> bool:
        """Whether a cancellation would end this attempt and not a later one; engines know only the id."""
        first_later = attempt.attempt_no + 1
        later_numbers = range(first_later, first_later + MAX_LATER_ATTEMPTS)
        has_later = any((attempt.ref, number) in self.attempts for number in later_numbers)
        return not self.is_replaced and not has_later

    def _read_valid_response(
        self, connection: EngineConnection, page: int | None, deadline: float, timeout_s: float
    ) -> HttpResponse:
        """Reads a response and checks that it is valid.

        Args:
            connection: The connection.
            page: The requested page; None to accept any response that is not a duplicate.
            deadline: Unix time in seconds by which the response has to arrive.
            timeout_s: Maximum wait in seconds.

        Raises:
            StreamClosedError: No response arrived in time, or it is not valid.
        """
        response = connection.read_response(min(deadline, clock() + timeout_s))
        if connection.is_duplicate() or (page is not None and not response.is_valid_for_page(page)):
            raise StreamClosedError(CloseReason.MALFORMED)
        return response

    @contextmanager
    def _in_use(self, connection: EngineConnection) -> Iterator[None]:
        """Returns the connection to the pool at the end of the block, or closes it after an exception."""
        try:
            yield
        except BaseException as err:
            reason = (
                err.reason
                if isinstance(err, StreamClosedError | AttemptCancelledError)
                else CloseReason.INTERNAL_ERROR
            )
            self.pool.discard(connection, reason)
            raise
        self.pool.release(connection, may_reuse=self.is_up or bool(self.attempts))

    def _load_report(self, response: HttpResponse) -> LoadReport | None:
        try:
            return self.settings.load_report(protocol.load_report_columns(response.fields))
        except ValueError:
            LOG.warning("engine load report unreadable", engine=self.name)
            return None


def _outcome_of_stop(attempt: AttemptCall, reason: CloseReason) -> AttemptOutcome:
    if reason is CloseReason.REPLACED:
        return AttemptOutcome.WITHHELD if attempt.sent_at is None else AttemptOutcome.CONNECTION_LOST
    return AttemptOutcome.UNSENT if attempt.sent_at is None else AttemptOutcome.CANCELLED


def _outcome_of_lost_connection(attempt: AttemptCall, reason: CloseReason) -> AttemptOutcome:
    if attempt.sent_at is not None:
        return AttemptOutcome.TIMED_OUT if reason is CloseReason.TIMEOUT else AttemptOutcome.CONNECTION_LOST
    now = clock()
    if now >= min(attempt.begin_by, attempt.deadline):
        return AttemptOutcome.WITHHELD if now < attempt.deadline else AttemptOutcome.UNSENT
    if reason is CloseReason.NO_DESCRIPTOR:
        return AttemptOutcome.UNSENT
    if reason is CloseReason.REFUSED:
        return AttemptOutcome.CONNECTION_REFUSED
    return AttemptOutcome.CONNECT_TIMEOUT
