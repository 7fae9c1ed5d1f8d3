"""The list of tests that are known to fail: CI passes over just these, and only while they fail."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.support.environment import ROOT

RUNNER = ROOT / "tests" / "known_red.py"
TESTS = """
def test_good(): pass
def test_bad(): assert False
"""
BAD, GOOD = "test_some.py::test_bad", "test_some.py::test_good"


class KnownRedTest(unittest.TestCase):
    """The runner of all tests, with a list of known failures."""

    def ci(self, *lines, tests=TESTS):
        root = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (root / "test_some.py").write_text(tests)
        if lines:
            (root / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
        done = subprocess.run(
            [sys.executable, RUNNER, "-q", "-p", "no:cacheprovider"],
            cwd=root,
            env=os.environ | {"PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"},
            capture_output=True,
            text=True,
            timeout=60,
        )
        return done.returncode, done.stdout + done.stderr

    def test_a_red_test_that_is_listed_is_passed_over_and_printed(self):
        code, text = self.ci(f"{BAD} | a real cause | issue 27")
        self.assertEqual(code, 0, text)
        self.assertIn(f"known red: {BAD}: fails, as is known; a real cause; issue 27", text)

    def test_one_that_is_not_listed_fails(self):
        self.assertNotEqual(self.ci()[0], 0)
        self.assertEqual(self.ci(tests="def test_good(): pass")[0], 0)

    def test_a_listed_test_that_passes_fails_and_so_does_an_unknown_one(self):
        for line in (GOOD, "test_some.py::test_none", "test_none.py::test_bad"):
            with self.subTest(line):
                self.assertNotEqual(self.ci(f"{BAD} | cause | issue 27", f"{line} | cause | issue 27")[0], 0)

    def test_a_fourth_line_and_one_without_cause_or_issue_fail(self):
        more = [f"{BAD} | cause | issue 27"] * 4
        code, text = self.ci(*more)
        self.assertNotEqual(code, 0)
        self.assertIn("3 are the most", text)
        self.assertEqual(self.ci(*more[:3])[0], 0)
        for line in (BAD, f"{BAD} | cause", f"{BAD} | cause |", "test_some.py | cause | issue 27"):
            with self.subTest(line):
                code, text = self.ci(line)
                self.assertNotEqual(code, 0)
                self.assertIn("not a test, a cause and an issue", text)
