"""Errors that end an attempt before the engine has ended it."""

from __future__ import annotations

from marbleworks.model import AttemptOutcome
from marbleworks.net.stream import CloseReason


class AttemptCancelledError(Exception):
    """Raised in the greenlet of an attempt to stop it.

    Attributes:
        reason: Why the attempt is stopped.
    """

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class AttemptWithheldError(Exception):
    """Raised when an attempt must not be sent because the conditions for it no longer hold.

    Attributes:
        outcome: Outcome of the attempt.
    """

    def __init__(self, outcome: AttemptOutcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome
