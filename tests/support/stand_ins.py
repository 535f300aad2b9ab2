"""Stand-ins: a port that records, a small deployment to decide for, and what a router talks to on sockets.

Those on sockets are the lab's.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from gevent.event import Event

from marbleworks.model import Effect, EngineEntry, Fleet, HouseRules, Listed, Profile
from marbleworks.scheduling.scheduler import Command, Gateway
from marbleworks.settings import Deployment

READ = Profile(
    benefit=1.0, target=1.0, stretch=2.0, effect=Effect.REPLAYABLE, scope="all", window=5.0,
    in_order=False, zones=None, kinds=None, threads=1, loads=False, waits=True,
)  # fmt: skip
LOAD = replace(
    READ, effect=Effect.NON_REPLAYABLE, benefit=6.0, target=3.0, threads=2, loads=True, waits=False
)
UNIQUED = replace(LOAD, effect=Effect.UNIQUED)
ORDERED = replace(LOAD, in_order=True)
BOUND = replace(READ, kinds=(1,), waits=False, threads=2)
FREE = replace(READ, waits=False)
PROFILES = [READ, LOAD, UNIQUED, ORDERED, BOUND, FREE]
FLEET = Fleet(routers=2, me=0, zone=0, cores=(8, 8), memory=(16384.0, 16384.0))
RULES = HouseRules(
    cold_floor=0.3, cold_time=10.0, cold_multiple=3.0, cold_span=2.0, key_rest=0.5, extra_floor=2.0,
    extra_share=0.2, extra_window=10.0, max_sends=3, copies=True, cancels=True, grants=True,
    peers=True, probes=False, pages=True, connect_time=0.25, come_back=1.0, over_share=0.2, tenant_rates=(),
)  # fmt: skip


@dataclass
class Recorder:
    """A port that writes down what is asked of it."""

    clock: float = 100.0
    due: float = math.inf  # the one wish that is kept: the earliest
    asked: list[tuple[Any, ...]] = field(default_factory=list)

    def now(self) -> float:
        return self.clock

    def send(self, ref: str, be: int, until: float, begin_by: float) -> None:
        self.asked.append(("send", ref, be))

    def cancel(self, ref: str, send_no: int) -> None:
        self.asked.append(("cancel", ref, send_no))

    def set_terms(self, ref: str, priority: int, memory: float) -> None:
        self.asked.append(("terms", ref, priority, memory))

    def shed(self, ref: str, come_back: float) -> None:
        self.asked.append(("shed", ref))

    def fail(self, ref: str) -> None:
        self.asked.append(("fail", ref))

    def probe(self, be: int) -> None:
        self.asked.append(("probe", be))

    def tell_peers(self, data: bytes) -> None:
        self.asked.append(("tell", data))

    def wake(self, at: float) -> None:
        self.asked.append(("wake", at))
        self.due = min(self.due, at)

    def log(self, text: str) -> None:
        self.asked.append(("log", text))

    def sent(self, ref: str | None = None) -> list[int]:
        return [a[2] for a in self.asked if a[0] == "send" and (ref is None or a[1] == ref)]

    def finals(self, ref: str) -> list[str]:
        return [a[0] for a in self.asked if a[0] in ("shed", "fail") and a[1] == ref]


def engine(be: int, listed: Listed = Listed.UP, started: float = 0.0, kind: int = 0) -> EngineEntry:
    return EngineEntry(be, f"engine-{be}", zone=0, kind=kind, cell=0, listed=listed, started=started)


class Stage:
    """One gateway with its recorder."""

    def __init__(self, engines: int = 4, rules: HouseRules = RULES, fleet: Fleet = FLEET) -> None:
        self.port = Recorder()
        self.gateway = Gateway(self.port, 7, PROFILES, rules, fleet)
        self.gateway.listed([engine(be, kind=be % 2) for be in range(engines)], whole=True)
        self.taken = 0

    def take(
        self,
        profile: Profile = READ,
        work: float = 0.2,
        left: float = 6.0,
        key: str = "",
        group: int = 1,
        waited: float = 0.0,
    ) -> Command:
        self.taken += 1
        return self.gateway.take(
            f"c{self.taken}",
            PROFILES.index(profile),
            group,
            key,
            (work, 10.0),
            -1,
            self.port.clock - waited,
            left,
        )

    def pass_time(self, seconds: float) -> None:
        """Lets time run, waking the gateway as it asked."""
        end = self.port.clock + seconds
        while self.port.due <= end:
            self.port.clock, self.port.due = max(self.port.due, self.port.clock), math.inf
            self.gateway.awake()
        self.port.clock = end


# On sockets.

CLASS = {
    "credit": 1.0, "deadline_ms": 4000.0, "slo_ms": 750.0, "aim_stretch": 2.0, "repeat": "read_like",
}  # fmt: skip
SETTINGS: dict[str, Any] = {
    "zones": ["hall-a"], "kinds": ["std"], "az": "hall-a", "instances": 1, "me": 0,
    "classes": [{**CLASS, "name": "look"}, {**CLASS, "name": "load", "repeat": "non_idempotent"}],
    "orgs": [{"name": "acme", "quota_per_s": 100.0}], "feedback": {"columns": ["queue", "x0"]},
    "policy_limits": {
        "max_attempts": 3, "second_copies": True, "cancel": True, "peers": True, "probing": False,
        "retry_after": True, "max_retry_after_ms": 2000.0, "connect_timeout_ms": 250.0,
        "idle_close_ms": 30000.0,
    },
    "rules": {
        "start_capacity": 0.35, "cold_ms": 14000.0, "fall_multiple": 4.0, "fall_ms": 2000.0,
        "extra_floor": 2.0, "repeat_ratio": 0.2, "look_back_ms": 10000.0,
    },
    "specifics": {
        "class_load": [False, False], "class_waits": [False, False], "parallelism": [1, 1],
        "takes_grants": True, "when_short": "queue", "cores_by_kind": [8], "memory_by_kind_mb": [16384.0],
    },
}  # fmt: skip
DEPLOYMENT = Deployment(SETTINGS)


class Listener:
    """In place of the desk where only the list matters."""

    def __init__(self) -> None:
        self.lists: list[tuple[list[Any], bool]] = []
        self.told = Event()

    def post(self, what: Callable[..., None], *args: Any) -> None:
        what(*args)

    def listed(self, engines: list[Any], whole: bool) -> None:
        self.lists.append((engines, whole))
        self.told.set()
