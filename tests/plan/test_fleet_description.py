"""Descriptions of fleets: parsed, and each fault named."""

import unittest

from ochrehoist.config.fleet_description import FleetDescriptionError, parse
from tests.plan.example_fleet import EXAMPLE, fleet


class Description(unittest.TestCase):
    def test_the_example_is_placed_by_network_and_address(self):
        f = parse(EXAMPLE)
        self.assertEqual((len(f.placed_workers), len(f.placed_routers)), (14, 5))
        sites = {r.address: r.site for r in (*f.placed_workers, *f.placed_routers)}
        self.assertEqual((sites["192.0.2.7"], sites["10.2.1.13"]), ("brussels", "antwerp"))

    def test_each_fault_is_named_by_its_key(self):
        for path, value, said in (
            ("kinds__0__cores", 0, "kinds[0].cores"),
            ("load__rate", "many", "load.rate"),
            ("load__zopf", 1, "load.zopf"),
            ("classes__0__share", 0.9, "classes: the shares make"),
            ("classes__0__aim_ms", 9e9, "classes[0]: aim_ms is past deadline_ms"),
            ("classes__2__window_ms", 0, "classes[2]: window_ms: missing"),
            ("workers__0__kind", "huge", "workers[0].kind: no kind 'huge'"),
            ("workers__0__addresses", ["172.16.0.1"], "workers[0].addresses: 172.16.0.1 lies in no site"),
            ("workers__0__addresses", ["10.1.0.9-10.1.0.1"], "workers[0].addresses: '10.1.0.9-10.1.0.1'"),
            ("routers__0__addresses", ["10.1.0.1"], "10.1.0.1 stands for two"),
            ("sites__1__networks", ["10.1.128.0/17"], "both hold 10.1.128.0/17"),
            ("sites__0__networks", ["10.1.0/40"], "sites[0].networks"),
            ("kinds__0__speed", [2.0, 1.0], "kinds[0].speed"),
        ):
            with self.subTest(path=path, value=value), self.assertRaises(FleetDescriptionError) as raised:
                fleet(**{path: value})
            self.assertIn(said, str(raised.exception))

    def test_all_faults_come_at_once(self):
        with self.assertRaises(FleetDescriptionError) as raised:
            fleet(load__rate=-1, kinds__0__cores=0, clients__heed=3)
        self.assertEqual(len(str(raised.exception).splitlines()), 3)
