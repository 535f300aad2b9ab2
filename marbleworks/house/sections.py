"""Every section that the operator's file may have, gathered from the subsystems that own them.

It owns that list and nothing else: a section is described in a module of its own that does nothing more, so
that reading the file imports no subsystem.
"""

from __future__ import annotations

from functools import partial

from marbleworks.background.terms import BACKGROUND
from marbleworks.budgets.terms import BUDGETS
from marbleworks.door.terms import DOOR
from marbleworks.operator import book
from marbleworks.peers.terms import PEERS
from marbleworks.spool.terms import SPOOL

SECTIONS = {section.name: section for section in (BACKGROUND, SPOOL, DOOR, PEERS, BUDGETS)}
read_book = partial(book.Book.read, SECTIONS)  # raises OperatorError
sections_of = partial(book.sections_of, SECTIONS)
described = partial(book.described, SECTIONS)
