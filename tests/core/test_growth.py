"""Tests how costs grow with the size of the configuration and the load.

Costs are counts of bytecode instructions, bytes, lines and records, never times. The expected slopes are
those of docs/CAPACITY.md. Costs that must not grow are compared for equality at three sizes.
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
LEARNED_BYTES_PER_TENANT = 85  # learned state of a new tenant


class InstructionCountTest(unittest.TestCase):
    """Tests of the instruction counter."""

    def test_instructions_of_a_loop_are_counted(self):
        few, many = (count_instructions(lambda n=n: [x + 1 for x in range(n)]) for n in (10, 110))
        self.assertGreater(many - few, 100)

    def test_the_count_of_the_same_call_is_reproducible(self):
        self.assertEqual(*(count_instructions(lambda: sum(x for x in range(50))) for _ in "ab"))

    def test_garbage_collection_and_its_callbacks_are_not_counted(self):
        def call():
            return [[] for _ in range(50)]  # with a threshold of one object, each starts a collection

        expected, phases = count_instructions(call), []

        def callback(phase, info):
            phases.append(phase)

        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        self.addCleanup(gc.callbacks.remove, callback)
        gc.callbacks.append(callback)
        gc.set_threshold(1)
        call()
        self.assertGreater(len(phases), 0)  # Hypothesis installs such callbacks too
        self.assertEqual(count_instructions(call), expected)
        self.assertIn(callback, gc.callbacks)
        self.assertTrue(gc.isenabled())


class RecordingParts:
    """Executor and Responder that record their calls, and a Waker that does nothing."""

    def __init__(self):
        self.started, self.answers = [], []

    def start(self, request):
        self.started.append(request)

    def served(self, result):
        self.answers.append(result)
        return True

    def rejected(self, retry_after_ns, no_retry):
        self.answers.append(retry_after_ns)

    def failed(self, reason, result=None):
        self.answers.append(reason)

    def origin(self):
        return "", ""

    def set(self):
        pass


class CoreHarness:
    """A core with a simulated clock and recording parts."""

    def __init__(self, tenants=3, classes=2):
        site = site_settings()
        site["FamilyInfo"] |= {"Cores": 700, "HeapKb": 90e9}
        site["Rules"] |= {"TipMultiple": 1.3}
        site["Classes"] = [dict(site["Classes"][n > 0], Name=f"class-{n}") for n in range(classes)]
        site["Classes"][0]["Repeat"] = "idempotent"
        site["Tenants"] = [
            {"Name": f"tenant-{n:06}", "QuotaPerS": 100.0, "Fraction": 1 / tenants} for n in range(tenants)
        ]
        self.now_ns, self.parts, self.request_count = 10**18, RecordingParts(), 0
        self.actor = CoreActor(
            settings_from(site),
            7,
            self.parts,
            lambda: self.now_ns,
            lambda: self.now_ns,
            logging.getLogger("growth"),
            10**9,
            lambda: None,
        )
        self.actor.post(ExecutorReady(False, 0))
        self.actor.step()

    def arrive(self, class_index=0, key=None):
        self.request_count += 1
        request_class, tenant = (
            self.actor.settings.classes[class_index],
            self.actor.settings.tenants[0].name,
        )
        filing_key = (tenant, request_class.name, key) if key else None
        request = InboundRequest(
            f"r{self.request_count:08}",
            request_class,
            self.now_ns,
            None,
            self.parts,
            self.parts,
            tenant,
            memory_kb=1.0,
            idempotency_key=filing_key,
            fingerprint=(None, bytes(32)) if key else None,
        )
        self.actor.post(RequestArrived(request))
        self.actor.step()
        return request

    def complete(self, request):
        self.now_ns += MS
        self.actor.post(RunCompleted(request.reference, RunResult(Outcome.OK, b"done"), MS))
        self.actor.step()

    def serve(self, class_index=0, key=None):
        request = self.arrive(class_index, key)
        self.complete(request)
        assert (
            request.answered and len(self.parts.answers) and isinstance(self.parts.answers[-1], RunResult)
        ), self.parts.answers


def instructions_per_request(core):
    """Returns the instructions that the core takes for one request, from arrival to answer.

    The expiry time is advanced so that no expiry search falls into the measured call.
    """
    core.actor.last_expiry_ns = core.now_ns
    for _ in range(3):
        core.serve()
    core.actor.last_expiry_ns = core.now_ns
    return count_instructions(core.serve)


class RequestCostTest(unittest.TestCase):
    """Instructions of the core per request, from arrival to answer; periodic work is tested elsewhere."""

    def test_cost_does_not_grow_with_tenants(self):
        counts = {n: instructions_per_request(CoreHarness(tenants=n)) for n in SIZES}
        self.assertEqual(len(set(counts.values())), 1, counts)

    def test_cost_does_not_grow_with_filings_within_their_window(self):
        counts = {}
        for size in (3, 100, 600):
            core = CoreHarness()
            for n in range(size):
                core.serve(1, f"key {n}")
            self.assertEqual(len(core.actor.idempotency.runs), size)
            counts[size] = instructions_per_request(core)
        # Time-dependent branches cause a small difference; a loop over all filings would add at least one
        # instruction for each.
        self.assertLess(max(counts.values()) - min(counts.values()), 600 - 100, counts)

    def test_cost_does_not_grow_with_open_requests(self):
        """The heap of deadlines grows with the logarithm, but in C, which is not counted."""
        counts = {}
        for size in (3, 100, 600):
            core = CoreHarness()
            for _ in range(size):
                core.arrive()
            self.assertEqual(len(core.actor.open_requests), size)
            counts[size] = instructions_per_request(core)
        self.assertEqual(len(set(counts.values())), 1, counts)


class ReportSizeTest(unittest.TestCase):
    """Sizes of the exported metrics and of the heartbeat to the membership service."""

    def test_metrics_do_not_grow_with_tenants(self):
        texts = {CoreHarness(tenants=n).actor.metrics.text(0) for n in SIZES}
        self.assertEqual(len(texts), 1)

    def test_metrics_grow_linearly_with_classes(self):
        def length(count):
            return len(Metrics(f"class-{n:04}" for n in range(count)).text(0))

        a, b, c = (length(n) for n in (10, 110, 210))
        self.assertEqual(b - a, c - b)
        self.assertLessEqual((b - a) / 100, 160, "the documented slope, in bytes per class")

    def test_a_heartbeat_does_not_grow_with_tenants(self):
        reports = set()
        for size in SIZES:
            core, loop = CoreHarness(tenants=size), mock.Mock()
            heartbeat = MembershipHeartbeat(loop, core.actor, ("127.0.0.1", 9), "worker-0001", core.actor.log)
            reports.add(heartbeat._encode(Phase.UP))
        self.assertEqual(len(reports), 1)
        self.assertLess(len(reports.pop()), 200)


class IdentityCodec:
    """Codec that returns details unchanged."""

    def to_json(self, detail):
        return detail


def snapshot_line_lengths(core):
    return [len(json.dumps(line)) for line in snapshot_lines(core.actor.freeze(), 0, IdentityCodec())]


class HandoverSizeTest(unittest.TestCase):
    """Sizes of the state that a process hands over to its successor."""

    def test_a_filing_takes_two_lines_and_a_request_one(self):
        counts = {}
        for filings, requests in ((0, 0), (10, 0), (20, 0), (0, 10), (0, 20)):
            core = CoreHarness()
            for n in range(filings):
                core.serve(1, f"key {n:04}")
            for _ in range(requests):
                core.arrive()
            counts[filings, requests] = len(snapshot_line_lengths(core))
        base = counts[0, 0]
        # One more line is written for the class to which the filings or requests belong.
        self.assertEqual([counts[10, 0] - base - 1, counts[20, 0] - base - 1], [20, 40])
        self.assertEqual([counts[0, 10] - base - 1, counts[0, 20] - base - 1], [10, 20])

    def test_bytes_of_a_filing_do_not_grow_with_tenants(self):
        totals = {}
        for size in SIZES:
            core = CoreHarness(tenants=size)
            core.serve(1, "key 0001")
            _state_line, *rest = snapshot_line_lengths(core)
            totals[size] = sum(rest)
        # Times may have different numbers of digits.
        self.assertLess(max(totals.values()) - min(totals.values()), 30, totals)
        self.assertLess(max(totals.values()), 1500)

    def test_learned_state_grows_by_the_documented_bytes_per_tenant(self):
        a, b = (snapshot_line_lengths(CoreHarness(tenants=n))[0] for n in (1000, 3000))
        # The values are initial ones; learned values have more digits.
        self.assertLessEqual((b - a) / 2000, LEARNED_BYTES_PER_TENANT)


class StoreOperationSizeTest(unittest.TestCase):
    """Sizes of what a filing writes to the store."""

    def test_steps_of_a_filing_are_coalesced_into_one_change(self):
        filing_key = "tenant-000001", "class-1", "key"
        intent_record = IntentRecord(filing_key, "r1", 1, 1, None, None, bytes(32))
        key = encode_key(filing_key)
        steps = [PutIntent(None, key, intent_record), PutResult(key, ResultRecord("OK", True, bytes(300)))]
        changes = coalesce(steps)
        self.assertEqual((len(changes.by_key), len(changes.named)), (1, 0))
        changes = coalesce([*steps, DeleteIntent(key)])
        self.assertIsNone(changes.by_key[key].intent)

    def test_record_size_does_not_grow_with_the_number_of_filings(self):
        sizes = set()
        for n in (1, 10**3, 10**6):
            filing_key = "tenant-000001", "class-1", f"key {n:032}"
            sizes.add(
                len(
                    encode_record(
                        encode_key(filing_key),
                        IntentRecord(filing_key, f"r{n:08}", 1, 1, None, None, bytes(32)),
                    )
                )
            )
        self.assertEqual(len(sizes), 1)


class PeerMessageSizeTest(unittest.TestCase):
    """Sizes of the messages between workers."""

    def _counters(self, number, tenants):
        counters = ReplicatedCounters(wire.Incarnation(f"worker-{number:04}", 1 << 40, 1 << 61), 3000)
        for n in range(tenants):
            for counter_name in ("answered", "deferred", "errored"):
                counters.add(f"tenant/tenant-{n:06}/{counter_name}", 1000)
        return counters

    def _ack_bytes(self, tenants, members):
        counters = self._counters(1, tenants)
        for n in range(members):
            counters.merge_snapshot(self._counters(n + 2, tenants).snapshots(0.0)[0], 0, 0)
        return len(wire._encode([wire.Ack(1 << 61, "", [], [], counters.snapshots(1.0))]))

    def test_counters_in_an_ack_do_not_grow_with_the_fleet(self):
        self.assertEqual(len({self._ack_bytes(10, n) for n in (4, 100, 400)}), 1)

    def test_an_ack_fits_into_a_datagram_with_any_number_of_tenants(self):
        sizes = {n: self._ack_bytes(n, 4) for n in SIZES}
        # The rest of the datagram is needed for member states and statuses.
        self.assertLess(max(sizes.values()), 0.8 * wire.MAX_DATAGRAM_BYTES, sizes)


if __name__ == "__main__":
    unittest.main()
