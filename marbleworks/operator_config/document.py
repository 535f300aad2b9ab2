"""Reads the operator's file into checked values and finds the changes that a reload may apply.

The schemas of the sections are passed as an argument: this module depends on no particular section or
subsystem.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from marbleworks.operator_config.sexpr import ConfigSyntaxError, Form, parse
from marbleworks.operator_config.value_types import Section, Setting

# The values of a section, keyed by setting name.
SectionValues = dict[str, Any]
# The sections that a file may have, keyed by section name.
SectionSchemas = Mapping[str, Section]


class OperatorConfigError(Exception):
    """The file cannot be used; the message is one line with file, line, column and what was expected."""


@dataclass(frozen=True)
class OperatorConfig:
    """The sections that a file has, each with a value for every setting.

    Attributes:
        schemas: the sections that a file may have, keyed by section name.
        path: path of the file.
        sections: the values of each section that the file has, keyed by section name and setting name.
    """

    schemas: SectionSchemas
    path: str
    sections: dict[str, SectionValues]

    @classmethod
    def load(cls, schemas: SectionSchemas, path: str) -> OperatorConfig:
        """Reads and checks a file.

        Raises:
            OperatorConfigError: the file cannot be read or is invalid.
        """
        try:
            text = Path(path).read_text("utf-8")
        except OSError as error:
            raise OperatorConfigError(f"{path}: {error.strerror}") from None
        except UnicodeDecodeError:
            raise OperatorConfigError(f"{path}: expected UTF-8") from None
        try:
            return cls(schemas, path, parse_sections(schemas, text))
        except ConfigSyntaxError as error:
            raise OperatorConfigError(f"{path}:{error}") from None

    def has_section(self, name: str) -> bool:
        """Returns whether the file has the section."""
        return name in self.sections

    def __getitem__(self, name: str) -> SectionValues:
        """Returns the section's values, or its defaults if the file does not have the section.

        A section may be read without checking `has_section` only if each of its settings has a default; a
        setting without one would be None.
        """
        if name in self.sections:
            return self.sections[name]
        return {setting.name: _default(setting) for setting in self.schemas[name].settings}


class ConfigChanges(NamedTuple):
    """The differences between two operator's files.

    Attributes:
        applicable: new values of the changed settings that may change while the router runs, keyed by section
            name.
        needs_restart: names of the changed sections and settings that need a restart.
    """

    applicable: dict[str, SectionValues]
    needs_restart: list[str]


def parse_sections(schemas: SectionSchemas, text: str) -> dict[str, SectionValues]:
    """Parses a text into checked sections.

    Raises:
        ConfigSyntaxError: the text does not follow the grammar or the schemas.
    """
    sections: dict[str, SectionValues] = {}
    for form in parse(text):
        schema = schemas.get(form.name)
        if schema is None:
            raise form.error(f"expected a section of {', '.join(schemas)}, found '{form.name}'")
        if form.name in sections:
            raise form.error(f"expected section '{form.name}' once")
        sections[form.name] = _section_values(schema, form)
    return sections


def _section_values(schema: Section, form: Form) -> SectionValues:
    values: SectionValues = {}
    for part in form.parts:
        if not isinstance(part, Form):
            raise part.error(f"expected a setting in parentheses, found '{part.text}'")
        setting = schema[part.name]
        if setting is None:
            names = ", ".join(setting.name for setting in schema.settings)
            raise part.error(f"expected a setting of {names}, found '{part.name}'")
        _add_value(values, setting, part)
    for setting in schema.settings:
        if setting.name not in values:
            if setting.default is None and not setting.key_kind:
                raise form.error(f"expected '{setting.name}' in section '{form.name}'")
            values[setting.name] = _default(setting)
    return values


def _add_value(values: SectionValues, setting: Setting, form: Form) -> None:
    key, value = setting.parse(form)
    if setting.key_kind:
        by_key = values.setdefault(form.name, {})
        if key in by_key:
            raise form.error(f"expected '{form.name}' of \"{key}\" once")
        by_key[key] = value
    elif form.name in values:
        raise form.error(f"expected '{form.name}' once")
    else:
        values[form.name] = value


def _default(setting: Setting) -> Any:
    return {} if setting.key_kind else setting.default


def find_changes(old: OperatorConfig, new: OperatorConfig) -> ConfigChanges:
    """Compares the configuration in force with the one that was just read."""
    changes = ConfigChanges({}, [])
    for name, schema in old.schemas.items():
        if old.has_section(name) != new.has_section(name):
            changes.needs_restart.append(name)
        elif new.has_section(name):
            _find_section_changes(schema, old[name], new[name], changes)
    return changes


def _find_section_changes(
    schema: Section, old: SectionValues, new: SectionValues, changes: ConfigChanges
) -> None:
    for setting in schema.settings:
        if old[setting.name] == new[setting.name]:
            continue
        if setting.reloadable:
            changes.applicable.setdefault(schema.name, {})[setting.name] = new[setting.name]
        else:
            changes.needs_restart.append(f"{schema.name} {setting.name}")


def describe_settings(schemas: SectionSchemas) -> list[str]:
    """Describes each setting in one line, grouped by section: type, bounds, default and meaning."""
    lines = []
    for schema in schemas.values():
        lines.append(f"({schema.name}) {schema.description}")
        lines += [_describe(setting) for setting in schema.settings]
    return lines


def _describe(setting: Setting) -> str:
    properties = [
        setting.value_type.value,
        _describe_group(setting),
        setting.bounds_text,
        _describe_default(setting),
        "" if setting.reloadable else "needs a restart",
    ]
    return f"  {setting.name}: {'; '.join(item for item in properties if item)}. {setting.description}"


def _describe_group(setting: Setting) -> str:
    if not setting.group:
        return ""
    return "of " + ", ".join(f"{part.name} ({part.value_type.value})" for part in setting.group)


def _describe_default(setting: Setting) -> str:
    if setting.key_kind:
        return f"once for each {setting.key_kind}"
    if setting.default is None:
        return "must be given"
    return f"default {setting.value_type.format_value(setting.default)}"
