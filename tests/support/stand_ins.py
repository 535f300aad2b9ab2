"""Test doubles: a recording scheduler port, settings of small deployments, and a recorder of engine lists.

Test doubles for clients, engines and name servers on sockets are in `marbleworks.lab.standins`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from gevent.event import Event

from marbleworks.model import (
    DeploymentRules,
    EngineEntry,
    EngineStatus,
    FleetInfo,
    Idempotency,
    IdempotencyScope,
    RequestClass,
)
from marbleworks.scheduling.request_state import RequestState
from marbleworks.scheduling.scheduler import Scheduler
from marbleworks.settings import Settings

READ = RequestClass(
    priority_weight=1.0,
    latency_target_s=1.0,
    latency_target_growth=2.0,
    idempotency=Idempotency.IDEMPOTENT,
    idempotency_scope=IdempotencyScope.ALL,
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
LOAD_WITH_IDEMPOTENCY_KEY = replace(LOAD, idempotency=Idempotency.IDEMPOTENCY_KEY)
LOAD_WITH_ZONE_KEY = replace(LOAD_WITH_IDEMPOTENCY_KEY, idempotency_scope=IdempotencyScope.ZONE)
LOAD_WITH_CELL_KEY = replace(LOAD_WITH_IDEMPOTENCY_KEY, idempotency_scope=IdempotencyScope.CELL)
LOAD_ORDERED_BY_KEY = replace(LOAD, ordered_by_key=True)
READ_ON_ONE_MACHINE_KIND = replace(READ, allowed_machine_kinds=(1,), waits_for_loads=False, threads=2)
READ_IGNORING_LOADS = replace(READ, waits_for_loads=False)
REQUEST_CLASSES = [
    READ,
    LOAD,
    LOAD_WITH_IDEMPOTENCY_KEY,
    LOAD_ORDERED_BY_KEY,
    READ_ON_ONE_MACHINE_KIND,
    READ_IGNORING_LOADS,
    LOAD_WITH_ZONE_KEY,
    LOAD_WITH_CELL_KEY,
]
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
class RecordingPort:
    """A scheduler port that records the scheduler's calls.

    Attributes:
        clock: Current time in seconds.
        next_wakeup: Earliest requested wake-up; infinite for none.
        calls: Recorded calls: a word for the method, then its arguments.
    """

    clock: float = 100.0
    next_wakeup: float = math.inf
    calls: list[tuple[Any, ...]] = field(default_factory=list)

    def now(self) -> float:
        return self.clock

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        self.calls.append(("send", ref, engine_id))

    def cancel_attempt(self, ref: str, attempt_no: int) -> None:
        self.calls.append(("cancel", ref, attempt_no))

    def set_attempt_terms(self, ref: str, priority: int, memory_mb: float) -> None:
        self.calls.append(("terms", ref, priority, memory_mb))

    def shed(self, ref: str, retry_after_s: float) -> None:
        self.calls.append(("shed", ref))

    def fail(self, ref: str) -> None:
        self.calls.append(("fail", ref))

    def probe_load(self, engine_id: int) -> None:
        self.calls.append(("probe", engine_id))

    def broadcast(self, data: bytes) -> None:
        self.calls.append(("tell", data))

    def schedule_wakeup(self, at: float) -> None:
        self.calls.append(("wake", at))
        self.next_wakeup = min(self.next_wakeup, at)

    def log(self, text: str) -> None:
        self.calls.append(("log", text))

    def started_engine_ids(self, ref: str | None = None) -> list[int]:
        """Returns the engine ids of the started attempts, of one request or of all."""
        return [a[2] for a in self.calls if a[0] == "send" and (ref is None or a[1] == ref)]

    def final_answers(self, ref: str) -> list[str]:
        """Returns the final answers, "shed" or "fail", that a request got."""
        return [a[0] for a in self.calls if a[0] in ("shed", "fail") and a[1] == ref]


def engine_entry(
    engine_id: int,
    status: EngineStatus = EngineStatus.UP,
    started_at: float = 0.0,
    machine_kind: int = 0,
    zone: int = 0,
    cell: int = 0,
) -> EngineEntry:
    """Returns an entry of the engine list.

    Args:
        engine_id: Id of the engine.
        status: Status of the engine.
        started_at: Time in seconds at which its process started.
        machine_kind: Index of its machine kind.
        zone: Index of its zone.
        cell: Its cell.
    """
    return EngineEntry(
        engine_id,
        f"engine-{engine_id}",
        zone=zone,
        machine_kind=machine_kind,
        cell=cell,
        status=status,
        started_at=started_at,
    )


class SchedulerHarness:
    """A scheduler with a recording port.

    Attributes:
        port: The recording port.
        scheduler: The scheduler.
        submitted_count: Number of submitted requests.
    """

    def __init__(self, engines: int = 4, rules: DeploymentRules = RULES, fleet: FleetInfo = FLEET) -> None:
        self.port = RecordingPort()
        self.scheduler = Scheduler(self.port, 7, REQUEST_CLASSES, rules, fleet)
        self.scheduler.update_engines(
            [engine_entry(engine_id, machine_kind=engine_id % 2) for engine_id in range(engines)],
            complete=True,
        )
        self.submitted_count = 0

    def submit(
        self,
        request_class: RequestClass = READ,
        work_s: float = 0.2,
        time_left_s: float = 6.0,
        key: str = "",
        table_group: int = 1,
        waited_s: float = 0.0,
    ) -> RequestState:
        """Submits a request and returns its handle.

        Args:
            request_class: Its request class.
            work_s: Declared work in seconds.
            time_left_s: Seconds until its deadline.
            key: Requests with the same key run in order; empty for no order.
            table_group: Table group.
            waited_s: Seconds since it was received.
        """
        self.submitted_count += 1
        return self.scheduler.submit(
            f"c{self.submitted_count}",
            REQUEST_CLASSES.index(request_class),
            table_group,
            key,
            (work_s, 10.0),
            -1,
            self.port.clock - waited_s,
            time_left_s,
        )

    def advance(self, seconds: float) -> None:
        """Advances the clock and calls the scheduler's timer at the times that it requested."""
        end = self.port.clock + seconds
        while self.port.next_wakeup <= end:
            self.port.clock, self.port.next_wakeup = max(self.port.next_wakeup, self.port.clock), math.inf
            self.scheduler.on_timer()
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
        published_lists: Received lists, each with the flag whether it is complete.
        updated: Set once a list was received.
    """

    def __init__(self) -> None:
        self.published_lists: list[tuple[list[Any], bool]] = []
        self.updated = Event()

    def post(self, action: Callable[..., None], *args: Any) -> None:
        """Makes the call at once."""
        action(*args)

    def update_engines(self, engines: list[Any], is_complete: bool) -> None:
        """Records an engine list."""
        self.published_lists.append((engines, is_complete))
        self.updated.set()
