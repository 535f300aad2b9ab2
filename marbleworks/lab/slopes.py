"""How a cost grows: what was measured at several sizes, the curve through it, what that says of another size.

It owns the fits and how they are kept in a results file. It must never fit what it is tested by: the largest
size is held out, predicted from the smaller ones, and compared.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

SURE = 0.95  # of the interval of an exponent and of a prediction
SIZES = 5  # that are fitted at least, beside the one held out
KNOWN = 1.0  # half of an interval at most, of the exponent above a base


@dataclass(frozen=True)
class Slope:
    """y = base + factor * x ** exponent, through what was measured.

    name: by which other pages call it. what: measured, with its unit. against: what grows, with its unit.
    how: `simulated`, `processes` (real datagrams on loopback) or `in process`. xs, ys: as measured, the
    largest last. predicted: at the largest size, from the others alone; error: of that, as a part of what was
    measured there. low, high: the interval of the exponent, from all sizes."""

    name: str
    what: str
    against: str
    how: str
    xs: tuple[float, ...]
    ys: tuple[float, ...]
    base: float
    factor: float
    exponent: float
    low: float
    high: float
    predicted: float
    error: float
    spread: float  # standard error of log y about the curve
    seed: int = 0

    def at(self, x: float) -> float:
        return self.base + self.factor * math.pow(x, self.exponent)

    def between(self, x: float) -> tuple[float, float]:
        """Where the value at x lies by the interval of the exponent, turned about the middle of the sizes."""
        middle = math.exp(sum(math.log(v) for v in self.xs) / len(self.xs))
        grown = max(self.at(middle) - self.base, 0.0)
        ends = sorted(self.base + grown * (x / middle) ** e for e in (self.low, self.high))
        return ends[0], ends[1]

    def times(self, x: float) -> float:
        """How far x lies beyond the largest size that was measured."""
        return x / self.xs[-1]


def fitted(
    name: str,
    what: str,
    against: str,
    how: str,
    sizes: Sequence[float],
    values: Sequence[float],
    seed: int = 0,
) -> Slope:
    """The curve through values at sizes, which rise. ValueError where there are too few, or one is not
    positive."""
    if len(sizes) < SIZES + 1 or sorted(set(sizes)) != list(sizes) or len(sizes) != len(values):
        raise ValueError(f"{name}: {SIZES + 1} rising sizes are wanted, each with its value")
    if not all(0 < value < math.inf for value in (*sizes, *values)):
        raise ValueError(f"{name}: sizes and values are above 0 and finite")
    most, there = sizes[-1], values[-1]
    base, factor, exponent, _, _, _ = _curve(sizes[:-1], values[:-1])
    predicted = base + factor * most**exponent
    base, factor, exponent, low, high, spread = _curve(sizes, values)
    return Slope(
        name,
        what,
        against,
        how,
        tuple(map(float, sizes)),
        tuple(map(float, values)),
        base,
        factor,
        exponent,
        low,
        high,
        predicted,
        abs(predicted - there) / there,
        spread,
        seed,
    )


def _curve(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float, float, float, float, float]:
    """Base, factor, exponent, its interval, and the spread: a power, or a power above a base where that
    leaves so much less unexplained that the third figure pays for itself (Akaike's criterion, corrected)."""
    import numpy as np
    from scipy import optimize, stats

    x, y, n = np.asarray(xs, float), np.asarray(ys, float), len(xs)
    line = stats.linregress(np.log(x), np.log(y))
    reach = float(stats.t.ppf((1 + SURE) / 2, n - 2)) * float(line.stderr)
    left = float(np.sum((np.log(y) - line.intercept - line.slope * np.log(x)) ** 2))
    slope = float(line.slope)
    power = (
        0.0,
        math.exp(float(line.intercept)),
        slope,
        slope - reach,
        slope + reach,
        math.sqrt(left / (n - 2)),
    )

    def above(logs: Any, base: float, factor: float, exponent: float) -> Any:
        return np.log(np.maximum(base + factor * np.exp(logs * exponent), 1e-300))

    try:
        told, spreads = optimize.curve_fit(
            above,
            np.log(x),
            np.log(y),
            p0=(0.5 * y[0], 0.5 * y[-1] / x[-1], 1.0),
            bounds=([0.0, 0.0, 0.0], [y.min(), np.inf, 4.0]),
            maxfev=20_000,
        )
    except (RuntimeError, ValueError):
        return power
    rest = float(np.sum((np.log(y) - above(np.log(x), *told)) ** 2))

    def criterion(unexplained: float, figures: int) -> float:
        return (
            n * math.log(max(unexplained, 1e-12) / n)
            + 2 * figures
            + 2 * figures * (figures + 1) / max(n - figures - 1, 0.5)
        )

    base, factor, exponent = (float(v) for v in told)
    reach = float(stats.t.ppf((1 + SURE) / 2, n - 3)) * math.sqrt(max(float(spreads[2][2]), 0.0))
    if criterion(rest, 3) >= criterion(left, 2) or not reach < min(exponent, KNOWN):
        return power  # an exponent that could as well be none says nothing of a larger size
    return base, factor, exponent, exponent - reach, exponent + reach, math.sqrt(rest / (n - 3))


@dataclass
class Slopes:
    """All of a run, by name, as a results file keeps them under `slopes`."""

    by_name: dict[str, Slope] = field(default_factory=dict)

    def add(self, slope: Slope) -> None:
        if slope.name in self.by_name:
            raise ValueError(f"{slope.name} is there already")
        self.by_name[slope.name] = slope

    def __getitem__(self, name: str) -> Slope:
        return self.by_name[name]

    def kept(self) -> dict[str, Any]:
        return {name: asdict(slope) for name, slope in sorted(self.by_name.items())}

    @classmethod
    def read(cls, kept: dict[str, Any]) -> Slopes:
        """KeyError or TypeError where what was kept is not of this form."""
        slopes = cls()
        for facts in kept.values():
            slopes.add(Slope(**{**facts, "xs": tuple(facts["xs"]), "ys": tuple(facts["ys"])}))
        return slopes
