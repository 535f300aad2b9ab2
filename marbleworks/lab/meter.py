"""How much processor time a piece of code takes, and how many bytes a thing is.

It owns the two ways of measuring and must never measure by wall time: what else the machine does may not
change a verdict. Processor time is the process's own; and because a core that is shared with a busy sibling
takes up to twice as long for the same work, it is held against a yardstick, fixed work that is timed before,
after and within what takes long, and told as if the machine had been at the best pace it showed.

State is the sum of `sys.getsizeof` over all that can be reached, each object once: unlike resident memory or
a trace of allocations it has no free lists, no rounding to pages and no share of what the measuring itself
took, and it is the same at each run. What the allocator loses besides is not in it; its tests set
it against `tracemalloc`.
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

EACH = 0.05  # processor seconds after which the pace is looked at anew
SHARED = (type, ModuleType, FunctionType, BuiltinFunctionType, MethodType, CodeType, Enum)  # all have these


@contextmanager
def uncollected() -> Iterator[None]:
    """No garbage collection within: a router freezes what it has at its start and hardly ever collects, while
    one here would fall on whichever size is measured at that moment."""
    was = gc.isenabled()
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()


def processor(do: Callable[[], Any]) -> float:
    """Processor seconds of one call, without those of the measuring."""
    began = time.process_time()
    do()
    return max(time.process_time() - began - OWN, 0.0)


def _own() -> float:
    """What an empty call is measured as, the least of many."""
    seen = []
    for _ in range(200):
        began = time.process_time()
        (lambda: None)()
        seen.append(time.process_time() - began)
    return min(seen)


OWN = _own()


class Pace:
    """How fast the machine is at the moment. best, latest: the least that the yardstick ever took in this
    process, and what it took last; since: processor seconds measured after that."""

    def __init__(self) -> None:
        self.best, self.latest, self.since = math.inf, 0.0, 0.0

    def yardstick(self) -> float:
        """Processor seconds of fixed work of the kind that is measured: objects, tables, sorting."""
        took = self._take()
        self.best, self.latest, self.since = min(self.best, took), took, 0.0
        return took

    def _take(self) -> float:
        return processor(_work)

    def held(self, seconds: float) -> float:
        """What a short piece of work took, in yardsticks; that is taken anew after EACH of them."""
        if not self.latest or self.since > EACH:
            self.yardstick()
        self.since += seconds
        return seconds / self.latest


class _Thing:
    def __init__(self, number: int) -> None:
        self.number, self.name = number, f"thing-{number}"


THINGS = [_Thing(n) for n in range(1500)]
PACE = Pace()


def _work() -> None:
    for salt in range(3):
        order = sorted(THINGS, key=lambda thing: zlib.crc32(f"{salt}/{thing.name}".encode()))
        seen = {thing: thing.number for thing in order if thing.number % 3}
        sum(seen.values())


def yards(do: Callable[[], Any]) -> float:
    """Processor time of one call, in yardsticks, taken just before and just after."""
    before = PACE.yardstick()
    took = processor(do)
    return 2.0 * took / (before + PACE.yardstick())


def medians(samples: Sequence[Callable[[], float]], passes: int) -> list[float]:
    """Processor seconds at the best pace, of samples that tell yardsticks. They are taken in turn and so many
    times over: a busy moment of the machine does not fall on one size alone."""
    with uncollected():
        seen = [[sample() for sample in samples] for _ in range(passes)]
    return [PACE.best * statistics.median(row[i] for row in seen) for i in range(len(samples))]


def state(root: object, without: Iterable[object] = ()) -> int:
    """Bytes of all that can be reached from root, but for what every object shares (classes, functions) and
    what is named."""
    seen, todo, total = {id(one) for one in without}, [root], 0
    while todo:
        one = todo.pop()
        if id(one) in seen or isinstance(one, SHARED):
            continue
        seen.add(id(one))
        total += sys.getsizeof(one)
        own = getattr(one, "__dict__", None)
        if isinstance(own, dict) and id(own) not in seen:  # in the object itself getsizeof leaves it out
            seen.add(id(own))
            total += sys.getsizeof(own)
            todo += own.values()  # the names of attributes belong to all
        if isinstance(one, dict):
            todo += one.keys()  # texts among them are not told as referents
        todo += gc.get_referents(one)
    return total
