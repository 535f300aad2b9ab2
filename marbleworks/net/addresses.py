"""The form in which sockets take and give addresses."""

from __future__ import annotations

SocketAddress = tuple[str, int]  # IPv4 host and port, as `socket.connect` takes and `recvfrom` returns them
