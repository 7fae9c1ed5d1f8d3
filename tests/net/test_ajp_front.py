"""The AJP front: forwarding, bodies, rejections, the shared secret and health checks."""

import signal
import socket
import struct
import time

from tests.net.ajp_case import AjpTestCase
from tests.support.environment import DUE_WITHIN_S
from tests.support.site_settings import short_deadline_settings


class RequestsTest(AjpTestCase):
    """Requests, bodies and responses."""

    def test_a_request_goes_to_the_server_unchanged_and_its_response_comes_back(self):
        client, page = self.program.ajp_client(), bytes(range(256)) * 100
        client.request("GET", "/reads/7", {"X-Tenant": "acme", "X-More": "kept"})
        packet, body, respond = self.server.next_request()
        self.assertIn(b"X-More\0\0\4kept", packet)
        self.assertTrue(packet.endswith(b"\x05" + struct.pack(">H", 3) + b"a=1\0\xff"))
        self.assertEqual(body, b"")
        respond(200, page)
        self.assertEqual(client.answer(), (200, {"X-Made-By": "server"}, page))
        self.assertTrue(client.reuse)

    def test_bodies_stream_in_by_chunks_with_and_without_a_length(self):
        client, body = self.program.ajp_client(), bytes(range(256)) * 100
        for earlier_requests, headers in enumerate(({}, {"Transfer-Encoding": "chunked"})):
            if headers:
                client.forward("POST", "/reads/8", headers)
            else:
                client.request("POST", "/reads/8", body=body)
            remaining, chunk_data = body if headers else body[8186:], b"-"
            while chunk_data and (remaining or headers):
                size = client.requested_chunk_bytes()
                chunk_data, remaining = remaining[:size], remaining[size:]
                client.chunk(chunk_data)
            _, received_body, respond = self.server.next_request()
            self.assertEqual(received_body, body)
            respond(201, b"made")
            self.assertEqual(client.answer()[::2], (201, b"made"))
            self.assertEqual(len(self.server.connections), 1)  # the connection is pooled
            self.assertEqual(self.server.pings, earlier_requests)  # one CPing before each reuse

    def test_the_front_rejects_what_it_cannot_serve(self):
        for status, request in (
            (404, {"uri": "/none"}),
            (404, {"uri": "/filings", "method": "GET"}),
            (400, {"uri": "/filings", "method": "POST", "body": b"no key"}),
            (400, {"headers": {"X-Tenant": "who"}}),
            (400, {"headers": {"X-Tenant": b"\xff"}}),
            (413, {"method": "POST", "body": b"x" * (1 << 20 | 1)}),
        ):
            with self.subTest(request=str(request)[:60]):
                client = self.program.ajp_client()
                self.assertEqual(client.call(**request)[0], status)
                self.assertEqual(client.call("GET", "/healthz")[0], 200)  # the connection is still usable
        self.assertTrue(self.server.received.empty())

    def test_a_body_over_the_limit_without_a_stated_length_is_rejected(self):
        client = self.program.ajp_client()
        client.forward("POST", "/reads/1", {"Transfer-Encoding": "chunked"})
        self.assertEqual(client.answer(b"x" * (1 << 20 | 1))[0], 413)
        self.assertTrue(self.server.received.empty())

    def test_a_head_request_gets_no_body(self):
        client = self.program.ajp_client()
        self.assertEqual(client.call("HEAD", "/none")[::2], (404, b""))


class RejectionsTest(AjpTestCase):
    """Requests that are rejected, or time out, under overload."""

    options = AjpTestCase.options | {"site": short_deadline_settings()}

    def test_rejections_are_503_with_retry_after_and_missed_deadlines_are_504(self):
        clients = [self.program.ajp_client() for _ in range(20)]
        started_s = time.monotonic()
        for client in clients:
            client.request()
        responses = [client.answer() for client in clients]
        self.assertLess(time.monotonic() - started_s, DUE_WITHIN_S)
        self.assertEqual({status for status, _, _ in responses}, {503, 504})
        for status, headers, _ in responses:
            if status == 503:
                self.assertGreaterEqual(int(headers["Retry-After"]), 1)


class SecretTest(AjpTestCase):
    """The secret that web servers must send to the front."""

    options = AjpTestCase.options | {"secret": "open sesame"}

    def test_the_secret_is_required_and_not_forwarded(self):
        self.assertEqual(self.program.ajp_client().call()[0], 403)
        self.assertEqual(self.program.ajp_client().call(secret="wrong")[0], 403)
        client = self.program.ajp_client()
        client.request(secret="open sesame")
        packet, _, respond = self.server.next_request()
        self.assertNotIn(b"sesame", packet)
        respond()
        self.assertEqual(client.answer()[0], 200)


class HealthTest(AjpTestCase):
    """Health checks of the load balancer, during shutdown and in standby."""

    def agent_check(self):
        with socket.create_connection(tuple(self.program.addresses["AgentCheck"])) as sock:
            return sock.makefile("rb").read()

    def test_all_health_checks_report_the_controllers_health_and_the_shutdown_notice_drains(self):
        client, busy_client = self.program.ajp_client(), self.program.ajp_client()
        self.assertEqual((self.agent_check(), self.program.operator_call()[0]), (b"up 100%\n", 200))
        self.assertTrue(client.cping())
        self.assertEqual(client.call("GET", "/healthz")[0], 200)
        busy_client.request()
        respond = self.server.next_request().respond
        self.program.process.send_signal(signal.SIGTERM)
        self.program.wait_for(lambda status: status["state"] == "leaving")
        self.assertEqual((self.agent_check(), self.program.operator_call()[0]), (b"drain\n", 503))
        with self.assertRaises(EOFError):
            client.cping()
        respond(200, b"last")
        self.assertEqual(busy_client.answer()[::2], (200, b"last"))
        self.assertFalse(busy_client.reuse)
        self.assertEqual(self.program.wait_for_exit(), 0)
        self.assertEqual(self.program.run_operator_command("status").returncode, 1)

    def test_standby_fails_all_health_checks_and_still_serves_requests(self):
        client, checking_client = self.program.ajp_client(), self.program.ajp_client()
        self.assertEqual(self.program.run_operator_command("standby").returncode, 0)
        self.assertEqual((self.agent_check(), checking_client.call("GET", "/healthz")[0]), (b"drain\n", 503))
        client.request()
        self.server.next_request().respond(200, b"served")
        self.assertEqual(client.answer()[::2], (200, b"served"))
        self.assertTrue(client.reuse)
        self.assertEqual(self.program.run_operator_command("active").returncode, 0)
        self.assertEqual((self.agent_check(), client.cping()), (b"up 100%\n", True))
