"""Cells: the plan, who makes it, and where a table group's home is."""

import random

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.cells.plan import (
    FULL,
    Adopted,
    Cell,
    Kept,
    Part,
    Plan,
    PlanError,
    Reason,
    adopt,
    rendezvous,
    told,
)

KEY, OTHER = b"k" * 16, b"o" * 16
ZONES = {"east": ("e1", "e2", "e3"), "west": ("w1", "w2")}


def part(first: int, count: int, zones: tuple[str, ...], **more) -> Part:
    cells = tuple(Cell(first + i, zones) for i in range(count))
    kinds = ("", "large", "small")
    strata = {(zone, kind): (4,) * count for zone in zones for kind in kinds}
    return Part(**{"cells": cells, "strata": strata, "routers": {}, "engines": {}, **more})


def plan(number: int = 7, pinned: dict[int, int] | None = None, **more) -> Plan:
    east, west = part(0, 5, ZONES["east"], **more), part(5, 3, ZONES["west"])
    rows = [
        (name, ZONES[name], share, [(cell, FULL) for cell in told.numbers], told)
        for name, share, told in (("east", 6000, east), ("west", 4000, west))
    ]
    return Plan.made(number, 99, 20, 8, rows, pinned)


# The plan.


def test_a_name_finds_its_cell_by_name_and_plan_alone() -> None:
    made = plan()
    names = [f"router-{i}" for i in range(400)]
    cells = {name: made.cell_of(name, "e1", None) for name in names}
    random.Random(1).shuffle(names)
    read = Plan.read(made.write(KEY), [KEY])
    assert {name: read.cell_of(name, "e1", None) for name in names} == cells
    assert {made.region_of_cell(cell) for cell in cells.values()} == {"east"}
    assert set(cells.values()) == {0, 1, 2, 3, 4}


def test_a_name_that_is_placed_apart_goes_where_the_plan_says() -> None:
    there = plan().cell_of("router-1", "e1", None)
    other = (there + 1) % 5
    made = plan(routers={"router-1": other})
    assert made.cell_of("router-1", "e1", None) == other
    assert made.cell_of("router-1", "e1", "large") == plan().cell_of("router-1", "e1", "large")


def test_the_hash_is_fair_by_weight_and_a_changed_weight_moves_names_of_that_cell_alone() -> None:
    names, cells = [f"n{i}" for i in range(6000)], range(6)
    before = [rendezvous(name, cells, (4, 4, 4, 4, 4, 4))[0] for name in names]
    after = [rendezvous(name, cells, (4, 4, 2, 4, 4, 4))[0] for name in names]
    assert all(abs(before.count(cell) - 1000) < 4 * 1000**0.5 for cell in cells)
    assert abs(after.count(2) - 6000 * 2 / 22) < 4 * (6000 * 2 / 22) ** 0.5
    assert all(a == b or b == 2 for a, b in zip(after, before, strict=True))
    assert all(rendezvous(name, cells, (4, 4, 0, 4, 4, 4))[0] != 2 for name in names)


def test_two_scores_that_come_close_are_told() -> None:
    names = [f"n{i}" for i in range(3000)]
    assert not any(rendezvous(name, range(6), (4,) * 6)[1] for name in names)
    assert rendezvous("n", (3, 3), (1, 1)) == (3, True)  # the same number twice has the same score


def test_an_excerpt_has_the_whole_plans_digest_and_answers_for_its_region() -> None:
    made = plan(pinned={next(g for g in range(99) if plan().home_region(g).name == "west"): 6})
    data = made.excerpt("east").sealed(made.mac(KEY))  # whoever hands it on has no key
    read = Plan.read(data, [KEY])
    assert read.digest == made.digest and len(data) < len(made.write(KEY))
    assert read.cell_of("a", "e2", "small") == made.cell_of("a", "e2", "small")
    assert [read.home(group) for group in range(50)] == [made.home(group) for group in range(50)]
    with pytest.raises(PlanError, match="without region 'west'"):
        read.cell_of("a", "w1", None)
    with pytest.raises(PlanError, match="no region has zone 'nowhere'"):
        read.cell_of("a", "nowhere", None)


def test_a_plan_is_read_with_either_of_two_keys_and_by_no_other() -> None:
    made = plan()
    assert Plan.read(made.write(OTHER), [KEY, OTHER]) == made
    assert Plan.read(made.write(KEY), [KEY, OTHER]) == made
    with pytest.raises(PlanError, match="none of our keys"):
        Plan.read(made.write(OTHER), [KEY])
    with pytest.raises(PlanError, match="at least 16 bytes"):
        Plan.read(made.write(KEY), [b"short"])


def test_a_plan_that_is_torn_or_flipped_anywhere_is_refused() -> None:
    data = plan(routers={"r1": 3}).write(KEY)
    for at in range(len(data)):
        for bad in (data[:at], data[:at] + bytes([data[at] ^ (1 << at % 8)]) + data[at + 1 :]):
            with pytest.raises(PlanError) as told:
                Plan.read(bad, [KEY])
            assert "\n" not in str(told.value)
    with pytest.raises(PlanError):
        Plan.read(data + b"\0", [KEY])


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_garbage_is_one_plain_line(data: bytes) -> None:
    with pytest.raises(PlanError):
        Plan.read(data, [KEY])


def test_a_part_of_another_plan_is_not_taken_in_with_this_ones_head() -> None:
    made, other = plan(), plan(routers={"r1": 3})
    outer = msgpack.unpackb(made.write(KEY), strict_map_key=False)
    outer[3]["east"] = other.parts["east"].data
    with pytest.raises(PlanError, match="'east' is torn, or not of this plan"):
        Plan.read(msgpack.packb(outer), [KEY])


def test_one_plan_has_one_form() -> None:
    """Two forms of one plan would have two digests, and look like two plans of one number."""
    made = plan(routers={"b": 1, "a": 1})
    assert made.digest == plan(routers={"a": 1, "b": 1}).digest
    outer = msgpack.unpackb(made.write(KEY), strict_map_key=False)
    with pytest.raises(PlanError, match="one form"):
        Plan.read(msgpack.packb(dict(reversed(outer.items()))), [KEY])
    raw = msgpack.unpackb(made.parts["east"].data, strict_map_key=False)
    assert Part.read(msgpack.packb(raw)) == made.parts["east"]
    with pytest.raises(PlanError, match="one form"):
        Part.read(msgpack.packb({**raw, 3: [[1, ["b", "a"]]]}))


@pytest.mark.parametrize(
    ("wrong", "line"),
    [
        (lambda: plan(routers={"r": 6}), "cell that its region lacks"),
        (lambda: plan(strata={("e1", ""): (1, 1)}), "not those of its cells"),
        (lambda: plan(strata={("w1", ""): (1,) * 5}), "zone that its region lacks"),
        (lambda: plan(cells=(Cell(0, ("e1",), False),), strata={}), "without an open cell"),
        (lambda: plan(pinned={next(g for g in range(99) if plan().home(g) < 5): 6}), "home in a cell"),
        (lambda: Plan.made(1, 1, 1, 1, []), "no region"),
    ],
)
def test_a_plan_whose_parts_do_not_go_together_is_no_plan(wrong, line: str) -> None:
    with pytest.raises(PlanError, match=line):
        wrong()


# What is adopted.


def kept(current: Plan | None, offered: Plan, digest: int = 99, zone: str = "e1") -> Reason | None:
    got = adopt(current, offered, digest, zone, 100)
    if isinstance(got, Adopted):
        assert got.plan == offered
        return None
    assert isinstance(got, Kept) and "\n" not in got.line
    return got.reason


def test_only_a_newer_plan_is_adopted() -> None:
    assert kept(None, plan(500)) is None
    assert kept(plan(7), plan(8)) is None
    assert kept(plan(7), plan(107)) is None
    assert kept(plan(7), plan(6)) is Reason.OLDER
    assert kept(plan(7), plan(108)) is Reason.JUMP
    assert kept(plan(7), plan(7)) is Reason.SAME


def test_of_two_plans_of_one_number_the_first_is_kept() -> None:
    one, two = plan(7), plan(7, routers={"r1": plan().cell_of("r1", "e1", None)})
    assert kept(one, two) is Reason.DOUBLE
    assert kept(two, one) is Reason.DOUBLE
    assert kept(one.excerpt("east"), one) is Reason.SAME


def test_a_plan_for_others_is_not_adopted() -> None:
    assert kept(None, plan(), digest=98) is Reason.SETTINGS
    assert kept(None, plan().excerpt("west")) is Reason.NOT_OURS
    assert kept(None, plan(), zone="nowhere") is Reason.NOT_OURS
    rows = [
        (r.name, r.zones, share, r.homes, plan().parts[r.name])
        for r, share in zip(plan().regions, (5000, 5000), strict=True)
    ]
    assert kept(plan(), Plan.made(8, 99, 20, 8, rows)) is Reason.SHARES


def test_a_router_that_is_told_to_be_in_another_cell_stays_where_the_plan_has_it() -> None:
    made = plan()
    ours = made.cell_of("r1", "e1", None)
    assert told(made, "r1", "e1", ours) is None
    refused = told(made, "r1", "e1", (ours + 1) % 5)
    assert refused is not None and refused.reason is Reason.ELSEWHERE and f"in cell {ours}" in refused.line
