"""Budgets with several router processes; the requests in flight are counted at the engines.

Routers are killed, suspended, partitioned, restarted and reloaded with other totals, while each is asked for
more than the budget allows. At no time may more requests be in flight than the total.
"""

import signal
import time
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest

from marbleworks.lab.faultnet import FaultyNetwork
from marbleworks.lab.load import LoadClient
from marbleworks.lab.stage import LabCluster, health_report, wait_until

ROUTERS, TOTAL, TIMEOUT_S = 4, 12, 40.0
PEERS = "(peers (period 100 ms) (suspicion 600 ms) (term 1500 ms) (lease 1 s))"
BUDGETS = """(budgets (version {0}) (lease 2 s) (settle 500 ms) (tenants off)
    (budget "looks" (profile "date-lookup") (out {1})))"""
# Concurrent look-ups of 50 ms at each router; together more than twice the total.
CALLERS_PER_ROUTER = 8


class Fleet:
    """Routers under load, and the counts of requests in flight at the engines."""

    def __init__(self) -> None:
        self.network = FaultyNetwork(ROUTERS, 3)
        text = PEERS + BUDGETS.format(1, TOTAL)
        self.cluster = LabCluster(3, 16, text, routers=ROUTERS, network=self.network)
        for router in self.cluster.routers:
            router.start()
        self.limit, self.violations, self.in_flight, self.max_in_flight = TOTAL, list[int](), 0, 0
        self.outcomes: dict[str, int] = {}
        self.greenlets = [
            gevent.spawn(self._send_requests, n % ROUTERS) for n in range(CALLERS_PER_ROUTER * ROUTERS)
        ]
        self.greenlets.append(gevent.spawn(self._watch_engines))

    def _send_requests(self, number: int) -> None:
        client = LoadClient(self.cluster.routers[number].address, "oslo", number)
        while True:
            request = client.send_request("date-lookup", 50, 600)
            self.outcomes[request.outcome] = self.outcomes.get(request.outcome, 0) + 1
            gevent.sleep(0.02 if request.outcome == "answered" else 0.05)

    def _watch_engines(self) -> None:
        while True:
            self.cluster.command_fleet(stats=True)
            gauge = self.cluster.profiles.get("date-lookup", {"out": 0, "most": 0})
            self.in_flight, self.max_in_flight = gauge["out"], gauge["most"]
            if self.max_in_flight > self.limit:
                self.violations.append(self.max_in_flight)
            gevent.sleep(0.02)

    def ledger_row(self) -> list[str]:
        """The granter's row of the budget: total, held, used, free, unreachable, units by router."""
        for n in range(ROUTERS):
            for row in health_report(self.cluster, n).get("books", []):
                if row[0] == "named looks":
                    return list(row[1:])
        return []

    def divided_among(self, among: Any, total: int = TOTAL) -> Callable[[], bool]:
        """Returns a condition: the total is granted, half of it is in use, and each router has had a lease.

        Leases count from the first call of the condition on; routers need not have them at the same time.
        """
        seen: set[int] = set()

        def condition() -> bool:
            for n in set(among) - seen:
                rows = [
                    row for row in health_report(self.cluster, n).get("rows", []) if row[0] == "named looks"
                ]
                seen.update([n] if rows and int(rows[0][3]) > 0 else [])
            return (
                seen >= set(among)
                and self.ledger_row()[:2] == [str(total)] * 2
                and self.in_flight >= total // 2
            )

        return condition

    def close(self) -> None:
        gevent.killall(self.greenlets)
        self.cluster._end()
        self.network.close()


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    running = Fleet()
    yield running
    running.close()


def wait_for(condition: Callable[[], bool]) -> None:
    assert wait_until(condition, TIMEOUT_S)


def test_routers_started_together_divide_the_total_and_use_it(fleet: Fleet) -> None:
    wait_for(fleet.divided_among(range(ROUTERS)))
    wait_for(lambda: fleet.max_in_flight >= TOTAL - 1)
    assert fleet.violations == []


def test_after_the_granter_is_killed_another_grants_no_more_than_the_total(fleet: Fleet) -> None:
    before = health_report(fleet.cluster, 1)["divider"]
    router = fleet.cluster.routers[int(before)]
    router.stop(signal.SIGKILL)
    rest = [n for n in range(ROUTERS) if n != int(before)]
    wait_for(lambda: health_report(fleet.cluster, rest[0]).get("divider") not in (before, "-1"))
    wait_for(fleet.divided_among(rest))
    router.start()
    wait_for(fleet.divided_among(range(ROUTERS)))
    assert fleet.violations == []


def test_units_of_a_killed_router_are_granted_to_others(fleet: Fleet) -> None:
    held = {n: int(health_report(fleet.cluster, n)["rows"][0][3]) for n in range(1, ROUTERS)}
    number = max(held, key=lambda n: held[n])
    fleet.cluster.routers[number].stop(signal.SIGKILL)
    rest = [n for n in range(ROUTERS) if n != number]
    wait_for(lambda: fleet.ledger_row()[4:5] == ["0"] and fleet.divided_among(rest)())
    fleet.cluster.routers[number].start()
    wait_for(fleet.divided_among(range(ROUTERS)))
    assert fleet.violations == []


def test_router_suspended_for_longer_than_its_lease_stays_within_the_total(fleet: Fleet) -> None:
    router = fleet.cluster.routers[2]
    router.send_signal(signal.SIGSTOP)  # while it sends requests: eight callers wait at any time
    gevent.sleep(3.5)  # the duration of the fault, longer than the lease
    router.send_signal(signal.SIGCONT)
    wait_for(fleet.divided_among(range(ROUTERS)))
    assert fleet.violations == []


@pytest.mark.parametrize("parts", [((0,), (1, 2, 3)), ((0, 1), (2, 3))])
def test_partition_with_demand_on_both_sides_stays_within_the_total(parts: Any, fleet: Fleet) -> None:
    fleet.network.partition(*parts)
    try:
        check_partitioned(fleet, parts)
    finally:
        fleet.network.partition()  # heals the network also for the tests that follow
    wait_for(fleet.divided_among(range(ROUTERS)))
    assert fleet.violations == []


def check_partitioned(fleet: Fleet, parts: Any) -> None:
    """Checks that a majority goes on to divide the total, and that without one existing leases are used."""
    majority = [part for part in parts if 2 * len(part) > ROUTERS]
    if majority:
        wait_for(lambda: any(health_report(fleet.cluster, n).get("divides") == "yes" for n in majority[0]))
        wait_for(fleet.divided_among(majority[0]))
        return
    answered_before: list[int] = []

    def nobody_grants() -> bool:
        # Counted before the routers are queried: the leases then last for less than a second, and on a busy
        # machine the routers may answer only after they have expired.
        answered_before.append(fleet.outcomes.get("answered", 0))
        return all(health_report(fleet.cluster, n).get("divider") == "-1" for n in range(ROUTERS))

    wait_for(nobody_grants)
    # Requests are still answered on the leases that remain.
    wait_for(lambda: fleet.outcomes.get("answered", 0) > answered_before[-1] + 20)


def test_rolling_restart_under_full_load_stays_within_the_total(fleet: Fleet) -> None:
    for number, router in enumerate(fleet.cluster.routers):
        assert router.stop() == 0
        router.start()
        wait_for(lambda number=number: health_report(fleet.cluster, number).get("divider", "-1") != "-1")  # type: ignore[misc]
    wait_for(fleet.divided_among(range(ROUTERS)))
    assert fleet.violations == [] and fleet.outcomes.get("error", 0) == 0


def test_total_halved_by_a_reload_applies_once_earlier_requests_have_ended(fleet: Fleet) -> None:
    for router in fleet.cluster.routers:
        router.operator.write_text(PEERS + BUDGETS.format(2, TOTAL // 2))
        router.send_signal(signal.SIGHUP)
        # A smaller total applies once one router reports it.
        wait_for(lambda: fleet.ledger_row()[:1] == [str(TOTAL // 2)])
    wait_for(fleet.divided_among(range(ROUTERS), TOTAL // 2))
    settled_at = time.monotonic() + 0.2  # readings of the engines from before have been handled by then
    wait_for(lambda: time.monotonic() > settled_at)
    fleet.limit = TOTAL // 2
    wait_for(lambda: fleet.max_in_flight >= TOTAL // 2 - 1)
    assert fleet.violations == []
    for router in fleet.cluster.routers:
        router.operator.write_text(PEERS + BUDGETS.format(3, TOTAL))
    fleet.cluster.routers[0].send_signal(signal.SIGHUP)
    wait_for(lambda: "budgets disagree" in "".join(router.read_log() for router in fleet.cluster.routers))
    assert fleet.violations == []  # only one router knows the larger total
    fleet.limit = TOTAL
    for router in fleet.cluster.routers[1:]:
        router.send_signal(signal.SIGHUP)
    wait_for(fleet.divided_among(range(ROUTERS)))
    assert fleet.violations == [] and all(
        '"event": "failed"' not in router.read_log() for router in fleet.cluster.routers
    )
