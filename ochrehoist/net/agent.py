"""What balancers ask about this worker: HAProxy's agent-check lines, and health by HTTP GET."""

import socket
import time
from typing import Any

from ochrehoist.core.owner import Owner
from ochrehoist.net.listener import Service
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import Closed, Stream

PATIENCE = 2.0  # s for a whole question
MAX_LINE = 4096
MAX_LINES = 100


def agent_line(owner: Owner) -> bytes:
    """The state as HAProxy reads it. The module's Health decides, and its advice the weight, if any."""
    if owner.leave_at is not None:
        return b"drain\n"
    if not owner.healthy:
        return b"down\n"
    return b"up %d%%\n" % owner.weight


class AgentCheck(Service):
    """Says one line to whoever connects, and closes. What the checker may send first is passed over."""

    def __init__(self, loop: Loop, owner: Owner, address: tuple[str, int], log: Any) -> None:
        self.owner = owner
        super().__init__(loop, address, log)

    def serve(self, stream: Stream) -> None:
        stream.write(agent_line(self.owner))
        if not stream.closed:
            # A close with unread input would reset the connection under our answer.
            stream.sock.shutdown(socket.SHUT_WR)
        until = time.monotonic() + PATIENCE
        while True:
            stream.fill(until - time.monotonic())
            stream.buffer.clear()


class HttpHealth(Service):
    """GET or HEAD of any path: 200 while the module says good, 503 else."""

    def __init__(self, loop: Loop, owner: Owner, address: tuple[str, int], log: Any) -> None:
        self.owner = owner
        super().__init__(loop, address, log)

    def serve(self, stream: Stream) -> None:
        keep = True
        while keep:
            until = time.monotonic() + PATIENCE  # for the whole question, however many lines it has
            method, _, rest = stream.take_line(MAX_LINE, PATIENCE).partition(b" ")
            keep = rest.endswith(b"HTTP/1.1")
            for _ in range(MAX_LINES):
                line = stream.take_line(MAX_LINE, until - time.monotonic()).lower()
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
