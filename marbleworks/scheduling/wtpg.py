"""The weighted transaction-precedence graph of the LOW scheduler, in the notation of the paper."""

from __future__ import annotations

import math


class Wtpg:
    """Weighted transaction-precedence graph of one table group (paper, 3.1)."""

    def __init__(self) -> None:
        self.start: dict[int, float] = {}  # node -> remaining cost
        self.conflicts = dict[int, dict[int, float]]()  # i -> j -> weight of i->j, kept for either direction
        self.precedes = dict[int, dict[int, float]]()

    def e(self, node: int) -> float:
        """E: the critical path if the node's request were granted now (paper, figure 5)."""
        after = self.precedes | {node: self.precedes.get(node, {}) | self.conflicts.get(node, {})}
        settled = False
        while not settled:  # an order that follows from those known settles further conflict edges
            settled = True
            for i in self.conflicts.keys() & after.keys():
                open_to = self.conflicts[i].items() - after[i].items()
                if follows := {j: weight for j, weight in open_to if self._leads(after, i, j)}:
                    after[i], settled = after[i] | follows, False
        tails: dict[int, float] = {}

        def tail(i: int) -> float:
            if i in after and i not in tails:
                tails[i] = math.inf  # met again while being worked out: a cycle, a deadlock
                tails[i] = max([weight + tail(j) for j, weight in after[i].items()], default=0.0)
            return tails.get(i, 0.0)

        return max(cost + tail(i) for i, cost in self.start.items())

    def _leads(self, after: dict[int, dict[int, float]], i: int, j: int) -> bool:
        seen = [i]
        for at in seen:  # grows while it is walked
            seen += [b for b in after.get(at, ()) if b not in seen]
        return j in seen
