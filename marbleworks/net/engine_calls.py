"""Calls to one engine, each on a connection of the pool, with a response that is checked."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from marbleworks.net import engine_protocol as protocol
from marbleworks.net.actor import clock
from marbleworks.net.attempt_errors import AttemptCancelledError
from marbleworks.net.connection_pool import ConnectionPool
from marbleworks.net.engine_connection import EngineConnection, HttpResponse
from marbleworks.net.messages import AttemptCall, AttemptKey
from marbleworks.net.stream import CloseReason, StreamClosedError

MAX_CONNECTION_TRIES = 6  # for one response, so that immediate failures do not loop for ever


class EngineCalls:
    """The calls to one engine, across restarts of its process under the same name and address.

    Args:
        pool: Connections to the engine.
        attempts: Attempts at the engine that have not ended.
        allows_hedging: Whether two attempts of one request may be in flight together.

    Attributes:
        pool: Connections to the engine.
        requests: Encoder of HTTP requests to the engine.
        attempts: Attempts at the engine that have not ended.
        is_up: Whether new attempts may be sent to the engine.
        is_replaced: Whether another engine has its address.
    """

    def __init__(
        self, pool: ConnectionPool, attempts: dict[AttemptKey, AttemptCall], allows_hedging: bool
    ) -> None:
        self.pool = pool
        self.requests = protocol.RequestEncoder(pool.address)
        self.attempts = attempts
        self._allows_hedging = allows_hedging
        self.is_up = True
        self.is_replaced = False

    @contextmanager
    def in_use(self, connection: EngineConnection) -> Iterator[None]:
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

    def read_response(
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

    def fetch(self, attempt: AttemptCall, page: int) -> HttpResponse:
        """Polls for the first page, or fetches another page.

        Repeats the call on another connection if the response is malformed, truncated or late, until the
        engine must have ended the request because it was not polled for.

        Raises:
            StreamClosedError: No valid response arrived in time.
            AttemptCancelledError: Another engine has the address.
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
                connection = self.pool.acquire(attempt.key, attempt.deadline)
                with self.in_use(connection):
                    connection.send_request(request, attempt.deadline)
                    attempt.polled_at = clock()
                    return self.read_response(connection, page, attempt.deadline, timeout_s)
            except StreamClosedError as err:
                if err.reason is CloseReason.TIMEOUT:  # the response may just be late
                    timeout_s = self._next_timeout_s(page, timeout_s)
                else:
                    tries_left -= 1
                has_expired = clock() >= min(started_at + protocol.UNPOLLED_LIFETIME_S, attempt.deadline)
                if has_expired or tries_left <= 0 or err.reason is CloseReason.REFUSED:
                    raise

    def _next_timeout_s(self, page: int, timeout_s: float) -> float:
        """Returns how long to wait for the response to a call that is repeated after a timeout.

        Each poll prolongs the time for which the engine may run the request. Where it has to end before the
        next attempt begins, the second poll is therefore the last one for as long as that takes.
        """
        if page == 0 and not self._allows_hedging:
            return protocol.UNPOLLED_LIFETIME_S + protocol.LATENESS_ALLOWANCE_S
        return min(2.0 * timeout_s, protocol.POLL_TIMEOUT_S)
