"""Tests of site health: when a site counts as lost, partitioned, away or degraded."""

import unittest
from unittest import mock

from ochrehoist.sites.site_health import LoadSample, SiteHealthTracker, SiteMembership, SiteState


class SiteHealthTest(unittest.TestCase):
    """A worker's view of other sites; sites have three workers, and 30 first attempts/s are usual."""

    def setUp(self):
        self.tracker, self.now = SiteHealthTracker(), 0.0

    def tick(self, duration_s, memberships, load=1.0, own_workers=3, usual_rate=30.0):
        """Ticks every 0.1 s with `load` times 30 first attempts/s, and returns the state of each site."""
        end = self.now + duration_s
        while self.now < end - 1e-9:
            self.now += 0.1
            self.tracker.tick(self.now, memberships, own_workers, LoadSample(load * 3.0, usual_rate, 0.1))
        return {site: health.state for site, health in self.tracker.sites.items()}

    ALL_DEAD, ALL_ALIVE = SiteMembership(3, 0), SiteMembership(3, 3)

    def test_a_silent_site_whose_load_arrives_here_is_lost(self):
        self.tick(2, {"b": self.ALL_ALIVE})
        self.assertEqual(self.tick(0.4, {"b": self.ALL_DEAD}, 2.0), {"b": SiteState.UP})
        self.assertEqual(self.tick(1.5, {"b": self.ALL_DEAD}, 2.0), {"b": SiteState.LOST})
        self.assertEqual(
            self.tick(1, {"b": SiteMembership(3, 1, returning_count=1)}, 2.0), {"b": SiteState.RETURNING}
        )
        self.assertEqual(self.tick(1, {"b": self.ALL_ALIVE}, 1.0), {"b": SiteState.UP})

    def test_a_silent_site_whose_load_does_not_arrive_here_is_partitioned_until_it_does(self):
        self.assertEqual(self.tick(20, {"b": self.ALL_DEAD}, 1.0), {"b": SiteState.PARTITIONED})
        # A moderate increase of the usual load is no evidence of a loss.
        self.assertEqual(self.tick(20, {"b": self.ALL_DEAD}, 1.3), {"b": SiteState.PARTITIONED})
        # The site fails during the partition.
        self.assertEqual(self.tick(4, {"b": self.ALL_DEAD}, 2.0), {"b": SiteState.LOST})
        # Its callers reach it again, but this worker does not.
        self.assertEqual(self.tick(4, {"b": self.ALL_DEAD}, 1.0), {"b": SiteState.PARTITIONED})

    def test_no_site_is_lost_while_the_usual_load_is_unknown(self):
        self.assertEqual(self.tick(20, {"b": self.ALL_DEAD}, 2.0, usual_rate=None), {"b": SiteState.SILENT})

    def test_a_third_site_that_receives_from_it_proves_a_partition(self):
        memberships = {"b": SiteMembership(3, 0, third_site_states=[SiteState.UP]), "c": self.ALL_ALIVE}
        self.assertEqual(self.tick(0.7, memberships, 1.2)["b"], SiteState.PARTITIONED)

    def test_the_evidence_of_other_workers_is_added(self):
        states_alone = self.tick(0.8, {"b": self.ALL_DEAD}, 1.7)
        self.setUp()
        states_together = self.tick(0.8, {"b": SiteMembership(3, 0, evidence=6.0)}, 1.7)
        self.assertEqual((states_alone["b"], states_together["b"]), (SiteState.SILENT, SiteState.LOST))

    def test_an_isolated_worker_does_not_take_its_own_partition_for_a_loss(self):
        memberships = {"b": self.ALL_DEAD, "c": self.ALL_DEAD}
        self.assertEqual(set(self.tick(10, memberships, 1.0).values()), {SiteState.PARTITIONED})
        self.assertIsNotNone(self.tracker.isolated_since)

    def test_a_gracefully_stopped_site_is_away_and_one_with_dead_workers_is_degraded(self):
        self.assertEqual(self.tick(2, {"b": SiteMembership(3, 0, left_count=3)}, 2.0), {"b": SiteState.AWAY})
        self.assertEqual(self.tick(2, {"b": SiteMembership(3, 1)}, 1.5), {"b": SiteState.DEGRADED})

    def test_a_repeatedly_lost_site_is_asked_to_wait_longer_each_time(self):
        waits_s = []
        for _ in range(3):
            self.tick(4, {"b": self.ALL_DEAD}, 2.0)
            self.tick(0.2, {"b": SiteMembership(3, 3, returning_count=3)}, 1.0)
            waits_s.append(self.tracker.requested_wait_s("b", self.now))
            self.tick(3, {"b": self.ALL_ALIVE}, 1.0)
        self.assertEqual(waits_s[0], 0.0)
        self.assertLess(0.5, waits_s[1])
        self.assertLess(1.5 * waits_s[1], waits_s[2])

    def test_without_evidence_from_the_load_a_partition_would_count_as_a_loss(self):
        with mock.patch.object(LoadSample, "evidence", lambda self, increase: 5.0):
            self.assertEqual(self.tick(20, {"b": self.ALL_DEAD}, 1.0), {"b": SiteState.LOST})
