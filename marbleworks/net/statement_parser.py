"""Finds the table group of an SQL statement from its lexical structure.

It applies SQL's lexical rules but no grammar, accepts any text, and ignores strings and comments.
"""

from __future__ import annotations

import re

_NAME_PATTERN = r'(?:[^\W\d][\w$]*|"(?:[^"]|"")+")'
_TOKEN = re.compile(
    rf"""
    --[^\n]* | [eE]'(?:[^'\\]|\\.|'')*' | '(?:[^']|'')*' | \d\w*
  | (?P<comment>/\*)
  | (?P<dollar>\$(?:[^\W\d]\w*)?\$)
  | (?P<name>{_NAME_PATTERN}) (?P<dotted> \s*\.\s*{_NAME_PATTERN} )*
    """,
    re.VERBOSE | re.DOTALL,
)
_COMMENT_MARK = re.compile(r"/\*|\*/")
_NUMBER_SUFFIX = re.compile(r"_(\d+)$", re.ASCII)


def table_group(text: str) -> int:
    """Returns the number at the end of the first schema name that has one; 0 if there is none."""
    position = 0
    while token := _TOKEN.search(text, position):
        position = token.end()
        kind = token.lastgroup
        if kind == "dotted":
            number = _NUMBER_SUFFIX.search(_unquote(token["name"]))
            if number:
                return int(number[1])
        elif kind == "comment":
            position = _comment_end(text, position)
        elif kind == "dollar":
            end = text.find(token[0], position)
            position = len(text) if end < 0 else end + len(token[0])
    return 0


def _unquote(name: str) -> str:
    if name.startswith('"'):
        return name[1:-1].replace('""', '"')
    return name.lower()


def _comment_end(text: str, position: int) -> int:
    """Returns the offset after the end of the comment that was opened before `position`; comments nest."""
    depth = 1
    while depth:
        mark = _COMMENT_MARK.search(text, position)
        if mark is None:
            return len(text)
        position = mark.end()
        depth += 1 if mark[0] == "/*" else -1
    return position
