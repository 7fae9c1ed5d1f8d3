"""Load on a worker that is killed again and again: each filing is repeated until its outcome is final.

Every run is counted by the server that ran it.
"""

import contextlib
import queue
import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from tests.stand_ins.ajp_client import AjpClient
from tests.stand_ins.ajp_server import AjpServer, Responder
from tests.support.site_settings import long_window_settings
from tests.support.worker_process import WorkerProcess

DONE, MAY_HAVE_RUN, REJECTED, TIMED_OUT = 200, 502, 503, 504
MAX_RUN_S = 0.02
MAX_LIFE_S = 0.12  # of a worker before it is killed
OPEN_FILINGS = 30  # kept waiting for each worker
RETRY_DELAY_S = 0.002
DRAIN_LIMIT_S = 30


class Filing(NamedTuple):
    """A document to be filed, and how often that was tried."""

    body: bytes
    tries: int


class CountingServer(AjpServer):
    """Runs each filing for some milliseconds and counts by body."""

    def __init__(self, seed: int = 0) -> None:
        self.runs: Counter[bytes] = Counter()
        self.random = random.Random(seed)
        super().__init__()
        threading.Thread(target=self._run_all, daemon=True).start()

    def _run_all(self) -> None:
        while True:
            request = self.received.get()
            if request.body:
                self.runs[request.body] += 1
            delay_s = self.random.uniform(0.0, MAX_RUN_S)
            threading.Timer(delay_s, self._respond, (request.respond, b"ran " + request.body)).start()

    def _respond(self, respond: Responder, data: bytes) -> None:
        with contextlib.suppress(OSError):
            respond(data=data)


class FilingClient(threading.Thread):
    """Files one after the other at the worker of the moment, and goes on with what is open at the next."""

    def __init__(self, server: CountingServer, todo: "queue.Queue[Filing]") -> None:
        super().__init__(daemon=True)
        self.server, self.todo = server, todo
        self.program: WorkerProcess | None = None
        self.changed, self.stopped = threading.Condition(), False
        self.outcomes: Counter[int | None] = Counter()  # by status
        self.wrong: list[tuple[bytes, Any]] = []  # body, and what came in place of what had to

    def use(self, program: WorkerProcess | None) -> None:
        """Files at this worker from now on; with None, it waits for the next."""
        with self.changed:
            self.program = program
            self.changed.notify()

    def stop(self) -> None:
        """Ends the thread after the filing that it is at."""
        with self.changed:
            self.stopped = True
            self.changed.notify()

    def run(self) -> None:
        """Files until it is stopped."""
        client: AjpClient | None = None
        client_of: WorkerProcess | None = None
        while (program := self._current_program()) is not None:
            try:
                filing = self.todo.get(timeout=0.05)
            except queue.Empty:
                continue
            try:
                if client_of is not program or client is None:
                    client, client_of = program.ajp_client(), program
                self._file(client, filing)
            except (OSError, EOFError, AssertionError):
                client = None
                self._retry(filing)
                if self.program is program:
                    time.sleep(RETRY_DELAY_S)

    def _current_program(self) -> WorkerProcess | None:
        """Waits for a worker; None once it is stopped."""
        with self.changed:
            while self.program is None and not self.stopped:
                self.changed.wait()
            return None if self.stopped else self.program

    def _file(self, client: AjpClient, filing: Filing) -> None:
        body = filing.body
        ran_before = self.server.runs[body] > 0
        headers = {"Idempotency-Key": body.decode(), "X-Tenant": "acme"}
        status, _, data = client.call("POST", "/filings", headers, body)
        self.outcomes[status] += 1
        if status == REJECTED:
            if ran_before:
                self.wrong.append((body, "rejected though it had run"))
            self._retry(filing)
        elif status == DONE and data != b"ran " + body:
            self.wrong.append((body, data))
        elif status not in (DONE, MAY_HAVE_RUN, TIMED_OUT):
            self.wrong.append((body, status))

    def _retry(self, filing: Filing) -> None:
        self.todo.put(Filing(filing.body, filing.tries + 1))


class CrashLoad:
    """Starts a worker, kills it at a moment of the seed, starts the next on the same folder, and so on."""

    def __init__(
        self, folder: Path, seed: int = 1, clients: int = 3, state: bool = True, filings: int = 10**9
    ) -> None:
        self.folder, self.random, self.state = folder, random.Random(seed), state
        self.server = CountingServer(seed)
        self.todo: queue.Queue[Filing] = queue.Queue()
        self.clients = [FilingClient(self.server, self.todo) for _ in range(clients)]
        self.filed, self.losses, self.programs = 0, [], 0
        self.filings = filings

    def start(self, **more: Any) -> WorkerProcess:
        """The next worker on the folder."""
        state = {"folder": str(self.folder)} if self.state else None
        self.programs += 1
        return WorkerProcess(
            thrift=False, ajp=True, site=long_window_settings(), state=state, server=self.server, **more
        )

    def file(self, count: int) -> None:
        """So many further filings, up to all of `filings`."""
        for _ in range(min(count, self.filings - self.filed)):
            self.filed += 1
            self.todo.put(Filing(b"filing %08d" % self.filed, 0))

    def run_worker(self, duration_s: float | None, **more: Any) -> WorkerProcess | None:
        """One worker, killed so long after it is up; with None, it is left to run."""
        program = self.start(**more)
        for client in self.clients:
            if not client.is_alive():
                client.start()
            client.use(program)
        if duration_s is None:
            return program
        self.file(max(0, OPEN_FILINGS - self.todo.qsize()))
        time.sleep(duration_s)
        self.stop(program)
        return None

    def stop(self, program: WorkerProcess) -> None:
        """Kills a worker, and notes what it said to be lost."""
        for client in self.clients:
            client.use(None)
        program.process.kill()
        program.process.wait()
        program.log_reader.join(5)
        self.losses += program.logged("store_data_lost")
        program.close()

    def run(self, kills: int, progress: Callable[[int], None] = lambda *_: None) -> None:
        """So many workers one after the other, and a last one; `progress` hears how many were killed."""
        for number in range(kills):
            self.run_worker(self.random.uniform(0.0, MAX_LIFE_S))
            progress(number + 1)
        self.finish()

    def finish(self) -> None:
        """A last worker, at which all that is open gets its outcome."""
        program = self.run_worker(None)
        until = time.monotonic() + DRAIN_LIMIT_S
        while self.todo.qsize() and time.monotonic() < until:
            time.sleep(0.01)
        for client in self.clients:
            client.stop()
        for client in self.clients:
            client.join(10)
        self.stop(program)
        self.server.close()

    @property
    def run_twice(self) -> dict[bytes, int]:
        """How often, by body, of what ran more than once."""
        return {body: n for body, n in self.server.runs.items() if n > 1}

    @property
    def wrong(self) -> list[tuple[bytes, Any]]:
        """Outcomes that must not be."""
        return [end for client in self.clients for end in client.wrong]

    @property
    def outcomes(self) -> Counter[int | None]:
        """How many filings had each status."""
        return sum((client.outcomes for client in self.clients), Counter())
