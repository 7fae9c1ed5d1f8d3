"""The example in the README runs as printed."""

import re
import subprocess
import sys

from tests.support.environment import ROOT


def test_the_example_runs_as_printed():
    text = (ROOT / "README.md").read_text(encoding="utf-8")
    code = re.search(r"```python\n(.*?)```", text, re.S).group(1)
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
    assert f"prints `{done.stdout.strip()}`" in text
