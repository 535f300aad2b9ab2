"""One TCP connection: its receive buffer, its writes, and its close, which is logged with a reason.

A stream belongs to its creator. Only one greenlet may read it at a time, and only one may write to it; any
greenlet may close it. A stream does not interpret the bytes and never reconnects.
"""

from __future__ import annotations

import errno
import fcntl
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from typing import Protocol

from gevent import socket

from marbleworks.net.actor import LOG, clock

_INITIAL_BUFFER_BYTES = 4096  # the buffer is doubled as needed, up to the stream's maximum
# With so many bytes in the host's buffer, the peer's host may hold back more bytes, and the end behind them.
_MIN_BYTES_HIDING_END = 48 * 1024
_UNREAD_COUNT = struct.Struct("i")
_TCP_STATES_PEER_GONE = (7, 8)  # TCP_CLOSE, after a reset, and TCP_CLOSE_WAIT of the Linux kernel


class CloseReason(Enum):
    """Why a connection ended; the values are written to the log."""

    CLOSED = "closed"  # the peer closed it with no message or call in progress
    CLOSED_EARLY = "broken"  # the peer closed it during a message or a call
    RESET = "reset"
    REFUSED = "refused"  # nothing listens at the address
    CONNECT_TIMED_OUT = "unreached"  # the connection was not established, in time or at all
    TIMEOUT = "silent"  # the peer did not send a complete message, or did not accept data, in time
    MALFORMED = "malformed"  # the received bytes violate the protocol
    TOO_LONG = "too-long"  # a message exceeds the maximum size
    IDLE = "idle"  # closed by the router as unused
    NO_DESCRIPTOR = "no-room"  # all file descriptors are in use
    ATTEMPT_CANCELLED = "called-off"  # the attempt on the connection is no longer wanted
    REPLACED = "replaced"  # the engine restarted, moved or left the list
    STOPPING = "stopping"  # the router stops
    INTERNAL_ERROR = "fault"  # a defect in the router


class StreamClosedError(Exception):
    """Raised if the connection can no longer be used.

    Attributes:
        reason: Why it can no longer be used.
    """

    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class BufferMemoryError(Exception):
    """Raised if a receive buffer is full and no memory is free for a larger one."""


class BufferMemory(Protocol):
    """Memory for what a receive buffer takes beyond its initial size."""

    def reserve(self, size_bytes: int) -> bool:
        """Takes so many bytes; returns False, and takes none, if they are not to be had."""

    def release(self, size_bytes: int) -> None:
        """Gives so many bytes back."""


class Stream:
    """A connected socket with a receive buffer.

    Attributes:
        role: Role of the peer for the log: "client" or "engine".
        peer: The peer's address or name for the log.
        max_buffer_bytes: Maximum number of unread bytes.
        release_descriptor: Called once, when the stream is closed.
        memory: Memory for a larger buffer than the initial one; None for no limit but the maximum.
        unread_start: Offset of the first unread byte in the buffer.
        unread_end: Offset after the last unread byte; 0 if there are no unread bytes.
        consumed_bytes: Number of received bytes that have been read, since the stream was created.
        opened_at: Unix time in seconds at which the stream was created.
        closed: Whether the stream is closed.
    """

    def __init__(
        self,
        sock: socket.socket,
        role: str,
        peer: str,
        max_buffer_bytes: int,
        release_descriptor: Callable[[], object],
        memory: BufferMemory | None = None,
    ) -> None:
        self.sock = sock
        self.role = role
        self.peer = peer
        self.max_buffer_bytes = max_buffer_bytes
        self.release_descriptor = release_descriptor
        self.memory = memory
        self.buffer = bytearray(_INITIAL_BUFFER_BYTES)
        self.unread_start = 0
        self.unread_end = 0
        self.consumed_bytes = 0
        self.opened_at = clock()
        self.closed = False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def unread(self) -> memoryview:
        """Returns a view of the unread bytes, which has to be released before the next `fill`."""
        return memoryview(self.buffer)[self.unread_start : self.unread_end]

    def consume(self, count: int) -> None:
        """Marks that many unread bytes as read."""
        self.consumed_bytes += count
        self.unread_start += count
        if self.unread_start == self.unread_end:
            self.unread_start = self.unread_end = 0
            if self.memory is not None and len(self.buffer) > _INITIAL_BUFFER_BYTES:
                self._replace_buffer(_INITIAL_BUFFER_BYTES)

    def fill(self, deadline: float | None) -> None:
        """Waits for more bytes.

        Args:
            deadline: Unix time in seconds until which to wait; None for no limit.

        Raises:
            StreamClosedError: No bytes arrived in time, the connection has ended, or the buffer is full.
            BufferMemoryError: The buffer is full, and no memory is free for a larger one.
        """
        if self.closed:
            raise StreamClosedError(CloseReason.CLOSED)
        if self.unread_end == len(self.buffer):
            self._make_room()
        with memoryview(self.buffer) as buffer_view, buffer_view[self.unread_end :] as free_space:
            try:
                try:
                    self._set_timeout(deadline)
                    count = self.sock.recv_into(free_space)
                except (
                    TimeoutError
                ):  # this process may have been late, so bytes that have arrived are accepted
                    self.sock.settimeout(0.0)
                    count = self.sock.recv_into(free_space)
            except OSError as err:
                raise StreamClosedError(_close_reason(err)) from None
        if not count:
            has_unread = self.unread_start < self.unread_end
            raise StreamClosedError(CloseReason.CLOSED_EARLY if has_unread else CloseReason.CLOSED)
        self.unread_end += count

    def _make_room(self) -> None:
        size = len(self.buffer)
        if self.unread_start:
            unread = self.unread_end - self.unread_start
            self.buffer[:unread] = self.buffer[self.unread_start : self.unread_end]
            self.unread_start = 0
            self.unread_end = unread
        elif size < self.max_buffer_bytes:
            added_bytes = min(size, self.max_buffer_bytes - size)
            if self.memory is not None and not self.memory.reserve(added_bytes):
                raise BufferMemoryError
            self.buffer.extend(bytes(added_bytes))
        else:
            raise StreamClosedError(CloseReason.TOO_LONG)

    def _replace_buffer(self, size_bytes: int) -> None:
        """Replaces the buffer by an empty one and gives the memory for its additional size back."""
        if self.memory is not None:
            self.memory.release(max(len(self.buffer) - _INITIAL_BUFFER_BYTES, 0))
        self.buffer = bytearray(size_bytes)

    def write(self, data: bytes, deadline: float | None) -> None:
        """Sends all of the data.

        Args:
            data: The bytes to send.
            deadline: Unix time in seconds by which they have to be sent; None for no limit.

        Raises:
            StreamClosedError: The peer did not accept all of the data in time.
        """
        try:
            self._set_timeout(deadline)
            # This usually sends everything; sendall would first query the socket's buffer size.
            sent = self.sock.send(data)
            if sent < len(data):
                self.sock.sendall(memoryview(data)[sent:])
        except OSError as err:
            raise StreamClosedError(_close_reason(err)) from None

    def _set_timeout(self, deadline: float | None) -> None:
        timeout_s = None if deadline is None else deadline - clock()
        if timeout_s is not None and timeout_s <= 0:
            raise TimeoutError
        self.sock.settimeout(timeout_s)

    @property
    def buffered_bytes(self) -> int:
        """Number of unread bytes in the buffer."""
        return self.unread_end - self.unread_start

    def copy_unread(self, max_socket_bytes: int) -> bytes:
        """Returns the unread bytes in the buffer and those in the socket, which all stay unread.

        Args:
            max_socket_bytes: Maximum number of bytes to take from the socket.
        """
        with self.unread() as view:
            return bytes(view) + (self.peek(max_socket_bytes) or b"")

    def peek(self, max_bytes: int = 1) -> bytes | None:
        """Checks for unread bytes in the socket without waiting.

        Returns:
            So many bytes at most if there are any, None if there are none, and b"" if the connection has
            ended.
        """
        timeout_s = self.sock.gettimeout()  # restored below, since another greenlet may be waiting with it
        try:
            self.sock.settimeout(0.0)
            return self.sock.recv(max_bytes, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""
        finally:
            self.sock.settimeout(timeout_s)

    def is_gone(self) -> bool:
        """Whether the stream is closed, or the peer closed it, even if there are unread bytes."""
        return self.closed or self.peek() == b"" or self._tcp_state() in _TCP_STATES_PEER_GONE

    def may_hide_end(self) -> bool:
        """Whether so much is unread that the peer may have closed the connection without a sign of it."""
        return self.count_arrived() >= _MIN_BYTES_HIDING_END

    def count_arrived(self) -> int:
        """Returns the number of unread bytes in the socket; 0 if the host does not tell."""
        try:
            answer = fcntl.ioctl(self.sock.fileno(), termios.FIONREAD, bytes(_UNREAD_COUNT.size))
        except (OSError, ValueError):  # it is closed, or the host does not tell
            return 0
        unread_bytes: int = _UNREAD_COUNT.unpack(answer)[0]
        return unread_bytes

    def _tcp_state(self) -> int | None:
        """Returns the state of the connection in the host's kernel; None if the host does not tell."""
        try:
            tcp_info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return None
        return tcp_info[0] if tcp_info else None

    @property
    def has_unread(self) -> bool:
        """Whether there are unread bytes, in the buffer or in the socket, or the connection has ended."""
        return bool(self.unread_end) or self.peek() is not None

    def shutdown_write(self) -> None:
        """Shuts down the sending direction; written data still arrives, and reading remains possible."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self, reason: CloseReason) -> None:
        """Closes the socket; has no effect if it is already closed."""
        if self.closed:
            return
        self.closed = True
        self.sock.close()
        self.release_descriptor()
        unread_bytes = self.buffered_bytes
        self.unread_start = self.unread_end = 0
        self._replace_buffer(0)  # what refers to this object may outlive the connection
        LOG.info(
            "connection closed",
            role=self.role,
            peer=self.peer,
            reason=reason.value,
            age_s=round(clock() - self.opened_at, 3),
            unread_bytes=unread_bytes,
        )


def connect(
    address: tuple[str, int],
    role: str,
    peer: str,
    max_buffer_bytes: int,
    timeout_s: float,
    release_descriptor: Callable[[], object],
) -> Stream:
    """Opens a connection.

    The returned stream releases the descriptor when it is closed. If this function raises, the descriptor is
    not released.

    Args:
        address: Address of the peer.
        role: Role of the peer for the log.
        peer: Name of the peer for the log.
        max_buffer_bytes: Maximum number of unread bytes.
        timeout_s: Maximum time in seconds to establish the connection.
        release_descriptor: Called once, when the stream is closed.

    Raises:
        StreamClosedError: The connection was refused or not established in time.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect(address)
    except OSError as err:
        sock.close()
        refused = isinstance(err, ConnectionRefusedError)
        raise StreamClosedError(CloseReason.REFUSED if refused else CloseReason.CONNECT_TIMED_OUT) from None
    except BaseException:
        sock.close()
        raise
    return Stream(sock, role, peer, max_buffer_bytes, release_descriptor)


def _close_reason(err: OSError) -> CloseReason:
    if isinstance(err, TimeoutError | BlockingIOError):
        return CloseReason.TIMEOUT
    return CloseReason.ATTEMPT_CANCELLED if err.errno == errno.EBADF else CloseReason.RESET
