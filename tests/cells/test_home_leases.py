"""Tests that a table group's home is in one cell at a time, whatever fails.

Each scenario runs one order of messages, cuts and restarts in which a missing guard puts a home into two
cells, or begins loads in one cell while those of another may still run. One test runs the scenarios as they
are, another with one guard removed.
"""

from collections.abc import Callable
from dataclasses import replace

import pytest

from marbleworks.cells import home_leases
from marbleworks.cells.home_leases import (
    CellHomeLeases,
    HomeLeaseGranter,
    HomeLeaseHolder,
    LeaseRequest,
    NotYet,
    OtherCell,
    RouterHomeLease,
    StartPermit,
)
from marbleworks.lab.explore import InvariantViolation
from marbleworks.lab.home_moves import LEASE, SETTLE, Homes, World, clock_rates, exhaust, settle, stroll

CELL_0_NODES = (1, 3)  # leader and router of cell 0; 2 and 4 are those of cell 1


def holding_cells(world: World, group: int = 0) -> set[int]:
    return {r.cell for n, r in enumerate(world.routers, 3) if r.holds(group, world.clock(n))}


def settled_world() -> World:
    world = World(clock_rates(1))
    settle(world)
    assert holding_cells(world, 0) == holding_cells(world, 1) == {0}
    return world


def time_until_held(world: World, cell: int, limit_s: float, silent_nodes: tuple[int, ...] = ()) -> float:
    """Returns the true seconds until a cell holds table group 0.

    All nodes but the silent ones ask every 4 ms. Another cell that may begin loads of the group does so.
    """
    began = world.now
    while holding_cells(world) != {cell}:
        settle(world, 1, 0.004, silent_nodes)
        for node, router in enumerate(world.routers, 3):
            if router.cell != cell and router.holds(0, world.clock(node)):
                world.perform(f"{node} begins", lambda w, node=node: w.begin_load(node, 0))
        assert world.now < began + limit_s, "the home never moves"
    return world.now - began


# Scenarios. Each passes, and fails with a guard that it needs removed, below.


def home_moves_at_once() -> None:
    """The old cell reports that it is done."""
    world = settled_world()
    world.make_plan((1, 0))
    assert time_until_held(world, 1, 0.1) < 0.1
    assert holding_cells(world, 1) == {0}


def old_cell_is_cut_off() -> None:
    """The old cell is cut off, and begins loads until the last moment."""
    world = settled_world()
    world.make_plan((1, 0))
    time_until_held(world, 1, 1.2 * (2 * LEASE + SETTLE), CELL_0_NODES)


def answers_are_late() -> None:
    """Answers to the old cell's router arrive late, after the cell was cut off."""
    world = settled_world()
    world.advance(0.1)
    for node in CELL_0_NODES:
        world.send_lease_request(node)
        world.deliver(len(world.in_flight) - 1, False)
    late, world.in_flight = world.in_flight, []
    world.make_plan((1, 0))
    settle(world, 2, 0.4, CELL_0_NODES)
    world.in_flight = late
    while world.in_flight:
        world.perform("late", lambda w: w.deliver(0, False))
    time_until_held(world, 1, 4.0, CELL_0_NODES)


def cell_0_misses_the_plan(world: World, asking_nodes: tuple[int, ...]) -> None:
    """The region and cell 1 learn the plan, cell 0 does not.

    Args:
        world: World in which a plan moves group 0 to cell 1.
        asking_nodes: Nodes of cell 0 that go on asking. Its router begins loads as long as it may.
    """
    for node in (0, 2, 4):
        world.learn_plan(node)
    began = world.now
    while holding_cells(world) != {1}:
        world.perform("time", lambda w: w.advance(0.02))
        for node in (*asking_nodes, 2, 4):
            world.send_lease_request(node)
            while world.in_flight:
                world.perform("answered", lambda w: w.deliver(0, False))
        if world.routers[0].holds(0, world.clock(3)):
            world.perform("3 begins", lambda w: w.begin_load(3, 0))
        assert world.now < began + 1.2 * (2 * LEASE + SETTLE), "the home never moves"


def cell_that_never_learns_the_plan_goes_on_asking() -> None:
    world = settled_world()
    world.make_plan((1, 0))
    cell_0_misses_the_plan(world, CELL_0_NODES)


def leader_is_cut_off_from_the_region_alone() -> None:
    world = settled_world()
    world.make_plan((1, 0))
    cell_0_misses_the_plan(world, (3,))


def load_is_in_flight() -> None:
    world = settled_world()
    world.begin_load(3, 0)
    world.make_plan((1, 0))
    settle(world, 20, 0.01)
    assert world.running and not holding_cells(world)
    world.perform("ends", lambda w: w.end_load(0, False))
    time_until_held(world, 1, 0.1)


def load_ends_with_its_engine_unknown() -> None:
    world = settled_world()
    world.begin_load(3, 0)
    world.make_plan((1, 0))
    world.perform("ends in doubt", lambda w: w.end_load(0, True))
    time_until_held(world, 1, 1.0)


def router_is_killed_with_a_load_in_flight() -> None:
    world = settled_world()
    world.begin_load(3, 0)
    world.restart(3)
    world.make_plan((1, 0))
    time_until_held(world, 1, 4.0)


def answer_to_an_earlier_process_arrives() -> None:
    world = settled_world()
    world.send_lease_request(3)
    world.deliver(0, False)
    late, world.in_flight = world.in_flight, []
    world.restart(3)
    world.make_plan((1, 0))
    time_until_held(world, 1, 4.0, CELL_0_NODES)
    while world.routers[0].last_token < late[0][2].token:
        world.send_lease_request(3)
    world.in_flight = late
    world.perform("late", lambda w: w.deliver(0, False))


def region_has_a_new_granter() -> None:
    """The new granter knows nothing of a cell that holds a lease and is cut off."""
    world = settled_world()
    world.make_plan((1, 0))
    world.learn_plan(0)
    world.restart(0)
    time_until_held(world, 1, 4.0, CELL_0_NODES)


def cell_has_a_new_leader() -> None:
    """The new leader knows nothing of a router with a load in flight, and must not report it as done."""
    world = settled_world()
    world.begin_load(3, 0)
    world.make_plan((1, 0))
    world.learn_plan(1)
    world.restart(1)
    time_until_held(world, 1, 4.0, (3,))


def cell_misses_the_plan_before_the_home_returns() -> None:
    """The old cell's lease expired. It did not learn of the plan that took the home, nor of loads since."""
    world = settled_world()
    world.make_plan((1, 0))
    time_until_held(world, 1, 4.0, CELL_0_NODES)
    world.make_plan((0, 0))
    settle(world, 3, 0.02, (2, 4))
    assert holding_cells(world) == {1}, "cell 1 has not learned the plan, and goes on for now"
    time_until_held(world, 0, 4.0)


def home_returns_before_it_was_used() -> None:
    world = settled_world()
    world.make_plan((1, 0))
    settle(world, 1, 0.004)
    world.make_plan((0, 0))
    assert time_until_held(world, 0, 4.0) < 0.1


def home_returns_while_it_is_used() -> None:
    """The old cell gives the home up by one plan and has it again by the next; the other has begun loads."""
    world = settled_world()
    world.make_plan((1, 0))
    time_until_held(world, 1, 4.0)
    world.begin_load(4, 0)
    world.make_plan((0, 0))
    settle(world, 10, 0.02, (2, 4))
    time_until_held(world, 0, 4.0)


def router_is_ahead_of_its_leader() -> None:
    """A router learns that the home is back before its leader learns that it was to move away.

    The router is done by the later plan alone, which its leader does not know.
    """
    world = settled_world()
    world.make_plan((1, 0))
    for node in (0, 2, 4):
        world.learn_plan(node)
    world.make_plan((0, 0))
    world.learn_plan(3)
    for _ in range(20):
        for node in (3, 1, 2, 4):
            world.send_lease_request(node)
            while world.in_flight:
                world.perform("answered", lambda w: w.deliver(0, False))
        world.perform("time", lambda w: w.advance(0.05))
    time_until_held(world, 0, 4.0)


SCENARIOS = [
    home_moves_at_once,
    old_cell_is_cut_off,
    answers_are_late,
    cell_that_never_learns_the_plan_goes_on_asking,
    leader_is_cut_off_from_the_region_alone,
    load_is_in_flight,
    load_ends_with_its_engine_unknown,
    router_is_killed_with_a_load_in_flight,
    answer_to_an_earlier_process_arrives,
    region_has_a_new_granter,
    cell_has_a_new_leader,
    cell_misses_the_plan_before_the_home_returns,
    home_returns_before_it_was_used,
    home_returns_while_it_is_used,
    router_is_ahead_of_its_leader,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_one_home_at_a_time(scenario: Callable[[], None]) -> None:
    scenario()


# Guards that are removed one at a time.

handle_request, handle_answer, leader_handle_request = (
    HomeLeaseGranter.handle_request,
    HomeLeaseHolder.handle_answer,
    CellHomeLeases.handle_request,
)


def new_granter_does_not_wait(self, plan_number, now, lease_s, settle_s) -> None:
    self.newest_number, self.lease_s, self.settle_s = plan_number, lease_s, settle_s
    self.predecessor_settled_at, self.accounts = now, {}


def generations_share_an_account(self, holder_id, request, now, valid_until=float("inf")):
    return replace(
        handle_request(self, holder_id, replace(request, generation=1), now, valid_until),
        generation=request.generation,
    )


def any_plan_gets_a_lease(self, holder_id, request, now, valid_until=float("inf")):
    return handle_request(
        self,
        holder_id,
        replace(request, plan_number=max(request.plan_number, self.newest_number)),
        now,
        valid_until,
    )


def lease_outlasts_its_source(self, holder_id, request, now, valid_until=float("inf")):
    return handle_request(self, holder_id, request, now, float("inf") if valid_until > now else valid_until)


def done_number_is_not_noted_as_newest(self, holder_id, request, now, valid_until=float("inf")):
    answer = handle_request(self, holder_id, replace(request, done_number=0), now, valid_until)
    for account in self.accounts.get(holder_id, [])[-1:]:
        account.done_number = max(account.done_number, request.done_number)
    return answer


def lease_counts_from_arrival(self, answer, now) -> None:
    if answer.token in self.pending_requests:
        self.pending_requests[answer.token] = now
    handle_answer(self, answer, now)


def answers_to_any_generation(self, answer, now) -> None:
    handle_answer(self, replace(answer, generation=self.generation), now)


def leader_declares_plans_clear(self, router_index, request, now):
    answer = leader_handle_request(self, router_index, request, now)
    return replace(answer, clear_number=answer.granted_s and self.granter.newest_number)


def engine_is_not_awaited(self, group, permit, now, may_run_for_s=0.0) -> None:
    self.load_ends[group].remove(permit.ends_by)


# A name, what is replaced and by what, and a scenario that fails without the guard.
GUARDS = [
    (
        "settle time",
        HomeLeaseGranter,
        "_settled_at",
        lambda self, account: account.expires_at,
        old_cell_is_cut_off,
    ),
    ("clock drift", home_leases, "MAX_CLOCK_DRIFT", -0.02, old_cell_is_cut_off),
    (
        "no lease longer than its source",
        HomeLeaseGranter,
        "handle_request",
        lease_outlasts_its_source,
        leader_is_cut_off_from_the_region_alone,
    ),
    (
        "lease counts from when it was asked for",
        HomeLeaseHolder,
        "handle_answer",
        lease_counts_from_arrival,
        answers_are_late,
    ),
    (
        "older plans get no lease",
        HomeLeaseGranter,
        "handle_request",
        any_plan_gets_a_lease,
        cell_that_never_learns_the_plan_goes_on_asking,
    ),
    (
        "loads in flight are awaited",
        RouterHomeLease,
        "done_number",
        lambda self, now: self.plan_number,
        load_is_in_flight,
    ),
    (
        "done number counts as heard of",
        HomeLeaseGranter,
        "handle_request",
        done_number_is_not_noted_as_newest,
        router_is_ahead_of_its_leader,
    ),
    (
        "engine is awaited",
        RouterHomeLease,
        "end_load",
        engine_is_not_awaited,
        load_ends_with_its_engine_unknown,
    ),
    (
        "generations have accounts of their own",
        HomeLeaseGranter,
        "handle_request",
        generations_share_an_account,
        router_is_killed_with_a_load_in_flight,
    ),
    (
        "answers to earlier generations are ignored",
        HomeLeaseHolder,
        "handle_answer",
        answers_to_any_generation,
        answer_to_an_earlier_process_arrives,
    ),
    (
        "a new granter waits",
        HomeLeaseGranter,
        "__init__",
        new_granter_does_not_wait,
        region_has_a_new_granter,
    ),
    (
        "an expired lease ends the clear plan",
        HomeLeaseHolder,
        "check_lease",
        lambda self, now: now < self.lease_expires_at,
        cell_misses_the_plan_before_the_home_returns,
    ),
    (
        "every plan since one that was clear",
        HomeLeaseHolder,
        "holds",
        lambda self, group, now: (
            self.check_lease(now) and self.has_clear_plan and self.plan.home(group) == self.cell
        ),
        home_returns_while_it_is_used,
    ),
    (
        "a clear plan is awaited",
        HomeLeaseHolder,
        "holds",
        lambda self, group, now: (
            self.check_lease(now) and all(p.home(group) == self.cell for p in self.plans)
        ),
        cell_misses_the_plan_before_the_home_returns,
    ),
    (
        "only within the lease",
        HomeLeaseHolder,
        "holds",
        lambda self, group, now: (
            self.has_clear_plan and all(p.home(group) == self.cell for p in self.plans)
        ),
        old_cell_is_cut_off,
    ),
    (
        "a leader is done once its routers are",
        CellHomeLeases,
        "next_request",
        lambda self, now: self.holder.make_request(now, self.granter.newest_number),
        load_is_in_flight,
    ),
    (
        "clear plans come from the region",
        CellHomeLeases,
        "handle_request",
        leader_declares_plans_clear,
        load_is_in_flight,
    ),
]


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard[0])
def test_a_removed_guard_is_found(guard, monkeypatch: pytest.MonkeyPatch) -> None:
    _, owner, name, replacement, scenario = guard
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises((InvariantViolation, AssertionError)):
        scenario()


def test_every_order_of_a_few_acts() -> None:
    assert exhaust(3) > 5000


@pytest.mark.parametrize("seed", range(12))
def test_random_walks(seed: int) -> None:
    assert stroll(seed, 1200, 1 + seed % 2) > 10


# Decisions on loads.


def test_a_load_is_refused_where_its_home_is_in_another_cell_or_not_ours_yet() -> None:
    router = RouterHomeLease(0, 1, LEASE, SETTLE)
    assert router.begin_load(0, SETTLE, 100.0) == NotYet(LEASE), "it knows no plan"
    router.adopt_plan(Homes(1, (1, 0)), 100.0)
    assert router.begin_load(0, SETTLE, 100.0) == OtherCell(1)
    region = HomeLeaseGranter(1, 100.0, LEASE, SETTLE)
    router.handle_answer(region.handle_request(3, router.next_request(100.1), 100.1), 100.1)
    decision = router.begin_load(1, SETTLE, 100.2)
    assert isinstance(decision, NotYet) and 1.6 < decision.retry_after_s < 1.8, "a new granter waits"
    router.handle_answer(region.handle_request(3, router.next_request(102.0), 102.0), 102.0)
    decision = router.begin_load(1, SETTLE, 102.1)
    assert isinstance(decision, StartPermit) and 102.1 < decision.begin_by < 103.0
    with pytest.raises(ValueError, match=r"may run for 0\.9 s; at most 0\.8 s are allowed"):
        router.begin_load(1, SETTLE + 0.1, 102.1)


def test_a_router_whose_home_moves_refuses_at_once() -> None:
    world = settled_world()
    router = world.routers[0]
    world.make_plan((1, 0))
    world.learn_plan(3)
    assert router.begin_load(0, SETTLE, world.clock(3)) == OtherCell(1)
    assert isinstance(router.begin_load(1, SETTLE, world.clock(3)), StartPermit)


def test_a_cell_cut_off_from_its_region_keeps_its_homes_for_a_lease_and_regains_them_at_once() -> None:
    world = settled_world()
    for _ in range(30):
        settle(world, 1, 0.1, (0, 1, 2))
    assert holding_cells(world) == set()
    began = world.now
    settle(world, 2, 0.02)
    assert holding_cells(world) == {0} and world.now - began < 0.1


def test_a_new_leader_renews_leases_without_a_gap() -> None:
    world = settled_world()
    world.restart(1)
    for _ in range(100):
        settle(world, 1, 0.05)
        assert holding_cells(world, 0) == holding_cells(world, 1) == {0}


def test_a_late_ask_of_an_earlier_process_changes_nothing() -> None:
    region = HomeLeaseGranter(1, 0.0, LEASE, SETTLE)
    region.handle_request(1, LeaseRequest(2, 1, 1, 0), 5.0)
    assert region.handle_request(1, LeaseRequest(1, 9, 1, 1), 5.1).granted_s == 0.0
    region.note_plan(2)
    assert not region.is_clear(5.2)


def test_settled_accounts_are_dropped() -> None:
    region = HomeLeaseGranter(1, 0.0, LEASE, SETTLE)
    for generation in range(50):
        region.handle_request(1, LeaseRequest(generation, 1, 1, 1), 10.0 * generation)
    assert region.is_clear(500.0) and sum(map(len, region.accounts.values())) <= 1
