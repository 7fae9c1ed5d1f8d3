"""Encoding, decoding and migration of stored records and keys."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.core.idempotency_table import WINDOW_MARGIN_NS, IdempotentRun
from ochrehoist.core.request import new_reference
from ochrehoist.store import records
from ochrehoist.store.journal_records import is_same_run
from ochrehoist.store.records import (
    CommitSummary,
    CorruptRecordError,
    DataLossRecord,
    IntentRecord,
    LearnedStateRecord,
    ResultRecord,
    UnsupportedFormatError,
    decode_record,
    encode_key,
    encode_record,
)
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S
from tests.store.store_values import IDEMPOTENCY_KEY, intent


class RecordsTest(unittest.TestCase):
    """Encoded records of each type."""

    ALL = (
        (intent(), encode_key(IDEMPOTENCY_KEY)),
        (ResultRecord("OK", True, b"body", b'{"a": 1}', 3), b"k"),
        (LearnedStateRecord(Timestamp(1), {"a": [1]}, 1), b"learned"),
        (DataLossRecord(Timestamp(1), 2, "why"), b"loss"),
        (CommitSummary(1, 2, 2**64 - 1), b"census"),
    )

    def test_an_encoded_record_is_decoded_to_an_equal_one(self):
        for record, key in self.ALL:
            self.assertEqual(decode_record(key, encode_record(key, record), type(record)), record)

    @given(st.sampled_from(ALL), st.data())
    def test_a_flipped_bit_or_a_truncation_is_detected(self, record_and_key, data):
        record, key = record_and_key
        encoded = bytearray(encode_record(key, record))
        index = data.draw(st.integers(0, len(encoded) - 1))
        encoded[index] ^= 1 << data.draw(st.integers(0, 7))
        with self.assertRaises((CorruptRecordError, UnsupportedFormatError)):
            decode_record(key, bytes(encoded), type(record))
        length = data.draw(st.integers(0, len(encoded) - 1))
        with self.assertRaises(CorruptRecordError):
            decode_record(key, encode_record(key, record)[:length], type(record))

    def test_a_record_under_another_key_or_of_another_type_is_corrupt(self):
        record, key = self.ALL[0]
        with self.assertRaises(CorruptRecordError):
            decode_record(key + b"x", encode_record(key, record), IntentRecord)
        with self.assertRaises(CorruptRecordError):
            decode_record(key, encode_record(key, CommitSummary()), IntentRecord)

    def test_a_record_of_version_1_is_migrated(self):
        old = msgspec.msgpack.encode([[1, "b", 2], {"a": 1}])
        data = bytes((1,)) + records.checksum(b"learned", b"\1" + old).to_bytes(8, "big") + old
        self.assertEqual(
            decode_record(b"learned", data, LearnedStateRecord),
            LearnedStateRecord(Timestamp(1, "b", 2), {"a": 1}, 1),
        )

    def test_a_record_of_a_newer_version_is_unsupported(self):
        record, key = self.ALL[0]
        with self.assertRaises(UnsupportedFormatError):
            decode_record(key, encode_record(key, record, records.FORMAT_VERSION + 1), IntentRecord)

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_raise_no_other_error(self, data):
        for record_type in (IntentRecord, ResultRecord, CommitSummary):
            with self.assertRaises((CorruptRecordError, UnsupportedFormatError)):
                decode_record(b"k", data, record_type)


class SameRunTest(unittest.TestCase):
    """A restored run beside one that the core knows, of the same key."""

    def test_a_later_run_under_the_id_of_the_stored_one_is_another_run(self):
        # Guards against a second run: the store was not told of a run with the id of an earlier one.
        window_ns = 20 * NS_PER_S
        stored = IdempotentRun(new_reference("same"), window_ns, None, restored=True)
        for request_id, window_end_ns, same in (
            ("same", window_ns, True),
            ("same", window_ns + WINDOW_MARGIN_NS, True),  # times are rounded in the store
            ("same", 2 * window_ns, False),
            ("other", window_ns, False),
        ):
            with self.subTest(request_id=request_id, window_end_ns=window_end_ns):
                known = IdempotentRun(new_reference(request_id), window_end_ns, None)
                self.assertIs(is_same_run(stored, known), same)


class EncodedKeyTest(unittest.TestCase):
    """Encoding of idempotency keys."""

    def test_keys_with_an_empty_tenant_and_without_a_tenant_differ(self):
        self.assertNotEqual(encode_key((None, "a", "b")), encode_key(("", "a", "b")))
        self.assertEqual(msgspec.msgpack.decode(encode_key(IDEMPOTENCY_KEY)), list(IDEMPOTENCY_KEY))
