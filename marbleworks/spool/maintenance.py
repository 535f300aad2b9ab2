"""A spool's folder looked at and mended without a router.

It must never change a folder that a router holds, or show a row of a result.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

from marbleworks.spool.disk import Disk
from marbleworks.spool.record_codec import Entry, Found, Kind
from marbleworks.spool.segment_store import SegmentStore


def listed(folder: str) -> Iterator[str]:
    """A line for each result that stands, with the number that `drop` takes."""
    found = SegmentStore(Disk(folder), 16e6, 1e13).open(time.time(), lock=False)
    size = sum(found.segments.values())
    yield f"{len(found.results)} results, {size} bytes in {len(found.segments)} segments"
    for r in sorted(found.results, key=lambda r: r.made):
        age = time.time() - r.made
        facts = f"{r.pages} pages  {r.rows} rows  {r.size} bytes  {age:.0f} s old"
        yield f"{r.number:016x}  {r.tenant or '-'}  {r.profile}  {facts}"


def checked(folder: str) -> tuple[list[str], bool]:
    """What is wrong with a folder, read through to the last byte, and whether all that stands is whole."""
    store = SegmentStore(Disk(folder), 16e6, 1e13)
    found = store.open(time.time(), lock=False)
    lines = [f"{event}: {', '.join(f'{k}={v}' for k, v in facts.items())}" for event, facts in found.notes]
    bad: dict[int, set[int]] = {}
    records = 0
    for number in sorted(store.names):
        for record in store.records(number):
            records += 1
            if isinstance(record, Found) and record.entry is None:
                bad.setdefault(number, set()).add(record.offset)
    spoilt = 0
    for result in found.results:
        if any((spot & 0xFFFFFFFF) in bad.get(spot >> 32, ()) for spot in result.places):
            spoilt += 1
            lines.append(f"result {result.number:016x} of {result.profile} has a spoilt page")
    lines.append(f"{records} records, {len(found.results)} results, {spoilt} spoilt, {len(found.lost)} lost")
    return lines, not (found.notes or spoilt or found.lost)


def drop(folder: str, numbers: list[int]) -> int:
    """Drops results by number; how many there were. Raises BlockingIOError where a router has the folder."""
    store = SegmentStore(Disk(folder), 16e6, 1e13)
    found = store.open(time.time())
    try:
        there = [r.number for r in found.results if r.number in numbers]
        if there:
            last = store.position[0] + 1
            store.append([Entry(Kind.DROP, number, last, b"", 0) for number in there], True)
        return len(there)
    finally:
        store.close()
