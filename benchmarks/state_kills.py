"""Kills under load: no filing may run twice, none may be refused once it ran, and no store may be lost.

`python -m benchmarks.state_kills [KILLS] [PROCESSES]`: workers on folders of their own, killed at random
moments under the load of their clerks, and started again; every run is counted by the server that ran it.
The same with `--without` a store is the baseline.
"""

import argparse
import shutil
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.append(str(Path(__file__).parent.parent))

from tests.support.crash_load import CrashLoad  # noqa: E402


def lives(seed: int, kills: int, state: bool) -> dict:
    folder = Path(tempfile.mkdtemp())
    try:
        harness = CrashLoad(folder / "state", seed, state=state)
        harness.run(kills)
        return {
            "kills": kills,
            "filings": len(harness.server.runs),
            "twice": len(harness.run_twice),
            "wrong": harness.wrong,
            "losses": harness.losses,
            "ends": dict(harness.outcomes),
        }
    finally:
        shutil.rmtree(folder)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kills", nargs="?", type=int, default=2000)
    parser.add_argument("processes", nargs="?", type=int, default=4)
    parser.add_argument("--without", action="store_true", help="without a store")
    parser.add_argument("--each", type=int, default=50, help="kills of one folder")
    given = parser.parse_args()
    parts, total, ends, began = -(-given.kills // given.each), Counter(), Counter(), time.monotonic()
    wrong: list = []
    with ProcessPoolExecutor(given.processes) as pool:
        for done in pool.map(lives, range(parts), [given.each] * parts, [not given.without] * parts):
            total.update({k: done[k] for k in ("kills", "filings", "twice")})
            wrong += done["wrong"] + done["losses"]
            ends.update(done["ends"])
            print(
                f"{total['kills']} kills, {total['filings']} filings ran, {total['twice']} of them twice, "
                f"{len(wrong)} wrong ends or losses; {time.monotonic() - began:.0f} s",
                flush=True,
            )
    print("ends by status:", dict(ends))
    for end in wrong[:10]:
        print("wrong:", end)
    return 1 if total["twice"] or wrong else 0


if __name__ == "__main__":
    sys.exit(main())
