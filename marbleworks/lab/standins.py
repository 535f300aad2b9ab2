"""Stand-ins on sockets, written from the protocol: a SQL engine, a client, the directory and a configuration.

They follow instructions and record what they receive. They make no decisions, and the router never imports
them.
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


def http_response(status: int, body: bytes = b"", **fields: object) -> bytes:
    """Returns an HTTP response; underscores in the names of header fields become hyphens."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} Said\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


Reply = Callable[[str, dict[str, str], bytes], bytes | None]


class SqlEngine:
    """An engine that answers each call with a given function.

    Attributes:
        reply: Returns the response to a call. None sends nothing, and b"" closes the connection.
        calls: Verb and path, header fields and body of each call.
        sock: The listener.
        address: Address of the listener.
        connections: Number of connections accepted.
    """

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
            spawn(self._serve_connection, sock)

    def _serve_connection(self, sock: Any) -> None:
        with sock, sock.makefile("rb") as lines:
            while first := lines.readline():
                fields = {}
                while (line := lines.readline().decode().strip()) != "":
                    name, _, value = line.partition(": ")
                    fields[name] = value
                body = lines.read(int(fields.get("Content-Length", 0)))
                call = first.decode().rpartition(" ")[0]
                self.calls.append((call, fields, body))
                response = self.reply(call, fields, body)
                if response == b"":
                    return
                if response is not None:
                    sock.sendall(response)

    def calls_of(self, verb: str) -> list[str]:
        """Returns verb and path of the calls with a verb."""
        return [call for call, _, _ in self.calls if call.startswith(verb)]


class RpcClient:
    """A client of the router.

    Attributes:
        sock: The connection.
        unpacker: Decoder of received data.
        last_message_number: Number of the last message sent by `send_request`.
    """

    def __init__(self, address: tuple[str, int], source: str = "") -> None:
        self.sock = socket.create_connection(
            address, timeout=5, source_address=(source, 0) if source else None
        )
        self.unpacker, self.last_message_number = msgpack.Unpacker(), 0

    def send(self, *message: Any) -> None:
        """Sends a message."""
        self.sock.sendall(msgpack.packb(list(message)))

    def send_request(self, method: str, text: str = "select 1", ref: str = "", **fields: str) -> int:
        """Sends a request.

        Args:
            method: Request class.
            text: The statement.
            ref: Id of the request; derived from the message number if empty.
            **fields: Further fields of the request.

        Returns:
            The message number.
        """
        self.last_message_number += 1
        header = {
            "id": ref or f"{self.last_message_number:016x}",
            "wait": "3000",
            "tenant": "acme",
            "cost": "50",
            "need_mb": "9",
        }
        self.send(0, self.last_message_number, method, [header | fields, text.encode()])
        return self.last_message_number

    def receive(self, wait: float = 5.0) -> Any:
        """Returns the next message, or None if the router has closed the connection.

        Raises:
            Timeout: No message came within `wait` seconds.
        """
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
    """Returns the directory's response to a query.

    Args:
        question: The query.
        serial: Version of the list.
        engines: Address of each engine, keyed by name.
        cut: Whether the response is marked as truncated.
        started: Start time of the engines as it is published.
    """
    query = dns.message.from_wire(question)
    response = dns.message.make_response(query)
    name = query.question[0].name
    for engine, (host, port) in engines.items():
        target = f"{engine}.hall-a.hosts."
        response.answer.append(dns.rrset.from_text(name, 1, "IN", "SRV", f"0 40 {port} {target}"))
        response.additional.append(dns.rrset.from_text(target, 1, "IN", "A", host))
        response.additional.append(
            dns.rrset.from_text(target, 1, "IN", "TXT", f'"kind=std" "cell=2" "started={started}"')
        )
    response.authority.append(dns.rrset.from_text(name, 1, "IN", "SOA", f"a. b. {serial} 1 1 1 1"))
    response.flags |= dns.flags.TC if cut else 0
    return response.to_wire()


def router_configuration(
    listen: int,
    peer: int,
    nameserver: tuple[str, int],
    engines: dict[str, tuple[str, int]],
    settings: dict[str, Any],
    sockets: int = 256,
    group: tuple[list[tuple[str, int]], tuple[str, int]] | None = None,
) -> str:
    """Returns the text of a router's configuration.

    Args:
        listen: Port for clients.
        peer: Port for datagrams of peers.
        nameserver: Address of the directory.
        engines: Address of each engine, keyed by name.
        settings: The settings.
        sockets: Most sockets that the router may have open.
        group: Addresses of all peers, and the address that reaches all of them. By default the router is its
            only peer.
    """
    peers, broadcast_address = group or ([(HOST, peer)], (HOST, peer))
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
            "peers_all": f"{broadcast_address[0]}:{broadcast_address[1]}",
            "nameserver": f"{nameserver[0]}:{nameserver[1]}",
            "settings": settings,
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": pool}]},
        }
    )
