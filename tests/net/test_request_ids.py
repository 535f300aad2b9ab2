"""Tests that a request whose id comes again takes effect once."""

from __future__ import annotations

import pytest
from gevent.event import Event

from marbleworks.lab.standins import SqlEngine, http_response
from marbleworks.net.recent_request_ids import MAX_IDS, RecentRequestIds
from tests.net.test_event_orders import disconnect, reply_good
from tests.net.test_router import Router, time_limit, until

__all__ = ["time_limit"]


@pytest.mark.parametrize("departure", ["close", "cancel", "reset"])
def test_an_id_that_comes_again_after_its_client_left_runs_once(departure: str) -> None:
    """Guards against a second effect of a request that may have run when its client left."""
    ref, is_started = "a" * 16, Event()

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        if call.startswith("POST"):
            is_started.set()
            return http_response(202)
        return http_response(204) if "DELETE" in call else http_response(500)

    engine = SqlEngine(reply)
    router = Router(engine.address)
    client = router.client()
    client.send_request("load", ref=ref)
    assert is_started.wait(2)
    disconnect(client, departure)
    until(lambda: not router.dispatcher.open_requests)
    for _ in range(2):
        other = router.client()
        other.send_request("load", ref=ref)
        assert other.receive()[2] == ["Failed", {"why": "the request id was used before"}]
    assert len(engine.calls_of("POST")) == 1


def test_an_id_that_comes_again_after_its_answer_runs_once() -> None:
    """Guards against a second effect of a request that was answered."""
    engine = SqlEngine(reply_good)
    router = Router(engine.address)
    for number in range(2):
        client = router.client()
        client.send_request("load", ref="a" * 16)
        assert bool(client.receive()[3]) == (number == 0)
    assert len(engine.calls_of("POST")) == 1


def test_an_id_that_comes_again_runs_if_it_never_ran_or_may_run_again() -> None:
    """Guards against failing requests whose repetition is harmless."""
    rejection = http_response(503, X_No_Effect=1)
    engine = SqlEngine(
        lambda call, fields, body: rejection if fields["X-Sort"] == "load" else reply_good(call, fields, body)
    )
    router = Router(engine.address)
    client = router.client()
    for _ in range(2):
        client.send_request("load", ref="a" * 16)
        assert client.receive()[2][0] == "Rejected"
        client.send_request("look", ref="b" * 16)
        assert client.receive()[3]


def test_ids_are_kept_for_a_time_and_in_a_limited_number() -> None:
    """Guards against memory that grows with each request."""
    ids = RecentRequestIds(retention_s=10.0)
    ids.add("a", 100.0)
    assert ids.contains("a", 109.9) and not ids.contains("a", 110.0) and not ids.contains("b", 100.0)
    ids.add("a", 105.0)
    ids.add("b", 112.0)
    assert ids.contains("a", 114.9) and len(ids) == 2
    ids.add("c", 115.0)
    assert len(ids) == 2
    for number in range(MAX_IDS):
        ids.add(str(number), 116.0)
    assert len(ids) == MAX_IDS and not ids.contains("c", 116.0) and ids.contains("0", 116.0)
