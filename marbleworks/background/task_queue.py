"""Decides which background task runs next, by deadline, priority, age and budget, without I/O or a clock.

The queue runs nothing: its owner asks `TaskQueue.next_task`, runs one step of that task and reports its cost
with `TaskQueue.record_step`. Times are seconds as floats, all of the same clock.
"""

from __future__ import annotations

from dataclasses import dataclass

BURST_S = 0.25
"""Largest burst of a budget, in seconds of its rate."""
MAX_WAITING_TASKS = 256
ROUNDING_S = 1e-6
"""Added to a computed refill time, so that rounding does not leave the budget at zero or below by then."""


@dataclass(eq=False)
class Task:
    """One task in the queue, which runs in steps.

    Attributes:
        name: name in log lines.
        priority: a smaller number runs first.
        waiting_since: time at which the task was added or made its last step.
        deadline: time by which the task must have started; None if it may start at any time.
    """

    name: str
    priority: int
    waiting_since: float
    deadline: float | None = None


class RateBudget:
    """A token bucket with a bounded burst, which a step may overdraw.

    An overdrawn bucket has to be refilled above zero before anything else may be spent.

    Args:
        rate_per_s: units that are added per second.
    """

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.available = rate_per_s * BURST_S
        self.refilled_at: float | None = None

    def refill(self, now: float) -> float:
        """Refills the bucket and returns the units available now; below zero while it is overdrawn."""
        if self.refilled_at is not None:
            added_units = self.rate_per_s * max(now - self.refilled_at, 0.0)
            self.available = min(self.available + added_units, self.rate_per_s * BURST_S)
        self.refilled_at = now
        return self.available

    def available_at(self, now: float) -> float:
        """Returns the time from which something may be spent again."""
        available = self.refill(now)
        return now if available > 0 else now - available / self.rate_per_s + ROUNDING_S


class TaskQueue:
    """The waiting tasks and their two budgets: time on the core and bytes read or written.

    Tasks whose deadline has passed run first, in order of their deadlines. Otherwise the task runs whose
    priority minus its waiting time in units of `max_wait_s` is smallest, so that no task starves. While the
    router is backlogged, a task runs only when its deadline has passed or it has waited for `max_wait_s`. The
    budgets apply to every task, also to one past its deadline.

    Args:
        core_share: share of the core, in seconds per second.
        bytes_per_s: bytes that may be read or written per second.
        max_wait_s: seconds of waiting after which a task runs although the router is backlogged.
    """

    def __init__(self, core_share: float, bytes_per_s: float, max_wait_s: float) -> None:
        self.core_budget = RateBudget(core_share)
        self.io_budget = RateBudget(bytes_per_s)
        self.max_wait_s = max_wait_s
        self.waiting: list[Task] = []

    def set_limits(self, core_share: float, bytes_per_s: float, max_wait_s: float) -> None:
        """Replaces the limits; the arguments are those of the class."""
        self.core_budget.rate_per_s = core_share
        self.io_budget.rate_per_s = bytes_per_s
        self.max_wait_s = max_wait_s

    def add(self, task: Task) -> bool:
        """Adds a task; returns False if the queue is full."""
        if len(self.waiting) >= MAX_WAITING_TASKS:
            return False
        self.waiting.append(task)
        return True

    def remove(self, task: Task) -> None:
        """Removes a task, if the queue contains it."""
        if task in self.waiting:
            self.waiting.remove(task)

    def next_task(self, now: float, backlogged: bool) -> Task | None:
        """Returns the task whose next step runs now, or None; the task stays queued until removed."""
        if self.core_budget.refill(now) <= 0 or self.io_budget.refill(now) <= 0:
            return None
        overdue = [task for task in self.waiting if task.deadline is not None and now >= task.deadline]
        if overdue:
            return min(overdue, key=lambda task: task.deadline or 0.0)
        ready = [
            task for task in self.waiting if not backlogged or now - task.waiting_since >= self.max_wait_s
        ]
        return min(ready, key=lambda task: self._rank(task, now)) if ready else None

    def _rank(self, task: Task, now: float) -> float:
        return task.priority - (now - task.waiting_since) / self.max_wait_s

    def record_step(self, task: Task, now: float, core_s: float, io_bytes: float) -> None:
        """Charges a step of the task to the budgets.

        Args:
            task: the task that made the step.
            now: time at which the step ended.
            core_s: seconds of the core that the step took.
            io_bytes: bytes that the step read or wrote.
        """
        task.waiting_since = now
        self.core_budget.refill(now)
        self.io_budget.refill(now)
        self.core_budget.available -= core_s
        self.io_budget.available -= io_bytes

    def next_wakeup(self, now: float, backlogged: bool) -> float | None:
        """Returns the time at which to call `next_task` again; None while no task waits."""
        if not self.waiting:
            return None
        refill_time = max(self.core_budget.available_at(now), self.io_budget.available_at(now))
        if not backlogged:
            return refill_time
        start_times = [task.waiting_since + self.max_wait_s for task in self.waiting]
        start_times += [task.deadline for task in self.waiting if task.deadline is not None]
        return max(refill_time, min(start_times))
