"""Chores: a deadline before priority, none left behind for ever, budgets kept, the commands first."""

import random
import time

import gevent
import pytest
from gevent.event import AsyncResult, Event

from marbleworks.background import task_runner as worker
from marbleworks.background.options import BackgroundOptions
from marbleworks.background.task_queue import Task, TaskQueue
from marbleworks.background.task_runner import OffloadedCall, TaskRunner, TaskSteps, Wait


def played(
    order: TaskQueue, chores: list[Task], seconds: float, behind: bool = False, step: float = 0.01
) -> list[str]:
    """Steps of 10 ms and 10 KB each, one after the other, as the budgets allow."""
    now, went = 0.0, list[str]()
    for chore in chores:
        order.add(chore)
    while now < seconds:
        chore = order.next_task(now, behind)
        if chore is None:
            wake = order.next_wakeup(now, behind)
            now = max(now + 0.001, min(wake if wake is not None else seconds, seconds))
            continue
        went.append(chore.name)
        now += step
        order.record_step(chore, now, step, 1e4)
    return went


def test_a_deadline_goes_before_priority_and_the_earliest_first() -> None:
    order = TaskQueue(0.5, 1e9, 10.0)
    urgent, later, late = Task("urgent", 0, 0.0), Task("later", 9, 0.0, 3.0), Task("late", 9, 0.0, 2.0)
    for chore in (urgent, later, late):
        order.add(chore)
    assert order.next_task(1.0, False) is urgent and order.next_task(4.0, False) is late
    order.remove(late)
    assert order.next_task(4.0, False) is later


def test_no_chore_waits_for_ever_behind_a_more_important_one() -> None:
    went = played(TaskQueue(0.5, 1e9, 1.0), [Task("first", 0, 0.0), Task("last", 3, 0.0)], 30.0)
    assert went.count("first") > 5 * went.count("last") >= 5 * 5


def test_both_budgets_are_kept_whatever_waits() -> None:
    for core, pace, most in ((0.1, 1e9, 0.1 * 20 / 0.01), (0.9, 2e5, 2e5 * 20 / 1e4)):
        went = played(TaskQueue(core, pace, 1.0), [Task(str(i), i, 0.0, 1.0) for i in range(5)], 20.0)
        assert 0.9 * most < len(went) < 1.1 * most


def test_while_the_desk_is_behind_only_patience_and_deadlines_count() -> None:
    order = TaskQueue(0.5, 1e9, 5.0)
    went = played(order, [Task("patient", 0, 0.0), Task("due", 9, 0.0, 2.0)], 4.9, behind=True)
    assert went[0] == "due" and "patient" not in went
    went = played(TaskQueue(0.5, 1e9, 5.0), [Task("patient", 0, 0.0)], 20.5, behind=True)
    assert len(went) == 4  # one step each 5 s
    assert TaskQueue(0.5, 1e9, 5.0).next_wakeup(0.0, True) is None


def test_the_table_of_chores_is_bounded() -> None:
    order = TaskQueue(0.5, 1e9, 5.0)
    assert sum(order.add(Task("x", 0, 0.0)) for _ in range(1000)) == 256


def test_any_mix_of_chores_all_get_their_turn() -> None:
    chance = random.Random(4)
    for _ in range(30):
        chores = [Task(str(i), chance.randrange(6), 0.0) for i in range(chance.randrange(1, 12))]
        went = played(TaskQueue(0.3, 1e8, 1.0), chores, 40.0, behind=chance.random() < 0.3)
        assert set(went) == {chore.name for chore in chores}


def test_a_step_that_blocks_keeps_the_hub_free_and_one_that_raises_ends_its_round(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[str] = []  # else the trace is drawn for a terminal, which takes long
    monkeypatch.setattr(worker.LOG, "exception", lambda event, work: logged.append(work))
    chores, seen, ticks = (
        TaskRunner(BackgroundOptions(0.5, 1e9, 1.0), lambda: False),
        list[object](),
        list[float](),
    )

    def slow() -> TaskSteps:
        seen.append((yield OffloadedCall(lambda: time.sleep(0.3) or 7, 100)))
        try:
            yield OffloadedCall(lambda: 1 // 0)
        except ZeroDivisionError as err:
            seen.append(type(err))

    def broken() -> TaskSteps:
        seen.append("broken")
        raise RuntimeError("on purpose")
        yield None

    chores.add_periodic("slow", 1, lambda: 0.01, slow, 1.0)
    chores.add_periodic("broken", 2, lambda: 0.05, broken, 1.0)
    began = time.monotonic()
    while time.monotonic() < began + 0.8:
        gevent.sleep(0.01)
        ticks.append(time.monotonic())
    chores.stop()
    assert max(b - a for a, b in zip(ticks, ticks[1:], strict=False)) < 0.15 and logged
    assert [one for one in seen if one != "broken"][:2] == [7, ZeroDivisionError] and "broken" in seen


def test_a_chore_apart_waits_for_no_other_and_is_hurried_while_it_runs() -> None:
    chores, seen, go = TaskRunner(BackgroundOptions(0.01, 1.0, 1.0), lambda: True), list[str](), Event()

    def slow() -> TaskSteps:
        seen.append("slow")
        yield Wait(held, 10**9)

    def apart() -> TaskSteps:
        seen.append("apart")
        if len(seen) < 4:
            chores.run_soon("apart")  # it is wanted again before it has ended
        else:
            go.set()
        yield OffloadedCall(lambda: None)

    held: AsyncResult[None] = AsyncResult()
    chores.add_periodic("slow", 0, lambda: 0.001, slow, 0.0)
    chores.add_periodic("apart", 1, lambda: 60.0, apart, 0.0, dedicated=True)
    chores.run_soon("apart")
    assert go.wait(5.0) and seen.count("apart") >= 3
    held.set(None)
    chores.stop()
