"""What decisions and tables cost by their size, measured in this process: the scheduler, the list, the books
of whoever divides, a router's parts, the door, a configuration. And idle clients, at a router as a process.

It owns the traffic that each is measured under, and must never change what it measures.
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
from marbleworks.fair_queue.admission import AdmissionController, AdmissionReason, Arrival, Bounds
from marbleworks.fair_queue.flow_classifier import FlowClassifier
from marbleworks.lab.meter import PACE, medians, processor, state, yards
from marbleworks.lab.stage import RouterProcess, free_port, held_port, settings
from marbleworks.lab.standins import HOST, RpcClient, configuration
from marbleworks.model import EngineEntry, EngineStatus
from marbleworks.net.actor import clock
from marbleworks.net.discovery import EngineDiscovery, OpenQuery
from marbleworks.net.engine_protocol import DNS_SERVICE_NAME
from marbleworks.scheduling.request_state import RequestState
from marbleworks.scheduling.scheduler import Scheduler
from marbleworks.settings import Settings

STATEMENTS = 609.0  # a second at one router, by the operators' figures
ZONES, KINDS = 17, (8, 16, 32)  # zones, and cores by kind of machine
ROUTERS, TENANTS, GROUPS, ENGINES = 48, 20, 20, 100  # of what does not grow
OUT = 30  # commands out at a time: 50 ms at that rate
BATCH = 62  # commands that are timed together: two beats, so that what is done once in each has its part
GROUP = 7


def deployment(tenants: int = TENANTS, routers: int = ROUTERS) -> dict[str, Any]:
    """Settings of a deployment of many zones and kinds, whose loads hold their table groups."""
    raw = settings(8, tenants=[f"tenant-{n}" for n in range(tenants)], routers=routers, me=1)
    raw |= {"zones": [f"zone-{n}" for n in range(ZONES)], "az": "zone-0"}
    raw["kinds"] = [f"kind-{n}" for n in range(len(KINDS))]
    raw["specifics"] |= {
        "cores_by_kind": list(KINDS),
        "memory_by_kind_mb": [65536.0] * len(KINDS),
        "class_load": [False, False, True],
        "class_waits": [True, False, False],
    }
    return raw


def entries(count: int) -> list[EngineEntry]:
    """Engines that have long been there, in turn over zones and kinds."""
    return [
        EngineEntry(n, f"engine-{n:05d}", n % ZONES, n % len(KINDS), n % 5, EngineStatus.UP, 0.0)
        for n in range(count)
    ]


class Still:
    """A platform on which nothing happens but that time is told. sent, ended: counts; sent_to: the last
    engine."""

    def __init__(self) -> None:
        self.clock, self.wakes, self.sent, self.ended, self.sent_to = 1000.0, float("inf"), 0, 0, -1

    def now(self) -> float:
        return self.clock

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        self.sent, self.sent_to = self.sent + 1, engine_id

    def cancel_attempt(self, ref: str, attempt_no: int) -> None: ...

    def set_attempt_terms(self, ref: str, priority: int, memory_mb: float) -> None: ...

    def shed(self, ref: str, retry_after_s: float) -> None:
        self.ended += 1

    def fail(self, ref: str) -> None:
        self.ended += 1

    def probe_load(self, engine_id: int) -> None: ...

    def broadcast(self, data: bytes) -> None: ...

    def schedule_wakeup(self, at: float) -> None:
        self.wakes = min(self.wakes, at)

    def log(self, text: str) -> None: ...


class Desk:
    """One router's decisions under a steady traffic of short reads, each answered 50 ms after it was sent."""

    def __init__(self, engines: int, groups: int = GROUPS, tenants: int = TENANTS) -> None:
        told, self.port = Settings(deployment(tenants)), Still()
        self.gateway = Scheduler(self.port, 1, told.request_classes, told.rules, told.fleet)
        self.entries, self.groups, self.tenants = entries(engines), groups, tenants
        self.gateway.update_engines(self.entries, complete=True)
        self.out = deque[RequestState]()
        self.taken = 0

    def command(self, group: int) -> None:
        """The next one is taken and sent, one sent before is answered."""
        port, n = self.port, self.taken
        port.clock += 1.0 / STATEMENTS
        if port.clock >= port.wakes:
            port.wakes = float("inf")
            self.gateway.on_timer()
        need = (0.03 + 0.04 * (n % 2), 20.0)
        self.out.append(
            self.gateway.submit(f"{n:016x}", 0, group, "", need, n % self.tenants, port.clock, 2.0)
        )
        self.taken += 1
        if len(self.out) > OUT:
            cmd = self.out.popleft()
            cmd.on_answer(0, cmd.estimate, None)

    def known(self) -> float:
        """Yardsticks for a command of a table group seen before."""
        return self._batch(lambda n: n % self.groups)

    def new(self) -> float:
        """The same of one not seen before."""
        self.gateway.parts.placement.home_sets.clear()
        return self._batch(lambda n: self.groups + n)

    def _batch(self, group: Callable[[int], int]) -> float:
        first, sent = self.taken, self.port.sent

        PACE.yardstick()
        took = 0.0
        for n in range(BATCH):
            number = group(n if group(0) >= self.groups else first + n)
            took += PACE.held(processor(lambda number=number: self.command(number)))  # type: ignore[misc]
        if self.port.sent != sent + BATCH or self.port.ended:
            raise RuntimeError("a command was not sent: what was measured is not its ordinary path")
        return took / BATCH

    def listed(self) -> float:
        """Yardsticks for the whole list again."""
        return yards(lambda: self.gateway.update_engines(self.entries, complete=True))

    def warm(self) -> None:
        """All groups have come once."""
        for n in range(max(self.groups, 2 * OUT)):
            self.command(n % self.groups)


def decisions(engines: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    desks = [Desk(count) for count in engines]
    lists = medians([desk.listed for desk in desks], 3 * passes)
    for desk in desks:
        desk.warm()
    return {
        "decide_known": medians([desk.known for desk in desks], passes),
        "decide_new": medians([desk.new for desk in desks], passes),
        "listed_cpu": lists,
        "engine_state": [float(bare_state(count)) for count in engines],
    }


def bare_state(engines: int, groups: int = 0) -> int:
    """Bytes of a router's decisions with so many engines listed, and the homes of so many table groups."""
    desk = Desk(engines, groups)
    for n in range(groups):
        desk.command(n)
    return state(
        desk.gateway, (desk.port, desk.gateway.request_classes, desk.gateway.rules, desk.gateway.fleet)
    )


def table_groups(groups: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    desks = [Desk(ENGINES, groups=count) for count in groups]
    for desk in desks:
        desk.warm()
    return {"decide_groups": medians([desk.known for desk in desks], 2 * passes)}


def tenants(counts: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    desks = [Desk(ENGINES, tenants=count) for count in counts]
    for desk in desks:
        desk.warm()
    texts = [json.dumps(deployment(count)) for count in counts]
    samples: list[Callable[[], float]] = [
        lambda t=text: yards(lambda: Settings(json.loads(t)))  # type: ignore[misc]
        for text in texts
    ]
    return {
        "decide_tenants": medians([desk.known for desk in desks], 2 * passes),
        "config_cpu": medians(samples, 2 * passes),
    }


def held(counts: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    """A review of so many commands that find no room: all engines say that they are full, and each has one of
    ours, which is our part of it."""
    desks = [Desk(ENGINES) for _ in counts]
    for desk, count in zip(desks, counts, strict=True):
        gateway, port, n = desk.gateway, desk.port, 0
        for engine in gateway.engines.values():
            gateway.receive_load_update(1, engine.wire_id + bytes([128 + 64]))
        while len(gateway.pending) < count:
            gateway.submit(f"{n:016x}", 1, n, "", (0.5, 20.0), n % TENANTS, port.clock, 30.0)
            n += 1
            if n > count + 100 * ENGINES or port.ended:
                raise RuntimeError("commands are not held: what would be measured is no review of them")
    return {"decide_held": medians([lambda d=d: _review(d) for d in desks], 4 * passes)}  # type: ignore[misc]


def _review(desk: Desk) -> float:
    there = len(desk.gateway.pending)
    desk.port.clock += 0.02  # so that it is due
    desk.gateway.parts.timers.reviewed_at = -1.0
    took = yards(desk.gateway.review)
    if len(desk.gateway.pending) != there:
        raise RuntimeError("a command that was held has gone: the size is not what it was")
    return took


# The list.


def list_answer(question: bytes, serial: int, count: int) -> bytes:
    """As the directory answers, but as long as it must be, where the protocol allows 8,000 bytes."""
    asked = dns.message.from_wire(question)
    flags = int(dns.flags.QR) | int(dns.flags.AA)
    renderer: Any = dns.renderer.Renderer  # dnspython's own has no types
    out = renderer(asked.id, flags, max_size=1 << 30)
    name = asked.question[0].name
    out.add_question(name, dns.rdatatype.SRV)
    more = list[Any]()
    for n in range(count):
        target = f"engine-{n:05d}.zone-{n % ZONES}.hosts."
        address = f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}"
        out.add_rrset(dns.renderer.ANSWER, dns.rrset.from_text(name, 1, "IN", "SRV", f"0 40 9000 {target}"))
        more.append(dns.rrset.from_text(target, 1, "IN", "A", address))
        facts = f'"kind=kind-{n % len(KINDS)}" "cell={n % 5}" "started=5000"'
        more.append(dns.rrset.from_text(target, 1, "IN", "TXT", facts))
    out.add_rrset(
        dns.renderer.AUTHORITY, dns.rrset.from_text(name, 1, "IN", "SOA", f"a. b. {serial} 1 1 1 1")
    )
    for rows in more:
        out.add_rrset(dns.renderer.ADDITIONAL, rows)
    out.write_header()
    wire: bytes = out.get_wire()
    return wire


class Heard:
    """A desk that only counts the engines of the last list."""

    def __init__(self) -> None:
        self.count = 0

    def post(self, what: Any, listing: list[Any], whole: bool) -> None:
        self.count = len(listing)

    def update_engines(self) -> None: ...


def lists(engines: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    question = dns.message.make_query(DNS_SERVICE_NAME, dns.rdatatype.SRV)
    wires = [list_answer(question.to_wire(), 7, count) for count in engines]
    told: Any = Heard()
    known = {"rev": 0, "notices": []}
    nameserver = HOST, free_port(socket.SOCK_DGRAM)  # where nobody answers
    directory = EngineDiscovery(told, Settings(deployment()), known, nameserver)

    def read(i: int) -> float:
        directory.revision, directory.open_queries[question.id] = 0, OpenQuery(clock(), question)
        took = yards(lambda: directory.on_response(wires[i]))
        if told.count != engines[i] or directory.revision != 7:
            raise RuntimeError("the answer was not read: what was measured is not its reading")
        return took

    samples: list[Callable[[], float]] = [lambda i=i: read(i) for i in range(len(wires))]  # type: ignore[misc]
    took = medians(samples, passes)
    directory.post(directory.finish)  # it asks no more; what listens does so on a socket where nothing comes
    return {"list_bytes": [float(len(wire)) for wire in wires], "list_cpu": took}


# Budgets.


def wholes(count: int, routers: int) -> list[Budget]:
    return [Budget(f"budget {n}", 50 * routers, 0.0, 0.5 + ABANDONED_ATTEMPT_TIMEOUT_S) for n in range(count)]


class Books:
    """The books of whoever divides, and the parts of all routers, which report five times a second."""

    EVERY = 0.2

    def __init__(self, routers: int, budgets: int, seed: int) -> None:
        self.chance, self.now, plan = random.Random(seed), 100.0, wholes(budgets, routers)
        self.ledger = AllocationLedger(0, routers, 1, 1, 0.25, 2.0, self.now)
        self.ledger.set_budgets(plan)
        self.purses = [LocalBudgets(n, routers, 0.25, 2.0, 0.0) for n in range(routers)]
        for purse in self.purses:
            purse.set_budgets(plan, self.now)
        self.datagrams, self.bytes, self.spent, self.told = 0, 0, 0.0, 0

    def use(self, purse: LocalBudgets) -> None:
        """Commands come and go: some units of each budget are in use."""
        for pocket in purse.budgets.values():
            pocket.arrivals += self.chance.randrange(4)
            while pocket.in_flight > self.chance.randrange(20):
                purse.release(pocket, self.now, False)
            if pocket.has_room(self.now):
                purse.acquire(pocket, self.now)

    def round(self) -> None:
        """Each router reports once, spread over the time between two reports."""
        count = len(self.purses)
        for number, purse in enumerate(self.purses):
            self.now += self.EVERY / count
            self.use(purse)
            for report in purse.make_reports(0, 1, 1, self.now):
                self._told(number, encode_report(GROUP, report))

    def _told(self, number: int, data: bytes) -> None:
        said = list[bytes]()

        def divide() -> None:
            report = decode(GROUP, data)
            answer = (
                self.ledger.handle_report(number, report, self.now)
                if isinstance(report, BudgetReport)
                else None
            )
            if answer is not None:
                said.append(encode_answer(GROUP, answer))

        self.spent += PACE.held(processor(divide))
        self.told += 1
        self.datagrams += 1 + len(said)
        self.bytes += len(data) + sum(map(len, said))
        for answer in [decode(GROUP, wire) for wire in said]:
            if isinstance(answer, BudgetAnswer):
                self.purses[number].handle_answer(0, answer, self.now)

    def settle(self) -> None:
        """Until all know the right that they are told of, and have a part."""
        for _ in range(5):
            self.round()

    def cost(self) -> float:
        """Yardsticks of the divider a report, over one round."""
        PACE.yardstick()
        spent, told = self.spent, self.told
        self.round()
        return (self.spent - spent) / (self.told - told)


FEW = 6  # budgets whose report is one datagram


def ledgers(routers: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    books, datagrams = [Books(count, FEW, seed) for count in routers], list[float]()
    for book in books:
        book.settle()
        before = book.datagrams
        for _ in range(2):
            book.round()
        datagrams.append((book.datagrams - before) / (2 * book.EVERY))
    return {"ledger_cpu": medians([book.cost for book in books], passes), "ledger_datagrams": datagrams}


def ledger_states(shapes: Sequence[tuple[int, int]], passes: int, seed: int) -> dict[str, list[float]]:
    """shapes: budgets and routers."""
    out = []
    for budgets, routers in shapes:
        book = Books(routers, budgets, seed)
        book.settle()
        out.append(float(state(book.ledger, (book.ledger.budgets,))))
    return {"ledger_state": out}


def purses(budgets: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    """One router's parts, after so many rounds that it remembers as many reports as it ever does; and the
    bytes of its reports in a round, mean of some."""
    in_bytes, in_state = list[float](), list[float]()
    for count in budgets:
        book = Books(1, count, seed)
        purse, sent = book.purses[0], list[int]()
        for pocket in purse.budgets.values():  # as many ends as it remembers, which a busy one soon has had
            for _ in range(pocket.recent_releases.maxlen or 0):
                book.now += 1e-6
                purse.acquire(pocket, book.now)
                purse.release(pocket, book.now, False)
        for _ in range(70):
            book.now += book.EVERY
            book.use(purse)
            reports = purse.make_reports(0, 1, 1, book.now)
            sent.append(sum(len(encode_report(GROUP, report)) for report in reports))
            for report in reports:
                answer = book.ledger.handle_report(0, report, book.now)
                if answer is not None:
                    purse.handle_answer(0, answer, book.now)
        in_bytes.append(statistics.mean(sent[-10:]))
        in_state.append(float(state(purse)))
    return {"report_bytes": in_bytes, "purse_state": in_state}


# The door.


class Sill:
    """Counts who was let in and who was turned away."""

    def __init__(self) -> None:
        self.inside, self.away = list[str](), 0

    def let_in(self, ref: str) -> None:
        self.inside.append(ref)

    def turn_away(self, ref: str, after: float) -> None:
        self.away += 1

    def tell_peers(self, data: bytes) -> None: ...

    def trace(self, ref: str, member: str, why: AdmissionReason, seconds: float) -> None: ...

    def broke(self, ref: str, member: str, cause: str) -> None: ...


def doors(members: Sequence[int], passes: int, seed: int) -> dict[str, list[float]]:
    """Each member has a weight of its own and has come twice, the second time to wait; the memory that waits
    is bounded by the operator's file, and is not in question here: one command of each."""
    out = []
    for count in members:
        names = [f"member-{n}" for n in range(count)]
        sill = Sill()
        bounds = Bounds(2 * count, 1e9, 10_000, True, False)
        door = AdmissionController(
            sill, FlowClassifier(512, seed, dict.fromkeys(names, 2.0), {}), bounds, 4.0, 5.0
        )
        for n, name in enumerate([*names, *names]):
            door.arrive(Arrival(f"{n:016x}", name, HOST, name, 0.05, 1, 200, 1e6, 1e6, n), 10.0)
        if sill.away or len(door.standing) < count - 8:
            raise RuntimeError("members were turned away: the door does not know as many as it should")
        out.append(float(state(door, (sill, bounds))))
    return {"door_state": out}


# Clients.

LOOK = 1.05  # seconds over which a router's processor time is taken: four rings of its own timer
FIRST = 100  # connections that are there before the first is counted: their memory was free already


def _spent(pid: int) -> float:
    """Processor seconds of all threads of a process, to the nanosecond."""
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def _look(pid: int) -> float:
    """Processor seconds a second of a process, over LOOK."""
    spent, began = _spent(pid), time.monotonic()
    gevent.sleep(LOOK)
    return (_spent(pid) - spent) / (time.monotonic() - began)


def _connect(router: RouterProcess, lines: list[RpcClient], count: int) -> None:
    """Until there are so many."""
    while len(lines) < count:
        line = RpcClient(router.address)
        lines.append(line)
        line.send(0, 1, "health", [{}])
        if line.hear(5.0)[3][0] is not True:
            raise RuntimeError("the router is not healthy")
    gevent.sleep(0.3)


def clients(counts: Sequence[int], looks: int) -> dict[str, list[float]]:
    """A router as a process, and idle connections to it: each has asked for its health once and waits. State
    is resident memory, beyond that with the FIRST ones. Processor time is the least of some looks: a router
    that wakes four times a second for its own timers finds its caches cold when the machine is busy."""
    in_state, in_cpu, lines = list[float](), list[float](), list[RpcClient]()
    listen = held_port()
    port = listen.getsockname()[1]
    with tempfile.TemporaryDirectory(prefix="marbleworks-lab-") as folder:
        sockets = 3 * (FIRST + counts[-1] + 64)  # a third of them is for clients
        config = configuration(
            port, free_port(), (HOST, free_port()), {"e-1": (HOST, free_port())}, settings(8), sockets
        )
        router = RouterProcess(Path(folder) / "router", config, port)
        try:
            router.start()
            process = router.process
            assert process is not None
            _connect(router, lines, FIRST)
            before = router.memory()
            for count in counts:
                _connect(router, lines, FIRST + count)
                in_state.append((router.memory() - before) * 2**20)
                in_cpu.append(min(_look(process.pid) for _ in range(looks)))
        finally:
            for line in lines:
                line.sock.close()
            router.end()
            listen.close()
    return {"client_state": in_state, "client_cpu": in_cpu}
