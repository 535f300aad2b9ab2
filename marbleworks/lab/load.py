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
class RequestOutcome:
    """A request and its outcome.

    Attributes:
        profile: Request class.
        sent_at: Time at which it was sent, by the monotonic clock.
        work_ms: Work in milliseconds.
        size: Size of the result in bytes.
        outcome: "answered", "shed", "failed", "lost" or "error".
        duration_s: Seconds until the reply.
        retry_after_s: Seconds of the Retry-After, if there was one.
        fields: Fields of the answer.
        ref: Id of the request.
        tenant: Tenant of the client.
        rows: Rows of the answer.
    """

    profile: str
    sent_at: float
    work_ms: int
    size: int
    outcome: str = "lost"
    duration_s: float = 0.0
    retry_after_s: float | None = None
    fields: dict[str, str] = field(default_factory=dict)
    ref: str = ""
    tenant: str = ""
    rows: bytes = b""

    @property
    def in_time(self) -> bool:
        """Whether it was answered within the latency target of its class."""
        return self.outcome == "answered" and self.duration_s <= PROFILES[self.profile][1]


class LoadClient:
    """A client, which reconnects if its connection has ended.

    Attributes:
        address: Address of the router.
        tenant: Tenant of the client.
        id_prefix: First part of its request ids.
        source: Source address of its connection; chosen by the system if empty.
        error_mark: " errs" if engines have to answer its requests with an error, else empty.
        client: The connection, if there is one.
    """

    refs = itertools.count(1)

    def __init__(self, address: tuple[str, int], tenant: str, id_prefix: int, source: str = "") -> None:
        self.address, self.tenant, self.id_prefix, self.source = address, tenant, id_prefix, source
        self.error_mark = ""
        self.client: RpcClient | None = None

    def connect(self) -> None:
        """Opens the connection."""
        self.client = RpcClient(self.address, self.source)

    def send_request(
        self, profile: str, work: int, size: int, what: int = 0, **fields: str
    ) -> RequestOutcome:
        """Sends a request once and waits for its outcome.

        Args:
            profile: Request class.
            work: Work in milliseconds.
            size: Size of the result in bytes.
            what: A literal of the statement.
            **fields: Further fields of the request.
        """
        request = RequestOutcome(profile, time.monotonic(), work, size, tenant=self.tenant)
        request.ref = f"{self.id_prefix & 0xFFFFFFFF:08x}{next(self.refs):08x}"
        mark = f"/* work={work} size={size}{self.error_mark} */"
        text = f"select * from hall_{1 + size % 7}.moves where id = {what} {mark}"
        timeout_s = PROFILES[profile][2]
        try:
            if self.client is None:
                self.connect()
            assert self.client is not None
            self.client.send_request(
                profile,
                text,
                ref=request.ref,
                tenant=self.tenant,
                wait=str(round(1000 * timeout_s)),
                cost=str(work),
                **fields,
            )
            reply = self.client.receive(timeout_s + EXTRA_WAIT_S)
            request.duration_s = time.monotonic() - request.sent_at
            if reply is None:
                self.client = None
            elif reply[2] is None:
                request.outcome, (request.rows, request.fields) = "answered", reply[3]
            else:
                request.outcome = {"Rejected": "shed", "Failed": "failed"}.get(reply[2][0], "error")
                request.retry_after_s = int(reply[2][1]["after"]) / 1000.0 if "after" in reply[2][1] else None
        except (OSError, Timeout):
            self.client = None
        return request

    def page(self, token: str, number: int, method: str = "page") -> bytes | str:
        """Returns a page of a spooled result, or a text that says why there is none."""
        try:
            if self.client is None:
                self.connect()
            assert self.client is not None
            self.client.last_message_number += 1
            fields = {"spool": token, "page": str(number), "tenant": self.tenant}
            self.client.send(0, self.client.last_message_number, method, [fields])
            reply = self.client.receive(10.0)
        except (OSError, Timeout) as err:
            self.client = None
            return f"lost: {err!r}"
        if reply is None:
            self.client = None
            return "lost"
        return reply[3][0] if reply[2] is None else str(reply[2])


def schedule_arrivals(
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


class LoadClientPool:
    """A pool of clients. A new client is created if none is idle, so no request waits for a connection.

    Attributes:
        address: Address of the router.
        id_prefix: First part of the request ids.
        idle_clients: Clients without a request.
        created: Number of clients created.
    """

    def __init__(self, address: tuple[str, int], id_prefix: int) -> None:
        self.address, self.id_prefix, self.idle_clients, self.created = (
            address,
            id_prefix,
            list[LoadClient](),
            0,
        )

    def send_request(self, profile: str, work: int, size: int, **fields: str) -> RequestOutcome:
        """Sends a request through an idle client and waits for its outcome; see `LoadClient.send_request`."""
        if self.idle_clients:
            client = self.idle_clients.pop()
        else:
            client = LoadClient(self.address, TENANTS[self.created % len(TENANTS)], self.id_prefix)
            self.created += 1
        try:
            return client.send_request(profile, work, size, 0, **fields)
        finally:
            self.idle_clients.append(client)
