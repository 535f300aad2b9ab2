"""Leases of homes: which cell takes the loads of a table group while plans change. No I/O, no clock.

A region's granter leases time to its cells, and a cell's leader, out of its own lease, to its routers.
`HomeLeaseGranter` keeps what was promised; `HomeLeaseHolder`, `RouterHomeLease` and `CellHomeLeases` decide
what may be done under a lease. At no moment may two cells take loads of one table group, or one cell take
them while loads that another began may still run. docs/design/cells.md has the proof. Times are float seconds
of the machine's own clock, whose rate differs from those of other machines by at most `MAX_CLOCK_DRIFT`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT

MAX_PLANS = 16  # plans that a holder remembers, adopted since one that was clear
MAX_PENDING_REQUESTS = 64  # maximum number of requests that may still be answered


class Homes(Protocol):
    """The part of a plan that leases of homes need."""

    @property
    def number(self) -> int:
        """The plan's number; a later plan has a higher one."""
        ...

    def home(self, group: int) -> int:
        """The cell that takes the loads of a table group."""
        ...


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A holder's request for a lease.

    Attributes:
        generation: Generation of the process that asks; a later process has a higher one.
        token: Value that the answer repeats.
        plan_number: Number of the plan in force at the holder.
        done_number: Number of a plan. All loads that the holder began for homes which it lost by that plan or
            an older one have ended.
    """

    generation: int
    token: int
    plan_number: int
    done_number: int


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """A granter's answer to a `LeaseRequest`.

    Attributes:
        generation: Generation of the `LeaseRequest`.
        token: Token of the `LeaseRequest`.
        granted_s: Seconds for which homes may be kept, counted from when the `LeaseRequest` was sent; 0 if
            refused.
        clear_number: Number of a plan. All loads that any cell began by older plans have ended, and no more
            of them begin. 0 if no such plan is known.
        newest_number: The highest plan number that the granter has heard of.
        retry_after_s: Seconds until, at the latest, a refusal or an unknown `clear_number` no longer applies.
    """

    generation: int
    token: int
    granted_s: float
    clear_number: int
    newest_number: int
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class StartPermit:
    """The load may be sent.

    Attributes:
        begin_by: Time by which it has to be sent.
        ends_by: Time by which it has ended in any case.
    """

    begin_by: float
    ends_by: float


@dataclass(frozen=True, slots=True)
class OtherCell:
    """By the plan another cell has the home."""

    cell: int


@dataclass(frozen=True, slots=True)
class NotYet:
    """By the plan this cell has the home, but it may not take loads for it yet.

    Attributes:
        retry_after_s: Seconds after which the load may be tried again.
    """

    retry_after_s: float


LoadDecision = StartPermit | OtherCell | NotYet


@dataclass(eq=False, slots=True)
class _Account:
    """The most that one process of a holder may believe it was granted.

    Attributes:
        generation: Generation of the process.
        done_number: The highest done number that it reported.
        expires_at: Time at which all its leases have expired.
    """

    generation: int
    done_number: int = 0
    expires_at: float = -math.inf


class HomeLeaseGranter:
    """Leases homes for one term of this router as the leader of its region or cell.

    A new granter is made for each term and knows nothing of earlier ones.

    Args:
        plan_number: Number of the plan in force at this router.
        now: Time at which the term began.
        lease_s: Duration of a lease, in seconds.
        settle_s: Longest duration of a load, in seconds.
    """

    def __init__(self, plan_number: int, now: float, lease_s: float, settle_s: float) -> None:
        self.newest_number, self.lease_s, self.settle_s = plan_number, lease_s, settle_s
        # By then, leases of an earlier granter have expired, and loads that began under them have ended.
        self.predecessor_settled_at = now + (lease_s + settle_s) * (1 + MAX_CLOCK_DRIFT)
        self.accounts: dict[int, list[_Account]] = {}  # by holder; the last is that of its present process

    def note_plan(self, plan_number: int) -> None:
        """Notes that this router adopted a plan."""
        self.newest_number = max(self.newest_number, plan_number)

    def handle_request(
        self, holder_id: int, request: LeaseRequest, now: float, valid_until: float = math.inf
    ) -> LeaseAnswer:
        """Answers a holder's request for a lease.

        Args:
            holder_id: Identifier of the holder that asks.
            request: The request.
            now: The present time.
            valid_until: End of the right to grant: that of this router's term, or of the cell's own lease.
        """
        # A leader may be done with a plan that its routers know and it does not, and with no older one.
        self.newest_number = max(self.newest_number, request.plan_number, request.done_number)
        accounts = self.accounts.setdefault(holder_id, [])
        if accounts and request.generation < accounts[-1].generation:
            return self._refusal(request, now)  # late: from a process that another has followed
        if not accounts or request.generation > accounts[-1].generation:
            # Loads of an earlier process go on: its account ends by time alone.
            accounts.append(_Account(request.generation))
        account = accounts[-1]
        account.done_number = max(account.done_number, request.done_number)
        if request.plan_number < self.newest_number or now >= valid_until:
            # Otherwise a holder that never learns a newer plan would keep its homes for good.
            return self._refusal(request, now)
        granted_s = min(self.lease_s, valid_until - now)
        account.expires_at = max(account.expires_at, now + granted_s * (1 + MAX_CLOCK_DRIFT))
        clear_number = self.newest_number if self.is_clear(now) else 0
        return LeaseAnswer(
            request.generation,
            request.token,
            granted_s,
            clear_number,
            self.newest_number,
            self._retry_after_s(now),
        )

    def is_clear(self, now: float) -> bool:
        """Whether all loads of homes by plans older than the newest have ended, and none begins again."""
        self._drop_settled_accounts(now)
        settled = all(
            a.done_number >= self.newest_number for accounts in self.accounts.values() for a in accounts
        )
        return now >= self.predecessor_settled_at and settled

    def _settled_at(self, account: _Account) -> float:
        """When all loads that began under an account's leases have ended."""
        return account.expires_at + self.settle_s * (1 + MAX_CLOCK_DRIFT)

    def _drop_settled_accounts(self, now: float) -> None:
        for holder_id, accounts in list(self.accounts.items()):
            accounts[:-1] = [a for a in accounts[:-1] if now < self._settled_at(a)]
            if now >= self._settled_at(accounts[-1]):
                accounts.pop()
            if not accounts:
                del self.accounts[holder_id]

    def _retry_after_s(self, now: float) -> float:
        """Returns the seconds by which the newest plan is clear at the latest."""
        pending = [
            self._settled_at(a)
            for accounts in self.accounts.values()
            for a in accounts
            if a.done_number < self.newest_number
        ]
        return max(max([self.predecessor_settled_at, *pending]) - now, 0.0)

    def _refusal(self, request: LeaseRequest, now: float) -> LeaseAnswer:
        return LeaseAnswer(
            request.generation, request.token, 0.0, 0, self.newest_number, self._retry_after_s(now)
        )


class HomeLeaseHolder:
    """Holds leases of homes: a cell, by its leader, or one router.

    Args:
        cell: Number of this holder's cell.
        generation: Generation of this process; for a leader, of this term too.
        lease_s: Duration of a lease, in seconds.
    """

    def __init__(self, cell: int, generation: int, lease_s: float) -> None:
        self.cell, self.generation, self.lease_s = cell, generation, lease_s
        self.lease_expires_at = -math.inf
        self.has_clear_plan = False  # the oldest of `plans` was clear while the lease was unbroken
        self.plans: list[Homes] = []  # adopted since then; the last is in force
        self.last_token, self.pending_requests = 0, dict[int, float]()  # time of sending, by token
        self.retry_at = -math.inf  # when a refusal, or not knowing a clear plan, ends at the latest

    @property
    def plan(self) -> Homes | None:
        """The plan in force."""
        return self.plans[-1] if self.plans else None

    @property
    def plan_number(self) -> int:
        """The number of the plan in force, or 0 if there is none."""
        return self.plans[-1].number if self.plans else 0

    @property
    def clear_number(self) -> int:
        """The number of the plan by which homes that other cells had may be held, or 0 if there is none."""
        return self.plans[0].number if self.has_clear_plan and self.plans else 0

    def check_lease(self, now: float) -> bool:
        """Returns whether the lease is in force, and forgets the clear plan if it has expired."""
        if now < self.lease_expires_at:
            return True
        # Other cells may have had the homes since. None of them is held, not even under a new lease.
        self.has_clear_plan, self.plans = False, self.plans[-1:]
        return False

    def adopt_plan(self, plan: Homes, now: float) -> None:
        """Puts a newer plan (`plan.adopt`) into force; homes that it takes away are refused from now on."""
        self.check_lease(now)
        self.plans.append(plan)
        if not self.has_clear_plan or len(self.plans) > MAX_PLANS:
            self.has_clear_plan, self.plans = False, [plan]

    def make_request(self, now: float, done_number: int) -> LeaseRequest:
        """Makes the next request for a lease.

        Args:
            now: The present time.
            done_number: Done number of the request, as in `LeaseRequest`.
        """
        self.last_token += 1
        self.pending_requests[self.last_token] = now
        if len(self.pending_requests) > MAX_PENDING_REQUESTS:
            del self.pending_requests[min(self.pending_requests)]
        return LeaseRequest(self.generation, self.last_token, self.plan_number, done_number)

    def handle_answer(self, answer: LeaseAnswer, now: float) -> None:
        """Takes over a granter's answer."""
        if answer.generation != self.generation or answer.token not in self.pending_requests:
            return  # answers an earlier process, or a request that is no longer remembered
        self.check_lease(now)  # an expired lease has to be noticed before the new one replaces it
        self.retry_at = now + answer.retry_after_s
        expires_at = self.pending_requests[answer.token] + answer.granted_s * (1 - MAX_CLOCK_DRIFT)
        if not answer.granted_s or expires_at <= now:
            return
        self.lease_expires_at = max(self.lease_expires_at, expires_at)
        for i, plan in enumerate(self.plans):
            if plan.number == answer.clear_number:
                self.has_clear_plan, self.plans = True, self.plans[i:]
                break

    def holds(self, group: int, now: float) -> bool:
        """Whether only this cell has a table group's home, by every plan since one that was clear."""
        return (
            self.check_lease(now)
            and self.has_clear_plan
            and all(plan.home(group) == self.cell for plan in self.plans)
        )


class RouterHomeLease(HomeLeaseHolder):
    """One router of a cell: which loads it may begin, and which it has in flight.

    Args:
        cell: Number of this router's cell.
        generation: Generation of this process.
        lease_s: Duration of a lease, in seconds.
        settle_s: Longest duration of a load, in seconds, with the time for which its engine may go on with
            one whose end is not known.
    """

    def __init__(self, cell: int, generation: int, lease_s: float, settle_s: float) -> None:
        super().__init__(cell, generation, lease_s)
        self.settle_s = settle_s
        self.load_ends: dict[int, list[float]] = {}  # latest end of each load in flight, by table group

    def begin_load(self, group: int, max_duration_s: float, now: float) -> LoadDecision:
        """Decides on a load that is about to be sent.

        The caller calls end_load() for each that is a `StartPermit`.

        Args:
            group: The table group.
            max_duration_s: Seconds after which the load has ended in any case.
            now: The present time.

        Raises:
            ValueError: The load may last longer than `settle_s`.
        """
        if max_duration_s > self.settle_s:
            raise ValueError(
                f"load may run for {max_duration_s:g} s; at most {self.settle_s:g} s are allowed"
            )
        plan = self.plan
        if plan is None:
            return NotYet(self.lease_s)
        home = plan.home(group)
        if home != self.cell:
            return OtherCell(home)
        if not self.holds(group, now):
            return NotYet(min(max(self.retry_at - now, 0.0) or self.lease_s, self.lease_s + self.settle_s))
        self.load_ends.setdefault(group, []).append(now + max_duration_s)
        return StartPermit(self.lease_expires_at, now + max_duration_s)

    def end_load(self, group: int, permit: StartPermit, now: float, may_run_for_s: float = 0.0) -> None:
        """Notes that a load has ended at this router.

        Args:
            group: The table group.
            permit: The value that begin_load() returned for the load.
            now: The present time.
            may_run_for_s: Seconds for which the engine may go on with it; 0 if it has ended there too.
        """
        ends = self.load_ends.get(group, [])
        if permit.ends_by in ends:
            ends.remove(permit.ends_by)
            if may_run_for_s:
                ends.append(min(permit.ends_by, now + may_run_for_s))

    def done_number(self, now: float) -> int:
        """Returns the number of the plan in force.

        Returns 0 without a plan, and while a load is in flight for a home that the plan has in another cell.
        """
        in_flight = {
            group: [ends_by for ends_by in ends if ends_by > now] for group, ends in self.load_ends.items()
        }
        self.load_ends = {group: ends for group, ends in in_flight.items() if ends}
        plan = self.plan
        return (
            plan.number if plan is not None and all(plan.home(g) == self.cell for g in self.load_ends) else 0
        )

    def next_request(self, now: float) -> LeaseRequest:
        """Makes the next request to the cell's leader."""
        return self.make_request(now, self.done_number(now))


class CellHomeLeases:
    """Leads a cell for one term: holds the cell's lease from the region and leases to the cell's routers.

    This router is one of those.

    Args:
        cell: Number of the cell that is led.
        generation: Generation of this process and term.
        plan: The plan in force at this router.
        now: Time at which the term began.
        lease_s: Duration of a lease, in seconds.
        settle_s: Longest duration of a load, in seconds, with the time for which its engine may go on with
            one whose end is not known.
    """

    def __init__(
        self, cell: int, generation: int, plan: Homes, now: float, lease_s: float, settle_s: float
    ) -> None:
        self.holder, self.granter = (
            HomeLeaseHolder(cell, generation, lease_s),
            HomeLeaseGranter(plan.number, now, lease_s, settle_s),
        )
        self.holder.adopt_plan(plan, now)

    def adopt_plan(self, plan: Homes, now: float) -> None:
        """Puts a newer plan into force."""
        self.holder.adopt_plan(plan, now)
        self.granter.note_plan(plan.number)

    def next_request(self, now: float) -> LeaseRequest:
        """Makes the next request to the region's granter. The cell is done once all its routers are."""
        done_number = self.granter.newest_number if self.granter.is_clear(now) else 0
        return self.holder.make_request(now, done_number)

    def handle_answer(self, answer: LeaseAnswer, now: float) -> None:
        """Takes over an answer of the region's granter."""
        self.holder.handle_answer(answer, now)

    def handle_request(self, router_index: int, request: LeaseRequest, now: float) -> LeaseAnswer:
        """Answers a router of the cell.

        The lease lasts no longer than the cell's own, and the clear plan is the one that the region reported.
        """
        has_lease = self.holder.check_lease(now)
        answer = self.granter.handle_request(
            router_index, request, now, self.holder.lease_expires_at if has_lease else -math.inf
        )
        retry_after_s = max(self.holder.retry_at - now, 0.0)
        return LeaseAnswer(
            answer.generation,
            answer.token,
            answer.granted_s,
            self.holder.clear_number if answer.granted_s else 0,
            answer.newest_number,
            retry_after_s,
        )
