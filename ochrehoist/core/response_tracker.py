"""The one final answer of each request: sent once, and counted as what its caller received."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ochrehoist.admission.events import Outcome
from ochrehoist.core.metrics import Metrics, RequestCounter
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason, RunResult

if TYPE_CHECKING:
    from ochrehoist.core.protocols import Logger, RequestObserver

# Sends one answer; False where the front had to report a failure instead.
Delivery = Callable[[], bool | None]
Sender = Callable[[InboundRequest, RequestCounter, Delivery, int], None]


class ResponseTracker:
    """Knows which requests are owed an answer, and sends each exactly one.

    Attributes:
        open_requests: Requests by id that are owed an answer or still running.
        unanswered: How many of them are owed an answer.
    """

    def __init__(self, metrics: Metrics, log: Logger) -> None:
        self.metrics = metrics
        self.log = log
        self.observers: list[RequestObserver] = []
        self.open_requests: dict[str, InboundRequest] = {}
        self.unanswered = 0
        self._send: Sender = self._deliver

    def instrument_send(self, wrap: Callable[[Sender], Sender]) -> None:
        """Puts a wrapper, such as a timer, around the sending of each answer."""
        self._send = wrap(self._send)

    def clear(self) -> None:
        """Forgets all requests: another core answers them, or this one takes them up anew."""
        self.open_requests.clear()
        self.unanswered = 0

    def track(self, request: InboundRequest) -> None:
        """Adds an accepted request."""
        self.open_requests[request.id] = request
        self.unanswered += not request.answered

    def resolve(self, request: InboundRequest) -> bool:
        """Marks that no answer is owed any more; whether one was owed."""
        if request.answered:
            return False
        request.answered = True
        self.unanswered -= 1
        if not request.started:
            self.open_requests.pop(request.id, None)
        return True

    def complete(self, request: InboundRequest, result: RunResult) -> None:
        """Answers with the result of its run, or of the run that it duplicates."""
        if self.resolve(request):
            self.send_result(request, result)

    def fail(self, request: InboundRequest, reason: FailureReason) -> None:
        """Answers with a failure, if an answer is owed."""
        if self.resolve(request):
            self.send_failure(request, reason)

    def reject(self, request: InboundRequest, retry_after_ns: int, no_retry: bool = False) -> None:
        """Answers with a rejection, if an answer is owed: the request did not run."""
        if self.resolve(request):
            self.send_rejection(request, retry_after_ns, no_retry)

    def reject_untracked(self, request: InboundRequest, retry_after_ns: int, no_retry: bool = False) -> None:
        """Rejects a request that was never tracked."""
        request.answered = True
        self.send_rejection(request, retry_after_ns, no_retry)

    def fail_untracked(
        self, request: InboundRequest, reason: FailureReason, result: RunResult | None = None
    ) -> None:
        """Fails a request that was never tracked."""
        request.answered = True
        self.send_failure(request, reason, result)

    def caller_disconnected(self, request: InboundRequest) -> None:
        """Drops the answer of a request whose caller has left."""
        if self.resolve(request):
            for observer in self.observers:
                observer.request_answered(request, None, 0)

    def send_result(self, request: InboundRequest, result: RunResult) -> None:
        """Sends the result of a run, as success or failure; the request must be marked as answered."""
        if result.outcome is Outcome.OK:
            self._send(request, RequestCounter.ANSWERED, lambda: request.responder.served(result), 0)
        else:
            self.send_failure(request, FailureReason.EXECUTOR_FAILED, result)

    def send_failure(
        self, request: InboundRequest, reason: FailureReason, result: RunResult | None = None
    ) -> None:
        """Sends a failure; the request must be marked as answered."""
        self._send(request, RequestCounter.FAILED, lambda: request.responder.failed(reason, result), 0)

    def send_rejection(self, request: InboundRequest, retry_after_ns: int, no_retry: bool) -> None:
        """Sends a rejection; the request must be marked as answered."""
        self._send(
            request,
            RequestCounter.REJECTED,
            lambda: request.responder.rejected(retry_after_ns, no_retry),
            retry_after_ns,
        )

    def relay_rejection(self, request: InboundRequest, retry_after_ns: int, no_retry: bool) -> None:
        """Sends a rejection that another process decided on: its observers hear the time, not those here."""
        request.answered = True
        self._send(
            request,
            RequestCounter.REJECTED,
            lambda: request.responder.rejected(retry_after_ns, no_retry),
            0,
        )

    def _deliver(
        self, request: InboundRequest, counter: RequestCounter, deliver: Delivery, retry_after_ns: int
    ) -> None:
        """Sends one answer, counts it and tells the observers. Never raises."""
        try:
            if deliver() is False:
                counter = RequestCounter.FAILED
            if not request.is_remote:
                self.metrics.count(counter, request.request_class.name)
            for observer in self.observers:
                observer.request_answered(request, counter, retry_after_ns)
        except Exception:
            self.log.exception("response_not_sent", id=request.id)

    def execute(self, request: InboundRequest) -> bool:
        """Gives the request to its executor; False if that raised."""
        if not request.is_remote:
            self.metrics.count(RequestCounter.RUNS_STARTED, request.request_class.name)
        try:
            request.executor.start(request)
        except Exception:
            self.log.exception("run_not_started", id=request.id)
            return False
        return True
