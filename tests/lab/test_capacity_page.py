"""The capacity page: its tables are what its results say, and each way in which they may not be is found."""

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
from marbleworks.lab.page import OFF, OVER, UNRUN, Book, PageError, Results, problems, written
from marbleworks.lab.slopes import Slope, Slopes
from marbleworks.lab.target import Allowance, Use, Variant, cell_size, worked
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT
from marbleworks.membership.options import MEMBERSHIP_SECTION
from marbleworks.net.discovery import QUERY_INTERVAL_S
from marbleworks.net.engine_protocol import LISTING_PROPAGATION_S, MAX_DNS_RESPONSE_BYTES
from marbleworks.scheduling.placement import MAX_HOME_SETS

ROOT = Path(__file__).parents[2]
SIZES = (10.0, 20.0, 40.0, 80.0, 160.0, 320.0)
# Base, factor, exponent. Made up for the tests: none of it was measured.
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


def made_up(**more: tuple[float, float, float]) -> Results:
    """Curves without error or doubt."""
    slopes = Slopes()
    for name, (base, factor, exponent) in {**MADE_UP, **more}.items():
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


BLANK = (ROOT / "docs/CAPACITY.md").read_text()  # whose tables are then written anew from what is made up


@pytest.fixture(scope="module")
def whole() -> str:
    return written(BLANK, made_up())


def lines_of(text: str, name: str) -> list[list[str]]:
    body = next(body for _, named, body, _ in page.TABLE.findall(text) if named == name)
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in body.splitlines()]


# The committed page.


def test_the_page_is_what_the_command_would_write_of_the_committed_results() -> None:
    results, text = page.read(ROOT / page.RESULTS), (ROOT / page.PAGE).read_text()
    assert problems(text, results) == []
    assert written(text, results) == text


# Each thing that may be wrong is found.


def test_a_page_of_made_up_slopes_has_nothing_wrong(whole: str) -> None:
    assert problems(whole, made_up()) == []
    assert written(whole, made_up()) == whole


def test_a_figure_changed_by_hand_is_found(whole: str) -> None:
    for name in page.tables(made_up()):
        head, rule, row, *_ = next(b for _, n, b, _ in page.TABLE.findall(whole) if n == name).splitlines()
        broken = whole.replace(
            f"<!-- table {name} -->\n{head}\n{rule}\n{row}", f"<!-- table {name} -->\n{head}\n{rule}\n{row}9"
        )
        assert broken != whole, name
        assert any(f"table {name}: not what" in line for line in problems(broken, made_up())), name
        without = whole.replace(
            f"<!-- table {name} -->\n{head}\n{rule}\n{row}\n", f"<!-- table {name} -->\n{head}\n{rule}\n"
        )
        assert any(f"table {name}: lacks" in line for line in problems(without, made_up())), name


def test_rows_in_another_order_are_found(whole: str) -> None:
    body = next(body for _, name, body, _ in page.TABLE.findall(whole) if name == "missing-flat")
    head, rule, first, second, *rest = body.splitlines()
    broken = whole.replace(body, "\n".join([head, rule, second, first, *rest]) + "\n")
    assert problems(broken, made_up()) == ["table missing-flat: in another order"]


def test_results_that_moved_on_are_found(whole: str) -> None:
    dearer = made_up(member_bytes=(250.0, 2.0, 0.5))
    assert any("role-router" in line for line in problems(whole, dearer))


def test_a_limit_that_is_passed_and_not_marked_is_found_by_the_page_alone(whole: str) -> None:
    assert list(page.marks_wrong(whole)) == []
    marked = [m for m in whole.splitlines() if OVER in m and m.startswith("| membership | flat")]
    assert marked
    for line in marked:
        broken = whole.replace(line, line.replace(f" {OVER}", ""))
        assert any("passed and not marked" in each for each in page.marks_wrong(broken))
    clean = next(m for m in whole.splitlines() if m.startswith("| retry budgets | cells") and OVER not in m)
    ratio = clean.split("|")[9].strip()
    broken = whole.replace(clean, clean.replace(ratio, f"{ratio} {OVER}"))
    assert any("no limit is passed" in each for each in page.marks_wrong(broken))


def test_every_row_over_its_limit_is_marked_by_code(whole: str) -> None:
    book = Book(made_up())
    over = [w for w in book.rows if (ratio := w.ratio()) is not None and ratio.value > 1.0]
    assert {(w.row.role, w.row.duty) for w in over if w.row.variant is Variant.FLAT} >= {
        (Role.ROUTER, Duty.DECISIONS),
        (Role.DIVIDER, Duty.MEMBERSHIP),
    }
    for w in over:
        rows = lines_of(whole, f"role-{w.row.role.name.lower()}")
        (row,) = [r for r in rows if r[:2] == [w.row.duty.value, w.row.variant.value]]
        assert OVER in row[rows[0].index("ratio")]


def test_a_run_that_is_lost_is_found_though_the_page_would_say_so() -> None:
    for name in MADE_UP:
        slopes = made_up()
        del slopes.by_name[name]
        try:
            text = written(BLANK, slopes)
        except PageError as err:
            assert name in str(err)  # a cell has no size without it
            continue
        assert f"| `{name}` | {UNRUN} |" in text
        assert problems(text, slopes) == [f"{name}: has no run and is not marked so"]


def test_a_figure_that_is_lost_and_a_slope_that_is_off_are_told(whole: str) -> None:
    lost = Results(made_up().slopes, {})
    text = written(BLANK, lost)
    assert problems(text, lost) == ["homes_bytes_an_engine_and_table_group: has no run and is not marked so"]
    (row,) = [r for r in lines_of(text, "role-router") if r[:2] == ["primaries", "flat"]]
    assert row[6] == UNRUN
    slopes = made_up().by_name
    slopes["member_cpu"] = replace(slopes["member_cpu"], error=0.151)
    (row,) = [
        r
        for r in lines_of(written(BLANK, Results(Slopes(slopes), made_up().figures)), "slopes")
        if "member_cpu" in r[0]
    ]
    assert row[-1] == f"15.1% {OFF}" and OFF not in "".join(
        body for _, _, body, _ in page.TABLE.findall(whole)
    )


def test_a_row_without_a_run_is_marked_in_the_page(whole: str) -> None:
    book = Book(made_up())
    unrun = [w for w in book.rows if w.unrun or w.row.awaited]
    assert {w.row.duty for w in unrun} >= {Duty.SPOOL, Duty.LOGS}
    for w in unrun:
        rows = lines_of(whole, f"role-{w.row.role.name.lower()}")
        (row,) = [r for r in rows if r[:2] == [w.row.duty.value, w.row.variant.value]]
        assert UNRUN in row[rows[0].index("ratio")] and UNRUN in row[-1]
        line = f"| {' | '.join(row)} |"
        assert problems(whole.replace(line, line.replace(UNRUN, "measured")), made_up()) != []


def test_a_row_without_a_slope_that_is_not_marked_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    true = duties.ROWS
    for place, row in enumerate(true):
        rows = list(true)
        rows[place] = replace(row, awaited=not row.awaited)
        monkeypatch.setattr(duties, "ROWS", rows)
        wrong = list(page.data_wrong(made_up(), Path(target.__file__).parents[1]))
        assert [line for line in wrong if f"{row.role.value}, {row.duty.value}" in line] == wrong != []


def test_a_mark_that_is_stale_and_a_slope_that_nobody_knows_are_found(whole: str) -> None:
    assert "hollow_cpu: has a run; take it out of AWAITED" in problems(
        whole, made_up(hollow_cpu=(0.0, 1.0, 1.0))
    )
    assert "member_cup: no slope has this name" in problems(whole, made_up(member_cup=(0.0, 1.0, 1.0)))


def test_a_row_that_names_a_slope_that_nobody_knows_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    row = replace(duties.ROWS[0], cpu=target.slope("member_cup", "routers"))
    monkeypatch.setattr(duties, "ROWS", [row, *duties.ROWS[1:]])
    assert any(
        "no slope is named member_cup" in line for line in page.data_wrong(made_up(), ROOT / "marbleworks")
    )
    with pytest.raises(KeyError, match="member_cup"):
        Book(made_up())


def test_a_role_without_a_row_or_a_word_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    left = [row for row in duties.ROWS if (row.role, row.duty) != (Role.ENGINE, Duty.DECISIONS)]
    monkeypatch.setattr(duties, "ROWS", left)
    wrong = list(page.data_wrong(made_up(), ROOT / "marbleworks"))
    assert wrong == [f"{Role.ENGINE.value}, decisions: wants a row, or a word why there is none"]


def test_what_works_is_carried_by_a_file_that_is_there(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    assert any(
        "membership/failure_detector.py is not there" in line for line in page.data_wrong(made_up(), tmp_path)
    )
    built = replace(duties.ROWS[0], carried=duties.Carried("built", Status.BUILT))
    monkeypatch.setattr(duties, "ROWS", [built, *duties.ROWS[1:]])
    assert any("no file carries it" in line for line in page.data_wrong(made_up(), ROOT / "marbleworks"))


def test_a_figure_in_the_prose_that_no_table_holds_is_found(whole: str) -> None:
    broken = whole.replace("## Bursts\n", "## Bursts\n\nIt takes 7,331 bytes.\n")
    assert problems(broken, made_up()) == ["prose: no table holds 7,331: It takes 7,331 bytes."]
    assert problems(whole.replace("## Bursts\n", "## Bursts\n\nOf 4,600 routers.\n"), made_up()) == []


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ("<!-- table side -->", "<!-- side -->", "the table side is there 0 times"),
        ("<!-- table side -->", "<!-- table side -->\n<!-- end -->\n<!-- table side -->", "there 2 times"),
        ("## Bursts\n", "## Bursts\n<!-- table sums -->\n<!-- end -->\n", "no table is named sums"),
    ],
)
def test_a_page_without_its_markers_is_not_written(whole: str, old: str, new: str, said: str) -> None:
    with pytest.raises(PageError, match=said):
        written(whole.replace(old, new), made_up())
    with pytest.raises(PageError, match=said):
        problems(whole.replace(old, new), made_up())


# The command.


def test_the_command_writes_checks_and_says_in_a_line_what_is_wrong(tmp_path: Path) -> None:
    results, text = tmp_path / "capacity.json", tmp_path / "page.md"
    results.write_text(json.dumps({**made_up().figures, "claims": [], "slopes": made_up().slopes.to_dict()}))
    text.write_text(BLANK)
    args = ["lab", "page", "--results", str(results), "--page", str(text)]
    run = CliRunner()
    assert run.invoke(app, args).exit_code == 0
    assert text.read_text() == written(BLANK, made_up())
    assert run.invoke(app, [*args, "--check"]).exit_code == 0
    broken = text.read_text().replace("| 4,600 |", "| 4,601 |", 1)
    text.write_text(broken)
    checked = run.invoke(app, [*args, "--check"])
    assert checked.exit_code == 1 and "table size: not what the results say" in checked.stdout
    assert text.read_text() == broken
    for content in ("{", "{}", '{"slopes": {"a": {}}}', '{"slopes": 3}'):
        results.write_text(content)
        said = run.invoke(app, args)
        assert said.exit_code == 1 and said.stderr.count("\n") == 1


# The size of a cell, and formulas.


@given(
    st.floats(0.01, 100.0), st.floats(1.0, 10.0), st.sampled_from(["cpu", "bytes", "state", "core", "answer"])
)
@settings(max_examples=200, deadline=None)
def test_a_larger_allowance_never_makes_a_smaller_cell(by: float, more: float, what: str) -> None:
    slopes = made_up().by_name
    a = Allowance().scaled(by)
    routers, engines, bound = cell_size(slopes, a)
    assert 1 <= routers <= target.ROUTERS and engines >= 1
    for larger in (a.scaled(more), replace(a, **{what: getattr(a, what) * more})):
        assert cell_size(slopes, larger)[0] >= routers
    parts = target.bounds(slopes, a)
    if routers > 1:
        assert all(part(routers) <= 1.0 for part in parts.values())
    if routers < target.ROUTERS:
        assert parts[bound](routers + 1) > 1.0


def test_a_cell_follows_the_slope_that_binds_it() -> None:
    slopes = made_up()
    size, _, bound = cell_size(slopes.by_name)
    dearer = made_up(divider_bytes=(0.0, 128.0, 1.0))
    assert bound == "list, bytes of an answer" and size == 31
    halved, engines, bound = cell_size(dearer.by_name)
    assert bound == "membership, bytes" and halved == 23 and engines == 50
    with pytest.raises(KeyError, match="list_cpu"):
        cell_size({name: s for name, s in slopes.by_name.items() if name != "list_cpu"})


def test_the_figures_of_the_code_are_the_codes() -> None:
    told = {s.name: s.default for s in BUDGETS_SECTION.settings}
    assert (told["lease"], told["settle"]) == (target.LEASE, target.SETTLE)
    assert (target.ASKS, target.ANSWER, target.TOLD) == (
        1 / QUERY_INTERVAL_S,
        MAX_DNS_RESPONSE_BYTES,
        LISTING_PROPAGATION_S,
    )
    assert target.HOMES == MAX_HOME_SETS
    peers = {s.name: s.default for s in MEMBERSHIP_SECTION.settings}
    assert (peers["term"], MAX_CLOCK_DRIFT) == (target.TERM, target.DRIFT)
    assert (target.REPORTS, target.QUIET) == (1 / REPORT_INTERVAL_S, ABANDONED_ATTEMPT_TIMEOUT_S)
    most = 2**16 - 1
    widest = BudgetUsage(2**32 - 1, 2**32 - 1, most, most, most, most / 100, most, most, most)
    assert len(next(split_usages([widest] * MAX_REPORT_ENTRIES))) == target.FEWEST


def test_a_formula_multiplies_divides_and_adds() -> None:
    slopes = made_up().by_name
    use = Use(("two",), (("engine_state", "engines"),), ("cells",), (("door_state", "engines"),))
    figure = worked((use, use), slopes, {"two": 2.0, "engines": 640.0, "cells": 4.0})
    assert figure.value == pytest.approx(2 * 2.0 * 3200 * 640 / 4 / (400 * 640))
    assert figure.far == 2.0 and figure.under == 10 / 640 and figure.text.count("2") == 0
    lost = worked((use,), {}, {"two": 2.0, "engines": 640.0, "cells": 4.0})
    assert lost.unrun == {"engine_state", "door_state"}
    with pytest.raises(KeyError):
        worked((use,), slopes, {"two": 2.0})


def test_a_burst_costs_no_less_than_rest_and_the_larger_one_more() -> None:
    rows = lines_of(written(BLANK, made_up()), "peaks")
    book = Book(made_up())
    peaks = {row[0]: row for row in rows if row[1] == "cells"}
    assert set(peaks) == {burst.name for burst in duties.BURSTS}
    column = rows[0].index("ratio")
    ratio = {name: float(row[column].split()[0].replace(",", "")) for name, row in peaks.items()}
    rest = book.sums(Role.DIVIDER, Variant.CELLS)[0]["bytes"].value / target.BYTES
    assert rest < ratio["an ordinary day"] < ratio["the zone's return"] < ratio["all power"]
    far = duties.BURSTS[2].inputs(Variant.FLAT, book.of[Variant.FLAT])
    assert far["left_clients"] == pytest.approx(target.CLIENTS / target.ROUTERS + 590_000 / 4_329)


def test_what_is_missing_is_in_the_order_of_its_figures() -> None:
    book = Book(made_up())
    for variant in Variant:
        values = [-1.0 if (ratio := w.ratio()) is None else ratio.value for w in page.order(book, variant)]
        assert values == sorted(values, reverse=True) and len(values) > 3
        assert all(
            w in page.order(book, variant)
            for w in book.rows
            if w.row.variant is variant and (ratio := w.ratio()) is not None and ratio.over
        )
