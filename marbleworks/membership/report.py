"""`peers show` and `peers watch`: asks a running router for its view, by the `health` that clients ask.

It owns one connection at a time, and must never change anything at the router.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from typing import Any

import msgpack

WITHIN = 3.0  # seconds for the answer
HEADS = ("router", "start", "incarnation", "state", "since", "view", "answered")


class HealthQueryError(Exception):
    """Why there is no view."""


def asked(address: str, about: str = "peers") -> dict[str, Any]:
    """What a router shows of a subsystem, as its `shown` gives it; raises Unasked."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise HealthQueryError("expected host:port")
    try:
        with socket.create_connection((host, int(port)), WITHIN) as sock:
            sock.sendall(msgpack.packb([0, 1, "health", [{"about": about}]]))
            unpacker = msgpack.Unpacker()
            while True:
                data = sock.recv(65536)
                if not data:
                    raise HealthQueryError("the router ended the connection")
                unpacker.feed(data)
                for message in unpacker:
                    told = message[3][1]
                    if not told:
                        raise HealthQueryError(f"the router has no section ({about})")
                    return dict(told)
    except (OSError, IndexError, TypeError) as err:
        raise HealthQueryError(str(err)) from None


def table(view: dict[str, Any]) -> list[str]:
    """Lines: what holds for the router, then a row for each of its group."""
    lines = [
        f"router {view['me']}: {view['cut']} (sure {view['sure']}), view {view['view']} {view['digest']}",
        f"{view['right']}: part {view['part']} of the whole, place {view['place']} of {view['among']},"
        f" divided by router {view['divider']}",
        f"doubts itself {view['health']} of 8; yielded: {view['yielded']}; unreadable {view['unreadable']},"
        f" forged {view['forged']}",
        "",
    ]
    return lines + aligned(HEADS, view["rows"])


def aligned(heads: tuple[str, ...], rows: list[list[str]]) -> list[str]:
    """A table of texts, a line a row."""
    cells = [heads, *(tuple(row) for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(heads))]
    return ["  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)).rstrip() for row in cells]


def watched(address: str, every: float, times: int) -> Iterator[str]:
    """A line for each change; raises Unasked where even the first look fails."""
    last: dict[str, str] = {}
    looks = 0
    while not times or looks < times:
        if looks:
            time.sleep(every)
        looks += 1
        try:
            view = asked(address)
        except HealthQueryError as err:
            if looks == 1:
                raise
            now = {"router": f"does not answer: {err}"}
        else:
            now = {"standing": f"{view['cut']}, {view['right']}, part {view['part']} among {view['among']}"}
            now |= {f"router {row[0]}": f"{row[3]}, start {row[1]}" for row in view["rows"]}
        for what in sorted(now.keys() | last.keys()):
            if now.get(what) != last.get(what):
                yield f"{time.strftime('%H:%M:%S')} {what}: {now.get(what, 'unknown')}"
        last = now
