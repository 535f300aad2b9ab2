"""The group `spool`: looks at a spool's folder without a router."""

from __future__ import annotations

import typer

from marbleworks.cli.errors import failure

app = typer.Typer(no_args_is_help=True, help="Look at a spool's folder without a router.")
NUMBERS = typer.Argument(..., help="As `list` shows it.")
FOLDER = typer.Argument(..., help="The folder of the section spool.")


@app.command("list")
def list_results(folder: str = FOLDER) -> None:
    """Print a line for each result that stands."""
    from marbleworks.spool.maintenance import listed

    try:
        for line in listed(folder):
            typer.echo(line)
    except OSError as err:
        raise failure(f"{folder}: {err.strerror}") from None


@app.command("check")
def check(folder: str = FOLDER) -> None:
    """Read a folder through to the last byte; exit 1 where anything is wrong."""
    from marbleworks.spool.maintenance import checked

    try:
        lines, whole = checked(folder)
    except OSError as err:
        raise failure(f"{folder}: {err.strerror}") from None
    for line in lines:
        typer.echo(line)
    raise typer.Exit(0 if whole else 1)


@app.command("drop")
def drop_results(folder: str = FOLDER, number: list[str] = NUMBERS) -> None:
    """Drop results of a folder that no router has."""
    from marbleworks.spool.maintenance import drop

    try:
        count = drop(folder, [int(text, 16) for text in number])
    except ValueError:
        raise failure("a number is 16 hex digits, as `spool list` shows it") from None
    except BlockingIOError:
        raise failure(f"{folder}: a router has this folder") from None
    except OSError as err:
        raise failure(f"{folder}: {err.strerror}") from None
    typer.echo(f"{count} dropped")
