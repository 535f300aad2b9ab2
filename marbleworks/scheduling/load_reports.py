"""Load that engines report of themselves, shared among the routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marbleworks.scheduling.history import TICK_S

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules, LoadReport
    from marbleworks.ports import SchedulerPort
    from marbleworks.scheduling.engine_state import EnginePool, EngineState
    from marbleworks.scheduling.request_state import RequestState
    from marbleworks.scheduling.work_estimates import WorkEstimates

RECENT_REPORT_S = 1.0  # age up to which a report is used to compare engines and is not broadcast again
FULL_SHARE = 0.95  # share of memory or disks in use above which an engine is full
UPDATE_BYTES = 5  # wire id (4 bytes), then FULL_FLAG if full plus the load in units of 1/32 (1 byte)
FULL_FLAG = 128
LOAD_STEPS = 32.0


class LoadReports:
    """Applies load reports from answers and from other routers to the engines."""

    def __init__(self, port: SchedulerPort, rules: DeploymentRules, pool: EnginePool) -> None:
        self._port = port
        self._rules = rules
        self._pool = pool

    def on_report(self, engine: EngineState, report: LoadReport, now: float) -> None:
        """Applies an engine's report, and broadcasts it unless the previous one is recent."""
        memory_granted = report.memory_granted or 0.0
        disks_busy = report.disks_busy or 0.0
        waiting_for_memory = report.waiting_for_memory or 0.0
        is_full = waiting_for_memory >= 1.0 or memory_granted > FULL_SHARE or disks_busy > FULL_SHARE
        load = (report.in_flight or 0.0) / engine.cores + waiting_for_memory + memory_granted + disks_busy
        if self._rules.allows_peer_messages and now > engine.reported_at + RECENT_REPORT_S:
            level = min(FULL_FLAG - 1, round(LOAD_STEPS * load))
            self._port.broadcast(engine.wire_id + bytes([FULL_FLAG * is_full + level]))
        engine.reported_load = load
        engine.reported_full = is_full
        engine.reported_at = now
        engine.last_contact_at = now

    def on_peer_update(self, data: bytes, now: float) -> None:
        """Applies another router's load update; ignores one that is malformed or names no known engine."""
        engine = self._pool.by_wire_id.get(data[:4]) if len(data) == UPDATE_BYTES else None
        if engine is not None:
            engine.reported_load = data[4] % FULL_FLAG / LOAD_STEPS
            engine.reported_full = data[4] >= FULL_FLAG
            engine.reported_at = now


class LoadProbes:
    """Probes two engines before a costly request is sent to one of them."""

    def __init__(self, port: SchedulerPort, rules: DeploymentRules, estimates: WorkEstimates) -> None:
        self._port = port
        self._rules = rules
        self._estimates = estimates

    def awaits_load_reports(self, request: RequestState, choices: list[EngineState], now: float) -> bool:
        """Probes the engines for a costly request and returns whether it still waits for their reports.

        It waits for one tick at most. Cheap requests do not wait.
        """
        if not self._rules.allows_probes or request.work <= self._estimates.cheap_threshold:
            return False
        if not request.probed_engines:
            request.probed_at = now
            request.probed_engines = choices
            for engine in choices:
                self._port.probe_load(engine.entry.engine_id)
        if now >= request.probed_at + TICK_S:
            return False
        return not all(e.reported_at >= request.probed_at for e in request.probed_engines)
