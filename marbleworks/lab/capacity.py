"""The capacity experiment: how each cost of a router grows with the size of the fleet.

The module defines the sizes that are measured, the names of the slopes and the figures that are extrapolated
from them to 4,600 routers and 10,000 engines, for a flat fleet in which every router knows every other router
and every engine. Each extrapolated figure is reported with the range that follows from the confidence
interval of its exponent, and with its distance from the largest measured size.
"""

from __future__ import annotations

import importlib
import importlib.util
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from marbleworks.lab import flat, sizes
from marbleworks.lab.report import Report
from marbleworks.lab.slopes import Slopes, fit

MAX_PREDICTION_ERROR = 0.15  # relative error of the prediction for the largest size
MAX_SIMULATION_DIFFERENCE = 0.15  # relative difference between simulated and hollow routers
# The target fleet: routers, engines, and per router the statements per second and the client connections.
TARGET_ROUTERS, TARGET_ENGINES, STATEMENTS_PER_S, CONNECTIONS_PER_ROUTER = (4600, 10_000, 609, 2174)
# Limits per router: part of a core, bytes per second, bytes of state; bytes of one answer of the list.
MAX_CPU, MAX_BYTES_PER_S, MAX_STATE_BYTES, MAX_ANSWER_BYTES = 0.018, 6_000, 32e6, 8_000
REPORTS_PER_S = 5  # reports per second from a router to the leader
# Budgets in a router's reports, where each engine has a budget of its own. An arrival rate is reported for
# 1.6 s after a request arrived, until it falls below MIN_ARRIVALS_PER_S of the local budgets, and the
# router sends 609 statements per second to as many different engines.
REPORTED_BUDGETS = 1000

GROUP_ROUTERS, LOSS_PERCENT, RESTART_RATE = (
    "routers in a group",
    "datagrams lost, percent",
    "restarts a second, group of 48",
)
# The measured quantity with its unit and the size that it is measured against, keyed by the name that
# docs/CAPACITY.md uses.
MEASUREMENTS = {
    "member_cpu": ("processor seconds a second of one router, mean", GROUP_ROUTERS),
    "member_bytes": ("bytes a second sent by one router, mean", GROUP_ROUTERS),
    "member_datagrams": ("datagrams a second sent by one router, mean", GROUP_ROUTERS),
    "member_state": ("bytes of state of membership and rights at one router", GROUP_ROUTERS),
    "divider_bytes": ("bytes a second sent by the busiest router", GROUP_ROUTERS),
    "divider_datagrams": ("datagrams a second sent by the busiest router", GROUP_ROUTERS),
    "divider_cpu": ("processor seconds a second of the busiest router", GROUP_ROUTERS),
    "start_cpu": ("processor seconds of all routers for a group's start", GROUP_ROUTERS),
    "start_seconds": ("seconds until a group that starts agrees", GROUP_ROUTERS),
    "start_bytes": ("bytes that one starting router sends and hears until it agrees", GROUP_ROUTERS),
    "death_seconds": ("seconds until a death is known, median", GROUP_ROUTERS),
    "divide_seconds": ("seconds until a division anew is active after a death", GROUP_ROUTERS),
    "restart_bytes": ("bytes a second sent by one router, mean", RESTART_RATE),
    "loss_bytes": ("bytes a second sent by one router, mean", LOSS_PERCENT),
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
class MeasurementPlan:
    """The sizes that a run measures, in rising order; the largest of each sequence is held out from the fit.

    Attributes:
        groups: Routers in a group.
        starts_per_group: Starts that are measured, one count for each group size.
        deaths_per_group: Deaths that are measured, one count for each group size.
        restart_rates: Restarts per second.
        loss_percents: Lost datagrams in percent.
        rate_seconds: Seconds for which each restart rate and each loss is measured.
        engines: Engines that the scheduler knows.
        listed_engines: Engines in an answer of the list.
        table_groups: Table groups.
        tenants: Tenants.
        held_requests: Requests that wait in the scheduler.
        reporting_routers: Routers that report to one leader.
        ledger_shapes: Pairs of budgets and routers in the allocation ledger.
        budgets: Budgets at one router.
        fair_queue_members: Members of tenants that the admission controller knows.
        idle_clients: Idle client connections.
        samples_per_client_count: Samples of processor time for each number of idle connections.
        passes: Samples of processor time for each other size.
    """

    groups: tuple[int, ...]
    starts_per_group: tuple[int, ...]
    deaths_per_group: tuple[int, ...]
    restart_rates: tuple[float, ...]
    loss_percents: tuple[float, ...]
    rate_seconds: float
    engines: tuple[int, ...]
    listed_engines: tuple[int, ...]
    table_groups: tuple[int, ...]
    tenants: tuple[int, ...]
    held_requests: tuple[int, ...]
    reporting_routers: tuple[int, ...]
    ledger_shapes: tuple[tuple[int, int], ...]
    budgets: tuple[int, ...]
    fair_queue_members: tuple[int, ...]
    idle_clients: tuple[int, ...]
    samples_per_client_count: int
    passes: int


QUICK = MeasurementPlan(
    groups=(9, 12, 15, 18, 22, 26, 32, 40),
    starts_per_group=(25, 25, 21, 15, 11, 11, 9, 7),
    deaths_per_group=(7, 7, 7, 7, 5, 5, 5, 5),
    restart_rates=(0.5, 1.0, 1.5, 2.0, 3.0, 4.0),
    loss_percents=(2.0, 4.0, 7.0, 10.0, 15.0, 20.0),
    rate_seconds=5.0,
    engines=(50, 100, 200, 350, 500, 700, 1000),
    listed_engines=(50, 100, 150, 200, 300, 400, 500),
    table_groups=(16, 32, 64, 128, 256, 512),
    tenants=(50, 100, 200, 400, 700, 1000, 1500),
    held_requests=(50, 100, 200, 300, 400, 600, 800),
    reporting_routers=(6, 12, 24, 48, 72, 96),
    ledger_shapes=((6, 6), (6, 12), (12, 12), (12, 24), (24, 24), (24, 48)),
    budgets=(25, 50, 75, 100, 150, 200),
    fair_queue_members=(64, 128, 256, 512, 768, 1024),
    idle_clients=(50, 100, 200, 300, 400, 500),
    samples_per_client_count=2,
    passes=7,
)
FULL = MeasurementPlan(
    groups=(12, 18, 24, 36, 48, 72, 96, 120, 160, 200),
    starts_per_group=(25, 21, 15, 11, 9, 5, 3, 3, 2, 1),
    deaths_per_group=(9, 9, 9, 9, 9, 7, 5, 4, 3, 3),
    restart_rates=(0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0),
    loss_percents=(1.0, 2.0, 4.0, 7.0, 10.0, 15.0, 20.0),
    rate_seconds=8.0,
    engines=(200, 400, 700, 1000, 1500, 2200, 3200, 4600, 7000, 10_000),
    listed_engines=(100, 200, 400, 800, 1500, 2800, 4000),
    table_groups=(16, 32, 64, 128, 256, 512, 1024),
    tenants=(50, 100, 200, 500, 1000, 2000, 5000),
    held_requests=(50, 100, 300, 700, 1500, 2800, 4000),
    reporting_routers=(25, 50, 100, 150, 250, 400, 600),
    ledger_shapes=((6, 12), (12, 12), (12, 24), (24, 48), (48, 48), (48, 96), (48, 200)),
    budgets=(25, 50, 100, 200, 400, 700, 1000),
    fair_queue_members=(64, 128, 256, 512, 1024, 2048, 4000),
    idle_clients=(100, 200, 400, 700, 1000, 1400, 1900),
    samples_per_client_count=5,
    passes=5,
)


def measure_simulated(slopes: Slopes, plan: MeasurementPlan, seed: int) -> None:
    """Adds the slopes that are measured in simulated time."""

    def add(name: str, xs: Sequence[float], ys: Sequence[float]) -> None:
        slopes.add(fit(name, *MEASUREMENTS[name], "simulated", xs, ys, seed))

    for name, values in flat.measure_sizes(
        plan.groups, plan.starts_per_group, plan.deaths_per_group, seed
    ).items():
        add(name, plan.groups, values)
    add(
        "restart_bytes",
        plan.restart_rates,
        flat.measure_restarts(plan.restart_rates, seed, seconds=plan.rate_seconds),
    )
    add(
        "loss_bytes",
        plan.loss_percents,
        flat.measure_losses(plan.loss_percents, seed, seconds=plan.rate_seconds),
    )


def measure_in_process(slopes: Slopes, plan: MeasurementPlan, seed: int) -> None:
    """Adds the slopes that are measured in this process."""
    families: list[tuple[Callable[..., dict[str, list[float]]], Sequence[Any]]] = [
        (sizes.measure_decisions, plan.engines),
        (sizes.measure_table_groups, plan.table_groups),
        (sizes.measure_tenants, plan.tenants),
        (sizes.measure_reviews, plan.held_requests),
        (sizes.measure_lists, plan.listed_engines),
        (sizes.measure_ledgers, plan.reporting_routers),
        (sizes.measure_ledger_states, plan.ledger_shapes),
        (sizes.measure_local_budgets, plan.budgets),
        (sizes.measure_admission, plan.fair_queue_members),
    ]
    values_by_family = [(xs, family(xs, plan.passes, seed)) for family, xs in families]
    values_by_family.append(
        (plan.idle_clients, sizes.measure_clients(plan.idle_clients, plan.samples_per_client_count))
    )
    for xs, values_by_name in values_by_family:
        measured_sizes = [x[0] * x[1] if isinstance(x, tuple) else x for x in xs]
        for name, values in values_by_name.items():
            slopes.add(fit(name, *MEASUREMENTS[name], "in process", measured_sizes, values, seed))


def measure_optional_modules(slopes: Slopes, seed: int, quick: bool) -> None:
    """Adds the slopes of the optional modules that are installed: hollow routers and cells."""
    for name in ("marbleworks.lab.hollow", "marbleworks.lab.cells"):
        if importlib.util.find_spec(name) is not None:
            for slope in importlib.import_module(name).measure_slopes(seed, quick):
                slopes.add(slope)


# Extrapolated figures.

# Name of the figure, name of the slope, size, factor, and limit (0 for no limit).
EXTRAPOLATIONS: tuple[tuple[str, str, float, float, float], ...] = (
    ("flat_member_cpu", "member_cpu", TARGET_ROUTERS, 1, MAX_CPU),
    ("flat_divider_cpu", "divider_cpu", TARGET_ROUTERS, 1, MAX_CPU),
    ("flat_member_bytes_a_second", "member_bytes", TARGET_ROUTERS, 1, MAX_BYTES_PER_S),
    ("flat_divider_bytes_a_second", "divider_bytes", TARGET_ROUTERS, 1, MAX_BYTES_PER_S),
    ("flat_member_state_bytes", "member_state", TARGET_ROUTERS, 1, MAX_STATE_BYTES),
    ("flat_death_seconds", "death_seconds", TARGET_ROUTERS, 1, 0),
    ("flat_divide_seconds", "divide_seconds", TARGET_ROUTERS, 1, 0),
    ("flat_start_cpu_of_all", "start_cpu", TARGET_ROUTERS, 1, 0),
    ("flat_start_bytes", "start_bytes", TARGET_ROUTERS, 1, 0),
    ("flat_decide_known_cores", "decide_known", TARGET_ENGINES, STATEMENTS_PER_S, 1),
    ("flat_decide_new_cores", "decide_new", TARGET_ENGINES, STATEMENTS_PER_S, 1),
    ("flat_engine_state_bytes", "engine_state", TARGET_ENGINES, 1, MAX_STATE_BYTES),
    ("flat_list_answer_bytes", "list_bytes", TARGET_ENGINES, 1, MAX_ANSWER_BYTES),
    ("flat_ledger_cpu", "ledger_cpu", TARGET_ROUTERS, REPORTS_PER_S * TARGET_ROUTERS, MAX_CPU),
    ("flat_ledger_datagrams_a_second", "ledger_datagrams", TARGET_ROUTERS, 1, 0),
    (
        "flat_ledger_state_bytes",
        "ledger_state",
        sizes.SINGLE_DATAGRAM_BUDGETS * TARGET_ROUTERS,
        1,
        MAX_STATE_BYTES,
    ),
    ("flat_report_bytes_a_second", "report_bytes", REPORTED_BUDGETS, REPORTS_PER_S, MAX_BYTES_PER_S),
    ("flat_purse_state_bytes", "purse_state", TARGET_ENGINES, 1, MAX_STATE_BYTES),
    ("client_state_bytes", "client_state", CONNECTIONS_PER_ROUTER, 1, 0),
)


def add_extrapolations(report: Report, slopes: Slopes) -> None:
    """Adds the figures that the slopes predict for a flat fleet of the operators' size.

    Each figure has its value, the low and high end that follow from the exponent's interval, the ratio of the
    size to the largest measured size, and the ratio to the limit where there is one. The five largest ratios
    to a limit are added as `missing_1_...` to `missing_5_...`.
    """
    limit_ratios = dict[str, float]()
    for name, slope_name, x, factor, limit in EXTRAPOLATIONS:
        slope = slopes[slope_name]
        low, high = slope.range_at(x)
        report.figures |= {
            name: factor * slope.value_at(x),
            f"{name}_low": factor * low,
            f"{name}_high": factor * high,
            f"{name}_sizes_beyond": slope.extrapolation_ratio(x),
        }
        if limit:
            limit_ratios[name] = factor * slope.value_at(x) / limit
            report.figures[f"{name}_of_allowed"] = limit_ratios[name]
    for place, name in enumerate(sorted(limit_ratios, key=lambda n: -limit_ratios[n])[:5], 1):
        report.figures[f"missing_{place}_{name}"] = limit_ratios[name]


# Slopes of simulated routers and the slopes of hollow routers that they are compared with.
COMPARED_SLOPES = {
    "member_bytes": "hollow_bytes",
    "member_datagrams": "hollow_datagrams",
    "divider_bytes": "hollow_divider_bytes",
    "death_seconds": "hollow_death_seconds",
}


def compare_with_hollow(report: Report, slopes: Slopes) -> None:
    """Compares simulated with hollow routers at the largest hollow group within the simulated sizes."""
    for simulated_name, hollow_name in COMPARED_SLOPES.items():
        if hollow_name not in slopes.by_name:
            continue
        simulated_slope, hollow = slopes[simulated_name], slopes[hollow_name]
        common_points = [
            (x, y)
            for x, y in zip(hollow.xs, hollow.ys, strict=True)
            if simulated_slope.xs[0] <= x <= simulated_slope.xs[-1]
        ]
        if common_points:
            x, y = common_points[-1]
            difference = abs(simulated_slope.value_at(x) - y) / y
            report.claim(
                f"{simulated_name} simulated, off {hollow_name} at {x:.0f}",
                difference,
                MAX_SIMULATION_DIFFERENCE,
            )


def add_slopes(report: Report, slopes: Slopes) -> None:
    """Adds a row and a claim for each slope, and the charts."""
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
        report.claim(
            f"{slope.name} at {slope.xs[-1]:g}, held out: prediction off by",
            slope.error,
            MAX_PREDICTION_ERROR,
        )
    for title, x, y, names, largest in (
        ("flat group, processor time", "routers", "cores", ("member_cpu", "divider_cpu"), TARGET_ROUTERS),
        ("flat group, sent", "routers", "bytes a second", ("member_bytes", "divider_bytes"), TARGET_ROUTERS),
        ("a command in the scheduler", "engines", "seconds", ("decide_known", "decide_new"), TARGET_ENGINES),
    ):
        series: dict[str, tuple[list[float], list[float]]] = {}
        for name in names:
            slope = slopes[name]
            series[name] = list(slope.xs), list(slope.ys)
            curve_sizes = [slope.xs[0] * (largest / slope.xs[0]) ** (n / 20) for n in range(21)]
            series[f"{name}, curve"] = curve_sizes, [slope.value_at(curve_size) for curve_size in curve_sizes]
        report.charts.append((title, x, y, series))
    report.logarithmic = True
    report.extra["slopes"] = slopes.to_dict()


def run(report: Report, seed: int, quick: bool) -> None:
    """Runs the experiment.

    Args:
        report: The report that receives rows, figures, claims and charts.
        seed: Seed of all random choices.
        quick: Whether to measure the small sizes only.
    """
    slopes, plan = Slopes(), QUICK if quick else FULL
    measure_simulated(slopes, plan, seed)
    measure_in_process(slopes, plan, seed)
    report.figures["homes_bytes_an_engine_and_table_group"] = home_state_bytes()
    measure_optional_modules(slopes, seed, quick)
    add_extrapolations(report, slopes)
    add_slopes(report, slopes)
    compare_with_hollow(report, slopes)


def home_state_bytes() -> float:
    """Measures the scheduler's state for the homes of a table group.

    Returns:
        Bytes for one table group and one engine. The scheduler keeps up to 1,024 table groups.
    """
    engines, groups = 200, 100
    return (sizes.scheduler_state(engines, groups) - sizes.scheduler_state(engines)) / (engines * groups)
