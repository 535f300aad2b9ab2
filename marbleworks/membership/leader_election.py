"""What a part of the group may do: the one exclusive right, and each router's part of the whole. No I/O, no
clock.

It owns promises to others, the votes for us and the division that we hold. It must never let two parts of a
group hold the right at one moment, or all routers together use more than the whole: docs/design/peers.md has
the proof. Times are float seconds of one clock that never goes back and keeps its pace within DRIFT.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from marbleworks.membership.codec import Division, Message, MessageType

DRIFT = 0.02  # bound on how much faster or slower than another's a router's clock may run
EAGER = 4  # votes asked for in one term
SOON = 0.1  # seconds between rounds at least, and while a division is changing
Out = list[tuple[int, Message]]


def _numbered(count: int, start: int) -> int:
    """What an answer to an earlier process of our name does not carry."""
    return (start & 0xFFFF) << 24 | count & 0xFFFFFF


class Cut(Enum):
    """Which part of the group a router is in, as far as it can know."""

    WHOLE = "whole"
    MOST = "most of it"
    FEW = "without most of it"
    ALONE = "alone"


@dataclass(frozen=True)
class Standing:
    """What holds at a moment. sure: the part of the routers of that Cut that have proved it within the last
    term."""

    cut: Cut
    sure: float
    may_divide: bool  # the exclusive right: one router of the group has it, or none
    may_take_over: bool  # what a router that is gone held alone: once its time is over
    part: float  # of the whole that this router may use
    among: int  # routers that a division counts, and ...
    place: int  # ... this one's place; -1: it holds none, and only keeps what is kept for each
    until: float  # when that ends, unless it is given anew; infinite where nothing is held


@dataclass(slots=True)
class Granted:
    """What one router was told of the division, as its divider knows it."""

    token: int = 0  # the last it gave us, and ...
    came: float = -math.inf  # ... when that came
    serial: int = 0  # it holds no older division than this
    until: float = -math.inf  # and can't use any of ours from then on


class LeaderElection:
    """me: our number of `count`, by the settings, among which the majority counts. term: seconds for which a
    vote binds; lease: seconds for which a part may be used; kept: part of the whole that is divided by the
    settings' number and that each router may always use."""

    def __init__(self, me: int, count: int, now: float, term: float, lease: float, kept: float) -> None:
        self.me, self.count, self.term, self.lease, self.kept = me, count, term, lease, kept
        # We may have voted before we were started, and there is no disk: that vote binds for a term.
        self.bound_until, self.bound_to = now + term * (1 + DRIFT), (-1, 0)  # a router and its start
        self.no, self.asked = 0, dict[int, float]()  # our requests for votes: when each was sent
        self.votes: dict[int, float] = {}  # by router: when the request that it granted was sent
        self.free_at: dict[int, float] = {}  # by router that refused us: when its vote is free again
        self.next, self.rung_at = now, -math.inf
        self.reigns, self.reigning = 0, False  # how often we gained the right, and whether we have it
        self.granted: dict[int, Granted] = {}
        self.serial, self.serials = 0, 0  # serials: how many divisions we made
        self.place_of: dict[int, int] = {}
        self.active = self.changing = False
        self.held: Division | None = None  # by us, from the divider
        self.held_until, self.tokens, self.token = -math.inf, dict[int, float](), 0
        self.divider = (-1, 0)  # whose division we hold, and its start
        self.leaving = False

    # What others ask.

    def until(self) -> float:
        """Until when we have the exclusive right: the request that a majority has granted, the oldest of it,
        bound them from a later moment for a term of their clocks."""
        votes = sorted(self.votes.values(), reverse=True)
        majority = self.count // 2 + 1
        return votes[majority - 1] + self.term * (1 - DRIFT) if len(votes) >= majority else -math.inf

    def standing(self, living: int, proved: int, now: float) -> Standing:
        """living: routers that the view has up, proved: those of them that answered within the last term;
        both count ourselves."""
        if living >= self.count:
            cut = Cut.WHOLE
        elif 2 * living > self.count:
            cut = Cut.MOST
        else:
            cut = Cut.FEW if living > 1 else Cut.ALONE
        mine = now < self.until()
        holds = self.held is not None and self.held.active and now < self.held_until
        part, among, place = self.kept / self.count, self.count, -1
        if holds and self.held is not None and self.held.place >= 0:
            part += (1.0 - self.kept) / self.held.among
            among, place = self.held.among, self.held.place
        until = self.held_until if place >= 0 else math.inf
        return Standing(cut, proved / max(living, 1), mine, mine, part, among, place, until)

    def due(self) -> float:
        return min(self.next, self.until() if self.votes else math.inf)

    def hurry(self) -> None:
        """Who is there has changed: the next round need not wait its time."""
        self.next = min(self.next, self.rung_at + SOON)

    # Time passes.

    def tick(self, living: list[int], start: int, now: float, suspected: Collection[int] = ()) -> Out:
        """Asks for votes where it is for us to ask: the lowest living number does, of a majority; the next
        where that one is suspected."""
        if now >= self.until() and self.reigning:
            self._lose()
        if now < self.next:
            return []
        self.next, self.rung_at = now + self.term / EAGER, now
        candidate = min((n for n in living if n not in suspected), default=self.me)
        if candidate != self.me or 2 * len(living) <= self.count:
            return []
        out: Out = []
        self.no += 1
        no = _numbered(self.no, start)
        self.asked[no] = now
        self.asked = {no: at for no, at in self.asked.items() if at > now - self.term}
        if self._grants(self.me, start, now):
            self._voted(self.me, now, now)
        if now < self.until():
            self._divide(living, now)
        for number in range(self.count):
            if number == self.me:
                if now < self.until():
                    until = min(now + self.lease, self.until())
                    self._hold(self._told(self.me), (self.me, start), until, now)
                continue
            if number in living or number in self.granted:
                given = self.granted.get(number)
                out.append(
                    (
                        number,
                        Message(
                            MessageType.VOTE,
                            start,
                            no=no,
                            token=given.token if given else 0,
                            division=self._told(number),
                        ),
                    )
                )
        if self.changing:
            self.next = now + SOON
        return out

    def _lose(self) -> None:
        self.votes.clear()
        self.granted.clear()
        self.serial, self.active, self.changing, self.place_of = 0, False, False, {}
        self.reigning = False

    def _voted(self, by: int, sent: float, now: float) -> None:
        self.votes[by] = max(self.votes.get(by, -math.inf), sent)
        self.votes = {n: at for n, at in self.votes.items() if at + self.term * (1 - DRIFT) > now}
        self.free_at.pop(by, None)
        if now < self.until() and not self.reigning:  # another's parts ended with its right, before this
            self.reigns, self.reigning = self.reigns + 1, True
            self.hurry()

    def _refused(self, by: int, wait: float, now: float) -> None:
        """We ask again once a majority may be free, without rounds in vain until then."""
        self.free_at[by] = now + min(wait, self.term * (1 + DRIFT))
        free = sorted([*self.free_at.values(), *[now for n in self.votes if n not in self.free_at]])
        if now >= self.until() and len(free) > self.count // 2:
            self.next = max(free[self.count // 2], self.rung_at + SOON)

    # What is divided. Only ever while we have the right.

    def _divide(self, living: list[int], now: float) -> None:
        members = set(self.place_of)
        if not self.place_of and not self.changing:
            self._begin(living)
        elif members != set(living) and not self.changing:
            out = members - set(living)
            # Who is gone may still use its part until its lease has run out on its own clock.
            if all(now >= self.granted[n].until for n in out if n in self.granted):
                self._begin(living)
        if self.changing and all(
            self.granted[n].serial >= self.serial or now >= self.granted[n].until
            for n in self.granted
            if n != self.me
        ):
            self.active, self.changing = True, False
            self.granted = {n: g for n, g in self.granted.items() if n in self.place_of}

    def _begin(self, living: list[int]) -> None:
        """A new division: first all give up the old one, then it is active."""
        self.serials += 1
        self.serial = self.serials  # its divider and that one's start are known besides
        self.place_of = {number: place for place, number in enumerate(sorted(living))}
        self.active, self.changing = False, True
        for number in living:
            self.granted.setdefault(number, Granted())

    def _told(self, number: int) -> Division | None:
        if not self.serial or not self.place_of:
            return None
        given = self.granted.get(number)
        span = min(self.lease, self.until() - given.came) if given is not None else 0.0
        place = self.place_of.get(number, -1)
        return Division(self.serial, len(self.place_of), place, self.active, max(int(1000.0 * span), 0))

    # What is heard.

    def heard(self, peer: int, m: Message, start: int, now: float) -> Out:
        if m.what is MessageType.VOTE:
            granted = self._grants(peer, m.start, now)
            if granted and m.division is not None:
                began = self.tokens.get(m.token)
                if began is not None:
                    span = min(self.lease, m.division.span / 1000.0)
                    self._hold(m.division, (peer, m.start), began + span * (1 - DRIFT), now)
            self.token += 1
            token = _numbered(self.token, start)
            self.tokens[token] = now
            self.tokens = {t: at for t, at in self.tokens.items() if at > now - self.lease}
            held = self.held.serial if self.held is not None and (peer, m.start) == self.divider else 0
            wait = 0 if granted else math.ceil(1000.0 * (self.bound_until - now))
            said = Message(
                MessageType.VOTED, start, no=m.no, token=token, held=held, granted=granted, wait=wait
            )
            return [(peer, said)]
        if m.what is MessageType.VOTED:
            sent = self.asked.get(m.no)
            if sent is not None and m.granted:
                self._voted(peer, sent, now)
                given = self.granted.get(peer)
                if given is not None:
                    given.token, given.came = m.token, now
                    given.serial = max(given.serial, m.held)
                    # What we say with this token binds it, at the longest, from when it was said.
                    given.until = now + self.lease * (1 + DRIFT)
            elif sent is not None:
                self._refused(peer, m.wait / 1000.0, now)
        return []

    def _grants(self, candidate: int, start: int, now: float) -> bool:
        """One candidate at a time, by its start, since one that began anew knows nothing of what it divided;
        who asks again is bound anew."""
        if now < self.bound_until and (candidate, start) != self.bound_to:
            return False
        self.bound_to, self.bound_until = (candidate, start), now + self.term * (1 + DRIFT)
        return True

    def _hold(self, division: Division | None, divider: tuple[int, int], until: float, now: float) -> None:
        """A division takes the place of an older one of its divider, also of one that has run out, since we
        have told that we gave the older ones up; of another's at once: its parts ended with its right."""
        if division is None or until <= now or self.leaving:
            return
        held = self.held if divider == self.divider else None
        if held is not None and (division.serial, division.active) < (held.serial, held.active):
            return  # late
        if held is not None and (division.serial, division.active) == (held.serial, held.active):
            until = max(self.held_until, until)
        self.held, self.divider, self.held_until = division, divider, until

    def leave(self) -> None:
        """We use no part from now on but what is kept: others are told so, and divide ours at once."""
        self.leaving, self.held, self.held_until = True, None, -math.inf

    def stopped(self, number: int) -> None:
        """It has said that it leaves: it uses its part no longer."""
        self.granted.pop(number, None)
