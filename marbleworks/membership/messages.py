"""Typed messages between the routers of a group. This module does no I/O and reads no clock.

A router is identified by its index in the settings. Each start of a router has a higher `generation`; within
one generation the `incarnation` counts refutations, as in SWIM.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class MessageType(IntEnum):
    """Kind of a message; the value is its number on the wire."""

    JOIN = 1  # asks for the last generation of the sender that the receiver has seen
    JOIN_REPLY = 2  # returns that generation; also sent to a process that has been superseded
    PING = 3
    ACK = 4
    INDIRECT_PROBE = 5  # asks the receiver to probe `subject`
    INDIRECT_ACK = 6  # `subject` answered the indirect probe
    LEAVE = 7
    VOTE_REQUEST = 8  # from a candidate or leader, with the receiver's share of the quota division
    VOTE_RESPONSE = 9


class MemberState(IntEnum):
    """State of one incarnation of a router. Of two updates of one incarnation, the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, order=True, slots=True)
class MemberUpdate:
    """A gossiped state of a router. The greater of two, compared field by field, supersedes the other."""

    generation: int
    incarnation: int
    state: MemberState
    router: int


@dataclass(frozen=True, slots=True)
class QuotaDivision:
    """The leader's division of the group's quota, as sent to one receiver.

    Attributes:
        serial: number of the division, ascending within a term of the leader.
        divisor: number of routers that share the quota.
        index: the receiver's index among them, from 0; -1 (as on the wire) if it has no share.
        active: whether the shares may be used yet.
        validity_ms: time for which the share may be used, in ms, counted from when the receiver issued the
            token that is sent with the division. It ends before the leader's own term does.
    """

    serial: int
    divisor: int
    index: int
    active: bool
    validity_ms: int = 0


@dataclass(frozen=True, slots=True)
class Message:
    """One message between two routers.

    Attributes:
        message_type: kind of the message.
        generation: generation of the sender.
        sequence: number of a probe or vote request, echoed in its answer; in a JOIN_REPLY the last generation
            of the receiver that the sender has seen.
        subject: index of the router to probe indirectly; -1 (as on the wire) if there is none.
        view_digest: checksum of the sender's view of the group.
        token: echoed to the router that issued it, which knows the time of issue.
        held_serial: serial of the quota division that the sender holds.
        granted: whether the vote is granted.
        division: the receiver's share of the leader's quota division.
        retry_after_ms: time until a refused vote is free, in ms.
        updates: gossiped member updates.
    """

    message_type: MessageType
    generation: int
    sequence: int = 0
    subject: int = -1
    view_digest: int = 0
    token: int = 0
    held_serial: int = 0
    granted: bool = False
    division: QuotaDivision | None = None
    retry_after_ms: int = 0
    updates: tuple[MemberUpdate, ...] = ()


class OutgoingMessage(NamedTuple):
    """A message to send and the index of its receiver."""

    receiver: int
    message: Message
