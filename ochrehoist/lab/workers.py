"""Workers of a play as processes: their files, their starts and ends, and what is done to them (asyncio)."""

import asyncio
import json
import os
import resource
import shutil
import signal
import struct
import subprocess
import sys
import threading
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from ochrehoist.lab.errors import RunAbortedError
from ochrehoist.lab.scenario import Scenario
from ochrehoist.lab.toml import toml_file

ROOT = Path(__file__).parent.parent.parent
START_S = 60.0
MS = 1_000_000
# Put before the program in a child whose clock is wrong, or will be: the laboratory's, not a switch of the
# program.
CLOCK = """
import mmap, struct, time
_file = open({path!r}, "r+b")
_map, _time, _time_ns = mmap.mmap(_file.fileno(), 8), time.time, time.time_ns
def _shift():
    return struct.unpack("d", _map[:8])[0]
time.time = lambda: _time() + _shift()
time.time_ns = lambda: _time_ns() + int(_shift() * 1e9)
"""


def settings(s: Scenario) -> dict[str, Any]:
    classes = [
        {"Name": c.name, "Slo": int(c.aim_ms * MS), "Deadline": int(c.deadline_ms * MS), "Gain": c.worth}
        | (
            {"Repeat": "deduplicated", "Window": int(c.window_s * 1e9)}
            if c.keyed
            else {"Repeat": "idempotent"}
        )
        for c in s.classes
    ]
    total = sum(s.tenants.values())
    return {
        "Classes": classes,
        "FleetSize": 1,
        "ResultMix": {"Whole": 1.0},
        "Step": 4 * MS,
        "OverShareWorth": 0.1,
        "FamilyInfo": {
            "Cores": s.cores,
            "HeapKb": 90000.0,
            "RunFactor": 4.0,
            "KeyKb": 10.0,
            "Callers": 3,
            "TellsGone": True,
            "Idle": 30_000 * MS,
            "OwnStats": ["cpu_busy", "runnable"],
        },
        "PolicyLimits": {"RetryAfter": True, "MaxRetryAfter": 1000 * MS},
        "Tenants": [{"Name": n, "QuotaPerS": q, "Fraction": q / total} for n, q in s.tenants.items()],
        "Rules": {
            "Cold": 1000 * MS,
            "ColdFrom": 0.9,
            "DrainGrace": 300 * MS,
            "Fall": 1500 * MS,
            "GraceToAnswer": 80 * MS,
            "TipMultiple": 8.0,
        },
    }


class Worker:
    """One member. Its configuration is made anew for each start; `root`: the tree that it is run from."""

    before_exec: Callable[[], None] | None = None  # called in the new process before the program takes over

    def __init__(self, name: str, scenario: Scenario, folder: Path, root: Path = ROOT) -> None:
        self.name, self.scenario, self.folder, self.root = name, scenario, folder, root
        self.process: subprocess.Popen | None = None
        self.lives: list[float] = []
        self.at: dict[str, tuple[str, int]] = {}
        self.said: list[dict[str, Any]] = []
        self.more: dict[str, Any] = {}  # tables of the file beside the usual ones
        self.servers: dict[str, str] = {}  # by name, the address of the relay to it
        self.peers: dict[str, Any] | None = None
        self.clock = 0.0
        self.killed = False  # by the laboratory
        self.full = False  # no file of it can grow
        self.kernel = ""  # of the platform's form: the relay to it
        self.named = True  # versions from before the fleet have no names for servers
        self.paused = False

    @property
    def file(self) -> Path:
        return self.folder / f"{self.name}.{'json' if self.platform else 'toml'}"

    @property
    def platform(self) -> bool:
        return self.scenario.form == "platform"

    @property
    def front(self) -> str:
        return "ThriftFront" if self.platform else "AjpFront"

    def write(self) -> None:
        text = self._platform() if self.platform else toml_file(self._appliance() | self.more)
        new = self.file.with_suffix(".new")
        new.write_text(text)
        new.replace(self.file)

    def _platform(self) -> str:
        return json.dumps(
            {
                "name": self.name,
                "listen": "127.0.0.1:0",
                "admin": "127.0.0.1:0",
                "kernel": self.kernel,
                "seed": f"{sum(self.name.encode()):x}",
                "stop_ms": 3000,
                "limits": {"memory_mb": 192, "sockets": 512},
                "settings": settings(self.scenario),
            }
        )

    def _appliance(self) -> dict[str, Any]:
        top: dict[str, Any] = {
            "name": self.name.split("'")[0],
            "stop_ms": 3000,
            "limits": {"memory_mb": 192, "sockets": 512},
            "admin": "127.0.0.1:0",
            "ajp": {
                "listen": "127.0.0.1:0",
                "default_tenant": next(iter(self.scenario.tenants)),
                "retry_ms": 300,
                "rules": [{"uri": f"/{c.name}/*", "class": c.name} for c in self.scenario.classes],
                "servers": [
                    ({"name": n} if self.named else {}) | {"address": a, "reply_ms": 8000, "connect_ms": 500}
                    for n, a in self.servers.items()
                ],
            },
            "settings": settings(self.scenario),
        }
        if self.scenario.state:
            top["state"] = {"folder": str(self.store)}
        if self.scenario.balancer.check_s:
            top["console"] = {"agent_check": "127.0.0.1:0"}
        if self.peers is not None:
            top["peers"] = self.peers
        return top

    async def init_store(self) -> None:
        """As operators do before the first start of all: else an empty folder may be one that was lost."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ochrehoist",
            "state",
            "init",
            "--folder",
            str(self.store),
            cwd=self.root,
            stdout=subprocess.DEVNULL,
        )
        if await process.wait():
            raise RunAbortedError.store_not_initialized(self.name)

    async def start(self, now: float) -> None:
        self.write()
        env = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "OCHREHOIST_", "TMPDIR"))}
        # Where a process finds the one that it replaces: a twin of the same name is not to find it.
        link = self.folder / f"{self.name}.run"
        link.mkdir(exist_ok=True)
        env["TMPDIR"] = str(link)
        if self.clock or any(f.kind == "clock" for f in self.scenario.faults):
            place = self.folder / f"{self.name}.clock"
            place.mkdir(exist_ok=True)
            self.set_clock(self.clock)
            (place / "sitecustomize.py").write_text(CLOCK.format(path=str(place / "shift")))
            env["PYTHONPATH"] = f"{place}:{self.root}"
        self.at, self.paused, self.killed = {}, False, False
        self.lives.append(now)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ochrehoist", "--config", str(self.file), "run"],
            cwd=self.root,
            env=env,
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=self.before_exec,
        )
        up, loop, process = asyncio.Event(), asyncio.get_running_loop(), self.process
        wanted = {self.front, "Operators"} | ({"Peers"} if self.peers is not None else set())
        if self.full:
            self.disk(full=True)

        def listen() -> None:
            with open(self.folder / f"{self.name}.log", "a") as log:
                for line in process.stderr:
                    log.write(line)
                    with suppress(ValueError):
                        told = json.loads(line)
                        if len(self.said) < 5000:
                            self.said.append(told)
                        if told["event"] == "started":
                            self.at[told["part"]] = tuple(told["listen"])
                            if wanted <= self.at.keys() and not loop.is_closed():
                                loop.call_soon_threadsafe(up.set)
            process.stderr.close()

        threading.Thread(target=listen, daemon=True).start()
        until = loop.time() + START_S
        while not up.is_set():
            with suppress(TimeoutError):
                await asyncio.wait_for(up.wait(), 0.2)
            if process.poll() is not None and self.killed:
                return  # by a fault that came before it was up
            if not up.is_set() and (process.poll() is not None or loop.time() > until):
                said = (self.folder / f"{self.name}.log").read_text().splitlines()[-1:]
                raise RunAbortedError.worker_not_started(self.name, " ".join(said))

    # ---- what is done to it
    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.killed = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def pause(self, on: bool) -> None:
        self.paused = on
        self.signal(signal.SIGSTOP if on else signal.SIGCONT)

    def set_clock(self, shift: float) -> None:
        """Its wall clock is wrong by so many s, now and from now on."""
        path = self.folder / f"{self.name}.clock" / "shift"
        # Written in place: the process has it mapped.
        with open(path, "r+b" if path.exists() else "wb") as file:
            file.write(struct.pack("d", shift))

    def disk(self, full: bool) -> None:
        """Whether writes that need room fail. The log is a pipe, and goes on."""
        self.full = full
        if self.process is not None and self.process.poll() is None:
            no_more = 0 if full else resource.RLIM_INFINITY
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (no_more, resource.RLIM_INFINITY))

    @property
    def store(self) -> Path:
        return self.folder / f"{self.name}.state"

    def keep_copy(self) -> None:
        """Of the store as it is now, to be put back later as an older one."""
        if self.store.exists():
            shutil.copytree(self.store, self.store.with_suffix(".older"), dirs_exist_ok=True)

    def change_store(self, what: str) -> None:
        """Between two processes: the folder is gone, or an older copy of it."""
        if what != "kept":
            shutil.rmtree(self.store, ignore_errors=True)
        if what == "older" and self.store.with_suffix(".older").exists():
            shutil.copytree(self.store.with_suffix(".older"), self.store)

    def crowd(self, count: int) -> list[subprocess.Popen]:
        """So many busy processes on the one core that it is then kept to; this process leaves that core."""
        cores = os.sched_getaffinity(0)
        core = {max(cores)}
        os.sched_setaffinity(0, cores - core or cores)
        os.sched_setaffinity(self.process.pid, core)
        burners = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(count)]
        for b in burners:
            os.sched_setaffinity(b.pid, core)
        return burners

    async def status(self) -> dict[str, Any]:
        """What its operators' address says; OSError where it says nothing."""
        try:
            return json.loads(await self._asked("GET", "/status"))
        except ValueError as error:
            raise OSError(f"no status of {self.name}: {error!r}") from error

    async def post(self, path: str) -> str:
        return await self._asked("POST", path)

    async def _asked(self, method: str, path: str) -> str:
        if "Operators" not in self.at:
            raise OSError(f"{self.name} is not up")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.at["Operators"]), 5)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\n\r\n".encode())
            data = await asyncio.wait_for(reader.read(), 10)
            return data.partition(b"\r\n\r\n")[2].decode()
        except TimeoutError as error:
            raise OSError(f"no answer of {self.name}: {error!r}") from error
        finally:
            writer.close()
