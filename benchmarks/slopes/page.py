"""The table of slopes in docs/CAPACITY.md, of two files that `python -m benchmarks.slopes --json` wrote.

`python -m benchmarks.slopes.page BEFORE NOW`
"""

import json
import sys
from pathlib import Path

LEAST = 0.02  # of a measure's value at the goal, under which its slope is told as none


def number(value: float) -> str:
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _line(row: dict | None, name: str) -> tuple[str, str, str]:
    """The line, its residual and power, and the value at the largest size run."""
    if row is None or name not in row["lines"]:
        return "-", "-", "-"
    x, largest = row["lines"][name], max(p["size"] for p in row["points"])
    top = [p[name] for p in row["points"] if p["size"] == largest]
    grows = abs(x["slope"] * largest) > LEAST * abs(x["base"])
    text = f"{number(x['base'])} + {x['slope']:.3g} n" if grows else number(x["base"])
    return text, f"{x['residual']:.2f} / {x['power']:.1f}", number(sum(top) / len(top))


def _breaks(row: dict | None, measure: str, most: float) -> str:
    if row is None:
        return "-"
    b = next(b for b in row["bounds"] if (b["measure"], b["most"]) == (measure, most))
    if b["breaks_at"] is None or b["breaks_at"] > 10 * row["goal"]:
        return "over 10 goals, worked out"
    part = b["breaks_at"] / row["goal"]
    return f"{number(b['breaks_at'])} ({part:.1%}){'' if b['run'] else ', worked out'}"


def main() -> None:
    before, now = (json.loads(Path(path).read_text()) for path in sys.argv[1:3])
    old, new = ({r["name"]: r for r in x["slopes"]} for x in (before, now))
    print(
        f"| slope (by what, up to, goal) | measure | {before['version']}: line | residual / power | at the "
        f"largest | {now['version']}: line | residual / power | at the largest |"
    )
    print("| --- " * 8 + "|")
    names = list(dict.fromkeys([*old, *new]))
    for name in names:
        row = old.get(name) or new[name]
        largest = max(p["size"] for p in row["points"])
        head = f"{name} ({row['grows_with']}, {largest:,}, {number(row['goal'])})"
        for measure in row["lines"]:
            print(
                "|",
                " | ".join([head, measure, *_line(old.get(name), measure), *_line(new.get(name), measure)]),
                "|",
            )
            head = ""
    print(f"\n| slope | bound | goal | {before['version']} breaks at | {now['version']} breaks at |")
    print("| --- " * 5 + "|")
    for name in names:
        row = old.get(name) or new[name]
        for b in row["bounds"]:
            print(
                "|",
                " | ".join(
                    [
                        name,
                        f"{b['measure']} <= {number(b['most'])}: {b['why']}",
                        f"{row['goal']:,}",
                        _breaks(old.get(name), b["measure"], b["most"]),
                        _breaks(new.get(name), b["measure"], b["most"]),
                    ]
                ),
                "|",
            )


if __name__ == "__main__":
    main()
