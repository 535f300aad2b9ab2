"""The operators' protocol for engines and the engine list: its names, limits and conversions.

Engines are called by HTTP/1.1: `POST /o` starts a request, `GET /o/ID/0` polls for its first page,
`GET /o/ID/N` fetches page N of its result, and `DELETE /o/ID` cancels it. The engine list comes from the
configuration (`known`) first and then by DNS. No other module of this package uses a literal name of this
protocol. Conversions return values in seconds and megabytes.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import dns.message
import dns.name
import dns.rdatatype

from marbleworks.model import UNKNOWN_INDEX, EngineStatus, ResourceUsage
from marbleworks.net.addresses import SocketAddress

# Limits.

MAX_RESULT_BYTES = 48_000  # maximum size of a whole result that is passed on in memory
MAX_PAGE_BYTES = 6_000
MAX_RESPONSE_BYTES = 1 << 14  # maximum size of an HTTP response with its header, without chunk overhead
MAX_RESPONSE_FIELDS = 32  # of an HTTP response's header
CHUNK_OVERHEAD_BYTES = 5  # allowed in addition for each byte of a page, since each may be a chunk of its own
LATENESS_ALLOWANCE_S = 0.05  # added to the protocol's time limits for delays on the network
# An engine answers a poll within this time, even if the request has not ended.
POLL_TIMEOUT_S = 0.25 + LATENESS_ALLOWANCE_S
UNPOLLED_LIFETIME_S = 2.0  # an engine ends a request that is not polled for this long
MIN_TIME_BUDGET_S = 0.001  # minimum time that an engine may be given for a request

DNS_SERVICE_NAME = "_rpc._tcp.mesh.local."
MAX_DNS_RESPONSE_BYTES = 8000
MAX_DNS_RESPONSE_AGE_S = 7.0  # a response that arrives later than this after its query is ignored
LISTING_PROPAGATION_S = 1.5  # every router is expected to know a change of the engine list after this time

# Header fields. Those of responses are in lower case, as in `HttpResponse.fields`.

REQUEST_ID_FIELD = "X-Hop-Id"
CLASS_FIELD = "X-Sort"
TIME_BUDGET_FIELD = "X-Budget"  # milliseconds
MEMORY_GRANT_FIELD = "X-Allot"  # megabytes
NEVER_RAN_FIELD = "x-no-effect"
PAGE_COUNT_FIELD = "x-sheets"
PAGE_NUMBER_FIELD = "x-sheet"
LOAD_REPORT_FIELD = "x-report"
WORK_FIELD = "x-toil"  # milliseconds
MEMORY_FIELD = "x-room"  # megabytes

_PAGE_COUNT = re.compile(r"[1-9][0-9]{0,4}")
_ENGINE_STATUS_BY_PHASE = {
    "Ready": EngineStatus.UP,
    "Terminating": EngineStatus.DRAINING,
    "Gone": EngineStatus.REMOVED,
}


class RequestEncoder:
    """Encodes the HTTP requests to one engine."""

    def __init__(self, address: SocketAddress) -> None:
        host, port = address
        self._host = f"{host}:{port}"

    def start(
        self, ref: str, class_name: str, time_budget_s: float, memory_mb: int, statement: bytes
    ) -> bytes:
        """Encodes the start of a request.

        Args:
            ref: Id of the request.
            class_name: Name of the request class.
            time_budget_s: Seconds that the engine has for the request.
            memory_mb: Memory in megabytes granted to the request; 0 leaves the amount to the engine.
            statement: The SQL statement.
        """
        fields = f"{REQUEST_ID_FIELD}: {ref}\r\n{CLASS_FIELD}: {class_name}\r\n"
        fields += f"{TIME_BUDGET_FIELD}: {int(time_budget_s * 1000)}\r\n"
        if memory_mb:
            fields += f"{MEMORY_GRANT_FIELD}: {memory_mb}\r\n"
        fields += f"Content-Length: {len(statement)}\r\n"
        return self._encode("POST", "/o", fields) + statement

    def fetch(self, ref: str, page: int) -> bytes:
        """Encodes a poll for the first page (0) of a result, or the fetch of a later one."""
        return self._encode("GET", f"/o/{ref}/{page}")

    def cancel(self, ref: str) -> bytes:
        """Encodes the cancellation of a request."""
        return self._encode("DELETE", f"/o/{ref}")

    def _encode(self, method: str, path: str, fields: str = "") -> bytes:
        return f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\n{fields}\r\n".encode()


def proves_never_ran(fields: Mapping[str, str]) -> bool:
    """Whether a response proves that the request never ran and so had no effect."""
    return fields.get(NEVER_RAN_FIELD) == "1"


def page_count(fields: Mapping[str, str]) -> int | None:
    """Returns the number of pages of a result; None if the field is missing or malformed."""
    text = fields.get(PAGE_COUNT_FIELD, "")
    return int(text) if _PAGE_COUNT.fullmatch(text) else None


def has_page_number(fields: Mapping[str, str], page: int) -> bool:
    """Whether a response is labelled with this page number."""
    return fields.get(PAGE_NUMBER_FIELD) == str(page)


def resource_usage(fields: Mapping[str, str]) -> ResourceUsage | None:
    """Returns the work and memory that a request took; None if they are missing or out of range."""
    try:
        work_s = float(fields[WORK_FIELD]) / 1000.0
        memory_mb = float(fields[MEMORY_FIELD])
    except (KeyError, ValueError):
        return None
    if not (0 <= work_s < math.inf and 0 <= memory_mb < math.inf):
        return None
    return ResourceUsage(work_s, memory_mb)


def load_report_columns(fields: Mapping[str, str]) -> dict[str, str]:
    """Returns the columns of an engine's load report as text, keyed by name; empty if there is no report."""
    pairs = (pair.split(":", 1) for pair in fields.get(LOAD_REPORT_FIELD, "").split(";") if ":" in pair)
    return {name.strip(): value for name, value in pairs}


@dataclass(frozen=True, slots=True)
class ListedEngine:
    """One engine of the engine list, before it has an id.

    Attributes:
        cell: Number of its cell; -1 if none is given.
        started_at: Unix time in seconds at which its process started; 0 if not given.
    """

    name: str
    zone: str
    machine_kind: str
    cell: int
    status: EngineStatus
    started_at: float
    address: SocketAddress


@dataclass(frozen=True, slots=True)
class ListingEvent:
    """One event of the engine list in the configuration.

    Attributes:
        engines: The listed engines.
        is_complete: Whether engines that are not listed have gone.
    """

    engines: list[ListedEngine]
    is_complete: bool


def initial_list_events(engine_list: Any) -> Iterator[ListingEvent]:
    """Decodes the events of the engine list in the configuration, one at a time.

    Args:
        engine_list: The value of `known` in the configuration file.

    Raises:
        KeyError: A key is missing, or a phase is unknown.
        TypeError: A value has the wrong type.
        ValueError: A number is malformed.
        AttributeError: A value has the wrong type.
    """
    for notice in engine_list["notices"]:
        pool = notice["pool"]
        yield ListingEvent(
            [_initial_engine(raw_engine) for raw_engine in pool["members"]], bool(pool.get("complete"))
        )


def initial_list_revision(engine_list: Any) -> int:
    """Returns the revision of the engine list in the configuration; raises as `initial_list_events` does."""
    return int(engine_list["rev"])


def _initial_engine(raw_engine: dict[str, Any]) -> ListedEngine:
    host, _, port = raw_engine["host_port"].rpartition(":")
    return ListedEngine(
        name=raw_engine["id"],
        zone=raw_engine.get("locality", ""),
        machine_kind=raw_engine.get("flavor", ""),
        cell=int(raw_engine.get("cell", UNKNOWN_INDEX)),
        status=_ENGINE_STATUS_BY_PHASE[raw_engine["phase"]],
        started_at=float(raw_engine.get("up_since_ms", 0)) / 1000.0,
        address=(host, int(port)),
    )


def dns_query() -> dns.message.Message:
    """Creates a DNS query for the engine list, with a new id."""
    return dns.message.make_query(DNS_SERVICE_NAME, dns.rdatatype.SRV)


def dns_revision(response: dns.message.Message) -> int:
    """Returns the revision of the engine list in a response.

    Raises:
        StopIteration: The response has no SOA record.
    """
    revision: int = next(r[0].serial for r in response.authority if r.rdtype == dns.rdatatype.SOA)
    return revision


def dns_engines(response: dns.message.Message) -> Iterator[ListedEngine]:
    """Decodes the engines of a response, one at a time.

    Raises:
        KeyError: An engine has no address record or no text record.
        ValueError: A number is malformed.
    """
    addresses: dict[dns.name.Name, str] = {}
    texts: dict[dns.name.Name, dict[str, str]] = {}
    targets: list[Any] = []
    for records in [*response.answer, *response.additional]:
        if records.rdtype == dns.rdatatype.SRV:
            targets += records
        elif records.rdtype == dns.rdatatype.A:
            addresses[records.name] = records[0].address
        elif records.rdtype == dns.rdatatype.TXT:
            pairs = (string.decode().partition("=") for string in records[0].strings)
            texts[records.name] = {key: value for key, _, value in pairs}
    for srv in targets:
        name, zone = (label.decode() for label in srv.target.labels[:2])
        text = texts[srv.target]
        yield ListedEngine(
            name=name,
            zone=zone,
            machine_kind=text.get("kind", ""),
            cell=int(text.get("cell", UNKNOWN_INDEX)),
            status=EngineStatus.UP if srv.priority == 0 else EngineStatus.DRAINING,
            started_at=float(text.get("started", 0)) / 1000.0,
            address=(addresses[srv.target], srv.port),
        )
