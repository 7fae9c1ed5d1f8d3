"""The pages of a witness's answer while its intents change, on explicit time and from fixed seeds."""

import unittest
from random import Random
from unittest import mock

from ochrehoist.recovery import intent_log
from ochrehoist.recovery.intent_log import IntentLog
from ochrehoist.recovery.messages import IntentPage, QueryIntents, RecordIntent, decode, encode
from ochrehoist.recovery.witness_quorum import WitnessQuorumReport

SEEDS = 1000
SMALL_PAGE = 4
SMALL_LOG = 40
LARGE_LOG = 20_000
WINDOW_S = 20.0
WITNESSES = ("a", "b")
WORKER = "w"


class PositionalIntentLog(IntentLog):
    """Pages as releases up to b0888d8 cut them: by position, from the intents of the moment."""

    def page(self, worker, query, now):
        expiry = self._expiry_by_worker.get(worker, {})
        unexpired = [(digest, at) for digest, at in expiry.items() if at > now]
        size = intent_log.PAGE_SIZE
        selected = unexpired[query.page * size : (query.page + 1) * size]
        intents = [(digest, int(1000 * (at - now)) + 1) for digest, at in selected]
        age_ms = int(1000 * (now - self._complete_since))
        return IntentPage(query.number, query.page, max(1, -(-len(unexpired) // size)), age_ms, intents)


class AscendingReport:
    """Queries as releases up to b0888d8 sent them: the first page that is missing, of each witness."""

    def __init__(self, witnesses, window_s, query_number, now):
        self.number = query_number
        self.pages = {name: set() for name in witnesses}
        self.counts = dict.fromkeys(witnesses, 1)
        self.expiry_by_digest = {}

    def complete_witnesses(self):
        return [name for name, pages in self.pages.items() if len(pages) >= self.counts[name]]

    def queries(self, now):
        complete = self.complete_witnesses()
        return [
            (name, encode(QueryIntents(self.number, min(set(range(len(pages) + 1)) - pages))))
            for name, pages in self.pages.items()
            if name not in complete
        ]

    def add_page(self, witness, page, now):
        if page.number == self.number and 0 <= page.page < page.pages:
            self.counts[witness] = page.pages
            self.pages[witness].add(page.page)
            for digest, _ in page.intents:
                self.expiry_by_digest[digest] = now


class Exchange:
    """A restarted worker queries two witnesses whose logs change between any two datagrams."""

    def __init__(self, seed, intents, log_class=IntentLog, report_class=WitnessQuorumReport, loss=0.2):
        self.random, self.loss = Random(seed), loss
        self.now = 100.0
        self.clock_offsets = {name: self.random.uniform(-50, 50) for name in WITNESSES}
        self.logs = {name: log_class(self.now + self.clock_offsets[name] - 90) for name in WITNESSES}
        self.expires_at = {}
        for number in range(intents):
            self.record(number, self.random.uniform(0.0, WINDOW_S) * number / intents + 0.01)
        self.lived_through = set(self.expires_at)
        self.report = report_class(WITNESSES, WINDOW_S, 7, self.now)
        self.in_transit = []

    def record(self, number, remaining_s):
        digest = number.to_bytes(16, "big")
        self.expires_at[digest] = self.now + remaining_s
        self.tell(RecordIntent(1, [(digest, int(1000 * remaining_s))]))

    def tell(self, message):
        for name, log in self.logs.items():
            log.record(WORKER, message, self.now + self.clock_offsets[name])

    def change_logs(self):
        self.now += self.random.choice([0.0, 0.001, 0.05])
        choice = self.random.random()
        if choice < 0.1 and self.expires_at:
            digest = self.random.choice(list(self.expires_at))
            del self.expires_at[digest]
            self.lived_through.discard(digest)
            self.tell(RecordIntent(1, [], [digest]))
        elif choice < 0.2:
            self.record(self.random.getrandbits(60) + LARGE_LOG, WINDOW_S)
        elif choice < 0.4:
            for name, log in self.logs.items():
                log.remove_expired(self.now + self.clock_offsets[name])

    def deliver(self):
        """Answers a query or hands over an answer, in any order; some are lost or delivered twice."""
        name, data, is_answer = self.in_transit.pop(self.random.randrange(len(self.in_transit)))
        if self.random.random() < self.loss / 2:
            self.in_transit.append((name, data, is_answer))
        if self.random.random() < self.loss:
            return
        if is_answer:
            self.report.add_page(name, decode("known", data), self.now)
            return
        page = self.logs[name].page(WORKER, decode("ask", data), self.now + self.clock_offsets[name])
        self.in_transit.append((name, encode(page), True))

    def skipped(self):
        """Plays the exchange; returns the intents that lived through all of it and are in no answer."""
        while len(self.report.complete_witnesses()) < len(WITNESSES):
            if not self.in_transit or self.random.random() < 0.2:
                self.now += 0.06  # after which a query is repeated
                self.in_transit += [(*query, False) for query in self.report.queries(self.now)]
            else:
                self.deliver()
            self.change_logs()
        alive = {digest for digest in self.lived_through if self.expires_at[digest] > self.now + 0.1}
        return alive - self.report.expiry_by_digest.keys()


class SettlesLate(WitnessQuorumReport):
    """Queries until all witnesses have answered, so that each answer is checked."""

    def is_settled(self, now):
        return len(self.complete_witnesses()) == len(WITNESSES)


class IntentPagesTest(unittest.TestCase):
    """Exchanges between this release and the one before."""

    def assert_nothing_is_skipped(self, **classes):
        with mock.patch.object(intent_log, "PAGE_SIZE", SMALL_PAGE):
            for seed in range(SEEDS):
                self.assertEqual(Exchange(seed, SMALL_LOG, **classes).skipped(), set(), seed)

    def test_no_intent_is_skipped_that_lives_through_the_exchange(self):
        # Guards against a second run: intents that expired between pages moved others to one sent before.
        self.assert_nothing_is_skipped(report_class=SettlesLate)

    def test_no_intent_is_skipped_by_witnesses_of_the_release_before(self):
        self.assert_nothing_is_skipped(report_class=SettlesLate, log_class=PositionalIntentLog)

    def test_no_intent_is_skipped_for_a_worker_of_the_release_before(self):
        self.assert_nothing_is_skipped(report_class=AscendingReport)

    def test_the_check_finds_what_the_release_before_skipped(self):
        with mock.patch.object(intent_log, "PAGE_SIZE", SMALL_PAGE):
            exchanges = (
                Exchange(seed, SMALL_LOG, PositionalIntentLog, AscendingReport) for seed in range(SEEDS)
            )
            self.assertGreater(sum(bool(exchange.skipped()) for exchange in exchanges), SEEDS // 10)

    def test_a_large_log_is_answered_completely(self):
        for log_class in (IntentLog, PositionalIntentLog):
            for seed in range(2):
                with self.subTest(log_class=log_class.__name__, seed=seed):
                    exchange = Exchange(seed, LARGE_LOG, log_class, SettlesLate)
                    self.assertEqual(exchange.skipped(), set())

    def test_a_snapshot_is_dropped_once_it_is_no_longer_queried(self):
        log = IntentLog(0.0)
        log.record(WORKER, RecordIntent(1, [(bytes(16), 90_000)]), 1.0)
        log.page(WORKER, QueryIntents(1, 0), 2.0)
        self.assertEqual(len(log._snapshots), 1)
        log.remove_expired(2.0 + intent_log.SNAPSHOT_LIFETIME_S + 0.1)
        self.assertEqual(log._snapshots, {})

    def test_a_witness_that_restarts_during_the_exchange_proves_nothing_about_the_time_before(self):
        # Guards against a second run: the age of the log was taken from the first answer alone.
        report = WitnessQuorumReport(("a",), WINDOW_S, 7, 100.0)
        report.add_page("a", IntentPage(7, 0, 2, 90_000, []), 100.0)
        report.add_page("a", IntentPage(8, 1, 1, 500, []), 102.0)
        report.add_page("a", IntentPage(8, 0, 1, 600, []), 102.1)
        self.assertTrue(report.has_quorum)
        self.assertAlmostEqual(report.hold_s(102.1), WINDOW_S - 0.6)


if __name__ == "__main__":
    unittest.main()
