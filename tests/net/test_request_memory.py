"""Tests of how memory is divided among clients."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marbleworks.net.memory_plan import (
    CLIENT_CONNECTION_BYTES,
    ENGINE_CONNECTION_BYTES,
    OPEN_REQUEST_BYTES,
    MemoryPlan,
    affordable_engine_connections,
)
from marbleworks.net.request_memory import MemoryAccount, MemoryPool, MemoryReservation

ACCOUNTS = 4
GUARANTEED = 10
SHARED = 25
USED_AT_START_BYTES = 21_500_000

Step = tuple[str, int, int]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["reserve", "release", "reopen"]), st.integers(0, ACCOUNTS - 1), st.integers(1, 30)
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(STEPS)
def test_the_capacity_is_never_passed_and_each_account_gets_what_is_guaranteed(steps: list[Step]) -> None:
    pool = MemoryPool(GUARANTEED, ACCOUNTS, SHARED)
    accounts = [MemoryAccount(pool) for _ in range(ACCOUNTS)]
    closed: list[MemoryAccount] = []
    for action, index, size in steps:
        account = accounts[index]
        if action == "reopen":
            account.close()
            closed.append(account)
            accounts[index] = MemoryAccount(pool)
        elif action == "release":
            account.release(min(size, account.held_bytes))
        else:
            is_guaranteed = account.held_bytes + size <= GUARANTEED and not any(a.held_bytes for a in closed)
            assert account.reserve(size) or not is_guaranteed
        assert pool.used_bytes == sum(a.held_bytes for a in [*accounts, *closed]) <= pool.capacity_bytes
        shared = sum(max(a.held_bytes - GUARANTEED, 0) for a in accounts) + sum(a.held_bytes for a in closed)
        assert pool.shared_used_bytes == shared
    for account in [*accounts, *closed]:
        account.release(account.held_bytes)
    assert pool.used_bytes == pool.shared_used_bytes == 0


def test_what_is_taken_in_any_case_leaves_less_for_others() -> None:
    pool = MemoryPool(GUARANTEED, ACCOUNTS, SHARED)
    first, second = MemoryAccount(pool), MemoryAccount(pool)
    first.take(pool.capacity_bytes + 5)
    assert not second.reserve(1)
    first.release(20)
    assert second.reserve(1) and not second.reserve(GUARANTEED)


def test_a_reservation_is_given_back_once() -> None:
    account = MemoryAccount(MemoryPool(GUARANTEED, ACCOUNTS, SHARED))
    assert account.reserve(7) and account.reserve(5)
    reservation = MemoryReservation(account, 7)
    reservation.release()
    reservation.release()
    assert account.held_bytes == 5


@pytest.mark.parametrize("descriptors", [64, 357])
@pytest.mark.parametrize("limit_mb", [1, 32, 64, 80, 192])
def test_a_plan_keeps_within_the_limit_and_lets_each_client_have_a_request(
    limit_mb: int, descriptors: int
) -> None:
    plan = MemoryPlan.divide(limit_mb * 1_000_000, USED_AT_START_BYTES, descriptors)
    assert 16 <= plan.max_clients <= descriptors and plan.guaranteed_bytes > OPEN_REQUEST_BYTES
    if limit_mb == 1:  # the router is over its limit before there are clients
        return
    per_client = CLIENT_CONNECTION_BYTES + plan.guaranteed_bytes
    engine_connections = affordable_engine_connections(limit_mb * 1_000_000, USED_AT_START_BYTES, 619)
    planned_bytes = plan.max_clients * per_client + plan.shared_bytes
    planned_bytes += engine_connections * ENGINE_CONNECTION_BYTES
    assert USED_AT_START_BYTES + planned_bytes < limit_mb * 1_000_000
    assert limit_mb < 64 or plan.max_clients == descriptors
    assert limit_mb < 192 or engine_connections == 619
