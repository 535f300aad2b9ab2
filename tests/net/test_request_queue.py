"""Tests of the queue of new requests, of the dispatcher's mailbox, and of shared time slices."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from marbleworks.net.messages import NewRequest, OpenRequest
from marbleworks.net.request_queue import MAX_CALLS_BEFORE_REQUEST, DispatcherMailbox, RequestQueue
from marbleworks.net.time_slices import LONG_WAIT_S, Lane, SharedTimeSlices
from tests.net.test_router import time_limit

__all__ = ["time_limit"]


class StubClient:
    """A client of which only the identity matters."""


def new_request(client: Any, wait_began_at: float = 0.0) -> NewRequest:
    """Returns a new request of a client."""
    request = OpenRequest("0" * 16, client, 1, "look", b"", 0.0, 0.0)
    return NewRequest(request, 0, "", (0.0, 0.0), -1, wait_began_at)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(["put", "put", "take", "remove"]), st.integers(0, 4), st.integers(0, 9)),
        max_size=60,
    )
)
def test_each_client_waits_for_at_most_two_requests_of_every_other(steps: list[tuple[str, int, int]]) -> None:
    """Guards against starvation: one of the round that has begun and one of the next go before a request."""
    queue, clients = RequestQueue(), [StubClient() for _ in range(5)]
    waiting: list[NewRequest] = []
    taken_since: dict[int, list[object]] = {}  # by id of the first waiting request of each client

    def first_of(client: object) -> NewRequest | None:
        own = [entry for entry in waiting if entry.request.client is client]
        return min(own, key=lambda entry: entry.wait_began_at, default=None)

    for action, number, when in steps:
        client = clients[number]
        if action == "put":
            waiting.append(new_request(client, float(when)))
            queue.put(waiting[-1])
        elif action == "take" and waiting:
            taken = queue.take()
            assert taken is first_of(taken.request.client)
            waiting.remove(taken)
            taken_since.pop(id(taken.request.client), None)
            for other in {id(entry.request.client) for entry in waiting}:
                taken_since.setdefault(other, []).append(taken.request.client)
        elif action == "remove":
            entry = first_of(client)
            if entry is not None:
                assert queue.remove(entry.request) and not queue.remove(entry.request)
                waiting.remove(entry)
                if first_of(client) is None:
                    taken_since.pop(id(client), None)
        assert len(queue) == len(waiting)
        for before in taken_since.values():
            assert all(before.count(other) <= 2 for other in clients)


def test_new_requests_are_taken_by_waiting_time_and_after_other_calls() -> None:
    """Guards against late answers in a burst: retries with little time left waited behind older calls."""
    taken: list[Any] = []
    mailbox = DispatcherMailbox(taken.append)
    client = StubClient()
    requests = {
        "first try": new_request(client, 5.0),
        "retry": new_request(client, 4.2),
        "first try given up": new_request(client, 5.0),
        "retry of another client": new_request(StubClient(), 4.1),
        "first try of another client": new_request(StubClient(), 4.9),
    }
    for request in requests.values():
        mailbox.put_request(request)
    mailbox.put(taken.append, "outcome")
    while mailbox.qsize():
        call = mailbox.take(0.0)
        assert call is not None
        action, args = call
        action(*args)
    names = {id(request): name for name, request in requests.items()}
    assert [names.get(id(entry), entry) for entry in taken] == [
        "outcome",
        "retry of another client",
        "retry",
        "first try of another client",
        "first try",
        "first try given up",
    ]


def test_calls_made_before_a_request_came_do_not_count_as_waiting() -> None:
    """Guards against an outcome that waits behind a request which has only just come."""
    mailbox = DispatcherMailbox(print)  # type: ignore[arg-type]
    for _ in range(MAX_CALLS_BEFORE_REQUEST + 1):
        mailbox.put(len, "")
        assert mailbox.take(0.0) == (len, ("",))
    mailbox.put_request(new_request(StubClient()))
    mailbox.put(len, "")
    assert mailbox.take(0.0) == (len, ("",))


def test_a_request_waits_for_a_limited_number_of_other_calls() -> None:
    """Guards against new requests that wait as long as other calls keep coming."""
    mailbox, calls_made = DispatcherMailbox(print), 0  # type: ignore[arg-type]
    mailbox.put_request(new_request(StubClient()))
    for _ in range(3 * MAX_CALLS_BEFORE_REQUEST):
        mailbox.put(len, "")
    while (call := mailbox.take(0.0)) is not None and call[0] is not print:
        calls_made += 1
    assert calls_made == MAX_CALLS_BEFORE_REQUEST


def test_waiting_for_a_call_ends_with_the_timeout_or_with_a_request_that_is_removed() -> None:
    mailbox = DispatcherMailbox(print)  # type: ignore[arg-type]
    assert mailbox.take(0.01) is None
    entry = new_request(StubClient())

    def put_and_remove() -> None:
        mailbox.put_request(entry)
        mailbox.requests.remove(entry.request)

    gevent.spawn(put_and_remove)
    assert mailbox.take(5.0) is None


def work(slices: SharedTimeSlices, done: list[str], name: str, steps: int) -> None:
    """Works for so many steps, each of which takes longer than a slice."""
    with slices:
        for _ in range(steps):
            time.sleep(0.002)
            done.append(name)
            slices.renew()


@pytest.mark.parametrize("spawn_order", [list, reversed], ids=["long first", "long last"])
def test_short_work_waits_for_two_slices_of_each_long_work(spawn_order: Callable[[Any], Any]) -> None:
    """Guards against messages of a usual client that wait for all that other clients have sent."""
    slices, done = SharedTimeSlices(0.001), list[str]()
    steps = {f"long {number}": 6 for number in range(8)} | {"short": 1}
    greenlets = [gevent.spawn(work, slices, done, name, steps[name]) for name in spawn_order(list(steps))]
    gevent.joinall(greenlets)
    assert done.index("short") <= 2 * 8  # all nine began at the same time
    late = gevent.spawn(work, slices, done, "late", 1)
    assert late.join() is None and done[-1] == "late"


def test_work_that_begins_does_not_starve_work_that_continues() -> None:
    """Guards against a client that is never read because others send one short message after the other."""
    slices, done = SharedTimeSlices(0.001), list[str]()
    long_work = gevent.spawn(work, slices, done, "long", 4)

    def begin_again_and_again() -> None:
        while not long_work.ready():
            work(slices, done, "short", 1)

    gevent.joinall([long_work, *(gevent.spawn(begin_again_and_again) for _ in range(5))])
    assert done.count("long") == 4 and done.count("short") <= 5 * 4


def test_a_rested_client_waits_for_two_slices_however_many_others_begin() -> None:
    """Guards against a request of a usual client that is not read for seconds beside a crowd."""
    slices, done = SharedTimeSlices(0.001), list[str]()
    begun = [gevent.spawn(work, slices, done, f"new {number}", 1) for number in range(20)]

    def rested_work() -> None:
        with slices.turn(Lane.RESTED):
            done.append("rested")

    gevent.sleep(0)  # the first one works, the others wait
    rested = gevent.spawn(rested_work)
    gevent.joinall([*begun, rested])
    assert done.index("rested") <= 3, done


def test_long_waits_for_a_turn_are_logged_once_a_second() -> None:
    """Guards against requests and cancellations that wait unread, of which the log says nothing."""
    slices = SharedTimeSlices(0.001)
    with capture_logs() as lines:
        for _ in range(2):
            with slices:
                waiting = [gevent.spawn(work, slices, [], "other", 1) for _ in range(3)]
                gevent.sleep(LONG_WAIT_S)
            gevent.joinall(waiting)
    # Connections that earlier tests have left may be closed, and logged, meanwhile.
    delays = [line for line in lines if line["event"] == "reading delayed"]
    assert len(delays) == 1
    assert delays[0]["longest_wait_s"] >= LONG_WAIT_S
    assert delays[0]["waiting"] == 2
