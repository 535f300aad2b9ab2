"""Datagrams by which routers report their use of budgets and the granter answers. No I/O, no clock.

Each is sealed as the group's other datagrams are (`membership/codec.py`). A usage or a grant is a row of
numbers; numbers that a later version adds behind them are ignored.
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
MAX_REPORT_ENTRIES = 14
TYPICAL_HEAD_BYTES = 72  # of a report without usages; larger numbers than usual may need more
PRIORITY_WEIGHT_SCALE = 100.0  # a priority weight is sent as hundredths
MAX_PRIORITY_WEIGHT = 1e6


@dataclass(frozen=True, slots=True)
class BudgetUsage:
    """What a member reports of one budget.

    Attributes:
        budget_id: of the budget.
        grant_serial: of the last grant that it has from the granter it reports to; 0: none.
        held_units: beyond its guaranteed units: what it may use or still uses.
        used_units: in use.
        wanted_units: that it would use if it had them.
        priority_weight: the mean of the requests that wait.
        total_units: the budget's total by its own configuration.
        guaranteed_units: by its own configuration.
        held_or_lapsed_units: held_units, or those of a lease that expired just now if they are more.
    """

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
    """A member's report to the granter.

    Attributes:
        incarnation: of the member.
        leader_incarnation: of the granter that it is meant for.
        leader_term: the granter's term as far as the member knows; 0: unknown.
        token: comes back in the answer.
        config_version: of the member's configuration.
        config_digest: of the member's configuration.
        is_leaving: the member wants nothing more.
        age_ms: since the member began or joined.
        usages: of the budgets that it has anything to report of.
    """

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
    """What a member may use of one budget beyond its guaranteed units, for the time of a lease.

    Attributes:
        budget_id: of the budget.
        serial: larger than that of each earlier grant of the same term.
        leased_units: in place of those of the grant before.
        agreed_total: the smallest total that any member reports; guaranteed units follow no larger one.
    """

    budget_id: int
    serial: int
    leased_units: int
    agreed_total: int


@dataclass(frozen=True, slots=True)
class BudgetAnswer:
    """The granter's answer to a report; without grants where the report was not meant for this term.

    Attributes:
        leader_incarnation: of the granter.
        leader_term: of the granter.
        token: of the report.
        grants: for the usages of the report.
    """

    leader_incarnation: int
    leader_term: int
    token: int
    grants: tuple[BudgetGrant, ...]


def _usage_row(usage: BudgetUsage) -> list[int]:
    return [
        usage.budget_id,
        usage.grant_serial,
        usage.held_units,
        usage.used_units,
        usage.wanted_units,
        round(PRIORITY_WEIGHT_SCALE * min(usage.priority_weight, MAX_PRIORITY_WEIGHT)),
        usage.total_units,
        usage.guaranteed_units,
        usage.held_or_lapsed_units,
    ]


def encode_report(group: int, report: BudgetReport) -> bytes:
    """The datagram of a report. group: the number of the group whose members read it."""
    fields = {
        8: report.age_ms,
        0: 0,
        1: report.incarnation,
        2: report.token,
        3: report.leader_incarnation,
        4: report.config_version,
        5: report.config_digest,
        6: report.leader_term,
        9: [_usage_row(usage) for usage in report.usages],
    }
    if report.is_leaving:
        fields[7] = 1
    return seal(FORMAT, group, fields)


def encode_answer(group: int, answer: BudgetAnswer) -> bytes:
    """The datagram of an answer."""
    rows = [
        [grant.budget_id, grant.serial, grant.leased_units, grant.agreed_total] for grant in answer.grants
    ]
    fields = {0: 1, 1: answer.leader_incarnation, 2: answer.token, 6: answer.leader_term, 9: rows}
    return seal(FORMAT, group, fields)


def decode(group: int, data: bytes) -> BudgetReport | BudgetAnswer:
    """Reads a datagram.

    Raises:
        DatagramDecodeError: it is not a report or an answer for that group.
    """
    fields = unseal(FORMAT, group, data)
    with wrap_decode_errors():
        rows = fields.get(9, ())
        if len(rows) > MAX_REPORT_ENTRIES:
            raise ValueError
        if fields[0] == 1:
            return BudgetAnswer(
                leader_incarnation=checked_counter(fields[1]),
                leader_term=checked_counter(fields[6]),
                token=checked_counter(fields[2]),
                grants=tuple(BudgetGrant(*(checked_counter(value) for value in row[:4])) for row in rows),
            )
        if fields[0] != 0:
            raise ValueError
        usages = tuple(_read_usage([checked_counter(value) for value in row[:9]]) for row in rows)
        return BudgetReport(
            incarnation=checked_counter(fields[1]),
            leader_incarnation=checked_counter(fields[3]),
            leader_term=checked_counter(fields[6]),
            token=checked_counter(fields[2]),
            config_version=checked_counter(fields[4]),
            config_digest=checked_counter(fields[5]),
            is_leaving=bool(fields.get(7)),
            age_ms=checked_counter(fields[8]),
            usages=usages,
        )


def _read_usage(row: list[int]) -> BudgetUsage:
    budget_id, serial, held, used, wanted, weight, total, guaranteed, held_or_lapsed = row
    return BudgetUsage(
        budget_id,
        serial,
        held,
        used,
        wanted,
        weight / PRIORITY_WEIGHT_SCALE,
        total,
        guaranteed,
        held_or_lapsed,
    )


def split_usages(
    usages: list[BudgetUsage], head_bytes: int = TYPICAL_HEAD_BYTES
) -> Iterator[tuple[BudgetUsage, ...]]:
    """Divides usages, in order, among as few reports as fit datagrams.

    Args:
        usages: of all budgets.
        head_bytes: of each report without usages; counted as the typical number at least.
    """
    room = MAX_DATAGRAM_BYTES - max(head_bytes, TYPICAL_HEAD_BYTES)
    part: list[BudgetUsage] = []
    size = 0
    for usage in usages:
        row_bytes = len(msgpack.packb(_usage_row(usage)))
        if len(part) >= MAX_REPORT_ENTRIES or size + row_bytes > room:
            yield tuple(part)
            part = []
            size = 0
        part.append(usage)
        size += row_bytes
    if part:
        yield tuple(part)
