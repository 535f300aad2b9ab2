"""Repeated kills of a router while it stores and serves spooled results; counts results lost or wrong."""

from __future__ import annotations

import random
import signal

import gevent
from gevent import Timeout

from marbleworks.lab.fleet import result_of
from marbleworks.lab.stage import TENANTS, LabCluster
from marbleworks.lab.standins import RpcClient

WRITERS = 3  # concurrent clients
SPOOL = """
(background (bytes 100 MB/s))
(spool (folder "FOLDER") (room 200 MB) (segment 1 MB) (checkpoint 200 ms) (keep 5 min) (hand-over 2 s))
"""


class SpooledResult:
    """A spooled result as its client knows it.

    Attributes:
        ref: Id of the request.
        size: Size of the result in bytes.
        tenant: The client's tenant.
        token: Token of the result.
        pages: Number of pages.
    """

    def __init__(self, ref: str, size: int, tenant: str, reply_fields: dict[str, str]) -> None:
        self.ref, self.size, self.tenant, self.token, self.pages = (
            ref,
            size,
            tenant,
            reply_fields["spool"],
            int(reply_fields["pages"]),
        )

    def read(self, client: RpcClient) -> tuple[bytes | None, str]:
        """Returns the whole result and an empty string, or None and the reason why it could not be read."""
        data = bytearray()
        for page in range(1, self.pages + 1):
            client.last_message_number += 1
            client.send(
                0,
                client.last_message_number,
                "page",
                [{"spool": self.token, "page": str(page), "tenant": self.tenant}],
            )
            reply = client.receive()
            if reply is None or reply[2]:
                return None, str(reply)
            data += reply[3][0]
        return bytes(data), ""

    def matches(self, data: bytes) -> bool:
        """Returns whether the data is what the engine produced."""
        return data == result_of(self.ref, self.size)


def rounds(count: int, seed: int) -> dict[str, int]:
    """Kills and restarts a router repeatedly under load.

    Args:
        count: Number of kills.
        seed: Seed of the load and of the times of the kills.

    Returns:
        Numbers of results answered, lost, wrong and released, and of router starts.
    """
    rng, results = random.Random(seed), list[SpooledResult]()
    figures = {"answered": 0, "lost": 0, "wrong": 0, "started": 0, "released": 0}

    def write(cluster: LabCluster) -> None:
        try:
            client = RpcClient(cluster.router.address)
            while True:
                ref, size = f"{rng.getrandbits(64):016x}", rng.randrange(7_000, 400_000)
                tenant = rng.choice(TENANTS)
                text = f"select 1 /* work=5 size={size} */"
                client.send_request("market-report", text, ref=ref, tenant=tenant, wait="5000", spool="1")
                reply = client.receive()
                if reply is not None and reply[2] is None:
                    results.append(SpooledResult(ref, size, tenant, reply[3][1]))
                    figures["answered"] += 1
                if reply is not None and rng.random() < 0.3 and results:
                    released = results.pop(rng.randrange(len(results)))
                    client.last_message_number += 1
                    client.send(
                        0,
                        client.last_message_number,
                        "release",
                        [{"spool": released.token, "tenant": released.tenant}],
                    )
                    client.receive()
                    figures["released"] += 1
        except (OSError, TypeError, Timeout, AttributeError):
            return  # the router has been killed

    with LabCluster(engines=2, operator=SPOOL) as cluster:
        for _ in range(count):
            writers = [gevent.spawn(write, cluster) for _ in range(WRITERS)]
            gevent.sleep(0.05 + 0.35 * rng.random())
            cluster.router.stop(signal.SIGKILL)
            gevent.joinall(writers, timeout=6)
            cluster.router.start()
            figures["started"] += 1
            client = RpcClient(cluster.router.address)
            for result in results:
                data, reason = result.read(client)
                if data is None:
                    figures["lost"] += 1
                elif not result.matches(data):
                    figures["wrong"] += 1
            while len(results) > 40:
                results.pop(0)
    return figures
