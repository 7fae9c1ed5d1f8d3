"""Whether the module decides as an earlier version did: both are told the same random histories.

    python -m benchmarks.same_decisions 000e6de --histories 1000 --tenants 4

Each version runs in a process of its own tree, where types may have other names. After each event the actions
must be the same, in the same order: their text is compared by a digest for each history. Of a history that
differs the first line that does is told. Quotas change in the middle: `--changes beat` right before a beat,
`--changes any` at any moment; in half of the histories they change by themselves, in the others the modules
are told.
"""

import argparse
import itertools
import json
import subprocess
import sys
from collections import Counter
from pathlib import Path

from benchmarks.decision_histories import options
from benchmarks.earlier import versions
from ochrehoist.lab.workers import ROOT

MOST_TOLD = 10  # histories that differ, of which the first difference is written


def told(tree: Path, args: argparse.Namespace, *more: str) -> subprocess.Popen:
    """The process that tells the histories to the module of a tree."""
    command = [sys.executable, "-m", "benchmarks.decision_histories", str(tree)]
    for name in ("histories", "seed", "tenants", "changes", "seconds"):
        command += [f"--{name}", str(getattr(args, name))]
    return subprocess.Popen([*command, *more], cwd=ROOT, stdout=subprocess.PIPE, text=True)


def first_difference(trees: tuple[Path, Path], args: argparse.Namespace, seed: int) -> str:
    """Where a history differs for the first time."""
    one = argparse.Namespace(**vars(args) | {"seed": seed, "histories": 1})
    texts = [told(tree, one, "--transcript").communicate()[0].splitlines() for tree in trees]
    for was, now in itertools.zip_longest(*texts):
        if was != now:
            return f"was {was}, is {now}"
    return "no difference when told again"


def main() -> int:
    """Writes what was compared; 1 where a history differs."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("revision")
    options(parser)
    args = parser.parse_args()
    seen: Counter = Counter()
    spent = 0.0
    with versions(args.revision) as ((_, before), (_, now)):
        both = [told(tree, args) for tree in (before, now)]
        for lines in itertools.zip_longest(*(process.stdout for process in both)):
            if None in lines:
                raise ChildProcessError(f"one version stopped after {seen['histories']} histories")
            (seed, was, counts, first), (_, digest, _, second) = map(json.loads, lines)
            seen += Counter(counts)
            seen["histories"] += 1
            spent += first + second
            if was == digest:
                continue
            seen["histories that differ"] += 1
            if seen["histories that differ"] <= MOST_TOLD:
                print(f"seed {seed}: {first_difference((before, now), args, seed)}"[:900], file=sys.stderr)
        codes = [process.wait() for process in both]
    print(json.dumps(vars(args) | dict(seen) | {"cpu_s": round(spent, 1)}))
    complete = codes == [0, 0] and seen["histories"] == args.histories
    return 0 if complete and not seen["histories that differ"] else 1


if __name__ == "__main__":
    sys.exit(main())
