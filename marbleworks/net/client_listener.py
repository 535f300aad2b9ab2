"""Accepts clients' connections and keeps their number within the router's file descriptors."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.lock import BoundedSemaphore

from marbleworks.net.actor import LOG, clock, spawn
from marbleworks.net.client_session import ClientSession
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.protocol import MAX_MESSAGE_BYTES
from marbleworks.net.stream import CloseReason, Stream
from marbleworks.ports import ResultStore
from marbleworks.settings import Settings

_FIRST_MESSAGE_GRACE_S = 0.25  # in which a new connection is not closed for the next one
_ACCEPT_RETRY_INTERVAL_S = 0.05


class ClientListener:
    """A listening socket and the sessions of the connections it accepted.

    Attributes:
        descriptors: One for each connection that may be open.
        healthy: The answer to `health`.
        result_store: Where results are stored, if anywhere.
        health_details: Answers a `health` call about a subsystem.
        sessions: Sessions that are not closed, in the order of their connections.
        accepted: A connection that still waits for a descriptor, with its peer's address.
    """

    def __init__(
        self,
        address: tuple[str, int],
        dispatcher: Dispatcher,
        settings: Settings,
        descriptors: BoundedSemaphore,
    ) -> None:
        self.dispatcher = dispatcher
        self.settings = settings
        self.descriptors = descriptors
        self.healthy = True
        self.result_store: ResultStore | None = None
        self.health_details: Callable[[str], dict[str, Any]] | None = None
        self.sessions: dict[ClientSession, None] = {}
        self.accepted: tuple[socket.socket, tuple[str, int]] | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(socket.SOMAXCONN)
        self.accept_greenlet = spawn(self._accept_all)

    def _accept_all(self) -> None:
        while True:
            try:
                self._accept()
            except OSError as err:  # the host is short of descriptors or memory
                LOG.warning("accept failed", error=str(err))
                gevent.sleep(_ACCEPT_RETRY_INTERVAL_S)

    def _accept(self, deadline: float = math.inf) -> None:
        """Accepts one connection; while there is no descriptor for it, later ones wait in the backlog.

        Raises:
            BlockingIOError: There is no descriptor by the deadline.
            OSError: The host accepts none.
        """
        if self.accepted is None:
            self.accepted = self.sock.accept()
        while not self.descriptors.acquire(blocking=False):
            if clock() >= deadline:
                raise BlockingIOError
            if not self._close_unused_session():
                gevent.sleep(_ACCEPT_RETRY_INTERVAL_S)  # a session may have become unused by then
        sock, (host, port) = self.accepted
        self.accepted = None
        try:
            stream = Stream(sock, "client", f"{host}:{port}", MAX_MESSAGE_BYTES, self.descriptors.release)
        except BaseException:
            self.descriptors.release()
            sock.close()
            raise
        ClientSession(self, stream)
        gevent.sleep(0)  # the session reads before the next connection is accepted

    def _close_unused_session(self) -> bool:
        """Closes the session that is most likely kept for nothing; returns whether one was closed.

        That is the oldest one that never sent a message, or else the one that has been unused for longest. A
        new connection gets time for its first message, and bytes that have arrived are read first.
        """
        unused = [session for session in self.sessions if session.is_unused()]
        if not unused:
            return False
        opened_by = clock() - _FIRST_MESSAGE_GRACE_S
        silent = (
            session
            for session in unused
            if session.last_message_at is None and session.stream.opened_at <= opened_by
        )
        session = next(silent, None) or min(unused, key=_last_used_at)
        if session.stream.peek() is not None:
            return False
        session.stream.close(CloseReason.NO_ROOM)
        return True

    def stop_accepting(self, deadline: float) -> None:
        """Accepts what is in the host's backlog, then closes the listening socket."""
        self.accept_greenlet.kill()
        self.sock.settimeout(0.0)
        while clock() < deadline:
            try:
                self._accept(deadline)
            except BlockingIOError:  # the backlog is empty, and nothing else runs before the close
                break
            except OSError as err:
                LOG.warning("accept failed", error=str(err))
                gevent.sleep(_ACCEPT_RETRY_INTERVAL_S)
        self.sock.close()

    def close_idle_sessions(self) -> bool:
        """Gracefully closes sessions without open calls; returns whether no session is left."""
        for session in [session for session in self.sessions if session.is_idle()]:
            session.close_gracefully(CloseReason.STOPPING)
        return not self.sessions

    def close(self) -> None:
        """Closes all sessions at once."""
        for session in list(self.sessions):
            session.stream.close(CloseReason.STOPPING)


def _last_used_at(session: ClientSession) -> float:
    return session.last_message_at or session.stream.opened_at
