"""The bytes of what routers tell the one that divides of their budgets, and of its answers. No I/O, no clock.

It owns the format, sealed as the group's other datagrams are. An entry is a row of numbers; what a later
version adds behind is passed over.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgpack

from marbleworks.membership.codec import MOST, Format, count, read_strictly, seal, unseal

FORMAT = Format(0xD2, 1, 1)
MAX_REPORT_ENTRIES = 14  # of a report at most
TYPICAL_HEAD_BYTES = 72  # bytes that a report without its entries is taken for, unless its numbers need more
PRIORITY_WEIGHT_SCALE = 100.0  # parts of one in which worth is told


@dataclass(frozen=True, slots=True)
class BudgetUsage:
    """What a router says of one budget. serial: of the grant that it has, of the divider it tells this. held:
    units beyond its base that it may use or uses still; had: the same, with a part that ran out just now.
    whole, base: by its own file."""

    budget_id: int
    grant_serial: int
    held_units: int
    used_units: int
    wanted_units: int
    priority_weight: float
    total_units: int
    guaranteed_units: int
    held_or_lapsed_units: int


@dataclass(frozen=True, slots=True)
class BudgetReport:
    """start: the teller's. to_start, reign: of the divider it is meant for, and of its present right, as far
    as the teller knows. token: echoed by the answer. version, digest: of its file."""

    incarnation: int
    leader_incarnation: int
    leader_term: int
    token: int
    config_version: int
    config_digest: int
    is_leaving: bool
    age_ms: int
    usages: tuple[BudgetUsage, ...]


@dataclass(frozen=True, slots=True)
class BudgetGrant:
    """whole: the smallest that any router tells; a base follows no larger one."""

    budget_id: int
    serial: int
    leased_units: int
    agreed_total: int


@dataclass(frozen=True, slots=True)
class BudgetAnswer:
    """start, reign: of the divider. Without grants where the report was not of this reign."""

    leader_incarnation: int
    leader_term: int
    token: int
    grants: tuple[BudgetGrant, ...]


def _usage_row(e: BudgetUsage) -> list[int]:
    return [
        e.budget_id,
        e.grant_serial,
        e.held_units,
        e.used_units,
        e.wanted_units,
        round(PRIORITY_WEIGHT_SCALE * min(e.priority_weight, 1e6)),
        e.total_units,
        e.guaranteed_units,
        e.held_or_lapsed_units,
    ]


def encode_report(group: int, r: BudgetReport) -> bytes:
    rows = [_usage_row(entry) for entry in r.usages]
    fields = {
        8: r.age_ms,
        0: 0,
        1: r.incarnation,
        2: r.token,
        3: r.leader_incarnation,
        4: r.config_version,
        5: r.config_digest,
        6: r.leader_term,
        9: rows,
    }
    return seal(FORMAT, group, {**fields, 7: 1} if r.is_leaving else fields)


def encode_answer(group: int, a: BudgetAnswer) -> bytes:
    rows = [[g.budget_id, g.serial, g.leased_units, g.agreed_total] for g in a.grants]
    return seal(FORMAT, group, {0: 1, 1: a.leader_incarnation, 2: a.token, 6: a.leader_term, 9: rows})


def decode(group: int, data: bytes) -> BudgetReport | BudgetAnswer:
    """Raises Unreadable."""
    fields = unseal(FORMAT, group, data)
    with read_strictly():
        rows = fields.get(9, ())
        if len(rows) > MAX_REPORT_ENTRIES:
            raise ValueError
        if fields[0] == 1:
            grants = tuple(BudgetGrant(*(count(value) for value in row[:4])) for row in rows)
            return BudgetAnswer(count(fields[1]), count(fields[6]), count(fields[2]), grants)
        if fields[0] != 0:
            raise ValueError
        entries = tuple(_read_usage([count(value) for value in row[:9]]) for row in rows)
        start, to_start, reign, token = (count(fields[key]) for key in (1, 3, 6, 2))
        version, digest, leaving = count(fields[4]), count(fields[5]), bool(fields.get(7))
        age = count(fields[8])
        return BudgetReport(start, to_start, reign, token, version, digest, leaving, age, entries)


def _read_usage(row: list[int]) -> BudgetUsage:
    number, serial, held, used, want, worth, whole, base, had = row
    return BudgetUsage(number, serial, held, used, want, worth / PRIORITY_WEIGHT_SCALE, whole, base, had)


def split_usages(
    entries: list[BudgetUsage], head: int = TYPICAL_HEAD_BYTES
) -> Iterator[tuple[BudgetUsage, ...]]:
    """As many as fit a datagram, by the bytes that they take. head: bytes of the report without entries."""
    room = MOST - max(head, TYPICAL_HEAD_BYTES)
    part, size = list[BudgetUsage](), 0
    for entry in entries:
        takes = len(msgpack.packb(_usage_row(entry)))
        if len(part) >= MAX_REPORT_ENTRIES or size + takes > room:
            yield tuple(part)
            part, size = [], 0
        part.append(entry)
        size += takes
    if part:
        yield tuple(part)
