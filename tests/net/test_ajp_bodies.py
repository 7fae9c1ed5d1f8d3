"""Bodies that a request's answer does not need, or that are longer or shorter than announced."""

import struct

from tests.net.ajp_case import AjpTestCase
from tests.stand_ins.ajp_packets import TO_SERVER, encode_packet, encode_text
from tests.stand_ins.sockets import connection_end

FORWARD_LENGTH = 0x0204  # a chunk of this length begins with the bytes 2 and 4, as a forwarded POST does
MAX_BODY_BYTES = 20_000
FILING_KEY = "sent-by-no-web-server"


def body_that_reads_as_a_filing() -> bytes:
    """Returns a body whose chunk, read as a packet, is a Forward Request of a filing."""
    body = b"".join(encode_text(text) for text in ("HTTP/1.1", "/filings", "127.0.0.1", "inside", "site"))
    body += struct.pack(">HBH", 80, 0, 1) + encode_text("Idempotency-Key") + encode_text(FILING_KEY)
    return (body + b"\xff").ljust(FORWARD_LENGTH, b".")


class UnreadBodyTest(AjpTestCase):
    """Requests that are answered without their body."""

    options = AjpTestCase.options | {"max_body": MAX_BODY_BYTES}

    def assert_next_request_gets_its_own_answer(self, client):
        client.request("GET", "/reads/next")
        packet, _, respond = self.server.next_request()
        self.assertIn(b"/reads/next", packet)
        respond(data=b"next")
        self.assertEqual(client.answer()[::2], (200, b"next"))
        self.assertTrue(self.server.received.empty())

    def test_the_body_of_a_health_check_is_not_read_as_a_request(self):
        """Guards against a filing that no web server sent, and another request's answer for the next client."""
        client = self.program.ajp_client()
        self.assertEqual(client.call("GET", "/healthz", body=body_that_reads_as_a_filing())[0], 200)
        self.assert_next_request_gets_its_own_answer(client)

    def test_the_body_of_a_rejected_request_is_not_read_as_a_request(self):
        client = self.program.ajp_client()
        for uri, status in (("/none", 404), ("/filings", 400)):
            self.assertEqual(client.call("POST", uri, body=body_that_reads_as_a_filing())[0], status)
        self.assert_next_request_gets_its_own_answer(client)

    def test_a_health_check_whose_body_never_comes_is_answered_and_its_connection_ends(self):
        client = self.program.ajp_client()
        client.forward("GET", "/healthz", length=10)
        self.assertEqual(client.answer()[0], 200)
        self.assertEqual(connection_end(client.sock), "closed")
