"""The record of a case: what was sent, answered and run, in the order in which it was seen."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Entry:
    """One event.

    Attributes:
        at: Unix time in seconds.
        source: Who saw it: an engine, a client, a router or the case itself.
        event: What happened, in one word.
        request_id: The client's id of the request; empty if the event is about none.
        detail: Further text.
    """

    at: float
    source: str
    event: str
    request_id: str
    detail: str


class Record:
    """All events of a case, which are written to a file at its end."""

    def __init__(self) -> None:
        self.began_at = time.time()
        self.entries: list[Entry] = []

    def add(self, source: str, event: str, request_id: str = "", detail: str = "") -> None:
        """Adds an event that happens now."""
        self.entries.append(Entry(time.time(), source, event, request_id, detail))

    def by_request(self, event: str) -> dict[str, list[Entry]]:
        """Returns the events of one kind, by request id."""
        entries: dict[str, list[Entry]] = {}
        for entry in self.entries:
            if entry.event == event:
                entries.setdefault(entry.request_id, []).append(entry)
        return entries

    def count(self, event: str) -> int:
        """Returns the number of events of one kind."""
        return sum(entry.event == event for entry in self.entries)

    def write(self, path: Path) -> None:
        """Writes the events to a file, one a line; times are seconds since the begin of the case."""
        lines = [
            f"{entry.at - self.began_at:10.4f} {entry.source:<10} {entry.event:<16} "
            f"{entry.request_id:<16} {entry.detail}".rstrip()
            for entry in self.entries
        ]
        path.write_text("\n".join([*lines, ""]), "utf-8")
