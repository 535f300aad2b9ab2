"""The command line of a router."""

from __future__ import annotations

import os
from types import ModuleType
from typing import TYPE_CHECKING

import typer

from marbleworks import VERSION
from marbleworks.settings import SettingsError
from marbleworks.startup_signals import StartupSignals

if TYPE_CHECKING:
    from marbleworks.net.server import RouterConfig
    from marbleworks.subsystems.wiring import Subsystems

app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False, rich_markup_mode=None
)
CONFIGURATION = typer.Option(
    os.environ.get("RELAY_CONFIG", ""), "--config", help="The router's configuration (RELAY_CONFIG)."
)
OPERATOR = typer.Option(
    os.environ.get("MARBLEWORKS_OPERATOR", ""),
    "--operator",
    help="The operator's file (MARBLEWORKS_OPERATOR).",
)


def _say_and_exit(err: object) -> typer.Exit:
    typer.echo(f"marbleworks: {err}", err=True)
    return typer.Exit(1)


def _fitted(path: str) -> Subsystems | None:
    """What the operator's file turns on; nothing of it is imported without one."""
    if not path:
        return None
    from marbleworks.operator_config.document import OperatorConfigError
    from marbleworks.subsystems.registry import read_book
    from marbleworks.subsystems.wiring import Subsystems

    try:
        return Subsystems(read_book(path))
    except OperatorConfigError as err:
        raise _say_and_exit(err) from None


def _station(path: str) -> RouterConfig:
    from marbleworks.net.server import RouterConfig

    try:
        if not path:
            raise SettingsError("no configuration: name one by --config or RELAY_CONFIG")
        return RouterConfig.read(path)
    except SettingsError as err:
        raise _say_and_exit(err) from None


@app.command()
def serve(config: str = CONFIGURATION, operator: str = OPERATOR) -> None:
    """Run one router until SIGTERM."""
    early = StartupSignals()
    from marbleworks.net.server import serve as run

    station = _station(config)
    try:
        run(station, config, _fitted(operator), early)
    except (SettingsError, OSError) as err:
        raise _say_and_exit(err) from None


@app.command()
def check(config: str = CONFIGURATION, operator: str = OPERATOR) -> None:
    """Read a configuration and the operator's file, and say in a line what is wrong with them."""
    station, fitted = _station(config), _fitted(operator)
    if fitted is not None:
        typer.echo(f"{operator}: {', '.join(fitted.book.sections) or 'no section'}: fit to serve")
    typer.echo(f"{station.name}: {len(station.settings.class_index)} profiles, {config}: fit to serve")


@app.command()
def settings() -> None:
    """Print every setting of the operator's file: type, bounds, default, meaning."""
    from marbleworks.subsystems.registry import described

    for line in described():
        typer.echo(line)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(VERSION)


door = typer.Typer(no_args_is_help=True, help="What the door decided.")
app.add_typer(door, name="door")


@door.callback()
def door_help() -> None:
    """What the door decided."""


@door.command("explain")
def door_explain(
    log: str = typer.Argument(..., help="A router's log, with `(trace on)` in the section door."),
    ref: str = typer.Option("", "--ref", help="One command's id."),
) -> None:
    """Print who was queued, promised and turned away, and why."""
    from marbleworks.fair_queue.trace_report import explained

    try:
        with open(log, encoding="utf-8", errors="replace") as lines:
            for line in explained(lines, ref):
                typer.echo(line)
    except OSError as err:
        raise _say_and_exit(f"{log}: {err.strerror}") from None


peers = typer.Typer(no_args_is_help=True, help="What a running router believes of its group.")
app.add_typer(peers, name="peers")
ADDRESS = typer.Argument(..., help="host:port where the router listens for clients.")


@peers.command("show")
def peers_show(address: str = ADDRESS) -> None:
    """Print a router's view, doubts and rights as a table."""
    from marbleworks.membership.report import HealthQueryError, format_view, query_health

    try:
        for line in format_view(query_health(address)):
            typer.echo(line)
    except HealthQueryError as err:
        raise _say_and_exit(f"{address}: {err}") from None


@peers.command("watch")
def peers_watch(
    address: str = ADDRESS,
    every: float = typer.Option(0.5, min=0.1, max=60.0, help="Seconds between looks."),
    times: int = typer.Option(0, min=0, help="So many looks; 0: until interrupted."),
) -> None:
    """Print a line for each change of a router's view or standing."""
    from marbleworks.membership.report import HealthQueryError, watch_view

    try:
        for line in watch_view(address, every, times):
            typer.echo(line)
    except HealthQueryError as err:
        raise _say_and_exit(f"{address}: {err}") from None
    except KeyboardInterrupt:
        pass


ADDRESSES = typer.Argument(..., help="host:port of routers, best of all of them.")
budgets = typer.Typer(no_args_is_help=True, help="What running routers have of the fleet's budgets.")
app.add_typer(budgets, name="budgets")


@budgets.callback()
def budgets_help() -> None:
    """What running routers have of the fleet's budgets."""


@budgets.command("show")
def budgets_show(addresses: list[str] = ADDRESSES) -> None:
    """Print each budget: whole, held, used, free, unreachable, by router."""
    from marbleworks.budgets.report import shown
    from marbleworks.membership.report import HealthQueryError

    try:
        for line in shown(addresses):
            typer.echo(line)
    except HealthQueryError as err:
        raise _say_and_exit(err) from None


lab = typer.Typer(
    no_args_is_help=True, help="Stand-ins, load and experiments on loopback (requirements-lab.txt)."
)
app.add_typer(lab, name="lab")
SEED = typer.Option(1, min=0, help="For all that is drawn.")


@lab.command("try")
def lab_try(seconds: float = typer.Option(10.0, min=1.0, max=600.0), seed: int = SEED) -> None:
    """Start a small fleet and a router, send a mixed load, print what became of it."""
    report = _lab().tried(seconds, seed)
    for line in report.lines():
        typer.echo(line)
    raise typer.Exit(0 if report.holds else 1)


@lab.command("list")
def lab_list() -> None:
    """Print the experiments."""
    for line in _lab().listed():
        typer.echo(line)


@lab.command("run")
def lab_run(
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
        raise _say_and_exit(f"no experiment {name!r}; see lab list") from None
    except OSError as err:
        raise _say_and_exit(f"{out}: {err.strerror}") from None
    for line in report.lines():
        typer.echo(line)
    raise typer.Exit(0 if report.holds else 1)


@lab.command("page")
def lab_page(
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
        raise _say_and_exit(f"{page}: {err.strerror}") from None
    except PageError as err:
        raise _say_and_exit(err) from None
    for line in wrong:
        typer.echo(line)
    raise typer.Exit(1 if wrong else 0)


def _lab() -> ModuleType:
    try:
        import marbleworks.lab.command as command
    except ImportError as err:
        raise _say_and_exit(f"the lab needs {err.name}: pip install -r requirements-lab.txt") from None
    return command


spool = typer.Typer(no_args_is_help=True, help="Look at a spool's folder without a router.")
app.add_typer(spool, name="spool")
NUMBERS = typer.Argument(..., help="As `list` shows it.")
FOLDER = typer.Argument(..., help="The folder of the section spool.")


@spool.command("list")
def spool_list(folder: str = FOLDER) -> None:
    """Print a line for each result that stands."""
    from marbleworks.spool.maintenance import listed

    try:
        for line in listed(folder):
            typer.echo(line)
    except OSError as err:
        raise _say_and_exit(f"{folder}: {err.strerror}") from None


@spool.command("check")
def spool_check(folder: str = FOLDER) -> None:
    """Read a folder through to the last byte; exit 1 where anything is wrong."""
    from marbleworks.spool.maintenance import checked

    try:
        lines, whole = checked(folder)
    except OSError as err:
        raise _say_and_exit(f"{folder}: {err.strerror}") from None
    for line in lines:
        typer.echo(line)
    raise typer.Exit(0 if whole else 1)


@spool.command("drop")
def spool_drop(folder: str = FOLDER, number: list[str] = NUMBERS) -> None:
    """Drop results of a folder that no router has."""
    from marbleworks.spool.maintenance import drop

    try:
        count = drop(folder, [int(text, 16) for text in number])
    except ValueError:
        raise _say_and_exit("a number is 16 hex digits, as `spool list` shows it") from None
    except BlockingIOError:
        raise _say_and_exit(f"{folder}: a router has this folder") from None
    except OSError as err:
        raise _say_and_exit(f"{folder}: {err.strerror}") from None
    typer.echo(f"{count} dropped")


if __name__ == "__main__":
    app()
