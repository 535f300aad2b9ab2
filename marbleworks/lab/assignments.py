"""Experiment on plans of cells: balance, size, movement on fleet changes, and exclusive homes.

The fleet is drawn from a seed and the plans are made by the router's own planner. The last part checks that
the home of a table group is in at most one cell at a time. Nothing is sent over a network.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from marbleworks.cells.plan import SHARE_UNITS, Plan
from marbleworks.cells.planner.revision import (
    MAX_KIND_DEVIATION,
    Member,
    PlannerRules,
    ProfileRequirement,
    Revision,
    make_revision,
    next_plan,
)
from marbleworks.lab.explore import InvariantViolation
from marbleworks.lab.home_moves import exhaust, stroll
from marbleworks.lab.report import Report, distribution

KEY = b"of the experiment"
KINDS = ("large", "small", "burst")
KIND_WEIGHTS = (5, 3, 2)
# Engines of a kind per cell; with fewer the balance cannot be kept.
MIN_ENGINES_PER_CELL = 1 / MAX_KIND_DEVIATION
RACKS_PER_ZONE = 12
UNKNOWN_FRACTION = 0.10  # fraction of the fleet that joins between two plans
CHANGES = ("leave", "join", "rack", "zone", "kind", "grow", "shrink", "down")
MAX_PLANS = 400


def make_rules(zones: int, regions: int) -> PlannerRules:
    """Returns planner rules for a number of zones that are spread over a number of regions."""
    zone_lists: dict[str, list[str]] = {}
    for zone_number in range(zones):
        zone_lists.setdefault(f"region-{zone_number % regions}", []).append(f"zone-{zone_number}")
    needs = (
        ProfileRequirement("any", None, None),
        ProfileRequirement("loads", None, frozenset({"large"})),
        ProfileRequirement("bursts", None, frozenset({"burst"})),
    )
    zones_by_region = {name: tuple(names) for name, names in zone_lists.items()}
    return PlannerRules(
        zones_by_region,
        dict.fromkeys(zones_by_region, SHARE_UNITS // regions),
        needs,
        min_routers=5,
        max_routers=20,
        max_engines=45,
    )


def make_fleet(rng: random.Random, routers: int, engines: int, zones: int) -> list[Member]:
    """Draws a fleet of routers and engines with their zones, racks and engine kinds."""
    members = []
    for i in range(routers + engines):
        zone = f"zone-{i % zones}"
        kind = None if i < routers else rng.choices(KINDS, KIND_WEIGHTS)[0]
        prefix = "router" if kind is None else "db"
        rack = f"{zone}-rack-{rng.randrange(RACKS_PER_ZONE)}"
        members.append(Member(f"{prefix}-{i:05d}.{zone}", zone, rack, kind))
    return members


@dataclass
class PlanMeasures:
    """Measures of one plan. The field names are columns of the results table.

    Attributes:
        cells: Number of cells.
        least: Routers in the smallest cell.
        most: Routers in the largest cell.
        kinds: Largest count of one engine kind in a cell, over the mean of its region. Only kinds with enough
            engines for the balance to be kept are included.
        work: The same ratio for engines of all kinds together.
        zone: Largest fraction of a cell's routers in one zone, in regions with three zones or more.
        rack: Largest fraction of a cell's routers in one rack.
        apart: Routers and engines that the plan assigns by an explicit entry.
        whole: Bytes of the encoded plan.
        excerpt: Bytes of the largest encoded excerpt of one region.
    """

    cells: int
    least: int
    most: int
    kinds: float
    work: float
    zone: float
    rack: float
    apart: int
    whole: int
    excerpt: int


def measure_plan(plan: Plan, members: list[Member]) -> PlanMeasures:
    """Measures a plan for the given members."""
    routers, engines = Counter[int](), Counter[tuple[int, str]]()
    zones, racks = Counter[tuple[int, str]](), Counter[tuple[int, str]]()
    for member in members:
        cell = plan.cell_of(member.name, member.zone, member.kind)
        if member.kind is not None:
            engines[cell, member.kind] += 1
            continue
        routers[cell] += 1
        racks[cell, member.rack] += 1
        if len(plan.region_of_zone(member.zone).zones) >= 3:
            zones[cell, member.zone] += 1
    worst_kind, worst_total = 0.0, 0.0
    for region_plan in plan.parts.values():
        cells = [cell.number for cell in region_plan.cells if cell.is_open]
        totals = [sum(engines[cell, kind] for kind in KINDS) for cell in cells]
        worst_total = max(worst_total, max(totals) * len(cells) / max(sum(totals), 1))
        for kind in KINDS:
            counts = [engines[cell, kind] for cell in cells]
            if sum(counts) >= MIN_ENGINES_PER_CELL * len(cells):
                worst_kind = max(worst_kind, max(counts) * len(cells) / sum(counts))
    region_plans = plan.parts.values()
    return PlanMeasures(
        sum(len(region_plan.cells) for region_plan in region_plans),
        min(routers.values()),
        max(routers.values()),
        worst_kind,
        worst_total,
        max((n / routers[cell] for (cell, _), n in zones.items()), default=0.0),
        max(n / routers[cell] for (cell, _), n in racks.items()),
        sum(
            len(region_plan.router_exceptions) + len(region_plan.engine_exceptions)
            for region_plan in region_plans
        ),
        len(plan.encode(KEY)),
        max(len(plan.excerpt(name).encode(KEY)) for name in plan.parts),
    )


def sizes(report: Report, rng: random.Random, quick: bool) -> None:
    """Measures plans that are made without a predecessor, at several fleet sizes."""
    rules, measures = make_rules(17, 6), []
    counts = (170, 1150, 4600) if quick else (170, 340, 575, 1150, 2300, 4600)
    for routers in counts:
        members = make_fleet(rng, routers, round(routers * 10_000 / 4600), 17)
        began = time.process_time()
        plan = next_plan(None, members, rules)
        make_s = time.process_time() - began
        began = time.process_time()
        revised_plan = next_plan(plan, members, rules)
        revise_s = time.process_time() - began
        assert revised_plan is plan
        data = plan.encode(KEY)
        began = time.process_time()
        Plan.decode(data, [KEY])
        read_s = time.process_time() - began
        measure = measure_plan(plan, members)
        measures.append(measure)
        row: dict[str, object] = {"what": "size", "routers": routers, "engines": len(members) - routers}
        row |= {name: round(value, 3) for name, value in vars(measure).items()}
        row |= {
            "seconds to make": round(make_s, 2),
            "to revise": round(revise_s, 2),
            "to read": round(read_s, 4),
        }
        report.rows.append(row)
    last = measures[-1]
    report.figures |= {
        "cells": last.cells,
        "routers_least": last.least,
        "routers_most": last.most,
        "kinds": last.kinds,
        "work": last.work,
        "zone": last.zone,
        "rack": last.rack,
        "apart": last.apart,
        "bytes": last.whole,
        "excerpt_bytes": last.excerpt,
        "seconds_to_make": make_s,
        "seconds_to_revise": revise_s,
        "seconds_to_read": read_s,
    }
    balanced = max(measure.kinds for measure in measures)
    report.claim("most of a kind in a cell, over its region's mean", balanced, 1 + MAX_KIND_DEVIATION)
    report.claim("greatest part of a cell's routers in one of three zones or more", last.zone, 0.499)
    report.claim("greatest part of a cell's routers in one rack", last.rack, 0.5)
    report.claim("bytes of a region's excerpt", last.excerpt, 16_384)
    xs = [float(count) for count in counts]
    series = {
        "whole plan": (xs, [measure.whole / 1000 for measure in measures]),
        "largest excerpt": (xs, [measure.excerpt / 1000 for measure in measures]),
    }
    report.charts.append(("size of a plan", "routers", "KB", series))


def unknown_members(report: Report, rng: random.Random, seeds: int) -> None:
    """Measures how evenly members that the plan does not know are spread over the cells."""
    imbalances: list[float] = []
    for _ in range(seeds):
        rules, members = make_rules(3, 1), make_fleet(rng, 300, 650, 3)
        plan = next_plan(None, members, rules)
        unknown = [
            replace(m, name=f"new-{rng.getrandbits(40)}")
            for m in rng.sample(members, int(UNKNOWN_FRACTION * len(members)))
        ]
        counts = Counter(plan.cell_of(m.name, m.zone, m.kind) for m in members + unknown)
        imbalances.append(max(counts.values()) * len(counts) / counts.total())
    report.figures["newcomers_mean"] = sum(imbalances) / len(imbalances)
    report.claim("members of the fullest cell over the mean, a tenth of them unknown", max(imbalances), 1.25)


def change_fleet(members: list[Member], change: str, rng: random.Random, fleet_number: int) -> list[Member]:
    """Returns the members after one change of the fleet. The number makes the names of new members unique."""
    zones = sorted({m.zone for m in members})
    if change == "leave":
        return [m for m in members if rng.random() > 0.07]
    if change == "rack":
        lost_rack = rng.choice(members).rack
        return [m for m in members if m.rack != lost_rack]
    if change == "zone":
        lost_zone = rng.choice(zones) if len(zones) > 2 else ""
        return [m for m in members if m.zone != lost_zone]
    if change == "kind":
        kind = rng.choice(KINDS)
        return [m for m in members if m.kind != kind or rng.random() < 0.1]
    if change == "shrink":
        return [m for m in members if rng.random() < 0.4]
    if change == "down":
        return [replace(m, is_up=rng.random() > 0.15) for m in members]
    count = len(members) if change == "grow" else len(members) // 12
    templates = [rng.choice(members) for _ in range(count)]
    return members + [
        replace(m, name=f"{change}-{fleet_number}-{i}", is_up=True) for i, m in enumerate(templates)
    ]


def revise_until_stable(
    plan: Plan, members: Iterable[Member], rules: PlannerRules
) -> tuple[Plan, list[Revision]]:
    """Revises a plan until nothing changes or `MAX_PLANS` revisions were made.

    Returns:
        The last plan and the revisions that led to it.
    """
    steps: list[Revision] = []
    while len(steps) < MAX_PLANS:
        step = make_revision(plan, members, rules)
        if step.plan is plan:
            break
        steps.append(step)
        plan = step.plan
    return plan, steps


def movement(report: Report, rng: random.Random, fleets: int) -> None:
    """Compares, for fleets that change, the moves made with those required, and counts the plans needed."""
    ratios: list[float] = []
    by_change: dict[str, list[tuple[int, int, int]]] = {change: [] for change in CHANGES}
    oversized_steps = unsettled = 0
    for fleet_number in range(fleets):
        zones, routers = rng.choice([1, 2, 3, 4]), rng.choice([20, 60, 150])
        rules = replace(make_rules(zones, 1), min_plans_between_resizes=1)
        members = make_fleet(rng, routers, round(2.2 * routers), zones)
        plan = next_plan(None, members, rules)
        for change in rng.sample(CHANGES, 4):
            members = change_fleet(members, change, rng, fleet_number)
            if sum(m.kind is None for m in members) < 3:
                break
            plan, steps = revise_until_stable(plan, members, rules)
            unsettled += len(steps) >= MAX_PLANS
            moved, required = sum(len(step.moves) for step in steps), steps[0].min_moves if steps else 0
            by_change[change].append((moved, required, len(steps)))
            if moved:
                ratios.append(moved / max(required, 1))
            for is_router in (True, False):
                total = sum((m.kind is None) == is_router for m in members if m.is_up)
                max_moves = max(int(rules.max_moved_share * total), 2)
                oversized_steps += sum(
                    sum((m.kind is None) == is_router for m in step.moves) > max_moves for step in steps
                )
    for change, rows in by_change.items():
        if rows:
            moved, required, plans = (sum(column) for column in zip(*rows, strict=True))
            report.rows.append(
                {
                    "what": change,
                    "fleets": len(rows),
                    "moved": moved,
                    "must": required,
                    "plans": round(plans / len(rows), 1),
                    "most plans": max(row[2] for row in rows),
                }
            )
    report.figures["movement_changes"] = sum(len(rows) for rows in by_change.values())
    report.figures["movement_mean"] = sum(ratios) / len(ratios)
    report.claim("moves over those that must be", max(ratios), 2.0)
    report.claim("plans that moved more than a step", oversized_steps, 0)
    report.claim("fleets that did not settle", unsettled, 0)
    report.charts.append(
        ("moves over those that must be", "ratio", "part of changes", {"changes": distribution(ratios)})
    )


def flapping(report: Report, rng: random.Random, plans: int) -> None:
    """Counts changes in the number of cells when every other plan sees a fleet four times as large."""
    rules, members = make_rules(3, 1), make_fleet(rng, 120, 260, 3)
    quarter = rng.sample(members, len(members) // 4)
    plan, counts = next_plan(None, members, rules), list[int]()
    for i in range(plans):
        plan = next_plan(plan, quarter if i % 2 else members, rules)
        counts.append(sum(cell.is_open for cell in plan.parts["region-0"].cells))
    count_changes = sum(a != b for a, b in zip(counts, counts[1:], strict=False))
    report.claim(
        "times that cells changed in number while the fleet flapped",
        count_changes,
        plans / rules.min_plans_between_resizes + 1,
    )


def check_homes(report: Report, seed: int, walks: int, acts: int, depth: int) -> None:
    """Checks that each home is in one cell at a time: random walks, and every order of a few actions."""
    broken = loads = 0
    for walk in range(walks):
        try:
            loads += stroll(1000 * seed + walk, acts, 1 + walk % 2)
        except InvariantViolation:
            broken += 1
    try:
        report.figures["home_states"] = exhaust(depth)
    except InvariantViolation:
        broken += 1
    report.figures |= {"home_acts": walks * acts, "home_loads": loads, "home_depth": depth}
    report.claim("times that a home was in two cells", broken, 0)


def run(report: Report, seed: int, quick: bool) -> None:
    """Runs all parts of the experiment."""
    began = time.process_time()
    rng = random.Random(seed)
    sizes(report, rng, quick)
    unknown_members(report, rng, 3 if quick else 20)
    movement(report, rng, 6 if quick else 40)
    flapping(report, rng, 60 if quick else 200)
    check_homes(report, seed, 60 if quick else 400, 1500, 3)
    report.figures["processor_seconds"] = time.process_time() - began
