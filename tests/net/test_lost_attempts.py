"""Tests that a request is not sent again while an attempt that lost its connection may still be running.

That is forbidden where the settings allow no second copies. Where they do, a lost attempt is retried at once.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

import gevent
import pytest

from marbleworks.lab.standins import RpcClient, SqlEngine, http_response
from marbleworks.net import engine_protocol as protocol
from marbleworks.settings import Settings
from tests.net.test_router import GOOD, Router, time_limit, until
from tests.support.stand_ins import SETTINGS

__all__ = ["time_limit"]

REF = "a" * 16
SOON_S = 0.35  # for what happens without a wait
CHECK_TOLERANCE_S = 0.01


def deployment(second_copies: bool, cancel: bool) -> Settings:
    """Returns the settings of a small deployment with or without second copies and cancellations."""
    limits: dict[str, Any] = {**SETTINGS["policy_limits"], "second_copies": second_copies, "cancel": cancel}
    return Settings({**SETTINGS, "policy_limits": limits})


@dataclass(frozen=True)
class Call:
    """A call that an engine received.

    Attributes:
        at: Time in seconds.
        response: What it sent; b"" if it reset the connection, None if it is silent.
    """

    at: float
    engine: int
    verb: str
    response: bytes | None


class TwoEngines:
    """Two engines; the one that gets the request first loses the contact to it once it has started it.

    Attributes:
        calls: The calls that the engines received about the request, in order.
        first: The engine that got the request first; None before that.
        in_contact: Whether the first engine answers calls.
        poll_response: What it sends to polls otherwise.
        cancel_response: What it sends to cancellations otherwise.
    """

    def __init__(
        self,
        poll_response: bytes | None,
        cancel_response: bytes | None,
        second_copies: bool = False,
        cancel: bool = True,
    ) -> None:
        self.calls: list[Call] = []
        self.first: int | None = None
        self.in_contact = True
        self.poll_response = poll_response
        self.cancel_response = cancel_response
        self.engines = [
            SqlEngine(lambda *call, number=number: self._reply(number, *call)) for number in (0, 1)
        ]
        addresses = [engine.address for engine in self.engines]
        self.router = Router(*addresses, deployment=deployment(second_copies, cancel))
        self.client: RpcClient = self.router.client()

    def send(self, method: str = "look", wait: str = "3900") -> float:
        """Sends the request, waits until it runs, breaks the contact, and returns the time of that."""
        self.client.send_request(method, ref=REF, wait=wait)
        until(lambda: any(call.verb == "GET" for call in self.calls))
        self.in_contact = False
        return time.monotonic()

    def calls_of(self, verb: str, engine: int | None = None) -> list[Call]:
        """Returns the calls with a verb, to one engine or to both."""
        return [call for call in self.calls if call.verb == verb and engine in (None, call.engine)]

    def retry(self, timeout_s: float = 3.5) -> Call:
        """Waits for the second attempt and returns its call."""
        until(lambda: len(self.calls_of("POST")) == 2, timeout_s)
        return self.calls_of("POST")[1]

    def _reply(self, number: int, call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        verb = call.partition(" ")[0]
        if self.first is None:
            self.first = number
        response = self._response(number, verb)
        self.calls.append(Call(time.monotonic(), number, verb, response))
        return response

    def _response(self, number: int, verb: str) -> bytes | None:
        if number != self.first:
            return GOOD
        if verb == "DELETE":
            return http_response(204) if self.in_contact else self.cancel_response
        gevent.sleep(0.02 if self.in_contact else 0.0)
        return http_response(202) if self.in_contact else self.poll_response


def test_a_lost_attempt_is_retried_once_its_engine_has_confirmed_the_cancellation() -> None:
    """Guards against two attempts of a request that are out together after resets (review/10)."""
    engines = TwoEngines(b"", b"")
    lost_at = engines.send()
    gevent.sleep(0.3)
    assert len(engines.calls_of("POST")) == 1
    engines.in_contact = True
    retry = engines.retry()
    assert retry.engine != engines.first
    assert engines.calls[-2].verb == "DELETE"
    assert engines.calls[-2].response == http_response(204)
    assert retry.at < lost_at + 0.3 + 2 * SOON_S
    assert engines.client.receive()[3]


@pytest.mark.parametrize(
    ("poll_response", "cancel_response"),
    [
        (b"", b""),
        (None, None),
        (b"", http_response(202)),
        (b"", http_response(503, X_No_Effect=1)),
        (b"", http_response(500)),
    ],
)
def test_a_lost_attempt_is_retried_when_its_engine_must_have_ended_it(
    poll_response: bytes | None, cancel_response: bytes | None
) -> None:
    """Guards against a retry while an engine that cannot be told of it runs the request, and against none."""
    engines = TwoEngines(poll_response, cancel_response)
    lost_at = engines.send()
    retry = engines.retry()
    first = engines.first
    last_poll = [call for call in engines.calls if call.engine == first and call.verb == "GET"][-1]
    assert retry.at >= last_poll.at + protocol.UNPOLLED_LIFETIME_S - CHECK_TOLERANCE_S
    assert retry.at < lost_at + 2.9
    until(lambda: engines.calls_of("DELETE", first))
    assert engines.client.receive()[3]


@pytest.mark.parametrize("poll_response", [b"", None])
def test_a_lost_attempt_is_waited_for_without_a_call_where_cancellations_are_forbidden(
    poll_response: bytes | None,
) -> None:
    """Guards against cancellations that the settings forbid, and against no retry without them."""
    engines = TwoEngines(poll_response, http_response(204), cancel=False)
    lost_at = engines.send()
    assert engines.retry().at >= lost_at + protocol.UNPOLLED_LIFETIME_S - CHECK_TOLERANCE_S
    assert engines.client.receive()[3]
    assert not engines.calls_of("DELETE")


def test_an_attempt_at_a_process_that_has_ended_is_retried_at_once() -> None:
    """Guards against waiting for a process that is known to have ended."""
    engines = TwoEngines(b"", b"")
    until(lambda: engines.router.dispatcher.engine_clients)
    engines.client.send_request("look", ref=REF, wait="3900")
    until(lambda: engines.first is not None)
    engines.engines[engines.first or 0].sock.close()
    engines.in_contact = False
    assert engines.retry(2 * SOON_S).engine != engines.first


def test_with_second_copies_a_lost_attempt_is_retried_at_once() -> None:
    """Guards against a slower retry at sites that allow second copies."""
    engines = TwoEngines(b"", b"", second_copies=True)
    engines.send()
    assert engines.retry(SOON_S).engine != engines.first
    assert engines.client.receive()[3]


def test_a_lost_attempt_that_may_not_be_retried_is_answered_at_once() -> None:
    """Guards against an answer that waits although the request has been given up."""
    engines = TwoEngines(b"", b"")
    lost_at = engines.send("load")
    assert engines.client.receive()[2][0] == "Failed"
    assert time.monotonic() < lost_at + SOON_S
    until(lambda: not engines.router.dispatcher.open_requests)
    assert len(engines.calls_of("POST")) == 1


def test_a_request_whose_attempt_was_lost_is_answered_in_its_time() -> None:
    """Guards against an answer that waits for an engine beyond the client's time."""
    engines = TwoEngines(b"", b"")
    sent_at = time.monotonic()
    engines.send(wait="700")
    assert engines.client.receive()[2]
    assert time.monotonic() < sent_at + 0.75
    assert len(engines.calls_of("POST")) == 1


def test_a_request_is_not_retried_for_a_client_that_leaves_while_its_engine_is_waited_for() -> None:
    """Guards against a retry, or a request that stays open, after the client has cancelled."""
    engines = TwoEngines(b"", b"")
    engines.send()
    until(lambda: engines.calls_of("DELETE"))
    engines.client.send(2, "cancel", [1])
    until(lambda: not engines.router.dispatcher.open_requests)
    engines.in_contact = True
    gevent.sleep(SOON_S)
    assert len(engines.calls_of("POST")) == 1
