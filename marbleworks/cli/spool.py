"""The command group `spool`: inspects a spool's folder without a router."""

from __future__ import annotations

import typer

from marbleworks.cli.errors import failure

app = typer.Typer(no_args_is_help=True, help="Inspect a spool's folder without a router.")
NUMBERS = typer.Argument(..., help="Numbers of results, as shown by `spool list`.")
FOLDER = typer.Argument(..., help="Folder named in the section spool of the operator's file.")


@app.command("list")
def list_results(folder: str = FOLDER) -> None:
    """Print a line for each stored result."""
    from marbleworks.spool.maintenance import list_results

    try:
        for line in list_results(folder):
            typer.echo(line)
    except OSError as error:
        raise failure(f"{folder}: {error.strerror}") from None


@app.command("check")
def check(folder: str = FOLDER) -> None:
    """Read and verify every byte of a folder; exit 1 if there is an error."""
    from marbleworks.spool.maintenance import check_folder

    try:
        lines, is_intact = check_folder(folder)
    except OSError as error:
        raise failure(f"{folder}: {error.strerror}") from None
    for line in lines:
        typer.echo(line)
    raise typer.Exit(0 if is_intact else 1)


@app.command("drop")
def drop_results(folder: str = FOLDER, number: list[str] = NUMBERS) -> None:
    """Delete results from a folder that no router has open."""
    from marbleworks.spool.maintenance import drop_results

    try:
        count = drop_results(folder, [int(text, 16) for text in number])
    except ValueError:
        raise failure(
            "invalid number of a result: expected 16 hex digits, as shown by `spool list`"
        ) from None
    except BlockingIOError:
        raise failure(f"{folder}: a router uses this folder") from None
    except OSError as error:
        raise failure(f"{folder}: {error.strerror}") from None
    typer.echo(f"{count} dropped")
