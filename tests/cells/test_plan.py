"""Tests of the plan of cells: placement of names, encoding, and adoption of plans."""

import random

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.cells.plan import (
    FULL_HOME_WEIGHT,
    Adopted,
    Cell,
    Part,
    Plan,
    PlanError,
    Rejected,
    RejectionReason,
    adopt,
    check_assigned_cell,
    rendezvous_hash,
)

KEY, OTHER_KEY = b"k" * 16, b"o" * 16
ZONES = {"east": ("e1", "e2", "e3"), "west": ("w1", "w2")}


def make_part(first_cell: int, cell_count: int, zones: tuple[str, ...], **fields) -> Part:
    cells = tuple(Cell(first_cell + i, zones) for i in range(cell_count))
    kinds = ("", "large", "small")
    strata = {(zone, kind): (4,) * cell_count for zone in zones for kind in kinds}
    return Part(
        **{"cells": cells, "strata": strata, "router_exceptions": {}, "engine_exceptions": {}, **fields}
    )


def make_plan(number: int = 7, pinned_homes: dict[int, int] | None = None, **east_fields) -> Plan:
    east, west = make_part(0, 5, ZONES["east"], **east_fields), make_part(5, 3, ZONES["west"])
    rows = [
        (
            name,
            ZONES[name],
            share,
            [(cell, FULL_HOME_WEIGHT) for cell in region_part.cell_numbers],
            region_part,
        )
        for name, share, region_part in (("east", 6000, east), ("west", 4000, west))
    ]
    return Plan.build(number, 99, 20, 8, rows, pinned_homes)


# Placement of names, and the encoding.


def test_a_name_finds_its_cell_by_name_and_plan_alone() -> None:
    plan = make_plan()
    names = [f"router-{i}" for i in range(400)]
    cells = {name: plan.cell_of(name, "e1", None) for name in names}
    random.Random(1).shuffle(names)
    read = Plan.decode(plan.encode(KEY), [KEY])
    assert {name: read.cell_of(name, "e1", None) for name in names} == cells
    assert {plan.region_of_cell(cell) for cell in cells.values()} == {"east"}
    assert set(cells.values()) == {0, 1, 2, 3, 4}


def test_a_name_that_is_an_exception_goes_where_the_plan_says() -> None:
    hashed_cell = make_plan().cell_of("router-1", "e1", None)
    other_cell = (hashed_cell + 1) % 5
    plan = make_plan(router_exceptions={"router-1": other_cell})
    assert plan.cell_of("router-1", "e1", None) == other_cell
    assert plan.cell_of("router-1", "e1", "large") == make_plan().cell_of("router-1", "e1", "large")


def test_the_hash_is_fair_by_weight_and_a_changed_weight_moves_names_of_that_cell_alone() -> None:
    names, cells = [f"n{i}" for i in range(6000)], range(6)
    before = [rendezvous_hash(name, cells, (4, 4, 4, 4, 4, 4))[0] for name in names]
    after = [rendezvous_hash(name, cells, (4, 4, 2, 4, 4, 4))[0] for name in names]
    assert all(abs(before.count(cell) - 1000) < 4 * 1000**0.5 for cell in cells)
    assert abs(after.count(2) - 6000 * 2 / 22) < 4 * (6000 * 2 / 22) ** 0.5
    assert all(a == b or b == 2 for a, b in zip(after, before, strict=True))
    assert all(rendezvous_hash(name, cells, (4, 4, 0, 4, 4, 4))[0] != 2 for name in names)


def test_close_scores_are_reported() -> None:
    names = [f"n{i}" for i in range(3000)]
    assert not any(rendezvous_hash(name, range(6), (4,) * 6)[1] for name in names)
    assert rendezvous_hash("n", (3, 3), (1, 1)) == (3, True)  # the same number twice has the same score


def test_an_excerpt_has_the_whole_plans_digest_and_answers_for_its_region() -> None:
    plan = make_plan(
        pinned_homes={next(g for g in range(99) if make_plan().home_region(g).name == "west"): 6}
    )
    data = plan.excerpt("east").encode_with_mac(plan.mac(KEY))  # an excerpt is passed on without a key
    read = Plan.decode(data, [KEY])
    assert read.digest == plan.digest and len(data) < len(plan.encode(KEY))
    assert read.cell_of("a", "e2", "small") == plan.cell_of("a", "e2", "small")
    assert [read.home(group) for group in range(50)] == [plan.home(group) for group in range(50)]
    with pytest.raises(PlanError, match="lacks the part of region 'west'"):
        read.cell_of("a", "w1", None)
    with pytest.raises(PlanError, match="no region has zone 'nowhere'"):
        read.cell_of("a", "nowhere", None)


def test_a_plan_is_read_with_either_of_two_keys_and_with_no_other() -> None:
    plan = make_plan()
    assert Plan.decode(plan.encode(OTHER_KEY), [KEY, OTHER_KEY]) == plan
    assert Plan.decode(plan.encode(KEY), [KEY, OTHER_KEY]) == plan
    with pytest.raises(PlanError, match="matches none of our keys"):
        Plan.decode(plan.encode(OTHER_KEY), [KEY])
    with pytest.raises(PlanError, match="at least 16 bytes"):
        Plan.decode(plan.encode(KEY), [b"short"])


def test_a_plan_that_is_truncated_or_has_a_flipped_bit_is_rejected() -> None:
    data = make_plan(router_exceptions={"r1": 3}).encode(KEY)
    for at in range(len(data)):
        for bad in (data[:at], data[:at] + bytes([data[at] ^ (1 << at % 8)]) + data[at + 1 :]):
            with pytest.raises(PlanError) as caught:
                Plan.decode(bad, [KEY])
            assert "\n" not in str(caught.value)
    with pytest.raises(PlanError):
        Plan.decode(data + b"\0", [KEY])


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_garbage_raises_plan_error(data: bytes) -> None:
    with pytest.raises(PlanError):
        Plan.decode(data, [KEY])


def test_a_part_of_another_plan_is_rejected() -> None:
    plan, other = make_plan(), make_plan(router_exceptions={"r1": 3})
    envelope = msgpack.unpackb(plan.encode(KEY), strict_map_key=False)
    envelope[3]["east"] = other.parts["east"].encoded
    with pytest.raises(PlanError, match="'east' is damaged, or is not of this plan"):
        Plan.decode(msgpack.packb(envelope), [KEY])


def test_a_plan_has_one_canonical_encoding() -> None:
    """Two encodings of one plan would have two digests and look like two plans with one number."""
    plan = make_plan(router_exceptions={"b": 1, "a": 1})
    assert plan.digest == make_plan(router_exceptions={"a": 1, "b": 1}).digest
    envelope = msgpack.unpackb(plan.encode(KEY), strict_map_key=False)
    with pytest.raises(PlanError, match="not in canonical form"):
        Plan.decode(msgpack.packb(dict(reversed(envelope.items()))), [KEY])
    raw = msgpack.unpackb(plan.parts["east"].encoded, strict_map_key=False)
    assert Part.decode(msgpack.packb(raw)) == plan.parts["east"]
    with pytest.raises(PlanError, match="not in canonical form"):
        Part.decode(msgpack.packb({**raw, 3: [[1, ["b", "a"]]]}))


@pytest.mark.parametrize(
    ("make_inconsistent_plan", "message"),
    [
        (
            lambda: make_plan(router_exceptions={"r": 6}),
            "name is placed in a cell that its region does not have",
        ),
        (lambda: make_plan(strata={("e1", ""): (1, 1)}), "one weight for each cell"),
        (
            lambda: make_plan(strata={("w1", ""): (1,) * 5}),
            "stratum is of a zone that its region does not have",
        ),
        (lambda: make_plan(cells=(Cell(0, ("e1",), False),), strata={}), "has no open cell"),
        (
            lambda: make_plan(pinned_homes={next(g for g in range(99) if make_plan().home(g) < 5): 6}),
            "pinned to a cell outside its home region",
        ),
        (lambda: Plan.build(1, 1, 1, 1, []), "at least one region"),
    ],
)
def test_an_inconsistent_plan_is_rejected(make_inconsistent_plan, message: str) -> None:
    with pytest.raises(PlanError, match=message):
        make_inconsistent_plan()


# Adoption of plans.


def rejection(
    current: Plan | None, offered: Plan, settings_digest: int = 99, zone: str = "e1"
) -> RejectionReason | None:
    """Returns why a plan is not adopted, or None if it is."""
    decision = adopt(current, offered, settings_digest, zone, 100)
    if isinstance(decision, Adopted):
        assert decision.plan == offered
        return None
    assert isinstance(decision, Rejected) and "\n" not in decision.message
    return decision.reason


def test_only_a_newer_plan_is_adopted() -> None:
    assert rejection(None, make_plan(500)) is None
    assert rejection(make_plan(7), make_plan(8)) is None
    assert rejection(make_plan(7), make_plan(107)) is None
    assert rejection(make_plan(7), make_plan(6)) is RejectionReason.OLDER
    assert rejection(make_plan(7), make_plan(108)) is RejectionReason.TOO_FAR_AHEAD
    assert rejection(make_plan(7), make_plan(7)) is RejectionReason.SAME


def test_of_two_plans_of_one_number_the_first_is_kept() -> None:
    one, two = make_plan(7), make_plan(7, router_exceptions={"r1": make_plan().cell_of("r1", "e1", None)})
    assert rejection(one, two) is RejectionReason.NUMBER_TAKEN
    assert rejection(two, one) is RejectionReason.NUMBER_TAKEN
    assert rejection(one.excerpt("east"), one) is RejectionReason.SAME


def test_a_plan_for_other_settings_zones_or_shares_is_not_adopted() -> None:
    assert rejection(None, make_plan(), settings_digest=98) is RejectionReason.OTHER_SETTINGS
    assert rejection(None, make_plan().excerpt("west")) is RejectionReason.OTHER_REGION
    assert rejection(None, make_plan(), zone="nowhere") is RejectionReason.OTHER_REGION
    rows = [
        (r.name, r.zones, share, r.home_weights, make_plan().parts[r.name])
        for r, share in zip(make_plan().regions, (5000, 5000), strict=True)
    ]
    assert rejection(make_plan(), Plan.build(8, 99, 20, 8, rows)) is RejectionReason.SHARES_CHANGED


def test_a_router_that_is_told_to_be_in_another_cell_stays_where_the_plan_has_it() -> None:
    plan = make_plan()
    cell = plan.cell_of("r1", "e1", None)
    assert check_assigned_cell(plan, "r1", "e1", cell) is None
    rejected = check_assigned_cell(plan, "r1", "e1", (cell + 1) % 5)
    assert (
        rejected is not None
        and rejected.reason is RejectionReason.OTHER_CELL
        and f"by plan 7 this router is in cell {cell}" in rejected.message
    )
