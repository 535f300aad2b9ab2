"""Tests of results of several pages, of which an engine client reads only some at a time."""

from __future__ import annotations

import time

import pytest

from marbleworks.lab.standins import SqlEngine, http_response
from marbleworks.net.result_reader import MAX_RESULT_READS
from marbleworks.scheduling.placement import Placement
from tests.net.test_router import Router, row, time_limit, until

__all__ = ["time_limit"]

OTHERS = 3
WAIT_S = 0.6
LATE_ANSWER_ALLOWANCE_S = 0.5


def test_requests_are_answered_in_time_while_an_engine_hangs_in_the_pages_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an attempt that waits beyond its deadline for its turn to read a result."""
    monkeypatch.setattr(Placement, "has_room", lambda *args: True)
    numbers = iter(range(1000))

    def reply(call: str, fields: dict[str, str], body: bytes) -> bytes | None:
        if call.startswith("DELETE"):
            return http_response(204)
        return http_response(200, row(f"{next(numbers)}"), X_Sheets=2) if call.startswith("POST") else None

    router = Router(SqlEngine(reply).address, descriptors=60)
    patient, client = router.client(), router.client()
    for number in range(MAX_RESULT_READS):
        patient.send_request("load", ref=f"{number:016x}", wait="3900")
    until(lambda: router.dispatcher.engine_clients[0].results.turns.locked())  # type: ignore[attr-defined]
    began = time.monotonic()
    for number in range(OTHERS):
        client.send_request("load", ref=f"b{number:015x}", wait=str(round(WAIT_S * 1000)))
    errors = [client.receive()[2] for _ in range(OTHERS)]
    assert all(errors)
    assert time.monotonic() - began < WAIT_S + LATE_ANSWER_ALLOWANCE_S
