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

FIRST_EJECTION_S = 1.0  # doubles with each further ejection until the engine answers
MAX_RECENT_OUTCOMES = 6


class EngineState:
    """One engine: its list entry, its load reports and the outcomes of this router's attempts."""

    def __init__(self, entry: EngineEntry, cores: int) -> None:
        self.entry = entry
        self.cores = cores
        self.wire_id = zlib.crc32(entry.name.encode()).to_bytes(4)  # identifies the engine in load updates
        self.allowed_classes: list[bool] = []  # by class index: whether the class may run here
        self.unrestricted_share = 1.0  # share left for classes that may run on every engine
        self.slow_start_rank = 0  # this router's rank among its slow-start senders
        self.is_draining = False
        self.in_flight = list[Attempt]()
        self.loading_groups = list[int]()  # table groups of this router's loads in flight here
        self.threads_in_use = 0  # by this router's attempts
        self.memory_in_use_mb = 0.0
        self.slowdown = 1.0  # elapsed time over service time; the fleet's slowdown if unknown
        self.reset()

    def reset(self) -> None:
        """Discards what was learned from an earlier process of the same name."""
        self.slowdowns: deque[TimedValue] = deque(maxlen=MAX_SAMPLES // 2)
        self.recent_failures: deque[bool] = deque(maxlen=MAX_RECENT_OUTCOMES)
        self.reported_load = 0.0
        self.reported_full = False
        self.reported_at = -math.inf
        self.answer_count = 0
        self.slow_start_work = deque[TimedValue]()  # work sent while the engine was warming up
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
        self.engine_entry = engine.entry  # as listed when it started
        self.started_at = started_at
        self.progress = 0.0  # share of the work done, by the last progress report
        self.is_stalled = False
        self.is_cancelled = False
        self.has_lost_contact = False  # its engine's failure is recorded, but it may still run
        self.retry_cost = 0.0  # amount counted in the retry budget
        self.slow_start_cost = 0.0  # amount counted in the engine's slow-start budget
        self.finished_at: float | None = None  # set when the engine is done and its result is being read


class EnginePool:
    """The listed engines and all attempts in flight."""

    def __init__(self, request_classes: list[RequestClass], cores_by_kind: tuple[int, ...]) -> None:
        self._request_classes = request_classes
        self._cores_by_kind = cores_by_kind
        self.engines: dict[int, EngineState] = {}
        self.by_wire_id: dict[bytes, EngineState] = {}
        self.available_engines: list[EngineState] = []  # engines that take requests, ordered by name
        self.in_flight: list[Attempt] = []
        self.cores = 0  # total of the engines that are up
        # Class index -> cores that the class may use, for classes that may run on some engines only.
        self.cores_by_restricted_class: dict[int, int] = {}

    def update(
        self, entries: list[EngineEntry], complete: bool, rank_of: Callable[[EngineEntry], int]
    ) -> None:
        """Applies the engine list or a change of it.

        Args:
            entries: the entries of the list, or those that changed.
            complete: whether engines that are not among the entries have left the fleet.
            rank_of: returns this router's rank among the slow-start senders of an engine.
        """
        listed_ids = {entry.engine_id for entry in entries}
        for entry in entries:
            self._update_engine(entry, rank_of)
        removed_ids = [
            engine_id
            for engine_id, engine in self.engines.items()
            if engine.entry.is_removed or (complete and engine_id not in listed_ids)
        ]
        for engine_id in removed_ids:
            self.engines.pop(engine_id).is_draining = True
        self.by_wire_id = {engine.wire_id: engine for engine in self.engines.values()}
        self.available_engines = sorted(
            (e for e in self.engines.values() if not e.is_draining), key=lambda e: e.entry.name
        )
        self.cores = sum(e.cores for e in self.available_engines)
        allowed_cores = [
            sum(e.cores for e in self.available_engines if e.allowed_classes[index])
            for index in range(len(self._request_classes))
        ]
        self.cores_by_restricted_class = {
            index: cores for index, cores in enumerate(allowed_cores) if 0 < cores < self.cores
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
        """Removes an attempt that has ended from all counts."""
        engine, request = attempt.engine, attempt.request
        engine.in_flight.remove(attempt)
        self.in_flight.remove(attempt)
        if request.request_class.is_load:
            engine.loading_groups.remove(request.table_group)
        engine.threads_in_use -= request.request_class.threads
        engine.memory_in_use_mb -= request.memory_mb
