"""Each decision module that the deploy file names stays short enough to be read on call."""

import tomllib

from tests.support.environment import ROOT

MAX_LINES, MAX_COLUMNS = 400, 110
# What of the package decides nothing: the types of its border, and what was learned as it is stored.
NO_DECISIONS = {"__init__.py", "actions.py", "events.py", "learned_state.py", "settings.py"}


def test_each_policy_file_is_short_and_narrow():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert deploy["policy"]
    for name in deploy["policy"]:
        lines = (ROOT / name).read_text(encoding="utf-8").splitlines()
        assert len(lines) <= MAX_LINES, name
        assert max(map(len, lines)) <= MAX_COLUMNS, name


def test_the_deploy_file_names_all_files_of_the_decisions():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    package = ROOT / "ochrehoist" / "admission"
    decisions = {path for path in package.glob("*.py") if path.name not in NO_DECISIONS}
    assert {ROOT / name for name in deploy["policy"]} == decisions
