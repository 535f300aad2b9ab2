"""The simulator's wire, and the only place that knows its words and units.

Lines of `name<TAB>field=value...` are read into the types of `model.py`, and what a scheduler asks for is
written as lines. Times on the wire are milliseconds.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeVar

from marbleworks.model import AttemptOutcome, EngineEntry, EngineStatus, LoadReport
from marbleworks.settings import Settings, SettingsError

T = TypeVar("T")
QUOTED_CHARS = 40
"""Characters of a wrong word that an error quotes."""
WORK_UNIT = 4096
"""An answer's cost is its work in milliseconds times this, plus its memory in units of `MEMORY_UNIT_MB`."""
MEMORY_UNIT_MB = 4.0

# Messages that a router gets.

ROUTER_CREATED = "provision"
ROUTER_DESTROYED = "destroy"
ROUTER_SELECTED = "context"
LISTING_OPENED = "snapshot_rows"
LISTING_ITEM = "item"
REQUEST_ARRIVED = "work_item"
ATTEMPT_ENDED = "reply"
ATTEMPT_NOTE = "interim"
STREAM_BEGUN = "first"
TIMER = "timer"
ENGINES_LISTED = "peers_known"
CLIENT_LEFT = "aborted"
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
ENGINE_STATUSES = {"IN": EngineStatus.UP, "LAME": EngineStatus.DRAINING, "OUT": EngineStatus.GONE}
LISTING_FAILED = "error"
LISTING_CHANGES = "diff"
LISTING_FORMS = (LISTING_CHANGES, "snapshot", "disk", LISTING_FAILED)
NOTE_PROGRESS, NOTE_SPILLING, NOTE_STALLED = 1, 2, 3
EMPTY_BODY = "-"
EVERY_PEER = -1
TIMER_CONTEXT = 0


class WireError(Exception):
    """A line that cannot be read, with the part that is wrong."""


class Line:
    """One line of the wire: its name, and its fields by name.

    Raises:
        WireError: a field is not written as `name=value`.
    """

    def __init__(self, text: str) -> None:
        self.name, _, rest = text.rstrip("\n").partition("\t")
        if self.name == "provision":  # the settings run to the end of the line
            rest, _, self.tail = rest.partition("profile_data=")
        self.fields: dict[str, str] = {}
        for field in rest.split("\t"):
            if field:
                key, equals, value = field.partition("=")
                if not equals:
                    raise WireError(f"{self.name}: {field[:QUOTED_CHARS]!r} is not name=value")
                self.fields[key] = value

    def text(self, key: str) -> str:
        """Returns a field; raises WireError where it is missing, as do the readers below."""
        try:
            return self.fields[key]
        except KeyError:
            raise WireError(f"{self.name}: {key} is missing") from None

    def number(self, key: str, absent: float | None = None) -> float:
        """Reads a finite number; `absent` stands for a field that is missing."""
        if absent is not None and key not in self.fields:
            return absent
        try:
            value = float(self.text(key))
        except ValueError:
            raise self.error(key, "is not a number") from None
        if not math.isfinite(value):
            raise WireError(f"{self.name}: {key} is not finite")
        return value

    def seconds(self, key: str, absent: float | None = None) -> float:
        """Reads a number of milliseconds, in seconds."""
        return self.number(key, absent) / 1000.0

    def integer(self, key: str, absent: int | None = None) -> int:
        """Reads a whole number; `absent` stands for a field that is missing."""
        if absent is not None and key not in self.fields:
            return absent
        try:
            return int(self.text(key))
        except ValueError:
            raise self.error(key, "is not a whole number") from None

    def choice(self, key: str, choices: Mapping[str, T]) -> T:
        """Reads one of several words, as what it stands for."""
        try:
            return choices[self.text(key)]
        except KeyError:
            raise self.error(key, "is not known") from None

    def error(self, key: str, problem: str) -> WireError:
        """An error about a field's value, to be raised."""
        return WireError(f"{self.name}: {key}={self.fields[key][:QUOTED_CHARS]!r} {problem}")


class Arrival(NamedTuple):
    """A request as it arrives; its fields are the arguments of `Scheduler.submit`."""

    ref: str
    class_index: int
    table_group: int
    ordering_key: str
    estimate: tuple[float, float]
    tenant: int
    time_left_s: float


class Note(NamedTuple):
    """What an engine says of an attempt that runs.

    Attributes:
        attempt_no: which attempt of the request.
        progress: the share done; None where it does not say.
        is_stalled: whether the attempt stands still.
    """

    attempt_no: int
    progress: float | None
    is_stalled: bool


@dataclass(frozen=True, slots=True)
class Batch:
    """The events of one moment.

    Attributes:
        now: the simulation's clock in seconds.
        frame: its number, as it is written.
        events: its lines.
    """

    now: float
    frame: str
    events: list[Line]


def read_batches(lines: Iterable[str]) -> Iterator[Batch]:
    """Reads batches of lines.

    Raises:
        WireError: a line is not right or not in its place; the error names the batch.
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
                    raise WireError("batch: the one before has no flush")
                is_open = True
                events = []
                frame = "?"
                line.integer("frame")
                frame = line.text("frame")
                now = line.seconds("sim_time_ms")
            elif not is_open:
                if text.strip():
                    raise WireError(f"{line.name[:QUOTED_CHARS]}: outside a batch")
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
    """Reads the settings of a router that is created."""
    try:
        return Settings(json.loads(line.tail))
    except (ValueError, SettingsError) as error:
        raise WireError(f"provision: profile_data: {error}") from None


def read_seed(line: Line) -> int:
    """Reads the seed of a router that is created."""
    return line.integer("salt")


def read_arrival(line: Line, settings: Settings) -> Arrival:
    """Reads a request that arrives."""
    ref = line.text("handle")
    tenant = line.fields.get("org", "0")
    return Arrival(
        ref=ref,
        class_index=line.choice("cls", settings.class_index),
        table_group=int(line.number("schema_no", 0.0)),
        ordering_key=line.fields.get("relation", ""),
        estimate=(line.seconds("est_cost_ms", 0.0), line.number("footprint_mb", 0.0)),
        tenant=settings.tenant_index.get(tenant, -1),
        time_left_s=line.seconds("remaining_ms"),
    )


def read_note(line: Line) -> Note:
    """Reads what an engine says of an attempt that runs."""
    attempt_no = line.integer("seq_no")
    kind = line.integer("kind")
    amount = line.number("amount")
    if kind not in (NOTE_PROGRESS, NOTE_SPILLING, NOTE_STALLED):
        raise WireError(f"interim: kind={kind} is not known")
    return Note(attempt_no, amount if kind == NOTE_PROGRESS else None, kind == NOTE_STALLED)


def read_engine(line: Line, settings: Settings, engine_id: int) -> EngineEntry:
    """Reads one engine of a list."""
    words = line.fields.get("site", ""), line.fields.get("machine", "")
    status = line.choice("availability", ENGINE_STATUSES)
    cell = line.integer("cohort", -1)
    started_at = line.seconds("started_at_ms", 0.0)
    return settings.engine_entry(engine_id, line.text("engine"), words, cell, status, started_at)


def read_load_report(line: Line, settings: Settings) -> LoadReport | None:
    """Reads an engine's load report; None where there is none."""
    row = line.fields.get("pressure", "")
    values = dict(zip(settings.load_report_columns, row.split(","), strict=False)) if row else {}
    try:
        return settings.load_report(values)
    except ValueError:
        raise WireError(
            f"{line.name}: pressure={row[:QUOTED_CHARS]!r} is not a row of finite numbers"
        ) from None


def read_usage(line: Line) -> tuple[float, float] | None:
    """Reads the work in seconds and the memory in megabytes of an answer; None where it does not say."""
    cost = line.integer("true_cost", 0)
    if not cost:
        return None
    return cost // WORK_UNIT / 1000.0, cost % WORK_UNIT * MEMORY_UNIT_MB


def read_body(line: Line) -> bytes:
    """Reads a message of a peer."""
    body = line.text("body")
    try:
        return b"" if body == EMPTY_BODY else bytes.fromhex(body)
    except ValueError:
        raise line.error("body", "is not hex") from None


def start_attempt(ref: str, engine: str, deadline: float) -> str:
    """Has an attempt sent."""
    return action("relay", handle=ref, cut_at_ms=milliseconds(deadline), engine=engine)


def cancel_attempt(ref: str, attempt_no: int) -> str:
    """Has an attempt cancelled."""
    return action("revoke", handle=ref, seq_no=attempt_no)


def set_attempt_terms(ref: str, priority: int, memory_mb: float) -> str:
    """Sets the priority and the memory of a request's next attempt."""
    return action("tune", handle=ref, rank=priority, allot_mb=f"{memory_mb:.0f}")


def shed(ref: str, retry_after_s: float) -> str:
    """Sheds a request; 0 names no Retry-After."""
    retry_after_ms = milliseconds(retry_after_s) if retry_after_s else None
    return action("refuse", handle=ref, retry_after_ms=retry_after_ms)


def fail(ref: str) -> str:
    """Fails a request."""
    return action("report_failure", handle=ref)


def probe(engine: str) -> str:
    """Asks an engine for its load."""
    return action("poll", engine=engine)


def broadcast(data: bytes) -> str:
    """Sends a message to every peer."""
    return action("say", whom=EVERY_PEER, body=data.hex() or EMPTY_BODY)


def wake(at: float) -> str:
    """Asks for a timer; it cannot be taken back."""
    return action("wake_me", ctx=TIMER_CONTEXT, due_at_ms=milliseconds(at))


def log(text: str) -> str:
    """Logs a line."""
    return action("say_log", msg=text)


def fatal(error: Exception) -> str:
    """Reports an error of the scheduler."""
    return action("fatal", msg=f"{type(error).__name__}: {error}".replace("\n", " "))


def router_heading(number: int) -> str:
    """Says whose the next lines are."""
    return action("at", router=number)


def acknowledge(frame: str) -> str:
    """Ends the answer to a batch."""
    return action("ack", frame=frame)


def action(name: str, **fields: Any) -> str:
    """Writes one line; fields that are None are left out."""
    written = [f"{key}={value}" for key, value in fields.items() if value is not None]
    return "\t".join([name, *written])


def milliseconds(seconds: float) -> str:
    """Writes a time."""
    return f"{seconds * 1000.0:.3f}"
