"""The group `budgets`: what running routers have of the fleet's budgets."""

from __future__ import annotations

import typer

from marbleworks.cli.errors import failure

app = typer.Typer(no_args_is_help=True, help="What running routers have of the fleet's budgets.")
ADDRESSES = typer.Argument(..., help="host:port of routers, best of all of them.")


@app.callback()
def group() -> None:
    """What running routers have of the fleet's budgets."""


@app.command("show")
def show(addresses: list[str] = ADDRESSES) -> None:
    """Print each budget: whole, held, used, free, unreachable, by router."""
    from marbleworks.budgets.report import render
    from marbleworks.membership.report import HealthQueryError

    try:
        for line in render(addresses):
            typer.echo(line)
    except HealthQueryError as error:
        raise failure(error) from None
