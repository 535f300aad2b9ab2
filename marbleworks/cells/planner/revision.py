"""Makes the next plan from the one in force and the roster. No I/O, no clock, no randomness.

The planner decides how many cells a region has, which routers and engines each of them has, and how fast that
changes. No plan moves more members than a step allows, and the same plan and roster give the same next plan
in whatever order the roster is. docs/design/cells.md has the design.
"""

from __future__ import annotations

import math
import zlib
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from marbleworks.cells.plan import (
    FULL_HOME_WEIGHT,
    SHARE_UNITS,
    Cell,
    Loan,
    Part,
    Plan,
    PlanError,
    rendezvous_hash,
)
from marbleworks.settings import Settings

MAX_KIND_DEVIATION = 0.15  # part by which a cell's number of one kind may differ from the mean of its region
MAX_STRATUM_DEVIATION = 0.30  # part by which a cell's number of one kind and zone may differ from the mean
TARGET_FILL = 0.75  # mean part of a cell's maximum in use that a change of the number of cells aims at
# Fill of the mean cell, which others exceed; above it a region gets more cells.
MAX_FILL = 1 / (1 + MAX_KIND_DEVIATION)
MISSING_ENGINE_PENALTY = 4  # penalty for a profile without an engine; one member out of bounds counts 1
ABOVE_MEAN_WEIGHT, DEFAULT_WEIGHT = 1, 2  # weights of a cell for unknown names; 0 at its maximum


class PlannerError(Exception):
    """No plan can be made of the rules or the roster; the message says why, in one line."""


@dataclass(frozen=True, slots=True)
class Member:
    """A router or engine of the roster.

    Attributes:
        name: Name of the member, unique among routers or among engines.
        zone: Zone of the member.
        rack: Rack of the member.
        kind: Kind of the engine, or None for a router.
        is_up: Whether it is reachable now. One that is not keeps its place as long as it is on the roster.
    """

    name: str
    zone: str
    rack: str
    kind: str | None
    is_up: bool = True


@dataclass(frozen=True)
class ProfileRequirement:
    """The engines of which a profile needs at least one in each cell.

    Attributes:
        request_class: The request class.
        zones: Zones of the engines, or None if any zone will do.
        kinds: Kinds of the engines, or None if any kind will do.
    """

    request_class: str
    zones: frozenset[str] | None
    kinds: frozenset[str] | None

    def is_met_by(self, zone: str, kind: str) -> bool:
        """Whether the profile may use an engine of that zone and kind."""
        return (self.zones is None or zone in self.zones) and (self.kinds is None or kind in self.kinds)


@dataclass(frozen=True)
class PlannerRules:
    """Constraints and requirements of the planner.

    Attributes:
        regions: Zones of each region, by name.
        shares: Each region's share of all homes, in units of 1/SHARE_UNITS.
        requirements: Engines that the profiles need.
        min_routers: Minimum number of routers in a cell.
        max_routers: Maximum number of routers in a cell.
        max_engines: Maximum number of engines in a cell.
        max_moved_share: Largest part of a region's routers, and of its engines, that one plan moves.
        min_plans_between_resizes: Minimum number of plans between a merge and a split of one region's cells.
    """

    regions: Mapping[str, tuple[str, ...]]
    shares: Mapping[str, int]
    requirements: tuple[ProfileRequirement, ...]
    min_routers: int
    max_routers: int
    max_engines: int
    max_moved_share: float = 0.05
    min_plans_between_resizes: int = 20

    @classmethod
    def from_section(cls, values: dict[str, Any], deployment: Settings) -> PlannerRules:
        """Makes the rules from the operator's file and the settings.

        Args:
            values: Values of the section `cells`, which `check_cells_section` has found valid.
            deployment: The settings.
        """
        zones, kinds = list(deployment.zone_index), list(deployment.machine_kind_index)

        def named(indices: tuple[int, ...] | None, names: list[str]) -> frozenset[str] | None:
            return None if indices is None else frozenset(names[i] for i in indices if i >= 0)

        needs = tuple(
            ProfileRequirement(
                name, named(profile.allowed_zones, zones), named(profile.allowed_machine_kinds, kinds)
            )
            for name, profile in zip(deployment.class_index, deployment.request_classes, strict=True)
        )
        regions = {name: tuple(sorted(region["zones"].split())) for name, region in values["region"].items()}
        shares = {name: round(SHARE_UNITS * region["share"]) for name, region in values["region"].items()}
        if not any(shares.values()):
            shares = dict.fromkeys(regions, SHARE_UNITS // len(regions))
        return cls(
            regions,
            shares,
            needs,
            values["least"],
            values["routers"],
            values["engines"],
            values["step"],
            values["rest"],
        )

    @property
    def digest(self) -> int:
        """Returns the digest of what all routers have to agree on to use a plan."""
        needs = [
            (n.request_class, sorted(n.zones or ()), n.zones is None, sorted(n.kinds or ()), n.kinds is None)
            for n in self.requirements
        ]
        agreed = (sorted(self.regions.items()), sorted(self.shares.items()), sorted(needs), self.max_routers)
        return zlib.crc32(repr(agreed).encode())

    def check(self) -> None:
        """Checks that the rules are consistent.

        Raises:
            PlannerError: The rules are inconsistent.
        """
        zones = [zone for region_zones in self.regions.values() for zone in region_zones]
        if not zones or len(set(zones)) < len(zones) or set(self.shares) != set(self.regions):
            raise PlannerError(
                "rules: there must be at least one zone, each in one region, and a share for each region"
            )
        if (
            not 1 <= self.min_routers <= self.max_routers
            or self.max_engines < 1
            or not 0 < self.max_moved_share <= 1
            or self.min_plans_between_resizes < 1
        ):
            raise PlannerError(
                "rules: 'least' must be 1 to 'routers', 'engines' and 'rest' at least 1, "
                "and 'step' above 0 and at most 1"
            )


class ShortfallReason(Enum):
    """The kinds of things that a plan could not provide."""

    ROUTERS_DOWN = "most of its routers are not there: nothing of it is moved"
    RECENTLY_RESIZED = "its cells would change in number, but did the other way too few plans ago"
    TOO_FEW_ROUTERS = "too few routers for as many cells as its engines want"
    NO_MAJORITY = "a cell is without most of its routers"
    OVERFULL = "a cell has more than it bears"
    BORROWS = "a cell is lent to"
    NO_ENGINE = "no engine anywhere may take a profile's commands"


@dataclass(frozen=True)
class Shortfall:
    """One thing that a plan could not provide.

    Attributes:
        reason: What is missing.
        region: Region in which it is missing.
        cell: Cell in which it is missing, or -1 for the region as a whole.
        request_class: Request class that lacks it, or empty for none in particular.
    """

    reason: ShortfallReason
    region: str
    cell: int = -1
    request_class: str = ""

    @property
    def message(self) -> str:
        """Returns a message for the operator, in one line."""
        cell = f", cell {self.cell}" if self.cell >= 0 else ""
        profile = f", profile '{self.request_class}'" if self.request_class else ""
        return f"region '{self.region}'{cell}{profile}: {self.reason.value}"


@dataclass(frozen=True, slots=True)
class Move:
    """The move of a member that is up and was in a cell before.

    Attributes:
        name: Name of the member.
        kind: Kind of the engine, or None for a router.
        old_cell: The member's cell by the plan in force.
        new_cell: The member's cell by the next plan.
    """

    name: str
    kind: str | None
    old_cell: int
    new_cell: int


@dataclass(frozen=True)
class Revision:
    """The next plan and what it changes.

    Attributes:
        plan: The next plan, or the one in force if nothing changes.
        moves: Moves that this plan makes.
        min_moves: The fewest moves, of this and later plans together, that keep all bounds with the cells
            that there are to be.
        shortfalls: What this plan could not provide.
    """

    plan: Plan
    moves: tuple[Move, ...]
    min_moves: int
    shortfalls: tuple[Shortfall, ...]


def next_plan(plan: Plan | None, roster: Iterable[Member], rules: PlannerRules) -> Plan:
    """Makes the next plan, one step from the one in force.

    Args:
        plan: The plan in force, or None if there is none yet.
        roster: All members, in any order, with at most one router and one engine of a name.
        rules: Constraints and requirements of the planner.

    Returns:
        The next plan, or the one in force if nothing changes.

    Raises:
        PlannerError: No plan can be made of the rules or the roster.
    """
    return make_revision(plan, roster, rules).plan


def make_revision(plan: Plan | None, roster: Iterable[Member], rules: PlannerRules) -> Revision:
    """Makes the next plan, with its moves and what it could not provide.

    Args:
        plan: The plan in force, or None if there is none yet.
        roster: All members, in any order, with at most one router and one engine of a name.
        rules: Constraints and requirements of the planner.

    Raises:
        PlannerError: No plan can be made of the rules or the roster.
    """
    rules.check()
    members = list(roster)
    if len({(m.kind is None, m.name) for m in members}) < len(members):
        raise PlannerError("roster: two routers or two engines have the same name")
    region_by_zone = {zone: name for name, zones in rules.regions.items() for zone in zones}
    by_region: dict[str, list[Member]] = {name: [] for name in rules.regions}
    for member in members:
        if member.zone not in region_by_zone:
            raise PlannerError(f"roster: '{member.name}' is in zone '{member.zone}', which no region has")
        by_region[region_by_zone[member.zone]].append(member)
    plan_number = plan.number + 1 if plan is not None else 1
    next_cell = plan.next_cell if plan is not None else 0
    drafts = []
    for name in sorted(rules.regions):
        draft = _RegionDraft(name, plan, by_region[name], rules, plan_number, next_cell)
        next_cell = draft.next_cell
        drafts.append(draft)
    shortfalls = [shortfall for draft in drafts for shortfall in draft.shortfalls]
    parts = [(draft, draft.build_part(_assign_loans(draft, drafts, shortfalls))) for draft in drafts]
    moves = tuple(move for draft in drafts for move in draft.moves)
    is_unchanged = (
        plan is not None
        and not moves
        and plan.settings_digest == rules.digest
        and plan.max_routers == rules.max_routers
        and all(draft.is_same_as(plan, part) for draft, part in parts)
    )
    if not is_unchanged:
        rows = [
            (d.name, rules.regions[d.name], rules.shares[d.name], sorted(d.home_weights.items()), part)
            for d, part in parts
        ]
        home_cells = {cell for draft in drafts for cell, weight in draft.home_weights.items() if weight}
        pinned_homes = {
            g: cell
            for g, cell in (plan.pinned_homes if plan is not None else {}).items()
            if cell in home_cells
        }
        plan = Plan.build(plan_number, rules.digest, rules.max_routers, next_cell, rows, pinned_homes)
    assert plan is not None
    return Revision(plan, moves, sum(draft.min_moves for draft in drafts), tuple(shortfalls))


def _assign_loans(
    draft: _RegionDraft, drafts: list[_RegionDraft], shortfalls: list[Shortfall]
) -> tuple[Loan, ...]:
    """Chooses a lender for each cell and profile without an engine.

    Of the cells with engines for the profile, the lender is the one with the most of them for each cell that
    it serves. A cell of another region lends only where none of the region's own can.
    """
    if draft.unchanged_part is not None:
        return draft.unchanged_part.loans
    loans, loan_counts = [], Counter[int]()
    for need in draft.rules.requirements:
        lenders = [(1, d, cell) for d in drafts if d is not draft for cell in d.open]
        lenders = [(0, draft, cell) for cell in draft.open] + lenders
        candidates = [(is_remote, cell, d.count_engines_for(cell, need)) for is_remote, d, cell in lenders]
        candidates = [row for row in candidates if row[2]]
        if not candidates:
            shortfalls.append(
                Shortfall(ShortfallReason.NO_ENGINE, draft.name, request_class=need.request_class)
            )
            continue
        for cell in draft.cells:
            if not draft.count_engines_for(cell, need):
                best = min(candidates, key=lambda row: (row[0], -row[2] / (1 + loan_counts[row[1]]), row[1]))
                loan_counts[best[1]] += 1
                loans.append(Loan(cell, need.request_class, best[1]))
                shortfalls.append(Shortfall(ShortfallReason.BORROWS, draft.name, cell, need.request_class))
    return tuple(sorted(loans, key=lambda loan: (loan.cell, loan.request_class)))


Stratum = tuple[str, str]  # zone and kind; the kind is "" for routers
Bounds = tuple[int, int]  # minimum and maximum


def _bounds_around_mean(count: int, cells: int, deviation: float) -> Bounds:
    """Returns the bounds of one cell's number of members.

    Args:
        count: Number of members of all cells.
        cells: Number of cells.
        deviation: Part by which a cell may differ from the mean. The integers next to the mean are always
            within bounds.
    """
    mean = count / cells
    maximum = max(math.ceil(mean), math.floor(mean * (1 + deviation) + 1e-9))
    return min(math.floor(mean), math.ceil(mean * (1 - deviation) - 1e-9)), maximum


def _distance(count: int, bounds: Bounds) -> int:
    """Returns by how much a number is out of its bounds."""
    return max(bounds[0] - count, count - bounds[1], 0)


@dataclass(eq=False)
class _CellContents:
    """The members of one cell of a draft.

    Attributes:
        by_stratum: Members that are up, by stratum and then by name.
        by_kind: Number of members that are up, by kind; "" for routers.
        engine_count: Number of engines that are up.
        down_routers: Names of routers that are down and keep their place.
    """

    by_stratum: dict[Stratum, dict[str, Member]] = field(default_factory=dict)
    by_kind: Counter[str] = field(default_factory=Counter)
    engine_count: int = 0
    down_routers: list[str] = field(default_factory=list)

    def add(self, member: Member) -> None:
        """Adds a member that is up."""
        kind = member.kind or ""
        self.by_stratum.setdefault((member.zone, kind), {})[member.name] = member
        self.by_kind[kind] += 1
        self.engine_count += member.kind is not None

    def remove(self, member: Member) -> None:
        """Removes a member that is up."""
        kind = member.kind or ""
        del self.by_stratum[member.zone, kind][member.name]
        self.by_kind[kind] -= 1
        self.engine_count -= member.kind is not None

    def count(self, stratum: Stratum) -> int:
        """Number of members of a stratum that are up."""
        return len(self.by_stratum.get(stratum, ()))

    def racks(self, of_routers: bool) -> Counter[str]:
        """Number of routers, or of engines, that are up, by rack."""
        return Counter(
            member.rack
            for (_, kind), members in self.by_stratum.items()
            if (kind == "") == of_routers
            for member in members.values()
        )


class _RegionDraft:
    """One region's part of the next plan, while it is made.

    Args:
        name: The region's name.
        plan: The plan in force, or None if there is none yet.
        members: Members of the region.
        rules: Constraints and requirements of the planner.
        plan_number: Number of the next plan.
        next_cell: The lowest number that no cell has had.

    Attributes:
        open: Numbers of the cells that members may be placed in.
        closing: Numbers of the cells that give up their homes and then their members.
        draining: Numbers of the closing cells without homes, whose members move to open ones.
        cells: Numbers of all cells, in ascending order.
        home_weights: Home weights of the cells, by number.
        contents_by_cell: The members of each cell, as far as the draft is made.
        old_cells: Members' cells by the plan in force; the key is whether the member is a router, and its
            name.
        pending_moves: The member, its old cell and its new cell, by the same key.
        min_moves: The fewest moves of the region, of this and later plans together, that keep all bounds with
            the cells that there are to be.
        unchanged_part: The part in force if the region is left as it is, or None if a new one is made.
    """

    def __init__(
        self,
        name: str,
        plan: Plan | None,
        members: list[Member],
        rules: PlannerRules,
        plan_number: int,
        next_cell: int,
    ) -> None:
        self.name, self.members, self.rules, self.plan_number, self.next_cell = (
            name,
            members,
            rules,
            plan_number,
            next_cell,
        )
        self.shortfalls: list[Shortfall] = []
        self.moves: list[Move] = []
        self.pending_moves: dict[tuple[bool, str], tuple[Member, int, int]] = {}
        self.min_moves = 0
        self.unchanged_part: Part | None = None
        old_part = plan.parts.get(name) if plan is not None else None
        self.last_split, self.last_merge = (
            (old_part.last_split, old_part.last_merge) if old_part is not None else (0, 0)
        )
        self.is_new = old_part is None
        self.up_members = [member for member in members if member.is_up]
        if old_part is not None and plan is not None:
            self.open = [cell.number for cell in old_part.cells if cell.is_open]
            self.closing = [cell.number for cell in old_part.cells if not cell.is_open]
            self.home_weights = dict(next(r.home_weights for r in plan.regions if r.name == name))
        else:
            self.open, self.closing, self.home_weights = [], [], {}
        # A planner that sees half of a region's routers or fewer is more likely cut off than the region gone.
        routers = [member for member in members if member.kind is None]
        if old_part is not None and routers and 2 * sum(member.is_up for member in routers) <= len(routers):
            self.unchanged_part = old_part
            self.shortfalls.append(Shortfall(ShortfallReason.ROUTERS_DOWN, name))
        else:
            self._choose_cell_count()
        self.cells = sorted(self.open + self.closing)
        self._place_members(plan)
        if self.unchanged_part is None:
            self._reassign_down_routers()
            self._compute_bounds()
            self.min_moves = self._count_min_moves()
            self._plan_moves()
            self._ramp_home_weights()
            self._add_cell_shortfalls()

    # Number of cells.

    def _choose_cell_count(self) -> None:
        """Opens cells, or decides how many begin to close, where their number is out of bounds."""
        rules, present = self.rules, len(self.open)
        routers = sum(
            member.kind is None for member in self.members
        )  # includes those that are down and will return
        engines = len(self.members) - routers

        def cells_needed(fill: float) -> int:
            """Returns how many cells keep the mean cell no fuller than that part of its maximum."""
            return max(
                math.ceil(routers / (rules.max_routers * fill)),
                math.ceil(engines / (rules.max_engines * fill)),
                1,
            )

        minimum, maximum = cells_needed(MAX_FILL), max(routers // rules.min_routers, 1)
        if minimum > maximum:
            # Cells with few routers do less harm than cells above their maximum.
            self.shortfalls.append(Shortfall(ShortfallReason.TOO_FEW_ROUTERS, self.name))
            maximum = minimum
        if minimum <= present <= maximum:
            return
        target = max(min(cells_needed(TARGET_FILL), maximum), minimum)
        # With no more cells than engines that a profile may use, no cell has to borrow for it.
        usable = [
            sum(need.is_met_by(m.zone, m.kind or "") for m in self.up_members if m.kind)
            for need in rules.requirements
        ]
        target = max(min([target, *[count for count in usable if count]]), minimum)
        if present == 0:
            self._open_cells(target)
        elif target > present:
            if self.last_merge and self.plan_number - self.last_merge < rules.min_plans_between_resizes:
                self.shortfalls.append(Shortfall(ShortfallReason.RECENTLY_RESIZED, self.name))
                return
            self.last_split = self.plan_number
            self._open_cells(target - present)
        elif target < present:
            if self.last_split and self.plan_number - self.last_split < rules.min_plans_between_resizes:
                self.shortfalls.append(Shortfall(ShortfallReason.RECENTLY_RESIZED, self.name))
                return
            self.last_merge = self.plan_number
            self.closing_count = present - target

    def _open_cells(self, count: int) -> None:
        self.open += range(self.next_cell, self.next_cell + count)
        self.next_cell += count

    closing_count = 0  # number of cells that begin to close by this plan

    # The present cells of the members.

    def _place_members(self, plan: Plan | None) -> None:
        """Places all members by the plan in force, and unknown ones by the hash; chooses cells to close."""
        self.contents_by_cell = {cell: _CellContents() for cell in self.cells}
        self.old_cells: dict[tuple[bool, str], int] = {}
        for member in self.members:
            try:
                cell = plan.cell_of(member.name, member.zone, member.kind) if plan is not None else -1
            except PlanError:
                cell = -1
            is_known = cell in self.contents_by_cell
            if not is_known:
                prefix = "r:" if member.kind is None else "e:"
                cell = rendezvous_hash(prefix + member.name, self.open, [1] * len(self.open))[0]
            if member.is_up:
                self.contents_by_cell[cell].add(member)
                if is_known:
                    self.old_cells[member.kind is None, member.name] = cell
            else:
                self.old_cells[member.kind is None, member.name] = cell
                if member.kind is None:
                    self.contents_by_cell[cell].down_routers.append(member.name)
        if self.closing_count:
            by_size = sorted(self.open, key=lambda cell: (self.contents_by_cell[cell].by_kind[""], -cell))
            self.closing += by_size[: self.closing_count]
            self.open = by_size[self.closing_count :]
        self.open.sort()

    def _reassign_down_routers(self) -> None:
        """Assigns routers that are down to other cells where too many of one cell are.

        That is, where they would be most of the cell's routers, or more than it may have. No router that is
        up moves for that now.
        """
        draining = {cell for cell in self.closing if not self.home_weights.get(cell)}
        mean = math.ceil(
            sum(contents.by_kind[""] for contents in self.contents_by_cell.values()) / len(self.open)
        )

        def is_full(contents: _CellContents, more_down: int) -> bool:
            """Whether a cell exceeds its maximum with so many more routers that are down.

            The cell's routers that are up count as no fewer than the mean, which it will have.
            """
            return (
                max(contents.by_kind[""], mean) + len(contents.down_routers) + more_down
                > self.rules.max_routers
            )

        for cell in self.cells:
            contents = self.contents_by_cell[cell]
            for name in sorted(contents.down_routers):
                if (
                    cell not in draining
                    and not is_full(contents, 0)
                    and len(contents.down_routers) < contents.by_kind[""]
                ):
                    break
                others = [c for c in self.open if c != cell and not is_full(self.contents_by_cell[c], 1)]
                sizes = [
                    (len(self.contents_by_cell[c].down_routers), -self.contents_by_cell[c].by_kind[""], c)
                    for c in others
                ]
                down_count, negative_up_count, other = min(sizes, default=(0, 0, -1))
                if other < 0 or (cell not in draining and down_count + 1 >= -negative_up_count):
                    break
                contents.down_routers.remove(name)
                self.contents_by_cell[other].down_routers.append(name)
                self.old_cells[True, name] = other
                self.has_reassigned_down_routers = True

    has_reassigned_down_routers = False  # whether this plan does so

    # Bounds of each cell.

    def _compute_bounds(self) -> None:
        deviation_scale = 0.0 if self.is_new else 1.0
        # Members of a cell that closes stay in it until its home weight is 0.
        self.draining = [cell for cell in self.closing if not self.home_weights.get(cell)]
        self.movable = [self.contents_by_cell[cell] for cell in (*self.open, *self.draining)]
        strata = sorted({stratum for contents in self.movable for stratum in contents.by_stratum})
        self.strata = [s for s in strata if any(contents.count(s) for contents in self.movable)]
        self.kinds = sorted({kind for _, kind in self.strata})
        self.kind_bounds, self.stratum_bounds = self._balance_bounds(self.movable, deviation_scale)

    def _balance_bounds(
        self, all_contents: Sequence[_CellContents], deviation_scale: float
    ) -> tuple[dict[str, Bounds], dict[Stratum, Bounds]]:
        """Returns the bounds of an open cell's number of members, by kind and by stratum.

        Args:
            all_contents: Contents of the cells whose members are to be in the open cells.
            deviation_scale: Factor of the deviations from the mean that are allowed.
        """
        cells, kinds, strata = len(self.open), Counter[str](), Counter[Stratum]()
        for contents in all_contents:
            kinds.update(contents.by_kind)
            strata.update({stratum: len(members) for stratum, members in contents.by_stratum.items()})
        by_kind = {
            kind: _bounds_around_mean(count, cells, deviation_scale * MAX_KIND_DEVIATION)
            for kind, count in kinds.items()
        }
        by_stratum = {
            stratum: _bounds_around_mean(count, cells, deviation_scale * MAX_STRATUM_DEVIATION)
            for stratum, count in strata.items()
        }
        return by_kind, by_stratum

    def _kind_bounds_in(self, contents: _CellContents, kind: str) -> Bounds:
        """Returns the bounds of one cell's number of members of a kind that are up.

        Routers that are up also have to be a majority of the cell's, and with those that are down no more
        than its maximum when all have returned, since guaranteed quotas are divided by that.
        """
        low, high = self.kind_bounds[kind]
        if kind:
            return low, high
        maximum, majority = (
            max(self.rules.max_routers - len(contents.down_routers), 0),
            len(contents.down_routers) + 1,
        )
        return min(max(low, majority), maximum), min(max(high, majority), maximum)

    def count_engines_for(self, cell: int, need: ProfileRequirement) -> int:
        """Number of engines in a cell that a profile may use."""
        return self._count_engines_in(self.contents_by_cell[cell], need)

    def _count_engines_in(self, contents: _CellContents, need: ProfileRequirement) -> int:
        return sum(
            len(members)
            for (zone, kind), members in contents.by_stratum.items()
            if kind and need.is_met_by(zone, kind)
        )

    def _count_min_moves(self) -> int:
        """Returns a lower bound of the number of moves that keep all bounds.

        Each move takes one member of one stratum out of one cell and into another.
        """
        kinds, strata = self._balance_bounds(
            list(self.contents_by_cell.values()), 0.0 if self.is_new else 1.0
        )
        open_, closing = (
            [self.contents_by_cell[c] for c in self.open],
            [self.contents_by_cell[c] for c in self.closing],
        )

        def min_moves_for(bounds: Bounds, count: Callable[[_CellContents], int]) -> int:
            """Returns the number of members that leave cells, or join open ones if these are more.

            All members of closing cells have to leave.
            """
            excess = sum(max(count(contents) - bounds[1], 0) for contents in open_) + sum(
                count(contents) for contents in closing
            )
            return max(excess, sum(max(bounds[0] - count(contents), 0) for contents in open_))

        by_kind = {
            kind: min_moves_for(b, lambda contents, kind=kind: contents.by_kind[kind])  # type: ignore[misc]
            for kind, b in kinds.items()
        }
        by_stratum = Counter[str]()
        for stratum, bounds in strata.items():
            by_stratum[stratum[1]] += min_moves_for(bounds, lambda contents, s=stratum: contents.count(s))  # type: ignore[misc]
        router_counts = (
            [(self._kind_bounds_in(contents, ""), contents.by_kind[""]) for contents in open_]
            if "" in self.kind_bounds
            else []
        )
        for_majority = sum(max(low - count, 0) for (low, _), count in router_counts)
        routers = max(by_kind.pop("", 0), by_stratum[""], for_majority)
        missing, excess_engines = (
            0,
            sum(max(contents.engine_count - self.rules.max_engines, 0) for contents in open_),
        )
        for need in self.rules.requirements:
            usable = [self._count_engines_in(contents, need) for contents in open_]
            spare = sum(self._count_engines_in(contents, need) for contents in closing) + sum(
                max(n - 1, 0) for n in usable
            )
            missing = max(missing, min(usable.count(0), spare))
        engines = sum(max(count, by_stratum[kind]) for kind, count in by_kind.items())
        return routers + max(engines, missing, excess_engines)

    # The moves of this plan.

    def _plan_moves(self) -> None:
        """Chooses the moves of this plan.

        All moves up to balance are worked out, and as many of them are made as a step allows. So a member
        that would move twice on the way moves once, and one that would come back does not move.
        """
        routers = sum(member.kind is None for member in self.up_members)
        for of_routers, count in ((True, routers), (False, len(self.up_members) - routers)):
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
                one, other, given, taken = swap
                self._move(given, one, other, gains)
                self._move(taken, other, one, gains)
            self._spread_racks(strata, of_routers)
            max_moves = max(math.floor(self.rules.max_moved_share * count), 2)
            for key in [key for key in self.pending_moves if key[0] == of_routers][max_moves:]:
                member, old_cell, new_cell = self.pending_moves.pop(key)
                self.contents_by_cell[new_cell].remove(member)
                self.contents_by_cell[old_cell].add(member)
        self.moves = [
            Move(m.name, m.kind, old_cell, new_cell) for m, old_cell, new_cell in self.pending_moves.values()
        ]

    def _violation(self, cell: int, removed: Stratum | None, added: Stratum | None, of_routers: bool) -> int:
        """Returns by how much a cell violates its bounds, after a change of one member.

        Args:
            cell: Number of the cell that is changed.
            removed: Stratum of the member that it loses, or None if it loses none.
            added: Stratum of the member that it gains, or None if it gains none.
            of_routers: Whether the bounds of routers count, or those of engines.
        """
        contents = self.contents_by_cell[cell]

        def change_of(stratum: Stratum) -> int:
            return (stratum == added) - (stratum == removed)

        if cell in self.draining:
            return sum(contents.count(s) + change_of(s) for s in self.strata if (s[1] == "") == of_routers)
        violation = 0
        for kind in self.kinds:
            if (kind == "") == of_routers:
                change = (added is not None and added[1] == kind) - (
                    removed is not None and removed[1] == kind
                )
                violation += _distance(contents.by_kind[kind] + change, self._kind_bounds_in(contents, kind))
        for stratum in self.strata:
            if (stratum[1] == "") == of_routers:
                violation += _distance(
                    contents.count(stratum) + change_of(stratum), self.stratum_bounds[stratum]
                )
        if not of_routers:
            violation += max(
                contents.engine_count + (added is not None) - (removed is not None) - self.rules.max_engines,
                0,
            )
            for need in self.rules.requirements:
                usable = self._count_engines_in(contents, need)
                usable += added is not None and need.is_met_by(*added)
                usable -= removed is not None and need.is_met_by(*removed)
                violation += MISSING_ENGINE_PENALTY * (usable <= 0)
        return violation

    def _gain(
        self,
        cell: int,
        removed: Stratum | None,
        added: Stratum | None,
        gains: dict[tuple[int, Stratum | None, Stratum | None], int],
    ) -> int:
        """Returns by how much a change of one member lowers a cell's violation of its bounds.

        Args:
            cell: Number of the cell that is changed.
            removed: Stratum of the member that it loses, or None if it loses none.
            added: Stratum of the member that it gains, or None if it gains none.
            gains: Cache of earlier results.
        """
        key = (cell, removed, added)
        if key not in gains:
            stratum = removed or added
            assert stratum is not None
            of_routers = stratum[1] == ""
            gains[key] = self._violation(cell, None, None, of_routers) - self._violation(
                cell, removed, added, of_routers
            )
        return gains[key]

    def _best_move(
        self, strata: list[Stratum], gains: dict[tuple[int, Stratum | None, Stratum | None], int]
    ) -> tuple[Stratum, int, int] | None:
        """The move with the largest gain and, of equal ones, from the fullest to the emptiest cell.

        Returns:
            The stratum, the cell that gives a member and the one that takes it; None if no move gains.
        """
        best: tuple[int, int, Stratum, int, int] | None = None
        for s in strata:
            givers = [cell for cell in (*self.draining, *self.open) if self.contents_by_cell[cell].count(s)]
            if not givers or not self.open:
                continue
            counts = {
                cell: (self.contents_by_cell[cell].by_kind[s[1]], self.contents_by_cell[cell].count(s))
                for cell in self.contents_by_cell
            }
            giver = max(givers, key=lambda c: (self._gain(c, s, None, gains), *counts[c], -c))
            taker = max(
                (cell for cell in self.open if cell != giver),
                key=lambda c: (self._gain(c, None, s, gains), -counts[c][0], -counts[c][1], -c),
                default=-1,
            )
            if taker < 0:
                continue
            gain = self._gain(giver, s, None, gains) + self._gain(taker, None, s, gains)
            row = (gain, counts[giver][0] - counts[taker][0], s, giver, taker)
            if gain > 0 and (best is None or row[:2] > best[:2]):
                best = row
        return best[2:] if best is not None else None

    def _best_swap(
        self, strata: list[Stratum], gains: dict[tuple[int, Stratum | None, Stratum | None], int]
    ) -> tuple[int, int, Stratum, Stratum] | None:
        """The exchange of two members with the largest gain.

        Returns:
            Two cells, the stratum of the member that the first gives, and that of the one it takes; None if
            no exchange gains.
        """
        best: tuple[int, int, int, Stratum, Stratum] | None = None
        for s in strata:
            for t in strata:
                if s == t:
                    continue
                gives = [
                    (self._gain(c, s, t, gains), -c) for c in self.open if self.contents_by_cell[c].count(s)
                ]
                takes = [
                    (self._gain(c, t, s, gains), -c) for c in self.open if self.contents_by_cell[c].count(t)
                ]
                for gain, negative_cell in sorted(gives, reverse=True)[:2]:
                    for other_gain, negative_other in sorted(takes, reverse=True)[:2]:
                        if (
                            negative_cell != negative_other
                            and gain + other_gain > 0
                            and (best is None or gain + other_gain > best[0])
                        ):
                            best = (gain + other_gain, -negative_cell, -negative_other, s, t)
        return best[1:] if best is not None else None

    def _move(
        self,
        stratum: Stratum,
        giver: int,
        taker: int,
        gains: dict[tuple[int, Stratum | None, Stratum | None], int],
    ) -> None:
        """Moves a member of a stratum and forgets the gains of both cells.

        Members that already move come first, then those of the rack of which the giver has the most beyond
        what the taker has.
        """
        of_routers = stratum[1] == ""
        giver_racks, taker_racks = (
            self.contents_by_cell[giver].racks(of_routers),
            self.contents_by_cell[taker].racks(of_routers),
        )
        member = min(
            self.contents_by_cell[giver].by_stratum[stratum].values(),
            key=lambda m: (
                (m.kind is None, m.name) not in self.pending_moves,
                taker_racks[m.rack] - giver_racks[m.rack],
                m.name,
            ),
        )
        self._transfer(member, giver, taker)
        for key in [key for key in gains if key[0] in (giver, taker)]:
            del gains[key]

    def _transfer(self, member: Member, giver: int, taker: int) -> None:
        """Moves a member and records that, unless it is new or back in its old cell."""
        self.contents_by_cell[giver].remove(member)
        self.contents_by_cell[taker].add(member)
        key = member.kind is None, member.name
        if key not in self.old_cells:
            return  # it has no cell in the plan in force: it is placed, not moved
        if self.old_cells[key] == taker:
            self.pending_moves.pop(key, None)
        else:
            self.pending_moves[key] = member, self.old_cells[key], taker

    def _spread_racks(self, strata: list[Stratum], of_routers: bool) -> None:
        """Exchanges members until no rack has most of a cell's routers, or of its engines.

        A cell stays as it is where no other has a member to exchange.
        """
        for cell in self.open:
            while True:
                racks = self.contents_by_cell[cell].racks(of_routers)
                fullest = max(racks, key=lambda rack: (racks[rack], rack), default="")
                if racks.total() < 3 or 2 * racks[fullest] <= racks.total():
                    break
                swap = self._rack_swap(cell, fullest, strata, of_routers)
                if swap is None:
                    break
                own_member, other, other_member = swap
                self._transfer(own_member, cell, other)
                self._transfer(other_member, other, cell)

    def _rack_swap(
        self, cell: int, rack: str, strata: list[Stratum], of_routers: bool
    ) -> tuple[Member, int, Member] | None:
        """Finds an exchange that takes a member of a rack out of a cell.

        Returns:
            That member, the other cell and the member in exchange; None if there is no such exchange.
        """
        for other in self.open:
            other_racks = self.contents_by_cell[other].racks(of_routers)
            if other == cell or 2 * (other_racks[rack] + 1) > other_racks.total():
                continue
            for stratum in strata:
                own_members = [
                    m
                    for m in self.contents_by_cell[cell].by_stratum.get(stratum, {}).values()
                    if m.rack == rack
                ]
                other_members = [
                    m
                    for m in self.contents_by_cell[other].by_stratum.get(stratum, {}).values()
                    if m.rack != rack
                ]
                if own_members and other_members:
                    return (
                        min(own_members, key=lambda m: m.name),
                        other,
                        min(other_members, key=lambda m: m.name),
                    )
        return None

    # Home weights and shortfalls.

    def _ramp_home_weights(self) -> None:
        """Raises the home weight of cells that open and lowers that of cells that close, by steps.

        A cell that opens takes homes once it has enough members. One that closes is removed once it has
        neither homes nor members.
        """
        if self.is_new:
            self.home_weights = dict.fromkeys(self.open, FULL_HOME_WEIGHT)
            return
        remaining = max(math.floor(self.rules.max_moved_share * FULL_HOME_WEIGHT * len(self.cells)), 1)
        for cell in self.open:
            weight = self.home_weights.setdefault(cell, 0)
            if weight < FULL_HOME_WEIGHT and remaining and self._has_enough_members(cell):
                self.home_weights[cell] = weight + 1
                remaining -= 1
        for cell in sorted(self.closing):
            has_others = any(weight for number, weight in self.home_weights.items() if number != cell)
            if self.home_weights[cell] and remaining and has_others:
                self.home_weights[cell] -= 1
                remaining -= 1
        for cell in [c for c in self.draining if not self.contents_by_cell[c].by_kind.total()]:
            self.closing.remove(cell)
            self.cells.remove(cell)
            del self.home_weights[cell]

    def _has_enough_members(self, cell: int) -> bool:
        contents = self.contents_by_cell[cell]
        return all(contents.by_kind[kind] >= low for kind, (low, _) in self.kind_bounds.items())

    def _add_cell_shortfalls(self) -> None:
        for cell in self.open:
            contents = self.contents_by_cell[cell]
            if contents.down_routers and contents.by_kind[""] <= len(contents.down_routers):
                self.shortfalls.append(Shortfall(ShortfallReason.NO_MAJORITY, self.name, cell))
            if (
                contents.by_kind[""] + len(contents.down_routers) > self.rules.max_routers
                or contents.engine_count > self.rules.max_engines
            ):
                self.shortfalls.append(Shortfall(ShortfallReason.OVERFULL, self.name, cell))

    # The part.

    def build_part(self, loans: tuple[Loan, ...]) -> Part:
        """Makes the region's part of the plan.

        Weights of each stratum lead unknown names to cells that are not full. Members whose cell is not the
        one by the hash become exceptions, and so do those for which two cells come close.
        """
        if self.unchanged_part is not None:
            return self.unchanged_part
        rules, cell_index = self.rules, {cell: i for i, cell in enumerate(self.cells)}
        cell_by_member = dict(self.old_cells)
        for cell, contents in self.contents_by_cell.items():
            for members in contents.by_stratum.values():
                cell_by_member.update(
                    {(member.kind is None, member.name): cell for member in members.values()}
                )
        strata: dict[Stratum, tuple[int, ...]] = {}
        for stratum in sorted({(member.zone, member.kind or "") for member in self.members}):
            of_routers = stratum[1] == ""
            maximum = rules.max_routers if of_routers else rules.max_engines
            sizes = [
                self.contents_by_cell[cell].by_kind[""] + len(self.contents_by_cell[cell].down_routers)
                if of_routers
                else self.contents_by_cell[cell].engine_count
                for cell in self.open
            ]
            mean = sum(sizes) / len(sizes)
            weights = [0] * len(self.cells)
            for cell, size in zip(self.open, sizes, strict=True):
                weights[cell_index[cell]] = (
                    0 if size >= maximum else ABOVE_MEAN_WEIGHT if size > math.ceil(mean) else DEFAULT_WEIGHT
                )
            if not any(weights):
                weights = [int(cell in self.open) for cell in self.cells]
            strata[stratum] = tuple(weights)
        exceptions: tuple[dict[str, int], dict[str, int]] = ({}, {})  # of routers, of engines
        zones: dict[int, set[str]] = {cell: set() for cell in self.cells}
        for member in self.members:
            cell = cell_by_member[member.kind is None, member.name]
            if cell not in cell_index:
                continue  # the member is down and its cell was removed: when it returns, the hash places it
            weights = list(strata[member.zone, member.kind or ""])
            prefix = "r:" if member.kind is None else "e:"
            hashed_cell, is_close = rendezvous_hash(prefix + member.name, self.cells, weights)
            if hashed_cell != cell or is_close:
                exceptions[member.kind is not None][member.name] = cell
            zones[cell].add(member.zone)
        cells = tuple(Cell(cell, tuple(sorted(zones[cell])), cell in self.open) for cell in self.cells)
        return Part(cells, strata, exceptions[0], exceptions[1], loans, self.last_split, self.last_merge)

    def is_same_as(self, plan: Plan, part: Part) -> bool:
        """Returns whether nothing that any component acts on differs from the plan in force.

        Members that leave, and other weights for unknown names, are no reason for a new plan.
        """
        old_part = plan.parts[self.name]
        home_weights = next(region.home_weights for region in plan.regions if region.name == self.name)
        return (
            [(cell.number, cell.is_open) for cell in old_part.cells]
            == [(cell.number, cell.is_open) for cell in part.cells]
            and old_part.loans == part.loans
            and tuple(sorted(self.home_weights.items())) == home_weights
        )
