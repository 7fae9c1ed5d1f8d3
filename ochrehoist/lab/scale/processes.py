"""The processes of a scale run, of hundreds of hollow workers each, and real workers (asyncio)."""

import asyncio
import itertools
import os
import sys
from asyncio.subprocess import PIPE, Process
from contextlib import suppress
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from ochrehoist.lab.errors import RunAbortedError
from ochrehoist.lab.hollow.protocol import Answer, Command, NumberedCommand, ProcessDescription
from ochrehoist.lab.process_info import cpu_s, die_with_parent, resident_kb
from ochrehoist.lab.scale.results import RealWorkerSample
from ochrehoist.lab.worker_configuration import FixedConfiguration
from ochrehoist.lab.worker_process import WorkerProcess

ANSWER_TIMEOUT_S = 120.0
MAX_LINE_BYTES = 1 << 28
HOLLOW_PROGRAM = Path(__file__).parent.parent / "hollow" / "__main__.py"
SETTINGS_PREFIXES = ("EDGE_", "OCHREHOIST_")  # of environment variables that a worker reads

ResultT = TypeVar("ResultT")


class HollowProcess:
    """One process of hollow workers, as its parent sees it. `root`: the tree whose workers it runs."""

    def __init__(self, description: ProcessDescription, root: Path) -> None:
        self._description = description
        self._root = root
        self._process: Process | None = None
        self._numbers = itertools.count()
        self._pending: dict[int, asyncio.Future[msgspec.Raw]] = {}
        self._answers = msgspec.json.Decoder(Answer)
        self._reading: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int | None:
        """Its process id; None before the start."""
        return None if self._process is None else self._process.pid

    async def start(self) -> None:
        """Starts the process and waits until it is ready. Raises RunAbortedError where it does not start."""
        environment = {
            name: value for name, value in os.environ.items() if not name.startswith(SETTINGS_PREFIXES)
        }
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-P",
            str(HOLLOW_PROGRAM),
            cwd=self._root,
            env=environment | {"PYTHONPATH": str(self._root)},
            stdin=PIPE,
            stdout=PIPE,
            stderr=PIPE,
            limit=MAX_LINE_BYTES,
        )
        self._write(self._description)
        assert self._process.stdout is not None
        line = await asyncio.wait_for(self._process.stdout.readline(), ANSWER_TIMEOUT_S)
        if not line:
            reason = await self._exit_reason(self._process)
            raise RunAbortedError.hollow_process_not_started(reason)
        self._reading = asyncio.create_task(self._read(self._process))

    @staticmethod
    async def _exit_reason(process: Process) -> str:
        """The last line of its standard error, or its exit code."""
        assert process.stderr is not None
        text = (await process.stderr.read()).decode().strip()
        return text.splitlines()[-1] if text else f"ended with {await process.wait()}"

    def _write(self, message: msgspec.Struct) -> None:
        assert self._process is not None
        assert self._process.stdin is not None
        self._process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def _read(self, process: Process) -> None:
        """Resolves pending commands by the answers that come, and fails them once the process has ended."""
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self._resolve(self._answers.decode(line))
        reason = await self._exit_reason(process)
        for future in self._pending.values():
            if not future.done():
                future.set_exception(RunAbortedError.hollow_process_ended(reason))

    def _resolve(self, answer: Answer) -> None:
        future = self._pending.pop(answer.number, None)
        if future is None or future.done():
            return
        if answer.error:
            future.set_exception(RunAbortedError.hollow_process_failed(answer.error))
        else:
            # A copy: the raw value is a view of the whole line.
            future.set_result(msgspec.Raw(bytes(answer.result)))

    async def request(self, command: Command, result_type: type[ResultT]) -> ResultT:
        """Sends a command and returns its result.

        Raises RunAbortedError where the process has ended, does not answer in time or fails.
        """
        number = next(self._numbers)
        future: asyncio.Future[msgspec.Raw] = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        try:
            self._write(NumberedCommand(number, command))
            result = await asyncio.wait_for(future, ANSWER_TIMEOUT_S)
        except (TimeoutError, ConnectionError) as error:
            raise RunAbortedError.hollow_process_silent(type(command).__name__, error) from error
        finally:
            self._pending.pop(number, None)
        return msgspec.json.decode(result, type=result_type)

    async def end(self) -> None:
        """Kills the process, where it runs, and waits for its end."""
        if self._process is None:
            return
        if self._process.returncode is None:
            with suppress(ProcessLookupError):
                self._process.kill()
        await self._process.wait()
        if self._reading is not None:
            self._reading.cancel()


class RealWorker(WorkerProcess[FixedConfiguration]):
    """The program itself as a process, in the same group as hollow workers; it ends with this process."""

    def __init__(self, name: str, tables: dict[str, Any], folder: Path, root: Path) -> None:
        configuration = FixedConfiguration(tables)
        super().__init__(name, configuration, folder, root, before_exec=die_with_parent)

    async def sample(self) -> RealWorkerSample:
        """Its counters, by its own status and the kernel. Raises OSError where it does not answer."""
        assert self.process is not None
        pid = self.process.pid
        peers = (await self.status())["peers"]
        return RealWorkerSample(
            bytes_out=peers["bytes_out"],
            bytes_in=peers["bytes_in"],
            sent=peers["datagrams"],
            received=sum(peers["messages"].values()) + sum(peers["rejected"].values()),
            peers_cpu_s=peers["cpu_s"],
            cpu_s=cpu_s(pid),
            resident_kb=resident_kb(pid),
        )
