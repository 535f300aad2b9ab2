"""Measures the processor time of code and the memory of objects.

Wall time is never used, so that other work on the machine does not change a result. Processor time is that of
the process. A core that is shared with a busy hyper-thread takes up to twice as long for the same work, so
processor time is divided by that of a yardstick: fixed work that is timed before and after the code, and
repeatedly during long measurements. Results are given as if the machine had always run at the best pace that
it showed.

The state of an object is the sum of `sys.getsizeof` over all reachable objects, each counted once. Unlike
resident memory or a trace of allocations it contains no free lists, no rounding to pages and no memory of the
measurement itself, and it is the same in each run. It does not contain the allocator's overhead; the tests
compare it with `tracemalloc`.
"""

from __future__ import annotations

import gc
import math
import statistics
import sys
import time
import zlib
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from enum import Enum
from types import BuiltinFunctionType, CodeType, FunctionType, MethodType, ModuleType
from typing import Any

YARDSTICK_INTERVAL_S = 0.05  # processor seconds after which the yardstick is timed again
# Types whose instances are shared by many objects and not counted as state.
SHARED_TYPES = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType, CodeType, Enum)


@contextmanager
def collection_disabled() -> Iterator[None]:
    """Disables garbage collection within the `with` block.

    A router freezes its objects at the start and hardly ever collects. A collection here would be charged to
    whichever size is measured at that moment.
    """
    was_enabled = gc.isenabled()
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def processor_seconds(action: Callable[[], Any]) -> float:
    """Returns the processor seconds of one call, without the overhead of the measurement."""
    started_at = time.process_time()
    action()
    return max(time.process_time() - started_at - MEASUREMENT_OVERHEAD_S, 0.0)


def _measure_overhead() -> float:
    """Returns the processor seconds that an empty call is measured as, the minimum of many."""
    durations = []
    for _ in range(200):
        started_at = time.process_time()
        (lambda: None)()
        durations.append(time.process_time() - started_at)
    return min(durations)


MEASUREMENT_OVERHEAD_S = _measure_overhead()


class Pace:
    """The current speed of the machine.

    Attributes:
        best: Minimum processor seconds of the yardstick in this process.
        latest: Processor seconds of the yardstick the last time.
        since: Processor seconds that were measured since then.
    """

    def __init__(self) -> None:
        self.best, self.latest, self.since = math.inf, 0.0, 0.0

    def yardstick(self) -> float:
        """Times the yardstick: fixed work with objects, tables and sorting, as in the measured code.

        Returns:
            Processor seconds.
        """
        duration = self._time_yardstick()
        self.best, self.latest, self.since = min(self.best, duration), duration, 0.0
        return duration

    def _time_yardstick(self) -> float:
        return processor_seconds(_run_yardstick)

    def to_yardsticks(self, seconds: float) -> float:
        """Converts the processor seconds of a short piece of work to yardsticks.

        The yardstick is timed again after YARDSTICK_INTERVAL_S of measured work.
        """
        if not self.latest or self.since > YARDSTICK_INTERVAL_S:
            self.yardstick()
        self.since += seconds
        return seconds / self.latest


class _Item:
    def __init__(self, number: int) -> None:
        self.number, self.name = number, f"thing-{number}"


ITEMS = [_Item(n) for n in range(1500)]
PACE = Pace()


def _run_yardstick() -> None:
    for salt in range(3):
        order = sorted(ITEMS, key=lambda item: zlib.crc32(f"{salt}/{item.name}".encode()))
        seen = {item: item.number for item in order if item.number % 3}
        sum(seen.values())


def yardsticks_of(action: Callable[[], Any]) -> float:
    """Returns the processor time of one call in yardsticks, which are timed just before and just after."""
    before = PACE.yardstick()
    duration = processor_seconds(action)
    return 2.0 * duration / (before + PACE.yardstick())


def medians(samples: Sequence[Callable[[], float]], passes: int) -> list[float]:
    """Takes samples in turn, so that a busy moment of the machine does not affect one size alone.

    Args:
        samples: Functions that return a processor time in yardsticks.
        passes: Samples to take from each function.

    Returns:
        The median of each function, in processor seconds at the best pace.
    """
    with collection_disabled():
        results = [[sample() for sample in samples] for _ in range(passes)]
    return [PACE.best * statistics.median(row[i] for row in results) for i in range(len(samples))]


def state_bytes(root: object, without: Iterable[object] = ()) -> int:
    """Returns the bytes of all objects that can be reached from an object.

    Args:
        root: The object.
        without: Objects that are not counted, besides those of SHARED_TYPES.
    """
    seen, pending, total = {id(current) for current in without}, [root], 0
    while pending:
        current = pending.pop()
        if id(current) in seen or isinstance(current, SHARED_TYPES):
            continue
        seen.add(id(current))
        total += sys.getsizeof(current)
        attributes = getattr(current, "__dict__", None)
        # getsizeof of the object does not include its attribute dictionary.
        if isinstance(attributes, dict) and id(attributes) not in seen:
            seen.add(id(attributes))
            total += sys.getsizeof(attributes)
            pending += attributes.values()  # the attribute names are shared by all instances
        if isinstance(current, dict):
            pending += current.keys()  # gc.get_referents does not return keys that are strings
        pending += gc.get_referents(current)
    return total
