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

FULL = 0.75  # part of what it has that a router uses whose wants are believed
GROWS, GROWS_FULL = 2.0, 5.0  # times what it was seen to use that it may need; where it uses what it has ...
LEAST = 2  # ... and units besides, with which it begins
STARVES = 0.25  # part of an even share that nobody who needs it is left without
FALLS = 0.45  # part of a need that is remembered ...
FALLS_IN = 0.2  # ... after so many seconds


@dataclass(slots=True)
class Need:
    """What one router needs, as a divider believes it."""

    units: float = 0.0  # remembered, so that parts don't swing
    peak: float = 0.0  # of what it was seen to use, the same
    base: int = 0  # that it has without being given it
    worth: float = 1.0  # of what waits for it, for each unit
    at: float = -math.inf

    def heard(self, used: int, base: int, held: int, want: int, worth: float, now: float) -> None:
        """used: units in use, of its base and what it holds; want: with those that wait. Who asks for all
        and uses little is believed up to twice its use, and who uses what it has up to five times."""
        memory = FALLS ** ((now - self.at) / FALLS_IN) if now > self.at else 1.0
        self.at, self.base = max(now, self.at), base
        self.peak = max(float(used), self.peak * memory)
        grows = GROWS_FULL if used >= FULL * (base + held) else GROWS
        self.units = max(min(float(want), grows * self.peak + LEAST), self.units * memory)
        if self.units < 0.05:
            self.units = 0.0
        self.worth = max(worth, 1e-3)


def divided(
    whole: int, needs: dict[int, Need], salt: int = 0, old: Mapping[int, int] = MappingProxyType({})
) -> dict[int, int]:
    """Units by router; their sum is the whole where there is any router. salt: of the budget, so that what
    is left over of many budgets does not all go to the same routers. old: as it was divided before."""
    if not needs:
        return {}
    wanted = {n: max(need.units - need.base, 0.0) for n, need in needs.items()}
    needy = [n for n, units in wanted.items() if units > 0]
    given = dict.fromkeys(needs, 0.0)
    if needy and sum(wanted.values()) > whole:
        even = whole / len(needy)
        for n in needy:  # nobody starves
            given[n] = min(wanted[n], STARVES * even)
        left = whole - sum(given.values())
        while left > 1e-9:  # the rest by need and worth, up to the need
            open_ = {n: (wanted[n] - given[n]) * needs[n].worth for n in needy if wanted[n] > given[n] + 1e-9}
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
    return _whole_numbers(whole, given, salt, old)


def _whole_numbers(whole: int, given: dict[int, float], salt: int, old: Mapping[int, int]) -> dict[int, int]:
    """What was given before stays where it is one of the two nearest; the others are drawn so that over many
    budgets each router gets its part of what is left over, the same at every divider."""
    out, running = dict[int, int](), _chance(salt, -1)
    for n, units in sorted(given.items()):
        drawn = math.floor(running + units + 1e-9) - math.floor(running + 1e-9)
        running += units
        before = old.get(n, -1)
        out[n] = before if math.floor(units + 1e-9) <= before <= math.ceil(units - 1e-9) else drawn
    left = whole - sum(out.values())
    order = sorted(given, key=lambda n: ((out[n] - given[n]) * (1 if left > 0 else -1), _chance(salt, n)))
    for i in range(abs(left)):
        n = order[i % len(order)]
        out[n] = max(out[n] + (1 if left > 0 else -1), 0)
    return out


def _chance(salt: int, number: int) -> float:
    return zlib.crc32(str(zlib.crc32(f"{salt}/{number}".encode())).encode()) / 2**32
