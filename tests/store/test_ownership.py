"""One owner of a folder at a time, and a worker without any."""

import os
import unittest
from pathlib import Path

from ochrehoist.lab.toml import toml_file
from tests.store.worker_state_case import State
from tests.support.site_settings import site_settings
from tests.support.worker_process import WorkerProcess, run_command


class Owner(State):
    def test_a_second_process_is_turned_away_by_the_name_of_the_first(self):
        first = self.start()
        config = self.base / "second.toml"
        config.write_text(toml_file(first.appliance))
        env = {k: v for k, v in first.env.items() if k not in ("TMPDIR", "OCHREHOIST_AJP")}
        done = run_command("--config", str(config), "run", env=env)
        self.assertEqual(done.returncode, 2, done.stderr)
        self.assertIn("setting state.folder", done.stderr)
        self.assertIn(f"process {first.process.pid} (n1)", done.stderr)

    def test_a_folder_whose_parent_is_not_there_is_named(self):
        config = self.base / "a.toml"
        whole = {
            "name": "n",
            "ajp": {"listen": "127.0.0.1:0", "rules": [], "servers": [{"address": "127.0.0.1:1"}]},
            "settings": site_settings(),
            "state": {"folder": "/nowhere/at/all"},
        }
        config.write_text(toml_file(whole))
        done = run_command("--config", str(config), "run")
        self.assertEqual(done.returncode, 2)
        self.assertIn("setting state.folder: /nowhere/at/all", done.stderr)
        for key, value in (
            ("on_loss", "pray"),
            ("max_mb", 0),
            ("folder", 3),
            ("fodler", "x"),
            ("learned_half_life_s", 0),
        ):
            config.write_text(toml_file(whole | {"state": {"folder": str(self.base)} | {key: value}}))
            done = run_command("check", str(config))
            self.assertEqual(done.returncode, 2)
            self.assertIn(f"setting state.{key}", done.stderr)

    def test_another_folder_at_sighup_needs_a_restart(self):
        program = self.start()
        whole = program.appliance | {"state": {"folder": str(self.base / "other"), "commit_ms": 3}}
        said = program.reload("ajp.toml", toml_file(whole))
        self.assertEqual(said["restart_keys"], ["state.commit_ms", "state.folder"])


class Lean(unittest.TestCase):
    def test_a_worker_without_a_store_loads_nothing_of_it(self):
        program = WorkerProcess()
        self.addCleanup(program.close)
        maps = Path(f"/proc/{program.process.pid}/maps").read_text()
        for library in ("apsw", "msgspec", "xxhash", "sqlite"):
            self.assertNotIn(f"/{library}", maps)
        self.assertEqual(len(os.listdir(f"/proc/{program.process.pid}/task")), 1)
