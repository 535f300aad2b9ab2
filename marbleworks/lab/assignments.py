"""The experiment of plans of cells: how even they are, how large, how much moves when the fleet changes, and
whether a table group's home is in one cell at a time.

The fleet is drawn from a seed; the plans are the router's own. Nothing is sent.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from marbleworks.cells.plan import WHOLE, Plan
from marbleworks.cells.planner.revision import BALANCE, Member, Need, Revision, Rules, revise, revised
from marbleworks.lab.explore import Broken
from marbleworks.lab.home_moves import exhaust, stroll
from marbleworks.lab.report import Report, spread

KEY = b"of the experiment"
KINDS = ("large", "small", "burst")
PARTS = (5, 3, 2)
ENOUGH = 1 / BALANCE  # engines of a kind for each cell from which the balance can be kept
RACKS = 12  # in each zone
NEW = 0.10  # part of the fleet that comes between two plans
CHANGES = ("leave", "join", "rack", "zone", "kind", "grow", "shrink", "down")
MOST_PLANS = 400


def rules(zones: int, regions: int) -> Rules:
    there: dict[str, list[str]] = {}
    for i in range(zones):
        there.setdefault(f"region-{i % regions}", []).append(f"zone-{i}")
    needs = (
        Need("any", None, None),
        Need("loads", None, frozenset({"large"})),
        Need("bursts", None, frozenset({"burst"})),
    )
    told = {name: tuple(names) for name, names in there.items()}
    return Rules(told, dict.fromkeys(told, WHOLE // regions), needs, least=5, routers=20, engines=45)


def fleet(chance: random.Random, routers: int, engines: int, zones: int) -> list[Member]:
    members = []
    for i in range(routers + engines):
        zone = f"zone-{i % zones}"
        kind = None if i < routers else chance.choices(KINDS, PARTS)[0]
        word = "router" if kind is None else "db"
        rack = f"{zone}-rack-{chance.randrange(RACKS)}"
        members.append(Member(f"{word}-{i:05d}.{zone}", zone, rack, kind))
    return members


@dataclass
class Look:
    """What a plan comes to. kinds: the most that a cell has of a kind, over its region's mean, where there
    are enough; work: of all engines. zone, rack: the greatest part of a cell's routers in one; zone only of
    regions with three zones or more."""

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


def look(plan: Plan, members: list[Member]) -> Look:
    routers, engines = Counter[int](), Counter[tuple[int, str]]()
    zones, racks = Counter[tuple[int, str]](), Counter[tuple[int, str]]()
    for m in members:
        cell = plan.cell_of(m.name, m.zone, m.kind)
        if m.kind is not None:
            engines[cell, m.kind] += 1
            continue
        routers[cell] += 1
        racks[cell, m.rack] += 1
        if len(plan.region_of(m.zone).zones) >= 3:
            zones[cell, m.zone] += 1
    worst, work = 0.0, 0.0
    for part in plan.parts.values():
        cells = [cell.number for cell in part.cells if cell.open]
        totals = [sum(engines[cell, kind] for kind in KINDS) for cell in cells]
        work = max(work, max(totals) * len(cells) / max(sum(totals), 1))
        for kind in KINDS:
            counts = [engines[cell, kind] for cell in cells]
            if sum(counts) >= ENOUGH * len(cells):
                worst = max(worst, max(counts) * len(cells) / sum(counts))
    parts = plan.parts.values()
    return Look(
        sum(len(part.cells) for part in parts),
        min(routers.values()),
        max(routers.values()),
        worst,
        work,
        max((n / routers[cell] for (cell, _), n in zones.items()), default=0.0),
        max(n / routers[cell] for (cell, _), n in racks.items()),
        sum(len(part.routers) + len(part.engines) for part in parts),
        len(plan.write(KEY)),
        max(len(plan.excerpt(name).write(KEY)) for name in plan.parts),
    )


def sizes(report: Report, chance: random.Random, quick: bool) -> None:
    """Plans made from nothing, at several sizes of fleet."""
    told, looks = rules(17, 6), []
    counts = (170, 1150, 4600) if quick else (170, 340, 575, 1150, 2300, 4600)
    for routers in counts:
        members = fleet(chance, routers, round(routers * 10_000 / 4600), 17)
        began = time.process_time()
        plan = revise(None, members, told)
        made = time.process_time() - began
        began = time.process_time()
        again = revise(plan, members, told)
        same = time.process_time() - began
        assert again is plan
        data = plan.write(KEY)
        began = time.process_time()
        Plan.read(data, [KEY])
        read = time.process_time() - began
        seen = look(plan, members)
        looks.append(seen)
        row: dict[str, object] = {"what": "size", "routers": routers, "engines": len(members) - routers}
        row |= {name: round(value, 3) for name, value in vars(seen).items()}
        row |= {"seconds to make": round(made, 2), "to revise": round(same, 2), "to read": round(read, 4)}
        report.rows.append(row)
    last = looks[-1]
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
        "seconds_to_make": made,
        "seconds_to_revise": same,
        "seconds_to_read": read,
    }
    balanced = max(seen.kinds for seen in looks)
    report.claim("most of a kind in a cell, over its region's mean", balanced, 1 + BALANCE)
    report.claim("greatest part of a cell's routers in one of three zones or more", last.zone, 0.499)
    report.claim("greatest part of a cell's routers in one rack", last.rack, 0.5)
    report.claim("bytes of a region's excerpt", last.excerpt, 16_384)
    xs = [float(count) for count in counts]
    series = {
        "whole plan": (xs, [seen.whole / 1000 for seen in looks]),
        "largest excerpt": (xs, [seen.excerpt / 1000 for seen in looks]),
    }
    report.charts.append(("size of a plan", "routers", "KB", series))


def newcomers(report: Report, chance: random.Random, seeds: int) -> None:
    """Names that the plan has not seen."""
    worst: list[float] = []
    for _ in range(seeds):
        told, members = rules(3, 1), fleet(chance, 300, 650, 3)
        plan = revise(None, members, told)
        new = [
            replace(m, name=f"new-{chance.getrandbits(40)}")
            for m in chance.sample(members, int(NEW * len(members)))
        ]
        counts = Counter(plan.cell_of(m.name, m.zone, m.kind) for m in members + new)
        worst.append(max(counts.values()) * len(counts) / counts.total())
    report.figures["newcomers_mean"] = sum(worst) / len(worst)
    report.claim("members of the fullest cell over the mean, a tenth of them unknown", max(worst), 1.25)


def changed(members: list[Member], what: str, chance: random.Random, mark: int) -> list[Member]:
    zones = sorted({m.zone for m in members})
    if what == "leave":
        return [m for m in members if chance.random() > 0.07]
    if what == "rack":
        gone = chance.choice(members).rack
        return [m for m in members if m.rack != gone]
    if what == "zone":
        lost = chance.choice(zones) if len(zones) > 2 else ""
        return [m for m in members if m.zone != lost]
    if what == "kind":
        kind = chance.choice(KINDS)
        return [m for m in members if m.kind != kind or chance.random() < 0.1]
    if what == "shrink":
        return [m for m in members if chance.random() < 0.4]
    if what == "down":
        return [replace(m, up=chance.random() > 0.15) for m in members]
    count = len(members) if what == "grow" else len(members) // 12
    like = [chance.choice(members) for _ in range(count)]
    return members + [replace(m, name=f"{what}-{mark}-{i}", up=True) for i, m in enumerate(like)]


def settled(plan: Plan, members: Iterable[Member], told: Rules) -> tuple[Plan, list[Revision]]:
    """Plan after plan, until nothing changes any more."""
    steps: list[Revision] = []
    while len(steps) < MOST_PLANS:
        step = revised(plan, members, told)
        if step.plan is plan:
            break
        steps.append(step)
        plan = step.plan
    return plan, steps


def movement(report: Report, chance: random.Random, fleets: int) -> None:
    """Fleets that change: what moved against what must, and how many plans it took."""
    ratios: list[float] = []
    by_change: dict[str, list[tuple[int, int, int]]] = {what: [] for what in CHANGES}
    beyond = unsettled = 0
    for mark in range(fleets):
        zones, routers = chance.choice([1, 2, 3, 4]), chance.choice([20, 60, 150])
        told = replace(rules(zones, 1), rest=1)
        members = fleet(chance, routers, round(2.2 * routers), zones)
        plan = revise(None, members, told)
        for what in chance.sample(CHANGES, 4):
            members = changed(members, what, chance, mark)
            if sum(m.kind is None for m in members) < 3:
                break
            plan, steps = settled(plan, members, told)
            unsettled += len(steps) >= MOST_PLANS
            moved, must = sum(len(step.moves) for step in steps), steps[0].must if steps else 0
            by_change[what].append((moved, must, len(steps)))
            if moved:
                ratios.append(moved / max(must, 1))
            for routers_too in (True, False):
                of = sum((m.kind is None) == routers_too for m in members if m.up)
                most = max(int(told.step * of), 2)
                beyond += sum(
                    sum((m.kind is None) == routers_too for m in step.moves) > most for step in steps
                )
    for what, rows in by_change.items():
        if rows:
            moved, must, plans = (sum(column) for column in zip(*rows, strict=True))
            report.rows.append(
                {
                    "what": what,
                    "fleets": len(rows),
                    "moved": moved,
                    "must": must,
                    "plans": round(plans / len(rows), 1),
                    "most plans": max(row[2] for row in rows),
                }
            )
    report.figures["movement_changes"] = sum(len(rows) for rows in by_change.values())
    report.figures["movement_mean"] = sum(ratios) / len(ratios)
    report.claim("moves over those that must be", max(ratios), 2.0)
    report.claim("plans that moved more than a step", beyond, 0)
    report.claim("fleets that did not settle", unsettled, 0)
    report.charts.append(
        ("moves over those that must be", "ratio", "part of changes", {"changes": spread(ratios)})
    )


def flapping(report: Report, chance: random.Random, plans: int) -> None:
    """A fleet that is four times as large at every other plan."""
    told, members = rules(3, 1), fleet(chance, 120, 260, 3)
    few = chance.sample(members, len(members) // 4)
    plan, counts = revise(None, members, told), list[int]()
    for i in range(plans):
        plan = revise(plan, few if i % 2 else members, told)
        counts.append(sum(cell.open for cell in plan.parts["region-0"].cells))
    turns = sum(a != b for a, b in zip(counts, counts[1:], strict=False))
    report.claim("times that cells changed in number while the fleet flapped", turns, plans / told.rest + 1)


def homes(report: Report, seed: int, walks: int, acts: int, depth: int) -> None:
    """One home at a time: every order of a few acts, and random walks."""
    broken = loads = 0
    for walk in range(walks):
        try:
            loads += stroll(1000 * seed + walk, acts, 1 + walk % 2)
        except Broken:
            broken += 1
    try:
        report.figures["home_states"] = exhaust(depth)
    except Broken:
        broken += 1
    report.figures |= {"home_acts": walks * acts, "home_loads": loads, "home_depth": depth}
    report.claim("times that a home was in two cells", broken, 0)


def run(report: Report, seed: int, quick: bool) -> None:
    began = time.process_time()
    chance = random.Random(seed)
    sizes(report, chance, quick)
    newcomers(report, chance, 3 if quick else 20)
    movement(report, chance, 6 if quick else 40)
    flapping(report, chance, 60 if quick else 200)
    homes(report, seed, 60 if quick else 400, 1500, 3)
    report.figures["processor_seconds"] = time.process_time() - began
