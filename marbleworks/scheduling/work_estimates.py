"""Estimates the cost of requests: client estimates corrected by the measured cost of earlier requests."""

from __future__ import annotations

import math
from collections import deque

from marbleworks.scheduling.history import MAX_SAMPLES

Cost = tuple[float, float]  # (work in seconds on one thread, memory in MB)


class WorkEstimates:
    """The estimate correction of each request class, and the work of recent requests."""

    def __init__(self, class_count: int) -> None:
        # Ratio of measured to estimated, by class index.
        self.estimate_correction: list[Cost] = [(1.0, 1.0)] * class_count
        self.recent_work: deque[tuple[int, float]] = deque(maxlen=8 * MAX_SAMPLES)  # (class index, work)
        self.cheap_threshold = math.inf  # mean recent work; a request not above it is cheap
        self._measured: list[deque[tuple[Cost, Cost]]] = [
            deque(maxlen=2 * MAX_SAMPLES) for _ in range(class_count)
        ]

    def estimate(self, class_index: int, estimate: Cost) -> Cost:
        """Returns the corrected estimate; an estimated work of 0 becomes the mean recent work."""
        work_correction, memory_correction = self.estimate_correction[class_index]
        return estimate[0] * work_correction or self.mean_work(class_index), estimate[1] * memory_correction

    def mean_work(self, class_index: int) -> float:
        """Returns the mean work of recent requests of the class, or of all classes if it has none."""
        class_work = [work for index, work in self.recent_work if index == class_index] or [
            work for _, work in self.recent_work
        ]
        return sum(class_work) / len(class_work) if class_work else 1.0

    def record_request(self, class_index: int, work: float) -> None:
        """Records the estimated work of a request that was submitted."""
        self.recent_work.append((class_index, work))

    def record_cost(self, class_index: int, estimate: Cost, measured: Cost) -> None:
        """Records the measured cost of a request next to its estimate."""
        self._measured[class_index].append((estimate, measured))

    def has_learned(self, class_index: int) -> bool:
        """Returns whether the class has enough measurements to rely on its estimates."""
        return len(self._measured[class_index]) >= MAX_SAMPLES // 2

    def refresh(self) -> None:
        """Recomputes the correction of each class and the cheap threshold."""
        recent_work = self.recent_work
        self.cheap_threshold = sum(work for _, work in recent_work) / max(len(recent_work), 1)
        self.estimate_correction = [
            (_correction(pairs, 0), _correction(pairs, 1)) for pairs in self._measured
        ]


def _correction(pairs: deque[tuple[Cost, Cost]], component: int) -> float:
    """Returns the ratio of measured to estimated cost; component: 0 for work, 1 for memory."""
    if not pairs:
        return 1.0
    estimated = sum(estimate[component] for estimate, _ in pairs) or 1.0
    return sum(measured[component] for _, measured in pairs) / estimated
