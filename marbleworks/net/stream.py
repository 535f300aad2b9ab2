"""One TCP connection: its one buffer, its writes, and its end, which leaves one log line with a reason code.

A stream belongs to whoever made it and must never be read or written by two greenlets at once, save that any
may end it. It knows nothing of what the bytes mean, and it never opens a connection again by itself.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

from gevent import socket

from marbleworks.net.actor import LOG, clock

FIRST_SIZE = 4096  # of a buffer, which doubles as needed up to its bound


class Reason(Enum):
    """Why a connection ended."""

    CLOSED = "closed"  # by the other side, with nothing under way
    BROKEN = "broken"  # by the other side, in the middle of something
    RESET = "reset"
    REFUSED = "refused"  # nobody listens there
    UNREACHED = "unreached"  # it never came up
    SILENT = "silent"  # nothing came whole, or nothing was taken, for as long as one could wait
    MALFORMED = "malformed"  # what came is not the protocol
    TOO_LONG = "too-long"  # a message over the bound
    IDLE = "idle"  # ours to close, and unused
    NO_ROOM = "no-room"  # the share of descriptors is used up
    CALLED_OFF = "called-off"  # the send on it is no longer wanted
    REPLACED = "replaced"  # its engine has started anew, moved or gone
    STOPPING = "stopping"  # the router ends
    FAULT = "fault"  # a mistake of this program


class Ended(Exception):
    """The connection is of no more use."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Stream:
    def __init__(self, sock: socket.socket, role: str, peer: str, most: int, give_back: Callable[[], object]):
        self.sock, self.role, self.peer, self.most = sock, role, peer, most
        self.give_back = give_back  # its descriptor, when it ends
        self.buffer, self.first, self.last = bytearray(FIRST_SIZE), 0, 0  # unread: first to last
        self.began, self.ended, self.fills = clock(), False, 0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def unread(self) -> memoryview:
        """To be released before the next fill."""
        return memoryview(self.buffer)[self.first : self.last]

    def read(self, count: int) -> None:
        """So much of what is unread has been used."""
        self.first += count
        if self.first == self.last:
            self.first = self.last = 0

    def fill(self, until: float | None) -> None:
        """Waits for more; raises Ended where none will come."""
        if self.last == len(self.buffer):
            if self.first:
                self.buffer[: self.last - self.first] = self.buffer[self.first : self.last]
                self.first, self.last = 0, self.last - self.first
            elif len(self.buffer) < self.most:
                self.buffer.extend(bytes(min(len(self.buffer), self.most - len(self.buffer))))
            else:
                raise Ended(Reason.TOO_LONG)
        with memoryview(self.buffer) as whole, whole[self.last :] as free:
            try:
                try:
                    self._wait(until)
                    count = self.sock.recv_into(free)
                except TimeoutError:  # perhaps it is we who are late: what has come meanwhile counts
                    self.sock.settimeout(0.0)
                    count = self.sock.recv_into(free)
            except OSError as err:
                raise Ended(_reason(err)) from None
        if not count:
            raise Ended(Reason.BROKEN if self.first < self.last else Reason.CLOSED)
        self.last += count
        self.fills += 1

    def write(self, data: bytes, until: float | None) -> None:
        try:
            self._wait(until)
            # Mostly all of it; sendall would first ask for the size of the buffer.
            sent = self.sock.send(data)
            if sent < len(data):
                self.sock.sendall(memoryview(data)[sent:])
        except OSError as err:
            raise Ended(_reason(err)) from None

    def _wait(self, until: float | None) -> None:
        left = None if until is None else until - clock()
        if left is not None and left <= 0:
            raise TimeoutError
        self.sock.settimeout(left)

    def more(self) -> bytes | None:
        """A glance at what has come and was not read: None where nothing has, nothing where it is closed."""
        before = self.sock.gettimeout()  # another greenlet may be waiting for more with that
        try:
            self.sock.settimeout(0.0)
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""
        finally:
            self.sock.settimeout(before)

    def gone(self) -> bool:
        """Whether it has ended, or the other side has ended it and all that came before was read."""
        return self.ended or self.more() == b""

    def shut(self) -> None:
        """Nothing more is written; what was arrives, since what still comes can be read until the end."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    @property
    def full(self) -> bool:
        """Whether a fill would find no room."""
        return not self.first and self.last >= self.most

    def end(self, reason: Reason) -> None:
        if not self.ended:
            self.ended = True
            self.sock.close()
            self.give_back()
            LOG.info(
                "ended", of=self.role, peer=self.peer, reason=reason.value, age=round(clock() - self.began, 3)
            )


def connect(
    address: tuple[str, int], role: str, peer: str, most: int, wait: float, give_back: Callable[[], object]
) -> Stream:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(wait)
        sock.connect(address)
    except OSError as err:
        sock.close()
        refused = isinstance(err, ConnectionRefusedError)
        raise Ended(Reason.REFUSED if refused else Reason.UNREACHED) from None
    except BaseException:
        sock.close()
        raise
    return Stream(sock, role, peer, most, give_back)


def _reason(err: OSError) -> Reason:
    if isinstance(err, TimeoutError | BlockingIOError):
        return Reason.SILENT
    return Reason.CALLED_OFF if err.errno == errno.EBADF else Reason.RESET
