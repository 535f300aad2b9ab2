"""The controller of hollow routers (`hollow_process.py`): starts, kills, cuts and counts them, and the slopes
of what control costs a router on real datagrams.

It owns the processes it started, the sockets of the stand-in lists, and a folder; it ends just those. At most
MOST_PROCESSES of them live at once, MOST_ROUTERS routers in all, and each process ends itself. It must never
take wall time for processor time: that is each process's own, less an idle one's, over its routers.
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

from marbleworks.lab.group import Group
from marbleworks.lab.slopes import Slope, fit
from marbleworks.lab.stage import settings, until
from marbleworks.lab.standins import HOST, configuration, dns_answer
from marbleworks.membership.messages import MemberState
from marbleworks.net.engine_protocol import MAX_DNS_RESPONSE_BYTES

MOST_PROCESSES, MOST_ROUTERS = 6, 200  # at once
LONGEST = 280  # seconds that a process lives
ANSWER_WITHIN = 30.0  # seconds for a line to be answered
AGREE_WITHIN = 60.0  # seconds for a group to agree and to have told all its news
ENGINES = 2  # in the list of a group whose size is varied
OPERATOR = "(peers) (budgets)"
WINDOWS = 3  # counts of a group at most, where its views changed meanwhile
LOOKS = 0.1  # seconds between looks at all views
FIRST_PORT, LAST_PORT = 20_000, 32_000  # below those that sockets without a port of their own are given
Address = tuple[str, int]


class ListServer:
    """The stand-in that answers for the list of engines; who asked it, how often and when first."""

    def __init__(self, engines: dict[str, Address], serial: int = 1) -> None:
        self.sock = socket.socket(type=socket.SOCK_DGRAM)
        self.sock.bind((HOST, 0))
        self.address: Address = self.sock.getsockname()
        self.asked: dict[Address, int] = {}
        self.asked_at: dict[Address, float] = {}
        self.kept: tuple[bytes, bytes] | None = None  # a question and its answer, but for their ids
        self.tell(engines, serial)
        self.greenlet = gevent.spawn(self._answer)

    def tell(self, engines: dict[str, Address], serial: int) -> None:
        """From now on this is the list."""
        self.engines, self.serial, self.kept = engines, serial, None

    def _answer(self) -> None:
        while True:
            question, sender = self.sock.recvfrom(4096)
            self.asked[sender] = self.asked.get(sender, 0) + 1
            self.asked_at.setdefault(sender, time.monotonic())
            if self.kept is None or self.kept[0] != question[2:]:
                self.kept = question[2:], dns_answer(question, self.serial, self.engines)[2:]
            self.sock.sendto(question[:2] + self.kept[1], sender)

    def close(self) -> None:
        self.greenlet.kill()
        self.sock.close()


def engines_of(count: int) -> dict[str, Address]:
    """Names and addresses at which nobody is."""
    return {f"s-{n}": ("127.38.1.1", 9) for n in range(count)}


def answer_bytes(engines: int) -> int:
    """Of the list's answer with so many."""
    question = dns.message.make_query("_rpc._tcp.mesh.local.", dns.rdatatype.SRV).to_wire()
    return len(dns_answer(question, 1, engines_of(engines)))


def most_listed() -> int:
    """Engines of which an answer of the list still has room, by the protocol."""
    count = 1
    while answer_bytes(count + 1) <= MAX_DNS_RESPONSE_BYTES:
        count += 1
    return count


class Room:
    """For the processes and routers that may live at once; a group waits until all of its own have room."""

    def __init__(self) -> None:
        self.processes, self.routers = MOST_PROCESSES, MOST_ROUTERS

    def take(self, processes: int, routers: int) -> None:
        while self.processes < processes or self.routers < routers:
            gevent.sleep(LOOKS)
        self.processes -= processes
        self.routers -= routers

    def give_back(self, processes: int, routers: int) -> None:
        self.processes += processes
        self.routers += routers


ROOM = Room()


class Process:
    """One process of hollow routers, which ends with us, or after its seconds."""

    def __init__(self, folder: Path, name: str, seconds: int = LONGEST) -> None:
        self.log, self.numbers, self.busy = folder / f"{name}.log", list[int](), BoundedSemaphore(1)
        self.process: Any = subprocess.Popen(
            [sys.executable, "-m", "marbleworks.lab.hollow_process", str(self.log), str(seconds)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
        with gevent.Timeout(ANSWER_WITHIN):
            self.pid: int = json.loads(self.process.stdout.readline())["ready"]

    def ask(self, what: str, told: Any = True) -> Any:
        """The answer to a line; RuntimeError where it could not be done."""
        return self.ask_raw(json.dumps({what: told}).encode())

    def ask_raw(self, line: bytes) -> Any:
        with self.busy, gevent.Timeout(ANSWER_WITHIN):
            self.process.stdin.write(line + b"\n")
            self.process.stdin.flush()
            said = json.loads(self.process.stdout.readline() or '{"error": "it has ended"}')
        if "error" in said:
            raise RuntimeError(said["error"])
        return said

    def failures(self) -> int:
        """Mistakes that a router met and logged."""
        return self.log.read_text().count('"event": "failed"')

    def end(self) -> None:
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
class Counted:
    """A group between two counts. Rates are a second, of one router; by kind: peers, budgets."""

    seconds: float
    cpu: float  # mean of all
    first_cpu: float  # of the lowest number, which divides
    sent: dict[str, list[float]]  # by kind: datagrams and bytes, mean of all
    first: dict[str, list[float]]  # the same of the lowest number
    dropped: int  # datagrams that a router's own bounds held back, all together
    changes: int  # of views meanwhile; where there are any it was no quiet time


class Hollows:
    """A flat group of hollow routers, for a `with`. parts: the numbers that each of its processes has; the
    first of them alone in the first, so that what dividing costs is told apart."""

    def __init__(
        self,
        count: int,
        processes: int,
        seed: int = 1,
        operator: str = OPERATOR,
        engines: int = ENGINES,
        seconds: int = LONGEST,
    ) -> None:
        if count > MOST_ROUTERS or not 0 < processes <= min(count, MOST_PROCESSES):
            raise ValueError(f"{count} routers in {processes} processes")
        self.count, self.seed, self.operator, self.seconds = count, seed, operator, seconds
        rest = max(processes - 1, 1)
        others = range(1 if processes > 1 else 0, count)
        self.parts = [list(others[n::rest]) for n in range(rest)]
        if processes > 1:
            self.parts.insert(0, [0])
        self.folder = Path(tempfile.mkdtemp(prefix="marbleworks-hollow-"))
        self.lists = [ListServer(engines_of(engines)), ListServer(engines_of(engines), 2)]
        self.everyone, self.port = _held_block()
        self.processes: list[Process] = []
        self.killed: dict[int, float] = {}  # when each was
        self.idle = 0.0  # processor seconds a second of one of the processes without routers

    def __enter__(self) -> Hollows:
        ROOM.take(len(self.parts), self.count)
        try:
            going = [
                gevent.spawn(Process, self.folder, f"process-{n}", self.seconds)
                for n in range(len(self.parts))
            ]
            gevent.joinall(going)
            self.processes = [g.get() for g in going]
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
        ROOM.give_back(len(self.parts), self.count)
        for server in self.lists:
            server.close()
        self.everyone.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # What is told.

    def addresses(self) -> list[Address]:
        return [(f"127.38.0.{n + 1}", self.port) for n in range(self.count)]

    def configure(self, number: int, nameserver: Address, engines: dict[str, Address]) -> list[str]:
        """Writes a router's files; their paths, as `start` takes them."""
        told = json.loads(
            configuration(
                1,
                1,
                nameserver,
                engines,
                settings(8, routers=self.count, me=number),
                group=(self.addresses(), self.everyone.getsockname()),
            )
        )
        host, port = self.addresses()[number]
        told |= {"name": f"n{number}", "seed": f"{self.seed:x}", "peer_listen": f"{host}:{port}"}
        path, operator = self.folder / f"{number}.json", self.folder / f"{number}.lisp"
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(told))
        fresh.replace(path)
        if self.operator and not operator.exists():
            operator.write_text(self.operator)
        return [str(path), str(operator) if self.operator else ""]

    def all(self, what: str, told: Callable[[Process], Any] = lambda _: True) -> list[Any]:
        """Asks all processes at once."""
        going = [gevent.spawn(process.ask, what, told(process)) for process in self.processes]
        gevent.joinall(going)
        return [g.get() for g in going]

    def start(self, numbers: Iterable[int] | None = None) -> None:
        wanted = set(range(self.count) if numbers is None else numbers)
        here = self.lists[0]
        files = {n: self.configure(n, here.address, here.engines) for n in sorted(wanted)}
        self.all("start", lambda p: [files[n] for n in p.numbers if n in wanted])

    def kill(self, number: int) -> dict[str, Any]:
        """All that it had counted."""
        process = next(p for p in self.processes if number in p.numbers)
        told: dict[str, Any] = process.ask("kill", [number])["killed"][str(number)]
        self.killed[number] = told["at"]
        return told

    def part(self, *parts: Iterable[int]) -> None:
        """Cuts the group into these parts; without any it is whole."""
        told = [list(part) for part in parts]
        self.all("part", lambda _: told)

    # What is seen.

    def views(self) -> dict[int, list[Any]]:
        return {int(n): view for said in self.all("views") for n, view in said["views"].items()}

    def agreed(self, among: Iterable[int] | None = None) -> bool:
        """Whether all of these have all of these in their views, and no other."""
        wanted = list(range(self.count) if among is None else among)
        views = self.views()
        seen = {tuple(views[n][:2]) for n in wanted}
        return len(seen) == 1 and seen.pop()[0] == len(wanted)

    def divided(self) -> bool:
        """Whether all agree, and each has its part: the lowest number divides, as it does in the end also
        where another was first."""
        if not self.agreed():
            return False
        rights = [view[2] for _, view in sorted(self.views().items())]
        return rights[0] == "divides" and set(rights[1:]) <= {"has a part"}

    def told(self) -> bool:
        """Whether nobody has news to tell still, so that datagrams are as long as on a quiet day."""
        return not any(view[3] for view in self.views().values())

    def changes(self) -> int:
        """Of all views, so far."""
        return sum(view[4] for view in self.views().values())

    def counts(self) -> list[dict[str, Any]]:
        return self.all("count")

    def rest(self, seconds: float) -> None:
        """Counts what a process costs by itself; before any router is started."""
        before = self.counts()
        gevent.sleep(seconds)
        pairs = zip(before, self.counts(), strict=True)
        self.idle = statistics.mean((b["cpu"] - a["cpu"]) / (b["at"] - a["at"]) for a, b in pairs)

    def between(self, seconds: float, meanwhile: Callable[[float], None] = gevent.sleep) -> Counted:
        """What is spent in so many seconds from now, for which `meanwhile` lets time pass."""
        changes = self.changes()
        before = self.counts()
        meanwhile(seconds)
        after = self.counts()
        spent = [
            (b["cpu"] - a["cpu"]) / (b["at"] - a["at"]) - self.idle
            for a, b in zip(before, after, strict=True)
        ]
        span = statistics.mean(b["at"] - a["at"] for a, b in zip(before, after, strict=True))
        each: dict[int, dict[str, list[float]]] = {}
        for a, b in zip(before, after, strict=True):
            for number, now in b["routers"].items():
                was = a["routers"][number]["sent"]
                each[int(number)] = {
                    kind: [(count - was.get(kind, [0, 0])[i]) / span for i, count in enumerate(counts)]
                    for kind, counts in now["sent"].items()
                }
        kinds = sorted({kind for one in each.values() for kind in one})
        mean = {
            kind: [statistics.mean(one.get(kind, [0.0, 0.0])[i] for one in each.values()) for i in (0, 1)]
            for kind in kinds
        }
        dropped = sum(
            sum(router["dropped"].values()) for said in after for router in said["routers"].values()
        )  # of all that it lived
        return Counted(
            span, sum(spent) / len(each), spent[0], mean, each[min(each)], dropped, self.changes() - changes
        )

    def resident(self) -> float:
        """Bytes a router: how much larger the process with most of them is than the one with the first."""
        sizes = {len(process.numbers): process.ask("count")["resident"] for process in self.processes}
        least, most = min(sizes), max(sizes)
        return float(sizes[most] - sizes[least]) / (most - least)

    def known(self, number: int) -> list[float]:
        """For each that lives, the seconds after which it had that dead one out of its view."""
        at, found = self.killed[number], list[float]()
        for said in self.counts():
            for router in said["routers"].values():
                found += [when - at for gone, when in router["removed"] if gone == number and when >= at]
        return found

    def reconfigure(self) -> tuple[float, float]:
        """Every router is given another name server: seconds from the first file's writing until the last
        router has asked there, and the processor seconds of one. A process plays its routers one after the
        other, so that its seconds are those of all its routers; in a fleet each has its own processor."""
        here = self.lists[1]
        here.asked.clear()
        here.asked_at.clear()
        living = [n for process in self.processes for n in process.numbers if n not in self.killed]
        began = time.monotonic()
        for number in living:
            self.configure(number, here.address, here.engines)
        said = self.all("reload", lambda p: [n for n in p.numbers if n not in self.killed])
        if not until(lambda: len(here.asked_at) >= len(living), ANSWER_WITHIN):
            raise RuntimeError(f"{len(here.asked_at)} of {len(living)} asked the new list")
        took = max(here.asked_at.values()) - began
        self.lists.reverse()
        return took, statistics.mean(cpu for one in said for cpu in one["reloaded"].values())


def _held_block() -> tuple[Any, int]:
    """A socket that keeps a port, free at every address, for one run: it is where routers reach all."""
    chance = random.Random(os.urandom(8))
    for _ in range(200):
        port = chance.randrange(FIRST_PORT, LAST_PORT)
        sock = socket.socket(type=socket.SOCK_DGRAM)
        try:
            with socket.socket(type=socket.SOCK_DGRAM) as anywhere:
                anywhere.bind(("0.0.0.0", port))  # nobody has it at any address
            sock.bind(("127.38.0.254", port))
            return sock, port
        except OSError:
            sock.close()
    raise RuntimeError("no free port")


# What is measured.


@dataclass
class Measured:
    """One size of group. deaths: seconds until each of the living knew of each of the killed; configs: until
    a configuration was in force at all; agreed: until all had agreed and had their parts."""

    count: int
    counted: Counted
    resident: float
    killed: list[int]
    deaths: list[float]
    configs: list[float]
    agreed: float
    failures: int


SIZES = {6: 2, 8: 2, 12: 2, 16: 2, 24: 2, 32: 2}  # routers, and processes for them
FULL_SIZES = {8: 2, 12: 2, 16: 2, 24: 2, 32: 2, 48: 3, 64: 3, 96: 6}
LISTS = (5, 10, 20, 40, 60)  # engines; and as many as an answer has room for
LISTENERS = 16  # routers that ask for a list whose size is varied
CONFIGURED = (250, 500, 1000, 2000, 4000, 8000)  # engines in a configuration
FULL_CONFIGURED = (*CONFIGURED, 16_000)


def group_of(count: int, processes: int, seed: int, seconds: float, kills: int) -> Measured:
    """A group from its start to its last death. RuntimeError where it doesn't agree in time."""
    with Hollows(count, processes, seed) as hollows:
        hollows.rest(0.5)
        began = time.monotonic()
        hollows.start()
        if not until(hollows.divided, AGREE_WITHIN):
            raise RuntimeError(f"{count} hollow routers did not agree in {AGREE_WITHIN:.0f} s")
        agreed = time.monotonic() - began
        counted = _quiet(hollows, seconds)
        resident = hollows.resident()
        configs = [hollows.reconfigure()[0] for _ in range(5)]
        deaths = list[float]()
        for number in killed_of(count, kills, seed):
            hollows.kill(number)
            living = count - len(hollows.killed)
            if not until(lambda number=number, living=living: len(hollows.known(number)) >= living):  # type: ignore[misc]
                raise RuntimeError(f"a death among {count} hollow routers was not known to all")
            deaths += hollows.known(number)
        failures = sum(process.failures() for process in hollows.processes)
        return Measured(count, counted, resident, list(hollows.killed), deaths, configs, agreed, failures)


def _quiet(hollows: Hollows, seconds: float) -> Counted:
    """The first count in which nobody's view changed, or the last of WINDOWS: a machine that lets a process
    wait for seconds has its routers suspected, which is no quiet day."""
    for _ in range(WINDOWS):
        if not until(hollows.told, AGREE_WITHIN):
            raise RuntimeError(
                f"{hollows.count} hollow routers did not end their news in {AGREE_WITHIN:.0f} s"
            )
        counted = hollows.between(seconds)
        if not counted.changes:
            break
    return counted


def killed_of(count: int, kills: int, seed: int) -> list[int]:
    """Never the lowest, whose death is also that of who divides."""
    return random.Random(seed).sample(range(1, count), kills)


def listed_cost(engines: int, seed: int, seconds: float) -> float:
    """Processor seconds a second of one router for a list of so many engines, which does not change."""
    with Hollows(LISTENERS, 1, seed, operator="", engines=engines) as hollows:
        hollows.rest(0.5)
        hollows.start()
        server = hollows.lists[0]
        if not until(lambda: len(server.asked) >= LISTENERS and min(server.asked.values()) > 1):
            raise RuntimeError("the list was not asked for")
        return hollows.between(seconds).cpu


def beyond_bound(engines: int) -> tuple[int, int, int]:
    """A list of that many engines is told to a router that knows one engine fewer, once it has asked again:
    bytes of the answer, engines that the router has after it, and its lines on answers it couldn't read."""
    with Hollows(1, 1, operator="", engines=engines - 1) as hollows:
        hollows.start()
        server = hollows.lists[0]
        server.tell(engines_of(engines), 2)
        server.asked.clear()

        def has() -> int:
            listed: list[int] = hollows.counts()[0]["routers"]["0"]["list"]
            return listed[1]

        # Taken, or at the third question two answers are behind it.
        until(lambda: has() == engines or max(server.asked.values(), default=0) > 2)
        lines = hollows.processes[0].log.read_text().count("name server response unreadable")
        return answer_bytes(engines), has(), lines


def configured_costs(sizes: Iterable[int], seed: int) -> list[float]:
    """Processor seconds of one router to take over a configuration, by the engines that it names; the median
    of some."""
    with Hollows(1, 1, seed, operator="(budgets)", engines=1) as hollows:
        hollows.start()
        costs: dict[int, list[float]] = {size: [] for size in sizes}
        for _ in range(15):  # in turn, so that a busy moment of the machine does not fall on one size alone
            for size, told in costs.items():
                hollows.configure(0, hollows.lists[1].address, engines_of(size))
                told.append(hollows.processes[0].ask("reload", [0])["reloaded"]["0"])
        return [statistics.median(told) for told in costs.values()]


@dataclass
class Run:
    """All that one run measured."""

    groups: list[Measured]
    lists: list[tuple[int, float]]
    configured: list[tuple[int, float]]


@functools.cache
def measured(seed: int, quick: bool) -> Run:
    """Everything, once for a seed. Several groups at a time, within ROOM."""
    sizes, engines = (SIZES, CONFIGURED) if quick else (FULL_SIZES, FULL_CONFIGURED)
    seconds, kills = (3.0, 2) if quick else (10.0, 3)
    lists = (*LISTS, most_listed())
    going = [
        gevent.spawn(group_of, count, sizes[count], seed, seconds, kills)
        for count in sorted(sizes, reverse=True)
    ]
    listing = [gevent.spawn(listed_cost, size, seed, 3.0 if quick else 6.0) for size in lists]
    configuring = gevent.spawn(configured_costs, engines, seed)
    all_of_them: list[Any] = [*going, *listing, configuring]
    gevent.joinall(all_of_them)
    groups = sorted((g.get() for g in going), key=lambda m: m.count)
    costs = list(zip(lists, (g.get() for g in listing), strict=True))
    return Run(groups, costs, list(zip(engines, configuring.get(), strict=True)))


def slopes(seed: int, quick: bool) -> list[Slope]:
    return slopes_of(measured(seed, quick), seed)


def slopes_of(run: Run, seed: int) -> list[Slope]:
    groups, routers = run.groups, "routers in a group"
    counts = [float(m.count) for m in groups]

    def against(name: str, what: str, value: Callable[[Measured], float]) -> Slope:
        return fit(name, what, routers, "processes", counts, [value(m) for m in groups], seed)

    def of_each(sent: dict[str, list[float]], i: int) -> float:
        return sum(counted[i] for counted in sent.values())

    return [
        against("hollow_cpu", "processor seconds a second of one router", lambda m: m.counted.cpu),
        against("hollow_bytes", "bytes a second sent by one router", lambda m: of_each(m.counted.sent, 1)),
        against(
            "hollow_datagrams", "datagrams a second sent by one router", lambda m: of_each(m.counted.sent, 0)
        ),
        against(
            "hollow_divider_bytes",
            "bytes a second sent by the router that divides",
            lambda m: of_each(m.counted.first, 1),
        ),
        against(
            "hollow_divider_cpu",
            "processor seconds a second of the router that divides",
            lambda m: m.counted.first_cpu,
        ),
        against("hollow_state", "resident bytes of one router", lambda m: m.resident),
        against(
            "hollow_death_seconds",
            "seconds until a death is known, median",
            lambda m: statistics.median(m.deaths),
        ),
        against(
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


DEATHS = 6  # in simulated time, against as many as the hollow group had


def compared(seed: int, quick: bool) -> list[dict[str, Any]]:
    """Simulated time beside hollow processes, at the two largest sizes: what, simulated, hollow, difference
    (of the hollow, as a part of the simulated). Membership's datagrams alone: simulated time has no budgets.
    Both are counted once all news is told. Of deaths also low and high, the medians of the soonest and of the
    latest known in simulated time: two or three of them differ by chance alone."""
    run, rows = measured(seed, quick), list[dict[str, Any]]()
    for m in run.groups[-2:]:
        group = Group(m.count, seed)
        while (
            not group.agreed()
            or not group.dividers()
            or any(r.members.gossip.transmissions for r in group.routers)
        ):
            group.run(1.0)
        bytes_before, sent, at = list(group.sent_bytes), group.sent, group.now
        group.run(10.0)
        span, hollow = group.now - at, m.counted
        spent = [
            (after - before) / span for before, after in zip(bytes_before, group.sent_bytes, strict=True)
        ]
        datagrams = (group.sent - sent) / span / m.count
        known = [simulated_death(group, number) for number in killed_of(m.count, DEATHS, seed)]
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


def simulated_death(group: Group, number: int) -> list[float]:
    """Seconds until each of the living had it out of its view; it is started anew then."""
    at, first = group.now, dict[int, float]()
    group.changes.clear()
    group.kill(number)
    living = len(group.living())
    while len(first) < living and group.now < at + 20.0:
        group.run(0.5)
        for when, by, change in group.changes:
            if change.router == number and change.state is MemberState.DEAD:
                first.setdefault(by, when - at)
    group.start(number)
    while not group.agreed():
        group.run(0.5)
    group.run(1.0)
    return list(first.values())
