"""A test case that drives a core on explicit time, with callers, an executor and a journal that record."""

import unittest
from typing import Any
from unittest import mock

from ochrehoist.admission.settings import AdmissionSettings, Idempotency, RequestClass, Tenant
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.idempotency_table import IdempotentRun
from ochrehoist.core.messages import ExecutorReady, Message, RequestArrived
from ochrehoist.core.request import Fingerprint, IdempotencyKey, InboundRequest
from ochrehoist.core.results import FailureReason, Rejection, RunResult

S = 10**9
FILING = RequestClass(
    name="filing",
    latency_objective_ns=2 * S,
    deadline_ns=5 * S,
    idempotency=Idempotency.KEYED,
    idempotency_window_ns=20 * S,
)
READ = RequestClass(
    name="read", latency_objective_ns=2 * S, deadline_ns=5 * S, idempotency=Idempotency.IDEMPOTENT
)
TENANT = "acme"
MAX_RESULT_BYTES = 10**6


def settings(*classes: RequestClass, **fields: Any) -> AdmissionSettings:
    """Settings of a worker with two cores, which serves filings and reads unless classes are given."""
    return AdmissionSettings(
        classes=classes or (FILING, READ),
        cores=2,
        memory_kb=1e6,
        collapse_multiple=5.0,
        collapse_after_ns=2 * S,
        tenants=(Tenant(TENANT, 50.0, 1.0),),
        max_retry_after_ns=S,
        **fields,
    )


class RecordingResponder:
    """The way back to a caller; `answers` has what was sent."""

    def __init__(self) -> None:
        self.answers: list[tuple[str, Any]] = []

    def served(self, result: RunResult) -> bool:
        """Keeps the body."""
        self.answers.append(("served", result.body))
        return True

    def rejected(self, retry_after_ns: int, no_retry: bool) -> None:  # noqa: ARG002
        """Keeps the time after which the caller may retry."""
        self.answers.append(("refused", retry_after_ns))

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:  # noqa: ARG002
        """Keeps the reason."""
        self.answers.append(("failed", reason))

    def origin(self) -> tuple[str, str]:
        """Names no front."""
        return "", ""


class RecordingJournal:
    """A journal that records its calls and returns a configurable rejection."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.rejection: Rejection | None = None

    def rejection_for(self, request: InboundRequest) -> Rejection | None:  # noqa: ARG002
        """Returns the configured rejection."""
        return self.rejection

    def begin(self, request: InboundRequest, run: IdempotentRun) -> None:  # noqa: ARG002
        """Records nothing durably: a test posts IntentRecorded."""
        self.calls.append(("begin", request.id))

    def end(self, key: IdempotencyKey, run: IdempotentRun, result: RunResult) -> None:
        """Counts the result as stored."""
        run.result_stored = True
        self.calls.append(("end", key[2], result.body))

    def drop(self, key: IdempotencyKey) -> None:
        """Records the call."""
        self.calls.append(("drop", key[2]))

    def never_ran(self, key: IdempotencyKey, fingerprint: Fingerprint | None) -> None:  # noqa: ARG002
        """Records the call like `drop`."""
        self.drop(key)

    def fetch(self, key: IdempotencyKey, request: Any) -> None:
        """Fetches nothing: a test posts DuplicateResolved."""
        self.calls.append(("fetch", key[2], request))


class CoreTestCase(unittest.TestCase):
    """Has a core without front; it is the Executor of its requests.

    Attributes:
        now_ns: The time of the core.
        started: The ids of requests in the order of their starts.
    """

    def setUp(self) -> None:
        """Makes the core, whose executor is ready."""
        self.now_ns, self.request_count = 1000 * S, 0
        self.started: list[str] = []
        log = mock.Mock(exception=self.exception_logged)
        self.actor = CoreActor(
            settings(), 1, mock.Mock(), self.clock, self.clock, log, MAX_RESULT_BYTES, lambda: None
        )
        self.journal = RecordingJournal()
        self.actor.register_journal(self.journal)
        self.post_and_step(ExecutorReady(None, 0))

    def clock(self) -> int:
        """Returns `now_ns`."""
        return self.now_ns

    def exception_logged(self, event: str, **fields: object) -> None:
        """Fails the test."""
        raise AssertionError((event, fields))

    def start(self, request: InboundRequest) -> None:
        """Starts a run, which ends when the test posts RunCompleted."""
        self.started.append(request.id)

    def post_and_step(self, *messages: Message) -> None:
        """Lets the core handle the messages and all that is due."""
        for message in messages:
            self.actor.post(message)
        self.actor.step()

    def request(
        self,
        key: str = "k",
        request_class: RequestClass = FILING,
        retry: bool = False,
        request_id: str | None = None,
    ) -> InboundRequest:
        """Returns a request that arrives now, under a new id unless one is given; the key is for filings."""
        self.request_count += 1
        is_filing = request_class is FILING
        return InboundRequest(
            id=request_id or f"r{self.request_count}",
            request_class=request_class,
            arrived_ns=self.now_ns,
            payload=None,
            responder=RecordingResponder(),
            executor=self,
            tenant=TENANT,
            idempotency_key=(TENANT, request_class.name, key) if is_filing else None,
            is_retry=retry,
            fingerprint=(None, b"x") if is_filing else None,
            work_ns=10**7,
            memory_kb=10.0,
        )

    def arrive(self, *arguments: Any, **fields: Any) -> InboundRequest:
        """Lets a request arrive; the arguments are those of `request`."""
        request = self.request(*arguments, **fields)
        self.post_and_step(RequestArrived(request))
        return request

    def answers(self, request: InboundRequest) -> list[tuple[str, Any]]:
        """Returns what was sent to the caller."""
        return request.responder.answers

    def running(self) -> int:
        """Returns how many runs the controller counts."""
        return self.actor.controller.concurrency.running
