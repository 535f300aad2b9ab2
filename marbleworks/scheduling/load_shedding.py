"""Which requests are given up, and how their clients are answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marbleworks.model import Idempotency

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules
    from marbleworks.ports import SchedulerPort
    from marbleworks.scheduling.latency import LatencyMonitor
    from marbleworks.scheduling.request_state import RequestState


class LoadShedder:
    """Gives up requests that can't be answered in time."""

    def __init__(self, port: SchedulerPort, rules: DeploymentRules, latency: LatencyMonitor) -> None:
        self._port = port
        self._rules = rules
        self._latency = latency

    def is_too_late(self, request: RequestState, now: float) -> bool:
        """Returns whether its time alone no longer fits at the pace of the slower quarter of answers.

        On a strained fleet it has to fit before the latency target: late answers take capacity from requests
        that are still in time.
        """
        pace = self._latency.slow_quartile_pace
        solo_time_s = request.solo_time_s()
        if self._latency.is_strained and now + solo_time_s * pace > request.target_at:
            return True
        return now + solo_time_s * min(pace, 1.0) >= request.answer_by

    def answer(self, request: RequestState, retry_after_s: float | None) -> None:
        """Sheds a request where another try is known to do no harm, else fails it.

        retry_after_s: when another try may find what this one lacked; None if nothing is known of that.
        """
        if not self._is_safe_to_repeat(request):
            self._port.fail(request.ref)
            return
        longest = self._rules.max_retry_after_s
        self._port.shed(request.ref, longest if retry_after_s is None else min(longest, retry_after_s))

    @staticmethod
    def _is_safe_to_repeat(request: RequestState) -> bool:
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request.may_have_run is None and not request.in_flight:
            return True
        return (
            request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and request_class.idempotency_scope == "all"
        )
