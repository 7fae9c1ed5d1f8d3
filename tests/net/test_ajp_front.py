"""Requests through the AJP front: passed on, rejected, checked for a secret, and told of health."""

import signal
import socket
import struct
import time

from tests.net.ajp_case import AjpCase
from tests.support.environment import DUE_WITHIN_S
from tests.support.site_settings import short_deadline_settings


class Path(AjpCase):
    def test_a_request_goes_to_the_server_unchanged_and_its_response_comes_back(self):
        web, page = self.program.ajp_client(), bytes(range(256)) * 100
        web.request("GET", "/reads/7", {"X-Tenant": "acme", "X-More": "kept"})
        packet, body, respond = self.server.next_request()
        self.assertIn(b"X-More\0\0\4kept", packet)
        self.assertTrue(packet.endswith(b"\x05" + struct.pack(">H", 3) + b"a=1\0\xff"))
        self.assertEqual(body, b"")
        respond(200, page)
        self.assertEqual(web.answer(), (200, {"X-Made-By": "server"}, page))
        self.assertTrue(web.reuse)

    def test_bodies_stream_in_by_chunks_with_and_without_a_length(self):
        web, body = self.program.ajp_client(), bytes(range(256)) * 100
        for number, headers in enumerate(({}, {"Transfer-Encoding": "chunked"})):
            if headers:
                web.forward("POST", "/reads/8", headers)
            else:
                web.request("POST", "/reads/8", body=body)
            rest, piece = body if headers else body[8186:], b"-"
            while piece and (rest or headers):
                size = web.requested_chunk_bytes()
                piece, rest = rest[:size], rest[size:]
                web.chunk(piece)
            _, got, respond = self.server.next_request()
            self.assertEqual(got, body)
            respond(201, b"made")
            self.assertEqual(web.answer()[::2], (201, b"made"))
            self.assertEqual(len(self.server.connections), 1)  # pooled
            self.assertEqual(self.server.pings, number)  # and checked before it is used again

    def test_what_the_front_turns_away_itself(self):
        for status, how in (
            (404, {"uri": "/none"}),
            (404, {"uri": "/filings", "method": "GET"}),
            (400, {"uri": "/filings", "method": "POST", "body": b"no key"}),
            (400, {"headers": {"X-Tenant": "who"}}),
            (400, {"headers": {"X-Tenant": b"\xff"}}),
            (413, {"method": "POST", "body": b"x" * (1 << 20 | 1)}),
        ):
            with self.subTest(how=str(how)[:60]):
                web = self.program.ajp_client()
                self.assertEqual(web.call(**how)[0], status)
                self.assertEqual(web.call("GET", "/healthz")[0], 200)  # the connection is still in step
        self.assertTrue(self.server.received.empty())

    def test_a_body_over_the_limit_whose_length_is_not_told(self):
        web = self.program.ajp_client()
        web.forward("POST", "/reads/1", {"Transfer-Encoding": "chunked"})
        self.assertEqual(web.answer(b"x" * (1 << 20 | 1))[0], 413)
        self.assertTrue(self.server.received.empty())

    def test_a_head_request_gets_no_body(self):
        web = self.program.ajp_client()
        self.assertEqual(web.call("HEAD", "/none")[::2], (404, b""))


class Overload(AjpCase):
    options = AjpCase.options | {"site": short_deadline_settings()}

    def test_refusals_are_503_with_retry_after_and_what_is_given_up_is_504(self):
        crowd = [self.program.ajp_client() for _ in range(20)]
        began = time.monotonic()
        for web in crowd:
            web.request()
        answers = [web.answer() for web in crowd]
        self.assertLess(time.monotonic() - began, DUE_WITHIN_S)
        self.assertEqual({status for status, _, _ in answers}, {503, 504})
        for status, headers, _ in answers:
            if status == 503:
                self.assertGreaterEqual(int(headers["Retry-After"]), 1)


class Secret(AjpCase):
    options = AjpCase.options | {"secret": "open sesame"}

    def test_the_secret_is_asked_for_and_not_passed_on(self):
        self.assertEqual(self.program.ajp_client().call()[0], 403)
        self.assertEqual(self.program.ajp_client().call(secret="wrong")[0], 403)
        web = self.program.ajp_client()
        web.request(secret="open sesame")
        packet, _, respond = self.server.next_request()
        self.assertNotIn(b"sesame", packet)
        respond()
        self.assertEqual(web.answer()[0], 200)


class Health(AjpCase):
    def line(self):
        with socket.create_connection(tuple(self.program.addresses["AgentCheck"])) as sock:
            return sock.makefile("rb").read()

    def test_all_checks_say_what_the_module_says_and_the_notice_drains(self):
        web, busy = self.program.ajp_client(), self.program.ajp_client()
        self.assertEqual((self.line(), self.program.operator_call()[0]), (b"up 100%\n", 200))
        self.assertTrue(web.cping())
        self.assertEqual(web.call("GET", "/healthz")[0], 200)
        busy.request()
        respond = self.server.next_request().respond
        self.program.process.send_signal(signal.SIGTERM)
        self.program.wait_for(lambda status: status["state"] == "leaving")
        self.assertEqual((self.line(), self.program.operator_call()[0]), (b"drain\n", 503))
        with self.assertRaises(EOFError):
            web.cping()
        respond(200, b"last")
        self.assertEqual(busy.answer()[::2], (200, b"last"))
        self.assertFalse(busy.reuse)
        self.assertEqual(self.program.wait_for_exit(), 0)
        self.assertEqual(self.program.run_operator_command("status").returncode, 1)

    def test_standby_turns_all_checks_bad_and_serves_what_comes(self):
        web, told = self.program.ajp_client(), self.program.ajp_client()
        self.assertEqual(self.program.run_operator_command("standby").returncode, 0)
        self.assertEqual((self.line(), told.call("GET", "/healthz")[0]), (b"drain\n", 503))
        web.request()
        self.server.next_request().respond(200, b"served")
        self.assertEqual(web.answer()[::2], (200, b"served"))
        self.assertTrue(web.reuse)
        self.assertEqual(self.program.run_operator_command("active").returncode, 0)
        self.assertEqual((self.line(), web.cping()), (b"up 100%\n", True))
