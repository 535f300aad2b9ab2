"""A client of a router: MessagePack-RPC over TCP, as the protocol page describes it."""

from __future__ import annotations

import secrets
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import gevent
import msgpack
from gevent import socket
from gevent.event import Event

from harness.record import Record


class Outcome(Enum):
    """How a request ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNANSWERED = "unanswered"  # the connection has ended, or the client waits no longer


@dataclass(eq=False)
class Request:
    """One request.

    Attributes:
        sent_at: Unix time in seconds at which its last byte was written.
        wait_s: Seconds for which the client waits.
        answered_at: Unix time in seconds of its answer; None while there is none.
        body: Result of a request that was served.
    """

    request_id: str
    class_name: str
    sent_at: float
    wait_s: float
    outcome: Outcome = Outcome.UNANSWERED
    answered_at: float | None = None
    body: bytes = b""
    ended: Event = field(default_factory=Event)


class Client:
    """One connection to a router.

    Attributes:
        requests: All requests so far, by message id.
        closed: Whether the connection has ended.
    """

    def __init__(self, name: str, address: tuple[str, int], record: Record, timeout_s: float = 5.0) -> None:
        """Connects.

        Raises:
            OSError: No connection was made in time.
        """
        self.name = name
        self.record = record
        self.requests: dict[int, Request] = {}
        self.health: list[bool] = []
        self.closed = False
        self._next_id = 1
        self.sock = socket.create_connection(address, timeout_s)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        gevent.spawn(self._read)

    def send(self, class_name: str, statement: str, wait_s: float, cost_ms: float = 50.0) -> Request:
        """Sends a request.

        Raises:
            OSError: The connection has ended.
        """
        request, message = self._new_request(class_name, statement, wait_s, cost_ms)
        self.sock.sendall(message)
        request.sent_at = time.time()
        return request

    def send_in_pieces(
        self, class_name: str, statement: str, wait_s: float, pieces: int, interval_s: float
    ) -> Request:
        """Sends a request in so many pieces, with a pause after each but the last.

        Raises:
            OSError: The connection has ended; the request has not been taken.
        """
        request, message = self._new_request(class_name, statement, wait_s, cost_ms=50.0)
        size = -(-len(message) // pieces)
        for start in range(0, len(message), size):
            if start:
                gevent.sleep(interval_s)
            if self.closed:
                raise ConnectionResetError
            self.sock.sendall(message[start : start + size])
        request.sent_at = time.time()
        return request

    def _new_request(
        self, class_name: str, statement: str, wait_s: float, cost_ms: float
    ) -> tuple[Request, bytes]:
        message_id = self._take_id()
        request = Request(secrets.token_hex(8), class_name, 0.0, wait_s)
        fields = {
            "id": request.request_id,
            "wait": f"{wait_s * 1000:.0f}",
            "tenant": "acme",
            "cost": f"{cost_ms:.1f}",
            "need_mb": "10",
        }
        self.requests[message_id] = request
        self.record.add(self.name, "sent", request.request_id, class_name)
        return request, msgpack.packb([0, message_id, class_name, [fields, statement.encode()]])

    def cancel(self, request: Request) -> None:
        """Tells the router that the client waits no longer.

        Raises:
            OSError: The connection has ended.
        """
        message_id = next(number for number, sent in self.requests.items() if sent is request)
        self.sock.sendall(msgpack.packb([2, "cancel", [message_id]]))
        self.record.add(self.name, "cancelled", request.request_id, request.class_name)

    def ask_health(self) -> None:
        """Sends a `health` call; its answer is added to `health`."""
        self.sock.sendall(msgpack.packb([0, self._take_id(), "health", [{}]]))

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True
        self.sock.close()

    def _take_id(self) -> int:
        self._next_id += 1
        return self._next_id - 1

    def _read(self) -> None:
        with suppress(OSError):
            for _, message_id, error, result in self._messages():
                request = self.requests.get(message_id)
                if request is not None:
                    self._end(request, error, result)
                elif error is None:
                    self.health.append(result[0])
        self.closed = True
        for request in self.requests.values():
            if not request.ended.is_set():
                self.record.add(self.name, "connection-ended", request.request_id, request.class_name)
                request.ended.set()

    def _messages(self) -> Iterator[Any]:
        unpacker = msgpack.Unpacker(strict_map_key=False)
        while data := self.sock.recv(65536):
            unpacker.feed(data)
            yield from unpacker

    def _end(self, request: Request, error: Any, result: Any) -> None:
        if error is None:
            request.outcome = Outcome.SERVED
            request.body = result[0]
        else:
            request.outcome = Outcome.REFUSED if error[0] == "Rejected" else Outcome.FAILED
        request.answered_at = time.time()
        reason = "" if error is None else f" {error[1].get('why', '')}".rstrip()
        self.record.add(self.name, request.outcome.value, request.request_id, f"{request.class_name}{reason}")
        request.ended.set()
