"""One router process, started with the `run` line of the deploy file."""

from __future__ import annotations

import json
import os
import subprocess
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
from gevent import Timeout, socket

from harness.client import Client
from harness.directory import Directory
from harness.engine import HOST
from harness.record import Record

REPOSITORY = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 30.0


class RouterNotReadyError(Exception):
    """The router did not answer `health` with true in time."""


class Router:
    """One router: its configuration file and its process.

    Attributes:
        address: Address for clients.
        process: The running process.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        record: Record,
        directory: Directory,
        settings: dict[str, Any],
        limits: dict[str, float],
    ) -> None:
        """Starts the process.

        Args:
            name: Name of the router.
            folder: Empty folder for its files.
            record: Record of the case.
            directory: The name server.
            settings: Settings of the deployment.
            limits: The limits, as in the configuration.
        """
        self.name = name
        self.record = record
        self.address = (HOST, _free_port(socket.SOCK_STREAM))
        peer = f"{HOST}:{_free_port(socket.SOCK_DGRAM)}"
        config = {
            "name": name,
            "listen": f"{HOST}:{self.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "peer_listen": peer,
            "peers": [peer],
            "peers_all": peer,
            "nameserver": f"{HOST}:{directory.address[1]}",
            "known": directory.known(),
            "settings": settings,
        }
        self.config_path = folder / f"{name}.json"
        self.config_path.write_text(json.dumps(config), "utf-8")
        run = tomllib.loads((REPOSITORY / "deploy" / "balancer.toml").read_text("utf-8"))["run"]
        temporary_folder = folder / f"{name}-tmp"
        temporary_folder.mkdir()
        environment = {
            **os.environ,
            "RELAY_NAME": name,
            "RELAY_LISTEN": f"{HOST}:{self.address[1]}",
            "RELAY_CONFIG": str(self.config_path),
            "TMPDIR": str(temporary_folder),
        }
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        record.add(name, "started")

    def wait_until_ready(self) -> None:
        """Waits until the router answers `health` with true.

        Raises:
            RouterNotReadyError: It did not do so in time.
        """
        with Timeout(START_TIMEOUT_S, RouterNotReadyError(self.name)):
            while not self._is_healthy():
                gevent.sleep(0.1)
        self.record.add(self.name, "ready")

    def _is_healthy(self) -> bool:
        with suppress(OSError):
            client = Client("health", self.address, self.record)
            client.ask_health()
            with Timeout(1.0, False):
                while not client.health and not client.closed:
                    gevent.sleep(0.01)
            client.close()
            return client.health == [True]
        return False

    def has_ended(self) -> bool:
        """Returns whether the process has ended."""
        return self.process.poll() is not None

    def resident_mb(self) -> float:
        """Returns the memory that the process uses, in MB of a million bytes; 0 once it has ended."""
        with suppress(OSError, StopIteration):
            status = Path(f"/proc/{self.process.pid}/status").read_text("ascii")
            line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
            return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def kill(self) -> None:
        """Ends the process at once."""
        if not self.has_ended():
            self.process.kill()
        self.process.wait()
        self.record.add(self.name, "ended", detail=f"exit code {self.process.returncode}")


def _free_port(kind: int) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port
