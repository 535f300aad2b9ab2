"""Who is there: one router's view of its group. No I/O, no clock.

It owns what is believed of each router and the probes that are out, and must never send or log: `tick` and
`heard` return what is to be sent, and `changes` is drained by whoever runs it. Times are float seconds of one
clock that never goes back. docs/design/peers.md says why it is so.
"""

from __future__ import annotations

import math
import zlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from marbleworks.membership.codec import Message, MessageType, News, State

ROUNDS = 3  # routers that are asked to probe for us
ANSWER_WITHIN = 0.4  # part of a period in which a probe's answer is expected, by a healthy router
WORST_HEALTH = 8  # times that a router which doubts itself stretches its times, less one
LATE = 0.5  # seconds behind its own time from which on a router takes itself to have been paused
NEWS_TIMES = 3.0  # how often a piece of news is sent on, times the logarithm of the group
MOST_NEWS = 8  # in one datagram
SOURCES = 2  # routers that must say one is gone where we have no failed probe of our own
AHEAD = 1 << 16  # a number that jumps further is forged
JOINING = 0.6  # seconds that a start waits for what others saw of it, at most
BACK_AFTER, MOST_BACK = 0.25, 8.0  # seconds before one that was called gone twice says it is back; doubling
FLAPS_FOR = 60.0  # seconds for which that counts
AFRESH = 4  # each so many periods one that is gone is probed
DIFFERS = 1.0  # seconds of disagreement after which all is told anew
Out = list[tuple[int, Message]]


@dataclass(frozen=True)
class Change:
    """One line of the log: a router is believed to be so from now on, and why."""

    number: int
    start: int
    state: State
    cause: str


@dataclass(eq=False, slots=True)
class Member:
    number: int
    news: News
    since: float
    suspected_until: float = math.inf
    accused_by: set[int] = field(default_factory=set)  # who said that it is gone
    claimed: dict[int, int] = field(default_factory=dict)  # who said that it began anew, with which start
    missed: bool = False  # our own probe of it failed, and nothing has been heard since
    reached: float = -math.inf  # when the last probe was sent that it answered
    digest: int = 0  # of its view, as last heard
    differs_since: float | None = None

    @property
    def living(self) -> bool:
        return self.news.state in (State.UP, State.SUSPECTED)


@dataclass(eq=False, slots=True)
class Probe:
    about: int
    no: int
    sent: float
    round_at: float  # when others are asked
    until: float
    rounds: bool = False


class FailureDetector:
    """me: our number of `count`, by the settings. period: seconds between probes. suspicion: seconds that one
    has to refute, in a group of ten."""

    def __init__(self, me: int, count: int, seed: int, now: float, period: float, suspicion: float) -> None:
        self.me, self.count, self.seed, self.period, self.suspicion = me, count, seed, period, suspicion
        self.start, self.incarnation = 0, 0
        self.joined = self.yielded = self.leaving = False
        self.asked_until = now + JOINING
        self.seen_of_me: dict[int, int] = {}  # by who told it
        self.met: dict[int, int] = {}  # starts of those who told it
        self.followed_by: dict[int, int] = {}  # higher starts of our name, by who told them
        self.members: dict[int, Member] = {}  # those ever heard of, ourselves among them
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, tuple[int, int, float]] = {}  # our probe's number: for whom, its number, until
        self.no = self.view = self.draws = self.periods = 0
        self.order: list[int] = []
        self.to_check: deque[int] = deque(maxlen=64)  # accused ones, probed ahead of their turn
        self.spread: dict[int, int] = {}  # of whose news: how often it was sent on
        self.health = 0
        self.next, self.flaps = now, deque[float](maxlen=16)
        self.back_at = math.inf
        self.told_all = 0
        self.changes: list[Change] = []
        self.forged = 0

    # What others ask of the view.

    def living(self) -> list[int]:
        return sorted(n for n, m in self.members.items() if m.living)

    def suspected(self) -> list[int]:
        return [n for n, m in self.members.items() if m.news.state is State.SUSPECTED]

    @property
    def digest(self) -> int:
        living = [(n, self.members[n].news.start) for n in self.living()]
        return zlib.crc32(repr(living).encode())

    def reached_since(self, at: float) -> int:
        """Routers, ourselves among them, that answered a probe sent since then."""
        return sum(m.reached >= at or n == self.me for n, m in self.members.items() if m.living)

    def due(self) -> float:
        """When `tick` is wanted next."""
        times = [self.next, *(p.until if p.rounds else p.round_at for p in self.probes.values())]
        times += [m.suspected_until for m in self.members.values()]
        return min([*times, self.back_at])

    # Time passes.

    def tick(self, now: float) -> Out:
        if self.yielded:
            self.next = now + self.period
            return []
        if not self.joined:
            return self._join(now)
        behind = now - self.due()
        if behind > LATE:  # we stood still: what did not reach us meanwhile proves nothing of others
            self.health = min(self.health + 2, WORST_HEALTH)
            self.probes.clear()
            for m in self.members.values():
                m.suspected_until += behind
            self.next = now
        out: Out = []
        if now >= self.back_at:
            self.back_at = math.inf
            self._refute()
        out += self._late_probes(now)
        for m in [m for m in self.members.values() if now >= m.suspected_until]:
            m.suspected_until = math.inf
            if m.missed or len(m.accused_by) >= SOURCES:
                gone = News(m.news.start, m.news.incarnation, State.GONE, m.number)
                self._believe(gone, "not refuted", now)
            else:  # accused by one alone, and we have not missed it: heard of it no more, we look ourselves
                self.to_check.append(m.number)
                m.suspected_until = now + self._suspicion()
        if now >= self.next:
            self.next = now + self.period
            self.relays = {no: relay for no, relay in self.relays.items() if now < relay[2]}
            out += self._probe(now)
        return out

    def _join(self, now: float) -> Out:
        told = len(self.seen_of_me)
        if now >= self.asked_until or told >= self.count - 1:
            # The highest that two tell, or that one does where no second has anything to tell: a liar alone
            # does not use the numbers up.
            seen = sorted(self.seen_of_me.values(), reverse=True)
            self.start = (seen[0] if seen and seen[0] <= (seen[1] if len(seen) > 1 else 0) + AHEAD else 0) + 1
            self.joined, self.next = True, now
            self._believe(News(self.start, self.incarnation, State.UP, self.me), "we start", now)
            for number, start in self.met.items():
                if 1 <= start <= AHEAD:
                    self._believe(News(start, 0, State.UP, number), "it was there", now)
            return [(n, self._say(MessageType.PING)) for n in self._others()]
        self.next = min(now + self.period / 2, self.asked_until)
        return [(n, Message(MessageType.JOIN, 0)) for n in self._others() if n not in self.seen_of_me]

    def _others(self) -> Iterator[int]:
        return (n for n in range(self.count) if n != self.me)

    def _suspicion(self) -> float:
        return self.suspicion * max(math.log10(max(len(self.members), 1)), 1.0) * (1 + self.health / 2)

    def _late_probes(self, now: float) -> Out:
        out: Out = []
        for probe in list(self.probes.values()):
            if not probe.rounds and now >= probe.round_at:
                probe.rounds = True
                helpers = [n for n in self.living() if n not in (self.me, probe.about)]
                asked = sorted(helpers, key=lambda n: self._chance(n))[:ROUNDS]
                out += [(n, self._say(MessageType.ASK_ROUND, no=probe.no, about=probe.about)) for n in asked]
            elif probe.rounds and now >= probe.until:
                del self.probes[probe.no]
                self.health = min(self.health + 1, WORST_HEALTH)
                member = self.members.get(probe.about)
                if member is not None and member.living:
                    member.missed = True
                    if member.news.state is State.UP:
                        news = News(member.news.start, member.news.incarnation, State.SUSPECTED, probe.about)
                        self._believe(news, "no answer, nor by others", now)
        return out

    def _probe(self, now: float) -> Out:
        self.periods += 1
        targets = list[int]()
        while self.to_check and not targets:
            number = self.to_check.popleft()
            targets += [number] if number != self.me else []
        if not targets:
            if not self.order:
                living = [n for n in self.living() if n != self.me]
                self.order = sorted(living, key=lambda n: self._chance(n))
            targets = [self.order.pop()] if self.order else []
        absent = [
            n for n in self._others() if n not in self.members or self.members[n].news.state is State.GONE
        ]
        if absent and (self.periods % AFRESH == 0 or not targets):
            targets.append(absent[int(self._chance(0) * len(absent))])
        out: Out = []
        for number in targets:
            if any(p.about == number for p in self.probes.values()):
                continue
            self.no += 1
            stretch = self.period * (1 + self.health)
            self.probes[self.no] = Probe(
                number, self.no, now, now + ANSWER_WITHIN * stretch, now + 0.95 * stretch
            )
            out.append((number, self._say(MessageType.PING, no=self.no, to=number, now=now)))
        return out

    def _chance(self, salt: int) -> float:
        self.draws += 1
        text = f"{self.seed}/{self.me}/{self.draws}/{salt}"
        return zlib.crc32(str(zlib.crc32(text.encode())).encode()) / 2**32

    # What is said, with news on it.

    def _say(
        self, what: MessageType, no: int = 0, about: int = -1, to: int | None = None, now: float = 0.0
    ) -> Message:
        return Message(what, self.start, no, about, self.digest, news=self._news_for(to, now))

    def _news_for(self, to: int | None, now: float) -> tuple[News, ...]:
        """What we know of the receiver itself first, then what was sent on least; all in turn where views
        have differed for long."""
        chosen: list[int] = []
        member = self.members.get(to) if to is not None else None
        if member is not None and member.news.state is not State.UP:
            chosen.append(member.number)
        if member is not None and member.differs_since is not None and now > member.differs_since + DIFFERS:
            known = sorted(self.members)
            for _ in range(min(MOST_NEWS - 1, len(known))):
                self.told_all += 1
                chosen.append(known[self.told_all % len(known)])
        most = math.ceil(NEWS_TIMES * math.log2(len(self.members) + 2))
        for number in sorted(self.spread, key=lambda n: (self.spread[n], n)):
            if len(chosen) >= MOST_NEWS:
                break
            if number not in chosen:
                chosen.append(number)
                self.spread[number] += 1
                if self.spread[number] > most:
                    del self.spread[number]
        return tuple(self.members[n].news for n in dict.fromkeys(chosen))

    # What is heard.

    def heard(self, peer: int, m: Message, now: float) -> Out:
        """What a router said, and what is said back."""
        if self.yielded or peer == self.me:
            return []
        if m.what is MessageType.JOIN:
            known = self.members.get(peer)
            return [(peer, Message(MessageType.SEEN, self.start, no=known.news.start if known else 0))]
        if m.what is MessageType.SEEN:
            return self._seen(peer, m, now)
        if not self.joined:
            return []
        known = self.members.get(peer)
        if known is not None and m.start < known.news.start:  # it has been followed by another of its name
            return [(peer, Message(MessageType.SEEN, self.start, no=known.news.start))]
        if known is None or m.start > known.news.start:
            if m.start - (known.news.start if known else 0) > AHEAD or m.start < 1:
                self.forged += 1
                return []
            self._believe(News(m.start, 0, State.UP, peer), "it started", now)
        sender = self.members[peer]
        sender.digest = m.digest
        if m.digest == self.digest:
            sender.differs_since = None
        elif sender.differs_since is None:
            sender.differs_since = now
        for news in m.news:
            self._told(news, peer, now)
        out: Out = []
        if m.what is MessageType.PING:
            out.append((peer, self._say(MessageType.ACK, no=m.no, to=peer, now=now)))
        elif m.what is MessageType.ACK:
            out += self._acked(peer, m, now)
        elif m.what is MessageType.ASK_ROUND and 0 <= m.about < self.count and m.about not in (self.me, peer):
            if len(self.relays) < 64:
                self.no += 1
                self.relays[self.no] = peer, m.no, now + 4 * self.period
                out.append((m.about, self._say(MessageType.PING, no=self.no, to=m.about, now=now)))
        elif m.what is MessageType.ROUND:
            probe = self.probes.get(m.no)
            if probe is not None and probe.about == m.about:
                self._answered(probe, now)
        elif m.what is MessageType.LEAVE:
            self._believe(News(m.start, sender.news.incarnation, State.LEFT, peer), "it leaves", now)
        return out

    def _seen(self, peer: int, m: Message, now: float) -> Out:
        if not self.joined:
            self.seen_of_me[peer], self.met[peer] = m.no, m.start
            return self._join(now) if len(self.seen_of_me) >= self.count - 1 else []
        self._followed(peer, m.no, now)
        return []

    def _followed(self, by: int, start: int, now: float) -> None:
        """Another process has our name and began later, says one: the older yields when a second says so."""
        if start - self.start > AHEAD:
            self.forged += 1
            return
        if start > self.start:
            self.followed_by[by] = start
        if self.yielded or len(self.followed_by) < min(SOURCES, self.count - 1):
            return
        if not any(m.reached > -math.inf for m in self.members.values()):
            # Nobody has known us by this start: we began while we could ask nobody, and take the next one.
            self.start, self.incarnation = max(self.followed_by.values()) + 1, 0
            self.followed_by.clear()
            self._believe(
                News(self.start, 0, State.UP, self.me), "we start, after what others saw of us", now
            )
            return
        self.yielded = True
        self.changes.append(Change(self.me, start, State.GONE, "another process has our name: we yield"))

    def _acked(self, peer: int, m: Message, now: float) -> Out:
        relay = self.relays.pop(m.no, None)
        if relay is not None:
            asker, no, _ = relay
            return [(asker, self._say(MessageType.ROUND, no=no, about=peer))]
        probe = self.probes.get(m.no)
        if probe is not None and probe.about == peer:
            self._answered(probe, now)
        return []

    def _answered(self, probe: Probe, now: float) -> None:
        """It lives: by its own answer, or by one that another had."""
        del self.probes[probe.no]
        self.health = max(self.health - 1, 0)
        member = self.members.get(probe.about)
        if member is not None:
            member.reached, member.missed = max(member.reached, probe.sent), False
            member.accused_by.clear()
            if member.news.state is State.SUSPECTED:  # our own look counts for us; it refutes for the others
                member.suspected_until = now + self._suspicion()

    def _told(self, news: News, by: int, now: float) -> None:
        """A piece of news from another router, which may be wrong or a lie."""
        if news.number == self.me:
            if news.start > self.start:
                self._followed(by, news.start, now)
            elif news.start == self.start and news.state is not State.UP and not self.leaving:
                self._accused(news, now)
            return
        known = self.members.get(news.number)
        if known is None:
            if news.state is State.UP:
                self.to_check.append(news.number)  # it counts when we have heard it ourselves
            return
        if news <= known.news:
            return
        if news.start - known.news.start > AHEAD or news.incarnation - known.news.incarnation > AHEAD:
            self.forged += 1
            return
        if news.start > known.news.start:  # it began anew, says one: we look, or hear a second
            known.claimed[by] = news.start
            if sum(start >= news.start for start in known.claimed.values()) < SOURCES:
                self.to_check.append(news.number)
                return
        if news.state is State.GONE and known.living and news.start == known.news.start:
            # Nobody is removed on one router's word: it is suspected, and we look ourselves.
            known.accused_by.add(by)
            if known.news.state is State.UP:
                suspected = News(news.start, news.incarnation, State.SUSPECTED, news.number)
                self._believe(suspected, f"router {by} calls it gone", now)
                self.to_check.append(news.number)
            elif len(known.accused_by) >= SOURCES or known.missed:
                self._believe(news, "not refuted to others", now)
            return
        if news.state is State.SUSPECTED and known.news.state is State.UP:
            self.to_check.append(news.number)
        if news.state is State.LEFT and by != news.number and known.news.state is not State.GONE:
            known.accused_by.add(by)
            if len(known.accused_by) < SOURCES and not known.missed:
                self.to_check.append(news.number)
                return
        self._believe(news, f"told by router {by}", now)

    def _accused(self, news: News, now: float) -> None:
        """We are called suspected or gone. Once is refuted at once; of gone again and again we wait longer
        each time, so that a bad link makes no noise."""
        if news.incarnation < self.incarnation:
            self.spread[self.me] = 0  # we refuted that, and it did not get there
            return
        if news.incarnation - self.incarnation > AHEAD:
            self.forged += 1
            return
        self.incarnation = news.incarnation
        self.health = min(self.health + 1, WORST_HEALTH)
        if news.state is State.SUSPECTED:
            self._refute()
            return
        while self.flaps and self.flaps[0] < now - FLAPS_FOR:
            self.flaps.popleft()
        wait = min(BACK_AFTER * 2.0 ** (len(self.flaps) - 1), MOST_BACK) if self.flaps else 0.0
        if math.isinf(self.back_at):
            self.flaps.append(now)
            self.back_at = now + wait
        if not wait:
            self.back_at = math.inf
            self._refute()

    def _refute(self) -> None:
        self.incarnation += 1
        me = self.members[self.me]
        me.news = News(self.start, self.incarnation, State.UP, self.me)
        self.spread[self.me] = 0

    def _believe(self, news: News, cause: str, now: float) -> None:
        member = self.members.get(news.number)
        before = member.news.state if member is not None else None
        again = member is not None and news.start > member.news.start
        if member is None:
            member = self.members[news.number] = Member(news.number, news, now)
        elif news <= member.news:
            return
        member.news = news
        self.spread[news.number] = 0
        if news.state is State.SUSPECTED:
            if before is not State.SUSPECTED:
                member.suspected_until = now + self._suspicion()
        else:
            member.suspected_until = math.inf
        if news.state is State.UP:
            member.accused_by.clear()
            member.missed = False
        if again:
            member.claimed.clear()
        if before is not news.state or again:
            self.view, member.since = self.view + 1, now
            self.changes.append(Change(news.number, news.start, news.state, cause))
            if news.number != self.me and news.state in (State.GONE, State.LEFT):
                self.probes = {no: p for no, p in self.probes.items() if p.about != news.number}

    # The end.

    def leave(self, now: float) -> Out:
        """A planned stop: all are told at once, twice over, since datagrams get lost."""
        self.leaving = True
        if not self.joined or self.yielded:
            return []
        self._believe(News(self.start, self.incarnation, State.LEFT, self.me), "we leave", now)
        return [(n, Message(MessageType.LEAVE, self.start)) for n in self.living() if n != self.me] * 2
