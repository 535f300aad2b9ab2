"""Start-time fair queueing by work: first among flows, then among the sub-queues of a flow.

It does no I/O and reads no clock. It owns what waits, and must never look at which tenant a request belongs
to: a flow has a key and a weight. Work is seconds on one thread.

For two flows that stay backlogged, the work given to each over its weight differs by at most the largest
request of either over its weight (the bound of start-time fair queueing), apart from what `correct` has still
to make up for.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

MAX_CHARGE_S = 30.0  # work over weight; the most that one correction or one peer's report charges
MIN_WORK_S = 1e-4  # charged at least, so that a request estimated to cost nothing still takes a turn


@dataclass(eq=False, slots=True)
class Ticket:
    """One request that waits.

    Attributes:
        ref: Reference of the request.
        flow: Key of its flow.
        order_key: Names its sub-queue; requests with the same key keep their order.
        work: Estimated seconds on one thread.
        size_bytes: Memory that it takes while it waits.
        admit_by: When it has to be admitted at the latest, in seconds on a monotonic clock.
        threads: Threads that it runs on.
    """

    ref: str
    flow: int
    order_key: object
    work: float
    size_bytes: int
    admit_by: float
    threads: int = 1


@dataclass(eq=False, slots=True)
class Schedulable:
    """A flow or a sub-queue, as `StartTagOrder` sees it.

    Attributes:
        weight: Share relative to the others.
        start_tag: Virtual time from which its next turn is due.
        finish_tag: Virtual time up to which it has had its share.
        is_backlogged: Whether it has requests that wait for a turn.
        entry: Number of its valid heap entry; those with another number are stale.
    """

    weight: float
    start_tag: float = 0.0
    finish_tag: float = 0.0
    is_backlogged: bool = False
    entry: int = 0


S = TypeVar("S", bound=Schedulable)


class StartTagOrder(Generic[S]):
    """Orders backlogged flows or sub-queues by start tag; the smallest is served first."""

    def __init__(self) -> None:
        self.virtual_time, self.entry_count = 0.0, 0
        self.heap: list[tuple[float, int, S]] = []

    def activate(self, item: S) -> None:
        """An idle item became backlogged; it gets no credit for the time when it was idle."""
        item.is_backlogged, item.start_tag = True, max(self.virtual_time, item.finish_tag)
        self._push(item)

    def deactivate(self, item: S) -> None:
        """The item has nothing left to wait for."""
        item.is_backlogged = False

    def _push(self, item: S) -> None:
        self.entry_count += 1
        item.entry = self.entry_count
        heapq.heappush(self.heap, (item.start_tag, item.entry, item))

    def first(self) -> S | None:
        """Returns the item that is served next, None if none is backlogged."""
        while self.heap and (not self.heap[0][2].is_backlogged or self.heap[0][1] != self.heap[0][2].entry):
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def served(self, item: S, work: float, is_backlogged: bool) -> None:
        """The first item was served.

        Args:
            item: The item that `first` returns.
            work: Work that it was given.
            is_backlogged: Whether it has more to wait for.
        """
        self.virtual_time = max(self.virtual_time, item.start_tag)
        item.finish_tag = item.start_tag + max(work, MIN_WORK_S) / item.weight
        item.start_tag, item.is_backlogged = item.finish_tag, is_backlogged
        if is_backlogged:
            self._push(item)

    def charge(self, item: S, work: float) -> None:
        """Charges an item for additional work, or credits it if negative, within `MAX_CHARGE_S`."""
        change = max(min(work / item.weight, MAX_CHARGE_S), -MAX_CHARGE_S)
        item.finish_tag = max(item.finish_tag + change, 0.0)
        if item.is_backlogged:
            item.start_tag = max(self.virtual_time, item.start_tag + change)
            self._push(item)


@dataclass(eq=False, slots=True)
class SubQueue(Schedulable):
    """The requests of a flow that share an order key, first in, first out."""

    tickets: deque[Ticket] = field(default_factory=deque)


@dataclass(eq=False, slots=True)
class Flow(Schedulable):
    """The requests of one tenant, or of those that share its queue.

    Attributes:
        key: Number of the queue.
        order: The order in which its sub-queues are served.
        sub_queues: By order key.
        work: Work that waits.
        count: Requests that wait.
        peer_rate: Work a second that other routers give the flow, as of `peer_rate_at`.
        peer_rate_at: Seconds on a monotonic clock.
    """

    key: int = 0
    order: StartTagOrder[SubQueue] = field(default_factory=StartTagOrder)
    sub_queues: dict[object, SubQueue] = field(default_factory=dict)
    work: float = 0.0
    count: int = 0
    peer_rate: float = 0.0
    peer_rate_at: float = -math.inf

    def current_peer_rate(self, now: float) -> float:
        """Returns the work a second that other routers give the flow; it decays without new reports."""
        return self.peer_rate * math.exp(self.peer_rate_at - now) if self.peer_rate else 0.0


class StartTimeFairQueue:
    """The requests that wait, in the order in which they are admitted.

    Attributes:
        order: The order in which flows are served.
        flows: By key.
        priority_tickets: Requests that go ahead of all flows, since they claimed a retry promise.
        count: Requests that wait.
        size_bytes: Bytes of memory that they take.
        work: Work that waits.
        weight: Sum of the weights of the backlogged flows.
    """

    def __init__(self) -> None:
        self.order: StartTagOrder[Flow] = StartTagOrder()
        self.flows: dict[int, Flow] = {}
        self.priority_tickets: deque[Ticket] = deque()
        self.count, self.size_bytes, self.work, self.weight = 0, 0, 0.0, 0.0

    def flow(self, key: int, weight: float) -> Flow:
        """Returns the flow of a key, which is made if unknown; its weight changes only while it is idle."""
        if key not in self.flows:
            self.flows[key] = Flow(weight, key=key)
        flow = self.flows[key]
        if not flow.is_backlogged:
            flow.weight = weight
        return flow

    def push(self, ticket: Ticket, weight: float, admitted_work: float) -> None:
        """Adds a request to its flow.

        Args:
            ticket: The request.
            weight: Weight of its flow.
            admitted_work: Work of the flow that is admitted and not ended. A flow that becomes backlogged
                starts behind those that have none.
        """
        flow = self.flow(ticket.flow, weight)
        sub_queue = flow.sub_queues.setdefault(ticket.order_key, SubQueue(1.0))
        sub_queue.tickets.append(ticket)
        if not sub_queue.is_backlogged:
            flow.order.activate(sub_queue)
        flow.work, flow.count = flow.work + ticket.work, flow.count + 1
        self._add_to_totals(ticket, 1)
        if not flow.is_backlogged:
            if not self.order.first():  # no flow is backlogged: only admitted work counts from here on
                flow.finish_tag = self.order.virtual_time
            flow.finish_tag = max(flow.finish_tag, self.order.virtual_time + admitted_work / flow.weight)
            self.order.activate(flow)
            self.weight += flow.weight

    def has_credit(self, key: int) -> bool:
        """Returns whether an idle flow has had no more than its share, so that it would be served next."""
        flow = self.flows.get(key)
        return flow is None or (not flow.count and flow.finish_tag <= self.order.virtual_time)

    def charge_admitted(self, key: int, weight: float, work: float) -> None:
        """Charges a flow for a request that was admitted without waiting while others wait."""
        flow = self.flow(key, weight)
        flow.finish_tag = max(flow.finish_tag, self.order.virtual_time) + max(work, MIN_WORK_S) / flow.weight

    def push_priority(self, ticket: Ticket) -> None:
        """Adds a request ahead of all flows; the caller keeps these few and charges their flows."""
        self.priority_tickets.append(ticket)
        self._add_to_totals(ticket, 1)

    def _add_to_totals(self, ticket: Ticket, sign: int) -> None:
        self.count, self.size_bytes = self.count + sign, self.size_bytes + sign * ticket.size_bytes
        self.work = self.work + sign * ticket.work if self.count else 0.0

    def first(self) -> Ticket | None:
        """Returns the next request, None if none waits."""
        if self.priority_tickets:
            return self.priority_tickets[0]
        flow = self.order.first()
        sub_queue = flow.order.first() if flow is not None else None
        return sub_queue.tickets[0] if sub_queue is not None else None

    def pop(self) -> Ticket | None:
        """Removes the next request and charges its flow; None if none waits."""
        if self.priority_tickets:
            ticket = self.priority_tickets.popleft()
            self._add_to_totals(ticket, -1)
            return ticket
        flow = self.order.first()
        sub_queue = flow.order.first() if flow is not None else None
        if flow is None or sub_queue is None:
            return None
        ticket = sub_queue.tickets.popleft()
        flow.order.served(sub_queue, ticket.work, bool(sub_queue.tickets))
        self._subtract(flow, sub_queue, ticket)
        self.order.served(flow, ticket.work, flow.count > 0)
        if not flow.count:
            self.weight -= flow.weight
        self._prune_flows()
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Removes a request that is not served; its flow is not charged."""
        if ticket in self.priority_tickets:
            self.priority_tickets.remove(ticket)
            self._add_to_totals(ticket, -1)
            return
        flow = self.flows[ticket.flow]
        sub_queue = flow.sub_queues[ticket.order_key]
        sub_queue.tickets.remove(ticket)
        if not sub_queue.tickets:
            flow.order.deactivate(sub_queue)
        self._subtract(flow, sub_queue, ticket)
        if not flow.count:
            self.order.deactivate(flow)
            self.weight -= flow.weight
        self._prune_flows()

    def _subtract(self, flow: Flow, sub_queue: SubQueue, ticket: Ticket) -> None:
        flow.work, flow.count = flow.work - ticket.work, flow.count - 1
        self._add_to_totals(ticket, -1)
        if not sub_queue.tickets:  # an empty one is not kept, since connections come and go
            del flow.sub_queues[ticket.order_key]
        if not flow.count:
            flow.work = 0.0

    def _prune_flows(self) -> None:
        """Forgets idle flows, except those that have had more than their share."""
        if not self.count:
            self.weight = 0.0
        if len(self.flows) > 64 and self.order.entry_count % 64 == 0:
            for key in [
                k for k, f in self.flows.items() if not f.count and f.finish_tag <= self.order.virtual_time
            ]:
                del self.flows[key]

    def correct(self, key: int, work: float) -> None:
        """Charges a flow for the work that a request took beyond its estimate; negative if it took less."""
        flow = self.flows.get(key)
        if flow is not None:
            self.order.charge(flow, work)

    def charge_peer_work(self, key: int, work: float, now: float) -> None:
        """Charges a flow for work that a peer admitted."""
        flow = self.flows.get(key)
        if flow is not None:
            self.order.charge(flow, work)
            # The rate is a sum with a decay time of 1 s, so that it is about the work of the last second.
            flow.peer_rate, flow.peer_rate_at = flow.current_peer_rate(now) + work, now

    def debt(self, flow: Flow) -> float:
        """Returns the work that flows of its weight are given before its turn."""
        return (
            max((flow.start_tag if flow.is_backlogged else flow.finish_tag) - self.order.virtual_time, 0.0)
            * flow.weight
        )

    def heaviest(self) -> Flow | None:
        """Returns the flow with the most waiting work relative to its weight, None if none waits."""
        backlogged = [flow for flow in self.flows.values() if flow.count]
        return max(backlogged, key=lambda flow: flow.work / flow.weight) if backlogged else None

    def last_of(self, flow: Flow) -> Ticket:
        """Returns the latest request of the flow's longest sub-queue."""
        return max(flow.sub_queues.values(), key=lambda sub_queue: len(sub_queue.tickets)).tickets[-1]

    def tickets(self) -> Iterator[Ticket]:
        """Yields all requests that wait."""
        yield from self.priority_tickets
        for flow in self.flows.values():
            for sub_queue in flow.sub_queues.values():
                yield from sub_queue.tickets
