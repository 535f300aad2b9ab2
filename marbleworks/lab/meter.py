"""How much processor time a piece of code takes, and how many bytes a thing is.

It owns the two ways of measuring and must never measure by wall time: what else the machine does may not
change a verdict. Processor time is the process's own; and because a core that is shared with a busy sibling
takes up to twice as long for the same work, each sample is held against a yardstick, fixed work that is timed
just before and just after, and told as if the machine had been at the best pace it showed.

State is the sum of `sys.getsizeof` over all that can be reached, each object once: unlike resident memory or
a trace of allocations it has no free lists, no rounding to pages and no share of what the measuring itself
took, and it is the same at each run. What the allocator loses besides is not in it; tests/test_slopes.py sets
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
    """How fast the machine is at the moment. best: the least that the yardstick ever took in this process."""

    def __init__(self) -> None:
        self.best = math.inf

    def yardstick(self) -> float:
        """Processor seconds of fixed work of the kind that is measured: objects, tables, sorting."""
        took = processor(_work)
        self.best = min(self.best, took)
        return took

    def timed(self, sample: Callable[[], Sequence[float]]) -> tuple[Sequence[float], float]:
        """What the sample tells, and what the yardstick took around it."""
        before = self.yardstick()
        values = sample()
        return values, (before + self.yardstick()) / 2


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


def medians(samples: Sequence[Callable[[], float]], passes: int) -> list[float]:
    """Of each of the samples, taken in turn and so many times over: a busy moment of the machine does not
    fall on one size alone."""
    return [row[0] for row in medians_of([lambda s=s: (s(),) for s in samples], passes)]  # type: ignore[misc]


def medians_of(samples: Sequence[Callable[[], Sequence[float]]], passes: int) -> list[list[float]]:
    """The same of samples that tell several values each."""
    with uncollected():
        seen = [[PACE.timed(sample) for sample in samples] for _ in range(passes)]
    out = list[list[float]]()
    for i in range(len(samples)):
        rows = [[value * PACE.best / pace for value in values] for values, pace in (row[i] for row in seen)]
        out.append([statistics.median(column) for column in zip(*rows, strict=True)])
    return out


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
