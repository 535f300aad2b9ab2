"""Divides a budget among members by demand. No I/O, no clock, no state but the demands handed in.

The shares add up to the total. A member with demand gets a quarter of an even share at least, if it needs
that much; what is contended beyond that goes by demand and priority weight.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

FULL_USE_RATIO = 0.75  # of its units that a member uses whose wish for more is believed further
MAX_GROWTH = 2.0  # times the used units that a member may need
MAX_GROWTH_AT_FULL_USE = 5.0  # the same of a member that uses what it has
MIN_GROWTH_UNITS = 2  # beyond that, so that an idle member can begin
MIN_EVEN_SHARE_RATIO = 0.25  # of an even share, for each member with demand
DECAY_RATIO = 0.45  # by which a remembered demand shrinks in each interval
DECAY_INTERVAL_S = 0.2
MIN_DEMAND_UNITS = 0.05  # below this a remembered demand is over
MIN_PRIORITY_WEIGHT = 1e-3
MAX_UNDIVIDED_RATIO = 1e-3  # of what is left, below which a round of the division is the last
EPSILON = 1e-9  # for sums of floats


@dataclass(slots=True)
class Demand:
    """How much one member needs of a budget, as far as its reports are believed.

    Attributes:
        units: needed, with a memory that keeps shares from swinging.
        peak_used_units: seen in use, with the same memory.
        guaranteed_units: that it has without a grant.
        priority_weight: of each unit that is waited for.
        updated_at: seconds.
    """

    units: float = 0.0
    peak_used_units: float = 0.0
    guaranteed_units: int = 0
    priority_weight: float = 1.0
    updated_at: float = -math.inf

    def update(
        self, used: int, guaranteed: int, held: int, wanted: int, priority_weight: float, now: float
    ) -> None:
        """Takes in a report.

        A member that asks for much and uses little is believed up to twice its use, one that uses what it has
        up to five times.

        Args:
            used: units in use, of the guaranteed and the held ones.
            guaranteed: units that it has without a grant.
            held: units beyond those.
            wanted: units in use and waited for.
            priority_weight: of each unit that is waited for.
            now: seconds.
        """
        memory = DECAY_RATIO ** ((now - self.updated_at) / DECAY_INTERVAL_S) if now > self.updated_at else 1.0
        self.updated_at = max(now, self.updated_at)
        self.guaranteed_units = guaranteed
        self.peak_used_units = max(float(used), self.peak_used_units * memory)
        is_full = used >= FULL_USE_RATIO * (guaranteed + held)
        growth = MAX_GROWTH_AT_FULL_USE if is_full else MAX_GROWTH
        believed = min(float(wanted), growth * self.peak_used_units + MIN_GROWTH_UNITS)
        self.units = max(believed, self.units * memory)
        if self.units < MIN_DEMAND_UNITS:
            self.units = 0.0
        self.priority_weight = max(priority_weight, MIN_PRIORITY_WEIGHT)


def divide(
    total: int,
    demands: Mapping[int, Demand],
    salt: int = 0,
    previous: Mapping[int, int] = MappingProxyType({}),
) -> dict[int, int]:
    """Returns units by member; they add up to the total where there is any member.

    Args:
        total: units to divide.
        demands: by member.
        salt: of the budget, so that the remainders of many budgets do not go to the same members.
        previous: the last division, which is kept where it is as good.
    """
    if not demands:
        return {}
    wanted = {n: max(demand.units - demand.guaranteed_units, 0.0) for n, demand in demands.items()}
    total_wanted = sum(wanted.values())
    if total_wanted > total:
        exact = _divide_scarce(total, demands, wanted)
    else:
        exact = _divide_ample(total, wanted, total_wanted)
    return _round_to_units(total, exact, salt, previous)


def _divide_scarce(
    total: int, demands: Mapping[int, Demand], wanted: Mapping[int, float]
) -> dict[int, float]:
    """Less than is wanted: a minimum for each, the rest by demand and weight, no more than each wants."""
    needy = [n for n, units in wanted.items() if units > 0]
    shares = dict.fromkeys(demands, 0.0)
    even = total / len(needy)
    for n in needy:
        shares[n] = min(wanted[n], MIN_EVEN_SHARE_RATIO * even)
    left = total - sum(shares.values())
    while left > EPSILON:
        weights = {
            n: (wanted[n] - shares[n]) * demands[n].priority_weight
            for n in needy
            if wanted[n] > shares[n] + EPSILON
        }
        total_weight = sum(weights.values())
        if not total_weight:
            break
        more = {n: min(left * weight / total_weight, wanted[n] - shares[n]) for n, weight in weights.items()}
        for n, units in more.items():
            shares[n] += units
        given = sum(more.values())
        if given < left * MAX_UNDIVIDED_RATIO:
            break
        left -= given
    return shares


def _divide_ample(total: int, wanted: Mapping[int, float], total_wanted: float) -> dict[int, float]:
    """As much as is wanted for each; half of the rest evenly, half where there is demand already."""
    spare = total - total_wanted
    shares = {}
    for n, units in wanted.items():
        even = 1.0 / len(wanted)
        part = 0.5 / len(wanted) + 0.5 * units / total_wanted if total_wanted else even
        shares[n] = units + spare * part
    return shares


def _round_to_units(
    total: int, exact: Mapping[int, float], salt: int, previous: Mapping[int, int]
) -> dict[int, int]:
    """Rounds exact shares to whole units.

    A previous share stays where it is one of the two nearest. The others are drawn by a hash, the same at
    each granter, so that over many budgets each member gets its part of the remainders.
    """
    shares: dict[int, int] = {}
    running = _hash_fraction(salt, -1)
    for n, units in sorted(exact.items()):
        drawn = math.floor(running + units + EPSILON) - math.floor(running + EPSILON)
        running += units
        before = previous.get(n, -1)
        is_near = math.floor(units + EPSILON) <= before <= math.ceil(units - EPSILON)
        shares[n] = before if is_near else drawn
    left = total - sum(shares.values())
    step = 1 if left > 0 else -1
    order = sorted(exact, key=lambda n: ((shares[n] - exact[n]) * step, _hash_fraction(salt, n)))
    for i in range(abs(left)):
        n = order[i % len(order)]
        shares[n] = max(shares[n] + step, 0)
    return shares


def _hash_fraction(salt: int, number: int) -> float:
    """Evenly spread in [0, 1)."""
    return zlib.crc32(str(zlib.crc32(f"{salt}/{number}".encode())).encode()) / 2**32
