"""Real workers of one fleet whose requests come from more and more tenants: do they still see each other?"""

import argparse
import json
import time
from contextlib import ExitStack, closing
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from benchmarks.shared.peer_tables import peer_tables
from benchmarks.shared.revisions import ROOT
from benchmarks.shared.stand_ins import InstantServer, Settings, WorkerProcess
from benchmarks.shared.workers import equal_tenants, large_machine_settings

DEFAULT_TENANTS = (20, 60, 90, 130, 250)
IDLE_TIMEOUT_NS = 600_000 * 10**6
TENANT_QUOTA_PER_S = 1000.0
JOIN_S = 3.0  # until members know each other
BUDGET = {"name": "again", "use": "repeats", "amount": 20, "floor_lease_s": 2}
HTTP_OK = 200
NOT_SENT_EVENT = "peer_message_not_sent"  # logged where a message does not fit a datagram


@dataclass(frozen=True)
class FleetFigures:
    """What members say of each other, and of messages too long, once each tenant was answered at each.

    `pairs`: how many members are known by another, all counted; `held`: leases of the shared budget by
    member.
    """

    tenants: int
    members: int
    pairs: int
    not_alive: int
    messages_too_long: int
    held: list[Any]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    parser.add_argument("--root", type=Path, default=ROOT, help="the tree whose program is measured")
    parser.add_argument("--members", type=int, default=5)
    parser.add_argument("--tenants", type=int, nargs="+", default=DEFAULT_TENANTS)
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="from the last answer until members are asked"
    )


def run(arguments: argparse.Namespace) -> int:
    """Measure with each number of tenants and print each as a line of JSON."""
    root = arguments.root.resolve()
    for tenants in arguments.tenants:
        figures = measured_fleet(root, arguments.members, tenants, arguments.seconds)
        print(json.dumps(asdict(figures)), flush=True)
    return 0


def measured_fleet(root: Path, members: int, tenants: int, wait_s: float) -> FleetFigures:
    """Answer each tenant at each member, wait, and ask the members."""
    with ExitStack() as stack:
        workers = [
            stack.enter_context(closing(_start_member(root, number, table, tenants)))
            for number, table in enumerate(peer_tables(members, BUDGET))
        ]
        time.sleep(JOIN_S)
        for worker in workers:
            _answer_each_tenant(worker, tenants)
        time.sleep(wait_s)
        views = [json.loads(worker.operator_call()[1])["peers"] for worker in workers]
        states = [member["state"] for view in views for member in view["members"].values()]
        return FleetFigures(
            tenants=tenants,
            members=members,
            pairs=len(states),
            not_alive=sum(state != "alive" for state in states),
            messages_too_long=sum(
                line["event"] == NOT_SENT_EVENT for worker in workers for line in worker.log
            ),
            held=[view["budgets"]["again"]["held"] for view in views],
        )


def _start_member(root: Path, number: int, table: dict[str, Any], tenants: int) -> WorkerProcess:
    return WorkerProcess(
        thrift=False,
        ajp=True,
        peers=table,
        name=f"n{number + 1}",
        site=_settings(tenants),
        root=root,
        server=InstantServer(),
    )


def _settings(tenants: int) -> Settings:
    settings = large_machine_settings(Idle=IDLE_TIMEOUT_NS)
    settings["Tenants"] = equal_tenants(
        (f"tenant-{number:06}" for number in range(tenants)), TENANT_QUOTA_PER_S
    )
    return settings


def _answer_each_tenant(worker: WorkerProcess, tenants: int) -> None:
    """Send a read of each tenant; RuntimeError where one is not served."""
    client = worker.ajp_client()
    for number in range(tenants):
        status = client.call("GET", f"/reads/{number}", {"X-Tenant": f"tenant-{number:06}"})[0]
        if status != HTTP_OK:
            message = f"a read of tenant {number} was answered {status}"
            raise RuntimeError(message)
