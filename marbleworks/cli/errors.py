"""How a command ends that cannot do its work."""

from __future__ import annotations

import typer


def failure(reason: object) -> typer.Exit:
    """Prints one line on standard error; returns the exit with code 1, for the command to raise."""
    typer.echo(f"marbleworks: {reason}", err=True)
    return typer.Exit(1)
