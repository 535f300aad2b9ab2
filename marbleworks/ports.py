"""The protocols by which layers are joined: what one layer asks of another without importing it.

Times are seconds as floats, memory is megabytes, work is seconds on one thread. Engines, request classes and
tenants are named by the small indices that the platform gives out.
"""

from __future__ import annotations

from typing import Any, Protocol


class ResultNotStoredError(Exception):
    """A result can't be kept. wait: seconds until one may be, infinite where that can't be said."""

    def __init__(self, retry_after_s: float, reason: str) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class ResultWriter(Protocol):
    """Where the rows of one send go, in order. Whatever raises NotKept has dropped it."""

    def add(self, rows: bytes, until: float) -> None:
        """Whole rows; may wait until then, raises NotKept."""

    def finish(self, until: float) -> tuple[bytes, dict[str, str]]:
        """Returns once all is durable: the first page, and what its client is told. Raises NotKept."""

    def drop(self) -> None: ...


class ResultReservation(Protocol):
    """Room for the result of one command. wait: None, or the seconds until there is some."""

    wait: float | None

    def sheet(self) -> ResultWriter: ...

    def close(self) -> None:
        """The command has its final answer and no send of it is out."""

    def unwanted(self, told: dict[str, str]) -> None:
        """What was kept by those words reaches nobody."""


class ResultStore(Protocol):
    """Results that are kept for their clients, as a front sees them."""

    patience: float  # seconds that a client may take to read a page

    def tray(self, tenant: str, profile: str, statement: bytes) -> ResultReservation: ...

    def page(self, token: str, tenant: str, number: int) -> tuple[bytes, dict[str, str]] | str:
        """A page, from 1, and what is told with it; or why there is none. In hand until `given`; may wait."""

    def given(self) -> None: ...

    def release(self, token: str, tenant: str) -> bool: ...


class RequestAdmission(Protocol):
    """Who lets commands in to the decisions, as the desk sees it. Takes what `Desk.admit` takes, and calls
    that once for each command that is not called off before."""

    def take(
        self, ref: str, new: Any, group: int, key: str, told: tuple[float, float], tenant: int
    ) -> None: ...

    def left(self, ref: str) -> bool:
        """Its client has left; False where the command had been let in, or was not taken."""

    def answered(self, ref: str, need: tuple[float, float] | None) -> None: ...

    def over(self, ref: str, shed: bool) -> None: ...

    def listed(self) -> None: ...

    def stop(self) -> None: ...


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
