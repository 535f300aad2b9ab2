"""Experiment on the admission controller: three routers, six engines, fifty quiet tenants and one flood.

The same load runs with and without admission control, then with two floods. Further parts send requests of
five thousand clients at once, each from its own network: in a model of the decisions without sockets, and on
sockets with addresses of as many loopback networks.
"""

from __future__ import annotations

import json
import random
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import gevent
import numpy as np

from marbleworks.fair_queue.admission import (
    AdmissionBounds,
    AdmissionController,
    AdmissionReason,
    IncomingRequest,
)
from marbleworks.fair_queue.flow_classifier import FlowClassifier
from marbleworks.lab.faultnet import FaultyNetwork
from marbleworks.lab.load import LoadClient, RequestOutcome, schedule_arrivals
from marbleworks.lab.report import Report, distribution, percentile
from marbleworks.lab.stage import LabCluster, is_allocated, wait_until

QUIET = [f"quiet-{n:02d}" for n in range(50)]
FLOODS = ["flood-a", "flood-b"]
ENGINES, CORES, ROUTERS = 6, 2, 3
QUIET_RATE = 1.5  # requests per second of each quiet tenant
WORK_RANGE_MS = (20, 120)  # ms of a look-up
ENDS = ("answered", "shed", "failed", "lost", "error")
ADMISSION_ON = "(door (waiting 2000) (memory 4 MB) (bookings 4000) (trace on))"


@dataclass
class RunResult:
    """Measurements of one run.

    Attributes:
        name: What was run; a value of the results table.
        outcomes: Outcomes of the requests, keyed by tenant.
        came_back: For each client that returned after a Retry-After: the announced delay and the real wait in
            seconds, and whether it was admitted.
        used: Fraction of the engines' cores in use.
        log: Log entries of the event "door".
    """

    name: str
    outcomes: dict[str, list[RequestOutcome]] = field(default_factory=lambda: defaultdict(list))
    came_back: list[tuple[float, float, bool]] = field(default_factory=list)
    used: float = 0.0
    waiting: float = 0.0
    log: list[dict[str, str]] = field(default_factory=list)

    def quiet(self) -> list[RequestOutcome]:
        """Returns the outcomes of all quiet tenants."""
        return [request for name in QUIET for request in self.outcomes[name]]


def run_load(name: str, operator: str, flood: dict[str, float], seconds: float, seed: int) -> RunResult:
    """Runs one load and returns its measurements.

    Args:
        name: What is run; a value of the results table.
        operator: Text of the operator's file of all routers.
        flood: Requests per second, keyed by flooding tenant.
        seconds: Length of the load.
        seed: Seed of arrivals and work.
    """
    result = RunResult(name)
    # Needed with peers because the relays of the fleet reach all routers or none.
    network = FaultyNetwork(ROUTERS, seed) if "(peers)" in operator else None
    tenants = [*QUIET, *FLOODS]
    with LabCluster(
        ENGINES, CORES, operator, 5.0, tenants=tenants, routers=ROUTERS, network=network
    ) as cluster:
        arrival_rng, request_rng = np.random.default_rng(seed), np.random.default_rng(seed + 1)
        idle_clients: dict[tuple[str, int], list[LoadClient]] = defaultdict(list)
        if "(peers)" in operator:
            wait_until(lambda: is_allocated(cluster, "engine s-0"))

        def send_one(tenant: str, returns: bool) -> None:
            router_number = int(request_rng.integers(ROUTERS))
            client = (
                idle_clients[tenant, router_number].pop()
                if idle_clients[tenant, router_number]
                else LoadClient(cluster.routers[router_number].address, tenant, seed)
            )
            work = int(request_rng.uniform(*WORK_RANGE_MS))
            row_id = int(request_rng.integers(1_000_000_000))
            request = client.send_request("date-lookup", work, 600, row_id)
            result.outcomes[tenant].append(request)
            if (
                returns
                and request.outcome == "shed"
                and request.retry_after_s is not None
                and request.retry_after_s < 5.0
            ):
                gevent.sleep(request.retry_after_s)
                retry = client.send_request("date-lookup", work, 600, row_id)
                waited_s = time.monotonic() - request.sent_at - retry.duration_s
                result.came_back.append((request.retry_after_s, waited_s, retry.outcome == "answered"))
            idle_clients[tenant, router_number].append(client)

        greenlets: list[gevent.Greenlet[..., None]] = []
        for tenant in QUIET:
            greenlets += schedule_arrivals(arrival_rng, QUIET_RATE, seconds, partial(send_one, tenant, True))
        for tenant, rate in flood.items():
            greenlets += schedule_arrivals(arrival_rng, 0.3 * rate, seconds, partial(send_one, tenant, True))
            greenlets += schedule_arrivals(arrival_rng, 0.7 * rate, seconds, partial(send_one, tenant, False))
        gevent.sleep(seconds)
        held_s = sum(engine["held"] for engine in cluster.command_fleet(stats=True))
        result.used = held_s / (seconds * ENGINES * CORES)
        gevent.joinall(greenlets, timeout=12)
        for router_process in cluster.routers:
            result.log += [
                json.loads(line)
                for line in router_process.read_log().splitlines()
                if '"event": "door"' in line
            ]
    return result


def run_group_floods(peers: bool, seconds: float, seed: int) -> list[float]:
    """Runs two floods, one at all three routers and one at two of them.

    Returns:
        Seconds of engine work that each flood received.
    """
    work_s = {name: 0.0 for name in FLOODS}
    operator = f"(door (peers {'on' if peers else 'off'}))"
    with LabCluster(ENGINES, CORES, operator, 5.0, tenants=FLOODS, routers=ROUTERS) as cluster:
        rng = np.random.default_rng(seed)

        def send_one(tenant: str, router_number: int) -> None:
            client = LoadClient(cluster.routers[router_number].address, tenant, seed)
            request = client.send_request(
                "date-lookup", int(rng.uniform(*WORK_RANGE_MS)), 600, int(rng.integers(1_000_000_000))
            )
            if request.outcome == "answered" and began + 1.0 < request.sent_at < began + seconds:
                work_s[tenant] += request.work_ms / 1000.0

        greenlets: list[gevent.Greenlet[..., None]] = []
        began = time.monotonic()
        for router_number in range(ROUTERS):
            for tenant in FLOODS[: 1 if router_number == 2 else 2]:
                greenlets += schedule_arrivals(rng, 120.0, seconds, partial(send_one, tenant, router_number))
        gevent.joinall(greenlets, timeout=seconds + 10)
    return list(work_s.values())


def run_client_burst(report: Report, count: int, seed: int) -> None:
    """Sends one request from each of many clients at once, each from another loopback network.

    The clients are connected to three routers. A client that is shed with a Retry-After below 5 s returns
    once, at the announced time.
    """
    operator = "(door (waiting 2000) (memory 4 MB) (bookings 4000))"
    outcomes, retries = list[RequestOutcome](), list[RequestOutcome]()
    with LabCluster(ENGINES, CORES, operator, 5.0, 4 * count, tenants=[], routers=ROUTERS) as cluster:
        rest_mb = max(router.resident_mib() for router in cluster.routers)
        clients = [
            LoadClient(cluster.routers[n % ROUTERS].address, "", seed, f"127.{1 + n // 250}.{n % 250}.9")
            for n in range(count)
        ]
        for first in range(0, count, 100):
            gevent.joinall([gevent.spawn(client.connect) for client in clients[first : first + 100]])
        connected_mb = max(router.resident_mib() for router in cluster.routers)

        def send_one(client: LoadClient, row_id: int) -> None:
            request = client.send_request("date-lookup", 20, 600, row_id)
            outcomes.append(request)
            if (
                request.outcome == "shed"
                and request.retry_after_s is not None
                and request.retry_after_s < 5.0
            ):
                gevent.sleep(request.retry_after_s)
                retries.append(client.send_request("date-lookup", 20, 600, row_id))

        greenlets = [gevent.spawn(send_one, client, n) for n, client in enumerate(clients)]
        peak_mb = connected_mb
        while not all(greenlet.ready() for greenlet in greenlets):
            peak_mb = max(peak_mb, *(router.resident_mib() for router in cluster.routers))
            gevent.sleep(0.1)
        failures = sum(router.read_log().count('"event": "failed"') for router in cluster.routers)
    ends = {
        end: sum(request.outcome == end for request in outcomes)
        for end in ("answered", "shed", "failed", "lost", "error")
    }
    answered_fraction = sum(request.outcome == "answered" for request in retries) / max(len(retries), 1)
    report.figures |= {f"crowd_{end}": n for end, n in ends.items()}
    report.figures |= {
        "crowd_came_back": len(retries),
        "crowd_came_back_answered": answered_fraction,
        "crowd_rest_mb": rest_mb,
        "crowd_connected_mb": connected_mb,
        "crowd_peak_mb": peak_mb,
    }
    report.rows.append(
        {
            "day": f"{count} members at once",
            "quiet asked": count,
            "flood answered": ends["answered"],
            "in time": f"{in_time_fraction(outcomes):.3f}",
        }
    )
    report.claim(
        f"{count} members at once: commands without an end, exceptions",
        ends["lost"] + ends["error"] + failures,
        0,
    )
    report.claim(
        f"{count} members at once: who came back when told was answered",
        answered_fraction,
        0.95,
        is_minimum=True,
    )
    report.claim(
        f"{count} members at once: MB over what their connections take", peak_mb - connected_mb, 16.0
    )


def in_time_fraction(outcomes: list[RequestOutcome]) -> float:
    """Returns the fraction of requests that were answered within their latency target."""
    return sum(request.in_time for request in outcomes) / max(len(outcomes), 1)


def p99_seconds(outcomes: list[RequestOutcome]) -> float:
    """Returns the 99th percentile of the seconds to an answer."""
    return percentile([request.duration_s for request in outcomes if request.outcome == "answered"], 99)


def jain_index(values: list[float]) -> float:
    """Returns Jain's fairness index, which is 1 if all values are equal."""
    return sum(values) ** 2 / (len(values) * sum(v * v for v in values)) if any(values) else 0.0


def answered_work(outcomes: list[RequestOutcome]) -> float:
    """Returns the seconds of engine work of the answered requests."""
    return sum(request.work_ms for request in outcomes if request.outcome == "answered") / 1000.0


class AdmissionModel:
    """Model of engines behind one admission controller or several, without sockets.

    The cores are shared evenly among all running requests.

    Attributes:
        cores: Number of cores of all engines.
        bounds: Limits of each admission controller.
        now: Simulated time in seconds.
        running: Admitted requests by ref, with their controller and a list of the work left and the whole
            work.
        shed_count: Requests shed.
        completed_count: Requests completed.
        ended: How often a request was completed or shed, by ref. More than once is a fault.
        is_delivered: Whether a datagram from one controller, by number, reaches another.
        controllers: The admission controllers.
    """

    def __init__(self, cores: float, bounds: AdmissionBounds, doors: int = 1) -> None:
        self.cores, self.bounds, self.now = cores, bounds, 0.0
        self.running: dict[str, tuple[ModelledController, list[float]]] = {}
        self.shed_count, self.completed_count, self.ended = 0, 0, dict[str, int]()
        self.is_delivered: Callable[[int, int], bool] = lambda sender, to: True
        self.controllers: list[ModelledController] = []
        self.controllers += [ModelledController(self, n, doors) for n in range(doors)]

    @property
    def controller(self) -> AdmissionController:
        """The first admission controller."""
        return self.controllers[0].controller

    def record_end(self, ref: str) -> None:
        """Records that a request was completed or shed."""
        self.ended[ref] = self.ended.get(ref, 0) + 1

    def restart(self, number: int) -> None:
        """Replaces an admission controller by a fresh one; its running requests are lost."""
        self.running = {ref: entry for ref, entry in self.running.items() if entry[0].number != number}
        self.controllers[number] = ModelledController(self, number, len(self.controllers))

    def advance(self, seconds: float) -> None:
        """Advances the time, and the work of all running requests."""
        self.now += seconds
        progress = min(self.cores / max(len(self.running), 1), 1.0) * seconds
        completed = []
        for ref, (_, left) in self.running.items():
            left[0] -= progress
            if left[0] <= 0:
                completed.append(ref)
        for ref in completed:
            modelled, (_, work_s) = self.running.pop(ref)
            self.completed_count += 1
            self.record_end(ref)
            modelled.controller.on_answer(ref, work_s, work_s, self.now)
        for modelled in self.controllers:
            modelled.controller.tick(self.now)


class ModelledController:
    """An admission controller of the model, and the port that it calls."""

    def __init__(self, model: AdmissionModel, number: int, doors: int) -> None:
        self.model, self.number = model, number
        self.controller = AdmissionController(
            self, FlowClassifier(512, 1 + number, {}, {}), model.bounds, model.cores / doors, 5.0
        )

    def submit(self, new: IncomingRequest) -> None:
        """Passes a new request to the controller."""
        self.controller.submit(new, self.model.now)

    def admit(self, ref: str) -> None:
        admitted = self.controller.admitted[ref]
        self.model.running[ref] = self, [admitted.work, admitted.work]

    def shed(self, ref: str, after: float) -> None:
        self.model.shed_count += 1
        self.model.record_end(ref)

    def send_to_peers(self, data: bytes) -> None:
        for modelled in self.model.controllers:
            if modelled is not self and self.model.is_delivered(self.number, modelled.number):
                modelled.controller.on_peer_summary(self.number, data, self.model.now)

    def trace_decision(self, ref: str, member: str, why: AdmissionReason, seconds: float) -> None: ...

    def on_promise_broken(self, ref: str, member: str, cause: str) -> None: ...


def make_request(n: int, address: str = "", name: str = "m") -> IncomingRequest:
    """Returns a request with 50 ms of work on one thread."""
    return IncomingRequest(str(n), name, address, 0, 0.05, 1, 200, 0.4, 1.8, n)


def request_cost(count: int, full: bool) -> float:
    """Returns the median seconds that the controller takes for a request, from arrival to completion.

    Args:
        count: Number of requests that are measured.
        full: Whether 1,500 other requests have arrived before.
    """
    model, durations = AdmissionModel(8.0, AdmissionBounds(2000, 4e6, 4000, False, False)), list[float]()
    rng = random.Random(1)
    if full:
        for n in range(1500):
            model.controller.submit(make_request(-n - 1, name=f"m{n % 50}"), 0.0)
    for n in range(count):
        ref, tenant, now = str(n), f"m{rng.randrange(50)}", n * 1e-3
        request = IncomingRequest(ref, tenant, "", n % 8, 0.05, 1, 200, 30.0, 60.0, n)
        began = time.perf_counter()
        model.controller.submit(request, now)
        if full and model.running:
            ref = next(iter(model.running))
            del model.running[ref]
        model.controller.on_answer(ref, 0.05, 0.05, now)
        durations.append(time.perf_counter() - began)
        if not full:
            model.running.clear()
    return percentile(durations, 50)


def model_burst(report: Report) -> None:
    """Sends five thousand requests at once to the model, each from another network."""
    bounds = AdmissionBounds(2000, 2e6, 4000, False, False)
    model = AdmissionModel(12.0, bounds)
    peak = slowest = 0.0
    for n in range(5000):
        began = time.perf_counter()
        model.controller.submit(make_request(n, f"10.{n // 250}.{n % 250}.9", ""), model.now)
        slowest = max(slowest, time.perf_counter() - began)
        peak = max(peak, float(model.controller.queue.size_bytes))
        if n % 50 == 0:
            model.advance(0.005)
    for _ in range(400):
        model.advance(0.01)
    report.figures |= {
        "burst_done": model.completed_count,
        "burst_turned_away": model.shed_count,
        "burst_peak_bytes": peak,
        "burst_slowest_arrival_ms": 1e3 * slowest,
        "burst_queues": len(model.controller.queue.flows),
    }
    report.claim(
        "bytes that wait at the door in a burst over the bound", peak / bounds.max_waiting_bytes, 1.0
    )
    report.claim("commands of the burst without an end", 5000 - model.completed_count - model.shed_count, 0)


def run(report: Report, seed: int, quick: bool) -> None:
    """Runs all parts of the experiment."""
    seconds = 4.0 if quick else 20.0
    spare_cores = ENGINES * CORES - len(QUIET) * QUIET_RATE * sum(WORK_RANGE_MS) / 2000
    # Ten times the capacity that the quiet tenants leave.
    flood_rate = 10 * spare_cores / (sum(WORK_RANGE_MS) / 2000)
    flood_rate = min(flood_rate, 900.0)  # the most that three routers on one machine accept
    results = {
        "alone": run_load("no flood, door on", ADMISSION_ON, {}, seconds, seed),
        "off": run_load("one flood, door off", "", {FLOODS[0]: flood_rate}, seconds, seed),
        "on": run_load("one flood, door on", ADMISSION_ON, {FLOODS[0]: flood_rate}, seconds, seed),
        "two": run_load(
            "two floods, door on", ADMISSION_ON, {name: flood_rate / 2 for name in FLOODS}, seconds, seed
        ),
    }
    for key, result in results.items():
        quiet, floods = result.quiet(), [request for name in FLOODS for request in result.outcomes[name]]
        report.rows.append(
            {
                "day": result.name,
                "quiet asked": len(quiet),
                "in time": f"{in_time_fraction(quiet):.3f}",
                "quiet p50 ms": round(
                    1e3 * percentile([a.duration_s for a in quiet if a.outcome == "answered"], 50)
                ),
                "quiet p99 ms": round(1e3 * p99_seconds(quiet)),
                "flood asked": len(floods),
                "flood answered": sum(request.outcome == "answered" for request in floods),
                "cores used": f"{result.used:.3f}",
            }
        )
        report.figures |= {
            f"{key}_quiet_in_time": in_time_fraction(quiet),
            f"{key}_quiet_p99_ms": 1e3 * p99_seconds(quiet),
        }
        report.figures[f"{key}_used"] = result.used
    on, alone, off = results["on"], results["alone"], results["off"]
    report.claim(
        "quiet members' service lost to a flood",
        in_time_fraction(alone.quiet()) - in_time_fraction(on.quiet()),
        0.01,
    )
    ratio = p99_seconds(on.quiet()) / max(p99_seconds(alone.quiet()), 1e-3)
    report.claim("quiet members' p99 with a flood over without", ratio, 1.10)
    shares = [answered_work(results["two"].outcomes[name]) for name in FLOODS]
    report.claim("Jain's index over the two floods", jain_index(shares), 0.95, is_minimum=True)
    returned = [entry for result in (on, results["two"]) for entry in result.came_back]
    kept_fraction = sum(let_in for _, _, let_in in returned) / max(len(returned), 1)
    differences = [abs(waited - announced) for announced, waited, _ in returned]
    report.figures |= {
        "came_back": len(returned),
        "told_against_waited_p50_s": percentile(differences, 50),
        "told_against_waited_p95_s": percentile(differences, 95),
        "flood_a_second": flood_rate,
    }
    report.claim("promises kept", kept_fraction, 0.99, is_minimum=True)
    report.claim("engines' use lost with the door", off.used - on.used, 0.02)
    if not quick:
        for peers in (False, True):
            shares = run_group_floods(peers, 12.0, seed)
            report.figures[f"group_share_peers_{'on' if peers else 'off'}"] = shares[1] / max(
                sum(shares), 1e-9
            )
        relative_error = abs(report.figures["group_share_peers_on"] - 0.5) / 0.5
        report.claim("a member's share of the group with peers, off by", relative_error, 0.15)
    report.figures["cost_idle_us"] = 1e6 * request_cost(4000, False)
    report.figures["cost_flood_us"] = 1e6 * request_cost(4000, True)
    report.claim("microseconds for a command when idle", report.figures["cost_idle_us"], 15)
    report.claim("microseconds for a command under flood", report.figures["cost_flood_us"], 40)
    model_burst(report)
    run_client_burst(report, 1500 if quick else 5000, seed)
    durations = {
        result.name: [a.duration_s for a in result.quiet() if a.outcome == "answered"]
        for result in (alone, off, on)
    }
    series = {name: distribution(values) for name, values in durations.items() if values}
    report.charts.append(("quiet members' look-ups", "seconds", "share answered", series))
    announced = sorted((announced, waited) for announced, waited, _ in returned)
    report.charts.append(
        (
            "times told and waited",
            "told, s",
            "waited, s",
            {"clients": ([t for t, _ in announced], [w for _, w in announced])},
        )
    )
