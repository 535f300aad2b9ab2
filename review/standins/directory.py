"""The name server that tells the engine list, by DNS over UDP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import cast

import dns.message
import dns.rrset

from standins.engine import HOST

_TTL_S = 1


@dataclass(frozen=True)
class ListedEngine:
    """One engine in the list.

    Attributes:
        name: Id of the engine.
        zone: Its zone.
        cell: Number of its cell.
        address: Host and port.
        draining: Whether it finishes its work and takes no more.
        started_ms: Unix milliseconds of a late start, or 0.
    """

    name: str
    zone: str
    cell: int
    address: tuple[str, int]
    draining: bool = False
    started_ms: int = 0


class Directory(asyncio.DatagramProtocol):
    """A name server.

    Attributes:
        engines: The list.
        revision: Number of the last event.
        silent: Whether queries stay unanswered.
    """

    def __init__(self, engines: list[ListedEngine]) -> None:
        self.engines = engines
        self.revision = 1
        self.silent = False
        self.transport: asyncio.DatagramTransport | None = None
        self.address = (HOST, 0)

    async def start(self) -> None:
        """Begins to answer queries."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(HOST, 0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the socket that queries arrive at."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.address = transport.get_extra_info("sockname")

    def publish(self, engines: list[ListedEngine]) -> None:
        """Replaces the list, as a new event."""
        self.engines = engines
        self.revision += 1

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answers a query with the whole list."""
        if self.silent or self.transport is None:
            return
        query = dns.message.from_wire(data)
        response = dns.message.make_response(query)
        name = query.question[0].name
        services = []
        for engine in self.engines:
            host, port = engine.address
            target = f"{engine.name}.{engine.zone}.hosts."
            text = f'"kind=std" "cell={engine.cell}" "started={engine.started_ms}"'
            services.append(f"{int(engine.draining)} 40 {port} {target}")
            response.additional.append(dns.rrset.from_text(target, _TTL_S, "IN", "A", host))
            response.additional.append(dns.rrset.from_text(target, _TTL_S, "IN", "TXT", text))
        if services:
            response.answer.append(dns.rrset.from_text(name, _TTL_S, "IN", "SRV", *services))
        soa = f"ns.hosts. admin.hosts. {self.revision} 1 1 1 1"
        response.authority.append(dns.rrset.from_text(name, _TTL_S, "IN", "SOA", soa))
        self.transport.sendto(response.to_wire(max_size=8000), addr)

    def close(self) -> None:
        """Ends the name server."""
        if self.transport is not None:
            self.transport.close()


def known_list(engines: list[ListedEngine], revision: int) -> dict[str, object]:
    """Returns the engine list as the router's configuration holds it."""
    members = [
        {
            "id": engine.name,
            "host_port": f"{engine.address[0]}:{engine.address[1]}",
            "locality": engine.zone,
            "flavor": "std",
            "cell": engine.cell,
            "phase": "Terminating" if engine.draining else "Ready",
            "size": 4,
            "up_since_ms": engine.started_ms,
        }
        for engine in engines
    ]
    pool = {"revision": revision, "complete": True, "members": members}
    return {"rev": revision, "notices": [{"rev": revision, "pool": pool}]}
