"""The sections that the operator's file may have, gathered from the subsystems that own them.

Each section is described in a module of its own that does nothing more, so that reading the file imports no
subsystem.
"""

from __future__ import annotations

from functools import partial

from marbleworks.background.options import BACKGROUND_SECTION
from marbleworks.budgets.options import BUDGETS_SECTION
from marbleworks.fair_queue.options import FAIR_QUEUE_SECTION
from marbleworks.membership.options import MEMBERSHIP_SECTION
from marbleworks.operator_config import document
from marbleworks.spool.options import SPOOL_SECTION

SECTIONS = {
    section.name: section
    for section in (
        BACKGROUND_SECTION,
        SPOOL_SECTION,
        FAIR_QUEUE_SECTION,
        MEMBERSHIP_SECTION,
        BUDGETS_SECTION,
    )
}
read_operator_config = partial(document.OperatorConfig.read, SECTIONS)
parse_sections = partial(document.parse_sections, SECTIONS)
describe_settings = partial(document.describe_settings, SECTIONS)
