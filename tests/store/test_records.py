"""Records as they are stored, and learned state within them."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.store import records
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
from tests.store.store_values import TOKEN, intent


class Records(unittest.TestCase):
    ALL = (
        (intent(), encode_key(TOKEN)),
        (ResultRecord("OK", True, b"body", b'{"a": 1}', 3), b"k"),
        (LearnedStateRecord(Timestamp(1), {"a": [1]}, 1), b"learned"),
        (DataLossRecord(Timestamp(1), 2, "why"), b"loss"),
        (CommitSummary(1, 2, 2**64 - 1), b"census"),
    )

    def test_what_was_packed_is_unpacked(self):
        for record, key in self.ALL:
            self.assertEqual(decode_record(key, encode_record(key, record), type(record)), record)

    @given(st.sampled_from(ALL), st.data())
    def test_any_change_to_any_byte_is_seen(self, which, data):
        record, key = which
        packed = bytearray(encode_record(key, record))
        at = data.draw(st.integers(0, len(packed) - 1))
        packed[at] ^= 1 << data.draw(st.integers(0, 7))
        with self.assertRaises((CorruptRecordError, UnsupportedFormatError)):
            decode_record(key, bytes(packed), type(record))
        cut = data.draw(st.integers(0, len(packed) - 1))
        with self.assertRaises(CorruptRecordError):
            decode_record(key, encode_record(key, record)[:cut], type(record))

    def test_a_record_under_another_key_or_of_another_kind_is_damaged(self):
        record, key = self.ALL[0]
        with self.assertRaises(CorruptRecordError):
            decode_record(key + b"x", encode_record(key, record), IntentRecord)
        with self.assertRaises(CorruptRecordError):
            decode_record(key, encode_record(key, CommitSummary()), IntentRecord)

    def test_one_of_version_1_is_made_into_one_of_now(self):
        old = msgspec.msgpack.encode([[1, "b", 2], {"a": 1}])
        data = bytes((1,)) + records.checksum(b"learned", b"\1" + old).to_bytes(8, "big") + old
        self.assertEqual(
            decode_record(b"learned", data, LearnedStateRecord),
            LearnedStateRecord(Timestamp(1, "b", 2), {"a": 1}, 1),
        )

    def test_one_of_a_newer_version_is_told_apart(self):
        record, key = self.ALL[0]
        with self.assertRaises(UnsupportedFormatError):
            decode_record(key, encode_record(key, record, records.FORMAT_VERSION + 1), IntentRecord)

    @given(st.binary(max_size=60))
    def test_no_bytes_raise_anything_else(self, data):
        for kind in (IntentRecord, ResultRecord, CommitSummary):
            with self.assertRaises((CorruptRecordError, UnsupportedFormatError)):
                decode_record(b"k", data, kind)


class Json(unittest.TestCase):
    def test_keys_tell_tenants_apart_that_have_none(self):
        self.assertNotEqual(encode_key((None, "a", "b")), encode_key(("", "a", "b")))
        self.assertEqual(msgspec.msgpack.decode(encode_key(TOKEN)), list(TOKEN))
