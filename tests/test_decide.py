"""Each rule and each failure met, with the module alone."""

from dataclasses import replace

from bench import BOUND, LOAD, ORDERED, RULES, UNIQUED, Stage, engine

from marbleworks.interface import Ending, Listed


def test_a_command_that_no_engine_may_take_is_shed_before_its_time_is_up() -> None:
    stage = Stage(engines=0)
    cmd = stage.take(left=1.0)
    stage.pass_time(0.99)
    assert stage.port.finals(cmd.ref) == ["shed"] and cmd.settled


def test_a_replayable_command_is_sent_again_elsewhere_after_an_error() -> None:
    stage = Stage()
    cmd = stage.take()
    cmd.ended(0, Ending.ERRED, False, None)
    assert len(set(stage.port.sent(cmd.ref))) == 2


def test_a_non_replayable_command_that_may_have_run_fails_at_once() -> None:
    stage = Stage()
    cmd = stage.take(LOAD)
    cmd.ended(0, Ending.CUT_OFF, False, None)
    assert len(stage.port.sent(cmd.ref)) == 1 and stage.port.finals(cmd.ref) == ["fail"]


def test_a_non_replayable_command_that_never_ran_is_sent_again() -> None:
    stage = Stage()
    cmd = stage.take(LOAD)
    cmd.ended(0, Ending.UNREACHED, False, None)
    assert len(stage.port.sent(cmd.ref)) == 2


def test_a_uniqued_command_goes_again_only_within_its_window() -> None:
    stage = Stage()
    early, late = stage.take(UNIQUED, left=25.0), stage.take(UNIQUED, left=25.0, group=2)
    stage.port.clock += 1.0
    early.ended(0, Ending.CUT_OFF, False, None)
    stage.port.clock += 4.5
    late.ended(0, Ending.CUT_OFF, False, None)
    assert len(stage.port.sent(early.ref)) == 2 and len(stage.port.sent(late.ref)) == 1


def test_an_outcome_of_a_send_already_over_changes_nothing() -> None:
    stage = Stage()
    cmd = stage.take()
    cmd.answered(0, (0.2, 10.0), None)
    before = list(stage.port.asked)
    cmd.ended(0, Ending.SILENT, False, None)
    cmd.answered(0, None, None)
    assert stage.port.asked == before


def test_nothing_goes_to_an_engine_that_drains_or_has_left_the_list() -> None:
    stage = Stage()
    stage.gateway.listed([engine(0, Listed.DRAINING), engine(1, Listed.GONE, kind=1)], whole=False)
    stage.gateway.listed([engine(0, Listed.DRAINING), engine(2)], whole=True)
    for _ in range(10):
        stage.take()
    assert set(stage.port.sent()) == {2}


def test_a_fresh_engine_gets_no_more_work_than_its_floor() -> None:
    stage = Stage(engines=0)
    stage.pass_time(RULES.cold_span)
    stage.gateway.listed([engine(0, started=101.9)], whole=True)
    for n in range(60):
        cmd = stage.take(group=n)
        if cmd.out:
            cmd.answered(0, (0.2, 10.0), None)
    floor = RULES.cold_floor * RULES.cold_multiple * RULES.cold_span * 8 / 2
    assert 0 < 0.2 * len(stage.port.sent()) <= floor


def test_commands_in_order_wait_for_the_one_before_and_its_rest() -> None:
    stage = Stage()
    first, second = stage.take(ORDERED, key="k", left=20.0), stage.take(ORDERED, key="k", left=20.0, group=2)
    stage.pass_time(1.0)
    assert not second.out
    first.ended(0, Ending.CUT_OFF, False, None)
    stage.pass_time(0.4)
    assert first.over and not second.out
    stage.pass_time(0.2)
    assert second.out


def test_a_bound_profile_goes_to_its_kind_at_every_send() -> None:
    stage = Stage()
    cmd = stage.take(BOUND)
    cmd.ended(0, Ending.ERRED, False, None)
    assert set(stage.port.sent(cmd.ref)) <= {1, 3} and stage.port.sent(cmd.ref)
    stage = Stage(engines=1)
    assert stage.take(BOUND, left=1.0) and not stage.port.sent()


def test_further_sends_keep_to_their_budget() -> None:
    stage = Stage()
    for _ in range(10):
        cmd = stage.take()
        cmd.ended(0, Ending.ERRED, False, None)
    further = len(stage.port.sent()) - 10
    assert further == RULES.extra_floor + int(RULES.extra_share * 10)


def test_a_full_engine_is_left_alone_for_a_while() -> None:
    """Found on menu-data-nbi big-2: commands turned away went straight back to engines still full."""
    stage = Stage(engines=3, rules=replace(RULES, extra_share=None, max_sends=9))
    cmd = stage.take()
    full = stage.port.sent()[0]
    cmd.ended(0, Ending.TURNED_AWAY, False, None)
    for _ in range(6):
        stage.take()
    assert stage.port.sent().count(full) == 1


def test_readers_leave_the_homes_to_the_loads() -> None:
    """Found on booking-hub quiet: readers stood behind loads that other routers had sent."""
    stage = Stage(engines=8)
    for n in range(6):
        load = stage.take(LOAD, group=n)
        loads = {stage.port.sent(load.ref)[0]}
        load.answered(0, None, None)
        homes = {e.entry.be for e in stage.gateway._homes(n)}
        readers = {stage.port.sent(stage.take(group=n).ref)[0] for _ in range(3)}
        assert loads <= homes and not readers & homes


def test_a_runaway_send_is_moved_and_the_next_is_judged_more_slowly() -> None:
    """Found on menu-data-nbi rough-1: a wrong estimate looked like a bad plan, time and again."""
    stage = Stage(rules=replace(RULES, extra_share=None))
    cmd = stage.take(BOUND, work=1.0, left=25.0)
    stage.pass_time(2.0)
    cmd.progressed(0, 0.3)
    stage.pass_time(0.1)
    assert ("cancel", cmd.ref, 0) in stage.port.asked and len(stage.port.sent(cmd.ref)) == 2
    cmd.ended(0, Ending.CANCELLED, False, None)
    stage.pass_time(2.0)
    cmd.progressed(1, 0.3)
    stage.pass_time(0.1)
    assert len(stage.port.sent(cmd.ref)) == 2


def test_fast_failures_do_not_look_like_low_load() -> None:
    stage = Stage(rules=replace(RULES, extra_share=None))
    for n in range(40):
        cmd = stage.take(group=n)
        while cmd.out:
            send = cmd.out[0]
            if send.engine.entry.be == 0:
                cmd.ended(send.no, Ending.ERRED, False, None)
            else:
                cmd.answered(send.no, (0.2, 10.0), None)
    assert stage.port.sent().count(0) <= 4


def test_memory_out_at_a_paging_engine_is_bounded() -> None:
    """Found on a menu-data-nbi incident: engines paged long before their answers showed pressure."""
    stage = Stage(engines=1)
    for n in range(40):
        stage.gateway.take(f"m{n}", 0, n, None, (0.2, 1000.0), -1, 6.0)
    assert 1 < len(stage.port.sent()) <= 16384 * 0.9 / 2 / 1000
