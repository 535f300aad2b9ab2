"""The front: the listener, and an actor for each client's connection, which speaks MessagePack-RPC.

A client's actor owns its connection and the numbers of its open calls. It must never answer a call twice, end
a connection on which a call is open unless the other side broke the protocol, or pass on what it cannot read.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import gevent
import msgpack
from gevent import socket
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from marbleworks.net.actor import LOG, TURN, Actor, clock, spawn
from marbleworks.net.dispatcher import Dispatcher
from marbleworks.net.messages import OpenRequest
from marbleworks.net.statement_parser import table_group
from marbleworks.net.stream import Ended, Reason, Stream
from marbleworks.ports import ResultStore
from marbleworks.settings import Settings

ANSWER = 1  # the kind of message that is ours; 0 is a call and 2 a notice
MOST_OPEN = 32  # calls on a connection, by the protocol
MOST_PAGES = 4  # and of these that ask for a page: each holds one in memory
MOST_TOKEN = 64  # characters
MOST_MESSAGE = 1 << 16  # bytes
MOST_PARTS = 64  # of an array or a map
WHOLE_WITHIN = 2.0  # seconds for a first message, or for the rest of one; by the service page 3 are too long
MOST_WRITE = 1.0  # seconds
ID = re.compile(r"[0-9a-f]{16}")
COUNT = re.compile(r"[1-9]\d{0,8}", re.ASCII)
GIVEN_LOOK = 0.5  # seconds between looks at whether a client that is given a page is still there
FIGURE = re.compile(r"\d{1,15}(?:\.\d{1,15})?", re.ASCII)


BOUNDS: dict[str, Any] = {  # so that no message takes memory out of proportion to its bytes
    "max_buffer_size": MOST_MESSAGE,
    "max_str_len": MOST_MESSAGE,
    "max_bin_len": MOST_MESSAGE,
    "max_array_len": MOST_PARTS,
    "max_map_len": MOST_PARTS,
    "max_ext_len": 0,
}
PAGE = "page"  # in place of a command's id, which is hexadecimal
LINGER = 0.25  # seconds in which what a client still says is read by nobody, before its connection ends
MOST_LINGER = 1 << 18  # and bytes
SPEAKS_WITHIN = 0.25  # seconds that a new connection is given where others may be ended for the next
ROOM_EVERY = 0.05  # seconds between looks for a connection that may be ended for a new one
OURS = (Reason.SILENT, Reason.MALFORMED, Reason.TOO_LONG)  # ends of a connection that the other side keeps


@dataclass(eq=False)
class PendingCall:
    """An open call. It keeps its place until it is answered or, given up, until the desk has heard that."""

    ref: str  # of the command, or PAGE
    deadline: float
    command: OpenRequest | None = None
    given_up: bool = False  # nothing is owed for it


class InvalidCallError(Exception):
    """A call that gets an error for its answer."""


class ClientListener:
    def __init__(
        self, address: tuple[str, int], desk: Dispatcher, deployment: Settings, share: BoundedSemaphore
    ) -> None:
        self.desk, self.deployment, self.share = desk, deployment, share
        self.healthy = True
        self.shelf: ResultStore | None = None  # where results are kept, if anywhere
        self.about: Callable[[str], dict[str, Any]] | None = None  # what `health` may be asked besides
        self.clients: dict[ClientSession, None] = {}  # in the order in which they came
        self.entering: Any = None  # accepted, and without a place yet: one at most
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(socket.SOMAXCONN)
        self.accepting = spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                self._admit()
            except OSError as err:
                LOG.warning("not accepted", error=str(err))
                gevent.sleep(ROOM_EVERY)  # descriptors or memory of the machine are short

    def _admit(self, until: float = math.inf) -> None:
        """One that comes; while there is no place for it, the next ones wait in the machine's queue."""
        if self.entering is None:
            self.entering = self.sock.accept()
        while not self.share.acquire(blocking=False):
            if clock() >= until:
                raise BlockingIOError
            if not self._make_room():
                gevent.sleep(ROOM_EVERY)  # by then one may have come to rest
        (sock, (host, port)), self.entering = self.entering, None
        try:
            stream = Stream(sock, "client", f"{host}:{port}", MOST_MESSAGE, self.share.release)
        except BaseException:
            self.share.release()
            sock.close()
            raise
        ClientSession(self, stream)
        gevent.sleep(0)  # it is heard before the next one is let in

    def _make_room(self) -> bool:
        """Guards against connections kept for nothing: one that never said anything goes, or else the longest
        idle. What has just come is given time to speak, and what has spoken is read."""
        old = clock() - SPEAKS_WITHIN
        unused = [client for client in self.clients if client.unused()]  # in the order in which they came
        silent = (client for client in unused if not client.spoke_at and client.stream.began <= old)
        client = next(silent, None)
        if client is None and unused:
            client = min(unused, key=lambda client: client.spoke_at or client.stream.began)
        if client is not None and client.stream.more() is None:
            client.stream.end(Reason.NO_ROOM)
            return True
        return False

    def stop_accepting(self, until: float) -> None:
        """Takes in all that the machine has accepted, and has whoever comes later be refused."""
        self.accepting.kill()
        self.sock.settimeout(0.0)
        while clock() < until:
            try:
                self._admit(until)
            except BlockingIOError:  # nothing is left there, and from here to the close nothing else runs
                break
            except OSError as err:
                LOG.warning("not accepted", error=str(err))
                gevent.sleep(ROOM_EVERY)
        self.sock.close()

    def part_resting(self) -> bool:
        """Ends in good order the connections on which nothing is open; True once none is left."""
        for client in [client for client in self.clients if client.resting()]:
            client.part(Reason.STOPPING)
        return not self.clients

    def close(self) -> None:
        for client in list(self.clients):
            client.stream.end(Reason.STOPPING)


class ClientSession(Actor):
    def __init__(self, front: ClientListener, stream: Stream) -> None:
        super().__init__()
        self.front, self.desk, self.deployment, self.stream = front, front.desk, front.deployment, stream
        self.calls: dict[int, PendingCall] = {}  # open ones, by the client's number for them
        self.spoke_at, self.told = (0.0, False)  # a whole message last came then; whether one was sent
        self.writing = False
        self.parting: Reason | None = None  # from then on what comes is read by nobody
        front.clients[self] = None
        spawn(self._read)

    # What the desk asks.

    def answer(self, call: int, result: bytes, told: dict[str, str]) -> None:
        self._finish(call, None, [result, told])

    def shed(self, call: int, come_back: float) -> None:
        after = {"after": str(round(come_back * 1000))} if come_back else {}
        self._finish(call, ["Rejected", after], None)

    def fail(self, call: int, why: str) -> None:
        self._finish(call, _failed(why), None)

    def give_page(self, call: int, rows: bytes, told: dict[str, str], given: Event, patience: float) -> None:
        asked = self.calls.get(call)
        if asked is not None and not asked.given_up:
            self._write([ANSWER, call, None, [rows, told]], clock() + patience)
        self.calls.pop(call, None)
        given.set()

    def _finish(self, call: int, error: list[Any] | None, result: list[Any] | None) -> None:
        asked = self.calls.get(call)
        if asked is not None and not asked.given_up:
            self._write([ANSWER, call, error, result], asked.deadline)
        if asked is not None and (asked.command is None or not asked.given_up):
            self.calls.pop(call, None)  # the reader may have ended while it was written

    def forget(self, command: OpenRequest) -> None:
        """The desk has heard that it was given up. Its number may be another's by now."""
        asked = self.calls.get(command.call_id)
        if asked is not None and asked.command is command:
            del self.calls[command.call_id]

    def _write(self, message: list[Any], until: float) -> None:
        """A client that does not read holds up no answer but its own."""
        self.told = self.writing = True
        try:
            self.stream.write(msgpack.packb(message), max(until, clock() + MOST_WRITE))
        except Ended as err:
            self.stream.end(err.reason)
        finally:
            self.writing = False

    # Its end.

    def unused(self) -> bool:
        """Whether nothing is open or being written; something may still be read."""
        return self.parting is None and not (self.calls or self.writing or self.mailbox.qsize())

    def resting(self) -> bool:
        return self.unused() and not self.stream.last and self.stream.more() is None

    def part(self, reason: Reason) -> None:
        """Ends it in good order. Guards against a close that destroys what was just written: bytes that come
        later would reset the connection, and are read by nobody until the other side ends it, or for a
        moment."""
        self.parting = reason
        self.stream.shut()
        gevent.spawn_later(LINGER, self.stream.end, reason)

    def _linger(self, reason: Reason) -> None:
        """The reader's part of that."""
        most = MOST_LINGER
        with suppress(Ended):
            while most > 0:
                most -= self.stream.last - self.stream.first
                self.stream.read(self.stream.last - self.stream.first)
                self.stream.fill(clock() + MOST_WRITE)  # by when all is written and `part` has its turn
                gevent.sleep(0)
        self.stream.end(reason)

    # What the client says.

    def _read(self) -> None:
        reason, since = Reason.FAULT, self.stream.began  # since: a message or a first answer is due, else 0
        try:
            while self.parting is None:
                try:
                    self.stream.fill(since + WHOLE_WITHIN if since else None)
                except Ended as err:
                    if err.reason is not Reason.SILENT or self.stream.last or not (self.calls or self.told):
                        raise
                    since = 0.0 if self.told else clock()  # it waits for its first answer
                    continue
                if self.parting is not None:
                    break
                for message in self._messages():
                    self.spoke_at, since = clock(), 0.0
                    self._hear(message)
                    del message
                    self._hold_back()
                if not since and (self.stream.last or not self.told):
                    since = clock()
                gevent.sleep(0)  # and keeps no other client from being heard
        except Ended as err:
            reason = err.reason
        finally:
            if reason is Reason.CLOSED and self.calls:
                reason = Reason.BROKEN
            for call in list(self.calls):
                self._left(call)
            self.calls.clear()
            if self.parting is None and reason in OURS and (self.told or self.mailbox.qsize()):
                self.parting = reason
                self.post(self.part, reason)  # behind what is still to be written
            if self.parting is not None:
                self._linger(self.parting)
            self.stream.end(reason)
            self.front.clients.pop(self, None)
            self.post(self.finish)

    def _hold_back(self) -> None:
        """One that sends at full speed waits until its errors are written and its cancels heard. That it has
        gone is heard all the same."""
        while self.mailbox.qsize() > MOST_OPEN or len(self.calls) > 2 * MOST_OPEN:
            if self.stream.full:
                gevent.sleep(TURN)
                continue
            try:
                self.stream.fill(clock() + TURN)
            except Ended as err:
                if err.reason is not Reason.SILENT:
                    raise

    def _messages(self) -> Iterator[Any]:
        """All that have come whole; the rest stays in the buffer."""
        unpacker, used, fills = msgpack.Unpacker(**BOUNDS), 0, -1
        while fills != self.stream.fills:  # while one was heard, more may have come
            self.stream.read(used)
            unpacker, used, fills = msgpack.Unpacker(**BOUNDS), 0, self.stream.fills
            with self.stream.unread() as view:
                unpacker.feed(view)
            for message in self._unpacked(unpacker):
                used = unpacker.tell()
                yield message
        self.stream.read(used)

    def _unpacked(self, unpacker: Any) -> Iterator[Any]:
        while True:
            try:
                message = unpacker.unpack()
            except msgpack.OutOfData:
                return
            except (ValueError, TypeError, msgpack.UnpackException, RecursionError):
                raise Ended(Reason.MALFORMED) from None
            yield message

    def _say(self, message: list[Any]) -> None:
        """By way of the mailbox: two greenlets that write at once would mix their bytes."""
        self.post(self._write, message, 0.0)

    def _hear(self, message: Any) -> None:
        match message:
            case [0, int(call), str(method), [dict(fields), *body]] if call not in self.calls:  # type: ignore[has-type]
                try:
                    self._call(call, method, fields, body)
                except InvalidCallError as err:
                    self._say([ANSWER, call, ["Invalid", {"why": str(err)}], None])
            case [2, "cancel", [int() as given_up]]:
                self._left(given_up)
            case [2, str(), list()]:
                pass  # a notice that we don't know asks for no answer
            case _:
                raise Ended(Reason.MALFORMED)

    def _left(self, call: int) -> None:
        """Nothing is owed for it any longer."""
        asked = self.calls.get(call)
        if asked is not None and not asked.given_up:
            asked.given_up = True
            if asked.command is not None:
                asked.command.client_gone = True
                self.desk.post(self.desk.on_client_disconnect, asked.command)

    def _call(self, call: int, method: str, fields: dict[Any, Any], body: list[Any]) -> None:
        if method == "health":
            what, about = fields.get("about"), self.front.about
            told = about(what) if about is not None and isinstance(what, str) else {}
            self._say([ANSWER, call, None, [self.front.healthy, told]])
        elif method in ("page", "release") and self.front.shelf is not None:
            self._kept(self.front.shelf, call, method, fields)
        else:
            self._take(call, method, fields, body)

    def _take(self, call: int, method: str, fields: dict[Any, Any], body: list[Any]) -> None:
        if method not in self.deployment.class_index:
            raise InvalidCallError("unknown method")
        if sum(not asked.given_up for asked in self.calls.values()) >= MOST_OPEN:
            raise InvalidCallError("too many open calls")
        if len(body) != 1 or not isinstance(body[0], bytes):
            raise InvalidCallError("the body is not bin")
        ref = fields.get("id")
        if not isinstance(ref, str) or not ID.fullmatch(ref):
            raise InvalidCallError("id is not 16 hex digits")
        tenant = self._tenant(fields)
        now, longest = clock(), self.deployment.client_timeouts_s[self.deployment.class_index[method]]
        wait = _number(fields, "wait", 2000.0 * longest)
        fleet = self.deployment.fleet  # what none of its engines could do is no estimate
        cost = _number(fields, "cost", 1000.0 * longest * max(fleet.cores_by_kind))
        memory = _number(fields, "need_mb", max(fleet.memory_mb_by_kind))
        if wait <= 0:
            raise InvalidCallError("wait is not above 0")
        deadline = now + wait / 1000.0
        # Commands are taken by when their clients began to wait: for a retry that was before this try.
        place = deadline - longest
        group = table_group(body[0].decode("utf-8", "replace"))
        shelf = self.front.shelf if fields.get("spool") == "1" else None
        tray = shelf.tray(tenant, method, body[0]) if shelf is not None else None
        command = OpenRequest(ref, self, call, method, body[0], now, deadline, reservation=tray)
        self.calls[call] = PendingCall(ref, deadline, command)
        self.desk.post_new_work(
            place,
            self.desk.submit,
            ref,
            command,
            group,
            "",
            (cost / 1000.0, memory),
            self.deployment.tenant_index.get(tenant, -1),
        )

    def _tenant(self, fields: dict[Any, Any]) -> str:
        """Who asks; nobody in particular where the deployment has no tenants."""
        tenant = fields.get("tenant", "")
        if not self.deployment.tenant_index:
            return ""
        if not isinstance(tenant, str) or tenant not in self.deployment.tenant_index:
            raise InvalidCallError("unknown tenant")
        return tenant

    def _kept(self, shelf: ResultStore, call: int, method: str, fields: dict[Any, Any]) -> None:
        """A call for a result that is kept; no command, and no engine hears of it."""
        token, number, tenant = fields.get("spool"), fields.get("page", ""), self._tenant(fields)
        if not isinstance(token, str) or not 0 < len(token) <= MOST_TOKEN:
            raise InvalidCallError("spool is not a token")
        if method == "release":
            good = shelf.release(token, tenant)
            self._say(
                [ANSWER, call, None if good else _failed("no such result"), [b"", {}] if good else None]
            )
            return
        if not isinstance(number, str) or not COUNT.fullmatch(number):
            raise InvalidCallError("page is not a number from 1")
        if sum(asked.ref == PAGE for asked in self.calls.values()) >= MOST_PAGES:
            raise InvalidCallError("too many open calls for pages")
        self.calls[call] = PendingCall(PAGE, clock() + shelf.patience)
        spawn(self._page, shelf, call, token, tenant, int(number))

    def _page(self, shelf: ResultStore, call: int, token: str, tenant: str, number: int) -> None:
        """A greenlet of its own: the page is in hand until it has been written or the client has gone."""
        said = shelf.page(token, tenant, number)
        if isinstance(said, str):
            error = ["Rejected", {"after": "1000"}] if said == "busy" else _failed(said)
            self.post(self._finish, call, error, None)
            return
        try:
            given = Event()
            self.post(self.give_page, call, *said, given, shelf.patience)
            while not given.wait(GIVEN_LOOK) and not self.finished:
                pass
        finally:
            shelf.given()


def _failed(why: str) -> list[Any]:
    return ["Failed", {"why": why}]


def _number(fields: dict[Any, Any], name: str, most: float) -> float:
    text = fields.get(name)
    if not isinstance(text, str) or not FIGURE.fullmatch(text) or float(text) > most:
        raise InvalidCallError(f"{name} is not a number in range")
    return float(text)
