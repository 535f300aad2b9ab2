"""The group at work: an actor that carries the datagrams of `members.py` and `rights.py`, and says what
changed.

It owns the `Fellow` that they make, and one timer. It must never decide who is there or what may be done, and
must never tell a subsystem more than the view and the standing.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from marbleworks.membership.codec import MARK, DatagramDecodeError, State, decode, encode, group_of
from marbleworks.membership.failure_detector import Out
from marbleworks.membership.node import LeaderRef, MembershipNode
from marbleworks.net.actor import LOG, Actor, clock
from marbleworks.net.datagrams import DatagramKind, DatagramTransport

SAID = 10.0  # seconds between log lines on what one peer sends that can't be read
SOONEST = 0.01  # seconds between two ticks at least
EVENTS = {
    State.UP: "peer up",
    State.SUSPECTED: "peer suspected",
    State.GONE: "peer gone",
    State.LEFT: "peer left",
}
Divided = Callable[[float, int, int, float, float], None]  # as `Gateway.divide` has it


class MembershipService(Actor):
    """divided: told, by a post of its own, what `Gateway.divide` takes; viewed: told the living routers and
    their starts. heeds: told whom to ask for parts."""

    def __init__(self, terms: dict[str, Any], peers: DatagramTransport, seed: int, divided: Divided) -> None:
        now = time.monotonic()
        self.me, self.count = peers.own_index, len(peers.peer_addresses)
        self.group = group_of(f"{terms['group']} {self.count}")
        self.fellow = MembershipNode(self.me, self.count, seed, now, terms)
        self.members, self.rights = self.fellow.members, self.fellow.rights
        self.divided, self.kept = divided, terms["kept"] / self.count
        self.stood = 1.0 / self.count, self.count, self.me, math.inf
        self.heeds: list[Callable[[LeaderRef], None]] = []
        self.heed: LeaderRef | None = None
        self.viewed: list[Callable[[dict[int, int]], None]] = []
        self.cut = self.right = ""
        self.unreadable: dict[int, dict[str, int]] = {}  # by peer and why
        self.said: dict[int, float] = {}
        super().__init__()
        self.tell = peers.register(DatagramKind("peers", MARK, terms["pace"]), self._came)
        self.post(self.on_timer)

    def _came(self, peer: int, data: bytes) -> None:
        self.post(self.heard, peer, data)

    def heard(self, peer: int, data: bytes) -> None:
        try:
            message = decode(self.group, self.count, data)
        except DatagramDecodeError as err:
            why = self.unreadable.setdefault(peer, {})
            why[str(err)] = why.get(str(err), 0) + 1
            if clock() > self.said.get(peer, 0.0) + SAID:
                self.said[peer] = clock()
                LOG.warning("peer unreadable", peer=peer, why=str(err), count=why[str(err)])
            return
        now = time.monotonic()
        self._send(self.fellow.heard(peer, message, now))
        self._settle(now)

    def on_timer(self) -> None:
        now = time.monotonic()
        self._send(self.fellow.tick(now))
        self._settle(now)

    def _settle(self, now: float) -> None:
        """Says what changed, and rings again when it is time."""
        changes = self.fellow.changes()
        for change in changes:
            if change.number == self.me and change.state is State.GONE:
                LOG.error("peer name taken", number=change.number, start=change.start, cause=change.cause)
            else:
                LOG.info(
                    EVENTS[change.state],
                    number=change.number,
                    start=change.start,
                    cause=change.cause,
                    view=self.members.view,
                    digest=f"{self.members.digest:08x}",
                )
        if changes:
            living = {n: self.members.members[n].news.start for n in self.members.living()}
            for told in self.viewed:
                told(living)
        standing = self.fellow.standing(now)
        right = "divides" if standing.may_divide else "has a part" if standing.place >= 0 else "keeps"
        if standing.cut.value != self.cut or right != self.right:
            self.cut, self.right = standing.cut.value, right
            LOG.info(
                "peers standing",
                cut=self.cut,
                right=right,
                sure=round(standing.sure, 2),
                part=round(standing.part, 4),
                among=standing.among,
            )
        stood = standing.part, standing.among, standing.place, standing.until
        if stood != self.stood:
            self.stood = stood
            self.divided(*stood[:3], clock() + (standing.until - now), self.kept)
        heed = self.fellow.heed(now)
        if heed != self.heed:
            self.heed = heed
            told_heed = replace(heed, right_until=clock() + (heed.right_until - now))
            for heeds in self.heeds:
                heeds(told_heed)
        self.wake_at = clock() + max(min(self.fellow.due(), standing.until) - now, SOONEST)

    def _send(self, out: Out) -> None:
        for to, message in out:
            self.tell(encode(self.group, message), to)

    def leave(self) -> None:
        """A planned stop begins: the peers are told at once."""
        now = time.monotonic()
        self._send(self.fellow.leave(now))
        self._settle(now)

    def shown(self) -> dict[str, Any]:
        """The view as `peers show` prints it: texts and lists of texts."""
        now = time.monotonic()
        m, standing = self.members, self.fellow.standing(now)
        rows = []
        for number, member in sorted(m.members.items()):
            agrees = "itself" if number == self.me else "agrees" if member.digest == m.digest else "differs"
            if agrees == "differs" and member.differs_since is not None:
                agrees += f" for {now - member.differs_since:.1f} s"
            rows.append(
                [
                    str(number),
                    str(member.news.start),
                    str(member.news.incarnation),
                    member.news.state.name.lower(),
                    f"{now - member.since:.1f} s",
                    agrees,
                    "-"
                    if number == self.me
                    else f"{now - member.reached:.1f} s ago"
                    if member.reached > 0
                    else "never",
                ]
            )
        return {
            "me": str(self.me),
            "view": str(m.view),
            "digest": f"{m.digest:08x}",
            "cut": standing.cut.value,
            "sure": f"{standing.sure:.2f}",
            "health": str(m.health),
            "right": self.right,
            "part": f"{standing.part:.4f}",
            "among": str(standing.among),
            "place": str(standing.place),
            "yielded": "yes" if m.yielded else "no",
            "divider": str(self.rights.divider[0]),
            "forged": str(m.forged),
            "unreadable": str(sum(sum(why.values()) for why in self.unreadable.values())),
            "rows": rows,
        }
