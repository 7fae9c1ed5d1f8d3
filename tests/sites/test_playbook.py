"""Playbooks: read, checked, followed and exchanged."""

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


class ThePlaybook(unittest.TestCase):
    def setUp(self):
        self.fleet = load_fleet(ROOT / "deploy/fleet.toml")
        self.book, self.about = plan_playbook.make_playbook(self.fleet, 1_796_000_000)
        self.text = playbook_text.render(self.book, self.about)

    def test_what_the_planner_writes_can_be_read_and_is_the_same(self):
        self.assertEqual(playbook_codec.parse(self.text, [c.name for c in self.fleet.classes]), self.book)
        self.assertEqual(
            playbook_codec.decode(playbook_codec.encode(self.book), {c.name for c in self.fleet.classes}),
            self.book,
        )

    def test_filings_are_all_let_in_and_those_of_like_worth_alike(self):
        for loss in self.book.losses:
            shares = {x.class_name: x.share for x in loss.class_admissions}
            self.assertEqual(shares["filing-submit"], 1.0)
            self.assertEqual(shares["company-read"], shares["extract-refresh"])
            self.assertLess(shares["company-read"], 1.0)

    def test_each_fault_is_told_by_its_key(self):
        faults = {
            'site = "antwerp"': ('site = "ghent"', "loss[1].site"),
            "carry = ": ("carry = 9", "loss[0].carry"),
            'class = "company-read"': ('class = "no-such"', "loss[0].let_in[0].class"),
            "spread_ms = 2000": ("spread_ms = 0", "loss[0].spread_ms"),
            "steps = [0.1, 0.2": ("steps = [0.2, 0.1", "loss[0].steps"),
            "longest_s = 120": ("longest_s = 0", "loss[0].longest_s"),
            "version = 1": ("version = 7", "version"),
        }
        for old, (new, key) in faults.items():
            with self.subTest(key), self.assertRaises(PlaybookError) as caught:
                playbook_codec.parse(self.text.replace(old, new, 1), [c.name for c in self.fleet.classes])
            self.assertIn(key, str(caught.exception))

    def test_more_than_the_others_carry_is_not_let_in(self):
        more = self.text.replace("share = 0.5", "share = 0.9").replace("share = 0.4", "share = 0.9")
        self.assertNotEqual(more, self.text)
        with self.assertRaisesRegex(PlaybookError, r"let_in: .* is let in, and the others carry"):
            playbook_codec.parse(more)

    def test_text_that_is_no_playbook_is_refused(self):
        for text in ("", "version = 1", "[[[", 'version = "one"\nmade = 1'):
            with self.subTest(text), self.assertRaises(PlaybookError):
                playbook_codec.parse(text)

    def test_the_same_calls_are_let_in_everywhere_and_about_the_share_that_is_said(self):
        loss = self.book.losses[0]
        share = next(x.share for x in loss.class_admissions if x.class_name == "company-read")
        lets = [loss.admits("company-read", False, ("", "company-read", n)) for n in range(2000)]
        self.assertAlmostEqual(sum(lets) / 2000, share, delta=0.04)
        self.assertTrue(
            all(hash_fraction("", "company-read", n) < share for n, let in enumerate(lets) if let)
        )

    def test_the_younger_of_two_counts_and_comes_from_another_worker(self):
        classes = tuple(
            READ.__class__(name=c.name, latency_objective_ns=S, deadline_ns=2 * S) for c in self.fleet.classes
        )
        settings = AdmissionSettings(
            classes=classes, cores=4, memory_kb=1e6, collapse_multiple=8.0, collapse_after_ns=S
        )
        younger, _ = plan_playbook.make_playbook(self.fleet, 1_796_000_009)
        a = SiteCoordinator("w0", "brussels", settings, self.book, 0.0, False)
        b = SiteCoordinator("w1", "antwerp", settings, younger, 0.0, False)
        a.tick(0.1, [PeerWorker("w1", "antwerp", "alive", 0.1, b.report(0.1))])
        ((to, topic, data),) = a.messages_to_send(0.1)
        self.assertEqual((to, topic), ("w1", PlaybookTopic.QUERY))
        for answer_topic, answer in b.message_received(mock.Mock(), topic, data, 0.1):
            a.message_received(mock.Mock(), answer_topic, answer, 0.1)
        self.assertEqual(a.playbooks.current.digest, younger.digest)
        a.configure(settings, self.book)  # its file is read again, and is as old as ever
        self.assertEqual(a.playbooks.current.digest, younger.digest)
        a.message_received(mock.Mock(), PlaybookTopic.DOCUMENT, b"\x93garbled", 0.3)
        self.assertEqual(a.playbooks.current.digest, younger.digest)
