"""The link to the kernel, which runs the platform's requests.

A lost link is replaced by a new one, on which the kernel repeats the notices that this worker missed.
`in_flight_runs.py` decides which commands are sent again, `kernel_protocol.py` encodes and parses the lines.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from ochrehoist.admission.events import Outcome
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import ExecutorReady, GaugesMeasured, RunCompleted
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import RunResult
from ochrehoist.errors import OchrehoistError
from ochrehoist.net.gauge_queries import GaugeQueries
from ochrehoist.net.in_flight_runs import CORE_DELAY_S, InFlightRuns, KernelRun
from ochrehoist.net.kernel_protocol import (
    CommandRejected,
    GaugesReported,
    KernelBooted,
    KernelLogged,
    MalformedNoticeError,
    MalformedResultError,
    RunEnded,
    RunReport,
    UnknownNotice,
    open_command,
    parse_notice,
    query_gauges_command,
    schedule_command,
)
from ochrehoist.net.loop import Loop, Signal
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError, connect
from ochrehoist.units import NS_PER_S

if TYPE_CHECKING:
    from ochrehoist.core.protocols import Logger

MAX_LINE_BYTES = 1 << 20
RECONNECT_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 0.25  # short, since the kernel is local and a hanging attempt delays a change of address
# Counted from the loss of the link; a filing whose outcome is still unknown then fails and frees its slot.
UNKNOWN_OUTCOME_TIMEOUT_S = 10.0
BOOT_NOTICE_TIMEOUT_S = 1.0  # counted from the last line received, once the kernel has booted before


class LinkSequenceError(OchrehoistError):
    """A notice was missed or is malformed; the kernel repeats it on a new link."""


class KernelLink:
    """The Executor of the Thrift front and the source of the gauges, connected to one kernel.

    Attributes:
        address: Address of the kernel.
        has_booted: Whether the kernel has reported on any link that it is up.
    """

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        address: tuple[str, int],
        gauges: tuple[str, ...],
        log: Logger,
        is_shared: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates the link; it connects once `run` is a task of the loop.

        Args:
            loop: The event loop.
            core: Receives the results of runs and the gauges.
            address: Address of the kernel.
            gauges: Names of the gauges, in the order in which the kernel reports them.
            log: The worker's logger.
            is_shared: Returns whether another process may have runs at the same kernel.
        """
        self.address = address
        self.has_booted = False
        self._loop = loop
        self._core = core
        self._gauges = gauges
        self._log = log
        self._is_shared = is_shared
        self._connection: Stream | None = None  # set from connecting until the link is closed
        self._stream: Stream | None = None  # the same connection, set once the kernel takes commands
        self._changed_at_s = time.monotonic()  # when the link last came up or was lost
        self._measured_at_s: float | None = None  # when gauges last arrived
        self._address_changed = Signal(loop)
        self._offset = 0  # offset of the last notice received
        # The offset whose next notice was requested again on a new link; -1: none. If the notice is still
        # missing or malformed there, it is skipped.
        self._repeat_requested_offset = -1
        self._runs = InFlightRuns()
        self._queries = GaugeQueries()
        self._requery_pending = False
        self._handlers: dict[type, Callable[[Any], None]] = {
            GaugesReported: self._handle_gauges,
            KernelLogged: self._handle_logged,
            CommandRejected: self._handle_rejected,
            UnknownNotice: self._handle_unknown,
        }

    # ---- interface for the core and the application
    @property
    def is_connected(self) -> bool:
        """Returns whether the kernel takes commands."""
        return self._stream is not None

    def start(self, request: InboundRequest) -> None:
        """Schedules a request at the kernel, as soon as the link is up.

        A request with the id of a given-up run is not started: the kernel would take it for that run, and
        report the end of that run as its own.
        """
        if self._runs.is_given_up(request.id):
            self._log.warning("kernel_run_id_in_use", id=request.id)
            self._core.post(RunCompleted(request.reference, RunResult(Outcome.NOT_STARTED), 0))
            return
        run = self._runs.start(request)
        if self._stream is not None:
            self._schedule(self._stream, run)

    def measure(self) -> None:
        """Queries the gauges.

        Closes the link if an earlier answer is overdue; the kernel repeats the notices on a new one.
        """
        stream = self._stream
        if stream is None:
            return
        if self._is_silent(stream):
            self._log.warning("kernel_link_silent")
            stream.close()
            return
        stream.write(query_gauges_command(self._queries.open(time.monotonic())))

    def change_address(self, address: tuple[str, int], gauges: tuple[str, ...]) -> None:
        """Changes the kernel's address and the names of its gauges; its runs continue.

        The old link is closed without waiting for notices: it may be silent already, and the kernel repeats
        its notices on the new link.
        """
        self._gauges = gauges
        if address == self.address:
            return
        self.address = address
        self._address_changed.set()
        if self._connection is not None:
            self._connection.close()

    def status_section(self) -> dict[str, Any]:
        """Returns the section of `/status`: address, state of the link, and counts of affected runs."""
        now_s = time.monotonic()
        state = "down" if self.has_booted else "starting"
        if self._stream:
            state = "silent" if self._is_silent(self._stream) else "up"
        measured_at_s = self._measured_at_s
        return {
            "address": f"{self.address[0]}:{self.address[1]}",
            "link": state,
            "since_s": round(now_s - self._changed_at_s, 1),
            "gauges_age_s": None if measured_at_s is None else round(now_s - measured_at_s, 2),
            "notices": self._offset,
            "waiting": len(self._runs.unsent()),
            "doubtful": len(self._runs.outcome_unknown()),
        }

    def _is_silent(self, stream: Stream) -> bool:
        return self._queries.is_overdue(time.monotonic(), stream.received_at_s)

    def _schedule(self, stream: Stream, run: KernelRun) -> None:
        request = run.request
        run.mark_sent(time.monotonic())
        stream.write(schedule_command(request.id, request.payload.method, request.payload.body))

    # ---- connection
    def run(self) -> None:
        """Runs as a task of the loop: connects to the kernel, and again whenever the link is lost."""
        while True:
            address = self.address
            started_s = time.monotonic()
            try:
                stream = connect(self._loop, address, CONNECT_TIMEOUT_S)
            except OSError:
                if address == self.address:
                    self._address_changed.wait(RECONNECT_DELAY_S)
                continue
            self._connection = stream
            reason = "closed"
            try:
                if address == self.address:  # the address may have changed while connecting
                    self._receive_notices(stream)
            except (ConnectionClosedError, StreamTimeoutError):
                pass
            except LinkSequenceError as error:
                reason = str(error)
            except Exception:
                self._log.exception("kernel_link_fault")
            finally:
                self._close(stream)
            self._link_lost(reason)
            if time.monotonic() - started_s < RECONNECT_DELAY_S and address == self.address:
                self._address_changed.wait(RECONNECT_DELAY_S)  # avoids a busy loop if links close at once

    def _close(self, stream: Stream) -> None:
        if self._stream is not None:
            self._changed_at_s = time.monotonic()
        self._stream = self._connection = None
        stream.close()

    def _link_lost(self, reason: str) -> None:
        self._queries.clear()
        self._schedule_failure(self._runs.link_lost())
        self._log.warning(
            "kernel_link_lost",
            reason=reason,
            offset=self._offset,
            running=len(self._runs),
            outcome_unknown=len(self._runs.outcome_unknown()),
        )

    def _schedule_failure(self, filings: list[KernelRun]) -> None:
        for run in filings:
            self._loop.call_later(UNKNOWN_OUTCOME_TIMEOUT_S, partial(self._fail_unknown, run))

    def _fail_unknown(self, run: KernelRun) -> None:
        if run.outcome_unknown and self._runs.is_open(run):
            self._runs.give_up(run)
            duration_ns = int(UNKNOWN_OUTCOME_TIMEOUT_S * NS_PER_S)
            self._core.post(RunCompleted(run.request.reference, RunResult(Outcome.FAILED), duration_ns))

    def _receive_notices(self, stream: Stream) -> None:
        stream.write(open_command(self._offset))
        while True:
            # A first start of the kernel may take any time; a kernel that has booted before must answer soon.
            deadline_s = None
            if self._stream is None and self.has_booted:
                deadline_s = time.monotonic() + BOOT_NOTICE_TIMEOUT_S
            line = stream.read_line(MAX_LINE_BYTES, deadline_s)
            try:
                notice = parse_notice(line)
                if isinstance(notice, RunEnded):
                    self._handle_run_ended(notice)
                elif isinstance(notice, KernelBooted):
                    self._handle_booted(notice, stream)
                else:
                    self._handlers[type(notice)](notice)
            except MalformedNoticeError as error:
                self._recover_sequence(str(error))

    def _recover_sequence(self, reason: str) -> None:
        """Requests a new link, once for each notice; a notice that is still lost on that link is skipped.

        Raises:
            LinkSequenceError: The link must be closed, so that a new one repeats the notices.
        """
        if self._repeat_requested_offset == self._offset:
            self._log.error("kernel_notices_missing", reason=reason, offset=self._offset)
            self._schedule_failure(self._runs.notices_lost())
            return
        self._repeat_requested_offset = self._offset
        raise LinkSequenceError(reason)

    # ---- notices
    def _handle_booted(self, notice: KernelBooted, stream: Stream) -> None:
        now_s = time.monotonic()
        self._stream = stream
        self.has_booted = True
        self._changed_at_s = now_s
        self._runs.link_opened(now_s)
        self._core.post(ExecutorReady(notice.is_cold, notice.duration_ns))
        if self._runs.outcome_unknown():
            self.measure()  # the kernel answers after it has repeated all earlier notices
        for run in self._runs.unsent():
            self._send_or_drop(stream, run)

    def _send_or_drop(self, stream: Stream, run: KernelRun) -> None:
        if run.request.answered:  # no caller is waiting for the result
            self._end_run(RunReport(run.request.id, RunResult(Outcome.NOT_STARTED), 0))
        else:
            self._schedule(stream, run)

    def _handle_gauges(self, notice: GaugesReported) -> None:
        gauges = dict(zip(self._gauges, notice.load, strict=False))
        queried_at_s = self._queries.answer(notice.token)
        if queried_at_s is not None:
            self._repeat_requested_offset = -1  # the kernel repeats all notices before it answers a query
            self._runs.acknowledge(queried_at_s, time.monotonic())
            self._resolve_unknown(queried_at_s, gauges.get("runnable"))
        self._measured_at_s = time.monotonic()
        self._core.post(GaugesMeasured(gauges))

    def _resolve_unknown(self, queried_at_s: float, runnable: float | None) -> None:
        """Sends reads of unknown outcome again, and filings that are proved lost.

        Called with gauges that were queried on this link: a run whose outcome is still unknown had not ended
        when the kernel took them, since it reports ended runs first.
        """
        stream = self._stream
        if stream is None:
            return
        for run in self._runs.unknown_reads():
            self._schedule(stream, run)
        if self._is_shared():  # the gauges also count runs of another process, so they prove nothing
            return
        for run in self._runs.lost_filings(queried_at_s, runnable):
            self._log.info("kernel_run_lost", id=run.request.id, answered=run.request.answered)
            self._send_or_drop(stream, run)
        if self._runs.has_provable_filings() and not self._requery_pending:
            self._requery_pending = True
            self._loop.call_later(CORE_DELAY_S, self._query_again)

    def _query_again(self) -> None:
        """Queries the gauges again if a filing's unknown outcome may now be resolved.

        Commands that the kernel read before its last answer have reached the cores by now.
        """
        self._requery_pending = False
        if self._runs.has_provable_filings():
            self.measure()

    def _is_new(self, offset: int) -> bool:
        """Returns whether the notice of this offset was not received before."""
        if offset > self._offset + 1:
            self._recover_sequence(f"notice {offset} received after notice {self._offset}")
        return offset > self._offset

    def _handle_logged(self, notice: KernelLogged) -> None:
        if self._is_new(notice.offset):
            self._offset = notice.offset

    def _handle_run_ended(self, notice: RunEnded) -> None:
        if not self._is_new(notice.offset):
            return
        try:
            report = notice.report()
        except MalformedResultError as error:
            if self._repeat_requested_offset != self._offset:
                raise
            # The repeated notice is malformed too: the run has ended, but its result is lost.
            report = RunReport(error.request_id, RunResult(Outcome.FAILED), 0)
        self._offset = notice.offset  # only now: a malformed notice must be repeated
        self._end_run(report)

    def _handle_rejected(self, notice: CommandRejected) -> None:
        # The kernel never received a request of this id: a client made it up, and no run was started.
        self._log.warning("kernel_command_rejected", command=notice.command, id=notice.request_id)
        if notice.request_id is not None:
            self._end_run(RunReport(notice.request_id, RunResult(Outcome.NOT_STARTED), 0))

    def _handle_unknown(self, notice: UnknownNotice) -> None:
        self._log.warning("kernel_notice_unknown", command=notice.command)

    def _end_run(self, report: RunReport) -> None:
        run = self._runs.end(report.request_id)
        if run is not None:
            self._core.post(RunCompleted(run.request.reference, report.result, report.duration_ns))
