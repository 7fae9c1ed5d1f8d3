"""Forwards the messages of a core whose state another process has taken over.

The requests that this process read stay here, with their payloads and responders. The other process decides;
this process runs and answers requests as instructed, and reports how runs end.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ochrehoist.admission.events import Outcome
from ochrehoist.core.fault_confinement import FaultConfinement
from ochrehoist.core.handover_lines import (
    AnswerDecision,
    ForwardedMessage,
    Line,
    RejectionDecided,
    ResultDecided,
    SendLine,
    StartDecided,
    decision_from_json,
    message_to_json,
)
from ochrehoist.core.messages import (
    CallerDisconnected,
    IntentRecorded,
    Message,
    RequestArrived,
    RunCompleted,
    StandbyChanged,
)
from ochrehoist.core.request import NO_SERIAL, InboundRequest, RequestReference, find_request
from ochrehoist.core.response_tracker import ResponseTracker
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.units import NS_PER_MS

if TYPE_CHECKING:
    from ochrehoist.core.protocols import DetailCodec

# Time past its due time after which a request is failed here if the other process has not decided.
ANSWER_GRACE_NS = 25 * NS_PER_MS


class Forwarder:
    """Forwarder of messages to the process that decides, which carries out the decisions of that process.

    Attributes:
        pending: Requests, by id, that are unanswered or still running here.
    """

    def __init__(
        self,
        pending: dict[str, InboundRequest],
        send: SendLine,
        codec: DetailCodec,
        responses: ResponseTracker,
        faults: FaultConfinement,
        clock: Callable[[], int],
        wall_clock: Callable[[], int],
    ) -> None:
        self.pending = pending
        self._codec = codec
        self._responses = responses
        self._log = responses.log
        self._faults = faults
        self._clock = clock
        self._wall_clock = wall_clock
        self._send: SendLine | None = send  # None once the other process has disconnected
        self._process_end_ns: int | None = None
        # Completed runs, by request id, whose answer is not decided yet.
        self._completed: dict[str, RunCompleted] = {}

    def set_process_end(self, process_end_ns: int) -> None:
        """Sets when (by the core's clock) this process ends; requests still open then are failed."""
        self._process_end_ns = process_end_ns

    # Messages of this process.

    def handle_message(self, message: Message) -> None:
        """Forwards a message that this process posted.

        Gauges, resolved duplicates and shutdown orders are dropped: they concern only a core that decides.
        """
        if isinstance(message, RequestArrived):
            self._request_arrived(message.request)
        elif isinstance(message, CallerDisconnected):
            self._caller_disconnected(message)
        elif isinstance(message, RunCompleted):
            self._run_completed(message)
        elif isinstance(message, IntentRecorded):
            self._intent_recorded(message)
        elif isinstance(message, StandbyChanged):
            self._forward(message)

    def _forward(self, message: ForwardedMessage) -> None:
        if self._send is not None:
            self._send(message_to_json(message, self._codec))

    def _request_arrived(self, request: InboundRequest) -> None:
        now_ns = self._clock()
        age_ns = max(0, self._wall_clock() - request.arrived_ns)
        request.due_ns = max(now_ns, now_ns - age_ns + request.request_class.deadline_ns)
        if request.id in self.pending or self._send is None:
            # A rejection would claim that the request never ran, which only the other process knows.
            self._fail(request, FailureReason.INTERNAL)
            return
        self.pending[request.id] = request
        self._forward(RequestArrived(request))

    def _caller_disconnected(self, message: CallerDisconnected) -> None:
        request = find_request(self.pending, message.request)
        if request is not None:
            request.answered = True
            self._forward(message)
            self._drop_if_finished(request)

    def _intent_recorded(self, message: IntentRecorded) -> None:
        """Handles the journal's answer for a filing that was being recorded at the time of the takeover."""
        request = find_request(self.pending, message.request)
        if request is None:
            return
        if message.recorded and not request.answered:
            self._execute(request)
        else:
            self._run_completed(RunCompleted(request.reference, RunResult(Outcome.NOT_STARTED), 0))

    def _run_completed(self, message: RunCompleted) -> None:
        request = find_request(self.pending, message.request)
        if request is None:
            return
        self._forward(message)
        if self._send is None and not request.answered:
            self._complete(request, message.result)
        self._completed[request.id] = message
        self._drop_if_finished(request)

    # Decisions of the other process.

    def receive(self, line: Line) -> None:
        """Carries out a decision of the other process.

        Raises KeyError, TypeError or ValueError if the line is damaged.
        """
        decision = decision_from_json(line, self._codec)
        if decision is None:
            return
        request = self._decided_request(decision.request)
        if isinstance(decision, StartDecided):
            self._start(decision.request, request)
        elif request is not None and not request.answered:
            self._answer(request, decision)

    def _decided_request(self, reference: RequestReference) -> InboundRequest | None:
        """Returns the pending request that a decision names; an earlier release names it by its id alone."""
        if reference.serial == NO_SERIAL:
            return self.pending.get(reference.id)
        return find_request(self.pending, reference)

    def _answer(self, request: InboundRequest, decision: AnswerDecision) -> None:
        if isinstance(decision, ResultDecided):
            self._complete(request, decision.result)
        elif isinstance(decision, RejectionDecided):
            self._responses.relay_rejection(request, decision.retry_after_ns, decision.no_retry)
        else:
            self._responses.fail_untracked(request, decision.reason, decision.result)
        self._drop_if_finished(request)

    def _start(self, reference: RequestReference, request: InboundRequest | None) -> None:
        if request is None:  # the caller has disconnected, so nothing is started
            self._forward(RunCompleted(reference, RunResult(Outcome.NOT_STARTED), 0))
        elif not request.started:
            request.started = True
            self._execute(request)

    def _execute(self, request: InboundRequest) -> None:
        request.started_ns = self._clock()
        if not self._responses.execute(request):
            self._run_completed(RunCompleted(request.reference, RunResult(Outcome.FAILED), 0))

    def connection_lost(self) -> None:
        """Handles the loss of the other process: running requests are still answered, no others started."""
        self._send = None
        for request in list(self.pending.values()):
            if request.answered:
                continue
            completed = self._completed.get(request.id)
            if completed is not None:
                self._complete(request, completed.result)
            elif not request.started:
                self._fail(request, FailureReason.INTERNAL)
            self._drop_if_finished(request)

    def tick(self) -> None:
        """Fails overdue requests."""
        now_ns = self._clock()
        for request in list(self.pending.values()):
            due_ns = request.due_ns + ANSWER_GRACE_NS
            if self._process_end_ns is not None:
                due_ns = min(due_ns, self._process_end_ns)
            if not request.answered and due_ns <= now_ns:
                self._faults.call("overdue_request", self._fail_overdue, request)

    def _fail_overdue(self, request: InboundRequest) -> None:
        self._log.warning("forwarded_request_overdue", id=request.id)
        self._fail(request, FailureReason.DEADLINE_PASSED)
        self._forward(CallerDisconnected(request.reference, gave_up=False))
        self._drop_if_finished(request)

    def fail_pending(self) -> None:
        """Fails all unanswered requests, as this process is about to end."""
        for request in list(self.pending.values()):
            if not request.answered:
                self._faults.call("failure_after_end", self._fail, request, FailureReason.INTERNAL)

    # Answers.

    def _complete(self, request: InboundRequest, result: RunResult) -> None:
        request.answered = True
        self._responses.send_result(request, result)

    def _fail(self, request: InboundRequest, reason: FailureReason) -> None:
        self._responses.fail_untracked(request, reason)

    def _drop_if_finished(self, request: InboundRequest) -> None:
        """Drops a request that is answered and not running."""
        if request.answered and (not request.started or request.id in self._completed):
            self.pending.pop(request.id, None)
            self._completed.pop(request.id, None)
