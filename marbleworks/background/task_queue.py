"""Decides which background task runs next: priorities, ages, deadlines and budgets, without I/O or a clock.

The queue runs nothing: its owner asks `TaskQueue.next_task`, runs one step of that task and reports its cost
with `TaskQueue.record_step`. Times are float seconds of any one clock.
"""

from __future__ import annotations

from dataclasses import dataclass

BURST_S = 0.25
"""Seconds of a budget's rate that may be saved up."""
MAX_WAITING_TASKS = 256
ROUNDING_S = 1e-6
"""Added to a time of refill, so that the budget is above zero when it comes."""


@dataclass(eq=False)
class Task:
    """One piece of work in steps.

    Attributes:
        name: for the log.
        priority: a smaller one runs first.
        waiting_since: when it was added, or made its last step.
        deadline: when it must have begun; None: at any time.
    """

    name: str
    priority: int
    waiting_since: float
    deadline: float | None = None


class RateBudget:
    """A token bucket: a rate a second with a bounded burst, which a step may overdraw.

    What is overdrawn is refilled before anything else may be spent.
    """

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.available = rate_per_s * BURST_S
        self.refilled_at: float | None = None

    def refill(self, now: float) -> float:
        """Returns what is available now; below zero while overdrawn."""
        if self.refilled_at is not None:
            earned = self.rate_per_s * max(now - self.refilled_at, 0.0)
            self.available = min(self.available + earned, self.rate_per_s * BURST_S)
        self.refilled_at = now
        return self.available

    def available_at(self, now: float) -> float:
        """Returns when something may be spent again."""
        available = self.refill(now)
        return now if available > 0 else now - available / self.rate_per_s + ROUNDING_S


class TaskQueue:
    """The waiting tasks and their two budgets: time on the core and bytes read or written.

    A task whose deadline has passed runs first, the earliest deadline of them. Otherwise the smallest
    priority less the age in units of `max_wait_s` runs, so that no task starves. While the router is
    backlogged, a task runs only when its deadline has passed or it has waited for `max_wait_s`. The budgets
    bind every task.

    Args:
        core_share: share of the core, seconds a second.
        bytes_per_s: bytes read or written a second.
        max_wait_s: the wait after which a task runs although the router is backlogged.
    """

    def __init__(self, core_share: float, bytes_per_s: float, max_wait_s: float) -> None:
        self.core_budget = RateBudget(core_share)
        self.io_budget = RateBudget(bytes_per_s)
        self.max_wait_s = max_wait_s
        self.waiting: list[Task] = []

    def set_limits(self, core_share: float, bytes_per_s: float, max_wait_s: float) -> None:
        """Changes the limits that the queue was made with."""
        self.core_budget.rate_per_s = core_share
        self.io_budget.rate_per_s = bytes_per_s
        self.max_wait_s = max_wait_s

    def add(self, task: Task) -> bool:
        """Adds a task; returns False where the queue is full."""
        if len(self.waiting) >= MAX_WAITING_TASKS:
            return False
        self.waiting.append(task)
        return True

    def remove(self, task: Task) -> None:
        """Removes a task, if it is there."""
        if task in self.waiting:
            self.waiting.remove(task)

    def next_task(self, now: float, backlogged: bool) -> Task | None:
        """Returns the task whose step runs now, or None; it stays in the queue until removed."""
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
        """Charges a step of the task to the budgets."""
        task.waiting_since = now
        self.core_budget.refill(now)
        self.io_budget.refill(now)
        self.core_budget.available -= core_s
        self.io_budget.available -= io_bytes

    def next_wakeup(self, now: float, backlogged: bool) -> float | None:
        """Returns when to ask `next_task` again; None while no task waits."""
        if not self.waiting:
            return None
        refilled = max(self.core_budget.available_at(now), self.io_budget.available_at(now))
        if not backlogged:
            return refilled
        allowed = [task.waiting_since + self.max_wait_s for task in self.waiting]
        allowed += [task.deadline for task in self.waiting if task.deadline is not None]
        return max(refilled, min(allowed))
