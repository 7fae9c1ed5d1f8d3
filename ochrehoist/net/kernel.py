"""The link to the kernel, which runs the platform's requests: JSON lines, replayed on a new link."""

import base64
import binascii
import json
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
LOST = 30.0  # s after a new link until a filing that the old one may have lost counts as failed
OUTCOMES = {"OK": Outcome.OK, "ERROR": Outcome.FAILED, "STOPPED": Outcome.CANCELLED, "MOOT": Outcome.MOOT}


def _line(**command: Any) -> bytes:
    return json.dumps(command, separators=(",", ":")).encode() + b"\n"


class Kernel:
    """An Executor, and the source of the gauges."""

    def __init__(self, loop: Loop, owner: Owner, address: tuple[str, int], gauges: tuple[str, ...],
                 log: Any) -> None:
        self.loop, self.owner, self.address, self.gauges, self.log = loop, owner, address, gauges, log
        self.stream: Stream | None = None  # once the kernel is up
        self.link: Stream | None = None  # the same, from its start
        self.moved = Signal(loop)
        self.offset = 0
        self.running: dict[str, Inbound] = {}  # started and not reaped
        self.unsent: set[str] = set()  # started while there was no link: never given to any kernel link
        self.asked = 0

    # ---- for the core
    def start(self, request: Inbound) -> None:
        self.running[request.id] = request
        if self.stream is None:
            self.unsent.add(request.id)
        else:
            self._schedule(request)

    def measure(self) -> None:
        if self.stream is not None:
            self.asked += 1
            self.stream.write(_line(cmd="SYSINFO", token=f"g{self.asked}"))

    def _schedule(self, r: Inbound) -> None:
        self.unsent.discard(r.id)
        self.stream.write(_line(cmd="SCHED", req=r.id, method=r.payload.method,
                                payload=base64.b64encode(r.payload.body).decode()))

    def move(self, address: tuple[str, int]) -> None:
        """The kernel is reached at another address from now on; what runs there goes on.

        The old link is not waited for: it may have gone silent already, and its notices are told again.
        """
        if address != self.address:
            self.address = address
            self.moved.set()
            if self.link is not None:
                self.link.close()

    # ---- the link
    def run(self) -> None:
        while True:
            address = self.address
            try:
                self.link = stream = connect(self.loop, address, CONNECT)
            except OSError:
                if address == self.address:
                    self.moved.wait(RETRY)
                continue
            try:
                if address == self.address:  # else it was moved while the connection was being made
                    self._talk(stream)
            except (Closed, TimedOut):
                pass
            except Exception:
                self.log.exception("fault on the kernel link")
            finally:
                self.stream = self.link = None
                stream.close()
            self.log.warning("kernel link lost", offset=self.offset, running=len(self.running))
            if address == self.address:
                self.moved.wait(RETRY)

    def _talk(self, stream: Stream) -> None:
        stream.write(_line(cmd="OPEN", offset=self.offset))
        # Runs given to an earlier link: whether the kernel got them is known only once the replay is in.
        doubtful = [r for r in self.running.values() if r.id not in self.unsent]
        barrier = f"replay{self.offset}"
        while True:
            line = stream.take_line(MAX_LINE)
            try:
                m = json.loads(line)
                command = m["cmd"]
                if command == "BOOTED":
                    self.stream = stream
                    self.owner.post(Booted(m["result"] == "COLD", int(m["elapsed_ms"] * MS)))
                    if doubtful:
                        stream.write(_line(cmd="SYSINFO", token=barrier))
                    for request_id in list(self.unsent):
                        self._schedule(self.running[request_id])
                elif command == "INFO" and m["token"] == barrier:
                    self._resend([r for r in doubtful if r.id in self.running])
                    doubtful = []
                elif command == "INFO":
                    values = [float(v) for v in m["load"]]
                    self.owner.post(Gauges(dict(zip(self.gauges, values, strict=False))))
                elif command in ("REAP", "DMESG"):
                    if m["offset"] > self.offset:
                        self.offset = m["offset"]
                        if command == "REAP":
                            self._reaped(m)
                elif command == "EINVAL":
                    # A request that it was never told of: some client's invention, and nothing was begun.
                    self.log.warning("the kernel did not carry out a command", command=m.get("result"),
                                     id=m.get("req"))
                    self._over(m.get("req"), Result(Outcome.MOOT), 0)
                else:
                    self.log.warning("unknown notice", command=command)
            except (ValueError, KeyError, TypeError) as error:
                self.log.error("a notice that can't be read", why=repr(error))

    def _resend(self, doubtful: list[Inbound]) -> None:
        for r in doubtful:
            # A keyed run that ends between the replay and our command would be run twice: it is left alone.
            # The kernel's REAP, if it has the run, comes by itself.
            if self.owner.settings.classes[r.kind].repeat is Repeat.SAFE:
                self._schedule(r)
            else:  # if the kernel never got it, the module would count it as running for ever
                self.loop.call_later(LOST, partial(self._over, r.id, Result(Outcome.FAILED), int(LOST * 1e9)))

    def _reaped(self, m: dict) -> None:
        try:
            body = base64.b64decode(m.get("payload") or "", validate=True)
        except binascii.Error:
            return self._over(m["req"], Result(Outcome.FAILED), 0)
        outcome = OUTCOMES.get(m["result"], Outcome.FAILED)
        self._over(m["req"], Result(outcome, body), int(m.get("elapsed_ms", 0) * MS))

    def _over(self, request_id: str, result: Result, took: int) -> None:
        if self.running.pop(request_id, None) is not None:
            self.unsent.discard(request_id)
            self.owner.post(Ended(request_id, result, took))
