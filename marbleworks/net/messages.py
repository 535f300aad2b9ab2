"""What the desk, the engines' actors and the clients' actors hand each other. It knows none of them.

It owns no state of its own and never does anything: the shapes of a command on its way, of one send and of a
good end, and what the desk may ask of whoever stands on either side of it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import gevent

from marbleworks.model import LoadReport
from marbleworks.net.stream import Reason, Stream
from marbleworks.ports import ResultReservation
from marbleworks.scheduling.request_state import RequestState


class ClientPort(Protocol):
    """A client's connection, as the desk answers it. Each is posted."""

    stream: Stream

    def post(self, what: Callable[..., None], *args: Any) -> None: ...

    def answer(self, call: int, result: bytes, told: dict[str, str]) -> None: ...

    def shed(self, call: int, come_back: float) -> None: ...

    def fail(self, call: int, why: str) -> None: ...

    def forget(self, command: OpenRequest) -> None: ...


class EnginePort(Protocol):
    """An engine's connections, as the desk uses them. Each is posted."""

    address: tuple[str, int]

    def post(self, what: Callable[..., None], *args: Any) -> None: ...

    def send(self, send: AttemptCall) -> None: ...

    def cancel(self, ref: str, no: int) -> None: ...

    def listed(self, up: bool, started: float) -> None: ...

    def retire(self) -> None: ...

    def spare(self, other: Any) -> None: ...

    def try_again(self) -> None: ...


@dataclass(eq=False)
class OpenRequest:
    """A command on its way; over once it has its final answer or its client has left."""

    ref: str
    client: ClientPort
    call: int  # the client's number for it
    profile: str
    statement: bytes
    came: float
    deadline: float
    handle: RequestState | None = None
    memory: int = 0
    engines: list[EnginePort] = field(default_factory=list)  # of each send
    over: bool = False
    left: bool = False  # a latch that its client alone closes, before any mail of it is read
    tray: ResultReservation | None = None  # room for its result, where that is to be kept

    def wanted(self) -> bool:
        """Whether anyone still waits for it, also where the end of the connection is not read yet."""
        return not (self.over or self.left or self.client.stream.gone())


@dataclass(eq=False)
class AttemptCall:
    """One send and what it needs; the greenlet is the one that carries it."""

    ref: str
    no: int
    profile: str
    statement: bytes
    memory: int
    until: float
    tray: ResultReservation | None = None  # where its result goes page by page; None: it is given on whole
    begin_by: float = math.inf  # the latest moment for its first byte, by the decisions
    wanted: Callable[[], bool] = lambda: True  # asked right before that byte
    posted: float = 0.0  # when the call was whole on its connection; 0: not yet
    called_off: bool = False
    begun: bool = False
    stopped: Reason | None = None  # before it had begun
    greenlet: gevent.Greenlet[..., None] = field(init=False)


@dataclass
class AttemptResult:
    """A good end: the whole result, the work and memory it took where told, and the engine's load."""

    body: bytearray
    need: tuple[float, float] | None
    report: LoadReport | None
    told: dict[str, str] = field(default_factory=dict)  # of a result that is kept
