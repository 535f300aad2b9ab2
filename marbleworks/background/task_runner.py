"""Runs chores step by step beside the commands, on a thread of its own where they touch files.

It owns the thread and asks `order.py` which chore goes next. It must never run two steps at once, or hold up
the hub: a step that needs a file or a long computation hands that over as Aside.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import AsyncResult, Event

from marbleworks.background.task_queue import Task, TaskQueue
from marbleworks.background.threads import Threads
from marbleworks.net.actor import LOG, clock, spawn

LONGEST_SLEEP = 0.5  # seconds; `behind` is looked at again by then
BEHIND = 16  # mails that wait for the desk


@dataclass(frozen=True)
class OffloadedCall:
    """Called on the chores' thread; the step gets what it returns or raises. count: bytes read and
    written."""

    work: Callable[[], Any]
    count: int = 0


@dataclass(frozen=True)
class Wait:
    """Something that another is doing; the step gets its outcome."""

    outcome: AsyncResult[Any]
    count: int = 0


Steps = Generator[OffloadedCall | Wait | None, Any, None]


@dataclass(eq=False)
class PeriodicTask:
    """A chore that comes back: period after its end; it counts as late when it has not begun within."""

    name: str
    priority: int
    period: Callable[[], float]
    steps: Callable[[], Steps]
    within: float
    due: float = 0.0
    apart: bool = False
    running: Steps | None = None
    again: bool = False  # it is wanted once more at its end
    value: Any = None  # what the next step is sent
    error: Exception | None = None
    called: Event = field(default_factory=Event)  # where it runs apart


class TaskRunner:
    def __init__(self, core: float, pace: float, patience: float, behind: Callable[[], bool]) -> None:
        self.order, self.behind = TaskQueue(core, pace, patience), behind
        self.rounds: list[PeriodicTask] = []
        self.chores: dict[Task, PeriodicTask] = {}
        self.pool, self.stopped, self.called = Threads(1), False, Event()
        self.greenlet = spawn(self._run)

    def every(
        self,
        name: str,
        priority: int,
        period: Callable[[], float],
        steps: Callable[[], Steps],
        within: float,
        apart: bool = False,
    ) -> None:
        """A chore for as long as the router runs; its generator's yields are the ends of its steps. apart: it
        is short and others rest on it, so it waits neither for them nor for the budgets."""
        self.rounds.append(PeriodicTask(name, priority, period, steps, within, clock() + period(), apart))
        if apart:
            spawn(self._run_apart, self.rounds[-1])

    def hurry(self, name: str) -> None:
        """That chore is due now, or again at its end; it goes when its turn comes."""
        for r in self.rounds:
            if r.name == name:
                r.due, r.again = 0.0, r.running is not None
                (r.called if r.apart else self.called).set()

    def stop(self) -> None:
        """No step begins any more; one that is under way is waited for."""
        self.stopped = True
        for called in (self.called, *(r.called for r in self.rounds)):
            called.set()
        self.greenlet.join(5.0)

    def _run(self) -> None:
        while not self.stopped:
            now = clock()
            for r in self.rounds:
                if r.running is None and r.due <= now and not r.apart:
                    chore = Task(r.name, r.priority, now, now + r.within)
                    if self.order.add(chore):
                        r.running, r.value, r.error, self.chores[chore] = r.steps(), None, None, r
            behind = self.behind()
            next_one = self.order.next(now, behind)
            if next_one is not None:
                self._step(next_one)
                continue
            due = [r.due for r in self.rounds if r.running is None and not r.apart]
            wake = self.order.wake(now, behind)
            times = due if wake is None else [*due, wake]
            self.called.clear()
            self.called.wait(min(max(min(times, default=now + LONGEST_SLEEP) - now, 0.001), LONGEST_SLEEP))

    def _run_apart(self, r: PeriodicTask) -> None:
        threads = Threads(1)
        while not self.stopped:
            r.called.clear()
            if r.due > clock():
                r.called.wait(max(r.due - clock(), 0.001))
                continue
            r.due = clock() + LONGEST_SLEEP  # a hurry that comes meanwhile brings it forward
            try:
                at_once(r.steps(), threads)
            except Exception:
                LOG.exception("failed", work=r.name)
                gevent.sleep(LONGEST_SLEEP)
            r.due = min(r.due, clock() + r.period())

    def _step(self, chore: Task) -> None:
        r, spent, count = self.chores[chore], 0.0, 0
        began, over = time.thread_time(), False
        assert r.running is not None
        try:
            asked = r.running.throw(r.error) if r.error is not None else r.running.send(r.value)
        except StopIteration:
            asked, over = None, True
        except Exception:
            LOG.exception("failed", work=r.name)
            asked, over = None, True
        spent, r.value, r.error = time.thread_time() - began, None, None
        if asked is not None:
            count = asked.count
            try:
                if isinstance(asked, OffloadedCall):
                    seconds, r.value = self.pool.call(_timed, asked.work)
                    spent += seconds
                else:
                    r.value = asked.outcome.get()
            except Exception as err:
                r.error = err
        self.order.spent(chore, clock(), spent, count)
        if over:
            self.order.remove(chore)
            del self.chores[chore]
            r.running, r.due, r.again = None, clock() + (0.0 if r.again else r.period()), False
        gevent.sleep(0)


def at_once(steps: Steps, threads: Threads) -> None:
    """A chore's steps from the first to the last, here and now; what it asks aside goes to those threads."""
    value: Any = None
    error: Exception | None = None
    while True:
        try:
            asked = steps.throw(error) if error is not None else steps.send(value)
        except StopIteration:
            return
        value = error = None
        try:
            if isinstance(asked, OffloadedCall):
                value = threads.call(asked.work)
            elif asked is not None:
                value = asked.outcome.get()
        except Exception as err:
            error = err


def _timed(work: Callable[[], Any]) -> tuple[float, Any]:
    began = time.thread_time()
    value = work()
    return time.thread_time() - began, value
