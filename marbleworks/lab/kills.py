"""A router killed at random moments while it takes in and gives out spooled results; what was answered is
counted."""

from __future__ import annotations

import random
import signal

import gevent
from gevent import Timeout

from marbleworks.lab.fleet import result_of
from marbleworks.lab.stage import TENANTS, Stage
from marbleworks.lab.standins import RpcClient

WRITERS = 3  # clients that ask at a time
SPOOL = """
(background (bytes 100 MB/s))
(spool (folder "FOLDER") (room 200 MB) (segment 1 MB) (checkpoint 200 ms) (keep 5 min) (hand-over 2 s))
"""


class Answered:
    """A spooled result as its client knows it."""

    def __init__(self, ref: str, size: int, tenant: str, told: dict[str, str]) -> None:
        self.ref, self.size, self.tenant, self.token, self.pages = (
            ref,
            size,
            tenant,
            told["spool"],
            int(told["pages"]),
        )

    def read(self, client: RpcClient) -> tuple[bytes | None, str]:
        """All of it, or None and why."""
        data = bytearray()
        for page in range(1, self.pages + 1):
            client.last += 1
            client.send(
                0, client.last, "page", [{"spool": self.token, "page": str(page), "tenant": self.tenant}]
            )
            said = client.hear()
            if said is None or said[2]:
                return None, str(said)
            data += said[3][0]
        return bytes(data), ""

    def right(self, data: bytes) -> bool:
        return data == result_of(self.ref, self.size)


def rounds(count: int, seed: int) -> dict[str, int]:
    """Kills the router so often; figures: answered, lost, wrong, started (how often it came back)."""
    chance, kept = random.Random(seed), list[Answered]()
    figures = {"answered": 0, "lost": 0, "wrong": 0, "started": 0, "released": 0}

    def write(stage: Stage) -> None:
        try:
            client = RpcClient(stage.router.address)
            while True:
                ref, size = f"{chance.getrandbits(64):016x}", chance.randrange(7_000, 400_000)
                tenant = chance.choice(TENANTS)
                text = f"select 1 /* work=5 size={size} */"
                client.ask("market-report", text, ref=ref, tenant=tenant, wait="5000", spool="1")
                said = client.hear()
                if said is not None and said[2] is None:
                    kept.append(Answered(ref, size, tenant, said[3][1]))
                    figures["answered"] += 1
                if said is not None and chance.random() < 0.3 and kept:
                    old = kept.pop(chance.randrange(len(kept)))
                    client.last += 1
                    client.send(0, client.last, "release", [{"spool": old.token, "tenant": old.tenant}])
                    client.hear()
                    figures["released"] += 1
        except (OSError, TypeError, Timeout, AttributeError):
            return  # the router has been killed

    with Stage(engines=2, operator=SPOOL) as stage:
        for _ in range(count):
            writers = [gevent.spawn(write, stage) for _ in range(WRITERS)]
            gevent.sleep(0.05 + 0.35 * chance.random())
            stage.router.end(signal.SIGKILL)
            gevent.joinall(writers, timeout=6)
            stage.router.start()
            figures["started"] += 1
            client = RpcClient(stage.router.address)
            for one in kept:
                data, why = one.read(client)
                if data is None:
                    figures["lost"] += 1
                elif not one.right(data):
                    figures["wrong"] += 1
            while len(kept) > 40:
                kept.pop(0)
    return figures
