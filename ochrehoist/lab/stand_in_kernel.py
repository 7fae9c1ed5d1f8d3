"""A stand-in for the platform's kernel: it owns the cores, and runs what is scheduled (asyncio)."""

import asyncio
import json
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from ochrehoist.lab.machine_cores import MachineCores, RunClock
from ochrehoist.lab.outcomes import Call, ServiceRun
from ochrehoist.plan.cores import Machine

MAX_NOTICES = 4000  # that an address keeps
WARM_BOOT = {"cmd": "BOOTED", "result": "WARM", "elapsed_ms": 600_000}

Notice = dict[str, Any]  # one line of the link, as the platform's documents have it


@dataclass(frozen=True)
class OpenCall:
    """A request that a caller waits for."""

    call: Call
    attempt: int
    work_s: float


class KernelAddress:
    """One address of a kernel: it numbers its own notices, and tells only of runs begun through it."""

    def __init__(self, kernel: "Kernel") -> None:
        self._kernel = kernel
        self._notices: list[Notice] = []
        self._link: asyncio.StreamWriter | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listens at a free port, and returns it."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def stop(self) -> None:
        """Ends it and its link."""
        if self._server is not None:
            self._server.close()
        if self._link is not None:
            self._link.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, ValueError, asyncio.CancelledError):
            while line := await reader.readline():
                self._handle(json.loads(line), writer)
        writer.close()

    def _handle(self, command: Notice, writer: asyncio.StreamWriter) -> None:
        if command["cmd"] == "OPEN":
            self._open(command["offset"], writer)
        elif command["cmd"] == "SYSINFO":
            self._send({"cmd": "INFO", "token": command["token"], "load": self._kernel.gauges()})
        elif command["cmd"] == "SCHED":
            self._kernel.schedule(command["req"], self)

    def _open(self, offset: int, writer: asyncio.StreamWriter) -> None:
        """A link begins: it gets the notices after the last one that the process knows."""
        if not offset:  # a process that has just started: its notices are numbered from 1
            self._notices.clear()
        self._link = writer
        self._send(WARM_BOOT)
        for notice in self._notices:
            if notice["offset"] > offset:
                self._send(notice)

    def add_notice(self, request_id: str, result: str, duration_s: float) -> None:
        """Keeps and sends how a run has ended."""
        offset = self._notices[-1]["offset"] + 1 if self._notices else 1
        notice = {
            "cmd": "REAP",
            "offset": offset,
            "req": request_id,
            "result": result,
            "elapsed_ms": round(duration_s * 1000, 3),
            "payload": "",
        }
        self._notices.append(notice)
        del self._notices[:-MAX_NOTICES]
        self._send(notice)

    def _send(self, notice: Notice) -> None:
        if self._link is not None and not self._link.is_closing():
            self._link.write(json.dumps(notice).encode() + b"\n")


class Kernel:
    """The kernel of one worker. Runs go on whatever becomes of links and processes."""

    def __init__(self, name: str, machine: Machine, clock: RunClock, runs: list[ServiceRun]) -> None:
        self.cores = MachineCores(machine, clock)
        self.port = 0
        self.peak_count = 0  # of runs at once
        self._name = name
        self._clock = clock
        self._runs = runs
        self._open: dict[str, OpenCall] = {}  # by request id
        self._begun: set[str] = set()
        self._addresses: list[KernelAddress] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> "Kernel":
        """Listens at its first address."""
        self.port = await self.add_address()
        return self

    async def add_address(self) -> int:
        """The port of one more address: a process that replaces another gets its own."""
        self._addresses.append(KernelAddress(self))
        return await self._addresses[-1].start()

    def stop(self) -> None:
        """Ends all its addresses and runs."""
        for address in self._addresses:
            address.stop()
        for task in self._tasks:
            task.cancel()

    def set_cutting(self, on: bool) -> None:
        """A kernel has no connections of requests that it could close."""

    def call_opened(self, request_id: str, open_call: OpenCall) -> None:
        """A caller waits for this request from now on."""
        self._open[request_id] = open_call

    def call_closed(self, request_id: str) -> None:
        """No caller waits for it any more."""
        self._open.pop(request_id, None)

    def gauges(self) -> list[float]:
        """The part of the cores that was busy lately, and how much runs."""
        return [self.cores.busy_fraction(), float(self.cores.running_count)]

    def schedule(self, request_id: str, address: KernelAddress) -> None:
        """Runs a request, at most once, and tells of its end through the address."""
        if request_id in self._begun:
            return
        open_call = self._open.get(request_id)
        if open_call is None:
            address.add_notice(request_id, "MOOT", 0.0)
            return
        self._begun.add(request_id)
        run = ServiceRun(
            self._name,
            self._name.replace("s", "w", 1),
            open_call.call.number,
            open_call.attempt,
            open_call.call.idempotency_key,
            self._clock(),
        )
        self._runs.append(run)
        task = asyncio.create_task(self._run(request_id, run, open_call.work_s, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, request_id: str, run: ServiceRun, work_s: float, address: KernelAddress) -> None:
        self.peak_count = max(self.peak_count, self.cores.running_count + 1)
        await self.cores.work(work_s)
        run.ended_s = self._clock()
        address.add_notice(request_id, "OK", run.ended_s - run.started_s)
