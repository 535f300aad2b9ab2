"""The command group `door`: decisions of the fair queue."""

from __future__ import annotations

import typer

from marbleworks.cli.errors import failure

app = typer.Typer(no_args_is_help=True, help="Decisions of the fair queue.")


@app.callback()
def group() -> None:
    """Decisions of the fair queue."""


@app.command("explain")
def explain(
    log: str = typer.Argument(..., help="A router's log, with `(trace on)` in the section door."),
    ref: str = typer.Option("", "--ref", help="Print only the request with this id."),
) -> None:
    """Print which requests were queued, given a retry promise or shed, and why."""
    from marbleworks.fair_queue.trace_report import explain_decisions

    try:
        with open(log, encoding="utf-8", errors="replace") as lines:
            for line in explain_decisions(lines, ref):
                typer.echo(line)
    except OSError as error:
        raise failure(f"{log}: {error.strerror}") from None
