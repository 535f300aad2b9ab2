"""One budget as this router has it: its guaranteed units, its lease, and the units in use. No I/O, no clock.

Times are seconds of one clock.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from marbleworks.budgets.budget_catalog import Budget

RELEASE_RATE_WINDOW_S = 2.0
ARRIVAL_RATE_WINDOW_S = 0.3
MIN_ARRIVALS_PER_S = 1e-2  # below this an arrival rate counts as none
MIN_INTERVAL_S = 1e-3  # between two reports, for rates
DEFAULT_HOLD_S = 0.1  # for which a unit is in use, before any was
HOLD_SMOOTHING = 0.05  # weight of the last hold in the mean
DEMAND_TOLERANCE_UNITS = 0.05  # by which an estimated demand may be rounded down
MAX_RECENT_RELEASES = 256  # of one budget that the release rate counts
MAX_TRACKED_WAITERS = 64  # requests that are told apart as waiting for one budget


class GranterRef(NamedTuple):
    """A member that may grant units, and its incarnation."""

    member: int
    incarnation: int


NO_GRANTER = GranterRef(-1, 0)


class LeaseOrigin(NamedTuple):
    """Who granted a lease, and in which of its terms."""

    granter: GranterRef
    term: int


@dataclass(eq=False, slots=True)
class LocalBudget:
    """One budget as this router has it.

    Attributes:
        budget: by our configuration.
        agreed_total: the smallest total that any member reports, as far as we know.
        guaranteed_units: that we always may use.
        guaranteed_from: when what an earlier process of our name had in use has ended.
        leased_units: by the last grant.
        lease_expires_at: seconds.
        lease_origin: of the last grant.
        lapsed_units: of a lease that expired, as long as the present granter may not know of it.
        grant_serial: of the last grant of the present granter's term; 0: none.
        confirmed_held_units: held units by our last report that was answered.
        owes_report: the present granter has to hear of this budget in any case.
        is_left_behind: units that we hold belong to a group that we left, and are counted there.
        in_flight: units taken and not released.
        release_times: when each unit ends that is in use besides, a heap.
        arrivals: requests since the last report.
        arrivals_per_s: of late.
        mean_hold_s: for which a unit is in use, of late.
        waiting: requests refused since the last report.
        waiting_weight: priority weights of those, together.
        recent_releases: times at which units came free.
    """

    budget: Budget
    agreed_total: int
    guaranteed_units: int
    guaranteed_from: float = -math.inf
    leased_units: int = 0
    lease_expires_at: float = -math.inf
    lease_origin: LeaseOrigin | None = None
    lapsed_units: int = 0
    grant_serial: int = 0
    confirmed_held_units: int = 0
    owes_report: bool = True
    is_left_behind: bool = False
    in_flight: int = 0
    release_times: list[float] = field(default_factory=list)
    arrivals: float = 0.0
    arrivals_per_s: float = 0.0
    mean_hold_s: float = DEFAULT_HOLD_S
    waiting: set[str] = field(default_factory=set)
    waiting_weight: float = 0.0
    recent_releases: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_RELEASES))

    def used_units(self, now: float) -> int:
        """Units in use."""
        while self.release_times and self.release_times[0] <= now:
            heapq.heappop(self.release_times)
        return self.in_flight + len(self.release_times)

    def valid_lease_units(self, now: float) -> int:
        """Units of the lease; none once it has expired."""
        return self.leased_units if now < self.lease_expires_at else 0

    def max_units(self, now: float) -> int:
        """Units that may be in use."""
        guaranteed = self.guaranteed_units if now >= self.guaranteed_from else 0
        return guaranteed + self.valid_lease_units(now)

    def has_room(self, now: float, units: int = 1) -> bool:
        """Whether so many more units may be taken."""
        return self.used_units(now) + units <= self.max_units(now)

    def held_units(self, now: float) -> int:
        """Units beyond the guaranteed ones that may be used or still are."""
        return max(self.valid_lease_units(now), self.used_units(now) - self.guaranteed_units, 0)

    def estimate_demand(self, now: float, interval_s: float, engine_count: int) -> int:
        """Units that would be in use if all requests that arrive found room.

        That is the arrival rate times the time that a unit is in use or, where arrivals are not counted, what
        is in use and waits. Begins the next count of arrivals.

        Args:
            now: seconds.
            interval_s: since the last report.
            engine_count: engines over which a request that waits for several is counted.
        """
        used = self.used_units(now)
        if not self.arrivals and not self.arrivals_per_s:
            return used + math.ceil(len(self.waiting) / engine_count)
        memory = math.exp(-interval_s / ARRIVAL_RATE_WINDOW_S)
        latest_per_s = self.arrivals / max(interval_s, MIN_INTERVAL_S)
        rate_per_s = self.arrivals_per_s * memory + latest_per_s * (1.0 - memory)
        self.arrivals_per_s = rate_per_s if rate_per_s > MIN_ARRIVALS_PER_S else 0.0
        self.arrivals = 0.0
        hold_s = self.budget.window_s or self.mean_hold_s
        steady = math.ceil(self.arrivals_per_s * hold_s - DEMAND_TOLERANCE_UNITS)
        return max(steady, used + bool(self.waiting))

    def record_hold(self, seconds: float) -> None:
        """Counts the time for which a unit was in use."""
        self.mean_hold_s += HOLD_SMOOTHING * (seconds - self.mean_hold_s)

    def releases_per_s(self, now: float) -> float:
        """Units that have come free lately; of a rate no fewer than it gives."""
        while self.recent_releases and self.recent_releases[0] < now - RELEASE_RATE_WINDOW_S:
            self.recent_releases.popleft()
        window_s = self.budget.window_s
        least = self.max_units(now) / window_s if window_s else 0.0
        return max(len(self.recent_releases) / RELEASE_RATE_WINDOW_S, least)

    def forget_waiting(self) -> None:
        """Begins the next count of requests that wait."""
        self.waiting.clear()
        self.waiting_weight = 0.0

    def has_changed(self, held: int, used: int) -> bool:
        """Whether the granter has to hear of this budget."""
        return bool(
            held
            or used
            or self.waiting
            or self.confirmed_held_units
            or self.owes_report
            or self.arrivals
            or self.arrivals_per_s
        )
