"""Connections to one engine are reset for a moment: two attempts are out together where that is forbidden."""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

import gevent
from harness.case import NotRunError, has_trouble, run_case
from harness.client import Client
from harness.directory import Directory
from harness.engine import Engine
from harness.record import Record
from harness.router import Router
from harness.settings import RequestClass, settings

SEED = 10
ENGINES = 4
CORES = 16
SESSIONS = 200
EPISODES = 8
PAUSE_S = 3.0  # before each episode
RESET_S = 0.2  # length of an episode
LOOKUP = RequestClass("date-lookup", "read_like", 6000.0)
REQUESTS_PER_S = 30.0
RUN_MS = (200, 900)
CLIENTS = 10
LIMIT_SLACK_S = 0.05  # each time limit is so much longer on sockets
MIN_RESETS = 20
END_EVENTS = ("applied", "given-up", "abandoned")


@dataclass(eq=False)
class Attempt:
    """One attempt as its engine saw it.

    Attributes:
        begun_at: Unix time in seconds at which it had come whole.
        ended_at: Unix time in seconds at which it had run, was given up, or had not been asked for in 2 s.
    """

    engine: str
    begun_at: float
    ended_at: float = float("inf")


def send_requests(rng: random.Random, clients: list[Client]) -> None:
    """Sends requests at a steady rate."""
    while True:
        gevent.sleep(rng.expovariate(REQUESTS_PER_S))
        run_ms = rng.randint(*RUN_MS)
        statement = f"select * from sales_{rng.randrange(1000)}.orders /* {run_ms} ms */"
        rng.choice(clients).send(LOOKUP.name, statement, LOOKUP.deadline_ms / 1000.0, run_ms)


def attempts_by_request(record: Record) -> dict[str, list[Attempt]]:
    """Returns the attempts of each request that began to run, in the order of their begin."""
    attempts: dict[str, list[Attempt]] = {}
    for entry in record.entries:
        if entry.event == "begun":
            attempts.setdefault(entry.request_id, []).append(Attempt(entry.source, entry.at))
        elif entry.event in END_EVENTS:
            for attempt in attempts[entry.request_id]:
                if attempt.engine == entry.source:
                    attempt.ended_at = min(attempt.ended_at, entry.at)
    return attempts


def violations(record: Record) -> list[str]:
    """Returns a line for each attempt that began while an earlier one of its request was out."""
    lines = []
    for request_id, attempts in attempts_by_request(record).items():
        for earlier, later in pairwise(attempts):
            together_s = earlier.ended_at - later.begun_at
            if together_s > LIMIT_SLACK_S:
                lines.append(
                    f"{request_id} was out at {earlier.engine} and at {later.engine} for {together_s:.3f} s"
                )
    return lines


def scenario(record: Record, folder: Path) -> list[str]:
    """Runs the traffic and returns a line for each violation."""
    rng = random.Random(SEED)
    engines = [Engine(f"s-{number}", "hall-a", SESSIONS, record) for number in range(ENGINES)]
    deployment = settings([LOOKUP], cores=CORES, second_copies=False)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 512}
    router = Router("n1", folder, record, Directory(engines), deployment, limits)
    try:
        router.wait_until_ready()
        clients = [Client(f"client-{number}", router.address, record) for number in range(CLIENTS)]
        sender = gevent.spawn(send_requests, rng, clients)
        for episode in range(EPISODES):
            gevent.sleep(PAUSE_S)
            engine = engines[episode % ENGINES]
            if has_trouble():
                engine.begin_resets()
                gevent.sleep(RESET_S)
                engine.end_resets()
        sender.kill()
        gevent.sleep(LOOKUP.deadline_ms / 1000.0)
        if router.has_ended():
            raise NotRunError("the router has ended")
    finally:
        router.kill()
    if has_trouble() and record.count("reset") < MIN_RESETS:
        raise NotRunError("too few connections were reset")
    print({event: record.count(event) for event in ("begun", "applied", "reset", "served", "failed")})
    return violations(record)


if __name__ == "__main__":
    run_case(__file__, scenario)
