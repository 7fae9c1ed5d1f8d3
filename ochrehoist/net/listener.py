"""Accepting connections under a limit, and small servers on top of it."""

from __future__ import annotations

import errno
import socket
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import (
    LISTEN_BACKLOG,
    ConnectionClosedError,
    Stream,
    StreamTimeoutError,
    listen,
)

if TYPE_CHECKING:
    from ochrehoist.core.protocols import Logger

ACCEPT_RETRY_S = 0.05  # while no descriptor is free, or no connection can be evicted
OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

ConnectionT = TypeVar("ConnectionT")


class RequestPacer:
    """A token bucket for the requests of a connection that was never served.

    No flood may take the processor from other connections.
    """

    RATE_PER_S = 100.0
    BURST = 100.0

    __slots__ = ("_loop", "_refilled_at_s", "_tokens")

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._tokens = self.BURST
        self._refilled_at_s = time.monotonic()

    @property
    def exceeded(self) -> bool:
        """Whether requests arrive faster than they are read."""
        return self._tokens < 0

    def request_read(self) -> None:
        """To be called after each request; sleeps where they arrive too fast."""
        now_s = time.monotonic()
        refilled = self._tokens + (now_s - self._refilled_at_s) * self.RATE_PER_S
        self._tokens = min(self.BURST, refilled) - 1
        self._refilled_at_s = now_s
        if self._tokens < 0:
            self._loop.sleep(1 / self.RATE_PER_S)


def evict_one(
    candidates: list[ConnectionT],
    eviction_rank: Callable[[ConnectionT], tuple[float, ...]],
    stream_of: Callable[[ConnectionT], Stream],
) -> bool:
    """Closes the candidate with the lowest rank on which nothing has arrived at this moment.

    Returns:
        Whether one was closed. `candidates` is used up.
    """
    while candidates:
        candidate = min(candidates, key=eviction_rank)
        stream = stream_of(candidate)
        if stream.half_closed or not stream.read_available():
            stream.close()
            return True
        candidates.remove(candidate)
    return False


def evict_none() -> bool:
    """No connection can be spared."""
    return False


class Acceptor:
    """Accepts connections at one address, up to a limit, once it is started.

    Attributes:
        sock: The listening socket; other processes may listen on it too.
        limit: Connections that may be open at once.
        stopped: The socket is closed.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        accept: Callable[[socket.socket], Callable[[], None]],
        limit: int,
        log: Logger,
        sock: socket.socket | None = None,
        evict: Callable[[], bool] = evict_none,
    ) -> None:
        """Binds the address.

        Args:
            loop: that it runs on.
            address: to listen at.
            accept: called with each new socket; returns the function that the connection's task runs.
            limit: connections that may be open at once.
            log: of the worker.
            sock: a socket that listens already; the address is then not bound.
            evict: closes a connection that can be spared; returns whether there was one.

        Raises:
            OSError: the address can't be bound.
        """
        self.limit = limit
        self.sock = listen(address) if sock is None else sock
        self.sock.setblocking(False)
        self.stopped = False
        self._loop = loop
        self._accept = accept
        self._log = log
        self._evict = evict
        self._open_count = 0
        self._started = False
        self._retry_pending = False
        self._stopping = False  # as soon as all that has connected is accepted,
        self._backlog_left = LISTEN_BACKLOG  # which is so many at the most

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that it is bound to."""
        address: tuple[str, int] = self.sock.getsockname()
        return address

    def start(self) -> None:
        """Accepts from now on."""
        self._started = True
        self._resume()

    def set_limit(self, limit: int) -> None:
        """Takes a new limit; what is open beyond it stays open."""
        self.limit = limit
        self._resume()

    def connection_closed(self) -> None:
        """To be called once for each accepted connection that has closed."""
        self._open_count -= 1
        if self._stopping and not self.stopped:
            self._accept_pending()
        else:
            self._resume()

    def stop(self, leave_backlog: bool = False) -> None:
        """Accepts what has already connected, or leaves it to another process, then frees the port.

        What waits in the backlog may have sent a request, which would be lost with it: where there is no room
        for all of it now, the port is freed once there was. The socket is closed, never shut down: others may
        listen on it.
        """
        if self.stopped:
            return
        self._stopping = True
        if self._started and not leave_backlog:
            self._accept_pending()
        else:
            self._close()

    def _is_full(self) -> bool:
        return self._open_count >= self.limit

    def _resume(self) -> None:
        if self._started and not self.stopped and not self._is_full():
            self._loop.on_readable(self.sock.fileno(), self._accept_pending)

    def _accept_pending(self) -> None:
        while not self._is_full() and not self.stopped:
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                if self._stopping:
                    self._close()
                return
            except OSError as error:
                if error.errno in OUT_OF_RESOURCES:
                    self._wait_for_resources(error)
                    return
                continue  # the peer left before it was accepted
            self._accepted(sock)
        if not self.stopped:
            self._wait_for_room()

    def _accepted(self, sock: socket.socket) -> None:
        self._open_count += 1
        self._loop.spawn(self._accept(sock))
        if self._stopping:
            self._backlog_left -= 1
            if not self._backlog_left:
                self._close()
                return
        if self._is_full():
            self._evict()

    def _wait_for_resources(self, error: OSError) -> None:
        self._log.warning("descriptors_exhausted", error=str(error))
        self._evict()
        self._loop.on_readable(self.sock.fileno(), None)
        self._loop.call_later(ACCEPT_RETRY_S, self._resume)

    def _wait_for_room(self) -> None:
        """At the limit, with none to spare: the rest wait until a connection closes or can be evicted."""
        self._loop.on_readable(self.sock.fileno(), None)
        if not self._retry_pending:
            self._retry_pending = True
            self._loop.call_later(ACCEPT_RETRY_S, self._retry_eviction)

    def _retry_eviction(self) -> None:
        self._retry_pending = False
        if not self.stopped and self._is_full() and not self._evict():
            self._retry_pending = True
            self._loop.call_later(ACCEPT_RETRY_S, self._retry_eviction)

    def _close(self) -> None:
        self.stopped = True
        self._loop.forget(self.sock.fileno())
        self.sock.close()


class BaseServer(ABC):
    """A small server: a task runs `handle` for each connection, which is closed when that returns."""

    PART_NAME: str  # in the log and on the handover link
    MAX_CONNECTIONS = 16  # at once: a flood of them must not take the descriptors of requests

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        log: Logger,
        sock: socket.socket | None = None,
        evict: Callable[[], bool] = evict_none,
    ) -> None:
        """Binds the address, as Acceptor does."""
        self.loop = loop
        self.log = log
        self.acceptor = Acceptor(loop, address, self._accept, self.MAX_CONNECTIONS, log, sock, evict)

    @abstractmethod
    def handle(self, stream: Stream) -> None:
        """Serves one connection; the errors of Stream end it."""

    def connection_opened(self, stream: Stream) -> None:  # noqa: B027 (a hook)
        """Called before `handle`."""

    def connection_closed(self, stream: Stream) -> None:  # noqa: B027 (a hook)
        """Called once the stream is closed."""

    def _accept(self, sock: socket.socket) -> Callable[[], None]:
        stream = Stream(self.loop, sock)
        self.connection_opened(stream)

        def on_close() -> None:
            """Gives its place back."""
            self.connection_closed(stream)
            self.acceptor.connection_closed()

        stream.call_on_close(on_close)
        return lambda: self._run(stream)

    def _run(self, stream: Stream) -> None:
        try:
            self.handle(stream)
        except (ConnectionClosedError, StreamTimeoutError):
            pass
        finally:
            stream.close_when_sent()
