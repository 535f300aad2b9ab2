"""State of one budget at this router: its guaranteed units, its lease, and the units in use.

The module does no I/O and reads no clock; times are seconds on one clock.
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
MIN_ARRIVALS_PER_S = 1e-2  # an arrival rate below this counts as 0
MIN_INTERVAL_S = 1e-3  # shortest time between two reports that is used to calculate rates
DEFAULT_HOLD_S = 0.1  # assumed time for which a unit is in use, until one was released
HOLD_SMOOTHING = 0.05  # weight of the latest hold time in the mean
DEMAND_TOLERANCE_UNITS = 0.05  # an estimated demand may be rounded down by this much
MAX_RECENT_RELEASES = 256  # releases of one budget that the release rate counts
MAX_TRACKED_WAITERS = 64  # requests that are tracked individually as waiting for one budget


class GranterRef(NamedTuple):
    """A member that may grant units, and its incarnation."""

    member: int
    incarnation: int


NO_GRANTER = GranterRef(-1, 0)


class LeaseOrigin(NamedTuple):
    """The granter of a lease, and its term at the time of the grant."""

    granter: GranterRef
    term: int


@dataclass(eq=False, slots=True)
class LocalBudget:
    """State of one budget at this router.

    Attributes:
        budget: The budget by this router's configuration.
        agreed_total: Smallest total that any member reports, as far as this router knows.
        guaranteed_units: Units that this router may always use.
        guaranteed_from: Time from which the guaranteed units may be used, because all units of an earlier
            process of this router are free.
        leased_units: Units of the last grant.
        lease_expires_at: Time at which the lease expires, in seconds.
        lease_origin: Granter and term of the last grant.
        lapsed_units: Units of an expired lease that the current granter may not know of.
        grant_serial: Serial of the last grant in the current granter's term; 0 if there was none.
        confirmed_held_units: Held units by the last report that was answered.
        report_required: Whether the next report has to include this budget in any case.
        belongs_to_former_group: Whether the held units belong to a group that this router has left; they are
            counted there.
        in_flight: Units acquired and not released.
        release_times: Heap of the times at which further units in use become free.
        arrivals: Requests since the last report.
        arrivals_per_s: Smoothed rate of arrivals.
        mean_hold_s: Smoothed mean time for which a unit is in use.
        waiting: Requests that were refused since the last report.
        waiting_weight: Sum of the priority weights of those requests.
        recent_releases: Times of recent releases.
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
    report_required: bool = True
    belongs_to_former_group: bool = False
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
        """Units of the lease; 0 once it has expired."""
        return self.leased_units if now < self.lease_expires_at else 0

    def max_units(self, now: float) -> int:
        """Units that may be in use."""
        guaranteed = self.guaranteed_units if now >= self.guaranteed_from else 0
        return guaranteed + self.valid_lease_units(now)

    def has_room(self, now: float, units: int = 1) -> bool:
        """Whether this number of units may be acquired."""
        return self.used_units(now) + units <= self.max_units(now)

    def held_units(self, now: float) -> int:
        """Units beyond the guaranteed ones that may be used or are still in use."""
        return max(self.valid_lease_units(now), self.used_units(now) - self.guaranteed_units, 0)

    def estimate_demand(self, now: float, interval_s: float, engine_count: int) -> int:
        """Estimates the units that would be in use if no request were refused, and resets the arrivals.

        By Little's law this is the arrival rate times the time for which a unit is in use. Where arrivals are
        not counted, it is the number of units in use and waited for.

        Args:
            now: Current time, in seconds.
            interval_s: Time since the last report, in seconds.
            engine_count: Number of engines over which a waiting request is spread, because it may wait for
                several at the same time.
        """
        used = self.used_units(now)
        if not self.arrivals and not self.arrivals_per_s:
            return used + math.ceil(len(self.waiting) / engine_count)
        decay = math.exp(-interval_s / ARRIVAL_RATE_WINDOW_S)
        latest_per_s = self.arrivals / max(interval_s, MIN_INTERVAL_S)
        rate_per_s = self.arrivals_per_s * decay + latest_per_s * (1.0 - decay)
        self.arrivals_per_s = rate_per_s if rate_per_s > MIN_ARRIVALS_PER_S else 0.0
        self.arrivals = 0.0
        hold_s = self.budget.window_s or self.mean_hold_s
        steady_units = math.ceil(self.arrivals_per_s * hold_s - DEMAND_TOLERANCE_UNITS)
        return max(steady_units, used + bool(self.waiting))

    def record_hold(self, seconds: float) -> None:
        """Adds the time for which a unit was in use to the mean."""
        self.mean_hold_s += HOLD_SMOOTHING * (seconds - self.mean_hold_s)

    def releases_per_s(self, now: float) -> float:
        """Recent rate of releases; for a rate budget at least the rate that its units allow."""
        while self.recent_releases and self.recent_releases[0] < now - RELEASE_RATE_WINDOW_S:
            self.recent_releases.popleft()
        window_s = self.budget.window_s
        min_per_s = self.max_units(now) / window_s if window_s else 0.0
        return max(len(self.recent_releases) / RELEASE_RATE_WINDOW_S, min_per_s)

    def reset_waiting(self) -> None:
        """Clears the record of waiting requests."""
        self.waiting.clear()
        self.waiting_weight = 0.0

    def must_report(self, held: int, used: int) -> bool:
        """Whether the next report has to include this budget.

        Args:
            held: Units that are held now.
            used: Units that are in use now.
        """
        return bool(
            held
            or used
            or self.waiting
            or self.confirmed_held_units
            or self.report_required
            or self.arrivals
            or self.arrivals_per_s
        )
