"""The tests' stand-ins for what surrounds a worker, typed as far as benchmarks use them.

They are the only code of the tests that benchmarks use, and this module the only one that imports them.
"""

import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Mapping
from importlib import import_module
from queue import Queue
from socket import socket
from typing import Any, Protocol

from benchmarks.shared.revisions import ROOT

sys.path.append(str(ROOT / "tests"))  # last: folders of tests have names of packages

Address = tuple[str, int]
Settings = dict[str, Any]


class ThriftClient(Protocol):
    """A router's connection to the Thrift front."""

    seqid: int
    early: dict[int, Any]

    def invoke(self, method: str = "read", body: bytes = b"", **fields: str) -> int:
        """Send a request; its sequence number."""

    def answer(self, seqid: int) -> tuple[str, dict[str, Any], bytes]:
        """Wait for an answer: its kind, fields and body."""

    def call(self, *arguments: Any, **fields: str) -> tuple[str, dict[str, Any], bytes]:
        """Send a request and wait for its answer."""

    def ping(self) -> Any:
        """Ask for the worker's health."""

    def close(self) -> None:
        """Close the connection."""


class AjpClient(Protocol):
    """A web server's connection to the AJP front."""

    sock: socket

    def forward(self, method: str = "GET", uri: str = "/reads/1", headers: Mapping[str, str] = ...) -> None:
        """Send the head of a request."""

    def request(self, method: str = "GET", uri: str = "/reads/1") -> None:
        """Send a request."""

    def answer(self) -> tuple[int, dict[Any, str], bytes]:
        """Wait for an answer: its status, headers and body."""

    def call(
        self,
        method: str = "GET",
        uri: str = "/reads/1",
        headers: Mapping[str, str] = ...,
        body: bytes | None = None,
    ) -> tuple[int, dict[Any, str], bytes]:
        """Send a request and wait for its answer."""

    def cping(self) -> bool:
        """Send a CPing and wait for the CPong."""

    def close(self) -> None:
        """Close the connection."""


class Server(Protocol):
    """A stand-in that listens: a kernel or an AJP server."""

    address: str

    def close(self) -> None:
        """Stop listening."""


class ManualAjpServer(Server, Protocol):
    """An AJP server whose requests are answered one by one."""

    def next(self) -> Any:
        """Wait for a request; the third value answers it."""


class ManualKernel(Server, Protocol):
    """A kernel whose runs are completed one by one."""

    scheduled: "Queue[Any]"

    def next(self) -> tuple[str, Any, bytes]:
        """Wait for a run: its request id, its fields and its body."""

    def reap(self, run_id: str, end: str = "OK", body: bytes = b"") -> None:
        """Complete a run."""


class Worker(Protocol):
    """A worker in a process of its own, with stand-ins around it."""

    process: "subprocess.Popen[str]"
    kernel: ManualKernel
    at: dict[str, Address]
    lines: list[dict[str, Any]]

    def took_over(self) -> "Worker":
        """Wait until it replaced the process before it."""

    def thrift(self) -> ThriftClient:
        """Open a connection to the Thrift front."""

    def ajp(self) -> AjpClient:
        """Open a connection to the AJP front."""

    def operator(self, method: str = "GET", path: str = "/status") -> tuple[int, str]:
        """Call the operators' address: status and text."""

    def wait_for(self, condition: Callable[[dict[str, str]], bool]) -> None:
        """Wait until `/status` fulfils a condition."""

    def ended(self) -> int:
        """Wait until the process exits; its exit code."""

    def close(self) -> None:
        """Kill the process, and close the stand-ins that belong to it."""


class KillHarness(Protocol):
    """Starts, kills and restarts a worker on one store while clients file."""

    losses: list[Any]
    wrong: list[Any]
    twice: dict[bytes, int]
    ends: "Counter[Any]"
    office: Any

    def run(self, kills: int) -> None:
        """Kill so many workers, and let the last one complete what is open."""


class SocketListener(Protocol):
    """The listening side of an emulated kernel."""

    address: str

    def close(self) -> None:
        """Stop listening."""


_workers: Any = import_module("stand_ins")
_instant: Any = import_module("instant")
_filing: Any = import_module("filing_clerk")
_machine: Any = import_module("machine")

start_worker: Callable[..., Worker] = _workers.Program
site_settings: Callable[..., Settings] = _workers.settings
short_deadline_settings: Callable[..., Settings] = _workers.hasty
filing_settings: Callable[[], Settings] = _filing.site
thrift_client: Callable[[Address], ThriftClient] = _workers.Thrift
ajp_client: Callable[[Address], AjpClient] = _workers.Ajp
manual_ajp_server: Callable[[], ManualAjpServer] = _workers.AjpServer
instant_kernel: Callable[..., Server] = _instant.InstantKernel
instant_ajp_server: Callable[[], Server] = _instant.InstantServer
kill_harness: Callable[..., KillHarness] = _filing.Kills
socket_listener: Callable[[Any], SocketListener] = _machine.Address
