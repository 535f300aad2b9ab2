"""The operators' protocol towards engines and the directory of engines: its words, its limits, conversions.

Engines are called by HTTP/1.1: `POST /o` starts a request, `GET /o/ID/0` polls for its first page,
`GET /o/ID/N` fetches page N of its result, `DELETE /o/ID` cancels it. The list of engines comes with the
configuration (`known`) and then by DNS. No other module of the network spells a name of this protocol; what
the conversions here return is in seconds and megabytes.
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

from marbleworks.model import EngineStatus, ResourceUsage
from marbleworks.net.addresses import SocketAddress

# Limits.

MAX_RESULT_BYTES = 48_000  # of a whole result that is passed on in memory
MAX_PAGE_BYTES = 6_000
MAX_RESPONSE_BYTES = 1 << 14  # of one HTTP response with its head ...
CHUNK_OVERHEAD_BYTES = 5  # ... and more for each byte of its page, which may be a chunk by itself
LATENESS_ALLOWANCE_S = 0.05  # by which a time limit is longer on sockets ...
POLL_TIMEOUT_S = (
    0.25 + LATENESS_ALLOWANCE_S
)  # ... and within which a poll is answered, if only with "not yet"
UNPOLLED_LIFETIME_S = 2.0  # an engine ends a request that nobody has polled for so long
MIN_TIME_BUDGET_S = 0.001  # the least time that an engine may be given for a request

DNS_SERVICE_NAME = "_rpc._tcp.mesh.local."
MAX_DNS_RESPONSE_BYTES = 8000
MAX_DNS_RESPONSE_AGE_S = 7.0  # after which a response is of no more use
LISTING_PROPAGATION_S = 1.5  # after a change, by when every router is expected to know it

# Header fields. Those of responses are in lower case, as they are kept.

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
    "Gone": EngineStatus.GONE,
}


class RequestEncoder:
    """Encodes the HTTP requests to one engine."""

    def __init__(self, address: SocketAddress) -> None:
        host, port = address
        self._host = f"{host}:{port}"

    def start(
        self, ref: str, class_name: str, time_budget_s: float, memory_mb: int, statement: bytes
    ) -> bytes:
        """Starts a request; a grant of 0 MB leaves the memory to the engine."""
        fields = f"{REQUEST_ID_FIELD}: {ref}\r\n{CLASS_FIELD}: {class_name}\r\n"
        fields += f"{TIME_BUDGET_FIELD}: {int(time_budget_s * 1000)}\r\n"
        if memory_mb:
            fields += f"{MEMORY_GRANT_FIELD}: {memory_mb}\r\n"
        fields += f"Content-Length: {len(statement)}\r\n"
        return self._encode("POST", "/o", fields) + statement

    def fetch(self, ref: str, page: int) -> bytes:
        """Polls for the first page (0) of a result, or fetches one of those after it."""
        return self._encode("GET", f"/o/{ref}/{page}")

    def cancel(self, ref: str) -> bytes:
        """Has the engine give a request up."""
        return self._encode("DELETE", f"/o/{ref}")

    def _encode(self, method: str, path: str, fields: str = "") -> bytes:
        return f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\n{fields}\r\n".encode()


def proves_never_ran(fields: Mapping[str, str]) -> bool:
    """Whether a response proves that the request had no effect."""
    return fields.get(NEVER_RAN_FIELD) == "1"


def page_count(fields: Mapping[str, str]) -> int | None:
    """The number of pages of a result, None where none can be read."""
    text = fields.get(PAGE_COUNT_FIELD, "")
    return int(text) if _PAGE_COUNT.fullmatch(text) else None


def has_page_number(fields: Mapping[str, str], page: int) -> bool:
    """Whether a response says that it is this page."""
    return fields.get(PAGE_NUMBER_FIELD) == str(page)


def resource_usage(fields: Mapping[str, str]) -> ResourceUsage | None:
    """The work and memory that a request took; None where they are not given or out of range."""
    try:
        work_s = float(fields[WORK_FIELD]) / 1000.0
        memory_mb = float(fields[MEMORY_FIELD])
    except (KeyError, ValueError):
        return None
    if not (0 <= work_s < math.inf and 0 <= memory_mb < math.inf):
        return None
    return ResourceUsage(work_s, memory_mb)


def load_report_columns(fields: Mapping[str, str]) -> dict[str, str]:
    """The columns of an engine's load report, as text by their names; empty where there is none."""
    pairs = (pair.split(":", 1) for pair in fields.get(LOAD_REPORT_FIELD, "").split(";") if ":" in pair)
    return {name.strip(): value for name, value in pairs}


@dataclass(frozen=True, slots=True)
class ListedEngine:
    """One engine as a list names it, before it has an index."""

    name: str
    zone: str
    machine_kind: str
    cell: int  # -1 where none is given
    status: EngineStatus
    started_at: float  # Unix time in seconds
    address: SocketAddress


@dataclass(frozen=True, slots=True)
class ListingEvent:
    """One event of the list that the configuration holds."""

    engines: list[ListedEngine]
    is_complete: bool  # whether engines that it does not name have gone


def known_events(known: Any) -> Iterator[ListingEvent]:
    """Decodes the list of the configuration, an event at a time.

    Raises KeyError, TypeError, ValueError or AttributeError where it is not of that form.
    """
    for notice in known["notices"]:
        pool = notice["pool"]
        yield ListingEvent([_known_engine(member) for member in pool["members"]], bool(pool.get("complete")))


def known_revision(known: Any) -> int:
    """The number of the last event in the list of the configuration; raises as `known_events` does."""
    return int(known["rev"])


def _known_engine(member: dict[str, Any]) -> ListedEngine:
    host, _, port = member["host_port"].rpartition(":")
    return ListedEngine(
        name=member["id"],
        zone=member.get("locality", ""),
        machine_kind=member.get("flavor", ""),
        cell=int(member.get("cell", -1)),
        status=_ENGINE_STATUS_BY_PHASE[member["phase"]],
        started_at=float(member.get("up_since_ms", 0)) / 1000.0,
        address=(host, int(port)),
    )


def dns_query() -> dns.message.Message:
    """A question for the list of engines, under an id of its own."""
    return dns.message.make_query(DNS_SERVICE_NAME, dns.rdatatype.SRV)


def dns_revision(response: dns.message.Message) -> int:
    """The number of the last event that a response knows; raises StopIteration where it gives none."""
    revision: int = next(r[0].serial for r in response.authority if r.rdtype == dns.rdatatype.SOA)
    return revision


def dns_engines(response: dns.message.Message) -> Iterator[ListedEngine]:
    """Decodes the engines of a response, one at a time.

    Raises KeyError where an engine has no address or no text record, ValueError where a figure is none.
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
            cell=int(text.get("cell", -1)),
            status=EngineStatus.UP if srv.priority == 0 else EngineStatus.DRAINING,
            started_at=float(text.get("started", 0)) / 1000.0,
            address=(addresses[srv.target], srv.port),
        )
