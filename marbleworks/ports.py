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
