"""A bounded, buffered socket. Reading waits; writing never does: what a peer is slow to take is kept.

A wait ends in one of two ways besides the bytes that it is for: ConnectionClosedError once the connection has
ended or was closed here, and StreamTimeoutError at its deadline, in seconds of time.monotonic().
"""

import errno
import socket
import time
from collections.abc import Callable

from ochrehoist.errors import OchrehoistError
from ochrehoist.net.loop import Loop, Signal, Timer

READ_SIZE_BYTES = 16384  # what hundreds of connections have read and not yet used must fit in memory
MAX_UNSENT_BYTES = 512 * 1024  # a peer that reads so slowly is disconnected: it must not cost memory
LISTEN_BACKLOG = 1024  # connections that wait to be accepted
LINGER_S = 0.25  # that a peer has to close its side once all is sent and ours is shut down
MAX_DISCARDED_BYTES = 256 * 1024  # that are read while lingering; beyond it the socket is not even read


class ConnectionClosedError(OchrehoistError):
    """The connection has ended, or was ended by us."""


class StreamTimeoutError(OchrehoistError):
    """The peer took too long."""


class Stream:
    """One connection: a non-blocking socket with a buffer for each direction.

    One task reads. `buffer` and `unsent` may be looked at by anyone; the reader alone takes bytes out.

    Attributes:
        buffer: What has arrived and is not read yet.
        unsent: What was written and the peer has not taken yet.
        ended: Nothing more will be read.
        closing: It closes once all is sent.
        closed: The socket is closed.
        half_closed: All is sent, and the peer was told that no more comes.
        received_at_s: When bytes last arrived, or it was opened.
        activity: Set when bytes arrive or it ends.
        awaits_input: Whether the socket is watched for input.
    """

    __slots__ = (
        "_discarded_bytes",
        "_discarding",
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
        self.received_at_s = time.monotonic()
        self.activity = Signal(loop) if activity is None else activity
        self.awaits_input = False
        self._loop = loop
        self._max_unsent_bytes = max_unsent_bytes
        self._discarding = False
        self._discarded_bytes = 0
        self._linger_timer: Timer | None = None
        self._on_close: Callable[[], None] | None = None

    def call_on_close(self, call: Callable[[], None]) -> None:
        """Calls it once the stream is closed, whichever side closed it."""
        self._on_close = call

    @property
    def peer_address(self) -> str:
        """The address of the other side; empty once it is not known any more."""
        try:
            address: str = self.sock.getpeername()[0]
        except OSError:
            return ""
        return address

    # ---- reading
    def read_more(self, deadline_s: float | None = None) -> None:
        """Waits for more bytes in `buffer`.

        Raises:
            ConnectionClosedError: it has ended.
            StreamTimeoutError: nothing arrived by the deadline.
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
        """Waits until `done`, bytes arrive, it ends, or the deadline; each `activity` evaluates `done`."""
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
        # One read for each wait: the peer's own buffer bounds what a fast sender can pile up here.
        self.awaits_input = False
        self._loop.on_readable(self.fd, None)
        self.buffer += data
        self.ended = not data
        self.received_at_s = time.monotonic()
        self.activity.set()

    def read_available(self) -> bool:
        """Reads what a busy loop has not come to yet; returns whether anything was there."""
        size_before = len(self.buffer)
        if self.awaits_input and not self.ended:
            self._on_readable()
        return len(self.buffer) > size_before

    def read_exactly(self, count: int, deadline_s: float | None = None) -> bytes:
        """Takes so many bytes, all of them by the deadline; raises as `read_more` does."""
        while len(self.buffer) < count:
            self.read_more(deadline_s)
        data = bytes(self.buffer[:count])
        del self.buffer[:count]
        return data

    def read_line(self, max_bytes: int, deadline_s: float | None = None) -> bytes:
        """Takes a line, without its end; raises as `read_more` does, also where the line is too long."""
        searched = 0
        while (end := self.buffer.find(b"\n", searched)) < 0:
            searched = len(self.buffer)
            if searched > max_bytes:
                raise ConnectionClosedError
            self.read_more(deadline_s)
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 1]
        return line.rstrip(b"\r")

    # ---- writing
    def write(self, data: bytes) -> None:
        """Sends what the socket takes and keeps the rest; closes the stream where that is too much."""
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
        """Reads no more; what still arrives is discarded.

        Unread bytes would turn a close into a reset, and with it answers would be lost that the peer has not
        taken.
        """
        if self.closed or self._discarding:
            return
        ended_before = self.ended
        self._discarding = self.ended = True
        self.buffer.clear()
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
            self.close()  # the peer has gone
        elif not data or self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._loop.on_readable(self.fd, None)

    def close_when_sent(self) -> None:
        """Reads no more, sends what is left, and closes once the peer has closed or LINGER_S are over."""
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
        self._linger_timer = self._loop.call_later(LINGER_S, self.close)
        self._discard_available()  # most often the peer's end is here already

    def close(self) -> None:
        """Closes it at once; what is unsent is lost. Whoever waits on it gets ConnectionClosedError."""
        if self.closed:
            return
        self.closed = self.ended = True
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._loop.forget(self.fd)
        self.sock.close()
        self.activity.set()
        if self._on_close is not None:
            self._on_close()


def connect(loop: Loop, address: tuple[str, int], timeout_s: float, activity: Signal | None = None) -> Stream:
    """Opens a stream to a TCP address; raises OSError where that fails or takes too long."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            connected = Signal(loop)
            loop.on_writable(sock.fileno(), connected.set)
            in_time = connected.wait(timeout_s)
            loop.forget(sock.fileno())
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if in_time else errno.ETIMEDOUT
        if code:
            raise OSError(code, errno.errorcode.get(code, "connect"))  # noqa: TRY301 (the socket is closed below)
    except BaseException:
        sock.close()
        raise
    return Stream(loop, sock, activity=activity)


def listen(address: tuple[str, int]) -> socket.socket:
    """A listening socket at a TCP address; raises OSError where it cannot be bound."""
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
