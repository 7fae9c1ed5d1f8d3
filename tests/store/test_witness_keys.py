"""Witnesses know a filing again after the folder was lost and its class was renamed."""

import unittest
from types import SimpleNamespace

from ochrehoist.admission.settings import Idempotency, RequestClass
from ochrehoist.core.request import InboundRequest, RequestReference
from ochrehoist.net.intent_replication import IntentReplicationService
from ochrehoist.recovery.intent_log import IntentLog
from ochrehoist.recovery.messages import PAGE_SIZE, RecordIntent, WitnessTopic, decode, key_digest
from ochrehoist.recovery.pending_intents import PendingIntents
from ochrehoist.store.records import encode_key
from ochrehoist.store.witness_keys import possible_witness_keys, witness_keys

WINDOW_S = 20.0
TARGET, BODY, OTHER = b"t" * 32, b"b" * 32, b"o" * 32


def attempt(class_name, fingerprint, tenant="acme", other_keys=()):
    """Returns an attempt of the filing `k`."""
    request_class = RequestClass(
        name=class_name, latency_objective_ns=1, deadline_ns=1, idempotency=Idempotency.KEYED
    )
    return InboundRequest(
        id="r",
        request_class=request_class,
        arrived_ns=0,
        payload=None,
        responder=None,
        executor=None,
        idempotency_key=(tenant, class_name, "k"),
        other_keys=other_keys,
        fingerprint=fingerprint,
    )


class WitnessKeysTest(unittest.TestCase):
    """Guards against a second run after a folder was lost and a class renamed."""

    def may_have_run(self, ran, repeated, class_names=()):
        """Returns what a worker says of a repeat, which has only the record of a witness."""
        pending, log = PendingIntents(["w"]), IntentLog(0.0)
        pending.add(ran.reference, witness_keys(ran.idempotency_key, ran.fingerprint), WINDOW_S, 0.25, 0.0)
        [(_, data)] = pending.messages(0.0, lambda _: True)
        log.record("n1", decode(WitnessTopic.RECORD_INTENT, data), 0.0)
        worker = SimpleNamespace(history_known=True, missing_runs=log._expiry_by_worker["n1"])
        worker.missing_runs = {digest: float("inf") for digest in worker.missing_runs}
        return IntentReplicationService.may_have_run(worker, possible_witness_keys(repeated, class_names))

    def test_a_filing_over_ajp_is_known_by_its_target_under_another_class(self):
        ran = attempt("filing", (TARGET, BODY))
        self.assertTrue(self.may_have_run(ran, attempt("filing", (TARGET, BODY))))
        self.assertTrue(self.may_have_run(ran, attempt("filing-2027", (TARGET, BODY))))
        self.assertTrue(self.may_have_run(ran, attempt("filing", (None, BODY))))  # over Thrift
        self.assertFalse(self.may_have_run(ran, attempt("filing-2027", (OTHER, BODY))))
        self.assertFalse(self.may_have_run(ran, attempt("filing", (TARGET, BODY), tenant="other")))

    def test_a_filing_is_known_under_the_tenant_of_an_earlier_configuration(self):
        ran = attempt("filing", (TARGET, BODY), tenant=None)
        repeated = attempt("filing", (TARGET, BODY), other_keys=((None, "filing", "k"),))
        self.assertTrue(self.may_have_run(ran, repeated))

    def test_a_record_of_an_earlier_release_is_known_by_its_class(self):
        log = {key_digest(encode_key(("acme", "filing", "k"))): float("inf")}
        worker = SimpleNamespace(history_known=True, missing_runs=log)
        renamed = attempt("filing-2027", (TARGET, BODY))
        for names, known in ((("filing", "read"), True), (("read",), False)):
            keys = possible_witness_keys(renamed, names)
            self.assertIs(IntentReplicationService.may_have_run(worker, keys), known)

    def test_a_message_holds_no_more_digests_than_a_page(self):
        pending = PendingIntents(["w"])
        keys = witness_keys(("acme", "filing", "k"), (TARGET, BODY))
        for number in range(PAGE_SIZE):
            pending.add(RequestReference("r", number), keys, WINDOW_S, 0.25, 0.0)
        sent = set()
        while len(sent) < PAGE_SIZE:
            [(_, data)] = pending.messages(0.0, lambda request: request not in sent)
            message = decode(WitnessTopic.RECORD_INTENT, data)
            self.assertIsInstance(message, RecordIntent)
            self.assertEqual(len(message.intents), PAGE_SIZE)
            sent.update(pending._requests_by_message[message.number])
        self.assertEqual(pending._message_number, 2)
