"""The operator's file: errors have a position in one line, and a reload applies only reloadable settings."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.operator_config.document import OperatorConfigError, find_changes
from marbleworks.operator_config.sexpr import Atom, ConfigSyntaxError, Form, parse
from marbleworks.operator_config.value_types import ValueType
from marbleworks.subsystems.registry import SECTIONS, describe_settings, parse_sections, read_operator_config

VALID_TEXT = '(spool (folder "/a") (room 2 GB))'


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('(spool (folder "/a")\n  (room 2 GB)', "2:14: expected ')', found the end of the file"),
        ("", ""),
        ("(spoool)", "1:2: expected a section of background, spool, door, peers, budgets, found 'spoool'"),
        (VALID_TEXT + "\n" + VALID_TEXT, "2:2: expected section 'spool' once"),
        ("(spool (room 2 GB))", "1:2: expected 'folder' in section 'spool'"),
        ('(spool (folder "/a") (room 2 GB) (roon 1 GB))', "1:35: expected a setting of folder, room"),
        ('(spool (folder "/a") (room 2 GB) (room 3 GB))', "1:35: expected 'room' once"),
        ('(spool (folder "/a") (room "2 GB"))', "1:28: expected a size such as 2 GB for 'room'"),
        ('(spool (folder "/a") (room 2))', "1:28: expected a unit of B, KB"),
        ('(spool (folder "/a") (room 2 min))', "1:30: expected a unit of B, KB"),
        ('(spool (folder "/a") (room 1 KB))', "1:28: expected 4 MB to 10 TB for 'room'"),
        ('(spool (folder "/a") (room 2 GB 3))', "1:33: expected ')' after the value of 'room'"),
        ('(spool (folder "/a") (room (x 2)))', "1:23: expected a size such as 2 GB for 'room'"),
        ('(spool (folder "a") (room 2 GB))', "1:16: expected a path that begins with '/' for 'folder'"),
        ("(spool (folder /a) (room 2 GB))", "1:16: expected no '/' here"),
        ('(spool (folder "/a") (room 2 GB) keep)', "1:34: expected a setting in parentheses, found 'keep'"),
        ('(spool (folder "/a") (room 2 GB) (quota 3 %))', "1:35: expected a tenant in quotes after 'quota'"),
        (
            '(spool (folder "/a") (room 2 GB) (quota "x" 3 %) (quota "x" 4 %))',
            "1:51: expected 'quota' of \"x\" once",
        ),
        ('(spool (folder "/a") (room 2 GB) (quota "x" 130 %))', "1:45: expected 0 % to 100 % for 'quota'"),
        (")", "1:1: expected '('"),
        ('(spool (folder "/a))', "1:16: expected no '\"' here"),
    ],
)
def test_errors_have_a_position_and_say_what_was_expected(text: str, message: str) -> None:
    if not message:
        assert parse_sections(text) == {}
        return
    with pytest.raises(ConfigSyntaxError) as error:
        parse_sections(text)
    assert str(error.value).startswith(message)


def test_values_have_units_defaults_and_comments() -> None:
    sections = parse_sections(
        '; a comment\n(spool (folder "/a \\"b\\"") (room 1.5 GiB) (keep 90 s) (share 25 %)\n'
        ' (least-pace 8 KB/s) (quota "x" 10 %) (quota "y" 0 %)) (background)'
    )
    spool = sections["spool"]
    assert spool["folder"] == '/a "b"' and spool["room"] == 1.5 * 2**30 and spool["keep"] == 90
    assert spool["share"] == 0.25 and spool["least-pace"] == 8e3 and spool["quota"] == {"x": 0.1, "y": 0.0}
    assert spool["unread"] == 300 and sections["background"]["core"] == 0.1


def test_every_formatted_default_parses_to_itself() -> None:
    text = '(background) (door) (peers) (budgets) (spool (folder "/a") (room 2 GB))'
    defaults = parse_sections(text)
    for name, section in SECTIONS.items():
        for setting in section.settings:
            if setting.value_type not in (ValueType.TEXT, ValueType.BOOLEAN) and setting.default is not None:
                extra = f"({setting.name} {setting.value_type.format_value(setting.default)}))"
                changed = parse_sections(text.replace(f"({name}", f"({name} {extra[:-1]}"))
                assert changed[name][setting.name] == pytest.approx(defaults[name][setting.name])
    assert len(describe_settings()) == len(SECTIONS) + sum(
        len(schema.settings) for schema in SECTIONS.values()
    )


def test_a_reload_applies_reloadable_changes_and_names_the_others(tmp_path: Path) -> None:
    path = tmp_path / "operator.lisp"
    path.write_text(VALID_TEXT)
    old = read_operator_config(str(path))
    path.write_text('(background) (spool (folder "/b") (room 3 GB) (page 12 KB) (quota "x" 5 %))')
    applicable, needs_restart = find_changes(old, read_operator_config(str(path)))
    assert applicable == {"spool": {"room": 3e9, "quota": {"x": 0.05}}}
    assert needs_restart == ["background", "spool folder", "spool page"]
    for invalid in ("(", "(spool)"):
        path.write_text(invalid)
        with pytest.raises(OperatorConfigError, match=str(path)):
            read_operator_config(str(path))
    with pytest.raises(OperatorConfigError, match="No such file"):
        read_operator_config(str(tmp_path / "none"))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.text(alphabet='()";% \n\\spool12.GB-keep/s', max_size=60))
def test_any_text_parses_or_fails_with_a_position(text: str) -> None:
    try:
        forms = parse(text)
    except ConfigSyntaxError as error:
        lines = text.split("\n")
        assert 1 <= error.line <= len(lines) + 1 and error.column >= 1 and "expected" in error.problem
        return
    lines = text.split("\n")
    for form in forms:
        assert isinstance(form, Form) and lines[form.line - 1][form.column - 1 :].startswith(form.name)
        for part in form.parts:
            if isinstance(part, Atom) and not part.quoted:
                assert lines[part.line - 1][part.column - 1 :].startswith(part.text)
