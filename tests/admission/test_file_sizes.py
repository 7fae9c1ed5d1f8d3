"""Limits on the size of the decision modules that the deploy file lists, which are read on call."""

import tomllib

from tests.support.environment import ROOT

MAX_LINES, MAX_COLUMNS = 400, 110
# Modules of the package without decisions: the types of its interface, and the snapshots of learned state.
MODULES_WITHOUT_DECISIONS = {"__init__.py", "actions.py", "events.py", "learned_state.py", "settings.py"}


def test_each_policy_file_keeps_to_the_maximum_lines_and_columns():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert deploy["policy"]
    for name in deploy["policy"]:
        lines = (ROOT / name).read_text(encoding="utf-8").splitlines()
        assert len(lines) <= MAX_LINES, name
        assert max(map(len, lines)) <= MAX_COLUMNS, name


def test_the_deploy_file_lists_all_decision_modules():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    package = ROOT / "ochrehoist" / "admission"
    decision_modules = {path for path in package.glob("*.py") if path.name not in MODULES_WITHOUT_DECISIONS}
    assert {ROOT / name for name in deploy["policy"]} == decision_modules
