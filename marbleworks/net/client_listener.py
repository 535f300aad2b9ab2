"""Accepts client connections and limits their number to the router's quota of file descriptors."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.lock import BoundedSemaphore

from marbleworks.net.actor import LOG, clock, spawn
from marbleworks.net.client_session import ClientSession
from marbleworks.net.connection_eviction import connection_to_evict
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.protocol import MAX_MESSAGE_BYTES
from marbleworks.net.request_memory import MemoryAccount, MemoryPool
from marbleworks.net.stream import CloseReason, Stream
from marbleworks.net.time_slices import SharedTimeSlices
from marbleworks.ports import ResultStore
from marbleworks.settings import Settings

_ACCEPT_RETRY_INTERVAL_S = 0.05
_DEFAULT_SHARED_BYTES = 1 << 26
_READING_SLICE_S = 0.0005  # for some ten requests; a client with one waits for a slice of each other client


class ClientListener:
    """A listening socket and the sessions of the connections it accepted.

    Attributes:
        descriptors: Quota of file descriptors; each open connection holds one.
        memory: Memory for received bytes, open requests and their results.
        healthy: The answer to `health`.
        result_store: Store of query results; None where results are not stored.
        health_details: Returns the details that answer a `health` call about a subsystem, by its name.
        sessions: Sessions that are not closed, in the order of their connections.
        reading_slices: Time slices in which the sessions handle what they have received.
        pending_connection: An accepted connection that waits for a descriptor, with its peer's address.
    """

    def __init__(
        self,
        address: tuple[str, int],
        dispatcher: Dispatcher,
        settings: Settings,
        descriptors: BoundedSemaphore,
        memory: MemoryPool | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.settings = settings
        self.descriptors = descriptors
        self.memory = memory or MemoryPool(0, 0, _DEFAULT_SHARED_BYTES)
        self.healthy = True
        self.result_store: ResultStore | None = None
        self.health_details: Callable[[str], dict[str, Any]] | None = None
        self.sessions: dict[ClientSession, None] = {}
        self.reading_slices = SharedTimeSlices(_READING_SLICE_S)
        self.pending_connection: tuple[socket.socket, tuple[str, int]] | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(socket.SOMAXCONN)
        self.accept_greenlet = spawn(self._accept_all)

    def _accept_all(self) -> None:
        while True:
            try:
                self._accept()
            except OSError as err:  # for example, the host has run out of descriptors or memory
                LOG.warning("accept failed", error=str(err))
                gevent.sleep(_ACCEPT_RETRY_INTERVAL_S)

    def _accept(self, deadline: float = math.inf) -> None:
        """Accepts one connection; while no descriptor is free for it, later ones wait in the backlog.

        Args:
            deadline: Unix time in seconds until which to wait for a descriptor.

        Raises:
            BlockingIOError: No descriptor was free by the deadline, or the socket is non-blocking and the
                backlog is empty.
            OSError: The host could not accept a connection.
        """
        if self.pending_connection is None:
            self.pending_connection = self.sock.accept()
        while not self.descriptors.acquire(blocking=False):
            if clock() >= deadline:
                raise BlockingIOError
            if not self._close_unused_session():
                gevent.sleep(_ACCEPT_RETRY_INTERVAL_S)  # a session may become unused in this time
        sock, (host, port) = self.pending_connection
        self.pending_connection = None
        memory = MemoryAccount(self.memory)
        try:
            stream = Stream(
                sock, "client", f"{host}:{port}", MAX_MESSAGE_BYTES, self.descriptors.release, memory
            )
        except BaseException:
            self.descriptors.release()
            sock.close()
            raise
        ClientSession(self, stream, memory)
        gevent.sleep(0)  # lets the session read before the next connection is accepted

    def _close_unused_session(self) -> bool:
        """Closes the session that is least likely to be needed, and returns whether there was one."""
        session = connection_to_evict(self.sessions, clock())
        if session is None:
            return False
        session.stream.close(CloseReason.NO_DESCRIPTOR)
        return True

    def close_blocked_session(self) -> None:
        """Closes the session that holds the most memory among those whose clients do not read."""
        blocked = [session for session in self.sessions if session.is_write_blocked()]
        if blocked:
            session = max(blocked, key=lambda session: session.memory.held_bytes)
            session.stream.close(CloseReason.TIMEOUT)

    def stop_accepting(self, deadline: float) -> None:
        """Accepts the connections in the host's backlog, then closes the listening socket.

        Args:
            deadline: Unix time in seconds after which no more connections are accepted.
        """
        self.accept_greenlet.kill()
        self.sock.settimeout(0.0)
        while clock() < deadline:
            try:
                self._accept(deadline)
            except BlockingIOError:  # the backlog is empty, and no other greenlet runs before the close
                break
            except OSError as err:
                LOG.warning("accept failed", error=str(err))
                gevent.sleep(_ACCEPT_RETRY_INTERVAL_S)
        self.sock.close()

    def close_idle_sessions(self) -> bool:
        """Gracefully closes sessions without open calls and returns whether no session is left."""
        for session in [session for session in self.sessions if session.is_idle()]:
            session.close_gracefully(CloseReason.STOPPING)
        return not self.sessions

    def close(self) -> None:
        """Closes all sessions at once."""
        for session in list(self.sessions):
            session.stream.close(CloseReason.STOPPING)
