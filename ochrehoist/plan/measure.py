"""The proof on loopback: real workers of this program in real time, on stand-in machines whose cores behave
as described, behind stand-in routers that decide as the model's. All but the workers is asyncio's, in one
process.
"""

import asyncio
import base64
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from ochrehoist.config.fleet_description import Fleet, Placed
from ochrehoist.errors import OchrehoistError
from ochrehoist.net import thrift
from ochrehoist.plan.cores import Cores, Machine
from ochrehoist.plan.demand import Streams, Wish, drawn, speeds
from ochrehoist.plan.events import Trouble
from ochrehoist.plan.outcome import LONGEST_MS, End, Quota, Tally, WorkerCount
from ochrehoist.plan.routing import UNREACHABLE_S, Answer, Call, Next, Router, after
from ochrehoist.plan.worker_settings import platform_settings

ROOT = Path(__file__).parent.parent.parent
MOST_OPEN = 32  # requests on one connection, as the protocol has it
LEAVE_S = 5.0  # s that a worker has to end by itself
START_S = 20.0  # s that a worker has to come up
WARM_MS = 600_000  # age of a machine that is warm


class Failed(OchrehoistError):
    """The measurement can't be made; the text says why."""


class Stand:
    """One machine, its kernel and its worker: what comes is read on its cores before the worker has it."""

    def __init__(self, play: "Play", number: int, placed: Placed, speed: float) -> None:
        self.play, self.number, self.kind = play, number, play.fleet.kind(placed.kind)
        k = self.kind
        self.machine = Machine(k.cores, speed, k.slow_from, k.slow_to, k.crowd, k.cold_from, k.cold_s)
        self.count = WorkerCount(placed.address, placed.kind, placed.site, speed)
        self.read_s = play.fleet.intake.share * play.fleet.mean_work_s
        self.process: subprocess.Popen | None = None
        self.server: asyncio.Server | None = None
        self.up, self.address = False, ("127.0.0.1", 0)
        self.timer: asyncio.TimerHandle | None = None

    # ---- the machine
    async def start(self, cold: bool) -> None:
        self.cold, now = cold, self.play.now()
        self.cores = Cores(self.machine, now, cold)
        self.unread: deque[asyncio.Future] = deque()
        self.reading, self.notices = 0, []
        self.work: dict[str, float] = {}  # of requests that are open, by id
        self.begun: set[str] = set()
        self.link: asyncio.StreamWriter | None = None
        self.linked = asyncio.Event()
        self.connections: dict[int, list[Connection]] = {}
        self.server = await asyncio.start_server(self._kernel, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        # Kept until the worker has it: a port that is let go of may be another's before the worker binds it.
        passed = socket.create_server(("127.0.0.1", 0), backlog=1024)
        listen = passed.getsockname()[1]
        self.address = ("127.0.0.1", listen)
        config = {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{listen}",
            "kernel": f"127.0.0.1:{port}",
            "seed": f"{self.play.seed * 1000 + self.number:x}",
            "stop_ms": 3000,
            "limits": {"memory_mb": 192, "sockets": 512},
            "settings": platform_settings(self.play.fleet, self.kind),
        }
        path = Path(self.play.folder, f"n{self.number}.json")
        path.write_text(json.dumps(config))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "OCHREHOIST_", "TMPDIR"))}
        if self.play.operators:
            file = Path(self.play.folder, f"n{self.number}.toml")
            file.write_text(self.play.operators.format(worker=f"n{self.number}"))
            env["OCHREHOIST_AJP"] = str(file)
        with open(Path(self.play.folder, f"n{self.number}.log"), "ab") as log:
            env |= {"EDGE_CONFIG": str(path), "EDGE_PASSED_SOCKET": str(passed.fileno())}
            self.process = subprocess.Popen(
                [sys.executable, "-m", "ochrehoist"],
                stderr=log,
                env=env,
                cwd=ROOT,
                pass_fds=[passed.fileno()],
            )
        passed.close()
        try:
            await asyncio.wait_for(self.linked.wait(), START_S)
        except TimeoutError:
            raise Failed(f"worker n{self.number} did not come up: see {log.name}") from None
        self.up = True

    def lose(self, outright: bool = True) -> None:
        """Killed outright, with its machine; or told to leave, where what it writes is wanted whole."""
        self.up = False
        if self.process is not None:
            if not outright:
                self.process.terminate()
                with suppress(subprocess.TimeoutExpired):
                    self.process.wait(LEAVE_S)
            self.process.kill()
            self.process.wait()
        if self.timer is not None:
            self.timer.cancel()
        if self.server is not None:
            self.server.close()
        for future in self.unread:
            if not future.done():
                future.set_result(False)

    def kick(self) -> None:
        """All that has ended by now, and a timer for the next."""
        now = self.play.now()
        for kind, what, since in self.cores.advance(now):
            if kind == "read":
                self.reading -= 1
                if not what.done():
                    what.set_result(True)
            elif kind == "run":
                self._notice(
                    {
                        "cmd": "REAP",
                        "req": what,
                        "result": "OK",
                        "elapsed_ms": round((now - since) * 1000, 3),
                        "payload": "",
                    }
                )
        while self.unread and self.reading < self.machine.cores:
            future = self.unread.popleft()
            if not future.done():
                self.reading += 1
                self.cores.start(("read", future, now), self.read_s)
        if self.timer is not None:
            self.timer.cancel()
        at = self.cores.next_end()
        if at is not None:
            self.timer = self.play.loop.call_later(max(0.0, at - now), self.kick)

    def arrives(self) -> asyncio.Future:
        """Done with True once a core has read what came now; with False where the machine is lost."""
        future = self.play.loop.create_future()
        self.unread.append(future)
        self.kick()
        return future

    # ---- its kernel
    async def _kernel(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                m = json.loads(line)
                if m["cmd"] == "OPEN":
                    self.link = writer
                    self._say(
                        {
                            "cmd": "BOOTED",
                            "result": "COLD" if self.cold else "WARM",
                            "elapsed_ms": 0 if self.cold else WARM_MS,
                        }
                    )
                    for notice in self.notices[m["offset"] :]:
                        self._say(notice)
                    self.linked.set()
                elif m["cmd"] == "SYSINFO":
                    self.kick()
                    self._say({"cmd": "INFO", "token": m["token"], "load": self._gauges()})
                elif m["cmd"] == "SCHED":
                    self.kick()
                    self._schedule(m["req"])
        except (ConnectionError, ValueError, asyncio.CancelledError):  # the last where all is over
            pass
        finally:
            writer.close()

    def _schedule(self, rid: str) -> None:
        if rid in self.begun:
            return
        if rid not in self.work:  # nobody waits for it any more
            return self._notice({"cmd": "REAP", "req": rid, "result": "MOOT", "elapsed_ms": 0, "payload": ""})
        self.begun.add(rid)
        self.cores.start(("run", rid, self.play.now()), self.work[rid])
        running = len(self.cores.running) - self.reading
        self.count.peak_running = max(self.count.peak_running, running)
        self.kick()

    def _gauges(self) -> list[float]:
        return [self.cores.busy_share(self.play.now()), float(len(self.cores.running))]

    def _notice(self, notice: dict[str, Any]) -> None:
        self.notices.append(notice | {"offset": len(self.notices) + 1})
        self._say(self.notices[-1])

    def _say(self, notice: dict[str, Any]) -> None:
        if self.link is not None and not self.link.is_closing():
            self.link.write(json.dumps(notice).encode() + b"\n")

    # ---- connections of routers
    async def connection(self, router: int) -> "Connection":
        pool = self.connections.setdefault(router, [])
        for c in pool:
            if not c.closed and len(c.waiting) < MOST_OPEN:
                return c
        pool[:] = [c for c in pool if not c.closed]
        reader, writer = await asyncio.open_connection(*self.address)
        c = Connection(reader, writer)
        pool.append(c)
        return c


class Connection:
    """A router's connection to a worker."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.seqid, self.closed = reader, writer, 0, False
        self.farewell = False
        self.waiting: dict[int, asyncio.Future] = {}
        self.task = asyncio.ensure_future(self._read())

    def invoke(self, fields: dict[str, str], body: bytes) -> tuple[int, asyncio.Future]:
        self.seqid += 1
        values = {k.encode(): v.encode() for k, v in fields.items()}
        arguments = (
            thrift.encode_field(thrift.MAP, 1, thrift.encode_string_map(values))
            + thrift.encode_field(thrift.STRING, 2, thrift.encode_string(body))
            + thrift.STRUCT_END
        )
        self.writer.write(thrift.encode_message(thrift.CALL, b"invoke", self.seqid, arguments))
        future = self.waiting[self.seqid] = asyncio.get_running_loop().create_future()
        return self.seqid, future

    def abort(self, seqid: int) -> None:
        if self.waiting.pop(seqid, None) is not None and not self.closed:
            number = seqid.to_bytes(4, "big")
            self.writer.write(
                thrift.encode_message(
                    thrift.ONEWAY, b"abort", 0, thrift.encode_field(thrift.I32, 1, number) + thrift.STRUCT_END
                )
            )

    async def _read(self) -> None:
        try:
            while True:
                size = int.from_bytes(await self.reader.readexactly(4), "big")
                m = thrift.parse_message(await self.reader.readexactly(size))
                if m.method == b"farewell":
                    self.closed = self.farewell = True  # nothing new goes here; what is open is answered
                    if not self.waiting:
                        break
                    continue
                future = self.waiting.pop(m.seqid, None)
                if future is not None and not future.done():
                    future.set_result(_answer(m))
                if self.closed and not self.waiting:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, thrift.MalformedFrameError):
            pass
        finally:
            self.closed = True
            for future in self.waiting.values():
                if not future.done():
                    future.set_result((Answer.FAILED, {}))
            self.waiting.clear()
            self.writer.close()


def _answer(m: thrift.Message) -> tuple[Answer, dict[bytes, bytes]]:
    """What a reply says: served, refused or failed, and the fields of a refusal."""
    if m.kind != thrift.REPLY:
        return Answer.FAILED, {}
    for _, number in m.args.read_fields():
        if number == 0:
            return Answer.SERVED, {}
        kind = Answer.REFUSED if number == 1 else Answer.FAILED
        for _, inner in m.args.read_fields():
            if inner == 1:
                return kind, m.args.read_string_map()
        return kind, {}
    return Answer.FAILED, {}


class Play:
    """One measured run: the same calls, speeds and habits as the model's of the same seed."""

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        seconds: float,
        settle: float = 5.0,
        troubles: Iterable[Trouble] = (),
        wishes: Iterable[Wish] | None = None,
        operators: str | None = None,
    ) -> None:
        """`operators`: the text of a further file for each worker (TOML; `{worker}` is its name)."""
        self.operators = operators
        self.fleet, self.seed, self.seconds = fleet, seed, seconds
        self.tally, self.troubles = Tally(fleet, settle, seconds), tuple(troubles)
        streams, placed, routers = Streams(seed), fleet.placed_workers, fleet.placed_routers
        drawn_speeds = speeds(fleet, streams)
        weights = [fleet.kind(p.kind).cores * v for p, v in zip(placed, drawn_speeds, strict=True)]
        heeds = streams["heed"].uniform(size=len(routers)) < fleet.clients.heed
        self.routers = [
            Router(fleet.routers[r.group], range(len(placed)), weights, bool(heeds[n]), seed * 10_000 + n)
            for n, r in enumerate(routers)
        ]
        self.stands = [
            Stand(self, n, p, v) for n, (p, v) in enumerate(zip(placed, drawn_speeds, strict=True))
        ]
        self.quotas = [Quota(fleet.quota(t)) for t in fleet.tenants]
        self.wishes = list(drawn(fleet, streams, seconds) if wishes is None else wishes)
        self.began, self.numbers = 0.0, 0
        self.late = HdrHistogram(1, LONGEST_MS, 2)  # ms by which calls began after they were due

    def now(self) -> float:
        return time.monotonic() - self.began

    def run(self, progress: Callable[[float], None] = lambda share: None) -> Tally:
        """Raises Failed. Every worker that was started is ended."""
        with tempfile.TemporaryDirectory() as folder:
            self.folder = folder
            return asyncio.run(self._run(progress))

    async def _run(self, progress: Callable[[float], None]) -> Tally:
        self.loop = asyncio.get_running_loop()
        self.began = time.monotonic()
        try:
            await asyncio.gather(*(s.start(cold=False) for s in self.stands))
            self.began = time.monotonic()
            for s in self.stands:  # their machines' clocks begin with the load
                s.cores = Cores(s.machine, 0.0)
            for t in self.troubles:
                self.loop.call_later(t.at, partial(self._lose, t))
                if t.back is not None:
                    self.loop.call_later(t.back, lambda t=t: self.loop.create_task(self._bring_back(t)))
            calls = []
            for wish in self.wishes:
                await asyncio.sleep(max(0.0, wish.at - self.now()))
                calls.append(self.loop.create_task(self._call(wish)))
                progress(min(1.0, wish.at / self.seconds))
            for s in self.stands:
                if s.up:
                    s.kick()
                    s.count.busy = s.cores.busy_s / (self.now() * s.machine.cores)
            await asyncio.gather(*calls)
        finally:
            if self.operators is not None:  # all at once: each has its own time to leave
                for s in self.stands:
                    if s.process is not None:
                        s.process.terminate()
            for s in self.stands:
                s.lose(outright=self.operators is None)
        self.tally.workers = [s.count for s in self.stands]
        return self.tally

    # ---- troubles
    def _listed(self, worker: int, listed: bool) -> None:
        self.loop.call_later(
            self.fleet.membership.lag_s, lambda: [r.learn(worker, listed) for r in self.routers]
        )

    def _lose(self, trouble: Trouble) -> None:
        self.tally.events.append((self.now(), f"{trouble.name or 'workers'} lost"))
        for n in trouble.which:
            self.stands[n].lose()
            self._listed(n, False)

    async def _bring_back(self, trouble: Trouble) -> None:
        await asyncio.gather(*(self.stands[n].start(cold=True) for n in trouble.which))
        self.tally.events.append((self.now(), f"{trouble.name or 'workers'} back, cold"))
        for n in trouble.which:
            self._listed(n, True)

    # ---- calls
    async def _call(self, wish: Wish) -> None:
        # From the moment that it was due, however late this machine came to it: a call that began later would
        # be missed by the count, or excuse the worker.
        c, began = self.fleet.classes[wish.cls], wish.at
        self.late.record_value(max(1, min(LONGEST_MS, int((self.now() - began) * 1000))))
        self.numbers += 1
        call = Call(
            self.numbers,
            wish.cls,
            wish.tenant,
            wish.subject,
            wish.work,
            wish.stated,
            began,
            began + c.aim_ms / 1000,
            began + c.deadline_ms / 1000,
            c.repeat != "idempotent",
            wish.router,
        )
        call.memory_kb = wish.memory_kb
        call.inside = self.quotas[wish.tenant].takes(began) if self.quotas else True
        try:
            async with asyncio.timeout(call.due - self.now()):
                end = await self._tries(call)
        except TimeoutError:
            end = End.TIMED_OUT
        took = self.now() - call.began
        self.tally.count(call.cls, call.tenant, call.inside, call.began, end, took, call.tries, call.work)

    async def _tries(self, call: Call) -> End:
        router = self.routers[call.router]
        while True:
            worker = router.pick(self.now(), call.subject, call.tried)
            if call.ran_at is not None and self.stands[call.ran_at].up and not call.tried:
                worker = call.ran_at
            call.tries += 1
            if worker is None:
                answer, fields, final = Answer.REFUSED, {}, True
            else:
                call.tried.append(worker)
                answer, fields = await self._try(call, router, worker)
                final = fields.get(b"final") == b"1"
                if answer is Answer.REFUSED and b"backoff" in fields and router.heeds:
                    router.stay_away(worker, self.now() + int(fields[b"backoff"]) / 1000)
                elif answer is Answer.UNREACHABLE:
                    router.stay_away(worker, self.now() + UNREACHABLE_S)
                elif answer is Answer.FAILED and call.keyed:
                    call.ran_at = worker
            step, wait = after(call, answer, final, self.now(), router.habits, self.fleet.clients)
            if step is Next.END:
                break
            if step is Next.CLIENT:
                call.client_tries += 1
                call.tried = []
            await asyncio.sleep(wait)
        if answer is Answer.SERVED:
            return End.IN_TIME if self.now() <= call.aim else End.LATE
        return End.FAILED if answer is Answer.FAILED else End.REFUSED

    async def _try(self, call: Call, router: Router, worker: int) -> tuple[Answer, dict[bytes, bytes]]:
        stand, fleet = self.stands[worker], self.fleet
        if not stand.up:
            return Answer.UNREACHABLE, {}
        router.open[worker] += 1
        self.numbers += 1
        rid, t0 = f"{self.numbers:016x}", time.time_ns() // 1_000_000
        stand.count.tries += 1
        connection = seqid = None
        try:
            if not await stand.arrives():
                return Answer.FAILED, {}
            connection = await stand.connection(call.router)
            cls = fleet.classes[call.cls]
            fields = {
                "method": cls.name,
                "rid": rid,
                "t0": str(t0),
                "peer": str(call.router),
                "est": f"{call.stated * 1000:.2f}",
                "mem": f"{call.memory_kb:.1f}",
                "prio": "0.5",
            }
            if fleet.tenants:
                fields["acct"] = fleet.tenants[call.tenant].name
            if call.tries > 1:
                fields["again"] = "1"
            if call.keyed:
                fields["token"] = f"{call.number:032x}"
            elif call.subject:
                fields["obj"] = f"{call.subject & (1 << 64) - 1:016x}"
            stand.work[rid] = call.work
            seqid, future = connection.invoke(fields, base64.b64encode(str(call.number).encode()))
            answer, said = await future
            counted = {Answer.SERVED: "served", Answer.REFUSED: "refused", Answer.FAILED: "failed"}[answer]
            setattr(stand.count, counted, getattr(stand.count, counted) + 1)
            return answer, said
        except ConnectionError:
            return Answer.UNREACHABLE, {}
        finally:
            router.open[worker] -= 1
            stand.work.pop(rid, None)
            if connection is not None and seqid is not None:
                connection.abort(seqid)
