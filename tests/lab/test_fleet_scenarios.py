"""Several processes of the program with faults between them, judged from outside: short forms of the
laboratory's plays. No verdict rests on how fast this machine is: rules, bounds, and ratios to the same
play's quiet part."""

import json
import logging
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from ochrehoist.lab.goodput import retry_times
from ochrehoist.lab.scenario import parse
from ochrehoist.lab.scenario_runner import ScenarioRun
from ochrehoist.lab.toml import toml_file
from ochrehoist.peers.outlier_detection import OWN_REASON_SUFFIX
from ochrehoist.peers.service_health import UNHEALTHY
from tests.support.environment import ROOT
from tests.support.site_settings import site_settings
from tests.support.worker_process import WorkerProcess, run_command

logging.getLogger("asyncio").setLevel(logging.CRITICAL)
WORKERS = ["w0", "w1", "w2", "w3", "w4"]
AGAIN = {"name": "again", "use": "repeats", "amount": 8, "floor_lease_s": 1.0}
REGISTER = {"name": "register", "use": "server", "of": "s1", "amount": 10, "floor_lease_s": 1.0}
CUTS = {"at": 0.5, "kind": "cuts", "who": ["s0"], "lasts": 6.0}


def has_unused_budget(deployment):
    """Whether a budget was not used yet. As long, s0 goes on cutting, so that there is something to retry."""
    unused = not (retry_times(deployment.runs) and deployment.services["s1"].peak_count)
    deployment.services["s0"].set_cutting(unused)
    return unused


def play(faults, seed=1, **changes):
    values = {
        "name": "t",
        "seconds": 7.0,
        "load": {"rate": 40.0},
        "budgets": [AGAIN, REGISTER],
        "faults": faults,
    }
    scenario = parse(values | changes)
    if not scenario.budgets:
        return ScenarioRun(scenario, seed).run()
    # Where a machine is so slow that leases lapse between renewals, the first retries are all denied.
    return ScenarioRun(scenario, seed, prolongs=has_unused_budget).run()


class Faults(unittest.TestCase):
    def keeps(self, v):
        self.assertEqual(v["broken"], [])
        for b in v["budgets"].values():
            self.assertGreater(b["most"], 0)
        return v

    def test_a_part_cut_off_a_death_and_messages_that_come_twice_or_never(self):
        v = self.keeps(
            play(
                [
                    CUTS,
                    {
                        "at": 0.5,
                        "kind": "weather",
                        "who": WORKERS,
                        "to": WORKERS,
                        "lasts": 6.0,
                        "amount": 0.2,
                        "repeat": 0.5,
                    },
                    {"at": 1.5, "kind": "cut", "who": ["w4"], "lasts": 2.5},
                    {"at": 2.0, "kind": "kill", "who": ["w1"], "lasts": 0.5},
                ]
            )
        )
        self.assertGreater(v["repeats"], 0)

    def test_one_stopped_past_its_lease_and_a_budget_halved_meanwhile(self):
        self.keeps(
            play(
                [
                    CUTS,
                    {"at": 1.5, "kind": "pause", "who": ["w2"], "lasts": 3.0},
                    {"at": 2.0, "kind": "reload", "who": ["w0", "w1", "w3", "w4"], "amount": 4},
                    {"at": 5.0, "kind": "reload", "who": ["w2"], "amount": 4},
                ]
            )
        )

    def test_a_second_process_of_a_name_and_wrong_clocks(self):
        v = self.keeps(
            play(
                [
                    CUTS,
                    {"at": 1.0, "kind": "twin", "who": ["w2"], "lasts": 4.0},
                    {"at": 1.5, "kind": "kill", "who": ["w0"], "lasts": 0.0, "amount": -3600.0},
                    {"at": 2.0, "kind": "kill", "who": ["w1"], "lasts": 0.0, "amount": 3600.0},
                ]
            )
        )
        self.assertEqual(v["final"]["w3"]["members"]["w0"]["state"], "alive")

    def test_equal_halves_and_what_was_held_comes_all_at_once(self):
        v = self.keeps(
            play(
                [
                    CUTS,
                    {"at": 1.5, "kind": "hold", "who": ["w0", "w1"], "lasts": 2.0},
                    {"at": 4.0, "kind": "cut", "who": ["w0", "w1", "w2"], "lasts": 1.5},
                ],
                workers=6,
                seconds=8.0,
            )
        )
        self.assertEqual(sum(f["budgets"]["again"]["held"] for f in v["final"].values()), 8)

    def left_out(self, v, service, until):
        """s for which each worker left a service out."""
        spans = dict.fromkeys(WORKERS, 0.0)
        since = {}
        for at, w, s, standing, _ in [*v["judged"], *((until, w, service, "end", "") for w in WORKERS)]:
            if s == service:
                if w in since and standing != "out":
                    spans[w] += at - since.pop(w)
                elif standing == "out":
                    since.setdefault(w, at)
        return spans

    def test_a_slow_service_is_left_by_all_and_one_that_is_slow_for_one_by_one(self):
        # Work of 100 ms: what a crowded machine adds to a run is then no five times its usual.
        how = {
            "budgets": [],
            "load": {"rate": 60.0},
            "seconds": 11.5,
            "classes": [{"name": "read", "share": 1.0, "work_ms": 100}],
        }
        v = play([{"at": 7.0, "kind": "slow", "who": ["s2"], "lasts": 4.5, "amount": 30.0}], **how)
        self.assertEqual(v["broken"], [])
        bad, well = self.left_out(v, "s2", 11.5), self.left_out(v, "s0", 11.5)
        self.assertGreaterEqual(sum(bad[w] > well[w] for w in WORKERS), 3, v["judged"])
        runs = [sum(by.get(s, 0) for by in v["runs_in_faults"].values()) for s in ("s0", "s1", "s2")]
        self.assertLess(runs[2], 0.6 * (runs[0] + runs[1]) / 2)

        v = play(
            [
                {
                    "at": 7.0,
                    "kind": "delay",
                    "who": ["w1"],
                    "to": ["s1"],
                    "links": "servers",
                    "lasts": 4.5,
                    "amount": 3.0,
                }
            ],
            **how,
        )
        self.assertEqual(v["broken"], [])
        # Left by the one whose link is bad, and by nobody else on its word alone, however crowded this is.
        mine = v["runs_in_faults"]["w1"]
        self.assertLess(mine.get("s1", 0), 0.6 * (mine.get("s0", 0) + mine.get("s2", 0)) / 2, v["judged"])
        for _, worker, server, standing, why in v["judged"]:
            if (
                (server, standing) == ("s1", "out")
                and worker != "w1"
                and not why.endswith(OWN_REASON_SUFFIX)
                and not why.startswith("trial")
            ):
                self.assertGreaterEqual(sum(why.count(f":{bad}") for bad in UNHEALTHY), 2, why)

    def test_a_garbling_peer_and_a_flood_change_nothing(self):
        v = self.keeps(
            play(
                [
                    CUTS,
                    {"at": 1.0, "kind": "garble", "who": ["w0", "w1"], "lasts": 2.0},
                    {"at": 1.0, "kind": "flood", "who": ["w0"], "lasts": 2.0},
                    {"at": 1.0, "kind": "replay", "who": ["w1"], "lasts": 2.0},
                ]
            )
        )
        self.assertGreater(v["final"]["w0"]["rejected"]["garbled"], 0)
        self.assertGreater(v["final"]["w0"]["messages"]["greeting"], 0)
        self.assertGreater(v["final"]["w1"]["messages"]["repeated"], 0)
        self.assertNotIn("w99", v["final"]["w0"]["members"])


class OneWorker(unittest.TestCase):
    """What the file switches on, and what a worker says of it."""

    def worker(self, peers=None, **more):
        p = WorkerProcess(thrift=False, ajp=True, peers=peers, **more)
        self.addCleanup(p.close)
        return p

    def table(self, **changes):
        return {"listen": "127.0.0.1:0", "group": "g", "secrets": ["sixteen characters"]} | changes

    def test_nothing_of_it_is_loaded_without_its_table(self):
        code = (
            "import sys, ochrehoist.app.worker, ochrehoist.net.ajp_front; "
            "print([m for m in sys.modules if 'peers' in m or 'lab' in m.split('.') or m == 'msgspec'])"
        )
        done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), "[]", done.stderr)

    def test_the_command_tells_what_there_is(self):
        p = self.worker(self.table(members={"n2": "127.0.0.1:9"}))
        shown = p.run_operator_command("peers", "show")
        self.assertEqual((shown.returncode, shown.stderr), (0, ""))
        self.assertIn("n1 of group g", shown.stdout)
        plain = json.loads(p.run_operator_command("peers", "show", "--json").stdout)
        self.assertEqual(plain["name"], "n1")
        self.assertIn("app_peers_alone_seconds", p.operator_call(path="/status/metrics")[1])
        self.assertEqual(self.worker().run_operator_command("peers", "show").returncode, 1)

    def test_faulty_keys_are_named(self):
        budget = {"name": "x", "use": "tenant", "of": "acme", "amount": 5}
        for changes, key in (
            ({"secrets": ["short"]}, "peers.secrets"),
            ({"listen": "8.8.8.8:1"}, "peers.listen"),
            ({"budgets": [budget]}, "peers.voters"),
            ({"voters": ["n9"]}, "peers.voters"),
            ({"voters": ["n1"], "budgets": [budget | {"of": "nobody"}]}, r"peers.budgets\[0\].of"),
            ({"voters": ["n1"], "budgets": [budget, budget]}, "peers.budgets"),
            (
                {"voters": ["n1"], "budgets": [budget | {"use": "server", "of": "s"}]},
                r"peers.budgets\[0\].of",
            ),
            ({"most_out": 1.0}, "peers.most_out"),
            ({"members": {"n2": "nowhere"}}, "peers.members.n2"),
            ({"start": ["nowhere"]}, "peers.start"),
            ({"unknown": 1}, "peers.unknown"),
        ):
            with self.subTest(key):
                self.assertRegex(self.refused(self.table(**changes)), key)

    def refused(self, table):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder, "x.toml")
        path.write_text(
            toml_file(
                {
                    "name": "n1",
                    "peers": table,
                    "settings": site_settings(),
                    "ajp": {"listen": "127.0.0.1:0", "rules": [], "servers": [{"address": "127.0.0.1:9"}]},
                }
            )
        )
        done = run_command("check", str(path))
        self.assertEqual(done.returncode, 2, done.stdout)
        return done.stderr

    def test_a_secret_is_changed_by_two_steps_and_voters_one_at_a_time(self):
        p = self.worker(self.table(members={"n2": "127.0.0.1:9", "n3": "127.0.0.1:8"}, voters=["n1"]))

        def reloaded(event="config_reloaded", **changes):
            whole = p.appliance | {"peers": p.appliance["peers"] | changes}
            return p.reload("ajp.toml", toml_file(whole), event)

        self.assertEqual(reloaded(secrets=["sixteen characters", "the secret to come"])["restart_keys"], [])
        self.assertEqual(reloaded(voters=["n1", "n2"])["restart_keys"], [])
        said = reloaded("config_invalid", voters=["n3"])
        self.assertIn("peers.voters", said["reason"])

    def test_a_process_that_replaces_another_is_the_same_member(self):
        first = self.worker(self.table(), stop_ms=8000)
        second = WorkerProcess(thrift=False, ajp=True, peers=self.table(), before=first, server=first.server)
        self.addCleanup(second.close)
        second.wait_until_took_over()
        first.process.terminate()
        self.assertEqual(first.wait_for_exit(), 0)
        self.assertIsNone(json.loads(second.operator_call()[1])["peers"]["duplicate"])
