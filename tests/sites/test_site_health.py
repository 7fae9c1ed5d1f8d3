"""When a site counts as lost, cut off, away or thin."""

import unittest
from unittest import mock

from ochrehoist.sites.site_health import LoadSample, SiteHealthTracker, SiteMembership, SiteState


class SiteHealthTest(unittest.TestCase):
    """Two sites of three unless said otherwise; 30 first tries a second are usual."""

    def setUp(self):
        self.tracker, self.now = SiteHealthTracker(), 0.0

    def tick(self, seconds, seen, load=1.0, own=3, usual=30.0):
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now += 0.1
            self.tracker.tick(self.now, seen, own, LoadSample(load * 3.0, usual, 0.1))
        return {n: s.state for n, s in self.tracker.sites.items()}

    GONE, HERE = SiteMembership(3, 0), SiteMembership(3, 3)

    def test_a_silent_site_whose_load_comes_here_is_lost(self):
        self.tick(2, {"b": self.HERE})
        self.assertEqual(self.tick(0.4, {"b": self.GONE}, 2.0), {"b": SiteState.UP})
        self.assertEqual(self.tick(1.5, {"b": self.GONE}, 2.0), {"b": SiteState.LOST})
        self.assertEqual(
            self.tick(1, {"b": SiteMembership(3, 1, returning=1)}, 2.0), {"b": SiteState.RETURNING}
        )
        self.assertEqual(self.tick(1, {"b": self.HERE}, 1.0), {"b": SiteState.UP})

    def test_a_silent_site_whose_load_does_not_come_here_is_cut_off_for_as_long_as_that_lasts(self):
        self.assertEqual(self.tick(20, {"b": self.GONE}, 1.0), {"b": SiteState.PARTITIONED})
        self.assertEqual(self.tick(20, {"b": self.GONE}, 1.3), {"b": SiteState.PARTITIONED})  # a busy minute
        self.assertEqual(self.tick(4, {"b": self.GONE}, 2.0), {"b": SiteState.LOST})  # it died after the cut
        self.assertEqual(
            self.tick(4, {"b": self.GONE}, 1.0), {"b": SiteState.PARTITIONED}
        )  # its callers reach it again

    def test_where_the_usual_load_is_not_known_nothing_is_called_lost(self):
        self.assertEqual(self.tick(20, {"b": self.GONE}, 2.0, usual=None), {"b": SiteState.SILENT})

    def test_a_third_site_that_receives_from_it_proves_a_partition(self):
        seen = {"b": SiteMembership(3, 0, third_site_states=[SiteState.UP]), "c": self.HERE}
        self.assertEqual(self.tick(0.7, seen, 1.2)["b"], SiteState.PARTITIONED)

    def test_the_evidence_of_the_others_counts_with_ones_own(self):
        alone = self.tick(0.8, {"b": self.GONE}, 1.7)
        self.setUp()
        together = self.tick(0.8, {"b": SiteMembership(3, 0, evidence=6.0)}, 1.7)
        self.assertEqual((alone["b"], together["b"]), (SiteState.SILENT, SiteState.LOST))

    def test_an_isolated_worker_does_not_take_its_own_partition_for_a_loss(self):
        seen = {"b": self.GONE, "c": self.GONE}
        self.assertEqual(set(self.tick(10, seen, 1.0).values()), {SiteState.PARTITIONED})
        self.assertIsNotNone(self.tracker.isolated_since)

    def test_one_that_left_on_purpose_is_away_and_a_dead_worker_makes_a_site_thin(self):
        self.assertEqual(self.tick(2, {"b": SiteMembership(3, 0, left=3)}, 2.0), {"b": SiteState.AWAY})
        self.assertEqual(self.tick(2, {"b": SiteMembership(3, 1)}, 1.5), {"b": SiteState.DEGRADED})

    def test_one_that_is_lost_again_and_again_is_asked_to_wait_longer_each_time(self):
        waits = []
        for _ in range(3):
            self.tick(4, {"b": self.GONE}, 2.0)
            self.tick(0.2, {"b": SiteMembership(3, 3, returning=3)}, 1.0)
            waits.append(self.tracker.requested_wait_s("b", self.now))
            self.tick(3, {"b": self.HERE}, 1.0)
        self.assertEqual(waits[0], 0.0)
        self.assertLess(0.5, waits[1])
        self.assertLess(1.5 * waits[1], waits[2])

    def test_without_the_load_a_cut_would_be_called_a_loss(self):
        with mock.patch.object(LoadSample, "evidence", lambda self, increase: 5.0):
            self.assertEqual(self.tick(20, {"b": self.GONE}, 1.0), {"b": SiteState.LOST})
