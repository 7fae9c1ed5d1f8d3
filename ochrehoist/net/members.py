"""Reports to the membership service: often enough that an entry never lapses; an outage holds up nothing."""

import json
from typing import Any

from ochrehoist.core.owner import Owner
from ochrehoist.net.loop import Loop, Signal
from ochrehoist.net.stream import Closed, Stream, TimedOut, connect

EVERY = 0.8  # s between reports; an entry lapses after 3
RETRY = 0.2  # s between tries while the service is out of reach
PATIENCE = 0.7  # s for a connection, and for an answer
MAX_LINE = 8192


class Members:
    """A Listener of the core: a change of health is reported at once."""

    def __init__(self, loop: Loop, owner: Owner, address: tuple[str, int], name: str, log: Any) -> None:
        self.loop, self.owner, self.address, self.name, self.log = loop, owner, address, name, log
        self.changed = Signal(loop)
        self.stream: Stream | None = None
        self.reachable: bool | None = None

    def run(self) -> None:
        while True:
            try:
                status = self._report("UP" if self.owner.healthy else "OUT")
                good, why = status == 204, f"status {status}"
            except (OSError, Closed, TimedOut, ValueError, IndexError) as error:
                good, why = False, repr(error)
            if not good and self.stream is not None:
                self.stream.close()
                self.stream = None
            if good is not self.reachable:
                self.reachable = good
                self.log.info("membership reports", accepted=good, **({} if good else {"why": why}))
            self.changed.wait(EVERY if good else RETRY)

    def _report(self, phase: str) -> int:
        if self.stream is None or self.stream.ended:
            if self.stream is not None:
                self.stream.close()
            self.stream = connect(self.loop, self.address, PATIENCE)
        body = json.dumps({"phase": phase}, separators=(",", ":")).encode()
        host = f"{self.address[0]}:{self.address[1]}"
        head = (f"PUT /members/{self.name} HTTP/1.1\r\nHost: {host}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n")
        self.stream.write(head.encode() + body)
        status = int(self.stream.take_line(MAX_LINE, PATIENCE).split(b" ")[1])
        length, keep = 0, True
        while line := self.stream.take_line(MAX_LINE, PATIENCE):
            name, _, value = line.lower().partition(b":")
            if name == b"content-length":
                length = min(int(value), MAX_LINE)
            elif name == b"connection" and value.strip() == b"close":
                keep = False
        self.stream.take(length, PATIENCE)
        if not keep:
            self.stream.close()
            self.stream = None
        return status

    def move(self, address: tuple[str, int]) -> None:
        """The service is reached at another address from now on: it is reported to at once."""
        if address != self.address:
            self.address = address
            if self.stream is not None:
                self.stream.close()
            self.changed.set()

    def health_changed(self, good: bool) -> None:
        self.changed.set()

    def keep_alive_changed(self, hold_for: int) -> None:
        pass

    def leaving(self, remaining: int) -> None:
        self.changed.set()
