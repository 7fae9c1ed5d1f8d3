"""The program under test as a process, with stand-ins for all it talks to. Every wait ends by itself."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple, Self

from ochrehoist.lab.toml import toml_file
from tests.stand_ins.ajp_client import AjpClient
from tests.stand_ins.ajp_server import AjpServer
from tests.stand_ins.kernel import Kernel
from tests.stand_ins.membership_service import MembershipService
from tests.stand_ins.thrift_router import ThriftReply, ThriftRouter
from tests.support.environment import ROOT, WAIT_LIMIT_S
from tests.support.site_settings import site_settings

POLL_INTERVAL_S = 0.002  # the log is read by another thread


def restore_default_signals() -> None:
    """For `preexec_fn`: gives a process the dispositions of a terminal, whatever the tests' parent ignores.

    A shell starts background jobs with SIGINT ignored, `nohup` with SIGHUP, and children inherit that.
    """
    signals = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
    for number in signals:
        signal.signal(number, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, signals)


def run_command(*arguments: str, env: dict[str, str] | None = None) -> subprocess.CompletedProcess[str]:
    """Runs `python -m ochrehoist` to its end."""
    return subprocess.run(
        [sys.executable, "-m", "ochrehoist", *arguments],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=WAIT_LIMIT_S,
    )


class OperatorResponse(NamedTuple):
    """Status and text of an answer of the operators' address."""

    status: int
    text: str


class WorkerProcess:
    """`python -m ochrehoist`, with stand-ins behind it; fronts are on as asked for."""

    def __init__(
        self,
        *,
        thrift: bool = True,
        ajp: bool = False,
        site: dict[str, Any] | None = None,
        stop_ms: int = 2500,
        sockets: int = 256,
        memory_mb: int = 64,
        secret: str | None = None,
        fault: str | None = None,
        stall_log: bool = False,
        boot: bool = True,
        passed: bool = False,
        before: Self | None = None,
        appliance: str | None = None,
        inherits: Callable[[], None] | None = None,
        kernel: Any = None,
        state: dict[str, Any] | None = None,
        server: AjpServer | None = None,
        root: Path = ROOT,
        capture: dict[str, Any] | None = None,
        overload: dict[str, Any] | None = None,
        peers: dict[str, Any] | None = None,
        sites: dict[str, Any] | None = None,
        recovery: dict[str, Any] | None = None,
        name: str = "n1",
        listen: str = "127.0.0.1:0",
        members: MembershipService | None = None,
        **more: Any,
    ) -> None:
        """Starts the program and waits until its fronts listen and, with `boot`, its kernel is up.

        Args:
            thrift: whether it serves routers of the platform.
            ajp: whether it serves web servers, as an appliance.
            site: settings of the site; `site_settings()` where none are given.
            stop_ms: how long it may take to end after its notice.
            sockets: its limit of connections.
            memory_mb: its limit of memory.
            secret: the secret of its AJP front.
            fault: Python source, run at the start of the interpreter, before the program itself.
            stall_log: whether nobody reads its log once it has started.
            boot: whether the kernel answers that it is up.
            passed: whether its listening socket is made here and passed to it.
            before: the program that it is started beside, to replace it.
            appliance: the text of its file, in place of one made of the other arguments.
            inherits: called in the new process before the program, as a parent that leaves signals changed.
            kernel: its kernel, and `server` and `members` likewise; who gives them closes them.
            state: a table of the appliance's file, as `capture`, `overload`, `peers`, `sites`, `recovery`.
            server: the server behind its AJP front.
            root: the tree that the program is run from, for comparisons.
            capture: a table.
            overload: a table; without an appliance's file, in one of operators.
            peers: a table.
            sites: a table.
            recovery: a table.
            name: its name among peers.
            listen: the address of its Thrift front.
            members: the membership service.
            more: further keys of the AJP front.
        """
        self.folder = before.folder if before else tempfile.TemporaryDirectory()
        self.passed = before.passed if before else socket.create_server(("127.0.0.1", 0)) if passed else None
        self.kernel, self.server = kernel or Kernel(), server or AjpServer()
        self.members = members or MembershipService()
        self.kernel.boots, self._given = boot, (kernel, server, members)
        self.env = self._environment()
        site = site or site_settings()
        limits = {"memory_mb": memory_mb, "sockets": sockets}
        common = {"name": name, "stop_ms": stop_ms, "limits": limits, "admin": "127.0.0.1:0"}
        if ajp:
            tables = {
                "state": state,
                "capture": capture,
                "overload": overload,
                "peers": peers,
                "sites": sites,
                "recovery": recovery,
            }
            front = self._ajp_front(secret) | more
            self.appliance = common | {
                "ajp": front,
                "console": {"agent_check": "127.0.0.1:0"},
                "settings": site,
                **{name: table for name, table in tables.items() if table is not None},
            }
            self.env["OCHREHOIST_AJP"] = self.write_file("ajp.toml", appliance or toml_file(self.appliance))
        elif overload is not None:
            text = toml_file({"overload": overload})
            self.env["OCHREHOIST_AJP"] = self.write_file("operators.toml", text)
        if thrift:
            self.config = common | {
                "listen": listen,
                "kernel": self.kernel.address,
                "members": self.members.address,
                "seed": "8c1f30d27a5be964",
                "settings": site,
            }
            self.env["EDGE_CONFIG"] = self.write_file("config.json", json.dumps(self.config))
        if fault:
            self.write_file("sitecustomize.py", fault)
            self.env["PYTHONPATH"] = f"{self.folder.name}:{root}"
        self._spawn(root, inherits)
        self._read_log_until_started(1 + thrift + 2 * ajp + (peers is not None), stall_log)
        if thrift and boot:
            self.kernel.opened.get(timeout=WAIT_LIMIT_S)

    def _environment(self) -> dict[str, str]:
        env = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "OCHREHOIST_"))}
        env["TMPDIR"] = self.folder.name
        if self.passed:
            env["EDGE_PASSED_SOCKET"] = str(self.passed.fileno())
        return env

    def _ajp_front(self, secret: str | None) -> dict[str, Any]:
        front: dict[str, Any] = {
            "listen": "127.0.0.1:0",
            "rules": [
                {"uri": "/reads/*", "class": "read"},
                {"uri": "/filings*", "methods": ["POST"], "class": "filing"},
            ],
            "servers": [{"address": self.server.address, "reply_ms": 15_000}],
            "body_s": 3.0,
        }
        return front | ({"secret": secret} if secret else {})

    def _spawn(self, root: Path, inherits: Callable[[], None] | None) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ochrehoist"],
            cwd=root,
            env=self.env,
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=inherits,
            pass_fds=[self.passed.fileno()] if self.passed else [],
        )

    def _read_log_until_started(self, expected_listeners: int, stall_log: bool) -> None:
        self.log: list[dict[str, Any]] = []
        self.addresses: dict[str, tuple[str, int]] = {}  # by the part of the program that listens there
        self._started = threading.Event()
        arguments = (expected_listeners, stall_log)
        self.log_reader = threading.Thread(target=self._read_log, args=arguments, daemon=True)
        self.log_reader.start()
        assert self._started.wait(WAIT_LIMIT_S), self.log

    def _read_log(self, expected_listeners: int, stall_log: bool) -> None:
        for line in self.process.stderr:
            entry = json.loads(line)
            self.log.append(entry)
            if entry["event"] == "started":
                self.addresses[entry["part"]] = entry["listen"]
            if len(self.addresses) == expected_listeners:
                self._started.set()
                if stall_log:
                    return

    def wait_until_took_over(self) -> Self:
        """Waits until it has: then the program before it gets its notice, as on the platform."""
        self.wait_for(lambda status: status["state"] in ("up", "standby"))
        until = time.monotonic() + WAIT_LIMIT_S
        while not self.logged("took_over"):
            assert time.monotonic() < until, self.log
            time.sleep(POLL_INTERVAL_S)
        return self

    def write_file(self, name: str, content: str) -> str:
        """Writes a file into the program's folder; its path."""
        path = Path(self.folder.name, name)
        path.write_text(content)
        return str(path)

    def reload(self, name: str, content: str, event: str = "config_reloaded") -> dict[str, Any]:
        """Replaces a configuration file, as the platform does, sends SIGHUP, and gives what the log says."""
        known = len(self.logged(event))
        os.replace(self.write_file("new", content), Path(self.folder.name, name))
        self.process.send_signal(signal.SIGHUP)
        until = time.monotonic() + WAIT_LIMIT_S
        while len(self.logged(event)) == known:
            assert time.monotonic() < until and self.process.poll() is None, self.log
            time.sleep(POLL_INTERVAL_S)
        return self.logged(event)[-1]

    def thrift_router(self) -> ThriftRouter:
        """A new router, connected to its Thrift front."""
        return ThriftRouter(self.addresses["ThriftFront"])

    def ajp_client(self) -> AjpClient:
        """A new web server, connected to its AJP front."""
        return AjpClient(self.addresses["AjpFront"])

    def stop_while(self, duration_s: float, meanwhile: Callable[[], None]) -> None:
        """The process stands still for so long, and sees at once what was done meanwhile when it goes on."""
        self.process.send_signal(signal.SIGSTOP)
        try:
            meanwhile()
            time.sleep(duration_s)  # what is tested is that this time runs out
        finally:
            self.process.send_signal(signal.SIGCONT)

    def serve_one(self, router: ThriftRouter, body: bytes = b"doc", **fields: str) -> None:
        """One request, run and answered."""
        sequence_id = router.invoke(body=body, **fields)
        self.kernel.reap(self.kernel.next_run().request_id, body=b"served")
        assert router.answer(sequence_id) == ThriftReply("Answer", {}, b"served"), router.answer(sequence_id)

    def operator_call(self, method: str = "GET", path: str = "/status") -> OperatorResponse:
        """An operator's call."""
        connection = http.client.HTTPConnection(*self.addresses["Operators"], timeout=WAIT_LIMIT_S)
        connection.request(method, path)
        answer = connection.getresponse()
        text = answer.read().decode()
        connection.close()
        return OperatorResponse(answer.status, text)

    def metric(self, name: str, group: str | None = None) -> int:
        """One of the metrics, as a number."""
        label = f'{{group="{group}"}}' if group else ""
        lines = self.operator_call(path="/status/metrics")[1].splitlines()
        return int(next(line for line in lines if line.startswith(f"app_{name}{label} ")).split()[1])

    def run_operator_command(self, *command: str) -> subprocess.CompletedProcess[str]:
        """The program's own commands; its address was not known when the file was written."""
        host, port = self.addresses["Operators"]
        return run_command(*command, env=self.env | {"EDGE_ADMIN": f"{host}:{port}"})

    def wait_for(self, good: Callable[[dict[str, str]], bool]) -> None:
        """Until the status fits; each question is a round trip, not a sleep."""
        until = time.monotonic() + WAIT_LIMIT_S
        while not good(status := {k: str(v) for k, v in json.loads(self.operator_call()[1]).items()}):
            assert time.monotonic() < until, status

    def logged(self, event: str) -> list[dict[str, Any]]:
        """The entries of its log of that event."""
        return [entry for entry in self.log if entry["event"] == event]

    def wait_until_logged(self, event: str) -> list[dict[str, Any]]:
        """Until the log says it: lines come by a pipe, and later than what they tell of."""
        until = time.monotonic() + WAIT_LIMIT_S
        while not self.logged(event):
            assert time.monotonic() < until, event
            self.operator_call()
        return self.logged(event)

    def wait_for_exit(self) -> int:
        """Its exit code, once it has ended and all of its log is read."""
        code = self.process.wait(WAIT_LIMIT_S)
        self.log_reader.join(WAIT_LIMIT_S)
        return code

    def close(self) -> None:
        """Kills the program, and closes the stand-ins that were made for it."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log_reader.join(WAIT_LIMIT_S)
        self.process.stderr.close()
        for part in (self.kernel, self.members, self.server):
            if part not in self._given:
                part.close()
        if self.passed:
            self.passed.close()
        if Path(self.folder.name).exists():
            self.folder.cleanup()
