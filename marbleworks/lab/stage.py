"""What an experiment stands on: a fleet and routers as processes, on ports of their own, ended with it.

It owns the processes it started and a folder for their files, and ends just those.
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

from marbleworks.lab.faultnet import FaultNet, Lines
from marbleworks.lab.standins import HOST, RpcClient, configuration

READY_WITHIN = 20.0  # seconds for a process to answer
PROFILES = {  # name: benefit, latency target and client timeout in seconds, what a second run would do
    "date-lookup": (1.0, 0.5, 2.0, "read_like"),
    "market-report": (4.0, 20.0, 30.0, "read_like"),
    "booking-load": (8.0, 3.0, 6.0, "non_idempotent"),
}
TENANTS = ("bergen", "oslo", "tromso", "voss")


def settings(
    cores: int, heed: float = 5.0, tenants: Sequence[str] = TENANTS, routers: int = 1, me: int = 0
) -> dict[str, Any]:
    """A deployment of one hall. heed: the longest time to come back that its clients heed, in seconds."""
    classes = [
        {"name": name, "credit": worth, "slo_ms": 1e3 * slo, "deadline_ms": 1e3 * wait, "repeat": repeat}
        for name, (worth, slo, wait, repeat) in PROFILES.items()
    ]
    none = [False] * len(classes)
    return {
        "zones": ["hall-a"],
        "kinds": ["std"],
        "az": "hall-a",
        "instances": routers,
        "me": me,
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
            "max_retry_after_ms": 1e3 * heed,
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
            "class_load": none,
            "class_waits": none,
            "parallelism": [1] * len(classes),
            "takes_grants": True,
            "when_short": "queue",
            "cores_by_kind": [cores],
            "memory_by_kind_mb": [65536.0],
        },
    }


def held_port() -> Any:
    """A socket that keeps a port for a listener which may bind it too (both with SO_REUSEADDR, and this one
    never listens), so that nobody takes the port between the look and the bind."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    with socket.socket(type=kind) as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


class RouterProcess:
    """One router, which may be killed and started again under its address."""

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

    def start(self, wait: float = READY_WITHIN) -> None:
        with open(self.folder / "router.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, "serve", "--config", str(self.config), *self.args],
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        until = time.monotonic() + wait
        while True:
            try:
                client = RpcClient(self.address)
                client.send(0, 1, "health", [{}])
                if client.hear(1.0)[3][0]:
                    return
            except (OSError, TypeError, gevent.Timeout):
                if time.monotonic() > until or self.process.poll() is not None:
                    raise RuntimeError(f"the router did not start: {self.log()[-500:]}") from None
                gevent.sleep(0.02)

    def log(self) -> str:
        return (self.folder / "router.log").read_text("utf-8", "replace")

    def memory(self) -> float:
        """Resident megabytes."""
        assert self.process is not None
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024.0
        return 0.0

    def tell(self, number: int) -> None:
        """Sends a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self, number: int = signal.SIGTERM, wait: float = 8.0) -> int | None:
        """Its exit code; None where it had to be killed after the wait."""
        if self.process is None:
            return None
        process, self.process = self.process, None
        if process.poll() is None:
            process.send_signal(number)
        until = time.monotonic() + wait
        while process.poll() is None and time.monotonic() < until:
            gevent.sleep(0.01)
        if process.poll() is None:
            process.kill()
            process.wait()
            return None
        return process.returncode


class Stage:
    """A fleet of engines and a router, or a group of them, for a `with`."""

    def __init__(
        self,
        engines: int = 4,
        cores: int = 8,
        operator: str = "",
        heed: float = 5.0,
        sockets: int = 4096,
        tenants: Sequence[str] = TENANTS,
        routers: int = 1,
        net: FaultNet | None = None,
        lines: bool = False,
    ) -> None:
        """net: what datagrams between the routers pass, in place of the fleet's relays. lines: whether each
        router's clients and engines pass relays too, whose fronts clients then connect to."""
        self.folder = Path(tempfile.mkdtemp(prefix="marbleworks-lab-"))
        self.fleet: Any = subprocess.Popen(
            [sys.executable, "-m", "marbleworks.lab.fleet", str(engines), str(cores), str(routers)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
        told = json.loads(self.fleet.stdout.readline())
        listed: dict[str, Any] = dict(told["engines"])
        self.spool = self.folder / "spool"
        self.routers: list[RouterProcess] = []
        self.ports = [held_port() for _ in range(routers)]
        hear = [free_port(socket.SOCK_DGRAM) for _ in range(routers)]
        self.tell_fleet(peers=hear)
        if net is not None:
            net.listen(hear)
        seen = [(host, port) for _, (host, port) in told["relays"]]
        self.lines: list[Lines] = []
        for me, (everyone, _) in enumerate(told["relays"]):
            listen, directory = self.ports[me].getsockname()[1], tuple(told["directory"])
            terms = settings(cores, heed, tenants, routers, me)
            group = (seen, everyone) if net is None else net.of(me)
            seen_engines = listed
            if lines:
                self.lines.append(Lines((HOST, listen), directory, listed))
                directory, seen_engines = self.lines[me].directory, dict(self.lines[me].engines)
            config = configuration(listen, hear[me], directory, seen_engines, terms, sockets, group)
            home, text = self.folder / f"router-{me}", operator.replace("FOLDER", str(self.spool))
            self.routers.append(RouterProcess(home, config, listen, text))
        self.router = self.routers[0]

    def __enter__(self) -> Stage:
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
            router.end()
        self.fleet.stdin.close()
        try:
            self.fleet.wait(timeout=3)
        except subprocess.TimeoutExpired:
            self.fleet.kill()
        for line in self.lines:
            line.close()
        for sock in self.ports:
            sock.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def twin(self, number: int, net: FaultNet) -> RouterProcess:
        """A second process of a router's name and number, with ports of its own; the caller ends it."""
        self.ports.append(held_port())
        listen, hear = self.ports[-1].getsockname()[1], free_port(socket.SOCK_DGRAM)
        net.twins[number] = hear
        told = json.loads(self.routers[number].config.read_text())
        told |= {"listen": f"{HOST}:{listen}", "peer_listen": f"{HOST}:{hear}"}
        operator = self.routers[number].operator
        text = operator.read_text() if operator.exists() else ""
        return RouterProcess(self.folder / f"twin-{number}", json.dumps(told), listen, text)

    def tell_fleet(self, **what: Any) -> list[dict[str, Any]]:
        """Tells it something, and gives what each engine has done so far."""
        self.fleet.stdin.write(json.dumps(what).encode() + b"\n")
        self.fleet.stdin.flush()
        said = json.loads(self.fleet.stdout.readline())
        self.profiles: dict[str, dict[str, Any]] = said["profiles"]  # of all engines together
        engines: list[dict[str, Any]] = said["engines"]
        return engines


def about(stage: Stage, number: int, what: str = "budgets") -> dict[str, Any]:
    """What a router shows of a subsystem; nothing where it does not answer."""
    try:
        client = RpcClient(stage.routers[number].address)
        client.send(0, 1, "health", [{"about": what}])
        told: dict[str, Any] = client.hear(1.0)[3][1]
        client.sock.close()
        return told
    except (OSError, TypeError, gevent.Timeout):
        return {}


def divided(stage: Stage, name: str) -> bool:
    """Whether some router's books have a budget of which nothing is free or not known."""
    for n in range(len(stage.routers)):
        for row in about(stage, n).get("books", []):
            if row[0] == name:
                return bool(row[2] == row[1])
    return False


def until(true: Callable[[], bool], wait: float = READY_WITHIN) -> bool:
    """Looks often, until it is true or the wait is over."""
    end = time.monotonic() + wait
    while not true():
        if time.monotonic() > end:
            return False
        gevent.sleep(0.05)
    return True
