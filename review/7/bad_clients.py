"""Bad clients: each sends hundreds of valid requests at once, reads what it is sent, closes and comes again.

Arguments: host, port, number of clients, seconds.
"""

from __future__ import annotations

import random
import secrets
import selectors
import socket
import sys
import time
from contextlib import suppress
from dataclasses import dataclass

import msgpack

REQUESTS_AT_ONCE = 200
STAY_S = 1.0  # how long a client reads after it has sent everything
SEED = 7


@dataclass(eq=False)
class Connection:
    """One bad client's connection.

    Attributes:
        unsent: What it still has to send.
        sent_at: Unix time in seconds at which everything was sent; infinite before that.
    """

    sock: socket.socket
    unsent: memoryview
    sent_at: float = float("inf")


def encode_requests(rng: random.Random) -> bytes:
    """Returns the requests of one client."""
    messages = []
    for message_id in range(1, REQUESTS_AT_ONCE + 1):
        fields = {
            "id": secrets.token_hex(8),
            "wait": "2000",
            "tenant": "acme",
            "cost": "20.0",
            "need_mb": "10",
        }
        statement = f"select * from sales_{rng.randrange(1000)}.orders /* 5 ms */".encode()
        messages.append(msgpack.packb([0, message_id, "date-lookup", [fields, statement]]))
    return b"".join(messages)


class BadClients:
    """A number of bad clients, each of which is followed by another one when it goes."""

    def __init__(self, address: tuple[str, int], count: int) -> None:
        self.address = address
        self.rng = random.Random(SEED)
        self.selector = selectors.DefaultSelector()
        for _ in range(count):
            self._open()

    def run(self, seconds: float) -> None:
        """Runs for that many seconds."""
        ends_at = time.time() + seconds
        while time.time() < ends_at:
            for key, events in self.selector.select(0.05):
                try:
                    self._handle(key.data, events)
                except BlockingIOError:
                    continue
                except OSError:
                    self._replace(key.data)
            self._replace_done()

    def _open(self) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        with suppress(BlockingIOError):
            sock.connect(self.address)
        connection = Connection(sock, memoryview(encode_requests(self.rng)))
        self.selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, connection)

    def _handle(self, connection: Connection, events: int) -> None:
        if events & selectors.EVENT_WRITE and connection.unsent:
            count = connection.sock.send(connection.unsent)
            connection.unsent = connection.unsent[count:]
            if not connection.unsent:
                connection.sent_at = time.time()
                self.selector.modify(connection.sock, selectors.EVENT_READ, connection)
        if events & selectors.EVENT_READ and not connection.sock.recv(65536):
            raise ConnectionError

    def _replace(self, connection: Connection) -> None:
        self.selector.unregister(connection.sock)
        connection.sock.close()
        self._open()

    def _replace_done(self) -> None:
        done_before = time.time() - STAY_S
        for key in list(self.selector.get_map().values()):
            if key.data.sent_at < done_before:
                self._replace(key.data)


if __name__ == "__main__":
    clients = BadClients((sys.argv[1], int(sys.argv[2])), int(sys.argv[3]))
    clients.run(float(sys.argv[4]))
