"""The spool's experiment: market reports of 200 KB to 4 MB, readers at 10 KB/s, live look-ups beside them.

Parts, each on a stage of its own: live look-ups without and with the spool busy; the same reports without the
spool; five hundred results open at once; a spool that is full; a router that is killed again and again.
"""

from __future__ import annotations

import time

import gevent
import numpy as np
from gevent import Timeout, socket
from numpy.random import Generator

from marbleworks.lab.fleet import FORGOTTEN, result_of
from marbleworks.lab.kills import rounds
from marbleworks.lab.load import Ask, Caller, Crowd, arrivals
from marbleworks.lab.report import Report, percentile, spread
from marbleworks.lab.stage import TENANTS, Stage
from marbleworks.lab.standins import RpcClient

OPERATOR = '(background (bytes 50 MB/s)) (spool (folder "FOLDER") (room 2 GB) (share 100 %) (page 24 KB))'
FULL = """
(spool (folder "FOLDER") (room 4 MB) (share 100 %) (keep 2 s) (unread 2 s) (longest 4 s) (expect 100 KB))
"""
FULL_REPORTS = 30.0  # a second, of 200 to 400 KB: about twice what that room takes
LOOK_UPS = 80.0  # a second
REPORTS = 3.0  # a second
PACE = 10_000.0  # bytes a second that a reader takes
PART = 48_000  # bytes of a result that is not kept, at most


def report_size(chance: Generator) -> int:
    """200 KB to 4 MB, small ones oftener: the logarithm is uniform."""
    return int(np.exp(chance.uniform(np.log(200e3), np.log(4e6))))


def look_up(crowd: Crowd, chance: Generator, seen: list[Ask]) -> None:
    seen.append(crowd.ask("date-lookup", int(chance.uniform(20, 120)), 600))


def slow_reader(
    ask: Ask, address: tuple[str, int], seconds: float, pages: list[tuple[Ask, int, bytes]]
) -> None:
    """Reads a result page by page as a van on a weak link does, until the time is over."""
    until = time.monotonic() + seconds
    try:
        client = RpcClient(address)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        for number in range(1, int(ask.told["pages"]) + 1):
            fields = {"spool": ask.told["spool"], "page": str(number), "tenant": ask.tenant}
            client.send(0, number, "page", [fields])
            said = None
            while said is None:
                if time.monotonic() > until:
                    client.sock.close()
                    return
                data = client.sock.recv(1000)
                if not data:
                    return
                client.unpacker.feed(data)
                said = next(iter(client.unpacker), None)
                gevent.sleep(len(data) / PACE)
            if said[2] is None:
                pages.append((ask, number, said[3][0]))
    except (OSError, Timeout):
        return


def wrong_bytes(pages: list[tuple[Ask, int, bytes]], page: int = 24_000) -> int:
    """Pages that are not what the engine gave: they must follow one another in the result."""
    wrong, at = 0, dict[str, int]()
    for ask, number, body in pages:
        whole = result_of(ask.ref, ask.size)
        start = at.get(f"{ask.ref}/{number}", 0 if number == 1 else -1)
        if start < 0 or whole[start : start + len(body)] != body or len(body) > page:
            wrong += 1
        at[f"{ask.ref}/{number + 1}"] = start + len(body)
    return wrong


def live(report: Report, seconds: float, seed: int) -> None:
    """Look-ups alone, then the same beside reports that are spooled and read slowly."""
    with Stage(engines=4, cores=16, operator=OPERATOR) as stage:
        taken: dict[str, list[Ask]] = {}
        reports: list[Ask] = []
        pages: list[tuple[Ask, int, bytes]] = []
        crowd = Crowd(stage.router.address, seed)
        for name in ("warm-up", "alone", "beside"):
            chance, work = np.random.default_rng(seed), np.random.default_rng(seed + 1)
            seen = taken[name] = []
            length = 1.5 if name == "warm-up" else seconds

            def one(work: Generator = work, seen: list[Ask] = seen) -> None:
                look_up(crowd, work, seen)

            def report_asked(chance: Generator = chance) -> None:
                ask = crowd.ask(
                    "market-report", int(chance.uniform(100, 600)), report_size(chance), spool="1"
                )
                reports.append(ask)
                if ask.end == "answered":
                    slow_reader(ask, stage.router.address, seconds, pages)

            going = arrivals(chance, LOOK_UPS, length, one)
            if name == "beside":
                going += arrivals(chance, REPORTS, length, report_asked)
            gevent.joinall(going, timeout=length + 30)
        stats = stage.tell_fleet(stats=True)
        freed = [after for engine in stats for after in engine["freed_after"]]
        caller = Caller(stage.router.address, "oslo", seed + 9)
        lost = wrong = 0
        for ask in [ask for ask in reports if ask.end == "answered"][:40]:
            caller.tenant = ask.tenant
            bodies = [caller.page(ask.told["spool"], k) for k in range(1, int(ask.told["pages"]) + 1)]
            lost += any(isinstance(body, str) for body in bodies)
            wrong += b"".join(b for b in bodies if isinstance(b, bytes)) != result_of(ask.ref, ask.size)
        log = stage.router.log()
    alone = [ask.took for ask in taken["alone"] if ask.end == "answered"]
    beside = [ask.took for ask in taken["beside"] if ask.end == "answered"]
    answered = [ask for ask in reports if ask.end == "answered"]
    for name, values in (("live_alone", alone), ("live_beside", beside), ("engine_freed", freed)):
        report.figures[f"{name}_p50_ms"] = 1e3 * percentile(values, 50)
        report.figures[f"{name}_p99_ms"] = 1e3 * percentile(values, 99)
    report.figures |= {
        "reports_asked": len(reports),
        "reports_answered": len(answered),
        "pages_read_slowly": len(pages),
        "engine_freed_max_ms": 1e3 * max(freed, default=0.0),
        "spooled_mb_a_second": sum(ask.size for ask in answered) / seconds / 1e6,
        "router_failures": float(log.count('"event": "failed"')),
    }
    report.claim(
        "engine freed after its result is complete, p99, ms", report.figures["engine_freed_p99_ms"], 50
    )
    ratio = percentile(beside, 99) / percentile(alone, 99)
    report.claim("live look-ups' p99 beside a busy spool over alone", ratio, 1.1)
    report.claim("wrong bytes served", wrong + wrong_bytes(pages), 0)
    report.claim("reports answered over asked", len(answered) / max(len(reports), 1), 0.99, least=True)
    report.claim("answered results that could not be read to the end", lost, 0)
    report.rows.append(_row("with the spool", stats, len(answered), len(reports), answered))
    series = {"alone": spread(alone), "beside a busy spool": spread(beside)}
    report.charts.append(("live look-ups", "seconds", "share answered", series))


def _row(
    name: str, stats: list[dict[str, float]], answered: int, asked: int, whole: list[Ask]
) -> dict[str, object]:
    held, took = sum(engine["held_large"] for engine in stats), [ask.took for ask in whole]
    return {
        "day": name,
        "reports asked": asked,
        "answered": answered,
        "answered an engine": round(answered / len(stats), 2),
        "engine-seconds held": round(held, 2),
        "held a report": round(held / answered, 3) if answered else "-",
        "median s to the answer": round(percentile(took, 50), 2) if took else "-",
    }


def baseline(report: Report, seconds: float, patience: float, seed: int) -> None:
    """The same reports without the spool: asked whole, and asked in parts that a router without it may give.

    A part of a report makes its engine read from the start to the part's end, so part k of n costs k/n of the
    work. Parts are asked for back to back, which favours them: a reader at its pace would not be done that
    day."""
    for name in ("without it, whole", "without it, in parts"):
        with Stage(engines=4, cores=16) as stage:
            chance, crowd = np.random.default_rng(seed), Crowd(stage.router.address, seed)
            whole: list[Ask] = []
            asked = 0

            def one(
                chance: Generator = chance, crowd: Crowd = crowd, whole: list[Ask] = whole, name: str = name
            ) -> None:
                nonlocal asked
                asked += 1
                work, size = int(chance.uniform(100, 600)), report_size(chance)
                if name.endswith("whole"):
                    ask = crowd.ask("market-report", work, size)
                    whole += [ask] if ask.end == "answered" else []
                    return
                began, parts = time.monotonic(), -(-size // PART)
                for k in range(1, parts + 1):
                    ask = crowd.ask("market-report", max(work * k // parts, 1), PART - 6_000)
                    if ask.end != "answered":
                        return
                ask.took = time.monotonic() - began
                whole.append(ask)

            going = arrivals(chance, REPORTS, seconds, one)
            gevent.joinall(going, timeout=seconds + patience)
            gevent.killall(going)
            gevent.sleep(FORGOTTEN + 0.3)  # what nobody asks for any more is let go by then
            stats = stage.tell_fleet(stats=True)
        report.rows.append(_row(name, stats, len(whole), asked, whole))
        key = "baseline_" + ("whole" if name.endswith("whole") else "parts")
        report.figures[key + "_engine_seconds"] = sum(engine["held_large"] for engine in stats)
        report.figures[key + "_answered"] = len(whole)


def memory(report: Report, count: int, seed: int) -> None:
    """So many results open at once, each with a connection that has read a page."""
    with Stage(engines=4, cores=16, operator=OPERATOR) as stage:
        crowd, answered = Crowd(stage.router.address, seed), list[Ask]()
        for _ in range(20):
            crowd.ask("date-lookup", 5, 600)
        rest, peak, curve = stage.router.memory(), 0.0, list[tuple[float, float]]()
        readers: list[Caller] = []

        def work(share: int) -> None:
            for _ in range(share):
                ask = crowd.ask("market-report", 5, 200_000, spool="1")
                if ask.end == "answered":
                    answered.append(ask)
                    reader = Caller(stage.router.address, ask.tenant, seed)
                    reader.page(ask.told["spool"], 2)
                    readers.append(reader)

        going = [gevent.spawn(work, count // 10) for _ in range(10)]
        while not all(one.ready() for one in going):
            peak = max(peak, stage.router.memory())
            curve.append((float(len(answered)), stage.router.memory() - rest))
            gevent.sleep(0.1)
        end = stage.router.memory()
    report.figures |= {
        "memory_rest_mb": rest,
        "memory_peak_mb": peak,
        "memory_open_mb": end,
        "open_spools": len(answered),
    }
    report.claim(f"router's memory above rest with {count} open spools, MB", max(peak, end) - rest, 40)
    report.claim("open spools", len(answered), count, least=True)
    series = {"above rest": ([x for x, _ in curve], [y for _, y in curve])}
    report.charts.append(("memory of the router", "open spools", "MB", series))


def full(report: Report, seconds: float, seed: int) -> None:
    """More reports than there is room for; whoever is turned away comes back when told."""
    with Stage(engines=4, cores=16, operator=FULL) as stage:
        crowd, chance = Crowd(stage.router.address, seed), np.random.default_rng(seed)
        before, during = list[Ask](), list[Ask]()
        came_back: list[
            tuple[bool, bool, float]
        ] = []  # whether a time was promised, and whether it was let in
        gevent.joinall(arrivals(chance, LOOK_UPS, seconds / 2, lambda: look_up(crowd, chance, before)))
        first: list[Ask] = []

        def one() -> None:
            size, work = int(chance.uniform(200e3, 400e3)), int(chance.uniform(20, 60))
            caller = Caller(stage.router.address, TENANTS[len(first) % len(TENANTS)], seed)
            ask = caller.ask("market-report", work, size, spool="1")
            first.append(ask)
            if ask.end == "shed" and ask.after is not None:
                gevent.sleep(ask.after)
                again = caller.ask("market-report", work, size, spool="1")
                came_back.append((ask.after < 5.0, again.end == "answered", ask.after))

        going = arrivals(chance, FULL_REPORTS, seconds, one)
        going += arrivals(chance, LOOK_UPS, seconds, lambda: look_up(crowd, chance, during))
        gevent.joinall(going, timeout=seconds + 20)
        log = stage.router.log()
    service = [sum(ask.in_time for ask in asks) / max(len(asks), 1) for asks in (before, during)]
    promised = [let_in for told, let_in, _ in came_back if told]
    shed = sum(ask.end == "shed" for ask in first)
    report.figures |= {
        "full_reports": len(first),
        "full_shed": shed,
        "full_promised": len(promised),
        "full_told_the_longest": len(came_back) - len(promised),
        "full_let_in": sum(promised) / max(len(promised), 1),
        "full_service_before": service[0],
        "full_service_during": service[1],
        "full_failed": sum(ask.end in ("failed", "lost") for ask in first),
        "full_disk_errors": log.count("spool write failed"),
    }
    report.claim("with the spool full, others' service lost", service[0] - service[1], 0.01)
    report.claim(
        "let in of those that came back when told", sum(promised) / max(len(promised), 1), 0.95, least=True
    )
    report.claim("clients that were told a time", len(promised), 10, least=True)
    report.claim("reports failed or lost with the spool full", report.figures["full_failed"], 0)


def run(report: Report, seed: int, quick: bool) -> None:
    live(report, 2.5 if quick else 25.0, seed)
    baseline(report, 1.0 if quick else 10.0, 1.5 if quick else 90.0, seed)
    memory(report, 200 if quick else 500, seed)
    full(report, 3.0 if quick else 20.0, seed)
    figures = rounds(3 if quick else 200, seed)
    report.figures |= {f"kills_{name}": float(value) for name, value in figures.items()}
    report.claim("answered spools lost after kills", figures["lost"], 0)
    report.claim("wrong results after kills", figures["wrong"], 0)
