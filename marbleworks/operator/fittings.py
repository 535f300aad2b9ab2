"""The subsystems that the operator's file turns on, joined to a router.

It owns their start, reload and end, and must never import one whose section the file does not have.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marbleworks.deployment import Deployment, DeploymentError
from marbleworks.net.actor import LOG
from marbleworks.operator.book import Book, OperatorError, changes

if TYPE_CHECKING:
    from marbleworks.background.worker import Chores
    from marbleworks.door.porter import Porter
    from marbleworks.interface import Shelf
    from marbleworks.net.desk import Desk
    from marbleworks.spool.keeper import Keeper


class Fitted:
    def __init__(self, book: Book) -> None:
        self.book = book
        self.chores: Chores | None = None
        self.keeper: Keeper | None = None
        self.porter: Porter | None = None
        self.shelf: Shelf | None = None

    def join(self, desk: Desk, deployment: Deployment) -> None:
        """Starts what the file names; raises DeploymentError in a line where that can't be done."""
        if self.book.has("door"):
            from marbleworks.door.porter import Porter

            desk.door = self.porter = Porter(self.book["door"], desk, deployment)
        if not self.book.has("spool"):
            return
        from marbleworks.background.worker import BEHIND, Chores
        from marbleworks.spool.keeper import FolderHeld, Keeper

        terms = self.book["background"]
        self.chores = Chores(
            terms["core"], terms["bytes"], terms["patience"], lambda: desk.mailbox.qsize() > BEHIND
        )
        try:
            self.shelf = self.keeper = Keeper(self.book["spool"], deployment.rules.come_back, self.chores)
        except FolderHeld as err:
            raise DeploymentError(str(err)) from None
        except OSError as err:
            raise DeploymentError(f"{self.book['spool']['folder']}: {err.strerror}") from None

    def reload(self) -> None:
        """At SIGHUP: takes over what may change, names what needs a restart; an unfit file changes
        nothing."""
        try:
            new = Book.read(self.book.path)
        except OperatorError as err:
            LOG.warning("operator file not reloaded", error=str(err))
            return
        live, restart = changes(self.book, new)
        if "background" in live and self.chores is not None:
            terms = new["background"]
            self.chores.order.change(terms["core"], terms["bytes"], terms["patience"])
        if "spool" in live and self.keeper is not None:
            self.keeper.change(live["spool"])
        if "door" in live and self.porter is not None:
            self.porter.change(live["door"])
        for name, values in live.items():
            self.book.sections[name].update(values)
        changed = [f"{name} {setting}" for name, values in live.items() for setting in values]
        LOG.info("operator file reloaded", changed=changed, needs_restart=restart)

    def close(self) -> None:
        if self.chores is not None:
            self.chores.stop()
        if self.keeper is not None:
            self.keeper.close()
