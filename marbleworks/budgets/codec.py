"""The bytes of what routers tell the one that divides of their budgets, and of its answers. No I/O, no clock.

It owns the format, sealed as the group's other datagrams are. An entry is a row of numbers; what a later
version adds behind is passed over.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgpack

from marbleworks.membership.codec import (
    MAX_DATAGRAM_BYTES,
    DatagramFormat,
    checked_counter,
    seal,
    unseal,
    wrap_decode_errors,
)

FORMAT = DatagramFormat(0xD2, 1, 1)
ENTRIES = 14  # of a report at most
HEADS = 72  # bytes of a report without its entries, at most
WORTH = 100.0  # parts of one in which worth is told


@dataclass(frozen=True, slots=True)
class Entry:
    """What a router says of one budget. serial: of the grant that it has, of the divider it tells this. held:
    units beyond its base that it may use or uses still; had: the same, with a part that ran out just now.
    whole, base: by its own file."""

    number: int
    serial: int
    held: int
    used: int
    want: int
    worth: float
    whole: int
    base: int
    had: int


@dataclass(frozen=True, slots=True)
class Report:
    """start: the teller's. to_start, reign: of the divider it is meant for, and of its present right, as far
    as the teller knows. token: echoed by the answer. version, digest: of its file."""

    start: int
    to_start: int
    reign: int
    token: int
    version: int
    digest: int
    leaving: bool
    age: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Grant:
    """whole: the smallest that any router tells; a base follows no larger one."""

    number: int
    serial: int
    units: int
    whole: int


@dataclass(frozen=True, slots=True)
class Answer:
    """start, reign: of the divider. Without grants where the report was not of this reign."""

    start: int
    reign: int
    token: int
    grants: tuple[Grant, ...]


def _row(e: Entry) -> list[int]:
    return [
        e.number,
        e.serial,
        e.held,
        e.used,
        e.want,
        round(WORTH * min(e.worth, 1e6)),
        e.whole,
        e.base,
        e.had,
    ]


def encode_report(group: int, r: Report) -> bytes:
    rows = [_row(entry) for entry in r.entries]
    fields = {
        8: r.age,
        0: 0,
        1: r.start,
        2: r.token,
        3: r.to_start,
        4: r.version,
        5: r.digest,
        6: r.reign,
        9: rows,
    }
    return seal(FORMAT, group, {**fields, 7: 1} if r.leaving else fields)


def encode_answer(group: int, a: Answer) -> bytes:
    rows = [[g.number, g.serial, g.units, g.whole] for g in a.grants]
    return seal(FORMAT, group, {0: 1, 1: a.start, 2: a.token, 6: a.reign, 9: rows})


def decode(group: int, data: bytes) -> Report | Answer:
    """Raises Unreadable."""
    fields = unseal(FORMAT, group, data)
    with wrap_decode_errors():
        rows = fields.get(9, ())
        if len(rows) > ENTRIES:
            raise ValueError
        if fields[0] == 1:
            grants = tuple(Grant(*(checked_counter(value) for value in row[:4])) for row in rows)
            return Answer(
                checked_counter(fields[1]), checked_counter(fields[6]), checked_counter(fields[2]), grants
            )
        if fields[0] != 0:
            raise ValueError
        entries = tuple(_entry([checked_counter(value) for value in row[:9]]) for row in rows)
        start, to_start, reign, token = (checked_counter(fields[key]) for key in (1, 3, 6, 2))
        version, digest, leaving = checked_counter(fields[4]), checked_counter(fields[5]), bool(fields.get(7))
        age = checked_counter(fields[8])
        return Report(start, to_start, reign, token, version, digest, leaving, age, entries)


def _entry(row: list[int]) -> Entry:
    number, serial, held, used, want, worth, whole, base, had = row
    return Entry(number, serial, held, used, want, worth / WORTH, whole, base, had)


def parts(entries: list[Entry]) -> Iterator[tuple[Entry, ...]]:
    """As many as fit a datagram, by the bytes that they take."""
    part, size = list[Entry](), 0
    for entry in entries:
        takes = len(msgpack.packb(_row(entry)))
        if len(part) >= ENTRIES or size + takes > MAX_DATAGRAM_BYTES - HEADS:
            yield tuple(part)
            part, size = [], 0
        part.append(entry)
        size += takes
    if part:
        yield tuple(part)
