"""The door: who goes through at once, who waits, and who is turned away with which time. No I/O, no clock.

It owns the queues, the window and the promises, and must never choose an engine, answer a client, or hold
what it could let in. A command is known by its ref; what it says is what the desk was told.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from marbleworks.fair_queue.concurrency_limit import ConcurrencyLimit
from marbleworks.fair_queue.flow_classifier import FlowClassifier
from marbleworks.fair_queue.peer_usage import EVERY, PeerUsage, name_hash
from marbleworks.fair_queue.retry_promises import EARLY, RetryPromises
from marbleworks.fair_queue.start_time_fair_queue import StartTimeFairQueue, Ticket

TICKET = 2000  # bytes that a waiting command takes besides its statement
RATE_OVER = 1.0  # seconds over which the work that gets done is measured
LEARNS, MOST_BIAS = (
    0.2,
    20.0,
)  # part of the last answer in what is learned of a member's estimates, and its bound
HEADROOM = 1.3  # times the window's width that those may use who have had less than their share
LOST_FOR = 10.0  # seconds after engines were lost in which that is why a promise breaks
LEAST_HAD = 0.02  # part of the rate that a member has elsewhere from which on that counts
PACE_OVER = 10  # summaries over which the pace is taken
LEAST_PART, MOST_PART = 0.1, 0.5  # of what may be promised of a time, for one member


class AdmissionReason(Enum):
    """What became of a command at the door, for the trace."""

    PASSED = "passed"  # nothing contended
    QUEUED = "queued"
    LET_IN = "let in"  # its turn came
    KEPT = "kept"  # it came when it was told to
    TOO_LATE = "too late"  # it could not go in within its time
    FULL = "full"  # the queues are at their bound, and its member is the heaviest
    EARLY = "early"  # it came before the time that it was told
    LEFT = "left"
    TIMED_OUT = "timed out"
    STOPPING = "stopping"


class AdmissionPort(Protocol):
    """What the door asks of whoever stands behind it."""

    def let_in(self, ref: str) -> None: ...

    def turn_away(self, ref: str, after: float) -> None:
        """after: seconds to come back in; infinite where no time was promised."""

    def tell_peers(self, data: bytes) -> None: ...

    def trace(self, ref: str, member: str, why: AdmissionReason, seconds: float) -> None: ...

    def broke(self, ref: str, member: str, cause: str) -> None:
        """One that came in its time was not served after all."""


@dataclass(slots=True)
class Arrival:
    """A command as it comes. work: seconds on one thread; size: bytes; patience: seconds that it may wait at
    the door and still be in time; left: seconds until its client gives up; mark: the same for a further try
    of it."""

    ref: str
    name: str
    address: str
    line: object
    work: float
    threads: int
    size: int
    patience: float
    left: float
    mark: int


@dataclass(frozen=True)
class Bounds:
    """count: commands that may wait; size: bytes of them; bookings: promises at a time; share: whether peers
    are told; trace: whether each decision is."""

    count: int
    size: float
    bookings: int
    share: bool
    trace: bool


@dataclass(eq=False, slots=True)
class Inside:
    """A command past the door."""

    flow: int
    member: str
    work: float
    threads: int
    at: float
    promised: bool = False


class AdmissionController:
    def __init__(
        self, sill: AdmissionPort, members: FlowClassifier, bounds: Bounds, cores: float, heed: float
    ) -> None:
        self.sill, self.members, self.bounds = sill, members, bounds
        self.fair, self.window = StartTimeFairQueue(), ConcurrencyLimit(cores)
        self.bookings, self.shares = RetryPromises(heed, bounds.bookings), PeerUsage()
        self.waiting: dict[
            str, tuple[Ticket, str, float]
        ] = {}  # by ref: its ticket, member, and when it came
        self.standing: dict[str, int] = {}  # the queue of each member that waits
        self.counts: dict[str, int] = {}  # commands of each that wait
        self.inside: dict[str, Inside] = {}
        self.owed: dict[int, float] = {}  # work past the door by flow
        self.bias: dict[int, float] = {}  # work that was over work that was said, by flow; as many as queues
        self.deadlines: list[
            tuple[float, int, Ticket]
        ] = []  # a heap of what waits, and of some that has gone
        self.done: deque[tuple[float, float]] = deque()  # when, and work; of the last second
        self.done_work, self.pushed = 0.0, 0
        self.straight: deque[tuple[float, float]] = deque()  # the same of what did not wait while others did
        self.straight_work = 0.0
        self.told_at = -math.inf
        self.pace = 0.0
        self.turned: deque[tuple[float, float]] = deque(maxlen=PACE_OVER)  # when, and the turns' virtual time
        self.promised: set[str] = set()  # those that came in their time and wait
        self.shrunk_at = -math.inf  # when engines were lost last
        self.most_size = 0  # bytes that ever waited at once

    # What comes.

    def arrive(self, new: Arrival, now: float) -> None:
        """Lets in, queues or turns away, each at once; the work for it is bounded."""
        self.bookings.expire(now)
        member, weight = self.members.of(new.name, new.address)
        flow = self._flow(member)
        new.work *= self.bias.get(flow, 1.0)
        booking = self.bookings.find(flow, new.mark)
        if booking is not None and now < booking.at - EARLY:
            if self.fair.count or not self.window.has_room(new.threads):
                self._away(new.ref, member, booking.at - now, AdmissionReason.EARLY)
                return
            self.bookings.claim(booking, new.work, booking.at)  # there is room now, and its place is free
        elif booking is not None and self.bookings.claim(booking, new.work, now):
            self.fair.correct(flow, new.work)  # of its own share, though ahead of its turn
            self._take(new, member, flow, weight, now, AdmissionReason.KEPT)
            return
        if not self.fair.count and self.window.has_room(new.threads):
            self._enter(
                new.ref, Inside(flow, member, new.work, new.threads, now), AdmissionReason.PASSED, 0.0
            )
            return
        if self.fair.count and self.window.has_room(new.threads, HEADROOM) and self.fair.has_credit(flow):
            self.fair.passed(flow, weight, new.work)  # it would be next: no need to wait for an end
            self.straight.append((now, new.work))
            self.straight_work += new.work
            self._enter(
                new.ref, Inside(flow, member, new.work, new.threads, now), AdmissionReason.PASSED, 0.0
            )
            return
        if self._wait(flow, weight, new.work, now) > new.patience:
            self._turn_away(new, member, flow, weight, now, AdmissionReason.TOO_LATE)
            return
        while self.fair.count >= self.bounds.count or self.fair.size + new.size + TICKET > self.bounds.size:
            heaviest = self.fair.heaviest()
            if (
                heaviest is None
                or heaviest.key == flow
                or self._lighter(heaviest.work, heaviest.weight, flow, weight)
            ):
                self._turn_away(new, member, flow, weight, now, AdmissionReason.FULL)
                return
            self._drop(self.fair.last_of(heaviest), now)
        self._take(new, member, flow, weight, now, AdmissionReason.QUEUED)

    def _lighter(self, work: float, weight: float, flow: int, own_weight: float) -> bool:
        mine = self.fair.flows.get(flow)
        return work / weight <= (mine.work if mine is not None else 0.0) / own_weight

    def _flow(self, member: str) -> int:
        """The queue of a member: where it stands already, so that its commands keep their order."""
        flow = self.standing.get(member)
        if flow is not None:
            return flow
        return self.members.queue(member, self._work_of) if self.fair.count else self.members.hand(member)[0]

    def _work_of(self, key: int) -> float:
        flow = self.fair.flows.get(key)
        return flow.work if flow is not None else 0.0

    def _wait(self, key: int, weight: float, work: float, now: float) -> float:
        """For how long a command would wait, as far as shares and the rate tell."""
        flow = self.fair.flows.get(key)
        mine = flow.work if flow is not None and flow.count else 0.0
        had = flow.pace_elsewhere(now) if flow is not None and self.pace else 0.0
        if flow is not None and had > LEAST_HAD * self.rate():  # here it gets what is left of its share
            return (mine + self.fair.debt(flow)) / max(weight * self.pace - had, LEAST_HAD * self.rate())
        weights = self.fair.weight + (0.0 if mine else weight)
        behind = min((mine + work) * weights / weight, self.fair.work + work)
        return max(behind - work, 0.0) / self.rate()

    def rate(self) -> float:
        """Work a second that gets done: what was in the last second, no less than half of the cores; before
        anything is known most of them."""
        known = self.done_work / RATE_OVER
        return max(known, 0.5 * self.window.cores) if known else 0.8 * self.window.cores

    def _to_promise(self, now: float) -> float:
        """The pace without the work of those who need not wait: a promise may not cost them their turn."""
        while self.straight and self.straight[0][0] < now - RATE_OVER:
            self.straight_work -= self.straight.popleft()[1]
        return max(self.rate() - self.straight_work / RATE_OVER, 0.2 * self.rate())

    def _take(
        self, new: Arrival, member: str, flow: int, weight: float, now: float, why: AdmissionReason
    ) -> None:
        until = now + max(new.left, 0.0)
        ticket = Ticket(new.ref, flow, new.line, new.work, new.size + TICKET, until, new.threads)
        if why is AdmissionReason.KEPT:
            self.fair.push_ahead(ticket)
            self.promised.add(new.ref)
        else:
            self.fair.push(ticket, weight, self.owed.get(flow, 0.0))
        self.most_size = max(self.most_size, self.fair.size)
        self.waiting[new.ref] = ticket, member, now
        self.pushed += 1
        heapq.heappush(self.deadlines, (until, self.pushed, ticket))
        self.standing[member] = flow
        self.counts[member] = self.counts.get(member, 0) + 1
        self._trace(new.ref, member, why, 0.0)
        self.pump(now)

    def _turn_away(
        self, new: Arrival, member: str, flow: int, weight: float, now: float, why: AdmissionReason
    ) -> None:
        waits = self.fair.flows.get(flow)
        others = self.fair.weight - (waits.weight if waits is not None and waits.count else 0.0)
        part = min(max(weight / (others + weight), LEAST_PART), MOST_PART)
        after = self.bookings.book(flow, new.mark, new.work, now, self._to_promise(now), self.fair.work, part)
        self._away(new.ref, member, after, why)

    def _away(self, ref: str, member: str, after: float, why: AdmissionReason) -> None:
        self._trace(ref, member, why, after)
        self.sill.turn_away(ref, after)

    def _drop(self, ticket: Ticket, now: float) -> None:
        """A waiting command makes room for a lighter member's."""
        member = self._out(ticket)
        self.bookings.unpromised += 1
        self._away(ticket.ref, member, math.inf, AdmissionReason.FULL)

    def _out(self, ticket: Ticket) -> str:
        self.fair.remove(ticket)
        return self._gone(ticket)

    def _gone(self, ticket: Ticket) -> str:
        self.promised.discard(ticket.ref)
        _, member, _ = self.waiting.pop(ticket.ref)
        self.counts[member] -= 1
        if not self.counts[member]:
            del self.counts[member]
            self.standing.pop(member, None)
        return member

    # What goes in.

    def pump(self, now: float) -> None:
        """Lets in whoever's turn it is while the window has room."""
        while (ticket := self.fair.first()) is not None and self.window.has_room(ticket.threads):
            if ticket.until <= now:
                self._run_out(ticket, now)
                continue
            self.fair.pop()
            _, _, came = self.waiting[ticket.ref]
            kept, member = ticket.ref in self.promised, self._gone(ticket)
            inside = Inside(ticket.flow, member, ticket.work, ticket.threads, now, kept)
            self._enter(ticket.ref, inside, AdmissionReason.LET_IN, now - came)

    def _enter(self, ref: str, inside: Inside, why: AdmissionReason, waited: float) -> None:
        self.inside[ref] = inside
        self.window.out += inside.threads
        self.owed[inside.flow] = self.owed.get(inside.flow, 0.0) + inside.work
        if self.bounds.share:
            self.shares.add(name_hash(inside.member), inside.work)
        if self.bounds.trace:
            self.sill.trace(ref, inside.member, why, waited)
        self.sill.let_in(ref)

    # What becomes of it.

    def answered(self, ref: str, work: float | None, alone: float, now: float) -> None:
        """work: what it took, where engines tell; alone: seconds that it takes on an idle engine."""
        inside = self.inside.get(ref)
        if inside is None:
            return
        if work is not None:
            self.fair.correct(inside.flow, work - inside.work)
            off = work / max(inside.work, 1e-3) * self.bias.get(inside.flow, 1.0)
            off = LEARNS * min(max(off, 1 / MOST_BIAS), MOST_BIAS) + (1 - LEARNS) * self.bias.get(
                inside.flow, 1.0
            )
            self.bias[inside.flow] = off
        done = work if work is not None else inside.work
        self.done.append((now, done))
        self.done_work += done
        self.window.answered((now - inside.at) / (alone + 0.02), now)
        self._leave(ref, now)

    def over(self, ref: str, shed: bool, now: float) -> None:
        """It ended without an answer; shed: the module gave it up."""
        if ref in self.inside:
            inside = self.inside[ref]
            if shed:
                self.window.was_shed(now)
            if shed and inside.promised:
                self._broken(ref, inside.member, "shed by the decisions", now)
            self._leave(ref, now)

    def _leave(self, ref: str, now: float) -> None:
        inside = self.inside.pop(ref)
        self.window.out -= inside.threads
        left = self.owed[inside.flow] - inside.work
        if left > 1e-9:
            self.owed[inside.flow] = left
        else:
            del self.owed[inside.flow]
        while self.done and self.done[0][0] < now - RATE_OVER:
            self.done_work -= self.done.popleft()[1]
        self.pump(now)

    def left(self, ref: str) -> bool:
        """Its client left or called it off while it waited; False where it did not wait."""
        if ref not in self.waiting:
            return False
        ticket, _, _ = self.waiting[ref]
        self._trace(ref, self._out(ticket), AdmissionReason.LEFT, 0.0)
        return True

    def resize(self, cores: float, now: float) -> None:
        if cores < self.window.cores:
            self.shrunk_at = now
        self.window.resize(cores)
        self.pump(now)

    def tick(self, now: float) -> float | None:
        """Time passed: what ran out is turned away, peers are told. When to be called next; None: no need."""
        self.bookings.expire(now)
        while self.deadlines and (self.deadlines[0][0] <= now or not self._waits(self.deadlines[0][2])):
            _, _, ticket = heapq.heappop(self.deadlines)
            if self._waits(ticket):
                self._run_out(ticket, now)
        if len(self.deadlines) > 2 * self.fair.count + 64:
            self.deadlines = [entry for entry in self.deadlines if self._waits(entry[2])]
            heapq.heapify(self.deadlines)
        self.pump(now)
        if self.bounds.share and now >= self.told_at + EVERY:
            self.told_at = now
            self.pace = self._pace(now)
            self.window.lean(self.shares.lean(self.pace, now) if self.pace else 1.0)
            summary = self.shares.summary(self.pace)
            if summary is not None:
                self.sill.tell_peers(summary)
        return now + EVERY / 2 if self.fair.count or (self.bounds.share and self.shares.let_in) else None

    def _pace(self, now: float) -> float:
        """Work a second for their weight that those who wait have been given, here and by peers; 0 where none
        waits."""
        if not self.fair.count:
            self.turned.clear()
            return 0.0
        self.turned.append((now, self.fair.turns.now))
        since, turns = self.turned[0]
        return (self.fair.turns.now - turns) / (now - since) if now > since else 0.0

    def _run_out(self, ticket: Ticket, now: float) -> None:
        """It could still go in, and would be too late then."""
        kept, member = ticket.ref in self.promised, self._out(ticket)
        if kept:
            self._broken(ticket.ref, member, "no room in its time", now)
        self._away(ticket.ref, member, math.inf, AdmissionReason.TIMED_OUT)

    def _broken(self, ref: str, member: str, cause: str, now: float) -> None:
        """Rules come first: what was promised before engines were lost may not hold."""
        self.bookings.break_one()
        lost = now < self.shrunk_at + LOST_FOR
        self.sill.broke(ref, member, "engines were lost" if lost else cause)

    def _waits(self, ticket: Ticket) -> bool:
        return ticket.ref in self.waiting and self.waiting[ticket.ref][0] is ticket

    def heard(self, peer: int, data: bytes, now: float) -> None:
        """A peer's summary: what it let in counts as had here by those that wait."""
        if not self.bounds.share:
            return
        told = self.shares.heard(peer, data, self.rate(), now)
        if told:
            for member, flow in self.standing.items():
                work = told.get(name_hash(member))
                if work:
                    self.fair.given_elsewhere(flow, work, now)

    def stop(self, now: float) -> None:
        """The router ends: what still waits is turned away."""
        for ticket in list(self.fair.tickets()):
            self._away(ticket.ref, self._out(ticket), math.inf, AdmissionReason.STOPPING)

    def _trace(self, ref: str, member: str, why: AdmissionReason, seconds: float) -> None:
        if self.bounds.trace:
            self.sill.trace(ref, member, why, seconds)
