"""Division of a budget among members by demand.

The shares add up to the total. A member with demand gets at least a quarter of an even share, if it needs
that much; the other contended units are divided by demand and priority weight. The module does no I/O, reads
no clock and has no state other than the demands that it is given.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

FULL_USE_RATIO = 0.75  # a member that uses this part of its units or more counts as fully used
MAX_GROWTH = 2.0  # limit of a member's demand, as a multiple of its used units
MAX_GROWTH_AT_FULL_USE = 5.0  # the same limit for a member in full use
MIN_GROWTH_UNITS = 2  # added to the limit, so that an idle member can start
MIN_EVEN_SHARE_RATIO = 0.25  # part of an even share that each member with demand gets at least
DECAY_RATIO = 0.45  # factor by which a remembered demand shrinks in each decay interval
DECAY_INTERVAL_S = 0.2
MIN_DEMAND_UNITS = 0.05  # a remembered demand below this counts as 0
MIN_PRIORITY_WEIGHT = 1e-3
MAX_UNDIVIDED_RATIO = 1e-3  # a round that grants less than this part of the remaining units is the last one
EPSILON = 1e-9  # tolerance for sums of floats


@dataclass(slots=True)
class Demand:
    """Estimate of one member's demand for a budget, limited by its observed use.

    Attributes:
        units: Units needed; decays slowly, so that shares do not oscillate.
        peak_used_units: Largest number of units in use; decays in the same way.
        guaranteed_units: Units that the member has without a grant.
        priority_weight: Priority weight of each unit that is waited for.
        updated_at: Time of the last update, in seconds.
    """

    units: float = 0.0
    peak_used_units: float = 0.0
    guaranteed_units: int = 0
    priority_weight: float = 1.0
    updated_at: float = -math.inf

    def update(
        self, used: int, guaranteed: int, held: int, wanted: int, priority_weight: float, now: float
    ) -> None:
        """Updates the estimate from a report.

        The demand of a member is limited to five times its use if it uses most of its units, and to twice its
        use otherwise. This bounds the share of a member that asks for many units and uses few.

        Args:
            used: Units in use, both guaranteed and held ones.
            guaranteed: Units that the member has without a grant.
            held: Units beyond the guaranteed ones.
            wanted: Units in use or waited for.
            priority_weight: Priority weight of each unit that is waited for.
            now: Current time, in seconds.
        """
        decay = DECAY_RATIO ** ((now - self.updated_at) / DECAY_INTERVAL_S) if now > self.updated_at else 1.0
        self.updated_at = max(now, self.updated_at)
        self.guaranteed_units = guaranteed
        self.peak_used_units = max(float(used), self.peak_used_units * decay)
        is_full = used >= FULL_USE_RATIO * (guaranteed + held)
        growth = MAX_GROWTH_AT_FULL_USE if is_full else MAX_GROWTH
        limited = min(float(wanted), growth * self.peak_used_units + MIN_GROWTH_UNITS)
        self.units = max(limited, self.units * decay)
        if self.units < MIN_DEMAND_UNITS:
            self.units = 0.0
        self.priority_weight = max(priority_weight, MIN_PRIORITY_WEIGHT)


def divide(
    total: int,
    demands: Mapping[int, Demand],
    salt: int = 0,
    previous: Mapping[int, int] = MappingProxyType({}),
) -> dict[int, int]:
    """Divides a total among members.

    Args:
        total: Units to divide.
        demands: Demands, keyed by member.
        salt: Number that differs between budgets, so that the remainders of many budgets do not all go to the
            same members.
        previous: Shares of the last division; a share is kept if it is as good as another rounding.

    Returns:
        Units keyed by member. They add up to the total if there is any member.
    """
    if not demands:
        return {}
    wanted = {member: max(demand.units - demand.guaranteed_units, 0.0) for member, demand in demands.items()}
    total_wanted = sum(wanted.values())
    if total_wanted > total:
        exact = _divide_scarce(total, demands, wanted)
    else:
        exact = _divide_ample(total, wanted, total_wanted)
    return _round_to_units(total, exact, salt, previous)


def _divide_scarce(
    total: int, demands: Mapping[int, Demand], wanted: Mapping[int, float]
) -> dict[int, float]:
    """Divides a total that is smaller than the demand.

    Each member with demand gets a minimum. The rest is divided by demand and weight; no member gets more than
    it wants.
    """
    demanding = [member for member, units in wanted.items() if units > 0]
    shares = dict.fromkeys(demands, 0.0)
    even_share = total / len(demanding)
    for member in demanding:
        shares[member] = min(wanted[member], MIN_EVEN_SHARE_RATIO * even_share)
    remaining = total - sum(shares.values())
    while remaining > EPSILON:
        weights = {
            member: (wanted[member] - shares[member]) * demands[member].priority_weight
            for member in demanding
            if wanted[member] > shares[member] + EPSILON
        }
        total_weight = sum(weights.values())
        if not total_weight:
            break
        increments = {
            member: min(remaining * weight / total_weight, wanted[member] - shares[member])
            for member, weight in weights.items()
        }
        for member, units in increments.items():
            shares[member] += units
        granted = sum(increments.values())
        if granted < remaining * MAX_UNDIVIDED_RATIO:
            break
        remaining -= granted
    return shares


def _divide_ample(total: int, wanted: Mapping[int, float], total_wanted: float) -> dict[int, float]:
    """Divides a total that covers the demand.

    Each member gets what it wants. Half of the rest is divided evenly and half by demand; without any demand
    all of it is divided evenly.
    """
    spare = total - total_wanted
    shares = {}
    for member, units in wanted.items():
        even_part = 1.0 / len(wanted)
        part = 0.5 / len(wanted) + 0.5 * units / total_wanted if total_wanted else even_part
        shares[member] = units + spare * part
    return shares


def _round_to_units(
    total: int, exact: Mapping[int, float], salt: int, previous: Mapping[int, int]
) -> dict[int, int]:
    """Rounds exact shares to whole units.

    A previous share is kept if it is one of the two whole numbers nearest to the exact share. The others are
    rounded up or down by a hash that is the same at each granter, so that over many budgets each member gets
    its part of the remainders.
    """
    shares: dict[int, int] = {}
    cumulative = _hash_fraction(salt, -1)
    for member, units in sorted(exact.items()):
        rounded = math.floor(cumulative + units + EPSILON) - math.floor(cumulative + EPSILON)
        cumulative += units
        previous_share = previous.get(member, -1)
        is_near = math.floor(units + EPSILON) <= previous_share <= math.ceil(units - EPSILON)
        shares[member] = previous_share if is_near else rounded
    remaining = total - sum(shares.values())
    step = 1 if remaining > 0 else -1
    order = sorted(
        exact, key=lambda member: ((shares[member] - exact[member]) * step, _hash_fraction(salt, member))
    )
    for i in range(abs(remaining)):
        member = order[i % len(order)]
        shares[member] = max(shares[member] + step, 0)
    return shares


def _hash_fraction(salt: int, number: int) -> float:
    """Hash of a salt and a number, evenly distributed in [0, 1)."""
    return zlib.crc32(str(zlib.crc32(f"{salt}/{number}".encode())).encode()) / 2**32
