"""The protocols by which layers are joined: what one layer asks of another without importing it.

Times are seconds as floats, memory is megabytes, work is seconds on one thread. Engines, request classes and
tenants are named by the small indices that the platform gives out.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple, Protocol


class ResultNotStoredError(Exception):
    """A result cannot be stored.

    Attributes:
        retry_after_s: Seconds until a result may be stored again; infinite where that is not known.
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
    """Why there is no page; the values are in answers to clients."""

    BUSY = "busy"  # now; all others are final
    UNKNOWN_RESULT = "no such result"  # unknown, expired, released and other tenants' tokens alike
    UNKNOWN_PAGE = "no such page"
    LOST = "the result is lost"


class ResultWriter(Protocol):
    """Takes the rows of one attempt's result in order.

    A method that raises `ResultNotStoredError` has discarded what was written before.
    """

    def write(self, rows: bytes, deadline: float) -> None:
        """Appends whole rows; may block until the deadline (Unix seconds).

        Raises:
            ResultNotStoredError: The rows were not taken by then.
        """

    def commit(self, deadline: float) -> StoredResult:
        """Returns once all is durable.

        Raises:
            ResultNotStoredError: The result was not durable by the deadline.
        """

    def discard(self) -> None:
        """Drops what was written; without effect once the result is committed."""


class ResultReservation(Protocol):
    """Storage reserved for the result of one request.

    Attributes:
        retry_after_s: None where room was reserved, or the seconds until there is some.
    """

    retry_after_s: float | None

    def open_writer(self) -> ResultWriter:
        """Returns the writer for one attempt's result."""

    def release(self) -> None:
        """Returns what is unused: the request has its final answer and no attempt of it is in flight."""

    def discard_result(self, result_fields: dict[str, str]) -> None:
        """Removes the committed result that these fields describe: it reaches no client."""


class ResultStore(Protocol):
    """Stored results, as client sessions use them.

    Attributes:
        page_timeout_s: Seconds that a client may take to read a page.
    """

    page_timeout_s: float

    def reserve(self, tenant: str, profile: str, statement: bytes) -> ResultReservation:
        """Reserves room for the result of a statement, as far as there is any."""

    def read_page(self, token: str, tenant: str, number: int) -> StoredPage | PageUnavailable:
        """Returns a page (numbered from 1), or the reason why there is none.

        May block. A page that is returned counts as held in memory until `page_delivered`.
        """

    def page_delivered(self) -> None:
        """A page that `read_page` returned is no longer held in memory."""

    def release(self, token: str, tenant: str) -> bool:
        """Removes a result; False where the tenant has none under this token."""


class RequestAdmission(Protocol):
    """Decides when a request reaches the scheduler, in the dispatcher's greenlet.

    `enqueue` takes what `Dispatcher.admit` takes and calls that once for each request whose client does not
    disconnect before.
    """

    def enqueue(
        self, ref: str, new: Any, group: int, key: str, estimate: tuple[float, float], tenant: int
    ) -> None:
        """Takes a new request."""

    def on_client_disconnect(self, ref: str) -> bool:
        """Drops a waiting request; False where it was admitted before or is unknown."""

    def on_answer(self, ref: str, need: tuple[float, float] | None) -> None:
        """An engine answered an admitted request. need: its work (s) and memory (MB), where reported."""

    def on_final_answer(self, ref: str, shed: bool) -> None:
        """An admitted request is settled; shed: without having been answered for want of capacity."""

    def engines_changed(self) -> None:
        """The list of engines changed."""

    def stop(self) -> None:
        """Rejects all that waits: the router stops."""


class SharedBudgets(Protocol):
    """What this router may use of the budgets that it shares with others, as the scheduler sees it.

    It says how much may be used; which engine, whether to retry and what to shed stay with the scheduler.
    class_index, tenant and engine_id are the platform's indices.
    """

    begin_by: float  # the latest start of the attempt that was last acquired; infinite mostly

    def admission_wait(self, ref: str, class_index: int, tenant: int, wait_budget_s: float) -> float | None:
        """Returns None if the request may be sent or wait for its turn within wait_budget_s.

        Otherwise the seconds after which its client may try again.
        """

    def is_within_quota(self, ref: str, tenant: int) -> bool | None:
        """Returns whether the tenant is within its quota, None where quotas are not divided here."""

    def has_room(self, ref: str, class_index: int, tenant: int, engine_id: int) -> bool:
        """Returns whether one more attempt may be in flight at the engine."""

    def max_in_flight(self) -> float:
        """Returns how many requests may be in flight at all engines; infinite if engines have no budget."""

    def retry_allowance(self, spare: float, earned: float) -> float:
        """Returns how many retries may be made, in place of those that this router earned by itself."""

    def slow_start_share(self, engine_id: int) -> float | None:
        """Returns our part of what a warming engine bears; None where that is not divided here."""

    def acquire(self, ref: str, attempt_no: int, class_index: int, tenant: int, engine_id: int) -> None:
        """Counts an attempt that is about to start."""

    def release(self, ref: str, attempt_no: int, may_still_run: bool) -> None:
        """Counts an attempt as ended. may_still_run: its engine may go on with it."""

    def stop_waiting(self, ref: str) -> None:
        """The request is completed and waits for no budget."""

    def engines_changed(self) -> None:
        """Engines were added or removed."""


class SchedulerPort(Protocol):
    """What the scheduler asks of the platform. A request is named by the ref it was submitted with."""

    def now(self) -> float:
        """Returns the time in seconds."""

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        """Sends a request to an engine; the attempts of one request are numbered from 0.

        The platform ends it at the deadline. It withdraws an attempt of which no byte has left by begin_by,
        whose engine drains or whose client has gone.
        """

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        """Cancels an attempt that is in flight."""

    def set_attempt_terms(self, ref: str, priority: int, memory_mb: float) -> None:
        """Sets the priority, at once, and the memory of later attempts; 0 leaves that to the engine."""

    def shed(self, ref: str, retry_after_s: float) -> None:
        """Answers that the request was not run and when its client may try again."""

    def fail(self, ref: str) -> None:
        """Answers that the request failed."""

    def probe_load(self, engine_id: int) -> None:
        """Asks an engine for its load; the answer comes to `Scheduler.on_probe_result`."""

    def broadcast(self, data: bytes) -> None:
        """Sends a load update to all other routers."""

    def schedule_wakeup(self, at: float) -> None:
        """Has `Scheduler.on_timer` be called by then.

        A platform may keep only the earliest time until it has called it.
        """

    def log(self, text: str) -> None:
        """Writes a line to the router's log."""
