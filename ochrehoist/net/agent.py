"""What balancers ask about this worker: HAProxy's agent-check lines, and health by HTTP GET."""

import socket
from collections.abc import Callable
from typing import Any

from ochrehoist.core.owner import Owner
from ochrehoist.net.listener import Listening
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import Closed, Stream, TimedOut

PATIENCE = 2.0  # s for a whole question
MAX_LINE = 4096
MAX_LINES = 100
MAX_OPEN = 16  # checks at once: a flood of them must not take the descriptors of requests


def agent_line(owner: Owner) -> bytes:
    """The state as HAProxy reads it. The module's Health decides, and its advice the weight, if any."""
    if owner.leave_at is not None:
        return b"drain\n"
    if not owner.healthy:
        return b"down\n"
    return b"up %d%%\n" % owner.weight


class AgentCheck:
    """Says one line to whoever connects, and closes. What the checker may send first is passed over."""

    def __init__(self, loop: Loop, owner: Owner, address: tuple[str, int], log: Any) -> None:
        self.loop, self.owner = loop, owner
        self.listening = Listening(loop, address, self._accepted, MAX_OPEN, log)

    def _accepted(self, sock: socket.socket) -> Callable[[], None]:
        stream = Stream(self.loop, sock)
        stream.on_close = self.listening.closed
        return lambda: self._answer(stream)

    def _answer(self, stream: Stream) -> None:
        stream.write(agent_line(self.owner))
        if not stream.closed:
            # A close with unread input would reset the connection under our answer.
            stream.sock.shutdown(socket.SHUT_WR)
        try:
            while True:
                stream.fill(PATIENCE)
                stream.buffer.clear()
        except (Closed, TimedOut):
            stream.close()


class HttpHealth:
    """GET or HEAD of any path: 200 while the module says good, 503 else."""

    def __init__(self, loop: Loop, owner: Owner, address: tuple[str, int], log: Any) -> None:
        self.loop, self.owner = loop, owner
        self.listening = Listening(loop, address, self._accepted, MAX_OPEN, log)

    def _accepted(self, sock: socket.socket) -> Callable[[], None]:
        stream = Stream(self.loop, sock)
        stream.on_close = self.listening.closed
        return lambda: self._serve(stream)

    def _serve(self, stream: Stream) -> None:
        try:
            while not stream.closing:
                method, _, rest = stream.take_line(MAX_LINE, PATIENCE).partition(b" ")
                keep = rest.endswith(b"HTTP/1.1")
                for _ in range(MAX_LINES):
                    line = stream.take_line(MAX_LINE, PATIENCE).lower()
                    if not line:
                        break
                    keep = keep and not (line.startswith(b"connection:") and b"close" in line)
                else:
                    raise Closed
                if method in (b"GET", b"HEAD"):
                    good = self.owner.healthy
                    status, text = (b"200 OK", b"up\n") if good else (b"503 Service Unavailable", b"down\n")
                else:  # what it may carry is not read: this connection ends here
                    status, text, keep = b"405 Method Not Allowed\r\nAllow: GET, HEAD", b"", False
                head = (b"HTTP/1.1 %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
                        b"Connection: %s\r\n\r\n")
                stream.write(head % (status, len(text), b"keep-alive" if keep else b"close")
                             + (b"" if method == b"HEAD" else text))
                if not keep:
                    stream.close_when_sent()
        except (Closed, TimedOut):
            stream.close()
