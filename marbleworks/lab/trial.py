"""`lab try`: a small fleet and a router, a mixed load, a table. For a newcomer, without any bench."""

from __future__ import annotations

import sys
import time
from collections import Counter

import gevent
import numpy as np

from marbleworks.lab.load import Ask, Crowd, arrivals
from marbleworks.lab.report import Report, percentile
from marbleworks.lab.stage import PROFILES, Stage

MIX = {"date-lookup": (60.0, 20, 120), "market-report": (4.0, 100, 600), "booking-load": (6.0, 50, 300)}
OPERATOR = '(spool (folder "FOLDER") (room 500 MB) (share 100 %))'


def run(seconds: float, seed: int) -> Report:
    """So long a load on four engines; one of them dies half way."""
    report, chance, asks = Report("try"), np.random.default_rng(seed), list[Ask]()
    with Stage(engines=4, cores=8, operator=OPERATOR) as stage:
        crowd = Crowd(stage.router.address, seed)

        def one(profile: str, least: int, most: int) -> None:
            spool = {"spool": "1"} if profile == "market-report" else {}
            size = int(chance.uniform(2e5, 1e6)) if spool else 900
            asks.append(crowd.ask(profile, int(chance.uniform(least, most)), size, **spool))

        going: list[gevent.Greenlet[..., None]] = []
        for profile, (rate, least, most) in MIX.items():
            going += arrivals(
                chance,
                rate,
                seconds,
                lambda p=profile, a=least, b=most: one(p, a, b),  # type: ignore[misc]
            )
        gevent.spawn_later(seconds / 2, lambda: stage.tell_fleet(kill=0))
        began = time.monotonic()
        while not all(one.ready() for one in going) and time.monotonic() < began + seconds + 35:
            _progress(min((time.monotonic() - began) / seconds, 1.0), len(asks), len(going))
            gevent.sleep(0.2)
        _progress(1.0, len(asks), len(going))
        sys.stderr.write("\n")
    for profile in MIX:
        mine = [ask for ask in asks if ask.profile == profile]
        ends = Counter(ask.end for ask in mine)
        took = [ask.took for ask in mine if ask.end == "answered"]
        report.rows.append(
            {
                "profile": profile,
                "asked": len(mine),
                "answered": ends["answered"],
                "shed": ends["shed"],
                "failed": ends["failed"],
                "lost": ends["lost"] + ends["error"],
                "in time": sum(ask.in_time for ask in mine),
                "target s": PROFILES[profile][1],
                "median ms": round(1e3 * percentile(took, 50)),
                "p99 ms": round(1e3 * percentile(took, 99)),
            }
        )
    report.claim("commands without an answer", sum(ask.end in ("lost", "error") for ask in asks), 0)
    return report


def _progress(part: float, done: int, planned: int) -> None:
    bar = "#" * round(30 * part)
    sys.stderr.write(f"\r[{bar:<30}] {done} of {planned} commands")
    sys.stderr.flush()
