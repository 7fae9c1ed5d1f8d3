"""What is left of a core whose state another process has taken over: it forwards what it is posted.

The requests it read stay here, with their payloads and responders. The other process decides; this one runs
what it is told to run, answers as it is told, and reports how runs end.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ochrehoist.admission.events import Outcome
from ochrehoist.core.handover_lines import (
    FailureDecided,
    ForwardedMessage,
    Line,
    RejectionDecided,
    ResultDecided,
    SendLine,
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
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.response_tracker import ResponseTracker
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.units import NS_PER_MS

if TYPE_CHECKING:
    from ochrehoist.core.protocols import DetailCodec

# So long past its due time a request is answered here, whatever the other process does.
ANSWER_GRACE_NS = 25 * NS_PER_MS


class Forwarder:
    """Forwards messages to the process that decides, and carries its decisions out.

    Attributes:
        pending: Requests by id that are not answered, or still run here.
    """

    def __init__(
        self,
        pending: dict[str, InboundRequest],
        send: SendLine,
        codec: DetailCodec,
        responses: ResponseTracker,
        clock: Callable[[], int],
        wall_clock: Callable[[], int],
    ) -> None:
        self.pending = pending
        self._codec = codec
        self._responses = responses
        self._log = responses.log
        self._clock = clock
        self._wall_clock = wall_clock
        self._send: SendLine | None = send  # None: the other process is gone
        self._process_end_ns: int | None = None
        # Runs that have ended, whose answer is still to be decided.
        self._completed: dict[str, RunCompleted] = {}

    def set_process_end(self, ends_ns: int) -> None:
        """Lets what is open then (by the core's clock) be failed, for this process ends."""
        self._process_end_ns = ends_ns

    # What this process's own parts post.

    def handle_message(self, message: Message) -> None:
        """Forwards a message of this process.

        Gauges, resolved duplicates and the order to shut down concern the process that decides.
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
            # Whether a filing has run is known only to the other process: no rejection can be given.
            self._fail(request, FailureReason.INTERNAL)
            return
        self.pending[request.id] = request
        self._forward(RequestArrived(request))

    def _caller_disconnected(self, message: CallerDisconnected) -> None:
        request = self.pending.get(message.id)
        if request is not None:
            request.answered = True
            self._forward(message)
            self._drop_if_over(request)

    def _intent_recorded(self, message: IntentRecorded) -> None:
        """A filing that was on its way to the disk when the other process took over."""
        request = self.pending.get(message.id)
        if request is None:
            return
        if message.recorded and not request.answered:
            self._execute(request)
        else:
            self._run_completed(RunCompleted(request.id, RunResult(Outcome.NOT_STARTED), 0))

    def _run_completed(self, message: RunCompleted) -> None:
        request = self.pending.get(message.id)
        if request is None:
            return
        self._forward(message)
        if self._send is None and not request.answered:
            self._complete(request, message.result)
        self._completed[message.id] = message
        self._drop_if_over(request)

    # What the other process decides.

    def receive(self, line: Line) -> None:
        """Carries a decision of the other process out.

        Raises KeyError, TypeError or ValueError where the line is damaged.
        """
        request = self.pending.get(line.get("id", ""))
        if line["m"] == "start":
            self._start(line["id"], request)
            return
        if request is None or request.answered:
            return
        decision = decision_from_json(line, self._codec)
        if isinstance(decision, ResultDecided):
            self._complete(request, decision.result)
        elif isinstance(decision, RejectionDecided):
            self._responses.relay_rejection(request, decision.retry_after_ns, decision.no_retry)
        elif isinstance(decision, FailureDecided):
            self._responses.fail_untracked(request, decision.reason, decision.result)
        self._drop_if_over(request)

    def _start(self, request_id: str, request: InboundRequest | None) -> None:
        if request is None:  # its caller has left: nothing is begun
            self._forward(RunCompleted(request_id, RunResult(Outcome.NOT_STARTED), 0))
        elif not request.started:
            request.started = True
            self._execute(request)

    def _execute(self, request: InboundRequest) -> None:
        request.started_ns = self._clock()
        if not self._responses.execute(request):
            self._run_completed(RunCompleted(request.id, RunResult(Outcome.FAILED), 0))

    def connection_lost(self) -> None:
        """The other process is gone. What runs here is answered when it ends; nothing else is begun."""
        self._send = None
        for request in list(self.pending.values()):
            if request.answered:
                continue
            completed = self._completed.get(request.id)
            if completed is not None:
                self._complete(request, completed.result)
            elif not request.started:
                self._fail(request, FailureReason.INTERNAL)
            self._drop_if_over(request)

    def tick(self) -> None:
        """Fails what is overdue."""
        now_ns = self._clock()
        for request in list(self.pending.values()):
            due_ns = request.due_ns + ANSWER_GRACE_NS
            if self._process_end_ns is not None:
                due_ns = min(due_ns, self._process_end_ns)
            if not request.answered and due_ns <= now_ns:
                self._log.warning("forwarded_request_overdue", id=request.id)
                self._fail(request, FailureReason.DEADLINE_PASSED)
                self._forward(CallerDisconnected(request.id, gave_up=False))
                self._drop_if_over(request)

    # Answers.

    def _complete(self, request: InboundRequest, result: RunResult) -> None:
        request.answered = True
        self._responses.send_result(request, result)

    def _fail(self, request: InboundRequest, reason: FailureReason) -> None:
        self._responses.fail_untracked(request, reason)

    def _drop_if_over(self, request: InboundRequest) -> None:
        """Forgets a request that is answered and does not run."""
        if request.answered and (not request.started or request.id in self._completed):
            self.pending.pop(request.id, None)
            self._completed.pop(request.id, None)
