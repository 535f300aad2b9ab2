"""The record of a run: what was sent, answered and run, with the times of the system's clock."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(frozen=True, slots=True)
class RecordedEvent:
    """One event of a run.

    Attributes:
        at: Unix time in seconds.
        place: The stand-in or process that saw the event.
        action: What happened.
        request_id: Id of the request; empty if the event belongs to none.
        detail: Further text.
    """

    at: float
    place: str
    action: str
    request_id: str = ""
    detail: str = ""


@dataclass
class Record:
    """All events of a run, in the order in which they were seen.

    Attributes:
        started_at: Unix time in seconds at which the run began.
        events: The events.
    """

    started_at: float = field(default_factory=time.time)
    events: list[RecordedEvent] = field(default_factory=list)

    def add(self, place: str, action: str, request_id: str = "", detail: str = "") -> RecordedEvent:
        """Appends an event that has just happened and returns it."""
        event = RecordedEvent(time.time(), place, action, request_id, detail)
        self.events.append(event)
        return event

    def of_action(self, action: str) -> list[RecordedEvent]:
        """Returns the events with an action."""
        return [event for event in self.events if event.action == action]

    def write(self, path: Path, verdict: list[str]) -> None:
        """Writes the verdict and all events to a file; times are seconds since the start of the run."""
        lines = [*verdict, "", "seconds place action request detail"]
        for event in self.events:
            seconds = f"{event.at - self.started_at:9.3f}"
            lines.append(f"{seconds} {event.place} {event.action} {event.request_id} {event.detail}")
        path.write_text("\n".join(line.rstrip() for line in lines) + "\n", "utf-8")
