"""Stand-ins on sockets, written from the protocol: an sql engine, a client, the directory, a configuration.

They do what they are told and keep what they saw. Nothing here decides, and the router never imports it.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import dns.flags
import dns.message
import dns.rrset
import msgpack
from gevent import Timeout, socket, spawn

HOST = "127.0.0.1"


def answer(status: int, body: bytes = b"", **fields: object) -> bytes:
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} Said\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


Reply = Callable[[str, dict[str, str], bytes], bytes | None]


class SqlEngine:
    """Answers each call by the function given; None answers nothing, b"" ends the connection."""

    def __init__(self, reply: Reply) -> None:
        self.reply, self.calls, self.sock = reply, list[tuple[str, dict[str, str], bytes]](), socket.socket()
        self.sock.bind((HOST, 0))
        self.sock.listen()
        self.address: tuple[str, int] = self.sock.getsockname()
        self.connections = 0
        spawn(self._accept)

    def _accept(self) -> None:
        while True:
            sock, _ = self.sock.accept()
            self.connections += 1
            spawn(self._talk, sock)

    def _talk(self, sock: Any) -> None:
        with sock, sock.makefile("rb") as lines:
            while first := lines.readline():
                fields = {}
                while (line := lines.readline().decode().strip()) != "":
                    name, _, value = line.partition(": ")
                    fields[name] = value
                body = lines.read(int(fields.get("Content-Length", 0)))
                call = first.decode().rpartition(" ")[0]
                self.calls.append((call, fields, body))
                said = self.reply(call, fields, body)
                if said == b"":
                    return
                if said is not None:
                    sock.sendall(said)

    def asked(self, verb: str) -> list[str]:
        return [call for call, _, _ in self.calls if call.startswith(verb)]


class RpcClient:
    def __init__(self, address: tuple[str, int], source: str = "") -> None:
        self.sock = socket.create_connection(
            address, timeout=5, source_address=(source, 0) if source else None
        )
        self.unpacker, self.last = msgpack.Unpacker(), 0

    def send(self, *message: Any) -> None:
        self.sock.sendall(msgpack.packb(list(message)))

    def ask(self, method: str, text: str = "select 1", ref: str = "", **fields: str) -> int:
        self.last += 1
        told = {
            "id": ref or f"{self.last:016x}",
            "wait": "3000",
            "tenant": "acme",
            "cost": "50",
            "need_mb": "9",
        }
        self.send(0, self.last, method, [told | fields, text.encode()])
        return self.last

    def hear(self, wait: float = 5.0) -> Any:
        """The next message; None where the router ends the connection."""
        with Timeout(wait):
            while True:
                for message in self.unpacker:
                    return message
                data = self.sock.recv(65536)
                if not data:
                    return None
                self.unpacker.feed(data)


def dns_answer(
    question: bytes, serial: int, engines: dict[str, tuple[str, int]], cut: bool = False, started: int = 5000
) -> bytes:
    asked = dns.message.from_wire(question)
    said = dns.message.make_response(asked)
    name = asked.question[0].name
    for engine, (host, port) in engines.items():
        target = f"{engine}.hall-a.hosts."
        said.answer.append(dns.rrset.from_text(name, 1, "IN", "SRV", f"0 40 {port} {target}"))
        said.additional.append(dns.rrset.from_text(target, 1, "IN", "A", host))
        said.additional.append(
            dns.rrset.from_text(target, 1, "IN", "TXT", f'"kind=std" "cell=2" "started={started}"')
        )
    said.authority.append(dns.rrset.from_text(name, 1, "IN", "SOA", f"a. b. {serial} 1 1 1 1"))
    said.flags |= dns.flags.TC if cut else 0
    return said.to_wire()


def configuration(
    listen: int,
    peer: int,
    nameserver: tuple[str, int],
    engines: dict[str, tuple[str, int]],
    settings: dict[str, Any],
    sockets: int = 256,
    group: tuple[list[tuple[str, int]], tuple[str, int]] | None = None,
) -> str:
    """A router's configuration. group: the addresses of all peers, and the one that reaches them all; without
    it, its only peer is itself."""
    peers, everyone = group or ([(HOST, peer)], (HOST, peer))
    members = [
        {
            "id": name,
            "host_port": f"{host}:{port}",
            "locality": "hall-a",
            "flavor": "std",
            "cell": 2,
            "phase": "Ready",
            "size": 4,
            "up_since_ms": 0,
        }
        for name, (host, port) in engines.items()
    ]
    pool = {"revision": 1, "complete": True, "members": members}
    return json.dumps(
        {
            "name": "n1",
            "listen": f"{HOST}:{listen}",
            "seed": "8c1f",
            "limits": {"sockets": sockets},
            "peer_listen": f"{HOST}:{peer}",
            "peers": [f"{host}:{port}" for host, port in peers],
            "peers_all": f"{everyone[0]}:{everyone[1]}",
            "nameserver": f"{nameserver[0]}:{nameserver[1]}",
            "settings": settings,
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": pool}]},
        }
    )
