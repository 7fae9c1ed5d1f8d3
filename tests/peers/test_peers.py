"""The fleet's pure parts, each on explicit time: messages, members, leases, counters, outliers."""

import math
import unittest
from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.lab.virtual.world import World
from ochrehoist.peers import lease_assignment, wire
from ochrehoist.peers.budget import CLOCK_DRIFT, GRANT_GUARD_S, RATE_WINDOW_S, Budget
from ochrehoist.peers.counters import MAX_INCARNATIONS, ReplicatedCounters
from ochrehoist.peers.fleet_settings import FleetSettings
from ochrehoist.peers.group import Group
from ochrehoist.peers.leases import LeaseGrantor, LeaseHolder
from ochrehoist.peers.membership import Membership
from ochrehoist.peers.outlier_detection import (
    BASE_EJECTION_S,
    TRIALS_TO_RECOVER,
    EjectionState,
    OutlierDetector,
)
from ochrehoist.peers.remote_health import REMOTE_MAX_AGE_S, RemoteReport
from ochrehoist.peers.usage import UsageMeter
from ochrehoist.peers.wire import (
    CounterSnapshot,
    HealthObservation,
    HealthStatus,
    Incarnation,
    MemberState,
    MemberUpdate,
    Message,
)

SECRETS = (b"first secret of ours", b"second secret of ours")
A, B = Incarnation("a", 10, 1), Incarnation("b", 10, 1)


def message(**changes):
    values = {
        "group": "g",
        "sender": A,
        "recipient": "b",
        "recipient_number": 10,
        "sequence": 1,
        "payloads": [wire.Ping(5, [wire.KnownVersion("c", 1, 2)]), wire.LeaseRequest("x", "t", 3, [1, 2])],
    }
    return Message(**(values | changes))


class Wire(unittest.TestCase):
    def test_a_message_comes_as_it_was_sent(self):
        self.assertEqual(
            wire.decode_datagram(wire.encode_datagram(message(), SECRETS[0]), SECRETS, "g"), message()
        )

    def test_a_new_secret_is_brought_in_by_two_steps(self):
        old, new = SECRETS
        said_old, said_new = wire.encode_datagram(message(), old), wire.encode_datagram(message(), new)
        for known in ((old, new), (new, old)):
            wire.decode_datagram(said_old, known, "g")
            wire.decode_datagram(said_new, known, "g")
        with self.assertRaises(wire.MessageRejectedError):
            wire.decode_datagram(said_old, (new,), "g")

    def test_strangers_other_groups_and_versions_are_told_apart(self):
        body = bytes((wire.VERSION + 1,)) + b"x"
        for data, why in (
            (wire.encode_datagram(message(), b"another secret...."), "stranger"),
            (wire.encode_datagram(message(group="h"), SECRETS[0]), "group"),
            (wire.MAGIC + wire._digest(body, SECRETS[0]) + body, "version"),
            (b"", "garbled"),
            (wire.MAGIC + b"0" * (wire.MAX_DATAGRAM_BYTES + 1), "garbled"),
        ):
            with self.subTest(why), self.assertRaisesRegex(wire.MessageRejectedError, why):
                wire.decode_datagram(data, SECRETS, "g")

    @given(st.binary(max_size=300), st.integers(0, 400), st.booleans())
    def test_no_bytes_do_harm(self, noise, at, signed):
        data = wire.encode_datagram(message(), SECRETS[0])
        for bad in (
            noise,
            data[:at],
            data[:at] + noise + data[at:],
            wire.MAGIC + wire._digest(b"\1" + noise, SECRETS[0]) + b"\1" + noise if signed else noise,
        ):
            if bad == data:
                continue
            with self.assertRaises(wire.MessageRejectedError):
                wire.decode_datagram(bad, SECRETS, "g")

    @given(st.lists(st.integers(1, 3 * wire.REPLAY_WINDOW), max_size=200))
    def test_a_message_is_taken_once_whatever_order_they_come_in(self, seqs):
        seen, taken = wire.ReplayWindow(), set()
        for seq in seqs:
            if seen.accept(seq):
                self.assertNotIn(seq, taken)
                taken.add(seq)
            else:
                self.assertTrue(seq in taken or seq <= max(taken) - wire.REPLAY_WINDOW)


def membership(now=0.0, **addresses):
    return Membership(A, "at:a", "", addresses, 0.1, now, 1)


class Members(unittest.TestCase):
    def meet(self, m, now, *lives):
        for life in lives:
            self.assertTrue(m.on_message_from(life, f"at:{life.name}", "", now))

    def quiet(self, m, now, until, answers=()):
        """Beats, with answers of those named."""
        while now < until:
            for probe in m.tick(now):
                if probe.target in answers and not probe.indirect:
                    m.on_ack(probe.nonce, probe.target, now)
            now += 0.05
        return now

    def test_who_does_not_answer_is_suspected_and_then_dead_while_others_answer(self):
        m = membership()
        self.meet(m, 0.0, B, Incarnation("c", 1, 1))
        self.quiet(m, 0.0, 6.0, answers=("c",))
        self.assertEqual((m.members["b"].state, m.members["c"].state), (MemberState.DEAD, MemberState.ALIVE))

    def test_who_hears_nobody_is_isolated_and_declares_nobody_dead(self):
        m = membership()
        self.meet(m, 0.0, B, Incarnation("c", 1, 1))
        now = self.quiet(m, 0.0, 2.0, answers=("b", "c"))
        now = self.quiet(m, now, now + 20.0)
        self.assertGreater(m.isolated_for_s(now), 10.0)
        self.assertNotIn(MemberState.DEAD, {x.state for x in m.members.values()})

    def test_one_that_stalled_itself_accuses_nobody_for_it(self):
        m = membership()
        self.meet(m, 0.0, B, Incarnation("c", 1, 1))
        now = self.quiet(m, 0.0, 2.0, answers=("b", "c"))
        m.tick(now + 30.0)  # half a minute later by its clock, with probes open
        now = self.quiet(m, now + 30.0, now + 31.0, answers=("b", "c"))
        self.assertEqual({x.state for x in m.members.values()}, {MemberState.ALIVE})
        self.assertEqual(m.stall_count, 1)

    def test_an_earlier_incarnation_is_not_heard_after_its_successor(self):
        m = membership()
        self.meet(m, 0.0, Incarnation("b", 20, 1))
        self.assertFalse(m.on_message_from(B, "at:b", "", 1.0))
        m.apply_gossip(MemberUpdate(B, "elsewhere", "", MemberState.ALIVE), "c", 1.0)
        self.assertEqual(m.members["b"].incarnation.number, 20)

    def test_gossip_proves_nobody_to_be_there_and_none_to_be_gone_that_answers(self):
        m = membership()
        self.meet(m, 0.0, B)
        now = self.quiet(m, 0.0, 1.0, answers=("b",))
        m.apply_gossip(MemberUpdate(B, "at:b", "", MemberState.DEAD), "c", now)
        self.assertEqual(m.members["b"].state, MemberState.ALIVE)
        m.apply_gossip(MemberUpdate(B, "at:b", "", MemberState.LEFT), "c", now)
        self.assertEqual(m.members["b"].state, MemberState.LEFT)

    def test_a_start_with_an_earlier_clock_comes_after_what_it_was(self):
        m = membership()
        m.note_duplicate(Incarnation("a", 500, 7))
        self.assertEqual((m.incarnation.number, m.incarnation.boot_id, m.duplicate), (501, 1, None))

    def test_one_that_was_heard_does_not_fight_for_its_name(self):
        m = membership()
        m.established = True
        m.note_duplicate(Incarnation("a", 500, 7))
        self.assertEqual((m.incarnation, m.duplicate), (A, Incarnation("a", 500, 7)))
        m.note_duplicate(Incarnation("a", 3, 7))  # what it said long ago, played again


BUDGET = Budget("x", 12, ("a", "b", "c"), lease_s=2.0, floor_fraction=0.25, floor_lease_s=10.0)


class Leases(unittest.TestCase):
    def held(self, budget=BUDGET, right=3, now=100.0, life=A):
        grantors = {n: LeaseGrantor(budget, 0.0) for n in budget.grantors}
        holder = LeaseHolder(budget)
        self.request(grantors, holder, life, right, now)
        return grantors, holder

    def request(self, grantors, holder, life, right, now, silent=()):
        holder.request(right, now)
        holder.leases[right].last_round_at = -1e9
        round_, due = holder.due_slots(now, 0.2)
        for name, grantor in grantors.items():
            if name not in silent:
                holder.record_grant(
                    name, round_, grantor.grant(life, holder.budget.terms_digest, round_, due, now), now
                )

    def test_the_slots_of_a_budget_come_to_its_amount(self):
        for amount in (1, 2, 7, 63, 64, 65, 1000):
            b = Budget("x", amount, ("a", "b", "c"))
            self.assertEqual(sum(b.slot_amount(r) for r in range(b.slot_count)), amount)
            self.assertTrue(all(b.slot_amount(r) >= 1 for r in range(b.slot_count)))

    def test_a_majority_is_needed_and_ends_by_the_holders_own_clock(self):
        grantors, holder = self.held()
        self.assertTrue(holder.holds(3, 101.99))
        self.assertFalse(holder.holds(3, 102.0))
        grantors, holder = {n: LeaseGrantor(BUDGET, 0.0) for n in "abc"}, LeaseHolder(BUDGET)
        self.request(grantors, holder, A, 3, 100.0, silent=("b", "c"))
        self.assertFalse(holder.holds(3, 100.1))

    def test_another_incarnation_is_granted_a_slot_only_once_the_first_can_use_it_no_more(self):
        grantors, holder = self.held()
        other = LeaseHolder(BUDGET)
        last = 100 + 2.0 * (1 + CLOCK_DRIFT) + GRANT_GUARD_S
        self.request(grantors, other, Incarnation("a", 11, 2), 3, last - 0.01)
        self.assertFalse(other.holds(3, last))
        self.request(grantors, other, Incarnation("a", 11, 2), 3, last + 0.01)
        self.assertTrue(other.holds(3, last + 0.02))

    def test_a_grant_is_counted_from_when_it_was_requested(self):
        grantors, holder = {n: LeaseGrantor(BUDGET, 0.0) for n in "abc"}, LeaseHolder(BUDGET)
        holder.request(3, 100.0)
        round_, due = holder.due_slots(100.0, 0.2)
        for name, grantor in grantors.items():  # the answers take 1.5 s
            holder.record_grant(
                name, round_, grantor.grant(A, BUDGET.terms_digest, round_, due, 100.0), 101.5
            )
        self.assertFalse(holder.holds(3, 102.0))

    def test_a_grantor_that_has_just_started_waits_for_what_it_may_have_granted_before(self):
        grantor = LeaseGrantor(BUDGET, 100.0)
        self.assertEqual(grantor.grant(A, BUDGET.terms_digest, 1, [3, 0], 102.0), [])
        self.assertEqual(
            grantor.grant(A, BUDGET.terms_digest, 2, [3, 0], 102.5), [3]
        )  # the floor takes longer
        self.assertEqual(grantor.grant(A, BUDGET.terms_digest, 3, [0], 110.9), [0])

    def test_a_floor_is_its_homes_alone(self):
        grantor = LeaseGrantor(BUDGET, 0.0)
        self.assertEqual(grantor.grant(B, BUDGET.terms_digest, 1, [0, 1], 100.0), [1])

    def test_on_other_terms_nothing_is_granted_until_the_old_grants_end(self):
        grantors, _ = self.held()
        half = Budget("x", 6, ("a", "b", "c"), lease_s=2.0, floor_fraction=0.25, floor_lease_s=10.0)
        for grantor in grantors.values():
            self.assertEqual(grantor.grant(B, half.terms_digest, 1, [2], 100.0), [])
            grantor.reconfigure(half, 100.5)
            self.assertEqual(grantor.grant(B, half.terms_digest, 1, [2], 101.0), [])
            self.assertEqual(grantor.grant(B, half.terms_digest, 2, [2], 113.0), [2])

    def test_what_was_released_is_not_granted_to_a_request_from_before(self):
        grantor = LeaseGrantor(BUDGET, 0.0)
        grantor.grant(A, BUDGET.terms_digest, 1, [3], 100.0)
        grantor.release(A, 3, [3])
        self.assertEqual(grantor.grant(A, BUDGET.terms_digest, 2, [3], 100.1), [])
        self.assertEqual(grantor.grant(B, BUDGET.terms_digest, 1, [3], 100.1), [3])
        grantor.release(A, 3, [3])  # once more: it is another's now
        self.assertEqual(grantor.grants[3].incarnation, B)

    def test_a_grant_for_an_earlier_request_does_not_count_for_the_next(self):
        grantors, holder = {n: LeaseGrantor(BUDGET, 0.0) for n in "abc"}, LeaseHolder(BUDGET)
        holder.request(3, 100.0)
        round_, due = holder.due_slots(100.0, 0.2)
        grants = {n: v.grant(A, BUDGET.terms_digest, round_, due, 100.0) for n, v in grantors.items()}
        back, _ = holder.drop([3])
        for v in grantors.values():
            v.release(A, back, [3])
        holder.request(3, 100.1)
        for name, granted in grants.items():
            holder.record_grant(name, round_, granted, 100.2)
        self.assertFalse(holder.holds(3, 100.3))

    def test_a_slot_is_used_only_once_the_window_of_the_one_before_is_over(self):
        _, holder = self.held()
        meter = UsageMeter(holder)
        self.assertIsNone(meter.acquire(100.5))
        self.assertIsNotNone(meter.acquire(100 + RATE_WINDOW_S * 1.03))

    def test_one_that_slept_past_its_lease_finds_so_at_the_moment_of_use(self):
        grantors, holder = self.held()
        meter = UsageMeter(holder)
        self.request(grantors, holder, A, 3, 101.5)
        self.assertIsNotNone(meter.acquire(101.6))
        self.assertIsNone(meter.acquire(104.7))

    def test_a_run_is_begun_only_where_the_lease_lasts_for_all_of_it(self):
        budget = Budget(
            "x", 6, ("a", "b", "c"), concurrent=True, lease_s=1.0, floor_fraction=0.0, max_run_s=2.0
        )
        _, holder = self.held(budget)
        meter = UsageMeter(holder)
        ticket = meter.acquire(100.9)
        self.assertIsNotNone(ticket)
        self.assertIsNone(meter.acquire(100.95))  # the lease is for one
        meter.release(ticket)
        self.assertIsNone(meter.acquire(101.1))

    @given(st.integers(1, 6), st.integers(1, 200), st.data())
    def test_all_slots_have_an_assignee_and_no_slot_has_two(self, count, amount, data):
        names = tuple(f"m{n}" for n in range(count))
        budget = Budget("x", amount, names, floor_fraction=data.draw(st.sampled_from((0.0, 0.25, 1.0))))
        alive = set(data.draw(st.lists(st.sampled_from(names), min_size=1)))
        claimed = [r for me in alive for r in lease_assignment.slots_to_request(budget, me, set(), alive, {})]
        self.assertEqual(len(claimed), len(set(claimed)))
        missing = set(range(budget.slot_count)) - set(claimed)
        self.assertTrue(all(budget.is_floor(r) and budget.home_of(r) not in alive for r in missing))

    def test_a_slot_goes_to_where_one_is_denied_and_not_below_what_is_wanted_here(self):
        needy = {"b": lease_assignment.PeerDemand(held_slots=0, wanted=9, denied=3, fresh=True)}
        self.assertEqual(lease_assignment.choose_transfer(BUDGET, [0, 3, 6], 0, 3, needy).recipient, "b")
        self.assertIsNone(lease_assignment.choose_transfer(BUDGET, [0, 3, 6], 0, 0, needy))  # all of it runs
        self.assertIsNone(
            lease_assignment.choose_transfer(
                BUDGET, [0, 3, 6], 3, 3, {"b": lease_assignment.PeerDemand(0b10010, 2, 1, True)}
            )
        )
        self.assertIsNone(
            lease_assignment.choose_transfer(
                BUDGET, [0, 3], 0, 3, {"b": lease_assignment.PeerDemand(0, 9, 3, False)}
            )
        )


class Counts(unittest.TestCase):
    def test_what_comes_twice_or_late_is_counted_once(self):
        counters = ReplicatedCounters(A, 100.0)
        counters.add("served", 5)
        for version, n in ((2, 7), (1, 4), (2, 7)):
            counters.merge_snapshot(CounterSnapshot(B, version, 0, False, {"served": n}), 0.0, 10.0)
        self.assertEqual(counters.read("served", 10.0).total, 12)

    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 30), st.integers(0, 5)), max_size=60))
    def test_the_truth_is_within_the_bound_whatever_is_lost_or_late(self, steps):
        """Three count at most as much as they may; some of what they tell comes, late and out of order."""
        true, told, now = [0, 0, 0], [], 0.0
        counters = ReplicatedCounters(A, 10.0)
        lives = [Incarnation(f"m{n}", 1, 1) for n in range(3)]
        for life in lives:
            counters.merge_snapshot(CounterSnapshot(life, 0, 0, False, {}), 0.0, now)
        for who, pick, n in steps:
            now += 0.5
            true[who] += n
            told.append((now, who, true[who]))
            if pick < len(told):
                at, w, total = told[pick]
                counters.merge_snapshot(
                    CounterSnapshot(lives[w], int(at * 2) + 1, 0, False, {"k": total}), now - at, now
                )
            r = counters.read("k", now)
            self.assertLessEqual(r.total, sum(true))
            self.assertLessEqual(sum(true), r.total + r.missing)

    def test_incarnations_that_ended_are_added_up_and_never_counted_anew(self):
        counters = ReplicatedCounters(A, 10.0)
        for inc in range(MAX_INCARNATIONS + 5):
            counters.merge_snapshot(CounterSnapshot(Incarnation("b", inc, 1), 1, 0, True, {"k": 1}), 0.0, 1.0)
        for inc in range(MAX_INCARNATIONS + 5):
            counters.merge_snapshot(CounterSnapshot(Incarnation("b", inc, 1), 1, 0, True, {"k": 1}), 0.0, 2.0)
        self.assertEqual(counters.read("k", 2.0).total, MAX_INCARNATIONS + 5)


class Outliers(unittest.TestCase):
    def setUp(self):
        self.reports = {}
        self.outliers = OutlierDetector(("s0", "s1", "s2"), 0.5, 1, remote_reports=lambda: self.reports)
        self.tickets = 0

    def run_at(self, name, at, took=0.02, status=HealthStatus.OK):
        self.tickets += 1
        self.outliers.call_started(name, self.tickets, "read", at)
        self.outliers.call_completed(name, self.tickets, status, at + took)

    def seen(self, at, slow=(), took=0.5, status=HealthStatus.OK, count=4):
        for n in range(count):
            for name in self.outliers.services:
                self.run_at(
                    name,
                    at + n * 0.01,
                    took if name in slow else 0.02,
                    status if name in slow else HealthStatus.OK,
                )

    def states(self, now):
        self.outliers.evaluate(now)
        return [s.ejection for s in self.outliers.services.values()]

    def test_a_slow_one_is_left_out_by_own_evidence_and_before_it_has_answered(self):
        self.seen(0.0, count=24)
        for n in range(4):
            self.outliers.call_started("s2", f"open{n}", "read", 1.0)
        self.assertEqual(self.states(1.05), ["in", "in", "in"])
        self.assertEqual(self.states(1.2), ["in", "in", "out"])

    def test_what_a_stopped_worker_did_not_read_is_nobodys_fault(self):
        for first in ("look", "answer"):  # after the stop either may come first
            with self.subTest(first):
                self.setUp()
                self.seen(0.0, count=24)
                for n in range(20):
                    self.outliers.tick(0.3 + n * 0.05, 0.05)
                for n in range(4):
                    self.outliers.call_started("s1", f"open{n}", "read", 1.25)
                if first == "look":
                    self.outliers.tick(2.3, 0.05)
                else:
                    for n in range(4):
                        self.outliers.call_completed("s1", f"open{n}", HealthStatus.OK, 2.3)
                self.assertEqual(self.states(2.3), ["in", "in", "in"])

    def test_a_trial_that_went_well_is_followed_by_the_next_at_once(self):
        self.seen(0.0)
        self.seen(3.0, slow=("s1",), status=HealthStatus.FAILING)
        self.assertEqual(self.states(3.3), ["in", "out", "in"])
        now, asked = 3.3, 0
        while self.outliers.services["s1"].ejection in ("out", "trial"):
            now += 0.05  # a look each time, and a request at every third
            self.outliers.evaluate(now)
            asked += 1
            self.assertLess(asked, 400)
            if asked % 3 == 0:
                self.run_at(self.outliers.rank_services({}, now)[0], now)
        self.assertLess(now, 3.3 + BASE_EJECTION_S + 1.0)

    def test_one_that_several_see_bad_takes_the_place_of_one_left_out_alone(self):
        self.seen(0.0)
        self.seen(3.0, slow=("s1",), status=HealthStatus.FAILING)
        self.assertEqual(self.states(3.1), ["in", "out", "in"])
        self.bad("s2")
        self.assertEqual(self.states(6.0), ["in", "back", "out"])
        self.bad("s1", "s2")  # others see both bad: whoever was left out stays so
        self.assertEqual(self.states(6.1), ["in", "back", "out"])

    def test_all_slow_means_that_none_is(self):
        self.seen(0.0, count=24)
        self.seen(3.0, slow=("s0", "s1", "s2"), took=0.4, count=12)
        self.assertEqual(self.states(4.0), ["in", "in", "in"])

    def test_no_more_than_the_stated_part_is_left_out(self):
        self.seen(0.0)
        self.seen(3.0, slow=("s1", "s2"), status=HealthStatus.FAILING)
        self.assertEqual(sorted(self.states(3.6)), ["in", "in", "out"])

    def bad(self, *names, who=("x", "y"), status=HealthStatus.SLOW):
        for member in who:
            self.reports[member] = RemoteReport(
                0.1,
                [
                    HealthObservation(n, status if n in names else HealthStatus.OK, 9, 0, 20.0)
                    for n in self.outliers.services
                ],
            )

    def test_remote_observations_count_from_two_and_have_an_end(self):
        self.bad("s1", who=("x",))
        self.assertEqual(self.states(1.0), ["in", "in", "in"])
        self.bad("s1")
        self.reports = {
            m: RemoteReport(REMOTE_MAX_AGE_S + 1, report.observations) for m, report in self.reports.items()
        }
        self.assertEqual(self.states(1.0), ["in", "in", "in"])
        self.bad("s1")
        self.assertEqual(self.states(1.0), ["in", "out", "in"])

    def test_own_fresh_observations_go_before_remote_ones(self):
        self.seen(0.0)
        self.bad("s1")
        self.assertEqual(self.states(0.5), ["in", "in", "in"])

    def test_observers_whose_own_link_is_bad_take_nothing_from_others(self):
        self.bad("s0", "s1")
        self.assertEqual(self.states(1.0), ["in", "in", "in"])

    def test_trials_are_one_at_a_time_and_take_it_back_in_steps(self):
        self.seen(0.0)
        self.seen(3.0, slow=("s1",), status=HealthStatus.FAILING)
        self.assertEqual(self.states(3.3), ["in", "out", "in"])
        now = 3.3 + BASE_EJECTION_S + 0.1
        first = [self.outliers.rank_services({}, now)[0] for _ in range(3)]
        self.assertIn("s1", first)
        self.outliers.call_started("s1", "trial", "read", now)
        self.assertNotEqual(self.outliers.rank_services({}, now)[0], "s1")
        self.outliers.call_completed("s1", "trial", HealthStatus.OK, now + 0.02)
        for n in range(TRIALS_TO_RECOVER - 1):
            self.run_trial(now + 0.1 + n)
        self.assertEqual(self.outliers.services["s1"].ejection, "back")
        later = now + 10
        self.outliers.evaluate(now + 5)
        for n in range(6):
            self.outliers.evaluate(now + 5 + n)
        self.assertEqual(self.states(later)[1], "in")

    def run_trial(self, at):
        self.outliers.call_started("s1", f"t{at}", "read", at)
        self.outliers.call_completed("s1", f"t{at}", HealthStatus.OK, at + 0.02)

    def test_a_trial_that_fails_puts_the_next_one_off(self):
        self.seen(0.0)
        self.seen(3.0, slow=("s1",), status=HealthStatus.FAILING)
        self.states(3.3)
        self.outliers.call_started("s1", "t", "read", 5.0)
        self.outliers.call_completed("s1", "t", HealthStatus.UNREACHABLE, 5.1)
        s = self.outliers.services["s1"]
        self.assertEqual((s.ejection, s.ejection_s), ("out", 2 * BASE_EJECTION_S))


class Fleet(unittest.TestCase):
    """Whole groups on virtual time, in quiet."""

    def test_members_find_each_other_from_one_address_and_counts_agree(self):
        world = World(3, (), encoded=True, addresses_known=False)
        nodes = world.start_fleet(8)
        world.run(3.0)
        for n, node in enumerate(nodes):
            self.assertEqual(len(node.group.members.live_names()), 7)
            node.group.counters.add("served", n + 1)
        world.run(5.0)
        for node in nodes:
            r = node.group.counters.read("served", node.clock(world.now))
            self.assertEqual(r.total, 36)
            self.assertLess(r.age_s, 4.0)

    def test_a_rate_that_one_worker_wants_goes_there(self):
        names = tuple(f"w{n:03d}" for n in range(5))
        world = World(4, (Budget("rate", 40, names, floor_fraction=0.0, floor_lease_s=2.0),))
        nodes = world.start_fleet(5)
        world.observe_ticks(
            lambda node: [world.use_budget(node, "rate") for _ in range(5)] if node is nodes[2] else None
        )
        world.run(15.0)
        self.assertGreaterEqual(nodes[2].group.shares["rate"].holder.amount(nodes[2].clock(15.0)), 36)

    def test_the_load_of_a_worker_does_not_grow_with_the_fleet(self):
        sent = {}
        for count in (5, 40):
            world = World(5, ())
            nodes = world.start_fleet(count)
            world.run(3.0)
            before = sum(n.sent_count for n in nodes)
            world.run(6.0)
            sent[count] = (sum(n.sent_count for n in nodes) - before) / count
        self.assertLess(sent[40], 1.3 * sent[5])

    def test_a_second_process_of_a_name_that_others_follow_ends_the_leases_of_the_first(self):
        names = ("w000", "w001", "w002")
        world = World(6, (Budget("rate", 12, names, floor_lease_s=2.0),), addresses_known=False)
        nodes = world.start_fleet(4)
        world.run(4.0)
        world.start("w003", duplicate=True)
        world.run(8.0)
        self.assertTrue(nodes[3].group.yielded)
        self.assertEqual(nodes[3].group.shares["rate"].holder.held_slots(nodes[3].clock(8.0)), [])

    @settings(deadline=None, max_examples=6)
    @given(st.integers(0, 10**6))
    def test_a_death_is_told_from_a_pause_and_a_cut_of_messages(self, seed):
        """A fifth of the messages is lost, and members pause for 1 s: nobody is called dead for it."""
        world = World(seed, ())
        nodes = world.start_fleet(5)
        world.run(2.0)
        world.set_network_conditions(0.2, 0.0, (0.001, 0.02))
        world.at(3.0, lambda: world.pause(nodes[1], 1.0))
        world.run(8.0)
        self.assertEqual([n.group.members.deaths for n in nodes], [[]] * 5)
        world.kill(nodes[4])
        world.run(20.0)
        for node in nodes[:4]:
            self.assertEqual(node.group.members.members["w004"].state, MemberState.DEAD)


class ColdServer(unittest.TestCase):
    """What comes to a server that returns is the sum of what all workers send, whoever hears whom."""

    # Calls a second that one fleet gives a server it left out: ten throws, each up to three trials in a row.
    BUDGET = 10 * TRIALS_TO_RECOVER

    def first_second(self, count, seed, fleet=None):
        """Calls in the first second at a server that all left out; nobody hears anybody."""
        at, rng = {f"w{n}": f"127.0.0.1:{9000 + n}" for n in range(count)}, Random(seed)
        groups, open_, sent = [], [], 0
        for name, address in at.items():
            terms = FleetSettings(
                "g",
                address,
                "",
                {n: a for n, a in at.items() if n != name},
                (),
                0.1,
                (),
                ("s0", "s1", "s2"),
                0.5,
                3000,
            )
            group = Group(terms, Incarnation(name, 1, 1), 0.0, rng.getrandbits(30))
            if fleet is not None:
                group.outliers._fleet_size = fleet
            group.outliers._change_state(
                group.outliers.services["s0"], "s0", EjectionState.EJECTED, "gone", 0.0
            )
            groups.append(group)
        for ticket in range(1, 40_000):
            now = ticket * 0.0002  # 200 calls a second over all, each at any worker
            if now > BASE_EJECTION_S + 1.0:
                break
            for call in [c for c in open_ if c[0] <= now]:
                open_.remove(call)
                call[1].outliers.call_completed(call[2], call[3], HealthStatus.OK, now)
            if ticket % 25 == 0:
                group = rng.choice(groups)
                group.tick(now)
                busy = Counter(name for _, g, name, _ in open_ if g is group)
                name = group.outliers.rank_services({s: busy[s] for s in ("s0", "s1", "s2")}, now)[0]
                group.outliers.call_started(name, ticket, "read", now)
                open_.append((now + 0.04, group, name, ticket))
                sent += name == "s0"
        return sent

    def test_workers_that_hear_nobody_try_a_server_no_more_often_than_one_fleet_does(self):
        most = self.BUDGET + 2 * math.sqrt(self.BUDGET) + 2
        for count in (20, 30):
            sent = [self.first_second(count, seed) for seed in range(10)]
            self.assertLessEqual(max(sent), most, sent)
            self.assertGreater(min(sent), 0)  # or the server would never be taken back

    def test_it_is_red_where_each_takes_itself_for_the_whole_fleet(self):
        for seed in range(3):
            sent = self.first_second(30, seed, fleet=lambda: 1)
            self.assertGreater(sent, self.BUDGET + 2 * math.sqrt(self.BUDGET) + 2)
