"""The processes of a scale run: hollow workers by the hundred in each, real ones beside them (asyncio)."""

import asyncio
import itertools
import json
import os
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

from ochrehoist.lab.hollow import PAGE_KB, die_with_parent
from ochrehoist.lab.toml import toml_file
from ochrehoist.lab.workers import Failed, Worker

ANSWER_S = 120.0
HOLLOW = Path(__file__).with_name("hollow.py")


def resident_kb(pid: int) -> int:
    """0 where there is no such process any more."""
    with suppress(OSError):
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_KB
    return 0


def processor_s(pid: int) -> float:
    """That a process, of one thread, has had; from the scheduler's own count, which is in ns."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


class Shell:
    """One process of hollow workers, as its parent sees it. `root`: the tree whose parts it runs."""

    def __init__(self, workers: list[dict[str, Any]], spec: dict[str, Any], root: Path) -> None:
        self.names = {w["name"] for w in workers}
        self.spec, self.root = spec | {"workers": workers}, root
        self.process: asyncio.subprocess.Process | None = None
        self.numbers = itertools.count()
        self.answers: dict[int, asyncio.Future] = {}
        self.said: list[str] = []

    async def start(self) -> None:
        env = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "OCHREHOIST_"))}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-P",
            str(HOLLOW),
            cwd=self.root,
            env=env | {"PYTHONPATH": str(self.root)},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=1 << 28,
        )
        self._write(self.spec)
        line = await asyncio.wait_for(self.process.stdout.readline(), ANSWER_S)
        if not line:
            raise Failed(f"hollow workers did not come up: {await self._last_words()}")
        self.reading = asyncio.create_task(self._read())

    async def _last_words(self) -> str:
        text = (await self.process.stderr.read()).decode().strip()
        return text.splitlines()[-1] if text else f"ended with {await self.process.wait()}"

    def _write(self, value: dict[str, Any]) -> None:
        self.process.stdin.write(json.dumps(value).encode() + b"\n")

    async def _read(self) -> None:
        while line := await self.process.stdout.readline():
            answer = json.loads(line)
            future = self.answers.pop(answer.pop("id"), None)
            if future is None or future.done():
                continue
            if "error" in answer:
                future.set_exception(Failed(f"a process of hollow workers: {answer['error']}"))
            else:
                future.set_result(answer)
        why = await self._last_words()
        for future in self.answers.values():
            if not future.done():
                future.set_exception(Failed(f"a process of hollow workers ended: {why}"))

    async def ask(self, do: str, **more: Any) -> dict[str, Any]:
        """Raises Failed where it ended, or says nothing in time."""
        number = next(self.numbers)
        future = self.answers[number] = asyncio.get_running_loop().create_future()
        try:
            self._write({"id": number, "do": do} | more)
            return await asyncio.wait_for(future, ANSWER_S)
        except (TimeoutError, ConnectionError) as error:
            raise Failed(f"a process of hollow workers does not answer {do!r}: {error!r}") from error
        finally:
            self.answers.pop(number, None)

    @property
    def pid(self) -> int:
        return self.process.pid

    async def end(self) -> None:
        if self.process is None:
            return
        if self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.kill()
        await self.process.wait()
        with suppress(AttributeError):
            self.reading.cancel()


class RealWorker(Worker):
    """The program itself as a process, in the same group as hollow ones; it ends with the one that started
    it."""

    before_exec = staticmethod(die_with_parent)

    def __init__(self, *args: Any, top: dict[str, Any]) -> None:
        super().__init__(*args)
        self.top = top
        self.peers = top["peers"]

    def write(self) -> None:
        self.file.write_text(toml_file(self.top))

    async def counters(self) -> dict[str, Any]:
        """As those of a hollow one; `cpu_s` of all that the process does."""
        pid, p = self.process.pid, (await self.status())["peers"]
        return {
            "name": self.name,
            "bytes_out": p["bytes_out"],
            "bytes_in": p["bytes_in"],
            "sent": p["datagrams"],
            "received": sum(p["messages"].values()) + sum(p["rejected"].values()),
            "peers_cpu_s": p["cpu_s"],
            "cpu_s": processor_s(pid),
            "rss_kb": resident_kb(pid),
            "alive": sum(m["state"] == "alive" for m in p["members"].values()),
        }
