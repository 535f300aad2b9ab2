"""The section `background` of the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from marbleworks.operator_config.value_types import Section, Setting, ValueType

BACKGROUND_SECTION = Section(
    "background",
    "chores beside the commands: expiry, compaction, checkpoints, scrubbing",
    (
        Setting(
            "core",
            ValueType.SHARE,
            "The part of the core that chores may use.",
            0.1,
            0.01,
            0.5,
            reloadable=True,
        ),
        Setting(
            "bytes", ValueType.RATE, "Bytes that chores may read and write.", 20e6, 1e5, 2e9, reloadable=True
        ),
        Setting(
            "patience",
            ValueType.DURATION,
            "After this long a chore goes although the desk is behind.",
            10.0,
            0.1,
            600.0,
            reloadable=True,
        ),
    ),
)


@dataclass(frozen=True, slots=True)
class BackgroundOptions:
    """What the operator allows background tasks.

    Attributes:
        core_share: share of the router's core.
        bytes_per_s: bytes that they read and write a second.
        max_wait_s: a task that has waited so long runs although the router is busy.
    """

    core_share: float
    bytes_per_s: float
    max_wait_s: float

    @classmethod
    def from_section(cls, values: Mapping[str, Any]) -> BackgroundOptions:
        """Reads the section's checked values."""
        return cls(core_share=values["core"], bytes_per_s=values["bytes"], max_wait_s=values["patience"])
