"""Settings of a small deployment, in the form of the simulator's first message."""

from __future__ import annotations

from typing import Any


def request_class(name: str, repeat: str, **changes: Any) -> dict[str, Any]:
    """Returns the settings of a request class.

    Args:
        name: Name of the class.
        repeat: The effect of a repeat, as the settings spell it.
        **changes: Values that differ from the usual ones.
    """
    usual = {
        "name": name,
        "repeat": repeat,
        "key_scope": "all",
        "window_ms": 15000.0,
        "credit": 1.0,
        "deadline_ms": 6000.0,
        "slo_ms": 1200.0,
        "aim_stretch": 2.0,
        "late_worth": 0.3,
        "stream": False,
    }
    return usual | changes


def deployment_settings(
    classes: list[dict[str, Any]], zones: list[str], loads: list[str], routers: int = 1
) -> dict[str, Any]:
    """Returns the settings of a deployment.

    Args:
        classes: The request classes.
        zones: The zones; the router is in the first.
        loads: Names of the classes that hold their table group while they run.
        routers: Number of routers.
    """
    is_load = [settings["name"] in loads for settings in classes]
    return {
        "az": zones[0],
        "zones": zones,
        "kinds": ["std"],
        "instances": routers,
        "me": 0,
        "classes": classes,
        "orgs": [{"name": "acme", "quota_per_s": 200.0, "share": 1.0}],
        "feedback": {"columns": [], "source": "silent"},
        "policy_limits": {
            "cancel": True,
            "connect_timeout_ms": 250.0,
            "idle_close_ms": 30000.0,
            "max_attempts": 5,
            "max_retry_after_ms": 2000.0,
            "peers": False,
            "probing": False,
            "retry_after": True,
            "second_copies": True,
        },
        "rules": {
            "cold_ms": 15000.0,
            "fall_ms": 1000.0,
            "fall_multiple": 4.0,
            "grace_to_answer_ms": 20.0,
            "start_capacity": 0.31,
            "stop_sending_within_ms": 2000.0,
        },
        "specifics": {
            "class_load": is_load,
            "class_waits": [not load for load in is_load],
            "parallelism": [2 if load else 1 for load in is_load],
            "cores_by_kind": [12],
            "memory_by_kind_mb": [24576.0],
            "takes_grants": False,
            "when_short": "queue",
            "tells_every_ms": 0.0,
        },
    }
