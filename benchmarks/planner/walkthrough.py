"""The example of docs/planner.md made anew, from captured load to a decision: its commands, output and pages.

Records real workers on loopback (two minutes), then asks the planner.
"""

import argparse
import subprocess
import sys
from pathlib import Path

from benchmarks.planner.fleets import BASE_FILE, LARGE_FILE

LOST_SITE = "antwerp"
LARGE_DEMANDS = ("0.9", "1.05", "1.2")

Command = tuple[str, ...]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments."""
    parser.add_argument("folder", type=Path, help="of the captures and pages; it is made")


def run(arguments: argparse.Namespace) -> int:
    """Run all commands; CalledProcessError where one fails."""
    arguments.folder.mkdir(parents=True, exist_ok=True)
    for command in planner_commands(arguments.folder):
        print("$ ochrehoist plan", *command, flush=True)
        subprocess.run([sys.executable, "-m", "ochrehoist", "plan", *command], check=True)
    return 0


def planner_commands(folder: Path) -> list[Command]:
    """The subcommands of `ochrehoist plan` with their arguments, in their order."""
    fleet, large_fleet = str(BASE_FILE), str(LARGE_FILE)
    monday, tuesday = str(folder / "monday"), str(folder / "tuesday")

    def page(name: str) -> Command:
        return "--html", str(folder / f"{name}.html"), "--pictures"

    def measure(demand: str, seed: str, capture: str) -> Command:
        return "measure", fleet, "--demand", demand, "--seconds", "50", "--seed", seed, "--record", capture

    def lose(description: str) -> Command:
        return "lose", description, LOST_SITE, "--demand", "0.8", "--back", "20"

    return [
        (*measure("0.8", "1", monday), *page("measure-monday")),
        (*measure("1.1", "2", tuesday), *page("measure-tuesday")),
        ("fit", monday, tuesday, *page("fit")),
        ("compare", monday, tuesday, "--on", fleet, *page("compare")),
        ("breaks", fleet, *page("breaks")),
        ("size", fleet, "--demand", "1.1", "--kind", "node", "--goal", "0.95", *page("size")),
        (*lose(fleet), *page("lose")),
        *(
            (
                "forecast",
                large_fleet,
                "--demand",
                demand,
                "--seeds",
                "2",
                "--seconds",
                "60",
                *page(f"large-{demand}"),
            )
            for demand in LARGE_DEMANDS
        ),
        (*lose(large_fleet), "--seeds", "2", *page("large-lose")),
    ]
