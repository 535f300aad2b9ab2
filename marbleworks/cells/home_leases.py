"""Which cell takes a table group's loads while plans change: leases of homes, from a region to its cells and
from a cell to its routers. No I/O, no clock.

It owns promises (Granter) and what one holder may do by them (Holder, Router, Leader). It must never let two
cells take loads of one table group, or let one take them while the other's may still run:
docs/design/cells.md has the argument. Times are float seconds of one's own clock, which keeps its pace within
DRIFT of others'.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT

MOST_PLANS = 16  # adopted since one that was clear, that a holder remembers
MOST_ASKS = 64  # that may be out


class Homes(Protocol):
    """What is asked of a plan."""

    @property
    def number(self) -> int: ...

    def home(self, group: int) -> int: ...


@dataclass(frozen=True, slots=True)
class Ask:
    """For a lease. start: of the asking process; a later one is a greater. number: of its plan. done: of a
    plan; whatever it had out of homes that had left it by that plan, or an older one, is over."""

    start: int
    token: int
    number: int
    done: int


@dataclass(frozen=True, slots=True)
class Grant:
    """start, token: of the Ask. span: seconds, counted from when it was sent, for which homes may be kept; 0:
    refused. clear: a plan's number; whatever any cell had out by older plans is over, and comes no more. 0:
    not known. newest: the highest number heard of. wait: seconds until a refusal or an unknown `clear` is
    over, at the latest."""

    start: int
    token: int
    span: float
    clear: int
    newest: int
    wait: float


@dataclass(frozen=True, slots=True)
class Here:
    """The load may be sent, if that is done by then. over: when it is surely over."""

    begin_by: float
    over: float


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """The plan has the home in that cell."""

    cell: int


@dataclass(frozen=True, slots=True)
class Nobody:
    """The home is ours by the plan, but we can't take it yet."""

    wait: float


Verdict = Here | Elsewhere | Nobody


@dataclass(eq=False, slots=True)
class _Account:
    """What one process of a holder may believe."""

    start: int
    done: int = 0
    until: float = -math.inf


class Granter:
    """Who leases homes: made anew each time that our router gains the right to (of its region, or of its
    cell), at `now`, knowing nothing. number: of its plan. lease, settle: seconds; no load lasts longer than
    settle."""

    def __init__(self, number: int, now: float, lease: float, settle: float) -> None:
        self.newest, self.lease, self.settle = number, lease, settle
        # What a forerunner promised, and what was begun by it, is over then.
        self.grown = now + (lease + settle) * (1 + MAX_CLOCK_DRIFT)
        self.accounts: dict[int, list[_Account]] = {}  # by holder: the last is of its present process

    def adopted(self, number: int) -> None:
        self.newest = max(self.newest, number)

    def asked(self, who: int, ask: Ask, now: float, until: float = math.inf) -> Grant:
        """until: when what we lease from ends: our right, or our cell's own lease."""
        # A leader may be done by a plan that its routers know and it does not: it is done by no older one.
        self.newest = max(self.newest, ask.number, ask.done)
        accounts = self.accounts.setdefault(who, [])
        if accounts and ask.start < accounts[-1].start:
            return self._refused(ask, now)  # late, of a process that has been followed by another
        if not accounts or ask.start > accounts[-1].start:
            # What an earlier process had out runs on: its account is over by time alone.
            accounts.append(_Account(ask.start))
        account = accounts[-1]
        account.done = max(account.done, ask.done)
        if ask.number < self.newest or now >= until:
            # Without this who never learns a newer plan keeps its homes for good.
            return self._refused(ask, now)
        span = min(self.lease, until - now)
        account.until = max(account.until, now + span * (1 + MAX_CLOCK_DRIFT))
        clear = self.newest if self.clear(now) else 0
        return Grant(ask.start, ask.token, span, clear, self.newest, self._wait(now))

    def clear(self, now: float) -> bool:
        """Whether whatever was out of homes by plans older than the newest is over, and comes no more."""
        self._forget(now)
        settled = all(a.done >= self.newest for accounts in self.accounts.values() for a in accounts)
        return now >= self.grown and settled

    def _over(self, account: _Account) -> float:
        return account.until + self.settle * (1 + MAX_CLOCK_DRIFT)

    def _forget(self, now: float) -> None:
        for who, accounts in list(self.accounts.items()):
            accounts[:-1] = [a for a in accounts[:-1] if now < self._over(a)]
            if now >= self._over(accounts[-1]):
                accounts.pop()
            if not accounts:
                del self.accounts[who]

    def _wait(self, now: float) -> float:
        late = [
            self._over(a) for accounts in self.accounts.values() for a in accounts if a.done < self.newest
        ]
        return max(max([self.grown, *late]) - now, 0.0)

    def _refused(self, ask: Ask, now: float) -> Grant:
        return Grant(ask.start, ask.token, 0.0, 0, self.newest, self._wait(now))


class Holder:
    """Who holds leases: a cell, by its leader, or one router. cell: ours. start: of this process and, for a
    leader, of this time that it leads."""

    def __init__(self, cell: int, start: int, lease: float) -> None:
        self.cell, self.start, self.lease = cell, start, lease
        self.until = -math.inf  # our lease
        self.sure = False  # the oldest of `plans` was clear while our lease was unbroken
        self.plans: list[Homes] = []  # adopted since then; the last is in force
        self.token, self.out = 0, dict[int, float]()  # asks: when sent
        self.wait_until = -math.inf

    @property
    def plan(self) -> Homes | None:
        return self.plans[-1] if self.plans else None

    @property
    def number(self) -> int:
        return self.plans[-1].number if self.plans else 0

    @property
    def clear(self) -> int:
        """The number of the plan by which we may hold homes that others had; 0: none."""
        return self.plans[0].number if self.sure and self.plans else 0

    def live(self, now: float) -> bool:
        if now < self.until:
            return True
        # Others may have had the homes since: what we held we hold no more, also once we have a lease anew.
        self.sure, self.plans = False, self.plans[-1:]
        return False

    def adopted(self, plan: Homes, now: float) -> None:
        """A newer plan (plan.adopt) is in force. What it takes from us we refuse from now on."""
        self.live(now)
        self.plans.append(plan)
        if not self.sure or len(self.plans) > MOST_PLANS:
            self.sure, self.plans = False, [plan]

    def ask(self, now: float, done: int) -> Ask:
        self.token += 1
        self.out[self.token] = now
        if len(self.out) > MOST_ASKS:
            del self.out[min(self.out)]
        return Ask(self.start, self.token, self.number, done)

    def granted(self, grant: Grant, now: float) -> None:
        if grant.start != self.start or grant.token not in self.out:
            return  # to an earlier process of ours, or older than any that we remember
        self.live(now)  # forgets what a lapse ends, before the lease is a new one
        self.wait_until = now + grant.wait
        until = self.out[grant.token] + grant.span * (1 - MAX_CLOCK_DRIFT)
        if not grant.span or until <= now:
            return
        self.until = max(self.until, until)
        for i, plan in enumerate(self.plans):
            if plan.number == grant.clear:
                self.sure, self.plans = True, self.plans[i:]
                break

    def holds(self, group: int, now: float) -> bool:
        """Whether the group's home is ours, and nobody else's: by every plan since one that was clear."""
        return self.live(now) and self.sure and all(plan.home(group) == self.cell for plan in self.plans)


class Router(Holder):
    """One router of a cell: what it may begin, and what it has out. settle: seconds that no load lasts longer
    than, its doubt at the engine counted."""

    def __init__(self, cell: int, start: int, lease: float, settle: float) -> None:
        super().__init__(cell, start, lease)
        self.settle = settle
        self.loads: dict[
            int, list[float]
        ] = {}  # by table group: when each that is out is over, at the latest

    def begin(self, group: int, longest: float, now: float) -> Verdict:
        """Asked for each load that is about to be sent. longest: seconds after which it is surely over.
        ValueError where that is more than `settle`. Whoever is told Here calls end() for it."""
        if longest > self.settle:
            raise ValueError(f"a load of {longest:g} s, where {self.settle:g} s are the longest")
        plan = self.plan
        if plan is None:
            return Nobody(self.lease)
        home = plan.home(group)
        if home != self.cell:
            return Elsewhere(home)
        if not self.holds(group, now):
            return Nobody(min(max(self.wait_until - now, 0.0) or self.lease, self.lease + self.settle))
        self.loads.setdefault(group, []).append(now + longest)
        return Here(self.until, now + longest)

    def end(self, group: int, here: Here, now: float, doubt: float = 0.0) -> None:
        """doubt: seconds for which the engine may go on with it."""
        there = self.loads.get(group, [])
        if here.over in there:
            there.remove(here.over)
            if doubt:
                there.append(min(here.over, now + doubt))

    def done(self, now: float) -> int:
        """The number of our plan where nothing is out of homes that it has elsewhere; else 0."""
        late = {group: [over for over in overs if over > now] for group, overs in self.loads.items()}
        self.loads = {group: overs for group, overs in late.items() if overs}
        plan = self.plan
        return plan.number if plan is not None and all(plan.home(g) == self.cell for g in self.loads) else 0

    def next_ask(self, now: float) -> Ask:
        return self.ask(now, self.done(now))


class Leader:
    """Who leads a cell, for as long as it has the cell's right: it holds the cell's lease from the region,
    and leases to the cell's routers (itself one of them). settle as of Router."""

    def __init__(self, cell: int, start: int, plan: Homes, now: float, lease: float, settle: float) -> None:
        self.holder, self.granter = Holder(cell, start, lease), Granter(plan.number, now, lease, settle)
        self.holder.adopted(plan, now)

    def adopted(self, plan: Homes, now: float) -> None:
        self.holder.adopted(plan, now)
        self.granter.adopted(plan.number)

    def next_ask(self, now: float) -> Ask:
        """Done once all our routers are."""
        done = self.granter.newest if self.granter.clear(now) else 0
        return self.holder.ask(now, done)

    def granted(self, grant: Grant, now: float) -> None:
        self.holder.granted(grant, now)

    def asked(self, who: int, ask: Ask, now: float) -> Grant:
        """A router's: no longer than our own lease, and clear as far as we were told."""
        live = self.holder.live(now)
        said = self.granter.asked(who, ask, now, self.holder.until if live else -math.inf)
        wait = max(self.holder.wait_until - now, 0.0)
        return Grant(
            said.start, said.token, said.span, self.holder.clear if said.span else 0, said.newest, wait
        )
