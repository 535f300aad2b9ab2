"""Ids of requests that may have run and must not run again.

Clients choose a new id for each request, also for a retry. A request with an id that was used before would
take effect a second time, so it is not forwarded.
"""

from __future__ import annotations

MAX_IDS = 4096


class RecentRequestIds:
    """Ids, each for a limited time; beyond `MAX_IDS`, the oldest ones are forgotten earlier.

    Args:
        retention_s: How long an id is kept, in seconds.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._added_at: dict[str, float] = {}  # Unix time in seconds; in the order of adding

    def __len__(self) -> int:
        """Returns the number of ids that are kept."""
        return len(self._added_at)

    def add(self, request_id: str, now: float) -> None:
        """Adds an id.

        Args:
            request_id: The id.
            now: Unix time in seconds.
        """
        self._added_at.pop(request_id, None)
        self._added_at[request_id] = now
        while len(self._added_at) > MAX_IDS or self._oldest_added_at() <= now - self._retention_s:
            del self._added_at[next(iter(self._added_at))]

    def contains(self, request_id: str, now: float) -> bool:
        """Returns whether an id was added within the retention time before `now`."""
        added_at = self._added_at.get(request_id)
        return added_at is not None and now < added_at + self._retention_s

    def _oldest_added_at(self) -> float:
        return next(iter(self._added_at.values()))
