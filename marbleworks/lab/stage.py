"""Test cluster of an experiment: a fleet of engines and routers as processes, on ports of their own.

The module owns the processes that it started and a folder for their files, and ends only those.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any

import gevent
from gevent import socket, subprocess

from marbleworks.lab.faultnet import ConnectionRelays, FaultyNetwork
from marbleworks.lab.standins import HOST, RpcClient, router_configuration

START_TIMEOUT_S = 20.0  # for a process to answer
PROFILES = {  # by name: benefit, latency target and client timeout in seconds, effect of a repetition
    "date-lookup": (1.0, 0.5, 2.0, "read_like"),
    "market-report": (4.0, 20.0, 30.0, "read_like"),
    "booking-load": (8.0, 3.0, 6.0, "non_idempotent"),
}
TENANTS = ("bergen", "oslo", "tromso", "voss")


def lab_settings(
    cores: int,
    max_retry_after_s: float = 5.0,
    tenants: Sequence[str] = TENANTS,
    routers: int = 1,
    router_index: int = 0,
) -> dict[str, Any]:
    """Returns the settings of a deployment with one zone.

    Args:
        cores: Cores of an engine.
        max_retry_after_s: Longest Retry-After in seconds that clients honour.
        tenants: Names of the tenants.
        routers: Number of routers.
        router_index: Number of the router that gets the settings.
    """
    classes = [
        {
            "name": name,
            "credit": benefit,
            "slo_ms": 1e3 * latency_target_s,
            "deadline_ms": 1e3 * client_timeout_s,
            "repeat": repeat,
        }
        for name, (benefit, latency_target_s, client_timeout_s, repeat) in PROFILES.items()
    ]
    all_false = [False] * len(classes)
    return {
        "zones": ["hall-a"],
        "kinds": ["std"],
        "az": "hall-a",
        "instances": routers,
        "me": router_index,
        "classes": classes,
        "orgs": [{"name": name, "quota_per_s": 500.0} for name in tenants],
        "feedback": {"columns": ["inflight"]},
        "policy_limits": {
            "max_attempts": 3,
            "second_copies": True,
            "cancel": True,
            "peers": routers > 1,
            "probing": False,
            "retry_after": True,
            "max_retry_after_ms": 1e3 * max_retry_after_s,
            "connect_timeout_ms": 250.0,
            "idle_close_ms": 30000.0,
        },
        "rules": {
            "start_capacity": 0.35,
            "cold_ms": 14000.0,
            "fall_multiple": 4.0,
            "fall_ms": 2000.0,
            "extra_floor": 2.0,
            "repeat_ratio": 0.2,
            "look_back_ms": 10000.0,
        },
        "specifics": {
            "class_load": all_false,
            "class_waits": all_false,
            "parallelism": [1] * len(classes),
            "takes_grants": True,
            "when_short": "queue",
            "cores_by_kind": [cores],
            "memory_by_kind_mb": [65536.0],
        },
    }


def reserve_port() -> Any:
    """Returns a bound socket that reserves a port for a listener.

    The listener can bind the same port because both set SO_REUSEADDR and this socket never listens. No other
    process can take the port between its choice and the listener's bind.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Returns a port that is free now."""
    with socket.socket(type=kind) as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


class RouterProcess:
    """A router process, which can be killed and started again at the same address.

    Attributes:
        folder: Folder of its files.
        address: Address on which it serves clients.
        config: Its configuration file.
        operator: Its operator's file.
        args: Further arguments of its command line.
        module: Python module that is run.
        process: The process, if it was started.
    """

    def __init__(self, folder: Path, config: str, listen: int, operator: str = "") -> None:
        self.folder, self.address = folder, (HOST, listen)
        folder.mkdir(exist_ok=True)
        self.config, self.operator = folder / "config.json", folder / "operator.lisp"
        self.config.write_text(config)
        if operator:
            self.operator.write_text(operator)
        self.args = ["--operator", str(self.operator)] if operator else []
        self.module = "marbleworks"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, wait: float = START_TIMEOUT_S) -> None:
        """Starts the process and waits until it reports that it is healthy.

        Raises:
            RuntimeError: It ended or did not answer within `wait` seconds.
        """
        with open(self.folder / "router.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, "serve", "--config", str(self.config), *self.args],
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        deadline = time.monotonic() + wait
        while True:
            try:
                client = RpcClient(self.address)
                client.send(0, 1, "health", [{}])
                if client.receive(1.0)[3][0]:
                    return
            except (OSError, TypeError, gevent.Timeout):
                if time.monotonic() > deadline or self.process.poll() is not None:
                    raise RuntimeError(
                        f"router did not start; end of its log: {self.read_log()[-500:]}"
                    ) from None
                gevent.sleep(0.02)

    def read_log(self) -> str:
        """Returns the text of its log."""
        return (self.folder / "router.log").read_text("utf-8", "replace")

    def resident_mib(self) -> float:
        """Returns its resident memory in MiB."""
        assert self.process is not None
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024.0
        return 0.0

    def send_signal(self, number: int) -> None:
        """Sends a signal, given by its number."""
        assert self.process is not None
        self.process.send_signal(number)

    def stop(self, number: int = signal.SIGTERM, wait: float = 8.0) -> int | None:
        """Sends a signal and waits for the end of the process.

        Returns:
            The exit code; None if there was no process or it had to be killed after `wait` seconds.
        """
        if self.process is None:
            return None
        process, self.process = self.process, None
        if process.poll() is None:
            process.send_signal(number)
        deadline = time.monotonic() + wait
        while process.poll() is None and time.monotonic() < deadline:
            gevent.sleep(0.01)
        if process.poll() is None:
            process.kill()
            process.wait()
            return None
        return process.returncode


class LabCluster:
    """A fleet of engines with a router or a group of routers, as a context manager.

    Attributes:
        folder: Folder of all files.
        fleet: Process of the engines.
        spool: Folder of the spool.
        routers: The router processes.
        router: The first of them.
        port_reservations: Sockets that reserve the routers' ports.
        connection_relays: Relays for connections, by router number, if there are any.
        profiles: Statements in flight by profile, at all engines together, as of the last `command_fleet`.
    """

    def __init__(
        self,
        engines: int = 4,
        cores: int = 8,
        operator: str = "",
        max_retry_after_s: float = 5.0,
        sockets: int = 4096,
        tenants: Sequence[str] = TENANTS,
        routers: int = 1,
        network: FaultyNetwork | None = None,
        connection_relays: bool = False,
    ) -> None:
        """Starts the engines and writes the routers' files.

        Args:
            engines: Number of engines.
            cores: Cores of an engine.
            operator: Text of the operator's file; FOLDER stands for the folder of the spool.
            max_retry_after_s: Longest Retry-After in seconds that clients honour.
            sockets: Most sockets that a router may have open.
            tenants: Names of the tenants.
            routers: Number of routers.
            network: Network for datagrams between the routers; by default the relays of the fleet.
            connection_relays: Whether the connections of each router's clients and engines pass relays;
                clients then connect to `client_address` of the relays.
        """
        self.folder = Path(tempfile.mkdtemp(prefix="marbleworks-lab-"))
        self.fleet: Any = subprocess.Popen(
            [sys.executable, "-m", "marbleworks.lab.fleet", str(engines), str(cores), str(routers)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
        fleet_addresses = json.loads(self.fleet.stdout.readline())
        engine_addresses: dict[str, Any] = dict(fleet_addresses["engines"])
        self.spool = self.folder / "spool"
        self.routers: list[RouterProcess] = []
        self.port_reservations = [reserve_port() for _ in range(routers)]
        peer_ports = [free_port(socket.SOCK_DGRAM) for _ in range(routers)]
        self.command_fleet(peers=peer_ports)
        if network is not None:
            network.set_ports(peer_ports)
        peer_addresses = [(host, port) for _, (host, port) in fleet_addresses["relays"]]
        self.connection_relays: list[ConnectionRelays] = []
        for router_index, (broadcast_address, _) in enumerate(fleet_addresses["relays"]):
            listen, directory = (
                self.port_reservations[router_index].getsockname()[1],
                tuple(fleet_addresses["directory"]),
            )
            router_settings = lab_settings(cores, max_retry_after_s, tenants, routers, router_index)
            group = (
                (peer_addresses, broadcast_address)
                if network is None
                else network.addresses_for(router_index)
            )
            visible_engines = engine_addresses
            if connection_relays:
                self.connection_relays.append(ConnectionRelays((HOST, listen), directory, engine_addresses))
                directory, visible_engines = (
                    self.connection_relays[router_index].directory,
                    dict(self.connection_relays[router_index].engines),
                )
            config = router_configuration(
                listen, peer_ports[router_index], directory, visible_engines, router_settings, sockets, group
            )
            router_folder, text = (
                self.folder / f"router-{router_index}",
                operator.replace("FOLDER", str(self.spool)),
            )
            self.routers.append(RouterProcess(router_folder, config, listen, text))
        self.router = self.routers[0]

    def __enter__(self) -> LabCluster:
        try:
            for router in self.routers:
                router.start()
        except BaseException:
            self._end()
            raise
        return self

    def __exit__(
        self, kind: type[BaseException] | None, err: BaseException | None, at: TracebackType | None
    ) -> None:
        self._end()

    def _end(self) -> None:
        for router in self.routers:
            router.stop()
        self.fleet.stdin.close()
        try:
            self.fleet.wait(timeout=3)
        except subprocess.TimeoutExpired:
            self.fleet.kill()
        for relays in self.connection_relays:
            relays.close()
        for sock in self.port_reservations:
            sock.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def duplicate_router(self, number: int, network: FaultyNetwork) -> RouterProcess:
        """Returns a second process of the same router on ports of its own, to be ended by the caller."""
        self.port_reservations.append(reserve_port())
        listen, peer_port = self.port_reservations[-1].getsockname()[1], free_port(socket.SOCK_DGRAM)
        network.duplicate_ports[number] = peer_port
        router_config = json.loads(self.routers[number].config.read_text())
        router_config |= {"listen": f"{HOST}:{listen}", "peer_listen": f"{HOST}:{peer_port}"}
        operator = self.routers[number].operator
        text = operator.read_text() if operator.exists() else ""
        return RouterProcess(self.folder / f"twin-{number}", json.dumps(router_config), listen, text)

    def command_fleet(self, **command: Any) -> list[dict[str, Any]]:
        """Sends a command to the fleet and returns the counters of each engine."""
        self.fleet.stdin.write(json.dumps(command).encode() + b"\n")
        self.fleet.stdin.flush()
        reply = json.loads(self.fleet.stdout.readline())
        self.profiles: dict[str, dict[str, Any]] = reply["profiles"]
        engines: list[dict[str, Any]] = reply["engines"]
        return engines


def health_report(cluster: LabCluster, number: int, what: str = "budgets") -> dict[str, Any]:
    """Returns what a router's `health` shows of a subsystem; empty if the router does not answer."""
    try:
        client = RpcClient(cluster.routers[number].address)
        client.send(0, 1, "health", [{"about": what}])
        report: dict[str, Any] = client.receive(1.0)[3][1]
        client.sock.close()
        return report
    except (OSError, TypeError, gevent.Timeout):
        return {}


def is_allocated(cluster: LabCluster, name: str) -> bool:
    """Returns whether a leader's ledger shows the whole of a budget as known and allocated."""
    for n in range(len(cluster.routers)):
        for row in health_report(cluster, n).get("books", []):
            if row[0] == name:
                return bool(row[2] == row[1])
    return False


def wait_until(condition: Callable[[], bool], wait: float = START_TIMEOUT_S) -> bool:
    """Polls until a condition is true. Returns whether that was the case within `wait` seconds."""
    end = time.monotonic() + wait
    while not condition():
        if time.monotonic() > end:
            return False
        gevent.sleep(0.05)
    return True
