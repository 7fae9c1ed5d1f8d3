"""The planner from the command line."""

import json
import unittest
from pathlib import Path

from tests.support.environment import ROOT
from tests.support.worker_process import run_command


class Commands(unittest.TestCase):
    def test_a_forecast_from_the_shell_and_faults_in_a_line_each(self):
        example = str(ROOT / "deploy/fleet.toml")
        done = run_command("plan", "check", example)
        self.assertEqual((done.returncode, "14 workers (brussels 7, antwerp 7)" in done.stdout), (0, True))
        done = run_command("plan", "forecast", example, "--seeds", "1", "--seconds", "12", "--json")
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertGreater(json.loads(done.stdout)["goodput"]["mean"], 0.8)
        for words, code, said in (
            (("lose", example, "ghent", "--seeds", "1"), 1, "no number can be given"),
            (("size", example, "--kind", "huge"), 2, "no such kind"),
            (("check", "/nowhere.toml"), 2, "/nowhere.toml"),
        ):
            done = run_command("plan", *words)
            self.assertEqual((done.returncode, said in done.stderr), (code, True), done.stderr)

    def test_the_worker_imports_nothing_of_it(self):
        for path in Path(ROOT, "ochrehoist").rglob("*.py"):
            if not {"plan", "lab"} & set(path.parts) and path.name not in ("plan.py", "lab.py"):
                text = path.read_text()
                self.assertNotIn("ochrehoist.plan", text.replace("ochrehoist.cli.plan", ""), path)
