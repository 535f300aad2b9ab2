"""The types of settings: how values are read from the file, their units, and how values are formatted.

This module depends on no particular setting. Values are floats in base units (bytes, seconds, bytes per
second, or a fraction of 1 for shares), ints, strings or bools.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from marbleworks.operator_config.sexpr import Atom, Form

SIZE_UNITS = {
    "B": 1.0,
    "KB": 1e3,
    "MB": 1e6,
    "GB": 1e9,
    "TB": 1e12,
    "KiB": 1024.0,
    "MiB": 1024.0**2,
    "GiB": 1024.0**3,
}
DURATION_UNITS = {"ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
RATE_UNITS = {f"{unit}/s": value for unit, value in SIZE_UNITS.items()}
SHARE_UNITS = {"%": 0.01}


class ValueType(Enum):
    """The type of a setting's value."""

    SIZE = "size"
    DURATION = "time"
    RATE = "bytes a second"
    SHARE = "share"
    COUNT = "whole number"
    NUMBER = "number"
    TEXT = "text"
    BOOLEAN = "on or off"
    GROUP = "settings in parentheses"

    @property
    def units(self) -> dict[str, float]:
        """The units of the type, each with its value in the base unit; empty if values have no unit."""
        return _UNITS.get(self, {})

    @property
    def example(self) -> str:
        """An example of a value, for error messages."""
        return _EXAMPLES[self]

    def format_value(self, value: Any) -> str:
        """Formats a value as it is written in the file, in the largest decimal unit that does not exceed it.

        A duration that is not a whole number of minutes, but shorter than an hour, is given in seconds.
        """
        if value is None:
            return "none"
        if self is ValueType.TEXT:
            return f'"{value}"'
        if self is ValueType.BOOLEAN:
            return "on" if value else "off"
        if self is ValueType.NUMBER:
            return f"{value:g}"
        if self is ValueType.COUNT:
            return str(int(value))
        return self._format_with_unit(value)

    def _format_with_unit(self, value: float) -> str:
        smallest = min((size, unit) for unit, size in self.units.items())
        fitting = [
            (size, unit) for unit, size in self.units.items() if value >= size and not unit.endswith("iB")
        ]
        size, unit = max(fitting, default=smallest)
        if self is ValueType.DURATION and unit == "min" and value % 60:
            size, unit = 1.0, "s"
        return f"{value / size:g} {unit}"


_UNITS = {
    ValueType.SIZE: SIZE_UNITS,
    ValueType.DURATION: DURATION_UNITS,
    ValueType.RATE: RATE_UNITS,
    ValueType.SHARE: SHARE_UNITS,
}
_EXAMPLES = {
    ValueType.SIZE: "a size such as 2 GB",
    ValueType.DURATION: "a time such as 10 min",
    ValueType.RATE: "a rate such as 4 KB/s",
    ValueType.SHARE: "a share such as 25 %",
    ValueType.COUNT: "a whole number",
    ValueType.NUMBER: "a number",
    ValueType.TEXT: "a text in quotes",
    ValueType.BOOLEAN: "on or off",
    ValueType.GROUP: "settings in parentheses",
}


class KeyedValue(NamedTuple):
    """A setting's value, with its key if the setting is keyed; otherwise the key is empty."""

    key: str
    value: Any


class ParsedAtoms(NamedTuple):
    """A value and the number of atoms that it was read from."""

    value: Any
    atom_count: int


@dataclass(frozen=True)
class Setting:
    """One setting of a section.

    Attributes:
        name: name in the file.
        value_type: type of the value.
        description: meaning, printed by `marbleworks settings`.
        default: value if the file does not have the setting; None if the file must have it.
        minimum: smallest allowed value of a number, in base units.
        maximum: largest allowed value of a number, in base units.
        reloadable: whether a reload applies a new value; otherwise a change needs a restart.
        key_kind: kind of key, such as a tenant, of a setting that may be given once for each key. The key is
            a text before the value, and the section's value is a dict. Empty for other settings.
        check_text: returns what was expected instead of a text or a key; None if the text is valid.
        group: the settings of a group, each with a default; the value is a dict keyed by setting name.
        check_group: returns what was expected instead of the group's values; None if they are valid together.
    """

    name: str
    value_type: ValueType
    description: str
    default: Any = None
    minimum: float = 0.0
    maximum: float = math.inf
    reloadable: bool = False
    key_kind: str = ""
    check_text: Callable[[str], str | None] | None = None
    group: tuple[Setting, ...] = ()
    check_group: Callable[[dict[str, Any]], str | None] | None = None

    @property
    def bounds_text(self) -> str:
        """The bounds as they are written in the file; empty if the type has none."""
        if self.value_type in (ValueType.TEXT, ValueType.BOOLEAN, ValueType.GROUP):
            return ""
        minimum = self.value_type.format_value(self.minimum)
        if self.maximum == math.inf:
            return f"{minimum} or more"
        return f"{minimum} to {self.value_type.format_value(self.maximum)}"

    def parse(self, form: Form) -> KeyedValue:
        """Reads the value of the setting from its form.

        Raises:
            ConfigSyntaxError: the form is not valid for this setting.
        """
        parts = list(form.parts)
        key = self._read_key(form, parts) if self.key_kind else ""
        if self.group:
            return KeyedValue(key, self._read_group(form, parts))
        atoms = [part for part in parts if isinstance(part, Atom)]
        if not atoms or len(atoms) < len(parts):
            raise form.error(f"expected {self.value_type.example} for '{self.name}'")
        parsed = self._read_atoms(atoms)
        if len(atoms) > parsed.atom_count:
            extra = atoms[parsed.atom_count]
            raise extra.error(f"expected ')' after the value of '{self.name}'")
        return KeyedValue(key, parsed.value)

    def _read_key(self, form: Form, parts: list[Atom | Form]) -> str:
        """Removes the key from the front of the parts and returns it."""
        first = parts.pop(0) if parts else None
        if not isinstance(first, Atom) or not first.quoted or not first.text:
            raise form.error(f"expected a {self.key_kind} in quotes after '{self.name}'")
        self._check(first)
        return first.text

    def _check(self, text: Atom) -> None:
        if self.check_text is not None and (expected := self.check_text(text.text)):
            raise text.error(f"expected {expected} for '{self.name}'")

    def _read_group(self, form: Form, parts: list[Atom | Form]) -> dict[str, Any]:
        values = {setting.name: setting.default for setting in self.group}
        by_name = {setting.name: setting for setting in self.group}
        for part in parts:
            setting = by_name.get(part.name) if isinstance(part, Form) else None
            if setting is None or not isinstance(part, Form):
                raise part.error(f"expected a setting of {', '.join(by_name)} in '{self.name}'")
            values[setting.name] = setting.parse(part).value
        if self.check_group is not None and (expected := self.check_group(values)):
            raise form.error(f"expected {expected} in '{self.name}'")
        return values

    def _read_atoms(self, atoms: list[Atom]) -> ParsedAtoms:
        first = atoms[0]
        wrong_type = first.error(f"expected {self.value_type.example} for '{self.name}'")
        if self.value_type is ValueType.TEXT:
            if not first.quoted:
                raise wrong_type
            self._check(first)
            return ParsedAtoms(first.text, 1)
        if self.value_type is ValueType.BOOLEAN:
            if first.text not in ("on", "off") or first.quoted:
                raise wrong_type
            return ParsedAtoms(first.text == "on", 1)
        if first.number is None:
            raise wrong_type
        if self.value_type is ValueType.COUNT and first.number != int(first.number):
            raise wrong_type
        parsed = self._read_number(first, first.number, atoms)
        if not self.minimum <= parsed.value <= self.maximum:
            raise first.error(f"expected {self.bounds_text} for '{self.name}'")
        return parsed

    def _read_number(self, first: Atom, number: float, atoms: list[Atom]) -> ParsedAtoms:
        if self.value_type is ValueType.COUNT:
            return ParsedAtoms(int(number), 1)
        if self.value_type is ValueType.NUMBER:
            return ParsedAtoms(number, 1)
        unit = atoms[1] if len(atoms) > 1 else None
        units = self.value_type.units
        if unit is None or unit.quoted or unit.text not in units:
            raise (unit or first).error(f"expected a unit of {', '.join(units)} for '{self.name}'")
        return ParsedAtoms(number * units[unit.text], 2)


@dataclass(frozen=True)
class Section:
    """The settings of one subsystem.

    Attributes:
        name: name in the file.
        description: meaning, printed by `marbleworks settings`.
        settings: the settings, in the order in which they are listed.
    """

    name: str
    description: str
    settings: tuple[Setting, ...] = field(default_factory=tuple)

    def __getitem__(self, name: str) -> Setting | None:
        """Returns the setting of that name; None if the section has none."""
        return next((setting for setting in self.settings if setting.name == name), None)
