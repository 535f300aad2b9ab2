"""A slow, plain model of the rules beside the module; both must agree on what is allowed."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.fair_queue.admission import AdmissionController, AdmissionReason, Arrival, Bounds
from marbleworks.fair_queue.flow_classifier import FlowClassifier
from marbleworks.model import AttemptOutcome, EngineStatus, Idempotency
from marbleworks.scheduling.request_state import RequestState
from marbleworks.scheduling.scheduler import Scheduler
from tests.support.stand_ins import FLEET, PROFILES, RULES, Recorder, engine

STEP = st.one_of(
    st.tuples(
        st.just("take"),
        st.integers(0, 4),
        st.integers(0, 2),
        st.floats(0.0, 6.0),
        st.sampled_from([0.05, 1.0, 6.0, 25.0]),
    ),
    st.tuples(st.just("end"), st.integers(0, 40), st.sampled_from([None, *AttemptOutcome])),
    st.tuples(st.just("leave"), st.integers(0, 40)),
    st.tuples(st.just("note"), st.integers(0, 40), st.floats(0.0, 1.0)),
    st.tuples(st.just("list"), st.integers(0, 3), st.sampled_from(list(EngineStatus)), st.booleans()),
    st.tuples(st.just("wait"), st.sampled_from([0.01, 0.3, 1.0, 5.2])),
    st.tuples(st.just("rush"), st.integers(0, 4), st.integers(1, 60)),
)


class Model(Recorder):
    """Objects to whatever the rules forbid. It keeps every event whole and searches them each time."""

    def __init__(self) -> None:
        super().__init__()
        self.takes: dict[str, dict[str, Any]] = {}
        self.sends: list[dict[str, Any]] = []
        self.lists: dict[int, tuple[EngineStatus, float, int]] = {}
        self.before_start: dict[int, int] = {}  # sends made before an engine last started

    def of(self, ref: str) -> list[dict[str, Any]]:
        return [s for s in self.sends if s["ref"] == ref]

    def that_left(self, ref: str) -> list[dict[str, Any]]:
        """What an engine got, or may still get."""
        return [s for s in self.of(ref) if s["how"] is None or not s["how"].never_sent]

    def may_have_run(self, ref: str) -> list[dict[str, Any]]:
        return [s for s in self.of(ref) if s["how"] is None or not s["how"].never_ran]

    def start_attempt(self, ref: str, engine_id: int, deadline: float, begin_by: float) -> None:
        take, now = self.takes[ref], self.clock
        p, earlier, doubtful = take["profile"], self.of(ref), self.may_have_run(ref)
        listed, started, kind = self.lists[engine_id]
        assert not take["over"] and now < take["deadline"], "sent for a command that is over"
        assert listed is EngineStatus.UP, "sent to an engine that drains or is gone"
        assert p.allowed_machine_kinds is None or kind in p.allowed_machine_kinds, "placement"
        assert len(self.that_left(ref)) < RULES.max_attempts, "too many sends"
        assert len(earlier) < 2 * RULES.max_attempts, "too many tries"
        if doubtful:
            assert p.idempotency is not Idempotency.NON_IDEMPOTENT, "may run twice"
            age = now - min(s["at"] for s in doubtful)
            assert (
                p.idempotency is not Idempotency.IDEMPOTENCY_KEY or age < p.idempotency_window_s
            ), "repeat outside the window"
            first = min(s["at"] for s in doubtful)
            assert (
                p.idempotency is not Idempotency.IDEMPOTENCY_KEY or begin_by < first + p.idempotency_window_s
            ), "may begin outside it"
        if p.ordered_by_key and take["key"]:
            for ref2, other in self.takes.items():
                if (
                    other["no"] < take["no"]
                    and other["key"] == take["key"]
                    and other["profile"].ordered_by_key
                ):
                    assert other["over"], "an earlier command of the key is not over"
                    for s in self.of(ref2):
                        assert s["how"] is not None, "an earlier send of the key has no outcome"
                        rested = now >= s["ended"] + RULES.key_settle_s
                        assert rested or not s["how"].may_still_run, "the key does not rest"
        if further := bool(self.that_left(ref)):
            since = now - RULES.retry_budget_window_s
            # Each may leave as late as it may: those before within the window of now, and this one then.
            counted = [s for s in self.sends if s["how"] is None or not s["how"].never_sent]
            spent = sum(s["further"] and s["by"] >= since for s in counted) + 1
            took = sum(t["at"] > begin_by - RULES.retry_budget_window_s for t in self.takes.values())
            assert (
                spent <= RULES.retry_budget_floor + RULES.retry_budget_ratio * took
            ), "budget of further sends"
        send = {"ref": ref, "no": len(earlier), "be": engine_id, "at": now, "how": None, "further": further}
        send["by"] = begin_by
        self.sends.append(send)
        if started > 0 and now < started + RULES.slow_start_s:
            # Every command of a profile weighs the same, and no share of the other router is used up.
            since_start = self.sends[self.before_start[engine_id] :]
            here = [
                s for s in since_start if s["be"] == engine_id and s["by"] >= now - RULES.overload_window_s
            ]
            left = [s for s in here if s["how"] is None or not s["how"].never_sent]
            weights = [self.takes[s["ref"]]["usual"] for s in left]
            age = (
                max(now - RULES.overload_window_s - started, 0.0) / RULES.slow_start_s
            )  # when the span began
            warm = RULES.slow_start_floor + (1.0 - RULES.slow_start_floor) * age
            budget = warm * RULES.overload_multiple * RULES.overload_window_s * 8 / 2
            assert sum(weights) <= budget, "a fresh engine is pushed over"

    def finish(self, ref: str, how: str) -> None:
        assert not self.takes[ref]["over"], f"{how} of a command that is over"
        assert self.clock <= self.takes[ref]["deadline"] + 0.02, "the final answer is late"
        self.takes[ref]["over"] = True

    def shed(self, ref: str, retry_after_s: float) -> None:
        effect = self.takes[ref]["profile"].idempotency
        assert effect is not Idempotency.NON_IDEMPOTENT or not self.may_have_run(
            ref
        ), "shed after it may have run"
        self.finish(ref, "shed")

    def fail(self, ref: str) -> None:
        self.finish(ref, "fail")


class Day:
    def __init__(self) -> None:
        self.model = Model()
        self.gateway = Scheduler(self.model, 3, PROFILES, RULES, FLEET)
        self.commands: dict[str, RequestState] = {}
        for be in range(4):
            self.listed(be, EngineStatus.UP, False)

    def listed(self, be: int, listed: EngineStatus, restarted: bool) -> None:
        if restarted:
            self.model.before_start[be] = len(self.model.sends)
        started = self.model.clock if restarted else self.model.lists.get(be, (listed, 0.0, 0))[1]
        self.model.lists[be] = (listed, started, be % 2)
        self.gateway.update_engines([engine(be, listed, started, be % 2)], complete=False)

    def take(self, profile: int, key: int, work: float, left: float) -> None:
        ref, model = f"c{len(model_takes := self.model.takes)}", self.model
        usual = [
            *(w for q, w in self.gateway.parts.estimates.recent_work if q == profile),
            work or self.gateway.mean_work(profile),
        ]
        model_takes[ref] = {
            "profile": PROFILES[profile],
            "key": f"k{key}",
            "no": len(model_takes),
            "at": model.clock,
            "deadline": model.clock + left,
            "over": False,
            "usual": sum(usual[-128:]) / len(usual[-128:]),
        }
        self.commands[ref] = self.gateway.submit(
            ref, profile, key, f"k{key}", (work, 10.0), -1, model.clock, left
        )

    def leave(self, which: int) -> None:
        ref = list(self.commands)[which % len(self.commands)]
        if not self.model.takes[ref]["over"]:
            self.model.takes[ref]["over"] = True
            self.commands[ref].on_client_disconnect()

    def end(self, send: dict[str, Any], how: AttemptOutcome | None) -> None:
        """An answer where how is None. Unused sends come only after their command is over."""
        cmd, take = self.commands[send["ref"]], self.model.takes[send["ref"]]
        how = AttemptOutcome.ERROR if how is AttemptOutcome.UNSENT else how
        send["ended"] = self.model.clock
        send["how"], was_over = how or AttemptOutcome.ERROR, take["over"]
        if how is None:
            take["over"] = True
            cmd.on_answer(send["no"], None, None)
        else:
            cmd.on_attempt_end(send["no"], how, was_over, None)

    def out(self) -> list[dict[str, Any]]:
        return [s for s in self.model.sends if s["how"] is None]

    def wait(self, seconds: float) -> None:
        """Time runs to the next waking or time-out, whichever comes first."""
        end = self.model.clock + seconds
        while True:
            cut = {id(s): self.model.takes[s["ref"]]["deadline"] - 0.01 for s in self.out()}
            wakes = min(self.gateway.parts.timers.next_review_at, self.gateway.parts.timers.next_expiry_at)
            at = min([wakes, *cut.values(), end])
            self.model.clock = max(at, self.model.clock)
            due = [s for s in self.out() if cut.get(id(s), end) <= self.model.clock]
            for send in due:
                self.end(send, AttemptOutcome.TIMED_OUT)
            if wakes <= self.model.clock:
                self.gateway.on_timer()
            elif not due and at >= end:
                return


class Behind(Day):
    """The same with a door in front, which holds commands back, turns some away and lets them in in its
    order."""

    def __init__(self) -> None:
        super().__init__()
        self.door = AdmissionController(
            self,
            FlowClassifier(16, 3, {}, {}),
            Bounds(20, 1e5, 50, False, False),
            2.0,
            RULES.max_retry_after_s,
        )
        self.held: dict[str, tuple[int, int, float, float]] = {}

    def take(self, profile: int, key: int, work: float, left: float) -> None:
        takes, now, p = self.model.takes, self.model.clock, PROFILES[profile]
        ref = f"c{len(takes)}"
        takes[ref] = {
            "profile": p,
            "key": f"k{key}",
            "no": len(takes),
            "at": now,
            "deadline": now + left,
            "over": False,
        }
        self.held[ref] = profile, key, work, now + left
        said = work or self.gateway.mean_work(profile)
        new = Arrival(
            ref, f"m{key % 3}", "", f"k{key}", said, p.threads, 99, left / 2, left - 0.05, len(takes)
        )
        self.door.arrive(new, now)
        self.settle()

    def admit(self, ref: str, wait: float | None) -> None:
        profile, key, work, deadline = self.held.pop(ref)
        take, gateway = self.model.takes[ref], self.gateway
        usual = [
            *(w for q, w in gateway.parts.estimates.recent_work if q == profile),
            work or gateway.mean_work(profile),
        ]
        take["usual"], left = sum(usual[-128:]) / len(usual[-128:]), deadline - self.model.clock
        told = work, 10.0
        self.commands[ref] = gateway.submit(ref, profile, key, f"k{key}", told, -1, take["at"], left, wait)

    def let_in(self, ref: str) -> None:
        self.admit(ref, None)

    def turn_away(self, ref: str, after: float) -> None:
        self.admit(ref, after)

    def tell_peers(self, data: bytes) -> None: ...

    def trace(self, ref: str, member: str, why: AdmissionReason, seconds: float) -> None: ...

    def broke(self, ref: str, member: str, cause: str) -> None: ...

    def settle(self) -> None:
        """What is over leaves the door."""
        while over := [ref for ref in self.door.inside if self.model.takes[ref]["over"]]:
            for ref in over:
                self.door.over(ref, True, self.model.clock)

    def leave(self, which: int) -> None:
        waiting = list(self.door.waiting)
        if waiting and which % 2:
            ref = waiting[which % len(waiting)]
            assert self.door.left(ref)
            self.model.takes[ref]["over"] = True
            del self.held[ref]
        else:
            super().leave(which)
        self.settle()

    def end(self, send: dict[str, Any], how: AttemptOutcome | None) -> None:
        super().end(send, how)
        if how is None:
            self.door.answered(send["ref"], 0.5, 0.5, self.model.clock)
        self.settle()

    def wait(self, seconds: float) -> None:
        end = self.model.clock + seconds
        while self.model.clock < end - 1e-9:
            super().wait(min(0.02, end - self.model.clock))
            self.door.tick(self.model.clock)
            self.settle()


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(STEP, min_size=5, max_size=60))
def test_the_module_does_nothing_that_the_model_forbids(steps: list[Any]) -> None:
    played(Day(), steps)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(STEP, min_size=5, max_size=60))
def test_nor_does_it_with_a_door_in_front(steps: list[Any]) -> None:
    played(Behind(), steps)


def played(day: Day, steps: list[Any]) -> None:
    for name, *args in steps:
        if name == "take":
            day.take(*args)
        elif name == "end" and day.out():
            day.end(day.out()[args[0] % len(day.out())], args[1])
        elif name == "leave" and day.commands:
            day.leave(args[0])
        elif name == "note" and day.out():
            send = day.out()[args[0] % len(day.out())]
            day.commands[send["ref"]].on_progress(send["no"], args[1])
        elif name == "list":
            day.listed(*args)
        elif name == "wait":
            day.wait(args[0])
        elif name == "rush":
            for n in range(args[1]):
                day.take(args[0], n, 0.3, 8.0)
                for send in day.out():
                    day.end(send, None)
    day.wait(30.0)
    assert all(take["over"] for take in day.model.takes.values()), "a command was lost"


def test_nothing_that_could_be_sent_is_starved() -> None:
    day = Day()
    for n in range(300):
        day.take(n % 5, n % 3, 0.1 + n % 7 * 0.2, 9.0)
        day.wait(0.3)
        for send in day.out():
            day.end(send, None)
    answered = sum(s["how"] is AttemptOutcome.ERROR for s in day.model.sends)
    assert answered >= 290
