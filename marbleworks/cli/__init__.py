"""The command line, with one module for each group of commands.

A command imports its implementation only when it runs: `serve` without an operator's file loads no subsystem,
and only the lab's commands need the lab's requirements.
"""

from __future__ import annotations

import typer

from marbleworks.cli import budgets, fair_queue, lab, membership, router, spool

app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False, rich_markup_mode=None
)
router.add_commands(app)
app.add_typer(fair_queue.app, name="door")
app.add_typer(membership.app, name="peers")
app.add_typer(budgets.app, name="budgets")
app.add_typer(lab.app, name="lab")
app.add_typer(spool.app, name="spool")
