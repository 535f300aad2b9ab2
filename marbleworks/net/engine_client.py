"""Engine client: an actor for each engine that executes the attempts sent to it.

It carries out the dispatcher's calls and reports how each attempt ended and what that proves. It does not
choose engines, never starts a request again that may have run, and reports that an attempt never ran only if
that is certain.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent

from marbleworks.model import AttemptOutcome, LoadReport
from marbleworks.net import engine_protocol as protocol
from marbleworks.net.actor import LOG, Actor, clock, spawn
from marbleworks.net.addresses import SocketAddress
from marbleworks.net.attempt_errors import AttemptCancelledError, AttemptWithheldError
from marbleworks.net.attempt_termination import AttemptTerminator
from marbleworks.net.connection_pool import ConnectionPool, DescriptorQuota
from marbleworks.net.engine_calls import MAX_CONNECTION_TRIES, EngineCalls
from marbleworks.net.engine_connection import HttpResponse
from marbleworks.net.messages import (
    AttemptCall,
    AttemptEnd,
    AttemptFailure,
    AttemptKey,
    AttemptResult,
    EnginePort,
    ResultNotStored,
)
from marbleworks.net.result_reader import ResultReader
from marbleworks.net.stream import CloseReason, StreamClosedError
from marbleworks.ports import ResultNotStoredError
from marbleworks.settings import Settings

if TYPE_CHECKING:
    from marbleworks.net.dispatcher import Dispatcher

MAX_READING_WAIT_S = 0.05  # for a client's session to read what may precede the client's disconnect
READING_CHECK_INTERVAL_S = 0.005


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
        calls: Calls to the engine.
        results: Reads the results of attempts.
        started_at: Unix time in seconds at which the engine's process started; 0 if it is long ago.
        is_retired: Whether the engine has left the engine list; the actor ends after its last attempt.
        attempts: Attempts that have not ended, keyed by request id and attempt number.
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
        self.started_at = 0.0
        self.is_retired = False
        self.attempts: dict[AttemptKey, AttemptCall] = {}
        self.calls = EngineCalls(self.pool, self.attempts, settings.rules.allows_hedging)
        self._terminator = AttemptTerminator(self.calls, settings.rules.allows_cancel)
        self.results = ResultReader(dispatcher, self.calls, self._terminator.start_cancel)

    @property
    def open_connections(self) -> int:
        """Number of connections to the engine, also those that are being opened."""
        return self.pool.open_count

    # Calls from the dispatcher.

    def start_attempt(self, attempt: AttemptCall) -> None:
        """Runs an attempt in a greenlet of its own, which posts its outcome to the dispatcher."""
        self.attempts[attempt.key] = attempt
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
        self.calls.is_up = is_up
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
        self.calls.is_replaced = True
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
            end = self._run_to_end(attempt)
        except Exception:
            if attempt.sent_at is not None:
                end = AttemptFailure(AttemptOutcome.ERROR)
            raise
        finally:
            self.attempts.pop(attempt.key, None)
            self._finish_if_retired()
            self._report_end(attempt, end)

    def _run_to_end(self, attempt: AttemptCall) -> AttemptEnd:
        try:
            if attempt.stop_reason is not None:
                raise AttemptCancelledError(attempt.stop_reason)
            try:
                return self._perform(attempt)
            except StreamClosedError as err:
                return self._end_lost_attempt(attempt, err.reason)
        except AttemptCancelledError as err:
            return AttemptFailure(_outcome_of_stop(attempt, err.reason))
        except AttemptWithheldError as err:
            return AttemptFailure(err.outcome)
        except ResultNotStoredError as err:
            return ResultNotStored(err.retry_after_s)

    def _end_lost_attempt(self, attempt: AttemptCall, reason: CloseReason) -> AttemptFailure:
        """Returns the end of an attempt whose connection was lost, or whose response did not arrive.

        Where two attempts of a request must not be in flight together, that is only once the engine cannot be
        running this one. The scheduler is told of the loss at once.
        """
        outcome = _outcome_of_lost_connection(attempt, reason)
        if attempt.sent_at is None:
            return AttemptFailure(outcome)
        if self.settings.rules.allows_hedging or attempt.has_run or clock() >= attempt.deadline:
            self._terminator.start_cancel(attempt)
        else:
            self.dispatcher.post(self.dispatcher.on_contact_lost, attempt.ref, attempt.attempt_no, outcome)
            self._terminator.await_end(attempt)
        return AttemptFailure(outcome)

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
            response = self.calls.fetch(attempt, 0)
        attempt.has_run = True
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
        return self.results.read(attempt, result, pages)

    def _cancel(self, attempt: AttemptCall) -> None:
        """Cancels the request at the engine, then stops the attempt if it is still waiting for a response."""
        if attempt.sent_at is not None:
            self._terminator.cancel(attempt)
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
                attempt.key, min(attempt.deadline, attempt.begin_by), self.pool.connect_timeout_s
            )
            try:
                with self.calls.in_use(connection):
                    # No other greenlet runs between this check and the first byte.
                    withheld = self._reason_to_withhold(attempt)
                    if withheld is None:
                        connection.send_request(self._encode_start(attempt), attempt.deadline)
                        attempt.sent_at = attempt.polled_at = clock()
                        return self.calls.read_response(
                            connection, 0, attempt.deadline, protocol.POLL_TIMEOUT_S
                        )
            except StreamClosedError as err:
                if attempt.sent_at is None and (err.reason is CloseReason.TIMEOUT or tries_left <= 0):
                    raise
            if withheld is not None:
                raise AttemptWithheldError(withheld)
            if attempt.sent_at is not None:  # a request is not tied to its connection: poll on another one
                return self.calls.fetch(attempt, 0)
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
        if not self.calls.is_up or now >= attempt.begin_by:
            return AttemptOutcome.WITHHELD
        return None

    def _encode_start(self, attempt: AttemptCall) -> bytes:
        return self.calls.requests.start(
            attempt.ref, attempt.class_name, attempt.deadline - clock(), attempt.memory_mb, attempt.statement
        )

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
