"""Cells: who makes the plans."""

import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.cells.options import CELLS, unfit
from marbleworks.cells.plan import FULL, WHOLE, Cell, Part, Plan
from marbleworks.cells.planner.revision import (
    BALANCE,
    Lack,
    Member,
    Need,
    PlannerError,
    Revision,
    Rules,
    revise,
    revised,
)
from marbleworks.operator_config.document import parse_sections
from marbleworks.operator_config.sexpr import ConfigSyntaxError
from marbleworks.settings import Settings
from tests.support.stand_ins import SETTINGS

KINDS = ("large", "small", "burst")
NEEDS = (Need("any", None, None), Need("load", None, frozenset({"large"})))


def fleet(routers: int, engines: int, zones: int = 3, seed: int = 1) -> list[Member]:
    chance, members = random.Random(seed), []
    for i in range(routers + engines):
        zone = f"z{i % zones}"
        kind = None if i < routers else chance.choices(KINDS, (5, 3, 2))[0]
        members.append(Member(f"m{i}", zone, f"{zone}r{chance.randrange(6)}", kind))
    return members


def rules(zones: int = 3, **more) -> Rules:
    there = tuple(f"z{i}" for i in range(zones))
    told = {"regions": {"r": there}, "shares": {"r": WHOLE}, "needs": NEEDS, "least": 5, "routers": 20}
    return Rules(**{**told, "engines": 45, **more})


def settled(plan: Plan | None, roster: list[Member], told: Rules) -> tuple[Plan, list[Revision]]:
    """The plan that is made once nothing changes any more, and the revisions up to it."""
    steps: list[Revision] = []
    while True:
        revision = revised(plan, roster, told)
        if revision.plan is plan:
            return revision.plan, steps
        steps.append(revision)
        plan = revision.plan
        assert len(steps) < 200, "it never settles"


def held(plan: Plan, roster: list[Member]) -> dict[int, list[Member]]:
    cells = {cell.number: [] for part in plan.parts.values() for cell in part.cells}
    for member in roster:
        cells[plan.cell_of(member.name, member.zone, member.kind)].append(member)
    return cells


def check_balance(plan: Plan, roster: list[Member], told: Rules) -> None:
    """What a settled plan promises of a region whose cells all are open."""
    cells = held(plan, [member for member in roster if member.up])
    for kind in (None, *KINDS):
        counts = [sum(m.kind == kind for m in there) for there in cells.values()]
        mean = sum(counts) / len(counts)
        assert max(counts) <= max((1 + BALANCE) * mean + 1e-9, -(-sum(counts) // len(counts)))
        assert min(counts) >= min((1 - BALANCE) * mean - 1e-9, sum(counts) // len(counts))
    for there in held(plan, [m for m in roster if m.kind is None]).values():
        assert len(there) <= told.routers, "also when all are back"
    for there in cells.values():
        assert sum(m.kind is not None for m in there) <= told.engines
        for need in told.needs:
            if sum(need.met_by(m.zone, m.kind) for m in roster if m.kind and m.up) >= len(cells):
                assert any(need.met_by(m.zone, m.kind) for m in there if m.kind), need


@pytest.mark.parametrize("zones", [2, 3, 4])
def test_the_first_plan_is_balanced_and_no_zone_or_rack_takes_a_cell_whole(zones: int) -> None:
    roster, told = fleet(150, 330, zones), rules(zones)
    made = revise(None, roster, told)
    check_balance(made, roster, told)
    assert len(made.parts["r"].cells) == 10  # 150 routers, three quarters of 20 in each
    for there in held(made, roster).values():
        for what in (lambda m: m.zone, lambda m: m.rack):
            routers = Counter(what(m) for m in there if m.kind is None)
            engines = Counter(what(m) for m in there if m.kind is not None)
            assert max(engines.values()) < engines.total()
            # With three zones or more a cell keeps its majority through the loss of any of them.
            most = routers.total() - 1 if zones == 2 else (routers.total() - 1) // 2
            assert max(routers.values()) <= most
    assert revise(made, roster, told) is made


def test_a_plan_is_the_same_by_any_order_of_the_roster() -> None:
    roster, told = fleet(90, 200), rules()
    made = revise(None, roster, told)
    shuffled = random.Random(3).sample(roster, len(roster))
    assert revise(None, shuffled, told).digest == made.digest
    fewer = [m for i, m in enumerate(roster) if i % 7]
    again = revise(made, fewer, told)
    assert again.digest == revise(made, list(reversed(fewer)), told).digest != made.digest


CHANGES = ("leave", "join", "rack", "zone", "kind", "grow", "shrink", "down")


def changed(roster: list[Member], what: str, chance: random.Random, mark: int) -> list[Member]:
    zones = sorted({m.zone for m in roster})
    if what == "leave":
        return [m for m in roster if chance.random() > 0.07]
    if what == "rack":
        gone = chance.choice(roster).rack
        return [m for m in roster if m.rack != gone]
    if what == "zone" and len(zones) > 2:
        gone = chance.choice(zones)
        return [m for m in roster if m.zone != gone]
    if what == "kind":
        gone = chance.choice(KINDS)
        return [m for m in roster if m.kind != gone or chance.random() < 0.1]
    if what == "shrink":
        return [m for m in roster if chance.random() < 0.4]
    if what == "down":
        return [replace(m, up=chance.random() > 0.15) for m in roster]
    count = len(roster) if what == "grow" else len(roster) // 12
    new = [
        Member(f"n{mark}.{i}", zone := chance.choice(zones), f"{zone}r{i % 6}", chance.choice((None, *KINDS)))
        for i in range(count)
    ]
    return roster + new


@settings(max_examples=30, deadline=None)
@given(
    st.integers(0, 10_000),
    st.integers(2, 4),
    st.integers(12, 70),
    st.lists(st.sampled_from(CHANGES), min_size=1, max_size=4),
)
def test_what_moves_is_at_most_twice_what_must_and_in_steps(
    seed: int, zones: int, routers: int, changes: list[str]
) -> None:
    chance, told = random.Random(seed), rules(zones, rest=1)
    roster = fleet(routers, 2 * routers, zones, seed)
    plan = revise(None, roster, told)
    for mark, what in enumerate(changes):
        roster = changed(roster, what, chance, mark)
        if sum(m.kind is None for m in roster) < 3:
            return
        plan, steps = settled(plan, roster, told)
        moves = [move for step in steps for move in step.moves]
        assert len(moves) <= 2 * (steps[0].must if steps else 0)
        up = [m for m in roster if m.up]
        for of_routers in (True, False):
            most = max(int(told.step * sum((m.kind is None) == of_routers for m in up)), 2)
            assert all(sum((m.kind is None) == of_routers for m in step.moves) <= most for step in steps)
        assert all(cell.open for cell in plan.parts["r"].cells)  # all that closed are gone
        assert all(weight == FULL for _, weight in plan.regions[0].homes)
        check_balance(plan, roster, told)


def test_who_leaves_and_moves_nobody_makes_no_plan() -> None:
    roster, told = fleet(90, 200), rules()
    made = revise(None, roster, told)
    assert revised(made, roster[1:], told).must == 0
    assert revise(made, roster[1:], told) is made


def test_new_names_are_placed_by_the_hash_alone_and_stay_in_bounds() -> None:
    told = rules()
    worst = 0.0
    for seed in range(5):
        roster = fleet(150, 330, seed=seed)
        made = revise(None, roster, told)
        new = [replace(m, name=f"new{seed}.{m.name}") for m in roster if int(m.name[1:]) % 10 == 0]
        counts = [len(there) for there in held(made, roster + new).values()]
        worst = max(worst, max(counts) * len(counts) / sum(counts))
    assert worst <= 1.25
    part = made.parts["r"]
    assert all(name.startswith("m") for name in (*part.routers, *part.engines))


def test_a_cell_that_has_lost_a_kind_of_engine_gets_some_of_the_others() -> None:
    roster, told = fleet(90, 200), rules()
    made = revise(None, roster, told)
    cell = made.parts["r"].cells[0].number
    lost = [m for m in roster if m.kind != "large" or made.cell_of(m.name, m.zone, m.kind) != cell]
    first = revised(made, lost, told)
    assert any(m.kind == "large" for m in held(first.plan, lost)[cell]), "in the first step"
    plan, _ = settled(made, lost, told)
    check_balance(plan, lost, told)


def test_cells_without_an_engine_for_a_profile_are_lent_to_and_where_there_is_none_it_is_said() -> None:
    told = rules(regions={"r": ("z0", "z1", "z2"), "s": ("z3",)}, shares={"r": 6000, "s": 4000})
    roster = fleet(80, 180, 4)
    none_here = [m for m in roster if m.kind != "large" or m.zone == "z3"]
    revision = revised(revise(None, roster, told), none_here, told)
    part = revision.plan.parts["r"]
    lenders = {cell.number for cell in revision.plan.parts["s"].cells}
    assert {loan.cell for loan in part.loans} == set(part.numbers)
    assert {loan.lender for loan in part.loans} <= lenders and {loan.profile for loan in part.loans} == {
        "load"
    }
    assert not revision.plan.parts["s"].loans
    nowhere = revised(revision.plan, [m for m in roster if m.kind != "large"], told)
    assert not nowhere.plan.parts["r"].loans
    lack = next(lack for lack in nowhere.shortfalls if lack.lack is Lack.NOWHERE)
    assert "profile 'load'" in lack.line and "region 'r'" in lack.line
    # One that is back is had by one cell, which lends it to the others of its region.
    one = next(m for m in roster if m.kind == "large" and m.zone == "z0")
    back = revised(nowhere.plan, [*none_here, one], told)
    owner = back.plan.cell_of(one.name, "z0", "large")
    assert {loan.lender for loan in back.plan.parts["r"].loans} == {owner}


@pytest.mark.parametrize("left", [1, 5])
def test_a_cell_without_most_of_its_routers_gets_others(left: int) -> None:
    roster, told = fleet(90, 200), rules()
    made = revise(None, roster, told)
    cell = made.parts["r"].cells[0].number
    mine = [m for m in held(made, roster)[cell] if m.kind is None]
    down = {m.name for m in mine[left:]}
    roster = [replace(m, up=m.name not in down or m.kind is not None) for m in roster]
    plan, _ = settled(made, roster, told)
    for there in held(plan, [m for m in roster if m.kind is None]).values():
        assert 2 * sum(m.up for m in there) > len(there)
        assert len(there) <= plan.places, "also when all are back"
    assert all(plan.cell_of(m.name, m.zone, None) == cell for m in mine[:left])


def test_a_cell_has_no_more_routers_than_places_when_all_are_back() -> None:
    told, counts = rules(1), {0: (10, 9), 1: (16, 0), 2: (17, 0)}  # by cell: that are there, and are not
    roster, apart = [], {}
    for cell, (up, down) in counts.items():
        for i in range(up + down):
            roster.append(Member(f"m{cell}.{i}", "z0", f"r{i}", None, i < up))
            apart[f"m{cell}.{i}"] = cell
    part = Part(tuple(Cell(cell, ("z0",)) for cell in counts), {("z0", ""): (1, 1, 1)}, apart, {})
    homes = [(cell, FULL) for cell in counts]
    plan = Plan.made(1, told.digest, 20, 3, [("r", ("z0",), WHOLE, homes, part)])
    for _ in range(5):
        plan = revise(plan, roster, told)
        assert max(len(there) for there in held(plan, roster).values()) <= plan.places
    check_balance(plan, roster, told)


def test_engines_of_several_kinds_together_reach_each_cell_that_needs_one_of_them() -> None:
    """Of neither kind are there as many as cells."""
    needs = (Need("either", None, frozenset({"small", "burst"})),)
    for seed in range(6):
        kinds = ["large"] * 60 + ["small"] * 6 + ["burst"] * 6
        engines = [Member(f"e{seed}.{i}", f"z{i % 3}", f"r{i % 7}", kind) for i, kind in enumerate(kinds)]
        roster, told = fleet(150, 0) + engines, rules(needs=needs)
        made = revise(None, roster, told)
        assert len(made.parts["r"].cells) == 10 and not made.parts["r"].loans
        check_balance(made, roster, told)


def test_no_cell_has_more_engines_than_it_bears_though_each_kind_is_balanced() -> None:
    kinds = [f"k{i}" for i in range(8)]
    for seed in range(6):
        engines = [Member(f"e{seed}.{i}", f"z{i % 3}", f"r{i % 7}", kinds[i % 8]) for i in range(104)]
        roster, told = fleet(30, 0) + engines, rules(engines=12, needs=())
        made = revise(None, roster, told)
        counts = [sum(m.kind is not None for m in there) for there in held(made, roster).values()]
        assert sum(counts) == 104 and max(counts) <= 12


def test_no_rack_has_most_of_a_cell_where_others_have_some_to_change_for() -> None:
    roster, told = fleet(60, 130, 1), rules(1)
    made = revise(None, roster, told)
    cell = made.parts["r"].cells[0].number
    mine = {(m.kind is None, m.name) for m in held(made, roster)[cell]}
    roster = [replace(m, rack="one" if (m.kind is None, m.name) in mine else m.rack) for m in roster]
    plan, steps = settled(made, roster, told)
    for there in held(plan, roster).values():
        for routers in (True, False):
            racks = Counter(m.rack for m in there if (m.kind is None) == routers)
            assert 2 * max(racks.values()) <= racks.total()
    assert steps


def test_a_region_that_is_mostly_not_seen_is_left_as_it_is() -> None:
    """It is more likely cut off from whoever plans than gone."""
    roster, told = fleet(90, 200), rules()
    made = revise(None, roster, told)
    cut = [replace(m, up=int(m.name[1:]) % 5 == 0) for m in roster]
    revision = revised(made, cut, told)
    assert revision.plan is made and [lack.lack for lack in revision.shortfalls] == [Lack.MOST]


def test_a_cell_that_closes_gives_up_its_homes_first_then_its_members_and_is_gone() -> None:
    roster, told = fleet(100, 200), rules()
    made = revise(None, roster, told)
    few = [m for m in roster if int(m.name[1:]) % 3 == 0]
    plan, steps = settled(made, few, told)
    assert len(plan.parts["r"].cells) < len(made.parts["r"].cells)
    homes, gone = (
        {g: made.home(g) for g in range(500)},
        set(made.parts["r"].numbers) - set(plan.parts["r"].numbers),
    )
    for before, step in zip([made, *[s.plan for s in steps]], steps, strict=False):
        weights, old = dict(step.plan.regions[0].homes), dict(before.regions[0].homes)
        change = sum(abs(weight - old[cell]) for cell, weight in weights.items())
        assert change <= max(told.step * FULL * len(old), 1)
        assert sum(move.kind is None for move in step.moves) <= 2  # a step of so few
        moved = {move.old for move in step.moves} & gone
        assert not any(old[cell] for cell in moved), "homes had left before"
        now = {g: step.plan.home(g) for g in homes}
        assert all(a == now[g] or a in gone for g, a in homes.items()), "only homes of cells that close move"
        assert all(weights[cell] for cell in now.values())
        homes = now
        closed = {c.number for c in step.plan.parts["r"].cells if not c.open}
        assert closed.isdisjoint(step.plan.hashed(f"x{i}", "z0", None)[0] for i in range(100))
    assert set(homes.values()) <= set(plan.parts["r"].numbers)


def test_a_fleet_that_grows_and_shrinks_at_each_plan_does_not_flap() -> None:
    told, roster = rules(rest=10), fleet(80, 170)
    plan, counts = revise(None, roster, told), []
    for i in range(60):
        there = roster if i % 2 else [m for m in roster if int(m.name[1:]) % 3 == 0]
        plan = revise(plan, there, told)
        counts.append(sum(cell.open for cell in plan.parts["r"].cells))
    turns = [after - before for before, after in zip(counts, counts[1:], strict=False) if after != before]
    assert 2 <= len(turns) <= plan.number // told.rest + 1
    assert any(turn > 0 for turn in turns) and any(turn < 0 for turn in turns)


def test_a_region_with_too_few_routers_for_its_engines_says_so() -> None:
    revision = revised(None, fleet(6, 200), rules())
    assert Lack.BOUNDS in [lack.lack for lack in revision.shortfalls]
    assert all(
        len([m for m in there if m.kind]) <= 45 for there in held(revision.plan, fleet(6, 200)).values()
    )


@pytest.mark.parametrize(
    ("roster", "told", "line"),
    [
        (fleet(3, 3) + fleet(1, 0), rules(), "a name twice"),
        (fleet(3, 3), rules(2), "zone 'z2', which no region has"),
        (fleet(3, 3), rules(least=30), "bounds of a cell"),
        (fleet(3, 3), rules(regions={"r": ("z0",), "s": ("z0",)}, shares={"r": 1, "s": 1}), "a zone in two"),
    ],
)
def test_a_roster_or_rules_that_make_no_sense_are_one_line(roster, told, line: str) -> None:
    with pytest.raises(PlannerError, match=line):
        revise(None, roster, told)


# The operator's file.

FILE = """(cells
  (region "east" (zones "hall-a hall-b") (share 60 %)) (region "west" (zones "hall-c") (share 40 %))
  (routers 20) (engines 45) (key "/etc/plan.key"))"""


def test_the_operators_section_makes_rules_of_the_settings() -> None:
    terms = parse_sections({"cells": CELLS}, FILE)["cells"]
    assert unfit(terms, ["hall-a", "hall-b", "hall-c"]) is None
    deployment = Settings({**SETTINGS, "zones": ["hall-a", "hall-b", "hall-c"], "kinds": ["std", "big"]})
    made = Rules.of(terms, deployment)
    made.check()
    assert made.regions == {"east": ("hall-a", "hall-b"), "west": ("hall-c",)}
    assert made.shares == {"east": 6000, "west": 4000}
    assert len(made.needs) == len(deployment.class_index)
    assert made.digest == Rules.of(terms, deployment).digest
    assert made.digest != replace(made, needs=made.needs[1:]).digest
    assert made.digest != replace(made, routers=21).digest


@pytest.mark.parametrize(
    ("old", "new", "line"),
    [
        ("hall-c", "hall-a", "zone 'hall-a' is in region 'east' and in 'west'"),
        ("hall-c", "hall-x", "zone 'hall-x' of region 'west' is not in the settings"),
        ("hall-b", "", "zone 'hall-b' of the settings is in no region"),
        ("60 %", "70 %", "add up to 110 %"),
        ("(routers 20)", "(routers 20) (least 9)", "'least' may be at most 8"),
    ],
)
def test_levels_that_do_not_add_up_are_one_line(old: str, new: str, line: str) -> None:
    terms = parse_sections({"cells": CELLS}, FILE.replace(old, new))["cells"]
    told = unfit(terms, ["hall-a", "hall-b", "hall-c"])
    assert told is not None and line in told and "\n" not in told


def test_what_the_section_must_have_is_asked_for() -> None:
    for told in ("(routers 20)", "(engines 45)", '(key "/etc/plan.key")'):
        with pytest.raises(ConfigSyntaxError, match=f"expected '{told[1:].split()[0]}'"):
            parse_sections({"cells": CELLS}, FILE.replace(told, ""))
    with pytest.raises(ConfigSyntaxError, match="'zones' with at least one"):
        parse_sections({"cells": CELLS}, FILE.replace('"hall-c"', '""'))
