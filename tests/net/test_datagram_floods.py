"""Tests that datagrams which keep coming starve no other work and fill no mailbox."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from marbleworks.lab.standins import HOST, router_configuration
from marbleworks.net import discovery as discovery_module
from marbleworks.net import server as server_module
from marbleworks.net.datagrams import LOAD_UPDATE, DatagramTransport
from marbleworks.net.discovery import EngineDiscovery
from marbleworks.net.protocol import RouterConfig
from marbleworks.net.server import _start_core
from tests.net.test_discovery import known, member
from tests.net.test_event_orders import name_server
from tests.net.test_router import time_limit
from tests.support.stand_ins import DEPLOYMENT, SETTINGS, EngineListRecorder

__all__ = ["time_limit"]

DATAGRAMS = 5000  # so many that receiving them takes many time slices


class FloodedSocket:
    """A socket on which datagrams wait, until all of them are received.

    Attributes:
        remaining: Number of datagrams that are still to be received.
    """

    def __init__(self, data: bytes, sender: tuple[str, int]) -> None:
        self.remaining = DATAGRAMS
        self._received = data, sender

    def recvfrom(self, size: int) -> tuple[bytes, tuple[str, int]]:
        """Returns a datagram at once, or waits for ever after the last one."""
        if not self.remaining:
            Event().wait()
        self.remaining -= 1
        return self._received


def remaining_when_others_run(sock: FloodedSocket) -> int:
    """Returns how many datagrams were left the second time that another greenlet could run."""
    gevent.sleep(0)
    gevent.sleep(0)
    return sock.remaining


def test_datagrams_of_peers_do_not_starve_other_greenlets() -> None:
    """Guards against a hub that does nothing but receive while datagrams are there."""
    peer = (HOST, 2)
    transport = DatagramTransport((HOST, 0), [(HOST, 1), peer], peer, 0)
    transport.register(LOAD_UPDATE, lambda _peer, _data: None)
    transport.sock = sock = FloodedSocket(b"news1", peer)  # type: ignore[assignment]
    transport.listen()
    assert remaining_when_others_run(sock) > 0


def test_responses_of_the_name_server_neither_starve_other_greenlets_nor_fill_the_mailbox() -> None:
    """Guards against a mailbox without a limit, and a hub that only receives, if a response keeps coming."""
    nameserver = name_server()
    discovery = EngineDiscovery(
        EngineListRecorder(),  # type: ignore[arg-type]
        DEPLOYMENT,
        known([member("s-0", 6000)]),
        nameserver.getsockname(),
    )
    discovery.post(Event().wait)
    gevent.sleep(0)
    sock: Any = FloodedSocket(b"\0\0", nameserver.getsockname())
    discovery.sock = sock
    gevent.spawn(discovery._listen)
    assert remaining_when_others_run(sock) > DATAGRAMS - 10
    while sock.remaining:
        gevent.sleep(0)
    assert discovery.mailbox.qsize() == discovery_module._MAX_WAITING_RESPONSES


def test_load_updates_do_not_fill_the_dispatchers_mailbox(tmp_path: Path) -> None:
    """Guards against a mailbox that grows without a limit while the dispatcher is late."""
    path = tmp_path / "config.json"
    path.write_text(router_configuration(0, 0, name_server().getsockname(), {}, SETTINGS), "utf-8")
    core = _start_core(RouterConfig.read(str(path)), BoundedSemaphore(1))
    core.dispatcher.post(Event().wait)
    gevent.sleep(0)
    (load_updates,) = core.transport.registrations
    for _ in range(2 * server_module._MAX_BACKLOG_FOR_LOAD_UPDATES):
        load_updates.handler(0, b"news1")
    assert core.dispatcher.mailbox.qsize() == server_module._MAX_BACKLOG_FOR_LOAD_UPDATES
