"""The process from start to end: configuration, wiring of the actors, SIGTERM, the shares of descriptors.

It owns nothing that lives while the router works, and must never see a command.
"""

from __future__ import annotations

import gc
import json
import logging
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

import gevent
import structlog
from gevent.lock import BoundedSemaphore

from marbleworks.net.actor import LOG, clock
from marbleworks.net.client_listener import ClientListener
from marbleworks.net.datagrams import LOAD_UPDATE, DatagramTransport
from marbleworks.net.discovery import EngineDiscovery
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.engine_client import engine_client_factory
from marbleworks.ports import ResultStore
from marbleworks.settings import Settings, SettingsError
from marbleworks.startup_signals import StartupSignals

OWN_DESCRIPTORS = 32  # for the log, the listener, datagrams, and files opened in passing
STILL_COMES = 0.6  # seconds after SIGTERM in which clients may still come, by the protocol
LONGEST_STOP = 3.0  # and for which what was taken may go on at most, if a client waits so long, and ...
STOP_GRACE = 0.5  # ... so much more, which is well before anyone is killed


@dataclass(frozen=True)
class RouterConfig:
    """Where one router stands: its addresses, its limits and the deployment it serves."""

    name: str
    seed: int
    listen: tuple[str, int]
    peer_listen: tuple[str, int]
    peers: list[tuple[str, int]]
    everyone: tuple[str, int]
    nameserver: tuple[str, int]
    sockets: int
    known: Any
    settings: Settings

    @classmethod
    def read(cls, path: str) -> RouterConfig:
        try:
            raw = json.loads(Path(path).read_text("utf-8"))
            return cls(
                name=str(raw["name"]),
                seed=int(raw["seed"], 16),
                listen=_address(raw["listen"]),
                peer_listen=_address(raw["peer_listen"]),
                peers=[_address(text) for text in raw["peers"]],
                everyone=_address(raw["peers_all"]),
                nameserver=_address(raw["nameserver"]),
                sockets=int(raw["limits"]["sockets"]),
                known=raw["known"],
                settings=Settings(raw["settings"]),
            )
        except OSError as err:
            raise SettingsError(f"{path}: {err.strerror}") from None
        except KeyError as err:
            raise SettingsError(f"{path}: {err.args[0]} is missing") from None
        except (ValueError, TypeError, AttributeError) as err:
            raise SettingsError(f"{path}: {err}") from None


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"{text!r} is not an address with a port")
    return host, int(port)


def _reload(path: str, directory: EngineDiscovery, fittings: RouterSubsystems | None) -> None:
    """At SIGHUP: of the file, only the address of the name server may change while a router runs."""
    try:
        station = RouterConfig.read(path)
        directory.post(directory.set_nameserver, station.nameserver)
        LOG.info("reloaded", nameserver=":".join(map(str, station.nameserver)))
    except SettingsError as err:
        LOG.warning("not reloaded", error=str(err))
    if fittings is not None:
        fittings.reload()


class RouterSubsystems(Protocol):
    """The subsystems of the operator's file, of which nothing else here knows anything."""

    shelf: ResultStore | None
    about: Callable[[str], dict[str, Any]] | None  # what `health` tells of a subsystem by its name

    def join(self, desk: Dispatcher, deployment: Settings, peers: DatagramTransport, name: str) -> None:
        """Before anyone is listened to."""

    def stopping(self) -> None:
        """A planned stop has begun; what was taken is still answered."""

    def reload(self) -> None: ...

    def close(self) -> None: ...


def serve(
    station: RouterConfig,
    path: str,
    fittings: RouterSubsystems | None = None,
    early: StartupSignals | None = None,
) -> None:
    """Runs until SIGTERM and until all that was taken is answered; path is read again at SIGHUP. early: the
    signals that came before this."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stdout),
    )
    third = station.sockets // 3  # which is what the usual clients hold at most; others may come besides
    clients = BoundedSemaphore(third + OWN_DESCRIPTORS // 2)
    engines = BoundedSemaphore(station.sockets - third - 2 * OWN_DESCRIPTORS)
    deployment, stop = station.settings, gevent.event.Event()
    longest = min(max(deployment.client_timeouts_s), LONGEST_STOP)
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    peers = DatagramTransport(
        station.peer_listen, station.peers, station.everyone, deployment.fleet.router_index
    )
    tell = peers.register(
        LOAD_UPDATE, lambda peer, data: desk.post(desk.scheduler.receive_load_update, peer, data)
    )
    desk = Dispatcher(deployment, station.seed, engine_client_factory(deployment, engines), tell)
    peers.listen()
    directory = EngineDiscovery(desk, deployment, station.known, station.nameserver)
    gevent.signal_handler(signal.SIGHUP, _reload, path, directory, fittings)
    if early is not None and early.reload_requested:
        _reload(path, directory, None)
    if early is not None and early.stop_requested:
        LOG.info("stopped", name=station.name, after=0.0)  # before anyone was listened to
        return
    if fittings is not None:
        fittings.join(desk, deployment, peers, station.name)
    front = ClientListener(station.listen, desk, deployment, clients)
    if fittings is not None:
        front.shelf, front.about = fittings.shelf, fittings.about
    gc.collect()
    gc.freeze()  # what is there from the start is never looked through again, and what comes is rarely cyclic
    gc.set_threshold(50_000, 10, 10)
    LOG.info("serving", name=station.name, listen=":".join(map(str, station.listen)))
    stop.wait()
    began = clock()
    LOG.info("stopping", name=station.name)
    front.healthy = False
    if fittings is not None:
        fittings.stopping()
    desk.post(desk.stop, began + longest)
    gevent.sleep(STILL_COMES)
    front.stop_accepting(began + longest)
    while not front.part_resting() and clock() < began + longest + STOP_GRACE:
        gevent.sleep(0.01)
    front.close()
    if fittings is not None:
        fittings.close()
    LOG.info("stopped", name=station.name, after=round(clock() - began, 3))
