"""Messages between the routers of a group, as typed values. No I/O, no clock.

A router is named by its index in the settings. Each start of a router has a higher `generation`; within one
generation the `incarnation` counts refutations, as in SWIM.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class MessageType(IntEnum):
    """Kind of a message; the value is its number on the wire."""

    JOIN = 1  # asks which generation of the sender was seen last
    JOIN_REPLY = 2  # that generation; also sent to a process whose generation has been superseded
    PING = 3
    ACK = 4
    INDIRECT_PROBE = 5  # asks the receiver to probe `subject`
    INDIRECT_ACK = 6  # `subject` answered the indirect probe
    LEAVE = 7
    VOTE_REQUEST = 8  # a candidate's or leader's, with the receiver's part of the quota division
    VOTE_RESPONSE = 9


class MemberState(IntEnum):
    """State of one incarnation of a router. Of two updates of one incarnation the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, order=True, slots=True)
class MemberUpdate:
    """A gossiped statement about a router; the greater of two supersedes the other."""

    generation: int
    incarnation: int
    state: MemberState
    router: int


@dataclass(frozen=True, slots=True)
class QuotaDivision:
    """How the leader divides the group's quota, as sent to one receiver.

    Attributes:
        serial: number of the division, ascending within one leader's term.
        divisor: number of routers that it counts.
        index: the receiver's index among them, from 0; -1 (as on the wire) where it has none.
        active: whether the parts may be used yet.
        validity_ms: how long the part may be used, from when the receiver issued the token that comes with
            the division. It ends before the leader's right does.
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
        message_type: what it asks or answers.
        generation: the sender's.
        sequence: of a probe or vote request, echoed by its answer; in a JOIN_REPLY the generation seen last.
        subject: the router that an indirect probe is about; -1 (as on the wire) where there is none.
        view_digest: checksum of the sender's view of the group.
        token: echoed to the router that issued it, which knows when that was.
        held_serial: serial of the quota division that the sender holds.
        granted: whether a vote is granted.
        division: the receiver's part of the leader's quota division.
        retry_after_ms: time until a refused vote is free.
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
    """A message to send, and the index of the router that it goes to."""

    to: int
    message: Message
