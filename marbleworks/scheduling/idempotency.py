"""Decides whether a further attempt of a request may have a second effect.

An attempt in flight may run as well as one that has ended without proof that it never ran, so every rule here
considers both.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marbleworks.model import UNKNOWN_INDEX, Idempotency, IdempotencyScope
from marbleworks.scheduling.history import TIME_MARGIN_S

if TYPE_CHECKING:
    from marbleworks.model import EngineEntry, RequestClass
    from marbleworks.scheduling.engine_state import Attempt
    from marbleworks.scheduling.request_state import RequestState


def possible_runs(request: RequestState) -> list[Attempt]:
    """Returns the attempts in flight, and the earliest one that has ended and may have run."""
    if request.earliest_possible_run is None:
        return request.in_flight
    return [request.earliest_possible_run, *request.in_flight]


def may_repeat(request: RequestState, now: float) -> bool:
    """Returns whether the request has not run, or some engines let a second run have no further effect."""
    if not possible_runs(request):
        return True
    idempotency = request.request_class.idempotency
    return idempotency is not Idempotency.NON_IDEMPOTENT and now < repeat_deadline(request)


def repeat_deadline(request: RequestState) -> float:
    """Returns the time (s) from which engines may have forgotten the request's key.

    It is infinite if the class has no key, or if no attempt may have run yet.
    """
    if request.request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
        return math.inf
    first_started_at = min((attempt.started_at for attempt in possible_runs(request)), default=math.inf)
    return first_started_at + request.request_class.idempotency_window_s - TIME_MARGIN_S


def may_repeat_on(request: RequestState, engine: EngineEntry) -> bool:
    """Returns whether the engine recognizes the request's key if an attempt so far has run."""
    request_class = request.request_class
    scope = request_class.idempotency_scope
    if request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY or scope is IdempotencyScope.ALL:
        return True
    return all(_share_keys(attempt.engine_entry, engine, scope) for attempt in possible_runs(request))


def id_may_run_again(request_class: RequestClass) -> bool:
    """Returns whether a new request with the id of one that may have run may be started."""
    return request_class.idempotency is Idempotency.IDEMPOTENT


def client_may_repeat(request: RequestState) -> bool:
    """Returns whether the client may send the request again, to any router, without a second effect."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT or not possible_runs(request):
        return True
    has_key = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
    return has_key and request_class.idempotency_scope is IdempotencyScope.ALL


def _share_keys(first: EngineEntry, second: EngineEntry, scope: IdempotencyScope) -> bool:
    if first.engine_id == second.engine_id:
        return True
    group = first.zone if scope is IdempotencyScope.ZONE else first.cell
    other_group = second.zone if scope is IdempotencyScope.ZONE else second.cell
    return group == other_group != UNKNOWN_INDEX
