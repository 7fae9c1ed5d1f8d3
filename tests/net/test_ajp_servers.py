"""Servers behind the AJP front that cut connections, fail, go away and come back."""

from tests.net.ajp_case import AjpCase
from tests.stand_ins.ajp_packets import encode_packet
from tests.stand_ins.ajp_server import AjpServer


class Cut(AjpCase):
    def test_a_body_cut_off_midway_runs_nothing(self):
        web = self.program.ajp_client()
        web.forward("POST", "/filings", {"Idempotency-Key": "k"}, length=20_000)
        web.chunk(b"x" * 8186)
        self.assertEqual(web.requested_chunk_bytes(), 8186)
        web.close()
        other = self.program.ajp_client()
        other.forward("POST", "/filings", {"Idempotency-Key": "k"}, length=4)
        other.chunk(b"good")
        _, body, respond = self.server.next_request()
        self.assertEqual(body, b"good")
        respond()
        self.assertEqual(other.answer()[0], 200)
        self.assertTrue(self.server.received.empty())

    def test_a_client_that_leaves_while_it_waits_is_not_run(self):
        running = [self.program.ajp_client() for _ in range(2)]
        for web in running:
            web.request()
        responds = [self.server.next_request().respond for _ in running]
        held = self.program.ajp_client()
        held.request("GET", "/reads/held")
        self.program.wait_for(lambda status: status["in_hand"] == "3")
        held.close()
        self.program.wait_for(lambda status: status["in_hand"] == "2")
        for respond in responds:
            respond()
        last = self.program.ajp_client()
        last.request("GET", "/reads/last")
        packet, _, respond = self.server.next_request()
        self.assertIn(b"/reads/last", packet)
        respond()
        self.assertEqual(last.answer()[0], 200)

    def test_bad_packets_end_their_own_connection_only(self):
        good = self.program.ajp_client()
        for data in (
            b"GET / HTTP/1.1\r\n",
            b"\x12\x34\xff\xff",
            encode_packet(b"\x12\x34", b"\2\2\xff\xf0"),
            encode_packet(b"\x12\x34", b"\2\xfe" + b"\0" * 40),
            encode_packet(b"\x12\x34", b"\x63"),
            encode_packet(b"\x12\x34", b""),
        ):
            bad = self.program.ajp_client()
            bad.sock.sendall(data)
            with self.assertRaises(EOFError):
                bad.answer()
        self.assertTrue(good.cping())


class Servers(AjpCase):
    def test_a_server_that_cuts_off_is_502_and_is_not_asked_again(self):
        web = self.program.ajp_client()
        web.request()
        self.server.next_request().respond.cut()
        self.assertEqual(web.answer()[0], 502)
        self.assertTrue(self.server.received.empty())

    def test_a_server_out_of_reach_is_502_and_one_that_comes_back_is_used(self):
        web = self.program.ajp_client()
        self.server.refuse()
        self.assertEqual(web.call()[0], 502)
        again = AjpServer(int(self.server.address.split(":")[1]))
        self.addCleanup(again.close)
        web.request()
        again.next_request().respond(200, b"back")
        self.assertEqual(web.answer()[::2], (200, b"back"))

    def test_a_servers_own_error_page_comes_through(self):
        web = self.program.ajp_client()
        web.request()
        self.server.next_request().respond(500, b"oops")
        self.assertEqual(web.answer()[::2], (500, b"oops"))

    def test_a_reply_that_does_not_come_is_504(self):
        web = self.program.ajp_client()
        web.request()
        self.server.next_request()
        self.assertEqual(web.answer()[0], 504)
