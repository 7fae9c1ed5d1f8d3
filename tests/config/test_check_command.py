"""Tests of the command `check`, and of the modules that loading a configuration imports."""

import ast
import json
import subprocess
import sys
from pathlib import Path

from ochrehoist.lab.toml import toml_file
from tests.config.large_configurations import (
    ConfigurationFilesTestCase,
    appliance,
    large,
    platform,
    rule,
    tenant,
)
from tests.support.environment import ROOT
from tests.support.worker_process import run_command


class CheckCommandTest(ConfigurationFilesTestCase):
    """The command `check` and the imports of the configuration package."""

    def test_check_prints_the_version_and_says_which_form_is_read_as_a_whole(self):
        text = large(600, 30)
        done = run_command("check", self.file(text))
        self.assertIn(f"version {self.load(text).version}, 600 tenants, 30 routes", done.stdout)
        self.assertNotIn("as a whole", done.stdout)
        done = run_command("check", self.file(text + '# """\n'))
        self.assertEqual(done.returncode, 0)
        self.assertIn("as a whole", done.stdout)

    def test_the_platforms_worker_loads_nothing_for_files_that_it_has_not(self):
        code = (
            "import sys; from ochrehoist.app import worker; from ochrehoist.config import loader; "
            "loader.load(sys.argv[1], {}); "
            "print(*sys.modules)"
        )
        file = self.file(json.dumps(platform([tenant(0)])), "a.json")
        done = subprocess.run(
            [sys.executable, "-c", code, file], cwd=ROOT, capture_output=True, text=True, check=True
        )
        loaded = set(done.stdout.split())
        self.assertFalse(
            loaded & {"tomli", "tomllib", "ochrehoist.config.toml_reader", "ochrehoist.config.fleet"}
        )

    def test_a_short_file_does_not_load_the_chunk_reader(self):
        code = (
            "import sys; from ochrehoist.config import loader; loader.load(sys.argv[1], {}); "
            "print(*sys.modules)"
        )
        loaded = []
        for text in (toml_file(appliance([tenant(0)], [rule(0)])), large(1_000, 65)):
            done = subprocess.run(
                [sys.executable, "-c", code, self.file(text)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=True,
            )
            loaded.append("ochrehoist.config.toml_reader" in done.stdout.split())
        self.assertEqual(loaded, [False, True])

    @staticmethod
    def imported(path):
        """Returns the names of this package's modules that a file imports, by any form of import."""
        found = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module == "ochrehoist.config":
                found |= {alias.name for alias in node.names}
            elif isinstance(node, ast.ImportFrom):
                found.add((node.module or "").removeprefix("ochrehoist.config."))
            elif isinstance(node, ast.Import):
                found |= {alias.name.removeprefix("ochrehoist.config.") for alias in node.names}
        return found

    def test_no_module_of_the_configuration_needs_one_that_needs_it(self):
        package = Path(ROOT, "ochrehoist", "config")
        names = {path.stem for path in package.glob("*.py")} - {"__init__"}
        self.assertGreaterEqual(len(names), 8)
        needs = {name: self.imported(Path(package, f"{name}.py")) & names for name in names}
        while needs:
            free = {name for name, others in needs.items() if not others & needs.keys()}
            self.assertTrue(free, needs)
            needs = {name: others for name, others in needs.items() if name not in free}
