"""Measures what a router's decisions and tables cost by their size.

Measured in this process are the scheduler, the engine list, the leader's allocation ledger, a router's local
budgets, the admission controller and the reading of a configuration. Idle client connections are measured at
a router in a process of its own.

The module generates the traffic for each measurement. It does not change the measured code.
"""

from __future__ import annotations

import json
import random
import statistics
import tempfile
import time
from collections import deque
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import dns.flags
import dns.message
import dns.name
import dns.rdatatype
import dns.renderer
import dns.rrset
import gevent
from gevent import socket

from marbleworks.budgets.allocation_ledger import AllocationLedger
from marbleworks.budgets.budget_catalog import ABANDONED_ATTEMPT_TIMEOUT_S, Budget
from marbleworks.budgets.codec import BudgetAnswer, BudgetReport, decode, encode_answer, encode_report
from marbleworks.budgets.local_budget import LocalBudgets
from marbleworks.fair_queue.admission import (
    AdmissionBounds,
    AdmissionController,
    AdmissionReason,
    IncomingRequest,
)
from marbleworks.fair_queue.flow_classifier import FlowClassifier
from marbleworks.lab.meter import PACE, medians, processor_seconds, state_bytes, yardsticks_of
from marbleworks.lab.stage import RouterProcess, free_port, lab_settings, reserve_port
from marbleworks.lab.standins import HOST, RpcClient, router_configuration
from marbleworks.model import EngineEntry, EngineStatus
from marbleworks.net.actor import clock
from marbleworks.net.discovery import EngineDiscovery, OpenQuery
from marbleworks.net.engine_protocol import DNS_SERVICE_NAME
from marbleworks.scheduling.request_state import RequestState
from marbleworks.scheduling.scheduler import Scheduler
from marbleworks.settings import Settings

STATEMENTS_PER_S = 609.0  # requests per second at one router, by the operators' figures
ZONE_COUNT, CORES_BY_KIND = 17, (8, 16, 32)  # number of zones, and cores of each kind of machine
# Sizes that stay the same while another one grows: routers, tenants, table groups, engines.
ROUTER_COUNT, TENANT_COUNT, TABLE_GROUP_COUNT, ENGINE_COUNT = 48, 20, 20, 100
MAX_IN_FLIGHT = 30  # in-flight requests; they last 50 ms at that rate
# Requests that are timed together: two heartbeats, so that work done once per heartbeat has its share.
BATCH_SIZE = 62
GROUP_NUMBER = 7  # group number in the messages


def deployment(tenants: int = TENANT_COUNT, routers: int = ROUTER_COUNT) -> dict[str, Any]:
    """Returns the settings of a deployment of many zones and kinds, whose loads hold their table groups."""
    settings_dict = lab_settings(
        8, tenants=[f"tenant-{n}" for n in range(tenants)], routers=routers, router_index=1
    )
    settings_dict |= {"zones": [f"zone-{n}" for n in range(ZONE_COUNT)], "az": "zone-0"}
    settings_dict["kinds"] = [f"kind-{n}" for n in range(len(CORES_BY_KIND))]
    settings_dict["specifics"] |= {
        "cores_by_kind": list(CORES_BY_KIND),
        "memory_by_kind_mb": [65536.0] * len(CORES_BY_KIND),
        "class_load": [False, False, True],
        "class_waits": [True, False, False],
    }
    return settings_dict


def entries(count: int) -> list[EngineEntry]:
    """Returns engines that were started long ago, distributed in turn over zones and kinds."""
    return [
        EngineEntry(n, f"engine-{n:05d}", n % ZONE_COUNT, n % len(CORES_BY_KIND), n % 5, EngineStatus.UP, 0.0)
        for n in range(count)
    ]


class IdlePlatform:
    """A platform for the scheduler that only tells the time and counts.

    Attributes:
        clock: The time.
        next_wakeup: The time of the next wake-up.
        sent: Number of attempts that were started.
        ended: Number of requests that were shed or failed.
        sent_to: Engine of the last attempt.
    """

    def __init__(self) -> None:
        self.clock, self.next_wakeup, self.sent, self.ended, self.sent_to = 1000.0, float("inf"), 0, 0, -1

    def now(self) -> float:
        """Returns the time."""
        return self.clock

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        """Counts an attempt."""
        self.sent, self.sent_to = self.sent + 1, engine_id

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        """Does nothing."""
        ...

    def set_attempt_terms(self, ref: str, priority: int, memory_mb: float) -> None:
        """Does nothing."""
        ...

    def shed(self, ref: str, retry_after_s: float) -> None:
        """Counts a request that was shed."""
        self.ended += 1

    def fail(self, ref: str) -> None:
        """Counts a request that failed."""
        self.ended += 1

    def probe_load(self, engine_id: int) -> None:
        """Does nothing."""
        ...

    def broadcast(self, data: bytes) -> None:
        """Does nothing."""
        ...

    def schedule_wakeup(self, at: float) -> None:
        """Keeps the earliest wake-up."""
        self.next_wakeup = min(self.next_wakeup, at)

    def log(self, text: str) -> None:
        """Does nothing."""
        ...


class SchedulerLoad:
    """A scheduler under a steady traffic of short reads, each answered 50 ms after it was sent.

    Attributes:
        port: The scheduler's platform.
        scheduler: The scheduler.
        entries: The engines.
        groups: Table groups of the traffic.
        tenants: Tenants of the traffic.
        in_flight_requests: In-flight requests.
        request_count: Number of requests so far.
    """

    def __init__(self, engines: int, groups: int = TABLE_GROUP_COUNT, tenants: int = TENANT_COUNT) -> None:
        parsed_settings, self.port = Settings(deployment(tenants)), IdlePlatform()
        self.scheduler = Scheduler(
            self.port, 1, parsed_settings.request_classes, parsed_settings.rules, parsed_settings.fleet
        )
        self.entries, self.groups, self.tenants = entries(engines), groups, tenants
        self.scheduler.update_engines(self.entries, complete=True)
        self.in_flight_requests = deque[RequestState]()
        self.request_count = 0

    def submit_request(self, group: int) -> None:
        """Submits the next request, for a table group, and answers an earlier one."""
        port, n = self.port, self.request_count
        port.clock += 1.0 / STATEMENTS_PER_S
        if port.clock >= port.next_wakeup:
            port.next_wakeup = float("inf")
            self.scheduler.on_timer()
        demand = (0.03 + 0.04 * (n % 2), 20.0)
        self.in_flight_requests.append(
            self.scheduler.submit(f"{n:016x}", 0, group, "", demand, n % self.tenants, port.clock, 2.0)
        )
        self.request_count += 1
        if len(self.in_flight_requests) > MAX_IN_FLIGHT:
            request = self.in_flight_requests.popleft()
            request.on_answer(0, request.estimate, None)

    def time_known_group(self) -> float:
        """Returns the yardsticks for a request of a table group that was seen before."""
        return self._time_batch(lambda n: n % self.groups)

    def time_new_group(self) -> float:
        """Returns the yardsticks for a request of a table group that was not seen before."""
        self.scheduler.components.placement.home_sets.clear()
        return self._time_batch(lambda n: self.groups + n)

    def _time_batch(self, group: Callable[[int], int]) -> float:
        first_request, sent = self.request_count, self.port.sent

        PACE.yardstick()
        duration = 0.0
        for n in range(BATCH_SIZE):
            number = group(n if group(0) >= self.groups else first_request + n)
            duration += PACE.to_yardsticks(
                processor_seconds(lambda number=number: self.submit_request(number))  # type: ignore[misc]
            )
        if self.port.sent != sent + BATCH_SIZE or self.port.ended:
            raise RuntimeError("a request was not sent to an engine, so its usual path was not measured")
        return duration / BATCH_SIZE

    def time_engine_list(self) -> float:
        """Returns the yardsticks for taking over the whole engine list again."""
        return yardsticks_of(lambda: self.scheduler.update_engines(self.entries, complete=True))

    def warm(self) -> None:
        """Submits requests until each table group was seen once."""
        for n in range(max(self.groups, 2 * MAX_IN_FLIGHT)):
            self.submit_request(n % self.groups)


def measure_decisions(engines: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    """Measures the scheduler by the number of engines."""
    loads = [SchedulerLoad(count) for count in engines]
    list_times = medians([load.time_engine_list for load in loads], 3 * passes)
    for load in loads:
        load.warm()
    return {
        "decide_known": medians([load.time_known_group for load in loads], passes),
        "decide_new": medians([load.time_new_group for load in loads], passes),
        "listed_cpu": list_times,
        "engine_state": [float(scheduler_state(count)) for count in engines],
    }


def scheduler_state(engines: int, groups: int = 0) -> int:
    """Returns the bytes of a scheduler with so many engines, and the homes of so many table groups."""
    load = SchedulerLoad(engines, groups)
    for n in range(groups):
        load.submit_request(n)
    return state_bytes(
        load.scheduler,
        (load.port, load.scheduler.request_classes, load.scheduler.rules, load.scheduler.fleet),
    )


def measure_table_groups(groups: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    """Measures the scheduler by the number of table groups."""
    loads = [SchedulerLoad(ENGINE_COUNT, groups=count) for count in groups]
    for load in loads:
        load.warm()
    return {"decide_groups": medians([load.time_known_group for load in loads], 2 * passes)}


def measure_tenants(counts: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    """Measures the scheduler, and the reading of a configuration, by the number of tenants."""
    loads = [SchedulerLoad(ENGINE_COUNT, tenants=count) for count in counts]
    for load in loads:
        load.warm()
    texts = [json.dumps(deployment(count)) for count in counts]
    samples: list[Callable[[], float]] = [
        lambda t=text: yardsticks_of(lambda: Settings(json.loads(t)))  # type: ignore[misc]
        for text in texts
    ]
    return {
        "decide_tenants": medians([load.time_known_group for load in loads], 2 * passes),
        "config_cpu": medians(samples, 2 * passes),
    }


def measure_reviews(counts: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    """Measures a review by the number of requests that wait.

    The requests find no room: all engines report that they are full, and each runs one request of this
    router, which is its share.
    """
    loads = [SchedulerLoad(ENGINE_COUNT) for _ in counts]
    for load, count in zip(loads, counts, strict=True):
        scheduler, port, n = load.scheduler, load.port, 0
        for engine in scheduler.engines.values():
            scheduler.receive_load_update(1, engine.wire_id + bytes([128 + 64]))
        while len(scheduler.pending) < count:
            scheduler.submit(f"{n:016x}", 1, n, "", (0.5, 20.0), n % TENANT_COUNT, port.clock, 30.0)
            n += 1
            if n > count + 100 * ENGINE_COUNT or port.ended:
                raise RuntimeError("requests do not wait in the scheduler, so their review can't be measured")
    return {"decide_held": medians([lambda d=d: _time_review(d) for d in loads], 4 * passes)}  # type: ignore[misc]


def _time_review(load: SchedulerLoad) -> float:
    waiting_before = len(load.scheduler.pending)
    load.port.clock += 0.02  # so that it is due
    load.scheduler.components.timers.reviewed_at = -1.0
    duration = yardsticks_of(load.scheduler.review)
    if len(load.scheduler.pending) != waiting_before:
        raise RuntimeError("a request left the scheduler during the review, which changed the measured size")
    return duration


# The engine list.


def encode_list_answer(question: bytes, serial: int, count: int) -> bytes:
    """Encodes a name server's answer of any length; the protocol limits it to 8,000 bytes.

    Args:
        question: The DNS query.
        serial: Serial number of the list.
        count: Engines in the list.
    """
    query = dns.message.from_wire(question)
    flags = int(dns.flags.QR) | int(dns.flags.AA)
    renderer_class: Any = dns.renderer.Renderer  # dnspython's own has no types
    renderer = renderer_class(query.id, flags, max_size=1 << 30)
    name = query.question[0].name
    renderer.add_question(name, dns.rdatatype.SRV)
    additional_records = list[Any]()
    for n in range(count):
        target = f"engine-{n:05d}.zone-{n % ZONE_COUNT}.hosts."
        address = f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}"
        renderer.add_rrset(
            dns.renderer.ANSWER, dns.rrset.from_text(name, 1, "IN", "SRV", f"0 40 9000 {target}")
        )
        additional_records.append(dns.rrset.from_text(target, 1, "IN", "A", address))
        properties = f'"kind=kind-{n % len(CORES_BY_KIND)}" "cell={n % 5}" "started=5000"'
        additional_records.append(dns.rrset.from_text(target, 1, "IN", "TXT", properties))
    renderer.add_rrset(
        dns.renderer.AUTHORITY, dns.rrset.from_text(name, 1, "IN", "SOA", f"a. b. {serial} 1 1 1 1")
    )
    for record in additional_records:
        renderer.add_rrset(dns.renderer.ADDITIONAL, record)
    renderer.write_header()
    wire: bytes = renderer.get_wire()
    return wire


class EngineCounter:
    """A dispatcher that only counts the engines of the last list."""

    def __init__(self) -> None:
        self.count = 0

    def post(self, action: Any, listing: list[Any], whole: bool) -> None:
        """Counts the engines."""
        self.count = len(listing)

    def update_engines(self) -> None:
        """Does nothing."""
        ...


def measure_lists(engines: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    """Measures an answer of the list, and its reading, by the number of engines."""
    question = dns.message.make_query(DNS_SERVICE_NAME, dns.rdatatype.SRV)
    encoded_answers = [encode_list_answer(question.to_wire(), 7, count) for count in engines]
    counter: Any = EngineCounter()
    list_state = {"rev": 0, "notices": []}
    nameserver = HOST, free_port(socket.SOCK_DGRAM)  # nothing listens there
    directory = EngineDiscovery(counter, Settings(deployment()), list_state, nameserver)

    def read(i: int) -> float:
        directory.revision, directory.open_queries[question.id] = 0, OpenQuery(clock(), question)
        duration = yardsticks_of(lambda: directory.on_response(encoded_answers[i]))
        if counter.count != engines[i] or directory.revision != 7:
            raise RuntimeError("the answer was not read, so its reading was not measured")
        return duration

    samples: list[Callable[[], float]] = [lambda i=i: read(i) for i in range(len(encoded_answers))]  # type: ignore[misc]
    durations = medians(samples, passes)
    # It sends no more queries. Its listener stays on a socket that receives nothing.
    directory.post(directory.finish)
    return {"list_bytes": [float(len(wire)) for wire in encoded_answers], "list_cpu": durations}


# Budgets.


def make_budgets(count: int, routers: int) -> list[Budget]:
    """Returns budgets of 50 units for each router."""
    return [Budget(f"budget {n}", 50 * routers, 0.0, 0.5 + ABANDONED_ATTEMPT_TIMEOUT_S) for n in range(count)]


class LedgerLoad:
    """The leader's allocation ledger, and the local budgets of all routers, which report five times a second.

    Attributes:
        ledger: The ledger.
        local_budgets: Local budgets by router.
        datagrams: Reports and answers so far.
        bytes: Bytes of these.
        yardsticks: Processor time of the ledger in yardsticks.
        report_count: Reports so far.
    """

    REPORT_INTERVAL_S = 0.2  # seconds between two reports of a router

    def __init__(self, routers: int, budgets: int, seed: int) -> None:
        self.chance, self.now, budget_list = random.Random(seed), 100.0, make_budgets(budgets, routers)
        self.ledger = AllocationLedger(0, routers, 1, 1, 0.25, 2.0, self.now)
        self.ledger.set_budgets(budget_list)
        self.local_budgets = [LocalBudgets(n, routers, 0.25, 2.0, 0.0) for n in range(routers)]
        for local in self.local_budgets:
            local.set_budgets(budget_list, self.now)
        self.datagrams, self.bytes, self.yardsticks, self.report_count = 0, 0, 0.0, 0

    def simulate_requests(self, local: LocalBudgets) -> None:
        """Simulates requests: a random number of units of each budget is in use."""
        for budget in local.budgets.values():
            budget.arrivals += self.chance.randrange(4)
            while budget.in_flight > self.chance.randrange(20):
                local.release(budget, self.now, False)
            if budget.has_room(self.now):
                local.acquire(budget, self.now)

    def run_round(self) -> None:
        """Lets each router report once, spread over the report interval."""
        count = len(self.local_budgets)
        for number, local in enumerate(self.local_budgets):
            self.now += self.REPORT_INTERVAL_S / count
            self.simulate_requests(local)
            for report in local.make_reports(0, 1, 1, self.now):
                self._deliver_report(number, encode_report(GROUP_NUMBER, report))

    def _deliver_report(self, number: int, data: bytes) -> None:
        answers = list[bytes]()

        def divide() -> None:
            report = decode(GROUP_NUMBER, data)
            answer = (
                self.ledger.handle_report(number, report, self.now)
                if isinstance(report, BudgetReport)
                else None
            )
            if answer is not None:
                answers.append(encode_answer(GROUP_NUMBER, answer))

        self.yardsticks += PACE.to_yardsticks(processor_seconds(divide))
        self.report_count += 1
        self.datagrams += 1 + len(answers)
        self.bytes += len(data) + sum(map(len, answers))
        for answer in [decode(GROUP_NUMBER, wire) for wire in answers]:
            if isinstance(answer, BudgetAnswer):
                self.local_budgets[number].handle_answer(0, answer, self.now)

    def settle(self) -> None:
        """Runs rounds until all routers follow the leader's term and have a leased quota."""
        for _ in range(5):
            self.run_round()

    def report_cost(self) -> float:
        """Returns the ledger's yardsticks for a report, over one round."""
        PACE.yardstick()
        yardsticks, report_count = self.yardsticks, self.report_count
        self.run_round()
        return (self.yardsticks - yardsticks) / (self.report_count - report_count)


SINGLE_DATAGRAM_BUDGETS = 6  # budgets whose report fits into one datagram


def measure_ledgers(routers: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    """Measures the ledger by the number of routers."""
    ledger_loads, datagrams = (
        [LedgerLoad(count, SINGLE_DATAGRAM_BUDGETS, seed) for count in routers],
        list[float](),
    )
    for ledger_load in ledger_loads:
        ledger_load.settle()
        before = ledger_load.datagrams
        for _ in range(2):
            ledger_load.run_round()
        datagrams.append((ledger_load.datagrams - before) / (2 * ledger_load.REPORT_INTERVAL_S))
    return {
        "ledger_cpu": medians([ledger_load.report_cost for ledger_load in ledger_loads], passes),
        "ledger_datagrams": datagrams,
    }


def measure_ledger_states(
    shapes: Sequence[tuple[int, int]], passes: int, seed: int
) -> dict[str, list[float]]:
    """Measures the state of the ledger by pairs of budgets and routers."""
    state_values = []
    for budgets, routers in shapes:
        ledger_load = LedgerLoad(routers, budgets, seed)
        ledger_load.settle()
        state_values.append(float(state_bytes(ledger_load.ledger, (ledger_load.ledger.budgets,))))
    return {"ledger_state": state_values}


def measure_local_budgets(budgets: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    """Measures a router's local budgets by the number of budgets.

    State is measured after so many rounds that the router remembers as many reports as it ever does. The
    bytes of its reports are the mean of the last ten rounds.
    """
    report_bytes, state_values = list[float](), list[float]()
    for count in budgets:
        ledger_load = LedgerLoad(1, count, seed)
        local, sent = ledger_load.local_budgets[0], list[int]()
        # Fill the memory of recent releases, as it soon is at a busy router.
        for budget in local.budgets.values():
            for _ in range(budget.recent_releases.maxlen or 0):
                ledger_load.now += 1e-6
                local.acquire(budget, ledger_load.now)
                local.release(budget, ledger_load.now, False)
        for _ in range(70):
            ledger_load.now += ledger_load.REPORT_INTERVAL_S
            ledger_load.simulate_requests(local)
            reports = local.make_reports(0, 1, 1, ledger_load.now)
            sent.append(sum(len(encode_report(GROUP_NUMBER, report)) for report in reports))
            for report in reports:
                answer = ledger_load.ledger.handle_report(0, report, ledger_load.now)
                if answer is not None:
                    local.handle_answer(0, answer, ledger_load.now)
        report_bytes.append(statistics.mean(sent[-10:]))
        state_values.append(float(state_bytes(local)))
    return {"report_bytes": report_bytes, "purse_state": state_values}


# Admission.


class AdmissionRecorder:
    """Records which requests were admitted, and counts those turned away."""

    def __init__(self) -> None:
        self.admitted, self.turned_away_count = list[str](), 0

    def admit(self, ref: str) -> None:
        """Records an admitted request."""
        self.admitted.append(ref)

    def shed(self, ref: str, after: float) -> None:
        """Counts a request that was turned away."""
        self.turned_away_count += 1

    def send_to_peers(self, data: bytes) -> None:
        """Does nothing."""
        ...

    def trace_decision(self, ref: str, member: str, why: AdmissionReason, seconds: float) -> None:
        """Does nothing."""
        ...

    def on_promise_broken(self, ref: str, member: str, cause: str) -> None:
        """Does nothing."""
        ...


def measure_admission(members: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    """Measures the state of the admission controller by the number of members.

    Each member has a weight of its own and sends two requests, of which the second one waits. The memory of
    waiting requests is limited by the operator's file and not measured here, so one request of each member
    waits.
    """
    state_values = []
    for count in members:
        names = [f"member-{n}" for n in range(count)]
        recorder = AdmissionRecorder()
        bounds = AdmissionBounds(2 * count, 1e9, 10_000, True, False)
        controller = AdmissionController(
            recorder, FlowClassifier(512, seed, dict.fromkeys(names, 2.0), {}), bounds, 4.0, 5.0
        )
        for n, name in enumerate([*names, *names]):
            controller.submit(IncomingRequest(f"{n:016x}", name, HOST, name, 0.05, 1, 200, 1e6, 1e6, n), 10.0)
        if recorder.turned_away_count or len(controller.flow_by_tenant) < count - 8:
            raise RuntimeError(
                "members were turned away, so the admission controller knows fewer than the measured size"
            )
        state_values.append(float(state_bytes(controller, (recorder, bounds))))
    return {"door_state": state_values}


# Clients.

SAMPLE_S = 1.05  # seconds over which a router's processor time is measured; four ticks of its timer
# Connections before the first measured one; they use memory that was free already.
UNMEASURED_CONNECTIONS = 100


def _process_cpu_seconds(pid: int) -> float:
    """Returns the processor seconds of all threads of a process, to the nanosecond."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def _sample_cpu(pid: int) -> float:
    """Returns the processor seconds per second of a process, over SAMPLE_S."""
    cpu_before, started_at = _process_cpu_seconds(pid), time.monotonic()
    gevent.sleep(SAMPLE_S)
    return (_process_cpu_seconds(pid) - cpu_before) / (time.monotonic() - started_at)


def _connect(router: RouterProcess, connections: list[RpcClient], count: int) -> None:
    """Opens connections until there are so many; raises RuntimeError if the router is not healthy."""
    while len(connections) < count:
        connection = RpcClient(router.address)
        connections.append(connection)
        connection.send(0, 1, "health", [{}])
        if connection.receive(5.0)[3][0] is not True:
            raise RuntimeError("the router is not healthy")
    gevent.sleep(0.3)


def measure_clients(counts: Sequence[int], samples_per_count: int) -> dict[str, list[float]]:
    """Measures a router process by its number of idle connections.

    Each connection has asked for the router's health once and waits. State is the resident memory in excess
    of that with the first UNMEASURED_CONNECTIONS. Processor time is the minimum of several samples: a router
    that wakes four times a second for its own timers finds cold caches when the machine is busy.
    """
    state_values, cpu_values, connections = list[float](), list[float](), list[RpcClient]()
    listen = reserve_port()
    port = listen.getsockname()[1]
    with tempfile.TemporaryDirectory(prefix="marbleworks-lab-") as folder:
        sockets = 3 * (UNMEASURED_CONNECTIONS + counts[-1] + 64)  # a third of the sockets is for clients
        config = router_configuration(
            port, free_port(), (HOST, free_port()), {"e-1": (HOST, free_port())}, lab_settings(8), sockets
        )
        router = RouterProcess(Path(folder) / "router", config, port)
        try:
            router.start()
            process = router.process
            assert process is not None
            _connect(router, connections, UNMEASURED_CONNECTIONS)
            before = router.resident_mib()
            for count in counts:
                _connect(router, connections, UNMEASURED_CONNECTIONS + count)
                state_values.append((router.resident_mib() - before) * 2**20)
                cpu_values.append(min(_sample_cpu(process.pid) for _ in range(samples_per_count)))
        finally:
            for connection in connections:
                connection.sock.close()
            router.stop()
            listen.close()
    return {"client_state": state_values, "client_cpu": cpu_values}
