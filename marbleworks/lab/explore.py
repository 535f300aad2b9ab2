"""An explorer of the group's rights: every order of a few acts to a stated depth, and long random walks.

It plays the decisions alone, with a network that loses, doubles and delays, clocks that run unevenly, and
routers that stop, go on and start anew without a disk. It owns no decision; it objects when the right is held
twice or more than the whole is used.
"""

from __future__ import annotations

import copy
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from itertools import combinations
from typing import Any, Protocol, TypeVar

from marbleworks.lab.group import Group, Terms
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT, LeaderElection
from marbleworks.membership.messages import Message

SLACK = 1e-9


class Broken(Exception):
    """An invariant does not hold; the acts that led there."""


def object_to(group: Group) -> None:
    """Raises Broken where the right is held twice or more than the whole is used."""
    dividers = group.dividers()
    if len(dividers) > 1:
        raise Broken(f"at {group.now:.3f} routers {dividers} divide")
    used = group.used()
    if used > 1.0 + SLACK:
        raise Broken(f"at {group.now:.3f} {used:.4f} of the whole are used")


def walk(seed: int, events: int, count: int = 4, uneven: float = MAX_CLOCK_DRIFT / 2) -> int:
    """A walk of so many events with faults drawn from the seed; the number of events. Raises Broken."""
    chance = random.Random(seed)
    group = Group(count, seed, Terms(term=1.5, lease=1.0), uneven)
    seen = 0

    def each() -> None:
        nonlocal seen
        seen += 1
        object_to(group)

    while seen < events:
        group.weather.loss = chance.choice([0.0, 0.05, 0.3])
        group.weather.doubled = chance.choice([0.0, 0.2])
        group.weather.jitter = chance.choice([0.002, 0.2, 1.5])
        split = chance.sample(range(count), chance.randrange(count))
        one_way = chance.random() < 0.3
        group.weather.cut = (
            lambda a, b, split=split, one_way=one_way: (a in split) != (b in split)  # type: ignore[misc]
            and (not one_way or a in split)
        )
        for router in group.routers:
            act = chance.random()
            if not router.alive:
                if act < 0.6:
                    group.start(router.number)
            elif act < 0.12:
                group.kill(router.number)
            elif act < 0.25:
                group.pause(router.number, chance.choice([0.3, 1.2, 3.0]))
        group.run(chance.choice([0.3, 1.0, 2.5, 4.0]), each)
    return seen


@dataclass
class Small:
    """The rights of two or three routers, and what is on its way between them."""

    rights: list[LeaderElection]
    now: list[float]  # by router's own clock
    starts: list[int]
    flying: list[tuple[int, int, Message]] = field(default_factory=list)
    acts: tuple[str, ...] = ()

    def check(self) -> None:
        stands = [
            r.partition_status(r.router_count, r.router_count, now)
            for r, now in zip(self.rights, self.now, strict=True)
        ]
        held = [r.router_index for r, s in zip(self.rights, stands, strict=True) if s.is_leader]
        used = sum(s.quota_share for s in stands)
        if len(held) > 1 or used > 1.0 + SLACK:
            raise Broken(f"{held} divide and {used:.3f} is used after {', '.join(self.acts)}")

    def does(self, act: str, do: Callable[[Small], None]) -> None:
        self.acts = (*self.acts[-40:], act)
        do(self)
        self.check()

    def moves(self, paces: list[float], step: float) -> Iterator[tuple[str, Callable[[Small], None]]]:
        """Time passes and any of them sees any upper part of the group; something arrives, twice, or never;
        one starts anew."""
        count = len(self.rights)

        def passes(s: Small) -> None:
            s.now = [now + step * pace for now, pace in zip(s.now, paces, strict=True)]

        yield "time", passes
        for n in range(count):
            higher = range(n + 1, count)
            subsets = [[n, *rest] for size in range(count - n) for rest in combinations(higher, size)]
            for seen in [part for part in subsets if 2 * len(part) > count]:

                def rings(s: Small, n: int = n, seen: list[int] = seen) -> None:
                    r = s.rights[n]
                    r.next_round_at = -math.inf
                    s.flying += [(n, to, m) for to, m in r.tick(seen, s.starts[n], s.now[n])]

                if len(self.flying) < 8:
                    yield f"{n} asks as of {seen}", rings

            def anew(s: Small, n: int = n) -> None:
                old = s.rights[n]
                s.starts = [start + (i == n) for i, start in enumerate(s.starts)]
                s.rights[n] = LeaderElection(
                    n, count, s.now[n], old.vote_duration_s, old.lease_s, old.reserved_share
                )

            yield f"{n} starts anew", anew
        for i in range(len(self.flying)):

            def comes(s: Small, i: int = i, twice: bool = False) -> None:
                sender, to, message = s.flying[i] if twice else s.flying.pop(i)
                said = s.rights[to].receive(sender, message, s.starts[to], s.now[to])
                s.flying += [(to, who, m) for who, m in said]

            def lost(s: Small, i: int = i) -> None:
                s.flying.pop(i)

            sender, to, message = self.flying[i]
            name = f"{sender}>{to} {message.message_type.name}"
            yield name, comes
            yield name + " again", partial(comes, twice=True)
            yield name + " lost", lost


def stroll(seed: int, acts: int, count: int = 3) -> int:
    """A random walk of so many acts, which favours what moves a group on. Raises Broken."""
    chance, paces = (
        random.Random(seed),
        [1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2, 1.0, 1.0, 1.0][:count],
    )
    lease = chance.choice([0.3, 1.0])
    small = Small(
        [LeaderElection(n, count, 0.0, 1.0, lease, 0.25) for n in range(count)], [0.0] * count, [1] * count
    )
    for _ in range(acts):
        step = chance.choice([0.05, 0.2, 0.45, 0.9])
        moves = list(small.moves(paces, step))
        weights = [
            0.02
            if "anew" in name
            else 0.15
            if "again" in name or "lost" in name
            else 2.0
            if ">" in name
            else 1.0
            for name, _ in moves
        ]
        name, do = chance.choices(moves, weights)[0]
        small.does(name, do)
    return acts


def exhaust(depth: int, count: int = 2, warm: int = 0, step: float = 0.7) -> int:
    """Every order of acts to that depth, from a group at rest or one that has divided before (warm: rounds of
    asking and time, all delivered); the number of states. Raises Broken."""
    paces = [1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2, 1.0][:count]
    first = Small(
        [LeaderElection(n, count, 0.0, 1.0, 1.0, 0.25) for n in range(count)], [0.0] * count, [1] * count
    )
    for _ in range(warm):
        first.now = [now + 0.45 * pace for now, pace in zip(first.now, paces, strict=True)]
        first.flying += [(0, to, m) for to, m in first.rights[0].tick(list(range(count)), 1, first.now[0])]
        while first.flying:
            sender, to, message = first.flying.pop(0)
            said = first.rights[to].receive(sender, message, 1, first.now[to])
            first.flying += [(to, who, m) for who, m in said]
        first.rights[0].next_round_at = -math.inf
        first.check()
    return every_order(first, depth, lambda small: small.moves(paces, step))


class Acts(Protocol):
    """What is explored: it does an act by its name, and raises Broken where that breaks what holds."""

    def does(self, act: str, do: Any) -> None: ...


Explored = TypeVar("Explored", bound=Acts)


def every_order(first: Explored, depth: int, moves: Callable[[Explored], Iterator[tuple[str, Any]]]) -> int:
    """Every order of acts to that depth; the number of states."""
    layer, states = [first], 0
    for _ in range(depth):
        following = []
        for one in layer:
            for name, do in moves(one):
                nxt = copy.deepcopy(one)
                nxt.does(name, do)
                states += 1
                following.append(nxt)
        layer = following
    return states
