"""Settings of a small deployment, in the form of the simulator's first message."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from harness.directory import KIND


@dataclass(frozen=True)
class RequestClass:
    """One request class.

    Attributes:
        repeat: Effect of a repeat: `read_like`, `idempotency_key` or `non_idempotent`.
        deadline_ms: How long clients wait.
        is_load: Whether it holds its group of tables while it runs.
        threads: Threads that a request runs on.
        target_ms: Its latency target.
        allowed_on: The kinds of machines that it may be sent to; empty for all.
    """

    name: str
    repeat: str
    deadline_ms: float
    is_load: bool = False
    threads: int = 1
    target_ms: float = 1000.0
    allowed_on: tuple[str, ...] = ()


def settings(
    classes: list[RequestClass], cores: int = 12, second_copies: bool = True, kinds: tuple[str, ...] = (KIND,)
) -> dict[str, Any]:
    """Returns the settings of a deployment with one zone and one router; machines of all kinds are alike."""
    return {
        "az": "hall-a",
        "zones": ["hall-a"],
        "kinds": list(kinds),
        "instances": 1,
        "me": 0,
        "classes": [_class_settings(request_class) for request_class in classes],
        "orgs": [{"name": "acme", "quota_per_s": 200.0, "share": 1.0}],
        "over_share_worth": 0.2,
        "feedback": {"columns": [], "source": "silent"},
        "policy_limits": {
            "cancel": True,
            "connect_timeout_ms": 250.0,
            "idle_close_ms": 30000.0,
            "max_attempts": 3,
            "max_retry_after_ms": 2000.0,
            "peers": False,
            "probing": False,
            "retry_after": True,
            "second_copies": second_copies,
        },
        "rules": {
            "cold_ms": 14000.0,
            "extra_floor": 2.0,
            "fall_ms": 2000.0,
            "fall_multiple": 4.0,
            "grace_to_answer_ms": 20.0,
            "look_back_ms": 10000.0,
            "repeat_ratio": 0.2,
            "start_capacity": 0.35,
            "stop_sending_within_ms": 2000.0,
        },
        "specifics": {
            "class_load": [request_class.is_load for request_class in classes],
            "class_waits": [False for _ in classes],
            "parallelism": [request_class.threads for request_class in classes],
            "cores_by_kind": [cores for _ in kinds],
            "memory_by_kind_mb": [24576.0 for _ in kinds],
            "takes_grants": False,
            "when_short": "queue",
            "tells_every_ms": 0.0,
        },
    }


def _class_settings(request_class: RequestClass) -> dict[str, Any]:
    allowed_on = {"allowed_on": list(request_class.allowed_on)} if request_class.allowed_on else {}
    return {
        **allowed_on,
        "name": request_class.name,
        "repeat": request_class.repeat,
        "key_scope": "all",
        "window_ms": 5000.0,
        "credit": 6.0 if request_class.is_load else 1.0,
        "deadline_ms": request_class.deadline_ms,
        "slo_ms": request_class.target_ms,
        "aim_stretch": 2.0,
        "late_worth": 0.3,
        "stream": False,
    }
