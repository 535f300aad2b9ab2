"""Decides which engines may run a request, which two are compared and which have room."""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

from marbleworks.scheduling.history import HISTORY_S, TIME_MARGIN_S
from marbleworks.scheduling.idempotency import may_repeat_on
from marbleworks.scheduling.latency import PRESSURE_SLOWDOWN
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

HOME_RATIO = 0.5  # share of the fleet's engines that are homes of a table group
MAX_HOME_SETS = 1024  # number of distinct home sets
MEMORY_RATIO = 0.9  # share of an engine's memory for all routers together, where engines swap
THREADS_PER_CORE = 3.0  # limit for all routers together on an engine under pressure
MIN_FREE_SHARE = 0.05  # minimum share of an engine left for unrestricted classes


class Placement:
    """Chooses engines for requests.

    Args:
        seed: seed of the pseudo-random choice among equally loaded engines.

    Attributes:
        shared_budgets: the budgets shared with other routers; None if there are none.
        home_sets: engines of each home set, kept until the engine list changes.
    """

    def __init__(  # noqa: PLR0913 - a choice depends on each of these parts
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
        """Recomputes the share of each engine that restricted classes leave free.

        Restricted classes may run on some engines only. Without this share, other requests would fill those
        engines.
        """
        restricted = self._pool.cores_by_restricted_class
        recent_work = self._estimates.recent_work
        scale = (
            (1.0 - 1.0 / self._share.divisor)
            * self._pool.cores
            / (sum(work for _, work in recent_work) or 1.0)
        )
        used_shares = {
            index: scale * sum(work for other, work in recent_work if other == index) / cores
            for index, cores in restricted.items()
        }
        if not used_shares:
            return
        for engine in self._pool.available_engines:
            reserved_share = sum(
                used_share for index, used_share in used_shares.items() if engine.allowed_classes[index]
            )
            engine.unrestricted_share = max(1.0 - reserved_share, MIN_FREE_SHARE)

    def homes(self, table_group: int) -> dict[EngineState, None]:
        """Returns the homes of a table group, the engines that are preferred for its loads.

        All routers choose the same homes by rendezvous hashing of engine names.
        """
        home_set_index = table_group % MAX_HOME_SETS
        if home_set_index not in self.home_sets:
            engines = sorted(
                self._pool.available_engines,
                key=lambda e: zlib.crc32(f"{home_set_index}/{e.entry.name}".encode()),
            )
            self.home_sets[home_set_index] = dict.fromkeys(engines[: math.ceil(HOME_RATIO * len(engines))])
        return self.home_sets[home_set_index]

    def candidates(self, request: RequestState, now: float) -> list[EngineState]:
        """Returns the healthy engines that may run the request, only untried ones if there are any."""
        healthy = self._outliers.healthy(
            [e for e in self._pool.available_engines if self.allows(request, e, now)], now
        )
        return [e for e in healthy if e not in request.tried_engines] or healthy

    def allows(self, request: RequestState, engine: EngineState, now: float) -> bool:
        """Returns whether the rules allow the request on the engine."""
        if engine.is_draining or now >= request.attempts_deadline - TIME_MARGIN_S / 2:
            return False
        if not engine.allowed_classes[request.class_index]:
            return False
        if not may_repeat_on(request, engine.entry):
            return False
        if self.shared_budgets is not None and not self.shared_budgets.has_room(
            request.ref, request.class_index, request.tenant, engine.entry.engine_id
        ):
            return False
        return not self._slow_start.is_warming(engine, now) or self._slow_start.admits(request, engine, now)

    def prefer_by_home(self, request: RequestState, candidates: list[EngineState]) -> list[EngineState]:
        """Returns the homes for a load, and the engines outside the homes for readers that wait for loads.

        The loads of other routers are not known, but they can only be at the homes. Readers avoid the homes
        only if at least two other engines remain: a single one would be overloaded by all readers of the
        group.
        """
        request_class = request.request_class
        is_load = request_class.is_load
        if not is_load and not request_class.waits_for_loads:
            return candidates
        homes = self.homes(request.table_group)
        preferred = [e for e in candidates if (e in homes) == is_load]
        return preferred if len(preferred) >= (1 if is_load else 2) else candidates

    def prefer_zone(self, request: RequestState, engines: list[EngineState]) -> list[EngineState]:
        """Returns the engines of this router's zone for a cheap request, if there are any.

        A cheap request hardly affects the balance of load, and staying in the zone avoids traffic between
        zones.
        """
        if request.work > self._estimates.cheap_threshold or self._latency.is_overloaded:
            return engines
        return [e for e in engines if e.entry.zone == self._fleet.zone] or engines

    def two_choices(self, request: RequestState, engines: list[EngineState], now: float) -> list[EngineState]:
        """Returns the two engines with the fewest threads in use by this router per unit of capacity.

        Ties are broken at random. The capacity of an engine is divided by its slowdown, so that a slow engine
        counts as a smaller one.
        """
        restricted = self._pool.cores_by_restricted_class
        is_unrestricted = bool(restricted) and request.class_index not in restricted
        capacity = {
            e: (e.unrestricted_share if is_unrestricted else 1.0)
            * self._slow_start.capacity(e, now)
            / e.slowdown
            for e in engines
        }
        return sorted(engines, key=lambda e: (e.threads_in_use + self._random_tie_break()) / capacity[e])[:2]

    @staticmethod
    def less_loaded(choices: list[EngineState], now: float) -> EngineState:
        """Returns the engine that reports less load if all reported recently, else the first."""
        if all(e.reported_at > now - RECENT_REPORT_S for e in choices):
            return min(choices, key=lambda e: e.threads_in_use / e.cores + e.reported_load)
        return choices[0]

    def has_room(self, request: RequestState, engine: EngineState, now: float) -> bool:
        """Returns whether the engine has room for the request within this router's share.

        The limit on threads applies only under pressure and is twice as high for cheap requests.
        """
        divisor = self._share.divisor
        max_memory_mb = self._fleet.memory_mb_by_kind[engine.entry.machine_kind] * MEMORY_RATIO / divisor
        if (
            engine.in_flight
            and self._rules.engines_swap
            and engine.memory_in_use_mb + request.memory_mb > max_memory_mb
        ):
            return False  # swapping slows all requests on the engine
        is_full = engine.reported_full and engine.reported_at > now - HISTORY_S
        if engine.slowdown <= PRESSURE_SLOWDOWN and not is_full:
            return True
        is_cheap = request.work <= self._estimates.cheap_threshold
        max_threads_per_core = THREADS_PER_CORE / divisor * (2 if is_cheap else 1)
        threads = request.request_class.threads
        if engine.in_flight:
            return engine.threads_in_use + threads <= max_threads_per_core * engine.cores
        if not self._latency.is_overloaded:
            return True
        # With many routers, one request from each would already fill the engine.
        own_threads = sum(attempt.request.request_class.threads for attempt in self._pool.in_flight)
        return not own_threads or own_threads + threads <= max_threads_per_core * self._pool.cores

    def _random_tie_break(self) -> float:
        """Returns a pseudo-random number from 0 to 1 that orders equally loaded engines."""
        # CRC-32 is linear: with a single checksum, equal engines would keep the same order in every draw.
        self._draw_count += 1
        checksum = zlib.crc32(f"{self.seed}/{self._draw_count}".encode())
        return zlib.crc32(str(checksum).encode()) / 2**32
