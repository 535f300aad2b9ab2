"""Maps clients to tenants, weights and queues, with shuffle sharding over a fixed number of queues.

A client with a tenant counts under the tenant's name, one without under its network. It does no I/O. It owns
the weights and networks of the operator's file, and must never keep a table that unknown clients can make
longer without bound: a name that was never seen before costs nothing but its hash.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable

import xxhash
from pytricia import PyTricia

MAX_CACHED_HANDS = 4096
HAND_SIZE = 4  # queues that the requests of one tenant may be put into
DEFAULT_PREFIX_BITS = (
    24,
    64,
)  # prefix lengths of IPv4 and IPv6 networks that the operator's file does not name


class FlowClassifier:
    """Finds the tenant, the weight and the queue of a request.

    Args:
        queues: Number of queues.
        seed: Seed of the hash that assigns queues to tenants.
        weights: Weight by tenant name; tenants that are not named have 1.
        networks: Weight by address prefix, for clients without a tenant.
    """

    def __init__(self, queues: int, seed: int, weights: dict[str, float], networks: dict[str, float]) -> None:
        self.queues, self.seed, self.weights = queues, seed, weights
        self.cached_hands: dict[str, list[int]] = {}
        self.prefix_trees = {4: PyTricia(32), 6: PyTricia(128)}
        for prefix, weight in networks.items():
            network = ipaddress.ip_network(prefix)
            self.prefix_trees[network.version][prefix] = (prefix, weight)

    def classify(self, tenant_name: str, address: str) -> tuple[str, float]:
        """Finds under which name a client counts, and with which weight.

        Args:
            tenant_name: Empty for a client without a tenant.
            address: IP address that the client connects from.

        Returns:
            The tenant's name or the client's network, and the weight.
        """
        if tenant_name:
            return tenant_name, self.weights.get(tenant_name, 1.0)
        ip = ipaddress.ip_address(address)
        found: tuple[str, float] | None = self.prefix_trees[ip.version].get(address)
        if found is not None:
            return found
        bits = DEFAULT_PREFIX_BITS[0] if ip.version == 4 else DEFAULT_PREFIX_BITS[1]
        return str(ipaddress.ip_network((address, bits), strict=False)), 1.0

    def hand(self, tenant: str) -> list[int]:
        """Returns the queues that a tenant may use: always the same, and rarely all those of another."""
        hand = self.cached_hands.get(tenant)
        if hand is None:
            if len(self.cached_hands) >= MAX_CACHED_HANDS:
                self.cached_hands.clear()
            hand = self.cached_hands[tenant] = self._deal(tenant)
        return hand

    def _deal(self, tenant: str) -> list[int]:
        digest = xxhash.xxh3_64_intdigest(tenant.encode(), self.seed)
        draws, hand = list(range(min(HAND_SIZE, self.queues))), list[int]()
        taken: set[int] = set()
        for i in draws:  # draws without replacement: an index among the queues that are not yet taken
            queue = digest % (self.queues - i)
            digest //= self.queues - i
            for other in sorted(taken):
                queue += queue >= other
            taken.add(queue)
            hand.append(queue)
        return hand

    def least_loaded_queue(self, tenant: str, backlog: Callable[[int], float]) -> int:
        """Returns the queue of the tenant's hand with the least waiting work.

        Args:
            tenant: Tenant name or network, as `classify` returns it.
            backlog: Returns the waiting work of a queue.
        """
        return min(self.hand(tenant), key=backlog)
