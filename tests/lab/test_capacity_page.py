"""Tests of the capacity page: its tables follow from its results, and each kind of deviation is found."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from typer.testing import CliRunner

from marbleworks.budgets.budget_catalog import ABANDONED_ATTEMPT_TIMEOUT_S
from marbleworks.budgets.codec import MAX_REPORT_ENTRIES, BudgetUsage, split_usages
from marbleworks.budgets.options import BUDGETS_SECTION
from marbleworks.budgets.service import REPORT_INTERVAL_S
from marbleworks.cli import app
from marbleworks.lab import duties, page, target
from marbleworks.lab.duties import Duty, Role, Status
from marbleworks.lab.page import (
    ERROR_MARK,
    NO_RUN,
    OVER_MARK,
    CapacityModel,
    PageError,
    Results,
    find_problems,
    render_page,
)
from marbleworks.lab.slopes import Slope, Slopes
from marbleworks.lab.target import Allowance, Use, Variant, cell_size, evaluate
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT
from marbleworks.membership.options import MEMBERSHIP_SECTION
from marbleworks.net.discovery import QUERY_INTERVAL_S
from marbleworks.net.engine_protocol import LISTING_PROPAGATION_S, MAX_DNS_RESPONSE_BYTES
from marbleworks.scheduling.placement import MAX_HOME_SETS

ROOT = Path(__file__).parents[2]
SIZES = (10.0, 20.0, 40.0, 80.0, 160.0, 320.0)
# Base, factor and exponent by slope. These are test data; none of them was measured.
MADE_UP = {
    "member_cpu": (1e-3, 2e-6, 1.1),
    "member_bytes": (250.0, 1.0, 0.5),
    "member_datagrams": (12.0, 0.0, 1.0),
    "member_state": (2e3, 900.0, 1.0),
    "divider_bytes": (0.0, 64.0, 1.0),
    "divider_datagrams": (0.0, 4.0, 1.0),
    "divider_cpu": (1e-3, 1e-4, 1.0),
    "start_cpu": (0.0, 4e-4, 2.0),
    "start_seconds": (2.0, 0.01, 1.0),
    "start_bytes": (0.0, 200.0, 1.0),
    "death_seconds": (1.5, 0.0, 1.0),
    "restart_bytes": (300.0, 90.0, 1.0),
    "loss_bytes": (250.0, 10.0, 1.0),
    "divide_seconds": (2.5, 0.001, 1.0),
    "decide_known": (3e-5, 7e-7, 1.05),
    "decide_new": (8e-5, 1e-6, 1.1),
    "decide_groups": (5e-5, 0.0, 1.0),
    "decide_tenants": (5e-5, 0.0, 1.0),
    "decide_held": (1e-5, 1e-5, 1.0),
    "listed_cpu": (0.0, 5e-6, 1.0),
    "engine_state": (0.0, 3200.0, 1.0),
    "list_bytes": (60.0, 115.0, 1.0),
    "list_cpu": (0.0, 2.5e-4, 1.0),
    "ledger_cpu": (4e-5, 0.0, 1.0),
    "ledger_state": (0.0, 150.0, 1.0),
    "ledger_datagrams": (0.0, 10.0, 1.0),
    "report_bytes": (60.0, 25.0, 1.0),
    "purse_state": (0.0, 300.0, 1.0),
    "client_state": (0.0, 20e3, 1.0),
    "client_cpu": (0.0, 1e-6, 1.0),
    "door_state": (0.0, 400.0, 1.0),
    "config_cpu": (0.0, 1e-5, 1.0),
}


def made_up(**changed_slopes: tuple[float, float, float]) -> Results:
    """Returns slopes without any error, of which some may be replaced or added."""
    slopes = Slopes()
    for name, (base, factor, exponent) in {**MADE_UP, **changed_slopes}.items():
        ys = tuple(base + factor * x**exponent for x in SIZES)
        slopes.add(
            Slope(
                name,
                "made up",
                "size",
                "made up",
                SIZES,
                ys,
                base,
                factor,
                exponent,
                exponent,
                exponent,
                ys[-1],
                0.0,
                0.0,
            )
        )
    return Results(slopes, {"homes_bytes_an_engine_and_table_group": 40.0})


TEMPLATE = (ROOT / "docs/CAPACITY.md").read_text()  # the tests render its tables from made-up slopes


@pytest.fixture(scope="module")
def made_up_page() -> str:
    return render_page(TEMPLATE, made_up())


def lines_of(text: str, name: str) -> list[list[str]]:
    body = next(body for _, named, body, _ in page.TABLE_PATTERN.findall(text) if named == name)
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in body.splitlines()]


# The committed page.


def test_the_page_is_what_the_command_would_write_from_the_committed_results() -> None:
    results, text = page.read_results(ROOT / page.RESULTS), (ROOT / page.PAGE).read_text()
    assert find_problems(text, results) == []
    assert render_page(text, results) == text


# Each kind of problem is found.


def test_a_page_of_made_up_slopes_has_nothing_wrong(made_up_page: str) -> None:
    assert find_problems(made_up_page, made_up()) == []
    assert render_page(made_up_page, made_up()) == made_up_page


def test_a_figure_changed_by_hand_is_found(made_up_page: str) -> None:
    for name in page.render_tables(made_up()):
        head, rule, row, *_ = next(
            b for _, n, b, _ in page.TABLE_PATTERN.findall(made_up_page) if n == name
        ).splitlines()
        broken = made_up_page.replace(
            f"<!-- table {name} -->\n{head}\n{rule}\n{row}", f"<!-- table {name} -->\n{head}\n{rule}\n{row}9"
        )
        assert broken != made_up_page, name
        assert any(
            f"table {name}: differs from the results" in line for line in find_problems(broken, made_up())
        ), name
        without = made_up_page.replace(
            f"<!-- table {name} -->\n{head}\n{rule}\n{row}\n", f"<!-- table {name} -->\n{head}\n{rule}\n"
        )
        assert any(
            f"table {name}: lacks the line" in line for line in find_problems(without, made_up())
        ), name


def test_rows_in_another_order_are_found(made_up_page: str) -> None:
    body = next(
        body for _, name, body, _ in page.TABLE_PATTERN.findall(made_up_page) if name == "missing-flat"
    )
    head, rule, first, second, *rest = body.splitlines()
    broken = made_up_page.replace(body, "\n".join([head, rule, second, first, *rest]) + "\n")
    assert find_problems(broken, made_up()) == ["table missing-flat: its rows are in another order"]


def test_changed_results_are_found(made_up_page: str) -> None:
    dearer = made_up(member_bytes=(250.0, 2.0, 0.5))
    assert any("role-router" in line for line in find_problems(made_up_page, dearer))


def test_a_wrong_mark_of_a_ratio_is_found_by_the_page_alone(made_up_page: str) -> None:
    assert list(page.mark_problems(made_up_page)) == []
    marked = [m for m in made_up_page.splitlines() if OVER_MARK in m and m.startswith("| membership | flat")]
    assert marked
    for line in marked:
        broken = made_up_page.replace(line, line.replace(f" {OVER_MARK}", ""))
        assert any("a ratio above 1 is not marked" in each for each in page.mark_problems(broken))
    clean = next(
        m for m in made_up_page.splitlines() if m.startswith("| retry budgets | cells") and OVER_MARK not in m
    )
    ratio = clean.split("|")[9].strip()
    broken = made_up_page.replace(clean, clean.replace(ratio, f"{ratio} {OVER_MARK}"))
    assert any("a ratio below 1 is marked" in each for each in page.mark_problems(broken))


def test_every_row_over_its_limit_is_marked_by_code(made_up_page: str) -> None:
    model = CapacityModel(made_up())
    over = [
        resolved for resolved in model.rows if (ratio := resolved.ratio()) is not None and ratio.value > 1.0
    ]
    assert {
        (resolved.row.role, resolved.row.duty) for resolved in over if resolved.row.variant is Variant.FLAT
    } >= {(Role.ROUTER, Duty.DECISIONS), (Role.DIVIDER, Duty.MEMBERSHIP)}
    for resolved in over:
        rows = lines_of(made_up_page, f"role-{resolved.row.role.name.lower()}")
        (row,) = [r for r in rows if r[:2] == [resolved.row.duty.value, resolved.row.variant.value]]
        assert OVER_MARK in row[rows[0].index("ratio")]


def test_a_lost_run_is_found_although_the_page_marks_it() -> None:
    for name in MADE_UP:
        slopes = made_up()
        del slopes.by_name[name]
        try:
            text = render_page(TEMPLATE, slopes)
        except PageError as err:
            assert name in str(err)  # the size of a cell depends on it
            continue
        assert f"| `{name}` | {NO_RUN} |" in text
        assert find_problems(text, slopes) == [f"{name}: has no run and is not marked so"]


def test_a_lost_figure_and_a_slope_with_a_large_error_are_marked(made_up_page: str) -> None:
    lost = Results(made_up().slopes, {})
    text = render_page(TEMPLATE, lost)
    assert find_problems(text, lost) == [
        "homes_bytes_an_engine_and_table_group: has no run and is not marked so"
    ]
    (row,) = [r for r in lines_of(text, "role-router") if r[:2] == ["primaries", "flat"]]
    assert row[6] == NO_RUN
    slopes = made_up().by_name
    slopes["member_cpu"] = replace(slopes["member_cpu"], error=0.151)
    (row,) = [
        r
        for r in lines_of(render_page(TEMPLATE, Results(Slopes(slopes), made_up().figures)), "slopes")
        if "member_cpu" in r[0]
    ]
    assert row[-1] == f"15.1% {ERROR_MARK}" and ERROR_MARK not in "".join(
        body for _, _, body, _ in page.TABLE_PATTERN.findall(made_up_page)
    )


def test_a_row_without_a_run_is_marked_in_the_page(made_up_page: str) -> None:
    model = CapacityModel(made_up())
    unrun = [resolved for resolved in model.rows if resolved.slopes_without_run or resolved.row.awaited]
    assert {resolved.row.duty for resolved in unrun} >= {Duty.SPOOL, Duty.LOGS}
    for resolved in unrun:
        rows = lines_of(made_up_page, f"role-{resolved.row.role.name.lower()}")
        (row,) = [r for r in rows if r[:2] == [resolved.row.duty.value, resolved.row.variant.value]]
        assert NO_RUN in row[rows[0].index("ratio")] and NO_RUN in row[-1]
        line = f"| {' | '.join(row)} |"
        assert find_problems(made_up_page.replace(line, line.replace(NO_RUN, "measured")), made_up()) != []


def test_a_row_without_a_slope_that_is_not_marked_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    original_rows = duties.ROWS
    for place, row in enumerate(original_rows):
        rows = list(original_rows)
        rows[place] = replace(row, awaited=not row.awaited)
        monkeypatch.setattr(duties, "ROWS", rows)
        wrong = list(page.data_problems(made_up(), Path(target.__file__).parents[1]))
        assert [line for line in wrong if f"{row.role.value}, {row.duty.value}" in line] == wrong != []


def test_a_stale_mark_and_an_unknown_slope_are_found(made_up_page: str) -> None:
    assert "hollow_cpu: has a run; remove it from AWAITED" in find_problems(
        made_up_page, made_up(hollow_cpu=(0.0, 1.0, 1.0))
    )
    assert "member_cup: unknown slope" in find_problems(made_up_page, made_up(member_cup=(0.0, 1.0, 1.0)))


def test_a_row_that_uses_an_unknown_slope_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    row = replace(duties.ROWS[0], cpu=target.slope("member_cup", "routers"))
    monkeypatch.setattr(duties, "ROWS", [row, *duties.ROWS[1:]])
    assert any(
        "uses the unknown slope member_cup" in line
        for line in page.data_problems(made_up(), ROOT / "marbleworks")
    )
    with pytest.raises(KeyError, match="member_cup"):
        CapacityModel(made_up())


def test_a_role_without_a_row_or_a_reason_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    remaining_rows = [row for row in duties.ROWS if (row.role, row.duty) != (Role.ENGINE, Duty.DECISIONS)]
    monkeypatch.setattr(duties, "ROWS", remaining_rows)
    wrong = list(page.data_problems(made_up(), ROOT / "marbleworks"))
    assert wrong == [f"{Role.ENGINE.value}, decisions: needs either a row in ROWS or a reason in ABSENT"]


def test_a_mechanism_that_works_has_files_that_exist(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    assert any(
        "membership/failure_detector.py does not exist" in line
        for line in page.data_problems(made_up(), tmp_path)
    )
    built = replace(duties.ROWS[0], mechanism=duties.Mechanism("built", Status.BUILT))
    monkeypatch.setattr(duties, "ROWS", [built, *duties.ROWS[1:]])
    assert any(
        "no file implements it" in line for line in page.data_problems(made_up(), ROOT / "marbleworks")
    )


def test_a_figure_in_the_prose_that_no_table_holds_is_found(made_up_page: str) -> None:
    broken = made_up_page.replace("## Bursts\n", "## Bursts\n\nIt takes 7,331 bytes.\n")
    assert find_problems(broken, made_up()) == ["prose: 7,331 is in no table: It takes 7,331 bytes."]
    assert (
        find_problems(made_up_page.replace("## Bursts\n", "## Bursts\n\nOf 4,600 routers.\n"), made_up())
        == []
    )


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("<!-- table side -->", "<!-- side -->", "the table side occurs 0 times"),
        ("<!-- table side -->", "<!-- table side -->\n<!-- end -->\n<!-- table side -->", "occurs 2 times"),
        ("## Bursts\n", "## Bursts\n<!-- table sums -->\n<!-- end -->\n", "unknown table sums"),
    ],
)
def test_a_page_without_its_markers_is_not_written(
    made_up_page: str, old: str, new: str, message: str
) -> None:
    with pytest.raises(PageError, match=message):
        render_page(made_up_page.replace(old, new), made_up())
    with pytest.raises(PageError, match=message):
        find_problems(made_up_page.replace(old, new), made_up())


# The command.


def test_the_command_writes_checks_and_reports_a_problem_in_a_line(tmp_path: Path) -> None:
    results, text = tmp_path / "capacity.json", tmp_path / "page.md"
    results.write_text(json.dumps({**made_up().figures, "claims": [], "slopes": made_up().slopes.to_dict()}))
    text.write_text(TEMPLATE)
    arguments = ["lab", "page", "--results", str(results), "--page", str(text)]
    run = CliRunner()
    assert run.invoke(app, arguments).exit_code == 0
    assert text.read_text() == render_page(TEMPLATE, made_up())
    assert run.invoke(app, [*arguments, "--check"]).exit_code == 0
    broken = text.read_text().replace("| 4,600 |", "| 4,601 |", 1)
    text.write_text(broken)
    checked = run.invoke(app, [*arguments, "--check"])
    assert checked.exit_code == 1 and "table size: differs from the results" in checked.stdout
    assert text.read_text() == broken
    for content in ("{", "{}", '{"slopes": {"a": {}}}', '{"slopes": 3}'):
        results.write_text(content)
        result = run.invoke(app, arguments)
        assert result.exit_code == 1 and result.stderr.count("\n") == 1


# The size of a cell, and formulas.


@given(
    st.floats(0.01, 100.0), st.floats(1.0, 10.0), st.sampled_from(["cpu", "bytes", "state", "core", "answer"])
)
@settings(max_examples=200, deadline=None)
def test_a_larger_allowance_never_makes_a_smaller_cell(factor: float, growth: float, what: str) -> None:
    slopes = made_up().by_name
    allowance = Allowance().scaled(factor)
    routers, engines, bound = cell_size(slopes, allowance)
    assert 1 <= routers <= target.ROUTERS and engines >= 1
    for larger in (allowance.scaled(growth), replace(allowance, **{what: getattr(allowance, what) * growth})):
        assert cell_size(slopes, larger)[0] >= routers
    parts = target.bounds(slopes, allowance)
    if routers > 1:
        assert all(part(routers) <= 1.0 for part in parts.values())
    if routers < target.ROUTERS:
        assert parts[bound](routers + 1) > 1.0


def test_the_size_of_a_cell_follows_the_slope_that_limits_it() -> None:
    slopes = made_up()
    size, _, bound = cell_size(slopes.by_name)
    dearer = made_up(divider_bytes=(0.0, 128.0, 1.0))
    assert bound == "list, bytes of an answer" and size == 31
    halved, engines, bound = cell_size(dearer.by_name)
    assert bound == "membership, bytes" and halved == 23 and engines == 50
    with pytest.raises(KeyError, match="list_cpu"):
        cell_size({name: s for name, s in slopes.by_name.items() if name != "list_cpu"})


def test_the_figures_of_the_code_equal_its_constants() -> None:
    defaults = {s.name: s.default for s in BUDGETS_SECTION.settings}
    assert (defaults["lease"], defaults["settle"]) == (target.LEASE, target.SETTLE)
    assert (target.LIST_REQUESTS_PER_S, target.MAX_LIST_BYTES, target.LIST_PROPAGATION_S) == (
        1 / QUERY_INTERVAL_S,
        MAX_DNS_RESPONSE_BYTES,
        LISTING_PROPAGATION_S,
    )
    assert target.HOMES == MAX_HOME_SETS
    peers = {s.name: s.default for s in MEMBERSHIP_SECTION.settings}
    assert (peers["term"], MAX_CLOCK_DRIFT) == (target.TERM, target.DRIFT)
    assert (target.REPORTS_PER_S, target.ABANDONED_ATTEMPT_TIMEOUT_S) == (
        1 / REPORT_INTERVAL_S,
        ABANDONED_ATTEMPT_TIMEOUT_S,
    )
    max_field = 2**16 - 1
    widest = BudgetUsage(
        2**32 - 1,
        2**32 - 1,
        max_field,
        max_field,
        max_field,
        max_field / 100,
        max_field,
        max_field,
        max_field,
    )
    assert len(next(split_usages([widest] * MAX_REPORT_ENTRIES))) == target.MIN_DATAGRAM_ENTRIES


def test_a_formula_multiplies_divides_and_adds() -> None:
    slopes = made_up().by_name
    use = Use(("two",), (("engine_state", "engines"),), ("cells",), (("door_state", "engines"),))
    figure = evaluate((use, use), slopes, {"two": 2.0, "engines": 640.0, "cells": 4.0})
    assert figure.value == pytest.approx(2 * 2.0 * 3200 * 640 / 4 / (400 * 640))
    assert figure.times_beyond == 2.0 and figure.times_below == 10 / 640 and figure.text.count("2") == 0
    lost = evaluate((use,), {}, {"two": 2.0, "engines": 640.0, "cells": 4.0})
    assert lost.slopes_without_run == {"engine_state", "door_state"}
    with pytest.raises(KeyError):
        evaluate((use,), slopes, {"two": 2.0})


def test_a_burst_costs_more_than_none_and_a_larger_one_more_than_a_smaller() -> None:
    rows = lines_of(render_page(TEMPLATE, made_up()), "peaks")
    model = CapacityModel(made_up())
    peaks = {row[0]: row for row in rows if row[1] == "cells"}
    assert set(peaks) == {burst.name for burst in duties.BURSTS}
    column = rows[0].index("ratio")
    ratio = {name: float(row[column].split()[0].replace(",", "")) for name, row in peaks.items()}
    rest = model.control_sums(Role.DIVIDER, Variant.CELLS)[0]["bytes"].value / target.BYTES
    assert rest < ratio["an ordinary day"] < ratio["the zone's return"] < ratio["all power"]
    burst_inputs = duties.BURSTS[2].inputs(Variant.FLAT, model.inputs_by_variant[Variant.FLAT])
    assert burst_inputs["left_clients"] == pytest.approx(target.CLIENTS / target.ROUTERS + 590_000 / 4_329)


def test_missing_rows_are_in_the_order_of_their_ratios() -> None:
    model = CapacityModel(made_up())
    for variant in Variant:
        values = [
            -1.0 if (ratio := resolved.ratio()) is None else ratio.value
            for resolved in page.missing_rows(model, variant)
        ]
        assert values == sorted(values, reverse=True) and len(values) > 3
        assert all(
            resolved in page.missing_rows(model, variant)
            for resolved in model.rows
            if resolved.row.variant is variant and (ratio := resolved.ratio()) is not None and ratio.over
        )
