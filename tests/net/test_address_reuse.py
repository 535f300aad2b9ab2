"""Tests of engines that come up at the address of one that has gone, or that restart in place."""

from __future__ import annotations

import pytest
from gevent.event import Event

from marbleworks.lab.standins import SqlEngine, http_response
from marbleworks.model import EngineEntry, EngineStatus
from marbleworks.net.engine_client import EngineClient
from marbleworks.net.messages import AttemptCall, EngineListing
from tests.net.test_router import Router, row, time_limit, until

__all__ = ["time_limit"]

REF = "a" * 16
RESULT = http_response(200, row("new"), X_Sheets=1, X_Toil=40, X_Room=8)


class EngineAddress:
    """An address at which one engine process follows another one.

    Attributes:
        is_replaced: Whether the second process runs; it knows none of the requests of the first.
        sql: The listener.
        router: A router that knows the first process as engine 0.
        calls_to_second: Verb and path of the calls that the second process received.
    """

    def __init__(self) -> None:
        self.is_replaced = False
        self.is_started = Event()
        self.calls_to_second: list[str] = []
        self.sql = SqlEngine(self.reply)
        self.router = Router(self.sql.address)

    def reply(self, call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        """Answers a call: the first process runs a request for ever, the second one at once."""
        if not self.is_replaced:
            self.is_started.set()
            return http_response(204) if "DELETE" in call else http_response(202)
        self.calls_to_second.append(call)
        return RESULT if call.startswith("POST") else http_response(500)

    def start_request(self, request_class: str) -> None:
        """Starts a request that is in flight at the first process."""
        self.client = self.router.client()
        self.client.send_request(request_class, ref=REF)
        assert self.is_started.wait(2)

    def update(self, *listings: EngineListing) -> None:
        """Gives the router a new engine list."""
        self.router.dispatcher.post(self.router.dispatcher.update_engines, list(listings), True)

    def listing(self, engine_id: int, started_at: float = 0.0) -> EngineListing:
        """Returns the list's line for an engine at the address."""
        entry = EngineEntry(engine_id, f"s-{engine_id}", 0, 0, 0, EngineStatus.UP, started_at)
        return EngineListing(entry, self.sql.address)


@pytest.mark.parametrize("in_one_list", [True, False])
@pytest.mark.parametrize(("request_class", "retries"), [("look", 1), ("load", 0)])
def test_a_new_engine_gets_no_calls_about_the_requests_of_the_one_before(
    request_class: str, retries: int, in_one_list: bool
) -> None:
    """Guards against polling and cancelling at a process that was taken for the one that has gone."""
    address = EngineAddress()
    address.start_request(request_class)
    address.is_replaced = True
    if not in_one_list:
        address.update()
    address.update(address.listing(1))
    answer = address.client.receive()
    assert (answer[3] is not None) == bool(retries), answer
    until(lambda: not address.router.dispatcher.open_requests)
    assert address.calls_to_second == ["POST /o"] * retries


def test_a_late_cancellation_does_not_end_the_next_attempt_at_the_same_engine() -> None:
    """Guards against a call that ends a new attempt, since engines know only the id of its request."""
    address = EngineAddress()
    until(lambda: address.router.dispatcher.engine_clients)
    engine = address.router.dispatcher.engine_clients[0]
    assert isinstance(engine, EngineClient)
    lost = AttemptCall(REF, 0, "look", b"select 1", 0, 1e12)
    engine.attempts[REF, 1] = AttemptCall(REF, 1, "look", b"select 1", 0, 1e12)
    engine._terminator.cancel(lost)
    assert not address.sql.calls
    del engine.attempts[REF, 1]
    engine._terminator.cancel(lost)
    assert address.sql.calls_of("DELETE") == [f"DELETE /o/{REF}"]
