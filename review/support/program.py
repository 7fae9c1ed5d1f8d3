"""Starts the program by the deploy file, keeps the record of a case, and ends what it started."""

import contextlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_WITHIN_S = 30.0
POLL_S = 0.02


def trouble() -> bool:
    """Whether the disruption of the case is on; TROUBLE=0 turns it off."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port of 127.0.0.1 that nobody uses now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class CouldNotRunError(Exception):
    """The case could not be played as it is meant."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Writes a line."""
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Writes a line, and prints it."""
        self(text)
        print(text, flush=True)

    def close(self) -> None:
        """Ends the record."""
        with self._lock:
            self._file.close()


class Program:
    """One process of the program, started by `run` of the deploy file."""

    def __init__(self, bench: "Bench", label: str, env: dict[str, str], tmpdir: Path) -> None:
        tmpdir.mkdir(exist_ok=True)
        clean = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "OCHREHOIST_"))}
        self.label = label
        self.log_path = bench.folder / f"{label}-{time.monotonic_ns()}.log"
        self._record = bench.record
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", bench.run_command],
                cwd=ROOT,
                env=clean | env | {"TMPDIR": str(tmpdir)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record(f"started {label}, pid {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        self._record(f"{number.name} to {self.label}, pid {self.process.pid}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def logged(self, event: str) -> list[dict[str, Any]]:
        """The entries of its log of that event."""
        entries = []
        for line in self.log_path.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if isinstance(entry, dict) and entry.get("event") == event:
                    entries.append(entry)
        return entries

    def wait_until_logged(self, event: str, count: int = 1, limit_s: float = READY_WITHIN_S) -> None:
        """Waits until its log has so many entries of that event."""
        wait_until(lambda: len(self.logged(event)) >= count, limit_s, f"{self.label} logs {event}")


def wait_until(done: Callable[[], bool], limit_s: float, what: str) -> None:
    """Waits until `done`; CouldNotRunError where that takes longer than `limit_s`."""
    until_s = time.monotonic() + limit_s
    while not done():
        if time.monotonic() > until_s:
            raise CouldNotRunError(f"waited {limit_s} s in vain: {what}")
        time.sleep(POLL_S)


def status(admin: str) -> tuple[int, dict[str, Any]]:
    """Status code and content of GET /status; (0, {}) where nobody answers."""
    host, _, port = admin.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=2)
    try:
        connection.request("GET", "/status")
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except (OSError, ValueError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()


def wait_until_ready(admin: str, accept: Callable[[dict[str, Any]], bool] = lambda _: True) -> None:
    """Waits until a worker answers at `admin` that it is ready, and `accept` takes its status."""

    def is_ready() -> bool:
        code, content = status(admin)
        return code == 200 and accept(content)

    wait_until(is_ready, READY_WITHIN_S, f"ready at {admin}")


class Bench:
    """A case that runs: its temporary folder, its record, and the processes that it started."""

    def __init__(self, case_folder: Path) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.run_command = deploy["run"]
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(case_folder)
        self._programs: list[Program] = []

    def start(self, label: str, env: dict[str, str], tmpdir: Path | None = None) -> Program:
        """Starts the program; its $TMPDIR is of its own unless one is given."""
        program = Program(self, label, env, tmpdir or self.folder / f"tmp-{label}")
        self._programs.append(program)
        return program

    def write(self, name: str, text: str) -> str:
        """Writes a file into the temporary folder, in one step; its path."""
        path = self.folder / name
        new = self.folder / (name + ".new")
        new.write_text(text)
        new.replace(path)
        return str(path)

    def close(self) -> None:
        """Kills what still runs, and removes the temporary folder unless KEEP is set."""
        for program in self._programs:
            if program.process.poll() is None:
                program.process.kill()
            program.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def play(case_folder: Path, case: Callable[[Bench], bool]) -> None:
    """Plays a case, which returns whether the rule held, and exits with 0, 1 or 2."""
    bench = Bench(case_folder)
    code = COULD_NOT_RUN
    try:
        bench.record.say(f"disruption: {'on' if trouble() else 'off'}")
        code = HELD if case(bench) else BROKEN
        bench.record.say("the rule held" if code == HELD else "THE RULE WAS BROKEN")
    except CouldNotRunError as error:
        bench.record.say(f"could not run: {error}")
    except Exception as error:
        bench.record.say(f"could not run: {error!r}")
        raise
    finally:
        bench.close()
        sys.stdout.flush()
        os._exit(code)


def settings_of(file: str) -> dict[str, Any]:
    """The table [settings] of a file under deploy/, which has the form of the platform."""
    content: dict[str, Any] = tomllib.loads((ROOT / "deploy" / file).read_text())
    return dict(content["settings"])
