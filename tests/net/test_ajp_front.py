"""The real program as an appliance: web servers in front and AJP servers behind are stand-ins."""

import json
import signal
import socket
import struct
import threading
import time
import unittest

from tests.stand_ins.ajp_packets import encode_packet
from tests.stand_ins.ajp_server import AjpServer
from tests.stand_ins.sockets import ByteAtATimeSocket
from tests.support.environment import DUE_WITHIN_S
from tests.support.site_settings import short_deadline_settings
from tests.support.worker_cases import RunningWorkerTestCase


class AjpCase(RunningWorkerTestCase):
    options = {"thrift": False, "ajp": True}

    def setUp(self):
        super().setUp()
        self.server = self.program.server


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


class Filings(AjpCase):
    def file(self, web, key, body=b"doc"):
        web.request("POST", "/filings", {"Idempotency-Key": key}, body)

    def test_a_repeat_gets_the_first_ones_response_and_other_content_is_turned_away(self):
        web, other = self.program.ajp_client(), self.program.ajp_client()
        self.file(web, "k1")
        respond = self.server.next_request().respond
        self.file(other, "k1", b"another")
        self.assertEqual(other.answer()[0], 422)
        respond(201, b"filed")
        self.assertEqual(web.answer()[::2], (201, b"filed"))
        self.file(other, '"k1"')  # the header's quoted form names the same key
        self.assertEqual(other.answer(), (201, {"X-Made-By": "server"}, b"filed"))
        self.file(other, "k1", b"another")
        self.assertEqual(other.answer()[0], 422)
        self.assertTrue(self.server.received.empty())


class FilingsUnreached(AjpCase):
    def test_a_filing_that_reached_no_server_may_run_when_it_is_repeated(self):
        web, filing = self.program.ajp_client(), ("POST", "/filings", {"Idempotency-Key": "k"}, b"doc")
        self.server.refuse()
        self.assertEqual(web.call(*filing)[0], 502)
        self.server.come_back()
        web.request(*filing)
        self.server.next_request().respond(data=b"filed")
        self.assertEqual(web.answer()[::2], (200, b"filed"))


class Memory(AjpCase):
    options = AjpCase.options | {"max_body": 6 << 20, "max_response": 1000}

    def test_bodies_that_come_in_at_once_share_a_bounded_memory(self):
        first, second = self.program.ajp_client(), self.program.ajp_client()
        for web in (first, second):
            web.forward("POST", "/reads/1", length=5 << 20)
            web.chunk(b"x" * 8186)
        # 64 MB for the process, 12% of it for these bodies: only one fits, the other is told at once.
        waiting, told = (first, second) if first.peek() == 6 else (second, first)
        status, headers, _ = told.answer()
        self.assertEqual((status, headers["Retry-After"]), (503, "1"))
        waiting.close()
        self.assertEqual(told.call("GET", "/healthz")[0], 200)

    def test_the_memory_of_a_body_is_free_again_however_it_ends(self):
        def whole(web):
            web.request("POST", "/reads/1", body=b"x" * 8186)
            self.server.next_request().respond()
            self.assertEqual(web.answer()[0], 200)
            web.close()

        def cut(web):
            web.forward("POST", "/reads/1", length=5 << 20)
            web.chunk(b"x" * 8186)
            self.assertEqual(web.requested_chunk_bytes(), 8186)
            web.close()

        def ended_early(web):
            web.forward("POST", "/reads/1", length=5 << 20)
            web.chunk(b"x" * 8186)
            self.assertEqual(web.requested_chunk_bytes(), 8186)
            web.chunk(b"")
            with self.assertRaises(EOFError):
                web.answer()

        def of_no_told_length(web):
            web.forward("POST", "/reads/1", {"Transfer-Encoding": "chunked"})
            web.chunk(b"x" * 8186)
            self.assertEqual([web.requested_chunk_bytes(), web.requested_chunk_bytes()], [8186, 8186])
            web.close()

        for end in (whole, cut, ended_early, of_no_told_length):
            with self.subTest(end.__name__):
                end(self.program.ajp_client())
                self.program.wait_for(lambda status: "'AjpFront': 0" in status["connections"])
                # Of the 7.68 MB that all have together there is room for this only if all of it is free.
                web = self.program.ajp_client()
                web.forward("POST", "/reads/1", length=6 << 20)
                web.chunk(b"x" * 8186)
                self.assertEqual(web.requested_chunk_bytes(), 8186)
                web.close()
                self.program.wait_for(lambda status: "'AjpFront': 0" in status["connections"])

    def test_a_response_over_the_limit_is_502(self):
        web = self.program.ajp_client()
        web.request()
        self.server.next_request().respond(200, b"x" * 1001)
        self.assertEqual(web.answer()[0], 502)


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


class Both(AjpCase):
    """Both protocols on one core: clients of each, the kernel and an AJP server behind."""

    options = {"thrift": True, "ajp": True}
    key = {"Idempotency-Key": "f1", "X-Tenant": "acme"}

    def test_pieces_of_one_byte_on_every_socket(self):
        router, web, member = self.program.thrift_router(), self.program.ajp_client(), self.program.members
        router.sock, web.sock = ByteAtATimeSocket(router.sock), ByteAtATimeSocket(web.sock)
        for number in range(2):
            seqid = router.invoke("filing", b"doc", token=f"t{number}")
            self.kernel.notice(cmd="DMESG", result="a remark")
            self.kernel.reap(self.kernel.next_run().request_id, body=b"filed", send=False)
            for byte in json.dumps(self.kernel.notices[-1]).encode() + b"\n":
                self.kernel.send_raw(bytes((byte,)))
            self.assertEqual(router.answer(seqid), ("Answer", {}, b"filed"))
            web.request("POST", "/reads/1", body=b"body")
            _, body, respond = self.server.next_request()
            self.assertEqual(body, b"body")
            respond(data=b"page", sock=ByteAtATimeSocket(self.server.connections[-1]))
            self.assertEqual(web.answer()[::2], (200, b"page"))
            member.wait_for("UP")  # answered by the byte
        self.assertEqual(self.program.logged("kernel_link_lost"), [])
        self.assertEqual(
            [line["accepted"] for line in self.program.logged("membership_reports_changed")], [True]
        )

    def test_a_filing_that_ran_for_thrift_serves_its_repeats_on_ajp(self):
        router, web = self.program.thrift_router(), self.program.ajp_client()
        first = router.invoke("filing", b"doc", token="f1")
        rid = self.kernel.next_run().request_id
        web.request("POST", "/filings", self.key, b"doc")
        self.program.wait_for(lambda status: status["in_hand"] == "2")
        self.kernel.reap(rid, body=b"filed")
        self.assertEqual(router.answer(first), ("Answer", {}, b"filed"))
        self.assertEqual(web.answer()[::2], (200, b"filed"))
        self.assertEqual(web.call("POST", "/filings", self.key, b"doc")[::2], (200, b"filed"))
        self.assertTrue(self.server.received.empty() and self.kernel.scheduled.empty())

    def test_a_filing_that_ran_for_ajp_serves_its_repeats_on_thrift(self):
        router, web = self.program.thrift_router(), self.program.ajp_client()
        web.request("POST", "/filings", self.key, b"doc")
        respond = self.server.next_request().respond
        repeat = router.invoke("filing", b"doc", token="f1", again="1")
        router.ping()
        respond(201, b"filed")
        self.assertEqual(web.answer()[::2], (201, b"filed"))
        self.assertEqual(router.answer(repeat), ("Answer", {}, b"filed"))
        self.assertTrue(self.server.received.empty() and self.kernel.scheduled.empty())

    def test_a_filing_that_the_server_rejects_is_broken_on_thrift(self):
        router, web = self.program.thrift_router(), self.program.ajp_client()
        web.request("POST", "/filings", self.key, b"doc")
        self.server.next_request().respond(409, b"no")
        self.assertEqual(web.answer()[::2], (409, b"no"))
        self.assertEqual(router.call("filing", b"doc", token="f1", again="1")[0], "Broken")
        self.assertEqual(web.call("POST", "/filings", self.key, b"doc")[::2], (409, b"no"))
        self.assertTrue(self.server.received.empty() and self.kernel.scheduled.empty())

    def test_keys_of_other_tenants_are_other_filings(self):
        router, web = self.program.thrift_router(), self.program.ajp_client()
        filing = router.invoke("filing", b"doc", token="f1")
        self.kernel.reap(self.kernel.next_run().request_id, body=b"acme's")
        self.assertEqual(router.answer(filing)[2], b"acme's")
        web.request("POST", "/filings", {"Idempotency-Key": "f1"}, b"doc")
        self.server.next_request().respond(200, b"another's")
        self.assertEqual(web.answer()[2], b"another's")

    def test_every_rule_holds_over_both_at_once(self):
        kernel_ran, server_ran = [], []

        def run_kernel():  # both executors serve what comes, up to the last body: from then on nothing ends
            body = None
            while body != b"last":
                rid, _, body = self.kernel.next_run()
                kernel_ran.append(body)
                self.kernel.reap(rid, body=b"kernel " + body)

        def run_server():
            body = None
            while body != b"last":
                _, body, respond = self.server.next_request()
                server_ran.append(body)
                respond(200, b"server " + body)

        workers = [threading.Thread(target=work) for work in (run_kernel, run_server)]
        for worker in workers:
            worker.start()
        router, web, cut = self.program.thrift_router(), self.program.ajp_client(), self.program.ajp_client()
        cut.forward("POST", "/filings", {"Idempotency-Key": "cut", "X-Tenant": "acme"}, length=9000)
        cut.chunk(b"half")
        cut.requested_chunk_bytes()
        cut.close()
        for n in range(24):  # each filing by both protocols, in turn the one or the other first
            filing, body = n % 2, b"%d" % n
            seqid, key = None, {"Idempotency-Key": f"t{n}", "X-Tenant": "acme"}
            more = {"method": "filing", "token": f"t{n}"} if filing else {}
            if n % 4 < 2:
                seqid = router.invoke(body=body, **more)
                router.ping()
            web.request("POST", "/filings" if filing else "/reads/1", key if filing else {}, body)
            seqid = seqid or router.invoke(body=body, **more)
            (kind, _, by_thrift), (status, _, by_ajp) = router.answer(seqid), web.answer()
            self.assertEqual((kind, status), ("Answer", 200))
            if filing:  # one run, and both have its result
                self.assertEqual(by_thrift, by_ajp)
                self.assertIn(by_ajp, (b"kernel " + body, b"server " + body))
            else:
                self.assertEqual((by_thrift, by_ajp), (b"kernel " + body, b"server " + body))
        ran = [body for body in kernel_ran + server_ran if int(body) % 2]
        self.assertEqual(sorted(ran), sorted(b"%d" % n for n in range(1, 24, 2)))
        last = router.invoke(body=b"last")
        self.assertEqual(router.answer(last)[2], b"kernel last")
        self.assertEqual(web.call("POST", "/reads/1", body=b"last")[2], b"server last")
        for worker in workers:
            worker.join()
        # The notice to leave finds requests running and held on both fronts.
        webs = [self.program.ajp_client() for _ in range(6)]
        open_ = [router.invoke(body=b"%d" % n) for n in range(6)]
        for web in webs:
            web.request()
        self.program.wait_for(lambda status: status["in_hand"] == "12")
        began = time.time()
        self.program.process.send_signal(signal.SIGTERM)
        self.assertLessEqual({router.answer(seqid)[0] for seqid in open_}, {"Throttled", "Broken"})
        self.assertLessEqual({web.answer()[0] for web in webs}, {503, 504})
        self.assertLess(time.time() - began, DUE_WITHIN_S)
        router.farewell()
        self.assertEqual(self.program.wait_for_exit(), 0)
        self.assertNotIn(b"half", b"".join(kernel_ran + server_ran))


if __name__ == "__main__":
    unittest.main()
