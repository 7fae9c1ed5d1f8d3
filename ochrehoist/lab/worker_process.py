"""Workers as processes: their starts and ends, what is done to them, and what they say (asyncio)."""

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
import threading
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, Generic, TypeVar

from ochrehoist.lab.clock_shift import ClockShift
from ochrehoist.lab.errors import RunAbortedError
from ochrehoist.lab.worker_configuration import Configuration
from ochrehoist.lab.worker_store import WorkerStore

ROOT = Path(__file__).parent.parent.parent
START_TIMEOUT_S = 60.0
START_CHECK_S = 0.2
CONNECT_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S = 10.0
MAX_LOG_EVENTS = 5000  # that are kept of one worker
HIDDEN_VARIABLES = ("EDGE_", "OCHREHOIST_", "TMPDIR")  # prefixes of those that a worker does not inherit
BUSY_PROGRAM = "while True: pass"

Address = tuple[str, int]
LogEvent = dict[str, Any]
ConfigurationT = TypeVar("ConfigurationT", bound=Configuration)


class WorkerUnreachableError(OSError):
    """A worker's operators' address gave no usable answer."""

    @classmethod
    def not_started(cls, worker: str) -> "WorkerUnreachableError":
        """It does not listen yet."""
        return cls(f"{worker} is not up")

    @classmethod
    def silent(cls, worker: str, error: BaseException) -> "WorkerUnreachableError":
        """It did not answer in time."""
        return cls(f"no answer of {worker}: {error!r}")

    @classmethod
    def malformed_status(cls, worker: str, error: BaseException) -> "WorkerUnreachableError":
        """What it answered is no status."""
        return cls(f"no status of {worker}: {error!r}")


class WorkerProcess(Generic[ConfigurationT]):
    """One member, and its process of the moment.

    Args:
        name: of the member; a second process of a name has a quote after it.
        configuration: written anew for each start.
        folder: in which its files are.
        root: the tree that it is run from.
        shifts_clock: its wall clock can be made wrong while it runs.
        before_exec: called in each new process before the program takes over.
    """

    def __init__(
        self,
        name: str,
        configuration: ConfigurationT,
        folder: Path,
        root: Path = ROOT,
        *,
        shifts_clock: bool = False,
        before_exec: Callable[[], None] | None = None,
    ) -> None:
        self.name = name
        self.configuration = configuration
        self.store = WorkerStore(store_folder(folder, name), name)
        self.process: subprocess.Popen[str] | None = None
        self.starts_s: list[float] = []  # when each of its processes began
        self.addresses: dict[str, Address] = {}  # by part
        self.log_events: list[LogEvent] = []
        self.paused = False
        self._folder = folder
        self._root = root
        self._file = folder / f"{name}{configuration.suffix}"
        self._log_file = folder / f"{name}.log"
        self._clock = ClockShift(folder / f"{name}.clock")
        self._clock_shift_s = 0.0
        self._shifts_clock = shifts_clock
        self._before_exec = before_exec
        self._killed = False  # by the laboratory
        self._disk_full = False

    # Starts and ends.

    def write_configuration(self) -> None:
        """Writes its file, which a running process reads when it is told to reload."""
        new = self._file.with_suffix(".new")
        new.write_text(self.configuration.text())
        new.replace(self._file)

    async def start(self, now: float) -> None:
        """Starts a process, and waits until it listens. Raises RunAbortedError where it does not."""
        self.write_configuration()
        self.addresses = {}
        self.paused = False
        self._killed = False
        self.starts_s.append(now)
        process = subprocess.Popen(
            [sys.executable, "-m", "ochrehoist", "--config", str(self._file), "run"],
            cwd=self._root,
            env=self._environment(),
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=self._before_exec,
        )
        self.process = process
        if self._disk_full:
            self.set_disk_full(True)
        started = asyncio.Event()
        loop = asyncio.get_running_loop()
        reader = threading.Thread(target=self._read_log, args=(process, started, loop), daemon=True)
        reader.start()
        await self._wait_until_started(process, started)

    def _environment(self) -> dict[str, str]:
        environment = {
            name: value for name, value in os.environ.items() if not name.startswith(HIDDEN_VARIABLES)
        }
        # Where a process finds the one that it replaces: a duplicate of the same name is not to find it.
        handover_folder = self._folder / f"{self.name}.run"
        handover_folder.mkdir(exist_ok=True)
        environment["TMPDIR"] = str(handover_folder)
        if self._clock_shift_s or self._shifts_clock:
            module_folder = self._clock.install(self._clock_shift_s)
            environment["PYTHONPATH"] = f"{module_folder}:{self._root}"
        return environment

    def _read_log(
        self, process: "subprocess.Popen[str]", started: asyncio.Event, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Keeps what a process logs, until it ends; sets `started` once all its parts listen."""
        assert process.stderr is not None
        with self._log_file.open("a") as log_file:
            for line in process.stderr:
                log_file.write(line)
                with suppress(ValueError):
                    self._record_event(json.loads(line))
                    if self.configuration.parts <= self.addresses.keys() and not loop.is_closed():
                        loop.call_soon_threadsafe(started.set)
        process.stderr.close()

    def _record_event(self, event: LogEvent) -> None:
        if len(self.log_events) < MAX_LOG_EVENTS:
            self.log_events.append(event)
        if event["event"] == "started":
            host, port = event["listen"]
            self.addresses[event["part"]] = (host, port)

    async def _wait_until_started(self, process: "subprocess.Popen[str]", started: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        latest_s = loop.time() + START_TIMEOUT_S
        while not started.is_set():
            with suppress(TimeoutError):
                await asyncio.wait_for(started.wait(), START_CHECK_S)
            ended = process.poll() is not None
            if ended and self._killed:
                return  # by a fault that came before it had started
            if not started.is_set() and (ended or loop.time() > latest_s):
                last_line = self._log_file.read_text().splitlines()[-1:]
                raise RunAbortedError.worker_not_started(self.name, " ".join(last_line))

    @property
    def is_running(self) -> bool:
        """Whether its process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal to its process, where it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills its process, where it runs, and waits for its end."""
        self._killed = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait(self) -> None:
        """Waits for the end of its process."""
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)

    def begin_run(self) -> None:
        """The clock of the run begins: the process of the moment counts as one from before."""
        self.starts_s = [-1.0]

    # What is done to it.

    def set_paused(self, paused: bool) -> None:
        """Stops its process, or lets it go on."""
        self.paused = paused
        self.signal(signal.SIGSTOP if paused else signal.SIGCONT)

    def set_clock_shift(self, shift_s: float) -> None:
        """Its wall clock is wrong by so much, now and from now on."""
        self._clock.set(shift_s)

    def set_next_clock_shift(self, shift_s: float) -> None:
        """The wall clock of its next process is wrong by so much."""
        self._clock_shift_s = shift_s

    def set_disk_full(self, full: bool) -> None:
        """Whether writes that need room fail. The log is a pipe, and goes on."""
        self._disk_full = full
        if self.process is not None and self.process.poll() is None:
            limit = 0 if full else resource.RLIM_INFINITY
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    def set_cores(self, cores: set[int]) -> None:
        """Keeps its process to these cores, where it runs."""
        if self.process is not None and self.process.poll() is None:
            os.sched_setaffinity(self.process.pid, cores)

    def crowd(self, count: int) -> "list[subprocess.Popen[bytes]]":
        """Starts busy processes on the one core that it is then kept to; this process leaves that core."""
        cores = os.sched_getaffinity(0)
        core = {max(cores)}
        os.sched_setaffinity(0, cores - core or cores)
        self.set_cores(core)
        busy = [subprocess.Popen([sys.executable, "-c", BUSY_PROGRAM]) for _ in range(count)]
        for process in busy:
            os.sched_setaffinity(process.pid, core)
        return busy

    # Its operators' address.

    async def status(self) -> dict[str, Any]:
        """Its status. Raises OSError where it does not answer."""
        try:
            status: dict[str, Any] = json.loads(await self._request("GET", "/status"))
        except ValueError as error:
            raise WorkerUnreachableError.malformed_status(self.name, error) from error
        return status

    async def post(self, path: str) -> str:
        """What it answers to a POST. Raises OSError where it does not."""
        return await self._request("POST", path)

    async def _request(self, method: str, path: str) -> str:
        address = self.addresses.get("Operators")
        if address is None:
            raise WorkerUnreachableError.not_started(self.name)
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), CONNECT_TIMEOUT_S)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\n\r\n".encode())
            data = await asyncio.wait_for(reader.read(), ANSWER_TIMEOUT_S)
            return data.partition(b"\r\n\r\n")[2].decode()
        except TimeoutError as error:
            raise WorkerUnreachableError.silent(self.name, error) from error
        finally:
            writer.close()


def store_folder(folder: Path, name: str) -> Path:
    """Where a worker keeps its state."""
    return folder / f"{name}.state"
