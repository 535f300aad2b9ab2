"""The table group of a statement, read from its words alone.

It knows SQL's lexical rules and no grammar: it must never fail on a statement, and never look inside strings
and comments.
"""

from __future__ import annotations

import re

NAME = r'(?:[^\W\d][\w$]*|"(?:[^"]|"")+")'
TOKEN = re.compile(
    rf"""
    --[^\n]* | [eE]'(?:[^'\\]|\\.|'')*' | '(?:[^']|'')*' | \d\w*
  | (?P<comment>/\*)
  | (?P<dollar>\$(?:[^\W\d]\w*)?\$)
  | (?P<name>{NAME}) (?P<dotted> \s*\.\s*{NAME} )*
    """,
    re.VERBOSE | re.DOTALL,
)
NESTING = re.compile(r"/\*|\*/")
NUMBERED = re.compile(r"_(\d+)$", re.ASCII)
ASIDE = "staging"


def table_group(text: str) -> int:
    """The number in the name of the first schema that bears one; 0 where none does."""
    at = 0
    while token := TOKEN.search(text, at):
        at, kind = token.end(), token.lastgroup
        if kind == "dotted":
            name = token["name"]
            name = name[1:-1].replace('""', '"') if name.startswith('"') else name.lower()
            number = NUMBERED.search(name)
            if number and name != ASIDE:
                return int(number[1])
        elif kind == "comment":
            at = _comment_end(text, at)
        elif kind == "dollar":
            end = text.find(token[0], at)
            at = len(text) if end < 0 else end + len(token[0])
    return 0


def _comment_end(text: str, at: int) -> int:  # comments nest
    depth = 1
    while depth:
        mark = NESTING.search(text, at)
        if mark is None:
            return len(text)
        at, depth = mark.end(), depth + (1 if mark[0] == "/*" else -1)
    return at
