"""Datagrams between members: signed, bounded, and read or refused whole."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.peers import wire
from tests.peers.peer_messages import SECRETS, message


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
