"""What grows with the size, counted: bytecodes, bytes, lines and records, never time.

The stated slopes are those of docs/CAPACITY.md. What does not grow is compared for equality at three sizes.
"""

import gc
import json
import logging
import unittest
from unittest import mock

from ochrehoist.admission.events import Outcome
from ochrehoist.config.settings import settings_from
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.handover_snapshot import snapshot_lines
from ochrehoist.core.messages import ExecutorReady, RequestArrived, RunCompleted
from ochrehoist.core.metrics import Metrics
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import RunResult
from ochrehoist.net.membership_heartbeat import MembershipHeartbeat, Phase
from ochrehoist.peers import wire
from ochrehoist.peers.counters import ReplicatedCounters
from ochrehoist.store.operations import DeleteIntent, PutIntent, PutResult, coalesce
from ochrehoist.store.records import IntentRecord, ResultRecord, encode_key, encode_record
from tests.support.environment import MS
from tests.support.instruction_count import count_instructions
from tests.support.site_settings import site_settings

SIZES = 3, 300, 3000
LEARNED = 85  # bytes a tenant, of what was learned, before there is much to tell


class InstructionCountTest(unittest.TestCase):
    """The count itself."""

    def test_a_loop_within_a_call_counts(self):
        few, many = (count_instructions(lambda n=n: [x + 1 for x in range(n)]) for n in (10, 110))
        self.assertGreater(many - few, 100)

    def test_the_same_call_counts_the_same(self):
        self.assertEqual(*(count_instructions(lambda: sum(x for x in range(50))) for _ in "ab"))

    def test_neither_the_collector_nor_its_callbacks_count(self):
        def call():
            return [[] for _ in range(50)]  # at a threshold of one object, the collector comes in for each

        alone, seen = count_instructions(call), []

        def callback(phase, info):
            seen.append(phase)

        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        self.addCleanup(gc.callbacks.remove, callback)
        gc.callbacks.append(callback)
        gc.set_threshold(1)
        call()
        self.assertGreater(len(seen), 0)  # such as Hypothesis leaves there
        self.assertEqual(count_instructions(call), alone)
        self.assertIn(callback, gc.callbacks)
        self.assertTrue(gc.isenabled())


class Runs:
    """An executor that keeps what it is given; a responder that is told; a waker that nobody waits for."""

    def __init__(self):
        self.started, self.told = [], []

    def start(self, request):
        self.started.append(request)

    def served(self, result):
        self.told.append(result)
        return True

    def rejected(self, backoff, no_retry):
        self.told.append(backoff)

    def failed(self, reason, result=None):
        self.told.append(reason)

    def origin(self):
        return "", ""

    def set(self):
        pass


class Core:
    """A core on a clock of its own."""

    def __init__(self, tenants=3, classes=2):
        site = site_settings()
        site["FamilyInfo"] |= {"Cores": 700, "HeapKb": 90e9}
        site["Rules"] |= {"TipMultiple": 1.3}
        site["Classes"] = [dict(site["Classes"][n > 0], Name=f"class-{n}") for n in range(classes)]
        site["Classes"][0]["Repeat"] = "idempotent"
        site["Tenants"] = [
            {"Name": f"tenant-{n:06}", "QuotaPerS": 100.0, "Fraction": 1 / tenants} for n in range(tenants)
        ]
        self.now, self.part, self.sent = 10**18, Runs(), 0
        self.owner = CoreActor(
            settings_from(site),
            7,
            self.part,
            lambda: self.now,
            lambda: self.now,
            logging.getLogger("growth"),
            10**9,
            lambda: None,
        )
        self.owner.post(ExecutorReady(False, 0))
        self.owner.step()

    def comes(self, kind=0, key=None):
        self.sent += 1
        cls, tenant = self.owner.settings.classes[kind], self.owner.settings.tenants[0].name
        token = (tenant, cls.name, key) if key else None
        r = InboundRequest(
            f"r{self.sent:08}",
            cls,
            self.now,
            None,
            self.part,
            self.part,
            tenant,
            memory_kb=1.0,
            idempotency_key=token,
            fingerprint=(None, bytes(32)) if key else None,
        )
        self.owner.post(RequestArrived(r))
        self.owner.step()
        return r

    def ends(self, r):
        self.now += MS
        self.owner.post(RunCompleted(r.id, RunResult(Outcome.OK, b"done"), MS))
        self.owner.step()

    def goes_through(self, kind=0, key=None):
        r = self.comes(kind, key)
        self.ends(r)
        assert r.answered and len(self.part.told) and isinstance(self.part.told[-1], RunResult), (
            self.part.told
        )


def one_request(core):
    """Its way through the core, whole; nothing else falls due meanwhile."""
    core.owner.last_expiry_ns = core.now
    for _ in range(3):
        core.goes_through()
    core.owner.last_expiry_ns = core.now
    return count_instructions(core.goes_through)


class RequestsWay(unittest.TestCase):
    """One request: read, decided, begun, ended and answered. The module's beat has tests of its own."""

    def test_the_same_whatever_tenants_there_are(self):
        counts = {n: one_request(Core(tenants=n)) for n in SIZES}
        self.assertEqual(len(set(counts.values())), 1, counts)

    def test_the_same_whatever_filings_are_within_their_window(self):
        counts = {}
        for size in (3, 100, 600):
            core = Core()
            for n in range(size):
                core.goes_through(1, f"key {n}")
            self.assertEqual(len(core.owner.idempotency.runs), size)
            counts[size] = one_request(core)
        # Branches of the clock differ by a few; a loop over them would add one for each at least.
        self.assertLess(max(counts.values()) - min(counts.values()), 600 - 100, counts)

    def test_the_same_whatever_runs_beside_it(self):
        """But for the heap of last moments, which goes with the logarithm, in C."""
        counts = {}
        for size in (3, 100, 600):
            core = Core()
            for _ in range(size):
                core.comes()
            self.assertEqual(len(core.owner.open_requests), size)
            counts[size] = one_request(core)
        self.assertEqual(len(set(counts.values())), 1, counts)


class Told(unittest.TestCase):
    """What is told to whoever asks: figures, and the report to the membership service."""

    def test_figures_do_not_grow_with_tenants(self):
        texts = {Core(tenants=n).owner.metrics.text(0) for n in SIZES}
        self.assertEqual(len(texts), 1)

    def test_figures_grow_by_the_same_for_each_class(self):
        def length(count):
            return len(Metrics(f"class-{n:04}" for n in range(count)).text(0))

        a, b, c = (length(n) for n in (10, 110, 210))
        self.assertEqual(b - a, c - b)
        self.assertLessEqual((b - a) / 100, 160, "the slope that the page states, in bytes a class")

    def test_a_report_is_the_same_whatever_the_worker_holds(self):
        reports = set()
        for size in SIZES:
            core, loop = Core(tenants=size), mock.Mock()
            heartbeat = MembershipHeartbeat(loop, core.owner, ("127.0.0.1", 9), "worker-0001", core.owner.log)
            reports.add(heartbeat._encode(Phase.UP))
        self.assertEqual(len(reports), 1)
        self.assertLess(len(reports.pop()), 200)


class PlainReplyCodec:
    """Replies as they are."""

    def to_json(self, detail):
        return detail


def handed(core):
    return [len(json.dumps(line)) for line in snapshot_lines(core.owner.freeze(), 0, PlainReplyCodec())]


class HandedOver(unittest.TestCase):
    """What a process hands to the one that replaces it."""

    def test_two_lines_a_filing_and_one_a_request(self):
        counts = {}
        for filings, requests in ((0, 0), (10, 0), (20, 0), (0, 10), (0, 20)):
            core = Core()
            for n in range(filings):
                core.goes_through(1, f"key {n:04}")
            for _ in range(requests):
                core.comes()
            counts[filings, requests] = len(handed(core))
        least = counts[0, 0]
        # The first filing brings its class with it; so does the first request.
        self.assertEqual([counts[10, 0] - least - 1, counts[20, 0] - least - 1], [20, 40])
        self.assertEqual([counts[0, 10] - least - 1, counts[0, 20] - least - 1], [10, 20])

    def test_what_a_filing_takes_does_not_grow_with_tenants(self):
        longest = {}
        for size in SIZES:
            core = Core(tenants=size)
            core.goes_through(1, "key 0001")
            _first, *rest = handed(core)
            longest[size] = sum(rest)
        self.assertLess(max(longest.values()) - min(longest.values()), 30, longest)  # digits of times
        self.assertLess(max(longest.values()), 1500)

    def test_what_was_learned_grows_by_the_stated_bytes_a_tenant(self):
        a, b = (handed(Core(tenants=n))[0] for n in (1000, 3000))
        # Names and values as they are at the start; values that were learned have more digits.
        self.assertLessEqual((b - a) / 2000, LEARNED)


class StoredOperationsTest(unittest.TestCase):
    """What a filing writes to the store."""

    def test_a_filing_is_one_change_whatever_its_steps(self):
        token = "tenant-000001", "class-1", "key"
        begun = IntentRecord(token, "r1", 1, 1, None, None, bytes(32))
        key = encode_key(token)
        steps = [PutIntent("r1", key, begun), PutResult(key, ResultRecord("OK", True, bytes(300)))]
        changes = coalesce(steps)
        self.assertEqual((len(changes.by_key), len(changes.named)), (1, 0))
        changes = coalesce([*steps, DeleteIntent(key)])
        self.assertIsNone(changes.by_key[key].intent)

    def test_its_bytes_do_not_grow_with_how_many_there_are(self):
        sizes = set()
        for n in (1, 10**3, 10**6):
            token = "tenant-000001", "class-1", f"key {n:032}"
            sizes.add(
                len(
                    encode_record(
                        encode_key(token), IntentRecord(token, f"r{n:08}", 1, 1, None, None, bytes(32))
                    )
                )
            )
        self.assertEqual(len(sizes), 1)


class MemberMessagesTest(unittest.TestCase):
    """What members send each other."""

    def _counters(self, number, tenants):
        counters = ReplicatedCounters(wire.Incarnation(f"worker-{number:04}", 1 << 40, 1 << 61), 3000)
        for n in range(tenants):
            for word in ("answered", "deferred", "errored"):
                counters.add(f"tenant/tenant-{n:06}/{word}", 1000)
        return counters

    def _answer(self, tenants, members):
        mine = self._counters(1, tenants)
        for n in range(members):
            mine.merge_snapshot(self._counters(n + 2, tenants).snapshots(0.0)[0], 0, 0)
        return len(wire._encode([wire.Ack(1 << 61, "", [], [], mine.snapshots(1.0))]))

    def test_counts_in_an_answer_do_not_grow_with_the_fleet(self):
        self.assertEqual(len({self._answer(10, n) for n in (4, 100, 400)}), 1)

    def test_an_answer_fits_a_datagram_whatever_tenants_were_answered(self):
        sizes = {n: self._answer(n, 4) for n in SIZES}
        self.assertLess(
            max(sizes.values()), 0.8 * wire.MAX_DATAGRAM_BYTES, sizes
        )  # the rest is for states and statuses


if __name__ == "__main__":
    unittest.main()
