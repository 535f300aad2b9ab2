"""The size that the fleet is to have, what control may cost there, and how a cost is worked out from slopes.

It owns the operators' figures, the limits, the list of slopes, formulas, and the size of a cell. It must
never hold a measured figure: those come from a results file.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

# The operators' own.

ROUTERS, ENGINES = 4_600, 10_000
CLIENTS, STATEMENTS = 10_000_000, 2_800_000  # connections; a second
REGIONS, ZONES, MACHINES = 6, 17, 7
ZONE_ROUTERS, ZONE_ENGINES, ZONE_CLIENTS = 271, 590, 590_000
PRIMARIES, CONFIGURATIONS = 20, 2_400  # changes a day
PRIMARY_WITHIN, CONFIGURATION_WITHIN, START_WITHIN = 13.0, 10.0, 10.0  # seconds
FAILED, RESTARTED, TENTH = 35, 1_200, 0.1  # machines on an ordinary day; restarted; part of it at a time
DAY = 86_400.0

# Control, at most, each router; a machine's or another's core.

CORE = 1.0
CPU, MEMORY, BYTES = 0.018, 32e6, 6_000.0

SLOPES = frozenset(
    """member_cpu member_bytes member_datagrams member_state divider_bytes divider_datagrams divider_cpu
    start_cpu start_seconds start_bytes death_seconds restart_bytes loss_bytes divide_seconds
    hollow_cpu hollow_bytes hollow_datagrams hollow_divider_bytes hollow_divider_cpu hollow_state
    hollow_death_seconds hollow_list_cpu hollow_config_seconds hollow_config_cpu
    decide_known decide_new decide_groups decide_tenants decide_held listed_cpu engine_state list_bytes
    list_cpu ledger_cpu ledger_state ledger_datagrams report_bytes purse_state client_state client_cpu
    door_state config_cpu
    cell_cpu cell_bytes cell_state cell_leader_cpu cell_leader_bytes cell_leader_state
    level_cpu level_bytes level_state""".split()
)
# Those that have no run yet. One that gets a run is taken out here, so that losing it again is seen.
AWAITED = frozenset(
    """hollow_cpu hollow_bytes hollow_datagrams hollow_divider_bytes hollow_divider_cpu hollow_state
    hollow_death_seconds hollow_list_cpu hollow_config_seconds hollow_config_cpu
    cell_cpu cell_bytes cell_state cell_leader_cpu cell_leader_bytes cell_leader_state
    level_cpu level_bytes level_state""".split()
)


# Figures of a run that formulas use besides, as a results file calls them; none rises with a size.
FIGURES = {"home": "homes_bytes_an_engine_and_table_group"}


class Curve(Protocol):
    def at(self, x: float) -> float: ...


class Measured(Curve, Protocol):
    """As `slopes.Slope` is."""

    def between(self, x: float) -> tuple[float, float]: ...

    def times(self, x: float) -> float: ...

    @property
    def xs(self) -> tuple[float, ...]: ...


class Variant(Enum):
    FLAT = "flat"
    CELLS = "cells"


class Kind(Enum):
    """Of an input: whose figure it is."""

    OPERATORS = "operators"
    SHARE = "operators, divided"
    CODE = "the code"
    SLOPES = "worked out from slopes"
    RUN = "the run"
    ASSUMED = "assumed"


@dataclass(frozen=True)
class Input:
    """values: by variant, in the order of `Variant`."""

    name: str
    meaning: str
    kind: Kind
    values: tuple[float, float]


# Of the code and the protocol.
ASKS, ANSWER, TOLD = 2.0, 8_000.0, 1.5  # of the list: a second, bytes at most, seconds
HOMES = 1_024.0  # table groups whose homes are kept, at most
REPORTS, FEWEST = 5.0, 5  # of budgets: a second, entries of a datagram at least, of units below 65,536
# Of budgets, in seconds: by default; and by which an engine has ended what nobody asks for.
LEASE, SETTLE, QUIET = 3.0, 4.0, 2.3
TERM, DRIFT = 2.4, 0.02  # for which a start has no vote, lengthened by the bound on clocks
# Assumed, until the operators say.
TENANTS, SHARED, COLD_TIME, RESTART, RACK, WORDS, FIRST = 1_000.0, 10.0, 600.0, 30.0, 40.0, 200.0, 0.01


@dataclass(frozen=True)
class Allowance:
    """What a router's cell may cost it, all in all, and which part each duty may take of that.

    cpu: processor seconds a second; bytes: a second; state: bytes. core: part of a core that decisions may
    take at `commands` a second. answer: bytes of an answer of the list. reads: whole answers of the list that
    a router reads in a second. membership, listing: parts of cpu and state, and membership's of bytes."""

    cpu: float = CPU
    bytes: float = BYTES
    state: float = MEMORY
    core: float = 0.1
    commands: float = STATEMENTS / ROUTERS
    answer: float = ANSWER
    reads: float = (FAILED + RESTARTED) / DAY
    membership: float = 0.5
    listing: float = 0.25
    engines: float = ENGINES / ROUTERS  # for each router

    def scaled(self, by: float) -> Allowance:
        """As much of everything, `by` times."""
        return replace(
            self,
            cpu=self.cpu * by,
            bytes=self.bytes * by,
            state=self.state * by,
            core=self.core * by,
            answer=self.answer * by,
        )


def bounds(slopes: Mapping[str, Curve], a: Allowance) -> dict[str, Callable[[int], float]]:
    """By what a cell is bound: each gives the part that a cell of so many routers, with its engines, takes of
    what it may. KeyError where a slope has no run."""

    def listed(routers: int) -> int:
        return max(1, math.ceil(routers * a.engines))

    def of(name: str) -> Callable[[float], float]:
        return slopes[name].at  # a slope without a run is found here, not at the first size

    leader_cpu, leader_bytes, member_state = of("divider_cpu"), of("divider_bytes"), of("member_state")
    answer, read, taken = of("list_bytes"), of("list_cpu"), of("listed_cpu")
    known, command = of("engine_state"), of("decide_known")
    return {
        "membership, processor time": lambda r: leader_cpu(r) / (a.membership * a.cpu),
        "membership, bytes": lambda r: leader_bytes(r) / (a.membership * a.bytes),
        "membership, memory": lambda r: member_state(r) / (a.membership * a.state),
        "list, bytes of an answer": lambda r: answer(listed(r)) / a.answer,
        "list, processor time": lambda r: (
            a.reads * (read(listed(r)) + taken(listed(r))) / (a.listing * a.cpu)
        ),
        "list, memory": lambda r: known(listed(r)) / (a.listing * a.state),
        "a command's processor time": lambda r: a.commands * command(listed(r)) / a.core,
    }


def largest(part: Callable[[int], float], most: int = ROUTERS) -> int:
    """The largest number of routers that takes no more than it may; 1 where none does."""
    low, high = 1, most
    while low < high:
        middle = (low + high + 1) // 2
        low, high = (middle, high) if part(middle) <= 1.0 else (low, middle - 1)
    return low


def cell_size(slopes: Mapping[str, Curve], allowance: Allowance | None = None) -> tuple[int, int, str]:
    """Routers and engines of the largest cell within the allowance, and by what it is bound. KeyError where a
    slope has no run."""
    a = allowance or Allowance()
    by = {what: largest(part) for what, part in bounds(slopes, a).items()}
    what = min(by, key=lambda name: by[name])
    return by[what], max(1, math.ceil(by[what] * a.engines)), what


# Formulas.


@dataclass(frozen=True)
class Use:
    """Inputs multiplied with each other and with what slopes say at inputs; `over` and `per` divide."""

    times: tuple[str, ...] = ()
    slopes: tuple[tuple[str, str], ...] = ()  # name, the input that it is taken at
    over: tuple[str, ...] = ()
    per: tuple[tuple[str, str], ...] = ()

    def named(self) -> tuple[str, ...]:
        """Its inputs."""
        return (*self.times, *self.over, *[at for _, at in (*self.slopes, *self.per)])

    def __str__(self) -> str:
        up = [*self.times, *[f"{name}({at})" for name, at in self.slopes]]
        down = [*self.over, *[f"{name}({at})" for name, at in self.per]]
        return " × ".join(up) + "".join(f" / {what}" for what in down)


Formula = tuple[Use, ...]  # a sum


def slope(name: str, at: str, *times: str) -> Formula:
    return (Use(times, ((name, at),)),)


def product(*times: str, over: tuple[str, ...] = ()) -> Formula:
    return (Use(times, (), over),)


@dataclass(frozen=True)
class Figure:
    """value, and where it lies by the slopes' intervals; far, under: how many times beyond the largest size
    that was measured, and below the smallest, the worst of the slopes; unrun: slopes that have no run,
    without which there is no value."""

    value: float
    low: float
    high: float
    far: float
    under: float
    unrun: frozenset[str]
    text: str


def worked(formula: Formula, slopes: Mapping[str, Measured], inputs: Mapping[str, float]) -> Figure:
    """KeyError where a formula names an input or a slope that nobody knows."""
    value = low = high = far = under = 0.0
    unrun = {
        FIGURES[name]
        for use in formula
        for name in (*use.times, *use.over)
        if name in FIGURES and name not in inputs
    }
    inputs = {**dict.fromkeys(FIGURES, 1.0), **inputs}
    for use in formula:
        times = math.prod(inputs[name] for name in use.times) / math.prod(inputs[name] for name in use.over)
        mid, least, most = times, times, times
        for up, named in ((True, use.slopes), (False, use.per)):
            for name, at in named:
                if name not in SLOPES:
                    raise KeyError(f"no slope is named {name}")
                x = inputs[at]
                if name not in slopes:
                    unrun.add(name)
                    continue
                curve = slopes[name]
                y, (a, b) = curve.at(x), curve.between(x)
                a, b = min(a, y), max(b, y)
                far, under = max(far, curve.times(x)), max(under, curve.xs[0] / x)
                if up:
                    mid, least, most = mid * y, least * a, most * b
                else:
                    mid, least, most = mid / y, least / max(b, 1e-12), most / max(a, 1e-12)
        value, low, high = value + mid, low + least, high + most
    return Figure(value, low, high, far, under, frozenset(unrun), " + ".join(map(str, formula)))


def inputs(slopes: Mapping[str, Curve], figures: Mapping[str, float]) -> list[Input]:
    """All that formulas may name. figures: of the run, by the names of its file. A cell's size is worked out;
    KeyError where the slopes for that have no run."""
    routers, engines, _ = cell_size(slopes)
    cells = float(math.ceil(ROUTERS / routers))

    def both(value: float) -> tuple[float, float]:
        return value, value

    def known(of_fleet: float) -> tuple[float, float]:
        """Of what the fleet's engines have together, what those that a router knows have."""
        return of_fleet, of_fleet * engines / ENGINES

    def full(entries: tuple[float, float]) -> tuple[float, float]:
        """Datagrams that carry so many entries of budgets."""
        flat, cell = (float(math.ceil(count / FEWEST)) for count in entries)
        return flat, cell

    restarted = (FAILED + RESTARTED) * ENGINES / (ROUTERS + ENGINES)
    cold_flat, cold_cell = known(restarted * COLD_TIME / DAY)
    cold = max(cold_flat, 1.0), max(cold_cell, 1.0)
    budgets = ENGINES + SHARED, engines + SHARED
    share = STATEMENTS / ROUTERS
    changes = (FAILED + RESTARTED) / DAY
    in_region, in_fleet = cells / REGIONS, float(REGIONS)
    o, s, c, w, a = Kind.OPERATORS, Kind.SHARE, Kind.CODE, Kind.SLOPES, Kind.ASSUMED
    measured = [
        Input(name, "bytes of a home, an engine and table group", Kind.RUN, both(figures[key]))
        for name, key in FIGURES.items()
        if key in figures
    ]
    return [
        *measured,
        Input("routers", "that a router knows: its group, its cell", w, (float(ROUTERS), float(routers))),
        Input("engines", "that a router is listed", w, (float(ENGINES), float(engines))),
        Input("fleet", "routers in all", o, both(float(ROUTERS))),
        Input("cells", "of the fleet", w, (1.0, cells)),
        Input("cells_of_region", "that the level of a region hears", w, (0.0, in_region)),
        Input("regions", "that the level of the fleet hears", o, both(in_fleet)),
        Input("commands", "a second at each router", s, both(share)),
        Input("first", "part of the commands whose table group was not seen before", a, both(FIRST)),
        Input("clients", "connections of clients at each router", s, both(CLIENTS / ROUTERS)),
        Input("members", "that the door knows: each connection one of its own", a, both(CLIENTS / ROUTERS)),
        Input("tenants", "in the settings", a, both(TENANTS)),
        Input("groups", "table groups whose homes a router keeps, at most", c, both(HOMES)),
        Input("asks", "of the list a second, each router", c, both(ASKS)),
        Input("reports", "of budgets a second, each router", c, both(REPORTS)),
        Input("two", "a question and its answer", c, both(2.0)),
        Input("one", "a single budget", c, both(1.0)),
        Input("budgets", "one for each engine listed, and those shared", a, budgets),
        Input("shared", "budgets of the fleet that are no engine's", a, both(SHARED)),
        Input("shared_datagrams", "of one round of reports on those", a, full(both(SHARED))),
        Input("region_books", "those times cells of a region", a, (0.0, SHARED * in_region)),
        Input("fleet_books", "those times regions", a, both(SHARED * in_fleet)),
        Input("datagrams", "of one round of those reports, the fewest entries in each", a, full(budgets)),
        Input("cold", "engines that are cold at a time on an ordinary day", a, cold),
        Input("cold_datagrams", "of one round of reports on those", a, full(cold)),
        Input("books", "budgets times routers", a, (budgets[0] * ROUTERS, budgets[1] * routers)),
        Input("cold_books", "the same of cold engines", a, (cold[0] * ROUTERS, cold[1] * routers)),
        Input("configurations", "a second, mean of a day", s, both(CONFIGURATIONS / DAY)),
        Input("primaries", "changes a second, mean of a day", s, both(PRIMARIES / DAY)),
        Input("changes", "machines that fail or restart a second, mean of a day", s, both(changes)),
        Input("seen", "of those, in what a router knows", s, known(changes)),
        Input("lines", "of the log for a change: suspected, gone, up", c, both(3.0)),
        Input("words", "bytes of a line of the log", a, both(WORDS)),
    ]


def by_name(found: list[Input], variant: Variant) -> dict[str, float]:
    place = list(Variant).index(variant)
    return {each.name: each.values[place] for each in found}
