"""The weighted transaction-precedence graph of the LOW scheduler, in the notation of the paper."""

from __future__ import annotations

import math


class Wtpg:
    """Weighted transaction-precedence graph of one table group (paper, 3.1).

    Attributes:
        start_weights: weight of each node's edge from the start node T0: its remaining cost.
        conflicts: weights of the undecided conflict edges, stored for both directions.
        precedes: weights of the edges whose direction is decided.
    """

    def __init__(self) -> None:
        self.start_weights: dict[int, float] = {}  # keyed by node
        self.conflicts = dict[int, dict[int, float]]()  # i -> j -> weight of edge i->j
        self.precedes = dict[int, dict[int, float]]()

    def e(self, node: int) -> float:
        """Returns E: the critical path's length if the node's request were granted now (paper, figure 5)."""
        successors = self.precedes | {node: self.precedes.get(node, {}) | self.conflicts.get(node, {})}
        is_stable = False
        while not is_stable:  # an implied order may decide further conflict edges
            is_stable = True
            for i in self.conflicts.keys() & successors.keys():
                undecided = self.conflicts[i].items() - successors[i].items()
                if implied := {j: weight for j, weight in undecided if self._reaches(successors, i, j)}:
                    successors[i], is_stable = successors[i] | implied, False
        longest_paths: dict[int, float] = {}

        def longest_path_from(i: int) -> float:
            if i in successors and i not in longest_paths:
                longest_paths[i] = math.inf  # kept if the node reaches itself: a cycle, hence a deadlock
                longest_paths[i] = max(
                    [weight + longest_path_from(j) for j, weight in successors[i].items()], default=0.0
                )
            return longest_paths.get(i, 0.0)

        return max(cost + longest_path_from(i) for i, cost in self.start_weights.items())

    def _reaches(self, successors: dict[int, dict[int, float]], i: int, j: int) -> bool:
        """Returns whether a path leads from node i to node j."""
        reached = [i]
        for node_reached in reached:  # the list grows during iteration
            reached += [
                successor for successor in successors.get(node_reached, ()) if successor not in reached
            ]
        return j in reached
