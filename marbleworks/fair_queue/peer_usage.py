"""What routers of a group tell each other of their heaviest members, and what is made of it.

It does no I/O and reads no clock. A summary is 6 bytes of head, with the pace at which those who wait there
are given work for their weight, and 6 for each member: 32 bits of its name's hash and the work it was let in,
in units of 10 ms. Lost and late ones do no harm: each says what was let in
since the last, and what is not heard is not charged. A peer that lies is bounded by what its part of the
engines can do.
"""

from __future__ import annotations

import struct

import xxhash

MAGIC = 0xD0
HEAD = struct.Struct("<BBHH")  # magic, members, number of the summary, pace
ENTRY = struct.Struct("<IH")
MOST = 256  # bytes of a datagram
HEAVIEST = (MOST - HEAD.size) // ENTRY.size
UNIT = 0.01  # seconds of work
EVERY = 0.1  # seconds between summaries
REMEMBERED = 1024  # members of whom something is remembered
HEEDED = 0.5  # seconds for which a peer's pace counts
LAG = 64  # summaries that may come out of order or be lost before a peer counts as started anew


def name_hash(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())


class PeerUsage:
    """What this router tells of its members, and the numbers of what it heard from each peer."""

    def __init__(self) -> None:
        self.let_in: dict[int, float] = {}  # by hash, since the last summary
        self.number = 0
        self.last: dict[int, tuple[int, float]] = {}  # by peer: the last summary's number, and when it came
        self.paces: dict[int, tuple[float, float]] = {}  # by peer where some wait: its pace, and when told
        self.refused = 0
        self.view: dict[int, int] | None = None  # the living peers and their starts, where routers know that

    def viewed(self, starts: dict[int, int]) -> None:
        """Who is there: one that has gone counts no more, one that began anew numbers its summaries anew."""
        old = self.view or {}
        self.last = {peer: last for peer, last in self.last.items() if starts.get(peer, -1) == old.get(peer)}
        self.view = starts

    def add(self, name: int, work: float) -> None:
        if name in self.let_in or len(self.let_in) < REMEMBERED:
            self.let_in[name] = self.let_in.get(name, 0.0) + work

    def lean(self, pace: float, now: float) -> float:
        """Our pace over the mean of all routers where some wait; 1 where that can't be said."""
        self.paces = {peer: told for peer, told in self.paces.items() if told[1] > now - HEEDED}
        whole = pace + sum(told for told, _ in self.paces.values())
        return pace * (1 + len(self.paces)) / whole if self.paces and whole else 1.0

    def summary(self, pace: float = 0.0) -> bytes | None:
        """The heaviest of what was let in since the last one; None where there is nothing to tell. pace: work
        a second that those who wait are given for their weight; 0 where none waits."""
        heavy = sorted(self.let_in.items(), key=lambda item: -item[1])[:HEAVIEST]
        told = [(name, min(round(work / UNIT), 0xFFFF)) for name, work in heavy if work >= UNIT]
        if not told:
            return None
        for name, _ in told:
            del self.let_in[name]
        if len(self.let_in) >= REMEMBERED // 2:
            self.let_in.clear()  # of many light ones nothing need be told
        self.number = (self.number + 1) & 0xFFFF
        head = HEAD.pack(MAGIC, len(told), self.number, min(round(pace / UNIT), 0xFFFF))
        return head + b"".join(ENTRY.pack(*entry) for entry in told)

    def heard(self, peer: int, data: bytes, rate: float, now: float) -> dict[int, float]:
        """Work that a peer let in by member's hash; nothing where the datagram is old, double or not one."""
        if len(data) < HEAD.size or len(data) > MOST or data[0] != MAGIC:
            return {}
        if self.view is not None and peer not in self.view:
            self.refused += 1
            return {}
        _, count, number, pace = HEAD.unpack_from(data)
        if len(data) != HEAD.size + count * ENTRY.size:
            self.refused += 1
            return {}
        last, at = self.last.get(peer, (number - 1, now - EVERY))
        ahead = (number - last) & 0xFFFF
        if ahead == 0 or ahead > 0xFFFF - LAG:
            return {}  # heard already, or older than what was
        told: dict[int, float] = {}
        for i in range(count):
            name, units = ENTRY.unpack_from(data, HEAD.size + i * ENTRY.size)
            told[name] = told.get(name, 0.0) + units * UNIT
        self.last[peer] = number, now
        if pace:
            self.paces[peer] = pace * UNIT, now
        else:
            self.paces.pop(peer, None)
        # No router lets in more than its part of the engines does, and half as much again that it saved up.
        most = 1.5 * rate * min(max(now - at, EVERY), 1.0)
        total = sum(told.values())
        if total > most:
            self.refused += 1
            told = {name: work * most / total for name, work in told.items()}
        return told
