"""Which chore goes next: priorities, ages, deadlines and budgets, without I/O and without a clock.

It owns what waits and what was spent. It must never run a chore: whoever does asks `next`, does one step and
says what that step took by `spent`. Times are float seconds on any one clock.
"""

from __future__ import annotations

from dataclasses import dataclass

BURST = 0.25  # seconds of either budget that may be saved up
MOST_WAITING = 256  # chores; a subsystem has a handful of each kind


@dataclass(eq=False)
class Task:
    """One piece of work in steps. A smaller priority goes first; deadline: when it must have begun."""

    name: str
    priority: int
    since: float  # waits, or last made a step, since then
    deadline: float | None = None


class Budget:
    """So much a second, a burst of it saved up at most. What was overdrawn is paid back before more is
    had."""

    def __init__(self, pace: float) -> None:
        self.pace, self.left = pace, pace * BURST
        self.at: float | None = None

    def filled(self, now: float) -> float:
        if self.at is not None:
            self.left = min(self.left + self.pace * max(now - self.at, 0.0), self.pace * BURST)
        self.at = now
        return self.left

    def ready(self, now: float) -> float:
        """When something of it may be spent again."""
        left = self.filled(now)
        return now if left > 0 else now - left / self.pace + 1e-6


class TaskQueue:
    """The chores that wait, and the two budgets: time on the core (share) and bytes a second.

    A chore whose deadline has passed goes first, the earliest of them. Else the least priority less its age
    in units of patience, so that none waits for ever. While the desk is behind, a chore goes only when its
    deadline has passed or it has waited for patience. Budgets bind all alike.
    """

    def __init__(self, core: float, pace: float, patience: float) -> None:
        self.core, self.bytes, self.patience = Budget(core), Budget(pace), patience
        self.waiting: list[Task] = []

    def change(self, core: float, pace: float, patience: float) -> None:
        self.core.pace, self.bytes.pace, self.patience = core, pace, patience

    def add(self, chore: Task) -> bool:
        """Whether there was room for it among those that wait."""
        if len(self.waiting) >= MOST_WAITING:
            return False
        self.waiting.append(chore)
        return True

    def remove(self, chore: Task) -> None:
        if chore in self.waiting:
            self.waiting.remove(chore)

    def next(self, now: float, behind: bool) -> Task | None:
        """The chore whose step goes now; it stays among those that wait until removed."""
        if self.core.filled(now) <= 0 or self.bytes.filled(now) <= 0:
            return None
        late = [c for c in self.waiting if c.deadline is not None and now >= c.deadline]
        if late:
            return min(late, key=lambda c: c.deadline or 0.0)
        ready = [c for c in self.waiting if not behind or now - c.since >= self.patience]
        return min(ready, key=lambda c: c.priority - (now - c.since) / self.patience) if ready else None

    def spent(self, chore: Task, now: float, seconds: float, count: float) -> None:
        """A step of it took so much time on the core and so many bytes."""
        chore.since = now
        self.core.filled(now)
        self.bytes.filled(now)
        self.core.left -= seconds
        self.bytes.left -= count

    def wake(self, now: float, behind: bool) -> float | None:
        """When to ask again; None while nothing waits."""
        if not self.waiting:
            return None
        paid = max(self.core.ready(now), self.bytes.ready(now))
        if not behind:
            return paid
        given = [c.since + self.patience for c in self.waiting]
        given += [c.deadline for c in self.waiting if c.deadline is not None]
        return max(paid, min(given))
