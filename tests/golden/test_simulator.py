"""The simulator's adapter, given the script that 000e6de was given: the same answers, byte for byte."""

import subprocess
import sys

from tests.support.environment import FIXTURES, ROOT, WAIT_LIMIT_S

GOLDEN = FIXTURES / "000e6de" / "simulator"


def test_the_same_script_gets_the_same_answers():
    with (GOLDEN / "script.txt").open("rb") as script:
        done = subprocess.run(
            [sys.executable, "-m", "ochrehoist.app.simulator_adapter"],
            cwd=ROOT,
            stdin=script,
            capture_output=True,
            timeout=WAIT_LIMIT_S,
        )
    assert (done.returncode, done.stderr) == (0, b"")
    assert done.stdout.splitlines() == (GOLDEN / "answers.txt").read_bytes().splitlines()
