"""Clients of the lab: each keeps a connection, asks at its own times and writes down what became of it."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent import Timeout
from numpy.random import Generator

from marbleworks.lab.stage import PROFILES, TENANTS
from marbleworks.lab.standins import RpcClient

PATIENCE = 0.5  # seconds more than its timeout that a client waits before it counts the command as lost


@dataclass(slots=True)
class Ask:
    """One command and its end: answered, shed, failed, lost or error."""

    profile: str
    at: float
    work: int
    size: int
    end: str = "lost"
    took: float = 0.0
    after: float | None = None  # seconds, where it was told when to come back
    told: dict[str, str] = field(default_factory=dict)
    ref: str = ""
    tenant: str = ""
    body: bytes = b""

    @property
    def in_time(self) -> bool:
        return self.end == "answered" and self.took <= PROFILES[self.profile][1]


class Caller:
    """One client; its connection is made anew where it has ended."""

    refs = itertools.count(1)

    def __init__(self, address: tuple[str, int], tenant: str, salt: int, source: str = "") -> None:
        self.address, self.tenant, self.salt, self.source = address, tenant, salt, source
        self.errs = ""  # " errs": engines answer its commands by an error
        self.client: RpcClient | None = None

    def connect(self) -> None:
        self.client = RpcClient(self.address, self.source)

    def ask(self, profile: str, work: int, size: int, what: int = 0, **fields: str) -> Ask:
        """Asks once and waits for the end; work in milliseconds, size of the result in bytes. what: a literal
        of the statement."""
        ask = Ask(profile, time.monotonic(), work, size, tenant=self.tenant)
        ask.ref = f"{self.salt & 0xFFFFFFFF:08x}{next(self.refs):08x}"
        mark = f"/* work={work} size={size}{self.errs} */"
        text = f"select * from hall_{1 + size % 7}.moves where id = {what} {mark}"
        wait = PROFILES[profile][2]
        try:
            if self.client is None:
                self.connect()
            assert self.client is not None
            self.client.ask(
                profile,
                text,
                ref=ask.ref,
                tenant=self.tenant,
                wait=str(round(1000 * wait)),
                cost=str(work),
                **fields,
            )
            said = self.client.hear(wait + PATIENCE)
            ask.took = time.monotonic() - ask.at
            if said is None:
                self.client = None
            elif said[2] is None:
                ask.end, (ask.body, ask.told) = "answered", said[3]
            else:
                ask.end = {"Rejected": "shed", "Failed": "failed"}.get(said[2][0], "error")
                ask.after = int(said[2][1]["after"]) / 1000.0 if "after" in said[2][1] else None
        except (OSError, Timeout):
            self.client = None
        return ask

    def page(self, token: str, number: int, method: str = "page") -> bytes | str:
        """A page of a spooled result, or why there is none."""
        try:
            if self.client is None:
                self.connect()
            assert self.client is not None
            self.client.last += 1
            fields = {"spool": token, "page": str(number), "tenant": self.tenant}
            self.client.send(0, self.client.last, method, [fields])
            said = self.client.hear(10.0)
        except (OSError, Timeout) as err:
            self.client = None
            return f"lost: {err!r}"
        if said is None:
            self.client = None
            return "lost"
        return said[3][0] if said[2] is None else str(said[2])


def arrivals(
    chance: Generator, rate: float, seconds: float, each: Callable[[], None]
) -> list[gevent.Greenlet[..., None]]:
    """Calls at random times, so many a second on average, each in a greenlet of its own; the plan is drawn
    first."""
    count = chance.poisson(rate * seconds)
    times = sorted(float(t) for t in chance.uniform(0.0, seconds, count))
    return [gevent.spawn_later(t, each) for t in times]


class Crowd:
    """Callers that are free, so that a command at any time finds a connection."""

    def __init__(self, address: tuple[str, int], salt: int) -> None:
        self.address, self.salt, self.free, self.made = address, salt, list[Caller](), 0

    def ask(self, profile: str, work: int, size: int, **fields: str) -> Ask:
        if self.free:
            caller = self.free.pop()
        else:
            caller = Caller(self.address, TENANTS[self.made % len(TENANTS)], self.salt)
            self.made += 1
        try:
            return caller.ask(profile, work, size, 0, **fields)
        finally:
            self.free.append(caller)
