"""What commands print and write, exit codes and error texts included, as recorded before they were split up.

`python tests/golden/test_command_output.py` records them anew. What differs from run to run is left out: the
commands that start real workers are only called wrongly here, and bars of progress go to standard error.
"""

import contextlib
import hashlib
import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import click
from click.testing import CliRunner

from ochrehoist.cli import peers, recovery, sites
from ochrehoist.cli.main import main

TESTS = Path(__file__).parent.parent
ROOT = TESTS.parent

RECORDED = TESTS / "fixtures" / "commands"
CAPTURE = "tests/fixtures/000e6de/load.ochrecap"
FLEET = "deploy/sites-fleet.toml"
LARGE_FLEET = "deploy/fleet.toml"
FEW_RUNS = ("--seeds", "2", "--seconds", "12", "--jobs", "1")
NOW_S = 1_700_000_000
WIDTH = 110

COMMANDS = {
    "check": ("plan", "check", LARGE_FLEET),
    "check-missing": ("plan", "check", "/nowhere.toml"),
    "check-wrong": ("plan", "check", "deploy/ajp.toml"),
    "forecast": ("plan", "forecast", FLEET, *FEW_RUNS),
    "forecast-json": ("plan", "forecast", FLEET, "--demand", "1.1", "--json", *FEW_RUNS),
    "forecast-large": ("plan", "forecast", LARGE_FLEET, "--json", *FEW_RUNS),
    "forecast-page": ("plan", "forecast", FLEET, *FEW_RUNS, "--html", "{folder}/page.html", "--pictures"),
    "forecast-of-capture": ("plan", "forecast", FLEET, "--capture", CAPTURE, *FEW_RUNS),
    "fit": ("plan", "fit", CAPTURE),
    "fit-json": ("plan", "fit", CAPTURE, "--json", "--html", "{folder}/page.html"),
    "fit-missing": ("plan", "fit", "/nowhere"),
    "breaks": ("plan", "breaks", FLEET, "--steps", "2", *FEW_RUNS, "--html", "{folder}/page.html"),
    "size": ("plan", "size", FLEET, "--kind", "small", "--demand", "0.3", *FEW_RUNS),
    "size-unknown-kind": ("plan", "size", FLEET, "--kind", "huge"),
    "size-wrong-goal": ("plan", "size", FLEET, "--kind", "small", "--goal", "2"),
    "lose": ("plan", "lose", FLEET, "antwerp", "--seeds", "2", "--jobs", "1", "--back", "20"),
    "lose-json": (
        *("plan", "lose", FLEET, "antwerp", "--seeds", "2", "--jobs", "1", "--json"),
        *("--html", "{folder}/page.html", "--write", "{folder}/playbook.toml"),
    ),
    "lose-unknown-site": ("plan", "lose", FLEET, "ghent"),
    "lose-wrong-order": ("plan", "lose", FLEET, "antwerp", "--at", "3"),
    "restart": ("plan", "restart", FLEET, "--seeds", "1", "--jobs", "1", "--demand", "0.3"),
    "restart-json": ("plan", "restart", FLEET, "--seeds", "1", "--jobs", "1", "--json"),
    "restart-wrong-goal": ("plan", "restart", FLEET, "--goal", "1"),
    "measure-unknown-site": ("plan", "measure", FLEET, "--lose", "ghent"),
    "compare": ("plan", "compare", FLEET, FLEET, *FEW_RUNS),
    "compare-json": (
        "plan",
        "compare",
        FLEET,
        FLEET,
        "--json",
        "--seeds",
        "1",
        "--seconds",
        "12",
        "--html",
        "{folder}/page.html",
    ),
    "compare-captures": ("plan", "compare", CAPTURE, CAPTURE, "--on", FLEET, *FEW_RUNS),
    "compare-captures-json": ("plan", "compare", CAPTURE, CAPTURE, "--json"),
    "compare-unlike": ("plan", "compare", CAPTURE, FLEET),
    "lab-list": ("lab", "list"),
    "lab-seeds": ("lab", "seeds", "--count", "4", "--jobs", "1"),
    "lab-sites": ("lab", "sites", "--count", "4", "--jobs", "1"),
    "lab-orders": ("lab", "orders", "--ticks", "2"),
    "lab-orders-broken-off": ("lab", "orders", "--most", "100"),
    "lab-drill-without-fleet": ("lab", "drill", "antwerp"),
    "lab-drill-unknown-site": ("lab", "drill", "ghent", "--fleet", FLEET),
    "lab-play-missing": ("lab", "play", "/nowhere.toml"),
    "lab-rolling-too-many": ("lab", "rolling", "--fleet", FLEET, "--workers", "4", "--at-once", "9"),
    "scale-unknown-fault": ("lab", "scale", "--faults", "earthquake"),
    "scale-wrong-members": ("lab", "scale", "--members", "many"),
    "scale-wrong-results": ("lab", "scale", "--against", FLEET),
    "sites-check-wrong": ("sites", "check", FLEET),
    "state-without-folder": ("--config", "deploy/overload.toml", "state", "check"),
    "state-check-missing": ("state", "check", "--folder", "/nowhere"),
}


def output_of(words):
    """One command's exit code, both streams and the files that it wrote, as one text."""
    with tempfile.TemporaryDirectory() as folder, contextlib.chdir(ROOT):
        with (
            mock.patch("time.time", return_value=float(NOW_S)),
            mock.patch.dict(os.environ, {"COLUMNS": str(WIDTH), "TERM": "dumb"}),
        ):
            done = CliRunner().invoke(main, [word.format(folder=folder) for word in words])
        parts = [f"$ ochrehoist {' '.join(words)}\nexit code {done.exit_code}\n"]
        if done.exception is not None and not isinstance(done.exception, SystemExit):
            raise done.exception
        parts += [f"--- stdout\n{done.stdout}", f"--- stderr\n{done.stderr}"]
        for path in sorted(Path(folder).iterdir()):
            data = path.read_bytes()
            told = data.decode() if path.suffix == ".toml" else hashlib.sha256(data).hexdigest() + "\n"
            parts.append(f"--- {path.name}\n{told}")
        return "".join(parts).replace(folder, "{folder}")


def help_of(command, words):
    """The help texts of a command and of all below it."""
    context = click.Context(
        command,
        info_name=" ".join(words),
        terminal_width=WIDTH,
        max_content_width=WIDTH,
        # A command below `main` inherits these; click remembers them from the first call in the process.
        help_option_names=main.context_settings["help_option_names"],
    )
    texts = [command.get_help(context) + "\n"]
    for name, below in sorted(getattr(command, "commands", {}).items()):
        texts += help_of(below, (*words, name))
    return texts


def help_texts():
    return "\n".join(help_of(main, ("ochrehoist",)))


def shown_status(module, name, view):
    """What `show` prints of a running worker's status."""
    group = module.commands(lambda *_: (True, json.dumps({name: view})))
    return CliRunner().invoke(group, ["show"]).stdout


def status_texts():
    """Of each view that is on record: a group, and parts of a status as workers report them."""
    modules = {"peers": peers, "sites": sites, "recovery": recovery}
    recorded = json.loads((RECORDED / "views.json").read_text())
    texts = [shown_status(modules[name], name, view) for name, views in recorded.items() for view in views]
    return "---\n".join(texts)


class CommandOutputTest(unittest.TestCase):
    """Commands run as they were recorded."""

    maxDiff = 4000

    def test_each_command_prints_and_writes_what_was_recorded(self):
        for name, words in COMMANDS.items():
            with self.subTest(command=name):
                self.assertEqual(output_of(words), (RECORDED / f"{name}.txt").read_text())

    def test_help_texts_and_option_names_are_as_recorded(self):
        self.assertEqual(help_texts(), (RECORDED / "help.txt").read_text())

    def test_views_of_a_running_worker_are_as_recorded(self):
        self.assertEqual(status_texts(), (RECORDED / "views.txt").read_text())


if __name__ == "__main__":
    RECORDED.mkdir(exist_ok=True)
    for name, words in COMMANDS.items():
        (RECORDED / f"{name}.txt").write_text(output_of(words))
    (RECORDED / "help.txt").write_text(help_texts())
    (RECORDED / "views.txt").write_text(status_texts())
