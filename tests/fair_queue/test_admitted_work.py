"""Tests of the sums of admitted work."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.fair_queue.admitted_work import AdmittedWork


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 3), st.sampled_from([0.0, 1e-18, 1e-9, 0.03, 5.0])), max_size=20))
def test_each_request_is_counted_until_it_ends_and_nothing_is_left(requests: list[tuple[int, float]]) -> None:
    """Guards against the KeyError at the end of a request with almost no work, and sums that never empty."""
    admitted = AdmittedWork()
    for flow, work_s in requests:
        admitted.add(flow, work_s)
    while requests:
        for flow in {flow for flow, _ in requests}:
            assert admitted.of_flow(flow) == pytest.approx(sum(work for f, work in requests if f == flow))
        flow, work_s = requests.pop(0)
        admitted.remove(flow, work_s)
        assert len(admitted) == len({flow for flow, _ in requests})
    assert admitted.values() == []
