"""The view of the group as `health` returns it and as `peers show` and `peers watch` print it.

The keys and texts of that view are an interface to operators and must not change. Only this module maps the
terms of the code to them.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from typing import Any

import msgpack

from marbleworks.membership.member_view import Member
from marbleworks.membership.messages import MemberState
from marbleworks.membership.node import MembershipNode
from marbleworks.membership.status import QuorumStatus, QuotaRole

QUERY_TIMEOUT_S = 3.0  # for the connection and for each receive
RECEIVE_BYTES = 65536  # buffer size of one receive
COLUMNS = ("router", "start", "incarnation", "state", "since", "view", "answered")
STATE_TEXTS = {
    MemberState.ALIVE: "up",
    MemberState.SUSPECT: "suspected",
    MemberState.DEAD: "gone",
    MemberState.LEFT: "left",
}
QUORUM_TEXTS = {
    QuorumStatus.COMPLETE: "whole",
    QuorumStatus.MAJORITY: "most of it",
    QuorumStatus.MINORITY: "without most of it",
    QuorumStatus.ISOLATED: "alone",
}
ROLE_TEXTS = {
    None: "",
    QuotaRole.LEADER: "divides",
    QuotaRole.HOLDER: "has a part",
    QuotaRole.RESERVED_ONLY: "keeps",
}


class HealthQueryError(Exception):
    """The health of a router cannot be queried; the text says why."""


def render_view(
    node: MembershipNode, role: QuotaRole | None, invalid_datagrams: int, now: float
) -> dict[str, Any]:
    """Returns the view for operators: strings, and under `rows` a list of strings for each member.

    Args:
        node: this router's node of the group.
        role: role as last reported; None before the first report.
        invalid_datagrams: number of datagrams that could not be decoded.
        now: current time, in seconds of the node's clock.
    """
    detector = node.failure_detector
    view = detector.view
    status = node.partition_status(now)
    leader = node.election.holder.leader
    return {
        "me": str(detector.router_index),
        "view": str(view.version),
        "digest": f"{view.digest:08x}",
        "cut": QUORUM_TEXTS[status.quorum],
        "sure": f"{status.confirmed_share:.2f}",
        "health": str(detector.local_health),
        "right": ROLE_TEXTS[role],
        "part": f"{status.quota_share:.4f}",
        "among": str(status.divisor),
        "place": str(status.index),
        "yielded": "yes" if detector.is_superseded else "no",
        "divider": str(leader.router if leader is not None else -1),
        "forged": str(detector.implausible_updates),
        "unreadable": str(invalid_datagrams),
        "rows": [_member_row(member, node, now) for _, member in sorted(view.members.items())],
    }


def _member_row(member: Member, node: MembershipNode, now: float) -> list[str]:
    """Returns the row of one member, with the columns `COLUMNS`."""
    detector = node.failure_detector
    is_self = member.router == detector.router_index
    if is_self:
        agreement = "itself"
        answered = "-"
    else:
        agreement = _view_agreement(member, detector.view.digest, now)
        probed_at = member.last_answered_probe_at
        answered = f"{now - probed_at:.1f} s ago" if probed_at > 0 else "never"
    return [
        str(member.router),
        str(member.update.generation),
        str(member.update.incarnation),
        STATE_TEXTS[member.update.state],
        f"{now - member.state_since:.1f} s",
        agreement,
        answered,
    ]


def _view_agreement(member: Member, digest: int, now: float) -> str:
    if member.view_digest == digest:
        return "agrees"
    if member.differs_since is None:
        return "differs"
    return f"differs for {now - member.differs_since:.1f} s"


def query_health(address: str, subsystem: str = "peers") -> dict[str, Any]:
    """Returns a subsystem's section of the `health` response of a running router.

    Args:
        address: host:port on which the router listens for clients.
        subsystem: name of the section.

    Raises:
        HealthQueryError: The address is malformed, the router does not answer, or it has no such section.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise HealthQueryError("invalid address: expected host:port")
    try:
        with socket.create_connection((host, int(port)), QUERY_TIMEOUT_S) as sock:
            sock.sendall(msgpack.packb([0, 1, "health", [{"about": subsystem}]]))
            result = _receive_response(sock)[3][1]
            if not result:
                raise HealthQueryError(f"the health response of the router has no section '{subsystem}'")
            return dict(result)
    except (OSError, IndexError, TypeError) as err:
        raise HealthQueryError(str(err)) from None


def _receive_response(sock: socket.socket) -> Any:
    """Returns the first MessagePack-RPC message that arrives."""
    unpacker = msgpack.Unpacker()
    while True:
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            raise HealthQueryError("the router closed the connection before its response was complete")
        unpacker.feed(data)
        for message in unpacker:
            return message


def format_view(view: dict[str, Any]) -> list[str]:
    """Returns the lines to print: a summary of the router, then a table of the members."""
    lines = [
        f"router {view['me']}: {view['cut']} (sure {view['sure']}), view {view['view']} {view['digest']}",
        f"{view['right']}: part {view['part']} of the whole, place {view['place']} of {view['among']},"
        f" divided by router {view['divider']}",
        f"doubts itself {view['health']} of 8; yielded: {view['yielded']}; unreadable {view['unreadable']},"
        f" forged {view['forged']}",
        "",
    ]
    return lines + format_table(COLUMNS, view["rows"])


def format_table(columns: tuple[str, ...], rows: list[list[str]]) -> list[str]:
    """Returns the lines of a table with aligned columns; the first line has the column names."""
    cells = [columns, *(tuple(row) for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]


def watch_view(address: str, interval_s: float, max_queries: int) -> Iterator[str]:
    """Yields a line for each change in the view of a router.

    Args:
        address: host:port on which the router listens for clients.
        interval_s: time between two queries, in seconds.
        max_queries: number of queries; 0 for no limit.

    Raises:
        HealthQueryError: The first query failed. Later failures are yielded as lines.
    """
    last: dict[str, str] = {}
    queries = 0
    while not max_queries or queries < max_queries:
        if queries:
            time.sleep(interval_s)
        queries += 1
        try:
            current = _summary(query_health(address))
        except HealthQueryError as err:
            if queries == 1:
                raise
            current = {"router": f"does not answer: {err}"}
        for subject in sorted(current.keys() | last.keys()):
            if current.get(subject) != last.get(subject):
                yield f"{time.strftime('%H:%M:%S')} {subject}: {current.get(subject, 'unknown')}"
        last = current


def _summary(view: dict[str, Any]) -> dict[str, str]:
    """Returns the watched texts of a view, keyed by what they describe."""
    standing = f"{view['cut']}, {view['right']}, part {view['part']} among {view['among']}"
    return {"standing": standing} | {f"router {row[0]}": f"{row[3]}, start {row[1]}" for row in view["rows"]}
