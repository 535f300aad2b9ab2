"""One router process, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

from standins.client import Client
from standins.engine import HOST
from standins.record import Record

REPOSITORY = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 30.0


class RouterNotReadyError(Exception):
    """The router did not answer `health` with true in time."""


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Returns a port of the loopback address that is not in use."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


class Router:
    """One router: its configuration file and its process.

    Attributes:
        name: The router's name.
        address: Address for clients.
        peer_address: Address for datagrams of other routers.
        config: The configuration, as it is written to the file.
        exit_codes: Exit codes of the processes that have ended, in order.
    """

    def __init__(self, name: str, folder: Path, record: Record, config: dict[str, Any]) -> None:
        self.name = name
        self.folder = folder
        self.record = record
        self.address = (HOST, free_port())
        self.peer_address = (HOST, free_port(socket.SOCK_DGRAM))
        self.config_path = folder / f"{name}.json"
        self.operator_path: Path | None = None
        peers = f"{HOST}:{self.peer_address[1]}"
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.address[1]}",
            "peer_listen": peers,
            "peers": [peers],
            "peers_all": peers,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            **config,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.exit_codes: list[int] = []

    def write_config(self) -> None:
        """Writes the configuration file with a new seed, in place of an earlier one."""
        self.config["seed"] = os.urandom(8).hex()
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(self.config), "utf-8")
        new_path.replace(self.config_path)

    async def start(self) -> None:
        """Starts the process and waits until it is ready.

        Raises:
            RouterNotReadyError: It was not ready in time.
        """
        self.write_config()
        deploy = tomllib.loads((REPOSITORY / "deploy" / "balancer.toml").read_text("utf-8"))
        environment = {
            **os.environ,
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"{self.address[0]}:{self.address[1]}",
            "RELAY_CONFIG": str(self.config_path),
            "TMPDIR": str(self.folder),
        }
        if self.operator_path is not None:
            environment["MARBLEWORKS_OPERATOR"] = str(self.operator_path)
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        self.record.add(self.name, "started", "", f"pid {self.process.pid}")
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + START_TIMEOUT_S
        while loop.time() < deadline and self.process is not None and self.process.returncode is None:
            probe = Client("probe", self.record)
            try:
                await probe.connect(self.address)
                if await probe.is_healthy():
                    return
            except OSError:
                pass
            finally:
                probe.close()
            await asyncio.sleep(0.05)
        raise RouterNotReadyError(self.name)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.record.add(self.name, "signal", "", number.name)
        self.process.send_signal(number)

    async def end(self, number: signal.Signals, timeout_s: float = 10.0) -> int:
        """Ends the process with a signal, or by SIGKILL after the timeout, and returns its exit code."""
        assert self.process is not None
        if self.process.returncode is None:
            self.send_signal(number)
            try:
                await asyncio.wait_for(self.process.wait(), timeout_s)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        code = self.process.returncode or 0
        self.exit_codes.append(code)
        self.record.add(self.name, "ended", "", f"exit code {code}")
        return code
