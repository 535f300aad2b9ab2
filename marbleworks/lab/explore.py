"""An explorer of leader election: every order of acts to a given depth, and long random walks.

It runs only the decisions of the routers' code, on a network that loses, duplicates and delays messages, with
clocks that drift, and with routers that pause, go on and restart without a disk. It raises InvariantViolation
when there are two leaders, or when the quota shares in use exceed the whole.
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

from marbleworks.lab.group import GroupTimes, SimulatedGroup
from marbleworks.membership.leader_election import MAX_CLOCK_DRIFT, LeaderElection
from marbleworks.membership.messages import Message

SHARE_TOLERANCE = 1e-9  # tolerance for rounding in sums of quota shares


class InvariantViolation(Exception):
    """An invariant does not hold; the message names the acts that led there."""


def check_invariants(group: SimulatedGroup) -> None:
    """Checks the invariants of a group.

    Raises:
        InvariantViolation: Two routers lead, or the quota shares in use exceed the whole.
    """
    leaders = group.leaders()
    if len(leaders) > 1:
        raise InvariantViolation(f"at {group.now:.3f} s routers {leaders} lead; at most one may")
    used = group.used_quota()
    if used > 1.0 + SHARE_TOLERANCE:
        raise InvariantViolation(
            f"at {group.now:.3f} s quota shares of {used:.4f} are in use; at most 1 may be"
        )


def random_group_walk(
    seed: int, events: int, count: int = 4, clock_drift: float = MAX_CLOCK_DRIFT / 2
) -> int:
    """Runs a group in simulated time with random faults and checks the invariants after each event.

    Args:
        seed: Seed of all random choices.
        events: Events to run, at least.
        count: Routers in the group.
        clock_drift: Largest drift of a clock.

    Returns:
        The number of events.

    Raises:
        InvariantViolation: An invariant does not hold.
    """
    chance = random.Random(seed)
    group = SimulatedGroup(count, seed, GroupTimes(term=1.5, lease=1.0), clock_drift)
    seen = 0

    def each() -> None:
        nonlocal seen
        seen += 1
        check_invariants(group)

    while seen < events:
        group.network_faults.loss = chance.choice([0.0, 0.05, 0.3])
        group.network_faults.duplication = chance.choice([0.0, 0.2])
        group.network_faults.jitter = chance.choice([0.002, 0.2, 1.5])
        split = chance.sample(range(count), chance.randrange(count))
        one_way = chance.random() < 0.3
        group.network_faults.is_cut = (
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
class ElectionModel:
    """Leader election of a few routers, and the messages between them.

    Attributes:
        elections: The election state of each router.
        now: The time by each router's clock.
        starts: The generation of each router.
        in_flight: Messages in flight: sender, receiver, message.
        acts: The latest acts.
    """

    elections: list[LeaderElection]
    now: list[float]
    starts: list[int]
    in_flight: list[tuple[int, int, Message]] = field(default_factory=list)
    acts: tuple[str, ...] = ()

    def check(self) -> None:
        """Raises InvariantViolation if two routers lead, or the quota shares in use exceed the whole."""
        statuses = [
            r.partition_status(r.router_count, r.router_count, now)
            for r, now in zip(self.elections, self.now, strict=True)
        ]
        leaders = [r.router_index for r, s in zip(self.elections, statuses, strict=True) if s.is_leader]
        used = sum(s.quota_share for s in statuses)
        if len(leaders) > 1 or used > 1.0 + SHARE_TOLERANCE:
            raise InvariantViolation(
                f"routers {leaders} lead, quota shares of {used:.3f} are in use after {', '.join(self.acts)}"
            )

    def perform(self, act: str, do: Callable[[ElectionModel], None]) -> None:
        """Performs an act and checks the invariants."""
        self.acts = (*self.acts[-40:], act)
        do(self)
        self.check()

    def possible_acts(
        self, clock_paces: list[float], step: float
    ) -> Iterator[tuple[str, Callable[[ElectionModel], None]]]:
        """Yields the acts that are possible, by name.

        Time passes; a router asks for votes while it sees any majority of the group in which it has the
        lowest number; a message arrives, arrives and stays in flight, or is lost; a router restarts.

        Args:
            clock_paces: Pace of each router's clock.
            step: Seconds that pass in an act of time.
        """
        count = len(self.elections)

        def let_time_pass(model: ElectionModel) -> None:
            model.now = [now + step * pace for now, pace in zip(model.now, clock_paces, strict=True)]

        yield "time", let_time_pass
        for n in range(count):
            higher = range(n + 1, count)
            subsets = [[n, *rest] for size in range(count - n) for rest in combinations(higher, size)]
            for seen in [part for part in subsets if 2 * len(part) > count]:

                def request_votes(model: ElectionModel, n: int = n, seen: list[int] = seen) -> None:
                    election = model.elections[n]
                    election.next_round_at = -math.inf
                    model.in_flight += [
                        (n, to, message) for to, message in election.tick(seen, model.starts[n], model.now[n])
                    ]

                if len(self.in_flight) < 8:
                    yield f"{n} asks for votes as of {seen}", request_votes

            def restart(model: ElectionModel, n: int = n) -> None:
                old_election = model.elections[n]
                model.starts = [start + (i == n) for i, start in enumerate(model.starts)]
                model.elections[n] = LeaderElection(
                    n,
                    count,
                    model.now[n],
                    old_election.vote_duration_s,
                    old_election.lease_s,
                    old_election.reserved_share,
                )

            yield f"{n} restarts", restart
        for i in range(len(self.in_flight)):

            def deliver(model: ElectionModel, i: int = i, keep: bool = False) -> None:
                sender, to, message = model.in_flight[i] if keep else model.in_flight.pop(i)
                replies = model.elections[to].receive(sender, message, model.starts[to], model.now[to])
                model.in_flight += [(to, recipient, reply) for recipient, reply in replies]

            def lose(model: ElectionModel, i: int = i) -> None:
                model.in_flight.pop(i)

            sender, to, message = self.in_flight[i]
            name = f"{sender}>{to} {message.message_type.name}"
            yield name, deliver
            yield name + " again", partial(deliver, keep=True)
            yield name + " lost", lose


def random_walk(seed: int, acts: int, count: int = 3) -> int:
    """Takes a random walk that favours acts which let a group make progress.

    Args:
        seed: Seed of all random choices.
        acts: Number of acts.
        count: Routers.

    Returns:
        The number of acts.

    Raises:
        InvariantViolation: An invariant does not hold.
    """
    chance, clock_paces = (
        random.Random(seed),
        [1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2, 1.0, 1.0, 1.0][:count],
    )
    lease = chance.choice([0.3, 1.0])
    model = ElectionModel(
        [LeaderElection(n, count, 0.0, 1.0, lease, 0.25) for n in range(count)], [0.0] * count, [1] * count
    )
    for _ in range(acts):
        step = chance.choice([0.05, 0.2, 0.45, 0.9])
        moves = list(model.possible_acts(clock_paces, step))
        weights = [
            0.02
            if "restarts" in name
            else 0.15
            if "again" in name or "lost" in name
            else 2.0
            if ">" in name
            else 1.0
            for name, _ in moves
        ]
        name, do = chance.choices(moves, weights)[0]
        model.perform(name, do)
    return acts


def explore_all_orders(depth: int, count: int = 2, warm: int = 0, step: float = 0.7) -> int:
    """Tries every order of acts to a depth.

    Args:
        depth: Acts in a row.
        count: Routers.
        warm: Rounds before the first act in which time passes, router 0 asks for votes and all messages
            arrive; 0 starts from a group without a leader.
        step: Seconds that pass in an act of time.

    Returns:
        The number of states that were checked.

    Raises:
        InvariantViolation: An invariant does not hold.
    """
    clock_paces = [1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2, 1.0][:count]
    first = ElectionModel(
        [LeaderElection(n, count, 0.0, 1.0, 1.0, 0.25) for n in range(count)], [0.0] * count, [1] * count
    )
    for _ in range(warm):
        first.now = [now + 0.45 * pace for now, pace in zip(first.now, clock_paces, strict=True)]
        first.in_flight += [
            (0, to, message) for to, message in first.elections[0].tick(list(range(count)), 1, first.now[0])
        ]
        while first.in_flight:
            sender, to, message = first.in_flight.pop(0)
            replies = first.elections[to].receive(sender, message, 1, first.now[to])
            first.in_flight += [(to, recipient, message) for recipient, message in replies]
        first.elections[0].next_round_at = -math.inf
        first.check()
    return every_order(first, depth, lambda model: model.possible_acts(clock_paces, step))


class Explorable(Protocol):
    """A system that can be explored."""

    def perform(self, act: str, do: Any) -> None:
        """Performs an act; raises InvariantViolation if an invariant does not hold after it."""
        ...


Explored = TypeVar("Explored", bound=Explorable)


def every_order(first: Explored, depth: int, moves: Callable[[Explored], Iterator[tuple[str, Any]]]) -> int:
    """Tries every order of acts to a depth.

    Args:
        first: The state to start from.
        depth: Acts in a row.
        moves: Yields the acts that are possible in a state: a name, and a function to apply to the state.

    Returns:
        The number of states that were checked.
    """
    states_at_depth, state_count = [first], 0
    for _ in range(depth):
        next_states = []
        for state in states_at_depth:
            for name, do in moves(state):
                next_state = copy.deepcopy(state)
                next_state.perform(name, do)
                state_count += 1
                next_states.append(next_state)
        states_at_depth = next_states
    return state_count
