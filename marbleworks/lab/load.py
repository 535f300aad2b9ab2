"""Clients of the lab: each keeps a connection, sends requests at given times and records their outcomes."""

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

EXTRA_WAIT_S = 0.5  # seconds beyond its timeout after which a client counts a request as lost


@dataclass(slots=True)
class Ask:
    """A request and its outcome.

    Attributes:
        profile: Request class.
        at: Time at which it was sent, by the monotonic clock.
        work: Work in milliseconds.
        size: Size of the result in bytes.
        end: "answered", "shed", "failed", "lost" or "error".
        took: Seconds until the reply.
        after: Seconds of the Retry-After, if there was one.
        told: Fields of the answer.
        ref: Id of the request.
        tenant: Tenant of the client.
        body: Rows of the answer.
    """

    profile: str
    at: float
    work: int
    size: int
    end: str = "lost"
    took: float = 0.0
    after: float | None = None
    told: dict[str, str] = field(default_factory=dict)
    ref: str = ""
    tenant: str = ""
    body: bytes = b""

    @property
    def in_time(self) -> bool:
        """Whether it was answered within the latency target of its class."""
        return self.end == "answered" and self.took <= PROFILES[self.profile][1]


class Caller:
    """A client, which reconnects if its connection has ended.

    Attributes:
        address: Address of the router.
        tenant: Tenant of the client.
        salt: First part of its request ids.
        source: Source address of its connection; chosen by the system if empty.
        errs: " errs" if engines have to answer its requests with an error, else empty.
        client: The connection, if there is one.
    """

    refs = itertools.count(1)

    def __init__(self, address: tuple[str, int], tenant: str, salt: int, source: str = "") -> None:
        self.address, self.tenant, self.salt, self.source = address, tenant, salt, source
        self.errs = ""
        self.client: RpcClient | None = None

    def connect(self) -> None:
        """Opens the connection."""
        self.client = RpcClient(self.address, self.source)

    def ask(self, profile: str, work: int, size: int, what: int = 0, **fields: str) -> Ask:
        """Sends a request once and waits for its outcome.

        Args:
            profile: Request class.
            work: Work in milliseconds.
            size: Size of the result in bytes.
            what: A literal of the statement.
            **fields: Further fields of the request.
        """
        ask = Ask(profile, time.monotonic(), work, size, tenant=self.tenant)
        ask.ref = f"{self.salt & 0xFFFFFFFF:08x}{next(self.refs):08x}"
        mark = f"/* work={work} size={size}{self.errs} */"
        text = f"select * from hall_{1 + size % 7}.moves where id = {what} {mark}"
        timeout_s = PROFILES[profile][2]
        try:
            if self.client is None:
                self.connect()
            assert self.client is not None
            self.client.ask(
                profile,
                text,
                ref=ask.ref,
                tenant=self.tenant,
                wait=str(round(1000 * timeout_s)),
                cost=str(work),
                **fields,
            )
            reply = self.client.hear(timeout_s + EXTRA_WAIT_S)
            ask.took = time.monotonic() - ask.at
            if reply is None:
                self.client = None
            elif reply[2] is None:
                ask.end, (ask.body, ask.told) = "answered", reply[3]
            else:
                ask.end = {"Rejected": "shed", "Failed": "failed"}.get(reply[2][0], "error")
                ask.after = int(reply[2][1]["after"]) / 1000.0 if "after" in reply[2][1] else None
        except (OSError, Timeout):
            self.client = None
        return ask

    def page(self, token: str, number: int, method: str = "page") -> bytes | str:
        """Returns a page of a spooled result, or a text that says why there is none."""
        try:
            if self.client is None:
                self.connect()
            assert self.client is not None
            self.client.last += 1
            fields = {"spool": token, "page": str(number), "tenant": self.tenant}
            self.client.send(0, self.client.last, method, [fields])
            reply = self.client.hear(10.0)
        except (OSError, Timeout) as err:
            self.client = None
            return f"lost: {err!r}"
        if reply is None:
            self.client = None
            return "lost"
        return reply[3][0] if reply[2] is None else str(reply[2])


def arrivals(
    rng: Generator, rate: float, seconds: float, each: Callable[[], None]
) -> list[gevent.Greenlet[..., None]]:
    """Schedules calls at random times, each in a greenlet of its own.

    All times are drawn before the first call.

    Args:
        rng: Random generator.
        rate: Mean number of calls per second.
        seconds: Length of the schedule.
        each: The call.
    """
    count = rng.poisson(rate * seconds)
    times = sorted(float(at) for at in rng.uniform(0.0, seconds, count))
    return [gevent.spawn_later(at, each) for at in times]


class CallerPool:
    """A pool of callers. A new caller is created if none is idle, so no request waits for a connection.

    Attributes:
        address: Address of the router.
        salt: First part of the request ids.
        idle_callers: Callers without a request.
        created: Number of callers created.
    """

    def __init__(self, address: tuple[str, int], salt: int) -> None:
        self.address, self.salt, self.idle_callers, self.created = address, salt, list[Caller](), 0

    def ask(self, profile: str, work: int, size: int, **fields: str) -> Ask:
        """Sends a request through an idle caller and waits for its outcome; see `Caller.ask`."""
        if self.idle_callers:
            caller = self.idle_callers.pop()
        else:
            caller = Caller(self.address, TENANTS[self.created % len(TENANTS)], self.salt)
            self.created += 1
        try:
            return caller.ask(profile, work, size, 0, **fields)
        finally:
            self.idle_callers.append(caller)
