"""Tests of the choice of a connection that is closed when a new one needs its place."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from marbleworks.net.connection_eviction import connection_to_evict

NOW = 100.0


@dataclass
class Connection:
    """A connection in a given state; times are ages in seconds."""

    name: str
    age: float = 9.0
    used: float | None = None
    partial: float | None = None
    is_open: bool = False
    has_unhandled: bool = False
    has_requested: bool = True

    @property
    def opened_at(self) -> float:
        return NOW - self.age

    @property
    def last_used_at(self) -> float | None:
        return None if self.used is None else NOW - self.used

    @property
    def partial_since(self) -> float | None:
        return None if self.partial is None else NOW - self.partial

    def is_unused(self) -> bool:
        return not self.is_open


USUAL = Connection("usual", used=0.1)
RESTING = Connection("resting", used=3.0)
SILENT = Connection("silent", age=0.3)
NEW = Connection("new", age=0.1)
STALLED = Connection("stalled", age=0.6, partial=0.6)
INVALID = Connection("invalid", used=0.01, has_requested=False)
SLOW = Connection("slow", partial=0.3)
BUSY = Connection("busy", used=5.0, is_open=True)


@pytest.mark.parametrize(
    ("connections", "evicted"),
    [
        ([], None),
        ([BUSY], None),
        ([USUAL, RESTING, SILENT, NEW, STALLED], "silent"),
        ([USUAL, RESTING, NEW, STALLED], "resting"),
        ([USUAL, NEW, STALLED], "stalled"),
        ([USUAL, NEW, SLOW], None),
        ([USUAL, RESTING, INVALID, STALLED], "invalid"),
        ([USUAL, INVALID, Connection("longer", used=0.05, has_requested=False)], "longer"),
        ([USUAL, NEW], None),
        ([USUAL, SLOW], None),
        ([Connection("first", used=0.5), USUAL, BUSY], "first"),
        ([USUAL, BUSY], None),
        ([Connection("read next", has_unhandled=True), SILENT], "silent"),
        ([Connection("read next", used=2.0, has_unhandled=True), RESTING], "resting"),
        ([Connection("older", partial=0.7), Connection("oldest", partial=0.8)], "oldest"),
    ],
    ids=lambda value: "+".join(c.name for c in value) if isinstance(value, list) else None,
)
def test_clients_in_use_keep_their_places_while_there_are_others(
    connections: list[Connection], evicted: str | None
) -> None:
    """Guards against a crowd that takes the places of clients which are only between two requests."""
    connection = connection_to_evict(connections, NOW)
    assert (connection.name if connection else None) == evicted
