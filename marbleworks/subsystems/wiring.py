"""Starts the subsystems that the operator's file enables and wires them to a router.

A subsystem is imported only if the file has its section.
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
    from marbleworks.budgets.enforcement import BudgetEnforcer
    from marbleworks.budgets.service import BudgetService
    from marbleworks.fair_queue.service import FairQueueService
    from marbleworks.membership.service import MembershipService, QuotaShare
    from marbleworks.net.datagrams import DatagramTransport
    from marbleworks.net.dispatcher import Dispatcher
    from marbleworks.net.messages import EnginePort
    from marbleworks.ports import ResultStore
    from marbleworks.spool.service import SpoolService


class Subsystems:
    """The subsystems of one router.

    Args:
        config: the checked contents of the operator's file.

    Attributes:
        task_runner: runs the spool's background tasks; None without the spool.
        reload_budget_catalog: rebuilds the budget catalog when the operator's file is reloaded; None without
            budgets.
        result_store: stores the results of requests; None without the spool.
        health_details: returns what `health` answers about the named subsystem; None if no running subsystem
            answers `health`.
    """

    def __init__(self, config: OperatorConfig) -> None:
        self.config = config
        self.task_runner: TaskRunner | None = None
        self.spool: SpoolService | None = None
        self.fair_queue: FairQueueService | None = None
        self.membership: MembershipService | None = None
        self.budgets: BudgetService | None = None
        self.reload_budget_catalog: Callable[[], None] | None = None
        self.result_store: ResultStore | None = None
        self.health_details: Callable[[str], dict[str, Any]] | None = None

    def start(
        self, dispatcher: Dispatcher, settings: Settings, transport: DatagramTransport, name: str
    ) -> None:
        """Starts the subsystems whose sections the file has, before the router accepts clients.

        Args:
            dispatcher: the router's dispatcher, which the subsystems are attached to.
            settings: the router's settings.
            transport: sends and receives the datagrams of the router group.
            name: the router's name.

        Raises:
            SettingsError: a subsystem cannot be started; the reason is one line.
        """
        if self.config.has_section("peers") and settings.rules.allows_peer_messages:
            self._start_membership(dispatcher, transport)
        if self.config.has_section("budgets"):
            self._start_budgets(dispatcher, settings, transport)
        if self.config.has_section("door"):
            self._start_fair_queue(dispatcher, settings, transport)
        if self.config.has_section("spool"):
            self._start_spool(dispatcher, settings)

    def _start_membership(self, dispatcher: Dispatcher, transport: DatagramTransport) -> None:
        from marbleworks.membership.options import MembershipOptions
        from marbleworks.membership.service import MembershipService

        def on_share(share: QuotaShare) -> None:
            dispatcher.post(
                dispatcher.scheduler.set_router_share,
                share.share,
                share.divisor,
                share.index,
                share.valid_until,
                share.reserved_share,
            )

        options = MembershipOptions.from_section(self.config["peers"])
        self.membership = MembershipService(options, transport, dispatcher.scheduler.seed, on_share)
        self.health_details = self._health_details

    def _start_budgets(
        self, dispatcher: Dispatcher, settings: Settings, transport: DatagramTransport
    ) -> None:
        from marbleworks.budgets.options import BudgetOptions
        from marbleworks.budgets.service import BudgetService

        options = BudgetOptions.from_section(self.config["budgets"])
        budgets = BudgetService(
            options,
            self._budget_catalog(settings),
            dispatcher,
            transport if self.membership is not None else None,
            settings.fleet.router_index,
            settings.fleet.router_count,
        )
        self.budgets = budgets
        enforcer = budgets.enforcer
        dispatcher.scheduler.shared_budgets = enforcer
        if options.max_connections_per_core:
            _limit_connections(dispatcher, enforcer)
        self.reload_budget_catalog = lambda: dispatcher.post(
            enforcer.set_catalog, self._budget_catalog(settings)
        )
        if self.membership is not None:
            self.membership.leader_listeners.append(lambda leader: budgets.post(budgets.set_leader, leader))
        self.health_details = self._health_details

    def _budget_catalog(self, settings: Settings) -> BudgetCatalog:
        from marbleworks.budgets.budget_catalog import BudgetCatalog
        from marbleworks.budgets.options import BudgetOptions

        options = BudgetOptions.from_section(self.config["budgets"])
        catalog = BudgetCatalog(
            options, settings.class_index, settings.tenant_index, settings.rules.tenant_rates_per_s
        )
        for name in catalog.unmatched_names:
            scoped = options.scoped_budgets[name]
            LOG.warning(
                "budget scope unknown", name=name, request_class=scoped.request_class, tenant=scoped.tenant
            )
        return catalog

    def _start_fair_queue(
        self, dispatcher: Dispatcher, settings: Settings, transport: DatagramTransport
    ) -> None:
        from marbleworks.fair_queue.service import FairQueueService

        self.fair_queue = FairQueueService(self.config["door"], dispatcher, settings, transport)
        dispatcher.admission = self.fair_queue
        if self.membership is not None:
            usage = self.fair_queue.controller.peer_usage
            self.membership.view_listeners.append(
                lambda view: dispatcher.post(usage.update_generations, view)
            )

    def _start_spool(self, dispatcher: Dispatcher, settings: Settings) -> None:
        from marbleworks.background.task_runner import BACKLOG_THRESHOLD, TaskRunner
        from marbleworks.spool.service import FolderLockedError, SpoolService

        self.task_runner = TaskRunner(
            BackgroundOptions.from_section(self.config["background"]),
            lambda: dispatcher.mailbox.qsize() > BACKLOG_THRESHOLD,
        )
        section = self.config["spool"]
        try:
            self.spool = SpoolService(section, settings.rules.max_retry_after_s, self.task_runner)
        except FolderLockedError as error:
            raise SettingsError(str(error)) from None
        except OSError as error:
            raise SettingsError(f"{section['folder']}: {error.strerror}") from None
        self.result_store = self.spool

    def reload(self) -> None:
        """Applies the settings that may change while the router runs, and logs those that need a restart.

        An invalid file changes nothing.
        """
        try:
            new_config = read_operator_config(self.config.path)
        except OperatorConfigError as error:
            LOG.warning("operator file not reloaded", error=str(error))
            return
        applicable, needs_restart = find_changes(self.config, new_config)
        if "background" in applicable and self.task_runner is not None:
            self.task_runner.configure(BackgroundOptions.from_section(new_config["background"]))
        if "spool" in applicable and self.spool is not None:
            self.spool.reconfigure(applicable["spool"])
        if "door" in applicable and self.fair_queue is not None:
            self.fair_queue.reload(applicable["door"])
        for name, values in applicable.items():
            self.config.sections[name].update(values)
        if "budgets" in applicable and self.reload_budget_catalog is not None:
            self.reload_budget_catalog()
        changed = [f"{name} {setting}" for name, values in applicable.items() for setting in values]
        LOG.info("operator file reloaded", changed=changed, needs_restart=needs_restart)

    def leave_groups(self) -> None:
        """Ends the budget leases and leaves the router group, at the start of a planned stop."""
        if self.budgets is not None:
            self.budgets.leave()
        if self.membership is not None:
            self.membership.post(self.membership.leave)

    def _health_details(self, subsystem: str) -> dict[str, Any]:
        """Returns what `health` answers about the named subsystem."""
        if subsystem == "budgets" and self.budgets is not None:
            return self.budgets.snapshot()
        if subsystem == "peers" and self.membership is not None:
            return self.membership.health_view()
        return {}

    def close(self) -> None:
        """Stops the background tasks and the spool, after the router has answered all requests."""
        if self.task_runner is not None:
            self.task_runner.stop()
        if self.spool is not None:
            self.spool.close()


def _limit_connections(dispatcher: Dispatcher, enforcer: BudgetEnforcer) -> None:
    """Also counts the connections to each engine in the connection budget of that engine."""
    from marbleworks.budgets.enforcement import BudgetedConnectionLimit

    make_client = dispatcher.make_engine_client

    def make_limited_client(dispatcher: Dispatcher, name: str, address: tuple[str, int]) -> EnginePort:
        client: Any = make_client(dispatcher, name, address)
        quota = client.pool.descriptor_quota
        client.pool.descriptor_quota = BudgetedConnectionLimit(quota, enforcer, name)
        return cast("EnginePort", client)

    dispatcher.make_engine_client = make_limited_client
