"""The handle of a request, to which the platform reports the events of the request and its attempts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from marbleworks.scheduling.history import TIME_MARGIN_S

if TYPE_CHECKING:
    from marbleworks.model import AttemptOutcome, LoadReport, RequestClass
    from marbleworks.scheduling.engine_state import Attempt, EngineState
    from marbleworks.scheduling.work_estimates import Cost

NEAR_TARGET_RATIO = 0.6  # share of the time to its latency target after which an answer is near it
AGEING_PER_S = 0.1  # reduction of the queue rank (work per priority weight) per second of waiting
ANSWER_TIME_RATIO = 0.1  # share of a request's time reserved for answering its client
MAX_ANSWER_TIME_S = 0.03  # maximum of the time reserved for answering a client


class RequestOwner(Protocol):
    """Receives the events that the platform reports to a request's handle."""

    def now(self) -> float:
        """Returns the time in seconds."""

    def on_attempt_answered(
        self, request: RequestState, attempt: Attempt, cost: Cost | None, report: LoadReport | None
    ) -> None:
        """Handles the answer of an attempt to the request."""

    def on_attempt_failed(
        self, request: RequestState, attempt: Attempt, outcome: AttemptOutcome, already_completed: bool
    ) -> None:
        """Handles an attempt that has ended without an answer."""

    def on_contact_lost(self, request: RequestState, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Handles an attempt whose engine cannot be reached, but may still be running it."""

    def complete(self, request: RequestState) -> None:
        """Handles a request that needs no further attempt."""


class RequestState:
    """A request from its submission until no attempt of it can still take effect.

    Args:
        estimate: work and memory as estimated by the client.
        cost: the corrected estimate.
    """

    def __init__(  # noqa: PLR0913 - called in one place; a parameter object would cost time on each request
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
        self.sequence = sequence  # ascending in the order of submission
        self.class_index = class_index
        self.request_class = request_class
        self.table_group = table_group
        self.tenant = tenant
        self.estimate = estimate
        self.work, self.memory_mb = cost
        self.received_at = received_at
        self.deadline = deadline
        self.attempts_deadline = deadline  # time by which attempts have to end
        growth_s = request_class.latency_target_growth * self.service_time_s()
        self.target_at = min(received_at + request_class.latency_target_s + growth_s, deadline)
        self.priority_weight = request_class.priority_weight
        self.ordering_key = ""
        self.completed = False
        self.in_graph = False
        self.has_returned_error = False
        self.attempt_count = 0
        self.unsent_count = 0  # attempts of which nothing was sent
        self.runaway_count = 0  # attempts moved because they were taking many times their estimate
        self.in_flight: list[Attempt] = []
        self.tried_engines: list[EngineState] = []
        self.probed_engines: list[EngineState] = []
        self.earliest_possible_run: Attempt | None = None  # earliest attempt that may have run
        self.probed_at = -math.inf
        self.may_run_until = -math.inf

    @property
    def counted_attempts(self) -> int:
        """The attempts that count towards the maximum.

        An attempt of which nothing was sent does not count, but no more of these are ignored than attempts
        are allowed.
        """
        return self.attempt_count - min(self.unsent_count, self._max_attempts)

    @property
    def settled(self) -> bool:
        """Whether the request is completed and no attempt is in flight."""
        return self.completed and not self.in_flight

    def cannot_take_effect(self, now: float) -> bool:
        """Returns whether no attempt of the request can still take effect."""
        return self.settled and now >= self.may_run_until

    def service_time_s(self) -> float:
        """Returns how long the request runs on an idle engine."""
        return self.work / self.request_class.threads

    def near_target(self, now: float) -> float:
        """Returns 1 if most of the time to the latency target has passed, else 0."""
        return float(now - self.received_at > NEAR_TARGET_RATIO * (self.target_at - self.received_at))

    def conflicts_with(self, other: RequestState) -> bool:
        """Returns whether two requests of one table group conflict: at least one of them is a load."""
        return self.request_class.is_load or other.request_class.is_load

    def queue_rank(self, now: float) -> tuple[float, int]:
        """Returns the sort key of pending requests: work per priority weight, less credit for waiting."""
        rank = self.work / max(self.priority_weight, 1e-9) - AGEING_PER_S * (now - self.received_at)
        return rank, self.sequence

    def reserve_answer_time(self, time_left_s: float, recent_lag_s: float) -> None:
        """Sets the end of attempts early enough for the client to be answered in time.

        Args:
            time_left_s: seconds from now until the request's deadline.
            recent_lag_s: the time that requests recently waited in the router before their submission; in a
                router short of CPU, an outcome may wait as long.
        """
        reserved = min(ANSWER_TIME_RATIO * time_left_s, MAX_ANSWER_TIME_S)
        self.attempts_deadline = self.deadline - max(
            TIME_MARGIN_S / 2, reserved, min(2.0 * recent_lag_s, time_left_s / 2)
        )

    def on_answer(self, attempt_no: int, cost: Cost | None, report: LoadReport | None) -> None:
        """Records that the answer of an attempt has reached the client.

        Args:
            attempt_no: the number of the attempt.
            cost: work and memory that the request took; None if the engine does not report them.
            report: the engine's load report; None if there is none.
        """
        attempt = self._end(attempt_no)
        if attempt is not None:
            self._owner.on_attempt_answered(self, attempt, cost, report)

    def on_attempt_end(
        self, attempt_no: int, outcome: AttemptOutcome, already_completed: bool, report: LoadReport | None
    ) -> None:
        """Records that an attempt ended without an answer.

        Args:
            attempt_no: the number of the attempt.
            outcome: how it ended.
            already_completed: whether the client has its final answer.
            report: a load report, which is ignored.
        """
        attempt = self._end(attempt_no)
        if attempt is None:
            return
        if not outcome.never_ran:
            # The idempotency window starts with the earliest attempt, in whatever order attempts end.
            first = self.earliest_possible_run
            if first is None or attempt.started_at < first.started_at:
                self.earliest_possible_run = attempt
        self._owner.on_attempt_failed(self, attempt, outcome, already_completed)

    def on_contact_lost(self, attempt_no: int, outcome: AttemptOutcome) -> None:
        """Records that an attempt in flight will end without an answer, once its engine cannot be running it.

        Args:
            attempt_no: the number of the attempt.
            outcome: how it will end.
        """
        for attempt in self._attempts_numbered(attempt_no):
            self._owner.on_contact_lost(self, attempt, outcome)

    def on_client_disconnect(self) -> None:
        """Completes the request, because its client no longer waits."""
        self._owner.complete(self)

    def on_progress(self, attempt_no: int, progress: float | None, is_stalled: bool = False) -> None:
        """Records the progress of an attempt in flight.

        Args:
            attempt_no: the number of the attempt.
            progress: share of the work done; None if it is not known.
            is_stalled: whether the attempt makes no progress.
        """
        for attempt in self._attempts_numbered(attempt_no):
            if progress is not None:
                attempt.progress = progress
            attempt.is_stalled = is_stalled
            attempt.engine.last_contact_at = self._owner.now()

    def on_result_reading(self, attempt_no: int) -> None:
        """Records that the engine is done and its result is being read.

        Reading a result takes none of the engine's threads.
        """
        self.on_progress(attempt_no, 1.0, is_stalled=True)
        for attempt in self._attempts_numbered(attempt_no):
            attempt.finished_at = attempt.finished_at or attempt.engine.last_contact_at

    def _attempts_numbered(self, attempt_no: int) -> list[Attempt]:
        return [attempt for attempt in self.in_flight if attempt.number == attempt_no]

    def _end(self, attempt_no: int) -> Attempt | None:
        attempt = next(iter(self._attempts_numbered(attempt_no)), None)
        if attempt is not None:
            self.in_flight.remove(attempt)
        return attempt
