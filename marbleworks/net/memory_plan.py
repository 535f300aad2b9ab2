"""Divides a router's memory limit among the parts of the router whose use grows with its clients."""

from __future__ import annotations

from dataclasses import dataclass

CLIENT_CONNECTION_BYTES = 16_000  # greenlet, socket, session, and receive buffer of the initial size
_CONNECTIONS_RATIO = 0.5  # of what is free at the start: at most for clients' connections
_REQUESTS_RATIO = (
    0.5  # of the rest: for received bytes and open requests; the other half is for their results
)
_MIN_CLIENTS = 16
_MIN_REQUEST_BYTES = 500_000


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """What the clients of a router may use.

    Attributes:
        max_clients: Number of clients' connections.
        request_bytes: Bytes for received bytes and open requests of all clients.
    """

    max_clients: int
    request_bytes: int

    @classmethod
    def divide(cls, limit_bytes: int, used_bytes: int, max_clients: int) -> MemoryPlan:
        """Divides what is left of the limit.

        Args:
            limit_bytes: Memory above which the platform kills the router.
            used_bytes: What the router uses before it accepts clients.
            max_clients: Number of clients' connections that the descriptors allow.
        """
        free_bytes = max(limit_bytes - used_bytes, 0)
        affordable_clients = int(free_bytes * _CONNECTIONS_RATIO) // CLIENT_CONNECTION_BYTES
        clients = max(min(max_clients, affordable_clients), min(max_clients, _MIN_CLIENTS))
        rest_bytes = free_bytes - clients * CLIENT_CONNECTION_BYTES
        return cls(clients, max(int(rest_bytes * _REQUESTS_RATIO), _MIN_REQUEST_BYTES))
