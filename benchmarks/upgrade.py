"""A worker of an earlier release is replaced by the present one, with requests open and in one peers group.

    python -m benchmarks.upgrade [REVISION]

The earlier release runs from a git worktree in a temporary folder. Ends with 0 if each request got one final
answer, no filing ran twice, and both processes were one member of the group, which a third process saw alive.
"""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
REVISION = "000e6de"
TIMEOUT_S = 30.0
SECRET = "sixteen characters at least"

sys.path.append(str(ROOT))
from tests.stand_ins.ajp_server import AjpServer  # noqa: E402
from tests.stand_ins.thrift_router import ThriftRouter  # noqa: E402
from tests.support.worker_process import WorkerProcess  # noqa: E402


def free_port() -> int:
    """A UDP port that was free a moment ago."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def peers_table(own: int, name: str, other: int) -> dict:
    """One worker's table of a group of two."""
    return {
        "listen": f"127.0.0.1:{own}",
        "group": "upgrade",
        "secrets": [SECRET],
        "probe_ms": 50,
        "members": {name: f"127.0.0.1:{other}"},
    }


def member_state(program: WorkerProcess, name: str) -> str:
    """What a worker says of a member of its group."""
    peers = json.loads(program.operator_call()[1])["peers"]
    return peers["members"].get(name, {}).get("state", "absent")


def wait_for_member(program: WorkerProcess, name: str) -> None:
    """Until a worker sees another one alive."""
    until = time.monotonic() + TIMEOUT_S
    while member_state(program, name) != "alive":
        assert time.monotonic() < until, json.loads(program.operator_call()[1])["peers"]
        time.sleep(0.02)


def upgrade(earlier: Path) -> dict[str, int]:
    """Replaces a worker of `earlier` by one of this tree; counts what was answered."""
    ports, servers = (free_port(), free_port()), (AjpServer(), AjpServer())
    tables = (peers_table(ports[0], "n2", ports[1]), peers_table(ports[1], "n1", ports[0]))
    witness = WorkerProcess(thrift=False, ajp=True, peers=tables[1], name="n2", server=servers[1])
    old = WorkerProcess(ajp=True, passed=True, root=earlier, peers=tables[0], server=servers[0])
    new = None
    try:
        wait_for_member(witness, "n1")
        wait_for_member(old, "n2")
        router, client = old.thrift_router(), old.ajp_client()
        asked = {
            name: [(router, router.invoke("filing", name.encode(), token=name))] for name in ("one", "two")
        }
        runs = {body: rid for rid, _, body in (old.kernel.next_run(), old.kernel.next_run())}
        for name in ("one", "two", "held"):  # attached to a run, and queued
            asked.setdefault(name, []).append((router, router.invoke("filing", name.encode(), token=name)))
        router.ping()
        client.request()  # a read over AJP, queued behind the runs
        old.wait_for(lambda status: status["in_hand"] == "6")  # it was read by the old process
        new = WorkerProcess(ajp=True, before=old, peers=tables[0], server=servers[0]).wait_until_took_over()
        second = ThriftRouter(new.addresses["ThriftFront"])
        for name in ("one", "two", "held", "late"):
            asked.setdefault(name, []).append((second, second.invoke("filing", name.encode(), token=name)))
        second.ping()
        old.process.send_signal(signal.SIGTERM)
        for name, run_id in runs.items():
            old.kernel.reap(run_id, body=b"ran " + name)
        ran = [*runs]
        for kernel, name in ((old.kernel, b"held"), (new.kernel, b"late")):
            run_id, _, body = kernel.next_run()
            assert body == name, (body, name)
            kernel.reap(run_id, body=b"ran " + body)
            ran.append(body)
        servers[0].next_request().respond(data=b"read")
        status, _, body = client.answer()
        assert (status, body) == (200, b"read"), (status, body)
        for name, calls in asked.items():
            for by, number in calls:
                assert by.answer(number) == ("Answer", {}, f"ran {name}".encode()), name
        assert len(set(ran)) == len(ran) and old.kernel.scheduled.empty() and new.kernel.scheduled.empty()
        router.close()
        client.close()
        assert old.wait_for_exit() == 0
        wait_for_member(witness, "n1")
        wait_for_member(new, "n2")
        duplicate = json.loads(new.operator_call()[1])["peers"]["duplicate"]
        assert duplicate is None, duplicate
        return {"answers": 1 + sum(map(len, asked.values())), "runs": len(ran) + 1}
    finally:
        for program in (new, old, witness):
            if program is not None:
                program.close()
        for server in servers:
            server.close()


def main(revision: str = REVISION) -> int:
    """Makes the worktree, plays the upgrade, and says how it went."""
    with tempfile.TemporaryDirectory() as folder:
        earlier = Path(folder, "earlier")
        subprocess.run(["git", "worktree", "add", "-q", "--detach", earlier, revision], cwd=ROOT, check=True)
        try:
            print(f"{revision} replaced by this tree: {upgrade(earlier)}")
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", earlier], cwd=ROOT, check=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
