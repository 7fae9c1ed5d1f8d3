"""The link to the kernel, which runs the platform's requests; notices are repeated on a new link.

`in_flight_runs.py` decides what is sent again after a break, `kernel_protocol.py` reads the lines.
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
from ochrehoist.net.in_flight_runs import CORE_DELAY_S, InFlightRuns, KernelRun
from ochrehoist.net.kernel_protocol import (
    CommandRejected,
    GaugesReported,
    KernelBooted,
    KernelLogged,
    MalformedNoticeError,
    MalformedResultError,
    RunEnded,
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
RETRY_DELAY_S = 0.05  # between attempts to get a link
CONNECT_TIMEOUT_S = 0.25  # to a process on this machine: what hangs must not hold up a move
UNKNOWN_OUTCOME_TIMEOUT_S = 10.0  # after a break, until a filing of unknown outcome fails and frees its slot
SILENCE_TIMEOUT_S = 0.7  # without an answer to a query after which a link counts as silent
MUTE_TIMEOUT_S = 2.0  # the same on a link that says other things meanwhile
BOOT_TIMEOUT_S = 1.0  # for the first notice on a new link, once the kernel was up
MAX_OPEN_QUERIES = 64  # that are remembered


class LinkSequenceError(OchrehoistError):
    """A notice was missed or can't be read: a new link repeats it."""


class GaugeQueries:
    """The queries for gauges on the present link that are not answered, oldest first."""

    def __init__(self) -> None:
        self._count = 0
        self._sent_at_s: dict[str, float] = {}  # by token

    def open(self, now_s: float) -> str:
        """Adds a query; returns its token."""
        self._count += 1
        token = f"g{self._count}"
        self._sent_at_s[token] = now_s
        if len(self._sent_at_s) > MAX_OPEN_QUERIES:
            del self._sent_at_s[next(iter(self._sent_at_s))]
        return token

    def answer(self, token: str) -> float | None:
        """When the query was sent; None where it is not one of this link."""
        return self._sent_at_s.pop(token, None)

    def clear(self) -> None:
        """The link was lost."""
        self._sent_at_s.clear()

    def is_overdue(self, now_s: float, received_at_s: float) -> bool:
        """Whether an answer is overdue. After a stall of this process it may be here, behind notices."""
        if not self._sent_at_s:
            return False
        waited_s = now_s - next(iter(self._sent_at_s.values()))
        if waited_s <= SILENCE_TIMEOUT_S:
            return False
        return now_s - received_at_s > SILENCE_TIMEOUT_S or waited_s > MUTE_TIMEOUT_S


class KernelLink:
    """The Executor of the Thrift front, and the source of the gauges.

    Attributes:
        address: Of the kernel.
        has_booted: The kernel was up once.
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
        """Connects once `run` is a task of the loop.

        Args:
            loop: that it runs on.
            core: that it reports to.
            address: of the kernel.
            gauges: names of the gauges, in the order in which the kernel gives them.
            log: of the worker.
            is_shared: whether another process may run something at the same kernel.
        """
        self.address = address
        self.has_booted = False
        self._loop = loop
        self._core = core
        self._gauges = gauges
        self._log = log
        self._is_shared = is_shared
        self._opening: Stream | None = None  # the link, from its start
        self._stream: Stream | None = None  # the same, once the kernel has booted
        self._changed_at_s = time.monotonic()  # when the link came up, or was lost
        self._measured_at_s: float | None = None  # when gauges came last
        self._moved = Signal(loop)
        self._offset = 0  # of the last notice
        self._skipped_offset = -1  # the offset after which the next notice can't be had
        self._runs = InFlightRuns()
        self._queries = GaugeQueries()
        self._requery_pending = False
        self._handlers: dict[type, Callable[[Any], None]] = {
            GaugesReported: self._handle_gauges,
            KernelLogged: self._handle_logged,
            CommandRejected: self._handle_rejected,
            UnknownNotice: self._handle_unknown,
        }

    # ---- for the core and the application
    @property
    def is_connected(self) -> bool:
        """Whether the kernel takes commands."""
        return self._stream is not None

    def start(self, request: InboundRequest) -> None:
        """Runs a request, as soon as there is a link."""
        run = self._runs.start(request)
        if self._stream is not None:
            self._schedule(self._stream, run)

    def measure(self) -> None:
        """Asks for the gauges.

        A link on which an answer is overdue is closed: a new one repeats the notices.
        """
        stream = self._stream
        if stream is None:
            return
        if self._is_silent(stream):
            self._log.warning("kernel_link_silent")
            stream.close()
            return
        stream.write(query_gauges_command(self._queries.open(time.monotonic())))

    def move(self, address: tuple[str, int], gauges: tuple[str, ...]) -> None:
        """The kernel is at another address from now on; what runs there goes on.

        The old link is not waited for: it may have gone silent already, and its notices are repeated.
        """
        self._gauges = gauges
        if address == self.address:
            return
        self.address = address
        self._moved.set()
        if self._opening is not None:
            self._opening.close()

    def status_section(self) -> dict[str, Any]:
        """For operators: the link's address and state, and how much waits for it."""
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

    # ---- the link
    def run(self) -> None:
        """A task: keeps a link to the kernel, for ever."""
        while True:
            address = self.address
            started_s = time.monotonic()
            try:
                stream = connect(self._loop, address, CONNECT_TIMEOUT_S)
            except OSError:
                if address == self.address:
                    self._moved.wait(RETRY_DELAY_S)
                continue
            self._opening = stream
            reason = "closed"
            try:
                if address == self.address:  # else it was moved while the connection was being made
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
            if time.monotonic() - started_s < RETRY_DELAY_S and address == self.address:
                self._moved.wait(RETRY_DELAY_S)  # one that closes at once must not be retried without end

    def _close(self, stream: Stream) -> None:
        if self._stream is not None:
            self._changed_at_s = time.monotonic()
        self._stream = self._opening = None
        stream.close()

    def _link_lost(self, reason: str) -> None:
        self._queries.clear()
        self._fail_later(self._runs.link_lost())
        self._log.warning(
            "kernel_link_lost",
            reason=reason,
            offset=self._offset,
            running=len(self._runs),
            outcome_unknown=len(self._runs.outcome_unknown()),
        )

    def _fail_later(self, filings: list[KernelRun]) -> None:
        for run in filings:
            self._loop.call_later(UNKNOWN_OUTCOME_TIMEOUT_S, partial(self._fail_unknown, run))

    def _fail_unknown(self, run: KernelRun) -> None:
        if run.outcome_unknown and self._runs.is_open(run):
            duration_ns = int(UNKNOWN_OUTCOME_TIMEOUT_S * NS_PER_S)
            self._end_run(RunCompleted(run.request.id, RunResult(Outcome.FAILED), duration_ns))

    def _receive_notices(self, stream: Stream) -> None:
        stream.write(open_command(self._offset))
        while True:
            # A kernel that is not up yet may be waited for; one that was up has no reason to be silent.
            deadline_s = None
            if self._stream is None and self.has_booted:
                deadline_s = time.monotonic() + BOOT_TIMEOUT_S
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
        """Has the notices repeated, once: what is no better then is skipped.

        Raises:
            LinkSequenceError: a new link is needed.
        """
        if self._skipped_offset == self._offset:
            self._log.error("kernel_notices_missing", reason=reason, offset=self._offset)
            self._fail_later(self._runs.notices_lost())
            return
        self._skipped_offset = self._offset
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
            self.measure()  # answered after all notices of before
        for run in self._runs.unsent():
            self._send_or_drop(stream, run)

    def _send_or_drop(self, stream: Stream, run: KernelRun) -> None:
        if run.request.answered:  # nobody waits for it any more
            self._end_run(RunCompleted(run.request.id, RunResult(Outcome.NOT_STARTED), 0))
        else:
            self._schedule(stream, run)

    def _handle_gauges(self, notice: GaugesReported) -> None:
        gauges = dict(zip(self._gauges, notice.load, strict=False))
        asked_at_s = self._queries.answer(notice.token)
        if asked_at_s is not None:
            self._skipped_offset = -1  # all that was to be repeated on this link has been
            self._runs.acknowledge(asked_at_s, time.monotonic())
            self._resolve_unknown(asked_at_s, gauges.get("runnable"))
        self._measured_at_s = time.monotonic()
        self._core.post(GaugesMeasured(gauges))

    def _resolve_unknown(self, asked_at_s: float, runnable: float | None) -> None:
        """What is still unknown when gauges asked for on this link have arrived had not ended before."""
        stream = self._stream
        if stream is None:
            return
        for run in self._runs.unknown_reads():
            self._schedule(stream, run)
        if self._is_shared():  # what another process runs there is not known here
            return
        for run in self._runs.lost_filings(asked_at_s, runnable):
            self._log.info("kernel_run_lost", id=run.request.id, answered=run.request.answered)
            self._send_or_drop(stream, run)
        if self._runs.has_provable_filings() and not self._requery_pending:
            self._requery_pending = True
            self._loop.call_later(CORE_DELAY_S, self._query_again)

    def _query_again(self) -> None:
        """What was read before the last answer is at the cores by now: it may resolve an unknown outcome."""
        self._requery_pending = False
        if self._runs.has_provable_filings():
            self.measure()

    def _is_new(self, offset: int) -> bool:
        """Whether the notice of this offset is no repetition."""
        if offset > self._offset + 1:
            self._recover_sequence(f"notice {offset} after {self._offset}")
        return offset > self._offset

    def _handle_logged(self, notice: KernelLogged) -> None:
        if self._is_new(notice.offset):
            self._offset = notice.offset

    def _handle_run_ended(self, notice: RunEnded) -> None:
        if not self._is_new(notice.offset):
            return
        try:
            completed = notice.run_completed()
        except MalformedResultError as error:
            if self._skipped_offset != self._offset:
                raise
            # It was repeated, and is no better.
            completed = RunCompleted(error.request_id, RunResult(Outcome.FAILED), 0)
        self._offset = notice.offset  # one that can't be read does not count as received: it is repeated
        self._end_run(completed)

    def _handle_rejected(self, notice: CommandRejected) -> None:
        # A request that the kernel was never given: some client's invention, and nothing was begun.
        self._log.warning("kernel_command_rejected", command=notice.command, id=notice.request_id)
        if notice.request_id is not None:
            self._end_run(RunCompleted(notice.request_id, RunResult(Outcome.NOT_STARTED), 0))

    def _handle_unknown(self, notice: UnknownNotice) -> None:
        self._log.warning("kernel_notice_unknown", command=notice.command)

    def _end_run(self, completed: RunCompleted) -> None:
        if self._runs.end(completed.id) is not None:
            self._core.post(completed)
