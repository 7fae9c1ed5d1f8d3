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
    large_toml,
    platform,
    rule,
    tenant,
)
from tests.support.environment import ROOT
from tests.support.worker_process import run_command


class CheckCommandTest(ConfigurationFilesTestCase):
    """The command `check` and the imports of the configuration package."""

    def test_check_prints_the_version_and_reports_a_file_parsed_as_a_whole(self):
        text = large_toml(600, 30)
        done = run_command("check", self.file(text))
        self.assertIn(f"version {self.load(text).version}, 600 tenants, 30 routes", done.stdout)
        self.assertNotIn("as a whole", done.stdout)
        done = run_command("check", self.file(text + '# """\n'))
        self.assertEqual(done.returncode, 0)
        self.assertIn("as a whole", done.stdout)

    def test_a_platform_worker_imports_no_modules_for_toml_files(self):
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

    def test_a_short_file_does_not_import_the_chunk_reader(self):
        code = (
            "import sys; from ochrehoist.config import loader; loader.load(sys.argv[1], {}); "
            "print(*sys.modules)"
        )
        loaded = []
        for text in (toml_file(appliance([tenant(0)], [rule(0)])), large_toml(1_000, 65)):
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
    def imported_modules(path):
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

    def test_the_modules_of_the_package_have_no_import_cycle(self):
        package = Path(ROOT, "ochrehoist", "config")
        names = {path.stem for path in package.glob("*.py")} - {"__init__"}
        self.assertGreaterEqual(len(names), 8)
        imports = {name: self.imported_modules(Path(package, f"{name}.py")) & names for name in names}
        while imports:
            importable = {name for name, imported in imports.items() if not imported & imports.keys()}
            self.assertTrue(importable, imports)
            imports = {name: imported for name, imported in imports.items() if name not in importable}
