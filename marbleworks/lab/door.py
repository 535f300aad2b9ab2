"""The door's experiment: three routers, six engines, fifty quiet members and one that floods; with and
without it.

Then two floods at once, and five thousand clients without a member, each from its own network: in the plain
model of the decisions, and on sockets from as many loopback networks.
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

from marbleworks.fair_queue.admission import AdmissionController, AdmissionReason, Arrival, Bounds
from marbleworks.fair_queue.flow_classifier import FlowClassifier
from marbleworks.lab.faultnet import FaultNet
from marbleworks.lab.load import Ask, Caller, arrivals
from marbleworks.lab.report import Report, percentile, spread
from marbleworks.lab.stage import Stage, divided, until

QUIET = [f"quiet-{n:02d}" for n in range(50)]
FLOODS = ["flood-a", "flood-b"]
ENGINES, CORES, ROUTERS = 6, 2, 3
ASKS = 1.5  # a second, of each quiet member
WORK = (20, 120)  # milliseconds, of all look-ups
ENDS = ("answered", "shed", "failed", "lost", "error")
DOOR = "(door (waiting 2000) (memory 4 MB) (bookings 4000) (trace on))"


@dataclass
class Day:
    """What a day of load came to."""

    name: str
    asks: dict[str, list[Ask]] = field(default_factory=lambda: defaultdict(list))  # by member
    came_back: list[tuple[float, float, bool]] = field(default_factory=list)  # told, waited in all, let in
    used: float = 0.0  # part of the engines' cores
    waiting: float = 0.0
    log: list[dict[str, str]] = field(default_factory=list)

    def quiet(self) -> list[Ask]:
        return [ask for name in QUIET for ask in self.asks[name]]


def play(name: str, operator: str, flood: dict[str, float], seconds: float, seed: int) -> Day:
    """flood: commands a second by member."""
    day = Day(name)
    net = FaultNet(ROUTERS, seed) if "(peers)" in operator else None  # the fleet's relays reach all or nobody
    members = [*QUIET, *FLOODS]
    with Stage(ENGINES, CORES, operator, 5.0, tenants=members, routers=ROUTERS, net=net) as stage:
        chance, back = np.random.default_rng(seed), np.random.default_rng(seed + 1)
        free: dict[tuple[str, int], list[Caller]] = defaultdict(list)
        if "(peers)" in operator:
            until(lambda: divided(stage, "engine s-0"))

        def one(member: str, comes_back: bool) -> None:
            at = int(back.integers(ROUTERS))
            caller = (
                free[member, at].pop()
                if free[member, at]
                else Caller(stage.routers[at].address, member, seed)
            )
            work = int(back.uniform(*WORK))
            what = int(back.integers(1_000_000_000))
            ask = caller.ask("date-lookup", work, 600, what)
            day.asks[member].append(ask)
            if comes_back and ask.end == "shed" and ask.after is not None and ask.after < 5.0:
                gevent.sleep(ask.after)
                again = caller.ask("date-lookup", work, 600, what)
                whole = time.monotonic() - ask.at - again.took
                day.came_back.append((ask.after, whole, again.end == "answered"))
            free[member, at].append(caller)

        going: list[gevent.Greenlet[..., None]] = []
        for member in QUIET:
            going += arrivals(chance, ASKS, seconds, partial(one, member, True))
        for member, rate in flood.items():
            going += arrivals(chance, 0.3 * rate, seconds, partial(one, member, True))
            going += arrivals(chance, 0.7 * rate, seconds, partial(one, member, False))
        gevent.sleep(seconds)
        held = sum(engine["held"] for engine in stage.tell_fleet(stats=True))
        day.used = held / (seconds * ENGINES * CORES)
        gevent.joinall(going, timeout=12)
        for router in stage.routers:
            day.log += [json.loads(line) for line in router.log().splitlines() if '"event": "door"' in line]
    return day


def grouped(peers: bool, seconds: float, seed: int) -> list[float]:
    """Two floods, one at all three routers and one at two of them; the work that each was given."""
    done = {name: 0.0 for name in FLOODS}
    operator = f"(door (peers {'on' if peers else 'off'}))"
    with Stage(ENGINES, CORES, operator, 5.0, tenants=FLOODS, routers=ROUTERS) as stage:
        chance = np.random.default_rng(seed)

        def one(member: str, at: int) -> None:
            caller = Caller(stage.routers[at].address, member, seed)
            ask = caller.ask(
                "date-lookup", int(chance.uniform(*WORK)), 600, int(chance.integers(1_000_000_000))
            )
            if ask.end == "answered" and began + 1.0 < ask.at < began + seconds:
                done[member] += ask.work / 1000.0

        going: list[gevent.Greenlet[..., None]] = []
        began = time.monotonic()
        for at in range(ROUTERS):
            for member in FLOODS[: 1 if at == 2 else 2]:
                going += arrivals(chance, 120.0, seconds, partial(one, member, at))
        gevent.joinall(going, timeout=seconds + 10)
    return list(done.values())


def crowd(report: Report, count: int, seed: int) -> None:
    """So many clients, each of another loopback network, connected to three routers, ask within one moment;
    who is told a time comes back then, once."""
    operator = "(door (waiting 2000) (memory 4 MB) (bookings 4000))"
    asks, again = list[Ask](), list[Ask]()
    with Stage(ENGINES, CORES, operator, 5.0, 4 * count, tenants=[], routers=ROUTERS) as stage:
        rest = max(router.memory() for router in stage.routers)
        callers = [
            Caller(stage.routers[n % ROUTERS].address, "", seed, f"127.{1 + n // 250}.{n % 250}.9")
            for n in range(count)
        ]
        for at in range(0, count, 100):
            gevent.joinall([gevent.spawn(caller.connect) for caller in callers[at : at + 100]])
        idle = max(router.memory() for router in stage.routers)

        def one(caller: Caller, what: int) -> None:
            ask = caller.ask("date-lookup", 20, 600, what)
            asks.append(ask)
            if ask.end == "shed" and ask.after is not None and ask.after < 5.0:
                gevent.sleep(ask.after)
                again.append(caller.ask("date-lookup", 20, 600, what))

        going = [gevent.spawn(one, caller, n) for n, caller in enumerate(callers)]
        peak = idle
        while not all(one.ready() for one in going):
            peak = max(peak, *(router.memory() for router in stage.routers))
            gevent.sleep(0.1)
        failures = sum(router.log().count('"event": "failed"') for router in stage.routers)
    ends = {
        end: sum(ask.end == end for ask in asks) for end in ("answered", "shed", "failed", "lost", "error")
    }
    kept = sum(ask.end == "answered" for ask in again) / max(len(again), 1)
    report.figures |= {f"crowd_{end}": n for end, n in ends.items()}
    report.figures |= {
        "crowd_came_back": len(again),
        "crowd_came_back_answered": kept,
        "crowd_rest_mb": rest,
        "crowd_connected_mb": idle,
        "crowd_peak_mb": peak,
    }
    report.rows.append(
        {
            "day": f"{count} members at once",
            "quiet asked": count,
            "flood answered": ends["answered"],
            "in time": f"{service(asks):.3f}",
        }
    )
    report.claim(
        f"{count} members at once: commands without an end, exceptions",
        ends["lost"] + ends["error"] + failures,
        0,
    )
    report.claim(f"{count} members at once: who came back when told was answered", kept, 0.95, least=True)
    report.claim(f"{count} members at once: MB over what their connections take", peak - idle, 16.0)


def service(asks: list[Ask]) -> float:
    return sum(ask.in_time for ask in asks) / max(len(asks), 1)


def p99(asks: list[Ask]) -> float:
    return percentile([ask.took for ask in asks if ask.end == "answered"], 99)


def jain(values: list[float]) -> float:
    """1 where all have the same."""
    return sum(values) ** 2 / (len(values) * sum(v * v for v in values)) if any(values) else 0.0


def work_of(asks: list[Ask]) -> float:
    return sum(ask.work for ask in asks if ask.end == "answered") / 1000.0


class Yard:
    """In place of engines behind one door or several, without sockets: work is shared evenly among all that
    runs. passes: whether a summary from one door gets to another."""

    def __init__(self, cores: float, bounds: Bounds, doors: int = 1) -> None:
        self.cores, self.bounds, self.now = cores, bounds, 0.0
        self.running: dict[str, tuple[Gate, list[float]]] = {}  # by ref: work left, and in all
        self.away, self.done, self.ended = 0, 0, dict[str, int]()
        self.passes: Callable[[int, int], bool] = lambda sender, to: True
        self.gates: list[Gate] = []
        self.gates += [Gate(self, n, doors) for n in range(doors)]

    @property
    def door(self) -> AdmissionController:
        return self.gates[0].door

    def ends(self, ref: str) -> None:
        self.ended[ref] = self.ended.get(ref, 0) + 1

    def restart(self, number: int) -> None:
        """A router is killed with all that it has, and begins anew."""
        self.running = {r: one for r, one in self.running.items() if one[0].number != number}
        self.gates[number] = Gate(self, number, len(self.gates))

    def work(self, seconds: float) -> None:
        self.now += seconds
        part = min(self.cores / max(len(self.running), 1), 1.0) * seconds
        over = []
        for ref, (_, left) in self.running.items():
            left[0] -= part
            if left[0] <= 0:
                over.append(ref)
        for ref in over:
            gate, (_, took) = self.running.pop(ref)
            self.done += 1
            self.ends(ref)
            gate.door.answered(ref, took, took, self.now)
        for gate in self.gates:
            gate.door.tick(self.now)


class Gate:
    """One door of a yard, and what it asks of whoever stands behind it."""

    def __init__(self, yard: Yard, number: int, doors: int) -> None:
        self.yard, self.number = yard, number
        self.door = AdmissionController(
            self, FlowClassifier(512, 1 + number, {}, {}), yard.bounds, yard.cores / doors, 5.0
        )

    def come(self, new: Arrival) -> None:
        self.door.arrive(new, self.yard.now)

    def let_in(self, ref: str) -> None:
        inside = self.door.inside[ref]
        self.yard.running[ref] = self, [inside.work, inside.work]

    def turn_away(self, ref: str, after: float) -> None:
        self.yard.away += 1
        self.yard.ends(ref)

    def tell_peers(self, data: bytes) -> None:
        for gate in self.yard.gates:
            if gate is not self and self.yard.passes(self.number, gate.number):
                gate.door.heard(self.number, data, self.yard.now)

    def trace(self, ref: str, member: str, why: AdmissionReason, seconds: float) -> None: ...

    def broke(self, ref: str, member: str, cause: str) -> None: ...


def arrival(n: int, address: str = "", name: str = "m") -> Arrival:
    return Arrival(str(n), name, address, 0, 0.05, 1, 200, 0.4, 1.8, n)


def cost(count: int, full: bool) -> float:
    """Median seconds of the door's own work for a command from its coming to its end."""
    yard, took = Yard(8.0, Bounds(2000, 4e6, 4000, False, False)), list[float]()
    chance = random.Random(1)
    if full:
        for n in range(1500):
            yard.door.arrive(arrival(-n - 1, name=f"m{n % 50}"), 0.0)
    for n in range(count):
        ref, member, now = str(n), f"m{chance.randrange(50)}", n * 1e-3
        one = Arrival(ref, member, "", n % 8, 0.05, 1, 200, 30.0, 60.0, n)
        began = time.perf_counter()
        yard.door.arrive(one, now)
        if full and yard.running:
            ref = next(iter(yard.running))
            del yard.running[ref]
        yard.door.answered(ref, 0.05, 0.05, now)
        took.append(time.perf_counter() - began)
        if not full:
            yard.running.clear()
    return percentile(took, 50)


def burst(report: Report) -> None:
    """Five thousand clients at once, each of another network."""
    bounds = Bounds(2000, 2e6, 4000, False, False)
    yard = Yard(12.0, bounds)
    peak = slowest = 0.0
    for n in range(5000):
        began = time.perf_counter()
        yard.door.arrive(arrival(n, f"10.{n // 250}.{n % 250}.9", ""), yard.now)
        slowest = max(slowest, time.perf_counter() - began)
        peak = max(peak, float(yard.door.fair.size))
        if n % 50 == 0:
            yard.work(0.005)
    for _ in range(400):
        yard.work(0.01)
    report.figures |= {
        "burst_done": yard.done,
        "burst_turned_away": yard.away,
        "burst_peak_bytes": peak,
        "burst_slowest_arrival_ms": 1e3 * slowest,
        "burst_queues": len(yard.door.fair.flows),
    }
    report.claim("bytes that wait at the door in a burst over the bound", peak / bounds.size, 1.0)
    report.claim("commands of the burst without an end", 5000 - yard.done - yard.away, 0)


def run(report: Report, seed: int, quick: bool) -> None:
    seconds = 4.0 if quick else 20.0
    left = ENGINES * CORES - len(QUIET) * ASKS * sum(WORK) / 2000
    flood = 10 * left / (sum(WORK) / 2000)  # ten times what is left
    flood = min(flood, 900.0)  # what three routers on this machine take in
    days = {
        "alone": play("no flood, door on", DOOR, {}, seconds, seed),
        "off": play("one flood, door off", "", {FLOODS[0]: flood}, seconds, seed),
        "on": play("one flood, door on", DOOR, {FLOODS[0]: flood}, seconds, seed),
        "two": play("two floods, door on", DOOR, {name: flood / 2 for name in FLOODS}, seconds, seed),
    }
    for key, day in days.items():
        quiet, floods = day.quiet(), [ask for name in FLOODS for ask in day.asks[name]]
        report.rows.append(
            {
                "day": day.name,
                "quiet asked": len(quiet),
                "in time": f"{service(quiet):.3f}",
                "quiet p50 ms": round(1e3 * percentile([a.took for a in quiet if a.end == "answered"], 50)),
                "quiet p99 ms": round(1e3 * p99(quiet)),
                "flood asked": len(floods),
                "flood answered": sum(ask.end == "answered" for ask in floods),
                "cores used": f"{day.used:.3f}",
            }
        )
        report.figures |= {f"{key}_quiet_in_time": service(quiet), f"{key}_quiet_p99_ms": 1e3 * p99(quiet)}
        report.figures[f"{key}_used"] = day.used
    on, alone, off = days["on"], days["alone"], days["off"]
    report.claim("quiet members' service lost to a flood", service(alone.quiet()) - service(on.quiet()), 0.01)
    ratio = p99(on.quiet()) / max(p99(alone.quiet()), 1e-3)
    report.claim("quiet members' p99 with a flood over without", ratio, 1.10)
    shares = [work_of(days["two"].asks[name]) for name in FLOODS]
    report.claim("Jain's index over the two floods", jain(shares), 0.95, least=True)
    back = [entry for day in (on, days["two"]) for entry in day.came_back]
    kept = sum(let_in for _, _, let_in in back) / max(len(back), 1)
    differ = [abs(waited - told) for told, waited, _ in back]
    report.figures |= {
        "came_back": len(back),
        "told_against_waited_p50_s": percentile(differ, 50),
        "told_against_waited_p95_s": percentile(differ, 95),
        "flood_a_second": flood,
    }
    report.claim("promises kept", kept, 0.99, least=True)
    report.claim("engines' use lost with the door", off.used - on.used, 0.02)
    if not quick:
        for peers in (False, True):
            shares = grouped(peers, 12.0, seed)
            report.figures[f"group_share_peers_{'on' if peers else 'off'}"] = shares[1] / max(
                sum(shares), 1e-9
            )
        off_by = abs(report.figures["group_share_peers_on"] - 0.5) / 0.5
        report.claim("a member's share of the group with peers, off by", off_by, 0.15)
    report.figures["cost_idle_us"] = 1e6 * cost(4000, False)
    report.figures["cost_flood_us"] = 1e6 * cost(4000, True)
    report.claim("microseconds for a command when idle", report.figures["cost_idle_us"], 15)
    report.claim("microseconds for a command under flood", report.figures["cost_flood_us"], 40)
    burst(report)
    crowd(report, 1500 if quick else 5000, seed)
    took = {day.name: [a.took for a in day.quiet() if a.end == "answered"] for day in (alone, off, on)}
    series = {name: spread(values) for name, values in took.items() if values}
    report.charts.append(("quiet members' look-ups", "seconds", "share answered", series))
    told = sorted((told, waited) for told, waited, _ in back)
    report.charts.append(
        (
            "times told and waited",
            "told, s",
            "waited, s",
            {"clients": ([t for t, _ in told], [w for _, w in told])},
        )
    )
