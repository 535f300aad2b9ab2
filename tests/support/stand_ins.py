"""Test doubles: a recording scheduler port, settings of small deployments, and a recorder of engine lists.

Test doubles for clients, engines and name servers on sockets are in `marbleworks.lab.standins`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from gevent.event import Event

from marbleworks.model import DeploymentRules, EngineEntry, EngineStatus, FleetInfo, Idempotency, RequestClass
from marbleworks.scheduling.request_state import RequestState
from marbleworks.scheduling.scheduler import Scheduler
from marbleworks.settings import Settings

READ = RequestClass(
    priority_weight=1.0,
    latency_target_s=1.0,
    latency_target_growth=2.0,
    idempotency=Idempotency.IDEMPOTENT,
    idempotency_scope="all",
    idempotency_window_s=5.0,
    ordered_by_key=False,
    allowed_zones=None,
    allowed_machine_kinds=None,
    threads=1,
    is_load=False,
    waits_for_loads=True,
)
LOAD = replace(
    READ,
    idempotency=Idempotency.NON_IDEMPOTENT,
    priority_weight=6.0,
    latency_target_s=3.0,
    threads=2,
    is_load=True,
    waits_for_loads=False,
)
UNIQUED = replace(LOAD, idempotency=Idempotency.IDEMPOTENCY_KEY)
ORDERED = replace(LOAD, ordered_by_key=True)
BOUND = replace(READ, allowed_machine_kinds=(1,), waits_for_loads=False, threads=2)
FREE = replace(READ, waits_for_loads=False)
PROFILES = [READ, LOAD, UNIQUED, ORDERED, BOUND, FREE]
FLEET = FleetInfo(
    router_count=2, router_index=0, zone=0, cores_by_kind=(8, 8), memory_mb_by_kind=(16384.0, 16384.0)
)
RULES = DeploymentRules(
    slow_start_floor=0.3,
    slow_start_s=10.0,
    overload_multiple=3.0,
    overload_window_s=2.0,
    key_settle_s=0.5,
    retry_budget_floor=2.0,
    retry_budget_ratio=0.2,
    retry_budget_window_s=10.0,
    max_attempts=3,
    allows_hedging=True,
    allows_cancel=True,
    accepts_memory_grants=True,
    allows_peer_messages=True,
    allows_probes=False,
    engines_swap=True,
    connect_timeout_s=0.25,
    max_retry_after_s=1.0,
    over_quota_weight=0.2,
    tenant_rates_per_s=(),
)


@dataclass
class Recorder:
    """A scheduler port that records the scheduler's calls.

    Attributes:
        clock: Current time in seconds.
        due: Earliest requested wake-up; infinite for none.
        asked: Recorded calls: a word for the method, then its arguments.
    """

    clock: float = 100.0
    due: float = math.inf
    asked: list[tuple[Any, ...]] = field(default_factory=list)

    def now(self) -> float:
        return self.clock

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        self.asked.append(("send", ref, engine_id))

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        self.asked.append(("cancel", ref, attempt_no))

    def set_attempt_terms(self, ref: str, priority: int, memory_mb: float) -> None:
        self.asked.append(("terms", ref, priority, memory_mb))

    def shed(self, ref: str, retry_after_s: float) -> None:
        self.asked.append(("shed", ref))

    def fail(self, ref: str) -> None:
        self.asked.append(("fail", ref))

    def probe_load(self, engine_id: int) -> None:
        self.asked.append(("probe", engine_id))

    def broadcast(self, data: bytes) -> None:
        self.asked.append(("tell", data))

    def schedule_wakeup(self, at: float) -> None:
        self.asked.append(("wake", at))
        self.due = min(self.due, at)

    def log(self, text: str) -> None:
        self.asked.append(("log", text))

    def sent(self, ref: str | None = None) -> list[int]:
        """Returns the engine ids of the started attempts, of one request or of all."""
        return [a[2] for a in self.asked if a[0] == "send" and (ref is None or a[1] == ref)]

    def finals(self, ref: str) -> list[str]:
        """Returns the final answers, "shed" or "fail", that a request got."""
        return [a[0] for a in self.asked if a[0] in ("shed", "fail") and a[1] == ref]


def engine(
    be: int, listed: EngineStatus = EngineStatus.UP, started: float = 0.0, kind: int = 0
) -> EngineEntry:
    """Returns an entry of the engine list.

    Args:
        be: Id of the engine.
        listed: Status of the engine.
        started: Time in seconds at which its process started.
        kind: Index of its machine kind.
    """
    return EngineEntry(
        be, f"engine-{be}", zone=0, machine_kind=kind, cell=0, status=listed, started_at=started
    )


class Stage:
    """A scheduler with a recording port.

    Attributes:
        port: The recording port.
        gateway: The scheduler.
        taken: Number of submitted requests.
    """

    def __init__(self, engines: int = 4, rules: DeploymentRules = RULES, fleet: FleetInfo = FLEET) -> None:
        self.port = Recorder()
        self.gateway = Scheduler(self.port, 7, PROFILES, rules, fleet)
        self.gateway.update_engines([engine(be, kind=be % 2) for be in range(engines)], complete=True)
        self.taken = 0

    def take(
        self,
        profile: RequestClass = READ,
        work: float = 0.2,
        left: float = 6.0,
        key: str = "",
        group: int = 1,
        waited: float = 0.0,
    ) -> RequestState:
        """Submits a request and returns its handle.

        Args:
            profile: Its request class.
            work: Declared work in seconds.
            left: Seconds until its deadline.
            key: Requests with the same key run in order; empty for no order.
            group: Table group.
            waited: Seconds since it was received.
        """
        self.taken += 1
        return self.gateway.submit(
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
        """Advances the clock and calls the scheduler's timer at the times that it requested."""
        end = self.port.clock + seconds
        while self.port.due <= end:
            self.port.clock, self.port.due = max(self.port.due, self.port.clock), math.inf
            self.gateway.on_timer()
        self.port.clock = end


# Settings of a deployment for tests on sockets.

CLASS = {"credit": 1.0, "deadline_ms": 4000.0, "slo_ms": 750.0, "aim_stretch": 2.0, "repeat": "read_like"}
SETTINGS: dict[str, Any] = {
    "zones": ["hall-a"],
    "kinds": ["std"],
    "az": "hall-a",
    "instances": 1,
    "me": 0,
    "classes": [{**CLASS, "name": "look"}, {**CLASS, "name": "load", "repeat": "non_idempotent"}],
    "orgs": [{"name": "acme", "quota_per_s": 100.0}],
    "feedback": {"columns": ["queue", "x0"]},
    "policy_limits": {
        "max_attempts": 3,
        "second_copies": True,
        "cancel": True,
        "peers": True,
        "probing": False,
        "retry_after": True,
        "max_retry_after_ms": 2000.0,
        "connect_timeout_ms": 250.0,
        "idle_close_ms": 30000.0,
    },
    "rules": {
        "start_capacity": 0.35,
        "cold_ms": 14000.0,
        "fall_multiple": 4.0,
        "fall_ms": 2000.0,
        "extra_floor": 2.0,
        "repeat_ratio": 0.2,
        "look_back_ms": 10000.0,
    },
    "specifics": {
        "class_load": [False, False],
        "class_waits": [False, False],
        "parallelism": [1, 1],
        "takes_grants": True,
        "when_short": "queue",
        "cores_by_kind": [8],
        "memory_by_kind_mb": [16384.0],
    },
}
DEPLOYMENT = Settings(SETTINGS)


class EngineListRecorder:
    """Replacement for the dispatcher that records engine lists.

    Attributes:
        lists: Received lists, each with the flag whether it is complete.
        updated: Set once a list was received.
    """

    def __init__(self) -> None:
        self.lists: list[tuple[list[Any], bool]] = []
        self.updated = Event()

    def post(self, action: Callable[..., None], *args: Any) -> None:
        """Makes the call at once."""
        action(*args)

    def update_engines(self, engines: list[Any], is_complete: bool) -> None:
        """Records an engine list."""
        self.lists.append((engines, is_complete))
        self.updated.set()
