"""The data that all layers share: request classes, deployment rules, engines and the outcomes of attempts.

Times are seconds as floats, memory is megabytes, work is seconds on one thread. Engines, profiles, tenants,
zones and machine kinds are small indices that the platform gives out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a second run of a command would do."""

    REPLAYABLE = "replayable"
    UNIQUED = "uniqued"
    NON_REPLAYABLE = "non-replayable"


class Listed(Enum):
    """What the engine list says of an engine."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Ending(Enum):
    """How a send ended without an answer."""

    ERRED = "erred"  # the engine answered with an error; it may have run
    TURNED_AWAY = "turned away"  # the engine would not begin it
    UNREACHED = "unreached"  # no connection could be made, and whether that counts as a send isn't known
    SILENT = "silent"  # no answer in time
    CUT_OFF = "cut off"  # the connection broke
    CANCELLED = "cancelled"  # we called it off
    UNUSED = "unused"  # it never left the platform
    WITHDRAWN = "withdrawn"  # nor did this: what had allowed it no longer held when it could begin
    REFUSED = "refused"  # nor this: nobody listens there
    NOT_CONNECTED = "not connected"  # nor this: no connection came up in time

    @property
    def never_left(self) -> bool:
        """No engine has got it, so that it counts as no send at all."""
        return self in (Ending.WITHDRAWN, Ending.REFUSED, Ending.NOT_CONNECTED)

    @property
    def never_ran(self) -> bool:
        return self.never_left or self in (Ending.TURNED_AWAY, Ending.UNREACHED, Ending.UNUSED)

    @property
    def may_still_run(self) -> bool:
        return self in (Ending.SILENT, Ending.CUT_OFF, Ending.CANCELLED)


@dataclass(frozen=True, slots=True)
class Profile:
    """One kind of command: what it is worth, when it is wanted and what may be done with it."""

    benefit: float
    target: float  # latency target of a command without work
    stretch: float  # how much the target grows with each second the command runs alone
    effect: Effect
    scope: str  # engines that drop repeats of a uniqued command: "all", "zone" or "cell"
    window: float  # for how long they do
    in_order: bool
    zones: tuple[int, ...] | None  # None: any
    kinds: tuple[int, ...] | None
    threads: int
    loads: bool  # holds its table group on its engine
    waits: bool  # stands still while a load holds its group


@dataclass(frozen=True, slots=True)
class HouseRules:
    """What a deployment demands and allows."""

    cold_floor: float  # least part of its capacity that a fresh engine has
    cold_time: float  # a fresh engine is warm after this
    cold_multiple: float  # it falls over when sent more than this multiple of what it can do ...
    cold_span: float  # ... for this long
    key_rest: float
    extra_floor: float  # further sends allowed in any window, whatever the traffic
    extra_share: float | None  # and per command taken in it; None: no budget
    extra_window: float
    max_sends: int
    copies: bool  # two sends of one command may be out together
    cancels: bool
    grants: bool
    peers: bool  # routers may tell each other
    probes: bool  # engines may be asked for their load
    pages: bool  # an engine short of memory lets commands in, and all slow down
    connect_time: float  # a connection to an engine comes up within it, or not at all
    come_back: float  # longest time to come back that clients heed; 0: none may be named
    over_share: float  # what a command beyond its tenant's share is worth
    tenant_rates: tuple[float, ...]  # commands a second within a tenant's share, all routers together


@dataclass(frozen=True, slots=True)
class Fleet:
    """What is known of the machines before any list arrives."""

    routers: int  # 0 where not told
    me: int  # our number among them, from 0; -1 where not told
    zone: int  # ours; -1 where not told
    cores: tuple[int, ...]  # by machine kind
    memory: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """One engine as the list has it."""

    be: int
    name: str
    zone: int
    kind: int
    cell: int
    listed: Listed
    started: float  # 0: long ago

    @property
    def up(self) -> bool:
        return self.listed is Listed.UP

    @property
    def gone(self) -> bool:
        return self.listed is Listed.GONE


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine last said of itself; None where it does not say."""

    inflight: float | None = None
    waiting: float | None = None  # commands waiting for memory
    memory_granted: float | None = None  # share
    disks_busy: float | None = None  # share
