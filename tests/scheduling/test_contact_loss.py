"""Tests of attempts whose engine cannot be reached, but may still be running them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from marbleworks.model import AttemptOutcome
from marbleworks.scheduling.request_state import RequestState
from tests.support.stand_ins import LOAD, READ, RULES, SchedulerHarness

RULES_WITHOUT_HEDGING = replace(RULES, allows_hedging=False)
LOST = AttemptOutcome.CONNECTION_LOST


def started(harness: SchedulerHarness, **submission: object) -> tuple[RequestState, int]:
    """Submits a request and returns its handle and the engine of its first attempt."""
    request = harness.submit(**submission)  # type: ignore[arg-type]
    return request, harness.port.started_engine_ids(request.ref)[0]


def test_a_request_that_lost_contact_is_retried_only_after_its_attempt_has_ended() -> None:
    """Guards against two attempts of a request in flight together, and against an engine that looks idle."""
    harness = SchedulerHarness(rules=RULES_WITHOUT_HEDGING)
    request, engine_id = started(harness)
    engine = harness.scheduler.engines[engine_id]
    request.on_contact_lost(0, LOST)
    assert harness.port.clock < engine.ejected_until
    assert engine.in_flight
    harness.advance(1.0)
    assert harness.port.started_engine_ids(request.ref) == [engine_id]
    request.on_attempt_end(0, LOST, False, None)
    assert len(harness.port.started_engine_ids(request.ref)) == 2
    assert not harness.port.final_answers(request.ref)


def test_the_failure_of_an_engine_is_counted_once() -> None:
    """Guards against an engine that is ejected for longer since a lost attempt is reported twice."""
    harness = SchedulerHarness(rules=RULES_WITHOUT_HEDGING)
    request, engine_id = started(harness)
    engine = harness.scheduler.engines[engine_id]
    request.on_contact_lost(0, LOST)
    ejected_until = engine.ejected_until
    harness.advance(ejected_until - harness.port.clock + 0.1)
    request.on_attempt_end(0, LOST, False, None)
    assert engine.ejected_until == ejected_until
    assert list(engine.recent_failures) == [True]


@pytest.mark.parametrize("request_class", [LOAD, READ])
def test_a_request_that_lost_contact_and_may_not_be_retried_is_answered_at_once(
    request_class: object,
) -> None:
    """Guards against an answer that waits for the end of an attempt although nothing can follow it."""
    harness = SchedulerHarness(rules=replace(RULES_WITHOUT_HEDGING, max_attempts=1))
    request, _ = started(harness, request_class=request_class)
    request.on_contact_lost(0, LOST)
    assert len(harness.port.final_answers(request.ref)) == 1
    request.on_attempt_end(0, AttemptOutcome.CANCELLED, True, None)
    assert request.settled
    assert len(harness.port.started_engine_ids(request.ref)) == 1


def test_contact_lost_with_an_attempt_that_has_ended_changes_nothing() -> None:
    """Guards against reports that cross the end of their attempt."""
    harness = SchedulerHarness(rules=RULES_WITHOUT_HEDGING)
    request, engine_id = started(harness)
    request.on_answer(0, None, None)
    request.on_contact_lost(0, LOST)
    assert not harness.scheduler.engines[engine_id].recent_failures.count(True)
    assert not harness.port.final_answers(request.ref)
