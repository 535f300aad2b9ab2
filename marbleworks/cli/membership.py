"""The command group `peers`: a running router's view of its group."""

from __future__ import annotations

import typer

from marbleworks.cli.errors import failure

app = typer.Typer(no_args_is_help=True, help="A running router's view of its group.")
ADDRESS = typer.Argument(..., help="host:port where the router listens for clients.")


@app.command("show")
def show(address: str = ADDRESS) -> None:
    """Print a router's view of the members, its own health and its quota as a table."""
    from marbleworks.membership.report import HealthQueryError, format_view, query_health

    try:
        for line in format_view(query_health(address)):
            typer.echo(line)
    except HealthQueryError as error:
        raise failure(f"{address}: {error}") from None


@app.command("watch")
def watch(
    address: str = ADDRESS,
    every: float = typer.Option(0.5, min=0.1, max=60.0, help="Seconds between queries."),
    times: int = typer.Option(0, min=0, help="Number of queries; 0: until interrupted."),
) -> None:
    """Print a line for each change of a router's view, quorum status or quota."""
    from marbleworks.membership.report import HealthQueryError, watch_view

    try:
        for line in watch_view(address, every, times):
            typer.echo(line)
    except HealthQueryError as error:
        raise failure(f"{address}: {error}") from None
    except KeyboardInterrupt:
        pass
