"""Reads the results of an engine's attempts, into memory or into the result store."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import TYPE_CHECKING

from gevent.lock import BoundedSemaphore

from marbleworks.model import AttemptOutcome
from marbleworks.net import engine_protocol as protocol
from marbleworks.net.actor import clock
from marbleworks.net.engine_calls import EngineCalls
from marbleworks.net.messages import AttemptCall, AttemptFailure, AttemptResult
from marbleworks.net.stream import CloseReason, StreamClosedError
from marbleworks.ports import ResultNotStoredError, ResultWriter

if TYPE_CHECKING:
    from marbleworks.net.dispatcher import Dispatcher

MAX_RESULT_READS = 4  # of an engine; more would use up the core, so that other requests get no turn
# Interval between reports to the dispatcher that a result is being read into the store.
READING_NOTICE_INTERVAL_S = protocol.POLL_TIMEOUT_S


class ResultReader:
    """Reads the pages of results from one engine.

    Args:
        dispatcher: Actor that is told of results that are being read into the store.
        calls: Calls to the engine.
        release: Has the engine drop the result of an attempt, without waiting for that.

    Attributes:
        turns: Limits the number of results of several pages that are read at a time.
    """

    def __init__(
        self, dispatcher: Dispatcher, calls: EngineCalls, release: Callable[[AttemptCall], object]
    ) -> None:
        self._dispatcher = dispatcher
        self._calls = calls
        self._release = release
        self.turns = BoundedSemaphore(MAX_RESULT_READS)

    def read(
        self, attempt: AttemptCall, first_page: AttemptResult, pages: int
    ) -> AttemptResult | AttemptFailure:
        """Reads the pages after the first, and returns the whole result or, of a stored one, its begin.

        Raises:
            StreamClosedError: A page did not arrive in time.
            AttemptCancelledError: Another engine has the address.
            ResultNotStoredError: The result store could not take the result.
        """
        if attempt.reservation is not None:
            return self._store(attempt, first_page, pages, attempt.reservation.open_writer())
        return self._read_into_memory(attempt, first_page, pages)

    def _read_into_memory(
        self, attempt: AttemptCall, result: AttemptResult, pages: int
    ) -> AttemptResult | AttemptFailure:
        if pages <= 1:
            return result
        with self._turn(attempt):
            for number in range(1, pages):
                page = self._calls.fetch(attempt, number)
                if page.status != HTTPStatus.OK:
                    return AttemptFailure(AttemptOutcome.ERROR, result.load_report)
                result.body += page.body
                if len(result.body) > protocol.MAX_RESULT_BYTES:
                    return AttemptFailure(AttemptOutcome.ERROR, result.load_report)
        return result

    @contextmanager
    def _turn(self, attempt: AttemptCall) -> Iterator[None]:
        """Waits until few enough results are read, but at most to the deadline or the result's expiry.

        Raises:
            StreamClosedError: The turn did not come in time.
        """
        timeout_s = min(attempt.deadline - clock(), protocol.UNPOLLED_LIFETIME_S)
        if not self.turns.acquire(timeout=max(timeout_s, 0.0)):
            raise StreamClosedError(CloseReason.TIMEOUT)
        try:
            yield
        finally:
            self.turns.release()

    def _store(
        self, attempt: AttemptCall, result: AttemptResult, pages: int, writer: ResultWriter
    ) -> AttemptResult | AttemptFailure:
        """Reads a result of any size into the store, and releases it at the engine after its last page."""
        notified_at = 0.0
        try:
            writer.write(result.body, attempt.deadline)
            for number in range(1, pages):
                if clock() > notified_at + READING_NOTICE_INTERVAL_S:
                    notified_at = clock()
                    self._notify_reading(attempt)
                page = self._calls.fetch(attempt, number)
                if page.status != HTTPStatus.OK:
                    return AttemptFailure(AttemptOutcome.ERROR, result.load_report)
                writer.write(page.body, attempt.deadline)
            self._notify_reading(attempt)
            self._release(attempt)
            first_page, result.metadata = writer.commit(attempt.deadline)
        except ResultNotStoredError:
            self._release(attempt)
            raise
        finally:
            writer.discard()  # has no effect after a commit
        result.body = bytearray(first_page)
        return result

    def _notify_reading(self, attempt: AttemptCall) -> None:
        self._dispatcher.post(self._dispatcher.on_result_reading, attempt.ref, attempt.attempt_no)
