"""The simulator's wire: its words and units turned into ours, and ours into its own."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from typing import Any

from marbleworks.model import AttemptOutcome, EngineEntry, EngineStatus, LoadReport
from marbleworks.settings import Settings

ENDINGS = {
    "app_error": AttemptOutcome.ERROR,
    "shed": AttemptOutcome.REJECTED,
    "expired": AttemptOutcome.TIMED_OUT,
    "dial_failed": AttemptOutcome.UNREACHABLE,
    "dropped": AttemptOutcome.CONNECTION_LOST,
    "revoked": AttemptOutcome.CANCELLED,
    "unused": AttemptOutcome.UNSENT,
}
LISTED = {"IN": EngineStatus.UP, "LAME": EngineStatus.DRAINING, "OUT": EngineStatus.GONE}


class WireError(Exception):
    """A line that cannot be read, with the part that is wrong."""


class Line:
    """One line of the wire: its name, and its parts by name."""

    def __init__(self, text: str) -> None:
        self.name, _, rest = text.rstrip("\n").partition("\t")
        if self.name == "provision":  # the settings run to the end of the line
            rest, _, self.tail = rest.partition("profile_data=")
        self.parts: dict[str, str] = {}
        for part in rest.split("\t"):
            if part:
                key, eq, value = part.partition("=")
                if not eq:
                    raise WireError(f"{self.name}: {part[:40]!r} is not name=value")
                self.parts[key] = value

    def text(self, key: str) -> str:
        try:
            return self.parts[key]
        except KeyError:
            raise WireError(f"{self.name}: {key} is missing") from None

    def number(self, key: str, absent: float | None = None) -> float:
        if absent is not None and key not in self.parts:
            return absent
        try:
            value = float(self.text(key))
        except ValueError:
            raise WireError(f"{self.name}: {key}={self.parts[key][:40]!r} is not a number") from None
        if not math.isfinite(value):
            raise WireError(f"{self.name}: {key} is not finite")
        return value

    def seconds(self, key: str, absent: float | None = None) -> float:
        return self.number(key, absent) / 1000.0

    def whole(self, key: str, absent: int | None = None) -> int:
        if absent is not None and key not in self.parts:
            return absent
        try:
            return int(self.text(key))
        except ValueError:
            raise WireError(f"{self.name}: {key}={self.parts[key][:40]!r} is not a whole number") from None

    def choice(self, key: str, among: dict[str, Any]) -> Any:
        try:
            return among[self.text(key)]
        except KeyError:
            raise WireError(f"{self.name}: {key}={self.parts[key][:40]!r} is not known") from None


def entry(line: Line, deployment: Settings, be: int) -> EngineEntry:
    words = line.parts.get("site", ""), line.parts.get("machine", "")
    listed = line.choice("availability", LISTED)
    cell, started = line.whole("cohort", -1), line.seconds("started_at_ms", 0.0)
    return deployment.engine_entry(be, line.text("engine"), words, cell, listed, started)


def report(line: Line, deployment: Settings) -> LoadReport | None:
    row = line.parts.get("pressure", "")
    try:
        return deployment.load_report(
            dict(zip(deployment.load_report_columns, row.split(","), strict=False)) if row else {}
        )
    except ValueError:
        raise WireError(f"{line.name}: pressure={row[:40]!r} is not a row of finite numbers") from None


def need(line: Line) -> tuple[float, float] | None:
    """Work in seconds and memory in megabytes that an answered command needed, where told."""
    told = line.whole("true_cost", 0)
    return (told // 4096 / 1000.0, told % 4096 * 4.0) if told else None


def batches(lines: Iterable[str]) -> Iterator[tuple[float, str, list[Line]]]:
    """Clock, frame number and events of each batch."""
    frame, now, inside = "?", 0.0, False
    events: list[Line] = []
    for text in lines:
        try:
            line = Line(text)
            if line.name == "batch":
                if inside:
                    raise WireError("batch: the one before has no flush")
                inside, events, frame = True, [], "?"
                line.whole("frame")
                frame = line.text("frame")
                now = line.seconds("sim_time_ms")
            elif not inside:
                if text.strip():
                    raise WireError(f"{line.name[:40]}: outside a batch")
            elif line.name == "flush":
                inside = False
                yield now, frame, events
            else:
                events.append(line)
        except WireError as err:
            raise WireError(f"batch {frame}: {err}") from None
    if inside:
        raise WireError(f"batch {frame}: input ends before flush")


def action(name: str, **parts: Any) -> str:
    """One line of a reply; parts that are None are left out."""
    fields = [f"{key}={value}" for key, value in parts.items() if value is not None]
    return "\t".join([name, *fields])


def ms(seconds: float) -> str:
    return f"{seconds * 1000.0:.3f}"
