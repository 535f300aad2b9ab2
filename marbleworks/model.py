"""The data that all layers share: request classes, deployment rules, engines and the outcomes of attempts.

Times are seconds as floats, memory is megabytes, work is seconds on one thread. Engines, profiles, tenants,
zones and machine kinds are small indices that the platform gives out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """What a second run of a command would do."""

    IDEMPOTENT = "replayable"
    IDEMPOTENCY_KEY = "uniqued"
    NON_IDEMPOTENT = "non-replayable"


class EngineStatus(Enum):
    """What the engine list says of an engine."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class AttemptOutcome(Enum):
    """How a send ended without an answer."""

    ERROR = "erred"  # the engine answered with an error; it may have run
    REJECTED = "turned away"  # the engine would not begin it
    UNREACHABLE = "unreached"  # no connection could be made, and whether that counts as a send isn't known
    TIMED_OUT = "silent"  # no answer in time
    CONNECTION_LOST = "cut off"  # the connection broke
    CANCELLED = "cancelled"  # we called it off
    UNSENT = "unused"  # it never left the platform
    WITHHELD = "withdrawn"  # nor did this: what had allowed it no longer held when it could begin
    CONNECTION_REFUSED = "refused"  # nor this: nobody listens there
    CONNECT_TIMEOUT = "not connected"  # nor this: no connection came up in time

    @property
    def never_sent(self) -> bool:
        """No engine has got it, so that it counts as no send at all."""
        return self in (
            AttemptOutcome.WITHHELD,
            AttemptOutcome.CONNECTION_REFUSED,
            AttemptOutcome.CONNECT_TIMEOUT,
        )

    @property
    def never_ran(self) -> bool:
        return self.never_sent or self in (
            AttemptOutcome.REJECTED,
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.UNSENT,
        )

    @property
    def may_still_run(self) -> bool:
        return self in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_LOST, AttemptOutcome.CANCELLED)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of command: what it is worth, when it is wanted and what may be done with it."""

    priority_weight: float
    latency_target_s: float  # latency target of a command without work
    latency_target_growth: float  # how much the target grows with each second the command runs alone
    idempotency: Idempotency
    idempotency_scope: str  # engines that drop repeats of a uniqued command: "all", "zone" or "cell"
    idempotency_window_s: float  # for how long they do
    ordered_by_key: bool
    allowed_zones: tuple[int, ...] | None  # None: any
    allowed_machine_kinds: tuple[int, ...] | None
    threads: int
    is_load: bool  # holds its table group on its engine
    waits_for_loads: bool  # stands still while a load holds its group


@dataclass(frozen=True, slots=True)
class DeploymentRules:
    """What a deployment demands and allows."""

    slow_start_floor: float  # least part of its capacity that a fresh engine has
    slow_start_s: float  # a fresh engine is warm after this
    overload_multiple: float  # it falls over when sent more than this multiple of what it can do ...
    overload_window_s: float  # ... for this long
    key_settle_s: float
    retry_budget_floor: float  # further sends allowed in any window, whatever the traffic
    retry_budget_ratio: float | None  # and per command taken in it; None: no budget
    retry_budget_window_s: float
    max_attempts: int
    allows_hedging: bool  # two sends of one command may be out together
    allows_cancel: bool
    accepts_memory_grants: bool
    allows_peer_messages: bool  # routers may tell each other
    allows_probes: bool  # engines may be asked for their load
    engines_swap: bool  # an engine short of memory lets commands in, and all slow down
    connect_timeout_s: float  # a connection to an engine comes up within it, or not at all
    max_retry_after_s: float  # longest time to come back that clients heed; 0: none may be named
    over_quota_weight: float  # what a command beyond its tenant's share is worth
    tenant_rates_per_s: tuple[float, ...]  # commands a second within a tenant's share, all routers together


@dataclass(frozen=True, slots=True)
class FleetInfo:
    """What is known of the machines before any list arrives."""

    router_count: int  # 0 where not told
    router_index: int  # our number among them, from 0; -1 where not told
    zone: int  # ours; -1 where not told
    cores_by_kind: tuple[int, ...]  # by machine kind
    memory_mb_by_kind: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """One engine as the list has it."""

    engine_id: int
    name: str
    zone: int
    machine_kind: int
    cell: int
    status: EngineStatus
    started_at: float  # 0: long ago

    @property
    def is_up(self) -> bool:
        return self.status is EngineStatus.UP

    @property
    def is_gone(self) -> bool:
        return self.status is EngineStatus.GONE


class ResourceUsage(NamedTuple):
    """What a request takes: declared by its client before it runs, measured by its engine after."""

    work_s: float  # on one thread
    memory_mb: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine last said of itself; None where it does not say."""

    in_flight: float | None = None
    waiting_for_memory: float | None = None  # commands waiting for memory
    memory_granted: float | None = None  # share
    disks_busy: float | None = None  # share
