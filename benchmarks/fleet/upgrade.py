"""A worker of an earlier release is replaced by this tree, with requests open and in one peers group.

The earlier release runs from a git worktree in a temporary folder. The exit code is 0 if each request got
one final answer, no filing ran twice, and both processes were one member of the group, which a third
process saw alive; else a check raises UpgradeError.
"""

import argparse
import json
import signal
import time
from contextlib import ExitStack, closing
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.shared.peer_tables import free_udp_ports
from benchmarks.shared.revisions import checked_out
from benchmarks.shared.stand_ins import (
    AjpClient,
    AjpServer,
    ThriftRouter,
    WorkerProcess,
)

EARLIER_RELEASE = "000e6de"
TIMEOUT_S = 30.0
POLL_S = 0.02
SECRET = "sixteen characters at least"
REPLACED_NAME, WITNESS_NAME = "n1", "n2"
RUNNING = ("one", "two")  # filings whose runs are under way at the replacement
QUEUED = "held"  # waits behind them in the replaced process
LATE = "late"  # sent to the new process only
OPEN_REQUESTS = "6"  # in the replaced process: two runs, three waiting filings, one read
READ_BODY = b"read"


class UpgradeError(Exception):
    """What went otherwise than it must."""


@dataclass(frozen=True)
class UpgradeFigures:
    """How many answers and runs there were."""

    answers: int
    runs: int


@dataclass(frozen=True)
class SentFiling:
    """A filing that was sent on a router's connection."""

    name: str
    router: ThriftRouter
    seqid: int


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("revision", nargs="?", default=EARLIER_RELEASE, help="the earlier release")


def run(arguments: argparse.Namespace) -> int:
    """Replace the worker and print what was counted; UpgradeError where it went wrong."""
    with checked_out(arguments.revision) as earlier:
        figures = Upgrade().replace(earlier)
    print(f"{arguments.revision} replaced by this tree: {figures.answers} answers, {figures.runs} runs")
    return 0


class Upgrade:
    """One replacement: the processes, what was sent to them and what ran."""

    def __init__(self) -> None:
        self._resources = ExitStack()
        self._filings: list[SentFiling] = []
        self._runs: list[str] = []  # the names of filings that ran

    def replace(self, earlier: Path) -> UpgradeFigures:
        """Replace a worker of the tree `earlier` by one of this tree."""
        with self._resources:
            server, witness_server = self._server(), self._server()
            own_table, witness_table = _peer_tables()
            witness = self._worker(
                ajp_only=True, peers=witness_table, name=WITNESS_NAME, server=witness_server
            )
            old = self._worker(passed=True, root=earlier, peers=own_table, server=server)
            wait_for_member(witness, REPLACED_NAME)
            wait_for_member(old, WITNESS_NAME)
            router, web_server = old.thrift_router(), old.ajp_client()
            run_ids = self._fill(old, router, web_server)
            new = self._worker(before=old, peers=own_table, server=server).wait_until_took_over()
            self._send_again(new)
            old.process.send_signal(signal.SIGTERM)
            self._complete_runs(old, new, run_ids)
            self._check_read(server, web_server)
            self._check_answers()
            self._check_runs(old, new)
            router.close()
            web_server.close()
            _require(old.wait_for_exit() == 0, "the replaced process did not exit with 0")
            wait_for_member(witness, REPLACED_NAME)
            wait_for_member(new, WITNESS_NAME)
            duplicate = json.loads(new.operator_call()[1])["peers"]["duplicate"]
            _require(duplicate is None, f"a duplicate member was seen: {duplicate}")
            return UpgradeFigures(answers=len(self._filings) + 1, runs=len(self._runs) + 1)

    def _server(self) -> AjpServer:
        return self._resources.enter_context(closing(AjpServer()))

    def _worker(self, ajp_only: bool = False, **arguments: Any) -> WorkerProcess:
        worker = WorkerProcess(thrift=not ajp_only, ajp=True, **arguments)
        return self._resources.enter_context(closing(worker))

    def _send(self, name: str, router: ThriftRouter) -> None:
        seqid = router.invoke("filing", name.encode(), token=name)
        self._filings.append(SentFiling(name, router, seqid))

    def _fill(self, old: WorkerProcess, router: ThriftRouter, web_server: AjpClient) -> dict[str, str]:
        """Open six requests at the replaced process; the ids of the runs by filing."""
        for name in RUNNING:
            self._send(name, router)
        run_ids = {}
        for _ in RUNNING:
            run_id, _, body = old.kernel.next_run()
            run_ids[body.decode()] = run_id
        for name in (*RUNNING, QUEUED):  # attached to a run, and queued
            self._send(name, router)
        router.ping()
        web_server.request()  # a read over AJP, queued behind the runs
        old.wait_for(lambda status: status["in_hand"] == OPEN_REQUESTS)
        return run_ids

    def _send_again(self, new: WorkerProcess) -> None:
        """Repeat all filings at the new process, and send one more."""
        router = ThriftRouter(new.addresses["ThriftFront"])
        for name in (*RUNNING, QUEUED, LATE):
            self._send(name, router)
        router.ping()

    def _complete_runs(self, old: WorkerProcess, new: WorkerProcess, run_ids: dict[str, str]) -> None:
        for name, run_id in run_ids.items():
            old.kernel.reap(run_id, body=_result(name))
            self._runs.append(name)
        for worker, name in ((old, QUEUED), (new, LATE)):
            run_id, _, body = worker.kernel.next_run()
            _require(body == name.encode(), f"{body!r} ran where {name!r} was due")
            worker.kernel.reap(run_id, body=_result(name))
            self._runs.append(name)

    def _check_read(self, server: AjpServer, web_server: AjpClient) -> None:
        server.next_request().respond(data=READ_BODY)
        status, _, body = web_server.answer()
        _require((status, body) == (200, READ_BODY), f"the read was answered {status}, {body!r}")

    def _check_answers(self) -> None:
        for filing in self._filings:
            kind, fields, body = filing.router.answer(filing.seqid)
            served = (kind, fields, body) == ("Answer", {}, _result(filing.name))
            _require(served, f"filing {filing.name!r} was answered {kind}, {fields}, {body!r}")

    def _check_runs(self, old: WorkerProcess, new: WorkerProcess) -> None:
        _require(len(set(self._runs)) == len(self._runs), f"a filing ran twice: {self._runs}")
        more = not (old.kernel.scheduled.empty() and new.kernel.scheduled.empty())
        _require(not more, "more runs were scheduled than filings sent")


def wait_for_member(worker: WorkerProcess, name: str) -> None:
    """Wait until a worker sees another one alive; UpgradeError where it does not in time."""
    end_s = time.monotonic() + TIMEOUT_S
    while (state := _member_state(worker, name)) != "alive":
        _require(time.monotonic() < end_s, f"member {name} is {state}")
        time.sleep(POLL_S)


def _member_state(worker: WorkerProcess, name: str) -> str:
    members = json.loads(worker.operator_call()[1])["peers"]["members"]
    state: str = members.get(name, {}).get("state", "absent")
    return state


def _peer_tables() -> tuple[dict[str, Any], dict[str, Any]]:
    """The tables of the worker that is replaced, and of the witness."""
    own_port, witness_port = free_udp_ports(2)
    return (
        _peer_table(own_port, WITNESS_NAME, witness_port),
        _peer_table(witness_port, REPLACED_NAME, own_port),
    )


def _peer_table(own_port: int, other_name: str, other_port: int) -> dict[str, Any]:
    return {
        "listen": f"127.0.0.1:{own_port}",
        "group": "upgrade",
        "secrets": [SECRET],
        "probe_ms": 50,
        "members": {other_name: f"127.0.0.1:{other_port}"},
    }


def _result(name: str) -> bytes:
    return f"ran {name}".encode()


def _require(condition: bool, problem: str) -> None:
    if not condition:
        raise UpgradeError(problem)
