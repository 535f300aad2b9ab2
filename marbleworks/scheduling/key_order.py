"""Runs the requests of one ordering key one after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marbleworks.scheduling.request_state import RequestState


class KeyOrder:
    """A queue of requests for each ordering key; only the head of a queue may be sent."""

    def __init__(self) -> None:
        self.queues: dict[str, list[RequestState]] = {}

    def add(self, request: RequestState, ordering_key: str) -> None:
        """Appends a request to the queue of its key."""
        request.ordering_key = ordering_key
        self.queues.setdefault(ordering_key, []).append(request)

    def has_turn(self, request: RequestState, now: float) -> bool:
        """Returns whether no earlier request of the same key can still take effect."""
        if not request.ordering_key:
            return True
        queue = self.queues[request.ordering_key]
        while queue[0] is not request and queue[0].cannot_take_effect(now):
            queue.pop(0)
        return queue[0] is request

    def prune(self, now: float) -> None:
        """Removes keys none of whose requests can still take effect."""
        self.queues = {
            key: queue
            for key, queue in self.queues.items()
            if not all(request.cannot_take_effect(now) for request in queue)
        }
