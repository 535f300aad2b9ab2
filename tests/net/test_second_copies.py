"""Tests that a late second copy of a response is never taken for the response to another request's call.

What is drawn: lengths of requests, which responses are sent twice and how late, provisional responses before
them, results of several pages, and pauses between requests, by which connections are reused.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

import gevent
import pytest

from marbleworks.lab.standins import SqlEngine, http_response
from marbleworks.net.connection_pool import REST_S
from tests.net.test_router import Router, row, time_limit, until

__all__ = ["time_limit"]

SEEDS = range(12)
REQUESTS = 60
CLIENTS = 6
COPY_RATIO = 0.4  # of all responses but 204
MAX_COPY_DELAY_S = 0.05
REFUSAL_RATIO = 0.15
PROVISIONAL = b"HTTP/1.1 102 Processing\r\n\r\n"


class CopyingEngine(SqlEngine):
    """An engine that runs requests as it draws, and sends some of its responses a second time.

    Attributes:
        begun: Ids of the requests that it began to run, in order.
        copies_sent: Number of second copies.
    """

    def __init__(self, source: random.Random) -> None:
        self.source = source
        self.begun: list[str] = []
        self.copies_sent = 0
        self.pages: dict[str, int] = {}
        super().__init__(self.answer)

    def answer(self, call: str, fields: dict[str, str], body: bytes) -> bytes:
        """Returns the response to a call."""
        if call.startswith("DELETE"):
            return http_response(204)
        if call.startswith("POST"):
            if self.source.random() < REFUSAL_RATIO:
                return http_response(503, X_No_Effect=1)
            ref = fields["X-Hop-Id"]
            self.begun.append(ref)
            self.pages[ref] = self.source.choice([1, 1, 3])
            gevent.sleep(self.source.uniform(0.0, 0.01))
            if self.source.random() < 0.3:
                return http_response(202)
            return self.page(ref, 0)
        _, _, ref, number = call.split("/")
        return self.page(ref, int(number)) if ref in self.pages else http_response(500)

    def page(self, ref: str, number: int) -> bytes:
        """Returns a page of a result, which names its request."""
        label = {"X_Sheet": number} if number else {"X_Sheets": self.pages[ref], "X_Toil": 5, "X_Room": 8}
        provisional = PROVISIONAL if self.source.random() < 0.1 else b""
        return provisional + http_response(200, row(f"{ref}.{number}"), **label)

    def _serve_connection(self, sock: Any) -> None:
        super()._serve_connection(CopyingSocket(sock, self))


@dataclass
class CopyingSocket:
    """A socket of which some responses are sent a second time, later."""

    sock: Any
    engine: CopyingEngine
    makefile: Any = field(init=False)

    def __post_init__(self) -> None:
        self.makefile = self.sock.makefile

    def __enter__(self) -> CopyingSocket:
        return self

    def __exit__(self, *_: object) -> None:
        self.sock.close()

    def sendall(self, response: bytes) -> None:
        """Sends a response."""
        self.sock.sendall(response)
        if b" 204 " not in response[:20] and self.engine.source.random() < COPY_RATIO:
            delay_s = self.engine.source.uniform(0.0, MAX_COPY_DELAY_S)
            gevent.spawn_later(delay_s, self._send_copy, response)

    def _send_copy(self, response: bytes) -> None:
        try:
            self.sock.sendall(response)
        except OSError:
            return
        self.engine.copies_sent += 1


def send_requests(router: Router, number: int, source: random.Random, answers: dict[str, Any]) -> None:
    """Sends one request after the other and keeps each answer by the id of its request."""
    client = router.client()
    for index in range(REQUESTS // CLIENTS):
        ref = f"{number:08x}{index:08x}"
        client.send_request(source.choice(["look", "load"]), ref=ref)
        answers[ref] = client.receive()
        gevent.sleep(source.choice([0.0, 0.0, 0.01, REST_S]))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_late_second_copy_is_never_the_response_to_another_request(seed: int) -> None:
    """Guards against rows of other requests (review/1) and refusals of loads that run (review/6)."""
    source = random.Random(seed)
    engines = [CopyingEngine(source) for _ in range(2)]
    router = Router(*(engine.address for engine in engines), descriptors=source.choice([3, 20]))
    until(lambda: router.dispatcher.engine_clients)
    answers: dict[str, Any] = {}
    gevent.joinall(
        [gevent.spawn(send_requests, router, number, source, answers) for number in range(CLIENTS)],
        raise_error=True,
    )
    begun = [ref for engine in engines for ref in engine.begun]
    assert sum(engine.copies_sent for engine in engines) >= REQUESTS // 10
    assert len(answers) == REQUESTS
    for ref, (_, _, error, result) in answers.items():
        if result is not None:
            labels = [line.split("\t")[0] for line in result[0].decode().splitlines()]
            assert labels == [f"{ref}.{number}" for number in range(len(labels))], (ref, labels)
            assert ref in begun
        elif error[0] == "Rejected":
            assert ref not in begun, f"{ref} was refused and has begun"
