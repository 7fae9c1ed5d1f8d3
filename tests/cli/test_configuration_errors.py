"""Configuration from the command line: what is wrong is named, and the program ends with 2."""

import json
import tempfile
import tomllib
import unittest
from pathlib import Path

from ochrehoist.lab.toml import toml_file
from tests.support.environment import ROOT
from tests.support.site_settings import site_settings
from tests.support.worker_process import run_command


class ConfigurationErrorsTest(unittest.TestCase):
    """Faults of each file, named by their key."""

    def check(self, content, name):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, name)
            path.write_text(content)
            return run_command("check", str(path))

    def test_the_file_in_deploy_is_good_and_an_appliance(self):
        done = run_command("check", "deploy/ajp.toml")
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        self.assertIn("fronts: AJP", done.stdout)

    def test_a_fault_in_the_appliances_file_is_named(self):
        whole = tomllib.loads((ROOT / "deploy" / "ajp.toml").read_text())
        for named, change in (
            ("setting ajp.listen", {"ajp": {"listen": "0.0.0.0:8009"}}),
            ("setting ajp.listen", {"ajp": {"listen": "127.0.0.1"}}),
            ("setting ajp.listen", {"ajp": {"listen": None}}),
            ("setting ajp.packet_size", {"ajp": {"packet_size": 100}}),
            ("setting ajp.servers[0].address", {"ajp": {"servers": [{"address": "192.0.2.1:8009"}]}}),
            ("setting ajp.servers", {"ajp": {"servers": []}}),
            ("setting ajp.rules[0].class", {"ajp": {"rules": [{"uri": "/", "class": "none"}]}}),
            ("setting ajp.rules[0].uri", {"ajp": {"rules": [{"uri": "a", "class": "company-read"}]}}),
            ("setting ajp.headers.key", {"ajp": {"headers": {"key": "no header"}}}),
            ("setting ajp.default_tenant", {"ajp": {"default_tenant": "who"}}),
            ("setting ajp.secrte", {"ajp": {"secrte": "misspelt"}}),
            ("setting limits.memory", {"limits": {"memory": 1}}),
            ("setting admin", {"admin": "192.0.2.1:80"}),
            ("setting console.agent_check", {"console": {"agent_check": "192.0.2.1:80"}}),
            ("setting FleetSize", {"settings": {"FleetSize": 0}}),
            ("setting stop_ms", {"stop_ms": "soon"}),
        ):
            with self.subTest(named):
                ((part, values),) = change.items()
                if isinstance(values, dict):
                    values = {k: v for k, v in (whole[part] | values).items() if v is not None}
                parts = whole | {part: values}
                done = self.check(toml_file(parts), "a.toml")
                self.assertEqual(done.returncode, 2)
                self.assertIn(named, done.stderr)

    def test_a_fault_in_the_platforms_file_is_named(self):
        whole = {
            "name": "n",
            "listen": "127.0.0.1:1",
            "kernel": "127.0.0.1:2",
            "seed": "f",
            "settings": site_settings(),
        }
        self.assertEqual(self.check(json.dumps(whole), "a.json").returncode, 0)
        for named, change in (
            ("kernel", {"kernel": None}),
            ("seed", {"seed": "xyz"}),
            ("listen", {"listen": "a:b"}),
            ("settings", {"settings": None}),
            ("limits.sockets", {"limits": {"sockets": 1}}),
            ("Rules.Cold", {"settings": site_settings(Rules={})}),
        ):
            with self.subTest(named):
                done = self.check(json.dumps(whole | change), "a.json")
                self.assertEqual(done.returncode, 2)
                self.assertIn(f"setting {named}", done.stderr)
        self.assertEqual(self.check("{", "a.json").returncode, 2)


if __name__ == "__main__":
    unittest.main()
