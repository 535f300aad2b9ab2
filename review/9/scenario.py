"""A client writes a request slowly while another one of it is open: the router closes the connection."""

from __future__ import annotations

import random
from pathlib import Path

import gevent
from harness.case import NotRunError, has_trouble, run_case
from harness.client import Client, Request
from harness.directory import Directory
from harness.engine import Engine
from harness.record import Record
from harness.router import Router
from harness.settings import RequestClass, settings

SEED = 9
ENGINES = 4
CORES = 16
SESSIONS = 200
LOOKUP = RequestClass("date-lookup", "read_like", 4000.0)
REPORT = RequestClass("market-report", "read_like", 20000.0, threads=4, target_ms=3000.0)
REPORT_MS = 5000
ROUNDS = 4
CLIENTS = 6
PAUSE_S = 0.5  # between the report and the first byte of the lookup
PIECES = 26
PIECE_INTERVAL_S = 0.1
LATE_GRACE_S = 0.5  # a final answer that comes later than this after the request's time is lost
LIMIT_SLACK_S = 0.05  # each time limit is so much longer on sockets


def run_client(client: Client, group: int) -> list[Request]:
    """Sends a report and, while it is open, a lookup, and returns those that the router has taken."""
    interval_s = PIECE_INTERVAL_S if has_trouble() else 0.0
    report = f"select * from sales_{group}.orders, staging.new /* {REPORT_MS} ms */"
    lookup = f"select * from sales_{group}.orders /* 20 ms */"
    requests = [client.send(REPORT.name, report, REPORT.deadline_ms / 1000.0, REPORT.threads * REPORT_MS)]
    gevent.sleep(PAUSE_S)
    try:
        wait_s = LOOKUP.deadline_ms / 1000.0
        requests.append(client.send_in_pieces(LOOKUP.name, lookup, wait_s, PIECES, interval_s))
    except OSError:
        client.record.add(client.name, "not-written", detail=LOOKUP.name)
    for request in requests:
        request.ended.wait(request.wait_s + 2.0 * LATE_GRACE_S)
    client.close()
    return requests


def violations(requests: list[Request]) -> list[str]:
    """Returns a line for each request without a final answer in its time and the grace after it."""
    lines = []
    for request in requests:
        limit_at = request.sent_at + request.wait_s + LATE_GRACE_S + LIMIT_SLACK_S
        if request.answered_at is None or request.answered_at > limit_at:
            lines.append(f"{request.class_name} {request.request_id} got no answer in its time")
    return lines


def scenario(record: Record, folder: Path) -> list[str]:
    """Runs the traffic and returns a line for each violation."""
    rng = random.Random(SEED)
    engines = [Engine(f"s-{number}", "hall-a", SESSIONS, record) for number in range(ENGINES)]
    deployment = settings([LOOKUP, REPORT], cores=CORES)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 512}
    router = Router("n1", folder, record, Directory(engines), deployment, limits)
    requests: list[Request] = []
    try:
        router.wait_until_ready()
        for _ in range(ROUNDS):
            clients = [Client(f"client-{number}", router.address, record) for number in range(CLIENTS)]
            runs = [gevent.spawn(run_client, client, rng.randrange(1000)) for client in clients]
            gevent.joinall(runs, raise_error=True)
            for run in runs:
                requests += run.value
        if router.has_ended():
            raise NotRunError("the router has ended")
    finally:
        router.kill()
    print({event: record.count(event) for event in ("sent", "served", "refused", "failed")})
    return violations(requests)


if __name__ == "__main__":
    run_case(__file__, scenario)
