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


class CloseReason(Enum):
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


class StreamClosedError(Exception):
    """The connection is of no more use."""

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Stream:
    def __init__(self, sock: socket.socket, role: str, peer: str, most: int, give_back: Callable[[], object]):
        self.sock, self.role, self.peer, self.max_buffer_bytes = sock, role, peer, most
        self.release_descriptor = give_back  # its descriptor, when it ends
        self.buffer, self.unread_start, self.unread_end = bytearray(FIRST_SIZE), 0, 0  # unread: first to last
        self.opened_at, self.closed, self.fill_count = clock(), False, 0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def unread(self) -> memoryview:
        """To be released before the next fill."""
        return memoryview(self.buffer)[self.unread_start : self.unread_end]

    def consume(self, count: int) -> None:
        """So much of what is unread has been used."""
        self.unread_start += count
        if self.unread_start == self.unread_end:
            self.unread_start = self.unread_end = 0

    def fill(self, deadline: float | None) -> None:
        """Waits for more; raises Ended where none will come."""
        if self.unread_end == len(self.buffer):
            if self.unread_start:
                self.buffer[: self.unread_end - self.unread_start] = self.buffer[
                    self.unread_start : self.unread_end
                ]
                self.unread_start, self.unread_end = 0, self.unread_end - self.unread_start
            elif len(self.buffer) < self.max_buffer_bytes:
                self.buffer.extend(bytes(min(len(self.buffer), self.max_buffer_bytes - len(self.buffer))))
            else:
                raise StreamClosedError(CloseReason.TOO_LONG)
        with memoryview(self.buffer) as whole, whole[self.unread_end :] as free:
            try:
                try:
                    self._wait(deadline)
                    count = self.sock.recv_into(free)
                except TimeoutError:  # perhaps it is we who are late: what has come meanwhile counts
                    self.sock.settimeout(0.0)
                    count = self.sock.recv_into(free)
            except OSError as err:
                raise StreamClosedError(_reason(err)) from None
        if not count:
            raise StreamClosedError(
                CloseReason.BROKEN if self.unread_start < self.unread_end else CloseReason.CLOSED
            )
        self.unread_end += count
        self.fill_count += 1

    def write(self, data: bytes, deadline: float | None) -> None:
        try:
            self._wait(deadline)
            # Mostly all of it; sendall would first ask for the size of the buffer.
            sent = self.sock.send(data)
            if sent < len(data):
                self.sock.sendall(memoryview(data)[sent:])
        except OSError as err:
            raise StreamClosedError(_reason(err)) from None

    def _wait(self, until: float | None) -> None:
        left = None if until is None else until - clock()
        if left is not None and left <= 0:
            raise TimeoutError
        self.sock.settimeout(left)

    def peek(self) -> bytes | None:
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

    def is_gone(self) -> bool:
        """Whether it has ended, or the other side has ended it and all that came before was read."""
        return self.closed or self.peek() == b""

    def shutdown_write(self) -> None:
        """Nothing more is written; what was arrives, since what still comes can be read until the end."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    @property
    def buffer_full(self) -> bool:
        """Whether a fill would find no room."""
        return not self.unread_start and self.unread_end >= self.max_buffer_bytes

    def close(self, reason: CloseReason) -> None:
        if not self.closed:
            self.closed = True
            self.sock.close()
            self.release_descriptor()
            LOG.info(
                "ended",
                of=self.role,
                peer=self.peer,
                reason=reason.value,
                age=round(clock() - self.opened_at, 3),
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
        raise StreamClosedError(CloseReason.REFUSED if refused else CloseReason.UNREACHED) from None
    except BaseException:
        sock.close()
        raise
    return Stream(sock, role, peer, most, give_back)


def _reason(err: OSError) -> CloseReason:
    if isinstance(err, TimeoutError | BlockingIOError):
        return CloseReason.SILENT
    return CloseReason.CALLED_OFF if err.errno == errno.EBADF else CloseReason.RESET
