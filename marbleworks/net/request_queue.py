"""New requests that wait for the dispatcher: a queue that is fair among clients, and the mailbox with it.

A client delays the requests of another one by one request of its own in each round, however many it sends.
The queue holds at most the open calls of all connections, since a request leaves it as soon as its client
cancels it or disconnects.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable
from operator import attrgetter
from typing import TYPE_CHECKING

from marbleworks.net.mailbox import Call, Mailbox

if TYPE_CHECKING:
    from marbleworks.net.messages import ClientPort, NewRequest, OpenRequest

MAX_CALLS_BEFORE_REQUEST = 16  # calls about work in progress that go before a waiting new request

_wait_began_at = attrgetter("wait_began_at")


class RequestQueue:
    """New requests, taken in rounds: in each round, one of every client that had one when the round began.

    Of several requests of a client, and among the clients of a round, the one whose client began to wait
    first is taken first; for a retry, that is before its arrival.
    """

    def __init__(self) -> None:
        self._waiting: dict[ClientPort, list[NewRequest]] = {}  # by client; each list in the order of taking
        self._round: list[ClientPort] = []  # clients that still have their turn; the next one is at the end
        self._count = 0

    def __len__(self) -> int:
        """Returns the number of requests."""
        return self._count

    def put(self, new_request: NewRequest) -> None:
        """Adds a request."""
        insort(self._waiting.setdefault(new_request.request.client, []), new_request, key=_wait_began_at)
        self._count += 1

    def remove(self, request: OpenRequest) -> bool:
        """Removes a request; returns False if it is not in the queue."""
        requests = self._waiting.get(request.client, [])
        for position, new_request in enumerate(requests):
            if new_request.request is request:
                self._pop(request.client, position)
                return True
        return False

    def take(self) -> NewRequest:
        """Removes and returns the next request; the queue must not be empty."""
        while True:
            if not self._round:
                self._begin_round()
            client = self._round.pop()
            if client in self._waiting:
                return self._pop(client, 0)

    def _begin_round(self) -> None:
        self._round = sorted(
            self._waiting, key=lambda client: self._waiting[client][0].wait_began_at, reverse=True
        )

    def _pop(self, client: ClientPort, position: int) -> NewRequest:
        requests = self._waiting[client]
        new_request = requests.pop(position)
        if not requests:
            del self._waiting[client]
        self._count -= 1
        return new_request


class DispatcherMailbox(Mailbox):
    """Calls about work in progress, and new requests, which wait for these calls.

    Args:
        submit: The call that handles a new request.

    Attributes:
        requests: The new requests.
    """

    def __init__(self, submit: Callable[[NewRequest], None]) -> None:
        super().__init__()
        self.requests = RequestQueue()
        self._submit = submit
        self._calls_since_request = 0

    def put_request(self, new_request: NewRequest) -> None:
        """Adds a new request."""
        self.requests.put(new_request)
        self._not_empty.set()

    def qsize(self) -> int:
        """Returns the number of calls and new requests."""
        return len(self._calls) + len(self.requests)

    def _next_call(self) -> Call:
        if not len(self.requests):
            self._calls_since_request = 0  # counts only calls that a request waits for
            return self._calls.popleft()
        if not self._calls or self._calls_since_request >= MAX_CALLS_BEFORE_REQUEST:
            self._calls_since_request = 0
            return self._submit, (self.requests.take(),)
        self._calls_since_request += 1
        return self._calls.popleft()
