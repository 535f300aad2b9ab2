"""What a deployment tells its routers at start, decoded once: Profile, HouseRules, Fleet, indices of words.

Both platforms read the settings here. Nothing in this file decides, and nothing refers to a wire.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any

from marbleworks.model import Effect, EngineEntry, Fleet, HouseRules, Listed, LoadReport, Profile

EFFECTS = {
    "read_like": Effect.REPLAYABLE,
    "idempotency_key": Effect.UNIQUED,
    "non_idempotent": Effect.NON_REPLAYABLE,
}
REPORT = {"inflight": "inflight", "queue": "waiting", "x0": "memory_granted", "x1": "disks_busy"}


class DeploymentError(Exception):
    """Settings that cannot be read, with the part that is wrong."""


class Deployment:
    """The settings of one router, and the indices of the words they use."""

    def __init__(self, raw: Any) -> None:
        try:
            self._read(raw)
        except KeyError as err:
            raise DeploymentError(f"settings: {err.args[0]} is missing") from None
        except (ValueError, TypeError, AttributeError, IndexError) as err:
            raise DeploymentError(f"settings: {err}") from None

    def _read(self, raw: dict[str, Any]) -> None:
        def index(names: Iterable[str]) -> dict[str, int]:
            return {name: i for i, name in enumerate(names)}

        self.zones = index(raw["zones"])
        self.kinds = index(raw["kinds"])
        self.tenants = index(org["name"] for org in raw.get("orgs", []))
        self.profiles = index(cls["name"] for cls in raw["classes"])
        self.columns: list[str] = list(raw["feedback"]["columns"])
        limits, rules, kind = raw["policy_limits"], raw["rules"], raw["specifics"]
        self.client_timeouts = [cls["deadline_ms"] / 1000.0 for cls in raw["classes"]]
        # For the platform alone: a time that a real network needs and the module does not.
        self.idle_time = limits["idle_close_ms"] / 1000.0

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
            connect_time=limits["connect_timeout_ms"] / 1000.0,
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

    def entry(
        self, be: int, name: str, words: tuple[str, str], cell: int, listed: Listed, started: float
    ) -> EngineEntry:
        """An engine as a list has it; words: its zone and its kind of machine."""
        zone, kind = self.zones.get(words[0], -1), self.kinds.get(words[1], -1)
        return EngineEntry(be, name, zone, kind, cell, listed, started)

    def report(self, values: Mapping[str, str]) -> LoadReport | None:
        """A load report by the names of its columns; None where there is none."""
        if not values:
            return None
        known = {REPORT[name]: float(value) for name, value in values.items() if name in REPORT}
        if not all(0 <= value < math.inf for value in known.values()):
            raise ValueError("a load report out of range")
        return LoadReport(**known)
