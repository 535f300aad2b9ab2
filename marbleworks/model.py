"""The data that all layers share: request classes, deployment rules, engines and the outcomes of attempts.

Times are seconds as floats, memory is megabytes, work is seconds on one thread. Engines, request classes,
tenants, zones and machine kinds are small indices that `settings.Settings` and the engine list give out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple


class Idempotency(Enum):
    """What a second run of a request would do."""

    IDEMPOTENT = "idempotent"
    """It changes nothing that the first run did not."""
    IDEMPOTENCY_KEY = "idempotent with a key"
    """Engines drop it if they know the key, for a limited time and within a limited scope."""
    NON_IDEMPOTENT = "non-idempotent"
    """It takes effect again."""


class IdempotencyScope(StrEnum):
    """Which engines know the idempotency key of a request that one of them ran."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EngineStatus(Enum):
    """What the engine list says of an engine."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class AttemptOutcome(Enum):
    """How an attempt ended without an answer."""

    ERROR = "error"
    """The engine answered with an error; the request may have run."""
    REJECTED = "rejected"
    """The engine was full and did not begin it."""
    UNREACHABLE = "unreachable"
    """No connection could be made, and it is not known whether that counts as an attempt."""
    TIMED_OUT = "timed out"
    """No answer in time; the request may still run."""
    CONNECTION_LOST = "connection lost"
    """The connection broke after the call was sent; the request may still run."""
    CANCELLED = "cancelled"
    """The router cancelled it; the request may still run."""
    UNSENT = "unsent"
    """Nothing was sent, but it counts as an attempt."""
    WITHHELD = "withheld"
    """Nothing was sent: what allowed the attempt no longer held when it could begin."""
    CONNECTION_REFUSED = "connection refused"
    """Nothing was sent: no process listens at the engine's address."""
    CONNECT_TIMEOUT = "connect timeout"
    """Nothing was sent: no connection was made in time."""

    @property
    def never_sent(self) -> bool:
        """Whether no engine has received it, so that it does not count as an attempt."""
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
        """Whether the request may go on running at the engine."""
        return self in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_LOST, AttemptOutcome.CANCELLED)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: their weight, their latency target and what may be done with them.

    Attributes:
        priority_weight: what an answer in time is worth.
        latency_target_s: the latency target of a request without work.
        latency_target_growth: seconds that the target grows with each second the request runs alone.
        idempotency: what a second run does.
        idempotency_scope: which engines know its idempotency key after one of them ran it.
        idempotency_window_s: for how long they know it.
        ordered_by_key: whether requests with the same ordering key run in the order of their arrival.
        allowed_zones: zones that may run it; None: any.
        allowed_machine_kinds: machine kinds that may run it; None: any.
        threads: the threads that it runs on.
        is_load: whether it locks its table group on its engine.
        waits_for_loads: whether it stands still while a load holds its table group.
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
    """What a deployment demands of its routers and what it allows them.

    Attributes:
        slow_start_floor: the share of its capacity that an engine has when it starts.
        slow_start_s: seconds until a started engine has its whole capacity.
        overload_multiple: an engine in slow start fails when sent more than this multiple of its capacity ...
        overload_window_s: ... within this time.
        key_settle_s: seconds for which an ordering key rests after an attempt that may still run.
        retry_budget_floor: retries allowed in any window, whatever the traffic.
        retry_budget_ratio: further retries for each request of the window; None: retries are not limited.
        retry_budget_window_s: length of that window.
        max_attempts: attempts of one request.
        allows_hedging: whether two attempts of one request may be in flight together.
        allows_cancel: whether engines take cancels.
        accepts_memory_grants: whether engines take the memory that a router grants a request.
        allows_peer_messages: whether routers may send each other datagrams.
        allows_probes: whether engines may be asked for their load.
        engines_swap: whether an engine short of memory begins requests all the same, and all slow down.
        connect_timeout_s: the time within which a connection to an engine is made, or not at all.
        max_retry_after_s: the longest Retry-After that clients honour; 0: none may be named.
        over_quota_weight: factor on the priority weight of a request beyond its tenant's quota.
        tenant_rates_per_s: requests a second within each tenant's quota, all routers together.
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
    """What the settings say of the fleet before any engine list arrives.

    Attributes:
        router_count: routers of the fleet; 0 where the settings do not say.
        router_index: this router among them, from 0; -1 where the settings do not say.
        zone: this router's zone; -1 where the settings do not say.
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
    """One engine as the engine list has it.

    Attributes:
        engine_id: its index, which stays while it is listed.
        name: its name, the same at every router.
        zone: its zone; -1 where it is none of the settings'.
        machine_kind: its machine kind; -1 where it is none of the settings'.
        cell: its cell for the scope of idempotency keys; -1 where the list does not say.
        status: what the list says of it.
        started_at: Unix time of its process's start; 0: long ago.
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
        """Whether it takes new requests."""
        return self.status is EngineStatus.UP

    @property
    def is_gone(self) -> bool:
        """Whether it has left the fleet."""
        return self.status is EngineStatus.GONE


class ResourceUsage(NamedTuple):
    """What a request takes: declared by its client before it runs, measured by its engine after."""

    work_s: float  # on one thread
    memory_mb: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine last reported of its load; a field is None where it does not report it.

    Attributes:
        in_flight: requests that run.
        waiting_for_memory: requests that wait for memory.
        memory_granted: share of its memory that is granted.
        disks_busy: share of the time that its disks are busy.
    """

    in_flight: float | None = None
    waiting_for_memory: float | None = None
    memory_granted: float | None = None
    disks_busy: float | None = None
