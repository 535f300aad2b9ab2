"""The group `door`: what the fair queue decided."""

from __future__ import annotations

import typer

from marbleworks.cli.errors import failure

app = typer.Typer(no_args_is_help=True, help="What the door decided.")


@app.callback()
def group() -> None:
    """What the door decided."""


@app.command("explain")
def explain(
    log: str = typer.Argument(..., help="A router's log, with `(trace on)` in the section door."),
    ref: str = typer.Option("", "--ref", help="One command's id."),
) -> None:
    """Print who was queued, promised and turned away, and why."""
    from marbleworks.fair_queue.trace_report import explained

    try:
        with open(log, encoding="utf-8", errors="replace") as lines:
            for line in explained(lines, ref):
                typer.echo(line)
    except OSError as error:
        raise failure(f"{log}: {error.strerror}") from None
