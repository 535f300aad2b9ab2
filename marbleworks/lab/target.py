"""Size of the target fleet, limits on the cost of control, and how costs are computed from slopes.

The module owns the operators' figures, the limits, the list of slopes, the formulas and the size of a cell.
It must never hold a measured figure, because those come from a results file.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

# Figures of the operators.

ROUTERS, ENGINES = 4_600, 10_000
# Client connections, and statements per second.
CLIENTS, STATEMENTS = 10_000_000, 2_800_000
REGIONS, ZONES, MACHINES = 6, 17, 7
ZONE_ROUTERS, ZONE_ENGINES, ZONE_CLIENTS = 271, 590, 590_000
PRIMARIES, CONFIGURATIONS = 20, 2_400  # changes per day
# Seconds within which a change of primary, a configuration and a start have to be complete.
PRIMARY_WITHIN, CONFIGURATION_WITHIN, START_WITHIN = 13.0, 10.0, 10.0
# Machines that fail and that are restarted on an ordinary day; fraction of the fleet restarted at a time.
FAILED, RESTARTED, RESTART_FRACTION = 35, 1_200, 0.1
DAY = 86_400.0

# Limits on the cost of control.

CORE = 1.0  # processor seconds per second, on a machine or at a source set aside for control
# At each router: processor seconds per second, bytes of memory, and bytes per second on the network.
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
# Slopes that have no run yet. Remove a slope here when it gets a run, so that a later loss of the run is
# noticed.
SLOPES_WITHOUT_RUN = frozenset(
    """hollow_cpu hollow_bytes hollow_datagrams hollow_divider_bytes hollow_divider_cpu hollow_state
    hollow_death_seconds hollow_list_cpu hollow_config_seconds hollow_config_cpu
    cell_cpu cell_bytes cell_state cell_leader_cpu cell_leader_bytes cell_leader_state
    level_cpu level_bytes level_state""".split()
)


# Figures of a run that formulas use by name, with the key in the results file; none depends on a size.
FIGURES = {"home": "homes_bytes_an_engine_and_table_group"}


class Curve(Protocol):
    """A cost as a function of a size."""

    def value_at(self, x: float) -> float:
        """Returns the cost at a size."""
        ...


class Measured(Curve, Protocol):
    """A measured cost with its confidence interval, as `slopes.Slope` is."""

    def range_at(self, x: float) -> tuple[float, float]:
        """Returns the interval of the cost at a size."""
        ...

    def extrapolation_ratio(self, x: float) -> float:
        """Returns how many times a size is beyond the largest measured size."""
        ...

    @property
    def xs(self) -> tuple[float, ...]:
        """The measured sizes in ascending order."""
        ...


class Variant(Enum):
    """How the fleet is organised: as one group, or in cells."""

    FLAT = "flat"
    CELLS = "cells"


class Kind(Enum):
    """Origin of an input."""

    OPERATORS = "operators"
    SHARE = "operators, divided"
    CODE = "the code"
    SLOPES = "worked out from slopes"
    RUN = "the run"
    ASSUMED = "assumed"


@dataclass(frozen=True)
class Input:
    """A quantity that formulas may name.

    Attributes:
        name: Name in formulas.
        meaning: Description for the capacity page.
        kind: Origin.
        values: Value for each variant, in the order of `Variant`.
    """

    name: str
    meaning: str
    kind: Kind
    values: tuple[float, float]


# Constants of the code and the protocol.

# Engine list: requests per second of each router, most bytes of a response, and seconds in which a change
# propagates.
LIST_REQUESTS_PER_S, MAX_LIST_BYTES, LIST_PROPAGATION_S = 2.0, 8_000.0, 1.5
HOMES = 1_024.0  # most table groups whose homes a router keeps
# Budgets: reports per second, and the fewest entries that fill a datagram if units are below 65,536.
REPORTS_PER_S, MIN_DATAGRAM_ENTRIES = 5.0, 5
# Budgets, in seconds: defaults of lease and settle time, and the time after which an engine has ended an
# abandoned attempt.
LEASE, SETTLE, ABANDONED_ATTEMPT_TIMEOUT_S = 3.0, 4.0, 2.3
# Seconds for which a started process has no vote, and the bound on clock drift, which lengthens them.
TERM, DRIFT = 2.4, 0.02

# Assumptions, until the operators provide figures: tenants; budgets of the fleet that are no engine's;
# seconds for which an engine is cold; seconds that a restart takes; machines in a rack; bytes of a log line;
# fraction of requests whose table group is new to the router.
TENANTS, SHARED_BUDGETS, COLD_S, RESTART_S, RACK_MACHINES, LOG_LINE_BYTES, NEW_TABLE_GROUP_FRACTION = (
    1_000.0,
    10.0,
    600.0,
    30.0,
    40.0,
    200.0,
    0.01,
)


@dataclass(frozen=True)
class Allowance:
    """What the cell of a router may cost the router, and the fraction that each duty may take of that.

    Attributes:
        cpu: Processor seconds per second.
        bytes: Bytes per second.
        state: Bytes of memory.
        core: Fraction of a core that scheduling decisions may take at `commands`.
        commands: Requests per second at a router.
        answer: Bytes of a response of the engine list.
        reads: Whole engine lists that a router reads per second.
        membership: Fraction of `cpu`, `state` and `bytes` for membership.
        engine_list: Fraction of `cpu` and `state` for the engine list.
        engines: Engines for each router.
    """

    cpu: float = CPU
    bytes: float = BYTES
    state: float = MEMORY
    core: float = 0.1
    commands: float = STATEMENTS / ROUTERS
    answer: float = MAX_LIST_BYTES
    reads: float = (FAILED + RESTARTED) / DAY
    membership: float = 0.5
    engine_list: float = 0.25
    engines: float = ENGINES / ROUTERS

    def scaled(self, by: float) -> Allowance:
        """Returns an allowance that has `by` times as much of every cost."""
        return replace(
            self,
            cpu=self.cpu * by,
            bytes=self.bytes * by,
            state=self.state * by,
            core=self.core * by,
            answer=self.answer * by,
        )


def bounds(slopes: Mapping[str, Curve], allowance: Allowance) -> dict[str, Callable[[int], float]]:
    """Returns the limits on the size of a cell, by name.

    Each is a function of the number of routers. It gives the cost of a cell of that size, with its engines,
    as a fraction of what is allowed.

    Raises:
        KeyError: A slope has no run.
    """

    def listed(routers: int) -> int:
        """Returns the number of engines in a cell of so many routers."""
        return max(1, math.ceil(routers * allowance.engines))

    def curve_of(name: str) -> Callable[[float], float]:
        # Looked up now, so that a slope without a run fails here and not at the first size.
        return slopes[name].value_at

    leader_cpu, leader_bytes, member_state = (
        curve_of("divider_cpu"),
        curve_of("divider_bytes"),
        curve_of("member_state"),
    )
    answer_bytes, list_read, list_update = (
        curve_of("list_bytes"),
        curve_of("list_cpu"),
        curve_of("listed_cpu"),
    )
    engine_state, decision = curve_of("engine_state"), curve_of("decide_known")
    return {
        "membership, processor time": lambda count: leader_cpu(count)
        / (allowance.membership * allowance.cpu),
        "membership, bytes": lambda count: leader_bytes(count) / (allowance.membership * allowance.bytes),
        "membership, memory": lambda count: member_state(count) / (allowance.membership * allowance.state),
        "list, bytes of an answer": lambda count: answer_bytes(listed(count)) / allowance.answer,
        "list, processor time": lambda count: (
            allowance.reads
            * (list_read(listed(count)) + list_update(listed(count)))
            / (allowance.engine_list * allowance.cpu)
        ),
        "list, memory": lambda count: engine_state(listed(count)) / (allowance.engine_list * allowance.state),
        "a command's processor time": lambda count: allowance.commands
        * decision(listed(count))
        / allowance.core,
    }


def largest(fraction: Callable[[int], float], max_routers: int = ROUTERS) -> int:
    """Returns the largest number of routers whose fraction is at most 1; 1 if there is none."""
    low, high = 1, max_routers
    while low < high:
        middle = (low + high + 1) // 2
        low, high = (middle, high) if fraction(middle) <= 1.0 else (low, middle - 1)
    return low


def cell_size(slopes: Mapping[str, Curve], allowance: Allowance | None = None) -> tuple[int, int, str]:
    """Returns the routers and engines of the largest cell within the allowance, and the limit that binds.

    Raises:
        KeyError: A slope has no run.
    """
    limits = allowance or Allowance()
    sizes = {tightest: largest(fraction) for tightest, fraction in bounds(slopes, limits).items()}
    tightest = min(sizes, key=lambda name: sizes[name])
    return sizes[tightest], max(1, math.ceil(sizes[tightest] * limits.engines)), tightest


# Formulas.


@dataclass(frozen=True)
class Use:
    """A product of inputs and of slopes at inputs; `over` and `per` divide it.

    Attributes:
        times: Inputs that multiply.
        slopes: Slopes that multiply, each with the input at which it is taken.
        over: Inputs that divide.
        per: Slopes that divide, each with the input at which it is taken.
    """

    times: tuple[str, ...] = ()
    slopes: tuple[tuple[str, str], ...] = ()
    over: tuple[str, ...] = ()
    per: tuple[tuple[str, str], ...] = ()

    def named(self) -> tuple[str, ...]:
        """Returns the names of its inputs."""
        return (*self.times, *self.over, *[at for _, at in (*self.slopes, *self.per)])

    def __str__(self) -> str:
        factors = [*self.times, *[f"{name}({at})" for name, at in self.slopes]]
        divisors = [*self.over, *[f"{name}({at})" for name, at in self.per]]
        return " × ".join(factors) + "".join(f" / {divisor}" for divisor in divisors)


Formula = tuple[Use, ...]  # a sum


def slope(name: str, at: str, *times: str) -> Formula:
    """Returns the formula of a slope at an input, multiplied by further inputs."""
    return (Use(times, ((name, at),)),)


def product(*times: str, over: tuple[str, ...] = ()) -> Formula:
    """Returns the formula of a product of inputs, divided by the inputs `over`."""
    return (Use(times, (), over),)


@dataclass(frozen=True)
class Figure:
    """The value of a formula.

    Attributes:
        value: The value.
        low: Lower end of its interval, by the intervals of the slopes.
        high: Upper end of its interval.
        times_beyond: How many times beyond the largest measured size it was computed; the worst of the
            slopes.
        times_below: How many times below the smallest measured size it was computed; the worst of the slopes.
        slopes_without_run: Slopes that have no run. If there are any, the value is meaningless.
        text: The formula as text.
    """

    value: float
    low: float
    high: float
    times_beyond: float
    times_below: float
    slopes_without_run: frozenset[str]
    text: str


def evaluate(formula: Formula, slopes: Mapping[str, Measured], inputs: Mapping[str, float]) -> Figure:
    """Computes a formula.

    Raises:
        KeyError: The formula names an unknown input or slope.
    """
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
        middle, lowest, highest = times, times, times
        for multiplies, named in ((True, use.slopes), (False, use.per)):
            for name, at in named:
                if name not in SLOPES:
                    raise KeyError(f"no slope is named {name}")
                size = inputs[at]
                if name not in slopes:
                    unrun.add(name)
                    continue
                curve = slopes[name]
                cost, (cost_low, cost_high) = curve.value_at(size), curve.range_at(size)
                cost_low, cost_high = min(cost_low, cost), max(cost_high, cost)
                far, under = max(far, curve.extrapolation_ratio(size)), max(under, curve.xs[0] / size)
                if multiplies:
                    middle, lowest, highest = middle * cost, lowest * cost_low, highest * cost_high
                else:
                    middle, lowest, highest = (
                        middle / cost,
                        lowest / max(cost_high, 1e-12),
                        highest / max(cost_low, 1e-12),
                    )
        value, low, high = value + middle, low + lowest, high + highest
    return Figure(value, low, high, far, under, frozenset(unrun), " + ".join(map(str, formula)))


def inputs(slopes: Mapping[str, Curve], figures: Mapping[str, float]) -> list[Input]:
    """Returns all inputs that formulas may name.

    Args:
        slopes: Slopes by name; the size of a cell is computed from them.
        figures: Figures of the run by the names in its results file.

    Raises:
        KeyError: A slope that the size of a cell needs has no run.
    """
    routers, engines, _ = cell_size(slopes)
    cells = float(math.ceil(ROUTERS / routers))

    def both(value: float) -> tuple[float, float]:
        return value, value

    def known_part(of_fleet: float) -> tuple[float, float]:
        """Returns a quantity of all engines of the fleet, and the part of the engines that a router knows."""
        return of_fleet, of_fleet * engines / ENGINES

    def datagrams_for(entries: tuple[float, float]) -> tuple[float, float]:
        """Returns the number of datagrams that carry so many budget entries."""
        flat, cell = (float(math.ceil(count / MIN_DATAGRAM_ENTRIES)) for count in entries)
        return flat, cell

    restarted = (FAILED + RESTARTED) * ENGINES / (ROUTERS + ENGINES)
    cold_flat, cold_cell = known_part(restarted * COLD_S / DAY)
    cold = max(cold_flat, 1.0), max(cold_cell, 1.0)
    budgets = ENGINES + SHARED_BUDGETS, engines + SHARED_BUDGETS
    share = STATEMENTS / ROUTERS
    changes = (FAILED + RESTARTED) / DAY
    in_region, in_fleet = cells / REGIONS, float(REGIONS)
    operators, share_of_operators, code, from_slopes, assumed = (
        Kind.OPERATORS,
        Kind.SHARE,
        Kind.CODE,
        Kind.SLOPES,
        Kind.ASSUMED,
    )
    measured = [
        Input(name, "bytes of a home, an engine and table group", Kind.RUN, both(figures[key]))
        for name, key in FIGURES.items()
        if key in figures
    ]
    return [
        *measured,
        Input(
            "routers",
            "that a router knows: its group, its cell",
            from_slopes,
            (float(ROUTERS), float(routers)),
        ),
        Input("engines", "that a router is listed", from_slopes, (float(ENGINES), float(engines))),
        Input("fleet", "routers in all", operators, both(float(ROUTERS))),
        Input("cells", "of the fleet", from_slopes, (1.0, cells)),
        Input("cells_of_region", "that the level of a region hears", from_slopes, (0.0, in_region)),
        Input("regions", "that the level of the fleet hears", operators, both(in_fleet)),
        Input("commands", "a second at each router", share_of_operators, both(share)),
        Input(
            "first",
            "part of the commands whose table group was not seen before",
            assumed,
            both(NEW_TABLE_GROUP_FRACTION),
        ),
        Input(
            "clients", "connections of clients at each router", share_of_operators, both(CLIENTS / ROUTERS)
        ),
        Input(
            "members", "that the door knows: each connection one of its own", assumed, both(CLIENTS / ROUTERS)
        ),
        Input("tenants", "in the settings", assumed, both(TENANTS)),
        Input("groups", "table groups whose homes a router keeps, at most", code, both(HOMES)),
        Input("asks", "of the list a second, each router", code, both(LIST_REQUESTS_PER_S)),
        Input("reports", "of budgets a second, each router", code, both(REPORTS_PER_S)),
        Input("two", "a question and its answer", code, both(2.0)),
        Input("one", "a single budget", code, both(1.0)),
        Input("budgets", "one for each engine listed, and those shared", assumed, budgets),
        Input("shared", "budgets of the fleet that are no engine's", assumed, both(SHARED_BUDGETS)),
        Input(
            "shared_datagrams",
            "of one round of reports on those",
            assumed,
            datagrams_for(both(SHARED_BUDGETS)),
        ),
        Input("region_books", "those times cells of a region", assumed, (0.0, SHARED_BUDGETS * in_region)),
        Input("fleet_books", "those times regions", assumed, both(SHARED_BUDGETS * in_fleet)),
        Input(
            "datagrams",
            "of one round of those reports, the fewest entries in each",
            assumed,
            datagrams_for(budgets),
        ),
        Input("cold", "engines that are cold at a time on an ordinary day", assumed, cold),
        Input("cold_datagrams", "of one round of reports on those", assumed, datagrams_for(cold)),
        Input("books", "budgets times routers", assumed, (budgets[0] * ROUTERS, budgets[1] * routers)),
        Input("cold_books", "the same of cold engines", assumed, (cold[0] * ROUTERS, cold[1] * routers)),
        Input("configurations", "a second, mean of a day", share_of_operators, both(CONFIGURATIONS / DAY)),
        Input("primaries", "changes a second, mean of a day", share_of_operators, both(PRIMARIES / DAY)),
        Input(
            "changes",
            "machines that fail or restart a second, mean of a day",
            share_of_operators,
            both(changes),
        ),
        Input("seen", "of those, in what a router knows", share_of_operators, known_part(changes)),
        Input("lines", "of the log for a change: suspected, gone, up", code, both(3.0)),
        Input("words", "bytes of a line of the log", assumed, both(LOG_LINE_BYTES)),
    ]


def by_name(all_inputs: list[Input], variant: Variant) -> dict[str, float]:
    """Returns the values of the inputs for a variant, by name."""
    index = list(Variant).index(variant)
    return {one_input.name: one_input.values[index] for one_input in all_inputs}
