"""The simulator's wire: its words and units turned into ours, and ours into its own."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Iterator
from typing import Any

from marbleworks.interface import Effect, Ending, EngineEntry, Fleet, HouseRules, Listed, LoadReport, Profile

EFFECTS = {
    "read_like": Effect.REPLAYABLE,
    "idempotency_key": Effect.UNIQUED,
    "non_idempotent": Effect.NON_REPLAYABLE,
}
ENDINGS = {
    "app_error": Ending.ERRED,
    "shed": Ending.TURNED_AWAY,
    "expired": Ending.SILENT,
    "dial_failed": Ending.UNREACHED,
    "dropped": Ending.CUT_OFF,
    "revoked": Ending.CANCELLED,
    "unused": Ending.UNUSED,
}
LISTED = {"IN": Listed.UP, "LAME": Listed.DRAINING, "OUT": Listed.GONE}
REPORT = {"inflight": "inflight", "queue": "waiting", "x0": "memory_granted", "x1": "disks_busy"}


class WireError(Exception):
    """A line that cannot be read, with the part that is wrong."""


class Line:
    """One line of the wire: its name, and its parts by name."""

    def __init__(self, text: str) -> None:
        self.name, _, rest = text.rstrip("\n").partition("\t")
        if self.name == "provision":  # the settings run to the end of the line
            rest, _, self.tail = rest.partition("profile_data=")
        self.parts: dict[str, str] = {}
        for part in rest.split("\t"):
            if part:
                key, eq, value = part.partition("=")
                if not eq:
                    raise WireError(f"{self.name}: {part[:40]!r} is not name=value")
                self.parts[key] = value

    def text(self, key: str) -> str:
        try:
            return self.parts[key]
        except KeyError:
            raise WireError(f"{self.name}: {key} is missing") from None

    def number(self, key: str, absent: float | None = None) -> float:
        if absent is not None and key not in self.parts:
            return absent
        try:
            value = float(self.text(key))
        except ValueError:
            raise WireError(f"{self.name}: {key}={self.parts[key][:40]!r} is not a number") from None
        if not math.isfinite(value):
            raise WireError(f"{self.name}: {key} is not finite")
        return value

    def seconds(self, key: str, absent: float | None = None) -> float:
        return self.number(key, absent) / 1000.0

    def whole(self, key: str, absent: int | None = None) -> int:
        if absent is not None and key not in self.parts:
            return absent
        try:
            return int(self.text(key))
        except ValueError:
            raise WireError(f"{self.name}: {key}={self.parts[key][:40]!r} is not a whole number") from None

    def choice(self, key: str, among: dict[str, Any]) -> Any:
        try:
            return among[self.text(key)]
        except KeyError:
            raise WireError(f"{self.name}: {key}={self.parts[key][:40]!r} is not known") from None


class Deployment:
    """The settings of one router, and the indices of the words they use."""

    def __init__(self, text: str) -> None:
        try:
            raw = json.loads(text)
            self._read(raw)
        except KeyError as err:
            raise WireError(f"provision: profile_data: {err.args[0]} is missing") from None
        except (ValueError, TypeError, AttributeError) as err:
            raise WireError(f"provision: profile_data: {err}") from None

    def _read(self, raw: dict[str, Any]) -> None:
        def index(names: Iterable[str]) -> dict[str, int]:
            return {name: i for i, name in enumerate(names)}

        self.zones = index(raw["zones"])
        self.kinds = index(raw["kinds"])
        self.tenants = index(org["name"] for org in raw.get("orgs", []))
        self.profiles = index(cls["name"] for cls in raw["classes"])
        self.columns = [REPORT.get(name) for name in raw["feedback"]["columns"]]
        limits, rules, kind = raw["policy_limits"], raw["rules"], raw["specifics"]

        def allowed(names: list[str] | None, among: dict[str, int]) -> tuple[int, ...] | None:
            return None if not names else tuple(among.get(name, -1) for name in names)

        self.profile_list = [
            Profile(
                benefit=float(cls["credit"]),
                target=cls["slo_ms"] / 1000.0,
                stretch=float(cls.get("aim_stretch", 0.0)),
                effect=EFFECTS[cls["repeat"]],
                scope=cls.get("key_scope", "all"),
                window=cls.get("window_ms", 0.0) / 1000.0,
                in_order=bool(cls.get("in_order", False)),
                zones=allowed(cls.get("zones_allowed"), self.zones),
                kinds=allowed(cls.get("allowed_on"), self.kinds),
                threads=int(kind["parallelism"][i]),
                loads=bool(kind["class_load"][i]),
                waits=bool(kind["class_waits"][i]),
            )
            for i, cls in enumerate(raw["classes"])
        ]
        self.rules = HouseRules(
            cold_floor=float(rules["start_capacity"]),
            cold_time=rules["cold_ms"] / 1000.0,
            cold_multiple=float(rules["fall_multiple"]),
            cold_span=rules["fall_ms"] / 1000.0,
            key_rest=rules.get("settle_after_doubt_ms", 0.0) / 1000.0,
            extra_floor=float(rules.get("extra_floor", 0.0)),
            extra_share=rules.get("repeat_ratio"),
            extra_window=rules.get("look_back_ms", 0.0) / 1000.0,
            max_sends=int(limits["max_attempts"]),
            copies=bool(limits["second_copies"]),
            cancels=bool(limits["cancel"]),
            grants=bool(kind["takes_grants"]),
            peers=bool(limits["peers"]),
            probes=bool(limits["probing"]),
            pages=kind["when_short"] == "swap",
            come_back=limits["max_retry_after_ms"] / 1000.0 if limits["retry_after"] else 0.0,
            over_share=float(raw.get("over_share_worth", 1.0)),
            tenant_rates=tuple(float(org.get("quota_per_s", 0.0)) for org in raw.get("orgs", [])),
        )
        self.fleet = Fleet(
            routers=int(raw.get("instances", 0)),
            me=int(raw.get("me", -1)),
            zone=self.zones.get(raw.get("az", ""), -1),
            cores=tuple(int(n) for n in kind["cores_by_kind"]),
            memory=tuple(float(n) for n in kind["memory_by_kind_mb"]),
        )

    def entry(self, line: Line, be: int) -> EngineEntry:
        return EngineEntry(
            be=be,
            name=line.text("engine"),
            zone=self.zones.get(line.parts.get("site", ""), -1),
            kind=self.kinds.get(line.parts.get("machine", ""), -1),
            cell=line.whole("cohort", -1),
            listed=line.choice("availability", LISTED),
            started=line.seconds("started_at_ms", 0.0),
        )

    def report(self, line: Line) -> LoadReport | None:
        row = line.parts.get("pressure", "")
        if not row:
            return None
        try:
            values = [float(value) for value in row.split(",")]
        except ValueError:
            raise WireError(f"{line.name}: pressure={row[:40]!r} is not a row of numbers") from None
        if not all(math.isfinite(value) for value in values):
            raise WireError(f"{line.name}: pressure is not finite")
        named = zip(self.columns, values, strict=False)
        return LoadReport(**{name: value for name, value in named if name is not None})


def need(line: Line) -> tuple[float, float] | None:
    """Work in seconds and memory in megabytes that an answered command needed, where told."""
    told = line.whole("true_cost", 0)
    return (told // 4096 / 1000.0, told % 4096 * 4.0) if told else None


def batches(lines: Iterable[str]) -> Iterator[tuple[float, str, list[Line]]]:
    """Clock, frame number and events of each batch."""
    frame, now, inside = "?", 0.0, False
    events: list[Line] = []
    for text in lines:
        try:
            line = Line(text)
            if line.name == "batch":
                if inside:
                    raise WireError("batch: the one before has no flush")
                inside, events, frame = True, [], "?"
                line.whole("frame")
                frame = line.text("frame")
                now = line.seconds("sim_time_ms")
            elif not inside:
                if text.strip():
                    raise WireError(f"{line.name[:40]}: outside a batch")
            elif line.name == "flush":
                inside = False
                yield now, frame, events
            else:
                events.append(line)
        except WireError as err:
            raise WireError(f"batch {frame}: {err}") from None
    if inside:
        raise WireError(f"batch {frame}: input ends before flush")


def action(name: str, **parts: Any) -> str:
    """One line of a reply; parts that are None are left out."""
    fields = [f"{key}={value}" for key, value in parts.items() if value is not None]
    return "\t".join([name, *fields])


def ms(seconds: float) -> str:
    return f"{seconds * 1000.0:.3f}"
