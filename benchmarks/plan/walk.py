"""The example of docs/planner.md, from recorded load to a decision, made anew: its commands, what they say
and their pictures.

`python -m benchmarks.plan.walk FOLDER`: records real workers on loopback (two minutes), then asks.
"""

import subprocess
import sys
from pathlib import Path

FLEET = str(Path(__file__).parent / "base.toml")
LARGE = str(Path(__file__).parent / "large.toml")


def steps(folder: Path) -> list[tuple[str, ...]]:
    monday, tuesday = str(folder / "monday"), str(folder / "tuesday")

    def page(name: str) -> tuple[str, ...]:
        return "--html", str(folder / f"{name}.html"), "--pictures"

    return [
        ("measure", FLEET, "--demand", "0.8", "--seconds", "50", "--record", monday, *page("measure-monday")),
        (
            "measure",
            FLEET,
            "--demand",
            "1.1",
            "--seconds",
            "50",
            "--seed",
            "2",
            "--record",
            tuesday,
            *page("measure-tuesday"),
        ),
        ("fit", monday, tuesday, *page("fit")),
        ("compare", monday, tuesday, "--on", FLEET, *page("compare")),
        ("breaks", FLEET, *page("breaks")),
        ("size", FLEET, "--demand", "1.1", "--kind", "node", "--goal", "0.95", *page("size")),
        ("lose", FLEET, "antwerp", "--demand", "0.8", "--back", "20", *page("lose")),
        *(
            ("forecast", LARGE, "--demand", d, "--seeds", "2", "--seconds", "60", *page(f"large-{d}"))
            for d in ("0.9", "1.05", "1.2")
        ),
        ("lose", LARGE, "antwerp", "--demand", "0.8", "--back", "20", "--seeds", "2", *page("large-lose")),
    ]


def main() -> None:
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    for words in steps(folder):
        print("$ ochrehoist plan", *words, flush=True)
        subprocess.run([sys.executable, "-m", "ochrehoist", "plan", *words], check=True)


if __name__ == "__main__":
    main()
