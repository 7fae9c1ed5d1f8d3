"""Client of the membership service: reports the worker's phase before its entry expires.

An outage of the service does not affect requests. The service counts a report once it has arrived completely
and is answered. The age of a report is counted from when it was written. A missing answer does not make
reports more frequent: the next report is sent when it is due, on a new connection. The connection of an
unanswered report stays open for some time, since the service might not count a report whose connection it
finds closed.
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

REPORT_INTERVAL_S = 0.8  # an entry expires after 3 s
RETRY_DELAY_S = 0.2  # after a report that failed or was rejected
CONNECT_TIMEOUT_S = 0.4
# Counted from writing the report, until its connection is closed: at most three connections are open.
LATE_ANSWER_TIMEOUT_S = 2.4
MAX_UNANSWERED = 5  # this many consecutive reports without an answer are logged as a failure
MAX_RESPONSE_BYTES = 8192
HEAD_END = b"\r\n\r\n"
STATUS_ACCEPTED = 204


class Phase(StrEnum):
    """The worker's phase in a report; the values are defined by the membership service."""

    UP = "UP"
    OUT = "OUT"


class LateReport(NamedTuple):
    """A report whose answer is late, with the connection that is kept open for it."""

    stream: Stream
    phase: Phase
    written_at_s: float


class ReportResult(NamedTuple):
    """The result of a report; `status` is None while no answer has arrived, 0 if the report failed."""

    status: int | None
    written_at_s: float
    error: str = ""


class ResponseHead(NamedTuple):
    """The fields of an HTTP response that the client uses."""

    status: int
    size_bytes: int  # head and body
    keeps_alive: bool


def parse_response(data: bytes | bytearray) -> ResponseHead | None:
    """Parses the head of a response; returns None until the whole response has arrived, with its body.

    Raises:
        ValueError: The data is no HTTP response.
        IndexError: The status line has no status.
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
    """Task that reports the worker's phase; as LifecycleListener of the core it reports changes at once."""

    def __init__(self, loop: Loop, core: CoreActor, address: tuple[str, int], name: str, log: Logger) -> None:
        """Creates the client, which reports as `name` to `address` once `run` is a task of the loop."""
        self._loop = loop
        self._core = core
        self._address = address
        self._name = name
        self._log = log
        self._wake = Signal(loop)  # set on changes of health, phase or address, and when an answer arrives
        self._stream: Stream | None = None
        self._late_reports: list[LateReport] = []
        self._accepted: bool | None = None  # the state that was logged last
        self._unanswered_count = 0
        self._stopped = False

    # ---- interface for the application and the core
    def stop(self) -> None:
        """Stops reporting; called when another process of this worker takes over."""
        self._stopped = True
        self._close()
        self._drop_late_reports(lambda _: False)
        self._wake.set()

    def change_address(self, address: tuple[str, int]) -> None:
        """Changes the address of the service and reports there at once."""
        if address == self._address:
            return
        self._address = address
        self._drop_late_reports(lambda _: False)
        if self._stream is not None:
            self._stream.close()
        self._wake.set()

    def health_changed(self, good: bool) -> None:  # noqa: ARG002 (LifecycleListener interface)
        """Reports at once."""
        self._wake.set()

    def idle_timeout_changed(self, idle_timeout_ns: int) -> None:
        """Concerns the fronts only."""

    def shutdown_started(self, remaining_ns: int) -> None:  # noqa: ARG002 (LifecycleListener interface)
        """Reports at once."""
        self._wake.set()

    # ---- task
    def run(self) -> None:
        """Runs as a task of the loop: sends reports until `stop` is called."""
        while not self._stopped:
            try:
                self._report_and_wait()
            except Exception:  # the service would drop a worker that no longer reports
                self._log.exception("membership_fault")
                self._close()
                self._loop.sleep(RETRY_DELAY_S)

    def _report_and_wait(self) -> None:
        """Sends one report and waits until the next one is due."""
        address = self._address
        phase = self._phase()
        result = self._report(phase)
        if result.status != STATUS_ACCEPTED:
            self._close()
        if self._stopped:
            self.stop()  # closes connections that were opened since
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
            self._wake.wait(remaining_s)

    def _report(self, phase: Phase) -> ReportResult:
        """Sends one report and waits for its answer at most until the next report is due."""
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
        """Closes the connections of late reports, except those for which `keep` returns true."""
        for report in list(self._late_reports):
            if report.stream.closed or not keep(report):
                self._late_reports.remove(report)
                report.stream.close()

    def _connection(self, phase: Phase) -> Stream:
        # The service must not count a late report of another phase after the new report.
        oldest_kept_s = time.monotonic() - LATE_ANSWER_TIMEOUT_S
        self._drop_late_reports(lambda late: late.phase == phase and late.written_at_s > oldest_kept_s)
        if self._stream is not None and not self._stream.ended:
            return self._stream
        self._close()
        address = self._address
        # With a shared signal, one wait covers an answer and a change of phase or address.
        stream = connect(self._loop, address, CONNECT_TIMEOUT_S, activity=self._wake)
        if address != self._address or self._stopped:  # changed while connecting
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
        """Returns the status; None if the deadline passes or the phase changes before it has arrived.

        Raises:
            ConnectionClosedError: The connection has ended, or the response is too long.
        """
        while (status := self._take_status(stream)) is None:
            if stream.ended or len(stream.buffer) > MAX_RESPONSE_BYTES:
                raise ConnectionClosedError
            if time.monotonic() >= deadline_s or phase != self._phase():
                break
            stream.wait_until(lambda: phase != self._phase(), deadline_s)
        return status

    def _take_status(self, stream: Stream) -> int | None:
        """Removes one complete response from the buffer and returns its status; None if there is none."""
        response = parse_response(stream.buffer)
        if response is None:
            return None
        stream.consume(response.size_bytes)
        if not response.keeps_alive:
            self._close()
        return response.status
