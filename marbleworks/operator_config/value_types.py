"""The types that a setting may have: how its words become a value, its units, and how a value is written
back.

Nothing here knows a setting by name. Values are floats in base units (bytes, seconds, bytes a second, parts
of one), ints, texts or bools.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from marbleworks.operator_config.sexpr import Atom, ConfigSyntaxError, Form

SIZES = {
    "B": 1.0,
    "KB": 1e3,
    "MB": 1e6,
    "GB": 1e9,
    "TB": 1e12,
    "KiB": 1024.0,
    "MiB": 1024.0**2,
    "GiB": 1024.0**3,
}
SPANS = {"ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
PACES = {f"{unit}/s": value for unit, value in SIZES.items()}


class ValueType(Enum):
    """What a value is, and the units it is written in."""

    SIZE = "size"
    SPAN = "time"
    PACE = "bytes a second"
    SHARE = "share"
    COUNT = "whole number"
    RATIO = "number"
    TEXT = "text"
    SWITCH = "on or off"
    GROUP = "settings in parentheses"

    @property
    def units(self) -> dict[str, float]:
        return {
            ValueType.SIZE: SIZES,
            ValueType.SPAN: SPANS,
            ValueType.PACE: PACES,
            ValueType.SHARE: {"%": 0.01},
        }.get(self, {})

    @property
    def example(self) -> str:
        return {
            ValueType.SIZE: "a size such as 2 GB",
            ValueType.SPAN: "a time such as 10 min",
            ValueType.PACE: "a pace such as 4 KB/s",
            ValueType.SHARE: "a share such as 25 %",
            ValueType.COUNT: "a whole number",
            ValueType.RATIO: "a number",
            ValueType.TEXT: "a text in quotes",
            ValueType.SWITCH: "on or off",
            ValueType.GROUP: "settings in parentheses",
        }[self]

    def written(self, value: Any) -> str:
        """The value as the file would have it, in the largest unit that fits."""
        if value is None:
            return "none"
        if self is ValueType.TEXT:
            return f'"{value}"'
        if self is ValueType.SWITCH:
            return "on" if value else "off"
        if self in (ValueType.COUNT, ValueType.RATIO):
            return f"{value:g}" if self is ValueType.RATIO else str(int(value))
        fits = [
            (size, unit) for unit, size in self.units.items() if value >= size and not unit.endswith("iB")
        ]
        size, unit = max(fits, default=min((size, unit) for unit, size in self.units.items()))
        if self is ValueType.SPAN and unit == "min" and value % 60:
            size, unit = 1.0, "s"
        return f"{value / size:g} {unit}"


@dataclass(frozen=True)
class Setting:
    """One setting: its type, bounds, default (None: must be given, unless optional) and meaning.

    live: a reload takes it over; else it needs a restart. by: the file may have it once for each such thing,
    named by a text before the value; the value read is then a dict. inner: of a group, each with a default;
    its value is a dict of theirs, of which fit says what was expected where they don't go together."""

    name: str
    kind: ValueType
    meaning: str
    default: Any = None
    least: float = 0.0
    most: float = math.inf
    live: bool = False
    by: str = ""
    check: Callable[[str], str | None] | None = None  # of a text, or of what it is by: what was expected
    inner: tuple[Setting, ...] = ()
    fit: Callable[[dict[str, Any]], str | None] | None = None

    @property
    def bounds(self) -> str:
        if self.kind in (ValueType.TEXT, ValueType.SWITCH, ValueType.GROUP):
            return ""
        most = self.kind.written(self.most) if self.most < math.inf else ""
        return (
            f"{self.kind.written(self.least)} to {most}"
            if most
            else f"{self.kind.written(self.least)} or more"
        )

    def read(self, form: Form) -> tuple[str, Any]:
        """The thing it is for ('' without by) and the value; raises Misread with the place."""
        parts, of = list(form.parts), ""
        if self.by:
            first = parts.pop(0) if parts else None
            if not isinstance(first, Atom) or not first.quoted or not first.text:
                raise ConfigSyntaxError(
                    form.line, form.column, f"expected a {self.by} in quotes after '{self.name}'"
                )
            of = first.text
            if self.check is not None and (expected := self.check(of)):
                raise ConfigSyntaxError(first.line, first.column, f"expected {expected} for '{self.name}'")
        if self.inner:
            return of, self._group(form, parts)
        atoms = [part for part in parts if isinstance(part, Atom)]
        if not atoms or len(atoms) < len(parts):
            raise ConfigSyntaxError(form.line, form.column, f"expected {self.kind.example} for '{self.name}'")
        value, used = self._value(atoms)
        if len(atoms) > used:
            extra = atoms[used]
            raise ConfigSyntaxError(
                extra.line, extra.column, f"expected ')' after the value of '{self.name}'"
            )
        return of, value

    def _group(self, form: Form, parts: list[Atom | Form]) -> dict[str, Any]:
        values = {setting.name: setting.default for setting in self.inner}
        for part in parts:
            setting = next((s for s in self.inner if isinstance(part, Form) and s.name == part.name), None)
            if setting is None or not isinstance(part, Form):
                names = ", ".join(s.name for s in self.inner)
                raise ConfigSyntaxError(
                    part.line, part.column, f"expected a setting of {names} in '{self.name}'"
                )
            values[setting.name] = setting.read(part)[1]
        if self.fit is not None and (expected := self.fit(values)):
            raise ConfigSyntaxError(form.line, form.column, f"expected {expected} in '{self.name}'")
        return values

    def _value(self, atoms: list[Atom]) -> tuple[Any, int]:
        first = atoms[0]
        wrong = ConfigSyntaxError(first.line, first.column, f"expected {self.kind.example} for '{self.name}'")
        if self.kind is ValueType.TEXT:
            if not first.quoted:
                raise wrong
            if self.check is not None and (expected := self.check(first.text)):
                raise ConfigSyntaxError(first.line, first.column, f"expected {expected} for '{self.name}'")
            return first.text, 1
        if self.kind is ValueType.SWITCH:
            if first.text not in ("on", "off") or first.quoted:
                raise wrong
            return first.text == "on", 1
        if first.number is None:
            raise wrong
        value, used = first.number, 1
        if self.kind is ValueType.COUNT:
            if value != int(value):
                raise wrong
            value = int(value)
        elif self.kind is not ValueType.RATIO:
            unit = atoms[1] if len(atoms) > 1 else None
            if unit is None or unit.quoted or unit.text not in self.kind.units:
                at = unit or first
                units = ", ".join(self.kind.units)
                raise ConfigSyntaxError(at.line, at.column, f"expected a unit of {units} for '{self.name}'")
            value, used = value * self.kind.units[unit.text], 2
        if not self.least <= value <= self.most:
            raise ConfigSyntaxError(first.line, first.column, f"expected {self.bounds} for '{self.name}'")
        return value, used


@dataclass(frozen=True)
class Section:
    """What one subsystem may be told."""

    name: str
    meaning: str
    settings: tuple[Setting, ...] = field(default_factory=tuple)

    def __getitem__(self, name: str) -> Setting | None:
        return next((setting for setting in self.settings if setting.name == name), None)
