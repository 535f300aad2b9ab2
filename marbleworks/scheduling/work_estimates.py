"""What requests are expected to cost: their estimates, corrected by what earlier ones of the class took."""

from __future__ import annotations

import math
from collections import deque

from marbleworks.scheduling.history import MAX_SAMPLES

Cost = tuple[float, float]  # work in seconds on one thread, and memory in MB


class WorkEstimates:
    """The bias of the estimates of each request class, and the work of recent requests."""

    def __init__(self, class_count: int) -> None:
        self.bias: list[Cost] = [(1.0, 1.0)] * class_count  # measured over estimated, by class index
        self.recent_work: deque[tuple[int, float]] = deque(maxlen=8 * MAX_SAMPLES)  # class index, work
        self.cheap_threshold = math.inf  # the mean recent work: what is not above it is cheap
        self._measured: list[deque[tuple[Cost, Cost]]] = [
            deque(maxlen=2 * MAX_SAMPLES) for _ in range(class_count)
        ]

    def estimate(self, class_index: int, estimate: Cost) -> Cost:
        """Returns the corrected estimate, the mean of recent work where the estimate is 0."""
        work_bias, memory_bias = self.bias[class_index]
        return estimate[0] * work_bias or self.mean_work(class_index), estimate[1] * memory_bias

    def mean_work(self, class_index: int) -> float:
        """Returns the mean work of recent requests of the class, of all classes where there is none."""
        works = [work for index, work in self.recent_work if index == class_index] or [
            work for _, work in self.recent_work
        ]
        return sum(works) / len(works) if works else 1.0

    def record_request(self, class_index: int, work: float) -> None:
        """Adds a request that was submitted."""
        self.recent_work.append((class_index, work))

    def record_cost(self, class_index: int, estimate: Cost, measured: Cost) -> None:
        """Adds what a request took."""
        self._measured[class_index].append((estimate, measured))

    def has_learned(self, class_index: int) -> bool:
        """Returns whether enough requests of the class were measured to rely on the estimates."""
        return len(self._measured[class_index]) >= MAX_SAMPLES // 2

    def refresh(self) -> None:
        """Works the bias and the cheap threshold out anew."""
        works = self.recent_work
        self.cheap_threshold = sum(work for _, work in works) / max(len(works), 1)
        self.bias = [(_bias(pairs, 0), _bias(pairs, 1)) for pairs in self._measured]


def _bias(pairs: deque[tuple[Cost, Cost]], part: int) -> float:
    if not pairs:
        return 1.0
    estimated = sum(estimate[part] for estimate, _ in pairs) or 1.0
    return sum(measured[part] for _, measured in pairs) / estimated
