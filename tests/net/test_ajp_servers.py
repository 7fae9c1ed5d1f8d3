"""AJP connections that are cut or malformed, and backend servers that fail, disappear and return."""

from tests.net.ajp_case import AjpTestCase
from tests.stand_ins.ajp_packets import encode_packet
from tests.stand_ins.ajp_server import AjpServer


class CutConnectionsTest(AjpTestCase):
    """Web servers that disconnect or send malformed packets."""

    def test_a_body_cut_off_midway_runs_nothing(self):
        client = self.program.ajp_client()
        client.forward("POST", "/filings", {"Idempotency-Key": "k"}, length=20_000)
        client.chunk(b"x" * 8186)
        self.assertEqual(client.requested_chunk_bytes(), 8186)
        client.close()
        retrying_client = self.program.ajp_client()
        retrying_client.forward("POST", "/filings", {"Idempotency-Key": "k"}, length=4)
        retrying_client.chunk(b"good")
        _, body, respond = self.server.next_request()
        self.assertEqual(body, b"good")
        respond()
        self.assertEqual(retrying_client.answer()[0], 200)
        self.assertTrue(self.server.received.empty())

    def test_a_queued_request_does_not_run_if_its_client_disconnects(self):
        running_clients = [self.program.ajp_client() for _ in range(2)]
        for client in running_clients:
            client.request()
        respond_calls = [self.server.next_request().respond for _ in running_clients]
        queued_client = self.program.ajp_client()
        queued_client.request("GET", "/reads/held")
        self.program.wait_for(lambda status: status["in_hand"] == "3")
        queued_client.close()
        self.program.wait_for(lambda status: status["in_hand"] == "2")
        for respond in respond_calls:
            respond()
        last_client = self.program.ajp_client()
        last_client.request("GET", "/reads/last")
        packet, _, respond = self.server.next_request()
        self.assertIn(b"/reads/last", packet)
        respond()
        self.assertEqual(last_client.answer()[0], 200)

    def test_malformed_packets_end_only_their_own_connection(self):
        good_client = self.program.ajp_client()
        for data in (
            b"GET / HTTP/1.1\r\n",
            b"\x12\x34\xff\xff",
            encode_packet(b"\x12\x34", b"\2\2\xff\xf0"),
            encode_packet(b"\x12\x34", b"\2\xfe" + b"\0" * 40),
            encode_packet(b"\x12\x34", b"\x63"),
            encode_packet(b"\x12\x34", b""),
        ):
            bad_client = self.program.ajp_client()
            bad_client.sock.sendall(data)
            with self.assertRaises(EOFError):
                bad_client.answer()
        self.assertTrue(good_client.cping())


class ServersTest(AjpTestCase):
    """Servers that fail, become unreachable and return."""

    def test_a_connection_cut_by_the_server_is_502_and_the_request_is_not_sent_again(self):
        client = self.program.ajp_client()
        client.request()
        self.server.next_request().respond.cut()
        self.assertEqual(client.answer()[0], 502)
        self.assertTrue(self.server.received.empty())

    def test_an_unreachable_server_is_502_and_is_used_again_after_it_returns(self):
        client = self.program.ajp_client()
        self.server.refuse()
        self.assertEqual(client.call()[0], 502)
        restarted_server = AjpServer(int(self.server.address.split(":")[1]))
        self.addCleanup(restarted_server.close)
        client.request()
        restarted_server.next_request().respond(200, b"back")
        self.assertEqual(client.answer()[::2], (200, b"back"))

    def test_the_error_page_of_a_server_is_forwarded(self):
        client = self.program.ajp_client()
        client.request()
        self.server.next_request().respond(500, b"oops")
        self.assertEqual(client.answer()[::2], (500, b"oops"))

    def test_a_missing_response_is_504(self):
        client = self.program.ajp_client()
        client.request()
        self.server.next_request()
        self.assertEqual(client.answer()[0], 504)
