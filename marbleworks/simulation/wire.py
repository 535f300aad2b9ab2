"""The simulator's line protocol; no other module depends on its names and units.

Lines of the form `name<TAB>field=value...` are read into the types of `model.py`, and the calls of a
scheduler are written as lines. Times in the protocol are milliseconds.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeVar

from marbleworks.model import UNKNOWN_INDEX, AttemptOutcome, EngineEntry, EngineStatus, LoadReport
from marbleworks.settings import Settings, SettingsError

T = TypeVar("T")
MAX_QUOTED_CHARS = 40
"""Maximum number of characters of an invalid value that an error message quotes."""
WORK_UNIT = 4096
"""The cost of an answer is its work in milliseconds times this, plus its memory in `MEMORY_UNIT_MB` units."""
MEMORY_UNIT_MB = 4.0

# Messages from the simulator.

ROUTER_CREATED = "provision"
ROUTER_DESTROYED = "destroy"
ROUTER_SELECTED = "context"
ENGINE_LIST_STARTED = "snapshot_rows"
ENGINE_LIST_ITEM = "item"
REQUEST_ARRIVED = "work_item"
ATTEMPT_ENDED = "reply"
ATTEMPT_PROGRESS = "interim"
STREAM_STARTED = "first"
TIMER = "timer"
ENGINE_LIST_RECEIVED = "peers_known"
CLIENT_DISCONNECTED = "aborted"
PROBE_RESULT = "health_result"
PEER_MESSAGE = "heard"

ANSWERED = "delivered"
OUTCOMES = {
    "app_error": AttemptOutcome.ERROR,
    "shed": AttemptOutcome.REJECTED,
    "expired": AttemptOutcome.TIMED_OUT,
    "dial_failed": AttemptOutcome.UNREACHABLE,
    "dropped": AttemptOutcome.CONNECTION_LOST,
    "revoked": AttemptOutcome.CANCELLED,
    "unused": AttemptOutcome.UNSENT,
}
ENGINE_STATUSES = {"IN": EngineStatus.UP, "LAME": EngineStatus.DRAINING, "OUT": EngineStatus.REMOVED}
ENGINE_LIST_FAILED = "error"
ENGINE_LIST_CHANGES = "diff"
ENGINE_LIST_FORMS = (ENGINE_LIST_CHANGES, "snapshot", "disk", ENGINE_LIST_FAILED)
KIND_PROGRESS, KIND_SPILLING, KIND_STALLED = 1, 2, 3
EMPTY_BODY = "-"
ALL_PEERS = -1
TIMER_CONTEXT = 0


class WireError(Exception):
    """A line cannot be read; the message names the invalid part."""


class Line:
    """One line of the protocol: its name, and its fields keyed by name.

    Args:
        text: the line as received.

    Attributes:
        tail: the settings of a new router as JSON; only for `provision`.

    Raises:
        WireError: a field is not written as `name=value`.
    """

    def __init__(self, text: str) -> None:
        self.name, _, rest = text.rstrip("\n").partition("\t")
        if self.name == "provision":  # the settings are the rest of the line
            rest, _, self.tail = rest.partition("profile_data=")
        self.fields: dict[str, str] = {}
        for field in rest.split("\t"):
            if field:
                key, equals, value = field.partition("=")
                if not equals:
                    raise WireError(f"{self.name}: {field[:MAX_QUOTED_CHARS]!r} is not name=value")
                self.fields[key] = value

    def text(self, key: str) -> str:
        """Returns a field as text.

        Raises:
            WireError: the field is missing; the methods below raise it too.
        """
        try:
            return self.fields[key]
        except KeyError:
            raise WireError(f"{self.name}: {key} is missing") from None

    def number(self, key: str, default: float | None = None) -> float:
        """Reads a finite number; a missing field has the value `default`, unless that is None."""
        if default is not None and key not in self.fields:
            return default
        try:
            value = float(self.text(key))
        except ValueError:
            raise self.error(key, "is not a number") from None
        if not math.isfinite(value):
            raise WireError(f"{self.name}: {key} is not finite")
        return value

    def seconds(self, key: str, default: float | None = None) -> float:
        """Reads a time in milliseconds and returns it in seconds; `default` is in milliseconds too."""
        return self.number(key, default) / 1000.0

    def integer(self, key: str, default: int | None = None) -> int:
        """Reads a whole number; a missing field has the value `default`, unless that is None."""
        if default is not None and key not in self.fields:
            return default
        try:
            return int(self.text(key))
        except ValueError:
            raise self.error(key, "is not a whole number") from None

    def choice(self, key: str, choices: Mapping[str, T]) -> T:
        """Reads one of the keys of `choices` and returns its value."""
        try:
            return choices[self.text(key)]
        except KeyError:
            raise self.error(key, "is unknown") from None

    def error(self, key: str, problem: str) -> WireError:
        """Returns an error about a field's value, for the caller to raise."""
        return WireError(f"{self.name}: {key}={self.fields[key][:MAX_QUOTED_CHARS]!r} {problem}")


class IncomingRequest(NamedTuple):
    """An incoming request; the fields are the arguments of `Scheduler.submit`."""

    ref: str
    class_index: int
    table_group: int
    ordering_key: str
    estimate: tuple[float, float]
    tenant: int
    time_left_s: float


class ProgressReport(NamedTuple):
    """A progress report of an engine about a running attempt.

    Attributes:
        attempt_no: number of the attempt within the request.
        progress: fraction of the work that is done; None if the report has none.
        is_stalled: whether the attempt makes no progress.
    """

    attempt_no: int
    progress: float | None
    is_stalled: bool


@dataclass(frozen=True, slots=True)
class Batch:
    """The events of one moment of the simulation.

    Attributes:
        now: the simulation's time in seconds.
        frame: number of the batch, as received.
        events: the lines of the batch.
    """

    now: float
    frame: str
    events: list[Line]


def read_batches(lines: Iterable[str]) -> Iterator[Batch]:
    """Groups lines into batches.

    Raises:
        WireError: a line is invalid or out of place; the message names the batch.
    """
    frame = "?"
    now = 0.0
    is_open = False
    events: list[Line] = []
    for text in lines:
        try:
            line = Line(text)
            if line.name == "batch":
                if is_open:
                    raise WireError("batch: the previous batch has no flush")
                is_open = True
                events = []
                frame = "?"
                line.integer("frame")
                frame = line.text("frame")
                now = line.seconds("sim_time_ms")
            elif not is_open:
                if text.strip():
                    raise WireError(f"{line.name[:MAX_QUOTED_CHARS]}: outside a batch")
            elif line.name == "flush":
                is_open = False
                yield Batch(now, frame, events)
            else:
                events.append(line)
        except WireError as error:
            raise WireError(f"batch {frame}: {error}") from None
    if is_open:
        raise WireError(f"batch {frame}: input ends before flush")


def read_settings(line: Line) -> Settings:
    """Reads the settings of a new router."""
    try:
        return Settings(json.loads(line.tail))
    except (ValueError, SettingsError) as error:
        raise WireError(f"provision: profile_data: {error}") from None


def read_seed(line: Line) -> int:
    """Reads the seed of a new router."""
    return line.integer("salt")


def read_request(line: Line, settings: Settings) -> IncomingRequest:
    """Reads an incoming request."""
    ref = line.text("handle")
    tenant = line.fields.get("org", "0")
    return IncomingRequest(
        ref=ref,
        class_index=line.choice("cls", settings.class_index),
        table_group=int(line.number("schema_no", 0.0)),
        ordering_key=line.fields.get("relation", ""),
        estimate=(line.seconds("est_cost_ms", 0.0), line.number("footprint_mb", 0.0)),
        tenant=settings.tenant_index.get(tenant, -1),
        time_left_s=line.seconds("remaining_ms"),
    )


def read_progress_report(line: Line) -> ProgressReport:
    """Reads a progress report of an engine about a running attempt."""
    attempt_no = line.integer("seq_no")
    kind = line.integer("kind")
    amount = line.number("amount")
    if kind not in (KIND_PROGRESS, KIND_SPILLING, KIND_STALLED):
        raise WireError(f"interim: kind={kind} is unknown")
    return ProgressReport(attempt_no, amount if kind == KIND_PROGRESS else None, kind == KIND_STALLED)


def read_engine(line: Line, settings: Settings, engine_id: int) -> EngineEntry:
    """Reads one engine of an engine list."""
    location = line.fields.get("site", ""), line.fields.get("machine", "")
    status = line.choice("availability", ENGINE_STATUSES)
    cell = line.integer("cohort", UNKNOWN_INDEX)
    started_at = line.seconds("started_at_ms", 0.0)
    return settings.engine_entry(engine_id, line.text("engine"), location, cell, status, started_at)


def read_load_report(line: Line, settings: Settings) -> LoadReport | None:
    """Reads an engine's load report; returns None if there is none."""
    row = line.fields.get("pressure", "")
    values = dict(zip(settings.load_report_columns, row.split(","), strict=False)) if row else {}
    try:
        return settings.load_report(values)
    except ValueError:
        raise WireError(
            f"{line.name}: pressure={row[:MAX_QUOTED_CHARS]!r} is not a row of finite numbers"
        ) from None


def read_usage(line: Line) -> tuple[float, float] | None:
    """Reads the work in seconds and the memory in megabytes of an answer; returns None if it has neither."""
    cost = line.integer("true_cost", 0)
    if not cost:
        return None
    return cost // WORK_UNIT / 1000.0, cost % WORK_UNIT * MEMORY_UNIT_MB


def read_body(line: Line) -> bytes:
    """Reads a message from a peer."""
    body = line.text("body")
    try:
        return b"" if body == EMPTY_BODY else bytes.fromhex(body)
    except ValueError:
        raise line.error("body", "is not hex") from None


def start_attempt(ref: str, engine: str, deadline: float) -> str:
    """Formats the action that sends an attempt; `deadline` is in seconds."""
    return action("relay", handle=ref, cut_at_ms=format_milliseconds(deadline), engine=engine)


def cancel_attempt(ref: str, attempt_no: int) -> str:
    """Formats the action that cancels an attempt."""
    return action("revoke", handle=ref, seq_no=attempt_no)


def set_attempt_terms(ref: str, priority: int, memory_mb: float) -> str:
    """Formats the action that sets the priority and the memory of a request's next attempt."""
    return action("tune", handle=ref, rank=priority, allot_mb=f"{memory_mb:.0f}")


def shed(ref: str, retry_after_s: float) -> str:
    """Formats the action that sheds a request; without a Retry-After if `retry_after_s` is 0."""
    retry_after_ms = format_milliseconds(retry_after_s) if retry_after_s else None
    return action("refuse", handle=ref, retry_after_ms=retry_after_ms)


def fail(ref: str) -> str:
    """Formats the action that fails a request."""
    return action("report_failure", handle=ref)


def probe(engine: str) -> str:
    """Formats the action that asks an engine for its load."""
    return action("poll", engine=engine)


def broadcast(data: bytes) -> str:
    """Formats the action that sends a message to every peer."""
    return action("say", whom=ALL_PEERS, body=data.hex() or EMPTY_BODY)


def schedule_wakeup(at: float) -> str:
    """Formats the action that requests a timer, which cannot be cancelled."""
    return action("wake_me", ctx=TIMER_CONTEXT, due_at_ms=format_milliseconds(at))


def log(text: str) -> str:
    """Formats the action that writes a line to the simulator's log."""
    return action("say_log", msg=text)


def report_error(error: Exception) -> str:
    """Formats the action that reports an exception of the scheduler."""
    return action("fatal", msg=f"{type(error).__name__}: {error}".replace("\n", " "))


def router_header(number: int) -> str:
    """Formats the line that names the router of the next lines."""
    return action("at", router=number)


def acknowledge(frame: str) -> str:
    """Formats the line that ends the answer to a batch."""
    return action("ack", frame=frame)


def action(name: str, **fields: Any) -> str:
    """Formats one line; fields that are None are left out."""
    parts = [f"{key}={value}" for key, value in fields.items() if value is not None]
    return "\t".join([name, *parts])


def format_milliseconds(seconds: float) -> str:
    """Formats a time as milliseconds."""
    return f"{seconds * 1000.0:.3f}"
