"""What the loss of a site costs, and its return, with [sites] and without.

`python -m benchmarks.sites virtual [--seeds N]` on virtual time; `processes REVISION [--seeds N] [--load L]`:
real workers, half of them killed, beside an earlier revision by turns.
"""

import argparse
import logging
from concurrent.futures import ProcessPoolExecutor
from statistics import mean
from typing import Any
from unittest import mock

from benchmarks.earlier import versions
from ochrehoist.lab import judge
from ochrehoist.lab.drill import foretold
from ochrehoist.lab.play import Play
from ochrehoist.lab.scenario import parse
from ochrehoist.lab.virtual.site_measurements import goodput, measure_loss
from ochrehoist.lab.virtual.site_world import SiteWorld
from ochrehoist.sites.admission_gate import AdmissionGate
from ochrehoist.sites.recovery_ramp import RecoveryRamp

AT, BACK, END = 10, 22, 46  # s of virtual time
CLASSES = [
    {"name": "read", "share": 0.8, "work_ms": 200},
    {"name": "filing", "share": 0.2, "work_ms": 200, "worth": 3, "keyed": True},
]
SITES = {"brussels": ["w0", "w1", "w2"], "antwerp": ["w3", "w4", "w5"]}


def one(seed: int, load: float, without: str) -> dict[str, Any]:
    patches: list[Any] = []
    if without != "":
        patches.append(mock.patch.object(RecoveryRamp, "load_fraction", 1.0))
    if without == "gate and steps":
        patches.append(mock.patch.object(AdmissionGate, "rank_limit", 1.0))
    for p in patches:
        p.start()
    try:
        world = SiteWorld(seed, {"brussels": 3, "antwerp": 3}, load)
        world.at(AT, lambda: world.lose_site("antwerp"))
        world.at(BACK, lambda: world.restore_site("antwerp"))
        world.run(END)
        return measure_loss(world, AT, BACK) | {"first": goodput(world, BACK, BACK + 6)}
    finally:
        for p in patches:
            p.stop()


def virtual(seeds: int) -> None:
    with ProcessPoolExecutor() as pool:
        for load in (0.45, 0.6, 0.8, 0.95):
            for without in ("", "steps", "gate and steps"):
                got = [f.result() for f in [pool.submit(one, s, load, without) for s in range(seeds)]]
                told = {k: mean(END - BACK if f[k] is None else f[k] for f in got) for k in got[0]}
                print(
                    f"{load:.0%} without {without or 'nothing'}: meanwhile {told['during']:.3f}, filings "
                    f"{told['filings']:.3f}, worst second {told['worst']:.2f}, return {told['first']:.3f}, "
                    f"least {told['least']:.2f}, whole after {told['whole']:.1f} s, "
                    f"{told['tries']:.2f} tries",
                    flush=True,
                )


def processes(revision: str, seeds: int, load: float) -> None:
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    with versions(revision) as both:
        for seed in range(1, seeds + 1):
            for version, root in both:
                s = parse(
                    {
                        "name": version,
                        "seconds": 34,
                        "workers": 6,
                        "sites": SITES,
                        "classes": CLASSES,
                        "load": {"rate": 120 * load},
                        "peers": version == "now",
                        "tables": {"sites": {}} if version == "now" else {},
                        "services": {"shared": 0, "cores": 4, "cold_from": 0.21, "cold_s": 12.0},
                        "balancer": {"choice": "weighted", "check_s": 0.2, "redispatch": True},
                        "faults": [{"at": 6, "kind": "kill", "who": ["antwerp"], "lasts": 12}],
                    }
                )
                play = Play(s, seed, root)
                show(version, seed, play, play.run(), foretold(s, "antwerp")["worth"])


def show(version: str, seed: int, play: Play, v: dict[str, Any], possible: float) -> None:
    calls, seconds, quiet = play.callers.calls, dict(v["seconds"]), v["goodput"]["quiet"]["all"]
    whole = judge.whole_again(calls, 18, quiet)
    print(
        f"{version} seed {seed}: meanwhile {judge.goodput(calls, 6, 18):.3f} of {possible:.3f} possible, "
        f"filings {judge.goodput(calls, 6, 18, 'filing'):.3f}, "
        f"worst second {min(seconds[s] for s in (6, 7, 8)):.2f}, "
        f"first 6 s of the return {judge.goodput(calls, 18, 24):.3f}, whole after {whole} s, "
        f"{v['tries_per_call']:.2f} tries, broken {len(v['broken'])}",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("virtual", "processes"))
    parser.add_argument("revision", nargs="?")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=0.8)
    args = parser.parse_args()
    if args.what == "virtual":
        return virtual(args.seeds)
    if args.revision is None:
        parser.error("name the revision to compare with")
    processes(args.revision, args.seeds, args.load)


if __name__ == "__main__":
    main()
