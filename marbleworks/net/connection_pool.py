"""Connection pool of one engine: idle connections and the requests that wait for one.

Every open connection holds a file descriptor of a quota that all engines share. When the quota is used up, a
request waits for a connection of this pool, or for a descriptor that another engine's pool hands over.

A response does not say which call it answers, and engines may send one twice, the second time some
milliseconds later. So a connection rests before it serves another attempt: what arrives meanwhile is surplus,
and the connection is closed.
"""

from __future__ import annotations

import math
import weakref
from bisect import insort
from collections import deque
from operator import attrgetter
from typing import Protocol

import gevent
from gevent.event import AsyncResult

from marbleworks.net import engine_protocol as protocol
from marbleworks.net.actor import clock
from marbleworks.net.addresses import SocketAddress
from marbleworks.net.engine_connection import EngineConnection
from marbleworks.net.messages import AttemptKey, EnginePort
from marbleworks.net.stream import CloseReason, StreamClosedError, connect
from marbleworks.settings import Settings

REST_S = 0.06  # before another attempt; the second copy of a response comes within this time


class DescriptorQuota(Protocol):
    """Semaphore that counts the descriptors which the connections of all engines may hold together."""

    def acquire(self, blocking: bool = True) -> bool:
        """Takes a descriptor; returns False if none is free and the call must not block."""

    def release(self) -> object:
        """Returns a descriptor to the quota."""


class PoolOwner(Protocol):
    """The actor that a pool belongs to.

    Attributes:
        next_timer_at: Unix time in seconds of the actor's next timer; None for none.
    """

    next_timer_at: float | None

    def on_descriptor_shortage(self) -> None:
        """Called when a request waits, the pool has no open connection, and the quota is used up."""


class ConnectionPool:
    """Connections to one engine. Only its owner's greenlets call its methods.

    Attributes:
        max_idle_s: Age in seconds at which an idle connection is closed.
        idle: Idle connections; the last used one is at the end.
        open_count: Number of connections that are idle, in use or being opened.
        waiters: Requests that wait, in order; each gets a connection, or None for an acquired descriptor.
        descriptor_recipient: Engine client that gets the descriptor of the next connection that becomes free.
    """

    def __init__(
        self,
        owner: PoolOwner,
        engine_name: str,
        address: SocketAddress,
        settings: Settings,
        descriptor_quota: DescriptorQuota,
    ) -> None:
        # A weak reference, since a reference cycle would keep both alive until the next garbage collection.
        self._owner = weakref.ref(owner)
        self.engine_name = engine_name
        self.address = address
        self.descriptor_quota = descriptor_quota
        self.connect_timeout_s = settings.rules.connect_timeout_s
        self.max_idle_s = settings.idle_timeout_s / 2  # well before the engine closes the connection
        self.idle: list[EngineConnection] = []
        self.open_count = 0
        self.waiters: deque[AsyncResult[EngineConnection | None]] = deque()
        self.descriptor_recipient: EnginePort | None = None

    def acquire(
        self, user: AttemptKey, deadline: float, wait_timeout_s: float = math.inf
    ) -> EngineConnection:
        """Returns a connection for a call: an idle one that has rested if there is one, else a new one.

        Args:
            user: The attempt that the call is about; its own connections need no rest.
            deadline: Unix time in seconds by which the connection is needed.
            wait_timeout_s: Maximum wait in seconds when all descriptors are in use.

        Raises:
            StreamClosedError: No connection could be had in time.
        """
        connection = self._reuse(user, deadline, wait_timeout_s)
        if connection is None:
            connection = self._open(deadline)
        connection.user = user
        return connection

    def release(self, connection: EngineConnection, may_reuse: bool) -> None:
        """Takes a connection back after a valid response.

        Args:
            connection: The connection.
            may_reuse: Whether the engine may get more requests, so that the connection is worth keeping.
        """
        connection.idle_since = clock()
        if self.descriptor_recipient is not None:
            recipient = self.descriptor_recipient
            self.descriptor_recipient = None
            connection.close(CloseReason.NO_DESCRIPTOR)
            self.open_count -= 1
            recipient.post(recipient.serve_waiters)
            if self.waiters and not self.open_count:
                self._report_shortage()
        elif connection.keep_alive and may_reuse:
            self._hand_to_next_waiter(connection)
        else:
            self.discard(connection, CloseReason.IDLE)

    def discard(self, connection: EngineConnection, reason: CloseReason) -> None:
        """Closes a connection of this pool and gives its descriptor to the next waiter."""
        connection.close(reason)
        self.open_count -= 1
        self.serve_waiters()

    def serve_waiters(self) -> None:
        """Gives free descriptors to the requests that have waited for longest."""
        while self.waiters and self.descriptor_quota.acquire(blocking=False):
            self.waiters.popleft().set(None)

    def hand_over_descriptor(self, recipient: EnginePort) -> None:
        """Frees a descriptor for another engine's client, now or as soon as a connection becomes free."""
        if self.idle:
            self.discard(self.idle.pop(0), CloseReason.NO_DESCRIPTOR)
            recipient.post(recipient.serve_waiters)
        elif self.open_count:
            self.descriptor_recipient = recipient

    def close_idle(self, reason: CloseReason) -> None:
        """Closes all idle connections."""
        while self.idle:
            self.discard(self.idle.pop(), reason)

    def close_expired(self) -> float | None:
        """Closes connections that were idle for too long.

        Returns:
            Unix time in seconds at which the next one expires; None if none is idle.
        """
        idle_before = clock() - self.max_idle_s
        while self.idle and self.idle[0].idle_since <= idle_before:
            self.discard(self.idle.pop(0), CloseReason.IDLE)
        return self.idle[0].idle_since + self.max_idle_s if self.idle else None

    def _reuse(self, user: AttemptKey, deadline: float, wait_timeout_s: float) -> EngineConnection | None:
        """Returns a free connection, or None once a descriptor for a new one has been acquired.

        A connection that the engine has closed, or that has unread bytes of an earlier response, is closed
        and not reused.
        """
        while True:
            connection = self._take_rested(user)
            if connection is None:
                if self.descriptor_quota.acquire(blocking=False):
                    return None
                if self.idle:
                    connection = self.idle.pop(0)
                else:
                    connection = self._wait(min(wait_timeout_s, deadline - clock()))
                if connection is None:
                    return None
                self._let_rest(connection, user, deadline)
            is_expired = clock() >= connection.idle_since + self.max_idle_s
            if connection.keep_alive and not is_expired and connection.stream.peek() is None:
                return connection
            self.discard(connection, CloseReason.CLOSED)

    def _take_rested(self, user: AttemptKey) -> EngineConnection | None:
        """Removes and returns the idle connection that was used last, of those that may be used now."""
        rested_since = clock() - REST_S
        for position in reversed(range(len(self.idle))):
            connection = self.idle[position]
            if connection.user == user or connection.idle_since <= rested_since:
                return self.idle.pop(position)
        return None

    def _let_rest(self, connection: EngineConnection, user: AttemptKey, deadline: float) -> None:
        """Waits until a connection that is held may be used.

        Raises:
            StreamClosedError: That is too late; the connection is free again.
        """
        rested_at = connection.idle_since + REST_S
        if connection.user == user or clock() >= rested_at:
            return
        try:
            if rested_at >= deadline:
                raise StreamClosedError(CloseReason.NO_DESCRIPTOR)
            gevent.sleep(rested_at - clock())
        except BaseException:
            self._hand_to_next_waiter(connection)
            raise

    def _open(self, deadline: float) -> EngineConnection:
        """Opens a connection, which takes over the descriptor that was acquired for it."""
        self.open_count += 1
        try:
            timeout_s = min(self.connect_timeout_s, deadline - clock())
            if timeout_s <= 0:
                raise StreamClosedError(CloseReason.TIMEOUT)
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
            self._hand_to_next_waiter(None)
            raise
        return EngineConnection(stream)

    def _wait(self, timeout_s: float) -> EngineConnection | None:
        """Waits for a connection of this pool (returned) or for a descriptor (None is returned)."""
        if not self.open_count:
            self._report_shortage()
        assigned: AsyncResult[EngineConnection | None] = AsyncResult()
        self.waiters.append(assigned)
        try:
            return assigned.get(timeout=max(timeout_s, 0.0))
        except BaseException as err:
            if assigned in self.waiters:
                self.waiters.remove(assigned)
            elif assigned.ready():
                self._hand_to_next_waiter(assigned.value)
            if isinstance(err, gevent.Timeout):
                raise StreamClosedError(CloseReason.NO_DESCRIPTOR) from None
            raise

    def _hand_to_next_waiter(self, connection: EngineConnection | None) -> None:
        """Gives a free connection, or a descriptor if `connection` is None, to the longest waiter.

        If no request waits, the connection becomes idle or the descriptor returns to the quota.
        """
        if self.waiters:
            self.waiters.popleft().set(connection)
        elif connection is None:
            self.descriptor_quota.release()
        else:
            insort(self.idle, connection, key=attrgetter("idle_since"))
            owner = self._owner()
            if owner is not None:
                owner.next_timer_at = owner.next_timer_at or connection.idle_since + self.max_idle_s

    def _report_shortage(self) -> None:
        owner = self._owner()
        if owner is not None:
            owner.on_descriptor_shortage()
