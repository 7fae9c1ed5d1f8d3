"""What is left of a core whose state another process has taken over: it passes on what it is posted.

The requests it read stay here, with their payloads and ways back. The other process decides; this one runs
what it is told to run, answers as it is told, and tells how runs end.
"""

from collections.abc import Callable

from ochrehoist.admission.events import Outcome
from ochrehoist.core.answers import FAILED, REFUSED, Answers
from ochrehoist.core.handover import DetailCodec, Line, Send, request_line, result_from, result_line
from ochrehoist.core.messages import (
    CallerDisconnected,
    IntentRecorded,
    Message,
    RequestArrived,
    RunCompleted,
    StandbyChanged,
)
from ochrehoist.core.persisted_names import FAILURE_REASONS_BY_NAME
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason, RunResult

LATE = 25_000_000  # ns past its due time after which a request is answered here, whatever the other does


class Forwarder:
    def __init__(
        self,
        pending: dict[str, InboundRequest],
        send: Send,
        codec: DetailCodec,
        answers: Answers,
        clock: Callable[[], int],
        wall: Callable[[], int],
    ) -> None:
        self.pending, self.codec, self.answers, self.log = pending, codec, answers, answers.log
        self.clock, self.wall = clock, wall
        self.send: Send | None = send  # None: the other process is gone
        self.ends_at: int | None = None  # by the clock: what is open then is failed, for this process ends
        self.over: dict[str, RunCompleted] = {}  # runs that have ended, whose answer is still to be told

    @property
    def owed(self) -> int:
        return sum(not r.answered for r in self.pending.values())

    # ---- what this process's own parts post
    def take(self, message: Message) -> None:
        if isinstance(message, RequestArrived):
            self._arrived(message.request)
        elif isinstance(message, CallerDisconnected):
            r = self.pending.get(message.id)
            if r is not None:
                r.answered = True
                self._tell({"m": "gone", "id": r.id, "gave_up": message.gave_up})
                self._let_go(r)
        elif isinstance(message, RunCompleted):
            self._ended(message)
        elif isinstance(message, IntentRecorded):
            self._recorded(message)
        elif isinstance(message, StandbyChanged):
            self._tell({"m": "standby", "on": message.enabled})
        # Gauges, alarms, joined repeats and the notice to leave concern the one that decides.

    def _tell(self, line: Line) -> None:
        if self.send is not None:
            self.send(line)

    def _arrived(self, r: InboundRequest) -> None:
        now = self.clock()
        r.due_ns = max(now, now - max(0, self.wall() - r.arrived_ns) + r.request_class.deadline_ns)
        if r.id in self.pending or self.send is None:
            # Whether a filing has run is known only to the other process: no refusal can be given.
            r.answered = True
            return self.answers.send(r, FAILED, lambda: r.responder.failed(FailureReason.INTERNAL))
        self.pending[r.id] = r
        self._tell({"m": "arrived"} | request_line(r, r.arrived_ns))

    def _recorded(self, m: IntentRecorded) -> None:
        """A filing that was on its way to the disk when the other process took over."""
        r = self.pending.get(m.id)
        if r is not None and m.recorded and not r.answered:
            self._execute(r)
        elif r is not None:
            self.take(RunCompleted(r.id, RunResult(Outcome.NOT_STARTED), 0))

    def _ended(self, m: RunCompleted) -> None:
        r = self.pending.get(m.id)
        if r is None:
            return
        self._tell(
            {"m": "ended", "id": m.id, "result": result_line(m.result, self.codec), "took": m.duration_ns}
        )
        if self.send is None and not r.answered:
            self._finish(r, m.result)
        self.over[m.id] = m
        self._let_go(r)

    # ---- what the other process decides
    def hear(self, line: Line) -> None:
        kind, r = line["m"], self.pending.get(line.get("id"))
        if kind == "start":
            return self._start(line["id"], r)
        if r is None or r.answered:
            return
        if kind == "served":
            self._finish(r, result_from(line["result"], self.codec))
        elif kind == "refused":
            r.answered = True
            self.answers.send(r, REFUSED, lambda: r.responder.rejected(line["backoff"], line["no_retry"]))
        elif kind == "failed":
            result = None if line["result"] is None else result_from(line["result"], self.codec)
            r.answered = True
            self.answers.send(
                r, FAILED, lambda: r.responder.failed(FAILURE_REASONS_BY_NAME[line["reason"]], result)
            )
        self._let_go(r)

    def _start(self, request_id: str, r: InboundRequest | None) -> None:
        if r is None or r.started:  # its caller has left: nothing is begun
            if r is None:
                moot = result_line(RunResult(Outcome.NOT_STARTED), self.codec)
                self._tell({"m": "ended", "id": request_id, "result": moot, "took": 0})
            return
        r.started = True
        self._execute(r)

    def _execute(self, r: InboundRequest) -> None:
        r.started_ns = self.clock()
        if not self.answers.execute(r):
            self.take(RunCompleted(r.id, RunResult(Outcome.FAILED), 0))

    def lost(self) -> None:
        """The other process is gone. What runs here is answered when it ends; nothing else will be begun."""
        self.send = None
        for r in list(self.pending.values()):
            if r.answered:
                continue
            ended = self.over.get(r.id)
            if ended is not None:
                self._finish(r, ended.result)
            elif not r.started:
                self._fail(r, FailureReason.INTERNAL)
            self._let_go(r)

    def tick(self) -> None:
        now = self.clock()
        for r in list(self.pending.values()):
            due = r.due_ns + LATE if self.ends_at is None else min(r.due_ns + LATE, self.ends_at)
            if not r.answered and due <= now:
                self.log.warning("answered without the process that decides", id=r.id)
                self._fail(r, FailureReason.DEADLINE_PASSED)
                self._tell({"m": "gone", "id": r.id, "gave_up": False})
                self._let_go(r)

    # ---- answers
    def _finish(self, r: InboundRequest, result: RunResult) -> None:
        r.answered = True
        self.answers.tell_result(r, result)

    def _fail(self, r: InboundRequest, reason: FailureReason) -> None:
        r.answered = True
        self.answers.send(r, FAILED, lambda: r.responder.failed(reason))

    def _let_go(self, r: InboundRequest) -> None:
        """What is answered and does not run is of no more concern here."""
        if r.answered and (not r.started or r.id in self.over):
            self.pending.pop(r.id, None)
            self.over.pop(r.id, None)
