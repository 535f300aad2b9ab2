"""The handle of a request: the platform reports here what becomes of it and of its attempts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from marbleworks.scheduling.history import TIME_MARGIN_S

if TYPE_CHECKING:
    from marbleworks.model import AttemptOutcome, LoadReport, RequestClass
    from marbleworks.scheduling.engine_state import Attempt, EngineState
    from marbleworks.scheduling.work_estimates import Cost

CLOSE_CALL_RATIO = 0.6  # part of its time to the latency target after which an answer is a close call
AGEING_PER_S = 0.1  # work per priority weight that a second of waiting makes up for
ANSWER_TIME_RATIO = 0.1  # part of a request's time that is kept for answering its client ...
MAX_ANSWER_TIME_S = 0.03  # ... and at most so much


class RequestOwner(Protocol):
    """Who is notified of what the platform reports."""

    def now(self) -> float:
        """Returns the time in seconds."""

    def on_attempt_answered(
        self, request: RequestState, attempt: Attempt, cost: Cost | None, report: LoadReport | None
    ) -> None:
        """The request has been answered by an attempt."""

    def on_attempt_failed(
        self, request: RequestState, attempt: Attempt, outcome: AttemptOutcome, already_completed: bool
    ) -> None:
        """An attempt has ended without an answer."""

    def complete(self, request: RequestState) -> None:
        """The request needs no attempt any more."""


class RequestState:
    """A request from its submission until no attempt of it can still take effect.

    estimate: work and memory as the client estimates them; cost: the same, corrected.
    """

    def __init__(  # noqa: PLR0913 - made in one place, and an object for them would cost on each request
        self,
        owner: RequestOwner,
        ref: str,
        sequence: int,
        class_index: int,
        request_class: RequestClass,
        table_group: int,
        tenant: int,
        estimate: Cost,
        cost: Cost,
        received_at: float,
        deadline: float,
        max_attempts: int,
    ) -> None:
        self._owner = owner
        self._max_attempts = max_attempts
        self.ref = ref
        self.sequence = sequence  # in the order of submission
        self.class_index = class_index
        self.request_class = request_class
        self.table_group = table_group
        self.tenant = tenant
        self.estimate = estimate
        self.work, self.memory_mb = cost
        self.received_at = received_at
        self.deadline = deadline
        self.answer_by = deadline  # until when attempts may run
        growth_s = request_class.latency_target_growth * self.solo_time_s()
        self.target_at = min(received_at + request_class.latency_target_s + growth_s, deadline)
        self.priority_weight = request_class.priority_weight
        self.ordering_key = ""
        self.completed = False
        self.in_graph = False
        self.has_erred = False
        self.attempt_count = 0
        self.unsent_count = 0  # attempts that never left
        self.runaway_count = 0  # attempts cancelled for taking many times the estimate
        self.in_flight: list[Attempt] = []
        self.tried_engines: list[EngineState] = []
        self.probed_engines: list[EngineState] = []
        self.may_have_run: Attempt | None = None  # the first that may have
        self.probed_at = -math.inf
        self.may_run_until = -math.inf

    @property
    def counted_attempts(self) -> int:
        """The attempts that count: one that never left does not, as often as attempts are allowed."""
        return self.attempt_count - min(self.unsent_count, self._max_attempts)

    @property
    def settled(self) -> bool:
        """Whether it is completed and no attempt is in flight."""
        return self.completed and not self.in_flight

    def has_settled(self, now: float) -> bool:
        """Returns whether nothing of it can still take effect."""
        return self.settled and now >= self.may_run_until

    def solo_time_s(self) -> float:
        """Returns how long it runs on an idle engine."""
        return self.work / self.request_class.threads

    def close_call(self, now: float) -> float:
        """Returns 1 if most of the time to its latency target has passed, else 0."""
        return float(now - self.received_at > CLOSE_CALL_RATIO * (self.target_at - self.received_at))

    def conflicts_with(self, other: RequestState) -> bool:
        """Returns whether two requests of one table group conflict: readers do with loads alone."""
        return self.request_class.is_load or other.request_class.is_load

    def queue_rank(self, now: float) -> tuple[float, int]:
        """Returns the sort key of pending requests: work by priority weight, less its time waited."""
        rank = self.work / max(self.priority_weight, 1e-9) - AGEING_PER_S * (now - self.received_at)
        return rank, self.sequence

    def reserve_answer_time(self, time_left_s: float, recent_lag_s: float) -> None:
        """Ends attempts so early that the client is still answered in time.

        recent_lag_s: how long requests lately waited in the router before they were submitted; an outcome may
        wait as long in a router short of CPU.
        """
        reserved = min(ANSWER_TIME_RATIO * time_left_s, MAX_ANSWER_TIME_S)
        self.answer_by = self.deadline - max(
            TIME_MARGIN_S / 2, reserved, min(2.0 * recent_lag_s, time_left_s / 2)
        )

    def on_answer(self, attempt_no: int, cost: Cost | None, report: LoadReport | None) -> None:
        """The answer has reached the client; cost: work and memory it took, where engines report them."""
        attempt = self._end(attempt_no)
        if attempt is not None:
            self._owner.on_attempt_answered(self, attempt, cost, report)

    def on_attempt_end(
        self, attempt_no: int, outcome: AttemptOutcome, already_completed: bool, report: LoadReport | None
    ) -> None:
        """An attempt ended without an answer; already_completed: the client has its final answer.

        The report of such an engine is not used.
        """
        attempt = self._end(attempt_no)
        if attempt is None:
            return
        if not outcome.never_ran:
            first = self.may_have_run  # the repeat window counts from it, in whatever order attempts end
            if first is None or attempt.started_at < first.started_at:
                self.may_have_run = attempt
        self._owner.on_attempt_failed(self, attempt, outcome, already_completed)

    def on_client_disconnect(self) -> None:
        """The client waits no longer."""
        self._owner.complete(self)

    def on_progress(self, attempt_no: int, progress: float | None, is_stalled: bool = False) -> None:
        """An attempt in flight reports the part done, where it is known, and whether it stands still."""
        for attempt in self._numbered(attempt_no):
            if progress is not None:
                attempt.progress = progress
            attempt.is_stalled = is_stalled
            attempt.engine.last_contact_at = self._owner.now()

    def on_result_reading(self, attempt_no: int) -> None:
        """The engine is done and its result is being read: that takes none of its threads."""
        self.on_progress(attempt_no, 1.0, is_stalled=True)
        for attempt in self._numbered(attempt_no):
            attempt.finished_at = attempt.finished_at or attempt.engine.last_contact_at

    def _numbered(self, attempt_no: int) -> list[Attempt]:
        return [attempt for attempt in self.in_flight if attempt.number == attempt_no]

    def _end(self, attempt_no: int) -> Attempt | None:
        attempt = next(iter(self._numbered(attempt_no)), None)
        if attempt is not None:
            self.in_flight.remove(attempt)
        return attempt
