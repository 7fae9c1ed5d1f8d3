"""Acceptance of connections up to a limit, eviction, request pacing, and a base class for small servers."""

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

# The interval of retries while file descriptors are exhausted or no connection can be evicted.
ACCEPT_RETRY_S = 0.05
MAX_ACCEPTING_S = 0.005  # at one go; the rest is accepted in the next iteration of the loop
RESOURCE_EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

ConnectionT = TypeVar("ConnectionT")


class RequestPacer:
    """A token bucket that limits how fast requests are read from a connection that was never served.

    It keeps a flood of invalid or rejected requests from starving other connections of processor time.
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
        """Whether requests arrive faster than the allowed rate."""
        return self._tokens < 0

    def request_read(self) -> None:
        """Takes a token for a request that was read; sleeps if the rate is exceeded."""
        now_s = time.monotonic()
        refilled = self._tokens + (now_s - self._refilled_at_s) * self.RATE_PER_S
        self._tokens = min(self.BURST, refilled) - 1
        self._refilled_at_s = now_s
        if self._tokens < 0:
            self._loop.sleep(1 / self.RATE_PER_S)


def evict_lowest_ranked(
    candidates: list[ConnectionT],
    eviction_rank: Callable[[ConnectionT], tuple[float, ...]],
    get_stream: Callable[[ConnectionT], Stream],
) -> bool:
    """Closes the candidate with the lowest rank that has no unread input, or is closing already.

    Returns:
        Whether one was closed. Candidates with unread input are removed from `candidates`.
    """
    while candidates:
        candidate = min(candidates, key=eviction_rank)
        stream = get_stream(candidate)
        if stream.half_closed or not stream.read_available():
            stream.close()
            return True
        candidates.remove(candidate)
    return False


def evict_none() -> bool:
    """Evicts nothing: the default of an Acceptor."""
    return False


class Acceptor:
    """A listener that accepts connections at one address, up to a limit, once it is started.

    Attributes:
        sock: The listening socket; other processes may share it.
        limit: Maximum number of open connections.
        stopped: Whether the listening socket is closed.
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
            loop: The event loop.
            address: Host and port to listen on.
            accept: Called with each new socket; returns the function that the connection's task runs.
            limit: Maximum number of open connections.
            log: The log of the worker.
            sock: A socket that is listening already; the address is then not bound.
            evict: Closes a connection that can be evicted; returns whether there was one.

        Raises:
            OSError: The address cannot be bound.
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
        self._stopping = False  # accepts only the pending connections, then closes the socket
        self._remaining_backlog = LISTEN_BACKLOG  # upper bound of the connections pending when stopping

    @property
    def address(self) -> tuple[str, int]:
        """The host and port that the socket is bound to."""
        address: tuple[str, int] = self.sock.getsockname()
        return address

    def start(self) -> None:
        """Starts accepting connections."""
        self._started = True
        self._resume()

    def set_limit(self, limit: int) -> None:
        """Changes the limit; connections that exceed a lower one stay open."""
        self.limit = limit
        self._resume()

    def connection_closed(self) -> None:
        """Frees a connection's slot; must be called once for each accepted connection that has closed."""
        self._open_count -= 1
        if self._stopping and not self.stopped:
            self._accept_pending()
        else:
            self._resume()

    def stop(self, leave_backlog: bool = False) -> None:
        """Accepts the pending connections, unless `leave_backlog`, then closes the listening socket.

        A connection in the backlog may have sent a request already, which a close would lose. At the
        connection limit, the socket therefore stays open until all of the backlog could be accepted. With
        `leave_backlog` another process accepts it. The socket is never shut down, since other processes may
        share it.
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
        """Accepts what is pending, for MAX_ACCEPTING_S at most unless the socket is to be closed."""
        started_s = time.monotonic()
        while not self._is_full() and not self.stopped:
            if not self._stopping and time.monotonic() - started_s > MAX_ACCEPTING_S:
                return  # the socket stays readable
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                if self._stopping:
                    self._close()
                return
            except OSError as error:
                if error.errno in RESOURCE_EXHAUSTION_ERRNOS:
                    self._wait_for_resources(error)
                    return
                continue  # the peer disconnected before it was accepted
            self._accepted(sock)
        if not self.stopped:
            self._wait_for_room()

    def _accepted(self, sock: socket.socket) -> None:
        try:
            run_connection = self._accept(sock)
        except Exception:  # only this connection is lost, and uses up no slot
            self._log.exception("connection_not_accepted")
            sock.close()
            return
        self._open_count += 1
        self._loop.spawn(run_connection)
        if self._stopping:
            self._remaining_backlog -= 1
            if not self._remaining_backlog:
                self._close()
                return
        if self._is_full():
            self._try_to_evict()

    def _wait_for_resources(self, error: OSError) -> None:
        self._log.warning("descriptors_exhausted", error=str(error))
        self._try_to_evict()
        self._loop.on_readable(self.sock.fileno(), None)
        self._loop.call_later(ACCEPT_RETRY_S, self._resume)

    def _wait_for_room(self) -> None:
        """Pauses accepting until a connection closes or can be evicted."""
        self._loop.on_readable(self.sock.fileno(), None)
        if not self._retry_pending:
            self._retry_pending = True
            self._loop.call_later(ACCEPT_RETRY_S, self._retry_eviction)

    def _retry_eviction(self) -> None:
        self._retry_pending = False
        if not self.stopped and self._is_full() and not self._try_to_evict():
            self._retry_pending = True
            self._loop.call_later(ACCEPT_RETRY_S, self._retry_eviction)

    def _try_to_evict(self) -> bool:
        """Returns whether a connection was closed to make room; a fault must not end accepting for good."""
        try:
            return self._evict()
        except Exception:
            self._log.exception("eviction_fault")
            return False

    def _close(self) -> None:
        self.stopped = True
        self._loop.unwatch(self.sock.fileno())
        self.sock.close()


class BaseServer(ABC):
    """A small server that runs `handle` in a task for each connection, and closes it when that returns."""

    LISTENER_NAME: str  # the name in the log and on the handover link
    MAX_CONNECTIONS = 16  # keeps a flood from exhausting the descriptors that requests need

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        log: Logger,
        sock: socket.socket | None = None,
        evict: Callable[[], bool] = evict_none,
    ) -> None:
        """Binds the address, unless `sock` is given; raises OSError if that fails."""
        self.loop = loop
        self.log = log
        self.acceptor = Acceptor(loop, address, self._accept, self.MAX_CONNECTIONS, log, sock, evict)

    @abstractmethod
    def handle(self, stream: Stream) -> None:
        """Serves one connection; may let ConnectionClosedError and StreamTimeoutError propagate."""

    def connection_opened(self, stream: Stream) -> None:  # noqa: B027 (a hook)
        """Is called before `handle`."""

    def connection_closed(self, stream: Stream) -> None:  # noqa: B027 (a hook)
        """Is called once the stream is closed."""

    def _accept(self, sock: socket.socket) -> Callable[[], None]:
        stream = Stream(self.loop, sock)
        self.connection_opened(stream)

        def on_close() -> None:
            """Frees the connection's slot."""
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
