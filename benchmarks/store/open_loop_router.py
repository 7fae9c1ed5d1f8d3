"""A router that sends at its rate whatever comes back, and counts what is answered in time."""

import random
import threading
import time
from dataclasses import dataclass

from benchmarks.shared.stand_ins import ThriftReply, WorkerProcess
from benchmarks.store.emulated_kernel import WORK_FACTORS

SMALL, LARGE = "small", "large"
LARGE_SHARE = 0.25
ESTIMATED_WORK_MS = 20
OBJECTIVE_S = {SMALL: 0.2, LARGE: 0.5}
LAST_ANSWERS_S = 1.3
SENT_POLL_S = 0.001


@dataclass(frozen=True)
class _SentRequest:
    sent_s: float
    objective_s: float


class _TimedAnswers(dict[int, ThriftReply]):
    """Answers by sequence number, and when each came.

    They come in any order, and are read in that of the requests: the client puts here those that came early.
    """

    def __init__(self) -> None:
        super().__init__()
        self.received_s: dict[int, float] = {}

    def __setitem__(self, seqid: int, answer: ThriftReply) -> None:
        self.received_s[seqid] = time.monotonic()
        super().__setitem__(seqid, answer)


class OpenLoopRouter(threading.Thread):
    """Sends requests of two classes for some time; `good` of `sent` were answered within their objective."""

    def __init__(self, worker: WorkerProcess, seed: int, requests_per_s: float, duration_s: float) -> None:
        super().__init__(daemon=True)
        self.good = 0
        self.sent = 0
        self._rng = random.Random(seed)
        self._requests_per_s = requests_per_s
        self._duration_s = duration_s
        self._answers = _TimedAnswers()
        self._client = worker.thrift_router()
        self._client.replies = self._answers
        self._open: dict[int, _SentRequest] = {}

    def run(self) -> None:
        """Send, then wait for the last answers."""
        threading.Thread(target=self._receive, daemon=True).start()
        due_s = time.monotonic()
        end_s = due_s + self._duration_s
        while due_s < end_s:
            time.sleep(max(0.0, due_s - time.monotonic()))
            self._send(LARGE if self._rng.random() < LARGE_SHARE else SMALL)
            due_s += self._rng.expovariate(self._requests_per_s)
        time.sleep(LAST_ANSWERS_S)
        self._client.close()

    def _send(self, method: str) -> None:
        self._open[self._client.sequence_id + 1] = _SentRequest(time.monotonic(), OBJECTIVE_S[method])
        self._client.invoke(method, b"x", est=str(ESTIMATED_WORK_MS * WORK_FACTORS[method]))
        self.sent += 1

    def _receive(self) -> None:
        seqid = 0
        try:
            while True:
                seqid += 1
                while seqid not in self._open:
                    time.sleep(SENT_POLL_S)
                kind = self._client.answer(seqid)[0]
                request = self._open.pop(seqid)
                latency_s = self._answers.received_s[seqid] - request.sent_s
                self.good += kind == "Answer" and latency_s <= request.objective_s
        except (OSError, EOFError):
            pass  # the connection was closed: all that counts was answered
