"""Who counts as one at the door: a member by name, a client without one by its network, folded into few
queues.

It does no I/O. It owns the weights and the networks of the file, and must never keep a table that strangers
can make longer: a name that was never seen before costs nothing but its hash.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable

import xxhash
from pytricia import PyTricia

MOST_HANDS = 4096  # are remembered
HAND = 4  # queues that a member may stand in
OTHERS = (24, 64)  # bits of a network that no line of the file names, for IPv4 and IPv6


class FlowClassifier:
    """queues: how many there are. weights: by member's name. networks: weight by address prefix."""

    def __init__(self, queues: int, seed: int, weights: dict[str, float], networks: dict[str, float]) -> None:
        self.queues, self.seed, self.weights = queues, seed, weights
        self.hands: dict[str, list[int]] = {}  # dealt lately
        self.trees = {4: PyTricia(32), 6: PyTricia(128)}
        for text, weight in networks.items():
            net = ipaddress.ip_network(text)
            self.trees[net.version][text] = (text, weight)

    def of(self, name: str, address: str) -> tuple[str, float]:
        """The name that stands for a client, and its weight. address: where it connects from."""
        if name:
            return name, self.weights.get(name, 1.0)
        ip = ipaddress.ip_address(address)
        found: tuple[str, float] | None = self.trees[ip.version].get(address)
        if found is not None:
            return found
        bits = OTHERS[0] if ip.version == 4 else OTHERS[1]
        return str(ipaddress.ip_network((address, bits), strict=False)), 1.0

    def hand(self, name: str) -> list[int]:
        """The queues that it may stand in, always the same, and hardly ever all those of another."""
        hand = self.hands.get(name)
        if hand is None:
            if len(self.hands) >= MOST_HANDS:
                self.hands.clear()
            hand = self.hands[name] = self._dealt(name)
        return hand

    def _dealt(self, name: str) -> list[int]:
        drawn = xxhash.xxh3_64_intdigest(name.encode(), self.seed)
        left, hand = list(range(min(HAND, self.queues))), list[int]()
        taken: set[int] = set()
        for i in left:  # as cards are dealt: the i-th of those not yet taken
            at = drawn % (self.queues - i)
            drawn //= self.queues - i
            for other in sorted(taken):
                at += at >= other
            taken.add(at)
            hand.append(at)
        return hand

    def queue(self, name: str, work: Callable[[int], float]) -> int:
        """The one of its hand with the least work waiting."""
        return min(self.hand(name), key=work)
