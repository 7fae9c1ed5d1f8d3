"""Sends exactly one final answer to each request and counts it by the kind that was sent."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ochrehoist.admission.events import Outcome
from ochrehoist.core.metrics import Metrics, RequestCounter
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason, RunResult

if TYPE_CHECKING:
    from ochrehoist.core.protocols import Logger, RequestObserver

# Sends one answer; returns False if the front had to send a failure instead.
Delivery = Callable[[], bool | None]
Sender = Callable[[InboundRequest, RequestCounter, Delivery, int], None]


class ResponseTracker:
    """Table of open requests, which sends each exactly one answer.

    Attributes:
        open_requests: Requests, by id, that are unanswered or still running.
        unanswered: Number of unanswered requests.
    """

    def __init__(self, metrics: Metrics, log: Logger) -> None:
        self.metrics = metrics
        self.log = log
        self.observers: list[RequestObserver] = []
        self.open_requests: dict[str, InboundRequest] = {}
        self.unanswered = 0
        self._send: Sender = self._deliver

    def instrument_send(self, wrap: Callable[[Sender], Sender]) -> None:
        """Wraps the sending of each answer, for example with a timer."""
        self._send = wrap(self._send)

    def clear(self) -> None:
        """Removes all requests, as another core answers them or this one adopts them again."""
        self.open_requests.clear()
        self.unanswered = 0

    def track(self, request: InboundRequest) -> None:
        """Adds an accepted request."""
        self.open_requests[request.id] = request
        self.unanswered += not request.answered

    def resolve(self, request: InboundRequest) -> bool:
        """Marks the request as answered; returns False if it was answered already."""
        if request.answered:
            return False
        request.answered = True
        self.unanswered -= 1
        if not request.started:
            self.open_requests.pop(request.id, None)
        return True

    def complete(self, request: InboundRequest, result: RunResult) -> None:
        """Answers with the result of the request's run, or of the run that it duplicates."""
        if self.resolve(request):
            self.send_result(request, result)

    def fail(self, request: InboundRequest, reason: FailureReason) -> None:
        """Answers with a failure, unless the request is answered."""
        if self.resolve(request):
            self.send_failure(request, reason)

    def reject(self, request: InboundRequest, retry_after_ns: int, no_retry: bool = False) -> None:
        """Answers with a rejection, unless the request is answered; the request must not have run."""
        if self.resolve(request):
            self.send_rejection(request, retry_after_ns, no_retry)

    def reject_untracked(self, request: InboundRequest, retry_after_ns: int, no_retry: bool = False) -> None:
        """Rejects a request that is not tracked."""
        request.answered = True
        self.send_rejection(request, retry_after_ns, no_retry)

    def fail_untracked(
        self, request: InboundRequest, reason: FailureReason, result: RunResult | None = None
    ) -> None:
        """Fails a request that is not tracked."""
        request.answered = True
        self.send_failure(request, reason, result)

    def caller_disconnected(self, request: InboundRequest) -> None:
        """Marks a request as answered without an answer, as its caller has disconnected."""
        if self.resolve(request):
            for observer in self.observers:
                observer.request_answered(request, None, 0)

    def send_result(self, request: InboundRequest, result: RunResult) -> None:
        """Sends the result of a run, or a failure if it did not succeed.

        The request must be marked as answered.
        """
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
        """Sends a rejection that another process decided on.

        Observers are given a Retry-After of 0, as those of the deciding process are given the real one.
        """
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
        """Sends one answer, counts it and notifies the observers. Never raises."""
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
        """Starts the request on its executor; returns False if the executor raised."""
        if not request.is_remote:
            self.metrics.count(RequestCounter.RUNS_STARTED, request.request_class.name)
        try:
            request.executor.start(request)
        except Exception:
            self.log.exception("run_not_started", id=request.id)
            return False
        return True
