"""The command group `lab`: simulated engines, a load generator and experiments on the loopback interface."""

from __future__ import annotations

from types import ModuleType

import typer

from marbleworks.cli.errors import failure

app = typer.Typer(
    no_args_is_help=True,
    help="Simulated engines, load and experiments on the loopback interface (requirements-lab.txt).",
)
SEED = typer.Option(1, min=0, help="Seed of all random choices.")


@app.command("try")
def try_fleet(seconds: float = typer.Option(10.0, min=1.0, max=600.0), seed: int = SEED) -> None:
    """Start a small fleet and a router, send a mixed load and print the outcome."""
    report = _lab().try_fleet(seconds, seed)
    for line in report.lines():
        typer.echo(line)
    raise typer.Exit(0 if report.holds else 1)


@app.command("list")
def list_experiments() -> None:
    """Print the names and descriptions of the experiments."""
    for line in _lab().describe_experiments():
        typer.echo(line)


@app.command("run")
def run(
    name: str,
    seed: int = SEED,
    quick: bool = typer.Option(False, "--quick", help="Run a shorter version that takes at most 45 s."),
    out: str = typer.Option("found", help="Folder in which NAME.json, NAME.csv and NAME.svg are written."),
) -> None:
    """Run an experiment; exit 0 only if all its claims hold."""
    from pathlib import Path

    try:
        report = _lab().run(name, seed, quick, Path(out))
    except KeyError:
        raise failure(f"no experiment {name!r}; see lab list") from None
    except OSError as error:
        raise failure(f"{out}: {error.strerror}") from None
    for line in report.lines():
        typer.echo(line)
    raise typer.Exit(0 if report.holds else 1)


@app.command("page")
def page(
    check: bool = typer.Option(
        False, "--check", help="Write nothing; print what is wrong, exit 1 if anything is."
    ),
    results: str = typer.Option(
        "docs/results/capacity.json", help="Results file written by `lab run capacity`."
    ),
    page: str = typer.Option("docs/CAPACITY.md", help="Page whose tables are written."),
) -> None:
    """Write the tables of the capacity page from the results, or check them."""
    from pathlib import Path

    from marbleworks.lab.page import PageError, find_problems, read_results, render_page

    try:
        capacity_results, text = read_results(Path(results)), Path(page).read_text()
        if not check:
            text = render_page(text, capacity_results)
            Path(page).write_text(text)
        page_problems = find_problems(text, capacity_results)
    except OSError as error:
        raise failure(f"{page}: {error.strerror}") from None
    except PageError as error:
        raise failure(error) from None
    for line in page_problems:
        typer.echo(line)
    raise typer.Exit(1 if page_problems else 0)


def _lab() -> ModuleType:
    try:
        import marbleworks.lab.command as command
    except ImportError as error:
        raise failure(f"the lab needs {error.name}: pip install -r requirements-lab.txt") from None
    return command
