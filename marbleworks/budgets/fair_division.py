"""Who is given how much of a budget, by what each needs. No I/O, no clock.

It owns no state: needs in, amounts out, and their sum is the whole. Nobody who needs something is left with
less than a quarter of an even share of it, if it needs that much; what two want goes by what it is worth.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

FULL_USE_RATIO = 0.75  # part of what it has that a router uses whose wants are believed
MAX_GROWTH, MAX_GROWTH_AT_FULL_USE = (
    2.0,
    5.0,
)  # times what it was seen to use that it may need; where it uses what it has ...
MIN_GROWTH_UNITS = 2  # ... and units besides, with which it begins
MIN_EVEN_SHARE_RATIO = 0.25  # part of an even share that nobody who needs it is left without
DECAY_RATIO = 0.45  # part of a need that is remembered ...
DECAY_INTERVAL_S = 0.2  # ... after so many seconds


@dataclass(slots=True)
class Demand:
    """What one router needs, as a divider believes it."""

    units: float = 0.0  # remembered, so that parts don't swing
    peak_used_units: float = 0.0  # of what it was seen to use, the same
    guaranteed_units: int = 0  # that it has without being given it
    priority_weight: float = 1.0  # of what waits for it, for each unit
    updated_at: float = -math.inf

    def update(self, used: int, base: int, held: int, want: int, worth: float, now: float) -> None:
        """used: units in use, of its base and what it holds; want: with those that wait. Who asks for all
        and uses little is believed up to twice its use, and who uses what it has up to five times."""
        memory = DECAY_RATIO ** ((now - self.updated_at) / DECAY_INTERVAL_S) if now > self.updated_at else 1.0
        self.updated_at, self.guaranteed_units = max(now, self.updated_at), base
        self.peak_used_units = max(float(used), self.peak_used_units * memory)
        grows = MAX_GROWTH_AT_FULL_USE if used >= FULL_USE_RATIO * (base + held) else MAX_GROWTH
        self.units = max(
            min(float(want), grows * self.peak_used_units + MIN_GROWTH_UNITS), self.units * memory
        )
        if self.units < 0.05:
            self.units = 0.0
        self.priority_weight = max(worth, 1e-3)


def divide(
    whole: int, needs: dict[int, Demand], salt: int = 0, previous: Mapping[int, int] = MappingProxyType({})
) -> dict[int, int]:
    """Units by router; their sum is the whole where there is any router. salt: of the budget, so that what
    is left over of many budgets does not all go to the same routers. old: as it was divided before."""
    if not needs:
        return {}
    wanted = {n: max(need.units - need.guaranteed_units, 0.0) for n, need in needs.items()}
    needy = [n for n, units in wanted.items() if units > 0]
    given = dict.fromkeys(needs, 0.0)
    if needy and sum(wanted.values()) > whole:
        even = whole / len(needy)
        for n in needy:  # nobody starves
            given[n] = min(wanted[n], MIN_EVEN_SHARE_RATIO * even)
        left = whole - sum(given.values())
        while left > 1e-9:  # the rest by need and worth, up to the need
            open_ = {
                n: (wanted[n] - given[n]) * needs[n].priority_weight
                for n in needy
                if wanted[n] > given[n] + 1e-9
            }
            weight = sum(open_.values())
            if not weight:
                break
            more = {n: min(left * part / weight, wanted[n] - given[n]) for n, part in open_.items()}
            for n, units in more.items():
                given[n] += units
            if sum(more.values()) < left * 1e-3:
                break
            left -= sum(more.values())
    else:
        spare = whole - sum(wanted.values())
        total = sum(wanted.values())
        for n in needs:  # what nobody needs: half of it evenly, half where there is need already
            given[n] = wanted[n] + spare * (
                0.5 / len(needs) + 0.5 * wanted[n] / total if total else 1.0 / len(needs)
            )
    return _round_to_units(whole, given, salt, previous)


def _round_to_units(whole: int, given: dict[int, float], salt: int, old: Mapping[int, int]) -> dict[int, int]:
    """What was given before stays where it is one of the two nearest; the others are drawn so that over many
    budgets each router gets its part of what is left over, the same at every divider."""
    out, running = dict[int, int](), _hash_fraction(salt, -1)
    for n, units in sorted(given.items()):
        drawn = math.floor(running + units + 1e-9) - math.floor(running + 1e-9)
        running += units
        before = old.get(n, -1)
        out[n] = before if math.floor(units + 1e-9) <= before <= math.ceil(units - 1e-9) else drawn
    left = whole - sum(out.values())
    order = sorted(
        given, key=lambda n: ((out[n] - given[n]) * (1 if left > 0 else -1), _hash_fraction(salt, n))
    )
    for i in range(abs(left)):
        n = order[i % len(order)]
        out[n] = max(out[n] + (1 if left > 0 else -1), 0)
    return out


def _hash_fraction(salt: int, number: int) -> float:
    return zlib.crc32(str(zlib.crc32(f"{salt}/{number}".encode())).encode()) / 2**32
