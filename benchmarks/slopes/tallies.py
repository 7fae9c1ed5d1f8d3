"""Real workers of one fleet whose requests come from more and more tenants: do they still hear each other?

`python -m benchmarks.slopes.tallies [--root TREE] [--members N] [--tenants N ...] [--seconds S]`
"""

import argparse
import json
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
sys.path.append(str(ROOT))

from benchmarks.read_cost import fleet  # noqa: E402
from tests.stand_ins.ajp_server import InstantServer  # noqa: E402
from tests.support.environment import MS  # noqa: E402
from tests.support.site_settings import site_settings  # noqa: E402
from tests.support.worker_process import WorkerProcess  # noqa: E402


def site(tenants: int) -> dict:
    s = site_settings()
    s["FamilyInfo"] |= {"Cores": 16, "HeapKb": 90e6, "Idle": 600_000 * MS}
    s["Tenants"] = [
        {"Name": f"tenant-{n:06}", "QuotaPerS": 1000.0, "Fraction": 1 / tenants} for n in range(tenants)
    ]
    return s


def run(root: Path, members: int, tenants: int, seconds: float) -> dict:
    """What the members say of each other, and of messages too long, once each tenant was answered at each."""
    programs = [
        WorkerProcess(
            thrift=False,
            ajp=True,
            peers=table,
            name=f"n{n + 1}",
            site=site(tenants),
            root=root,
            server=InstantServer(),
        )
        for n, table in enumerate(fleet(members))
    ]
    try:
        time.sleep(3.0)
        for program in programs:
            client = program.ajp_client()
            for n in range(tenants):
                status = client.call("GET", f"/reads/{n}", {"X-Tenant": f"tenant-{n:06}"})[0]
                assert status == 200, status
        time.sleep(seconds)
        views = [json.loads(p.operator_call()[1])["peers"] for p in programs]
        states = [m["state"] for v in views for m in v["members"].values()]
        long = sum("too long" in line["event"] for p in programs for line in p.log)
        return {
            "tenants": tenants,
            "members": members,
            "pairs": len(states),
            "not alive": sum(s != "alive" for s in states),
            "messages too long": long,
            "held": [v["budgets"]["again"]["held"] for v in views],
        }
    finally:
        for program in programs:
            program.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", type=Path, default=ROOT)
    parser.add_argument("--members", type=int, default=5)
    parser.add_argument("--tenants", type=int, nargs="+", default=[20, 60, 90, 130, 250])
    parser.add_argument("--seconds", type=float, default=15.0)
    args = parser.parse_args()
    for tenants in args.tenants:
        print(run(args.root.resolve(), args.members, tenants, args.seconds), flush=True)


if __name__ == "__main__":
    main()
