"""Buffered sockets for tasks of the event loop, with bounded buffers.

A read waits for input; it raises ConnectionClosedError once the connection has ended or was closed by this
process, and StreamTimeoutError at its deadline, in seconds of time.monotonic(). A write never waits: bytes
that the socket does not accept yet are buffered.
"""

import errno
import select
import socket
import time
from collections.abc import Callable

from ochrehoist.errors import OchrehoistError
from ochrehoist.net.input_memory import InputMemory
from ochrehoist.net.loop import Loop, Signal, Timer

READ_SIZE_BYTES = 16384  # small, since hundreds of connections may each hold unprocessed input
MAX_UNSENT_BYTES = 512 * 1024  # a peer that reads too slowly is disconnected, to bound memory
LISTEN_BACKLOG = 1024
LINGER_TIMEOUT_S = 0.25  # for the peer to close its side, from when this side is shut down
MAX_DISCARDED_BYTES = 256 * 1024  # beyond this, a socket whose input is discarded is no longer read


class ConnectionClosedError(OchrehoistError):
    """The connection was closed by the peer or by this process."""


class StreamTimeoutError(OchrehoistError):
    """Input did not arrive by the deadline."""


class Stream:
    """A non-blocking socket with a buffer for each direction.

    Only one task may read. Any task may inspect `buffer` and `unsent`, but only the reading task may consume
    bytes of `buffer`.

    Attributes:
        sock: The socket.
        fd: The socket's descriptor.
        buffer: Input that has arrived and is not consumed yet.
        unsent: Output that the socket has not accepted yet.
        ended: Whether no more input will be read.
        closing: Whether the stream closes once all output is sent.
        closed: Whether the socket is closed.
        half_closed: Whether all output is sent and the sending side is shut down.
        received_at_s: When input last arrived; initially when the stream was opened.
        input_since_s: Since when `buffer` has not been empty; meaningless while it is empty.
        activity: Is set when input arrives or the stream ends.
        awaits_input: Whether the loop watches the socket for input.
    """

    __slots__ = (
        "_discarded_bytes",
        "_discarding",
        "_input_memory",
        "_linger_timer",
        "_loop",
        "_max_unsent_bytes",
        "_on_close",
        "activity",
        "awaits_input",
        "buffer",
        "closed",
        "closing",
        "ended",
        "fd",
        "half_closed",
        "input_since_s",
        "received_at_s",
        "sock",
        "unsent",
    )

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
        activity: Signal | None = None,
        input_memory: InputMemory | None = None,
    ) -> None:
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.fd = sock.fileno()
        self.buffer = bytearray()
        self.unsent = bytearray()
        self.ended = False
        self.closing = False
        self.closed = False
        self.half_closed = False
        self.received_at_s = self.input_since_s = time.monotonic()
        self.activity = Signal(loop) if activity is None else activity
        self.awaits_input = False
        self._input_memory = input_memory
        self._loop = loop
        self._max_unsent_bytes = max_unsent_bytes
        self._discarding = False
        self._discarded_bytes = 0
        self._linger_timer: Timer | None = None
        self._on_close: Callable[[], None] | None = None

    def call_on_close(self, callback: Callable[[], None]) -> None:
        """Sets a function to call once the stream is closed, whichever side closed it."""
        self._on_close = callback

    @property
    def peer_address(self) -> str:
        """The IP address of the peer; empty once the socket is disconnected."""
        try:
            address: str = self.sock.getpeername()[0]
        except OSError:
            return ""
        return address

    def peer_has_left(self) -> bool:
        """Returns whether the peer has closed the connection, even if its last input is not read yet."""
        if self.ended:
            return True
        poll = select.poll()
        poll.register(self.fd, select.POLLRDHUP)
        return bool(poll.poll(0))

    # ---- reading
    def read_more(self, deadline_s: float | None = None) -> None:
        """Waits until more bytes are in `buffer`.

        Raises:
            ConnectionClosedError: The stream has ended.
            StreamTimeoutError: No bytes arrived by the deadline.
        """
        size_before = len(self.buffer)
        while len(self.buffer) == size_before:
            if self.ended:
                raise ConnectionClosedError
            self._await_input()
            timeout_s = None if deadline_s is None else deadline_s - time.monotonic()
            if self.activity.wait(timeout_s) or deadline_s is None or time.monotonic() < deadline_s:
                continue
            if not self.read_available() and not self.ended:
                raise StreamTimeoutError

    def wait_until(self, done: Callable[[], bool], deadline_s: float | None = None) -> None:
        """Waits until `done` returns True, bytes arrive, the stream ends, or the deadline passes.

        `done` is evaluated whenever `activity` is set.
        """
        size_before = len(self.buffer)
        while not done() and not self.ended and len(self.buffer) == size_before:
            self._await_input()
            if deadline_s is None:
                self.activity.wait()
                continue
            timeout_s = deadline_s - time.monotonic()
            if timeout_s <= 0:
                return
            self.activity.wait(timeout_s)

    def _await_input(self) -> None:
        if not self.awaits_input and not self.ended:
            self.awaits_input = True
            self._loop.on_readable(self.fd, self._on_readable)

    def _on_readable(self) -> None:
        try:
            data = self.sock.recv(READ_SIZE_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        # Only one read per wait, so that a fast sender fills the socket's own buffer rather than `buffer`.
        self.awaits_input = False
        self._loop.on_readable(self.fd, None)
        self.received_at_s = time.monotonic()
        if not self.buffer:
            self.input_since_s = self.received_at_s
        self.buffer += data
        self.ended = not data
        self.activity.set()
        if self._input_memory is not None:
            self._input_memory.received(len(data))

    def read_available(self) -> bool:
        """Reads input that the loop has not handled yet, without waiting; returns whether there was any."""
        size_before = len(self.buffer)
        if self.awaits_input and not self.ended:
            self._on_readable()
        return len(self.buffer) > size_before

    def wait_for(self, count: int, deadline_s: float | None = None) -> None:
        """Waits until `count` bytes are in `buffer`; raises the same errors as `read_more`."""
        while len(self.buffer) < count:
            self.read_more(deadline_s)

    def read_exactly(self, count: int, deadline_s: float | None = None) -> bytes:
        """Returns the next `count` bytes once all have arrived; raises the same errors as `read_more`."""
        self.wait_for(count, deadline_s)
        data = bytes(self.buffer[:count])
        self.consume(count)
        return data

    def consume(self, count: int) -> None:
        """Removes the first `count` bytes of `buffer`, which have been handled."""
        del self.buffer[:count]
        self.input_since_s = self.received_at_s
        if self._input_memory is not None:
            self._input_memory.released(count)

    def read_line(self, max_bytes: int, deadline_s: float | None = None) -> bytes:
        """Returns the next line without its line ending.

        Raises:
            ConnectionClosedError: The stream has ended, or the line is longer than `max_bytes`.
            StreamTimeoutError: The line did not arrive by the deadline.
        """
        searched = 0
        while (end := self.buffer.find(b"\n", searched)) < 0:
            searched = len(self.buffer)
            if searched > max_bytes:
                raise ConnectionClosedError
            self.read_more(deadline_s)
        line = bytes(self.buffer[:end])
        self.consume(end + 1)
        return line.rstrip(b"\r")

    # ---- writing
    def write(self, data: bytes) -> None:
        """Sends what the socket accepts and buffers the rest; closes the stream if that is too much."""
        if self.closed or self.closing:
            return
        if not self.unsent:
            try:
                data = data[self.sock.send(data) :]
            except (BlockingIOError, InterruptedError):
                pass
            except OSError:
                self.close()
                return
            if not data:
                return
            self._loop.on_writable(self.fd, self._on_writable)
        self.unsent += data
        if len(self.unsent) > self._max_unsent_bytes:
            self.close()

    def _on_writable(self) -> None:
        try:
            del self.unsent[: self.sock.send(self.unsent)]
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()
            return
        if not self.unsent:
            self._loop.on_writable(self.fd, None)
            if self.closing:
                self._half_close()

    # ---- ending
    def discard_input(self) -> None:
        """Stops reading, and discards further input.

        Closing a socket with unread input resets the connection, which would lose responses that the peer has
        not received yet.
        """
        if self.closed or self._discarding:
            return
        ended_before = self.ended
        self._discarding = self.ended = True
        self.consume(len(self.buffer))
        self.activity.set()
        if not ended_before:
            self._loop.on_readable(self.fd, self._discard_available)

    def _discard_available(self) -> None:
        try:
            data = self.sock.recv(READ_SIZE_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()
            return
        self._discarded_bytes += len(data)
        if not data and not self.unsent:
            self.close()  # the peer has closed the connection
        elif not data or self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._loop.on_readable(self.fd, None)

    def close_when_sent(self) -> None:
        """Stops reading, and closes the socket once all output is sent.

        After the last byte, the peer has LINGER_TIMEOUT_S to close its side.
        """
        if self.closed or self.closing:
            return
        self.closing = True
        self.discard_input()
        if not self.unsent:
            self._half_close()

    def _half_close(self) -> None:
        self.half_closed = True
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self._linger_timer = self._loop.call_later(LINGER_TIMEOUT_S, self.close)
        self._discard_available()  # the peer has usually closed its side already

    def close(self) -> None:
        """Closes the socket at once and drops unsent output; a waiting reader gets ConnectionClosedError."""
        if self.closed:
            return
        self.closed = self.ended = True
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._loop.unwatch(self.fd)
        self.sock.close()
        self.unsent.clear()
        if self._input_memory is not None:  # a client's input; what came on other links is still read
            self.consume(len(self.buffer))
        self.activity.set()
        if self._on_close is not None:
            on_close = self._on_close
            self._on_close = (
                None  # a reference cycle would keep the buffers until the next garbage collection
            )
            on_close()


def connect(loop: Loop, address: tuple[str, int], timeout_s: float, activity: Signal | None = None) -> Stream:
    """Opens a stream to a TCP address; raises OSError if that fails or takes longer than `timeout_s`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        error_number = sock.connect_ex(address)
        if error_number == errno.EINPROGRESS:
            connected = Signal(loop)
            loop.on_writable(sock.fileno(), connected.set)
            in_time = connected.wait(timeout_s)
            loop.unwatch(sock.fileno())
            error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if in_time else errno.ETIMEDOUT
        if error_number:
            raise OSError(error_number, errno.errorcode.get(error_number, "connect"))  # noqa: TRY301 (closed below)
    except BaseException:
        sock.close()
        raise
    return Stream(loop, sock, activity=activity)


def listen(address: tuple[str, int]) -> socket.socket:
    """Returns a listening socket bound to a TCP address; raises OSError if it cannot be bound."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
    except BaseException:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
