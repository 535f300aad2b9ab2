"""The numbered plan: which cell each router, engine and table group belongs to. No I/O, no clock.

It owns the plan's form, its bytes with digest and MAC, and the rule by which a name finds its cell (weighted
rendezvous hashing, and names that are placed apart from it). It must never give two answers for one name and
one plan, and never take a plan that is torn, forged, older, or one of two with one number.
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

FORM = 1  # of the bytes
MOST = 1 << 22  # bytes of a plan
MOST_CELL = 1 << 16  # cells are numbered below it
HIGHEST = 1 << 40  # of a plan's number
FULL = 4  # home weight of a cell that neither opens nor closes
WHOLE = 10_000  # into which the regions' shares of all homes are divided
MOST_WEIGHT = 1 << 16
CLOSE = 1e-9  # two scores nearer than this, as a part, may come out in another order at another libm
MAC, DIGEST = 32, 16  # bytes
LEAST_KEY = 16  # bytes


class PlanError(Exception):
    """Why a plan can't be read, or says nothing of a name: one plain line."""


@dataclass(frozen=True, slots=True)
class Cell:
    """zones: that its routers and engines are in. open: whether names that the plan doesn't know may be
    placed there; a cell that closes has a weight of 0 for them."""

    number: int
    zones: tuple[str, ...]
    open: bool = True


@dataclass(frozen=True, slots=True)
class Loan:
    """Commands of that profile which come to `cell`, where no engine may take them, go to `lender`."""

    cell: int
    profile: str
    lender: int


@dataclass(frozen=True)
class Part:
    """What the plan says of one region. strata: for each zone and kind of engine (kind "": its routers), a
    weight for each of `cells`. routers, engines: names that are placed apart from the hash. split, merged:
    numbers of the plans in which the region's cells last grew and last shrank in number; 0: never."""

    cells: tuple[Cell, ...]
    strata: Mapping[tuple[str, str], tuple[int, ...]]
    routers: Mapping[str, int]
    engines: Mapping[str, int]
    loans: tuple[Loan, ...] = ()
    split: int = 0
    merged: int = 0

    @cached_property
    def numbers(self) -> tuple[int, ...]:
        return tuple(cell.number for cell in self.cells)

    @cached_property
    def even(self) -> tuple[int, ...]:
        """Weights for a zone and a kind of which the plan knows nothing."""
        return tuple(int(cell.open) for cell in self.cells)

    @cached_property
    def data(self) -> bytes:
        zones = sorted(
            {zone for cell in self.cells for zone in cell.zones} | {zone for zone, _ in self.strata}
        )
        at = {zone: i for i, zone in enumerate(zones)}

        def placed(names: Mapping[str, int]) -> list[Any]:
            by_cell: dict[int, list[str]] = {}
            for name in sorted(names):
                by_cell.setdefault(names[name], []).append(name)
            return [[cell, by_cell[cell]] for cell in sorted(by_cell)]

        return _packed(
            {
                0: zones,
                1: [[cell.number, [at[zone] for zone in cell.zones], int(cell.open)] for cell in self.cells],
                2: [[at[zone], kind, list(self.strata[zone, kind])] for zone, kind in sorted(self.strata)],
                3: placed(self.routers),
                4: placed(self.engines),
                5: [[loan.cell, loan.profile, loan.lender] for loan in self.loans],
                6: self.split,
                7: self.merged,
            }
        )

    @classmethod
    def read(cls, data: bytes) -> Part:
        """Raises PlanError."""
        with _strictly():
            raw = msgpack.unpackb(data, strict_map_key=False)
            zones = [_text(zone) for zone in raw[0]]
            cells = tuple(
                Cell(
                    _below(number, MOST_CELL),
                    tuple(zones[_below(z, len(zones))] for z in there),
                    is_open == 1,
                )
                for number, there, is_open in raw[1]
            )
            strata = {
                (zones[_below(zone, len(zones))], _text(kind)): tuple(_below(w, MOST_WEIGHT) for w in weights)
                for zone, kind, weights in raw[2]
            }
            routers, engines = (
                {_text(name): _below(cell, MOST_CELL) for cell, names in raw[key] for name in names}
                for key in (3, 4)
            )
            loans = tuple(
                Loan(_below(c, MOST_CELL), _text(p), _below(lender, MOST_CELL)) for c, p, lender in raw[5]
            )
            part = cls(
                cells, strata, routers, engines, loans, _below(raw[6], HIGHEST), _below(raw[7], HIGHEST)
            )
            if part.data != data:
                raise PlanError("plan: not in its one form")
        part.check()
        return part

    def check(self) -> None:
        """Raises PlanError where the parts don't go together."""
        numbers = set(self.numbers)
        if not self.cells or len(numbers) < len(self.cells) or list(self.numbers) != sorted(self.numbers):
            raise PlanError("plan: a region's cells are none, double or out of order")
        if not any(self.even):
            raise PlanError("plan: a region without an open cell")
        for weights in self.strata.values():
            if len(weights) != len(self.cells) or not any(weights):
                raise PlanError("plan: a stratum whose weights are not those of its cells")
        if not numbers.issuperset((*self.routers.values(), *self.engines.values())):
            raise PlanError("plan: a name placed in a cell that its region lacks")
        if not numbers.issuperset(loan.cell for loan in self.loans):
            raise PlanError("plan: a loan to a cell that its region lacks")


@dataclass(frozen=True)
class Region:
    """What every router knows of each region. share: of all homes, in parts of WHOLE; it must never change
    while the fleet runs (docs/design/cells.md). homes: the home weight of each of its cells, 0 to FULL.
    digest: of its Part."""

    name: str
    zones: tuple[str, ...]
    share: int
    homes: tuple[tuple[int, int], ...]
    digest: bytes


@dataclass(frozen=True)
class Plan:
    """A plan, or an excerpt of it: the head and some regions' parts. settings: digest of the settings and
    rules it was made for. places: the most routers that a cell may have, by which bases are divided. fresh:
    the lowest number that no cell has had. pinned: table groups whose home is not by the hash."""

    number: int
    settings: int
    places: int
    fresh: int
    regions: tuple[Region, ...]
    parts: Mapping[str, Part]
    pinned: Mapping[int, int]

    @classmethod
    def made(
        cls,
        number: int,
        settings: int,
        places: int,
        fresh: int,
        regions: Iterable[tuple[str, tuple[str, ...], int, Sequence[tuple[int, int]], Part]],
        pinned: Mapping[int, int] | None = None,
    ) -> Plan:
        """regions: name, zones, share, home weights and Part of each. Raises PlanError."""
        parts, heads = {}, []
        for name, zones, share, homes, part in sorted(regions, key=lambda row: row[0]):
            part.check()
            parts[name] = part
            heads.append(Region(name, tuple(sorted(zones)), share, tuple(homes), _digest(part.data)))
        plan = cls(number, settings, places, fresh, tuple(heads), parts, dict(pinned or {}))
        plan.check()
        return plan

    def check(self) -> None:
        zones = [zone for region in self.regions for zone in region.zones]
        numbers = [number for region in self.regions for number, _ in region.homes]
        if not self.regions or len(set(zones)) < len(zones) or len(set(numbers)) < len(numbers):
            raise PlanError("plan: a zone or a cell in two regions, or no region")
        if len({region.name for region in self.regions}) < len(self.regions):
            raise PlanError("plan: a region twice")
        if any(not any(weight for _, weight in region.homes) for region in self.regions):
            raise PlanError("plan: a region without a cell that is a home")
        if not any(region.share for region in self.regions):
            raise PlanError("plan: no region has a share of the homes")
        if self.places < 1 or max(numbers) >= self.fresh:
            raise PlanError("plan: places or the next cell's number out of range")
        for group, cell in self.pinned.items():
            if self.region_of_cell(cell) != self.home_region(group).name:
                raise PlanError("plan: a home in a cell that its region lacks")
        for region in self.regions:
            part = self.parts.get(region.name)
            if part is not None and part.numbers != tuple(number for number, _ in region.homes):
                raise PlanError("plan: a region's homes are not those of its cells")
            if part is not None and not set(region.zones).issuperset(zone for zone, _ in part.strata):
                raise PlanError("plan: a stratum of a zone that its region lacks")

    # Where a name belongs.

    def region_of(self, zone: str) -> Region:
        """Raises PlanError."""
        region = self._by_zone.get(zone)
        if region is None:
            raise PlanError(f"plan {self.number}: no region has zone '{zone[:40]}'")
        return region

    def part_of(self, zone: str) -> Part:
        """Raises PlanError, also where this excerpt lacks the zone's region."""
        region = self.region_of(zone)
        if region.name not in self.parts:
            raise PlanError(f"plan {self.number}: this excerpt is without region '{region.name}'")
        return self.parts[region.name]

    def cell_of(self, name: str, zone: str, kind: str | None) -> int:
        """The cell of an engine of that kind, or of a router (None), by name and plan alone. Raises
        PlanError where no region has the zone, or this excerpt is without it."""
        part = self.part_of(zone)
        apart = (part.routers if kind is None else part.engines).get(name)
        return apart if apart is not None else self.hashed(name, zone, kind)[0]

    def hashed(self, name: str, zone: str, kind: str | None) -> tuple[int, bool]:
        """The cell by the hash alone, and whether another came so close that the plan should place the name
        apart. Raises PlanError."""
        part = self.part_of(zone)
        weights = part.strata.get((zone, kind or ""), part.even)
        return rendezvous(("r:" if kind is None else "e:") + name, part.numbers, weights)

    def home_region(self, group: int) -> Region:
        """By the regions' shares alone, which never change: a home stays in its region."""
        salt, _ = rendezvous(f"h:{group}", self._salts, [region.share for region in self.regions])
        return self.regions[self._salts.index(salt)]

    def home(self, group: int) -> int:
        """The one cell that takes a table group's loads."""
        pinned = self.pinned.get(group)
        if pinned is not None:
            return pinned
        region = self.home_region(group)
        numbers = [number for number, _ in region.homes]
        return rendezvous(f"h:{group}", numbers, [weight for _, weight in region.homes])[0]

    def region_of_cell(self, cell: int) -> str | None:
        return self._by_cell.get(cell)

    @cached_property
    def _salts(self) -> tuple[int, ...]:
        """By their names, so that a region that is named first moves nobody's home."""
        return tuple(zlib.crc32(region.name.encode()) for region in self.regions)

    @cached_property
    def _by_zone(self) -> dict[str, Region]:
        return {zone: region for region in self.regions for zone in region.zones}

    @cached_property
    def _by_cell(self) -> dict[int, str]:
        return {number: region.name for region in self.regions for number, _ in region.homes}

    # Its bytes.

    @cached_property
    def head(self) -> bytes:
        return _packed(
            {
                0: self.number,
                1: self.settings,
                2: self.places,
                3: self.fresh,
                4: [
                    [r.name, list(r.zones), r.share, [list(home) for home in r.homes], r.digest]
                    for r in self.regions
                ],
                5: [[group, self.pinned[group]] for group in sorted(self.pinned)],
            }
        )

    @cached_property
    def digest(self) -> bytes:
        """Of the whole plan, also where this is an excerpt: the head has the digest of every part."""
        return _digest(self.head)

    def excerpt(self, region: str) -> Plan:
        """What a router of that region needs: the head, and its region's part. It has the whole's digest, and
        the whole's MAC is good for it. Raises PlanError."""
        if region not in self.parts:
            raise PlanError(f"plan {self.number}: no part of region '{region[:40]}'")
        parts = {region: self.parts[region]}
        return Plan(self.number, self.settings, self.places, self.fresh, self.regions, parts, self.pinned)

    def mac(self, key: bytes) -> bytes:
        return _mac(self.head, key)

    def write(self, key: bytes) -> bytes:
        """key: LEAST_KEY bytes or more, known to whoever may make plans and whoever reads them."""
        return self.sealed(self.mac(key))

    def sealed(self, mac: bytes) -> bytes:
        """With a MAC that came with the plan: who hands an excerpt on needs no key."""
        parts = {name: self.parts[name].data for name in sorted(self.parts)}
        return _packed({0: FORM, 1: mac, 2: self.head, 3: parts})

    @classmethod
    def read(cls, data: bytes, keys: Sequence[bytes]) -> Plan:
        """keys: the one in use and, while it is being changed, the other. Raises PlanError."""
        if len(data) > MOST:
            raise PlanError(f"plan: more than {MOST} bytes")
        if not 1 <= len(keys) <= 2 or any(len(key) < LEAST_KEY for key in keys):
            raise PlanError(f"plan: one or two keys of at least {LEAST_KEY} bytes are wanted")
        with _strictly():
            outer = msgpack.unpackb(data, strict_map_key=False)
            if outer[0] != FORM:
                raise PlanError(f"plan: of form {str(outer[0])[:20]}, not {FORM}")
            mac, head, parts = outer[1], outer[2], outer[3]
            if not (isinstance(mac, bytes) and isinstance(head, bytes) and isinstance(parts, dict)):
                raise TypeError
            # Nothing of the head is looked at before this: a forger's head costs one MAC for each key.
            if not any(hmac.compare_digest(_mac(head, key), mac) for key in keys):
                raise PlanError("plan: its MAC is by none of our keys, or its head is torn")
            raw = msgpack.unpackb(head, strict_map_key=False)
            regions = tuple(_region(row) for row in raw[4])
            wanted = {region.name: region.digest for region in regions}
            for name, part in parts.items():
                # The MAC is over the head, which binds each part by its digest.
                if not isinstance(part, bytes) or wanted.get(name) != _digest(part):
                    raise PlanError(
                        f"plan: the part of region '{str(name)[:40]}' is torn, or not of this plan"
                    )
            plan = cls(
                _below(raw[0], HIGHEST),
                _below(raw[1], 1 << 32),
                _below(raw[2], MOST_CELL),
                _below(raw[3], MOST_CELL + 1),
                regions,
                {name: Part.read(part) for name, part in parts.items()},
                {_below(group, HIGHEST): _below(cell, MOST_CELL) for group, cell in raw[5]},
            )
            if plan.head != head or plan.sealed(mac) != data:
                raise PlanError("plan: not in its one form")
        plan.check()
        return plan


def _region(row: Any) -> Region:
    name, zones, share, homes, digest = row
    if not isinstance(digest, bytes) or len(digest) != DIGEST:
        raise ValueError
    weights = tuple((_below(number, MOST_CELL), _below(weight, FULL + 1)) for number, weight in homes)
    return Region(
        _text(name), tuple(_text(zone) for zone in zones), _below(share, WHOLE + 1), weights, digest
    )


def rendezvous(name: str, numbers: Sequence[int], weights: Sequence[int]) -> tuple[int, bool]:
    """Weighted rendezvous hashing (Thaler and Ravishankar; the logarithm is Schindelhauer and Schomaker's):
    of `numbers`, the one whose -ln(u) / weight is least, u drawn from the name and the number. A weight that
    changes moves names to or from that number alone. Also whether the next came within CLOSE. ValueError
    where all weights are 0."""
    # Of equal weights the score is least where what is drawn is highest: logarithms only for the highest.
    data, tops = name.encode(), dict[int, tuple[int, int, int]]()  # by weight: highest, its number, second
    for number, weight in zip(numbers, weights, strict=True):
        if not weight:
            continue
        drawn = xxhash.xxh3_64_intdigest(data, number) >> 12
        top = tops.get(weight)
        if top is None:
            tops[weight] = drawn, number, -1
        elif drawn > top[0]:
            tops[weight] = drawn, number, top[0]
        elif drawn > top[2]:
            tops[weight] = top[0], top[1], drawn
    scores = sorted(
        (-math.log((drawn + 0.5) * 2.0**-52) / weight, number)
        for weight, (first, number, second) in tops.items()
        for drawn, number in ((first, number), (second, MOST_CELL))
        if drawn >= 0
    )
    if not scores:
        raise ValueError(f"no weight above 0 for {name}")
    return scores[0][1], len(scores) > 1 and scores[1][0] - scores[0][0] <= CLOSE * scores[0][0]


class Reason(Enum):
    """Why an offered plan was not adopted; each is counted."""

    SAME = "the one we have"
    OLDER = "older than ours"
    DOUBLE = "another plan has its number"
    JUMP = "its number is too far ahead"
    SETTINGS = "made for other regions or settings"
    SHARES = "it shares the homes out among regions anew"
    NOT_OURS = "it says nothing of our zone"
    ELSEWHERE = "it has us in another cell"


@dataclass(frozen=True)
class Adopted:
    plan: Plan


@dataclass(frozen=True)
class Kept:
    """We stay with what we have; line: for the log."""

    reason: Reason
    line: str


def adopt(current: Plan | None, offered: Plan, settings: int, zone: str, jump: int) -> Adopted | Kept:
    """Whether a plan that was read is taken. settings: digest of ours (terms.Rules.digest). zone: ours. jump:
    how far ahead of ours a number may be; one that is further would make all that come after it older."""

    def kept(reason: Reason) -> Kept:
        ours = f"; ours is {current.number}" if current is not None else ""
        return Kept(reason, f"plan {offered.number} not adopted: {reason.value}{ours}")

    if current is not None and offered.number == current.number:
        # Of two with one number the first is kept: who made both must make a third with a higher one.
        return kept(Reason.SAME if offered.digest == current.digest else Reason.DOUBLE)
    if current is not None and offered.number < current.number:
        return kept(Reason.OLDER)
    if current is not None and offered.number > current.number + jump:
        return kept(Reason.JUMP)
    if offered.settings != settings:
        return kept(Reason.SETTINGS)
    if current is not None and _shares(current) != _shares(offered):
        return kept(Reason.SHARES)
    try:
        offered.part_of(zone)
    except PlanError:
        return kept(Reason.NOT_OURS)
    return Adopted(offered)


def _shares(plan: Plan) -> dict[str, int]:
    return {region.name: region.share for region in plan.regions if region.share}


def told(plan: Plan, name: str, zone: str, cell: int) -> Kept | None:
    """None where a router of that name and zone, told that it is in `cell`, is there by the plan. Else the
    word is dropped: the plan holds. Raises PlanError where the plan says nothing of the zone."""
    ours = plan.cell_of(name, zone, None)
    if ours == cell:
        return None
    return Kept(Reason.ELSEWHERE, f"told to be in cell {cell}, but plan {plan.number} has us in cell {ours}")


def _packed(value: Any) -> bytes:
    data: bytes = msgpack.packb(value)
    return data


def _digest(data: bytes) -> bytes:
    return hashlib.sha256(data).digest()[:DIGEST]


def _mac(head: bytes, key: bytes) -> bytes:
    return hmac.digest(key, b"marbleworks plan %d\n" % FORM + head, "sha256")


@contextmanager
def _strictly() -> Iterator[None]:
    """Whatever msgpack, a number or a shape objects to is a PlanError of one line."""
    try:
        yield
    except PlanError:
        raise
    except Exception as err:
        what = "a value out of range" if isinstance(err, ValueError | TypeError) else "not whole"
        raise PlanError(f"plan: torn, or {what}") from None


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > 256:
        raise ValueError
    return value


def _below(value: Any, below: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < below:
        raise ValueError
    return value
