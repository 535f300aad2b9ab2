"""Cells: a table group's home is in one cell at a time, whatever is lost, late, cut off or started anew."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from marbleworks.cells import home_leases as homes
from marbleworks.cells.home_leases import Ask, Elsewhere, Granter, Here, Holder, Leader, Nobody, Router
from marbleworks.lab.explore import Broken
from marbleworks.lab.home_moves import LEASE, SETTLE, Homes, World, exhaust, paces, settled, stroll

EAST = (1, 3)  # nodes of cell 0: its leader and its router; 2 and 4 are those of cell 1


def holds(world: World, group: int = 0) -> set[int]:
    return {r.cell for n, r in enumerate(world.routers, 3) if r.holds(group, world.clock(n))}


def ready() -> World:
    world = World(paces(1))
    settled(world)
    assert holds(world, 0) == holds(world, 1) == {0}
    return world


def until_held(world: World, cell: int, most: float, without: tuple[int, ...] = ()) -> float:
    """True seconds until that cell holds group 0. All but some nodes ask every 4 ms, and a load of it begins
    wherever one may, but where it is to be held."""
    began = world.now
    while holds(world) != {cell}:
        settled(world, 1, 0.004, without)
        for node, router in enumerate(world.routers, 3):
            if router.cell != cell and router.holds(0, world.clock(node)):
                world.does(f"{node} begins", lambda w, node=node: w.begins(node, 0))
        assert world.now < began + most, "the home never moves"
    return world.now - began


# Each of these is whole, and each guard that it needs is broken below.


def moves_at_once() -> None:
    """By the old cell's word."""
    world = ready()
    world.planned((1, 0))
    assert until_held(world, 1, 0.1) < 0.1
    assert holds(world, 1) == {0}


def moves_without_a_word() -> None:
    """The old cell is cut off, and begins loads to the last moment."""
    world = ready()
    world.planned((1, 0))
    until_held(world, 1, 1.2 * (2 * LEASE + SETTLE), EAST)


def cell_is_told_late() -> None:
    """The answers to the old cell's router are late, just before it is cut off."""
    world = ready()
    world.passes(0.1)
    for node in EAST:
        world.asks(node)
        world.comes(len(world.flying) - 1, False)
    late, world.flying = world.flying, []
    world.planned((1, 0))
    settled(world, 2, 0.4, EAST)
    world.flying = late
    while world.flying:
        world.does("late", lambda w: w.comes(0, False))
    until_held(world, 1, 4.0, EAST)


def west_moves_on(world: World, east: tuple[int, ...]) -> None:
    """The region and cell 1 learn the plan, cell 0 does not; of it only these ask, and loads begin."""
    for node in (0, 2, 4):
        world.learns(node)
    began = world.now
    while holds(world) != {1}:
        world.does("time", lambda w: w.passes(0.02))
        for node in (*east, 2, 4):
            world.asks(node)
            while world.flying:
                world.does("answered", lambda w: w.comes(0, False))
        if world.routers[0].holds(0, world.clock(3)):
            world.does("3 begins", lambda w: w.begins(3, 0))
        assert world.now < began + 1.2 * (2 * LEASE + SETTLE), "the home never moves"


def cell_that_never_learns_the_plan_goes_on_asking() -> None:
    world = ready()
    world.planned((1, 0))
    west_moves_on(world, EAST)


def leader_is_cut_off_from_the_region_alone() -> None:
    world = ready()
    world.planned((1, 0))
    west_moves_on(world, (3,))


def load_is_out() -> None:
    world = ready()
    world.begins(3, 0)
    world.planned((1, 0))
    settled(world, 20, 0.01)
    assert world.running and not holds(world)
    world.does("ends", lambda w: w.ends(0, False))
    until_held(world, 1, 0.1)


def load_ends_in_doubt() -> None:
    world = ready()
    world.begins(3, 0)
    world.planned((1, 0))
    world.does("ends in doubt", lambda w: w.ends(0, True))
    until_held(world, 1, 1.0)


def router_is_killed_with_a_load_out() -> None:
    world = ready()
    world.begins(3, 0)
    world.anew(3)
    world.planned((1, 0))
    until_held(world, 1, 4.0)


def old_answer_finds_a_new_process() -> None:
    world = ready()
    world.asks(3)
    world.comes(0, False)
    late, world.flying = world.flying, []
    world.anew(3)
    world.planned((1, 0))
    until_held(world, 1, 4.0, EAST)
    while world.routers[0].token < late[0][2].token:
        world.asks(3)
    world.flying = late
    world.does("late", lambda w: w.comes(0, False))


def region_is_led_anew() -> None:
    """It knows nothing of a cell that holds a lease and is cut off."""
    world = ready()
    world.planned((1, 0))
    world.learns(0)
    world.anew(0)
    until_held(world, 1, 4.0, EAST)


def cell_is_led_anew() -> None:
    """It knows nothing of a router with loads out, and says nothing for it."""
    world = ready()
    world.begins(3, 0)
    world.planned((1, 0))
    world.learns(1)
    world.anew(1)
    until_held(world, 1, 4.0, (3,))


def plan_that_moves_it_back_is_missed_between() -> None:
    """The old cell lapsed, and knows of neither the plan that took its home nor that it was begun."""
    world = ready()
    world.planned((1, 0))
    until_held(world, 1, 4.0, EAST)
    world.planned((0, 0))
    settled(world, 3, 0.02, (2, 4))
    assert holds(world) == {1}, "who has not learnt the plan goes on for now"
    until_held(world, 0, 4.0)


def plan_moves_it_back_before_it_was_begun() -> None:
    world = ready()
    world.planned((1, 0))
    settled(world, 1, 0.004)
    world.planned((0, 0))
    assert until_held(world, 0, 4.0) < 0.1


def plan_moves_it_away_and_back_while_it_is_taken() -> None:
    """The old cell has given it up by one plan and has it again by the next; the other has begun."""
    world = ready()
    world.planned((1, 0))
    until_held(world, 1, 4.0)
    world.begins(4, 0)
    world.planned((0, 0))
    settled(world, 10, 0.02, (2, 4))
    until_held(world, 0, 4.0)


def router_learns_what_its_leader_does_not() -> None:
    """That the home is back, before the leader knows that it was to go: done, but not by that plan."""
    world = ready()
    world.planned((1, 0))
    for node in (0, 2, 4):
        world.learns(node)
    world.planned((0, 0))
    world.learns(3)
    for _ in range(20):
        for node in (3, 1, 2, 4):
            world.asks(node)
            while world.flying:
                world.does("answered", lambda w: w.comes(0, False))
        world.does("time", lambda w: w.passes(0.05))
    until_held(world, 0, 4.0)


STORIES = [
    moves_at_once,
    moves_without_a_word,
    cell_is_told_late,
    cell_that_never_learns_the_plan_goes_on_asking,
    leader_is_cut_off_from_the_region_alone,
    load_is_out,
    load_ends_in_doubt,
    router_is_killed_with_a_load_out,
    old_answer_finds_a_new_process,
    region_is_led_anew,
    cell_is_led_anew,
    plan_that_moves_it_back_is_missed_between,
    plan_moves_it_back_before_it_was_begun,
    plan_moves_it_away_and_back_while_it_is_taken,
    router_learns_what_its_leader_does_not,
]


@pytest.mark.parametrize("story", STORIES, ids=lambda story: story.__name__)
def test_one_home_at_a_time(story: Callable[[], None]) -> None:
    story()


# Guards broken by hand.

asked, granted, leader_asked = Granter.asked, Holder.granted, Leader.asked


def grown_at_once(self, number, now, lease, settle) -> None:
    self.newest, self.lease, self.settle = number, lease, settle
    self.grown, self.accounts = now, {}


def one_start(self, who, ask, now, until=float("inf")):
    return replace(asked(self, who, replace(ask, start=1), now, until), start=ask.start)


def any_number(self, who, ask, now, until=float("inf")):
    return asked(self, who, replace(ask, number=max(ask.number, self.newest)), now, until)


def beyond_its_own(self, who, ask, now, until=float("inf")):
    return asked(self, who, ask, now, float("inf") if until > now else until)


def done_unheard(self, who, ask, now, until=float("inf")):
    said = asked(self, who, replace(ask, done=0), now, until)
    for account in self.accounts.get(who, [])[-1:]:
        account.done = max(account.done, ask.done)
    return said


def from_arrival(self, grant, now) -> None:
    if grant.token in self.out:
        self.out[grant.token] = now
    granted(self, grant, now)


def of_any_process(self, grant, now) -> None:
    granted(self, replace(grant, start=self.start), now)


def clear_by_itself(self, who, ask, now):
    said = leader_asked(self, who, ask, now)
    return replace(said, clear=said.span and self.granter.newest)


def end_without_doubt(self, group, here, now, doubt=0.0) -> None:
    self.loads[group].remove(here.over)


GUARDS = [
    ("settle", Granter, "_over", lambda self, account: account.until, moves_without_a_word),
    ("bound on clocks", homes, "MAX_CLOCK_DRIFT", -0.02, moves_without_a_word),
    (
        "no longer than its own lease",
        Granter,
        "asked",
        beyond_its_own,
        leader_is_cut_off_from_the_region_alone,
    ),
    ("span from when it was asked", Holder, "granted", from_arrival, cell_is_told_late),
    (
        "older plans get no lease",
        Granter,
        "asked",
        any_number,
        cell_that_never_learns_the_plan_goes_on_asking,
    ),
    ("loads out are awaited", Router, "done", lambda self, now: self.number, load_is_out),
    ("done is a number heard", Granter, "asked", done_unheard, router_learns_what_its_leader_does_not),
    ("doubt is awaited", Router, "end", end_without_doubt, load_ends_in_doubt),
    ("starts are told apart", Granter, "asked", one_start, router_is_killed_with_a_load_out),
    ("answers to earlier processes", Holder, "granted", of_any_process, old_answer_finds_a_new_process),
    ("a new granter waits", Granter, "__init__", grown_at_once, region_is_led_anew),
    (
        "a lapse forgets",
        Holder,
        "live",
        lambda self, now: now < self.until,
        plan_that_moves_it_back_is_missed_between,
    ),
    (
        "every plan since one that was clear",
        Holder,
        "holds",
        lambda self, group, now: self.live(now) and self.sure and self.plan.home(group) == self.cell,
        plan_moves_it_away_and_back_while_it_is_taken,
    ),
    (
        "clear is awaited",
        Holder,
        "holds",
        lambda self, group, now: self.live(now) and all(p.home(group) == self.cell for p in self.plans),
        plan_that_moves_it_back_is_missed_between,
    ),
    (
        "only within the lease",
        Holder,
        "holds",
        lambda self, group, now: self.sure and all(p.home(group) == self.cell for p in self.plans),
        moves_without_a_word,
    ),
    (
        "a leader speaks for its routers",
        Leader,
        "next_ask",
        lambda self, now: self.holder.ask(now, self.granter.newest),
        load_is_out,
    ),
    ("clear comes from the region", Leader, "asked", clear_by_itself, load_is_out),
]


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard[0])
def test_a_guard_that_is_broken_by_hand_is_found(guard, monkeypatch: pytest.MonkeyPatch) -> None:
    _, where, name, other, story = guard
    monkeypatch.setattr(where, name, other)
    with pytest.raises((Broken, AssertionError)):
        story()


def test_every_order_of_a_few_acts() -> None:
    assert exhaust(3) > 5000


@pytest.mark.parametrize("seed", range(12))
def test_random_walks(seed: int) -> None:
    assert stroll(seed, 1200, 1 + seed % 2) > 10


# What a command is told.


def test_a_command_whose_home_is_elsewhere_or_nowhere_just_now_is_told_so() -> None:
    router = Router(0, 1, LEASE, SETTLE)
    assert router.begin(0, SETTLE, 100.0) == Nobody(LEASE), "it knows no plan"
    router.adopted(Homes(1, (1, 0)), 100.0)
    assert router.begin(0, SETTLE, 100.0) == Elsewhere(1)
    region = Granter(1, 100.0, LEASE, SETTLE)
    router.granted(region.asked(3, router.next_ask(100.1), 100.1), 100.1)
    told = router.begin(1, SETTLE, 100.2)
    assert isinstance(told, Nobody) and 1.6 < told.wait < 1.8, "the granter is new: until it is grown"
    router.granted(region.asked(3, router.next_ask(102.0), 102.0), 102.0)
    told = router.begin(1, SETTLE, 102.1)
    assert isinstance(told, Here) and 102.1 < told.begin_by < 103.0
    with pytest.raises(ValueError, match="are the longest"):
        router.begin(1, SETTLE + 0.1, 102.1)


def test_a_router_whose_home_moves_refuses_at_once() -> None:
    world = ready()
    router = world.routers[0]
    world.planned((1, 0))
    world.learns(3)
    assert router.begin(0, SETTLE, world.clock(3)) == Elsewhere(1)
    assert isinstance(router.begin(1, SETTLE, world.clock(3)), Here)


def test_a_cell_without_its_region_keeps_its_homes_for_a_lease_and_has_them_back_at_once() -> None:
    world = ready()
    for _ in range(30):
        settled(world, 1, 0.1, (0, 1, 2))
    assert holds(world) == set()
    began = world.now
    settled(world, 2, 0.02)
    assert holds(world) == {0} and world.now - began < 0.1


def test_a_leader_that_follows_another_goes_on_without_a_gap() -> None:
    world = ready()
    world.anew(1)
    for _ in range(100):
        settled(world, 1, 0.05)
        assert holds(world, 0) == holds(world, 1) == {0}


def test_a_late_ask_of_an_earlier_process_changes_nothing() -> None:
    region = Granter(1, 0.0, LEASE, SETTLE)
    region.asked(1, Ask(2, 1, 1, 0), 5.0)
    assert region.asked(1, Ask(1, 9, 1, 1), 5.1).span == 0.0
    region.adopted(2)
    assert not region.clear(5.2)


def test_accounts_that_are_over_are_forgotten() -> None:
    region = Granter(1, 0.0, LEASE, SETTLE)
    for start in range(50):
        region.asked(1, Ask(start, 1, 1, 1), 10.0 * start)
    assert region.clear(500.0) and sum(map(len, region.accounts.values())) <= 1
