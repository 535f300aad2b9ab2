"""Every section that the operator's file may have, gathered from the subsystems that own them.

It owns that list and nothing else: a section is described in a module of its own that does nothing more, so
that reading the file imports no subsystem.
"""

from __future__ import annotations

from functools import partial

from marbleworks.background.options import BACKGROUND_SECTION
from marbleworks.budgets.options import BUDGETS_SECTION
from marbleworks.fair_queue.options import DOOR
from marbleworks.membership.options import MEMBERSHIP_SECTION
from marbleworks.operator_config import document as book
from marbleworks.spool.options import SPOOL

SECTIONS = {
    section.name: section
    for section in (BACKGROUND_SECTION, SPOOL, DOOR, MEMBERSHIP_SECTION, BUDGETS_SECTION)
}
read_operator_config = partial(book.OperatorConfig.read, SECTIONS)  # raises OperatorError
parse_sections = partial(book.parse_sections, SECTIONS)
describe_settings = partial(book.describe_settings, SECTIONS)
