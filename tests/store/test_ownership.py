"""Exclusive ownership of a state folder, invalid folder settings, and a worker without a store."""

import os
from pathlib import Path

from ochrehoist.lab.toml import toml_file
from tests.store.worker_state_case import WorkerStateTestCase
from tests.support.site_settings import site_settings
from tests.support.worker_cases import WorkerTestCase
from tests.support.worker_process import run_command


class OwnershipTest(WorkerStateTestCase):
    """Start-up with a folder that is in use or invalid."""

    def test_a_second_process_fails_with_the_name_of_the_first(self):
        first = self.start()
        config = self.base / "second.toml"
        config.write_text(toml_file(first.appliance))
        env = {k: v for k, v in first.env.items() if k not in ("TMPDIR", "OCHREHOIST_AJP")}
        completed = run_command("--config", str(config), "run", env=env)
        self.assertEqual(completed.returncode, 2, completed.stderr)
        self.assertIn("setting state.folder", completed.stderr)
        self.assertIn(f"process {first.process.pid} (n1)", completed.stderr)

    def test_an_invalid_state_setting_is_named(self):
        config = self.base / "a.toml"
        appliance = {
            "name": "n",
            "ajp": {"listen": "127.0.0.1:0", "rules": [], "servers": [{"address": "127.0.0.1:1"}]},
            "settings": site_settings(),
            "state": {"folder": "/nowhere/at/all"},
        }
        config.write_text(toml_file(appliance))
        completed = run_command("--config", str(config), "run")
        self.assertEqual(completed.returncode, 2)
        self.assertIn("setting state.folder: /nowhere/at/all", completed.stderr)
        for key, value in (
            ("on_loss", "pray"),
            ("max_mb", 0),
            ("folder", 3),
            ("fodler", "x"),
            ("learned_half_life_s", 0),
        ):
            config.write_text(toml_file(appliance | {"state": {"folder": str(self.base)} | {key: value}}))
            completed = run_command("check", str(config))
            self.assertEqual(completed.returncode, 2)
            self.assertIn(f"setting state.{key}", completed.stderr)

    def test_a_reload_with_another_folder_reports_that_a_restart_is_needed(self):
        program = self.start()
        changed_appliance = program.appliance | {
            "state": {"folder": str(self.base / "other"), "commit_ms": 3}
        }
        event = program.reload("ajp.toml", toml_file(changed_appliance))
        self.assertEqual(event["restart_keys"], ["state.commit_ms", "state.folder"])


class NoStoreTest(WorkerTestCase):
    """A worker without a store."""

    def test_a_worker_without_a_store_loads_none_of_its_libraries_and_starts_no_thread(self):
        program = self.start()
        maps = Path(f"/proc/{program.process.pid}/maps").read_text()
        for library in ("apsw", "msgspec", "xxhash", "sqlite"):
            self.assertNotIn(f"/{library}", maps)
        self.assertEqual(len(os.listdir(f"/proc/{program.process.pid}/task")), 1)
