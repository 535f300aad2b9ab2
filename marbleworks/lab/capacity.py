"""The experiment of capacity: how each cost of a router grows with what a fleet grows by, and what that comes
to at 4,600 routers before 10,000 engines where all know all.

It owns the sizes that are measured, the names of the slopes and what is worked out from them. It must never
work out a figure without the range of its exponent and how far beyond the measured sizes it lies.
"""

from __future__ import annotations

import importlib
import importlib.util
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from marbleworks.lab import flat, sizes
from marbleworks.lab.report import Report
from marbleworks.lab.slopes import Slopes, fitted

HELD_OUT = 0.15  # of what was measured at the largest size; by how much a prediction may be off
ALIKE = 0.15  # part by which simulated and hollow routers may differ where both were measured
FLEET, LISTED, SERVED, CLIENTS = (
    4600,
    10_000,
    609,
    2174,
)  # routers, engines; of one: statements a second, lines
CPU, BYTES, STATE, ANSWER = 0.018, 6_000, 32e6, 8_000  # allowed: of a core, a second, in all; of an answer
REPORTS = 5  # a second, of a router to whoever divides
# Engines' budgets of which a router has something to report, where each engine has one: a flow is told for
# 1.6 s after a command came (to a hundredth, by FLOWS_OVER), and 609 a second go to as many engines.
BUSY = 1000

ROUTERS, PERCENT, RATE = "routers in a group", "datagrams lost, percent", "restarts a second, group of 48"
NAMES = {  # what is measured, with its unit, and against what; docs/CAPACITY.md calls them by these names
    "member_cpu": ("processor seconds a second of one router, mean", ROUTERS),
    "member_bytes": ("bytes a second sent by one router, mean", ROUTERS),
    "member_datagrams": ("datagrams a second sent by one router, mean", ROUTERS),
    "member_state": ("bytes of state of membership and rights at one router", ROUTERS),
    "divider_bytes": ("bytes a second sent by the busiest router", ROUTERS),
    "divider_datagrams": ("datagrams a second sent by the busiest router", ROUTERS),
    "divider_cpu": ("processor seconds a second of the busiest router", ROUTERS),
    "start_cpu": ("processor seconds of all routers for a group's start", ROUTERS),
    "start_seconds": ("seconds until a group that starts agrees", ROUTERS),
    "start_bytes": ("bytes that one starting router sends and hears until it agrees", ROUTERS),
    "death_seconds": ("seconds until a death is known, median", ROUTERS),
    "divide_seconds": ("seconds until a division anew is active after a death", ROUTERS),
    "restart_bytes": ("bytes a second sent by one router, mean", RATE),
    "loss_bytes": ("bytes a second sent by one router, mean", PERCENT),
    "decide_known": ("processor seconds for a command of a table group seen before", "engines listed"),
    "decide_new": ("processor seconds for a command of a table group not seen before", "engines listed"),
    "decide_groups": ("processor seconds for a command", "table groups"),
    "decide_tenants": ("processor seconds for a command", "tenants"),
    "decide_held": ("processor seconds for a review", "commands held"),
    "listed_cpu": ("processor seconds to take over a whole list in the scheduler", "engines listed"),
    "engine_state": ("bytes of state in the scheduler", "engines listed"),
    "list_bytes": ("bytes of an answer of the list", "engines listed"),
    "list_cpu": ("processor seconds to read an answer of the list", "engines listed"),
    "ledger_cpu": ("processor seconds of the divider a report", "routers"),
    "ledger_state": ("bytes of the divider's books", "budgets times routers"),
    "ledger_datagrams": ("datagrams a second at the divider, in and out", "routers"),
    "report_bytes": ("bytes of one router's reports in one round", "budgets"),
    "purse_state": ("bytes of one router's parts", "budgets"),
    "client_state": ("bytes of one router for its idle client connections", "connections"),
    "client_cpu": ("processor seconds a second of one router with idle connections", "connections"),
    "door_state": ("bytes of the door", "members known"),
    "config_cpu": ("processor seconds to read a configuration's settings anew", "tenants"),
}


@dataclass(frozen=True)
class Plan:
    """What a run measures. Sizes rise, and the largest of each is held out. starts, deaths: how often, by the
    size of the group; rated: seconds of each rate of restarts or loss; looks: at idle connections."""

    groups: tuple[int, ...]
    starts: tuple[int, ...]
    deaths: tuple[int, ...]
    rates: tuple[float, ...]
    percents: tuple[float, ...]
    rated: float
    engines: tuple[int, ...]
    answers: tuple[int, ...]
    table_groups: tuple[int, ...]
    tenants: tuple[int, ...]
    held: tuple[int, ...]
    dividers: tuple[int, ...]
    books: tuple[tuple[int, int], ...]  # budgets and routers
    budgets: tuple[int, ...]
    members: tuple[int, ...]
    clients: tuple[int, ...]
    looks: int
    passes: int


QUICK = Plan(
    groups=(9, 12, 15, 18, 22, 26, 32, 40),
    starts=(25, 25, 21, 15, 11, 11, 9, 7),
    deaths=(7, 7, 7, 7, 5, 5, 5, 5),
    rates=(0.5, 1.0, 1.5, 2.0, 3.0, 4.0),
    percents=(2.0, 4.0, 7.0, 10.0, 15.0, 20.0),
    rated=5.0,
    engines=(50, 100, 200, 350, 500, 700, 1000),
    answers=(50, 100, 150, 200, 300, 400, 500),
    table_groups=(16, 32, 64, 128, 256, 512),
    tenants=(50, 100, 200, 400, 700, 1000, 1500),
    held=(50, 100, 200, 300, 400, 600, 800),
    dividers=(6, 12, 24, 48, 72, 96),
    books=((6, 6), (6, 12), (12, 12), (12, 24), (24, 24), (24, 48)),
    budgets=(25, 50, 75, 100, 150, 200),
    members=(64, 128, 256, 512, 768, 1024),
    clients=(50, 100, 200, 300, 400, 500),
    looks=2,
    passes=7,
)
FULL = Plan(
    groups=(12, 18, 24, 36, 48, 72, 96, 120, 160, 200),
    starts=(25, 21, 15, 11, 9, 5, 3, 3, 2, 1),
    deaths=(9, 9, 9, 9, 9, 7, 5, 4, 3, 3),
    rates=(0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0),
    percents=(1.0, 2.0, 4.0, 7.0, 10.0, 15.0, 20.0),
    rated=8.0,
    engines=(200, 400, 700, 1000, 1500, 2200, 3200, 4600, 7000, 10_000),
    answers=(100, 200, 400, 800, 1500, 2800, 4000),
    table_groups=(16, 32, 64, 128, 256, 512, 1024),
    tenants=(50, 100, 200, 500, 1000, 2000, 5000),
    held=(50, 100, 300, 700, 1500, 2800, 4000),
    dividers=(25, 50, 100, 150, 250, 400, 600),
    books=((6, 12), (12, 12), (12, 24), (24, 48), (48, 48), (48, 96), (48, 200)),
    budgets=(25, 50, 100, 200, 400, 700, 1000),
    members=(64, 128, 256, 512, 1024, 2048, 4000),
    clients=(100, 200, 400, 700, 1000, 1400, 1900),
    looks=5,
    passes=5,
)


def simulated(slopes: Slopes, plan: Plan, seed: int) -> None:
    def add(name: str, xs: Sequence[float], ys: Sequence[float]) -> None:
        slopes.add(fitted(name, *NAMES[name], "simulated", xs, ys, seed))

    for name, values in flat.sizes(plan.groups, plan.starts, plan.deaths, seed).items():
        add(name, plan.groups, values)
    add("restart_bytes", plan.rates, flat.churned(plan.rates, seed, seconds=plan.rated))
    add("loss_bytes", plan.percents, flat.lossy(plan.percents, seed, seconds=plan.rated))


def in_process(slopes: Slopes, plan: Plan, seed: int) -> None:
    families: list[tuple[Callable[..., dict[str, list[float]]], Sequence[Any]]] = [
        (sizes.decisions, plan.engines),
        (sizes.table_groups, plan.table_groups),
        (sizes.tenants, plan.tenants),
        (sizes.held, plan.held),
        (sizes.lists, plan.answers),
        (sizes.ledgers, plan.dividers),
        (sizes.ledger_states, plan.books),
        (sizes.purses, plan.budgets),
        (sizes.doors, plan.members),
    ]
    found = [(xs, family(xs, plan.passes, seed)) for family, xs in families]
    found.append((plan.clients, sizes.clients(plan.clients, plan.looks)))
    for xs, told in found:
        at = [x[0] * x[1] if isinstance(x, tuple) else x for x in xs]
        for name, values in told.items():
            slopes.add(fitted(name, *NAMES[name], "in process", at, values, seed))


def others(slopes: Slopes, seed: int, quick: bool) -> None:
    """What parts of their own measure, where they are there: hollow routers on datagrams, and cells."""
    for name in ("marbleworks.lab.hollow", "marbleworks.lab.cells"):
        if importlib.util.find_spec(name) is not None:
            for slope in importlib.import_module(name).slopes(seed, quick):
                slopes.add(slope)


# What is worked out.

ASKED: tuple[tuple[str, str, float, float, float], ...] = (  # as, slope, size, times, allowed (0: no bound)
    ("flat_member_cpu", "member_cpu", FLEET, 1, CPU),
    ("flat_divider_cpu", "divider_cpu", FLEET, 1, CPU),
    ("flat_member_bytes_a_second", "member_bytes", FLEET, 1, BYTES),
    ("flat_divider_bytes_a_second", "divider_bytes", FLEET, 1, BYTES),
    ("flat_member_state_bytes", "member_state", FLEET, 1, STATE),
    ("flat_death_seconds", "death_seconds", FLEET, 1, 0),
    ("flat_divide_seconds", "divide_seconds", FLEET, 1, 0),
    ("flat_start_cpu_of_all", "start_cpu", FLEET, 1, 0),
    ("flat_start_bytes", "start_bytes", FLEET, 1, 0),
    ("flat_decide_known_cores", "decide_known", LISTED, SERVED, 1),
    ("flat_decide_new_cores", "decide_new", LISTED, SERVED, 1),
    ("flat_engine_state_bytes", "engine_state", LISTED, 1, STATE),
    ("flat_list_answer_bytes", "list_bytes", LISTED, 1, ANSWER),
    ("flat_ledger_cpu", "ledger_cpu", FLEET, REPORTS * FLEET, CPU),
    ("flat_ledger_datagrams_a_second", "ledger_datagrams", FLEET, 1, 0),
    ("flat_ledger_state_bytes", "ledger_state", sizes.FEW * FLEET, 1, STATE),
    ("flat_report_bytes_a_second", "report_bytes", BUSY, REPORTS, BYTES),
    ("flat_purse_state_bytes", "purse_state", LISTED, 1, STATE),
    ("client_state_bytes", "client_state", CLIENTS, 1, 0),
)


def worked_out(report: Report, slopes: Slopes) -> None:
    """Figures at the operators' size where every router knows all, by the slopes: the value, where it lies by
    the exponent's interval, how far beyond the largest size measured, and times what is allowed."""
    beyond = dict[str, float]()
    for name, slope_name, x, times, allowed in ASKED:
        slope = slopes[slope_name]
        low, high = slope.between(x)
        report.figures |= {
            name: times * slope.at(x),
            f"{name}_low": times * low,
            f"{name}_high": times * high,
            f"{name}_sizes_beyond": slope.times(x),
        }
        if allowed:
            beyond[name] = times * slope.at(x) / allowed
            report.figures[f"{name}_of_allowed"] = beyond[name]
    for place, name in enumerate(sorted(beyond, key=lambda n: -beyond[n])[:5], 1):
        report.figures[f"missing_{place}_{name}"] = beyond[name]


PAIRS = {
    "member_bytes": "hollow_bytes",
    "member_datagrams": "hollow_datagrams",
    "divider_bytes": "hollow_divider_bytes",
    "death_seconds": "hollow_death_seconds",
}


def compared(report: Report, slopes: Slopes) -> None:
    """Simulated routers against hollow ones, at the largest size of a hollow group that both reached."""
    for simulated_name, hollow_name in PAIRS.items():
        if hollow_name not in slopes.by_name:
            continue
        ours, hollow = slopes[simulated_name], slopes[hollow_name]
        both = [(x, y) for x, y in zip(hollow.xs, hollow.ys, strict=True) if ours.xs[0] <= x <= ours.xs[-1]]
        if both:
            x, y = both[-1]
            off = abs(ours.at(x) - y) / y
            report.claim(f"{simulated_name} simulated, off {hollow_name} at {x:.0f}", off, ALIKE)


def told(report: Report, slopes: Slopes) -> None:
    """Rows, claims and charts."""
    for slope in slopes.by_name.values():
        report.rows.append(
            {
                "slope": slope.name,
                "against": slope.against,
                "how": slope.how,
                "sizes": " ".join(f"{x:g}" for x in slope.xs),
                "at the largest": f"{slope.ys[-1]:.4g}",
                "exponent": f"{slope.exponent:.2f}",
                "interval": f"{slope.low:.2f} to {slope.high:.2f}",
                "held out, off by": f"{slope.error:.1%}",
            }
        )
        report.claim(f"{slope.name} at {slope.xs[-1]:g}, held out: prediction off by", slope.error, HELD_OUT)
    for title, x, y, names, most in (
        ("flat group, processor time", "routers", "cores", ("member_cpu", "divider_cpu"), FLEET),
        ("flat group, sent", "routers", "bytes a second", ("member_bytes", "divider_bytes"), FLEET),
        ("a command in the scheduler", "engines", "seconds", ("decide_known", "decide_new"), LISTED),
    ):
        series: dict[str, tuple[list[float], list[float]]] = {}
        for name in names:
            slope = slopes[name]
            series[name] = list(slope.xs), list(slope.ys)
            ends = [slope.xs[0] * (most / slope.xs[0]) ** (n / 20) for n in range(21)]
            series[f"{name}, curve"] = ends, [slope.at(end) for end in ends]
        report.charts.append((title, x, y, series))
    report.logarithmic = True
    report.extra["slopes"] = slopes.kept()


def run(report: Report, seed: int, quick: bool) -> None:
    slopes, plan = Slopes(), QUICK if quick else FULL
    simulated(slopes, plan, seed)
    in_process(slopes, plan, seed)
    report.figures["homes_bytes_an_engine_and_table_group"] = homes()
    others(slopes, seed, quick)
    worked_out(report, slopes)
    told(report, slopes)
    compared(report, slopes)


def homes() -> float:
    """What the scheduler keeps of one table group for each engine listed; it keeps up to 1,024 groups."""
    engines, groups = 200, 100
    return (sizes.bare_state(engines, groups) - sizes.bare_state(engines)) / (engines * groups)
