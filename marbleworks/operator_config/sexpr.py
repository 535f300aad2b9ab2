"""Parses the S-expressions of the operator's file into forms with their positions.

The parser knows only the grammar, not the meaning of names. It stops at the first syntax error and reports
its line and column.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken

MAX_TEXT_CHARS = 1 << 18
MAX_QUOTED_CHARS = 40
"""Maximum number of characters of an unexpected token that an error message quotes."""
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
TOKEN_NAMES = {
    "LPAR": "'('",
    "RPAR": "')'",
    "WORD": "a name",
    "NUMBER": "a number",
    "STRING": "a text in quotes",
}
_PARSER = Lark(GRAMMAR, parser="lalr", propagate_positions=True)


class ConfigSyntaxError(Exception):
    """A syntax error or an invalid value in a file, with its position.

    Attributes:
        line: line number, counted from 1.
        column: column in the line, counted from 1.
        problem: what was expected and what was found.
    """

    def __init__(self, line: int, column: int, problem: str) -> None:
        super().__init__(f"{line}:{column}: {problem}")
        self.line = line
        self.column = column
        self.problem = problem


@dataclass(frozen=True)
class Atom:
    """A name, a number or a text in quotes.

    Attributes:
        text: the characters as written; without the quotes and escapes of a text in quotes.
        line: line number, counted from 1.
        column: column in the line, counted from 1.
        number: value of a number; None for other atoms.
        quoted: whether the atom is a text in quotes.
    """

    text: str
    line: int
    column: int
    number: float | None = None
    quoted: bool = False

    def error(self, problem: str) -> ConfigSyntaxError:
        """Returns an error at this position, for the caller to raise."""
        return ConfigSyntaxError(self.line, self.column, problem)


@dataclass(frozen=True)
class Form:
    """A list `(name part ...)`.

    Attributes:
        name: first word of the list.
        line: line number of the name, counted from 1.
        column: column of the name, counted from 1.
        parts: what follows the name.
    """

    name: str
    line: int
    column: int
    parts: list[Atom | Form] = field(default_factory=list)

    def error(self, problem: str) -> ConfigSyntaxError:
        """Returns an error at this position, for the caller to raise."""
        return ConfigSyntaxError(self.line, self.column, problem)


def parse(text: str) -> list[Form]:
    """Returns the forms of a text.

    Raises:
        ConfigSyntaxError: the text is too long or does not follow the grammar.
    """
    if len(text) > MAX_TEXT_CHARS:
        raise ConfigSyntaxError(1, 1, f"expected at most {MAX_TEXT_CHARS} characters, found {len(text)}")
    try:
        tree = _PARSER.parse(text)
    except UnexpectedEOF:
        raise _error_at_end(text) from None
    except UnexpectedToken as error:
        raise _unexpected_token(error, text) from None
    except UnexpectedCharacters as error:
        raise ConfigSyntaxError(error.line, error.column, f"expected no {error.char!r} here") from None
    except UnexpectedInput as error:
        raise ConfigSyntaxError(max(error.line, 1), max(error.column, 1), "expected a form") from None
    return [_build_form(child) for child in tree.children if isinstance(child, Tree)]


def _unexpected_token(error: UnexpectedToken, text: str) -> ConfigSyntaxError:
    if error.token.type == "$END":
        return _error_at_end(text)
    expected = sorted(TOKEN_NAMES[name] for name in error.expected if name in TOKEN_NAMES)
    expected_text = " or ".join(expected) or "the end"
    found = str(error.token)[:MAX_QUOTED_CHARS]
    return ConfigSyntaxError(error.line, error.column, f"expected {expected_text}, found {found!r}")


def _error_at_end(text: str) -> ConfigSyntaxError:
    line = text.count("\n") + 1
    column = len(text) - (text.rfind("\n") + 1) + 1
    return ConfigSyntaxError(line, column, "expected ')', found the end of the file")


def _build_form(tree: Tree[Token]) -> Form:
    name, *rest = tree.children
    assert isinstance(name, Token)
    parts = [_build_form(part) if isinstance(part, Tree) else _build_atom(part) for part in rest]
    return Form(str(name), name.line or 1, name.column or 1, parts)


def _build_atom(token: Token) -> Atom:
    line = token.line or 1
    column = token.column or 1
    if token.type == "STRING":
        text = token[1:-1].replace('\\"', '"').replace("\\\\", "\\")
        return Atom(text, line, column, quoted=True)
    number = float(token) if token.type == "NUMBER" else None
    return Atom(str(token), line, column, number)
