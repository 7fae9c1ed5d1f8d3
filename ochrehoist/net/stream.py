"""A bounded, buffered socket. Reading waits; writing never does: what a peer is slow to take is kept."""

import errno
import socket
import time
from collections.abc import Callable

from ochrehoist.errors import OchrehoistError
from ochrehoist.net.loop import Loop, Signal, Timer

READ = 16384  # at once: what hundreds of connections have read and not yet used must fit in memory
MAX_UNSENT = 512 * 1024  # a peer that reads so slowly is cut off: it must not cost memory
BACKLOG = 1024  # connections that wait to be accepted
LINGER = 0.25  # s that a peer has to close its side once all is sent and ours is shut
MAX_DROPPED = 256 * 1024  # of what still comes then; from there on it is not even read


class ConnectionClosedError(OchrehoistError):
    """The connection has ended, or was ended by us."""


class StreamTimeoutError(OchrehoistError):
    """The peer took too long."""


class Stream:
    def __init__(self, loop: Loop, sock: socket.socket, max_unsent: int = MAX_UNSENT) -> None:
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop, self.sock, self.fd, self.max_unsent = loop, sock, sock.fileno(), max_unsent
        self.buffer = bytearray()
        self.unsent = bytearray()
        self.ended = False  # no more will be read
        self.closed = False
        self.closing = False  # closes once all is sent
        self.shut = False  # all is sent, and the peer was told that no more comes
        self.dropping, self.dropped = False, 0  # bytes are read for nobody, and how many were
        self.lingering: Timer | None = None
        self.heard_at = time.monotonic()  # when bytes came last, or it was opened
        self.arrived = Signal(loop)
        self.wants_input = False
        self.on_close: Callable[[], None] | None = None

    @property
    def peer(self) -> str:
        """The address of the other side; empty once it is not known any more."""
        try:
            return self.sock.getpeername()[0]
        except OSError:
            return ""

    # ---- reading
    def fill(self, timeout: float | None = None) -> None:
        """Waits for more bytes, or raises Closed or TimedOut."""
        had, until = len(self.buffer), None if timeout is None else time.monotonic() + timeout
        while len(self.buffer) == had:
            if self.ended:
                raise ConnectionClosedError
            self._want_input()
            if (
                not self.arrived.wait(None if until is None else until - time.monotonic())
                and until is not None
                and time.monotonic() >= until
            ):
                if not self.look() and not self.ended:
                    raise StreamTimeoutError

    def watch(self, done: Callable[[], bool], timeout: float | None = None) -> None:
        """Waits until done() holds (checked at each `arrived`, and as time is up), more comes or it ends."""
        had = len(self.buffer)
        while not done() and not self.ended and len(self.buffer) == had:
            self._want_input()
            self.arrived.wait(timeout)

    def _want_input(self) -> None:
        if not self.wants_input and not self.ended:
            self.wants_input = True
            self.loop.on_readable(self.fd, self._readable)

    def _readable(self) -> None:
        try:
            data = self.sock.recv(READ)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        # One read a wait: the peer's own buffer bounds what a fast sender can pile up here.
        self.wants_input = False
        self.loop.on_readable(self.fd, None)
        self.buffer += data
        self.ended = not data
        self.heard_at = time.monotonic()
        self.arrived.set()

    def look(self) -> bool:
        """Takes off the socket what a busy loop has not come to yet; whether something was there."""
        had = len(self.buffer)
        if self.wants_input and not self.ended:
            self._readable()
        return len(self.buffer) > had

    def take(self, count: int, timeout: float | None = None) -> bytes:
        """So many bytes; the time is for all of them, or a peer could send one now and then for ever."""
        until = None if timeout is None else time.monotonic() + timeout
        while len(self.buffer) < count:
            self.fill(None if until is None else until - time.monotonic())
        data = bytes(self.buffer[:count])
        del self.buffer[:count]
        return data

    def take_line(self, limit: int, timeout: float | None = None) -> bytes:
        """A line without its end; one longer than the limit ends the connection."""
        start, until = 0, None if timeout is None else time.monotonic() + timeout
        while (at := self.buffer.find(b"\n", start)) < 0:
            start = len(self.buffer)
            if start > limit:
                raise ConnectionClosedError
            self.fill(None if until is None else until - time.monotonic())
        line = bytes(self.buffer[:at])
        del self.buffer[: at + 1]
        return line.rstrip(b"\r")

    # ---- writing
    def write(self, data: bytes) -> None:
        if self.closed or self.closing:
            return
        if not self.unsent:
            try:
                data = data[self.sock.send(data) :]
            except (BlockingIOError, InterruptedError):
                pass
            except OSError:
                return self.close()
            if not data:
                return
            self.loop.on_writable(self.fd, self._writable)
        self.unsent += data
        if len(self.unsent) > self.max_unsent:
            self.close()

    def _writable(self) -> None:
        try:
            del self.unsent[: self.sock.send(self.unsent)]
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            return self.close()
        if not self.unsent:
            self.loop.on_writable(self.fd, None)
            if self.closing:
                self._shut()

    # ---- ending
    def discard(self) -> None:
        """Reads for nobody any more: what still comes is dropped, for unread bytes would turn a close into a
        reset, and with it go answers that the peer has not taken."""
        if self.closed or self.dropping:
            return
        left = self.ended  # its end may have been read already
        self.dropping = self.ended = True
        self.buffer.clear()
        self.arrived.set()
        if not left:
            self.loop.on_readable(self.fd, self._drop)

    def _drop(self) -> None:
        try:
            data = self.sock.recv(READ)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            return self.close()
        self.dropped += len(data)
        if not data and not self.unsent:
            self.close()  # the peer has gone
        elif not data or self.dropped > MAX_DROPPED:
            self.loop.on_readable(self.fd, None)

    def close_when_sent(self) -> None:
        """Reads no more, sends what is left, and closes once the peer has, or has had its time for it."""
        if self.closed or self.closing:
            return
        self.closing = True
        self.discard()
        if not self.unsent:
            self._shut()

    def _shut(self) -> None:
        self.shut = True
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return self.close()
        self.lingering = self.loop.call_later(LINGER, self.close)
        self._drop()  # most often its end is here already

    def close(self) -> None:
        if self.closed:
            return
        self.closed = self.ended = True
        if self.lingering is not None:
            self.lingering.cancel()
        self.loop.forget(self.fd)
        self.sock.close()
        self.arrived.set()
        if self.on_close is not None:
            self.on_close()


def connect(loop: Loop, address: tuple[str, int], timeout: float) -> Stream:
    """A stream to a TCP address, or OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            done = Signal(loop)
            loop.on_writable(sock.fileno(), done.set)
            in_time = done.wait(timeout)
            loop.forget(sock.fileno())
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if in_time else errno.ETIMEDOUT
        if code:
            raise OSError(code, errno.errorcode.get(code, "connect"))
    except BaseException:
        sock.close()
        raise
    return Stream(loop, sock)


def listen(address: tuple[str, int]) -> socket.socket:
    """A listening socket at a TCP address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
        sock.listen(BACKLOG)
    except BaseException:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
