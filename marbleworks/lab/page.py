"""Renders the tables of docs/CAPACITY.md from the slopes of docs/results/capacity.json, and checks a page.

The module writes the tables between the markers of a page, and the marks `over` and `no run yet`. It does not
write the prose between the tables, and no figure that does not follow from a slope or an input.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from marbleworks.lab import duties, target
from marbleworks.lab.duties import CONTROL, Duty, Role, Row, Status, Step
from marbleworks.lab.slopes import Slope, Slopes
from marbleworks.lab.target import Figure, Formula, Variant, by_name, evaluate

RESULTS, PAGE = Path("docs/results/capacity.json"), Path("docs/CAPACITY.md")
OVER_MARK, ERROR_MARK, NO_RUN, NO_VALUE = "**over**", "**off**", "no run yet", "-"
# Relative error of a slope at the size that was held out, beyond which the slope is marked.
MAX_HELD_OUT_ERROR = 0.15
TABLE_PATTERN = re.compile(r"(<!-- table ([a-z-]+) -->\n)(.*?)(<!-- end -->)", re.DOTALL)
NUMBER_PATTERN = re.compile(r"\d[\d,]*(?:\.\d+)?(?:e[+-]\d+)?")
LIMITS = {"cpu": target.CPU, "bytes": target.BYTES, "memory": target.MEMORY, "core": target.CORE}
RATIO_NAMES = {"cpu": "processor", "bytes": "bytes", "memory": "memory", "core": "core"}


class PageError(Exception):
    """The page can't be written or checked; the message says why."""


@dataclass(frozen=True)
class Results:
    """Contents of a results file.

    Attributes:
        slopes: The slopes.
        figures: Other figures by name.
    """

    slopes: Slopes
    figures: dict[str, float]

    @property
    def by_name(self) -> dict[str, Slope]:
        """The slopes by name."""
        return self.slopes.by_name


def read_results(path: Path) -> Results:
    """Reads a results file.

    Raises:
        PageError: The file can't be read or is not a results file of the capacity experiment.
    """
    try:
        stored = json.loads(path.read_text())
        figures = {name: float(value) for name, value in stored.items() if isinstance(value, int | float)}
        return Results(Slopes.from_dict(stored["slopes"]), figures)
    except OSError as err:
        raise PageError(f"{path}: {err.strerror}") from None
    except (ValueError, KeyError, TypeError, AttributeError) as err:
        raise PageError(f"{path}: not a results file of `lab run capacity`: {err!r}") from None


# Results of rows.


@dataclass(frozen=True)
class Ratio:
    """Ratio of a figure to its limit.

    Attributes:
        value: The ratio.
        low: Low end, by the intervals of the slopes.
        high: High end.
        by: The measure that is limited.
    """

    value: float
    low: float
    high: float
    by: str

    @property
    def over(self) -> bool:
        """Whether the limit is exceeded."""
        return self.value > 1.0

    def __str__(self) -> str:
        ends = (
            ""
            if format_number(self.low) == format_number(self.high)
            else f" ({format_number(self.low)} to {format_number(self.high)})"
        )
        return f"{format_number(self.value)}{ends} {self.by}{f' {OVER_MARK}' if self.over else ''}"


@dataclass(frozen=True)
class ResolvedRow:
    """A row with its figures.

    Attributes:
        row: The row.
        figures: Figures by measure; those with a slope that has no run have no value.
    """

    row: Row
    figures: dict[str, Figure]

    @property
    def slopes_without_run(self) -> frozenset[str]:
        """Names of slopes that have no run."""
        return frozenset[str]().union(*(figure.slopes_without_run for figure in self.figures.values()))

    def measured_figure(self, what: str) -> Figure | None:
        """Returns the figure of a measure, None if it has no value."""
        figure = self.figures.get(what)
        return figure if figure is not None and not figure.slopes_without_run else None

    def ratio(self) -> Ratio | None:
        """Returns the largest ratio to a limit, None if there is none."""
        found = list(
            ratios_to_limits({what: self.measured_figure(what) for what in self.figures}, limits_of(self.row))
        )
        return max(found, key=lambda ratio: ratio.value) if found else None

    def ratio_text(self) -> str:
        """Returns the text of the largest ratio, or why there is none."""
        ratio = self.ratio()
        if ratio is not None:
            return str(ratio)
        return NO_RUN if self.row.awaited or self.slopes_without_run else "no limit"


def limits_of(row: Row) -> dict[str, float]:
    """Returns the limits by measure.

    The control of a router has limits of its own. What serves requests, and all other roles, may take a core.
    """
    if row.role in (Role.ROUTER, Role.DIVIDER) and row.duty in CONTROL:
        return {"cpu": target.CPU, "bytes": target.BYTES, "memory": target.MEMORY}
    return {"cpu": target.CORE}


def ratios_to_limits(figures: Mapping[str, Figure | None], limits: Mapping[str, float]) -> Iterator[Ratio]:
    """Yields the ratio of each figure that has a limit."""
    for what, limit in limits.items():
        figure = figures.get(what)
        if figure is not None:
            by = "core" if what == "cpu" and limit == target.CORE else RATIO_NAMES[what]
            yield _ratio_to(figure, limit, by)


@dataclass
class CapacityModel:
    """Everything that the tables are rendered from.

    Attributes:
        results: The results file.
        slopes: Slopes by name.
        inputs: Inputs of formulas.
        cell: Routers and engines of the largest cell, and the bound that limits it.
        inputs_by_variant: Values of inputs by name, for each variant.
        rows: Rows with their figures.
    """

    results: Results

    def __post_init__(self) -> None:
        self.slopes = self.results.by_name
        try:
            self.inputs = target.inputs(self.slopes, self.results.figures)
            self.cell = target.cell_size(self.slopes)
        except KeyError as err:
            raise PageError(f"slope {err.args[0]} has no run, so the size of a cell is unknown") from None
        self.inputs_by_variant = {variant: by_name(self.inputs, variant) for variant in Variant}
        self.rows = [
            ResolvedRow(
                row, {what: self.figure(formula, row.variant) for what, formula in row.formulas().items()}
            )
            for row in duties.ROWS
        ]

    def figure(
        self, formula: Formula, variant: Variant, more_inputs: Mapping[str, float] | None = None
    ) -> Figure:
        """Evaluates a formula for a variant, with additional inputs."""
        return evaluate(
            formula,
            self.slopes,
            {**self.inputs_by_variant[variant], **duties.CONSTANT_INPUTS, **(more_inputs or {})},
        )

    def rows_of(self, role: Role, variant: Variant) -> list[ResolvedRow]:
        """Returns the rows of a role in a variant."""
        return [
            resolved
            for resolved in self.rows
            if resolved.row.role is role and resolved.row.variant is variant
        ]

    def control_sums(self, role: Role, variant: Variant) -> tuple[dict[str, Figure], bool]:
        """Sums the cost of all control work of a role.

        Returns:
            The sums by measure, and whether they are incomplete since some row has no figure.
        """
        rows = self.rows_of(role, variant)
        if role is Role.DIVIDER:
            rows = [
                *rows,
                *[
                    resolved
                    for resolved in self.rows_of(Role.ROUTER, variant)
                    if resolved.row.duty in duties.ROUTER_DUTIES
                ],
            ]
        rows = [resolved for resolved in rows if resolved.row.duty in CONTROL]
        found, is_partial = {}, False
        for what in ("bytes", "cpu", "memory"):
            figures = [figure for resolved in rows if (figure := resolved.measured_figure(what)) is not None]
            is_partial = is_partial or len(figures) < len(rows)
            if figures:
                found[what] = Figure(
                    sum(figure.value for figure in figures),
                    sum(figure.low for figure in figures),
                    sum(figure.high for figure in figures),
                    max(figure.times_beyond for figure in figures),
                    max(figure.times_below for figure in figures),
                    frozenset(),
                    "",
                )
        return found, is_partial


# Formats.


def format_number(value: float) -> str:
    """Formats a number with three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 99.95:
        return f"{float(f'{value:.3g}'):,.0f}"
    if abs(value) < 0.001:
        return f"{value:.1e}"
    return f"{float(f'{value:.3g}'):.3g}"


def format_exactly(value: float) -> str:
    """Formats an integral number in full, another one with three significant digits."""
    return f"{value:,.0f}" if value == round(value) else format_number(value)


def format_scaled(value: float, unit: str) -> str:
    """Formats a number with a decimal prefix of its unit."""
    for size, name in ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "K")):
        if value >= size:
            return f"{format_number(value / size)} {name}{unit}"
    return f"{format_number(value)} {unit}"


def format_processor(value: float) -> str:
    """Formats processor seconds per second, in cores or in percent of a core."""
    return f"{format_number(value)} cores" if value >= 1.0 else f"{format_number(100.0 * value)}%"


FORMATTERS = {
    "messages": format_number,
    "bytes": lambda value: format_scaled(value, "B"),
    "memory": lambda value: format_scaled(value, "B"),
    "cpu": format_processor,
    "core": format_processor,
}


def format_figure(figure: Figure | None, what: str) -> str:
    """Formats a figure of a measure."""
    if figure is None:
        return NO_VALUE
    return NO_RUN if figure.slopes_without_run else FORMATTERS[what](figure.value)


def extrapolation_text(figures: Iterable[Figure]) -> str:
    """Describes how far the figures lie outside the measured sizes."""
    there = [figure for figure in figures if not figure.slopes_without_run and figure.times_beyond]
    if not there:
        return NO_VALUE
    far, under = max(figure.times_beyond for figure in there), max(figure.times_below for figure in there)
    ends = [f"{format_number(far)} times"] if far > 1.0 else []
    ends += [f"{format_number(under)} times below"] if under > 1.0 else []
    return ", ".join(ends) or "measured"


def format_range(figure: Figure, formatter: Callable[[float], str]) -> str:
    """Formats a figure with its range."""
    low, high = formatter(figure.low), formatter(figure.high)
    return formatter(figure.value) + ("" if low == high else f" ({low} to {high})")


def render_table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Renders a table in Markdown."""
    names = list(head)
    lines = [names, ["---"] * len(names), *[list(row) for row in rows]]
    return "".join(f"| {' | '.join(cell.replace('|', '/') for cell in line)} |\n" for line in lines)


# The tables.


def _size_table(model: CapacityModel) -> str:
    rows = (
        ("routers", target.ROUTERS, 1),
        ("databases: engines here", target.ENGINES, target.ENGINES / target.ROUTERS),
        ("client connections", target.CLIENTS, target.CLIENTS / target.ROUTERS),
        ("statements a second", target.STATEMENTS, target.STATEMENTS / target.ROUTERS),
        ("regions", target.REGIONS, None),
        ("zones", target.ZONES, None),
        ("routers of a region", target.ROUTERS / target.REGIONS, None),
        ("routers, engines of a zone", f"{target.ZONE_ROUTERS}, {target.ZONE_ENGINES}", None),
        (
            "clients of a zone's loss",
            target.ZONE_CLIENTS,
            target.ZONE_CLIENTS / (target.ROUTERS - target.ZONE_ROUTERS),
        ),
        ("changes of primary a day", target.PRIMARIES, None),
        ("each over within", f"{target.PRIMARY_WITHIN:g} s", None),
        (
            "changes of configuration a day",
            target.CONFIGURATIONS,
            f"one in {target.DAY / target.CONFIGURATIONS:g} s",
        ),
        ("each in force everywhere within", f"{target.CONFIGURATION_WITHIN:g} s", None),
        ("control, processor time", None, f"{100 * target.CPU:g}% of a core"),
        ("control, memory", None, format_scaled(target.MEMORY, "B")),
        ("control, bytes a second", None, format_scaled(target.BYTES, "B")),
        ("machines set aside", target.MACHINES, None),
        ("machines that fail on an ordinary day", target.FAILED, None),
        ("machines restarted or replaced", target.RESTARTED, None),
        ("part of the fleet at a time", f"{100 * target.RESTART_FRACTION:g}%", None),
    )

    def cell(value: Any) -> str:
        if value is None:
            return NO_VALUE
        return value if isinstance(value, str) else f"{value:,.1f}".removesuffix(".0")

    return render_table(
        ("what", "figure", "a router's share"),
        ((what, cell(figure), cell(share)) for what, figure, share in rows),
    )


def _inputs_table(model: CapacityModel) -> str:
    return render_table(
        ("input", "meaning", "whose", "flat", "cells"),
        (
            (f"`{each.name}`", each.meaning, each.kind.value, *map(format_exactly, each.values))
            for each in model.inputs
        ),
    )


def _cell_table(model: CapacityModel) -> str:
    allowance = target.Allowance()
    used_shares = target.bounds(model.slopes, allowance)
    largest_by_bound = {what: target.largest(used_share) for what, used_share in used_shares.items()}

    def list_share(count: int) -> float:
        listed = math.ceil(count * allowance.engines)
        return (
            target.LIST_REQUESTS_PER_S
            * model.slopes["list_bytes"].value_at(listed)
            / (allowance.engine_list * allowance.bytes)
        )

    routers, engines, bound = model.cell
    rows = [
        (
            what,
            f"{largest:,}",
            f"{math.ceil(largest * allowance.engines):,}",
            format_number(used_shares[what](routers)),
            "this one" if what == bound else "",
        )
        for what, largest in sorted(largest_by_bound.items(), key=lambda pair: pair[1])
    ]

    def report_share(count: int) -> float:
        return target.REPORTS_PER_S * count * model.slopes["ledger_cpu"].value_at(count) / allowance.cpu

    for what, used_share in (
        ("list, bytes a second, told as today", list_share),
        ("reports of one budget as today, processor time of who divides", report_share),
    ):
        try:
            largest = target.largest(used_share)
        except KeyError:
            rows.append((what, NO_RUN, NO_RUN, NO_RUN, "not asked of it"))
            continue
        rows.append(
            (
                what,
                f"{largest:,}",
                f"{math.ceil(largest * allowance.engines):,}",
                format_number(used_share(routers)),
                "not asked of it",
            )
        )
    head = ("bound", "routers, at most", "engines, at most", "part taken in a cell", "binds")
    return render_table(head, [*rows, ("**a cell**", f"{routers:,}", f"{engines:,}", "", bound)])


def _row_cells(resolved_row: ResolvedRow) -> tuple[str, ...]:
    resolved, row = resolved_row, resolved_row.row
    measures = [
        format_figure(resolved.figures.get(what), what) for what in ("messages", "bytes", "cpu", "memory")
    ]
    texts = [f"{what}: {figure.text}" for what, figure in resolved.figures.items()]
    unrun = ", ".join(sorted(resolved.slopes_without_run))
    if unrun or row.awaited:
        texts.append(f"{NO_RUN}: {unrun}" if unrun else NO_RUN)
    return (
        row.duty.value,
        row.variant.value,
        row.state,
        *measures,
        extrapolation_text(resolved.figures.values()),
        resolved.ratio_text(),
        row.mechanism.description,
        row.mechanism.status.value,
        "; ".join(texts),
    )


def _role_table(model: CapacityModel, role: Role) -> str:
    head = (
        "duty",
        "variant",
        "state",
        "messages/s",
        "bytes/s",
        "processor",
        "memory",
        "extrapolated",
        "ratio",
        "mechanism",
        "status",
        "worked out by",
    )
    rows = sorted(
        (resolved for resolved in model.rows if resolved.row.role is role),
        key=lambda resolved: (list(Duty).index(resolved.row.duty), list(Variant).index(resolved.row.variant)),
    )
    lines = [_row_cells(resolved) for resolved in rows]
    if role in (Role.ROUTER, Role.DIVIDER):
        for variant in Variant:
            figures, is_partial = model.control_sums(role, variant)
            ratio = max(
                ratios_to_limits(
                    figures, {"cpu": target.CPU, "bytes": target.BYTES, "memory": target.MEMORY}
                ),
                key=lambda found: found.value,
            )
            lines.append(
                (
                    "**control in all**",
                    variant.value,
                    "at least: some have no figure" if is_partial else "",
                    NO_VALUE,
                    *[format_figure(figures.get(what), what) for what in ("bytes", "cpu", "memory")],
                    extrapolation_text(figures.values()),
                    str(ratio),
                    "",
                    "",
                    "the sum",
                )
            )
    return render_table(head, lines)


def _absent_table(model: CapacityModel) -> str:
    rows: dict[tuple[str, str], list[str]] = {}
    for (role, duty), why in duties.ABSENT.items():
        rows.setdefault((role.value, why), []).append(duty.value)
    return render_table(
        ("role", "duties", "why"), ((role, ", ".join(names), why) for (role, why), names in rows.items())
    )


def _totals_table(model: CapacityModel) -> str:
    rows = []
    for who, variant, *names in duties.MEASURED_TOTALS:
        figures = {
            what: model.figure(target.slope(name, "fleet"), variant)
            for what, name in zip(("cpu", "bytes", "memory"), names, strict=True)
        }
        core = "machine" in who
        limits = (
            {"cpu": target.CORE}
            if core
            else {"cpu": target.CPU, "bytes": target.BYTES, "memory": target.MEMORY}
        )
        found = list(
            ratios_to_limits(
                {what: figure for what, figure in figures.items() if not figure.slopes_without_run}, limits
            )
        )
        rows.append(
            (
                who,
                variant.value,
                *[format_figure(figures[what], what) for what in ("cpu", "bytes", "memory")],
                extrapolation_text(figures.values()),
                str(max(found, key=lambda ratio: ratio.value)) if found else NO_RUN,
                ", ".join(names),
            )
        )
    head = ("who", "variant", "processor", "bytes/s", "memory", "extrapolated", "ratio", "slopes")
    return render_table(head, rows)


def _comparison_table(model: CapacityModel) -> str:
    def cell(role: Role, duty: Duty, variant: Variant) -> str:
        for resolved in model.rows_of(role, variant):
            if resolved.row.duty is duty:
                return f"{resolved.ratio_text()}, {resolved.row.mechanism.status.value}"
        why = duties.ABSENT.get((role, duty))
        return why if why == "as a router" else NO_VALUE

    rows = [
        (role.value, duty.value, *(cell(role, duty, variant) for variant in Variant))
        for role in Role
        for duty in Duty
        if any(resolved.row.role is role and resolved.row.duty is duty for resolved in model.rows)
    ]
    return render_table(("role", "duty", "ratio flat", "ratio cells"), rows)


def _ratio_to(figure: Figure, limit: float, by: str) -> Ratio:
    return Ratio(figure.value / limit, figure.low / limit, figure.high / limit, by)


def _add_figures(base: Figure | None, added: Figure) -> Figure:
    if base is None:
        return added
    return Figure(
        base.value + added.value,
        base.low + added.low,
        base.high + added.high,
        max(base.times_beyond, added.times_beyond),
        max(base.times_below, added.times_below),
        added.slopes_without_run,
        added.text,
    )


def _peaks_table(model: CapacityModel) -> str:
    rows = []
    for burst in duties.BURSTS:
        for variant in Variant:
            more_inputs, cells = burst.inputs(variant, model.inputs_by_variant[variant]), []
            worst, figures = list[Ratio](), list[Figure]()
            for what, role, measure, adds, kind in duties.PEAKS:
                formula = (*adds, *duties.START_PEAK) if kind == "cpu" and burst.starting_routers else adds
                formula = tuple(
                    use for use in formula if all(more_inputs.get(name, 1.0) for name in use.named())
                )
                figure = model.figure(formula, variant, more_inputs)
                if role is not None:
                    sums, _ = model.control_sums(role, variant)
                    figure = _add_figures(sums.get(measure), figure)
                figures.append(figure)
                cells.append(format_figure(figure, kind or measure))
                if kind and not figure.slopes_without_run:
                    worst.append(_ratio_to(figure, LIMITS[kind], what.partition(", of")[0]))
            ratio = str(max(worst, key=lambda found: found.value)) if worst else NO_RUN
            rows.append((burst.name, variant.value, *cells, extrapolation_text(figures), ratio))
    head = ("burst", "variant", *(what for what, *_ in duties.PEAKS), "extrapolated", "ratio")
    return render_table(head, rows)


def _peak_formulas_table(model: CapacityModel) -> str:
    rows = []
    for what, role, _, adds, _ in duties.PEAKS:
        terms = [] if role is None else [f"control in all of: {role.value}"]
        rows.append((what, " + ".join([*terms, *map(str, adds)])))
    start = " + ".join(map(str, duties.START_PEAK))
    return render_table(
        ("peak", "worked out by"), [*rows, ("processor, where routers start, besides", start)]
    )


def _duration_text(model: CapacityModel, formula: Formula | str | None, variant: Variant) -> str:
    if formula is None:
        return "missing"
    if isinstance(formula, str):
        return formula
    if not formula:
        return NO_RUN
    figure = model.figure(formula, variant)
    return NO_RUN if figure.slopes_without_run else f"{format_range(figure, format_number)} s"


def _recovery_table(model: CapacityModel) -> str:
    names = list(duties.recovery_times(duties.BURSTS[0], Variant.FLAT))
    rows = []
    for burst in duties.BURSTS:
        for variant in Variant:
            found = duties.recovery_times(burst, variant)
            rows.append(
                (burst.name, variant.value, *(_duration_text(model, found[name], variant) for name in names))
            )
    return render_table(("burst", "variant", *names), rows)


def _continuity_table(model: CapacityModel) -> str:
    def rows() -> Iterator[tuple[str, ...]]:
        for burst in duties.BURSTS:
            for n, variant in enumerate(Variant):
                yield burst.name, variant.value, burst.continues[n], burst.refused[n]

    return render_table(("burst", "variant", "what goes on", "what is refused"), rows())


def _start_table(model: CapacityModel) -> str:
    rows = []
    for what, formula, source in duties.START_NEEDS:
        for variant in Variant:
            if formula is None:
                rows.append((what, variant.value, NO_RUN, NO_RUN, NO_VALUE, source, NO_VALUE))
                continue
            figure = model.figure(formula, variant)
            a_second = format_scaled(figure.value * target.ZONE_ROUTERS / target.START_WITHIN, "B")
            rows.append(
                (
                    what,
                    variant.value,
                    format_figure(figure, "bytes"),
                    NO_RUN if figure.slopes_without_run else a_second,
                    extrapolation_text([figure]),
                    source,
                    figure.text,
                )
            )
    for what, formula in (
        ("seconds until its group agrees on who is there", duties.GROUP_STARTED),
        ("seconds until it may have a part", duties.QUOTA_AFTER_START),
        ("processor seconds of its own, where all of its group start", duties.START_CPU),
    ):
        for variant in Variant:
            figure = model.figure(formula, variant)
            mark = f" {OVER_MARK}" if figure.value > target.START_WITHIN else ""
            rows.append(
                (
                    what,
                    variant.value,
                    NO_RUN if figure.slopes_without_run else f"{format_range(figure, format_number)} s{mark}",
                    NO_VALUE,
                    extrapolation_text([figure]),
                    f"within {target.START_WITHIN:g} s",
                    figure.text,
                )
            )
    head = (
        "what it needs",
        "variant",
        "each",
        "all of a zone, a second for that long",
        "extrapolated",
        "from whom",
        "worked out by",
    )
    return render_table(head, rows)


def _steps_table(model: CapacityModel, steps: tuple[Step, ...], within: float) -> str:
    rows, sums = [], dict.fromkeys(Variant, 0.0)
    is_incomplete = dict.fromkeys(Variant, False)
    for step in steps:
        cells = []
        for variant in Variant:
            cells.append(_duration_text(model, step.seconds, variant))
            figure = None if step.seconds is None else model.figure(step.seconds, variant)
            if figure is None or figure.slopes_without_run:
                is_incomplete[variant] = True
            else:
                sums[variant] += figure.value
        figures = [] if step.seconds is None else [model.figure(step.seconds, v) for v in Variant]
        text = figures[0].text if figures else step.missing
        rows.append((step.name, step.what, *cells, extrapolation_text(figures), NO_RUN, text))
    ends = []
    for variant in Variant:
        prefix, total = "at least " if is_incomplete[variant] else "", sums[variant]
        mark = f" {OVER_MARK}" if total > within else ""
        ends.append(f"{prefix}{format_number(total)} s{mark}" if total else NO_RUN)
    rows.append(("**in all**", f"within {within:g} s", *ends, "", "", "the sum"))
    return render_table(("step", "what", "flat", "cells", "extrapolated", "p99", "worked out by"), rows)


def _durations_by_size_table(model: CapacityModel) -> str:
    rows = []
    for name in (
        "death_seconds",
        "divide_seconds",
        "start_seconds",
        "hollow_death_seconds",
        "hollow_config_seconds",
    ):
        found = model.slopes.get(name)
        if found is None:
            rows.append((f"`{name}`", NO_RUN, "", ""))
            continue
        pairs = ", ".join(
            f"{format_number(y)} at {format_number(x)}" for x, y in zip(found.xs, found.ys, strict=True)
        )
        rows.append((f"`{name}`", found.what, found.how, pairs))
    return render_table(("slope", "what", "how", "as measured, by size"), rows)


def _partition_table(model: CapacityModel) -> str:
    return render_table(("while regions are cut", "flat", "cells"), duties.PARTITION_BEHAVIOR)


def _unmet_table(model: CapacityModel) -> str:
    rows = []
    for each in duties.UNMET_REQUIREMENTS:
        found = [
            f"{resolved.row.role.value}, {resolved.row.duty.value}: {ratio}"
            for role, duty in each.rows
            for resolved in model.rows_of(role, Variant.FLAT)
            if resolved.row.duty is duty and (ratio := resolved.ratio()) is not None and ratio.over
        ]
        if found or not each.rows:
            rows.append((each.what, "; ".join(found) or NO_VALUE, each.remedy))
    return render_table(("what can't be held", "flat, by figure", "what it would take"), rows)


def missing_rows(model: CapacityModel, variant: Variant) -> list[ResolvedRow]:
    """Returns the rows that are missing or exceed a limit, by falling ratio, those without a ratio last."""
    selected = [
        resolved
        for resolved in model.rows
        if resolved.row.variant is variant
        and (
            resolved.row.mechanism.status is Status.MISSING
            or ((ratio := resolved.ratio()) is not None and ratio.over)
        )
    ]

    def sort_key(resolved: ResolvedRow) -> float:
        ratio = resolved.ratio()
        return -1.0 if ratio is None else ratio.value

    return sorted(selected, key=sort_key, reverse=True)


def _missing_table(model: CapacityModel, variant: Variant) -> str:
    rows = []
    for place, resolved in enumerate(missing_rows(model, variant), 1):
        rows.append(
            (
                str(place),
                resolved.row.role.value,
                resolved.row.duty.value,
                resolved.ratio_text(),
                resolved.row.mechanism.status.value,
                resolved.row.mechanism.remedy or resolved.row.mechanism.description,
            )
        )
    return render_table(("place", "role", "duty", "ratio", "status", "what it takes"), rows)


def _slopes_table(model: CapacityModel) -> str:
    rows = []
    for name in sorted(target.SLOPES):
        found = model.slopes.get(name)
        if found is None:
            rows.append((f"`{name}`", NO_RUN, "", "", "", "", ""))
            continue
        off = f" {ERROR_MARK}" if found.error > MAX_HELD_OUT_ERROR else ""
        rows.append(
            (
                f"`{name}`",
                found.what,
                found.against,
                f"{found.how}, seed {found.seed}",
                f"{format_number(found.xs[0])} to {format_number(found.xs[-1])}, {len(found.xs)} sizes",
                f"{found.exponent:.2f} ({found.low:.2f} to {found.high:.2f})",
                f"{100 * found.error:.1f}%{off}",
            )
        )
    head = ("slope", "what", "against", "run", "sizes", "exponent (95%)", "error at the largest, held out")
    return render_table(head, rows)


def _run_table(model: CapacityModel) -> str:
    figures = model.results.figures
    form = {0.0: "full", 1.0: "quick"}.get(figures.get("quick", -1.0), "not said")
    texts = [format_number(figures[name]) if name in figures else "not said" for name in ("seed", "seconds")]
    return render_table(("run", "form", "seed", "seconds"), [(f"`{RESULTS}`", form, *texts)])


def render_tables(results: Results) -> dict[str, str]:
    """Renders all tables.

    Returns:
        Tables by the name in their markers.

    Raises:
        PageError: The size of a cell is unknown, since a slope has no run.
    """
    model = CapacityModel(results)
    roles = {f"role-{role.name.lower()}": _role_table(model, role) for role in Role}
    return {
        "run": _run_table(model),
        "size": _size_table(model),
        "inputs": _inputs_table(model),
        "cell": _cell_table(model),
        "side": _comparison_table(model),
        **roles,
        "absent": _absent_table(model),
        "whole": _totals_table(model),
        "peaks": _peaks_table(model),
        "peaks-by": _peak_formulas_table(model),
        "again": _recovery_table(model),
        "goes": _continuity_table(model),
        "starts": _start_table(model),
        "primary": _steps_table(model, duties.PRIMARY_STEPS, target.PRIMARY_WITHIN),
        "configuration": _steps_table(model, duties.CONFIGURATION_STEPS, target.CONFIGURATION_WITHIN),
        "by-size": _durations_by_size_table(model),
        "cut": _partition_table(model),
        "unheld": _unmet_table(model),
        "missing-flat": _missing_table(model, Variant.FLAT),
        "missing-cells": _missing_table(model, Variant.CELLS),
        "slopes": _slopes_table(model),
    }


def render_page(page: str, results: Results) -> str:
    """Renders a page again with current tables.

    Raises:
        PageError: The page lacks a table, has one twice, or has an unknown one.
    """
    found = render_tables(results)
    named = [name for _, name, _, _ in TABLE_PATTERN.findall(page)]
    for name in found:
        if named.count(name) != 1:
            raise PageError(f"the table {name} occurs {named.count(name)} times; it must occur once")
    for name in named:
        if name not in found:
            raise PageError(f"the page has an unknown table {name}")
    return TABLE_PATTERN.sub(lambda match: match[1] + found[match[2]] + match[4], page)


# Checks.


def find_problems(page: str, results: Results, package: Path = Path(target.__file__).parents[1]) -> list[str]:
    """Checks a page against its results.

    Args:
        page: The text of the page.
        results: The results file.
        package: Folder of the package, in which the files of mechanisms must exist.

    Returns:
        A line for each problem.

    Raises:
        PageError: The page can't be rendered; see `render_page`.
    """
    return [
        *data_problems(results, package),
        *table_problems(page, results),
        *mark_problems(page),
        *prose_problems(page),
    ]


def data_problems(results: Results, package: Path) -> Iterator[str]:
    """Yields a line for each unknown slope, missing run, stale mark, and row that claims too much."""
    there = set(results.by_name)
    for name in sorted(there - target.SLOPES):
        yield f"{name}: unknown slope"
    for name in sorted(target.SLOPES - there - target.SLOPES_WITHOUT_RUN):
        yield f"{name}: has no run and is not marked so"
    for name in target.FIGURES.values():
        if name not in results.figures:
            yield f"{name}: has no run and is not marked so"
    for name in sorted(there & target.SLOPES_WITHOUT_RUN):
        yield f"{name}: has a run; remove it from AWAITED"
    for role in Role:
        for duty in Duty:
            has_row = any(row.role is role and row.duty is duty for row in duties.ROWS)
            if has_row == ((role, duty) in duties.ABSENT):
                yield f"{role.value}, {duty.value}: needs either a row in ROWS or a reason in ABSENT"
    for row in duties.ROWS:
        name = f"{row.role.value}, {row.duty.value}, {row.variant.value}"
        named = {
            slope
            for formula in row.formulas().values()
            for use in formula
            for slope, _ in (*use.slopes, *use.per)
        }
        for slope in sorted(named - target.SLOPES):
            yield f"{name}: uses the unknown slope {slope}"
        if row.awaited == bool(named):
            why = "has a slope and is marked without a run" if named else "has no run and is not marked so"
            yield f"{name}: {why}"
        if row.mechanism.status is not Status.MISSING and not row.mechanism.files:
            yield f"{name}: its status is '{row.mechanism.status.value}', but no file implements it"
        for file in row.mechanism.files:
            if not (package / file).exists():
                yield f"{name}: {file} does not exist"


def table_problems(page: str, results: Results) -> Iterator[str]:
    """Yields a line for each line of a table that differs from the results."""
    found = render_tables(results)
    for _, name, body, _ in TABLE_PATTERN.findall(page):
        if body == found.get(name):
            continue
        expected = found.get(name, "").splitlines()
        for line in body.splitlines():
            if line not in expected:
                yield f"table {name}: differs from the results: {line[:120]}"
        for line in expected:
            if line not in body.splitlines():
                yield f"table {name}: lacks the line: {line[:120]}"
        if sorted(body.splitlines()) == sorted(expected):
            yield f"table {name}: its rows are in another order"
    render_page(page, results)


def mark_problems(page: str) -> Iterator[str]:
    """Yields a line for each ratio whose mark `over` is wrong, by the text of the page alone."""
    for _, name, body, _ in TABLE_PATTERN.findall(page):
        lines = [[cell.strip() for cell in line.strip("|").split("|")] for line in body.splitlines()]
        if not lines:
            continue
        columns = [n for n, head in enumerate(lines[0]) if head.startswith("ratio")]
        for line in lines[2:]:
            for n in columns:
                number = NUMBER_PATTERN.match(line[n])
                if number is None:
                    continue
                ratio = float(number[0].replace(",", ""))  # rounded, so 1 may or may not exceed the limit
                if ratio > 1.0 and OVER_MARK not in line[n]:
                    yield f"table {name}: a ratio above 1 is not marked: {line[n]}"
                if ratio < 1.0 and OVER_MARK in line[n]:
                    yield f"table {name}: a ratio below 1 is marked: {line[n]}"


def prose_problems(page: str) -> Iterator[str]:
    """Yields a line for each figure between the tables that is in no table."""
    table_numbers = {
        number for _, _, body, _ in TABLE_PATTERN.findall(page) for number in NUMBER_PATTERN.findall(body)
    }
    for line in TABLE_PATTERN.sub("", page).splitlines():
        for number in NUMBER_PATTERN.findall(line):
            if number not in table_numbers:
                yield f"prose: {number} is in no table: {line[:120]}"
