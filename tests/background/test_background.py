"""Background tasks: deadlines go before priorities, no task starves, budgets hold, and requests go first."""

import random
import time

import gevent
import pytest
from gevent.event import AsyncResult, Event

from marbleworks.background import task_runner as task_runner_module
from marbleworks.background.options import BackgroundOptions
from marbleworks.background.task_queue import Task, TaskQueue
from marbleworks.background.task_runner import AwaitedResult, OffloadedCall, TaskRunner, TaskSteps


def run_queue(
    queue: TaskQueue, tasks: list[Task], seconds: float, backlogged: bool = False, step: float = 0.01
) -> list[str]:
    """Runs the queue for `seconds` of simulated time, each step with `step` seconds and 10 KB.

    Returns:
        The names of the tasks in the order of their steps.
    """
    now, executed = 0.0, list[str]()
    for task in tasks:
        queue.add(task)
    while now < seconds:
        task = queue.next_task(now, backlogged)
        if task is None:
            wakeup = queue.next_wakeup(now, backlogged)
            now = max(now + 0.001, min(wakeup if wakeup is not None else seconds, seconds))
            continue
        executed.append(task.name)
        now += step
        queue.record_step(task, now, step, 1e4)
    return executed


def test_passed_deadlines_go_before_priority_and_the_earliest_runs_first() -> None:
    queue = TaskQueue(0.5, 1e9, 10.0)
    urgent, later, earlier = Task("urgent", 0, 0.0), Task("later", 9, 0.0, 3.0), Task("earlier", 9, 0.0, 2.0)
    for task in (urgent, later, earlier):
        queue.add(task)
    assert queue.next_task(1.0, False) is urgent and queue.next_task(4.0, False) is earlier
    queue.remove(earlier)
    assert queue.next_task(4.0, False) is later


def test_no_task_starves_behind_one_of_higher_priority() -> None:
    executed = run_queue(TaskQueue(0.5, 1e9, 1.0), [Task("first", 0, 0.0), Task("last", 3, 0.0)], 30.0)
    assert executed.count("first") > 5 * executed.count("last") >= 5 * 5


def test_both_budgets_hold_whatever_tasks_wait() -> None:
    for core_share, bytes_per_s, expected_steps in ((0.1, 1e9, 0.1 * 20 / 0.01), (0.9, 2e5, 2e5 * 20 / 1e4)):
        executed = run_queue(
            TaskQueue(core_share, bytes_per_s, 1.0), [Task(str(i), i, 0.0, 1.0) for i in range(5)], 20.0
        )
        assert 0.9 * expected_steps < len(executed) < 1.1 * expected_steps


def test_while_backlogged_only_the_longest_wait_and_deadlines_start_tasks() -> None:
    queue = TaskQueue(0.5, 1e9, 5.0)
    executed = run_queue(queue, [Task("waiting", 0, 0.0), Task("due", 9, 0.0, 2.0)], 4.9, backlogged=True)
    assert executed[0] == "due" and "waiting" not in executed
    executed = run_queue(TaskQueue(0.5, 1e9, 5.0), [Task("waiting", 0, 0.0)], 20.5, backlogged=True)
    assert len(executed) == 4  # one step every 5 s
    assert TaskQueue(0.5, 1e9, 5.0).next_wakeup(0.0, True) is None


def test_the_number_of_waiting_tasks_is_bounded() -> None:
    queue = TaskQueue(0.5, 1e9, 5.0)
    assert sum(queue.add(Task("x", 0, 0.0)) for _ in range(1000)) == 256


def test_every_task_of_a_random_mix_runs() -> None:
    rng = random.Random(4)
    for _ in range(30):
        tasks = [Task(str(i), rng.randrange(6), 0.0) for i in range(rng.randrange(1, 12))]
        executed = run_queue(TaskQueue(0.3, 1e8, 1.0), tasks, 40.0, backlogged=rng.random() < 0.3)
        assert set(executed) == {task.name for task in tasks}


def test_a_blocking_step_leaves_the_hub_free_and_a_raising_step_ends_its_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[str] = []  # without this the traceback is rendered for a terminal, which is slow
    monkeypatch.setattr(task_runner_module.LOG, "exception", lambda event, work: logged.append(work))
    runner, events, ticks = (
        TaskRunner(BackgroundOptions(0.5, 1e9, 1.0), lambda: False),
        list[object](),
        list[float](),
    )

    def slow() -> TaskSteps:
        events.append((yield OffloadedCall(lambda: time.sleep(0.3) or 7, 100)))
        try:
            yield OffloadedCall(lambda: 1 // 0)
        except ZeroDivisionError as err:
            events.append(type(err))

    def broken() -> TaskSteps:
        events.append("broken")
        raise RuntimeError("on purpose")
        yield None

    runner.add_periodic_task("slow", 1, lambda: 0.01, slow, 1.0)
    runner.add_periodic_task("broken", 2, lambda: 0.05, broken, 1.0)
    started_at = time.monotonic()
    while time.monotonic() < started_at + 0.8:
        gevent.sleep(0.01)
        ticks.append(time.monotonic())
    runner.stop()
    assert (
        max(following - previous for previous, following in zip(ticks, ticks[1:], strict=False)) < 0.15
        and logged
    )
    assert [name for name in events if name != "broken"][:2] == [7, ZeroDivisionError] and "broken" in events


def test_a_dedicated_task_waits_for_no_other_and_can_be_requested_while_it_runs() -> None:
    runner, events, finished = (
        TaskRunner(BackgroundOptions(0.01, 1.0, 1.0), lambda: True),
        list[str](),
        Event(),
    )

    def slow() -> TaskSteps:
        events.append("slow")
        yield AwaitedResult(outcome, 10**9)

    def dedicated_steps() -> TaskSteps:
        events.append("dedicated")
        if len(events) < 4:
            runner.run_now("dedicated")  # requested again while it runs
        else:
            finished.set()
        yield OffloadedCall(lambda: None)

    outcome: AsyncResult[None] = AsyncResult()
    runner.add_periodic_task("slow", 0, lambda: 0.001, slow, 0.0)
    runner.add_periodic_task("dedicated", 1, lambda: 60.0, dedicated_steps, 0.0, dedicated=True)
    runner.run_now("dedicated")
    assert finished.wait(5.0) and events.count("dedicated") >= 3
    outcome.set(None)
    runner.stop()
