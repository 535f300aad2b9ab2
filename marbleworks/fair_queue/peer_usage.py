"""Summaries that the routers of a group exchange about the work of their heaviest tenants.

It does no I/O and reads no clock. A summary has a header of 6 bytes, which holds the pace of the requests
that wait at the sender, and 6 bytes for each tenant: 32 bits of the hash of its name and the work that was
admitted, in units of 10 ms. Pace is work a second per unit of weight. Lost and late summaries do no harm:
each reports what was admitted since the one before, and what does not arrive is not charged. A peer that
sends false figures is bounded by what its part of the engines can do.
"""

from __future__ import annotations

import struct

import xxhash

MAGIC = 0xD0
HEADER = struct.Struct("<BBHH")  # magic, number of entries, sequence number, pace
ENTRY = struct.Struct("<IH")  # hash of the tenant's name, work
MAX_DATAGRAM_BYTES = 256
MAX_ENTRIES = (MAX_DATAGRAM_BYTES - HEADER.size) // ENTRY.size
WORK_UNIT_S = 0.01
SUMMARY_INTERVAL_S = 0.1
MAX_TENANTS = 1024  # tenants whose unreported work is remembered
PACE_LIFETIME_S = 0.5  # a peer's pace counts for this long
REORDER_WINDOW = 64  # summaries that may be lost or out of order before a peer counts as restarted


def name_hash(name: str) -> int:
    """Returns the hash by which summaries identify a tenant."""
    return xxhash.xxh32_intdigest(name.encode())


class PeerUsage:
    """The usage of tenants that this router sends to its peers, and the state of those received from each.

    Attributes:
        unreported_work: Work admitted since the last summary, by hash of the tenant's name.
        sequence_number: Sequence number of the last summary sent.
        last_received: Sequence number of the last summary received and the time of it, by peer.
        paces: Pace and the time when it was received, by peer where requests wait.
        rejected_count: Summaries that were dropped because of their length or because the sender is no live
            peer, and those that were scaled down.
        generations: Generations of the live peers; None where routers do not know each other's.
    """

    def __init__(self) -> None:
        self.unreported_work: dict[int, float] = {}
        self.sequence_number = 0
        self.last_received: dict[int, tuple[int, float]] = {}
        self.paces: dict[int, tuple[float, float]] = {}
        self.rejected_count = 0
        self.generations: dict[int, int] | None = None

    def update_generations(self, generations: dict[int, int]) -> None:
        """Takes over the live peers and their generations.

        Summaries of peers that are not live are dropped from now on. A restarted peer numbers its summaries
        from the start, so its last number is forgotten.
        """
        old = self.generations or {}
        self.last_received = {
            peer: last
            for peer, last in self.last_received.items()
            if generations.get(peer, -1) == old.get(peer)
        }
        self.generations = generations

    def add(self, tenant_hash: int, work: float) -> None:
        """Adds admitted work of a tenant to the next summary."""
        if tenant_hash in self.unreported_work or len(self.unreported_work) < MAX_TENANTS:
            self.unreported_work[tenant_hash] = self.unreported_work.get(tenant_hash, 0.0) + work

    def pace_ratio(self, pace: float, now: float) -> float:
        """Returns this router's pace divided by the mean of all routers where requests wait; 1 if unknown."""
        self.paces = {peer: entry for peer, entry in self.paces.items() if entry[1] > now - PACE_LIFETIME_S}
        total_pace = pace + sum(peer_pace for peer_pace, _ in self.paces.values())
        return pace * (1 + len(self.paces)) / total_pace if self.paces and total_pace else 1.0

    def encode_summary(self, pace: float = 0.0) -> bytes | None:
        """Encodes the heaviest tenants of the work admitted since the last summary.

        Args:
            pace: Work a second that the waiting requests are given per unit of weight; 0 where none waits.

        Returns:
            The datagram; None if there is nothing to report.
        """
        heaviest = sorted(self.unreported_work.items(), key=lambda item: -item[1])[:MAX_ENTRIES]
        entries = [
            (name, min(round(work / WORK_UNIT_S), 0xFFFF)) for name, work in heaviest if work >= WORK_UNIT_S
        ]
        if not entries:
            return None
        for name, _ in entries:
            del self.unreported_work[name]
        if len(self.unreported_work) >= MAX_TENANTS // 2:
            self.unreported_work.clear()  # many light tenants: none of them is worth reporting
        self.sequence_number = (self.sequence_number + 1) & 0xFFFF
        header = HEADER.pack(
            MAGIC, len(entries), self.sequence_number, min(round(pace / WORK_UNIT_S), 0xFFFF)
        )
        return header + b"".join(ENTRY.pack(*entry) for entry in entries)

    def decode_summary(self, peer: int, data: bytes, rate: float, now: float) -> dict[int, float]:
        """Decodes a peer's summary.

        Args:
            peer: Index of the peer.
            data: The datagram.
            rate: Work a second that this router gets done, which bounds what a peer may claim.
            now: Seconds on a monotonic clock.

        Returns:
            The work that the peer admitted, by hash of the tenant's name; empty for a datagram that is old, a
            duplicate or malformed, or not from a live peer.
        """
        if len(data) < HEADER.size or len(data) > MAX_DATAGRAM_BYTES or data[0] != MAGIC:
            return {}
        if self.generations is not None and peer not in self.generations:
            self.rejected_count += 1
            return {}
        _, count, number, pace = HEADER.unpack_from(data)
        if len(data) != HEADER.size + count * ENTRY.size:
            self.rejected_count += 1
            return {}
        last, received_at = self.last_received.get(peer, (number - 1, now - SUMMARY_INTERVAL_S))
        ahead = (number - last) & 0xFFFF
        if ahead == 0 or ahead > 0xFFFF - REORDER_WINDOW:
            return {}  # a duplicate, or older than the last one
        work_by_tenant: dict[int, float] = {}
        for i in range(count):
            name, units = ENTRY.unpack_from(data, HEADER.size + i * ENTRY.size)
            work_by_tenant[name] = work_by_tenant.get(name, 0.0) + units * WORK_UNIT_S
        self.last_received[peer] = number, now
        if pace:
            self.paces[peer] = pace * WORK_UNIT_S, now
        else:
            self.paces.pop(peer, None)
        # No router admits more than its part of the engines does, and half as much again that it saved up.
        max_work = 1.5 * rate * min(max(now - received_at, SUMMARY_INTERVAL_S), 1.0)
        total = sum(work_by_tenant.values())
        if total > max_work:
            self.rejected_count += 1
            work_by_tenant = {name: work * max_work / total for name, work in work_by_tenant.items()}
        return work_by_tenant
