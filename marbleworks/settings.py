"""Decodes the settings of a deployment; the only module that knows the names of the settings.

Both platforms, the router on sockets and the simulation, read their settings here. All other modules use the
types of `model.py`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any

from marbleworks.model import (
    UNKNOWN_INDEX,
    DeploymentRules,
    EngineEntry,
    EngineStatus,
    FleetInfo,
    Idempotency,
    IdempotencyScope,
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
    """Settings that cannot be read; the message names the missing or invalid part."""


class Settings:
    """The decoded settings of one router.

    Args:
        raw: the settings as decoded from JSON.

    Attributes:
        zone_index: index of each zone by its name.
        machine_kind_index: index of each machine kind by its name.
        tenant_index: index of each tenant by its name.
        class_index: index of each request class by its name.
        request_classes: the request classes, by index.
        client_timeouts_s: how long clients wait for an answer, by request class.
        load_report_columns: the names of a load report's columns, in order.
        idle_timeout_s: time after which an idle connection to an engine is closed.
        rules: what the deployment requires and permits.
        fleet: what is known about the fleet before any engine list arrives.

    Raises:
        SettingsError: a setting is missing or has an invalid value.
    """

    def __init__(self, raw: Any) -> None:
        try:
            self._read(raw)
        except KeyError as err:
            raise SettingsError(f"settings: {err.args[0]} is missing") from None
        except (ValueError, TypeError, AttributeError, IndexError) as err:
            raise SettingsError(f"settings: {err}") from None

    def _read(self, raw: dict[str, Any]) -> None:
        self.zone_index = _index(raw["zones"])
        self.machine_kind_index = _index(raw["kinds"])
        self.tenant_index = _index(org["name"] for org in raw.get("orgs", []))
        self.class_index = _index(cls["name"] for cls in raw["classes"])
        self.load_report_columns: list[str] = list(raw["feedback"]["columns"])
        self.client_timeouts_s = [cls["deadline_ms"] / 1000.0 for cls in raw["classes"]]
        self.idle_timeout_s = raw["policy_limits"]["idle_close_ms"] / 1000.0
        self.request_classes = [
            self._request_class(cls, raw["specifics"], i) for i, cls in enumerate(raw["classes"])
        ]
        self.rules = _rules(raw)
        self.fleet = self._fleet(raw)

    def _request_class(self, cls: dict[str, Any], specifics: dict[str, Any], i: int) -> RequestClass:
        return RequestClass(
            priority_weight=float(cls["credit"]),
            latency_target_s=cls["slo_ms"] / 1000.0,
            latency_target_growth=float(cls.get("aim_stretch", 0.0)),
            idempotency=IDEMPOTENCY_BY_SETTING[cls["repeat"]],
            idempotency_scope=IdempotencyScope(cls.get("key_scope", "all")),
            idempotency_window_s=cls.get("window_ms", 0.0) / 1000.0,
            ordered_by_key=bool(cls.get("in_order", False)),
            allowed_zones=_indices(cls.get("zones_allowed"), self.zone_index),
            allowed_machine_kinds=_indices(cls.get("allowed_on"), self.machine_kind_index),
            threads=int(specifics["parallelism"][i]),
            is_load=bool(specifics["class_load"][i]),
            waits_for_loads=bool(specifics["class_waits"][i]),
        )

    def _fleet(self, raw: dict[str, Any]) -> FleetInfo:
        specifics = raw["specifics"]
        return FleetInfo(
            router_count=int(raw.get("instances", 0)),
            router_index=int(raw.get("me", UNKNOWN_INDEX)),
            zone=self.zone_index.get(raw.get("az", ""), UNKNOWN_INDEX),
            cores_by_kind=tuple(int(n) for n in specifics["cores_by_kind"]),
            memory_mb_by_kind=tuple(float(n) for n in specifics["memory_by_kind_mb"]),
        )

    def engine_entry(
        self,
        engine_id: int,
        name: str,
        zone_and_kind: tuple[str, str],
        cell: int,
        status: EngineStatus,
        started_at: float,
    ) -> EngineEntry:
        """Returns the entry of an engine from the fields of an engine list.

        Args:
            engine_id: the index assigned to the engine.
            name: its name.
            zone_and_kind: the names of its zone and its machine kind.
            cell: its cell; -1 if the list does not say.
            status: its status in the list.
            started_at: Unix time at which its process started; 0: long ago.
        """
        zone, machine_kind = zone_and_kind
        return EngineEntry(
            engine_id,
            name,
            self.zone_index.get(zone, UNKNOWN_INDEX),
            self.machine_kind_index.get(machine_kind, UNKNOWN_INDEX),
            cell,
            status,
            started_at,
        )

    def load_report(self, values: Mapping[str, str]) -> LoadReport | None:
        """Decodes a load report; returns None if there are no values.

        Args:
            values: the values of the report, by column name.

        Raises:
            ValueError: a value is not a number, is below 0 or is not finite.
        """
        if not values:
            return None
        reported_values = {
            LOAD_REPORT_FIELDS[name]: float(value)
            for name, value in values.items()
            if name in LOAD_REPORT_FIELDS
        }
        if not all(0 <= value < math.inf for value in reported_values.values()):
            raise ValueError("load report out of range: each value must be finite and at least 0")
        return LoadReport(**reported_values)


def _index(names: Iterable[str]) -> dict[str, int]:
    """Returns the index of each name, in the order of the names."""
    return {name: i for i, name in enumerate(names)}


def _indices(names: list[str] | None, index: dict[str, int]) -> tuple[int, ...] | None:
    """Returns the indices of the names; None if there are no names."""
    return None if not names else tuple(index.get(name, UNKNOWN_INDEX) for name in names)


def _rules(raw: dict[str, Any]) -> DeploymentRules:
    limits, rules, specifics = raw["policy_limits"], raw["rules"], raw["specifics"]
    return DeploymentRules(
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
        accepts_memory_grants=bool(specifics["takes_grants"]),
        allows_peer_messages=bool(limits["peers"]),
        allows_probes=bool(limits["probing"]),
        engines_swap=specifics["when_short"] == "swap",
        connect_timeout_s=limits["connect_timeout_ms"] / 1000.0,
        max_retry_after_s=limits["max_retry_after_ms"] / 1000.0 if limits["retry_after"] else 0.0,
        over_quota_weight=float(raw.get("over_share_worth", 1.0)),
        tenant_rates_per_s=tuple(float(org.get("quota_per_s", 0.0)) for org in raw.get("orgs", [])),
    )
