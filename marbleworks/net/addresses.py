"""The type of a socket address."""

from __future__ import annotations

SocketAddress = tuple[str, int]  # IPv4 host and port, as used by `socket.connect` and `socket.recvfrom`
