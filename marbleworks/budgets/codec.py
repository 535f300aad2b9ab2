"""Datagrams with which routers report their use of budgets and the granter answers.

They are sealed in the same way as the other datagrams of the group (`membership/codec.py`). A usage or a
grant is encoded as a row of numbers; numbers that a later version appends are ignored. The module does no
I/O and reads no clock.
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
TYPICAL_HEAD_BYTES = 72  # size of a report without usages; unusually large numbers need more
PRIORITY_WEIGHT_SCALE = 100.0  # priority weights are sent in hundredths
MAX_PRIORITY_WEIGHT = 1e6


@dataclass(frozen=True, slots=True)
class BudgetUsage:
    """A member's report about one budget.

    Attributes:
        budget_id: Identifier of the budget.
        grant_serial: Serial of the last grant received from the granter it reports to; 0 if there was none.
        held_units: Units beyond the guaranteed ones that the member may use or still uses.
        used_units: Units in use.
        wanted_units: Units that the member would use if it had them.
        priority_weight: Mean priority weight of the waiting requests.
        total_units: Total of the budget by the member's own configuration.
        guaranteed_units: Guaranteed units by the member's own configuration.
        held_or_lapsed_units: The larger of `held_units` and the units of a lease that expired recently.
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
        incarnation: Incarnation of the member.
        leader_incarnation: Incarnation of the granter that the report is meant for.
        leader_term: Term of the granter as known to the member; 0 if unknown.
        token: Identifies the report; the answer repeats it.
        config_version: Version of the member's configuration.
        config_digest: Digest of the member's configuration.
        is_leaving: Whether the member is leaving and wants no more units.
        age_ms: Time since the member started or joined the group, in milliseconds.
        usages: Usages of the budgets that the member has something to report about.
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
    """Units of one budget beyond the guaranteed ones that a member may use for the duration of a lease.

    Attributes:
        budget_id: Identifier of the budget.
        serial: Serial of the grant, larger than that of each earlier grant of the same term.
        leased_units: Leased units; they replace those of the previous grant.
        agreed_total: Smallest total that any member reports. Members calculate their guaranteed units from it
            or from a smaller total.
    """

    budget_id: int
    serial: int
    leased_units: int
    agreed_total: int


@dataclass(frozen=True, slots=True)
class BudgetAnswer:
    """The granter's answer to a report; it has no grants if the report was meant for another term.

    Attributes:
        leader_incarnation: Incarnation of the granter.
        leader_term: Term of the granter.
        token: Token of the report.
        grants: Grants for the usages of the report.
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
    """Encodes a report as a datagram.

    Args:
        group: Number of the group whose members can read the datagram.
        report: The report.
    """
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
    """Encodes an answer as a datagram.

    Args:
        group: Number of the group whose members can read the datagram.
        answer: The answer.
    """
    rows = [
        [grant.budget_id, grant.serial, grant.leased_units, grant.agreed_total] for grant in answer.grants
    ]
    fields = {0: 1, 1: answer.leader_incarnation, 2: answer.token, 6: answer.leader_term, 9: rows}
    return seal(FORMAT, group, fields)


def decode(group: int, data: bytes) -> BudgetReport | BudgetAnswer:
    """Decodes a datagram.

    Args:
        group: Number of the group that the datagram has to be for.
        data: The datagram.

    Raises:
        DatagramDecodeError: The datagram is not a report or an answer for that group.
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
    """Divides usages, in order, among as few reports as possible that each fit a datagram.

    Args:
        usages: Usages of all budgets.
        head_bytes: Size of a report without usages; TYPICAL_HEAD_BYTES is assumed if it is smaller.

    Yields:
        The usages of one report.
    """
    available_bytes = MAX_DATAGRAM_BYTES - max(head_bytes, TYPICAL_HEAD_BYTES)
    part: list[BudgetUsage] = []
    size = 0
    for usage in usages:
        row_bytes = len(msgpack.packb(_usage_row(usage)))
        if len(part) >= MAX_REPORT_ENTRIES or size + row_bytes > available_bytes:
            yield tuple(part)
            part = []
            size = 0
        part.append(usage)
        size += row_bytes
    if part:
        yield tuple(part)
