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

RECENT_REPORT_S = 1.0  # for which a report may decide between two engines, and need not be repeated to peers
FULL_SHARE = 0.95  # of its memory or its disks in use: an engine is full
UPDATE_BYTES = 5  # wire id (4); 128 if full plus the load in 32nds (1)
FULL_FLAG = 128
LOAD_STEPS = 32.0


class LoadReports:
    """Applies load reports, from answers and from other routers, to the engines."""

    def __init__(self, port: SchedulerPort, rules: DeploymentRules, pool: EnginePool) -> None:
        self._port = port
        self._rules = rules
        self._pool = pool

    def on_report(self, engine: EngineState, report: LoadReport, now: float) -> None:
        """Applies an engine's report and broadcasts it, unless the last one is recent."""
        granted = report.memory_granted or 0.0
        busy = report.disks_busy or 0.0
        waiting = report.waiting_for_memory or 0.0
        is_full = waiting >= 1.0 or granted > FULL_SHARE or busy > FULL_SHARE
        load = (report.in_flight or 0.0) / engine.cores + waiting + granted + busy
        if self._rules.allows_peer_messages and now > engine.reported_at + RECENT_REPORT_S:
            level = min(FULL_FLAG - 1, round(LOAD_STEPS * load))
            self._port.broadcast(engine.wire_id + bytes([FULL_FLAG * is_full + level]))
        engine.reported_load = load
        engine.reported_full = is_full
        engine.reported_at = now
        engine.last_contact_at = now

    def on_peer_update(self, data: bytes, now: float) -> None:
        """Applies another router's update; one that can't be read or names no known engine is ignored."""
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

    def awaits_answer(self, request: RequestState, two: list[EngineState], now: float) -> bool:
        """Returns whether the request waits for the engines' answers, a tick at most."""
        if not self._rules.allows_probes or request.work <= self._estimates.cheap_threshold:
            return False
        if not request.probed_engines:
            request.probed_at = now
            request.probed_engines = two
            for engine in two:
                self._port.probe_load(engine.entry.engine_id)
        if now >= request.probed_at + TICK_S:
            return False
        return not all(e.reported_at >= request.probed_at for e in request.probed_engines)
