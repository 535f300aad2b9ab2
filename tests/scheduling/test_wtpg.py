"""The worked examples of the paper's figures 6 and 7."""

import math

from marbleworks.scheduling.wtpg import Wtpg


def figure_6() -> Wtpg:
    """T4 precedes T5 and T6 precedes T7; (T5, T6) and (T4, T7) are undecided. Edges of T0 have weight 0."""
    graph = Wtpg()
    graph.start_weights = {4: 0.0, 5: 0.0, 6: 0.0, 7: 0.0}
    graph.precedes = {4: {5: 1.0}, 6: {7: 1.0}}
    graph.conflicts = {5: {6: 1.0}, 6: {5: 1.0}, 4: {7: 10.0}, 7: {4: 10.0}}
    return graph


def test_e_of_the_delayed_and_the_granted_request() -> None:
    assert figure_6().e(5) == 10.0  # decides that T4 precedes T7 as well
    assert figure_6().e(6) == 1.0  # leaves (T4, T7) undecided, so that edge is ignored


def test_e_is_infinite_for_a_deadlock() -> None:
    graph = figure_6()
    graph.precedes[6][5] = 1.0
    assert math.isinf(graph.e(5))


def test_the_longest_running_request_represents_all_running_requests() -> None:
    """Guards against computing E over dozens of running nodes, which cost too much time on sockets.

    Running nodes always come first, so the longest of them gives the same E.
    """
    graph, merged = Wtpg(), Wtpg()
    for each, running in ((graph, {1: 3.0, 2: 7.0, 3: 5.0}), (merged, {2: 7.0})):
        each.start_weights = {**running, 8: 2.0, 9: 4.0}
        each.precedes = {node: {8: 2.0, 9: 4.0} for node in running}
        each.conflicts = {8: {9: 4.0}, 9: {8: 2.0}}
    assert [graph.e(8), graph.e(9)] == [merged.e(8), merged.e(9)] == [13.0, 13.0]
