"""An actor for each engine: its connections, the calls made on them, and the life of each send.

It does what the desk asks and reports how it ended, with what that proves of it. It must never choose an
engine, send a command again, or promise that something did not run when it may have.
"""

from __future__ import annotations

import math
import re
import zlib
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING, Any

import gevent
import httptools
from gevent.event import AsyncResult
from gevent.lock import BoundedSemaphore

from marbleworks.model import AttemptOutcome, LoadReport
from marbleworks.net.actor import LOG, Actor, clock, spawn
from marbleworks.net.messages import AttemptCall, AttemptResult
from marbleworks.net.stream import CloseReason, Stream, StreamClosedError, connect
from marbleworks.ports import ResultNotStoredError, ResultWriter
from marbleworks.settings import Settings

if TYPE_CHECKING:
    from marbleworks.net.dispatcher import Dispatcher

MOST_RESULT = 48_000  # bytes of a whole result, by the protocol
MOST_PAGE = 6_000  # and of a page
MOST_ANSWER = 1 << 14  # bytes of one HTTP answer with its head ...
CHUNK = 5  # ... and more for each byte of its page, which may be a chunk by itself
LATE = 0.05  # seconds that a time limit is longer on sockets, by the protocol ...
NEWS_WITHIN = 0.25 + LATE  # ... and in which news is told, if only that there is none
FORGOTTEN = 2.0  # seconds after which a query that nobody asks for ends, by the protocol
TRIES = 6  # at one answer, each on another connection, while spoilt ones come at once
COUNT = re.compile(r"[1-9][0-9]{0,4}")
MOMENT = 0.001  # seconds, the least that an engine may be given
CONTROL = re.compile(rb"[\x00-\x08\x0b-\x1f\x7f]")


class AttemptCancelledError(Exception):
    """Thrown into the greenlet of a send that is not to go on."""

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class AttemptWithheldError(Exception):
    """A send whose first byte must not leave after all."""

    def __init__(self, how: AttemptOutcome) -> None:
        super().__init__(how.value)
        self.how = how


class Answer:
    """One HTTP answer."""

    def __init__(self) -> None:
        self.status, self.fields, self.body = 0, dict[str, str](), bytearray()
        self.surplus = False  # more came than was its own, or its length is wrong: which, can't be told

    @property
    def never_ran(self) -> bool:
        return self.fields.get("x-no-effect") == "1"

    @property
    def sheets(self) -> int:
        """The number of pages, 0 where none can be read."""
        text = self.fields.get("x-sheets", "")
        return int(text) if COUNT.fullmatch(text) else 0

    def sound(self, page: int) -> bool:
        """Whether it can be what was asked for: news, or whole rows of three columns of text."""
        if self.status != 200:
            return self.status == 500 or (page == 0 and self.status in (202, 503, 504))
        if not (0 < self.sheets <= MOST_RESULT if page == 0 else self.fields.get("x-sheet") == str(page)):
            return False
        if self.surplus or len(self.body) > MOST_PAGE or CONTROL.search(self.body):
            return False
        try:
            rows = self.body.decode().split("\n")
        except UnicodeDecodeError:
            return False
        only = page == 0 and self.sheets == 1  # a result may be empty, a page of several may not
        return not rows.pop() and all(row.count("\t") == 2 for row in rows) and (only or bool(rows))


class Connection:
    """A connection to an engine, for one call at a time; its parser calls the methods here."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.parser: Any = httptools.HttpResponseParser(self)
        self.answer, self.whole, self.keep, self.idle_since = Answer(), True, True, 0.0
        self.ref = ""  # of the command that the last call was for ...
        self.heard = ("", 0)  # ... of the last that had a result here, and what marks that

    def on_message_begin(self) -> None:
        if self.whole:
            self.answer.surplus = True  # a second one, that nobody asked for
        else:
            self.answer = Answer()  # what went before it was provisional

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.whole:
            # Space about a value is no part of it (RFC 9112, 5.1), and the parser leaves what is behind it.
            self.answer.fields[name.decode("latin-1").lower()] = value.decode("latin-1").strip(" \t")

    def on_body(self, body: bytes) -> None:
        if not self.whole:
            self.answer.body += body

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if not self.whole and status >= 200:
            self.whole, self.keep = True, self.parser.should_keep_alive()
            self.answer.status = status

    def again(self) -> bool:
        """Whether the answer is that to an earlier command, once more. Guards against a second copy of a good
        answer that comes after the next call is out, which nothing else tells from that call's own."""
        answer, (ref, mark) = self.answer, self.heard
        if answer.status != 200:
            return False
        self.heard = self.ref, zlib.crc32(repr(answer.fields).encode(), zlib.crc32(answer.body))
        return ref not in ("", self.ref) and mark == self.heard[1]

    def ask(self, request: bytes, until: float) -> None:
        self.answer, self.whole = Answer(), False
        self.stream.write(request, until)

    def hear(self, until: float) -> Answer:
        """The answer to what was just asked."""
        read = 0
        while not self.whole:
            self.stream.fill(until)
            with self.stream.unread() as view:
                read += len(view)
                try:
                    self.parser.feed_data(view)
                except httptools.HttpParserError:
                    if not self.whole:
                        raise StreamClosedError(CloseReason.MALFORMED) from None
                    self.answer.surplus = True
                self.stream.consume(len(view))
            if read > MOST_ANSWER + CHUNK * min(len(self.answer.body), MOST_PAGE):
                raise StreamClosedError(CloseReason.TOO_LONG)
        self.answer.surplus |= bool(self.stream.peek())
        self.keep &= not self.answer.surplus
        return self.answer

    def end(self, why: CloseReason) -> None:
        self.stream.close(why)
        self.parser = None  # each refers to the other, and would stay until garbage is looked for


def engine_client_factory(
    deployment: Settings, share: BoundedSemaphore
) -> Callable[[Dispatcher, str, tuple[str, int]], EngineClient]:
    """What makes an actor for an engine. share: descriptors that all of them may hold together."""
    return lambda desk, name, address: EngineClient(desk, name, address, deployment, share)


class EngineClient(Actor):
    def __init__(
        self,
        desk: Dispatcher,
        name: str,
        address: tuple[str, int],
        deployment: Settings,
        share: BoundedSemaphore,
    ) -> None:
        super().__init__()
        self.desk, self.name, self.address, self.share = desk, name, address, share
        self.deployment, self.up, self.started = deployment, True, 0.0
        self.connect_time = deployment.rules.connect_timeout_s
        self.retired = False  # gone from the list: ends with its last send
        self.idle: list[Connection] = []  # the last used is last
        self.connections = 0  # those there are, idle or not
        self.owed: EngineClient | None = None  # the one that gets the descriptor of the next that is free
        self.waiting: deque[AsyncResult[Connection | None]] = deque()
        self.sends: dict[tuple[str, int], AttemptCall] = {}

    # What the desk asks.

    def send(self, send: AttemptCall) -> None:
        self.sends[send.ref, send.no] = send
        send.greenlet = spawn(self._carry, send)

    def cancel(self, ref: str, no: int) -> None:
        send = self.sends.get((ref, no))
        if send is not None and not send.called_off:
            send.called_off = True
            spawn(self._call_off, send)

    def listed(self, up: bool, started: float) -> None:
        """Of its process: nothing goes out once it drains, and a new one has nothing of the old."""
        for send in list(self.sends.values()):
            if not send.posted if not up else 0.0 < send.posted < started:
                self._stop(send, CloseReason.REPLACED)
        if started > self.started or not up:
            self._close_idle(CloseReason.REPLACED)
        self.up, self.started = up, started

    def retire(self) -> None:
        self.retired = True
        self.listed(False, self.started)
        self._rest()

    def _rest(self) -> None:
        if self.retired and not self.sends:
            self._close_idle(CloseReason.REPLACED)
            self.post(self.finish)

    def spare(self, other: EngineClient) -> None:
        """Descriptors are short, and the other engine has none: one of ours goes, now or when it is free."""
        if self.idle:
            self._end(self.idle.pop(0), CloseReason.NO_ROOM)
            other.post(other.try_again)
        elif self.connections:
            self.owed = other

    def try_again(self) -> None:
        while self.waiting and self.share.acquire(blocking=False):
            self.waiting.popleft().set(None)

    def on_timer(self) -> None:
        """Ends well before the engine would what has not been used for long."""
        old = clock() - self.deployment.idle_timeout_s / 2
        while self.idle and self.idle[0].idle_since <= old:
            self._end(self.idle.pop(0), CloseReason.IDLE)
        self.wake_at = self.idle[0].idle_since + self.deployment.idle_timeout_s / 2 if self.idle else None

    # The life of a send.

    def _carry(self, send: AttemptCall) -> None:
        how, report, result, not_kept = AttemptOutcome.UNSENT, None, None, None
        send.begun = True
        try:
            if send.stopped is not None:
                raise AttemptCancelledError(send.stopped)
            result = self._result(send)
            how, report = result if isinstance(result, tuple) else (AttemptOutcome.ERROR, None)
        except AttemptCancelledError as off:
            if off.reason is CloseReason.REPLACED:
                how = AttemptOutcome.CONNECTION_LOST if send.posted else AttemptOutcome.WITHHELD
            else:
                how = AttemptOutcome.CANCELLED if send.posted else AttemptOutcome.UNSENT
        except AttemptWithheldError as err:
            how = err.how
        except ResultNotStoredError as err:
            not_kept = err.retry_after_s
        except StreamClosedError as err:
            if send.posted:
                how = (
                    AttemptOutcome.TIMED_OUT
                    if err.reason is CloseReason.SILENT
                    else AttemptOutcome.CONNECTION_LOST
                )
                spawn(self._give_up, send)
            elif clock() >= min(send.begin_by, send.until):
                how = AttemptOutcome.WITHHELD if clock() < send.until else AttemptOutcome.UNSENT
            elif err.reason is not CloseReason.NO_ROOM:
                how = (
                    AttemptOutcome.CONNECTION_REFUSED
                    if err.reason is CloseReason.REFUSED
                    else AttemptOutcome.CONNECT_TIMEOUT
                )
        except Exception:
            how = AttemptOutcome.ERROR if send.posted else AttemptOutcome.UNSENT
            raise
        finally:
            self.sends.pop((send.ref, send.no), None)
            self._rest()
            if isinstance(result, AttemptResult):
                self.desk.post(self.desk.on_answer, send.ref, send.no, result)
            elif not_kept is not None:
                self.desk.post(self.desk.on_result_not_stored, send.ref, send.no, not_kept)
            else:
                how = AttemptOutcome.CANCELLED if send.called_off and send.posted else how
                self.desk.post(self.desk.on_attempt_end, send.ref, send.no, how, report)

    def _result(self, send: AttemptCall) -> AttemptResult | tuple[AttemptOutcome, LoadReport | None]:
        answer = self._post(send)
        while answer.status == 202:
            self.desk.post(self.desk.on_attempt_alive, send.ref, send.no)
            answer = self._get(send, 0)
        report = self._report(answer)
        if answer.never_ran and answer.status in (503, 504):
            return (AttemptOutcome.REJECTED if answer.status == 503 else AttemptOutcome.UNSENT), report
        if answer.status != 200:
            return AttemptOutcome.ERROR, report
        good = AttemptResult(answer.body, _need(answer), report)
        if send.tray is not None:
            return self._kept(send, good, answer.sheets, send.tray.open_writer())
        for number in range(1, answer.sheets):
            page = self._get(send, number)
            if page.status != 200:
                return AttemptOutcome.ERROR, report
            good.body += page.body
            if len(good.body) > MOST_RESULT:
                return AttemptOutcome.ERROR, report
        return good

    def _kept(
        self, send: AttemptCall, good: AttemptResult, pages: int, sheet: ResultWriter
    ) -> AttemptResult | tuple[AttemptOutcome, LoadReport | None]:
        """Reads a result of any size into its sheet, and frees the engine as soon as it has said all."""
        told_at = 0.0
        try:
            sheet.write(good.body, send.until)
            for number in range(1, pages):
                if clock() > told_at + NEWS_WITHIN:
                    told_at = clock()
                    self.desk.post(self.desk.on_result_reading, send.ref, send.no)
                page = self._get(send, number)
                if page.status != 200:
                    return AttemptOutcome.ERROR, good.report
                sheet.write(page.body, send.until)
            self.desk.post(self.desk.on_result_reading, send.ref, send.no)
            spawn(self._give_up, send)
            first, good.told = sheet.commit(send.until)
        except ResultNotStoredError:
            spawn(self._give_up, send)
            raise
        finally:
            sheet.discard()  # unless it is whole
        good.body = bytearray(first)
        return good

    def _post(self, send: AttemptCall) -> Answer:
        tries, withheld = TRIES, None
        while True:
            conn = self._connection(send.ref, min(send.until, send.begin_by), self.connect_time)
            try:
                with self._used(conn):
                    withheld = self._withheld(send)  # from here to the first byte, nothing else runs
                    if withheld is None:
                        conn.ask(self._start(send), send.until)
                        send.posted = clock()
                        return self._heard(conn, 0, send.until, NEWS_WITHIN)
            except StreamClosedError as err:
                if not send.posted and (err.reason is CloseReason.SILENT or tries <= 0):
                    raise
            if withheld is not None:
                raise AttemptWithheldError(withheld)
            if send.posted:  # a command belongs to no connection: its news may come on another
                return self._get(send, 0)
            tries -= 1  # else the connection had ended, and the call never came whole

    def _withheld(self, send: AttemptCall) -> AttemptOutcome | None:
        """Asked right before the first byte: whether the send must not begin after all. Guards against what
        came while it waited for mail, a greenlet, a descriptor, a connection or another try."""
        now = clock()
        if send.called_off or not send.wanted() or now >= send.until - MOMENT:
            return AttemptOutcome.UNSENT  # nobody has a use for another try
        return None if self.up and now < send.begin_by else AttemptOutcome.WITHHELD

    def _start(self, send: AttemptCall) -> bytes:
        fields = f"X-Hop-Id: {send.ref}\r\nX-Sort: {send.profile}\r\n"
        fields += f"X-Budget: {int((send.until - clock()) * 1000)}\r\n"
        if send.memory:
            fields += f"X-Allot: {send.memory}\r\n"
        return self._request("POST", "/o", fields, send.statement)

    def _get(self, send: AttemptCall, page: int) -> Answer:
        """Asks; again on another connection where the answer is spoilt, cut off or late, until the query must
        have ended for want of questions."""
        request, since, tries = self._request("GET", f"/o/{send.ref}/{page}"), clock(), TRIES
        patience = LATE if page else NEWS_WITHIN  # a page is there, news is waited for
        while True:
            try:
                return self._call(send.ref, request, send.until, page, patience)
            except StreamClosedError as err:
                if err.reason is CloseReason.SILENT:  # it comes late, perhaps
                    patience = min(2.0 * patience, NEWS_WITHIN)
                else:
                    tries -= 1
                over = clock() >= min(since + FORGOTTEN, send.until)
                if over or tries <= 0 or err.reason is CloseReason.REFUSED:
                    raise

    def _call(
        self, ref: str, request: bytes, until: float, page: int | None = None, patience: float = NEWS_WITHIN
    ) -> Answer:
        conn = self._connection(ref, until)
        with self._used(conn):
            conn.ask(request, until)
            return self._heard(conn, page, until, patience)

    def _heard(self, conn: Connection, page: int | None, until: float, patience: float) -> Answer:
        """A sound answer, or the end of the connection."""
        answer = conn.hear(min(until, clock() + patience))
        if conn.again() or (page is not None and not answer.sound(page)):
            raise StreamClosedError(CloseReason.MALFORMED)
        return answer

    @contextmanager
    def _used(self, conn: Connection) -> Iterator[None]:
        """Keeps the connection for the next call, or ends it."""
        try:
            yield
        except BaseException as err:
            self._end(
                conn,
                err.reason
                if isinstance(err, StreamClosedError | AttemptCancelledError)
                else CloseReason.FAULT,
            )
            raise
        conn.idle_since = clock()
        if self.owed is not None:
            other, self.owed = self.owed, None
            conn.end(CloseReason.NO_ROOM)
            self.connections -= 1
            other.post(other.try_again)
            if self.waiting and not self.connections:
                self.desk.post(self.desk.short_of_descriptors, self)
        elif conn.keep and (self.up or self.sends):
            self._hand_on(conn)
        else:
            self._end(conn, CloseReason.IDLE)

    def _give_up(self, send: AttemptCall) -> None:
        with suppress(
            StreamClosedError
        ):  # the engine is silent or gone: nothing more can be done for the command there
            self._call(send.ref, self._request("DELETE", f"/o/{send.ref}"), clock() + self.connect_time)

    def _call_off(self, send: AttemptCall) -> None:
        """Gives the command up at the engine, then ends whatever still waits for news of it."""
        if send.posted:
            self._give_up(send)
            send.greenlet.join(self.connect_time)
        self._stop(send, CloseReason.CALLED_OFF)

    def _stop(self, send: AttemptCall, why: CloseReason) -> None:
        if send.begun:
            send.greenlet.kill(AttemptCancelledError(why), block=False)
        else:  # killed before its first step, a greenlet would never tell the desk
            send.stopped = why

    # Connections and calls.

    def _connection(self, ref: str, until: float, patience: float = math.inf) -> Connection:
        """A connection of ours that is free, else a new one. Patience is for a descriptor. None that has been
        closed meanwhile, or has more to say on what was asked before, is used again."""
        while True:
            if self.idle:
                conn = self.idle.pop()
                conn.keep = clock() - conn.idle_since < self.deployment.idle_timeout_s / 2
            elif self.share.acquire(blocking=False):
                break
            else:
                handed = self._wait_for_connection(min(patience, until - clock()))
                if handed is None:
                    break
                conn = handed
            if conn.keep and conn.stream.peek() is None:
                conn.ref = ref
                return conn
            self._end(conn, CloseReason.CLOSED)
        self.connections += 1
        try:
            wait = min(self.connect_time, until - clock())
            if wait <= 0:
                raise StreamClosedError(CloseReason.SILENT)
            stream = connect(self.address, "engine", self.name, MOST_ANSWER, wait, self.share.release)
        except BaseException:
            self.connections -= 1
            self._hand_on(None)
            raise
        conn = Connection(stream)
        conn.ref = ref
        return conn

    def _wait_for_connection(self, patience: float) -> Connection | None:
        """Descriptors are used up: waits for a connection of ours, or for a descriptor, which is None."""
        if not self.connections:
            self.desk.post(self.desk.short_of_descriptors, self)
        handed: AsyncResult[Connection | None] = AsyncResult()
        self.waiting.append(handed)
        try:
            return handed.get(timeout=max(patience, 0.0))
        except BaseException as err:
            if handed in self.waiting:
                self.waiting.remove(handed)
            elif handed.ready():
                self._hand_on(handed.value)
            if isinstance(err, gevent.Timeout):
                raise StreamClosedError(CloseReason.NO_ROOM) from None
            raise

    def _hand_on(self, conn: Connection | None) -> None:
        """To whoever waits longest for a connection, or for a descriptor where it is None."""
        if self.waiting:
            self.waiting.popleft().set(conn)
        elif conn is None:
            self.share.release()
        else:
            self.idle.append(conn)
            self.wake_at = self.wake_at or conn.idle_since + self.deployment.idle_timeout_s / 2

    def _request(self, verb: str, path: str, fields: str = "", body: bytes = b"") -> bytes:
        length = f"Content-Length: {len(body)}\r\n" if verb == "POST" else ""
        host, port = self.address
        return f"{verb} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n{fields}{length}\r\n".encode() + body

    def _report(self, answer: Answer) -> LoadReport | None:
        pairs = (pair.split(":", 1) for pair in answer.fields.get("x-report", "").split(";") if ":" in pair)
        try:
            return self.deployment.load_report({name.strip(): value for name, value in pairs})
        except ValueError:
            LOG.warning("unreadable report", engine=self.name)
            return None

    def _close_idle(self, why: CloseReason) -> None:
        while self.idle:
            self._end(self.idle.pop(), why)

    def _end(self, conn: Connection, why: CloseReason) -> None:
        conn.end(why)
        self.connections -= 1
        self.try_again()


def _need(answer: Answer) -> tuple[float, float] | None:
    try:
        work, memory = float(answer.fields["x-toil"]) / 1000.0, float(answer.fields["x-room"])
    except (KeyError, ValueError):
        return None
    return (work, memory) if 0 <= work < math.inf and 0 <= memory < math.inf else None
