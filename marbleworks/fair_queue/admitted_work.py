"""The work of admitted requests that have not ended, by flow."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class _FlowWork:
    """Admitted requests of one flow, and their work in seconds."""

    requests: int = 0
    work_s: float = 0.0


class AdmittedWork:
    """Sums the work of each flow, which is kept until its last request ends, however little it is."""

    def __init__(self) -> None:
        self._flows: dict[int, _FlowWork] = {}

    def __len__(self) -> int:
        """Returns the number of flows with an admitted request."""
        return len(self._flows)

    def add(self, flow: int, work_s: float) -> None:
        """Counts a request that is admitted, with its work in seconds."""
        flow_work = self._flows.setdefault(flow, _FlowWork())
        flow_work.requests += 1
        flow_work.work_s += work_s

    def remove(self, flow: int, work_s: float) -> None:
        """Removes a request that has ended, with the work that it was counted with."""
        flow_work = self._flows[flow]
        flow_work.requests -= 1
        flow_work.work_s -= work_s
        if not flow_work.requests:
            del self._flows[flow]

    def of_flow(self, flow: int) -> float:
        """Returns the work of a flow in seconds."""
        flow_work = self._flows.get(flow)
        return max(flow_work.work_s, 0.0) if flow_work is not None else 0.0

    def values(self) -> list[float]:
        """Returns the work of each flow in seconds."""
        return [flow_work.work_s for flow_work in self._flows.values()]
