"""Collects the sections that the operator's file may have from the subsystems that define them.

Each section is defined in a separate module without other code, so that reading the file imports no
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

# Schemas of the sections, keyed by section name.
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
# Reads and checks the operator's file at a path; see `OperatorConfig.load`.
read_operator_config = partial(document.OperatorConfig.load, SECTIONS)
# Parses a text into checked sections; see `document.parse_sections`.
parse_sections = partial(document.parse_sections, SECTIONS)
# Describes every setting in one line each; see `document.describe_settings`.
describe_settings = partial(document.describe_settings, SECTIONS)
