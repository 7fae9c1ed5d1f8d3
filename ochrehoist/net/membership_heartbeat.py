"""The client of the membership service: reports often enough that an entry never lapses.

An outage of the service holds up nothing. A report counts once it has arrived whole and is answered. Its age
is counted from when it was written, and a missing answer is no reason to report more often: the next report
goes out when it is due, on a new connection. The connection of a report that may be answered late is kept for
it: a service that found it closed might not count it.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from ochrehoist.core.actor import CoreActor
from ochrehoist.net.loop import Loop, Signal
from ochrehoist.net.stream import ConnectionClosedError, Stream, connect

if TYPE_CHECKING:
    from ochrehoist.core.protocols import Logger

REPORT_INTERVAL_S = 0.8  # an entry lapses after 3 s
RETRY_DELAY_S = 0.2  # between attempts while the service is out of reach
CONNECT_TIMEOUT_S = 0.4
LATE_ANSWER_S = 2.4  # for which the connection of an unanswered report is kept: that makes three connections
MAX_UNANSWERED = 5  # reports in a row without an answer that are not worth a line in the log
MAX_RESPONSE_BYTES = 8192
HEAD_END = b"\r\n\r\n"
STATUS_ACCEPTED = 204


class Phase(StrEnum):
    """What is reported; the values are those of the service."""

    UP = "UP"
    OUT = "OUT"


class LateReport(NamedTuple):
    """A report whose answer is late, and the connection that is kept for it."""

    stream: Stream
    phase: Phase
    written_at_s: float


class ReportResult(NamedTuple):
    """How a report ended; `status` is None where no answer has arrived yet, 0 where the report failed."""

    status: int | None
    written_at_s: float
    error: str = ""


class ResponseHead(NamedTuple):
    """What is needed of an HTTP response."""

    status: int
    size_bytes: int  # with the body
    keeps_alive: bool


def parse_response(data: bytes | bytearray) -> ResponseHead | None:
    """The head of a response that is here whole, with its body; None where it is not.

    Raises ValueError or IndexError where it is none.
    """
    head, end, _ = data.partition(HEAD_END)
    if not end:
        return None
    status_line, *fields = bytes(head).split(b"\r\n")
    body_bytes = 0
    keeps_alive = True
    for field in fields:
        name, _, value = field.lower().partition(b":")
        if name == b"content-length":
            body_bytes = max(0, int(value))
        elif name == b"connection" and value.strip() == b"close":
            keeps_alive = False
    size_bytes = len(head) + len(end) + body_bytes
    if len(data) < size_bytes:
        return None
    return ResponseHead(int(status_line.split(b" ")[1]), size_bytes, keeps_alive)


class MembershipHeartbeat:
    """Reports the worker's phase; a LifecycleListener of the core: a change of health is reported at once."""

    def __init__(self, loop: Loop, core: CoreActor, address: tuple[str, int], name: str, log: Logger) -> None:
        """Reports as `name` to the service at `address` once `run` is a task of the loop."""
        self._loop = loop
        self._core = core
        self._address = address
        self._name = name
        self._log = log
        self._changed = Signal(loop)  # of health or address, and whenever an answer arrives
        self._stream: Stream | None = None
        self._late_reports: list[LateReport] = []
        self._accepted: bool | None = None  # as it was logged
        self._unanswered_count = 0
        self._stopped = False

    # ---- for the application and the core
    def stop(self) -> None:
        """Reports no more: another process of this worker does from now on."""
        self._stopped = True
        self._close()
        self._drop_late_reports(lambda _: False)
        self._changed.set()

    def move(self, address: tuple[str, int]) -> None:
        """The service is at another address from now on: it is reported to at once."""
        if address == self._address:
            return
        self._address = address
        self._drop_late_reports(lambda _: False)
        if self._stream is not None:
            self._stream.close()
        self._changed.set()

    def health_changed(self, good: bool) -> None:  # noqa: ARG002 (of the LifecycleListener)
        """Reports at once."""
        self._changed.set()

    def idle_timeout_changed(self, idle_timeout_ns: int) -> None:
        """Concerns the fronts only."""

    def shutdown_started(self, remaining_ns: int) -> None:  # noqa: ARG002 (of the LifecycleListener)
        """Reports at once."""
        self._changed.set()

    # ---- the task
    def run(self) -> None:
        """A task: reports until `stop`."""
        while not self._stopped:
            address = self._address
            phase = self._phase()
            result = self._report(phase)
            if result.status != STATUS_ACCEPTED:
                self._close()
            if self._stopped:
                self.stop()  # also what was opened meanwhile
                return
            if address == self._address:
                self._log_change(result)
            is_sent = result.status in (STATUS_ACCEPTED, None)
            pause_s = REPORT_INTERVAL_S if is_sent else RETRY_DELAY_S
            self._wait_until_due(result.written_at_s + pause_s, address, phase)

    def _phase(self) -> Phase:
        return Phase.UP if self._core.healthy else Phase.OUT

    def _wait_until_due(self, due_s: float, address: tuple[str, int], phase: Phase) -> None:
        while not self._stopped and address == self._address and phase == self._phase():
            remaining_s = due_s - time.monotonic()
            if remaining_s <= 0:
                return
            self._changed.wait(remaining_s)

    def _report(self, phase: Phase) -> ReportResult:
        """Sends one report and waits for its answer, until the next report is due."""
        written_at_s = time.monotonic()
        try:
            stream = self._connection(phase)
            written_at_s = time.monotonic()
            stream.write(self._encode(phase))
            status = self._wait_for_status(stream, phase, written_at_s + REPORT_INTERVAL_S)
        except (OSError, ConnectionClosedError, ValueError, IndexError) as error:
            return ReportResult(0, written_at_s, repr(error))
        if status is None:
            stream.discard_input()
            self._late_reports.append(LateReport(stream, phase, written_at_s))
            self._stream = None
        self._unanswered_count = 0 if status is not None else self._unanswered_count + 1
        return ReportResult(status, written_at_s)

    def _log_change(self, result: ReportResult) -> None:
        if result.status is None:
            accepted = self._unanswered_count < MAX_UNANSWERED
        else:
            accepted = result.status == STATUS_ACCEPTED
        if accepted is self._accepted:
            return
        self._accepted = accepted
        reason = {} if accepted else {"reason": result.error or result.status}
        self._log.info("membership_reports_changed", accepted=accepted, **reason)

    # ---- connections
    def _close(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _drop_late_reports(self, keep: Callable[[LateReport], bool]) -> None:
        """Closes the connections of late answers that are not worth a wait any more."""
        for report in list(self._late_reports):
            if report.stream.closed or not keep(report):
                self._late_reports.remove(report)
                report.stream.close()

    def _connection(self, phase: Phase) -> Stream:
        # A report of another phase must not be counted behind the new one.
        oldest_s = time.monotonic() - LATE_ANSWER_S
        self._drop_late_reports(lambda late: late.phase == phase and late.written_at_s > oldest_s)
        if self._stream is not None and not self._stream.ended:
            return self._stream
        self._close()
        address = self._address
        # One wait for an answer and for a change.
        stream = connect(self._loop, address, CONNECT_TIMEOUT_S, activity=self._changed)
        if address != self._address or self._stopped:  # moved while the connection was being made
            stream.close()
            raise ConnectionClosedError
        self._stream = stream
        return stream

    def _encode(self, phase: Phase) -> bytes:
        body = json.dumps({"phase": phase}, separators=(",", ":")).encode()
        host = f"{self._address[0]}:{self._address[1]}"
        return (
            f"PUT /members/{self._name} HTTP/1.1\r\nHost: {host}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def _wait_for_status(self, stream: Stream, phase: Phase, deadline_s: float) -> int | None:
        """The status; None where it has not arrived once the next report is due, or another phase is."""
        while (status := self._take_status(stream)) is None:
            if stream.ended or len(stream.buffer) > MAX_RESPONSE_BYTES:
                raise ConnectionClosedError
            if time.monotonic() >= deadline_s or phase != self._phase():
                break
            stream.wait_until(lambda: phase != self._phase(), deadline_s)
        return status

    def _take_status(self, stream: Stream) -> int | None:
        """Takes one whole response out of what has arrived, if there is one."""
        response = parse_response(stream.buffer)
        if response is None:
            return None
        del stream.buffer[: response.size_bytes]
        if not response.keeps_alive:
            self._close()
        return response.status
