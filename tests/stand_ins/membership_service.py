"""The platform's membership service, to which workers report their phase over HTTP."""

import json
import queue
import socket
from typing import NamedTuple

from tests.stand_ins.sockets import ByteAtATimeSocket, LoopbackServer
from tests.support.environment import WAIT_LIMIT_S


class PhaseReport(NamedTuple):
    """What a worker reported: the path that it asked for, and its phase."""

    path: str
    phase: str


def read_report(lines, request_line: bytes) -> PhaseReport:
    """The rest of a report whose first line was read."""
    length = 0
    while (header := lines.readline().strip().lower()) != b"":
        if header.startswith(b"content-length:"):
            length = int(header[15:])
    body = json.loads(lines.read(length))
    return PhaseReport(request_line.split()[1].decode(), body["phase"])


class MembershipService(LoopbackServer):
    """Takes reports, and acknowledges them while `answers` is set."""

    def __init__(self) -> None:
        self.reports: queue.Queue[PhaseReport] = queue.Queue()
        self.answers = True
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        """Reads the reports of one connection."""
        lines = sock.makefile("rb")
        while line := lines.readline():
            self.reports.put(read_report(lines, line))
            if self.answers:
                ByteAtATimeSocket(sock).sendall(b"HTTP/1.1 204 No Content\r\n\r\n")

    def wait_for(self, phase: str) -> PhaseReport:
        """Waits for a report of that phase."""
        while (report := self.reports.get(timeout=WAIT_LIMIT_S)).phase != phase:
            pass
        return report
