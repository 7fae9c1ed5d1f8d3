"""One case: its record, its verdict, its temporary folder, and the processes that it starts."""

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
import traceback
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
LIMIT_S = 110  # of the whole script
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be brought to its point."""


class Worker:
    """One process of the program, started by the command of the deploy file."""

    def __init__(self, case: "Case", name: str, config: Path, tmpdir: Path, **env: str) -> None:
        self.name, self.case = name, case
        clean = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "OCHREHOIST_"))}
        self.log_path = case.folder / f"{name}.log"
        with self.log_path.open("w") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", RUN],
                cwd=ROOT,
                env=clean | {"TMPDIR": str(tmpdir), "OCHREHOIST_AJP": str(config)} | env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        case.note(f"{name}: started as process {self.process.pid}")

    def log(self, event: str) -> list[dict[str, Any]]:
        """The lines of its log with this event."""
        found = []
        for line in self.log_path.read_text().splitlines():
            if f'"{event}"' in line:
                entry = json.loads(line)
                if entry.get("event") == event:
                    found.append(entry)
        return found

    def wait_logged(self, event: str, timeout_s: float = 15.0) -> dict[str, Any]:
        """Waits for a line of its log."""
        self.case.wait_for(lambda: self.log(event), f"{self.name} logs {event}", timeout_s)
        return self.log(event)[-1]

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        self.case.note(f"{self.name}: {number.name} sent")
        self.process.send_signal(number)

    def ended(self) -> bool:
        """Whether it has ended."""
        return self.process.poll() is not None


class Case:
    """The case in a folder `review/N`; `TROUBLE=0` leaves the disruption out."""

    def __init__(self, file: str) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="ochre-"))
        self._workers: list[Worker] = []
        self._started_at = time.monotonic()
        self._lock = threading.Lock()
        self._record = Path(file).with_name("record.txt").open("w")
        self.note(f"disruption: {'yes' if self.trouble else 'no (TROUBLE=0)'}")

    def note(self, text: str) -> None:
        """Writes one line to the record."""
        with self._lock:
            self._record.write(f"{time.monotonic() - self._started_at:8.3f} s  {text}\n")
            self._record.flush()

    def start(self, name: str, config: Path, tmpdir: Path | None = None, **env: str) -> Worker:
        """Starts a worker; without `tmpdir` it gets a folder of its own."""
        if tmpdir is None:
            tmpdir = Path(tempfile.mkdtemp(dir=self.folder))
        worker = Worker(self, name, config, tmpdir, **env)
        self._workers.append(worker)
        return worker

    def write(self, name: str, text: str) -> Path:
        """Writes a file into the temporary folder, atomically."""
        path = self.folder / name
        path.with_suffix(".new").write_text(text)
        path.with_suffix(".new").replace(path)
        return path

    def wait_for(self, done: Callable[[], Any], what: str, timeout_s: float = 15.0) -> Any:
        """Waits until `done` gives something true, and returns it."""
        until = time.monotonic() + timeout_s
        while True:
            value = done()
            if value:
                return value
            if time.monotonic() > until:
                raise CannotRunError(f"not in {timeout_s} s: {what}")
            time.sleep(0.02)

    def status(self, port: int) -> dict[str, Any]:
        """The status at an operators' address; empty if there is none."""
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/status", timeout=2) as answer:
                return json.load(answer)
        except urllib.error.HTTPError as error:
            return json.load(error) | {"not_ready": True}
        except (OSError, ValueError):
            return {}

    def wait_ready(self, port: int, timeout_s: float = 15.0) -> dict[str, Any]:
        """Waits until a worker is ready."""

        def ready() -> dict[str, Any] | None:
            status = self.status(port)
            return status if status and "not_ready" not in status else None

        return self.wait_for(ready, f"ready at port {port}", timeout_s)

    def close(self) -> None:
        """Kills what still runs, and removes the folder."""
        for worker in self._workers:
            if not worker.ended():
                worker.process.send_signal(signal.SIGCONT)
                worker.process.kill()
                worker.process.wait()
            self.note(f"{worker.name}: log of its end follows")
            for line in worker.log_path.read_text().splitlines()[-60:]:
                self.note(f"    {worker.name} | {line[:400]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """So many free ports of loopback."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def main(file: str, play: Callable[[Case], bool]) -> None:
    """Plays the case and exits: 0 if `play` says that the rule held, 1 if not, 2 if it could not run."""

    def too_long(*_: Any) -> None:
        raise CannotRunError(f"not done in {LIMIT_S} s")

    signal.signal(signal.SIGALRM, too_long)
    signal.alarm(LIMIT_S)
    case = Case(file)
    code = NOT_RUN
    try:
        code = HELD if play(case) else BROKEN
    except Exception:
        for line in traceback.format_exc().splitlines():
            case.note(line)
    finally:
        signal.alarm(0)
        case.close()
    verdict = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "the case could not run"}[code]
    case.note(f"verdict: {verdict}")
    print(verdict)
    sys.stdout.flush()
    os._exit(code)  # threads of stand-ins may still wait
