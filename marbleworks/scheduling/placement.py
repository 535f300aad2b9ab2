"""Which engines may run a request, which two of them are compared and which have room."""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

from marbleworks.model import Idempotency
from marbleworks.scheduling.history import HISTORY_S, TIME_MARGIN_S
from marbleworks.scheduling.latency import SLOW_PACE
from marbleworks.scheduling.load_reports import RECENT_REPORT_S

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules, FleetInfo
    from marbleworks.ports import SharedBudgets
    from marbleworks.scheduling.engine_state import EnginePool, EngineState
    from marbleworks.scheduling.latency import LatencyMonitor
    from marbleworks.scheduling.outlier_detection import OutlierDetector
    from marbleworks.scheduling.request_state import RequestState
    from marbleworks.scheduling.router_share import RouterShare
    from marbleworks.scheduling.slow_start import SlowStart
    from marbleworks.scheduling.work_estimates import WorkEstimates

HOME_RATIO = 0.5  # part of the fleet that is a table group's home
MAX_HOME_SETS = 1024  # different ones
MEMORY_RATIO = 0.9  # part of a swapping engine's memory that all routers together may use
THREADS_PER_CORE = 3.0  # that all routers together may use under pressure
MIN_FREE_SHARE = 0.05  # part of an engine that restricted classes leave to the others at least


class Placement:
    """Chooses engines. seed: of the draws among equal engines."""

    def __init__(  # noqa: PLR0913 - each part is one that a choice depends on
        self,
        seed: int,
        rules: DeploymentRules,
        fleet: FleetInfo,
        pool: EnginePool,
        share: RouterShare,
        slow_start: SlowStart,
        latency: LatencyMonitor,
        estimates: WorkEstimates,
        outliers: OutlierDetector,
    ) -> None:
        self.seed = seed
        self._rules = rules
        self._fleet = fleet
        self._pool = pool
        self._share = share
        self._slow_start = slow_start
        self._latency = latency
        self._estimates = estimates
        self._outliers = outliers
        self.shared_budgets: SharedBudgets | None = None
        self.home_sets: dict[int, dict[EngineState, None]] = {}
        self._draw_count = 0

    def refresh(self) -> None:
        """Works out how much of each engine the classes that may use only some engines need.

        Other requests would crowd those few engines.
        """
        restricted = self._pool.cores_of_restricted
        works = self._estimates.recent_work
        scale = (1.0 - 1.0 / self._share.divisor) * self._pool.cores / (sum(work for _, work in works) or 1.0)
        used = {
            index: scale * sum(work for other, work in works if other == index) / cores
            for index, cores in restricted.items()
        }
        if not used:
            return
        for engine in self._pool.up:
            taken = sum(part for index, part in used.items() if engine.allowed_classes[index])
            engine.free_share = max(1.0 - taken, MIN_FREE_SHARE)

    def homes(self, table_group: int) -> dict[EngineState, None]:
        """Returns the group's homes, the same at each router: the first in its hash over engine names."""
        number = table_group % MAX_HOME_SETS
        if number not in self.home_sets:
            up = sorted(self._pool.up, key=lambda e: zlib.crc32(f"{number}/{e.entry.name}".encode()))
            self.home_sets[number] = dict.fromkeys(up[: math.ceil(HOME_RATIO * len(up))])
        return self.home_sets[number]

    def candidates(self, request: RequestState, now: float) -> list[EngineState]:
        """Returns the healthy engines that may run the request, untried ones where there are any."""
        healthy = self._outliers.healthy([e for e in self._pool.up if self.allows(request, e, now)], now)
        return [e for e in healthy if e not in request.tried_engines] or healthy

    def allows(self, request: RequestState, engine: EngineState, now: float) -> bool:
        """Returns whether the rules allow the request on the engine."""
        if engine.is_draining or now >= request.answer_by - TIME_MARGIN_S / 2:
            return False
        if not engine.allowed_classes[request.class_index]:
            return False
        if request.may_have_run is not None and not self._drops_repeats(request, engine):
            return False
        if self.shared_budgets is not None and not self.shared_budgets.has_room(
            request.ref, request.class_index, request.tenant, engine.entry.engine_id
        ):
            return False
        return not self._slow_start.is_warming(engine, now) or self._slow_start.admits(request, engine, now)

    @staticmethod
    def _drops_repeats(request: RequestState, engine: EngineState) -> bool:
        """Returns whether an idempotency key holds from the engine that may have run it to this one."""
        request_class = request.request_class
        if request.may_have_run is None or request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return True
        first = request.may_have_run.engine.entry
        if request_class.idempotency_scope == "zone":
            return first.zone == engine.entry.zone
        return request_class.idempotency_scope != "cell" or first.cell == engine.entry.cell

    def prefer_by_home(self, request: RequestState, candidates: list[EngineState]) -> list[EngineState]:
        """Returns the homes for a load and the other engines for readers that wait for loads.

        Loads of other routers are not known, but can only be at the homes. Readers leave those for two
        engines at least: one alone would be crowded by all readers of a group.
        """
        request_class = request.request_class
        is_load = request_class.is_load
        if not is_load and not request_class.waits_for_loads:
            return candidates
        homes = self.homes(request.table_group)
        preferred = [e for e in candidates if (e in homes) == is_load]
        return preferred if len(preferred) >= (1 if is_load else 2) else candidates

    def prefer_zone(self, request: RequestState, engines: list[EngineState]) -> list[EngineState]:
        """Returns the engines of our zone for a cheap request: it balances little and saves a crossing."""
        if request.work > self._estimates.cheap_threshold or self._latency.is_strained:
            return engines
        return [e for e in engines if e.entry.zone == self._fleet.zone] or engines

    def two_choices(self, request: RequestState, engines: list[EngineState], now: float) -> list[EngineState]:
        """Returns the two with the fewest of our threads per core, by chance among equals.

        A slow engine counts as a smaller one.
        """
        restricted = self._pool.cores_of_restricted
        is_free = bool(restricted) and request.class_index not in restricted
        capacity = {
            e: (e.free_share if is_free else 1.0) * self._slow_start.capacity(e, now) / e.pace
            for e in engines
        }
        return sorted(engines, key=lambda e: (e.threads_in_use + self._draw()) / capacity[e])[:2]

    @staticmethod
    def less_loaded(two: list[EngineState], now: float) -> EngineState:
        """Returns the one that reports less load if all reported recently, else the first."""
        if all(e.reported_at > now - RECENT_REPORT_S for e in two):
            return min(two, key=lambda e: e.threads_in_use / e.cores + e.reported_load)
        return two[0]

    def has_room(self, request: RequestState, engine: EngineState, now: float) -> bool:
        """Returns whether our part of the thread bound has room; it binds only under pressure.

        Cheap requests have twice the bound.
        """
        divisor = self._share.divisor
        max_memory_mb = self._fleet.memory_mb_by_kind[engine.entry.machine_kind] * MEMORY_RATIO / divisor
        if (
            engine.in_flight
            and self._rules.engines_swap
            and engine.memory_in_use_mb + request.memory_mb > max_memory_mb
        ):
            return False  # memory that runs over slows all requests there
        is_full = engine.reported_full and engine.reported_at > now - HISTORY_S
        if engine.pace <= SLOW_PACE and not is_full:
            return True
        is_cheap = request.work <= self._estimates.cheap_threshold
        bound = THREADS_PER_CORE / divisor * (2 if is_cheap else 1)
        threads = request.request_class.threads
        if engine.in_flight:
            return engine.threads_in_use + threads <= bound * engine.cores
        if not self._latency.is_strained:
            return True
        # With many routers one request from each would fill the engine.
        ours = sum(attempt.request.request_class.threads for attempt in self._pool.in_flight)
        return not ours or ours + threads <= bound * self._pool.cores

    def _draw(self) -> float:
        # One checksum is linear: engines would keep their places among equals from draw to draw.
        self._draw_count += 1
        once = zlib.crc32(f"{self.seed}/{self._draw_count}".encode())
        return zlib.crc32(str(once).encode()) / 2**32
