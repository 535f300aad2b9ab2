"""Experiment on the spool: market reports of 200 KB to 4 MB, readers at 10 KB/s, and look-ups beside them.

Each part has a cluster of its own: look-ups with and without a busy spool, the same reports without a spool,
five hundred open results, a full spool, and a router that is killed repeatedly.
"""

from __future__ import annotations

import time

import gevent
import numpy as np
from gevent import Timeout, socket
from numpy.random import Generator

from marbleworks.lab.fleet import ABANDONED_RUN_TIMEOUT_S, result_of
from marbleworks.lab.kills import rounds
from marbleworks.lab.load import LoadClient, LoadClientPool, RequestOutcome, schedule_arrivals
from marbleworks.lab.report import Report, distribution, percentile
from marbleworks.lab.stage import TENANTS, LabCluster
from marbleworks.lab.standins import RpcClient

SPOOL_ON = '(background (bytes 50 MB/s)) (spool (folder "FOLDER") (room 2 GB) (share 100 %) (page 24 KB))'
SMALL_SPOOL = """
(spool (folder "FOLDER") (room 4 MB) (share 100 %) (keep 2 s) (unread 2 s) (longest 4 s) (expect 100 KB))
"""
FULL_REPORT_RATE = 30.0  # reports of 200 to 400 KB per second; about twice what `SMALL_SPOOL` has room for
LOOK_UP_RATE = 80.0  # per second
REPORT_RATE = 3.0  # per second
READER_BYTES_PER_S = 10_000.0  # of a slow reader
MAX_UNSPOOLED_BYTES = 48_000  # largest result that can be requested without the spool


def draw_report_size(rng: Generator) -> int:
    """Draws a size of 200 KB to 4 MB whose logarithm is uniform, so that small sizes are more frequent."""
    return int(np.exp(rng.uniform(np.log(200e3), np.log(4e6))))


def send_look_up(clients: LoadClientPool, rng: Generator, outcomes: list[RequestOutcome]) -> None:
    """Sends a look-up and records its outcome."""
    outcomes.append(clients.send_request("date-lookup", int(rng.uniform(20, 120)), 600))


def read_slowly(
    request: RequestOutcome,
    address: tuple[str, int],
    seconds: float,
    pages: list[tuple[RequestOutcome, int, bytes]],
) -> None:
    """Reads a result page by page at `READER_BYTES_PER_S`.

    Args:
        request: The answered request.
        address: Address of the router.
        seconds: Time after which reading stops.
        pages: Receives the request, number and content of each page.
    """
    deadline = time.monotonic() + seconds
    try:
        client = RpcClient(address)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        for number in range(1, int(request.fields["pages"]) + 1):
            fields = {"spool": request.fields["spool"], "page": str(number), "tenant": request.tenant}
            client.send(0, number, "page", [fields])
            reply = None
            while reply is None:
                if time.monotonic() > deadline:
                    client.sock.close()
                    return
                data = client.sock.recv(1000)
                if not data:
                    return
                client.unpacker.feed(data)
                reply = next(iter(client.unpacker), None)
                gevent.sleep(len(data) / READER_BYTES_PER_S)
            if reply[2] is None:
                pages.append((request, number, reply[3][0]))
    except (OSError, Timeout):
        return


def count_wrong_pages(pages: list[tuple[RequestOutcome, int, bytes]], max_bytes: int = 24_000) -> int:
    """Returns the number of pages that differ from what the engine produced.

    Pages of a result have to follow one another, and must not be larger than `max_bytes`.
    """
    wrong_pages, offsets = 0, dict[str, int]()
    for request, number, body in pages:
        result = result_of(request.ref, request.size)
        start = offsets.get(f"{request.ref}/{number}", 0 if number == 1 else -1)
        if start < 0 or result[start : start + len(body)] != body or len(body) > max_bytes:
            wrong_pages += 1
        offsets[f"{request.ref}/{number + 1}"] = start + len(body)
    return wrong_pages


def measure_look_ups(report: Report, seconds: float, seed: int) -> None:
    """Measures look-ups alone, then beside reports that are spooled and read slowly."""
    with LabCluster(engines=4, cores=16, operator=SPOOL_ON) as cluster:
        look_ups: dict[str, list[RequestOutcome]] = {}
        reports: list[RequestOutcome] = []
        pages: list[tuple[RequestOutcome, int, bytes]] = []
        clients = LoadClientPool(cluster.router.address, seed)
        for name in ("warm-up", "alone", "beside"):
            arrival_rng, work_rng = np.random.default_rng(seed), np.random.default_rng(seed + 1)
            outcomes = look_ups[name] = []
            length_s = 1.5 if name == "warm-up" else seconds

            def start_look_up(
                work_rng: Generator = work_rng, outcomes: list[RequestOutcome] = outcomes
            ) -> None:
                send_look_up(clients, work_rng, outcomes)

            def send_report(arrival_rng: Generator = arrival_rng) -> None:
                request = clients.send_request(
                    "market-report",
                    int(arrival_rng.uniform(100, 600)),
                    draw_report_size(arrival_rng),
                    spool="1",
                )
                reports.append(request)
                if request.outcome == "answered":
                    read_slowly(request, cluster.router.address, seconds, pages)

            greenlets = schedule_arrivals(arrival_rng, LOOK_UP_RATE, length_s, start_look_up)
            if name == "beside":
                greenlets += schedule_arrivals(arrival_rng, REPORT_RATE, length_s, send_report)
            gevent.joinall(greenlets, timeout=length_s + 30)
        stats = cluster.command_fleet(stats=True)
        release_delays = [delay for engine in stats for delay in engine["freed_after"]]
        client = LoadClient(cluster.router.address, "oslo", seed + 9)
        unreadable = wrong_results = 0
        for request in [request for request in reports if request.outcome == "answered"][:40]:
            client.tenant = request.tenant
            bodies = [
                client.page(request.fields["spool"], number)
                for number in range(1, int(request.fields["pages"]) + 1)
            ]
            unreadable += any(isinstance(body, str) for body in bodies)
            wrong_results += b"".join(data for data in bodies if isinstance(data, bytes)) != result_of(
                request.ref, request.size
            )
        log = cluster.router.read_log()
    alone = [request.duration_s for request in look_ups["alone"] if request.outcome == "answered"]
    beside = [request.duration_s for request in look_ups["beside"] if request.outcome == "answered"]
    answered = [request for request in reports if request.outcome == "answered"]
    for name, values in (("live_alone", alone), ("live_beside", beside), ("engine_freed", release_delays)):
        report.figures[f"{name}_p50_ms"] = 1e3 * percentile(values, 50)
        report.figures[f"{name}_p99_ms"] = 1e3 * percentile(values, 99)
    report.figures |= {
        "reports_asked": len(reports),
        "reports_answered": len(answered),
        "pages_read_slowly": len(pages),
        "engine_freed_max_ms": 1e3 * max(release_delays, default=0.0),
        "spooled_mb_a_second": sum(request.size for request in answered) / seconds / 1e6,
        "router_failures": float(log.count('"event": "failed"')),
    }
    report.claim(
        "engine freed after its result is complete, p99, ms", report.figures["engine_freed_p99_ms"], 50
    )
    ratio = percentile(beside, 99) / percentile(alone, 99)
    report.claim("live look-ups' p99 beside a busy spool over alone", ratio, 1.1)
    report.claim("wrong bytes served", wrong_results + count_wrong_pages(pages), 0)
    report.claim("reports answered over asked", len(answered) / max(len(reports), 1), 0.99, is_minimum=True)
    report.claim("answered results that could not be read to the end", unreadable, 0)
    report.rows.append(_row("with the spool", stats, len(answered), len(reports), answered))
    series = {"alone": distribution(alone), "beside a busy spool": distribution(beside)}
    report.charts.append(("live look-ups", "seconds", "share answered", series))


def _row(
    name: str, stats: list[dict[str, float]], answered: int, requested: int, outcomes: list[RequestOutcome]
) -> dict[str, object]:
    """Returns a row of the results table."""
    held_s, durations = (
        sum(engine["held_large"] for engine in stats),
        [request.duration_s for request in outcomes],
    )
    return {
        "day": name,
        "reports asked": requested,
        "answered": answered,
        "answered an engine": round(answered / len(stats), 2),
        "engine-seconds held": round(held_s, 2),
        "held a report": round(held_s / answered, 3) if answered else "-",
        "median s to the answer": round(percentile(durations, 50), 2) if durations else "-",
    }


def run_without_spool(report: Report, seconds: float, drain_s: float, seed: int) -> None:
    """Measures the same reports without the spool: requested whole, and requested in parts.

    For a part, the engine works from the start of the report to the end of the part, so part k of n costs k/n
    of the work. Parts are requested back to back, which favours this variant: a reader at the pace of the
    other parts would not finish within a day.

    Args:
        report: Receives the results.
        seconds: Length of the load.
        drain_s: Seconds to wait for reports after the load.
        seed: Seed of the load.
    """
    for name in ("without it, whole", "without it, in parts"):
        with LabCluster(engines=4, cores=16) as cluster:
            rng, clients = np.random.default_rng(seed), LoadClientPool(cluster.router.address, seed)
            completed: list[RequestOutcome] = []
            requested = 0

            def send_report(
                rng: Generator = rng,
                clients: LoadClientPool = clients,
                completed: list[RequestOutcome] = completed,
                name: str = name,
            ) -> None:
                nonlocal requested
                requested += 1
                work, size = int(rng.uniform(100, 600)), draw_report_size(rng)
                if name.endswith("whole"):
                    request = clients.send_request("market-report", work, size)
                    completed += [request] if request.outcome == "answered" else []
                    return
                began, parts = time.monotonic(), -(-size // MAX_UNSPOOLED_BYTES)
                for part in range(1, parts + 1):
                    request = clients.send_request(
                        "market-report", max(work * part // parts, 1), MAX_UNSPOOLED_BYTES - 6_000
                    )
                    if request.outcome != "answered":
                        return
                request.duration_s = time.monotonic() - began
                completed.append(request)

            greenlets = schedule_arrivals(rng, REPORT_RATE, seconds, send_report)
            gevent.joinall(greenlets, timeout=seconds + drain_s)
            gevent.killall(greenlets)
            gevent.sleep(ABANDONED_RUN_TIMEOUT_S + 0.3)  # engines have released abandoned runs by then
            stats = cluster.command_fleet(stats=True)
        report.rows.append(_row(name, stats, len(completed), requested, completed))
        key = "baseline_" + ("whole" if name.endswith("whole") else "parts")
        report.figures[key + "_engine_seconds"] = sum(engine["held_large"] for engine in stats)
        report.figures[key + "_answered"] = len(completed)


def measure_memory(report: Report, count: int, seed: int) -> None:
    """Measures the router's memory with many open results, of each of which one page was read."""
    with LabCluster(engines=4, cores=16, operator=SPOOL_ON) as cluster:
        clients, answered = LoadClientPool(cluster.router.address, seed), list[RequestOutcome]()
        for _ in range(20):
            clients.send_request("date-lookup", 5, 600)
        rest_mb, peak_mb, samples = cluster.router.resident_mib(), 0.0, list[tuple[float, float]]()
        readers: list[LoadClient] = []

        def open_results(count_share: int) -> None:
            for _ in range(count_share):
                request = clients.send_request("market-report", 5, 200_000, spool="1")
                if request.outcome == "answered":
                    answered.append(request)
                    reader = LoadClient(cluster.router.address, request.tenant, seed)
                    reader.page(request.fields["spool"], 2)
                    readers.append(reader)

        greenlets = [gevent.spawn(open_results, count // 10) for _ in range(10)]
        while not all(greenlet.ready() for greenlet in greenlets):
            peak_mb = max(peak_mb, cluster.router.resident_mib())
            samples.append((float(len(answered)), cluster.router.resident_mib() - rest_mb))
            gevent.sleep(0.1)
        end_mb = cluster.router.resident_mib()
    report.figures |= {
        "memory_rest_mb": rest_mb,
        "memory_peak_mb": peak_mb,
        "memory_open_mb": end_mb,
        "open_spools": len(answered),
    }
    report.claim(
        f"router's memory above rest with {count} open spools, MB", max(peak_mb, end_mb) - rest_mb, 40
    )
    report.claim("open spools", len(answered), count, is_minimum=True)
    series = {"above rest": ([x for x, _ in samples], [y for _, y in samples])}
    report.charts.append(("memory of the router", "open spools", "MB", series))


def run_full_spool(report: Report, seconds: float, seed: int) -> None:
    """Requests more reports than the spool has room for.

    A client that is shed with a Retry-After returns at the announced time.
    """
    with LabCluster(engines=4, cores=16, operator=SMALL_SPOOL) as cluster:
        clients, rng = LoadClientPool(cluster.router.address, seed), np.random.default_rng(seed)
        before, during = list[RequestOutcome](), list[RequestOutcome]()
        # Whether the announced delay is a retry promise, whether the retry was answered, and the delay in s.
        retries: list[tuple[bool, bool, float]] = []
        gevent.joinall(
            schedule_arrivals(rng, LOOK_UP_RATE, seconds / 2, lambda: send_look_up(clients, rng, before))
        )
        outcomes: list[RequestOutcome] = []

        def send_report() -> None:
            size, work = int(rng.uniform(200e3, 400e3)), int(rng.uniform(20, 60))
            client = LoadClient(cluster.router.address, TENANTS[len(outcomes) % len(TENANTS)], seed)
            request = client.send_request("market-report", work, size, spool="1")
            outcomes.append(request)
            if request.outcome == "shed" and request.retry_after_s is not None:
                gevent.sleep(request.retry_after_s)
                retry = client.send_request("market-report", work, size, spool="1")
                retries.append(
                    (request.retry_after_s < 5.0, retry.outcome == "answered", request.retry_after_s)
                )

        greenlets = schedule_arrivals(rng, FULL_REPORT_RATE, seconds, send_report)
        greenlets += schedule_arrivals(rng, LOOK_UP_RATE, seconds, lambda: send_look_up(clients, rng, during))
        gevent.joinall(greenlets, timeout=seconds + 20)
        log = cluster.router.read_log()
    in_time_fractions = [
        sum(request.in_time for request in group) / max(len(group), 1) for group in (before, during)
    ]
    promised_answered = [let_in for is_promised, let_in, _ in retries if is_promised]
    shed_count = sum(request.outcome == "shed" for request in outcomes)
    report.figures |= {
        "full_reports": len(outcomes),
        "full_shed": shed_count,
        "full_promised": len(promised_answered),
        "full_told_the_longest": len(retries) - len(promised_answered),
        "full_let_in": sum(promised_answered) / max(len(promised_answered), 1),
        "full_service_before": in_time_fractions[0],
        "full_service_during": in_time_fractions[1],
        "full_failed": sum(request.outcome in ("failed", "lost") for request in outcomes),
        "full_disk_errors": log.count("spool write failed"),
    }
    report.claim(
        "with the spool full, others' service lost", in_time_fractions[0] - in_time_fractions[1], 0.01
    )
    report.claim(
        "let in of those that came back when told",
        sum(promised_answered) / max(len(promised_answered), 1),
        0.95,
        is_minimum=True,
    )
    report.claim("clients that were told a time", len(promised_answered), 10, is_minimum=True)
    report.claim("reports failed or lost with the spool full", report.figures["full_failed"], 0)


def run(report: Report, seed: int, quick: bool) -> None:
    """Runs all parts of the experiment."""
    measure_look_ups(report, 2.5 if quick else 25.0, seed)
    run_without_spool(report, 1.0 if quick else 10.0, 1.5 if quick else 90.0, seed)
    measure_memory(report, 200 if quick else 500, seed)
    run_full_spool(report, 3.0 if quick else 20.0, seed)
    kill_figures = rounds(3 if quick else 200, seed)
    report.figures |= {f"kills_{name}": float(value) for name, value in kill_figures.items()}
    report.claim("answered spools lost after kills", kill_figures["lost"], 0)
    report.claim("wrong results after kills", kill_figures["wrong"], 0)
