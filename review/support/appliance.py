"""An appliance of a file under deploy/, with addresses of this machine, and the stand-ins around it."""

import re
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from review.support.program import ROOT, Bench, Program, free_port
from tests.stand_ins.ajp_client import AjpClient, AjpResponse
from tests.stand_ins.ajp_server import AjpServer

RESULT_PREFIX = b"accepted: "


class RegisterServer(AjpServer):
    """The AJP server behind the appliances: runs each request for a while, and counts runs by body."""

    def __init__(self, record: Callable[[str], None], run_s: float = 0.02) -> None:
        self.runs: Counter[bytes] = Counter()
        self.run_s = run_s
        self.running = 0
        self.most_running = 0
        self._record = record
        self._counts = threading.Lock()
        super().__init__()
        threading.Thread(target=self._run_all, daemon=True).start()

    def _run_all(self) -> None:
        while True:
            request = self.received.get()
            threading.Thread(target=self._run, args=(request,), daemon=True).start()

    def _run(self, request) -> None:  # type: ignore[no-untyped-def]
        with self._counts:
            self.runs[request.body] += 1
            self.running += 1
            self.most_running = max(self.most_running, self.running)
        self._record(f"server: run of {request.body.decode()}, {self.running} at once")
        time.sleep(self.run_s)
        with self._counts:
            self.running -= 1
        try:
            request.respond(data=RESULT_PREFIX + request.body)
        except OSError:
            self._record(f"server: {request.body.decode()} ended, its connection is gone")


@dataclass
class Appliance:
    """One appliance: its file is `template` of deploy/, in which `changes` replace text."""

    bench: Bench
    name: str
    template: str
    server: str  # address of the AJP server
    ajp: str = field(default_factory=lambda: f"127.0.0.1:{free_port()}")
    admin: str = field(default_factory=lambda: f"127.0.0.1:{free_port()}")
    agent: str = field(default_factory=lambda: f"127.0.0.1:{free_port()}")
    peers: str = field(default_factory=lambda: f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}")
    changes: dict[str, str] = field(default_factory=dict)  # by regular expression, each found once
    program: Program | None = None

    @property
    def folder(self) -> Path:
        """The folder of [state]."""
        return self.bench.folder / f"state-{self.name}"

    def write_file(self) -> str:
        """Writes the file; its path."""
        text = (ROOT / "deploy" / self.template).read_text()
        addresses = {
            r'(?m)^name = "register-1"': f'name = "{self.name}"',
            r"127\.0\.0\.1:8009": self.ajp,
            r"127\.0\.0\.1:8010": self.admin,
            r"127\.0\.0\.1:8011": self.agent,
            r"127\.0\.0\.1:8019": self.server,
        }
        for pattern, replacement in (addresses | self.changes).items():
            text, count = re.subn(pattern, lambda _, new=replacement: new, text)
            assert count, pattern
        return self.bench.write(f"{self.name}.toml", text)

    def start(self) -> Program:
        """Starts the program with the file; its $TMPDIR outlives it, as that of a service does."""
        env = {"OCHREHOIST_AJP": self.write_file()}
        self.program = self.bench.start(self.name, env, self.bench.folder / f"tmp-{self.name}")
        return self.program

    def client(self) -> AjpClient:
        """A web server's connection to it."""
        host, _, port = self.ajp.partition(":")
        return AjpClient((host, int(port)))


def file_filing(client: AjpClient, key: str, body: bytes, tenant: str = "startdesk") -> AjpResponse:
    """Sends a filing with its key, and waits for the answer."""
    headers = {"X-Tenant": tenant, "Idempotency-Key": key, "Content-Type": "text/plain"}
    return client.call("POST", "/filings/seat", headers, body)
