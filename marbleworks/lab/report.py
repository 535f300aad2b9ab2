"""The results of an experiment: figures, claims with their bounds, a table and charts, written to files.

Whether an experiment succeeded depends on the bounds of its claims alone.
"""

from __future__ import annotations

import csv
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np


def percentile(values: list[float], percent: float) -> float:
    """Returns a percentile by linear interpolation; 0 if there are no values."""
    return float(np.percentile(values, percent)) if values else 0.0


@dataclass
class Report:
    """The results of an experiment.

    Attributes:
        name: Name of the experiment and of its files.
        figures: Figures by name.
        claims: Claims with their value, bound and whether they hold.
        rows: Rows of the table, each a dict by column.
        charts: Title, label of the x axis, label of the y axis, and the x and y values by name of the series.
        logarithmic: Whether both axes of the charts are logarithmic.
        extra: Further content of the results file, by name.
    """

    name: str
    figures: dict[str, float] = field(default_factory=dict)
    claims: list[dict[str, Any]] = field(default_factory=list)
    rows: list[dict[str, Any]] = field(default_factory=list)
    charts: list[tuple[str, str, str, dict[str, tuple[list[float], list[float]]]]] = field(
        default_factory=list
    )
    logarithmic: bool = False
    extra: dict[str, Any] = field(default_factory=dict)

    def claim(self, name: str, value: float, bound: float, is_minimum: bool = False) -> None:
        """Adds a claim.

        Args:
            name: Name of the claim.
            value: Measured value.
            bound: Bound of the value.
            is_minimum: Whether the bound is a minimum instead of a maximum.
        """
        holds = value >= bound if is_minimum else value <= bound
        rounded = round(value, 4)
        self.claims.append(
            {"name": name, "value": rounded, "bound": bound, "least": is_minimum, "holds": holds}
        )

    @property
    def holds(self) -> bool:
        """Whether all claims hold."""
        return all(claim["holds"] for claim in self.claims)

    def write(self, folder: Path) -> None:
        """Writes the results as JSON, the table as CSV and the charts as SVG to a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        figures = {name: round(value, 4) for name, value in self.figures.items()}
        text = json.dumps({**figures, "claims": self.claims, **self.extra}, indent=1)
        (folder / f"{self.name}.json").write_text(text + "\n")
        with open(folder / f"{self.name}.csv", "w", newline="") as file:
            columns = list(dict.fromkeys(name for row in self.rows for name in row))
            table = csv.DictWriter(file, columns, lineterminator="\n")
            table.writeheader()
            table.writerows(self.rows)
        self._draw_charts(folder / f"{self.name}.svg")

    def _draw_charts(self, path: Path) -> None:
        """Draws the charts."""
        import matplotlib as mpl

        mpl.use("svg")
        mpl.rcParams.update({"svg.hashsalt": "marbleworks", "font.size": 9})
        from matplotlib import pyplot as plt

        figure, axes = plt.subplots(1, len(self.charts), figsize=(5.0 * len(self.charts), 3.6), squeeze=False)
        for axis, (title, x, y, series) in zip(axes[0], self.charts, strict=True):
            for label, (xs, ys) in series.items():
                axis.plot(xs, ys, label=label, linewidth=1.4)
            axis.set(title=title, xlabel=x, ylabel=y)
            if self.logarithmic:
                axis.set(xscale="log", yscale="log")
            axis.grid(alpha=0.3)
            axis.legend(fontsize=8)
        figure.tight_layout()
        figure.savefig(path, metadata={"Date": None})
        plt.close(figure)

    def lines(self) -> list[str]:
        """Returns the table and the claims as lines of text."""
        columns = list(dict.fromkeys(name for row in self.rows for name in row))
        cells = [columns, *[[str(row.get(name, "")) for name in columns] for row in self.rows]]
        widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
        text_lines = [
            "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
            for row in cells
        ]
        for claim in self.claims:
            verdict = "holds" if claim["holds"] else "FAILS"
            sign = ">=" if claim["least"] else "<="
            text_lines.append(f"{verdict}  {claim['name']}: {claim['value']:g} {sign} {claim['bound']:g}")
        return text_lines


def distribution(values: list[float]) -> tuple[list[float], list[float]]:
    """Returns a distribution for a chart: the sorted values, and the fraction that is no larger."""
    ordered = sorted(values)
    return ordered, [(i + 1) / len(ordered) for i in range(len(ordered))]
