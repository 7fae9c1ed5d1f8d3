"""The link to the kernel, which runs the platform's requests: JSON lines, replayed on a new link.

Commands of the last 50 ms before a link breaks may be lost. What was given before that runs; the rest is in
doubt until it is told to be over or shown not to run. A read in doubt is simply given again: at worst it runs
twice. A filing in doubt is given again only once the kernel runs nothing but what it is known to run.
"""

import base64
import binascii
import json
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from ochrehoist.core.owner import Owner
from ochrehoist.core.requests import Booted, Ended, Gauges, Inbound, Result
from ochrehoist.interface import Outcome, Repeat
from ochrehoist.net.loop import Loop, Signal
from ochrehoist.net.stream import Closed, Stream, TimedOut, connect

MS = 1_000_000
MAX_LINE = 1 << 20
RETRY = 0.05  # s between tries to get a link
CONNECT = 0.25  # s for a link to a process on this machine: what hangs must not hold up a move
LOSS = 0.06  # s before a break in which commands may be lost: 50 ms, and some for the clocks
LOST = 10.0  # s after a break until a filing still in doubt counts as failed, so that its slot is free
SILENT = 0.7  # s without an answer to a question after which a link is taken for silent
BOOT = 1.0  # s for the first word on a new link, once the kernel was up
MAX_ASKED = 64  # questions without an answer that are remembered
OUTCOMES = {"OK": Outcome.OK, "ERROR": Outcome.FAILED, "STOPPED": Outcome.CANCELLED, "MOOT": Outcome.MOOT}


@dataclass(slots=True)
class Run:
    """A request that was started and is not known to be over."""

    request: Inbound
    given: float | None = None  # when its command was written to a link; None: not yet
    doubtful: bool = False  # its command may have been lost with a link
    known: bool = False  # its command was carried out


def _line(**command: Any) -> bytes:
    return json.dumps(command, separators=(",", ":")).encode() + b"\n"


class OutOfStep(Exception):
    """A notice was missed or can't be read: a new link tells it again."""


class Kernel:
    """An Executor, and the source of the gauges."""

    def __init__(self, loop: Loop, owner: Owner, address: tuple[str, int], gauges: tuple[str, ...],
                 log: Any) -> None:
        self.loop, self.owner, self.address, self.gauges, self.log = loop, owner, address, gauges, log
        self.stream: Stream | None = None  # once the kernel is up
        self.since = time.monotonic()  # when the link came up, or was lost
        self.measured_at: float | None = None  # when gauges came last
        self.link: Stream | None = None  # the same, from its start
        self.booted = False  # it was up once
        self.moved = Signal(loop)
        self.offset = 0
        self.stepped_over = -1  # the offset after which the next notice can't be had
        self.running: dict[str, Run] = {}
        self.asked = 0
        self.questions: dict[str, float] = {}  # gauges asked for on this link, and when
        self.shared: Callable[[], bool] = lambda: False  # whether another process may run something there
        self.heeded = -math.inf  # the kernel has read all that was written to this link before

    # ---- for the core
    def start(self, request: Inbound) -> None:
        run = self.running[request.id] = Run(request)
        if self.stream is not None:
            self._schedule(run)

    def measure(self) -> None:
        if self.stream is not None:
            if self.questions and time.monotonic() - next(iter(self.questions.values())) > SILENT:
                self.log.warning("the kernel's link is silent")
                return self.stream.close()  # notices are told again on a new one
            self.asked += 1
            token = f"g{self.asked}"
            self.questions[token] = time.monotonic()
            if len(self.questions) > MAX_ASKED:
                del self.questions[next(iter(self.questions))]
            self.stream.write(_line(cmd="SYSINFO", token=token))

    def _schedule(self, run: Run) -> None:
        r, run.given, run.doubtful = run.request, time.monotonic(), False
        self.stream.write(_line(cmd="SCHED", req=r.id, method=r.payload.method,
                                payload=base64.b64encode(r.payload.body).decode()))

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

    def view(self) -> dict[str, Any]:
        """For operators: the link's address and state, and how much waits for it."""
        now = time.monotonic()
        silent = self.questions and now - next(iter(self.questions.values())) > SILENT
        state = ("silent" if silent else "up") if self.stream else "down" if self.booted else "starting"
        age = None if self.measured_at is None else round(now - self.measured_at, 2)
        return {"address": f"{self.address[0]}:{self.address[1]}", "link": state,
                "since_s": round(now - self.since, 1), "gauges_age_s": age, "notices": self.offset,
                "waiting": sum(run.given is None for run in self.running.values()),
                "doubtful": sum(run.doubtful for run in self.running.values())}

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
            except (Closed, TimedOut):
                pass
            except OutOfStep as error:
                why = str(error)
            except Exception:
                self.log.exception("fault on the kernel link")
            finally:
                if self.stream is not None:
                    self.since = time.monotonic()
                self.stream = self.link = None
                stream.close()
            doubtful = self._doubt()
            self.log.warning("kernel link lost", why=why, offset=self.offset, running=len(self.running),
                             doubtful=doubtful)
            if time.monotonic() - began < RETRY and address == self.address:
                self.moved.wait(RETRY)  # one that closes at once must not be tried without end

    def _doubt(self) -> int:
        """After a break: tells what the kernel got from what it may not have got."""
        before, self.heeded = self.heeded - LOSS, -math.inf
        self.questions.clear()
        for run in self.running.values():
            if run.given is not None and not run.known and not run.doubtful:
                run.known, run.doubtful = run.given < before, run.given >= before
                if run.doubtful and not self._safe(run):
                    self.loop.call_later(LOST, partial(self._let_go, run))
        return sum(run.doubtful for run in self.running.values())

    def _safe(self, run: Run) -> bool:
        return run.request.cls.repeat is Repeat.SAFE

    def _let_go(self, run: Run) -> None:
        if run.doubtful and self.running.get(run.request.id) is run:
            self._over(run.request.id, Result(Outcome.FAILED), int(LOST * 1e9))

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
            return
        self.stepped_over = self.offset
        raise OutOfStep(why)

    def _notice(self, stream: Stream, m: dict) -> None:
        command = m["cmd"]
        if command == "BOOTED":
            self.stream, self.booted, self.since = stream, True, time.monotonic()
            self.owner.post(Booted(m["result"] == "COLD", int(m["elapsed_ms"] * MS)))
            if any(run.doubtful for run in self.running.values()):
                self.measure()  # answered after all notices of before
            for run in [run for run in self.running.values() if run.given is None]:
                if run.request.answered:  # nobody waits for it any more
                    self._over(run.request.id, Result(Outcome.MOOT), 0)
                else:
                    self._schedule(run)
        elif command == "INFO":
            values = dict(zip(self.gauges, [float(v) for v in m["load"]], strict=False))
            asked = self.questions.pop(m["token"], None)
            if asked is not None:
                self.heeded = max(self.heeded, asked)
                self._settle_doubts(asked, values.get("runnable"))
            self.measured_at = time.monotonic()
            self.owner.post(Gauges(values))
        elif command in ("REAP", "DMESG"):
            offset = m["offset"]
            if offset > self.offset + 1:
                self._out_of_step(f"notice {offset} after {self.offset}")
            if offset > self.offset:  # else it was told before
                self.offset = offset
                if command == "REAP":
                    self._reaped(m)
        elif command == "EINVAL":
            # A request that it was never told of: some client's invention, and nothing was begun.
            self.log.warning("the kernel did not carry out a command", command=m.get("result"),
                             id=m.get("req"))
            self._over(m.get("req"), Result(Outcome.MOOT), 0)
        else:
            self.log.warning("unknown notice", command=command)

    def _settle_doubts(self, asked: float, runnable: float | None) -> None:
        """What is still in doubt when gauges asked for on this link are here was not over before."""
        doubtful = [run for run in self.running.values() if run.doubtful]
        for run in doubtful:
            if self._safe(run):
                self._schedule(run)
        filings = [run for run in doubtful if run.doubtful]
        if not filings:
            return
        # Whatever runs wants a core. Where no more want one than are known to run, no filing in doubt does;
        # nor is one over, for that would have been told first. So its command was lost, and it never ran.
        known = sum(run.given is not None and run.given <= asked and not run.doubtful
                    for run in self.running.values())
        if runnable != known or self.shared():
            return
        for run in filings:
            self.log.info("a lost filing was found", id=run.request.id, answered=run.request.answered)
            if run.request.answered:
                self._over(run.request.id, Result(Outcome.MOOT), 0)
            else:
                self._schedule(run)

    def _reaped(self, m: dict) -> None:
        try:
            body = base64.b64decode(m.get("payload") or "", validate=True)
        except binascii.Error:
            return self._over(m["req"], Result(Outcome.FAILED), 0)
        outcome = OUTCOMES.get(m["result"], Outcome.FAILED)
        self._over(m["req"], Result(outcome, body), int(m.get("elapsed_ms", 0) * MS))

    def _over(self, request_id: str, result: Result, took: int) -> None:
        if self.running.pop(request_id, None) is not None:
            self.owner.post(Ended(request_id, result, took))
