"""The data shared by all layers: request classes, deployment rules, engines and outcomes of attempts.

Times are seconds as floats, memory is in megabytes, work is in seconds on one thread. Engines, request
classes, tenants, zones and machine kinds are identified by small indices that `settings.Settings` and the
engine list assign.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple

UNKNOWN_INDEX = -1
"""Index of a zone, machine kind, cell or router that the settings or the engine list do not name."""


class Idempotency(Enum):
    """The effect of running a request a second time."""

    IDEMPOTENT = "idempotent"
    """A second run changes nothing that the first did not."""
    IDEMPOTENCY_KEY = "idempotent with a key"
    """Engines ignore a second run if they recognize the key, for a limited time and in a limited scope."""
    NON_IDEMPOTENT = "non-idempotent"
    """A second run takes effect again."""


class IdempotencyScope(StrEnum):
    """Which engines recognize the idempotency key of a request that one of them ran."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EngineStatus(Enum):
    """The status of an engine in the engine list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class AttemptOutcome(Enum):
    """How an attempt ended without an answer."""

    ERROR = "error"
    """The engine answered with an error; the request may have run."""
    REJECTED = "rejected"
    """The engine was full and did not start the request."""
    UNREACHABLE = "unreachable"
    """No connection was made, and it is unknown whether that counts as an attempt."""
    TIMED_OUT = "timed out"
    """No answer in time; the request may still run."""
    CONNECTION_LOST = "connection lost"
    """The connection broke after the call was sent; the request may still run."""
    CANCELLED = "cancelled"
    """The router cancelled the attempt; the request may still run."""
    UNSENT = "unsent"
    """Nothing was sent, but the attempt counts."""
    WITHHELD = "withheld"
    """Nothing was sent: the attempt was no longer allowed when it could have started."""
    CONNECTION_REFUSED = "connection refused"
    """Nothing was sent: no process listens at the engine's address."""
    CONNECT_TIMEOUT = "connect timeout"
    """Nothing was sent: no connection was made in time."""

    @property
    def never_sent(self) -> bool:
        """Whether no engine received the request, so that the attempt does not count."""
        return self in (
            AttemptOutcome.WITHHELD,
            AttemptOutcome.CONNECTION_REFUSED,
            AttemptOutcome.CONNECT_TIMEOUT,
        )

    @property
    def never_ran(self) -> bool:
        """Whether it is certain that no engine began the request."""
        return self.never_sent or self in (
            AttemptOutcome.REJECTED,
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.UNSENT,
        )

    @property
    def may_still_run(self) -> bool:
        """Whether the request may still be running at the engine."""
        return self in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_LOST, AttemptOutcome.CANCELLED)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its priority weight, its latency target and the rules for its attempts.

    Attributes:
        priority_weight: value of an answer within the latency target, relative to other classes.
        latency_target_s: latency target of a request without work.
        latency_target_growth: seconds added to the latency target for each second of service time.
        idempotency: the effect of a second run.
        idempotency_scope: which engines recognize its idempotency key after one of them ran it.
        idempotency_window_s: how long they recognize it.
        ordered_by_key: whether requests with the same ordering key run in the order of their arrival.
        allowed_zones: zones that may run it; None: any.
        allowed_machine_kinds: machine kinds that may run it; None: any.
        threads: number of threads that a request runs on.
        is_load: whether a request locks its table group on its engine.
        waits_for_loads: whether a request waits while a load holds its table group.
    """

    priority_weight: float
    latency_target_s: float
    latency_target_growth: float
    idempotency: Idempotency
    idempotency_scope: IdempotencyScope
    idempotency_window_s: float
    ordered_by_key: bool
    allowed_zones: tuple[int, ...] | None
    allowed_machine_kinds: tuple[int, ...] | None
    threads: int
    is_load: bool
    waits_for_loads: bool


@dataclass(frozen=True, slots=True)
class DeploymentRules:
    """What a deployment requires of its routers and what it permits.

    Attributes:
        slow_start_floor: share of its capacity that an engine has when it starts.
        slow_start_s: seconds until a started engine has its whole capacity.
        overload_multiple: multiple of its capacity that an engine in slow start fails above, if sent within
            `overload_window_s`.
        overload_window_s: time window in which the work sent to an engine in slow start is added up.
        key_settle_s: seconds that an ordering key is blocked after an attempt that may still run.
        retry_budget_floor: retries allowed in any window, whatever the traffic.
        retry_budget_ratio: further retries for each request of the window; None: retries are not limited.
        retry_budget_window_s: length of that window.
        max_attempts: maximum number of attempts of one request.
        allows_hedging: whether two attempts of one request may be in flight together.
        allows_cancel: whether engines accept cancels.
        accepts_memory_grants: whether engines accept the memory that a router grants a request.
        allows_peer_messages: whether routers may send each other datagrams.
        allows_probes: whether engines may be asked for their load.
        engines_swap: whether an engine short of memory starts requests anyway and slows all of them down.
        connect_timeout_s: time limit for connecting to an engine.
        max_retry_after_s: the longest Retry-After that clients honour; 0: no Retry-After may be sent.
        over_quota_weight: factor on the priority weight of a request beyond its tenant's quota.
        tenant_rates_per_s: each tenant's quota in requests per second, for all routers together.
    """

    slow_start_floor: float
    slow_start_s: float
    overload_multiple: float
    overload_window_s: float
    key_settle_s: float
    retry_budget_floor: float
    retry_budget_ratio: float | None
    retry_budget_window_s: float
    max_attempts: int
    allows_hedging: bool
    allows_cancel: bool
    accepts_memory_grants: bool
    allows_peer_messages: bool
    allows_probes: bool
    engines_swap: bool
    connect_timeout_s: float
    max_retry_after_s: float
    over_quota_weight: float
    tenant_rates_per_s: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class FleetInfo:
    """What the settings say about the fleet before any engine list arrives.

    Attributes:
        router_count: number of routers in the fleet; 0 if the settings do not say.
        router_index: index of this router, from 0; -1 if the settings do not say.
        zone: this router's zone; -1 if the settings do not say.
        cores_by_kind: cores of an engine, by machine kind.
        memory_mb_by_kind: memory of an engine, by machine kind.
    """

    router_count: int
    router_index: int
    zone: int
    cores_by_kind: tuple[int, ...]
    memory_mb_by_kind: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """One engine in the engine list.

    Attributes:
        engine_id: its index, constant as long as it is listed.
        name: its name, the same at every router.
        zone: its zone; -1 if the settings do not name it.
        machine_kind: its machine kind; -1 if the settings do not name it.
        cell: its cell, for the scope of idempotency keys; -1 if the list does not say.
        status: its status in the list.
        started_at: Unix time at which its process started; 0: long ago.
    """

    engine_id: int
    name: str
    zone: int
    machine_kind: int
    cell: int
    status: EngineStatus
    started_at: float

    @property
    def is_up(self) -> bool:
        """Whether the engine takes new requests."""
        return self.status is EngineStatus.UP

    @property
    def is_removed(self) -> bool:
        """Whether the engine has left the fleet."""
        return self.status is EngineStatus.REMOVED


class ResourceUsage(NamedTuple):
    """What a request uses: declared by its client before it runs, measured by its engine after."""

    work_s: float  # seconds on one thread
    memory_mb: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an engine last reported; a field is None if the engine does not report it.

    Attributes:
        in_flight: number of running requests.
        waiting_for_memory: number of requests that wait for memory.
        memory_granted: share of the engine's memory that is granted.
        disks_busy: share of the time that its disks are busy.
    """

    in_flight: float | None = None
    waiting_for_memory: float | None = None
    memory_granted: float | None = None
    disks_busy: float | None = None
