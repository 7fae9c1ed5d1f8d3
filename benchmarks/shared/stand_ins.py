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

sys.path.append(str(ROOT))  # last: a measured tree has tests of its own

Address = tuple[str, int]
Settings = dict[str, Any]


class ThriftClient(Protocol):
    """A router's connection to the Thrift front."""

    sequence_id: int
    replies: dict[int, Any]

    def invoke(self, method: str = "read", body: bytes = b"", **fields: str) -> int:
        """Send a request; its sequence number."""

    def answer(self, sequence_id: int) -> tuple[str, dict[str, Any], bytes]:
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

    def next_request(self) -> Any:
        """Wait for a request; its `respond` answers it."""


class ManualKernel(Server, Protocol):
    """A kernel whose runs are completed one by one."""

    scheduled: "Queue[Any]"

    def next_run(self) -> tuple[str, Any, bytes]:
        """Wait for a run: its request id, its fields and its body."""

    def reap(self, request_id: str, result: str = "OK", body: bytes = b"") -> None:
        """Complete a run."""


class Worker(Protocol):
    """A worker in a process of its own, with stand-ins around it."""

    process: "subprocess.Popen[str]"
    kernel: ManualKernel
    addresses: dict[str, Address]
    log: list[dict[str, Any]]

    def wait_until_took_over(self) -> "Worker":
        """Wait until it replaced the process before it."""

    def thrift_router(self) -> ThriftClient:
        """Open a connection to the Thrift front."""

    def ajp_client(self) -> AjpClient:
        """Open a connection to the AJP front."""

    def operator_call(self, method: str = "GET", path: str = "/status") -> tuple[int, str]:
        """Call the operators' address: status and text."""

    def wait_for(self, condition: Callable[[dict[str, str]], bool]) -> None:
        """Wait until `/status` fulfils a condition."""

    def wait_for_exit(self) -> int:
        """Wait until the process exits; its exit code."""

    def close(self) -> None:
        """Kill the process, and close the stand-ins that belong to it."""


class KillHarness(Protocol):
    """Starts, kills and restarts a worker on one store while clients file."""

    losses: list[Any]
    wrong: list[Any]
    run_twice: dict[bytes, int]
    outcomes: "Counter[Any]"
    server: Any

    def run(self, kills: int) -> None:
        """Kill so many workers, and let the last one complete what is open."""


class SocketListener(Protocol):
    """The listening side of an emulated kernel."""

    address: str

    def close(self) -> None:
        """Stop listening."""


_worker_process: Any = import_module("tests.support.worker_process")
_site_settings: Any = import_module("tests.support.site_settings")
_crash_load: Any = import_module("tests.support.crash_load")
_thrift_router: Any = import_module("tests.stand_ins.thrift_router")
_ajp_client: Any = import_module("tests.stand_ins.ajp_client")
_ajp_server: Any = import_module("tests.stand_ins.ajp_server")
_kernel: Any = import_module("tests.stand_ins.kernel")
_moving_kernel: Any = import_module("tests.stand_ins.moving_kernel")

start_worker: Callable[..., Worker] = _worker_process.WorkerProcess
site_settings: Callable[..., Settings] = _site_settings.site_settings
short_deadline_settings: Callable[..., Settings] = _site_settings.short_deadline_settings
filing_settings: Callable[[], Settings] = _site_settings.long_window_settings
thrift_client: Callable[[Address], ThriftClient] = _thrift_router.ThriftRouter
ajp_client: Callable[[Address], AjpClient] = _ajp_client.AjpClient
manual_ajp_server: Callable[[], ManualAjpServer] = _ajp_server.AjpServer
instant_kernel: Callable[..., Server] = _kernel.InstantKernel
instant_ajp_server: Callable[[], Server] = _ajp_server.InstantServer
kill_harness: Callable[..., KillHarness] = _crash_load.CrashLoad
socket_listener: Callable[[Any], SocketListener] = _moving_kernel.KernelAddress
