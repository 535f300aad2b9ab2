"""Who makes the plans: from the one in force and who is there, the next one. No I/O, no clock, no chance.

It owns how many cells a region has, which routers and engines each has, and how fast that may change. It must
never move more than a step allows in one plan, or give two answers for one plan and roster in another order.
"""

from __future__ import annotations

import math
import zlib
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from marbleworks.cells.plan import FULL, WHOLE, Cell, Loan, Part, Plan, PlanError, rendezvous
from marbleworks.settings import Settings

BALANCE = 0.15  # part by which what a cell has of one kind may differ from the mean of its region
SPREAD = 0.30  # and of one kind in one zone
FILL = 0.75  # of the most that a cell bears: what is aimed at when the number of cells changes
TIGHT = 1 / (1 + BALANCE)  # a region whose mean cell is fuller gets more cells: one may be above the mean
NEEDED = 4  # what a profile without an engine counts, against one member too many
LOW, MIDDLE = 1, 2  # weights for names not known: a cell at its most has none, one above the mean half


class PlannerError(Exception):
    """Rules or a roster of which no plan can be made: one plain line."""


@dataclass(frozen=True, slots=True)
class Member:
    """A router (kind None) or an engine that counts. up: whether it is there just now; one that is not keeps
    its place as long as it is on the roster."""

    name: str
    zone: str
    rack: str
    kind: str | None
    up: bool = True


@dataclass(frozen=True)
class Need:
    """What a profile needs in each cell: an engine of one of these zones and kinds; None: any."""

    profile: str
    zones: frozenset[str] | None
    kinds: frozenset[str] | None

    def met_by(self, zone: str, kind: str) -> bool:
        return (self.zones is None or zone in self.zones) and (self.kinds is None or kind in self.kinds)


@dataclass(frozen=True)
class Rules:
    """regions: zones of each. shares: of all homes, in parts of WHOLE. least, routers: of a cell's routers,
    the fewest and the most; engines: the most. step: part of a region's routers, and of its engines, that
    one plan moves at most. rest: plans between a merge and a split."""

    regions: Mapping[str, tuple[str, ...]]
    shares: Mapping[str, int]
    needs: tuple[Need, ...]
    least: int
    routers: int
    engines: int
    step: float = 0.05
    rest: int = 20

    @classmethod
    def of(cls, terms: dict[str, Any], deployment: Settings) -> Rules:
        """From the operator's section, which fits (terms.unfit), and the settings."""
        zones, kinds = list(deployment.zone_index), list(deployment.machine_kind_index)

        def named(indices: tuple[int, ...] | None, names: list[str]) -> frozenset[str] | None:
            return None if indices is None else frozenset(names[i] for i in indices if i >= 0)

        needs = tuple(
            Need(name, named(profile.allowed_zones, zones), named(profile.allowed_machine_kinds, kinds))
            for name, profile in zip(deployment.class_index, deployment.request_classes, strict=True)
        )
        told = {name: tuple(sorted(region["zones"].split())) for name, region in terms["region"].items()}
        shares = {name: round(WHOLE * region["share"]) for name, region in terms["region"].items()}
        if not any(shares.values()):
            shares = dict.fromkeys(told, WHOLE // len(told))
        return cls(
            told,
            shares,
            needs,
            terms["least"],
            terms["routers"],
            terms["engines"],
            terms["step"],
            terms["rest"],
        )

    @property
    def digest(self) -> int:
        """Of what all must agree on to use a plan."""
        needs = [
            (n.profile, sorted(n.zones or ()), n.zones is None, sorted(n.kinds or ()), n.kinds is None)
            for n in self.needs
        ]
        facts = (sorted(self.regions.items()), sorted(self.shares.items()), sorted(needs), self.routers)
        return zlib.crc32(repr(facts).encode())

    def check(self) -> None:
        """Raises PlannerError."""
        zones = [zone for there in self.regions.values() for zone in there]
        if not zones or len(set(zones)) < len(zones) or set(self.shares) != set(self.regions):
            raise PlannerError("rules: no region, a zone in two, or a share of none")
        if not 1 <= self.least <= self.routers or self.engines < 1 or not 0 < self.step <= 1 or self.rest < 1:
            raise PlannerError("rules: bounds of a cell out of range")


class Lack(Enum):
    """What a plan could not give; each is said by name."""

    MOST = "most of its routers are not there: nothing of it is moved"
    RESTS = "its cells would change in number, but did the other way too few plans ago"
    BOUNDS = "too few routers for as many cells as its engines want"
    MAJORITY = "a cell is without most of its routers"
    FULL = "a cell has more than it bears"
    LENT = "a cell is lent to"
    NOWHERE = "no engine anywhere may take a profile's commands"


@dataclass(frozen=True)
class Shortfall:
    lack: Lack
    region: str
    cell: int = -1
    profile: str = ""

    @property
    def line(self) -> str:
        cell = f", cell {self.cell}" if self.cell >= 0 else ""
        profile = f", profile '{self.profile}'" if self.profile else ""
        return f"region '{self.region}'{cell}{profile}: {self.lack.value}"


@dataclass(frozen=True, slots=True)
class Move:
    """Of a member that is up and was in a cell before."""

    name: str
    kind: str | None
    old: int
    new: int


@dataclass(frozen=True)
class Revision:
    """plan: the next, or the one in force where nothing changes. moves: what it moves. must: the fewest that
    have to move, in all plans together, for each bound to be kept with the cells that there are to be."""

    plan: Plan
    moves: tuple[Move, ...]
    must: int
    shortfalls: tuple[Shortfall, ...]


def revise(plan: Plan | None, roster: Iterable[Member], rules: Rules) -> Plan:
    """The next plan, one step from the one in force; that itself where nothing is to change. Raises
    PlannerError."""
    return revised(plan, roster, rules).plan


def revised(plan: Plan | None, roster: Iterable[Member], rules: Rules) -> Revision:
    """As revise, with what it moves and what it can't give. roster: in any order, with at most one router and
    one engine of a name. Raises PlannerError."""
    rules.check()
    members = list(roster)
    if len({(m.kind is None, m.name) for m in members}) < len(members):
        raise PlannerError("roster: a name twice")
    by_zone = {zone: name for name, zones in rules.regions.items() for zone in zones}
    by_region: dict[str, list[Member]] = {name: [] for name in rules.regions}
    for member in members:
        if member.zone not in by_zone:
            raise PlannerError(f"roster: '{member.name}' is in zone '{member.zone}', which no region has")
        by_region[by_zone[member.zone]].append(member)
    number = plan.number + 1 if plan is not None else 1
    fresh = plan.fresh if plan is not None else 0
    drafts = []
    for name in sorted(rules.regions):
        draft = _Draft(name, plan, by_region[name], rules, number, fresh)
        fresh = draft.fresh
        drafts.append(draft)
    shortfalls = [lack for draft in drafts for lack in draft.shortfalls]
    parts = [(draft, draft.part(_loans(draft, drafts, shortfalls))) for draft in drafts]
    moves = tuple(move for draft in drafts for move in draft.moves)
    settled = (
        plan is not None
        and not moves
        and plan.settings == rules.digest
        and plan.places == rules.routers
        and all(draft.alike(plan, part) for draft, part in parts)
    )
    if not settled:
        rows = [
            (d.name, rules.regions[d.name], rules.shares[d.name], sorted(d.homes.items()), part)
            for d, part in parts
        ]
        there = {cell for draft in drafts for cell, weight in draft.homes.items() if weight}
        pinned = {g: cell for g, cell in (plan.pinned if plan is not None else {}).items() if cell in there}
        plan = Plan.made(number, rules.digest, rules.routers, fresh, rows, pinned)
    assert plan is not None
    return Revision(plan, moves, sum(draft.must for draft in drafts), tuple(shortfalls))


def _loans(draft: _Draft, drafts: list[_Draft], shortfalls: list[Shortfall]) -> tuple[Loan, ...]:
    """For each cell and profile without an engine: of the cells that have some, in our region if any has, the
    one with most for each that it serves."""
    if draft.frozen is not None:
        return draft.frozen.loans
    loans, lent = [], Counter[int]()
    for need in draft.rules.needs:
        lenders = [(1, d, cell) for d in drafts if d is not draft for cell in d.open]
        lenders = [(0, draft, cell) for cell in draft.open] + lenders
        have = [(home, cell, d.having(cell, need)) for home, d, cell in lenders]
        have = [row for row in have if row[2]]
        if not have:
            shortfalls.append(Shortfall(Lack.NOWHERE, draft.name, profile=need.profile))
            continue
        for cell in draft.cells:
            if not draft.having(cell, need):
                best = min(have, key=lambda row: (row[0], -row[2] / (1 + lent[row[1]]), row[1]))
                lent[best[1]] += 1
                loans.append(Loan(cell, need.profile, best[1]))
                shortfalls.append(Shortfall(Lack.LENT, draft.name, cell, need.profile))
    return tuple(sorted(loans, key=lambda loan: (loan.cell, loan.profile)))


Stratum = tuple[str, str]  # zone and kind; kind "": routers
Bounds = tuple[int, int]


def _bounds(count: int, cells: int, slack: float) -> Bounds:
    """The fewest and the most that each of so many cells may have of `count`."""
    mean = count / cells
    most = max(math.ceil(mean), math.floor(mean * (1 + slack) + 1e-9))
    return min(math.floor(mean), math.ceil(mean * (1 - slack) - 1e-9)), most


def _out(count: int, bounds: Bounds) -> int:
    return max(bounds[0] - count, count - bounds[1], 0)


@dataclass(eq=False)
class _Hold:
    """What one cell has: members that are up, by stratum, and how many by kind."""

    by_stratum: dict[Stratum, dict[str, Member]] = field(default_factory=dict)
    by_kind: Counter[str] = field(default_factory=Counter)
    engines: int = 0
    down: list[str] = field(default_factory=list)  # routers that are not there just now, and have their place

    def add(self, member: Member) -> None:
        kind = member.kind or ""
        self.by_stratum.setdefault((member.zone, kind), {})[member.name] = member
        self.by_kind[kind] += 1
        self.engines += member.kind is not None

    def remove(self, member: Member) -> None:
        kind = member.kind or ""
        del self.by_stratum[member.zone, kind][member.name]
        self.by_kind[kind] -= 1
        self.engines -= member.kind is not None

    def count(self, stratum: Stratum) -> int:
        return len(self.by_stratum.get(stratum, ()))

    def racks(self, routers: bool) -> Counter[str]:
        return Counter(
            member.rack
            for (_, kind), there in self.by_stratum.items()
            if (kind == "") == routers
            for member in there.values()
        )


class _Draft:
    """One region's part of the next plan."""

    def __init__(
        self, name: str, plan: Plan | None, members: list[Member], rules: Rules, number: int, fresh: int
    ) -> None:
        self.name, self.members, self.rules, self.number, self.fresh = name, members, rules, number, fresh
        self.shortfalls: list[Shortfall] = []
        self.moves: list[Move] = []
        self.way: dict[tuple[bool, str], tuple[Member, int, int]] = {}  # who moves, from where and where to
        self.must = 0
        self.frozen: Part | None = None
        old = plan.parts.get(name) if plan is not None else None
        self.split, self.merged = (old.split, old.merged) if old is not None else (0, 0)
        self.anew = old is None
        self.up = [member for member in members if member.up]
        if old is not None and plan is not None:
            self.open = [cell.number for cell in old.cells if cell.open]
            self.closing = [cell.number for cell in old.cells if not cell.open]
            self.homes = dict(next(r.homes for r in plan.regions if r.name == name))
        else:
            self.open, self.closing, self.homes = [], [], {}
        # Who sees less than half of a region's routers has most likely lost the region, not the region them.
        routers = [member for member in members if member.kind is None]
        if old is not None and routers and 2 * sum(member.up for member in routers) <= len(routers):
            self.frozen = old
            self.shortfalls.append(Shortfall(Lack.MOST, name))
        else:
            self._count()
        self.cells = sorted(self.open + self.closing)
        self._place(plan)
        if self.frozen is None:
            self._spread_down()
            self._bound()
            self.must = self._least()
            self._step()
            self._ramp()
            self._name_lacks()

    # How many cells.

    def _count(self) -> None:
        rules, now = self.rules, len(self.open)
        routers = sum(member.kind is None for member in self.members)  # also who is down, and comes back
        engines = len(self.members) - routers

        def cells(fill: float) -> int:
            return max(
                math.ceil(routers / (rules.routers * fill)), math.ceil(engines / (rules.engines * fill)), 1
            )

        least, most = cells(TIGHT), max(routers // rules.least, 1)
        if least > most:  # a cell bears no more than it bears: few routers are the lesser harm
            self.shortfalls.append(Shortfall(Lack.BOUNDS, self.name))
            most = least
        if least <= now <= most:
            return
        aim = max(min(cells(FILL), most), least)
        # With fewer cells than engines that a profile may use, none has to be lent to.
        found = [sum(need.met_by(m.zone, m.kind or "") for m in self.up if m.kind) for need in rules.needs]
        aim = max(min([aim, *[count for count in found if count]]), least)
        if now == 0:
            self._open(aim)
        elif aim > now:
            if self.merged and self.number - self.merged < rules.rest:
                self.shortfalls.append(Shortfall(Lack.RESTS, self.name))
                return
            self.split = self.number
            self._open(aim - now)
        elif aim < now:
            if self.split and self.number - self.split < rules.rest:
                self.shortfalls.append(Shortfall(Lack.RESTS, self.name))
                return
            self.merged = self.number
            self.shrink = now - aim

    def _open(self, count: int) -> None:
        self.open += range(self.fresh, self.fresh + count)
        self.fresh += count

    shrink = 0  # cells that begin to close

    # Who is where.

    def _place(self, plan: Plan | None) -> None:
        self.holds = {cell: _Hold() for cell in self.cells}
        self.was: dict[tuple[bool, str], int] = {}  # by whether it is a router, and name
        for member in self.members:
            try:
                cell = plan.cell_of(member.name, member.zone, member.kind) if plan is not None else -1
            except PlanError:
                cell = -1
            known = cell in self.holds
            if not known:
                prefix = "r:" if member.kind is None else "e:"
                cell = rendezvous(prefix + member.name, self.open, [1] * len(self.open))[0]
            if member.up:
                self.holds[cell].add(member)
                if known:
                    self.was[member.kind is None, member.name] = cell
            else:
                self.was[member.kind is None, member.name] = cell
                if member.kind is None:
                    self.holds[cell].down.append(member.name)
        if self.shrink:
            by_size = sorted(self.open, key=lambda cell: (self.holds[cell].by_kind[""], -cell))
            self.closing += by_size[: self.shrink]
            self.open = by_size[self.shrink :]
        self.open.sort()

    def _spread_down(self) -> None:
        """Routers that are not there have another place on their return where they would be most of their
        cell, or more than it bears; nobody moves for that now."""
        draining = {cell for cell in self.closing if not self.homes.get(cell)}
        mean = math.ceil(sum(hold.by_kind[""] for hold in self.holds.values()) / len(self.open))

        def full(hold: _Hold, more: int) -> bool:
            """With so many more that are not there, and as many that are as it will have."""
            return max(hold.by_kind[""], mean) + len(hold.down) + more > self.rules.routers

        for cell in self.cells:
            hold = self.holds[cell]
            for name in sorted(hold.down):
                if cell not in draining and not full(hold, 0) and len(hold.down) < hold.by_kind[""]:
                    break
                others = [c for c in self.open if c != cell and not full(self.holds[c], 1)]
                sizes = [(len(self.holds[c].down), -self.holds[c].by_kind[""], c) for c in others]
                down, up, other = min(sizes, default=(0, 0, -1))
                if other < 0 or (cell not in draining and down + 1 >= -up):
                    break
                hold.down.remove(name)
                self.holds[other].down.append(name)
                self.was[True, name] = other
                self.displaced = True

    displaced = False  # whether one that is not there has another place by this plan

    # What each cell should have.

    def _bound(self) -> None:
        slack = 0.0 if self.anew else 1.0
        # What is in a cell whose homes are still leaving stays there until they have left.
        self.draining = [cell for cell in self.closing if not self.homes.get(cell)]
        self.movable = [self.holds[cell] for cell in (*self.open, *self.draining)]
        strata = sorted({stratum for hold in self.movable for stratum in hold.by_stratum})
        self.strata = [s for s in strata if any(hold.count(s) for hold in self.movable)]
        self.kinds = sorted({kind for _, kind in self.strata})
        self.kind_bounds, self.stratum_bounds = self._wanted(self.movable, slack)

    def _wanted(
        self, holds: Sequence[_Hold], slack: float
    ) -> tuple[dict[str, Bounds], dict[Stratum, Bounds]]:
        cells, kinds, strata = len(self.open), Counter[str](), Counter[Stratum]()
        for hold in holds:
            kinds.update(hold.by_kind)
            strata.update({stratum: len(there) for stratum, there in hold.by_stratum.items()})
        by_kind = {kind: _bounds(count, cells, slack * BALANCE) for kind, count in kinds.items()}
        by_stratum = {stratum: _bounds(count, cells, slack * SPREAD) for stratum, count in strata.items()}
        return by_kind, by_stratum

    def _wanted_of(self, hold: _Hold, kind: str) -> Bounds:
        """Routers also enough that most of the cell's are there, and no more than have a place when all are
        back: bases are divided by the places."""
        low, high = self.kind_bounds[kind]
        if kind:
            return low, high
        most, majority = max(self.rules.routers - len(hold.down), 0), len(hold.down) + 1
        return min(max(low, majority), most), min(max(high, majority), most)

    def having(self, cell: int, need: Need) -> int:
        return self._having(self.holds[cell], need)

    def _having(self, hold: _Hold, need: Need) -> int:
        return sum(
            len(there) for (zone, kind), there in hold.by_stratum.items() if kind and need.met_by(zone, kind)
        )

    def _least(self) -> int:
        """A lower bound on what must move: each move takes one member of one stratum out of one cell and into
        another."""
        kinds, strata = self._wanted(list(self.holds.values()), 0.0 if self.anew else 1.0)
        open_, closing = [self.holds[c] for c in self.open], [self.holds[c] for c in self.closing]

        def least(bounds: Bounds, count: Callable[[_Hold], int]) -> int:
            over = sum(max(count(h) - bounds[1], 0) for h in open_) + sum(count(h) for h in closing)
            return max(over, sum(max(bounds[0] - count(h), 0) for h in open_))

        by_kind = {kind: least(b, lambda h, kind=kind: h.by_kind[kind]) for kind, b in kinds.items()}  # type: ignore[misc]
        by_stratum = Counter[str]()
        for stratum, bounds in strata.items():
            by_stratum[stratum[1]] += least(bounds, lambda h, s=stratum: h.count(s))  # type: ignore[misc]
        wanted = [(self._wanted_of(h, ""), h.by_kind[""]) for h in open_] if "" in self.kind_bounds else []
        for_most = sum(max(low - count, 0) for (low, _), count in wanted)
        routers = max(by_kind.pop("", 0), by_stratum[""], for_most)
        lacking, crowded = 0, sum(max(h.engines - self.rules.engines, 0) for h in open_)
        for need in self.rules.needs:
            found = [self._having(hold, need) for hold in open_]
            spare = sum(self._having(hold, need) for hold in closing) + sum(max(n - 1, 0) for n in found)
            lacking = max(lacking, min(found.count(0), spare))
        engines = sum(max(count, by_stratum[kind]) for kind, count in by_kind.items())
        return routers + max(engines, lacking, crowded)

    # What moves in this plan.

    def _step(self) -> None:
        """The whole way is worked out, and as much of it gone as a step allows: what is moved twice on the
        way moves once, and what the way leads back to not at all."""
        routers = sum(member.kind is None for member in self.up)
        for of_routers, count in ((True, routers), (False, len(self.up) - routers)):
            strata = [s for s in self.strata if (s[1] == "") == of_routers]
            gains: dict[tuple[int, Stratum | None, Stratum | None], int] = {}
            while True:
                move = self._best_move(strata, gains)
                if move is not None:
                    self._move(*move, gains)
                    continue
                swap = self._best_swap(strata, gains)
                if swap is None:
                    break
                one, other, there, back = swap
                self._move(there, one, other, gains)
                self._move(back, other, one, gains)
            self._spread_racks(strata, of_routers)
            most = max(math.floor(self.rules.step * count), 2)
            for key in [key for key in self.way if key[0] == of_routers][most:]:
                member, old, new = self.way.pop(key)
                self.holds[new].remove(member)
                self.holds[old].add(member)
        self.moves = [Move(m.name, m.kind, old, new) for m, old, new in self.way.values()]

    def _harm(self, cell: int, less: Stratum | None, more: Stratum | None, routers: bool) -> int:
        """By how much a cell is out of its bounds, with one of a stratum less and one of another more."""
        hold = self.holds[cell]

        def changed(stratum: Stratum) -> int:
            return (stratum == more) - (stratum == less)

        if cell in self.draining:
            return sum(hold.count(s) + changed(s) for s in self.strata if (s[1] == "") == routers)
        harm = 0
        for kind in self.kinds:
            if (kind == "") == routers:
                change = (more is not None and more[1] == kind) - (less is not None and less[1] == kind)
                harm += _out(hold.by_kind[kind] + change, self._wanted_of(hold, kind))
        for stratum in self.strata:
            if (stratum[1] == "") == routers:
                harm += _out(hold.count(stratum) + changed(stratum), self.stratum_bounds[stratum])
        if not routers:
            harm += max(hold.engines + (more is not None) - (less is not None) - self.rules.engines, 0)
            for need in self.rules.needs:
                found = self._having(hold, need)
                found += more is not None and need.met_by(*more)
                found -= less is not None and need.met_by(*less)
                harm += NEEDED * (found <= 0)
        return harm

    def _gain(
        self,
        cell: int,
        less: Stratum | None,
        more: Stratum | None,
        gains: dict[tuple[int, Stratum | None, Stratum | None], int],
    ) -> int:
        key = (cell, less, more)
        if key not in gains:
            stratum = less or more
            assert stratum is not None
            routers = stratum[1] == ""
            gains[key] = self._harm(cell, None, None, routers) - self._harm(cell, less, more, routers)
        return gains[key]

    def _best_move(
        self, strata: list[Stratum], gains: dict[tuple[int, Stratum | None, Stratum | None], int]
    ) -> tuple[Stratum, int, int] | None:
        """The one that mends most; of equals, from the fullest to the emptiest."""
        best: tuple[int, int, Stratum, int, int] | None = None
        for s in strata:
            givers = [cell for cell in (*self.draining, *self.open) if self.holds[cell].count(s)]
            if not givers or not self.open:
                continue
            count = {cell: (self.holds[cell].by_kind[s[1]], self.holds[cell].count(s)) for cell in self.holds}
            giver = max(givers, key=lambda c: (self._gain(c, s, None, gains), *count[c], -c))
            taker = max(
                (cell for cell in self.open if cell != giver),
                key=lambda c: (self._gain(c, None, s, gains), -count[c][0], -count[c][1], -c),
                default=-1,
            )
            if taker < 0:
                continue
            mended = self._gain(giver, s, None, gains) + self._gain(taker, None, s, gains)
            row = (mended, count[giver][0] - count[taker][0], s, giver, taker)
            if mended > 0 and (best is None or row[:2] > best[:2]):
                best = row
        return best[2:] if best is not None else None

    def _best_swap(
        self, strata: list[Stratum], gains: dict[tuple[int, Stratum | None, Stratum | None], int]
    ) -> tuple[int, int, Stratum, Stratum] | None:
        """Two cells, the stratum of which the first gives one, and that of which it takes one."""
        best: tuple[int, int, int, Stratum, Stratum] | None = None
        for s in strata:
            for t in strata:
                if s == t:
                    continue
                gives = [(self._gain(c, s, t, gains), -c) for c in self.open if self.holds[c].count(s)]
                takes = [(self._gain(c, t, s, gains), -c) for c in self.open if self.holds[c].count(t)]
                for mended, one in sorted(gives, reverse=True)[:2]:
                    for back, other in sorted(takes, reverse=True)[:2]:
                        if one != other and mended + back > 0 and (best is None or mended + back > best[0]):
                            best = (mended + back, -one, -other, s, t)
        return best[1:] if best is not None else None

    def _move(
        self,
        stratum: Stratum,
        giver: int,
        taker: int,
        gains: dict[tuple[int, Stratum | None, Stratum | None], int],
    ) -> None:
        """Of that stratum, one of the rack of which the giver has most and the taker fewest."""
        routers = stratum[1] == ""
        here, there = self.holds[giver].racks(routers), self.holds[taker].racks(routers)
        member = min(
            self.holds[giver].by_stratum[stratum].values(),
            key=lambda m: ((m.kind is None, m.name) not in self.way, there[m.rack] - here[m.rack], m.name),
        )
        self._carry(member, giver, taker)
        for key in [key for key in gains if key[0] in (giver, taker)]:
            del gains[key]

    def _carry(self, member: Member, giver: int, taker: int) -> None:
        self.holds[giver].remove(member)
        self.holds[taker].add(member)
        key = member.kind is None, member.name
        if key not in self.was:
            return  # no plan had it: it is placed, not moved
        if self.was[key] == taker:
            self.way.pop(key, None)
        else:
            self.way[key] = member, self.was[key], taker

    def _spread_racks(self, strata: list[Stratum], routers: bool) -> None:
        """No rack has most of a cell's routers, or of its engines, where others have some to change for."""
        for cell in self.open:
            while True:
                racks = self.holds[cell].racks(routers)
                full = max(racks, key=lambda rack: (racks[rack], rack), default="")
                if racks.total() < 3 or 2 * racks[full] <= racks.total():
                    break
                swap = self._rack_swap(cell, full, strata, routers)
                if swap is None:
                    break
                ours, other, theirs = swap
                self._carry(ours, cell, other)
                self._carry(theirs, other, cell)

    def _rack_swap(
        self, cell: int, full: str, strata: list[Stratum], routers: bool
    ) -> tuple[Member, int, Member] | None:
        for other in self.open:
            there = self.holds[other].racks(routers)
            if other == cell or 2 * (there[full] + 1) > there.total():
                continue
            for stratum in strata:
                ours = [m for m in self.holds[cell].by_stratum.get(stratum, {}).values() if m.rack == full]
                theirs = [m for m in self.holds[other].by_stratum.get(stratum, {}).values() if m.rack != full]
                if ours and theirs:
                    return min(ours, key=lambda m: m.name), other, min(theirs, key=lambda m: m.name)
        return None

    # Homes, and what is said.

    def _ramp(self) -> None:
        """A cell that is whole takes homes, and one that closes gives them up, a part in each plan."""
        if self.anew:
            self.homes = dict.fromkeys(self.open, FULL)
            return
        left = max(math.floor(self.rules.step * FULL * len(self.cells)), 1)
        for cell in self.open:
            weight = self.homes.setdefault(cell, 0)
            if weight < FULL and left and self._whole(cell):
                self.homes[cell] = weight + 1
                left -= 1
        for cell in sorted(self.closing):
            others = any(weight for number, weight in self.homes.items() if number != cell)
            if self.homes[cell] and left and others:
                self.homes[cell] -= 1
                left -= 1
        for cell in [c for c in self.draining if not self.holds[c].by_kind.total()]:
            self.closing.remove(cell)
            self.cells.remove(cell)
            del self.homes[cell]

    def _whole(self, cell: int) -> bool:
        hold = self.holds[cell]
        return all(hold.by_kind[kind] >= low for kind, (low, _) in self.kind_bounds.items())

    def _name_lacks(self) -> None:
        for cell in self.open:
            hold = self.holds[cell]
            if hold.down and hold.by_kind[""] <= len(hold.down):
                self.shortfalls.append(Shortfall(Lack.MAJORITY, self.name, cell))
            if hold.by_kind[""] + len(hold.down) > self.rules.routers or hold.engines > self.rules.engines:
                self.shortfalls.append(Shortfall(Lack.FULL, self.name, cell))

    # The part.

    def part(self, loans: tuple[Loan, ...]) -> Part:
        if self.frozen is not None:
            return self.frozen
        rules, at = self.rules, {cell: i for i, cell in enumerate(self.cells)}
        where = dict(self.was)
        for cell, hold in self.holds.items():
            for there in hold.by_stratum.values():
                where.update({(member.kind is None, member.name): cell for member in there.values()})
        strata: dict[Stratum, tuple[int, ...]] = {}
        for stratum in sorted({(member.zone, member.kind or "") for member in self.members}):
            routers = stratum[1] == ""
            most = rules.routers if routers else rules.engines
            sizes = [
                self.holds[cell].by_kind[""] + len(self.holds[cell].down)
                if routers
                else self.holds[cell].engines
                for cell in self.open
            ]
            mean = sum(sizes) / len(sizes)
            weights = [0] * len(self.cells)
            for cell, size in zip(self.open, sizes, strict=True):
                weights[at[cell]] = 0 if size >= most else LOW if size > math.ceil(mean) else MIDDLE
            if not any(weights):
                weights = [int(cell in self.open) for cell in self.cells]
            strata[stratum] = tuple(weights)
        apart: tuple[dict[str, int], dict[str, int]] = ({}, {})
        zones: dict[int, set[str]] = {cell: set() for cell in self.cells}
        for member in self.members:
            cell = where[member.kind is None, member.name]
            if cell not in at:
                continue  # it is not there, and neither is its cell: by the hash from now on
            weights = list(strata[member.zone, member.kind or ""])
            prefix = "r:" if member.kind is None else "e:"
            hashed, close = rendezvous(prefix + member.name, self.cells, weights)
            if hashed != cell or close:
                apart[member.kind is not None][member.name] = cell
            zones[cell].add(member.zone)
        cells = tuple(Cell(cell, tuple(sorted(zones[cell])), cell in self.open) for cell in self.cells)
        return Part(cells, strata, apart[0], apart[1], loans, self.split, self.merged)

    def alike(self, plan: Plan, part: Part) -> bool:
        """Whether nothing that anyone acts on differs: who leaves, and which weights names not yet known
        would have, is no reason for a plan."""
        old = plan.parts[self.name]
        homes = next(region.homes for region in plan.regions if region.name == self.name)
        return (
            [(cell.number, cell.open) for cell in old.cells]
            == [(cell.number, cell.open) for cell in part.cells]
            and old.loans == part.loans
            and tuple(sorted(self.homes.items())) == homes
        )
