"""A worker that serves both protocols at once."""

import json
import signal
import threading
import time

from tests.net.ajp_case import AjpCase
from tests.stand_ins.sockets import ByteAtATimeSocket
from tests.support.environment import DUE_WITHIN_S


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
