"""Workers in two and three sites with faults between them: short forms of the lab's scenarios.

No verdict rests on how fast this machine is: rules, bounds, and ratios to the same run's quiet part.
"""

import json
import logging
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from ochrehoist.lab.scenario import parse
from ochrehoist.lab.scenario_runner import ScenarioRun
from ochrehoist.net.operator_server import call_operator_api
from tests.support.environment import ROOT
from tests.support.worker_cases import WorkerTestCase
from tests.support.worker_process import run_command

logging.getLogger("asyncio").setLevel(logging.CRITICAL)
TWO = {"brussels": ["w0", "w1", "w2"], "antwerp": ["w3", "w4", "w5"]}
CLASSES = [
    {"name": "read", "share": 0.8, "work_ms": 200},
    {"name": "filing", "share": 0.2, "work_ms": 200, "worth": 3, "keyed": True},
]


def play(faults, seed=1, sites=TWO, load=0.4, **changes):
    count = sum(map(len, sites.values()))
    values = {
        "name": "t",
        "seconds": 12.0,
        "workers": count,
        "sites": sites,
        "classes": CLASSES,
        "load": {"rate": load * count * 4 / 0.2},
        "tables": {"sites": {}},
        "faults": faults,
        "services": {"shared": 0, "cores": 4, "cold_from": 0.3, "cold_s": 3.0},
        "balancer": {"choice": "weighted", "check_s": 0.2, "redispatch": True},
    }
    return ScenarioRun(parse(values | changes), seed).run()


class SiteFaultsTest(unittest.TestCase):
    """Scenarios of several sites with faults between them."""

    def test_a_lost_site_is_recognised_and_returns_in_stages(self):
        # On a busy machine the killed workers take up to 4 s to start, and then need time for a stage.
        v = play([{"at": 7.0, "kind": "kill", "who": ["antwerp"], "lasts": 4.0}], seconds=22.0)
        self.assertEqual(v["broken"], [])
        self.assertLessEqual(
            {"w0", "w1", "w2"},
            {w for _, w, site, state, _ in v["known"] if (site, state) == ("antwerp", "lost")},
            v["known"],
        )
        self.assertGreater(v["goodput"]["faults"]["filing"], 0.9 * v["goodput"]["quiet"]["filing"])
        parts = {n: [w for at, name, w in v["weights"] if name == n and at > 10.9] for n in TWO["antwerp"]}
        self.assertTrue(all(min(p) < 50 for p in parts.values()), v["weights"])  # each asks for little first
        self.assertTrue(any(max(p) > min(p) for p in parts.values()), v["weights"])

    def test_where_only_the_link_between_them_is_cut_no_site_is_called_lost(self):
        v = play([{"at": 4.0, "kind": "cut", "who": ["antwerp"], "lasts": 5.0}])
        self.assertEqual(v["broken"], [])
        self.assertEqual([x for x in v["known"] if x[3] == "lost"], [])
        self.assertGreater(len([x for x in v["known"] if x[3] in ("cut", "unheard")]), 0)
        self.assertGreater(v["goodput"]["faults"]["all"], 0.9 * v["goodput"]["quiet"]["all"])

    def test_two_sites_that_return_together_never_advance_a_stage_at_once(self):
        sites = {"brussels": ["w0", "w1"], "antwerp": ["w2", "w3"], "ghent": ["w4", "w5"]}
        v = play(
            [{"at": 4.0, "kind": "kill", "who": ["antwerp", "ghent"], "lasts": 1.5}],
            sites=sites,
            seconds=13.0,
        )
        self.assertEqual(v["broken"], [])  # of which steps at once are one
        self.assertGreater(len(v["stepped"]), 0)

    def test_operators_evacuate_a_site_though_one_worker_misses_the_command_and_let_it_return(self):
        v = play(
            [
                {"at": 2.0, "kind": "cut", "who": ["w5"], "lasts": 2.0},
                {"at": 2.5, "kind": "call", "who": ["w3"], "path": "/sites/evacuate/antwerp"},
                {"at": 8.0, "kind": "call", "who": ["w0"], "path": "/sites/return/antwerp"},
            ],
            seconds=14.0,
        )
        self.assertEqual(v["broken"], [])
        for worker in TWO["antwerp"]:
            mine = [(at, w) for at, name, w in v["weights"] if name == worker]
            self.assertLess(min(w for at, w in mine if at < 8.0), 100, v["weights"])
            self.assertEqual(v["told_at_end"][worker]["sites"]["leaving"], None)
        self.assertGreater(v["goodput"]["faults"]["all"], 0.9 * v["goodput"]["quiet"]["all"])
        self.assertTrue(all("order" in text for _, _, text in v["told"]), v["told"])


class OneSiteWorkerTest(WorkerTestCase):
    """One worker with or without the table of sites."""

    def worker(self, sites, **peers):
        table = {
            "listen": "127.0.0.1:0",
            "group": "g",
            "secrets": ["sixteen characters"],
            "site": "a",
            "voters": ["n1"],
        } | peers
        return self.start(thrift=False, ajp=True, peers=table, sites=sites)

    def test_nothing_of_it_is_loaded_without_its_table(self):
        code = (
            "import sys, ochrehoist.app.worker, ochrehoist.net.peers, ochrehoist.net.ajp_front; "
            "print([m for m in sys.modules if 'sites' in m])"
        )
        done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)

    def test_a_file_that_cannot_hold_is_refused_by_its_key(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        base = (ROOT / "deploy/sites.toml").read_text()
        for old, new, key in (
            ("\n[sites]\n", "\n[sites]\nno_such_key = 1\n", "sites.no_such_key"),
            ('site = "brussels"', 'site = "ghent"', "sites.site"),
            ('playbook = "', 'playbook = "no-such-', "sites.playbook"),
            ('fleet = "', 'fleet = "no-such-', "sites.fleet"),
        ):
            with self.subTest(key):
                self.assertIn(old, base)
                file = folder / "s.toml"
                file.write_text(base.replace(old, new))
                done = run_command("check", str(file))
                self.assertEqual((done.returncode, key in done.stderr), (2, True), done.stderr)
        file.write_text(base)
        self.assertEqual(run_command("check", str(file)).returncode, 0)

    def test_operators_see_sites_and_call_by_name(self):
        p = self.worker({})
        for site, yes in (("nowhere", False), ("a", True)):
            good, text = call_operator_api(p.addresses["Operators"], "POST", f"/sites/evacuate/{site}")
            self.assertEqual(good, yes, text)
        _, body = call_operator_api(p.addresses["Operators"], "GET", "/status")
        view = json.loads(body)["sites"]
        self.assertEqual((view["site"], view["orders"]["a"]["word"]), ("a", "evacuate"))
        self.assertIsNone(view["leaving"])  # nobody else is there: it goes on
