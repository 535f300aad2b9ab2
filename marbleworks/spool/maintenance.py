"""Lists, checks and drops the results in a spool folder without a router.

It must never change a folder that a router has locked, or show a row of a result.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

from marbleworks.spool.disk import Disk
from marbleworks.spool.record_codec import Record, RecordKind, ScannedRecord
from marbleworks.spool.segment_store import SegmentStore


def list_results(folder: str) -> Iterator[str]:
    """Yields a summary, then a line for each result with the number that `drop` takes."""
    found = SegmentStore(Disk(folder), 16e6, 1e13).open(time.time(), lock=False)
    size = sum(found.segments.values())
    yield f"{len(found.results)} results, {size} bytes in {len(found.segments)} segments"
    for result in sorted(found.results, key=lambda result: result.committed_at):
        age = time.time() - result.committed_at
        details = (
            f"{result.page_count} pages  {result.row_count} rows  {result.raw_bytes} bytes  {age:.0f} s old"
        )
        yield f"{result.result_id:016x}  {result.tenant or '-'}  {result.profile}  {details}"


def check_folder(folder: str) -> tuple[list[str], bool]:
    """Reads every record of a folder and verifies its checksums.

    Returns:
        A line for each fault and a summary, and whether the folder is free of faults.
    """
    store = SegmentStore(Disk(folder), 16e6, 1e13)
    found = store.open(time.time(), lock=False)
    lines = [
        f"{event}: {', '.join(f'{k}={v}' for k, v in details.items())}" for event, details in found.faults
    ]
    corrupt_offsets: dict[int, set[int]] = {}
    record_count = 0
    for number in sorted(store.file_names):
        for scanned in store.scan_segment(number):
            record_count += 1
            if isinstance(scanned, ScannedRecord) and scanned.record is None:
                corrupt_offsets.setdefault(number, set()).add(scanned.offset)
    corrupt_results = 0
    for result in found.results:
        if any(
            (location & 0xFFFFFFFF) in corrupt_offsets.get(location >> 32, ())
            for location in result.locations
        ):
            corrupt_results += 1
            lines.append(
                f"result {result.result_id:016x} of {result.profile} has a page with a wrong checksum"
            )
    lines.append(
        f"{record_count} records, {len(found.results)} results, {corrupt_results} spoilt, "
        f"{len(found.lost)} lost"
    )
    return lines, not (found.faults or corrupt_results or found.lost)


def drop_results(folder: str, numbers: list[int]) -> int:
    """Drops results by number.

    Returns:
        How many of them the folder had.

    Raises:
        BlockingIOError: A router has locked the folder.
    """
    store = SegmentStore(Disk(folder), 16e6, 1e13)
    found = store.open(time.time())
    try:
        present = [result.result_id for result in found.results if result.result_id in numbers]
        if present:
            last = store.position[0] + 1
            store.append([Record(RecordKind.DROP, number, last, b"", 0) for number in present], True)
        return len(present)
    finally:
        store.close()
