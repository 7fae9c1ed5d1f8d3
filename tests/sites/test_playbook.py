"""Tests of playbooks: parsing, validation, admission and exchange between workers."""

import unittest
from unittest import mock

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.fleet_description import load as load_fleet
from ochrehoist.plan import playbook as plan_playbook
from ochrehoist.sites import playbook_codec, playbook_text
from ochrehoist.sites.coordinator import SiteCoordinator
from ochrehoist.sites.peer_workers import PeerWorker
from ochrehoist.sites.playbook import PlaybookError
from ochrehoist.sites.playbook_exchange import PlaybookTopic
from ochrehoist.sites.rates import hash_fraction
from tests.sites.site_classes import READ, S
from tests.support.environment import ROOT


class PlaybookTest(unittest.TestCase):
    """The playbook that the planner makes for the example fleet."""

    def setUp(self):
        self.fleet = load_fleet(ROOT / "deploy/fleet.toml")
        self.playbook, self.notes = plan_playbook.make_playbook(self.fleet, 1_796_000_000)
        self.text = playbook_text.render(self.playbook, self.notes)

    def test_the_planners_playbook_is_unchanged_by_rendering_and_by_encoding(self):
        self.assertEqual(playbook_codec.parse(self.text, [c.name for c in self.fleet.classes]), self.playbook)
        self.assertEqual(
            playbook_codec.decode(playbook_codec.encode(self.playbook), {c.name for c in self.fleet.classes}),
            self.playbook,
        )

    def test_all_filings_are_admitted_and_equal_classes_get_equal_shares(self):
        for loss in self.playbook.losses:
            shares = {admission.class_name: admission.share for admission in loss.class_admissions}
            self.assertEqual(shares["filing-submit"], 1.0)
            self.assertEqual(shares["company-read"], shares["extract-refresh"])
            self.assertLess(shares["company-read"], 1.0)

    def test_each_fault_is_reported_with_its_key(self):
        faults = {
            'site = "antwerp"': ('site = "ghent"', "loss[1].site"),
            "carry = ": ("carry = 9", "loss[0].carry"),
            'class = "company-read"': ('class = "no-such"', "loss[0].let_in[0].class"),
            "spread_ms = 2000": ("spread_ms = 0", "loss[0].spread_ms"),
            "steps = [0.1, 0.2": ("steps = [0.2, 0.1", "loss[0].steps"),
            "longest_s = 120": ("longest_s = 0", "loss[0].longest_s"),
            "version = 1": ("version = 7", "version"),
        }
        for valid, (invalid, key) in faults.items():
            with self.subTest(key), self.assertRaises(PlaybookError) as caught:
                playbook_codec.parse(
                    self.text.replace(valid, invalid, 1), [c.name for c in self.fleet.classes]
                )
            self.assertIn(key, str(caught.exception))

    def test_admitting_more_work_than_the_other_sites_can_serve_is_a_fault(self):
        excessive = self.text.replace("share = 0.5", "share = 0.9").replace("share = 0.4", "share = 0.9")
        self.assertNotEqual(excessive, self.text)
        with self.assertRaisesRegex(PlaybookError, r"let_in: .* is let in, and the others carry"):
            playbook_codec.parse(excessive)

    def test_text_that_is_not_a_playbook_is_rejected(self):
        for text in ("", "version = 1", "[[[", 'version = "one"\nmade = 1'):
            with self.subTest(text), self.assertRaises(PlaybookError):
                playbook_codec.parse(text)

    def test_admission_is_by_hash_and_close_to_the_planned_share(self):
        loss = self.playbook.losses[0]
        share = next(
            admission.share for admission in loss.class_admissions if admission.class_name == "company-read"
        )
        admitted = [loss.admits("company-read", False, ("", "company-read", n)) for n in range(2000)]
        self.assertAlmostEqual(sum(admitted) / 2000, share, delta=0.04)
        self.assertTrue(
            all(
                hash_fraction("", "company-read", n) < share
                for n, is_admitted in enumerate(admitted)
                if is_admitted
            )
        )

    def test_a_newer_playbook_is_fetched_from_a_peer_and_kept(self):
        classes = tuple(
            READ.__class__(name=c.name, latency_objective_ns=S, deadline_ns=2 * S) for c in self.fleet.classes
        )
        settings = AdmissionSettings(
            classes=classes, cores=4, memory_kb=1e6, collapse_multiple=8.0, collapse_after_ns=S
        )
        newer, _ = plan_playbook.make_playbook(self.fleet, 1_796_000_009)
        outdated_worker = SiteCoordinator("w0", "brussels", settings, self.playbook, 0.0, False)
        peer = SiteCoordinator("w1", "antwerp", settings, newer, 0.0, False)
        outdated_worker.tick(0.1, [PeerWorker("w1", "antwerp", "alive", 0.1, peer.report(0.1))])
        ((recipient, topic, data),) = outdated_worker.messages_to_send(0.1)
        self.assertEqual((recipient, topic), ("w1", PlaybookTopic.QUERY))
        for reply_topic, reply in peer.message_received(mock.Mock(), topic, data, 0.1):
            outdated_worker.message_received(mock.Mock(), reply_topic, reply, 0.1)
        self.assertEqual(outdated_worker.playbooks.current.digest, newer.digest)
        outdated_worker.configure(settings, self.playbook)  # a reload of the outdated file changes nothing
        self.assertEqual(outdated_worker.playbooks.current.digest, newer.digest)
        outdated_worker.message_received(mock.Mock(), PlaybookTopic.DOCUMENT, b"\x93garbled", 0.3)
        self.assertEqual(outdated_worker.playbooks.current.digest, newer.digest)
