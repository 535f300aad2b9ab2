"""Ends requests at an engine whose attempts are no longer wanted or have lost their connection.

A request belongs to no connection: when that is lost, the engine goes on running it until it is cancelled, or
has not been polled for some time.
"""

from __future__ import annotations

import math
from http import HTTPStatus

import gevent

from marbleworks.net import engine_protocol as protocol
from marbleworks.net.actor import clock, spawn
from marbleworks.net.engine_calls import EngineCalls
from marbleworks.net.messages import AttemptCall
from marbleworks.net.stream import CloseReason, StreamClosedError

MAX_LATER_ATTEMPTS = 8  # of a request that may be in flight while an earlier one is cancelled
_FIRST_RETRY_PAUSE_S = 0.05  # between two cancellations of one attempt; doubles up to the maximum
_MAX_RETRY_PAUSE_S = 0.4


class AttemptTerminator:
    """Cancels attempts at one engine.

    Args:
        calls: Calls to the engine.
        allows_cancel: Whether engines accept cancellations.
    """

    def __init__(self, calls: EngineCalls, allows_cancel: bool) -> None:
        self._calls = calls
        self._allows_cancel = allows_cancel

    def start_cancel(self, attempt: AttemptCall) -> None:
        """Cancels the request of an attempt at the engine, in a greenlet of its own."""
        spawn(self.cancel, attempt)

    def await_end(self, attempt: AttemptCall) -> None:
        """Cancels an attempt that has lost its connection, and waits until the engine cannot be running it.

        That is so once the engine has confirmed the cancellation, no process listens at its address, or the
        request has not been polled for as long as engines keep it. The wait ends at the attempt's deadline.
        """
        expires_at = attempt.polled_at + protocol.UNPOLLED_LIFETIME_S + protocol.LATENESS_ALLOWANCE_S
        ends_at = min(expires_at, attempt.deadline)
        if self._allows_cancel and clock() >= ends_at:  # an engine that goes on later shall not run it then
            self.start_cancel(attempt)
        pause_s = _FIRST_RETRY_PAUSE_S
        while clock() < ends_at:
            if self._allows_cancel and self.cancel(attempt, ends_at):
                return
            gevent.sleep(min(pause_s, max(ends_at - clock(), 0.0)))
            pause_s = min(2.0 * pause_s, _MAX_RETRY_PAUSE_S)

    def cancel(self, attempt: AttemptCall, latest_end: float = math.inf) -> bool:
        """Cancels the request of an attempt at the engine, if that can be reached at once.

        Args:
            attempt: The attempt.
            latest_end: Unix time in seconds at which the call ends without a response.

        Returns:
            Whether the engine confirmed that it does not run the request, or has no process any more.
        """
        deadline = min(clock() + self._calls.pool.connect_timeout_s, latest_end)
        try:
            if not self._may_cancel(attempt):
                return False
            connection = self._calls.pool.acquire(attempt.key, deadline)
            with self._calls.in_use(connection):
                if not self._may_cancel(attempt):  # it may have waited for the connection
                    return False
                connection.send_request(self._calls.requests.cancel(attempt.ref), deadline)
                response = self._calls.read_response(connection, None, deadline, protocol.POLL_TIMEOUT_S)
        except StreamClosedError as err:
            return err.reason is CloseReason.REFUSED
        return response.status == HTTPStatus.NO_CONTENT  # another one belongs to an earlier call

    def _may_cancel(self, attempt: AttemptCall) -> bool:
        """Whether a cancellation would end this attempt and not a later one; engines know only the id."""
        first_later = attempt.attempt_no + 1
        later_numbers = range(first_later, first_later + MAX_LATER_ATTEMPTS)
        has_later = any((attempt.ref, number) in self._calls.attempts for number in later_numbers)
        return not self._calls.is_replaced and not has_later
