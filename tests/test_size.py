"""The decision module stays short enough to be read on call."""

from pathlib import Path

MODULE = Path(__file__).parent.parent / "ochrehoist" / "rules.py"


def test_rules_is_at_most_540_lines_of_110_columns():
    lines = [line for line in MODULE.read_text(encoding="utf-8").splitlines() if line.strip()]
    assert len(lines) <= 540
    assert max(map(len, lines)) <= 110
