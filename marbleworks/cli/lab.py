"""The group `lab`: stand-ins, load and experiments on loopback."""

from __future__ import annotations

from types import ModuleType

import typer

from marbleworks.cli.errors import failure

app = typer.Typer(
    no_args_is_help=True, help="Stand-ins, load and experiments on loopback (requirements-lab.txt)."
)
SEED = typer.Option(1, min=0, help="For all that is drawn.")


@app.command("try")
def try_out(seconds: float = typer.Option(10.0, min=1.0, max=600.0), seed: int = SEED) -> None:
    """Start a small fleet and a router, send a mixed load, print what became of it."""
    report = _lab().tried(seconds, seed)
    for line in report.lines():
        typer.echo(line)
    raise typer.Exit(0 if report.holds else 1)


@app.command("list")
def list_experiments() -> None:
    """Print the experiments."""
    for line in _lab().listed():
        typer.echo(line)


@app.command("run")
def run(
    name: str,
    seed: int = SEED,
    quick: bool = typer.Option(False, "--quick", help="Within 45 s."),
    out: str = typer.Option("found", help="The folder for NAME.json, NAME.csv and NAME.svg."),
) -> None:
    """Play an experiment; exit 0 only if all its claims hold."""
    from pathlib import Path

    try:
        report = _lab().run(name, seed, quick, Path(out))
    except KeyError:
        raise failure(f"no experiment {name!r}; see lab list") from None
    except OSError as err:
        raise failure(f"{out}: {err.strerror}") from None
    for line in report.lines():
        typer.echo(line)
    raise typer.Exit(0 if report.holds else 1)


@app.command("page")
def page(
    check: bool = typer.Option(False, "--check", help="Write nothing; exit 1 where anything is wrong."),
    results: str = typer.Option("docs/results/capacity.json", help="What `lab run capacity` wrote."),
    page: str = typer.Option("docs/CAPACITY.md", help="The page whose tables are written."),
) -> None:
    """Write the tables of the capacity page from its results, or check them."""
    from pathlib import Path

    from marbleworks.lab.page import PageError, problems, read, written

    try:
        found, text = read(Path(results)), Path(page).read_text()
        if not check:
            text = written(text, found)
            Path(page).write_text(text)
        wrong = problems(text, found)
    except OSError as err:
        raise failure(f"{page}: {err.strerror}") from None
    except PageError as err:
        raise failure(err) from None
    for line in wrong:
        typer.echo(line)
    raise typer.Exit(1 if wrong else 0)


def _lab() -> ModuleType:
    try:
        import marbleworks.lab.command as command
    except ImportError as err:
        raise failure(f"the lab needs {err.name}: pip install -r requirements-lab.txt") from None
    return command
