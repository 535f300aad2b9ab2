"""The subsystems that the operator's file turns on, joined to a router.

It owns their start, reload and end, and must never import one whose section the file does not have.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from marbleworks.background.options import BackgroundOptions
from marbleworks.net.actor import LOG
from marbleworks.operator_config.document import OperatorConfig, OperatorConfigError, find_changes
from marbleworks.settings import Settings, SettingsError
from marbleworks.subsystems.registry import read_operator_config

if TYPE_CHECKING:
    from marbleworks.background.task_runner import TaskRunner
    from marbleworks.budgets.budget_catalog import BudgetCatalog
    from marbleworks.budgets.service import BudgetService
    from marbleworks.fair_queue.service import FairQueueService
    from marbleworks.membership.service import MembershipService
    from marbleworks.net.datagrams import DatagramTransport
    from marbleworks.net.dispatcher import Dispatcher
    from marbleworks.net.messages import EnginePort
    from marbleworks.ports import ResultStore
    from marbleworks.spool.service import SpoolService


class Subsystems:
    def __init__(self, book: OperatorConfig) -> None:
        self.book = book
        self.chores: TaskRunner | None = None
        self.keeper: SpoolService | None = None
        self.porter: FairQueueService | None = None
        self.steward: MembershipService | None = None
        self.treasurer: BudgetService | None = None
        self.replan: Callable[[], None] | None = None  # the wholes as the file has them now
        self.result_store: ResultStore | None = None
        self.health_details: Callable[[str], dict[str, Any]] | None = None

    def join(self, desk: Dispatcher, deployment: Settings, peers: DatagramTransport, name: str) -> None:
        """Starts what the file names; raises DeploymentError in a line where that can't be done."""
        if self.book.has_section("peers") and deployment.rules.allows_peer_messages:
            from marbleworks.membership.options import MembershipOptions
            from marbleworks.membership.service import MembershipService, QuotaShare

            def on_share(share: QuotaShare) -> None:
                desk.post(
                    desk.scheduler.set_router_share,
                    share.share,
                    share.divisor,
                    share.index,
                    share.valid_until,
                    share.reserved_share,
                )

            self.steward = MembershipService(
                MembershipOptions.from_section(self.book["peers"]), peers, desk.scheduler.seed, on_share
            )
            self.health_details = self._about
        if self.book.has_section("budgets"):
            self._budgets(desk, deployment, peers)
        if self.book.has_section("door"):
            from marbleworks.fair_queue.service import FairQueueService

            desk.admission = self.porter = FairQueueService(self.book["door"], desk, deployment, peers)
            if self.steward is not None:
                shares = self.porter.door.shares
                self.steward.view_listeners.append(lambda starts: desk.post(shares.viewed, starts))
        if not self.book.has_section("spool"):
            return
        from marbleworks.background.task_runner import BACKLOG_THRESHOLD, TaskRunner
        from marbleworks.spool.service import FolderLockedError, SpoolService

        self.chores = TaskRunner(
            BackgroundOptions.from_section(self.book["background"]),
            lambda: desk.mailbox.qsize() > BACKLOG_THRESHOLD,
        )
        try:
            self.result_store = self.keeper = SpoolService(
                self.book["spool"], deployment.rules.max_retry_after_s, self.chores
            )
        except FolderLockedError as err:
            raise SettingsError(str(err)) from None
        except OSError as err:
            raise SettingsError(f"{self.book['spool']['folder']}: {err.strerror}") from None

    def _budgets(self, desk: Dispatcher, deployment: Settings, peers: DatagramTransport) -> None:
        from marbleworks.budgets.enforcement import BudgetedConnectionLimit
        from marbleworks.budgets.options import BudgetOptions
        from marbleworks.budgets.service import BudgetService

        fleet, plan = deployment.fleet, self._plan(deployment)
        group = peers if self.steward is not None else None
        options = BudgetOptions.from_section(self.book["budgets"])
        treasurer = self.treasurer = BudgetService(
            options, plan, desk, group, fleet.router_index, fleet.router_count
        )
        desk.scheduler.shared_budgets = holder = treasurer.enforcer
        make = desk.make_engine_client

        def counted(desk: Dispatcher, name: str, address: tuple[str, int]) -> EnginePort:
            client: Any = make(desk, name, address)
            client.pool.descriptor_quota = BudgetedConnectionLimit(client.pool.descriptor_quota, holder, name)
            return cast("EnginePort", client)

        if options.max_connections_per_core:
            desk.make_engine_client = counted
        self.replan = lambda: desk.post(holder.set_catalog, self._plan(deployment))
        if self.steward is not None:
            self.steward.leader_listeners.append(lambda heed: treasurer.post(treasurer.set_leader, heed))
        self.health_details = self._about

    def _plan(self, deployment: Settings) -> BudgetCatalog:
        from marbleworks.budgets.budget_catalog import BudgetCatalog
        from marbleworks.budgets.options import BudgetOptions

        options = BudgetOptions.from_section(self.book["budgets"])
        plan = BudgetCatalog(
            options, deployment.class_index, deployment.tenant_index, deployment.rules.tenant_rates_per_s
        )
        for name in plan.unmatched_names:
            scoped = options.scoped_budgets[name]
            LOG.warning(
                "budget scope unknown", name=name, request_class=scoped.request_class, tenant=scoped.tenant
            )
        return plan

    def reload(self) -> None:
        """At SIGHUP: takes over what may change, names what needs a restart; an unfit file changes
        nothing."""
        try:
            new = read_operator_config(self.book.path)
        except OperatorConfigError as err:
            LOG.warning("operator file not reloaded", error=str(err))
            return
        live, restart = find_changes(self.book, new)
        if "background" in live and self.chores is not None:
            self.chores.configure(BackgroundOptions.from_section(new["background"]))
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
            return self.treasurer.snapshot()
        return self.steward.health_view() if what == "peers" and self.steward is not None else {}

    def close(self) -> None:
        if self.chores is not None:
            self.chores.stop()
        if self.keeper is not None:
            self.keeper.close()
