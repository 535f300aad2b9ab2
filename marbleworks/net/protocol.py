"""The operators' protocol for clients and the configuration file: its names, limits and conversions.

This module defines the MessagePack-RPC methods, fields and errors for clients, and the keys of a router's
configuration file. No other module in `net/` uses a literal name of the protocol except `engine_protocol`,
which covers engines and the engine list. Apart from reading the configuration file, this module does no I/O.

Durations in typed values are in seconds, whatever the unit of the field; sizes are in bytes or megabytes, as
their names say.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from marbleworks.settings import Settings, SettingsError

# Clients: limits.

MAX_OPEN_CALLS = 32  # for each connection
MAX_MESSAGE_BYTES = 1 << 16
MESSAGE_TIMEOUT_S = 2.0  # for a first message or the rest of one; the service page calls 3 s too long
CLIENT_ARRIVAL_GRACE_S = 0.6  # how long after SIGTERM clients may still connect and send calls

# Clients: methods. Every other method is the name of a request class.

METHOD_HEALTH = "health"
METHOD_PAGE = "page"
METHOD_RELEASE = "release"
METHOD_CANCEL = "cancel"  # a notification

# Clients: fields of calls and results.

FIELD_ABOUT = "about"
FIELD_COST = "cost"
FIELD_ID = "id"
FIELD_MEMORY = "need_mb"
FIELD_PAGE = "page"
FIELD_SPOOL = "spool"
FIELD_TENANT = "tenant"
FIELD_WAIT = "wait"
FIELD_REASON = "why"  # in an error
FIELD_RETRY_AFTER = "after"  # in an error; milliseconds
SPOOL_RESULT = "1"  # value of FIELD_SPOOL in a query whose result is to be stored

_DEFAULT_MEMORY_MB = 192  # for a configuration that names no limit
_BYTES_PER_MB = 1_000_000
_MAX_TOKEN_CHARS = 64
_REQUEST_ID = re.compile(r"[0-9a-f]{16}")
_PAGE_NUMBER = re.compile(r"[1-9]\d{0,8}", re.ASCII)
_DECIMAL = re.compile(r"\d{1,15}(?:\.\d{1,15})?", re.ASCII)


class InvalidCallError(Exception):
    """Raised for a call that is answered with the error `Invalid`; its text is the reason."""


class ErrorName(Enum):
    """Names of the errors sent to clients."""

    INVALID = "Invalid"
    REJECTED = "Rejected"
    FAILED = "Failed"


@dataclass(frozen=True, slots=True)
class CallError:
    """The error that a client gets in place of a result.

    Attributes:
        fields: Values of the error's fields, keyed by the protocol's field names.
    """

    name: ErrorName
    fields: dict[str, str]


def invalid_error(reason: str) -> CallError:
    """Returns the error for a malformed call."""
    return CallError(ErrorName.INVALID, {FIELD_REASON: reason})


def failed_error(reason: str) -> CallError:
    """Returns the error for a call that failed permanently."""
    return CallError(ErrorName.FAILED, {FIELD_REASON: reason})


def rejected_error(retry_after_s: float) -> CallError:
    """Returns the error for a call that may be retried.

    Args:
        retry_after_s: Seconds after which the client may retry; 0 if the error gives no time.
    """
    fields = {FIELD_RETRY_AFTER: str(round(retry_after_s * 1000))} if retry_after_s else {}
    return CallError(ErrorName.REJECTED, fields)


@dataclass(slots=True)  # not frozen, since a frozen instance costs several times as much to create
class QueryCall:
    """A query as its client sent it.

    Attributes:
        class_index: Index of the request class.
        class_name: Name of the request class, which is the call's method.
        request_id: Id of 16 hexadecimal digits.
        tenant: Name of the tenant; empty if the deployment has no tenants.
        timeout_s: Seconds for which the client still waits.
        estimated_work_s: The client's estimate of the work, in seconds on one thread.
        estimated_memory_mb: The client's estimate of the memory, in megabytes.
        statement: The SQL statement.
        stores_result: Whether the result is to be stored, so that the client can read it page by page.
    """

    class_index: int
    class_name: str
    request_id: str
    tenant: str
    timeout_s: float
    estimated_work_s: float
    estimated_memory_mb: float
    statement: bytes
    stores_result: bool


@dataclass(frozen=True, slots=True)
class PageCall:
    """A call for one page of a stored result.

    Attributes:
        number: Number of the page, from 1.
    """

    token: str
    tenant: str
    number: int


@dataclass(frozen=True, slots=True)
class ReleaseCall:
    """A call that deletes a stored result before its expiry."""

    token: str
    tenant: str


def health_topic(fields: Mapping[Any, Any]) -> str | None:
    """Returns the subsystem that a `health` call asks about; None if it names none."""
    topic = fields.get(FIELD_ABOUT)
    return topic if isinstance(topic, str) else None


def decode_query(method: str, fields: Mapping[Any, Any], body: list[Any], settings: Settings) -> QueryCall:
    """Decodes a query.

    Args:
        method: Method of the call; it has to be the name of a request class.
        fields: Fields of the call.
        body: Body of the call, which has to be one byte string.
        settings: Settings of the deployment.

    Raises:
        InvalidCallError: A field or the body is missing or out of range.
    """
    if len(body) != 1 or not isinstance(body[0], bytes):
        raise InvalidCallError("the body is not a single value of type bin")
    request_id = fields.get(FIELD_ID)
    if not isinstance(request_id, str) or not _REQUEST_ID.fullmatch(request_id):
        raise InvalidCallError("id is not 16 hex digits")
    tenant = _decode_tenant(fields, settings)
    class_index = settings.class_index[method]
    max_timeout_s = settings.client_timeouts_s[class_index]
    fleet = settings.fleet  # an estimate beyond what its largest engine could provide is invalid
    max_cost_ms = 1000.0 * max_timeout_s * max(fleet.cores_by_kind)
    timeout_ms = _decode_number(fields, FIELD_WAIT, 2000.0 * max_timeout_s)
    cost_ms = _decode_number(fields, FIELD_COST, max_cost_ms)
    memory_mb = _decode_number(fields, FIELD_MEMORY, max(fleet.memory_mb_by_kind))
    if timeout_ms <= 0:
        raise InvalidCallError("wait is not greater than 0")
    return QueryCall(
        class_index=class_index,
        class_name=method,
        request_id=request_id,
        tenant=tenant,
        timeout_s=timeout_ms / 1000.0,
        estimated_work_s=cost_ms / 1000.0,
        estimated_memory_mb=memory_mb,
        statement=body[0],
        stores_result=fields.get(FIELD_SPOOL) == SPOOL_RESULT,
    )


def decode_page_call(fields: Mapping[Any, Any], settings: Settings) -> PageCall:
    """Decodes a call for a page.

    Raises:
        InvalidCallError: A field is missing or out of range.
    """
    tenant = _decode_tenant(fields, settings)
    token = _decode_token(fields)
    number = fields.get(FIELD_PAGE, "")
    if not isinstance(number, str) or not _PAGE_NUMBER.fullmatch(number):
        raise InvalidCallError("page is not a whole number of at least 1")
    return PageCall(token, tenant, int(number))


def decode_release_call(fields: Mapping[Any, Any], settings: Settings) -> ReleaseCall:
    """Decodes a call that releases a stored result.

    Raises:
        InvalidCallError: A field is missing or out of range.
    """
    tenant = _decode_tenant(fields, settings)
    return ReleaseCall(_decode_token(fields), tenant)


def _decode_tenant(fields: Mapping[Any, Any], settings: Settings) -> str:
    if not settings.tenant_index:
        return ""
    tenant = fields.get(FIELD_TENANT, "")
    if not isinstance(tenant, str) or tenant not in settings.tenant_index:
        raise InvalidCallError("unknown tenant")
    return tenant


def _decode_token(fields: Mapping[Any, Any]) -> str:
    token = fields.get(FIELD_SPOOL)
    if not isinstance(token, str) or not 0 < len(token) <= _MAX_TOKEN_CHARS:
        raise InvalidCallError("spool is not the token of a stored result")
    return token


def _decode_number(fields: Mapping[Any, Any], name: str, maximum: float) -> float:
    text = fields.get(name)
    if not isinstance(text, str) or not _DECIMAL.fullmatch(text) or float(text) > maximum:
        raise InvalidCallError(f"{name} is not a number in range")
    return float(text)


@dataclass(frozen=True)
class RouterConfig:
    """One router's addresses and limits, and the settings of its deployment.

    Attributes:
        name: Name of the router.
        seed: Seed of its random numbers.
        listen: Address for clients' connections.
        peer_listen: Address for datagrams from other routers.
        peers: Addresses of all routers, by index.
        peer_broadcast: Address at which a datagram reaches all peers.
        nameserver: Address of the name server that serves the engine list.
        max_descriptors: Number of file descriptors that the router may hold.
        memory_limit_bytes: Memory above which the platform kills the router.
        initial_engines: The engine list at the start, as in the operators' file.
        settings: Settings of the deployment.
    """

    name: str
    seed: int
    listen: tuple[str, int]
    peer_listen: tuple[str, int]
    peers: list[tuple[str, int]]
    peer_broadcast: tuple[str, int]
    nameserver: tuple[str, int]
    max_descriptors: int
    memory_limit_bytes: int
    initial_engines: Any
    settings: Settings

    @classmethod
    def read(cls, path: str) -> RouterConfig:
        """Reads the operators' configuration file.

        Raises:
            SettingsError: The file cannot be read, or a value is missing or invalid.
        """
        try:
            raw = json.loads(Path(path).read_text("utf-8"))
            return cls(
                name=str(raw["name"]),
                seed=int(raw["seed"], 16),
                listen=_decode_address(raw["listen"]),
                peer_listen=_decode_address(raw["peer_listen"]),
                peers=[_decode_address(text) for text in raw["peers"]],
                peer_broadcast=_decode_address(raw["peers_all"]),
                nameserver=_decode_address(raw["nameserver"]),
                max_descriptors=int(raw["limits"]["sockets"]),
                memory_limit_bytes=round(
                    float(raw["limits"].get("memory_mb", _DEFAULT_MEMORY_MB)) * _BYTES_PER_MB
                ),
                initial_engines=raw["known"],
                settings=Settings(raw["settings"]),
            )
        except OSError as err:
            raise SettingsError(f"{path}: {err.strerror}") from None
        except KeyError as err:
            raise SettingsError(f"{path}: {err.args[0]} is missing") from None
        except (ValueError, TypeError, AttributeError) as err:
            raise SettingsError(f"{path}: {err}") from None


def _decode_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"{text!r} is not an address of the form HOST:PORT")
    return host, int(port)
