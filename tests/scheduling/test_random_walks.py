"""Random walks over the scheduler, checked against a slow and simple model of the rules."""

from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st

from marbleworks.fair_queue.admission import (
    AdmissionBounds,
    AdmissionController,
    AdmissionReason,
    IncomingRequest,
)
from marbleworks.fair_queue.flow_classifier import FlowClassifier
from marbleworks.model import AttemptOutcome, EngineStatus, Idempotency, IdempotencyScope
from marbleworks.scheduling.request_state import RequestState
from marbleworks.scheduling.scheduler import Scheduler
from tests.support.stand_ins import FLEET, REQUEST_CLASSES, RULES, RecordingPort, engine_entry

ENGINES = 6
ZONE_OF_ENGINE = (0, 0, 0, 1, 1, 1)
CELL_OF_ENGINE = (0, 0, 1, 2, 2, 3)
STEP = st.one_of(
    st.tuples(
        st.just("submit"),
        st.integers(0, len(REQUEST_CLASSES) - 1),
        st.integers(0, 2),
        st.floats(0.0, 6.0),
        st.sampled_from([0.05, 1.0, 6.0, 25.0]),
    ),
    st.tuples(st.just("end"), st.integers(0, 40), st.sampled_from([None, *AttemptOutcome])),
    st.tuples(st.just("disconnect"), st.integers(0, 40)),
    st.tuples(st.just("progress"), st.integers(0, 40), st.floats(0.0, 1.0)),
    st.tuples(
        st.just("list"), st.integers(0, ENGINES - 1), st.sampled_from(list(EngineStatus)), st.booleans()
    ),
    st.tuples(st.just("wait"), st.sampled_from([0.01, 0.3, 1.0, 5.2])),
    st.tuples(st.just("burst"), st.integers(0, len(REQUEST_CLASSES) - 1), st.integers(1, 60)),
)


class ReferenceModel(RecordingPort):
    """Rejects every call that the rules forbid; keeps all events and searches them on each call."""

    def __init__(self) -> None:
        super().__init__()
        self.submissions: dict[str, dict[str, Any]] = {}
        self.attempts: list[dict[str, Any]] = []
        self.listings: dict[int, tuple[EngineStatus, float, int]] = {}
        self.attempts_before_start: dict[int, int] = {}  # number of attempts before an engine last started

    def attempts_of(self, ref: str) -> list[dict[str, Any]]:
        return [s for s in self.attempts if s["ref"] == ref]

    def possibly_sent(self, ref: str) -> list[dict[str, Any]]:
        """Returns the attempts that an engine received or may still receive."""
        return [s for s in self.attempts_of(ref) if s["outcome"] is None or not s["outcome"].never_sent]

    def possibly_run(self, ref: str) -> list[dict[str, Any]]:
        """Returns the attempts that may have run."""
        return [s for s in self.attempts_of(ref) if s["outcome"] is None or not s["outcome"].never_ran]

    def recognizes_key(self, scope: IdempotencyScope, ran_on: int, engine_id: int) -> bool:
        """Returns whether an engine recognizes the key of a request that another one ran."""
        if scope is IdempotencyScope.ZONE:
            return ZONE_OF_ENGINE[ran_on] == ZONE_OF_ENGINE[engine_id]
        return scope is IdempotencyScope.ALL or CELL_OF_ENGINE[ran_on] == CELL_OF_ENGINE[engine_id]

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        submission, now = self.submissions[ref], self.clock
        request_class, earlier_attempts, possible_runs = (
            submission["request_class"],
            self.attempts_of(ref),
            self.possibly_run(ref),
        )
        status, started_at, kind = self.listings[engine_id]
        assert (
            not submission["completed"] and now < submission["deadline"]
        ), "started for a request that is completed or expired"
        assert status is EngineStatus.UP, "sent to an engine that drains or has left"
        assert (
            request_class.allowed_machine_kinds is None or kind in request_class.allowed_machine_kinds
        ), "started on a machine kind that is not allowed"
        assert len(self.possibly_sent(ref)) < RULES.max_attempts, "too many attempts that were sent"
        assert len(earlier_attempts) < 2 * RULES.max_attempts, "too many attempts"
        if possible_runs:
            assert (
                request_class.idempotency is not Idempotency.NON_IDEMPOTENT
            ), "a non-idempotent request may run twice"
            age = now - min(s["started_at"] for s in possible_runs)
            assert (
                request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY
                or age < request_class.idempotency_window_s
            ), "repeated after the idempotency window"
            first = min(s["started_at"] for s in possible_runs)
            assert (
                request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY
                or begin_by < first + request_class.idempotency_window_s
            ), "may start after the idempotency window"
            assert request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY or all(
                self.recognizes_key(request_class.idempotency_scope, s["engine_id"], engine_id)
                for s in possible_runs
            ), "repeated on an engine that does not recognize the key"
        if request_class.ordered_by_key and submission["key"]:
            for other_ref, other in self.submissions.items():
                if (
                    other["number"] < submission["number"]
                    and other["key"] == submission["key"]
                    and other["request_class"].ordered_by_key
                ):
                    assert other["completed"], "an earlier request of the key is not completed"
                    for s in self.attempts_of(other_ref):
                        assert s["outcome"] is not None, "an earlier attempt of the key has no outcome"
                        is_settled = now >= s["ended_at"] + RULES.key_settle_s
                        assert (
                            is_settled or not s["outcome"].may_still_run
                        ), "the settle time of the key has not passed"
        if is_retry := bool(self.possibly_sent(ref)):
            window_start = now - RULES.retry_budget_window_s
            # In the worst case each attempt starts as late as it may: the earlier ones within the window
            # before now, and this one at its latest start.
            counted_attempts = [
                s for s in self.attempts if s["outcome"] is None or not s["outcome"].never_sent
            ]
            retry_count = sum(s["is_retry"] and s["begin_by"] >= window_start for s in counted_attempts) + 1
            submitted_count = sum(
                t["submitted_at"] > begin_by - RULES.retry_budget_window_s for t in self.submissions.values()
            )
            assert (
                retry_count <= RULES.retry_budget_floor + RULES.retry_budget_ratio * submitted_count
            ), "retry budget exceeded"
        attempt = {
            "ref": ref,
            "number": len(earlier_attempts),
            "engine_id": engine_id,
            "started_at": now,
            "outcome": None,
            "is_retry": is_retry,
        }
        attempt["begin_by"] = begin_by
        self.attempts.append(attempt)
        if started_at > 0 and now < started_at + RULES.slow_start_s:
            # Every request of a class counts the same work, and the other router uses none of its share.
            attempts_since_start = self.attempts[self.attempts_before_start[engine_id] :]
            attempts_here = [
                s
                for s in attempts_since_start
                if s["engine_id"] == engine_id and s["begin_by"] >= now - RULES.overload_window_s
            ]
            sent_attempts = [s for s in attempts_here if s["outcome"] is None or not s["outcome"].never_sent]
            works = [self.submissions[s["ref"]]["mean_work"] for s in sent_attempts]
            # The engine's warm-up at the start of the window limits the work in it.
            age = max(now - RULES.overload_window_s - started_at, 0.0) / RULES.slow_start_s
            capacity_share = RULES.slow_start_floor + (1.0 - RULES.slow_start_floor) * age
            budget = capacity_share * RULES.overload_multiple * RULES.overload_window_s * 8 / 2
            assert sum(works) <= budget, "a warming engine is overloaded"

    def finish(self, ref: str, outcome: str) -> None:
        assert not self.submissions[ref]["completed"], f"{outcome} of a request that is completed"
        assert self.clock <= self.submissions[ref]["deadline"] + 0.02, "the final answer is late"
        self.submissions[ref]["completed"] = True

    def shed(self, ref: str, retry_after_s: float) -> None:
        request_class = self.submissions[ref]["request_class"]
        idempotency = request_class.idempotency
        is_known_everywhere = request_class.idempotency_scope is IdempotencyScope.ALL
        assert (
            idempotency is Idempotency.IDEMPOTENT
            or (idempotency is Idempotency.IDEMPOTENCY_KEY and is_known_everywhere)
            or not self.possibly_run(ref)
        ), "shed after it may have run"
        self.finish(ref, "shed")

    def fail(self, ref: str) -> None:
        self.finish(ref, "fail")


class RandomWalk:
    """Drives a scheduler through random events."""

    def __init__(self) -> None:
        self.model = ReferenceModel()
        self.scheduler = Scheduler(self.model, 3, REQUEST_CLASSES, RULES, FLEET)
        self.requests: dict[str, RequestState] = {}
        for engine_id in range(ENGINES):
            self.list_engine(engine_id, EngineStatus.UP, False)

    def list_engine(self, engine_id: int, status: EngineStatus, restarted: bool) -> None:
        if restarted:
            self.model.attempts_before_start[engine_id] = len(self.model.attempts)
        started_at = (
            self.model.clock if restarted else self.model.listings.get(engine_id, (status, 0.0, 0))[1]
        )
        self.model.listings[engine_id] = (status, started_at, engine_id % 2)
        zone, cell = ZONE_OF_ENGINE[engine_id], CELL_OF_ENGINE[engine_id]
        entry = engine_entry(engine_id, status, started_at, engine_id % 2, zone, cell)
        self.scheduler.update_engines([entry], complete=False)

    def submit_request(self, class_index: int, key: int, work: float, time_left_s: float) -> None:
        ref, model = f"c{len(model_submissions := self.model.submissions)}", self.model
        class_work = [
            *(
                work_s
                for other_index, work_s in self.scheduler.components.estimates.recent_work
                if other_index == class_index
            ),
            work or self.scheduler.mean_work(class_index),
        ]
        model_submissions[ref] = {
            "request_class": REQUEST_CLASSES[class_index],
            "key": f"k{key}",
            "number": len(model_submissions),
            "submitted_at": model.clock,
            "deadline": model.clock + time_left_s,
            "completed": False,
            "mean_work": sum(class_work[-128:]) / len(class_work[-128:]),
        }
        self.requests[ref] = self.scheduler.submit(
            ref, class_index, key, f"k{key}", (work, 10.0), -1, model.clock, time_left_s
        )

    def disconnect_client(self, index: int) -> None:
        ref = list(self.requests)[index % len(self.requests)]
        if not self.model.submissions[ref]["completed"]:
            self.model.submissions[ref]["completed"] = True
            self.requests[ref].on_client_disconnect()

    def end_attempt(self, attempt: dict[str, Any], outcome: AttemptOutcome | None) -> None:
        """Ends an attempt; an outcome of None is an answer.

        An attempt is unsent only after its request is completed, so ERROR replaces that outcome.
        """
        request, submission = self.requests[attempt["ref"]], self.model.submissions[attempt["ref"]]
        outcome = AttemptOutcome.ERROR if outcome is AttemptOutcome.UNSENT else outcome
        attempt["ended_at"] = self.model.clock
        attempt["outcome"], was_completed = outcome or AttemptOutcome.ERROR, submission["completed"]
        if outcome is None:
            submission["completed"] = True
            request.on_answer(attempt["number"], None, None)
        else:
            request.on_attempt_end(attempt["number"], outcome, was_completed, None)

    def attempts_in_flight(self) -> list[dict[str, Any]]:
        return [s for s in self.model.attempts if s["outcome"] is None]

    def advance(self, seconds: float) -> None:
        """Advances the clock by the given seconds, with each wake-up and timeout on the way."""
        end = self.model.clock + seconds
        while True:
            timeouts = {
                id(s): self.model.submissions[s["ref"]]["deadline"] - 0.01 for s in self.attempts_in_flight()
            }
            next_wakeup = min(
                self.scheduler.components.timers.next_review_at,
                self.scheduler.components.timers.next_expiry_at,
            )
            at = min([next_wakeup, *timeouts.values(), end])
            self.model.clock = max(at, self.model.clock)
            due = [s for s in self.attempts_in_flight() if timeouts.get(id(s), end) <= self.model.clock]
            for attempt in due:
                self.end_attempt(attempt, AttemptOutcome.TIMED_OUT)
            if next_wakeup <= self.model.clock:
                self.scheduler.on_timer()
            elif not due and at >= end:
                return


class RandomWalkWithAdmission(RandomWalk):
    """A random walk with an admission controller in front, which delays, rejects and reorders requests."""

    def __init__(self) -> None:
        super().__init__()
        self.admission = AdmissionController(
            self,
            FlowClassifier(16, 3, {}, {}),
            AdmissionBounds(20, 1e5, 50, False, False),
            2.0,
            RULES.max_retry_after_s,
        )
        self.waiting_arrivals: dict[str, tuple[int, int, float, float]] = {}

    def submit_request(self, class_index: int, key: int, work: float, time_left_s: float) -> None:
        submissions, now, request_class = (
            self.model.submissions,
            self.model.clock,
            REQUEST_CLASSES[class_index],
        )
        ref = f"c{len(submissions)}"
        submissions[ref] = {
            "request_class": request_class,
            "key": f"k{key}",
            "number": len(submissions),
            "submitted_at": now,
            "deadline": now + time_left_s,
            "completed": False,
        }
        self.waiting_arrivals[ref] = class_index, key, work, now + time_left_s
        work_estimate = work or self.scheduler.mean_work(class_index)
        request = IncomingRequest(
            ref,
            f"m{key % 3}",
            "",
            f"k{key}",
            work_estimate,
            request_class.threads,
            99,
            time_left_s / 2,
            time_left_s - 0.05,
            len(submissions),
        )
        self.admission.submit(request, now)
        self.remove_completed()

    def submit_to_scheduler(self, ref: str, retry_after_s: float | None) -> None:
        class_index, key, work, deadline = self.waiting_arrivals.pop(ref)
        submission, scheduler = self.model.submissions[ref], self.scheduler
        class_work = [
            *(
                work_s
                for other_index, work_s in scheduler.components.estimates.recent_work
                if other_index == class_index
            ),
            work or scheduler.mean_work(class_index),
        ]
        submission["mean_work"], time_left_s = (
            sum(class_work[-128:]) / len(class_work[-128:]),
            deadline - self.model.clock,
        )
        estimate = work, 10.0
        self.requests[ref] = scheduler.submit(
            ref,
            class_index,
            key,
            f"k{key}",
            estimate,
            -1,
            submission["submitted_at"],
            time_left_s,
            retry_after_s,
        )

    def admit(self, ref: str) -> None:
        self.submit_to_scheduler(ref, None)

    def shed(self, ref: str, after: float) -> None:
        self.submit_to_scheduler(ref, after)

    def send_to_peers(self, data: bytes) -> None: ...

    def trace_decision(self, ref: str, member: str, why: AdmissionReason, seconds: float) -> None: ...

    def on_promise_broken(self, ref: str, member: str, cause: str) -> None: ...

    def remove_completed(self) -> None:
        """Removes completed requests from the admission controller."""
        while completed := [
            ref for ref in self.admission.admitted if self.model.submissions[ref]["completed"]
        ]:
            for ref in completed:
                self.admission.on_end_without_answer(ref, True, self.model.clock)

    def disconnect_client(self, index: int) -> None:
        waiting = list(self.admission.waiting)
        if waiting and index % 2:
            ref = waiting[index % len(waiting)]
            assert self.admission.on_client_disconnect(ref)
            self.model.submissions[ref]["completed"] = True
            del self.waiting_arrivals[ref]
        else:
            super().disconnect_client(index)
        self.remove_completed()

    def end_attempt(self, attempt: dict[str, Any], outcome: AttemptOutcome | None) -> None:
        super().end_attempt(attempt, outcome)
        if outcome is None:
            self.admission.on_answer(attempt["ref"], 0.5, 0.5, self.model.clock)
        self.remove_completed()

    def advance(self, seconds: float) -> None:
        end = self.model.clock + seconds
        while self.model.clock < end - 1e-9:
            super().advance(min(0.02, end - self.model.clock))
            self.admission.tick(self.model.clock)
            self.remove_completed()


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(STEP, min_size=5, max_size=60))
def test_the_scheduler_does_nothing_that_the_model_forbids(steps: list[Any]) -> None:
    replay(RandomWalk(), steps)


# Two admitted requests of one flow, the second with almost no work: the end of the second finds no flow.
ALMOST_NO_WORK = [("submit", 0, 2, 0.03125, 0.05), ("submit", 0, 2, 1.489e-18, 0.05)]


@settings(derandomize=True, max_examples=100, deadline=None)
@example(ALMOST_NO_WORK)
@given(st.lists(STEP, min_size=5, max_size=60))
def test_the_scheduler_with_admission_does_nothing_that_the_model_forbids(steps: list[Any]) -> None:
    replay(RandomWalkWithAdmission(), steps)


def replay(walk: RandomWalk, steps: list[Any]) -> None:
    for name, *args in steps:
        if name == "submit":
            walk.submit_request(*args)
        elif name == "end" and walk.attempts_in_flight():
            walk.end_attempt(walk.attempts_in_flight()[args[0] % len(walk.attempts_in_flight())], args[1])
        elif name == "disconnect" and walk.requests:
            walk.disconnect_client(args[0])
        elif name == "progress" and walk.attempts_in_flight():
            attempt = walk.attempts_in_flight()[args[0] % len(walk.attempts_in_flight())]
            walk.requests[attempt["ref"]].on_progress(attempt["number"], args[1])
        elif name == "list":
            walk.list_engine(*args)
        elif name == "wait":
            walk.advance(args[0])
        elif name == "burst":
            for n in range(args[1]):
                walk.submit_request(args[0], n, 0.3, 8.0)
                for attempt in walk.attempts_in_flight():
                    walk.end_attempt(attempt, None)
    walk.advance(30.0)
    assert all(
        submission["completed"] for submission in walk.model.submissions.values()
    ), "a request was not answered"


def test_no_request_that_could_be_sent_is_starved() -> None:
    walk = RandomWalk()
    for n in range(300):
        walk.submit_request(n % len(REQUEST_CLASSES), n % 3, 0.1 + n % 7 * 0.2, 9.0)
        walk.advance(0.3)
        for attempt in walk.attempts_in_flight():
            walk.end_attempt(attempt, None)
    answered = sum(s["outcome"] is AttemptOutcome.ERROR for s in walk.model.attempts)
    assert answered >= 290
