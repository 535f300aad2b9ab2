"""One TCP connection: its receive buffer, its writes, and its close, which is logged with a reason.

A stream belongs to its creator. Only one greenlet at a time may read it, and one write it; any may close it.
It does not interpret the bytes and never reconnects.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

from gevent import socket

from marbleworks.net.actor import LOG, clock

_INITIAL_BUFFER_BYTES = 4096  # doubled as needed up to the stream's maximum


class CloseReason(Enum):
    """Why a connection ended; the values are in the log."""

    CLOSED = "closed"  # by the other side, with nothing in progress
    BROKEN = "broken"  # by the other side, in the middle of something
    RESET = "reset"
    REFUSED = "refused"  # nothing listens there
    UNREACHED = "unreached"  # it was not established in time
    SILENT = "silent"  # nothing arrived complete, or nothing was accepted, in time
    MALFORMED = "malformed"  # what arrived is not the protocol
    TOO_LONG = "too-long"  # a message over the maximum
    IDLE = "idle"  # closed by us as unused
    NO_ROOM = "no-room"  # file descriptors are used up
    CALLED_OFF = "called-off"  # the attempt on it is no longer wanted
    REPLACED = "replaced"  # its engine restarted, moved or left
    STOPPING = "stopping"  # the router stops
    FAULT = "fault"  # a defect of this program


class StreamClosedError(Exception):
    """The connection cannot be used any more.

    Attributes:
        reason: Why.
    """

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Stream:
    """A connected socket with a receive buffer.

    Attributes:
        role: "client" or "engine", for the log.
        peer: The other side's address or name, for the log.
        max_buffer_bytes: Bound on unread bytes.
        release_descriptor: Called once, when the stream is closed.
        unread_start: Offset of the first unread byte in the buffer.
        unread_end: Offset behind the last; 0 where nothing is unread.
        opened_at: Unix time in seconds.
        fill_count: How often bytes arrived.
    """

    def __init__(
        self,
        sock: socket.socket,
        role: str,
        peer: str,
        max_buffer_bytes: int,
        release_descriptor: Callable[[], object],
    ) -> None:
        self.sock = sock
        self.role = role
        self.peer = peer
        self.max_buffer_bytes = max_buffer_bytes
        self.release_descriptor = release_descriptor
        self.buffer = bytearray(_INITIAL_BUFFER_BYTES)
        self.unread_start = 0
        self.unread_end = 0
        self.opened_at = clock()
        self.closed = False
        self.fill_count = 0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def unread(self) -> memoryview:
        """Returns the unread bytes; the view has to be released before the next `fill`."""
        return memoryview(self.buffer)[self.unread_start : self.unread_end]

    def consume(self, count: int) -> None:
        """Marks that many unread bytes as read."""
        self.unread_start += count
        if self.unread_start == self.unread_end:
            self.unread_start = self.unread_end = 0

    def fill(self, deadline: float | None) -> None:
        """Waits for more bytes, at most until the deadline (Unix seconds; None: for ever).

        Raises:
            StreamClosedError: None came in time, none will come, or the buffer is full.
        """
        if self.unread_end == len(self.buffer):
            self._make_room()
        with memoryview(self.buffer) as whole, whole[self.unread_end :] as free:
            try:
                try:
                    self._set_timeout(deadline)
                    count = self.sock.recv_into(free)
                except TimeoutError:  # this process may be late itself: bytes that have arrived count
                    self.sock.settimeout(0.0)
                    count = self.sock.recv_into(free)
            except OSError as err:
                raise StreamClosedError(_close_reason(err)) from None
        if not count:
            unfinished = self.unread_start < self.unread_end
            raise StreamClosedError(CloseReason.BROKEN if unfinished else CloseReason.CLOSED)
        self.unread_end += count
        self.fill_count += 1

    def _make_room(self) -> None:
        size = len(self.buffer)
        if self.unread_start:
            unread = self.unread_end - self.unread_start
            self.buffer[:unread] = self.buffer[self.unread_start : self.unread_end]
            self.unread_start = 0
            self.unread_end = unread
        elif size < self.max_buffer_bytes:
            self.buffer.extend(bytes(min(size, self.max_buffer_bytes - size)))
        else:
            raise StreamClosedError(CloseReason.TOO_LONG)

    def write(self, data: bytes, deadline: float | None) -> None:
        """Sends all of the data by the deadline (Unix seconds; None: without one).

        Raises:
            StreamClosedError: The other side did not accept it.
        """
        try:
            self._set_timeout(deadline)
            sent = self.sock.send(
                data
            )  # mostly all of it; sendall would first ask for the socket's buffer size
            if sent < len(data):
                self.sock.sendall(memoryview(data)[sent:])
        except OSError as err:
            raise StreamClosedError(_close_reason(err)) from None

    def _set_timeout(self, deadline: float | None) -> None:
        timeout_s = None if deadline is None else deadline - clock()
        if timeout_s is not None and timeout_s <= 0:
            raise TimeoutError
        self.sock.settimeout(timeout_s)

    def peek(self) -> bytes | None:
        """Looks for unread bytes in the socket without waiting.

        Returns:
            One byte where there are any, None where there are none, b"" where the connection has ended.
        """
        timeout_s = self.sock.gettimeout()  # another greenlet may be waiting with it
        try:
            self.sock.settimeout(0.0)
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""
        finally:
            self.sock.settimeout(timeout_s)

    def is_gone(self) -> bool:
        """Whether it is closed, or the other side closed it and everything before was read."""
        return self.closed or self.peek() == b""

    def shutdown_write(self) -> None:
        """Ends the sending direction; what was written still arrives, and reading goes on."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    @property
    def buffer_full(self) -> bool:
        """Whether a `fill` would find no room."""
        return not self.unread_start and self.unread_end >= self.max_buffer_bytes

    def close(self, reason: CloseReason) -> None:
        """Closes the socket; without effect where it is closed already."""
        if self.closed:
            return
        self.closed = True
        self.sock.close()
        self.release_descriptor()
        LOG.info(
            "connection closed",
            role=self.role,
            peer=self.peer,
            reason=reason.value,
            age_s=round(clock() - self.opened_at, 3),
        )


def connect(
    address: tuple[str, int],
    role: str,
    peer: str,
    max_buffer_bytes: int,
    timeout_s: float,
    release_descriptor: Callable[[], object],
) -> Stream:
    """Opens a connection. The descriptor is released by the stream only, so not where this raises.

    Raises:
        StreamClosedError: Refused, or not established in time.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect(address)
    except OSError as err:
        sock.close()
        refused = isinstance(err, ConnectionRefusedError)
        raise StreamClosedError(CloseReason.REFUSED if refused else CloseReason.UNREACHED) from None
    except BaseException:
        sock.close()
        raise
    return Stream(sock, role, peer, max_buffer_bytes, release_descriptor)


def _close_reason(err: OSError) -> CloseReason:
    if isinstance(err, TimeoutError | BlockingIOError):
        return CloseReason.SILENT
    return CloseReason.CALLED_OFF if err.errno == errno.EBADF else CloseReason.RESET
