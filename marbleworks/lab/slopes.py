"""Slopes: how a cost grows with a size, as a curve that is fitted through measured values.

The module fits the curves and defines their form in a results file. Each fit is validated: the value at the
largest size is held out, predicted from the smaller sizes, and compared with what was measured there.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

CONFIDENCE = 0.95  # confidence of the interval of an exponent
MIN_FITTED_SIZES = 5  # sizes for a fit, besides the one that is held out
MAX_INTERVAL_HALF_WIDTH = 1.0  # largest half width of the exponent's interval for which a base is accepted


@dataclass(frozen=True)
class Slope:
    """The curve y = base + factor * x ** exponent through measured values.

    Attributes:
        name: Name of the slope in formulas and pages.
        what: The measured quantity, with its unit.
        against: The size that grows, with its unit.
        how: `simulated`, `processes` (real datagrams on loopback) or `in process`.
        xs: Measured sizes in rising order.
        ys: Values at these sizes.
        base: Part of the value that does not grow.
        factor: Factor of the power.
        exponent: Exponent of the power.
        low: Low end of the exponent's confidence interval, from all sizes.
        high: High end of that interval.
        predicted: Value that the smaller sizes predict for the largest size.
        error: Error of this prediction, relative to the value measured there.
        spread: Standard error of log y about the curve.
        seed: Seed of the run.
    """

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
    spread: float
    seed: int = 0

    def value_at(self, x: float) -> float:
        """Returns the value of the curve at a size."""
        return self.base + self.factor * math.pow(x, self.exponent)

    def range_at(self, x: float) -> tuple[float, float]:
        """Returns the low and high end of the value at a size, by the interval of the exponent.

        The curves with the low and the high exponent meet the fitted curve at the geometric mean of the
        measured sizes.
        """
        geometric_mean = math.exp(sum(math.log(v) for v in self.xs) / len(self.xs))
        power_part = max(self.value_at(geometric_mean) - self.base, 0.0)
        interval = sorted(
            self.base + power_part * (x / geometric_mean) ** exponent_end
            for exponent_end in (self.low, self.high)
        )
        return interval[0], interval[1]

    def extrapolation_ratio(self, x: float) -> float:
        """Returns the ratio of a size to the largest measured size."""
        return x / self.xs[-1]


def fit(
    name: str,
    what: str,
    against: str,
    how: str,
    sizes: Sequence[float],
    values: Sequence[float],
    seed: int = 0,
) -> Slope:
    """Fits a curve through measured values.

    Args:
        name: Name of the slope.
        what: The measured quantity, with its unit.
        against: The size that grows, with its unit.
        how: How the values were measured.
        sizes: Sizes in rising order.
        values: Values at these sizes.
        seed: Seed of the run.

    Returns:
        The slope, with the error of its prediction for the largest size.

    Raises:
        ValueError: There are too few sizes, they do not rise, or a size or value is not positive and finite.
    """
    if len(sizes) < MIN_FITTED_SIZES + 1 or sorted(set(sizes)) != list(sizes) or len(sizes) != len(values):
        raise ValueError(
            f"{name}: needs at least {MIN_FITTED_SIZES + 1} sizes in rising order, with one value each"
        )
    if not all(0 < value < math.inf for value in (*sizes, *values)):
        raise ValueError(f"{name}: sizes and values must be positive and finite")
    largest_size, largest_value = sizes[-1], values[-1]
    base, factor, exponent, _, _, _ = _fit_curve(sizes[:-1], values[:-1])
    predicted = base + factor * largest_size**exponent
    base, factor, exponent, low, high, spread = _fit_curve(sizes, values)
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
        abs(predicted - largest_value) / largest_value,
        spread,
        seed,
    )


def _fit_curve(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float, float, float, float, float]:
    """Fits a power, or a power above a base if the base is justified.

    The base is a third parameter. It is accepted if the corrected Akaike information criterion is smaller
    with it, and if the interval of the exponent is narrow enough.

    Returns:
        Base, factor, exponent, low and high end of the exponent's interval, and the standard error of log y
        about the curve.
    """
    import numpy as np
    from scipy import optimize, stats

    x, y, n = np.asarray(xs, float), np.asarray(ys, float), len(xs)
    regression = stats.linregress(np.log(x), np.log(y))
    half_width = float(stats.t.ppf((1 + CONFIDENCE) / 2, n - 2)) * float(regression.stderr)
    power_residual = float(np.sum((np.log(y) - regression.intercept - regression.slope * np.log(x)) ** 2))
    slope = float(regression.slope)
    power = (
        0.0,
        math.exp(float(regression.intercept)),
        slope,
        slope - half_width,
        slope + half_width,
        math.sqrt(power_residual / (n - 2)),
    )

    def log_power_above_base(logs: Any, base: float, factor: float, exponent: float) -> Any:
        return np.log(np.maximum(base + factor * np.exp(logs * exponent), 1e-300))

    try:
        parameters, covariance = optimize.curve_fit(
            log_power_above_base,
            np.log(x),
            np.log(y),
            p0=(0.5 * y[0], 0.5 * y[-1] / x[-1], 1.0),
            bounds=([0.0, 0.0, 0.0], [y.min(), np.inf, 4.0]),
            maxfev=20_000,
        )
    except (RuntimeError, ValueError):
        return power
    base_residual = float(np.sum((np.log(y) - log_power_above_base(np.log(x), *parameters)) ** 2))

    def information_criterion(residual: float, parameter_count: int) -> float:
        return (
            n * math.log(max(residual, 1e-12) / n)
            + 2 * parameter_count
            + 2 * parameter_count * (parameter_count + 1) / max(n - parameter_count - 1, 0.5)
        )

    base, factor, exponent = (float(v) for v in parameters)
    half_width = float(stats.t.ppf((1 + CONFIDENCE) / 2, n - 3)) * math.sqrt(
        max(float(covariance[2][2]), 0.0)
    )
    if information_criterion(base_residual, 3) >= information_criterion(
        power_residual, 2
    ) or not half_width < min(exponent, MAX_INTERVAL_HALF_WIDTH):
        return power  # an exponent whose interval includes 0 predicts nothing for a larger size
    return (
        base,
        factor,
        exponent,
        exponent - half_width,
        exponent + half_width,
        math.sqrt(base_residual / (n - 3)),
    )


@dataclass
class Slopes:
    """All slopes of a run, as a results file stores them under `slopes`.

    Attributes:
        by_name: The slopes by name.
    """

    by_name: dict[str, Slope] = field(default_factory=dict)

    def add(self, slope: Slope) -> None:
        """Adds a slope; raises ValueError if there is one of the same name."""
        if slope.name in self.by_name:
            raise ValueError(f"slope {slope.name} is there already")
        self.by_name[slope.name] = slope

    def __getitem__(self, name: str) -> Slope:
        return self.by_name[name]

    def to_dict(self) -> dict[str, Any]:
        """Returns the slopes in the form of a results file."""
        return {name: asdict(slope) for name, slope in sorted(self.by_name.items())}

    @classmethod
    def from_dict(cls, stored: dict[str, Any]) -> Slopes:
        """Reads slopes in the form of a results file.

        Raises:
            KeyError: A field is missing.
            TypeError: A field is missing, unknown or of the wrong type.
        """
        slopes = cls()
        for facts in stored.values():
            slopes.add(Slope(**{**facts, "xs": tuple(facts["xs"]), "ys": tuple(facts["ys"])}))
        return slopes
