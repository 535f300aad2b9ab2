"""Error exit of the commands."""

from __future__ import annotations

import typer


def failure(reason: object) -> typer.Exit:
    """Prints the reason in one line on standard error.

    Returns:
        The exit with code 1, for the command to raise.
    """
    typer.echo(f"marbleworks: {reason}", err=True)
    return typer.Exit(1)
