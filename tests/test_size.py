"""Each decision module that the deploy file names stays short enough to be read on call."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
MAX_LINES, MAX_COLUMNS = 1000, 110


def test_each_policy_file_is_short_and_narrow():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert deploy["policy"]
    for name in deploy["policy"]:
        lines = (ROOT / name).read_text(encoding="utf-8").splitlines()
        assert len(lines) <= MAX_LINES, name
        assert max(map(len, lines)) <= MAX_COLUMNS, name
