"""What an experiment found: figures, claims with their bounds, a table and a chart, written to files.

It must never decide whether an experiment was good beyond its claims' own bounds.
"""

from __future__ import annotations

import csv
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np


def percentile(values: list[float], part: float) -> float:
    """By linear interpolation; 0 where there are no values."""
    return float(np.percentile(values, part)) if values else 0.0


@dataclass
class Report:
    """figures: one flat map. rows: the table, a dict a row. series: for the chart, name to x and y.
    logarithmic: both axes of the charts. extra: what the results file keeps besides, by name."""

    name: str
    figures: dict[str, float] = field(default_factory=dict)
    claims: list[dict[str, Any]] = field(default_factory=list)
    rows: list[dict[str, Any]] = field(default_factory=list)
    charts: list[tuple[str, str, str, dict[str, tuple[list[float], list[float]]]]] = field(
        default_factory=list
    )
    logarithmic: bool = False
    extra: dict[str, Any] = field(default_factory=dict)

    def claim(self, name: str, value: float, bound: float, least: bool = False) -> None:
        """value is at most the bound, or at least."""
        holds = value >= bound if least else value <= bound
        rounded = round(value, 4)
        self.claims.append({"name": name, "value": rounded, "bound": bound, "least": least, "holds": holds})

    @property
    def holds(self) -> bool:
        return all(claim["holds"] for claim in self.claims)

    def write(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        figures = {name: round(value, 4) for name, value in self.figures.items()}
        text = json.dumps({**figures, "claims": self.claims, **self.extra}, indent=1)
        (folder / f"{self.name}.json").write_text(text + "\n")
        with open(folder / f"{self.name}.csv", "w", newline="") as file:
            columns = list(dict.fromkeys(name for row in self.rows for name in row))
            table = csv.DictWriter(file, columns, lineterminator="\n")
            table.writeheader()
            table.writerows(self.rows)
        self._draw(folder / f"{self.name}.svg")

    def _draw(self, path: Path) -> None:
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
        """For a person: the table, then the claims."""
        columns = list(dict.fromkeys(name for row in self.rows for name in row))
        cells = [columns, *[[str(row.get(name, "")) for name in columns] for row in self.rows]]
        widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
        out = [
            "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
            for row in cells
        ]
        for claim in self.claims:
            word = "holds" if claim["holds"] else "FAILS"
            sign = ">=" if claim["least"] else "<="
            out.append(f"{word}  {claim['name']}: {claim['value']:g} {sign} {claim['bound']:g}")
        return out


def spread(values: list[float]) -> tuple[list[float], list[float]]:
    """A distribution for a chart: values against the share of them that is no larger."""
    ordered = sorted(values)
    return ordered, [(i + 1) / len(ordered) for i in range(len(ordered))]
