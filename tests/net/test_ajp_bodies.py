"""Bodies that a request's answer does not need, or that are longer or shorter than announced."""

import struct

from tests.net.ajp_case import AjpTestCase
from tests.stand_ins.ajp_packets import (
    MAX_BODY_CHUNK_BYTES,
    TO_SERVER,
    TO_WEB_SERVER,
    PacketType,
    encode_packet,
    encode_text,
)
from tests.stand_ins.sockets import RecordingSocket, connection_end

FORWARD_LENGTH = 0x0204  # a chunk of this length begins with the bytes 2 and 4, as a forwarded POST does
MAX_BODY_BYTES = 20_000
FILING_KEY = "sent-by-no-web-server"


def body_that_reads_as_a_filing() -> bytes:
    """Returns a body whose chunk, read as a packet, is a Forward Request of a filing."""
    body = b"".join(encode_text(text) for text in ("HTTP/1.1", "/filings", "127.0.0.1", "inside", "site"))
    body += struct.pack(">HBH", 80, 0, 1) + encode_text("Idempotency-Key") + encode_text(FILING_KEY)
    return (body + b"\xff").ljust(FORWARD_LENGTH, b".")


class BodyTestCase(AjpTestCase):
    """Has a small limit of bodies."""

    options = AjpTestCase.options | {"max_body": MAX_BODY_BYTES}

    def assert_next_request_gets_its_own_answer(self, client):
        client.request("GET", "/reads/next")
        packet, _, respond = self.server.next_request()
        self.assertIn(b"/reads/next", packet)
        respond(data=b"next")
        self.assertEqual(client.answer()[::2], (200, b"next"))
        self.assertTrue(self.server.received.empty())


class UnreadBodyTest(BodyTestCase):
    """Requests that are answered without their body."""

    def test_the_body_of_a_health_check_is_not_read_as_a_request(self):
        """Guards against a filing that no web server sent, and the answer of another request."""
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


class UnannouncedInputTest(BodyTestCase):
    """Input that arrives before the answer, on connections that carry one request at a time."""

    def assert_ended_without_another_answer(self, client):
        self.assertIs(client.reuse, False)
        self.assertEqual(connection_end(client.sock), "closed")
        self.assertTrue(self.server.received.empty())

    def test_a_body_without_a_stated_length_is_not_read_as_the_next_request(self):
        """Guards against a filing that no web server sent."""
        client = self.program.ajp_client()
        client.forward("POST", "/reads/1")
        respond = self.server.next_request().respond
        client.chunk(body_that_reads_as_a_filing())
        self.program.wait_for(lambda status: status["in_hand"] == "1")
        respond(data=b"read")
        self.assertEqual(client.answer()[2], b"read")
        self.assert_ended_without_another_answer(client)

    def test_a_body_that_arrives_with_a_request_answered_at_once_is_not_read_as_the_next_one(self):
        for uri, status in (("/healthz", 200), ("/none", 404)):
            with self.subTest(uri=uri):
                client, recorded = self.program.ajp_client(), []
                sock, client.sock = client.sock, RecordingSocket(recorded)
                client.forward("GET", uri)
                client.chunk(body_that_reads_as_a_filing())
                client.sock = sock
                sock.sendall(b"".join(recorded))
                self.assertEqual(client.answer()[0], status)
                self.assert_ended_without_another_answer(client)

    def test_an_answer_in_the_middle_of_a_body_says_that_the_connection_ends(self):
        client = self.program.ajp_client()
        client.forward("POST", "/reads/1", {"Transfer-Encoding": "chunked"})
        self.assertEqual(client.answer(b"x" * (MAX_BODY_BYTES + 1))[0], 413)
        self.assert_ended_without_another_answer(client)


class WrongLengthTest(BodyTestCase):
    """Bodies whose lengths contradict each other: the connection ends, since its next byte has no meaning."""

    def assert_ended_unanswered(self, client):
        self.assertEqual(connection_end(client.sock), "closed")
        self.assertTrue(self.server.received.empty())

    def test_a_body_longer_than_its_stated_length_does_not_swallow_the_next_request(self):
        """Guards against a next request that is read in place of a body chunk, and never answered."""
        client = self.program.ajp_client()
        client.forward("POST", "/reads/1", length=MAX_BODY_BYTES - 1)
        for _ in range(3):  # over the length and the limit of bodies
            client.chunk(b"x" * MAX_BODY_CHUNK_BYTES)
        self.assertEqual([client.requested_chunk_bytes() for _ in range(2)], [8186, MAX_BODY_BYTES - 16_373])
        self.assertEqual(client.sock.recv(1), b"")  # without an answer after which a request could follow
        self.assert_ended_unanswered(client)

    def test_what_follows_a_rejected_request_must_be_a_chunk_of_its_body(self):
        def longer_than_the_body(client):
            client.chunk(b"x" * 11)

        def no_chunk(client):
            client.sock.sendall(encode_packet(TO_SERVER, b"\xff\xff"))

        def longer_than_its_content(client):
            client.sock.sendall(encode_packet(TO_SERVER, b"\0\x02ab" + b"rest"))

        for uri, status in (("/none", 404), ("/healthz", 200)):
            for send in (longer_than_the_body, no_chunk, longer_than_its_content):
                with self.subTest(uri=uri, send=send.__name__):
                    client = self.program.ajp_client()
                    client.forward("GET", uri, length=10)
                    self.assertEqual(client.answer()[0], status)
                    send(client)
                    self.assert_ended_unanswered(client)

    def test_a_chunk_shorter_than_its_packet_ends_the_connection(self):
        client = self.program.ajp_client()
        client.forward("POST", "/reads/1", length=10)
        client.sock.sendall(encode_packet(TO_SERVER, b"\0\x0a0123456789" + b"rest"))
        self.assert_ended_unanswered(client)

    def test_two_statements_of_a_body_length_that_differ_end_the_connection(self):
        """Guards against a web server and a worker that each believe another length."""
        for headers in (
            {"Content-Length": "5"},
            {"Transfer-Encoding": "chunked"},
            {"Content-Length": "010"},
        ):
            with self.subTest(headers=headers):
                client = self.program.ajp_client()
                client.forward("POST", "/reads/1", headers, length=10)
                client.chunk(b"0123456789")
                self.assert_ended_unanswered(client)

    def test_the_same_length_stated_twice_is_accepted(self):
        client = self.program.ajp_client()
        client.forward("POST", "/reads/1", {"Content-Length": "10"}, length=10)
        client.chunk(b"0123456789")
        _, body, respond = self.server.next_request()
        self.assertEqual(body, b"0123456789")
        respond(data=b"read")
        self.assertEqual(client.answer()[2], b"read")

    def test_a_response_chunk_shorter_than_its_packet_is_502(self):
        """Guards against a page that lacks a part and is served as if it were whole."""
        client = self.program.ajp_client()
        client.request()
        respond = self.server.next_request().respond
        head = struct.pack(">BH", PacketType.SEND_HEADERS, 200) + encode_text("Fine") + b"\0\0"
        chunk = struct.pack(">BH", PacketType.SEND_BODY_CHUNK, 4) + b"page" + b"rest\0"
        end = bytes((PacketType.END_RESPONSE, 1))
        respond.sock.sendall(b"".join(encode_packet(TO_WEB_SERVER, part) for part in (head, chunk, end)))
        self.assertEqual(client.answer()[0], 502)
