"""Ejects engines that fail, refuse connections or go silent for a while."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marbleworks.model import AttemptOutcome
from marbleworks.scheduling.engine_state import FIRST_EJECTION_S

if TYPE_CHECKING:
    from marbleworks.ports import SchedulerPort
    from marbleworks.scheduling.engine_state import EngineState
    from marbleworks.scheduling.latency import LatencyMonitor
    from marbleworks.scheduling.request_state import RequestState

MAX_EJECTION_S = 8.0
MAX_FAILURES = 3  # among the last outcomes of an engine
RECENT_CONTACT_S = 1.0  # an engine heard within it is alive, whatever one attempt shows

NO_FAULT = (AttemptOutcome.CANCELLED, AttemptOutcome.UNSENT, AttemptOutcome.WITHHELD)


class OutlierDetector:
    """Keeps the failures of each engine and ejects it when they are too many."""

    def __init__(self, port: SchedulerPort, latency: LatencyMonitor) -> None:
        self._port = port
        self._latency = latency

    def on_answer(self, engine: EngineState, now: float) -> None:
        """The engine has answered a request."""
        engine.last_contact_at = now
        engine.refuses_connections = False
        engine.answer_count += 1
        engine.recent_failures.append(False)
        engine.next_ejection_s = FIRST_EJECTION_S

    def on_failure(
        self, engine: EngineState, outcome: AttemptOutcome, now: float, request: RequestState | None = None
    ) -> None:
        """An attempt or a probe ended without an answer.

        Engines that fail fast would look idle, and dead ones too. A request that fails at each engine counts
        against the first of them only.
        """
        # On an engine heard a moment ago it is the request that waits, or one connection among others.
        is_alive = (
            outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECT_TIMEOUT)
            and now < engine.last_contact_at + RECENT_CONTACT_S
        )
        if outcome in (AttemptOutcome.ERROR, AttemptOutcome.REJECTED):
            engine.last_contact_at = now
        engine.refuses_connections = outcome is AttemptOutcome.CONNECTION_REFUSED or (
            engine.refuses_connections and engine.last_contact_at < now
        )
        if outcome is AttemptOutcome.ERROR and request is not None:
            had_failed = request.has_erred
            request.has_erred = True
            if had_failed:
                return
        if outcome is AttemptOutcome.REJECTED:  # a full engine is not faulty, but is left alone for a while
            engine.ejected_until = max(now + FIRST_EJECTION_S / 2, engine.ejected_until)
            self._latency.record_rejection(now)
        elif outcome not in NO_FAULT and not is_alive:
            engine.recent_failures.append(True)
            is_repeated = (
                engine.next_ejection_s > FIRST_EJECTION_S or sum(engine.recent_failures) >= MAX_FAILURES
            )
            if is_repeated or outcome is not AttemptOutcome.ERROR:
                self.eject(engine, now, outcome.value)

    def eject(self, engine: EngineState, now: float, reason: str) -> None:
        """Ejects an engine, twice as long as the last time."""
        if now < engine.ejected_until:
            return
        engine.ejected_until = now + engine.next_ejection_s
        engine.next_ejection_s = min(2.0 * engine.next_ejection_s, MAX_EJECTION_S)
        duration = engine.ejected_until - now
        self._port.log(f"engine {engine.entry.name} ejected for {duration:.1f} s: {reason}")

    @staticmethod
    def healthy(engines: list[EngineState], now: float) -> list[EngineState]:
        """Returns the engines that are not ejected, unless that shuts out most.

        A formerly ejected one gets one attempt at a time until it answers.
        """
        # Among few warm engines most may be dead: a refused connection is proof, no mere symptom.
        allowed = [e for e in engines if now >= e.ejected_until or not e.refuses_connections] or engines
        trusted = [
            e
            for e in allowed
            if now >= e.ejected_until and (e.next_ejection_s == FIRST_EJECTION_S or not e.in_flight)
        ]
        return trusted if 2 * len(trusted) >= len(allowed) else allowed
