"""The connections to one engine: those that are idle, and whoever waits for one.

Every open connection takes a descriptor of a quota that all engines share. Where the quota is used up, a
request waits for a connection of this pool, or for a descriptor that another engine's pool hands over.
"""

from __future__ import annotations

import math
import weakref
from collections import deque
from typing import Protocol

import gevent
from gevent.event import AsyncResult

from marbleworks.net import engine_protocol as protocol
from marbleworks.net.actor import clock
from marbleworks.net.addresses import SocketAddress
from marbleworks.net.engine_connection import EngineConnection
from marbleworks.net.messages import EnginePort
from marbleworks.net.stream import CloseReason, StreamClosedError, connect
from marbleworks.settings import Settings


class DescriptorQuota(Protocol):
    """Descriptors that the connections of all engines may hold together, as a semaphore counts them."""

    def acquire(self, blocking: bool = True) -> bool:
        """Takes a descriptor; False where none is free and it is not to block."""

    def release(self) -> object:
        """Gives a descriptor back."""


class PoolOwner(Protocol):
    """The actor that a pool belongs to."""

    wake_at: float | None

    def on_descriptor_shortage(self) -> None:
        """A request waits, there is no connection that it could get, and the quota is used up."""


class ConnectionPool:
    """Connections to one engine. All its methods are called by its owner's greenlets."""

    def __init__(
        self,
        owner: PoolOwner,
        engine_name: str,
        address: SocketAddress,
        settings: Settings,
        descriptor_quota: DescriptorQuota,
    ) -> None:
        # A weak reference: in a cycle the two would outlive their engine until garbage is looked for.
        self._owner = weakref.ref(owner)
        self.engine_name = engine_name
        self.address = address
        self.descriptor_quota = descriptor_quota
        self.connect_timeout_s = settings.rules.connect_timeout_s
        self.max_idle_s = settings.idle_timeout_s / 2  # well before the engine would close it
        self.idle: list[EngineConnection] = []  # the last used is last
        self.open_count = 0  # idle or not, and those being opened
        self.waiters: deque[AsyncResult[EngineConnection | None]] = deque()  # None: a descriptor
        self.descriptor_recipient: EnginePort | None = None  # gets the descriptor of the next free connection

    def acquire(self, ref: str, deadline: float, wait_timeout_s: float = math.inf) -> EngineConnection:
        """Returns a connection for a request: an idle one, else a new one. Raises StreamClosedError.

        wait_timeout_s: how long it may wait where the descriptors are used up.
        """
        connection = self._reuse(deadline, wait_timeout_s)
        if connection is None:
            connection = self._open(deadline)
        connection.ref = ref
        return connection

    def release(self, connection: EngineConnection, may_keep: bool) -> None:
        """Takes a connection back after a sound response; may_keep: whether more requests may come."""
        connection.idle_since = clock()
        if self.descriptor_recipient is not None:
            recipient = self.descriptor_recipient
            self.descriptor_recipient = None
            connection.close(CloseReason.NO_ROOM)
            self.open_count -= 1
            recipient.post(recipient.serve_waiters)
            if self.waiters and not self.open_count:
                self._report_shortage()
        elif connection.keep_alive and may_keep:
            self._pass_on(connection)
        else:
            self.discard(connection, CloseReason.IDLE)

    def discard(self, connection: EngineConnection, reason: CloseReason) -> None:
        """Closes a connection of this pool, and serves who waits for its descriptor."""
        connection.close(reason)
        self.open_count -= 1
        self.serve_waiters()

    def serve_waiters(self) -> None:
        """Gives the descriptors that are free to those who wait longest."""
        while self.waiters and self.descriptor_quota.acquire(blocking=False):
            self.waiters.popleft().set(None)

    def hand_over_descriptor(self, recipient: EnginePort) -> None:
        """Frees a descriptor for another engine, now or as soon as a connection is free."""
        if self.idle:
            self.discard(self.idle.pop(0), CloseReason.NO_ROOM)
            recipient.post(recipient.serve_waiters)
        elif self.open_count:
            self.descriptor_recipient = recipient

    def close_idle(self, reason: CloseReason) -> None:
        """Closes all idle connections."""
        while self.idle:
            self.discard(self.idle.pop(), reason)

    def close_expired(self) -> float | None:
        """Closes what was idle for too long. Returns when the next will be, None where none is idle."""
        newest_expired = clock() - self.max_idle_s
        while self.idle and self.idle[0].idle_since <= newest_expired:
            self.discard(self.idle.pop(0), CloseReason.IDLE)
        return self.idle[0].idle_since + self.max_idle_s if self.idle else None

    def _reuse(self, deadline: float, wait_timeout_s: float) -> EngineConnection | None:
        """A connection that is free, or None: a descriptor for a new one has been acquired.

        None that has been closed meanwhile, or has more to say on what was asked before, is used again.
        """
        while True:
            if self.idle:
                connection = self.idle.pop()
                connection.keep_alive = clock() - connection.idle_since < self.max_idle_s
            elif self.descriptor_quota.acquire(blocking=False):
                return None
            else:
                handed = self._wait(min(wait_timeout_s, deadline - clock()))
                if handed is None:
                    return None
                connection = handed
            if connection.keep_alive and connection.stream.peek() is None:
                return connection
            self.discard(connection, CloseReason.CLOSED)

    def _open(self, deadline: float) -> EngineConnection:
        """Opens a connection with the descriptor that was acquired for it."""
        self.open_count += 1
        try:
            timeout_s = min(self.connect_timeout_s, deadline - clock())
            if timeout_s <= 0:
                raise StreamClosedError(CloseReason.SILENT)
            stream = connect(
                self.address,
                "engine",
                self.engine_name,
                protocol.MAX_RESPONSE_BYTES,
                timeout_s,
                self.descriptor_quota.release,
            )
        except BaseException:
            self.open_count -= 1
            self._pass_on(None)
            raise
        return EngineConnection(stream)

    def _wait(self, timeout_s: float) -> EngineConnection | None:
        """Waits for a connection of this pool, or for a descriptor, which is None."""
        if not self.open_count:
            self._report_shortage()
        handed: AsyncResult[EngineConnection | None] = AsyncResult()
        self.waiters.append(handed)
        try:
            return handed.get(timeout=max(timeout_s, 0.0))
        except BaseException as err:
            if handed in self.waiters:
                self.waiters.remove(handed)
            elif handed.ready():
                self._pass_on(handed.value)
            if isinstance(err, gevent.Timeout):
                raise StreamClosedError(CloseReason.NO_ROOM) from None
            raise

    def _pass_on(self, connection: EngineConnection | None) -> None:
        """Gives a free connection, or a descriptor where it is None, to who waits longest for one."""
        if self.waiters:
            self.waiters.popleft().set(connection)
        elif connection is None:
            self.descriptor_quota.release()
        else:
            self.idle.append(connection)
            owner = self._owner()
            if owner is not None:
                owner.wake_at = owner.wake_at or connection.idle_since + self.max_idle_s

    def _report_shortage(self) -> None:
        owner = self._owner()
        if owner is not None:
            owner.on_descriptor_shortage()
