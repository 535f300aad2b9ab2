"""Ends requests at an engine whose attempts are no longer wanted or have lost their connection."""

from __future__ import annotations

from contextlib import suppress

from marbleworks.net import engine_protocol as protocol
from marbleworks.net.actor import clock, spawn
from marbleworks.net.engine_calls import EngineCalls
from marbleworks.net.messages import AttemptCall
from marbleworks.net.stream import StreamClosedError

MAX_LATER_ATTEMPTS = 8  # of a request that may be in flight while an earlier one is cancelled


class AttemptTerminator:
    """Cancels attempts at one engine.

    Args:
        calls: Calls to the engine.
    """

    def __init__(self, calls: EngineCalls) -> None:
        self._calls = calls

    def start_cancel(self, attempt: AttemptCall) -> None:
        """Cancels the request of an attempt at the engine, in a greenlet of its own."""
        spawn(self.cancel, attempt)

    def cancel(self, attempt: AttemptCall) -> None:
        """Cancels the request of an attempt at the engine, if that can be reached at once.

        If the engine does not respond or has gone, nothing more can be done to cancel the request there.
        """
        with suppress(StreamClosedError):
            deadline = clock() + self._calls.pool.connect_timeout_s
            if not self._may_cancel(attempt):
                return
            connection = self._calls.pool.acquire(attempt.ref, deadline)
            with self._calls.in_use(connection):
                if not self._may_cancel(attempt):  # it may have waited for the connection
                    return
                connection.send_request(self._calls.requests.cancel(attempt.ref), deadline)
                self._calls.read_response(connection, None, deadline, protocol.POLL_TIMEOUT_S)

    def _may_cancel(self, attempt: AttemptCall) -> bool:
        """Whether a cancellation would end this attempt and not a later one; engines know only the id."""
        first_later = attempt.attempt_no + 1
        later_numbers = range(first_later, first_later + MAX_LATER_ATTEMPTS)
        has_later = any((attempt.ref, number) in self._calls.attempts for number in later_numbers)
        return not self._calls.is_replaced and not has_later
