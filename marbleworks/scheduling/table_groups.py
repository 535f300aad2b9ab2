"""LOW for table groups: which requests conflict, and which of them runs first."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marbleworks.scheduling.wtpg import Wtpg

if TYPE_CHECKING:
    from marbleworks.scheduling.engine_state import EngineState
    from marbleworks.scheduling.request_state import RequestState

MAX_CONFLICTS = 6  # K: limit on the conflicting declarations of any node in a graph
MAX_DELAY_RATIO = 0.15  # share of the time to its latency target for which LOW may delay a request


class TableGroups:
    """The requests in the graph of each table group, both pending and in flight."""

    def __init__(self) -> None:
        self.requests_by_group: dict[int, list[RequestState]] = {}

    def grant(self, request: RequestState, engines: list[EngineState], now: float) -> list[EngineState]:
        """Returns the engines that LOW grants to a request; none if it has to wait.

        Requests of a group without loads may use all engines. Otherwise the request is granted the engines
        without a load of this router if E shows that running it first delays no conflicting request more than
        the reverse order would. After MAX_DELAY_RATIO of the time to its latency target it is granted in any
        case, even on engines where it has to wait for a load of this router.
        """
        request_class = request.request_class
        if not request_class.is_load and not (
            request_class.waits_for_loads and self.has_load(request.table_group)
        ):
            return engines
        self.join(request)
        engines_without_loads = [e for e in engines if request.table_group not in e.loading_groups]
        if not (request.in_graph and engines_without_loads and self.has_min_e(request, now)):
            max_delay_s = MAX_DELAY_RATIO * (request.target_at - request.received_at)
            if not now - request.received_at > max_delay_s:
                return []
        return engines_without_loads or engines

    def join(self, request: RequestState) -> None:
        """Adds a request to its group's graph, unless a node would then have more than K conflicts."""
        if request.in_graph:
            return
        requests = self.requests_by_group.setdefault(request.table_group, [])
        # A load conflicts with all of these, a reader with the loads among them.
        pending = [r for r in requests if not r.in_flight]
        if len(pending) <= MAX_CONFLICTS or not any(r.request_class.is_load for r in [request, *pending]):
            requests.append(request)
            request.in_graph = True

    def leave(self, request: RequestState) -> None:
        """Removes a request from its group's graph if it is in it."""
        if request.in_graph:
            self.requests_by_group[request.table_group].remove(request)
            request.in_graph = False

    def has_load(self, table_group: int) -> bool:
        """Returns whether a load is in the group's graph."""
        return any(r.request_class.is_load for r in self.requests_by_group.get(table_group, ()))

    def has_min_e(self, request: RequestState, now: float) -> bool:
        """Returns whether E with the request first is not above E with any conflicting request first."""
        requests = self.requests_by_group[request.table_group]
        if not any(not r.in_flight and r is not request and r.conflicts_with(request) for r in requests):
            return True
        graph = _graph(requests, now)
        e = graph.e(request.sequence)
        return not math.isinf(e) and all(
            e <= graph.e(rival) + 1e-9 for rival in graph.conflicts[request.sequence]
        )

    def prune(self) -> None:
        """Removes groups without requests."""
        self.requests_by_group = {
            group: requests for group, requests in self.requests_by_group.items() if requests
        }


def _graph(requests: list[RequestState], now: float) -> Wtpg:
    """Builds the graph: pending requests conflict with each other, those in flight precede them.

    The longest load in flight stands for all loads in flight (node -1), and the longest reader in flight for
    all readers (node 0).
    """
    graph = Wtpg()
    pending = [r for r in requests if not r.in_flight]
    for a in pending:
        graph.start_weights[a.sequence] = a.work
        graph.conflicts[a.sequence] = {
            b.sequence: b.work for b in pending if a is not b and a.conflicts_with(b)
        }
    for is_load in (True, False):
        remaining = [
            _remaining_cost(r, now) for r in requests if r.in_flight and r.request_class.is_load == is_load
        ]
        if remaining:
            graph.start_weights[-is_load] = max(remaining)
            graph.precedes[-is_load] = {
                b.sequence: b.work for b in pending if is_load or b.request_class.is_load
            }
    return graph


def _remaining_cost(request: RequestState, now: float) -> float:
    """Returns the remaining work, by progress reports or else by elapsed time over the engine's slowdown.

    On a slow engine less work is done in the same time; dividing by the slowdown corrects for that.
    """
    remaining = request.work
    for attempt in request.in_flight:
        done = (now - attempt.started_at) * request.request_class.threads / attempt.engine.slowdown
        by_attempt = request.work * (1.0 - attempt.progress) if attempt.progress else request.work - done
        remaining = min(remaining, by_attempt)
    return max(remaining, 0.0)
