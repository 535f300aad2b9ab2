"""Clients give up early while bad clients send much: attempts begin long after the cancellation."""

from __future__ import annotations

import random
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import gevent
from harness.case import NotRunError, has_trouble, run_case
from harness.client import Client
from harness.directory import Directory
from harness.engine import Engine
from harness.record import Record
from harness.router import Router
from harness.settings import RequestClass, settings

SEED = 7
DURATION_S = 30.0
QUIET_S = 2.0  # before the bad clients come
ENGINES = 4
CORES = 16
SESSIONS = 400
LOOKUP = RequestClass("date-lookup", "read_like", 4000.0)
LOAD = RequestClass("booking-load", "non_idempotent", 10000.0, is_load=True, threads=2, target_ms=3000.0)
LOOKUPS_PER_S = 15.0
LOADS_PER_S = 10.0
LOADED_GROUPS = 4
PATIENCE_S = (0.02, 0.3)  # after which a client gives up
CLIENTS = 10
BAD_CLIENT_PROCESSES = 2
BAD_CLIENTS = 100  # in each process
GIVEN_UP_GRACE_S = 0.1  # an attempt that begins later than this after the client has gone breaks the rule
LIMIT_SLACK_S = 0.05  # each time limit is so much longer on sockets
MIN_CANCELLED = 100


class LoopLag:
    """The largest delay of this process's event loop, by which it may have seen a call too late."""

    def __init__(self) -> None:
        self.largest_s = 0.0
        gevent.spawn(self._measure)

    def _measure(self) -> None:
        while True:
            began_at = time.time()
            gevent.sleep(0.005)
            self.largest_s = max(self.largest_s, time.time() - began_at - 0.005)


class UsualClients:
    """Clients that each send one request after the other and give up some of them early.

    Attributes:
        cancelled_at: Unix time in seconds at which the cancellation of each request was written.
    """

    def __init__(self, router: Router, record: Record, rng: random.Random) -> None:
        self.router = router
        self.record = record
        self.rng = rng
        self.cancelled_at: dict[str, float] = {}
        self.clients = [self._connect(number) for number in range(CLIENTS)]

    def send(self, request_class: RequestClass, rate_per_s: float) -> None:
        """Sends requests of one class at a steady rate."""
        while True:
            gevent.sleep(self.rng.expovariate(rate_per_s))
            gevent.spawn(self._send_and_give_up, request_class)

    def _connect(self, number: int) -> Client:
        return Client(f"client-{number}", self.router.address, self.record)

    def _client(self) -> Client:
        number = self.rng.randrange(CLIENTS)
        if self.clients[number].closed:
            self.clients[number] = self._connect(number)
        return self.clients[number]

    def _send_and_give_up(self, request_class: RequestClass) -> None:
        with suppress(OSError):
            client = self._client()
            if request_class is LOAD:
                group = self.rng.randrange(LOADED_GROUPS)
                statement = f"insert into sales_{group}.orders select * from staging.new /* 300 ms */"
                request = client.send(LOAD.name, statement, LOAD.deadline_ms / 1000.0, 600.0)
            else:
                group = self.rng.randrange(LOADED_GROUPS, 1000)
                statement = f"select * from sales_{group}.orders /* 20 ms */"
                request = client.send(LOOKUP.name, statement, LOOKUP.deadline_ms / 1000.0, 20.0)
            if not request.ended.wait(self.rng.uniform(*PATIENCE_S)):
                client.cancel(request)
                self.cancelled_at[request.request_id] = time.time()


def violations(record: Record, cancelled_at: dict[str, float], lag_s: float) -> list[str]:
    """Returns a line for each attempt that began too long after its client had given up.

    Args:
        record: The record.
        cancelled_at: Unix time in seconds of each cancellation.
        lag_s: By how much the engines, which run in this process, may have seen an attempt too late.
    """
    allowed_s = GIVEN_UP_GRACE_S + LIMIT_SLACK_S + lag_s
    lines = []
    for request_id, attempts in record.by_request("received").items():
        for attempt in attempts:
            after_s = attempt.at - cancelled_at.get(request_id, attempt.at)
            if after_s > allowed_s:
                lines.append(
                    f"{attempt.detail} {request_id} reached {attempt.source} "
                    f"{after_s:.3f} s after its cancellation"
                )
    return lines


def start_bad_clients(router: Router) -> list[subprocess.Popen[bytes]]:
    """Starts the processes of the bad clients; they end by themselves."""
    script = str(Path(__file__).with_name("bad_clients.py"))
    host, port = router.address
    seconds = DURATION_S - QUIET_S
    arguments = [sys.executable, script, host, str(port), str(BAD_CLIENTS), str(seconds)]
    return [subprocess.Popen(arguments) for _ in range(BAD_CLIENT_PROCESSES)]


def scenario(record: Record, folder: Path) -> list[str]:
    """Runs the traffic and returns a line for each violation."""
    rng = random.Random(SEED)
    engines = [Engine(f"s-{number}", "hall-a", SESSIONS, record) for number in range(ENGINES)]
    deployment = settings([LOOKUP, LOAD], cores=CORES)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    router = Router("n1", folder, record, Directory(engines), deployment, limits)
    processes: list[subprocess.Popen[bytes]] = []
    try:
        router.wait_until_ready()
        lag = LoopLag()
        usual = UsualClients(router, record, rng)
        senders = [
            gevent.spawn(usual.send, LOOKUP, LOOKUPS_PER_S),
            gevent.spawn(usual.send, LOAD, LOADS_PER_S),
        ]
        gevent.sleep(QUIET_S)
        if has_trouble():
            processes = start_bad_clients(router)
        gevent.sleep(DURATION_S - QUIET_S)
        for sender in senders:
            sender.kill()
        gevent.sleep(3.0)
        if router.has_ended():
            raise NotRunError("the router has ended")
    finally:
        for process in processes:
            process.kill()
            process.wait()
        router.kill()
    if len(usual.cancelled_at) < MIN_CANCELLED:
        raise NotRunError("too few requests were cancelled")
    print(f"{len(usual.cancelled_at)} cancelled, lag of the stand-ins up to {lag.largest_s:.3f} s")
    record.add("check", "cancelled", detail=f"{len(usual.cancelled_at)} requests")
    record.add("check", "lag", detail=f"{lag.largest_s:.3f} s")
    return violations(record, usual.cancelled_at, lag.largest_s)


if __name__ == "__main__":
    run_case(__file__, scenario)
