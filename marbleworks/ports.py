"""Protocols between layers: what one layer requires of another without importing it.

Times are seconds as floats, memory is in megabytes, work is in seconds on one thread. Engines, request
classes and tenants are identified by the small indices that the platform assigns.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple, Protocol


class ResultNotStoredError(Exception):
    """A result cannot be stored.

    Attributes:
        retry_after_s: seconds until a result may be stored again; infinite if that is not known.
    """

    def __init__(self, retry_after_s: float, reason: str) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class StoredResult(NamedTuple):
    """A committed result: its first page, and the fields that tell the client how to read the rest."""

    first_page: bytes
    fields: dict[str, str]


class StoredPage(NamedTuple):
    """A page of a stored result with its fields for the client."""

    rows: bytes
    fields: dict[str, str]


class PageUnavailable(str, Enum):
    """Why a page is not available; the values are sent to clients."""

    BUSY = "busy"  # temporary; all other reasons are final
    UNKNOWN_RESULT = "no such result"  # token unknown, expired, released or of another tenant
    UNKNOWN_PAGE = "no such page"
    LOST = "the result is lost"


class ResultWriter(Protocol):
    """Writes the rows of one attempt's result in order.

    A method that raises `ResultNotStoredError` has discarded everything written before.
    """

    def write(self, rows: bytes, deadline: float) -> None:
        """Appends whole rows; may block until the deadline.

        Args:
            rows: the encoded rows.
            deadline: Unix time by which the rows have to be taken.

        Raises:
            ResultNotStoredError: the rows were not taken by the deadline.
        """

    def commit(self, deadline: float) -> StoredResult:
        """Returns the stored result once it is durable.

        Args:
            deadline: Unix time by which the result has to be durable.

        Raises:
            ResultNotStoredError: the result was not durable by the deadline.
        """

    def discard(self) -> None:
        """Discards what was written; has no effect once the result is committed."""


class ResultReservation(Protocol):
    """Space reserved for the result of one request.

    Attributes:
        retry_after_s: seconds until there may be space; None if space was reserved.
    """

    retry_after_s: float | None

    def open_writer(self) -> ResultWriter:
        """Returns the writer for one attempt's result."""

    def release(self) -> None:
        """Frees the unused part of the reservation.

        Called when the request has its final answer and no attempt in flight.
        """

    def discard_result(self, result_fields: dict[str, str]) -> None:
        """Removes the committed result described by these fields, which reaches no client."""


class ResultStore(Protocol):
    """Stored results, as client sessions use them.

    Attributes:
        page_timeout_s: seconds that a client may take to read a page.
    """

    page_timeout_s: float

    def reserve(self, tenant: str, class_name: str, statement: bytes) -> ResultReservation:
        """Reserves space for the result of a statement, if there is any."""

    def read_page(self, token: str, tenant: str, number: int) -> StoredPage | PageUnavailable:
        """Returns a page (numbered from 1), or the reason why it is not available.

        May block. A returned page counts as held in memory until `page_delivered` is called.
        """

    def page_delivered(self) -> None:
        """Records that a page returned by `read_page` is no longer held in memory."""

    def release(self, token: str, tenant: str) -> bool:
        """Removes a result; returns False if the tenant has none with this token."""


class RequestAdmission(Protocol):
    """Decides when a request is passed to the scheduler; runs in the dispatcher's greenlet.

    `enqueue` takes the arguments of `Dispatcher.admit` and calls it once for each request, unless the client
    disconnects first.
    """

    def enqueue(
        self,
        ref: str,
        request: Any,
        table_group: int,
        ordering_key: str,
        estimate: tuple[float, float],
        tenant: int,
    ) -> None:
        """Takes a new request with the arguments of `Dispatcher.admit`."""

    def on_client_disconnect(self, ref: str) -> bool:
        """Removes a waiting request; returns False if it was admitted before or is unknown."""

    def on_answer(self, ref: str, usage: tuple[float, float] | None) -> None:
        """Records that an engine answered an admitted request.

        Args:
            ref: the request.
            usage: its work (s) and memory (MB); None if the engine does not report them.
        """

    def on_final_answer(self, ref: str, shed: bool) -> None:
        """Records that an admitted request is settled.

        Args:
            ref: the request.
            shed: whether it was shed for lack of capacity.
        """

    def engines_changed(self) -> None:
        """Handles a change of the engine list."""

    def stop(self) -> None:
        """Rejects all waiting requests, because the router stops."""


class SharedBudgets(Protocol):
    """This router's part of the budgets shared among routers, as the scheduler uses it.

    The budgets limit how much may be used. The scheduler decides which engine runs a request, whether to
    retry it and what to shed. class_index, tenant and engine_id are the platform's indices.

    Attributes:
        begin_by: latest start of the attempt that was acquired last; infinite if there is no limit.
    """

    begin_by: float

    def admission_wait(self, ref: str, class_index: int, tenant: int, wait_budget_s: float) -> float | None:
        """Returns None if the request may be sent or may wait for a free unit.

        Otherwise returns the seconds after which its client may try again.

        Args:
            ref: the request.
            class_index: its request class.
            tenant: its tenant.
            wait_budget_s: the longest time that it can wait.
        """

    def is_within_quota(self, ref: str, tenant: int) -> bool | None:
        """Returns whether the tenant is within its quota; None if quotas are not divided here."""

    def has_room(self, ref: str, class_index: int, tenant: int, engine_id: int) -> bool:
        """Returns whether one more attempt may be in flight at the engine."""

    def max_in_flight(self) -> float:
        """Returns the maximum of requests in flight at all engines; infinite without engine budgets."""

    def retry_allowance(self, budget_factor: float, earned_retries: float) -> float:
        """Returns how many retries may be made, in place of those that this router earned itself.

        Args:
            budget_factor: multiple of the retries, including the new one, that the budget has to cover.
            earned_retries: the retries that this router earned itself.
        """

    def slow_start_share(self, engine_id: int) -> float | None:
        """Returns this router's share of a warming engine's floor; None if it is not divided here."""

    def acquire(self, ref: str, attempt_no: int, class_index: int, tenant: int, engine_id: int) -> None:
        """Counts an attempt that is about to start."""

    def release(self, ref: str, attempt_no: int, may_still_run: bool) -> None:
        """Counts an attempt as ended.

        Args:
            ref: the request.
            attempt_no: the number of the attempt.
            may_still_run: whether the engine may still be running it.
        """

    def stop_waiting(self, ref: str) -> None:
        """Records that the request is completed and waits for no budget."""

    def engines_changed(self) -> None:
        """Handles engines that were added or removed."""


class SchedulerPort(Protocol):
    """What the scheduler requires of the platform; requests are named by the ref of their submission."""

    def now(self) -> float:
        """Returns the time in seconds."""

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        """Sends a request to an engine; the attempts of one request are numbered from 0.

        The platform ends the attempt at the deadline. It withdraws an attempt of which nothing was sent by
        `begin_by`, whose engine drains or whose client has disconnected.

        Args:
            ref: the request.
            engine_id: the engine.
            deadline: time (s) at which the attempt ends.
            begin_by: time (s) by which the first byte has to be sent.
        """

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        """Cancels an attempt that is in flight."""

    def set_attempt_terms(self, ref: str, priority: int, memory_mb: float) -> None:
        """Sets the terms of a request.

        Args:
            ref: the request.
            priority: priority at the engine, applied at once.
            memory_mb: memory granted to later attempts; 0 leaves the amount to the engine.
        """

    def shed(self, ref: str, retry_after_s: float) -> None:
        """Answers that the request was not run.

        Args:
            ref: the request.
            retry_after_s: seconds after which the client may try again.
        """

    def fail(self, ref: str) -> None:
        """Answers that the request failed."""

    def probe_load(self, engine_id: int) -> None:
        """Asks an engine for its load; the result is passed to `Scheduler.on_probe_result`."""

    def broadcast(self, data: bytes) -> None:
        """Sends a load update to all other routers."""

    def schedule_wakeup(self, at: float) -> None:
        """Requests a call of `Scheduler.on_timer` by the given time.

        A platform may keep only the earliest requested time until it has made the call.
        """

    def log(self, text: str) -> None:
        """Writes a line to the router's log."""
