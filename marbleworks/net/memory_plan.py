"""Divides a router's memory limit among the parts of the router whose use grows with its clients."""

from __future__ import annotations

from dataclasses import dataclass

CLIENT_CONNECTION_BYTES = 16_000  # greenlet, socket, session, and receive buffer of the initial size
OPEN_REQUEST_BYTES = 8_192  # what an open request and its attempts take beside its statement
_USUAL_STATEMENT_BYTES = 904
_MIN_GUARANTEED_BYTES = OPEN_REQUEST_BYTES + _USUAL_STATEMENT_BYTES
ENGINE_CONNECTION_BYTES = 24_000  # socket, buffer, parser, attempt, and a page of its result
_TRAFFIC_BYTES = 3_500_000  # what any traffic takes once, whoever sends it: samples, encoders, log
_ENGINES_RATIO = 0.25  # of what is free: at most for connections to engines
_MIN_ENGINE_CONNECTIONS = 16
_CLIENTS_RATIO = 0.65  # of what is free at the start: at most for connections with one usual request each
_GUARANTEED_RATIO = 0.2  # of the rest: more for each connection; what no ratio names is for results and peaks
_SHARED_RATIO = 0.25
_MIN_CLIENTS = 16


def affordable_engine_connections(limit_bytes: int, used_bytes: int, max_connections: int) -> int:
    """Returns how many connections to engines a router may have.

    Args:
        limit_bytes: Memory above which the platform kills the router.
        used_bytes: What the router uses before it has connections.
        max_connections: Number of connections to engines that the descriptors allow.
    """
    affordable = int(_free_bytes(limit_bytes, used_bytes) * _ENGINES_RATIO) // ENGINE_CONNECTION_BYTES
    return max(min(max_connections, affordable), min(max_connections, _MIN_ENGINE_CONNECTIONS))


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """What the clients of a router may use.

    Attributes:
        max_clients: Number of clients' connections.
        guaranteed_bytes: Bytes for received bytes, open requests and their results of each connection.
        shared_bytes: Further bytes for these, for all connections together.
    """

    max_clients: int
    guaranteed_bytes: int
    shared_bytes: int

    @classmethod
    def divide(cls, limit_bytes: int, used_bytes: int, max_clients: int) -> MemoryPlan:
        """Divides what is left of the limit.

        Args:
            limit_bytes: Memory above which the platform kills the router.
            used_bytes: What the router uses before it accepts clients.
            max_clients: Number of clients' connections that the descriptors allow.
        """
        free_bytes = _free_bytes(limit_bytes, used_bytes) * (1.0 - _ENGINES_RATIO)
        client_bytes = CLIENT_CONNECTION_BYTES + _MIN_GUARANTEED_BYTES
        affordable_clients = int(free_bytes * _CLIENTS_RATIO) // client_bytes
        clients = max(min(max_clients, affordable_clients), min(max_clients, _MIN_CLIENTS))
        rest_bytes = max(free_bytes - clients * client_bytes, 0)
        return cls(
            max_clients=clients,
            guaranteed_bytes=_MIN_GUARANTEED_BYTES + int(rest_bytes * _GUARANTEED_RATIO) // clients,
            shared_bytes=int(rest_bytes * _SHARED_RATIO),
        )


def _free_bytes(limit_bytes: int, used_bytes: int) -> int:
    return max(limit_bytes - used_bytes - _TRAFFIC_BYTES, 0)
