"""What one small read costs in processor time, on each front, beside an earlier revision, by turns in one
run.

`python -m benchmarks.read_cost REVISION [--reads N] [--rounds N]`; the revision comes from git, into a folder
of its own that is removed again. With `--capture` instead of a revision: AJP reads of this tree without and
with its load on record. With `--side-by-side` both run all the while and take turns of CHUNK reads, for a
machine that is busy with other things; each figure is then of all its turns together.
"""

import argparse
import os
import socket
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.append(str(ROOT))

from tests.stand_ins.ajp_server import InstantServer  # noqa: E402
from tests.stand_ins.kernel import InstantKernel  # noqa: E402
from tests.support.site_settings import site_settings  # noqa: E402
from tests.support.worker_process import WorkerProcess  # noqa: E402

WARM = 300  # reads before the ones that count
CHUNK = 50
TICK = 1 / os.sysconf("SC_CLK_TCK")


def used(pid: int) -> float:
    """Seconds of processor time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * TICK


def fleet(count: int) -> list[dict]:
    """Tables [peers] of so many workers that know each other."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    at = {f"n{n + 1}": "{}:{}".format(*s.getsockname()) for n, s in enumerate(socks)}
    for sock in socks:
        sock.close()
    budget = {"name": "again", "use": "repeats", "amount": 20, "floor_lease_s": 2}
    return [
        {
            "listen": at[me],
            "group": "cost",
            "secrets": ["for this measurement"],
            "voters": list(at),
            "members": {n: a for n, a in at.items() if n != me},
            "budgets": [budget],
        }
        for me in at
    ]


def in_fleet(reads: int, count: int) -> float:
    """Of one worker whose fleet has so many more, which are idle."""
    first, *rest = fleet(count)
    others = [WorkerProcess(thrift=False, ajp=True, peers=t, name=f"n{n + 2}") for n, t in enumerate(rest)]
    try:
        return cost(ROOT, "ajp", reads, peers=first)
    finally:
        for program in others:
            program.close()


def started(root: Path, front: str, **more: Any) -> WorkerProcess:
    """One program with three tenants, before servers that answer at once."""
    site = site_settings()
    site["FamilyInfo"] |= {"Cores": 16, "HeapKb": 90e6}
    site["Tenants"] = [{"Name": name, "QuotaPerS": 1e4, "Fraction": 1 / 3} for name in ("acme", "b", "c")]
    how = {"thrift": front == "thrift", "ajp": front == "ajp"}
    return WorkerProcess(
        **how, site=site, server=InstantServer(), kernel=InstantKernel(b"a small page"), root=root, **more
    )


def read(front: str, client: Any, count: int) -> None:
    for n in range(count):
        answer = client.call(obj=f"{n % 50}") if front == "thrift" else client.call("GET", f"/reads/{n}")
        if answer[0] not in ("Answer", 200):
            raise SystemExit(f"a read was answered {answer[0]}")


def cost(root: Path, front: str, reads: int, capture: dict | None = None, peers: dict | None = None) -> float:
    """Microseconds of processor time for one read."""
    program = started(root, front, capture=capture, peers=peers)
    try:
        client = program.thrift_router() if front == "thrift" else program.ajp_client()
        read(front, client, WARM)
        began = used(program.process.pid)
        read(front, client, reads)
        return (used(program.process.pid) - began) / reads * 1e6
    finally:
        program.close()


def run_for(pid: int) -> float:
    """s of processor time of a process with one thread, to the nanosecond."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def side_by_side(before: Path, front: str, args: argparse.Namespace) -> None:
    programs = [started(root, front) for root in (before, ROOT)]
    try:
        clients = [p.thrift_router() if front == "thrift" else p.ajp_client() for p in programs]
        for client in clients:
            read(front, client, WARM)
        spent: list[list[float]] = [[], []]
        for n in range(args.rounds * args.reads // CHUNK):
            for at in ((0, 1), (1, 0))[n % 2]:
                began = run_for(programs[at].process.pid)
                read(front, clients[at], CHUNK)
                spent[at].append((run_for(programs[at].process.pid) - began) / CHUNK * 1e6)
        then, now = (statistics.fmean(s) for s in spent)
        middle = statistics.median(b / a for a, b in zip(*spent, strict=True))
        print(
            f"{front}, side by side: {then:.1f} us before, {now:.1f} us now, now/before {now / then:.3f}; "
            f"of {len(spent[0])} pairs of turns the middle one {middle:.3f}",
            flush=True,
        )
    finally:
        for program in programs:
            program.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("revision", nargs="?")
    parser.add_argument("--capture", action="store_true")
    parser.add_argument("--peers", type=int, default=0, help="AJP reads alone, and in a fleet of so many")
    parser.add_argument("--side-by-side", action="store_true")
    parser.add_argument("--reads", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=5)
    args = parser.parse_args()
    if args.capture + bool(args.peers) + (args.revision is not None) != 1:
        parser.error("name a revision, or say --capture or --peers")
    if args.peers:
        alone, fleet_of = partial(cost, ROOT, "ajp", args.reads), partial(in_fleet, args.reads, args.peers)
        return compare("ajp", args, alone, fleet_of)
    with tempfile.TemporaryDirectory() as folder:
        if args.capture:
            on = {"folder": str(Path(folder, "load"))}
            return compare(
                "ajp", args, lambda: cost(ROOT, "ajp", args.reads), lambda: cost(ROOT, "ajp", args.reads, on)
            )
        before = Path(folder, "before")
        subprocess.run(
            ["git", "worktree", "add", "-q", "--detach", str(before), args.revision], cwd=ROOT, check=True
        )
        try:
            for front in ("ajp", "thrift"):
                if args.side_by_side:
                    side_by_side(before, front, args)
                    continue
                compare(
                    front,
                    args,
                    partial(cost, before, front, args.reads),
                    partial(cost, ROOT, front, args.reads),
                )
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(before)], cwd=ROOT, check=True)


def compare(
    front: str, args: argparse.Namespace, then: Callable[[], float], now: Callable[[], float]
) -> None:
    """Both by turns; each goes first in every second round."""
    ratios = []
    for n in range(args.rounds):
        if n % 2:
            after, before = now(), then()
        else:
            before, after = then(), now()
        ratios.append(after / before)
        print(f"{front}: {before:.0f} us before, {after:.0f} us now", flush=True)
    ratios.sort()
    print(
        f"{front}: now/before {statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f}), "
        f"{args.reads} reads a round"
    )


if __name__ == "__main__":
    main()
