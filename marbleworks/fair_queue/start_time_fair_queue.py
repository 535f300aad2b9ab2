"""Whose turn it is: start-time fair queueing by work, members first, a member's connections among themselves.

It does no I/O and reads no clock. It owns what waits, and must never look at who a member is: a flow has a
key and a weight. Work is seconds on one thread.

For two flows that stay backlogged, the work given to each over its weight differs by at most the largest
command of either over its weight (the bound of start-time fair queueing), apart from what `correct` has still
to make up for.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

MOST_DEBT = 30.0  # seconds of work over weight that a correction or what peers tell may add to a flow
LEAST_WORK = 1e-4  # seconds; a command that says it costs nothing still takes a turn


@dataclass(eq=False, slots=True)
class Ticket:
    """One command that waits."""

    ref: str
    flow: int
    line: object  # its connection
    work: float
    size: int  # bytes that it holds
    until: float  # when it must have gone in, or gone
    threads: int = 1


@dataclass(eq=False, slots=True)
class Child:
    """Whoever takes turns. finish: the virtual time up to which it has had its share."""

    weight: float
    start: float = 0.0
    finish: float = 0.0
    waits: bool = False
    entry: int = 0


C = TypeVar("C", bound=Child)


class Turns(Generic[C]):
    """Who among those that wait is next: the one whose share began to be due first."""

    def __init__(self) -> None:
        self.now, self.entries = 0.0, 0
        self.heap: list[tuple[float, int, C]] = []

    def enter(self, child: C) -> None:
        """It has something to wait for, from now: idle time gives no credit."""
        child.waits, child.start = True, max(self.now, child.finish)
        self._push(child)

    def leave(self, child: C) -> None:
        child.waits = False

    def _push(self, child: C) -> None:
        self.entries += 1
        child.entry = self.entries
        heapq.heappush(self.heap, (child.start, child.entry, child))

    def first(self) -> C | None:
        while self.heap and (not self.heap[0][2].waits or self.heap[0][1] != self.heap[0][2].entry):
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def served(self, child: C, work: float, more: bool) -> None:
        """The first one was given so much; more: it waits for its next turn."""
        self.now = max(self.now, child.start)
        child.finish = child.start + max(work, LEAST_WORK) / child.weight
        child.start, child.waits = child.finish, more
        if more:
            self._push(child)

    def charge(self, child: C, work: float) -> None:
        """So much more (or less) than was thought, bounded."""
        change = max(min(work / child.weight, MOST_DEBT), -MOST_DEBT)
        child.finish = max(child.finish + change, 0.0)
        if child.waits:
            child.start = max(self.now, child.start + change)
            self._push(child)


@dataclass(eq=False, slots=True)
class Line(Child):
    """One connection of a member, its commands in their order."""

    tickets: deque[Ticket] = field(default_factory=deque)


@dataclass(eq=False, slots=True)
class Flow(Child):
    """One member, or those that share its queue."""

    key: int = 0
    turns: Turns[Line] = field(default_factory=Turns)
    lines: dict[object, Line] = field(default_factory=dict)
    work: float = 0.0  # that waits
    count: int = 0
    elsewhere: float = 0.0  # work a second that other routers give it, as lately heard, and ...
    heard: float = -math.inf  # ... when

    def pace_elsewhere(self, now: float) -> float:
        return self.elsewhere * math.exp(self.heard - now) if self.elsewhere else 0.0


class StartTimeFairQueue:
    def __init__(self) -> None:
        self.turns: Turns[Flow] = Turns()
        self.flows: dict[int, Flow] = {}
        self.ahead: deque[Ticket] = deque()  # before all turns: what was promised a time
        self.count, self.size, self.work, self.weight = 0, 0, 0.0, 0.0  # of all that waits; weight: of flows

    def flow(self, key: int, weight: float) -> Flow:
        if key not in self.flows:
            self.flows[key] = Flow(weight, key=key)
        flow = self.flows[key]
        if not flow.waits:
            flow.weight = weight
        return flow

    def push(self, ticket: Ticket, weight: float, owed: float) -> None:
        """owed: work of the flow that is past the door, by which it begins behind who has none there."""
        flow = self.flow(ticket.flow, weight)
        line = flow.lines.setdefault(ticket.line, Line(1.0))
        line.tickets.append(ticket)
        if not line.waits:
            flow.turns.enter(line)
        flow.work, flow.count = flow.work + ticket.work, flow.count + 1
        self._sum(ticket, 1)
        if not flow.waits:
            if not self.turns.first():  # nobody waited: shares begin anew from what each has past the door
                flow.finish = self.turns.now
            flow.finish = max(flow.finish, self.turns.now + owed / flow.weight)
            self.turns.enter(flow)
            self.weight += flow.weight

    def has_credit(self, key: int) -> bool:
        """Whether a flow that waits for nothing has had no more than its share, so that it would be next."""
        flow = self.flows.get(key)
        return flow is None or (not flow.count and flow.finish <= self.turns.now)

    def passed(self, key: int, weight: float, work: float) -> None:
        """It did not wait, while others do: that is its share for now."""
        flow = self.flow(key, weight)
        flow.finish = max(flow.finish, self.turns.now) + max(work, LEAST_WORK) / flow.weight

    def push_ahead(self, ticket: Ticket) -> None:
        """Before all turns; whoever does so sees to it that they are few, and charges their flows."""
        self.ahead.append(ticket)
        self._sum(ticket, 1)

    def _sum(self, ticket: Ticket, sign: int) -> None:
        self.count, self.size = self.count + sign, self.size + sign * ticket.size
        self.work = self.work + sign * ticket.work if self.count else 0.0

    def first(self) -> Ticket | None:
        """Who is next."""
        if self.ahead:
            return self.ahead[0]
        flow = self.turns.first()
        line = flow.turns.first() if flow is not None else None
        return line.tickets[0] if line is not None else None

    def pop(self) -> Ticket | None:
        """Who is next, taken out."""
        if self.ahead:
            ticket = self.ahead.popleft()
            self._sum(ticket, -1)
            return ticket
        flow = self.turns.first()
        line = flow.turns.first() if flow is not None else None
        if flow is None or line is None:
            return None
        ticket = line.tickets.popleft()
        flow.turns.served(line, ticket.work, bool(line.tickets))
        self._less(flow, line, ticket)
        self.turns.served(flow, ticket.work, flow.count > 0)
        if not flow.count:
            self.weight -= flow.weight
        self._tidy()
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """It leaves without its turn, which its flow keeps."""
        if ticket in self.ahead:
            self.ahead.remove(ticket)
            self._sum(ticket, -1)
            return
        flow = self.flows[ticket.flow]
        line = flow.lines[ticket.line]
        line.tickets.remove(ticket)
        if not line.tickets:
            flow.turns.leave(line)
        self._less(flow, line, ticket)
        if not flow.count:
            self.turns.leave(flow)
            self.weight -= flow.weight
        self._tidy()

    def _less(self, flow: Flow, line: Line, ticket: Ticket) -> None:
        flow.work, flow.count = flow.work - ticket.work, flow.count - 1
        self._sum(ticket, -1)
        if not line.tickets:  # no longer than it waits: connections come and go
            del flow.lines[ticket.line]
        if not flow.count:
            flow.work = 0.0

    def _tidy(self) -> None:
        """A flow that waits for nothing is kept while it has had more than its share, and no longer."""
        if not self.count:
            self.weight = 0.0
        if len(self.flows) > 64 and self.turns.entries % 64 == 0:
            for key in [k for k, f in self.flows.items() if not f.count and f.finish <= self.turns.now]:
                del self.flows[key]

    def correct(self, key: int, work: float) -> None:
        """A command of the flow took so much more than it was thought to."""
        flow = self.flows.get(key)
        if flow is not None:
            self.turns.charge(flow, work)

    def given_elsewhere(self, key: int, work: float, now: float) -> None:
        """Other routers gave the flow so much."""
        flow = self.flows.get(key)
        if flow is not None:
            self.turns.charge(flow, work)
            flow.elsewhere, flow.heard = flow.pace_elsewhere(now) + work, now  # over about a second

    def debt(self, flow: Flow) -> float:
        """Work that others of its weight are given before it is its turn."""
        return max((flow.start if flow.waits else flow.finish) - self.turns.now, 0.0) * flow.weight

    def heaviest(self) -> Flow | None:
        """Whose waiting work is most for its weight."""
        waiting = [flow for flow in self.flows.values() if flow.count]
        return max(waiting, key=lambda flow: flow.work / flow.weight) if waiting else None

    def last_of(self, flow: Flow) -> Ticket:
        """What came last of the flow's longest line."""
        return max(flow.lines.values(), key=lambda line: len(line.tickets)).tickets[-1]

    def tickets(self) -> Iterator[Ticket]:
        yield from self.ahead
        for flow in self.flows.values():
            for line in flow.lines.values():
                yield from line.tickets
