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
        self, ref: str, new: Any, group: int, key: str, told: tuple[float, float], tenant: int
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
    """What this router may use of budgets that it shares with others, as the decisions see it. It says how
    much; where, whether again and what to shed stay with them. profile, tenant and be are indices."""

    begin_by: float  # until when the send that was counted last may begin; infinite mostly

    def wait(self, ref: str, profile: int, tenant: int, patience: float) -> float | None:
        """None: it may go, or wait its turn within so many seconds; else those after which it may come."""

    def within(self, ref: str, tenant: int) -> bool | None:
        """Whether its tenant is within its share; None where that is not divided here."""

    def room(self, ref: str, profile: int, tenant: int, be: int) -> bool:
        """Whether one more command may be out there."""

    def out(self) -> float:
        """Commands that may be out at all engines together; infinite where engines have no budget."""

    def further(self, spare: float, earned: float) -> float:
        """So many further sends, in place of those that the router has earned itself."""

    def cold(self, be: int) -> float | None:
        """Our part of what a fresh engine bears; None where that is not divided here."""

    def take(self, ref: str, send_no: int, profile: int, tenant: int, be: int) -> None: ...

    def give_back(self, ref: str, send_no: int, doubt: bool) -> None:
        """doubt: it may run on at its engine."""

    def over(self, ref: str) -> None:
        """It waits no longer."""

    def listed(self) -> None:
        """Engines came or went."""


class SchedulerPort(Protocol):
    """What the decisions ask of the platform. A command is named by the ref it was taken with."""

    def now(self) -> float: ...

    def send(self, ref: str, be: int, until: float, begin_by: float) -> None:
        """Send to an engine; sends of one command number from 0. Given up by the platform at until. A send
        of which no byte has left by begin_by, whose engine drains or whose client has gone is withdrawn."""

    def cancel(self, ref: str, send_no: int) -> None: ...

    def set_terms(self, ref: str, priority: int, memory: float) -> None:
        """Priority, at once, and memory for sends to come; 0 leaves the memory to the engine."""

    def shed(self, ref: str, come_back: float) -> None: ...

    def fail(self, ref: str) -> None: ...

    def probe(self, be: int) -> None: ...

    def tell_peers(self, data: bytes) -> None: ...

    def wake(self, at: float) -> None:
        """Has `awake` be called by then. A platform may keep the earliest wish alone until it has done so."""

    def log(self, text: str) -> None: ...
