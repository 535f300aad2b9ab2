"""The router's process: logging, descriptor quotas, wiring of the actors, signals, and shutdown.

This module holds no state that changes while the router serves, and handles no requests.
"""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from marbleworks.net.actor import LOG, clock
from marbleworks.net.client_listener import ClientListener
from marbleworks.net.datagrams import LOAD_UPDATE, DatagramTransport
from marbleworks.net.discovery import EngineDiscovery
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.engine_client import engine_client_factory
from marbleworks.net.log import configure_logging
from marbleworks.net.memory_plan import MemoryPlan, affordable_engine_connections
from marbleworks.net.protocol import CLIENT_ARRIVAL_GRACE_S, RouterConfig
from marbleworks.net.request_memory import MemoryPool
from marbleworks.net.resource_monitor import ResourceCounts, ResourceMonitor, anonymous_memory_bytes
from marbleworks.ports import ResultStore
from marbleworks.settings import Settings, SettingsError
from marbleworks.startup_signals import StartupSignals

_RESERVED_DESCRIPTORS = 32  # for the log, the listener, datagrams, and files that are open for a short time
_MAX_SHUTDOWN_S = 3.0  # maximum time for requests in progress; less if no client waits that long
_SHUTDOWN_GRACE_S = 0.5  # additional time to send answers, short enough to end before the process is killed
_SHUTDOWN_POLL_INTERVAL_S = 0.01
# Calls in the dispatcher's mailbox above which load updates are dropped; a datagram may get lost as well.
_MAX_BACKLOG_FOR_LOAD_UPDATES = 1024
_GC_THRESHOLDS = (50_000, 10, 10)


class RouterSubsystems(Protocol):
    """The subsystems that the operator's file configures.

    Attributes:
        result_store: Store of query results; None where results are not stored.
        health_details: Returns the details that answer a `health` call about a subsystem, by its name.
    """

    result_store: ResultStore | None
    health_details: Callable[[str], dict[str, Any]] | None

    def start(
        self, dispatcher: Dispatcher, settings: Settings, transport: DatagramTransport, name: str
    ) -> None:
        """Attaches the subsystems to the router; called before the router accepts clients."""

    def leave_groups(self) -> None:
        """Called when a planned stop begins; requests in progress are still answered."""

    def reload(self) -> None:
        """Reads the operator's file again."""

    def close(self) -> None:
        """Called when the router has answered all requests."""


@dataclass(frozen=True, slots=True)
class _DescriptorShares:
    """Numbers of file descriptors for connections; each connection takes one.

    Attributes:
        clients: For clients' connections.
        engines: For connections to all engines.
    """

    clients: int
    engines: int

    @classmethod
    def divide(cls, max_descriptors: int) -> _DescriptorShares:
        """Divides the descriptors of a router between clients and engines."""
        # The usual clients hold at most a third; some more descriptors are left for other clients.
        client_share = max_descriptors // 3
        return cls(
            clients=client_share + _RESERVED_DESCRIPTORS // 2,
            engines=max_descriptors - client_share - 2 * _RESERVED_DESCRIPTORS,
        )


@dataclass(frozen=True)
class _CoreActors:
    """The actors of every router, except its listener."""

    transport: DatagramTransport
    dispatcher: Dispatcher
    discovery: EngineDiscovery


def serve(
    config: RouterConfig,
    path: str,
    subsystems: RouterSubsystems | None = None,
    startup_signals: StartupSignals | None = None,
) -> None:
    """Runs a router until SIGTERM or SIGINT, and then until all accepted requests are answered.

    Args:
        config: The router's configuration.
        path: Path of the configuration file, which is read again on SIGHUP.
        subsystems: The operator's subsystems, if any.
        startup_signals: Signals that arrived before this call.
    """
    configure_logging()
    descriptors = _DescriptorShares.divide(config.max_descriptors)
    stop_requested = Event()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    gevent.signal_handler(signal.SIGINT, stop_requested.set)
    if startup_signals is not None and startup_signals.stop_requested:  # no address is needed any more
        LOG.info("stopped", name=config.name, after_s=0.0)
        return
    engine_connections = affordable_engine_connections(
        config.memory_limit_bytes, anonymous_memory_bytes(), descriptors.engines
    )
    core = _start_core(config, BoundedSemaphore(engine_connections))
    gevent.signal_handler(signal.SIGHUP, _reload, path, core.discovery, subsystems)
    if startup_signals is not None and startup_signals.reload_requested:
        _reload(path, core.discovery, None)
    if subsystems is not None:
        subsystems.start(core.dispatcher, config.settings, core.transport, config.name)
    _tune_garbage_collection()
    listener = _listen(config, core.dispatcher, descriptors.clients)
    if subsystems is not None:
        listener.result_store = subsystems.result_store
        listener.health_details = subsystems.health_details
    ResourceMonitor(config.memory_limit_bytes, lambda: _count_resources(core.dispatcher, listener)).start()
    LOG.info("serving", name=config.name, listen=_format_address(config.listen))
    stop_requested.wait()
    _shut_down(config, core.dispatcher, listener, subsystems)


def _start_core(config: RouterConfig, engine_descriptors: BoundedSemaphore) -> _CoreActors:
    settings = config.settings
    transport = DatagramTransport(
        config.peer_listen, config.peers, config.peer_broadcast, settings.fleet.router_index
    )

    def on_load_update(peer: int, data: bytes) -> None:
        if dispatcher.mailbox.qsize() < _MAX_BACKLOG_FOR_LOAD_UPDATES:
            dispatcher.post(dispatcher.scheduler.receive_load_update, peer, data)

    send_load_update = transport.register(LOAD_UPDATE, on_load_update)
    make_engine_client = engine_client_factory(settings, engine_descriptors)
    dispatcher = Dispatcher(settings, config.seed, make_engine_client, send_load_update)
    transport.listen()
    discovery = EngineDiscovery(dispatcher, settings, config.initial_engines, config.nameserver)
    return _CoreActors(transport, dispatcher, discovery)


def _listen(config: RouterConfig, dispatcher: Dispatcher, max_clients: int) -> ClientListener:
    """Accepts as many clients as descriptors and memory allow."""
    plan = MemoryPlan.divide(config.memory_limit_bytes, anonymous_memory_bytes(), max_clients)
    memory = MemoryPool(plan.guaranteed_bytes, plan.max_clients, plan.shared_bytes)
    quota = BoundedSemaphore(plan.max_clients)
    LOG.info("client limits", clients=plan.max_clients, request_kb=memory.capacity_bytes // 1024)
    return ClientListener(config.listen, dispatcher, config.settings, quota, memory)


def _count_resources(dispatcher: Dispatcher, listener: ClientListener) -> ResourceCounts:
    return ResourceCounts(
        clients=len(listener.sessions),
        engine_connections=sum(client.open_connections for client in dispatcher.engine_clients.values()),
        open_requests=len(dispatcher.open_requests),
        waiting_calls=dispatcher.mailbox.qsize(),
        request_kb=listener.memory.used_bytes // 1024,
    )


def _reload(path: str, discovery: EngineDiscovery, subsystems: RouterSubsystems | None) -> None:
    """Handles SIGHUP; only the name server's address is applied while a router runs."""
    try:
        config = RouterConfig.read(path)
        discovery.post(discovery.set_nameserver, config.nameserver)
        LOG.info("configuration reloaded", nameserver=_format_address(config.nameserver))
    except SettingsError as err:
        LOG.warning("configuration not reloaded", error=str(err))
    if subsystems is not None:
        subsystems.reload()


def _tune_garbage_collection() -> None:
    """Exempts existing objects from garbage collection and makes it rarer.

    Few of the objects created later are in reference cycles.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


def _shut_down(
    config: RouterConfig,
    dispatcher: Dispatcher,
    listener: ClientListener,
    subsystems: RouterSubsystems | None,
) -> None:
    """Answers all requests, including those of clients that connect within a short time, and closes."""
    began = clock()
    deadline = began + min(max(config.settings.client_timeouts_s), _MAX_SHUTDOWN_S)
    LOG.info("stopping", name=config.name)
    listener.healthy = False
    if subsystems is not None:
        subsystems.leave_groups()
    dispatcher.post(dispatcher.stop, deadline)
    gevent.sleep(CLIENT_ARRIVAL_GRACE_S)
    listener.stop_accepting(deadline)
    while not listener.close_idle_sessions() and clock() < deadline + _SHUTDOWN_GRACE_S:
        gevent.sleep(_SHUTDOWN_POLL_INTERVAL_S)
    listener.close()
    if subsystems is not None:
        subsystems.close()
    LOG.info("stopped", name=config.name, after_s=round(clock() - began, 3))


def _format_address(address: tuple[str, int]) -> str:
    host, port = address
    return f"{host}:{port}"
