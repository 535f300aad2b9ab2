"""Chooses the client connection that is closed when a new one needs its place.

No connection with an open call is closed, and none on which a complete message may have arrived. Connections
with valid requests a moment ago are kept as long as there are others, so that a crowd cannot take the places
of clients that have one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

FIRST_MESSAGE_GRACE_S = 0.25  # for a new connection on which nothing arrives
PARTIAL_MESSAGE_GRACE_S = 0.5  # for a connection on which a message is incomplete
USUAL_PAUSE_S = 0.25  # between two requests of a client that uses its connection all the time
RECENT_USE_S = 1.0


class Evictable(Protocol):
    """A connection as this module sees it.

    Attributes:
        last_used_at: Unix time in seconds of the last message or answer; None before the first message.
        has_requested: Whether a valid request has arrived.
    """

    last_used_at: float | None
    has_requested: bool

    @property
    def opened_at(self) -> float:
        """Unix time in seconds at which it was accepted."""

    @property
    def partial_since(self) -> float | None:
        """Unix time in seconds since which a message is incomplete; None if there is none."""

    def is_unused(self) -> bool:
        """Whether no call is open and nothing is waiting to be written."""

    @property
    def has_unhandled(self) -> bool:
        """Whether bytes have arrived that were not looked at yet, or the connection has ended."""


Connection = TypeVar("Connection", bound=Evictable)


def connection_to_evict(connections: Iterable[Connection], now: float) -> Connection | None:
    """Returns the connection to close; None if it is better to wait.

    Args:
        connections: All connections, the oldest one first.
        now: Unix time in seconds.
    """
    unused = [connection for connection in connections if connection.is_unused()]
    partial = [connection for connection in unused if connection.partial_since is not None]
    resting = [connection for connection in unused if connection.partial_since is None]
    newcomers = [connection for connection in resting if connection.last_used_at is None]
    used = sorted((c for c in resting if c.last_used_at is not None), key=_last_used_at)
    silent = [c for c in newcomers if c.opened_at <= now - FIRST_MESSAGE_GRACE_S]
    without_request = [c for c in used if not c.has_requested]
    clients = [c for c in used if c.has_requested]
    idle = [c for c in clients if _last_used_at(c) <= now - RECENT_USE_S]
    stalled = sorted(
        (c for c in partial if _partial_since(c) <= now - PARTIAL_MESSAGE_GRACE_S), key=_partial_since
    )
    pausing = [c for c in clients if _last_used_at(c) <= now - USUAL_PAUSE_S]
    last_resort = [] if newcomers or partial or without_request else pausing
    for connection in [*silent, *without_request, *idle, *stalled, *last_resort]:
        if not connection.has_unhandled:
            return connection
    return None


def _last_used_at(connection: Evictable) -> float:
    return connection.last_used_at or 0.0


def _partial_since(connection: Evictable) -> float:
    return connection.partial_since or 0.0
