"""A listening socket that stays under the descriptor limit."""

import errno
import socket
import time
from collections.abc import Callable
from typing import Any

from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import BACKLOG, ConnectionClosedError, Stream, StreamTimeoutError, listen

PAUSE = 0.05  # s without accepting when no descriptor is to be had


class Pace:
    """How fast a connection is read that was never served: no flood may take the processor from others."""

    rate, burst = 100.0, 100.0  # requests a second, and at once

    def __init__(self, loop: Loop) -> None:
        self.loop, self.left, self.at = loop, self.burst, time.monotonic()

    def keep(self) -> None:
        """Called after each request; waits where they come too fast."""
        now = time.monotonic()
        self.left = min(self.burst, self.left + (now - self.at) * self.rate) - 1
        self.at = now
        if self.left < 0:
            self.loop.sleep(1 / self.rate)


def close_least(spare: list[Any], missed: Callable[[Any], Any], stream: Callable[[Any], Stream]) -> bool:
    """Closes the one that is missed least, but none on which something has come in this very moment; whether
    it did."""
    while spare:
        least = min(spare, key=missed)
        if stream(least).shut or not stream(least).look():
            stream(least).close()
            return True
        spare.remove(least)
    return False


def no_room() -> bool:
    return False


class Listening:
    """Accepts once it is started. A socket that is given listens already, perhaps for other processes too.

    `make_room` closes a connection that can be spared, where there is one, and says whether it did.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        accepted: Callable[[socket.socket], Callable[[], None]],
        limit: int,
        log: Any,
        sock: socket.socket | None = None,
        make_room: Callable[[], bool] = no_room,
    ) -> None:
        self.loop, self.accepted, self.limit, self.log = loop, accepted, limit, log
        self.make_room, self.retrying = make_room, False
        self.sock = listen(address) if sock is None else sock
        self.sock.setblocking(False)
        self.count, self.started = 0, False
        self.stopping = False  # as soon as all that has connected is accepted,
        self.left = BACKLOG  # which is so many at the most
        self.stopped = False

    @property
    def address(self) -> tuple[str, int]:
        return self.sock.getsockname()

    def full(self) -> bool:
        return self.count >= self.limit

    def start(self) -> None:
        self.started = True
        self._resume()

    def set_limit(self, limit: int) -> None:
        self.limit = limit
        self._resume()

    def _resume(self) -> None:
        if self.started and not self.stopped and not self.full():
            self.loop.on_readable(self.sock.fileno(), self._accept)

    def _accept(self) -> None:
        while not self.full() and not self.stopped:
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                if self.stopping:
                    self._end()
                return
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.log.warning("no descriptor for a new connection")
                    self.make_room()
                    self.loop.on_readable(self.sock.fileno(), None)
                    self.loop.call_later(PAUSE, self._resume)
                    return
                continue  # the peer left before it was accepted
            self.count += 1
            self.loop.spawn(self.accepted(sock))
            if self.stopping:
                self.left -= 1
                if not self.left:
                    return self._end()
            if self.full():
                self.make_room()
        if self.stopped:
            return
        # At the limit, with none to spare: the rest wait to be accepted until one closes or falls idle.
        self.loop.on_readable(self.sock.fileno(), None)
        if not self.retrying:
            self.retrying = True
            self.loop.call_later(PAUSE, self._retry)

    def _retry(self) -> None:
        self.retrying = False
        if not self.stopped and self.full() and not self.make_room():
            self.retrying = True
            self.loop.call_later(PAUSE, self._retry)

    def closed(self) -> None:
        self.count -= 1
        if self.stopping and not self.stopped:
            self._accept()
        else:
            self._resume()

    def stop(self, leave_queue: bool = False) -> None:
        """Takes what has already connected, or leaves it to another process, then lets go of the port.

        What waits in the queue may have sent a request, which would be lost with the queue: where there is no
        room for all of it now, the port is let go once there was. The socket is closed, never shut down:
        others may listen on it.
        """
        if self.stopped:
            return
        self.stopping = True
        if self.started and not leave_queue:
            self._accept()
        else:
            self._end()

    def _end(self) -> None:
        self.stopped = True
        self.loop.forget(self.sock.fileno())
        self.sock.close()


class Service:
    """Something small that listens: each connection gets `serve`, and is closed when that ends."""

    max_open = 16  # at once: a flood of them must not take the descriptors of requests

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        log: Any,
        sock: socket.socket | None = None,
        make_room: Callable[[], bool] = no_room,
    ) -> None:
        self.loop, self.log = loop, log
        self.listening = Listening(loop, address, self._accepted, self.max_open, log, sock, make_room)

    def _accepted(self, sock: socket.socket) -> Callable[[], None]:
        stream = Stream(self.loop, sock)
        self.opened(stream)

        def closed() -> None:
            self.ended(stream)
            self.listening.closed()

        stream.on_close = closed
        return lambda: self._run(stream)

    def opened(self, stream: Stream) -> None:
        pass

    def ended(self, stream: Stream) -> None:
        pass

    def _run(self, stream: Stream) -> None:
        try:
            self.serve(stream)
        except (ConnectionClosedError, StreamTimeoutError):
            pass
        finally:
            stream.close_when_sent()

    def serve(self, stream: Stream) -> None:
        raise NotImplementedError
