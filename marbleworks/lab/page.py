"""The tables of docs/CAPACITY.md, worked out from the slopes of docs/results/capacity.json, and what is wrong
with a page.

It owns the tables between a page's markers and the marks `over` and `no run yet`. It must never write the
prose between them, or a figure that no slope or input gives.
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
from marbleworks.lab.target import Figure, Formula, Variant, by_name, worked

RESULTS, PAGE = Path("docs/results/capacity.json"), Path("docs/CAPACITY.md")
OVER, OFF, UNRUN, NONE = "**over**", "**off**", "no run yet", "-"
HELD_OUT = 0.15  # by which a slope may be off at the size that was held out
TABLE = re.compile(r"(<!-- table ([a-z-]+) -->\n)(.*?)(<!-- end -->)", re.DOTALL)
NUMBER = re.compile(r"\d[\d,]*(?:\.\d+)?(?:e[+-]\d+)?")
LIMITS = {"cpu": target.CPU, "bytes": target.BYTES, "memory": target.MEMORY, "core": target.CORE}
NAMED = {"cpu": "processor", "bytes": "bytes", "memory": "memory", "core": "core"}


class PageError(Exception):
    """Why there is no page to write or to check."""


@dataclass(frozen=True)
class Results:
    """Of a results file: its slopes, and its figures by name."""

    slopes: Slopes
    figures: dict[str, float]

    @property
    def by_name(self) -> dict[str, Slope]:
        return self.slopes.by_name


def read(path: Path) -> Results:
    """Raises PageError."""
    try:
        kept = json.loads(path.read_text())
        figures = {name: float(value) for name, value in kept.items() if isinstance(value, int | float)}
        return Results(Slopes.from_dict(kept["slopes"]), figures)
    except OSError as err:
        raise PageError(f"{path}: {err.strerror}") from None
    except (ValueError, KeyError, TypeError, AttributeError) as err:
        raise PageError(f"{path}: no slopes as `lab run capacity` keeps them: {err!r}") from None


# What rows come to.


@dataclass(frozen=True)
class Ratio:
    """To what is allowed, the largest of those that a row has; by: which."""

    value: float
    low: float
    high: float
    by: str

    @property
    def over(self) -> bool:
        return self.value > 1.0

    def __str__(self) -> str:
        ends = "" if said(self.low) == said(self.high) else f" ({said(self.low)} to {said(self.high)})"
        return f"{said(self.value)}{ends} {self.by}{f' {OVER}' if self.over else ''}"


@dataclass(frozen=True)
class Worked:
    """A row's figures by measure; those with a slope that has no run have no value to show."""

    row: Row
    figures: dict[str, Figure]

    @property
    def unrun(self) -> frozenset[str]:
        return frozenset[str]().union(*(figure.unrun for figure in self.figures.values()))

    def known(self, what: str) -> Figure | None:
        figure = self.figures.get(what)
        return figure if figure is not None and not figure.unrun else None

    def ratio(self) -> Ratio | None:
        found = list(ratios({what: self.known(what) for what in self.figures}, allowed(self.row)))
        return max(found, key=lambda ratio: ratio.value) if found else None

    def compared(self) -> str:
        ratio = self.ratio()
        if ratio is not None:
            return str(ratio)
        return UNRUN if self.row.awaited or self.unrun else "no limit"


def allowed(row: Row) -> dict[str, float]:
    """By measure. A router's control has its allowance; what serves commands, and all others, a core."""
    if row.role in (Role.ROUTER, Role.DIVIDER) and row.duty in CONTROL:
        return {"cpu": target.CPU, "bytes": target.BYTES, "memory": target.MEMORY}
    return {"cpu": target.CORE}


def ratios(figures: Mapping[str, Figure | None], limits: Mapping[str, float]) -> Iterator[Ratio]:
    for what, limit in limits.items():
        figure = figures.get(what)
        if figure is not None:
            by = "core" if what == "cpu" and limit == target.CORE else NAMED[what]
            yield _to(figure, limit, by)


@dataclass
class Book:
    """All that the tables are worked out from."""

    results: Results

    def __post_init__(self) -> None:
        self.slopes = self.results.by_name
        try:
            self.inputs = target.inputs(self.slopes, self.results.figures)
            self.cell = target.cell_size(self.slopes)
        except KeyError as err:
            raise PageError(f"no run of {err.args[0]}, without which a cell has no size") from None
        self.of = {variant: by_name(self.inputs, variant) for variant in Variant}
        self.rows = [
            Worked(row, {what: self.figure(formula, row.variant) for what, formula in row.formulas().items()})
            for row in duties.ROWS
        ]

    def figure(
        self, formula: Formula, variant: Variant, besides: Mapping[str, float] | None = None
    ) -> Figure:
        return worked(formula, self.slopes, {**self.of[variant], **duties.FIXED, **(besides or {})})

    def of_role(self, role: Role, variant: Variant) -> list[Worked]:
        return [w for w in self.rows if w.row.role is role and w.row.variant is variant]

    def sums(self, role: Role, variant: Variant) -> tuple[dict[str, Figure], bool]:
        """Of all of a role's control, by measure, and whether something of it has no figure."""
        rows = self.of_role(role, variant)
        if role is Role.DIVIDER:
            rows = [*rows, *[w for w in self.of_role(Role.ROUTER, variant) if w.row.duty in duties.AS_ROUTER]]
        rows = [w for w in rows if w.row.duty in CONTROL]
        found, partly = {}, False
        for what in ("bytes", "cpu", "memory"):
            there = [figure for w in rows if (figure := w.known(what)) is not None]
            partly = partly or len(there) < len(rows)
            if there:
                found[what] = Figure(
                    sum(f.value for f in there),
                    sum(f.low for f in there),
                    sum(f.high for f in there),
                    max(f.far for f in there),
                    max(f.under for f in there),
                    frozenset(),
                    "",
                )
        return found, partly


# How a figure is said.


def said(value: float) -> str:
    """Three figures."""
    if value == 0:
        return "0"
    if abs(value) >= 99.95:
        return f"{float(f'{value:.3g}'):,.0f}"
    if abs(value) < 0.001:
        return f"{value:.1e}"
    return f"{float(f'{value:.3g}'):.3g}"


def exactly(value: float) -> str:
    """Whole numbers in full."""
    return f"{value:,.0f}" if value == round(value) else said(value)


def scaled(value: float, unit: str) -> str:
    for size, name in ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "K")):
        if value >= size:
            return f"{said(value / size)} {name}{unit}"
    return f"{said(value)} {unit}"


def processor(value: float) -> str:
    return f"{said(value)} cores" if value >= 1.0 else f"{said(100.0 * value)}%"


UNITS = {
    "messages": said,
    "bytes": lambda value: scaled(value, "B"),
    "memory": lambda value: scaled(value, "B"),
    "cpu": processor,
    "core": processor,
}


def shown(figure: Figure | None, what: str) -> str:
    if figure is None:
        return NONE
    return UNRUN if figure.unrun else UNITS[what](figure.value)


def extrapolated(figures: Iterable[Figure]) -> str:
    there = [figure for figure in figures if not figure.unrun and figure.far]
    if not there:
        return NONE
    far, under = max(figure.far for figure in there), max(figure.under for figure in there)
    ends = [f"{said(far)} times"] if far > 1.0 else []
    ends += [f"{said(under)} times below"] if under > 1.0 else []
    return ", ".join(ends) or "measured"


def ranged(figure: Figure, say: Callable[[float], str]) -> str:
    low, high = say(figure.low), say(figure.high)
    return say(figure.value) + ("" if low == high else f" ({low} to {high})")


def table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    names = list(head)
    lines = [names, ["---"] * len(names), *[list(row) for row in rows]]
    return "".join(f"| {' | '.join(cell.replace('|', '/') for cell in line)} |\n" for line in lines)


# The tables.


def _size(book: Book) -> str:
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
        ("control, memory", None, scaled(target.MEMORY, "B")),
        ("control, bytes a second", None, scaled(target.BYTES, "B")),
        ("machines set aside", target.MACHINES, None),
        ("machines that fail on an ordinary day", target.FAILED, None),
        ("machines restarted or replaced", target.RESTARTED, None),
        ("part of the fleet at a time", f"{100 * target.TENTH:g}%", None),
    )

    def cell(value: Any) -> str:
        if value is None:
            return NONE
        return value if isinstance(value, str) else f"{value:,.1f}".removesuffix(".0")

    return table(("what", "figure", "a router's share"), ((w, cell(a), cell(b)) for w, a, b in rows))


def _inputs(book: Book) -> str:
    return table(
        ("input", "meaning", "whose", "flat", "cells"),
        (
            (f"`{each.name}`", each.meaning, each.kind.value, *map(exactly, each.values))
            for each in book.inputs
        ),
    )


def _cell(book: Book) -> str:
    a = target.Allowance()
    parts = target.bounds(book.slopes, a)
    by = {what: target.largest(part) for what, part in parts.items()}

    def heard(count: int) -> float:
        listed = math.ceil(count * a.engines)
        return target.ASKS * book.slopes["list_bytes"].at(listed) / (a.listing * a.bytes)

    routers, engines, bound = book.cell
    rows = [
        (
            what,
            f"{most:,}",
            f"{math.ceil(most * a.engines):,}",
            said(parts[what](routers)),
            "this one" if what == bound else "",
        )
        for what, most in sorted(by.items(), key=lambda pair: pair[1])
    ]

    def reported(count: int) -> float:
        return target.REPORTS * count * book.slopes["ledger_cpu"].at(count) / a.cpu

    for what, part in (
        ("list, bytes a second, told as today", heard),
        ("reports of one budget as today, processor time of who divides", reported),
    ):
        try:
            most = target.largest(part)
        except KeyError:
            rows.append((what, UNRUN, UNRUN, UNRUN, "not asked of it"))
            continue
        rows.append(
            (what, f"{most:,}", f"{math.ceil(most * a.engines):,}", said(part(routers)), "not asked of it")
        )
    head = ("bound", "routers, at most", "engines, at most", "part taken in a cell", "binds")
    return table(head, [*rows, ("**a cell**", f"{routers:,}", f"{engines:,}", "", bound)])


def _line(worked_row: Worked) -> tuple[str, ...]:
    w, row = worked_row, worked_row.row
    measures = [shown(w.figures.get(what), what) for what in ("messages", "bytes", "cpu", "memory")]
    texts = [f"{what}: {figure.text}" for what, figure in w.figures.items()]
    unrun = ", ".join(sorted(w.unrun))
    if unrun or row.awaited:
        texts.append(f"{UNRUN}: {unrun}" if unrun else UNRUN)
    return (
        row.duty.value,
        row.variant.value,
        row.state,
        *measures,
        extrapolated(w.figures.values()),
        w.compared(),
        row.carried.by,
        row.carried.status.value,
        "; ".join(texts),
    )


def _role(book: Book, role: Role) -> str:
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
        (w for w in book.rows if w.row.role is role),
        key=lambda w: (list(Duty).index(w.row.duty), list(Variant).index(w.row.variant)),
    )
    lines = [_line(w) for w in rows]
    if role in (Role.ROUTER, Role.DIVIDER):
        for variant in Variant:
            figures, partly = book.sums(role, variant)
            ratio = max(
                ratios(figures, {"cpu": target.CPU, "bytes": target.BYTES, "memory": target.MEMORY}),
                key=lambda found: found.value,
            )
            lines.append(
                (
                    "**control in all**",
                    variant.value,
                    "at least: some have no figure" if partly else "",
                    NONE,
                    *[shown(figures.get(what), what) for what in ("bytes", "cpu", "memory")],
                    extrapolated(figures.values()),
                    str(ratio),
                    "",
                    "",
                    "the sum",
                )
            )
    return table(head, lines)


def _absent(book: Book) -> str:
    rows: dict[tuple[str, str], list[str]] = {}
    for (role, duty), why in duties.ABSENT.items():
        rows.setdefault((role.value, why), []).append(duty.value)
    return table(
        ("role", "duties", "why"), ((role, ", ".join(names), why) for (role, why), names in rows.items())
    )


def _whole(book: Book) -> str:
    rows = []
    for who, variant, *names in duties.WHOLE:
        figures = {
            what: book.figure(target.slope(name, "fleet"), variant)
            for what, name in zip(("cpu", "bytes", "memory"), names, strict=True)
        }
        core = "machine" in who
        limits = (
            {"cpu": target.CORE}
            if core
            else {"cpu": target.CPU, "bytes": target.BYTES, "memory": target.MEMORY}
        )
        found = list(ratios({w: f for w, f in figures.items() if not f.unrun}, limits))
        rows.append(
            (
                who,
                variant.value,
                *[shown(figures[what], what) for what in ("cpu", "bytes", "memory")],
                extrapolated(figures.values()),
                str(max(found, key=lambda ratio: ratio.value)) if found else UNRUN,
                ", ".join(names),
            )
        )
    head = ("who", "variant", "processor", "bytes/s", "memory", "extrapolated", "ratio", "slopes")
    return table(head, rows)


def _side_by_side(book: Book) -> str:
    def cell(role: Role, duty: Duty, variant: Variant) -> str:
        for w in book.of_role(role, variant):
            if w.row.duty is duty:
                return f"{w.compared()}, {w.row.carried.status.value}"
        why = duties.ABSENT.get((role, duty))
        return why if why == "as a router" else NONE

    rows = [
        (role.value, duty.value, *(cell(role, duty, variant) for variant in Variant))
        for role in Role
        for duty in Duty
        if any(w.row.role is role and w.row.duty is duty for w in book.rows)
    ]
    return table(("role", "duty", "ratio flat", "ratio cells"), rows)


def _to(figure: Figure, limit: float, by: str) -> Ratio:
    return Ratio(figure.value / limit, figure.low / limit, figure.high / limit, by)


def _added(rest: Figure | None, more: Figure) -> Figure:
    if rest is None:
        return more
    return Figure(
        rest.value + more.value,
        rest.low + more.low,
        rest.high + more.high,
        max(rest.far, more.far),
        max(rest.under, more.under),
        more.unrun,
        more.text,
    )


def _peaks(book: Book) -> str:
    rows = []
    for burst in duties.BURSTS:
        for variant in Variant:
            besides, cells = burst.inputs(variant, book.of[variant]), []
            worst, figures = list[Ratio](), list[Figure]()
            for what, role, measure, adds, kind in duties.PEAKS:
                formula = (*adds, *duties.START_PEAK) if kind == "cpu" and burst.starting else adds
                formula = tuple(use for use in formula if all(besides.get(name, 1.0) for name in use.named()))
                figure = book.figure(formula, variant, besides)
                if role is not None:
                    sums, _ = book.sums(role, variant)
                    figure = _added(sums.get(measure), figure)
                figures.append(figure)
                cells.append(shown(figure, kind or measure))
                if kind and not figure.unrun:
                    worst.append(_to(figure, LIMITS[kind], what.partition(", of")[0]))
            ratio = str(max(worst, key=lambda found: found.value)) if worst else UNRUN
            rows.append((burst.name, variant.value, *cells, extrapolated(figures), ratio))
    head = ("burst", "variant", *(what for what, *_ in duties.PEAKS), "extrapolated", "ratio")
    return table(head, rows)


def _peaks_by(book: Book) -> str:
    rows = []
    for what, role, _, adds, _ in duties.PEAKS:
        rest = [] if role is None else [f"control in all of: {role.value}"]
        rows.append((what, " + ".join([*rest, *map(str, adds)])))
    start = " + ".join(map(str, duties.START_PEAK))
    return table(("peak", "worked out by"), [*rows, ("processor, where routers start, besides", start)])


def _seconds(book: Book, formula: Formula | str | None, variant: Variant) -> str:
    if formula is None:
        return "missing"
    if isinstance(formula, str):
        return formula
    if not formula:
        return UNRUN
    figure = book.figure(formula, variant)
    return UNRUN if figure.unrun else f"{ranged(figure, said)} s"


def _again(book: Book) -> str:
    names = list(duties.again(duties.BURSTS[0], Variant.FLAT))
    rows = []
    for burst in duties.BURSTS:
        for variant in Variant:
            found = duties.again(burst, variant)
            rows.append(
                (burst.name, variant.value, *(_seconds(book, found[name], variant) for name in names))
            )
    return table(("burst", "variant", *names), rows)


def _goes_on(book: Book) -> str:
    def rows() -> Iterator[tuple[str, ...]]:
        for burst in duties.BURSTS:
            for n, variant in enumerate(Variant):
                yield burst.name, variant.value, burst.goes[n], burst.refused[n]

    return table(("burst", "variant", "what goes on", "what is refused"), rows())


def _starts(book: Book) -> str:
    rows = []
    for what, formula, whence in duties.NEEDS:
        for variant in Variant:
            if formula is None:
                rows.append((what, variant.value, UNRUN, UNRUN, NONE, whence, NONE))
                continue
            figure = book.figure(formula, variant)
            a_second = scaled(figure.value * target.ZONE_ROUTERS / target.START_WITHIN, "B")
            rows.append(
                (
                    what,
                    variant.value,
                    shown(figure, "bytes"),
                    UNRUN if figure.unrun else a_second,
                    extrapolated([figure]),
                    whence,
                    figure.text,
                )
            )
    for what, formula in (
        ("seconds until its group agrees on who is there", duties.STARTED),
        ("seconds until it may have a part", duties.PLACED),
        ("processor seconds of its own, where all of its group start", duties.START_CPU),
    ):
        for variant in Variant:
            figure = book.figure(formula, variant)
            mark = f" {OVER}" if figure.value > target.START_WITHIN else ""
            rows.append(
                (
                    what,
                    variant.value,
                    UNRUN if figure.unrun else f"{ranged(figure, said)} s{mark}",
                    NONE,
                    extrapolated([figure]),
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
    return table(head, rows)


def _steps(book: Book, steps: tuple[Step, ...], within: float) -> str:
    rows, sums = [], dict.fromkeys(Variant, 0.0)
    short = dict.fromkeys(Variant, False)
    for step in steps:
        cells = []
        for variant in Variant:
            cells.append(_seconds(book, step.seconds, variant))
            figure = None if step.seconds is None else book.figure(step.seconds, variant)
            if figure is None or figure.unrun:
                short[variant] = True
            else:
                sums[variant] += figure.value
        figures = [] if step.seconds is None else [book.figure(step.seconds, v) for v in Variant]
        text = figures[0].text if figures else step.missing
        rows.append((step.name, step.what, *cells, extrapolated(figures), UNRUN, text))
    ends = []
    for variant in Variant:
        least, total = "at least " if short[variant] else "", sums[variant]
        mark = f" {OVER}" if total > within else ""
        ends.append(f"{least}{said(total)} s{mark}" if total else UNRUN)
    rows.append(("**in all**", f"within {within:g} s", *ends, "", "", "the sum"))
    return table(("step", "what", "flat", "cells", "extrapolated", "p99", "worked out by"), rows)


def _by_size(book: Book) -> str:
    rows = []
    for name in (
        "death_seconds",
        "divide_seconds",
        "start_seconds",
        "hollow_death_seconds",
        "hollow_config_seconds",
    ):
        found = book.slopes.get(name)
        if found is None:
            rows.append((f"`{name}`", UNRUN, "", ""))
            continue
        pairs = ", ".join(f"{said(y)} at {said(x)}" for x, y in zip(found.xs, found.ys, strict=True))
        rows.append((f"`{name}`", found.what, found.how, pairs))
    return table(("slope", "what", "how", "as measured, by size"), rows)


def _cut(book: Book) -> str:
    return table(("while regions are cut", "flat", "cells"), duties.CUT)


def _unheld(book: Book) -> str:
    rows = []
    for each in duties.UNHELD:
        found = [
            f"{w.row.role.value}, {w.row.duty.value}: {ratio}"
            for role, duty in each.rows
            for w in book.of_role(role, Variant.FLAT)
            if w.row.duty is duty and (ratio := w.ratio()) is not None and ratio.over
        ]
        if found or not each.rows:
            rows.append((each.what, "; ".join(found) or NONE, each.takes))
    return table(("what can't be held", "flat, by figure", "what it would take"), rows)


def order(book: Book, variant: Variant) -> list[Worked]:
    """What is missing or over its limit, the worst first; what has no figure last."""
    wanted = [
        w
        for w in book.rows
        if w.row.variant is variant
        and (w.row.carried.status is Status.MISSING or ((ratio := w.ratio()) is not None and ratio.over))
    ]

    def worst(w: Worked) -> float:
        ratio = w.ratio()
        return -1.0 if ratio is None else ratio.value

    return sorted(wanted, key=worst, reverse=True)


def _missing(book: Book, variant: Variant) -> str:
    rows = []
    for place, w in enumerate(order(book, variant), 1):
        rows.append(
            (
                str(place),
                w.row.role.value,
                w.row.duty.value,
                w.compared(),
                w.row.carried.status.value,
                w.row.carried.takes or w.row.carried.by,
            )
        )
    return table(("place", "role", "duty", "ratio", "status", "what it takes"), rows)


def _slopes(book: Book) -> str:
    rows = []
    for name in sorted(target.SLOPES):
        found = book.slopes.get(name)
        if found is None:
            rows.append((f"`{name}`", UNRUN, "", "", "", "", ""))
            continue
        off = f" {OFF}" if found.error > HELD_OUT else ""
        rows.append(
            (
                f"`{name}`",
                found.what,
                found.against,
                f"{found.how}, seed {found.seed}",
                f"{said(found.xs[0])} to {said(found.xs[-1])}, {len(found.xs)} sizes",
                f"{found.exponent:.2f} ({found.low:.2f} to {found.high:.2f})",
                f"{100 * found.error:.1f}%{off}",
            )
        )
    head = ("slope", "what", "against", "run", "sizes", "exponent (95%)", "error at the largest, held out")
    return table(head, rows)


def _run(book: Book) -> str:
    figures = book.results.figures
    form = {0.0: "full", 1.0: "quick"}.get(figures.get("quick", -1.0), "not said")
    told = [said(figures[name]) if name in figures else "not said" for name in ("seed", "seconds")]
    return table(("run", "form", "seed", "seconds"), [(f"`{RESULTS}`", form, *told)])


def tables(results: Results) -> dict[str, str]:
    """By the name in their markers; PageError where a cell has no size."""
    book = Book(results)
    roles = {f"role-{role.name.lower()}": _role(book, role) for role in Role}
    return {
        "run": _run(book),
        "size": _size(book),
        "inputs": _inputs(book),
        "cell": _cell(book),
        "side": _side_by_side(book),
        **roles,
        "absent": _absent(book),
        "whole": _whole(book),
        "peaks": _peaks(book),
        "peaks-by": _peaks_by(book),
        "again": _again(book),
        "goes": _goes_on(book),
        "starts": _starts(book),
        "primary": _steps(book, duties.PRIMARY_STEPS, target.PRIMARY_WITHIN),
        "configuration": _steps(book, duties.CONFIGURATION_STEPS, target.CONFIGURATION_WITHIN),
        "by-size": _by_size(book),
        "cut": _cut(book),
        "unheld": _unheld(book),
        "missing-flat": _missing(book, Variant.FLAT),
        "missing-cells": _missing(book, Variant.CELLS),
        "slopes": _slopes(book),
    }


def written(page: str, results: Results) -> str:
    """The page with its tables anew. PageError where it lacks one, has it twice or one that nobody knows."""
    found = tables(results)
    named = [name for _, name, _, _ in TABLE.findall(page)]
    for name in found:
        if named.count(name) != 1:
            raise PageError(f"the table {name} is there {named.count(name)} times")
    for name in named:
        if name not in found:
            raise PageError(f"no table is named {name}")
    return TABLE.sub(lambda match: match[1] + found[match[2]] + match[4], page)


# What is wrong with a page.


def problems(page: str, results: Results, package: Path = Path(target.__file__).parents[1]) -> list[str]:
    """A line for each; none for a page that is true to its results. PageError as `written`."""
    return [*data_wrong(results, package), *page_wrong(page, results), *marks_wrong(page), *prose_wrong(page)]


def data_wrong(results: Results, package: Path) -> Iterator[str]:
    """Slopes that nobody knows, runs that are lost, marks that are stale, and rows that claim too much."""
    there = set(results.by_name)
    for name in sorted(there - target.SLOPES):
        yield f"{name}: no slope has this name"
    for name in sorted(target.SLOPES - there - target.AWAITED):
        yield f"{name}: has no run and is not marked so"
    for name in target.FIGURES.values():
        if name not in results.figures:
            yield f"{name}: has no run and is not marked so"
    for name in sorted(there & target.AWAITED):
        yield f"{name}: has a run; take it out of AWAITED"
    for role in Role:
        for duty in Duty:
            there_is = any(row.role is role and row.duty is duty for row in duties.ROWS)
            if there_is == ((role, duty) in duties.ABSENT):
                yield f"{role.value}, {duty.value}: wants a row, or a word why there is none"
    for row in duties.ROWS:
        name = f"{row.role.value}, {row.duty.value}, {row.variant.value}"
        named = {
            slope
            for formula in row.formulas().values()
            for use in formula
            for slope, _ in (*use.slopes, *use.per)
        }
        for slope in sorted(named - target.SLOPES):
            yield f"{name}: no slope is named {slope}"
        if row.awaited == bool(named):
            why = "has a slope and is marked without a run" if named else "has no run and is not marked so"
            yield f"{name}: {why}"
        if row.carried.status is not Status.MISSING and not row.carried.files:
            yield f"{name}: {row.carried.status.value}, and no file carries it"
        for file in row.carried.files:
            if not (package / file).exists():
                yield f"{name}: {file} is not there"


def page_wrong(page: str, results: Results) -> Iterator[str]:
    found = tables(results)
    for _, name, body, _ in TABLE.findall(page):
        if body == found.get(name):
            continue
        wanted = found.get(name, "").splitlines()
        for line in body.splitlines():
            if line not in wanted:
                yield f"table {name}: not what the results say: {line[:120]}"
        for line in wanted:
            if line not in body.splitlines():
                yield f"table {name}: lacks: {line[:120]}"
        if sorted(body.splitlines()) == sorted(wanted):
            yield f"table {name}: in another order"
    written(page, results)


def marks_wrong(page: str) -> Iterator[str]:
    """By the page alone, whatever wrote it: each ratio above 1 is marked."""
    for _, name, body, _ in TABLE.findall(page):
        lines = [[cell.strip() for cell in line.strip("|").split("|")] for line in body.splitlines()]
        if not lines:
            continue
        columns = [n for n, head in enumerate(lines[0]) if head.startswith("ratio")]
        for line in lines[2:]:
            for n in columns:
                number = NUMBER.match(line[n])
                if number is None:
                    continue
                ratio = float(number[0].replace(",", ""))  # rounded: 1 may be either side
                if ratio > 1.0 and OVER not in line[n]:
                    yield f"table {name}: a limit is passed and not marked: {line[n]}"
                if ratio < 1.0 and OVER in line[n]:
                    yield f"table {name}: marked, and no limit is passed: {line[n]}"


def prose_wrong(page: str) -> Iterator[str]:
    """Figures between the tables that no table holds."""
    bodies = {number for _, _, body, _ in TABLE.findall(page) for number in NUMBER.findall(body)}
    for line in TABLE.sub("", page).splitlines():
        for number in NUMBER.findall(line):
            if number not in bodies:
                yield f"prose: no table holds {number}: {line[:120]}"
