"""Runs background tasks step by step between requests, and their blocking calls on a separate thread.

A step runs in the thread of the gevent hub, so it must be short: a file access or a long computation is
yielded as an `OffloadedCall`. `task_queue` decides which task's step runs next. Steps never run
concurrently, except those of dedicated tasks.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import AsyncResult, Event

from marbleworks.background.options import BackgroundOptions
from marbleworks.background.task_queue import Task, TaskQueue
from marbleworks.background.threads import WorkerThreads
from marbleworks.net.actor import LOG, clock, spawn

MAX_SLEEP_S = 0.5
"""Longest sleep of the runner, after which it checks again whether the router is backlogged."""
MIN_SLEEP_S = 0.001
STOP_TIMEOUT_S = 5.0
BACKLOG_THRESHOLD = 16
"""Messages in the dispatcher's mailbox above which the router counts as backlogged."""


@dataclass(frozen=True)
class OffloadedCall:
    """Yielded by a task to make `call` on the worker thread; the task receives its result or exception.

    Attributes:
        call: the blocking call.
        io_bytes: bytes that the call reads or writes, charged to the I/O budget.
    """

    call: Callable[[], Any]
    io_bytes: int = 0


@dataclass(frozen=True)
class AwaitedResult:
    """Yielded by a task to wait for another greenlet; the task receives its result or exception.

    Attributes:
        outcome: set to the result or the exception by the other greenlet.
        io_bytes: bytes that the other greenlet reads or writes, charged to the I/O budget.
    """

    outcome: AsyncResult[Any]
    io_bytes: int = 0


TaskSteps = Generator[OffloadedCall | AwaitedResult | None, Any, None]


@dataclass(eq=False)
class PeriodicTask:
    """A task that runs periodically.

    Attributes:
        name: name in log lines and for `TaskRunner.run_now`.
        priority: a smaller number runs first.
        period_s: returns the seconds between the end of a run and the start of the next.
        start: creates the generator of the task's steps.
        start_within_s: seconds after being queued at which the task's start is overdue.
        due_at: time of the next start.
        dedicated: whether the task has a greenlet of its own, outside the queue and its budgets.
        steps: the generator of the current run; None between runs.
        rerun: whether the task starts again as soon as the current run ends.
        next_value: value that is sent to the next step.
        next_error: exception that is raised in the next step, if any.
        wake_event: wakes the greenlet of a dedicated task.
    """

    name: str
    priority: int
    period_s: Callable[[], float]
    start: Callable[[], TaskSteps]
    start_within_s: float
    due_at: float = 0.0
    dedicated: bool = False
    steps: TaskSteps | None = None
    rerun: bool = False
    next_value: Any = None
    next_error: Exception | None = None
    wake_event: Event = field(default_factory=Event)


class TaskRunner:
    """Runs periodic tasks until it is stopped.

    Args:
        options: the tasks' share of the core, I/O rate and longest wait.
        is_backlogged: returns whether the router is backlogged with requests.
    """

    def __init__(self, options: BackgroundOptions, is_backlogged: Callable[[], bool]) -> None:
        self.queue = TaskQueue(options.core_share, options.bytes_per_s, options.max_wait_s)
        self.is_backlogged = is_backlogged
        self.periodic_tasks: list[PeriodicTask] = []
        self.running: dict[Task, PeriodicTask] = {}
        self.threads = WorkerThreads(1)
        self.stopped = False
        self.wake_event = Event()
        self.greenlet = spawn(self._run)

    def configure(self, options: BackgroundOptions) -> None:
        """Applies new limits while tasks run."""
        self.queue.set_limits(options.core_share, options.bytes_per_s, options.max_wait_s)

    def add_periodic_task(
        self,
        name: str,
        priority: int,
        period_s: Callable[[], float],
        start: Callable[[], TaskSteps],
        start_within_s: float,
        dedicated: bool = False,
    ) -> None:
        """Adds a periodic task; each yield of its generator ends a step.

        A dedicated task is for short work that other tasks depend on: it waits neither for the queue nor for
        the budgets.

        Args:
            name: name in log lines and for `run_now`.
            priority: a smaller number runs first.
            period_s: returns the seconds between the end of a run and the start of the next.
            start: creates the generator of the task's steps.
            start_within_s: seconds after being queued at which the task's start is overdue.
            dedicated: whether the task gets a greenlet of its own.
        """
        due_at = clock() + period_s()
        task = PeriodicTask(name, priority, period_s, start, start_within_s, due_at, dedicated)
        self.periodic_tasks.append(task)
        if dedicated:
            spawn(self._run_dedicated, task)

    def run_now(self, name: str) -> None:
        """Makes the task of that name due now; if it is running, it runs again as soon as it ends."""
        for task in self.periodic_tasks:
            if task.name == name:
                task.due_at = 0.0
                task.rerun = task.steps is not None
                (task.wake_event if task.dedicated else self.wake_event).set()

    def stop(self) -> None:
        """Starts no further step and waits for the running one, for at most `STOP_TIMEOUT_S`."""
        self.stopped = True
        self.wake_event.set()
        for task in self.periodic_tasks:
            task.wake_event.set()
        self.greenlet.join(STOP_TIMEOUT_S)

    def _run(self) -> None:
        while not self.stopped:
            now = clock()
            self._queue_due_tasks(now)
            backlogged = self.is_backlogged()
            task = self.queue.next_task(now, backlogged)
            if task is not None:
                self._run_step(task)
            else:
                self._sleep(now, backlogged)

    def _queue_due_tasks(self, now: float) -> None:
        for periodic in self.periodic_tasks:
            if periodic.steps is not None or periodic.due_at > now or periodic.dedicated:
                continue
            task = Task(periodic.name, periodic.priority, now, now + periodic.start_within_s)
            if self.queue.add(task):
                periodic.steps = periodic.start()
                periodic.next_value = None
                periodic.next_error = None
                self.running[task] = periodic

    def _sleep(self, now: float, backlogged: bool) -> None:
        wakeup_times = [
            task.due_at for task in self.periodic_tasks if task.steps is None and not task.dedicated
        ]
        next_wakeup_at = self.queue.next_wakeup(now, backlogged)
        if next_wakeup_at is not None:
            wakeup_times.append(next_wakeup_at)
        until_next = min(wakeup_times, default=now + MAX_SLEEP_S) - now
        self.wake_event.clear()
        self.wake_event.wait(min(max(until_next, MIN_SLEEP_S), MAX_SLEEP_S))

    def _run_dedicated(self, task: PeriodicTask) -> None:
        threads = WorkerThreads(1)
        while not self.stopped:
            task.wake_event.clear()
            if task.due_at > clock():
                task.wake_event.wait(max(task.due_at - clock(), MIN_SLEEP_S))
                continue
            task.due_at = clock() + MAX_SLEEP_S  # `run_now` may set an earlier time during the run
            try:
                run_all_steps(task.start(), threads)
            except Exception:  # noqa: BLE001 - a failed run is logged, and the task runs again
                LOG.exception("failed", work=task.name)
                gevent.sleep(MAX_SLEEP_S)
            task.due_at = min(task.due_at, clock() + task.period_s())

    def _run_step(self, task: Task) -> None:
        periodic = self.running[task]
        started_at = time.thread_time()
        finished, yielded = _run_to_next_yield(periodic)
        core_s = time.thread_time() - started_at
        periodic.next_value = None
        periodic.next_error = None
        io_bytes = 0
        if yielded is not None:
            io_bytes = yielded.io_bytes
            core_s += self._complete_yielded(periodic, yielded)
        self.queue.record_step(task, clock(), core_s, io_bytes)
        if finished:
            self._finish_run(task)
        gevent.sleep(0)

    def _complete_yielded(self, periodic: PeriodicTask, yielded: OffloadedCall | AwaitedResult) -> float:
        """Carries out what the step yielded; returns the core seconds that it took on the worker thread."""
        core_s = 0.0
        try:
            if isinstance(yielded, OffloadedCall):
                core_s, periodic.next_value = self.threads.call(_call_timed, yielded.call)
            else:
                periodic.next_value = yielded.outcome.get()
        except Exception as error:  # noqa: BLE001 - it is raised in the task's next step
            periodic.next_error = error
        return core_s

    def _finish_run(self, task: Task) -> None:
        periodic = self.running.pop(task)
        self.queue.remove(task)
        periodic.steps = None
        periodic.due_at = clock() + (0.0 if periodic.rerun else periodic.period_s())
        periodic.rerun = False


def _run_to_next_yield(periodic: PeriodicTask) -> tuple[bool, OffloadedCall | AwaitedResult | None]:
    """Runs the task to its next yield.

    Returns:
        Whether the task finished or failed, and what it yielded.
    """
    assert periodic.steps is not None
    try:
        return False, _advance(periodic.steps, periodic.next_value, periodic.next_error)
    except StopIteration:
        pass
    except Exception:  # noqa: BLE001 - a failed task is logged, and runs again after its period
        LOG.exception("failed", work=periodic.name)
    return True, None


def _advance(steps: TaskSteps, value: Any, error: Exception | None) -> OffloadedCall | AwaitedResult | None:
    return steps.throw(error) if error is not None else steps.send(value)


def run_all_steps(steps: TaskSteps, threads: WorkerThreads) -> None:
    """Runs all steps of a task without a queue or budgets; blocking calls run on `threads`."""
    value: Any = None
    error: Exception | None = None
    while True:
        try:
            yielded = _advance(steps, value, error)
        except StopIteration:
            return
        value = error = None
        try:
            if isinstance(yielded, OffloadedCall):
                value = threads.call(yielded.call)
            elif yielded is not None:
                value = yielded.outcome.get()
        except Exception as caught:  # noqa: BLE001 - it is raised in the task's next step
            error = caught


def _call_timed(call: Callable[[], Any]) -> tuple[float, Any]:
    started_at = time.thread_time()
    value = call()
    return time.thread_time() - started_at, value
