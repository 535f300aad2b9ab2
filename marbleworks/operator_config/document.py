"""A whole operator's file as typed values, and what a reload of it may change.

It owns no section: which there are is given to it. It must never start or change a subsystem, or import one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from marbleworks.operator_config.sexpr import ConfigSyntaxError, Form, read_forms
from marbleworks.operator_config.value_types import Section

Values = dict[str, Any]
Sections = Mapping[str, Section]


class OperatorConfigError(Exception):
    """One plain line: file, line, column and what was expected."""


@dataclass(frozen=True)
class OperatorConfig:
    """The sections that a file names, each with a value for every setting, the defaults filled in."""

    among: Sections
    path: str
    sections: dict[str, Values]

    @classmethod
    def read(cls, among: Sections, path: str) -> OperatorConfig:
        """Reads and checks a file; raises OperatorError."""
        try:
            text = Path(path).read_text("utf-8")
        except OSError as err:
            raise OperatorConfigError(f"{path}: {err.strerror}") from None
        except UnicodeDecodeError:
            raise OperatorConfigError(f"{path}: expected UTF-8") from None
        try:
            return cls(among, path, sections_of(among, text))
        except ConfigSyntaxError as err:
            raise OperatorConfigError(f"{path}:{err}") from None

    def has(self, name: str) -> bool:
        return name in self.sections

    def __getitem__(self, name: str) -> Values:
        """The section's values; its defaults where the file does not name it (it must have no required
        one)."""
        if name in self.sections:
            return self.sections[name]
        return {s.name: {} if s.by else s.default for s in self.among[name].settings}


def sections_of(among: Sections, text: str) -> dict[str, Values]:
    """The checked sections of a text; raises Misread."""
    found: dict[str, Values] = {}
    for form in read_forms(text):
        section = among.get(form.name)
        if section is None:
            raise ConfigSyntaxError(
                form.line, form.column, f"expected a section of {', '.join(among)}, found '{form.name}'"
            )
        if form.name in found:
            raise ConfigSyntaxError(form.line, form.column, f"expected section '{form.name}' once")
        found[form.name] = _values(section, form)
    return found


def _values(section: Section, form: Form) -> Values:
    values: Values = {}
    for part in form.parts:
        if not isinstance(part, Form):
            raise ConfigSyntaxError(
                part.line, part.column, f"expected a setting in parentheses, found '{part.text}'"
            )
        setting = section[part.name]
        if setting is None:
            names = ", ".join(s.name for s in section.settings)
            raise ConfigSyntaxError(
                part.line, part.column, f"expected a setting of {names}, found '{part.name}'"
            )
        of, value = setting.read(part)
        if setting.by:
            if of in values.setdefault(part.name, {}):
                raise ConfigSyntaxError(part.line, part.column, f"expected '{part.name}' of \"{of}\" once")
            values[part.name][of] = value
        elif part.name in values:
            raise ConfigSyntaxError(part.line, part.column, f"expected '{part.name}' once")
        else:
            values[part.name] = value
    for setting in section.settings:
        if setting.name not in values:
            if setting.default is None and not setting.by:
                raise ConfigSyntaxError(
                    form.line, form.column, f"expected '{setting.name}' in section '{form.name}'"
                )
            values[setting.name] = {} if setting.by else setting.default
    return values


def changes(old: OperatorConfig, new: OperatorConfig) -> tuple[dict[str, Values], list[str]]:
    """What may change while running, by section, and the names of what differs and needs a restart."""
    live: dict[str, Values] = {}
    restart: list[str] = []
    for name, section in old.among.items():
        if old.has(name) != new.has(name):
            restart.append(name)
        elif new.has(name):
            for setting in section.settings:
                if old[name][setting.name] != new[name][setting.name]:
                    if setting.live:
                        live.setdefault(name, {})[setting.name] = new[name][setting.name]
                    else:
                        restart.append(f"{name} {setting.name}")
    return live, restart


def described(among: Sections) -> list[str]:
    """Every setting with type, bounds, default and meaning, a line each, by section."""
    lines = []
    for section in among.values():
        lines.append(f"({section.name}) {section.meaning}")
        for s in section.settings:
            if s.by:
                default = f"once for each {s.by}"
            else:
                default = "must be given" if s.default is None else f"default {s.kind.written(s.default)}"
            inner = (
                "of " + ", ".join(f"{part.name} ({part.kind.value})" for part in s.inner) if s.inner else ""
            )
            facts = [s.kind.value, inner, s.bounds, default, "" if s.live else "needs a restart"]
            lines.append(f"  {s.name}: {'; '.join(fact for fact in facts if fact)}. {s.meaning}")
    return lines
