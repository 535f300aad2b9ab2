"""Trial run of `lab try`: a small fleet and a router under a mixed load, with a table of results."""

from __future__ import annotations

import sys
import time
from collections import Counter

import gevent
import numpy as np

from marbleworks.lab.load import LoadClientPool, RequestOutcome, schedule_arrivals
from marbleworks.lab.report import Report, percentile
from marbleworks.lab.stage import PROFILES, LabCluster

# Requests per second, and least and most work of a request in milliseconds, by request class.
MIX = {"date-lookup": (60.0, 20, 120), "market-report": (4.0, 100, 600), "booking-load": (6.0, 50, 300)}
SPOOL_ON = '(spool (folder "FOLDER") (room 500 MB) (share 100 %))'


def run(seconds: float, seed: int) -> Report:
    """Runs the load on four engines, one of which is killed half way."""
    report, rng, outcomes = Report("try"), np.random.default_rng(seed), list[RequestOutcome]()
    with LabCluster(engines=4, cores=8, operator=SPOOL_ON) as cluster:
        clients = LoadClientPool(cluster.router.address, seed)

        def send_one(profile: str, min_ms: int, max_ms: int) -> None:
            spool = {"spool": "1"} if profile == "market-report" else {}
            size = int(rng.uniform(2e5, 1e6)) if spool else 900
            outcomes.append(clients.send_request(profile, int(rng.uniform(min_ms, max_ms)), size, **spool))

        greenlets: list[gevent.Greenlet[..., None]] = []
        for profile, (rate, min_ms, max_ms) in MIX.items():
            greenlets += schedule_arrivals(
                rng,
                rate,
                seconds,
                lambda p=profile, a=min_ms, b=max_ms: send_one(p, a, b),  # type: ignore[misc]
            )
        gevent.spawn_later(seconds / 2, lambda: cluster.command_fleet(kill=0))
        began = time.monotonic()
        while not all(greenlet.ready() for greenlet in greenlets) and time.monotonic() < began + seconds + 35:
            _show_progress(min((time.monotonic() - began) / seconds, 1.0), len(outcomes), len(greenlets))
            gevent.sleep(0.2)
        _show_progress(1.0, len(outcomes), len(greenlets))
        sys.stderr.write("\n")
    for profile in MIX:
        class_outcomes = [request for request in outcomes if request.profile == profile]
        ends = Counter(request.outcome for request in class_outcomes)
        durations = [request.duration_s for request in class_outcomes if request.outcome == "answered"]
        report.rows.append(
            {
                "profile": profile,
                "asked": len(class_outcomes),
                "answered": ends["answered"],
                "shed": ends["shed"],
                "failed": ends["failed"],
                "lost": ends["lost"] + ends["error"],
                "in time": sum(request.in_time for request in class_outcomes),
                "target s": PROFILES[profile][1],
                "median ms": round(1e3 * percentile(durations, 50)),
                "p99 ms": round(1e3 * percentile(durations, 99)),
            }
        )
    report.claim(
        "commands without an answer", sum(request.outcome in ("lost", "error") for request in outcomes), 0
    )
    return report


def _show_progress(fraction: float, done: int, planned: int) -> None:
    """Shows a progress bar on standard error."""
    bar = "#" * round(30 * fraction)
    sys.stderr.write(f"\r[{bar:<30}] {done} of {planned} requests")
    sys.stderr.flush()
