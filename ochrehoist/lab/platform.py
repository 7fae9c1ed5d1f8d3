"""The platform's form of a worker in a play: a stand-in kernel below, a router in front (asyncio)."""

import asyncio
import base64
import json
import time
from contextlib import suppress
from typing import Any

from ochrehoist.lab.ends import Clock, OnCores, Run
from ochrehoist.lab.judge import REFUSED, SERVED, CallMade
from ochrehoist.plan.cores import Machine
from ochrehoist.plan.routing import Answer
from ochrehoist.plan.thrift_client import MAX_OPEN_REQUESTS, Connection

FAILED, CROSSED = 502, -2
KEPT = 4000  # notices


class Address:
    """One address of a kernel: it numbers its own notices, and tells only of runs begun through it."""

    def __init__(self, kernel: "Kernel") -> None:
        self.kernel = kernel
        self.notices: list[dict[str, Any]] = []
        self.link: asyncio.StreamWriter | None = None

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._linked, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self.server.close()
        if self.link is not None:
            self.link.transport.abort()

    async def _linked(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, ValueError, asyncio.CancelledError):
            while line := await reader.readline():
                m = json.loads(line)
                if m["cmd"] == "OPEN":
                    if not m["offset"]:  # a process that has just started: its notices are numbered from 1
                        self.notices.clear()
                    self.link = writer
                    self.say({"cmd": "BOOTED", "result": "WARM", "elapsed_ms": 600_000})
                    for notice in self.notices:
                        if notice["offset"] > m["offset"]:
                            self.say(notice)
                elif m["cmd"] == "SYSINFO":
                    self.say({"cmd": "INFO", "token": m["token"], "load": self.kernel.gauges()})
                elif m["cmd"] == "SCHED":
                    self.kernel.schedule(m["req"], self)
        writer.close()

    def notice(self, rid: str, result: str, took: float) -> None:
        offset = self.notices[-1]["offset"] + 1 if self.notices else 1
        notice = {
            "cmd": "REAP",
            "offset": offset,
            "req": rid,
            "result": result,
            "elapsed_ms": round(took * 1000, 3),
            "payload": "",
        }
        self.notices.append(notice)
        del self.notices[:-KEPT]
        self.say(notice)

    def say(self, notice: dict[str, Any]) -> None:
        if self.link is not None and not self.link.is_closing():
            self.link.write(json.dumps(notice).encode() + b"\n")


class Kernel(OnCores):
    """Owns the cores of one worker. Runs go on whatever becomes of links and processes."""

    def __init__(self, name: str, machine: Machine, now: Clock, runs: list[Run]) -> None:
        super().__init__(machine, now)
        self.name, self.runs = name, runs
        self.open: dict[str, tuple[CallMade, int, float]] = {}  # requests that callers wait for, by id
        self.begun: set[str] = set()
        self.addresses: list[Address] = []
        self.tasks: set[asyncio.Task] = set()
        self.most_at_once = 0

    async def start(self) -> "Kernel":
        self.port = await self.another()
        return self

    async def another(self) -> int:
        """The port of one more address: a process that replaces another gets its own."""
        self.addresses.append(Address(self))
        return await self.addresses[-1].start()

    def stop(self) -> None:
        for address in self.addresses:
            address.stop()
        for task in self.tasks:
            task.cancel()

    def gauges(self) -> list[float]:
        self.kick()
        return [self.cores.busy_share(self.now()), float(len(self.cores.running))]

    def schedule(self, rid: str, by: Address) -> None:
        if rid in self.begun:
            return
        if rid not in self.open:
            return by.notice(rid, "MOOT", 0.0)
        self.begun.add(rid)
        call, attempt, work = self.open[rid]
        run = Run(self.name, self.name.replace("s", "w", 1), call.number, attempt, call.key, self.now())
        self.runs.append(run)
        task = asyncio.create_task(self._run(rid, run, work, by))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, rid: str, run: Run, work: float, by: Address) -> None:
        self.most_at_once = max(self.most_at_once, len(self.cores.running) + 1)
        await self.work(work)
        run.ended = self.now()
        by.notice(rid, "OK", run.ended - run.began)


class ThriftAsker:
    """A router's way to one worker."""

    def __init__(self, name: str, address: tuple[str, int], kernel: Kernel) -> None:
        self.name, self.address, self.kernel = name, address, kernel
        self.connections: list[Connection] = []
        self.numbers = 0

    async def ask(self, call: CallMade, attempt: int, work: float) -> int:
        status = await self._ask(call, attempt, work)
        # One that crossed the worker's farewell is sent once more, on a new connection.
        return status if status != CROSSED else await self._ask(call, attempt, work)

    async def _ask(self, call: CallMade, attempt: int, work: float) -> int:
        self.connections = [c for c in self.connections if not c.closed]
        c = next((c for c in self.connections if len(c.waiting) < MAX_OPEN_REQUESTS), None)
        if c is None:
            c = Connection(*await asyncio.open_connection(*self.address))
            self.connections.append(c)
        self.numbers += 1
        rid = f"{call.number:010x}{attempt % 16:x}{self.numbers % 16**5:05x}"
        fields = {
            "method": call.cls,
            "rid": rid,
            "t0": str(time.time_ns() // 1_000_000),
            "peer": "1",
            "est": f"{work * 1000:.2f}",
            "mem": "24.0",
            "prio": "0.5",
            "acct": call.tenant,
        }
        if attempt:
            fields["again"] = "1"
        if call.key:
            fields["token"] = f"{call.number:032x}"
        self.kernel.open[rid] = call, attempt, work
        seqid, answer = c.invoke(fields, base64.b64encode(str(call.number).encode()))
        try:
            kind, _ = await answer
        finally:
            self.kernel.open.pop(rid, None)
            c.abort(seqid)
        if kind is Answer.FAILED and c.closed:
            if c.farewell:
                return CROSSED
            raise ConnectionError("cut off before the answer was whole")
        return {Answer.SERVED: SERVED, Answer.REFUSED: REFUSED}.get(kind, FAILED)
