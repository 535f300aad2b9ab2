"""The controller of hollow routers (`hollow_process.py`), and slopes of control costs on real datagrams.

The controller starts and kills hollow routers, cuts the network between them and reads their counters. It
owns the processes that it started, the sockets of the name servers that stand in, and a folder, and ends only
those. At most MAX_PROCESSES processes with MAX_ROUTERS routers in all run at a time, and each process ends
itself after a time. Processor time is that of a process, less that of an idle process, divided by the number
of its routers; it is never taken from wall time.
"""

from __future__ import annotations

import functools
import json
import os
import random
import shutil
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

import dns.message
import dns.rdatatype
import gevent
from gevent import socket, subprocess
from gevent.lock import BoundedSemaphore

from marbleworks.lab.group import SimulatedGroup
from marbleworks.lab.slopes import Slope, fit
from marbleworks.lab.stage import lab_settings, wait_until
from marbleworks.lab.standins import HOST, dns_answer, router_configuration
from marbleworks.membership.messages import MemberState
from marbleworks.net.engine_protocol import MAX_DNS_RESPONSE_BYTES

MAX_PROCESSES, MAX_ROUTERS = 6, 200  # running at a time
MAX_LIFETIME_S = 280  # seconds after which a process ends itself
ANSWER_TIMEOUT_S = 30.0  # seconds for the answer to a command
AGREEMENT_TIMEOUT_S = 60.0  # seconds for a group to agree, and to end its gossip
ENGINE_COUNT = 2  # engines in the list of a group whose size is varied
OPERATOR_CONFIG = "(peers) (budgets)"
MAX_COUNTS = 3  # counts of a group, at most, if its views change during them
CAPACITY_CHECK_INTERVAL_S = 0.1  # seconds between checks for free capacity
FIRST_PORT, LAST_PORT = 20_000, 32_000  # below the range of ephemeral ports
Address = tuple[str, int]


class ListServer:
    """A name server that stands in for the source of the engine list.

    Attributes:
        address: Its address.
        query_counts: Number of queries, by sender.
        first_queried_at: Time of the first query, by sender.
        cached_answer: The last query and its answer, without their ids.
        engines: Addresses of the listed engines, by name.
        serial: Serial number of the list.
    """

    def __init__(self, engines: dict[str, Address], serial: int = 1) -> None:
        self.sock = socket.socket(type=socket.SOCK_DGRAM)
        self.sock.bind((HOST, 0))
        self.address: Address = self.sock.getsockname()
        self.query_counts: dict[Address, int] = {}
        self.first_queried_at: dict[Address, float] = {}
        self.cached_answer: tuple[bytes, bytes] | None = None
        self.set_engines(engines, serial)
        self.greenlet = gevent.spawn(self._answer)

    def set_engines(self, engines: dict[str, Address], serial: int) -> None:
        """Replaces the list."""
        self.engines, self.serial, self.cached_answer = engines, serial, None

    def _answer(self) -> None:
        while True:
            question, sender = self.sock.recvfrom(4096)
            self.query_counts[sender] = self.query_counts.get(sender, 0) + 1
            self.first_queried_at.setdefault(sender, time.monotonic())
            if self.cached_answer is None or self.cached_answer[0] != question[2:]:
                self.cached_answer = question[2:], dns_answer(question, self.serial, self.engines)[2:]
            self.sock.sendto(question[:2] + self.cached_answer[1], sender)

    def close(self) -> None:
        """Stops answering."""
        self.greenlet.kill()
        self.sock.close()


def make_engines(count: int) -> dict[str, Address]:
    """Returns names and addresses of engines that do not run."""
    return {f"s-{n}": ("127.38.1.1", 9) for n in range(count)}


def answer_bytes(engines: int) -> int:
    """Returns the bytes of an answer that lists so many engines."""
    question = dns.message.make_query("_rpc._tcp.mesh.local.", dns.rdatatype.SRV).to_wire()
    return len(dns_answer(question, 1, make_engines(engines)))


def max_listed_engines() -> int:
    """Returns the largest number of engines in an answer that the protocol allows."""
    count = 1
    while answer_bytes(count + 1) <= MAX_DNS_RESPONSE_BYTES:
        count += 1
    return count


class Capacity:
    """Capacity for processes and routers; a group waits until there is room for all of its own.

    Attributes:
        processes: Processes that may still be started.
        routers: Routers that may still be started.
    """

    def __init__(self) -> None:
        self.processes, self.routers = MAX_PROCESSES, MAX_ROUTERS

    def acquire(self, processes: int, routers: int) -> None:
        """Waits for capacity and takes it."""
        while self.processes < processes or self.routers < routers:
            gevent.sleep(CAPACITY_CHECK_INTERVAL_S)
        self.processes -= processes
        self.routers -= routers

    def release(self, processes: int, routers: int) -> None:
        """Returns capacity."""
        self.processes += processes
        self.routers += routers


CAPACITY = Capacity()


class Process:
    """A process of hollow routers, which ends with this process or after a time.

    Attributes:
        log: The file of its routers' log.
        numbers: Numbers of its routers.
        pid: Its process id.
    """

    def __init__(self, folder: Path, name: str, seconds: int = MAX_LIFETIME_S) -> None:
        self.log, self.numbers, self.lock = folder / f"{name}.log", list[int](), BoundedSemaphore(1)
        self.process: Any = subprocess.Popen(
            [sys.executable, "-m", "marbleworks.lab.hollow_process", str(self.log), str(seconds)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
        with gevent.Timeout(ANSWER_TIMEOUT_S):
            self.pid: int = json.loads(self.process.stdout.readline())["ready"]

    def ask(self, command: str, argument: Any = True) -> Any:
        """Sends a command and returns the answer.

        Args:
            command: Name of the command.
            argument: Its argument.

        Raises:
            RuntimeError: The process could not carry out the command, or has ended.
        """
        return self.ask_raw(json.dumps({command: argument}).encode())

    def ask_raw(self, line: bytes) -> Any:
        """Sends a line and returns the answer; raises like `ask`."""
        with self.lock, gevent.Timeout(ANSWER_TIMEOUT_S):
            self.process.stdin.write(line + b"\n")
            self.process.stdin.flush()
            answer = json.loads(self.process.stdout.readline() or '{"error": "the process has ended"}')
        if "error" in answer:
            raise RuntimeError(answer["error"])
        return answer

    def failures(self) -> int:
        """Returns the number of unexpected errors in the routers' log."""
        return self.log.read_text().count('"event": "failed"')

    def end(self) -> None:
        """Ends the process, with a kill if it does not end by itself."""
        if self.process.stdin.closed:
            return
        self.process.stdin.close()
        try:
            self.process.wait(timeout=5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()


@dataclass
class GroupUsage:
    """What a group spent between two counts. Rates are per second and per router.

    Attributes:
        seconds: Seconds between the counts.
        cpu: Processor seconds, mean of all routers.
        first_cpu: Processor seconds of the router with the lowest number, which is the leader.
        sent: Datagrams and bytes sent, mean of all routers, by kind: `peers`, `budgets`.
        first: The same for the router with the lowest number.
        dropped: Datagrams that the routers' limits dropped since the start, of all routers.
        changes: Changes of views between the counts; the group was idle only if there are none.
    """

    seconds: float
    cpu: float
    first_cpu: float
    sent: dict[str, list[float]]
    first: dict[str, list[float]]
    dropped: int
    changes: int


class HollowGroup:
    """A flat group of hollow routers, for use in a `with` statement.

    Attributes:
        count: Routers in the group.
        parts: Numbers of the routers in each process. Router 0 is alone in the first process, so that the
            cost of the leader can be told apart.
        lists: Two name servers; the first one is in use.
        killed: Time of death by router.
        idle_cpu: Processor seconds per second of a process without routers.
    """

    def __init__(
        self,
        count: int,
        processes: int,
        seed: int = 1,
        operator: str = OPERATOR_CONFIG,
        engines: int = ENGINE_COUNT,
        seconds: int = MAX_LIFETIME_S,
    ) -> None:
        if count > MAX_ROUTERS or not 0 < processes <= min(count, MAX_PROCESSES):
            raise ValueError(f"can't run {count} routers in {processes} processes")
        self.count, self.seed, self.operator, self.seconds = count, seed, operator, seconds
        rest = max(processes - 1, 1)
        others = range(1 if processes > 1 else 0, count)
        self.parts = [list(others[n::rest]) for n in range(rest)]
        if processes > 1:
            self.parts.insert(0, [0])
        self.folder = Path(tempfile.mkdtemp(prefix="marbleworks-hollow-"))
        self.lists = [ListServer(make_engines(engines)), ListServer(make_engines(engines), 2)]
        self.broadcast_socket, self.port = _reserve_port()
        self.processes: list[Process] = []
        self.killed: dict[int, float] = {}
        self.idle_cpu = 0.0

    def __enter__(self) -> HollowGroup:
        CAPACITY.acquire(len(self.parts), self.count)
        try:
            greenlets = [
                gevent.spawn(Process, self.folder, f"process-{n}", self.seconds)
                for n in range(len(self.parts))
            ]
            gevent.joinall(greenlets)
            self.processes = [g.get() for g in greenlets]
            for process, numbers in zip(self.processes, self.parts, strict=True):
                process.numbers = numbers
        except BaseException:
            self._end()
            raise
        return self

    def __exit__(
        self, kind: type[BaseException] | None, err: BaseException | None, at: TracebackType | None
    ) -> None:
        self._end()

    def _end(self) -> None:
        for process in self.processes:
            process.end()
        CAPACITY.release(len(self.parts), self.count)
        for server in self.lists:
            server.close()
        self.broadcast_socket.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Control.

    def addresses(self) -> list[Address]:
        """Returns the addresses of all routers."""
        return [(f"127.38.0.{n + 1}", self.port) for n in range(self.count)]

    def configure(self, number: int, nameserver: Address, engines: dict[str, Address]) -> list[str]:
        """Writes a router's files.

        Returns:
            The paths of the configuration and of the operator's file, as the command `start` takes them.
        """
        config = json.loads(
            router_configuration(
                1,
                1,
                nameserver,
                engines,
                lab_settings(8, routers=self.count, router_index=number),
                group=(self.addresses(), self.broadcast_socket.getsockname()),
            )
        )
        host, port = self.addresses()[number]
        config |= {"name": f"n{number}", "seed": f"{self.seed:x}", "peer_listen": f"{host}:{port}"}
        path, operator = self.folder / f"{number}.json", self.folder / f"{number}.lisp"
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(config))
        new_path.replace(path)
        if self.operator and not operator.exists():
            operator.write_text(self.operator)
        return [str(path), str(operator) if self.operator else ""]

    def all(self, command: str, argument_of: Callable[[Process], Any] = lambda _: True) -> list[Any]:
        """Sends a command to all processes at once and returns their answers.

        Args:
            command: Name of the command.
            argument_of: Returns the argument for a process.
        """
        greenlets = [gevent.spawn(process.ask, command, argument_of(process)) for process in self.processes]
        gevent.joinall(greenlets)
        return [g.get() for g in greenlets]

    def start(self, numbers: Iterable[int] | None = None) -> None:
        """Starts some of the routers, or all."""
        wanted = set(range(self.count) if numbers is None else numbers)
        server = self.lists[0]
        files = {n: self.configure(n, server.address, server.engines) for n in sorted(wanted)}
        self.all("start", lambda p: [files[n] for n in p.numbers if n in wanted])

    def kill(self, number: int) -> dict[str, Any]:
        """Kills a router and returns its counters."""
        process = next(p for p in self.processes if number in p.numbers)
        counters: dict[str, Any] = process.ask("kill", [number])["killed"][str(number)]
        self.killed[number] = counters["at"]
        return counters

    def part(self, *parts: Iterable[int]) -> None:
        """Cuts the network between these parts of the group; without any, ends the cut."""
        part_lists = [list(part) for part in parts]
        self.all("part", lambda _: part_lists)

    # Observation.

    def views(self) -> dict[int, list[Any]]:
        """Returns the view of each router, as `hollow_process.Router.view` describes it."""
        return {int(n): view for answer in self.all("views") for n, view in answer["views"].items()}

    def agreed(self, among: Iterable[int] | None = None) -> bool:
        """Returns whether some of the routers, or all, have exactly each other in their views."""
        wanted = list(range(self.count) if among is None else among)
        views = self.views()
        seen = {tuple(views[n][:2]) for n in wanted}
        return len(seen) == 1 and seen.pop()[0] == len(wanted)

    def is_divided(self) -> bool:
        """Returns whether all agree and each has its quota share.

        The router with the lowest number has to be the leader; it always is in the end, even if another
        router was the first leader.
        """
        if not self.agreed():
            return False
        rights = [view[2] for _, view in sorted(self.views().items())]
        return rights[0] == "divides" and set(rights[1:]) <= {"has a part"}

    def is_gossip_over(self) -> bool:
        """Returns whether all gossip has ended, so that datagrams are as long as in an idle group."""
        return not any(view[3] for view in self.views().values())

    def changes(self) -> int:
        """Returns the number of changes of all views so far."""
        return sum(view[4] for view in self.views().values())

    def counts(self) -> list[dict[str, Any]]:
        """Returns the counters of each process."""
        return self.all("count")

    def measure_idle_cpu(self, seconds: float) -> None:
        """Measures what a process costs by itself; to be called before any router is started."""
        before = self.counts()
        gevent.sleep(seconds)
        pairs = zip(before, self.counts(), strict=True)
        self.idle_cpu = statistics.mean((b["cpu"] - a["cpu"]) / (b["at"] - a["at"]) for a, b in pairs)

    def measure_usage(self, seconds: float, wait: Callable[[float], None] = gevent.sleep) -> GroupUsage:
        """Measures what the group spends from now on.

        Args:
            seconds: Seconds to measure.
            wait: Called with the seconds to let time pass.
        """
        changes = self.changes()
        before = self.counts()
        wait(seconds)
        after = self.counts()
        spent = [
            (b["cpu"] - a["cpu"]) / (b["at"] - a["at"]) - self.idle_cpu
            for a, b in zip(before, after, strict=True)
        ]
        span = statistics.mean(b["at"] - a["at"] for a, b in zip(before, after, strict=True))
        usage_by_router: dict[int, dict[str, list[float]]] = {}
        for a, b in zip(before, after, strict=True):
            for number, now in b["routers"].items():
                was = a["routers"][number]["sent"]
                usage_by_router[int(number)] = {
                    kind: [(count - was.get(kind, [0, 0])[i]) / span for i, count in enumerate(counts)]
                    for kind, counts in now["sent"].items()
                }
        kinds = sorted({kind for one in usage_by_router.values() for kind in one})
        mean = {
            kind: [
                statistics.mean(one.get(kind, [0.0, 0.0])[i] for one in usage_by_router.values())
                for i in (0, 1)
            ]
            for kind in kinds
        }
        dropped = sum(
            sum(router["dropped"].values()) for answer in after for router in answer["routers"].values()
        )
        return GroupUsage(
            span,
            sum(spent) / len(usage_by_router),
            spent[0],
            mean,
            usage_by_router[min(usage_by_router)],
            dropped,
            self.changes() - changes,
        )

    def resident_bytes(self) -> float:
        """Returns the resident bytes of a router.

        That is the difference between the process with the most and the one with the fewest routers, divided
        by the difference of their numbers of routers.
        """
        sizes = {len(process.numbers): process.ask("count")["resident"] for process in self.processes}
        fewest, most = min(sizes), max(sizes)
        return float(sizes[most] - sizes[fewest]) / (most - fewest)

    def detection_seconds(self, number: int) -> list[float]:
        """Returns, for each live router that noticed a death, the seconds until it did."""
        at, found = self.killed[number], list[float]()
        for answer in self.counts():
            for router in answer["routers"].values():
                found += [when - at for gone, when in router["removed"] if gone == number and when >= at]
        return found

    def reconfigure(self) -> tuple[float, float]:
        """Gives every router another name server, by a new configuration.

        A process reloads its routers one after the other, so its seconds are those of all its routers; in a
        fleet each router has its own processor.

        Returns:
            Seconds from writing the first file until the last router has queried the new name server, and the
            mean processor seconds of one router.

        Raises:
            RuntimeError: Some routers did not query the new name server in time.
        """
        server = self.lists[1]
        server.query_counts.clear()
        server.first_queried_at.clear()
        living = [n for process in self.processes for n in process.numbers if n not in self.killed]
        began = time.monotonic()
        for number in living:
            self.configure(number, server.address, server.engines)
        answers = self.all("reload", lambda p: [n for n in p.numbers if n not in self.killed])
        if not wait_until(lambda: len(server.first_queried_at) >= len(living), ANSWER_TIMEOUT_S):
            raise RuntimeError(
                f"{len(server.first_queried_at)} of {len(living)} routers queried the new name server"
            )
        took = max(server.first_queried_at.values()) - began
        self.lists.reverse()
        return took, statistics.mean(cpu for one in answers for cpu in one["reloaded"].values())


def _reserve_port() -> tuple[Any, int]:
    """Reserves a port that is free at every address.

    Returns:
        The socket that holds the port, at the address by which routers reach all others, and the port.

    Raises:
        RuntimeError: No free port was found.
    """
    chance = random.Random(os.urandom(8))
    for _ in range(200):
        port = chance.randrange(FIRST_PORT, LAST_PORT)
        sock = socket.socket(type=socket.SOCK_DGRAM)
        try:
            with socket.socket(type=socket.SOCK_DGRAM) as probe:
                probe.bind(("0.0.0.0", port))  # fails if the port is in use at any address
            sock.bind(("127.38.0.254", port))
            return sock, port
        except OSError:
            sock.close()
    raise RuntimeError("no free port from which routers can be reached at every address")


# Measurements.


@dataclass
class GroupResults:
    """Results for one group size.

    Attributes:
        count: Routers in the group.
        usage: What the idle group spent.
        resident: Resident bytes of a router.
        killed: Routers that were killed.
        deaths: Seconds until a live router knew of a death, for each pair of these.
        configs: Seconds until a new configuration was in force at all routers, for each change.
        agreed: Seconds until all routers agreed and had their quota shares.
        failures: Unexpected errors in the logs.
    """

    count: int
    usage: GroupUsage
    resident: float
    killed: list[int]
    deaths: list[float]
    configs: list[float]
    agreed: float
    failures: int


SIZES = {6: 2, 8: 2, 12: 2, 16: 2, 24: 2, 32: 2}  # number of processes by number of routers
FULL_SIZES = {8: 2, 12: 2, 16: 2, 24: 2, 32: 2, 48: 3, 64: 3, 96: 6}
# Engines in the list; the largest list that an answer may contain is measured too.
LIST_SIZES = (5, 10, 20, 40, 60)
QUERYING_ROUTERS = 16  # routers that query a list whose size is varied
CONFIGURED_SIZES = (250, 500, 1000, 2000, 4000, 8000)  # engines in a configuration
FULL_CONFIGURED_SIZES = (*CONFIGURED_SIZES, 16_000)


def measure_group(count: int, processes: int, seed: int, seconds: float, kills: int) -> GroupResults:
    """Measures a group from its start to its last death.

    Raises:
        RuntimeError: The routers did not agree, or did not notice a death, in time.
    """
    with HollowGroup(count, processes, seed) as hollow_group:
        hollow_group.measure_idle_cpu(0.5)
        began = time.monotonic()
        hollow_group.start()
        if not wait_until(hollow_group.is_divided, AGREEMENT_TIMEOUT_S):
            raise RuntimeError(f"{count} hollow routers did not agree in {AGREEMENT_TIMEOUT_S:.0f} s")
        agreed = time.monotonic() - began
        usage = _measure_idle(hollow_group, seconds)
        resident = hollow_group.resident_bytes()
        configs = [hollow_group.reconfigure()[0] for _ in range(5)]
        deaths = list[float]()
        for number in choose_killed(count, kills, seed):
            hollow_group.kill(number)
            living = count - len(hollow_group.killed)
            if not wait_until(
                lambda number=number, living=living: (  # type: ignore[misc]
                    len(hollow_group.detection_seconds(number)) >= living
                )
            ):
                raise RuntimeError(f"a death among {count} hollow routers was not known to all")
            deaths += hollow_group.detection_seconds(number)
        failures = sum(process.failures() for process in hollow_group.processes)
        return GroupResults(
            count, usage, resident, list(hollow_group.killed), deaths, configs, agreed, failures
        )


def _measure_idle(hollow_group: HollowGroup, seconds: float) -> GroupUsage:
    """Returns the first count in which no view changed, or the last of MAX_COUNTS counts.

    On a busy machine a process may wait for seconds, and its routers become suspected; the group is not idle
    then.
    """
    for _ in range(MAX_COUNTS):
        if not wait_until(hollow_group.is_gossip_over, AGREEMENT_TIMEOUT_S):
            raise RuntimeError(
                f"gossip of {hollow_group.count} hollow routers did not end in {AGREEMENT_TIMEOUT_S:.0f} s"
            )
        usage = hollow_group.measure_usage(seconds)
        if not usage.changes:
            break
    return usage


def choose_killed(count: int, kills: int, seed: int) -> list[int]:
    """Draws routers to kill; never the one with the lowest number, which is the leader."""
    return random.Random(seed).sample(range(1, count), kills)


def measure_list_cost(engines: int, seed: int, seconds: float) -> float:
    """Returns the processor seconds per second of one router for an engine list that does not change."""
    with HollowGroup(QUERYING_ROUTERS, 1, seed, operator="", engines=engines) as hollow_group:
        hollow_group.measure_idle_cpu(0.5)
        hollow_group.start()
        server = hollow_group.lists[0]
        if not wait_until(
            lambda: len(server.query_counts) >= QUERYING_ROUTERS and min(server.query_counts.values()) > 1
        ):
            raise RuntimeError("some routers did not query the engine list twice")
        return hollow_group.measure_usage(seconds).cpu


def measure_oversized_list(engines: int) -> tuple[int, int, int]:
    """Gives a list of so many engines to a router that has a list with one engine fewer.

    Returns:
        Bytes of the answer, engines that the router has after it, and the router's log lines on unreadable
        answers.
    """
    with HollowGroup(1, 1, operator="", engines=engines - 1) as hollow_group:
        hollow_group.start()
        server = hollow_group.lists[0]
        server.set_engines(make_engines(engines), 2)
        server.query_counts.clear()

        def engine_count() -> int:
            listed: list[int] = hollow_group.counts()[0]["routers"]["0"]["list"]
            return listed[1]

        # The list was taken over, or two answers were ignored by the time of the third query.
        wait_until(lambda: engine_count() == engines or max(server.query_counts.values(), default=0) > 2)
        lines = hollow_group.processes[0].log.read_text().count("name server response unreadable")
        return answer_bytes(engines), engine_count(), lines


def measure_configuration_costs(sizes: Iterable[int], seed: int) -> list[float]:
    """Measures how long a router takes over a configuration, by the number of engines in it.

    Returns:
        Median processor seconds for each size.
    """
    with HollowGroup(1, 1, seed, operator="(budgets)", engines=1) as hollow_group:
        hollow_group.start()
        costs: dict[int, list[float]] = {size: [] for size in sizes}
        for _ in range(15):  # sizes take turns, so that a busy moment does not affect one size alone
            for size, durations in costs.items():
                hollow_group.configure(0, hollow_group.lists[1].address, make_engines(size))
                durations.append(hollow_group.processes[0].ask("reload", [0])["reloaded"]["0"])
        return [statistics.median(durations) for durations in costs.values()]


@dataclass
class RunResults:
    """Results of a run.

    Attributes:
        groups: Results by group size.
        lists: Pairs of engines in the list and processor seconds per second of a router.
        configured: Pairs of engines in a configuration and processor seconds to take it over.
    """

    groups: list[GroupResults]
    lists: list[tuple[int, float]]
    configured: list[tuple[int, float]]


@functools.cache
def measure_all(seed: int, quick: bool) -> RunResults:
    """Measures everything, once for each seed. Several groups run at a time, within the capacity."""
    sizes, engines = (SIZES, CONFIGURED_SIZES) if quick else (FULL_SIZES, FULL_CONFIGURED_SIZES)
    seconds, kills = (3.0, 2) if quick else (10.0, 3)
    lists = (*LIST_SIZES, max_listed_engines())
    greenlets = [
        gevent.spawn(measure_group, count, sizes[count], seed, seconds, kills)
        for count in sorted(sizes, reverse=True)
    ]
    listing = [gevent.spawn(measure_list_cost, size, seed, 3.0 if quick else 6.0) for size in lists]
    configuring = gevent.spawn(measure_configuration_costs, engines, seed)
    all_greenlets: list[Any] = [*greenlets, *listing, configuring]
    gevent.joinall(all_greenlets)
    groups = sorted((g.get() for g in greenlets), key=lambda m: m.count)
    costs = list(zip(lists, (g.get() for g in listing), strict=True))
    return RunResults(groups, costs, list(zip(engines, configuring.get(), strict=True)))


def measure_slopes(seed: int, quick: bool) -> list[Slope]:
    """Measures and fits all slopes of hollow routers; `quick` measures small sizes only."""
    return fit_slopes(measure_all(seed, quick), seed)


def fit_slopes(run: RunResults, seed: int) -> list[Slope]:
    """Fits the slopes of a run."""
    groups, routers = run.groups, "routers in a group"
    counts = [float(m.count) for m in groups]

    def fit_by_group_size(name: str, what: str, value: Callable[[GroupResults], float]) -> Slope:
        return fit(name, what, routers, "processes", counts, [value(m) for m in groups], seed)

    def sum_of_kinds(sent: dict[str, list[float]], i: int) -> float:
        return sum(counts[i] for counts in sent.values())

    return [
        fit_by_group_size("hollow_cpu", "processor seconds a second of one router", lambda m: m.usage.cpu),
        fit_by_group_size(
            "hollow_bytes", "bytes a second sent by one router", lambda m: sum_of_kinds(m.usage.sent, 1)
        ),
        fit_by_group_size(
            "hollow_datagrams",
            "datagrams a second sent by one router",
            lambda m: sum_of_kinds(m.usage.sent, 0),
        ),
        fit_by_group_size(
            "hollow_divider_bytes",
            "bytes a second sent by the router that divides",
            lambda m: sum_of_kinds(m.usage.first, 1),
        ),
        fit_by_group_size(
            "hollow_divider_cpu",
            "processor seconds a second of the router that divides",
            lambda m: m.usage.first_cpu,
        ),
        fit_by_group_size("hollow_state", "resident bytes of one router", lambda m: m.resident),
        fit_by_group_size(
            "hollow_death_seconds",
            "seconds until a death is known, median",
            lambda m: statistics.median(m.deaths),
        ),
        fit_by_group_size(
            "hollow_config_seconds",
            "seconds until a configuration is in force at all, in so few processes",
            lambda m: statistics.median(m.configs),
        ),
        fit(
            "hollow_list_cpu",
            "processor seconds a second of one router for the list",
            "engines listed",
            "processes",
            *_columns(run.lists),
            seed,
        ),
        fit(
            "hollow_config_cpu",
            "processor seconds of one router for one configuration",
            "engines listed",
            "processes",
            *_columns(run.configured),
            seed,
        ),
    ]


def _columns(pairs: list[tuple[int, float]]) -> tuple[list[float], list[float]]:
    return [float(x) for x, _ in pairs], [y for _, y in pairs]


SIMULATED_DEATHS = 6  # deaths in simulated time, which are compared with all deaths of the hollow group


def compare_with_simulation(seed: int, quick: bool) -> list[dict[str, Any]]:
    """Compares simulated with hollow routers at the two largest group sizes.

    Only membership datagrams are compared, since simulated time has no budgets. Both are counted after all
    gossip has ended.

    Returns:
        Rows with what is compared, the simulated and the hollow value, and the difference relative to the
        simulated one. The row for deaths also has the smallest and the largest median of a single simulated
        death, since a few deaths differ by chance alone.
    """
    run, rows = measure_all(seed, quick), list[dict[str, Any]]()
    for m in run.groups[-2:]:
        group = SimulatedGroup(m.count, seed)
        while (
            not group.views_agree()
            or not group.leaders()
            or any(r.failure_detector.gossip.transmissions for r in group.routers)
        ):
            group.run(1.0)
        bytes_before, sent, at = list(group.sent_bytes), group.sent, group.now
        group.run(10.0)
        span, hollow = group.now - at, m.usage
        spent = [
            (after - before) / span for before, after in zip(bytes_before, group.sent_bytes, strict=True)
        ]
        datagrams = (group.sent - sent) / span / m.count
        known = [
            measure_simulated_death(group, number)
            for number in choose_killed(m.count, SIMULATED_DEATHS, seed)
        ]
        medians = [statistics.median(one) for one in known]
        for what, simulated, real in (
            ("datagrams a second", datagrams, hollow.sent["peers"][0]),
            ("bytes a second", statistics.mean(spent), hollow.sent["peers"][1]),
            ("bytes a second, whoever divides", spent[0], hollow.first["peers"][1]),
            ("death known, median s", statistics.median(sum(known, [])), statistics.median(m.deaths)),
        ):
            row = {
                "what": f"{what}, {m.count} routers",
                "simulated": simulated,
                "hollow": real,
                "difference": (real - simulated) / simulated,
            }
            rows.append(row)
        rows[-1] |= {"low": min(medians), "high": max(medians)}
    return rows


def measure_simulated_death(group: SimulatedGroup, number: int) -> list[float]:
    """Kills a simulated router and restarts it after all know.

    Returns:
        Seconds until each live router had removed it from its view.
    """
    at, first = group.now, dict[int, float]()
    group.changes.clear()
    group.kill(number)
    living = len(group.live_routers())
    while len(first) < living and group.now < at + 20.0:
        group.run(0.5)
        for when, by, change in group.changes:
            if change.router == number and change.state is MemberState.DEAD:
                first.setdefault(by, when - at)
    group.start(number)
    while not group.views_agree():
        group.run(0.5)
    group.run(1.0)
    return list(first.values())
