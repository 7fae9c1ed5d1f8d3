"""Reports to the membership service: often enough that an entry never lapses; an outage holds up nothing.

A report counts once it has come whole and is answered. Its age is counted from when it was written, and an
answer that stays out is no reason to report more often: the next goes out when it is due, on a new link. The
link of one that may be answered late is kept for it: a service that found it closed might not count it.
"""

import json
import time
from collections.abc import Callable
from typing import Any

from ochrehoist.core.actor import CoreActor
from ochrehoist.net.loop import Loop, Signal
from ochrehoist.net.stream import ConnectionClosedError, Stream, connect

EVERY = 0.8  # s from one report to the next; an entry lapses after 3
RETRY = 0.2  # s between tries while the service is out of reach
CONNECT = 0.4  # s for a connection
LATE = 2.4  # s for which the link of a report without an answer is kept: that comes to three links
UNANSWERED = 5  # reports in a row without an answer that are worth a line in the log
MAX_ANSWER = 8192


class Members:
    """A Listener of the core: a change of health is reported at once."""

    def __init__(self, loop: Loop, owner: CoreActor, address: tuple[str, int], name: str, log: Any) -> None:
        self.loop, self.owner, self.address, self.name, self.log = loop, owner, address, name, log
        self.changed = Signal(loop)  # of health or address, and whenever an answer comes
        self.stream: Stream | None = None
        self.late: list[tuple[Stream, str, float]] = []  # what it said whose answer is late, and since when
        self.reachable: bool | None = None
        self.unanswered = 0
        self.stopped = False

    def stop(self) -> None:
        """Says no more: another process of this worker reports now."""
        self.stopped = True
        self._close()
        self._let_go(lambda *_: False)
        self.changed.set()

    def run(self) -> None:
        while not self.stopped:
            address, phase, pause, written = self.address, self._phase(), RETRY, time.monotonic()
            try:
                stream = self._connection(phase)
                written = time.monotonic()
                stream.write(self._report(phase))
                status = self._answer(stream, phase, written + EVERY)
                self.unanswered = self.unanswered + 1 if status is None else 0
                good, why = status == 204 or (status is None and self.unanswered < UNANSWERED), status
                if status is None:
                    stream.discard()
                    self.late.append((stream, phase, written))
                    self.stream = None
                if status in (204, None):
                    pause = EVERY
            except (OSError, ConnectionClosedError, ValueError, IndexError) as error:
                status, good, why = 0, False, repr(error)
            if status != 204:
                self._close()
            if self.stopped:
                return self.stop()
            if address == self.address and good is not self.reachable:
                self.reachable = good
                self.log.info("membership reports", accepted=good, **({} if good else {"why": why}))
            while (
                not self.stopped
                and address == self.address
                and phase == self._phase()
                and (left := written + pause - time.monotonic()) > 0
            ):
                self.changed.wait(left)

    def _phase(self) -> str:
        return "UP" if self.owner.healthy else "OUT"

    def _close(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def _let_go(self, keep: Callable[[str, float], bool]) -> None:
        """Closes the links of late answers that are not worth a wait any more."""
        for entry in [e for e in self.late if e[0].closed or not keep(*e[1:])]:
            self.late.remove(entry)
            entry[0].close()

    def _connection(self, phase: str) -> Stream:
        # One of another phase must not be counted behind the new one.
        self._let_go(lambda said, since: said == phase and time.monotonic() - since < LATE)
        if self.stream is None or self.stream.ended:
            self._close()
            address = self.address
            stream = connect(self.loop, address, CONNECT)
            if address != self.address or self.stopped:  # moved while the connection was being made
                stream.close()
                raise ConnectionClosedError
            stream.arrived = self.changed  # one wait for an answer and for a change
            self.stream = stream
        return self.stream

    def _report(self, phase: str) -> bytes:
        body = json.dumps({"phase": phase}, separators=(",", ":")).encode()
        host = f"{self.address[0]}:{self.address[1]}"
        return (
            f"PUT /members/{self.name} HTTP/1.1\r\nHost: {host}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def _answer(self, stream: Stream, phase: str, until: float) -> int | None:
        """The status; None where it is not here by the time that the next report is due or has changed."""
        while (status := self._status(stream)) is None:
            if stream.ended or len(stream.buffer) > MAX_ANSWER:
                raise ConnectionClosedError
            if time.monotonic() >= until or phase != self._phase():
                break
            stream.watch(
                lambda: time.monotonic() >= until or phase != self._phase(), until - time.monotonic()
            )
        return status

    def _status(self, stream: Stream) -> int | None:
        """Takes one whole answer out of what has come, if there is one."""
        head, end, _ = stream.buffer.partition(b"\r\n\r\n")
        if not end:
            return None
        lines, length, keep = bytes(head).split(b"\r\n"), 0, True
        for line in lines[1:]:
            name, _, value = line.lower().partition(b":")
            if name == b"content-length":
                length = max(0, int(value))
            elif name == b"connection" and value.strip() == b"close":
                keep = False
        if len(stream.buffer) < len(head) + len(end) + length:
            return None
        del stream.buffer[: len(head) + len(end) + length]
        if not keep:
            self._close()
        return int(lines[0].split(b" ")[1])

    def move(self, address: tuple[str, int]) -> None:
        """The service is reached at another address from now on: it is reported to at once."""
        if address != self.address:
            self.address = address
            self._let_go(lambda *_: False)
            if self.stream is not None:
                self.stream.close()
            self.changed.set()

    def health_changed(self, good: bool) -> None:
        self.changed.set()

    def idle_timeout_changed(self, hold_for: int) -> None:
        pass

    def shutdown_started(self, remaining: int) -> None:
        self.changed.set()
