"""LOW on table groups: which requests conflict, and which of them goes first."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from marbleworks.scheduling.wtpg import Wtpg

if TYPE_CHECKING:
    from marbleworks.scheduling.engine_state import EngineState
    from marbleworks.scheduling.request_state import RequestState

MAX_CONFLICTS = 6  # K: conflicting declarations that any node of a graph may face
MAX_DELAY_RATIO = 0.15  # part of its time to the latency target for which LOW may delay a request


class TableGroups:
    """The requests in the graph of each table group: pending ones and those in flight."""

    def __init__(self) -> None:
        self.members: dict[int, list[RequestState]] = {}

    def grant(self, request: RequestState, engines: list[EngineState], now: float) -> list[EngineState]:
        """Returns the engines that LOW grants a request of a group with loads; none if it has to wait.

        It goes where none of our loads is, when E says that this hurts no rival more than letting the rival
        go first. Having waited its part of the time it goes anywhere, even to stand behind a load of ours.
        """
        request_class = request.request_class
        if not request_class.is_load and not (
            request_class.waits_for_loads and self.has_load(request.table_group)
        ):
            return engines
        self.join(request)
        free = [e for e in engines if request.table_group not in e.loading_groups]
        if not (request.in_graph and free and self.has_least_e(request, now)):
            max_delay_s = MAX_DELAY_RATIO * (request.target_at - request.received_at)
            if not now - request.received_at > max_delay_s:
                return []
        return free or engines

    def join(self, request: RequestState) -> None:
        """Adds a request to its group's graph unless somebody in it would face more than K conflicts."""
        if request.in_graph:
            return
        members = self.members.setdefault(request.table_group, [])
        pending = [r for r in members if not r.in_flight]  # a load faces all of them, a reader the loads
        if len(pending) <= MAX_CONFLICTS or not any(r.request_class.is_load for r in [request, *pending]):
            members.append(request)
            request.in_graph = True

    def leave(self, request: RequestState) -> None:
        """Removes a request from its group's graph, where it is in it."""
        if request.in_graph:
            self.members[request.table_group].remove(request)
            request.in_graph = False

    def has_load(self, table_group: int) -> bool:
        """Returns whether a load is in the group's graph."""
        return any(r.request_class.is_load for r in self.members.get(table_group, ()))

    def has_least_e(self, request: RequestState, now: float) -> bool:
        """Returns whether E is no greater with the request first than with any of its rivals first."""
        members = self.members[request.table_group]
        if not any(not r.in_flight and r is not request and r.conflicts_with(request) for r in members):
            return True
        graph = _graph(members, now)
        e = graph.e(request.sequence)
        return not math.isinf(e) and all(
            e <= graph.e(rival) + 1e-9 for rival in graph.conflicts[request.sequence]
        )

    def prune(self) -> None:
        """Forgets groups without requests."""
        self.members = {group: members for group, members in self.members.items() if members}


def _graph(members: list[RequestState], now: float) -> Wtpg:
    """Returns the graph: pending nodes that conflict are rivals, and those in flight precede them.

    The longest load in flight stands for all loads there (node -1), the longest reader for all readers (0).
    """
    graph = Wtpg()
    pending = [r for r in members if not r.in_flight]
    for a in pending:
        graph.start[a.sequence] = a.work
        graph.conflicts[a.sequence] = {
            b.sequence: b.work for b in pending if a is not b and a.conflicts_with(b)
        }
    for is_load in (True, False):
        remaining = [
            _remaining_cost(r, now) for r in members if r.in_flight and r.request_class.is_load == is_load
        ]
        if remaining:
            graph.start[-is_load] = max(remaining)
            graph.precedes[-is_load] = {
                b.sequence: b.work for b in pending if is_load or b.request_class.is_load
            }
    return graph


def _remaining_cost(request: RequestState, now: float) -> float:
    """Returns the work still to do, by progress notes or else by time at the engine's pace.

    On a slow engine time passes and work does not: the pace corrects that.
    """
    remaining = request.work
    for attempt in request.in_flight:
        done = (now - attempt.started_at) * request.request_class.threads / attempt.engine.pace
        by_attempt = request.work * (1.0 - attempt.progress) if attempt.progress else request.work - done
        remaining = min(remaining, by_attempt)
    return max(remaining, 0.0)
