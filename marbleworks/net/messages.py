"""Types shared by the dispatcher, the engine clients and the client sessions.

These are an open request, an attempt and its outcome, and the interfaces through which the dispatcher calls
client sessions and engine clients. This module imports none of those modules and has no behaviour of its own.

Times are Unix seconds of `marbleworks.net.actor.clock`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

import gevent

from marbleworks.model import AttemptOutcome, EngineEntry, LoadReport, ResourceUsage
from marbleworks.net.addresses import SocketAddress
from marbleworks.net.request_memory import MemoryReservation
from marbleworks.net.stream import CloseReason
from marbleworks.ports import ResultReservation
from marbleworks.scheduling.request_state import RequestState

AttemptKey = tuple[str, int]  # id of the request, and number of the attempt


class ClientPort(Protocol):
    """A client's session as the dispatcher uses it. The last three methods are posted."""

    @property
    def host(self) -> str:
        """Host of the client's address."""

    def awaits_answer(self, call_id: int) -> bool:
        """Whether the client waits for an answer, by all that has arrived from it, read or not."""

    def may_hide_departure(self) -> bool:
        """Whether so much is unread that it may hide that the client has gone or cancelled a call."""

    def post(self, action: Callable[..., None], *args: Any) -> None:
        """Queues a call that the session's actor makes."""

    def put_answer(self, call_id: int, result: bytearray, result_fields: dict[str, str]) -> None:
        """Queues the answer to a call: a result and its metadata."""

    def shed(self, call_id: int, retry_after_s: float) -> None:
        """Rejects a call; its client may retry after that many seconds, where 0 gives no time."""

    def fail(self, call_id: int, reason: str) -> None:
        """Answers a call with an error."""

    def on_abandoned_request_settled(self, request: OpenRequest) -> None:
        """Tells the session that a request which its client cancelled or left has no attempt in flight."""


class EnginePort(Protocol):
    """An engine's client as the dispatcher uses it. All methods except `post` are posted."""

    address: SocketAddress

    @property
    def open_connections(self) -> int:
        """Number of connections to the engine, also those that are being opened."""

    def post(self, action: Callable[..., None], *args: Any) -> None:
        """Queues a call that the engine client's actor makes."""

    def start_attempt(self, attempt: AttemptCall) -> None:
        """Runs an attempt; its outcome is posted to the dispatcher."""

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        """Cancels an attempt, and also its request at the engine if that has been sent."""

    def update_listing(self, is_up: bool, started_at: float) -> None:
        """Applies the engine's entry of a new list.

        Args:
            is_up: Whether the engine takes requests.
            started_at: Unix time in seconds at which its process started.
        """

    def retire(self) -> None:
        """Handles that the engine has left the list; the client ends after its last attempt."""

    def replace(self) -> None:
        """Handles that another engine has the address of this one, which has left the list."""

    def hand_over_descriptor(self, recipient: EnginePort) -> None:
        """Gives a descriptor to another engine's client, now or as soon as one is free."""

    def serve_waiters(self) -> None:
        """Gives free descriptors, if there are any, to the requests that wait for one."""


class EngineListing(NamedTuple):
    """One engine of the engine list and its address."""

    entry: EngineEntry
    address: SocketAddress


@dataclass(eq=False)
class OpenRequest:
    """An in-flight request, from its arrival until its final answer and the end of its last attempt.

    Attributes:
        ref: Id of the request.
        client: Session of its client.
        call_id: The client's id of the call.
        received_at: Unix time in seconds at which it arrived.
        deadline: Unix time in seconds until which its client waits.
        handle: The scheduler's handle; None until the request is submitted to the scheduler.
        memory_mb: Megabytes granted to attempts that start later; 0 leaves the amount to the engine.
        attempt_engines: Engine clients of its attempts, by attempt number.
        completed: Whether it has its final answer or its client has disconnected or cancelled it.
        client_gone: Whether its client has disconnected or cancelled it; set by the session alone, before the
            dispatcher handles the call that reports it.
        reservation: Space reserved for its result; None if the result is not stored.
        memory: Memory reserved for the request; None if it needs no reservation.
        may_have_run: Whether an attempt has ended that may have run.
    """

    ref: str
    client: ClientPort
    call_id: int
    class_name: str
    statement: bytes
    received_at: float
    deadline: float
    handle: RequestState | None = None
    memory_mb: int = 0
    attempt_engines: list[EnginePort] = field(default_factory=list)
    completed: bool = False
    client_gone: bool = False
    reservation: ResultReservation | None = None
    memory: MemoryReservation | None = None
    may_have_run: bool = False

    def release_resources(self) -> None:
        """Gives back what is reserved for the request; has no effect the second time."""
        if self.reservation is not None:
            self.reservation.release()
        if self.memory is not None:
            self.memory.release()

    def is_wanted(self) -> bool:
        """Whether the client still waits, also considering what has arrived from it and is not read yet."""
        return not (self.completed or self.client_gone) and self.client.awaits_answer(self.call_id)

    def may_hide_disconnect(self) -> bool:
        """Whether the client may have disconnected or cancelled behind bytes that have not been read."""
        return self.client.may_hide_departure()


@dataclass(eq=False, slots=True)
class NewRequest:
    """A request that a client's session passes to the dispatcher.

    Attributes:
        request: The request.
        table_group: Table group of its statement; 0 for none.
        ordering_key: Requests with the same key run in order; empty for no order.
        estimate: Work in seconds and memory in MB that its client expects it to take.
        tenant: Index of its tenant; -1 if it has none.
        wait_began_at: Unix time in seconds at which its client began to wait; for a retry, that is before
            this request arrived.
    """

    request: OpenRequest
    table_group: int
    ordering_key: str
    estimate: tuple[float, float]
    tenant: int
    wait_began_at: float


@dataclass(eq=False)
class AttemptCall:
    """One attempt of a request on one engine, and its progress.

    Attributes:
        ref: Id of the request.
        attempt_no: Number of the attempt, from 0.
        memory_mb: Megabytes granted to the attempt; 0 leaves the amount to the engine.
        deadline: Unix time in seconds by which the attempt has to end.
        reservation: Space reserved for its result; None if the whole result is passed on in memory.
        begin_by: Unix time in seconds after which the scheduler does not allow its first byte any more.
        is_wanted: Whether the client still waits; called right before the first byte is sent.
        may_hide_disconnect: Whether the client may have gone without a sign of it so far.
        sent_at: Unix time in seconds at which its request was fully written; None before that.
        polled_at: Unix time in seconds of the last call to the engine about it; 0 before the first.
        has_run: Whether the engine has reported the end of the request.
        cancelled: Whether the dispatcher cancelled it.
        has_started: Whether its greenlet has started to run.
        stop_reason: Why it was stopped before its greenlet started to run; None otherwise.
        greenlet: The greenlet that runs it.
    """

    ref: str
    attempt_no: int
    class_name: str
    statement: bytes
    memory_mb: int
    deadline: float
    reservation: ResultReservation | None = None
    begin_by: float = math.inf
    is_wanted: Callable[[], bool] = lambda: True
    may_hide_disconnect: Callable[[], bool] = lambda: False
    sent_at: float | None = None
    polled_at: float = 0.0
    has_run: bool = False
    cancelled: bool = False
    has_started: bool = False
    stop_reason: CloseReason | None = None
    greenlet: gevent.Greenlet[..., None] = field(init=False)

    @property
    def key(self) -> AttemptKey:
        """Identifies the attempt."""
        return self.ref, self.attempt_no


@dataclass
class AttemptResult:
    """The outcome of a successful attempt.

    Attributes:
        body: The whole result, or the first page of a stored one.
        usage: Work and memory that it took; None if the engine does not report them.
        load_report: Load of the engine; None if the engine does not report it.
        metadata: Fields for the client that describe a stored result.
    """

    body: bytearray
    usage: ResourceUsage | None
    load_report: LoadReport | None
    metadata: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt that ended without a result; its outcome says what that proves."""

    outcome: AttemptOutcome
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ResultNotStored:
    """An attempt that ran, but whose result could not be stored for lack of space.

    Attributes:
        retry_after_s: Seconds after which the client may retry; infinite if that is not known.
    """

    retry_after_s: float


AttemptEnd = AttemptResult | AttemptFailure | ResultNotStored
