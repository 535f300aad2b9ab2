"""What one router knows of each engine, and its attempts in flight there."""

from __future__ import annotations

import math
import zlib
from collections import deque
from typing import TYPE_CHECKING

from marbleworks.scheduling.history import MAX_SAMPLES, TimedValue

if TYPE_CHECKING:
    from collections.abc import Callable

    from marbleworks.model import EngineEntry, RequestClass
    from marbleworks.scheduling.request_state import RequestState

FIRST_EJECTION_S = 1.0  # doubled for each further ejection without an answer between them
MAX_RECENT_FAILURES = 6


class EngineState:
    """One engine: its entry in the engine list, what it reported and what our attempts there showed."""

    def __init__(self, entry: EngineEntry, cores: int) -> None:
        self.entry = entry
        self.cores = cores
        self.wire_id = zlib.crc32(entry.name.encode()).to_bytes(4)  # its name in load updates
        self.allowed_classes: list[bool] = []  # by class index: whether placement allows the class here
        self.free_share = 1.0  # what classes that may use only some engines leave to the others
        self.slow_start_rank = 0  # our place in the order of its slow-start senders
        self.is_draining = False
        self.in_flight = list[Attempt]()
        self.loading_groups = list[int]()  # table groups of our loads in flight here
        self.threads_in_use = 0  # by our attempts
        self.memory_in_use_mb = 0.0
        self.pace = 1.0  # a request's time here over its time alone; the fleet's pace where unknown
        self.reset()

    def reset(self) -> None:
        """Forgets what an earlier process of the same name showed."""
        self.slowdowns: deque[TimedValue] = deque(maxlen=MAX_SAMPLES // 2)
        self.recent_failures: deque[bool] = deque(maxlen=MAX_RECENT_FAILURES)
        self.reported_load = 0.0
        self.reported_full = False
        self.reported_at = -math.inf
        self.answer_count = 0
        self.slow_start_work = deque[TimedValue]()  # work sent while it was warming up
        self.last_contact_at = -math.inf
        self.ejected_until = -math.inf
        self.next_ejection_s = FIRST_EJECTION_S
        self.refuses_connections = False


class Attempt:
    """One request sent to one engine."""

    def __init__(self, request: RequestState, number: int, engine: EngineState, started_at: float) -> None:
        self.request = request
        self.number = number
        self.engine = engine
        self.started_at = started_at
        self.progress = 0.0  # the part done, by the last progress note
        self.is_stalled = False
        self.is_cancelled = False
        self.retry_cost = 0.0  # what it counts in the retry budget
        self.slow_start_cost = 0.0  # what it counts in the engine's slow-start budget
        self.finished_at: float | None = None  # set when the engine is done but its result is still read


class EnginePool:
    """The engines that are listed, and all attempts in flight."""

    def __init__(self, request_classes: list[RequestClass], cores_by_kind: tuple[int, ...]) -> None:
        self._request_classes = request_classes
        self._cores_by_kind = cores_by_kind
        self.engines: dict[int, EngineState] = {}
        self.by_wire_id: dict[bytes, EngineState] = {}
        self.up: list[EngineState] = []  # those that may be used, ordered by name
        self.in_flight: list[Attempt] = []
        self.cores = 0  # of the engines that are up
        self.cores_of_restricted: dict[
            int, int
        ] = {}  # class index -> cores, where some engines are closed to it

    def update(
        self, entries: list[EngineEntry], complete: bool, rank_of: Callable[[EngineEntry], int]
    ) -> None:
        """Applies the engine list, or a change of it.

        complete: engines that are not among the entries are gone. rank_of: our rank among the slow-start
        senders of an engine.
        """
        named = {entry.engine_id for entry in entries}
        for entry in entries:
            self._update_engine(entry, rank_of)
        gone = [
            engine_id
            for engine_id, engine in self.engines.items()
            if engine.entry.is_gone or (complete and engine_id not in named)
        ]
        for engine_id in gone:
            self.engines.pop(engine_id).is_draining = True
        self.by_wire_id = {engine.wire_id: engine for engine in self.engines.values()}
        self.up = sorted((e for e in self.engines.values() if not e.is_draining), key=lambda e: e.entry.name)
        self.cores = sum(e.cores for e in self.up)
        open_cores = [
            sum(e.cores for e in self.up if e.allowed_classes[index])
            for index in range(len(self._request_classes))
        ]
        self.cores_of_restricted = {
            index: cores for index, cores in enumerate(open_cores) if 0 < cores < self.cores
        }

    def _update_engine(self, entry: EngineEntry, rank_of: Callable[[EngineEntry], int]) -> None:
        engine = self.engines.get(entry.engine_id)
        if engine is None:
            engine = EngineState(entry, self._cores_by_kind[entry.machine_kind])
            self.engines[entry.engine_id] = engine
        if entry.started_at > engine.entry.started_at:
            engine.reset()
        engine.entry = entry
        engine.allowed_classes = [
            entry.zone in (c.allowed_zones or [entry.zone])
            and entry.machine_kind in (c.allowed_machine_kinds or [entry.machine_kind])
            for c in self._request_classes
        ]
        engine.slow_start_rank = rank_of(entry)
        engine.is_draining = not entry.is_up

    def add_attempt(self, attempt: Attempt) -> None:
        """Counts an attempt that starts."""
        engine, request = attempt.engine, attempt.request
        engine.in_flight.append(attempt)
        self.in_flight.append(attempt)
        if request.request_class.is_load:
            engine.loading_groups.append(request.table_group)
        engine.threads_in_use += request.request_class.threads
        engine.memory_in_use_mb += request.memory_mb

    def remove_attempt(self, attempt: Attempt) -> None:
        """Counts an attempt as ended."""
        engine, request = attempt.engine, attempt.request
        engine.in_flight.remove(attempt)
        self.in_flight.remove(attempt)
        if request.request_class.is_load:
            engine.loading_groups.remove(request.table_group)
        engine.threads_in_use -= request.request_class.threads
        engine.memory_in_use_mb -= request.memory_mb
