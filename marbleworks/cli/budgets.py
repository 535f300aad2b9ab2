"""The command group `budgets`: the fleet's shared budgets as running routers report them."""

from __future__ import annotations

import typer

from marbleworks.cli.errors import failure

app = typer.Typer(no_args_is_help=True, help="The fleet's shared budgets as running routers report them.")
ADDRESSES = typer.Argument(..., help="host:port of routers, preferably of all routers of the fleet.")


@app.callback()
def group() -> None:
    """The fleet's shared budgets as running routers report them."""


@app.command("show")
def show(addresses: list[str] = ADDRESSES) -> None:
    """Print the total, held, used, free and unreachable units of each budget, and the shares by router."""
    from marbleworks.budgets.report import render
    from marbleworks.membership.report import HealthQueryError

    try:
        for line in render(addresses):
            typer.echo(line)
    except HealthQueryError as error:
        raise failure(error) from None
