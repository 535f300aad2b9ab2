"""The command line: one module a group of commands.

Commands import what they run when they run it: `serve` without an operator's file loads no subsystem, and no
command but the lab's needs the lab's requirements.
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
