"""What decides about sites, without I/O: order, threshold, health, ramps, commands, playbooks; and all
together on virtual time. Each guard has a check that is red without it."""

import math
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings as limits
from hypothesis import strategies as st

from ochrehoist.admission.settings import AdmissionSettings, Idempotency, RequestClass, Tenant
from ochrehoist.config.fleet_description import load as load_fleet
from ochrehoist.core.tenants import initial_table
from ochrehoist.lab.virtual.site_fault_sweep import check_seed
from ochrehoist.lab.virtual.site_measurements import goodput, interleaved_steps
from ochrehoist.lab.virtual.site_world import SiteWorld
from ochrehoist.plan import playbook as plan_playbook
from ochrehoist.sites import playbook_codec, playbook_text, site_report
from ochrehoist.sites.admission_gate import AdmissionGate
from ochrehoist.sites.admission_threshold import TICK_INTERVAL_S, AdmissionThreshold
from ochrehoist.sites.coordinator import SiteCoordinator
from ochrehoist.sites.evacuation_ramp import EvacuationRamp
from ochrehoist.sites.operator_commands import DURATION_S, CommandKind, OperatorCommands
from ochrehoist.sites.peer_workers import PeerBaseline, PeerWorker
from ochrehoist.sites.playbook import PlaybookError
from ochrehoist.sites.playbook_exchange import PlaybookTopic
from ochrehoist.sites.rates import hash_fraction
from ochrehoist.sites.recovery_ramp import DEFAULT_STAGES, MIN_STAGE_S, RampCause, RampInputs, RecoveryRamp
from ochrehoist.sites.shedding_order import FleetAverages, SheddingOrder
from ochrehoist.sites.site_health import LoadSample, SiteHealthTracker, SiteMembership, SiteState
from ochrehoist.sites.site_report import CommandEntry, SiteReport
from ochrehoist.sites.step_lease import StepArbiter, StepPermission
from tests.support.environment import ROOT

S = 1_000_000_000
READ = RequestClass(
    name="read", latency_objective_ns=2 * S, deadline_ns=5 * S, idempotency=Idempotency.IDEMPOTENT
)
REFRESH = RequestClass(
    name="refresh", latency_objective_ns=2 * S, deadline_ns=5 * S, idempotency=Idempotency.IDEMPOTENT
)
FILING = RequestClass(
    name="filing",
    latency_objective_ns=2 * S,
    deadline_ns=5 * S,
    priority_weight=0.5,
    idempotency=Idempotency.KEYED,
    idempotency_window_ns=20 * S,
)


def make_order(costs=(0.1, 0.1, 0.1), quota=None, rate=0.0):
    tenants = (Tenant("acme", quota, 1.0),) if quota is not None else ()
    o = SheddingOrder((READ, REFRESH, FILING), initial_table(tenants), 0.1)
    for c, cost in zip((READ, REFRESH, FILING), costs, strict=True):
        o.record_run(c.name, cost)
    o.set_averages(FleetAverages({}, {"acme": rate}))
    for n in range(300):
        for c in (READ, REFRESH, FILING):
            o.record_arrival(("", c.name, n), c.name, "acme" if tenants else None, False, n / 100)
    o.refresh(3.0)
    return o


class TheSheddingOrder(unittest.TestCase):
    @given(st.lists(st.floats(0.05, 0.2), min_size=3, max_size=3))
    def test_filings_go_first_whatever_they_cost_and_classes_of_like_worth_are_refused_alike(self, costs):
        o = make_order(costs)
        ranks = {c: [o.rank(("", c, n), c, None, 3.0) for n in range(50)] for c in o.classes}
        self.assertLess(max(ranks["filing"]), min(ranks["read"] + ranks["refresh"]))
        self.assertTrue(0 <= min(map(min, ranks.values())) and max(map(max, ranks.values())) < 1 + 1e-9)
        if abs(math.log(costs[0] / costs[1])) < 1e-3:
            self.assertEqual(o.spans["read", False], o.spans["refresh", False])

    @given(st.floats(0.9, 1.1), st.floats(0.2, 0.9))
    def test_two_workers_that_measured_a_little_differently_refuse_the_same(self, noise, level):
        told = {"read": 0.1, "refresh": 0.1, "filing": 0.1}
        a, b = make_order(), make_order((0.1 * noise, 0.1, 0.1 / noise))
        for order in (a, b):
            order.set_averages(FleetAverages(told, {}))
            order.refresh(3.0)
        idents = [("", "read", n) for n in range(400)]
        lets = [[o.rank(x, "read", None, 3.0) < level for x in idents] for o in (a, b)]
        self.assertLess(sum(x != y for x, y in zip(*lets, strict=True)), 0.12 * len(idents))

    def test_what_a_tenant_sends_beyond_its_share_goes_last(self):
        o = make_order(quota=100.0, rate=200.0)
        beyond = [x for n in range(300) if o.is_beyond_quota(x := ("", "read", n), "acme", 3.0)]
        self.assertTrue(0.4 < len(beyond) / 300 < 0.6)
        inside = [("", "read", n) for n in range(300) if ("", "read", n) not in beyond]
        self.assertLess(
            max(o.rank(x, "read", "acme", 3.0) for x in inside),
            min(o.rank(x, "read", "acme", 3.0) for x in beyond),
        )

    def test_further_tries_are_no_demand_marked_or_not(self):
        o = make_order()
        self.assertTrue(o.record_arrival(("", "read", "new"), "read", None, False, 3.0))
        self.assertFalse(o.record_arrival(("", "read", "new"), "read", None, False, 3.5))
        self.assertFalse(o.record_arrival(("", "read", "other"), "read", None, True, 3.5))
        self.assertTrue(o.record_arrival(("", "read", "new"), "read", None, False, 9.0))


class TheAdmissionThreshold(unittest.TestCase):
    def run_for(self, threshold, seconds, offered, running, waiting=0.0, done=None, start=0.0):
        now = start
        while now < start + seconds:
            now += TICK_INTERVAL_S
            threshold.record_arrival(offered * TICK_INTERVAL_S, now)
            threshold.record_completion(
                (done if done is not None else min(offered, 4.0)) * TICK_INTERVAL_S, now
            )
            threshold.update(now, running, waiting, running * 0.2)
        return now

    def test_all_is_let_in_while_the_cores_can_do_it(self):
        threshold = AdmissionThreshold(4, 2.0)
        self.run_for(threshold, 5, 3.0, 3)
        self.assertEqual(threshold.value, 1.0)

    def test_in_overload_it_is_what_the_cores_can_do_of_what_comes_less_for_a_backlog(self):
        threshold = AdmissionThreshold(4, 2.0)
        self.run_for(threshold, 6, 8.0, 5, done=4.0)
        self.assertTrue(0.35 < threshold.value < 0.7, threshold.value)
        before = threshold.value
        self.run_for(threshold, 1, 8.0, 6, waiting=6.0, done=4.0, start=6.0)
        self.assertLess(threshold.value, before)

    def test_cores_that_do_less_than_is_configured_are_found_out(self):
        threshold = AdmissionThreshold(4, 2.0)
        self.run_for(threshold, 8, 8.0, 8, done=2.0)
        self.assertTrue(1.7 < threshold.capacity < 2.6, threshold.capacity)


class TheSiteHealth(unittest.TestCase):
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
        self.assertEqual(self.tick(20, {"b": self.GONE}, 1.0), {"b": SiteState.CUT})
        self.assertEqual(self.tick(20, {"b": self.GONE}, 1.3), {"b": SiteState.CUT})  # a busy minute
        self.assertEqual(self.tick(4, {"b": self.GONE}, 2.0), {"b": SiteState.LOST})  # it died after the cut
        self.assertEqual(
            self.tick(4, {"b": self.GONE}, 1.0), {"b": SiteState.CUT}
        )  # its callers reach it again

    def test_where_the_usual_load_is_not_known_nothing_is_called_lost(self):
        self.assertEqual(self.tick(20, {"b": self.GONE}, 2.0, usual=None), {"b": SiteState.UNHEARD})

    def test_a_third_site_that_hears_it_tells_of_a_cut(self):
        seen = {"b": SiteMembership(3, 0, third_site_states=[SiteState.UP]), "c": self.HERE}
        self.assertEqual(self.tick(0.7, seen, 1.2)["b"], SiteState.CUT)

    def test_the_evidence_of_the_others_counts_with_ones_own(self):
        alone = self.tick(0.8, {"b": self.GONE}, 1.7)
        self.setUp()
        together = self.tick(0.8, {"b": SiteMembership(3, 0, evidence=6.0)}, 1.7)
        self.assertEqual((alone["b"], together["b"]), (SiteState.UNHEARD, SiteState.LOST))

    def test_a_worker_that_hears_nobody_takes_its_own_cut_for_no_loss(self):
        seen = {"b": self.GONE, "c": self.GONE}
        self.assertEqual(set(self.tick(10, seen, 1.0).values()), {SiteState.CUT})
        self.assertIsNotNone(self.tracker.isolated_since)

    def test_one_that_left_on_purpose_is_away_and_a_dead_worker_makes_a_site_thin(self):
        self.assertEqual(self.tick(2, {"b": SiteMembership(3, 0, left=3)}, 2.0), {"b": SiteState.AWAY})
        self.assertEqual(self.tick(2, {"b": SiteMembership(3, 1)}, 1.5), {"b": SiteState.THIN})

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


class Ramps(unittest.TestCase):
    FULL = PeerBaseline(3, 1.0, 20.0)

    def setUp(self):
        self.ramp, self.now = RecoveryRamp(0.0, RampCause.STARTED), 0.0

    def evaluate(
        self, seconds, threshold=1.0, then=1.0, baseline=FULL, granted=True, wait=0.0, good=0, bad=0
    ):
        """`good`, `bad`: completions in each tenth of a second."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now += 0.1
            for _ in range(good):
                self.ramp.record_completion(True)
            for _ in range(bad):
                self.ramp.record_completion(False)
            permission = StepPermission(granted, wait)
            self.ramp.evaluate(self.now, RampInputs(threshold, lambda rate: then, baseline, permission))
        return self.ramp.load_fraction

    def test_time_alone_takes_no_step(self):
        self.assertEqual(self.evaluate(200), DEFAULT_STAGES[0])
        self.assertIn("completions", self.ramp.waits_for)

    def test_completions_in_time_take_it_to_all_of_its_load_step_by_step(self):
        parts = [self.evaluate(MIN_STAGE_S, good=3) for _ in range(30)]
        self.assertEqual(sorted(set(parts)), sorted(set(DEFAULT_STAGES) & set(parts)))
        self.assertTrue(self.ramp.is_complete)
        self.assertTrue(all(b - a <= 0.2 + 1e-9 for a, b in zip(parts, parts[1:], strict=False)))

    def test_a_cold_machine_waits_until_it_is_warm_enough_for_the_next_step(self):
        self.assertEqual(self.evaluate(5, then=0.6, good=3), DEFAULT_STAGES[0])
        self.assertIn("warmth", self.ramp.waits_for)
        self.assertGreater(self.evaluate(1, then=0.95, good=3), DEFAULT_STAGES[0])
        # Where all are in overload it need do no better than the others.
        self.setUp()
        self.assertGreater(
            self.evaluate(2, then=0.6, baseline=PeerBaseline(3, 0.6, 20.0), good=3), DEFAULT_STAGES[0]
        )

    def test_a_step_that_goes_wrong_is_taken_back_and_the_next_comes_later(self):
        self.evaluate(1.2, good=3)
        up = self.ramp.stage
        self.assertGreater(up, 0)
        self.evaluate(2.0, threshold=0.4, then=0.0, good=1)
        self.assertLess(self.ramp.stage, up)
        self.assertGreater(self.ramp.rollbacks, 0)
        self.assertIn("taken back", self.ramp.history[-1].reason)
        self.setUp()
        self.evaluate(1.2, good=3)
        up = self.ramp.stage
        self.evaluate(2.0, then=0.0, good=1, bad=3)
        self.assertLess(self.ramp.stage, up)

    def test_without_the_step_lease_or_while_asked_to_wait_or_held_it_stays(self):
        self.assertEqual(self.evaluate(5, granted=False, good=3), DEFAULT_STAGES[0])
        self.assertEqual(self.evaluate(5, wait=1.0, good=3), DEFAULT_STAGES[0])
        self.ramp.set_held(True)
        self.assertEqual(self.evaluate(5, good=3), DEFAULT_STAGES[0])
        self.ramp.set_held(False)
        self.assertGreater(self.evaluate(1, good=3), DEFAULT_STAGES[0])

    def test_where_nobody_is_at_full_service_all_take_what_they_can(self):
        nobody = PeerBaseline(0, 1.0, 0.0)
        self.assertEqual(
            self.evaluate(1.0, baseline=nobody), DEFAULT_STAGES[0]
        )  # first it hears who is there
        self.assertEqual(self.evaluate(1.0, baseline=nobody), 1.0)
        self.assertTrue(self.ramp.is_unpaced)
        self.evaluate(3, baseline=nobody, good=3)
        self.assertTrue(self.ramp.is_complete)

    def test_one_that_is_not_back_when_the_others_are_goes_on_by_steps(self):
        self.evaluate(2.0, baseline=PeerBaseline(0, 1.0, 0.0))
        self.assertEqual(self.evaluate(0.5, threshold=0.3), DEFAULT_STAGES[0])

    def test_a_return_has_an_end_and_operators_may_skip_or_end_it(self):
        self.ramp.skip_stage(0.0, "w0")
        self.assertEqual(self.ramp.load_fraction, DEFAULT_STAGES[1])
        self.assertEqual(self.evaluate(self.ramp.plan.max_duration_s + 1), 1.0)
        self.setUp()
        self.ramp.end(0.0, "w0")
        self.assertEqual((self.ramp.load_fraction, self.ramp.is_complete), (1.0, True))

    def test_an_evacuation_gives_the_others_time_but_not_for_ever(self):
        def out(threshold):
            ramp, now = EvacuationRamp(0.0, "evacuated"), 0.0
            while not ramp.is_empty:
                now += 0.1
                ramp.evaluate(now, PeerBaseline(3, threshold, 10.0))
            return now

        self.assertLess(out(1.0), 2.0)
        self.assertTrue(5.0 < out(0.5) < 12.0)


class TheOperatorCommands(unittest.TestCase):
    @given(st.permutations(range(4)), st.lists(st.integers(0, 3), max_size=8))
    def test_whatever_comes_in_whatever_order_the_last_given_counts(self, first, again):
        given_by = [OperatorCommands() for _ in range(4)]
        told = []
        for n, kind in enumerate(
            (CommandKind.EVACUATE, CommandKind.HOLD, CommandKind.RETURN, CommandKind.EVACUATE)
        ):
            for book in told:
                given_by[n].merge(book, 0.0, float(n))
            given_by[n].issue("a", kind, f"w{n}", float(n))
            told.append(given_by[n].entries(float(n)))
        late = OperatorCommands()
        for n in [*again, *first]:
            late.merge(told[n], 1.0, 4.0)
        self.assertEqual(late.active("a", 4.0).kind, CommandKind.EVACUATE)
        self.assertEqual(late.active("a", 4.0).number, 4)

    def test_an_order_ends_and_one_that_is_over_is_no_order(self):
        book = OperatorCommands()
        book.issue("a", CommandKind.EVACUATE, "w0", 0.0)
        lasts = DURATION_S[CommandKind.EVACUATE]
        self.assertIsNotNone(book.active("a", lasts - 1))
        self.assertIsNone(book.active("a", lasts + 1))
        other = OperatorCommands()
        other.merge(book.entries(lasts + 1), 0.5, 0.0)
        self.assertIsNone(other.active("a", 0.0))

    def test_two_at_one_number_end_alike_everywhere_and_strange_ones_change_nothing(self):
        a, b = OperatorCommands(), OperatorCommands()
        a.issue("x", CommandKind.EVACUATE, "w0", 0.0)
        b.issue("x", CommandKind.RETURN, "w1", 0.0)
        one, two = a.entries(0.0), b.entries(0.0)
        a.merge(two, 0.0, 0.0)
        b.merge(one, 0.0, 0.0)
        self.assertEqual(a.active("x", 1.0).issued_by, b.active("x", 1.0).issued_by)
        a.merge([CommandEntry("x", "explode", 99, "w9", 10**9), CommandEntry("x", "hold", 0, "w9", 1)], 0, 0)
        self.assertEqual(a.active("x", 1.0).issued_by, "w1")

    @given(st.binary(max_size=200))
    def test_words_that_cannot_be_read_are_none(self, data):
        decoded = site_report.decode(data)
        self.assertTrue(decoded is None or isinstance(decoded, SiteReport))


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


class OnVirtualTime(unittest.TestCase):
    """Real coordinators, membership, budgets, decision modules; `ochrehoist lab sites` plays more."""

    @limits(max_examples=5, deadline=None)
    @given(st.integers(0, 10_000))
    def test_no_loss_is_missed_none_is_invented_and_all_are_back_at_the_end(self, seed):
        self.assertEqual(check_seed(seed).violations, [])

    def lost_and_back(self, seed=1, load=0.8, **changes):
        world = SiteWorld(seed, {"brussels": 3, "antwerp": 3}, load, **changes)
        world.at(8, lambda: world.lose_site("antwerp"))
        world.at(16, lambda: world.restore_site("antwerp"))
        world.run(34)
        return world

    def test_filings_are_kept_while_half_is_gone_and_worth_goes_first(self):
        world = self.lost_and_back()
        self.assertGreater(goodput(world, 9, 16, filing=True), 0.98)
        possible = (3 * 0.2 + 0.5 / 0.8 - 0.2) / (3 * 0.2 + 0.8)  # by worth first, with the cores left
        self.assertGreater(goodput(world, 10, 16), 0.9 * possible)

    def test_each_guard_is_missed_where_it_is_not_there(self):
        whole = [self.lost_and_back(s) for s in range(3)]
        with mock.patch.object(AdmissionGate, "rank_limit", 1.0):
            no_gate = [self.lost_and_back(s) for s in range(3)]
        self.assertLess(sum(goodput(w, 9, 16) for w in no_gate), sum(goodput(w, 9, 16) for w in whole) - 0.06)
        whole = [self.lost_and_back(s, 0.45) for s in range(3)]
        with mock.patch.object(RecoveryRamp, "load_fraction", 1.0):
            no_steps = [self.lost_and_back(s, 0.45) for s in range(3)]
        self.assertGreater(sum(goodput(w, 16, 22) for w in whole), 3 * 0.98)
        self.assertLess(
            sum(goodput(w, 16, 22) for w in no_steps), sum(goodput(w, 16, 22) for w in whole) - 0.03
        )

    def test_without_the_step_lease_two_sites_step_at_once(self):
        def both(seed):
            world = SiteWorld(seed, {"a": 3, "b": 2, "c": 2}, 0.5, cold_s=4.0)
            for site in ("b", "c"):
                world.at(6, lambda site=site: world.lose_site(site))
                world.at(10, lambda site=site: world.restore_site(site))
            world.run(30)
            return interleaved_steps(world)

        self.assertEqual([both(s) for s in range(3)], [[], [], []])

        def always_granted(self, now, peers, returned_by_operators):
            self.site_returns = True
            return StepPermission(True, 0.0)

        with mock.patch.object(StepArbiter, "evaluate", always_granted):
            self.assertTrue(any(both(s) for s in range(3)))
