"""Ejects engines that fail, refuse connections or go silent, for a limited time."""

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
MAX_FAILURES = 3  # failures among an engine's recent outcomes that lead to an ejection
RECENT_CONTACT_S = 1.0  # an engine with contact within this time is alive, even if an attempt timed out

OUTCOMES_WITHOUT_FAULT = (AttemptOutcome.CANCELLED, AttemptOutcome.UNSENT, AttemptOutcome.WITHHELD)


class OutlierDetector:
    """Counts the failures of each engine and ejects an engine with too many."""

    def __init__(self, port: SchedulerPort, latency: LatencyMonitor) -> None:
        self._port = port
        self._latency = latency

    def on_answer(self, engine: EngineState, now: float) -> None:
        """Records that the engine has answered a request."""
        engine.last_contact_at = now
        engine.refuses_connections = False
        engine.answer_count += 1
        engine.recent_failures.append(False)
        engine.next_ejection_s = FIRST_EJECTION_S

    def on_failure(
        self, engine: EngineState, outcome: AttemptOutcome, now: float, request: RequestState | None = None
    ) -> None:
        """Records an attempt or a probe that ended without an answer.

        Engines that fail fast, or are dead, would otherwise look idle and attract requests. A request that
        fails at several engines counts as a failure of the first only, since the request itself is then
        likely at fault.

        Args:
            engine: the engine of the attempt or probe.
            outcome: how it ended.
            now: the current time (s).
            request: the request of the attempt; None for a probe.
        """
        # With recent contact, a timeout is due to the request or to a single connection, not to the engine.
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
            had_returned_error = request.has_returned_error
            request.has_returned_error = True
            if had_returned_error:
                return
        if outcome is AttemptOutcome.REJECTED:  # a full engine is not faulty, but needs a short pause
            engine.ejected_until = max(now + FIRST_EJECTION_S / 2, engine.ejected_until)
            self._latency.record_rejection(now)
        elif outcome not in OUTCOMES_WITHOUT_FAULT and not is_alive:
            engine.recent_failures.append(True)
            is_repeated = (
                engine.next_ejection_s > FIRST_EJECTION_S or sum(engine.recent_failures) >= MAX_FAILURES
            )
            if is_repeated or outcome is not AttemptOutcome.ERROR:
                self.eject(engine, now, outcome.value)

    def eject(self, engine: EngineState, now: float, reason: str) -> None:
        """Ejects an engine; each ejection lasts twice as long as the one before, up to a maximum."""
        if now < engine.ejected_until:
            return
        engine.ejected_until = now + engine.next_ejection_s
        engine.next_ejection_s = min(2.0 * engine.next_ejection_s, MAX_EJECTION_S)
        duration = engine.ejected_until - now
        self._port.log(f"engine {engine.entry.name} ejected for {duration:.1f} s: {reason}")

    @staticmethod
    def healthy(engines: list[EngineState], now: float) -> list[EngineState]:
        """Returns the engines that are not ejected, or all reachable ones if more than half are ejected.

        An engine that was ejected gets one attempt at a time until it answers.
        """
        # Most of a few warm engines may be dead. A refused connection proves that an engine is, so the limit
        # on ejected engines below does not bring such an engine back.
        reachable = [e for e in engines if now >= e.ejected_until or not e.refuses_connections] or engines
        trusted = [
            e
            for e in reachable
            if now >= e.ejected_until and (e.next_ejection_s == FIRST_EJECTION_S or not e.in_flight)
        ]
        return trusted if 2 * len(trusted) >= len(reachable) else reachable
