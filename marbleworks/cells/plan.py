"""The numbered plan: which cell each router, engine and table group belongs to. No I/O, no clock.

The module has the plan's encoding with its digest and MAC, and the rule by which a name finds its cell:
weighted rendezvous hashing, with exceptions for names that the plan places itself. One name and one plan
always give the same cell. A plan is refused if it is damaged, forged, older than the present one, or another
one with the same number. docs/design/cells.md has the design.
"""

from __future__ import annotations

import hashlib
import hmac
import math
import zlib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from functools import cached_property
from typing import Any

import msgpack
import xxhash

FORMAT_VERSION = 1  # version of the encoding
MAX_PLAN_BYTES = 1 << 22
CELL_NUMBER_LIMIT = 1 << 16  # exclusive bound of cell numbers
NUMBER_LIMIT = 1 << 40  # exclusive bound of the numbers of plans and table groups
FULL_HOME_WEIGHT = 4  # home weight of a cell that is neither opening nor closing
SHARE_UNITS = 10_000  # sum of the regions' shares of all homes
WEIGHT_LIMIT = 1 << 16  # exclusive bound of a stratum's weights
SCORE_TOLERANCE = 1e-9  # relative; math libraries may differ in the order of two scores that are closer
MAC_BYTES, DIGEST_BYTES = 32, 16
MIN_KEY_BYTES = 16


class PlanError(Exception):
    """A plan can't be read, is inconsistent, or lacks a name's zone; the message says why, in one line."""


@dataclass(frozen=True, slots=True)
class Cell:
    """One cell of a region.

    Attributes:
        number: Number of the cell, unique in the fleet and never used again.
        zones: Zones that its routers and engines are in.
        is_open: Whether names that the plan does not know may be placed there. A cell that closes has a
            weight of 0 for them.
    """

    number: int
    zones: tuple[str, ...]
    is_open: bool = True


@dataclass(frozen=True, slots=True)
class Loan:
    """Requests of a class that come to a cell without an engine for them and go to another cell.

    Attributes:
        cell: Number of the cell that they come to.
        request_class: The request class.
        lender: Number of the cell that they go to.
    """

    cell: int
    request_class: str
    lender: int


@dataclass(frozen=True)
class Part:
    """The part of a plan that belongs to one region.

    Attributes:
        cells: Cells of the region, by ascending number.
        strata: A weight for each of `cells`, by zone and kind of engine, or zone and "" for routers.
        router_exceptions: Cells of routers that are placed as exceptions to the hash, by name.
        engine_exceptions: Cells of engines that are placed as exceptions to the hash, by name.
        loans: Loans to the region's cells.
        last_split: Number of the plan in which the region last gained cells, or 0 if it never did.
        last_merge: Number of the plan in which the region last began to close cells, or 0 if it never did.
    """

    cells: tuple[Cell, ...]
    strata: Mapping[tuple[str, str], tuple[int, ...]]
    router_exceptions: Mapping[str, int]
    engine_exceptions: Mapping[str, int]
    loans: tuple[Loan, ...] = ()
    last_split: int = 0
    last_merge: int = 0

    @cached_property
    def cell_numbers(self) -> tuple[int, ...]:
        """Numbers of the region's cells."""
        return tuple(cell.number for cell in self.cells)

    @cached_property
    def default_weights(self) -> tuple[int, ...]:
        """Weights of the cells for a zone and kind that the plan does not know."""
        return tuple(int(cell.is_open) for cell in self.cells)

    @cached_property
    def encoded(self) -> bytes:
        """The part in its canonical encoding."""
        zones = sorted(
            {zone for cell in self.cells for zone in cell.zones} | {zone for zone, _ in self.strata}
        )
        zone_index = {zone: i for i, zone in enumerate(zones)}

        def names_by_cell(cell_by_name: Mapping[str, int]) -> list[Any]:
            by_cell: dict[int, list[str]] = {}
            for name in sorted(cell_by_name):
                by_cell.setdefault(cell_by_name[name], []).append(name)
            return [[cell, by_cell[cell]] for cell in sorted(by_cell)]

        return _pack(
            {
                0: zones,
                1: [
                    [cell.number, [zone_index[zone] for zone in cell.zones], int(cell.is_open)]
                    for cell in self.cells
                ],
                2: [
                    [zone_index[zone], kind, list(self.strata[zone, kind])]
                    for zone, kind in sorted(self.strata)
                ],
                3: names_by_cell(self.router_exceptions),
                4: names_by_cell(self.engine_exceptions),
                5: [[loan.cell, loan.request_class, loan.lender] for loan in self.loans],
                6: self.last_split,
                7: self.last_merge,
            }
        )

    @classmethod
    def decode(cls, data: bytes) -> Part:
        """Decodes a part.

        Raises:
            PlanError: The part is damaged, not in canonical form or inconsistent.
        """
        with _wrap_decode_errors():
            raw = msgpack.unpackb(data, strict_map_key=False)
            zones = [_checked_text(zone) for zone in raw[0]]
            cells = tuple(
                Cell(
                    _checked_int(number, CELL_NUMBER_LIMIT),
                    tuple(zones[_checked_int(z, len(zones))] for z in zone_indices),
                    is_open == 1,
                )
                for number, zone_indices, is_open in raw[1]
            )
            strata = {
                (zones[_checked_int(zone, len(zones))], _checked_text(kind)): tuple(
                    _checked_int(w, WEIGHT_LIMIT) for w in weights
                )
                for zone, kind, weights in raw[2]
            }
            routers, engines = (
                {
                    _checked_text(name): _checked_int(cell, CELL_NUMBER_LIMIT)
                    for cell, names in raw[key]
                    for name in names
                }
                for key in (3, 4)
            )
            loans = tuple(
                Loan(
                    _checked_int(c, CELL_NUMBER_LIMIT),
                    _checked_text(p),
                    _checked_int(lender, CELL_NUMBER_LIMIT),
                )
                for c, p, lender in raw[5]
            )
            part = cls(
                cells,
                strata,
                routers,
                engines,
                loans,
                _checked_int(raw[6], NUMBER_LIMIT),
                _checked_int(raw[7], NUMBER_LIMIT),
            )
            if part.encoded != data:
                raise PlanError("plan: it is not in canonical form")
        part.check()
        return part

    def check(self) -> None:
        """Checks that the part is consistent.

        Raises:
            PlanError: The part is inconsistent.
        """
        numbers = set(self.cell_numbers)
        if (
            not self.cells
            or len(numbers) < len(self.cells)
            or list(self.cell_numbers) != sorted(self.cell_numbers)
        ):
            raise PlanError("plan: a region must have at least one cell, each once and by ascending number")
        if not any(self.default_weights):
            raise PlanError("plan: a region has no open cell; at least one is required")
        for weights in self.strata.values():
            if len(weights) != len(self.cells) or not any(weights):
                raise PlanError("plan: a stratum must have one weight for each cell, at least one above 0")
        if not numbers.issuperset((*self.router_exceptions.values(), *self.engine_exceptions.values())):
            raise PlanError("plan: a name is placed in a cell that its region does not have")
        if not numbers.issuperset(loan.cell for loan in self.loans):
            raise PlanError("plan: a loan is to a cell that its region does not have")


@dataclass(frozen=True)
class Region:
    """The data of a region that every router has.

    Attributes:
        name: The region's name.
        zones: The region's zones.
        share: The region's share of all homes, in units of 1/SHARE_UNITS. It must never change while the
            fleet runs (docs/design/cells.md).
        home_weights: Number and home weight of each of its cells, 0 to FULL_HOME_WEIGHT.
        part_digest: Digest of the region's Part.
    """

    name: str
    zones: tuple[str, ...]
    share: int
    home_weights: tuple[tuple[int, int], ...]
    part_digest: bytes


@dataclass(frozen=True)
class Plan:
    """A plan, or an excerpt of it: the header and some regions' parts.

    Attributes:
        number: Number of the plan; a later plan has a higher one.
        settings_digest: Digest of the settings and rules that the plan was made for.
        max_routers: Maximum number of routers in a cell; guaranteed quotas are divided by it.
        next_cell: The lowest number that no cell has had.
        regions: All regions, by name.
        parts: The regions' parts, by name of the region.
        pinned_homes: Cells of table groups whose home is not found by the hash.
    """

    number: int
    settings_digest: int
    max_routers: int
    next_cell: int
    regions: tuple[Region, ...]
    parts: Mapping[str, Part]
    pinned_homes: Mapping[int, int]

    @classmethod
    def build(
        cls,
        number: int,
        settings_digest: int,
        max_routers: int,
        next_cell: int,
        regions: Iterable[tuple[str, tuple[str, ...], int, Sequence[tuple[int, int]], Part]],
        pinned_homes: Mapping[int, int] | None = None,
    ) -> Plan:
        """Makes a whole plan.

        Args:
            number: Number of the plan.
            settings_digest: Digest of the settings and rules that the plan is made for.
            max_routers: Maximum number of routers in a cell.
            next_cell: The lowest number that no cell has had.
            regions: Name, zones, share, home weights and Part of each region.
            pinned_homes: Cells of table groups whose home is not found by the hash.

        Raises:
            PlanError: The plan would be inconsistent.
        """
        parts, heads = {}, []
        for name, zones, share, home_weights, part in sorted(regions, key=lambda row: row[0]):
            part.check()
            parts[name] = part
            heads.append(
                Region(name, tuple(sorted(zones)), share, tuple(home_weights), _digest(part.encoded))
            )
        plan = cls(
            number, settings_digest, max_routers, next_cell, tuple(heads), parts, dict(pinned_homes or {})
        )
        plan.check()
        return plan

    def check(self) -> None:
        """Checks that the plan is consistent.

        Raises:
            PlanError: The plan is inconsistent.
        """
        zones = [zone for region in self.regions for zone in region.zones]
        numbers = [number for region in self.regions for number, _ in region.home_weights]
        if not self.regions or len(set(zones)) < len(zones) or len(set(numbers)) < len(numbers):
            raise PlanError("plan: it must have at least one region, and no zone or cell in two of them")
        if len({region.name for region in self.regions}) < len(self.regions):
            raise PlanError("plan: two regions have the same name")
        if any(not any(weight for _, weight in region.home_weights) for region in self.regions):
            raise PlanError("plan: a region has no cell with a home weight above 0")
        if not any(region.share for region in self.regions):
            raise PlanError("plan: the regions' shares of the homes are all 0")
        if self.max_routers < 1 or max(numbers) >= self.next_cell:
            raise PlanError("plan: the most routers of a cell, or the next cell's number, is out of range")
        for group, cell in self.pinned_homes.items():
            if self.region_of_cell(cell) != self.home_region(group).name:
                raise PlanError("plan: a table group is pinned to a cell outside its home region")
        for region in self.regions:
            part = self.parts.get(region.name)
            if part is not None and part.cell_numbers != tuple(number for number, _ in region.home_weights):
                raise PlanError("plan: the home weights of a region are not those of its cells")
            if part is not None and not set(region.zones).issuperset(zone for zone, _ in part.strata):
                raise PlanError("plan: a stratum is of a zone that its region does not have")

    # Placement of names.

    def region_of_zone(self, zone: str) -> Region:
        """The region of a zone.

        Raises:
            PlanError: No region has the zone.
        """
        region = self._by_zone.get(zone)
        if region is None:
            raise PlanError(f"plan {self.number}: no region has zone '{zone[:40]}'")
        return region

    def part_of_zone(self, zone: str) -> Part:
        """The part of a zone's region.

        Raises:
            PlanError: No region has the zone, or this excerpt lacks the region's part.
        """
        region = self.region_of_zone(zone)
        if region.name not in self.parts:
            raise PlanError(f"plan {self.number}: this excerpt lacks the part of region '{region.name}'")
        return self.parts[region.name]

    def cell_of(self, name: str, zone: str, kind: str | None) -> int:
        """The cell of a router or engine, by its name and the plan alone.

        Args:
            name: Name of the router or engine.
            zone: Zone of the router or engine.
            kind: Kind of the engine, or None for a router.

        Raises:
            PlanError: No region has the zone, or this excerpt lacks the region's part.
        """
        part = self.part_of_zone(zone)
        exception = (part.router_exceptions if kind is None else part.engine_exceptions).get(name)
        return exception if exception is not None else self.hashed_cell(name, zone, kind)[0]

    def hashed_cell(self, name: str, zone: str, kind: str | None) -> tuple[int, bool]:
        """The cell of a router or engine by the hash alone.

        Args:
            name: Name of the router or engine.
            zone: Zone of the router or engine.
            kind: Kind of the engine, or None for a router.

        Returns:
            The cell, and whether another has so close a score that the plan should place the name as an
                exception.

        Raises:
            PlanError: No region has the zone, or this excerpt lacks the region's part.
        """
        part = self.part_of_zone(zone)
        weights = part.strata.get((zone, kind or ""), part.default_weights)
        return rendezvous_hash(("r:" if kind is None else "e:") + name, part.cell_numbers, weights)

    def home_region(self, group: int) -> Region:
        """The region of a table group's home, by the regions' shares alone.

        These never change, so that a home stays in its region.
        """
        salt, _ = rendezvous_hash(f"h:{group}", self._region_salts, [region.share for region in self.regions])
        return self.regions[self._region_salts.index(salt)]

    def home(self, group: int) -> int:
        """The one cell that takes a table group's loads."""
        pinned = self.pinned_homes.get(group)
        if pinned is not None:
            return pinned
        region = self.home_region(group)
        numbers = [number for number, _ in region.home_weights]
        return rendezvous_hash(f"h:{group}", numbers, [weight for _, weight in region.home_weights])[0]

    def region_of_cell(self, cell: int) -> str | None:
        """Returns the name of a cell's region, or None if there is no such cell."""
        return self._by_cell.get(cell)

    @cached_property
    def _region_salts(self) -> tuple[int, ...]:
        """Numbers that stand for the regions in the hash.

        They come from the names, so that a new region that sorts first moves nobody's home.
        """
        return tuple(zlib.crc32(region.name.encode()) for region in self.regions)

    @cached_property
    def _by_zone(self) -> dict[str, Region]:
        return {zone: region for region in self.regions for zone in region.zones}

    @cached_property
    def _by_cell(self) -> dict[int, str]:
        return {number: region.name for region in self.regions for number, _ in region.home_weights}

    # The encoding.

    @cached_property
    def header(self) -> bytes:
        """The encoded header, the part of the plan that every router has."""
        return _pack(
            {
                0: self.number,
                1: self.settings_digest,
                2: self.max_routers,
                3: self.next_cell,
                4: [
                    [r.name, list(r.zones), r.share, [list(home) for home in r.home_weights], r.part_digest]
                    for r in self.regions
                ],
                5: [[group, self.pinned_homes[group]] for group in sorted(self.pinned_homes)],
            }
        )

    @cached_property
    def digest(self) -> bytes:
        """The digest of the whole plan, also in an excerpt: the header has the digest of every part."""
        return _digest(self.header)

    def excerpt(self, region: str) -> Plan:
        """Returns the excerpt that a router of a region needs: the header and the region's part.

        It has the digest of the whole plan, and the MAC of the whole plan is valid for it.

        Raises:
            PlanError: the plan lacks the region's part.
        """
        if region not in self.parts:
            raise PlanError(f"plan {self.number}: it has no part of region '{region[:40]}'")
        parts = {region: self.parts[region]}
        return Plan(
            self.number,
            self.settings_digest,
            self.max_routers,
            self.next_cell,
            self.regions,
            parts,
            self.pinned_homes,
        )

    def mac(self, key: bytes) -> bytes:
        """The MAC of the header."""
        return _mac(self.header, key)

    def encode(self, key: bytes) -> bytes:
        """Encodes the plan.

        Args:
            key: Key of MIN_KEY_BYTES or more, known to all that make or read plans.
        """
        return self.encode_with_mac(self.mac(key))

    def encode_with_mac(self, mac: bytes) -> bytes:
        """Encodes the plan with the MAC that came with it: passing on an excerpt needs no key."""
        parts = {name: self.parts[name].encoded for name in sorted(self.parts)}
        return _pack({0: FORMAT_VERSION, 1: mac, 2: self.header, 3: parts})

    @classmethod
    def decode(cls, data: bytes, keys: Sequence[bytes]) -> Plan:
        """Decodes a plan and checks its MAC.

        Args:
            data: The plan as encoded by `encode` or `encode_with_mac`.
            keys: The key in use and, during a change of keys, the other one.

        Raises:
            PlanError: The plan is damaged, forged, not in canonical form or inconsistent, or the keys are
                unusable.
        """
        if len(data) > MAX_PLAN_BYTES:
            raise PlanError(f"plan: longer than {MAX_PLAN_BYTES} bytes")
        if not 1 <= len(keys) <= 2 or any(len(key) < MIN_KEY_BYTES for key in keys):
            raise PlanError(f"plan: one or two keys of at least {MIN_KEY_BYTES} bytes are required")
        with _wrap_decode_errors():
            envelope = msgpack.unpackb(data, strict_map_key=False)
            if envelope[0] != FORMAT_VERSION:
                raise PlanError(
                    f"plan: format version {str(envelope[0])[:20]} is unknown; expected {FORMAT_VERSION}"
                )
            mac, header, parts = envelope[1], envelope[2], envelope[3]
            if not (isinstance(mac, bytes) and isinstance(header, bytes) and isinstance(parts, dict)):
                raise TypeError
            # The header is decoded only after this check: a forged one costs one MAC for each key.
            if not any(hmac.compare_digest(_mac(header, key), mac) for key in keys):
                raise PlanError("plan: its MAC matches none of our keys, or its header is damaged")
            raw = msgpack.unpackb(header, strict_map_key=False)
            regions = tuple(_region(row) for row in raw[4])
            part_digests = {region.name: region.part_digest for region in regions}
            for name, part in parts.items():
                # The MAC covers the header, which has the digest of each part.
                if not isinstance(part, bytes) or part_digests.get(name) != _digest(part):
                    raise PlanError(
                        f"plan: the part of region '{str(name)[:40]}' is damaged, or is not of this plan"
                    )
            plan = cls(
                _checked_int(raw[0], NUMBER_LIMIT),
                _checked_int(raw[1], 1 << 32),
                _checked_int(raw[2], CELL_NUMBER_LIMIT),
                _checked_int(raw[3], CELL_NUMBER_LIMIT + 1),
                regions,
                {name: Part.decode(part) for name, part in parts.items()},
                {
                    _checked_int(group, NUMBER_LIMIT): _checked_int(cell, CELL_NUMBER_LIMIT)
                    for group, cell in raw[5]
                },
            )
            if plan.header != header or plan.encode_with_mac(mac) != data:
                raise PlanError("plan: it is not in canonical form")
        plan.check()
        return plan


def _region(row: Any) -> Region:
    """Decodes a region of the header."""
    name, zones, share, home_weights, digest = row
    if not isinstance(digest, bytes) or len(digest) != DIGEST_BYTES:
        raise ValueError
    weights = tuple(
        (_checked_int(number, CELL_NUMBER_LIMIT), _checked_int(weight, FULL_HOME_WEIGHT + 1))
        for number, weight in home_weights
    )
    return Region(
        _checked_text(name),
        tuple(_checked_text(zone) for zone in zones),
        _checked_int(share, SHARE_UNITS + 1),
        weights,
        digest,
    )


def rendezvous_hash(name: str, numbers: Sequence[int], weights: Sequence[int]) -> tuple[int, bool]:
    """Weighted rendezvous hashing of a name.

    After Thaler and Ravishankar, with the logarithm of Schindelhauer and Schomaker: the number with the least
    -ln(u) / weight is chosen, where u is a hash of the name and the number. A changed weight moves names to
    or from its own number alone.

    Args:
        name: Name to place.
        numbers: Numbers to choose from.
        weights: Weight of each of the numbers; one of weight 0 is never chosen.

    Returns:
        The number, and whether the score of the next one is within SCORE_TOLERANCE.

    Raises:
        ValueError: All weights are 0.
    """
    # Of equal weights the highest hash has the least score, so that only the two highest need a logarithm.
    data, tops = name.encode(), dict[int, tuple[int, int, int]]()  # highest, its number, second, by weight
    for number, weight in zip(numbers, weights, strict=True):
        if not weight:
            continue
        hashed = xxhash.xxh3_64_intdigest(data, number) >> 12
        top = tops.get(weight)
        if top is None:
            tops[weight] = hashed, number, -1
        elif hashed > top[0]:
            tops[weight] = hashed, number, top[0]
        elif hashed > top[2]:
            tops[weight] = top[0], top[1], hashed
    scores = sorted(
        (-math.log((hashed + 0.5) * 2.0**-52) / weight, number)
        for weight, (highest, number, second) in tops.items()
        for hashed, number in ((highest, number), (second, CELL_NUMBER_LIMIT))
        if hashed >= 0
    )
    if not scores:
        raise ValueError(f"rendezvous hashing of '{name}': all weights are 0; one above 0 is required")
    return scores[0][1], len(scores) > 1 and scores[1][0] - scores[0][0] <= SCORE_TOLERANCE * scores[0][0]


class RejectionReason(Enum):
    """Why an offered plan was not adopted; each is counted."""

    SAME = "the one we have"
    OLDER = "older than ours"
    NUMBER_TAKEN = "another plan has its number"
    TOO_FAR_AHEAD = "its number is too far ahead"
    OTHER_SETTINGS = "made for other regions or settings"
    SHARES_CHANGED = "it shares the homes out among regions anew"
    OTHER_REGION = "it says nothing of our zone"
    OTHER_CELL = "it has us in another cell"


@dataclass(frozen=True)
class Adopted:
    """The offered plan is valid here and newer than the present one."""

    plan: Plan


@dataclass(frozen=True)
class Rejected:
    """The present plan, or the cell assigned by it, stays.

    Attributes:
        reason: Why the plan or cell was rejected.
        message: Message for the log, in one line.
    """

    reason: RejectionReason
    message: str


def adopt(
    current: Plan | None, offered: Plan, settings_digest: int, zone: str, max_number_step: int
) -> Adopted | Rejected:
    """Decides whether a plan that was read is adopted.

    Args:
        current: The plan in force, or None if there is none yet.
        offered: The offered plan.
        settings_digest: Digest of this router's settings (`planner.revision.Rules.digest`).
        zone: Zone of this router.
        max_number_step: Most by which the offered number may exceed the current one. After a plan whose
            number is far ahead, all that follow would be older.
    """

    def rejected(reason: RejectionReason) -> Rejected:
        present = f"; the present plan is {current.number}" if current is not None else ""
        return Rejected(reason, f"plan {offered.number} not adopted: {reason.value}{present}")

    if current is not None and offered.number == current.number:
        # Of two plans with one number the first is kept; a third with a higher number has to replace both.
        return rejected(
            RejectionReason.SAME if offered.digest == current.digest else RejectionReason.NUMBER_TAKEN
        )
    if current is not None and offered.number < current.number:
        return rejected(RejectionReason.OLDER)
    if current is not None and offered.number > current.number + max_number_step:
        return rejected(RejectionReason.TOO_FAR_AHEAD)
    if offered.settings_digest != settings_digest:
        return rejected(RejectionReason.OTHER_SETTINGS)
    if current is not None and _shares(current) != _shares(offered):
        return rejected(RejectionReason.SHARES_CHANGED)
    try:
        offered.part_of_zone(zone)
    except PlanError:
        return rejected(RejectionReason.OTHER_REGION)
    return Adopted(offered)


def _shares(plan: Plan) -> dict[str, int]:
    return {region.name: region.share for region in plan.regions if region.share}


def check_assigned_cell(plan: Plan, name: str, zone: str, cell: int) -> Rejected | None:
    """Compares a router's assigned cell with its cell by the plan, which takes precedence.

    Args:
        plan: The plan in force.
        name: Name of the router.
        zone: Zone of the router.
        cell: The assigned cell.

    Returns:
        None if both are the same.

    Raises:
        PlanError: No region has the zone, or this excerpt lacks the region's part.
    """
    planned_cell = plan.cell_of(name, zone, None)
    if planned_cell == cell:
        return None
    return Rejected(
        RejectionReason.OTHER_CELL,
        f"told to be in cell {cell}, but by plan {plan.number} this router is in cell {planned_cell}",
    )


def _pack(value: Any) -> bytes:
    data: bytes = msgpack.packb(value)
    return data


def _digest(data: bytes) -> bytes:
    return hashlib.sha256(data).digest()[:DIGEST_BYTES]


def _mac(header: bytes, key: bytes) -> bytes:
    return hmac.digest(key, b"marbleworks plan %d\n" % FORMAT_VERSION + header, "sha256")


@contextmanager
def _wrap_decode_errors() -> Iterator[None]:
    """Raises whatever decoding fails with as a PlanError of one line."""
    try:
        yield
    except PlanError:
        raise
    except Exception as err:
        problem = "a value is out of range" if isinstance(err, ValueError | TypeError) else "it is incomplete"
        raise PlanError(f"plan: it is damaged, or {problem}") from None


def _checked_text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > 256:
        raise ValueError
    return value


def _checked_int(value: Any, limit: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < limit:
        raise ValueError
    return value
