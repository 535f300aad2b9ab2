"""What a deployment tells its routers at start, decoded once: Profile, HouseRules, Fleet, indices of words.

Both platforms read the settings here. Nothing in this file decides, and nothing refers to a wire.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any

from marbleworks.model import (
    DeploymentRules,
    EngineEntry,
    EngineStatus,
    FleetInfo,
    Idempotency,
    LoadReport,
    RequestClass,
)

IDEMPOTENCY_BY_SETTING = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
LOAD_REPORT_FIELDS = {
    "inflight": "in_flight",
    "queue": "waiting_for_memory",
    "x0": "memory_granted",
    "x1": "disks_busy",
}


class SettingsError(Exception):
    """Settings that cannot be read, with the part that is wrong."""


class Settings:
    """The settings of one router, and the indices of the words they use."""

    def __init__(self, raw: Any) -> None:
        try:
            self._read(raw)
        except KeyError as err:
            raise SettingsError(f"settings: {err.args[0]} is missing") from None
        except (ValueError, TypeError, AttributeError, IndexError) as err:
            raise SettingsError(f"settings: {err}") from None

    def _read(self, raw: dict[str, Any]) -> None:
        def index(names: Iterable[str]) -> dict[str, int]:
            return {name: i for i, name in enumerate(names)}

        self.zone_index = index(raw["zones"])
        self.machine_kind_index = index(raw["kinds"])
        self.tenant_index = index(org["name"] for org in raw.get("orgs", []))
        self.class_index = index(cls["name"] for cls in raw["classes"])
        self.load_report_columns: list[str] = list(raw["feedback"]["columns"])
        limits, rules, kind = raw["policy_limits"], raw["rules"], raw["specifics"]
        self.client_timeouts_s = [cls["deadline_ms"] / 1000.0 for cls in raw["classes"]]
        # For the platform alone: a time that a real network needs and the module does not.
        self.idle_timeout_s = limits["idle_close_ms"] / 1000.0

        def allowed(names: list[str] | None, among: dict[str, int]) -> tuple[int, ...] | None:
            return None if not names else tuple(among.get(name, -1) for name in names)

        self.request_classes = [
            RequestClass(
                priority_weight=float(cls["credit"]),
                latency_target_s=cls["slo_ms"] / 1000.0,
                latency_target_growth=float(cls.get("aim_stretch", 0.0)),
                idempotency=IDEMPOTENCY_BY_SETTING[cls["repeat"]],
                idempotency_scope=cls.get("key_scope", "all"),
                idempotency_window_s=cls.get("window_ms", 0.0) / 1000.0,
                ordered_by_key=bool(cls.get("in_order", False)),
                allowed_zones=allowed(cls.get("zones_allowed"), self.zone_index),
                allowed_machine_kinds=allowed(cls.get("allowed_on"), self.machine_kind_index),
                threads=int(kind["parallelism"][i]),
                is_load=bool(kind["class_load"][i]),
                waits_for_loads=bool(kind["class_waits"][i]),
            )
            for i, cls in enumerate(raw["classes"])
        ]
        self.rules = DeploymentRules(
            slow_start_floor=float(rules["start_capacity"]),
            slow_start_s=rules["cold_ms"] / 1000.0,
            overload_multiple=float(rules["fall_multiple"]),
            overload_window_s=rules["fall_ms"] / 1000.0,
            key_settle_s=rules.get("settle_after_doubt_ms", 0.0) / 1000.0,
            retry_budget_floor=float(rules.get("extra_floor", 0.0)),
            retry_budget_ratio=rules.get("repeat_ratio"),
            retry_budget_window_s=rules.get("look_back_ms", 0.0) / 1000.0,
            max_attempts=int(limits["max_attempts"]),
            allows_hedging=bool(limits["second_copies"]),
            allows_cancel=bool(limits["cancel"]),
            accepts_memory_grants=bool(kind["takes_grants"]),
            allows_peer_messages=bool(limits["peers"]),
            allows_probes=bool(limits["probing"]),
            engines_swap=kind["when_short"] == "swap",
            connect_timeout_s=limits["connect_timeout_ms"] / 1000.0,
            max_retry_after_s=limits["max_retry_after_ms"] / 1000.0 if limits["retry_after"] else 0.0,
            over_quota_weight=float(raw.get("over_share_worth", 1.0)),
            tenant_rates_per_s=tuple(float(org.get("quota_per_s", 0.0)) for org in raw.get("orgs", [])),
        )
        self.fleet = FleetInfo(
            router_count=int(raw.get("instances", 0)),
            router_index=int(raw.get("me", -1)),
            zone=self.zone_index.get(raw.get("az", ""), -1),
            cores_by_kind=tuple(int(n) for n in kind["cores_by_kind"]),
            memory_mb_by_kind=tuple(float(n) for n in kind["memory_by_kind_mb"]),
        )

    def engine_entry(
        self, be: int, name: str, words: tuple[str, str], cell: int, listed: EngineStatus, started: float
    ) -> EngineEntry:
        """An engine as a list has it; words: its zone and its kind of machine."""
        zone, kind = self.zone_index.get(words[0], -1), self.machine_kind_index.get(words[1], -1)
        return EngineEntry(be, name, zone, kind, cell, listed, started)

    def load_report(self, values: Mapping[str, str]) -> LoadReport | None:
        """A load report by the names of its columns; None where there is none."""
        if not values:
            return None
        known = {
            LOAD_REPORT_FIELDS[name]: float(value)
            for name, value in values.items()
            if name in LOAD_REPORT_FIELDS
        }
        if not all(0 <= value < math.inf for value in known.values()):
            raise ValueError("a load report out of range")
        return LoadReport(**known)
