"""The one final answer of each request: sent once, counted as what its caller was told."""

from collections.abc import Callable
from typing import Any

from ochrehoist.admission.events import Outcome
from ochrehoist.core.figures import Figures
from ochrehoist.core.protocols import RequestObserver
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.core.stage_timing import StageTimer, untimed

ANSWERED, REFUSED, FAILED = "answered_total", "deferred_total", "errored_total"


class Answers:
    """Marks requests as answered and tells their callers. `live`: those owed an answer, or still running."""

    def __init__(self, figures: Figures, log: Any, timed: StageTimer = untimed) -> None:
        self.figures, self.log = figures, log
        self.send = timed("answering", self._send)
        self.observers: list[RequestObserver] = []
        self.live: dict[str, InboundRequest] = {}
        self.owed = 0

    def clear(self) -> None:
        """Another core answers what is open here, or this one takes it up anew."""
        self.live.clear()
        self.owed = 0

    def take(self, r: InboundRequest) -> None:
        self.live[r.id] = r
        self.owed += not r.answered

    def settle(self, r: InboundRequest) -> bool:
        """Marks that nothing is owed for it any more; whether something was."""
        if r.answered:
            return False
        r.answered = True
        self.owed -= 1
        if not r.started:
            self.live.pop(r.id, None)
        return True

    def finish(self, r: InboundRequest, result: RunResult) -> None:
        """The answer that its run, or the one it repeats, has made."""
        if self.settle(r):
            self.tell_result(r, result)

    def fail(self, r: InboundRequest, reason: FailureReason) -> None:
        if self.settle(r):
            self.send(r, FAILED, lambda: r.responder.failed(reason))

    def refuse(self, r: InboundRequest, backoff: int, no_retry: bool = False) -> None:
        if self.settle(r):
            self.send(r, REFUSED, lambda: r.responder.rejected(backoff, no_retry), backoff)

    def turn_away(
        self, r: InboundRequest, reason: FailureReason | None, backoff: int, no_retry: bool = False
    ) -> None:
        """One that never became live: refused, or failed for a reason."""
        r.answered = True
        if reason is None:
            self.send(r, REFUSED, lambda: r.responder.rejected(backoff, no_retry), backoff)
        else:
            self.send(r, FAILED, lambda: r.responder.failed(reason))

    def tell_result(self, r: InboundRequest, result: RunResult) -> None:
        if result.outcome is Outcome.OK:
            self.send(r, ANSWERED, lambda: r.responder.served(result))
        else:
            self.send(r, FAILED, lambda: r.responder.failed(FailureReason.EXECUTOR_FAILED, result))

    def gone(self, r: InboundRequest) -> None:
        """Its caller has left."""
        if self.settle(r):
            for observer in self.observers:
                observer.request_answered(r, None, 0)

    def _send(
        self, r: InboundRequest, figure: str, tell: Callable[[], bool | None], backoff: int = 0
    ) -> None:
        try:
            if tell() is False:
                figure = FAILED
            if not r.is_remote:
                self.figures.count(figure, r.request_class.name)
            for observer in self.observers:
                observer.request_answered(r, figure, backoff)
        except Exception:
            self.log.exception("an answer could not be sent", id=r.id)

    def execute(self, r: InboundRequest) -> bool:
        """Hands it to what runs it; whether that went well."""
        if not r.is_remote:
            self.figures.count("sends_total", r.request_class.name)
        try:
            r.executor.start(r)
        except Exception:
            self.log.exception("a run could not be started", id=r.id)
            return False
        return True
