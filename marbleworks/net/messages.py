"""What the dispatcher, the engine clients and the client sessions hand each other.

These are the shapes of an open request, of one attempt and of how it ended, and the ports that the dispatcher
reaches its neighbours by. Nothing here imports a neighbour or does anything.

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
from marbleworks.net.stream import CloseReason, Stream
from marbleworks.ports import ResultReservation
from marbleworks.scheduling.request_state import RequestState


class ClientPort(Protocol):
    """A client's connection, as the dispatcher answers it. Every call but `post` is posted."""

    stream: Stream

    def post(self, what: Callable[..., None], *args: Any) -> None:
        """Has the connection's actor make a call."""

    def answer(self, call_id: int, result: bytes, metadata: dict[str, str]) -> None:
        """Answers a call with a result and its metadata."""

    def shed(self, call_id: int, retry_after_s: float) -> None:
        """Rejects a call; its client may retry after that time, 0: none is named."""

    def fail(self, call_id: int, reason: str) -> None:
        """Answers a call with an error."""

    def forget(self, request: OpenRequest) -> None:
        """The dispatcher knows that the client gave the request up."""


class EnginePort(Protocol):
    """An engine's client, as the dispatcher uses it. Every call but `post` is posted."""

    address: SocketAddress

    def post(self, what: Callable[..., None], *args: Any) -> None:
        """Has the engine client's actor make a call."""

    def start_attempt(self, attempt: AttemptCall) -> None:
        """Carries an attempt; its end is posted to the dispatcher."""

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        """Gives an attempt up, at its engine too if it has been sent."""

    def update_entry(self, is_up: bool, started_at: float) -> None:
        """The list names the engine again: whether it takes requests, and when its process started."""

    def retire(self) -> None:
        """The engine has left the list; the client ends with its last attempt."""

    def hand_over_descriptor(self, recipient: EnginePort) -> None:
        """Gives a descriptor up to another engine's client, now or as soon as one is free."""

    def serve_waiters(self) -> None:
        """Descriptors may be free: whoever waits for one is served."""


class EngineListing(NamedTuple):
    """One engine of a list, and where it is reached."""

    entry: EngineEntry
    address: SocketAddress


@dataclass(eq=False)
class OpenRequest:
    """A request on its way, from its arrival until its final answer and the end of its last attempt."""

    ref: str
    client: ClientPort
    call_id: int  # the client's number for it
    class_name: str
    statement: bytes
    received_at: float
    deadline: float
    handle: RequestState | None = None  # the scheduler's; None until it is submitted there
    memory_mb: int = 0  # granted for attempts to come; 0 leaves it to the engine
    attempt_engines: list[EnginePort] = field(default_factory=list)  # by attempt number
    completed: bool = False  # it has its final answer, or its client has gone
    client_gone: bool = False  # set by its client alone, before any mail about it is read
    reservation: ResultReservation | None = None  # room for its result, where that is to be stored

    def is_wanted(self) -> bool:
        """Whether anyone still waits for it, also where the end of the connection is not read yet."""
        return not (self.completed or self.client_gone or self.client.stream.is_gone())


@dataclass(eq=False)
class AttemptCall:
    """One attempt of a request at one engine, and how far it is."""

    ref: str
    attempt_no: int
    class_name: str
    statement: bytes
    memory_mb: int
    deadline: float
    reservation: ResultReservation | None = None  # None: its result is passed on whole
    begin_by: float = math.inf  # the latest time for its first byte, by the scheduler
    is_wanted: Callable[[], bool] = lambda: True  # asked right before that byte
    sent_at: float | None = None  # when its request was written whole
    cancelled: bool = False
    has_begun: bool = False  # its greenlet runs
    stop_reason: CloseReason | None = None  # set where it is stopped before it has begun
    greenlet: gevent.Greenlet[..., None] = field(init=False)


@dataclass
class AttemptResult:
    """A successful attempt: the whole result, or the first page of a stored one."""

    body: bytearray
    usage: ResourceUsage | None  # what it took, where the engine says so
    load_report: LoadReport | None
    metadata: dict[str, str] = field(default_factory=dict)  # of a stored result, for its client


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt that ended without a result, and what its end proves."""

    outcome: AttemptOutcome
    load_report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ResultNotStored:
    """An attempt that ran, and whose result found no room."""

    retry_after_s: float  # infinite where no time can be named


AttemptEnd = AttemptResult | AttemptFailure | ResultNotStored
