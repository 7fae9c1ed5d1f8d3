"""The link to the kernel, which runs the platform's requests: JSON lines, replayed on a new link.

`doubts.py` decides what of it is given again after a break.
"""

import base64
import json
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from ochrehoist.admission.events import Outcome
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import ExecutorReady, GaugesMeasured, RunCompleted
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import RunResult
from ochrehoist.errors import OchrehoistError
from ochrehoist.net.doubts import REACHED, Run, Runs
from ochrehoist.net.loop import Loop, Signal
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError, connect

MS = 1_000_000
MAX_LINE = 1 << 20
RETRY = 0.05  # s between tries to get a link
CONNECT = 0.25  # s for a link to a process on this machine: what hangs must not hold up a move
LOST = 10.0  # s after a break until a filing still in doubt counts as failed, so that its slot is free
SILENT = 0.7  # s without an answer to a question after which a link is taken for silent
MUTE = 2.0  # the same on a link that tells other things meanwhile
BOOT = 1.0  # s for the first word on a new link, once the kernel was up
MAX_ASKED = 64  # questions without an answer that are remembered
OUTCOMES = {
    "OK": Outcome.OK,
    "ERROR": Outcome.FAILED,
    "STOPPED": Outcome.CANCELLED,
    "MOOT": Outcome.NOT_STARTED,
}


def _line(**command: Any) -> bytes:
    return json.dumps(command, separators=(",", ":")).encode() + b"\n"


class LinkSequenceError(OchrehoistError):
    """A notice was missed or can't be read: a new link tells it again."""


class Kernel:
    """An Executor, and the source of the gauges."""

    def __init__(
        self,
        loop: Loop,
        owner: CoreActor,
        address: tuple[str, int],
        gauges: tuple[str, ...],
        log: Any,
        is_shared: Callable[[], bool] = lambda: False,
    ) -> None:
        """`is_shared`: whether another process may run something at the same kernel."""
        self.loop, self.owner, self.address, self.gauges, self.log = loop, owner, address, gauges, log
        self.stream: Stream | None = None  # once the kernel is up
        self.since = time.monotonic()  # when the link came up, or was lost
        self.measured_at: float | None = None  # when gauges came last
        self.link: Stream | None = None  # the same, from its start
        self.booted = False  # it was up once
        self.moved = Signal(loop)
        self.offset = 0
        self.stepped_over = -1  # the offset after which the next notice can't be had
        self.runs = Runs()
        self.asked = 0
        self.questions: dict[str, float] = {}  # gauges asked for on this link, and when
        self.asks_again = False  # soon, for what is in doubt
        self._is_shared = is_shared

    # ---- for the core
    def start(self, request: InboundRequest) -> None:
        run = self.runs.start(request)
        if self.stream is not None:
            self._schedule(run)

    def measure(self) -> None:
        if self.stream is not None:
            if self._silent():
                self.log.warning("the kernel's link is silent")
                return self.stream.close()  # notices are told again on a new one
            self.asked += 1
            token = f"g{self.asked}"
            self.questions[token] = time.monotonic()
            if len(self.questions) > MAX_ASKED:
                del self.questions[next(iter(self.questions))]
            self.stream.write(_line(cmd="SYSINFO", token=token))

    def _silent(self) -> bool:
        """Whether an answer is overdue. After a stall of this process it may be here, behind notices."""
        if not self.questions:
            return False
        now = time.monotonic()
        asked = now - next(iter(self.questions.values()))
        return asked > SILENT and (now - self.stream.heard_at > SILENT or asked > MUTE)

    def _schedule(self, run: Run) -> None:
        r = run.request
        run.give(time.monotonic())
        self.stream.write(
            _line(
                cmd="SCHED",
                req=r.id,
                method=r.payload.method,
                payload=base64.b64encode(r.payload.body).decode(),
            )
        )

    def move(self, address: tuple[str, int], gauges: tuple[str, ...]) -> None:
        """The kernel is reached at another address from now on; what runs there goes on.

        The old link is not waited for: it may have gone silent already, and its notices are told again.
        """
        self.gauges = gauges
        if address != self.address:
            self.address = address
            self.moved.set()
            if self.link is not None:
                self.link.close()

    def status_section(self) -> dict[str, Any]:
        """For operators: the link's address and state, and how much waits for it."""
        now = time.monotonic()
        state = "down" if self.booted else "starting"
        if self.stream:
            state = "silent" if self._silent() else "up"
        age = None if self.measured_at is None else round(now - self.measured_at, 2)
        return {
            "address": f"{self.address[0]}:{self.address[1]}",
            "link": state,
            "since_s": round(now - self.since, 1),
            "gauges_age_s": age,
            "notices": self.offset,
            "waiting": len(self.runs.not_given()),
            "doubtful": len(self.runs.doubtful()),
        }

    # ---- the link
    def run(self) -> None:
        while True:
            address, began = self.address, time.monotonic()
            try:
                self.link = stream = connect(self.loop, address, CONNECT)
            except OSError:
                if address == self.address:
                    self.moved.wait(RETRY)
                continue
            why = "closed"
            try:
                if address == self.address:  # else it was moved while the connection was being made
                    self._talk(stream)
            except (ConnectionClosedError, StreamTimeoutError):
                pass
            except LinkSequenceError as error:
                why = str(error)
            except Exception:
                self.log.exception("fault on the kernel link")
            finally:
                if self.stream is not None:
                    self.since = time.monotonic()
                self.stream = self.link = None
                stream.close()
            self.questions.clear()
            self._wait_for_the_end_of(self.runs.link_lost())
            self.log.warning(
                "kernel link lost",
                why=why,
                offset=self.offset,
                running=len(self.runs.open),
                doubtful=len(self.runs.doubtful()),
            )
            if time.monotonic() - began < RETRY and address == self.address:
                self.moved.wait(RETRY)  # one that closes at once must not be tried without end

    def _wait_for_the_end_of(self, filings: list[Run]) -> None:
        for run in filings:
            self.loop.call_later(LOST, partial(self._let_go, run))

    def _let_go(self, run: Run) -> None:
        if run.doubtful and self.runs.is_open(run):
            self._over(run.request.id, RunResult(Outcome.FAILED), int(LOST * 1e9))

    def _talk(self, stream: Stream) -> None:
        stream.write(_line(cmd="OPEN", offset=self.offset))
        while True:
            # A kernel that is not up yet may be waited for; one that was up has no reason to be silent.
            line = stream.take_line(MAX_LINE, BOOT if self.stream is None and self.booted else None)
            try:
                self._notice(stream, json.loads(line))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                self._out_of_step(f"a notice that can't be read: {error!r}")

    def _out_of_step(self, why: str) -> None:
        """Has the notices told again, once: what is no better then is passed over."""
        if self.stepped_over == self.offset:
            self.log.error("the kernel's notices have a gap", why=why, offset=self.offset)
            return self._wait_for_the_end_of(self.runs.gap())
        self.stepped_over = self.offset
        raise LinkSequenceError(why)

    def _notice(self, stream: Stream, m: dict) -> None:
        command = m["cmd"]
        if command == "BOOTED":
            self.stream, self.booted, self.since = stream, True, time.monotonic()
            self.runs.linked(self.since)
            self.owner.post(ExecutorReady(m["result"] == "COLD", int(m["elapsed_ms"] * MS)))
            if self.runs.doubtful():
                self.measure()  # answered after all notices of before
            for run in self.runs.not_given():
                if run.request.answered:  # nobody waits for it any more
                    self._over(run.request.id, RunResult(Outcome.NOT_STARTED), 0)
                else:
                    self._schedule(run)
        elif command == "INFO":
            values = dict(zip(self.gauges, [float(v) for v in m["load"]], strict=False))
            asked = self.questions.pop(m["token"], None)
            if asked is not None:
                self.stepped_over = -1  # all that was to be told again on this link has been
                self.runs.heed(asked, time.monotonic())
                self._settle_doubts(asked, values.get("runnable"))
            self.measured_at = time.monotonic()
            self.owner.post(GaugesMeasured(values))
        elif command in ("REAP", "DMESG"):
            offset = m["offset"]
            if offset > self.offset + 1:
                self._out_of_step(f"notice {offset} after {self.offset}")
            if offset > self.offset:  # else it was told before
                end = self._end(m) if command == "REAP" else None
                self.offset = offset  # one that can't be read has not been heard: it is told again
                if end is not None:
                    self._over(*end)
        elif command == "EINVAL":
            # A request that it was never told of: some client's invention, and nothing was begun.
            self.log.warning(
                "the kernel did not carry out a command", command=m.get("result"), id=m.get("req")
            )
            self._over(m.get("req"), RunResult(Outcome.NOT_STARTED), 0)
        else:
            self.log.warning("unknown notice", command=command)

    def _settle_doubts(self, asked: float, runnable: float | None) -> None:
        """What is still in doubt when gauges asked for on this link are here was not over before."""
        for run in self.runs.reads_in_doubt():
            self._schedule(run)
        if self._is_shared():  # what another process runs there is not known here
            return
        for run in self.runs.lost(asked, runnable):
            self.log.info("a lost filing was found", id=run.request.id, answered=run.request.answered)
            if run.request.answered:
                self._over(run.request.id, RunResult(Outcome.NOT_STARTED), 0)
            else:
                self._schedule(run)
        if self.runs.filings_in_doubt() and not self.asks_again:
            self.asks_again = True
            self.loop.call_later(REACHED, self._ask_again)

    def _ask_again(self) -> None:
        """What was read before the last answer is at the cores by now: it may settle a doubt."""
        self.asks_again = False
        if self.runs.filings_in_doubt():
            self.measure()

    def _end(self, m: dict) -> tuple[str, RunResult, int]:
        """Which run is over, its result, and how long it took; raises where that can't be read."""
        request_id = m["req"]
        try:
            body = base64.b64decode(m.get("payload") or "", validate=True)
            took = int(m.get("elapsed_ms", 0) * MS)
        except (ValueError, TypeError):
            if self.stepped_over != self.offset:
                raise
            return request_id, RunResult(Outcome.FAILED), 0  # told twice, and no better
        return request_id, RunResult(OUTCOMES.get(m["result"], Outcome.FAILED), body), took

    def _over(self, request_id: str, result: RunResult, took: int) -> None:
        if self.runs.over(request_id) is not None:
            self.owner.post(RunCompleted(request_id, result, took))
