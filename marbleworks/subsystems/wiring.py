"""The subsystems that the operator's file turns on, joined to a router.

It owns their start, reload and end, and must never import one whose section the file does not have.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from marbleworks.net.actor import LOG
from marbleworks.operator_config.document import Book, OperatorError, changes
from marbleworks.settings import Deployment, DeploymentError
from marbleworks.subsystems.registry import read_book

if TYPE_CHECKING:
    from marbleworks.background.task_runner import Chores
    from marbleworks.budgets.budget_catalog import Plan
    from marbleworks.budgets.service import Treasurer
    from marbleworks.fair_queue.service import Porter
    from marbleworks.membership.service import Steward
    from marbleworks.net.datagrams import Peers
    from marbleworks.net.dispatcher import Desk
    from marbleworks.net.messages import Place
    from marbleworks.ports import Shelf
    from marbleworks.spool.service import Keeper


class Fitted:
    def __init__(self, book: Book) -> None:
        self.book = book
        self.chores: Chores | None = None
        self.keeper: Keeper | None = None
        self.porter: Porter | None = None
        self.steward: Steward | None = None
        self.treasurer: Treasurer | None = None
        self.replan: Callable[[], None] | None = None  # the wholes as the file has them now
        self.shelf: Shelf | None = None
        self.about: Callable[[str], dict[str, Any]] | None = None

    def join(self, desk: Desk, deployment: Deployment, peers: Peers, name: str) -> None:
        """Starts what the file names; raises DeploymentError in a line where that can't be done."""
        if self.book.has("peers") and deployment.rules.peers:
            from marbleworks.membership.service import Steward

            def divided(*told: float) -> None:
                desk.post(desk.gateway.divide, *told)

            self.steward = Steward(self.book["peers"], peers, desk.gateway.seed, divided)
            self.about = self._about
        if self.book.has("budgets"):
            self._budgets(desk, deployment, peers)
        if self.book.has("door"):
            from marbleworks.fair_queue.service import Porter

            desk.door = self.porter = Porter(self.book["door"], desk, deployment, peers)
            if self.steward is not None:
                shares = self.porter.door.shares
                self.steward.viewed.append(lambda starts: desk.post(shares.viewed, starts))
        if not self.book.has("spool"):
            return
        from marbleworks.background.task_runner import BEHIND, Chores
        from marbleworks.spool.service import FolderHeld, Keeper

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

    def _budgets(self, desk: Desk, deployment: Deployment, peers: Peers) -> None:
        from marbleworks.budgets.enforcement import Counted
        from marbleworks.budgets.service import Treasurer

        fleet, plan = deployment.fleet, self._plan(deployment)
        group = peers if self.steward is not None else None
        treasurer = self.treasurer = Treasurer(
            self.book["budgets"], plan, desk, group, fleet.me, fleet.routers
        )
        desk.gateway.allotment = holder = treasurer.holder
        make = desk.make_place

        def counted(desk: Desk, name: str, address: tuple[str, int]) -> Place:
            place: Any = make(desk, name, address)
            place.share = Counted(place.share, holder, name)
            return cast("Place", place)

        if self.book["budgets"]["lines-per-core"]:
            desk.make_place = counted
        self.replan = lambda: desk.post(holder.replan, self._plan(deployment))
        if self.steward is not None:
            self.steward.heeds.append(lambda heed: treasurer.post(treasurer.heeds, heed))
        self.about = self._about

    def _plan(self, deployment: Deployment) -> Plan:
        from marbleworks.budgets.budget_catalog import Plan

        terms = self.book["budgets"]
        plan = Plan(terms, deployment.profiles, deployment.tenants, deployment.rules.tenant_rates)
        for name in plan.unknown:
            LOG.warning("budget of nobody", name=name, what=str(terms["budget"][name]))
        return plan

    def reload(self) -> None:
        """At SIGHUP: takes over what may change, names what needs a restart; an unfit file changes
        nothing."""
        try:
            new = read_book(self.book.path)
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
        if "budgets" in live and self.replan is not None:
            self.replan()
        changed = [f"{name} {setting}" for name, values in live.items() for setting in values]
        LOG.info("operator file reloaded", changed=changed, needs_restart=restart)

    def stopping(self) -> None:
        """A planned stop has begun."""
        if self.treasurer is not None:
            self.treasurer.leave()
        if self.steward is not None:
            self.steward.post(self.steward.leave)

    def _about(self, what: str) -> dict[str, Any]:
        """What `health` tells besides, of the subsystem that it names."""
        if what == "budgets" and self.treasurer is not None:
            return self.treasurer.shown()
        return self.steward.shown() if what == "peers" and self.steward is not None else {}

    def close(self) -> None:
        if self.chores is not None:
            self.chores.stop()
        if self.keeper is not None:
            self.keeper.close()
