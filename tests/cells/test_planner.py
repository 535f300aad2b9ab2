"""Tests of the planner of cells: balance, moves, shortfalls, and its rules from the operator's file."""

import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.cells.options import CELLS_SECTION, check_cells_section
from marbleworks.cells.plan import FULL_HOME_WEIGHT, SHARE_UNITS, Cell, Part, Plan
from marbleworks.cells.planner.revision import (
    MAX_KIND_DEVIATION,
    Member,
    PlannerError,
    PlannerRules,
    ProfileRequirement,
    Revision,
    ShortfallReason,
    make_revision,
    next_plan,
)
from marbleworks.operator_config.document import parse_sections
from marbleworks.operator_config.sexpr import ConfigSyntaxError
from marbleworks.settings import Settings
from tests.support.stand_ins import SETTINGS

KINDS = ("large", "small", "burst")
NEEDS = (ProfileRequirement("any", None, None), ProfileRequirement("load", None, frozenset({"large"})))


def make_roster(routers: int, engines: int, zones: int = 3, seed: int = 1) -> list[Member]:
    rng, members = random.Random(seed), []
    for i in range(routers + engines):
        zone = f"z{i % zones}"
        kind = None if i < routers else rng.choices(KINDS, (5, 3, 2))[0]
        members.append(Member(f"m{i}", zone, f"{zone}r{rng.randrange(6)}", kind))
    return members


def make_rules(zones: int = 3, **fields) -> PlannerRules:
    zone_names = tuple(f"z{i}" for i in range(zones))
    defaults = {
        "regions": {"r": zone_names},
        "shares": {"r": SHARE_UNITS},
        "requirements": NEEDS,
        "min_routers": 5,
        "max_routers": 20,
    }
    return PlannerRules(**{**defaults, "max_engines": 45, **fields})


def revise_until_settled(
    plan: Plan | None, roster: list[Member], rules: PlannerRules
) -> tuple[Plan, list[Revision]]:
    """Revises until nothing changes; returns the last plan and the revisions up to it."""
    steps: list[Revision] = []
    while True:
        revision = make_revision(plan, roster, rules)
        if revision.plan is plan:
            return revision.plan, steps
        steps.append(revision)
        plan = revision.plan
        assert len(steps) < 200, "the plans never settle"


def members_by_cell(plan: Plan, roster: list[Member]) -> dict[int, list[Member]]:
    cells = {cell.number: [] for part in plan.parts.values() for cell in part.cells}
    for member in roster:
        cells[plan.cell_of(member.name, member.zone, member.kind)].append(member)
    return cells


def check_balance(plan: Plan, roster: list[Member], rules: PlannerRules) -> None:
    """Checks the bounds that a settled plan keeps in a region whose cells are all open."""
    cells = members_by_cell(plan, [member for member in roster if member.is_up])
    for kind in (None, *KINDS):
        counts = [sum(m.kind == kind for m in members) for members in cells.values()]
        mean = sum(counts) / len(counts)
        assert max(counts) <= max((1 + MAX_KIND_DEVIATION) * mean + 1e-9, -(-sum(counts) // len(counts)))
        assert min(counts) >= min((1 - MAX_KIND_DEVIATION) * mean - 1e-9, sum(counts) // len(counts))
    for members in members_by_cell(plan, [m for m in roster if m.kind is None]).values():
        assert len(members) <= rules.max_routers, "also when all routers have returned"
    for members in cells.values():
        assert sum(m.kind is not None for m in members) <= rules.max_engines
        for need in rules.requirements:
            if sum(need.is_met_by(m.zone, m.kind) for m in roster if m.kind and m.is_up) >= len(cells):
                assert any(need.is_met_by(m.zone, m.kind) for m in members if m.kind), need


@pytest.mark.parametrize("zones", [2, 3, 4])
def test_the_first_plan_is_balanced_and_no_zone_or_rack_has_all_of_a_cell(zones: int) -> None:
    roster, rules = make_roster(150, 330, zones), make_rules(zones)
    first_plan = next_plan(None, roster, rules)
    check_balance(first_plan, roster, rules)
    assert len(first_plan.parts["r"].cells) == 10  # 150 routers at three quarters of 20 in each
    for members in members_by_cell(first_plan, roster).values():
        for attribute in (lambda m: m.zone, lambda m: m.rack):
            routers = Counter(attribute(m) for m in members if m.kind is None)
            engines = Counter(attribute(m) for m in members if m.kind is not None)
            assert max(engines.values()) < engines.total()
            # With three zones or more a cell keeps its majority when any one of them is lost.
            maximum = routers.total() - 1 if zones == 2 else (routers.total() - 1) // 2
            assert max(routers.values()) <= maximum
    assert next_plan(first_plan, roster, rules) is first_plan


def test_a_plan_does_not_depend_on_the_order_of_the_roster() -> None:
    roster, rules = make_roster(90, 200), make_rules()
    first_plan = next_plan(None, roster, rules)
    shuffled = random.Random(3).sample(roster, len(roster))
    assert next_plan(None, shuffled, rules).digest == first_plan.digest
    fewer = [m for i, m in enumerate(roster) if i % 7]
    again = next_plan(first_plan, fewer, rules)
    assert again.digest == next_plan(first_plan, list(reversed(fewer)), rules).digest != first_plan.digest


CHANGES = ("leave", "join", "rack", "zone", "kind", "grow", "shrink", "down")


def change_roster(roster: list[Member], change: str, rng: random.Random, change_index: int) -> list[Member]:
    zones = sorted({m.zone for m in roster})
    if change == "leave":
        return [m for m in roster if rng.random() > 0.07]
    if change == "rack":
        lost = rng.choice(roster).rack
        return [m for m in roster if m.rack != lost]
    if change == "zone" and len(zones) > 2:
        lost = rng.choice(zones)
        return [m for m in roster if m.zone != lost]
    if change == "kind":
        lost = rng.choice(KINDS)
        return [m for m in roster if m.kind != lost or rng.random() < 0.1]
    if change == "shrink":
        return [m for m in roster if rng.random() < 0.4]
    if change == "down":
        return [replace(m, is_up=rng.random() > 0.15) for m in roster]
    count = len(roster) if change == "grow" else len(roster) // 12
    new_members = [
        Member(
            f"n{change_index}.{i}", zone := rng.choice(zones), f"{zone}r{i % 6}", rng.choice((None, *KINDS))
        )
        for i in range(count)
    ]
    return roster + new_members


@settings(max_examples=30, deadline=None)
@given(
    st.integers(0, 10_000),
    st.integers(2, 4),
    st.integers(12, 70),
    st.lists(st.sampled_from(CHANGES), min_size=1, max_size=4),
)
def test_moves_are_at_most_twice_the_minimum_and_in_steps(
    seed: int, zones: int, routers: int, changes: list[str]
) -> None:
    rng, rules = random.Random(seed), make_rules(zones, min_plans_between_resizes=1)
    roster = make_roster(routers, 2 * routers, zones, seed)
    plan = next_plan(None, roster, rules)
    for change_index, change in enumerate(changes):
        roster = change_roster(roster, change, rng, change_index)
        if sum(m.kind is None for m in roster) < 3:
            return
        plan, steps = revise_until_settled(plan, roster, rules)
        moves = [move for step in steps for move in step.moves]
        assert len(moves) <= 2 * (steps[0].min_moves if steps else 0)
        up_members = [m for m in roster if m.is_up]
        for of_routers in (True, False):
            max_moves = max(
                int(rules.max_moved_share * sum((m.kind is None) == of_routers for m in up_members)), 2
            )
            assert all(sum((m.kind is None) == of_routers for m in step.moves) <= max_moves for step in steps)
        assert all(cell.is_open for cell in plan.parts["r"].cells)  # all closing cells have been removed
        assert all(weight == FULL_HOME_WEIGHT for _, weight in plan.regions[0].home_weights)
        check_balance(plan, roster, rules)


def test_a_departure_that_moves_nobody_makes_no_plan() -> None:
    roster, rules = make_roster(90, 200), make_rules()
    first_plan = next_plan(None, roster, rules)
    assert make_revision(first_plan, roster[1:], rules).min_moves == 0
    assert next_plan(first_plan, roster[1:], rules) is first_plan


def test_unknown_names_are_placed_by_the_hash_alone_and_stay_in_bounds() -> None:
    rules = make_rules()
    max_ratio = 0.0
    for seed in range(5):
        roster = make_roster(150, 330, seed=seed)
        first_plan = next_plan(None, roster, rules)
        new_members = [replace(m, name=f"new{seed}.{m.name}") for m in roster if int(m.name[1:]) % 10 == 0]
        counts = [len(members) for members in members_by_cell(first_plan, roster + new_members).values()]
        max_ratio = max(max_ratio, max(counts) * len(counts) / sum(counts))
    assert max_ratio <= 1.25
    part = first_plan.parts["r"]
    assert all(name.startswith("m") for name in (*part.router_exceptions, *part.engine_exceptions))


def test_a_cell_that_has_lost_a_kind_of_engine_gets_some_from_the_others() -> None:
    roster, rules = make_roster(90, 200), make_rules()
    first_plan = next_plan(None, roster, rules)
    cell = first_plan.parts["r"].cells[0].number
    remaining = [m for m in roster if m.kind != "large" or first_plan.cell_of(m.name, m.zone, m.kind) != cell]
    first_revision = make_revision(first_plan, remaining, rules)
    assert any(
        m.kind == "large" for m in members_by_cell(first_revision.plan, remaining)[cell]
    ), "in the first step"
    plan, _ = revise_until_settled(first_plan, remaining, rules)
    check_balance(plan, remaining, rules)


def test_cells_without_an_engine_for_a_profile_borrow_and_a_missing_one_is_reported() -> None:
    rules = make_rules(regions={"r": ("z0", "z1", "z2"), "s": ("z3",)}, shares={"r": 6000, "s": 4000})
    roster = make_roster(80, 180, 4)
    only_elsewhere = [m for m in roster if m.kind != "large" or m.zone == "z3"]
    revision = make_revision(next_plan(None, roster, rules), only_elsewhere, rules)
    part = revision.plan.parts["r"]
    lenders = {cell.number for cell in revision.plan.parts["s"].cells}
    assert {loan.cell for loan in part.loans} == set(part.cell_numbers)
    assert {loan.lender for loan in part.loans} <= lenders and {
        loan.request_class for loan in part.loans
    } == {"load"}
    assert not revision.plan.parts["s"].loans
    without_engines = make_revision(revision.plan, [m for m in roster if m.kind != "large"], rules)
    assert not without_engines.plan.parts["r"].loans
    shortfall = next(s for s in without_engines.shortfalls if s.reason is ShortfallReason.NO_ENGINE)
    assert "profile 'load'" in shortfall.message and "region 'r'" in shortfall.message
    # The cell of an engine that returns lends it to the others of the region.
    engine = next(m for m in roster if m.kind == "large" and m.zone == "z0")
    back = make_revision(without_engines.plan, [*only_elsewhere, engine], rules)
    owner = back.plan.cell_of(engine.name, "z0", "large")
    assert {loan.lender for loan in back.plan.parts["r"].loans} == {owner}


@pytest.mark.parametrize("up_count", [1, 5])
def test_a_cell_that_has_lost_its_majority_gets_other_routers(up_count: int) -> None:
    roster, rules = make_roster(90, 200), make_rules()
    first_plan = next_plan(None, roster, rules)
    cell = first_plan.parts["r"].cells[0].number
    own_routers = [m for m in members_by_cell(first_plan, roster)[cell] if m.kind is None]
    down = {m.name for m in own_routers[up_count:]}
    roster = [replace(m, is_up=m.name not in down or m.kind is not None) for m in roster]
    plan, _ = revise_until_settled(first_plan, roster, rules)
    for members in members_by_cell(plan, [m for m in roster if m.kind is None]).values():
        assert 2 * sum(m.is_up for m in members) > len(members)
        assert len(members) <= plan.max_routers, "also when all routers have returned"
    assert all(plan.cell_of(m.name, m.zone, None) == cell for m in own_routers[:up_count])


def test_a_cell_does_not_exceed_its_maximum_when_all_routers_return() -> None:
    # Numbers of routers that are up and down, by cell.
    rules, counts = make_rules(1), {0: (10, 9), 1: (16, 0), 2: (17, 0)}
    roster, exceptions = [], {}
    for cell, (up, down) in counts.items():
        for i in range(up + down):
            roster.append(Member(f"m{cell}.{i}", "z0", f"r{i}", None, i < up))
            exceptions[f"m{cell}.{i}"] = cell
    part = Part(tuple(Cell(cell, ("z0",)) for cell in counts), {("z0", ""): (1, 1, 1)}, exceptions, {})
    home_weights = [(cell, FULL_HOME_WEIGHT) for cell in counts]
    plan = Plan.build(1, rules.digest, 20, 3, [("r", ("z0",), SHARE_UNITS, home_weights, part)])
    for _ in range(5):
        plan = next_plan(plan, roster, rules)
        assert max(len(members) for members in members_by_cell(plan, roster).values()) <= plan.max_routers
    check_balance(plan, roster, rules)


def test_engines_of_several_kinds_together_reach_each_cell_that_needs_one_of_them() -> None:
    """There are fewer engines of either kind than cells, and enough of both together."""
    needs = (ProfileRequirement("either", None, frozenset({"small", "burst"})),)
    for seed in range(6):
        kinds = ["large"] * 60 + ["small"] * 6 + ["burst"] * 6
        engines = [Member(f"e{seed}.{i}", f"z{i % 3}", f"r{i % 7}", kind) for i, kind in enumerate(kinds)]
        roster, rules = make_roster(150, 0) + engines, make_rules(requirements=needs)
        first_plan = next_plan(None, roster, rules)
        assert len(first_plan.parts["r"].cells) == 10 and not first_plan.parts["r"].loans
        check_balance(first_plan, roster, rules)


def test_no_cell_exceeds_its_maximum_of_engines_though_each_kind_is_balanced() -> None:
    kinds = [f"k{i}" for i in range(8)]
    for seed in range(6):
        engines = [Member(f"e{seed}.{i}", f"z{i % 3}", f"r{i % 7}", kinds[i % 8]) for i in range(104)]
        roster, rules = make_roster(30, 0) + engines, make_rules(max_engines=12, requirements=())
        first_plan = next_plan(None, roster, rules)
        counts = [
            sum(m.kind is not None for m in members)
            for members in members_by_cell(first_plan, roster).values()
        ]
        assert sum(counts) == 104 and max(counts) <= 12


def test_no_rack_has_most_of_a_cell_where_others_have_members_to_exchange() -> None:
    roster, rules = make_roster(60, 130, 1), make_rules(1)
    first_plan = next_plan(None, roster, rules)
    cell = first_plan.parts["r"].cells[0].number
    own_members = {(m.kind is None, m.name) for m in members_by_cell(first_plan, roster)[cell]}
    roster = [replace(m, rack="one" if (m.kind is None, m.name) in own_members else m.rack) for m in roster]
    plan, steps = revise_until_settled(first_plan, roster, rules)
    for members in members_by_cell(plan, roster).values():
        for routers in (True, False):
            racks = Counter(m.rack for m in members if (m.kind is None) == routers)
            assert 2 * max(racks.values()) <= racks.total()
    assert steps


def test_a_region_of_which_most_routers_are_down_is_left_as_it_is() -> None:
    """The planner is more likely cut off from the region than all of its routers are down."""
    roster, rules = make_roster(90, 200), make_rules()
    first_plan = next_plan(None, roster, rules)
    mostly_down = [replace(m, is_up=int(m.name[1:]) % 5 == 0) for m in roster]
    revision = make_revision(first_plan, mostly_down, rules)
    assert revision.plan is first_plan and [shortfall.reason for shortfall in revision.shortfalls] == [
        ShortfallReason.ROUTERS_DOWN
    ]


def test_a_cell_that_closes_gives_up_its_homes_then_its_members_and_is_removed() -> None:
    roster, rules = make_roster(100, 200), make_rules()
    first_plan = next_plan(None, roster, rules)
    few_members = [m for m in roster if int(m.name[1:]) % 3 == 0]
    plan, steps = revise_until_settled(first_plan, few_members, rules)
    assert len(plan.parts["r"].cells) < len(first_plan.parts["r"].cells)
    homes, removed_cells = (
        {g: first_plan.home(g) for g in range(500)},
        set(first_plan.parts["r"].cell_numbers) - set(plan.parts["r"].cell_numbers),
    )
    for previous_plan, step in zip([first_plan, *[s.plan for s in steps]], steps, strict=False):
        weights, old_weights = (
            dict(step.plan.regions[0].home_weights),
            dict(previous_plan.regions[0].home_weights),
        )
        change = sum(abs(weight - old_weights[cell]) for cell, weight in weights.items())
        assert change <= max(rules.max_moved_share * FULL_HOME_WEIGHT * len(old_weights), 1)
        assert sum(move.kind is None for move in step.moves) <= 2  # the smallest step
        giving_cells = {move.old_cell for move in step.moves} & removed_cells
        assert not any(old_weights[cell] for cell in giving_cells), "homes leave before members"
        new_homes = {g: step.plan.home(g) for g in homes}
        assert all(
            a == new_homes[g] or a in removed_cells for g, a in homes.items()
        ), "only homes of cells that close move"
        assert all(weights[cell] for cell in new_homes.values())
        homes = new_homes
        closing_cells = {c.number for c in step.plan.parts["r"].cells if not c.is_open}
        assert closing_cells.isdisjoint(step.plan.hashed_cell(f"x{i}", "z0", None)[0] for i in range(100))
    assert set(homes.values()) <= set(plan.parts["r"].cell_numbers)


def test_a_fleet_that_grows_and_shrinks_at_each_plan_seldom_resizes() -> None:
    rules, roster = make_rules(min_plans_between_resizes=10), make_roster(80, 170)
    plan, counts = next_plan(None, roster, rules), []
    for i in range(60):
        present = roster if i % 2 else [m for m in roster if int(m.name[1:]) % 3 == 0]
        plan = next_plan(plan, present, rules)
        counts.append(sum(cell.is_open for cell in plan.parts["r"].cells))
    changes = [after - before for before, after in zip(counts, counts[1:], strict=False) if after != before]
    assert 2 <= len(changes) <= plan.number // rules.min_plans_between_resizes + 1
    assert any(change > 0 for change in changes) and any(change < 0 for change in changes)


def test_too_few_routers_for_the_engines_are_reported() -> None:
    revision = make_revision(None, make_roster(6, 200), make_rules())
    assert ShortfallReason.TOO_FEW_ROUTERS in [shortfall.reason for shortfall in revision.shortfalls]
    assert all(
        len([m for m in members if m.kind]) <= 45
        for members in members_by_cell(revision.plan, make_roster(6, 200)).values()
    )


@pytest.mark.parametrize(
    ("roster", "rules", "message"),
    [
        (
            make_roster(3, 3) + make_roster(1, 0),
            make_rules(),
            "two routers or two engines have the same name",
        ),
        (make_roster(3, 3), make_rules(2), "zone 'z2', which no region has"),
        (make_roster(3, 3), make_rules(min_routers=30), "'least' must be 1 to 'routers'"),
        (
            make_roster(3, 3),
            make_rules(regions={"r": ("z0",), "s": ("z0",)}, shares={"r": 1, "s": 1}),
            "each in one region",
        ),
    ],
)
def test_an_invalid_roster_or_invalid_rules_are_rejected(roster, rules, message: str) -> None:
    with pytest.raises(PlannerError, match=message):
        next_plan(None, roster, rules)


# The operator's file.

FILE = """(cells
  (region "east" (zones "hall-a hall-b") (share 60 %)) (region "west" (zones "hall-c") (share 40 %))
  (routers 20) (engines 45) (key "/etc/plan.key"))"""


def test_the_operators_section_and_the_settings_give_the_rules() -> None:
    values = parse_sections({"cells": CELLS_SECTION}, FILE)["cells"]
    assert check_cells_section(values, ["hall-a", "hall-b", "hall-c"]) is None
    deployment = Settings({**SETTINGS, "zones": ["hall-a", "hall-b", "hall-c"], "kinds": ["std", "big"]})
    rules = PlannerRules.from_section(values, deployment)
    rules.check()
    assert rules.regions == {"east": ("hall-a", "hall-b"), "west": ("hall-c",)}
    assert rules.shares == {"east": 6000, "west": 4000}
    assert len(rules.requirements) == len(deployment.class_index)
    assert rules.digest == PlannerRules.from_section(values, deployment).digest
    assert rules.digest != replace(rules, requirements=rules.requirements[1:]).digest
    assert rules.digest != replace(rules, max_routers=21).digest


@pytest.mark.parametrize(
    ("old_text", "new_text", "message"),
    [
        ("hall-c", "hall-a", "zone 'hall-a' is in region 'east' and in 'west'"),
        ("hall-c", "hall-x", "zone 'hall-x' of region 'west' is not in the settings"),
        ("hall-b", "", "zone 'hall-b' of the settings is in no region"),
        ("60 %", "70 %", "add up to 110 %"),
        ("(routers 20)", "(routers 20) (least 9)", "'least' may be at most 8"),
    ],
)
def test_an_inconsistent_section_is_rejected_in_one_line(old_text: str, new_text: str, message: str) -> None:
    values = parse_sections({"cells": CELLS_SECTION}, FILE.replace(old_text, new_text))["cells"]
    error = check_cells_section(values, ["hall-a", "hall-b", "hall-c"])
    assert error is not None and message in error and "\n" not in error


def test_a_missing_required_setting_is_named() -> None:
    for setting in ("(routers 20)", "(engines 45)", '(key "/etc/plan.key")'):
        with pytest.raises(ConfigSyntaxError, match=f"expected '{setting[1:].split()[0]}'"):
            parse_sections({"cells": CELLS_SECTION}, FILE.replace(setting, ""))
    with pytest.raises(ConfigSyntaxError, match="'zones' with at least one"):
        parse_sections({"cells": CELLS_SECTION}, FILE.replace('"hall-c"', '""'))
