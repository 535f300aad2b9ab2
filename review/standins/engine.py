"""A SQL engine on a loopback socket, which follows the protocol page.

Each statement says in a comment how long it runs, as in `-- 400 ms`, and how many pages its result has, as in
`-- 400 ms 2 pages`. Its effect is applied when it has run to its end. Engines of one `EffectGroup` recognize
the key of a request that one of them has run and apply it once.
"""

from __future__ import annotations

import asyncio
import re
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from standins.record import Record

HOST = "127.0.0.1"
POLL_WAIT_S = 0.25  # the news of a running query are sent after this time
UNPOLLED_LIFETIME_S = 2.0  # a query that is not asked for ends after this time
LISTEN_BACKLOG = 128
_SCRIPT = re.compile(rb"-- (\d+) ms(?: (\d+) pages)?")
_REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 500: "Error", 503: "Full", 504: "Over"}


@dataclass
class EffectGroup:
    """The engines that share which keys they have seen.

    Attributes:
        name: Name of the zone or the cell that they form.
        window_s: Seconds for which they recognize a key.
        applied_at: Unix time in seconds at which the effect of each request was applied, by request id.
    """

    name: str
    window_s: float
    applied_at: dict[str, float] = field(default_factory=dict)

    def recognizes(self, request_id: str) -> bool:
        """Whether the effect of a request was applied within the window."""
        return time.time() < self.applied_at.get(request_id, float("-inf")) + self.window_s


@dataclass(frozen=True)
class HttpCall:
    """One call from a router."""

    method: str
    path: str
    fields: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class HttpReply:
    """The engine's answer to one call."""

    status: int
    body: bytes = b""
    fields: tuple[tuple[str, str], ...] = ()

    def encode(self) -> bytes:
        """Returns the bytes of the answer."""
        lines = [f"HTTP/1.1 {self.status} {_REASONS[self.status]}"]
        lines += [f"{name}: {value}" for name, value in self.fields]
        if self.status != 204:
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


@dataclass(eq=False)
class Query:
    """A query that the engine has accepted.

    Attributes:
        request_id: The client's id.
        class_name: The class of the request.
        work_s: Seconds that it runs.
        pages: The result.
        asked_at: Unix time in seconds of the last call for it.
        ended: Set when it has run, has failed or was given up.
        succeeded: Whether it has run to its end.
    """

    request_id: str
    class_name: str
    work_s: float
    pages: list[bytes]
    asked_at: float
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    succeeded: bool = False


class Engine:
    """One engine: its listening socket, its connections and its queries.

    Attributes:
        name: Id of the engine in the engine list.
        zone: Its zone.
        cell: Number of its cell.
        address: Host and port.
        reachable: Cleared while the engine's machine is cut off from the router: open connections stay open
            and silent, and new ones never come up.
        running: Cleared while the engine's process stands still.
        work_scale: Factor on the time that each statement takes.
        accepts_queries: Whether new queries are accepted; else they are refused as never run.
        copy_delay_s: Returns after how many seconds a second copy of an answer follows; None for no copy.
    """

    def __init__(self, name: str, zone: str, cell: int, group: EffectGroup, record: Record) -> None:
        self.name = name
        self.zone = zone
        self.cell = cell
        self.group = group
        self.record = record
        self.queries: dict[str, Query] = {}
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.running = asyncio.Event()
        self.running.set()
        self.work_scale = 1.0
        self.accepts_queries = True
        self.copy_delay_s: Callable[[HttpReply], float | None] = lambda reply: None
        self.tasks: set[asyncio.Task[None]] = set()
        self.open_sockets: set[socket.socket] = set()
        self.fillers: list[socket.socket] = []
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((HOST, 0))
        self.address: tuple[str, int] = self.sock.getsockname()
        self.accept_task: asyncio.Task[None] | None = None

    # Life of the process and of its machine.

    def start(self) -> None:
        """Begins to accept connections."""
        self.sock.listen(LISTEN_BACKLOG)
        self.sock.setblocking(False)
        self.accept_task = asyncio.get_running_loop().create_task(self._accept())

    def cut_off(self) -> None:
        """Cuts the machine off: what is sent to it and by it does not arrive before `reconnect`."""
        self.record.add(self.name, "cut-off")
        self.reachable.clear()
        if self.accept_task is not None:
            self.accept_task.cancel()
        self.sock.listen(0)  # with a full queue, the host answers no further connection request
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def reconnect(self) -> None:
        """Ends a cut; what was sent meanwhile arrives now."""
        self.record.add(self.name, "reconnected")
        while self.fillers:
            self.fillers.pop().close()
        self.reachable.set()
        self.start()

    def stand_still(self) -> None:
        """Stops the process: it neither works nor answers before `go_on`."""
        self.record.add(self.name, "stands-still")
        self.running.clear()

    def go_on(self) -> None:
        """Continues the process."""
        self.record.add(self.name, "goes-on")
        self.running.set()

    def close(self) -> None:
        """Ends the process; its connections are reset."""
        for task in [*self.tasks, *([self.accept_task] if self.accept_task else [])]:
            task.cancel()
        for sock in self.open_sockets:
            sock.close()
        while self.fillers:
            self.fillers.pop().close()
        self.sock.close()

    # Connections.

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._keep(loop.create_task(self._serve(sock)))

    async def _serve(self, sock: socket.socket) -> None:
        self.open_sockets.add(sock)
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                while (call := await _read_call(reader)) is not None:
                    await self._available()
                    reply = await self._answer(call)
                    await self._available()
                    writer.write(reply.encode())
                    await writer.drain()
                    delay_s = self.copy_delay_s(reply)
                    if delay_s is not None:
                        request_id = call.fields.get("x-hop-id") or call.path.split("/")[2]
                        self._keep(asyncio.create_task(self._send_copy(writer, request_id, reply, delay_s)))
        finally:
            self.open_sockets.discard(sock)
            writer.close()

    async def _send_copy(
        self, writer: asyncio.StreamWriter, request_id: str, reply: HttpReply, delay_s: float
    ) -> None:
        """Sends an answer a second time, if the connection is still open by then."""
        await asyncio.sleep(delay_s)
        if not writer.is_closing():
            self.record.add(self.name, "second-copy", request_id)
            writer.write(reply.encode())

    def _keep(self, task: asyncio.Task[None]) -> None:
        """Keeps a reference to a task until it ends."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _available(self) -> None:
        """Waits until the machine can be reached and the process runs."""
        while not (self.reachable.is_set() and self.running.is_set()):
            await self.reachable.wait()
            await self.running.wait()

    # Calls.

    async def _answer(self, call: HttpCall) -> HttpReply:
        if call.method == "POST":
            return await self._start_query(call)
        _, _, request_id, *page = call.path.split("/")
        if call.method == "DELETE":
            return self._delete(request_id)
        query = self.queries.get(request_id)
        if query is None:
            self.record.add(self.name, "asked-unknown", request_id)
            return HttpReply(500)
        query.asked_at = time.time()
        if page[0] == "0":
            return await self._news(query)
        return self._page(query, int(page[0]))

    async def _start_query(self, call: HttpCall) -> HttpReply:
        request_id = call.fields["x-hop-id"]
        class_name = call.fields["x-sort"]
        statement = call.body
        text = statement.decode("utf-8", "replace")
        self.record.add(self.name, "received", request_id, f"{class_name} {self.zone} {text}")
        if not self.accepts_queries:
            self.record.add(self.name, "refused", request_id)
            return HttpReply(503, fields=(("X-No-Effect", "1"),))
        script = _SCRIPT.search(statement)
        work_s = int(script[1]) / 1000.0 if script else 0.0
        page_count = int(script[2] or 1) if script else 1
        pages = [f"{request_id}\t{number}\t{self.name}\n".encode() for number in range(page_count)]
        query = Query(request_id, class_name, work_s, pages, time.time())
        self.queries[request_id] = query
        self._keep(asyncio.create_task(self._run(query, int(call.fields["x-budget"]) / 1000.0)))
        return await self._news(query)

    async def _run(self, query: Query, budget_s: float) -> None:
        """Runs a query, unless it is given up or not asked for; standing still takes no part of its work."""
        ends_at = time.time() + budget_s
        remaining_s = query.work_s * self.work_scale
        repeated = self.group.recognizes(query.request_id)
        while remaining_s > 0 and not repeated and not query.ended.is_set():
            step_s = min(remaining_s, 0.02)
            await asyncio.sleep(step_s)
            await self.running.wait()
            remaining_s -= step_s
            if time.time() > min(query.asked_at + UNPOLLED_LIFETIME_S, ends_at):
                self.record.add(self.name, "abandoned", query.request_id)
                query.ended.set()
        if query.ended.is_set():
            return
        query.succeeded = True
        if self.group.recognizes(query.request_id):
            self.record.add(self.name, "repeat-dropped", query.request_id)
        else:
            self.group.applied_at[query.request_id] = time.time()
            self.record.add(self.name, "applied", query.request_id, f"{query.class_name} {self.group.name}")
        query.ended.set()

    async def _news(self, query: Query) -> HttpReply:
        with suppress(TimeoutError):
            await asyncio.wait_for(query.ended.wait(), POLL_WAIT_S)
        if not query.ended.is_set():
            return HttpReply(202)
        if not query.succeeded:
            return HttpReply(500)
        self.record.add(self.name, "answered", query.request_id)
        usage = (("X-Toil", f"{query.work_s * 1000:.0f}"), ("X-Room", "10"))
        return HttpReply(200, query.pages[0], (("X-Sheets", str(len(query.pages))), *usage))

    def _page(self, query: Query, number: int) -> HttpReply:
        if not query.succeeded or number >= len(query.pages):
            return HttpReply(500)
        return HttpReply(200, query.pages[number], (("X-Sheet", str(number)),))

    def _delete(self, request_id: str) -> HttpReply:
        query = self.queries.get(request_id)
        self.record.add(self.name, "deleted", request_id, "" if query is not None else "unknown")
        if query is not None and not query.ended.is_set():
            query.ended.set()
        return HttpReply(204)


async def _read_call(reader: asyncio.StreamReader) -> HttpCall | None:
    """Reads one call; returns None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n") if not reader.at_eof() else b""
    if not head:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    fields = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return HttpCall(method, path, fields, body)
