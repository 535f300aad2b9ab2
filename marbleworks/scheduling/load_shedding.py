"""Decides which requests are given up and how their clients are answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marbleworks.scheduling.idempotency import client_may_repeat

if TYPE_CHECKING:
    from marbleworks.model import DeploymentRules
    from marbleworks.ports import SchedulerPort
    from marbleworks.scheduling.latency import LatencyMonitor
    from marbleworks.scheduling.request_state import RequestState


class LoadShedder:
    """Gives up requests that cannot be answered in time."""

    def __init__(self, port: SchedulerPort, rules: DeploymentRules, latency: LatencyMonitor) -> None:
        self._port = port
        self._rules = rules
        self._latency = latency

    def is_too_late(self, request: RequestState, now: float) -> bool:
        """Returns whether the remaining time is too short for the request.

        Its service time has to fit before its deadline. On an overloaded fleet, its service time at the
        upper-quartile slowdown has to fit before its latency target, because late answers take capacity from
        requests that are still in time.
        """
        slowdown = self._latency.upper_quartile_slowdown
        service_time_s = request.service_time_s()
        if self._latency.is_overloaded and now + service_time_s * slowdown > request.target_at:
            return True
        return now + service_time_s * min(slowdown, 1.0) >= request.attempts_deadline

    def shed_or_fail(self, request: RequestState, retry_after_s: float | None) -> None:
        """Sheds a request that may safely be repeated and fails any other.

        Args:
            request: the request to answer.
            retry_after_s: seconds until what it lacked may be available; None if that is not known.
        """
        if not client_may_repeat(request):
            self._port.fail(request.ref)
            return
        max_retry_after_s = self._rules.max_retry_after_s
        self._port.shed(
            request.ref, max_retry_after_s if retry_after_s is None else min(max_retry_after_s, retry_after_s)
        )
