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
REST = "pytest, seed 7 | a real cause | issue 27"
SCRIPT = "sh review/1/run.sh"


class KnownRedTest(unittest.TestCase):
    """The runner of all tests, with a list of known failures."""

    def ci(self, *lines, tests=TESTS, script=None, options=()):
        root = self.root = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (root / "test_some.py").write_text(tests)
        if script is not None:
            (root / "review" / "1").mkdir(parents=True)
            (root / "review" / "1" / "run.sh").write_text(script)
        if lines:
            (root / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
        done = subprocess.run(
            [sys.executable, RUNNER, "-q", "-p", "no:cacheprovider", *options],
            cwd=root,
            env=os.environ | {"PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"},
            capture_output=True,
            text=True,
            timeout=60,
        )
        return done.returncode, done.stdout + done.stderr

    def assert_invalid(self, line, problem, **files):
        code, text = self.ci(line, **files)
        self.assertNotEqual(code, 0)
        self.assertIn(f"KNOWN-RED.txt: {problem}", text)
        self.assertNotIn("passed", text)  # nothing ran

    def test_a_red_test_that_is_listed_is_passed_over_and_printed(self):
        code, text = self.ci(f"{BAD} | pytest, seed 7 | one of two wrong | issue 27")
        self.assertEqual(code, 0, text)
        self.assertEqual(self.ci(f"{BAD} | {REST}", options=("-p", "xdist", "-n", "2"))[0], 0)  # as in CI
        printed = f"known red: {BAD}: fails, as is known; pytest, seed 7; one of two wrong; issue 27"
        self.assertIn(printed, text)

    def test_one_that_is_not_listed_fails(self):
        self.assertNotEqual(self.ci()[0], 0)
        self.assertEqual(self.ci(tests="def test_good(): pass")[0], 0)

    def test_one_whose_name_only_begins_like_a_listed_one_fails(self):
        code, text = self.ci(f"{BAD} | {REST}", tests=f"{TESTS}\ndef test_bad_too(): assert False")
        self.assertNotEqual(code, 0, text)
        self.assertIn("1 failed, 1 passed", text)

    def test_all_parameters_of_a_listed_test_and_all_tests_of_a_listed_class_are_passed_over(self):
        tests = f"""
import pytest
{TESTS}
@pytest.mark.parametrize("n", (1, 2))
def test_each(n): assert False
class TestAll:
    def test_one(self): assert False
"""
        lines = (f"{test} | {REST}" for test in (BAD, "test_some.py::test_each", "test_some.py::TestAll"))
        code, text = self.ci(*lines, tests=tests)
        self.assertEqual(code, 0, text)

    def test_a_listed_test_that_passes_fails_and_so_does_an_unknown_one(self):
        for test in (GOOD, "test_some.py::test_none", "test_none.py::test_bad"):
            with self.subTest(test):
                self.assertNotEqual(self.ci(f"{BAD} | {REST}", f"{test} | {REST}")[0], 0)

    def test_a_script_is_printed_and_not_run(self):
        line = f"{SCRIPT} | seed 44 | 96 of 384 lost | issue 48"
        code, text = self.ci(f"{BAD} | {REST}", line, script="touch ran; exit 1")
        self.assertEqual(code, 0, text)
        self.assertIn(f"known red: {SCRIPT}: a script, not run; seed 44; 96 of 384 lost; issue 48", text)
        self.assertFalse((self.root / "ran").exists())
        self.assertNotEqual(self.ci(line, script="exit 1")[0], 0)  # it excuses no test

    def test_a_fourth_entry_fails_also_a_scripts(self):
        tests = [f"{BAD} | {REST}"] * 3
        self.assertEqual(self.ci(*tests)[0], 0)
        for fourth in (tests[0], f"{SCRIPT} | {REST}"):
            code, text = self.ci(*tests, fourth, script="exit 1")
            self.assertNotEqual(code, 0)
            self.assertIn("3 entries are the most: 4", text)

    def test_a_line_that_lacks_a_part_fails(self):
        for line in (
            BAD,
            f"{BAD} | seed",
            f"{BAD} | seed | seen",
            f"{BAD} | seed | seen |",
            f"{BAD} || a | b",
        ):
            with self.subTest(line):
                self.assert_invalid(line, "not a test, a command and seed, what was seen and an issue")
        self.assert_invalid(f"{BAD} | {REST} | more", "not a test")

    def test_a_line_that_names_neither_a_test_nor_a_reviews_script_fails(self):
        for test in (
            "test_some.py",
            "::test_bad",
            "sh run.sh",
            "sh review/1/case.sh",
            "sh review/../run.sh",
            f"{SCRIPT}; true",
            "bash review/1/run.sh",
        ):
            with self.subTest(test):
                self.assert_invalid(
                    f"{test} | {REST}", "neither a pytest test nor the script", script="exit 1"
                )

    def test_a_script_that_is_not_there_fails(self):
        self.assert_invalid(f"{SCRIPT} | {REST}", "no such script")
