"""The stand-in for one machine of a fleet, its kernel and its worker's process, by asyncio on loopback.

The worker is real; the cores that its requests are read and run on behave as described.
"""

import asyncio
import json
import os
import socket
import subprocess
import sys
from collections import deque
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any, Protocol, cast

from ochrehoist.config.fleet_description import Fleet, PlacedNode
from ochrehoist.plan.cores import Cores
from ochrehoist.plan.errors import MeasurementError
from ochrehoist.plan.fleet_run import CoreTask, FleetWorker, TaskKind
from ochrehoist.plan.thrift_client import MAX_OPEN_REQUESTS, Connection
from ochrehoist.plan.worker_settings import platform_settings

ROOT = Path(__file__).parent.parent.parent
LOOPBACK = "127.0.0.1"
LISTEN_BACKLOG = 1024
STOP_TIMEOUT_S = 5.0  # that a worker has to end by itself
START_TIMEOUT_S = 20.0  # that a worker has to connect to its kernel
WORKER_STOP_MS = 3000
WARM_AGE_MS = 600_000  # of a machine that is warm
WORKER_LIMITS = {"memory_mb": 192, "sockets": 512}
WORKER_SEED_FACTOR = 1000
INHERITED_PREFIXES_DROPPED = ("EDGE_", "OCHREHOIST_", "TMPDIR")  # of environment variables


class MeasuredRunContext(Protocol):
    """What a machine needs of the run that it is part of."""

    fleet: Fleet
    seed: int
    folder: str
    operator_config: str | None
    loop: asyncio.AbstractEventLoop

    def now(self) -> float:
        """Seconds since the start of the load."""
        ...


class StandInMachine(FleetWorker):
    """One machine, its kernel and its worker: what arrives is read on its cores before the worker has it.

    Attributes:
        process: The worker's, once it was started.
        cores: Of the machine, since its last start.
        work_by_id: Work (s) of each request that is open, by its id; the run fills it.
        started_runs: Ids of the requests that the worker has started.
    """

    def __init__(self, run: MeasuredRunContext, number: int, placed: PlacedNode, speed: float) -> None:
        super().__init__(run.fleet, number, placed, speed)
        self._run = run
        self.process: subprocess.Popen[bytes] | None = None
        self._server: asyncio.Server | None = None
        self._address = (LOOPBACK, 0)
        self._timer: asyncio.TimerHandle | None = None

    @property
    def name(self) -> str:
        """Of the worker."""
        return f"n{self.number}"

    async def start(self, cold: bool) -> None:
        """Starts the kernel and the worker, with nothing of before.

        Raises:
            MeasurementError: The worker did not connect to its kernel in time.
        """
        self._cold = cold
        self.cores = Cores(self.machine, self._run.now(), cold)
        self._unread: deque[asyncio.Future[bool]] = deque()
        self._reading = 0
        self._notices: list[dict[str, Any]] = []
        self.work_by_id: dict[str, float] = {}
        self.started_runs: set[str] = set()
        self._link: asyncio.StreamWriter | None = None
        self._linked = asyncio.Event()
        self._connections: dict[int, list[Connection]] = {}
        self._server = await asyncio.start_server(self._serve_kernel, LOOPBACK, 0)
        kernel_port = self._server.sockets[0].getsockname()[1]
        log_path = self._start_process(kernel_port)
        try:
            await asyncio.wait_for(self._linked.wait(), START_TIMEOUT_S)
        except TimeoutError:
            raise MeasurementError.not_started(self.name, str(log_path)) from None
        self.up = True

    def _start_process(self, kernel_port: int) -> Path:
        """Starts the worker on a socket that it inherits; the path of its log."""
        log_path = Path(self._run.folder, f"{self.name}.log")
        # Kept until the worker has it: a port that is let go of may be another's before the worker binds it.
        with (
            socket.create_server((LOOPBACK, 0), backlog=LISTEN_BACKLOG) as passed,
            log_path.open("ab") as log,
        ):
            listen_port = passed.getsockname()[1]
            self._address = (LOOPBACK, listen_port)
            config_path = self._write_config(listen_port, kernel_port)
            self.process = subprocess.Popen(
                [sys.executable, "-m", "ochrehoist"],
                stderr=log,
                env=self._environment()
                | {"EDGE_CONFIG": str(config_path), "EDGE_PASSED_SOCKET": str(passed.fileno())},
                cwd=ROOT,
                pass_fds=[passed.fileno()],
            )
        return log_path

    def _write_config(self, listen_port: int, kernel_port: int) -> Path:
        config = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{listen_port}",
            "kernel": f"{LOOPBACK}:{kernel_port}",
            "seed": f"{self._run.seed * WORKER_SEED_FACTOR + self.number:x}",
            "stop_ms": WORKER_STOP_MS,
            "limits": WORKER_LIMITS,
            "settings": platform_settings(self._run.fleet, self.kind),
        }
        path = Path(self._run.folder, f"{self.name}.json")
        path.write_text(json.dumps(config))
        return path

    def _environment(self) -> dict[str, str]:
        """That of this process without settings of another worker; with the operators' file, if any."""
        environment = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith(INHERITED_PREFIXES_DROPPED)
        }
        if self._run.operator_config:
            path = Path(self._run.folder, f"{self.name}.toml")
            path.write_text(self._run.operator_config.format(worker=self.name))
            environment["OCHREHOIST_AJP"] = str(path)
        return environment

    def restart_clock(self) -> None:
        """A warm machine's time begins with the load."""
        self.cores = Cores(self.machine, 0.0)

    def request_stop(self) -> None:
        """Asks the worker to drain and end, and does not wait for it."""
        if self.process is not None:
            self.process.terminate()

    def lose(self, drain_first: bool = False) -> None:
        """Kills the worker with its machine, at once or after it has drained."""
        self.up = False
        if self.process is not None:
            if drain_first:
                self.process.terminate()
                with suppress(subprocess.TimeoutExpired):
                    self.process.wait(STOP_TIMEOUT_S)
            self.process.kill()
            self.process.wait()
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
            for future in self._unread:
                if not future.done():
                    future.set_result(False)

    def measure_busy(self) -> None:
        """Notes the share of its cores that was in use since its last start, if it is up."""
        if self.up:
            self.advance()
            self.statistics.busy = self.cores.busy_s / (self._run.now() * self.machine.cores)

    def advance(self) -> None:
        """Ends all work that is done by now, begins what waits, and sets a timer for the next end."""
        now = self._run.now()
        for task in cast(list[CoreTask], self.cores.advance(now)):
            if task.kind is TaskKind.READ:
                self._reading -= 1
                if not task.subject.done():
                    task.subject.set_result(True)
            else:
                self._notify_run_ended(task, now)
        self._read_next(now)
        if self._timer is not None:
            self._timer.cancel()
        next_end = self.cores.next_end()
        if next_end is not None:
            self._timer = self._run.loop.call_later(max(0.0, next_end - now), self.advance)

    def _read_next(self, now: float) -> None:
        """Each core reads one request at a time; the others wait unread."""
        while self._unread and self._reading < self.machine.cores:
            future = self._unread.popleft()
            if not future.done():
                self._reading += 1
                self.cores.start(CoreTask(TaskKind.READ, future, now), self.read_work_s)

    def read_request(self) -> asyncio.Future[bool]:
        """A request arrives: True once a core has read it, False where the machine is lost."""
        future: asyncio.Future[bool] = self._run.loop.create_future()
        self._unread.append(future)
        self.advance()
        return future

    async def _serve_kernel(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Cancelled where all is over; a line that cannot be read ends the link, as the kernel's would.
        try:
            with suppress(ConnectionError, ValueError, asyncio.CancelledError):
                while line := await reader.readline():
                    self._handle_kernel_message(json.loads(line), writer)
        finally:
            writer.close()

    def _handle_kernel_message(self, message: Mapping[str, Any], writer: asyncio.StreamWriter) -> None:
        match message["cmd"]:
            case "OPEN":
                self._link = writer
                self._send_notice(
                    {
                        "cmd": "BOOTED",
                        "result": "COLD" if self._cold else "WARM",
                        "elapsed_ms": 0 if self._cold else WARM_AGE_MS,
                    }
                )
                for notice in self._notices[message["offset"] :]:
                    self._send_notice(notice)
                self._linked.set()
            case "SYSINFO":
                self.advance()
                self._send_notice({"cmd": "INFO", "token": message["token"], "load": self._gauges()})
            case "SCHED":
                self.advance()
                self._start_run(message["req"])

    def _start_run(self, request_id: str) -> None:
        if request_id in self.started_runs:
            return
        if request_id not in self.work_by_id:  # its caller waits no more
            self._keep_notice(_run_notice(request_id, "MOOT", 0))
            return
        self.started_runs.add(request_id)
        task = CoreTask(TaskKind.RUN, request_id, self._run.now())
        self.cores.start(task, self.work_by_id[request_id])
        self.note_running(len(self.cores.running) - self._reading)
        self.advance()

    def _notify_run_ended(self, task: CoreTask, now: float) -> None:
        elapsed_ms = round((now - task.started_at) * 1000, 3)
        self._keep_notice(_run_notice(task.subject, "OK", elapsed_ms))

    def _gauges(self) -> list[float]:
        return [self.cores.busy_share(self._run.now()), float(len(self.cores.running))]

    def _keep_notice(self, notice: dict[str, Any]) -> None:
        """Numbers the notice, keeps it for a worker that links again, and sends it."""
        self._notices.append(notice | {"offset": len(self._notices) + 1})
        self._send_notice(self._notices[-1])

    def _send_notice(self, notice: Mapping[str, Any]) -> None:
        if self._link is not None and not self._link.is_closing():
            self._link.write(json.dumps(notice).encode() + b"\n")

    async def connection(self, router: int) -> Connection:
        """A connection of the router that takes another request; a new one where there is none.

        Raises:
            ConnectionError: The worker cannot be reached.
        """
        pool = self._connections.setdefault(router, [])
        for connection in pool:
            if not connection.closed and len(connection.waiting) < MAX_OPEN_REQUESTS:
                return connection
        pool[:] = [connection for connection in pool if not connection.closed]
        connection = Connection(*await asyncio.open_connection(*self._address))
        pool.append(connection)
        return connection


def _run_notice(request_id: str, result: str, elapsed_ms: float) -> dict[str, Any]:
    """The kernel's message that a run has ended."""
    return {"cmd": "REAP", "req": request_id, "result": result, "elapsed_ms": elapsed_ms, "payload": ""}
