"""Peer datagrams: authentication, size limits, rejection and replay protection."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ochrehoist.peers import wire
from tests.peers.peer_messages import SECRETS, make_message


class WireTest(unittest.TestCase):
    """Encoding, authentication and size limits."""

    def test_encoded_message_is_decoded_unchanged(self):
        self.assertEqual(
            wire.decode_datagram(wire.encode_datagram(make_message(), SECRETS[0]), SECRETS, "g"),
            make_message(),
        )

    def test_secret_is_rotated_in_two_steps(self):
        old, new = SECRETS
        old_datagram, new_datagram = (
            wire.encode_datagram(make_message(), old),
            wire.encode_datagram(make_message(), new),
        )
        for secrets in ((old, new), (new, old)):
            wire.decode_datagram(old_datagram, secrets, "g")
            wire.decode_datagram(new_datagram, secrets, "g")
        with self.assertRaises(wire.MessageRejectedError):
            wire.decode_datagram(old_datagram, (new,), "g")

    def test_rejection_reasons_are_distinguished(self):
        body = bytes((wire.VERSION + 1,)) + b"x"
        for data, reason in (
            (wire.encode_datagram(make_message(), b"another secret...."), "stranger"),
            (wire.encode_datagram(make_message(group="h"), SECRETS[0]), "group"),
            (wire.MAGIC + wire._digest(body, SECRETS[0]) + body, "version"),
            (b"", "garbled"),
            (wire.MAGIC + b"0" * (wire.MAX_DATAGRAM_BYTES + 1), "garbled"),
        ):
            with self.subTest(reason), self.assertRaisesRegex(wire.MessageRejectedError, reason):
                wire.decode_datagram(data, SECRETS, "g")

    @given(st.binary(max_size=300), st.integers(0, 400), st.booleans())
    def test_arbitrary_bytes_are_rejected(self, noise, at, signed):
        data = wire.encode_datagram(make_message(), SECRETS[0])
        for datagram in (
            noise,
            data[:at],
            data[:at] + noise + data[at:],
            wire.MAGIC + wire._digest(b"\1" + noise, SECRETS[0]) + b"\1" + noise if signed else noise,
        ):
            if datagram == data:
                continue
            with self.assertRaises(wire.MessageRejectedError):
                wire.decode_datagram(datagram, SECRETS, "g")

    @given(st.lists(st.integers(1, 3 * wire.REPLAY_WINDOW), max_size=200))
    def test_each_message_is_accepted_once_in_any_order(self, sequences):
        window, accepted = wire.ReplayWindow(), set()
        for sequence in sequences:
            if window.accept(sequence):
                self.assertNotIn(sequence, accepted)
                accepted.add(sequence)
            else:
                self.assertTrue(sequence in accepted or sequence <= max(accepted) - wire.REPLAY_WINDOW)
