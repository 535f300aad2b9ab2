"""The command line of a router."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import typer

from marbleworks import VERSION
from marbleworks.deployment import DeploymentError

if TYPE_CHECKING:
    from marbleworks.net.serve import Station

app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False, rich_markup_mode=None
)
CONFIGURATION = typer.Option(
    os.environ.get("RELAY_CONFIG", ""), "--config", help="The router's configuration (RELAY_CONFIG)."
)


def _station(path: str) -> Station:
    from marbleworks.net.serve import Station

    try:
        if not path:
            raise DeploymentError("no configuration: name one by --config or RELAY_CONFIG")
        return Station.read(path)
    except DeploymentError as err:
        typer.echo(f"marbleworks: {err}", err=True)
        raise typer.Exit(1) from None


@app.command()
def serve(config: str = CONFIGURATION) -> None:
    """Run one router until SIGTERM."""
    from marbleworks.net.serve import serve as run

    station = _station(config)
    try:
        run(station, config)
    except (DeploymentError, OSError) as err:
        typer.echo(f"marbleworks: {err}", err=True)
        raise typer.Exit(1) from None


@app.command()
def check(config: str = CONFIGURATION) -> None:
    """Read a configuration and say in a line what is wrong with it."""
    station = _station(config)
    typer.echo(f"{station.name}: {len(station.deployment.profiles)} profiles, {config}: fit to serve")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(VERSION)


if __name__ == "__main__":
    app()
