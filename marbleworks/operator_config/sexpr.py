"""S-expressions of the operator's file: text in, forms with their places out.

It owns the grammar and nothing of what the words mean. It must never read a file or guess at what is broken:
the first thing that is not the grammar ends it, with line and column.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken

MOST_TEXT = 1 << 18  # characters of a file; it is read whole
GRAMMAR = r"""
start: form*
form: "(" WORD (form | WORD | NUMBER | STRING)* ")"
WORD: /[A-Za-z%][A-Za-z0-9%\/_.-]*/
NUMBER.2: /-?[0-9]+(\.[0-9]+)?/
STRING: /"([^"\\\n]|\\["\\])*"/
COMMENT: /;[^\n]*/
%import common.WS
%ignore WS
%ignore COMMENT
"""
MEANT = {"LPAR": "'('", "RPAR": "')'", "WORD": "a name", "NUMBER": "a number", "STRING": "a text in quotes"}
_PARSER = Lark(GRAMMAR, parser="lalr", propagate_positions=True)


class ConfigSyntaxError(Exception):
    """What is wrong with a file, at a line and a column that count from 1."""

    def __init__(self, line: int, column: int, what: str) -> None:
        super().__init__(f"{line}:{column}: {what}")
        self.line, self.column, self.what = line, column, what


@dataclass(frozen=True)
class Atom:
    """A name, a number or a text in quotes; number is None where it is none."""

    text: str
    line: int
    column: int
    number: float | None = None
    quoted: bool = False


@dataclass(frozen=True)
class Form:
    """(name part ...) with the place of its name."""

    name: str
    line: int
    column: int
    parts: list[Atom | Form] = field(default_factory=list)


def read_forms(text: str) -> list[Form]:
    """The forms of a whole text; raises Misread."""
    if len(text) > MOST_TEXT:
        raise ConfigSyntaxError(1, 1, f"expected at most {MOST_TEXT} characters, found {len(text)}")
    try:
        tree = _PARSER.parse(text)
    except UnexpectedEOF:
        raise _at_end(text) from None
    except UnexpectedToken as err:
        if err.token.type == "$END":
            raise _at_end(text) from None
        wanted = " or ".join(sorted(MEANT[name] for name in err.expected if name in MEANT)) or "the end"
        raise ConfigSyntaxError(
            err.line, err.column, f"expected {wanted}, found {str(err.token)[:40]!r}"
        ) from None
    except UnexpectedCharacters as err:
        raise ConfigSyntaxError(err.line, err.column, f"expected no {err.char!r} here") from None
    except UnexpectedInput as err:
        raise ConfigSyntaxError(max(err.line, 1), max(err.column, 1), "expected a form") from None
    return [_form(child) for child in tree.children if isinstance(child, Tree)]


def _at_end(text: str) -> ConfigSyntaxError:
    line = text.count("\n") + 1
    return ConfigSyntaxError(
        line, len(text) - (text.rfind("\n") + 1) + 1, "expected ')', found the end of the file"
    )


def _form(tree: Tree[Token]) -> Form:
    name, *rest = tree.children
    assert isinstance(name, Token)
    parts = [_form(part) if isinstance(part, Tree) else _atom(part) for part in rest]
    return Form(str(name), name.line or 1, name.column or 1, parts)


def _atom(token: Token) -> Atom:
    line, column = token.line or 1, token.column or 1
    if token.type == "STRING":
        text = token[1:-1].replace('\\"', '"').replace("\\\\", "\\")
        return Atom(text, line, column, quoted=True)
    return Atom(str(token), line, column, float(token) if token.type == "NUMBER" else None)
