"""The name server that serves the engine list, by DNS over UDP."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import dns.message
import dns.rrset
import gevent
from gevent import socket

from harness.engine import HOST, Engine

KIND = "std"


@dataclass(eq=False)
class Listing:
    """One engine of the list.

    Attributes:
        name: Its id.
        zone: Its zone.
        address: Its address; that of an engine's proxy if it has one.
        kind: The kind of its machine.
        is_draining: Whether it drains.
        started_ms: Unix milliseconds of a late start; 0 for none.
    """

    name: str
    zone: str
    address: tuple[str, int]
    kind: str = KIND
    is_draining: bool = False
    started_ms: int = 0


class Directory:
    """The engine list and the name server.

    Attributes:
        listings: The present list.
        revision: Number of the last event.
        answers: Whether queries are answered.
    """

    def __init__(self, engines: list[Engine]) -> None:
        self.listings = [Listing(engine.name, engine.zone, engine.address) for engine in engines]
        self.revision = 1
        self.answers = True
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((HOST, 0))
        self.address: tuple[str, int] = self.sock.getsockname()
        gevent.spawn(self._serve)

    def known(self) -> dict[str, Any]:
        """Returns the list for a router's configuration."""
        members = [
            {
                "id": listing.name,
                "host_port": f"{listing.address[0]}:{listing.address[1]}",
                "locality": listing.zone,
                "flavor": listing.kind,
                "cell": 0,
                "phase": "Terminating" if listing.is_draining else "Ready",
                "size": 4,
                "up_since_ms": listing.started_ms,
            }
            for listing in self.listings
        ]
        pool = {"revision": self.revision, "complete": True, "members": members}
        return {"rev": self.revision, "notices": [{"rev": self.revision, "pool": pool}]}

    def _serve(self) -> None:
        while True:
            data, sender = self.sock.recvfrom(8000)
            if self.answers:
                self.sock.sendto(self._answer(dns.message.from_wire(data)), sender)

    def _answer(self, query: dns.message.Message) -> bytes:
        response = dns.message.make_response(query)
        service = query.question[0].name
        for listing in self.listings:
            target = f"{listing.name}.{listing.zone}.hosts."
            host, port = listing.address
            priority, weight = int(listing.is_draining), 40
            text = f'"kind={listing.kind}" "cell=0" "started={listing.started_ms}"'
            response.answer.append(
                dns.rrset.from_text(service, 1, "IN", "SRV", f"{priority} {weight} {port} {target}")
            )
            response.additional.append(dns.rrset.from_text(target, 1, "IN", "A", host))
            response.additional.append(dns.rrset.from_text(target, 1, "IN", "TXT", text))
        soa = f"a. b. {self.revision} 1 1 1 1"
        response.authority.append(dns.rrset.from_text(service, 1, "IN", "SOA", soa))
        return response.to_wire()
