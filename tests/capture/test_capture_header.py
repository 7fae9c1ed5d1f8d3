"""The header of a capture that is written in pieces."""

import unittest

import msgspec

from ochrehoist.capture.encoding import (
    CaptureDamage,
    decode_records,
    encode_header,
    encode_tenants,
    file_prefix,
)
from ochrehoist.capture.records import CaptureHeader


class Captured(unittest.TestCase):
    def test_a_head_of_thousands_of_tenants_in_pieces_reads_as_one_that_is_written_whole(self):
        for count in (0, 3, 70_000):
            of = tuple((f"t{n}", float(n)) for n in range(count))
            header = CaptureHeader("n1", 5, 1.0, 4, 1000.0, (("read", 1, 2, 1.0, 0.0),), of)
            parts = [encode_tenants(of[n : n + 500]) for n in range(0, count, 500)]
            data = file_prefix() + encode_header(msgspec.structs.replace(header, tenants=()), count, parts)
            self.assertEqual(list(decode_records(data, CaptureDamage())), [header])
